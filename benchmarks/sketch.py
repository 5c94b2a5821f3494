"""Hot titles by the space-saving sketch compared with exact counts: how many of the hottest titles it misses, the error of its counts, time and size.

    PYTHONPATH=. .venv/bin/python benchmarks/sketch.py
"""
import random
import time
from collections import Counter

from laddergw.planner.sketch import Sketch

PLAYS, TITLES, TOP = 200_000, 50_000, 32


def main() -> None:
    for skew in (0.6, 1.0, 1.4):
        random_source = random.Random(4)
        weights = [1 / rank ** skew for rank in range(1, TITLES + 1)]
        stream = random_source.choices(range(TITLES), weights, k=PLAYS)
        started_at = time.perf_counter()
        exact = Counter(stream)
        exact_us = (time.perf_counter() - started_at) / PLAYS * 1e6
        hottest = [title for title, _ in sorted(exact.items(), key=lambda item: (-item[1], item[0]))[:TOP]]
        for capacity in (64, 256, 1_024):
            sketch = Sketch(capacity)
            started_at = time.perf_counter()
            for title in stream:
                sketch.add(title)
            sketch_us = (time.perf_counter() - started_at) / PLAYS * 1e6
            top = sketch.top(TOP)
            missed = len(set(hottest) - {hot.title for hot in top})
            error = sum(hot.count / exact[hot.title] - 1 for hot in top) / TOP
            print(f"skew {skew}: {capacity:5} kept of {len(exact):6}: {missed:2} of {TOP} hottest missed, counts over by {100 * error:6.1f}%, {sketch_us:.2f} us a play (exact {exact_us:.2f})")


if __name__ == "__main__":
    main()

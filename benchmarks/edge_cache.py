"""The edge's cache against plain LRU: found parts on skewed traces with waves of titles asked for once, and cost of a call.

    PYTHONPATH=. .venv/bin/python benchmarks/edge_cache.py
"""
import random
import time
from collections import OrderedDict

from laddergw.edge.cache import CacheLimits, Cache

ASKS, TITLES, SIZE = 60_000, 5_000, 1_000


class Lru:
    def __init__(self, count: int):
        self.count, self.entries, self.found = count, OrderedDict(), 0

    def ask(self, name: str) -> None:
        if name in self.entries:
            self.entries.move_to_end(name)
            self.found += 1
            return
        self.entries[name] = None
        if len(self.entries) > self.count:
            self.entries.popitem(last=False)


def trace(skew: float, once: float) -> list[str]:
    draw = random.Random(int(skew * 100 + once * 10))
    weights = [1 / (k + 1) ** skew for k in range(TITLES)]
    asked = iter(draw.choices(range(TITLES), weights, k=ASKS))
    return [f"once{n}" if draw.random() < once else f"t{next(asked)}" for n in range(ASKS)]


def main() -> None:
    print("skew  once   room   LRU found  ours found   LRU us/ask  ours us/ask")
    for skew, once in ((0.8, 0.0), (0.8, 0.2), (1.0, 0.0), (1.0, 0.2)):
        asks = trace(skew, once)
        for room in (100, 500):
            lru, ours = Lru(room), Cache(CacheLimits(max_bytes=room * SIZE, max_age_ms=1e12))
            began = time.perf_counter()
            for name in asks:
                lru.ask(name)
            middle = time.perf_counter()
            for name in asks:
                if ours.get(name, 0.0) is None:
                    ours.put(name, name, SIZE, 0.0)
            end = time.perf_counter()
            print(f"{skew:4} {once:5} {room:6} {lru.found / ASKS:11.3f} {ours.hits / ASKS:11.3f} {(middle - began) / ASKS * 1e6:12.2f} "
                  f"{(end - middle) / ASKS * 1e6:12.2f}")


if __name__ == "__main__":
    main()

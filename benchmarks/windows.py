"""Sliding windows in constant memory against exact deques: error of the counts, cost of a call, bytes held.

    PYTHONPATH=. .venv/bin/python benchmarks/windows.py
"""
import random
import sys
import time
from collections import deque

from laddergw.machines.retry_budget import SlidingWindowCounter

WINDOW_MS, CALLS = 10_000.0, 60_000


class Exact:
    """A deque of times."""

    def __init__(self):
        self.times = deque()

    def add(self, now: float) -> None:
        self.times.append(now)

    def count(self, now: float) -> int:
        while self.times and self.times[0] <= now - WINDOW_MS:
            self.times.popleft()
        return len(self.times)


def run(rate: float) -> None:
    chance, now, times = random.Random(1), 0.0, []
    for _ in range(CALLS):
        now += chance.expovariate(rate / 1000)
        times.append(now)
    exact, kept, over, under = Exact(), SlidingWindowCounter(WINDOW_MS), [], []
    for at in times:
        exact.add(at), kept.add(at)
        true = exact.count(at)
        over.append(kept.upper_bound(at) / true - 1)
        under.append(1 - kept.lower_bound(at) / true)
    costs = {}
    for name, made, asked in (("exact", Exact, "count"), ("window", lambda: SlidingWindowCounter(WINDOW_MS), "upper_bound")):
        counter = made()
        ask, began = getattr(counter, asked), time.perf_counter()
        for at in times:
            counter.add(at), ask(at)
        costs[name] = (time.perf_counter() - began) / CALLS * 1e6
    held = sys.getsizeof(exact.times) + 24 * exact.count(times[-1])
    print(f"{rate:8.0f} a second: counted over by {100 * sum(over) / CALLS:5.2f}% (most {100 * max(over[CALLS // 10:]):.1f}%), under by {100 * sum(under) / CALLS:5.2f}%; "
          f"{costs['window']:.2f} us a call against {costs['exact']:.2f}; {sys.getsizeof(kept.counts)} bytes against {held}")


if __name__ == "__main__":
    for a_second in (10, 100, 1_000, 10_000):
        run(a_second)

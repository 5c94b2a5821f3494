"""Compares sliding window counters in constant memory with exact deques: error of the counts, cost of a call, bytes held.

    PYTHONPATH=. .venv/bin/python benchmarks/windows.py
"""
import random
import sys
import time
from collections import deque

from laddergw.machines.retry_budget import SlidingWindowCounter

WINDOW_MS, CALLS = 10_000.0, 60_000


class ExactCounter:
    """Counts events of the last WINDOW_MS by a deque of their times."""

    def __init__(self):
        self.times = deque()

    def add(self, now: float) -> None:
        """Counts one event."""
        self.times.append(now)

    def count(self, now: float) -> int:
        """The exact count of the window that ends now."""
        while self.times and self.times[0] <= now - WINDOW_MS:
            self.times.popleft()
        return len(self.times)


def run(rate: float) -> None:
    """Prints errors and costs at a rate of events a second."""
    random_source, now, times = random.Random(1), 0.0, []
    for _ in range(CALLS):
        now += random_source.expovariate(rate / 1000)
        times.append(now)
    exact, bounded, over, under = ExactCounter(), SlidingWindowCounter(WINDOW_MS), [], []
    for at in times:
        exact.add(at), bounded.add(at)
        true = exact.count(at)
        over.append(bounded.upper_bound(at) / true - 1)
        under.append(1 - bounded.lower_bound(at) / true)
    costs = {}
    for name, make, method in (("exact", ExactCounter, "count"), ("window", lambda: SlidingWindowCounter(WINDOW_MS), "upper_bound")):
        counter = make()
        count, began = getattr(counter, method), time.perf_counter()
        for at in times:
            counter.add(at), count(at)
        costs[name] = (time.perf_counter() - began) / CALLS * 1e6
    exact_bytes = sys.getsizeof(exact.times) + 24 * exact.count(times[-1])
    print(f"{rate:8.0f} a second: counted over by {100 * sum(over) / CALLS:5.2f}% (most {100 * max(over[CALLS // 10:]):.1f}%), under by {100 * sum(under) / CALLS:5.2f}%; "
          f"{costs['window']:.2f} us a call against {costs['exact']:.2f}; {sys.getsizeof(bounded.counts)} bytes against {exact_bytes}")


if __name__ == "__main__":
    for rate_per_s in (10, 100, 1_000, 10_000):
        run(rate_per_s)

"""The edge's cache against plain LRU: hit ratios on skewed traces with titles that are requested only once, and the cost of a call.

    PYTHONPATH=. .venv/bin/python benchmarks/edge_cache.py
"""
import random
import time
from collections import OrderedDict

from laddergw.edge.cache import CacheLimits, Cache

REQUESTS, TITLES, ENTRY_BYTES = 60_000, 5_000, 1_000


class Lru:
    """A plain LRU cache of a number of entries."""

    def __init__(self, count: int):
        self.max_entries, self.entries, self.hits = count, OrderedDict(), 0

    def request(self, name: str) -> None:
        """Counts a hit, or adds the entry and evicts the oldest."""
        if name in self.entries:
            self.entries.move_to_end(name)
            self.hits += 1
            return
        self.entries[name] = None
        if len(self.entries) > self.max_entries:
            self.entries.popitem(last=False)


def trace(skew: float, once: float) -> list[str]:
    """Requested names: a part `once` of titles requested only once, the others Zipf distributed with exponent `skew`."""
    draw = random.Random(int(skew * 100 + once * 10))
    weights = [1 / (k + 1) ** skew for k in range(TITLES)]
    popular = iter(draw.choices(range(TITLES), weights, k=REQUESTS))
    return [f"once{n}" if draw.random() < once else f"t{next(popular)}" for n in range(REQUESTS)]


def main() -> None:
    """Prints a row for each trace and cache size."""
    print("skew  once   room   LRU found  ours found   LRU us/ask  ours us/ask")
    for skew, once in ((0.8, 0.0), (0.8, 0.2), (1.0, 0.0), (1.0, 0.2)):
        requests = trace(skew, once)
        for capacity in (100, 500):
            lru, cache = Lru(capacity), Cache(CacheLimits(max_bytes=capacity * ENTRY_BYTES, max_age_ms=1e12))
            began = time.perf_counter()
            for name in requests:
                lru.request(name)
            middle = time.perf_counter()
            for name in requests:
                if cache.get(name, 0.0) is None:
                    cache.put(name, name, ENTRY_BYTES, 0.0)
            end = time.perf_counter()
            print(f"{skew:4} {once:5} {capacity:6} {lru.hits / REQUESTS:11.3f} {cache.hits / REQUESTS:11.3f} {(middle - began) / REQUESTS * 1e6:12.2f} "
                  f"{(end - middle) / REQUESTS * 1e6:12.2f}")


if __name__ == "__main__":
    main()

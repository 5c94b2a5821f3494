"""Hot titles in bounded memory: the space-saving algorithm, with merging and ageing. Counts are never too low. benchmarks/sketch.py compares it with exact counts.

Alternatives: count-min keeps no names and needs a heap of candidates beside it; the bound of lossy counting grows with the stream. Space-saving keeps names and counts together,
overestimates by at most the smallest count kept, and two sketches merge into one with the sum of their errors.
"""
import heapq
from typing import Iterable, NamedTuple

CAPACITY = 256             # titles; a title requested more than once in 256 plays is always among them


class HotTitle(NamedTuple):
    """A frequently requested title: at most `count` requests, at least `count - error`."""
    title: int
    count: float
    error: float


class Sketch:
    """Counts requests by title. Deterministic: of equal counts the lowest title is evicted first."""

    def __init__(self, capacity: int = CAPACITY):
        self.capacity = capacity
        self.counts: dict[int, list[float]] = {}       # title -> [count, error]
        self.heap: list[tuple[float, int]] = []        # (count when pushed, title): stale entries are refreshed when popped

    def add(self, title: int, count: float = 1.0) -> None:
        """Counts requests of one title."""
        entry = self.counts.get(title)
        if entry is not None:
            entry[0] += count
            return
        error = 0.0
        if len(self.counts) >= self.capacity:
            error = self.evict_smallest()
        self.counts[title] = [error + count, error]
        heapq.heappush(self.heap, (error + count, title))

    def evict_smallest(self) -> float:
        """Removes the title with the smallest count and returns that count."""
        while True:
            recorded, title = heapq.heappop(self.heap)
            count = self.counts[title][0] if title in self.counts else None
            if count is None:
                continue
            if count > recorded:
                heapq.heappush(self.heap, (count, title))
                continue
            del self.counts[title]
            return count

    def age(self, factor: float) -> None:
        """Multiplies all counts by a factor below 1, so that old requests weigh less."""
        for entry in self.counts.values():
            entry[0] *= factor
            entry[1] *= factor
        self.heap = [(entry[0], title) for title, entry in self.counts.items()]
        heapq.heapify(self.heap)

    def merge(self, hot_titles: Iterable[HotTitle]) -> None:
        """Adds another sketch's titles."""
        for hot in hot_titles:
            self.add(hot.title, hot.count)
            self.counts[hot.title][1] += hot.error

    def top(self, limit: int) -> list[HotTitle]:
        """The titles with the highest counts, highest first."""
        ranked = sorted(self.counts.items(), key=lambda item: (-item[1][0], item[0]))[:limit]
        return [HotTitle(title, count, error) for title, (count, error) in ranked]

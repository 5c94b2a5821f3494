"""Caches playlists and items at the edge within limits of bytes and age, and decides what is evicted.

Two queues after S3-FIFO: a new entry goes to a small one, and only an entry that is requested again moves to the main one, so that a
wave of titles requested once does not evict the few popular ones. Names evicted from the small queue are remembered for a while (ghosts):
when they come again they go straight to the main one. Measured against plain LRU in benchmarks/edge_cache.py.
"""
from collections import OrderedDict, deque
from typing import Any, NamedTuple

# Of the bytes, for new entries
SMALL_QUEUE_SHARE = 0.1
# Counted for an entry: a higher count says nothing more
MAX_HITS = 3
# Remembered names for each entry in the main queue
GHOSTS_PER_ENTRY = 1


class CacheLimits(NamedTuple):
    """Limits of one cache: bytes in total, bytes of one entry, age in ms."""
    max_bytes: int = 67_108_864
    max_entry_bytes: int = 16_777_216
    max_age_ms: float = 60_000.0


class Entry:
    """A cached value, its size in bytes, when it was fetched (ms), its hits, and whether it is in the small queue."""
    __slots__ = ("value", "size", "fetched_at", "hits", "small")

    def __init__(self, value: Any, size: int, now: float, small: bool):
        self.value, self.size, self.fetched_at, self.hits, self.small = value, size, now, 0, small


class Cache:
    """Entries by name. Times are ms and handed in."""

    def __init__(self, limits: CacheLimits = CacheLimits()):
        self.limits, self.entries = limits, {}
        self.small, self.main = deque(), deque()
        self.ghosts: OrderedDict[str, None] = OrderedDict()
        self.total_bytes = self.small_bytes = self.hits = self.misses = self.too_large = 0

    def get(self, name: str, now: float) -> Any:
        """The value, or None where it is not cached or too old."""
        entry = self.entries.get(name)
        if entry is None or now - entry.fetched_at >= self.limits.max_age_ms:
            self.misses += 1
            return None
        entry.hits = min(MAX_HITS, entry.hits + 1)
        self.hits += 1
        return entry.value

    def is_stale(self, name: str, now: float) -> bool:
        """Whether it is not cached, or past half its maximum age: time to fetch it again."""
        entry = self.entries.get(name)
        return entry is None or now - entry.fetched_at >= self.limits.max_age_ms / 2

    def put(self, name: str, value: Any, size: int, now: float) -> bool:
        """Caches a value; False where it is larger than one entry may be."""
        if size > self.limits.max_entry_bytes or size > self.limits.max_bytes:
            self.too_large += 1
            self.drop(name)
            return False
        old = self.entries.get(name)
        # Refreshed: it keeps its place and its hits
        if old is not None:
            self.add_bytes(old, size - old.size)
            old.value, old.size, old.fetched_at = value, size, now
        else:
            small = name not in self.ghosts
            self.ghosts.pop(name, None)
            entry = self.entries[name] = Entry(value, size, now, small)
            (self.small if small else self.main).append((name, entry))
            self.add_bytes(entry, size)
        while self.total_bytes > self.limits.max_bytes:
            self.evict_step()
        return True

    def add_bytes(self, entry: Entry, change: int) -> None:
        """Counts a change of an entry's size, in bytes."""
        self.total_bytes += change
        self.small_bytes += change if entry.small else 0

    def evict_step(self) -> None:
        """Takes the oldest entry off a queue: one with hits goes on in the main queue, one without is evicted."""
        if self.small and (self.small_bytes > SMALL_QUEUE_SHARE * self.limits.max_bytes or not self.main):
            name, entry = self.small.popleft()
            if self.entries.get(name) is not entry:
                return
            if entry.hits > 0:
                self.small_bytes -= entry.size
                entry.small, entry.hits = False, 0
                self.main.append((name, entry))
                return
            self.ghosts[name] = None
            while len(self.ghosts) > max(16, GHOSTS_PER_ENTRY * len(self.main)):
                self.ghosts.popitem(last=False)
            return self.remove(name, entry)
        name, entry = self.main.popleft()
        if self.entries.get(name) is not entry:
            return None
        if entry.hits > 0:
            entry.hits -= 1
            self.main.append((name, entry))
            return None
        return self.remove(name, entry)

    def remove(self, name: str, entry: Entry) -> None:
        """Removes an entry; its place in a queue is dropped once its turn comes."""
        del self.entries[name]
        self.add_bytes(entry, -entry.size)

    def drop(self, name: str) -> None:
        """Removes an entry by name, where there is one."""
        entry = self.entries.get(name)
        if entry is not None:
            self.remove(name, entry)

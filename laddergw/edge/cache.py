"""Keeps playlists and items at the edge within bounds of bytes and age, and decides what goes when room is wanted.

Two queues in the manner of S3-FIFO: what is new waits in a small one, and only what was asked for again moves to the main
one, so that a wave of titles asked for once does not push out the few that are wanted much. Names that left the small queue are
remembered for a while: coming again they go to the main one at once. Measured against plain LRU in benchmarks/edge_cache.py.
"""
from collections import OrderedDict, deque
from typing import Any, NamedTuple

SMALL_PART = 0.1           # of the bytes, for what is new
HITS_MOST = 3              # counted for an entry: more says nothing new
GHOSTS_FOR_EACH = 1        # remembered names for each entry in the main queue


class CacheLimits(NamedTuple):
    """Of one cache: bytes in all, bytes of one entry, age in ms."""
    max_bytes: int = 67_108_864
    max_entry_bytes: int = 16_777_216
    max_age_ms: float = 60_000.0


class Entry:
    """One thing kept."""
    __slots__ = ("value", "size", "since", "hits", "small")

    def __init__(self, value: Any, size: int, now: float, small: bool):
        self.value, self.size, self.since, self.hits, self.small = value, size, now, 0, small


class Cache:
    """Entries by name. Times are ms, handed in."""

    def __init__(self, limits: CacheLimits = CacheLimits()):
        self.limits, self.entries = limits, {}
        self.small, self.main = deque(), deque()
        self.ghosts: OrderedDict[str, None] = OrderedDict()
        self.bytes = self.small_bytes = self.found = self.missed = self.refused = 0

    def get(self, name: str, now: float) -> Any:
        """The value, or None where it is not held or too old."""
        entry = self.entries.get(name)
        if entry is None or now - entry.since >= self.limits.max_age_ms:
            self.missed += 1
            return None
        entry.hits = min(HITS_MOST, entry.hits + 1)
        self.found += 1
        return entry.value

    def old(self, name: str, now: float) -> bool:
        """Whether it is not held, or past half its age: time to fetch it anew."""
        entry = self.entries.get(name)
        return entry is None or now - entry.since >= self.limits.max_age_ms / 2

    def put(self, name: str, value: Any, size: int, now: float) -> bool:
        """Keeps a value; False where it is over the bound for one entry."""
        if size > self.limits.max_entry_bytes or size > self.limits.max_bytes:
            self.refused += 1
            self.drop(name)
            return False
        old = self.entries.get(name)
        if old is not None:                      # made anew: it keeps its place and what is known of it
            self.count(old, size - old.size)
            old.value, old.size, old.since = value, size, now
        else:
            small = name not in self.ghosts
            self.ghosts.pop(name, None)
            entry = self.entries[name] = Entry(value, size, now, small)
            (self.small if small else self.main).append((name, entry))
            self.count(entry, size)
        while self.bytes > self.limits.max_bytes:
            self.make_room()
        return True

    def count(self, entry: Entry, change: int) -> None:
        self.bytes += change
        self.small_bytes += change if entry.small else 0

    def make_room(self) -> None:
        if self.small and (self.small_bytes > SMALL_PART * self.limits.max_bytes or not self.main):
            name, entry = self.small.popleft()
            if self.entries.get(name) is not entry:
                return
            if entry.hits > 0:
                self.small_bytes -= entry.size
                entry.small, entry.hits = False, 0
                self.main.append((name, entry))
                return
            self.ghosts[name] = None
            while len(self.ghosts) > max(16, GHOSTS_FOR_EACH * len(self.main)):
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
        del self.entries[name]
        self.count(entry, -entry.size)

    def drop(self, name: str) -> None:
        entry = self.entries.get(name)
        if entry is not None:
            self.remove(name, entry)

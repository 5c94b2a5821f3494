"""Fetches playlists from media nodes into the edge's cache: one fetch at a time for the same thing, whoever asks."""
from collections import deque
from typing import Any, Callable, NamedTuple

from laddergw.edge.cache import CacheLimits, Cache
from laddergw.hls.reading import InvalidPlaylist, read
from laddergw.hls.values import Media
from laddergw.http.client import Call, Pool
from laddergw.http.limits import PoolLimits

LIMIT_MS = 800.0           # one fetch; then the next source is tried
LIMITS = PoolLimits(max_connections=8, max_waiting=256, max_answer_bytes=16_777_216)


class Copies(NamedTuple):
    """Second copies of a read: so many more sources are asked, one after each pause, ms, while none has answered."""
    most: int = 0
    after_ms: float = 300.0


class Fetch:
    """One read under way, at one source or several. `done(value)` once, with None where all have failed."""

    def __init__(self, fetcher: "Fetcher", path: str, sources: list[tuple], copies: Copies, done: Callable[[Any], None]):
        self.fetcher, self.path, self.rest, self.copies, self.done = fetcher, path, deque(sources), copies, done
        self.calls: list[Call] = []
        self.extra, self.over = copies.most, False
        self.next()

    def next(self) -> None:
        """The next source is asked; a copy goes to the one after it in time."""
        if not self.rest:
            if not self.calls:
                self.fetcher.loop.call_soon(lambda: self.finish(None))
            return
        pool, loop = self.fetcher.pool(self.rest.popleft()), self.fetcher.loop
        self.fetcher.fetches += 1
        call = pool.call("GET", self.path, b"", self.ended)
        self.calls.append(call)
        loop.call_later(LIMIT_MS, lambda: call.abort("no playlist in time"))
        if self.extra and self.rest:
            loop.call_later(self.copies.after_ms, lambda: self.copy(call))

    def copy(self, call: Call) -> None:
        if not self.over and call in self.calls and self.extra and self.rest:
            self.extra -= 1
            self.fetcher.copies += 1
            self.next()

    def ended(self, call: Call) -> None:
        if self.over:
            return
        self.calls.remove(call)
        media: Any = None
        if call.status == 200:
            try:
                media = read(call.body)
            except InvalidPlaylist:
                media = None
        if isinstance(media, Media):
            self.fetcher.cache.put(self.path, media, len(call.body), self.fetcher.loop.now)
            self.finish(media)
        elif not self.calls:
            self.next()

    def finish(self, value: Any) -> None:
        if not self.over:
            self.over = True
            for call in self.calls:
                call.abort("another copy was quicker")
            self.done(value)


class Fetcher:
    """Playlists by path. `got(media)` or `got(None)` is called once for each ask, never within the ask."""

    def __init__(self, loop, limits: CacheLimits = CacheLimits()):
        self.loop, self.cache = loop, Cache(limits)
        self.pools: dict[tuple, Pool] = {}
        self.asking: dict[str, list[Callable[[Media | None], None]]] = {}
        self.fetches = self.failures = self.copies = 0

    def ask(self, path: str, addresses: list[tuple[str, int]], got: Callable[[Media | None], None], copies: Copies = Copies()) -> None:
        """The playlist at a path, from the first of the addresses that has it."""
        value = self.cache.get(path, self.loop.now)
        if value is not None:
            return self.loop.call_soon(lambda: got(value))
        return self.anew(path, addresses, got, copies)

    def anew(self, path: str, addresses: list[tuple[str, int]], got: Callable[[Media | None], None], copies: Copies = Copies()) -> None:
        """The same, though it be held."""
        waiting = self.asking.setdefault(path, [])
        waiting.append(got)
        if len(waiting) == 1:
            Fetch(self, path, [tuple(address) for address in addresses], copies, lambda media: self.answer(path, media))

    def pool(self, address: tuple) -> Pool:
        if address not in self.pools:
            self.pools[address] = Pool(self.loop, address, LIMITS)
        return self.pools[address]

    def answer(self, path: str, media: Media | None) -> None:
        self.failures += media is None
        for got in self.asking.pop(path, ()):
            got(media)

    def close(self) -> None:
        for pool in self.pools.values():
            pool.close()

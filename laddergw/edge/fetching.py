"""Fetches playlists from media nodes into the edge's cache; concurrent requests for the same playlist share one fetch."""
from collections import deque
from typing import Any, Callable, NamedTuple

from laddergw.edge.cache import CacheLimits, Cache
from laddergw.hls.reading import InvalidPlaylist, read
from laddergw.hls.values import Media
from laddergw.http.client import Call, Pool
from laddergw.http.limits import PoolLimits

# Of one call; after it the next source is tried
CALL_TIMEOUT_MS = 800.0
POOL_LIMITS = PoolLimits(max_connections=8, max_waiting=256, max_answer_bytes=16_777_216)


class HedgePolicy(NamedTuple):
    """Hedged reads: up to `max_hedges` more sources are asked, one after each pause of `after_ms`, while none has answered."""
    max_hedges: int = 0
    after_ms: float = 300.0


class Fetch:
    """One read in progress, at one source or several. `done(value)` is called once, with None where all have failed."""

    def __init__(self, fetcher: "Fetcher", path: str, sources: list[tuple], hedging: HedgePolicy, done: Callable[[Any], None]):
        self.fetcher, self.path, self.untried, self.hedging, self.done = fetcher, path, deque(sources), hedging, done
        self.calls: list[Call] = []
        self.hedges_left, self.finished = hedging.max_hedges, False
        self.try_next()

    def try_next(self) -> None:
        """Asks the next source, and schedules a hedge to the one after it."""
        if not self.untried:
            if not self.calls:
                self.fetcher.loop.call_soon(lambda: self.finish(None))
            return
        pool, loop = self.fetcher.pool(self.untried.popleft()), self.fetcher.loop
        self.fetcher.fetches += 1
        call = pool.call("GET", self.path, b"", self.call_ended)
        self.calls.append(call)
        loop.call_later(CALL_TIMEOUT_MS, lambda: call.abort("no playlist in time"))
        if self.hedges_left and self.untried:
            loop.call_later(self.hedging.after_ms, lambda: self.hedge(call))

    def hedge(self, call: Call) -> None:
        """Asks a further source while a call has no answer yet."""
        if not self.finished and call in self.calls and self.hedges_left and self.untried:
            self.hedges_left -= 1
            self.fetcher.hedges += 1
            self.try_next()

    def call_ended(self, call: Call) -> None:
        """Takes a media playlist from an answer; otherwise the next source is tried once no call is left."""
        if self.finished:
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
            self.try_next()

    def finish(self, value: Any) -> None:
        """Ends the read, once; calls still open are cut."""
        if not self.finished:
            self.finished = True
            for call in self.calls:
                call.abort("another source answered first")
            self.done(value)


class Fetcher:
    """Playlists by path. `on_result(media)` or `on_result(None)` is called once for each request, never within the request itself."""

    def __init__(self, loop, limits: CacheLimits = CacheLimits()):
        self.loop, self.cache = loop, Cache(limits)
        self.pools: dict[tuple, Pool] = {}
        self.pending: dict[str, list[Callable[[Media | None], None]]] = {}
        self.fetches = self.failures = self.hedges = 0

    def get(self, path: str, addresses: list[tuple[str, int]], on_result: Callable[[Media | None], None], hedging: HedgePolicy = HedgePolicy()) -> None:
        """The playlist at a path, from the cache or from the first of the addresses that has it."""
        value = self.cache.get(path, self.loop.now)
        if value is not None:
            return self.loop.call_soon(lambda: on_result(value))
        return self.refetch(path, addresses, on_result, hedging)

    def refetch(self, path: str, addresses: list[tuple[str, int]], on_result: Callable[[Media | None], None], hedging: HedgePolicy = HedgePolicy()) -> None:
        """The same, even where it is cached."""
        waiting = self.pending.setdefault(path, [])
        waiting.append(on_result)
        if len(waiting) == 1:
            Fetch(self, path, [tuple(address) for address in addresses], hedging, lambda media: self.deliver(path, media))

    def pool(self, address: tuple) -> Pool:
        """The connections to one node."""
        if address not in self.pools:
            self.pools[address] = Pool(self.loop, address, POOL_LIMITS)
        return self.pools[address]

    def deliver(self, path: str, media: Media | None) -> None:
        """Passes the outcome of a fetch to all that wait for it."""
        self.failures += media is None
        for on_result in self.pending.pop(path, ()):
            on_result(media)

    def close(self) -> None:
        """Closes the connections to all nodes."""
        for pool in self.pools.values():
            pool.close()

"""The list service's stand-in: knows which processes run, tells directors late, and goes out of reach by script."""
import json
from typing import Callable
from zlib import crc32

from laddergw.http.limits import PeerLimits
from laddergw.http.server import Exchange, Server

ALIVE_MS = 4_000.0         # a frame that says only that the service lives
LIMITS = PeerLimits(idle_ms=60_000.0, max_queued_bytes=16_777_216)


class ListStandIn:
    """Entries by node; each change reaches each director after the lag, in order."""

    def __init__(self, loop, address: tuple[str, int], lag_ms: tuple[float, float], seed: int, record: Callable):
        self.loop, self.lag_ms, self.seed, self.record, self.draws = loop, lag_ms, seed, record, 0
        self.entries: dict[int, dict] = {}
        self.version, self.out_of_reach, self.extra_lag = 0, False, 0.0
        self.followers: dict[Exchange, float] = {}     # when its next frame may go, so that frames keep their order
        self.server = Server(loop, address, self.serve, LIMITS)
        self.address = self.server.address
        loop.call_later(ALIVE_MS, self.alive)

    def chance(self) -> float:
        self.draws += 1
        return crc32(b"list %d %d" % (self.seed, self.draws)) / 2 ** 32

    def serve(self, exchange: Exchange) -> None:
        if self.out_of_reach:
            exchange.connection.stream.abort()
            return
        if exchange.path != "/v1/list":
            exchange.answer(404, b'{"error": "no such page"}')
            return
        exchange.begin(200, self.frame("whole", list(self.entries.values())))
        self.followers[exchange] = self.loop.now
        exchange.on_disconnect = lambda: self.followers.pop(exchange, None)

    def frame(self, form: str, entries: list[dict]) -> bytes:
        told = [{key: value for key, value in entry.items() if key != "started"} | {
            "age_ms": None if entry["started"] is None else max(0.0, round(self.loop.now - entry["started"], 3))} for entry in entries]
        return json.dumps({"form": form, "version": self.version, "nodes": told}).encode() + b"\n"

    def change(self, entry: dict) -> None:
        """Sets a node's entry: told to each follower after its own lag."""
        self.version += 1
        self.entries[entry["node"]] = entry
        version = self.version
        low, high = self.lag_ms
        for exchange, free in list(self.followers.items()):
            when = max(free, self.loop.now + low + (high - low) * self.chance() + self.extra_lag)
            self.followers[exchange] = when
            self.loop.call_at(when, lambda exchange=exchange: self.tell(exchange, version, entry))
        if entry["state"] == "gone":
            self.entries.pop(entry["node"])

    def tell(self, exchange: Exchange, version: int, entry: dict) -> None:
        if exchange in self.followers:
            held, self.version = self.version, version
            exchange.push(self.frame("changes", [entry]))
            self.version = held

    def alive(self) -> None:
        for exchange in list(self.followers):
            exchange.push(b'{"form": "alive"}\n')
        self.loop.call_later(ALIVE_MS, self.alive)

    def reach(self, out: bool) -> None:
        self.out_of_reach = out
        self.record("list", self.loop.now, out=out)
        if out:
            for exchange in list(self.followers):
                if not exchange.disconnected:
                    exchange.connection.stream.abort()
            self.followers.clear()

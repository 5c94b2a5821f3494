"""Stand-in for the list service: knows which processes run, reports changes with a lag, and becomes unreachable by script."""
import json
from typing import Callable
from zlib import crc32

from laddergw.http.limits import PeerLimits
from laddergw.http.server import Exchange, Server

ALIVE_INTERVAL_MS = 4_000.0    # between frames that only show that the service is alive
LIMITS = PeerLimits(idle_ms=60_000.0, max_queued_bytes=16_777_216)


class ListStandIn:
    """Holds the entries by node. Each change reaches each director after the lag, in order."""

    def __init__(self, loop, address: tuple[str, int], lag_ms: tuple[float, float], seed: int, record: Callable):
        self.loop, self.lag_ms, self.seed, self.record, self.draws = loop, lag_ms, seed, record, 0
        self.entries: dict[int, dict] = {}
        self.version, self.unreachable, self.extra_lag = 0, False, 0.0
        self.followers: dict[Exchange, float] = {}     # earliest time of a follower's next frame, which keeps its frames in order
        self.server = Server(loop, address, self.serve, LIMITS)
        self.address = self.server.address
        loop.call_later(ALIVE_INTERVAL_MS, self.send_alive)

    def random_fraction(self) -> float:
        """The next number from 0 to below 1, drawn by seed."""
        self.draws += 1
        return crc32(b"list %d %d" % (self.seed, self.draws)) / 2 ** 32

    def serve(self, exchange: Exchange) -> None:
        """Answers a director's request with the whole list and follows up with changes."""
        if self.unreachable:
            exchange.connection.stream.abort()
            return
        if exchange.path != "/v1/list":
            exchange.answer(404, b'{"error": "no such page"}')
            return
        exchange.begin(200, self.frame("whole", list(self.entries.values())))
        self.followers[exchange] = self.loop.now
        exchange.on_disconnect = lambda: self.followers.pop(exchange, None)

    def frame(self, form: str, entries: list[dict]) -> bytes:
        """A frame of the list: whole, or changes only."""
        nodes = [{key: value for key, value in entry.items() if key != "started"} | {
            "age_ms": None if entry["started"] is None else max(0.0, round(self.loop.now - entry["started"], 3))} for entry in entries]
        return json.dumps({"form": form, "version": self.version, "nodes": nodes}).encode() + b"\n"

    def change(self, entry: dict) -> None:
        """Sets a node's entry and sends it to each follower after a lag of its own."""
        self.version += 1
        self.entries[entry["node"]] = entry
        version = self.version
        low, high = self.lag_ms
        for exchange, next_frame_at in list(self.followers.items()):
            due_at = max(next_frame_at, self.loop.now + low + (high - low) * self.random_fraction() + self.extra_lag)
            self.followers[exchange] = due_at
            self.loop.call_at(due_at, lambda exchange=exchange: self.send_change(exchange, version, entry))
        if entry["state"] == "gone":
            self.entries.pop(entry["node"])

    def send_change(self, exchange: Exchange, version: int, entry: dict) -> None:
        """Sends one change under the version that it made."""
        if exchange in self.followers:
            current, self.version = self.version, version
            exchange.push(self.frame("changes", [entry]))
            self.version = current

    def send_alive(self) -> None:
        """Shows the followers that the service is alive, again and again."""
        for exchange in list(self.followers):
            exchange.push(b'{"form": "alive"}\n')
        self.loop.call_later(ALIVE_INTERVAL_MS, self.send_alive)

    def set_unreachable(self, unreachable: bool) -> None:
        """Takes the service out of reach, which ends its connections, or back."""
        self.unreachable = unreachable
        self.record("list", self.loop.now, out=unreachable)
        if unreachable:
            for exchange in list(self.followers):
                if not exchange.disconnected:
                    exchange.connection.stream.abort()
            self.followers.clear()

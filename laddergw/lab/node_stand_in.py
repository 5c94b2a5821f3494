"""Stand-in for a media node: stream slots, a link and a rack's uplink shared by all, warm-up, and scripted faults.

It implements docs/protocol.md from that page alone and shares no code with the director. What it does is recorded as
(time, what, facts) for the audit. Times are ms; its own clock is offset from the loop's by a drawn amount, as in service.
"""
import json
from collections import deque
from typing import Any, Callable, NamedTuple
from zlib import crc32

from laddergw.http.limits import PeerLimits
from laddergw.http.server import Exchange, Server
from laddergw.lab import media_stand_in

CLOCK_INTERVAL_MS = 500.0            # between clock frames on a session's long answer
LOAD_INTERVAL_MS = 2_500.0           # between notes of the demand on link and uplink
DELIVERY_INTERVAL_MS = 1_000.0       # between notes of the delivered share while it is short
FULL_DELIVERY_SHARE = 0.98           # below it the delivered share is reported
EARLY_RELEASE_MEMORY_MS = 30_000.0   # memory of released ids that never came: far longer than any lease
OVERLOAD_TOLERANCE_SIGMAS = 3.0      # standard deviations above a cold node's allowance before it fails: independent directors coincide by chance
ITEMS_MS = 10_000.0                  # window over which the rate of items is taken
DRIP_INTERVAL_MS = 1_000.0           # a byte a second
LIMITS = PeerLimits(idle_ms=60_000.0)


class NodeFacts(NamedTuple):
    """A node's properties. Rates in kB a second, times in ms."""
    node: int
    cell: int
    kind: int
    weight: float
    link_kb: float
    streams: int
    work_ms: tuple[float, float]      # range of a set-up's work
    cold_from: float
    warm_ms: float
    fall_multiple: float
    fall_ms: float
    guard: float                      # share of its link in demand from which it refuses set-ups; 0: never
    rate_spread: float                # relative deviation of true rates from the ladder's


class Rack:
    """An uplink shared by the nodes of one process."""

    def __init__(self, uplink_kb: float):
        self.uplink_kb, self.nodes = uplink_kb, []

    def demand(self) -> float:
        """Demand on the uplink over its rate."""
        return sum(node.rate() for node in self.nodes) / self.uplink_kb


class HeldAllocation:
    """An allocation at the node."""

    def __init__(self, name: str, session: "DirectorSession", frame: dict):
        self.name, self.session = name, session
        self.play, self.product, self.title = frame["play"], frame["product"], frame["title"]
        self.rung, self.rate, self.lease_until = frame["rung"], frame["rate_kb"], frame["until"]
        self.set_up_done = self.confirmed = False
        self.rate_factor = 1.0                   # its true rate over the one it was set up with
        self.exchange: Exchange | None = None


class DirectorSession:
    """One director's session."""

    def __init__(self, name: str, director: str, exchange: Exchange):
        self.name, self.director, self.exchange = name, director, exchange
        self.lease_until = float("inf")          # by the node's clock; set by the first keep-alive
        self.allocations: dict[str, HeldAllocation] = {}


class NodeStandIn:
    """One process of a node. `record(what, t, **facts)` records what happens."""

    def __init__(self, loop, facts: NodeFacts, rack: Rack, address: tuple[str, int], incarnation: int, seed: int,
                 record: Callable, cold: bool):
        self.loop, self.facts, self.rack, self.incarnation, self.record = loop, facts, rack, incarnation, record
        self.seed, self.draws = crc32(b"%d %d %d" % (seed, facts.node, incarnation)), 0
        self.started = loop.now if cold else loop.now - facts.warm_ms
        self.clock_offset_ms = 1e6 * self.random_fraction()              # own clock minus the loop's
        self.sessions: dict[str, DirectorSession] = {}
        self.allocations: dict[str, HeldAllocation] = {}
        self.early_releases: dict[str, float] = {}          # released before they came, with expiry: refused when they come
        self.recent_set_ups: deque = deque()                  # times of set-ups while the node is cold
        self.item_times: deque = deque()                   # times at which segments of items were served
        self.faults: dict[str, Any] = {}
        self.frozen_until, self.backlog = 0.0, deque()
        self.draining = self.down = False
        self.session_count = 0
        rack.nodes.append(self)
        self.server = Server(loop, address, self.serve, LIMITS)
        self.address = self.server.address
        record("node started", loop.now, node=facts.node, incarnation=incarnation, cold=cold,
               streams=facts.streams, warm_ms=facts.warm_ms, cold_from=facts.cold_from)
        for ms, call in (CLOCK_INTERVAL_MS, self.send_clock), (LOAD_INTERVAL_MS, self.send_load), (DELIVERY_INTERVAL_MS, self.send_delivered_share):
            self.repeat(ms, call)

    def random_fraction(self) -> float:
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) / 2 ** 32

    def clock(self) -> float:
        return self.loop.now + self.clock_offset_ms

    def repeat(self, ms: float, call: Callable[[], None]) -> None:
        def again() -> None:
            if not self.down:
                if not self.is_frozen():
                    call()
                self.loop.call_later(ms, again)
        self.loop.call_later(ms * (0.5 + self.random_fraction() / 2), again)

    def fault(self, what: str, value: Any = None) -> None:
        """Sets a fault: mute, late (ms), errors (share), cut (share), drip, lose (share), hush (share), untold (load is reported to probes only), still (ms), die,
        vanish, drain. A value of None ends it."""
        if what == "still":
            self.frozen_until = max(self.frozen_until, self.loop.now + value)
            self.loop.call_at(self.frozen_until, self.resume)
        elif what in ("die", "vanish"):
            self.stop(what)
        elif what == "drain":
            self.draining = True
        elif value is None:
            self.faults.pop(what, None)
        else:
            self.faults[what] = value
        self.record("fault", self.loop.now, node=self.facts.node, fault=what, value=value)

    def is_frozen(self) -> bool:
        return self.loop.now < self.frozen_until

    def resume(self) -> None:
        """Resumes after a freeze: allocations whose leases ended meanwhile are released before requests are served."""
        if self.down or self.is_frozen():
            return
        self.expire()
        while self.backlog and not self.is_frozen():
            exchange = self.backlog.popleft()
            if not exchange.disconnected:
                self.serve(exchange)

    def stop(self, how: str) -> None:
        """Ends the node: its allocations are released, its connections aborted."""
        if self.down:
            return
        self.down = True
        for allocation in list(self.allocations.values()):
            self.release(allocation, self.clock(), "node " + how)
        self.rack.nodes.remove(self)
        self.server.listener.close()
        self.record("node ended", self.loop.now, node=self.facts.node, incarnation=self.incarnation, how=how)
        if how != "vanish":                      # a node that vanished leaves its connections open and unanswered
            for peer in list(self.server.connections):
                if peer.stream is not None:
                    peer.stream.abort()

    def serve(self, exchange: Exchange) -> None:
        if self.down or self.faults.get("mute"):
            return                               # accepted but never answered
        if self.is_frozen():
            return self.backlog.append(exchange)
        self.expire()
        try:
            if exchange.path == "/v1/notes":
                return self.open_session(exchange)
            if exchange.path == "/v1/report":
                self.record("probed", self.loop.now, node=self.facts.node)
                return self.reply(exchange, 200, {"report": self.load_report()})
            if exchange.method == "GET":
                if self.faults.get("stall") and exchange.path.endswith(".ts"):
                    return None                  # answers playlists and set-ups but serves no segments
                if self.faults.get("no playlists") and exchange.path.endswith(".m3u8"):
                    return None
                status, body, kind = media_stand_in.serve(exchange.path)
                if status == 200 and exchange.path.startswith("/v1/items/") and exchange.path.endswith(".ts") and not exchange.headers.get("play-here"):
                    self.item_times.append(self.loop.now)
                exchange.answer(status, body, kind)
                return None
            frame = json.loads(exchange.body)
            handler = {"/v1/setups": self.handle_set_up, "/v1/keep": self.handle_keep}.get(exchange.path)
            if handler is None:
                return self.reply(exchange, 404, {"error": "no such page"})
            handler(exchange, frame)
        except (KeyError, TypeError, ValueError) as error:
            self.reply(exchange, 400, {"error": f"{type(error).__name__}: {error}"})

    def reply(self, exchange: Exchange, status: int, frame: dict) -> None:
        exchange.answer(status, json.dumps(frame).encode())

    def open_session(self, exchange: Exchange) -> None:
        director = exchange.query.partition("director=")[2]
        for old in [s for s in self.sessions.values() if s.director == director]:
            self.end_session(old, self.clock(), "replaced")
        self.session_count += 1
        session = DirectorSession(f"{self.facts.node}.{self.incarnation}.{self.session_count}", director, exchange)
        self.sessions[session.name] = session
        exchange.on_disconnect = lambda: self.end_session(session, self.clock(), "closed")
        exchange.begin(200, json.dumps({"session": session.name, "clock": self.clock()}).encode() + b"\n")

    def end_session(self, session: DirectorSession, at: float, how: str) -> None:
        if self.sessions.pop(session.name, None) is None:
            return
        for allocation in list(session.allocations.values()):
            self.release(allocation, at, "session " + how)
        if not session.exchange.disconnected:
            session.exchange.finish()

    def expire(self) -> None:
        """Releases whatever its lease no longer covers. The recorded end is the lease's, however late this runs."""
        now = self.clock()
        for session in list(self.sessions.values()):
            if now > session.lease_until:
                self.end_session(session, session.lease_until, "lease over")
        for allocation in list(self.allocations.values()):
            if not allocation.confirmed and now > allocation.lease_until:
                self.release(allocation, allocation.lease_until, "lease over")

    def handle_set_up(self, exchange: Exchange, frame: dict) -> None:
        """Accepts or refuses an allocation; the answer follows after the set-up's work."""
        name, session, now = frame["allocation"], self.sessions.get(frame["session"]), self.clock()
        self.record("set-up came", self.loop.now, node=self.facts.node, allocation=name, play=frame["play"], rung=frame["rung"],
                    product=frame["product"], title=frame["title"], cold_ms=self.loop.now - self.started)
        if session is None:
            return self.refuse(exchange, 409, name, "session not known")
        if name in self.early_releases or now > frame["until"]:
            return self.refuse(exchange, 409, name, "came too late")
        if self.draining:
            return self.refuse(exchange, 410, name, "draining")
        if self.falls_over():
            return None
        if len(self.allocations) >= self.capacity() or self.facts.guard and self.demand() >= self.facts.guard:
            return self.refuse(exchange, 503, name, "full")
        if self.random_fraction() < self.faults.get("errors", 0.0):
            self.record("set-up failed", self.loop.now, node=self.facts.node, allocation=name)
            return self.reply(exchange, 500, {"error": "set-up failed", "report": self.reported_load()})
        allocation = HeldAllocation(name, session, frame)
        allocation.rate_factor = 1 + self.facts.rate_spread * (2 * self.random_fraction() - 1)
        allocation.exchange = exchange
        self.allocations[name] = session.allocations[name] = allocation
        self.record("held", self.loop.now, node=self.facts.node, allocation=name, play=allocation.play, product=allocation.product,
                    title=allocation.title, rung=allocation.rung, director=session.director)
        low, high = self.facts.work_ms
        work = (low + (high - low) * self.random_fraction()) / self.capacity_share() * (1 + len(self.allocations) / self.capacity())
        self.loop.call_later(work + self.faults.get("late", 0.0), lambda: self.finish_set_up(allocation))
        return None

    def refuse(self, exchange: Exchange, status: int, name: str, reason: str) -> None:
        self.record("refused", self.loop.now, node=self.facts.node, allocation=name, why=reason)
        self.reply(exchange, status, {"error": reason, "report": self.reported_load()})

    def falls_over(self) -> bool:
        """Counts set-ups while cold; if too many come in one window, the node fails and stays down."""
        now, facts = self.loop.now, self.facts
        if now - self.started >= facts.warm_ms:
            return False
        self.recent_set_ups.append(now)
        while self.recent_set_ups[0] < now - facts.fall_ms:
            self.recent_set_ups.popleft()
        allowed = facts.fall_multiple * facts.streams / facts.warm_ms * self.capacity_share() * facts.fall_ms
        allowed += OVERLOAD_TOLERANCE_SIGMAS * allowed ** 0.5
        if len(self.recent_set_ups) > allowed:
            self.record("fell over", now, node=facts.node, incarnation=self.incarnation, came=len(self.recent_set_ups), allowed=allowed)
            self.stop("die")
            return True
        return False

    def finish_set_up(self, allocation: HeldAllocation) -> None:
        """Answers a set-up whose work is done, as the node's faults allow."""
        if self.down or self.allocations.get(allocation.name) is not allocation:
            return
        if self.is_frozen():
            self.loop.call_at(self.frozen_until, lambda: self.finish_set_up(allocation))
            return
        self.expire()
        if self.allocations.get(allocation.name) is not allocation or self.faults.get("mute"):
            return
        allocation.set_up_done = True
        self.record("set up", self.loop.now, node=self.facts.node, allocation=allocation.name, play=allocation.play, product=allocation.product)
        body = json.dumps({} if self.faults.get("untold") else
                          {"report": self.reported_load(), "notes": [["link asked", self.demand()], ["uplink asked", self.rack.demand()]]})
        if self.random_fraction() < self.faults.get("hush", 0.0):
            return None                          # the work is done, but the answer never comes
        if self.random_fraction() < self.faults.get("lose", 0.0):
            return self.abort(allocation.exchange)
        if self.random_fraction() < self.faults.get("cut", 0.0):
            allocation.exchange.connection.send(b"HTTP/1.1 201 Created\r\nContent-Length: 500\r\n\r\n" + body[:20].encode())
            return self.loop.call_later(5, lambda: self.abort(allocation.exchange))
        if self.faults.get("drip"):
            return self.drip(allocation.exchange, b"HTTP/1.1 201 Created\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body.encode()))
        allocation.exchange.answer(201, body.encode())

    @staticmethod
    def abort(exchange: Exchange) -> None:
        if not exchange.disconnected:
            exchange.connection.stream.abort()

    def drip(self, exchange: Exchange, data: bytes) -> None:
        if data and not exchange.disconnected and not self.down:
            exchange.connection.send(data[:1])
            self.loop.call_later(DRIP_INTERVAL_MS, lambda: self.drip(exchange, data[1:]))

    def handle_keep(self, exchange: Exchange, frame: dict) -> None:
        """Renews a session's lease; releases, confirms and changes rungs of its allocations."""
        session, released, unknown = self.sessions.get(frame["session"]), [], []
        if session is None:
            return self.reply(exchange, 409, {"error": "session not known"})
        session.lease_until = max(frame["until"], session.lease_until if session.lease_until < float("inf") else 0)
        for name in frame["release"]:
            allocation = self.allocations.get(name)
            if allocation is None:
                self.early_releases[name] = self.clock() + EARLY_RELEASE_MEMORY_MS
            released.append([name, allocation is not None and allocation.set_up_done])
            if allocation is not None:
                self.release(allocation, self.clock(), "released")
                if not allocation.set_up_done:
                    self.abort(allocation.exchange)
        for name in frame["confirm"]:
            allocation = self.allocations.get(name)
            if allocation is None:
                unknown.append(name)
            else:
                allocation.confirmed = True
        for name, rung, rate in frame["rungs"]:
            if (allocation := self.allocations.get(name)) is not None and allocation.rung != rung:
                allocation.rate = rate
                self.record("rung", self.loop.now, node=self.facts.node, allocation=name, product=allocation.product, rung=rung)
                allocation.rung = rung
        return self.reply(exchange, 200, {"released": released, "unknown": unknown})

    def release(self, allocation: HeldAllocation, at: float, how: str) -> None:
        """Releases an allocation. If this is noticed late (after a freeze), its recorded end is the end of its lease."""
        self.allocations.pop(allocation.name, None)
        allocation.session.allocations.pop(allocation.name, None)
        at = min(at, allocation.session.lease_until, at if allocation.confirmed else allocation.lease_until)
        self.record("let go", at - self.clock_offset_ms, node=self.facts.node, allocation=allocation.name, play=allocation.play, how=how,
                    ran=allocation.set_up_done)

    def capacity_share(self) -> float:
        age = (self.loop.now - self.started) / self.facts.warm_ms
        return self.facts.cold_from + (1 - self.facts.cold_from) * min(max(age, 0.0), 1.0)

    def capacity(self) -> int:
        return max(1, int(self.facts.streams))

    def item_rate(self) -> float:
        """Recent use of the link by items of plays on other nodes, kB a second. A play on this node counts by its rate, item or not."""
        while self.item_times and self.item_times[0] < self.loop.now - ITEMS_MS:
            self.item_times.popleft()
        return len(self.item_times) * media_stand_in.ITEM_KB * media_stand_in.ITEM_MS / ITEMS_MS

    def rate(self) -> float:
        return sum(allocation.rate * allocation.rate_factor for allocation in self.allocations.values()) + self.item_rate()

    def demand(self) -> float:
        return self.rate() / (self.facts.link_kb * self.capacity_share() * self.faults.get("sag", 1.0))

    def reported_load(self) -> dict:                    # sent with the answers to set-ups
        return {} if self.faults.get("untold") else self.load_report()

    def load_report(self) -> dict:
        return {"x0": round(self.demand(), 4), "x1": round(self.rack.demand(), 4), "concurrent": len(self.allocations),
                "load_share": round(min(1.0, self.demand()), 4)}

    def push(self, frame: dict) -> None:
        for session in list(self.sessions.values()):
            if not session.exchange.push(json.dumps(frame).encode() + b"\n"):
                self.end_session(session, self.clock(), "closed")

    def send_clock(self) -> None:
        self.expire()
        now = self.clock()
        for name in [name for name, until in self.early_releases.items() if until < now]:
            del self.early_releases[name]
        if not self.faults.get("mute"):
            self.push({"clock": self.clock()})

    def send_load(self) -> None:
        if self.allocations and not self.faults.get("mute") and not self.faults.get("untold"):
            self.push({"notes": [[None, "link asked", round(self.demand(), 4)], [None, "uplink asked", round(self.rack.demand(), 4)]]})

    def send_delivered_share(self) -> None:
        share = 1 / max(1.0, self.demand(), self.rack.demand())
        if share < FULL_DELIVERY_SHARE and not self.faults.get("mute"):
            self.push({"notes": [[None, "delivered", round(share, 4)]]})

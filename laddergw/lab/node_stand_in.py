"""A media node's stand-in: places, a link and a rack's uplink shared alike, warm-up, and faults by script.

It speaks docs/protocol.md from that page alone and shares no code with the director. What it does is recorded as
(time, what, facts) for the audit. Times are ms; its own clock is off the loop's by a drawn amount, as in service.
"""
import json
from collections import deque
from typing import Any, Callable, NamedTuple
from zlib import crc32

from laddergw.http.limits import PeerLimits
from laddergw.http.server import Exchange, Server
from laddergw.lab import media_stand_in

TICK_MS = 500.0            # pace of the clock on the long answer
TELL_MS = 2_500.0          # pace of what is asked of link and uplink
SHORT_MS = 1_000.0         # pace of the delivered share while it is short
SHORT = 0.98
PROMISED_MS = 30_000.0     # memory of released ids that never came: far past any lease
FALL_SIGMAS = 3.0          # standard deviations over a cold node's allowance before it falls: directors that share nothing clump by chance
ITEMS_MS = 10_000.0        # over which the rate of items is taken
DRIP_MS = 1_000.0          # a byte a second
LIMITS = PeerLimits(idle_ms=60_000.0)


class NodeFacts(NamedTuple):
    """What a node is. Rates kB a second, times ms."""
    node: int
    cell: int
    kind: int
    weight: float
    link_kb: float
    streams: int
    work_ms: tuple[float, float]      # a set-up's work, from to
    cold_from: float
    warm_ms: float
    fall_multiple: float
    fall_ms: float
    guard: float                      # refuses while so much of its link is asked; 0: never
    rate_spread: float                # true rates stray so far from the ladder's


class Rack:
    """An uplink that nodes of one process share."""

    def __init__(self, uplink_kb: float):
        self.uplink_kb, self.nodes = uplink_kb, []

    def asked(self) -> float:
        return sum(node.rate() for node in self.nodes) / self.uplink_kb


class Held:
    """An allocation at the node."""

    def __init__(self, name: str, session: "Session", frame: dict):
        self.name, self.session = name, session
        self.play, self.product, self.title = frame["play"], frame["product"], frame["title"]
        self.rung, self.rate, self.until = frame["rung"], frame["rate_kb"], frame["until"]
        self.ready = self.confirmed = False
        self.stray = 1.0                   # its true rate over the told one
        self.exchange: Exchange | None = None


class Session:
    """One director's session."""

    def __init__(self, name: str, director: str, exchange: Exchange):
        self.name, self.director, self.exchange = name, director, exchange
        self.until = float("inf")          # own clock; set by the first keep
        self.held: dict[str, Held] = {}


class NodeStandIn:
    """One process of a node. `record(what, t, **facts)` keeps what passed."""

    def __init__(self, loop, facts: NodeFacts, rack: Rack, address: tuple[str, int], incarnation: int, seed: int,
                 record: Callable, cold: bool):
        self.loop, self.facts, self.rack, self.incarnation, self.record = loop, facts, rack, incarnation, record
        self.seed, self.draws = crc32(b"%d %d %d" % (seed, facts.node, incarnation)), 0
        self.started = loop.now if cold else loop.now - facts.warm_ms
        self.ahead = 1e6 * self.chance()              # own clock less the loop's
        self.sessions: dict[str, Session] = {}
        self.held: dict[str, Held] = {}
        self.promised: dict[str, float] = {}          # released before they came: refused when they do
        self.recent: deque = deque()                  # times of set-ups while cold
        self.items: deque = deque()                   # times at which segments of items were served
        self.faults: dict[str, Any] = {}
        self.still_until, self.backlog = 0.0, deque()
        self.draining = self.down = False
        self.numbers = 0
        rack.nodes.append(self)
        self.server = Server(loop, address, self.serve, LIMITS)
        self.address = self.server.address
        record("node started", loop.now, node=facts.node, incarnation=incarnation, cold=cold,
               streams=facts.streams, warm_ms=facts.warm_ms, cold_from=facts.cold_from)
        for ms, call in (TICK_MS, self.tick), (TELL_MS, self.tell), (SHORT_MS, self.tell_short):
            self.every(ms, call)

    def chance(self) -> float:
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) / 2 ** 32

    def clock(self) -> float:
        return self.loop.now + self.ahead

    def every(self, ms: float, call: Callable[[], None]) -> None:
        def again() -> None:
            if not self.down:
                if not self.still():
                    call()
                self.loop.call_later(ms, again)
        self.loop.call_later(ms * (0.5 + self.chance() / 2), again)

    # Faults, by script

    def fault(self, what: str, value: Any = None) -> None:
        """Sets a fault: mute, late (ms), errors (part), cut (part), drip, lose (part), hush (part), untold (load is told to probes alone), still (ms), die, vanish, drain; None ends it."""
        if what == "still":
            self.still_until = max(self.still_until, self.loop.now + value)
            self.loop.call_at(self.still_until, self.wake)
        elif what in ("die", "vanish"):
            self.end(what)
        elif what == "drain":
            self.draining = True
        elif value is None:
            self.faults.pop(what, None)
        else:
            self.faults[what] = value
        self.record("fault", self.loop.now, node=self.facts.node, fault=what, value=value)

    def still(self) -> bool:
        return self.loop.now < self.still_until

    def wake(self) -> None:
        """After standing still: what leases ended meanwhile is gone before anything else is looked at."""
        if self.down or self.still():
            return
        self.expire()
        while self.backlog and not self.still():
            exchange = self.backlog.popleft()
            if not exchange.disconnected:
                self.serve(exchange)

    def end(self, how: str) -> None:
        if self.down:
            return
        self.down = True
        for held in list(self.held.values()):
            self.drop(held, self.clock(), "node " + how)
        self.rack.nodes.remove(self)
        self.server.listener.close()
        self.record("node ended", self.loop.now, node=self.facts.node, incarnation=self.incarnation, how=how)
        if how != "vanish":                      # a node that vanished leaves its connections open, unanswered
            for peer in list(self.server.connections):
                if peer.stream is not None:
                    peer.stream.abort()

    # Requests

    def serve(self, exchange: Exchange) -> None:
        if self.down or self.faults.get("mute"):
            return                               # accepted, never answered
        if self.still():
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
                    return None                  # it answers playlists and set-ups, and gives no segment
                if self.faults.get("no playlists") and exchange.path.endswith(".m3u8"):
                    return None
                status, body, kind = media_stand_in.serve(exchange.path)
                if status == 200 and exchange.path.startswith("/v1/items/") and exchange.path.endswith(".ts") and not exchange.headers.get("play-here"):
                    self.items.append(self.loop.now)
                exchange.answer(status, body, kind)
                return None
            frame = json.loads(exchange.body)
            page = {"/v1/setups": self.set_up, "/v1/keep": self.keep}.get(exchange.path)
            if page is None:
                return self.reply(exchange, 404, {"error": "no such page"})
            page(exchange, frame)
        except (KeyError, TypeError, ValueError) as error:
            self.reply(exchange, 400, {"error": f"{type(error).__name__}: {error}"})

    def reply(self, exchange: Exchange, status: int, frame: dict) -> None:
        exchange.answer(status, json.dumps(frame).encode())

    def open_session(self, exchange: Exchange) -> None:
        director = exchange.query.partition("director=")[2]
        for old in [s for s in self.sessions.values() if s.director == director]:
            self.end_session(old, self.clock(), "replaced")
        self.numbers += 1
        session = Session(f"{self.facts.node}.{self.incarnation}.{self.numbers}", director, exchange)
        self.sessions[session.name] = session
        exchange.on_disconnect = lambda: self.end_session(session, self.clock(), "closed")
        exchange.begin(200, json.dumps({"session": session.name, "clock": self.clock()}).encode() + b"\n")

    def end_session(self, session: Session, at: float, how: str) -> None:
        if self.sessions.pop(session.name, None) is None:
            return
        for held in list(session.held.values()):
            self.drop(held, at, "session " + how)
        if not session.exchange.disconnected:
            session.exchange.finish()

    def expire(self) -> None:
        """Ends what its lease allows no longer; the end is the lease's, however late we look."""
        now = self.clock()
        for session in list(self.sessions.values()):
            if now > session.until:
                self.end_session(session, session.until, "lease over")
        for held in list(self.held.values()):
            if not held.confirmed and now > held.until:
                self.drop(held, held.until, "lease over")

    def set_up(self, exchange: Exchange, frame: dict) -> None:
        name, session, now = frame["allocation"], self.sessions.get(frame["session"]), self.clock()
        self.record("set-up came", self.loop.now, node=self.facts.node, allocation=name, play=frame["play"], rung=frame["rung"],
                    product=frame["product"], title=frame["title"], cold_ms=self.loop.now - self.started)
        if session is None:
            return self.refuse(exchange, 409, name, "session not known")
        if name in self.promised or now > frame["until"]:
            return self.refuse(exchange, 409, name, "came too late")
        if self.draining:
            return self.refuse(exchange, 410, name, "draining")
        if self.falls():
            return None
        if len(self.held) >= self.places() or self.facts.guard and self.asked() >= self.facts.guard:
            return self.refuse(exchange, 503, name, "full")
        if self.chance() < self.faults.get("errors", 0.0):
            self.record("set-up failed", self.loop.now, node=self.facts.node, allocation=name)
            return self.reply(exchange, 500, {"error": "set-up failed", "report": self.report()})
        held = Held(name, session, frame)
        held.stray = 1 + self.facts.rate_spread * (2 * self.chance() - 1)
        held.exchange = exchange
        self.held[name] = session.held[name] = held
        self.record("held", self.loop.now, node=self.facts.node, allocation=name, play=held.play, product=held.product,
                    title=held.title, rung=held.rung, director=session.director)
        low, high = self.facts.work_ms
        work = (low + (high - low) * self.chance()) / self.warmth() * (1 + len(self.held) / self.places())
        self.loop.call_later(work + self.faults.get("late", 0.0), lambda: self.finish_set_up(held))
        return None

    def refuse(self, exchange: Exchange, status: int, name: str, why: str) -> None:
        self.record("refused", self.loop.now, node=self.facts.node, allocation=name, why=why)
        self.reply(exchange, status, {"error": why, "report": self.report()})

    def falls(self) -> bool:
        """Counts set-ups while cold; sent too many in one window, it falls over and stays down."""
        now, facts = self.loop.now, self.facts
        if now - self.started >= facts.warm_ms:
            return False
        self.recent.append(now)
        while self.recent[0] < now - facts.fall_ms:
            self.recent.popleft()
        allowed = facts.fall_multiple * facts.streams / facts.warm_ms * self.warmth() * facts.fall_ms
        allowed += FALL_SIGMAS * allowed ** 0.5
        if len(self.recent) > allowed:
            self.record("fell over", now, node=facts.node, incarnation=self.incarnation, came=len(self.recent), allowed=allowed)
            self.end("die")
            return True
        return False

    def finish_set_up(self, held: Held) -> None:
        if self.down or self.held.get(held.name) is not held:
            return
        if self.still():
            self.loop.call_at(self.still_until, lambda: self.finish_set_up(held))
            return
        self.expire()
        if self.held.get(held.name) is not held or self.faults.get("mute"):
            return
        held.ready = True
        self.record("set up", self.loop.now, node=self.facts.node, allocation=held.name, play=held.play, product=held.product)
        body = json.dumps({} if self.faults.get("untold") else
                          {"report": self.report(), "notes": [["link asked", self.asked()], ["uplink asked", self.rack.asked()]]})
        if self.chance() < self.faults.get("hush", 0.0):
            return None                          # the work is done, the answer never comes
        if self.chance() < self.faults.get("lose", 0.0):
            return self.abort(held.exchange)
        if self.chance() < self.faults.get("cut", 0.0):
            held.exchange.connection.send(b"HTTP/1.1 201 Created\r\nContent-Length: 500\r\n\r\n" + body[:20].encode())
            return self.loop.call_later(5, lambda: self.abort(held.exchange))
        if self.faults.get("drip"):
            return self.drip(held.exchange, b"HTTP/1.1 201 Created\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body.encode()))
        held.exchange.answer(201, body.encode())

    @staticmethod
    def abort(exchange: Exchange) -> None:
        if not exchange.disconnected:
            exchange.connection.stream.abort()

    def drip(self, exchange: Exchange, data: bytes) -> None:
        if data and not exchange.disconnected and not self.down:
            exchange.connection.send(data[:1])
            self.loop.call_later(DRIP_MS, lambda: self.drip(exchange, data[1:]))

    def keep(self, exchange: Exchange, frame: dict) -> None:
        session, released, unknown = self.sessions.get(frame["session"]), [], []
        if session is None:
            return self.reply(exchange, 409, {"error": "session not known"})
        session.until = max(frame["until"], session.until if session.until < float("inf") else 0)
        for name in frame["release"]:
            held = self.held.get(name)
            if held is None:
                self.promised[name] = self.clock() + PROMISED_MS
            released.append([name, held is not None and held.ready])
            if held is not None:
                self.drop(held, self.clock(), "released")
                if not held.ready:
                    self.abort(held.exchange)
        for name in frame["confirm"]:
            held = self.held.get(name)
            if held is None:
                unknown.append(name)
            else:
                held.confirmed = True
        for name, rung, rate in frame["rungs"]:
            if (held := self.held.get(name)) is not None and held.rung != rung:
                held.rate = rate
                self.record("rung", self.loop.now, node=self.facts.node, allocation=name, product=held.product, rung=rung)
                held.rung = rung
        return self.reply(exchange, 200, {"released": released, "unknown": unknown})

    def drop(self, held: Held, at: float, how: str) -> None:
        """Lets go of an allocation. Seen late (after standing still), its end is where its lease ended."""
        self.held.pop(held.name, None)
        held.session.held.pop(held.name, None)
        at = min(at, held.session.until, at if held.confirmed else held.until)
        self.record("let go", at - self.ahead, node=self.facts.node, allocation=held.name, play=held.play, how=how,
                    ran=held.ready)

    # Load, and what is told of it

    def warmth(self) -> float:
        age = (self.loop.now - self.started) / self.facts.warm_ms
        return self.facts.cold_from + (1 - self.facts.cold_from) * min(max(age, 0.0), 1.0)

    def places(self) -> int:
        return max(1, int(self.facts.streams))

    def item_rate(self) -> float:
        """kB a second that items of plays elsewhere took of the link lately. A play that is here is counted by its rate, item or not."""
        while self.items and self.items[0] < self.loop.now - ITEMS_MS:
            self.items.popleft()
        return len(self.items) * media_stand_in.ITEM_KB * media_stand_in.ITEM_MS / ITEMS_MS

    def rate(self) -> float:
        return sum(held.rate * held.stray for held in self.held.values()) + self.item_rate()

    def asked(self) -> float:
        return self.rate() / (self.facts.link_kb * self.warmth() * self.faults.get("sag", 1.0))

    def report(self) -> dict:                    # with the answers to set-ups
        return {} if self.faults.get("untold") else self.load_report()

    def load_report(self) -> dict:
        return {"x0": round(self.asked(), 4), "x1": round(self.rack.asked(), 4), "concurrent": len(self.held),
                "load_share": round(min(1.0, self.asked()), 4)}

    def push(self, frame: dict) -> None:
        for session in list(self.sessions.values()):
            if not session.exchange.push(json.dumps(frame).encode() + b"\n"):
                self.end_session(session, self.clock(), "closed")

    def tick(self) -> None:
        self.expire()
        now = self.clock()
        for name in [name for name, until in self.promised.items() if until < now]:
            del self.promised[name]
        if not self.faults.get("mute"):
            self.push({"clock": self.clock()})

    def tell(self) -> None:
        if self.held and not self.faults.get("mute") and not self.faults.get("untold"):
            self.push({"notes": [[None, "link asked", round(self.asked(), 4)], [None, "uplink asked", round(self.rack.asked(), 4)]]})

    def tell_short(self) -> None:
        share = 1 / max(1.0, self.asked(), self.rack.asked())
        if share < SHORT and not self.faults.get("mute"):
            self.push({"notes": [[None, "delivered", round(share, 4)]]})

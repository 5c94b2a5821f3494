"""The director's connections to one node: the long answer with its notes, keeps, and set-ups. Carries, decides nothing."""
from typing import Callable, Protocol

from laddergw.director import frames
from laddergw.director.session import KEEP_MS, LEASE_MS, Session
from laddergw.http.client import Call, Pool
from laddergw.http.limits import PoolLimits

KEEP_LIMIT_MS = 1_000.0    # a keep without an answer is sent again on a new connection
PROBE_LIMIT_MS = 250.0     # a probe without an answer by then has failed
OPEN_LIMIT_MS = 1_500.0    # the long answer's first line
ONE = PoolLimits(max_connections=1, max_waiting=4, idle_ms=60_000.0)
SET_UPS = PoolLimits()


class NodeEvents(Protocol):
    """Who is told of what a node says. Links in `dirty` have something to send: flush() is called at the turn's end."""
    dirty: dict
    def session_up(self, link: "Link") -> None: ...
    def session_lost(self, link: "Link", why: str) -> None: ...
    def node_said(self, link: "Link", line: frames.NoteLine) -> None: ...
    def released(self, link: "Link", released: dict, unknown: list) -> None: ...


class Link:
    """One node as the director reaches it."""

    def __init__(self, loop, node: int, address: tuple[str, int], director: str, told: NodeEvents, tap: Callable | None = None):
        self.loop, self.node, self.address, self.told, self.director = loop, node, address, told, director
        self.notes = Pool(loop, address, ONE)
        self.control = Pool(loop, address, ONE)
        self.set_ups = Pool(loop, address, SET_UPS, tap)
        self.probes = Pool(loop, address, ONE)
        self.session = Session(loop.now)
        self.confirms: dict[str, None] = {}
        self.releases: dict[str, None] = {}
        self.rungs: dict[str, tuple] = {}         # rung and rate, kB a second
        self.held_up: list[Callable[[], None]] = []    # set-ups that wait for the session
        self.stream: Call | None = None
        self.keeping: Call | None = None
        self.sent: tuple = ()
        self.closed = False
        self.dying: Call | None = None       # old lease's end, while it is not known whether the node still holds plays
        self.timer = self.limit = None
        self.open()

    # The long answer

    def open(self) -> None:
        self.timer = None
        if self.closed:
            return
        self.stream = self.notes.call("GET", f"/v1/notes?director={self.director}", b"", self.stream_ended, self.line)
        self.limit = self.loop.call_later(OPEN_LIMIT_MS, self.open_late)

    def open_late(self) -> None:
        if self.stream is not None and not self.session.up:
            self.stream.abort("no first line in time")

    def line(self, line: bytes | None) -> None:
        if line is None:
            return
        try:
            read = frames.read_notes(line)
        except frames.MalformedFrame as error:
            return self.stream.abort(str(error))
        was_up = self.session.up
        if read.clock is not None:
            self.session.ticked(self.loop.now, read.clock, read.session)
        if self.session.up and not was_up:
            self.begun()
        if read.notes or read.ended:
            self.told.node_said(self, read)

    def begun(self) -> None:
        """A session is up: it ends whatever the node held for the one before."""
        self.limit.cancel()
        self.over("a new session")
        self.keep()
        waiting, self.held_up = self.held_up, []
        for call in waiting:
            call()
        self.told.session_up(self)
        self.watch()

    def stream_ended(self, call: Call) -> None:
        """The long answer broke. The node sees that too and ends what it holds; until that is certain (a new session, no
        process there, or the lease's end) it may still hold plays."""
        self.stream = None
        self.limit.cancel()
        lease_ends, was_up = self.session.lease_ends, self.session.up
        pause = self.session.lost(self.loop.now)
        if was_up:
            self.forget()
            pause = 0.0
            self.dying = self.loop.call_at(lease_ends, lambda: self.over("its lease is over"))
        if call.connection_refused:
            self.over("no process there")
        if not self.closed and self.timer is None:
            self.timer = self.loop.call_later(pause, self.open)

    def over(self, why: str) -> None:
        if self.dying is not None:
            self.dying.cancel()
            self.dying = None
            self.told.session_lost(self, why)

    def forget(self) -> None:
        self.confirms.clear()
        self.releases.clear()
        self.rungs.clear()
        if self.keeping is not None:
            keeping, self.keeping = self.keeping, None
            keeping.abort("session lost")

    # Keeps

    def watch(self) -> None:
        """Keeps due and silence, at the pace of keeps."""
        if self.closed or not self.session.up:
            return
        if self.session.over(self.loop.now):
            return self.stream.abort("the node is silent and its lease is over") if self.stream is not None else None
        if self.session.due(self.loop.now):
            self.keep()
        self.loop.call_later(KEEP_MS / 4, self.watch)

    def flush(self) -> None:
        """Sends what the turn has gathered, one keep at a time."""
        if self.session.up and self.keeping is None and (self.confirms or self.releases or self.rungs):
            if not self.session.silent(self.loop.now):
                self.keep()

    def keep(self) -> None:
        if self.keeping is not None:
            return
        now, session = self.loop.now, self.session
        self.sent = list(self.confirms), list(self.releases), [(name, *rung) for name, rung in self.rungs.items()]
        body = frames.keep(session.name, session.until(now, LEASE_MS), *self.sent)
        session.keeping(now)
        self.keeping = call = self.control.call("POST", "/v1/keep", body, self.kept)
        self.loop.call_later(KEEP_LIMIT_MS, lambda: call.abort("no answer to a keep in time"))

    def kept(self, call: Call) -> None:
        if self.keeping is not call:
            return
        self.keeping = None
        self.told.dirty[self] = None
        if call.status != 200:                   # told again with the next keep: all of it may be told twice
            if call.status == 409 and self.stream is not None:
                self.stream.abort("the node does not know the session")
            return
        self.session.kept()
        confirms, releases, rungs = self.sent
        for name in confirms:
            self.confirms.pop(name, None)
        for name in releases:
            self.releases.pop(name, None)
        for name, *rung in rungs:
            if self.rungs.get(name) == tuple(rung):
                del self.rungs[name]
        try:
            released, unknown = frames.read_keep_answer(call.body)
        except frames.MalformedFrame:
            return
        if released or unknown:
            self.told.released(self, released, unknown)

    def confirm(self, name: str) -> None:
        self.confirms[name] = None
        self.told.dirty[self] = None

    def release(self, name: str) -> None:
        self.confirms.pop(name, None)
        self.rungs.pop(name, None)
        self.releases[name] = None
        self.told.dirty[self] = None

    def rung(self, name: str, rung: int, rate: float) -> None:
        self.rungs[name] = rung, rate
        self.told.dirty[self] = None

    # Set-ups

    def set_up(self, body: Callable[[Session], bytes], done: Callable[[Call], None], label) -> Call | None:
        """Sends a set-up; None where the session is not up (see `when_up`)."""
        if not self.session.up:
            return None
        return self.set_ups.call("POST", "/v1/setups", body(self.session), done, label=label)

    def probe(self, done: Callable[[Call], None]) -> None:
        """Asks the node for its load."""
        call = self.probes.call("GET", "/v1/report", b"", done)
        self.loop.call_later(PROBE_LIMIT_MS, lambda: call.abort("no answer to a probe in time"))

    def when_up(self, call: Callable[[], None]) -> None:
        self.held_up.append(call)

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.stream is not None:
            self.stream.abort("link closed")
        self.forget()
        for pool in self.notes, self.control, self.set_ups, self.probes:
            pool.close()

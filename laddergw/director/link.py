"""The director's connections to one node: the stream of notes, keeps, set-ups and probes. No decision is made here.

The stream of notes is the long answer to one request; a session lasts as long as it does, see session.py. A keep renews the session's lease and
carries confirmations, releases and changes of rungs.

When a node falls silent (see check_session): after SILENCE_TIMEOUT_MS without an answer no further keep is sent, so that its lease expires; then the stream
is aborted and `session_lost` is reported, with which the director ends the plays there as broken (machines/allocation.py).
"""
from typing import Callable, Protocol

from laddergw.director import frames
from laddergw.director.session import KEEP_MS, LEASE_MS, Session
from laddergw.http.client import Call, Pool
from laddergw.http.limits import PoolLimits

KEEP_TIMEOUT_MS = 1_000.0    # then a keep without an answer is sent again on a new connection
PROBE_TIMEOUT_MS = 250.0
OPEN_TIMEOUT_MS = 1_500.0    # of the first line of the stream of notes
SINGLE_CONNECTION = PoolLimits(max_connections=1, max_waiting=4, idle_ms=60_000.0)
SET_UP_POOL_LIMITS = PoolLimits()


class NodeEvents(Protocol):
    """Receives the events of links. Links in `links_to_flush` have something to send: flush() is called at the turn's end.

    `session_up`: a session is open; `session_lost`: the node holds nothing of the former session any more; `notes_received`: a line
    of notes and ends of allocations; `released`: allocations that the node has released, and whether each ran, and those that it does not hold.
    """
    links_to_flush: dict
    def session_up(self, link: "Link") -> None: ...
    def session_lost(self, link: "Link", reason: str) -> None: ...
    def notes_received(self, link: "Link", line: frames.NoteLine) -> None: ...
    def released(self, link: "Link", released: dict, unknown: list) -> None: ...


class Link:
    """The connections to one node; their events go to `events`."""

    def __init__(self, loop, node: int, address: tuple[str, int], director: str, events: NodeEvents, tap: Callable | None = None):
        self.loop, self.node, self.address, self.events, self.director = loop, node, address, events, director
        self.notes = Pool(loop, address, SINGLE_CONNECTION)
        self.control = Pool(loop, address, SINGLE_CONNECTION)
        self.set_ups = Pool(loop, address, SET_UP_POOL_LIMITS, tap)
        self.probes = Pool(loop, address, SINGLE_CONNECTION)
        self.session = Session(loop.now)
        self.confirms: dict[str, None] = {}
        self.releases: dict[str, None] = {}
        self.rungs: dict[str, tuple] = {}              # rung and rate, kB/s, by allocation
        self.waiting_for_session: list[Callable[[], None]] = []
        self.stream: Call | None = None
        self.keep_call: Call | None = None
        self.sent_in_keep: tuple = ()
        self.closed = False
        # Runs to the old lease's end, while it is not known whether the node still holds plays
        self.lease_end_timer: Call | None = None
        self.redial_timer = self.open_timer = None
        self.open()

    # The stream of notes

    def open(self) -> None:
        """Opens the stream of notes, and with it a session."""
        self.redial_timer = None
        if self.closed:
            return
        self.stream = self.notes.call("GET", f"/v1/notes?director={self.director}", b"", self.stream_ended, self.line_received)
        self.open_timer = self.loop.call_later(OPEN_TIMEOUT_MS, self.open_timed_out)

    def open_timed_out(self) -> None:
        """Ends a stream that has opened no session in time."""
        if self.stream is not None and not self.session.up:
            self.stream.abort("no first line in time")

    def line_received(self, line: bytes | None) -> None:
        """Handles one line of the stream; a malformed one ends it."""
        if line is None:
            return
        try:
            read = frames.read_notes(line)
        except frames.MalformedFrame as error:
            return self.stream.abort(str(error))
        was_up = self.session.up
        if read.clock is not None:
            self.session.clock_received(self.loop.now, read.clock, read.session)
        if self.session.up and not was_up:
            self.session_started()
        if read.notes or read.ended:
            self.events.notes_received(self, read)

    def session_started(self) -> None:
        """Handles the opening of a session: the node has ended whatever it held for the one before."""
        self.open_timer.cancel()
        self.session_ended("a new session")
        self.send_keep()
        waiting, self.waiting_for_session = self.waiting_for_session, []
        for call in waiting:
            call()
        self.events.session_up(self)
        self.check_session()

    def stream_ended(self, call: Call) -> None:
        """Handles the end of the stream of notes. The node notices it too and ends what it holds; until that is certain (by a new
        session, a refused connection, or the lease's end) it may still hold plays."""
        self.stream = None
        self.open_timer.cancel()
        lease_ends, was_up = self.session.lease_ends, self.session.up
        pause = self.session.connection_lost(self.loop.now)
        if was_up:
            self.clear_pending()
            pause = 0.0
            self.lease_end_timer = self.loop.call_at(lease_ends, lambda: self.session_ended("its lease has expired"))
        if call.connection_refused:
            self.session_ended("connection refused")
        if not self.closed and self.redial_timer is None:
            self.redial_timer = self.loop.call_later(pause, self.open)

    def session_ended(self, reason: str) -> None:
        """Reports, once, that the node holds nothing of the former session any more."""
        if self.lease_end_timer is not None:
            self.lease_end_timer.cancel()
            self.lease_end_timer = None
            self.events.session_lost(self, reason)

    def clear_pending(self) -> None:
        """Drops what was to be sent with keeps, and the keep under way."""
        self.confirms.clear()
        self.releases.clear()
        self.rungs.clear()
        if self.keep_call is not None:
            keep_call, self.keep_call = self.keep_call, None
            keep_call.abort("session lost")

    # Keeps

    def check_session(self) -> None:
        """Sends keeps that are due and ends an expired session; runs four times per keep interval."""
        if self.closed or not self.session.up:
            return
        if self.session.has_expired(self.loop.now):
            return self.stream.abort("the node is silent and its lease has expired") if self.stream is not None else None
        if self.session.keep_due(self.loop.now):
            self.send_keep()
        self.loop.call_later(KEEP_MS / 4, self.check_session)

    def flush(self) -> None:
        """Sends what the turn has gathered; only one keep is under way at a time."""
        if self.session.up and self.keep_call is None and (self.confirms or self.releases or self.rungs):
            if not self.session.is_silent(self.loop.now):
                self.send_keep()

    def send_keep(self) -> None:
        """Sends a keep with all that is pending, unless one is under way."""
        if self.keep_call is not None:
            return
        now, session = self.loop.now, self.session
        self.sent_in_keep = list(self.confirms), list(self.releases), [(name, *rung) for name, rung in self.rungs.items()]
        body = frames.keep(session.name, session.node_time(now, LEASE_MS), *self.sent_in_keep)
        session.keep_sent(now)
        self.keep_call = call = self.control.call("POST", "/v1/keep", body, self.keep_answered)
        self.loop.call_later(KEEP_TIMEOUT_MS, lambda: call.abort("no answer to a keep in time"))

    def keep_answered(self, call: Call) -> None:
        """Handles the answer to a keep; what a failed one carried is sent again with the next, so the node may get it twice."""
        if self.keep_call is not call:
            return
        self.keep_call = None
        self.events.links_to_flush[self] = None
        if call.status != 200:
            if call.status == 409 and self.stream is not None:
                self.stream.abort("the node does not know the session")
            return
        self.session.keep_acknowledged()
        confirms, releases, rungs = self.sent_in_keep
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
            self.events.released(self, released, unknown)

    def confirm(self, name: str) -> None:
        """Confirms an allocation with the next keep."""
        self.confirms[name] = None
        self.events.links_to_flush[self] = None

    def release(self, name: str) -> None:
        """Releases an allocation with the next keep."""
        self.confirms.pop(name, None)
        self.rungs.pop(name, None)
        self.releases[name] = None
        self.events.links_to_flush[self] = None

    def rung(self, name: str, rung: int, rate: float) -> None:
        """Changes an allocation's rung with the next keep; `rate` in kB/s."""
        self.rungs[name] = rung, rate
        self.events.links_to_flush[self] = None

    # Set-ups

    def set_up(self, body: Callable[[Session], bytes], done: Callable[[Call], None], label) -> Call | None:
        """Sends a set-up; returns None if the session is not open (see `when_up`)."""
        if not self.session.up:
            return None
        return self.set_ups.call("POST", "/v1/setups", body(self.session), done, label=label)

    def probe(self, done: Callable[[Call], None]) -> None:
        """Asks the node for its load."""
        call = self.probes.call("GET", "/v1/report", b"", done)
        self.loop.call_later(PROBE_TIMEOUT_MS, lambda: call.abort("no answer to a probe in time"))

    def when_up(self, call: Callable[[], None]) -> None:
        """Calls `call` once the session is open."""
        self.waiting_for_session.append(call)

    def close(self) -> None:
        """Closes all connections to the node."""
        self.closed = True
        if self.redial_timer is not None:
            self.redial_timer.cancel()
        if self.stream is not None:
            self.stream.abort("link closed")
        self.clear_pending()
        for pool in self.notes, self.control, self.set_ups, self.probes:
            pool.close()

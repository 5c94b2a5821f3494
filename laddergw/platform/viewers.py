"""The viewers' side: connections, their messages, and bounds against those who say nothing or too
much.
"""

import logging

from laddergw.platform.causes import FAILED, UNUSABLE
from laddergw.platform.releases import Releases
from laddergw.signalling import binary

# an unproven connection with nothing open, or half a message, is closed after this: 3 s are allowed
SPEAK_MS = 2_000.0
LOOK_MS = 250.0  # pace of looking for such connections
FRESH_MS = 50.0  # a new connection is not closed for others before it can have spoken
OPEN_MOST = 64  # open set-ups of one connection: a front's pool holds a few, a flood hundreds
UNSENT_MOST = 256 * 1024  # bytes that wait for a peer that does not read
# of one connection at the process's end, 64 KB each: as much as its system may hold, and no peer
# reads on for ever
READS_LAST = 64

log = logging.getLogger("laddergw.platform")


class Viewer:
    """One connection from viewers. `spoke`: it asked for a play. `proven`: one stands by it, begun
    on it or handed over on it.
    A test proves nothing: fronts leave after theirs, and anyone can ask."""

    def __init__(self, listener: "Listener"):
        self.listener, self.reader, self.plays, self.spoke, self.proven = (
            listener,
            binary.Reader(),
            {},
            False,
            False,
        )
        self.since = self.used = listener.loop.now
        self.half = None  # since when a message has begun and not ended
        self.closing = False
        self.stalled = (
            listener.loop.stall_ms
        )  # ms for which it may have waited to be accepted, and what it said first with it
        self.name = listener.next_name()

    def __str__(self) -> str:
        return self.name

    def opened(self, stream) -> None:
        self.stream = stream
        log.debug("%s: opened by %s", self, stream.peer)
        self.listener.come(self)

    def write_buffer_drained(self, stream) -> None:
        pass

    def data_received(self, stream, data: bytes) -> None:
        self.reader.feed(data)
        self.half = self.listener.loop.now if self.half is None else self.half
        self.stalled = max(self.stalled, self.listener.loop.stall_ms)
        try:
            while self.stream is not None and (message := self.reader.next()) is not None:
                self.half = self.used = self.listener.loop.now
                self.listener.admission.heard(self, message)
        except binary.MalformedError as error:
            return self.close(str(error))
        self.stalled = 0.0
        if not self.reader.buffer:
            self.half = None

    def write(self, kind: int, session: str, *parameters: tuple[int, bytes]) -> None:
        if self.stream is None:
            return
        self.stream.write(binary.encode(kind, session, *parameters))
        self.used = self.listener.loop.now
        if self.stream is not None and self.stream.queued > UNSENT_MOST:
            self.close("it does not read")

    def refuse(self, session: str, cause: int = UNUSABLE, *more: tuple[int, bytes]) -> None:
        self.write(binary.RELEASE, session, (binary.CAUSE, bytes([cause])), *more)

    def close(self, why: str) -> None:
        """Ends the connection; set-ups that are open on it are answered as failed first."""
        if self.stream is not None and not self.closing:
            self.closing = True
            self.listener.admission.count("closed: " + why.partition(" of ")[0])
            log.debug(
                "%s: closed by us: %s; %.0f ms old, idle %.0f, %d set-ups open",
                self,
                why,
                self.listener.loop.now - self.since,
                self.listener.loop.now - self.used,
                len(self.plays),
            )
            for play in list(self.plays.values()):
                self.listener.admission.finish(play, FAILED)
            if self.stream is None:
                return
            # who does not read would hold it open
            self.stream.abort() if self.stream.queued else self.stream.close()

    def outstays(self, now: float) -> str | None:
        """Why it is to be closed as of no use; never while a set-up is open on it."""
        if self.plays:
            return None
        if self.half is not None and now - self.half >= SPEAK_MS:
            return "half a message"
        if (
            not self.spoke and now - self.since >= SPEAK_MS
        ):  # who spoke has its answers, and may be speaking again
            return "nothing of use"
        return None

    def closed(self, stream, why: str | None) -> None:
        self.stream = None
        log.debug(
            "%s: ends: %s; %d set-ups open",
            self,
            why or "closed by its peer or by us",
            len(self.plays),
        )
        self.listener.admission.count("viewers' connections ended: " + (why or "in good order"))
        self.listener.leave(self)
        for play in list(self.plays.values()):
            self.listener.admission.given_up(play)


class Listener:
    """All viewers' connections."""

    def __init__(self, loop, admission, address: tuple[str, int], most: int):
        self.loop, self.admission, self.most = loop, admission, most
        self.viewers: dict[Viewer, None] = {}  # oldest first
        self.releases = Releases(loop, self.viewers, admission.count)
        self.names = 0
        self.accepting = loop.listen(address, lambda stream: Viewer(self))
        loop.call_later(LOOK_MS, self.look)

    def next_name(self) -> str:
        """Of a viewers' connection, for the log."""
        self.names += 1
        return f"viewers' connection {self.names}"

    def come(self, viewer: Viewer) -> None:
        self.viewers[viewer] = None
        self.make_room(viewer)

    def bound(self, most: int) -> None:
        """Another bound, at once; who has plays open keeps its connection."""
        self.most = most
        self.make_room()

    def make_room(self, last: Viewer | None = None) -> None:
        """Over the bound who has said nothing goes first, then who was idle longest, `last` where
        all others have plays open. What one has
        to say may lie unread: it is read before it is closed, or a set-up would be lost."""
        idle = (
            [v for v in self.viewers if not v.plays and v is not last]
            if len(self.viewers) > self.most
            else []
        )
        idle.sort(key=lambda v: (v.proven or self.loop.now - v.since < FRESH_MS, v.used))
        for one in idle + [last] * (last is not None):
            if len(self.viewers) <= self.most:
                return
            if one.stream is not None:
                one.stream.read_now()
            if not one.plays:
                one.close("too many")

    def hear_last(self) -> bool:
        """The process's end: all who have come are accepted, and what they have said is answered.
        Whether some wait for a descriptor,
        and connections that end now make room for them. Else nobody else is let in before the first
        connection is closed: whose set-up
        crosses that comes again at once, and would be cut off a second time."""
        starved = self.accepting.accept_waiting()
        if not starved:
            self.accepting.close()
        for viewer in list(self.viewers):
            for _ in range(READS_LAST):
                if viewer.stream is not None:
                    viewer.stream.read_now()
                if viewer.stream is None or not viewer.stream.may_have_more:
                    break
        more = starved and any(v.stream is not None and not v.stream.queued for v in self.viewers)
        if not more:
            self.accepting.close()
        return more

    def shut(self) -> None:
        for viewer in list(self.viewers):
            if viewer.stream is not None:
                viewer.stream.close()

    def leave(self, viewer: Viewer) -> None:
        self.viewers.pop(viewer, None)
        self.releases.connection_ended(viewer)

    def look(self) -> None:
        self.loop.call_later(LOOK_MS, self.look)
        now = self.loop.now
        for viewer in list(self.viewers):
            if viewer.outstays(now):
                viewer.stream.read_now()  # what came meanwhile may be a set-up
            if viewer.stream is not None and (why := viewer.outstays(now)):
                viewer.close(why)
        self.releases.forget_old()

    def send(
        self, preferred: Viewer | None, kind: int, session: str, *parameters: tuple[int, bytes]
    ) -> None:
        """What ends a play, until its viewer has acknowledged it: a connection may end with it
        unread.
        """
        self.releases.send(preferred, session, binary.encode(kind, session, *parameters))

    def spoke(self, viewer: Viewer) -> None:
        """It has asked for a play."""
        if not viewer.spoke:
            viewer.spoke = True
            self.releases.connection_spoke(viewer)

    def prove(self, viewer: Viewer) -> None:
        """A play stands by it."""
        viewer.spoke = viewer.proven = True
        self.releases.connection_proven(viewer)

"""Viewers' connections: their messages, and limits on useless and on flooding ones."""

import logging

from laddergw.platform.causes import FAILED, UNUSABLE
from laddergw.platform.releases import Releases
from laddergw.signalling import binary

# A connection without a request, or with an unfinished message, is closed after this: the protocol
# allows 3 s.
REQUEST_TIMEOUT_MS = 2_000.0
# How often connections are checked for it.
CHECK_INTERVAL_MS = 250.0
# A younger connection is not closed for others: it may not have had time to send a request.
NEW_CONNECTION_MS = 50.0
# Open set-ups of one connection: a front's pool holds a few, a flood hundreds.
MAX_OPEN_SET_UPS = 64
# Bytes that may wait for a peer that does not read.
MAX_UNSENT_BYTES = 256 * 1024
# Last reads of one connection at the process's end, 64 KB each: as much as the kernel may hold. A
# peer that goes on sending does not hold the process.
MAX_LAST_READS = 64

log = logging.getLogger("laddergw.platform")


class ViewerConnection:
    """One connection from viewers.

    `has_requested`: it has requested a play. `has_served`: a play was started or handed over on it.
    A ping counts for neither: fronts disconnect after theirs, and anyone can send one.
    """

    def __init__(self, listener: "ViewerListener"):
        self.listener, self.reader, self.plays, self.has_requested, self.has_served = (
            listener,
            binary.Reader(),
            {},
            False,
            False,
        )
        self.opened_at = self.last_used = listener.loop.now
        self.partial_since = None  # when an unfinished message began, or None
        self.closing = False
        # How long it may have waited to be accepted, and its first messages with it.
        self.stall_ms = listener.loop.stall_ms
        self.name = listener.next_name()

    def __str__(self) -> str:
        return self.name

    def opened(self, stream) -> None:
        """Registers the connection at its listener."""
        self.stream = stream
        log.debug("%s: opened by %s", self, stream.peer)
        self.listener.connection_opened(self)

    def write_buffer_drained(self, stream) -> None:
        pass

    def data_received(self, stream, data: bytes) -> None:
        """Handles complete messages; a malformed one closes the connection."""
        self.reader.feed(data)
        self.partial_since = (
            self.listener.loop.now if self.partial_since is None else self.partial_since
        )
        self.stall_ms = max(self.stall_ms, self.listener.loop.stall_ms)
        try:
            while self.stream is not None and (message := self.reader.next()) is not None:
                self.partial_since = self.last_used = self.listener.loop.now
                self.listener.admission.handle_message(self, message)
        except binary.MalformedError as error:
            return self.close(str(error))
        self.stall_ms = 0.0
        if not self.reader.buffer:
            self.partial_since = None

    def write(self, kind: int, session: str, *parameters: tuple[int, bytes]) -> None:
        """Sends a message, unless the connection has ended; closes it if its peer does not read."""
        if self.stream is None:
            return
        self.stream.write(binary.encode(kind, session, *parameters))
        self.last_used = self.listener.loop.now
        if self.stream is not None and self.stream.queued > MAX_UNSENT_BYTES:
            self.close("it does not read")

    def refuse(self, session: str, cause: int = UNUSABLE, *more: tuple[int, bytes]) -> None:
        """Answers a set-up with a release that states `cause`."""
        self.write(binary.RELEASE, session, (binary.CAUSE, bytes([cause])), *more)

    def close(self, why: str) -> None:
        """Closes the connection; set-ups that are open on it are answered as failed first."""
        if self.stream is not None and not self.closing:
            self.closing = True
            self.listener.admission.count("closed: " + why.partition(" of ")[0])
            log.debug(
                "%s: closed by us: %s; %.0f ms old, idle %.0f, %d set-ups open",
                self,
                why,
                self.listener.loop.now - self.opened_at,
                self.listener.loop.now - self.last_used,
                len(self.plays),
            )
            for play in list(self.plays.values()):
                self.listener.admission.finish(play, FAILED)
            if self.stream is None:
                return
            # A peer that does not read would hold a plain close open.
            self.stream.abort() if self.stream.queued else self.stream.close()

    def close_reason(self, now: float) -> str | None:
        """Returns why it is to be closed as useless; never while a set-up is open on it."""
        if self.plays:
            return None
        if self.partial_since is not None and now - self.partial_since >= REQUEST_TIMEOUT_MS:
            return "half a message"
        # One that has requested a play has had its answers, and may be sending another request.
        if not self.has_requested and now - self.opened_at >= REQUEST_TIMEOUT_MS:
            return "nothing of use"
        return None

    def closed(self, stream, why: str | None) -> None:
        self.stream = None
        log.debug(
            "%s: ended: %s; %d set-ups open",
            self,
            why or "closed by its peer or by us",
            len(self.plays),
        )
        self.listener.admission.count("viewers' connections ended: " + (why or "in good order"))
        self.listener.connection_closed(self)
        for play in list(self.plays.values()):
            self.listener.admission.viewer_gave_up(play)


class ViewerListener:
    """Accepts viewers' connections, bounds their number and closes useless ones."""

    def __init__(self, loop, admission, address: tuple[str, int], max_connections: int):
        self.loop, self.admission, self.max_connections = loop, admission, max_connections
        self.viewers: dict[ViewerConnection, None] = {}  # oldest first
        self.releases = Releases(loop, self.viewers, admission.count)
        self.connection_count = 0
        self.acceptor = loop.listen(address, lambda stream: ViewerConnection(self))
        loop.call_later(CHECK_INTERVAL_MS, self.check_connections)

    def next_name(self) -> str:
        """Returns the next connection's name, for the log."""
        self.connection_count += 1
        return f"viewers' connection {self.connection_count}"

    def connection_opened(self, viewer: ViewerConnection) -> None:
        """Adds a connection; others may be closed for it."""
        self.viewers[viewer] = None
        self.close_excess(viewer)

    def set_max_connections(self, max_connections: int) -> None:
        """Applies another bound at once; connections with open set-ups are kept."""
        self.max_connections = max_connections
        self.close_excess()

    def close_excess(self, last: ViewerConnection | None = None) -> None:
        """Closes connections over the bound that have no open set-up: first those that have served
        no play and are not new, then those idle longest, `last` after all others. Each is read
        before it is closed, or a set-up that lies unread would be lost.
        """
        idle = (
            [v for v in self.viewers if not v.plays and v is not last]
            if len(self.viewers) > self.max_connections
            else []
        )
        idle.sort(
            key=lambda v: (
                v.has_served or self.loop.now - v.opened_at < NEW_CONNECTION_MS,
                v.last_used,
            )
        )
        for viewer in idle + [last] * (last is not None):
            if len(self.viewers) <= self.max_connections:
                return
            if viewer.stream is not None:
                viewer.stream.read_now()
            if not viewer.plays:
                viewer.close("too many")

    def read_last_messages(self) -> bool:
        """Accepts, at the process's end, all waiting connections and answers what they have sent.

        Returns whether some still wait for a descriptor which connections that end now will free.
        Otherwise it stops listening before the first connection is closed: a viewer whose set-up
        crosses that close retries at once, and would be cut off a second time.
        """
        starved = self.acceptor.accept_waiting()
        if not starved:
            self.acceptor.close()
        for viewer in list(self.viewers):
            for _ in range(MAX_LAST_READS):
                if viewer.stream is not None:
                    viewer.stream.read_now()
                if viewer.stream is None or not viewer.stream.may_have_more:
                    break
        more = starved and any(v.stream is not None and not v.stream.queued for v in self.viewers)
        if not more:
            self.acceptor.close()
        return more

    def close_all(self) -> None:
        """Closes every connection gracefully."""
        for viewer in list(self.viewers):
            if viewer.stream is not None:
                viewer.stream.close()

    def connection_closed(self, viewer: ViewerConnection) -> None:
        """Removes a connection that has ended; its releases go on others."""
        self.viewers.pop(viewer, None)
        self.releases.connection_ended(viewer)

    def check_connections(self) -> None:
        """Closes useless connections and drops expired releases, periodically."""
        self.loop.call_later(CHECK_INTERVAL_MS, self.check_connections)
        now = self.loop.now
        for viewer in list(self.viewers):
            if viewer.close_reason(now):
                viewer.stream.read_now()  # a set-up may have arrived meanwhile
            if viewer.stream is not None and (why := viewer.close_reason(now)):
                viewer.close(why)
        self.releases.drop_expired()

    def send_until_acknowledged(
        self,
        preferred: ViewerConnection | None,
        kind: int,
        session: str,
        *parameters: tuple[int, bytes],
    ) -> None:
        """Sends a message that ends a play, and again if its connection ends before its viewer has
        acknowledged it.
        """
        self.releases.send(preferred, session, binary.encode(kind, session, *parameters))

    def mark_requested(self, viewer: ViewerConnection) -> None:
        """Notes that a connection has requested a play."""
        if not viewer.has_requested:
            viewer.has_requested = True
            self.releases.connection_requested(viewer)

    def mark_served(self, viewer: ViewerConnection) -> None:
        """Notes that a play was started or handed over on a connection."""
        viewer.has_requested = viewer.has_served = True
        self.releases.connection_served(viewer)

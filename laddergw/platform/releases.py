"""Keeps the releases that viewers have not acknowledged, and the connection that carries each.

A release is sent again if its connection ends before its viewer has acknowledged it. A connection
that has served a play is preferred; until there is one, a connection that has requested a play is
used.
"""

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from laddergw.platform.viewers import ViewerConnection

# Releases that are kept for their acknowledgement, which viewers need not send; one that displaces
# another has gone to the same connection.
MAX_PENDING_RELEASES = 8_192
# A release that is not acknowledged for this long is given up: its play counts as lost by then.
RELEASE_LIFETIME_MS = 8_000.0

log = logging.getLogger("laddergw.platform")


class PendingRelease(NamedTuple):
    """A release that is not acknowledged yet.

    `carrier`: the connection that it was last written to, or None while there is none.
    """

    carrier: "ViewerConnection | None"
    data: bytes
    expires_at: float  # by the loop's clock, ms


class Releases:
    """Releases that are not acknowledged, by session.

    `viewers`: all viewers' connections; `count(name)` adds one to a counter of the director.
    """

    def __init__(self, loop, viewers: Iterable["ViewerConnection"], count: Callable[[str], None]):
        self.loop, self.viewers, self.count = loop, viewers, count
        self.pending: dict[str, PendingRelease] = {}
        # the sessions of `pending` by their carrier, oldest first
        self.by_carrier: dict[ViewerConnection | None, dict[str, None]] = {}

    def __bool__(self) -> bool:
        """Whether any release is not acknowledged yet."""
        return bool(self.pending)

    def send(self, preferred: "ViewerConnection | None", session: str, data: bytes) -> None:
        """Sends a release and keeps it until its viewer acknowledges it.

        It goes on `preferred` while that connection is open.
        """
        self.write(preferred, session, data, self.loop.now + RELEASE_LIFETIME_MS)

    def write(
        self, preferred: "ViewerConnection | None", session: str, data: bytes, expires_at: float
    ) -> None:
        """Writes a release to the best connection, or keeps it for the next one."""
        carrier = self.carrier_for(preferred)
        self.remove(session)
        self.pending[session] = PendingRelease(carrier, data, expires_at)
        self.by_carrier.setdefault(carrier, {})[session] = None
        log.debug(
            "%s: release to its viewer on %s",
            session,
            carrier or "the next connection that requests a play",
        )
        self.count("releases sent" if carrier is not None else "releases that wait")
        if carrier is not None:
            carrier.last_used = self.loop.now
            carrier.stream.write(data)
            self.drop_excess(carrier)

    def drop_excess(self, carrier: "ViewerConnection") -> None:
        """Keeps the number of releases bounded: the oldest one of a connection is not kept."""
        if len(self.pending) > MAX_PENDING_RELEASES:
            self.remove(next(iter(self.by_carrier[carrier])))

    def remove(self, session: str) -> PendingRelease | None:
        """Removes a session's release, if there is one, and returns it."""
        release = self.pending.pop(session, None)
        if release is not None:
            sessions = self.by_carrier[release.carrier]
            del sessions[session]
            if not sessions:
                del self.by_carrier[release.carrier]
        return release

    def carrier_for(self, preferred: "ViewerConnection | None") -> "ViewerConnection | None":
        """Returns the connection to send on: `preferred` while it is open, else the last used one
        that has served a play, else the last used one that has requested a play.
        """
        if preferred is not None and preferred.stream is not None:
            return preferred
        candidates = [
            viewer for viewer in self.viewers if viewer.has_requested and viewer.stream is not None
        ]
        return max(
            candidates, key=lambda viewer: (viewer.has_served, viewer.last_used), default=None
        )

    def acknowledged(self, session: str) -> None:
        """Forgets a release that its viewer has acknowledged."""
        if self.remove(session) is not None:
            log.debug("%s: release acknowledged by its viewer", session)
            self.count("releases heard")

    def connection_ended(self, viewer: "ViewerConnection") -> None:
        """Sends the releases that it carried on another connection."""
        self.send_again(lambda carrier: carrier is viewer)

    def connection_requested(self, viewer: "ViewerConnection") -> None:
        """Sends releases that have no connection yet: this one has requested its first play."""
        self.send_again(lambda carrier: carrier is None, viewer)

    def connection_served(self, viewer: "ViewerConnection") -> None:
        """Sends again releases on connections that have served no play: this one has served one."""
        if viewer.stream is not None:
            self.send_again(lambda carrier: carrier is None or not carrier.has_served, viewer)

    def send_again(
        self,
        affected: Callable[["ViewerConnection | None"], bool],
        preferred: "ViewerConnection | None" = None,
    ) -> None:
        """Sends again the releases whose carrier is `affected`."""
        sessions = [
            session
            for carrier, carried in self.by_carrier.items()
            if affected(carrier)
            for session in carried
        ]
        for session in sessions:
            release = self.pending[session]
            self.count("releases sent again")
            self.write(preferred, session, release.data, release.expires_at)

    def drop_expired(self) -> None:
        """Gives up the releases that have expired."""
        for session in [
            session
            for session, release in self.pending.items()
            if self.loop.now >= release.expires_at
        ]:
            release = self.remove(session)
            log.info(
                "%s: its release was never acknowledged, on %s",
                session,
                release.carrier or "no connection",
            )
            self.count("releases never heard")

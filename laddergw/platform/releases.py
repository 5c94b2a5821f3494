"""Keeps the releases that viewers have not acknowledged, and which connection carries each.

A release is sent again where its connection ends before its viewer has said that it heard it. A
connection on which a play has
stood is preferred; one that has asked for a play is used until there is such a one.
"""

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from laddergw.platform.viewers import ViewerConnection

# a release that nobody has acknowledged for so long is given up: what stood counts as lost by then
RELEASE_LIFETIME_MS = 8_000.0

log = logging.getLogger("laddergw.platform")


class PendingRelease(NamedTuple):
    """A release that is not acknowledged.

    `carrier`: the connection that it was written to last, or None while there is none.
    """

    carrier: "ViewerConnection | None"
    data: bytes
    expires_at: float  # ms of the loop's clock


class Releases:
    """Releases on their way to viewers, by session.

    `viewers`: all connections; `count(what)` adds to the director's counts.
    """

    def __init__(self, loop, viewers: Iterable["ViewerConnection"], count: Callable[[str], None]):
        self.loop, self.viewers, self.count = loop, viewers, count
        self.pending: dict[str, PendingRelease] = {}

    def __bool__(self) -> bool:
        """Whether any is not acknowledged yet."""
        return bool(self.pending)

    def send(self, preferred: "ViewerConnection | None", session: str, data: bytes) -> None:
        """Sends a release, by `preferred` while that connection is open, and keeps it until its
        viewer acknowledges it.
        """
        self.write(preferred, session, data, self.loop.now + RELEASE_LIFETIME_MS)

    def write(
        self, preferred: "ViewerConnection | None", session: str, data: bytes, expires_at: float
    ) -> None:
        carrier = self.carrier_for(preferred)
        self.pending[session] = PendingRelease(carrier, data, expires_at)
        log.debug(
            "%s: release to its viewer on %s",
            session,
            carrier or "the next connection that asks for a play",
        )
        self.count("releases sent" if carrier is not None else "releases that wait")
        if carrier is not None:
            carrier.last_used = self.loop.now
            carrier.stream.write(data)

    def carrier_for(self, preferred: "ViewerConnection | None") -> "ViewerConnection | None":
        """The connection that a play came on, else the last used that is proven, else the last used
        that asked for a play.
        """
        if preferred is not None and preferred.stream is not None:
            return preferred
        able = [
            viewer for viewer in self.viewers if viewer.has_requested and viewer.stream is not None
        ]
        return max(able, key=lambda viewer: (viewer.has_served, viewer.last_used), default=None)

    def acknowledged(self, session: str) -> None:
        if self.pending.pop(session, None) is not None:
            log.debug("%s: release heard by its viewer", session)
            self.count("releases heard")

    def connection_ended(self, viewer: "ViewerConnection") -> None:
        """What it carried goes on another connection."""
        self.send_again(lambda carrier: carrier is viewer)

    def connection_requested(self, viewer: "ViewerConnection") -> None:
        """It has asked for a play for the first time: it carries what has no connection yet."""
        self.send_again(lambda carrier: carrier is None, viewer)

    def connection_served(self, viewer: "ViewerConnection") -> None:
        """A play stands by it: it carries what went to connections that showed less."""
        if viewer.stream is not None:
            self.send_again(lambda carrier: carrier is None or not carrier.has_served, viewer)

    def send_again(
        self,
        affected: Callable[["ViewerConnection | None"], bool],
        preferred: "ViewerConnection | None" = None,
    ) -> None:
        for session, release in [
            entry for entry in self.pending.items() if affected(entry[1].carrier)
        ]:
            self.count("releases sent again")
            self.write(preferred, session, release.data, release.expires_at)

    def drop_expired(self) -> None:
        for session in [
            session
            for session, release in self.pending.items()
            if self.loop.now >= release.expires_at
        ]:
            release = self.pending.pop(session)
            log.info(
                "%s: its release was never heard, on %s",
                session,
                release.carrier or "no connection",
            )
            self.count("releases never heard")

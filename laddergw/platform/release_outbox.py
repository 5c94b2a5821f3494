"""The releases that one media node is owed, until it has answered them. Does no I/O.

A release is owed of each session that may run at the node and that nobody waits for any more: a
play that is over for its viewer, or a set-up that was given up. It is owed to the process at the
node, whatever the connection: where that ends before the node has answered, it goes on another one.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laddergw.platform.connection import Connection

# A release that is unanswered for this long is verified by a ping behind it on its connection.
ANSWER_TIMEOUT_MS = 1_000.0
# Further attempts than this wait for the interval of dials: a node need not answer releases.
MAX_IMMEDIATE_ATTEMPTS = 2


@dataclass(slots=True)
class OwedRelease:
    """A release that its node has not answered yet. Times by the loop's clock, ms."""

    session: str
    data: bytes
    # when the connection came up on which the session was set up, or None where that is not known
    opened_at: float | None = None
    # the connection that it was last written to, or None while it waits for one
    carrier: "Connection | None" = None
    sent_at: float = 0.0
    # where in the carrier's stream it ends, bytes
    end: int = 0
    attempts: int = 0


class ReleaseOutbox:
    """The releases that one node is owed, by session."""

    def __init__(self) -> None:
        self.owed: dict[str, OwedRelease] = {}
        # those that wait for a connection, and the others by connection in the order of their bytes
        self.waiting_by_session: dict[str, OwedRelease] = {}
        self.by_carrier: dict[Connection, dict[str, OwedRelease]] = {}

    def __len__(self) -> int:
        """How many releases the node is owed."""
        return len(self.owed)

    def __contains__(self, session: str) -> bool:
        """Whether the node is owed the release of a session."""
        return session in self.owed

    def add(self, session: str, data: bytes, opened_at: float | None = None) -> None:
        """Owes the release of a session, which waits for a connection until `sent`."""
        if session not in self.owed:
            release = OwedRelease(session, data, opened_at)
            self.owed[session] = self.waiting_by_session[session] = release

    def sent(self, session: str, carrier: "Connection") -> None:
        """Records that a release was just written to a connection, as the last bytes there."""
        release = self.owed[session]
        self.unlink(release)
        release.carrier, release.end = carrier, carrier.stream.bytes_written
        release.sent_at, release.attempts = carrier.loop.now, release.attempts + 1
        self.by_carrier.setdefault(carrier, {})[session] = release

    def unlink(self, release: OwedRelease) -> None:
        """Takes a release from those that wait, or from its connection's."""
        if release.carrier is None:
            del self.waiting_by_session[release.session]
            return
        carried = self.by_carrier[release.carrier]
        del carried[release.session]
        if not carried:
            del self.by_carrier[release.carrier]

    def waiting(self) -> list[OwedRelease]:
        """The releases that wait for a connection."""
        return list(self.waiting_by_session.values())

    def is_first_attempt_waiting(self) -> bool:
        """Whether a release waits that may be sent without regard to the interval of dials."""
        return any(release.attempts < MAX_IMMEDIATE_ATTEMPTS for release in self.waiting())

    def settle(self, session: str) -> bool:
        """Forgets a release that is not owed any more; returns whether it was."""
        release = self.owed.pop(session, None)
        if release is not None:
            self.unlink(release)
        return release is not None

    def answered(self, session: str, carrier: "Connection") -> bool:
        """Settles a release whose answer came on a connection, where that was its last carrier."""
        release = self.owed.get(session)
        return release is not None and release.carrier is carrier and self.settle(session)

    def settle_up_to(self, carrier: "Connection", end: int) -> None:
        """Settles what the node has read: it answered a request that ends there in the stream."""
        for release in list(self.by_carrier.get(carrier, {}).values()):
            if release.end > end:
                return
            self.settle(release.session)

    def settle_before(self, started_at: float) -> None:
        """Settles what earlier processes were owed: one has started at a time, by the loop's clock.

        What was set up on a connection that came up before ran at one of those.
        """
        for release in list(self.owed.values()):
            if release.opened_at is not None and release.opened_at < started_at:
                self.settle(release.session)

    def take_back(self, carrier: "Connection") -> bool:
        """Lets releases wait again whose connection has ended; returns whether there are any."""
        lost = self.by_carrier.pop(carrier, {})
        for release in lost.values():
            release.carrier = None
        self.waiting_by_session |= lost
        return bool(lost)

    def shift(self, carrier: "Connection", behind: int, size: int) -> None:
        """Moves what ends behind a byte of the carrier's stream, as bytes there were withdrawn."""
        for release in self.by_carrier.get(carrier, {}).values():
            if release.end > behind:
                release.end -= size

    def is_overdue(self, carrier: "Connection", now: float) -> bool:
        """Whether a release on a connection has waited too long for its answer."""
        oldest = next(iter(self.by_carrier.get(carrier, {}).values()), None)
        return oldest is not None and now - oldest.sent_at >= ANSWER_TIMEOUT_MS

    def clear(self) -> None:
        """Forgets all: the process that was owed them has ended."""
        self.owed.clear()
        self.waiting_by_session.clear()
        self.by_carrier.clear()

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

    def __bool__(self) -> bool:
        """Whether the node is owed any release."""
        return bool(self.owed)

    def __contains__(self, session: str) -> bool:
        """Whether the node is owed the release of a session."""
        return session in self.owed

    def add(self, session: str, data: bytes, opened_at: float | None = None) -> None:
        """Owes the release of a session, which waits for a connection until `sent`."""
        self.owed.setdefault(session, OwedRelease(data, opened_at))

    def sent(self, session: str, carrier: "Connection") -> None:
        """Records that a release was just written to a connection, as the last bytes there."""
        release = self.owed[session]
        release.carrier, release.end = carrier, carrier.stream.bytes_written
        release.sent_at, release.attempts = carrier.loop.now, release.attempts + 1

    def waiting(self) -> list[tuple[str, OwedRelease]]:
        """The releases that wait for a connection, with their sessions."""
        return [entry for entry in self.owed.items() if entry[1].carrier is None]

    def is_first_attempt_waiting(self) -> bool:
        """Whether a release waits that may be sent without regard to the interval of dials."""
        return any(release.attempts < MAX_IMMEDIATE_ATTEMPTS for _, release in self.waiting())

    def settle(self, session: str) -> bool:
        """Forgets a release that is not owed any more; returns whether it was."""
        return self.owed.pop(session, None) is not None

    def answered(self, session: str, carrier: "Connection") -> bool:
        """Settles a release whose answer came on a connection, where that was its last carrier."""
        release = self.owed.get(session)
        return release is not None and release.carrier is carrier and self.settle(session)

    def settle_up_to(self, carrier: "Connection", end: int) -> None:
        """Settles what the node has read: it answered a request that ends there in the stream."""
        for session, release in list(self.owed.items()):
            if release.carrier is carrier and release.end <= end:
                self.settle(session)

    def is_in_transit(self) -> bool:
        """Whether a release was written to a connection and is unanswered."""
        return any(release.carrier is not None for release in self.owed.values())

    def settle_before(self, started_at: float) -> None:
        """Settles what earlier processes were owed: one has started at a time, by the loop's clock.

        What was set up on a connection that came up before ran at one of those.
        """
        for session, release in list(self.owed.items()):
            if release.opened_at is not None and release.opened_at < started_at:
                self.settle(session)

    def take_back(self, carrier: "Connection") -> bool:
        """Lets releases wait again whose connection has ended; returns whether there are any."""
        lost = [release for release in self.owed.values() if release.carrier is carrier]
        for release in lost:
            release.carrier = None
        return bool(lost)

    def shift(self, carrier: "Connection", behind: int, size: int) -> None:
        """Moves what ends behind a byte of the carrier's stream, as bytes there were withdrawn."""
        for release in self.owed.values():
            if release.carrier is carrier and release.end > behind:
                release.end -= size

    def is_carried_by(self, carrier: "Connection") -> bool:
        """Whether releases on a connection are unanswered."""
        return any(release.carrier is carrier for release in self.owed.values())

    def is_overdue(self, carrier: "Connection", now: float) -> bool:
        """Whether a release on a connection has waited too long for its answer."""
        return any(
            release.carrier is carrier and now - release.sent_at >= ANSWER_TIMEOUT_MS
            for release in self.owed.values()
        )

    def clear(self) -> None:
        """Forgets all: the process that was owed them has ended."""
        self.owed.clear()

"""One media node of the fleet list, our connections to it, and what their ends prove.

A running play belongs to no connection. It is over when its node says so, when the node's port
refuses connections (the process has died, and everything it held with it), or when the node's
machine has been silent for too long (liveness.py).
"""

import logging
import math
from typing import TYPE_CHECKING, Any

from laddergw.loop.base import CONNECTION_REFUSED, NO_DESCRIPTOR
from laddergw.platform import allocation, health_check, lost_plays
from laddergw.platform.connection import Connection
from laddergw.platform.liveness import Liveness
from laddergw.platform.release_outbox import ReleaseOutbox
from laddergw.signalling import rtsp

# A connection is not used so shortly before the node closes it as idle: a set-up that crosses the
# close may have run, for all we know, and a paid play then fails.
IDLE_CLOSE_MARGIN_MS = 500.0
# Between dials of a node that does not answer: while plays run there, and while it is only to be
# told that they are over.
REDIAL_INTERVAL_MS, RELEASE_REDIAL_INTERVAL_MS = 500.0, 2_000.0
# Limit of dialling a connection that carries no set-up: one that comes up late still brings what
# its node has to report.
IDLE_DIAL_TIMEOUT_MS = 1_000.0

if TYPE_CHECKING:
    from laddergw.platform.nodes import Nodes

log = logging.getLogger("laddergw.platform")


class Node:
    """One media node and our connections to it; `fleet`: all nodes (nodes.py)."""

    def __init__(self, fleet: "Nodes", number: int, member):
        self.fleet, self.number, self.id, self.address = (
            fleet,
            number,
            member.id,
            (member.host, member.port),
        )
        self.member, self.started_ms, self.gone, self.unanswered_dials, self.connections = (
            member,
            member.since,
            False,
            0,
            [],
        )
        self.liveness = Liveness(fleet.loop.now)
        # when it was dialled last, and when the list dropped it, by the loop's clock
        self.dialled_at = self.gone_since = -math.inf
        # plays that run there, by session
        self.running_plays: dict[str, Any] = {}
        # plays whose set-up is open there, by session
        self.open_set_ups: dict[str, Any] = {}
        # messages about running plays that wait for a connection, and the releases that it is owed
        self.queued_messages: list[bytes] = []
        self.releases = ReleaseOutbox()
        # a connection has ended that may have lost a message of the node: the node repeats it on a
        # new one
        self.needs_connection = False

    def dial(self, limit_ms: float = IDLE_DIAL_TIMEOUT_MS) -> Connection:
        """Dials another connection to the node."""
        self.dialled_at = self.fleet.loop.now
        self.liveness.mark_probed(self.dialled_at)
        connection = Connection(self, limit_ms)
        self.connections.append(connection)
        return connection

    def dial_if_needed(self) -> None:
        """Dials the connection that the node needs, unless one is coming up already.

        Where no more may be opened the next check dials it.
        """
        self.needs_connection = self.needs_connection and bool(self.running_plays) and not self.gone
        coming_up = any(not connection.up for connection in self.connections)
        if (
            self.needs_connection
            and not coming_up
            and self.fleet.connections() < self.fleet.max_connections
        ):
            self.dial()

    def free_connection(self) -> Connection | None:
        """A connection for a set-up: an idle one that the node will not close yet, else a new one.

        Where no more may be opened it is the least used one of this node, or None without any.
        """
        idle_ms = self.fleet.idle_ms
        usable_ms = max(idle_ms - IDLE_CLOSE_MARGIN_MS, idle_ms / 2)
        idle = [
            one
            for one in self.connections
            if not one.plays and not one.is_retiring and one.loop.now - one.last_used < usable_ms
        ]
        if self.running_plays and self.liveness.is_suspect(self.fleet.loop.now):
            # One that waits in a silent connection would end that, which may still be answered.
            idle = []
        usable = [one for one in idle if one.up and one.ping is None] or [
            one for one in idle if one.up or self.is_coming_up(one)
        ]
        if usable:
            return usable[0]
        if self.fleet.make_room(include_serving=not self.connections):
            return self.dial(self.fleet.connect_ms)
        return min(self.connections, key=lambda connection: len(connection.plays), default=None)

    def is_last_contact(self, connection: Connection, since: float) -> bool:
        """Whether plays run there, and it can show by this connection alone that they go on.

        That is so where it has been silent since a time, so that it may be cut off.
        """
        others = [other for other in self.connections if other.up and other is not connection]
        is_silent = self.liveness.last_heard_at <= since
        return bool(self.running_plays) and connection.up and is_silent and not others

    def is_coming_up(self, connection: Connection) -> bool:
        """Whether a connection that is not up yet can be expected to come up."""
        return (
            self.unanswered_dials == 0
            and connection.loop.now - connection.dialled_at < self.fleet.connect_ms
        )

    def add_play(self, play) -> None:
        """Adds a play that runs there."""
        self.running_plays[play.session] = play
        self.fleet.watch(self)

    def has_open_releases(self) -> bool:
        """Whether releases wait for it, or are unanswered on a connection that is not closed."""
        is_carried = any(one in self.releases.by_carrier for one in self.connections)
        return is_carried or bool(self.releases.waiting_by_session)

    def has_waiting_messages(self) -> bool:
        """Whether messages or releases wait for a connection."""
        return bool(self.queued_messages or self.releases.waiting_by_session)

    def is_dial_due(self, now: float) -> bool:
        """Whether it may be dialled for what waits: at an interval where that was of no use."""
        is_first_try = self.queued_messages or self.releases.is_first_attempt_waiting()
        return bool(self.unanswered_dials == 0 and is_first_try) or self.is_redial_due(now)

    def is_redial_due(self, now: float) -> bool:
        """Whether its last dial is so long ago that it may be dialled again without an answer."""
        interval_ms = REDIAL_INTERVAL_MS if self.running_plays else RELEASE_REDIAL_INTERVAL_MS
        return now - self.dialled_at >= interval_ms

    def handle_message(self, connection: Connection, message: rtsp.Message) -> None:
        """Handles a request or an answer from the node.

        An answer to a set-up that has not left whole is malformed: were it believed, the rest of
        the set-up would leave all the same.
        """
        if (
            message.session in connection.plays
            and connection.state(message.session) == allocation.UNSENT
        ):
            raise rtsp.MalformedError("an answer to a set-up that has not left yet")
        if message.method:
            self.note_session(message.session)
            return self.fleet.handle_request(self, connection, message)
        self.handle_release_answer(connection, message)
        if message.target == "" and connection.ping == message.session:
            connection.ping = None
            self.releases.settle_up_to(connection, connection.ping_end)
            if connection.is_retiring and not connection.plays:
                connection.close()
                self.replace_connection()
        elif message.session in connection.plays and message.status >= 200 and message.cseq == "1":
            self.releases.settle_up_to(connection, connection.set_up_ends[message.session])
            self.fleet.handle_answer(self, connection, message)
        return None

    def handle_release_answer(self, connection: Connection, message: rtsp.Message) -> None:
        """Settles the release that a message answers, if it does.

        A response repeats the CSeq of its request: 1 of a set-up, 2 of a release (rtsp.py).
        """
        is_answer = message.status >= 200 and message.cseq == "2"
        if is_answer and self.releases.answered(message.session, connection):
            log.debug("%s: release acknowledged by node %s", message.session, self.id)

    def connection_opened(self) -> None:
        """Ends the connections that a new one replaces: those that leave a ping unanswered."""
        health_check.close_dead_connections(self, self.fleet.loop.now)

    def begin_watch(self) -> None:
        """Begins to measure its silence: all connections lead to the process that is there now."""
        self.liveness.watch(self.fleet.loop.now)
        for connection in self.connections:
            connection.is_after_loss = False

    def mark_heard(self, is_same_process: bool) -> None:
        """Records a message, or a connection that has come up; see liveness.py."""
        now = self.fleet.loop.now
        if is_same_process and self.liveness.lost_contact_at(now) is not None:
            # So do the connections that were dialled meanwhile.
            for connection in self.connections:
                connection.is_after_loss = False
        self.liveness.mark_heard(now, is_same_process)

    def note_session(self, session: str) -> None:
        """Concludes from a message about a play that its process is the one known before.

        It proves so where the play ran there before contact with the process was lost.
        """
        lost_at, play = (
            self.liveness.lost_contact_at(self.fleet.loop.now),
            self.running_plays.get(session),
        )
        if lost_at is not None and play in lost_plays.plays_before(self, lost_at):
            self.mark_heard(is_same_process=True)

    def connection_ended(self, connection: Connection, why: str | None) -> None:
        """Concludes from the end of a connection what has become of the running plays.

        Without a descriptor it proves nothing; the next check dials again, when there may be one.
        `why` is None where the connection was closed in good order.
        """
        if why == NO_DESCRIPTOR:
            return self.liveness.withdraw_probe(connection.dialled_at)
        self.fleet.dial_waiting(1)
        if not connection.up:
            self.unanswered_dials += why != CONNECTION_REFUSED
            # The process has died.
            if why == CONNECTION_REFUSED:
                return lost_plays.process_ended(self, why)
        if self.running_plays and not self.connections:
            self.dial() if not self.gone else lost_plays.give_up(self, "gone from the list")
        elif connection.up and why is not None:
            self.replace_connection()
        else:
            self.dial_if_needed()

    def replace_connection(self) -> None:
        """Opens a new connection after one that may have lost a release from its node.

        The node repeats that release on the next connection that opens.
        """
        self.needs_connection = True
        self.dial_if_needed()

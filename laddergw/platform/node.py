"""One media node of the list, our connections to it, and what the ends of those prove.

A play that stands belongs to no connection. It is over when its node says so, when the node's port
refuses (the
process has died, and with it all that it held), or when the node's machine answers nothing any
more.
"""

import logging
from typing import TYPE_CHECKING, Any

from laddergw.loop.base import CONNECTION_REFUSED, NO_DESCRIPTOR
from laddergw.platform import allocation
from laddergw.platform.connection import Connection
from laddergw.signalling import rtsp

# a connection is not used for its last so long before the node closes it as idle: a set-up that
# crosses its
IDLE_LESS_MS = 500.0
# end may have run, for all we know, and a paid play then fails
# what a node says proves that it lives; so long after its last word it is tested. With a look (each
# LOOK_MS), the
QUIET_MS = 1_500.0
TEST_MS = (
    1_000.0  # test (it passes at once: unanswered for so long its connection is dead), another look
)
# and so many connections in a row that never come up, a machine is found gone within 6 s of the 8
SILENCES = 2
# wait for a connection that carries no set-up: a late one still brings what its node has to tell
HOLD_DIAL_MS = 1_000.0

if TYPE_CHECKING:
    from laddergw.platform.nodes import Nodes

log = logging.getLogger("laddergw.platform")


class Node:
    """One media node and our connections to it."""

    def __init__(self, fleet: "Nodes", number: int, member):
        self.fleet, self.number, self.id, self.address = (
            fleet,
            number,
            member.id,
            (member.host, member.port),
        )
        self.member, self.since, self.gone, self.unanswered_dials, self.connections = (
            member,
            member.since,
            False,
            0,
            [],
        )
        self.heard = fleet.loop.now
        self.running_plays: dict[str, Any] = {}  # plays that stand there
        self.open_set_ups: dict[str, Any] = {}  # plays whose set-up is open there
        self.queued_messages: list[
            tuple[bytes, str, float]
        ] = []  # what waits for a connection to be said (Connection.say)
        # one has ended that may have taken along what the node said: it says that again on a new
        # one
        self.owes_connection = False

    def dial(self, limit_ms: float = HOLD_DIAL_MS) -> Connection:
        connection = Connection(self, limit_ms)
        self.connections.append(connection)
        return connection

    def dial_owed(self) -> None:
        """Opens the connection that is owed, unless one is coming up or none may be opened: then
        the next look does.
        """
        self.owes_connection = self.owes_connection and bool(self.running_plays) and not self.gone
        coming_up = any(not connection.up for connection in self.connections)
        if (
            self.owes_connection
            and not coming_up
            and self.fleet.connections() < self.fleet.max_connections
        ):
            self.dial()

    def free_connection(self) -> Connection | None:
        """An idle connection that is up, and not so idle that its node is about to close it, else a
        new one; where no more may be
        opened, the least used here, if there is one."""
        idle_ms = self.fleet.idle_ms
        fresh_ms = max(idle_ms - IDLE_LESS_MS, idle_ms / 2)
        idle = [
            one for one in self.connections if not one.plays and one.loop.now - one.used < fresh_ms
        ]
        up = [one for one in idle if one.up and one.test is None] or [
            one for one in idle if one.up or self.soon_up(one)
        ]
        if up:
            return up[0]
        if self.fleet.make_room(include_serving=not self.connections):
            return self.dial(self.fleet.connect_ms)
        return min(self.connections, key=lambda connection: len(connection.plays), default=None)

    def soon_up(self, connection: Connection) -> bool:
        return (
            self.unanswered_dials == 0
            and connection.loop.now - connection.since < self.fleet.connect_ms
        )

    def said(self, connection: Connection, message: rtsp.Message) -> None:
        if (
            message.session in connection.plays
            and connection.state(message.session) == allocation.UNSENT
        ):
            raise rtsp.MalformedError(
                "an answer to what has not left yet"
            )  # believed, the rest would leave all the same
        if message.method:
            return self.fleet.told(self, connection, message)
        if message.cseq == "2" and message.status and connection.said.pop(message.session, None):
            log.debug("%s: release heard by node %s", message.session, self.id)
        if message.target == "" and connection.test == message.session:
            connection.test = None
        elif message.session in connection.plays and message.status >= 200 and message.cseq == "1":
            self.fleet.answered(self, connection, message)

    def connection_ended(self, connection: Connection, why: str | None) -> None:
        """What the end of a connection proves of the plays that stand."""
        if why == NO_DESCRIPTOR:  # the next look dials again, when there may be room
            return
        self.fleet.let_speak(1)
        if not connection.up:
            self.unanswered_dials += why != CONNECTION_REFUSED
            if why == CONNECTION_REFUSED or (
                self.unanswered_dials >= SILENCES and not self.connections
            ):
                return self.lose(why)
        if self.running_plays and not self.connections:
            self.dial() if not self.gone else self.lose("gone from the list")
        elif connection.up and why is not None:  # not in good order
            self.renew()
        else:
            self.dial_owed()

    def renew(self) -> None:
        """After a connection that may have taken along a release of its node: that comes again on
        the next one that opens.
        """
        self.owes_connection = True
        self.dial_owed()

    def lose(self, why: str | None) -> None:
        self.queued_messages = []
        if self.running_plays:
            log.info("node %s: %d plays lost: %s", self.id, len(self.running_plays), why)
        for play in list(self.running_plays.values()):
            self.fleet.ended(play, allocation.RUNNING, allocation.NODE_LOST)

    def look(self, now: float) -> None:
        """Whether its machine still answers, while plays stand there."""
        for connection in [
            connection
            for connection in self.connections
            if connection.test is not None and now - connection.tested >= TEST_MS
        ]:
            log.info("node %s: a test was not answered", self.id)
            connection.end(allocation.CONNECTION_LOST)
            self.renew()
        up = [connection for connection in self.connections if connection.up]
        if up and up[0].test is None and now - self.heard >= QUIET_MS:
            up[0].test, up[0].tested = self.fleet.test_name(), now
            up[0].stream.write(rtsp.encode_request("OPTIONS", "ping", up[0].test))
        elif not self.connections and self.gone:
            self.lose("gone from the list")
        elif not self.connections and self.fleet.make_room(include_serving=True):
            self.dial()
        self.dial_owed()

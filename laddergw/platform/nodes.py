"""The media nodes of the list, our connections to them, and what the ends of those prove.

A play that stands belongs to no connection. It is over when its node says so, when the node's port refuses (the
process has died, and with it all that it held), or when the node's machine answers nothing any more.
"""
import logging
from typing import Any

from laddergw.loop.base import REFUSED, SHORT
from laddergw.platform import allocation as life
from laddergw.platform.connection import Connection
from laddergw.signalling import rtsp

IDLE_LESS_MS = 500.0       # a connection is not used for its last so long before the node closes it as idle: a set-up that crosses its
                           # end may have run, for all we know, and a paid play then fails
AGAIN_MS = 8_000.0         # a release that its node has not told to have heard is told again for so long: what stood then counts as lost
LOOK_MS = 500.0            # pace of looking after nodes that hold plays
QUIET_MS = 1_500.0         # what a node says proves that it lives; so long after its last word it is tested. With a look (each LOOK_MS), the
TEST_MS = 1_000.0          # test (it passes at once: unanswered for so long its connection is dead), another look
SILENCES = 2               # and so many connections in a row that never come up, a machine is found gone within 6 s of the 8
HOLD_DIAL_MS = 1_000.0     # wait for a connection that carries no set-up: a late one still brings what its node has to tell

log = logging.getLogger("laddergw.platform")


class Node:
    """One media node and our connections to it."""

    def __init__(self, fleet: "Nodes", number: int, member):
        self.fleet, self.number, self.id, self.address = fleet, number, member.id, (member.host, member.port)
        self.member, self.since, self.gone, self.silent, self.connections = member, member.since, False, 0, []
        self.heard = fleet.loop.now
        self.held: dict[str, Any] = {}       # plays that stand there
        self.open: dict[str, Any] = {}       # plays whose set-up is open there
        self.words: list[tuple[bytes, str, float]] = []   # what waits for a connection to be said (Connection.say)
        self.owes_connection = False         # one has ended that may have taken along what the node said: it says that again on a new one

    def dial(self, limit_ms: float = HOLD_DIAL_MS) -> Connection:
        connection = Connection(self, limit_ms)
        self.connections.append(connection)
        return connection

    def dial_owed(self) -> None:
        """Opens the connection that is owed, unless one is coming up or none may be opened: then the next look does."""
        self.owes_connection = self.owes_connection and bool(self.held) and not self.gone
        coming_up = any(not connection.up for connection in self.connections)
        if self.owes_connection and not coming_up and self.fleet.connections() < self.fleet.most:
            self.dial()

    def free_connection(self) -> Connection | None:
        """An idle connection that is up, and not so idle that its node is about to close it, else a new one; where no more may be
        opened, the least used here, if there is one."""
        idle_ms = self.fleet.idle_ms
        fresh_ms = max(idle_ms - IDLE_LESS_MS, idle_ms / 2)
        idle = [one for one in self.connections if not one.plays and one.loop.now - one.used < fresh_ms]
        up = [one for one in idle if one.up and one.test is None] or [one for one in idle if one.up or self.soon_up(one)]
        if up:
            return up[0]
        if self.fleet.room(of_held=not self.connections):
            return self.dial(self.fleet.connect_ms)
        return min(self.connections, key=lambda connection: len(connection.plays), default=None)

    def soon_up(self, connection: Connection) -> bool:
        return self.silent == 0 and connection.loop.now - connection.since < self.fleet.connect_ms

    def said(self, connection: Connection, message: rtsp.Message) -> None:
        if message.session in connection.plays and connection.state(message.session) == life.UNSENT:
            raise rtsp.Malformed("an answer to what has not left yet")   # believed, the rest would leave all the same
        if message.method:
            return self.fleet.told(self, connection, message)
        if message.sequence == "2" and message.status and connection.said.pop(message.session, None):
            log.debug("%s: release heard by node %s", message.session, self.id)
        if message.target == "" and connection.test == message.session:
            connection.test = None
        elif message.session in connection.plays and message.status >= 200 and message.sequence == "1":
            self.fleet.answered(self, connection, message)

    def connection_ended(self, connection: Connection, why: str | None) -> None:
        """What the end of a connection proves of the plays that stand."""
        if why == SHORT:                     # the next look dials again, when there may be room
            return
        self.fleet.let_speak(1)
        if not connection.up:
            self.silent += why != REFUSED
            if why == REFUSED or (self.silent >= SILENCES and not self.connections):
                return self.lose(why)
        if self.held and not self.connections:
            self.dial() if not self.gone else self.lose("gone from the list")
        elif connection.up and why is not None:        # not in good order
            self.renew()
        else:
            self.dial_owed()

    def renew(self) -> None:
        """After a connection that may have taken along a release of its node: that comes again on the next one that opens."""
        self.owes_connection = True
        self.dial_owed()

    def lose(self, why: str | None) -> None:
        self.words = []
        if self.held:
            log.info("node %s: %d plays lost: %s", self.id, len(self.held), why)
        for ply in list(self.held.values()):
            self.fleet.ended(ply, life.HELD, life.LOST)

    def look(self, now: float) -> None:
        """Whether its machine still answers, while plays stand there."""
        for connection in [connection for connection in self.connections if connection.test is not None and now - connection.tested >= TEST_MS]:
            log.info("node %s: a test was not answered", self.id)
            connection.end(life.CUT)
            self.renew()
        up = [connection for connection in self.connections if connection.up]
        if up and up[0].test is None and now - self.heard >= QUIET_MS:
            up[0].test, up[0].tested = self.fleet.test_name(), now
            up[0].stream.write(rtsp.request("OPTIONS", "ping", up[0].test))
        elif not self.connections and self.gone:
            self.lose("gone from the list")
        elif not self.connections and self.fleet.room(of_held=True):
            self.dial()
        self.dial_owed()


class Nodes:
    """All nodes of the list. `allocating` carries out what comes of them."""

    def __init__(self, loop, allocating, most: int, connect_ms: float, idle_ms: float):
        self.loop, self.most, self.connect_ms, self.idle_ms = loop, most, connect_ms, idle_ms
        self.by_id: dict[str, Node] = {}
        self.by_number: dict[int, Node] = {}
        self.waiting: dict[Node, None] = {}  # that have something to be told and no connection; in this order they get one
        self.by_address: dict[tuple[str, int], Node] = {}    # the one that the list named there last
        self.numbers = self.tests = 0
        self.count, self.ended, self.told, self.answered = allocating.count, allocating.ended, allocating.told, allocating.answered
        loop.after(LOOK_MS, self.look)

    def connections(self) -> int:
        return sum(len(node.connections) for node in self.by_number.values())

    def room(self, of_held: bool) -> bool:
        """Whether one more may be opened. Over the bound the oldest idle one makes room, first where nothing stands. `of_held`: also
        where plays stand: what their node has to tell comes on the next connection, and each of them has its turn."""
        if self.connections() < self.most:
            return True
        idle = [connection for node in self.by_number.values() if of_held or not node.held for connection in node.connections
                if connection.up and not connection.plays and connection.test is None and self.loop.now - connection.since >= LOOK_MS]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: (bool(connection.node.held), connection.since))
        self.count("closed for room")
        oldest.close()
        return True

    def say(self, node: Node, data: bytes, ends: str = "", until: float | None = None) -> None:
        """On any connection that is up, or on the next that opens; one is opened past the bound too: what ends a play must leave."""
        up = [connection for connection in node.connections if connection.up]
        connection = next((connection for connection in up if not connection.plays), None) or next(iter(up), None)
        word = data, ends, self.loop.now + AGAIN_MS if until is None else until
        if connection is not None:
            connection.say(*word)
        elif not node.gone:
            node.words.append(word)
            self.waiting[node] = None
            self.let_speak(1)

    def let_speak(self, most: int) -> None:
        """Dials for so many of those who wait. Who finds no descriptor waits on, until another connection gives way."""
        for node in list(self.waiting)[:most]:
            del self.waiting[node]
            if node.words and not node.connections and not node.gone:
                self.room(of_held=True)
                node.dial()

    def give_way(self, connection: Connection) -> None:
        """It has said all, and nothing is open on it: one of those who wait gets its descriptor."""
        if self.waiting and connection in connection.node.connections:
            connection.close()
            self.let_speak(1)

    def unsent(self) -> bool:
        nodes = self.by_number.values()
        return any(node.words and not node.gone for node in nodes) or any(connection.stream.queued for node in nodes for connection in node.connections)

    def shut(self) -> None:
        """The process's end: what was said to nodes goes out, then every connection ends in good order."""
        self.let_speak(len(self.waiting))
        for node in self.by_number.values():
            connections, node.connections = node.connections, []
            for connection in connections:
                words, node.words = ([], node.words) if connection.up else (node.words, [])
                for data, *_ in words:
                    connection.stream.write(data)
                connection.stream.close()

    def test_name(self) -> str:
        self.tests += 1
        return f"{self.tests:016x}"

    def node_of(self, member) -> Node:
        """Its node, new where the list names it for the first time."""
        node = self.by_id.get(member.id)
        if node is None or (node.address != (member.host, member.port) and member.state != "DELETED"):
            self.numbers += 1
            number = self.numbers if node is None else node.number
            if node is not None:
                self.close(node)
            node = self.by_id[member.id] = self.by_number[number] = Node(self, number, member)
            before, self.by_address[node.address] = self.by_address.get(node.address), node
            if before is not None and before.gone:
                self.close(before)
        return node

    def is_gone(self, node: Node) -> None:
        """The list tells so. What stands there ends with its connections; where another node has its address, what answers there is that
        one, and proves nothing of it."""
        node.gone = True
        if self.by_address.get(node.address) is not node:
            self.close(node)

    def close(self, node: Node) -> None:
        for connection in list(node.connections):
            connection.end(life.CUT)
        node.lose("another address")
        self.waiting.pop(node, None)

    def forget_gone(self) -> None:
        for node in [n for n in self.by_number.values() if n.gone and not n.held and not n.open]:
            for connection in list(node.connections):
                connection.end(life.CUT)
            del self.by_number[node.number]
            if self.by_address.get(node.address) is node:
                del self.by_address[node.address]
            if self.by_id.get(node.id) is node:
                del self.by_id[node.id]

    def look(self) -> None:
        self.loop.after(LOOK_MS, self.look)
        self.let_speak(len(self.waiting))
        for node in sorted((n for n in self.by_number.values() if n.held), key=lambda n: n.heard):   # who had no turn for longest first
            node.look(self.loop.now)
        self.forget_gone()

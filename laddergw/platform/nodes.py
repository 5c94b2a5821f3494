"""All media nodes of the list: how many connections they may have together, and whose turn it is to
have one.
"""

import logging

from laddergw.platform import allocation
from laddergw.platform.connection import Connection
from laddergw.platform.node import Node

# a release that its node has not told to have heard is told again for so long: what stood then
# counts as lost
AGAIN_MS = 8_000.0
LOOK_MS = 500.0  # pace of looking after nodes that hold plays

log = logging.getLogger("laddergw.platform")


class Nodes:
    """All nodes of the list. `allocator` carries out what comes of them."""

    def __init__(self, loop, allocator, max_connections: int, connect_ms: float, idle_ms: float):
        self.loop, self.max_connections, self.connect_ms, self.idle_ms = (
            loop,
            max_connections,
            connect_ms,
            idle_ms,
        )
        self.by_id: dict[str, Node] = {}
        self.by_number: dict[int, Node] = {}
        self.awaiting_connection: dict[
            Node, None
        ] = {}  # that have something to be told and no connection; in this order they get one
        self.by_address: dict[tuple[str, int], Node] = {}  # the one that the list named there last
        self.numbers = self.tests = 0
        self.count, self.ended, self.told, self.answered = (
            allocator.count,
            allocator.ending.allocation_ended,
            allocator.told,
            allocator.answers.answered,
        )
        self.answers = allocator.answers
        loop.call_later(LOOK_MS, self.look)

    def connections(self) -> int:
        return sum(len(node.connections) for node in self.by_number.values())

    def make_room(self, include_serving: bool) -> bool:
        """Whether one more may be opened. Over the bound the oldest idle one makes room, first
        where nothing stands. `include_serving`: also
        where plays stand: what their node has to tell comes on the next connection, and each of
        them has its turn.
        """
        if self.connections() < self.max_connections:
            return True
        idle = [
            connection
            for node in self.by_number.values()
            if include_serving or not node.running_plays
            for connection in node.connections
            if connection.up
            and not connection.plays
            and connection.test is None
            and self.loop.now - connection.since >= LOOK_MS
        ]
        if not idle:
            return False
        oldest = min(
            idle, key=lambda connection: (bool(connection.node.running_plays), connection.since)
        )
        self.count("closed for room")
        oldest.close()
        return True

    def say(self, node: Node, data: bytes, ends: str = "", until: float | None = None) -> None:
        """On any connection that is up, or on the next that opens; one is opened past the bound
        too: what ends a play must leave.
        """
        up = [connection for connection in node.connections if connection.up]
        connection = next((connection for connection in up if not connection.plays), None) or next(
            iter(up), None
        )
        word = data, ends, self.loop.now + AGAIN_MS if until is None else until
        if connection is not None:
            connection.say(*word)
        elif not node.gone:
            node.queued_messages.append(word)
            self.awaiting_connection[node] = None
            self.let_speak(1)

    def let_speak(self, most: int) -> None:
        """Dials for so many of those who wait.

        Who finds no descriptor waits on, until another connection gives way.
        """
        for node in list(self.awaiting_connection)[:most]:
            del self.awaiting_connection[node]
            if node.queued_messages and not node.connections and not node.gone:
                self.make_room(include_serving=True)
                node.dial()

    def give_way(self, connection: Connection) -> None:
        """It has said all, and nothing is open on it: one of those who wait gets its descriptor."""
        if self.awaiting_connection and connection in connection.node.connections:
            connection.close()
            self.let_speak(1)

    def has_unsent(self) -> bool:
        nodes = self.by_number.values()
        return any(node.queued_messages and not node.gone for node in nodes) or any(
            connection.stream.queued for node in nodes for connection in node.connections
        )

    def shut_down(self) -> None:
        """The process's end: what was said to nodes goes out, then every connection ends in good
        order.
        """
        self.let_speak(len(self.awaiting_connection))
        for node in self.by_number.values():
            connections, node.connections = node.connections, []
            for connection in connections:
                words, node.queued_messages = (
                    ([], node.queued_messages) if connection.up else (node.queued_messages, [])
                )
                for data, *_ in words:
                    connection.stream.write(data)
                connection.stream.close()

    def test_name(self) -> str:
        self.tests += 1
        return f"{self.tests:016x}"

    def node_of(self, member) -> Node:
        """Its node, new where the list names it for the first time."""
        node = self.by_id.get(member.id)
        if node is None or (
            node.address != (member.host, member.port) and member.state != "DELETED"
        ):
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
        """The list tells so. What stands there ends with its connections; where another node has
        its address, what answers there is that
        one, and proves nothing of it."""
        node.gone = True
        if self.by_address.get(node.address) is not node:
            self.close(node)

    def close(self, node: Node) -> None:
        for connection in list(node.connections):
            connection.end(allocation.CONNECTION_LOST)
        node.lose("another address")
        self.awaiting_connection.pop(node, None)

    def forget_gone(self) -> None:
        for node in [
            n
            for n in self.by_number.values()
            if n.gone and not n.running_plays and not n.open_set_ups
        ]:
            for connection in list(node.connections):
                connection.end(allocation.CONNECTION_LOST)
            del self.by_number[node.number]
            if self.by_address.get(node.address) is node:
                del self.by_address[node.address]
            if self.by_id.get(node.id) is node:
                del self.by_id[node.id]

    def look(self) -> None:
        self.loop.call_later(LOOK_MS, self.look)
        self.let_speak(len(self.awaiting_connection))
        for node in sorted(
            (n for n in self.by_number.values() if n.running_plays), key=lambda n: n.heard
        ):  # who had no turn for longest first
            node.look(self.loop.now)
        self.forget_gone()

"""All media nodes of the fleet list: how many connections they may have together, and which node
gets the next one.
"""

import logging

from laddergw.platform import allocation, health_check, lost_plays
from laddergw.platform.connection import Connection
from laddergw.platform.node import Node

# Time between checks of the nodes where plays run.
CHECK_INTERVAL_MS = 250.0
# A connection stays open at least this long before it makes room for another node's: what its node
# has to report comes first.
MIN_CONNECTION_AGE_MS = 500.0
# A node that the list has dropped is kept for so long while releases wait for it: it may only be
# cut off, and come back.
GONE_RETENTION_MS = 60_000.0
# Answers to releases are waited for until so long before the process's end: a node that stands
# still gives none.
EXIT_MARGIN_MS = 100.0

log = logging.getLogger("laddergw.platform")


class Nodes:
    """All nodes of the fleet list. `allocator` handles what they send."""

    def __init__(self, loop, allocator, max_connections: int, connect_ms: float, idle_ms: float):
        self.loop, self.max_connections, self.connect_ms, self.idle_ms = (
            loop,
            max_connections,
            connect_ms,
            idle_ms,
        )
        self.by_id: dict[str, Node] = {}
        self.by_number: dict[int, Node] = {}
        # nodes that have queued messages and no connection, in the order in which they get one
        self.awaiting_connection: dict[Node, None] = {}
        # nodes where plays run or that releases were sent to
        self.watched: dict[Node, None] = {}
        # the node that the list named last at each address
        self.by_address: dict[tuple[str, int], Node] = {}
        self.last_number = self.pings_named = 0
        self.count, self.allocation_ended, self.handle_request, self.handle_answer = (
            allocator.count,
            allocator.ending.allocation_ended,
            allocator.handle_request,
            allocator.answer_handler.handle_answer,
        )
        self.answer_handler = allocator.answer_handler
        loop.call_later(CHECK_INTERVAL_MS, self.check)

    def connections(self) -> int:
        """Number of connections to all nodes, also of those that are not up yet."""
        return sum(len(node.connections) for node in self.by_number.values())

    def make_room(self, include_serving: bool) -> bool:
        """Whether one more connection may be opened.

        At the limit the oldest idle one is closed for it, first one of a node where no play runs.
        With `include_serving` it may be one of a node where plays run: what that node has to report
        comes on its next connection, and each of these nodes gets its turn.
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
            and connection.ping is None
            and self.loop.now - connection.dialled_at >= MIN_CONNECTION_AGE_MS
        ]
        if not idle:
            return False
        oldest = min(
            idle,
            key=lambda connection: (
                bool(connection.node.running_plays),
                connection in connection.node.releases.by_carrier,
                connection.dialled_at,
            ),
        )
        self.count("closed for room")
        oldest.close()
        return True

    def watch(self, node: Node) -> None:
        """Checks a node from now on, until no play runs there and no release is open."""
        if node not in self.watched:
            self.watched[node] = None
            node.begin_watch()

    def is_at_its_address(self, node: Node) -> bool:
        """Whether no other node has been listed at a node's address since."""
        return self.by_address.get(node.address) is node

    def dial_waiting(self, limit: int) -> None:
        """Dials for up to so many of the nodes that wait for a connection.

        One that finds no descriptor waits on, until another connection is closed. One that cannot
        be reached is dialled at an interval.
        """
        now = self.loop.now
        due = [node for node in self.awaiting_connection if node.is_dial_due(now)]
        for node in due[:limit]:
            del self.awaiting_connection[node]
            if (
                node.has_waiting_messages()
                and not node.connections
                and self.is_at_its_address(node)
            ):
                self.make_room(include_serving=True)
                node.dial()

    def yield_connection(self, connection: Connection) -> None:
        """Closes a connection without anything to send or open on it where a node waits for one."""
        if self.awaiting_connection and connection in connection.node.connections:
            connection.close()
            self.dial_waiting(1)

    def is_sending(self, latest: float) -> bool:
        """Whether messages to nodes have not left yet, or releases that left are unanswered.

        At the process's end at a time, answers are not waited for so long as viewers'.
        """
        has_time = self.loop.now + EXIT_MARGIN_MS < latest
        nodes = self.by_number.values()
        return any(
            (node.has_waiting_messages() and not node.gone)
            or (has_time and node.releases.by_carrier)
            or any(connection.stream.queued for connection in node.connections)
            for node in nodes
        )

    def shut_down(self) -> None:
        """Closes all connections at the process's end, after what is queued for their nodes.

        Every connection is closed gracefully.
        """
        self.dial_waiting(len(self.awaiting_connection))
        for node in self.by_number.values():
            connections, node.connections = node.connections, []
            for connection in connections:
                if not connection.up:
                    connection.send_waiting()
                connection.stream.close()

    def next_ping_name(self) -> str:
        """The session name that the next ping is sent under."""
        self.pings_named += 1
        return f"{self.pings_named:016x}"

    def node_for(self, member) -> Node:
        """The node of a member of the list, a new one for a new id or another address."""
        node = self.by_id.get(member.id)
        if node is None or (
            node.address != (member.host, member.port) and member.state != "DELETED"
        ):
            self.last_number += 1
            number = self.last_number if node is None else node.number
            if node is not None:
                self.drop_connections(node)
            node = self.by_id[member.id] = self.by_number[number] = Node(self, number, member)
            previous, self.by_address[node.address] = self.by_address.get(node.address), node
            if previous is not None and previous.gone:
                self.drop_connections(previous)
        return node

    def mark_gone(self, node: Node) -> None:
        """Marks a node as gone, as the list says; its plays end with its connections.

        Where another node has its address, what answers there is that one and proves nothing of
        this one: its connections and plays end now.
        """
        if not node.gone:
            node.gone_since = self.loop.now
        node.gone = True
        if not self.is_at_its_address(node):
            self.drop_connections(node)

    def drop_connections(self, node: Node) -> None:
        """Ends a node's connections and its plays: it is not at its address any more."""
        if self.is_at_its_address(node):
            del self.by_address[node.address]
        for connection in list(node.connections):
            connection.abort(allocation.CONNECTION_LOST)
        lost_plays.process_ended(node, "another address")
        self.awaiting_connection.pop(node, None)

    def is_retained(self, node: Node) -> bool:
        """Whether a node that is gone is kept for the releases that wait for it."""
        return (
            self.loop.now - node.gone_since < GONE_RETENTION_MS
            and self.is_at_its_address(node)
            and bool(node.releases)
        )

    def remove_gone(self) -> None:
        """Removes the nodes that are gone from the list, serve no play and await no release."""
        for node in [
            n
            for n in self.by_number.values()
            if n.gone and not n.running_plays and not n.open_set_ups and not self.is_retained(n)
        ]:
            node.queued_messages = []
            node.releases.clear()
            self.awaiting_connection.pop(node, None)
            self.watched.pop(node, None)
            if self.is_at_its_address(node):
                del self.by_address[node.address]
            for connection in list(node.connections):
                connection.abort(allocation.CONNECTION_LOST)
            del self.by_number[node.number]
            if self.by_id.get(node.id) is node:
                del self.by_id[node.id]

    def check(self) -> None:
        """Checks the nodes where plays run, the one with the oldest last message first.

        Where the limit of connections is below the number of nodes, that one has waited longest
        for a connection.
        """
        self.loop.call_later(CHECK_INTERVAL_MS, self.check)
        self.dial_waiting(len(self.awaiting_connection))
        for node in sorted(self.watched, key=lambda node: node.liveness.last_heard_at):
            if node.running_plays or node.has_open_releases():
                health_check.check_node(node, self.loop.now)
            else:
                del self.watched[node]
        self.remove_gone()

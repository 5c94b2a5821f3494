"""Applies events of the change log to the list of media nodes, and updates the controller."""

import logging
from zlib import crc32

from laddergw import interface
from laddergw.platform import allocation, lost_plays
from laddergw.platform.node import Node
from laddergw.signalling import changes

STATES = {"SERVING": interface.READY, "DRAINING": interface.DRAINING, "DELETED": interface.GONE}

log = logging.getLogger("laddergw.platform")


class FleetList:
    """The list of media nodes by the events of the change log."""

    def __init__(self, director):
        self.director = director

    def apply_event(self, event: changes.Event) -> None:
        """Applies one event: updates the nodes, then the controller.

        The controller places new plays only at nodes that are SERVING. From all others the set-ups
        that have not left yet are withdrawn; plays that run at a draining node go on.
        """
        not_serving = self.mark_missing(event) if event.is_complete else []
        entries = []
        for member in event.members:
            if member.state == "DELETED" and member.id not in self.director.nodes.by_id:
                continue
            previous = self.director.nodes.by_address.get((member.host, member.port))
            node = self.update_node(member, event.number)
            if self.is_replaced(previous, node):
                self.mark_replaced(previous)
                not_serving.append(previous)
                entries.append(self.entry_of(previous))
            if member.state != "SERVING":
                not_serving.append(node)
            entries.append(self.entry_of(node))
        self.director.feed(
            self.director.controller.update_fleet,
            self.director.loop.now,
            entries,
            event.is_complete,
        )
        for node in not_serving:
            self.withdraw_unsent(node)

    def is_replaced(self, previous: Node | None, node: Node) -> bool:
        """Whether a node has come up at the address of another one that is listed still."""
        return (
            previous is not None
            and previous is not node
            and not previous.gone
            and not self.director.nodes.is_at_its_address(previous)
        )

    def mark_replaced(self, node: Node) -> None:
        """Marks a node as gone: another one has its address, which the list tells first."""
        log.info("node %s: gone, another node has its address", node.id)
        node.member = node.member._replace(state="DELETED")
        self.director.nodes.mark_gone(node)

    def mark_missing(self, event: changes.Event) -> list[Node]:
        """Marks the nodes that a complete list leaves out as gone, and returns them."""
        named = {member.id for member in event.members}
        missing = [node for node in self.director.nodes.by_id.values() if node.id not in named]
        for node in missing:
            self.director.nodes.mark_gone(node)
        return missing

    def update_node(self, member: changes.Member, number: int) -> Node:
        """Updates the node of one member, in the event of that number, and returns it.

        A later start is another process: the plays that ran at earlier ones are over.
        """
        node = self.director.nodes.node_for(member)
        if member.since > node.started_ms:
            log.info("node %s: another process, %s at event %d", node.id, member.state, number)
            started_at = member.since - self.director.clock_offset_ms
            lost_plays.process_started(node, started_at)
            node.started_ms = member.since
        node.gone = False
        if node.member.state != member.state or node.member is member:
            log.debug("node %s: %s at event %d", node.id, member.state, number)
        if member.state == "DELETED":
            self.director.nodes.mark_gone(node)
        node.member = member
        return node

    def withdraw_unsent(self, node: Node) -> None:
        """Withdraws the set-ups to a node that have not left yet."""
        for play in list(node.open_set_ups.values()):
            if (
                play.connection is not None
                and play.connection.state(play.session) == allocation.UNSENT
            ):
                self.director.allocator.drop_set_up(play, allocation.WITHDRAWN)

    def entry_of(self, node: Node) -> interface.NodeEntry:
        """The controller's entry of a node, with kind and zone as numbered in the configuration in
        force.

        Its `rotation_offset` is made of the node's id, which is the same at every director.
        """
        m = node.member
        return interface.NodeEntry(
            node.number,
            m.cell,
            m.weight,
            STATES[m.state],
            m.since - self.director.clock_offset_ms if m.since else 0.0,
            self.director.configuration.kinds.get(m.kind, 0),
            self.director.configuration.zones.get(m.zone, 0),
            crc32(m.id.encode()),
        )

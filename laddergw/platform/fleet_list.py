"""Takes events of the change log into the list of media nodes, and tells the module."""

import logging
from zlib import crc32

from laddergw import interface
from laddergw.platform import allocation
from laddergw.platform.node import Node
from laddergw.signalling import changes

STATES = {"SERVING": interface.READY, "DRAINING": interface.DRAINING, "DELETED": interface.GONE}

log = logging.getLogger("laddergw.platform")


class FleetList:
    """The list of media nodes as the change log tells it."""

    def __init__(self, director):
        self.director = director

    def apply_event(self, event: changes.Event) -> None:
        """Takes up one event, tells the module, takes back what has not left for who stopped."""
        stopped = self.unnamed(event) if event.is_complete else []
        lines = []
        for member in event.members:
            if member.state == "DELETED" and member.id not in self.director.nodes.by_id:
                continue
            node = self.take(member, event.number)
            if member.state != "SERVING":
                stopped.append(node)
            lines.append(self.entry_of(node))
        self.director.feed(
            self.director.controller.update_fleet, self.director.loop.now, lines, event.is_complete
        )
        for node in stopped:
            self.take_back(node)

    def unnamed(self, event: changes.Event) -> list[Node]:
        """Nodes that a whole list leaves out: they are gone."""
        named = {member.id for member in event.members}
        found = [node for node in self.director.nodes.by_id.values() if node.id not in named]
        for node in found:
            self.director.nodes.is_gone(node)
        return found

    def take(self, member: changes.Member, number: int) -> Node:
        """One member of an event, as its node."""
        node = self.director.nodes.node_of(member)
        if member.since > node.since:  # another process: what stood at the last is over
            node.lose("started anew")
            node.since = member.since
        node.gone = False
        if node.member.state != member.state or node.member is member:
            log.debug("node %s: %s at event %d", node.id, member.state, number)
        if member.state == "DELETED":
            self.director.nodes.is_gone(node)
        node.member = member
        return node

    def take_back(self, node: Node) -> None:
        """Set-ups that have not left yet do not go there any more."""
        for play in list(node.open_set_ups.values()):
            if (
                play.connection is not None
                and play.connection.state(play.session) == allocation.UNSENT
            ):
                self.director.allocator.drop_set_up(play, allocation.WITHDRAWN)

    def entry_of(self, node: Node) -> interface.NodeEntry:
        """The module's line of a node, by the names in force.

        `rotation_offset`: by its id, which every director hears alike.
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

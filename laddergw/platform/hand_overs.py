"""Takes over plays that run at a node already, as the platform hands them to this director.

What was told of a play may arrive before its hand-over: it is then over, for its viewer and at its
node (ended_sessions.py).
"""

import logging

from laddergw.platform import allocation, deliveries, requests
from laddergw.platform.causes import BROKEN, ENDED
from laddergw.platform.ended_sessions import EndedSession
from laddergw.platform.node import Node
from laddergw.platform.plays import Play
from laddergw.platform.viewers import ViewerConnection
from laddergw.signalling import binary

log = logging.getLogger("laddergw.platform")


def is_hand_over(message: binary.Message) -> bool:
    """Whether a set-up names a node where its play runs already."""
    return b"at:" in (message.parameters or {}).get(binary.ATTRIBUTES, b"")


class HandOvers:
    """Takes over the plays that run as the director starts, or that it may hold already."""

    def __init__(self, director):
        self.director = director

    def take_over(self, viewer: ViewerConnection, session: str, request: requests.Request) -> None:
        """Takes over a play that runs at a node already; this director may hold it already."""
        node = self.director.nodes.by_id.get(request.node_id)
        if node is None or node.gone:
            log.info("%s: handed over from %s, which is not in the list", session, request.node_id)
            self.director.count("handed over from nowhere")
            return viewer.refuse(session)
        self.director.listener.mark_served(viewer)
        if session in self.director.running_plays:
            return None
        play = Play(request, session, viewer)
        play.node, play.number = node, 0
        ended = self.director.ended_sessions.find(session, node.id)
        if ended is not None:
            return self.end_play(play, ended)
        return self.add_play(play, node)

    def add_play(self, play: Play, node: Node) -> None:
        """Adds a play that runs at a node, and connects to the node if needed."""
        self.director.count("handed over")
        log.debug("%s: handed over on %s, plays at node %s", play.session, play.viewer, node.id)
        self.director.running_plays[play.session] = play
        play.is_running = True
        node.add_play(play)
        self.director.feed(
            self.director.controller.take_over_play,
            self.director.loop.now,
            play.request.play_request,
            node.number,
        )
        if not node.connections and self.director.nodes.make_room(include_serving=False):
            node.dial()  # the node reports on the play on any connection

    def end_play(self, play: Play, ended: EndedSession) -> None:
        """Releases a play to its viewer, and at its node unless that has reported the end."""
        self.director.count("handed over after their end")
        log.debug("%s: handed over on %s, is over: %s", play.session, play.viewer, ended.event)
        is_cut = ended.event in (allocation.INTERRUPTED, allocation.NODE_LOST)
        cause = bytes([BROKEN if is_cut else ENDED])
        self.director.listener.send_until_acknowledged(
            play.viewer, binary.RELEASE, play.session, (binary.CAUSE, cause)
        )
        if not ended.node_id:
            deliveries.release(play.node, play, None)

"""Takes over plays that run at a node already, as the platform hands them to this director.

What was told of a play may arrive before its hand-over: it is then over, for its viewer and at its
node (ended_sessions.py).
"""

import logging
from collections import Counter

from laddergw.platform import allocation, deliveries, requests
from laddergw.platform.causes import BROKEN, ENDED
from laddergw.platform.ended_sessions import EndedSession
from laddergw.platform.node import Node
from laddergw.platform.plays import Play
from laddergw.platform.viewers import ViewerConnection
from laddergw.signalling import binary

# Plays that were taken over and still run: together, and of one connection. Nobody confirms them.
MAX_TAKEN_OVER, MAX_TAKEN_OVER_PER_CONNECTION = 16_384, 4_096
# Hand-overs that are refused and logged: a flood must not fill the log.
MAX_LOGGED_REFUSALS = 40

log = logging.getLogger("laddergw.platform")


def is_hand_over(message: binary.Message) -> bool:
    """Whether a set-up names a node where its play runs already."""
    return b"at:" in (message.parameters or {}).get(binary.ATTRIBUTES, b"")


class HandOvers:
    """Takes over the plays that run as the director starts, or that it may hold already."""

    def __init__(self, director):
        self.director = director
        # plays that run, by the connection that they were handed over on
        self.running_by_connection: Counter = Counter()

    def take_over(self, viewer: ViewerConnection, session: str, request: requests.Request) -> None:
        """Takes over a play that runs at a node already; this director may hold it already."""
        node = self.director.nodes.by_id.get(request.node_id)
        if node is None or node.gone:
            return self.refuse(viewer, session, "from nowhere")
        self.director.listener.mark_served(viewer)
        if session in self.director.running_plays:
            return None
        play = Play(request, session, viewer)
        play.node, play.number = node, 0
        ended = self.director.ended_sessions.find(session, node.id)
        if ended is not None:
            return self.end_play(play, ended)
        if (
            self.running_by_connection.total() >= MAX_TAKEN_OVER
            or self.running_by_connection[str(viewer)] >= MAX_TAKEN_OVER_PER_CONNECTION
        ):
            return self.refuse(viewer, session, "beyond the limit")
        return self.add_play(play, node)

    def refuse(self, viewer: ViewerConnection, session: str, why: str) -> None:
        """Refuses a hand-over."""
        self.director.count("handed over " + why)
        if self.director.counts["handed over " + why] <= MAX_LOGGED_REFUSALS:
            log.info("%s: handed over on %s %s, refused", session, viewer, why)
        viewer.refuse(session)

    def play_ended(self, play: Play) -> None:
        """Notes that a play has ended, which may have been taken over."""
        if play.request.node_id:
            self.running_by_connection[str(play.viewer)] -= 1
            if not self.running_by_connection[str(play.viewer)]:
                del self.running_by_connection[str(play.viewer)]

    def add_play(self, play: Play, node: Node) -> None:
        """Adds a play that runs at a node, and connects to the node if needed."""
        self.director.count("handed over")
        log.debug("%s: handed over on %s, plays at node %s", play.session, play.viewer, node.id)
        self.director.running_plays[play.session] = play
        self.running_by_connection[str(play.viewer)] += 1
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
        if not ended.node_id and len(play.node.releases) < MAX_TAKEN_OVER:
            deliveries.release(play.node, play, None)

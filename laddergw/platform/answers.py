"""Handles media nodes' answers to set-ups, each once everything that was read with it is known.

What follows an answer can change its meaning: the rest of a description whose stated length is too
short, or the end of the session that the answer begins.
"""

import logging
from collections.abc import Callable

from laddergw import interface
from laddergw.platform import allocation
from laddergw.platform.causes import FAILED
from laddergw.platform.connection import Connection
from laddergw.platform.node import Node
from laddergw.platform.play_ending import PlayEnding
from laddergw.platform.plays import Play
from laddergw.signalling import description, rtsp

# A description that may be cut short is passed on once nothing more has come for this long.
MORE_BODY_WAIT_MS = 250.0

log = logging.getLogger("laddergw.platform")


class AnswerHandler:
    """Handles answers to the director's set-ups; `load_report` reads a message's load report."""

    def __init__(self, director, ending: PlayEnding, load_report: Callable[[rtsp.Message], tuple]):
        self.director, self.ending, self.load_report = director, ending, load_report

    def handle_answer(self, node: Node, connection: Connection, message: rtsp.Message) -> None:
        """Handles a media node's answer to an open set-up, at once or when it is known to be whole.

        Of several answers to one set-up the first counts.
        """
        play = connection.plays[message.session]
        if play.answer is not None:
            return None
        if allocation.event_of_status(message.status) != allocation.ACCEPTED or not message.body:
            return self.apply_answer(node, connection, message)

        def apply_later() -> None:
            if connection.plays.get(play.session) is play:
                self.apply_answer(node, connection, message)

        play.answer = message
        may_be_cut = description.may_be_truncated(message.body, play.request.description)
        if may_be_cut and not connection.reader.next_message_started():
            self.director.loop.call_later(MORE_BODY_WAIT_MS, apply_later)
        else:
            self.director.loop.call_soon(apply_later)
        return None

    def apply_answer(self, node: Node, connection: Connection, message: rtsp.Message) -> None:
        """Closes a set-up by its answer: its play runs, or its allocation has ended.

        An answer that accepts the set-up without a description has nothing to pass on to the
        viewer: its connection ends as malformed.
        """
        play = connection.plays[message.session]
        event = allocation.event_of_status(message.status)
        if event == allocation.ACCEPTED and not message.body:
            connection.abort(allocation.MALFORMED)
            return node.replace_connection()
        play.connection_opened_at = connection.opened_at
        state = self.close_set_up(play)
        waited = self.director.loop.now - play.sent_at
        log.debug(
            "%s.%d: node %s answers %d after %.0f ms",
            *(play.session, play.number, node.id, message.status, waited),
        )
        if event == allocation.ACCEPTED:
            return self.director.admission.start_play(play, message.body)
        return self.ending.allocation_ended(play, state, event, self.load_report(message))

    def connection_ended(self, connection: Connection) -> None:
        """Applies the answers that have come whole before the end of their connection."""
        for play in list(connection.plays.values()):
            if play.answer is None:
                continue
            if not description.may_be_truncated(play.answer.body, play.request.description):
                self.apply_answer(play.node, connection, play.answer)

    def close_set_up(self, play: Play) -> str:
        """Removes a play's open set-up; returns the state of the allocation (allocation.py)."""
        state = play.connection.close_set_up(play.session)
        play.connection, play.answer = None, None
        play.node.open_set_ups.pop(play.session, None)
        return state

    def ended_after_answer(self, play: Play, event: str, report: tuple) -> None:
        """Handles the end of a session that follows an answer not yet passed on.

        Where the viewer has left, as the node reports, it gets one final answer and no session: it
        would not take the answer of a session that is over for one.
        """
        log.debug(
            "%s.%d: session ended right after its answer: %s", play.session, play.number, event
        )
        self.director.count("over behind their answer: " + event)
        if event == allocation.ENDED:
            self.apply_answer(play.node, play.connection, play.answer)
            return self.ending.allocation_ended(play, allocation.RUNNING, event, report)
        if event != allocation.VIEWER_LEFT:
            return self.ending.allocation_ended(play, self.close_set_up(play), event, report)
        self.close_set_up(play)
        self.director.admission.finish(play, FAILED)
        return self.ending.record_outcome(play, interface.CANCELLED, report)

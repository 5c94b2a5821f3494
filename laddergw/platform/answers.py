"""Takes media nodes' answers to set-ups, each once all is read that came with it.

What stands behind an answer may change what it means: its rest, where its length is too short, or
the end of the session that it begins.
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

# a description that may be cut short is passed on once so long nothing more has come
REST_MS = 250.0

log = logging.getLogger("laddergw.platform")


class Answers:
    """Answers to the director's set-ups; `report_of` reads the load report of a message."""

    def __init__(self, director, ending: PlayEnding, report_of: Callable[[rtsp.Message], tuple]):
        self.director, self.ending, self.report_of = director, ending, report_of

    def answered(self, node: Node, connection: Connection, message: rtsp.Message) -> None:
        """A media node has answered an open set-up."""
        play = connection.plays[message.session]
        if play.answer is not None:  # the first of several counts
            return None
        if allocation.event_of_status(message.status) != allocation.ACCEPTED or not message.body:
            return self.take(node, connection, message)

        def take_later() -> None:
            if connection.plays.get(play.session) is play:
                self.take(node, connection, message)

        play.answer = message
        cut = description.may_be_truncated(message.body, play.request.description)
        if cut and not connection.reader.next_message_started():
            self.director.loop.call_later(REST_MS, take_later)
        else:
            self.director.loop.call_soon(take_later)
        return None

    def take(self, node: Node, connection: Connection, message: rtsp.Message) -> None:
        """Settles a set-up by its answer."""
        play = connection.plays[message.session]
        fact = allocation.event_of_status(message.status)
        if fact == allocation.ACCEPTED and not message.body:  # nothing that could be passed on
            connection.end(allocation.MALFORMED)
            return node.renew()
        state = self.close_set_up(play)
        waited = self.director.loop.now - play.sent_at
        log.debug(
            "%s.%d: node %s answers %d after %.0f ms",
            *(play.session, play.number, node.id, message.status, waited),
        )
        if fact == allocation.ACCEPTED:
            return self.director.admission.start_play(play, message.body)
        return self.ending.allocation_ended(play, state, fact, self.report_of(message))

    def connection_ended(self, connection: Connection) -> None:
        """Answers that have come whole before the connection's end are taken all the same."""
        for play in list(connection.plays.values()):
            if play.answer is None:
                continue
            if not description.may_be_truncated(play.answer.body, play.request.description):
                self.take(play.node, connection, play.answer)

    def close_set_up(self, play: Play) -> str:
        """Its set-up is open no more; says whether all of it had left."""
        state = play.connection.close_set_up(play.session)
        play.connection, play.answer = None, None
        play.node.open_set_ups.pop(play.session, None)
        return state

    def ended_behind(self, play: Play, fact: str, report: tuple) -> None:
        """The session is over by a word right behind the answer that is not passed on yet.

        A viewer that has left, by its node's word, gets one final answer and no session: the answer
        to a session that is over is not taken for one.
        """
        log.debug("%s.%d: over by a word behind its answer: %s", play.session, play.number, fact)
        self.director.count("over behind their answer: " + fact)
        if fact == allocation.ENDED:  # it has run to its end
            self.take(play.node, play.connection, play.answer)
            return self.ending.allocation_ended(play, allocation.RUNNING, fact, report)
        if fact != allocation.VIEWER_LEFT:
            return self.ending.allocation_ended(play, self.close_set_up(play), fact, report)
        self.close_set_up(play)
        self.director.admission.finish(play, FAILED)
        return self.ending.record_outcome(play, interface.CANCELLED, report)

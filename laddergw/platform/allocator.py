"""The nodes' side of plays: set-ups go out and end, and the module is told how; an allocation's
facts become outcomes in allocation.py.
"""

import logging

from laddergw import interface
from laddergw.platform import allocation, reports, requests
from laddergw.platform.answers import Answers
from laddergw.platform.causes import ENDED
from laddergw.platform.connection import Connection
from laddergw.platform.node import Node
from laddergw.platform.play_ending import PlayEnding
from laddergw.platform.plays import Play
from laddergw.signalling import rtsp

# what a node's system has not told to have after this it shall not get: acknowledgements wait 40 ms
# at most, and
ARRIVE_MS = 60.0
# nothing may begin 100 ms after its viewer has left, of which a turn may have passed before we read
# that


log = logging.getLogger("laddergw.platform")


class Allocator:
    """Carries out allocations of the director's plays at media nodes."""

    def __init__(self, director):
        self.director, self.count = director, director.count
        self.ending = PlayEnding(director)
        self.answers = Answers(director, self.ending, self.report_of)

    def allocate(self, play: Play, verdict: interface.Verdict) -> None:
        play.number, play.sent_at = play.number + 1, self.director.loop.now
        play.answer = None
        node = play.node = self.director.nodes.by_number.get(verdict.node)
        connection = (
            None if node is None or node.gone or verdict.timeout_ms <= 0 else node.free_connection()
        )
        if connection is None:
            log.debug(
                "%s.%d: not sent, node %s is %s",
                play.session,
                play.number,
                node and node.id,
                "unknown"
                if node is None
                else "gone"
                if node.gone
                else "without a connection"
                if verdict.timeout_ms > 0
                else "left no time",
            )
            return self.ending.record_outcome(play, interface.NEVER_SENT)
        r = play.request
        node.open_set_ups[play.session], play.connection = play, connection
        connection.set_up(
            play,
            rtsp.encode_request(
                "SETUP",
                r.title,
                play.session,
                (
                    ("Subject", r.product),
                    ("X-Patience", str(max(1, int(verdict.timeout_ms)))),
                    ("Rate-Step", str(verdict.rung)),
                ),
                r.description,
            ),
        )
        log.debug(
            "%s.%d %s: to node %s on %s, time-out %.0f ms",
            play.session,
            play.number,
            r.product,
            node.id,
            play.connection,
            verdict.timeout_ms,
        )
        play.timeout_timer = self.director.loop.call_later(
            verdict.timeout_ms, lambda: self.set_up_timed_out(play)
        )

    def send_to_node(self, node: Node, data: bytes, ends: str = "") -> None:
        """To a node about a play that stands, or that this `ends`, on any connection."""
        self.director.nodes.say(node, data, ends)

    def release(self, play: Play) -> None:
        log.debug("%s.%d: release to node %s", play.session, play.number, play.node.id)
        self.send_to_node(
            play.node,
            rtsp.encode_request(
                "TEARDOWN", play.request.title, play.session, (("Reason", f"cause={ENDED}"),)
            ),
            play.session,
        )

    def report_of(self, message: rtsp.Message) -> tuple[float, ...]:
        """The load report that a message carries, or nothing."""
        return reports.report_of(message, self.director.configuration.deployment.reports)

    def told(self, node: Node, connection: Connection, message: rtsp.Message) -> None:
        """A media node speaks of a play: a note, or its release."""
        play = node.running_plays.get(message.session) or node.open_set_ups.get(message.session)
        if message.method == "TEARDOWN":
            connection.stream.write(
                rtsp.encode_response(200, "OK", message.cseq or "2", message.session)
            )
            if play is None:
                log.debug(
                    "%s: released by node %s on %s, held by nobody",
                    message.session,
                    node.id,
                    connection,
                )
                self.count("released by its node, held by nobody")
            else:
                self.released(play, connection, message)
        elif message.method == "ANNOUNCE" and play is not None and play.is_running:
            kind, value = (
                reports.NOTES.get(message.headers.get("x-note", "")),
                message.headers.get("figure", ""),
            )
            if kind is not None and requests.NUMBER_PATTERN.fullmatch(value):
                self.director.feed(
                    self.director.controller.update_play,
                    self.director.loop.now,
                    play.id,
                    node.number,
                    kind,
                    float(value),
                )

    def released(self, play: Play, connection: Connection, message: rtsp.Message) -> None:
        """A media node has released a play, or one whose set-up is open: on any connection, so
        maybe before its answer is read.
        """
        cause = message.headers.get("reason", "").removeprefix("cause=")
        log.debug(
            "%s.%d: released by its node on %s, cause %s",
            play.session,
            play.number,
            connection,
            cause[:8],
        )
        fact, report = (
            allocation.event_of_cause(int(cause) if cause.isdigit() else 0),
            self.report_of(message),
        )
        if play.is_running:
            self.ending.allocation_ended(play, allocation.RUNNING, fact, report)
        elif play.connection is connection and play.answer is not None:
            self.answers.ended_behind(play, fact, report)
        elif play.connection is connection:
            self.ending.allocation_ended(play, connection.state(play.session), fact, report)
        elif play.connection.state(play.session) == allocation.SENT:
            self.drop_set_up(
                play, fact, report
            )  # an answer that is still on its way belongs to nobody

    def set_up_timed_out(self, play: Play) -> None:
        """The module's time-out for this allocation."""
        play.timeout_timer = None
        self.drop_set_up(play, allocation.TIMED_OUT)

    def cancel(self, play: Play) -> None:
        """Nobody waits for it any more: what is out ends, and the module hears of what has ended,
        before its name can come again.
        """
        if play.connection is not None:
            self.drop_set_up(play, allocation.CANCELLED)
        elif play.pending_outcome is not None:
            self.ending.report_outcome(play)

    def drop_set_up(self, play: Play, fact: str, report: tuple = ()) -> None:
        """Gives a set-up up. Its connection ends too: what may still come on it belongs to nobody.
        While its node's system has not
        all of what left, the connection is cut off, or a node that stood still or was away would
        begin it when it is back.
        """
        connection = play.connection
        log.debug(
            "%s.%d: %s on %s, set-up ends at byte %d",
            play.session,
            play.number,
            fact,
            connection,
            connection.ends[play.session],
        )
        end = connection.ends[play.session]
        state = connection.give_up(play.session)
        late = self.director.loop.now - play.sent_at >= ARRIVE_MS
        away = (
            state == allocation.SENT
            and not connection.plays
            and late
            and not connection.arrived(end)
        )
        if state == allocation.SENT and not away:
            connection.stream.write(
                rtsp.encode_request("TEARDOWN", play.request.title, play.session)
            )
        if not connection.plays and connection in connection.node.connections:
            connection.end(allocation.CONNECTION_LOST) if away else connection.close(ARRIVE_MS)
            connection.node.renew()
        elif state == allocation.SENT:  # others share it
            self.director.loop.call_later(ARRIVE_MS, lambda: connection.cut_unless_arrived(end))
        self.ending.allocation_ended(play, state, fact, report)

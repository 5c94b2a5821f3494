"""The nodes' side of plays: set-ups go out and end, and the module is told how; an allocation's
facts become outcomes in allocation.py.
"""

import logging

from laddergw import interface as face
from laddergw.platform import allocation as life
from laddergw.platform import reports, requests
from laddergw.platform.causes import ENDED
from laddergw.platform.connection import Connection
from laddergw.platform.ending import Ending
from laddergw.platform.node import Node
from laddergw.platform.plays import Play
from laddergw.signalling import description, rtsp

# what a node's system has not told to have after this it shall not get: acknowledgements wait 40 ms
# at most, and
ARRIVE_MS = 60.0
# nothing may begin 100 ms after its viewer has left, of which a turn may have passed before we read
# that
REST_MS = (
    250.0  # a description that may be cut short is passed on once so long nothing more has come
)


log = logging.getLogger("laddergw.platform")


class Allocating:
    """Carries out allocations of the director's plays at media nodes."""

    def __init__(self, director):
        self.director, self.count = director, director.count
        self.ending = Ending(director)

    def allocate(self, ply: Play, verdict: face.Verdict) -> None:
        ply.number, ply.sent_at = ply.number + 1, self.director.loop.now
        node = ply.node = self.director.nodes.by_number.get(verdict.node)
        connection = (
            None if node is None or node.gone or verdict.timeout_ms <= 0 else node.free_connection()
        )
        if connection is None:
            log.debug(
                "%s.%d: not sent, node %s is %s",
                ply.session,
                ply.number,
                node and node.id,
                "unknown"
                if node is None
                else "gone"
                if node.gone
                else "without a connection"
                if verdict.timeout_ms > 0
                else "left no time",
            )
            return self.ending.tell_end(ply, face.NEVER_SENT)
        r = ply.request
        node.open[ply.session], ply.connection = ply, connection
        connection.set_up(
            ply,
            rtsp.request(
                "SETUP",
                r.title,
                ply.session,
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
            ply.session,
            ply.number,
            r.product,
            node.id,
            ply.connection,
            verdict.timeout_ms,
        )
        ply.timer = self.director.loop.after(verdict.timeout_ms, lambda: self.late(ply))

    def say(self, node: Node, data: bytes, ends: str = "") -> None:
        """To a node about a play that stands, or that this `ends`, on any connection."""
        self.director.nodes.say(node, data, ends)

    def release(self, ply: Play) -> None:
        log.debug("%s.%d: release to node %s", ply.session, ply.number, ply.node.id)
        self.say(
            ply.node,
            rtsp.request(
                "TEARDOWN", ply.request.title, ply.session, (("Reason", f"cause={ENDED}"),)
            ),
            ply.session,
        )

    def answered(self, node: Node, connection: Connection, message: rtsp.Message) -> None:
        """A media node has answered an open set-up. Of a description that may be cut short the rest
        may be on its way, which would show
        that its length is wrong; what begins another message has shown that it is right."""
        ply = connection.plays[message.session]
        complete = connection.reader.another_begun() or not description.may_be_cut(
            message.body, ply.request.description
        )
        if complete or life.answer(message.status) != life.THERE or not message.body:
            return self.take_answer(node, connection, message)
        self.director.loop.after(
            REST_MS,
            lambda: (
                connection.plays.get(ply.session) is ply
                and self.take_answer(node, connection, message)
            ),
        )
        return None

    def take_answer(self, node: Node, connection: Connection, message: rtsp.Message) -> None:
        ply = connection.plays[message.session]
        fact = life.answer(message.status)
        if fact == life.THERE and not message.body:
            connection.end(life.SPOILT)  # an answer without its description cannot be passed on
            return node.renew()
        state = connection.settle(ply.session)
        ply.connection = None
        node.open.pop(ply.session, None)
        log.debug(
            "%s.%d: node %s answers %d after %.0f ms",
            ply.session,
            ply.number,
            node.id,
            message.status,
            self.director.loop.now - ply.sent_at,
        )
        if fact == life.THERE:
            return self.director.admission.stand(ply, message.body)
        return self.ending.ended(ply, state, fact, self.report_of(message))

    def report_of(self, message: rtsp.Message) -> tuple[float, ...]:
        """The load report that a message carries, or nothing."""
        return reports.report_of(message, self.director.assignment.deployment.reports)

    def told(self, node: Node, connection: Connection, message: rtsp.Message) -> None:
        """A media node speaks of a play: a note, or its release."""
        ply = node.held.get(message.session) or node.open.get(message.session)
        if message.method == "TEARDOWN":
            connection.stream.write(
                rtsp.answer(200, "OK", message.sequence or "2", message.session)
            )
            if ply is None:
                log.debug(
                    "%s: released by node %s on %s, held by nobody",
                    message.session,
                    node.id,
                    connection,
                )
                self.count("released by its node, held by nobody")
            else:
                self.released(ply, connection, message)
        elif message.method == "ANNOUNCE" and ply is not None and ply.stands:
            kind, value = (
                reports.NOTES.get(message.headers.get("x-note", "")),
                message.headers.get("figure", ""),
            )
            if kind is not None and requests.FIGURE.fullmatch(value):
                self.director.feed(
                    self.director.controller.note,
                    self.director.loop.now,
                    ply.id,
                    node.number,
                    kind,
                    float(value),
                )

    def released(self, ply: Play, connection: Connection, message: rtsp.Message) -> None:
        """A media node has released a play, or one whose set-up is open: on any connection, so
        maybe before its answer is read.
        """
        cause = message.headers.get("reason", "").removeprefix("cause=")
        log.debug(
            "%s.%d: released by its node on %s, cause %s",
            ply.session,
            ply.number,
            connection,
            cause[:8],
        )
        fact, report = life.end(int(cause) if cause.isdigit() else 0), self.report_of(message)
        if ply.stands:
            self.ending.ended(ply, life.HELD, fact, report)
        elif ply.connection is connection:
            self.ending.ended(ply, connection.state(ply.session), fact, report)
        elif ply.connection.state(ply.session) == life.OUT:
            self.drop_set_up(
                ply, fact, report
            )  # an answer that is still on its way belongs to nobody

    def late(self, ply: Play) -> None:
        """The module's time-out for this allocation."""
        ply.timer = None
        self.drop_set_up(ply, life.LATE)

    def give_up(self, ply: Play) -> None:
        """Nobody waits for it any more: what is out ends, and the module hears of what has ended,
        before its name can come again.
        """
        if ply.connection is not None:
            self.drop_set_up(ply, life.GIVEN_UP)
        elif ply.untold is not None:
            self.ending.tell(ply)

    def drop_set_up(self, ply: Play, fact: str, report: tuple = ()) -> None:
        """Gives a set-up up. Its connection ends too: what may still come on it belongs to nobody.
        While its node's system has not
        all of what left, the connection is cut off, or a node that stood still or was away would
        begin it when it is back.
        """
        connection = ply.connection
        log.debug(
            "%s.%d: %s on %s, set-up ends at byte %d",
            ply.session,
            ply.number,
            fact,
            connection,
            connection.ends[ply.session],
        )
        end = connection.ends[ply.session]
        state = connection.give_up(ply.session)
        late = self.director.loop.now - ply.sent_at >= ARRIVE_MS
        away = state == life.OUT and not connection.plays and late and not connection.arrived(end)
        if state == life.OUT and not away:
            connection.stream.write(rtsp.request("TEARDOWN", ply.request.title, ply.session))
        if not connection.plays and connection in connection.node.connections:
            connection.end(life.CUT) if away else connection.close(ARRIVE_MS)
            connection.node.renew()
        elif state == life.OUT:  # others share it
            self.director.loop.after(ARRIVE_MS, lambda: connection.cut_unless_arrived(end))
        self.ending.ended(ply, state, fact, report)

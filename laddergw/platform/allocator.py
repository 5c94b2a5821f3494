"""Carries out allocations of plays at media nodes.

Sends set-ups and releases, handles what nodes report, and ends set-ups that time out or are
cancelled. allocation.py maps what is observed of an allocation to its outcome.
"""

import logging

from laddergw import interface
from laddergw.platform import allocation, deliveries, reports, requests
from laddergw.platform.answers import AnswerHandler
from laddergw.platform.connection import Connection
from laddergw.platform.ended_sessions import EndedSession
from laddergw.platform.health_check import retire
from laddergw.platform.node import Node
from laddergw.platform.play_ending import PlayEnding
from laddergw.platform.plays import Play
from laddergw.signalling import rtsp

# What a node's kernel has not acknowledged after this must not reach the node any more:
# acknowledgements are delayed by 40 ms at most, and no set-up may begin 100 ms after its viewer has
# left, of which a loop turn may have passed before we read that.
DELIVERY_LIMIT_MS = 60.0

log = logging.getLogger("laddergw.platform")


def release_event(message: rtsp.Message) -> str:
    """The event that a node's release is, by the cause that it states."""
    cause = message.headers.get("reason", "").removeprefix("cause=")
    return allocation.event_of_cause(int(cause) if cause.isdigit() and len(cause) < 8 else 0)


class Allocator:
    """Carries out allocations of the director's plays at media nodes."""

    def __init__(self, director):
        self.director, self.count = director, director.count
        self.ending = PlayEnding(director)
        self.answer_handler = AnswerHandler(director, self.ending, self.load_report)

    def allocate(self, play: Play, verdict: interface.Verdict) -> None:
        """Sends a play's set-up to the verdict's node, or ends the allocation as never sent.

        The node's drain is not checked again: the controller decides after all list events of the
        turn, and its verdicts are carried out at once.
        """
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
        request = play.request
        node.open_set_ups[play.session], play.connection = play, connection
        connection.set_up(
            play,
            rtsp.encode_request(
                "SETUP",
                request.title,
                play.session,
                (
                    ("Subject", request.product),
                    ("X-Patience", str(max(1, int(verdict.timeout_ms)))),
                    ("Rate-Step", str(verdict.rung)),
                ),
                request.description,
            ),
        )
        log.debug(
            "%s.%d %s: to node %s on %s, time-out %.0f ms",
            play.session,
            play.number,
            request.product,
            node.id,
            play.connection,
            verdict.timeout_ms,
        )
        play.timeout_timer = self.director.loop.call_later(
            verdict.timeout_ms, lambda: self.set_up_timed_out(play)
        )

    def release(self, play: Play) -> None:
        """Releases a running play at its node."""
        log.debug("%s.%d: release to node %s", play.session, play.number, play.node.id)
        deliveries.release(play.node, play, play.connection_opened_at)

    def load_report(self, message: rtsp.Message) -> tuple[float, ...]:
        """The load report that a message carries, or an empty tuple."""
        return reports.parse_load_report(message, self.director.configuration.deployment.reports)

    def handle_request(self, node: Node, connection: Connection, message: rtsp.Message) -> None:
        """Handles a media node's request about a play: a note on it, or its release."""
        play = node.running_plays.get(message.session) or node.open_set_ups.get(message.session)
        if message.method == "TEARDOWN":
            connection.stream.write(
                rtsp.encode_response(200, "OK", message.cseq or "2", message.session)
            )
            node.releases.settle(message.session)
            if play is None:
                self.handle_unknown_release(node, message)
            else:
                self.handle_release(play, connection, message)
        elif message.method == "ANNOUNCE" and play is not None and play.is_running:
            kind, value = (
                reports.NOTE_KINDS.get(message.headers.get("x-note", "")),
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

    def handle_unknown_release(self, node: Node, message: rtsp.Message) -> None:
        """Remembers a node's release of a session that is not held: its hand-over may follow."""
        log.debug("%s: released by node %s, not held by this director", message.session, node.id)
        self.count("released by its node, held by nobody")
        ended = EndedSession(message.session, node.id, release_event(message))
        self.director.ended_sessions.add(node.id, ended)

    def handle_release(self, play: Play, connection: Connection, message: rtsp.Message) -> None:
        """Handles a media node's release of a running play, or of one whose set-up is open.

        It comes on any connection, so possibly before the answer to the set-up is read. An answer
        that is still on its way on another connection is ignored.
        """
        event, report = release_event(message), self.load_report(message)
        log.debug(
            "%s.%d: released by its node on %s, %s", play.session, play.number, connection, event
        )
        if play.is_running:
            self.ending.allocation_ended(play, allocation.RUNNING, event, report)
        elif play.connection is connection and play.answer is not None:
            self.answer_handler.ended_after_answer(play, event, report)
        elif play.connection is connection:
            self.ending.allocation_ended(play, connection.state(play.session), event, report)
        elif play.connection.state(play.session) == allocation.SENT:
            self.drop_set_up(play, event, report)

    def set_up_timed_out(self, play: Play) -> None:
        """Ends a set-up that the controller's time-out for this allocation has passed."""
        play.timeout_timer = None
        self.drop_set_up(play, allocation.TIMED_OUT)

    def cancel(self, play: Play) -> None:
        """Ends a play's allocation, if there is one: its viewer no longer waits.

        The controller is notified of an end at once, before the session's name can come again.
        """
        if play.connection is not None:
            self.drop_set_up(play, allocation.CANCELLED)
        elif play.pending_outcome is not None:
            self.ending.report_outcome(play)

    def drop_set_up(self, play: Play, event: str, report: tuple = ()) -> None:
        """Withdraws an open set-up, and closes its connection once no other set-up is open there:
        what still comes on it belongs to no play.

        The connection is aborted while the node's kernel has not received the whole set-up: a node
        that had stalled or was unreachable would begin it when it is back.
        """
        connection = play.connection
        end = connection.set_up_ends[play.session]
        log.debug(
            "%s.%d: %s on %s, set-up ends at byte %d",
            *(play.session, play.number, event, connection, end),
        )
        state = connection.withdraw_set_up(play.session)
        overdue = self.director.loop.now - play.sent_at >= DELIVERY_LIMIT_MS
        undelivered = (
            state == allocation.SENT
            and not connection.plays
            and overdue
            and not connection.arrived(end)
        )
        if state == allocation.SENT:
            deliveries.owe_release(connection.node, play, connection.opened_at)
        if state == allocation.SENT and not undelivered:
            given_up = rtsp.encode_request("TEARDOWN", play.request.title, play.session)
            connection.send_release(play.session, given_up)
        is_kept = not undelivered and connection.node.is_last_contact(connection, play.sent_at)
        if not connection.plays and is_kept:
            retire(connection, self.director.loop.now)
        elif not connection.plays and connection in connection.node.connections:
            connection.abort(allocation.CONNECTION_LOST) if undelivered else connection.close(
                DELIVERY_LIMIT_MS
            )
            connection.node.replace_connection()
        # Other set-ups share the connection, or it is kept.
        if (connection.plays or is_kept) and state == allocation.SENT:
            self.director.loop.call_later(
                DELIVERY_LIMIT_MS, lambda: connection.abort_unless_arrived(end)
            )
        deliveries.send_waiting(connection.node)
        self.ending.allocation_ended(play, state, event, report)

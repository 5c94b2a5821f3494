"""Reports the end of an allocation to the controller, and to the viewer of a running play."""

import logging

from laddergw.platform import allocation
from laddergw.platform.causes import BROKEN, ENDED, FAILED
from laddergw.platform.ended_sessions import EndedSession
from laddergw.platform.plays import Play
from laddergw.signalling import binary

# Longest time that an answer takes to reach its viewer.
ANSWER_DELIVERY_MS = 20.0

log = logging.getLogger("laddergw.platform")


class PlayEnding:
    """Ends the allocations of the director's plays."""

    def __init__(self, director):
        self.director = director

    def allocation_ended(self, play: Play, state: str, event: str, report: tuple = ()) -> None:
        """Takes an event that may end an allocation; reports the end to the controller, and to the
        viewer of a running play.
        """
        outcome = allocation.outcome(state, event)
        if outcome is None:
            return
        if play.is_running:
            self.remove_running(play, event)
            # A viewer that left by its node's report is released too: its answer may be on its way.
            if event != allocation.CANCELLED:
                cause = bytes([self.release_cause(play, event)])
                self.director.listener.send_until_acknowledged(
                    play.viewer, binary.RELEASE, play.session, (binary.CAUSE, cause)
                )
        elif play.connection is not None:
            if play.session in play.connection.plays:
                play.connection.close_set_up(play.session)
            play.connection = None
            play.node.open_set_ups.pop(play.session, None)
        self.record_outcome(play, outcome, report)

    def release_cause(self, play: Play, event: str) -> int:
        """Returns the cause that the release of a running play states.

        A viewer that left, as its node reports, while our answer was on its way does not count that
        answer as one. The release is then its final answer, and its cause must be that of one.
        """
        if event in (allocation.INTERRUPTED, allocation.NODE_LOST):
            return BROKEN
        is_in_transit = self.director.loop.now - play.answered_at <= ANSWER_DELIVERY_MS
        return FAILED if event == allocation.VIEWER_LEFT and is_in_transit else ENDED

    def remove_running(self, play: Play, event: str) -> None:
        """Removes a play that ends by an event from the running ones of director and node.

        That it is over holds for a hand-over that names it later, too.
        """
        self.director.admission.hand_overs.play_ended(play)
        by_node = play.node.id if event in allocation.EVENTS_OF_NODE else ""
        ended = EndedSession(play.session, by_node, event)
        self.director.ended_sessions.add(play.node.id, ended)
        self.director.running_plays.pop(play.session, None)
        play.node.running_plays.pop(play.session, None)

    def record_outcome(self, play: Play, outcome: str, report: tuple = ()) -> None:
        """Records an allocation's outcome; reports it at the turn's end if a retry is possible."""
        if play.timeout_timer is not None:
            play.timeout_timer.cancel()
            play.timeout_timer = None
        log.debug("%s.%d: ends, %s", play.session, play.number, outcome)
        self.director.count(("stood: " if play.is_running else "set-up: ") + outcome)
        play.pending_outcome = outcome, report
        if play.is_running or self.director.open_requests.get(play.session) is not play:
            return self.report_outcome(play)
        # It may be retried, once its viewer's connection has been read to its end.
        self.director.admission.deferred_plays.append(play)
        # At the end of this turn, or of the next one, which then begins at once.
        self.director.loop.call_later(0, lambda: None)
        return None

    def report_outcome(self, play: Play) -> None:
        """Reports a recorded outcome to the controller."""
        (outcome, report), play.pending_outcome = play.pending_outcome, None
        over = play.is_running or self.director.open_requests.get(play.session) is not play
        self.director.feed(
            self.director.controller.allocation_ended,
            self.director.loop.now,
            play.id,
            play.number,
            outcome,
            play.node.number if play.node else 0,
            over,
            report,
        )

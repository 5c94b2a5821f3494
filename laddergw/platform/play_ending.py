"""How the end of an allocation is told: to the module, and to the viewer of a play that stood."""

import logging

from laddergw.platform import allocation
from laddergw.platform.causes import BROKEN, ENDED, FAILED
from laddergw.platform.plays import Play
from laddergw.signalling import binary

ANSWER_DELIVERY_MS = 20.0  # longest way of an answer to its viewer

log = logging.getLogger("laddergw.platform")


class PlayEnding:
    """Tells the ends of the director's allocations."""

    def __init__(self, director):
        self.director = director

    def allocation_ended(self, play: Play, state: str, fact: str, report: tuple = ()) -> None:
        """An allocation has ended; the module is told, and a viewer whose play stood."""
        outcome = allocation.outcome(state, fact)
        if outcome is None:
            return
        if play.is_running:
            self.remove_running(play)
            if (
                fact != allocation.CANCELLED
            ):  # who has left hears it too: the answer may be on its way
                cause = bytes([self.release_cause(play, fact)])
                self.director.listener.send_until_acknowledged(
                    play.viewer, binary.RELEASE, play.session, (binary.CAUSE, cause)
                )
        elif play.connection is not None:
            if play.session in play.connection.plays:
                play.connection.close_set_up(play.session)
            play.connection = None
            play.node.open_set_ups.pop(play.session, None)
        self.record_outcome(play, outcome, report)

    def release_cause(self, play: Play, fact: str) -> int:
        """What the release of a play that stood tells its viewer.

        One that has left, by its node's word, while our answer was on its way to it does not take
        that answer for one: the release is its final answer, and has to be one.
        """
        if fact in (allocation.INTERRUPTED, allocation.NODE_LOST):
            return BROKEN
        on_its_way = self.director.loop.now - play.answered_at <= ANSWER_DELIVERY_MS
        return FAILED if fact == allocation.VIEWER_LEFT and on_its_way else ENDED

    def remove_running(self, play: Play) -> None:
        self.director.running_plays.pop(play.session, None)
        play.node.running_plays.pop(play.session, None)

    def record_outcome(self, play: Play, outcome: str, report: tuple = ()) -> None:
        if play.timeout_timer is not None:
            play.timeout_timer.cancel()
            play.timeout_timer = None
        log.debug("%s.%d: ends, %s", play.session, play.number, outcome)
        self.director.count(("stood: " if play.is_running else "set-up: ") + outcome)
        play.pending_outcome = outcome, report
        if play.is_running or self.director.open_requests.get(play.session) is not play:
            return self.report_outcome(play)
        self.director.admission.deferred_plays.append(
            play
        )  # it may be tried again, once its connection has been read to its end
        self.director.loop.call_later(
            0, lambda: None
        )  # at this turn's end, or of the next, which waits for nothing
        return None

    def report_outcome(self, play: Play) -> None:
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

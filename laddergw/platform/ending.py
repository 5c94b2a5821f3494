"""How the end of an allocation is told: to the module, and to the viewer of a play that stood."""

import logging

from laddergw.platform import allocation
from laddergw.platform.causes import BROKEN, ENDED
from laddergw.platform.plays import Play
from laddergw.signalling import binary

log = logging.getLogger("laddergw.platform")


class Ending:
    """Tells the ends of the director's allocations."""

    def __init__(self, director):
        self.director = director

    def ended(self, play: Play, state: str, fact: str, report: tuple = ()) -> None:
        """An allocation has ended; the module is told, and a viewer whose play stood."""
        outcome = allocation.outcome(state, fact)
        if outcome is None:
            return
        if play.stands:
            self.settle_standing(play)
            if (
                fact != allocation.GIVEN_UP
            ):  # also who left: our answer may still be on its way to it, and be all that it gets
                cause = BROKEN if fact in (allocation.BROKEN_OFF, allocation.LOST) else ENDED
                self.director.listener.send(
                    play.viewer, binary.RELEASE, play.session, (binary.CAUSE, bytes([cause]))
                )
        elif play.connection is not None:
            if play.session in play.connection.plays:
                play.connection.settle(play.session)
            play.connection = None
            play.node.open.pop(play.session, None)
        self.tell_end(play, outcome, report)

    def settle_standing(self, play: Play) -> None:
        self.director.standing.pop(play.session, None)
        play.node.held.pop(play.session, None)

    def tell_end(self, play: Play, outcome: str, report: tuple = ()) -> None:
        if play.timer is not None:
            play.timer.cancel()
            play.timer = None
        log.debug("%s.%d: ends, %s", play.session, play.number, outcome)
        self.director.count(("stood: " if play.stands else "set-up: ") + outcome)
        play.untold = outcome, report
        if play.stands or self.director.open.get(play.session) is not play:
            return self.tell(play)
        self.director.admission.fresh.append(
            play
        )  # it may be tried again, once its connection has been read to its end
        self.director.loop.after(
            0, lambda: None
        )  # at this turn's end, or of the next, which waits for nothing
        return None

    def tell(self, play: Play) -> None:
        (outcome, report), play.untold = play.untold, None
        over = play.stands or self.director.open.get(play.session) is not play
        self.director.feed(
            self.director.controller.ended,
            self.director.loop.now,
            play.id,
            play.number,
            outcome,
            play.node.number if play.node else 0,
            over,
            report,
        )

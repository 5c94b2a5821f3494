"""How the end of an allocation is told: to the module, and to the viewer of a play that stood."""

import logging

from laddergw.platform import allocation as life
from laddergw.platform.causes import BROKEN, ENDED
from laddergw.platform.plays import Play
from laddergw.signalling import binary

log = logging.getLogger("laddergw.platform")


class Ending:
    """Tells the ends of the director's allocations."""

    def __init__(self, director):
        self.director = director

    def ended(self, ply: Play, state: str, fact: str, report: tuple = ()) -> None:
        """An allocation has ended; the module is told, and a viewer whose play stood."""
        outcome = life.outcome(state, fact)
        if outcome is None:
            return
        if ply.stands:
            self.settle_standing(ply)
            if (
                fact != life.GIVEN_UP
            ):  # also who left: our answer may still be on its way to it, and be all that it gets
                cause = BROKEN if fact in (life.BROKEN_OFF, life.LOST) else ENDED
                self.director.listener.send(
                    ply.viewer, binary.RELEASE, ply.session, (binary.CAUSE, bytes([cause]))
                )
        elif ply.connection is not None:
            if ply.session in ply.connection.plays:
                ply.connection.settle(ply.session)
            ply.connection = None
            ply.node.open.pop(ply.session, None)
        self.tell_end(ply, outcome, report)

    def settle_standing(self, ply: Play) -> None:
        self.director.standing.pop(ply.session, None)
        ply.node.held.pop(ply.session, None)

    def tell_end(self, ply: Play, outcome: str, report: tuple = ()) -> None:
        if ply.timer is not None:
            ply.timer.cancel()
            ply.timer = None
        log.debug("%s.%d: ends, %s", ply.session, ply.number, outcome)
        self.director.count(("stood: " if ply.stands else "set-up: ") + outcome)
        ply.untold = outcome, report
        if ply.stands or self.director.open.get(ply.session) is not ply:
            return self.tell(ply)
        self.director.admission.fresh.append(
            ply
        )  # it may be tried again, once its connection has been read to its end
        self.director.loop.after(
            0, lambda: None
        )  # at this turn's end, or of the next, which waits for nothing
        return None

    def tell(self, ply: Play) -> None:
        (outcome, report), ply.untold = ply.untold, None
        over = ply.stands or self.director.open.get(ply.session) is not ply
        self.director.feed(
            self.director.controller.ended,
            self.director.loop.now,
            ply.id,
            ply.number,
            outcome,
            ply.node.number if ply.node else 0,
            over,
            report,
        )

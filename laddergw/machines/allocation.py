"""Decides what becomes of one allocation: a state machine without I/O, fed with facts from the
sockets.

    WAITING --sent--> OUT --set up in time--> HELD --ended, released, lost--> GONE
       |               |--refused, error, never ran------------------------> GONE
       |               `--time-out, cut, viewer left--> ENDING --acknowledged, or its lease over-->
       GONE
       `--taken back, no connection--------------------------------------> GONE

An allocation may be out until the node has acknowledged its release or can no longer hold it: its
lease, told in the
node's own clock, is over. Only then is its end told (`Step.ended`), so that what the module does
next never stands
beside it. Times are ms of the director's clock, handed in.
"""

import math
from typing import NamedTuple

from laddergw import interface

WAITING, OUT, HELD, ENDING, GONE = "waiting", "out", "held", "ending", "gone"
GRACE_MS = (
    60.0  # a lease outlives its time-out by this: an answer just in time can still be confirmed
)
REFUSALS = {
    503: interface.FULL,
    410: interface.FULL,
    409: interface.UNREACHABLE,
    429: interface.FULL,
}  # by the protocol: it never ran


class Step(NamedTuple):
    """What follows from a fact.

    `ended`: the outcome to tell the module; the others are things to do.
    """

    ended: str | None = None
    playing: bool = False
    confirm: bool = False
    release: bool = False
    drop_call: bool = False  # the set-up's request is of no more use


NOTHING = Step()


class Allocation:
    """One allocation of a play."""

    def __init__(
        self,
        name: str,
        number: int,
        play: int,
        node: int,
        rung: int,
        now: float,
        timeout: float,
        grace: float = GRACE_MS,
        release_ms: float = math.inf,
    ):
        self.name, self.number, self.play, self.node, self.rung = name, number, play, node, rung
        self.state, self.reason = WAITING, None
        self.asked_at, self.answer_by = now, now + timeout
        self.grace, self.release_ms = grace, release_ms
        self.lease_ends = self.gone_by = now + timeout + grace
        self.ran = self.confirmed = (
            False  # the node said that it set the play up; we took it over in time
        )

    def sent(self) -> Step:
        if self.state == WAITING:
            self.state = OUT
        return NOTHING

    def gone(self, outcome: str, **more) -> Step:
        self.state = GONE
        return Step(ended=outcome, **more)

    def ending(self, reason: str, **more) -> Step:
        self.state, self.reason = ENDING, reason
        return Step(release=True, **more)

    def answered(self, now: float, status: int, sound: bool) -> Step:
        """The node's answer to the set-up; `sound` where its body could be read."""
        if self.state == ENDING:
            never, self.ran = status in REFUSALS, self.ran or status == 201
            return (
                self.gone(REFUSALS[status] if never else self.reason)
                if never or status >= 500
                else NOTHING
            )
        if self.state not in (WAITING, OUT):
            return NOTHING
        if status == 201 and sound and now <= self.lease_ends - self.grace / 2:
            self.state, self.ran, self.confirmed = HELD, True, True
            return Step(playing=True, confirm=True)
        if status == 201:  # too late to be confirmed before its lease ends, or not to be understood
            self.ran = True
            return self.ending(interface.TIMED_OUT if sound else interface.ERROR)
        return self.gone(REFUSALS.get(status, interface.ERROR))

    def cut(self, written: int, size: int) -> Step:
        """The set-up's connection ended before its answer.

        A request cut before its last byte runs nothing.
        """
        if self.state == ENDING:
            return self.gone(self.never_ran()) if written < size else NOTHING
        if self.state not in (WAITING, OUT):
            return NOTHING
        return self.gone(interface.UNREACHABLE) if written < size else self.ending(interface.BROKEN)

    def timed_out(self, now: float, written: int, size: int) -> Step:
        if self.state not in (WAITING, OUT):
            return NOTHING
        if written < size:  # also when none was written: no connection came in time
            return self.gone(interface.UNREACHABLE, drop_call=True)
        return self.ending(interface.TIMED_OUT)

    def taken_back(self) -> Step:
        """The request left no byte of this process and was given up: its node drains, or the
        director stops.
        """
        return self.gone(interface.NEVER_SENT) if self.state == WAITING else NOTHING

    def viewer_left(self, written: int, size: int) -> Step:
        if self.state == HELD:
            return self.ending(interface.SERVED)
        if self.state in (WAITING, OUT):
            if written < size:
                return self.gone(interface.CANCELLED, drop_call=True)
            return self.ending(interface.CANCELLED)
        return NOTHING

    def moved(self) -> Step:
        return self.ending(interface.CANCELLED) if self.state == HELD else NOTHING

    def useless(self) -> Step:
        """It is held, but the viewer gets nothing: the node lets go, and the module hears that it
        broke.
        """
        return self.ending(interface.BROKEN) if self.state == HELD else NOTHING

    def node_ended(self, finished: bool) -> Step:
        """The node says that the allocation is over there."""
        if self.state == HELD:
            return self.gone(interface.SERVED if finished else interface.BROKEN)
        if self.state == ENDING:
            return self.gone(self.reason)
        return NOTHING

    def released(self, ran: bool) -> Step:
        """The node acknowledged the release; `ran` false: it never set the play up."""
        if self.state != ENDING:
            return NOTHING
        return self.gone(self.reason if ran or self.ran else self.never_ran(), drop_call=True)

    def never_ran(self) -> str:
        return interface.CANCELLED if self.reason == interface.CANCELLED else interface.UNREACHABLE

    def let_go_by(self, now: float) -> float:
        """It was given up now: from when on it counts as over though the node says nothing."""
        self.gone_by = min(self.lease_ends, now + self.release_ms)
        return self.gone_by

    def lease_over(self, now: float) -> Step:
        """Its lease has ended by the clock, or the wait that the file allows for its release: it
        counts as over, whatever the
        node says later. A file is refused where the second can come before the first."""
        if self.state == ENDING and not self.confirmed and now >= self.gone_by:
            return self.gone(self.reason, drop_call=True)
        return NOTHING

    def session_lost(self) -> Step:
        """The node's session is over, by its end of the connection or by the session's lease: it
        holds nothing that was confirmed.
        """
        if self.state == HELD:
            return self.gone(interface.BROKEN)
        if self.state == ENDING and self.confirmed:
            return self.gone(self.reason, drop_call=True)
        if self.state == OUT:
            return self.ending(interface.BROKEN)
        return NOTHING

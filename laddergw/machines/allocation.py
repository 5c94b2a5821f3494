"""Decides what becomes of one allocation: a state machine without I/O, fed with facts from the
sockets.

    WAITING --sent--> OUT --set up in time--> HELD --ended, released, lost--> GONE
       |               |--refused, error, never ran------------------------> GONE
       |               `--time-out, cut, viewer left--> ENDING --acknowledged, or its lease over-->
       GONE
       `--taken back, no connection--------------------------------------> GONE

An allocation may be out until the node has acknowledged its release or can no longer hold it: its
lease, told in the
node's own clock, is over. Only then is its end told (`AllocationActions.ended`), so that what
the module does next never stands beside it. Times are ms of the director's clock, handed in.
"""

import math
from typing import NamedTuple

from laddergw import interface

WAITING, OUT, HELD, ENDING, GONE = "waiting", "out", "held", "ending", "gone"
CONFIRM_GRACE_MS = (
    60.0  # a lease outlives its time-out by this: an answer just in time can still be confirmed
)
REFUSAL_OUTCOMES = {
    503: interface.FULL,
    410: interface.FULL,
    409: interface.UNREACHABLE,
    429: interface.FULL,
}  # by the protocol: it never ran


class AllocationActions(NamedTuple):
    """What follows from a fact.

    `ended`: the outcome to tell the module; the others are things to do.
    """

    ended: str | None = None
    playing: bool = False
    confirm: bool = False
    release: bool = False
    drop_call: bool = False  # the set-up's request is of no more use


NO_ACTIONS = AllocationActions()


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
        grace: float = CONFIRM_GRACE_MS,
        release_ms: float = math.inf,
    ):
        self.name, self.number, self.play, self.node, self.rung = name, number, play, node, rung
        self.state, self.reason = WAITING, None
        self.requested_at, self.set_up_deadline = now, now + timeout
        self.grace_ms, self.release_ms = grace, release_ms
        self.lease_ends_at = self.release_deadline = now + timeout + grace
        self.ran = self.confirmed = (
            False  # the node said that it set the play up; we took it over in time
        )

    def sent(self) -> AllocationActions:
        if self.state == WAITING:
            self.state = OUT
        return NO_ACTIONS

    def finish(self, outcome: str, **more) -> AllocationActions:
        self.state = GONE
        return AllocationActions(ended=outcome, **more)

    def start_release(self, reason: str, **more) -> AllocationActions:
        self.state, self.reason = ENDING, reason
        return AllocationActions(release=True, **more)

    def answered(self, now: float, status: int, sound: bool) -> AllocationActions:
        """The node's answer to the set-up; `sound` where its body could be read."""
        if self.state == ENDING:
            never, self.ran = status in REFUSAL_OUTCOMES, self.ran or status == 201
            return (
                self.finish(REFUSAL_OUTCOMES[status] if never else self.reason)
                if never or status >= 500
                else NO_ACTIONS
            )
        if self.state not in (WAITING, OUT):
            return NO_ACTIONS
        if status == 201 and sound and now <= self.lease_ends_at - self.grace_ms / 2:
            self.state, self.ran, self.confirmed = HELD, True, True
            return AllocationActions(playing=True, confirm=True)
        if status == 201:  # too late to be confirmed before its lease ends, or not to be understood
            self.ran = True
            return self.start_release(interface.TIMED_OUT if sound else interface.ERROR)
        return self.finish(REFUSAL_OUTCOMES.get(status, interface.ERROR))

    def connection_lost(self, written: int, size: int) -> AllocationActions:
        """The set-up's connection ended before its answer.

        A request cut before its last byte runs nothing.
        """
        if self.state == ENDING:
            return self.finish(self.not_run_outcome()) if written < size else NO_ACTIONS
        if self.state not in (WAITING, OUT):
            return NO_ACTIONS
        return (
            self.finish(interface.UNREACHABLE)
            if written < size
            else self.start_release(interface.BROKEN)
        )

    def timed_out(self, now: float, written: int, size: int) -> AllocationActions:
        if self.state not in (WAITING, OUT):
            return NO_ACTIONS
        if written < size:  # also when none was written: no connection came in time
            return self.finish(interface.UNREACHABLE, drop_call=True)
        return self.start_release(interface.TIMED_OUT)

    def withdrawn(self) -> AllocationActions:
        """The request left no byte of this process and was given up: its node drains, or the
        director stops.
        """
        return self.finish(interface.NEVER_SENT) if self.state == WAITING else NO_ACTIONS

    def viewer_left(self, written: int, size: int) -> AllocationActions:
        if self.state == HELD:
            return self.start_release(interface.SERVED)
        if self.state in (WAITING, OUT):
            if written < size:
                return self.finish(interface.CANCELLED, drop_call=True)
            return self.start_release(interface.CANCELLED)
        return NO_ACTIONS

    def moved(self) -> AllocationActions:
        return self.start_release(interface.CANCELLED) if self.state == HELD else NO_ACTIONS

    def stalled(self) -> AllocationActions:
        """It is held, but the viewer gets nothing: the node lets go, and the module hears that it
        broke.
        """
        return self.start_release(interface.BROKEN) if self.state == HELD else NO_ACTIONS

    def node_ended(self, finished: bool) -> AllocationActions:
        """The node says that the allocation is over there."""
        if self.state == HELD:
            return self.finish(interface.SERVED if finished else interface.BROKEN)
        if self.state == ENDING:
            return self.finish(self.reason)
        return NO_ACTIONS

    def released(self, ran: bool) -> AllocationActions:
        """The node acknowledged the release; `ran` false: it never set the play up."""
        if self.state != ENDING:
            return NO_ACTIONS
        return self.finish(
            self.reason if ran or self.ran else self.not_run_outcome(), drop_call=True
        )

    def not_run_outcome(self) -> str:
        return interface.CANCELLED if self.reason == interface.CANCELLED else interface.UNREACHABLE

    def set_release_deadline(self, now: float) -> float:
        """It was given up now: from when on it counts as over though the node says nothing."""
        self.release_deadline = min(self.lease_ends_at, now + self.release_ms)
        return self.release_deadline

    def lease_expired(self, now: float) -> AllocationActions:
        """Its lease has ended by the clock, or the wait that the file allows for its release: it
        counts as over, whatever the
        node says later. A file is refused where the second can come before the first."""
        if self.state == ENDING and not self.confirmed and now >= self.release_deadline:
            return self.finish(self.reason, drop_call=True)
        return NO_ACTIONS

    def session_lost(self) -> AllocationActions:
        """The node's session is over, by its end of the connection or by the session's lease: it
        holds nothing that was confirmed.
        """
        if self.state == HELD:
            return self.finish(interface.BROKEN)
        if self.state == ENDING and self.confirmed:
            return self.finish(self.reason, drop_call=True)
        if self.state == OUT:
            return self.start_release(interface.BROKEN)
        return NO_ACTIONS

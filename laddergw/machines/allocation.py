"""State machine of one allocation, without I/O; events from the sockets are fed in.

    WAITING --sent--> OUT --set up in time--> HELD --ended by its node, session lost--> GONE
       |               |                        `--viewer left, moved, stalled--> ENDING
       |               |--refused, error, never ran--> GONE
       |               `--time-out, cut, viewer left--> ENDING
       `--withdrawn, no connection--> GONE

    ENDING --release acknowledged, ended by its node, lease or session over--> GONE

A node may hold an allocation until it has acknowledged its release, or until its lease, told in the
node's own clock, is over. Only then is the allocation's end reported (`AllocationActions.ended`),
so that the next allocation of the play never exists beside it. Times are ms of the director's
clock, handed in.
"""

import math
from typing import NamedTuple

from laddergw import interface

WAITING, OUT, HELD, ENDING, GONE = "waiting", "out", "held", "ending", "gone"
# A lease outlives its set-up's time-out by this: an answer just in time can still be confirmed
CONFIRM_GRACE_MS = 60.0
# Outcomes by the status of a refusal; by the protocol, a refused set-up never ran
REFUSAL_OUTCOMES = {
    503: interface.FULL,
    410: interface.FULL,
    409: interface.UNREACHABLE,
    429: interface.FULL,
}


class AllocationActions(NamedTuple):
    """What the host has to do after an event.

    `ended`: the outcome to report to the controller; `drop_call`: the set-up's request is no longer
    needed.
    """

    ended: str | None = None
    playing: bool = False
    confirm: bool = False
    release: bool = False
    drop_call: bool = False


NO_ACTIONS = AllocationActions()


class Allocation:
    """One allocation of a play.

    `now` is when its set-up is due to be sent, `timeout_ms` how long its answer may take after
    that, `grace_ms` how long its lease outlives the time-out, and `release_ms` how long a release
    may stay unacknowledged.
    """

    def __init__(
        self,
        name: str,
        number: int,
        play: int,
        node: int,
        rung: int,
        now: float,
        timeout_ms: float,
        grace_ms: float = CONFIRM_GRACE_MS,
        release_ms: float = math.inf,
    ):
        self.name, self.number, self.play, self.node, self.rung = name, number, play, node, rung
        self.state, self.reason = WAITING, None
        self.requested_at, self.set_up_deadline = now, now + timeout_ms
        self.grace_ms, self.release_ms = grace_ms, release_ms
        self.lease_ends_at = self.release_deadline = now + timeout_ms + grace_ms
        # ran: the node said that it set the play up; confirmed: the director accepted that in time
        self.ran = self.confirmed = False

    def sent(self) -> AllocationActions:
        """Bytes of the set-up have left this process."""
        if self.state == WAITING:
            self.state = OUT
        return NO_ACTIONS

    def finish(self, outcome: str, **actions) -> AllocationActions:
        """Ends the allocation and reports its outcome."""
        self.state = GONE
        return AllocationActions(ended=outcome, **actions)

    def start_release(self, reason: str, **actions) -> AllocationActions:
        """Releases the allocation; `reason` is the outcome once the node no longer holds it."""
        self.state, self.reason = ENDING, reason
        return AllocationActions(release=True, **actions)

    def answered(self, now: float, status: int, readable: bool) -> AllocationActions:
        """The node answered the set-up; `readable`: the answer's body could be decoded."""
        if self.state == ENDING:
            refused, self.ran = status in REFUSAL_OUTCOMES, self.ran or status == 201
            return (
                self.finish(REFUSAL_OUTCOMES[status] if refused else self.reason)
                if refused or status >= 500
                else NO_ACTIONS
            )
        if self.state not in (WAITING, OUT):
            return NO_ACTIONS
        if status == 201 and readable and now <= self.lease_ends_at - self.grace_ms / 2:
            self.state, self.ran, self.confirmed = HELD, True, True
            return AllocationActions(playing=True, confirm=True)
        # Too late to be confirmed before its lease ends, or unreadable
        if status == 201:
            self.ran = True
            return self.start_release(interface.TIMED_OUT if readable else interface.ERROR)
        return self.finish(REFUSAL_OUTCOMES.get(status, interface.ERROR))

    def connection_lost(self, written: int, size: int) -> AllocationActions:
        """The set-up's connection ended before its answer, with `written` of `size` bytes sent.

        A request that was cut before its last byte does not run.
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
        """No answer came in time; `written` of the set-up's `size` bytes have left."""
        if self.state not in (WAITING, OUT):
            return NO_ACTIONS
        # Also where no byte was written: no connection was established in time
        if written < size:
            return self.finish(interface.UNREACHABLE, drop_call=True)
        return self.start_release(interface.TIMED_OUT)

    def withdrawn(self) -> AllocationActions:
        """The set-up is given up before a byte of it left.

        Its node drains or is unknown, no time is left for it, or a retry budget is spent.
        """
        return self.finish(interface.NEVER_SENT) if self.state == WAITING else NO_ACTIONS

    def viewer_left(self, written: int, size: int) -> AllocationActions:
        """The viewer left, with `written` of the set-up's `size` bytes sent."""
        if self.state == HELD:
            return self.start_release(interface.SERVED)
        if self.state in (WAITING, OUT):
            if written < size:
                return self.finish(interface.CANCELLED, drop_call=True)
            return self.start_release(interface.CANCELLED)
        return NO_ACTIONS

    def moved(self) -> AllocationActions:
        """The director takes the play off its node, to move it or because the director stops."""
        return self.start_release(interface.CANCELLED) if self.state == HELD else NO_ACTIONS

    def stalled(self) -> AllocationActions:
        """The node holds the play, but the viewer gets no data.

        The node releases it, and the controller is told that it broke.
        """
        return self.start_release(interface.BROKEN) if self.state == HELD else NO_ACTIONS

    def node_ended(self, finished: bool) -> AllocationActions:
        """The node reports that the allocation has ended there."""
        if self.state == HELD:
            return self.finish(interface.SERVED if finished else interface.BROKEN)
        if self.state == ENDING:
            return self.finish(self.reason)
        return NO_ACTIONS

    def released(self, ran: bool) -> AllocationActions:
        """The node acknowledged the release; `ran` is false where it never set the play up."""
        if self.state != ENDING:
            return NO_ACTIONS
        return self.finish(
            self.reason if ran or self.ran else self.not_run_outcome(), drop_call=True
        )

    def not_run_outcome(self) -> str:
        """Returns the outcome of an allocation that was given up and never ran."""
        return interface.CANCELLED if self.reason == interface.CANCELLED else interface.UNREACHABLE

    def set_release_deadline(self, now: float) -> float:
        """Starts the wait for a release that is sent now.

        Returns when the allocation counts as ended although the node says nothing.
        """
        self.release_deadline = min(self.lease_ends_at, now + self.release_ms)
        return self.release_deadline

    def lease_expired(self, now: float) -> AllocationActions:
        """The lease has ended by the clock, or the time that the limits file allows for a release.

        The allocation then counts as ended, whatever the node says later. A limits file is refused
        where the second can come before the first.
        """
        if self.state == ENDING and not self.confirmed and now >= self.release_deadline:
            return self.finish(self.reason, drop_call=True)
        return NO_ACTIONS

    def session_lost(self) -> AllocationActions:
        """The node's session is over, by the end of its connection or of the session's lease.

        The node holds nothing any more that was confirmed.
        """
        if self.state == HELD:
            return self.finish(interface.BROKEN)
        if self.state == ENDING and self.confirmed:
            return self.finish(self.reason, drop_call=True)
        if self.state == OUT:
            return self.start_release(interface.BROKEN)
        return NO_ACTIONS

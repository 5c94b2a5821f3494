"""Decides who is let in: the director's own limits, its readiness and its stopping. No I/O; time
and chance handed in.

The door is not a second placement policy: it turns away only what the process itself cannot hold,
and what it
turns away gets its answer at once.
"""

from typing import NamedTuple

FULL, STOPPING, PAID_RAN, WAITS, SLOW = (
    "director is full",
    "director stops",
    "an earlier set-up may have run",
    "an earlier try may still be out",
    "nodes answer slowly",
)


class Bounds(NamedTuple):
    """What a director takes on itself. Times in ms."""

    open_tries: int = 2_000  # viewers that wait for an answer: 5 s of 400 a second
    held_plays: int = 20_000  # plays under way; each holds a viewer's connection
    connections: int = 25_000  # at the door, held plays included
    lease_most_ms: float = (
        2_000.0  # longest time for which a set-up may be out: over the usual first-frame targets
    )
    answer_margin_ms: float = 40.0  # kept of a viewer's wait for the way back
    retry_ms: float = (
        1_000.0  # come-back time of those turned away at the door, drawn from its upper half
    )
    finish_ms: float = 10_000.0  # plays under way may go on so long after a SIGTERM


class Turned(NamedTuple):
    """A play that is not let in: the answer's kind and when to come back."""

    failed: bool
    retry_ms: float | None
    reason: str


def turn_away(
    bounds: Bounds, tries: int, held: int, stopping: bool, chance: float
) -> Turned | None:
    """Whether a play is turned away at the door; `chance` in [0, 1) spreads the returns."""
    wait = bounds.retry_ms * (1 + chance) / 2
    if stopping:
        return Turned(False, wait, STOPPING)
    if tries >= bounds.open_tries or held >= bounds.held_plays:
        return Turned(False, wait, FULL)
    return None


def no_room(slow: bool, bounds: Bounds, chance: float) -> Turned | None:
    """Turned away while nodes answer slowly: pace.py says who goes first."""
    return Turned(False, bounds.retry_ms * (1 + chance) / 2, SLOW) if slow else None


def earlier_try(paid: bool, ran: bool) -> Turned | None:
    """A paid play whose earlier set-up may have run is not set up again, and not declined: that
    would say it is harmless.
    """
    return Turned(True, None, PAID_RAN) if paid and ran else None


def hold_back(unsettled_ms: float, lease_most_ms: float) -> Turned | None:
    """A retry whose earlier try, unanswered, may still hold an allocation elsewhere: told when to
    come back, ms. No allocation
    outlives the longest lease. It is not held here: a play is taken when it is let in, and the
    budget counts from then.
    """
    hold = min(unsettled_ms, lease_most_ms)
    return Turned(False, hold, WAITS) if hold > 0 else None


def waits(wait_ms: float, late_ms: float, margin_ms: float) -> float:
    """What a viewer still waits, ms: its own figure less what its request lay unread while we stood
    still.
    """
    return max(0.0, wait_ms - late_ms - margin_ms)

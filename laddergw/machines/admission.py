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


class DirectorLimits(NamedTuple):
    """What a director takes on itself. Times in ms."""

    max_waiting_viewers: int = 2_000  # viewers that wait for an answer: 5 s of 400 a second
    max_plays: int = 20_000  # plays under way; each holds a viewer's connection
    max_connections: int = 25_000  # at the door, held plays included
    max_lease_ms: float = (
        2_000.0  # longest time for which a set-up may be out: over the usual first-frame targets
    )
    answer_margin_ms: float = 40.0  # kept of a viewer's wait for the way back
    retry_after_ms: float = (
        1_000.0  # come-back time of those turned away at the door, drawn from its upper half
    )
    finish_ms: float = 10_000.0  # plays under way may go on so long after a SIGTERM


class Rejection(NamedTuple):
    """A play that is not let in: the answer's kind and when to come back."""

    failed: bool
    retry_after_ms: float | None
    reason: str


def check_capacity(
    bounds: DirectorLimits, tries: int, held: int, stopping: bool, chance: float
) -> Rejection | None:
    """Whether a play is turned away at the door; `chance` in [0, 1) spreads the returns."""
    wait = bounds.retry_after_ms * (1 + chance) / 2
    if stopping:
        return Rejection(False, wait, STOPPING)
    if tries >= bounds.max_waiting_viewers or held >= bounds.max_plays:
        return Rejection(False, wait, FULL)
    return None


def check_node_latency(slow: bool, bounds: DirectorLimits, chance: float) -> Rejection | None:
    """Turned away while nodes answer slowly: concurrency.py says who goes first."""
    return Rejection(False, bounds.retry_after_ms * (1 + chance) / 2, SLOW) if slow else None


def check_earlier_attempt(paid: bool, ran: bool) -> Rejection | None:
    """A paid play whose earlier set-up may have run is not set up again, and not declined: that
    would say it is harmless.
    """
    return Rejection(True, None, PAID_RAN) if paid and ran else None


def defer_retry(unsettled_ms: float, max_lease_ms: float) -> Rejection | None:
    """A retry whose earlier try, unanswered, may still hold an allocation elsewhere: told when to
    come back, ms. No allocation
    outlives the longest lease. It is not held here: a play is taken when it is let in, and the
    budget counts from then.
    """
    hold = min(unsettled_ms, max_lease_ms)
    return Rejection(False, hold, WAITS) if hold > 0 else None


def remaining_wait_ms(wait_ms: float, late_ms: float, margin_ms: float) -> float:
    """What a viewer still waits, ms: its own figure less what its request lay unread while we stood
    still.
    """
    return max(0.0, wait_ms - late_ms - margin_ms)

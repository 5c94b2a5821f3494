"""Decides which plays a director admits, by its own limits, its readiness and whether it stops.

Admission is not a second placement policy: it rejects only what the process itself cannot hold, and
answers what it rejects at once. No I/O; time and random numbers are handed in.
"""

from typing import NamedTuple

# Reasons of rejections, as viewers are told them
DIRECTOR_FULL, DIRECTOR_STOPPING, MAY_HAVE_RUN, ATTEMPT_UNSETTLED, NODES_SLOW = (
    "director is full",
    "director stops",
    "an earlier set-up may have run",
    "an earlier try may still be out",
    "nodes answer slowly",
)


class DirectorLimits(NamedTuple):
    """Limits of one director's process: `bounds` of its own file, not the operators' limits file.

    Times in ms.
    """

    # Viewers that wait for an answer: 5 s of 400 a second
    max_waiting_viewers: int = 2_000
    # Plays being served; each holds a viewer's connection
    max_plays: int = 20_000
    # Viewers' connections, those of plays being served included
    max_connections: int = 25_000
    # Longest time for which a set-up may be out: over the usual first-frame targets
    max_lease_ms: float = 2_000.0
    # Part of a viewer's wait that is kept for the way of the answer
    answer_margin_ms: float = 40.0
    # When rejected viewers may ask again: drawn from the upper half of this
    retry_after_ms: float = 1_000.0
    # Plays being served may go on for so long after a SIGTERM
    finish_ms: float = 10_000.0


class Rejection(NamedTuple):
    """A play that is not admitted: failed or declined, when to ask again (ms), and the reason."""

    failed: bool
    retry_after_ms: float | None
    reason: str


def check_capacity(
    limits: DirectorLimits, waiting: int, plays: int, stopping: bool, jitter: float
) -> Rejection | None:
    """Declines a play while the director is full or stops.

    A draining node is not considered here: the controller never chooses one.

    `waiting`: viewers without an answer; `plays`: plays being served; `jitter` in [0, 1) spreads
    the retries.
    """
    retry_after_ms = limits.retry_after_ms * (1 + jitter) / 2
    if stopping:
        return Rejection(False, retry_after_ms, DIRECTOR_STOPPING)
    if waiting >= limits.max_waiting_viewers or plays >= limits.max_plays:
        return Rejection(False, retry_after_ms, DIRECTOR_FULL)
    return None


def check_node_latency(slow: bool, limits: DirectorLimits, jitter: float) -> Rejection | None:
    """Rejects a play while nodes answer slowly; concurrency.py decides which plays those are."""
    return Rejection(False, limits.retry_after_ms * (1 + jitter) / 2, NODES_SLOW) if slow else None


def check_earlier_attempt(paid: bool, may_have_run: bool) -> Rejection | None:
    """Rejects a paid play of which an earlier set-up may have run: it must not be set up again.

    It is failed, not declined: declining would tell that a retry is harmless.
    """
    return Rejection(True, None, MAY_HAVE_RUN) if paid and may_have_run else None


def defer_retry(unsettled_ms: float, max_lease_ms: float) -> Rejection | None:
    """Declines a retry whose earlier, unanswered attempt may still hold an allocation elsewhere.

    The viewer is told when to ask again, ms; no allocation outlives the longest lease. The retry is
    not kept waiting here: a play counts as taken when it is admitted, and the retry budget counts
    from then.
    """
    retry_after_ms = min(unsettled_ms, max_lease_ms)
    return Rejection(False, retry_after_ms, ATTEMPT_UNSETTLED) if retry_after_ms > 0 else None


def remaining_wait_ms(wait_ms: float, unread_ms: float, margin_ms: float) -> float:
    """Returns how long a viewer still waits, ms.

    That is the viewer's own figure less the time for which its request lay unread while the
    director stood still, and less the margin for the answer's way.
    """
    return max(0.0, wait_ms - unread_ms - margin_ms)

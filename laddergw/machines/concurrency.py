"""Adaptive concurrency limits: how many viewers may wait for a director's nodes at once. Pure.

The limits follow the nodes' answers, and decide which plays are rejected first once they are
reached. A node that answers more slowly than before has more work than it can do at once: further
set-ups only queue there, their viewers' time limits pass, and the viewers ask again. Each node's
limit follows its answers, by a gradient (answer times against the best of late) or by additive
increase and multiplicative decrease (AIMD); admission compares the waiting viewers with the sum.
The choice of nodes is the controller's alone and is not made here. docs/limits.md has figures of
both algorithms; times are ms.
"""

import math
from collections.abc import Iterable

OFF, GRADIENT, AIMD = "off", "gradient", "aimd"
KINDS = (OFF, GRADIENT, AIMD)
# Set-ups of one node: a node of twenty places works on a few at once
INITIAL_LIMIT, MIN_LIMIT, MAX_LIMIT = (
    8.0,
    1.0,
    64.0,
)
# Weight of a new answer time in the running average
SMOOTHING = 0.2
# The best time rises by this factor with each answer, so that it stays a recent one
BEST_DRIFT = 1.002
# Answers slower than the best by this factor are due to work, not to a queue
SLOWDOWN_TOLERANCE = 1.5
# Factor after a failure, and the lowest one after a slow answer
DECREASE_FACTOR = 0.5
# By a round of as many answers as the limit
INCREASE_PER_ROUND = 1.0
# Weight of a retry against a first attempt: its viewer was answered before
RETRY_WEIGHT = 0.5
# Share of the limit that is open to every play
UNRESERVED_SHARE = 0.3


class ConcurrencyLimit:
    """The limit of one node."""

    __slots__ = ("best_ms", "kind", "limit", "usual_ms")

    def __init__(self, kind: str):
        self.kind, self.limit, self.best_ms, self.usual_ms = kind, INITIAL_LIMIT, math.inf, None

    def record_answer(self, ms: float) -> None:
        """A set-up was answered after so many ms, whatever the answer."""
        self.usual_ms = (
            ms if self.usual_ms is None else self.usual_ms + SMOOTHING * (ms - self.usual_ms)
        )
        self.best_ms = min(self.best_ms * BEST_DRIFT, ms)
        if self.kind == GRADIENT:
            gradient = max(
                DECREASE_FACTOR,
                min(1.0, SLOWDOWN_TOLERANCE * self.best_ms / max(self.usual_ms, 1e-9)),
            )
            wanted = self.limit * gradient + math.sqrt(self.limit)
            self.set_limit(self.limit + SMOOTHING * (wanted - self.limit))
        elif ms <= 2 * SLOWDOWN_TOLERANCE * self.best_ms:
            self.set_limit(self.limit + INCREASE_PER_ROUND / self.limit)

    def record_failure(self) -> None:
        """A set-up was not answered in time, or its connection broke."""
        self.set_limit(self.limit * DECREASE_FACTOR)

    def set_limit(self, limit: float) -> None:
        """Sets the limit within its bounds."""
        self.limit = min(max(limit, MIN_LIMIT), MAX_LIMIT)


class ConcurrencyLimits:
    """The limits of all nodes of a director."""

    def __init__(self, kind: str = OFF):
        self.kind, self.by_node = kind, {}

    def change_kind(self, kind: str) -> None:
        """Changes the algorithm; it continues from the limits as they are."""
        self.kind = kind
        for limit in self.by_node.values():
            limit.kind = kind

    def for_node(self, node: int) -> ConcurrencyLimit:
        """Returns the limit of a node; a new node gets the initial one."""
        limit = self.by_node.get(node)
        if limit is None:
            limit = self.by_node[node] = ConcurrencyLimit(self.kind)
        return limit

    def keep_only(self, known) -> None:
        """Drops the limits of all nodes that are not among the known ones."""
        for node in [node for node in self.by_node if node not in known]:
            del self.by_node[node]

    def total_limit(self, ready: Iterable[int]) -> float:
        """Returns how many viewers may wait for the ready nodes.

        A node without answers so far counts with the initial limit.
        """
        if self.kind == OFF:
            return math.inf
        return sum(
            self.by_node[node].limit if node in self.by_node else INITIAL_LIMIT for node in ready
        )


def at_limit(
    waiting: int, limit: float, importance: float, max_importance: float, attempts: int
) -> bool:
    """Returns whether a play is to be rejected.

    Retries are rejected before first attempts, and less important plays before more important ones.
    """
    weight = importance / max_importance * (RETRY_WEIGHT if attempts > 1 else 1.0)
    return waiting >= limit * (UNRESERVED_SHARE + (1 - UNRESERVED_SHARE) * weight)

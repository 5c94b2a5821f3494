"""Decides how many viewers a director lets wait for its nodes at once, from how its nodes answer,
and who is turned away first when that is passed. Pure.

A node that answers slower than it did has more before it than it does at once: what is sent then
only waits there, its viewers' limits run out, and they come again. Each
node's share of the waiting room follows its answers, by a gradient (answer times against the best
ones seen lately) or by additive increase and multiplicative decrease; the door
compares who waits with the sum. Placement is the module's alone: which node is asked is not decided
here. Both are measured in docs/limits.md; times are ms.
"""

import math
from collections.abc import Iterable

OFF, GRADIENT, AIMD = "off", "gradient", "aimd"
KINDS = (OFF, GRADIENT, AIMD)
INITIAL_LIMIT, MIN_LIMIT, MAX_LIMIT = (
    8.0,
    1.0,
    64.0,
)  # of a node: a node of twenty places works on a few set-ups at once
SMOOTHING = 0.2  # part of a new answer time in the running one
BEST_DRIFT = 1.002  # the best time rises by this with each answer, so that it is of lately
SLOWDOWN_TOLERANCE = 1.5  # answers so much over the best are work, not a queue
DECREASE_FACTOR = 0.5  # by a failure, and at most by a slow answer
INCREASE_PER_ROUND = 1.0  # a round of as many answers as the limit
RETRY_WEIGHT = 0.5  # a further try against a first: its viewer was answered before
UNRESERVED_SHARE = 0.3  # of the room is open to whoever comes


class ConcurrencyLimit:
    """One node's share of the waiting room."""

    __slots__ = ("best", "kind", "limit", "usual")

    def __init__(self, kind: str):
        self.kind, self.limit, self.best, self.usual = kind, INITIAL_LIMIT, math.inf, None

    def record_answer(self, ms: float) -> None:
        """A set-up was answered after so long, whatever the answer."""
        self.usual = ms if self.usual is None else self.usual + SMOOTHING * (ms - self.usual)
        self.best = min(self.best * BEST_DRIFT, ms)
        if self.kind == GRADIENT:
            gradient = max(
                DECREASE_FACTOR, min(1.0, SLOWDOWN_TOLERANCE * self.best / max(self.usual, 1e-9))
            )
            wanted = self.limit * gradient + math.sqrt(self.limit)
            self.set_limit(self.limit + SMOOTHING * (wanted - self.limit))
        elif ms <= 2 * SLOWDOWN_TOLERANCE * self.best:
            self.set_limit(self.limit + INCREASE_PER_ROUND / self.limit)

    def record_failure(self) -> None:
        """No answer in time, or the connection broke."""
        self.set_limit(self.limit * DECREASE_FACTOR)

    def set_limit(self, limit: float) -> None:
        self.limit = min(max(limit, MIN_LIMIT), MAX_LIMIT)


class ConcurrencyLimits:
    """The waiting room of a director."""

    def __init__(self, kind: str = OFF):
        self.kind, self.by_node = kind, {}

    def change_kind(self, kind: str) -> None:
        """Another kind goes on from the shares as they are."""
        self.kind = kind
        for pace in self.by_node.values():
            pace.kind = kind

    def for_node(self, node: int) -> ConcurrencyLimit:
        pace = self.by_node.get(node)
        if pace is None:
            pace = self.by_node[node] = ConcurrencyLimit(self.kind)
        return pace

    def keep_only(self, known) -> None:
        for node in [node for node in self.by_node if node not in known]:
            del self.by_node[node]

    def total_limit(self, ready: Iterable[int]) -> float:
        """How many may wait; a node not heard of yet counts with what a new one gets."""
        if self.kind == OFF:
            return math.inf
        return sum(
            self.by_node[node].limit if node in self.by_node else INITIAL_LIMIT for node in ready
        )


def at_limit(waiting: int, size: float, importance: float, most: float, tries: int) -> bool:
    """Whether a play is turned away: further tries before first ones, what is worth less before
    what is worth more.
    """
    worth = importance / most * (RETRY_WEIGHT if tries > 1 else 1.0)
    return waiting >= size * (UNRESERVED_SHARE + (1 - UNRESERVED_SHARE) * worth)

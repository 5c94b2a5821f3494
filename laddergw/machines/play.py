"""Decides the life of one try inside what the operators' file allows: a state machine without I/O,
time and chance handed in.

    asked --let in--> CHOOSING --a node is chosen--> PAUSED --its pause is over--> OUT --set up-->
    PLAYING
      |                  ^  |                                                       |
      `--turned away     |  `--no more to be had: declined, failed                  |
                         `--its allocation is over, and another may be had----------'

Which node and rung, and whether to go on, the module says; how long, how often and with what pause
the file allows is said here. The director runs this
machine and allocation.py's, and so does the search that proves a file (terms/search.py). Times are
ms of the director's clock.
"""

from typing import NamedTuple

from laddergw import interface
from laddergw.machines.admission import Rejection
from laddergw.machines.allocation import Allocation

NEVER_RAN = (
    interface.FULL,
    interface.UNREACHABLE,
    interface.NEVER_SENT,
)  # outcomes after which a set-up has provably not run
ATTEMPTS_EXHAUSTED = "it was tried as often as its terms allow"
AGAIN_MS = (
    500.0,
    1_000.0,
)  # come-back times of what we decline ourselves: as the module draws its own
# a try still without its answer so long before half of the margin is failed by the director
GUARD_MS = 10.0


class PlayTerms(NamedTuple):
    """What holds for a play of one route and product.

    Times ms. What each means to operators: docs/limits.md.
    """

    first_frame_ms: float = 1_500.0
    time_limit_ms: float = 600_000.0  # a viewer's own wait is cut to this
    connect_ms: float = 1_940.0  # to the first byte of a set-up
    set_up_ms: float = 1_940.0  # to a set-up's answer
    lease_ms: float = 2_000.0  # a set-up may be out so long without our confirming it
    release_ms: float = 2_000.0  # for a release's acknowledgement; then the next allocation is sent
    first_segment_ms: float = 2_000.0  # a node that gives no segment for so long has stalled
    attempts: int = 100  # allocations of one try
    backoff_ms: tuple[float, float, float] = (
        0.0,
        1.0,
        0.0,
    )  # pause before the second, factor for each further, most
    viewer_tries: int = 10_000  # of one play, by its token
    retry_after_ms: tuple[float, float] = (0.0, 600_000.0)
    read_copies: int = 0  # of an idempotent read, at other nodes
    copy_after_ms: float = 300.0

    @property
    def grace_ms(self) -> float:
        """A lease outlives its time-out by this: an answer just in time can still be confirmed."""
        return self.lease_ms - self.set_up_ms


class PlayState:
    """One try. `wait_ms`: what its viewer still waits, less what the way back needs."""

    def __init__(self, terms: PlayTerms, repeat: str, now: float, wait_ms: float, margin_ms: float):
        self.terms, self.retry_safety, self.requested_at = terms, repeat, now
        self.deadline = now + min(wait_ms, terms.time_limit_ms - margin_ms)
        self.answer_deadline = (
            max(self.deadline - GUARD_MS, now) + margin_ms / 2
        )  # the director answers by then, whatever holds it up
        self.attempts_made, self.may_have_run = 0, False

    def check_viewer_attempts(self, tries: int) -> Rejection | None:
        """A play that was tried too often is not let in: it is told so, without a time to come
        back.
        """
        return (
            Rejection(True, None, ATTEMPTS_EXHAUSTED) if tries > self.terms.viewer_tries else None
        )

    def next_pause_ms(self) -> float:
        """Before the allocation that comes next is sent, ms: none before a try's first."""
        first, factor, most = self.terms.backoff_ms
        return min(first * factor ** (self.attempts_made - 1), most) if self.attempts_made else 0.0

    def allocate(
        self, name: str, play: int, node: int, rung: int, wanted_ms: float, now: float
    ) -> Allocation:
        """The allocation for the module's choice. Its lease ends within what the viewer still
        waits; a time-out of nothing or
        less means that it cannot be sent."""
        pause, terms = self.next_pause_ms(), self.terms
        timeout = min(wanted_ms, terms.set_up_ms, self.deadline - now - pause - terms.grace_ms)
        number, self.attempts_made = self.attempts_made, self.attempts_made + 1
        return Allocation(
            name, number, play, node, rung, now + pause, timeout, terms.grace_ms, terms.release_ms
        )

    def allocation_ended(self, outcome: str) -> None:
        if outcome not in NEVER_RAN:
            self.may_have_run = True

    def exhaust_attempts(self) -> None:
        """A budget that its further allocations draw on is spent: this was the last."""
        self.attempts_made = max(self.attempts_made, self.terms.attempts)

    def attempts_exhausted(self) -> bool:
        """No further allocation is allowed."""
        return self.attempts_made >= self.terms.attempts

    def final_answer(self, chance: float) -> tuple[str, float | None]:
        """The answer of a try whose allocations are spent: declined, unless a set-up may have run
        that must not be run again.
        """
        if self.may_have_run and self.retry_safety != "safe":
            return interface.FAILED, None
        low, high = AGAIN_MS
        return interface.DECLINED, self.clamp_retry_after(low + (high - low) * chance)

    def clamp_retry_after(self, wanted_ms: float) -> float:
        """When a declined viewer is told to come back: as wanted, inside the file's range."""
        low, high = self.terms.retry_after_ms
        return min(max(wanted_ms, low), high)

"""State machine of one viewer's attempt, within the operators' limits file. No I/O; time and random
numbers are handed in.

    received --admitted--> CHOOSING --node chosen--> PAUSED --pause over--> OUT --set up--> PLAYING
      |                     ^  |                                             |
      `--rejected           |  `--no more allowed: declined, failed          |
                            `--allocation over, and a retry is allowed-------'

The controller decides on node and rung and whether to go on; this machine decides how long, how
often and after which pause the limits file allows it. The director runs this machine and
allocation.py's, and so does the search that proves a limits file (terms/search.py). Times are ms of
the director's clock.
"""

from typing import NamedTuple

from laddergw import interface
from laddergw.machines.admission import Rejection
from laddergw.machines.allocation import Allocation

# Outcomes after which a set-up has provably not run
NEVER_RAN = (
    interface.FULL,
    interface.UNREACHABLE,
    interface.NEVER_SENT,
)
# Reason where an attempt has had all its allocations, or a viewer all its attempts
ATTEMPTS_EXHAUSTED = "it was tried as often as its terms allow"
# When viewers that this machine declines may ask again: the range that the controller uses, too
RETRY_AFTER_RANGE_MS = (
    500.0,
    1_000.0,
)
# The director fails an attempt that is unanswered this long before half of its margin has passed
ANSWER_GUARD_MS = 10.0


class PlayTerms(NamedTuple):
    """Terms of plays of one route and product; times in ms.

    docs/limits.md describes for operators what each one does.
    """

    first_frame_ms: float = 1_500.0
    # A viewer's own wait is cut to this
    time_limit_ms: float = 600_000.0
    # To the first byte of a set-up
    connect_ms: float = 1_940.0
    # To a set-up's answer
    set_up_ms: float = 1_940.0
    # A set-up may be out for so long without the director's confirmation
    lease_ms: float = 2_000.0
    # For the acknowledgement of a release; after this the next allocation is sent
    release_ms: float = 2_000.0
    # A node that sends no segment for so long has stalled
    first_segment_ms: float = 2_000.0
    # Allocations of one viewer's attempt
    attempts: int = 100
    # Pause before the second allocation, factor for each further one, longest pause
    backoff_ms: tuple[float, float, float] = (
        0.0,
        1.0,
        0.0,
    )
    # Viewer's attempts at one play, by its token
    viewer_tries: int = 10_000
    retry_after_ms: tuple[float, float] = (0.0, 600_000.0)
    # Copies of an idempotent read, sent to other nodes
    read_copies: int = 0
    copy_after_ms: float = 300.0

    @property
    def grace_ms(self) -> float:
        """How long a lease outlives its set-up's time-out.

        An answer that comes just in time can still be confirmed.
        """
        return self.lease_ms - self.set_up_ms


class PlayState:
    """One viewer's attempt; each of its allocations but the first is a retry.

    `wait_ms`: how long its viewer still waits, less what the answer's way needs (`margin_ms`).
    """

    def __init__(
        self, terms: PlayTerms, retry_safety: str, now: float, wait_ms: float, margin_ms: float
    ):
        self.terms, self.retry_safety, self.requested_at = terms, retry_safety, now
        self.deadline = now + min(wait_ms, terms.time_limit_ms - margin_ms)
        # The director answers by then, whatever holds it up
        self.answer_deadline = max(self.deadline - ANSWER_GUARD_MS, now) + margin_ms / 2
        self.allocations_made, self.may_have_run = 0, False

    def check_viewer_attempts(self, attempts: int) -> Rejection | None:
        """Rejects a play that its viewer has tried too often, without a time to ask again."""
        return (
            Rejection(True, None, ATTEMPTS_EXHAUSTED)
            if attempts > self.terms.viewer_tries
            else None
        )

    def next_pause_ms(self) -> float:
        """Returns the pause before the next allocation is sent, ms; none before the first."""
        first, factor, longest = self.terms.backoff_ms
        return (
            min(first * factor ** (self.allocations_made - 1), longest)
            if self.allocations_made
            else 0.0
        )

    def allocate(
        self, name: str, play: int, node: int, rung: int, wanted_timeout_ms: float, now: float
    ) -> Allocation:
        """Creates the allocation that the controller has chosen.

        Its lease ends while the viewer still waits. A time-out of zero or less means that it cannot
        be sent.
        """
        pause_ms, terms = self.next_pause_ms(), self.terms
        timeout_ms = min(
            wanted_timeout_ms, terms.set_up_ms, self.deadline - now - pause_ms - terms.grace_ms
        )
        number, self.allocations_made = self.allocations_made, self.allocations_made + 1
        return Allocation(
            name,
            number,
            play,
            node,
            rung,
            now + pause_ms,
            timeout_ms,
            terms.grace_ms,
            terms.release_ms,
        )

    def allocation_ended(self, outcome: str) -> None:
        """Notes whether the allocation's set-up may have run."""
        if outcome not in NEVER_RAN:
            self.may_have_run = True

    def exhaust_allocations(self) -> None:
        """A budget that its retries draw on is spent: no further allocation is allowed."""
        self.allocations_made = max(self.allocations_made, self.terms.attempts)

    def allocations_exhausted(self) -> bool:
        """Returns whether no further allocation is allowed."""
        return self.allocations_made >= self.terms.attempts

    def final_answer(self, jitter: float) -> tuple[str, float | None]:
        """Returns the answer once no allocation is left, and when to ask again, ms.

        It is declined, unless a set-up may have run that must not run again. `jitter` is in [0, 1).
        """
        if self.may_have_run and self.retry_safety != "safe":
            return interface.FAILED, None
        low, high = RETRY_AFTER_RANGE_MS
        return interface.DECLINED, self.clamp_retry_after(low + (high - low) * jitter)

    def clamp_retry_after(self, wanted_ms: float) -> float:
        """Returns when a declined viewer may ask again: as wanted, within the file's range."""
        low, high = self.terms.retry_after_ms
        return min(max(wanted_ms, low), high)

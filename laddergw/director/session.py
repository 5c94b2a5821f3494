"""Decides how long a node's session holds: the node's clock as far as we know it, keeps due, silence. No I/O.

A session is one director at one process of a node. The node ends all that it holds for a session when the session's
long answer breaks or its lease, renewed by keeps, is over. Times are ms; ours unless said to be the node's.
"""
import math
from collections import deque

KEEP_MS = 1_000.0          # pace of keeps without other cause: three fit into a lease
LEASE_MS = 3_000.0         # a session's lease: a stand-still shorter than two seconds breaks no play
SILENCE_TIMEOUT_MS = 2_500.0        # no answer to a keep for this long: the node is given up, the lease runs out
MIN_REDIAL_MS, MAX_REDIAL_MS = 200.0, 3_000.0   # pause before the session is opened again, doubling
MAX_CLOCK_SAMPLES = 64                 # ticks from which the node's clock is taken: half a minute, in which clocks do not drift a ms


class Session:
    """What is known of one session."""

    def __init__(self, now: float):
        self.name: str | None = None
        self.clock_samples: deque[float] = deque(maxlen=MAX_CLOCK_SAMPLES)
        self.clock_offset = -math.inf              # node's clock less ours, at least
        self.lease_ends = -math.inf        # our clock: until then the node may hold confirmed plays
        self.keep_sent_at, self.unanswered_since, self.failures, self.opened_at = -math.inf, None, 0, now

    @property
    def up(self) -> bool:
        return self.name is not None

    def clock_received(self, now: float, clock: float, name: str | None) -> None:
        """A tick of the node's clock: it left the node before we read it, so the node's clock is at least that much
        ahead, and a time derived from it is never late."""
        self.clock_samples.append(clock - now)
        self.clock_offset = max(self.clock_samples)
        if name is not None:
            self.name, self.failures = name, 0

    def node_time(self, now: float, delay_ms: float) -> float:
        """The node's clock in `ms` from now, at most."""
        return now + self.clock_offset + delay_ms

    def keep_sent(self, now: float) -> None:
        """A keep goes out: the node may hold plays until its lease is over, whether or not it is answered."""
        self.keep_sent_at, self.lease_ends = now, max(self.lease_ends, now + LEASE_MS)
        if self.unanswered_since is None:
            self.unanswered_since = now

    def keep_acknowledged(self) -> None:
        self.unanswered_since = None

    def keep_due(self, now: float) -> bool:
        return self.up and now - self.keep_sent_at >= KEEP_MS and not self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """The node does not answer: no further keep goes out, so that its lease runs out."""
        return self.unanswered_since is not None and now - self.unanswered_since >= SILENCE_TIMEOUT_MS

    def has_expired(self, now: float) -> bool:
        return self.is_silent(now) and now >= self.lease_ends

    def connection_lost(self, now: float) -> float:
        """The long answer broke. Returns the pause before it is opened again."""
        self.name, self.unanswered_since, self.clock_offset = None, None, -math.inf
        self.clock_samples.clear()
        self.failures += 1
        return min(MIN_REDIAL_MS * 2 ** (self.failures - 1), MAX_REDIAL_MS)

"""State of a director's session at a node: an estimate of the node's clock, when keeps (keep-alive requests) are due, silence, the lease. No I/O.

A session connects one director with one process of a node. The node ends all that it holds for a session when the session's
stream of notes breaks or its lease, renewed by keeps, expires. Times are ms of the director's clock, unless they are said to be the node's.
"""
import math
from collections import deque

# Interval of keeps that nothing else causes: three fit into a lease
KEEP_MS = 1_000.0
# A session's lease: a process that stalls for less than two seconds breaks no play
LEASE_MS = 3_000.0
# Without an answer to a keep for so long no further keep is sent, and the lease expires
SILENCE_TIMEOUT_MS = 2_500.0
# Pause before the session is opened again, doubled with each failure
MIN_REDIAL_MS, MAX_REDIAL_MS = 200.0, 3_000.0
# Ticks from which the node's clock is estimated: half a minute, in which clocks drift by less than a ms
MAX_CLOCK_SAMPLES = 64


class Session:
    """What is known of one session; `name` is None while it is not open."""

    def __init__(self, now: float):
        self.name: str | None = None
        self.clock_samples: deque[float] = deque(maxlen=MAX_CLOCK_SAMPLES)
        # Lower bound of the node's clock minus ours
        self.clock_offset = -math.inf
        # Until then, by our clock, the node may hold confirmed plays
        self.lease_ends = -math.inf
        self.keep_sent_at, self.unanswered_since, self.failures, self.opened_at = -math.inf, None, 0, now

    @property
    def up(self) -> bool:
        """Whether the session is open."""
        return self.name is not None

    def clock_received(self, now: float, clock: float, name: str | None) -> None:
        """Takes in a tick of the node's clock. It left the node before it was read here, so the node's clock is at least that much
        ahead, and a time derived from it is never late."""
        self.clock_samples.append(clock - now)
        self.clock_offset = max(self.clock_samples)
        if name is not None:
            self.name, self.failures = name, 0

    def node_time(self, now: float, delay_ms: float) -> float:
        """A time `delay_ms` from now by the node's clock; never later than that."""
        return now + self.clock_offset + delay_ms

    def keep_sent(self, now: float) -> None:
        """Records a keep: the node may hold plays until the lease that it renews expires, whether or not it is answered."""
        self.keep_sent_at, self.lease_ends = now, max(self.lease_ends, now + LEASE_MS)
        if self.unanswered_since is None:
            self.unanswered_since = now

    def keep_acknowledged(self) -> None:
        """Records the answer to a keep."""
        self.unanswered_since = None

    def keep_due(self, now: float) -> bool:
        """Whether a keep has to be sent now."""
        return self.up and now - self.keep_sent_at >= KEEP_MS and not self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Whether the node does not answer: then no further keep is sent, so that its lease expires."""
        return self.unanswered_since is not None and now - self.unanswered_since >= SILENCE_TIMEOUT_MS

    def has_expired(self, now: float) -> bool:
        """Whether the node is silent and can hold no play any more."""
        return self.is_silent(now) and now >= self.lease_ends

    def connection_lost(self, now: float) -> float:
        """Records the end of the stream of notes. Returns the pause before the session is opened again."""
        self.name, self.unanswered_since, self.clock_offset = None, None, -math.inf
        self.clock_samples.clear()
        self.failures += 1
        return min(MIN_REDIAL_MS * 2 ** (self.failures - 1), MAX_REDIAL_MS)

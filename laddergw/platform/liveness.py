"""A timeout failure detector for one media node. Does no I/O.

Silence is measured for the node as a whole, whatever the number of its connections: any message, or
any connection that comes up, proves that its machine is alive. A machine that was cut off and comes
back within the time limit loses nothing.
"""

# The platform counts the plays of a silent machine as lost this long after their end.
LOSS_LIMIT_MS = 8_000.0
# Time to notice that a node has been silent for too long, and to release its plays to viewers.
RELEASE_MARGIN_MS = 500.0
# A node that is silent for longer is believed to be gone: as late as the platform allows, for one
# that was only cut off.
SILENCE_LIMIT_MS = LOSS_LIMIT_MS - RELEASE_MARGIN_MS
# A node that has been silent for this long is pinged.
PING_AFTER_MS = 1_000.0
# Silence proves nothing unless the node has left probes unanswered for this long: it may have had
# nothing to send, or no connection to send it on.
MIN_PROBE_MS = 2_000.0


class Liveness:
    """Whether a node's machine is alive, as its messages show. Times by the loop's clock, ms."""

    def __init__(self, now: float):
        self.last_heard_at = self.watched_since = now
        # The first ping or dial since it was last heard.
        self.probed_since: float | None = None

    def mark_heard(self, now: float) -> None:
        """Records a message of the node, or a connection that has come up."""
        self.last_heard_at, self.probed_since = now, None

    def mark_probed(self, now: float) -> None:
        """Records a ping or a dial: a node that is alive answers it."""
        if self.probed_since is None:
            self.probed_since = now

    def watch(self, now: float) -> None:
        """Begins to measure its silence: nobody has asked the node for anything before."""
        self.watched_since, self.probed_since = now, None

    def silent_ms(self, now: float) -> float:
        """Returns for how long it has been silent, ms."""
        return now - max(self.last_heard_at, self.watched_since)

    def needs_ping(self, now: float) -> bool:
        """Whether the node has been silent for so long that it is to be pinged."""
        return self.silent_ms(now) >= PING_AFTER_MS

    def is_gone(self, now: float) -> bool:
        """Whether the node is believed to be gone."""
        return (
            self.probed_since is not None
            and self.silent_ms(now) >= SILENCE_LIMIT_MS
            and now - self.probed_since >= MIN_PROBE_MS
        )

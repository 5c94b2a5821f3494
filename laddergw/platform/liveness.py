"""A timeout failure detector for one media node. Does no I/O.

Silence is measured for the node as a whole, whatever the number of its connections. A machine that
was cut off and comes back within the time limit loses nothing; one that comes back with another
process has lost all that stood there before. A connection that was dialled before contact was lost
and carries a message again leads to the same process. One that was dialled since proves only that
the machine is alive.
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
# nothing to send, or no connection to send it on. Contact with its process is lost then.
CONTACT_LOST_MS = 2_000.0
# A node that leaves a probe unanswered for this long may be cut off: a ping is answered at once.
SUSPECT_MS = 250.0


class Liveness:
    """Whether a node's machine, and its process, are alive. Times by the loop's clock, ms."""

    def __init__(self, now: float):
        # The last message, or connection that came up, of any process; and of the process that
        # was known before contact was lost.
        self.last_heard_at = self.confirmed_at = now
        # The first ping or dial since it was last confirmed.
        self.probed_since: float | None = None

    def mark_heard(self, now: float, is_same_process: bool) -> None:
        """Records a message of the node, or a connection that has come up."""
        self.last_heard_at = now
        if is_same_process:
            self.confirmed_at, self.probed_since = now, None

    def mark_probed(self, now: float) -> None:
        """Records a ping or a dial: a node that is alive answers it."""
        if self.probed_since is None:
            self.probed_since = now

    def withdraw_probe(self, at: float) -> None:
        """Takes back a probe that could not be sent."""
        if self.probed_since == at:
            self.probed_since = None

    def watch(self, now: float) -> None:
        """Begins to measure silence at a time: nobody has asked the node for anything before."""
        self.confirmed_at, self.probed_since = max(self.confirmed_at, now), None

    def lost_contact_at(self, now: float) -> float | None:
        """Returns when contact with its process was lost, or None: connections that are dialled
        from then on may lead to another process.
        """
        if self.probed_since is None or now - self.probed_since < CONTACT_LOST_MS:
            return None
        return self.probed_since + CONTACT_LOST_MS

    def is_suspect(self, now: float) -> bool:
        """Whether the node may be cut off."""
        return self.probed_since is not None and now - self.probed_since >= SUSPECT_MS

    def needs_ping(self, now: float) -> bool:
        """Whether the node has been silent for so long that it is to be pinged."""
        return now - max(self.last_heard_at, self.confirmed_at) >= PING_AFTER_MS

    def is_gone(self, now: float) -> bool:
        """Whether the process that was known is believed to be gone, with its plays."""
        is_silent = now - self.confirmed_at >= SILENCE_LIMIT_MS
        return is_silent and self.lost_contact_at(now) is not None

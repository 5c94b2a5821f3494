"""Decaying sums, and the estimated load of one link or uplink."""

import math

# Over this time, reported load of a node's other users gives way to their usual share.
DECAY_MS = 15_000.0


class DecayingSum:
    """A sum whose parts lose weight exponentially with time."""

    def __init__(self, time_constant_ms, now):
        self.time_constant_ms, self.updated_at, self.value = time_constant_ms, now, 0.0

    def at(self, now):
        """Returns the sum as decayed until `now`, in the unit of what was added."""
        return self.value * math.exp((self.updated_at - now) / self.time_constant_ms)

    def add(self, now, change):
        """Adds `change` to the sum at `now`."""
        self.value, self.updated_at = self.at(now) + change, now


class LoadEstimate:
    """What is asked of a link, or of a rack's uplink, by us and (as reported, decaying) by others.

    All in kB/s.
    """

    def __init__(self, now):
        # revision: counts changes
        self.rate, self.own, self.revision = 0.0, 0.0, 0
        # The link rate that reports cover, and the load of others there
        self.known_kb, self.known_load = (DecayingSum(DECAY_MS, now), DecayingSum(DECAY_MS, now))

    def others_load(self, now, others_share):
        """Returns others' load: as reported, and `others_share` of what reports do not cover."""
        return max(
            0.0, others_share * (self.rate - self.known_kb.at(now)) + self.known_load.at(now)
        )

"""Sums that fade, and the account of one link or uplink."""

import math

AGE_MS = 15_000.0  # what was told of a node's others fades into their usual share over this


class Fading:
    """A sum whose parts lose weight with time."""

    def __init__(self, tau, now):
        self.tau, self.at, self.value = tau, now, 0.0

    def now(self, now):
        return self.value * math.exp((self.at - now) / self.tau)

    def add(self, now, change):
        self.value, self.at = self.now(now) + change, now


class Account:
    """What is asked of a link, or a rack's, by us and (as told, fading) by others."""

    def __init__(self, now):
        self.links, self.own, self.touched = 0.0, 0.0, 0  # touched: counts changes
        self.known, self.told = (
            Fading(AGE_MS, now),
            Fading(AGE_MS, now),
        )  # links told of, others' load there

    def others(self, now, crowd):
        return max(0.0, crowd * (self.links - self.known.now(now)) + self.told.now(now))

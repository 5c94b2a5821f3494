"""Rights to admit plays: leases by which a version can be excluded from the whole fleet even though parts of it cannot be reached. Does no input or output.

A director requests a right with each digest; the planner that keeps the journal grants it and names the versions that are forbidden. A right lasts from when it was
*requested*, on the director's own monotonic clock, so it ends there no later than one lease after the planner granted it, whatever the network did. A director on a
forbidden version stops admitting plays as soon as it learns of it; one that is cut off stops when its right ends, if its file says so (`closed`). So one lease and a
margin after a version was forbidden, no director that closes admits a play under it.

A version that most of the fleet is on is not forbidden, nor one that all directors of a zone are on: a mistake would close all of them.
"""
from collections import OrderedDict
from typing import Iterable, NamedTuple

# Of a right. It outlasts two losses of the connection to a planner, of 2 s of silence each.
LEASE_MS = 5_000.0
# Added to a lease, for clocks that drift by parts in a thousand and for a loop turn in which both ends fall.
MARGIN_MS = 500.0
# A process that has just begun, and stays open without planners, waits this long for their first answer: a dial and a digest, twice.
FIRST_GRANT_WAIT_MS = 2_000.0
# Requests that a grant may answer: the digests of 16 s, longer than any lease.
MAX_PENDING_REQUESTS = 64
# Of the directors heard lately, the share that forbidding a version may exclude.
MAX_EXCLUDED_SHARE = 0.5
MAX_FORBIDDEN_VERSIONS = 64
# What a director does whose right has ended.
OPEN, CLOSED = "open", "closed"

# A version by its kind and hash.
VersionKey = tuple[str, str]


class Right:
    """A director's right to admit plays. `without_right`: what it does without one; OPEN never stops for lack of one, only on a forbidden version."""

    def __init__(self, without_right: str = OPEN, began: float = float("-inf")):
        self.without_right, self.began, self.until, self.rank = without_right, began, float("-inf"), (0, 0)
        self.requested: OrderedDict[int, float] = OrderedDict()
        self.forbidden: frozenset[VersionKey] = frozenset()

    def record_request(self, number: int, now: float) -> None:
        """Notes that the digest of that number requests a right."""
        self.requested[number] = now
        while len(self.requested) > MAX_PENDING_REQUESTS:
            self.requested.popitem(last=False)

    def apply_grant(self, number: int, epoch: int, lease_ms: float, forbidden: Iterable[VersionKey]) -> bool:
        """Applies the answer to the request of that number; returns False if its epoch or number is older than what was applied, or it answers no pending request."""
        if (epoch, number) <= self.rank or epoch < self.rank[0] or number not in self.requested:
            return False
        self.rank, self.forbidden = (epoch, number), frozenset(forbidden)
        self.until = max(self.until, self.requested[number] + min(lease_ms, LEASE_MS))
        return True

    def refusal_reason(self, versions: frozenset[VersionKey], now: float) -> str | None:
        """Returns why no play may be admitted now under these versions, None if one may."""
        if banned := self.forbidden & versions:
            kind, name = min(banned)
            return f"{kind} {name[:8]} must not be used any more"
        if self.without_right == CLOSED and now >= self.until:
            return "no planner has granted the right to let plays in"
        # It may begin on a version that was forbidden while it was away.
        if self.rank == (0, 0) and now < self.began + FIRST_GRANT_WAIT_MS:
            return "it has just begun, and waits for a planner's first word"
        return None


class ObservedProcess(NamedTuple):
    """What a planner knows of one director's process. `versions`: in force by its last report; `heard_ms`: when that arrived."""
    name: str
    versions: frozenset[VersionKey]
    heard_ms: float
    without_right: str
    zone: int = 0


class Floors:
    """The forbidden versions, at the planner that keeps the journal."""

    def __init__(self):
        self.since: dict[VersionKey, float] = {}

    def forbid(self, version: VersionKey, seen: list[ObservedProcess], now: float, silent_ms: float) -> str | None:
        """Forbids a version from now on; returns why if that is refused."""
        alive = [one for one in seen if now - one.heard_ms < silent_ms]
        on = [one for one in alive if version in one.versions]
        if version not in self.since and len(self.since) >= MAX_FORBIDDEN_VERSIONS:
            return f"{MAX_FORBIDDEN_VERSIONS} versions are forbidden already"
        if not alive:
            return "no director is heard: who would be shut out is not known"
        if len(on) > MAX_EXCLUDED_SHARE * len(alive):
            return f"{len(on)} of {len(alive)} directors are on it: over {MAX_EXCLUDED_SHARE:.0%} would be shut out"
        for zone in sorted({one.zone for one in on}):
            if all(version in one.versions for one in alive if one.zone == zone):
                return f"all that are heard in zone {zone} are on it: the zone would be shut out"
        self.since.setdefault(version, now)
        return None

    def allow(self, version: VersionKey) -> bool:
        """Allows a forbidden version again; returns False if it is not forbidden."""
        return self.since.pop(version, None) is not None

    def restore(self, versions: Iterable[VersionKey], now: float) -> None:
        """Takes over the forbidden versions of the journal, as of now: whatever the previous planner granted, it granted before now."""
        self.since = {version: now for version in versions}

    def check_unused(self, version: VersionKey, seen: list[ObservedProcess], now: float) -> tuple[bool, list[str]]:
        """Returns whether no director admits plays under a forbidden version any more, and which may still: of those that stay open without a right, whoever last
        reported it (what is sent to it may be lost although it is heard) and whoever is silent (it may have switched to it unheard)."""
        since = self.since[version]
        may = [one.name for one in seen if one.without_right == OPEN and (version in one.versions or now - one.heard_ms >= LEASE_MS)]
        return now >= since + LEASE_MS + MARGIN_MS and not may, may

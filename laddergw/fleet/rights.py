"""Rights to let plays in: leases by which a version can be shut out of the whole fleet though nobody reaches some of it. Pure.

A director asks with each digest; the planner that keeps the journal grants, and tells which versions must not be used any more. A right lasts from when it was
*asked* for, on the director's own monotonic clock, so it ends there no later than the lease after the planner granted it, whatever the network did. A director
on a forbidden version shuts its door as it hears of it; one that is cut off shuts its own when its right ends, if its file says so (`closed`). So,
a lease and a margin after a version was forbidden, nobody that closes lets a play in under it.

No version is forbidden that most of the fleet is on, nor one that all of a zone are on: that would close it by a slip.
"""
from collections import OrderedDict
from typing import Iterable, NamedTuple

LEASE_MS = 5_000.0         # of a right: two losses of a planner's connection (2 s of silence each) pass by it
MARGIN_MS = 500.0          # past a lease, for clocks that run apart by parts in a thousand, and a turn in which both fall
FIRST_WORD_MS = 2_000.0    # a process that begins, and stays open without planners, waits so long for their first word: a dial and a digest, twice
MAX_PENDING_REQUESTS = 64            # askings that a grant may answer: digests of 16 s, past any lease
MOST_SHUT = 0.5            # share of the directors heard lately that a forbidden version may shut out
FORBIDDEN_MOST = 64        # versions
OPEN, CLOSED = "open", "closed"    # what a director does whose right has ended

Named = tuple[str, str]    # a version by its kind and hash


class Right:
    """A director's right. `alone`: what it does without one; OPEN never shuts for the lack of one, only on a forbidden version."""

    def __init__(self, alone: str = OPEN, began: float = float("-inf")):
        self.alone, self.began, self.until, self.rank = alone, began, float("-inf"), (0, 0)
        self.asked: OrderedDict[int, float] = OrderedDict()
        self.forbidden: frozenset[Named] = frozenset()

    def record_request(self, number: int, now: float) -> None:
        self.asked[number] = now
        while len(self.asked) > MAX_PENDING_REQUESTS:
            self.asked.popitem(last=False)

    def apply_grant(self, number: int, epoch: int, lease_ms: float, forbidden: Iterable[Named]) -> bool:
        """An answer to what was asked under that number; False where it is older than what was obeyed, by epoch or number, or answers nothing."""
        if (epoch, number) <= self.rank or epoch < self.rank[0] or number not in self.asked:
            return False
        self.rank, self.forbidden = (epoch, number), frozenset(forbidden)
        self.until = max(self.until, self.asked[number] + min(lease_ms, LEASE_MS))
        return True

    def refusal_reason(self, stand: frozenset[Named], now: float) -> str | None:
        """Why no play may be let in at this moment under these versions; None where one may."""
        if banned := self.forbidden & stand:
            kind, name = min(banned)
            return f"{kind} {name[:8]} must not be used any more"
        if self.alone == CLOSED and now >= self.until:
            return "no planner has granted the right to let plays in"
        if self.rank == (0, 0) and now < self.began + FIRST_WORD_MS:     # it may begin on a version that was forbidden while it was away
            return "it has just begun, and waits for a planner's first word"
        return None


class Seen(NamedTuple):
    """What a planner knows of one director's process. `stand`: versions of its last word; `heard_ms`: when that came."""
    name: str
    stand: frozenset[Named]
    heard_ms: float
    alone: str
    zone: int = 0


class Floors:
    """Versions that must not be used any more, at the planner that keeps the journal."""

    def __init__(self):
        self.since: dict[Named, float] = {}

    def forbid(self, version: Named, seen: list[Seen], now: float, silent_ms: float) -> str | None:
        """From now on; why not, where it is refused."""
        alive = [one for one in seen if now - one.heard_ms < silent_ms]
        on = [one for one in alive if version in one.stand]
        if version not in self.since and len(self.since) >= FORBIDDEN_MOST:
            return f"{FORBIDDEN_MOST} versions are forbidden already"
        if not alive:
            return "no director is heard: who would be shut out is not known"
        if len(on) > MOST_SHUT * len(alive):
            return f"{len(on)} of {len(alive)} directors are on it: over {MOST_SHUT:.0%} would be shut out"
        for zone in sorted({one.zone for one in on}):
            if all(version in one.stand for one in alive if one.zone == zone):
                return f"all that are heard in zone {zone} are on it: the zone would be shut out"
        self.since.setdefault(version, now)
        return None

    def allow(self, version: Named) -> bool:
        """The way back."""
        return self.since.pop(version, None) is not None

    def restore(self, versions: Iterable[Named], now: float) -> None:
        """As the journal has them: whoever was granted something by the planner of before was granted it before now."""
        self.since = {version: now for version in versions}

    def check_unused(self, version: Named, seen: list[Seen], now: float) -> tuple[bool, list[str]]:
        """Whether nobody lets plays in under a forbidden version any more, and who may still: of the directors that stay open alone, whose last word
        tells of it (what is told to them may be lost while they are heard), and who is silent (it may go over to it unheard)."""
        since = self.since[version]
        may = [one.name for one in seen if one.alone == OPEN and (version in one.stand or now - one.heard_ms >= LEASE_MS)]
        return now >= since + LEASE_MS + MARGIN_MS and not may, may

"""Plans: what all edges ask of each node, versioned, whole, signed, with an epoch and a lease; and the rules by which an edge obeys one. Pure.

An edge obeys the plan with the highest (epoch, planner, version) that it has seen, as long as its lease, counted from when it came, lasts. A plan says nothing about what an edge may do:
floors, seats, drains, cold nodes and budgets are kept by the edge from what it was told itself, and a node that it knows to be draining or gone is left out of any plan.
"""
import hashlib
import hmac
from typing import NamedTuple

import msgspec

from laddergw.planner.sketch import Hot

LEASE_MS = 3_000.0         # of a plan: six plans may be lost
MARK_BYTES = 16
AHEAD_MOST = 1_000_000     # epochs: one so far beyond what is known is no planner's
KB_MOST = 1e9              # of a node: more is nonsense
NODES_MOST = 100_000

Keys = tuple[tuple[str, bytes], ...]


class Plan(NamedTuple):
    """The fleet at one moment, as all edges together ask of it."""
    epoch: int
    planner: str
    version: int
    lease_ms: float
    nodes: dict[int, tuple[float, int]]        # kB a second, plays
    numbers: dict[str, int]                    # which digest of each edge is in the sums
    rates: dict[str, float]                    # plays a second by product, forecast
    hot: tuple[Hot, ...]
    drained: tuple[int, ...]

    @property
    def rank(self) -> tuple[int, str, int]:
        """Of two planners that took one epoch, on two stores, one wins for all edges."""
        return self.epoch, self.planner, self.version


class PlanRejected(Exception):
    """A plan that is not taken; the text says why."""


def seal(plan: Plan, keys: Keys) -> bytes:
    """The plan's bytes with the first key's mark."""
    body = msgspec.msgpack.encode(tuple(plan))
    return msgspec.msgpack.encode((keys[0][0], body, mark(keys[0][1], body)))


def mark(secret: bytes, body: bytes) -> bytes:
    return hmac.digest(secret, b"plan\n" + body, hashlib.sha256)[:MARK_BYTES]


def unseal(data: bytes, keys: Keys) -> Plan:
    """Raises PlanRejected for what is no plan, forged, or of an unknown key."""
    try:
        name, body, told = msgspec.msgpack.decode(data, type=tuple[str, bytes, bytes])
    except (msgspec.MsgspecError, ValueError):
        raise PlanRejected("not a plan") from None
    secret = dict(keys).get(name)
    if secret is None:
        raise PlanRejected(f"signed by an unknown key {name[:20]!r}")
    if not hmac.compare_digest(told, mark(secret, body)):
        raise PlanRejected("its mark is wrong")
    try:
        return sound(msgspec.msgpack.decode(body, type=Plan))
    except (msgspec.MsgspecError, ValueError) as error:
        raise PlanRejected(f"not a plan: {error}") from None


def sound(plan: Plan) -> Plan:
    """Raises ValueError where a planner has gone mad: figures out of any range."""
    if len(plan.nodes) > NODES_MOST or not 0 < plan.lease_ms <= 10 * LEASE_MS or plan.epoch < 1 or plan.version < 1:
        raise ValueError("its head is out of range")
    for node, (kb, plays) in plan.nodes.items():
        if not 0 <= kb <= KB_MOST or not 0 <= plays <= KB_MOST:
            raise ValueError(f"node {node}: {kb} kB a second of {plays} plays")
    return plan


class FollowedPlan:
    """One edge's plan. `seen` outlives a plan's lease: an older one is never taken again."""

    def __init__(self):
        self.plan: Plan | None = None
        self.came_ms = 0.0
        self.seen = (0, "", 0)
        self.refused = self.stale = 0

    def offer(self, plan: Plan, now: float) -> bool:
        """Whether it is obeyed from now on. Of another epoch a higher one wins, whatever its version."""
        if plan.rank <= self.seen or plan.epoch > self.seen[0] + AHEAD_MOST:
            self.stale += 1
            return False
        self.seen, self.plan, self.came_ms = plan.rank, plan, now
        return True

    def now(self, now: float) -> Plan | None:
        """The plan in force, or None: too old, or none came."""
        if self.plan is not None and now - self.came_ms >= self.plan.lease_ms:
            self.plan = None
        return self.plan


class SentDigests:
    """What an edge told by number, so that what a plan holds of itself can be taken out of its sums."""

    def __init__(self, kept: int = 32):
        self.kept, self.nodes = kept, {}

    def told(self, number: int, nodes: dict[int, tuple[float, int]]) -> None:
        self.nodes[number] = nodes
        for old in [old for old in self.nodes if old <= number - self.kept]:
            del self.nodes[old]

    def others(self, plan: Plan, edge: str, leave_out: frozenset[int]) -> dict[int, float] | None:
        """By node, what the other edges ask of it, kB a second; None where the plan holds a digest that is not remembered."""
        own: dict[int, tuple[float, int]] = {}
        if edge in plan.numbers:
            if plan.numbers[edge] not in self.nodes:
                return None
            own = self.nodes[plan.numbers[edge]]
        return {node: max(0.0, kb - own.get(node, (0.0, 0))[0]) for node, (kb, _) in plan.nodes.items() if node not in leave_out}

"""Plans: the load that all edges together put on each node, versioned, complete, signed, with an epoch and a lease; and the rules by which an edge follows one. No I/O.

An edge follows the plan with the highest (epoch, planner, version) that it has seen, until the plan's lease ends, counted from when it was received. A plan permits nothing: an edge
enforces floors, play limits, drains, cold nodes and budgets from its own information, and leaves any node that it knows to be draining or gone out of every plan.
"""
import hashlib
import hmac
from typing import NamedTuple

import msgspec

from laddergw.planner.sketch import HotTitle

LEASE_MS = 3_000.0         # of a plan: six plans in a row may be lost
SIGNATURE_BYTES = 16
MAX_EPOCH_JUMP = 1_000_000 # an epoch further above the highest known one cannot come from a planner
MAX_NODE_RATE_KB = 1e9     # kB per second of one node; also bounds its plays
MAX_NODES = 100_000

Keys = tuple[tuple[str, bytes], ...]


class Plan(NamedTuple):
    """The load of the fleet at one moment, from all edges."""
    epoch: int
    planner: str
    version: int
    lease_ms: float
    nodes: dict[int, tuple[float, int]]        # node -> (kB per second, plays)
    numbers: dict[str, int]                    # edge -> number of its digest that the sums include
    rates: dict[str, float]                    # product -> forecast of plays per second
    hot: tuple[HotTitle, ...]
    drained: tuple[int, ...]

    @property
    def rank(self) -> tuple[int, str, int]:
        """Order of plans: of two planners that took the same epoch on two stores, the same one wins at every edge."""
        return self.epoch, self.planner, self.version


class PlanRejected(Exception):
    """The received plan is invalid; the text gives the reason."""


def seal(plan: Plan, keys: Keys) -> bytes:
    """Encodes a plan and signs it with the first key."""
    body = msgspec.msgpack.encode(tuple(plan))
    return msgspec.msgpack.encode((keys[0][0], body, sign(keys[0][1], body)))


def sign(secret: bytes, body: bytes) -> bytes:
    """HMAC-SHA256 of an encoded plan, truncated to SIGNATURE_BYTES."""
    return hmac.digest(secret, b"plan\n" + body, hashlib.sha256)[:SIGNATURE_BYTES]


def unseal(data: bytes, keys: Keys) -> Plan:
    """Decodes a signed plan. Raises PlanRejected if it is malformed, forged or signed with an unknown key."""
    try:
        key_name, body, signature = msgspec.msgpack.decode(data, type=tuple[str, bytes, bytes])
    except (msgspec.MsgspecError, ValueError):
        raise PlanRejected("not a plan") from None
    secret = dict(keys).get(key_name)
    if secret is None:
        raise PlanRejected(f"signed with an unknown key {key_name[:20]!r}")
    if not hmac.compare_digest(signature, sign(secret, body)):
        raise PlanRejected("its signature is wrong")
    try:
        return check_ranges(msgspec.msgpack.decode(body, type=Plan))
    except (msgspec.MsgspecError, ValueError) as error:
        raise PlanRejected(f"not a plan: {error}") from None


def check_ranges(plan: Plan) -> Plan:
    """Returns the plan. Raises ValueError for values that no working planner sends."""
    if len(plan.nodes) > MAX_NODES or not 0 < plan.lease_ms <= 10 * LEASE_MS or plan.epoch < 1 or plan.version < 1:
        raise ValueError("lease, epoch, version or number of nodes is out of range")
    for node, (kb, plays) in plan.nodes.items():
        if not 0 <= kb <= MAX_NODE_RATE_KB or not 0 <= plays <= MAX_NODE_RATE_KB:
            raise ValueError(f"node {node}: {kb} kB per second or {plays} plays is out of range")
    return plan


class FollowedPlan:
    """The plan that one edge follows. `highest_rank` outlives a plan's lease: an older plan is never accepted again."""

    def __init__(self):
        self.plan: Plan | None = None
        self.received_ms = 0.0
        self.highest_rank = (0, "", 0)
        self.rejected = self.stale = 0

    def offer(self, plan: Plan, now: float) -> bool:
        """Accepts a plan if its rank is higher than all before; True if it is followed from now on. A higher epoch wins whatever its version."""
        if plan.rank <= self.highest_rank or plan.epoch > self.highest_rank[0] + MAX_EPOCH_JUMP:
            self.stale += 1
            return False
        self.highest_rank, self.plan, self.received_ms = plan.rank, plan, now
        return True

    def current(self, now: float) -> Plan | None:
        """The plan in force; None if its lease is over or none was received."""
        if self.plan is not None and now - self.received_ms >= self.plan.lease_ms:
            self.plan = None
        return self.plan


class SentDigests:
    """The last digests that an edge sent, so that its own load can be subtracted from a plan's sums."""

    def __init__(self, capacity: int = 32):
        self.capacity, self.nodes = capacity, {}

    def record(self, number: int, nodes: dict[int, tuple[float, int]]) -> None:
        """Remembers the loads in a digest and drops those that are too old."""
        self.nodes[number] = nodes
        for old in [old for old in self.nodes if old <= number - self.capacity]:
            del self.nodes[old]

    def load_of_others(self, plan: Plan, edge: str, leave_out: frozenset[int]) -> dict[int, float] | None:
        """Load of the other edges by node, kB per second; None if the plan includes a digest of this edge that is no longer remembered."""
        own: dict[int, tuple[float, int]] = {}
        if edge in plan.numbers:
            if plan.numbers[edge] not in self.nodes:
                return None
            own = self.nodes[plan.numbers[edge]]
        return {node: max(0.0, kb - own.get(node, (0.0, 0))[0]) for node, (kb, _) in plan.nodes.items() if node not in leave_out}

"""The digests that edges send to the planner, and the planner's view of the fleet built from them. No I/O; merging is commutative and idempotent.

A digest is complete: the load that the edge's plays put on each node at one moment, and counts since the edge's start. For each edge process the digest with the highest number
is used, so that lost, duplicated and reordered digests do no harm; counts of a process that has ended stay in the totals. Times are ms; an edge's clock is only compared with itself.
"""
from typing import NamedTuple

from laddergw.planner.sketch import HotTitle, Sketch

EDGE_SILENCE_MS = 5_000.0  # the load of an edge that reported nothing for this long is left out of plans
MAX_HOT_TITLES = 32        # titles in a digest


class Digest(NamedTuple):
    """The state of one edge at one moment. `edge`: name of its process; `number` counts from 1."""
    edge: str
    number: int
    at_ms: float
    nodes: dict[int, tuple[float, int]]        # node -> (kB per second requested, plays)
    arrivals: dict[str, int]                   # plays by product, since its start
    hot: tuple[HotTitle, ...]
    failures: dict[int, int]                   # by node, since its start
    drains: tuple[int, ...]                    # nodes that the edge knows to be draining or gone


class EdgeState(NamedTuple):
    """The last digest of an edge and when it was received, by the planner's clock."""
    digest: Digest
    received_ms: float


class FleetView:
    """The fleet as all edges together report it."""

    def __init__(self):
        self.edges: dict[str, EdgeState] = {}
        self.past_arrivals: dict[str, int] = {}            # of processes that were dropped
        self.duplicates = 0

    def merge(self, digest: Digest, now: float) -> bool:
        """Adds a digest; False if one with this number or a higher one is already there."""
        previous = self.edges.get(digest.edge)
        if previous is not None and digest.number <= previous.digest.number:
            self.duplicates += 1
            return False
        self.edges[digest.edge] = EdgeState(digest, now)
        return True

    def live_digests(self, now: float) -> list[Digest]:
        """The last digests of the edges that reported recently, in order of their names."""
        return [self.edges[edge].digest for edge in sorted(self.edges) if now - self.edges[edge].received_ms < EDGE_SILENCE_MS]

    def drop_silent(self, now: float, after_ms: float) -> None:
        """Drops processes silent for `after_ms`; their arrivals stay in the totals."""
        for edge in [edge for edge, state in self.edges.items() if now - state.received_ms >= after_ms]:
            for product, count in self.edges.pop(edge).digest.arrivals.items():
                self.past_arrivals[product] = self.past_arrivals.get(product, 0) + count

    def node_loads(self, now: float) -> dict[int, tuple[float, int]]:
        """Load of all edges together by node: (kB per second, plays)."""
        totals: dict[int, tuple[float, int]] = {}
        for digest in self.live_digests(now):
            for node, (kb, plays) in digest.nodes.items():
                previous = totals.get(node, (0.0, 0))
                totals[node] = previous[0] + kb, previous[1] + plays
        return dict(sorted(totals.items()))

    def digest_numbers(self, now: float) -> dict[str, int]:
        """The number of the digest of each edge that the sums include."""
        return {digest.edge: digest.number for digest in self.live_digests(now)}

    def arrivals(self) -> dict[str, int]:
        """Plays by product of all processes, dropped ones included."""
        totals = dict(self.past_arrivals)
        for edge in sorted(self.edges):
            for product, count in self.edges[edge].digest.arrivals.items():
                totals[product] = totals.get(product, 0) + count
        return dict(sorted(totals.items()))

    def draining_nodes(self, now: float) -> tuple[int, ...]:
        """Nodes that any edge knows to be draining or gone; the other edges learn of it later from the fleet list."""
        return tuple(sorted({node for digest in self.live_digests(now) for node in digest.drains}))

    def hot(self, now: float, limit: int) -> list[HotTitle]:
        """The most requested titles of all live edges."""
        sketch = Sketch()
        for digest in self.live_digests(now):
            sketch.merge(digest.hot)
        return sketch.top(limit)

    def failures(self, now: float) -> dict[int, int]:
        """Failed allocations by node, of all live edges."""
        totals: dict[int, int] = {}
        for digest in self.live_digests(now):
            for node, count in digest.failures.items():
                totals[node] = totals.get(node, 0) + count
        return dict(sorted(totals.items()))

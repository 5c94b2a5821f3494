"""What an edge tells the planner of itself, and the view of the fleet that comes of it. Pure; merging is commutative and idempotent.

A digest is whole: what the edge's plays ask of each node at one moment, and counts since the edge's start. Of each edge's process the digest with the highest number holds, so
that lost, doubled and reordered ones do no harm; counts of a process that is gone stay in what was counted. Times are ms; an edge's clock is only ever compared with itself.
"""
from typing import NamedTuple

from laddergw.planner.sketch import Hot, Sketch

SILENT_MS = 5_000.0        # an edge that told nothing for so long holds nothing any more, as far as the plan goes
HOT_TOLD = 32              # titles in a digest


class Digest(NamedTuple):
    """One edge at one moment. `edge`: its process's name; `number` counts from 1."""
    edge: str
    number: int
    at_ms: float
    nodes: dict[int, tuple[float, int]]        # kB a second asked, plays
    arrivals: dict[str, int]                   # by product, since its start
    hot: tuple[Hot, ...]
    failures: dict[int, int]                   # by node, since its start
    drains: tuple[int, ...]                    # nodes that it was told to be draining or gone


class EdgeState(NamedTuple):
    """A digest and when it came, our clock."""
    digest: Digest
    came_ms: float


class View:
    """What all edges see."""

    def __init__(self):
        self.heard: dict[str, EdgeState] = {}
        self.past: dict[str, int] = {}                     # arrivals of processes that are silent for good
        self.doubled = 0

    def merge(self, digest: Digest, now: float) -> bool:
        """Takes a digest in; False where it says nothing new."""
        known = self.heard.get(digest.edge)
        if known is not None and digest.number <= known.digest.number:
            self.doubled += 1
            return False
        self.heard[digest.edge] = EdgeState(digest, now)
        return True

    def alive(self, now: float) -> list[Digest]:
        """Of the edges that told something lately, in order of their names."""
        return [self.heard[edge].digest for edge in sorted(self.heard) if now - self.heard[edge].came_ms < SILENT_MS]

    def forget(self, now: float, after_ms: float) -> None:
        """Processes silent for so long go; what they counted stays."""
        for edge in [edge for edge, heard in self.heard.items() if now - heard.came_ms >= after_ms]:
            for product, count in self.heard.pop(edge).digest.arrivals.items():
                self.past[product] = self.past.get(product, 0) + count

    def asked(self, now: float) -> dict[int, tuple[float, int]]:
        """By node, what all edges together ask of it: kB a second and plays."""
        found: dict[int, tuple[float, int]] = {}
        for digest in self.alive(now):
            for node, (kb, plays) in digest.nodes.items():
                had = found.get(node, (0.0, 0))
                found[node] = had[0] + kb, had[1] + plays
        return dict(sorted(found.items()))

    def numbers(self, now: float) -> dict[str, int]:
        """Which digest of each edge the sums hold."""
        return {digest.edge: digest.number for digest in self.alive(now)}

    def arrivals(self) -> dict[str, int]:
        found = dict(self.past)
        for edge in sorted(self.heard):
            for product, count in self.heard[edge].digest.arrivals.items():
                found[product] = found.get(product, 0) + count
        return dict(sorted(found.items()))

    def drained(self, now: float) -> tuple[int, ...]:
        """Told to any edge: the others hear of it from the list, by and by."""
        return tuple(sorted({node for digest in self.alive(now) for node in digest.drains}))

    def hot(self, now: float, most: int) -> list[Hot]:
        sketch = Sketch()
        for digest in self.alive(now):
            sketch.merge(digest.hot)
        return sketch.top(most)

    def failures(self, now: float) -> dict[int, int]:
        found: dict[int, int] = {}
        for digest in self.alive(now):
            for node, count in digest.failures.items():
                found[node] = found.get(node, 0) + count
        return dict(sorted(found.items()))

"""Model of a rehearsal's deployment: nodes, directors, products and viewers as plain values, and the director's file made from them."""
import math
from typing import NamedTuple
from zlib import crc32

from laddergw.lab.node_stand_in import NodeFacts
from laddergw.lab.viewers_stand_in import Audience, Crowd


# Of a node: two cores that run five plays at the middle rate each, and at most two and a half times as many streams.
MIN_STREAMS = 24


class ProductModel(NamedTuple):
    """A product as a rehearsal offers it. Times in ms."""
    name: str
    share: float
    importance: float
    repeat: str
    wait_ms: float
    aim_ms: float
    length_ms: tuple[float, float]
    floor: int = 0
    seats: int = 0
    scale: float = 1.0
    key_ms: float = 0.0
    top: int | None = None                # highest rung; None: the ladder's highest


class DeploymentModel(NamedTuple):
    """Everything that defines a rehearsal, apart from its fault events. Times in ms, rates in kB a second."""
    seed: int
    directors: int
    nodes: tuple[NodeFacts, ...]
    racks: int
    rack_kb: float
    wares: tuple[ProductModel, ...]
    crowd: Crowd
    ladder: tuple[float, ...]
    worth: tuple[float, ...]
    cells: int
    link_unit: float
    streams: tuple[int, ...]
    cold_from: float
    warm_ms: float
    fall_multiple: float
    fall_ms: float
    drain_grace_ms: float
    allocations: int
    budget: tuple[float, float, float] | None     # free, share, window ms
    seen_after_ms: float
    list_lag_ms: tuple[float, float]
    silent_lag_ms: tuple[float, float]            # until the list learns of a node that vanished silently
    finish_ms: float = 4_000.0

    def director_file(self, number: int, address: tuple, lists: tuple, seed: int) -> str:
        """Text of one director's file."""
        wares = "\n".join(
            f'   (product "{product.name}" (importance {product.importance:g}) (repeat {product.repeat}) (floor {product.floor}) (seats {product.seats})'
            f' (scale {product.scale:g}) (key-ms {product.key_ms:g}){"" if product.top is None else f" (top {product.top})"})' for product in self.wares)
        budget = "(budget (free %g) (share %g) (window-ms %g))" % self.budget if self.budget else ""
        join = " ".join
        return f"""(director
 (number {number}) (seed {seed}) (listen "{address[0]}" {address[1]}) (list "{lists[0]}" {lists[1]})
 (key lab "rehearsal-key-of-{self.seed:08d}")
 (bounds (finish-ms {self.finish_ms:g}))
 (deployment (directors {self.directors}) (cells {self.cells}) (racks {self.racks})
   (ladder {join(f"{kb:g}" for kb in self.ladder)}) (rung-worth {join(f"{w:g}" for w in self.worth)})
   (link-unit-kb {self.link_unit:g}) (rack-kb {self.rack_kb:g}) (streams {join(map(str, self.streams))})
   (step-cost-ms 500) (seen-after-ms {self.seen_after_ms:g}) (allocations {self.allocations})
   (cold-from {self.cold_from:g}) (warm-ms {self.warm_ms:g}) (fall-multiple {self.fall_multiple:g}) (fall-ms {self.fall_ms:g})
   (reports x0 x1) {budget}
{wares}))
"""


def draw(seed: int, *labels) -> float:
    """A number from 0 to below 1 that depends only on the seed and the labels."""
    return crc32(repr((seed,) + labels).encode()) / 2 ** 32


def draw_between(seed: int, low: float, high: float, *labels) -> float:
    """A number from `low` to below `high` that depends only on the seed and the labels."""
    return low + (high - low) * draw(seed, *labels)


DEFAULT_PRODUCTS = (
    ProductModel("hearing", 0.30, 3.0, "safe", 4_000, 1_500, (6_000, 20_000)),
    ProductModel("survey-clip", 0.25, 1.0, "safe", 3_000, 1_000, (4_000, 14_000), scale=0.7),
    ProductModel("permit-notice", 0.20, 2.0, "paid", 4_000, 1_000, (4_000, 14_000), floor=1),
    ProductModel("oral-history", 0.15, 1.0, "keyed", 3_500, 1_500, (6_000, 20_000), key_ms=5_000),
    ProductModel("reading-room", 0.10, 1.0, "safe", 3_000, 1_500, (6_000, 16_000), seats=3),
)


def build_deployment(seed: int, directors: int = 4, nodes: int = 24, rate: float = 24.0, seconds: float = 60.0, load: float = 0.75,
                     racks: int = 4, cells: int = 8, wares: tuple[ProductModel, ...] = DEFAULT_PRODUCTS) -> DeploymentModel:
    """A deployment whose links are filled to `load` by plays at the middle rate; the rest is drawn from ranges."""
    middle_kb = draw_between(seed, 400, 900, "middle")
    ladder = tuple(round(middle_kb * 0.3 * (10 ** (rung / 4)), 1) for rung in range(5))
    mean_length_s = sum(product.share * sum(product.length_ms) / 2 for product in wares) / 1000
    mean_rate_kb = middle_kb * sum(product.share * product.scale for product in wares)
    link_unit = rate * mean_length_s * mean_rate_kb / load / nodes
    streams = (max(MIN_STREAMS, math.ceil(rate * mean_length_s / load / nodes * 2.5)),)
    cold_from, warm_ms = draw_between(seed, 0.4, 0.6, "cold"), draw_between(seed, 5_000, 12_000, "warm")
    node_facts = tuple(NodeFacts(
        node=1_000 + index, cell=index % cells, kind=0, weight=1.0, link_kb=link_unit * draw_between(seed, 0.85, 1.15, "link", index),
        streams=streams[0], work_ms=(40.0, 120.0), cold_from=cold_from, warm_ms=warm_ms, fall_multiple=2.0, fall_ms=1_000.0,
        guard=1.2, rate_spread=0.15) for index in range(nodes))
    audiences = tuple(Audience(product.name, product.share, product.wait_ms, product.aim_ms, product.length_ms, product.importance, product.repeat == "paid", False)
                      for product in wares)
    crowd = Crowd(rate, seconds, audiences, titles=60, cells=cells, copies=3 if cells > 3 else cells, rungs=len(ladder), small=0.2,
                  impatient=0.03, fickle=0.03, returns=0.88, tries=4, again_ms=(300.0, 2_000.0))
    return DeploymentModel(seed, directors, node_facts, racks, link_unit * nodes / racks * 0.9, wares, crowd, ladder, (0.25, 0.45, 0.65, 0.85, 1.0),
                           cells, link_unit, streams, cold_from, warm_ms, 2.0, 1_000.0, 250.0, 3, (10.0, 0.2, 10_000.0), 700.0,
                           (300.0, 1_500.0), (3_000.0, 6_000.0))

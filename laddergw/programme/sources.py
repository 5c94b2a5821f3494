"""Decides from which node an item is fetched, and what is done when it cannot be had in time. No I/O; time handed in.

An item's segments are idempotent reads of small files: they take no place and set nothing up, so they are no allocation, and
placement stays the module's. Still their rate is load: the node of the play itself comes first, where it holds the item,
and no node serves items for more than a small part of its link.
"""
from typing import NamedTuple

from laddergw.programme.rules import LATER, SHORTER, Piece, Programme, Rule

PART_MOST = 0.1            # of a link, for items of plays elsewhere: what the plays there can spare
SURE_MS = 1_500.0          # before its splice an item must be known to be there: a playlist's fetch and a retry
WAIT_MS = 2_500.0          # beyond that: the next reload of a player still comes in time
LATER_MS = 20_000.0        # an item put off stands so much later, or at the next splice point behind that


class SourceNode(NamedTuple):
    """A node as a source of items. `asked`: of its link, as last told; `items`: of its link, for items now."""
    node: int
    ready: bool
    cold: bool
    failed_until: float        # ms, our clock: it failed as a source and rests
    asked: float
    items: float


def readers(own: int, states: dict[int, tuple[bool, int]], home: int, copies: int, cells: int, more: int) -> list[int]:
    """Nodes for a read of a title's playlist: the play's own, then as many more that hold the title and are ready, by their ids.
    `states`: by node, whether it is ready, and its cell."""
    held = {(home + step) % cells for step in range(min(copies, cells) or cells)}
    return [own] + [node for node, (ready, cell) in sorted(states.items()) if ready and node != own and cell % cells in held][:more]


def is_cold(started_ms: float, warm_ms: float, now: float) -> bool:
    """Whether a node that started then (0: long ago) still warms up."""
    return started_ms > 0 and now - started_ms < warm_ms


def share(rate_kb: float, link_kb: float) -> float:
    """Of a link; a link of no width is full."""
    return rate_kb / link_kb if link_kb > 0 else 1.0


class ChosenSource(NamedTuple):
    """What is done about one item: fetched from a node; or put off to a time; or left out."""
    item: str | None
    node: int | None = None
    later_ms: float | None = None
    why: str = ""
    wait: bool = False         # nothing more is shown for now: there is time to ask again


def fit(holder: SourceNode, now: float) -> bool:
    return holder.ready and now >= holder.failed_until and holder.items < PART_MOST and holder.asked + holder.items < 1.0


def source(piece: Piece, holders: dict[int, SourceNode], own: int | None, now: float) -> int | None:
    """The node to fetch an item from: the play's own first, then warm ones, the least asked first; draining and failed ones never."""
    known = [holders[node] for node in piece.nodes if node in holders and fit(holders[node], now)]
    if not known:
        return None
    return min(known, key=lambda holder: (holder.node != own, holder.cold, holder.asked + holder.items, holder.node)).node


def fetch_from(piece: Piece, holders: dict[int, SourceNode], shown_from: int, now: float) -> int:
    """The node for one segment of an item that was shown: an item stands whole, so the node it was chosen from goes on as long
    as it can; else another holder, full or not; where none is left, the first one still."""
    def can(node: int) -> bool:
        return node in holders and holders[node].ready and now >= holders[node].failed_until
    if can(shown_from):
        return shown_from
    others = [holders[node] for node in piece.nodes if can(node)]
    return min(others, key=lambda holder: (holder.cold, holder.asked + holder.items, holder.node)).node if others else shown_from


def choose(rule: Rule, item: str, programme: Programme, holders: dict[int, SourceNode], own: int | None, now: float,
           splice_at: float) -> ChosenSource:
    """For an item whose splice is at `splice_at` (our clock): whole from some node, a shorter one, later, or not at all. Never in part."""
    piece = programme.pieces[item]
    if splice_at - now < SURE_MS:
        return instead(rule, piece, programme, {}, own, now, "no time is left to fetch it")
    node = source(piece, holders, own, now)
    if node is not None:
        return ChosenSource(item, node)
    return instead(rule, piece, programme, holders, own, now, "no node that holds it can serve it")


def decide_unfetched(rule: Rule, item: str, lead_ms: float, why: str) -> ChosenSource:
    """For an item that can be had but whose playlist is not here yet: the splice waits while there is time."""
    if lead_ms >= SURE_MS + WAIT_MS:
        return ChosenSource(item, why=why, wait=True)
    return ChosenSource(item, later_ms=LATER_MS, why=why) if rule.otherwise == LATER else ChosenSource(None, why=why)


def instead(rule: Rule, piece: Piece, programme: Programme, holders: dict[int, SourceNode], own: int | None, now: float, why: str) -> ChosenSource:
    if rule.otherwise == SHORTER and piece.shorter is not None:
        shorter = programme.pieces[piece.shorter]
        node = source(shorter, holders, own, now)
        if node is not None:
            return ChosenSource(shorter.name, node, why=why)
    if rule.otherwise == LATER:
        return ChosenSource(piece.name, later_ms=LATER_MS, why=why)
    return ChosenSource(None, why=why)

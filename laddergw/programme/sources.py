"""Chooses the node from which an item is fetched, and what is done when it is not available in time. No I/O; time is passed in.

An item's segments are idempotent reads of small files: they occupy no slot and set nothing up, so they are not allocations, and
placement stays with the control module. Their rate is load all the same: the play's own node comes first, where it holds the item,
and no node serves items with more than a small part of its link.
"""
from typing import NamedTuple

from laddergw.programme.rules import LATER, SHORTER, Piece, Programme, Rule

# Of a link, for items of plays on other nodes: what the plays of the node itself can spare
MAX_ITEM_SHARE = 0.1
# This long before its splice an item must be known to be available: the fetch of a playlist and one retry
FETCH_LEAD_MS = 1_500.0
# On top of that: a player's next reload still comes in time
RELOAD_WAIT_MS = 2_500.0
# A postponed item is inserted this much later, or at the next splice point after that
POSTPONE_MS = 20_000.0


class SourceNode(NamedTuple):
    """A node as a source of items. `play_share`: share of its link taken by plays, as last known; `item_share`: share of its link taken by items."""
    node: int
    ready: bool
    cold: bool
    # ms on this edge's clock: it failed as a source and is not used until then
    failed_until: float
    play_share: float
    item_share: float


def playlist_sources(own: int, states: dict[int, tuple[bool, int]], home: int, copies: int, cells: int, more: int) -> list[int]:
    """Nodes for a read of a title's playlist: the play's own, then up to `more` others that hold the title and are ready, by their ids.
    `states`: by node, whether it is ready, and its cell."""
    held = {(home + step) % cells for step in range(min(copies, cells) or cells)}
    return [own] + [node for node, (ready, cell) in sorted(states.items()) if ready and node != own and cell % cells in held][:more]


def is_cold(started_ms: float, warm_ms: float, now: float) -> bool:
    """Whether a node that started at `started_ms` (0: long ago) is still warming up."""
    return started_ms > 0 and now - started_ms < warm_ms


def link_share(rate_kb: float, link_kb: float) -> float:
    """The share of a link that a rate takes; a link without capacity counts as full."""
    return rate_kb / link_kb if link_kb > 0 else 1.0


class ChosenSource(NamedTuple):
    """What is done about one item: fetched from a node (`node`), postponed (`later_ms`), waited for (`wait`) or left out (`item` is None)."""
    item: str | None
    node: int | None = None
    later_ms: float | None = None
    why: str = ""
    # No further segment is listed for now: there is time to ask again
    wait: bool = False


def is_usable(source: SourceNode, now: float) -> bool:
    """Whether a node may serve items: ready, not failed lately, and with room on its link."""
    return source.ready and now >= source.failed_until and source.item_share < MAX_ITEM_SHARE and source.play_share + source.item_share < 1.0


def best_source(piece: Piece, sources: dict[int, SourceNode], own: int | None, now: float) -> int | None:
    """The node to fetch an item from: the play's own first, then warm ones, the least loaded first; never a draining or failed one."""
    known = [sources[node] for node in piece.nodes if node in sources and is_usable(sources[node], now)]
    if not known:
        return None
    return min(known, key=lambda source: (source.node != own, source.cold, source.play_share + source.item_share, source.node)).node


def item_segment_node(piece: Piece, sources: dict[int, SourceNode], first_node: int, now: float) -> int:
    """The node for one segment of an item that is in the playlist. An item is inserted whole, so the node that it was chosen from serves it as long
    as it can; otherwise another source does, full or not; where none is left, the first node stays."""
    def can_serve(node: int) -> bool:
        return node in sources and sources[node].ready and now >= sources[node].failed_until
    if can_serve(first_node):
        return first_node
    others = [sources[node] for node in piece.nodes if can_serve(node)]
    return min(others, key=lambda source: (source.cold, source.play_share + source.item_share, source.node)).node if others else first_node


def choose(rule: Rule, item: str, programme: Programme, sources: dict[int, SourceNode], own: int | None, now: float,
           splice_at: float) -> ChosenSource:
    """Decides about an item whose splice is at `splice_at` (ms on this edge's clock): whole from some node, a shorter one, later, or not at all.
    Never in part."""
    piece = programme.pieces[item]
    if splice_at - now < FETCH_LEAD_MS:
        return choose_alternative(rule, piece, programme, {}, own, now, "no time is left to fetch it")
    node = best_source(piece, sources, own, now)
    if node is not None:
        return ChosenSource(item, node)
    return choose_alternative(rule, piece, programme, sources, own, now, "no node that holds it can serve it")


def decide_unfetched(rule: Rule, item: str, lead_ms: float, why: str) -> ChosenSource:
    """Decides about an item that has a source but whose playlist is not fetched yet: the splice waits while there is time."""
    if lead_ms >= FETCH_LEAD_MS + RELOAD_WAIT_MS:
        return ChosenSource(item, why=why, wait=True)
    return ChosenSource(item, later_ms=POSTPONE_MS, why=why) if rule.otherwise == LATER else ChosenSource(None, why=why)


def choose_alternative(rule: Rule, piece: Piece, programme: Programme, sources: dict[int, SourceNode], own: int | None, now: float, why: str) -> ChosenSource:
    """Applies the rule's `otherwise` to an item that is not available: a shorter one, later, or left out."""
    if rule.otherwise == SHORTER and piece.shorter is not None:
        shorter = programme.pieces[piece.shorter]
        node = best_source(shorter, sources, own, now)
        if node is not None:
            return ChosenSource(shorter.name, node, why=why)
    if rule.otherwise == LATER:
        return ChosenSource(piece.name, later_ms=POSTPONE_MS, why=why)
    return ChosenSource(None, why=why)

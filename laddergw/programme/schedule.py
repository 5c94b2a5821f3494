"""Schedules a session's items: which rules insert which items at which places of its programme, once, at the session's start.

The schedule is fixed from then on; a file that changes later applies to later sessions. Places are programme time from the start, ms, and
move to the start of the next segment. Where rules meet, rank decides, then the file's order. No item is inserted into another one.
"""
import math
from typing import NamedTuple

from laddergw.hls.stitching import Outline
from laddergw.hls.values import Media, time_ms
from laddergw.programme.rules import AFTER, AT, BEFORE, EVERY, Programme, Rule

# Of one session: an evening of three hours with one item a minute
MAX_ITEMS = 200


class PlacedItem(NamedTuple):
    """An item of a session. `before_segment`: the programme segment that it is inserted before; `at_ms`: programme time there."""
    before_segment: int
    at_ms: float
    item: str
    rule: Rule


class CandidatePlacement(NamedTuple):
    """A place at which a rule asks for an item, before the other rules are considered. `rank` is negated, so that the highest sorts first."""
    at_ms: float
    rank: int
    order: int
    item: str
    rule: Rule


def remaining_after_resume(placed: list[PlacedItem], first: int, cut: bool) -> list[PlacedItem]:
    """The items left for a viewer that resumes at a segment. The item right before it counts as seen, unless it was interrupted (`cut`)."""
    return placed if not first and not cut else [one for one in placed if one.before_segment > first or cut and one.before_segment == first]


def segment_starts(source: Media) -> list[float]:
    """Programme time at which each segment begins, ms from the start; one more for the end."""
    starts = [0.0]
    for segment in source.segments:
        starts.append(starts[-1] + segment.duration_ms)
    return starts


def cue_times(source: Media, outline: Outline, cue_class: str) -> list[float]:
    """Programme times of the DATERANGEs of a class, ms from the start. One before the start or after the end does not count."""
    zero = next((clock - at for clock, at in zip(outline.programme_times, segment_starts(source)) if clock is not None), None)
    times = []
    for segment in source.segments:
        for cue in segment.date_ranges:
            if cue.get("CLASS") == cue_class and zero is not None:
                try:
                    times.append(time_ms(cue.get("START-DATE") or "") - zero)
                except ValueError:
                    continue
    return sorted(set(times))


def candidate_placements(source: Media, outline: Outline, rules: list[Rule]) -> list[CandidatePlacement]:
    """Every place at which a rule asks for an item, earliest first; the items of a rule alternate."""
    length, candidates = segment_starts(source)[-1], []
    for order, rule in enumerate(rules):
        if rule.place == BEFORE:
            times = [0.0]
        elif rule.place == AFTER:
            times = [length]
        elif rule.place == AT:
            times = list(rule.at)
        elif rule.place == EVERY:
            times = [rule.at[0] * turn for turn in range(1, min(MAX_ITEMS, math.ceil(length / rule.at[0])))]
        else:
            times = cue_times(source, outline, rule.cue)
        within = [at for at in times if 0 <= at <= length and (source.ended or at < length)]
        for turn, at in enumerate(within[:rule.most or None]):
            candidates.append(CandidatePlacement(at, -rule.rank, order, rule.items[turn % len(rule.items)], rule))
    return sorted(candidates, key=lambda candidate: (candidate.at_ms, candidate.rank, candidate.order))


def schedule(source: Media, rules: list[Rule], programme: Programme, left_ms: float = math.inf) -> list[PlacedItem]:
    """The session's items, in order of their places. `left_ms`: what the viewer is still expected to watch; an item
    longer than the rest of that is left out, as is one too close to the item before it."""
    outline, times = Outline(source), segment_starts(source)
    placed_items: list[PlacedItem] = []
    seen: dict[tuple, int] = {}
    last_at = -math.inf
    for candidate in candidate_placements(source, outline, rules):
        place = next((k for k, at in enumerate(times) if at >= candidate.at_ms - 1e-6), len(times) - 1)
        at, piece = times[place], programme.pieces[candidate.item]
        if len(placed_items) >= MAX_ITEMS or at + piece.length_ms > left_ms:
            continue
        same_place = bool(placed_items) and placed_items[-1].before_segment == place
        if placed_items and not same_place and at - last_at < candidate.rule.gap_ms:
            continue
        if same_place and (candidate.rule.gap_ms > 0 or seen.get((place, candidate.item))):
            # It needs programme before it, or was placed here already
            continue
        seen[place, candidate.item] = 1
        placed_items.append(PlacedItem(place, at, candidate.item, candidate.rule))
        last_at = at
    return placed_items

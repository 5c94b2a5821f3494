"""Decides a session's items: which rules give which items at which places of its programme, once, at the session's start.

The schedule is fixed then; a file changed later holds for later sessions. Places are programme time from the start, ms, and
fall on the next segment's start. Where rules meet, rank decides, then the file's order. Nothing stands inside an item.
"""
import math
from typing import NamedTuple

from laddergw.hls.stitching import Outline
from laddergw.hls.values import Media, time_ms
from laddergw.programme.rules import AFTER, AT, BEFORE, EVERY, Programme, Rule

MOST_ITEMS = 200           # of one session: an evening of three hours with one a minute


class PlacedItem(NamedTuple):
    """An item of a session. `before_segment`: the programme segment that it stands before; `at_ms`: programme time there."""
    before_segment: int
    at_ms: float
    item: str
    rule: Rule


class Wish(NamedTuple):
    """Where a rule would like an item, before others are heard."""
    at_ms: float
    rank: int
    order: int
    item: str
    rule: Rule


def resumed(placed: list[PlacedItem], first: int, cut: bool) -> list[PlacedItem]:
    """What is left for a viewer that goes on at a segment: an item that stood right before it was seen, unless it was cut short."""
    return placed if not first and not cut else [one for one in placed if one.before_segment > first or cut and one.before_segment == first]


def starts(source: Media) -> list[float]:
    """Programme time at which each segment begins, ms from the start; one more for the end."""
    found = [0.0]
    for segment in source.segments:
        found.append(found[-1] + segment.duration_ms)
    return found


def cues(source: Media, outline: Outline, name: str) -> list[float]:
    """Programme times of DATERANGEs of a class, ms from the start. One before the start, or behind the end, is none."""
    zero = next((clock - at for clock, at in zip(outline.programme_times, starts(source)) if clock is not None), None)
    found = []
    for segment in source.segments:
        for cue in segment.date_ranges:
            if cue.get("CLASS") == name and zero is not None:
                try:
                    found.append(time_ms(cue.get("START-DATE") or "") - zero)
                except ValueError:
                    continue
    return sorted(set(found))


def wishes(source: Media, outline: Outline, rules: list[Rule]) -> list[Wish]:
    """Every place at which a rule would like an item, earliest first; items of a rule take turns."""
    length, found = starts(source)[-1], []
    for order, rule in enumerate(rules):
        if rule.place == BEFORE:
            times = [0.0]
        elif rule.place == AFTER:
            times = [length]
        elif rule.place == AT:
            times = list(rule.at)
        elif rule.place == EVERY:
            times = [rule.at[0] * turn for turn in range(1, min(MOST_ITEMS, math.ceil(length / rule.at[0])))]
        else:
            times = cues(source, outline, rule.cue)
        taken = [at for at in times if 0 <= at <= length and (source.ended or at < length)]
        for turn, at in enumerate(taken[:rule.most or None]):
            found.append(Wish(at, -rule.rank, order, rule.items[turn % len(rule.items)], rule))
    return sorted(found, key=lambda wish: (wish.at_ms, wish.rank, wish.order))


def schedule(source: Media, rules: list[Rule], programme: Programme, left_ms: float = math.inf) -> list[PlacedItem]:
    """The session's items, in order of their places. `left_ms`: what the viewer is still expected to watch; an item
    longer than what remains of that is left out, as is one too near to the item before it."""
    outline, times = Outline(source), starts(source)
    found: list[PlacedItem] = []
    seen: dict[tuple, int] = {}
    last = -math.inf
    for wish in wishes(source, outline, rules):
        place = next((k for k, at in enumerate(times) if at >= wish.at_ms - 1e-6), len(times) - 1)
        at, piece = times[place], programme.pieces[wish.item]
        if len(found) >= MOST_ITEMS or at + piece.length_ms > left_ms:
            continue
        same_place = bool(found) and found[-1].before_segment == place
        if found and not same_place and at - last < wish.rule.gap_ms:
            continue
        if same_place and (wish.rule.gap_ms > 0 or seen.get((place, wish.item))):
            continue                             # it wants programme before it, or stands here already
        seen[place, wish.item] = 1
        found.append(PlacedItem(place, at, wish.item, wish.rule))
        last = at
    return found

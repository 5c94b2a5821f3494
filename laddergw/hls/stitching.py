"""Decides how items stand in a media playlist: cuts, keys, sections, ranges and programme time at each splice. Pure.

An insertion's place is the absolute media sequence number of the programme segment that it stands before, so that a
window that slides stitches the same at each reload. Programme time runs on through items: what comes after them is
later by their length. Every item stands whole or not at all. unstitch() gives the source back.
"""
from typing import Iterable, NamedTuple

from laddergw.hls import attributes
from laddergw.hls.attributes import Attributes
from laddergw.hls.values import Media, Segment, time_ms, time_text

ITEM_MARK = "#X-LADDERGW-ITEM:"     # a comment to players; unstitch() reads it
RESTATED_MS = 0.5              # a time this near to what follows from the ones before says nothing new
NO_KEY = Attributes((("METHOD", "NONE"),))


class StitchingError(ValueError):
    """An item that cannot stand there; the text says why."""


class Item(NamedTuple):
    """Something to be stitched in: a notice, an advertisement, a programme change."""
    name: str
    media: Media

    @property
    def length_ms(self) -> float:
        return sum(segment.duration_ms for segment in self.media.segments)

    @property
    def cuts(self) -> int:
        """Discontinuities within it, the one at its start included."""
        return 1 + sum(segment.discontinuity for segment in self.media.segments[1:])


class Insertion(NamedTuple):
    """An item before a programme segment. `has_own_discontinuity`: that segment has a discontinuity of its own, which counts itself."""
    sequence_number: int
    item: Item
    has_own_discontinuity: bool = False


class ActiveTags(NamedTuple):
    """What holds on at a segment because it was stated earlier."""
    keys: tuple[Attributes, ...] = ()
    map: Attributes | None = None


def usable(item: Item) -> None:
    """Raises StitchingError for an item that could never stand anywhere whole."""
    if not item.media.segments:
        raise StitchingError(f"item {item.name}: no segment")
    if not item.media.ended:
        raise StitchingError(f"item {item.name}: its playlist still grows")
    if '"' in item.name or not item.name:
        raise StitchingError(f"item {item.name!r}: not a name")


def standing(segments: Iterable[Segment], before: ActiveTags = ActiveTags()) -> ActiveTags:
    """What holds on behind these segments."""
    keys, section = before
    for segment in segments:
        keys, section = segment.keys or keys, segment.map or section
    return ActiveTags(keys, section)


class Outline:
    """What stitching needs to know of a source, worked out once: what holds on before each segment, and its time."""

    def __init__(self, source: Media):
        self.source = source
        self.active_tags, self.programme_times, self.restated = [], [], []
        state, clock = ActiveTags(), None
        for segment in source.segments:
            self.restated.append(clock is not None and segment.time_ms is not None and abs(segment.time_ms - clock) <= RESTATED_MS)
            clock = segment.time_ms if segment.time_ms is not None else clock
            self.active_tags.append(state)
            self.programme_times.append(clock)
            state = ActiveTags(segment.keys or state.keys, segment.map or state.map)
            clock = None if clock is None else clock + segment.duration_ms
        self.active_tags.append(state)
        self.programme_times.append(clock)

    def place_at(self, when: float) -> int | None:
        """The last segment that begins at or before a time, from the start of the playlist."""
        found = None
        for place, clock in enumerate(self.programme_times[:-1]):
            if clock is not None and clock <= when:
                found = place
        return found


class Plan:
    """Insertions against one source: what the head becomes, and how much later each segment stands."""

    def __init__(self, outline: Outline, insertions: Iterable[Insertion]):
        self.outline, source = outline, outline.source
        self.first, self.count = source.sequence, len(source.segments)
        places: dict[int, list[Insertion]] = {}
        for insertion in insertions:
            usable(insertion.item)
            places.setdefault(insertion.sequence_number - self.first, []).append(insertion)
        self.shown = {place: here for place, here in sorted(places.items())
                      if 0 <= place < self.count or place == self.count and source.ended}
        gone = [here for place, here in places.items() if place < 0]
        self.gone_ms = sum(one.item.length_ms for here in gone for one in here)
        self.marks, total = [], self.gone_ms
        for place, here in self.shown.items():
            total += sum(one.item.length_ms for one in here)
            self.marks.append((place, total))
        seen = [one.item.media for here in self.shown.values() for one in here]
        self.head = source._replace(
            sequence=source.sequence + sum(len(one.item.media.segments) for here in gone for one in here),
            discontinuity_sequence=source.discontinuity_sequence + sum(sum(one.item.cuts for one in here) + (not here[0].has_own_discontinuity) for here in gone),
            target_ms=max([source.target_ms] + [one.item.media.target_ms for here in places.values() for one in here]),
            independent_segments=source.independent_segments and all(media.independent_segments for media in seen),
            version=max((v for v in [source.version] + [media.version for media in seen] if v is not None), default=None))

    def shift(self, place: int) -> float:
        """How much later the source's segment at a place stands for the items before it, ms."""
        found = self.gone_ms
        for at, ms in self.marks:
            if at > place:
                break
            found = ms
        return found

    def splice(self, place: int) -> tuple[list[Segment], Segment | None]:
        """The items at a place, and the programme's segment behind them (None at the end)."""
        here, outline = self.shown[place], self.outline
        state, clock = outline.active_tags[place], outline.programme_times[place]
        at_ms = None if clock is None else clock + self.shift(place) - sum(one.item.length_ms for one in here)
        back, added = None, []
        if place < self.count:
            source = outline.source.segments
            back, added = back_to(source[place], source, place, state, here[-1].item, clock)
        items = placed(here, state, at_ms, added)
        return items, None if back is None else self.later(place, back, behind=True)

    def later(self, place: int, segment: Segment, behind: bool = False) -> Segment:
        """A programme segment as it stands behind items: a time that only says again what follows from the ones before it is left out."""
        shift = self.shift(place)
        if not shift:
            return segment
        if segment.time_ms is not None:
            if self.outline.restated[place] and not behind:
                segment = segment._replace(time_ms=None, time_text="")
            else:
                segment = segment._replace(time_ms=segment.time_ms + shift, time_text="")
        if segment.date_ranges:
            segment = segment._replace(date_ranges=tuple(map(self.moved, segment.date_ranges)))
        return segment

    def moved(self, found: Attributes) -> Attributes:
        """A DATERANGE starts later by the items before the segment at its start."""
        try:
            when = time_ms(found.get("START-DATE") or "")
        except ValueError:
            return found
        place = self.outline.place_at(when)
        shift = self.shift(place) if place is not None else 0.0
        return found.with_value("START-DATE", time_text(when + shift)) if shift else found


def stitch(source: Media, insertions: Iterable[Insertion]) -> Media:
    """The playlist with its items. Raises StitchingError; insertions whose place has left the window only count."""
    plan, out = Plan(Outline(source), insertions), []
    for place, segment in enumerate(source.segments):
        if place in plan.shown:
            items, segment = plan.splice(place)
            out += items + [segment]
        else:
            out.append(plan.later(place, segment))
    if plan.count in plan.shown:
        out += plan.splice(plan.count)[0]
    return plan.head._replace(segments=tuple(out))


def placed(here: list[Insertion], state: ActiveTags, at_ms: float | None, added: list[str]) -> list[Segment]:
    """The segments of the items at one place, in order."""
    out = []
    for index, insertion in enumerate(here):
        item, now = insertion.item, at_ms
        begins = standing(item.media.segments[:1])
        if state.map is not None and begins.map is None:
            raise StitchingError(f"item {item.name}: it has no initialisation section and what stands before it has one")
        for place, segment in enumerate(item.media.segments):
            segment = segment._replace(date_ranges=(), time_ms=None, time_text="")
            if place == 0:
                keys = segment.keys or ((NO_KEY,) if is_encrypted(state.keys) else ())
                note = f'{ITEM_MARK}NAME="{item.name}",SEGMENTS={len(item.media.segments)},ADDED="{" ".join(added) if index == len(here) - 1 else ""}"'
                segment = segment._replace(discontinuity=True, keys=keys, unknown_lines=(note,) + segment.unknown_lines,
                                           time_ms=now, byte_range=explicit(item.media.segments, 0))
            out.append(segment)
            now = None if now is None else now + segment.duration_ms
        at_ms = now
        state = standing(item.media.segments, ActiveTags((), state.map))
    return out


def is_encrypted(keys: tuple[Attributes, ...]) -> bool:
    return any(key.get("METHOD") != "NONE" for key in keys)


def back_to(segment: Segment, segments: tuple, offset: int, state: ActiveTags, item: Item, clock: float | None) -> tuple[Segment, list[str]]:
    """The programme's first segment behind items, with what must be stated anew there, and the names of what was."""
    added, left = [], standing(item.media.segments)
    if not segment.discontinuity:
        segment, added = segment._replace(discontinuity=True), added + ["cut"]
    if not segment.keys and (state.keys or is_encrypted(left.keys)):
        segment, added = segment._replace(keys=state.keys or (NO_KEY,)), added + ["keys"]
    if segment.map is None and left.map is not None:
        if state.map is None:
            raise StitchingError(f"item {item.name}: it has an initialisation section and the programme has none")
        segment, added = segment._replace(map=state.map), added + ["map"]
    if (full := explicit(segments, offset)) != segment.byte_range:
        segment, added = segment._replace(byte_range=full), added + ["range"]
    if segment.time_ms is None and clock is not None:
        segment, added = segment._replace(time_ms=clock), added + ["time"]
    return segment, added


def explicit(segments: tuple, offset: int) -> str | None:
    """A byte range with its start, which may follow from the segments before it."""
    found = segments[offset].byte_range
    if found is None or "@" in found:
        return found
    length, start, before = int(found), 0, offset - 1
    while before >= 0 and segments[before].uri == segments[offset].uri and segments[before].byte_range:
        size, _, told = segments[before].byte_range.partition("@")
        start += int(size)
        if told:
            return f"{length}@{start + int(told)}"
        before -= 1
    return found


def with_explicit_byte_ranges(media: Media) -> Media:
    """The playlist with a start in each byte range, so that a segment can stand without those before it."""
    out, last = [], None
    for segment in media.segments:
        if segment.byte_range is not None:
            size, _, start = segment.byte_range.partition("@")
            if not start and last is not None and last[0] == segment.uri:
                segment = segment._replace(byte_range=f"{size}@{last[1]}")
                start = str(last[1])
            last = (segment.uri, int(start) + int(size)) if start else None
        else:
            last = None
        out.append(segment)
    return media._replace(segments=tuple(out))


def item_marks(media: Media) -> list[tuple[int, Attributes]]:
    """(place in the playlist, mark) of each item that stands in it."""
    found = []
    for place, segment in enumerate(media.segments):
        for line in segment.unknown_lines:
            if line.startswith(ITEM_MARK):
                found.append((place, attributes.read(line[len(ITEM_MARK):])))
    return found


def unstitch(media: Media, source: Media) -> Media:
    """The programme of a stitched playlist, by its marks. `source` gives the head's values, and programme time as told."""
    times = {number: segment for number, segment in enumerate(source.segments)}
    out, skip, added = [], 0, None
    found = dict(item_marks(media))
    for place, segment in enumerate(media.segments):
        if place in found:
            skip, added = int(found[place].get("SEGMENTS")), (found[place].get("ADDED") or "").split()
        if skip:
            skip -= 1
            continue
        told = times[len(out)]
        if added:
            segment = without(segment, added, told)
        added = None
        out.append(segment._replace(time_ms=told.time_ms, time_text=told.time_text, date_ranges=told.date_ranges))
    return source._replace(segments=tuple(out))


def without(segment: Segment, added: list[str], told: Segment) -> Segment:
    changes: dict = {}
    if "cut" in added:
        changes["discontinuity"] = False
    if "keys" in added:
        changes["keys"] = ()
    if "map" in added:
        changes["map"] = None
    if "range" in added:
        changes["byte_range"] = told.byte_range
    return segment._replace(**changes)

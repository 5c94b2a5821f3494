"""Inserts items into a media playlist: discontinuities, keys, sections, ranges and programme time at each splice. No I/O.

An insertion is placed before a programme segment, given by its absolute media sequence number, so that a sliding window is
stitched the same at each reload. Programme time runs on through items: segments after them are later by their length.
Every item is inserted whole or not at all. unstitch() returns the source."""
from typing import Iterable, NamedTuple

from laddergw.hls import attributes
from laddergw.hls.attributes import Attributes
from laddergw.hls.values import Media, Segment, time_ms, time_text

ITEM_MARK = "#X-LADDERGW-ITEM:"     # a comment to players; unstitch() reads it
TIME_TOLERANCE_MS = 0.5             # a time this close to the one that follows from earlier segments is redundant
NO_KEY = Attributes((("METHOD", "NONE"),))


class StitchingError(ValueError):
    """An item that cannot be inserted at its place; the text says why."""


class Item(NamedTuple):
    """A playlist to be inserted: a notice, an advertisement, a programme change."""
    name: str
    media: Media

    @property
    def length_ms(self) -> float:
        return sum(segment.duration_ms for segment in self.media.segments)

    @property
    def discontinuities(self) -> int:
        """Discontinuities within the item, including the one at its start."""
        return 1 + sum(segment.discontinuity for segment in self.media.segments[1:])


class Insertion(NamedTuple):
    """An item before a programme segment. `has_own_discontinuity`: the source has one at that segment, so none is added."""
    sequence_number: int
    item: Item
    has_own_discontinuity: bool = False


class ActiveTags(NamedTuple):
    """Tags of earlier segments that still apply at a segment."""
    keys: tuple[Attributes, ...] = ()
    map: Attributes | None = None


def check_item(item: Item) -> None:
    """Raises StitchingError for an item that could not be inserted anywhere."""
    if not item.media.segments:
        raise StitchingError(f"item {item.name}: no segments")
    if not item.media.ended:
        raise StitchingError(f"item {item.name}: its playlist has no EXT-X-ENDLIST")
    if '"' in item.name or not item.name:
        raise StitchingError(f"item {item.name!r}: invalid name")


def active_tags_after(segments: Iterable[Segment], before: ActiveTags = ActiveTags()) -> ActiveTags:
    """Returns the tags that apply after these segments."""
    keys, section = before
    for segment in segments:
        keys, section = segment.keys or keys, segment.map or section
    return ActiveTags(keys, section)


class Outline:
    """Computed once for a source: each segment's active tags, its programme time (ms, or None), whether its tag is redundant."""

    def __init__(self, source: Media):
        self.source = source
        self.active_tags, self.programme_times, self.time_is_redundant = [], [], []
        active, clock_ms = ActiveTags(), None
        for segment in source.segments:
            self.time_is_redundant.append(clock_ms is not None and segment.time_ms is not None and abs(segment.time_ms - clock_ms) <= TIME_TOLERANCE_MS)
            clock_ms = segment.time_ms if segment.time_ms is not None else clock_ms
            self.active_tags.append(active)
            self.programme_times.append(clock_ms)
            active = ActiveTags(segment.keys or active.keys, segment.map or active.map)
            clock_ms = None if clock_ms is None else clock_ms + segment.duration_ms
        self.active_tags.append(active)
        self.programme_times.append(clock_ms)

    def index_at(self, at_ms: float) -> int | None:
        """Returns the index of the last segment that begins at or before a programme time."""
        found = None
        for index, clock_ms in enumerate(self.programme_times[:-1]):
            if clock_ms is not None and clock_ms <= at_ms:
                found = index
        return found


class Plan:
    """Insertions into one source: the resulting head, and how much later each segment is. Indexes count the source's segments."""

    def __init__(self, outline: Outline, insertions: Iterable[Insertion]):
        self.outline, source = outline, outline.source
        self.first, self.count = source.sequence, len(source.segments)
        groups: dict[int, list[Insertion]] = {}
        for insertion in insertions:
            check_item(insertion.item)
            groups.setdefault(insertion.sequence_number - self.first, []).append(insertion)
        self.visible = {index: group for index, group in sorted(groups.items())
                        if 0 <= index < self.count or index == self.count and source.ended}
        expired = [group for index, group in groups.items() if index < 0]
        self.expired_ms = sum(one.item.length_ms for group in expired for one in group)
        self.shifts, total_ms = [], self.expired_ms
        for index, group in self.visible.items():
            total_ms += sum(one.item.length_ms for one in group)
            self.shifts.append((index, total_ms))
        visible_media = [one.item.media for group in self.visible.values() for one in group]
        self.head = source._replace(
            sequence=source.sequence + sum(len(one.item.media.segments) for group in expired for one in group),
            discontinuity_sequence=source.discontinuity_sequence + sum(sum(one.item.discontinuities for one in group) + (not group[0].has_own_discontinuity) for group in expired),
            target_ms=max([source.target_ms] + [one.item.media.target_ms for group in groups.values() for one in group]),
            independent_segments=source.independent_segments and all(media.independent_segments for media in visible_media),
            version=max((v for v in [source.version] + [media.version for media in visible_media] if v is not None), default=None))

    def shift_ms(self, index: int) -> float:
        """Returns how much later the segment is because of the items before it."""
        found = self.expired_ms
        for position, ms in self.shifts:
            if position > index:
                break
            found = ms
        return found

    def splice(self, index: int) -> tuple[list[Segment], Segment | None]:
        """Returns the segments of the items at an index, and the programme segment after them (None at the end)."""
        group, outline = self.visible[index], self.outline
        active, clock_ms = outline.active_tags[index], outline.programme_times[index]
        start_ms = None if clock_ms is None else clock_ms + self.shift_ms(index) - sum(one.item.length_ms for one in group)
        resumed, added = None, []
        if index < self.count:
            segments = outline.source.segments
            resumed, added = resume_programme(segments[index], segments, index, active, group[-1].item, clock_ms)
        items = item_segments(group, active, start_ms, added)
        return items, None if resumed is None else self.shifted(index, resumed, after_item=True)

    def shifted(self, index: int, segment: Segment, after_item: bool = False) -> Segment:
        """Returns a programme segment moved in time by the items before it; a redundant time is left out."""
        shift = self.shift_ms(index)
        if not shift:
            return segment
        if segment.time_ms is not None:
            if self.outline.time_is_redundant[index] and not after_item:
                segment = segment._replace(time_ms=None, time_text="")
            else:
                segment = segment._replace(time_ms=segment.time_ms + shift, time_text="")
        if segment.date_ranges:
            segment = segment._replace(date_ranges=tuple(map(self.shift_date_range, segment.date_ranges)))
        return segment

    def shift_date_range(self, date_range: Attributes) -> Attributes:
        """Moves a date range's start by the items before the segment at its start."""
        try:
            start_ms = time_ms(date_range.get("START-DATE") or "")
        except ValueError:
            return date_range
        index = self.outline.index_at(start_ms)
        shift = self.shift_ms(index) if index is not None else 0.0
        return date_range.with_value("START-DATE", time_text(start_ms + shift)) if shift else date_range


def stitch(source: Media, insertions: Iterable[Insertion]) -> Media:
    """Returns the playlist with its items. Items that have left the window only change the head. Raises StitchingError."""
    plan, out = Plan(Outline(source), insertions), []
    for index, segment in enumerate(source.segments):
        if index in plan.visible:
            items, segment = plan.splice(index)
            out += items + [segment]
        else:
            out.append(plan.shifted(index, segment))
    if plan.count in plan.visible:
        out += plan.splice(plan.count)[0]
    return plan.head._replace(segments=tuple(out))


def item_segments(group: list[Insertion], active: ActiveTags, start_ms: float | None, added: list[str]) -> list[Segment]:
    """Returns the segments of the items at one place, in order. `added`: tags added to the programme segment after them."""
    out = []
    for index, insertion in enumerate(group):
        item, clock_ms = insertion.item, start_ms
        first_tags = active_tags_after(item.media.segments[:1])
        if active.map is not None and first_tags.map is None:
            raise StitchingError(f"item {item.name}: it has no initialisation section and the segment before it has one")
        for position, segment in enumerate(item.media.segments):
            segment = segment._replace(date_ranges=(), time_ms=None, time_text="")
            if position == 0:
                keys = segment.keys or ((NO_KEY,) if is_encrypted(active.keys) else ())
                mark = f'{ITEM_MARK}NAME="{item.name}",SEGMENTS={len(item.media.segments)},ADDED="{" ".join(added) if index == len(group) - 1 else ""}"'
                segment = segment._replace(discontinuity=True, keys=keys, unknown_lines=(mark,) + segment.unknown_lines,
                                           time_ms=clock_ms, byte_range=explicit_byte_range(item.media.segments, 0))
            out.append(segment)
            clock_ms = None if clock_ms is None else clock_ms + segment.duration_ms
        start_ms = clock_ms
        active = active_tags_after(item.media.segments, ActiveTags((), active.map))
    return out


def is_encrypted(keys: tuple[Attributes, ...]) -> bool:
    """Returns whether a key encrypts; METHOD=NONE does not."""
    return any(key.get("METHOD") != "NONE" for key in keys)


def resume_programme(segment: Segment, segments: tuple, index: int, active: ActiveTags, item: Item, clock_ms: float | None) -> tuple[Segment, list[str]]:
    """Returns the first programme segment after items with the tags that must be repeated there, and the names of those."""
    added, item_tags = [], active_tags_after(item.media.segments)
    if not segment.discontinuity:
        segment, added = segment._replace(discontinuity=True), added + ["cut"]
    if not segment.keys and (active.keys or is_encrypted(item_tags.keys)):
        segment, added = segment._replace(keys=active.keys or (NO_KEY,)), added + ["keys"]
    if segment.map is None and item_tags.map is not None:
        if active.map is None:
            raise StitchingError(f"item {item.name}: it has an initialisation section and the programme has none")
        segment, added = segment._replace(map=active.map), added + ["map"]
    if (byte_range := explicit_byte_range(segments, index)) != segment.byte_range:
        segment, added = segment._replace(byte_range=byte_range), added + ["range"]
    if segment.time_ms is None and clock_ms is not None:
        segment, added = segment._replace(time_ms=clock_ms), added + ["time"]
    return segment, added


def explicit_byte_range(segments: tuple, index: int) -> str | None:
    """Returns a segment's byte range with its start, which may follow from the segments before it."""
    byte_range = segments[index].byte_range
    if byte_range is None or "@" in byte_range:
        return byte_range
    length, start, before = int(byte_range), 0, index - 1
    while before >= 0 and segments[before].uri == segments[index].uri and segments[before].byte_range:
        size, _, offset = segments[before].byte_range.partition("@")
        start += int(size)
        if offset:
            return f"{length}@{start + int(offset)}"
        before -= 1
    return byte_range


def with_explicit_byte_ranges(media: Media) -> Media:
    """Returns the playlist with a start in each byte range, so that no segment depends on those before it."""
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
    """Returns (segment index, mark) of each item in a stitched playlist."""
    found = []
    for index, segment in enumerate(media.segments):
        for line in segment.unknown_lines:
            if line.startswith(ITEM_MARK):
                found.append((index, attributes.read(line[len(ITEM_MARK):])))
    return found


def unstitch(media: Media, source: Media) -> Media:
    """Removes the items from a stitched playlist by their marks; `source` gives the head, programme time and date ranges."""
    originals = {number: segment for number, segment in enumerate(source.segments)}
    out, to_skip, added = [], 0, None
    found = dict(item_marks(media))
    for index, segment in enumerate(media.segments):
        if index in found:
            to_skip, added = int(found[index].get("SEGMENTS")), (found[index].get("ADDED") or "").split()
        if to_skip:
            to_skip -= 1
            continue
        original = originals[len(out)]
        if added:
            segment = remove_added_tags(segment, added, original)
        added = None
        out.append(segment._replace(time_ms=original.time_ms, time_text=original.time_text, date_ranges=original.date_ranges))
    return source._replace(segments=tuple(out))


def remove_added_tags(segment: Segment, added: list[str], original: Segment) -> Segment:
    changes: dict = {}
    if "cut" in added:
        changes["discontinuity"] = False
    if "keys" in added:
        changes["keys"] = ()
    if "map" in added:
        changes["map"] = None
    if "range" in added:
        changes["byte_range"] = original.byte_range
    return segment._replace(**changes)

"""Composes one session's media playlist as it grows: listed segments stay, new ones follow the control module's choices.

The playlist is of type EVENT: each reload lists a few more segments, at the node and rung in force then. So a rung change or a
move reaches the player with its next reload, no segment is redirected, and an item's source is chosen shortly before its splice,
not at the session's start. Times are ms; the clock is passed in. docs/stitching.md compares this with a complete playlist whose
segments are redirected.
"""
from typing import Callable, NamedTuple
from urllib.parse import urljoin

from laddergw.hls.attributes import Attributes
from laddergw.hls.reading import read
from laddergw.hls.stitching import ITEM_MARK, NO_KEY, ActiveTags, Item, Outline, is_encrypted, with_explicit_byte_ranges
from laddergw.hls.values import Media, Segment, time_ms, time_text
from laddergw.hls.writing import segment_text, write
from laddergw.programme.schedule import PlacedItem, segment_starts
from laddergw.programme.sources import FETCH_LEAD_MS, ChosenSource

# Listed beyond what is being played: two segments of six seconds, enough for a player to start and not to stall
AHEAD_MS = 12_000.0
# A viewer's sum of durations may differ so far from the edge's
RESUME_TOLERANCE_MS = 1.0
# An item is postponed this often, then left out
MAX_POSTPONEMENTS = 3
# Names in a session's addresses: a segment's bytes; its initialisation section and keys
SEGMENT_PREFIX, RESOURCE_PREFIX = "seg-", "by-"
ENDLIST = b"#EXT-X-ENDLIST\n"


class SegmentSource(NamedTuple):
    """Where segments come from for now: node, rung, and the base URL of their addresses."""
    node: int
    rung: int
    base: str


class SegmentOrigin(NamedTuple):
    """Where a listed segment came from: its node, the base URL then, its address below that (or below another node's base), and its item, if any."""
    node: int
    base: str
    uri: str
    item: str | None
    # Session time at the segment's end
    ends_ms: float
    # Addresses of its initialisation section and keys, as the node's playlist has them
    resources: tuple[str, ...] = ()

    def address(self, base: str, resource: int | None = None) -> str:
        """The URL of the segment's bytes, or of one of its resources, below `base`."""
        return urljoin(base, self.uri if resource is None else self.resources[resource])


class AvailableItem(NamedTuple):
    """An item that can be inserted now: the item, the base URL of its addresses, and its node."""
    item: Item
    base: str
    node: int = 0


class ItemDecision(NamedTuple):
    """What became of one placed item, for logs and metrics."""
    at_ms: float
    item: str
    # shown, later, left out
    outcome: str
    why: str


class TitlePlaylists:
    """A title's media playlists by rung, shared by all its sessions. Raises ValueError where their segments differ in number or length."""

    def __init__(self, rungs: tuple[Media, ...]):
        self.rungs = rungs = tuple(with_explicit_byte_ranges(media) for media in rungs)
        self.outlines = tuple(Outline(media) for media in rungs)
        if len({tuple(round(s.duration_ms) for s in media.segments) for media in rungs}) != 1:
            raise ValueError("the rungs' segments differ in number or length")
        if not rungs[0].segments:
            raise ValueError("it has no segment")
        self.starts = segment_starts(rungs[0])
        self.target_ms = max(media.target_ms for media in rungs)
        self.version = max((media.version for media in rungs if media.version is not None), default=None)
        self.independent = all(media.independent_segments for media in rungs)

    def head(self, target_ms: float) -> bytes:
        """The lines before the first segment, for a target duration."""
        return write(Media((), target_ms, playlist_type="EVENT", version=self.version, independent_segments=self.independent)).encode()

    def resume_segment(self, from_ms: float) -> int:
        """The segment at which a viewer resumes that has seen the programme up to a time, ms."""
        return next((k for k, start in enumerate(self.starts[:-1]) if start >= from_ms - RESUME_TOLERANCE_MS), len(self.starts) - 2)


class Composer:
    """The playlist of one session. `address_of`, where given, makes the address of a name such as seg-4; otherwise addresses are the nodes' own.
    `target_ms` must suffice for every item that may come: a playlist's target duration never changes. `first`: programme segment to begin with."""

    def __init__(self, title: TitlePlaylists, placed: list[PlacedItem], address_of: Callable[[str], str] | None = None,
                 target_ms: float = 0.0, first: int = 0):
        self.rungs, self.outlines, self.starts = title.rungs, title.outlines, title.starts
        self.placed = sorted(placed, key=lambda one: one.before_segment)
        # Programme segment that comes next
        self.next = first
        # Session time that is listed so far, items included
        self.listed_ms = 0.0
        # Programme time of the session's start, ms since 1970; None: the title has none
        self.start_time = self.outlines[0].programme_times[first]
        self.address_of, self.origins = address_of, []
        self.body = bytearray()
        # Keys and section in force after the last listed segment
        self.active_tags = ActiveTags()
        # Of the last programme segment; None after an item
        self.last_source: SegmentSource | None = None
        self.target_ms = max(title.target_ms, target_ms)
        self.head = title.head(self.target_ms)
        # By name of rule
        self.postponements: dict[str, int] = {}
        self.decisions: list[ItemDecision] = []
        self.ended = False

    def extend(self, played_ms: float, source: SegmentSource, choose: Callable[[PlacedItem, float], ChosenSource],
               get_item: Callable[[ChosenSource], AvailableItem | None]) -> int:
        """Lists segments up to AHEAD_MS beyond what has been played (session time, ms). `choose(placed, lead_ms)` decides about an item
        whose splice comes in lead_ms; `get_item` returns what was chosen. Returns how many segments were added."""
        before = len(self.origins)
        while not self.ended and self.listed_ms < played_ms + AHEAD_MS:
            if self.placed and self.placed[0].before_segment <= self.next:
                if not self.add_item(self.placed[0], max(FETCH_LEAD_MS, self.listed_ms - played_ms), choose, get_item):
                    break
            elif self.next < len(self.rungs[0].segments):
                self.add_programme_segment(source)
            else:
                self.ended = True
        return len(self.origins) - before

    def add_item(self, placed: PlacedItem, lead_ms: float, choose, get_item) -> bool:
        """Inserts, postpones or leaves out the item that comes next; False: it must be waited for."""
        chosen = choose(placed, lead_ms)
        if chosen.wait:
            return False
        self.placed.pop(0)
        self.carry_out(placed, chosen, get_item)
        return True

    def carry_out(self, placed: PlacedItem, chosen: ChosenSource, get_item) -> None:
        """Carries out what was chosen for an item, and records it."""
        if chosen.later_ms is not None:
            return self.postpone(placed, chosen)
        available = get_item(chosen) if chosen.item is not None else None
        if available is None or not self.can_insert(available.item):
            return self.record_decision(placed, placed.item, "left out", chosen.why or "it is not available or cannot be inserted here")
        segments = with_explicit_byte_ranges(available.item.media).segments
        for index, segment in enumerate(segments):
            if index == 0:
                segment = self.with_discontinuity(segment, ActiveTags())
                note = f'{ITEM_MARK}NAME="{available.item.name}",SEGMENTS={len(segments)}'
                segment = segment._replace(unknown_lines=(note,) + segment.unknown_lines)
            self.append(segment._replace(date_ranges=(), time_ms=self.programme_time() if index == 0 else None, time_text=""), available.base,
                      available.node, available.item.name)
        self.last_source = None
        return self.record_decision(placed, available.item.name, "shown", chosen.why)

    def postpone(self, placed: PlacedItem, chosen: ChosenSource) -> None:
        """Moves an item to a later segment; leaves it out once it was postponed too often or would come at the programme's end."""
        times = self.postponements[placed.rule.name] = self.postponements.get(placed.rule.name, 0) + 1
        at = self.starts[min(placed.before_segment, len(self.starts) - 1)] + chosen.later_ms
        index = next((k for k, start in enumerate(self.starts) if start >= at), None)
        if times > MAX_POSTPONEMENTS or index is None or index >= len(self.starts) - 1:
            return self.record_decision(placed, placed.item, "left out", chosen.why)
        self.placed = sorted(self.placed + [placed._replace(before_segment=index, at_ms=self.starts[index])], key=lambda one: one.before_segment)
        return self.record_decision(placed, placed.item, "later", chosen.why)

    def record_decision(self, placed: PlacedItem, item: str, outcome: str, why: str) -> None:
        """Keeps what became of a placed item."""
        self.decisions.append(ItemDecision(placed.at_ms, item, outcome, why))

    def can_insert(self, item: Item) -> bool:
        """Whether an item can be inserted whole: its playlist has ended, no segment exceeds the target duration, and either both the item and the
        programme have initialisation sections or neither has."""
        section = self.outlines[0].active_tags[min(self.next, len(self.outlines[0].active_tags) - 2) + 1].map
        own = item.media.segments[0].map if item.media.segments else None
        return bool(item.media.segments) and item.media.ended and (section is None) == (own is None) and required_target_ms(item.media) <= self.target_ms

    def add_programme_segment(self, source: SegmentSource) -> None:
        """Lists the next programme segment, from the source in force; after an item or a change of rung it begins with a discontinuity."""
        segment, outline = self.rungs[source.rung].segments[self.next], self.outlines[source.rung]
        is_cut = self.last_source is None or self.last_source.rung != source.rung
        shift = 0.0 if self.start_time is None else self.programme_time() - (
            outline.programme_times[self.next] if outline.programme_times[self.next] is not None else self.programme_time())
        if is_cut and (self.origins or self.next):
            segment = self.with_discontinuity(segment, outline.active_tags[self.next])._replace(time_ms=self.programme_time(), time_text="")
        elif segment.time_ms is not None:
            segment = segment._replace(time_ms=self.programme_time(), time_text="")
        if shift and segment.date_ranges:
            segment = segment._replace(date_ranges=tuple(shift_start_date(date_range, shift) for date_range in segment.date_ranges))
        self.append(segment, source.base, source.node)
        self.last_source, self.next = source, self.next + 1

    def with_discontinuity(self, segment: Segment, state: ActiveTags) -> Segment:
        """A segment after a discontinuity: the tags in force in its own playlist are stated again, and encryption in force here is ended."""
        keys = segment.keys or state.keys or ((NO_KEY,) if is_encrypted(self.active_tags.keys) else ())
        return segment._replace(discontinuity=bool(self.origins), keys=keys, map=segment.map or state.map)

    def programme_time(self) -> float | None:
        """Programme time at the end of what is listed, ms since 1970."""
        return None if self.start_time is None else self.start_time + self.listed_ms

    def append(self, segment: Segment, base: str, node: int, item: str | None = None) -> None:
        """Lists a segment: its own address and those of its keys and section are replaced, and its origin is kept."""
        number, resources = len(self.origins), []

        def with_address(tag: Attributes) -> Attributes:
            uri = tag.get("URI")
            if uri is None:
                return tag
            resources.append(uri)
            return tag.with_value("URI", urljoin(base, uri) if self.address_of is None
                                    else self.address_of(f"{RESOURCE_PREFIX}{number}-{len(resources) - 1}"))
        self.active_tags = ActiveTags(segment.keys or self.active_tags.keys, segment.map or self.active_tags.map)
        uri = segment.uri
        segment = segment._replace(
            uri=urljoin(base, uri) if self.address_of is None else self.address_of(f"{SEGMENT_PREFIX}{number}"), keys=tuple(map(with_address, segment.keys)),
            map=None if segment.map is None else with_address(segment.map))
        self.listed_ms += segment.duration_ms
        self.origins.append(SegmentOrigin(node, base, uri, item, self.listed_ms, tuple(resources)))
        self.body += segment_text(segment).encode() + b"\n"

    def text(self) -> bytes:
        """The playlist as the player gets it now. Listed segments are kept as written, so that a reload costs one copy."""
        return b"".join((self.head, self.body, ENDLIST if self.ended else b""))

    def media(self) -> Media:
        """text(), parsed."""
        playlist = read(self.text())
        assert isinstance(playlist, Media)
        return playlist


def required_target_ms(media: Media) -> float:
    """The target duration that the longest segment of a playlist needs, ms."""
    return max(int(segment.duration_ms / 1000 + 0.5) * 1000.0 for segment in media.segments)


def shift_start_date(date_range: Attributes, shift: float) -> Attributes:
    """Moves the START-DATE of a date range by ms; one without a readable date stays as it is."""
    try:
        return date_range.with_value("START-DATE", time_text(time_ms(date_range.get("START-DATE") or "") + shift))
    except ValueError:
        return date_range

"""Keeps one session's media playlist as it grows: what was shown stays, what comes next follows the module's choices.

The playlist is of type EVENT: each reload shows a few segments more, at the node and rung in force then. So a rung change or a
move reaches the player by its next reload, no segment is redirected, and an item's source is chosen when its splice comes
near, not at the session's start. Times are ms; the clock is handed in. docs/stitching.md weighs this against a whole
playlist with redirected segments.
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

AHEAD_MS = 12_000.0        # shown beyond what plays: two segments of six seconds, enough for a player to start and hold
RESUME_MS = 1.0            # a viewer's sum of durations strays so far from ours
MAX_POSTPONEMENTS = 3           # an item is put off so often, then left out
SEGMENT, BESIDE = "seg-", "by-"    # names of what a session shows: a segment's bytes; its section and keys
ENDLIST = b"#EXT-X-ENDLIST\n"


class SegmentSource(NamedTuple):
    """Where segments come from for now. `base` goes before their addresses."""
    node: int
    rung: int
    base: str


class Origin(NamedTuple):
    """Where a shown segment's bytes lie: the node and its address then, and what may go before the address elsewhere."""
    node: int
    base: str
    uri: str
    item: str | None
    ends_ms: float         # of the session's time
    beside: tuple[str, ...] = ()   # addresses of its section and keys, as they stood there

    def address(self, base: str, beside: int | None = None) -> str:
        """Where its bytes lie, or what stands beside them, behind `base`."""
        return urljoin(base, self.uri if beside is None else self.beside[beside])


class AvailableItem(NamedTuple):
    """An item that can be had: the item, what goes before its addresses, and its node."""
    item: Item
    base: str
    node: int = 0


class Decision(NamedTuple):
    """What became of one placed item, for logs and metrics."""
    at_ms: float
    item: str
    done: str              # shown, later, left out
    why: str


class TitlePlaylists:
    """A title's media playlists by rung, their segments alike in number and length; one for all its sessions."""

    def __init__(self, rungs: tuple[Media, ...]):
        self.rungs = rungs = tuple(with_explicit_byte_ranges(media) for media in rungs)
        self.outlines = tuple(Outline(media) for media in rungs)
        if len({tuple(round(s.duration_ms) for s in media.segments) for media in rungs}) != 1:
            raise ValueError("the rungs' segments differ in number or length")
        if not rungs[0].segments:
            raise ValueError("it has no segment")
        self.starts = segment_starts(rungs[0])
        self.target = max(media.target_ms for media in rungs)
        self.version = max((media.version for media in rungs if media.version is not None), default=None)
        self.independent = all(media.independent_segments for media in rungs)

    def head(self, target_ms: float) -> bytes:
        return write(Media((), target_ms, playlist_type="EVENT", version=self.version, independent_segments=self.independent)).encode()

    def place(self, from_ms: float) -> int:
        """The segment with which a viewer goes on that has seen the programme up to a time, ms."""
        return next((k for k, start in enumerate(self.starts[:-1]) if start >= from_ms - RESUME_MS), len(self.starts) - 2)


class Composer:
    """One session. `name`, where given, makes the address of what is shown, such as seg-4; else it is the node's own. `target_ms`
    must hold for every item that may come: a playlist's target duration never changes. `first`: programme segment to begin with."""

    def __init__(self, title: TitlePlaylists, placed: list[PlacedItem], name: Callable[[str], str] | None = None, target_ms: float = 0.0,
                 first: int = 0):
        self.rungs, self.outlines, self.starts = title.rungs, title.outlines, title.starts
        self.placed = sorted(placed, key=lambda one: one.before_segment)
        self.next = first                      # programme segment that comes next
        self.shown_ms = 0.0                    # of the session's own time, items included
        self.zero = self.outlines[0].programme_times[first]
        self.name, self.origins = name, []
        self.body = bytearray()
        self.left = ActiveTags()               # what holds on behind the last segment shown
        self.last: SegmentSource | None = None           # era of the last programme segment, None behind an item
        self.target = max(title.target, target_ms)
        self.head = title.head(self.target)
        self.put_off: dict[str, int] = {}
        self.decisions: list[Decision] = []
        self.ended = False

    # Growing

    def extend(self, played_ms: float, era: SegmentSource, choose: Callable[[PlacedItem, float], ChosenSource], serve: Callable[[ChosenSource], AvailableItem | None]) -> int:
        """Shows what belongs within AHEAD_MS of what is played (session time, ms). `choose(placed, lead_ms)` decides an item whose
        splice comes in lead_ms; `serve` gives what was chosen. Returns how many segments came."""
        before = len(self.origins)
        while not self.ended and self.shown_ms < played_ms + AHEAD_MS:
            if self.placed and self.placed[0].before_segment <= self.next:
                if not self.item(self.placed[0], max(FETCH_LEAD_MS, self.shown_ms - played_ms), choose, serve):
                    break
            elif self.next < len(self.rungs[0].segments):
                self.programme(era)
            else:
                self.ended = True
        return len(self.origins) - before

    def item(self, placed: PlacedItem, lead_ms: float, choose, serve) -> bool:
        """Shows, puts off or leaves out the item that comes next; False: it must be waited for."""
        chosen = choose(placed, lead_ms)
        if chosen.wait:
            return False
        self.placed.pop(0)
        self.settle(placed, chosen, serve)
        return True

    def settle(self, placed: PlacedItem, chosen: ChosenSource, serve) -> None:
        if chosen.later_ms is not None:
            return self.postpone(placed, chosen)
        served = serve(chosen) if chosen.item is not None else None
        if served is None or not self.can_stand(served.item):
            return self.decided(placed, placed.item, "left out", chosen.why or "it cannot be had or cannot stand here")
        segments = with_explicit_byte_ranges(served.item.media).segments
        for place, segment in enumerate(segments):
            if place == 0:
                segment = self.entering(segment, ActiveTags())
                note = f'{ITEM_MARK}NAME="{served.item.name}",SEGMENTS={len(segments)}'
                segment = segment._replace(unknown_lines=(note,) + segment.unknown_lines)
            self.show(segment._replace(date_ranges=(), time_ms=self.now() if place == 0 else None, time_text=""), served.base,
                      served.node, served.item.name)
        self.last = None
        return self.decided(placed, served.item.name, "shown", chosen.why)

    def postpone(self, placed: PlacedItem, chosen: ChosenSource) -> None:
        times = self.put_off[placed.rule.name] = self.put_off.get(placed.rule.name, 0) + 1
        at = self.starts[min(placed.before_segment, len(self.starts) - 1)] + chosen.later_ms
        place = next((k for k, start in enumerate(self.starts) if start >= at), None)
        if times > MAX_POSTPONEMENTS or place is None or place >= len(self.starts) - 1:
            return self.decided(placed, placed.item, "left out", chosen.why)
        self.placed = sorted(self.placed + [placed._replace(before_segment=place, at_ms=self.starts[place])], key=lambda one: one.before_segment)
        return self.decided(placed, placed.item, "later", chosen.why)

    def decided(self, placed: PlacedItem, item: str, done: str, why: str) -> None:
        self.decisions.append(Decision(placed.at_ms, item, done, why))

    def can_stand(self, item: Item) -> bool:
        """Whole or not at all: it ends, no segment is over the target, and both or neither have initialisation sections."""
        section = self.outlines[0].active_tags[min(self.next, len(self.outlines[0].active_tags) - 2) + 1].map
        own = item.media.segments[0].map if item.media.segments else None
        return bool(item.media.segments) and item.media.ended and (section is None) == (own is None) and longest(item.media) <= self.target

    def programme(self, era: SegmentSource) -> None:
        segment, outline = self.rungs[era.rung].segments[self.next], self.outlines[era.rung]
        fresh = self.last is None or self.last.rung != era.rung
        shift = 0.0 if self.zero is None else self.now() - (outline.programme_times[self.next] if outline.programme_times[self.next] is not None else self.now())
        if fresh and (self.origins or self.next):
            segment = self.entering(segment, outline.active_tags[self.next])._replace(time_ms=self.now(), time_text="")
        elif segment.time_ms is not None:
            segment = segment._replace(time_ms=self.now(), time_text="")
        if shift and segment.date_ranges:
            segment = segment._replace(date_ranges=tuple(later(found, shift) for found in segment.date_ranges))
        self.show(segment, era.base, era.node)
        self.last, self.next = era, self.next + 1

    def entering(self, segment: Segment, state: ActiveTags) -> Segment:
        """A segment behind a cut: what held on in its own playlist is stated anew, what held on here is ended."""
        keys = segment.keys or state.keys or ((NO_KEY,) if is_encrypted(self.left.keys) else ())
        return segment._replace(discontinuity=bool(self.origins), keys=keys, map=segment.map or state.map)

    def now(self) -> float | None:
        return None if self.zero is None else self.zero + self.shown_ms

    def show(self, segment: Segment, base: str, node: int, item: str | None = None) -> None:
        number, beside = len(self.origins), []

        def named(found: Attributes) -> Attributes:
            uri = found.get("URI")
            if uri is None:
                return found
            beside.append(uri)
            return found.with_value("URI", urljoin(base, uri) if self.name is None else self.name(f"{BESIDE}{number}-{len(beside) - 1}"))
        self.left = ActiveTags(segment.keys or self.left.keys, segment.map or self.left.map)
        uri = segment.uri
        segment = segment._replace(
            uri=urljoin(base, uri) if self.name is None else self.name(f"{SEGMENT}{number}"), keys=tuple(map(named, segment.keys)),
            map=None if segment.map is None else named(segment.map))
        self.shown_ms += segment.duration_ms
        self.origins.append(Origin(node, base, uri, item, self.shown_ms, tuple(beside)))
        self.body += segment_text(segment).encode() + b"\n"

    def text(self) -> bytes:
        """The playlist as the player gets it now: what is shown stands as it was written, so that a reload costs a copy."""
        return b"".join((self.head, self.body, ENDLIST if self.ended else b""))

    def media(self) -> Media:
        """What text() says."""
        found = read(self.text())
        assert isinstance(found, Media)
        return found


def longest(media: Media) -> float:
    """The target duration that its longest segment needs, ms."""
    return max(int(segment.duration_ms / 1000 + 0.5) * 1000.0 for segment in media.segments)


def later(found: Attributes, shift: float) -> Attributes:
    try:
        return found.with_value("START-DATE", time_text(time_ms(found.get("START-DATE") or "") + shift))
    except ValueError:
        return found

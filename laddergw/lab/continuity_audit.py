"""Continuity check: examines playlists as a player receives them, reload by reload. Independent of the stitcher's code.

It ignores the stitcher's marks and checks for itself: sequence numbers, discontinuities, programme time, target duration,
and whether known items are complete. Times are ms.
"""
from typing import NamedTuple

from laddergw.hls.values import Media, Segment

TIME_SLACK_MS = 1.0        # per segment: programme time is written to the millisecond


class TimingFault(NamedTuple):
    """One fault, with the sequence number at which it appears."""
    kind: str
    number: int
    what: str


KINDS = ("back", "cuts", "repeat", "missing", "time", "target", "item", "changed")


class Judge:
    """Follows one session's media playlists over its reloads. `items`: addresses of each item's segments, in order."""

    def __init__(self, items: dict[str, tuple[str, ...]] | None = None):
        self.items = items or {}
        self.item_of = {uri: name for name, uris in self.items.items() for uri in uris}
        self.seen: dict[int, tuple] = {}       # by absolute number: the segment there
        self.discontinuities: dict[int, int] = {}         # by absolute number: its discontinuity sequence
        self.last_first, self.target = -1, None
        self.faults: list[TimingFault] = []

    def fault(self, kind: str, number: int, what: str) -> None:
        """Notes a fault."""
        self.faults.append(TimingFault(kind, number, what))

    def reload(self, media: Media) -> list[TimingFault]:
        """Checks one reload; returns the faults that it brought."""
        before = len(self.faults)
        if media.sequence < self.last_first:
            self.fault("back", media.sequence, f"media sequence went back from {self.last_first}")
        self.last_first = max(self.last_first, media.sequence)
        if self.target is not None and media.target_ms != self.target:
            self.fault("target", media.sequence, f"target duration is {media.target_ms:g} ms, it was {self.target:g}")
        self.target = media.target_ms
        discontinuity, clock, previous = media.discontinuity_sequence, None, None
        for place, segment in enumerate(media.segments):
            number = media.sequence + place
            if segment.discontinuity:
                discontinuity += 1
            self.check_number(number, segment, discontinuity)
            clock = self.check_time(number, segment, clock)
            if int(segment.duration_ms / 1000 + 0.5) * 1000 > media.target_ms:
                self.fault("target", number, f"{segment.duration_ms:g} ms is over the target of {media.target_ms:g}")
            if previous is not None:
                self.check_neighbours(number, previous, segment)
            previous = segment
        self.check_items(media)
        return self.faults[before:]

    def check_number(self, number: int, segment: Segment, discontinuity: int) -> None:
        """A number keeps its segment and its discontinuity sequence."""
        described = (segment.uri, segment.byte_range, round(segment.duration_ms, 3))
        if self.seen.setdefault(number, described) != described:
            self.fault("changed", number, f"{segment.uri} replaced {self.seen[number][0]}")
        if self.discontinuities.setdefault(number, discontinuity) != discontinuity:
            self.fault("cuts", number, f"discontinuity sequence {discontinuity}, it was {self.discontinuities[number]}")

    def check_time(self, number: int, segment: Segment, clock: float | None) -> float | None:
        """Programme time follows from the segments before; returns the time after this segment."""
        if segment.time_ms is not None:
            if clock is not None and abs(segment.time_ms - clock) > TIME_SLACK_MS:
                self.fault("time", number, f"programme time {segment.time_ms - clock:+.1f} ms off")
            clock = segment.time_ms
        return None if clock is None else clock + segment.duration_ms

    def check_neighbours(self, number: int, one: Segment, other: Segment) -> None:
        """No segment is repeated, and items are separated by discontinuities."""
        if (one.uri, one.byte_range) == (other.uri, other.byte_range):
            self.fault("repeat", number, f"{other.uri} is repeated")
        if self.item_of.get(one.uri) != self.item_of.get(other.uri) and not other.discontinuity:
            self.fault("cuts", number, f"no discontinuity between {one.uri} and {other.uri}")

    def check_items(self, media: Media) -> None:
        """An item is complete and in order; at the start of the window its beginning may be gone already."""
        place = 0
        while place < len(media.segments):
            name = self.item_of.get(media.segments[place].uri)
            if name is None:
                place += 1
                continue
            uris, start = self.items[name], place
            present = []
            while place < len(media.segments) and self.item_of.get(media.segments[place].uri) == name and (
                    not present or media.segments[place].uri != uris[0]):
                present.append(media.segments[place].uri)
                place += 1
            if tuple(present) != uris and not (start == 0 and tuple(present) == uris[-len(present):]):
                self.fault("item", media.sequence + start, f"item {name} has {len(present)} of {len(uris)} segments, or out of order")


def programme_whole(media: Media, items: dict[str, tuple[str, ...]], source: Media) -> list[TimingFault]:
    """Checks that the segments outside items are the source's, each once and in order."""
    item_uris = {uri for uris in items.values() for uri in uris}
    kept = [segment.uri for segment in media.segments if segment.uri not in item_uris]
    expected = [segment.uri for segment in source.segments]
    if kept == expected:
        return []
    for number, (a, b) in enumerate(zip(kept + [""] * len(expected), expected)):
        if a != b:
            return [TimingFault("missing" if b not in kept else "repeat", source.sequence + number, f"expected {b}, found {a or 'nothing'}")]
    return [TimingFault("repeat", source.sequence + len(expected), f"{kept[len(expected)]} comes after the end")]

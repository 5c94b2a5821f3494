"""The continuity check: judges playlists as a player meets them, reload by reload. Written apart from the stitcher.

It reads nothing of the stitcher's marks but through the judge's own eyes: sequence numbers, cuts, programme time, target
duration, and whether known items stand whole. Times are ms.
"""
from typing import NamedTuple

from laddergw.hls.values import Media, Segment

TIME_SLACK_MS = 1.0        # a segment: programme time is written to the ms


class TimingFault(NamedTuple):
    """One fault, with the sequence number at which it shows."""
    kind: str
    number: int
    what: str


KINDS = ("back", "cuts", "repeat", "missing", "time", "target", "item", "changed")


class Judge:
    """Follows one session's media playlists over its reloads. `items`: addresses of each item's segments, in order."""

    def __init__(self, items: dict[str, tuple[str, ...]] | None = None):
        self.items = items or {}
        self.owner = {uri: name for name, uris in self.items.items() for uri in uris}
        self.seen: dict[int, tuple] = {}       # by absolute number: what stood there
        self.cuts: dict[int, int] = {}         # by absolute number: its discontinuity sequence
        self.last_first, self.target = -1, None
        self.faults: list[TimingFault] = []

    def fault(self, kind: str, number: int, what: str) -> None:
        self.faults.append(TimingFault(kind, number, what))

    def reload(self, media: Media) -> list[TimingFault]:
        """Judges one reload; the faults that it brought."""
        before = len(self.faults)
        if media.sequence < self.last_first:
            self.fault("back", media.sequence, f"media sequence went back from {self.last_first}")
        self.last_first = max(self.last_first, media.sequence)
        if self.target is not None and media.target_ms != self.target:
            self.fault("target", media.sequence, f"target duration is {media.target_ms:g} ms, it was {self.target:g}")
        self.target = media.target_ms
        cut, clock, previous = media.discontinuity_sequence, None, None
        for place, segment in enumerate(media.segments):
            number = media.sequence + place
            if segment.discontinuity:
                cut += 1
            self.numbers(number, segment, cut)
            clock = self.time(number, segment, clock)
            if int(segment.duration_ms / 1000 + 0.5) * 1000 > media.target_ms:
                self.fault("target", number, f"{segment.duration_ms:g} ms is over the target of {media.target_ms:g}")
            if previous is not None:
                self.neighbours(number, previous, segment)
            previous = segment
        self.whole_items(media)
        return self.faults[before:]

    def numbers(self, number: int, segment: Segment, cut: int) -> None:
        now = (segment.uri, segment.byte_range, round(segment.duration_ms, 3))
        if self.seen.setdefault(number, now) != now:
            self.fault("changed", number, f"{segment.uri} stands where {self.seen[number][0]} stood")
        if self.cuts.setdefault(number, cut) != cut:
            self.fault("cuts", number, f"discontinuity sequence {cut}, it was {self.cuts[number]}")

    def time(self, number: int, segment: Segment, clock: float | None) -> float | None:
        if segment.time_ms is not None:
            if clock is not None and abs(segment.time_ms - clock) > TIME_SLACK_MS:
                self.fault("time", number, f"programme time {segment.time_ms - clock:+.1f} ms off")
            clock = segment.time_ms
        return None if clock is None else clock + segment.duration_ms

    def neighbours(self, number: int, one: Segment, other: Segment) -> None:
        if (one.uri, one.byte_range) == (other.uri, other.byte_range):
            self.fault("repeat", number, f"{other.uri} stands twice")
        if self.owner.get(one.uri) != self.owner.get(other.uri) and not other.discontinuity:
            self.fault("cuts", number, f"no discontinuity between {one.uri} and {other.uri}")

    def whole_items(self, media: Media) -> None:
        """An item stands whole, in order; at a window's start it may have begun before."""
        place = 0
        while place < len(media.segments):
            name = self.owner.get(media.segments[place].uri)
            if name is None:
                place += 1
                continue
            uris, start = self.items[name], place
            here = []
            while place < len(media.segments) and self.owner.get(media.segments[place].uri) == name and (
                    not here or media.segments[place].uri != uris[0]):
                here.append(media.segments[place].uri)
                place += 1
            if tuple(here) != uris and not (start == 0 and tuple(here) == uris[-len(here):]):
                self.fault("item", media.sequence + start, f"item {name} stands with {len(here)} of {len(uris)} segments, or out of order")


def programme_whole(media: Media, items: dict[str, tuple[str, ...]], source: Media) -> list[TimingFault]:
    """Whether what is not an item is the source's segments, each once and in order."""
    owned = {uri for uris in items.values() for uri in uris}
    kept = [segment.uri for segment in media.segments if segment.uri not in owned]
    told = [segment.uri for segment in source.segments]
    if kept == told:
        return []
    for number, (a, b) in enumerate(zip(kept + [""] * len(told), told)):
        if a != b:
            return [TimingFault("missing" if b not in kept else "repeat", source.sequence + number, f"{b} is expected, {a or 'nothing'} stands")]
    return [TimingFault("repeat", source.sequence + len(told), f"{kept[len(told)]} stands beyond the end")]

"""Keeps a playlist's text in pieces, so that a session's playlist is put together from bytes and not written anew.

Only what stitching changes is written: the head, the items, the segment behind each item, and segments behind items whose
time jumps or that carry ranges. The result is the text of write(stitch(source, insertions)), byte for byte.
"""
from typing import Iterable

from laddergw.hls.stitching import Insertion, Outline, Plan
from laddergw.hls.values import Media, Segment
from laddergw.hls.writing import segment_text, write


class Run:
    """Segments' text as one run of bytes, with where each begins."""

    def __init__(self, segments: Iterable[Segment]):
        parts = [segment_text(segment).encode() + b"\n" for segment in segments]
        self.starts = [0]
        for part in parts:
            self.starts.append(self.starts[-1] + len(part))
        self.text = memoryview(b"".join(parts))

    def between(self, low: int, high: int) -> memoryview:
        return self.text[self.starts[low]:self.starts[high]]


class RenderedPlaylist:
    """One source playlist in two runs: as it stands, and as it stands behind items, where times that follow are left out."""

    def __init__(self, source: Media):
        self.outline = outline = Outline(source)
        restated = [place for place, again in enumerate(outline.restated) if again]
        self.plain_run = Run(source.segments)
        self.later_run = self.plain_run if not restated else Run(
            segment._replace(time_ms=None, time_text="") if outline.restated[place] else segment
            for place, segment in enumerate(source.segments))
        self.anew = [place for place, segment in enumerate(source.segments)
                     if segment.date_ranges or segment.time_ms is not None and not outline.restated[place]]
        self.head = head(source)
        self.foot = foot(source)

    @property
    def size(self) -> int:
        """Bytes that it holds, for a cache's bound."""
        later = 0 if self.later_run is self.plain_run else len(self.later_run.text)
        return len(self.head) + len(self.plain_run.text) + later + len(self.foot)

    def plain(self) -> bytes:
        """The source's own text."""
        return b"".join((self.head, self.plain_run.text, self.foot))

    def stitched(self, insertions: Iterable[Insertion]) -> bytes:
        """The session's playlist. Raises StitchingError as stitch() does."""
        plan = Plan(self.outline, insertions)
        if not plan.shown and not plan.gone_ms:
            return b"".join((head(plan.head), self.plain_run.text, self.foot))
        first = min(plan.shown, default=plan.count) if not plan.gone_ms else 0
        parts = [head(plan.head), self.plain_run.between(0, min(first, plan.count))]
        at, source = first, self.outline.source.segments
        for place in sorted(set(plan.shown) | {place for place in self.anew if place >= first}):
            parts.append(self.later_run.between(min(at, plan.count), min(place, plan.count)))
            if place in plan.shown:
                items, back = plan.splice(place)
                parts += [lines(segment) for segment in items]
            else:
                back = plan.later(place, source[place])
            if back is not None:
                parts.append(lines(back))
            at = place + 1
        parts += [self.later_run.between(min(at, plan.count), plan.count), self.foot]
        return b"".join(parts)


def lines(segment: Segment) -> bytes:
    return segment_text(segment).encode() + b"\n"


def head(media: Media) -> bytes:
    return write(media._replace(segments=(), trailing_lines=(), ended=False)).encode()


def foot(media: Media) -> bytes:
    return "".join(line + "\n" for line in media.trailing_lines).encode() + (b"#EXT-X-ENDLIST\n" if media.ended else b"")

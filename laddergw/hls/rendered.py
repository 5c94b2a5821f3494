"""Keeps a playlist's text in pieces, so that a session's playlist is joined from bytes instead of being written again.

Only what stitching changes is written: the head, the items, the segment after each item, and those later segments whose
time jumps or that have date ranges. The result equals the text of write(stitch(source, insertions)), byte for byte.
"""
from typing import Iterable

from laddergw.hls.stitching import Insertion, Outline, Plan
from laddergw.hls.values import Media, Segment
from laddergw.hls.writing import segment_text, write


class SegmentText:
    """The text of consecutive segments as bytes, with the offset of each."""

    def __init__(self, segments: Iterable[Segment]):
        parts = [segment_text(segment).encode() + b"\n" for segment in segments]
        self.starts = [0]
        for part in parts:
            self.starts.append(self.starts[-1] + len(part))
        self.text = memoryview(b"".join(parts))

    def between(self, start: int, end: int) -> memoryview:
        """Returns the text of the segments from one index up to another."""
        return self.text[self.starts[start]:self.starts[end]]


class RenderedPlaylist:
    """A source playlist's text twice: as it is, and without redundant times, for the segments after items."""

    def __init__(self, source: Media):
        self.outline = outline = Outline(source)
        redundant = [index for index, is_redundant in enumerate(outline.time_is_redundant) if is_redundant]
        self.source_text = SegmentText(source.segments)
        self.shifted_text = self.source_text if not redundant else SegmentText(
            segment._replace(time_ms=None, time_text="") if outline.time_is_redundant[index] else segment
            for index, segment in enumerate(source.segments))
        self.rewritten = [index for index, segment in enumerate(source.segments)
                          if segment.date_ranges or segment.time_ms is not None and not outline.time_is_redundant[index]]
        self.head = encode_head(source)
        self.foot = encode_foot(source)

    @property
    def size(self) -> int:
        """Size in bytes, for a cache's limit."""
        shifted_size = 0 if self.shifted_text is self.source_text else len(self.shifted_text.text)
        return len(self.head) + len(self.source_text.text) + shifted_size + len(self.foot)

    def source_bytes(self) -> bytes:
        """Returns the source's own text."""
        return b"".join((self.head, self.source_text.text, self.foot))

    def stitched_bytes(self, insertions: Iterable[Insertion]) -> bytes:
        """Returns the session's playlist. Raises StitchingError as stitch() does."""
        plan = Plan(self.outline, insertions)
        if not plan.visible and not plan.expired_ms:
            return b"".join((encode_head(plan.head), self.source_text.text, self.foot))
        first_index = min(plan.visible, default=plan.count) if not plan.expired_ms else 0
        parts = [encode_head(plan.head), self.source_text.between(0, min(first_index, plan.count))]
        position, source = first_index, self.outline.source.segments
        for index in sorted(set(plan.visible) | {index for index in self.rewritten if index >= first_index}):
            parts.append(self.shifted_text.between(min(position, plan.count), min(index, plan.count)))
            if index in plan.visible:
                items, resumed = plan.splice(index)
                parts += [encode_segment(segment) for segment in items]
            else:
                resumed = plan.shifted(index, source[index])
            if resumed is not None:
                parts.append(encode_segment(resumed))
            position = index + 1
        parts += [self.shifted_text.between(min(position, plan.count), plan.count), self.foot]
        return b"".join(parts)


def encode_segment(segment: Segment) -> bytes:
    """Encodes a segment's lines."""
    return segment_text(segment).encode() + b"\n"


def encode_head(media: Media) -> bytes:
    """Encodes the tags before the segments."""
    return write(media._replace(segments=(), trailing_lines=(), ended=False)).encode()


def encode_foot(media: Media) -> bytes:
    """Encodes the lines after the segments."""
    return "".join(line + "\n" for line in media.trailing_lines).encode() + (b"#EXT-X-ENDLIST\n" if media.ended else b"")

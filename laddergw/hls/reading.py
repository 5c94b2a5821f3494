"""Parses playlists (RFC 8216 and its revision): reports each fault with its line, keeps unknown tags in their place."""
import re
from typing import Any, Callable, NamedTuple

from laddergw.hls import attributes
from laddergw.hls.attributes import Attributes
from laddergw.hls.values import Media, Multivariant, Playlist, Segment, Variant, time_ms

MAX_BYTES = 16_777_216     # of a playlist; a day of two-second segments takes under 8 MB
MAX_LINE_CHARS = 16_384    # a URI with a long signature fits
MAX_FAULTS = 20            # reported of one playlist
MAX_INTEGER = 2 ** 64 - 1
MAX_DURATION_S = 1e6       # over eleven days is not a valid segment
DECIMAL_PATTERN = re.compile(r"\d{1,12}(\.\d{1,12})?\Z", re.ASCII)
INTEGER_PATTERN = re.compile(r"\d{1,20}\Z", re.ASCII)
RANGE_PATTERN = re.compile(r"\d{1,20}(@\d{1,20})?\Z", re.ASCII)
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\x85\u2028\u2029]")


class PlaylistFault(NamedTuple):
    """What is wrong, and in which line (from 1)."""
    line: int
    reason: str


class InvalidPlaylist(ValueError):
    """A text that is not a valid playlist; `faults` in order of lines."""

    def __init__(self, faults: list[PlaylistFault]):
        super().__init__("; ".join(f"line {line}: {reason}" for line, reason in faults))
        self.faults = faults


class PlaylistParser:
    """Reads the lines once. `head` and `pending` hold what was read for the playlist and for the next segment."""

    def __init__(self):
        self.faults: list[PlaylistFault] = []
        self.line_number = 0
        self.segments: list[Segment] = []
        self.variants: list[Variant] = []
        self.head_tags: list[tuple[str, Attributes]] = []
        self.head: dict[str, Any] = {}
        self.pending: dict[str, Any] = {}
        self.unknown_lines: list[str] = []
        self.stream_inf: Attributes | None = None
        self.is_media = self.is_multivariant = False

    def add_fault(self, reason: str) -> None:
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(PlaylistFault(self.line_number, reason))

    def read_line(self, line: str) -> None:
        """Reads one line: a tag, a comment or a URI."""
        if not line:
            return
        if not line.startswith("#"):
            return self.add_uri(line)
        tag, _, value = line.partition(":")
        handler = TAGS.get(tag)
        if handler is None:
            self.unknown_lines.append(line)      # unknown tags and comments keep their place
        else:
            handler(self, tag[1:], value)

    def add_uri(self, uri: str) -> None:
        """Ends a variant or a segment with its URI; the tags read before it are used up."""
        if self.stream_inf is not None:
            self.variants.append(Variant(uri, self.stream_inf, tuple(self.unknown_lines)))
            self.stream_inf = None
        elif "duration_ms" in self.pending:
            if "ended" in self.head:
                self.add_fault("a segment after EXT-X-ENDLIST")
            self.segments.append(Segment(uri, unknown_lines=tuple(self.unknown_lines), **self.pending))
        else:
            self.add_fault("a URI without EXTINF or EXT-X-STREAM-INF before it")
        self.pending, self.unknown_lines = {}, []

    def store(self, values: dict, key: str, tag: str, value: Any) -> None:
        """Stores a tag's value. A tag that is repeated is a fault."""
        if key in values:
            self.add_fault(f"{tag} is repeated")
        elif value is not None:
            values[key] = value

    def parse_integer(self, tag: str, text: str) -> int | None:
        """Returns the number, or None where there is a fault."""
        if INTEGER_PATTERN.match(text) and int(text) <= MAX_INTEGER:
            return int(text)
        return self.add_fault(f"{tag}: {text[:20]!r} is not a whole number")

    def parse_attributes(self, tag: str, text: str) -> Attributes | None:
        try:
            return attributes.read(text)
        except attributes.InvalidAttributes as error:
            return self.add_fault(f"{tag}: {error}")

    # Tags of a media playlist

    def head_tag(key: str, convert: Callable) -> Callable:
        """Handler of a tag that applies to the whole media playlist."""
        def handler(self, tag: str, text: str) -> None:
            self.is_media = True
            if self.segments and key != "ended":
                self.add_fault(f"{tag} after the first segment")
            self.store(self.head, key, tag, convert(self, tag, text))
        return handler

    def segment_tag(key: str, convert: Callable) -> Callable:
        """Handler of a tag that occurs at most once in a segment."""
        def handler(self, tag: str, text: str) -> None:
            self.is_media = True
            self.store(self.pending, key, tag, convert(self, tag, text))
        return handler

    def repeated_segment_tag(key: str, convert: Callable) -> Callable:
        """Handler of a tag that may occur several times in a segment."""
        def handler(self, tag: str, text: str) -> None:
            self.is_media = True
            if (value := convert(self, tag, text)) is not None:
                self.pending[key] = self.pending.get(key, ()) + (value,)
        return handler

    def parse_flag(self, tag: str, text: str) -> bool:
        if text:
            self.add_fault(f"{tag} takes no value")
        return True

    def parse_seconds(self, tag: str, text: str) -> float | None:
        value = self.parse_integer(tag, text)
        if value is not None and value > MAX_DURATION_S:
            return self.add_fault(f"{tag}: {value} s is too long")
        return None if value is None else value * 1000.0

    def parse_playlist_type(self, tag: str, text: str) -> str | None:
        return text if text in ("VOD", "EVENT") else self.add_fault(f"{tag}: {text[:20]!r} is neither VOD nor EVENT")

    def parse_byte_range(self, tag: str, text: str) -> str | None:
        return text if RANGE_PATTERN.match(text) else self.add_fault(f"{tag}: {text[:20]!r} is not a range")

    def parse_date_range(self, tag: str, text: str) -> Attributes | None:
        parsed = self.parse_attributes(tag, text)
        if parsed is not None and not parsed.get("ID"):
            self.add_fault(f"{tag}: no ID")
        return parsed

    def read_extinf(self, tag: str, text: str) -> None:
        self.is_media = True
        duration, _, title = text.partition(",")
        if not DECIMAL_PATTERN.match(duration) or float(duration) > MAX_DURATION_S:
            self.add_fault(f"EXTINF: {duration[:20]!r} is not a duration")
            duration = "0"
        self.store(self.pending, "duration_ms", tag, round(float(duration) * 1000, 6))   # so that 4.004 s is exactly 4004 ms
        self.pending["title"], self.pending["duration_text"] = title, duration

    def read_program_date_time(self, tag: str, text: str) -> None:
        self.is_media = True
        try:
            self.store(self.pending, "time_ms", tag, time_ms(text))
            self.pending["time_text"] = text
        except ValueError as error:
            self.add_fault(f"{tag}: {error}")

    # Tags of both kinds, and of a multivariant playlist

    def read_version(self, tag: str, text: str) -> None:
        self.store(self.head, "version", tag, self.parse_integer(tag, text))

    def read_independent_segments(self, tag: str, text: str) -> None:
        self.store(self.head, "independent_segments", tag, self.parse_flag(tag, text))

    def read_stream_inf(self, tag: str, text: str) -> None:
        self.is_multivariant = True
        if self.stream_inf is not None:
            self.add_fault(f"{tag} before this one has no URI")
        self.stream_inf = self.parse_attributes(tag, text) or Attributes((("BANDWIDTH", "0"),))
        if not INTEGER_PATTERN.match(self.stream_inf.get("BANDWIDTH") or ""):
            self.add_fault(f"{tag}: no BANDWIDTH")

    def read_head_tag(self, tag: str, text: str) -> None:
        self.is_multivariant = True
        if (parsed := self.parse_attributes(tag, text)) is not None:
            self.head_tags.append((tag, parsed))

    # End of the text

    def finish(self) -> Playlist:
        """Returns the playlist. Raises InvalidPlaylist where there are faults."""
        if self.is_media and self.is_multivariant:
            self.add_fault("tags of both a media and a multivariant playlist")
        if self.stream_inf is not None:
            self.add_fault("EXT-X-STREAM-INF without a URI")
        if self.pending:
            self.add_fault("segment tags without a URI")
        head, tail = self.head, tuple(self.unknown_lines)
        if self.is_multivariant:
            if not self.variants:
                self.add_fault("no variants")
            playlist = Multivariant(tuple(self.variants), tuple(self.head_tags), head.get("version"), "independent_segments" in head, tail)
        else:
            target = head.get("target_ms")
            if target is None:
                self.add_fault("EXT-X-TARGETDURATION is missing")
            too_long = [s for s in self.segments if target is not None and int(s.duration_ms / 1000 + 0.5) * 1000 > target]
            for segment in too_long:
                self.add_fault(f"{segment.uri[:60]}: {segment.duration_ms:g} ms is over the target duration")
            playlist = Media(tuple(self.segments), **{"target_ms": 0.0} | head, trailing_lines=tail)
        if self.faults:
            raise InvalidPlaylist(self.faults)
        return playlist

    TAGS = {
        "EXT-X-VERSION": read_version, "EXT-X-INDEPENDENT-SEGMENTS": read_independent_segments,
        "EXTINF": read_extinf, "EXT-X-PROGRAM-DATE-TIME": read_program_date_time,
        "EXT-X-TARGETDURATION": head_tag("target_ms", parse_seconds), "EXT-X-MEDIA-SEQUENCE": head_tag("sequence", parse_integer),
        "EXT-X-DISCONTINUITY-SEQUENCE": head_tag("discontinuity_sequence", parse_integer),
        "EXT-X-PLAYLIST-TYPE": head_tag("playlist_type", parse_playlist_type),
        "EXT-X-ENDLIST": head_tag("ended", parse_flag), "EXT-X-SERVER-CONTROL": head_tag("server_control", parse_attributes),
        "EXT-X-DISCONTINUITY": segment_tag("discontinuity", parse_flag), "EXT-X-GAP": segment_tag("gap", parse_flag),
        "EXT-X-BYTERANGE": segment_tag("byte_range", parse_byte_range), "EXT-X-MAP": segment_tag("map", parse_attributes),
        "EXT-X-KEY": repeated_segment_tag("keys", parse_attributes), "EXT-X-DATERANGE": repeated_segment_tag("date_ranges", parse_date_range),
        "EXT-X-STREAM-INF": read_stream_inf, "EXT-X-MEDIA": read_head_tag, "EXT-X-I-FRAME-STREAM-INF": read_head_tag,
        "EXT-X-SESSION-DATA": read_head_tag, "EXT-X-SESSION-KEY": read_head_tag}


TAGS = {"#" + tag: handler for tag, handler in PlaylistParser.TAGS.items()}


def read(data: bytes | str) -> Playlist:
    """Parses a playlist. Raises InvalidPlaylist with its faults, each with its line."""
    if len(data) > MAX_BYTES:
        raise InvalidPlaylist([PlaylistFault(1, f"{len(data)} bytes, {MAX_BYTES} at most")])
    try:
        text = data.decode("utf-8") if isinstance(data, bytes) else data
    except UnicodeDecodeError as error:
        raise InvalidPlaylist([PlaylistFault(data[:error.start].count(b"\n") + 1, "not UTF-8")]) from None
    parser = PlaylistParser()
    lines = text.split("\n")
    if lines[0].rstrip("\r") != "#EXTM3U":
        raise InvalidPlaylist([PlaylistFault(1, "does not begin with #EXTM3U")])
    for parser.line_number, line in enumerate(lines[1:], 2):
        if line.endswith("\r"):
            line = line[:-1]
        if len(line) > MAX_LINE_CHARS:
            parser.add_fault(f"a line of {len(line)} characters, {MAX_LINE_CHARS} at most")
        elif CONTROL_CHARACTER.search(line):
            parser.add_fault("a control character")
        else:
            parser.read_line(line)
    return parser.finish()

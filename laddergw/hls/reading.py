"""Playlists read from text (RFC 8216 and its revision): every fault with its line, unknown tags kept in their place."""
import re
from typing import Any, Callable, NamedTuple

from laddergw.hls import attributes
from laddergw.hls.attributes import Attributes
from laddergw.hls.values import Media, Multivariant, Playlist, Segment, Variant, time_ms

MOST_BYTES = 16_777_216    # a playlist: a day of two-second segments is under 8 MB
MOST_LINE = 16_384         # an address with a long signature fits
MOST_FAULTS = 20           # told of one playlist
MOST_SEQUENCE = 2 ** 64 - 1
MOST_DURATION_S = 1e6      # a segment of eleven days is none
NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?\Z", re.ASCII)
WHOLE = re.compile(r"\d{1,20}\Z", re.ASCII)
RANGE = re.compile(r"\d{1,20}(@\d{1,20})?\Z", re.ASCII)
CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\x85\u2028\u2029]")


class PlaylistFault(NamedTuple):
    """What is wrong, and at which line (from 1)."""
    line: int
    reason: str


class InvalidPlaylist(ValueError):
    """A text that is no playlist; `faults` in order of lines."""

    def __init__(self, faults: list[PlaylistFault]):
        super().__init__("; ".join(f"line {line}: {reason}" for line, reason in faults))
        self.faults = faults


class Reader:
    """Goes through the lines once. `head` and `pending` hold what was read for the playlist and for the next segment."""

    def __init__(self):
        self.faults: list[PlaylistFault] = []
        self.number = 0
        self.segments: list[Segment] = []
        self.variants: list[Variant] = []
        self.listed: list[tuple[str, Attributes]] = []
        self.head: dict[str, Any] = {}
        self.pending: dict[str, Any] = {}
        self.others: list[str] = []
        self.stream: Attributes | None = None
        self.of_media = self.of_multivariant = False

    def fault(self, reason: str) -> None:
        if len(self.faults) < MOST_FAULTS:
            self.faults.append(PlaylistFault(self.number, reason))

    def line(self, line: str) -> None:
        if not line:
            return
        if not line.startswith("#"):
            return self.address(line)
        tag, _, value = line.partition(":")
        handler = TAGS.get(tag)
        if handler is None:
            self.others.append(line)             # unknown tags and comments stay where they are
        else:
            handler(self, tag[1:], value)

    def address(self, uri: str) -> None:
        if self.stream is not None:
            self.variants.append(Variant(uri, self.stream, tuple(self.others)))
            self.stream = None
        elif "duration_ms" in self.pending:
            if "ended" in self.head:
                self.fault("a segment behind EXT-X-ENDLIST")
            self.segments.append(Segment(uri, unknown_lines=tuple(self.others), **self.pending))
        else:
            self.fault("an address without EXTINF or EXT-X-STREAM-INF before it")
        self.pending, self.others = {}, []

    def keep(self, store: dict, key: str, tag: str, value: Any) -> None:
        if key in store:
            self.fault(f"{tag} stands twice")
        elif value is not None:
            store[key] = value

    def whole(self, tag: str, text: str) -> int | None:
        if WHOLE.match(text) and int(text) <= MOST_SEQUENCE:
            return int(text)
        return self.fault(f"{tag}: {text[:20]!r} is not a whole number")

    def pairs(self, tag: str, text: str) -> Attributes | None:
        try:
            return attributes.read(text)
        except attributes.InvalidAttributes as error:
            return self.fault(f"{tag}: {error}")

    # Tags of a media playlist

    def of_head(key: str, convert: Callable) -> Callable:
        def handler(self, tag: str, text: str) -> None:
            self.of_media = True
            if self.segments and key != "ended":
                self.fault(f"{tag} behind the first segment")
            self.keep(self.head, key, tag, convert(self, tag, text))
        return handler

    def of_segment(key: str, convert: Callable) -> Callable:
        def handler(self, tag: str, text: str) -> None:
            self.of_media = True
            self.keep(self.pending, key, tag, convert(self, tag, text))
        return handler

    def several(key: str, convert: Callable) -> Callable:
        def handler(self, tag: str, text: str) -> None:
            self.of_media = True
            if (found := convert(self, tag, text)) is not None:
                self.pending[key] = self.pending.get(key, ()) + (found,)
        return handler

    def flag(self, tag: str, text: str) -> bool:
        if text:
            self.fault(f"{tag} takes no value")
        return True

    def seconds(self, tag: str, text: str) -> float | None:
        value = self.whole(tag, text)
        if value is not None and value > MOST_DURATION_S:
            return self.fault(f"{tag}: {value} s is too long")
        return None if value is None else value * 1000.0

    def kind(self, tag: str, text: str) -> str | None:
        return text if text in ("VOD", "EVENT") else self.fault(f"{tag}: {text[:20]!r} is neither VOD nor EVENT")

    def span(self, tag: str, text: str) -> str | None:
        return text if RANGE.match(text) else self.fault(f"{tag}: {text[:20]!r} is not a range")

    def date_range(self, tag: str, text: str) -> Attributes | None:
        found = self.pairs(tag, text)
        if found is not None and not found.get("ID"):
            self.fault(f"{tag}: no ID")
        return found

    def extinf(self, tag: str, text: str) -> None:
        self.of_media = True
        duration, _, title = text.partition(",")
        if not NUMBER.match(duration) or float(duration) > MOST_DURATION_S:
            self.fault(f"EXTINF: {duration[:20]!r} is not a duration")
            duration = "0"
        self.keep(self.pending, "duration_ms", tag, round(float(duration) * 1000, 6))   # 4.004 s is 4004 ms
        self.pending["title"], self.pending["duration_text"] = title, duration

    def time(self, tag: str, text: str) -> None:
        self.of_media = True
        try:
            self.keep(self.pending, "time_ms", tag, time_ms(text))
            self.pending["time_text"] = text
        except ValueError as error:
            self.fault(f"{tag}: {error}")

    # Tags of either, and of a multivariant playlist

    def version(self, tag: str, text: str) -> None:
        self.keep(self.head, "version", tag, self.whole(tag, text))

    def independent(self, tag: str, text: str) -> None:
        self.keep(self.head, "independent_segments", tag, self.flag(tag, text))

    def variant(self, tag: str, text: str) -> None:
        self.of_multivariant = True
        if self.stream is not None:
            self.fault(f"{tag} without an address before this one")
        self.stream = self.pairs(tag, text) or Attributes((("BANDWIDTH", "0"),))
        if not WHOLE.match(self.stream.get("BANDWIDTH") or ""):
            self.fault(f"{tag}: no BANDWIDTH")

    def rendition(self, tag: str, text: str) -> None:
        self.of_multivariant = True
        if (found := self.pairs(tag, text)) is not None:
            self.listed.append((tag, found))

    # The end

    def finish(self) -> Playlist:
        if self.of_media and self.of_multivariant:
            self.fault("tags of a media playlist and of a multivariant one")
        if self.stream is not None:
            self.fault("EXT-X-STREAM-INF without an address")
        if self.pending:
            self.fault("tags of a segment without its address")
        head, tail = self.head, tuple(self.others)
        if self.of_multivariant:
            if not self.variants:
                self.fault("no variant")
            found = Multivariant(tuple(self.variants), tuple(self.listed), head.get("version"), "independent_segments" in head, tail)
        else:
            target = head.get("target_ms")
            if target is None:
                self.fault("EXT-X-TARGETDURATION is missing")
            over = [s for s in self.segments if target is not None and int(s.duration_ms / 1000 + 0.5) * 1000 > target]
            for segment in over:
                self.fault(f"{segment.uri[:60]}: {segment.duration_ms:g} ms is over the target duration")
            found = Media(tuple(self.segments), **{"target_ms": 0.0} | head, trailing_lines=tail)
        if self.faults:
            raise InvalidPlaylist(self.faults)
        return found

    TAGS = {
        "EXT-X-VERSION": version, "EXT-X-INDEPENDENT-SEGMENTS": independent, "EXTINF": extinf, "EXT-X-PROGRAM-DATE-TIME": time,
        "EXT-X-TARGETDURATION": of_head("target_ms", seconds), "EXT-X-MEDIA-SEQUENCE": of_head("sequence", whole),
        "EXT-X-DISCONTINUITY-SEQUENCE": of_head("discontinuity_sequence", whole), "EXT-X-PLAYLIST-TYPE": of_head("playlist_type", kind),
        "EXT-X-ENDLIST": of_head("ended", flag), "EXT-X-SERVER-CONTROL": of_head("server_control", pairs),
        "EXT-X-DISCONTINUITY": of_segment("discontinuity", flag), "EXT-X-GAP": of_segment("gap", flag),
        "EXT-X-BYTERANGE": of_segment("byte_range", span), "EXT-X-MAP": of_segment("map", pairs),
        "EXT-X-KEY": several("keys", pairs), "EXT-X-DATERANGE": several("date_ranges", date_range),
        "EXT-X-STREAM-INF": variant, "EXT-X-MEDIA": rendition, "EXT-X-I-FRAME-STREAM-INF": rendition,
        "EXT-X-SESSION-DATA": rendition, "EXT-X-SESSION-KEY": rendition}


TAGS = {"#" + tag: handler for tag, handler in Reader.TAGS.items()}


def read(data: bytes | str) -> Playlist:
    """The playlist in a text. Raises InvalidPlaylist with its faults, each with its line."""
    if len(data) > MOST_BYTES:
        raise InvalidPlaylist([PlaylistFault(1, f"{len(data)} bytes, {MOST_BYTES} at most")])
    try:
        text = data.decode("utf-8") if isinstance(data, bytes) else data
    except UnicodeDecodeError as error:
        raise InvalidPlaylist([PlaylistFault(data[:error.start].count(b"\n") + 1, "not UTF-8")]) from None
    reader = Reader()
    lines = text.split("\n")
    if lines[0].rstrip("\r") != "#EXTM3U":
        raise InvalidPlaylist([PlaylistFault(1, "does not begin with #EXTM3U")])
    for reader.number, line in enumerate(lines[1:], 2):
        if line.endswith("\r"):
            line = line[:-1]
        if len(line) > MOST_LINE:
            reader.fault(f"a line of {len(line)} characters, {MOST_LINE} at most")
        elif CONTROL.search(line):
            reader.fault("a control character")
        else:
            reader.line(line)
    return reader.finish()

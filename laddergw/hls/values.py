"""Playlists as values: segments, variants and the tags before them. Durations are ms with fractions, programme time is ms
since 1970, sequence numbers as in the playlist. reading.py parses text, writing.py writes it."""
import datetime as dt
import re
from typing import NamedTuple, Union

from laddergw.hls.attributes import Attributes

TIME_PATTERN = re.compile(r"(\d{4})-(\d\d)-(\d\d)T(\d\d):(\d\d):(\d\d)(\.\d{1,9})?(Z|[+-]\d\d:?\d\d)?\Z", re.ASCII)
EPOCH = dt.datetime(1970, 1, 1)
YEAR_RANGE = 1900, 9000    # of programme time; outside, the time that items add could no longer be written


class Segment(NamedTuple):
    """A media segment with the tags before it. `*_text` keeps a value as it was written in the playlist, so that writing it
    again loses nothing."""
    uri: str
    duration_ms: float
    title: str = ""
    discontinuity: bool = False
    time_ms: float | None = None                # EXT-X-PROGRAM-DATE-TIME
    time_text: str = ""
    byte_range: str | None = None
    keys: tuple[Attributes, ...] = ()           # EXT-X-KEY tags here; they apply until the next ones
    map: Attributes | None = None               # EXT-X-MAP tag here; applies until the next one
    gap: bool = False
    date_ranges: tuple[Attributes, ...] = ()    # EXT-X-DATERANGE
    unknown_lines: tuple[str, ...] = ()         # unknown tags and comments, in order
    duration_text: str = ""


class Media(NamedTuple):
    """A media playlist."""
    segments: tuple[Segment, ...]
    target_ms: float
    sequence: int = 0                           # EXT-X-MEDIA-SEQUENCE
    discontinuity_sequence: int = 0
    version: int | None = None
    playlist_type: str | None = None
    ended: bool = False                         # EXT-X-ENDLIST
    independent_segments: bool = False
    server_control: Attributes | None = None
    trailing_lines: tuple[str, ...] = ()        # unknown lines after the last segment


class Variant(NamedTuple):
    """EXT-X-STREAM-INF and its URI."""
    uri: str
    attributes: Attributes
    unknown_lines: tuple[str, ...] = ()

    @property
    def bandwidth(self) -> int:
        """Bits per second; 0 where it is missing."""
        return int(self.attributes.get("BANDWIDTH") or 0)


class Multivariant(NamedTuple):
    """A multivariant playlist. `head_tags`: EXT-X-MEDIA and other tags with attributes of the head, as (tag, attributes)."""
    variants: tuple[Variant, ...]
    head_tags: tuple[tuple[str, Attributes], ...] = ()
    version: int | None = None
    independent_segments: bool = False
    trailing_lines: tuple[str, ...] = ()


Playlist = Union[Media, Multivariant]


def time_ms(text: str) -> float:
    """Parses programme time into ms since 1970; without a zone it is read as UTC. Raises ValueError."""
    match = TIME_PATTERN.match(text)
    if match is None:
        raise ValueError(f"{text[:40]!r} is not a date and time")
    year, month, day, hour, minute, second = (int(part) for part in match.groups()[:6])
    if not YEAR_RANGE[0] <= year <= YEAR_RANGE[1]:
        raise ValueError(f"{text[:40]!r} is not between the years {YEAR_RANGE[0]} and {YEAR_RANGE[1]}")
    since_epoch = dt.datetime(year, month, day, hour, minute, second) - EPOCH
    zone, offset_minutes = match.group(8), 0
    if zone and zone != "Z":
        offset_minutes = (int(zone[1:3]) * 60 + int(zone[-2:])) * (-1 if zone[0] == "-" else 1)
    return (since_epoch.days * 86_400 + since_epoch.seconds) * 1000.0 + float(match.group(7) or 0) * 1000 - offset_minutes * 60_000


def time_text(ms: float) -> str:
    """Formats ms since 1970 as programme time in UTC, to the ms."""
    total_ms = round(ms)
    seconds, rest_ms = divmod(total_ms, 1000)
    return (EPOCH + dt.timedelta(seconds=seconds)).strftime("%Y-%m-%dT%H:%M:%S") + f".{rest_ms:03d}Z"


def seconds_text(ms: float) -> str:
    """Formats a duration in ms as seconds for EXTINF, with at most six decimal places."""
    text = f"{ms / 1000:.6f}".rstrip("0")
    return text + "0" if text.endswith(".") else text

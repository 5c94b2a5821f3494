"""Playlists as values: segments, variants and what stands before them. Durations are ms with fractions, programme
time is ms since 1970, sequence numbers as the playlist gives them. Text comes and goes in reading.py and writing.py."""
import datetime as dt
import re
from typing import NamedTuple, Union

from laddergw.hls.attributes import Attributes

TIME = re.compile(r"(\d{4})-(\d\d)-(\d\d)T(\d\d):(\d\d):(\d\d)(\.\d{1,9})?(Z|[+-]\d\d:?\d\d)?\Z", re.ASCII)
EPOCH = dt.datetime(1970, 1, 1)
YEARS = 1900, 9000         # of programme time: outside, what items add to it could not be written any more


class Segment(NamedTuple):
    """One media segment with what stands before it. `*_text`: as written, where it was read, so that nothing is lost."""
    uri: str
    duration_ms: float
    title: str = ""
    discontinuity: bool = False
    time_ms: float | None = None            # EXT-X-PROGRAM-DATE-TIME
    time_text: str = ""
    byte_range: str | None = None
    keys: tuple[Attributes, ...] = ()       # EXT-X-KEY stated here; they hold on until stated anew
    map: Attributes | None = None           # EXT-X-MAP stated here; holds on
    gap: bool = False
    date_ranges: tuple[Attributes, ...] = ()     # EXT-X-DATERANGE
    unknown_lines: tuple[str, ...] = ()            # lines that we do not know, in order
    duration_text: str = ""


class Media(NamedTuple):
    """A media playlist."""
    segments: tuple[Segment, ...]
    target_ms: float
    sequence: int = 0
    discontinuity_sequence: int = 0                # EXT-X-DISCONTINUITY-SEQUENCE
    version: int | None = None
    playlist_type: str | None = None                 # EXT-X-PLAYLIST-TYPE
    ended: bool = False
    independent_segments: bool = False
    server_control: Attributes | None = None       # EXT-X-SERVER-CONTROL
    trailing_lines: tuple[str, ...] = ()              # unknown lines behind the last segment


class Variant(NamedTuple):
    """EXT-X-STREAM-INF and its address."""
    uri: str
    attributes: Attributes
    unknown_lines: tuple[str, ...] = ()

    @property
    def bandwidth(self) -> int:
        return int(self.attributes.get("BANDWIDTH") or 0)


class Multivariant(NamedTuple):
    """A multivariant playlist. `head_tags`: EXT-X-MEDIA and other listed tags of the head, as (tag, attributes)."""
    variants: tuple[Variant, ...]
    head_tags: tuple[tuple[str, Attributes], ...] = ()
    version: int | None = None
    independent_segments: bool = False
    trailing_lines: tuple[str, ...] = ()


Playlist = Union[Media, Multivariant]


def time_ms(text: str) -> float:
    """Programme time as ms since 1970; without a zone it counts as UTC. Raises ValueError."""
    found = TIME.match(text)
    if found is None:
        raise ValueError(f"{text[:40]!r} is not a date and time")
    year, month, day, hour, minute, second = (int(part) for part in found.groups()[:6])
    if not YEARS[0] <= year <= YEARS[1]:
        raise ValueError(f"{text[:40]!r} is not between the years {YEARS[0]} and {YEARS[1]}")
    base = dt.datetime(year, month, day, hour, minute, second) - EPOCH
    zone, shift = found.group(8), 0
    if zone and zone != "Z":
        shift = (int(zone[1:3]) * 60 + int(zone[-2:])) * (-1 if zone[0] == "-" else 1)
    return (base.days * 86_400 + base.seconds) * 1000.0 + float(found.group(7) or 0) * 1000 - shift * 60_000


def time_text(ms: float) -> str:
    """The other way round, to the ms, in UTC."""
    whole = round(ms)
    seconds, rest = divmod(whole, 1000)
    return (EPOCH + dt.timedelta(seconds=seconds)).strftime("%Y-%m-%dT%H:%M:%S") + f".{rest:03d}Z"


def seconds_text(ms: float) -> str:
    """A duration in s as EXTINF writes it: six digits at most."""
    text = f"{ms / 1000:.6f}".rstrip("0")
    return text + "0" if text.endswith(".") else text

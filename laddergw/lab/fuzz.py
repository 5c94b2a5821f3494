"""A seeded fuzzer for the playlist reader: mutated playlists, and properties that must hold for each.

A text is either rejected, with faults whose line numbers lie within it, or read; what was read is the same once written and read again. A notice can be stitched
into a media playlist, or StitchingError is raised; the stitched playlist is the same once written and read again, and unstitching restores the source. No text
takes longer than its size allows.
"""
import contextlib
import gc
import random
import time
from typing import Callable, Iterator, NamedTuple

from laddergw.hls.reading import InvalidPlaylist, read
from laddergw.hls.stitching import Insertion, Item, StitchingError, stitch, unstitch
from laddergw.hls.values import Media, Segment
from laddergw.hls.writing import write

# How long a text may take, at any size and per KiB: about twenty times the usual.
BASE_LIMIT_MS, LIMIT_MS_PER_KIB = 50.0, 20.0
MAX_LINES = 40     # of a mutated text; faults show in small ones
SEEDS = (
    "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:6\n#EXT-X-MEDIA-SEQUENCE:7\n#EXT-X-DISCONTINUITY-SEQUENCE:2\n#EXT-X-PLAYLIST-TYPE:EVENT\n"
    "#EXT-X-SERVER-CONTROL:CAN-SKIP-UNTIL=12.0\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\",IV=0x00ff\n#EXT-X-MAP:URI=\"i.mp4\",BYTERANGE=\"720@0\"\n"
    "#EXT-X-PROGRAM-DATE-TIME:2026-12-01T10:00:00.000Z\n#EXTINF:5.005,a title\n#EXT-X-BYTERANGE:100@0\na.ts\n#EXT-X-BYTERANGE:50\n#EXTINF:4,\na.ts\n"
    "#EXT-X-DISCONTINUITY\n#EXT-X-KEY:METHOD=NONE\n#EXT-X-DATERANGE:ID=\"d\",CLASS=\"notice\",START-DATE=\"2026-12-01T10:00:09Z\",DURATION=3.5\n#EXTINF:6.4,\nb.ts\n"
    "#EXT-X-GAP\n#X-OF-OTHERS:1\n#EXTINF:2,\nc.ts\n#EXT-X-ENDLIST\n",
    "#EXTM3U\r\n#EXT-X-TARGETDURATION:4\r\n#EXTINF:4,\r\na\r\n#EXTINF:3.999,\r\nb\r\n# a comment\r\n",
    "#EXTM3U\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"a\",NAME=\"A, \u00e4\",URI=\"a.m3u8\"\n"
    "#EXT-X-STREAM-INF:BANDWIDTH=1280000,CODECS=\"mp4a.40.2,avc1.4d401e\",RESOLUTION=1280x720\nlow.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=2560000\nhigh.m3u8\n")
ODD_VALUES = ("", "0", "-1", "1e9", "nan", "inf", "99999999999999999999999", "1.", ".5", "0x10", "\"", "A=\"b", "A=1,A=2", ",", "=", "YES", "\u0660", "2026-02-30T00:00:00Z",
          "2026-12-01T10:00:00+99:99", "9999-12-31T23:59:59.999999999Z", "0001-01-01T00:00:00+14:00", "\x00", "\x85", "\ufeff", "\U0001f600", "a" * 20_000, "18446744073709551615", "5@", "@5")
NOTICE = Item("notice", Media((Segment("n0.ts", 2_000.0), Segment("n1.ts", 1_500.0)), 2_000.0, ended=True))


class Violation(NamedTuple):
    """A text for which a property does not hold."""
    what: str
    text: bytes


class Tally(NamedTuple):
    """The figures of a run. `taken`: texts that were read, `stitched` ones among them; `found`: violations."""
    texts: int
    taken: int
    refused: int
    stitched: int
    slowest_ms: float
    found: list[Violation]


def mutate_playlist(random_source: random.Random) -> bytes:
    """A playlist with a few mutations, mostly one or two: one with many is rejected at once."""
    lines = random_source.choice(SEEDS).split("\n")
    for _ in range(random_source.choice((1, 1, 1, 2, 2, 3, 5, 8))):
        at = random_source.randrange(len(lines))
        random_source.choice(MUTATIONS)(lines, at, random_source)
        if not lines:
            return b""
    data = "\n".join(lines[:MAX_LINES]).encode("utf-8", "surrogatepass")
    for _ in range(random_source.choice((0, 0, 0, 0, 0, 1, 4))):
        at = random_source.randrange(len(data) + 1)
        data = data[:at] + bytes([random_source.randrange(256)]) + data[at + random_source.randint(0, 1):]
    return data


def drop_line(lines: list[str], at: int, random_source: random.Random) -> None:
    """Removes the line."""
    del lines[at]


def duplicate_line(lines: list[str], at: int, random_source: random.Random) -> None:
    """Copies the line to a random place."""
    lines.insert(random_source.randrange(len(lines) + 1), lines[at])


def swap_lines(lines: list[str], at: int, random_source: random.Random) -> None:
    """Swaps the line with another."""
    other = random_source.randrange(len(lines))
    lines[at], lines[other] = lines[other], lines[at]


def insert_seed_line(lines: list[str], at: int, random_source: random.Random) -> None:
    """Inserts a line of another playlist."""
    lines.insert(at, random_source.choice(random_source.choice(SEEDS).split("\n")))


def replace_value(lines: list[str], at: int, random_source: random.Random) -> None:
    """Replaces the tag's value by an odd one."""
    tag, separator, _ = lines[at].partition(":")
    lines[at] = tag + (separator or ":") + random_source.choice(ODD_VALUES)


def insert_value(lines: list[str], at: int, random_source: random.Random) -> None:
    """Puts an odd value in the middle of the line."""
    line = lines[at]
    column = random_source.randrange(len(line) + 1)
    lines[at] = line[:column] + random_source.choice(ODD_VALUES) + line[column + random_source.randint(0, 3):]


def change_digits(lines: list[str], at: int, random_source: random.Random) -> None:
    """Changes some of the line's digits."""
    lines[at] = "".join(random_source.choice("0123456789") if char.isdigit() and random_source.random() < 0.3 else char for char in lines[at])


MUTATIONS: tuple[Callable[[list[str], int, random.Random], None], ...] = (drop_line, duplicate_line, swap_lines, insert_seed_line, replace_value, insert_value, change_digits, change_digits)


def check_text(data: bytes) -> tuple[str | None, str]:
    """The property that a text violates (None: none), and its outcome: refused, taken or stitched."""
    try:
        playlist = read(data)
    except InvalidPlaylist as error:
        lines = data.count(b"\n") + 1
        if not error.faults or any(not 1 <= fault.line <= lines or not fault.reason for fault in error.faults):
            return f"rejected without a line number: {error.faults}", "refused"
        return None, "refused"
    if (reread := read(write(playlist))) != playlist:
        return f"it differs when written and read again: {reread}", "taken"
    if not isinstance(playlist, Media) or not playlist.segments:
        return None, "taken"
    try:
        stitched = stitch(playlist, [Insertion(playlist.sequence + len(playlist.segments) // 2, NOTICE)])
    except StitchingError:
        return None, "taken"
    if read(write(stitched)).segments != read(write(read(write(stitched)))).segments:
        return "stitched, it differs when written and read again", "stitched"
    if unstitch(stitched, playlist) != playlist:
        return "unstitching does not restore the source", "stitched"
    return None, "stitched"


@contextlib.contextmanager
def without_collector() -> Iterator[None]:
    """Holds the garbage collector back: a pass over all objects of the process is not the work of one text."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def run(seed: int, texts: int | None = None, seconds: float | None = None) -> Tally:
    """Checks this many texts, or for this many seconds. The same seed gives the same texts."""
    random_source, started_at, counts = random.Random(seed), time.perf_counter(), {"refused": 0, "taken": 0, "stitched": 0}
    slowest_ms, found, count = 0.0, [], 0
    while (texts is None or count < texts) and (seconds is None or time.perf_counter() - started_at < seconds):
        data = mutate_playlist(random_source)
        count += 1
        with without_collector():
            cpu_started_at = time.process_time()
            try:
                violation, outcome = check_text(data)
            except Exception as error:     # only InvalidPlaylist and StitchingError may be raised
                violation, outcome = f"{type(error).__name__}: {error}", "refused"
            took_ms = (time.process_time() - cpu_started_at) * 1000
        slowest_ms, counts[outcome] = max(slowest_ms, took_ms), counts[outcome] + 1
        if violation is None and took_ms > BASE_LIMIT_MS + LIMIT_MS_PER_KIB * len(data) / 1024:
            violation = f"{took_ms:.0f} ms for {len(data)} bytes"
        if violation is not None:
            found.append(Violation(violation, data))
    return Tally(count, counts["taken"] + counts["stitched"], counts["refused"], counts["stitched"], slowest_ms, found)

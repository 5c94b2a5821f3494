"""A seeded fuzzer over the playlist reader: texts bent out of shape, and what must hold of each.

A text is either refused, with faults whose lines are in it, or read; what was read is written and read again the same. A media playlist that was read takes a
notice, or refuses it by name; with it, it is again read the same and comes apart into itself. Nothing takes longer than its size allows.
"""
import random
import time
from typing import Callable, NamedTuple

from laddergw.hls.reading import InvalidPlaylist, read
from laddergw.hls.stitching import Insertion, Item, StitchingError, stitch, unstitch
from laddergw.hls.values import Media, Segment
from laddergw.hls.writing import write

MS_EACH, MS_A_KIB = 50.0, 20.0     # a text may take so long, whatever its size and for each KiB: some twenty times the usual
LINES_MOST = 40                    # of a text that is bent: faults show in small ones
SEEDS = (
    "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:6\n#EXT-X-MEDIA-SEQUENCE:7\n#EXT-X-DISCONTINUITY-SEQUENCE:2\n#EXT-X-PLAYLIST-TYPE:EVENT\n"
    "#EXT-X-SERVER-CONTROL:CAN-SKIP-UNTIL=12.0\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\",IV=0x00ff\n#EXT-X-MAP:URI=\"i.mp4\",BYTERANGE=\"720@0\"\n"
    "#EXT-X-PROGRAM-DATE-TIME:2026-12-01T10:00:00.000Z\n#EXTINF:5.005,a title\n#EXT-X-BYTERANGE:100@0\na.ts\n#EXT-X-BYTERANGE:50\n#EXTINF:4,\na.ts\n"
    "#EXT-X-DISCONTINUITY\n#EXT-X-KEY:METHOD=NONE\n#EXT-X-DATERANGE:ID=\"d\",CLASS=\"notice\",START-DATE=\"2026-12-01T10:00:09Z\",DURATION=3.5\n#EXTINF:6.4,\nb.ts\n"
    "#EXT-X-GAP\n#X-OF-OTHERS:1\n#EXTINF:2,\nc.ts\n#EXT-X-ENDLIST\n",
    "#EXTM3U\r\n#EXT-X-TARGETDURATION:4\r\n#EXTINF:4,\r\na\r\n#EXTINF:3.999,\r\nb\r\n# a comment\r\n",
    "#EXTM3U\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"a\",NAME=\"A, \u00e4\",URI=\"a.m3u8\"\n"
    "#EXT-X-STREAM-INF:BANDWIDTH=1280000,CODECS=\"mp4a.40.2,avc1.4d401e\",RESOLUTION=1280x720\nlow.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=2560000\nhigh.m3u8\n")
VALUES = ("", "0", "-1", "1e9", "nan", "inf", "99999999999999999999999", "1.", ".5", "0x10", "\"", "A=\"b", "A=1,A=2", ",", "=", "YES", "\u0660", "2026-02-30T00:00:00Z",
          "2026-12-01T10:00:00+99:99", "9999-12-31T23:59:59.999999999Z", "0001-01-01T00:00:00+14:00", "\x00", "\x85", "\ufeff", "\U0001f600", "a" * 20_000, "18446744073709551615", "5@", "@5")
NOTICE = Item("notice", Media((Segment("n0.ts", 2_000.0), Segment("n1.ts", 1_500.0)), 2_000.0, ended=True))


class Found(NamedTuple):
    """A text for which something does not hold."""
    what: str
    text: bytes


class Tally(NamedTuple):
    """What a run came to."""
    texts: int
    taken: int
    refused: int
    stitched: int
    slowest_ms: float
    found: list[Found]


def bent(chance: random.Random) -> bytes:
    """A playlist with a few things done to it, mostly one or two: what is bent much is refused at once."""
    lines = chance.choice(SEEDS).split("\n")
    for _ in range(chance.choice((1, 1, 1, 2, 2, 3, 5, 8))):
        at = chance.randrange(len(lines))
        chance.choice(BENDS)(lines, at, chance)
        if not lines:
            return b""
    data = "\n".join(lines[:LINES_MOST]).encode("utf-8", "surrogatepass")
    for _ in range(chance.choice((0, 0, 0, 0, 0, 1, 4))):
        at = chance.randrange(len(data) + 1)
        data = data[:at] + bytes([chance.randrange(256)]) + data[at + chance.randint(0, 1):]
    return data


def drop(lines: list[str], at: int, chance: random.Random) -> None:
    del lines[at]


def double(lines: list[str], at: int, chance: random.Random) -> None:
    lines.insert(chance.randrange(len(lines) + 1), lines[at])


def swap(lines: list[str], at: int, chance: random.Random) -> None:
    other = chance.randrange(len(lines))
    lines[at], lines[other] = lines[other], lines[at]


def borrow(lines: list[str], at: int, chance: random.Random) -> None:
    lines.insert(at, chance.choice(chance.choice(SEEDS).split("\n")))


def value(lines: list[str], at: int, chance: random.Random) -> None:
    tag, sign, _ = lines[at].partition(":")
    lines[at] = tag + (sign or ":") + chance.choice(VALUES)


def within(lines: list[str], at: int, chance: random.Random) -> None:
    line = lines[at]
    place = chance.randrange(len(line) + 1)
    lines[at] = line[:place] + chance.choice(VALUES) + line[place + chance.randint(0, 3):]


def number(lines: list[str], at: int, chance: random.Random) -> None:
    lines[at] = "".join(chance.choice("0123456789") if char.isdigit() and chance.random() < 0.3 else char for char in lines[at])


BENDS: tuple[Callable[[list[str], int, random.Random], None], ...] = (drop, double, swap, borrow, value, within, number, number)


def holds(data: bytes) -> tuple[str | None, str]:
    """What does not hold of a text (None: all does), and what became of it: refused, taken or stitched."""
    try:
        playlist = read(data)
    except InvalidPlaylist as error:
        lines = data.count(b"\n") + 1
        if not error.faults or any(not 1 <= fault.line <= lines or not fault.reason for fault in error.faults):
            return f"refused without a place: {error.faults}", "refused"
        return None, "refused"
    if (again := read(write(playlist))) != playlist:
        return f"read again it is another: {again}", "taken"
    if not isinstance(playlist, Media) or not playlist.segments:
        return None, "taken"
    try:
        out = stitch(playlist, [Insertion(playlist.sequence + len(playlist.segments) // 2, NOTICE)])
    except StitchingError:
        return None, "taken"
    if read(write(out)).segments != read(write(read(write(out)))).segments:
        return "stitched and read again it is another", "stitched"
    if unstitch(out, playlist) != playlist:
        return "it does not come apart into itself", "stitched"
    return None, "stitched"


def run(seed: int, texts: int | None = None, seconds: float | None = None) -> Tally:
    """So many texts, or for so long. Same seed, same texts."""
    chance, began, done = random.Random(seed), time.perf_counter(), {"refused": 0, "taken": 0, "stitched": 0}
    slowest, found, count = 0.0, [], 0
    while (texts is None or count < texts) and (seconds is None or time.perf_counter() - began < seconds):
        data, at = bent(chance), time.process_time()
        count += 1
        try:
            wrong, became = holds(data)
        except Exception as error:               # nothing but InvalidPlaylist and StitchingError may come out
            wrong, became = f"{type(error).__name__}: {error}", "refused"
        spent = (time.process_time() - at) * 1000
        slowest, done[became] = max(slowest, spent), done[became] + 1
        if wrong is None and spent > MS_EACH + MS_A_KIB * len(data) / 1024:
            wrong = f"{spent:.0f} ms for {len(data)} bytes"
        if wrong is not None:
            found.append(Found(wrong, data))
    return Tally(count, done["taken"] + done["stitched"], done["refused"], done["stitched"], slowest, found)

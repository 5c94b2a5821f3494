"""Compares ways to make a session's playlist of 1,000 segments: joined from pieces, a copy of its bytes, parsed and written by m3u8.

    PYTHONPATH=. .venv/bin/python benchmarks/playlists.py
"""
import time

import m3u8

from laddergw.edge.composer import Composer, SegmentSource, AvailableItem, TitlePlaylists
from laddergw.hls.reading import read
from laddergw.hls.rendered import RenderedPlaylist
from laddergw.hls.stitching import Insertion, Item, stitch
from laddergw.hls.values import Media, Segment
from laddergw.hls.writing import write
from laddergw.programme.rules import BEFORE, SKIP, Rule
from laddergw.programme.schedule import PlacedItem
from laddergw.programme.sources import ChosenSource

SEGMENTS, ROUNDS = 1_000, 15
RULE = Rule("r", ("notice",), BEFORE, (), None, frozenset(), (), 0, 1, 0, 0, 0.0, SKIP)


def source(with_times: bool) -> Media:
    """Returns a programme with a programme time at each segment, or only at the first."""
    return Media(tuple(Segment(f"seg/{n:06d}.ts?of=programme", 4_004.0, duration_text="4.004",
                               time_ms=1.79e12 + 4_004 * n if with_times or n == 0 else None) for n in range(SEGMENTS)), 5_000.0, ended=True, version=6)


def median_us(call, times: int = 20) -> float:
    """Returns the median time per call in us over ROUNDS rounds of `times` calls."""
    rounds_us = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(times):
            call()
        rounds_us.append((time.perf_counter() - started) / times * 1e6)
    return sorted(rounds_us)[ROUNDS // 2]


def main() -> None:
    """Prints the time of each way, and its ratio to a copy and to m3u8."""
    item = Item("notice", Media(tuple(Segment(f"notice/{n}.ts", 3_000.0) for n in range(5)), 4_000.0, ended=True))
    for with_times in False, True:
        playlist = source(with_times)
        rendered, text = RenderedPlaylist(playlist), write(playlist)
        encoded = bytearray(text.encode())
        insertions = [Insertion(0, item), Insertion(400, item)]
        assert rendered.stitched_bytes(insertions) == write(stitch(playlist, insertions)).encode()
        composer = Composer(TitlePlaylists((playlist,)), [PlacedItem(0, 0.0, "notice", RULE), PlacedItem(400, 0.0, "notice", RULE)])
        composer.extend(1e12, SegmentSource(1, 0, ""), lambda placed, lead: ChosenSource("notice", 1), lambda chosen: AvailableItem(item, ""))
        assert [s.uri for s in read(composer.text()).segments] == [s.uri for s in read(rendered.stitched_bytes(insertions)).segments]
        calls = {"a session's next reload, two items": composer.text, "copy of its bytes": lambda: bytes(encoded), "pieces, nothing stitched": rendered.source_bytes,
                "pieces, two items": lambda: rendered.stitched_bytes(insertions), "stitch and write": lambda: write(stitch(playlist, insertions)),
                "read by laddergw": lambda: read(text), "parse and write by m3u8": lambda: m3u8.loads(text).dumps()}
        medians_us = {name: median_us(call, 3 if "m3u8" in name or "read" in name else 20) for name, call in calls.items()}
        print(f"{SEGMENTS} segments, {len(text)} bytes, programme time at {'each segment' if with_times else 'the first'}")
        for name, us in medians_us.items():
            print(f"  {name:36} {us:10.1f} us  {us / medians_us['copy of its bytes']:8.1f} x copy  {medians_us['parse and write by m3u8'] / us:8.1f} x faster than m3u8")


if __name__ == "__main__":
    main()

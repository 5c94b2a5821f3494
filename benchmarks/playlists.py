"""A session's playlist of 1,000 segments: put together from pieces, against a copy of its bytes and a parse and write by m3u8.

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


def source(timed: bool) -> Media:
    return Media(tuple(Segment(f"seg/{n:06d}.ts?of=programme", 4_004.0, duration_text="4.004",
                               time_ms=1.79e12 + 4_004 * n if timed or n == 0 else None) for n in range(SEGMENTS)), 5_000.0, ended=True, version=6)


def median_us(call, times: int = 20) -> float:
    found = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(times):
            call()
        found.append((time.perf_counter() - began) / times * 1e6)
    return sorted(found)[ROUNDS // 2]


def main() -> None:
    item = Item("notice", Media(tuple(Segment(f"notice/{n}.ts", 3_000.0) for n in range(5)), 4_000.0, ended=True))
    for timed in False, True:
        whole = source(timed)
        rendered, text = RenderedPlaylist(whole), write(whole)
        plain = bytearray(text.encode())
        notices = [Insertion(0, item), Insertion(400, item)]
        assert rendered.stitched(notices) == write(stitch(whole, notices)).encode()
        composer = Composer(TitlePlaylists((whole,)), [PlacedItem(0, 0.0, "notice", RULE), PlacedItem(400, 0.0, "notice", RULE)])
        composer.extend(1e12, SegmentSource(1, 0, ""), lambda placed, lead: ChosenSource("notice", 1), lambda chosen: AvailableItem(item, ""))
        assert [s.uri for s in read(composer.text()).segments] == [s.uri for s in read(rendered.stitched(notices)).segments]
        rows = {"a session's next reload, two items": composer.text, "copy of its bytes": lambda: bytes(plain), "pieces, nothing stitched": rendered.plain,
                "pieces, two items": lambda: rendered.stitched(notices), "stitch and write": lambda: write(stitch(whole, notices)),
                "read by us": lambda: read(text), "parse and write by m3u8": lambda: m3u8.loads(text).dumps()}
        figures = {name: median_us(call, 3 if "m3u8" in name or "read" in name else 20) for name, call in rows.items()}
        print(f"{SEGMENTS} segments, {len(text)} bytes, programme time at {'each segment' if timed else 'the first'}")
        for name, us in figures.items():
            print(f"  {name:36} {us:10.1f} us  {us / figures['copy of its bytes']:8.1f} x copy  {figures['parse and write by m3u8'] / us:8.1f} x faster than m3u8")


if __name__ == "__main__":
    main()

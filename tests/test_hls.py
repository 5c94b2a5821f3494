"""Playlists: text and back, faults with lines, stitching judged by the continuity check and by another reader."""
import unittest

import m3u8
from hypothesis import given, settings, strategies as st

from laddergw.hls import attributes
from laddergw.hls.reading import InvalidPlaylist, read
from laddergw.hls.rendered import RenderedPlaylist
from laddergw.hls.stitching import Insertion, Item, StitchingError, stitch, unstitch
from laddergw.hls.values import Media, Multivariant, Segment, Variant, seconds_text, time_ms, time_text
from laddergw.hls.writing import write
from laddergw.lab import fuzz
from laddergw.lab.continuity_audit import Judge, programme_whole

HEAD = "#EXTM3U\n#EXT-X-TARGETDURATION:6\n"
BAD = {                    # what is wrong: the text, and a part of what is told
    "no head": ("#EXT-X-TARGETDURATION:6\n", "line 1: does not begin"),
    "endless line": (HEAD + "#EXTINF:6,\n" + "a" * 20_000 + "\n", "line 4: a line of 20000"),
    "NUL": (HEAD + "#EXTINF:6,\na\0b\n", "line 4: a control character"),
    "not UTF-8": (HEAD.encode() + b"#EXTINF:6,\n\xff\n", "line 4: not UTF-8"),
    "duration": (HEAD + "#EXTINF:-1,\na\n", "line 3: EXTINF: '-1' is not a duration"),
    "infinite": (HEAD + "#EXTINF:inf,\na\n", "line 3: EXTINF"),
    "over target": (HEAD + "#EXTINF:9,\na\n", "9000 ms is over the target"),
    "no target": ("#EXTM3U\n#EXTINF:6,\na\n", "EXT-X-TARGETDURATION is missing"),
    "twice": (HEAD + "#EXT-X-TARGETDURATION:6\n", "line 3: EXT-X-TARGETDURATION stands twice"),
    "late head": (HEAD + "#EXTINF:6,\na\n#EXT-X-MEDIA-SEQUENCE:4\n", "line 5: EXT-X-MEDIA-SEQUENCE behind the first segment"),
    "bare address": (HEAD + "a\n", "line 3: an address without EXTINF"),
    "bare tags": (HEAD + "#EXTINF:6,\n", "tags of a segment without its address"),
    "behind the end": (HEAD + "#EXT-X-ENDLIST\n#EXTINF:6,\na\n", "line 5: a segment behind EXT-X-ENDLIST"),
    "both kinds": (HEAD + "#EXT-X-STREAM-INF:BANDWIDTH=1\nv\n", "tags of a media playlist and of a multivariant one"),
    "no bandwidth": ("#EXTM3U\n#EXT-X-STREAM-INF:CODECS=\"a\"\nv\n", "line 2: EXT-X-STREAM-INF: no BANDWIDTH"),
    "attributes": (HEAD + "#EXT-X-KEY:METHOD\n#EXTINF:6,\na\n", "line 3: EXT-X-KEY: attribute at column 1"),
    "attribute twice": (HEAD + "#EXT-X-KEY:A=1,A=2\n#EXTINF:6,\na\n", "line 3: EXT-X-KEY: attribute A stands twice"),
    "range": (HEAD + "#EXT-X-BYTERANGE:x@1\n#EXTINF:6,\na\n", "line 3: EXT-X-BYTERANGE: 'x@1' is not a range"),
    "time": (HEAD + "#EXT-X-PROGRAM-DATE-TIME:2026-13-01T00:00:00Z\n#EXTINF:6,\na\n", "line 3: EXT-X-PROGRAM-DATE-TIME"),
    "year": (HEAD + "#EXT-X-PROGRAM-DATE-TIME:0826-10-01T15:50:07.000Z\n#EXTINF:6,\na\n", "not between the years 1900 and 9000"),
    "last year": (HEAD + "#EXT-X-PROGRAM-DATE-TIME:9999-12-31T23:59:59.999Z\n#EXTINF:6,\na\n", "not between the years"),
    "sequence": (HEAD.replace("6\n", "6\n#EXT-X-MEDIA-SEQUENCE:99999999999999999999\n"), "line 3: EXT-X-MEDIA-SEQUENCE"),
    "kind": (HEAD + "#EXT-X-PLAYLIST-TYPE:LIVE\n", "neither VOD nor EVENT"),
    "range without id": (HEAD + "#EXT-X-DATERANGE:CLASS=\"a\"\n#EXTINF:6,\na\n", "line 3: EXT-X-DATERANGE: no ID")}

KEYS = st.just(attributes.Attributes((("METHOD", "NONE"),))) | st.integers(1, 3).map(
    lambda n: attributes.Attributes((("METHOD", "AES-128"), ("URI", f'"k{n}"'))))


@st.composite
def media(draw, name="p", timed=None, sections=None, ended=True, least=1):
    """A playlist with what may stand in one; addresses are its own."""
    count = draw(st.integers(least, 9))
    sections = draw(st.booleans()) if sections is None else sections
    timed = draw(st.booleans()) if timed is None else timed
    clock, segments = 1_790_000_000_000.0, []
    for place in range(count):
        ms = draw(st.sampled_from((2_000.0, 4_004.0, 6_000.0, 1_234.5, 333.0)))
        stated = timed and (place == 0 or draw(st.booleans()))
        segments.append(Segment(
            f"{name}{place}.ts", ms, duration_text=seconds_text(ms), discontinuity=place > 0 and draw(st.integers(0, 5)) == 0,
            time_ms=float(round(clock)) if stated else None, time_text=time_text(clock) if stated else "",
            keys=(draw(KEYS),) if draw(st.integers(0, 4)) == 0 else (),
            map=attributes.Attributes((("URI", f'"{name}.mp4"'),)) if sections and (place == 0 or draw(st.integers(0, 5)) == 0) else None,
            unknown_lines=("#EXT-X-OF-OTHERS:1",) if draw(st.integers(0, 5)) == 0 else (), gap=draw(st.integers(0, 9)) == 0))
        clock += ms
    sequence = draw(st.integers(0, 50))
    return Media(tuple(segments), 6_000.0, sequence, draw(st.integers(0, 5)), version=draw(st.sampled_from((None, 3, 7))), ended=ended,
                 playlist_type=draw(st.sampled_from((None, "VOD"))), independent_segments=draw(st.booleans()))


@st.composite
def evening(draw):
    """A programme with insertions, two at one place among them."""
    sections = draw(st.booleans())
    source = draw(media("p", sections=sections))
    items = [Item(f"n{k}", draw(media(f"n{k}-", timed=False, sections=sections))) for k in range(draw(st.integers(0, 3)))]
    chosen = []
    for item in items:
        at = source.sequence + draw(st.integers(0, len(source.segments)))
        place = at - source.sequence
        chosen.append(Insertion(at, item, place < len(source.segments) and source.segments[place].discontinuity))
    return source, chosen


def addresses(insertions):
    return {one.item.name: tuple(s.uri for s in one.item.media.segments) for one in insertions}


class Text(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(media())
    def test_what_is_written_is_read(self, playlist):
        self.assertEqual(read(write(playlist)), playlist)

    def test_multivariant_both_ways(self):
        text = ('#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID="a",NAME="x, y"\n#EXT-X-OURS\n'
                '#EXT-X-STREAM-INF:BANDWIDTH=800000,CODECS="avc1,mp4a"\nlow.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=1600000\nhigh.m3u8\n')
        found = read(text)
        self.assertIsInstance(found, Multivariant)
        self.assertEqual([v.bandwidth for v in found.variants], [800_000, 1_600_000])
        self.assertEqual(read(write(found)), found)
        self.assertEqual(m3u8.loads(write(found)).playlists[0].stream_info.codecs, "avc1,mp4a")
        self.assertEqual(found.variants[0], Variant("low.m3u8", found.variants[0].attributes, ("#EXT-X-OURS",)))

    def test_what_is_wrong_is_told_with_its_line(self):
        for name, (text, told) in BAD.items():
            with self.subTest(name), self.assertRaises(InvalidPlaylist) as caught:
                read(text)
            self.assertIn(told, str(caught.exception))

    def test_eight_megabytes_are_read_and_more_than_sixteen_are_not(self):
        text = HEAD + "#EXTINF:6,\nsegment-with-a-long-address.ts\n" * 190_000
        self.assertEqual(len(read(text).segments), 190_000)
        with self.assertRaises(InvalidPlaylist):
            read(text * 3)

    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.sampled_from(("#EXTM3U", "#EXTINF:6,", "#EXTINF:", "a.ts", "#EXT-X-KEY:", "#EXT-X-ENDLIST", "#EXT-X-TARGETDURATION:6",
                                     "#EXT-X-DISCONTINUITY", "#EXT-X-STREAM-INF:BANDWIDTH=1", "#EXT-X-MAP:URI=\"x\"", "", "#x", "\x00", "é"))
                    | st.text(max_size=20), max_size=12))
    def test_any_lines_are_read_or_refused(self, lines):
        try:
            found = read("\n".join(["#EXTM3U"] + lines))
        except InvalidPlaylist as error:
            self.assertTrue(error.faults)
        else:
            self.assertEqual(read(write(found)), found)

    @given(st.integers(0, 4_000_000_000_000))
    def test_times_both_ways(self, ms):
        self.assertEqual(time_ms(time_text(ms)), ms)
        self.assertEqual(time_ms("2026-12-01T10:00:00.5+01:00"), time_ms("2026-12-01T09:00:00.500Z"))


class Stitched(unittest.TestCase):
    @settings(max_examples=250, deadline=None)
    @given(evening())
    def test_any_evening_passes_the_check_and_comes_apart_again(self, drawn):
        source, insertions = drawn
        out = stitch(source, insertions)
        judge = Judge(addresses(insertions))
        self.assertEqual(judge.reload(out), [])
        self.assertEqual(programme_whole(out, addresses(insertions), source), [])
        self.assertEqual(unstitch(out, source), source)
        self.assertEqual(unstitch(read(write(out)), source), source)
        self.assertEqual(RenderedPlaylist(source).stitched(insertions).decode(), write(out))

    @settings(max_examples=100, deadline=None)
    @given(evening())
    def test_another_reader_sees_the_same(self, drawn):
        source, insertions = drawn
        out = stitch(source, insertions)
        judge = m3u8.loads(write(out))
        self.assertEqual([s.uri for s in judge.segments], [s.uri for s in out.segments])
        self.assertEqual([s.discontinuity for s in judge.segments], [s.discontinuity for s in out.segments])
        self.assertEqual((judge.media_sequence, judge.is_endlist), (out.sequence, out.ended))
        for theirs, ours in zip(judge.segments, out.segments):
            self.assertAlmostEqual(theirs.duration * 1000, ours.duration_ms, places=3)

    @settings(max_examples=120, deadline=None)
    @given(media("p", ended=False, least=8, sections=False), st.lists(st.tuples(st.integers(0, 7), media("n", timed=False, sections=False)), max_size=3),
           st.integers(2, 5))
    def test_a_window_that_slides_stitches_the_same(self, whole, drawn, width):
        """Reload by reload, also while an item leaves the window: numbers and cuts never change their meaning."""
        insertions = []
        for index, (place, playlist) in enumerate(drawn):
            playlist = playlist._replace(segments=tuple(s._replace(uri=f"n{index}-{s.uri}") for s in playlist.segments))
            place %= len(whole.segments)
            insertions.append(Insertion(whole.sequence + place, Item(f"n{index}", playlist), whole.segments[place].discontinuity))
        judge, cuts = Judge(addresses(insertions)), whole.discontinuity_sequence
        for start in range(len(whole.segments) - width + 1):
            window = whole._replace(segments=whole.segments[start:start + width], sequence=whole.sequence + start, discontinuity_sequence=cuts)
            out = stitch(window, insertions)
            self.assertEqual(judge.reload(out), [])
            self.assertEqual(RenderedPlaylist(window).stitched(insertions).decode(), write(out))
            cuts += window.segments[0].discontinuity

    def test_splices_by_hand(self):
        source = read(HEAD + "#EXT-X-MEDIA-SEQUENCE:5\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\"\n#EXT-X-BYTERANGE:100@0\n"
                      "#EXT-X-PROGRAM-DATE-TIME:2026-12-01T10:00:00.000Z\n#EXTINF:6,\nf\n#EXT-X-BYTERANGE:50\n#EXTINF:6,\nf\n"
                      "#EXT-X-DATERANGE:ID=\"c\",START-DATE=\"2026-12-01T10:00:12Z\"\n#EXTINF:4,\ng\n#EXT-X-ENDLIST\n")
        item = Item("notice", read("#EXTM3U\n#EXT-X-TARGETDURATION:8\n#EXTINF:8,\nn\n#EXT-X-ENDLIST\n"))
        out = stitch(source, [Insertion(6, item)])
        self.assertEqual(out.target_ms, 8_000)
        self.assertEqual([s.uri for s in out.segments], ["f", "n", "f", "g"])
        notice, back, last = out.segments[1:]
        self.assertEqual((notice.discontinuity, notice.keys[0].get("METHOD"), time_text(notice.time_ms)), (True, "NONE", "2026-12-01T10:00:06.000Z"))
        self.assertEqual((back.discontinuity, back.keys[0].get("URI"), back.byte_range), (True, "k", "50@100"))
        self.assertEqual(time_text(back.time_ms), "2026-12-01T10:00:14.000Z")
        self.assertEqual(last.date_ranges[0].get("START-DATE"), "2026-12-01T10:00:20.000Z")
        self.assertEqual(unstitch(out, source), source)

    def test_items_that_cannot_stand(self):
        source = Media((Segment("p", 1_000.0, map=attributes.read('URI="i"')),), 6_000.0, ended=True)
        grows = Media((Segment("n", 1_000.0),), 6_000.0)
        for item, told in ((Item("n", grows), "still grows"), (Item("n", grows._replace(ended=True, segments=())), "no segment"),
                           (Item("n", grows._replace(ended=True)), "no initialisation section"), (Item("", grows._replace(ended=True)), "not a name")):
            with self.assertRaisesRegex(StitchingError, told):
                stitch(source, [Insertion(1, item)])

    def test_a_fuzzer_finds_nothing_and_would_find_what_is_broken(self):
        tally = fuzz.run(7, texts=6_000)
        self.assertEqual(tally.found, [])
        self.assertGreater(min(tally.taken, tally.refused, tally.stitched), 250)
        keep, fuzz.write = fuzz.write, lambda playlist: keep(playlist).replace("a.ts", "z.ts")
        try:
            self.assertTrue(fuzz.run(7, texts=200).found)
        finally:
            fuzz.write = keep

    def test_each_kind_of_fault_is_caught(self):
        """Stitchers broken on purpose: the check tells each by its kind."""
        clock = 1_790_000_000_000.0
        source = Media(tuple(Segment(f"p{k}", 4_000.0, time_ms=clock + 4_000 * k) for k in range(6)), 6_000.0, 3, 1, ended=True)
        item = Item("n", Media(tuple(Segment(f"n{k}", 2_000.0) for k in range(3)), 6_000.0, ended=True))
        insertions = [Insertion(5, item)]
        good, names = stitch(source, insertions), addresses(insertions)

        def kinds(*reloads):
            judge = Judge(names)
            return {fault.kind for media in reloads for fault in judge.reload(media)} | {
                fault.kind for media in reloads[:1] for fault in programme_whole(media, names, source)}

        def swap(place, **changes):
            return good._replace(segments=tuple(s._replace(**changes) if k == place else s for k, s in enumerate(good.segments)))
        self.assertEqual(kinds(good), set())
        self.assertIn("back", kinds(good, good._replace(sequence=2)))
        self.assertIn("cuts", kinds(good, good._replace(discontinuity_sequence=0)))
        self.assertIn("cuts", kinds(swap(5, discontinuity=False)))
        self.assertIn("time", kinds(swap(5, time_ms=good.segments[5].time_ms - 6_000)))
        self.assertIn("target", kinds(good._replace(target_ms=3_000.0)))
        self.assertIn("target", kinds(good, good._replace(target_ms=7_000.0)))
        self.assertIn("repeat", kinds(good._replace(segments=good.segments[:1] + good.segments)))
        self.assertIn("missing", kinds(good._replace(segments=good.segments[:6] + good.segments[7:])))
        self.assertIn("item", kinds(good._replace(segments=good.segments[:3] + good.segments[4:])))
        self.assertIn("changed", kinds(good, swap(0, uri="other")))


if __name__ == "__main__":
    unittest.main()

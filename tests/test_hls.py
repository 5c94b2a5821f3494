"""HLS playlists: parsing and writing, faults with their lines, stitching checked by the continuity check and by m3u8."""
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
# By what is wrong: the text, and a part of the error
INVALID_PLAYLISTS = {
    "no head": ("#EXT-X-TARGETDURATION:6\n", "line 1: does not begin"),
    "endless line": (HEAD + "#EXTINF:6,\n" + "a" * 20_000 + "\n", "line 4: a line of 20000"),
    "NUL": (HEAD + "#EXTINF:6,\na\0b\n", "line 4: a control character"),
    "not UTF-8": (HEAD.encode() + b"#EXTINF:6,\n\xff\n", "line 4: not UTF-8"),
    "duration": (HEAD + "#EXTINF:-1,\na\n", "line 3: EXTINF: '-1' is not a duration"),
    "infinite": (HEAD + "#EXTINF:inf,\na\n", "line 3: EXTINF"),
    "over target": (HEAD + "#EXTINF:9,\na\n", "9000 ms is over the target"),
    "no target": ("#EXTM3U\n#EXTINF:6,\na\n", "EXT-X-TARGETDURATION is missing"),
    "twice": (HEAD + "#EXT-X-TARGETDURATION:6\n", "line 3: EXT-X-TARGETDURATION is repeated"),
    "late head": (HEAD + "#EXTINF:6,\na\n#EXT-X-MEDIA-SEQUENCE:4\n", "line 5: EXT-X-MEDIA-SEQUENCE after the first segment"),
    "URI without tags": (HEAD + "a\n", "line 3: a URI without EXTINF"),
    "tags without URI": (HEAD + "#EXTINF:6,\n", "segment tags without a URI"),
    "after the end": (HEAD + "#EXT-X-ENDLIST\n#EXTINF:6,\na\n", "line 5: a segment after EXT-X-ENDLIST"),
    "both kinds": (HEAD + "#EXT-X-STREAM-INF:BANDWIDTH=1\nv\n", "tags of both a media and a multivariant playlist"),
    "no bandwidth": ("#EXTM3U\n#EXT-X-STREAM-INF:CODECS=\"a\"\nv\n", "line 2: EXT-X-STREAM-INF: no BANDWIDTH"),
    "attributes": (HEAD + "#EXT-X-KEY:METHOD\n#EXTINF:6,\na\n", "line 3: EXT-X-KEY: attribute at column 1"),
    "attribute twice": (HEAD + "#EXT-X-KEY:A=1,A=2\n#EXTINF:6,\na\n", "line 3: EXT-X-KEY: attribute A is repeated"),
    "range": (HEAD + "#EXT-X-BYTERANGE:x@1\n#EXTINF:6,\na\n", "line 3: EXT-X-BYTERANGE: 'x@1' is not a range"),
    "time": (HEAD + "#EXT-X-PROGRAM-DATE-TIME:2026-13-01T00:00:00Z\n#EXTINF:6,\na\n", "line 3: EXT-X-PROGRAM-DATE-TIME"),
    "year": (HEAD + "#EXT-X-PROGRAM-DATE-TIME:0826-10-01T15:50:07.000Z\n#EXTINF:6,\na\n", "not between the years 1900 and 9000"),
    "last year": (HEAD + "#EXT-X-PROGRAM-DATE-TIME:9999-12-31T23:59:59.999Z\n#EXTINF:6,\na\n", "not between the years"),
    "sequence": (HEAD.replace("6\n", "6\n#EXT-X-MEDIA-SEQUENCE:99999999999999999999\n"), "line 3: EXT-X-MEDIA-SEQUENCE"),
    "kind": (HEAD + "#EXT-X-PLAYLIST-TYPE:LIVE\n", "neither VOD nor EVENT"),
    "range without id": (HEAD + "#EXT-X-DATERANGE:CLASS=\"a\"\n#EXTINF:6,\na\n", "line 3: EXT-X-DATERANGE: no ID")}

KEY_TAGS = st.just(attributes.Attributes((("METHOD", "NONE"),))) | st.integers(1, 3).map(
    lambda n: attributes.Attributes((("METHOD", "AES-128"), ("URI", f'"k{n}"'))))


@st.composite
def media_playlists(draw, name="p", with_times=None, with_maps=None, ended=True, min_segments=1):
    """Media playlists with all kinds of tags; the URIs start with `name`."""
    count = draw(st.integers(min_segments, 9))
    with_maps = draw(st.booleans()) if with_maps is None else with_maps
    with_times = draw(st.booleans()) if with_times is None else with_times
    clock_ms, segments = 1_790_000_000_000.0, []
    for index in range(count):
        ms = draw(st.sampled_from((2_000.0, 4_004.0, 6_000.0, 1_234.5, 333.0)))
        has_time = with_times and (index == 0 or draw(st.booleans()))
        segments.append(Segment(
            f"{name}{index}.ts", ms, duration_text=seconds_text(ms), discontinuity=index > 0 and draw(st.integers(0, 5)) == 0,
            time_ms=float(round(clock_ms)) if has_time else None, time_text=time_text(clock_ms) if has_time else "",
            keys=(draw(KEY_TAGS),) if draw(st.integers(0, 4)) == 0 else (),
            map=attributes.Attributes((("URI", f'"{name}.mp4"'),)) if with_maps and (index == 0 or draw(st.integers(0, 5)) == 0) else None,
            unknown_lines=("#EXT-X-OF-OTHERS:1",) if draw(st.integers(0, 5)) == 0 else (), gap=draw(st.integers(0, 9)) == 0))
        clock_ms += ms
    sequence = draw(st.integers(0, 50))
    return Media(tuple(segments), 6_000.0, sequence, draw(st.integers(0, 5)), version=draw(st.sampled_from((None, 3, 7))), ended=ended,
                 playlist_type=draw(st.sampled_from((None, "VOD"))), independent_segments=draw(st.booleans()))


@st.composite
def insertions_into_source(draw):
    """A source and insertions, several at one segment among them."""
    with_maps = draw(st.booleans())
    source = draw(media_playlists("p", with_maps=with_maps))
    items = [Item(f"n{k}", draw(media_playlists(f"n{k}-", with_times=False, with_maps=with_maps))) for k in range(draw(st.integers(0, 3)))]
    insertions = []
    for item in items:
        sequence_number = source.sequence + draw(st.integers(0, len(source.segments)))
        index = sequence_number - source.sequence
        insertions.append(Insertion(sequence_number, item, index < len(source.segments) and source.segments[index].discontinuity))
    return source, insertions


def item_uris(insertions):
    return {insertion.item.name: tuple(segment.uri for segment in insertion.item.media.segments) for insertion in insertions}


class ParsingTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(media_playlists())
    def test_written_playlist_is_read_back(self, playlist):
        self.assertEqual(read(write(playlist)), playlist)

    def test_multivariant_is_read_and_written(self):
        text = ('#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID="a",NAME="x, y"\n#EXT-X-OURS\n'
                '#EXT-X-STREAM-INF:BANDWIDTH=800000,CODECS="avc1,mp4a"\nlow.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=1600000\nhigh.m3u8\n')
        playlist = read(text)
        self.assertIsInstance(playlist, Multivariant)
        self.assertEqual([v.bandwidth for v in playlist.variants], [800_000, 1_600_000])
        self.assertEqual(read(write(playlist)), playlist)
        self.assertEqual(m3u8.loads(write(playlist)).playlists[0].stream_info.codecs, "avc1,mp4a")
        self.assertEqual(playlist.variants[0], Variant("low.m3u8", playlist.variants[0].attributes, ("#EXT-X-OURS",)))

    def test_faults_are_reported_with_their_line(self):
        for name, (text, message) in INVALID_PLAYLISTS.items():
            with self.subTest(name), self.assertRaises(InvalidPlaylist) as caught:
                read(text)
            self.assertIn(message, str(caught.exception))

    def test_size_limit(self):
        text = HEAD + "#EXTINF:6,\nsegment-with-a-long-address.ts\n" * 190_000
        self.assertEqual(len(read(text).segments), 190_000)
        with self.assertRaises(InvalidPlaylist):
            read(text * 3)

    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.sampled_from(("#EXTM3U", "#EXTINF:6,", "#EXTINF:", "a.ts", "#EXT-X-KEY:", "#EXT-X-ENDLIST", "#EXT-X-TARGETDURATION:6",
                                     "#EXT-X-DISCONTINUITY", "#EXT-X-STREAM-INF:BANDWIDTH=1", "#EXT-X-MAP:URI=\"x\"", "", "#x", "\x00", "é"))
                    | st.text(max_size=20), max_size=12))
    def test_arbitrary_lines_are_read_or_refused(self, lines):
        try:
            playlist = read("\n".join(["#EXTM3U"] + lines))
        except InvalidPlaylist as error:
            self.assertTrue(error.faults)
        else:
            self.assertEqual(read(write(playlist)), playlist)

    @given(st.integers(0, 4_000_000_000_000))
    def test_times_are_parsed_and_formatted(self, ms):
        self.assertEqual(time_ms(time_text(ms)), ms)
        self.assertEqual(time_ms("2026-12-01T10:00:00.5+01:00"), time_ms("2026-12-01T09:00:00.500Z"))


class StitchingTest(unittest.TestCase):
    @settings(max_examples=250, deadline=None)
    @given(insertions_into_source())
    def test_stitched_playlist_passes_the_check_and_is_unstitched(self, drawn):
        source, insertions = drawn
        out = stitch(source, insertions)
        judge = Judge(item_uris(insertions))
        self.assertEqual(judge.reload(out), [])
        self.assertEqual(programme_whole(out, item_uris(insertions), source), [])
        self.assertEqual(unstitch(out, source), source)
        self.assertEqual(unstitch(read(write(out)), source), source)
        self.assertEqual(RenderedPlaylist(source).stitched_bytes(insertions).decode(), write(out))

    @settings(max_examples=100, deadline=None)
    @given(insertions_into_source())
    def test_m3u8_reads_the_same(self, drawn):
        source, insertions = drawn
        out = stitch(source, insertions)
        parsed = m3u8.loads(write(out))
        self.assertEqual([s.uri for s in parsed.segments], [s.uri for s in out.segments])
        self.assertEqual([s.discontinuity for s in parsed.segments], [s.discontinuity for s in out.segments])
        self.assertEqual((parsed.media_sequence, parsed.is_endlist), (out.sequence, out.ended))
        for expected, segment in zip(parsed.segments, out.segments):
            self.assertAlmostEqual(expected.duration * 1000, segment.duration_ms, places=3)

    @settings(max_examples=120, deadline=None)
    @given(media_playlists("p", ended=False, min_segments=8, with_maps=False), st.lists(st.tuples(st.integers(0, 7), media_playlists("n", with_times=False, with_maps=False)), max_size=3),
           st.integers(2, 5))
    def test_sliding_window_is_stitched_the_same(self, whole, drawn, width):
        """At each reload, also while an item leaves the window, sequence numbers and discontinuity sequences stay consistent."""
        insertions = []
        for number, (index, playlist) in enumerate(drawn):
            playlist = playlist._replace(segments=tuple(s._replace(uri=f"n{number}-{s.uri}") for s in playlist.segments))
            index %= len(whole.segments)
            insertions.append(Insertion(whole.sequence + index, Item(f"n{number}", playlist), whole.segments[index].discontinuity))
        judge, discontinuities = Judge(item_uris(insertions)), whole.discontinuity_sequence
        for start in range(len(whole.segments) - width + 1):
            window = whole._replace(segments=whole.segments[start:start + width], sequence=whole.sequence + start, discontinuity_sequence=discontinuities)
            out = stitch(window, insertions)
            self.assertEqual(judge.reload(out), [])
            self.assertEqual(RenderedPlaylist(window).stitched_bytes(insertions).decode(), write(out))
            discontinuities += window.segments[0].discontinuity

    def test_tags_at_a_splice(self):
        source = read(HEAD + "#EXT-X-MEDIA-SEQUENCE:5\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\"\n#EXT-X-BYTERANGE:100@0\n"
                      "#EXT-X-PROGRAM-DATE-TIME:2026-12-01T10:00:00.000Z\n#EXTINF:6,\nf\n#EXT-X-BYTERANGE:50\n#EXTINF:6,\nf\n"
                      "#EXT-X-DATERANGE:ID=\"c\",START-DATE=\"2026-12-01T10:00:12Z\"\n#EXTINF:4,\ng\n#EXT-X-ENDLIST\n")
        item = Item("notice", read("#EXTM3U\n#EXT-X-TARGETDURATION:8\n#EXTINF:8,\nn\n#EXT-X-ENDLIST\n"))
        out = stitch(source, [Insertion(6, item)])
        self.assertEqual(out.target_ms, 8_000)
        self.assertEqual([s.uri for s in out.segments], ["f", "n", "f", "g"])
        notice, resumed, last = out.segments[1:]
        self.assertEqual((notice.discontinuity, notice.keys[0].get("METHOD"), time_text(notice.time_ms)), (True, "NONE", "2026-12-01T10:00:06.000Z"))
        self.assertEqual((resumed.discontinuity, resumed.keys[0].get("URI"), resumed.byte_range), (True, "k", "50@100"))
        self.assertEqual(time_text(resumed.time_ms), "2026-12-01T10:00:14.000Z")
        self.assertEqual(last.date_ranges[0].get("START-DATE"), "2026-12-01T10:00:20.000Z")
        self.assertEqual(unstitch(out, source), source)

    def test_invalid_items(self):
        source = Media((Segment("p", 1_000.0, map=attributes.read('URI="i"')),), 6_000.0, ended=True)
        without_end = Media((Segment("n", 1_000.0),), 6_000.0)
        for item, message in ((Item("n", without_end), "no EXT-X-ENDLIST"), (Item("n", without_end._replace(ended=True, segments=())), "no segments"),
                           (Item("n", without_end._replace(ended=True)), "no initialisation section"), (Item("", without_end._replace(ended=True)), "invalid name")):
            with self.assertRaisesRegex(StitchingError, message):
                stitch(source, [Insertion(1, item)])

    def test_fuzzer_finds_only_a_broken_writer(self):
        tally = fuzz.run(7, texts=6_000)
        self.assertEqual(tally.found, [])
        self.assertGreater(min(tally.taken, tally.refused, tally.stitched), 250)
        original, fuzz.write = fuzz.write, lambda playlist: original(playlist).replace("a.ts", "z.ts")
        try:
            self.assertTrue(fuzz.run(7, texts=200).found)
        finally:
            fuzz.write = original

    def test_continuity_check_finds_each_kind_of_fault(self):
        """Playlists broken on purpose: the check reports each fault by its kind."""
        start_ms = 1_790_000_000_000.0
        source = Media(tuple(Segment(f"p{k}", 4_000.0, time_ms=start_ms + 4_000 * k) for k in range(6)), 6_000.0, 3, 1, ended=True)
        item = Item("n", Media(tuple(Segment(f"n{k}", 2_000.0) for k in range(3)), 6_000.0, ended=True))
        insertions = [Insertion(5, item)]
        stitched, uris = stitch(source, insertions), item_uris(insertions)

        def kinds(*reloads):
            judge = Judge(uris)
            return {fault.kind for media in reloads for fault in judge.reload(media)} | {
                fault.kind for media in reloads[:1] for fault in programme_whole(media, uris, source)}

        def with_segment(index, **changes):
            return stitched._replace(segments=tuple(s._replace(**changes) if k == index else s for k, s in enumerate(stitched.segments)))
        self.assertEqual(kinds(stitched), set())
        self.assertIn("back", kinds(stitched, stitched._replace(sequence=2)))
        self.assertIn("cuts", kinds(stitched, stitched._replace(discontinuity_sequence=0)))
        self.assertIn("cuts", kinds(with_segment(5, discontinuity=False)))
        self.assertIn("time", kinds(with_segment(5, time_ms=stitched.segments[5].time_ms - 6_000)))
        self.assertIn("target", kinds(stitched._replace(target_ms=3_000.0)))
        self.assertIn("target", kinds(stitched, stitched._replace(target_ms=7_000.0)))
        self.assertIn("repeat", kinds(stitched._replace(segments=stitched.segments[:1] + stitched.segments)))
        self.assertIn("missing", kinds(stitched._replace(segments=stitched.segments[:6] + stitched.segments[7:])))
        self.assertIn("item", kinds(stitched._replace(segments=stitched.segments[:3] + stitched.segments[4:])))
        self.assertIn("changed", kinds(stitched, with_segment(0, uri="other")))


if __name__ == "__main__":
    unittest.main()

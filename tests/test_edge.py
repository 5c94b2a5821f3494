"""The edge's decisions: playlists that grow through moves, rungs and items; addresses; what a player's requests show."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.edge import addresses, watching
from laddergw.edge.composer import MAX_POSTPONEMENTS, Composer, SegmentSource, AvailableItem, TitlePlaylists
from laddergw.hls.attributes import read as parse_attributes
from laddergw.hls.reading import read
from laddergw.hls.stitching import Item
from laddergw.hls.values import Media, Segment
from laddergw.lab.continuity_audit import Judge
from laddergw.programme.rules import BEFORE, LATER, SKIP, Rule
from laddergw.programme.schedule import PlacedItem
from laddergw.programme.sources import ChosenSource

PROGRAMME_START_MS = 1_796_200_000_000.0
KEYS = (("k2", b"second-key-of-the-edge"), ("k1", b"first-key-of-the-edge"))


def rungs(count=10, ms=(4_004.0,), sections=False, keys=()):
    """A title's media playlists: three rungs with segments of the same lengths."""
    return tuple(Media(tuple(Segment(f"r{rung}/p{k}.ts", ms[k % len(ms)], time_ms=PROGRAMME_START_MS if k == 0 else None,
                                     map=parse_attributes(f'URI="r{rung}/i.mp4"') if sections and k == 0 else None,
                                     keys=(parse_attributes('METHOD=AES-128,URI="key"'),) if k in keys else ()) for k in range(count)), 6_000.0, ended=True)
                 for rung in range(3))


def title_playlists(*args, **more):
    return TitlePlaylists(rungs(*args, **more))


def notice(name="n", count=2, sections=False, target=4_000.0, ms=3_000.0):
    return Item(name, Media(tuple(Segment(f"{name}{k}.ts", ms, map=parse_attributes(f'URI="{name}.mp4"') if sections and k == 0 else None)
                                  for k in range(count)), target, ended=True))


def rule(otherwise=SKIP):
    return Rule("r", ("n",), BEFORE, (), None, frozenset(), (), 0, 1, 0, 0, 0.0, otherwise)


def placed(place, item="n", otherwise=SKIP):
    return PlacedItem(place, 0.0, item, rule(otherwise))


class ComposerTest(unittest.TestCase):
    def play(self, composer, steps, items, choose=None):
        """Extends a playlist as a player's reloads would; each reload is checked for continuity."""
        names = {name: tuple(f"items/{s.uri}" for s in item.media.segments) for name, item in items.items()}
        judge = Judge(names)
        for played, source in steps:
            composer.extend(played, source, choose or (lambda p, lead: ChosenSource(p.item, 1)),
                            lambda c: AvailableItem(items[c.item], "items/") if c.item in items else None)
            text = composer.text()
            media = read(text)
            self.assertEqual(judge.reload(media), [])
            self.assertEqual(media.ended, composer.ended)
        return judge

    @settings(max_examples=150)
    @given(st.integers(1, 12), st.lists(st.tuples(st.integers(0, 12), st.sampled_from("nm")), max_size=4),
           st.lists(st.tuples(st.floats(0, 9_000), st.integers(0, 2), st.integers(0, 3)), min_size=1, max_size=30), st.booleans(),
           st.sampled_from(((), (0,), (0, 3))))
    def test_playlist_stays_valid_through_any_moves_rungs_and_items(self, count, places, steps, sections, keys):
        """Whatever happens, every reload passes the continuity check, and the programme is complete, once and in order."""
        items = {"n": notice("n", 2, sections), "m": notice("m", 3, sections, 7_000.0, 6_500.0)}
        composer = Composer(title_playlists(count, (4_004.0, 2_000.0), sections, keys), [placed(p, i) for p, i in dict(places).items()],
                            target_ms=7_000.0 if len(steps) % 2 else 0.0)
        played, moves = 0.0, []
        for more, rung, node in steps + [(4e6, 0, 0)]:
            played += more
            moves.append((played, SegmentSource(node, rung, f"http://n{node}/")))
        self.play(composer, moves, items)
        self.assertTrue(composer.ended)
        shown = [s.uri.rpartition("/")[2] for s in composer.media().segments if not s.uri.startswith("items/")]
        self.assertEqual(shown, [f"p{k}.ts" for k in range(count)])
        clock = [s.time_ms for s in composer.media().segments if s.time_ms is not None]
        self.assertEqual(clock, sorted(clock))

    def test_move_during_an_insertion_and_rung_change_at_the_splice(self):
        composer = Composer(title_playlists(6), [placed(1)])
        self.play(composer, [(0, SegmentSource(1, 0, "http://a/")), (5_000, SegmentSource(2, 0, "http://b/")), (9_000, SegmentSource(2, 2, "http://b/")), (1e6, SegmentSource(2, 2, "http://b/"))],
                  {"n": notice()})
        uris = [s.uri for s in composer.media().segments]
        self.assertEqual(uris[:4], ["http://a/r0/p0.ts", "items/n0.ts", "items/n1.ts", "http://a/r0/p1.ts"])
        cuts = [s.uri for s in composer.media().segments if s.discontinuity]
        self.assertEqual(cuts, ["items/n0.ts", "http://a/r0/p1.ts", next(u for u in uris if "/r2/" in u)])
        self.assertNotIn("http://a/", "".join(uris[5:]))

    def test_item_is_postponed_then_left_out(self):
        composer = Composer(title_playlists(60), [placed(1, otherwise=LATER)])
        self.play(composer, [(k * 4_000.0, SegmentSource(1, 0, "a/")) for k in range(80)], {"n": notice()}, lambda p, lead: ChosenSource(p.item, later_ms=20_000.0))
        self.assertEqual([d.outcome for d in composer.decisions], ["later"] * MAX_POSTPONEMENTS + ["left out"])
        second = Composer(title_playlists(60), [placed(1, otherwise=LATER)])
        choices = iter([ChosenSource("n", later_ms=20_000.0), ChosenSource("n", 1)])
        self.play(second, [(k * 4_000.0, SegmentSource(1, 0, "a/")) for k in range(80)], {"n": notice()}, lambda p, lead: next(choices))
        self.assertEqual([d.outcome for d in second.decisions], ["later", "shown"])

    def test_unavailable_or_unsuitable_item_is_left_out_without_a_gap(self):
        for items, sections in (({}, False), ({"n": notice(sections=True)}, False), ({"n": notice()}, True),
                                ({"n": Item("n", notice().media._replace(ended=False))}, False)):
            composer = Composer(title_playlists(5, sections=sections), [placed(2)])
            self.play(composer, [(1e6, SegmentSource(1, 0, "a/"))], items)
            self.assertEqual(len(composer.origins), 5)
            self.assertEqual([d.outcome for d in composer.decisions], ["left out"])

    def test_item_over_the_target_duration_needs_it_from_the_start(self):
        """A playlist's target duration never changes: an item that exceeds it is left out as a whole."""
        for target, done in (0.0, "left out"), (8_000.0, "shown"):
            composer = Composer(title_playlists(6), [placed(2)], target_ms=target)
            self.play(composer, [(0, SegmentSource(1, 0, "a/")), (1e6, SegmentSource(1, 0, "a/"))], {"n": notice(target=8_000.0, ms=7_600.0)})
            self.assertEqual([d.outcome for d in composer.decisions], [done])

    def test_sections_keys_and_byte_ranges_are_self_contained(self):
        """A segment's section and key are addressed by way of the edge too, and each byte range states its start."""
        key = parse_attributes('METHOD=AES-128,URI="k.bin"')
        segments = tuple(Segment("all.mp4", 4_000.0, byte_range="100@50" if k == 0 else "100", keys=(key,) if k == 0 else (),
                                 map=parse_attributes('URI="i.mp4",BYTERANGE="50@0"') if k == 0 else None) for k in range(4))
        title = TitlePlaylists((Media(segments, 4_000.0, ended=True),) * 3)
        composer = Composer(title, [], lambda what: f"/s/{what}", first=2)
        composer.extend(0.0, SegmentSource(1, 0, "http://n1/t/"), lambda *_: None, lambda _: None)
        first, second = composer.media().segments
        self.assertEqual((first.uri, first.byte_range, second.byte_range), ("/s/seg-0", "100@250", "100@350"))
        self.assertEqual((first.keys[0].get("URI"), first.map.get("URI"), first.map.get("BYTERANGE")), ("/s/by-0-0", "/s/by-0-1", "50@0"))
        self.assertFalse(first.discontinuity)
        origin = composer.origins[0]
        self.assertEqual([origin.address("http://n2/t/", k) for k in (None, 0, 1)], ["http://n2/t/all.mp4", "http://n2/t/k.bin", "http://n2/t/i.mp4"])
        self.assertEqual([addresses.parse_resource_name(name, "seg-", "by-") for name in ("seg-4", "by-4-1", "seg-x", "by-1-2-3", "seg-", "x-1", "seg-" + "9" * 40)],
                         [(4, None), (4, 1), None, None, None, None, None])

    def test_splice_waits_for_its_item_while_there_is_time(self):
        composer = Composer(title_playlists(20), [placed(2)])
        answers = iter([ChosenSource("n", wait=True), ChosenSource("n", wait=True), ChosenSource("n", 1)])
        self.play(composer, [(0, SegmentSource(1, 0, "a/")), (2_000, SegmentSource(1, 0, "a/")), (4_000, SegmentSource(1, 0, "a/"))], {"n": notice()}, lambda p, lead: next(answers))
        self.assertEqual([o.item for o in composer.origins[:4]], [None, None, "n", "n"])

    @settings(max_examples=60)
    @given(st.integers(1, 12), st.integers(0, 60_000), st.booleans(), st.booleans())
    def test_session_resumed_elsewhere_lists_the_rest(self, count, from_ms, sections, timed):
        """Resumed at any time, the playlist holds the programme from there on, and is valid from its first reload."""
        title = title_playlists(count, (4_004.0, 2_000.0), sections, (0,))
        first = title.resume_segment(float(from_ms))
        composer = Composer(title, [placed(p) for p in range(first + 1, count)], first=first)
        self.play(composer, [(k * 5_000.0, SegmentSource(1, 1, "http://a/")) for k in range(40)], {"n": notice(sections=sections)})
        shown = [s.uri.rpartition("/")[2] for s in composer.media().segments if not s.uri.startswith("items/")]
        self.assertEqual(shown, [f"p{k}.ts" for k in range(first, count)])
        self.assertEqual(composer.media().segments[0].keys[0].get("METHOD"), "AES-128")
        self.assertTrue(first == count - 1 or title.starts[first] >= from_ms - 1)

    def test_rungs_with_different_segments_are_rejected(self):
        with self.assertRaisesRegex(ValueError, "differ"):
            TitlePlaylists((rungs(5)[0], rungs(6)[1]))


class AddressTest(unittest.TestCase):
    def assert_rejected(self, status, path, player="p", now=5_000.0, keys=KEYS, retired=frozenset()):
        with self.assertRaises(addresses.AddressError) as caught:
            addresses.verify(keys, retired, path, player, now)
        self.assertEqual(caught.exception.status, status, str(caught.exception))

    def test_valid_expired_replayed_and_retired_addresses(self):
        path = addresses.sign_path(KEYS, "s1", 9_000.0, "p", "media.m3u8")
        self.assertEqual(addresses.verify(KEYS, frozenset(), path, "p", 5_000.0), ("s1", "media.m3u8"))
        self.assert_rejected(410, path, now=9_001.0)
        self.assert_rejected(403, path, player="another")
        self.assert_rejected(403, path, player=None)
        self.assert_rejected(403, path.replace("/s1/", "/s2/"))
        self.assert_rejected(403, path.replace("9000", "9900"))
        self.assert_rejected(403, path, retired=frozenset({"k2"}))
        self.assert_rejected(403, path, keys=KEYS[1:])
        old = addresses.sign_path(KEYS[1:], "s1", 9_000.0, "p", "x")
        self.assertEqual(addresses.verify(KEYS, frozenset(), old, "p", 5_000.0).name, "x")

    @settings(max_examples=200)
    @given(st.text(max_size=40))
    def test_malformed_addresses_are_rejected(self, text):
        with self.assertRaises(addresses.AddressError):
            addresses.verify(KEYS, frozenset(), text, "p", 0.0)
        with self.assertRaises(addresses.AddressError):
            addresses.verify(KEYS, frozenset(), f"/s/a/{text}/b", "p", 0.0)


class PlaybackMonitorTest(unittest.TestCase):
    def test_play_begins_and_ends(self):
        monitor = watching.PlaybackMonitor(0.0, 6_000.0)
        self.assertEqual(monitor.check(5_000.0).state, watching.WAITING)
        self.assertTrue(monitor.segment_requested(6_000.0, 4_000.0, False))
        self.assertFalse(monitor.segment_requested(8_000.0, 8_000.0, True))
        self.assertEqual(monitor.check(12_000.0), (watching.PLAYING, 6_000.0))
        self.assertEqual(monitor.check(14_000.0), (watching.ENDED, 8_000.0))

    def test_player_that_never_begins_or_goes_silent_has_left(self):
        never_begun = watching.PlaybackMonitor(0.0, 6_000.0)
        self.assertEqual(never_begun.check(watching.START_MS).state, watching.LEFT)
        silent = watching.PlaybackMonitor(0.0, 6_000.0)
        silent.segment_requested(1_000.0, 4_000.0, False)
        silent.playlist_requested(10_000.0)
        self.assertEqual(silent.check(27_000.0).state, watching.PLAYING)
        self.assertEqual(silent.check(28_000.0).state, watching.LEFT)


if __name__ == "__main__":
    unittest.main()

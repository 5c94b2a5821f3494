"""Programme rules: files rejected with their reasons, the index against a linear scan, schedules and sources as a trace."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.hls.attributes import read as parse_attributes
from laddergw.hls.values import Media, Segment, time_text
from laddergw.programme import rules
from laddergw.programme.index import RuleIndex, find_by_scan
from laddergw.programme.rules import Rule
from laddergw.programme.schedule import schedule
from laddergw.programme.sources import SourceNode, choose, item_segment_node, decide_unfetched
from laddergw.terms.sexpr import FileRejected
from tests.helpers import TraceTest

GOOD = """(programme
 (item "tide" (playlist "items/tide.m3u8") (length-ms 15000) (nodes 3 7) (shorter "tide-short"))
 (item "tide-short" (playlist "items/short.m3u8") (length-ms 5000) (nodes 3 9))
 (item "news" (playlist "items/news.m3u8") (length-ms 8000) (nodes 9))
 (rule "shore" (items "tide") (before) (products survey-clip) (routes "/shoreline/") (most 1) (rank 5) (otherwise shorter))
 (rule "hourly" (items "news" "tide-short") (every-ms 30000) (gap-ms 10000) (since "2026-12-01T00:00:00Z") (until "2027-01-01T00:00:00Z"))
 (rule "cued" (items "news") (at-cue "break") (rank 2) (otherwise later)))
"""
NOW = 1_796_200_000_000.0
BROKEN_CHANGES = (
    ('(playlist "items/tide.m3u8")', ""), ('"items/tide.m3u8"', '"../../etc/tide.m3u8"'), ("(length-ms 15000)", "(length-ms 4000)"),
    ("(length-ms 15000)", "(length-ms 99999999)"), ("(nodes 3 7)", "(nodes 3.5)"), ('(shorter "tide-short")', '(shorter "none")'),
    ('(items "tide")', '(items "tied")'), ('(items "tide")', "(items)"), ("(before)", ""), ("(before)", "(before) (after)"), ("(before)", "(before 5)"),
    ("(every-ms 30000)", "(every-ms 50)"), ("(every-ms 30000)", "(at-ms 50 20)"), ('(until "2027-01-01T00:00:00Z")', '(until "2026-11-01T00:00:00Z")'),
    ('(until "2027-01-01T00:00:00Z")', '(until "tomorrow")'), ("(otherwise later)", "(otherwise shorter)"), ("(otherwise later)", "(otherwise wait)"),
    ("(rank 2)", "(rang 2)"), ('(rule "cued"', '(rule "shore"'), ("(programme", "(program"))


def title_playlist(seconds=120, cues=(), start_ms=NOW):
    """A playlist of 6 s segments with cues at the given seconds."""
    segments = []
    for start in range(0, seconds, 6):
        ranges = tuple(parse_attributes(f'ID="c{k}",CLASS="break",START-DATE="{time_text(start_ms + at * 1000)}"')
                       for k, at in enumerate(cues) if start <= at < start + 6)
        segments.append(Segment(f"p{start}", 6_000.0, time_ms=start_ms if start == 0 else None, date_ranges=ranges))
    return Media(tuple(segments), 6_000.0, ended=True)


class ProgrammeFileTest(TraceTest):
    def test_each_fault_is_reported(self):
        self.assertEqual(len(rules.read(GOOD).rules), 3)

        class Lines:
            lines = []
        for old, new in BROKEN_CHANGES:
            self.assertIn(old, GOOD)
            Lines.lines.append(f"# {old} becomes {new or 'nothing'}")
            with self.assertRaises(FileRejected) as caught:
                rules.read(GOOD.replace(old, new, 1), "tide.scm")
            Lines.lines += str(caught.exception).splitlines()
        self.assert_trace("programme_files", Lines)


class RuleIndexTest(unittest.TestCase):
    RULES = st.builds(
        lambda n, routes, products, since, length: Rule(f"r{n}", ("i",), rules.BEFORE, (), None, frozenset(products), tuple(routes), since,
                                                        since + length, 0, 0, 0.0, rules.SKIP),
        st.integers(0, 99), st.lists(st.sampled_from(("/", "/a", "/a/", "/a/b", "/b", "/ab", "/a/b/c")), max_size=2), st.lists(st.sampled_from("xy"), max_size=1),
        st.integers(0, 50), st.integers(1, 30))

    @settings(max_examples=200)
    @given(st.lists(RULES, max_size=25), st.sampled_from(("/", "/a", "/a/b/c/d", "/ab/c", "/b/", "/c")), st.sampled_from("xyz"), st.integers(-1, 90))
    def test_index_finds_what_a_scan_finds(self, drawn, route, product, time_ms):
        self.assertEqual(RuleIndex(drawn).find(route, product, time_ms), find_by_scan(tuple(drawn), route, product, time_ms))


class TraceDriver:
    """Looks up rules, schedules items and chooses sources, and keeps a trace of the results."""

    def __init__(self, text=GOOD):
        self.lines, self.programme = [], rules.read(text)
        self.index = RuleIndex(self.programme.rules)

    def trace_schedule(self, what, source, product="survey-clip", route="/shoreline/7", now=NOW, left=1e12):
        self.lines.append(f"# {what}")
        found = self.index.find(route, product, now)
        self.lines.append("rules: " + (", ".join(rule.name for rule in found) or "none"))
        for p in schedule(source, found, self.programme, left):
            self.lines.append(f"  {p.at_ms / 1000:7.1f} s before segment {p.before_segment}: {p.item} by {p.rule.name}")

    def trace_source(self, what, item, rule, sources, own=None, lead=5_000.0):
        found = next(r for r in self.programme.rules if r.name == rule)
        choice = choose(found, item, self.programme, {source.node: source for source in sources}, own, 1_000.0, 1_000.0 + lead)
        outcome = f"{choice.item} from node {choice.node}" if choice.node is not None else f"{choice.item} {choice.later_ms / 1000:g} s later" if choice.later_ms else "left out"
        self.lines.append(f"{what}: {outcome}" + (f" ({choice.why})" if choice.why else ""))


class ScheduleTest(TraceTest):
    def test_schedules_and_sources(self):
        driver = TraceDriver()
        driver.trace_schedule("a survey clip by the shore: a notice before it, news every half minute", title_playlist())
        driver.trace_schedule("another product and route", title_playlist(), "hearing", "/board/1")
        driver.trace_schedule("before the rule's time", title_playlist(), "hearing", "/board/1", now=1_700_000_000_000.0)
        driver.trace_schedule("two cues at the same time, one at 0, one inside a segment, one at the end, one after it", title_playlist(60, (0, 0, 20, 20, 60, 90)), "hearing", "/b")
        driver.trace_schedule("a viewer with 40 s left: items that do not fit are left out", title_playlist(), left=40_000.0)
        driver.trace_schedule("a playlist shorter than its notice still has it before its start", title_playlist(6))
        node = lambda number, ready=True, cold=False, failed=0.0, plays=0.3, items=0.0: SourceNode(number, ready, cold, failed, plays, items)
        driver.lines.append("# the source of an item")
        driver.trace_source("the play's own node holds it", "tide", "shore", [node(3, plays=0.1), node(7, plays=0.6)], own=7)
        driver.trace_source("otherwise the least loaded", "tide", "shore", [node(3, plays=0.1), node(7)], own=5)
        driver.trace_source("its source drains", "tide", "shore", [node(3, ready=False), node(7)])
        driver.trace_source("its source is cold, the other full of items", "tide", "shore", [node(3, cold=True), node(7, items=0.2)])
        driver.trace_source("no time is left: nothing of any length can be fetched", "tide", "shore", [node(3), node(7)], lead=200.0)
        driver.trace_source("neither can serve it, another holds a shorter one", "tide", "shore", [node(3, items=0.2), node(7, failed=9e9), node(9)])
        driver.trace_source("none that holds it is known", "tide", "shore", [])
        driver.trace_source("postponed", "news", "cued", [node(9, ready=False)])
        driver.trace_source("left out", "news", "hourly", [node(9, failed=9e9)])
        driver.lines.append("# the source of each of its segments, once it is in the playlist")
        piece = driver.programme.pieces["tide"]
        for what, sources in (("the node it was chosen from continues, full or not", [node(3, items=0.4), node(7)]),
                              ("that one drains during the item", [node(3, ready=False), node(7)]),
                              ("that one failed and the other is full: a complete item matters more than a full link", [node(3, failed=9e9), node(7, items=0.4)]),
                              ("none is left", [node(3, ready=False)])):
            driver.lines.append(f"{what}: node {item_segment_node(piece, {source.node: source for source in sources}, 3, 1_000.0)}")
        driver.lines.append("# its playlist is not cached yet")
        for lead, rule in ((9_000.0, "hourly"), (2_000.0, "hourly"), (2_000.0, "cued")):
            choice = decide_unfetched(next(r for r in driver.programme.rules if r.name == rule), "news", lead, "")
            driver.lines.append(f"{lead / 1000:g} s before its splice, by {rule}: " + ("wait" if choice.wait else f"{choice.later_ms / 1000:g} s later" if choice.later_ms else "left out"))
        self.assert_trace("programme", driver)

    @settings(max_examples=100)
    @given(st.lists(st.integers(0, 130), max_size=6), st.integers(6, 200), st.floats(0, 3e5))
    def test_any_schedule_can_be_stitched(self, cue_times, seconds, left):
        driver = TraceDriver()
        source = title_playlist(seconds, sorted(cue_times))
        found = schedule(source, list(driver.programme.rules), driver.programme, left)
        self.assertEqual([p.before_segment for p in found], sorted(p.before_segment for p in found))
        self.assertTrue(all(0 <= p.before_segment <= len(source.segments) for p in found))
        self.assertEqual(len({(p.before_segment, p.item) for p in found}), len(found))
        self.assertTrue(all(p.at_ms + driver.programme.pieces[p.item].length_ms <= left for p in found))


if __name__ == "__main__":
    unittest.main()

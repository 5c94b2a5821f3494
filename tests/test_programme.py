"""Programme rules: files refused with their reasons, the index against a plain walk, schedules and sources as a trace."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.hls.attributes import read as pairs
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
CHANGES = (
    ('(playlist "items/tide.m3u8")', ""), ('"items/tide.m3u8"', '"../../etc/tide.m3u8"'), ("(length-ms 15000)", "(length-ms 4000)"),
    ("(length-ms 15000)", "(length-ms 99999999)"), ("(nodes 3 7)", "(nodes 3.5)"), ('(shorter "tide-short")', '(shorter "none")'),
    ('(items "tide")', '(items "tied")'), ('(items "tide")', "(items)"), ("(before)", ""), ("(before)", "(before) (after)"), ("(before)", "(before 5)"),
    ("(every-ms 30000)", "(every-ms 50)"), ("(every-ms 30000)", "(at-ms 50 20)"), ('(until "2027-01-01T00:00:00Z")', '(until "2026-11-01T00:00:00Z")'),
    ('(until "2027-01-01T00:00:00Z")', '(until "tomorrow")'), ("(otherwise later)", "(otherwise shorter)"), ("(otherwise later)", "(otherwise wait)"),
    ("(rank 2)", "(rang 2)"), ('(rule "cued"', '(rule "shore"'), ("(programme", "(program"))


def film(seconds=120, cues=(), zero=NOW):
    """Segments of 6 s with cues at given s."""
    segments = []
    for start in range(0, seconds, 6):
        ranges = tuple(pairs(f'ID="c{k}",CLASS="break",START-DATE="{time_text(zero + at * 1000)}"')
                       for k, at in enumerate(cues) if start <= at < start + 6)
        segments.append(Segment(f"p{start}", 6_000.0, time_ms=zero if start == 0 else None, date_ranges=ranges))
    return Media(tuple(segments), 6_000.0, ended=True)


class Files(TraceTest):
    def test_each_fault_is_told(self):
        self.assertEqual(len(rules.read(GOOD).rules), 3)

        class Lines:
            lines = []
        for old, new in CHANGES:
            self.assertIn(old, GOOD)
            Lines.lines.append(f"# {old} becomes {new or 'nothing'}")
            with self.assertRaises(FileRejected) as caught:
                rules.read(GOOD.replace(old, new, 1), "tide.scm")
            Lines.lines += str(caught.exception).splitlines()
        self.assert_trace("programme_files", Lines)


class Index(unittest.TestCase):
    RULES = st.builds(
        lambda n, routes, products, since, length: Rule(f"r{n}", ("i",), rules.BEFORE, (), None, frozenset(products), tuple(routes), since,
                                                        since + length, 0, 0, 0.0, rules.SKIP),
        st.integers(0, 99), st.lists(st.sampled_from(("/", "/a", "/a/", "/a/b", "/b", "/ab", "/a/b/c")), max_size=2), st.lists(st.sampled_from("xy"), max_size=1),
        st.integers(0, 50), st.integers(1, 30))

    @settings(max_examples=200)
    @given(st.lists(RULES, max_size=25), st.sampled_from(("/", "/a", "/a/b/c/d", "/ab/c", "/b/", "/c")), st.sampled_from("xyz"), st.integers(-1, 90))
    def test_the_index_finds_what_a_walk_finds(self, drawn, route, product, when):
        self.assertEqual(RuleIndex(drawn).find(route, product, when), find_by_scan(tuple(drawn), route, product, when))


class Drive:
    def __init__(self, text=GOOD):
        self.lines, self.programme = [], rules.read(text)
        self.index = RuleIndex(self.programme.rules)

    def say(self, what, source, product="survey-clip", route="/shoreline/7", now=NOW, left=1e12):
        self.lines.append(f"# {what}")
        found = self.index.find(route, product, now)
        self.lines.append("rules: " + (", ".join(rule.name for rule in found) or "none"))
        for p in schedule(source, found, self.programme, left):
            self.lines.append(f"  {p.at_ms / 1000:7.1f} s before segment {p.before_segment}: {p.item} by {p.rule.name}")

    def source(self, what, item, rule, holders, own=None, lead=5_000.0):
        found = next(r for r in self.programme.rules if r.name == rule)
        c = choose(found, item, self.programme, {h.node: h for h in holders}, own, 1_000.0, 1_000.0 + lead)
        told = f"{c.item} from node {c.node}" if c.node is not None else f"{c.item} {c.later_ms / 1000:g} s later" if c.later_ms else "left out"
        self.lines.append(f"{what}: {told}" + (f" ({c.why})" if c.why else ""))


class Decided(TraceTest):
    def test_schedules_and_sources(self):
        d = Drive()
        d.say("a survey clip by the shore: a notice before it, news every half minute", film())
        d.say("another product and route", film(), "hearing", "/board/1")
        d.say("before the rule's time", film(), "hearing", "/board/1", now=1_700_000_000_000.0)
        d.say("two cues at one instant, one at 0, one inside a segment, one at the end, one behind it", film(60, (0, 0, 20, 20, 60, 90)), "hearing", "/b")
        d.say("a viewer with 40 s left: what does not fit is left out", film(), left=40_000.0)
        d.say("a film shorter than its notice still has it before", film(6))
        h = lambda node, ready=True, cold=False, failed=0.0, asked=0.3, items=0.0: SourceNode(node, ready, cold, failed, asked, items)
        d.lines.append("# where an item comes from")
        d.source("the play's own node holds it", "tide", "shore", [h(3, asked=0.1), h(7, asked=0.6)], own=7)
        d.source("else the least asked", "tide", "shore", [h(3, asked=0.1), h(7)], own=5)
        d.source("its source drains", "tide", "shore", [h(3, ready=False), h(7)])
        d.source("its source is cold, the other full of items", "tide", "shore", [h(3, cold=True), h(7, items=0.2)])
        d.source("no time is left: nothing of any length can be fetched", "tide", "shore", [h(3), h(7)], lead=200.0)
        d.source("neither can serve it, another holds a shorter one", "tide", "shore", [h(3, items=0.2), h(7, failed=9e9), h(9)])
        d.source("none that holds it is known", "tide", "shore", [])
        d.source("put off", "news", "cued", [h(9, ready=False)])
        d.source("left out", "news", "hourly", [h(9, failed=9e9)])
        d.lines.append("# and each of its segments, once it stands")
        piece = d.programme.pieces["tide"]
        for what, holders in (("the node it was chosen from goes on, full or not", [h(3, items=0.4), h(7)]),
                              ("that one drains in the middle", [h(3, ready=False), h(7)]),
                              ("that one failed and the other is full: whole goes before full", [h(3, failed=9e9), h(7, items=0.4)]),
                              ("none is left", [h(3, ready=False)])):
            d.lines.append(f"{what}: node {item_segment_node(piece, {x.node: x for x in holders}, 3, 1_000.0)}")
        d.lines.append("# its playlist is not here yet")
        for lead, rule in ((9_000.0, "hourly"), (2_000.0, "hourly"), (2_000.0, "cued")):
            c = decide_unfetched(next(r for r in d.programme.rules if r.name == rule), "news", lead, "")
            d.lines.append(f"{lead / 1000:g} s before its splice, by {rule}: " + ("wait" if c.wait else f"{c.later_ms / 1000:g} s later" if c.later_ms else "left out"))
        self.assert_trace("programme", d)

    @settings(max_examples=100)
    @given(st.lists(st.integers(0, 130), max_size=6), st.integers(6, 200), st.floats(0, 3e5))
    def test_any_schedule_can_be_stitched(self, cue_times, seconds, left):
        d = Drive()
        source = film(seconds, sorted(cue_times))
        found = schedule(source, list(d.programme.rules), d.programme, left)
        self.assertEqual([p.before_segment for p in found], sorted(p.before_segment for p in found))
        self.assertTrue(all(0 <= p.before_segment <= len(source.segments) for p in found))
        self.assertEqual(len({(p.before_segment, p.item) for p in found}), len(found))
        self.assertTrue(all(p.at_ms + d.programme.pieces[p.item].length_ms <= left for p in found))


if __name__ == "__main__":
    unittest.main()

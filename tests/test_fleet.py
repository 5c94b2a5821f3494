"""The fleet's audit: versions and stands, counts that survive whatever the lines do, answers."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.fleet import answers, versions
from laddergw.fleet.fleet_log import SILENT_MS, FleetLog
from laddergw.fleet.action_counts import SET_UP_RETRIED, MAX_KEYS_PER_TURN, ADMITTED, PLAYING, MAX_STEPS_PER_PLAY, MAX_TURNS, MAX_TRACKED_PLAYS, Key, ActionCounts
from laddergw.fleet.state_reports import Part, InvalidReport, ReportedState

STANDS = [versions.version_set([versions.version(versions.PROGRAM, ["text"]), versions.version(versions.LIMITS, [f"limits {n}"], "ops")]) for n in range(6)]


class Versions(unittest.TestCase):
    def test_the_same_content_is_the_same_stand(self):
        one, other = (versions.version(versions.LIMITS, ["a", "b"], issuer, number) for issuer, number in (("x", 3), ("y", 0)))
        keys = versions.version(versions.KEYS, ["k"])
        self.assertEqual(versions.version_set([one, keys]).id, versions.version_set([keys, other]).id)
        self.assertNotEqual(versions.version(versions.LIMITS, ["ab"]).hash, one.hash)      # where a text ends counts
        self.assertNotEqual(versions.version_set([one]).id, versions.version_set([versions.version(versions.RULES, ["a", "b"])]).id)
        self.assertRaises(ValueError, versions.version_set, [one, other])
        self.assertRaises(ValueError, versions.version_set, [versions.version("hat", ["a"])])


class Stamped(unittest.TestCase):
    def test_counts_of_past_turns_go_once_they_are_kept(self):
        stamps = ActionCounts()
        self.assertEqual([stamps.set_in_force(STANDS[n], float(n)) for n in (0, 0, 1)], [True, False, True])
        stamps.record("v", "safe", STANDS[0].id, PLAYING, 5.0)
        stamps.record("w", "safe", STANDS[1].id, ADMITTED, 6.0)
        self.assertEqual(stamps.counts[2], {Key(2, STANDS[0].id, "safe", PLAYING): 1, Key(2, "", "safe", ADMITTED): 1})
        stamps.acknowledge(2)
        self.assertEqual(([t.number for t in stamps.turns], set(stamps.version_sets)), ([2], {STANDS[0].id, STANDS[1].id}))     # one play keeps the old one
        stamps.acknowledge(99)                                       # nonsense: the present turn stays
        self.assertEqual(stamps.current_id, STANDS[1].id)

    def test_memory_is_bounded_and_what_goes_is_told(self):
        stamps = ActionCounts()
        for n in range(3 * MAX_TURNS):
            stamps.set_in_force(STANDS[n % 2], float(n))
            stamps.record(f"v{n}", "safe", "", ADMITTED, float(n))
        self.assertEqual((len(stamps.turns), len(stamps.counts), stamps.dropped), (MAX_TURNS, MAX_TURNS, 2 * MAX_TURNS))
        for n in range(2 * MAX_KEYS_PER_TURN):
            stamps.record("v", f"product {n}", "", SET_UP_RETRIED, 0.0)
        for n in range(2 * MAX_TRACKED_PLAYS):
            stamps.record(f"w{n}", "safe", "", ADMITTED, 0.0)
        self.assertLessEqual(len(stamps.counts[stamps.turns[-1].number]), MAX_KEYS_PER_TURN + 2)
        self.assertEqual((len(stamps.play_steps), max(map(len, stamps.play_steps.values())) <= MAX_STEPS_PER_PLAY), (MAX_TRACKED_PLAYS, True))


class Telling(unittest.TestCase):
    @settings(max_examples=120, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(("turn", "do", "do", "do", "tell", "tell", "lose", "double", "late", "keep", "new line", "planner dies")), st.integers(0, 5)), max_size=60))
    def test_nothing_is_lost_or_doubled_whatever_the_lines_do(self, steps):
        """Parts lost with their connection, doubled, late, planners that die between hearing and writing: the journal ends with what was done."""
        stamps, done, now = ActionCounts(), {}, 0.0
        stamps.set_in_force(STANDS[0], 0.0)
        disk, book, told, flying = [], FleetLog(), ReportedState(), []

        def hear(part):
            book.merge("d0-1", part, now, now)
        for what, which in [*steps, ("new line", 0), ("tell", 0), ("keep", 0)]:
            now += 10.0
            if what == "turn":
                stamps.set_in_force(STANDS[which], now)
            elif what == "do":
                stamps.record("v", f"p{which % 2}", STANDS[which].id, ADMITTED, now)
                done[f"p{which % 2}"] = done.get(f"p{which % 2}", 0) + 1
            elif what == "tell":
                flying.append(told.next_part(stamps))
                hear(flying[-1])
            elif what == "lose":                                         # told into a connection that is dead; the next one begins whole
                told.next_part(stamps)
                told = ReportedState()
            elif what in ("double", "late") and flying:
                try:
                    hear(flying[which % len(flying)])
                except InvalidReport:
                    self.assertEqual(book.processes, {})                 # a part of before, at a planner that knows nothing yet
            elif what == "keep":
                for name in sorted(book.changed):
                    disk.append(book.record(name, now))
                    book.mark_stored(disk[-1])
                stamps.acknowledge(book.acknowledged("d0-1"))
            elif what == "new line":
                told = ReportedState()
            elif what == "planner dies":
                book, told, flying = FleetLog(), ReportedState(), []
                for record in disk:
                    book.restore(record)
        found = FleetLog()
        for record in disk:
            found.restore(record)
        counts = {}
        for (_, _, product, _), count in answers.total_counts(found).items():
            counts[product] = counts.get(product, 0) + count
        self.assertEqual(counts, done)

    def test_parts_that_make_no_sense(self):
        good = STANDS[0]
        told = {good.id: tuple(tuple(v) for v in good.versions)}
        for part in (Part(turns=((0, 1.0, good.id),), stands=told), Part(turns=((2, 1.0, good.id), (1, 1.0, good.id)), stands=told), Part(turns=((1, float("nan"), good.id),), stands=told),
                     Part(turns=((1, 1.0, good.id),)), Part(stands={"0" * 12: told[good.id]}), Part(counts=((1, "", "safe", "sang", 1),)),
                     Part(counts=((1, "", "safe", ADMITTED, -1),)), Part(untold=-1), Part(alone_ms=-1.0), Part(stands={good.id: (("hat", 0, "x", ""),)})):
            with self.subTest(part):
                self.assertRaises(InvalidReport, FleetLog().merge, "d0-1", part, 1.0, 1.0)


class Answers(unittest.TestCase):
    def setUp(self):
        self.book = FleetLog()
        for name, turns in ("d0-a", (0, 1)), ("d1-b", (0,)):
            stamps, told = ActionCounts(), ReportedState()
            for n, which in enumerate(turns):
                stamps.set_in_force(STANDS[which], 1_000.0 * n)
                stamps.record("v", "safe", STANDS[0].id, ADMITTED, 1_000.0 * n + 1)
            self.book.merge(name, told.next_part(stamps), 2_000.0, 10_000.0)

    def test_versions(self):
        found = answers.versions(self.book, 10_500.0, 1e6)["versions"]
        self.assertEqual([(row["kind"], row["directors"], row["let_in_last_minute"]) for row in found],
                         [("program", ["d0-a", "d1-b"], 3), *sorted([("limits", ["d1-b"], 2), ("limits", ["d0-a"], 1)], key=lambda row: row[1] != found[1]["directors"])])
        self.assertEqual(found[0]["since_wall_ms"], 1e6 - 2_500.0)

    def test_two_processes_under_one_name(self):
        """Each that is heard has a seat; the one that began last is the director, whichever spoke last. One that is silent beside another has none."""
        stamps, told = ActionCounts(), ReportedState()
        stamps.set_in_force(STANDS[1], 0.0)
        self.book.merge("d1-a", told.next_part(stamps), 100.0, 10_400.0)        # it began 2.3 s after d1-b
        for heard, now in (("d1-b", 11_000.0), ("d1-a", 11_100.0)):
            self.book.processes[heard].heard(now, 1)
            with self.subTest(heard):
                seats = self.book.progress(versions.LIMITS, 1, now)
                self.assertEqual([(seat.director, seat.process) for seat in seats], [("d0", "d0-a"), ("d1", "d1-a"), ("d1-b", "d1-b")])
                self.assertEqual(answers.list_unknown(self.book, now)[0], "2 processes run as d1: d1-a, d1-b")
        self.book.processes["d1-a"].heard(17_000.0, 2)
        self.assertEqual([seat.process for seat in self.book.progress(versions.LIMITS, 1, 17_000.0)], ["d0-a", "d1-a"])
        self.assertNotIn("2 processes", answers.list_unknown(self.book, 17_000.0)[0])

    def test_who_acted_on_what_and_when(self):
        at = lambda ms: answers.director(self.book, "d0", 1e6 - (10_500.0 - ms), 10_500.0, 1e6)["processes"][0]
        self.assertEqual([at(ms)["stand"] for ms in (7_000.0, 8_500.0, 9_500.0)], [None, STANDS[0].id, STANDS[1].id])
        self.assertEqual((at(9_500.0)["did"], at(9_500.0)["until_wall_ms"], at(8_500.0)["until_wall_ms"]), ({"safe let in": 1}, None, 1e6 - 1_500.0))
        acted = answers.version(self.book, STANDS[0].of(versions.LIMITS).hash[:6], 10_500.0, 1e6)["acted"]
        self.assertEqual([(row["process"], row["let_in"], row["kept_later"]) for row in acted], [("d0-a", {"safe": 1}, {"safe let in": 1}), ("d1-b", {"safe": 1}, {})])

    def test_what_is_not_known_is_said(self):
        self.assertEqual(answers.list_unknown(self.book, 10_500.0), [])
        said = answers.versions(self.book, 10_000.0 + SILENT_MS, 1e6)
        self.assertEqual((said["versions"], len(said["not_known"])), ([], 2))
        self.assertIn("d0-a silent since 5.0 s ago", said["not_known"][0])

if __name__ == "__main__":
    unittest.main()

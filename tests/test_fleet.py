"""The fleet's audit: versions and version sets, counts that survive every fault of the connections, answers to operators."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.fleet import answers, versions
from laddergw.fleet.fleet_log import SILENT_MS, FleetLog
from laddergw.fleet.action_counts import SET_UP_RETRIED, MAX_KEYS_PER_TURN, ADMITTED, PLAYING, MAX_STEPS_PER_PLAY, MAX_TURNS, MAX_TRACKED_PLAYS, Key, ActionCounts
from laddergw.fleet.state_reports import Part, InvalidReport, ReportedState

VERSION_SETS = [versions.version_set([versions.version(versions.PROGRAM, ["text"]), versions.version(versions.LIMITS, [f"limits {n}"], "ops")]) for n in range(6)]


class Versions(unittest.TestCase):
    def test_the_same_content_has_the_same_id(self):
        one, other = (versions.version(versions.LIMITS, ["a", "b"], issuer, number) for issuer, number in (("x", 3), ("y", 0)))
        keys = versions.version(versions.KEYS, ["k"])
        self.assertEqual(versions.version_set([one, keys]).id, versions.version_set([keys, other]).id)
        self.assertNotEqual(versions.version(versions.LIMITS, ["ab"]).hash, one.hash)      # where a text ends counts
        self.assertNotEqual(versions.version_set([one]).id, versions.version_set([versions.version(versions.RULES, ["a", "b"])]).id)
        self.assertRaises(ValueError, versions.version_set, [one, other])
        self.assertRaises(ValueError, versions.version_set, [versions.version("hat", ["a"])])


class ActionCountsTest(unittest.TestCase):
    def test_acknowledged_turns_are_dropped(self):
        actions = ActionCounts()
        self.assertEqual([actions.set_in_force(VERSION_SETS[n], float(n)) for n in (0, 0, 1)], [True, False, True])
        actions.record("v", "safe", VERSION_SETS[0].id, PLAYING, 5.0)
        actions.record("w", "safe", VERSION_SETS[1].id, ADMITTED, 6.0)
        self.assertEqual(actions.counts[2], {Key(2, VERSION_SETS[0].id, "safe", PLAYING): 1, Key(2, "", "safe", ADMITTED): 1})
        actions.acknowledge(2)
        self.assertEqual(([t.number for t in actions.turns], set(actions.version_sets)), ([2], {VERSION_SETS[0].id, VERSION_SETS[1].id}))     # one play keeps the old set
        actions.acknowledge(99)                                          # invalid: the current turn stays
        self.assertEqual(actions.current_id, VERSION_SETS[1].id)

    def test_memory_is_bounded_and_drops_are_counted(self):
        actions = ActionCounts()
        for n in range(3 * MAX_TURNS):
            actions.set_in_force(VERSION_SETS[n % 2], float(n))
            actions.record(f"v{n}", "safe", "", ADMITTED, float(n))
        self.assertEqual((len(actions.turns), len(actions.counts), actions.dropped), (MAX_TURNS, MAX_TURNS, 2 * MAX_TURNS))
        for n in range(2 * MAX_KEYS_PER_TURN):
            actions.record("v", f"product {n}", "", SET_UP_RETRIED, 0.0)
        for n in range(2 * MAX_TRACKED_PLAYS):
            actions.record(f"w{n}", "safe", "", ADMITTED, 0.0)
        self.assertLessEqual(len(actions.counts[actions.turns[-1].number]), MAX_KEYS_PER_TURN + 2)
        self.assertEqual((len(actions.play_steps), max(map(len, actions.play_steps.values())) <= MAX_STEPS_PER_PLAY), (MAX_TRACKED_PLAYS, True))


class Reporting(unittest.TestCase):
    @settings(max_examples=120, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(("turn", "do", "do", "do", "tell", "tell", "lose", "double", "late", "keep", "new line", "planner dies")), st.integers(0, 5)), max_size=60))
    def test_nothing_is_lost_or_counted_twice_whatever_connections_do(self, steps):
        """Parts are lost with their connection, doubled or late, and planners are killed between receiving and writing: the journal ends with what was done."""
        actions, done, now = ActionCounts(), {}, 0.0
        actions.set_in_force(VERSION_SETS[0], 0.0)
        stored, log, reported, in_flight = [], FleetLog(), ReportedState(), []

        def receive(part):
            log.merge("d0-1", part, now, now)
        for what, which in [*steps, ("new line", 0), ("tell", 0), ("keep", 0)]:
            now += 10.0
            if what == "turn":
                actions.set_in_force(VERSION_SETS[which], now)
            elif what == "do":
                actions.record("v", f"p{which % 2}", VERSION_SETS[which].id, ADMITTED, now)
                done[f"p{which % 2}"] = done.get(f"p{which % 2}", 0) + 1
            elif what == "tell":
                in_flight.append(reported.next_part(actions))
                receive(in_flight[-1])
            elif what == "lose":                                         # sent into a dead connection; the next one begins with everything
                reported.next_part(actions)
                reported = ReportedState()
            elif what in ("double", "late") and in_flight:
                try:
                    receive(in_flight[which % len(in_flight)])
                except InvalidReport:
                    self.assertEqual(log.processes, {})                 # an older part, at a planner that knows nothing yet
            elif what == "keep":
                for name in sorted(log.changed):
                    stored.append(log.record(name, now))
                    log.mark_stored(stored[-1])
                actions.acknowledge(log.acknowledged("d0-1"))
            elif what == "new line":
                reported = ReportedState()
            elif what == "planner dies":
                log, reported, in_flight = FleetLog(), ReportedState(), []
                for record in stored:
                    log.restore(record)
        found = FleetLog()
        for record in stored:
            found.restore(record)
        counts = {}
        for (_, _, product, _), count in answers.total_counts(found).items():
            counts[product] = counts.get(product, 0) + count
        self.assertEqual(counts, done)

    def test_invalid_parts_are_rejected(self):
        good = VERSION_SETS[0]
        told = {good.id: tuple(tuple(v) for v in good.versions)}
        for part in (Part(turns=((0, 1.0, good.id),), stands=told), Part(turns=((2, 1.0, good.id), (1, 1.0, good.id)), stands=told), Part(turns=((1, float("nan"), good.id),), stands=told),
                     Part(turns=((1, 1.0, good.id),)), Part(stands={"0" * 12: told[good.id]}), Part(counts=((1, "", "safe", "sang", 1),)),
                     Part(counts=((1, "", "safe", ADMITTED, -1),)), Part(untold=-1), Part(alone_ms=-1.0), Part(stands={good.id: (("hat", 0, "x", ""),)})):
            with self.subTest(part):
                self.assertRaises(InvalidReport, FleetLog().merge, "d0-1", part, 1.0, 1.0)


class AnswersTest(unittest.TestCase):
    def setUp(self):
        self.log = FleetLog()
        for name, turns in ("d0-a", (0, 1)), ("d1-b", (0,)):
            actions, reported = ActionCounts(), ReportedState()
            for n, which in enumerate(turns):
                actions.set_in_force(VERSION_SETS[which], 1_000.0 * n)
                actions.record("v", "safe", VERSION_SETS[0].id, ADMITTED, 1_000.0 * n + 1)
            self.log.merge(name, reported.next_part(actions), 2_000.0, 10_000.0)

    def test_versions(self):
        found = answers.versions(self.log, 10_500.0, 1e6)["versions"]
        self.assertEqual([(row["kind"], row["directors"], row["let_in_last_minute"]) for row in found],
                         [("program", ["d0-a", "d1-b"], 3), *sorted([("limits", ["d1-b"], 2), ("limits", ["d0-a"], 1)], key=lambda row: row[1] != found[1]["directors"])])
        self.assertEqual(found[0]["since_wall_ms"], 1e6 - 2_500.0)

    def test_two_processes_under_one_name(self):
        """Each process that is heard is listed; the one that began last is the director, whichever was heard last. One that is silent beside another is not listed."""
        actions, reported = ActionCounts(), ReportedState()
        actions.set_in_force(VERSION_SETS[1], 0.0)
        self.log.merge("d1-a", reported.next_part(actions), 100.0, 10_400.0)        # it began 2.3 s after d1-b
        for heard, now in (("d1-b", 11_000.0), ("d1-a", 11_100.0)):
            self.log.processes[heard].record_digest(now, 1)
            with self.subTest(heard):
                progress = self.log.progress(versions.LIMITS, 1, now)
                self.assertEqual([(one.director, one.process) for one in progress], [("d0", "d0-a"), ("d1", "d1-a"), ("d1-b", "d1-b")])
                self.assertEqual(answers.list_unknown(self.log, now)[0], "2 processes run as d1: d1-a, d1-b")
        self.log.processes["d1-a"].record_digest(17_000.0, 2)
        self.assertEqual([one.process for one in self.log.progress(versions.LIMITS, 1, 17_000.0)], ["d0-a", "d1-a"])
        self.assertNotIn("2 processes", answers.list_unknown(self.log, 17_000.0)[0])

    def test_who_acted_on_what_and_when(self):
        at = lambda ms: answers.director(self.log, "d0", 1e6 - (10_500.0 - ms), 10_500.0, 1e6)["processes"][0]
        self.assertEqual([at(ms)["stand"] for ms in (7_000.0, 8_500.0, 9_500.0)], [None, VERSION_SETS[0].id, VERSION_SETS[1].id])
        self.assertEqual((at(9_500.0)["did"], at(9_500.0)["until_wall_ms"], at(8_500.0)["until_wall_ms"]), ({"safe let in": 1}, None, 1e6 - 1_500.0))
        acted = answers.version(self.log, VERSION_SETS[0].of(versions.LIMITS).hash[:6], 10_500.0, 1e6)["acted"]
        self.assertEqual([(row["process"], row["let_in"], row["kept_later"]) for row in acted], [("d0-a", {"safe": 1}, {"safe let in": 1}), ("d1-b", {"safe": 1}, {})])

    def test_answers_state_what_is_not_known(self):
        self.assertEqual(answers.list_unknown(self.log, 10_500.0), [])
        said = answers.versions(self.log, 10_000.0 + SILENT_MS, 1e6)
        self.assertEqual((said["versions"], len(said["not_known"])), ([], 2))
        self.assertIn("d0-a silent since 5.0 s ago", said["not_known"][0])

if __name__ == "__main__":
    unittest.main()

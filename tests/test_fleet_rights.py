"""Rights and forbidden versions: leases counted from the asking, guards, every order of losses and takeovers, and directors behind lines that fail."""
import unittest

from laddergw.fleet import rights_check, versions
from laddergw.fleet.rights import MAX_PENDING_REQUESTS, CLOSED, LEASE_MS, MARGIN_MS, OPEN, Floors, Right, Seen
from laddergw.fleet.rights_check import TICK_MS, Rules, check
from laddergw.terms.loading import load
from tests.fleet_cluster import FleetTown

V, W = ("limits", "v" * 16), ("limits", "w" * 16)


class Rights(unittest.TestCase):
    def test_a_right_counts_from_when_it_was_asked_for(self):
        right = Right(CLOSED)
        self.assertIn("no planner", right.refusal_reason(frozenset(), 0.0))
        right.record_request(1, 1_000.0)
        self.assertTrue(right.apply_grant(1, 1, LEASE_MS, []))               # whenever that comes
        self.assertIsNone(right.refusal_reason(frozenset(), 1_000.0 + LEASE_MS - 1))
        self.assertIsNotNone(right.refusal_reason(frozenset(), 1_000.0 + LEASE_MS))
        right.record_request(2, 7_000.0)
        right.apply_grant(2, 1, 100 * LEASE_MS, [])                          # no longer than the lease that the planner's sentence counts on
        self.assertIsNotNone(right.refusal_reason(frozenset(), 7_000.0 + LEASE_MS))

    def test_older_words_change_nothing(self):
        right = Right(OPEN)
        for number in range(1, 6):
            right.record_request(number, 100.0 * number)
        self.assertEqual([right.apply_grant(*given) for given in ((3, 2, LEASE_MS, [V]), (2, 2, LEASE_MS, []), (3, 2, LEASE_MS, []), (5, 1, LEASE_MS, []), (99, 2, LEASE_MS, []))],
                         [True, False, False, False, False])
        self.assertIn("limits vvvvvvvv", right.refusal_reason(frozenset([V, W]), 0.0))
        self.assertIsNone(right.refusal_reason(frozenset([W]), 1e9))           # open: it never shuts for the lack of a planner
        self.assertTrue(right.apply_grant(4, 3, LEASE_MS, []))
        for number in range(6, 500):
            right.record_request(number, 0.0)
        self.assertEqual(len(right.asked), MAX_PENDING_REQUESTS)

    def test_guards(self):
        floors = Floors()
        seen = lambda on, off, alone=CLOSED: [Seen(f"d{n}", frozenset([V if n < on else W]), 0.0, alone) for n in range(on + off)]
        self.assertIn("2 of 3 directors", floors.forbid(V, seen(2, 1), 0.0, 5_000.0))
        self.assertIn("1 of 1", floors.forbid(V, seen(1, 0), 0.0, 5_000.0))
        self.assertIn("no director is heard", floors.forbid(V, seen(1, 3), 9_000.0, 5_000.0))
        self.assertIsNone(floors.forbid(V, seen(1, 3), 0.0, 5_000.0))
        self.assertEqual([floors.check_unused(V, seen(1, 3), at)[0] for at in (LEASE_MS, LEASE_MS + MARGIN_MS)], [False, True])
        heard = [one._replace(heard_ms=20_000.0) for one in seen(1, 2, OPEN)]
        self.assertEqual(floors.check_unused(V, heard, 20_100.0), (False, ["d0"]))     # heard, but perhaps not hearing
        self.assertEqual(floors.check_unused(V, heard[1:], 20_100.0), (True, []))
        self.assertEqual(floors.check_unused(V, heard[1:], 20_000.0 + LEASE_MS), (False, ["d1", "d2"]))   # who is silent may go over to it
        floors.restore([V], 50_000.0)
        self.assertFalse(floors.check_unused(V, [], 50_000.0 + LEASE_MS)[0])
        self.assertEqual((floors.allow(V), floors.allow(V)), (True, False))

    def test_no_break_in_the_states_looked_at(self):
        self.assertEqual(check(most=60_000), rights_check.Outcome(60_000, None, ()))

    def test_mistakes_are_found(self):
        def from_the_answer(right, *given):
            if found := Right.apply_grant(right, *given):
                right.until += 2 * TICK_MS
            return found
        for name, rules in (("counted from the answer", Rules(apply_grant=from_the_answer)), ("the door left open", Rules(refusal_reason=lambda right, stand, now: None if now < right.until else "")),
                            ("a right that never ends", Rules(refusal_reason=lambda right, stand, now: "" if right.forbidden & stand else None)), ("a fenced planner grants", Rules(fenced=False)),
                            ("said too early", Rules(check_unused=lambda floors, version, seen, now: (now >= floors.since[version] + TICK_MS, [])))):
            with self.subTest(name):
                self.assertIn("lets plays in under V", check(rules).broken)


class Behind(FleetTown):
    """Two directors that close without planners, one of them on a version of its own."""

    def own_version(self):
        """The second director goes over to a file of its own; how its hash begins."""
        director, host = self.town.directors[1], self.town.world.hosts["d1"]
        loaded = load(b"(limits (defaults (attempts 2)))", "own", director.house)
        host.deliver_at(self.town.world.now, lambda: director.change_limits(loaded.limits))
        self.town.run(1_500)
        return self.sides[1].audit.active_versions[versions.LIMITS].hash[:8]

    def test_shut_out_and_back(self):
        self.assertEqual([self.ask(number)[0] for number in (0, 1)], ["playing", "playing"])
        name = f"limits {self.own_version()}"
        self.assertIn("0 known versions", self.question("forbid", "limits ffffffff0")["refused"])
        self.assertFalse(self.question("forbid", name)["floors"][0]["nobody_acts_on_it"])
        self.town.run(600)
        self.assertEqual(self.ask(0)[0], "playing")
        self.assertEqual(self.ask(1), ("declined", f"{name} must not be used any more"))
        self.assertEqual(self.town.directors[1].active_plays, 1)                 # what it holds goes on
        self.town.run(LEASE_MS)
        self.assertTrue(self.question("floors")["floors"][0]["nobody_acts_on_it"])
        self.town.world.hosts["p0"].kill()                               # the journal tells the next planner
        self.planner.store.db.close()
        self.start_planner()
        self.town.run(1_500)
        self.assertEqual([row["version"][:8] for row in self.question("floors")["floors"]], [name[7:]])
        self.assertEqual(self.ask(1)[0], "declined")
        self.assertEqual(self.question("allow", name)["floors"], [])
        self.town.run(600)
        self.assertEqual(self.ask(1)[0], "playing")

    def test_who_is_cut_off_shuts_its_own_door_before_the_planner_says_so(self):
        name = f"limits {self.own_version()}"
        line, director = self.lines[1], self.town.directors[1]
        line.loop.now = self.town.world.now
        line.fault("hole")
        self.town.run(100)
        self.assertNotIn("refused", self.question("forbid", name))
        open_for, said = 0, None
        for step in range(80):
            self.town.run(100)
            director.loop.now = self.town.world.now
            is_open, nobody = director.closed_rejection() is None, self.question("floors")["floors"][0]["nobody_acts_on_it"]
            self.assertFalse(is_open and nobody, step)
            open_for, said = open_for + is_open, said or (nobody and step)
        self.assertGreater(open_for, 40)                                 # it is not shut at once: nobody could tell it
        self.assertTrue(50 <= said <= 60, said)
        self.assertIn("no planner has granted", self.ask(1)[1])
        line.loop.now = self.town.world.now
        line.fault("heal")
        self.town.run(3_000)
        self.assertIn("must not be used", self.ask(1)[1])

    def test_who_stays_open_and_is_gone(self):
        """A silent process that stays open may act on a forbidden version until somebody who knows says that it ended; one that speaks takes that back."""
        for side in self.sides.values():
            side.audit.right.alone = OPEN
            side.director.house = side.director.house._replace(without_planner=OPEN)
        name, old = f"limits {self.own_version()}", self.town.directors[1].name
        self.question("forbid", name)
        self.strike(1, "hole")
        self.town.run(LEASE_MS + MARGIN_MS + 500)
        self.assertEqual(self.question("floors")["floors"][0]["may_still"], [old])
        self.assertIn("spoke", self.question("gone", self.town.directors[0].name)["refused"])
        self.assertIn("no process", self.question("gone", "d9-1")["refused"])
        self.assertEqual(self.question("gone", old)["gone"], old)
        self.assertTrue(self.question("floors")["floors"][0]["nobody_acts_on_it"])
        self.kill_planner()                                              # the word is in the journal
        self.start_planner()
        self.town.run(LEASE_MS + MARGIN_MS + 500)
        self.assertTrue(self.question("floors")["floors"][0]["nobody_acts_on_it"])
        self.strike(1, "heal")
        self.town.run(3_000)
        self.assertEqual(self.question("floors")["floors"][0]["may_still"], [old])
        self.town.world.hosts["d1"].deliver_at(self.town.world.now, self.town.directors[1].stop)
        self.town.run(LEASE_MS)                                          # it told that it stops
        self.assertTrue(self.question("floors")["floors"][0]["nobody_acts_on_it"])

    def test_a_stand_still_past_the_lease(self):
        """It wakes to a heap of old grants and a viewer's request, all in one turn: the request is declined."""
        name = f"limits {self.own_version()}"
        self.town.world.hosts["d1"].freeze(LEASE_MS + 4_000)
        self.town.run(100)
        self.question("forbid", name)
        ask = self.town.ask(1, key="early", wait_ms=20_000)
        self.town.run(LEASE_MS + 1_000)
        self.assertTrue(self.question("floors")["floors"][0]["nobody_acts_on_it"])
        self.assertIsNone(ask.answer)
        self.town.run(4_000)
        self.assertEqual(ask.answer, "declined", ask.lines)


if __name__ == "__main__":
    unittest.main()

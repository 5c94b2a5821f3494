"""Rights and forbidden versions: leases counted from the request, guards, all orders of losses and takeovers, and directors behind faulty links."""
import unittest

from laddergw.fleet import rights_check, versions
from laddergw.fleet.rights import CLOSED, LEASE_MS, MARGIN_MS, MAX_PENDING_REQUESTS, OPEN, Floors, ObservedProcess, Right
from laddergw.fleet.rights_check import TICK_MS, Rules, check
from laddergw.terms.loading import load
from tests.fleet_cluster import FleetCluster

V, W = ("limits", "v" * 16), ("limits", "w" * 16)


class RightsAndForbiddenVersions(unittest.TestCase):
    def test_a_right_lasts_from_its_request(self):
        right = Right(CLOSED)
        self.assertIn("no planner", right.refusal_reason(frozenset(), 0.0))
        right.record_request(1, 1_000.0)
        self.assertTrue(right.apply_grant(1, 1, LEASE_MS, []))               # the time of the answer does not matter
        self.assertIsNone(right.refusal_reason(frozenset(), 1_000.0 + LEASE_MS - 1))
        self.assertIsNotNone(right.refusal_reason(frozenset(), 1_000.0 + LEASE_MS))
        right.record_request(2, 7_000.0)
        right.apply_grant(2, 1, 100 * LEASE_MS, [])                          # no longer than the lease that the planner reckons with
        self.assertIsNotNone(right.refusal_reason(frozenset(), 7_000.0 + LEASE_MS))

    def test_older_grants_change_nothing(self):
        right = Right(OPEN)
        for number in range(1, 6):
            right.record_request(number, 100.0 * number)
        self.assertEqual([right.apply_grant(*given) for given in ((3, 2, LEASE_MS, [V]), (2, 2, LEASE_MS, []), (3, 2, LEASE_MS, []), (5, 1, LEASE_MS, []), (99, 2, LEASE_MS, []))],
                         [True, False, False, False, False])
        self.assertIn("limits vvvvvvvv", right.refusal_reason(frozenset([V, W]), 0.0))
        self.assertIsNone(right.refusal_reason(frozenset([W]), 1e9))           # open: the lack of a planner never stops it
        self.assertTrue(right.apply_grant(4, 3, LEASE_MS, []))
        for number in range(6, 500):
            right.record_request(number, 0.0)
        self.assertEqual(len(right.requested), MAX_PENDING_REQUESTS)

    def test_a_version_is_forbidden_only_within_the_guards(self):
        floors = Floors()
        seen = lambda on, off, alone=CLOSED: [ObservedProcess(f"d{n}", frozenset([V if n < on else W]), 0.0, alone) for n in range(on + off)]
        self.assertIn("2 of 3 directors", floors.forbid(V, seen(2, 1), 0.0, 5_000.0))
        self.assertIn("1 of 1", floors.forbid(V, seen(1, 0), 0.0, 5_000.0))
        self.assertIn("no director is heard", floors.forbid(V, seen(1, 3), 9_000.0, 5_000.0))
        self.assertIsNone(floors.forbid(V, seen(1, 3), 0.0, 5_000.0))
        self.assertEqual([floors.check_unused(V, seen(1, 3), at)[0] for at in (LEASE_MS, LEASE_MS + MARGIN_MS)], [False, True])
        heard = [one._replace(heard_ms=20_000.0) for one in seen(1, 2, OPEN)]
        self.assertEqual(floors.check_unused(V, heard, 20_100.0), (False, ["d0"]))     # heard, but what is sent to it may be lost
        self.assertEqual(floors.check_unused(V, heard[1:], 20_100.0), (True, []))
        self.assertEqual(floors.check_unused(V, heard[1:], 20_000.0 + LEASE_MS), (False, ["d1", "d2"]))   # a silent director may switch to it
        floors.restore([V], 50_000.0)
        self.assertFalse(floors.check_unused(V, [], 50_000.0 + LEASE_MS)[0])
        self.assertEqual((floors.allow(V), floors.allow(V)), (True, False))

    def test_the_invariant_holds_in_the_states_searched(self):
        self.assertEqual(check(max_states=60_000), rights_check.Outcome(60_000, None, ()))

    def test_the_checker_finds_mistakes(self):
        def lasting_from_the_answer(right, *given):
            if applied := Right.apply_grant(right, *given):
                right.until += 2 * TICK_MS
            return applied
        for name, rules in (("counted from the answer", Rules(apply_grant=lasting_from_the_answer)), ("it stays open without a right", Rules(refusal_reason=lambda right, versions, now: None if now < right.until else "")),
                            ("a right that never ends", Rules(refusal_reason=lambda right, versions, now: "" if right.forbidden & versions else None)), ("a fenced planner grants", Rules(fenced=False)),
                            ("declared unused too early", Rules(check_unused=lambda floors, version, seen, now: (now >= floors.since[version] + TICK_MS, [])))):
            with self.subTest(name):
                self.assertIn("lets plays in under V", check(rules).broken)


class DirectorsBehindFaultyLinks(FleetCluster):
    """Two directors that close without planners, one of them on a version of its own."""

    def own_version(self):
        """Switches the second director to a limits file of its own; returns how its hash begins."""
        director, host = self.cluster.directors[1], self.cluster.world.hosts["d1"]
        loaded = load(b"(limits (defaults (attempts 2)))", "own", director.house)
        host.deliver_at(self.cluster.world.now, lambda: director.change_limits(loaded.limits))
        self.cluster.run(1_500)
        return self.clients[1].audit.active_versions[versions.LIMITS].hash[:8]

    def test_a_forbidden_version_is_declined_until_it_is_allowed(self):
        self.assertEqual([self.request_play(number)[0] for number in (0, 1)], ["playing", "playing"])
        name = f"limits {self.own_version()}"
        self.assertIn("0 known versions", self.ask_planner("forbid", "limits ffffffff0")["refused"])
        self.assertFalse(self.ask_planner("forbid", name)["floors"][0]["nobody_acts_on_it"])
        self.cluster.run(600)
        self.assertEqual(self.request_play(0)[0], "playing")
        self.assertEqual(self.request_play(1), ("declined", f"{name} must not be used any more"))
        self.assertEqual(self.cluster.directors[1].active_plays, 1)                 # its running play continues
        self.cluster.run(LEASE_MS)
        self.assertTrue(self.ask_planner("floors")["floors"][0]["nobody_acts_on_it"])
        self.cluster.world.hosts["p0"].kill()                               # the next planner reads it from the journal
        self.planner.store.db.close()
        self.start_planner()
        self.cluster.run(1_500)
        self.assertEqual([row["version"][:8] for row in self.ask_planner("floors")["floors"]], [name[7:]])
        self.assertEqual(self.request_play(1)[0], "declined")
        self.assertEqual(self.ask_planner("allow", name)["floors"], [])
        self.cluster.run(600)
        self.assertEqual(self.request_play(1)[0], "playing")

    def test_a_director_cut_off_declines_before_the_planner_reports_the_version_unused(self):
        name = f"limits {self.own_version()}"
        link, director = self.links[1], self.cluster.directors[1]
        link.loop.now = self.cluster.world.now
        link.fault("hole")
        self.cluster.run(100)
        self.assertNotIn("refused", self.ask_planner("forbid", name))
        open_steps, unused_since = 0, None
        for step in range(80):
            self.cluster.run(100)
            director.loop.now = self.cluster.world.now
            is_open, unused = director.closed_rejection() is None, self.ask_planner("floors")["floors"][0]["nobody_acts_on_it"]
            self.assertFalse(is_open and unused, step)
            open_steps, unused_since = open_steps + is_open, unused_since or (unused and step)
        self.assertGreater(open_steps, 40)                                 # it does not stop at once: nothing reaches it
        self.assertTrue(50 <= unused_since <= 60, unused_since)
        self.assertIn("no planner has granted", self.request_play(1)[1])
        link.loop.now = self.cluster.world.now
        link.fault("heal")
        self.cluster.run(3_000)
        self.assertIn("must not be used", self.request_play(1)[1])

    def test_a_silent_director_that_stays_open_until_declared_gone(self):
        """A silent process that stays open may act on a forbidden version until an operator declares it gone; if it is heard again, that is taken back."""
        for client in self.clients.values():
            client.audit.right.without_right = OPEN
            client.director.house = client.director.house._replace(without_planner=OPEN)
        name, old = f"limits {self.own_version()}", self.cluster.directors[1].name
        self.ask_planner("forbid", name)
        self.inject_fault(1, "hole")
        self.cluster.run(LEASE_MS + MARGIN_MS + 500)
        self.assertEqual(self.ask_planner("floors")["floors"][0]["may_still"], [old])
        self.assertIn("spoke", self.ask_planner("gone", self.cluster.directors[0].name)["refused"])
        self.assertIn("no process", self.ask_planner("gone", "d9-1")["refused"])
        self.assertEqual(self.ask_planner("gone", old)["gone"], old)
        self.assertTrue(self.ask_planner("floors")["floors"][0]["nobody_acts_on_it"])
        self.kill_planner()                                              # the declaration is in the journal
        self.start_planner()
        self.cluster.run(LEASE_MS + MARGIN_MS + 500)
        self.assertTrue(self.ask_planner("floors")["floors"][0]["nobody_acts_on_it"])
        self.inject_fault(1, "heal")
        self.cluster.run(3_000)
        self.assertEqual(self.ask_planner("floors")["floors"][0]["may_still"], [old])
        self.cluster.world.hosts["d1"].deliver_at(self.cluster.world.now, self.cluster.directors[1].stop)
        self.cluster.run(LEASE_MS)                                          # it reported that it stops
        self.assertTrue(self.ask_planner("floors")["floors"][0]["nobody_acts_on_it"])

    def test_a_stall_longer_than_the_lease(self):
        """On waking, the director reads many old grants and a viewer's request in one loop turn: the request is declined."""
        name = f"limits {self.own_version()}"
        self.cluster.world.hosts["d1"].freeze(LEASE_MS + 4_000)
        self.cluster.run(100)
        self.ask_planner("forbid", name)
        viewer = self.cluster.ask(1, key="early", wait_ms=20_000)
        self.cluster.run(LEASE_MS + 1_000)
        self.assertTrue(self.ask_planner("floors")["floors"][0]["nobody_acts_on_it"])
        self.assertIsNone(viewer.answer)
        self.cluster.run(4_000)
        self.assertEqual(viewer.answer, "declined", viewer.lines)


if __name__ == "__main__":
    unittest.main()

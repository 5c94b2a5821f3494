"""Budgets of the fleet between directors and a planner in a cluster in memory: what is spent, links that are cut, planners that are killed, files that change."""
import json
import unittest

from laddergw.fleet.grants import FLOOR_LEASE_MS
from laddergw.fleet.grant_issuer import Budget, charge_duration_ms
from laddergw.fleet.rights import LEASE_MS
from laddergw.lab.budget_model import max_within_window
from laddergw.planner import wire
from laddergw.planner.budgeting import store_identity
from laddergw.store.planner_store import Store
from laddergw.terms.loading import load
from laddergw.terms.sexpr import FileRejected
from laddergw.terms import limits as files
from laddergw.terms.loading import default_terms
from tests.fleet_cluster import FleetCluster

NAME, WINDOW_MS, WHOLE = "tenant basin", 2_000.0, 12
TEXT = b'(limits (defaults (attempts 3)) (tenant "basin" (budget (free 5) (window-ms %d) (scope fleet))) (route "/" (tenant "basin")))'


class SharedBudget(FleetCluster):
    """Three directors that share the budget of a tenant's retries."""
    directors, bounds = 3, ""

    def setUp(self):
        super().setUp()
        self.spends = []
        self.issuer = store_identity(self.planner.store)
        for number in self.cluster.directors:
            self.put_limits_in_force(number)
        self.planner.auditor.budget_grants.configure((Budget(NAME, WHOLE, WINDOW_MS),))
        self.cluster.run(charge_duration_ms(LEASE_MS, WINDOW_MS) + 1_000)

    def connect_planner(self, number):
        director = self.cluster.directors[number]
        director.house = director.house._replace(issuer=store_identity(self.planner.store))
        super().connect_planner(number)

    def put_limits_in_force(self, number, window_ms=int(WINDOW_MS)):
        """Puts limits with a fleet budget of this window in force at a director."""
        director = self.cluster.directors[number]
        director.change_limits(load(TEXT % window_ms, "limits", director.house).limits)

    def spend(self, number, times=1):
        """Spends as `allocate` does for each retry; returns how many were allowed."""
        director, had = self.cluster.directors[number], 0
        for _ in range(times):
            director.loop.now = max(director.loop.now, self.cluster.world.now)
            if director.budgets.charge_retry((NAME,), director.loop.now) is None:
                self.spends.append(self.cluster.world.now)
                had += 1
        return had

    def storm(self, ms, numbers=(0, 1, 2)):
        """Makes these directors want more than there is; returns how many each spent."""
        had = dict.fromkeys(numbers, 0)
        for _ in range(int(ms / 50)):
            self.cluster.run(50)
            for number in numbers:
                had[number] += self.spend(number, 2)
        self.assertLessEqual(max_within_window(self.spends, WINDOW_MS)[0], WHOLE)
        return had

    def test_shares_follow_need_and_no_window_exceeds_the_total(self):
        alone = self.storm(20_000, (0,))
        self.assertGreater(alone[0], 0.4 * WHOLE * 10)                   # half of it may be held as floors of a previous planner
        both = self.storm(20_000)
        self.assertGreater(min(both.values()), 0.15 * sum(both.values()))
        self.assertEqual(self.cluster.directors[0].budgets.charge_retry((NAME,), self.cluster.directors[0].loop.now), NAME)
        row, = json.loads(self.planner.auditor.answer_question(wire.Ask("budgets")))["budgets"]
        self.assertEqual((row["whole"], len(row["held"]), row["charged"] <= WHOLE), (WHOLE, 3, True), row)

    def test_cut_links_killed_processes_and_a_takeover(self):
        self.storm(6_000)
        self.inject_fault(1, "hole")
        self.storm(12_000)
        self.inject_fault(1, "heal")
        self.storm(3_000)
        self.kill_planner()
        self.storm(3_000)
        self.start_planner()
        self.planner.auditor.budget_grants.configure((Budget(NAME, WHOLE, WINDOW_MS),))
        self.assertEqual(store_identity(self.planner.store), self.issuer)      # it belongs to the store, whoever opens it
        before = len(self.spends)
        self.storm(4_000)                                                # held grants continue, nobody gets more
        self.assertGreater(len(self.spends), before)
        self.restart(2)
        self.put_limits_in_force(2)
        self.storm(15_000)
        self.cluster.world.hosts["d0"].freeze(9_000)
        self.storm(12_000, (1, 2))
        self.storm(6_000)

    def test_the_total_lowered_raised_and_removed(self):
        self.cluster.run(FLOOR_LEASE_MS)                                    # whatever a previous planner granted has expired
        self.assertGreater(sum(self.storm(8_000).values()), 0.7 * WHOLE * 4)
        self.planner.auditor.budget_grants.configure((Budget(NAME, 3, WINDOW_MS),))
        self.storm(LEASE_MS + WINDOW_MS)
        begun = len(self.spends)
        self.storm(8_000)
        self.assertLessEqual(max_within_window(self.spends[begun:], WINDOW_MS)[0], 3)
        self.assertGreater(len(self.spends) - begun, 4)                  # three units for three directors, in turns
        self.planner.auditor.budget_grants.configure((Budget(NAME, WHOLE, WINDOW_MS),))
        self.storm(8_000)
        self.planner.auditor.budget_grants.configure(())
        self.storm(LEASE_MS + 1_000)
        self.assertLessEqual(sum(self.storm(6_000).values()), 3 * WHOLE / 2)     # floors
        self.assertIn("refused", json.loads(self.planner.auditor.answer_question(wire.Ask("budgets"))))

    def test_a_file_that_is_restored_does_not_reset_what_was_spent(self):
        self.storm(6_000)
        for _ in range(6):
            for number in self.cluster.directors:
                self.put_limits_in_force(number, 700)
            self.storm(300)
            for number in self.cluster.directors:
                self.put_limits_in_force(number)
            self.storm(500)

    def test_another_store_grants_nothing(self):
        for client in self.clients.values():
            client.grant_holder.issuer = store_identity(Store(self.path + ".other"))
        self.storm(LEASE_MS + 1_000)
        self.assertEqual([client.grant_holder.held[NAME].right(self.cluster.world.now + 60_000) for client in self.clients.values()], [0, 0, 0])

    def test_invalid_scopes_are_rejected(self):
        house = self.cluster.directors[0].house
        for text in b'(limits (budget (free 5) (scope fleet)))', b'(limits (tenant "basin" (budget (free 5) (scope world))))':
            with self.assertRaises(FileRejected):
                files.read(text.decode(), house.names, default_terms(house))


if __name__ == "__main__":
    unittest.main()

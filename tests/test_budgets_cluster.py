"""Fleet budgets between directors and a planner in a small town: what is spent at the nodes, lines that are cut, planners that die, files that change."""
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
from tests.fleet_cluster import FleetTown

NAME, WINDOW_MS, WHOLE = "tenant basin", 2_000.0, 12
TEXT = b'(limits (defaults (attempts 3)) (tenant "basin" (budget (free 5) (window-ms %d) (scope fleet))) (route "/" (tenant "basin")))'


class Spent(FleetTown):
    """Three directors that share a tenant's further allocations."""
    directors, bounds = 3, ""

    def setUp(self):
        super().setUp()
        self.spends = []
        self.issuer = store_identity(self.planner.store)
        for number in self.town.directors:
            self.begin(number)
        self.planner.auditor.budget_grants.configure((Budget(NAME, WHOLE, WINDOW_MS),))
        self.town.run(charge_duration_ms(LEASE_MS, WINDOW_MS) + 1_000)

    def join(self, number):
        director = self.town.directors[number]
        director.house = director.house._replace(issuer=store_identity(self.planner.store))
        super().join(number)

    def begin(self, number, window_ms=int(WINDOW_MS)):
        director = self.town.directors[number]
        director.change_limits(load(TEXT % window_ms, "limits", director.house).limits)

    def spend(self, number, times=1):
        """As `allocate` does for each further allocation."""
        director, had = self.town.directors[number], 0
        for _ in range(times):
            director.loop.now = max(director.loop.now, self.town.world.now)
            if director.budgets.may_retry((NAME,), director.loop.now) is None:
                self.spends.append(self.town.world.now)
                had += 1
        return had

    def storm(self, ms, numbers=(0, 1, 2)):
        """All want more than there is."""
        had = dict.fromkeys(numbers, 0)
        for _ in range(int(ms / 50)):
            self.town.run(50)
            for number in numbers:
                had[number] += self.spend(number, 2)
        self.assertLessEqual(max_within_window(self.spends, WINDOW_MS)[0], WHOLE)
        return had

    def test_need_moves_shares_and_no_window_holds_more(self):
        alone = self.storm(20_000, (0,))
        self.assertGreater(alone[0], 0.4 * WHOLE * 10)                   # half of it may be out as floors of a planner of before
        both = self.storm(20_000)
        self.assertGreater(min(both.values()), 0.15 * sum(both.values()))
        self.assertEqual(self.town.directors[0].budgets.may_retry((NAME,), self.town.directors[0].loop.now), NAME)
        row, = json.loads(self.planner.auditor.answer_question(wire.Ask("budgets")))["budgets"]
        self.assertEqual((row["whole"], len(row["held"]), row["charged"] <= WHOLE), (WHOLE, 3, True), row)

    def test_cut_off_killed_and_taken_over(self):
        self.storm(6_000)
        self.strike(1, "hole")
        self.storm(12_000)
        self.strike(1, "heal")
        self.storm(3_000)
        self.kill_planner()
        self.storm(3_000)
        self.start_planner()
        self.planner.auditor.budget_grants.configure((Budget(NAME, WHOLE, WINDOW_MS),))
        self.assertEqual(store_identity(self.planner.store), self.issuer)      # of the store, whoever opens it
        before = len(self.spends)
        self.storm(4_000)                                                # what is held goes on, nobody gets more
        self.assertGreater(len(self.spends), before)
        self.restart(2)
        self.begin(2)
        self.storm(15_000)
        self.town.world.hosts["d0"].freeze(9_000)
        self.storm(12_000, (1, 2))
        self.storm(6_000)

    def test_the_whole_lowered_raised_and_taken_out(self):
        self.town.run(FLOOR_LEASE_MS)                                    # what a planner of before granted is surely over
        self.assertGreater(sum(self.storm(8_000).values()), 0.7 * WHOLE * 4)
        self.planner.auditor.budget_grants.configure((Budget(NAME, 3, WINDOW_MS),))
        self.storm(LEASE_MS + WINDOW_MS)
        begun = len(self.spends)
        self.storm(8_000)
        self.assertLessEqual(max_within_window(self.spends[begun:], WINDOW_MS)[0], 3)
        self.assertGreater(len(self.spends) - begun, 4)                  # three among three: by turns
        self.planner.auditor.budget_grants.configure((Budget(NAME, WHOLE, WINDOW_MS),))
        self.storm(8_000)
        self.planner.auditor.budget_grants.configure(())
        self.storm(LEASE_MS + 1_000)
        self.assertLessEqual(sum(self.storm(6_000).values()), 3 * WHOLE / 2)     # floors
        self.assertIn("refused", json.loads(self.planner.auditor.answer_question(wire.Ask("budgets"))))

    def test_a_file_that_comes_back_does_not_make_its_past_forgotten(self):
        self.storm(6_000)
        for _ in range(6):
            for number in self.town.directors:
                self.begin(number, 700)
            self.storm(300)
            for number in self.town.directors:
                self.begin(number)
            self.storm(500)

    def test_another_store_grants_nothing(self):
        for side in self.sides.values():
            side.grant_holder.issuer = store_identity(Store(self.path + ".other"))
        self.storm(LEASE_MS + 1_000)
        self.assertEqual([side.grant_holder.held[NAME].right(self.town.world.now + 60_000) for side in self.sides.values()], [0, 0, 0])

    def test_what_a_file_may_say(self):
        house = self.town.directors[0].house
        for text in b'(limits (budget (free 5) (scope fleet)))', b'(limits (tenant "basin" (budget (free 5) (scope world))))':
            with self.assertRaises(FileRejected):
                files.read(text.decode(), house.names, default_terms(house))


if __name__ == "__main__":
    unittest.main()

"""Budgets of the fleet: decisions of directors and planners, random schedules of faults, and mistakes that the checker of spends must find."""
import unittest

from laddergw.fleet.fair_share import Need, max_min_shares, target_shares
from laddergw.fleet.grants import FLOOR_LEASE_MS, Grant, GrantHolder, Row
from laddergw.fleet.grant_issuer import Budget, GrantIssuer, charge_duration_ms
from laddergw.fleet.rights import LEASE_MS
from laddergw.lab.budget_scenarios import long_cut, split_planners, freezes
from laddergw.lab.budget_model import STORE, SimulationSettings, max_within_window
from laddergw.lab.budget_simulation import BudgetSimulation, run_seeds
from tests.broken_budgets import BROKEN

KINDS = (SimulationSettings(fault_rate=0.1, seconds=200), SimulationSettings(directors=4, whole=12, fault_rate=0.2, seconds=150),
         SimulationSettings(fault_rate=0.1, seconds=200, whole=10, directors=12, spend_rate=60, skew=0.4, skew_shifts=True), SimulationSettings(fault_rate=0.05, seconds=300, window_ms=1_000.0, loss=0.1))
STAGED = SimulationSettings(directors=8, whole=32, window_ms=2_000.0, seconds=160, spend_rate=160, fault_rate=0)
FOUND_BY = {"two issuers": split_planners, "a floor never ends": long_cut, "the floor's lease is too long": long_cut}
# The index into KINDS, and the first seed that shows the mistake.
FOUND_WITH = {
    "a grant resets what was spent": (1, 1), "a smaller grant is not obeyed": (2, 2), "it reports that it spent nothing": (2, 2),
    "a grant never ends": (3, 7), "older grants are obeyed": (2, 6), "no waiting after a takeover": (1, 1), "it spends one too many": (2, 2),
    "it waits out leases but not windows": (3, 3), "only the latest grant is charged": (0, 60), "a share moves before its spends left the window": (2, 2),
    "it grants more than is left": (2, 2), "it grants without charging": (2, 2), "it grants the whole to each": (1, 1), "it grants the floor twice": (2, 2),
    "unknown floors are not counted": (3, 15), "a charge ends with the lease": (2, 2), "it reports another grant than it obeys": (3, 91),
    "floors are charged no longer than leases": (3, 3), "the lease counts from the answer": (3, 115),
    "an expired charge counts again": (3, 75)}


class FairShares(unittest.TestCase):
    def test_max_min_shares(self):
        wants = [("a", 2, 1.0), ("b", 50, 1.0), ("c", 50, 1.0), ("d", 0, 1.0)]
        self.assertEqual(max_min_shares(30, wants, 1), {"a": 2, "b": 14, "c": 14, "d": 0})
        self.assertEqual(max_min_shares(200, wants, 1), {"a": 2, "b": 50, "c": 50, "d": 0})
        self.assertEqual(max_min_shares(32, [("a", 90, 3.0), ("b", 90, 1.0)], 1), {"a": 24, "b": 8})
        self.assertEqual(sum(max_min_shares(31, wants, 1).values()), 31)

    def test_too_small_a_total_rotates_over_all(self):
        served = [name for turn in range(2_000) for name, share in max_min_shares(3, [(f"d{n}", 1, 1.0) for n in range(230)], turn).items() if share]
        self.assertEqual((len(served), len(set(served))), (6_000, 230))

    def test_needs_come_before_reserves_and_small_excesses_are_kept(self):
        self.assertEqual(target_shares(10, [Need("a", 8, 0, 8), Need("b", 8, 0, 0)], 1), {"a": 8, "b": 2})
        self.assertEqual(target_shares(10, [Need("a", 6, 6, 6), Need("b", 6, 4, 6)], 1), {"a": 6, "b": 5})      # slightly above the fair share
        self.assertEqual(target_shares(10, [Need("a", 9, 10, 9), Need("b", 9, 0, 9)], 1), {"a": 5, "b": 5})


class GrantDecisions(unittest.TestCase):
    def test_a_grant_lasts_from_its_request_and_its_floor_longer(self):
        holding = GrantHolder(STORE)
        holding.configure({"b": 1_000.0})
        holding.build_rows(4, 1_000.0)
        holding.apply_grants(4, 2, "another store", [Grant("b", 10, 5, 1, 1_000.0)], 1_000.0)
        self.assertFalse(holding.spend("b", 1_000.0))
        holding.apply_grants(4, 2, STORE, [Grant("b", 10, 5, 1, 1_000.0)], 1_000.0)
        self.assertEqual([holding.held["b"].right(at) for at in (1_000.0, 1_000.0 + LEASE_MS, 1_000.0 + FLOOR_LEASE_MS)], [5, 1, 0])
        for number, epoch, grant in ((4, 2, Grant("b", 10, 9, 1, 1_000.0)), (4, 1, Grant("b", 10, 9, 1, 1_000.0)), (9, 2, Grant("b", 10, 9, 1, 1_000.0)), (5, 2, Grant("b", 10, 11, 1, 1_000.0)), (5, 2, Grant("b", 10, 1, 2, 1_000.0))):
            holding.requested[5] = 1_000.0
            holding.apply_grants(number, epoch, STORE, [grant], 1_000.0)
            self.assertEqual(holding.held["b"].amount, 5, grant)
        self.assertEqual(sum(holding.spend("b", 1_200.0 + n) for n in range(20)), 5)
        self.assertTrue(holding.spend("b", 2_400.0))

    def test_a_share_moves_once_its_spends_left_the_window(self):
        issuer, now = GrantIssuer(Budget("b", 10, 1_000.0), 1, -1e9), 0.0

        def ask(name, number, amount, granted, used, want):
            issuer.handle_request(name, number, Row("b", 1_000.0, 1, granted, amount, 0, used, want, want), now)
            return issuer.grant(name, now).amount
        ask("a", 1, 0, 0, 0, 10)
        now = 300.0
        self.assertEqual(ask("a", 2, 0, 0, 0, 10), 10)
        now = 600.0
        self.assertEqual(ask("a", 3, 10, 2, 9, 0), 0)                    # it wants none any more, but has spent nine
        now = 900.0
        ask("a", 4, 0, 3, 9, 0)
        ask("b", 1, 0, 0, 0, 10)
        now = 1_200.0
        ask("a", 5, 0, 4, 9, 0)
        self.assertEqual(ask("b", 2, 0, 1, 0, 10), 1)
        now = 1_900.0
        ask("a", 6, 0, 5, 0, 0)
        now = 2_200.0
        self.assertEqual(ask("b", 3, 1, 2, 0, 10), 10)

    def test_a_planner_that_takes_over_grants_no_more_until_earlier_grants_expired(self):
        issuer, now, amounts = GrantIssuer(Budget("b", 10, 1_000.0), 7, 0.0), 0.0, []
        for number in range(1, 40):
            now = 250.0 * number
            issuer.handle_request("a", number, Row("b", 1_000.0, 6 if number < 3 else 7, number - 1, 4 if number < 20 else amounts[-1][1], 0, 0, 9, 10), now)
            amounts.append((now, issuer.grant("a", now).amount))
        self.assertEqual({amount for at, amount in amounts if at < charge_duration_ms(LEASE_MS, 1_000.0)}, {4})
        self.assertEqual(amounts[-1][1], 5)                              # what may still be held as floors cannot be granted yet


class RandomSchedules(unittest.TestCase):
    def test_no_window_holds_more_than_the_whole(self):
        for kind in KINDS:
            for seed, found in run_seeds(range(1, 2), kind):
                self.assertLessEqual(found.max_in_window, found.whole, (seed, kind))
                self.assertGreater(found.spent, 50)
        for trouble in split_planners, long_cut, freezes:
            found = BudgetSimulation(1, STAGED, fault_script=trouble).run()
            self.assertLessEqual(found.max_in_window, found.whole)
            self.assertGreater(found.max_in_window, 0.9 * found.whole)            # and nearly all of it is used

    def test_230_directors(self):
        found = BudgetSimulation(1, SimulationSettings(directors=230, whole=600, window_ms=5_000.0, seconds=20, spend_rate=300, fault_rate=0.0)).run()
        self.assertLessEqual(found.max_in_window, found.whole)
        self.assertGreater(found.max_in_window, 0.4 * found.whole)               # half may be held as earlier floors

    def test_the_checker_finds_each_mistake(self):
        self.assertGreaterEqual(len(FOUND_BY.keys() | FOUND_WITH.keys()), 20)
        for name in sorted(FOUND_BY.keys() | FOUND_WITH.keys()):
            with self.subTest(name):
                rules, (kind, seed) = BROKEN[name], FOUND_WITH.get(name, (None, 1))
                found = BudgetSimulation(seed, STAGED, rules, FOUND_BY[name]).run() if name in FOUND_BY else BudgetSimulation(seed, KINDS[kind], rules).run()
                self.assertGreater(found.max_in_window, found.whole)

    def test_most_within_a_window(self):
        self.assertEqual(max_within_window([0.0, 5.0, 9.0, 10.0, 14.0], 10.0), (4, 5.0))
        self.assertEqual(max_within_window([], 10.0), (0, 0.0))


if __name__ == "__main__":
    unittest.main()

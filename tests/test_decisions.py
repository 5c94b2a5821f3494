"""Decisions against kept traces: shadow prices, product terms, and guards against failures that occurred."""
import unittest

from laddergw import interface
from laddergw.control.prices import dual_prices
from tests.helpers import TracedController, TraceTest


class Prices(TraceTest):
    def test_dual_prices_worked_out_by_hand(self):
        # One resource of 10, ten plays at 3 and ten at 1, each using 1: the plays at 3 fill it, the next unit
        # would be sold to a play at 1 only if any were left over, so the price lies between 1 and 3.
        low, = dual_prices([(10, [(3.0, (1.0,))]), (10, [(1.0, (1.0,))])], [10.0])
        self.assertAlmostEqual(low, 1.0, places=4)      # the least price at which the plays at 1 stay out
        # Eight plays at 3 leave 2 for those at 1, which are then the marginal plays: price 1.
        self.assertAlmostEqual(dual_prices([(8, [(3.0, (1.0,))]), (10, [(1.0, (1.0,))])], [10.0])[0], 1.0, places=4)
        # Room for all: nothing has a price. Two resources, the second scarce: it alone is priced, 3 / 2.
        self.assertEqual(dual_prices([(2, [(3.0, (1.0,))])], [10.0]), [0.0])
        free, scarce = dual_prices([(10, [(3.0, (1.0, 2.0))])], [50.0, 10.0])
        self.assertEqual(free, 0.0)
        self.assertAlmostEqual(scarce, 1.5, places=4)
        # A ladder: 4 plays, rungs worth 1 and 1.5 for 1 and 2 of 6: the step up is marginal, 0.5 a unit.
        self.assertAlmostEqual(dual_prices([(4, [(1.0, (1.0,)), (1.5, (2.0,))])], [6.0])[0], 0.5, places=4)

    def test_capacity_is_reserved_for_the_more_important_product(self):
        traced = TracedController(nodes=1, products=({}, {"importance": 5.0, "floor": 2}), racks=1, link_unit=1000.0)
        traced.comment("no play of product 1 expected: one of product 0 is taken although the link is two thirds full")
        traced.note(0, 0, 1, interface.LINK_DEMAND, 0.66)
        traced.request(10, 1)
        traced.allocation_ended(20, 1, 1, interface.CANCELLED, over=True)
        traced.comment("plays of product 1 come often: the same play is declined, one of product 1 is taken")
        traced.controller.prices.demand[1].add(traced.start_ms, 0.00005)
        traced.note(30, 0, 1, interface.LINK_DEMAND, 0.5)
        traced.request(40, 2)
        traced.request(50, 3, product=1)
        self.assert_trace("reserve", traced)


    def test_plays_of_other_directors_are_expected_again(self):
        traced = TracedController(nodes=1, racks=1, link_unit=2000.0)
        traced.comment("others ask a tenth of the link: as many to come leave capacity for the top rung")
        traced.note(0, 0, 1, interface.LINK_DEMAND, 0.1)
        traced.request(10, 1)
        traced.allocation_ended(20, 1, 1, interface.CANCELLED, over=True)
        traced.comment("others ask two thirds, and this director sees few plays: the top rung fits, but not for all that come")
        traced.note(30, 0, 1, interface.LINK_DEMAND, 0.66)
        traced.request(40, 2)
        self.assert_trace("others_plays", traced)


class Terms(TraceTest):
    def test_paid_plays_are_repeated_only_when_nothing_ran(self):
        paid = TracedController(products=({"repeat": "paid"},))
        paid.comment("refused: it never ran, so it is set up again")
        paid.request(0, 1)
        paid.allocation_ended(10, 1, 1, interface.FULL)
        paid.comment("then a time-out: it may have run, so it fails and is not declined")
        paid.allocation_ended(4000, 1, 2, interface.TIMED_OUT, number=1)
        paid.comment("a keyed play is repeated in its own cell only, and not at all once the key has expired")
        keyed = TracedController(products=({"repeat": "keyed", "group": "cell"},))
        keyed.lines = paid.lines
        keyed.request(0, 2)
        keyed.allocation_ended(10, 2, 1, interface.ERROR)
        self.assert_trace("repeats", paid)

    def test_answers_when_no_candidate_is_left(self):
        traced = TracedController(nodes=1)
        traced.comment("the fleet list empties: declined at once; events on plays that have ended change nothing")
        traced.update_fleet(20_000, [], True)
        traced.request(0, 1)
        traced.allocation_ended(5, 1, 1, interface.SERVED, over=True)
        traced.play_started(6, 9, 1)
        traced.note(7, 9, 77, interface.DELIVERED, 0.5)
        traced.comment("a draining node gets nothing from the moment that the drain is known")
        draining = TracedController(nodes=2)
        draining.lines = traced.lines
        draining.update_fleet(20_000, [draining.entry(1, interface.DRAINING)])
        for play in range(2, 5):
            draining.request(play, play)
            draining.play_started(play, play, 2)
        traced.comment("the last time-out falls on the play's limit: it still gets its answer")
        draining.request(10, 6, wait_ms=200.0)
        draining.allocation_ended(210, 6, 2, interface.TIMED_OUT)
        self.assert_trace("answers", traced)

    def test_cold_nodes_seats_floors_and_the_budget(self):
        traced = TracedController(nodes=1, warm=False, ladder=(200.0, 400.0, 800.0))
        traced.comment("after the controller's own start any node may be cold: set-ups keep to its half of the allowance")
        for now in (0, 500, 1500, 2500, 3300):
            traced.request(now, now)
        traced.comment("one seat: the second play of the title waits for its end; no play goes below the lowest rung")
        one_seat = TracedController(products=({"seats": 1, "floor": 1},), racks=1)
        one_seat.lines = traced.lines
        one_seat.request(0, 1)
        one_seat.request(1, 2)
        one_seat.request(2, 3, title=6, highest_rung=0)
        traced.comment("one retry in the window, then none until it has passed")
        budgeted = TracedController(nodes=4, budget_free=1.0, budget_share=0.0, budget_ms=5000.0)
        budgeted.lines = traced.lines
        budgeted.request(0, 1)
        budgeted.allocation_ended(10, 1, 1, interface.UNREACHABLE)
        budgeted.allocation_ended(20, 1, 2, interface.UNREACHABLE, number=1)
        self.assert_trace("terms", traced)


class Guards(TraceTest):
    def test_a_node_with_weight_zero(self):
        traced = TracedController(nodes=2)
        traced.request(0, 1)
        traced.play_started(100, 1, 1)
        traced.comment("the list gives node 1 weight 0: its play goes on, its notes report no load and cause no failure")
        traced.update_fleet(20_200, [traced.entry(1)._replace(weight=0.0)])
        for kind in interface.LINK_DEMAND, interface.UPLINK_DEMAND, interface.DELIVERED:
            traced.note(300, 1, 1, kind, 0.9)
        traced.comment("new plays go to node 2, also once node 2 answered that it is full")
        traced.request(400, 2)
        traced.allocation_ended(500, 2, 2, interface.FULL)
        traced.comment("a report from node 1 itself, then its weight returns")
        traced.allocation_ended(600, 1, 1, interface.BROKEN, over=True, report=(0.4,))
        traced.update_fleet(20_700, [traced.entry(1)])
        traced.request(36_000, 3)
        self.assert_trace("weighted_out", traced)

    def test_events_that_arrive_together_after_a_standstill(self):
        traced = TracedController(nodes=2)
        traced.comment("two plays are requested; behind them in the same batch come a drain and the leaving of one viewer")
        traced.request(0, 1, same_batch=True)
        traced.request(0, 2, same_batch=True)
        traced.record(0, "node 1 drains", traced.update_fleet(20_000, [traced.entry(1, interface.DRAINING)]), same_batch=True)
        traced.record(0, "viewer of play 2 left", traced.controller.viewer_left(20_000, 2), same_batch=True)
        traced.record(0, "end of the batch", ([], 0))
        traced.comment("its time-out comes twice and with the viewer's leaving: one retry, then nothing")
        for which in "first", "again":
            traced.record(750, f"time-out of play 1, {which}", traced.controller.allocation_ended(20_750, 1, 0, interface.TIMED_OUT, 2, False, ()), True)
        traced.record(750, "node 1 is ready again", traced.update_fleet(20_750, [traced.entry(1)]), same_batch=True)
        traced.record(750, "end of the batch", ([], 0))
        traced.record(800, "viewer of play 1 left", traced.controller.viewer_left(20_800, 1), same_batch=True)
        traced.allocation_ended(1500, 1, 1, interface.TIMED_OUT, number=1)
        self.assert_trace("batch", traced)

    def test_directors_take_turns_at_a_node_that_started(self):
        traced = None
        for seed in range(1, 9):
            one = TracedController(nodes=1, seed=seed, directors=8, streams=(25.0,), number=seed - 1)
            one.lines = traced.lines if traced else one.lines
            traced = one
            traced.comment(f"director {seed} of 8 learns that node 1 just started: it sends when it is its turn")
            traced.update_fleet(20_000, [traced.entry(1, started=20_000)])
            for now in (300, 2300, 4300):
                traced.request(now, now)
        self.assert_trace("cold_node_rotation", traced)

    def test_a_silent_node_backs_off_and_is_tried_with_one_play(self):
        traced = TracedController(nodes=2)
        traced.request(0, 1)
        traced.allocation_ended(750, 1, 1, interface.TIMED_OUT)
        traced.comment("node 1 is in back-off, although it has most free rate")
        traced.request(760, 2)
        traced.request(770, 3)
        traced.comment("after the back-off one play is tried there, and no second one while its set-up is open")
        traced.request(2800, 4)
        traced.request(2810, 5)
        self.assert_trace("silent_node", traced)


if __name__ == "__main__":
    unittest.main()

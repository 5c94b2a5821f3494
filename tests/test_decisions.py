"""Decisions against kept traces: the price, the rules and the guards found by failures."""
import unittest

from laddergw import interface as face
from laddergw.control.prices import dual_prices
from tests.helpers import Drive, TraceTest


class Prices(TraceTest):
    def test_duals_worked_out_by_hand(self):
        # One resource of 10, ten plays at 3 and ten at 1, each using 1: the dear ones fill it, the next unit
        # would be sold to a play at 1 only if any were left over, so the price lies between 1 and 3.
        low, = dual_prices([(10, [(3.0, (1.0,))]), (10, [(1.0, (1.0,))])], [10.0])
        self.assertAlmostEqual(low, 1.0, places=4)      # the least price at which the cheap ones stay out
        # Eight dear ones leave 2 for the cheap ones, who are then the marginal plays: price 1.
        self.assertAlmostEqual(dual_prices([(8, [(3.0, (1.0,))]), (10, [(1.0, (1.0,))])], [10.0])[0], 1.0, places=4)
        # Room for all: nothing has a price. Two resources, the second scarce: it alone is priced, 3 / 2.
        self.assertEqual(dual_prices([(2, [(3.0, (1.0,))])], [10.0]), [0.0])
        free, scarce = dual_prices([(10, [(3.0, (1.0, 2.0))])], [50.0, 10.0])
        self.assertEqual(free, 0.0)
        self.assertAlmostEqual(scarce, 1.5, places=4)
        # A ladder: 4 plays, rungs worth 1 and 1.5 for 1 and 2 of 6: the step up is marginal, 0.5 a unit.
        self.assertAlmostEqual(dual_prices([(4, [(1.0, (1.0,)), (1.5, (2.0,))])], [6.0])[0], 0.5, places=4)

    def test_room_is_kept_for_the_dearer_product(self):
        d = Drive(nodes=1, products=({}, {"importance": 5.0, "floor": 2}), racks=1, link_unit=1000.0)
        d.say("nothing dearer expected: a play of product 0 is taken although the link is two thirds full")
        d.note(0, 0, 1, face.LINK_DEMAND, 0.66)
        d.ask(10, 1)
        d.end(20, 1, 1, face.CANCELLED, over=True)
        d.say("dearer plays come often: the same play is declined, a dear one is taken")
        d.c.prices.demand[1].add(d.base, 0.00005)
        d.note(30, 0, 1, face.LINK_DEMAND, 0.5)
        d.ask(40, 2)
        d.ask(50, 3, product=1)
        self.assert_trace("reserve", d)


    def test_others_plays_come_again(self):
        d = Drive(nodes=1, racks=1, link_unit=2000.0)
        d.say("others ask a tenth of the link: those that come again leave room for the top rung")
        d.note(0, 0, 1, face.LINK_DEMAND, 0.1)
        d.ask(10, 1)
        d.end(20, 1, 1, face.CANCELLED, over=True)
        d.say("others ask two thirds, and we see one play now and then: the top rung fits, but not for all that come")
        d.note(30, 0, 1, face.LINK_DEMAND, 0.66)
        d.ask(40, 2)
        self.assert_trace("again", d)


class Rules(TraceTest):
    def test_paid_plays_go_again_only_when_nothing_ran(self):
        d = Drive(products=({"repeat": "paid"},))
        d.say("refused unseen: it never ran, so it goes again")
        d.ask(0, 1)
        d.end(10, 1, 1, face.FULL)
        d.say("then silence: it may have run, so it fails and is not declined")
        d.end(4000, 1, 2, face.TIMED_OUT, number=1)
        d.say("a keyed play goes again to its own cell only, and not at all once the key is gone")
        k = Drive(products=({"repeat": "keyed", "group": "cell"},))
        k.lines = d.lines
        k.ask(0, 2)
        k.end(10, 2, 1, face.ERROR)
        self.assert_trace("paid", d)

    def test_answers_when_no_holder_can_be_had(self):
        d = Drive(nodes=1)
        d.say("the list empties: declined at once; events on plays already over change nothing")
        d.listed(20_000, [], True)
        d.ask(0, 1)
        d.end(5, 1, 1, face.SERVED, over=True)
        d.starts(6, 9, 1)
        d.note(7, 9, 77, face.DELIVERED, 0.5)
        d.say("a draining node gets nothing from the moment that we are told")
        e = Drive(nodes=2)
        e.lines = d.lines
        e.listed(20_000, [e.line(1, face.DRAINING)])
        for play in range(2, 5):
            e.ask(play, play)
            e.starts(play, play, 2)
        d.say("the last time-out falls at the time limit: the play still gets its answer")
        e.ask(10, 6, wait=200.0)
        e.end(210, 6, 2, face.TIMED_OUT)
        self.assert_trace("answers", d)

    def test_cold_nodes_seats_floors_and_the_budget(self):
        d = Drive(nodes=1, warm=False, ladder=(200.0, 400.0, 800.0))
        d.say("after our own start any node may be cold: set-ups keep to our half of its allowance")
        for now in (0, 500, 1500, 2500, 3300):
            d.ask(now, now)
        d.say("one seat: the second play of the title waits for its end; the floor is never undercut")
        s = Drive(products=({"seats": 1, "floor": 1},), racks=1)
        s.lines = d.lines
        s.ask(0, 1)
        s.ask(1, 2)
        s.ask(2, 3, title=6, ceiling=0)
        d.say("one further allocation in the window, then none until it has passed")
        b = Drive(nodes=4, budget_free=1.0, budget_share=0.0, budget_ms=5000.0)
        b.lines = d.lines
        b.ask(0, 1)
        b.end(10, 1, 1, face.UNREACHABLE)
        b.end(20, 1, 2, face.UNREACHABLE, number=1)
        self.assert_trace("terms", d)


class Guards(TraceTest):
    def test_a_node_weighted_out(self):
        d = Drive(nodes=2)
        d.ask(0, 1)
        d.starts(100, 1, 1)
        d.say("the list gives node 1 no weight: its play goes on, its words tell no load and end no instance")
        d.listed(20_200, [d.line(1)._replace(weight=0.0)])
        for kind in face.LINK_DEMAND, face.UPLINK_DEMAND, face.DELIVERED:
            d.note(300, 1, 1, kind, 0.9)
        d.say("new plays go to node 2, also once node 2 is full by its word")
        d.ask(400, 2)
        d.end(500, 2, 2, face.FULL)
        d.say("a report from node 1 itself, then its weight returns")
        d.end(600, 1, 1, face.BROKEN, over=True, report=(0.4,))
        d.listed(20_700, [d.line(1)])
        d.ask(36_000, 3)
        self.assert_trace("weighted_out", d)

    def test_a_heap_of_events_after_a_stand_still(self):
        d = Drive(nodes=2)
        d.say("two plays are asked for; behind them in the same batch stand a drain and the leaving of one viewer")
        d.ask(0, 1, together=True)
        d.ask(0, 2, together=True)
        d.run(0, "node 1 drains", d.listed(20_000, [d.line(1, face.DRAINING)]), together=True)
        d.run(0, "viewer of play 2 left", d.c.viewer_left(20_000, 2), together=True)
        d.run(0, "all told", ([], 0))
        d.say("its time-out comes twice and with the viewer's leaving: one further allocation, then nothing")
        for what in "first", "again":
            d.run(750, f"time-out of play 1, {what}", d.c.allocation_ended(20_750, 1, 0, face.TIMED_OUT, 2, False, ()), True)
        d.run(750, "node 1 is ready again", d.listed(20_750, [d.line(1)]), together=True)
        d.run(750, "all told", ([], 0))
        d.run(800, "viewer of play 1 left", d.c.viewer_left(20_800, 1), together=True)
        d.end(1500, 1, 1, face.TIMED_OUT, number=1)
        self.assert_trace("heap", d)

    def test_directors_take_turns_at_a_node_that_started(self):
        d = None
        for seed in range(1, 9):
            e = Drive(nodes=1, seed=seed, directors=8, streams=(25.0,), number=seed - 1)
            e.lines = d.lines if d else e.lines
            d = e
            d.say(f"director {seed} of 8 hears that node 1 just started: it sends when its number is up")
            d.listed(20_000, [d.line(1, started=20_000)])
            for now in (300, 2300, 4300):
                d.ask(now, now)
        self.assert_trace("turns", d)

    def test_a_silent_node_rests_and_is_tried_a_little(self):
        d = Drive(nodes=2)
        d.ask(0, 1)
        d.end(750, 1, 1, face.TIMED_OUT)
        d.say("node 1 rests, although it shows most room")
        d.ask(760, 2)
        d.ask(770, 3)
        d.say("after the rest one play is tried there, and no second one while it is out")
        d.ask(2800, 4)
        d.ask(2810, 5)
        self.assert_trace("silent", d)


if __name__ == "__main__":
    unittest.main()

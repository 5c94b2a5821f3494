"""Decisions against kept traces: the price, the rules and the guards found by failures."""
import unittest

from laddergw import interface as face
from laddergw.control.plays import Play
from laddergw.control.prices import duals
from tests.helpers import Drive, TraceTest


class Prices(TraceTest):
    def test_duals_worked_out_by_hand(self):
        # One resource of 10, ten plays at 3 and ten at 1, each using 1: the dear ones fill it, the next unit
        # would be sold to a play at 1 only if any were left over, so the price lies between 1 and 3.
        low, = duals([(10, [(3.0, (1.0,))]), (10, [(1.0, (1.0,))])], [10.0])
        self.assertAlmostEqual(low, 1.0, places=4)      # the least price at which the cheap ones stay out
        # Eight dear ones leave 2 for the cheap ones, who are then the marginal plays: price 1.
        self.assertAlmostEqual(duals([(8, [(3.0, (1.0,))]), (10, [(1.0, (1.0,))])], [10.0])[0], 1.0, places=4)
        # Room for all: nothing has a price. Two resources, the second scarce: it alone is priced, 3 / 2.
        self.assertEqual(duals([(2, [(3.0, (1.0,))])], [10.0]), [0.0])
        free, scarce = duals([(10, [(3.0, (1.0, 2.0))])], [50.0, 10.0])
        self.assertEqual(free, 0.0)
        self.assertAlmostEqual(scarce, 1.5, places=4)
        # A ladder: 4 plays, rungs worth 1 and 1.5 for 1 and 2 of 6: the step up is marginal, 0.5 a unit.
        self.assertAlmostEqual(duals([(4, [(1.0, (1.0,)), (1.5, (2.0,))])], [6.0])[0], 0.5, places=4)

    def test_room_is_kept_for_the_dearer_product(self):
        d = Drive(nodes=1, products=({}, {"importance": 5.0, "floor": 2}), racks=1, link_unit=1000.0)
        d.say("nothing dearer expected: a play of product 0 is taken although the link is two thirds full")
        d.note(0, 0, 1, face.LINK_ASKED, 0.66)
        d.ask(10, 1)
        d.end(20, 1, 1, face.CANCELLED, over=True)
        d.say("dearer plays come often: the same play is declined, a dear one is taken")
        d.c.prices.demand[1].add(d.base, 0.00005)
        d.note(30, 0, 1, face.LINK_ASKED, 0.5)
        d.ask(40, 2)
        d.ask(50, 3, product=1)
        self.same("reserve", d)


    def test_others_plays_come_again(self):
        d = Drive(nodes=1, racks=1, link_unit=2000.0)
        d.say("others ask a tenth of the link: those that come again leave room for the top rung")
        d.note(0, 0, 1, face.LINK_ASKED, 0.1)
        d.ask(10, 1)
        d.end(20, 1, 1, face.CANCELLED, over=True)
        d.say("others ask two thirds, and we see one play now and then: the top rung fits, but not for all that come")
        d.note(30, 0, 1, face.LINK_ASKED, 0.66)
        d.ask(40, 2)
        self.same("again", d)


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
        self.same("paid", d)

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
        self.same("answers", d)

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
        self.same("terms", d)


class Guards(TraceTest):
    def test_a_node_weighted_out(self):
        d = Drive(nodes=2)
        d.ask(0, 1)
        d.starts(100, 1, 1)
        d.say("the list gives node 1 no weight: its play goes on, its words tell no load and end no instance")
        d.listed(20_200, [d.line(1)._replace(weight=0.0)])
        for kind in face.LINK_ASKED, face.UPLINK_ASKED, face.DELIVERED:
            d.note(300, 1, 1, kind, 0.9)
        d.say("new plays go to node 2, also once node 2 is full by its word")
        d.ask(400, 2)
        d.end(500, 2, 2, face.FULL)
        d.say("a report from node 1 itself, then its weight returns")
        d.end(600, 1, 1, face.BROKEN, over=True, report=(0.4,))
        d.listed(20_700, [d.line(1)])
        d.ask(36_000, 3)
        self.same("weighted_out", d)

    def test_a_heap_of_events_after_a_stand_still(self):
        d = Drive(nodes=2)
        d.say("two plays are asked for; behind them in the same batch stand a drain and the leaving of one viewer")
        d.ask(0, 1, together=True)
        d.ask(0, 2, together=True)
        d.run(0, "node 1 drains", d.listed(20_000, [d.line(1, face.DRAINING)]), together=True)
        d.run(0, "viewer of play 2 left", d.c.left(20_000, 2), together=True)
        d.run(0, "all told", ([], 0))
        d.say("its time-out comes twice and with the viewer's leaving: one further allocation, then nothing")
        for what in "first", "again":
            d.run(750, f"time-out of play 1, {what}", d.c.ended(20_750, 1, 0, face.TIMED_OUT, 2, False, ()), True)
        d.run(750, "node 1 is ready again", d.listed(20_750, [d.line(1)]), together=True)
        d.run(750, "all told", ([], 0))
        d.run(800, "viewer of play 1 left", d.c.left(20_800, 1), together=True)
        d.end(1500, 1, 1, face.TIMED_OUT, number=1)
        self.same("heap", d)

    def test_directors_take_turns_at_a_node_that_started(self):
        d = None
        for seed in range(1, 9):
            e = Drive(nodes=1, seed=seed, directors=8, streams=(25.0,))
            e.lines = d.lines if d else e.lines
            d = e
            d.say(f"director {seed} of 8 hears that node 1 just started: its first turn is at a time of its own")
            d.listed(20_000, [d.line(1, started=20_000)])
            for now in (300, 2300, 4300):
                d.ask(now, now)
        self.same("turns", d)

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
        self.same("silent", d)

    def test_a_note_of_room_is_shared_by_the_directors_that_hear_it(self):
        d = Drive(nodes=1, racks=1, link_unit=2000.0)
        d.ask(0, 1, ceiling=0)
        d.starts(10, 1, 1)
        d.c.plays[1].ask = d.c.plays[1].ask._replace(ceiling=2)
        d.say("half asked, mostly by others: our part of the room is less than a step, taken by chance, once")
        for now in range(10_000, 40_000, 5000):
            d.note(now, 1, 1, face.LINK_ASKED, 0.5)
        d.say("all the load is ours: the play goes up at once, to the rung that the program offers")
        e = Drive(nodes=1, racks=1, link_unit=2000.0)
        e.lines = d.lines
        e.ask(0, 1, ceiling=0)
        e.starts(10, 1, 1)
        e.c.plays[1].ask = e.c.plays[1].ask._replace(ceiling=2)
        e.note(10_000, 1, 1, face.LINK_ASKED, 0.05)
        self.same("room", d)

    def test_many_directors_start_plays_low_and_let_them_rise(self):
        d = Drive(nodes=1, racks=1, link_unit=2000.0, directors=100)
        d.say("one of 100 directors: a wide margin at the start, then up by our part when notes tell of room")
        d.note(0, 0, 1, face.LINK_ASKED, 0.6)
        d.ask(10, 1)
        d.starts(20, 1, 1)
        for now in range(9000, 18_000, 3000):
            d.note(now, 1, 1, face.LINK_ASKED, 0.2)
        d.say("hardly room for the lowest rung beyond the wide margin: taken there, not declined")
        d.note(19_000, 1, 1, face.LINK_ASKED, 0.66)
        d.ask(19_010, 2)
        self.same("rise", d)

    def test_many_directors_do_not_rank_unheard_nodes_alike(self):
        d = None
        for seed in (11, 12, 13, 14):
            e = Drive(nodes=3, seed=seed, directors=100)
            e.lines, d = d.lines if d else e.lines, e
            d.say(f"director {seed}, like accounts of like nodes after a minute without a note")
            d.ask(60_000, 1)
        self.same("spread", d)

    def test_a_short_rack_is_shed_once(self):
        d = Drive(nodes=4, racks=1, link_unit=1000.0, rack_kb=2000.0)
        for play in range(4):
            d.note(play, 9, play + 1, face.LINK_ASKED, 0.0)
        for play in range(4):
            d.ask(10 + play, play)
            d.starts(110 + play, play, 4 - play)
        d.say("all nodes of the rack tell of the same shortage: the plays step down once, not once a node")
        for node in range(1, 5):
            d.note(5000 + node, 4 - node, node, face.DELIVERED, 0.8)
        d.say("junk in reports and notes is no report")
        d.note(5100, 0, 1, face.LINK_ASKED, float("nan"))
        d.note(5101, 0, 1, face.DELIVERED, float("inf"))
        d.note(5102, 0, 1, face.LINK_ASKED, 1e30)
        self.same("rack", d)

    def test_a_stand_still_fills_no_uplink(self):
        """Seen on sockets: 8 times its link told of a node that stood still closed its whole rack for 20 s."""
        for told in 0.5, 9.0:
            d = Drive(nodes=4, racks=2, rack_kb=24_000.0, streams=(200.0,))
            for _ in range(9):                           # nodes 1 and 3 share a rack
                d.note(0, 0, 2, face.LINK_ASKED, 0.3)
            d.note(0, 0, 1, face.LINK_ASKED, told)
            d.c.asked(d.base, face.Asked(1, 0, 5, 2, 1, 2, None, 4000.0))
            verdict, = d.c.decide(d.base)[0]
            self.assertEqual((verdict.node, verdict.rung), (3, 2), told)

    def test_plays_to_come_last_as_long_as_hints_tell(self):
        """Seen on sockets: plays of 10 s were declined at 0.8 of a link, since those to come were planned to earn 40 s each."""
        d = Drive(nodes=1, products=({}, {"importance": 2.0}), racks=1, link_unit=4000.0, streams=(200.0,))
        for n in range(200):                             # dear plays of 10 s take half of the link, and come as fast as they end
            d.c.asked(d.base + 20 * n, face.Asked(n, 1, 5, 0, 4, 0, 10_000.0, 4000.0))
            d.c.decide(d.base + 20 * n)
            d.c.ended(d.base + 20 * n, n, 0, face.CANCELLED, 1, True, ())
        self.assertAlmostEqual(d.c.prices.length, 10_000.0, delta=1500.0)
        without = d.c.prices.shadow_prices(d.base + 4000, d.c.fleet.nodes[1], 10_000.0)
        d.c.prices.length = 40_000.0
        self.assertLess(2 * without[1], d.c.prices.shadow_prices(d.base + 4000, d.c.fleet.nodes[1], 10_000.0)[1])

    def test_steps_up_wait_by_the_usual_length(self):
        d = Drive(nodes=1)
        ply = Play(face.Asked(1, 0, 5, 0, 4, 2, None, 0.0), d.c.fleet.d, d.base)
        ply.started = 0.0
        for length, wait in (40_000.0, 8000), (10_000.0, 2000):
            d.c.prices.length = length
            self.assertEqual([d.c.rungs.may_rise(d.base + wait + late, ply) for late in (-1, 0)], [False, True])

    def test_a_storm_of_further_tries_prices_nobody_out(self):
        """Rehearsed: after five seconds in which nothing could be had, viewers who came again at once were counted as demand, and service stayed at nothing for good."""
        d = Drive(nodes=2, products=({}, {"importance": 3.0}))

        def storm(start, again):
            silent, d.lines = d.lines, []
            for turn in range(2_000):
                d.ask(start + turn * 5, 1_000 + start + turn, title=turn, ceiling=0, wait=1.0, again=again)
                d.end(start + turn * 5 + 1, 1_000 + start + turn, 1, face.CANCELLED, over=True)
                d.end(start + turn * 5 + 1, 1_000 + start + turn, 2, face.CANCELLED, over=True)
            d.lines = silent
        d.say("two thousand further tries within ten seconds, then a first try: it is taken")
        storm(0, True)
        d.ask(10_010, 1, 1)
        d.ask(10_011, 2, 0)
        d.say("as many first tries are demand: what is worth less is declined, room is kept")
        storm(20_000, False)
        d.ask(30_010, 3, 1)
        d.ask(30_011, 4, 0)
        self.same("storm", d)

    def test_an_uplink_full_by_account_but_not_short_is_tried(self):
        d = Drive(nodes=2, racks=1, link_unit=2000.0, rack_kb=2000.0)
        d.ask(0, 1, ceiling=0)
        d.starts(100, 1, 1)
        d.say("links tell of more load than the uplink carries, but nothing is short: declined at first")
        for node in (1, 2):
            d.note(200 + node, 1, node, face.LINK_ASKED, 0.6)
        d.c.prices.demand[0].value = 0.0
        d.ask(300, 2)
        d.say("seconds without a word of shortage: the uplink carries more, and is tried with a little more")
        for now in range(1000, 9000, 500):
            d.c.wake(d.base + now)
        d.c.prices.demand[0].value = 0.0
        d.ask(9000, 3)
        self.same("uplink", d)


if __name__ == "__main__":
    unittest.main()

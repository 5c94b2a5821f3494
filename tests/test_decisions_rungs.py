"""Decisions against kept traces: room that is shared, rungs that rise and fall, what demand is taken to be."""
import unittest

from laddergw import interface as face
from laddergw.control.plays import Play
from tests.helpers import Drive, TraceTest


class Room(TraceTest):
    def test_a_note_of_room_is_shared_by_the_directors_that_hear_it(self):
        d = Drive(nodes=1, racks=1, link_unit=2000.0)
        d.ask(0, 1, ceiling=0)
        d.starts(10, 1, 1)
        d.c.plays[1].request = d.c.plays[1].request._replace(highest_rung=2)
        d.say("half asked, mostly by others: our part of the room is less than a step, taken by chance, once")
        for now in range(10_000, 40_000, 5000):
            d.note(now, 1, 1, face.LINK_DEMAND, 0.5)
        d.say("all the load is ours: the play goes up at once, to the rung that the program offers")
        e = Drive(nodes=1, racks=1, link_unit=2000.0)
        e.lines = d.lines
        e.ask(0, 1, ceiling=0)
        e.starts(10, 1, 1)
        e.c.plays[1].request = e.c.plays[1].request._replace(highest_rung=2)
        e.note(10_000, 1, 1, face.LINK_DEMAND, 0.05)
        self.assert_trace("room", d)

    def test_many_directors_start_plays_low_and_let_them_rise(self):
        d = Drive(nodes=1, racks=1, link_unit=2000.0, directors=100)
        d.say("one of 100 directors: a wide margin at the start, then up by our part when notes tell of room")
        d.note(0, 0, 1, face.LINK_DEMAND, 0.6)
        d.ask(10, 1)
        d.starts(20, 1, 1)
        for now in range(9000, 18_000, 3000):
            d.note(now, 1, 1, face.LINK_DEMAND, 0.2)
        d.say("hardly room for the lowest rung beyond the wide margin: taken there, not declined")
        d.note(19_000, 1, 1, face.LINK_DEMAND, 0.66)
        d.ask(19_010, 2)
        self.assert_trace("rise", d)

    def test_many_directors_do_not_rank_unheard_nodes_alike(self):
        d = None
        for seed in (11, 12, 13, 14):
            e = Drive(nodes=3, seed=seed, directors=100)
            e.lines, d = d.lines if d else e.lines, e
            d.say(f"director {seed}, like accounts of like nodes after a minute without a note")
            d.ask(60_000, 1)
        self.assert_trace("spread", d)

    def test_a_short_rack_is_shed_once(self):
        d = Drive(nodes=4, racks=1, link_unit=1000.0, rack_kb=2000.0)
        for play in range(4):
            d.note(play, 9, play + 1, face.LINK_DEMAND, 0.0)
        for play in range(4):
            d.ask(10 + play, play)
            d.starts(110 + play, play, 4 - play)
        d.say("all nodes of the rack tell of the same shortage: the plays step down once, not once a node")
        for node in range(1, 5):
            d.note(5000 + node, 4 - node, node, face.DELIVERED, 0.8)
        d.say("junk in reports and notes is no report")
        d.note(5100, 0, 1, face.LINK_DEMAND, float("nan"))
        d.note(5101, 0, 1, face.DELIVERED, float("inf"))
        d.note(5102, 0, 1, face.LINK_DEMAND, 1e30)
        self.assert_trace("rack", d)

    def test_a_stand_still_fills_no_uplink(self):
        """Seen on sockets: 8 times its link told of a node that stood still closed its whole rack for 20 s."""
        for told in 0.5, 9.0:
            d = Drive(nodes=4, racks=2, rack_kb=24_000.0, streams=(200.0,))
            for _ in range(9):                           # nodes 1 and 3 share a rack
                d.note(0, 0, 2, face.LINK_DEMAND, 0.3)
            d.note(0, 0, 1, face.LINK_DEMAND, told)
            d.c.request_play(d.base, face.PlayRequest(1, 0, 5, 2, 1, 2, None, 4000.0))
            verdict, = d.c.decide(d.base)[0]
            self.assertEqual((verdict.node, verdict.rung), (3, 2), told)

    def test_plays_to_come_last_as_long_as_hints_tell(self):
        """Seen on sockets: plays of 10 s were declined at 0.8 of a link, since those to come were planned to earn 40 s each."""
        d = Drive(nodes=1, products=({}, {"importance": 2.0}), racks=1, link_unit=4000.0, streams=(200.0,))
        for n in range(200):                             # dear plays of 10 s take half of the link, and come as fast as they end
            d.c.request_play(d.base + 20 * n, face.PlayRequest(n, 1, 5, 0, 4, 0, 10_000.0, 4000.0))
            d.c.decide(d.base + 20 * n)
            d.c.allocation_ended(d.base + 20 * n, n, 0, face.CANCELLED, 1, True, ())
        self.assertAlmostEqual(d.c.prices.usual_length_ms, 10_000.0, delta=1500.0)
        without = d.c.prices.shadow_prices(d.base + 4000, d.c.fleet.nodes[1], 10_000.0)
        d.c.prices.usual_length_ms = 40_000.0
        self.assertLess(2 * without[1], d.c.prices.shadow_prices(d.base + 4000, d.c.fleet.nodes[1], 10_000.0)[1])

    def test_steps_up_wait_by_the_usual_length(self):
        d = Drive(nodes=1)
        ply = Play(face.PlayRequest(1, 0, 5, 0, 4, 2, None, 0.0), d.c.fleet.deployment, d.base)
        ply.started_at = 0.0
        for length, wait in (40_000.0, 8000), (10_000.0, 2000):
            d.c.prices.usual_length_ms = length
            self.assertEqual([d.c.rungs.may_step_up(d.base + wait + late, ply) for late in (-1, 0)], [False, True])

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
        self.assert_trace("storm", d)

    def test_an_uplink_full_by_account_but_not_short_is_tried(self):
        d = Drive(nodes=2, racks=1, link_unit=2000.0, rack_kb=2000.0)
        d.ask(0, 1, ceiling=0)
        d.starts(100, 1, 1)
        d.say("links tell of more load than the uplink carries, but nothing is short: declined at first")
        for node in (1, 2):
            d.note(200 + node, 1, node, face.LINK_DEMAND, 0.6)
        d.c.prices.demand[0].value = 0.0
        d.ask(300, 2)
        d.say("seconds without a word of shortage: the uplink carries more, and is tried with a little more")
        for now in range(1000, 9000, 500):
            d.c.wake(d.base + now)
        d.c.prices.demand[0].value = 0.0
        d.ask(9000, 3)
        self.assert_trace("uplink", d)


if __name__ == "__main__":
    unittest.main()

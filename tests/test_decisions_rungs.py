"""Decisions against kept traces: shared free rate, steps up and down, and what counts as demand."""
import unittest

from laddergw import interface
from laddergw.control.plays import Play
from tests.helpers import TracedController, TraceTest


class FreeRate(TraceTest):
    def test_free_rate_in_a_note_is_shared_by_the_directors_that_get_it(self):
        traced = TracedController(nodes=1, racks=1, link_unit=2000.0)
        traced.request(0, 1, highest_rung=0)
        traced.play_started(10, 1, 1)
        traced.controller.plays[1].request = traced.controller.plays[1].request._replace(highest_rung=2)
        traced.comment("half asked, mostly by others: this director's part is less than a step, taken by chance, once")
        for now in range(10_000, 40_000, 5000):
            traced.note(now, 1, 1, interface.LINK_DEMAND, 0.5)
        traced.comment("all load is this director's: the play steps up at once, to the rung that pays")
        alone = TracedController(nodes=1, racks=1, link_unit=2000.0)
        alone.lines = traced.lines
        alone.request(0, 1, highest_rung=0)
        alone.play_started(10, 1, 1)
        alone.controller.plays[1].request = alone.controller.plays[1].request._replace(highest_rung=2)
        alone.note(10_000, 1, 1, interface.LINK_DEMAND, 0.05)
        self.assert_trace("shared_free_rate", traced)

    def test_many_directors_start_plays_low_and_step_up(self):
        traced = TracedController(nodes=1, racks=1, link_unit=2000.0, directors=100)
        traced.comment("one of 100 directors: a wide margin at the start, then its part of each step up that notes allow")
        traced.note(0, 0, 1, interface.LINK_DEMAND, 0.6)
        traced.request(10, 1)
        traced.play_started(20, 1, 1)
        for now in range(9000, 18_000, 3000):
            traced.note(now, 1, 1, interface.LINK_DEMAND, 0.2)
        traced.comment("hardly capacity for the lowest rung beyond the wide margin: taken there, not declined")
        traced.note(19_000, 1, 1, interface.LINK_DEMAND, 0.66)
        traced.request(19_010, 2)
        self.assert_trace("step_up", traced)

    def test_many_directors_do_not_rank_unreported_nodes_alike(self):
        traced = None
        for seed in (11, 12, 13, 14):
            one = TracedController(nodes=3, seed=seed, directors=100)
            one.lines, traced = traced.lines if traced else one.lines, one
            traced.comment(f"director {seed}, equal estimates of equal nodes after a minute without a note")
            traced.request(60_000, 1)
        self.assert_trace("ranking", traced)

    def test_plays_at_a_short_rack_step_down_once(self):
        traced = TracedController(nodes=4, racks=1, link_unit=1000.0, rack_kb=2000.0)
        for play in range(4):
            traced.note(play, 9, play + 1, interface.LINK_DEMAND, 0.0)
        for play in range(4):
            traced.request(10 + play, play)
            traced.play_started(110 + play, play, 4 - play)
        traced.comment("all nodes of the rack report the same shortage: the plays step down once, not once a node")
        for node in range(1, 5):
            traced.note(5000 + node, 4 - node, node, interface.DELIVERED, 0.8)
        traced.comment("notes with implausible values are ignored")
        traced.note(5100, 0, 1, interface.LINK_DEMAND, float("nan"))
        traced.note(5101, 0, 1, interface.DELIVERED, float("inf"))
        traced.note(5102, 0, 1, interface.LINK_DEMAND, 1e30)
        self.assert_trace("short_rack", traced)

    def test_a_stalled_node_fills_no_uplink(self):
        """On sockets a stalled node reported 8 times its link's rate, and its whole rack got no plays for 20 s."""
        for load in 0.5, 9.0:
            traced = TracedController(nodes=4, racks=2, rack_kb=24_000.0, streams=(200.0,))
            for _ in range(9):                           # nodes 1 and 3 share a rack
                traced.note(0, 0, 2, interface.LINK_DEMAND, 0.3)
            traced.note(0, 0, 1, interface.LINK_DEMAND, load)
            traced.controller.request_play(traced.start_ms, interface.PlayRequest(1, 0, 5, 2, 1, 2, None, 4000.0))
            verdict, = traced.controller.decide(traced.start_ms)[0]
            self.assertEqual((verdict.node, verdict.rung), (3, 2), load)

    def test_expected_plays_last_as_long_as_the_hints(self):
        """On sockets plays of 10 s were declined at a load of 0.8, since expected plays were priced as if each lasted 40 s."""
        traced = TracedController(nodes=1, products=({}, {"importance": 2.0}), racks=1, link_unit=4000.0, streams=(200.0,))
        for n in range(200):                             # important plays of 10 s take half of the link, and come as fast as they end
            traced.controller.request_play(traced.start_ms + 20 * n, interface.PlayRequest(n, 1, 5, 0, 4, 0, 10_000.0, 4000.0))
            traced.controller.decide(traced.start_ms + 20 * n)
            traced.controller.allocation_ended(traced.start_ms + 20 * n, n, 0, interface.CANCELLED, 1, True, ())
        self.assertAlmostEqual(traced.controller.prices.usual_length_ms, 10_000.0, delta=1500.0)
        hinted = traced.controller.prices.shadow_prices(traced.start_ms + 4000, traced.controller.fleet.nodes[1], 10_000.0)
        traced.controller.prices.usual_length_ms = 40_000.0
        self.assertLess(2 * hinted[1], traced.controller.prices.shadow_prices(traced.start_ms + 4000, traced.controller.fleet.nodes[1], 10_000.0)[1])

    def test_steps_up_wait_for_a_share_of_the_usual_length(self):
        traced = TracedController(nodes=1)
        play = Play(interface.PlayRequest(1, 0, 5, 0, 4, 2, None, 0.0), traced.controller.fleet.deployment, traced.start_ms)
        play.started_at = 0.0
        for length_ms, wait_ms in (40_000.0, 8000), (10_000.0, 2000):
            traced.controller.prices.usual_length_ms = length_ms
            self.assertEqual([traced.controller.rungs.may_step_up(traced.start_ms + wait_ms + late_ms, play) for late_ms in (-1, 0)], [False, True])

    def test_a_storm_of_retries_does_not_raise_prices(self):
        """In a rehearsal no node answered for five seconds; the viewers' immediate retries then counted as demand, and all plays were priced out for good."""
        traced = TracedController(nodes=2, products=({}, {"importance": 3.0}))

        def storm(start, is_retry):
            kept, traced.lines = traced.lines, []
            for turn in range(2_000):
                traced.request(start + turn * 5, 1_000 + start + turn, title=turn, highest_rung=0, wait_ms=1.0, is_retry=is_retry)
                traced.allocation_ended(start + turn * 5 + 1, 1_000 + start + turn, 1, interface.CANCELLED, over=True)
                traced.allocation_ended(start + turn * 5 + 1, 1_000 + start + turn, 2, interface.CANCELLED, over=True)
            traced.lines = kept
        traced.comment("two thousand retries within ten seconds, then a first attempt: it is taken")
        storm(0, True)
        traced.request(10_010, 1, 1)
        traced.request(10_011, 2, 0)
        traced.comment("as many first attempts are demand: the less important play is declined, capacity is reserved")
        storm(20_000, False)
        traced.request(30_010, 3, 1)
        traced.request(30_011, 4, 0)
        self.assert_trace("retry_storm", traced)

    def test_an_uplink_full_by_its_estimate_but_not_short_is_tried_with_more(self):
        traced = TracedController(nodes=2, racks=1, link_unit=2000.0, rack_kb=2000.0)
        traced.request(0, 1, highest_rung=0)
        traced.play_started(100, 1, 1)
        traced.comment("links report more load than the uplink carries, but nothing is short: declined at first")
        for node in (1, 2):
            traced.note(200 + node, 1, node, interface.LINK_DEMAND, 0.6)
        traced.controller.prices.demand[0].value = 0.0
        traced.request(300, 2)
        traced.comment("seconds without a report of shortage: the uplink carries more, and is tried with a little more")
        for now in range(1000, 9000, 500):
            traced.controller.wake(traced.start_ms + now)
        traced.controller.prices.demand[0].value = 0.0
        traced.request(9000, 3)
        self.assert_trace("uplink_trial", traced)


if __name__ == "__main__":
    unittest.main()

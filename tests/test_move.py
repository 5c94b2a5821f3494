"""The decision module: probes, reports between directors, shared streams, zones, and deployments switched while plays run."""
import math
import random
import unittest
from unittest import mock

from laddergw import interface, peer_messages
from laddergw.control import Controller, controller
from laddergw.control.fleet_state import Fleet
from laddergw.control.candidates import LOWEST_RUNG_OVERLOAD, Candidates
from laddergw import settings
from tests.helpers import TracedController, TraceTest, deployment

PROBES_ONLY = dict(streams=(60.0,), probes=True, told_by="probe", probe_price=0.01, directors=200)
LIVE_PRODUCTS = ({"live": True}, {"importance": 2.0})


class ProbeTest(TraceTest):
    def test_nodes_are_probed_before_a_play_is_placed(self):
        """Without load reports every node appeared to have room for the highest rung, and links were overbooked all day."""
        director = TracedController(nodes=3, **PROBES_ONLY)
        director.comment("the first candidate is probed; its report shows no free rate: the lowest rung, or another candidate")
        node = director.request(0, 1)[0].probe_nodes[0]
        director.probe_ended(20, node, report=(0.97,))
        director.comment("a probe without an answer, then one that fails: the play waits 200 ms at most and goes to another node")
        other = director.request(2_000, 2)[0].probe_nodes[0]
        director.wake(2_150)
        director.wake(2_200)
        director.probe_ended(2_250, other, interface.TIMED_OUT)
        director.comment("invalid reports are ignored, and nothing fails")
        for at, values in enumerate(((math.nan,), (math.inf,), (-1.0,), (), (1e30,))):
            director.probe_ended(3_000 + at, 1, report=values)
        director.probe_ended(3_010, 99, report=(0.5,))
        self.assert_trace("probes", director)

    def test_a_play_that_waits_is_answered_once(self):
        director = TracedController(nodes=1, **PROBES_ONLY)
        director.comment("its viewer leaves during the probe: no answer is due")
        director.request(0, 1)
        director.controller.viewer_left(director.start_ms + 10, 1)
        director.probe_ended(20, 1, report=(0.2,))
        director.comment("its limit is too close to wait for a probe: it is placed by what is known, and answered in time")
        director.request(5_000, 2, wait_ms=100.0)
        director.allocation_ended(5_100, 2, 1, interface.TIMED_OUT)
        self.assert_trace("waits", director)
        self.assertEqual((director.controller.plays, director.controller.candidates.waiting, director.controller.pending), ({}, {}, []))

    def test_no_play_waits_for_a_probe_past_its_limit(self):
        """A viewer that stopped waiting after 100 ms got its answer after 200 ms."""
        for wait in range(20, 1_000, 20):
            director = TracedController(nodes=1, **PROBES_ONLY)
            director.request(0, 1, wait_ms=float(wait))
            _, wake = director.controller.wake(director.start_ms)
            self.assertTrue(not director.controller.candidates.waiting or wake <= director.start_ms + wait / 2, wait)


class PeerReportTest(TraceTest):
    def test_load_and_uplink_shares_go_to_drawn_peers(self):
        director = TracedController(nodes=2, peers=True, peer_price=0.0078, **PROBES_ONLY)
        node = director.request(0, 1)[0].probe_nodes[0]
        director.probe_ended(20, node, report=(0.3,))
        director.comment("sent at the next review, never to itself, to as many peers as a share of a probe's price pays for")
        verdicts = director.wake(600)
        self.assertNotIn(0, verdicts[-1].notify_directors)
        director.comment("a peer's report counts like the director's own: no probe is needed; invalid entries are skipped")
        director.peer_report(5_000, [(1, 0.3), (2, 0.2), (99, 0.1), (1, math.nan), (2, -1.0), (2, math.inf)], [(0, 0.9), (77, 0.5), (1, 0.0), (1, math.nan)])
        director.request(5_010, 2)
        self.assert_trace("peers", director)
        self.assertNotIn(99, director.controller.fleet.nodes)

    def test_messages_are_packed_and_unpacked_and_malformed_ones_are_rejected(self):
        loads, shares = [(4_000_000_000, 0.5), (7, 2.55)], [(3, 0.9)]
        message, = peer_messages.pack(loads, shares)
        self.assertEqual(peer_messages.unpack(message), (loads, shares))
        many = peer_messages.pack([(n, 1.0) for n in range(120)], shares)
        self.assertTrue(all(len(m) <= peer_messages.MAX_MESSAGE_BYTES for m in many))
        self.assertEqual([n for m in many for n, _ in peer_messages.unpack(m)[0]], list(range(120)))
        for size in range(len(message)):
            if (size - 12) % 3 or size < 12:     # cut after a whole uplink entry it is a valid, shorter message
                with self.assertRaises(peer_messages.MalformedMessage):
                    peer_messages.unpack(message[:size])
        with self.assertRaises(peer_messages.MalformedMessage):
            peer_messages.unpack(b"\x09" + message[1:])


class SharedStreamTest(unittest.TestCase):
    def test_the_last_viewer_of_a_shared_stream_frees_its_rate(self):
        """Each further viewer of a live title's stream adds the share `join` of its rate; once all have left, the load estimate is as before."""
        director = TracedController(nodes=1, products=LIVE_PRODUCTS, join=0.3, cells=1, racks=1, streams=(60.0,))
        for play in 1, 2, 3:
            director.request(play, play, highest_rung=1)
            director.play_started(100 + play, play, 1)
        self.assertAlmostEqual(director.controller.fleet.nodes[1].own, 200 * 1.6)
        director.allocation_ended(200, 1, 1, interface.SERVED, over=True)
        self.assertAlmostEqual(director.controller.fleet.nodes[1].own, 200 * 1.3)
        for play in 2, 3:
            director.allocation_ended(200 + play, play, 1, interface.SERVED, over=True)
        self.assertAlmostEqual(director.controller.fleet.nodes[1].own, 0)
        self.assertEqual(director.controller.fleet.nodes[1].viewers, {})

    def test_directors_choose_the_same_node_for_a_live_title(self):
        """When each director drew its own order, viewers of one title hardly ever shared a stream."""
        chosen = {TracedController(nodes=4, products=LIVE_PRODUCTS, join=0.3, seed=seed, directors=200).request(0, 1, highest_rung=0)[0].node for seed in range(9)}
        self.assertEqual(len(chosen), 1)
        chosen = {TracedController(nodes=4, seed=seed, directors=200).request(0, 1, highest_rung=0)[0].node for seed in range(9)}
        self.assertGreater(len(chosen), 1)


class CachedFiguresTest(unittest.TestCase):
    def test_cached_figures_of_a_candidate_are_never_stale(self):
        """Free rate, ramp and unreported rate are computed once per point in time; every event at that time must invalidate them."""
        comparisons = []

        class CheckedCandidates(Candidates):
            def select_ready(self, now, play_state):
                super().select_ready(now, play_state)
                fleet = self.fleet
                for n in play_state.candidates:
                    recomputed = (fleet.free_rate(now, n), fleet.free_rate(now, n, -LOWEST_RUNG_OVERLOAD), now - n.ramp_start >= fleet.deployment.warm_ms or self.ramp_allows(now, n),
                             n.rate - n.known_kb.at(now))
                    comparisons.append((n.free_rate, n.free_rate_overloaded, n.within_ramp, n.unreported_rate) == recomputed)

        class FixedShareFleet(Fleet):
            others_share = property(lambda self: 0.4, lambda self, value: None)    # its changes would hide others
        director, random_source = TracedController(nodes=6, peers=True, peer_price=0.0078, **PROBES_ONLY), random.Random(5)
        with mock.patch.object(controller, "Candidates", CheckedCandidates), mock.patch.object(controller, "Fleet", FixedShareFleet):
            director.controller = Controller(director.controller.fleet.deployment, 7, 0.0)
        director.update_fleet(0, [director.entry(n) for n in range(1, 7)], True)
        deployments = [director.controller.fleet.deployment, director.controller.fleet.deployment._replace(fall_multiple=5.0, directors=9), director.controller.fleet.deployment._replace(racks=3)]
        for step in range(4_000):
            now, node, play = director.start_ms + step // 12 * 40.0, random_source.randrange(1, 7), random_source.randrange(step + 1)
            play_state = director.controller.plays.get(play)
            action = random_source.randrange(10)
            if action < 3:
                director.controller.request_play(now, interface.PlayRequest(step, 0, random_source.randrange(3), 0, 6, 2, None, 4000.0))
            elif action == 3 and play_state and play_state.pending_setup:
                outcome = random_source.choice((interface.FULL, interface.UNREACHABLE, interface.BROKEN, interface.TIMED_OUT))
                director.controller.allocation_ended(now, play, play_state.setup_count - 1, outcome, play_state.node.id, False, ())
            elif action == 4 and play_state and play_state.pending_setup:
                director.controller.play_started(now, play, play_state.setup_count - 1, 90.0, play_state.node.id)
            elif action == 5:
                director.controller.probe_ended(now, node, interface.SERVED, 5.0, (random_source.random(), random_source.random())[:random_source.randrange(1, 3)])
            elif action == 6:
                director.controller.receive_peer_report(now, 1, [(node, random_source.random())], [(0, random_source.random())])
            elif action == 7 and node > 4:
                director.controller.update_fleet(now, [director.entry(node, random_source.choice((interface.READY, interface.GONE)), now if random_source.random() < 0.3 else 0.0)], False)
            elif action == 8:
                director.controller.update_play(now, play, node, random_source.choice((interface.DELIVERED, interface.UPLINK_DEMAND)), 0.5 + random_source.random())
            elif random_source.random() < 0.1:
                director.controller.update_deployment(now, random_source.choice(deployments))
            director.controller.wake(now)
            director.controller.decide(now)
        self.assertGreater(len(comparisons), 1_000)
        self.assertEqual(comparisons.count(False), 0)


class ZoneTest(unittest.TestCase):
    def test_the_own_zone_is_preferred_and_crossing_zones_costs(self):
        director = TracedController(nodes=2, cross_price=0.05, zone=1)
        director.update_fleet(0, [director.entry(1, zone=0), director.entry(2, zone=1)])
        self.assertEqual(director.request(0, 1)[0].node, 2)
        director.update_fleet(10, [director.entry(2, state=interface.DRAINING, zone=1)])
        self.assertEqual(director.request(20, 2)[0].node, 1)


class DeploymentSwitchTest(unittest.TestCase):
    OLD, NEW = deployment(), deployment(({}, {"live": True, "importance": 2.0}), racks=3, cells=5, link_unit=5000.0, ladder=(150.0, 300.0),
                                        rung_worth=(0.4, 1.0), join=0.3, **PROBES_ONLY)

    def test_load_estimates_and_plays_survive_a_switch_and_back(self):
        director = TracedController(nodes=4)
        for play in range(6):
            director.play_started(play + 100, play, director.request(play, play)[0].node)
        before = [(rack.rate, rack.own) for rack in director.controller.fleet.racks]
        director.controller.update_deployment(director.start_ms + 200, self.NEW)
        self.assertAlmostEqual(sum(rack.own for rack in director.controller.fleet.racks), sum(n.own for n in director.controller.fleet.nodes.values()))
        self.assertAlmostEqual(sum(rack.rate for rack in director.controller.fleet.racks), 4 * 5000.0)
        director.request(210, 10, product=1)
        director.controller.update_deployment(director.start_ms + 220, self.OLD)     # while that play waits for its probe
        self.assertEqual([(rack.rate, rack.own) for rack in director.controller.fleet.racks], before)
        verdicts = director.wake(410)
        self.assertEqual([v.play for v in verdicts if v.node], [10])
        for play in range(6):     # by the deployment under which each was placed: nothing is left over
            director.allocation_ended(500 + play, play, director.controller.plays[play].node.id, interface.SERVED, over=True)
        director.allocation_ended(600, 10, verdicts[0].node, interface.SERVED, over=True)
        self.assertEqual([round(n.own, 6) for n in director.controller.fleet.nodes.values()], [0.0] * 4)
        self.assertEqual(director.controller.plays, {})

    def test_more_and_fewer_cells(self):
        """With a fleet list that named cells beyond the deployment's, a switch to more cells raised an exception and ended the director."""
        director = TracedController(nodes=6, cells=4)
        for cells in 9, 2, 6:
            director.controller.update_deployment(director.start_ms, deployment(cells=cells))
            self.assertEqual([sorted(cell) for cell in director.controller.fleet.cells],
                             [[n for n in range(1, 7) if (n - 1) % cells == cell] for cell in range(cells)])

    def test_shared_streams_survive_a_switch_and_back(self):
        """A viewer that had joined a shared stream left by the terms of a deployment without sharing."""
        shared = deployment(LIVE_PRODUCTS, join=0.3, cells=1, racks=1)
        for leaving in ((1, 2, 3, 4), (4, 3, 2, 1), (3, 1, 4, 2)):
            director = TracedController(nodes=1, products=LIVE_PRODUCTS, cells=1, racks=1, streams=(60.0,))
            for play in 1, 2, 3, 4:
                director.controller.update_deployment(director.start_ms, shared if play in (2, 3) else deployment(LIVE_PRODUCTS, cells=1, racks=1))
                director.request(play, play, highest_rung=1)
                director.play_started(100 + play, play, 1)
            for play in leaving:
                director.allocation_ended(200 + play, play, 1, interface.SERVED, over=True)
                left = [p.rung for p in director.controller.plays.values() if p.deployment.join == 1]
                self.assertGreaterEqual(director.controller.fleet.nodes[1].own + 1e-6, 200.0 * len(left))
            self.assertAlmostEqual(director.controller.fleet.nodes[1].own, 0)
            self.assertAlmostEqual(director.controller.fleet.own_rate, 0)


class SettingsTest(unittest.TestCase):
    BASE = {"Grades.count": "1", "Grades.0.Points": "1", "Grades.0.Repeat": "pure", "Specifics.LadderKb": "100,200", "Specifics.WorthByRung": "0.5,1",
            "Specifics.Positions": "2", "Specifics.LinkUnitKb": "100", "Specifics.RackKb": "300", "Specifics.KindSlots": "9", "Siblings": "4",
            "Permissions.MaxAttempts": "3"}

    def read(self, **values):
        return settings.decode(self.BASE | {k.replace("_", "."): v for k, v in values.items()})

    def test_missing_settings_take_defaults_and_invalid_ones_are_named(self):
        defaults = self.read()
        self.assertEqual((defaults.probes, defaults.told_by, defaults.peers, defaults.join, defaults.zone, defaults.products[0].live), (False, "answers", False, 1.0, 0, False))
        for key, value in (("Permissions.Probes", "maybe"), ("Reporting.How", "guess"), ("Specifics.Join", "1.5"), ("Specifics.Join", "nan"),
                           ("Prices.Probe", "-1"), ("Specifics.Live", "true,false"), ("MyZone", "x"), ("Permissions.Peers", "1"), ("Prices.Peer", "inf")):
            with self.assertRaisesRegex(settings.SettingError, key):
                self.read(**{key.replace(".", "_"): value})

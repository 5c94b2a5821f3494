"""What the move brought, without the bench: probes, mail, shared streams, zones, settings switched while plays are under way."""
import math
import random
import unittest
from unittest import mock

from laddergw import interface as face, peer_messages
from laddergw.control import Controller, controller
from laddergw.control.fleet_state import Fleet
from laddergw.control.candidates import LOWEST_RUNG_OVERLOAD, Candidates
from laddergw import settings
from tests.helpers import TracedController, TraceTest, deployment

BLIND = dict(streams=(60.0,), probes=True, told_by="probe", probe_price=0.01, directors=200)
LIVE = ({"live": True}, {"importance": 2.0})


class Probes(TraceTest):
    def test_load_is_asked_for_before_a_play_is_placed(self):
        """Seen: without notes every node showed room for a top rung, and links were asked over their size all day."""
        d = TracedController(nodes=3, **BLIND)
        d.comment("the first holder is asked; its report tells of no room: the lowest rung, or another holder")
        node = d.request(0, 1)[0].probe_nodes[0]
        d.probe_ended(20, node, report=(0.97,))
        d.comment("a probe that stays out, then one that fails: the play waits 200 ms at most and goes elsewhere")
        other = d.request(2_000, 2)[0].probe_nodes[0]
        d.wake(2_150)
        d.wake(2_200)
        d.probe_ended(2_250, other, face.TIMED_OUT)
        d.comment("reports that make no sense tell nothing, and stop nothing")
        for at, values in enumerate(((math.nan,), (math.inf,), (-1.0,), (), (1e30,))):
            d.probe_ended(3_000 + at, 1, report=values)
        d.probe_ended(3_010, 99, report=(0.5,))
        self.assert_trace("probes", d)

    def test_a_play_that_waits_is_answered_once(self):
        d = TracedController(nodes=1, **BLIND)
        d.comment("its viewer leaves while the probe is out: no answer is owed")
        d.request(0, 1)
        d.controller.viewer_left(d.start_ms + 10, 1)
        d.probe_ended(20, 1, report=(0.2,))
        d.comment("its limit is too near to wait for a probe: it is placed on what is known, and answered in time")
        d.request(5_000, 2, wait_ms=100.0)
        d.allocation_ended(5_100, 2, 1, face.TIMED_OUT)
        self.assert_trace("waits", d)
        self.assertEqual((d.controller.plays, d.controller.candidates.waiting, d.controller.pending), ({}, {}, []))

    def test_no_play_waits_for_a_probe_past_its_limit(self):
        """Reviewed: a viewer that stops waiting after 100 ms got its answer after 200."""
        for wait in range(20, 1_000, 20):
            d = TracedController(nodes=1, **BLIND)
            d.request(0, 1, wait_ms=float(wait))
            _, wake = d.controller.wake(d.start_ms)
            self.assertTrue(not d.controller.candidates.waiting or wake <= d.start_ms + wait / 2, wait)


class Peers(TraceTest):
    def test_reports_and_short_uplinks_go_to_drawn_peers(self):
        d = TracedController(nodes=2, peers=True, peer_price=0.0078, **BLIND)
        node = d.request(0, 1)[0].probe_nodes[0]
        d.probe_ended(20, node, report=(0.3,))
        d.comment("told at the next look, never to ourselves, to as many as a part of a probe's price pays for")
        told = d.wake(600)
        self.assertNotIn(0, told[-1].notify_directors)
        d.comment("a peer's word is taken as our own report is: no probe is needed; what makes no sense is passed over")
        d.peer_report(5_000, [(1, 0.3), (2, 0.2), (99, 0.1), (1, math.nan), (2, -1.0), (2, math.inf)], [(0, 0.9), (77, 0.5), (1, 0.0), (1, math.nan)])
        d.request(5_010, 2)
        self.assert_trace("peers", d)
        self.assertNotIn(99, d.controller.fleet.nodes)

    def test_messages_go_both_ways_and_broken_ones_are_refused(self):
        loads, shares = [(4_000_000_000, 0.5), (7, 2.55)], [(3, 0.9)]
        message, = peer_messages.pack(loads, shares)
        self.assertEqual(peer_messages.unpack(message), (loads, shares))
        many = peer_messages.pack([(n, 1.0) for n in range(120)], shares)
        self.assertTrue(all(len(m) <= peer_messages.MAX_MESSAGE_BYTES for m in many))
        self.assertEqual([n for m in many for n, _ in peer_messages.unpack(m)[0]], list(range(120)))
        for size in range(len(message)):
            if (size - 12) % 3 or size < 12:         # cut at a whole uplink line it is a shorter message
                with self.assertRaises(peer_messages.MalformedMessage):
                    peer_messages.unpack(message[:size])
        with self.assertRaises(peer_messages.MalformedMessage):
            peer_messages.unpack(b"\x09" + message[1:])


class Streams(unittest.TestCase):
    def test_the_last_to_leave_a_shared_stream_frees_the_rest(self):
        """Each further viewer of a live title's stream adds `join` of its rate; all gone, the account is where it was."""
        d = TracedController(nodes=1, products=LIVE, join=0.3, cells=1, racks=1, streams=(60.0,))
        for play in 1, 2, 3:
            d.request(play, play, highest_rung=1)
            d.play_started(100 + play, play, 1)
        self.assertAlmostEqual(d.controller.fleet.nodes[1].own, 200 * 1.6)
        d.allocation_ended(200, 1, 1, face.SERVED, over=True)
        self.assertAlmostEqual(d.controller.fleet.nodes[1].own, 200 * 1.3)
        for play in 2, 3:
            d.allocation_ended(200 + play, play, 1, face.SERVED, over=True)
        self.assertAlmostEqual(d.controller.fleet.nodes[1].own, 0)
        self.assertEqual(d.controller.fleet.nodes[1].viewers, {})

    def test_directors_meet_at_the_same_holder(self):
        """Spread by each director's own draw, viewers of one title shared hardly a stream."""
        chosen = {TracedController(nodes=4, products=LIVE, join=0.3, seed=seed, directors=200).request(0, 1, highest_rung=0)[0].node for seed in range(9)}
        self.assertEqual(len(chosen), 1)
        chosen = {TracedController(nodes=4, seed=seed, directors=200).request(0, 1, highest_rung=0)[0].node for seed in range(9)}
        self.assertGreater(len(chosen), 1)


class Moments(unittest.TestCase):
    def test_what_is_kept_of_a_holder_for_a_moment_is_never_stale(self):
        """Room, pace and doubt are worked out once a moment: whatever happens within it must make them new."""
        looked = []

        class Checked(Candidates):
            def select_ready(self, now, ply):
                super().select_ready(now, ply)
                fleet = self.fleet
                for n in ply.candidates:
                    fresh = (fleet.free_rate(now, n), fleet.free_rate(now, n, -LOWEST_RUNG_OVERLOAD), now - n.ramp_start >= fleet.deployment.warm_ms or self.ramp_allows(now, n),
                             n.rate - n.known_kb.at(now))
                    looked.append((n.free_rate, n.free_rate_overloaded, n.within_ramp, n.unreported_rate) == fresh)

        class Steady(Fleet):
            others_share = property(lambda self: 0.4, lambda self, value: None)    # a change of it would hide others
        d, chance = TracedController(nodes=6, peers=True, peer_price=0.0078, **BLIND), random.Random(5)
        with mock.patch.object(controller, "Candidates", Checked), mock.patch.object(controller, "Fleet", Steady):
            d.controller = Controller(d.controller.fleet.deployment, 7, 0.0)
        d.update_fleet(0, [d.entry(n) for n in range(1, 7)], True)
        shapes = [d.controller.fleet.deployment, d.controller.fleet.deployment._replace(fall_multiple=5.0, directors=9), d.controller.fleet.deployment._replace(racks=3)]
        for turn in range(4_000):
            now, node, play = d.start_ms + turn // 12 * 40.0, chance.randrange(1, 7), chance.randrange(turn + 1)
            ply = d.controller.plays.get(play)
            what = chance.randrange(10)
            if what < 3:
                d.controller.request_play(now, face.PlayRequest(turn, 0, chance.randrange(3), 0, 6, 2, None, 4000.0))
            elif what == 3 and ply and ply.pending_setup:
                how = chance.choice((face.FULL, face.UNREACHABLE, face.BROKEN, face.TIMED_OUT))
                d.controller.allocation_ended(now, play, ply.setup_count - 1, how, ply.node.id, False, ())
            elif what == 4 and ply and ply.pending_setup:
                d.controller.play_started(now, play, ply.setup_count - 1, 90.0, ply.node.id)
            elif what == 5:
                d.controller.probe_ended(now, node, face.SERVED, 5.0, (chance.random(), chance.random())[:chance.randrange(1, 3)])
            elif what == 6:
                d.controller.receive_peer_report(now, 1, [(node, chance.random())], [(0, chance.random())])
            elif what == 7 and node > 4:
                d.controller.update_fleet(now, [d.entry(node, chance.choice((face.READY, face.GONE)), now if chance.random() < 0.3 else 0.0)], False)
            elif what == 8:
                d.controller.update_play(now, play, node, chance.choice((face.DELIVERED, face.UPLINK_DEMAND)), 0.5 + chance.random())
            elif chance.random() < 0.1:
                d.controller.update_deployment(now, chance.choice(shapes))
            d.controller.wake(now)
            d.controller.decide(now)
        self.assertGreater(len(looked), 1_000)
        self.assertEqual(looked.count(False), 0)


class Zones(unittest.TestCase):
    def test_the_own_zone_comes_first_and_crossing_has_its_price(self):
        d = TracedController(nodes=2, cross_price=0.05, zone=1)
        d.update_fleet(0, [d.entry(1, zone=0), d.entry(2, zone=1)])
        self.assertEqual(d.request(0, 1)[0].node, 2)
        d.update_fleet(10, [d.entry(2, state=face.DRAINING, zone=1)])
        self.assertEqual(d.request(20, 2)[0].node, 1)


class Switch(unittest.TestCase):
    OLD, NEW = deployment(), deployment(({}, {"live": True, "importance": 2.0}), racks=3, cells=5, link_unit=5000.0, ladder=(150.0, 300.0),
                                        rung_worth=(0.4, 1.0), join=0.3, **BLIND)

    def test_accounts_and_plays_go_through_a_switch_and_back(self):
        d = TracedController(nodes=4)
        for play in range(6):
            d.play_started(play + 100, play, d.request(play, play)[0].node)
        before = [(rack.rate, rack.own) for rack in d.controller.fleet.racks]
        d.controller.update_deployment(d.start_ms + 200, self.NEW)
        self.assertAlmostEqual(sum(rack.own for rack in d.controller.fleet.racks), sum(n.own for n in d.controller.fleet.nodes.values()))
        self.assertAlmostEqual(sum(rack.rate for rack in d.controller.fleet.racks), 4 * 5000.0)
        d.request(210, 10, product=1)
        d.controller.update_deployment(d.start_ms + 220, self.OLD)           # while that play waits for its probe
        self.assertEqual([(rack.rate, rack.own) for rack in d.controller.fleet.racks], before)
        placed = d.wake(410)
        self.assertEqual([v.play for v in placed if v.node], [10])
        for play in range(6):                        # on the terms that they were taken on: nothing is left over
            d.allocation_ended(500 + play, play, d.controller.plays[play].node.id, face.SERVED, over=True)
        d.allocation_ended(600, 10, placed[0].node, face.SERVED, over=True)
        self.assertEqual([round(n.own, 6) for n in d.controller.fleet.nodes.values()], [0.0] * 4)
        self.assertEqual(d.controller.plays, {})

    def test_more_and_fewer_cells(self):
        """Drawn: a list that names cells past those of the deployment; a switch to more of them raised, and ended the director."""
        d = TracedController(nodes=6, cells=4)
        for cells in 9, 2, 6:
            d.controller.update_deployment(d.start_ms, deployment(cells=cells))
            self.assertEqual([sorted(cell) for cell in d.controller.fleet.cells],
                             [[n for n in range(1, 7) if (n - 1) % cells == cell] for cell in range(cells)])

    def test_shared_streams_go_through_a_switch_and_back(self):
        """Reviewed: a viewer that came while streams were shared left by terms under which nothing is."""
        shared = deployment(LIVE, join=0.3, cells=1, racks=1)
        for leaving in ((1, 2, 3, 4), (4, 3, 2, 1), (3, 1, 4, 2)):
            d = TracedController(nodes=1, products=LIVE, cells=1, racks=1, streams=(60.0,))
            for play in 1, 2, 3, 4:
                d.controller.update_deployment(d.start_ms, shared if play in (2, 3) else deployment(LIVE, cells=1, racks=1))
                d.request(play, play, highest_rung=1)
                d.play_started(100 + play, play, 1)
            for play in leaving:
                d.allocation_ended(200 + play, play, 1, face.SERVED, over=True)
                left = [p.rung for p in d.controller.plays.values() if p.deployment.join == 1]
                self.assertGreaterEqual(d.controller.fleet.nodes[1].own + 1e-6, 200.0 * len(left))
            self.assertAlmostEqual(d.controller.fleet.nodes[1].own, 0)
            self.assertAlmostEqual(d.controller.fleet.own_rate, 0)


class WireSettings(unittest.TestCase):
    BASE = {"Grades.count": "1", "Grades.0.Points": "1", "Grades.0.Repeat": "pure", "Specifics.LadderKb": "100,200", "Specifics.WorthByRung": "0.5,1",
            "Specifics.Positions": "2", "Specifics.LinkUnitKb": "100", "Specifics.RackKb": "300", "Specifics.KindSlots": "9", "Siblings": "4",
            "Permissions.MaxAttempts": "3"}

    def read(self, **values):
        return settings.decode(self.BASE | {k.replace("_", "."): v for k, v in values.items()})

    def test_what_is_missing_takes_its_default_and_nonsense_is_refused_by_key(self):
        usual = self.read()
        self.assertEqual((usual.probes, usual.told_by, usual.peers, usual.join, usual.zone, usual.products[0].live), (False, "answers", False, 1.0, 0, False))
        for key, value in (("Permissions.Probes", "maybe"), ("Reporting.How", "guess"), ("Specifics.Join", "1.5"), ("Specifics.Join", "nan"),
                           ("Prices.Probe", "-1"), ("Specifics.Live", "true,false"), ("MyZone", "x"), ("Permissions.Peers", "1"), ("Prices.Peer", "inf")):
            with self.assertRaisesRegex(settings.SettingError, key):
                self.read(**{key.replace(".", "_"): value})

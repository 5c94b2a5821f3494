"""The planner: merging of digests, hot titles, forecasts, plans and leases, frames, the model checker, and edges with planners in memory."""
import logging
import random
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.lab import audit, planner_outage
from laddergw.lab.deployment_model import build_deployment
from laddergw.lab.script import bad_day
from laddergw.planner import plan as plans, rules_check, wire
from laddergw.planner.digests import EDGE_SILENCE_MS, Digest, FleetView
from laddergw.planner.forecast import Forecast
from laddergw.planner.plan import LEASE_MS, FollowedPlan, Plan, SentDigests
from laddergw.planner.rules_check import Rules, check
from laddergw.planner.sketch import HotTitle, Sketch
from laddergw.planner.standby import LEADS, STANDS_BY, Standby
from laddergw.planner.trust import Trust

KEYS = (("k", b"a key of planners and edges"),)


def digest(edge="e", number=1, nodes=None, arrivals=None, drains=()):
    return Digest(edge, number, 0.0, nodes or {}, arrivals or {}, (), {}, drains)


def plan(epoch=1, version=1, planner="p", nodes=None, numbers=None, lease=LEASE_MS):
    return Plan(epoch, planner, version, lease, nodes or {}, numbers or {}, {}, (), ())


class DigestMergeTest(unittest.TestCase):
    DIGESTS = st.lists(st.builds(digest, st.sampled_from("abc"), st.integers(1, 6)), max_size=12)

    @settings(max_examples=120)
    @given(DIGESTS, st.randoms(use_true_random=False))
    def test_lost_duplicated_and_reordered_digests_give_the_same_view(self, drawn, chance):
        """A number stands for one digest of a process, so that order and duplicates do not change the view."""
        made = [one._replace(nodes={1: (100.0 * one.number, one.number), ord(one.edge): (5.0, 1)}, arrivals={"x": 3 * one.number}) for one in drawn]
        views = []
        for order in (made, chance.sample(made, len(made)) + made, list(reversed(made)) * 2):
            view = FleetView()
            for one in order:
                view.merge(one, 10.0)
            views.append((view.node_loads(20.0), view.digest_numbers(20.0), view.arrivals()))
        self.assertEqual(views[0], views[1])
        self.assertEqual(views[0], views[2])

    def test_a_silent_edge_has_no_load_and_its_arrivals_stay(self):
        view = FleetView()
        view.merge(digest("a", 1, {1: (100.0, 2)}, {"x": 5}, (9,)), 0.0)
        view.merge(digest("b", 1, {1: (50.0, 1)}, {"x": 2}), 4_000.0)
        self.assertEqual((view.node_loads(4_500.0), view.draining_nodes(4_500.0)), ({1: (150.0, 3)}, (9,)))
        self.assertEqual((view.node_loads(EDGE_SILENCE_MS + 1), view.digest_numbers(EDGE_SILENCE_MS + 1)), ({1: (50.0, 1)}, {"b": 1}))
        view.drop_silent(31_000.0, 30_000.0)
        self.assertEqual((list(view.edges), view.arrivals()), (["b"], {"x": 7}))

    def test_an_edge_with_a_wrong_clock(self):
        """An edge's times are never compared with the planner's: a digest of the year 9999 counts like any other."""
        view = FleetView()
        view.merge(digest("a", 1, {1: (10.0, 1)})._replace(at_ms=1e15), 0.0)
        view.merge(digest("a", 2, {1: (20.0, 1)})._replace(at_ms=-1e15), 1.0)
        self.assertEqual(view.node_loads(2.0), {1: (20.0, 1)})


class HotTitlesTest(unittest.TestCase):
    @settings(max_examples=60)
    @given(st.lists(st.integers(1, 40), max_size=400), st.integers(2, 12))
    def test_counts_are_bounds(self, titles, capacity):
        sketch = Sketch(capacity)
        for title in titles:
            sketch.add(title)
        top = sketch.top(capacity)
        for hot in top:
            self.assertTrue(hot.count - hot.error <= titles.count(hot.title) <= hot.count)
        for title in set(titles):                # a title with more than its share of the capacity is always kept
            if titles.count(title) > len(titles) / capacity:
                self.assertIn(title, [hot.title for hot in top])

    def test_merging_and_ageing(self):
        chance, one, other, exact = random.Random(2), Sketch(64), Sketch(64), {}
        for _ in range(20_000):
            title = int(500 ** chance.random())
            exact[title] = exact.get(title, 0) + 1
            chance.choice((one, other)).add(title)
        one.merge(other.top(64))
        ranked = sorted(exact, key=lambda title: -exact[title])[:10]
        self.assertEqual([hot.title for hot in one.top(10)], ranked)
        before = one.top(1)[0]
        one.age(0.5)
        self.assertEqual(one.top(1)[0].count, before.count / 2)
        one.add(9_999)
        self.assertIn(9_999, one.counts)

    def test_forecasts_follow_a_rise_and_a_fall(self):
        forecast, count = Forecast(), 0.0
        predicted = []
        for step in range(60):
            rate = 10 if step < 20 else 40 if step < 40 else 20
            count += rate
            forecast.observe(count, step * 1_000.0)
            predicted.append(forecast.predict(1_000.0).per_second)
        self.assertTrue(9 < predicted[19] < 11 and 36 < predicted[36] < 46 and 17 < predicted[59] < 23, predicted)
        forecast.observe(0.0, 61_000.0)                      # the view was rebuilt
        self.assertGreater(forecast.predict(1_000.0).per_second, 10)


class FollowedPlanTest(unittest.TestCase):
    def test_ranks_leases_and_forgeries(self):
        followed = FollowedPlan()
        self.assertTrue(followed.offer(plan(1, 5), 0.0))
        self.assertFalse(followed.offer(plan(1, 5), 1.0))               # replayed
        self.assertFalse(followed.offer(plan(1, 4), 1.0))               # late
        self.assertTrue(followed.offer(plan(2, 1), 2.0))                # a higher epoch, whatever its version
        self.assertFalse(followed.offer(plan(1, 99), 3.0))              # the previous planner, back after ten seconds
        self.assertTrue(followed.offer(plan(2, 1, "q"), 3.0))           # two planners of one epoch on two stores: one of them wins
        self.assertFalse(followed.offer(plan(2, 50, "p"), 3.0))
        self.assertIsNotNone(followed.current(3.0 + LEASE_MS - 1))
        self.assertIsNone(followed.current(3.0 + LEASE_MS))
        self.assertFalse(followed.offer(plan(2, 1, "q"), 9_000.0))      # the highest rank outlives the lease
        self.assertFalse(followed.offer(plan(10 ** 9, 1), 9_000.0))     # an epoch that no planner can have

    def test_sealed_plans(self):
        sealed = plans.seal(plan(3, 7, nodes={5: (100.0, 2)}), KEYS)
        self.assertEqual(plans.unseal(sealed, KEYS).nodes, {5: (100.0, 2)})
        for place in range(0, len(sealed), 3):
            forged = bytearray(sealed)
            forged[place] ^= 1
            with self.assertRaises(plans.PlanRejected):
                plans.unseal(bytes(forged), KEYS)
        for bad in (b"", b"\x93", sealed[:-1], plans.seal(plan(), (("x", b"another key altogether"),)), plans.seal(plan(nodes={1: (float("nan"), 1)}), KEYS),
                    plans.seal(plan(nodes={1: (-5.0, 1)}), KEYS), plans.seal(plan(lease=1e9), KEYS), plans.seal(plan(epoch=0), KEYS)):
            with self.assertRaises(plans.PlanRejected):
                plans.unseal(bad, KEYS)

    def test_load_of_other_edges(self):
        sent = SentDigests(capacity=2)
        for number in (1, 2, 3):
            sent.record(number, {1: (10.0 * number, 1)})
        made = plan(nodes={1: (100.0, 9), 2: (50.0, 4), 3: (5.0, 1)}, numbers={"me": 3, "other": 8})
        self.assertEqual(sent.load_of_others(made, "me", frozenset({3})), {1: 70.0, 2: 50.0})
        self.assertIsNone(sent.load_of_others(made._replace(numbers={"me": 1}), "me", frozenset()))
        self.assertEqual(sent.load_of_others(made._replace(numbers={}), "me", frozenset())[1], 100.0)

    def test_trust_is_lost_and_restored(self):
        trust = Trust()
        self.assertTrue(all(trust.compare(1_000.0, 1_100.0) for _ in range(10)))
        while trust.believed:
            trust.compare(1_000.0, 2_000.0)
        self.assertGreater(sum(trust.mismatches), 10)
        while not trust.believed:
            trust.compare(1_000.0, 950.0)
        self.assertEqual(trust.change_count, 2)
        for _ in range(100):
            trust.compare(10.0, 100.0)                   # too little load to be compared
        self.assertTrue(trust.believed)

    def test_a_standby_takes_over_and_is_fenced(self):
        one, other = Standby(1, 4, 0.0, True), Standby(2, 1, 0.0, False)
        other.plan_seen(4, 100.0)
        self.assertEqual(other.review(2_000.0).state, STANDS_BY)
        step = other.review(3_500.0)
        self.assertEqual((step.state, step.take), (LEADS, 5))
        other.epoch_taken(5)
        self.assertEqual((one.plan_seen(5, 3_600.0).state, one.review(3_700.0).state), (STANDS_BY, STANDS_BY))
        self.assertEqual(other.plan_seen(4, 3_700.0).state, LEADS)
        other.fenced(4_000.0)
        self.assertEqual(other.review(4_100.0).state, STANDS_BY)


class FramesTest(unittest.TestCase):
    FRAMES = (wire.Hello(1, "e", "edge", 3), wire.Again(4), wire.Credit(2), wire.Beat(1.5), wire.PlanFrame(b"x" * 70),
              wire.DigestFrame(2, 1, 5.0, {7: (1.5, 2)}, (9,), {"a": 1}, ((1, 2.0, 0.0),), {3: 1}, (4,), 6, 2.5, 7))

    @settings(max_examples=60)
    @given(st.lists(st.sampled_from(FRAMES), max_size=6), st.integers(1, 40))
    def test_frames_split_into_pieces(self, frames, size):
        data, unpacker, found = b"".join(map(wire.pack, frames)), wire.Unpacker(), []
        for start in range(0, len(data), size):
            found += unpacker.feed(data[start:start + size])
        self.assertEqual(found, frames)

    @settings(max_examples=120)
    @given(st.binary(max_size=60))
    def test_invalid_bytes_are_rejected_or_incomplete(self, data):
        try:
            wire.Unpacker().feed(data)
        except wire.MalformedFrame:
            pass
        with self.assertRaises(wire.MalformedFrame):
            wire.Unpacker().feed(len(data).to_bytes(4, "big") + data + b"\xff\xff\xff\xff")

    def test_deltas(self):
        one = digest("e", 1, {1: (5.0, 1), 2: (6.0, 1)})
        two = digest("e", 2, {1: (5.0, 1), 3: (7.0, 1)})
        frame = wire.to_frame(two, wire.DeltaBase(1, one.nodes))
        self.assertEqual((frame.nodes, frame.gone), ({3: (7.0, 1)}, (2,)))
        self.assertEqual(wire.to_digest("e", frame, one), two)
        self.assertIsNone(wire.to_digest("e", frame, None))
        self.assertIsNone(wire.to_digest("e", frame, two))
        with self.assertRaises(wire.MalformedFrame):
            wire.to_digest("e", wire.to_frame(digest("e", 1, {1: (-1.0, 1)}), None), None)


class ModelCheckTest(unittest.TestCase):
    """The rules of plans, leases and epochs, and mistakes in them that the check must find."""

    def test_no_violation_in_the_states_visited(self):
        outcome = check(max_states=4_000)
        self.assertEqual((outcome.states, outcome.violation), (4_000, None))

    def test_mistakes_are_found(self):
        def any_rank(self, plan, now):
            self.highest_rank, self.plan, self.received_ms = max(self.highest_rank, plan.rank), plan, now
            return True
        for rules, expected in ((Rules(offer=any_rank), "it had seen"), (Rules(current=lambda self, now: self.plan), "past its lease"), (Rules(fenced=False), "two planners plan under epoch")):
            outcome = check(rules)
            self.assertIn(expected, outcome.violation)
            self.assertTrue(1 < len(outcome.steps) < 8)
        self.assertEqual(rules_check.start().store, 1)


class EdgesAndPlannersTest(unittest.TestCase):
    """Edges and planners in memory."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def run_and_audit(self, stage, the_plant):
        judged = audit.audit(the_plant, stage.run())
        self.assertEqual((judged.without, judged.twice, judged.breaks), (0, 0, []))
        return judged

    def test_planners_killed_again_and_again(self):
        the_plant = build_deployment(5, directors=3, nodes=10, rate=12, seconds=10)
        stage = planner_outage.PlannerOutageStage(the_plant, bad_day(the_plant), planner_outage.TWO_PLANNERS, kills=8)
        self.run_and_audit(stage, the_plant)
        events = [what for _, what, _ in stage.events]
        self.assertTrue(events.count("recovered") >= 4 and events.count("plan") > 10, events)
        self.assertGreater(sum(side.plans_used for side in stage.planner_clients.values()), 20)
        epochs = [side.followed.highest_rank[0] for side in stage.planner_clients.values()]
        self.assertGreater(min(epochs), 2)

    def test_a_planner_that_reports_double_loads_is_not_trusted(self):
        the_plant = build_deployment(6, directors=2, nodes=8, rate=12, seconds=15)
        stage = planner_outage.PlannerOutageStage(the_plant, [], planner_outage.ONE_PLANNER, plan_override=planner_outage.double_loads)
        self.run_and_audit(stage, the_plant)
        self.assertTrue(all(side.trust.change_count % 2 == 1 and not side.trust.believed for side in stage.planner_clients.values()))
        honest = planner_outage.PlannerOutageStage(the_plant, [], planner_outage.ONE_PLANNER)
        self.run_and_audit(honest, the_plant)
        self.assertEqual([side.trust.change_count for side in honest.planner_clients.values()], [0, 0])

    def test_forged_plans_and_peers_that_send_invalid_frames(self):
        the_plant = build_deployment(7, directors=1, nodes=4, rate=4, seconds=4)
        stage = planner_outage.PlannerOutageStage(the_plant, [], planner_outage.ONE_PLANNER)
        seen = []

        def forge():
            side = stage.planner_clients[0]
            before = side.followed.highest_rank
            side.receive_plan(plans.seal(plan(99, 1, nodes={1_000: (1.0, 1)}), (("x", b"no key that it knows of"),)))
            side.receive_plan(b"\x93\xa1k\xc4\x00\xc4\x00")
            seen.append((side.followed.highest_rank == before, side.plans_rejected))
            host = stage.world.host("stranger")

            class Stranger:
                def opened(self, stream):
                    stream.write(b"\x00\x00\x00\x03abc")

                def data_received(self, stream, data):
                    pass

                def write_buffer_drained(self, stream):
                    pass

                def closed(self, stream, why):
                    seen.append("closed")
            host.dial(("p0", planner_outage.PORT), Stranger(), 500.0)
        stage.loop.call_later(6_000, forge)
        self.run_and_audit(stage, the_plant)
        self.assertEqual(seen, [(True, 2), "closed"])


class FleetViewTest(unittest.TestCase):
    def test_hot_titles_and_failures_of_edges_are_added(self):
        view = FleetView()
        view.merge(digest("a")._replace(hot=(HotTitle(1, 5.0, 0.0), HotTitle(2, 1.0, 0.0))), 0.0)
        view.merge(digest("b")._replace(hot=(HotTitle(2, 6.0, 1.0),), failures={4: 2}), 0.0)
        self.assertEqual([(hot.title, hot.count, hot.error) for hot in view.hot(1.0, 5)], [(2, 7.0, 1.0), (1, 5.0, 0.0)])
        self.assertEqual(view.failures(1.0), {4: 2})


if __name__ == "__main__":
    unittest.main()

"""The controller under any legal order of calls: it raises nothing and keeps the rules that its verdicts show."""
import math
import unittest

from hypothesis import given, settings, strategies as st

from laddergw import interface
from laddergw.control import Controller
from tests.helpers import deployment

PRODUCTS = ({}, {"repeat": "paid", "floor": 1}, {"repeat": "keyed", "group": "cell"}, {"seats": 2})
OUTCOMES = (interface.SERVED, interface.ERROR, interface.FULL, interface.TIMED_OUT, interface.UNREACHABLE, interface.BROKEN, interface.CANCELLED, interface.NEVER_SENT)
NEVER_RAN = (interface.FULL, interface.UNREACHABLE, interface.NEVER_SENT)
STEP = st.tuples(st.sampled_from(("request", "request", "request", "start", "start", "end", "end", "note", "viewer left", "list change", "whole list", "wake")),
                 st.integers(0, 30), st.integers(0, 30), st.floats(0, 900))
WEIGHTS = (1.0, 1.0, 0.0, 2.5, 1e-9)


class Host:
    """Calls the controller as a host may, and checks each verdict against what it called."""

    def __init__(self, case, directors, seed):
        self.case, self.now = case, 0.0
        self.deployment = deployment(products=PRODUCTS, directors=directors, budget_free=2.0, budget_share=0.5, budget_ms=5_000.0, cold_from=0.0)
        self.controller = Controller(self.deployment, seed, 0.0)
        self.plays, self.pending, self.playing, self.node_states, self.setup_numbers, self.may_have_run = {}, {}, {}, {}, {}, set()
        self.last_id, self.left = 0, set()

    def check(self, result):
        """Checks the verdicts of a call and notes the set-ups and answers among them."""
        verdicts, wake_at = result
        self.case.assertFalse(math.isnan(wake_at))
        for verdict in verdicts:
            product = self.deployment.products[self.plays[verdict.play].product]
            if verdict.node is not None:
                self.case.assertEqual(self.node_states.get(verdict.node), interface.READY)
                self.case.assertNotIn(verdict.play, self.pending)
                self.case.assertNotIn(verdict.play, self.playing)
                self.case.assertNotIn(verdict.play, self.left)
                self.case.assertTrue(product.floor <= verdict.rung <= product.top and verdict.timeout_ms > 0)
                self.case.assertFalse(product.repeat == "paid" and verdict.play in self.may_have_run)
                self.pending[verdict.play] = verdict.node
                self.setup_numbers[verdict.play] = self.setup_numbers.get(verdict.play, -1) + 1
                self.case.assertLess(self.setup_numbers[verdict.play], self.deployment.max_allocations)
            elif verdict.answer is not None:
                self.case.assertNotIn(verdict.play, self.pending)
                self.case.assertFalse(verdict.answer == interface.DECLINED and product.repeat == "paid" and verdict.play in self.may_have_run)
                del self.plays[verdict.play]
            else:
                self.case.assertTrue(product.floor <= verdict.rung <= product.top)

    def step(self, what, one, two, later):
        """Makes one call `later` ms on; the drawn numbers `one` and `two` choose its arguments."""
        self.now += later
        now, controller = self.now, self.controller
        if what == "request":
            self.last_id += 1
            product = one % len(PRODUCTS)
            request = interface.PlayRequest(self.last_id, product, two % 3, one % 4, 1 + two % 4, 2 - one % 2, None if two % 2 else 9_000.0, 50.0 + 200 * two)
            self.plays[self.last_id] = request
            self.check(controller.request_play(now, request))
        elif what == "start" and self.pending:
            play = sorted(self.pending)[one % len(self.pending)]
            self.playing[play] = self.pending.pop(play)
            self.check(controller.play_started(now, play, self.setup_numbers[play], 80.0, self.playing[play]))
        elif what == "end" and (self.pending or self.playing):
            held = self.pending if self.pending and (two % 2 or not self.playing) else self.playing
            play = sorted(held)[one % len(held)]
            outcome, node, over = OUTCOMES[two % len(OUTCOMES)], held.pop(play), held is self.playing or play in self.left
            if outcome not in NEVER_RAN:
                self.may_have_run.add(play)
            self.check(controller.allocation_ended(now, play, self.setup_numbers[play], outcome, node, over, (0.1 * one,) if one % 2 else ()))
            if over:
                self.plays.pop(play, None)
        elif what == "viewer left" and self.plays:
            play = sorted(self.plays)[one % len(self.plays)]
            self.left.add(play)
            self.check(controller.viewer_left(now, play))
        elif what == "note":
            kind = (interface.DELIVERED, interface.LINK_DEMAND, interface.UPLINK_DEMAND)[two % 3]
            value = (math.nan, math.inf, -1.0, 0.0)[one % 4] if one > 26 else one / 13
            self.check(controller.update_play(now, max(self.playing, default=0), 1 + one % 6, kind, value))
        elif what in ("list change", "whole list"):
            entries = [interface.NodeEntry(1 + (one + i) % 6, (one + i) % 6 % 4, WEIGHTS[(two + i) % 5],
                                           (interface.READY, interface.READY, interface.DRAINING, interface.GONE)[(one + two + i) % 4],
                                           now if (two + i) % 3 == 0 else 0.0, 0, 0) for i in range(1 if what == "list change" else 6)]
            if what == "whole list":
                self.node_states.clear()
            for entry in entries:
                self.node_states[entry.node] = entry.state
            self.check(controller.update_fleet(now, entries, what == "whole list"))
        elif what == "wake":
            self.check(controller.wake(now))
        self.check(controller.decide(now))


class AnyOrder(unittest.TestCase):
    @settings(max_examples=250, deadline=None)
    @given(st.sampled_from((1, 4, 40)), st.integers(0, 99), st.lists(STEP, min_size=5, max_size=80))
    def test_any_legal_order_of_calls(self, directors, seed, steps):
        host = Host(self, directors, seed)
        host.step("whole list", 0, 0, 1.0)
        for step in steps:
            host.step(*step)


if __name__ == "__main__":
    unittest.main()

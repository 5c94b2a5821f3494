"""The module under any legal order of calls: it raises nothing and keeps the rules that can be seen from its verdicts."""
import math
import unittest

from hypothesis import given, settings, strategies as st

from laddergw import interface as face
from laddergw.control import Controller
from tests.helpers import deployment

PRODUCTS = ({}, {"repeat": "paid", "floor": 1}, {"repeat": "keyed", "group": "cell"}, {"seats": 2})
OUTCOMES = (face.SERVED, face.ERROR, face.FULL, face.TIMED_OUT, face.UNREACHABLE, face.BROKEN, face.CANCELLED, face.NEVER_SENT)
NEVER_RAN = (face.FULL, face.UNREACHABLE, face.NEVER_SENT)
STEP = st.tuples(st.sampled_from(("ask", "ask", "ask", "plays", "plays", "ends", "ends", "note", "left", "line", "whole", "wake")),
                 st.integers(0, 30), st.integers(0, 30), st.floats(0, 900))
WEIGHTS = (1.0, 1.0, 0.0, 2.5, 1e-9)


class Host:
    """Calls the module as a host may, and checks each verdict against what it called."""

    def __init__(self, case, directors, seed):
        self.case, self.now = case, 0.0
        self.d = deployment(products=PRODUCTS, directors=directors, budget_free=2.0, budget_share=0.5, budget_ms=5_000.0, cold_from=0.0)
        self.c = Controller(self.d, seed, 0.0)
        self.plays, self.out, self.playing, self.state, self.sends, self.ran = {}, {}, {}, {}, {}, set()
        self.ids, self.gone = 0, set()

    def take(self, result):
        verdicts, wake = result
        self.case.assertFalse(math.isnan(wake))
        for v in verdicts:
            row = self.d.products[self.plays[v.play].product]
            if v.node is not None:
                self.case.assertEqual(self.state.get(v.node), face.READY)
                self.case.assertNotIn(v.play, self.out)
                self.case.assertNotIn(v.play, self.playing)
                self.case.assertNotIn(v.play, self.gone)
                self.case.assertTrue(row.floor <= v.rung <= row.top and v.timeout_ms > 0)
                self.case.assertFalse(row.repeat == "paid" and v.play in self.ran)
                self.out[v.play] = v.node
                self.sends[v.play] = self.sends.get(v.play, -1) + 1
                self.case.assertLess(self.sends[v.play], self.d.max_allocations)
            elif v.answer is not None:
                self.case.assertNotIn(v.play, self.out)
                self.case.assertFalse(v.answer == face.DECLINED and row.repeat == "paid" and v.play in self.ran)
                del self.plays[v.play]
            else:
                self.case.assertTrue(row.floor <= v.rung <= row.top)

    def step(self, what, one, two, later):
        self.now += later
        now, c = self.now, self.c
        if what == "ask":
            self.ids += 1
            product = one % len(PRODUCTS)
            ask = face.PlayRequest(self.ids, product, two % 3, one % 4, 1 + two % 4, 2 - one % 2, None if two % 2 else 9_000.0, 50.0 + 200 * two)
            self.plays[self.ids] = ask
            self.take(c.request_play(now, ask))
        elif what == "plays" and self.out:
            play = sorted(self.out)[one % len(self.out)]
            self.playing[play] = self.out.pop(play)
            self.take(c.play_started(now, play, self.sends[play], 80.0, self.playing[play]))
        elif what == "ends" and (self.out or self.playing):
            held = self.out if self.out and (two % 2 or not self.playing) else self.playing
            play = sorted(held)[one % len(held)]
            outcome, node, over = OUTCOMES[two % len(OUTCOMES)], held.pop(play), held is self.playing or play in self.gone
            if outcome not in NEVER_RAN:
                self.ran.add(play)
            self.take(c.allocation_ended(now, play, self.sends[play], outcome, node, over, (0.1 * one,) if one % 2 else ()))
            if over:
                self.plays.pop(play, None)
        elif what == "left" and self.plays:
            play = sorted(self.plays)[one % len(self.plays)]
            self.gone.add(play)
            self.take(c.viewer_left(now, play))
        elif what == "note":
            kind = (face.DELIVERED, face.LINK_DEMAND, face.UPLINK_DEMAND)[two % 3]
            value = (math.nan, math.inf, -1.0, 0.0)[one % 4] if one > 26 else one / 13
            self.take(c.update_play(now, max(self.playing, default=0), 1 + one % 6, kind, value))
        elif what in ("line", "whole"):
            lines = [face.NodeEntry(1 + (one + i) % 6, (one + i) % 6 % 4, WEIGHTS[(two + i) % 5],
                                   (face.READY, face.READY, face.DRAINING, face.GONE)[(one + two + i) % 4],
                                   now if (two + i) % 3 == 0 else 0.0, 0, 0) for i in range(1 if what == "line" else 6)]
            if what == "whole":
                self.state.clear()
            for line in lines:
                self.state[line.node] = line.state
            self.take(c.update_fleet(now, lines, what == "whole"))
        elif what == "wake":
            self.take(c.wake(now))
        self.take(c.decide(now))


class AnyOrder(unittest.TestCase):
    @settings(max_examples=250, deadline=None)
    @given(st.sampled_from((1, 4, 40)), st.integers(0, 99), st.lists(STEP, min_size=5, max_size=80))
    def test_any_legal_order_of_calls(self, directors, seed, steps):
        host = Host(self, directors, seed)
        host.step("whole", 0, 0, 1.0)
        for step in steps:
            host.step(*step)


if __name__ == "__main__":
    unittest.main()

"""Retries: the conditions of a decision still hold when its set-up is sent. Real sockets; each test forces the bad order of events."""
import json
import unittest

from laddergw.signalling import binary
from tests.platform_cluster import BASE_SETTINGS, answer, release, set_up
from tests.socket_harness import SocketHarness

WINDOW_MS, BUDGET_SHARE, PLAYS = 1_000.0, 0.1, 20


class RetryTests(unittest.TestCase):
    """Retries at another node."""

    def delay_connections(self, town, up_at):
        """Reports connections to node b as up only from a time on."""
        select, port = town.loop.selector.select, town.nodes["b"].port

        def hide(wait):
            return [(key, mask) for key, mask in select(wait)
                    if getattr(key.data, "peer", None) != ("127.0.0.1", port) or key.data.open or town.loop.clock() >= up_at]
        town.loop.selector.select = hide

    def test_the_retry_budget_is_that_of_the_time_of_sending(self):
        """A short window: 20 plays accepted at its start earn two retries. One that is decided at its end, on a connection that comes up
        late, would be sent when those plays are out of the window."""
        now = [10_000.0]
        settings = json.loads(json.dumps(BASE_SETTINGS)) | {"Rules": {"FreeResends": 0, "ExtraRatio": BUDGET_SHARE, "CountedOver": int(WINDOW_MS * 1000)}}
        town = SocketHarness(self, nodes=("a", "b"), now=lambda: now[0], settings=settings)
        viewer, accepted_at, sent_at = town.viewer(), [], []
        town.director.controller.fleet.nodes[2].backoff_until = 1e12              # all plays go to a at first
        for n in range(1, PLAYS + 1):
            viewer.write(set_up(n))
            line, message = town.wait_for_set_up("a")
            line.write(answer(message.session))
            town.run_until(viewer.receive)
            line.write(release(n, 16))
            town.run_until(lambda: not town.director.running_plays)
            accepted_at.append(now[0])
        now[0] += WINDOW_MS - 30.0
        town.turns(3)
        viewer.write(set_up(50))
        line, message = town.wait_for_set_up("a")
        accepted_at.append(now[0])
        town.director.controller.fleet.nodes[2].backoff_until = 0.0
        self.delay_connections(town, now[0] + 200.0)
        line.write(answer(message.session, 453, b""))
        for _ in range(40):
            now[0] += 10.0
            town.turns(2)
            sent_at += [now[0] for _, m in town.nodes["b"].receive() if m.method == "SETUP"]
        for at in sent_at:
            earned_retries = BUDGET_SHARE * sum(at - WINDOW_MS <= when <= at for when in accepted_at)
            self.assertLessEqual(1, earned_retries, f"a retry was sent at {at}, the plays of its window earn {earned_retries:.1f}")
        self.assertEqual(viewer.receive()[-1].parameters[binary.CAUSE][0], 42)

    def test_a_retry_early_in_its_window_is_sent(self):
        """The same, decided early in the window: it is sent, though its connection comes up late."""
        now = [10_000.0]
        settings = json.loads(json.dumps(BASE_SETTINGS)) | {"Rules": {"FreeResends": 1, "ExtraRatio": BUDGET_SHARE, "CountedOver": int(WINDOW_MS * 1000)}}
        town = SocketHarness(self, nodes=("a", "b"), now=lambda: now[0], settings=settings)
        viewer = town.viewer()
        town.director.controller.fleet.nodes[2].backoff_until = 1e12
        viewer.write(set_up(1))
        line, message = town.wait_for_set_up("a")
        town.director.controller.fleet.nodes[2].backoff_until = 0.0
        self.delay_connections(town, now[0] + 200.0)
        line.write(answer(message.session, 453, b""))
        for _ in range(40):
            now[0] += 10.0
            town.turns(2)
        self.assertEqual([m.session for _, m in town.nodes["b"].receive() if m.method == "SETUP"], [f"{1:016x}"])

    def test_a_paid_play_is_not_retried_whatever_was_seen(self):
        """The node closes an idle connection as we write on it, resets it behind the set-up, or answers with bytes that are no message."""
        for name, act in {"closes": lambda line: line.close(), "resets": lambda line: line.reset(),
                          "spoils": lambda line: line.write(b"\xff\xff\xff")}.items():
            with self.subTest(name):
                town = SocketHarness(self, nodes=("a", "b"))
                town.director.controller.fleet.nodes[2].backoff_until = 1e12
                _, line = town.idle_connection()
                viewer = town.viewer()
                town.director_stream(viewer)
                town.director.controller.fleet.nodes[2].backoff_until = 0.0
                town.director.controller.fleet.nodes[1].free_rate = 0.0
                allocate = town.director.allocator.allocate
                acts = [act]
                town.director.allocator.allocate = lambda *what: (acts and acts.pop()(line), allocate(*what))   # between two statements
                viewer.write(set_up(2, product="paid"))
                town.run_until(lambda: town.director.counts["failed"] or town.nodes["b"].connections or town.nodes["b"].accept())
                town.turns()
                # It was sent at most once: what our own kernel refused was not sent
                left = town.director.counts["set-up: broken"] + town.director.counts["set-up: error"]
                self.assertEqual(left + sum(m.method == "SETUP" for _, m in town.nodes["b"].receive()), 1)

    def test_a_connection_about_to_be_closed_as_idle_is_not_used(self):
        """The node closes idle connections after a stated time, and does so as a paid set-up is written: the play would fail."""
        settings = json.loads(json.dumps(BASE_SETTINGS))
        settings["Permissions"]["ConnIdle"] = 10_000_000
        for idle_ms, fresh in (9_000.0, False), (9_900.0, True):
            with self.subTest(idle_ms):
                now = [10_000.0]
                town = SocketHarness(self, now=lambda: now[0], settings=settings)
                _, old = town.idle_connection()
                now[0] += idle_ms
                town.turns(3)
                viewer = town.viewer()
                town.director_stream(viewer)
                allocate = town.director.allocator.allocate
                if fresh:
                    town.director.allocator.allocate = lambda *what: (old.close(), allocate(*what))
                viewer.write(set_up(2, product="paid"))
                line, message = town.wait_for_set_up("a")
                self.assertEqual(line is old, not fresh)
                line.write(answer(message.session))
                self.assertEqual([m.kind for m in town.run_until(viewer.receive)], [binary.ANSWER])

    def test_nothing_is_sent_on_a_connection_that_came_up_too_late(self):
        """The connection comes up after its time-out: the set-up went elsewhere, and nothing is sent on the first connection."""
        now = [10_000.0]
        town = SocketHarness(self, nodes=("a", "b"), now=lambda: now[0])
        viewer = town.viewer()
        town.director.controller.fleet.nodes[1].backoff_until = 1e12              # b first
        self.delay_connections(town, now[0] + 1_000.0)
        viewer.write(set_up(1, product="paid"))
        town.run_until(lambda: town.director.nodes.connections())
        town.director.controller.fleet.nodes[1].backoff_until = 0.0
        for _ in range(120):
            now[0] += 10.0
            town.turns(2)
        self.assertEqual([m.session for _, m in town.nodes["a"].receive() if m.method == "SETUP"], [f"{1:016x}"])
        self.assertEqual([m.method for _, m in town.nodes["b"].receive()], [])


if __name__ == "__main__":
    unittest.main()

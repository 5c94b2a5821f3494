"""Retries: the conditions of a decision still hold when its set-up is sent. Real sockets; each test forces the bad order of events."""
import json
import unittest

from laddergw.signalling import binary
from tests.platform_cluster import BASE_SETTINGS, answer, release, set_up
from tests.socket_harness import SocketHarness

WINDOW_MS, BUDGET_SHARE, PLAYS = 1_000.0, 0.1, 20


class RetryTests(unittest.TestCase):
    """Retries at another node."""

    def delay_connections(self, harness, up_at):
        """Reports connections to node b as up only from a time on."""
        select, port = harness.loop.selector.select, harness.nodes["b"].port

        def hide(wait):
            return [(key, mask) for key, mask in select(wait)
                    if getattr(key.data, "peer", None) != ("127.0.0.1", port) or key.data.open or harness.loop.clock() >= up_at]
        harness.loop.selector.select = hide

    def test_the_retry_budget_is_that_of_the_time_of_sending(self):
        """A short window: 20 plays accepted at its start earn two retries. One that is decided at its end, on a connection that comes up
        late, would be sent when those plays are out of the window."""
        now = [10_000.0]
        settings = json.loads(json.dumps(BASE_SETTINGS)) | {"Rules": {"FreeResends": 0, "ExtraRatio": BUDGET_SHARE, "CountedOver": int(WINDOW_MS * 1000)}}
        harness = SocketHarness(self, nodes=("a", "b"), now=lambda: now[0], settings=settings)
        viewer, accepted_at, sent_at = harness.viewer(), [], []
        harness.director.controller.fleet.nodes[2].backoff_until = 1e12              # all plays go to a at first
        for n in range(1, PLAYS + 1):
            viewer.write(set_up(n))
            connection, message = harness.wait_for_set_up("a")
            connection.write(answer(message.session))
            harness.run_until(viewer.receive)
            connection.write(release(n, 16))
            harness.run_until(lambda: not harness.director.running_plays)
            accepted_at.append(now[0])
        now[0] += WINDOW_MS - 30.0
        harness.turns(3)
        viewer.write(set_up(50))
        connection, message = harness.wait_for_set_up("a")
        accepted_at.append(now[0])
        harness.director.controller.fleet.nodes[2].backoff_until = 0.0
        self.delay_connections(harness, now[0] + 200.0)
        connection.write(answer(message.session, 453, b""))
        for _ in range(40):
            now[0] += 10.0
            harness.turns(2)
            sent_at += [now[0] for _, m in harness.nodes["b"].receive() if m.method == "SETUP"]
        for at in sent_at:
            earned_retries = BUDGET_SHARE * sum(at - WINDOW_MS <= when <= at for when in accepted_at)
            self.assertLessEqual(1, earned_retries, f"a retry was sent at {at}, the plays of its window earn {earned_retries:.1f}")
        self.assertEqual(viewer.receive()[-1].parameters[binary.CAUSE][0], 42)

    def test_a_retry_early_in_its_window_is_sent(self):
        """The same, decided early in the window: it is sent, though its connection comes up late."""
        now = [10_000.0]
        settings = json.loads(json.dumps(BASE_SETTINGS)) | {"Rules": {"FreeResends": 1, "ExtraRatio": BUDGET_SHARE, "CountedOver": int(WINDOW_MS * 1000)}}
        harness = SocketHarness(self, nodes=("a", "b"), now=lambda: now[0], settings=settings)
        viewer = harness.viewer()
        harness.director.controller.fleet.nodes[2].backoff_until = 1e12
        viewer.write(set_up(1))
        connection, message = harness.wait_for_set_up("a")
        harness.director.controller.fleet.nodes[2].backoff_until = 0.0
        self.delay_connections(harness, now[0] + 200.0)
        connection.write(answer(message.session, 453, b""))
        for _ in range(40):
            now[0] += 10.0
            harness.turns(2)
        self.assertEqual([m.session for _, m in harness.nodes["b"].receive() if m.method == "SETUP"], [f"{1:016x}"])

    def test_a_paid_play_is_not_retried_whatever_was_seen(self):
        """The node closes an idle connection as we write on it, resets it behind the set-up, or answers with bytes that are not a message."""
        for name, act in {"closes": lambda connection: connection.close(), "resets": lambda connection: connection.reset(),
                          "spoils": lambda connection: connection.write(b"\xff\xff\xff")}.items():
            with self.subTest(name):
                harness = SocketHarness(self, nodes=("a", "b"))
                harness.director.controller.fleet.nodes[2].backoff_until = 1e12
                _, connection = harness.idle_connection()
                viewer = harness.viewer()
                harness.director_stream(viewer)
                harness.director.controller.fleet.nodes[2].backoff_until = 0.0
                harness.director.controller.fleet.nodes[1].free_rate = 0.0
                allocate = harness.director.allocator.allocate
                acts = [act]
                harness.director.allocator.allocate = lambda *what: (acts and acts.pop()(connection), allocate(*what))   # between two statements
                viewer.write(set_up(2, product="paid"))
                harness.run_until(lambda: harness.director.counts["failed"] or harness.nodes["b"].connections or harness.nodes["b"].accept())
                harness.turns()
                # It was sent at most once: what our own kernel refused was not sent
                left = harness.director.counts["set-up: broken"] + harness.director.counts["set-up: error"]
                self.assertEqual(left + sum(m.method == "SETUP" for _, m in harness.nodes["b"].receive()), 1)

    def test_a_connection_about_to_be_closed_as_idle_is_not_used(self):
        """The node closes idle connections after a stated time, and does so as a paid set-up is written: the play would fail."""
        settings = json.loads(json.dumps(BASE_SETTINGS))
        settings["Permissions"]["ConnIdle"] = 10_000_000
        for idle_ms, opens_new in (9_000.0, False), (9_900.0, True):
            with self.subTest(idle_ms):
                now = [10_000.0]
                harness = SocketHarness(self, now=lambda: now[0], settings=settings)
                _, old = harness.idle_connection()
                now[0] += idle_ms
                harness.turns(3)
                viewer = harness.viewer()
                harness.director_stream(viewer)
                allocate = harness.director.allocator.allocate
                if opens_new:
                    harness.director.allocator.allocate = lambda *what: (old.close(), allocate(*what))
                viewer.write(set_up(2, product="paid"))
                connection, message = harness.wait_for_set_up("a")
                self.assertEqual(connection is old, not opens_new)
                connection.write(answer(message.session))
                self.assertEqual([m.kind for m in harness.run_until(viewer.receive)], [binary.ANSWER])

    def test_nothing_is_sent_on_a_connection_that_came_up_too_late(self):
        """The connection comes up after its time-out: the set-up went elsewhere, and nothing is sent on the first connection."""
        now = [10_000.0]
        harness = SocketHarness(self, nodes=("a", "b"), now=lambda: now[0])
        viewer = harness.viewer()
        harness.director.controller.fleet.nodes[1].backoff_until = 1e12              # b first
        self.delay_connections(harness, now[0] + 1_000.0)
        viewer.write(set_up(1, product="paid"))
        harness.run_until(lambda: harness.director.nodes.connections())
        harness.director.controller.fleet.nodes[1].backoff_until = 0.0
        for _ in range(120):
            now[0] += 10.0
            harness.turns(2)
        self.assertEqual([m.session for _, m in harness.nodes["a"].receive() if m.method == "SETUP"], [f"{1:016x}"])
        self.assertEqual([m.method for _, m in harness.nodes["b"].receive()], [])


if __name__ == "__main__":
    unittest.main()

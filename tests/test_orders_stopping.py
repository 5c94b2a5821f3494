"""The end of a director and of its connections: what was received is answered, what was sent arrives. Real sockets; each test forces the bad order of events."""
import socket
import unittest

from laddergw.platform.director import ACKNOWLEDGE_WAIT_MS, CLOSE_WAIT_MS, MIN_STOP_MS
from laddergw.signalling import binary
from tests.platform_cluster import answer, set_up
from tests.socket_harness import SocketHarness

PING = binary.encode(binary.PING, "0" * 16, (222, b"\0"))
DECLINED, BROKEN = 42, 41  # causes
STALL_MS = 800.0
KILL_MS = 3_000.0 + 700.0  # earliest SIGKILL after SIGTERM: the longest time limit of the settings counts as 3 s, and 0.7 s more


class StoppingTests(unittest.TestCase):
    """A director that was signalled to stop."""

    def setUp(self):
        self.now = [0.0]
        self.harness = SocketHarness(self, now=lambda: self.now[0])

    def run_to_exit(self):
        """Runs turns of 10 ms of the test's clock until the director has ended, then closes its loop; returns the time it took, ms."""
        return self.harness.run_to_end(self.now)

    def in_the_last_turn(self, act):
        """Calls `act` when the last turn has read all its sockets."""
        exit_when_acknowledged, done = self.harness.director.exit_when_acknowledged, []

        def last(latest):
            if not done:
                done.append(act())
            return exit_when_acknowledged(latest)
        self.harness.director.exit_when_acknowledged = last

    def causes(self, viewer, digits=1):
        """Returns (end of the session id, cause) of the releases that a viewer has received."""
        return [(m.session[-digits:], m.parameters[binary.CAUSE][0]) for m in viewer.receive() if m.kind == binary.RELEASE]

    def test_requests_of_the_last_turn_are_answered(self):
        """On an open connection, on one that waits to be accepted, and on hundreds that do."""
        connected, late = self.harness.viewer(), []
        connected.write(PING)
        self.harness.run_until(connected.receive)

        def act():
            connected.write(set_up(2))
            for _ in range(300):
                late.append(self.harness.viewer())
                late[-1].write(set_up(3))
        self.harness.director.listener.max_connections = 1000
        self.in_the_last_turn(act)
        self.harness.director.stop()
        self.run_to_exit()
        self.assertEqual((self.causes(connected), connected.ended), ([("2", DECLINED)], "end"))
        # 300 requests of one session: the first is declined like all others, so none is open
        self.assertEqual([(self.causes(viewer), viewer.ended) for viewer in late], [([("3", DECLINED)], "end")] * 300)

    def test_more_than_one_read_in_the_last_turn(self):
        """Hundreds of set-ups wait on one connection: each is declined, also those that the first read does not reach."""
        viewer = self.harness.viewer()
        stream = self.harness.director_stream(viewer)
        viewer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        data = b"".join(set_up(n) for n in range(1, 901))

        def act():
            viewer.sock.setblocking(True)
            viewer.write(data)
            viewer.sock.setblocking(False)
            self.harness.wait_for_unread(stream, len(data))
        self.in_the_last_turn(act)
        self.harness.director.stop()
        self.run_to_exit()
        self.assertEqual(len({session for session, cause in self.causes(viewer, 16) if cause == DECLINED}), 900)

    def test_a_play_handed_over_in_the_last_turn_is_released(self):
        """Otherwise it would go on at its node without a director."""
        viewer = self.harness.viewer()
        viewer.write(PING)
        self.harness.run_until(viewer.receive)
        self.in_the_last_turn(lambda: viewer.write(set_up(5, attributes="home:0;copies:3;top:2;at:a")))
        self.harness.director.stop()
        self.run_to_exit()
        self.assertEqual((self.causes(viewer), viewer.ended), ([("5", BROKEN)], "end"))
        self.assertEqual([m.method for _, m in self.harness.nodes["a"].receive()], ["TEARDOWN"])

    def test_an_answer_beside_bytes_that_are_not_read(self):
        """The last message to a viewer is not lost by a reset, though the viewer goes on sending."""
        viewer = self.harness.viewer()
        self.harness.turns(3)
        self.harness.director.stop()
        viewer.write(set_up(2))
        self.harness.turns(3)
        exit_when_closed = self.harness.director.exit_when_closed
        self.harness.director.exit_when_closed = lambda latest: (viewer.write(PING * 5), exit_when_closed(latest))
        self.run_to_exit()
        self.assertEqual((self.causes(viewer), viewer.ended), ([("2", DECLINED)], "end"))

    def test_the_last_message_to_a_node_is_sent(self):
        """The viewer has acknowledged its release at once; the connection that is to carry the release to its node is still coming up."""
        viewer = self.harness.viewer()
        viewer.write(set_up(1))
        connection, message = self.harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.harness.run_until(viewer.receive)
        connection.close()
        self.harness.director.stop()
        self.in_the_last_turn(lambda: self.harness.director.listener.releases.acknowledged(message.session))
        release, node = self.harness.director.allocator.release, self.harness.director.nodes.by_id["a"]

        def close_and_release(play):
            for connection in list(node.connections):        # the node has just closed it
                node.connections.remove(connection)
                connection.stream.abort()
            return release(play)
        self.harness.director.allocator.release = close_and_release
        self.run_to_exit()
        self.assertEqual([m.method for _, m in self.harness.nodes["a"].receive() if m.method != "OPTIONS"], ["TEARDOWN"])

    def test_a_viewer_that_does_not_read_does_not_delay_the_exit(self):
        viewer = self.harness.viewer()
        viewer.write(set_up(1))
        connection, message = self.harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.harness.turns(5)
        stream = next(iter(self.harness.director.listener.viewers)).stream
        while not stream.queued:
            stream.write(b"\0\x09\x06" + b"\0" * 8)      # progress, which has no effect
        self.harness.director.stop()
        self.assertLess(self.run_to_exit(), 3_000 + 350 + ACKNOWLEDGE_WAIT_MS + CLOSE_WAIT_MS + 50)
        self.assertIn("TEARDOWN", [m.method for _, m in self.harness.nodes["a"].receive()])

    def test_a_set_up_half_read_as_the_stop_begins(self):
        """Its rest comes after the signal to stop: it is declined then; a rest that never comes does not delay the exit."""
        viewer, other = self.harness.viewer(), self.harness.viewer()
        data = set_up(2)
        viewer.write(data[:40])
        other.write(data[:40])
        self.harness.wait_for_unread(self.harness.director_stream(viewer), 0)
        self.harness.turns(3)
        self.harness.director.stop()
        self.harness.turns(2)
        viewer.write(data[40:])
        self.assertEqual(self.harness.run_until(lambda: self.causes(viewer)), [("2", DECLINED)])
        self.assertLess(self.run_to_exit(), MIN_STOP_MS + ACKNOWLEDGE_WAIT_MS + CLOSE_WAIT_MS + 50)
        self.assertEqual((viewer.receive(), viewer.ended, other.receive(), other.ended), ([], "end", [], "end"))

    # Guards against a stop that is counted from when a stalled process handles the signal, and is killed before its end.
    def test_a_signal_to_stop_that_waited_while_the_process_was_stalled(self):
        viewer = self.harness.viewer()
        viewer.write(set_up(1))
        connection, message = self.harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.harness.run_until(viewer.receive)
        self.now[0] += STALL_MS
        self.harness.loop.call_soon(self.harness.director.stop)
        self.harness.turn()
        signalled_at = self.now[0] - STALL_MS
        while not (received := self.causes(viewer)) and self.now[0] - signalled_at < KILL_MS:
            self.harness.advance_clock(self.now, 10.0)
        self.assertEqual(received, [("1", BROKEN)])

    def test_signals_together(self):
        """SIGTERM twice, SIGHUP during a stop, SIGTERM in the turn of a SIGHUP: one end, at the time of the first SIGTERM."""
        director = self.harness.director
        for steps in ("stop", "stop"), ("stop", "change", "stop"), ("change", "stop"):
            with self.subTest(steps):
                self.setUp()
                director = self.harness.director
                for step in steps:
                    director.stop() if step == "stop" else director.apply_configuration(director.configuration._replace(changelog=("127.0.0.1", 9)))
                    self.now[0] += 100.0
                    self.harness.turns(2)
                took = self.run_to_exit()
                self.assertLess(abs(took - (MIN_STOP_MS - 100.0 * sum(1 for _ in steps[steps.index("stop"):]))), CLOSE_WAIT_MS + 50)

    def test_a_node_that_answers_as_its_set_up_is_given_up(self):
        """Its answer is unread as we give the set-up up: our release reaches the node, and no reset discards it."""
        viewer = self.harness.viewer()
        viewer.write(set_up(1, product="paid"))
        connection, message = self.harness.wait_for_set_up("a")
        drop_set_up = self.harness.director.allocator.drop_set_up

        def act(play, event):
            connection.write(answer(message.session))
            return drop_set_up(play, event)
        self.harness.director.allocator.drop_set_up = act
        viewer.close()
        self.harness.turns()
        self.assertEqual(([m.method for m in connection.receive()], connection.ended), (["TEARDOWN"], "end"))
        connection.close()
        self.harness.turns(3)
        self.assertEqual(len(self.harness.loop.lingering), 0)


class ClosingTests(unittest.TestCase):
    """Connections that the director closes."""

    def test_a_refusal_before_a_close_arrives(self):
        """A viewer that goes on sending behind a malformed message still gets its refusal, then the end."""
        harness = SocketHarness(self)
        viewer = harness.viewer()
        viewer.write(set_up(2, product="none") + b"\xff" * 50)
        harness.director.listener.admission.handle_message, handle_message = (
            lambda *args: (handle_message(*args), viewer.write(b"\xff" * 50)), harness.director.listener.admission.handle_message)
        harness.turns()
        messages = viewer.receive()
        self.assertEqual(([m.parameters[binary.CAUSE][0] for m in messages], viewer.ended), ([95], "end"))

    def test_closed_connections_hold_few_descriptors(self):
        """Hundreds of peers that never end their side: the oldest are aborted; in time the last ones, too."""
        now = [0.0]
        harness = SocketHarness(self, now=lambda: now[0])
        for n in range(200):
            harness.viewer().write(b"\xff" * 50)
            harness.turns(2)
        self.assertLessEqual(len(harness.loop.lingering), 16)
        self.assertEqual(harness.director.listener.viewers, {})
        now[0] += 1_000.0
        harness.turns(2)
        self.assertEqual(len(harness.loop.lingering), 0)

    def test_a_viewer_that_does_not_read_is_closed_at_once(self):
        """Guards against a close that waits for its queue: a viewer that did not read held its connection, and its plays, for as long as it liked."""
        harness = SocketHarness(self)
        viewer = harness.viewer()
        harness.turns(2)
        connection = next(iter(harness.director.listener.viewers))
        while not connection.stream.queued:
            connection.write(binary.PROGRESS, "0" * 16)
        connection.close("too many")
        self.assertEqual((connection.stream, len(harness.director.listener.viewers)), (None, 0))
        self.assertEqual(harness.loop.lingering, {})
        viewer.receive()


if __name__ == "__main__":
    unittest.main()

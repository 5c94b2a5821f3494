"""What is told of a session before its hand-over is read holds for it. Real sockets."""

import unittest

from laddergw.platform.ended_sessions import MAX_ENDED_SESSIONS, EndedSession, EndedSessions
from laddergw.signalling import binary
from tests.platform_cluster import release, set_up
from tests.socket_harness import SocketHarness

SESSION = f"{2:016x}"
VIEWER_RELEASE = binary.encode(binary.RELEASE, SESSION, (222, b"\x10"))
# Causes of a node's release, and those that the viewer is told.
CAUSES = {16: 16, 41: 41, 31: 16}


def hand_over(session, node="a"):
    """A set-up of a session that plays at a node already."""
    return set_up(session, attributes=f"home:0;copies:3;top:2;at:{node}")


class HandOverTests(unittest.TestCase):
    def start(self, nodes=("a",)):
        """A director that has taken over session 1 at node a; returns the node's connection."""
        self.now = [10_000.0]
        self.harness = SocketHarness(self, nodes=nodes, now=lambda: self.now[0])
        self.director, self.viewer = self.harness.director, self.harness.viewer()
        self.viewer.write(hand_over(1))
        node = self.harness.nodes["a"]
        self.harness.run_until(lambda: node.receive() or node.connections)
        return node.connections[0]

    def releases(self):
        """(session, cause) of the releases that the viewer has received."""
        return [
            (message.session, message.parameters[binary.CAUSE][0])
            for message in self.viewer.receive()
            if message.kind == binary.RELEASE
        ]

    def torn_down(self, name="a"):
        """The sessions that the director releases at a node."""
        received = self.harness.nodes[name].receive()
        return [message.session for _, message in received if message.method == "TEARDOWN"]

    def tell_by_node(self, connection, cause):
        """The node releases session 2, and the director answers that."""
        connection.write(release(2, cause))
        self.harness.run_until(lambda: [m for m in connection.receive() if m.status == 200])

    # Guards against sessions that are held for ever: they ended before their hand-over was read.
    def test_a_session_that_its_node_released_before_its_hand_over(self):
        for cause, told in CAUSES.items():
            for waits_ms in 0, 60_000:
                with self.subTest(cause, waits_ms=waits_ms):
                    connection = self.start()
                    self.tell_by_node(connection, cause)
                    self.now[0] += waits_ms
                    self.viewer.write(hand_over(2))
                    received = self.harness.run_until(self.releases)
                    self.assertEqual(
                        [one for one in received if one[0] == SESSION], [(SESSION, told)]
                    )
                    self.assertNotIn(SESSION, self.director.running_plays)
                    self.assertEqual(self.torn_down(), [])
                    self.harness.close()

    # Guards against sessions that play on: their viewer ended them before their hand-over was read.
    def test_a_session_that_its_viewer_ended_before_its_hand_over(self):
        for waits_ms in 0, 60_000:
            with self.subTest(waits_ms=waits_ms):
                self.start()
                self.viewer.write(VIEWER_RELEASE)
                self.harness.run_until(self.viewer.receive)
                self.now[0] += waits_ms
                other = self.harness.viewer()
                other.write(hand_over(2))
                self.harness.run_until(other.receive)
                self.assertNotIn(SESSION, self.director.running_plays)
                self.assertIn(SESSION, self.harness.run_until(self.torn_down))
                self.harness.close()

    # Guards against a second hand-over that revives a play which has ended in between.
    def test_a_hand_over_that_comes_again_after_its_end(self):
        connection = self.start()
        self.viewer.write(hand_over(2))
        self.harness.run_until(lambda: SESSION in self.director.running_plays)
        self.tell_by_node(connection, 16)
        self.harness.run_until(self.releases)
        self.viewer.write(hand_over(2))
        self.assertEqual(self.harness.run_until(self.releases), [(SESSION, 16)])
        self.assertNotIn(SESSION, self.director.running_plays)

    # Guards against taking one node's word for a session that plays at another one.
    def test_a_release_of_another_node(self):
        connection = self.start(nodes=("a", "b"))
        self.tell_by_node(connection, 16)
        self.viewer.write(hand_over(2, "b"))
        self.harness.run_until(lambda: SESSION in self.director.running_plays)
        self.viewer.write(hand_over(2, "a"))
        self.harness.turns()
        self.assertIn(SESSION, self.director.running_plays)
        self.assertEqual(self.releases(), [])

    # Guards against taking the end of an earlier session for that of a set-up of the same name.
    def test_a_set_up_after_an_end(self):
        connection = self.start()
        self.tell_by_node(connection, 16)
        self.viewer.write(set_up(2))
        self.harness.run_until(lambda: SESSION in self.director.open_requests)
        self.assertIsNone(self.director.ended_sessions.find(SESSION, "a"))


class EndedSessionTests(unittest.TestCase):
    # Guards against memory that grows with what a client makes up, and against others' loss by it.
    def test_a_flood_of_one_source_displaces_its_own_sessions(self):
        ended = EndedSessions()
        ended.add("node", EndedSession("kept", "node", "ended"))
        for number in range(3 * MAX_ENDED_SESSIONS):
            ended.add("flood", EndedSession(f"{number:016x}", "", "given up"))
        self.assertEqual(len(ended), MAX_ENDED_SESSIONS)
        self.assertEqual(ended.find("kept", "node"), EndedSession("kept", "node", "ended"))
        self.assertIsNone(ended.find(f"{0:016x}", "node"))
        for session in list(ended.events):
            ended.forget(session)
        self.assertEqual((ended.source_of, ended.sessions_by_source), ({}, {}))


if __name__ == "__main__":
    unittest.main()

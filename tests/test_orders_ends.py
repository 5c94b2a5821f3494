"""Ends that cross what they end: session ids used again, late hand-overs, closes that wait. Real sockets; each test forces the bad order of events."""
import contextlib
import unittest
import unittest.mock

from laddergw.loop.streams import Stream
from laddergw.signalling import binary, rtsp
from tests.platform_cluster import answer, set_up
from tests.socket_harness import SocketHarness

VIEWER_RELEASE = binary.encode(binary.RELEASE, f"{2:016x}", (222, b"\x10"))


class EndTests(unittest.TestCase):
    """Ends of plays and of connections."""

    def setUp(self):
        self.now = [10_000.0]
        self.harness = SocketHarness(self, now=lambda: self.now[0])

    def advance(self, ms):
        self.harness.advance_clock(self.now, ms)

    def test_a_closed_connection_waits_for_a_slow_reader_and_not_for_a_stopped_one(self):
        """Its queue is sent for as long as the peer reads something every five seconds; after five seconds without, it ends."""
        for reads in True, False:
            with self.subTest(reads=reads):
                self.setUp()
                _, connection = self.harness.idle_connection()
                director_connection, = self.harness.director.nodes.by_id["a"].connections
                while director_connection.stream.queued < 8 << 20:      # far more than both kernels hold
                    director_connection.stream.write(rtsp.encode_request("OPTIONS", "ping", "0" * 16) * 2_000)
                director_connection.close()
                for _ in range(3):
                    if reads:
                        sent_before = director_connection.stream.bytes_sent
                        self.harness.run_until(lambda: self.read_some(connection) and director_connection.stream.bytes_sent > sent_before)
                    self.advance(3_000)
                self.assertEqual(director_connection.stream.sock is not None, reads)

    # Guards against the limit of a close ending one whose peer reads, but whole queued writes at a time.
    def test_a_closed_connection_whose_peer_reads_whole_writes(self):
        self.harness.idle_connection()
        director_connection, = self.harness.director.nodes.by_id["a"].connections
        stream = director_connection.stream
        while len(stream.write_queue) < 4:
            stream.write(rtsp.encode_request("OPTIONS", "ping", "0" * 16) * 2_000)
        director_connection.close()
        for _ in range(3):
            taken = [len(stream.write_queue[0]), 0]

            def take(data, taken=taken):
                count = taken.pop(0) if taken else 0
                stream.bytes_sent += count
                return count
            with unittest.mock.patch.object(Stream, "send", lambda _, data, take=take: take(data)):
                stream.flush()
            self.advance(3_000)
        self.assertIsNotNone(stream.sock)

    def read_some(self, connection):
        """Reads a part of what waits at a node's end."""
        with contextlib.suppress(BlockingIOError):
            connection.sock.recv(1 << 20)
        return True

    def test_a_session_used_again_while_its_first_play_is_not_over(self):
        """No connection may be opened, so the first play's set-up fails in the next turn; in that turn its viewer cancels it and requests
        a play with the same session. The controller's load estimate of the node counts what runs there, and no more."""
        self.harness.director.nodes.max_connections = 0
        viewer = self.harness.viewer()
        stream = self.harness.director_stream(viewer)
        viewer.write(set_up(2))
        self.harness.wait_for_unread(stream, len(set_up(2)))
        self.harness.turn()
        self.assertEqual(len(self.harness.director.controller.plays), 1)
        viewer.write(VIEWER_RELEASE + set_up(2))
        self.harness.wait_for_unread(stream, len(VIEWER_RELEASE + set_up(2)))
        self.harness.turns(6)
        self.advance(5_000)
        fleet = self.harness.director.controller.fleet
        self.assertEqual((self.harness.director.open_requests, self.harness.director.controller.plays), ({}, {}))
        self.assertEqual([(round(node.own, 6), node.plays) for node in fleet.nodes.values()], [(0.0, {})])

    def test_a_release_read_before_its_hand_over(self):
        """They come on two connections, and the release is read first: the play is released at its node and to its viewer."""
        first, second = self.harness.viewer(), self.harness.viewer()
        streams = [self.harness.director_stream(first), self.harness.director_stream(second)]
        hand_over = set_up(2, attributes="home:0;copies:3;top:2;at:a")
        second.write(VIEWER_RELEASE)
        self.harness.wait_for_unread(streams[1], len(VIEWER_RELEASE))
        self.harness.turn()
        first.write(hand_over)
        self.harness.wait_for_unread(streams[0], len(hand_over))
        self.advance(1_000)
        self.assertEqual(self.harness.director.running_plays, {})
        self.assertIn("TEARDOWN", [m.method for _, m in self.harness.nodes["a"].receive()])

    def start_play(self):
        """Starts a play at the node; returns its viewer, and the node's end of the connection."""
        viewer = self.harness.viewer()
        viewer.write(set_up(1))
        connection, message = self.harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.harness.run_until(viewer.receive)
        self.harness.turns(3)
        return viewer, connection

    def run_until_released(self):
        """Runs turns until the node has received releases; returns them."""
        for _ in range(300):
            if found := [m for _, m in self.harness.nodes["a"].receive() if m.method == "TEARDOWN"]:
                return found
            self.advance(10)
        return []

    def test_a_release_in_transit_as_its_connection_is_reset(self):
        """The node's kernel had it and its process had not: it is sent again on the next connection."""
        viewer, connection = self.start_play()
        viewer.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
        self.harness.run_until(lambda: not self.harness.director.running_plays)
        self.harness.turns(3)
        connection.reset()
        self.assertEqual([m.session for m in self.run_until_released()], [f"{1:016x}"])

    def test_an_acknowledged_release_is_not_sent_again(self):
        viewer, connection = self.start_play()
        viewer.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
        message, = self.run_until_released()
        connection.write(rtsp.encode_response(200, "OK", "2", message.session))
        self.harness.turns(3)
        connection.reset()
        self.advance(3_000)
        self.assertEqual([m.method for _, m in self.harness.nodes["a"].receive()], [])

    def test_a_release_queued_for_a_connection_that_never_comes_up(self):
        """The only connection to the node is being opened, for another play: it times out, or that play's viewer leaves. The release goes on
        the next connection."""
        for leaves in False, True:
            with self.subTest(leaves=leaves):
                self.setUp()
                viewer, connection = self.start_play()
                node = self.harness.director.nodes.by_id["a"]
                director_connection, = node.connections
                director_connection.plays["busy"] = None       # so that the next play has a connection of its own
                select = self.harness.loop.selector.select
                self.harness.loop.selector.select = lambda wait: [(key, mask) for key, mask in select(wait)
                                                                  if getattr(key.data, "peer", None) != ("127.0.0.1", self.harness.nodes["a"].port)]
                viewer.write(set_up(2))
                self.harness.run_until(lambda: len(node.connections) == 2)
                del director_connection.plays["busy"]
                node.connections.remove(director_connection)
                director_connection.stream.abort()
                viewer.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
                self.harness.run_until(lambda: not self.harness.director.running_plays)
                if leaves:
                    viewer.write(VIEWER_RELEASE)
                    self.harness.run_until(lambda: not self.harness.director.open_requests)
                else:
                    self.advance(400)
                self.harness.loop.selector.select = select
                self.assertEqual([m.session for m in self.run_until_released()], [f"{1:016x}"])

    def test_a_release_that_waited_long_is_still_sent(self):
        """It is sent once its node is reached again, after the 8 s in which a play that has ended is to be released."""
        viewer, connection = self.start_play()
        connection.close()
        node = self.harness.director.nodes.by_id["a"]
        self.harness.run_until(lambda: not node.connections or node.connections[0].up)
        node.releases.add(f"{1:016x}", rtsp.encode_request("TEARDOWN", "x", f"{1:016x}"))
        self.harness.director.nodes.awaiting_connection = {node: None}
        self.harness.nodes["a"].stop_accepting()
        for director_connection in list(node.connections):
            director_connection.abort("cut")
        self.advance(9_000)
        self.assertEqual([m.method for _, m in self.harness.nodes["a"].receive()], [])
        self.harness.nodes["a"].resume_accepting()
        self.assertEqual([m.session for m in self.run_until_released()], [f"{1:016x}"])
        self.assertTrue(node.connections)

    def test_a_release_of_no_play_before_a_set_up_of_the_same_session(self):
        """The release is tried again for a late hand-over; a play that is requested after it is another one."""
        viewer = self.harness.viewer()
        viewer.write(VIEWER_RELEASE, set_up(2))
        connection, message = self.harness.wait_for_set_up("a")
        self.advance(200)
        connection.write(answer(message.session))
        self.harness.run_until(lambda: [m for m in viewer.receive() if m.kind == binary.ANSWER])
        self.advance(200)
        self.assertEqual((list(self.harness.director.running_plays), viewer.receive()), ([f"{2:016x}"], []))

    # Guards against losing a complete answer because its connection is reset in the read that brings it.
    def test_an_answer_with_the_end_of_its_connection_behind_it(self):
        viewer = self.harness.viewer()
        viewer.write(set_up(1))
        connection, message = self.harness.wait_for_set_up("a")
        director_connection, = self.harness.director.nodes.by_id["a"].connections
        connection.write(answer(message.session))
        self.harness.wait_for_unread(director_connection.stream, len(answer(message.session)))
        connection.reset()
        received = self.harness.run_until(viewer.receive)
        self.assertEqual([m.kind for m in received], [binary.ANSWER])
        self.assertEqual([m.method for _, m in self.harness.nodes["a"].receive()], [])

    def test_a_closed_connection_to_a_node_that_never_reads(self):
        """Its queue is never sent: the connection ends all the same, and holds no descriptor."""
        self.harness.idle_connection()
        connection, = self.harness.director.nodes.by_id["a"].connections
        while not connection.stream.queued:
            connection.stream.write(rtsp.encode_request("OPTIONS", "ping", "0" * 16) * 20)
        viewer = self.harness.viewer()
        stream = self.harness.director_stream(viewer)
        viewer.write(set_up(2))
        self.harness.run_until(lambda: self.harness.director.open_requests)
        self.harness.turns(2)
        viewer.write(VIEWER_RELEASE)
        self.harness.wait_for_unread(stream, len(VIEWER_RELEASE))
        self.harness.turns(2)
        self.assertEqual(self.harness.director.open_requests, {})
        self.advance(2_000)
        self.assertEqual((connection.stream.sock, self.harness.loop.lingering), (None, {}))


if __name__ == "__main__":
    unittest.main()

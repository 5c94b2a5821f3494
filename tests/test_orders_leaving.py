"""A viewer that leaves, in any way and at any moment: no allocation begins for it. Real sockets; each test forces the bad order of events."""
import contextlib
import select
import socket
import unittest

from laddergw.hosting import DECISION_SLICE_MS
from laddergw.platform import allocation
from laddergw.signalling import binary, rtsp
from tests.platform_cluster import answer, set_up
from tests.socket_harness import SocketHarness

SET_UP_PREFIX_BYTES = 80   # of a set-up as a node gets it, to the end of its session id
GONE_MS = 100.0            # no attempt may begin later than this after its viewer has left: the users' term
RELEASE = binary.encode(binary.RELEASE, f"{2:016x}", (222, b"\x10"))
WAYS = {
    "closed": lambda viewer: viewer.close(),
    "reset": lambda viewer: viewer.reset(),
    "half closed": lambda viewer: viewer.sock.shutdown(socket.SHUT_WR),
    "cancelled": lambda viewer: viewer.write(RELEASE),
}


def leave(harness, viewer, way, unread=0):
    """Leaves, and waits until that can be read by the director, behind `unread` bytes."""
    stream = harness.director_stream(viewer)
    WAYS[way](viewer)
    harness.wait_for_unread(stream, unread + len(RELEASE) if way == "cancelled" else None)


class LeavingTests(unittest.TestCase):
    """A viewer leaves before or while its set-up is carried out."""

    def test_left_right_behind_its_set_up(self):
        """The set-up and the viewer's end can be read together; nothing may be sent on the open connection to the node."""
        for way in WAYS:
            with self.subTest(way):
                harness = SocketHarness(self)
                _, connection = harness.idle_connection()
                viewer = harness.viewer()
                harness.director_stream(viewer)
                viewer.write(set_up(2))
                leave(harness, viewer, way, len(set_up(2)))
                harness.turns()
                self.assertEqual([m.method for _, m in harness.nodes["a"].receive()], [])
                self.assertEqual((len(harness.director.open_requests), len(harness.director.controller.plays)), (0, 0))

    def test_left_behind_more_than_one_read(self):
        """Hundreds of set-ups with the viewer's end behind them: the first ones are read some turns before that end."""
        for way in "closed", "half closed":
            with self.subTest(way):
                harness = SocketHarness(self)
                harness.idle_connection()
                viewer = harness.viewer()
                stream = harness.director_stream(viewer)
                viewer.sock.setblocking(True)
                viewer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
                stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                viewer.write(b"".join(set_up(n) for n in range(2, 900)))
                leave(harness, viewer, way)
                harness.turns(40)
                self.assertEqual([m.method for _, m in harness.nodes["a"].receive()], [])
                self.assertEqual((len(harness.director.open_requests), len(harness.director.controller.plays)), (0, 0))

    def test_left_as_the_connection_to_the_node_comes_up(self):
        """Both are reported in one turn, the connection first: the set-up that waited on it may not be sent before the end is read."""
        for way in WAYS:
            with self.subTest(way):
                harness = SocketHarness(self)
                harness.report_connects_first()
                viewer = harness.viewer()
                viewer.write(set_up(2))
                harness.run_until(lambda: harness.director.nodes.connections())
                leave(harness, viewer, way)
                connection, = harness.director.nodes.by_id["a"].connections
                harness.test.assertTrue(select.select([], [connection.stream.sock], [], 20)[1])   # it has come up
                harness.turns()
                self.assertEqual([m.method for _, m in harness.nodes["a"].receive()], [])
                self.assertEqual(len(harness.director.open_requests), 0)

    def test_left_while_others_are_decided(self):
        """Each decision takes 30 ms of this clock; viewers leave while others are decided. The sockets are read between decisions."""
        now, begun_at, left_at = [0.0], {}, {}
        harness = SocketHarness(self, now=lambda: now[0])
        viewers = {n: harness.viewer() for n in range(1, 31)}
        harness.turns(3)
        for n, viewer in viewers.items():
            viewer.write(set_up(n))
        decide, allocate = harness.director.controller.decide, harness.director.allocator.allocate

        def decide_slowly(*args):
            plays = len(harness.director.controller.pending) if len(args) < 2 else 1
            for n in [n for n in viewers if n not in left_at and n % 2 and n not in begun_at][:1]:
                left_at[n] = now[0]
                viewers[n].close()
            now[0] += 30.0 * plays if harness.director.controller.pending else 0.0
            return decide(*args)

        def record_allocation(play, verdict):
            begun_at[int(play.session, 16)] = now[0]
            return allocate(play, verdict)
        harness.director.controller.decide, harness.director.allocator.allocate = decide_slowly, record_allocation
        harness.turns(60)
        self.assertGreater(len(begun_at), 5)
        self.assertEqual({n: begun_at[n] - left_at[n] for n in left_at if begun_at.get(n, 0) - left_at[n] > GONE_MS}, {})

    def test_left_while_its_node_is_stalled(self):
        """The node reads nothing and its kernel takes no more; our kernel has taken the set-up. The viewer leaves at once, or when the set-up
        has been out for long; our release of it is sent, or waits as well. Then the node reads all that arrives: the set-up must not."""
        for out_ms, behind, shared in (1.0, False, False), (500.0, False, False), (1.0, True, False), (1.0, False, True), (1.0, True, True):
            with self.subTest(out_ms, behind=behind, shared=shared):
                now = [10_000.0]
                harness = SocketHarness(self, now=lambda: now[0])
                _, connection = harness.idle_connection()
                stream, = [connection.stream for connection in harness.director.nodes.by_id["a"].connections]
                while not stream.queued:                 # until full; then only as much is read as lets our kernel take the set-up
                    stream.write(rtsp.encode_request("OPTIONS", "ping", "0" * 16) * 20)
                stream.withdraw_write(stream.write_queue[0])
                viewer = harness.viewer()
                harness.director_stream(viewer)
                viewer.write(set_up(2))
                play = harness.run_until(lambda: harness.director.open_requests.get(f"{2:016x}"))
                harness.turns()
                while play.connection.state(play.session) != allocation.SENT:
                    connection.sock.recv(4096)
                    harness.turns(2)
                while behind and not stream.queued:
                    stream.write(rtsp.encode_request("OPTIONS", "ping", "0" * 16) * 20)
                if shared:                               # another viewer's set-up goes on the same connection
                    harness.director.nodes.max_connections = 1
                    other = harness.viewer()
                    harness.director_stream(other)
                    other.write(set_up(3))
                    harness.run_until(lambda: len(play.connection.plays) == 2)
                now[0] += out_ms
                leave(harness, viewer, "closed")
                harness.turns()
                now[0] += GONE_MS - DECISION_SLICE_MS    # the viewer's end may have been unread for a turn
                harness.turns(3)
                self.assertEqual((set(harness.director.open_requests) - {f"{3:016x}"}, set(harness.director.controller.plays) - {3}), (set(), set()))
                self.assertTrue(shared or not harness.director.open_requests)
                data = b""
                with contextlib.suppress(BlockingIOError, ConnectionError):
                    while chunk := connection.sock.recv(1 << 20):
                        data += chunk
                self.assertIn(b"OPTIONS", data)
                self.assertNotIn(rtsp.encode_request("SETUP", "7f3a9c21e0b4d655", f"{2:016x}")[:SET_UP_PREFIX_BYTES], data)
                self.assertTrue(shared or b"SETUP" not in data)

    # Guards against a set-up for a viewer whose patience ran out while its connection waited to be accepted by a stalled process.
    def test_patience_that_ran_out_before_its_connection_was_accepted(self):
        now = [10_000.0]
        harness = SocketHarness(self, now=lambda: now[0])
        harness.turns(3)
        viewer = harness.viewer()
        viewer.write(set_up(2, wait_limit_ms="150"))
        now[0] += 800.0
        harness.turns(6)
        self.assertEqual([m.kind for m in viewer.receive()], [binary.RELEASE])
        self.assertEqual(harness.nodes["a"].receive(), [])

    def test_left_while_its_retry_is_due(self):
        """The node is full; the viewer's end comes in the same turn as that answer: no second set-up is sent."""
        for way in WAYS:
            with self.subTest(way):
                harness = SocketHarness(self, nodes=("a", "b"))
                viewer = harness.viewer()
                viewer.write(set_up(2))
                node = harness.run_until(lambda: next((name for name in harness.nodes if (received := harness.nodes[name].receive()) and
                                                   received[0][0].write(answer(received[0][1].session, 453, b"")) is None), None))
                leave(harness, viewer, way)
                harness.turns()
                self.assertEqual([m.method for _, m in harness.nodes["b" if node == "a" else "a"].receive()], [])
                self.assertEqual(len(harness.director.open_requests), 0)

    def test_left_behind_more_than_one_read_with_a_retry_due(self):
        """The node refuses; the viewer's end is behind hundreds of its other messages: it is read before a second set-up is sent."""
        for way in "closed", "half closed":
            with self.subTest(way):
                harness = SocketHarness(self, nodes=("a", "b"))
                for name in "a", "b":
                    harness.director.nodes.by_id[name].dial()       # connections are up, so that nothing waits for one
                harness.run_until(lambda: all(connection.up for node in harness.director.nodes.by_id.values() for connection in node.connections))
                viewer = harness.viewer()
                stream = harness.director_stream(viewer)
                viewer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
                stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                viewer.write(set_up(2))
                name, connection = harness.run_until(lambda: next(((name, found[0][0]) for name in harness.nodes if (found := harness.nodes[name].receive())), None))
                connection.write(answer(f"{2:016x}", 453, b""))
                harness.wait_for_unread(harness.director.open_requests[f"{2:016x}"].connection.stream, len(answer(f"{2:016x}", 453, b"")))
                viewer.sock.setblocking(True)
                viewer.write(binary.encode(binary.PING, "0" * 16, (222, b"\0")) * 9_000)
                leave(harness, viewer, way)
                harness.turns(40)
                self.assertEqual([m.method for _, m in harness.nodes["b" if name == "a" else "a"].receive()], [])
                self.assertEqual((len(harness.director.open_requests), len(harness.director.controller.plays)), (0, 0))


if __name__ == "__main__":
    unittest.main()

"""A viewer that leaves, in any way and at any moment: no allocation begins for it. Real sockets; each test forces the bad order of events."""
import contextlib
import select
import socket
import unittest

from laddergw.hosting import DECISION_SLICE_MS
from laddergw.platform import allocation as life
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


def leave(town, viewer, way, unread=0):
    """Leaves, and waits until that can be read by the director, behind `unread` bytes."""
    side = town.director_stream(viewer)
    WAYS[way](viewer)
    town.wait_for_unread(side, unread + len(RELEASE) if way == "cancelled" else None)


class LeavingTests(unittest.TestCase):
    """A viewer leaves before or while its set-up is carried out."""

    def test_left_right_behind_its_set_up(self):
        """The set-up and the viewer's end can be read together; nothing may be sent on the open connection to the node."""
        for way in WAYS:
            with self.subTest(way):
                town = SocketHarness(self)
                _, line = town.idle_connection()
                viewer = town.viewer()
                town.director_stream(viewer)
                viewer.write(set_up(2))
                leave(town, viewer, way, len(set_up(2)))
                town.turns()
                self.assertEqual([m.method for _, m in town.nodes["a"].receive()], [])
                self.assertEqual((len(town.director.open_requests), len(town.director.controller.plays)), (0, 0))

    def test_left_behind_more_than_one_read(self):
        """Hundreds of set-ups with the viewer's end behind them: the first ones are read some turns before that end."""
        for way in "closed", "half closed":
            with self.subTest(way):
                town = SocketHarness(self)
                town.idle_connection()
                viewer = town.viewer()
                side = town.director_stream(viewer)
                viewer.sock.setblocking(True)
                viewer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
                side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                viewer.write(b"".join(set_up(n) for n in range(2, 900)))
                leave(town, viewer, way)
                town.turns(40)
                self.assertEqual([m.method for _, m in town.nodes["a"].receive()], [])
                self.assertEqual((len(town.director.open_requests), len(town.director.controller.plays)), (0, 0))

    def test_left_as_the_connection_to_the_node_comes_up(self):
        """Both are reported in one turn, the connection first: the set-up that waited on it may not be sent before the end is read."""
        for way in WAYS:
            with self.subTest(way):
                town = SocketHarness(self)
                town.report_connects_first()
                viewer = town.viewer()
                viewer.write(set_up(2))
                town.run_until(lambda: town.director.nodes.connections())
                leave(town, viewer, way)
                line, = town.director.nodes.by_id["a"].connections
                town.test.assertTrue(select.select([], [line.stream.sock], [], 20)[1])   # it has come up
                town.turns()
                self.assertEqual([m.method for _, m in town.nodes["a"].receive()], [])
                self.assertEqual(len(town.director.open_requests), 0)

    def test_left_while_others_are_decided(self):
        """Each decision takes 30 ms of this clock; viewers leave while others are decided. The sockets are read between decisions."""
        now, begun, left = [0.0], {}, {}
        town = SocketHarness(self, now=lambda: now[0])
        viewers = {n: town.viewer() for n in range(1, 31)}
        town.turns(3)
        for n, viewer in viewers.items():
            viewer.write(set_up(n))
        decide, allocate = town.director.controller.decide, town.director.allocator.allocate

        def slow(*args):
            plays = len(town.director.controller.pending) if len(args) < 2 else 1
            for n in [n for n in viewers if n not in left and n % 2 and n not in begun][:1]:
                left[n] = now[0]
                viewers[n].close()
            now[0] += 30.0 * plays if town.director.controller.pending else 0.0
            return decide(*args)

        def allocated(ply, verdict):
            begun[int(ply.session, 16)] = now[0]
            return allocate(ply, verdict)
        town.director.controller.decide, town.director.allocator.allocate = slow, allocated
        town.turns(60)
        self.assertGreater(len(begun), 5)
        self.assertEqual({n: begun[n] - left[n] for n in left if begun.get(n, 0) - left[n] > GONE_MS}, {})

    def test_left_while_its_node_is_stalled(self):
        """The node reads nothing and its kernel takes no more; our kernel has taken the set-up. The viewer leaves at once, or when the set-up
        has been out for long; our release of it is sent, or waits as well. Then the node reads all that arrives: the set-up must not."""
        for out_ms, behind, shared in (1.0, False, False), (500.0, False, False), (1.0, True, False), (1.0, False, True), (1.0, True, True):
            with self.subTest(out_ms, behind=behind, shared=shared):
                now = [10_000.0]
                town = SocketHarness(self, now=lambda: now[0])
                _, line = town.idle_connection()
                stream, = [line.stream for line in town.director.nodes.by_id["a"].connections]
                while not stream.queued:                 # until full; then only as much is read as lets our kernel take the set-up
                    stream.write(rtsp.encode_request("OPTIONS", "ping", "0" * 16) * 20)
                stream.withdraw_write(stream.write_queue[0])
                viewer = town.viewer()
                town.director_stream(viewer)
                viewer.write(set_up(2))
                ply = town.run_until(lambda: town.director.open_requests.get(f"{2:016x}"))
                town.turns()
                while ply.connection.state(ply.session) != life.SENT:
                    line.sock.recv(4096)
                    town.turns(2)
                while behind and not stream.queued:
                    stream.write(rtsp.encode_request("OPTIONS", "ping", "0" * 16) * 20)
                if shared:                               # another viewer's set-up goes on the same connection
                    town.director.nodes.max_connections = 1
                    other = town.viewer()
                    town.director_stream(other)
                    other.write(set_up(3))
                    town.run_until(lambda: len(ply.connection.plays) == 2)
                now[0] += out_ms
                leave(town, viewer, "closed")
                town.turns()
                now[0] += GONE_MS - DECISION_SLICE_MS             # the viewer's end may have been unread for a turn
                town.turns(3)
                self.assertEqual((set(town.director.open_requests) - {f"{3:016x}"}, set(town.director.controller.plays) - {3}), (set(), set()))
                self.assertTrue(shared or not town.director.open_requests)
                data = b""
                with contextlib.suppress(BlockingIOError, ConnectionError):
                    while part := line.sock.recv(1 << 20):
                        data += part
                self.assertIn(b"OPTIONS", data)
                self.assertNotIn(rtsp.encode_request("SETUP", "7f3a9c21e0b4d655", f"{2:016x}")[:SET_UP_PREFIX_BYTES], data)
                self.assertTrue(shared or b"SETUP" not in data)

    # Guards against a set-up for a viewer whose patience ran out while its connection waited to be accepted by a stalled process.
    def test_patience_that_ran_out_before_its_connection_was_accepted(self):
        now = [10_000.0]
        town = SocketHarness(self, now=lambda: now[0])
        town.turns(3)
        viewer = town.viewer()
        viewer.write(set_up(2, patience="150"))
        now[0] += 800.0
        town.turns(6)
        self.assertEqual([m.kind for m in viewer.receive()], [binary.RELEASE])
        self.assertEqual(town.nodes["a"].receive(), [])

    def test_left_while_its_retry_is_due(self):
        """The node is full; the viewer's end comes in the same turn as that answer: no second set-up is sent."""
        for way in WAYS:
            with self.subTest(way):
                town = SocketHarness(self, nodes=("a", "b"))
                viewer = town.viewer()
                viewer.write(set_up(2))
                node = town.run_until(lambda: next((name for name in town.nodes if (heard := town.nodes[name].receive()) and
                                                heard[0][0].write(answer(heard[0][1].session, 453, b"")) is None), None))
                leave(town, viewer, way)
                town.turns()
                self.assertEqual([m.method for _, m in town.nodes["b" if node == "a" else "a"].receive()], [])
                self.assertEqual(len(town.director.open_requests), 0)

    def test_left_behind_more_than_one_read_with_a_retry_due(self):
        """The node refuses; the viewer's end is behind hundreds of its other messages: it is read before a second set-up is sent."""
        for way in "closed", "half closed":
            with self.subTest(way):
                town = SocketHarness(self, nodes=("a", "b"))
                for name in "a", "b":
                    town.director.nodes.by_id[name].dial()       # connections are up, so that nothing waits for one
                town.run_until(lambda: all(line.up for node in town.director.nodes.by_id.values() for line in node.connections))
                viewer = town.viewer()
                side = town.director_stream(viewer)
                viewer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
                side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                viewer.write(set_up(2))
                name, line = town.run_until(lambda: next(((name, found[0][0]) for name in town.nodes if (found := town.nodes[name].receive())), None))
                line.write(answer(f"{2:016x}", 453, b""))
                town.wait_for_unread(town.director.open_requests[f"{2:016x}"].connection.stream, len(answer(f"{2:016x}", 453, b"")))
                viewer.sock.setblocking(True)
                viewer.write(binary.encode(binary.PING, "0" * 16, (222, b"\0")) * 9_000)
                leave(town, viewer, way)
                town.turns(40)
                self.assertEqual([m.method for _, m in town.nodes["b" if name == "a" else "a"].receive()], [])
                self.assertEqual((len(town.director.open_requests), len(town.director.controller.plays)), (0, 0))


if __name__ == "__main__":
    unittest.main()

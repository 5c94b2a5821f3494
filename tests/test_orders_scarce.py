"""A process without a free descriptor still does what it must. Real sockets, a real limit; each test forces the bad order of events."""
import contextlib
import os
import resource
import socket
import unittest

from laddergw.signalling import binary
from tests.platform_cluster import answer, set_up
from tests.socket_harness import SocketHarness

DECLINED, PING = 42, binary.encode(binary.PING, "0" * 16, (222, b"\0"))


@contextlib.contextmanager
def few_descriptors(left=0):
    """Leaves `left` free descriptors to this process until the context ends."""
    before, held = resource.getrlimit(resource.RLIMIT_NOFILE), []
    highest = max(int(name) for name in os.listdir("/proc/self/fd"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1 + left, before[1]))
    try:
        with contextlib.suppress(OSError):
            while True:
                held.append(os.dup(0))
        for _ in range(left):
            os.close(held.pop())
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
        for descriptor in held:
            os.close(descriptor)


class FewDescriptorsTests(unittest.TestCase):
    """A director whose process has no free descriptor."""

    def setUp(self):
        self.now = [10_000.0]
        self.harness = SocketHarness(self, now=lambda: self.now[0])

    def advance(self, ms):
        self.harness.advance_clock(self.now, ms)

    def test_a_stop_while_the_listener_waits_for_a_descriptor(self):
        """A connection that could not be accepted waits as the stop begins: the process ends, and the viewer gets its answer and an end."""
        first = self.harness.viewer()
        first.write(PING)
        self.harness.run_until(first.receive)
        late = socket.socket()
        self.addCleanup(late.close)
        late.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with few_descriptors():
            late.connect(self.harness.address)
            late.sendall(set_up(2))
            self.harness.turns(3)
            self.assertGreater(self.harness.loop.failed_accepts, 0)
            self.harness.director.stop()
            for _ in range(600):
                self.now[0] += 10.0
                self.harness.turn()
                if not self.harness.loop.running:
                    break
            self.assertFalse(self.harness.loop.running)
        reader, late_data = binary.Reader(), b""
        late.settimeout(20)
        while data := late.recv(4096):
            late_data += data
        reader.feed(late_data)
        self.assertEqual(reader.next().parameters[binary.CAUSE], bytes([DECLINED]))

    def test_closed_connections_give_way_to_the_change_log(self):
        """Connections that we closed wait for their peers' ends, which do not come, and hold the last descriptors."""
        for _ in range(3):
            self.harness.viewer().write(b"\xff" * 50)
            self.harness.turns(3)
        self.assertEqual(len(self.harness.loop.lingering), 3)
        self.harness.director.change_log.reconnect("it breaks off")
        with few_descriptors():
            self.advance(60)
            self.assertIsNotNone(self.harness.director.change_log.stream)
            self.assertEqual(len(self.harness.loop.lingering), 2)

    def test_closed_connections_give_way_to_new_viewers(self):
        for _ in range(3):
            self.harness.viewer().write(b"\xff" * 50)
            self.harness.turns(3)
        late = socket.socket()
        self.addCleanup(late.close)
        with few_descriptors():
            late.connect(self.harness.address)
            self.harness.turns(3)
            self.assertEqual(len(self.harness.director.listener.viewers), 1)

    def test_a_dial_without_a_descriptor_says_nothing_about_its_node(self):
        """The node has done nothing: it counts neither as failing nor as paced, and a later play goes there."""
        viewer = self.harness.viewer()
        self.harness.director_stream(viewer)
        with few_descriptors():
            viewer.write(set_up(1))
            self.harness.wait_for_unread(self.harness.director_stream(viewer), len(set_up(1)))
            self.harness.turns(6)
        node = self.harness.director.controller.fleet.nodes[1]
        self.assertEqual((node.backoff_level, node.backoff_until), (0, 0.0))
        viewer.write(set_up(2))
        connection, message = self.harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.assertIn(binary.ANSWER, [m.kind for m in self.harness.run_until(lambda: [m for m in viewer.receive() if m.session == f"{2:016x}"])])


if __name__ == "__main__":
    unittest.main()

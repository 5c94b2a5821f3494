"""A director on real sockets with a media node that falls silent, by a clock that is passed in."""

import contextlib
import unittest

from laddergw.signalling import binary, changes, rtsp
from tests.platform_cluster import answer, event, member, set_up
from tests.socket_harness import SocketHarness

# By the platform's page: the longest time from a play's end to its release, and the longest time
# for which nodes are cut off on the bench's days.
RELEASE_LIMIT_MS, CUT_MS = 8_000.0, 6_000.0
STEP_MS = 10.0


class SilentNodeTest(unittest.TestCase):
    """Base class of tests of a director that nobody at its one media node hears any more."""

    def start(self, connections):
        """Starts a play at node a, which has so many connections."""
        self.now, self.released_at, self.torn_down = [10_000.0], {}, []
        self.harness = SocketHarness(self, now=lambda: self.now[0])
        self.node, self.viewer = self.harness.nodes["a"], self.harness.viewer()
        self.is_cut_off = False
        self.viewer.write(set_up(1))
        connection, message = self.harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.harness.run_until(lambda: self.harness.director.running_plays)
        node = self.harness.director.nodes.by_id["a"]
        for _ in range(connections - 1):
            node.dial()
        self.harness.run_until(lambda: all(one.up for one in node.connections))

    def advance(self, ms):
        """Advances the clock; the node answers pings and set-ups unless it is cut off."""
        for _ in range(int(ms / STEP_MS)):
            self.now[0] += STEP_MS
            self.harness.turn()
            for connection, message in [] if self.is_cut_off else self.node.receive():
                with contextlib.suppress(ConnectionError):
                    self.answer(connection, message)
            for message in self.viewer.receive():
                if message.kind == binary.RELEASE:
                    self.released_at.setdefault(int(message.session, 16), self.now[0])

    def answer(self, connection, message):
        """Answers a ping or a release as a node does."""
        if message.method == "OPTIONS":
            connection.write(rtsp.encode_response(200, "OK", "3", message.session))
        elif message.method == "TEARDOWN":
            self.torn_down.append(int(message.session, 16))
            connection.write(rtsp.encode_response(200, "OK", "2", message.session))

    def cut_off(self):
        """The node falls silent: it reads nothing, and no new connection comes up."""
        self.is_cut_off = True
        self.node.stop_accepting()

    def rejoin(self, is_reset=False):
        """The node is reached again; `is_reset`: its connections of before are reset."""
        self.is_cut_off = False
        for connection in list(self.node.connections) if is_reset else ():
            connection.reset()
        self.node.resume_accepting()

    def end_by_viewer(self):
        """The viewer ends its play."""
        self.viewer.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
        self.harness.run_until(lambda: not self.harness.director.running_plays)

    def tell(self, phase, number):
        """The change log tells that the node is in a state; its process is the same as ever."""
        entry = member("a", self.node.port, phase) | {"host_port": f"127.0.0.1:{self.node.port}"}
        told = changes.parse_event(event(number, entry))
        self.harness.director.fleet_list.apply_event(told)

    def return_cold(self):
        """The node's machine is back with another process: its connections of before are reset."""
        self.rejoin(is_reset=True)

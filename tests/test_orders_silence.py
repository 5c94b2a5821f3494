"""Media nodes whose machines fall silent, for good or for a while. Real sockets, a clock that is
passed in.
"""

import contextlib
import itertools
import unittest

from laddergw.platform.nodes import GONE_RETENTION_MS
from laddergw.signalling import binary, changes, rtsp
from tests.platform_cluster import answer, event, member, set_up
from tests.socket_harness import SocketHarness

# By the platform's page: the longest time from a play's end to its release, and the longest time
# for which nodes are cut off on the bench's days.
RELEASE_LIMIT_MS, CUT_MS = 8_000.0, 6_000.0
# A cut after which nobody can know what became of the node, and the time in which a node that is
# reached again is told what is over: what counts for changes that were told while nobody heard.
LONG_CUT_MS, REACHED_AGAIN_MS = 10_000.0, 6_000.0
STEP_MS = 10.0


class SilenceTests(unittest.TestCase):
    """Plays at a node that nobody hears any more."""

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

    # Guards against testing a vanished node's connections one after another: 13 took 15 s.
    def test_a_vanished_node_with_many_connections(self):
        for connections in 1, 2, 13:
            for silent_before_ms in 0.0, 700.0, 1_400.0:
                with self.subTest(connections=connections, silent_before_ms=silent_before_ms):
                    self.start(connections)
                    self.advance(3_000.0 + silent_before_ms)
                    self.cut_off()
                    cut_at = self.now[0]
                    self.advance(RELEASE_LIMIT_MS)
                    self.assertEqual(list(self.released_at), [1])
                    self.assertLessEqual(self.released_at[1] - cut_at, RELEASE_LIMIT_MS)

    # Guards against taking a node for gone that is cut off for six seconds: its plays were lost.
    def test_a_node_that_is_cut_off_and_comes_back_keeps_its_plays(self):
        for connections in 1, 2, 13:
            for silent_before_ms in 0.0, 350.0, 700.0, 1_050.0, 1_400.0:
                with self.subTest(connections=connections, silent_before_ms=silent_before_ms):
                    self.start(connections)
                    self.advance(3_000.0 + silent_before_ms)
                    self.cut_off()
                    self.advance(CUT_MS)
                    self.rejoin()
                    self.advance(RELEASE_LIMIT_MS)
                    self.assertEqual((self.released_at, self.torn_down), ({}, []))
                    self.assertEqual(len(self.harness.director.running_plays), 1)

    def end_by_viewer(self):
        """The viewer ends its play."""
        self.viewer.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
        self.harness.run_until(lambda: not self.harness.director.running_plays)

    def tell(self, phase, number):
        """The change log tells that the node is in a state; its process is the same as ever."""
        entry = member("a", self.node.port, phase) | {"host_port": f"127.0.0.1:{self.node.port}"}
        told = changes.parse_event(event(number, entry))
        self.harness.director.fleet_list.apply_event(told)

    # Guards against plays that go on at a node after their viewers were told that they are over.
    def test_what_is_over_for_its_viewer_is_over_at_a_node_that_is_reached_again(self):
        for choices in itertools.product((1, 13), *[(False, True)] * 3):
            with self.subTest(choices=choices):
                connections, is_delisted, is_ended_by_viewer, is_reset = choices
                self.start(connections)
                self.advance(3_000.0)
                self.cut_off()
                self.advance(500.0)
                if is_ended_by_viewer:
                    self.end_by_viewer()
                self.advance(LONG_CUT_MS / 2)
                if is_delisted:
                    self.tell("DELETED", 2)
                self.advance(LONG_CUT_MS / 2)
                self.assertEqual(self.harness.director.running_plays, {})
                self.rejoin(is_reset)
                if is_delisted:
                    self.tell("SERVING", 3)
                self.advance(REACHED_AGAIN_MS)
                self.assertEqual(set(self.torn_down), {1})

    # Guards against set-ups that go on at a node that was cut off as they were given up.
    def test_a_set_up_given_up_at_a_silent_node_is_released_when_it_is_reached_again(self):
        for is_cancelled in False, True:
            with self.subTest(is_cancelled=is_cancelled):
                self.start(1)
                self.viewer.write(set_up(2, product="paid"))
                self.harness.wait_for_set_up("a")
                self.cut_off()
                if is_cancelled:
                    self.advance(300.0)
                    self.viewer.write(binary.encode(binary.RELEASE, f"{2:016x}", (222, b"\x10")))
                self.advance(CUT_MS)
                self.assertEqual(self.harness.director.open_requests, {})
                self.rejoin(is_reset=True)
                self.advance(REACHED_AGAIN_MS)
                self.assertEqual(set(self.torn_down), {2})

    # Guards against dialling a vanished machine without end, and against keeping its node.
    def test_a_node_that_is_not_reached_again_is_forgotten(self):
        self.start(2)
        self.advance(1_000.0)
        self.cut_off()
        self.advance(LONG_CUT_MS)
        self.tell("DELETED", 2)
        nodes = self.harness.director.nodes
        self.advance(GONE_RETENTION_MS + 1_000.0)
        self.assertEqual((nodes.by_id, nodes.by_number, nodes.by_address), ({}, {}, {}))
        self.assertEqual((nodes.watched, nodes.awaiting_connection), ({}, {}))

    # Guards against ending plays that were set up after the start of the process that serves them.
    def test_a_start_that_the_list_tells_late_ends_the_plays_of_earlier_processes_alone(self):
        self.start(1)
        self.advance(1_000.0)
        for connection in self.node.connections:
            connection.reset()
        self.advance(1_000.0)
        started_at = self.now[0]
        for connection in self.node.connections:
            if not connection.ended:
                connection.reset()
        self.advance(100.0)
        self.viewer.write(set_up(2))
        connection, message = self.harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.harness.run_until(lambda: len(self.harness.director.running_plays) == 2)
        hand_over = set_up(3, attributes="home:0;copies:3;top:2;at:a")
        self.viewer.write(hand_over)
        self.harness.run_until(lambda: len(self.harness.director.running_plays) == 3)
        self.advance(4_000.0)
        entry = member("a", self.node.port) | {"host_port": f"127.0.0.1:{self.node.port}"}
        started_ms = started_at + self.harness.director.clock_offset_ms
        told = changes.parse_event(event(2, entry | {"up_since_ms": started_ms}))
        self.harness.director.fleet_list.apply_event(told)
        self.advance(500.0)
        # Of the one that was handed over it is not known: it is over at the node as well.
        self.assertEqual(set(self.released_at), {1, 3})
        self.assertEqual(self.torn_down, [3])
        self.assertEqual(list(self.harness.director.running_plays), [f"{2:016x}"])


if __name__ == "__main__":
    unittest.main()

"""Media nodes that are back with another process, or with the same one. Real sockets."""

import itertools
import unittest

from laddergw.signalling import changes, rtsp
from tests.platform_cluster import answer, event, member, set_up
from tests.silent_node import RELEASE_LIMIT_MS, SilentNodeTest


class ColdReturnTests(SilentNodeTest):
    """Plays at a node whose process may be another one."""

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

    # Guards against taking a machine that is back with a new process for one that was cut off.
    def test_a_node_that_returns_cold_before_the_list_tells(self):
        for connections, lost_ms in itertools.product((1, 2, 13), (4_500.0, 5_000.0, 6_000.0)):
            with self.subTest(connections=connections, lost_ms=lost_ms):
                self.start(connections)
                self.advance(3_000.0)
                self.cut_off()
                cut_at = self.now[0]
                self.advance(lost_ms)
                self.return_cold()
                self.advance(600.0)
                self.viewer.write(set_up(2))
                connection, message = self.harness.wait_for_set_up("a")
                connection.write(answer(message.session))
                self.harness.run_until(lambda: len(self.harness.director.running_plays) == 2)
                self.advance(RELEASE_LIMIT_MS - lost_ms - 600.0)
                self.assertEqual(list(self.released_at), [1])
                self.assertLessEqual(self.released_at[1] - cut_at, RELEASE_LIMIT_MS)
                # The new process's play goes on, and it is told of the other in any case.
                self.advance(RELEASE_LIMIT_MS)
                self.assertEqual(list(self.harness.director.running_plays), [f"{2:016x}"])
                self.assertEqual(self.torn_down, [1])

    # Guards against losing plays whose node reports on them when it is reached again.
    def test_a_message_about_a_play_proves_that_its_process_goes_on(self):
        self.start(1)
        self.advance(3_000.0)
        self.cut_off()
        self.advance(4_000.0)
        self.rejoin(is_reset=True)
        self.advance(1_500.0)
        note = (("X-Note", "port"), ("Figure", "0.3"))
        connection = next(one for one in self.node.connections if not one.ended)
        connection.write(rtsp.encode_request("ANNOUNCE", "note", f"{1:016x}", note))
        self.advance(2 * RELEASE_LIMIT_MS)
        self.assertEqual((self.released_at, self.torn_down), ({}, []))

    # Guards against ending plays because a dial before them had never come up.
    def test_a_dial_that_never_came_up_before_a_play_proves_nothing_of_it(self):
        for is_contact_lost in False, True:
            with self.subTest(is_contact_lost=is_contact_lost):
                self.start(1)
                if is_contact_lost:
                    self.cut_off()
                    self.advance(4_000.0)
                    self.rejoin(is_reset=True)
                    self.advance(500.0)
                self.end_by_viewer()
                self.advance(RELEASE_LIMIT_MS)
                self.cut_off()
                self.harness.director.nodes.by_id["a"].dial()
                self.advance(RELEASE_LIMIT_MS)
                self.rejoin()
                self.viewer.write(set_up(2))
                connection, message = self.harness.wait_for_set_up("a")
                connection.write(answer(message.session))
                self.harness.run_until(lambda: self.harness.director.running_plays)
                self.advance(3 * RELEASE_LIMIT_MS)
                self.assertEqual(list(self.harness.director.running_plays), [f"{2:016x}"])


if __name__ == "__main__":
    unittest.main()

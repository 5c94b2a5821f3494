"""Media nodes whose machines fall silent, for good or for a while. Real sockets."""

import itertools
import unittest

from laddergw.platform.nodes import GONE_RETENTION_MS
from laddergw.signalling import binary
from tests.platform_cluster import set_up
from tests.silent_node import CUT_MS, RELEASE_LIMIT_MS, SilentNodeTest

# A cut after which nobody can know what became of the node, and the time in which a node that is
# reached again is told what is over: what counts for changes that were told while nobody heard.
LONG_CUT_MS, REACHED_AGAIN_MS = 10_000.0, 6_000.0


class SilenceTests(SilentNodeTest):
    """Plays at a node that nobody hears any more."""

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
                connection, _ = self.harness.wait_for_set_up("a")
                self.harness.director.nodes.by_id["a"].dial()
                self.advance(100.0)
                self.cut_off()
                if is_cancelled:
                    self.advance(300.0)
                    self.viewer.write(binary.encode(binary.RELEASE, f"{2:016x}", (222, b"\x10")))
                self.advance(CUT_MS)
                self.assertEqual(self.harness.director.open_requests, {})
                connection.reset()
                self.rejoin()
                self.advance(REACHED_AGAIN_MS)
                self.assertEqual(set(self.torn_down), {2})

    # Guards against set-ups that end the one connection by which a node that was cut off is known.
    def test_set_ups_during_a_cut_do_not_end_the_last_connection(self):
        for set_up_after_ms in 100.0, 1_000.0, 2_000.0:
            with self.subTest(set_up_after_ms=set_up_after_ms):
                self.start(1)
                self.advance(3_000.0)
                self.cut_off()
                self.advance(set_up_after_ms)
                self.viewer.write(set_up(2, product="paid"))
                self.harness.run_until(lambda: self.harness.director.open_requests)
                self.harness.turns()
                node = self.harness.director.nodes.by_id["a"]
                up = [one.stream for one in node.connections if one.up]
                # The node's system has it, and its machine is cut off behind that.
                self.harness.run_until(lambda up=up: not any(one.unacknowledged() for one in up))
                self.advance(CUT_MS - set_up_after_ms)
                self.rejoin()
                self.advance(RELEASE_LIMIT_MS)
                self.assertEqual(set(self.torn_down) - {2}, set())
                self.assertEqual(list(self.harness.director.running_plays), [f"{1:016x}"])

    # Guards against more and more connections to a node whose process stands still.
    def test_a_node_that_accepts_and_answers_nothing_keeps_its_connections(self):
        for connections in 1, 2, 5:
            with self.subTest(connections=connections):
                self.start(connections)
                self.advance(2_000.0)
                self.is_cut_off = True
                node, most = self.harness.director.nodes.by_id["a"], 0
                for _ in range(300):
                    self.node.accept()
                    self.advance(100.0)
                    most = max(most, len(node.connections))
                self.assertLessEqual(most, connections + 1)
                self.assertEqual(len(self.harness.director.running_plays), 1)

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


if __name__ == "__main__":
    unittest.main()

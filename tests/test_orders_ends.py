"""Ends that cross what they end: names used again, hand-overs overtaken, closes that wait. Real connections, the bad order every time."""
import contextlib
import unittest

from laddergw.signalling import binary, rtsp
from tests.platform_town import answer, set_up
from tests.socket_harness import SocketHarness

END = binary.encode(binary.RELEASE, f"{2:016x}", (222, b"\x10"))


class Ends(unittest.TestCase):
    def setUp(self):
        self.now = [10_000.0]
        self.town = SocketHarness(self, now=lambda: self.now[0])

    def pass_(self, ms):
        self.town.advance_clock(self.now, ms)

    def test_a_closed_connection_waits_for_who_reads_slowly_and_not_for_who_has_stopped(self):
        """What is queued goes on as long as its peer takes something each five seconds; five without, and it ends."""
        for reads in True, False:
            with self.subTest(reads=reads):
                self.setUp()
                _, line = self.town.idle_connection()
                mine, = self.town.director.nodes.by_id["a"].connections
                while mine.stream.queued < 8 << 20:      # far past what both systems hold
                    mine.stream.write(rtsp.request("OPTIONS", "ping", "0" * 16) * 2_000)
                mine.close()
                for _ in range(3):
                    if reads:
                        had = mine.stream.taken
                        self.town.run_until(lambda: self.drained(line) and mine.stream.taken > had)
                    self.pass_(3_000)
                self.assertEqual(mine.stream.sock is not None, reads)

    def drained(self, line):
        with contextlib.suppress(BlockingIOError):
            line.sock.recv(1 << 20)
        return True

    def test_a_name_used_again_while_its_first_play_is_not_over(self):
        """No connection may be opened, so the first play's set-up comes to nothing in the next turn; in that turn its viewer takes it back
        and asks again under the same name. The decisions' account of the node holds what is there, and no more."""
        self.town.director.nodes.max_connections = 0
        viewer = self.town.viewer()
        side = self.town.director_stream(viewer)
        viewer.write(set_up(2))
        self.town.wait_for_unread(side, len(set_up(2)))
        self.town.turn()
        self.assertEqual(len(self.town.director.controller.plays), 1)
        viewer.write(END + set_up(2))
        self.town.wait_for_unread(side, len(END + set_up(2)))
        self.town.turns(6)
        self.pass_(5_000)
        fleet = self.town.director.controller.fleet
        self.assertEqual((self.town.director.open, self.town.director.controller.plays), ({}, {}))
        self.assertEqual([(round(node.own, 6), node.plays) for node in fleet.nodes.values()], [(0.0, {})])

    def test_an_end_that_overtakes_its_hand_over(self):
        """They come on two connections, and the end is read first: the play is released at its node, and its viewer hears that."""
        first, second = self.town.viewer(), self.town.viewer()
        sides = [self.town.director_stream(first), self.town.director_stream(second)]
        hand_over = set_up(2, figures="home:0;copies:3;top:2;at:a")
        second.write(END)
        self.town.wait_for_unread(sides[1], len(END))
        self.town.turn()
        first.write(hand_over)
        self.town.wait_for_unread(sides[0], len(hand_over))
        self.pass_(1_000)
        self.assertEqual(self.town.director.standing, {})
        self.assertIn("TEARDOWN", [m.method for _, m in self.town.nodes["a"].receive()])

    def stands(self):
        """A play that stands at the node: its viewer, and the node's end of the connection."""
        viewer = self.town.viewer()
        viewer.write(set_up(1))
        line, message = self.town.wait_for_set_up("a")
        line.write(answer(message.session))
        self.town.run_until(viewer.receive)
        self.town.turns(3)
        return viewer, line

    def tears(self):
        """Turns until the node is told that the play is over."""
        for _ in range(300):
            if found := [m for _, m in self.town.nodes["a"].receive() if m.method == "TEARDOWN"]:
                return found
            self.pass_(10)
        return []

    def test_a_release_that_is_on_its_way_as_its_connection_is_reset(self):
        """The node's system had it and its process had not: it is told again on the next connection."""
        viewer, line = self.stands()
        viewer.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
        self.town.run_until(lambda: not self.town.director.standing)
        self.town.turns(3)
        line.reset()
        self.assertEqual([m.session for m in self.tears()], [f"{1:016x}"])

    def test_a_release_that_is_heard_is_not_told_again(self):
        viewer, line = self.stands()
        viewer.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
        message, = self.tears()
        line.write(rtsp.answer(200, "OK", "2", message.session))
        self.town.turns(3)
        line.reset()
        self.pass_(3_000)
        self.assertEqual([m.method for _, m in self.town.nodes["a"].receive()], [])

    def test_a_release_said_on_a_connection_that_never_comes_up(self):
        """The only connection to the node is on its way, for another play: it comes to nothing in time, or that play's viewer leaves. The
        release goes on the next one."""
        for leaves in False, True:
            with self.subTest(leaves=leaves):
                self.setUp()
                viewer, line = self.stands()
                node = self.town.director.nodes.by_id["a"]
                mine, = node.connections
                mine.plays["busy"] = None                # so that the next play has a connection of its own
                select = self.town.loop.selector.select
                self.town.loop.selector.select = lambda wait: [(key, mask) for key, mask in select(wait)
                                                               if getattr(key.data, "peer", None) != ("127.0.0.1", self.town.nodes["a"].port)]
                viewer.write(set_up(2))
                self.town.run_until(lambda: len(node.connections) == 2)
                del mine.plays["busy"]
                node.connections.remove(mine)
                mine.stream.abort()
                viewer.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
                self.town.run_until(lambda: not self.town.director.standing)
                if leaves:
                    viewer.write(END)
                    self.town.run_until(lambda: not self.town.director.open)
                else:
                    self.pass_(400)
                self.town.loop.selector.select = select
                self.assertEqual([m.session for m in self.tears()], [f"{1:016x}"])

    def test_a_release_that_waited_for_long_is_said_all_the_same(self):
        """Past the time for which it is told again; and it is told once."""
        viewer, line = self.stands()
        line.close()
        node = self.town.director.nodes.by_id["a"]
        self.town.run_until(lambda: not node.connections or node.connections[0].up)
        self.town.director.nodes.awaiting_connection, node.queued_messages = {node: None}, [(rtsp.request("TEARDOWN", "x", f"{1:016x}"), f"{1:016x}", self.now[0] - 1.0)]
        for mine in list(node.connections):
            mine.abort("cut")
        self.assertEqual([m.session for m in self.tears()], [f"{1:016x}"])
        self.assertTrue(node.connections)

    def test_an_end_of_nothing_before_a_set_up_of_the_same_name(self):
        """The end is looked at again for a hand-over; a play that is asked for behind it is another one."""
        viewer = self.town.viewer()
        viewer.write(END, set_up(2))
        line, message = self.town.wait_for_set_up("a")
        self.pass_(200)
        line.write(answer(message.session))
        self.town.run_until(lambda: [m for m in viewer.receive() if m.kind == binary.ANSWER])
        self.pass_(200)
        self.assertEqual((list(self.town.director.standing), viewer.receive()), ([f"{2:016x}"], []))

    # Guards against losing an answer that came whole because its connection is reset in the read that brings it.
    def test_an_answer_with_the_end_of_its_connection_behind_it(self):
        viewer = self.town.viewer()
        viewer.write(set_up(1))
        line, message = self.town.wait_for_set_up("a")
        mine, = self.town.director.nodes.by_id["a"].connections
        line.write(answer(message.session))
        self.town.wait_for_unread(mine.stream, len(answer(message.session)))
        line.reset()
        heard = self.town.run_until(viewer.receive)
        self.assertEqual([m.kind for m in heard], [binary.ANSWER])
        self.assertEqual([m.method for _, m in self.town.nodes["a"].receive()], [])

    def test_a_connection_that_we_close_at_a_node_that_never_reads(self):
        """What is queued for it never leaves: the connection ends all the same, and holds no descriptor."""
        self.town.idle_connection()
        line, = self.town.director.nodes.by_id["a"].connections
        while not line.stream.queued:
            line.stream.write(rtsp.request("OPTIONS", "ping", "0" * 16) * 20)
        viewer = self.town.viewer()
        side = self.town.director_stream(viewer)
        viewer.write(set_up(2))
        self.town.run_until(lambda: self.town.director.open)
        self.town.turns(2)
        viewer.write(END)
        self.town.wait_for_unread(side, len(END))
        self.town.turns(2)
        self.assertEqual(self.town.director.open, {})
        self.pass_(2_000)
        self.assertEqual((line.stream.sock, self.town.loop.lingering), (None, {}))


if __name__ == "__main__":
    unittest.main()

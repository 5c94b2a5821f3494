"""The change log, whatever it does: every event is told once, in order, and a silent or broken connection is begun again in time."""
import json
import socket
import unittest

from laddergw.platform import configuration as configurations
from laddergw.signalling import binary
from tests.platform_cluster import answer, event, member, set_up
from tests.socket_harness import SocketHarness

TOLD_AFTER_BREAK_MS, TOLD_AFTER_SILENCE_MS = 2_000.0, 4_000.0   # by then it counts as told: the platform's terms


def lines(*events):
    return b"".join(json.dumps(one).encode() + b"\n" for one in events)


class Lists(unittest.TestCase):
    def setUp(self):
        self.now = [10_000.0]
        self.town = SocketHarness(self, nodes=("a", "b"), now=lambda: self.now[0])
        self.told, listed = [], self.town.director.fleet_list.apply_event
        self.town.director.change_log.on_event = lambda one: (self.told.append(one.number), listed(one))
        self.town.log.setblocking(False)
        self.ends = []

    def pass_(self, ms):
        self.town.advance_clock(self.now, ms)

    def come(self, most_ms):
        """The next connection at the change log within that time: what it asked for, and the socket."""
        for _ in range(int(most_ms / 10) + 1):
            try:
                sock, _ = self.town.log.accept()
            except BlockingIOError:
                self.pass_(10)
                continue
            self.addCleanup(sock.close)
            sock.setblocking(False)
            self.town.turns(3)
            try:
                return self.read(sock), sock
            except ConnectionError:                       # begun and given up: the next one counts
                continue
        return self.fail("nobody asks the change log")

    def read(self, sock):
        data = b""
        while not data.endswith(b"\n"):
            self.town.turn()
            try:
                part = sock.recv(100)
            except BlockingIOError:
                continue
            if not part:
                raise ConnectionError("it has ended")
            data += part
        return data

    def say(self, sock, data):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(data)
        stream = self.town.director.change_log.stream
        self.town.wait_for_unread(stream, len(data))
        self.town.turns(2)

    def event(self, number, **changes):
        return event(number, member("a", 1, **changes) | {"host_port": f"127.0.0.1:{self.town.nodes['a'].port}"})

    def test_twice_skipped_back_and_broken_within_a_line(self):
        asked, log = self.come(100)
        self.assertEqual(asked, b"since 1\n")
        self.say(log, lines(self.event(2), self.event(2), self.event(1)) + b"1\n2\n")
        self.assertEqual(self.told, [2])
        self.say(log, lines(self.event(4)))                       # 3 is missing: begun again from 2
        asked, log = self.come(TOLD_AFTER_BREAK_MS / 2)
        self.assertEqual((asked, self.told), (b"since 2\n", [2]))
        self.say(log, lines(self.event(3), self.event(4))[:-40])   # breaks within the second line
        log.close()
        asked, log = self.come(TOLD_AFTER_BREAK_MS / 2)
        self.assertEqual((asked, self.told), (b"since 3\n", [2, 3]))
        self.say(log, b"9\n")                                      # the last number alone tells that some are missing
        asked, log = self.come(TOLD_AFTER_BREAK_MS / 2)
        self.assertEqual(asked, b"since 3\n")

    def test_silent_from_the_start_in_the_middle_and_within_a_line(self):
        for said in b"", b"1\n", lines(self.event(2))[:50]:
            asked, log = self.come(TOLD_AFTER_SILENCE_MS)
            self.assertEqual(asked, b"since 1\n")
            if said:
                self.say(log, said)
        self.assertEqual(self.told, [])
        since = self.now[0]
        asked, log = self.come(TOLD_AFTER_SILENCE_MS)
        self.assertLess(self.now[0] - since, TOLD_AFTER_SILENCE_MS)
        self.say(log, lines(self.event(2)))
        self.assertEqual(self.told, [2])

    def test_one_that_never_comes_up_at_the_start(self):
        """Its connection stays on its way: it is begun again and again, in time each time, and what was said meanwhile is asked for."""
        select = self.town.loop.selector.select
        self.town.loop.selector.select = lambda wait: [(key, mask) for key, mask in select(wait) if key.data is not self.town.director.change_log.stream]
        dials, dial = [], self.town.director.change_log.dial
        self.town.director.change_log.dial = lambda: (dials.append(self.now[0]), dial())
        since = self.now[0]
        self.pass_(6_000)
        self.assertGreaterEqual(len(dials), 4)
        self.assertLess(max(b - a for a, b in zip([since, *dials], dials)), TOLD_AFTER_BREAK_MS)
        self.town.loop.selector.select = select
        asked, log = self.come(TOLD_AFTER_BREAK_MS)
        self.assertEqual(asked, b"since 1\n")
        self.say(log, lines(self.event(2)))
        self.assertEqual(self.told, [2])

    def test_another_address_while_the_first_is_dialled(self):
        """SIGHUP between the dial and its end: the old address's connection says nothing any more, whatever was on its way."""
        self.town.turn()
        _, old = self.come(200)
        two = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(two.close)
        old.sendall(lines(self.event(2)))
        self.town.wait_for_unread(self.town.director.change_log.stream, len(lines(self.event(2))))
        self.town.director.apply_configuration(self.town.director.configuration._replace(changelog=two.getsockname()))
        self.town.turns(3)
        self.assertEqual(self.told, [])
        old_log, self.town.log = self.town.log, two
        two.setblocking(False)
        self.town.test.addCleanup(old_log.close)
        asked, new = self.come(TOLD_AFTER_SILENCE_MS)
        self.assertEqual(asked, b"since 1\n")
        self.say(new, lines(self.event(2)))
        self.assertEqual(self.told, [2])
        # and while a dial is under way, that never comes up
        self.town.director.change_log.switch_address(two.getsockname())
        self.town.director.change_log.dial()
        stream = self.town.director.change_log.stream
        self.town.director.change_log.switch_address(two.getsockname())
        self.assertIsNone(stream.sock)
        self.assertEqual(self.come(TOLD_AFTER_SILENCE_MS)[0], b"since 2\n")

    def test_known_of_a_new_file_ahead_and_behind(self):
        """What the file knows and was not heard yet is told once; a gap is left to the change log."""
        _, log = self.come(200)
        self.say(log, lines(self.event(2)))
        mine = self.town.director.configuration

        def known(*events):
            tree = {"seq": events[-1]["seq"], "results": list(events)}
            self.town.director.apply_configuration(mine._replace(known_events=configurations.changes.parse_initial_events(tree), last_event=tree["seq"]))
        known(self.event(1))
        self.assertEqual(self.told, [2])
        known(self.event(2), self.event(3))
        self.assertEqual((self.told, self.town.director.change_log.last_number), ([2], 3))   # taken from the file
        self.say(log, lines(self.event(3), self.event(4)))
        self.assertEqual(self.told, [2, 4])
        known(self.event(7))                                       # 5 and 6 are not in it
        self.assertEqual(self.town.director.change_log.last_number, 4)
        self.say(log, lines(self.event(5), self.event(6), self.event(7)))
        self.assertEqual(self.told, [2, 4, 5, 6, 7])

    def test_a_node_deleted_and_named_again(self):
        """With another start, at another address, at the address of one that has gone: plays of the old process are over, new ones go."""
        _, log = self.come(200)
        viewer = self.town.viewer()
        viewer.write(set_up(1))
        line, message = self.town.wait_for_set_up("a")
        line.write(answer(message.session))
        self.town.run_until(viewer.receive)
        port = self.town.nodes["b"].port
        self.say(log, lines(self.event(2, phase="DELETED"), event(3, member("a", 1, since=1) | {"host_port": f"127.0.0.1:{port}"}),
                            event(4, member("b", 1, phase="DELETED"))))
        self.town.run_until(viewer.receive)
        self.assertEqual(self.town.director.running_plays, {})
        self.pass_(2_000)                                          # (a rest after what it broke)
        viewer.write(set_up(2))
        self.assertEqual(self.town.wait_for_set_up("b")[1].session, f"{2:016x}")       # node a, at the address that was b's

    def test_a_new_node_at_the_address_of_a_dead_one(self):
        """The old process dies, and its successor answers at its address before we have dialled again: what it says is no sign that the
        old one lives. Once the list tells of it, the old one's plays are over."""
        _, log = self.come(200)
        viewer = self.town.viewer()
        viewer.write(set_up(1, figures="home:0;copies:1;top:2"))
        line, message = self.town.wait_for_set_up("a")
        line.write(answer(message.session))
        self.town.run_until(viewer.receive)
        line.close()                                               # its listener is the successor's from here on
        self.town.run_until(lambda: self.town.nodes["a"].receive() or len(self.town.nodes["a"].connections) > 1)
        self.say(log, lines(self.event(2, phase="DELETED"), event(3, member("c", 1, since=1) | {"host_port": f"127.0.0.1:{self.town.nodes['a'].port}"})))
        self.assertEqual(self.town.director.running_plays, {})
        self.assertEqual([m.kind for m in self.town.run_until(viewer.receive)], [binary.RELEASE])

    def test_one_that_drips(self):
        """A byte now and then, and never a whole line: it tells no more than one that is silent."""
        _, log = self.come(200)
        since, stream = self.now[0], self.town.director.change_log.stream
        data = lines(self.event(2))[:20]
        for at in range(len(data)):
            if self.town.director.change_log.stream is not stream:
                break
            self.say(log, data[at:at + 1])
            self.pass_(500)
        self.assertLess(self.now[0] - since, TOLD_AFTER_SILENCE_MS)
        self.assertEqual(self.come(TOLD_AFTER_BREAK_MS)[0], b"since 1\n")

    def test_a_drain_takes_back_what_waits_for_its_connection(self):
        """Told in the turn in which the connection comes up, the connection first: nothing leaves to a node that drains."""
        _, log = self.come(200)
        self.town.report_connects_first()
        viewer = self.town.viewer()
        viewer.write(set_up(1))
        self.town.run_until(lambda: self.town.director.nodes.connections())
        name = next(node.id for node in self.town.director.nodes.by_id.values() if node.connections)
        port = self.town.nodes[name].port
        log.sendall(lines(event(2, member(name, 1, phase="DRAINING", cell="ab".index(name)) | {"host_port": f"127.0.0.1:{port}"})))
        self.town.wait_for_unread(self.town.director.change_log.stream, 100)
        self.town.turns()
        self.assertEqual([m.method for _, m in self.town.nodes[name].receive()], [])
        self.assertEqual(self.town.wait_for_set_up("b" if name == "a" else "a")[1].session, f"{1:016x}")


if __name__ == "__main__":
    unittest.main()

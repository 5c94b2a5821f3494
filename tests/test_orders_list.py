"""The change log's faults: every event is handled once, in order, and a silent or broken connection is dialled again in time."""
import json
import socket
import unittest

from laddergw.platform import configuration as configurations
from laddergw.signalling import binary
from tests.platform_cluster import answer, event, member, set_up
from tests.socket_harness import SocketHarness

# By the platform's terms a director is expected to know an event this long after a break, and after silence.
BREAK_LIMIT_MS, SILENCE_LIMIT_MS = 2_000.0, 4_000.0


def encode_events(*events):
    return b"".join(json.dumps(one).encode() + b"\n" for one in events)


class ChangeLogs(unittest.TestCase):
    def setUp(self):
        self.now = [10_000.0]
        self.harness = SocketHarness(self, nodes=("a", "b"), now=lambda: self.now[0])
        self.handled, apply_event = [], self.harness.director.fleet_list.apply_event
        self.harness.director.change_log.on_event = lambda one: (self.handled.append(one.number), apply_event(one))
        self.harness.change_log.setblocking(False)
        self.ends = []

    def advance(self, ms):
        self.harness.advance_clock(self.now, ms)

    def accept(self, limit_ms):
        """The next connection to the change log within that time: its request, and the socket."""
        for _ in range(int(limit_ms / 10) + 1):
            try:
                sock, _ = self.harness.change_log.accept()
            except BlockingIOError:
                self.advance(10)
                continue
            self.addCleanup(sock.close)
            sock.setblocking(False)
            self.harness.turns(3)
            try:
                return self.read_request(sock), sock
            except ConnectionError:                       # dialled and closed again: the next one counts
                continue
        return self.fail("no request to the change log")

    def read_request(self, sock):
        data = b""
        while not data.endswith(b"\n"):
            self.harness.turn()
            try:
                chunk = sock.recv(100)
            except BlockingIOError:
                continue
            if not chunk:
                raise ConnectionError("the connection has ended")
            data += chunk
        return data

    def send(self, sock, data):
        """Sends lines of the change log, and lets the director read them."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(data)
        stream = next(one.stream for one in self.harness.director.change_log.connections if one.stream.sock.getsockname() == sock.getpeername())
        self.harness.wait_for_unread(stream, len(data))
        self.harness.turns(2)

    def event(self, number, **changes):
        """An event of node a."""
        return event(number, member("a", 1, **changes) | {"host_port": f"127.0.0.1:{self.harness.nodes['a'].port}"})

    def test_events_that_are_repeated_missing_old_and_cut_within_a_line(self):
        request, log = self.accept(100)
        self.assertEqual(request, b"since 1\n")
        self.send(log, encode_events(self.event(2), self.event(2), self.event(1)) + b"1\n2\n")
        self.assertEqual(self.handled, [2])
        self.send(log, encode_events(self.event(4)))   # 3 is missing: requested again from 2
        request, log = self.accept(BREAK_LIMIT_MS / 2)
        self.assertEqual((request, self.handled), (b"since 2\n", [2]))
        self.send(log, encode_events(self.event(3), self.event(4))[:-40])   # ends within the second line
        log.close()
        request, log = self.accept(BREAK_LIMIT_MS / 2)
        self.assertEqual((request, self.handled), (b"since 3\n", [2, 3]))
        self.send(log, b"9\n")   # the last number alone shows that some are missing
        request, log = self.accept(BREAK_LIMIT_MS / 2)
        self.assertEqual(request, b"since 3\n")

    def test_silence_from_the_start_after_a_line_and_within_a_line(self):
        for sent in b"", b"1\n", encode_events(self.event(2))[:50]:
            request, log = self.accept(SILENCE_LIMIT_MS)
            self.assertEqual(request, b"since 1\n")
            if sent:
                self.send(log, sent)
        self.assertEqual(self.handled, [])
        start = self.now[0]
        request, log = self.accept(SILENCE_LIMIT_MS)
        self.assertLess(self.now[0] - start, SILENCE_LIMIT_MS)
        self.send(log, encode_events(self.event(2)))
        self.assertEqual(self.handled, [2])

    def test_a_connection_that_never_comes_up_at_the_start(self):
        """It is dialled again and again, in time each time, and the events that were missed meanwhile are requested."""
        select = self.harness.loop.selector.select
        connections = self.harness.director.change_log.connections
        self.harness.loop.selector.select = lambda wait: [(key, mask) for key, mask in select(wait) if key.data not in [one.stream for one in connections]]
        dials, dial = [], self.harness.director.change_log.dial
        self.harness.director.change_log.dial = lambda: (dials.append(self.now[0]), dial())
        start = self.now[0]
        self.advance(6_000)
        self.assertGreaterEqual(len(dials), 4)
        self.assertLess(max(b - a for a, b in zip([start, *dials], dials)), BREAK_LIMIT_MS)
        self.harness.loop.selector.select = select
        request, log = self.accept(BREAK_LIMIT_MS)
        self.assertEqual(request, b"since 1\n")
        self.send(log, encode_events(self.event(2)))
        self.assertEqual(self.handled, [2])

    def test_another_address_while_a_connection_is_open_or_dialled(self):
        """SIGHUP while a connection is open, then during a dial: nothing that was still on its way from the old address is handled."""
        self.harness.turn()
        _, old = self.accept(200)
        two = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(two.close)
        old.sendall(encode_events(self.event(2)))
        self.harness.wait_for_unread(self.harness.director.change_log.stream, len(encode_events(self.event(2))))
        self.harness.director.apply_configuration(self.harness.director.configuration._replace(changelog=two.getsockname()))
        self.harness.turns(3)
        self.assertEqual(self.handled, [])
        old_log, self.harness.change_log = self.harness.change_log, two
        two.setblocking(False)
        self.harness.test.addCleanup(old_log.close)
        request, new = self.accept(SILENCE_LIMIT_MS)
        self.assertEqual(request, b"since 1\n")
        self.send(new, encode_events(self.event(2)))
        self.assertEqual(self.handled, [2])
        # And while a dial is under way that never comes up
        self.harness.director.change_log.switch_address(two.getsockname())
        self.harness.director.change_log.dial()
        stream = self.harness.director.change_log.stream
        self.harness.director.change_log.switch_address(two.getsockname())
        self.assertIsNone(stream.sock)
        self.assertEqual(self.accept(SILENCE_LIMIT_MS)[0], b"since 2\n")

    def test_known_events_of_a_new_file_ahead_and_behind(self):
        """Events of the file that are new are handled once; a gap is left to the change log."""
        _, log = self.accept(200)
        self.send(log, encode_events(self.event(2)))
        current = self.harness.director.configuration

        def known(*events):
            tree = {"seq": events[-1]["seq"], "results": list(events)}
            self.harness.director.apply_configuration(current._replace(known_events=configurations.changes.parse_initial_events(tree), last_event=tree["seq"]))
        known(self.event(1))
        self.assertEqual(self.handled, [2])
        known(self.event(2), self.event(3))
        self.assertEqual((self.handled, self.harness.director.change_log.last_number), ([2], 3))   # from the file
        self.send(log, encode_events(self.event(3), self.event(4)))
        self.assertEqual(self.handled, [2, 4])
        known(self.event(7))   # 5 and 6 are not in it
        self.assertEqual(self.harness.director.change_log.last_number, 4)
        self.send(log, encode_events(self.event(5), self.event(6), self.event(7)))
        self.assertEqual(self.handled, [2, 4, 5, 6, 7])

    def test_a_node_that_is_deleted_and_listed_again(self):
        """With a later start, at another address, which was that of a node now gone: plays of the old process are over, new ones are set up."""
        _, log = self.accept(200)
        viewer = self.harness.viewer()
        viewer.write(set_up(1))
        connection, message = self.harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.harness.run_until(viewer.receive)
        port = self.harness.nodes["b"].port
        self.send(log, encode_events(self.event(2, phase="DELETED"), event(3, member("a", 1, since=1) | {"host_port": f"127.0.0.1:{port}"}),
                                     event(4, member("b", 1, phase="DELETED"))))
        self.harness.run_until(viewer.receive)
        self.assertEqual(self.harness.director.running_plays, {})
        self.advance(2_000)   # the node rests after the play that it broke
        viewer.write(set_up(2))
        self.assertEqual(self.harness.wait_for_set_up("b")[1].session, f"{2:016x}")       # node a, at the address that was b's

    def test_a_new_node_at_the_address_of_a_dead_one(self):
        """The old process exits, and its successor answers at its address before we have dialled again: its answers do not prove that the
        old one is alive. Once the list names the successor, the old one's plays are over."""
        _, log = self.accept(200)
        viewer = self.harness.viewer()
        viewer.write(set_up(1, attributes="home:0;copies:1;top:2"))
        connection, message = self.harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.harness.run_until(viewer.receive)
        connection.close()   # from here on its listener is the successor's
        self.harness.run_until(lambda: self.harness.nodes["a"].receive() or len(self.harness.nodes["a"].connections) > 1)
        self.send(log, encode_events(self.event(2, phase="DELETED"), event(3, member("c", 1, since=1) | {"host_port": f"127.0.0.1:{self.harness.nodes['a'].port}"})))
        self.assertEqual(self.harness.director.running_plays, {})
        self.assertEqual([m.kind for m in self.harness.run_until(viewer.receive)], [binary.RELEASE])

    def test_a_change_log_that_sends_single_bytes(self):
        """A byte now and then and never a whole line counts as silence."""
        _, log = self.accept(200)
        start, stream = self.now[0], self.harness.director.change_log.stream
        data = encode_events(self.event(2))[:20]
        for position in range(len(data)):
            if self.harness.director.change_log.stream is not stream:
                break
            self.send(log, data[position:position + 1])
            self.advance(500)
        self.assertLess(self.now[0] - start, SILENCE_LIMIT_MS)
        self.assertEqual(self.accept(BREAK_LIMIT_MS)[0], b"since 1\n")

    def test_a_drain_withdraws_a_set_up_that_waits_for_its_connection(self):
        """It is read in the turn in which the connection comes up, after that: nothing leaves to a node that drains."""
        _, log = self.accept(200)
        self.harness.report_connects_first()
        viewer = self.harness.viewer()
        viewer.write(set_up(1))
        self.harness.run_until(lambda: self.harness.director.nodes.connections())
        name = next(node.id for node in self.harness.director.nodes.by_id.values() if node.connections)
        port = self.harness.nodes[name].port
        log.sendall(encode_events(event(2, member(name, 1, phase="DRAINING", cell="ab".index(name)) | {"host_port": f"127.0.0.1:{port}"})))
        self.harness.wait_for_unread(self.harness.director.change_log.stream, 100)
        self.harness.turns()
        self.assertEqual([m.method for _, m in self.harness.nodes[name].receive()], [])
        self.assertEqual(self.harness.wait_for_set_up("b" if name == "a" else "a")[1].session, f"{1:016x}")


if __name__ == "__main__":
    unittest.main()

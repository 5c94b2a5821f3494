"""Idle clients, floods and few descriptors: real connections, and a real process with the limit that its file tells."""
import contextlib
import json
import os
import pathlib
import selectors
import signal
import socket
import tempfile
import time
import unittest

from laddergw.loop.lingering import READ_BYTES
from laddergw.signalling import binary, rtsp
from tests.platform_cluster import answer, event, member, set_up
from tests.socket_harness import Node, Peer, SocketHarness
from tests.test_platform_start import WAIT_LIMIT_S, SpawnedDirector, held_port

SOCKETS, IDLE = 64, 150      # of the descriptors 22 are for connections to nodes
TEST = binary.encode(binary.PING, "0" * 16, (222, b"\0"))


class Full(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = held_port()
        self.addCleanup(self.log.close)
        self.nodes = [Node(f"n{n}") for n in range(120)]
        self.running = SpawnedDirector(pathlib.Path(folder.name), "full", descriptors=SOCKETS, limits={"sockets": SOCKETS}, log_port=self.log.getsockname()[1],
                               known={"seq": 1, "results": [event(1, *self.members(), whole=True)]})
        self.addCleanup(self.running.end)
        self.selector = selectors.DefaultSelector()
        self.addCleanup(self.selector.close)
        self.peers = []
        self.addCleanup(lambda: [one.sock.close() for one in [*self.peers, *self.nodes, *(l for n in self.nodes for l in n.connections)]])

    def members(self):
        return [member(node.name, node.port, cell=n % 3) | {"host_port": f"127.0.0.1:{node.port}"} for n, node in enumerate(self.nodes)]

    def viewer(self):
        latest = time.monotonic() + WAIT_LIMIT_S
        while True:
            try:
                self.peers.append(Peer(socket.create_connection(("127.0.0.1", self.running.port)), binary.Reader()))
                return self.peers[-1]
            except ConnectionRefusedError:               # it has not begun to listen
                self.assertLess(time.monotonic(), latest)

    def until(self, done):
        latest = time.monotonic() + WAIT_LIMIT_S
        while not (found := done()):
            self.assertLess(time.monotonic(), latest)
        return found

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.running.pid()}/fd"))

    def test_the_change_log_gets_its_descriptor_when_it_returns(self):
        """Clients that have had their answers, and others that never speak, come in hundreds while discovery is down, and stay."""
        for n in range(IDLE):
            one = self.viewer()
            with contextlib.suppress(ConnectionError):       # it may have been closed for another already
                one.write(set_up(n, title=f"{n:016x}", figures=f"home:{n % 3};copies:1;top:2") if n % 3 else TEST)
            for node in self.nodes:
                for line, message in node.receive():
                    line.write(b"RTSP/1.0 453 X\r\nCSeq: 1\r\nSession: " + message.session.encode() + b"\r\nContent-Length: 0\r\n\r\n")
        self.assertLessEqual(self.descriptors(), SOCKETS)
        self.log.listen(16)
        self.log.settimeout(WAIT_LIMIT_S)
        for number in 1, 2:                              # what it tells is taken in, and asked for no second time
            line, _ = self.log.accept()
            self.addCleanup(line.close)
            line.settimeout(WAIT_LIMIT_S)
            self.assertEqual(line.recv(100), b"since %d\n" % number)
            line.sendall(json.dumps(event(number + 1, *self.members(), whole=True)).encode() + b"\n")
            line.shutdown(socket.SHUT_RDWR)
        self.assertLessEqual(self.descriptors(), SOCKETS)


    def test_every_node_hears_of_the_end_though_there_are_more_of_them_than_descriptors(self):
        """A play stands at each of 120 nodes and there are 22 connections to nodes at the most as the order to stop comes: all are released."""
        viewer = self.viewer()
        viewer.write(*(set_up(n + 1, figures=f"home:{n % 3};copies:1;top:2;at:{node.name}") for n, node in enumerate(self.nodes)), TEST)
        told = {}

        def hear():
            for node in self.nodes:
                for line, message in node.receive():
                    if message.method == "TEARDOWN":
                        told[node.name] = message.session
                    if message.method in ("TEARDOWN", "OPTIONS"):
                        line.write(rtsp.encode_response(200, "OK", message.cseq, message.session))
            for message in viewer.receive():
                if message.kind == binary.RELEASE:
                    viewer.write(binary.encode(binary.RELEASE_ACK, message.session))
                elif message.kind == binary.PONG:
                    return True
            return False
        self.until(hear)
        self.running.process.send_signal(signal.SIGTERM)
        self.until(lambda: hear() or self.running.process.poll() is not None)
        hear()
        self.assertEqual(len(told), len(self.nodes))
        self.assertEqual(self.running.process.returncode, 0)


class Floods(unittest.TestCase):
    def test_thousands_of_set_ups_on_one_connection(self):
        """Each has its refusal or stays one of the bounded open ones; a viewer beside them is served in the turn that it asks in."""
        town = SocketHarness(self)
        flood, good = town.viewer(), town.viewer()
        town.director_stream(flood), town.director_stream(good)
        flood.sock.setblocking(False)
        data, heard = memoryview(b"".join(set_up(n, product="none") for n in range(1, 5001))), []
        served = []
        while data:
            try:
                data = data[flood.sock.send(data):]
            except BlockingIOError:
                pass
            town.turn()
            heard += flood.receive()
            if len(heard) > 1000 and not served:
                served.append(good.write(set_up(9000)))
                town.wait_for_unread(town.director_stream(good), len(set_up(9000)))
                town.turns(2)
                self.assertEqual(len(town.director.controller.plays), 1)
        town.run_until(lambda: heard.extend(flood.receive()) or len(heard) >= 5000)
        self.assertEqual({m.parameters[binary.CAUSE][0] for m in heard}, {95})
        self.assertEqual(len({m.session for m in heard}), 5000)

    def test_one_that_has_spoken_among_many_that_come_at_once(self):
        """More than may be held come in one turn and say nothing; the one that has asked, and is not read yet, is not closed for them."""
        town = SocketHarness(self)
        town.director.listener.max_connections, good = 20, town.viewer()
        good.write(set_up(1))
        for _ in range(40):
            town.viewer()
        line, message = town.wait_for_set_up("a")
        line.write(answer(message.session))
        self.assertEqual([m.kind for m in town.run_until(good.receive)], [binary.ANSWER])

    def test_a_read_that_ends_just_where_what_has_come_ends(self):
        """As much lies there as one read takes, to the byte: nothing more is waited for before the last of it is taken up."""
        town = SocketHarness(self)
        viewer = town.viewer()
        side = town.director_stream(viewer)
        side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        last = set_up(1)
        fill = READ_BYTES - len(last)
        tests = [TEST] * (fill // len(TEST) - 1)
        rest = fill - len(TEST) * len(tests)
        tests.append(binary.encode(binary.PING, "0" * 16, (222, b"\0" * (1 + rest - len(TEST)))))
        viewer.write(b"".join([*tests, last]))
        town.wait_for_unread(side, READ_BYTES)
        town.turns(3)
        self.assertEqual(len(town.director.controller.plays), 1)

    def test_refusals_reach_a_peer_that_reads_slowly(self):
        town = SocketHarness(self)
        viewer = town.viewer()
        side = town.director_stream(viewer)
        viewer.write(b"".join(set_up(n, product="none") for n in range(1, 301)))
        side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        viewer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        town.turns(5)
        heard = []

        def read():
            try:
                viewer.reader.feed(viewer.sock.recv(16))
            except BlockingIOError:
                return False
            while (message := viewer.reader.next()) is not None:
                heard.append(message.session)
            return len(heard) == 300
        town.run_until(read)
        self.assertEqual(len(set(heard)), 300)


if __name__ == "__main__":
    unittest.main()

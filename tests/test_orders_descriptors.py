"""Idle clients, floods and few descriptors: real connections, and a real process with the descriptor limit of its file."""
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
from tests.test_platform_start import WAIT_LIMIT_S, SpawnedDirector, reserve_port

SOCKETS, IDLE_CLIENTS = 64, 150      # 22 of the descriptors are for connections to nodes
PING = binary.encode(binary.PING, "0" * 16, (222, b"\0"))


class DescriptorLimits(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.change_log = reserve_port()
        self.addCleanup(self.change_log.close)
        self.nodes = [Node(f"n{n}") for n in range(120)]
        self.running = SpawnedDirector(pathlib.Path(folder.name), "full", descriptors=SOCKETS, limits={"sockets": SOCKETS}, log_port=self.change_log.getsockname()[1],
                               known={"seq": 1, "results": [event(1, *self.members(), whole=True)]})
        self.addCleanup(self.running.end)
        self.selector = selectors.DefaultSelector()
        self.addCleanup(self.selector.close)
        self.peers = []
        self.addCleanup(lambda: [one.sock.close() for one in [*self.peers, *self.nodes, *(peer for n in self.nodes for peer in n.connections)]])

    def members(self):
        return [member(node.name, node.port, cell=n % 3) | {"host_port": f"127.0.0.1:{node.port}"} for n, node in enumerate(self.nodes)]

    def viewer(self):
        """A new connection of a viewer, once the director listens."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while True:
            try:
                self.peers.append(Peer(socket.create_connection(("127.0.0.1", self.running.port)), binary.Reader()))
                return self.peers[-1]
            except ConnectionRefusedError:               # the director does not listen yet
                self.assertLess(time.monotonic(), deadline)

    def wait_until(self, condition):
        """Waits until the condition holds; returns what it returned."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while not (found := condition()):
            self.assertLess(time.monotonic(), deadline)
        return found

    def descriptors(self):
        """Number of descriptors that the director has open."""
        return len(os.listdir(f"/proc/{self.running.pid()}/fd"))

    def test_the_change_log_gets_its_descriptor_when_it_returns(self):
        """Hundreds of clients, answered ones and others that never send anything, come while the change log is down, and stay connected."""
        for n in range(IDLE_CLIENTS):
            viewer = self.viewer()
            with contextlib.suppress(ConnectionError):       # it may have been closed for another one already
                viewer.write(set_up(n, title=f"{n:016x}", attributes=f"home:{n % 3};copies:1;top:2") if n % 3 else PING)
            for node in self.nodes:
                for connection, message in node.receive():
                    connection.write(b"RTSP/1.0 453 X\r\nCSeq: 1\r\nSession: " + message.session.encode() + b"\r\nContent-Length: 0\r\n\r\n")
        self.assertLessEqual(self.descriptors(), SOCKETS)
        self.change_log.listen(16)
        self.change_log.settimeout(WAIT_LIMIT_S)
        for number in 1, 2:                              # its event is handled, and not requested a second time
            connection, _ = self.change_log.accept()
            self.addCleanup(connection.close)
            connection.settimeout(WAIT_LIMIT_S)
            self.assertEqual(connection.recv(100), b"since %d\n" % number)
            connection.sendall(json.dumps(event(number + 1, *self.members(), whole=True)).encode() + b"\n")
            connection.shutdown(socket.SHUT_RDWR)
        self.assertLessEqual(self.descriptors(), SOCKETS)

    def test_every_node_gets_its_release_where_nodes_outnumber_descriptors(self):
        """A play runs at each of 120 nodes, with at most 22 connections to nodes, as the order to stop comes: all plays are released."""
        viewer = self.viewer()
        viewer.write(*(set_up(n + 1, attributes=f"home:{n % 3};copies:1;top:2;at:{node.name}") for n, node in enumerate(self.nodes)), PING)
        released = {}

        def receive():
            for node in self.nodes:
                for connection, message in node.receive():
                    if message.method == "TEARDOWN":
                        released[node.name] = message.session
                    if message.method in ("TEARDOWN", "OPTIONS"):
                        connection.write(rtsp.encode_response(200, "OK", message.cseq, message.session))
            for message in viewer.receive():
                if message.kind == binary.RELEASE:
                    viewer.write(binary.encode(binary.RELEASE_ACK, message.session))
                elif message.kind == binary.PONG:
                    return True
            return False
        self.wait_until(receive)
        self.running.process.send_signal(signal.SIGTERM)
        self.wait_until(lambda: receive() or self.running.process.poll() is not None)
        receive()
        self.assertEqual(len(released), len(self.nodes))
        self.assertEqual(self.running.process.returncode, 0)


class Floods(unittest.TestCase):
    def test_thousands_of_set_ups_on_one_connection(self):
        """Each is refused or stays one of a bounded number of open ones; another viewer is served in the turn in which it asks."""
        harness = SocketHarness(self)
        flood, good = harness.viewer(), harness.viewer()
        harness.director_stream(flood), harness.director_stream(good)
        flood.sock.setblocking(False)
        data, received = memoryview(b"".join(set_up(n, product="none") for n in range(1, 5001))), []
        served = []
        while data:
            try:
                data = data[flood.sock.send(data):]
            except BlockingIOError:
                pass
            harness.turn()
            received += flood.receive()
            if len(received) > 1000 and not served:
                served.append(good.write(set_up(9000)))
                harness.wait_for_unread(harness.director_stream(good), len(set_up(9000)))
                harness.turns(2)
                self.assertEqual(len(harness.director.controller.plays), 1)
        harness.run_until(lambda: received.extend(flood.receive()) or len(received) >= 5000)
        self.assertEqual({m.parameters[binary.CAUSE][0] for m in received}, {95})
        self.assertEqual(len({m.session for m in received}), 5000)

    def test_a_request_among_many_idle_connections_that_come_at_once(self):
        """More connections than may be open come in one turn and send nothing; the one with an unread request is not closed for them."""
        harness = SocketHarness(self)
        harness.director.listener.max_connections, good = 20, harness.viewer()
        good.write(set_up(1))
        for _ in range(40):
            harness.viewer()
        connection, message = harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        self.assertEqual([m.kind for m in harness.run_until(good.receive)], [binary.ANSWER])

    def test_a_read_that_ends_exactly_at_the_end_of_the_received_data(self):
        """Exactly as much is unread as one read takes: the last of it is handled without waiting for more."""
        harness = SocketHarness(self)
        viewer = harness.viewer()
        stream = harness.director_stream(viewer)
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        last = set_up(1)
        fill = READ_BYTES - len(last)
        pings = [PING] * (fill // len(PING) - 1)
        rest = fill - len(PING) * len(pings)
        pings.append(binary.encode(binary.PING, "0" * 16, (222, b"\0" * (1 + rest - len(PING)))))
        viewer.write(b"".join([*pings, last]))
        harness.wait_for_unread(stream, READ_BYTES)
        harness.turns(3)
        self.assertEqual(len(harness.director.controller.plays), 1)

    def test_refusals_reach_a_peer_that_reads_slowly(self):
        harness = SocketHarness(self)
        viewer = harness.viewer()
        stream = harness.director_stream(viewer)
        viewer.write(b"".join(set_up(n, product="none") for n in range(1, 301)))
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        viewer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        harness.turns(5)
        received = []

        def read():
            try:
                viewer.reader.feed(viewer.sock.recv(16))
            except BlockingIOError:
                return False
            while (message := viewer.reader.next()) is not None:
                received.append(message.session)
            return len(received) == 300
        harness.run_until(read)
        self.assertEqual(len(set(received)), 300)


if __name__ == "__main__":
    unittest.main()

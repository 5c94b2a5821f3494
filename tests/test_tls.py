"""TLS on sockets and in memory: both sides verify certificates, planners and edges over it. Also background tasks within turns."""
import shutil
import ssl
import tempfile
import unittest

from laddergw.lab.test_certificates import CertificateAuthority
from laddergw.loop.memory import MemoryNetwork
from laddergw.loop.sockets import SocketLoop
from laddergw.loop.tls import TlsStream, client_context, common_name, server_context, wrap_accept
from laddergw.planner import plan as plans, wire
from laddergw.planner.peer import Peer
from laddergw.planner.server import Planner
from laddergw.work.scheduler import IDLE, NORMAL, STARVATION_MS, URGENT, Scheduler

KEYS = (("k", b"a key of planners and edges"),)


class Endpoint:
    """Either side's owner: records what it receives; the server's echoes it."""

    def __init__(self, echo=False, first=b""):
        self.echo, self.first, self.data, self.reason, self.name, self.is_closed = echo, first, b"", None, "", False

    def opened(self, stream):
        self.name = common_name(stream.peer)
        if self.first:
            stream.write(self.first)

    def data_received(self, stream, data):
        self.data += data
        if self.echo:
            stream.write(data)

    def write_buffer_drained(self, stream):
        pass

    def closed(self, stream, reason):
        self.reason, self.is_closed = reason, True


class TlsTests(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.authority = CertificateAuthority(self.folder)
        self.server_context = server_context(*self.authority.issue("planner"))

    def exchange(self, loop, run_until, context, name="127.0.0.1", first=b"", address=("127.0.0.1", 0)):
        """Runs one connection; returns the client's and the server's endpoint."""
        client, servers = Endpoint(first=first), []

        def accept(stream):
            servers.append(Endpoint(echo=True))
            return servers[-1]
        listener = loop.listen(address, wrap_accept(accept, self.server_context))
        (loop if not isinstance(loop, tuple) else loop).dial(listener.address, TlsStream(client, context, False, name), 2_000.0)
        run_until(lambda: client.is_closed or first and len(client.data) >= len(first))
        return client, servers[0] if servers else None

    def exchange_on_sockets(self, context, **options):
        loop = SocketLoop()
        self.addCleanup(loop.close)

        def run_until(done):
            deadline = loop.now + 5_000
            while not done() and loop.now < deadline:
                loop.turn()
        return self.exchange(loop, run_until, context, **options)

    def test_both_sides_see_the_name_in_the_other_certificate(self):
        first = bytes(range(256)) * 2_000
        client, server = self.exchange_on_sockets(client_context(*self.authority.issue("edge-1")), first=first)
        self.assertEqual((client.data == first, client.name, server.name, client.is_closed), (True, "planner", "edge-1", False))

    def test_both_sides_in_memory(self):
        network = MemoryNetwork(3)
        host = network.host("h")
        client, server = self.exchange(host, lambda done: network.run(network.now + 200), client_context(*self.authority.issue("edge-1")), first=b"hello" * 10_000, address=("h", 0))
        self.assertEqual((client.data, server.name), (b"hello" * 10_000, "edge-1"))

    def test_refused_certificates(self):
        stranger = CertificateAuthority(self.folder, "stranger")
        without_certificate = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        without_certificate.load_verify_locations(self.authority.file)
        cases = {"expired": client_context(*self.authority.issue("old", since_days=-9, until_days=-1)),
                 "not yet": client_context(*self.authority.issue("early", since_days=3)),
                 "another authority's": client_context(*stranger.issue("edge-2")[:2], self.authority.file), "none": without_certificate}
        for name, context in cases.items():
            with self.subTest(name):
                client, server = self.exchange_on_sockets(context, first=b"x" * 100)
                self.assertEqual((server.data, client.data), (b"", b""))
                self.assertTrue(client.is_closed and server.is_closed and server.reason, (client.reason, server.reason))
        # an edge that does not trust the planner's authority sends it no data
        client, server = self.exchange_on_sockets(client_context(*self.authority.issue("edge-3")[:2], stranger.file), first=b"x")
        self.assertIn("certificate", client.reason)
        self.assertEqual(server.data, b"")
        client, server = self.exchange_on_sockets(client_context(*self.authority.issue("edge-4")), name="10.1.1.1", first=b"x")
        self.assertIn("match", client.reason.lower())

    def test_plain_text_instead_of_a_handshake(self):
        loop = SocketLoop()
        self.addCleanup(loop.close)
        server, client = Endpoint(), Endpoint(first=b"GET / HTTP/1.1\r\n\r\n")
        client.opened = lambda stream: stream.write(client.first)
        listener = loop.listen(("127.0.0.1", 0), wrap_accept(lambda stream: server, self.server_context))
        loop.dial(listener.address, client, 500.0)
        while not (client.is_closed and server.is_closed):
            loop.turn()
        self.assertIn("handshake", server.reason)

    def test_a_planner_refuses_an_edge_whose_name_is_not_in_its_certificate(self):
        """An edge that gives the name of its certificate gets plans; one that gives another name does not."""
        loop = SocketLoop()
        self.addCleanup(loop.close)
        planner = Planner(loop, "p0", ("127.0.0.1", 0), None, KEYS, tls=self.server_context)
        received, closed = [], []

        def edge(name, context):
            peer = Peer(loop, wire.Hello(1, name, wire.EDGE, 0), lambda peer, frame: received.append((name, frame)), lambda peer: peer.send(
                wire.DigestFrame(1, 0, 0.0, {5: (70.0, 1)}, (), {}, (), {}, (), 0, 0.0, 0)), lambda peer, reason: closed.append(name))
            loop.dial(planner.address, TlsStream(peer, context, False, "127.0.0.1"), 1_000.0)
        edge("edge-1.a", client_context(*self.authority.issue("edge-1")))
        edge("edge-9.a", client_context(*self.authority.issue("edge-2")))
        while not any(isinstance(frame, wire.PlanFrame) and plans.unseal(frame.sealed, KEYS).nodes for _, frame in received) or not closed:
            loop.turn()
        self.assertEqual(({name for name, _ in received}, closed), ({"edge-1.a"}, ["edge-9.a"]))


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def steps(clock, ms, count, log, name):
    for _ in range(count):
        clock.now += ms
        log.append(name)
        yield


class SchedulerTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.log, self.done = Clock(), [], []
        self.scheduler = Scheduler(self.clock, 2.0, lambda name, error: self.done.append((name, str(error))), lambda name, ms: self.done.append((name, ms)))

    def add(self, name, ms, count, priority=NORMAL):
        return self.scheduler.add(name, steps(self.clock, ms, count, self.log, name), priority, self.done.append)

    def test_tasks_run_by_priority_within_the_budget(self):
        self.add("idle", 0.5, 100, IDLE)
        self.add("usual", 0.5, 100)
        self.add("urgent", 0.5, 3, URGENT)
        self.assertTrue(self.scheduler.run_turn())
        self.assertEqual(self.log, ["urgent", "urgent", "usual", "usual"])
        self.assertLessEqual(self.scheduler.max_overrun_ms, 0.5)
        self.scheduler.run_turn()
        self.assertEqual(self.done[0].name, "urgent")
        self.assertEqual((self.done[0].steps, self.done[0].work_ms), (4, 1.5))

    def test_a_task_is_queued_once_and_does_not_starve(self):
        self.assertTrue(self.add("keep", 0.1, 2))
        self.assertFalse(self.add("keep", 0.1, 2))
        while self.scheduler.run_turn():
            pass
        self.assertTrue(self.add("keep", 0.1, 1))
        self.add("hungry", 3.0, 10_000, URGENT)
        self.add("idle", 0.1, 1, IDLE)
        while self.clock.now < STARVATION_MS + 200:
            self.scheduler.run_turn()
        self.assertIn("idle", self.log)

    def test_a_task_that_fails_and_one_whose_step_is_too_long(self):
        def failing():
            yield
            raise ValueError("no")
        self.scheduler.add("broken", failing())
        self.add("long", 9.0, 1)
        while self.scheduler.run_turn():
            pass
        self.assertIn(("broken", "no"), self.done)
        self.assertIn(("long", 9.0), self.done)
        self.assertEqual(self.scheduler.pending_count, 0)


if __name__ == "__main__":
    unittest.main()

"""TLS over loops: mutual certificates on sockets and in memory, strangers and expired ones refused; planners and edges over it; background work in turns."""
import shutil
import ssl
import tempfile
import unittest

from laddergw.lab.papers import Authority
from laddergw.loop.memory import MemoryNetwork
from laddergw.loop.sockets import SocketLoop
from laddergw.loop.tls import TlsStream, client_context, common_name, server_context, wrap_accept
from laddergw.planner import plan as plans, wire
from laddergw.planner.peer import Peer
from laddergw.planner.server import Planner
from laddergw.work.scheduler import IDLE, NORMAL, STARVATION_MS, URGENT, Scheduler

KEYS = (("k", b"a key of planners and edges"),)


class End:
    """Either side: keeps what it is told; the server's echoes."""

    def __init__(self, echo=False, first=b""):
        self.echo, self.first, self.data, self.why, self.name, self.ended = echo, first, b"", None, "", False

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

    def closed(self, stream, why):
        self.why, self.ended = why, True


class Secured(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.authority = Authority(self.folder)
        self.server = server_context(*self.authority.issue("planner"))

    def talk(self, loop, step, context, name="127.0.0.1", first=b"", address=("127.0.0.1", 0)):
        """One connection; both ends as they stand afterwards."""
        ours, theirs = End(first=first), []

        def accept(stream):
            theirs.append(End(echo=True))
            return theirs[-1]
        listener = loop.listen(address, wrap_accept(accept, self.server))
        (loop if not isinstance(loop, tuple) else loop).dial(listener.address, TlsStream(ours, context, False, name), 2_000.0)
        step(lambda: ours.ended or first and len(ours.data) >= len(first))
        return ours, theirs[0] if theirs else None

    def on_sockets(self, context, **more):
        loop = SocketLoop()
        self.addCleanup(loop.close)

        def step(done):
            end = loop.now + 5_000
            while not done() and loop.now < end:
                loop.turn()
        return self.talk(loop, step, context, **more)

    def test_both_sides_know_each_other(self):
        first = bytes(range(256)) * 2_000
        ours, theirs = self.on_sockets(client_context(*self.authority.issue("edge-1")), first=first)
        self.assertEqual((ours.data == first, ours.name, theirs.name, ours.ended), (True, "planner", "edge-1", False))

    def test_the_same_in_memory(self):
        world = MemoryNetwork(3)
        host = world.host("h")
        ours, theirs = self.talk(host, lambda done: world.run(world.now + 200), client_context(*self.authority.issue("edge-1")), first=b"hello" * 10_000, address=("h", 0))
        self.assertEqual((ours.data, theirs.name), (b"hello" * 10_000, "edge-1"))

    def test_who_is_refused(self):
        stranger = Authority(self.folder, "stranger")
        no_papers = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        no_papers.load_verify_locations(self.authority.file)
        cases = {"expired": client_context(*self.authority.issue("old", since_days=-9, until_days=-1)),
                 "not yet": client_context(*self.authority.issue("early", since_days=3)),
                 "another authority's": client_context(*stranger.issue("edge-2")[:2], self.authority.file), "none": no_papers}
        for name, context in cases.items():
            with self.subTest(name):
                ours, theirs = self.on_sockets(context, first=b"x" * 100)
                self.assertEqual((theirs.data, ours.data), (b"", b""))
                self.assertTrue(ours.ended and theirs.ended and theirs.why, (ours.why, theirs.why))
        ours, theirs = self.on_sockets(client_context(*self.authority.issue("edge-3")[:2], stranger.file), first=b"x")
        self.assertIn("certificate", ours.why)           # an edge that does not know the planner's authority says nothing to it
        self.assertEqual(theirs.data, b"")
        ours, theirs = self.on_sockets(client_context(*self.authority.issue("edge-4")), name="10.1.1.1", first=b"x")
        self.assertIn("match", ours.why.lower())

    def test_nonsense_in_the_handshake(self):
        loop = SocketLoop()
        self.addCleanup(loop.close)
        theirs, ours = End(), End(first=b"GET / HTTP/1.1\r\n\r\n")
        ours.opened = lambda stream: stream.write(ours.first)
        listener = loop.listen(("127.0.0.1", 0), wrap_accept(lambda stream: theirs, self.server))
        loop.dial(listener.address, ours, 500.0)
        while not (ours.ended and theirs.ended):
            loop.turn()
        self.assertIn("handshake", theirs.why)

    def test_a_planner_over_it(self):
        """An edge with its own name gets plans; one that says another's name does not."""
        loop = SocketLoop()
        self.addCleanup(loop.close)
        planner = Planner(loop, "p0", ("127.0.0.1", 0), None, KEYS, tls=self.server)
        got, ended = [], []

        def edge(name, context):
            peer = Peer(loop, wire.Hello(1, name, wire.EDGE, 0), lambda peer, frame: got.append((name, frame)), lambda peer: peer.send(
                wire.DigestFrame(1, 0, 0.0, {5: (70.0, 1)}, (), {}, (), {}, (), 0, 0.0, 0)), lambda peer, why: ended.append(name))
            loop.dial(planner.address, TlsStream(peer, context, False, "127.0.0.1"), 1_000.0)
        edge("edge-1.a", client_context(*self.authority.issue("edge-1")))
        edge("edge-9.a", client_context(*self.authority.issue("edge-2")))
        while not any(isinstance(frame, wire.PlanFrame) and plans.unseal(frame.sealed, KEYS).nodes for _, frame in got) or not ended:
            loop.turn()
        self.assertEqual(({name for name, _ in got}, ended), ({"edge-1.a"}, ["edge-9.a"]))


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


class Worked(unittest.TestCase):
    def setUp(self):
        self.clock, self.log, self.done = Clock(), [], []
        self.scheduler = Scheduler(self.clock, 2.0, lambda name, error: self.done.append((name, str(error))), lambda name, ms: self.done.append((name, ms)))

    def add(self, name, ms, count, priority=NORMAL):
        return self.scheduler.add(name, steps(self.clock, ms, count, self.log, name), priority, self.done.append)

    def test_priorities_and_what_is_left_of_the_budget(self):
        self.add("idle", 0.5, 100, IDLE)
        self.add("usual", 0.5, 100)
        self.add("urgent", 0.5, 3, URGENT)
        self.assertTrue(self.scheduler.run_turn())
        self.assertEqual(self.log, ["urgent", "urgent", "usual", "usual"])
        self.assertLessEqual(self.scheduler.max_overrun_ms, 0.5)
        self.scheduler.run_turn()
        self.assertEqual(self.done[0].name, "urgent")
        self.assertEqual((self.done[0].steps, self.done[0].work_ms), (4, 1.5))

    def test_a_task_does_not_pile_up_nor_starve(self):
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

    def test_a_task_that_fails_and_one_that_holds_on_too_long(self):
        def broken():
            yield
            raise ValueError("no")
        self.scheduler.add("broken", broken())
        self.add("long", 9.0, 1)
        while self.scheduler.run_turn():
            pass
        self.assertIn(("broken", "no"), self.done)
        self.assertIn(("long", 9.0), self.done)
        self.assertEqual(self.scheduler.pending_count, 0)


if __name__ == "__main__":
    unittest.main()

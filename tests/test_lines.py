"""Lines with faults: the same on sockets and in memory, each fault seen from both ends."""
import unittest

from laddergw.lab import network_fault_script, shrink
from laddergw.lab.network_faults import MAX_QUEUED_BYTES, FaultyLink, FaultyNetwork
from laddergw.loop.memory import MemoryNetwork
from laddergw.loop.sockets import SocketLoop
from laddergw.terms.sexpr import FileRejected
from tests.test_loop import Peer


class World:
    """A client, a line and an echo, on one loop or on three hosts in memory."""

    def __init__(self, case, in_memory):
        self.held, self.told, self.memory = [], [], MemoryNetwork(4) if in_memory else None
        if in_memory:
            self.client, self.relay, self.server = (self.memory.host(name) for name in ("client", "relay", "server"))
            where = [(name, 0) for name in ("relay", "server")]
        else:
            self.client = self.relay = self.server = SocketLoop()
            case.addCleanup(self.client.close)
            where = [("127.0.0.1", 0)] * 2
        listener = self.server.listen(where[1], lambda stream: self.held.append(Peer(echo=True)) or self.held[-1])
        self.line = FaultyLink(self.relay, "a>b", where[0], lambda: listener.address, lambda what, now, **facts: self.told.append((facts["fault"], facts["value"])))
        self.peer = self.dial()

    def dial(self):
        peer, before = Peer(), len(self.held)
        self.client.dial(self.line.address, peer, 1_000)
        self.until(lambda: peer.stream is not None)
        if not (self.line.black_hole or self.line.refusing or self.line.late_ms):
            self.until(lambda: len(self.held) > before)
        return peer

    def until(self, done, ms=2_000):
        if self.memory:
            end = self.memory.now + ms
            while not done() and self.memory.now < end:
                self.memory.run(self.memory.now + 1)
        else:
            end = self.client.clock() + ms
            while not done() and self.client.clock() < end:
                self.client.turn()
        return done()

    def settle(self, ms=60):
        self.until(lambda: False, ms)

    @property
    def now(self):
        return self.memory.now if self.memory else self.client.clock()


class Faults(unittest.TestCase):
    def both(self, act):
        for in_memory in True, False:
            with self.subTest("in memory" if in_memory else "on sockets"):
                act(World(self, in_memory))

    def test_what_goes_through_whole(self):
        def act(world):
            data = bytes(range(256)) * 4_000
            world.peer.stream.write(data)
            self.assertTrue(world.until(lambda: len(world.peer.data) == len(data)))
            self.assertEqual(world.peer.data, data)
            world.peer.stream.close()
            self.assertTrue(world.until(lambda: world.held[0].ends))
            self.assertEqual((world.held[0].ends, world.line.connections), ([None], {}))
        self.both(act)

    def test_cut_one_way_and_both(self):
        def act(world):
            world.peer.stream.write(b"one")
            world.until(lambda: world.peer.data == b"one")
            world.line.fault("cut", "back")
            world.peer.stream.write(b"two")
            self.assertTrue(world.until(lambda: world.held[0].data == b"onetwo"))
            world.settle()
            self.assertEqual((world.peer.data, world.peer.ends), (b"one", []))
            world.line.fault("cut")
            world.peer.stream.write(b"three")
            world.settle()
            self.assertEqual(world.held[0].data, b"onetwo")
            world.line.fault("heal")             # what was cut does not come together again: each end finds its connection ended
            self.assertTrue(world.until(lambda: world.peer.ends and world.held[0].ends))
            again = world.dial()
            again.stream.write(b"four")
            self.assertTrue(world.until(lambda: again.data == b"four"))
            self.assertEqual(world.told, [("cut", "back"), ("cut", None), ("heal", None)])
        self.both(act)

    def test_a_black_hole_accepts_reads_and_says_nothing(self):
        def act(world):
            world.line.fault("hole")
            peer = world.dial()
            peer.stream.write(b"x" * 100_000)
            world.settle(100)
            self.assertEqual((peer.data, peer.ends, peer.stream.queued, len(world.held)), (b"", [], 0, 1))
        self.both(act)

    def test_a_peer_that_stops_reading_is_pushed_back_on(self):
        def act(world):
            world.line.fault("stall", "to")
            world.peer.stream.write(b"y" * 40 * MAX_QUEUED_BYTES)
            world.settle(100)
            self.assertGreater(world.peer.stream.queued, 0)
            self.assertEqual(world.held[0].data, b"")
            world.line.fault("heal")
            self.assertTrue(world.until(lambda: len(world.peer.data) == 40 * MAX_QUEUED_BYTES, 10_000))
        self.both(act)

    def test_delay_and_rate(self):
        def act(world):
            world.line.fault("delay", 40)
            began = world.now
            world.peer.stream.write(b"late")
            self.assertTrue(world.until(lambda: world.peer.data == b"late"))
            self.assertGreaterEqual(world.now - began, 80)
            world.line.fault("heal")
            world.line.fault("rate", 50_000)
            began = world.now
            world.peer.stream.write(b"z" * 10_000)
            self.assertTrue(world.until(lambda: len(world.peer.data) == 10_004, 5_000))
            self.assertGreaterEqual(world.now - began, 200)
        self.both(act)

    def test_a_reset_in_the_middle_of_what_is_sent(self):
        def act(world):
            world.line.fault("reset", 4)
            world.peer.stream.write(b"12345678")
            self.assertTrue(world.until(lambda: world.held[0].ends and world.peer.ends))
            self.assertIn(world.held[0].data, (b"1234", b""))           # (a reset may overtake what was not read)
            self.assertIsNotNone(world.held[0].ends[0])
        self.both(act)

    def test_half_open(self):
        def act(world):
            world.peer.stream.write(b"a")
            world.until(lambda: world.peer.data == b"a")
            world.line.fault("half-open")
            self.assertTrue(world.until(lambda: world.peer.ends))
            world.settle()
            self.assertEqual(world.held[0].ends, [])
            world.line.fault("heal")
            self.assertTrue(world.until(lambda: world.held[0].ends))
        self.both(act)

    def test_late_and_shut(self):
        def act(world):
            world.line.fault("late", 60)
            began, peer = world.now, world.dial()
            peer.stream.write(b"b")
            self.assertTrue(world.until(lambda: peer.data == b"b"))
            self.assertGreaterEqual(world.now - began, 60)
            world.line.fault("shut")
            self.assertTrue(world.until(lambda: peer.ends))
            refused = world.dial()
            self.assertTrue(world.until(lambda: refused.ends))
            self.assertRaises(ValueError, world.line.fault, "rust")
        self.both(act)

    def test_groups(self):
        world, told = MemoryNetwork(5), []
        lines = FaultyNetwork(world.host("relay"), lambda what, now, **facts: told.append(facts["line"]))
        for number, (source, target) in enumerate((("d0", "p0"), ("d0", "p1"), ("d1", "p0"), ("p1", "p0"))):
            lines.add_link(source, target, ("relay", 100 + number), lambda: ("x", 1))
        lines.partition(frozenset(("d0", "p0")), frozenset(("d1", "p1")))
        self.assertEqual(told, ["d0>p1", "d1>p0", "p1>p0"])
        told.clear()
        lines.partition(frozenset(("d0", "p0")), frozenset(("d1",)))         # p1 is in neither and sees all
        self.assertEqual(told, ["d1>p0"])


class Scripts(unittest.TestCase):
    def test_what_is_written_is_what_was_read(self):
        drawn = network_fault_script.schedule(7, ["d0", "d1"], ["p0"], 20_000)
        self.assertGreater(len({fault.what for fault in drawn}), 6)
        self.assertEqual(network_fault_script.read(network_fault_script.write(drawn), "drawn"), drawn)
        self.assertEqual(drawn, network_fault_script.schedule(7, ["d0", "d1"], ["p0"], 20_000))

    def test_a_script_with_faults_is_refused_with_all_of_them(self):
        text = "(lines (fault rust (at 1) (from d0) (to p0) (for 5)) (fault cut (at -1) (from d0) (way up) (for 5) (hue 3)))"
        with self.assertRaises(FileRejected) as refused:
            network_fault_script.read(text, "script")
        told = "\n".join(map(str, refused.exception.faults))
        for key in "rust", "at", "to", "way", "hue":
            self.assertIn(key, told)

    def test_shrinking(self):
        drawn = network_fault_script.schedule(7, ["d0", "d1"], ["p0", "p1"], 30_000)
        needs = {drawn[3], drawn[-2]}
        found = shrink.shrink(drawn, lambda tried: needs <= set(tried), prune=list)
        self.assertEqual(set(found.script), needs)


if __name__ == "__main__":
    unittest.main()

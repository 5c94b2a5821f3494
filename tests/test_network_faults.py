"""Network faults between processes: the same on sockets and in memory, each observed from both ends."""
import unittest

from laddergw.lab import network_fault_script, shrink
from laddergw.lab.network_faults import MAX_QUEUED_BYTES, FaultyLink, FaultyNetwork
from laddergw.loop.memory import MemoryNetwork
from laddergw.loop.sockets import SocketLoop
from laddergw.terms.sexpr import FileRejected
from tests.test_loop import Peer


class LinkHarness:
    """A client, a faulty link and an echo server, on one loop or on three hosts in memory."""

    def __init__(self, case, in_memory):
        self.server_peers, self.faults, self.memory = [], [], MemoryNetwork(4) if in_memory else None
        if in_memory:
            self.client, self.relay, self.server = (self.memory.host(name) for name in ("client", "relay", "server"))
            addresses = [(name, 0) for name in ("relay", "server")]
        else:
            self.client = self.relay = self.server = SocketLoop()
            case.addCleanup(self.client.close)
            addresses = [("127.0.0.1", 0)] * 2
        listener = self.server.listen(addresses[1], lambda stream: self.server_peers.append(Peer(echo=True)) or self.server_peers[-1])
        self.link = FaultyLink(self.relay, "a>b", addresses[0], lambda: listener.address, lambda what, now, **facts: self.faults.append((facts["fault"], facts["value"])))
        self.peer = self.dial()

    def dial(self):
        """Connects a client through the link; waits until the server accepts it, unless a fault prevents that."""
        peer, before = Peer(), len(self.server_peers)
        self.client.dial(self.link.address, peer, 1_000)
        self.run_until(lambda: peer.stream is not None)
        if not (self.link.black_hole or self.link.refusing or self.link.late_ms):
            self.run_until(lambda: len(self.server_peers) > before)
        return peer

    def run_until(self, done, ms=2_000):
        """Runs the loops until a condition holds or the time is over; returns the condition."""
        if self.memory:
            end = self.memory.now + ms
            while not done() and self.memory.now < end:
                self.memory.run(self.memory.now + 1)
        else:
            end = self.client.clock() + ms
            while not done() and self.client.clock() < end:
                self.client.turn()
        return done()

    def run_for(self, ms=60):
        self.run_until(lambda: False, ms)

    @property
    def now(self):
        return self.memory.now if self.memory else self.client.clock()


class LinkFaultTest(unittest.TestCase):
    def run_on_both(self, scenario):
        for in_memory in True, False:
            with self.subTest("in memory" if in_memory else "on sockets"):
                scenario(LinkHarness(self, in_memory))

    def test_data_and_close_pass_without_faults(self):
        def scenario(harness):
            data = bytes(range(256)) * 4_000
            harness.peer.stream.write(data)
            self.assertTrue(harness.run_until(lambda: len(harness.peer.data) == len(data)))
            self.assertEqual(harness.peer.data, data)
            harness.peer.stream.close()
            self.assertTrue(harness.run_until(lambda: harness.server_peers[0].ends))
            self.assertEqual((harness.server_peers[0].ends, harness.link.connections), ([None], {}))
        self.run_on_both(scenario)

    def test_cut_one_way_and_both(self):
        def scenario(harness):
            harness.peer.stream.write(b"one")
            harness.run_until(lambda: harness.peer.data == b"one")
            harness.link.fault("cut", "back")
            harness.peer.stream.write(b"two")
            self.assertTrue(harness.run_until(lambda: harness.server_peers[0].data == b"onetwo"))
            harness.run_for()
            self.assertEqual((harness.peer.data, harness.peer.ends), (b"one", []))
            harness.link.fault("cut")
            harness.peer.stream.write(b"three")
            harness.run_for()
            self.assertEqual(harness.server_peers[0].data, b"onetwo")
            harness.link.fault("heal")             # a cut connection does not resume: each end finds it closed
            self.assertTrue(harness.run_until(lambda: harness.peer.ends and harness.server_peers[0].ends))
            again = harness.dial()
            again.stream.write(b"four")
            self.assertTrue(harness.run_until(lambda: again.data == b"four"))
            self.assertEqual(harness.faults, [("cut", "back"), ("cut", None), ("heal", None)])
        self.run_on_both(scenario)

    def test_black_hole_accepts_and_reads_but_never_answers(self):
        def scenario(harness):
            harness.link.fault("hole")
            peer = harness.dial()
            peer.stream.write(b"x" * 100_000)
            harness.run_for(100)
            self.assertEqual((peer.data, peer.ends, peer.stream.queued, len(harness.server_peers)), (b"", [], 0, 1))
        self.run_on_both(scenario)

    def test_stalled_peer_causes_back_pressure(self):
        def scenario(harness):
            harness.link.fault("stall", "to")
            harness.peer.stream.write(b"y" * 40 * MAX_QUEUED_BYTES)
            harness.run_for(100)
            self.assertGreater(harness.peer.stream.queued, 0)
            self.assertEqual(harness.server_peers[0].data, b"")
            harness.link.fault("heal")
            self.assertTrue(harness.run_until(lambda: len(harness.peer.data) == 40 * MAX_QUEUED_BYTES, 10_000))
        self.run_on_both(scenario)

    def test_delay_and_rate(self):
        def scenario(harness):
            harness.link.fault("delay", 40)
            began = harness.now
            harness.peer.stream.write(b"late")
            self.assertTrue(harness.run_until(lambda: harness.peer.data == b"late"))
            self.assertGreaterEqual(harness.now - began, 80)
            harness.link.fault("heal")
            harness.link.fault("rate", 50_000)
            began = harness.now
            harness.peer.stream.write(b"z" * 10_000)
            self.assertTrue(harness.run_until(lambda: len(harness.peer.data) == 10_004, 5_000))
            self.assertGreaterEqual(harness.now - began, 200)
        self.run_on_both(scenario)

    def test_reset_in_the_middle_of_data(self):
        def scenario(harness):
            harness.link.fault("reset", 4)
            harness.peer.stream.write(b"12345678")
            self.assertTrue(harness.run_until(lambda: harness.server_peers[0].ends and harness.peer.ends))
            self.assertIn(harness.server_peers[0].data, (b"1234", b""))           # a reset may overtake unread data
            self.assertIsNotNone(harness.server_peers[0].ends[0])
        self.run_on_both(scenario)

    def test_half_open(self):
        def scenario(harness):
            harness.peer.stream.write(b"a")
            harness.run_until(lambda: harness.peer.data == b"a")
            harness.link.fault("half-open")
            self.assertTrue(harness.run_until(lambda: harness.peer.ends))
            harness.run_for()
            self.assertEqual(harness.server_peers[0].ends, [])
            harness.link.fault("heal")
            self.assertTrue(harness.run_until(lambda: harness.server_peers[0].ends))
        self.run_on_both(scenario)

    def test_late_dial_and_closed_link(self):
        def scenario(harness):
            harness.link.fault("late", 60)
            began, peer = harness.now, harness.dial()
            peer.stream.write(b"b")
            self.assertTrue(harness.run_until(lambda: peer.data == b"b"))
            self.assertGreaterEqual(harness.now - began, 60)
            harness.link.fault("shut")
            self.assertTrue(harness.run_until(lambda: peer.ends))
            refused = harness.dial()
            self.assertTrue(harness.run_until(lambda: refused.ends))
            self.assertRaises(ValueError, harness.link.fault, "rust")
        self.run_on_both(scenario)

    def test_partition_between_groups(self):
        network, cut_links = MemoryNetwork(5), []
        links = FaultyNetwork(network.host("relay"), lambda what, now, **facts: cut_links.append(facts["line"]))
        for number, (source, target) in enumerate((("d0", "p0"), ("d0", "p1"), ("d1", "p0"), ("p1", "p0"))):
            links.add_link(source, target, ("relay", 100 + number), lambda: ("x", 1))
        links.partition(frozenset(("d0", "p0")), frozenset(("d1", "p1")))
        self.assertEqual(cut_links, ["d0>p1", "d1>p0", "p1>p0"])
        cut_links.clear()
        links.partition(frozenset(("d0", "p0")), frozenset(("d1",)))         # p1 is in no group and reaches all
        self.assertEqual(cut_links, ["d1>p0"])


class NetworkFaultScriptTest(unittest.TestCase):
    def test_written_script_is_read_back(self):
        drawn = network_fault_script.schedule(7, ["d0", "d1"], ["p0"], 20_000)
        self.assertGreater(len({fault.what for fault in drawn}), 6)
        self.assertEqual(network_fault_script.read(network_fault_script.write(drawn), "drawn"), drawn)
        self.assertEqual(drawn, network_fault_script.schedule(7, ["d0", "d1"], ["p0"], 20_000))

    def test_faulty_script_is_rejected_with_all_faults(self):
        text = "(lines (fault rust (at 1) (from d0) (to p0) (for 5)) (fault cut (at -1) (from d0) (way up) (for 5) (hue 3)))"
        with self.assertRaises(FileRejected) as rejected:
            network_fault_script.read(text, "script")
        messages = "\n".join(map(str, rejected.exception.faults))
        for key in "rust", "at", "to", "way", "hue":
            self.assertIn(key, messages)

    def test_shrinking(self):
        drawn = network_fault_script.schedule(7, ["d0", "d1"], ["p0", "p1"], 30_000)
        essential = {drawn[3], drawn[-2]}
        found = shrink.shrink(drawn, lambda candidate: essential <= set(candidate), prune=list)
        self.assertEqual(set(found.script), essential)


if __name__ == "__main__":
    unittest.main()

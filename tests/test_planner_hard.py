"""Planners in failure cases, in memory: paused and resumed, restarted with an older store, two leaders at once, a slow reader of plans, a full store."""
import logging
import os
import shutil
import tempfile
import unittest

from laddergw.loop.memory import MemoryNetwork
from laddergw.planner import plan as plans, program, wire
from laddergw.planner.plan import LEASE_MS, FollowedPlan
from laddergw.planner.peer import Peer
from laddergw.planner.server import PLAN_INTERVAL_MS, Planner
from laddergw.planner.standby import LEADS, STANDS_BY
from laddergw.store.planner_store import StoreFullError, Store

KEYS = (("k", b"a key of planners and edges"),)


class Edge:
    """The planner's side of an edge: sends digests, receives plans, follows them by the real rules."""

    def __init__(self, world, name, planners, reads=True):
        self.host, self.name, self.planners, self.reads = world.host(name), name, planners, reads
        self.followed, self.plans, self.digest_numbers, self.peers = FollowedPlan(), [], {}, {}
        for address in planners:
            self.connect(address)
        self.host.call_later(250, self.send_digests)

    def connect(self, address):
        peer = self.peers[address] = Peer(self.host, wire.Hello(1, self.name, wire.EDGE, self.followed.highest_rank[0]), self.frame_received, lambda peer: None,
                                          lambda peer, why: self.host.call_later(500, lambda: self.connect(address)))
        self.host.dial(address, peer, 500)

    def frame_received(self, peer, frame):
        if isinstance(frame, wire.PlanFrame):
            if self.reads:
                peer.send(wire.Credit(1))
            plan = plans.unseal(frame.sealed, KEYS)
            self.plans.append((self.host.now, plan.rank, self.followed.offer(plan, self.host.now)))

    def send_digests(self):
        self.digest_numbers[0] = self.digest_numbers.get(0, 0) + 1
        for peer in self.peers.values():
            if peer.remote is not None and not peer.is_closed:
                peer.send(wire.DigestFrame(self.digest_numbers[0], 0, self.host.now, {1: (100.0, 2)}, (), {"x": self.digest_numbers[0]}, ((7, 1.0, 0.0),), {}, (),
                                            self.followed.plan.epoch if self.followed.plan else 0, self.host.now - self.followed.received_ms, self.followed.highest_rank[0]))
        self.host.call_later(250, self.send_digests)


class PlannerFailuresTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.world, self.events = MemoryNetwork(5), []

    def start_planner(self, name, store=None, leads=True, others=()):
        host = self.world.host(name)
        made = Planner(host, f"{name}.1", (name, 1), store, KEYS, leads, tuple((other, 1) for other in others), seed=len(name) + ord(name[-1]),
                       watch=lambda what, **facts: self.events.append((name, what, facts)), clock=lambda: host.now)
        return made

    def run_for(self, ms):
        self.world.run(self.world.now + ms)

    def store(self, name="store", **more):
        return Store(os.path.join(self.folder, name), **more)

    def test_a_leader_paused_for_ten_seconds(self):
        """A standby takes over; no edge accepts the late plans of the paused planner, and it becomes a standby."""
        first = self.start_planner("p", self.store())
        second = self.start_planner("q", None, False, ("p",))
        second.store_path = os.path.join(self.folder, "store")
        edges = [Edge(self.world, f"e{k}", (("p", 1), ("q", 1))) for k in range(3)]
        self.run_for(4_000)
        self.assertEqual({edge.followed.highest_rank[:2] for edge in edges}, {(1, "p.1")})
        self.world.hosts["p"].freeze(10_000)
        self.run_for(9_000)
        self.assertEqual(({edge.followed.highest_rank[1] for edge in edges}, second.standby.state), ({"q.1"}, LEADS))
        self.run_for(6_000)
        self.assertEqual((first.standby.state, second.standby.state), (STANDS_BY, LEADS))
        for edge in edges:
            self.assertEqual(edge.followed.current(edge.host.now).planner, "q.1")
            accepted = [rank for _, rank, is_accepted in edge.plans if is_accepted]
            self.assertEqual(accepted, sorted(accepted))
        self.assertIn(("p", "fenced"), [event[:2] for event in self.events])

    def test_a_planner_restarted_with_an_older_store(self):
        """Its epoch is below that of the plans that edges followed: it learns of that from the edges, and takes a higher one."""
        store = self.store()
        copy = os.path.join(self.folder, "older")
        store.append([b"\x93\x80\x90\x00"])
        shutil.copy(store.path, copy)
        for _ in range(6):
            store.take_epoch(1)
        first = self.start_planner("p", store)
        edge = Edge(self.world, "e", (("p", 1), ("q", 1)))
        self.run_for(3_000)
        self.assertEqual(edge.followed.highest_rank[0], 7)
        self.world.hosts["p"].kill()
        first.store.close()
        older = self.start_planner("q", Store(copy))
        self.assertLess(older.store.epoch, 7)
        self.run_for(7_000)
        self.assertTrue(edge.followed.highest_rank[0] > 7 and edge.followed.current(edge.host.now).planner == "q.1", edge.followed.highest_rank)

    def test_two_leaders_with_one_epoch(self):
        """Two planners on two stores under one epoch: every edge follows the same one of them."""
        self.start_planner("p", self.store("a"))
        self.start_planner("q", self.store("b"))
        edges = [Edge(self.world, f"e{k}", (("p", 1), ("q", 1)) if k % 2 else (("q", 1), ("p", 1))) for k in range(4)]
        self.run_for(6_000)
        self.assertEqual(len({edge.followed.current(edge.host.now).planner for edge in edges}), 1)
        alone = Edge(self.world, "far", (("q", 1),))
        self.run_for(2_000)
        self.assertIsNotNone(alone.followed.current(alone.host.now))

    def test_plans_wait_for_credit(self):
        """An edge that gives no credit gets no more plans than its first credit, and the newest plan once it gives some."""
        planner = self.start_planner("p", None)
        slow, quick = Edge(self.world, "slow", (("p", 1),), reads=False), Edge(self.world, "quick", (("p", 1),))
        self.run_for(20 * PLAN_INTERVAL_MS)
        self.assertEqual(len(slow.plans), wire.PLAN_CREDIT)
        self.assertGreater(len(quick.plans), 15)
        next(iter(slow.peers.values())).send(wire.Credit(1))
        self.run_for(10)
        self.assertEqual(slow.plans[-1][1], quick.plans[-1][1])
        self.assertEqual(planner.standby.state, LEADS)

    def test_a_full_store_stops_no_plan(self):
        store = self.store(max_bytes=40_960)
        planner = self.start_planner("p", store)
        for size in (3_000, 300, 30, 3):
            with self.assertRaises(StoreFullError):
                for _ in range(1_000):
                    store.append([b"x" * size])
        edge = Edge(self.world, "e", (("p", 1),))
        self.run_for(8_000)
        self.assertIn(("p", "store fault"), [event[:2] for event in self.events])
        self.assertIsNotNone(edge.followed.current(edge.host.now))
        self.assertLess(edge.host.now - edge.plans[-1][0], LEASE_MS)
        self.assertEqual(planner.standby.state, LEADS)

    def test_keys_of_a_reloaded_file(self):
        """The keys of a valid file sign the next plan; a rejected file changes nothing and is logged."""
        path = os.path.join(self.folder, "p.scm")

        def write(keys):
            with open(path, "w") as stream:
                stream.write(f'(planner (name p0) (listen "127.0.0.1" 0) (leads) (other "127.0.0.1" 9) {keys})')
        write('(key k "a key of planners and edges")')
        file = program.read_file(path)
        self.assertEqual((file.name, file.leads, file.others, file.store), ("p0", True, (("127.0.0.1", 9),), None))
        planner, logged = self.start_planner("p", None), []
        log = type("Log", (), {"info": lambda self, what, **facts: logged.append(what), "error": lambda self, what, **facts: logged.append(what)})()
        write('(key n "the next key of planners") (key k "a key of planners and edges")')
        program.reload_file(path, planner, log)
        self.assertEqual([name for name, _ in planner.keys], ["n", "k"])
        for bad in ('(key n "short")', "(kei n)", ""):
            write(bad)
            program.reload_file(path, planner, log)
        self.assertEqual(([name for name, _ in planner.keys], logged), (["n", "k"], ["keys changed"] + ["file refused"] * 3))

    def test_state_after_a_restart(self):
        """Arrival counts, hot titles and the version continue from the store; an edge sees no step back."""
        first = self.start_planner("p", self.store())
        edge = Edge(self.world, "e", (("p", 1),))
        self.run_for(10_000)
        counted, version = first.view.arrivals()["x"], first.version
        self.world.hosts["p"].kill()
        first.store.close()
        second = self.start_planner("p", self.store())
        self.assertTrue(second.version >= version - 4 and second.hot_titles.top(1)[0].title == 7 and second.past_arrivals["x"] >= counted - 6)
        self.run_for(4_000)
        self.assertEqual(edge.followed.highest_rank[0], 2)

    def test_a_peer_with_another_version_or_role_is_disconnected(self):
        planner = self.start_planner("p", None)
        ended = []
        for number, hello in enumerate((wire.Hello(2, "a", wire.EDGE, 0), wire.Hello(1, "b", wire.STANDBY, 0))):
            host = self.world.host(f"h{number}")
            peer = Peer(host, hello, lambda peer, frame: None, lambda peer: peer.send(wire.DigestFrame(1, 0, 0.0, {}, (), {}, (), {}, (), 0, 0.0, 0)), lambda peer, why: ended.append(why))
            host.dial(("p", 1), peer, 500)
        self.run_for(500)
        self.assertEqual(len(ended), 2)
        self.assertEqual(planner.view.edges, {})


if __name__ == "__main__":
    unittest.main()

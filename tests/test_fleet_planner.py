"""The fleet's audit at planners: one keeps the journal at a time; rehearsed in memory, with a judge that sees each mistake put in on purpose."""
import json
import logging
import os
import shutil
import tempfile
import unittest
from types import SimpleNamespace
from unittest import mock

from laddergw.fleet import answers, versions
from laddergw.fleet.fleet_log import FleetLog
from laddergw.fleet.rights import Right
from laddergw.fleet.action_counts import ADMITTED, Key, ActionCounts
from laddergw.fleet.state_reports import Part, ReportedState
from laddergw.fleet.wanted import Rollout
from laddergw.edge.front import EdgeFront
from laddergw.lab import fleet_stage
from laddergw.lab.deployment_model import build_deployment
from laddergw.lab.script import bad_day
from laddergw.loop.memory import MemoryNetwork
from laddergw.planner import auditing, wire
from laddergw.planner.digests import Digest
from laddergw.planner.planner_client import PlannerClient
from laddergw.planner.peer import Peer
from laddergw.planner.server import Planner
from laddergw.programme import rules as programmes
from laddergw.programme.rules import Programme
from laddergw.store.planner_store import Store, StoreError
from laddergw.terms.loading import load
from tests.test_fleet import STANDS
from tests.test_programme import GOOD
from tests.in_memory_cluster import Cluster


class AtThePlanner(unittest.TestCase):
    def test_a_part_on_a_digest_without_its_base(self):
        """Rehearsed: an older connection's end took the base away under the next one; the digest was asked for again, its part of the audit was lost."""
        world, back, stamps = MemoryNetwork(3), [], ActionCounts()
        planner = Planner(world.host("p0"), "p0.1", ("p0", 8300), None, (("lab", b"key of the planners"),), clock=lambda: world.now)
        stamps.set_in_force(STANDS[0], world.now)
        stamps.record("v", "safe", "", ADMITTED, world.now)
        peer = Peer(world.host("d0"), wire.Hello(wire.VERSION, "d0-1", wire.EDGE, 0), lambda peer, frame: back.append(frame), lambda peer: None, lambda peer, why: None)
        world.hosts["d0"].dial(("p0", 8300), peer, 500.0)
        world.run(world.now + 50)
        peer.send(wire.to_frame(Digest("d0-1", 9, world.now, {}, {}, (), {}, ()), wire.DeltaBase(8, {}), audit=ReportedState().next_part(stamps)))
        world.run(world.now + 50)
        self.assertIn(wire.Again(9), back)
        self.assertEqual(answers.total_counts(planner.auditor.fleet_log), {("d0-1", STANDS[0].id, "safe", ADMITTED): 1})

    def test_one_planner_at_a_time_keeps_the_journal(self):
        """Rehearsed: one that was fenced out was asked, and did not know what its successor had been told; and one that takes the store back must read it first."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = os.path.join(folder.name, "store")
        keepers, stamps = [], ActionCounts()

        def keeper():
            made = auditing.Auditor(MemoryNetwork(1).host("p"), self.guarded)
            made.load_journal(Store(path))
            self.addCleanup(made.ledger.store.db.close)
            keepers.append(made)
            return made
        first = keeper()
        stamps.set_in_force(STANDS[0], 1.0)
        stamps.record("v", "safe", "", ADMITTED, 2.0)
        first.fleet_log.merge("d0-1", ReportedState().next_part(stamps), 2.0, 2.0)
        list(first.write_journal(()))
        second = keeper()
        self.assertEqual([one.owns_journal() for one in keepers], [False, True])
        stamps.acknowledge(2)
        stamps.record("w", "safe", "", ADMITTED, 3.0)
        stamps.set_in_force(STANDS[1], 4.0)
        second.fleet_log.merge("d0-1", ReportedState().next_part(stamps), 4.0, 4.0)
        list(second.write_journal(()))
        stamps.acknowledge(second.fleet_log.acknowledged("d0-1"))
        self.assertEqual(len(stamps.turns), 1)                           # what only the second was told, nobody tells again
        first.fleet_log.merge("d0-1", ReportedState().next_part(stamps), 5.0, 5.0)
        self.assertFalse(json.loads(first.answer_question(wire.Ask("verify")))["kept"])
        self.assertTrue(json.loads(first.answer_question(wire.Ask("versions")))["not_known"])
        list(first.write_journal(()))                                             # fenced: nothing is written, nothing acknowledged
        first.ledger.store.take_epoch(9)
        first.load_journal(first.ledger.store)
        list(first.write_journal(()))
        self.assertEqual([one.owns_journal() for one in keepers], [True, False])
        self.assertEqual(sum(answers.total_counts(first.fleet_log).values()), 2)
        self.assertEqual(first.ledger.verify().faults, ())

    def test_each_change_is_another_stand_and_the_way_back_the_same(self):
        """Reviewed: an edge whose programme rules were read again told nobody, and went on under the stand of before."""
        town = Cluster(director_class=EdgeFront)
        edge = town.directors[0]
        audit = PlannerClient(edge, ()).audit
        stands, rules = [audit.action_counts.current_id], programmes.read(GOOD)
        limits, house = load(b"(limits (defaults (attempts 2)))", "own", edge.house).limits, edge.house
        usual = edge.limits
        for there, back in ((lambda: edge.change_programme(rules), lambda: edge.change_programme(Programme({}, ()))),
                            (lambda: edge.change_limits(limits), lambda: edge.change_limits(usual)),
                            (lambda: edge.change_keys((("new", b"another key of the town"), *house.keys), frozenset()), lambda: edge.change_keys(house.keys, house.retired)),
                            (lambda: town.list_node(2, "draining"), lambda: town.list_node(2, "ready"))):
            for act in there, back:
                act()
                town.run(100)
                stands.append(audit.action_counts.current_id)
        self.assertEqual(len(set(stands)), 5)
        self.assertEqual(set(stands[::2]), {stands[0]})

    def keeper(self, path, **bounds):
        made = auditing.Auditor(MemoryNetwork(1).host("p"), self.guarded)
        made.load_journal(Store(path, **bounds))
        self.addCleanup(made.ledger.store.db.close)
        return made

    def test_a_journal_that_was_set_back_says_what_it_lacks(self):
        """A restored backup: directors have dropped what the planner of before acknowledged."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path, stamps = os.path.join(folder.name, "store"), ActionCounts()
        keeper, told = self.keeper(path), ReportedState()
        for n in range(6):
            stamps.set_in_force(STANDS[n], float(n))
            stamps.record("v", "safe", "", ADMITTED, float(n))
            keeper.fleet_log.merge("d0-1", told.next_part(stamps), float(n), float(n))
            list(keeper.write_journal(()))
            stamps.acknowledge(keeper.fleet_log.acknowledged("d0-1"))
            if n == 2:
                shutil.copy(path, path + ".backup")
        self.assertEqual(answers.list_unknown(keeper.fleet_log, 6.0), [])
        back = self.keeper(path + ".backup")
        back.fleet_log.merge("d0-1", ReportedState().next_part(stamps), 7.0, 7.0)
        self.assertIn("its turns 4 to 5 are missing here", answers.list_unknown(back.fleet_log, 7.0)[0])
        self.assertEqual(answers.total_counts(back.fleet_log)["d0-1", STANDS[5].id, "safe", ADMITTED], 1)

    def test_a_full_disk_acknowledges_nothing_and_loses_nothing(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        stamps, told = ActionCounts(), ReportedState()
        keeper = self.keeper(os.path.join(folder.name, "store"), max_bytes=65_536)
        said, full = [], 0
        for n in range(120):
            stamps.set_in_force(versions.version_set([versions.version(versions.LIMITS, [f"limits {n}"] * 50, "an issuer with a long name " * 20)]), float(n))
            stamps.record("v", "safe", "", ADMITTED, float(n))
            keeper.fleet_log.merge("d0-1", told.next_part(stamps), float(n), float(n))
            list(keeper.write_journal([self.edge("d0-1", said)]))
            full += bool(keeper.fleet_log.changed)
            if said:
                stamps.acknowledge(said[-1])
        self.assertGreater(full, 10)
        self.assertEqual(said, sorted(said))
        on_disk = FleetLog()
        for record in keeper.ledger.records():
            for one in auditing.decode_record(record):
                on_disk.restore(one)
        self.assertLessEqual(said[-1], max(on_disk.processes["d0-1"].turns))
        self.assertLessEqual(stamps.turns[0].number, said[-1] + 1)       # what is not on the disk is still at the director
        keeper.ledger.store.db.execute("PRAGMA max_page_count = 100000").fetchall()
        list(keeper.write_journal([self.edge("d0-1", said)]))
        self.assertEqual((said[-1], keeper.fleet_log.changed), (120, {}))
        self.assertEqual(sum(answers.total_counts(keeper.fleet_log).values()), 120)

    def edge(self, name, said):
        return SimpleNamespace(other=wire.Hello(wire.VERSION, name, wire.EDGE, 0), send=lambda frame: said.append(frame.turn))

    def guarded(self, write):
        try:
            write()
            return True
        except StoreError:
            return False

    def test_a_part_that_makes_no_sense_ends_its_connection_alone(self):
        world, ends = MemoryNetwork(3), []
        planner = Planner(world.host("p0"), "p0.1", ("p0", 8300), None, (("lab", b"key of the planners"),), clock=lambda: world.now)
        peers = [Peer(world.host(f"d{n}"), wire.Hello(wire.VERSION, f"d{n}-1", wire.EDGE, 0), lambda peer, frame: None, lambda peer: None, lambda peer, why: ends.append(peer)) for n in (0, 1)]
        for n, peer in enumerate(peers):
            world.hosts[f"d{n}"].dial(("p0", 8300), peer, 500.0)
        world.run(world.now + 50)
        peers[0].send(wire.to_frame(Digest("d0-1", 1, 1.0, {}, {}, (), {}, ()), None, audit=Part(untold=-1)))
        world.run(world.now + 50)
        self.assertEqual((ends, len(planner.peers), planner.auditor.fleet_log.processes), ([peers[0]], 1, {}))


class Rehearsed(unittest.TestCase):
    """Edges, planners and lines that fail in memory; and directors, planners and lines with a mistake, which the judge must see."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, seed=1, seconds=12, kills=5):
        the_plant = build_deployment(seed, directors=4, nodes=12, rate=12, seconds=seconds)
        stage = fleet_stage.FleetStage(the_plant, bad_day(the_plant), kills=kills)
        stage.run()
        return stage

    def test_every_count_as_the_directors_counted_themselves(self):
        stage = self.play()
        self.assertEqual(stage.verdict, [])
        self.assertGreater(stage.facts["actions"], 500)
        self.assertGreater(stage.facts["faults"], 10)
        self.assertLessEqual(stage.facts["turns kept"], 8)               # what planners keep, directors drop

    def test_mistakes_are_seen(self):
        merge, part, write_journal = FleetLog.merge, ReportedState.next_part, auditing.Auditor.write_journal

        def doubled(book, name, told, at, now):
            had = dict(book.processes[name].counts) if name in book.processes else {}
            new = merge(book, name, told, at, now)
            for row in told.counts:
                if had.get(Key(*row[:4]), 0) >= row[4]:
                    book.processes[name].counts[Key(*row[:4])] += 1
            return new

        def unheard(told, stamps, alone_ms=0.0):
            if not told.turn:                                            # a new line begins with what is new, as if the last had told all
                told.counts = {number: dict(mine) for number, mine in stamps.counts.items()}
            return part(told, stamps, alone_ms)

        def hasty(self, peers):
            yield
            for peer in list(peers):
                if self.ledger is not None and peer.remote is not None and (process := self.fleet_log.processes.get(peer.remote.name)):
                    peer.send(wire.Kept(max(process.turns, default=1)))
            if len(self.fleet_log.changed) < 3:
                yield from write_journal(self, [])

        def forgetful(self, peers):
            if self.ledger is not None and self.ledger.number % 3 == 1:
                self.ledger.store.db.execute("DELETE FROM ledger WHERE number = (SELECT max(number) FROM ledger)")
            yield from write_journal(self, peers)
        for seed, target, name, mistake in ((3, Right, "refusal_reason", lambda right, stand, now: None), (2, Rollout, "halt_reason", lambda *given: None)):
            with self.subTest(name), mock.patch.object(target, name, mistake):
                self.assertNotEqual(self.play(seed, 36, 3).verdict, [])
        for target, name, mistake in ((FleetLog, "merge", doubled), (ReportedState, "next_part", unheard), (auditing.Auditor, "write_journal", hasty), (auditing.Auditor, "write_journal", forgetful)):
            with self.subTest(mistake.__name__), mock.patch.object(target, name, mistake):
                self.assertNotEqual(self.play().verdict, [])


if __name__ == "__main__":
    unittest.main()

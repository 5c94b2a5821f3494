"""The fleet's audit at planners: one keeps the journal at a time; rehearsals in memory, whose checks must find each deliberate mistake."""
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
from tests.test_fleet import VERSION_SETS
from tests.test_programme import GOOD
from tests.in_memory_cluster import Cluster


class PlannerAudit(unittest.TestCase):
    def test_the_audit_part_of_a_digest_without_its_base_is_kept(self):
        """Guards against losing the audit part of a digest that is requested again: the end of an older connection removed the base of the next one."""
        world, back, actions = MemoryNetwork(3), [], ActionCounts()
        planner = Planner(world.host("p0"), "p0.1", ("p0", 8300), None, (("lab", b"key of the planners"),), clock=lambda: world.now)
        actions.set_in_force(VERSION_SETS[0], world.now)
        actions.record("v", "safe", "", ADMITTED, world.now)
        peer = Peer(world.host("d0"), wire.Hello(wire.VERSION, "d0-1", wire.EDGE, 0), lambda peer, frame: back.append(frame), lambda peer: None, lambda peer, why: None)
        world.hosts["d0"].dial(("p0", 8300), peer, 500.0)
        world.run(world.now + 50)
        peer.send(wire.to_frame(Digest("d0-1", 9, world.now, {}, {}, (), {}, ()), wire.DeltaBase(8, {}), audit=ReportedState().next_part(actions)))
        world.run(world.now + 50)
        self.assertIn(wire.Again(9), back)
        self.assertEqual(answers.total_counts(planner.auditor.fleet_log), {("d0-1", VERSION_SETS[0].id, "safe", ADMITTED): 1})

    def test_one_planner_at_a_time_keeps_the_journal(self):
        """Guards against answers of a fenced planner that does not know what its successor was told, and against one that takes the store back without reading it first."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = os.path.join(folder.name, "store")
        auditors, actions = [], ActionCounts()

        def open_auditor():
            made = auditing.Auditor(MemoryNetwork(1).host("p"), self.guarded)
            made.load_journal(Store(path))
            self.addCleanup(made.ledger.store.db.close)
            auditors.append(made)
            return made
        first = open_auditor()
        actions.set_in_force(VERSION_SETS[0], 1.0)
        actions.record("v", "safe", "", ADMITTED, 2.0)
        first.fleet_log.merge("d0-1", ReportedState().next_part(actions), 2.0, 2.0)
        list(first.write_journal(()))
        second = open_auditor()
        self.assertEqual([one.owns_journal() for one in auditors], [False, True])
        actions.acknowledge(2)
        actions.record("w", "safe", "", ADMITTED, 3.0)
        actions.set_in_force(VERSION_SETS[1], 4.0)
        second.fleet_log.merge("d0-1", ReportedState().next_part(actions), 4.0, 4.0)
        list(second.write_journal(()))
        actions.acknowledge(second.fleet_log.acknowledged("d0-1"))
        self.assertEqual(len(actions.turns), 1)                           # what only the second was told is not reported again
        first.fleet_log.merge("d0-1", ReportedState().next_part(actions), 5.0, 5.0)
        self.assertFalse(json.loads(first.answer_question(wire.Ask("verify")))["kept"])
        self.assertTrue(json.loads(first.answer_question(wire.Ask("versions")))["not_known"])
        list(first.write_journal(()))                                             # fenced: nothing is written or acknowledged
        first.ledger.store.take_epoch(9)
        first.load_journal(first.ledger.store)
        list(first.write_journal(()))
        self.assertEqual([one.owns_journal() for one in auditors], [True, False])
        self.assertEqual(sum(answers.total_counts(first.fleet_log).values()), 2)
        self.assertEqual(first.ledger.verify().faults, ())

    def test_each_change_is_another_version_set_and_its_reversal_the_same(self):
        """Guards against an edge that reloads its programme rules, reports nothing and goes on under the previous version set."""
        cluster = Cluster(director_class=EdgeFront)
        edge = cluster.directors[0]
        audit = PlannerClient(edge, ()).audit
        set_ids, rules = [audit.action_counts.current_id], programmes.read(GOOD)
        limits, house = load(b"(limits (defaults (attempts 2)))", "own", edge.house).limits, edge.house
        usual = edge.limits
        for there, back in ((lambda: edge.change_programme(rules), lambda: edge.change_programme(Programme({}, ()))),
                            (lambda: edge.change_limits(limits), lambda: edge.change_limits(usual)),
                            (lambda: edge.change_keys((("new", b"another key of the town"), *house.keys), frozenset()), lambda: edge.change_keys(house.keys, house.retired)),
                            (lambda: cluster.list_node(2, "draining"), lambda: cluster.list_node(2, "ready"))):
            for act in there, back:
                act()
                cluster.run(100)
                set_ids.append(audit.action_counts.current_id)
        self.assertEqual(len(set(set_ids)), 5)
        self.assertEqual(set(set_ids[::2]), {set_ids[0]})

    def open_auditor(self, path, **bounds):
        made = auditing.Auditor(MemoryNetwork(1).host("p"), self.guarded)
        made.load_journal(Store(path, **bounds))
        self.addCleanup(made.ledger.store.db.close)
        return made

    def test_a_restored_journal_reports_what_it_lacks(self):
        """After a backup is restored, the directors have dropped what the earlier planner acknowledged."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path, actions = os.path.join(folder.name, "store"), ActionCounts()
        auditor, reported = self.open_auditor(path), ReportedState()
        for n in range(6):
            actions.set_in_force(VERSION_SETS[n], float(n))
            actions.record("v", "safe", "", ADMITTED, float(n))
            auditor.fleet_log.merge("d0-1", reported.next_part(actions), float(n), float(n))
            list(auditor.write_journal(()))
            actions.acknowledge(auditor.fleet_log.acknowledged("d0-1"))
            if n == 2:
                shutil.copy(path, path + ".backup")
        self.assertEqual(answers.list_unknown(auditor.fleet_log, 6.0), [])
        back = self.open_auditor(path + ".backup")
        back.fleet_log.merge("d0-1", ReportedState().next_part(actions), 7.0, 7.0)
        self.assertIn("its turns 4 to 5 are missing here", answers.list_unknown(back.fleet_log, 7.0)[0])
        self.assertEqual(answers.total_counts(back.fleet_log)["d0-1", VERSION_SETS[5].id, "safe", ADMITTED], 1)

    def test_a_full_disk_acknowledges_nothing_and_loses_nothing(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        actions, reported = ActionCounts(), ReportedState()
        auditor = self.open_auditor(os.path.join(folder.name, "store"), max_bytes=65_536)
        acknowledged, full = [], 0
        for n in range(120):
            actions.set_in_force(versions.version_set([versions.version(versions.LIMITS, [f"limits {n}"] * 50, "an issuer with a long name " * 20)]), float(n))
            actions.record("v", "safe", "", ADMITTED, float(n))
            auditor.fleet_log.merge("d0-1", reported.next_part(actions), float(n), float(n))
            list(auditor.write_journal([self.edge("d0-1", acknowledged)]))
            full += bool(auditor.fleet_log.changed)
            if acknowledged:
                actions.acknowledge(acknowledged[-1])
        self.assertGreater(full, 10)
        self.assertEqual(acknowledged, sorted(acknowledged))
        on_disk = FleetLog()
        for record in auditor.ledger.records():
            for one in auditing.decode_record(record):
                on_disk.restore(one)
        self.assertLessEqual(acknowledged[-1], max(on_disk.processes["d0-1"].turns))
        self.assertLessEqual(actions.turns[0].number, acknowledged[-1] + 1)       # the director still has what is not on the disk
        auditor.ledger.store.db.execute("PRAGMA max_page_count = 100000").fetchall()
        list(auditor.write_journal([self.edge("d0-1", acknowledged)]))
        self.assertEqual((acknowledged[-1], auditor.fleet_log.changed), (120, {}))
        self.assertEqual(sum(answers.total_counts(auditor.fleet_log).values()), 120)

    def edge(self, name, acknowledged):
        return SimpleNamespace(remote=wire.Hello(wire.VERSION, name, wire.EDGE, 0), send=lambda frame: acknowledged.append(frame.turn))

    def guarded(self, write):
        try:
            write()
            return True
        except StoreError:
            return False

    def test_an_invalid_part_ends_only_its_own_connection(self):
        world, ends = MemoryNetwork(3), []
        planner = Planner(world.host("p0"), "p0.1", ("p0", 8300), None, (("lab", b"key of the planners"),), clock=lambda: world.now)
        peers = [Peer(world.host(f"d{n}"), wire.Hello(wire.VERSION, f"d{n}-1", wire.EDGE, 0), lambda peer, frame: None, lambda peer: None, lambda peer, why: ends.append(peer)) for n in (0, 1)]
        for n, peer in enumerate(peers):
            world.hosts[f"d{n}"].dial(("p0", 8300), peer, 500.0)
        world.run(world.now + 50)
        peers[0].send(wire.to_frame(Digest("d0-1", 1, 1.0, {}, {}, (), {}, ()), None, audit=Part(untold=-1)))
        world.run(world.now + 50)
        self.assertEqual((ends, len(planner.peers), planner.auditor.fleet_log.processes), ([peers[0]], 1, {}))


class MemoryRehearsal(unittest.TestCase):
    """Edges, planners and faulty links in memory; and directors, planners and links with a mistake, which the checks must find."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, seed=1, seconds=12, kills=5):
        the_plant = build_deployment(seed, directors=4, nodes=12, rate=12, seconds=seconds)
        stage = fleet_stage.FleetStage(the_plant, bad_day(the_plant), kills=kills)
        stage.run()
        return stage

    def test_every_count_matches_the_directors_own(self):
        stage = self.play()
        self.assertEqual(stage.verdict, [])
        self.assertGreater(stage.facts["actions"], 500)
        self.assertGreater(stage.facts["faults"], 10)
        self.assertLessEqual(stage.facts["turns kept"], 8)               # directors drop what planners keep

    def test_mistakes_are_found(self):
        merge, part, write_journal = FleetLog.merge, ReportedState.next_part, auditing.Auditor.write_journal

        def count_again(log, name, reported, at, now):
            counts_before = dict(log.processes[name].counts) if name in log.processes else {}
            new = merge(log, name, reported, at, now)
            for row in reported.counts:
                if counts_before.get(Key(*row[:4]), 0) >= row[4]:
                    log.processes[name].counts[Key(*row[:4])] += 1
            return new

        def skip_unreported(reported, actions, alone_ms=0.0):
            # A new connection begins with the changes, as if the last one had reported everything.
            if not reported.turn:
                reported.counts = {number: dict(mine) for number, mine in actions.counts.items()}
            return part(reported, actions, alone_ms)

        def acknowledge_before_writing(self, peers):
            yield
            for peer in list(peers):
                if self.ledger is not None and peer.remote is not None and (process := self.fleet_log.processes.get(peer.remote.name)):
                    peer.send(wire.Kept(max(process.turns, default=1)))
            if len(self.fleet_log.changed) < 3:
                yield from write_journal(self, [])

        def delete_records(self, peers):
            if self.ledger is not None and self.ledger.number % 3 == 1:
                self.ledger.store.db.execute("DELETE FROM ledger WHERE number = (SELECT max(number) FROM ledger)")
            yield from write_journal(self, peers)
        for seed, target, name, mistake in ((3, Right, "refusal_reason", lambda right, versions, now: None), (2, Rollout, "halt_reason", lambda *given: None)):
            with self.subTest(name), mock.patch.object(target, name, mistake):
                self.assertNotEqual(self.play(seed, 36, 3).verdict, [])
        for target, name, mistake in ((FleetLog, "merge", count_again), (ReportedState, "next_part", skip_unreported), (auditing.Auditor, "write_journal", acknowledge_before_writing), (auditing.Auditor, "write_journal", delete_records)):
            with self.subTest(mistake.__name__), mock.patch.object(target, name, mistake):
                self.assertNotEqual(self.play().verdict, [])


if __name__ == "__main__":
    unittest.main()

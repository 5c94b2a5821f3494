"""Running directors switched to files of another shape and back, messages between directors, and keys of the director's file."""
import logging
import unittest

from laddergw import peer_messages
from laddergw.terms import director_file as director_files
from laddergw.director.allocation_calls import LOST
from laddergw.director.director import Director
from laddergw.director.director_messages import MAX_AGE_MS, DirectorMessages
from laddergw.lab import move, script
from laddergw.lab.audit import audit
from laddergw.lab.deployment_model import build_deployment
from laddergw.loop.memory import MemoryNetwork
from tests.in_memory_cluster import FILE, Cluster

SECONDS = 14.0
KEYS = (("k", b"key-of-the-small-town"),)


def file_with(deployment="", top="", product=""):
    text = FILE.format(number=0, bounds=top, fleet=2)
    return text.replace("(reports x0 x1)", "(reports x0 x1) " + deployment).replace("(importance 1)", "(importance 1) " + product)


class SilentLogTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class DirectorFileSwitchTest(SilentLogTest):
    def run_and_audit(self, stage, model):
        records = stage.run()
        audited, found = audit(model, records), move.count_switches(records)
        self.assertEqual([f"{b.rule}: {b.what}" for b in audited.breaks], [])
        self.assertEqual((audited.without, audited.twice, found["dropped"]), (0, 0, 0))
        self.assertGreater(audited.outcomes["played"], 0.6 * audited.plays)
        self.assertGreaterEqual(found["switches"], 2 * model.directors)    # there and back
        self.assertGreater(found["probes"], 0)
        return records

    def test_switches_under_load_in_memory(self):
        model = build_deployment(1, directors=3, nodes=12, rate=16.0, seconds=SECONDS)
        stage = move.MemoryMove(model, script.bad_day(model))
        self.run_and_audit(stage, model)
        self.assertGreater(stage.refused, 0)

    def test_switches_under_load_on_loopback(self):
        """The files are replaced and the processes get SIGHUP; the audit reads what passed on the sockets."""
        model = build_deployment(2, directors=2, nodes=8, rate=10.0, seconds=SECONDS)
        self.run_and_audit(move.ProcessMove(model, []), model)

    def test_the_audit_finds_plays_dropped_at_a_switch(self):
        """Runs the same rehearsal with a director that drops its plays at a switch, which must be counted."""
        class DroppingDirector(Director):
            def change_director_file(self, house):
                super().change_director_file(house)
                for attempt in list(self.attempts.values()):
                    self.remove_from_node(attempt, LOST)
        model = build_deployment(1, directors=3, nodes=12, rate=16.0, seconds=SECONDS)
        records = move.MemoryMove(model, [], director_class=DroppingDirector).run()
        self.assertGreater(move.count_switches(records)["dropped"], 0)

    def test_plays_keep_their_terms_and_a_rejected_file_changes_nothing(self):
        cluster = Cluster()
        viewer = cluster.ask()
        cluster.run(300)
        director = cluster.directors[0]
        held = next(iter(director.attempts.values()))
        rate, house = director.rate(held), director.house
        for text, key in ((file_with("(told-by guess)"), "told-by"), (file_with("(join 2)"), "join"), (file_with(product="(live maybe)"), "live")):
            with self.assertRaisesRegex(director_files.FileRejected, key):
                director_files.read(text)
        other = director_files.read(file_with().replace("(product safe", "(product unheard (importance 1)) (product safe"))
        self.assertIn("product", director_files.switch_fault(house, other))
        new = director_files.read(file_with("(probes yes) (told-by probe) (join 0.3)", product="(live yes)").replace("100 200 400", "50 90 130"))
        director.change_director_file(new)
        self.assertEqual((director.rate(held), director.house.deployment.told_by), (rate, "probe"))
        director.change_director_file(house)
        cluster.run(3_000)
        self.assertIsNone(viewer.ended)
        self.assertEqual((director.active_plays, director.house), (1, house))

    def test_a_probe_is_sent_and_its_answer_places_the_play(self):
        cluster = Cluster()
        director = cluster.directors[0]
        director.change_director_file(director_files.read(file_with("(probes yes) (told-by probe)")))
        viewer = cluster.ask()
        cluster.run(600)
        self.assertEqual(viewer.answer, "playing")
        self.assertGreater(len(cluster.records_of("probed")), 0)
        cluster.fault(1, "mute", True)
        cluster.fault(2, "mute", True)
        late = cluster.ask(wait_ms=1_000)
        cluster.run(1_500)
        self.assertIn(late.answer, ("declined", "failed"))
        self.assertLessEqual(late.ms, 1_000)


class DirectorMessagesTest(SilentLogTest):
    def setUp(self):
        super().setUp()
        self.wall_ms = 1_000_000.0
        world = MemoryNetwork(1)
        self.messages = DirectorMessages(world.host("d1"), 1, ((0, ("d0", 80)), (1, ("d1", 80))), lambda: KEYS, lambda: self.wall_ms)
        self.sent = []
        self.messages.send_one = lambda pool, body: self.sent.append((pool.address, body))

    def test_signed_messages_are_read_and_others_rejected(self):
        self.messages.send((0, 1, 7), peer_messages.pack([(3, 0.5)], [(1, 0.9)]))
        (address, body), = self.sent     # none to itself, none to a director that the file does not name
        self.assertEqual(address, ("d0", 80))
        with self.assertRaisesRegex(peer_messages.MalformedMessage, "no peer"):
            self.messages.read(body)     # its own message, returned to it
        self.messages.number = 0     # as its peer reads it
        self.messages.set_peers(((1, ("d1", 80)),))
        self.assertEqual(self.messages.read(body), (1, [(3, 0.5)], [(1, 0.9)]))
        for at in range(len(body)):
            changed = body[:at] + bytes([body[at] ^ 1]) + body[at + 1:]
            try:
                self.assertEqual(self.messages.read(changed), self.messages.read(body))    # unused bits of the last base64 character
            except peer_messages.MalformedMessage:
                pass
            with self.assertRaises(peer_messages.MalformedMessage):
                self.messages.read(body[:at])
        self.wall_ms += MAX_AGE_MS + 1
        with self.assertRaisesRegex(peer_messages.MalformedMessage, "old"):
            self.messages.read(body)

    def test_a_director_rejects_an_invalid_message_and_keeps_running(self):
        cluster = Cluster()
        calls = []
        cluster.pools[0].call("POST", "/v1/mail", b"nonsense", calls.append)
        cluster.run(100)
        self.assertEqual([call.status for call in calls], [400])
        viewer = cluster.ask()
        cluster.run(300)
        self.assertEqual(viewer.answer, "playing")


class DirectorFileTest(unittest.TestCase):
    def test_invalid_peers_are_rejected(self):
        good = director_files.read(file_with(top='(peer 1 "10.0.0.2" 8100)'))
        self.assertEqual((good.peers, good.deployment.peers, good.deployment.number), (((1, ("10.0.0.2", 8100)),), True, 0))
        for top in '(peer 1 "a" 80) (peer 1 "b" 80)', '(peer x "a" 80)', '(peer 1 "a" 99999)', "(peer 1)":
            with self.assertRaisesRegex(director_files.FileRejected, "peer"):
                director_files.read(file_with(top=top))

    def test_missing_keys_take_their_defaults(self):
        deployment = director_files.read(file_with()).deployment
        self.assertEqual((deployment.probes, deployment.told_by, deployment.probe_price, deployment.cross_price, deployment.zone, deployment.peers, deployment.peer_price, deployment.join, deployment.products[0].live),
                         (False, "answers", 0.0, 0.0, 0, False, 0.0, 1.0, False))

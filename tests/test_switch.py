"""Running directors switched to settings of another shape and back; mail between directors; the new keys of the director's file."""
import logging
import unittest

from laddergw import peer_messages
from laddergw.terms import director_file as director_files
from laddergw.director.allocation_calls import LOST
from laddergw.director.director import Director
from laddergw.director.director_messages import MAX_AGE_MS, DirectorMessages
from laddergw.lab import move, script
from laddergw.lab.audit import audit
from laddergw.lab.plant import plant
from laddergw.loop.memory import MemoryNetwork
from tests.in_memory_cluster import FILE, Cluster

SECONDS = 14.0
KEYS = (("k", b"key-of-the-small-town"),)


def file_with(deployment="", top="", product=""):
    text = FILE.format(number=0, bounds=top, fleet=2)
    return text.replace("(reports x0 x1)", "(reports x0 x1) " + deployment).replace("(importance 1)", "(importance 1) " + product)


class Quiet(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class Switching(Quiet):
    def judged(self, stage, the_plant):
        records = stage.run()
        judged, found = audit(the_plant, records), move.count_switches(records)
        self.assertEqual([f"{b.rule}: {b.what}" for b in judged.breaks], [])
        self.assertEqual((judged.without, judged.twice, found["dropped"]), (0, 0, 0))
        self.assertGreater(judged.outcomes["played"], 0.6 * judged.plays)
        self.assertGreaterEqual(found["switches"], 2 * the_plant.directors)    # there and back
        self.assertGreater(found["probes"], 0)
        return records

    def test_under_load_in_memory_and_back(self):
        the_plant = plant(1, directors=3, nodes=12, rate=16.0, seconds=SECONDS)
        stage = move.MemoryMove(the_plant, script.bad_day(the_plant))
        self.judged(stage, the_plant)
        self.assertGreater(stage.refused, 0)

    def test_under_load_on_loopback_and_back(self):
        """The files are written anew and the processes get SIGHUP; the audit reads what passed on the sockets."""
        the_plant = plant(2, directors=2, nodes=8, rate=10.0, seconds=SECONDS)
        self.judged(move.ProcessMove(the_plant, []), the_plant)

    def test_the_audit_sees_a_switch_that_drops_plays(self):
        """The same rehearsal with a director that lets its plays go at a switch: it must be caught."""
        class Dropping(Director):
            def change_director_file(self, house):
                super().change_director_file(house)
                for ply in list(self.attempts.values()):
                    self.remove_from_node(ply, LOST)
        the_plant = plant(1, directors=3, nodes=12, rate=16.0, seconds=SECONDS)
        records = move.MemoryMove(the_plant, [], director_class=Dropping).run()
        self.assertGreater(move.count_switches(records)["dropped"], 0)

    def test_plays_keep_their_terms_and_a_refused_file_changes_nothing(self):
        town = Cluster()
        ask = town.ask()
        town.run(300)
        director = town.directors[0]
        held = next(iter(director.attempts.values()))
        rate, house = director.rate(held), director.house
        for text, why in ((file_with("(told-by guess)"), "told-by"), (file_with("(join 2)"), "join"), (file_with(product="(live maybe)"), "live")):
            with self.assertRaisesRegex(director_files.FileRejected, why):
                director_files.read(text)
        other = director_files.read(file_with().replace("(product safe", "(product unheard (importance 1)) (product safe"))
        self.assertIn("product", director_files.switch_fault(house, other))
        new = director_files.read(file_with("(probes yes) (told-by probe) (join 0.3)", product="(live yes)").replace("100 200 400", "50 90 130"))
        director.change_director_file(new)
        self.assertEqual((director.rate(held), director.house.deployment.told_by), (rate, "probe"))
        director.change_director_file(house)
        town.run(3_000)
        self.assertIsNone(ask.ended)
        self.assertEqual((director.active_plays, director.house), (1, house))

    def test_a_probe_is_sent_and_its_answer_places_the_play(self):
        town = Cluster()
        director = town.directors[0]
        director.change_director_file(director_files.read(file_with("(probes yes) (told-by probe)")))
        ask = town.ask()
        town.run(600)
        self.assertEqual(ask.answer, "playing")
        self.assertGreater(len(town.records_of("probed")), 0)
        town.fault(1, "mute", True)
        town.fault(2, "mute", True)
        late = town.ask(wait_ms=1_000)
        town.run(1_500)
        self.assertIn(late.answer, ("declined", "failed"))
        self.assertLessEqual(late.ms, 1_000)


class Mail(Quiet):
    def setUp(self):
        super().setUp()
        self.wall = 1_000_000.0
        world = MemoryNetwork(1)
        self.post = DirectorMessages(world.host("d1"), 1, ((0, ("d0", 80)), (1, ("d1", 80))), lambda: KEYS, lambda: self.wall)
        self.sent = []
        self.post.send_one = lambda pool, body: self.sent.append((pool.address, body))

    def test_signed_messages_are_read_and_others_refused(self):
        self.post.send((0, 1, 7), peer_messages.pack([(3, 0.5)], [(1, 0.9)]))
        (address, body), = self.sent                 # none to itself, none to whom the file does not name
        self.assertEqual(address, ("d0", 80))
        with self.assertRaisesRegex(peer_messages.MalformedMessage, "no peer"):
            self.post.read(body)                     # its own, come back
        self.post.number = 0                         # as its peer reads it
        self.post.set_peers(((1, ("d1", 80)),))
        self.assertEqual(self.post.read(body), (1, [(3, 0.5)], [(1, 0.9)]))
        for at in range(len(body)):
            changed = body[:at] + bytes([body[at] ^ 1]) + body[at + 1:]
            try:
                self.assertEqual(self.post.read(changed), self.post.read(body))    # unused bits of base64's last letter
            except peer_messages.MalformedMessage:
                pass
            with self.assertRaises(peer_messages.MalformedMessage):
                self.post.read(body[:at])
        self.wall += MAX_AGE_MS + 1
        with self.assertRaisesRegex(peer_messages.MalformedMessage, "old"):
            self.post.read(body)

    def test_a_director_refuses_nonsense_and_goes_on(self):
        town = Cluster()
        calls = []
        town.pools[0].call("POST", "/v1/mail", b"nonsense", calls.append)
        town.run(100)
        self.assertEqual([call.status for call in calls], [400])
        ask = town.ask()
        town.run(300)
        self.assertEqual(ask.answer, "playing")


class Files(unittest.TestCase):
    def test_peers_are_checked_with_their_place(self):
        good = director_files.read(file_with(top='(peer 1 "10.0.0.2" 8100)'))
        self.assertEqual((good.peers, good.deployment.peers, good.deployment.number), (((1, ("10.0.0.2", 8100)),), True, 0))
        for top in '(peer 1 "a" 80) (peer 1 "b" 80)', '(peer x "a" 80)', '(peer 1 "a" 99999)', "(peer 1)":
            with self.assertRaisesRegex(director_files.FileRejected, "peer"):
                director_files.read(file_with(top=top))

    def test_what_is_missing_leaves_the_behaviour_as_it_was(self):
        d = director_files.read(file_with()).deployment
        self.assertEqual((d.probes, d.told_by, d.probe_price, d.cross_price, d.zone, d.peers, d.peer_price, d.join, d.products[0].live),
                         (False, "answers", 0.0, 0.0, 0, False, 0.0, 1.0, False))

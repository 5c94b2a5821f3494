"""The operators' limits at running directors: generations, pauses and budgets there, files that change while they are watched."""
import logging
import os
import tempfile
import unittest

from laddergw.director.limits_file import SubprocessCheck, InProcessCheck, LimitsFile, at_start
from laddergw.loop.sockets import SocketLoop
from laddergw.terms.generations import Generations
from laddergw.terms.director_file import read
from tests.broken_limits import DIRECTOR_FILE
from tests.test_limits import SETTINGS, read_limits, switch_limits
from tests.in_memory_cluster import Cluster


class Switched(unittest.TestCase):
    """Generations at a running director."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_plays_keep_the_generation_they_began_with(self):
        town = Cluster(nodes=3)
        director = town.directors[0]
        director.loop.now = town.world.now
        asked = town.ask(key="v1", route="/a/1")
        town.run(400)
        self.assertEqual(asked.answer, "playing")
        first = director.generations.current
        lines = director.change_limits(read_limits('(limits (route "/a/" (attempts 1) (viewer-tries 1)))'))
        self.assertEqual(lines[0], "+ route /a/ ")
        self.assertEqual(director.generations.older, {1: first})
        director.change_limits(read_limits("(limits)"))                   # its route is removed while it plays
        self.assertEqual(list(director.generations.older), [1])
        asked.call.abort("left")
        town.run(500)
        self.assertEqual((director.generations.older, director.active_plays, director.attempts), ({}, 0, {}))

    def test_lies_of_viewers(self):
        """A wait longer than the file's, a forged token and a wait that never ends change nothing for others."""
        town = Cluster(nodes=1)
        director = switch_limits(town, read_limits("(limits (defaults (time-limit-ms 700) (set-up-ms 500)))"))
        town.fault(1, "mute", True)
        slow = town.ask(wait_ms=600_000)
        forged = town.ask(key="w", token="k.AAAA.BBBB")
        held = town.ask(key="x", unsettled_ms=600_000)
        town.run(800)
        self.assertTrue(slow.answer in ("failed", "declined") and slow.ms <= 700, slow.lines)
        self.assertIsNotNone(forged.answer)
        self.assertEqual((held.answer, held.lines[0][1]["retry_ms"]), ("declined", 2_000))

    def test_attempts_backoff_and_connect_at_a_director(self):
        town = Cluster(nodes=6)
        director = switch_limits(town, read_limits("(limits (defaults (attempts 2) (backoff-ms 150 1 150) (retry-after-ms 900 950)))"))
        for number in town.nodes:
            town.fault(number, "errors", 1.0)
        asked = town.ask()
        town.run(2_000)
        sent = [at for at, what, _ in town.records if what == "set-up written"]
        self.assertEqual((len(sent), asked.answer), (2, "declined"))
        self.assertTrue(145 <= sent[1] - sent[0] <= 160, sent)
        self.assertTrue(900 <= asked.lines[0][1]["retry_ms"] <= 950)

    def test_a_node_that_drains_in_a_pause_gets_nothing(self):
        town = Cluster(nodes=2)
        director = switch_limits(town, read_limits("(limits (defaults (backoff-ms 400 1 400)))"))
        for number in town.nodes:
            town.fault(number, "errors", 1.0)
        town.ask()
        town.run(100)
        first = next(f["node"] for _, what, f in town.records if what == "set-up written")
        town.list_node(3 - first, "draining")
        town.run(1_500)
        self.assertEqual({f["node"] for _, what, f in town.records if what == "set-up written"}, {first})

    def test_spent_budgets_of_a_tenant(self):
        town = Cluster(nodes=6)
        director = switch_limits(town, read_limits('(limits (tenant t (budget (free 1))) (route "/a/" (tenant t)))'))
        for number in town.nodes:
            town.fault(number, "errors", 1.0)
        others = [town.ask(key=f"a{n}", route="/a/1") for n in range(3)] + [town.ask(key="b", route="/b/1")]
        town.run(3_000)
        self.assertEqual([one.answer for one in others], ["declined"] * 4)
        sent = [(f["play"][0], f["number"] > 0) for _, what, f in town.records if what == "set-up written"]
        self.assertEqual((sent.count(("a", False)), sent.count(("a", True))), (3, 1))


class Watched(unittest.TestCase):
    """The file on disk: edited twice within a second, cut, replaced by a folder, gone and back."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = os.path.join(self.folder.name, "limits.scm")
        self.write("(limits)")
        self.town = Cluster(nodes=1)
        self.put, self.refused = [], []
        self.file = LimitsFile(self.town.directors[0].loop, self.path, InProcessCheck(SETTINGS), self.put.append, self.refused.append, b"(limits)")

    def write(self, text):
        with open(self.path, "w") as stream:
            stream.write(text)

    def test_edits(self):
        self.town.run(2_000)
        self.assertEqual((self.put, self.refused), ([], []))
        self.write("(limits (cold-pace 0.9))")
        self.town.run(260)
        self.write("(limits (cold-pace 0.8))")
        self.town.run(1_000)
        self.assertEqual([found.cold_pace.value for found in self.put], [0.8])
        self.write("(limits (cold-pace 0.7)")
        self.town.run(1_000)
        self.assertEqual((len(self.put), len(self.refused)), (1, 1))
        os.remove(self.path)
        os.mkdir(self.path)
        self.town.run(1_000)
        self.assertEqual(self.refused[1:], [["limits.scm: cannot be read: Is a directory"]])
        os.rmdir(self.path)
        self.town.run(1_000)
        self.assertIn("No such file", self.refused[2][0])
        self.write("(limits (cold-pace 0.6))")
        self.town.run(1_000)
        self.assertEqual([found.cold_pace.value for found in self.put], [0.8, 0.6])
        self.write("(limits (cold-pace 60))")
        self.file.look(at_once=True)
        self.assertEqual(len(self.refused), 4)

    def test_a_check_beside_a_loop_on_sockets(self):
        """The loop turns while the child searches; a child that cannot run is a refusal."""
        loop, done = SocketLoop(), []
        self.addCleanup(loop.close)
        house = os.path.join(self.folder.name, "house.scm")
        with open(house, "w") as stream:
            stream.write(DIRECTOR_FILE)
        SubprocessCheck(loop, house).check(b"(limits (cold-pace 0.5))", "x", done.append)
        SubprocessCheck(loop, house).check(b"(limits (cold-pace 20))", "x", done.append)
        SubprocessCheck(loop, self.path + "none").check(b"(limits)", "x", done.append)
        while len(done) < 3:
            loop.turn()
        self.assertEqual([one.limits.cold_pace.value for one in done if one.limits], [0.5])
        told = sorted(one.texts()[0] for one in done if one.limits is None)
        self.assertIn("its check ended with", told[0])
        self.assertIn("cold-pace: 20 lets 2 directors send", told[1])

    def test_a_director_starts_with_the_last_good_version(self):
        house, path = SETTINGS, self.path
        self.assertEqual(at_start(path, house)[1], [])
        self.write("(limits (cold-pace 0.5))")
        self.town.run(1_000)
        self.write("(limits (cold-pace")
        loaded, against = at_start(path, house)
        self.assertEqual((loaded.limits.cold_pace.value, len(against)), (0.5, 1))
        os.remove(path + ".good")
        self.assertIsNone(at_start(path, house)[0].limits)

    def test_generations_go_with_their_last_play(self):
        kept = Generations(read_limits("(limits)"), 0.0)
        one, two = kept.begin_play(), kept.begin_play()
        kept.switch(read_limits("(limits)"), 1.0)
        three = kept.begin_play()
        kept.switch(read_limits("(limits)"), 2.0)
        kept.end_play(one)
        kept.end_play(three)
        self.assertEqual(list(kept.older), [1])
        kept.end_play(two)
        self.assertEqual((kept.older, kept.current.number, kept.switches), ({}, 3, 2))

if __name__ == "__main__":
    unittest.main()

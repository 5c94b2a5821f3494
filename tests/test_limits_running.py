"""The operators' limits at running directors: generations, back-off and retry budgets, and changes of the watched file."""
import logging
import os
import tempfile
import unittest

from laddergw.director.limits_file import InProcessCheck, LimitsFile, SubprocessCheck, load_at_start
from laddergw.loop.sockets import SocketLoop
from laddergw.terms.generations import Generations
from laddergw.terms.director_file import read
from tests.broken_limits import DIRECTOR_FILE
from tests.test_limits import SETTINGS, read_limits, switch_limits
from tests.in_memory_cluster import Cluster


class LimitsOfRunningDirectors(unittest.TestCase):
    """Limits that are put in force at a running director."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_plays_keep_the_generation_they_began_with(self):
        cluster = Cluster(nodes=3)
        director = cluster.directors[0]
        director.loop.now = cluster.world.now
        request = cluster.ask(key="v1", route="/a/1")
        cluster.run(400)
        self.assertEqual(request.answer, "playing")
        first = director.generations.current
        lines = director.change_limits(read_limits('(limits (route "/a/" (attempts 1) (viewer-tries 1)))'))
        self.assertEqual(lines[0], "+ route /a/ ")
        self.assertEqual(director.generations.older, {1: first})
        # The play's route is removed while it runs
        director.change_limits(read_limits("(limits)"))
        self.assertEqual(list(director.generations.older), [1])
        request.call.abort("left")
        cluster.run(500)
        self.assertEqual((director.generations.older, director.active_plays, director.attempts), ({}, 0, {}))

    def test_false_claims_of_viewers(self):
        """A wait longer than the file allows, a forged token and an endless `unsettled_ms` do not affect other viewers."""
        cluster = Cluster(nodes=1)
        director = switch_limits(cluster, read_limits("(limits (defaults (time-limit-ms 700) (set-up-ms 500)))"))
        cluster.fault(1, "mute", True)
        slow = cluster.ask(wait_ms=600_000)
        forged = cluster.ask(key="w", token="k.AAAA.BBBB")
        held = cluster.ask(key="x", unsettled_ms=600_000)
        cluster.run(800)
        self.assertTrue(slow.answer in ("failed", "declined") and slow.ms <= 700, slow.lines)
        self.assertIsNotNone(forged.answer)
        self.assertEqual((held.answer, held.lines[0][1]["retry_ms"]), ("declined", 2_000))

    def test_attempts_backoff_and_retry_after(self):
        cluster = Cluster(nodes=6)
        director = switch_limits(cluster, read_limits("(limits (defaults (attempts 2) (backoff-ms 150 1 150) (retry-after-ms 900 950)))"))
        for number in cluster.nodes:
            cluster.fault(number, "errors", 1.0)
        request = cluster.ask()
        cluster.run(2_000)
        sent = [at for at, what, _ in cluster.records if what == "set-up written"]
        self.assertEqual((len(sent), request.answer), (2, "declined"))
        self.assertTrue(145 <= sent[1] - sent[0] <= 160, sent)
        self.assertTrue(900 <= request.lines[0][1]["retry_ms"] <= 950)

    def test_no_set_up_to_a_node_that_drains_during_the_backoff(self):
        cluster = Cluster(nodes=2)
        director = switch_limits(cluster, read_limits("(limits (defaults (backoff-ms 400 1 400)))"))
        for number in cluster.nodes:
            cluster.fault(number, "errors", 1.0)
        cluster.ask()
        cluster.run(100)
        first = next(f["node"] for _, what, f in cluster.records if what == "set-up written")
        cluster.list_node(3 - first, "draining")
        cluster.run(1_500)
        self.assertEqual({f["node"] for _, what, f in cluster.records if what == "set-up written"}, {first})

    def test_spent_retry_budget_of_a_tenant(self):
        cluster = Cluster(nodes=6)
        director = switch_limits(cluster, read_limits('(limits (tenant t (budget (free 1))) (route "/a/" (tenant t)))'))
        for number in cluster.nodes:
            cluster.fault(number, "errors", 1.0)
        others = [cluster.ask(key=f"a{n}", route="/a/1") for n in range(3)] + [cluster.ask(key="b", route="/b/1")]
        cluster.run(3_000)
        self.assertEqual([one.answer for one in others], ["declined"] * 4)
        sent = [(f["play"][0], f["number"] > 0) for _, what, f in cluster.records if what == "set-up written"]
        self.assertEqual((sent.count(("a", False)), sent.count(("a", True))), (3, 1))


class WatchedFile(unittest.TestCase):
    """The file on disk: edited twice within a second, truncated, replaced by a directory, gone and back."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = os.path.join(self.folder.name, "limits.scm")
        self.write("(limits)")
        self.cluster = Cluster(nodes=1)
        self.applied, self.rejected = [], []
        self.file = LimitsFile(self.cluster.directors[0].loop, self.path, InProcessCheck(SETTINGS), self.applied.append, self.rejected.append, b"(limits)")

    def write(self, text):
        with open(self.path, "w") as stream:
            stream.write(text)

    def test_edits_of_the_file(self):
        self.cluster.run(2_000)
        self.assertEqual((self.applied, self.rejected), ([], []))
        self.write("(limits (cold-pace 0.9))")
        self.cluster.run(260)
        self.write("(limits (cold-pace 0.8))")
        self.cluster.run(1_000)
        self.assertEqual([found.cold_pace.value for found in self.applied], [0.8])
        self.write("(limits (cold-pace 0.7)")
        self.cluster.run(1_000)
        self.assertEqual((len(self.applied), len(self.rejected)), (1, 1))
        os.remove(self.path)
        os.mkdir(self.path)
        self.cluster.run(1_000)
        self.assertEqual(self.rejected[1:], [["limits.scm: cannot be read: Is a directory"]])
        os.rmdir(self.path)
        self.cluster.run(1_000)
        self.assertIn("No such file", self.rejected[2][0])
        self.write("(limits (cold-pace 0.6))")
        self.cluster.run(1_000)
        self.assertEqual([found.cold_pace.value for found in self.applied], [0.8, 0.6])
        self.write("(limits (cold-pace 60))")
        self.file.poll(immediately=True)
        self.assertEqual(len(self.rejected), 4)

    def test_check_in_a_child_process(self):
        """The loop goes on turning while the child checks; a child that cannot run counts as a rejection."""
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
        rejected = sorted(one.texts()[0] for one in done if one.limits is None)
        self.assertIn("its check ended with", rejected[0])
        self.assertIn("cold-pace: 20 lets 2 directors send", rejected[1])

    def test_a_director_starts_with_the_last_good_version(self):
        house, path = SETTINGS, self.path
        self.assertEqual(load_at_start(path, house)[1], [])
        self.write("(limits (cold-pace 0.5))")
        self.cluster.run(1_000)
        self.write("(limits (cold-pace")
        loaded, faults = load_at_start(path, house)
        self.assertEqual((loaded.limits.cold_pace.value, len(faults)), (0.5, 1))
        os.remove(path + ".good")
        self.assertIsNone(load_at_start(path, house)[0].limits)

    def test_generations_end_with_their_last_play(self):
        generations = Generations(read_limits("(limits)"), 0.0)
        one, two = generations.begin_play(), generations.begin_play()
        generations.switch(read_limits("(limits)"), 1.0)
        three = generations.begin_play()
        generations.switch(read_limits("(limits)"), 2.0)
        generations.end_play(one)
        generations.end_play(three)
        self.assertEqual(list(generations.older), [1])
        generations.end_play(two)
        self.assertEqual((generations.older, generations.current.number, generations.switches), ({}, 3, 2))

if __name__ == "__main__":
    unittest.main()

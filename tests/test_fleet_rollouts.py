"""Rollouts in a cluster in memory: files sent in pieces over faulty links, planners killed midway, journals restored from a backup."""
import json
import os
import shutil
import unittest

from laddergw.director.limits_file import replace_file
from laddergw.fleet import versions, wanted
from laddergw.fleet.file_transfer import PIECE_BYTES
from laddergw.fleet.rights import LEASE_MS, MARGIN_MS
from laddergw.fleet.wanted import Want
from laddergw.planner import rollouts, wire
from laddergw.planner.audit_client import limits_text
from laddergw.terms.loading import load
from tests.fleet_cluster import FleetCluster

GOOD, OTHER, BAD = b"(limits (defaults (attempts 2)))", b"(limits (defaults (attempts 1)))", b"(limits (defaults (attempts 0)))"


class Rollouts(FleetCluster):
    """Five directors in two zones."""
    directors, zones = 5, {0: 0, 1: 0, 2: 0, 3: 1, 4: 1}

    def want(self, data, soak_ms=500.0, by_ms=0.0, name=None):
        """Asks the planner for a rollout of these limits; returns its answer."""
        loaded = load(data, "wanted", self.cluster.directors[0].house)
        name = name or versions.version(versions.LIMITS, limits_text(loaded.limits)).hash
        self.name = name
        return json.loads(self.planner.auditor.answer_question(wire.Ask("want", f"limits {name}", 0.0, data, {"soak_ms": soak_ms, "by_ms": by_ms})))

    def stragglers(self):
        return self.ask_planner("stragglers", "limits")

    def on_it(self):
        """Returns the directors on the wanted version."""
        return {number for number, client in self.clients.items() if client.audit.active_versions[versions.LIMITS].hash == self.name}

    def until_done(self, ms=30_000):
        """Runs until the rollout is over and no director is behind; returns the planner's answer."""
        for _ in range(int(ms / 500)):
            self.cluster.run(500)
            if (found := self.stragglers())["state"] != "going" and not found["behind"]:
                return found
        self.fail(self.stragglers())

    def test_a_rollout_in_steps_survives_restarts_on_disk(self):
        self.assertNotIn("refused", self.want(GOOD))
        self.assertIn("goes on", self.want(OTHER)["refused"])
        self.cluster.run(600)
        self.want_name = self.name
        self.name = versions.version(versions.LIMITS, limits_text(load(GOOD, "", self.cluster.directors[0].house).limits)).hash
        self.assertEqual({self.zones[number] for number in self.on_it()}, {0, 1})
        self.assertEqual(len(self.on_it()), 2)
        self.assertEqual(self.until_done()["state"], "done")
        self.assertEqual(self.on_it(), set(range(5)))
        for number in range(5):
            with open(os.path.join(self.folder, f"limits.{number}"), "rb") as stream:
                self.assertEqual(stream.read(), GOOD)
        self.restart(2)
        self.cluster.run(3_000)
        self.assertIn(2, self.on_it())                                               # from its own file
        self.assertNotIn("refused", self.want(OTHER))                                # the way forward or back is the same command
        self.until_done()
        self.assertEqual(self.on_it(), set(range(5)))

    def test_a_director_whose_file_cannot_be_written_loses_it_at_a_restart(self):
        """It is sent the file a second time after the restart."""
        blocked = os.path.join(self.folder, f"limits.2.{os.getpid()}.new")
        os.mkdir(blocked)
        self.want(GOOD)
        self.until_done()
        self.assertEqual(self.on_it(), set(range(5)))
        with open(os.path.join(self.folder, "limits.2"), "rb") as stream:
            self.assertEqual(stream.read(), b"(limits)")
        os.rmdir(blocked)
        self.restart(2)
        self.assertEqual(self.on_it(), {0, 1, 3, 4})
        self.cluster.run(3_000)
        self.assertEqual(self.until_done()["state"], "done")
        self.assertEqual(self.on_it(), set(range(5)))

    def test_a_failed_write_leaves_no_temporary_file(self):
        path = os.path.join(self.folder, "taken")
        os.mkdir(path)
        self.assertIn("cannot be written", replace_file(path, GOOD))
        self.assertEqual([name for name in os.listdir(self.folder) if name.endswith(".new")], [])

    def test_a_refused_version_halts_and_changes_no_director(self):
        before = {number: client.audit.active_versions[versions.LIMITS].hash for number, client in self.clients.items()}
        self.want(BAD, name="f" * 16)
        self.cluster.run(8_000)
        found = self.stragglers()
        self.assertEqual((found["state"], found["on_it"]), ("halted", 0))
        self.assertIn("attempts", found["why"])
        self.assertLessEqual(sum(row["cause"] == wanted.REFUSED for row in found["behind"]), 2)
        self.assertEqual({number: client.audit.active_versions[versions.LIMITS].hash for number, client in self.clients.items()}, before)
        self.assertNotIn("refused", self.want(GOOD, name="e" * 16))                  # a hash that is not that of its content
        self.cluster.run(3_000)
        self.assertIn("is wanted", self.stragglers()["why"])
        self.want(GOOD)
        self.assertEqual(self.until_done()["want"]["number"], 1_003)

    def test_an_operator_halts_a_rollout_and_starts_another(self):
        self.assertIn("nothing goes on", self.ask_planner("halt", "limits")["refused"])
        self.want(GOOD, soak_ms=5_000.0)
        self.cluster.run(1_500)
        self.assertEqual(self.ask_planner("halt", "limits")["state"], "halted")
        self.kill_planner()                                                          # the halt is in the journal
        self.start_planner()
        self.cluster.run(12_000)
        self.assertEqual((self.stragglers()["state"], len(self.on_it())), ("halted", 2))
        self.assertNotIn("refused", self.want(OTHER))
        self.until_done()

    def test_links_that_stall_and_break_during_the_file(self):
        data = GOOD + b"\n; " + b"x" * 12 * PIECE_BYTES
        offsets, send_piece = [], rollouts.Rollouts.send_piece
        self.planner.auditor.rollouts.send_piece = lambda peer, frame: (offsets.append((peer.remote.name, frame.offset)), send_piece(self.planner.auditor.rollouts, peer, frame))
        self.want(data)
        for number in range(5):
            self.inject_fault(number, "rate", 60_000.0)
        for wait in 1_500, 1_500:
            self.cluster.run(wait)
            for number in range(5):
                self.inject_fault(number, "reset", 20_000)
        self.cluster.run(1_500)
        for number in range(5):
            self.inject_fault(number, "stall", "back")
        self.cluster.run(4_000)
        for number in range(5):
            self.inject_fault(number, "heal")
        self.until_done(60_000)
        by_name = {name: [offset for process, offset in offsets if process == name] for name, _ in offsets}
        self.assertTrue(all(sent == sorted(sent) for sent in by_name.values()), by_name)     # never backwards: received pieces are kept
        self.assertTrue(any(sent.count(offset) > 1 for sent in by_name.values() for offset in set(sent) - {0}), by_name)

    def test_a_planner_killed_before_its_offer_and_one_with_a_restored_journal(self):
        shutil.copy(self.path, self.path + ".backup")
        self.want(GOOD)
        self.kill_planner()                                                          # it is in the journal, no director was told
        self.start_planner()
        self.until_done()
        self.kill_planner()
        shutil.copy(self.path + ".backup", self.path)
        self.start_planner()
        self.cluster.run(3_000)
        self.assertEqual(self.stragglers()["want"], None)
        self.assertNotIn("refused", self.want(OTHER))
        self.assertEqual(self.until_done()["want"]["number"], 2_001)                   # above the numbers that directors reported
        self.assertEqual(self.on_it(), set(range(5)))

    def test_a_director_that_crashes_on_it_is_not_sent_it_a_third_time(self):
        crashed = []

        def crash_on_file(number):
            def apply_file(data, verify, done):
                crashed.append(number)
                self.cluster.loop_at = self.cluster.world.schedule(self.cluster.world.now + 1, lambda: (self.restart(number), crash_on_file(number)))
            self.clients[number].audit.apply_file = apply_file
        first = int(wanted.rollout_order(Want("limits", 1, versions.version(versions.LIMITS, limits_text(load(GOOD, "", self.cluster.directors[0].house).limits)).hash, "", 1),
                                         self.planner.auditor.fleet_log.progress("limits", 1, self.cluster.world.now))[0].director[1:])
        crash_on_file(first)
        self.want(GOOD)
        self.cluster.run(40_000)
        self.assertEqual(crashed, [first] * 2)
        found = self.stragglers()
        self.assertEqual([(row["process"].partition("-")[0], row["cause"]) for row in found["behind"]], [(f"d{first}", wanted.CRASHED)])
        self.assertEqual(self.on_it(), set(range(5)) - {first})                      # the others do not wait for it

    def test_cut_off_and_stalled_directors_are_distinguished_and_updated_later(self):
        self.inject_fault(1, "hole")
        self.cluster.world.hosts["d3"].freeze(9_000)
        self.want(GOOD)
        self.cluster.run(7_000)
        self.assertEqual({row["process"][:2]: row["cause"] for row in self.stragglers()["behind"] if row["process"][:2] in ("d1", "d3")}, {"d1": wanted.UNREACHABLE, "d3": wanted.UNREACHABLE})
        self.inject_fault(1, "heal")
        self.planner.auditor.rollouts.offer_file = lambda *given: None
        self.cluster.run(4_000)
        self.assertEqual({row["process"][:2]: row["cause"] for row in self.stragglers()["behind"] if row["process"][:2] in ("d1", "d3")}, {"d1": wanted.IN_PROGRESS, "d3": wanted.STALLED})
        del self.planner.auditor.rollouts.offer_file
        self.until_done()

    def test_after_the_deadline_other_versions_are_forbidden_but_never_a_whole_zone(self):
        for number in 2, 3:
            self.clients[number].audit.file_receiver.kinds = ()                        # an older program
        self.want(GOOD, by_ms=9_000.0)
        self.cluster.run(8_000)
        self.assertEqual({row["process"][:2]: row["cause"] for row in self.stragglers()["behind"]}, {"d2": wanted.UNSUPPORTED, "d3": wanted.UNSUPPORTED})
        self.assertEqual(self.request_play(2)[0], "playing")
        self.cluster.run(2_500)
        self.assertEqual([self.request_play(number)[0] for number in (2, 3, 4)], ["declined", "declined", "playing"])
        self.cluster.run(LEASE_MS + MARGIN_MS)
        self.assertTrue(self.ask_planner("floors")["floors"][0]["nobody_acts_on_it"])
        self.assertIn("halt its rollout", self.ask_planner("forbid", f"limits {self.name[:8]}")["refused"])

    def test_the_last_directors_of_a_zone_stay_open(self):
        for number in 3, 4:
            self.clients[number].audit.file_receiver.kinds = ()
        self.want(GOOD, by_ms=6_000.0)
        self.cluster.run(12_000)
        self.assertEqual(self.ask_planner("floors")["floors"], [])
        self.assertEqual([self.request_play(number)[0] for number in (0, 4)], ["playing", "playing"])
        old = self.clients[4].audit.active_versions[versions.LIMITS].hash
        self.assertIn("zone 1", self.ask_planner("forbid", f"limits {old[:8]}")["refused"])


if __name__ == "__main__":
    unittest.main()

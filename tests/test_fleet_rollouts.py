"""Wanted versions in a small town: files that come in pieces over lines that fail, planners that die in the middle, journals that were set back."""
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
from tests.fleet_cluster import FleetTown

GOOD, OTHER, BAD = b"(limits (defaults (attempts 2)))", b"(limits (defaults (attempts 1)))", b"(limits (defaults (attempts 0)))"


class TakenOut(FleetTown):
    """Five directors in two zones."""
    directors, zones = 5, {0: 0, 1: 0, 2: 0, 3: 1, 4: 1}

    def want(self, data, soak_ms=500.0, by_ms=0.0, name=None):
        loaded = load(data, "wanted", self.town.directors[0].house)
        name = name or versions.version(versions.LIMITS, limits_text(loaded.limits)).hash
        self.name = name
        return json.loads(self.planner.auditor.answer_question(wire.Ask("want", f"limits {name}", 0.0, data, {"soak_ms": soak_ms, "by_ms": by_ms})))

    def stragglers(self):
        return self.question("stragglers", "limits")

    def on_it(self):
        return {number for number, side in self.sides.items() if side.audit.active_versions[versions.LIMITS].hash == self.name}

    def until_done(self, ms=30_000):
        for _ in range(int(ms / 500)):
            self.town.run(500)
            if (found := self.stragglers())["state"] != "going" and not found["behind"]:
                return found
        self.fail(self.stragglers())

    def test_in_steps_and_kept_on_the_disk(self):
        self.assertNotIn("refused", self.want(GOOD))
        self.assertIn("goes on", self.want(OTHER)["refused"])
        self.town.run(600)
        self.want_name = self.name
        self.name = versions.version(versions.LIMITS, limits_text(load(GOOD, "", self.town.directors[0].house).limits)).hash
        self.assertEqual({self.zones[number] for number in self.on_it()}, {0, 1})
        self.assertEqual(len(self.on_it()), 2)
        self.assertEqual(self.until_done()["state"], "done")
        self.assertEqual(self.on_it(), set(range(5)))
        for number in range(5):
            with open(os.path.join(self.folder, f"limits.{number}"), "rb") as stream:
                self.assertEqual(stream.read(), GOOD)
        self.restart(2)
        self.town.run(3_000)
        self.assertIn(2, self.on_it())                                               # by its own file
        self.assertNotIn("refused", self.want(OTHER))                                # and the way on, or back, is the same step
        self.until_done()
        self.assertEqual(self.on_it(), set(range(5)))

    def test_one_whose_file_cannot_be_written_is_on_it_until_it_begins_anew(self):
        """And then it is sent it a second time."""
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
        self.town.run(3_000)
        self.assertEqual(self.until_done()["state"], "done")
        self.assertEqual(self.on_it(), set(range(5)))

    def test_a_write_that_fails_leaves_nothing_behind(self):
        path = os.path.join(self.folder, "taken")
        os.mkdir(path)
        self.assertIn("cannot be written", replace_file(path, GOOD))
        self.assertEqual([name for name in os.listdir(self.folder) if name.endswith(".new")], [])

    def test_one_that_is_refused_halts_and_touches_nobody(self):
        before = {number: side.audit.active_versions[versions.LIMITS].hash for number, side in self.sides.items()}
        self.want(BAD, name="f" * 16)
        self.town.run(8_000)
        found = self.stragglers()
        self.assertEqual((found["state"], found["on_it"]), ("halted", 0))
        self.assertIn("attempts", found["why"])
        self.assertLessEqual(sum(row["cause"] == wanted.REFUSED for row in found["behind"]), 2)
        self.assertEqual({number: side.audit.active_versions[versions.LIMITS].hash for number, side in self.sides.items()}, before)
        self.assertNotIn("refused", self.want(GOOD, name="e" * 16))                  # a name that is not its content's
        self.town.run(3_000)
        self.assertIn("is wanted", self.stragglers()["why"])
        self.want(GOOD)
        self.assertEqual(self.until_done()["want"]["number"], 1_003)

    def test_an_operator_halts_it_and_goes_on_with_another(self):
        self.assertIn("nothing goes on", self.question("halt", "limits")["refused"])
        self.want(GOOD, soak_ms=5_000.0)
        self.town.run(1_500)
        self.assertEqual(self.question("halt", "limits")["state"], "halted")
        self.kill_planner()                                                          # the word is in the journal
        self.start_planner()
        self.town.run(12_000)
        self.assertEqual((self.stragglers()["state"], len(self.on_it())), ("halted", 2))
        self.assertNotIn("refused", self.want(OTHER))
        self.until_done()

    def test_a_line_that_stalls_and_breaks_in_the_middle_of_the_file(self):
        data = GOOD + b"\n; " + b"x" * 12 * PIECE_BYTES
        offsets, fetch = [], rollouts.Rollouts.send_piece
        self.planner.auditor.rollouts.send_piece = lambda peer, frame: (offsets.append((peer.remote.name, frame.offset)), fetch(self.planner.auditor.rollouts, peer, frame))
        self.want(data)
        for number in range(5):
            self.strike(number, "rate", 60_000.0)
        for wait in 1_500, 1_500:
            self.town.run(wait)
            for number in range(5):
                self.strike(number, "reset", 20_000)
        self.town.run(1_500)
        for number in range(5):
            self.strike(number, "stall", "back")
        self.town.run(4_000)
        for number in range(5):
            self.strike(number, "heal")
        self.until_done(60_000)
        by_name = {name: [offset for told, offset in offsets if told == name] for name, _ in offsets}
        self.assertTrue(all(told == sorted(told) for told in by_name.values()), by_name)     # never back: what came stays
        self.assertTrue(any(told.count(offset) > 1 for told in by_name.values() for offset in set(told) - {0}), by_name)

    def test_a_planner_killed_between_its_journal_and_its_order_and_one_set_back(self):
        shutil.copy(self.path, self.path + ".backup")
        self.want(GOOD)
        self.kill_planner()                                                          # it is in the journal, nobody was told
        self.start_planner()
        self.until_done()
        self.kill_planner()
        shutil.copy(self.path + ".backup", self.path)
        self.start_planner()
        self.town.run(3_000)
        self.assertEqual(self.stragglers()["want"], None)
        self.assertNotIn("refused", self.want(OTHER))
        self.assertEqual(self.until_done()["want"]["number"], 2_001)                   # past what directors told of
        self.assertEqual(self.on_it(), set(range(5)))

    def test_who_crashes_on_it_is_not_sent_it_a_third_time(self):
        crashed = []

        def fragile(number):
            def bring(data, sure, done):
                crashed.append(number)
                self.town.loop_at = self.town.world.schedule(self.town.world.now + 1, lambda: (self.restart(number), fragile(number)))
            self.sides[number].audit.apply_file = bring
        first = int(wanted.in_turn(Want("limits", 1, versions.version(versions.LIMITS, limits_text(load(GOOD, "", self.town.directors[0].house).limits)).hash, "", 1),
                                   self.planner.auditor.fleet_log.progress("limits", 1, self.town.world.now))[0].director[1:])
        fragile(first)
        self.want(GOOD)
        self.town.run(40_000)
        self.assertEqual(crashed, [first] * 2)
        found = self.stragglers()
        self.assertEqual([(row["process"].partition("-")[0], row["cause"]) for row in found["behind"]], [(f"d{first}", wanted.CRASHED)])
        self.assertEqual(self.on_it(), set(range(5)) - {first})                      # the others do not wait for it

    def test_who_is_cut_off_or_stands_still_is_told_apart_and_brought_up_later(self):
        self.strike(1, "hole")
        self.town.world.hosts["d3"].freeze(9_000)
        self.want(GOOD)
        self.town.run(7_000)
        self.assertEqual({row["process"][:2]: row["cause"] for row in self.stragglers()["behind"] if row["process"][:2] in ("d1", "d3")}, {"d1": wanted.UNREACHABLE, "d3": wanted.UNREACHABLE})
        self.strike(1, "heal")
        self.planner.auditor.rollouts.offer_file = lambda *given: None
        self.town.run(4_000)
        self.assertEqual({row["process"][:2]: row["cause"] for row in self.stragglers()["behind"] if row["process"][:2] in ("d1", "d3")}, {"d1": wanted.COMING, "d3": wanted.STILL})
        del self.planner.auditor.rollouts.offer_file
        self.until_done()

    def test_past_its_time_who_is_behind_is_shut_out_but_never_a_whole_zone(self):
        for number in 2, 3:
            self.sides[number].audit.file_receiver.kinds = ()                             # an older program
        self.want(GOOD, by_ms=9_000.0)
        self.town.run(8_000)
        self.assertEqual({row["process"][:2]: row["cause"] for row in self.stragglers()["behind"]}, {"d2": wanted.OLD, "d3": wanted.OLD})
        self.assertEqual(self.ask(2)[0], "playing")
        self.town.run(2_500)
        self.assertEqual([self.ask(number)[0] for number in (2, 3, 4)], ["declined", "declined", "playing"])
        self.town.run(LEASE_MS + MARGIN_MS)
        self.assertTrue(self.question("floors")["floors"][0]["nobody_acts_on_it"])
        self.assertIn("halt its rollout", self.question("forbid", f"limits {self.name[:8]}")["refused"])

    def test_the_last_directors_of_a_zone_stay_open(self):
        for number in 3, 4:
            self.sides[number].audit.file_receiver.kinds = ()
        self.want(GOOD, by_ms=6_000.0)
        self.town.run(12_000)
        self.assertEqual(self.question("floors")["floors"], [])
        self.assertEqual([self.ask(number)[0] for number in (0, 4)], ["playing", "playing"])
        old = self.sides[4].audit.active_versions[versions.LIMITS].hash
        self.assertIn("zone 1", self.question("forbid", f"limits {old[:8]}")["refused"])


if __name__ == "__main__":
    unittest.main()

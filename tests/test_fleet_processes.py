"""The fleet's audit with processes of the program and faults between them: edges, planners, faulty links, and the operators' command."""
import json
import logging
import pathlib
import shutil
import signal
import tempfile
import unittest

from laddergw.lab import audit
from laddergw.lab.limits import valid_text
from laddergw.lab.deployment_model import DEFAULT_PRODUCTS, build_deployment
from laddergw.lab.script import FaultEvent
from laddergw.planner import wire
from tests.fleet_commands import COMMAND_TIMEOUT_MS, CommandedFleet


class OperatorCommands(CommandedFleet):
    """Runs the operators' command while all processes run, and once more with both planners killed."""

    def request_rollout(self) -> None:
        """Wants nothing; `roll_out` does."""

    def before_end(self) -> None:
        super().before_end()
        self.command("verify")
        self.command("versions", "--json")
        self.command("versions")
        self.command("audit", "--director", "d0")
        found = {row["kind"]: row["version"] for row in json.loads(self.answers["versions --json"][1])["versions"]}
        self.command("audit", "--version", found["program"][:8])
        source = f"d0.{self.starts[0]}"
        key = next(facts["play"] for _, what, facts in self.collect_of(source) if what == "took" and facts["play"])
        self.command("audit", "--play", key)
        self.key, self.program = key, found["program"]
        self.forbid_version()
        self.roll_out()
        for child in self.planners.values():
            child.kill()
            child.wait()
        self.command("verify", "--json")

    def forbid_version(self) -> None:
        """Stalls the edge that closes without planners while the others switch to new limits and its own are forbidden: when it resumes it declines plays."""
        leader = next(planner for planner in self.planner_addresses if (self.ask(planner, wire.Ask("verify")) or {}).get("kept"))
        of = lambda: {process: row["version"] for row in self.ask(leader, wire.Ask("versions"))["versions"] if row["kind"] == "limits" for process in row["directors"]}
        old = next(version for process, version in of().items() if process.startswith("d1-"))
        others = lambda: [version for process, version in of().items() if not process.startswith("d1-")]
        self.children[1].send_signal(signal.SIGSTOP)
        self.switches += 1
        self.write_limits()
        self.until(lambda: others() and old not in others(), "the others switch")
        self.command("forbid", "limits", old[:10])
        self.killed = next(name for name in map(lambda row: row["process"], self.ask(leader, wire.Ask("director", "d2"))["processes"])
                           if name != json.loads(self.fetch(2, "POST", "/v1/audit", b"{}"))["process"])
        self.command("gone", "d0-00000000")
        self.command("gone", self.killed)          # it stays open without planners, and only an operator knows that it was killed
        asked = self.call(1, "GET", "/healthz", b"")
        self.until(lambda: self.ask(leader, wire.Ask("floors"))["floors"][0]["nobody_acts_on_it"], "nobody acts on it")
        self.command("floors")
        self.was_stalled = not asked
        self.children[1].send_signal(signal.SIGCONT)
        self.wait(lambda: asked, COMMAND_TIMEOUT_MS, "it resumes")
        self.answer_after_stall = asked[0].status, asked[0].body

        def open_again() -> bool:
            answered = self.call(1, "GET", "/healthz", b"")
            self.wait(lambda: answered, COMMAND_TIMEOUT_MS, "it answers")
            return answered[0].status == 200
        self.until(open_again, "it switches too, and opens")

    def roll_out(self) -> None:
        """Rolls out a version over links of one edge that are slow and break during the file, with the planner killed as it begins: the other planner continues,
        and each edge has the version on its disk."""
        text = valid_text(self.model.seed, 9, self.director_file) + "\n; " + "x" * 150_000
        slow_links = [line for (source, _), line in self.network.by_ends.items() if source == "d0"]
        for link in slow_links:
            link.fault("rate", 100_000.0)
        with open(self.file("wanted.terms"), "w") as stream:
            stream.write(text)
        self.command("want", "--soak", "0.5", "limits", self.file("wanted.terms"))
        leader = next(planner for planner in self.planner_addresses if (self.ask(planner, wire.Ask("verify")) or {}).get("kept"))
        self.planners[leader].kill()
        self.planners[leader].wait()
        self.start_planner(leader, True)
        for link in slow_links:
            link.fault("reset", 60_000)

        def all_on_it() -> bool:
            asked = [found for planner in self.planners if (found := self.ask(planner, wire.Ask("stragglers", "limits"))) and "want" in found]
            return bool(asked) and asked[0]["want"] is not None and asked[0]["state"] == "done" and not asked[0]["behind"]
        self.until(all_on_it, "all are on the wanted version")
        self.command("stragglers")
        self.kept = [pathlib.Path(self.limits_path(number)).read_text() == text for number in range(self.model.directors)]

    def collect_of(self, source: str) -> list:
        """Returns the complete lines of a process's tap."""
        with open(self.file(f"{source}.jsonl"), "rb") as stream:
            return [json.loads(line) for line in stream if line.endswith(b"\n")]


class FleetProcessesTest(unittest.TestCase):
    def test_faulty_links_killed_planners_and_operator_commands(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        folder = tempfile.mkdtemp(prefix="laddergw-fleet-")
        self.addCleanup(shutil.rmtree, folder, True)
        the_plant = build_deployment(3, directors=3, nodes=6, rate=10, seconds=6, wares=tuple(ware._replace(length_ms=(2_000, 6_000)) for ware in DEFAULT_PRODUCTS))
        stage = OperatorCommands(the_plant, [FaultEvent(2_000, "freeze", 1, 2_500.0), FaultEvent(3_000, "kill", 2), FaultEvent(4_000, "start", 2)], 2, folder)
        records = stage.run()
        judged = audit.audit(the_plant, records)
        self.assertEqual((judged.without, judged.twice, judged.breaks, stage.verdict), (0, 0, [], []))
        self.assertGreater(stage.facts["answers"], 20)
        injected = {facts["fault"] for _, what, facts in records if what == "line fault"}
        self.assertGreater(len(injected), 3)
        status, output = stage.answers["verify"]
        self.assertEqual((status, "all as they were written" in output), (0, True), output)
        status, output = stage.answers["versions"]
        self.assertEqual((status, stage.program in output), (0, True), output)
        self.assertIn("did under it:", stage.answers["d0"][1])
        self.assertRegex(stage.answers[stage.program[:8]][1], r"d0-[0-9a-f]{8} +20\d\d-.* to now  let in ")
        status, output = stage.answers[stage.key]
        self.assertEqual(status, 0, output)
        self.assertRegex(output, r"let in +under [0-9a-f]{12}")
        status, output = stage.answers[next(words for words in stage.answers if words.startswith("forbid"))]
        self.assertEqual((status, "some may still" in output), (0, True), output)
        self.assertIn("nobody lets plays in under it any more", stage.answers["floors"][1])
        self.assertEqual([stage.answers[f"gone {name}"][0] for name in ("d0-00000000", stage.killed)], [1, 0])
        self.assertTrue(stage.was_stalled)
        self.assertEqual(stage.answer_after_stall[0], 503, stage.answer_after_stall)
        self.assertIn(b"no planner has granted", stage.answer_after_stall[1])
        self.assertEqual([stage.answers[words][0] for words in stage.answers if words.startswith(("want", "stragglers"))], [0, 0])
        self.assertIn("3 of 3 directors on it", stage.answers["stragglers"][1])
        self.assertEqual(stage.kept, [True] * 3)
        self.assertEqual(stage.answers["verify --json"][0], 2, stage.answers["verify --json"])


if __name__ == "__main__":
    unittest.main()

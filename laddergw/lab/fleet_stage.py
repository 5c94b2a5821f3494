"""rehearse fleet, in memory: edges and two planners with lines between them that fail, planners killed, and the audit held against it all.

In its first part limits are switched at the directors by hand; in its second the planners take wanted versions out, one of three of which no director takes,
and forbid those of before. The judge knows from the directors' own tallies under which text each play was let in, and when.
"""
import os

from laddergw import interface as face
from laddergw.director.director import Director
from laddergw.director.limits_file import InProcessCheck, LimitsFile
from laddergw.fleet import answers, versions
from laddergw.fleet.rights import CLOSED, OPEN
from laddergw.fleet.action_counts import ADMITTED
from laddergw.lab import fleet_check
from laddergw.lab.planner_outage import PORT, TWO_PLANNERS, PlannerOutageStage
from laddergw.lab.fleet_check import Tally
from laddergw.lab.limits import valid_text
from laddergw.lab.line_script import LineFault, schedule
from laddergw.lab.lines import Lines
from laddergw.lab.plant import Plant, between
from laddergw.lab.script import Trouble
from laddergw.lab.stage_memory import MemoryStage
from laddergw.lab.rollout_operator import RolloutOperator
from laddergw.planner.planner_client import PlannerClient
from laddergw.store import ledger as ledgers
from laddergw.terms import director_file as director_files
from laddergw.terms.generations import flatten
from laddergw.terms.loading import load

RELAY_PORT = 9_000
SWITCH_MS = 2_500.0        # between versions of the limits
SPREAD_MS = 900.0          # directors go over to one within this of each other
BOTH_DIE = 3               # moments at which both planners are killed: what only one had heard, and not written, was heard by nobody
STOPS, STOP_MS = 4, (1_000.0, 6_000.0)     # planners that stand still (as by SIGSTOP), and for how long: past a silence and a lease
EMPTY, OLD_EACH = b"(limits)", 4
WANTS_FROM = 0.4           # part of the play after which versions are wanted, and no more switched by hand
BACK_MS = 9_000.0          # after all is whole again: a takeover, a line dialled anew, a record of the journal, twice


def old(number: int) -> bool:
    """Directors of an older program, which take no file over the line."""
    return number % OLD_EACH == OLD_EACH - 1


class Tallied(Director):
    """Counts what it does by itself, for the judge."""

    def __init__(self, *given, **named):
        self.tally = Tally()
        super().__init__(*given, **named, watch=self.tallied)
        self.note_limits()

    def note_limits(self) -> None:
        self.tally.limits = "\n".join(f"{key} = {value}" for key, value in flatten(self.limits).items())

    def tallied(self, what: str, **facts) -> None:
        ply = self.attempts.get(facts.get("play"))
        if what == "limits changed":
            self.note_limits()
        elif ply is None:
            return
        elif what == "answer":
            self.tally.did(facts["product"], {face.DECLINED: "declined", face.FAILED: "failed"}.get(facts["answer"], "playing"))
        elif what == "allocate":
            self.tally.did(ply.request.product, "set-up again" if facts["number"] else "set-up")
        elif what == "ended" and ply.playing:
            self.tally.did(ply.request.product, "ended")

    def admit(self, ply) -> None:
        self.tally.did(ply.request.product, "let in")
        self.tally.let_in(self.loop.now)
        super().admit(ply)


class FleetStage(PlannerOutageStage):
    """See the module."""

    def __init__(self, plant: Plant, script: list[Trouble], kills: int = 6, director_class=Tallied, faults: list[LineFault] | None = None):
        super().__init__(plant, script, TWO_PLANNERS, kills, director_class=director_class)
        self.lines = Lines(self.world.host("relay"), self.record, plant.seed)
        self.house = director_files.read(plant.house(0, ("d0", 1), ("list", 1), plant.seed))
        self.tallies: dict[str, Tally] = {}
        self.switches = 0
        ends = [f"d{n}" for n in range(plant.directors)], [f"p{n}" for n in range(TWO_PLANNERS)]
        self.faults = schedule(plant.seed, *ends, plant.crowd.seconds * 1000) if faults is None else faults
        self.verdict: list = ["the judge was never asked"]
        self.facts: dict[str, int] = {}
        self.rollout_operator = RolloutOperator(self)

    def start_director(self, number: int) -> None:
        MemoryStage.start_director(self, number)
        director, places = self.directors[number], []
        director.house = director.house._replace(without_planner=CLOSED if number % 2 else OPEN)
        director.tally.began, director.tally.stays_open = self.world.now, not number % 2
        for planner in range(self.count):
            ends = f"d{number}", f"p{planner}"
            line = self.lines.by_ends.get(ends) or self.lines.line(*ends, ("relay", RELAY_PORT + 10 * number + planner), lambda planner=planner: (f"p{planner}", PORT))
            places.append(line.address)
        side = self.planner_clients[number] = PlannerClient(director, tuple(places), self.keys())
        if not old(number):
            side.audit.accept_files(LimitsFile(director.loop, self.limits_path(number), InProcessCheck(director.house), director.change_limits, director.limits_refused, EMPTY).bring)
        self.tallies[director.name] = director.tally

    def limits_path(self, number: int) -> str:
        """The file that a director watches; its disk outlives its processes."""
        path = os.path.join(self.folder, f"limits.{number}")
        if not os.path.exists(path):
            with open(path, "wb") as stream:
                stream.write(EMPTY)
        return path

    def run(self) -> list[tuple]:
        start = self.world.now + 3_000
        self.rollout_operator.begin(start + WANTS_FROM * self.plant.crowd.seconds * 1000)
        for fault in self.faults:
            self.loop.call_at(start + fault.at, lambda fault=fault: self.strike(fault))
        self.loop.call_at(start, self.switch_limits)
        for moment in range(BOTH_DIE):
            at = start + between(self.plant.seed, 0, self.plant.crowd.seconds * 1000, "both", moment)
            for planner in range(self.count):
                self.loop.call_at(at + planner, lambda planner=planner: self.done or self.kill_planner(planner))
        for stop in range(STOPS):
            at = start + between(self.plant.seed, 0, self.plant.crowd.seconds * 1000, "stop", stop)
            self.loop.call_at(at, lambda stop=stop: self.stop_planner(stop))
        return super().run()

    def stop_planner(self, stop: int) -> None:
        host = self.world.hosts[f"p{stop % self.count}"]
        if host.alive and not self.done:
            self.record("planner stopped", self.world.now, number=stop % self.count)
            host.freeze(between(self.plant.seed, *STOP_MS, "stopped", stop))

    def strike(self, fault: LineFault) -> None:
        line = self.lines.by_ends.get((fault.source, fault.target))
        if line is None or self.done:
            return
        line.loop.now = self.world.now
        line.fault(fault.what, fault.value)
        self.loop.call_at(self.world.now + fault.lasts, lambda: self.heal(line))

    def heal(self, line) -> None:
        line.loop.now = self.world.now
        line.fault("heal")

    def switch_limits(self) -> None:
        if self.done or self.rollout_operator.on:
            return
        self.switches += 1
        text = valid_text(self.plant.seed, self.switches % 4, self.house)     # (of four, so that versions come back)
        loaded = load(text.encode(), f"version-{self.switches % 4}", self.house)
        for number, director in self.directors.items():
            host, wait = self.world.hosts[f"d{number}"], between(self.plant.seed, 0, SPREAD_MS, "spread", number, self.switches)
            self.loop.call_at(self.world.now + wait, lambda host=host, director=director: host.alive and host.running
                         and host.deliver_at(self.world.now, lambda: director.change_limits(loaded.limits)))
        self.loop.call_at(self.world.now + SWITCH_MS, self.switch_limits)

    def finished(self) -> None:
        """The last viewer is served: all lines are whole again, and the judge waits until all have come back."""
        if not self.done:
            for line in self.lines.by_ends.values():
                self.heal(line)
            self.rollout_operator.over = True
            self.loop.call_at(self.world.now + BACK_MS, lambda: self.judge(self.world.now + BACK_MS))

    def judge(self, latest: float) -> None:
        """Once no rollout goes on any more, or it is too late for that."""
        if self.rollout_operator.ask("stragglers").get("state") == "going" and self.world.now < latest:
            return self.loop.call_at(self.world.now + 500.0, lambda: self.judge(latest))
        self.done = True
        leader = next((p for p in self.planners.values() if p.standby.state == "leads" and p.store is not None), None)
        if leader is None:
            self.verdict = ["no planner leads"]
            return
        back = {d.name for n, d in self.directors.items() if self.world.hosts[f"d{n}"].alive and self.world.hosts[f"d{n}"].running}
        book = leader.auditor.fleet_log
        rows = [(*key, count) for key, count in answers.total_counts(book).items()]
        of_version: dict[tuple[str, str, str], int] = {}
        for process in book.processes.values():
            for key, count in process.counts.items():
                if key.action == ADMITTED:
                    name = process.name, book.version_sets[process.turns[key.turn].stand].of(versions.LIMITS).hash, key.product
                    of_version[name] = of_version.get(name, 0) + count
        hash_of = lambda text: versions.version(versions.LIMITS, text.split("\n") if text else []).hash
        self.verdict = fleet_check.judge(rows, self.tallies, back) + fleet_check.judge_versions(of_version, self.tallies, back, hash_of)
        self.verdict += list(ledgers.verify(leader.store.db).faults)
        self.verdict += fleet_check.judge_sentences(self.rollout_operator.sentences, self.tallies, hash_of)
        self.verdict += fleet_check.judge_wanted(self.rollout_operator.at_the_end(leader), {d.name: hash_of(d.tally.limits) for n, d in self.directors.items() if d.name in back and not old(n)})
        self.facts = {"processes": len(self.tallies), "back": len(back), "switches": self.switches, "faults": len(self.faults),
                      "actions": sum(sum(t.counts.values()) for t in self.tallies.values()), "stands": len(book.version_sets),
                      "wants": self.rollout_operator.wants, "halted": self.rollout_operator.halted, "sentences": len(self.rollout_operator.sentences), "turns kept": max((len(side.audit.action_counts.turns) for side in self.planner_clients.values()), default=0), "records": leader.auditor.ledger.count}

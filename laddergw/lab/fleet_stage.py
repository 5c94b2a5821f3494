"""rehearse fleet, in memory: edges and two planners with failing links between them, planners that are killed, and a check of the fleet's audit.

In the first part limits are switched at the directors directly. In the second part the planners roll out versions, of which every third is rejected by all
directors, and forbid the previous ones. The judge knows from the directors' own tallies under which limits text each play was admitted, and when.
"""
import os

from laddergw import interface
from laddergw.director.director import Director
from laddergw.director.limits_file import InProcessCheck, LimitsFile
from laddergw.fleet import answers, versions
from laddergw.fleet.rights import CLOSED, OPEN
from laddergw.fleet.action_counts import ADMITTED
from laddergw.lab import fleet_check
from laddergw.lab.planner_outage import PORT, TWO_PLANNERS, PlannerOutageStage
from laddergw.lab.fleet_check import Tally
from laddergw.lab.limits import valid_text
from laddergw.lab.network_fault_script import LinkFault, schedule
from laddergw.lab.network_faults import FaultyNetwork
from laddergw.lab.deployment_model import DeploymentModel, draw_between
from laddergw.lab.script import FaultEvent
from laddergw.lab.stage_memory import MemoryStage
from laddergw.lab.rollout_operator import RolloutOperator
from laddergw.planner.planner_client import PlannerClient
from laddergw.store import ledger as ledgers
from laddergw.terms import director_file as director_files
from laddergw.terms.generations import flatten
from laddergw.terms.loading import load

RELAY_PORT = 9_000
SWITCH_INTERVAL_MS = 2_500.0   # between versions of the limits
SWITCH_SPREAD_MS = 900.0       # within this time of each other all directors switch to a version
# How often both planners are killed at once: a report that only one had received and not yet stored is then lost.
DOUBLE_KILLS = 3
# How often a planner is frozen (as by SIGSTOP), and for how long: longer than a silence time-out and a lease.
PLANNER_STOPS, PLANNER_STOP_MS = 4, (1_000.0, 6_000.0)
EMPTY_LIMITS, OLDER_PROGRAM_EVERY = b"(limits)", 4
# Share of the run after which versions are rolled out by planners and no longer switched directly.
ROLLOUTS_FROM_SHARE = 0.4
# Recovery time once no fault is left: a takeover, a reconnect and a journal record, twice over.
RECOVERY_MS = 9_000.0


def runs_older_program(number: int) -> bool:
    """Whether this director stands for an older program, which accepts no files from planners."""
    return number % OLDER_PROGRAM_EVERY == OLDER_PROGRAM_EVERY - 1


class CountingDirector(Director):
    """A director that counts its own actions for the judge."""

    def __init__(self, *given, **named):
        self.tally = Tally()
        super().__init__(*given, **named, watch=self.count_event)
        self.note_limits()

    def note_limits(self) -> None:
        """Records the text of the limits in force."""
        self.tally.limits = "\n".join(f"{key} = {value}" for key, value in flatten(self.limits).items())

    def count_event(self, what: str, **facts) -> None:
        """Counts an event that the director reports to its watcher."""
        attempt = self.attempts.get(facts.get("play"))
        if what == "limits changed":
            self.note_limits()
        elif attempt is None:
            return
        elif what == "answer":
            self.tally.count(facts["product"], {interface.DECLINED: "declined", interface.FAILED: "failed"}.get(facts["answer"], "playing"))
        elif what == "allocate":
            self.tally.count(attempt.request.product, "set-up again" if facts["number"] else "set-up")
        elif what == "ended" and attempt.playing:
            self.tally.count(attempt.request.product, "ended")

    def admit(self, attempt) -> None:
        """Counts an admission before it is carried out."""
        self.tally.count(attempt.request.product, "let in")
        self.tally.record_admission(self.loop.now)
        super().admit(attempt)


class FleetStage(PlannerOutageStage):
    """A rehearsal in memory with failing links, killed and frozen planners, switched limits and rollouts.

    `verdict`: what the judge found wrong; `facts`: figures for the report.
    """

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], kills: int = 6, director_class=CountingDirector, faults: list[LinkFault] | None = None):
        super().__init__(model, script, TWO_PLANNERS, kills, director_class=director_class)
        self.network = FaultyNetwork(self.world.host("relay"), self.record, model.seed)
        self.director_file = director_files.read(model.director_file(0, ("d0", 1), ("list", 1), model.seed))
        self.tallies: dict[str, Tally] = {}
        self.switches = 0
        ends = [f"d{n}" for n in range(model.directors)], [f"p{n}" for n in range(TWO_PLANNERS)]
        self.faults = schedule(model.seed, *ends, model.crowd.seconds * 1000) if faults is None else faults
        self.verdict: list = ["the judge was never asked"]
        self.facts: dict[str, int] = {}
        self.rollout_operator = RolloutOperator(self)

    def start_director(self, number: int) -> None:
        """Starts a director with links to the planners; every other one admits plays without a planner."""
        MemoryStage.start_director(self, number)
        director, addresses = self.directors[number], []
        director.house = director.house._replace(without_planner=CLOSED if number % 2 else OPEN)
        director.tally.started_at, director.tally.admits_without_planner = self.world.now, not number % 2
        for planner in range(self.count):
            ends = f"d{number}", f"p{planner}"
            link = self.network.by_ends.get(ends) or self.network.add_link(*ends, ("relay", RELAY_PORT + 10 * number + planner), lambda planner=planner: (f"p{planner}", PORT))
            addresses.append(link.address)
        side = self.planner_clients[number] = PlannerClient(director, tuple(addresses), self.keys())
        if not runs_older_program(number):
            side.audit.accept_files(LimitsFile(director.loop, self.limits_path(number), InProcessCheck(director.house), director.change_limits, director.limits_refused, EMPTY_LIMITS).bring)
        self.tallies[director.name] = director.tally

    def limits_path(self, number: int) -> str:
        """Path of the limits file that a director watches; it outlives the director's processes."""
        path = os.path.join(self.folder, f"limits.{number}")
        if not os.path.exists(path):
            with open(path, "wb") as stream:
                stream.write(EMPTY_LIMITS)
        return path

    def run(self) -> list[tuple]:
        """Schedules faults, kills and stops of planners, switches and rollouts, and runs the rehearsal."""
        start = self.world.now + 3_000
        self.rollout_operator.begin(start + ROLLOUTS_FROM_SHARE * self.model.crowd.seconds * 1000)
        for fault in self.faults:
            self.loop.call_at(start + fault.at, lambda fault=fault: self.start_fault(fault))
        self.loop.call_at(start, self.switch_limits)
        for kill in range(DOUBLE_KILLS):
            at = start + draw_between(self.model.seed, 0, self.model.crowd.seconds * 1000, "both", kill)
            for planner in range(self.count):
                self.loop.call_at(at + planner, lambda planner=planner: self.done or self.kill_planner(planner))
        for stop in range(PLANNER_STOPS):
            at = start + draw_between(self.model.seed, 0, self.model.crowd.seconds * 1000, "stop", stop)
            self.loop.call_at(at, lambda stop=stop: self.stop_planner(stop))
        return super().run()

    def stop_planner(self, stop: int) -> None:
        """Freezes a planner for a drawn time."""
        host = self.world.hosts[f"p{stop % self.count}"]
        if host.alive and not self.done:
            self.record("planner stopped", self.world.now, number=stop % self.count)
            host.freeze(draw_between(self.model.seed, *PLANNER_STOP_MS, "stopped", stop))

    def start_fault(self, fault: LinkFault) -> None:
        """Puts a fault on a link until its time is over."""
        link = self.network.by_ends.get((fault.source, fault.target))
        if link is None or self.done:
            return
        link.loop.now = self.world.now
        link.fault(fault.what, fault.value)
        self.loop.call_at(self.world.now + fault.lasts, lambda: self.end_fault(link))

    def end_fault(self, link) -> None:
        """Removes the faults of a link."""
        link.loop.now = self.world.now
        link.fault("heal")

    def switch_limits(self) -> None:
        """Switches all directors to the next version, directly, until rollouts start."""
        if self.done or self.rollout_operator.started:
            return
        self.switches += 1
        text = valid_text(self.model.seed, self.switches % 4, self.director_file)     # one of four, so that versions recur
        loaded = load(text.encode(), f"version-{self.switches % 4}", self.director_file)
        for number, director in self.directors.items():
            host, wait = self.world.hosts[f"d{number}"], draw_between(self.model.seed, 0, SWITCH_SPREAD_MS, "spread", number, self.switches)
            self.loop.call_at(self.world.now + wait, lambda host=host, director=director: host.alive and host.running
                         and host.deliver_at(self.world.now, lambda: director.change_limits(loaded.limits)))
        self.loop.call_at(self.world.now + SWITCH_INTERVAL_MS, self.switch_limits)

    def finished(self) -> None:
        """Called when the last viewer is served: repairs all links and calls the judge once everything had time to recover."""
        if not self.done:
            for link in self.network.by_ends.values():
                self.end_fault(link)
            self.rollout_operator.finished = True
            self.loop.call_at(self.world.now + RECOVERY_MS, lambda: self.judge(self.world.now + RECOVERY_MS))

    def judge(self, latest: float) -> None:
        """Judges the run once no rollout is running, or at `latest`."""
        if self.rollout_operator.ask("stragglers").get("state") == "going" and self.world.now < latest:
            return self.loop.call_at(self.world.now + 500.0, lambda: self.judge(latest))
        self.done = True
        leader = next((p for p in self.planners.values() if p.standby.state == "leads" and p.store is not None), None)
        if leader is None:
            self.verdict = ["no planner leads"]
            return
        returned = {d.name for n, d in self.directors.items() if self.world.hosts[f"d{n}"].alive and self.world.hosts[f"d{n}"].running}
        fleet_log = leader.auditor.fleet_log
        rows = [(*key, count) for key, count in answers.total_counts(fleet_log).items()]
        admissions_by_version: dict[tuple[str, str, str], int] = {}
        for process in fleet_log.processes.values():
            for key, count in process.counts.items():
                if key.action == ADMITTED:
                    version_key = process.name, fleet_log.version_sets[process.turns[key.turn].stand].of(versions.LIMITS).hash, key.product
                    admissions_by_version[version_key] = admissions_by_version.get(version_key, 0) + count
        limits_hash = lambda text: versions.version(versions.LIMITS, text.split("\n") if text else []).hash
        self.verdict = fleet_check.judge(rows, self.tallies, returned) + fleet_check.judge_versions(admissions_by_version, self.tallies, returned, limits_hash)
        self.verdict += list(ledgers.verify(leader.store.db).faults)
        self.verdict += fleet_check.judge_claims(self.rollout_operator.claims, self.tallies, limits_hash)
        self.verdict += fleet_check.judge_rollout(self.rollout_operator.final_rollout(leader), {d.name: limits_hash(d.tally.limits) for n, d in self.directors.items() if d.name in returned and not runs_older_program(n)})
        self.facts = {"processes": len(self.tallies), "back": len(returned), "switches": self.switches, "faults": len(self.faults),
                      "actions": sum(sum(t.counts.values()) for t in self.tallies.values()), "stands": len(fleet_log.version_sets),
                      "wants": self.rollout_operator.rollout_count, "halted": self.rollout_operator.halted, "sentences": len(self.rollout_operator.claims), "turns kept": max((len(side.audit.action_counts.turns) for side in self.planner_clients.values()), default=0), "records": leader.auditor.ledger.count}

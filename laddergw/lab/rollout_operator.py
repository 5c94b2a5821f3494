"""The operator of a rehearsal in memory: requests rollouts of limits, of which every third is a file that all directors reject, forbids the previous versions, and
records what planners claim about them. Questions go to whichever planner keeps the journal, as those of the command do."""
import json

from laddergw.fleet import versions
from laddergw.lab.fleet_check import InactivityClaim
from laddergw.lab.limits import invalid_text, valid_text
from laddergw.planner import wire
from laddergw.planner.audit_client import limits_text
from laddergw.terms.loading import load

ROLLOUT_INTERVAL_MS, POLL_INTERVAL_MS = 10_000.0, 100.0     # between rollouts; between questions
# From a rollout's request until the other versions are forbidden. Past a lease and a margin some time is left in which the claim can be checked.
FORBID_DELAY_MS = 1_500.0
SOAK_MS = 300.0     # of one rollout step; short because rehearsals are
VALID_TEXTS = 5           # valid versions, in turn
INVALID_EVERY = 3        # every third rollout is of an invalid file


class RolloutOperator:
    """See the module. `stage` has the planners, a director's file and the clock."""

    def __init__(self, stage):
        self.stage, self.started, self.finished, self.rollout_count, self.halted = stage, False, False, 0, 0
        self.claims: list[InactivityClaim] = []
        self.open_claims: dict[str, float] = {}     # forbidden version -> since when the claim holds
        self.halted_numbers: set[int] = set()
        self.reported_gone: set[str] = set()     # ended processes of which planners have been told

    def begin(self, at: float) -> None:
        """Starts requests and checks at this time."""
        self.stage.loop.call_at(at, self.request_rollout)
        self.stage.loop.call_at(at, self.record_claims)

    def leader(self):
        """The running planner that keeps the journal, or None."""
        return next((p for number, p in sorted(self.stage.planners.items()) if self.stage.world.hosts[f"p{number}"].alive
                     and self.stage.world.hosts[f"p{number}"].frozen_until <= self.stage.world.now and p.auditor.owns_journal()), None)

    def ask(self, question: str, name: str = "limits", data: bytes = b"", **figures: float) -> dict:
        """The answer of the planner that keeps the journal, as the command gets it; empty where none does."""
        planner = self.leader()
        if planner is None:
            return {}
        planner.loop.now = max(planner.loop.now, self.stage.world.now)
        return json.loads(planner.auditor.answer_question(wire.Ask(question, name, 0.0, data, figures)))

    def request_rollout(self) -> None:
        """Allows what is forbidden and requests the next version."""
        stage = self.stage
        if stage.done or self.finished:
            return
        self.started = True
        stage.loop.call_at(stage.world.now + ROLLOUT_INTERVAL_MS, self.request_rollout)
        number = self.rollout_count + 1
        invalid = number % INVALID_EVERY == 0
        data = (invalid_text(stage.model.seed, number) if invalid else valid_text(stage.model.seed, number % VALID_TEXTS, stage.director_file)).encode()
        loaded = load(data, "wanted", stage.director_file)
        name = "f" * 16 if invalid else versions.version(versions.LIMITS, limits_text(loaded.limits)).hash
        for row in self.ask("floors").get("floors", ()):
            self.ask("allow", f"limits {row['version']}")
            self.end_claim(row["version"])
        answer = self.ask("want", f"limits {name}", data, soak_ms=SOAK_MS)
        if "want" not in answer:
            return
        self.rollout_count += 1
        stage.loop.call_at(stage.world.now + FORBID_DELAY_MS, self.forbid_old_versions)

    def forbid_old_versions(self) -> None:
        """Forbids the versions that stragglers still have, where the planner's checks permit it."""
        for name in sorted({row["on"] for row in self.ask("stragglers").get("behind", ()) if row["on"]}):
            self.ask("forbid", f"limits {name}")

    def record_claims(self) -> None:
        """Reports ended processes to planners and records what they claim about forbidden versions now."""
        now = self.stage.world.now
        if self.stage.done:
            return
        alive = {d.name for number, d in self.stage.directors.items() if self.stage.world.hosts[f"d{number}"].alive}
        for process in sorted(self.stage.tallies.keys() - alive - self.reported_gone):
            if "gone" in self.ask("gone", process):
                self.reported_gone.add(process)
        answer = self.ask("floors")
        claimed = {row["version"] for row in answer.get("floors", ()) if row["nobody_acts_on_it"]}
        for name in claimed - self.open_claims.keys():
            self.open_claims[name] = now
        rollout = self.ask("stragglers")
        self.halted += rollout.get("state") == "halted" and rollout["want"]["number"] not in self.halted_numbers
        if rollout.get("state") == "halted":
            self.halted_numbers.add(rollout["want"]["number"])
        self.stage.loop.call_at(now + POLL_INTERVAL_MS, self.record_claims)

    def end_claim(self, name: str) -> None:
        """The version is allowed again: the claim ends now."""
        if name in self.open_claims:
            self.claims.append(InactivityClaim(name, self.open_claims.pop(name), self.stage.world.now))

    def final_rollout(self, planner) -> tuple[str, str] | None:
        """State and hash of the last rollout; claims that still hold end now."""
        for name in list(self.open_claims):
            self.end_claim(name)
        rollout = planner.auditor.rollouts.by_kind.get(versions.LIMITS)
        return None if rollout is None else (rollout.state, rollout.want.hash)

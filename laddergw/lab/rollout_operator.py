"""Operators of a rehearsal in memory: they want versions of the limits, one of three of them a file that no director takes, forbid those of before, and note what
planners say of it. They ask whichever planner keeps the journal, as the command does."""
import json

from laddergw.fleet import versions
from laddergw.lab.fleet_check import Sentence
from laddergw.lab.limits import invalid_text, valid_text
from laddergw.planner import wire
from laddergw.planner.audit_client import limits_text
from laddergw.terms.loading import load

WANT_MS, LOOK_MS = 10_000.0, 100.0     # between wants; between questions
FORBID_MS = 1_500.0        # from a want until what others are on is forbidden: past a lease and a margin some time is left to be held to the word
SOAK_MS = 300.0            # of a step: rehearsals are short
TEXTS = 5                  # sound versions, in turn
BAD_EACH = 3


class RolloutOperator:
    """See the module. `stage`: with planners, a house and the world's clock."""

    def __init__(self, stage):
        self.stage, self.on, self.over, self.wants, self.halted = stage, False, False, 0, 0
        self.sentences: list[Sentence] = []
        self.stands: dict[str, float] = {}           # forbidden versions of which the word stands, since when
        self.seen_halted: set[int] = set()
        self.buried: set[str] = set()                # processes that ended, as planners were told

    def begin(self, at: float) -> None:
        self.stage.loop.call_at(at, self.request_rollout)
        self.stage.loop.call_at(at, self.look)

    def leader(self):
        return next((p for number, p in sorted(self.stage.planners.items()) if self.stage.world.hosts[f"p{number}"].alive
                     and self.stage.world.hosts[f"p{number}"].frozen_until <= self.stage.world.now and p.auditor.owns_journal()), None)

    def ask(self, question: str, name: str = "limits", data: bytes = b"", **figures: float) -> dict:
        """As the command does: of whoever keeps the journal. Empty where nobody does."""
        planner = self.leader()
        if planner is None:
            return {}
        planner.loop.now = max(planner.loop.now, self.stage.world.now)
        return json.loads(planner.auditor.answer_question(wire.Ask(question, name, 0.0, data, figures)))

    def request_rollout(self) -> None:
        stage = self.stage
        if stage.done or self.over:
            return
        self.on = True
        stage.loop.call_at(stage.world.now + WANT_MS, self.request_rollout)
        number = self.wants + 1
        bad = number % BAD_EACH == 0
        data = (invalid_text(stage.plant.seed, number) if bad else valid_text(stage.plant.seed, number % TEXTS, stage.house)).encode()
        loaded = load(data, "wanted", stage.house)
        name = "f" * 16 if bad else versions.version(versions.LIMITS, limits_text(loaded.limits)).hash
        for row in self.ask("floors").get("floors", ()):
            self.ask("allow", f"limits {row['version']}")
            self.take_back(row["version"])
        found = self.ask("want", f"limits {name}", data, soak_ms=SOAK_MS)
        if "want" not in found:
            return
        self.wants += 1
        stage.loop.call_at(stage.world.now + FORBID_MS, self.forbid)

    def forbid(self) -> None:
        """What those who are behind are on, where the guards let it."""
        for name in sorted({row["on"] for row in self.ask("stragglers").get("behind", ()) if row["on"]}):
            self.ask("forbid", f"limits {name}")

    def look(self) -> None:
        """What is said of forbidden versions at this moment."""
        now = self.stage.world.now
        if self.stage.done:
            return
        alive = {d.name for number, d in self.stage.directors.items() if self.stage.world.hosts[f"d{number}"].alive}
        for process in sorted(self.stage.tallies.keys() - alive - self.buried):
            if "gone" in self.ask("gone", process):
                self.buried.add(process)
        found = self.ask("floors")
        said = {row["version"] for row in found.get("floors", ()) if row["nobody_acts_on_it"]}
        for name in said - self.stands.keys():
            self.stands[name] = now
        rollout = self.ask("stragglers")
        self.halted += rollout.get("state") == "halted" and rollout["want"]["number"] not in self.seen_halted
        if rollout.get("state") == "halted":
            self.seen_halted.add(rollout["want"]["number"])
        self.stage.loop.call_at(now + LOOK_MS, self.look)

    def take_back(self, name: str) -> None:
        """It is allowed again: from now on the word does not stand."""
        if name in self.stands:
            self.sentences.append(Sentence(name, self.stands.pop(name), self.stage.world.now))

    def at_the_end(self, planner) -> tuple[str, str] | None:
        """State and hash of what is wanted; the words that still stand are sentences to the end."""
        for name in list(self.stands):
            self.take_back(name)
        rollout = planner.auditor.rollouts.by_kind.get(versions.LIMITS)
        return None if rollout is None else (rollout.state, rollout.want.hash)

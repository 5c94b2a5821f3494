"""rehearse budgets: edges that share a tenant's retry budget, planners, racks and viewers as processes; links, planners and edges fail.

The judge takes each spend from the taps of the edges, timed by the one monotonic clock of this machine, and finds the most spends within any window; it knows
nothing of grants.
"""
import json

import apsw

from laddergw.lab.budget_model import max_within_window
from laddergw.lab.fleet_processes import FleetProcesses
from laddergw.lab.deployment_model import DeploymentModel
from laddergw.lab.script import FaultEvent, temporary_fault
from laddergw.planner import wire

BUDGET_WHOLE, WINDOW_MS = 12, 2_000.0     # one for each of twelve directors: less than the retries of a storm want
STORM_INTERVAL_MS, STORM_DURATION_MS, STORM_ERROR_SHARE = 8_000.0, 4_000.0, 0.6    # the share of set-ups that all nodes fail
STORE_BUSY_TIMEOUT_MS = 2_000     # planners write to their store meanwhile
# One of this many planner kills is kept: each takeover waits until the grants before it have ended.
KILLS_DIVISOR = 10
BUDGET_NAME = "tenant basin"
LIMITS_TEXT = f'(limits (defaults (attempts 3)) (tenant "basin" (budget (free {BUDGET_WHOLE}) (share 0) (window-ms {WINDOW_MS:g}) (scope fleet))) (route "/" (tenant "basin")))\n'


def error_storms(model: DeploymentModel) -> list[FaultEvent]:
    """Faults by which all nodes fail most set-ups for a while, again and again; each failure may be retried."""
    nodes, script, at = [node.node for node in model.nodes], [], 4_000.0
    while at < model.crowd.seconds * 1000:
        script += temporary_fault(nodes, "errors", at, STORM_DURATION_MS, STORM_ERROR_SHARE)
        at += STORM_INTERVAL_MS
    return script


class BudgetProcesses(FleetProcesses):
    """A fleet rehearsal with one fleet budget, and no changes of limits."""
    settle_ms = 9_000.0     # before it grants anything a planner waits for a lease, a margin and a window

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], kills: int, *given, **named):
        super().__init__(model, script, kills // KILLS_DIVISOR, *given, **named)
        self.extra_planner_settings = f'(budget "{BUDGET_NAME}" (whole {BUDGET_WHOLE}) (window-ms {WINDOW_MS:g}))'
        self.budget_answer, self.issuer = {}, ""

    def write_limits(self) -> None:
        """Writes the same limits for every director."""
        for number in range(self.model.directors):
            with open(self.limits_path(number), "w") as stream:
                stream.write(LIMITS_TEXT)

    def director_file_text(self, number: int) -> str:
        """The director's file, which names the store whose planners' grants it accepts."""
        if not self.issuer:
            db = apsw.Connection(self.file("planner.store"), flags=apsw.SQLITE_OPEN_READONLY)
            db.set_busy_timeout(STORE_BUSY_TIMEOUT_MS)
            (identity,), = db.execute("SELECT value FROM facts WHERE name = 'identity'")
            db.close()
            self.issuer = f"{identity:014x}"
        return super().director_file_text(number).replace("(bounds", f'(issuer "{self.issuer}")\n (bounds', 1)

    def switch_limits(self) -> None:
        """Does nothing: the limits stay as they are."""

    def request_rollout(self) -> None:
        """Does nothing: there are no rollouts."""

    def before_end(self) -> None:
        """Runs the fleet's checks and asks for the budget's state."""
        super().before_end()
        answers = [found for planner in self.planner_addresses if (found := self.ask(planner, wire.Ask("budgets"))) and "budgets" in found]
        self.budget_answer = answers[0] if answers else {}

    def judge_budget(self, records: list[tuple]) -> tuple[list[str], bool]:
        """Lines of the report, and whether any window held more spends than the whole budget."""
        spends = [now for now, what, facts in records if what == "budget drawn" and facts["budget"] == BUDGET_NAME]
        first = min((now for now, what, _ in records if what == "asked"), default=0.0)
        most, at = max_within_window(spends, WINDOW_MS)
        retries = sum(1 for _, what, facts in records if what == "set-up written" and facts["number"])
        budget = self.budget_answer.get("budgets", [{}])[0]
        return [self.summary(), f"fleet budget: most in any window / whole {most / BUDGET_WHOLE:.3f} ({most} of {BUDGET_WHOLE} in {WINDOW_MS / 1000:g} s, from {(at - first) / 1000:.1f} s on); {len(spends)} spent of it, "
                f"{retries} further set-ups written; at the end {json.dumps({key: budget.get(key) for key in ('charged', 'floors', 'unknown', 'divided')})}"], most > BUDGET_WHOLE

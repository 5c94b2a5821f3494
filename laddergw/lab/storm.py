"""A retry storm in memory: all nodes freeze, or answer late, for five seconds, and every viewer that gets nothing retries at once, as often as it takes.

Run under several strategies: with a retry budget or without, with concurrency limits that adapt to nodes' answers or without. Judged by service in each window: the importance
answered within the first-frame target over the importance requested, where each attempt counts for its play's first one.
"""
from collections import defaultdict
from typing import NamedTuple

from laddergw.director.director import Director
from laddergw.lab import audit
from laddergw.lab.deployment_model import DeploymentModel, build_deployment
from laddergw.lab.script import FaultEvent, temporary_fault
from laddergw.lab.stage_memory import MemoryStage
from laddergw.terms import limits as limits_files
from laddergw.terms.loading import default_terms

FAULT_START_MS, FAULT_DURATION_MS = 26_000.0, 5_000.0   # after the pacing that follows a director's start
# Added to set-ups of the kind `late`: longer than the director waits for an answer, within viewers' limits.
ADDED_DELAY_MS = 2_000.0
WINDOW_MS = 1_000.0
# Recovered: this share of the service before the fault, for this many windows in a row.
RECOVERED_SHARE, RECOVERED_WINDOWS = 0.95, 3
# Name -> (whether there is a retry budget, how concurrency limits adapt).
STRATEGIES = {
    "neither": (False, "off"), "budget": (True, "off"), "gradient": (False, "gradient"), "AIMD": (False, "aimd"),
    "budget and gradient": (True, "gradient"), "budget and AIMD": (True, "aimd")}


class StormResult(NamedTuple):
    """The figures of one run. Times are in ms from the first viewer's arrival."""
    strategy: str
    service: dict[float, float]     # by window's start
    before: float
    during: float                   # from the fault's start to ten seconds past its end
    recovery_ms: float              # from the fault's end; inf: not within the run
    retries: int
    attempts: int
    judged: audit.AuditResult


def storm_deployment(seed: int, rate: float, seconds: float, has_retry_budget: bool) -> DeploymentModel:
    """A deployment with impatient viewers, who all retry at once."""
    model = build_deployment(seed, directors=1, nodes=8, rate=rate, seconds=seconds, load=0.85)
    crowd = model.crowd._replace(returns=1.0, tries=30, again_ms=(0.0, 50.0), impatient=0.0, fickle=0.0)
    return model._replace(crowd=crowd, budget=model.budget if has_retry_budget else None)


def run_storm(strategy: str, seed: int, rate: float = 14.0, seconds: float = 44.0, kind: str = "still") -> StormResult:
    """Runs one storm. `kind`: still, or late, where set-ups take ADDED_DELAY_MS longer during the fault."""
    has_retry_budget, adaptive = STRATEGIES[strategy]
    model = storm_deployment(seed, rate, seconds, has_retry_budget)

    class AdaptiveDirector(Director):
        def __init__(self, loop, house, **more):
            super().__init__(loop, house, limits=limits_files.read(f"(limits (adaptive {adaptive}))", house.names, default_terms(house)), **more)
    nodes = [node.node for node in model.nodes]
    script = [FaultEvent(FAULT_START_MS, "still", node, FAULT_DURATION_MS) for node in nodes] if kind == "still" else temporary_fault(nodes, "late", FAULT_START_MS, FAULT_DURATION_MS, ADDED_DELAY_MS)
    stage = MemoryStage(model, script, AdaptiveDirector)
    records = stage.run()
    return summarize(strategy, model, records)


def summarize(strategy: str, model: DeploymentModel, records: list[tuple]) -> StormResult:
    """The figures of a run's records."""
    judged = audit.audit(model, records)
    attempts = audit.viewer_tries(audit.Records(records))
    start = min(attempt["at"] for attempt in attempts.values())
    windows = service_by_window(model, attempts, start)
    end = FAULT_START_MS + FAULT_DURATION_MS
    before = mean([value for at, value in windows.items() if 16_000 <= at < FAULT_START_MS - 3_000])
    during = mean([value for at, value in windows.items() if FAULT_START_MS <= at < end + 10_000])
    retries = sum(1 for _, what, facts in records if what == "set-up written" and facts["number"])
    return StormResult(strategy, windows, before, during, recovery(windows, before, end), retries, len(attempts), judged)


def service_by_window(model: DeploymentModel, attempts: dict, start: float) -> dict[float, float]:
    """Service of the plays whose first attempt came in each window."""
    wares = {ware.name: ware for ware in model.wares}
    first_attempts, in_time = {}, set()
    for (play_key, _), attempt in sorted(attempts.items()):
        first_attempts.setdefault(play_key, attempt)
        if attempt["answer"] == "playing" and attempt["answered_at"] - first_attempts[play_key]["at"] <= wares[attempt["product"]].aim_ms:
            in_time.add(play_key)
    requested, answered = defaultdict(float), defaultdict(float)
    for play_key, attempt in first_attempts.items():
        window = (attempt["at"] - start) // WINDOW_MS * WINDOW_MS
        requested[window] += wares[attempt["product"]].importance
        answered[window] += wares[attempt["product"]].importance * (play_key in in_time)
    return {window: answered[window] / requested[window] for window in sorted(requested)}


def recovery(windows: dict[float, float], before: float, end: float) -> float:
    """Time from the fault's end to the first of three windows in a row with the service of before, ms."""
    later = [(at, value) for at, value in windows.items() if at >= end]
    for index in range(len(later) - RECOVERED_WINDOWS + 1):
        if mean([value for _, value in later[index:index + RECOVERED_WINDOWS]]) >= RECOVERED_SHARE * before:
            return later[index][0] - end
    return float("inf")


def mean(values: list[float]) -> float:
    """The mean; 0 for no values."""
    return sum(values) / len(values) if values else 0.0

"""A retry storm in memory: all nodes stand still, or answer late, for five seconds, and every viewer that gets nothing comes again at once, as often as it takes.

Played under several ways to meet it: further allocations rationed or not, a waiting room that follows nodes' answers or not. Judged by service from window to window: importance
answered within the first-frame target over the importance asked for, each try folded into its play's first.
"""
from collections import defaultdict
from typing import NamedTuple

from laddergw.director.director import Director
from laddergw.lab import audit
from laddergw.lab.deployment_model import DeploymentModel, build_deployment
from laddergw.lab.script import FaultEvent, temporary_fault
from laddergw.lab.stage_memory import MemoryStage
from laddergw.terms import limits as files
from laddergw.terms.loading import default_terms

STILL_AT_MS, STILL_MS = 26_000.0, 5_000.0   # past the pacing that follows a director's start
LATE_MS = 2_000.0          # of the late kind: past the module's patience, within viewers' limits
WINDOW_MS = 1_000.0
BACK_PART, BACK_WINDOWS = 0.95, 3      # recovered: so much of the service before, for so many windows in a row
WAYS = {                               # name -> (further allocations rationed, how the waiting room follows)
    "neither": (False, "off"), "budget": (True, "off"), "gradient": (False, "gradient"), "AIMD": (False, "aimd"),
    "budget and gradient": (True, "gradient"), "budget and AIMD": (True, "aimd")}


class Storm(NamedTuple):
    """One run. Times ms from the first viewer."""
    way: str
    service: dict[float, float]        # by window's start
    before: float
    during: float                      # from the stand-still's start to ten seconds past its end
    back_ms: float                     # past the end of the stand-still; inf: not within the run
    further: int
    tries: int
    judged: audit.AuditResult


def storm_plant(seed: int, rate: float, seconds: float, rationed: bool) -> DeploymentModel:
    """Impatient viewers that all come again, at once."""
    found = build_deployment(seed, directors=1, nodes=8, rate=rate, seconds=seconds, load=0.85)
    crowd = found.crowd._replace(returns=1.0, tries=30, again_ms=(0.0, 50.0), impatient=0.0, fickle=0.0)
    return found._replace(crowd=crowd, budget=found.budget if rationed else None)


def play(way: str, seed: int, rate: float = 14.0, seconds: float = 44.0, kind: str = "still") -> Storm:
    """`kind`: still, or late: set-ups take LATE_MS longer meanwhile."""
    rationed, adaptive = WAYS[way]
    the_plant = storm_plant(seed, rate, seconds, rationed)

    class Under(Director):
        def __init__(self, loop, house, **more):
            super().__init__(loop, house, limits=files.read(f"(limits (adaptive {adaptive}))", house.names, default_terms(house)), **more)
    nodes = [node.node for node in the_plant.nodes]
    script = [FaultEvent(STILL_AT_MS, "still", node, STILL_MS) for node in nodes] if kind == "still" else temporary_fault(nodes, "late", STILL_AT_MS, STILL_MS, LATE_MS)
    stage = MemoryStage(the_plant, script, Under)
    records = stage.run()
    return measured(way, the_plant, records)


def measured(way: str, the_plant: DeploymentModel, records: list[tuple]) -> Storm:
    judged = audit.audit(the_plant, records)
    tries = audit.viewer_tries(audit.Records(records))
    start = min(t["at"] for t in tries.values())
    windows = by_window(the_plant, tries, start)
    end = STILL_AT_MS + STILL_MS
    before = mean([value for at, value in windows.items() if 16_000 <= at < STILL_AT_MS - 3_000])
    during = mean([value for at, value in windows.items() if STILL_AT_MS <= at < end + 10_000])
    further = sum(1 for _, what, f in records if what == "set-up written" and f["number"])
    return Storm(way, windows, before, during, recovery(windows, before, end), further, len(tries), judged)


def by_window(the_plant: DeploymentModel, tries: dict, start: float) -> dict[float, float]:
    """Service of the plays that were first asked for in each window."""
    wares = {ware.name: ware for ware in the_plant.wares}
    first, won = {}, set()
    for (play_key, _), t in sorted(tries.items()):
        first.setdefault(play_key, t)
        if t["answer"] == "playing" and t["answered_at"] - first[play_key]["at"] <= wares[t["product"]].aim_ms:
            won.add(play_key)
    asked, answered = defaultdict(float), defaultdict(float)
    for play_key, t in first.items():
        window = (t["at"] - start) // WINDOW_MS * WINDOW_MS
        asked[window] += wares[t["product"]].importance
        answered[window] += wares[t["product"]].importance * (play_key in won)
    return {window: answered[window] / asked[window] for window in sorted(asked)}


def recovery(windows: dict[float, float], before: float, end: float) -> float:
    """From the end of the stand-still to the first of three windows in a row with the service of before, ms."""
    later = [(at, value) for at, value in windows.items() if at >= end]
    for place in range(len(later) - BACK_WINDOWS + 1):
        if mean([value for _, value in later[place:place + BACK_WINDOWS]]) >= BACK_PART * before:
            return later[place][0] - end
    return float("inf")


def mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0

"""Checks the fleet's audit against what directors counted themselves. It shares no code with what it judges: it uses its own tallies and the journal alone."""
from typing import Iterable, NamedTuple

MAX_MISSING_ACTIONS = 0     # actions that may be missing from the fleet log once all processes have reported again


class Tally:
    """What one director's process did, counted where it decides and not where the audit counts it."""

    def __init__(self):
        self.counts: dict[tuple[str, str], int] = {}             # by product and action
        self.by_limits: dict[tuple[str, str, str], int] = {}     # by text of the limits in force, product and action
        self.limits = ""
        self.started_at, self.admits_without_planner = 0.0, False     # whether it admits plays without planners
        self.admissions: list[tuple[float, str]] = []     # time, and the limits text in force

    def count(self, product: str, action: str) -> None:
        """Counts one action."""
        self.counts[product, action] = self.counts.get((product, action), 0) + 1
        key = self.limits, product, action
        self.by_limits[key] = self.by_limits.get(key, 0) + 1

    def record_admission(self, now: float) -> None:
        """Records that a play was admitted now."""
        self.admissions.append((now, self.limits))


class InactivityClaim(NamedTuple):
    """A planner's claim that from a time on, until the version is allowed again, no process admits plays under a version of the limits."""
    version: str
    from_ms: float
    until_ms: float


class Broken(NamedTuple):
    """A difference between the audit and the directors' own counts. It is printed as it is, so its names stay."""
    what: str
    process: str
    told: int
    counted: int


def count_by_action(rows: Iterable[tuple], process: str) -> dict[tuple[str, str], int]:
    """One process's counts by product and action, from the fleet log's rows (process, version set, product, action, count)."""
    found: dict[tuple[str, str], int] = {}
    for name, _, product, action, count in rows:
        if name == process:
            found[product, action] = found.get((product, action), 0) + count
    return found


def judge(rows: list[tuple], tallies: dict[str, Tally], returned: set[str]) -> list[Broken]:
    """Compares the fleet log's rows with the tallies. Of processes in `returned`, which are alive and had reported at the end, the log must hold every action;
    of the others no more than was done."""
    discrepancies = []
    for process, tally in sorted(tallies.items()):
        reported_counts = count_by_action(rows, process)
        for key in sorted(tally.counts.keys() | reported_counts.keys()):
            reported, counted = reported_counts.get(key, 0), tally.counts.get(key, 0)
            if reported > counted or (process in returned and counted - reported > MAX_MISSING_ACTIONS):
                discrepancies.append(Broken(" ".join(key), process, reported, counted))
    return discrepancies


def judge_versions(admissions_by_version: dict[tuple[str, str, str], int], tallies: dict[str, Tally], returned: set[str], limits_hash) -> list[Broken]:
    """Compares admissions by process, limits' hash and product, as in the fleet log; `limits_hash(text)` gives a version's hash as the audit does."""
    discrepancies = []
    for process in sorted(returned):
        counted_admissions: dict[tuple[str, str, str], int] = {}
        for (limits, product, action), count in tallies[process].by_limits.items():
            if action == "let in":
                key = process, limits_hash(limits), product
                counted_admissions[key] = counted_admissions.get(key, 0) + count
        reported_counts = {key: count for key, count in admissions_by_version.items() if key[0] == process}
        for key in sorted(counted_admissions.keys() | reported_counts.keys()):
            if counted_admissions.get(key, 0) != reported_counts.get(key, 0):
                discrepancies.append(Broken(f"{key[2]} let in under {key[1][:8]}", process, reported_counts.get(key, 0), counted_admissions.get(key, 0)))
    return discrepancies


def judge_claims(claims: list[InactivityClaim], tallies: dict[str, Tally], limits_hash) -> list[Broken]:
    """Checks that no play was admitted under a version during a claim that no process does. All times are of the rehearsal's one clock. The claim does not cover
    processes that start after it, reach no planner and admit plays without one: no planner knows of those."""
    hash_by_text: dict[str, str] = {}
    discrepancies = []
    for process, tally in sorted(tallies.items()):
        for at, text in tally.admissions:
            name = hash_by_text.get(text) or hash_by_text.setdefault(text, limits_hash(text))
            discrepancies += [Broken(f"let in under {name[:8]} after it was said that nobody does", process, round(one.from_ms), round(at))
                              for one in claims if one.version == name and one.from_ms <= at < one.until_ms and not (tally.admits_without_planner and tally.started_at > one.from_ms)]
    return discrepancies


def judge_rollout(rollout: tuple[str, str] | None, limits_in_force: dict[str, str]) -> list[Broken]:
    """Checks the last rollout (state, hash) once all have reported: a completed one is in force at all directors, a halted one at none."""
    if rollout is None:
        return []
    state, name = rollout
    return [Broken(f"wanted {name[:8]} is {state}", process, int(state != "halted"), int(held == name)) for process, held in sorted(limits_in_force.items()) if (held == name) == (state == "halted")]

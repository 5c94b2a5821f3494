"""Experiments: variants by days by seeds, in parallel processes, kept in a store as they come, resumed after a kill, stopped once decided.

    (experiment "patience" (days stand-still deploy) (seeds 1 20) (measure service) (matters 0.02) (confidence 0.95)
      (variant "as it is")
      (variant "planner" (planners 1))
      (variant "limits" (limits "tight.limits"))
      (variant "before" (revision "v0.1.0")))

The first variant is what the others are held against. A revision is one of this project's own, checked out beside it by git worktree.
"""
import json
import os
import subprocess
import sys
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from typing import Callable, NamedTuple

import apsw

from laddergw.lab.compare import OPEN, Difference, compare
from laddergw.terms.reading import Faults, FormReader, parse_single_form, read_text

MEASURES = ("service", "worth", "first_ms", "tries")
RUN_MOST_S = 1_800.0       # of one run
BATCHES = 5                # looks at what came so far


class Variant(NamedTuple):
    """What differs. `changes`: of the plant; `limits`: a file's path; `revision`: of this project."""
    name: str
    planners: int
    limits: str | None
    revision: str | None
    changes: dict[str, float]


class Experiment(NamedTuple):
    """A file that could be read."""
    name: str
    days: tuple[str, ...]
    seeds: tuple[int, int]
    measure: str
    matters: float
    confidence: float
    variants: tuple[Variant, ...]
    changes: dict[str, float]


class Job(NamedTuple):
    """One run."""
    variant: str
    day: str
    seed: int


CHANGES = {"rate": False, "seconds": False, "nodes": True, "directors": True}


def read_file(path: str) -> Experiment:
    """Raises FileRejected with every fault."""
    from laddergw.lab import scenario_file
    faults = Faults()
    top = FormReader(parse_single_form(read_text(path), os.path.basename(path), "experiment"), faults)
    names = [item.value for item in top.form.rest if hasattr(item, "value")]
    known = scenario_file.named_days()
    days = tuple(map(str, top.words("days") or ()))
    for day in days:
        if day not in known:
            top.add_fault(top.places["days"], "days", f"no day {day!r}")
    seeds = top.numbers("seeds", (1.0, 10.0), 0, 1e9, 2)
    if seeds[0] > seeds[1]:
        top.add_fault(top.places["seeds"], "seeds", "takes a first and a last one")
    variants = tuple(take_variant(reader, os.path.dirname(path)) for reader in top.subforms("variant"))
    if len(variants) < 2:
        top.add_fault(top.form.place, "variant", "two at least")
    found = Experiment(str(names[0]) if names else "", days, (int(seeds[0]), int(seeds[1])), top.word("measure", "service", MEASURES), top.number("matters", 0.01, 0, 1e6),
                       top.number("confidence", 0.95, 0.5, 0.9999), variants, take_changes(top))
    top.form = top.form._replace(items=tuple(item for item in top.form.items if not hasattr(item, "value") or item is top.form.items[0]))
    top.reject_unknown_keys()
    faults.raise_if_any()
    return found


def take_variant(read: FormReader, folder: str) -> Variant:
    limits = read.word("limits", None)
    if limits is not None and not os.path.isfile(os.path.join(folder, limits)):
        read.add_fault(read.places["limits"], "limits", f"no file {limits!r} beside this one")
    variant = Variant(read.name, int(read.integer("planners", 0, 0, 2)), os.path.join(folder, limits) if limits is not None else None, read.word("revision", None), take_changes(read))
    read.reject_unknown_keys()
    return variant


def take_changes(read: FormReader) -> dict[str, float]:
    found = {key: read.number(key, None, 0.01, 1e6, whole) for key, whole in CHANGES.items()}
    return {key: value for key, value in found.items() if value is not None}


# What came of runs

class Results:
    """Kept as they come: a killed experiment goes on where it stopped."""

    def __init__(self, path: str):
        self.db = apsw.Connection(path)
        self.db.set_busy_timeout(10_000)
        self.db.execute("CREATE TABLE IF NOT EXISTS results (experiment TEXT, variant TEXT, day TEXT, seed INTEGER, told TEXT, PRIMARY KEY (experiment, variant, day, seed))")

    def put(self, experiment: str, job: Job, told: dict) -> None:
        self.db.execute("INSERT OR REPLACE INTO results VALUES (?, ?, ?, ?, ?)", (experiment, *job, json.dumps(told)))

    def all(self, experiment: str) -> dict[Job, dict]:
        rows = self.db.execute("SELECT variant, day, seed, told FROM results WHERE experiment = ?", (experiment,))
        return {Job(variant, day, seed): json.loads(told) for variant, day, seed, told in rows}


def jobs_of(experiment: Experiment) -> list[Job]:
    """Seed by seed, so that pairs are whole early."""
    low, high = experiment.seeds
    return [Job(variant.name, day, seed) for seed in range(low, high + 1) for day in experiment.days for variant in experiment.variants]


def paired(experiment: Experiment, results: dict[Job, dict], name: str) -> tuple[list[float], list[float]]:
    """The measures of the first variant and another, over the days and seeds that both have a sound run of."""
    first, second = [], []
    for job in jobs_of(experiment):
        if job.variant != name:
            continue
        one, other = results.get(job._replace(variant=experiment.variants[0].name)), results.get(job)
        if one is not None and other is not None and "failed" not in one and "failed" not in other:
            first.append(one[experiment.measure])
            second.append(other[experiment.measure])
    return first, second


def differences(experiment: Experiment, results: dict[Job, dict], looks: int = BATCHES) -> dict[str, Difference]:
    return {variant.name: compare(*paired(experiment, results, variant.name), experiment.confidence, 1, experiment.matters, looks) for variant in experiment.variants[1:]}


def run(experiment: Experiment, results: Results, told: Callable[[str], None], processes: int | None = None, tree: Callable[[str], str] | None = None,
        play: Callable[[Variant, Job, dict, str | None], dict] | None = None) -> dict[str, Difference]:
    """Plays what is missing, a batch of seeds at a time, and stops once every variant is decided. `tree(revision)` gives the folder of a checkout; `play` runs one job."""
    play = play or one_run
    done = results.all(experiment.name)
    variants = {variant.name: variant for variant in experiment.variants}
    trees = {variant.revision: tree(variant.revision) for variant in experiment.variants if variant.revision is not None and tree is not None}
    left = [job for job in jobs_of(experiment) if job not in done]
    if done:
        told(f"{len(done)} runs are here already, {len(left)} are left")
    size = max(1, -(-len(left) // BATCHES))
    found = differences(experiment, done)
    with ProcessPoolExecutor(processes) as pool:
        for start in range(0, len(left), size):
            if done and all(one.verdict != OPEN for one in found.values()):
                told("decided: what is left is not played")
                break
            under_way = {pool.submit(play, variants[job.variant], job, experiment.changes, trees.get(variants[job.variant].revision)): job for job in left[start:start + size]}
            while under_way:
                ended, _ = wait(under_way, return_when=FIRST_COMPLETED)
                for future in ended:
                    job = under_way.pop(future)
                    done[job] = future.result()
                    results.put(experiment.name, job, done[job])
                    if "failed" in done[job]:
                        told(f"{job.variant}, {job.day}, seed {job.seed}: {done[job]['failed']}")
            found = differences(experiment, done)
            told(f"{len(done)} of {len(jobs_of(experiment))} runs: " + "; ".join(f"{name} {one.mean:+.4f} ({one.low:+.4f} to {one.high:+.4f}), {one.verdict}" for name, one in found.items()))
    return found


def one_run(variant: Variant, job: Job, changes: dict, tree: str | None) -> dict:
    """A run as a process of its own, of this tree or another; what it told, or why it failed."""
    order = json.dumps({"day": job.day, "seed": job.seed, "planners": variant.planners, "limits": variant.limits, "changes": changes | variant.changes})
    folder = tree or os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    try:
        ended = subprocess.run([sys.executable, "-m", "laddergw.lab.one_run"], input=order, cwd=folder, env=os.environ | {"PYTHONPATH": folder}, capture_output=True, text=True, timeout=RUN_MOST_S)
    except subprocess.TimeoutExpired:
        return {"failed": f"not within {RUN_MOST_S:g} s"}
    if ended.returncode:
        return {"failed": (ended.stderr.strip().splitlines() or [f"ended with {ended.returncode}"])[-1][:200]}
    return json.loads(ended.stdout.splitlines()[-1])


def checkout(revision: str, folder: str) -> str:
    """A revision of this project beside it, made once."""
    here = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    path = os.path.join(folder, revision.replace("/", "-"))
    if not os.path.isdir(path):
        subprocess.run(["git", "-C", here, "worktree", "add", "--detach", path, revision], check=True, capture_output=True)
    return path

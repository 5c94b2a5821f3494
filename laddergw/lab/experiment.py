"""Experiments: variants by days by seeds, run in parallel processes, stored as they finish, resumed after a kill, stopped once decided.

    (experiment "patience" (days stand-still deploy) (seeds 1 20) (measure service) (matters 0.02) (confidence 0.95)
      (variant "as it is")
      (variant "planner" (planners 1))
      (variant "limits" (limits "tight.limits"))
      (variant "before" (revision "v0.1.0")))

The other variants are compared with the first one. A revision is of this project, checked out in a folder of its own by git worktree.
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
MAX_RUN_S = 1_800.0     # time limit of one run
BATCHES = 5     # interim evaluations of the results


class Variant(NamedTuple):
    """What differs between runs. `changes`: of the deployment; `limits`: path of a limits file; `revision`: of this project."""
    name: str
    planners: int
    limits: str | None
    revision: str | None
    changes: dict[str, float]


class Experiment(NamedTuple):
    """An experiment, as its file describes it. `matters`: the smallest difference that matters; `changes`: of the deployment, for all variants."""
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
    """Reads an experiment's file. Raises FileRejected with every fault."""
    from laddergw.lab import scenario_file
    faults = Faults()
    form = FormReader(parse_single_form(read_text(path), os.path.basename(path), "experiment"), faults)
    names = [item.value for item in form.form.rest if hasattr(item, "value")]
    known_days = scenario_file.named_days()
    days = tuple(map(str, form.words("days") or ()))
    for day in days:
        if day not in known_days:
            form.add_fault(form.places["days"], "days", f"no day {day!r}")
    seeds = form.numbers("seeds", (1.0, 10.0), 0, 1e9, 2)
    if seeds[0] > seeds[1]:
        form.add_fault(form.places["seeds"], "seeds", "takes a first and a last one")
    variants = tuple(parse_variant(reader, os.path.dirname(path)) for reader in form.subforms("variant"))
    if len(variants) < 2:
        form.add_fault(form.form.place, "variant", "two at least")
    found = Experiment(str(names[0]) if names else "", days, (int(seeds[0]), int(seeds[1])), form.word("measure", "service", MEASURES), form.number("matters", 0.01, 0, 1e6),
                       form.number("confidence", 0.95, 0.5, 0.9999), variants, parse_changes(form))
    form.form = form.form._replace(items=tuple(item for item in form.form.items if not hasattr(item, "value") or item is form.form.items[0]))
    form.reject_unknown_keys()
    faults.raise_if_any()
    return found


def parse_variant(reader: FormReader, folder: str) -> Variant:
    """Reads one variant; its limits file lies in `folder`."""
    limits = reader.word("limits", None)
    if limits is not None and not os.path.isfile(os.path.join(folder, limits)):
        reader.add_fault(reader.places["limits"], "limits", f"no file {limits!r} beside this one")
    variant = Variant(reader.name, int(reader.integer("planners", 0, 0, 2)), os.path.join(folder, limits) if limits is not None else None, reader.word("revision", None), parse_changes(reader))
    reader.reject_unknown_keys()
    return variant


def parse_changes(reader: FormReader) -> dict[str, float]:
    """Reads the changes of the deployment that a form gives."""
    found = {key: reader.number(key, None, 0.01, 1e6, whole) for key, whole in CHANGES.items()}
    return {key: value for key, value in found.items() if value is not None}


# Results of runs

class Results:
    """The store of results. Each is written as it arrives, so that a killed experiment continues where it stopped."""

    def __init__(self, path: str):
        self.db = apsw.Connection(path)
        self.db.set_busy_timeout(10_000)
        self.db.execute("CREATE TABLE IF NOT EXISTS results (experiment TEXT, variant TEXT, day TEXT, seed INTEGER, told TEXT, PRIMARY KEY (experiment, variant, day, seed))")

    def save(self, experiment: str, job: Job, measures: dict) -> None:
        """Stores a run's measures, or why it failed."""
        self.db.execute("INSERT OR REPLACE INTO results VALUES (?, ?, ?, ?, ?)", (experiment, *job, json.dumps(measures)))

    def load_all(self, experiment: str) -> dict[Job, dict]:
        """The stored results of an experiment."""
        rows = self.db.execute("SELECT variant, day, seed, told FROM results WHERE experiment = ?", (experiment,))
        return {Job(variant, day, seed): json.loads(measures) for variant, day, seed, measures in rows}


def list_jobs(experiment: Experiment) -> list[Job]:
    """All runs, seed by seed, so that pairs are complete early."""
    low, high = experiment.seeds
    return [Job(variant.name, day, seed) for seed in range(low, high + 1) for day in experiment.days for variant in experiment.variants]


def paired_measures(experiment: Experiment, results: dict[Job, dict], name: str) -> tuple[list[float], list[float]]:
    """The measures of the first variant and another, over the days and seeds for which both have a successful run."""
    first, second = [], []
    for job in list_jobs(experiment):
        if job.variant != name:
            continue
        one, other = results.get(job._replace(variant=experiment.variants[0].name)), results.get(job)
        if one is not None and other is not None and "failed" not in one and "failed" not in other:
            first.append(one[experiment.measure])
            second.append(other[experiment.measure])
    return first, second


def differences(experiment: Experiment, results: dict[Job, dict], looks: int = BATCHES) -> dict[str, Difference]:
    """Each further variant's difference from the first one."""
    return {variant.name: compare(*paired_measures(experiment, results, variant.name), experiment.confidence, 1, experiment.matters, looks) for variant in experiment.variants[1:]}


def run(experiment: Experiment, results: Results, report: Callable[[str], None], processes: int | None = None, checkout_of: Callable[[str], str] | None = None,
        run_job: Callable[[Variant, Job, dict, str | None], dict] | None = None) -> dict[str, Difference]:
    """Runs what is missing, one batch at a time, and stops once every variant is decided. `checkout_of(revision)` gives the folder of a checkout; `run_job` runs one job."""
    run_job = run_job or run_in_process
    done = results.load_all(experiment.name)
    variants = {variant.name: variant for variant in experiment.variants}
    checkouts = {variant.revision: checkout_of(variant.revision) for variant in experiment.variants if variant.revision is not None and checkout_of is not None}
    remaining = [job for job in list_jobs(experiment) if job not in done]
    if done:
        report(f"{len(done)} runs are stored already, {len(remaining)} remain")
    batch_size = max(1, -(-len(remaining) // BATCHES))
    found = differences(experiment, done)
    with ProcessPoolExecutor(processes) as pool:
        for start in range(0, len(remaining), batch_size):
            if done and all(one.verdict != OPEN for one in found.values()):
                report("decided: the remaining runs are skipped")
                break
            running = {pool.submit(run_job, variants[job.variant], job, experiment.changes, checkouts.get(variants[job.variant].revision)): job for job in remaining[start:start + batch_size]}
            while running:
                finished, _ = wait(running, return_when=FIRST_COMPLETED)
                for future in finished:
                    job = running.pop(future)
                    done[job] = future.result()
                    results.save(experiment.name, job, done[job])
                    if "failed" in done[job]:
                        report(f"{job.variant}, {job.day}, seed {job.seed}: {done[job]['failed']}")
            found = differences(experiment, done)
            report(f"{len(done)} of {len(list_jobs(experiment))} runs: " + "; ".join(f"{name} {one.mean:+.4f} ({one.low:+.4f} to {one.high:+.4f}), {one.verdict}" for name, one in found.items()))
    return found


def run_in_process(variant: Variant, job: Job, changes: dict, checkout_path: str | None) -> dict:
    """Runs a job in a process of its own, from this checkout or another; returns its measures, or why it failed."""
    run_settings = json.dumps({"day": job.day, "seed": job.seed, "planners": variant.planners, "limits": variant.limits, "changes": changes | variant.changes})
    folder = checkout_path or os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    try:
        process = subprocess.run([sys.executable, "-m", "laddergw.lab.one_run"], input=run_settings, cwd=folder, env=os.environ | {"PYTHONPATH": folder}, capture_output=True, text=True, timeout=MAX_RUN_S)
    except subprocess.TimeoutExpired:
        return {"failed": f"not within {MAX_RUN_S:g} s"}
    if process.returncode:
        return {"failed": (process.stderr.strip().splitlines() or [f"ended with {process.returncode}"])[-1][:200]}
    return json.loads(process.stdout.splitlines()[-1])


def checkout(revision: str, folder: str) -> str:
    """The folder of a checkout of a revision of this project, made where it is missing."""
    project_folder = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    path = os.path.join(folder, revision.replace("/", "-"))
    if not os.path.isdir(path):
        subprocess.run(["git", "-C", project_folder, "worktree", "add", "--detach", path, revision], check=True, capture_output=True)
    return path

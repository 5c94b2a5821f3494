"""The retry storm under each strategy, in memory, one process per run: a table, and a chart of service by window.

    PYTHONPATH=. .venv/bin/python benchmarks/storm.py [seed] [folder for the charts; needs matplotlib: bin/prepare reports]
"""
import logging
import sys
from concurrent.futures import ProcessPoolExecutor

from laddergw.lab import storm

KINDS = ("still", "late")


def run_job(job: tuple[str, str, int]) -> storm.StormResult:
    """Runs one storm in a worker process; `job`: kind, strategy and seed."""
    logging.disable(logging.WARNING)
    kind, strategy, seed = job
    return storm.run_storm(strategy, seed, kind=kind)


def draw_chart(kind: str, runs: list[storm.StormResult], folder: str) -> None:
    """Writes a chart of service over time, one curve per strategy."""
    import matplotlib
    matplotlib.use("svg")
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for run in runs:
        axes.plot([at / 1000 for at in run.service], list(run.service.values()), label=run.strategy)
    axes.axvspan(storm.FAULT_START_MS / 1000, (storm.FAULT_START_MS + storm.FAULT_DURATION_MS) / 1000, alpha=0.15)
    axes.set(xlabel="s", ylabel="service within the first-frame target", title=f"retry storm: nodes {kind}", ylim=(0, 1.02))
    axes.legend(fontsize=7)
    figure.savefig(f"{folder}/storm-{kind}.svg")


def main() -> None:
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    jobs = [(kind, strategy, seed) for kind in KINDS for strategy in storm.STRATEGIES]
    with ProcessPoolExecutor(4) as pool:
        runs = dict(zip(jobs, pool.map(run_job, jobs)))
    for kind in KINDS:
        print(f"nodes {kind} for {storm.FAULT_DURATION_MS / 1000:g} s")
        for strategy in storm.STRATEGIES:
            run = runs[kind, strategy, seed]
            print(f"  {strategy:22} service before {run.before:.3f}, from the start to 10 s past the end {run.during:.3f}, back after {run.recovery_ms / 1000:.0f} s, "
                  f"further allocations {run.retries}, tries {run.attempts}, rules broken {len(run.judged.breaks)}")
        if len(sys.argv) > 2:
            draw_chart(kind, [runs[kind, strategy, seed] for strategy in storm.STRATEGIES], sys.argv[2])


if __name__ == "__main__":
    main()

"""The benefit of a planner: service, and importance times the worth of the delivered rung, with a planner, without one, and with a faulty one that reports double loads, compared with
a single director that sees all load; in memory, with the same deployment and script; the demand on links is one and a half times their capacity at the middle rate.

    PYTHONPATH=. .venv/bin/python benchmarks/planner_worth.py [seeds] [edges ...]
"""
import logging
import sys
from concurrent.futures import ProcessPoolExecutor

from laddergw.lab import audit, deployment_model, planner_outage, script

PLANNER_CASES = {"without": (0, None), "with": (1, None), "lies": (1, planner_outage.double_loads)} # number of planners, what changes their plans
SECONDS, RATE, NODES, LOAD = 30.0, 24.0, 24, 1.5


def run_job(job: tuple[int, str, int]) -> tuple[float, float, int, int]:
    """Service, worth, rules broken and changes of trust in one run."""
    logging.disable(logging.CRITICAL)
    edges, case, seed = job
    the_plant = deployment_model.build_deployment(seed, directors=edges, nodes=NODES, rate=RATE, seconds=SECONDS, load=LOAD)
    planners, plan_override = PLANNER_CASES[case]
    stage = planner_outage.PlannerOutageStage(the_plant, script.rolling_deploy(the_plant, 12_000, 20_000, 0.3), planners, 0, plan_override)
    records = stage.run()
    judged = audit.audit(the_plant, records)
    return judged.service["all"], audit.worth(the_plant, records), len(judged.breaks) + judged.without, sum(side.trust.change_count for side in stage.planner_clients.values())


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    counts = [int(word) for word in sys.argv[2:]] or [4, 16, 64]
    jobs = [(edges, case, seed) for edges in counts for case in PLANNER_CASES for seed in range(1, seeds + 1)] + [(1, "without", seed) for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(5) as pool:
        results = dict(zip(jobs, pool.map(run_job, jobs)))
    mean = lambda edges, case, column: sum(results[edges, case, seed][column] for seed in range(1, seeds + 1)) / seeds
    print(f"one director that sees all: service {mean(1, 'without', 0):.3f}, worth {mean(1, 'without', 1):.3f}; {seeds} seeds, rules broken in all runs: {sum(result[2] for result in results.values())}")
    for edges in counts:
        for column, name in enumerate(("service", "worth")):
            single, (without_planner, with_planner, with_faulty_planner) = mean(1, "without", column), (mean(edges, case, column) for case in PLANNER_CASES)
            gap = single - without_planner
            closed = f"{100 * (with_planner - without_planner) / gap:.0f}% of the distance" if gap > 0.01 else "no distance to close"
            print(f"{edges:4} edges, {name:7}: without {without_planner:.3f}, with {with_planner:.3f} ({closed}), with a faulty one {with_faulty_planner:.3f}")
        print(f"     changes of trust {sum(results[edges, 'lies', seed][3] for seed in range(1, seeds + 1))} with the faulty planner, "
              f"{sum(results[edges, 'with', seed][3] for seed in range(1, seeds + 1))} with the working one", flush=True)


if __name__ == "__main__":
    main()

"""laddergw rehearse soak: dense trials of the platform's director, one a seed, judged by the rules
of its protocol.
"""

import multiprocessing
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from laddergw.cli.soak_input import SOCKETS, InputError, parse_seeds, read_plan, read_settings
from laddergw.lab.shrink import shrink
from laddergw.lab.soak import plan as plans
from laddergw.lab.soak.result import Result, play_plan
from laddergw.lab.soak.terms import Terms, read_terms

EXIT_VIOLATION, EXIT_NOT_RUN = 1, 2
# Interval of lines of progress where standard error is no terminal.
PROGRESS_INTERVAL_S = 30.0
# Each smaller plan is played this often, as the order of events differs from run to run.
PLAYS_PER_SMALLER_PLAN = 3
MAX_SMALLER_PLANS = 60


def soak(
    seeds: str,
    plan: Path | None,
    sizes: plans.Sizes,
    config: Path | None,
    report: Path | None,
    keep: Path | None,
    jobs: int,
    smaller: Path | None,
) -> None:
    """Plays the plans and exits: with 1 if a rule is broken, with 2 if not every plan could run."""
    try:
        settings = read_settings(config)
        terms = read_terms(settings, SOCKETS)
        selected = (
            [read_plan(plan)]
            if plan is not None
            else [plans.draw(seed, len(terms.products), sizes) for seed in parse_seeds(seeds)]
        )
    except InputError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_NOT_RUN) from None
    with tempfile.TemporaryDirectory() as folder:
        base = str(keep) if keep else folder
        results = play_all(selected, terms, settings, base, jobs)
        if smaller is not None and results and results[0].breaks:
            write_smaller(results[0], terms, settings, base, smaller)
    print_results(results, len(selected), report)


def play_task(task: tuple) -> Result | str:
    """Plays one plan in a worker process; returns its result, or a text on why it could not run."""
    selected, terms, settings, folder = task
    try:
        return play_plan(selected, terms, settings, folder)
    except OSError as error:
        return f"seed {selected.seed}: {error}"


def set_signal_handlers() -> None:
    """Lets a worker process end its directors and keep its records when it is terminated.

    An interrupt from the terminal reaches every process: workers ignore it, and the process that
    started them terminates them.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))


def play_all(
    selected: list[plans.Plan], terms: Terms, settings: dict[str, Any], base: str, jobs: int
) -> list[Result]:
    """Plays all plans; returns the results so far, by seed, also after an interrupt."""
    tasks = [(plan, terms, settings, os.path.join(base, f"seed-{plan.seed}")) for plan in selected]
    results: list[Result] = []
    with (
        progress(len(tasks)) as advance,
        multiprocessing.Pool(min(jobs, len(tasks)), set_signal_handlers) as pool,
    ):
        try:
            for found in pool.imap_unordered(play_task, tasks):
                if isinstance(found, str):
                    typer.echo(f"could not run: {found}", err=True)
                else:
                    results.append(found)
                advance(results)
        except KeyboardInterrupt:
            pool.terminate()
            pool.join()
            typer.echo("interrupted: the results so far follow", err=True)
    return sorted(results, key=lambda result: result.plan.seed)


@contextmanager
def progress(total: int) -> Iterator[Callable[[list[Result]], None]]:
    """Shows progress on standard error: a bar on a terminal, elsewhere a line at times."""
    printed_at = time.monotonic()

    def print_line(results: list[Result]) -> None:
        nonlocal printed_at
        if time.monotonic() - printed_at >= PROGRESS_INTERVAL_S:
            printed_at = time.monotonic()
            typer.echo(
                f"{len(results)} of {total} seeds, {count_plays(results)} plays, "
                f"{count_violations(results)} violations",
                err=True,
            )

    if not sys.stderr.isatty():
        yield print_line
        return
    with Progress(
        TextColumn("soak"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        TextColumn("{task.fields[status]}"),
        console=Console(stderr=True),
    ) as bar:
        task = bar.add_task("soak", total=total, status="")
        yield lambda results: bar.update(
            task,
            completed=len(results),
            status=f"{count_plays(results)} plays, {count_violations(results)} violations",
        )


def count_plays(results: list[Result]) -> int:
    """Returns the number of plays that were requested."""
    return sum(result.asked for result in results)


def count_violations(results: list[Result]) -> int:
    """Returns the number of violations."""
    return sum(len(result.breaks) for result in results)


def write_smaller(
    result: Result, terms: Terms, settings: dict[str, Any], base: str, path: Path
) -> None:
    """Writes the smallest plan found that still breaks a rule, as a file for `--plan`."""

    def fails(faults: list[plans.Fault]) -> bool:
        smaller_plan = msgspec.structs.replace(result.plan, faults=tuple(faults))
        return any(
            play_plan(smaller_plan, terms, settings, os.path.join(base, f"smaller-{number}")).breaks
            for number in range(PLAYS_PER_SMALLER_PLAN)
        )

    found = shrink(list(result.plan.faults), fails, MAX_SMALLER_PLANS, prune=lambda faults: faults)
    path.write_bytes(
        plans.to_json(msgspec.structs.replace(result.plan, faults=tuple(found.script)))
    )
    typer.echo(
        f"{len(found.script)} of {len(result.plan.faults)} faults still break it, "
        f"after {found.played} smaller plans: {path}",
        err=True,
    )


def print_results(results: list[Result], planned: int, report: Path | None) -> None:
    """Prints the results, writes the report and ends the command."""
    for result in results:
        typer.echo(result_line(result))
        for story in result.stories:
            typer.echo(story)
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
    asked, played_, declined, failed = (
        sum(getattr(result, name) for result in results)
        for name in ("asked", "played", "declined", "failed")
    )
    rules, kinds = (
        Counter(violation.rule for result in results for violation in result.breaks),
        Counter(fault.kind for result in results for fault in result.plan.faults),
    )
    typer.echo(
        f"{len(results)} of {planned} seeds ended, "
        f"{sum(not result.judged for result in results)} not judged; "
        f"{played_ / max(asked, 1):.0%} of the plays got a session; "
        f"{sum(result.set_ups for result in results)} set-ups, "
        f"{sum(result.crossed for result in results)} crossed a close; faults: "
        + ", ".join(f"{name} {n}" for name, n in sorted(kinds.items()))
    )
    if rules:
        typer.echo("broken: " + ", ".join(f"{name} {n}" for name, n in sorted(rules.items())))
    typer.echo(
        f"plays {asked} played {played_} declined {declined} failed {failed} "
        f"without-outcome {sum(result.unanswered_count for result in results)} "
        f"twice {sum(result.duplicate_count for result in results)} "
        f"rules-broken {count_violations(results)}"
    )
    raise typer.Exit(EXIT_VIOLATION if rules else EXIT_NOT_RUN if len(results) < planned else 0)


def result_line(result: Result) -> str:
    """Returns the line of one seed; after a violation with the command that repeats the trial."""
    text = (
        f"seed {result.plan.seed}: {result.plan.directors} directors, {result.plan.nodes} nodes, "
        f"{result.asked} plays, {result.played} played, lag {result.lag_ms:.0f} ms"
    )
    if not result.judged:
        return text + ", not judged: this machine was too slow"
    return text + (
        f", BROKEN {len(result.breaks)}: bin/laddergw rehearse soak --seed {result.plan.seed}"
        if result.breaks
        else ", kept"
    )

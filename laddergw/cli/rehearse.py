"""laddergw rehearse: plays a scripted day through the real director, audits it, and prints a table and a closing summary line."""
import importlib
import json
import logging
import time
from pathlib import Path
from typing import Annotated, Optional

import typer

from laddergw.cli.day_commands import find_day
from laddergw.cli.progress import shown

EXIT_VIOLATION, EXIT_NOT_RUN = 1, 2
QUANTILES = (0.5, 0.9, 0.99, 1.0)


def rehearse(
    name: Annotated[str, typer.Argument(help="bad-day, quiet, limits (switches the operators' file), move (switches directors' files to another shape and back), apart (kills planners), fleet (network faults between edges and planners; the audit is checked against all records), budgets (edges share retry budgets while links, planners and edges fail), stitched (sessions with notices), soak (dense trials of the platform's director over seeds), or a named day: laddergw days list")] = "bad-day",
    seed: Annotated[int, typer.Option(help="seed of everything that is drawn")] = 1,
    seconds: Annotated[Optional[float], typer.Option(help="period in which new plays arrive; 60, with stitched 120, with a named day its own")] = None,
    rate: Annotated[Optional[float], typer.Option(help="new plays a second; 24 or the day's own")] = None,
    directors: Annotated[Optional[int], typer.Option(help="number of directors; 4 or the day's own")] = None,
    nodes: Annotated[Optional[int], typer.Option(help="number of media nodes; 24 or the day's own")] = None,
    book: Annotated[Optional[Path], typer.Option(help="a file of days in place of the named ones")] = None,
    day: Annotated[Optional[Path], typer.Option(help="play the faults of a simulator day's file instead")] = None,
    speed: Annotated[float, typer.Option(help="with --day: factor by which its time is compressed")] = 1.0,
    memory: Annotated[bool, typer.Option("--memory", help="in memory on a virtual clock: same seed, same run")] = False,
    report: Annotated[Optional[Path], typer.Option(help="write the result as JSON")] = None,
    sessions: Annotated[int, typer.Option(help="with stitched: number of sessions")] = 600,
    kills: Annotated[int, typer.Option(help="with apart, fleet and budgets: kills of planners")] = 20,
    seeds: Annotated[Optional[str], typer.Option(help="with soak: A-B, in place of --seed")] = None,
    plan: Annotated[Optional[Path], typer.Option(help="with soak: play this file's plan")] = None,
    config: Annotated[Optional[Path], typer.Option(help="with soak: a director's configuration file, whose settings are the terms")] = None,
    jobs: Annotated[int, typer.Option(min=1, max=16, help="with soak: concurrent trials")] = 1,
    smaller: Annotated[Optional[Path], typer.Option(help="with soak: write the smallest plan that still breaks a rule to this file")] = None,
    lines: Annotated[Optional[Path], typer.Option(help="with fleet and budgets: a script of network faults between edges and planners in place of the drawn one")] = None,
    keep: Annotated[Optional[Path], typer.Option(help="keep files and records in this folder")] = None,
    log: Annotated[str, typer.Option(help="log level of the directors")] = "warning",
) -> None:
    """Rehearses a day against stand-ins and judges the six rules from the recorded traffic on the sockets."""
    from laddergw.lab import days, deployment_model, scenario_file, script
    logging.basicConfig(level=logging.WARNING)
    default_deployment = lambda: deployment_model.build_deployment(seed, directors or 4, nodes or 24, rate or 24.0, seconds or 60.0)
    if name == "soak" and day is None:
        from laddergw.cli.rehearse_soak import soak
        from laddergw.lab.soak.plan import Sizes
        return soak(seeds or str(seed), plan, Sizes(directors, seconds, config is not None), config, report, keep, jobs, smaller)
    if name == "apart" and day is None:
        return run_planner_outages(seed, default_deployment(), report, memory, keep, log, kills)
    if name == "fleet" and day is None:
        from laddergw.cli.rehearse_fleet import run_fleet
        return run_fleet(seed, deployment_model.build_deployment(seed, directors or 12, nodes or 24, rate or 24.0, seconds or 60.0), report, memory, keep, log, kills, lines)
    if name == "budgets" and day is None:
        from laddergw.cli.rehearse_fleet import run_budgets
        return run_budgets(seed, deployment_model.build_deployment(seed, directors or 12, nodes or 24, rate or 24.0, seconds or 60.0), report, memory, keep, log, kills, lines)
    if name in ("limits", "move") and day is None:
        return run_switching(importlib.import_module(f"laddergw.lab.{name}"), seed, default_deployment(), report, memory, keep, log)
    if name == "stitched" and day is None:
        return run_stitched(seed, sessions, seconds or 120.0, report, memory, keep, log)
    built_in_days: dict = {"bad-day": script.bad_day, "quiet": lambda _: []}
    try:
        if day is not None:
            bench_day = days.read(day, seed, speed)
            model, fault_script, notes = bench_day.model, bench_day.script, bench_day.said
        elif name in built_in_days and book is None:
            model, notes = default_deployment(), []
            fault_script = built_in_days[name](model)
        else:
            named_day = find_day(name, book)
            model, notes = scenario_file.deployment_of(named_day, seed, seconds=seconds, rate=rate, directors=directors, nodes=nodes), [f"{name}: {named_day.says}"]
            fault_script = scenario_file.script_of(named_day, model)
    except days.InvalidDayFile as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_NOT_RUN) from None
    for line in notes:
        typer.echo(line)
    began_at = time.monotonic()
    records, missed = run_day(model, fault_script, memory, keep, log)
    judge_and_exit(model, fault_script, records, missed, "in memory" if memory else "on loopback", began_at, seed, notes, report)


def run_stitched(seed: int, sessions: int, seconds: float, report: Path | None, memory: bool, keep: Path | None, log: str) -> None:
    """Rehearses sessions with notices during drains, moves in mid-insertion and failing sources; a timing fault fails the rehearsal."""
    from laddergw.lab import stitched
    began_at, model = time.monotonic(), stitched.stitched_deployment(seed, sessions, seconds)
    fault_script = stitched.fault_script(model)
    from laddergw.lab.stitched_processes import StitchedProcesses
    stage = stitched.StitchedStage(model, fault_script, sessions) if memory else \
        StitchedProcesses(model, fault_script, sessions, str(keep) if keep else None, log)
    records = collect_records(stage)
    totals = stitched.totals(records)
    notes = [", ".join(f"{name} {value:.0f}" for name, value in totals.items())
            + f", items of plays elsewhere at most {100 * stitched.item_share(model, records):.0f}% of a link in 10 s"]
    typer.echo(notes[0])
    for at, what, facts in [r for r in records if r[1] in ("timing fault", "bad playlist")][:20]:
        typer.echo(f"broken: timing: {facts}")
    judge_and_exit(model, fault_script, records, stage.scenario.missed, "in memory" if memory else "on loopback", began_at, seed, notes, report, bool(totals["timing faults"]))


def run_switching(rehearsal, seed: int, model, report: Path | None, memory: bool, keep: Path | None, log: str) -> None:
    """Switches files of running directors during a bad day: the operators' (limits) or their own (move); a dropped play fails the rehearsal."""
    from laddergw.lab import script
    began_at, fault_script = time.monotonic(), script.bad_day(model)
    stage = rehearsal.stage_for(model, fault_script, memory, str(keep) if keep else None, log)
    records = collect_records(stage)
    totals = rehearsal.count_switches(records)
    notes = [f"{stage.version_count} versions; " + ", ".join(f"{name} {value}" for name, value in totals.items())]
    typer.echo(notes[0])
    judge_and_exit(model, fault_script, records, stage.scenario.missed, "in memory" if memory else "on loopback", began_at, seed, notes, report, bool(totals["dropped"]))


def run_planner_outages(seed: int, model, report: Path | None, memory: bool, keep: Path | None, log: str, kills: int) -> None:
    """Rehearses edges and planners; the planners are killed and started again throughout a bad day."""
    from laddergw.lab import script
    from laddergw.lab.planner_outage import TWO_PLANNERS, PlannerOutageStage
    from laddergw.lab.planner_outage_processes import PlannerOutageProcesses
    began_at, fault_script = time.monotonic(), script.bad_day(model)
    stage = PlannerOutageStage(model, fault_script, TWO_PLANNERS, kills) if memory else PlannerOutageProcesses(model, fault_script, kills, str(keep) if keep else None, log)
    records = collect_records(stage)
    notes = [stage.summary()]
    typer.echo(notes[0])
    judge_and_exit(model, fault_script, records, stage.scenario.missed, "in memory" if memory else "on loopback", began_at, seed, notes, report)


def judge_and_exit(model, fault_script, records, missed: int, where: str, began_at: float, seed: int, notes: list, report: Path | None,
             bad: bool = False) -> None:
    """Audits the records, prints the result, writes the report and exits the command; `bad`: the rehearsal has failed by a check of its own."""
    from laddergw.lab import audit
    result = audit.audit(model, records)
    typer.echo(f"{len(fault_script)} fault events, {missed} of them on targets already gone; {where}, {time.monotonic() - began_at:.0f} s")
    typer.echo(format_table(model, result))
    for violation in result.breaks[:20]:
        typer.echo(f"broken: {violation.rule}: {violation.what}")
    if report is not None:
        report.write_text(json.dumps(build_report(model, result, seed, notes, where), indent=1, default=str) + "\n")
    typer.echo(result.line())
    raise typer.Exit(EXIT_VIOLATION if bad or result.without or result.twice or result.breaks else 0)


def run_day(model, fault_script, memory: bool, keep: Path | None, log: str) -> tuple[list, int]:
    """Plays a day in memory or as processes; returns the records and the number of fault events whose target was gone already."""
    if memory:
        from laddergw.lab.stage_memory import MemoryStage
        stage = MemoryStage(model, fault_script)
    else:
        from laddergw.lab.stage_processes import ProcessStage
        stage = ProcessStage(model, fault_script, str(keep) if keep else None, log)
    return collect_records(stage), stage.scenario.missed


def describe_progress(stage) -> str:
    """A line on what a stage has recorded up to now."""
    records = getattr(stage, "records", ())
    return f"{sum(record[1] == 'asked' for record in list(records))} plays so far, {len(records)} records"


def collect_records(stage) -> list[tuple]:
    """Runs a stage and returns its records; exits the command if it could not run."""
    from laddergw.lab.stage_processes import RehearsalError
    model = getattr(stage, "model", None)
    try:
        with shown(model.crowd.seconds if model is not None else None, lambda: describe_progress(stage)):
            return stage.run()
    except RehearsalError as error:
        typer.echo(f"could not run: {error}", err=True)
        raise typer.Exit(EXIT_NOT_RUN) from None


def quantile(values: list[float], share: float) -> float:
    """The value below which this share of the values lies; 0 without values."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def format_table(model, result) -> str:
    """Service by product, first frames, rungs and drains, in lines."""
    names = [product.name for product in model.wares]
    lines = ["service within the first-frame target: " + ", ".join(
        f"{name} {result.service.get(name, 0):.3f}" for name in ("all", *names) if name in result.service)]
    lines.append("first frame ms: " + ", ".join(f"p{q * 100:g} {quantile(result.first_ms, q):.1f}" for q in QUANTILES))
    lines.append("rungs: " + ", ".join(f"{rung}: {times}" for rung, times in result.rungs.items())
                 + f"; tries {result.tries}; longest from the notice of a drain to a new set-up's last byte {result.drained_ms:.1f} ms")
    return "\n".join(lines)


def build_report(model, result, seed: int, notes: list, where: str) -> dict:
    """The report of a rehearsal, to be written as JSON."""
    return {"seed": seed, "where": where, "said": notes, "line": result.line(), "plays": result.plays, "tries": result.tries,
            **result.outcomes, "without_outcome": result.without, "twice": result.twice, "service": result.service,
            "first_frame_ms": {f"p{q * 100:g}": quantile(result.first_ms, q) for q in QUANTILES}, "rungs": result.rungs,
            "drained_ms": result.drained_ms,
            "breaks": [{"rule": violation.rule, "what": violation.what, "evidence": violation.evidence} for violation in result.breaks]}

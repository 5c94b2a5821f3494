"""rehearse fleet and rehearse budgets: the audit and the budgets of the fleet, in memory or as processes, under network faults between edges and planners."""
import time
from pathlib import Path

import typer

from laddergw.cli.rehearse import EXIT_NOT_RUN, collect_records, judge_and_exit


def run_fleet(seed: int, model, report: Path | None, memory: bool, keep: Path | None, log: str, kills: int, lines: Path | None = None) -> None:
    """Rehearses the fleet's audit: a bad day on which links are also cut, stalled, slowed and reset, planners are killed, also both at once, and limits are switched
    every few seconds."""
    from laddergw.lab import network_fault_script, script
    from laddergw.lab.fleet_processes import FleetProcesses
    from laddergw.lab.fleet_stage import FleetStage
    from laddergw.terms.sexpr import FileRejected
    began_at, fault_script = time.monotonic(), script.bad_day(model)
    try:
        faults = network_fault_script.read_file(str(lines)) if lines is not None else None
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_NOT_RUN) from None
    stage = FleetStage(model, fault_script, kills, faults=faults) if memory else FleetProcesses(model, fault_script, kills, str(keep) if keep else None, log, faults)
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        (keep / "lines.scm").write_text(network_fault_script.write(stage.faults))
    records = collect_records(stage)
    notes = [stage.summary(), "audit: " + ", ".join(f"{name} {value}" for name, value in stage.facts.items())
            + ("; every count equals the directors' own" if not stage.verdict else f"; {len(stage.verdict)} differ")]
    for line in notes + [f"broken: audit: {violation}" for violation in stage.verdict[:20]]:
        typer.echo(line)
    judge_and_exit(model, fault_script, records, stage.scenario.missed, "in memory" if memory else "on loopback", began_at, seed, notes, report, bool(stage.verdict))


def run_budgets(seed: int, model, report: Path | None, memory: bool, keep: Path | None, log: str, kills: int, lines: Path | None = None) -> None:
    """Rehearses the fleet's budgets: a bad day on which edges share retry budgets while links, planners and edges fail. The maximum within any window is counted from the
    edges' own records of traffic."""
    from laddergw.lab import network_fault_script, script
    from laddergw.lab.budget_processes import BudgetProcesses, error_storms
    from laddergw.terms.sexpr import FileRejected
    if memory:
        typer.echo("rehearse budgets runs as processes only; in memory use the tests and benchmarks/budgets_use.py", err=True)
        raise typer.Exit(EXIT_NOT_RUN)
    began_at, fault_script = time.monotonic(), sorted(script.bad_day(model) + error_storms(model))
    try:
        faults = network_fault_script.read_file(str(lines)) if lines is not None else None
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_NOT_RUN) from None
    stage = BudgetProcesses(model, fault_script, kills, str(keep) if keep else None, log, faults)
    records = collect_records(stage)
    notes, over = stage.judge_budget(records)
    for line in notes:
        typer.echo(line)
    judge_and_exit(model, fault_script, records, stage.scenario.missed, "on loopback", began_at, seed, notes, report, over or bool(stage.verdict))

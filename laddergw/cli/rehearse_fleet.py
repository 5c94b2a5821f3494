"""rehearse fleet: the audit of the fleet, in memory or as processes, with the lines between edges and planners failing."""
import time
from pathlib import Path

import typer

from laddergw.cli.rehearse import EXIT_COULD_NOT, conclude, played


def fleet(seed: int, the_plant, report: Path | None, memory: bool, keep: Path | None, log: str, kills: int, lines: Path | None = None) -> None:
    """A bad day, and on top of it: lines cut, stalled, slowed and reset, planners killed, also both at once, limits switched every few seconds."""
    from laddergw.lab import line_script, script
    from laddergw.lab.fleet_processes import FleetProcesses
    from laddergw.lab.fleet_stage import FleetStage
    from laddergw.terms.sexpr import FileRejected
    began, the_script = time.monotonic(), script.bad_day(the_plant)
    try:
        faults = line_script.read_file(str(lines)) if lines is not None else None
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_COULD_NOT) from None
    stage = FleetStage(the_plant, the_script, kills, faults=faults) if memory else FleetProcesses(the_plant, the_script, kills, str(keep) if keep else None, log, faults)
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        (keep / "lines.scm").write_text(line_script.write(stage.faults))
    records = played(stage)
    said = [stage.told(), "audit: " + ", ".join(f"{name} {value}" for name, value in stage.facts.items())
            + ("; every count as the directors counted themselves" if not stage.verdict else f"; {len(stage.verdict)} differ")]
    for line in said + [f"broken: audit: {broken}" for broken in stage.verdict[:20]]:
        typer.echo(line)
    conclude(the_plant, the_script, records, stage.conductor.missed, "in memory" if memory else "on loopback", began, seed, said, report, bool(stage.verdict))


def budgets(seed: int, the_plant, report: Path | None, memory: bool, keep: Path | None, log: str, kills: int, lines: Path | None = None) -> None:
    """A bad day on which edges share further allocations; lines, planners and edges fail. The most that any window held is counted from the edges' own taps."""
    from laddergw.lab import line_script, script
    from laddergw.lab.budget_processes import BudgetProcesses, storms
    from laddergw.terms.sexpr import FileRejected
    if memory:
        typer.echo("rehearse budgets plays as processes; in memory it is tests and benchmarks/budgets_use.py", err=True)
        raise typer.Exit(EXIT_COULD_NOT)
    began, the_script = time.monotonic(), sorted(script.bad_day(the_plant) + storms(the_plant))
    try:
        faults = line_script.read_file(str(lines)) if lines is not None else None
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_COULD_NOT) from None
    stage = BudgetProcesses(the_plant, the_script, kills, str(keep) if keep else None, log, faults)
    records = played(stage)
    said, over = stage.judged(records)
    for line in said:
        typer.echo(line)
    conclude(the_plant, the_script, records, stage.conductor.missed, "on loopback", began, seed, said, report, over or bool(stage.verdict))

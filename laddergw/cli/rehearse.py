"""laddergw rehearse: plays a scripted day through the real director, audits it, prints the table and the plain line."""
import importlib
import json
import logging
import time
from pathlib import Path
from typing import Annotated, Optional

import typer

from laddergw.cli.day_commands import find_day
from laddergw.cli.progress import shown

EXIT_BROKEN, EXIT_COULD_NOT = 1, 2
QUANTILES = (0.5, 0.9, 0.99, 1.0)


def rehearse(
    name: Annotated[str, typer.Argument(help="bad-day, quiet, limits (the operators' file switched), move (directors' files switched to another shape and back), apart (planners killed), fleet (lines between edges and planners fail, the audit held against all), stitched (sessions with notices), soak (dense trials of the platform's director over seeds), or a named day: laddergw days list")] = "bad-day",
    seed: Annotated[int, typer.Option(help="draws everything")] = 1,
    seconds: Annotated[Optional[float], typer.Option(help="time in which new plays come; 60, with stitched 120, with a named day its own")] = None,
    rate: Annotated[Optional[float], typer.Option(help="new plays a second; 24 or the day's own")] = None,
    directors: Annotated[Optional[int], typer.Option(help="4 or the day's own")] = None,
    nodes: Annotated[Optional[int], typer.Option(help="24 or the day's own")] = None,
    book: Annotated[Optional[Path], typer.Option(help="a file of days in place of the named ones")] = None,
    day: Annotated[Optional[Path], typer.Option(help="play the troubles of a bench day's file instead")] = None,
    speed: Annotated[float, typer.Option(help="with --day: compress its time so many times")] = 1.0,
    memory: Annotated[bool, typer.Option("--memory", help="in memory on a virtual clock: same seed, same run")] = False,
    report: Annotated[Optional[Path], typer.Option(help="write the result as JSON")] = None,
    sessions: Annotated[int, typer.Option(help="with stitched")] = 600,
    kills: Annotated[int, typer.Option(help="with apart: of planners")] = 20,
    seeds: Annotated[Optional[str], typer.Option(help="with soak: A-B, in place of --seed")] = None,
    plan: Annotated[Optional[Path], typer.Option(help="with soak: play this file's plan")] = None,
    config: Annotated[Optional[Path], typer.Option(help="with soak: a director's configuration file, whose settings are the terms")] = None,
    jobs: Annotated[int, typer.Option(min=1, max=16, help="with soak: trials side by side")] = 1,
    smaller: Annotated[Optional[Path], typer.Option(help="with soak: write the least plan that still breaks here")] = None,
    lines: Annotated[Optional[Path], typer.Option(help="with fleet: a script of faults between edges and planners in place of the drawn one")] = None,
    keep: Annotated[Optional[Path], typer.Option(help="keep files and records in this folder")] = None,
    log: Annotated[str, typer.Option(help="log level of the directors")] = "warning",
) -> None:
    """Rehearses a day against stand-ins and judges the six rules from what passed on the sockets."""
    from laddergw.lab import daybook, days, plant, script
    logging.basicConfig(level=logging.WARNING)
    usual = lambda: plant.plant(seed, directors or 4, nodes or 24, rate or 24.0, seconds or 60.0)
    if name == "soak" and day is None:
        from laddergw.cli.rehearse_soak import soak
        from laddergw.lab.soak.plan import Sizes
        return soak(seeds or str(seed), plan, Sizes(directors, seconds, config is not None), config, report, keep, jobs, smaller)
    if name == "apart" and day is None:
        return apart(seed, usual(), report, memory, keep, log, kills)
    if name == "fleet" and day is None:
        from laddergw.cli.rehearse_fleet import fleet
        return fleet(seed, plant.plant(seed, directors or 12, nodes or 24, rate or 24.0, seconds or 60.0), report, memory, keep, log, kills, lines)
    if name == "budgets" and day is None:
        from laddergw.cli.rehearse_fleet import budgets
        return budgets(seed, plant.plant(seed, directors or 12, nodes or 24, rate or 24.0, seconds or 60.0), report, memory, keep, log, kills, lines)
    if name in ("limits", "move") and day is None:
        return switching(importlib.import_module(f"laddergw.lab.{name}"), seed, usual(), report, memory, keep, log)
    if name == "stitched" and day is None:
        return stitched(seed, sessions, seconds or 120.0, report, memory, keep, log)
    own: dict = {"bad-day": script.bad_day, "quiet": lambda _: []}
    try:
        if day is not None:
            mapped = days.read(day, seed, speed)
            the_plant, the_script, said = mapped.plant, mapped.script, mapped.said
        elif name in own and book is None:
            the_plant, said = usual(), []
            the_script = own[name](the_plant)
        else:
            named = find_day(name, book)
            the_plant, said = daybook.plant_of(named, seed, seconds=seconds, rate=rate, directors=directors, nodes=nodes), [f"{name}: {named.says}"]
            the_script = daybook.script_of(named, the_plant)
    except days.Unreadable as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_COULD_NOT) from None
    for line in said:
        typer.echo(line)
    began = time.monotonic()
    records, missed = perform(the_plant, the_script, memory, keep, log)
    conclude(the_plant, the_script, records, missed, "in memory" if memory else "on loopback", began, seed, said, report)


def stitched(seed: int, sessions: int, seconds: float, report: Path | None, memory: bool, keep: Path | None, log: str) -> None:
    """Sessions with notices through drains, moves in mid-insertion and dying sources; timing faults count as broken."""
    from laddergw.lab import stitched as lab
    began, the_plant = time.monotonic(), lab.stitched_plant(seed, sessions, seconds)
    the_script = lab.script(the_plant)
    from laddergw.lab.stitched_processes import StitchedProcesses
    stage = lab.StitchedStage(the_plant, the_script, sessions) if memory else \
        StitchedProcesses(the_plant, the_script, sessions, str(keep) if keep else None, log)
    records = played(stage)
    found = lab.totals(records)
    said = [", ".join(f"{name} {value:.0f}" for name, value in found.items())
            + f", items of plays elsewhere at most {100 * lab.item_share(the_plant, records):.0f}% of a link in 10 s"]
    typer.echo(said[0])
    for at, what, facts in [r for r in records if r[1] in ("timing fault", "bad playlist")][:20]:
        typer.echo(f"broken: timing: {facts}")
    conclude(the_plant, the_script, records, stage.conductor.missed, "in memory" if memory else "on loopback", began, seed, said, report, bool(found["timing faults"]))


def switching(lab, seed: int, the_plant, report: Path | None, memory: bool, keep: Path | None, log: str) -> None:
    """Files of running directors switched while a bad day plays: the operators' (limits) or their own (move); a dropped play counts as broken."""
    from laddergw.lab import script
    began, the_script = time.monotonic(), script.bad_day(the_plant)
    stage = lab.stage_for(the_plant, the_script, memory, str(keep) if keep else None, log)
    records = played(stage)
    found = lab.switched(records)
    said = [f"{stage.numbers} versions; " + ", ".join(f"{name} {value}" for name, value in found.items())]
    typer.echo(said[0])
    conclude(the_plant, the_script, records, stage.conductor.missed, "in memory" if memory else "on loopback", began, seed, said, report, bool(found["dropped"]))


def apart(seed: int, the_plant, report: Path | None, memory: bool, keep: Path | None, log: str, kills: int) -> None:
    """Edges and planners, the planners killed and started again all through a bad day."""
    from laddergw.lab import script
    from laddergw.lab.apart import TWO, ApartStage
    from laddergw.lab.apart_processes import ApartProcesses
    began, the_script = time.monotonic(), script.bad_day(the_plant)
    stage = ApartStage(the_plant, the_script, TWO, kills) if memory else ApartProcesses(the_plant, the_script, kills, str(keep) if keep else None, log)
    records = played(stage)
    said = [stage.told()]
    typer.echo(said[0])
    conclude(the_plant, the_script, records, stage.conductor.missed, "in memory" if memory else "on loopback", began, seed, said, report)


def conclude(the_plant, the_script, records, missed: int, where: str, began: float, seed: int, said: list, report: Path | None,
             bad: bool = False) -> None:
    """Judges, prints and ends the command."""
    from laddergw.lab import audit
    judged = audit.audit(the_plant, records)
    typer.echo(f"{len(the_script)} troubles, {missed} of them on what was gone already; {where}, {time.monotonic() - began:.0f} s")
    typer.echo(table(the_plant, judged))
    for broken in judged.breaks[:20]:
        typer.echo(f"broken: {broken.rule}: {broken.what}")
    if report is not None:
        report.write_text(json.dumps(as_json(the_plant, judged, seed, said, where), indent=1, default=str) + "\n")
    typer.echo(judged.line())
    raise typer.Exit(EXIT_BROKEN if bad or judged.without or judged.twice or judged.breaks else 0)


def perform(the_plant, the_script, memory: bool, keep: Path | None, log: str) -> tuple[list, int]:
    """Runs it; the records and the troubles that found nothing to hit."""
    if memory:
        from laddergw.lab.stage_memory import MemoryStage
        stage = MemoryStage(the_plant, the_script)
    else:
        from laddergw.lab.stage_processes import ProcessStage
        stage = ProcessStage(the_plant, the_script, str(keep) if keep else None, log)
    return played(stage), stage.conductor.missed


def so_far(stage) -> str:
    """What a stage has recorded up to now."""
    records = getattr(stage, "records", ())
    return f"{sum(record[1] == 'asked' for record in list(records))} plays so far, {len(records)} records"


def played(stage) -> list[tuple]:
    """A stage's records; the command ends where it could not run."""
    from laddergw.lab.stage_processes import CouldNotRun
    the_plant = getattr(stage, "plant", None)
    try:
        with shown(the_plant.crowd.seconds if the_plant is not None else None, lambda: so_far(stage)):
            return stage.run()
    except CouldNotRun as error:
        typer.echo(f"could not run: {error}", err=True)
        raise typer.Exit(EXIT_COULD_NOT) from None


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))] if values else 0.0


def table(the_plant, judged) -> str:
    names = [ware.name for ware in the_plant.wares]
    lines = ["service within the first-frame target: " + ", ".join(
        f"{name} {judged.service.get(name, 0):.3f}" for name in ("all", *names) if name in judged.service)]
    lines.append("first frame ms: " + ", ".join(f"p{q * 100:g} {quantile(judged.first_ms, q):.1f}" for q in QUANTILES))
    lines.append("rungs: " + ", ".join(f"{rung}: {times}" for rung, times in judged.rungs.items())
                 + f"; tries {judged.tries}; longest from told of a drain to a new set-up's last byte {judged.drained_ms:.1f} ms")
    return "\n".join(lines)


def as_json(the_plant, judged, seed: int, said: list, where: str) -> dict:
    return {"seed": seed, "where": where, "said": said, "line": judged.line(), "plays": judged.plays, "tries": judged.tries,
            **judged.outcomes, "without_outcome": judged.without, "twice": judged.twice, "service": judged.service,
            "first_frame_ms": {f"p{q * 100:g}": quantile(judged.first_ms, q) for q in QUANTILES}, "rungs": judged.rungs,
            "drained_ms": judged.drained_ms,
            "breaks": [{"rule": b.rule, "what": b.what, "evidence": b.evidence} for b in judged.breaks]}

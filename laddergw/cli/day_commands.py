"""laddergw days: lists the named days, checks files of days, and shrinks a failing day to the fault events that matter."""
from pathlib import Path
from typing import Annotated, Optional

import typer

app = typer.Typer(no_args_is_help=True, help="Days: list, check, shrink.")
EXIT_REJECTED = 2
DayFileOption = Annotated[Optional[Path], typer.Option("--book", help="a file of days in place of the named ones")]


def load_days(book: Path | None) -> dict:
    """The days of a file, or the named days, by name. Exits the command if the file is rejected."""
    from laddergw.lab import scenario_file
    from laddergw.terms.reading import read_text
    from laddergw.terms.sexpr import FileRejected
    try:
        return scenario_file.named_days() if book is None else scenario_file.read(read_text(str(book)), book.name)
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REJECTED) from None


def find_day(name: str, book: Path | None):
    """A day by its name. Exits the command if there is none."""
    days = load_days(book)
    if name not in days:
        typer.echo(f"no day {name!r}: {', '.join(days)}", err=True)
        raise typer.Exit(EXIT_REJECTED)
    return days[name]


@app.command("list")
def list_days(book: DayFileOption = None) -> None:
    """Lists the days, each with its purpose."""
    for day in load_days(book).values():
        typer.echo(f"{day.name:20} {day.says}")


@app.command()
def check(files: Annotated[list[Path], typer.Argument(help="files of days")]) -> None:
    """Reports every fault of files of days. Exits with 2 if one is rejected."""
    for file in files:
        typer.echo(f"{file}: good: {len(load_days(file))} days")


@app.command()
def shrink(name: Annotated[str, typer.Argument(help="a day")], seed: Annotated[int, typer.Option()] = 1, below: Annotated[float, typer.Option(help="a day fails if its service is below this share")] = 0.0,
           book: DayFileOption = None, most: Annotated[int, typer.Option(help="days played at most")] = 60) -> None:
    """Removes fault events as long as the day still fails (a rule broken, a play without an outcome, service below --below), in memory; prints the rest."""
    import logging

    from laddergw.lab import audit, scenario_file, shrink as shrinker
    from laddergw.lab.stage_memory import MemoryStage
    logging.disable(logging.CRITICAL)
    day = find_day(name, book)
    model = scenario_file.deployment_of(day, seed)

    def fails(script: list) -> bool:
        result = audit.audit(model, MemoryStage(model, script).run())
        return bool(result.breaks or result.without or result.service.get("all", 1.0) < below)
    script = scenario_file.script_of(day, model)
    if not fails(script):
        typer.echo(f"{name} with seed {seed} does not fail")
        raise typer.Exit(0)
    shrunk = shrinker.shrink(script, fails, most)
    typer.echo(f"{len(shrunk.script)} of {len(script)} fault events, {shrunk.played + 1} days played")
    for event in shrunk.script:
        typer.echo(f"{event.at / 1000:9.2f} s  {event.kind} {event.who}" + ("" if event.value is None else f" {event.value:g}"))
    raise typer.Exit(1)

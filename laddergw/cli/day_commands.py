"""laddergw days: the named days, a file of days checked, and a failing day shrunk to what matters."""
from pathlib import Path
from typing import Annotated, Optional

import typer

app = typer.Typer(no_args_is_help=True, help="Days: list, check, shrink.")
EXIT_REFUSED = 2
Book = Annotated[Optional[Path], typer.Option("--book", help="a file of days instead of the named ones")]


def days_of(book: Path | None) -> dict:
    from laddergw.lab import daybook
    from laddergw.terms.reading import read_text
    from laddergw.terms.sexpr import FileRejected
    try:
        return daybook.book() if book is None else daybook.read(read_text(str(book)), book.name)
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REFUSED) from None


def day_of(name: str, book: Path | None):
    found = days_of(book)
    if name not in found:
        typer.echo(f"no day {name!r}: {', '.join(found)}", err=True)
        raise typer.Exit(EXIT_REFUSED)
    return found[name]


@app.command("list")
def list_days(book: Book = None) -> None:
    """Every day with what it is for."""
    for day in days_of(book).values():
        typer.echo(f"{day.name:20} {day.says}")


@app.command()
def check(files: Annotated[list[Path], typer.Argument(help="files of days")]) -> None:
    """Tells everything that is wrong with files of days. Ends with 2 where one is refused."""
    for file in files:
        typer.echo(f"{file}: good: {len(days_of(file))} days")


@app.command()
def shrink(name: Annotated[str, typer.Argument(help="a day")], seed: Annotated[int, typer.Option()] = 1, below: Annotated[float, typer.Option(help="failing: service under this")] = 0.0,
           book: Book = None, most: Annotated[int, typer.Option(help="days played at most")] = 60) -> None:
    """Leaves out troubles as long as the day still fails (a rule broken, a play without an outcome, service under --below), in memory; prints what is left."""
    import logging

    from laddergw.lab import audit, daybook, shrink as lab
    from laddergw.lab.stage_memory import MemoryStage
    logging.disable(logging.CRITICAL)
    day = day_of(name, book)
    the_plant = daybook.plant_of(day, seed)

    def fails(script: list) -> bool:
        judged = audit.audit(the_plant, MemoryStage(the_plant, script).run())
        return bool(judged.breaks or judged.without or judged.service.get("all", 1.0) < below)
    script = daybook.script_of(day, the_plant)
    if not fails(script):
        typer.echo(f"{name} with seed {seed} does not fail")
        raise typer.Exit(0)
    shrunk = lab.shrink(script, fails, most)
    typer.echo(f"{len(shrunk.script)} of {len(script)} troubles, {shrunk.played + 1} days played")
    for trouble in shrunk.script:
        typer.echo(f"{trouble.at / 1000:9.2f} s  {trouble.kind} {trouble.who}" + ("" if trouble.value is None else f" {trouble.value:g}"))
    raise typer.Exit(1)

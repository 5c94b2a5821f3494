"""laddergw experiment: variants held against each other over days and seeds."""
import tempfile
from pathlib import Path
from typing import Annotated, Optional

import typer

EXIT_OPEN, EXIT_REFUSED = 1, 2


def experiment(
    file: Annotated[Path, typer.Argument(help="an experiment's file, see docs/laboratory.md")],
    store: Annotated[Path, typer.Option(help="results as they come; an experiment that was killed goes on where it stopped")] = Path("experiments.db"),
    processes: Annotated[Optional[int], typer.Option(help="runs at once; as many as there are cores where left out")] = None,
) -> None:
    """Plays what is missing and tells, variant by variant, the difference with its interval. Ends with 1 where one is still open, 2 where the file is refused."""
    from laddergw.lab import experiment as lab
    from laddergw.terms.sexpr import FileRejected
    try:
        told = lab.read_file(str(file))
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REFUSED) from None
    folder = tempfile.gettempdir()
    found = lab.run(told, lab.Results(str(store)), typer.echo, processes, lambda revision: lab.checkout(revision, folder))
    first = told.variants[0].name
    for name, one in found.items():
        typer.echo(f"{name} against {first}: {told.measure} {one.mean:+.4f}, {100 * told.confidence:g}% interval {one.low:+.4f} to {one.high:+.4f}, {one.pairs} pairs: {one.verdict}")
    raise typer.Exit(EXIT_OPEN if any(one.verdict == "open" for one in found.values()) else 0)

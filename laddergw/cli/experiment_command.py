"""laddergw experiment: compares variants over days and seeds."""
import tempfile
from pathlib import Path
from typing import Annotated, Optional

import typer

EXIT_OPEN, EXIT_REJECTED = 1, 2


def experiment(
    file: Annotated[Path, typer.Argument(help="an experiment's file, see docs/laboratory.md")],
    store: Annotated[Path, typer.Option(help="results are stored here as they come; a killed experiment resumes from them")] = Path("experiments.db"),
    processes: Annotated[Optional[int], typer.Option(help="concurrent runs; by default the number of cores")] = None,
) -> None:
    """Plays the missing runs and prints each variant's difference with its interval. Exits with 1 if a comparison is still open, 2 if the file is rejected."""
    from laddergw.lab import experiment as experiments
    from laddergw.terms.sexpr import FileRejected
    try:
        definition = experiments.read_file(str(file))
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REJECTED) from None
    folder = tempfile.gettempdir()
    differences = experiments.run(definition, experiments.Results(str(store)), typer.echo, processes, lambda revision: experiments.checkout(revision, folder))
    baseline = definition.variants[0].name
    for name, difference in differences.items():
        typer.echo(f"{name} against {baseline}: {definition.measure} {difference.mean:+.4f}, {100 * definition.confidence:g}% interval {difference.low:+.4f} to {difference.high:+.4f}, {difference.pairs} pairs: {difference.verdict}")
    raise typer.Exit(EXIT_OPEN if any(difference.verdict == "open" for difference in differences.values()) else 0)

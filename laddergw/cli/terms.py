"""laddergw terms: checks, explains and compares the operators' files of limits."""
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True, help="The operators' limits: check, explain, diff.")
EXIT_REJECTED = 2
DirectorFileOption = Annotated[Path, typer.Option("--house", help="the director's file: its products, bounds and deployment")]
LimitsFileArgument = Annotated[Path, typer.Argument(help="a file of limits")]


def read_director_file(path: Path):
    """Reads a director's file. Exits the command if it is rejected."""
    from laddergw.terms import director_file
    from laddergw.terms.sexpr import FileRejected
    try:
        return director_file.read_file(str(path))
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REJECTED) from None


def load_limits(file: Path, settings, check_safety: bool):
    """Loads limits; prints every reason against them and exits the command if they are rejected. Without `check_safety` only their form is checked."""
    from laddergw.terms import limits
    from laddergw.terms.loading import load_file, default_terms
    from laddergw.terms.sexpr import FileRejected
    if not check_safety:
        try:
            return limits.read_file(str(file), settings.names, default_terms(settings))
        except FileRejected as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(EXIT_REJECTED) from None
    result = load_file(str(file), settings)
    if result.limits is None:
        for text in result.texts():
            typer.echo(text, err=True)
        raise typer.Exit(EXIT_REJECTED)
    return result.limits


@app.command()
def check(files: Annotated[list[Path], typer.Argument(help="files of limits")], house: DirectorFileOption,
          directors: Annotated[int, typer.Option(help="check for this number of directors in place of the deployment's")] = 0) -> None:
    """Reports everything that speaks against a file: faults of form and of meaning, and how it would break a rule. Exits with 2 if one is rejected."""
    import time

    from laddergw.terms.loading import load_file
    settings, rejected_count = read_director_file(house), 0
    if directors:
        settings = settings._replace(deployment=settings.deployment._replace(directors=directors))
    for file in files:
        began = time.perf_counter()
        result = load_file(str(file), settings)
        if result.limits is None:
            rejected_count += 1
            for text in result.texts():
                typer.echo(text, err=True)
        else:
            classes = len(result.limits.classes(settings.names))
            typer.echo(f"{file}: good: {len(result.limits.routes)} routes, {classes} routes and products checked in {time.perf_counter() - began:.2f} s")
    raise typer.Exit(EXIT_REJECTED if rejected_count else 0)


@app.command()
def explain(file: LimitsFileArgument, house: DirectorFileOption, product: Annotated[str, typer.Option()], route: Annotated[str, typer.Option()] = "/") -> None:
    """Shows the limits in effect for a route and product, the line that sets each, and the longest timeline that a play can have under them."""
    from laddergw.terms import search
    from laddergw.terms.generations import budget_names, format_value
    from laddergw.terms.proof import answer_margin_ms
    settings = read_director_file(house)
    limits = load_limits(file, settings, False)
    if product not in settings.names:
        typer.echo(f"no product {product!r}; the director has {', '.join(settings.names)}", err=True)
        raise typer.Exit(EXIT_REJECTED)
    effective = limits.find(route, product)
    for field, value in effective.terms._asdict().items():
        where = f"{effective.file_values[field].place}, {effective.file_values[field].source}" if field in effective.file_values else "built in, or derived from others"
        typer.echo(f"{field.replace('_', '-'):18} {format_value(value):>18}   {where}")
    typer.echo(f"{'budgets':18} {', '.join(budget_names(effective.entries, limits)) or 'the director only':>18}")
    report = search.search(search.canonical_terms(search.SearchTerms(effective.terms, settings.deployment.products[settings.names.index(product)].repeat, answer_margin_ms(limits, settings), settings.deployment.max_allocations)))
    typer.echo(f"\n{report.states} states searched" + ("" if report.is_complete else ", not all: the search reached its bound"))
    typer.echo("a timeline that breaks a rule: " + report.counterexample.description if report.counterexample else "the longest timeline up to the answer:")
    for at, description in (report.counterexample.timeline if report.counterexample else report.longest_timeline):
        typer.echo(f"{at:9.1f} ms  {description}")
    raise typer.Exit(EXIT_REJECTED if report.counterexample else 0)


@app.command()
def diff(old: LimitsFileArgument, new: Annotated[Path, typer.Argument(help="the file that is to replace it")], house: DirectorFileOption) -> None:
    """Prints what the second file changes, a line each, as the log reports it at a switch."""
    from laddergw.terms.generations import describe_changes
    settings = read_director_file(house)
    for line in describe_changes(load_limits(old, settings, False), load_limits(new, settings, False)):
        typer.echo(line)

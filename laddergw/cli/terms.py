"""laddergw terms: checks, explains and compares files of limits."""
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True, help="The operators' limits: check, explain, diff.")
EXIT_REFUSED = 2
House = Annotated[Path, typer.Option("--house", help="the director's file: its products, bounds and deployment")]
File = Annotated[Path, typer.Argument(help="a file of limits")]


def house_of(path: Path):
    from laddergw.terms import director_file
    from laddergw.terms.sexpr import FileRejected
    try:
        return director_file.read_file(str(path))
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REFUSED) from None


def loaded(file: Path, house, proved: bool):
    """The limits, or every reason against them; `proved` False: their form only."""
    from laddergw.terms import limits
    from laddergw.terms.loading import load_file, default_terms
    from laddergw.terms.sexpr import FileRejected
    if not proved:
        try:
            return limits.read_file(str(file), house.names, default_terms(house))
        except FileRejected as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(EXIT_REFUSED) from None
    found = load_file(str(file), house)
    if found.limits is None:
        for text in found.texts():
            typer.echo(text, err=True)
        raise typer.Exit(EXIT_REFUSED)
    return found.limits


@app.command()
def check(files: Annotated[list[Path], typer.Argument(help="files of limits")], house: House,
          directors: Annotated[int, typer.Option(help="check for so many directors instead of the deployment's")] = 0) -> None:
    """Tells everything that speaks against a file: its form, its sense, and how it would break a rule. Ends with 2 where one is refused."""
    import time

    from laddergw.terms.loading import load_file
    told, bad = house_of(house), 0
    if directors:
        told = told._replace(deployment=told.deployment._replace(directors=directors))
    for file in files:
        began = time.perf_counter()
        found = load_file(str(file), told)
        if found.limits is None:
            bad += 1
            for text in found.texts():
                typer.echo(text, err=True)
        else:
            classes = len(found.limits.classes(told.names))
            typer.echo(f"{file}: good: {len(found.limits.routes)} routes, {classes} routes and products checked in {time.perf_counter() - began:.2f} s")
    raise typer.Exit(EXIT_REFUSED if bad else 0)


@app.command()
def explain(file: File, house: House, product: Annotated[str, typer.Option()], route: Annotated[str, typer.Option()] = "/") -> None:
    """What holds for a route and product, which line says so, and the longest life that a play can have under it."""
    from laddergw.terms import search
    from laddergw.terms.generations import budget_names, format_value
    from laddergw.terms.proof import answer_margin_ms
    told = house_of(house)
    limits = loaded(file, told, False)
    if product not in told.names:
        typer.echo(f"no product {product!r}; the director has {', '.join(told.names)}", err=True)
        raise typer.Exit(EXIT_REFUSED)
    found = limits.find(route, product)
    for field, value in found.terms._asdict().items():
        where = f"{found.file_values[field].place}, {found.file_values[field].source}" if field in found.file_values else "built in, or follows from others"
        typer.echo(f"{field.replace('_', '-'):18} {format_value(value):>18}   {where}")
    typer.echo(f"{'budgets':18} {', '.join(budget_names(found.entries, limits)) or 'the director only':>18}")
    report = search.search(search.canonical_terms(search.SearchTerms(found.terms, told.deployment.products[told.names.index(product)].repeat, answer_margin_ms(limits, told), told.deployment.max_allocations)))
    typer.echo(f"\n{report.states} moments searched" + ("" if report.is_complete else ", not all of them: the bound was met"))
    typer.echo("a life that breaks a rule: " + report.counterexample.description if report.counterexample else "the longest life to its answer:")
    for at, words in (report.counterexample.timeline if report.counterexample else report.longest_timeline):
        typer.echo(f"{at:9.1f} ms  {words}")
    raise typer.Exit(EXIT_REFUSED if report.counterexample else 0)


@app.command()
def diff(old: File, new: Annotated[Path, typer.Argument(help="the file that is to follow")], house: House) -> None:
    """What the second file changes, a line each, as the log tells it at a switch."""
    from laddergw.terms.generations import describe_changes
    told = house_of(house)
    for line in describe_changes(loaded(old, told, False), loaded(new, told, False)):
        typer.echo(line)

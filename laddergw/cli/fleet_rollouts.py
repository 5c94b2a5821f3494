"""laddergw fleet want, halt, stragglers: rolls a version out over the fleet and lists who is not on it; budgets: what of the fleet's budgets is granted to whom."""
from pathlib import Path
from typing import Annotated

import typer

from laddergw.cli.fleet import DirectorFileArgument, JsonOption, app, ask_planners, print_answer, read_director_file


def format_rollout(answer: dict) -> list[str]:
    """A rollout and the processes that are behind, in lines."""
    want = answer["want"]
    if want is None:
        return ["no version is wanted"]
    lines = [f"{want['kind']} {want['hash']} (number {want['number']}): {answer['state']}, step {answer['step']} of {answer['steps']}, "
             f"{answer['on_it']} of {answer['directors']} directors on it" + (f"; {answer['why']}" if answer["why"] else "")]
    return lines + [f"{row['process']:14} on {row['on'][:8] or 'none':8}  {row['cause']}: {row['detail']}" for row in answer["behind"]]


def ask_about_rollout(house: Path, as_json: bool, question) -> None:
    """Sends a question about a rollout and prints the answer. Exits with 1 if it is refused, or if for `stragglers` the rollout is halted
    or somebody is behind for a cause that does not pass by itself."""
    answer, = ask_planners(house, question)
    if "refused" in answer:
        typer.echo(f"refused: {answer['refused']}", err=True)
        raise typer.Exit(1)
    print_answer(answer, as_json, format_rollout)
    raise typer.Exit(1 if question.question == "stragglers" and (answer.get("state") == "halted" or any(row["wants_an_eye"] for row in answer["behind"])) else 0)


@app.command()
def want(kind: Annotated[str, typer.Argument(help="limits")], file: Annotated[Path, typer.Argument(help="the file that all directors are to use")], house: DirectorFileArgument,
         soak: Annotated[float, typer.Option(help="seconds to wait after each step before the next")] = 10.0,
         by: Annotated[float, typer.Option(help="seconds from now after which the versions of directors that are behind are forbidden; 0: never")] = 0.0, as_json: JsonOption = False) -> None:
    """Rolls a version out over the fleet in steps; it halts by itself where it does harm. The file is checked here first, and by each director. To roll back, want the previous version."""
    from laddergw.fleet.versions import version as compute_version
    from laddergw.planner import wire
    from laddergw.planner.audit_client import limits_text
    from laddergw.terms.loading import load_file
    loaded = load_file(str(file), read_director_file(house))
    if loaded.limits is None:
        typer.echo("\n".join(loaded.texts()), err=True)
        raise typer.Exit(2)
    name = compute_version(kind, limits_text(loaded.limits)).hash
    ask_about_rollout(house, as_json, wire.Ask("want", f"{kind} {name}", 0.0, file.read_bytes(), {"soak_ms": soak * 1000, "by_ms": by * 1000}))


@app.command()
def halt(kind: Annotated[str, typer.Argument(help="limits")], house: DirectorFileArgument, as_json: JsonOption = False) -> None:
    """Stops a rollout at its present step: the file is sent to no more directors."""
    from laddergw.planner import wire
    ask_about_rollout(house, as_json, wire.Ask("halt", kind))


@app.command()
def stragglers(house: DirectorFileArgument, kind: Annotated[str, typer.Option(help="limits")] = "limits", as_json: JsonOption = False) -> None:
    """Lists who is not on the wanted version, and why. Exits with 1 if the rollout is halted or a cause does not pass by itself."""
    from laddergw.planner import wire
    ask_about_rollout(house, as_json, wire.Ask("stragglers", kind))


def format_budgets(answer: dict) -> list[str]:
    """The fleet's budgets and what each process holds of them, in lines."""
    lines = [f"granted by the planners of store {answer['issuer']}: directors' files name it as (issuer \"{answer['issuer']}\")"]
    for row in answer["budgets"]:
        waits = f"; nobody is granted more for {row['waits_ms'] / 1000:.1f} s, until the grants of a previous planner have expired" if row["waits_ms"] else ""
        lines.append(f"{row['budget']}: {row['charged']} of {row['whole']} charged in {row['window_ms'] / 1000:g} s, floors {row['floors']} of {row['reserve']}"
                     + (f", {row['unknown']} may be granted without being known" if row["unknown"] else "") + f"; {row['divided']}{waits}")
        lines += [f"    {holder['process']:14} charged {holder['charged']:6} floor {holder['floor']:4} spent {holder['spent']:6} needs {holder['needs']:6} wants {holder['wants']:6}" + ("  silent" if holder["silent"] else "")
                  for holder in row["held"]]
    return lines


@app.command()
def budgets(house: DirectorFileArgument, name: Annotated[str, typer.Option(help="only this budget")] = "", as_json: JsonOption = False) -> None:
    """Shows budgets of the fleet: the whole, what is charged to whom, what they need, the last division and why. Exits with 1 if no planner grants any."""
    from laddergw.planner import wire
    answer, = ask_planners(house, wire.Ask("budgets"))
    if "refused" in answer:
        typer.echo(f"refused: {answer['refused']}", err=True)
        raise typer.Exit(1)
    answer["budgets"] = [row for row in answer["budgets"] if name in ("", row["budget"])]
    print_answer(answer, as_json, format_budgets)

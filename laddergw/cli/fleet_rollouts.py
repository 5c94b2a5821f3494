"""laddergw fleet want, halt, stragglers: a version taken out over the fleet, and who is not on it; budgets: what of the fleet's is granted to whom."""
from pathlib import Path
from typing import Annotated

import typer

from laddergw.cli.fleet import AsJson, House, app, ask, read, say


def told(found: dict) -> list[str]:
    """A rollout and who is behind, in lines."""
    want = found["want"]
    if want is None:
        return ["nothing is wanted"]
    lines = [f"{want['kind']} {want['hash']} (number {want['number']}): {found['state']}, step {found['step']} of {found['steps']}, "
             f"{found['on_it']} of {found['directors']} directors on it" + (f"; {found['why']}" if found["why"] else "")]
    return lines + [f"{row['process']:14} on {row['on'][:8] or 'none':8}  {row['cause']}: {row['detail']}" for row in found["behind"]]


def rollout_asked(house: Path, as_json: bool, question) -> None:
    """Ends with 1 where it is refused, or somebody is behind for a cause that does not pass by itself."""
    found, = ask(house, question)
    if "refused" in found:
        typer.echo(f"refused: {found['refused']}", err=True)
        raise typer.Exit(1)
    say(found, as_json, told)
    raise typer.Exit(1 if question.question == "stragglers" and (found.get("state") == "halted" or any(row["wants_an_eye"] for row in found["behind"])) else 0)


@app.command()
def want(kind: Annotated[str, typer.Argument(help="limits")], file: Annotated[Path, typer.Argument(help="the file that all directors shall have")], house: House,
         soak: Annotated[float, typer.Option(help="seconds that each step stands before the next")] = 10.0,
         by: Annotated[float, typer.Option(help="seconds from now after which versions that others are on are forbidden; 0: never")] = 0.0, as_json: AsJson = False) -> None:
    """Takes a version out over the fleet in steps, halted by itself where it does harm. It is checked here first, and by each director. The way back: want the one of before."""
    from laddergw.fleet.versions import version as as_version
    from laddergw.planner import wire
    from laddergw.planner.audit_client import limits_text
    from laddergw.terms.loading import load_file
    loaded = load_file(str(file), read(house))
    if loaded.limits is None:
        typer.echo("\n".join(loaded.texts()), err=True)
        raise typer.Exit(2)
    name = as_version(kind, limits_text(loaded.limits)).hash
    rollout_asked(house, as_json, wire.Ask("want", f"{kind} {name}", 0.0, file.read_bytes(), {"soak_ms": soak * 1000, "by_ms": by * 1000}))


@app.command()
def halt(kind: Annotated[str, typer.Argument(help="limits")], house: House, as_json: AsJson = False) -> None:
    """Stops a rollout where it stands: nobody more is sent the file."""
    from laddergw.planner import wire
    rollout_asked(house, as_json, wire.Ask("halt", kind))


@app.command()
def stragglers(house: House, kind: Annotated[str, typer.Option(help="limits")] = "limits", as_json: AsJson = False) -> None:
    """Who is not on the wanted version, and why. Ends with 1 where the rollout is halted, or a cause will not pass by itself."""
    from laddergw.planner import wire
    rollout_asked(house, as_json, wire.Ask("stragglers", kind))


def shares(found: dict) -> list[str]:
    """Budgets in lines."""
    lines = [f"granted by the planners of store {found['issuer']}: directors' files name it as (issuer \"{found['issuer']}\")"]
    for row in found["budgets"]:
        waits = f"; nobody is granted more for {row['waits_ms'] / 1000:.1f} s, until what a planner of before granted is over" if row["waits_ms"] else ""
        lines.append(f"{row['budget']}: {row['charged']} of {row['whole']} charged in {row['window_ms'] / 1000:g} s, floors {row['floors']} of {row['reserve']}"
                     + (f", {row['unknown']} may be out unknown" if row["unknown"] else "") + f"; {row['divided']}{waits}")
        lines += [f"    {one['process']:14} charged {one['charged']:6} floor {one['floor']:4} spent {one['spent']:6} needs {one['needs']:6} wants {one['wants']:6}" + ("  silent" if one["silent"] else "")
                  for one in row["held"]]
    return lines


@app.command()
def budgets(house: House, name: Annotated[str, typer.Option(help="only this one")] = "", as_json: AsJson = False) -> None:
    """Budgets of the fleet: the whole, what is charged to whom, what they need, the last division and why. Ends with 1 where no planner grants any."""
    from laddergw.planner import wire
    found, = ask(house, wire.Ask("budgets"))
    if "refused" in found:
        typer.echo(f"refused: {found['refused']}", err=True)
        raise typer.Exit(1)
    found["budgets"] = [row for row in found["budgets"] if name in ("", row["budget"])]
    say(found, as_json, shares)

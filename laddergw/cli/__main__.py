"""bin/laddergw: the programs, checks of files, and rehearsals as sub-commands."""
import sys

if __name__ == "__main__" and sys.argv[1:2] and sys.argv[1] in ("director", "edge", "planner"):
    from laddergw.loop import signal_mask           # before all else: until the loop takes them, signals end a process by default
    signal_mask.block_signals()

from pathlib import Path
from typing import Annotated, Optional

import typer

from laddergw.cli import day_commands, experiment_command, fleet, fleet_rollouts, manifests, plan_command, rehearse, terms

app = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False,
                  help="A session front that places and shapes video sessions on streaming servers.")


@app.command()
def director(
    file: Annotated[Path, typer.Argument(help="the director's file, see docs/settings.md")],
    log: Annotated[str, typer.Option(help="debug, info, warning or error")] = "info",
    tap: Annotated[Optional[Path], typer.Option(help="write what passes on the sockets here, for an audit")] = None,
    source: Annotated[str, typer.Option(help="this process's name in such records")] = "d",
    limits: Annotated[Optional[Path], typer.Option(help="the operators' limits: watched; a refused file changes nothing")] = None,
) -> None:
    """Runs one director until SIGTERM: then it takes nothing new, finishes what it holds and ends."""
    from laddergw.director.program import run
    raise typer.Exit(run(str(file), log, str(tap) if tap else None, source, limits=str(limits) if limits else None))


@app.command()
def edge(
    file: Annotated[Path, typer.Argument(help="the director's file, see docs/settings.md")],
    rules: Annotated[Optional[Path], typer.Option(help="programme rules; read again on SIGHUP, a refused file changes nothing")] = None,
    log: Annotated[str, typer.Option(help="debug, info, warning or error")] = "info",
    tap: Annotated[Optional[Path], typer.Option(help="write what passes on the sockets here, for an audit")] = None,
    source: Annotated[str, typer.Option(help="this process's name in such records")] = "d",
    limits: Annotated[Optional[Path], typer.Option(help="the operators' limits: watched; a refused file changes nothing")] = None,
) -> None:
    """Runs one edge: a director whose plays are sessions with manifests of their own."""
    from laddergw.edge.program import run
    raise typer.Exit(run(str(file), str(rules) if rules else None, log, str(tap) if tap else None, source, str(limits) if limits else None))


@app.command()
def planner(
    file: Annotated[Path, typer.Argument(help="the planner's file, see docs/planner.md")],
    log: Annotated[str, typer.Option(help="debug, info, warning or error")] = "info",
) -> None:
    """Runs one planner until SIGTERM; edges go on without it."""
    from laddergw.planner.program import run
    raise typer.Exit(run(str(file), log))


@app.command()
def check(files: Annotated[list[Path], typer.Argument(help="directors' files")]) -> None:
    """Checks directors' files and tells everything that is wrong, with its place. Ends with 2 where a file is refused."""
    from laddergw.terms import director_file
    from laddergw.terms.sexpr import FileRejected
    refused = 0
    for file in files:
        try:
            read = director_file.read_file(str(file))
            typer.echo(f"{file}: good: director {read.number} of {read.deployment.directors}, {len(read.names)} products, "
                       f"{len(read.deployment.ladder)} rungs")
        except FileRejected as error:
            refused += 1
            typer.echo(str(error), err=True)
    raise typer.Exit(2 if refused else 0)


app.command("rehearse")(rehearse.rehearse)
app.command("experiment")(experiment_command.experiment)
app.add_typer(manifests.app, name="manifest")
app.add_typer(terms.app, name="terms")
app.add_typer(day_commands.app, name="days")
app.add_typer(plan_command.app, name="plan")
app.add_typer(fleet_rollouts.app, name="fleet")      # (the same app, with more commands)


def main() -> None:
    app(prog_name="laddergw")


if __name__ == "__main__":
    main()

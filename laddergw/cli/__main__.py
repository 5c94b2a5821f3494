"""The command line, bin/laddergw: the programs, checks of files, and rehearsals as sub-commands."""
import sys

if __name__ == "__main__" and sys.argv[1:2] and sys.argv[1] in ("director", "edge", "planner"):
    # Before all other imports: until the loop handles them, signals end a process by default.
    from laddergw.loop import signal_mask
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
    tap: Annotated[Optional[Path], typer.Option(help="record the traffic on the sockets in this file, for an audit")] = None,
    source: Annotated[str, typer.Option(help="this process's name in such records")] = "d",
    limits: Annotated[Optional[Path], typer.Option(help="the operators' limits: watched for changes; a rejected file changes nothing")] = None,
) -> None:
    """Runs one director until SIGTERM: then it accepts no new plays, finishes the running ones and exits."""
    from laddergw.director.program import run
    raise typer.Exit(run(str(file), log, str(tap) if tap else None, source, limits=str(limits) if limits else None))


@app.command()
def edge(
    file: Annotated[Path, typer.Argument(help="the director's file, see docs/settings.md")],
    rules: Annotated[Optional[Path], typer.Option(help="programme rules; read again on SIGHUP; a rejected file changes nothing")] = None,
    log: Annotated[str, typer.Option(help="debug, info, warning or error")] = "info",
    tap: Annotated[Optional[Path], typer.Option(help="record the traffic on the sockets in this file, for an audit")] = None,
    source: Annotated[str, typer.Option(help="this process's name in such records")] = "d",
    limits: Annotated[Optional[Path], typer.Option(help="the operators' limits: watched for changes; a rejected file changes nothing")] = None,
) -> None:
    """Runs one edge: a director whose plays are sessions, each with its own manifests."""
    from laddergw.edge.program import run
    raise typer.Exit(run(str(file), str(rules) if rules else None, log, str(tap) if tap else None, source, str(limits) if limits else None))


@app.command()
def planner(
    file: Annotated[Path, typer.Argument(help="the planner's file, see docs/planner.md")],
    log: Annotated[str, typer.Option(help="debug, info, warning or error")] = "info",
) -> None:
    """Runs one planner until SIGTERM; edges keep working without it."""
    from laddergw.planner.program import run
    raise typer.Exit(run(str(file), log))


@app.command()
def check(files: Annotated[list[Path], typer.Argument(help="directors' files")]) -> None:
    """Checks directors' files and reports every fault with its place. Exits with 2 if a file is rejected."""
    from laddergw.terms import director_file
    from laddergw.terms.sexpr import FileRejected
    rejected_count = 0
    for file in files:
        try:
            settings = director_file.read_file(str(file))
            typer.echo(f"{file}: good: director {settings.number} of {settings.deployment.directors}, {len(settings.names)} products, "
                       f"{len(settings.deployment.ladder)} rungs")
        except FileRejected as error:
            rejected_count += 1
            typer.echo(str(error), err=True)
    raise typer.Exit(2 if rejected_count else 0)


app.command("rehearse")(rehearse.rehearse)
app.command("experiment")(experiment_command.experiment)
app.add_typer(manifests.app, name="manifest")
app.add_typer(terms.app, name="terms")
app.add_typer(day_commands.app, name="days")
app.add_typer(plan_command.app, name="plan")
# The app of fleet.py, to which fleet_rollouts.py adds commands.
app.add_typer(fleet_rollouts.app, name="fleet")


def main() -> None:
    """Runs the command line."""
    app(prog_name="laddergw")


if __name__ == "__main__":
    main()

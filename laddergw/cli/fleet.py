"""laddergw fleet: which director acted on which versions. Queries the planners that a director's file names; the steps of a play are queried from that director itself."""
import json
import time
from datetime import datetime, timezone
from pathlib import Path
from typing import Annotated, Callable, Optional

import typer

app = typer.Typer(no_args_is_help=True, help="The fleet's audit: versions, audit, verify. Exits with 0, with 1 if something is behind or wrong, with 2 if nobody could be asked.")
WAIT_MS = 5_000.0
# Kinds of which all directors should have one version; lists and plans reach each director at a time of their own.
UNIFORM_KINDS = ("program", "file", "keys", "limits", "rules")
DirectorFileArgument = Annotated[Path, typer.Argument(help="a director's file that names planners")]
JsonOption = Annotated[bool, typer.Option("--json", help="print the answer as received, in JSON")]


def read_director_file(house: Path):
    """Reads a director's file. Exits the command if it is rejected."""
    from laddergw.terms import director_file as director_files
    from laddergw.terms.sexpr import FileRejected
    try:
        return director_files.read_file(str(house))
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None


def ask_planners(house: Path, *questions) -> list[dict]:
    """The answers of the planner that keeps the journal, else of the first that answers all. Exits the command if none does."""
    from laddergw.planner import wire
    settings = read_director_file(house)
    complete = []
    for address in settings.planners:
        replies = ask_planner(settings, address, [wire.Ask("verify"), *questions])
        if len(replies) == 1 + len(questions):
            complete.append(replies)
    if not complete:
        typer.echo("no planner answers", err=True)
        raise typer.Exit(2)
    return next((replies for replies in complete if replies[0]["kept"]), complete[0])[1:]


def ask_planner(settings, address: tuple, questions: list) -> list[dict]:
    """One planner's answers, in order; fewer than the questions if the connection breaks."""
    from laddergw.loop.sockets import SocketLoop
    from laddergw.loop.tls import TlsStream, client_context
    from laddergw.planner import wire
    from laddergw.planner.peer import Peer
    loop, answers, remaining = SocketLoop(), [], list(questions)

    def ask_next(peer: Peer) -> None:
        peer.send(remaining.pop(0)) if remaining else peer.close("answered")

    def frame_received(peer: Peer, frame: wire.Frame) -> None:
        if isinstance(frame, wire.Answer):
            answers.append(json.loads(frame.body))
            ask_next(peer)
    peer = Peer(loop, wire.Hello(wire.VERSION, f"d{settings.number}-operator", wire.OPERATOR, 0), frame_received, ask_next, lambda peer, why: loop.stop())
    loop.dial(address, peer if settings.tls is None else TlsStream(peer, client_context(*settings.tls), False, address[0]), WAIT_MS)
    loop.call_later(WAIT_MS, loop.stop)
    loop.run()
    loop.close()
    return answers


def format_time(wall_ms: float | None) -> str:
    """A wall-clock time in UTC; None stands for the present."""
    return "now" if wall_ms is None else datetime.fromtimestamp(wall_ms / 1000, timezone.utc).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def print_answer(answer: dict, as_json: bool, format_lines: Callable[[dict], list[str]]) -> None:
    """Prints an answer as JSON or as lines, which end with what the planner does not know."""
    if as_json:
        return typer.echo(json.dumps(answer, indent=1))
    for line in format_lines(answer):
        typer.echo(line)
    for line in answer.get("not_known", ()):
        typer.echo(f"not known: {line}")


@app.command()
def versions(house: DirectorFileArgument, as_json: JsonOption = False) -> None:
    """Versions in force: for each the directors that use it, the plays let in under it in the last minute, and since when. Exits with 1 if directors differ."""
    from laddergw.planner import wire
    answer, = ask_planners(house, wire.Ask("versions"))
    print_answer(answer, as_json, lambda answer: [f"{'kind':8} {'version':16} {'directors':>9} {'plays/min':>9}  since"] + [
        f"{row['kind']:8} {row['version']:16} {len(row['directors']):9} {row['let_in_last_minute']:9}  {format_time(row['since_wall_ms'])}"
        + (f"  number {row['number']} of {row['issuer']}" if row["number"] else "") for row in answer["versions"]])
    kinds = [row["kind"] for row in answer["versions"]]
    raise typer.Exit(1 if any(kinds.count(kind) > 1 for kind in UNIFORM_KINDS) else 0)


@app.command()
def audit(house: DirectorFileArgument, play: Annotated[Optional[str], typer.Option(help="a viewer's key: the steps of its play at the file's director")] = None,
          director: Annotated[Optional[str], typer.Option(help="d7, or one process of it: d7-1a2b3c4d")] = None,
          at: Annotated[Optional[str], typer.Option(help="with --director: a time such as 2026-11-30T14:05:09, UTC; by default now")] = None,
          version: Annotated[Optional[str], typer.Option(help="a version's hash or a prefix of it")] = None, as_json: JsonOption = False) -> None:
    """Answers one question: --play, --director with --at, or --version."""
    from laddergw.planner import wire
    if sum(one is not None for one in (play, director, version)) != 1:
        typer.echo("give exactly one of --play, --director, --version", err=True)
        raise typer.Exit(2)
    if play is not None:
        return show_play_steps(house, play, as_json)
    if version is not None:
        answer, = ask_planners(house, wire.Ask("version", version))
        print_answer(answer, as_json, lambda answer: [
            f"{row['process']:14} {format_time(row['from_wall_ms'])} to {format_time(row['to_wall_ms'])}  let in {format_counts(row['let_in'])}"
            + (f"; kept later {format_counts(row['kept_later'])}" if row["kept_later"] else "") for row in answer["acted"]] or ["no director is known to have acted on it"])
        raise typer.Exit(0)
    try:
        when = datetime.fromisoformat(at).replace(tzinfo=timezone.utc).timestamp() * 1000 if at else time.time() * 1000
    except ValueError:
        typer.echo(f"{at!r} is not a time", err=True)
        raise typer.Exit(2) from None
    answer, = ask_planners(house, wire.Ask("director", director, when))
    print_answer(answer, as_json, format_processes)
    raise typer.Exit(0 if answer["processes"] else 1)


def format_counts(counts: dict) -> str:
    """Counts by name, in a line."""
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "nothing"


def format_processes(answer: dict) -> list[str]:
    """The version sets of a director's processes at a time, with their actions under them, in lines."""
    lines = []
    for row in answer["processes"]:
        if row["stand"] is None:
            lines.append(f"{row['process']}: {row['why']}")
            continue
        lines.append(f"{row['process']}: version set {row['stand']} (number {row['turn']} of the process) from {format_time(row['since_wall_ms'])}, at most {row['late_by_at_most_ms']:.0f} ms earlier, "
                     f"to {format_time(row['until_wall_ms'])}; last report {format_time(row['last_word_wall_ms'])}")
        lines += [f"    {kind:8} {version_hash}" + (f"  number {number} of {issuer}" if number else "") for kind, number, version_hash, issuer in row["versions"]]
        lines.append(f"    did under it: {format_counts(row['did'])}")
    return lines or [f"no report of a director {answer['director']} is known"]


def show_play_steps(house: Path, play: str, as_json: bool) -> None:
    """Prints the steps of a play, from the director that admitted it."""
    from laddergw.http.client import Pool
    from laddergw.http.limits import PoolLimits
    from laddergw.loop.sockets import SocketLoop
    settings, loop, calls = read_director_file(house), SocketLoop(), []

    def call_ended(call) -> None:
        calls.append(call)
        loop.stop()
    Pool(loop, settings.listen, PoolLimits()).call("POST", "/v1/audit", json.dumps({"play": play}).encode(), call_ended)
    loop.call_later(WAIT_MS, loop.stop)
    loop.run()
    loop.close()
    if not calls or calls[0].status not in (200, 404):
        typer.echo(f"director {settings.number} does not answer", err=True)
        raise typer.Exit(2)
    answer = json.loads(calls[0].body)
    if calls[0].status == 404:
        typer.echo("not known: the director remembers no such play")
        raise typer.Exit(1)
    print_answer(answer, as_json, lambda answer: [f"{answer['process']}, {(step['at_ms'] - answer['now_ms']) / 1000:9.3f} s  {step['action']:12} under {step['stand']}"
                                       + (f", on the terms of {step['kept']}" if step["kept"] else "") for step in answer["way"]])


def ask_about_floors(house: Path, question: str, name: str, as_json: bool) -> None:
    """Sends a question about forbidden versions and prints them. Exits with 1 if it is refused."""
    from laddergw.planner import wire
    answer, = ask_planners(house, wire.Ask(question, name))
    if "refused" in answer:
        typer.echo(f"refused: {answer['refused']}", err=True)
        raise typer.Exit(1)
    print_answer(answer, as_json, lambda answer: [
        f"{row['kind']:8} {row['version']} forbidden since {format_time(row['since_wall_ms'])}: " + ("nobody lets plays in under it any more" if row["nobody_acts_on_it"]
        else "some may still let plays in under it" + (f": {', '.join(row['may_still'])} stay open without planners" if row["may_still"] else " until their rights end"))
        for row in answer["floors"]] or ["no version is forbidden"])
    raise typer.Exit(0)


KindArgument = Annotated[str, typer.Argument(help="program, file, keys, limits or rules")]
HashArgument = Annotated[str, typer.Argument(help="a version's hash or a prefix of it")]


@app.command()
def forbid(kind: KindArgument, version: HashArgument, house: DirectorFileArgument, as_json: JsonOption = False) -> None:
    """Forbids a version: directors that use it let no plays in, and a director that is cut off from the planners stops by itself. Exits with 1 if it is refused."""
    ask_about_floors(house, "forbid", f"{kind} {version}", as_json)


@app.command()
def allow(kind: KindArgument, version: HashArgument, house: DirectorFileArgument, as_json: JsonOption = False) -> None:
    """Allows a forbidden version again."""
    ask_about_floors(house, "allow", f"{kind} {version}", as_json)


@app.command()
def gone(process: Annotated[str, typer.Argument(help="a silent process: d7-1a2b3c4d")], house: DirectorFileArgument, as_json: JsonOption = False) -> None:
    """Declares a silent process gone, which only an operator who looked at its machine can know; a new report of it revokes this. Exits with 1 if it is refused."""
    from laddergw.planner import wire
    answer, = ask_planners(house, wire.Ask("gone", process))
    if "refused" in answer:
        typer.echo(f"refused: {answer['refused']}", err=True)
        raise typer.Exit(1)
    print_answer(answer, as_json, lambda answer: [f"{answer['gone']} is declared gone"])


@app.command()
def floors(house: DirectorFileArgument, as_json: JsonOption = False) -> None:
    """Lists forbidden versions and whether any director may still let plays in under them."""
    ask_about_floors(house, "floors", "", as_json)


@app.command()
def verify(house: DirectorFileArgument, as_json: JsonOption = False) -> None:
    """Verifies the journal's hash chain from end to end. Exits with 1 if a record was altered or removed."""
    from laddergw.planner import wire
    answer, = ask_planners(house, wire.Ask("verify"))
    print_answer(answer, as_json, lambda answer: [f"{answer['records']} records, the last is {answer['last']}; " + ("all as they were written" if not answer["faults"] else "")]
        + list(answer["faults"]) if answer["kept"] else [answer["why"]])
    raise typer.Exit(0 if answer["kept"] and not answer["faults"] else 1)

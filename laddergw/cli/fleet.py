"""laddergw fleet: which director acted on what. Asks the planners that a director's file names; a play's way is asked of that director itself."""
import json
import time
from datetime import datetime, timezone
from pathlib import Path
from typing import Annotated, Callable, Optional

import typer

app = typer.Typer(no_args_is_help=True, help="The fleet's audit: versions, audit, verify. Ends with 0, 1 where something is behind or wrong, 2 where nobody could be asked.")
WAIT_MS = 5_000.0
SAME_EVERYWHERE = ("program", "file", "keys", "limits", "rules")     # (lists and plans reach each director in their own time)
House = Annotated[Path, typer.Argument(help="a director's file that names planners")]
AsJson = Annotated[bool, typer.Option("--json", help="the answer as it came")]


def read(house: Path):
    from laddergw.terms import director_file as director_files
    from laddergw.terms.sexpr import FileRejected
    try:
        return director_files.read_file(str(house))
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None


def ask(house: Path, *questions) -> list[dict]:
    """The answers of the planner that keeps the journal, else of the first that is there. Ends the command where none is."""
    from laddergw.planner import wire
    told = read(house)
    found = []
    for address in told.planners:
        came = ask_one(told, address, [wire.Ask("verify"), *questions])
        if len(came) == 1 + len(questions):
            found.append(came)
    if not found:
        typer.echo("no planner answers", err=True)
        raise typer.Exit(2)
    return next((came for came in found if came[0]["kept"]), found[0])[1:]


def ask_one(told, address: tuple, questions: list) -> list[dict]:
    """One planner's answers, in order; fewer where it broke off."""
    from laddergw.loop.sockets import SocketLoop
    from laddergw.loop.tls import TlsStream, client_context
    from laddergw.planner import wire
    from laddergw.planner.peer import Peer
    loop, came, left = SocketLoop(), [], list(questions)

    def go_on(peer: Peer) -> None:
        peer.send(left.pop(0)) if left else peer.close("answered")

    def got(peer: Peer, frame: wire.Frame) -> None:
        if isinstance(frame, wire.Answer):
            came.append(json.loads(frame.body))
            go_on(peer)
    peer = Peer(loop, wire.Hello(wire.VERSION, f"d{told.number}-operator", wire.OPERATOR, 0), got, go_on, lambda peer, why: loop.stop())
    loop.dial(address, peer if told.tls is None else TlsStream(peer, client_context(*told.tls), False, address[0]), WAIT_MS)
    loop.call_later(WAIT_MS, loop.stop)
    loop.run()
    loop.close()
    return came


def clock(wall_ms: float | None) -> str:
    return "now" if wall_ms is None else datetime.fromtimestamp(wall_ms / 1000, timezone.utc).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def say(found: dict, as_json: bool, text: Callable[[dict], list[str]]) -> None:
    if as_json:
        return typer.echo(json.dumps(found, indent=1))
    for line in text(found):
        typer.echo(line)
    for line in found.get("not_known", ()):
        typer.echo(f"not known: {line}")


@app.command()
def versions(house: House, as_json: AsJson = False) -> None:
    """What is in force where: by version the directors on it, plays let in under it in the last minute, since when. Ends with 1 where directors differ."""
    from laddergw.planner import wire
    found, = ask(house, wire.Ask("versions"))
    say(found, as_json, lambda found: [f"{'kind':8} {'version':16} {'directors':>9} {'plays/min':>9}  since"] + [
        f"{row['kind']:8} {row['version']:16} {len(row['directors']):9} {row['let_in_last_minute']:9}  {clock(row['since_wall_ms'])}"
        + (f"  number {row['number']} of {row['issuer']}" if row["number"] else "") for row in found["versions"]])
    kinds = [row["kind"] for row in found["versions"]]
    raise typer.Exit(1 if any(kinds.count(kind) > 1 for kind in SAME_EVERYWHERE) else 0)


@app.command()
def audit(house: House, play: Annotated[Optional[str], typer.Option(help="a viewer's key: its play's way at the director of the file")] = None,
          director: Annotated[Optional[str], typer.Option(help="d7, or one process of it: d7-1a2b3c4d")] = None,
          at: Annotated[Optional[str], typer.Option(help="with --director: a time as 2026-11-30T14:05:09, UTC; now where left out")] = None,
          version: Annotated[Optional[str], typer.Option(help="a version's hash, or how it begins")] = None, as_json: AsJson = False) -> None:
    """One question: --play, --director with --at, or --version."""
    from laddergw.planner import wire
    if sum(one is not None for one in (play, director, version)) != 1:
        typer.echo("one of --play, --director, --version", err=True)
        raise typer.Exit(2)
    if play is not None:
        return way(house, play, as_json)
    if version is not None:
        found, = ask(house, wire.Ask("version", version))
        say(found, as_json, lambda found: [
            f"{row['process']:14} {clock(row['from_wall_ms'])} to {clock(row['to_wall_ms'])}  let in {amounts(row['let_in'])}"
            + (f"; kept later {amounts(row['kept_later'])}" if row["kept_later"] else "") for row in found["acted"]] or ["nobody acted on it, as far as is known"])
        raise typer.Exit(0)
    try:
        when = datetime.fromisoformat(at).replace(tzinfo=timezone.utc).timestamp() * 1000 if at else time.time() * 1000
    except ValueError:
        typer.echo(f"{at!r} is no time", err=True)
        raise typer.Exit(2) from None
    found, = ask(house, wire.Ask("director", director, when))
    say(found, as_json, stood)
    raise typer.Exit(0 if found["processes"] else 1)


def amounts(counts: dict) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "nothing"


def stood(found: dict) -> list[str]:
    lines = []
    for row in found["processes"]:
        if row["stand"] is None:
            lines.append(f"{row['process']}: {row['why']}")
            continue
        lines.append(f"{row['process']}: stand {row['stand']} (its {row['turn']}.) from {clock(row['since_wall_ms'])}, at most {row['late_by_at_most_ms']:.0f} ms earlier, "
                     f"to {clock(row['until_wall_ms'])}; last word {clock(row['last_word_wall_ms'])}")
        lines += [f"    {kind:8} {of_hash}" + (f"  number {number} of {issuer}" if number else "") for kind, number, of_hash, issuer in row["versions"]]
        lines.append(f"    did under it: {amounts(row['did'])}")
    return lines or [f"no director {found['director']} was ever heard of"]


def way(house: Path, play: str, as_json: bool) -> None:
    """A play's way, from the director that let it in."""
    from laddergw.http.client import Pool
    from laddergw.http.limits import PoolLimits
    from laddergw.loop.sockets import SocketLoop
    told, loop, came = read(house), SocketLoop(), []

    def done(call) -> None:
        came.append(call)
        loop.stop()
    Pool(loop, told.listen, PoolLimits()).call("POST", "/v1/audit", json.dumps({"play": play}).encode(), done)
    loop.call_later(WAIT_MS, loop.stop)
    loop.run()
    loop.close()
    if not came or came[0].status not in (200, 404):
        typer.echo(f"director {told.number} does not answer", err=True)
        raise typer.Exit(2)
    found = json.loads(came[0].body)
    if came[0].status == 404:
        typer.echo("not known: no such play among those that are remembered there")
        raise typer.Exit(1)
    say(found, as_json, lambda found: [f"{found['process']}, {(step['at_ms'] - found['now_ms']) / 1000:9.3f} s  {step['action']:12} under {step['stand']}"
                                       + (f", on the terms of {step['kept']}" if step["kept"] else "") for step in found["way"]])


def floors_asked(house: Path, question: str, name: str, as_json: bool) -> None:
    from laddergw.planner import wire
    found, = ask(house, wire.Ask(question, name))
    if "refused" in found:
        typer.echo(f"refused: {found['refused']}", err=True)
        raise typer.Exit(1)
    say(found, as_json, lambda found: [
        f"{row['kind']:8} {row['version']} forbidden since {clock(row['since_wall_ms'])}: " + ("nobody lets plays in under it any more" if row["nobody_acts_on_it"]
        else "some may still let plays in under it" + (f": {', '.join(row['may_still'])} stay open without planners" if row["may_still"] else " until their rights end"))
        for row in found["floors"]] or ["no version is forbidden"])
    raise typer.Exit(0)


Kind = Annotated[str, typer.Argument(help="program, file, keys, limits or rules")]
Hash = Annotated[str, typer.Argument(help="a version's hash, or how it begins")]


@app.command()
def forbid(kind: Kind, version: Hash, house: House, as_json: AsJson = False) -> None:
    """A version that must not be used any more: directors on it let nothing in, and whoever is cut off shuts its own door. Ends with 1 where it is refused."""
    floors_asked(house, "forbid", f"{kind} {version}", as_json)


@app.command()
def allow(kind: Kind, version: Hash, house: House, as_json: AsJson = False) -> None:
    """The way back."""
    floors_asked(house, "allow", f"{kind} {version}", as_json)


@app.command()
def gone(process: Annotated[str, typer.Argument(help="a silent process: d7-1a2b3c4d")], house: House, as_json: AsJson = False) -> None:
    """Says that a silent process is no more: only who looked at its machine can know. One that is heard again takes that back. Ends with 1 where it is refused."""
    from laddergw.planner import wire
    found, = ask(house, wire.Ask("gone", process))
    if "refused" in found:
        typer.echo(f"refused: {found['refused']}", err=True)
        raise typer.Exit(1)
    say(found, as_json, lambda found: [f"{found['gone']} is no more, by your word"])


@app.command()
def floors(house: House, as_json: AsJson = False) -> None:
    """Forbidden versions, and whether anybody may still let plays in under them."""
    floors_asked(house, "floors", "", as_json)


@app.command()
def verify(house: House, as_json: AsJson = False) -> None:
    """Follows the journal's links from end to end. Ends with 1 where a record was altered or taken out."""
    from laddergw.planner import wire
    found, = ask(house, wire.Ask("verify"))
    say(found, as_json, lambda found: [f"{found['records']} records, the last is {found['last']}; " + ("all as they were written" if not found["faults"] else "")]
        + list(found["faults"]) if found["kept"] else [found["why"]])
    raise typer.Exit(0 if found["kept"] and not found["faults"] else 1)

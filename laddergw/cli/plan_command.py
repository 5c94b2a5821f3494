"""laddergw plan: shows a planner's plan."""
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True, help="Plans: show.")
WAIT_MS = 5_000.0


@app.command()
def show(house: Annotated[Path, typer.Argument(help="a director's file that names planners")], nodes: Annotated[int, typer.Option(help="print so many nodes, those with the highest rates")] = 20) -> None:
    """Receives plans as an edge does, and prints the first one of each planner that answers."""
    from laddergw.terms import director_file as director_files
    from laddergw.loop.sockets import SocketLoop
    from laddergw.loop.tls import TlsStream, client_context
    from laddergw.planner import plan as plans, wire
    from laddergw.planner.peer import Peer
    from laddergw.terms.sexpr import FileRejected
    try:
        settings = director_files.read_file(str(house))
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None
    loop, pending = SocketLoop(), set(settings.planners)

    def mark_done(address: tuple) -> None:
        pending.discard(address)
        if not pending:
            loop.stop()

    def connect(address: tuple) -> None:
        def frame_received(peer: Peer, frame: wire.Frame) -> None:
            if isinstance(frame, wire.PlanFrame):
                try:
                    typer.echo(f"{address[0]}:{address[1]}\n" + format_plan(plans.unseal(frame.sealed, settings.keys), nodes))
                except plans.PlanRejected as error:
                    typer.echo(f"{address[0]}:{address[1]}: plan rejected: {error}")
                peer.close("seen")

        def connection_closed(peer: Peer, reason: str) -> None:
            if reason != "seen":
                typer.echo(f"{address[0]}:{address[1]}: {reason}", err=True)
            mark_done(address)
        peer = Peer(loop, wire.Hello(wire.VERSION, "plan-show", wire.STANDBY, 0), frame_received, lambda peer: None, connection_closed)
        loop.dial(address, peer if settings.tls is None else TlsStream(peer, client_context(*settings.tls), False, address[0]), WAIT_MS)
    for address in settings.planners:
        connect(address)
    loop.call_later(WAIT_MS, loop.stop)
    if settings.planners:
        loop.run()
    loop.close()
    raise typer.Exit(1 if pending or not settings.planners else 0)


def format_plan(plan, nodes: int) -> str:
    """A plan in lines, with the `nodes` nodes of the highest rates."""
    lines = [f"  epoch {plan.epoch} of {plan.planner}, version {plan.version}, holds for {plan.lease_ms:g} ms; {len(plan.numbers)} edges, {len(plan.nodes)} nodes",
             "  plays a second: " + (", ".join(f"{name} {rate:.1f}" for name, rate in plan.rates.items()) or "none yet"),
             "  hot titles: " + (", ".join(f"{hot.title} ({hot.count:.0f})" for hot in plan.hot[:8]) or "none yet")]
    for node, (kb, plays) in sorted(plan.nodes.items(), key=lambda item: (-item[1][0], item[0]))[:nodes]:
        lines.append(f"  node {node:8}  {kb:10.0f} kB/s  {plays:5} plays" + ("  drained" if node in plan.drained else ""))
    return "\n".join(lines)

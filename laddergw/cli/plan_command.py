"""laddergw plan: what a planner's plan says."""
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True, help="Plans: show.")
WAIT_MS = 5_000.0


@app.command()
def show(house: Annotated[Path, typer.Argument(help="a director's file that names planners")], nodes: Annotated[int, typer.Option(help="so many of the most asked")] = 20) -> None:
    """Hears plans as an edge does, and prints the first of each planner that answers."""
    from laddergw.terms import director_file as director_files
    from laddergw.loop.sockets import SocketLoop
    from laddergw.loop.tls import TlsStream, client_context
    from laddergw.planner import plan as plans, wire
    from laddergw.planner.peer import Peer
    from laddergw.terms.sexpr import FileRejected
    try:
        told = director_files.read_file(str(house))
    except FileRejected as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None
    loop, left = SocketLoop(), set(told.planners)

    def ended(address: tuple) -> None:
        left.discard(address)
        if not left:
            loop.stop()

    def hear(address: tuple) -> None:
        def got(peer: Peer, frame: wire.Frame) -> None:
            if isinstance(frame, wire.PlanFrame):
                try:
                    typer.echo(f"{address[0]}:{address[1]}\n" + describe(plans.unseal(frame.sealed, told.keys), nodes))
                except plans.PlanRejected as error:
                    typer.echo(f"{address[0]}:{address[1]}: a plan that is refused: {error}")
                peer.close("seen")

        def down(peer: Peer, why: str) -> None:
            if why != "seen":
                typer.echo(f"{address[0]}:{address[1]}: {why}", err=True)
            ended(address)
        peer = Peer(loop, wire.Hello(wire.VERSION, "plan-show", wire.STANDBY, 0), got, lambda peer: None, down)
        loop.dial(address, peer if told.tls is None else TlsStream(peer, client_context(*told.tls), False, address[0]), WAIT_MS)
    for address in told.planners:
        hear(address)
    loop.call_later(WAIT_MS, loop.stop)
    if told.planners:
        loop.run()
    loop.close()
    raise typer.Exit(1 if left or not told.planners else 0)


def describe(plan, nodes: int) -> str:
    """A plan in words."""
    lines = [f"  epoch {plan.epoch} of {plan.planner}, version {plan.version}, holds for {plan.lease_ms:g} ms; {len(plan.numbers)} edges, {len(plan.nodes)} nodes",
             "  plays a second: " + (", ".join(f"{name} {rate:.1f}" for name, rate in plan.rates.items()) or "none yet"),
             "  hot titles: " + (", ".join(f"{hot.title} ({hot.count:.0f})" for hot in plan.hot[:8]) or "none yet")]
    for node, (kb, plays) in sorted(plan.nodes.items(), key=lambda item: (-item[1][0], item[0]))[:nodes]:
        lines.append(f"  node {node:8}  {kb:10.0f} kB/s  {plays:5} plays" + ("  drained" if node in plan.drained else ""))
    return "\n".join(lines)

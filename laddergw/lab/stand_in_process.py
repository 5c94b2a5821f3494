"""The stand-ins as processes: one hosts the nodes of a rack, one the viewers. Commands come on standard input, one JSON
line each; what a command brings goes to standard output; records go to a file. A closed input ends the process."""
import json
import os
import sys

from laddergw.director.program import TapFile, raise_descriptors
from laddergw.lab.node_stand_in import NodeFacts, NodeStandIn, Rack
from laddergw.lab.viewers_stand_in import Audience, Crowd, Viewers
from laddergw.loop.sockets import DescriptorWatch, SocketLoop


class Commands:
    """Lines from standard input, in the loop."""

    def __init__(self, loop: SocketLoop, serve):
        self.loop, self.serve, self.rest = loop, serve, b""
        os.set_blocking(0, False)
        self.watch = DescriptorWatch(loop, 0, self.read)

    def read(self) -> None:
        data = os.read(0, 65_536)
        if not data:
            return self.loop.stop()
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.serve(json.loads(line))


def say(**facts) -> None:
    sys.stdout.write(json.dumps(facts) + "\n")
    sys.stdout.flush()


def host_nodes(path: str, rack_kb: float, seed: int) -> None:
    """Nodes of one rack in one process."""
    loop, rack, nodes = SocketLoop(), Rack(rack_kb), {}
    record = TapFile(loop, path).record

    def serve(command: dict) -> None:
        if command["do"] == "start":
            facts = NodeFacts(**command["facts"])
            node = nodes[facts.node] = NodeStandIn(loop, facts, rack, ("127.0.0.1", command["port"]), command["incarnation"], seed,
                                                   record, command["cold"])
            say(started=facts.node, incarnation=command["incarnation"], address=node.address)
        else:
            nodes[command["node"]].fault(command["what"], command["value"])
    raise_descriptors()
    Commands(loop, serve)
    loop.run()


def host_viewers(path: str, seed: int) -> None:
    """All viewers in one process; says when the last play is over."""
    loop = SocketLoop()
    tap, crowds = TapFile(loop, path), []

    def serve(command: dict) -> None:
        if command.get("do") == "enough":
            return [crowd.enough() for crowd in crowds]
        audiences = tuple(Audience(**audience) for audience in command["audiences"])
        plan = Crowd(**command["crowd"] | {"audiences": audiences})
        directors = {int(number): tuple(address) for number, address in command["directors"].items()}

        def done() -> None:
            tap.record("viewers ended", loop.now, lag_ms=loop.max_lag_ms)
            loop.call_soon(lambda: say(done=True))
        crowds.append(Viewers(loop, plan, directors, seed, tap.record, done))
    raise_descriptors()
    Commands(loop, serve)
    loop.run()


def host_players(path: str) -> None:
    """All players of sessions in one process; says when the last session is over."""
    from laddergw.lab.continuity_audit import Judge
    from laddergw.lab.player_stand_in import Player, ConnectionPools
    loop = SocketLoop()
    tap, wire = TapFile(loop, path), ConnectionPools(loop)

    def serve(command: dict) -> None:
        directors = {int(number): tuple(address) for number, address in command["directors"].items()}
        left, start = [len(command["sessions"])], loop.now

        def over(_: Player) -> None:
            left[0] -= 1
            if not left[0]:
                tap.record("viewers ended", loop.now, lag_ms=loop.max_lag_ms)
                loop.call_soon(lambda: say(done=True))
        for at, frame in command["sessions"]:
            loop.call_at(start + at, lambda frame=frame: Player(wire, directors, frame, Judge(), tap.record, over, 900.0))
    raise_descriptors()
    Commands(loop, serve)
    loop.run()


if __name__ == "__main__":
    if sys.argv[1] == "players":
        host_players(sys.argv[2])
    elif sys.argv[1] == "nodes":
        host_nodes(sys.argv[2], float(sys.argv[3]), int(sys.argv[4]))
    else:
        host_viewers(sys.argv[2], int(sys.argv[3]))

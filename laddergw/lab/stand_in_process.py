"""Runs stand-ins in a process of their own: the nodes of a rack, all viewers, or all players. Commands come on standard input, one JSON
line each; reports go to standard output, records to a file. End of input ends the process."""
import json
import os
import sys

from laddergw.director.program import TapFile, raise_descriptors
from laddergw.lab.node_stand_in import NodeFacts, NodeStandIn, Rack
from laddergw.lab.viewers_stand_in import Audience, Crowd, Viewers
from laddergw.loop.sockets import DescriptorWatch, SocketLoop


class Commands:
    """Reads commands from standard input within the loop."""

    def __init__(self, loop: SocketLoop, serve):
        self.loop, self.serve, self.partial_line = loop, serve, b""
        os.set_blocking(0, False)
        self.watch = DescriptorWatch(loop, 0, self.read)

    def read(self) -> None:
        """Serves each complete line; stops the loop at the end of input."""
        data = os.read(0, 65_536)
        if not data:
            return self.loop.stop()
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            self.serve(json.loads(line))


def report(**fields) -> None:
    """Writes a report as a JSON line to standard output."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def host_nodes(path: str, rack_kb: float, seed: int) -> None:
    """Runs the nodes of one rack."""
    loop, rack, nodes = SocketLoop(), Rack(rack_kb), {}
    record = TapFile(loop, path).record

    def serve(command: dict) -> None:
        if command["do"] == "start":
            facts = NodeFacts(**command["facts"])
            node = nodes[facts.node] = NodeStandIn(loop, facts, rack, ("127.0.0.1", command["port"]), command["incarnation"], seed,
                                                   record, command["cold"])
            report(started=facts.node, incarnation=command["incarnation"], address=node.address)
        else:
            nodes[command["node"]].fault(command["what"], command["value"])
    raise_descriptors()
    Commands(loop, serve)
    loop.run()


def host_viewers(path: str, seed: int) -> None:
    """Runs all viewers; reports when the last play is over."""
    loop = SocketLoop()
    record_file, crowds = TapFile(loop, path), []

    def serve(command: dict) -> None:
        if command.get("do") == "enough":
            return [crowd.stop_arrivals() for crowd in crowds]
        audiences = tuple(Audience(**audience) for audience in command["audiences"])
        plan = Crowd(**command["crowd"] | {"audiences": audiences})
        directors = {int(number): tuple(address) for number, address in command["directors"].items()}

        def done() -> None:
            record_file.record("viewers ended", loop.now, lag_ms=loop.max_lag_ms)
            loop.call_soon(lambda: report(done=True))
        crowds.append(Viewers(loop, plan, directors, seed, record_file.record, done))
    raise_descriptors()
    Commands(loop, serve)
    loop.run()


def host_players(path: str) -> None:
    """Runs all players of sessions; reports when the last session is over."""
    from laddergw.lab.continuity_audit import Judge
    from laddergw.lab.player_stand_in import Player, ConnectionPools
    loop = SocketLoop()
    record_file, pools = TapFile(loop, path), ConnectionPools(loop)

    def serve(command: dict) -> None:
        directors = {int(number): tuple(address) for number, address in command["directors"].items()}
        open_sessions, start = [len(command["sessions"])], loop.now

        def session_ended(_: Player) -> None:
            open_sessions[0] -= 1
            if not open_sessions[0]:
                record_file.record("viewers ended", loop.now, lag_ms=loop.max_lag_ms)
                loop.call_soon(lambda: report(done=True))
        for at, frame in command["sessions"]:
            loop.call_at(start + at, lambda frame=frame: Player(pools, directors, frame, Judge(), record_file.record, session_ended, 900.0))
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

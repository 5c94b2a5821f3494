"""A rehearsal on loopback sockets: directors, racks of nodes and viewers as processes, started and ended by this one."""
import json
import os
import signal
import subprocess
import sys
import tempfile
from typing import Callable

from laddergw.lab.scenario_player import ScenarioPlayer
from laddergw.lab.list_stand_in import ListStandIn
from laddergw.lab.deployment_model import DeploymentModel
from laddergw.loop.sockets import DescriptorWatch, SocketLoop

SETTLE_MS = 1_500.0        # the fleet is up and told before the first viewer comes
TAIL_MS = 40_000.0         # at most so long for the last plays after the last arrival
START_MS = 20_000.0        # all processes are up by then, or the rehearsal cannot run
HOST = "127.0.0.1"


class RehearsalError(Exception):
    """The rehearsal itself failed; the text says at what."""


class Helper:
    """A process of ours that takes commands and says things."""

    def __init__(self, loop: SocketLoop, arguments: list[str], heard: Callable[[dict], None], ended: Callable[[int], None], log):
        self.loop, self.heard, self.rest = loop, heard, b""
        self.child = loop.spawn([sys.executable, "-m", "laddergw.lab.stand_in_process", *arguments], ended,
                                stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log)
        os.set_blocking(self.child.stdout.fileno(), False)
        self.watch = DescriptorWatch(loop, self.child.stdout, self.read)

    def read(self) -> None:
        data = os.read(self.child.stdout.fileno(), 65_536)
        if not data:
            return self.watch.close()
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.heard(json.loads(line))

    def tell(self, **command) -> None:
        try:
            self.child.stdin.write(json.dumps(command).encode() + b"\n")
            self.child.stdin.flush()
        except OSError:
            pass                                 # it has ended: its end is told by the loop

    def end(self) -> None:
        self.watch.close()
        for stream in self.child.stdin, self.child.stdout:
            try:
                stream.close()
            except OSError:
                pass


class ProcessStage:
    """See the module. `folder` keeps files, records and the processes' error output."""
    tail_ms = TAIL_MS
    audience = "viewers"
    settle_ms = SETTLE_MS

    def __init__(self, model: DeploymentModel, script: list, folder: str | None = None, level: str = "warning"):
        self.model, self.level = model, level
        self.folder = folder or tempfile.mkdtemp(prefix="laddergw-")
        os.makedirs(self.folder, exist_ok=True)
        for name in os.listdir(self.folder):     # of an earlier run: its records would be taken for this one's
            if name.endswith((".jsonl", ".scm", ".log")):
                os.remove(os.path.join(self.folder, name))
        self.loop, self.records, self.problems = SocketLoop(), [], []
        self.errors = open(os.path.join(self.folder, "errors.log"), "ab")
        self.list = ListStandIn(self.loop, (HOST, 0), model.list_lag_ms, model.seed, self.record)
        self.ready: dict[tuple, Callable] = {}
        self.place: dict[int, int] = {}          # node -> rack
        self.racks = [Helper(self.loop, ["nodes", self.file(f"rack{rack}.jsonl"), str(model.rack_kb), str(model.seed)],
                             self.heard, lambda status, rack=rack: self.helper_ended(f"rack {rack}", status), self.errors)
                      for rack in range(model.racks)]
        self.viewers = Helper(self.loop, [self.audience, self.file("viewers.jsonl"), str(model.seed)], self.heard,
                              lambda status: self.helper_ended("viewers", status), self.errors)
        self.children: dict[int, subprocess.Popen] = {}
        self.addresses: dict[int, tuple] = {}
        self.starts = {number: 0 for number in range(model.directors)}
        self.sources: list[str] = []
        self.done = self.ending = False
        self.scenario = ScenarioPlayer(model, self, script, self.record)

    def file(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def record(self, what: str, now: float, **facts) -> None:
        self.records.append((now, what, facts))

    def helper_ended(self, name: str, status: int) -> None:
        if not self.ending:
            self.problems.append(f"{name} ended with {status}")

    def heard(self, said: dict) -> None:
        if said.get("done"):
            self.done = True
        elif "started" in said:
            self.ready.pop((said["started"], said["incarnation"]))(tuple(said["address"]))

    def wait(self, until: Callable[[], bool], ms: float, what: str) -> None:
        end = self.loop.now + ms
        while not until():
            self.loop.turn()
            if self.problems:
                raise RehearsalError("; ".join(self.problems))
            if self.loop.now > end:
                raise RehearsalError(f"{what}: not within {ms:.0f} ms")

    def run(self) -> list[tuple]:
        """Plays all of it on the wall clock; the records, in order of time. Raises CouldNotRun."""
        try:
            self.scenario.start_fleet()
            self.wait(lambda: len(self.scenario.up) == len(self.model.nodes), START_MS, "nodes start")
            for number in range(self.model.directors):
                self.scenario.directors_up.add(number)
                self.start_director(number)
            self.wait(lambda: len(self.addresses) == self.model.directors, START_MS, "directors start")
            settled = self.loop.now + self.settle_ms
            self.wait(lambda: self.loop.now >= settled, self.settle_ms + 1_000, "settling")
            self.scenario.schedule_events()
            self.start_viewers()
            end = self.loop.now + self.model.crowd.seconds * 1000 + self.tail_ms
            while not self.done and self.loop.now < end and not self.problems:
                self.loop.turn()
            self.record("stage ended", self.loop.now, done=self.done, lag_ms=self.loop.max_lag_ms)
            if self.problems:
                raise RehearsalError("; ".join(self.problems))
            self.ending = True
            self.before_end()
        finally:
            self.end()
        return self.collect()

    def start_viewers(self) -> None:
        crowd = self.model.crowd
        self.viewers.tell(crowd=crowd._replace(audiences=())._asdict(), audiences=[a._asdict() for a in crowd.audiences],
                          directors=self.addresses)

    def collect(self) -> list[tuple]:
        """All processes' records; a line cut off by a kill is left out."""
        names = [f"rack{rack}.jsonl" for rack in range(self.model.racks)] + ["viewers.jsonl"] + [f"{s}.jsonl" for s in self.sources]
        for name in names:
            if not os.path.exists(self.file(name)):
                continue
            with open(self.file(name), "rb") as stream:
                for line in stream.read().split(b"\n"):
                    try:
                        self.records.append(tuple(json.loads(line)))
                    except ValueError:
                        continue
        self.records.sort(key=lambda record: record[0])
        return self.records

    def end(self) -> None:
        """Ends the processes that this stage started, and no others."""
        self.ending = True
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for helper in (*self.racks, self.viewers):
            helper.end()
        for child in [helper.child for helper in (*self.racks, self.viewers)] + list(self.children.values()):
            try:
                child.wait(5)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
        self.loop.close()
        self.errors.close()

    # What the conductor asks for

    def start_node(self, facts, incarnation: int, cold: bool, rack: int, port: int, ready: Callable) -> None:
        self.place[facts.node] = rack
        self.ready[facts.node, incarnation] = ready
        self.racks[rack].tell(do="start", facts=facts._asdict(), incarnation=incarnation, cold=cold, port=port)

    def fault(self, node: int, what: str, value) -> None:
        self.racks[self.place[node]].tell(do="fault", node=node, what=what, value=value)

    def publish_list_entry(self, entry: dict) -> None:
        self.list.change(entry)

    def set_list_unreachable(self, out: bool) -> None:
        self.list.reach(out)

    def set_list_lag(self, ms: float) -> None:
        self.list.extra_lag = ms

    def start_director(self, number: int) -> None:
        self.starts[number] += 1
        source = f"d{number}.{self.starts[number]}"
        self.sources.append(source)
        with open(self.file(f"{source}.scm"), "w") as stream:
            stream.write(self.director_file_text(number))
        child = self.loop.spawn(
            self.director_command(stream.name, source), lambda status: self.director_ended(number, source, child, status),
            stdout=subprocess.PIPE, stderr=self.errors)
        self.children[number] = child

        heard = b""

        def said() -> None:
            nonlocal heard
            data = os.read(child.stdout.fileno(), 4096)
            heard += data
            if data and not heard.endswith(b"\n"):
                return
            watch.close()
            child.stdout.close()
            line = heard.decode().split()
            if line[:1] == ["ready"]:
                self.addresses[number] = line[1], int(line[2])
                self.record("director up", self.loop.now, number=number, source=source)
        watch = DescriptorWatch(self.loop, child.stdout, said)

    def director_file_text(self, number: int) -> str:
        """The file of a director's next process."""
        return self.model.director_file(number, self.addresses.get(number, (HOST, 0)), self.list.address, self.model.seed * 1000 + number * 10 + self.starts[number])

    def director_command(self, file: str, source: str) -> list[str]:
        return [sys.executable, "-m", "laddergw.cli", "director", file, "--log", self.level, "--tap", self.file(f"{source}.jsonl"),
                "--source", source]

    def before_end(self) -> None:
        """Called when the last play is over and all processes still run."""

    def director_ended(self, number: int, source: str, child, status: int) -> None:
        self.record("director down", self.loop.now, number=number, source=source, how=f"status {status}")
        if number in self.scenario.directors_up and not self.ending and self.children.get(number) is child:
            self.problems.append(f"director {source} ended with {status}")

    def kill_director(self, number: int) -> None:
        self.record("director down", self.loop.now, number=number, source=f"d{number}.{self.starts[number]}", how="killed")
        self.children[number].kill()

    def freeze_director(self, number: int, ms: float) -> None:
        child = self.children[number]
        child.send_signal(signal.SIGSTOP)
        self.loop.call_later(ms, lambda: child.poll() is None and child.send_signal(signal.SIGCONT))

    def stop_director(self, number: int) -> None:
        self.children[number].terminate()

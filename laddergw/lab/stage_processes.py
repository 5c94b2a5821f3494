"""A rehearsal on loopback sockets: this process starts and ends the directors, the racks of nodes and the viewers as processes."""
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

SETTLE_MS = 1_500.0        # for the fleet to be up and listed before the first viewer
TAIL_MS = 40_000.0         # maximum time for the last plays after the last arrival
START_MS = 20_000.0        # for all processes to start; past it the rehearsal fails
HOST = "127.0.0.1"


class RehearsalError(Exception):
    """The rehearsal itself failed; the text says where."""


class StandInProcess:
    """A child process of stand-ins that takes commands and reports as JSON lines."""

    def __init__(self, loop: SocketLoop, arguments: list[str], on_report: Callable[[dict], None], on_end: Callable[[int], None], log):
        self.loop, self.on_report, self.partial_line = loop, on_report, b""
        self.child = loop.spawn([sys.executable, "-m", "laddergw.lab.stand_in_process", *arguments], on_end,
                                stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log)
        os.set_blocking(self.child.stdout.fileno(), False)
        self.watch = DescriptorWatch(loop, self.child.stdout, self.read)

    def read(self) -> None:
        data = os.read(self.child.stdout.fileno(), 65_536)
        if not data:
            return self.watch.close()
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            self.on_report(json.loads(line))

    def send_command(self, **command) -> None:
        """Sends a command, unless the process has ended."""
        try:
            self.child.stdin.write(json.dumps(command).encode() + b"\n")
            self.child.stdin.flush()
        except OSError:
            pass                                 # the process has ended: the loop reports that

    def end(self) -> None:
        self.watch.close()
        for stream in self.child.stdin, self.child.stdout:
            try:
                stream.close()
            except OSError:
                pass


class ProcessStage:
    """Stage of processes. `folder` keeps files, records and the processes' error output; `level` is the directors' log level."""
    tail_ms = TAIL_MS
    audience = "viewers"
    settle_ms = SETTLE_MS

    def __init__(self, model: DeploymentModel, script: list, folder: str | None = None, level: str = "warning"):
        self.model, self.level = model, level
        self.folder = folder or tempfile.mkdtemp(prefix="laddergw-")
        os.makedirs(self.folder, exist_ok=True)
        for name in os.listdir(self.folder):     # an earlier run's records would be taken for this run's
            if name.endswith((".jsonl", ".scm", ".log")):
                os.remove(os.path.join(self.folder, name))
        self.loop, self.records, self.problems = SocketLoop(), [], []
        self.error_log = open(os.path.join(self.folder, "errors.log"), "ab")
        self.list = ListStandIn(self.loop, (HOST, 0), model.list_lag_ms, model.seed, self.record)
        self.on_ready: dict[tuple, Callable] = {}
        self.rack_of: dict[int, int] = {}          # node -> rack
        self.racks = [StandInProcess(self.loop, ["nodes", self.file(f"rack{rack}.jsonl"), str(model.rack_kb), str(model.seed)],
                                     self.handle_report, lambda status, rack=rack: self.stand_in_ended(f"rack {rack}", status), self.error_log)
                      for rack in range(model.racks)]
        self.viewers = StandInProcess(self.loop, [self.audience, self.file("viewers.jsonl"), str(model.seed)], self.handle_report,
                                      lambda status: self.stand_in_ended("viewers", status), self.error_log)
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

    def stand_in_ended(self, name: str, status: int) -> None:
        if not self.ending:
            self.problems.append(f"{name} ended with {status}")

    def handle_report(self, report: dict) -> None:
        """Handles a stand-in's report: a node is ready, or the last play is over."""
        if report.get("done"):
            self.done = True
        elif "started" in report:
            self.on_ready.pop((report["started"], report["incarnation"]))(tuple(report["address"]))

    def wait(self, until: Callable[[], bool], ms: float, what: str) -> None:
        """Runs the loop until a condition holds. Raises RehearsalError after `ms`, or when a process ended unexpectedly."""
        end = self.loop.now + ms
        while not until():
            self.loop.turn()
            if self.problems:
                raise RehearsalError("; ".join(self.problems))
            if self.loop.now > end:
                raise RehearsalError(f"{what}: not within {ms:.0f} ms")

    def run(self) -> list[tuple]:
        """Runs the whole rehearsal in real time; returns the records in order of time. Raises RehearsalError."""
        try:
            self.scenario.start_fleet()
            self.wait(lambda: len(self.scenario.up) == len(self.model.nodes), START_MS, "nodes start")
            for number in range(self.model.directors):
                self.scenario.directors_up.add(number)
                self.start_director(number)
            self.wait(lambda: len(self.addresses) == self.model.directors, START_MS, "directors start")
            settled_at = self.loop.now + self.settle_ms
            self.wait(lambda: self.loop.now >= settled_at, self.settle_ms + 1_000, "settling")
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
        return self.collect_records()

    def start_viewers(self) -> None:
        """Hook: starts the viewers' arrivals."""
        crowd = self.model.crowd
        self.viewers.send_command(crowd=crowd._replace(audiences=())._asdict(), audiences=[a._asdict() for a in crowd.audiences],
                                  directors=self.addresses)

    def collect_records(self) -> list[tuple]:
        """All processes' records; skips a line that a kill cut off."""
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
        for stand_in in (*self.racks, self.viewers):
            stand_in.end()
        for child in [stand_in.child for stand_in in (*self.racks, self.viewers)] + list(self.children.values()):
            try:
                child.wait(5)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
        self.loop.close()
        self.error_log.close()

    def start_node(self, facts, incarnation: int, cold: bool, rack: int, port: int, ready: Callable) -> None:
        self.rack_of[facts.node] = rack
        self.on_ready[facts.node, incarnation] = ready
        self.racks[rack].send_command(do="start", facts=facts._asdict(), incarnation=incarnation, cold=cold, port=port)

    def fault(self, node: int, what: str, value) -> None:
        self.racks[self.rack_of[node]].send_command(do="fault", node=node, what=what, value=value)

    def publish_list_entry(self, entry: dict) -> None:
        self.list.change(entry)

    def set_list_unreachable(self, unreachable: bool) -> None:
        self.list.set_unreachable(unreachable)

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
            stdout=subprocess.PIPE, stderr=self.error_log)
        self.children[number] = child
        output = b""

        def read_output() -> None:
            nonlocal output
            data = os.read(child.stdout.fileno(), 4096)
            output += data
            if data and not output.endswith(b"\n"):
                return
            watch.close()
            child.stdout.close()
            words = output.decode().split()
            if words[:1] == ["ready"]:
                self.addresses[number] = words[1], int(words[2])
                self.record("director up", self.loop.now, number=number, source=source)
        watch = DescriptorWatch(self.loop, child.stdout, read_output)

    def director_file_text(self, number: int) -> str:
        """Text of the file of a director's next process."""
        return self.model.director_file(number, self.addresses.get(number, (HOST, 0)), self.list.address, self.model.seed * 1000 + number * 10 + self.starts[number])

    def director_command(self, file: str, source: str) -> list[str]:
        return [sys.executable, "-m", "laddergw.cli", "director", file, "--log", self.level, "--tap", self.file(f"{source}.jsonl"),
                "--source", source]

    def before_end(self) -> None:
        """Hook: called when the last play is over and all processes still run."""

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

"""One director's place in a trial: its address, the process that has it now, and the signals that
it gets.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tomllib
from typing import Any

from laddergw.lab.soak.messages import configuration
from laddergw.lab.soak.peers import Owner
from laddergw.lab.soak.ports import HOST, reserve_port
from laddergw.lab.soak.terms import settings_for
from laddergw.signalling import binary

ROOT = pathlib.Path(__file__).parents[3]
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())[
    "run"
]  # the deploy file's own line
TEST = binary.encode(binary.PING, "0" * 16, (binary.CAUSE, b"\0"))
LOOK_MS = 50.0
STOPPED_MS = (200.0, 400.0)  # new connections go on coming so long after the order to stop
TICK_MS = 1000.0 / os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024


class Tested(Owner):
    """Asks a director whether it takes plays; `passed` is called if so."""

    def __init__(self, loop, address: tuple[str, int], passed):
        self.reader, self.passed = binary.Reader(), passed
        loop.dial(address, self, 1_000.0)

    def opened(self, stream) -> None:
        super().opened(stream)
        stream.write(TEST)

    def heard(self, message) -> None:
        if message.kind == binary.PONG and message.parameters[binary.CAUSE] == b"\1":
            self.passed()
        self.stream.close()


class DirectorSupervisor:
    """See the module. `trial` owns the loop, the records, the folder and the change log."""

    def __init__(self, trial: Any, number: int, run: str):
        self.trial, self.number, self.name, self.run, self.held = (
            trial,
            number,
            f"n{number}",
            run,
            reserve_port(),
        )
        self.address, self.starts, self.process, self.accepts_plays, self.stopping = (
            self.held.getsockname(),
            0,
            None,
            False,
            False,
        )
        self.start()

    def path(self) -> str:
        return os.path.join(self.trial.folder, f"{self.name}.json")

    def write_configuration(self) -> None:
        """A new file in place of the old one, whole at once."""
        beside = self.path() + ".new"
        with open(beside, "w") as stream:
            json.dump(
                configuration(
                    name=self.name,
                    listen=f"{HOST}:{self.address[1]}",
                    seed=f"{self.starts * 1000 + self.number:x}",
                    limits={"sockets": self.trial.terms.sockets},
                    changelog=f"{HOST}:{self.trial.log.ports[self.number]}",
                    known=self.trial.log.known(self.number),
                    settings=settings_for(
                        self.trial.terms, self.trial.number, self.number, self.trial.settings
                    ),
                ),
                stream,
            )
        os.replace(beside, self.path())

    def start(self) -> None:
        self.starts += 1
        self.write_configuration()
        self.trial.record("director starts", director=self.name)
        self.accepts_plays = self.stopping = False
        environment = os.environ | {
            "PROXY_CONFIG": self.path(),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LADDERGW_LOG": self.trial.log_level,
        }
        with open(self.log_path(self.starts), "wb") as log:
            process = self.process = self.trial.loop.spawn(
                ["/bin/sh", "-c", f"ulimit -n {self.trial.terms.sockets}; {self.run}"],
                lambda status: self.ended(process, status),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
                env=environment,
            )
        self.trial.processes.append((self.name, process))
        self.look(process)

    def log_path(self, start: int) -> str:
        return os.path.join(self.trial.folder, f"{self.name}.{start}.log")

    def look(self, process) -> None:
        if self.process is process and not self.accepts_plays and not self.stopping:
            Tested(self.trial.loop, self.address, lambda: self.ready(process))
            self.trial.loop.call_later(LOOK_MS, lambda: self.look(process))

    def ready(self, process) -> None:
        if self.process is process and not self.accepts_plays and not self.stopping:
            self.accepts_plays = True
            self.trial.record("director ready", director=self.name)

    def stop(self) -> None:
        """As at a planned restart: it is told; viewers go on coming for a moment, and on open
        connections until it has ended, which it has
        to before the earliest kill."""
        if self.process is None or self.stopping or not self.accepts_plays:
            return
        process, self.stopping = self.process, True
        self.trial.record("director told to stop", director=self.name)
        process.send_signal(signal.SIGTERM)
        self.trial.loop.call_later(
            self.trial.draw.uniform(*STOPPED_MS), lambda: self.no_new_connections(process)
        )
        self.trial.loop.call_later(self.trial.terms.kill_ms, lambda: self.kill_stopped(process))

    def no_new_connections(self, process) -> None:
        if self.process is process:
            self.accepts_plays = False

    def kill_stopped(self, process) -> None:
        if process.poll() is None:
            self.trial.record("killed at its stop", director=self.name)
            self.trial.stopped_late.add(process.pid)
            process.kill()

    def kill(self) -> None:
        if self.process is None or self.process.poll() is not None:
            return
        process, self.process, self.accepts_plays = self.process, None, False
        self.trial.killed.add(process.pid)
        self.trial.record("director killed", director=self.name)
        process.kill()

    def freeze(self, ms: float) -> None:
        process = self.process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self.trial.record("director frozen", director=self.name, ms=ms)
            self.trial.loop.call_later(
                ms, lambda: process.poll() is None and process.send_signal(signal.SIGCONT)
            )

    def reconfigure(self) -> None:
        if self.process is not None and self.process.poll() is None and self.accepts_plays:
            self.write_configuration()
            self.process.send_signal(signal.SIGHUP)

    def ended(self, process, status: int) -> None:
        fine = (
            (-signal.SIGKILL,)
            if process.pid in self.trial.killed | self.trial.stopped_late
            else (0,)
        )
        if process is self.process:
            self.accepts_plays, self.process = False, None
        self.trial.record("director ended", director=self.name, status=status, fine=fine)
        if not self.trial.over:
            self.start()

    def measure(self) -> None:
        """Descriptors, resident memory and processor time of its process."""
        if self.process is None or not self.accepts_plays:
            return
        try:
            descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2]
        except (OSError, IndexError):
            return
        user, system = stat.split()[11:13]
        self.trial.record(
            "held",
            director=self.name,
            descriptors=descriptors,
            memory_mb=pages * PAGE_KB / 1024,
            cpu_ms=(int(user) + int(system)) * TICK_MS,
        )

    def troubles(self) -> list[str]:
        """Lines of its logs that tell of a fault in the program."""
        found = []
        for start in range(1, self.starts + 1):
            with open(self.log_path(start)) as log:
                found += [
                    line.strip()[:200]
                    for line in log
                    if "Traceback" in line or " ERROR " in line or " WARNING " in line
                ]
        return found


def default_run() -> str:
    return RUN.replace(".venv/bin/python", sys.executable)

"""Runs one director of a trial: keeps its address, starts its process, restarts it when
it ends, and sends it signals.
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
from laddergw.lab.soak.peers import PeerConnection
from laddergw.lab.soak.ports import HOST, reserve_port
from laddergw.lab.soak.terms import settings_for
from laddergw.signalling import binary

ROOT = pathlib.Path(__file__).parents[3]
# The command of the deployment file.
RUN_COMMAND = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
PING_MESSAGE = binary.encode(binary.PING, "0" * 16, (binary.CAUSE, b"\0"))
PROBE_INTERVAL_MS = 50.0
# Range of the time after SIGTERM in which viewers still open connections.
ACCEPT_AFTER_STOP_MS = (200.0, 400.0)
CPU_TICK_MS = 1000.0 / os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024


class ReadinessProbe(PeerConnection):
    """Asks a director whether it accepts plays; calls `on_ready` if it does."""

    def __init__(self, loop, address: tuple[str, int], on_ready):
        self.reader, self.on_ready = binary.Reader(), on_ready
        loop.dial(address, self, 1_000.0)

    def opened(self, stream) -> None:
        super().opened(stream)
        stream.write(PING_MESSAGE)

    def handle_message(self, message) -> None:
        if message.kind == binary.PONG and message.parameters[binary.CAUSE] == b"\1":
            self.on_ready()
        self.stream.close()


class DirectorSupervisor:
    """Runs one director; `trial` owns the loop, the records, the folder and the change log."""

    def __init__(self, trial: Any, number: int, run: str):
        self.trial, self.number, self.name, self.command, self.reserved_port = (
            trial,
            number,
            f"n{number}",
            run,
            reserve_port(),
        )
        self.address, self.start_count, self.process, self.accepts_plays, self.is_stopping = (
            self.reserved_port.getsockname(),
            0,
            None,
            False,
            False,
        )
        self.start()

    def configuration_path(self) -> str:
        """Path of its configuration file."""
        return os.path.join(self.trial.folder, f"{self.name}.json")

    def write_configuration(self) -> None:
        """Replaces the configuration file atomically."""
        new_path = self.configuration_path() + ".new"
        with open(new_path, "w") as stream:
            json.dump(
                configuration(
                    name=self.name,
                    listen=f"{HOST}:{self.address[1]}",
                    seed=f"{self.start_count * 1000 + self.number:x}",
                    limits={"sockets": self.trial.terms.sockets},
                    changelog=f"{HOST}:{self.trial.log.ports[self.number]}",
                    known=self.trial.log.initial_events(self.number),
                    settings=settings_for(
                        self.trial.terms,
                        self.trial.director_count,
                        self.number,
                        self.trial.settings,
                    ),
                ),
                stream,
            )
        os.replace(new_path, self.configuration_path())

    def start(self) -> None:
        """Starts a new process with a new configuration file."""
        self.start_count += 1
        self.write_configuration()
        self.trial.record("director starts", director=self.name)
        self.accepts_plays = self.is_stopping = False
        environment = os.environ | {
            "PROXY_CONFIG": self.configuration_path(),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LADDERGW_LOG": self.trial.log_level,
        }
        with open(self.log_path(self.start_count), "wb") as log:
            process = self.process = self.trial.loop.spawn(
                ["/bin/sh", "-c", f"ulimit -n {self.trial.terms.sockets}; {self.command}"],
                lambda status: self.process_ended(process, status),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
                env=environment,
            )
        self.trial.processes.append((self.name, process))
        self.probe_until_ready(process)

    def log_path(self, start: int) -> str:
        """Path of the log of the process with that start number."""
        return os.path.join(self.trial.folder, f"{self.name}.{start}.log")

    def probe_until_ready(self, process) -> None:
        """Asks the process repeatedly until it accepts plays."""
        if self.process is process and not self.accepts_plays and not self.is_stopping:
            ReadinessProbe(self.trial.loop, self.address, lambda: self.became_ready(process))
            self.trial.loop.call_later(PROBE_INTERVAL_MS, lambda: self.probe_until_ready(process))

    def became_ready(self, process) -> None:
        """Notes that the process accepts plays."""
        if self.process is process and not self.accepts_plays and not self.is_stopping:
            self.accepts_plays = True
            self.trial.record("director ready", director=self.name)

    def stop(self) -> None:
        """Stops the process as a planned restart does.

        After SIGTERM, viewers still open connections for a moment, and use open ones until the
        process has ended; it must end before the earliest SIGKILL.
        """
        if self.process is None or self.is_stopping or not self.accepts_plays:
            return
        process, self.is_stopping = self.process, True
        self.trial.record("director told to stop", director=self.name)
        process.send_signal(signal.SIGTERM)
        self.trial.loop.call_later(
            self.trial.rng.uniform(*ACCEPT_AFTER_STOP_MS),
            lambda: self.stop_new_connections(process),
        )
        self.trial.loop.call_later(self.trial.terms.kill_ms, lambda: self.kill_if_running(process))

    def stop_new_connections(self, process) -> None:
        """Ends the time in which viewers still open connections to a stopping process."""
        if self.process is process:
            self.accepts_plays = False

    def kill_if_running(self, process) -> None:
        """Kills a process that has not ended in time after SIGTERM."""
        if process.poll() is None:
            self.trial.record("killed at its stop", director=self.name)
            self.trial.stopped_late.add(process.pid)
            process.kill()

    def kill(self) -> None:
        """Kills the process without notice."""
        if self.process is None or self.process.poll() is not None:
            return
        process, self.process, self.accepts_plays = self.process, None, False
        self.trial.killed.add(process.pid)
        self.trial.record("director killed", director=self.name)
        process.kill()

    def freeze(self, ms: float) -> None:
        """Stops the process by SIGSTOP for a time in ms."""
        process = self.process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self.trial.record("director frozen", director=self.name, ms=ms)
            self.trial.loop.call_later(
                ms, lambda: process.poll() is None and process.send_signal(signal.SIGCONT)
            )

    def reconfigure(self) -> None:
        """Writes a new configuration file and has the process read it."""
        if self.process is not None and self.process.poll() is None and self.accepts_plays:
            self.write_configuration()
            self.process.send_signal(signal.SIGHUP)

    def process_ended(self, process, status: int) -> None:
        """Records the end of a process, and starts the next one unless the trial is over."""
        expected = (
            (-signal.SIGKILL,)
            if process.pid in self.trial.killed | self.trial.stopped_late
            else (0,)
        )
        if process is self.process:
            self.accepts_plays, self.process = False, None
        self.trial.record("director ended", director=self.name, status=status, fine=expected)
        if not self.trial.is_over:
            self.start()

    def record_usage(self) -> None:
        """Records open descriptors, resident memory (MB) and processor time (ms) of the process."""
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
            cpu_ms=(int(user) + int(system)) * CPU_TICK_MS,
        )

    def list_logged_faults(self) -> list[str]:
        """Returns the lines of its logs that report a fault of the program."""
        found = []
        for start in range(1, self.start_count + 1):
            with open(self.log_path(start)) as log:
                found += [
                    line.strip()[:200]
                    for line in log
                    if "Traceback" in line or " ERROR " in line or " WARNING " in line
                ]
        return found


def default_command() -> str:
    """Returns the deployment file's command with this Python interpreter."""
    return RUN_COMMAND.replace(".venv/bin/python", sys.executable)

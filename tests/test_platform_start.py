"""The platform's director as a process: signals at any moment from its first statement on, and faulty files at the start and later."""
import json
import os
import pathlib
import random
import selectors
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest

from laddergw.lab.soak.ports import reserve_port
from tests.platform_cluster import configuration_file

ROOT = pathlib.Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
BATCH_SIZE = 20            # processes that run at once: each takes a second to end, by the platform's terms
BATCHES = 7
SIGNAL_WINDOW_MS = 150.0   # signals are sent within this after a process begins to hold them: its start takes 60 to 120 ms
WAIT_LIMIT_S = 60.0        # how long a test waits for any one event


def signal_masks(process):
    """Returns a process's masks of signals by the kernel: blocked, ignored, caught. Empty when it has ended."""
    try:
        lines = pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines()
    except (FileNotFoundError, ProcessLookupError):
        return {}
    return {name: int(value, 16) for name, value in (line.split(":", 1) for line in lines) if name.startswith("Sig") and name != "SigQ"}


def holds_signal(process, number, *names):
    """Whether one of the named masks has a signal, or the process has ended."""
    masks = signal_masks(process)
    return not masks or any(masks[name] >> (number - 1) & 1 for name in names)


class SpawnedDirector:
    """One director, started by the command of deploy/balancer.toml; its log is read as it comes."""

    def __init__(self, folder, name, log_port=4001, descriptors=None, log_level="INFO", **changes):
        self.name, self.path, self.log, self.at = name, folder / f"{name}.json", "", None
        self.held = reserve_port()
        self.port = self.held.getsockname()[1]
        self.write(log_port, **changes)
        run = (f"ulimit -n {descriptors}; " if descriptors else "") + RUN.replace(".venv/bin/python", sys.executable)
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, stdin=subprocess.DEVNULL, stderr=subprocess.PIPE,
                                        env=os.environ | {"PROXY_CONFIG": str(self.path), "PYTHONDONTWRITEBYTECODE": "1", "LADDERGW_LOG": log_level})

    def write(self, log_port, **changes):
        """Replaces the configuration file at once by a rename."""
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps(configuration_file(name=self.name, listen=f"127.0.0.1:{self.port}", changelog=f"127.0.0.1:{log_port}",
                                          known={"seq": 1, "results": []}) | changes))
        new_path.rename(self.path)

    def pid(self):
        """Returns the director's process id: the shell replaces itself by it."""
        return self.process.pid

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.held.close()


class StartTests(unittest.TestCase):
    """Signals and files of processes that start, run and end."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.selector = pathlib.Path(folder.name), selectors.DefaultSelector()
        self.addCleanup(self.selector.close)

    def start(self, name):
        running = SpawnedDirector(self.folder, name)
        self.addCleanup(running.end)
        os.set_blocking(running.process.stderr.fileno(), False)
        self.selector.register(running.process.stderr, selectors.EVENT_READ, running)
        return running

    def read(self, wait_s):
        for key, _ in self.selector.select(wait_s):
            data = os.read(key.fd, 65_536)
            key.data.log += data.decode()
            if not data:
                self.selector.unregister(key.fileobj)

    def until(self, done, what):
        latest = time.monotonic() + WAIT_LIMIT_S
        while not done():
            self.assertLess(time.monotonic(), latest, what)
            self.read(0.05)

    def test_signals_at_random_moments(self):
        """No signal ends a process at once and none is lost: after SIGHUP the file of that time is in force, after SIGTERM it exits with 0."""
        generator, self.early = random.Random(28), 0
        for batch in range(BATCHES):
            plan = []
            for n in range(BATCH_SIZE):
                running = self.start(f"n{batch}-{n}")
                numbers = generator.choice(((signal.SIGHUP,), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP)))
                plan.append((running, numbers, generator.random() * SIGNAL_WINDOW_MS))
            self.send(plan)
            for running, numbers, moment in plan:
                with self.subTest(name=running.name, signals=numbers, moment=moment):
                    if signal.SIGHUP in numbers:
                        self.until(lambda: running.log.rpartition("change log at ")[2].startswith("('127.0.0.1', 4002)"), running.log)
                    if signal.SIGTERM not in numbers:
                        self.until(lambda: "runs at" in running.log, running.log)
                        self.assertIsNone(running.process.poll(), running.log)
                        running.process.send_signal(signal.SIGTERM)
            for running, _, _ in plan:
                self.assertEqual(running.process.wait(WAIT_LIMIT_S), 0, running.log)
        self.assertGreater(self.early, BATCH_SIZE * BATCHES / 4, "too few signals were sent before their handlers were installed")

    def send(self, plan):
        """Sends each process its signals at its moment after it began to hold them: the command's trap holds SIGHUP, the first statement SIGTERM."""
        held = {}
        while plan and len(held) < len(plan) or any(left for _, left in held.values()):
            now = time.monotonic() * 1000
            for running, numbers, moment in plan:
                if running.name not in held:
                    names = ("SigBlk", "SigCgt") if signal.SIGTERM in numbers else ("SigIgn", "SigBlk", "SigCgt")
                    if holds_signal(running.process, numbers[0], *names):
                        held[running.name] = [now + moment, list(numbers)]
                        self.early += holds_signal(running.process, signal.SIGTERM, "SigBlk")
                elif now >= held[running.name][0] and held[running.name][1]:
                    running.write(4002)
                    for number in held[running.name][1]:
                        running.process.send_signal(number)
                    held[running.name][1] = []
            self.read(0)

    def test_signals_as_it_ends(self):
        """Until its end a process that was signalled to stop is not ended by another signal."""
        for n in range(4):                                     # a second each
            running = self.start(f"n{n}")
            self.until(lambda: "runs at" in running.log, running.log)
            running.process.send_signal(signal.SIGTERM)
            while running.process.poll() is None:
                running.process.send_signal((signal.SIGTERM, signal.SIGHUP)[n % 2])
                self.read(0.0005)
            self.assertEqual(running.process.returncode, 0, running.log)

    def test_faulty_file(self):
        """A start with a faulty file fails and names the fault; a running director refuses it and reads the next one."""
        bad = {"settings": configuration_file()["settings"] | {"Siblings": "many"}}
        faulty = self.start("wrong")
        faulty.process.kill()
        faulty.process.wait()
        faulty.write(4001, **bad)
        again = subprocess.run(["/bin/sh", "-c", RUN.replace(".venv/bin/python", sys.executable)], cwd=ROOT, capture_output=True, timeout=WAIT_LIMIT_S,
                               env=os.environ | {"PROXY_CONFIG": str(faulty.path)})
        self.assertEqual(again.returncode, 2)
        self.assertIn(b"Siblings", again.stderr)
        running = self.start("n0")
        self.until(lambda: "runs at" in running.log, running.log)
        running.write(4002, **bad)
        running.process.send_signal(signal.SIGHUP)
        self.until(lambda: "configuration refused" in running.log, running.log)
        self.assertIn("Siblings", running.log)
        running.write(4002)
        running.process.send_signal(signal.SIGHUP)
        self.until(lambda: "configuration read again" in running.log, running.log)
        running.process.send_signal(signal.SIGTERM)
        self.assertEqual(running.process.wait(WAIT_LIMIT_S), 0, running.log)


if __name__ == "__main__":
    unittest.main()

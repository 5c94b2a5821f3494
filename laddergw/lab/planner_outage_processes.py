"""rehearse apart on loopback: edges, planners, racks and viewers as processes. Edges and planners use TLS; planners are killed by signal."""
import json
import os
import signal
import subprocess
import sys

from laddergw.lab.planner_outage import RESTART_DELAY_MS
from laddergw.lab.test_certificates import CertificateAuthority
from laddergw.lab.deployment_model import DeploymentModel, draw_between
from laddergw.lab.script import FaultEvent
from laddergw.lab.stage_processes import HOST, START_MS, ProcessStage
from laddergw.loop.sockets import DescriptorWatch

PLANNERS = 2
COUNTED_EVENTS = ("plan", "recovered", "leads", "fenced", "store fault", "peer down")


class PlannerOutageProcesses(ProcessStage):
    """A rehearsal of processes with planners. `kills`: how many kills, of the planners in turn, spread over the run."""

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], kills: int, folder: str | None = None, level: str = "warning"):
        super().__init__(model, script, folder, level)
        self.kills, self.start_count = kills, 0
        for name in os.listdir(self.folder):
            if name.startswith("planner.store"):
                os.remove(self.file(name))
        authority = CertificateAuthority(self.folder)
        self.planner_certificates = {f"p{number}": authority.issue(f"p{number}") for number in range(PLANNERS)}
        self.edge_certificate = authority.issue("d")
        self.extra_planner_settings = ""     # further forms of each planner's file
        self.planners: dict[int, subprocess.Popen] = {}
        self.planner_addresses: dict[int, tuple[str, int]] = {}
        self.planner_log = open(self.file("planners.log"), "wb")

    def run(self) -> list[tuple]:
        """Starts the planners and runs the rehearsal."""
        for number in range(PLANNERS):
            self.start_planner(number, number == 0)
            self.wait(lambda number=number: number in self.planner_addresses, START_MS, "planners start")
        return super().run()

    def tls(self, certificate: tuple[str, str, str]) -> str:
        """The form of a file that names its certificate, key and authority."""
        return '(tls (certificate "%s") (key "%s") (authority "%s"))' % certificate

    def director_file_text(self, number: int) -> str:
        """The director's file, with its planners and certificate."""
        planners = " ".join(f'(planner "{host}" {port})' for host, port in self.planner_addresses.values())
        return super().director_file_text(number).replace("(bounds", f"{planners} {self.tls(self.edge_certificate)}\n (bounds", 1)

    def start_planner(self, number: int, leads: bool) -> None:
        """Writes a planner's file and starts its next process; its address is known once it says that it is ready."""
        self.start_count += 1
        host, port = self.planner_addresses.get(number, (HOST, 0))
        others = " ".join(f'(other "{address[0]}" {address[1]})' for other, address in self.planner_addresses.items() if other != number)
        file = self.file(f"p{number}.planner")
        with open(file, "w") as stream:
            stream.write(f'(planner (name p{number}) (listen "{host}" {port}) (store "{self.file("planner.store")}") (key lab "rehearsal-key-of-{self.model.seed:08d}") '
                         f'{"(leads)" if leads else ""} {self.extra_planner_settings} {others} {self.tls(self.planner_certificates[f"p{number}"])} (seed {self.model.seed + self.start_count}))')
        child = self.loop.spawn([sys.executable, "-m", "laddergw.cli", "planner", file, "--log", "debug"], lambda status: None, stdout=subprocess.PIPE, stderr=self.planner_log)
        self.planners[number] = child

        def read_ready_line() -> None:
            line = os.read(child.stdout.fileno(), 4_096).split()
            watch.close()
            child.stdout.close()
            if line[:1] == [b"ready"]:
                self.planner_addresses[number] = line[1].decode(), int(line[2])
        watch = DescriptorWatch(self.loop, child.stdout, read_ready_line)

    def start_viewers(self) -> None:
        """Starts the viewers and schedules the planners' kills."""
        super().start_viewers()
        for kill in range(self.kills):
            at = draw_between(self.model.seed, 1_000, self.model.crowd.seconds * 1000, "planner", kill)
            self.loop.call_later(at, lambda kill=kill: self.kill_planner(kill % PLANNERS))

    def kill_planner(self, number: int) -> None:
        """Kills a running planner and restarts it after a drawn delay."""
        child = None if self.ending else self.planners.pop(number, None)     # at the end, end() kills all that are still known here
        if child is None:
            return
        child.send_signal(signal.SIGKILL)
        self.record("planner down", self.loop.now, number=number)
        delay = draw_between(self.model.seed, *RESTART_DELAY_MS, "away", number, self.start_count)
        self.loop.call_later(delay, lambda: self.ending or self.start_planner(number, True))

    def end(self) -> None:
        """Ends all processes of the rehearsal."""
        for child in self.planners.values():
            if child.poll() is None:
                child.kill()
                child.wait()
        super().end()
        self.planner_log.close()

    def summary(self) -> str:
        """What planners logged, in one line."""
        counts = dict.fromkeys(COUNTED_EVENTS, 0)
        with open(self.file("planners.log"), "rb") as stream:
            for line in stream:
                try:
                    event = json.loads(line).get("event")
                except ValueError:
                    continue
                if event in counts:
                    counts[event] += 1
        return f"{self.start_count} starts of planners; " + ", ".join(f"{name} {count}" for name, count in counts.items())

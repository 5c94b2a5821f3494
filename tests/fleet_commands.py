"""A fleet of processes with the operators' command run beside it: its answers, and conditions that are polled."""
import subprocess
import sys

from laddergw.lab.fleet_processes import FleetProcesses
from laddergw.lab.stage_processes import RehearsalError

# Of one command: the interpreter, its imports, a few answers.
COMMAND_TIMEOUT_MS = 30_000.0


class CommandedFleet(FleetProcesses):
    """Processes of a fleet, and the exit code and output of each command that was run, by its words."""

    def __init__(self, *given, **named):
        super().__init__(*given, **named)
        self.answers: dict[str, tuple[int, str]] = {}

    def command(self, *words: str) -> None:
        """Runs `laddergw fleet` with these words on a file that names the current address of director 0."""
        exit_codes, house = [], self.file("asked.scm")
        with open(self.file(f"d0.{self.starts[0]}.scm")) as source, open(house, "w") as target:
            target.write(source.read().replace('(listen "127.0.0.1" 0)', '(listen "%s" %d)' % self.addresses[0]))
        with open(self.file("answer.txt"), "w+") as out:
            self.loop.spawn([sys.executable, "-m", "laddergw.cli", "fleet", *words, house], exit_codes.append, stdout=out, stderr=subprocess.STDOUT)
            self.wait(lambda: exit_codes, COMMAND_TIMEOUT_MS, " ".join(words))
            out.seek(0)
            self.answers[words[-1] if words[0] == "audit" else " ".join(words)] = exit_codes[0], out.read()

    def until(self, done, what: str) -> None:
        """Polls until `done()` holds."""
        deadline = self.loop.now + COMMAND_TIMEOUT_MS
        while not done():
            self.assert_before(deadline, what)
            next_poll = self.loop.now + 200
            self.wait(lambda: self.loop.now >= next_poll, 1_000, what)

    def assert_before(self, deadline: float, what: str) -> None:
        """Raises RehearsalError after a deadline."""
        if self.loop.now > deadline:
            raise RehearsalError(f"{what}: not within {COMMAND_TIMEOUT_MS:.0f} ms")

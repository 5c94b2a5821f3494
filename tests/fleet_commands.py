"""A fleet of processes whose operators' command is run beside it: what it says, and what is waited for by asking again."""
import subprocess
import sys

from laddergw.lab.fleet_processes import FleetProcesses
from laddergw.lab.stage_processes import RehearsalError

COMMAND_MS = 30_000.0      # one command: the interpreter, its imports, a few answers


class Commanding(FleetProcesses):
    """See the module."""

    def __init__(self, *given, **named):
        super().__init__(*given, **named)
        self.answers: dict[str, tuple[int, str]] = {}

    def command(self, *words: str) -> None:
        ended, house = [], self.file("asked.scm")
        with open(self.file(f"d0.{self.starts[0]}.scm")) as told, open(house, "w") as asked:
            asked.write(told.read().replace('(listen "127.0.0.1" 0)', '(listen "%s" %d)' % self.addresses[0]))
        with open(self.file("answer.txt"), "w+") as out:
            self.loop.spawn([sys.executable, "-m", "laddergw.cli", "fleet", *words, house], ended.append, stdout=out, stderr=subprocess.STDOUT)
            self.wait(lambda: ended, COMMAND_MS, " ".join(words))
            out.seek(0)
            self.answers[words[-1] if words[0] == "audit" else " ".join(words)] = ended[0], out.read()

    def until(self, done, what: str) -> None:
        """Asks again until it is so, a little later each time."""
        latest = self.loop.now + COMMAND_MS
        while not done():
            self.assert_before(latest, what)
            due = self.loop.now + 200
            self.wait(lambda: self.loop.now >= due, 1_000, what)

    def assert_before(self, latest: float, what: str) -> None:
        if self.loop.now > latest:
            raise RehearsalError(f"{what}: not within {COMMAND_MS:.0f} ms")

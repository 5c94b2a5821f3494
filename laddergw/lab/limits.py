"""rehearse limits: the operators' file changes every two seconds, between valid and invalid versions, while nodes fail and viewers play.

Versions are drawn by seed and number. In memory each is loaded at the directors directly; with processes it is written to the file that they watch: atomically,
in two halves with a pause between them, or with a folder in the file's place during that pause.
"""
import os

from laddergw.terms import director_file as director_files
from laddergw.terms.director_file import DirectorFile
from laddergw.lab.deployment_model import DeploymentModel, draw_between, draw
from laddergw.lab.script import FaultEvent
from laddergw.lab.stage_memory import MemoryStage
from laddergw.lab.stage_processes import ProcessStage
from laddergw.lab.viewers_stand_in import ROUTES
from laddergw.terms.loading import load

SWITCH_INTERVAL_MS = 2_000.0
HALF_FILE_DELAY_MS = 120.0     # between the halves of a version
INVALID_SHARE = 0.4     # of the versions
MAX_DRAWS = 200     # texts drawn until one is accepted


def draw_version(seed: int, number: int, director_file: DirectorFile) -> tuple[str, bool]:
    """The text of a version, and whether it is valid."""
    if draw(seed, "broken", number) < INVALID_SHARE:
        return invalid_text(seed, number), False
    return valid_text(seed, number, director_file), True


def valid_text(seed: int, number: int, director_file: DirectorFile) -> str:
    """The first drawn text that the program's own checks accept. Raises ValueError after MAX_DRAWS rejected ones."""
    for attempt in range(MAX_DRAWS):
        text = draw_text(seed, (number, attempt), director_file.names)
        if load(text.encode(), "drawn", director_file).limits is not None:
            return text
    raise ValueError(f"no valid text among {MAX_DRAWS} drawn")


def draw_text(seed: int, number, names: tuple[str, ...]) -> str:
    """A text with plausible values, which may still be rejected: set-ups of 300 to 1,500 ms, long and short releases, pauses, attempts, routes, budgets."""
    def pick(low: float, high: float, *what) -> int:
        return round(draw_between(seed, low, high, number, *what))

    def row(what: str) -> str:
        part = lambda key, text, chance: text if draw(seed, number, what, key) < chance else ""
        set_up = pick(300, 1_500, what, "set-up")
        return " ".join(filter(None, (
            part("set-up", f"(set-up-ms {set_up})", 0.6), part("lease", f"(lease-ms {set_up + pick(20, 200, what, 'grace')})", 0.3),
            part("limit", f"(time-limit-ms {pick(2_000, 6_000, what, 'limit')})", 0.5), part("attempts", f"(attempts {pick(1, 3, what, 'attempts')})", 0.5),
            part("release", f"(release-ms {pick(0, 2_000, what, 'release')})", 0.25), part("connect", f"(connect-ms {pick(100, 500, what, 'connect')})", 0.3),
            part("backoff", f"(backoff-ms {pick(0, 150, what, 'pause')} 2 {pick(150, 600, what, 'most')})", 0.3),
            part("retry", f"(retry-after-ms {pick(0, 800, what, 'low')} {pick(800, 2_000, what, 'high')})", 0.3),
            part("tries", f"(viewer-tries {pick(2, 10, what, 'tries')})", 0.2))))

    def budget(what: str) -> str:
        return f"(budget (free {pick(0, 10, what, 'free')}) (share {draw_between(seed, 0, 0.2, number, what, 'share'):.2f}) (window-ms {pick(2_000, 20_000, what, 'window')}))"
    lines = [f" (cold-pace {draw_between(seed, 0.3, 1.3, number, 'cold'):.2f})" if draw(seed, number, "cold?") < 0.5 else "",
             f" (answer-margin-ms {pick(5, 80, 'margin')})" if draw(seed, number, "margin?") < 0.4 else "", f" (defaults {row('defaults')})",
             f' (tenant "basin" {budget("basin")})']
    lines += [f' (product "{name}" {row(name)})' for name in names if draw(seed, number, "product", name) < 0.4]
    for route in ROUTES:
        if draw(seed, number, "route", route) < 0.5:
            titles = ' (titles "1*" "?")' if draw(seed, number, "titles", route) < 0.3 else ""
            own = budget(route) if draw(seed, number, "budget", route) < 0.3 else ' (tenant "basin")'
            lines.append(f' (route "{route}"{titles} {own} {row(route)})')
    return "(limits\n" + "\n".join(filter(None, lines)) + ")\n"


def invalid_text(seed: int, number: int) -> str:
    """A text that must be rejected for its syntax, its values, or a rule that it would violate."""
    kinds = ("(limits (defaults (time-limit-ms 4000) (set-up-ms 900) (attempts 3) (release-ms 200)))", "(limits (cold-pace 20))",
             "(limits (defaults (time-limit-ms 2000) (set-up-ms 900) (attempts 3)))", "(limits (defaults (set-up-ms 900)", "",
             "(limits (answer-margin-ms 2) (defaults (time-limit-ms 4000)))", "(limits (product nothing))", "(limits (budget (free 1000000)))")
    return kinds[int(draw(seed, "kind", number) * len(kinds))]


class MemoryLimitsStage(MemoryStage):
    """In memory: each version is loaded at every director at the same time."""

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], **more):
        super().__init__(model, script, **more)
        self.director_file = director_files.read(model.director_file(0, ("d0", 1), ("list", 1), model.seed))
        self.version_count = 0
        self.loop.call_later(SWITCH_INTERVAL_MS, self.switch)

    def switch(self) -> None:
        """Loads the next version at all directors."""
        if self.done:
            return
        self.version_count += 1
        text, _ = draw_version(self.model.seed, self.version_count, self.director_file)
        loaded = load(text.encode(), f"version-{self.version_count}", self.director_file)
        for number, director in self.directors.items():
            host = self.world.hosts[f"d{number}"]
            if host.alive and host.running:
                host.deliver_at(self.world.now, lambda director=director: director.change_limits(loaded.limits) if loaded.limits is not None
                          else director.limits_refused(loaded.texts()))
        self.loop.call_later(SWITCH_INTERVAL_MS, self.switch)


class ProcessLimitsStage(ProcessStage):
    """With processes: versions are written to a file that all directors watch."""

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], folder: str | None = None, level: str = "warning"):
        super().__init__(model, script, folder, level)
        self.director_file = director_files.read(model.director_file(0, ("127.0.0.1", 1), ("127.0.0.1", 1), model.seed))
        self.limits_file, self.version_count = self.file("limits.terms"), 0
        self.write(valid_text(model.seed, 0, self.director_file))

    def director_command(self, file: str, source: str) -> list[str]:
        """The director's command, with the limits file."""
        return super().director_command(file, source) + ["--limits", self.limits_file]

    def start_viewers(self) -> None:
        """Versions change only once all directors run, so that each has loaded a valid one."""
        super().start_viewers()
        self.loop.call_later(SWITCH_INTERVAL_MS, self.switch)

    def write(self, text: str) -> None:
        """Replaces the limits file atomically."""
        with open(self.limits_file + ".new", "w") as stream:
            stream.write(text)
        os.replace(self.limits_file + ".new", self.limits_file)

    def switch(self) -> None:
        """Writes the next version to the watched file."""
        if self.ending:
            return
        self.version_count += 1
        text, _ = draw_version(self.model.seed, self.version_count, self.director_file)
        method = draw(self.model.seed, "how", self.version_count)
        if method < 0.5:
            self.write(text)
        else:
            self.write_in_halves(text, method > 0.75)
        self.loop.call_later(SWITCH_INTERVAL_MS, self.switch)

    def write_in_halves(self, text: str, with_folder: bool) -> None:
        """Writes the first half, then the whole text; with a folder in the file's place in between if `with_folder`."""
        with open(self.limits_file, "w") as stream:
            stream.write(text[:len(text) // 2])
        if with_folder:
            os.remove(self.limits_file)
            os.mkdir(self.limits_file)

        def write_rest() -> None:
            if with_folder:
                os.rmdir(self.limits_file)
            self.write(text)
        self.loop.call_later(HALF_FILE_DELAY_MS, write_rest)


def count_switches(records: list[tuple]) -> dict[str, int]:
    """How versions were received, and how many running plays a director dropped without a cause of their own."""
    counts = {"switches": 0, "refused": 0, "most generations at once": 1, "dropped": 0}
    release_reasons = {facts["allocation"]: facts["how"] for _, what, facts in records if what == "let go"}
    allocation_of_play: dict[str, str] = {}
    for _, what, facts in sorted(records, key=lambda record: record[0]):
        if what == "limits changed":
            counts["switches"] += 1
            counts["most generations at once"] = max(counts["most generations at once"], 1 + facts["older"])
        elif what == "limits refused":
            counts["refused"] += 1
        elif what == "held":
            allocation_of_play[facts["play"]] = facts["allocation"]
        elif what == "event" and facts["event"] == "broken" and release_reasons.get(allocation_of_play.get(facts["play"], "")) == "released":
            counts["dropped"] += 1
    return counts


def stage_for(model: DeploymentModel, script: list[FaultEvent], memory: bool, folder: str | None, level: str) -> MemoryStage | ProcessStage:
    """The stage in memory or with processes."""
    return MemoryLimitsStage(model, script) if memory else ProcessLimitsStage(model, script, folder, level)



"""rehearse limits: the operators' file switched every two seconds, sound and broken versions in turn, while nodes fail and viewers play.

Versions are drawn by seed and number. In memory each is loaded at the directors at once; as processes it is written to the file that they watch: in one move,
in two halves a moment apart, or with a folder in its place in between.
"""
import os

from laddergw.terms import director_file as director_files
from laddergw.terms.director_file import DirectorFile
from laddergw.lab.plant import Plant, between, draw
from laddergw.lab.script import Trouble
from laddergw.lab.stage_memory import MemoryStage
from laddergw.lab.stage_processes import ProcessStage
from laddergw.lab.viewers_stand_in import ROUTES
from laddergw.terms.loading import load

EVERY_MS = 2_000.0         # between versions
HALF_MS = 120.0            # between the halves of a version written in two
BROKEN_PART = 0.4          # of the versions
SOUND_TRIES = 200          # drawn until one is accepted


def draw_version(seed: int, number: int, house: DirectorFile) -> tuple[str, bool]:
    """The text of a version, and whether it is sound."""
    if draw(seed, "broken", number) < BROKEN_PART:
        return invalid_text(seed, number), False
    return valid_text(seed, number, house), True


def valid_text(seed: int, number: int, house: DirectorFile) -> str:
    """The first drawn text that is accepted: the search decides, not the drawing."""
    for turn in range(SOUND_TRIES):
        text = draw_text(seed, (number, turn), house.names)
        if load(text.encode(), "drawn", house).limits is not None:
            return text
    raise ValueError(f"no sound text in {SOUND_TRIES} drawn")


def draw_text(seed: int, number, names: tuple[str, ...]) -> str:
    """Any text that makes sense at first sight: set-ups of 300 to 1,500 ms, releases long and short, pauses, attempts, routes, budgets."""
    def pick(low: float, high: float, *what) -> int:
        return round(between(seed, low, high, number, *what))

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
        return f"(budget (free {pick(0, 10, what, 'free')}) (share {between(seed, 0, 0.2, number, what, 'share'):.2f}) (window-ms {pick(2_000, 20_000, what, 'window')}))"
    lines = [f" (cold-pace {between(seed, 0.3, 1.3, number, 'cold'):.2f})" if draw(seed, number, "cold?") < 0.5 else "",
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
    """A text that must be refused: of its form, its figures, or what it would break."""
    kinds = ("(limits (defaults (time-limit-ms 4000) (set-up-ms 900) (attempts 3) (release-ms 200)))", "(limits (cold-pace 20))",
             "(limits (defaults (time-limit-ms 2000) (set-up-ms 900) (attempts 3)))", "(limits (defaults (set-up-ms 900)", "",
             "(limits (answer-margin-ms 2) (defaults (time-limit-ms 4000)))", "(limits (product nothing))", "(limits (budget (free 1000000)))")
    return kinds[int(draw(seed, "kind", number) * len(kinds))]


class MemoryLimits(MemoryStage):
    """In memory: each version is loaded at every director at one moment."""

    def __init__(self, plant: Plant, script: list[Trouble], **more):
        super().__init__(plant, script, **more)
        self.house = director_files.read(plant.house(0, ("d0", 1), ("list", 1), plant.seed))
        self.version_count = 0
        self.loop.call_later(EVERY_MS, self.switch)

    def switch(self) -> None:
        if self.done:
            return
        self.version_count += 1
        text, _ = draw_version(self.plant.seed, self.version_count, self.house)
        loaded = load(text.encode(), f"version-{self.version_count}", self.house)
        for number, director in self.directors.items():
            host = self.world.hosts[f"d{number}"]
            if host.alive and host.running:
                host.deliver_at(self.world.now, lambda director=director: director.change_limits(loaded.limits) if loaded.limits is not None
                          else director.limits_refused(loaded.texts()))
        self.loop.call_later(EVERY_MS, self.switch)


class ProcessLimits(ProcessStage):
    """As processes: versions are written to a file that all directors watch."""

    def __init__(self, plant: Plant, script: list[Trouble], folder: str | None = None, level: str = "warning"):
        super().__init__(plant, script, folder, level)
        self.house = director_files.read(plant.house(0, ("127.0.0.1", 1), ("127.0.0.1", 1), plant.seed))
        self.limits, self.version_count = self.file("limits.terms"), 0
        self.write(valid_text(plant.seed, 0, self.house))

    def director_command(self, file: str, source: str) -> list[str]:
        return super().director_command(file, source) + ["--limits", self.limits]

    def let_them_come(self) -> None:
        """Versions change once all directors run: each has a good one by then."""
        super().let_them_come()
        self.loop.call_later(EVERY_MS, self.switch)

    def write(self, text: str) -> None:
        """In one move."""
        with open(self.limits + ".new", "w") as stream:
            stream.write(text)
        os.replace(self.limits + ".new", self.limits)

    def switch(self) -> None:
        if self.ending:
            return
        self.version_count += 1
        text, _ = draw_version(self.plant.seed, self.version_count, self.house)
        how = draw(self.plant.seed, "how", self.version_count)
        if how < 0.5:
            self.write(text)
        else:
            self.in_halves(text, how > 0.75)
        self.loop.call_later(EVERY_MS, self.switch)

    def in_halves(self, text: str, folder: bool) -> None:
        """First half, a folder in between where told so, then all of it."""
        with open(self.limits, "w") as stream:
            stream.write(text[:len(text) // 2])
        if folder:
            os.remove(self.limits)
            os.mkdir(self.limits)

        def rest() -> None:
            if folder:
                os.rmdir(self.limits)
            self.write(text)
        self.loop.call_later(HALF_MS, rest)


def count_switches(records: list[tuple]) -> dict[str, int]:
    """What became of the versions, and the plays that a director let go of under way without a cause of its own."""
    found = {"switches": 0, "refused": 0, "most generations at once": 1, "dropped": 0}
    how = {f["allocation"]: f["how"] for _, what, f in records if what == "let go"}
    of_play: dict[str, str] = {}
    for _, what, f in sorted(records, key=lambda record: record[0]):
        if what == "limits changed":
            found["switches"] += 1
            found["most generations at once"] = max(found["most generations at once"], 1 + f["older"])
        elif what == "limits refused":
            found["refused"] += 1
        elif what == "held":
            of_play[f["play"]] = f["allocation"]
        elif what == "event" and f["event"] == "broken" and how.get(of_play.get(f["play"], "")) == "released":
            found["dropped"] += 1
    return found


def stage_for(plant: Plant, script: list[Trouble], memory: bool, folder: str | None, level: str) -> MemoryStage | ProcessStage:
    return MemoryLimits(plant, script) if memory else ProcessLimits(plant, script, folder, level)



"""Judges the fleet's audit against what directors counted themselves: written apart from what it judges, from its own tallies and from the journal alone."""
from typing import Iterable, NamedTuple

LEFT_OUT = 0               # actions that may be missing in the book once all have come back


class Tally:
    """What one director's process did, counted where it decides and not where it stamps."""

    def __init__(self):
        self.counts: dict[tuple[str, str], int] = {}             # product, action
        self.by_limits: dict[tuple[str, str, str], int] = {}     # text of the limits in force, product, action
        self.limits = ""
        self.began, self.stays_open = 0.0, False                 # when it began; whether it lets plays in without planners
        self.moments: list[tuple[float, str]] = []               # of plays let in: when, and the text in force

    def did(self, product: str, action: str) -> None:
        self.counts[product, action] = self.counts.get((product, action), 0) + 1
        key = self.limits, product, action
        self.by_limits[key] = self.by_limits.get(key, 0) + 1


    def let_in(self, now: float) -> None:
        self.moments.append((now, self.limits))


class Sentence(NamedTuple):
    """What a planner said: from a time on, until the way back, nobody lets plays in under a version of the limits."""
    version: str
    from_ms: float
    until_ms: float


class Broken(NamedTuple):
    what: str
    process: str
    told: int
    counted: int


def summed(rows: Iterable[tuple], process: str) -> dict[tuple[str, str], int]:
    """Of the book's counts (process, stand, product, action, count), one process's by product and action."""
    found: dict[tuple[str, str], int] = {}
    for name, _, product, action, count in rows:
        if name == process:
            found[product, action] = found.get((product, action), 0) + count
    return found


def judge(rows: list[tuple], tallies: dict[str, Tally], back: set[str]) -> list[Broken]:
    """`back`: processes that live and were heard at the end: of them the book must hold each action, of others none more than was done."""
    broken = []
    for process, tally in sorted(tallies.items()):
        told = summed(rows, process)
        for key in sorted(tally.counts.keys() | told.keys()):
            had, counted = told.get(key, 0), tally.counts.get(key, 0)
            if had > counted or (process in back and counted - had > LEFT_OUT):
                broken.append(Broken(" ".join(key), process, had, counted))
    return broken


def judge_versions(of_version: dict[tuple[str, str, str], int], tallies: dict[str, Tally], back: set[str], hash_of) -> list[Broken]:
    """Let in by process, limits' hash and product, as the book has it; `hash_of(text)` names a version as the audit does."""
    broken = []
    for process in sorted(back):
        own: dict[tuple[str, str, str], int] = {}
        for (limits, product, action), count in tallies[process].by_limits.items():
            if action == "let in":
                key = process, hash_of(limits), product
                own[key] = own.get(key, 0) + count
        told = {key: count for key, count in of_version.items() if key[0] == process}
        for key in sorted(own.keys() | told.keys()):
            if own.get(key, 0) != told.get(key, 0):
                broken.append(Broken(f"{key[2]} let in under {key[1][:8]}", process, told.get(key, 0), own.get(key, 0)))
    return broken


def judge_sentences(sentences: list[Sentence], tallies: dict[str, Tally], hash_of) -> list[Broken]:
    """No play was let in under a version while a planner's word stood that nobody does. One clock: of the rehearsal. The word is not of processes that begin
    after it where no planner can be reached, and stay open alone: those nobody knows of."""
    named: dict[str, str] = {}
    broken = []
    for process, tally in sorted(tallies.items()):
        for at, text in tally.moments:
            name = named.get(text) or named.setdefault(text, hash_of(text))
            broken += [Broken(f"let in under {name[:8]} after it was said that nobody does", process, round(one.from_ms), round(at))
                       for one in sentences if one.version == name and one.from_ms <= at < one.until_ms and not (tally.stays_open and tally.began > one.from_ms)]
    return broken


def judge_wanted(wanted: tuple[str, str] | None, on: dict[str, str]) -> list[Broken]:
    """Once all have come back: a version that was taken out (state, hash) is in force with all, one that was halted with none."""
    if wanted is None:
        return []
    state, name = wanted
    return [Broken(f"wanted {name[:8]} is {state}", process, int(state != "halted"), int(held == name)) for process, held in sorted(on.items()) if (held == name) == (state == "halted")]

"""The planner's book of the fleet: which process was on which stand, and what it did there. Pure; merging is idempotent, in any order.

Of each process's counts the highest of a key holds. Times of turns are the process's own; the book turns them into the planner's by the age that each had
when it was told, so a time is late by at most what its telling took, never early.
"""
from typing import NamedTuple

import msgspec

from laddergw.fleet.rights import OPEN, Seen
from laddergw.fleet.action_counts import DECLINED, FAILED, ADMITTED, PLAYING, Key
from laddergw.fleet.state_reports import Part, InvalidReport, checked
from laddergw.fleet.versions import ROLLOUT_KINDS, VersionSet, Version, version_set
from laddergw.fleet.wanted import Answers, ProcessProgress

DIGEST_MS = 250.0          # between a process's digests
SILENT_MS = 5_000.0        # a process that told nothing for so long: what it does now is not known
TURNS_KEPT = 256           # of one process: a director holds as many untold. Of earlier ones the counts are kept, by product and action alone
PROCESSES_KEPT = 4_096     # of all; past it those silent longest go from the book
ALONE_KEPT = 64            # times at which a process was without any planner
MINUTE_MS = 60_000.0
STOPPED, DECLARED_GONE = "it stopped", "an operator says so"     # why a process lets nothing in any more


class TurnRecord(NamedTuple):
    """A turn in the planner's time."""
    number: int
    since_ms: float
    stand: str
    told_ms: float           # when the planner heard of it


class Process:
    """One director's process."""

    def __init__(self, name: str):
        self.name, self.heard_ms, self.untold, self.alone, self.without, self.gone = name, 0.0, 0, [], "", ""
        self.turns: dict[int, TurnRecord] = {}
        self.counts: dict[Key, int] = {}
        self.folded_to = 0                                  # turns up to this are counted in `earlier` alone
        self.earlier: dict[tuple[str, str], int] = {}       # by product and action
        self.lately: list[tuple[float, str, int]] = []      # let in: when told, stand, how many
        self.results: dict[tuple[str, str], list[int]] = {} # answers under a version that can be wanted: plays, and those that were none
        self.said = Part()                                  # what else it told last: zone, what it takes, what came of a want
        self.digests, self.still_ms, self.still_at = 0, 0.0, float("-inf")     # number of its last digest; its last stand-still, and when it was heard again

    @property
    def director(self) -> str:
        return self.name.partition("-")[0]

    def count(self, key: Key, count: int) -> int:
        """A count as it is told now; how much that is more."""
        more = count - self.counts.get(key, 0)
        if more <= 0 or key.turn <= self.folded_to:
            return 0
        self.counts[key] = count
        return more

    def heard(self, now: float, number: int) -> None:
        """Its word came. Who was silent and told few digests meanwhile stood still; one that was cut off goes on counting them."""
        gap, told = now - self.heard_ms, number - self.digests
        if self.digests and gap >= SILENT_MS and told * DIGEST_MS < gap / 2:
            self.still_ms, self.still_at = gap, now
        self.heard_ms, self.digests = now, max(self.digests, number)

    def last(self) -> TurnRecord | None:
        return self.turns[max(self.turns)] if self.turns else None

    def at(self, when: float) -> TurnRecord | None:
        """The turn in force at a time."""
        return max((held for held in self.turns.values() if held.since_ms <= when), key=lambda held: held.number, default=None)

    def fold(self, number: int) -> None:
        """A turn that is over and on the disk is counted with the earlier ones."""
        self.turns.pop(number, None)
        for key in [key for key in self.counts if key.turn == number]:
            self.earlier[key.product, key.action] = self.earlier.get((key.product, key.action), 0) + self.counts.pop(key)
        self.folded_to = max(self.folded_to, number)


class FleetLog:
    """See the module. `changed`: processes with something that is not in the ledger yet."""

    def __init__(self):
        self.processes: dict[str, Process] = {}
        self.version_sets: dict[str, VersionSet] = {}
        self.changed: dict[str, tuple[set[int], set[Key]]] = {}
        self.stored_version_sets: set[str] = set()                  # whose versions are in the ledger

    def merge(self, name: str, part: Part, at_ms: float, now: float, number: int = 0) -> bool:
        """Takes in what a process told at `at_ms` of its clock, with its digest of that number; False where it says nothing new. Raises InvalidReport."""
        turns, counts = checked(part)
        process = self.processes.setdefault(name, Process(name))
        if any(turn.stand not in part.stands and turn.stand not in self.version_sets for turn in turns):
            raise InvalidReport("a turn of a stand that was never told")
        for stand_id, versions in part.stands.items():
            self.version_sets.setdefault(stand_id, version_set(Version(*version) for version in versions))
        new_turns = {turn.number for turn in turns if turn.number not in process.turns and turn.number > process.folded_to}
        for turn in turns:
            if turn.number in new_turns:
                process.turns[turn.number] = TurnRecord(turn.number, now - max(0.0, at_ms - turn.at_ms), turn.stand, now)
        new_counts = set()
        for key, count in counts:
            if more := process.count(key, count):
                new_counts.add(key)
                self.result(process, key, more)
                if key.action == ADMITTED and key.turn in process.turns:
                    process.lately.append((now, process.turns[key.turn].stand, more))
        if part.alone_ms and (not process.alone or now - process.alone[-1][0] > 1.0):
            process.alone = [*process.alone[1 - ALONE_KEPT:], (now, part.alone_ms)]
        process.heard(now, number)
        process.untold, process.without, process.said = max(process.untold, part.untold), part.without, msgspec.structs.replace(part, turns=(), stands={}, counts=())
        process.lately = [row for row in process.lately if now - row[0] < MINUTE_MS]
        if new_turns or new_counts:
            marked = self.changed.setdefault(name, (set(), set()))
            marked[0].update(new_turns)
            marked[1].update(new_counts)
        self.mark_gone(process, STOPPED if part.over else "")
        self.trim(process)
        return bool(new_turns or new_counts)

    def trim(self, process: Process) -> None:
        marked = self.changed.get(process.name, (set(), set()))
        waits = marked[0] | {key.turn for key in marked[1]}
        for number in sorted(process.turns)[:-TURNS_KEPT]:
            if number in waits:
                break
            process.fold(number)
        if len(self.processes) > PROCESSES_KEPT:
            oldest = min(self.processes.values(), key=lambda p: p.heard_ms)
            if oldest.name not in self.changed:
                del self.processes[oldest.name]

    def mark_gone(self, process: Process, gone: str) -> None:
        """A process lets nothing in any more: by its own word, or by an operator's until it is heard again, whoever said so."""
        if process.gone != gone:
            process.gone = gone
            self.changed.setdefault(process.name, (set(), set()))

    def forget_stands(self) -> None:
        """Those that no turn and no play is on any more."""
        used = {held.stand for process in self.processes.values() for held in process.turns.values()}
        used |= {key.kept for process in self.processes.values() for key in process.counts}
        for name in self.version_sets.keys() - used:
            del self.version_sets[name]
        self.stored_version_sets &= used

    def progress(self, kind: str, number: int, now: float) -> list[ProcessProgress]:
        """Each director as its process tells, for the rollout of that number; those that stopped or are no more are none. Where several
        of one name are heard, the one that began last is the director, and each other one a seat of its own, under its own name."""
        found = []
        for name, process in sorted((row for rows in self.running(now).values() for row in rows), key=lambda row: row[0]):
            on, said = self.version_sets[process.last().stand].of(kind), process.said
            came = said.came if said.came[0] == number else (0, "", "", "")
            found.append(ProcessProgress(name, process.name, said.zone, now - process.heard_ms < SILENT_MS, process.heard_ms, on.hash if on else "", kind in said.takes,
                              came[2], came[3], said.trouble, process.still_ms, process.still_at))
        return found

    def running(self, now: float) -> dict[str, list[tuple[str, Process]]]:
        """Of each director the processes that are heard, the last begun first, or the one that was heard last; each with the name of its seat."""
        of: dict[str, list[Process]] = {}
        for process in self.processes.values():
            if not process.gone and process.turns:
                of.setdefault(process.director, []).append(process)
        found = {}
        for director, processes in of.items():
            heard = [one for one in processes if now - one.heard_ms < SILENT_MS] or [max(processes, key=lambda one: (one.heard_ms, one.name))]
            heard.sort(key=lambda one: (-one.turns[min(one.turns)].since_ms, one.name))
            found[director] = [(one.name if place else director, one) for place, one in enumerate(heard)]
        return found

    def result(self, process: Process, key: Key, more: int) -> None:
        """More answers were given, by the version of what can be wanted."""
        if more and key.action in (PLAYING, DECLINED, FAILED) and (held := process.turns.get(key.turn)) is not None:
            for kind in ROLLOUT_KINDS:
                if (on := self.version_sets[held.stand].of(kind)) is not None:
                    process.results.setdefault((kind, on.hash), [0, 0])[key.action != PLAYING] += more

    def answers(self, kind: str, name: str) -> tuple[Answers, Answers]:
        """Under a version, and under others of its kind: plays, and answers that were none."""
        sums = [[0, 0], [0, 0]]
        for process in self.processes.values():
            for (of, version), (good, bad) in process.results.items():
                if of == kind:
                    sums[version != name][0] += good
                    sums[version != name][1] += bad
        return Answers(*sums[0]), Answers(*sums[1])

    def seen(self) -> list[Seen]:
        """The last word of each process that may let plays in, for rights. One that asks for none stays open."""
        return [Seen(name, frozenset((v.kind, v.hash) for v in self.version_sets[held.stand].versions), process.heard_ms, process.without or OPEN, process.said.zone)
                for name, process in sorted(self.processes.items()) if not process.gone and (held := process.last()) is not None]

    # The ledger's side

    def record(self, name: str, wall_ms: float, whole: bool = False) -> dict:
        """What the ledger does not have of a process yet, or all of it."""
        process, (turns, counts) = self.processes[name], self.changed.get(name, (set(), set()))
        if whole:
            turns, counts = set(process.turns), set(process.counts)
        held = [process.turns[number] for number in sorted(turns) if number in process.turns]
        stands = ({h.stand for h in held} | {key.kept for key in counts if key.kept}) - (set() if whole else self.stored_version_sets)
        return {"process": name, "wall_ms": wall_ms, "heard_ms": process.heard_ms, "untold": process.untold, "gone": process.gone, "folded_to": process.folded_to,
                "earlier": [(*key, count) for key, count in sorted(process.earlier.items())] if whole else [],
                "turns": [tuple(h) for h in held], "counts": [(*key, process.counts[key]) for key in sorted(counts) if key in process.counts],
                "stands": {s: [tuple(v) for v in self.version_sets[s].versions] for s in sorted(stands) if s in self.version_sets}}

    def mark_stored(self, record: dict) -> None:
        """This record is on the disk."""
        self.stored_version_sets |= record["stands"].keys()
        marked, process = self.changed.get(record["process"]), self.processes.get(record["process"])
        if marked is None or process is None:
            return
        marked[0].difference_update(row[0] for row in record["turns"])
        marked[1].difference_update(Key(*row[:4]) for row in record["counts"] if process.counts.get(Key(*row[:4])) == row[4])
        if not marked[0] and not marked[1]:
            del self.changed[record["process"]]
        self.trim(process)

    def restore(self, record: dict) -> None:
        """A record of the ledger, read back; in the order of the ledger, any number of times."""
        process = self.processes.setdefault(record["process"], Process(record["process"]))
        for stand_id, versions in record["stands"].items():
            self.version_sets.setdefault(stand_id, version_set(Version(*version) for version in versions))
            self.stored_version_sets.add(stand_id)
        if record["earlier"] and record["folded_to"] > process.folded_to:
            process.folded_to, process.earlier = record["folded_to"], {tuple(row[:2]): row[2] for row in record["earlier"]}
            process.turns = {number: held for number, held in process.turns.items() if number > process.folded_to}
            process.counts = {key: count for key, count in process.counts.items() if key.turn > process.folded_to}
        for row in record["turns"]:
            if row[0] > process.folded_to:
                process.turns.setdefault(row[0], TurnRecord(*row))
        for row in record["counts"]:
            key = Key(*row[:4])
            if key.turn > process.folded_to:
                self.result(process, key, process.count(key, row[4]))
        process.heard_ms, process.untold = max(process.heard_ms, record["heard_ms"]), max(process.untold, record["untold"])
        process.gone = record.get("gone", "")

    def acknowledged(self, name: str) -> int:
        """The last turn of a process of which all earlier ones are on the disk, counts included."""
        process = self.processes.get(name)
        if process is None or not process.turns:
            return 0
        turns, counts = self.changed.get(name, (set(), set()))
        return min([max(process.turns)] + [number for number in turns] + [key.turn for key in counts])

"""The planner's book of the fleet: which process was on which stand, and what it did there. Pure; merging is idempotent, in any order.

Of each process's counts the highest of a key holds. Times of turns are the process's own; the book turns them into the planner's by the age that each had
when it was told, so a time is late by at most what its telling took, never early.
"""
from typing import NamedTuple

from laddergw.fleet.rights import OPEN, Seen
from laddergw.fleet.stamps import Key
from laddergw.fleet.telling import Part, Senseless, checked
from laddergw.fleet.versions import Stand, Version, stand

SILENT_MS = 5_000.0        # a process that told nothing for so long: what it does now is not known
TURNS_KEPT = 256           # of one process: a director holds as many untold. Of earlier ones the counts are kept, by product and action alone
PROCESSES_KEPT = 4_096     # of all; past it those silent longest go from the book
ALONE_KEPT = 64            # times at which a process was without any planner
MINUTE_MS = 60_000.0


class Held(NamedTuple):
    """A turn in the planner's time."""
    number: int
    since_ms: float
    stand: str
    told_ms: float           # when the planner heard of it


class Process:
    """One director's process."""

    def __init__(self, name: str):
        self.name, self.heard_ms, self.untold, self.alone, self.without = name, 0.0, 0, [], ""
        self.turns: dict[int, Held] = {}
        self.counts: dict[Key, int] = {}
        self.folded_to = 0                                  # turns up to this are counted in `earlier` alone
        self.earlier: dict[tuple[str, str], int] = {}       # by product and action
        self.lately: list[tuple[float, str, int]] = []      # let in: when told, stand, how many

    @property
    def director(self) -> str:
        return self.name.partition("-")[0]

    def last(self) -> Held | None:
        return self.turns[max(self.turns)] if self.turns else None

    def at(self, when: float) -> Held | None:
        """The turn in force at a time."""
        return max((held for held in self.turns.values() if held.since_ms <= when), key=lambda held: held.number, default=None)

    def fold(self, number: int) -> None:
        """A turn that is over and on the disk is counted with the earlier ones."""
        self.turns.pop(number, None)
        for key in [key for key in self.counts if key.turn == number]:
            self.earlier[key.product, key.action] = self.earlier.get((key.product, key.action), 0) + self.counts.pop(key)
        self.folded_to = max(self.folded_to, number)


class Book:
    """See the module. `changed`: processes with something that is not in the ledger yet."""

    def __init__(self):
        self.processes: dict[str, Process] = {}
        self.stands: dict[str, Stand] = {}
        self.changed: dict[str, tuple[set[int], set[Key]]] = {}
        self.kept_stands: set[str] = set()                  # whose versions are in the ledger

    def merge(self, name: str, part: Part, at_ms: float, now: float) -> bool:
        """Takes in what a process told at `at_ms` of its clock; False where it says nothing new. Raises Senseless."""
        turns, counts = checked(part)
        process = self.processes.setdefault(name, Process(name))
        if any(turn.stand not in part.stands and turn.stand not in self.stands for turn in turns):
            raise Senseless("a turn of a stand that was never told")
        for stand_id, versions in part.stands.items():
            self.stands.setdefault(stand_id, stand(Version(*version) for version in versions))
        new_turns = {turn.number for turn in turns if turn.number not in process.turns and turn.number > process.folded_to}
        for turn in turns:
            if turn.number in new_turns:
                process.turns[turn.number] = Held(turn.number, now - max(0.0, at_ms - turn.at_ms), turn.stand, now)
        new_counts = set()
        for key, count in counts:
            before = process.counts.get(key, 0)
            if count > before and key.turn > process.folded_to:
                process.counts[key] = count
                new_counts.add(key)
                if key.action == "let in" and key.turn in process.turns:
                    process.lately.append((now, process.turns[key.turn].stand, count - before))
        if part.alone_ms and (not process.alone or now - process.alone[-1][0] > 1.0):
            process.alone = [*process.alone[1 - ALONE_KEPT:], (now, part.alone_ms)]
        process.heard_ms, process.untold, process.without = now, max(process.untold, part.untold), part.without
        process.lately = [row for row in process.lately if now - row[0] < MINUTE_MS]
        if new_turns or new_counts:
            marked = self.changed.setdefault(name, (set(), set()))
            marked[0].update(new_turns)
            marked[1].update(new_counts)
        self.bound(process)
        return bool(new_turns or new_counts)

    def bound(self, process: Process) -> None:
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

    def forget_stands(self) -> None:
        """Those that no turn and no play is on any more."""
        used = {held.stand for process in self.processes.values() for held in process.turns.values()}
        used |= {key.kept for process in self.processes.values() for key in process.counts}
        for name in self.stands.keys() - used:
            del self.stands[name]
        self.kept_stands &= used

    def seen(self) -> list[Seen]:
        """Each process's last word, for rights. One that asks for none stays open."""
        return [Seen(name, frozenset((v.kind, v.hash) for v in self.stands[held.stand].versions), process.heard_ms, process.without or OPEN)
                for name, process in sorted(self.processes.items()) if (held := process.last()) is not None]

    # The ledger's side

    def record(self, name: str, wall_ms: float, whole: bool = False) -> dict:
        """What the ledger does not have of a process yet, or all of it."""
        process, (turns, counts) = self.processes[name], self.changed.get(name, (set(), set()))
        if whole:
            turns, counts = set(process.turns), set(process.counts)
        held = [process.turns[number] for number in sorted(turns) if number in process.turns]
        stands = ({h.stand for h in held} | {key.kept for key in counts if key.kept}) - (set() if whole else self.kept_stands)
        return {"process": name, "wall_ms": wall_ms, "heard_ms": process.heard_ms, "untold": process.untold, "folded_to": process.folded_to,
                "earlier": [(*key, count) for key, count in sorted(process.earlier.items())] if whole else [],
                "turns": [tuple(h) for h in held], "counts": [(*key, process.counts[key]) for key in sorted(counts) if key in process.counts],
                "stands": {s: [tuple(v) for v in self.stands[s].versions] for s in sorted(stands) if s in self.stands}}

    def kept(self, record: dict) -> None:
        """This record is on the disk."""
        self.kept_stands |= record["stands"].keys()
        marked, process = self.changed.get(record["process"]), self.processes.get(record["process"])
        if marked is None or process is None:
            return
        marked[0].difference_update(row[0] for row in record["turns"])
        marked[1].difference_update(Key(*row[:4]) for row in record["counts"] if process.counts.get(Key(*row[:4])) == row[4])
        if not marked[0] and not marked[1]:
            del self.changed[record["process"]]
        self.bound(process)

    def restore(self, record: dict) -> None:
        """A record of the ledger, read back; in the order of the ledger, any number of times."""
        process = self.processes.setdefault(record["process"], Process(record["process"]))
        for stand_id, versions in record["stands"].items():
            self.stands.setdefault(stand_id, stand(Version(*version) for version in versions))
            self.kept_stands.add(stand_id)
        if record["earlier"] and record["folded_to"] > process.folded_to:
            process.folded_to, process.earlier = record["folded_to"], {tuple(row[:2]): row[2] for row in record["earlier"]}
            process.turns = {number: held for number, held in process.turns.items() if number > process.folded_to}
            process.counts = {key: count for key, count in process.counts.items() if key.turn > process.folded_to}
        for row in record["turns"]:
            if row[0] > process.folded_to:
                process.turns.setdefault(row[0], Held(*row))
        for row in record["counts"]:
            key = Key(*row[:4])
            if key.turn > process.folded_to:
                process.counts[key] = max(process.counts.get(key, 0), row[4])
        process.heard_ms, process.untold = max(process.heard_ms, record["heard_ms"]), max(process.untold, record["untold"])

    def acknowledged(self, name: str) -> int:
        """The last turn of a process of which all earlier ones are on the disk, counts included."""
        process = self.processes.get(name)
        if process is None or not process.turns:
            return 0
        turns, counts = self.changed.get(name, (set(), set()))
        return min([max(process.turns)] + [number for number in turns] + [key.turn for key in counts])

"""A planner's log of the fleet: which process was on which version set, and what it did there. Does no input or output; merging is idempotent, in any order.

Of each process's counts the highest of a key holds. The times of turns are on the process's own clock; the log converts them to the planner's by the age that each had when
it was reported, so a time is late by at most the delay of its report, and never early.
"""
from typing import NamedTuple

import msgspec

from laddergw.fleet.rights import OPEN, ObservedProcess
from laddergw.fleet.action_counts import ADMITTED, DECLINED, FAILED, PLAYING, Key
from laddergw.fleet.state_reports import InvalidReport, Part, parse_part
from laddergw.fleet.versions import ROLLOUT_KINDS, Version, VersionSet, version_set
from laddergw.fleet.wanted import Answers, ProcessProgress

DIGEST_MS = 250.0          # between a process's digests
SILENT_MS = 5_000.0        # what a process does that reported nothing for this long is not known
MAX_TURNS = 256            # of one process: a director holds as many unacknowledged. Of earlier ones only the counts by product and action are kept
MAX_PROCESSES = 4_096      # past it the process silent longest is dropped
MAX_OUTAGES = 64           # times at which a process was without any planner
MINUTE_MS = 60_000.0
STOPPED, DECLARED_GONE = "it stopped", "an operator says so"     # why a process admits nothing any more


class TurnRecord(NamedTuple):
    """A turn in the planner's time. `stand`: id of its version set; `told_ms`: when the planner heard of it."""
    number: int
    since_ms: float
    stand: str
    told_ms: float


class Process:
    """One director's process. `untold`: actions that it dropped before any planner kept them; `gone`: why it admits nothing any more, empty while it does."""

    def __init__(self, name: str):
        self.name, self.heard_ms, self.untold, self.outages, self.without, self.gone = name, 0.0, 0, [], "", ""
        self.turns: dict[int, TurnRecord] = {}
        self.counts: dict[Key, int] = {}
        self.folded_to = 0                                  # turns up to this are counted in `earlier` alone
        self.earlier: dict[tuple[str, str], int] = {}       # by product and action
        self.recent: list[tuple[float, str, int]] = []      # admitted: when reported, version set, how many
        self.results: dict[tuple[str, str], list[int]] = {} # answers by kind and hash, of ROLLOUT_KINDS: with a play, without one
        self.last_part = Part()                             # without turns and counts: zone, kinds accepted, outcome of a want
        self.digests, self.stall_ms, self.stall_end = 0, 0.0, float("-inf")     # number of its last digest; its last stall, and when it was heard again

    @property
    def director(self) -> str:
        """The name of its director."""
        return self.name.partition("-")[0]

    def count(self, key: Key, count: int) -> int:
        """Takes in a count as reported now; returns by how much it grew."""
        increase = count - self.counts.get(key, 0)
        if increase <= 0 or key.turn <= self.folded_to:
            return 0
        self.counts[key] = count
        return increase

    def record_digest(self, now: float, number: int) -> None:
        """Notes the arrival of a digest. A process that was silent and sent few digests meanwhile was stalled; one that was cut off keeps counting them."""
        gap, sent = now - self.heard_ms, number - self.digests
        if self.digests and gap >= SILENT_MS and sent * DIGEST_MS < gap / 2:
            self.stall_ms, self.stall_end = gap, now
        self.heard_ms, self.digests = now, max(self.digests, number)

    def last(self) -> TurnRecord | None:
        """Returns the latest turn."""
        return self.turns[max(self.turns)] if self.turns else None

    def at(self, when: float) -> TurnRecord | None:
        """Returns the turn in force at a time."""
        return max((turn for turn in self.turns.values() if turn.since_ms <= when), key=lambda turn: turn.number, default=None)

    def fold(self, number: int) -> None:
        """Moves the counts of a turn that is over and on the disk to those of earlier turns."""
        self.turns.pop(number, None)
        for key in [key for key in self.counts if key.turn == number]:
            self.earlier[key.product, key.action] = self.earlier.get((key.product, key.action), 0) + self.counts.pop(key)
        self.folded_to = max(self.folded_to, number)


class FleetLog:
    """The log of all processes. `changed`: turns and counts that are not in the ledger yet, by process."""

    def __init__(self):
        self.processes: dict[str, Process] = {}
        self.version_sets: dict[str, VersionSet] = {}
        self.changed: dict[str, tuple[set[int], set[Key]]] = {}
        self.stored_version_sets: set[str] = set()          # whose versions are in the ledger

    def merge(self, name: str, part: Part, at_ms: float, now: float, number: int = 0) -> bool:
        """Takes in what a process reported at `at_ms` of its clock, with its digest of that number; returns False if nothing is new. Raises InvalidReport."""
        turns, counts = parse_part(part)
        process = self.processes.setdefault(name, Process(name))
        if any(turn.stand not in part.stands and turn.stand not in self.version_sets for turn in turns):
            raise InvalidReport("a turn refers to a version set that was never reported")
        for set_id, versions in part.stands.items():
            self.version_sets.setdefault(set_id, version_set(Version(*version) for version in versions))
        new_turns = {turn.number for turn in turns if turn.number not in process.turns and turn.number > process.folded_to}
        for turn in turns:
            if turn.number in new_turns:
                process.turns[turn.number] = TurnRecord(turn.number, now - max(0.0, at_ms - turn.at_ms), turn.stand, now)
        new_counts = set()
        for key, count in counts:
            if increase := process.count(key, count):
                new_counts.add(key)
                self.count_result(process, key, increase)
                if key.action == ADMITTED and key.turn in process.turns:
                    process.recent.append((now, process.turns[key.turn].stand, increase))
        if part.alone_ms and (not process.outages or now - process.outages[-1][0] > 1.0):
            process.outages = [*process.outages[1 - MAX_OUTAGES:], (now, part.alone_ms)]
        process.record_digest(now, number)
        process.untold, process.without, process.last_part = max(process.untold, part.untold), part.without, msgspec.structs.replace(part, turns=(), stands={}, counts=())
        process.recent = [row for row in process.recent if now - row[0] < MINUTE_MS]
        if new_turns or new_counts:
            unstored = self.changed.setdefault(name, (set(), set()))
            unstored[0].update(new_turns)
            unstored[1].update(new_counts)
        self.mark_gone(process, STOPPED if part.over else "")
        self.trim(process)
        return bool(new_turns or new_counts)

    def trim(self, process: Process) -> None:
        """Folds the oldest turns that are in the ledger, and drops the process silent longest, past the bounds."""
        unstored = self.changed.get(process.name, (set(), set()))
        pending = unstored[0] | {key.turn for key in unstored[1]}
        for number in sorted(process.turns)[:-MAX_TURNS]:
            if number in pending:
                break
            process.fold(number)
        if len(self.processes) > MAX_PROCESSES:
            oldest = min(self.processes.values(), key=lambda p: p.heard_ms)
            if oldest.name not in self.changed:
                del self.processes[oldest.name]

    def mark_gone(self, process: Process, gone: str) -> None:
        """Notes why a process admits nothing any more: it reported its stop, or an operator declared it gone; empty once it is heard again."""
        if process.gone != gone:
            process.gone = gone
            self.changed.setdefault(process.name, (set(), set()))

    def drop_unused_version_sets(self) -> None:
        """Drops the version sets that no turn and no count refers to."""
        used = {turn.stand for process in self.processes.values() for turn in process.turns.values()}
        used |= {key.kept for process in self.processes.values() for key in process.counts}
        for set_id in self.version_sets.keys() - used:
            del self.version_sets[set_id]
        self.stored_version_sets &= used

    def progress(self, kind: str, number: int, now: float) -> list[ProcessProgress]:
        """Returns each director as its process reports it, for the rollout of that number; those that stopped or are gone are left out. Where several processes
        of one name are heard, the one that began last is the director, and each other one is listed under its own name."""
        rows = []
        for name, process in sorted((row for rows_of_director in self.running(now).values() for row in rows_of_director), key=lambda row: row[0]):
            on, part = self.version_sets[process.last().stand].of(kind), process.last_part
            came = part.came if part.came[0] == number else (0, "", "", "")
            rows.append(ProcessProgress(name, process.name, part.zone, now - process.heard_ms < SILENT_MS, process.heard_ms, on.hash if on else "", kind in part.takes,
                                        came[2], came[3], part.trouble, process.stall_ms, process.stall_end))
        return rows

    def running(self, now: float) -> dict[str, list[tuple[str, Process]]]:
        """Returns by director the processes that are heard, the last begun first, or the one heard last; each with the name under which its progress is listed."""
        by_director: dict[str, list[Process]] = {}
        for process in self.processes.values():
            if not process.gone and process.turns:
                by_director.setdefault(process.director, []).append(process)
        running = {}
        for director, processes in by_director.items():
            heard = [one for one in processes if now - one.heard_ms < SILENT_MS] or [max(processes, key=lambda one: (one.heard_ms, one.name))]
            heard.sort(key=lambda one: (-one.turns[min(one.turns)].since_ms, one.name))
            running[director] = [(one.name if index else director, one) for index, one in enumerate(heard)]
        return running

    def count_result(self, process: Process, key: Key, increase: int) -> None:
        """Counts more answers by the versions that a rollout can want."""
        if increase and key.action in (PLAYING, DECLINED, FAILED) and (turn := process.turns.get(key.turn)) is not None:
            for kind in ROLLOUT_KINDS:
                if (on := self.version_sets[turn.stand].of(kind)) is not None:
                    process.results.setdefault((kind, on.hash), [0, 0])[key.action != PLAYING] += increase

    def answers(self, kind: str, name: str) -> tuple[Answers, Answers]:
        """Returns the answers under a version, and those under others of its kind."""
        sums = [[0, 0], [0, 0]]
        for process in self.processes.values():
            for (of, version), (good, bad) in process.results.items():
                if of == kind:
                    sums[version != name][0] += good
                    sums[version != name][1] += bad
        return Answers(*sums[0]), Answers(*sums[1])

    def seen(self) -> list[ObservedProcess]:
        """Returns the last report of each process that may admit plays, for rights. One that requests no right stays open."""
        return [ObservedProcess(name, frozenset((v.kind, v.hash) for v in self.version_sets[turn.stand].versions), process.heard_ms, process.without or OPEN, process.last_part.zone)
                for name, process in sorted(self.processes.items()) if not process.gone and (turn := process.last()) is not None]

    # The ledger's side

    def record(self, name: str, wall_ms: float, whole: bool = False) -> dict:
        """Returns what the ledger does not have of a process yet, or all of it."""
        process, (turns, counts) = self.processes[name], self.changed.get(name, (set(), set()))
        if whole:
            turns, counts = set(process.turns), set(process.counts)
        turn_records = [process.turns[number] for number in sorted(turns) if number in process.turns]
        set_ids = ({t.stand for t in turn_records} | {key.kept for key in counts if key.kept}) - (set() if whole else self.stored_version_sets)
        return {"process": name, "wall_ms": wall_ms, "heard_ms": process.heard_ms, "untold": process.untold, "gone": process.gone, "folded_to": process.folded_to,
                "earlier": [(*key, count) for key, count in sorted(process.earlier.items())] if whole else [],
                "turns": [tuple(t) for t in turn_records], "counts": [(*key, process.counts[key]) for key in sorted(counts) if key in process.counts],
                "stands": {s: [tuple(v) for v in self.version_sets[s].versions] for s in sorted(set_ids) if s in self.version_sets}}

    def mark_stored(self, record: dict) -> None:
        """Notes that a record is on the disk."""
        self.stored_version_sets |= record["stands"].keys()
        unstored, process = self.changed.get(record["process"]), self.processes.get(record["process"])
        if unstored is None or process is None:
            return
        unstored[0].difference_update(row[0] for row in record["turns"])
        unstored[1].difference_update(Key(*row[:4]) for row in record["counts"] if process.counts.get(Key(*row[:4])) == row[4])
        if not unstored[0] and not unstored[1]:
            del self.changed[record["process"]]
        self.trim(process)

    def restore(self, record: dict) -> None:
        """Takes in a record of the ledger; in the order of the ledger, any number of times."""
        process = self.processes.setdefault(record["process"], Process(record["process"]))
        for set_id, versions in record["stands"].items():
            self.version_sets.setdefault(set_id, version_set(Version(*version) for version in versions))
            self.stored_version_sets.add(set_id)
        if record["earlier"] and record["folded_to"] > process.folded_to:
            process.folded_to, process.earlier = record["folded_to"], {tuple(row[:2]): row[2] for row in record["earlier"]}
            process.turns = {number: turn for number, turn in process.turns.items() if number > process.folded_to}
            process.counts = {key: count for key, count in process.counts.items() if key.turn > process.folded_to}
        for row in record["turns"]:
            if row[0] > process.folded_to:
                process.turns.setdefault(row[0], TurnRecord(*row))
        for row in record["counts"]:
            key = Key(*row[:4])
            if key.turn > process.folded_to:
                self.count_result(process, key, process.count(key, row[4]))
        process.heard_ms, process.untold = max(process.heard_ms, record["heard_ms"]), max(process.untold, record["untold"])
        process.gone = record.get("gone", "")

    def acknowledged(self, name: str) -> int:
        """Returns the last turn of a process of which all earlier ones are on the disk, counts included."""
        process = self.processes.get(name)
        if process is None or not process.turns:
            return 0
        turns, counts = self.changed.get(name, (set(), set()))
        return min([max(process.turns)] + [number for number in turns] + [key.turn for key in counts])

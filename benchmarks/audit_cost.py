"""Measures the cost of the fleet's audit: recording a play at its director, and a planner's work with 230 directors, also when all return within a second.

    PYTHONPATH=. .venv/bin/python benchmarks/audit_cost.py [directors] [seconds]

The directors' side uses the real action counts and state parts, the planner's side the real fleet log and journal on a real file; sockets are left out. Every
director changes to a new version set each second (a fleet list that changes each second reaches all), and carries out the plays of a fleet of 24 a second for
each 12 directors.
"""
import os
import sys
import tempfile
import time

import msgspec

from laddergw.fleet import answers, versions
from laddergw.fleet.fleet_log import FleetLog
from laddergw.fleet.action_counts import ENDED, ADMITTED, PLAYING, SET_UP, MAX_TURNS, ActionCounts
from laddergw.fleet.state_reports import ReportedState
from laddergw.planner.auditing import Auditor
from laddergw.store.planner_store import Store

PARTS_PER_SECOND = 4       # one part with each digest
PLAYS_PER_SECOND = 2       # of each director
PRODUCTS = ("hearing", "survey-clip", "permit-notice", "oral-history", "reading-room")
encode = msgspec.msgpack.Encoder().encode


FINISHED = object()


class ManualLoop:
    """A loop whose time is set by hand."""
    now = 0.0


class Stopwatch:
    """Times calls: longest, sum and count, in ms."""

    def __init__(self):
        self.worst = self.sum = self.count = 0.0

    def time(self, call, *arguments):
        """Calls a function and adds its time; returns its result."""
        started = time.perf_counter()
        result = call(*arguments)
        elapsed_ms = (time.perf_counter() - started) * 1000
        self.worst, self.sum, self.count = max(self.worst, elapsed_ms), self.sum + elapsed_ms, self.count + 1
        return result


def version_set_of(second: int) -> versions.VersionSet:
    """The version set of a second: only the fleet list differs."""
    return versions.version_set([versions.version(kind, [kind, str(second if kind == versions.LIST else 0)]) for kind in versions.KINDS])


def record_play(counts: ActionCounts, number: int, now: float) -> None:
    """Records the four actions of a play."""
    for action in ADMITTED, SET_UP, PLAYING, ENDED:
        counts.record(f"v{number}", PRODUCTS[number % len(PRODUCTS)], counts.current_id, action, now)


def measure_recording(plays: int = 20_000) -> float:
    """Microseconds to record a play; the best of five rounds."""
    best_us = float("inf")
    for _ in range(5):
        counts = ActionCounts()
        counts.set_in_force(version_set_of(0), 0.0)
        started = time.perf_counter()
        for number in range(plays):
            record_play(counts, number, 1.0)
        best_us = min(best_us, (time.perf_counter() - started) / plays * 1e6)
    return best_us


def measure_planner(directors: int, seconds: int, folder: str) -> None:
    """Prints what a planner spends on merging parts, writing the journal, verifying it and answering questions."""
    loop, writing = ManualLoop(), Stopwatch()
    auditor = Auditor(loop, lambda write: write() or True)
    auditor.load_journal(Store(os.path.join(folder, "store")))
    counts_by_director = [ActionCounts() for _ in range(directors)]
    reported_states = [ReportedState() for _ in counts_by_director]
    merging, part_bytes, parts = Stopwatch(), 0, 0
    for second in range(seconds):
        for part in range(PARTS_PER_SECOND):
            loop.now = 1000.0 * second + 250.0 * part
            for number, (counts, reported) in enumerate(zip(counts_by_director, reported_states)):
                if part == 0:
                    counts.set_in_force(version_set_of(second), loop.now)
                for n in range(PLAYS_PER_SECOND // 2 if part % 2 else 0):
                    record_play(counts, second * 8 + part + n + number, loop.now)
                state_part = reported.next_part(counts)
                part_bytes, parts = part_bytes + len(encode(state_part)), parts + 1
                merging.time(auditor.fleet_log.merge, f"d{number}-0", state_part, loop.now, loop.now)
        steps = auditor.write_journal(())
        while writing.time(lambda: next(steps, FINISHED)) is not FINISHED:
            pass
        for number, counts in enumerate(counts_by_director):
            counts.acknowledge(auditor.fleet_log.acknowledged(f"d{number}-0"))
    print(f"{directors} directors, {seconds} s: {part_bytes / seconds / 1000:.0f} kB/s of parts ({part_bytes / parts:.0f} bytes each), merging {merging.sum / seconds:.0f} ms a second "
          f"(longest {merging.worst:.1f} ms), writing {writing.sum / seconds:.0f} ms a second (longest step {writing.worst:.1f} ms)")
    journal, verifying = auditor.ledger, Stopwatch()
    verdict = verifying.time(journal.verify)
    print(f"journal: {journal.count} records, {journal.size / seconds * 3.6:.0f} kB an hour; verified in {verifying.sum:.0f} ms, faults {len(verdict.faults)}")
    answering = Stopwatch()
    answering.time(answers.versions, auditor.fleet_log, loop.now, 0.0)
    answering.time(answers.director, auditor.fleet_log, "d7", 0.0, loop.now, 0.0)
    print(f"queries of the versions and of one director: longest {answering.worst:.1f} ms")


def measure_return(directors: int) -> None:
    """Prints the cost when all directors return at once, each with as many unreported turns as it may keep."""
    counts_by_director, log, merging, part_bytes = [], FleetLog(), Stopwatch(), 0
    for number in range(directors):
        counts = ActionCounts()
        for turn in range(MAX_TURNS + 20):
            counts.set_in_force(version_set_of(turn), 1000.0 * turn)
            record_play(counts, turn, 1000.0 * turn)
            record_play(counts, turn + 1, 1000.0 * turn)
        counts_by_director.append(counts)
    now = 1000.0 * (MAX_TURNS + 20)
    for number, counts in enumerate(counts_by_director):
        part = ReportedState().next_part(counts)
        part_bytes += len(encode(part))
        merging.time(log.merge, f"d{number}-0", part, now, now)
    encoding, record_bytes = Stopwatch(), 0
    for name in sorted(log.changed):
        record_bytes += len(encoding.time(lambda: encode(log.record(name, 0.0))))
    print(f"{directors} back at once, {MAX_TURNS} turns each: {part_bytes / 1e6:.1f} MB, merging {merging.sum:.0f} ms (longest {merging.worst:.1f} ms of one), "
          f"records of {record_bytes / 1e6:.1f} MB in {encoding.sum:.0f} ms (longest {encoding.worst:.1f} ms of one); {sum(counts.dropped for counts in counts_by_director)} actions dropped, as each reports")


if __name__ == "__main__":
    count, length = (int(word) for word in (sys.argv[1:] + ["230", "60"][len(sys.argv) - 1:]))
    print(f"recording: {measure_recording():.1f} us a play of four actions")
    with tempfile.TemporaryDirectory() as folder:
        measure_planner(count, length, folder)
    measure_return(count)

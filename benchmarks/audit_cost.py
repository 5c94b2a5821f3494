"""What the fleet's audit costs: stamping a play at its director, and a planner's work with 230 directors, also when all come back within a second.

    PYTHONPATH=. .venv/bin/python benchmarks/audit_cost.py [directors] [seconds]

The directors' side runs the very stamps and parts, the planner's the very book and journal on a real file; sockets are left out. Every director goes over to a
new stand each second (a list that changes each second reaches all), and carries out the plays of a fleet of 24 a second for each 12 directors.
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

PARTS_A_SECOND = 4         # a part on each digest
PLAYS_A_SECOND = 2         # of each director
PRODUCTS = ("hearing", "survey-clip", "permit-notice", "oral-history", "reading-room")
encode = msgspec.msgpack.Encoder().encode


DONE = object()


class Loop:
    now = 0.0


class Clock:
    """Longest, sum and count of what it timed, ms."""

    def __init__(self):
        self.worst = self.sum = self.count = 0.0

    def time(self, call, *given):
        began = time.perf_counter()
        found = call(*given)
        took = (time.perf_counter() - began) * 1000
        self.worst, self.sum, self.count = max(self.worst, took), self.sum + took, self.count + 1
        return found


def stand(second: int) -> versions.VersionSet:
    return versions.version_set([versions.version(kind, [kind, str(second if kind == versions.LIST else 0)]) for kind in versions.KINDS])


def play(stamps: ActionCounts, number: int, now: float) -> None:
    for action in ADMITTED, SET_UP, PLAYING, ENDED:
        stamps.record(f"v{number}", PRODUCTS[number % len(PRODUCTS)], stamps.current_id, action, now)


def stamping(rounds: int = 20_000) -> float:
    """Microseconds of a play."""
    best = float("inf")
    for _ in range(5):
        stamps = ActionCounts()
        stamps.set_in_force(stand(0), 0.0)
        began = time.perf_counter()
        for number in range(rounds):
            play(stamps, number, 1.0)
        best = min(best, (time.perf_counter() - began) / rounds * 1e6)
    return best


def planner(directors: int, seconds: int, folder: str) -> None:
    loop, wrote = Loop(), Clock()
    auditing = Auditor(loop, lambda write: write() or True)
    auditing.load_journal(Store(os.path.join(folder, "store")))
    fleet = [ActionCounts() for _ in range(directors)]
    lines = [ReportedState() for _ in fleet]
    merged, size, parts = Clock(), 0, 0
    for second in range(seconds):
        for part in range(PARTS_A_SECOND):
            loop.now = 1000.0 * second + 250.0 * part
            for number, (stamps, told) in enumerate(zip(fleet, lines)):
                if part == 0:
                    stamps.set_in_force(stand(second), loop.now)
                for n in range(PLAYS_A_SECOND // 2 if part % 2 else 0):
                    play(stamps, second * 8 + part + n + number, loop.now)
                said = told.next_part(stamps)
                size, parts = size + len(encode(said)), parts + 1
                merged.time(auditing.fleet_log.merge, f"d{number}-0", said, loop.now, loop.now)
        steps = auditing.write_journal(())
        while wrote.time(lambda: next(steps, DONE)) is not DONE:
            pass
        for number, stamps in enumerate(fleet):
            stamps.acknowledge(auditing.fleet_log.acknowledged(f"d{number}-0"))
    print(f"{directors} directors, {seconds} s: {size / seconds / 1000:.0f} kB/s of parts ({size / parts:.0f} bytes each), merging {merged.sum / seconds:.0f} ms a second "
          f"(longest {merged.worst:.1f} ms), writing {wrote.sum / seconds:.0f} ms a second (longest step {wrote.worst:.1f} ms)")
    ledger, looked = auditing.ledger, Clock()
    verdict = looked.time(ledger.verify)
    print(f"journal: {ledger.count} records, {ledger.size / seconds * 3.6:.0f} kB an hour; verified in {looked.sum:.0f} ms, faults {len(verdict.faults)}")
    asked = Clock()
    asked.time(answers.versions, auditing.fleet_log, loop.now, 0.0)
    asked.time(answers.director, auditing.fleet_log, "d7", 0.0, loop.now, 0.0)
    print(f"versions and one director asked: longest {asked.worst:.1f} ms")


def returning(directors: int) -> None:
    """All at once, each with as many untold turns as it may keep."""
    fleet, book, merged, size = [], FleetLog(), Clock(), 0
    for number in range(directors):
        stamps = ActionCounts()
        for turn in range(MAX_TURNS + 20):
            stamps.set_in_force(stand(turn), 1000.0 * turn)
            play(stamps, turn, 1000.0 * turn)
            play(stamps, turn + 1, 1000.0 * turn)
        fleet.append(stamps)
    now = 1000.0 * (MAX_TURNS + 20)
    for number, stamps in enumerate(fleet):
        part = ReportedState().next_part(stamps)
        size += len(encode(part))
        merged.time(book.merge, f"d{number}-0", part, now, now)
    written, data = Clock(), 0
    for name in sorted(book.changed):
        data += len(written.time(lambda: encode(book.record(name, 0.0))))
    print(f"{directors} back at once, {MAX_TURNS} turns each: {size / 1e6:.1f} MB, merging {merged.sum:.0f} ms (longest {merged.worst:.1f} ms of one), "
          f"records of {data / 1e6:.1f} MB in {written.sum:.0f} ms (longest {written.worst:.1f} ms of one); untold {sum(s.untold for s in fleet)} actions, as each said")


if __name__ == "__main__":
    count, length = (int(word) for word in (sys.argv[1:] + ["230", "60"][len(sys.argv) - 1:]))
    print(f"stamping: {stamping():.1f} us a play of four actions")
    with tempfile.TemporaryDirectory() as folder:
        planner(count, length, folder)
    returning(count)

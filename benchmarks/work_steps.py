"""What background work does to a loop's turns: a planner's snapshot of a large state written in one go, in steps by the scheduler, and not at all.

    PYTHONPATH=. .venv/bin/python benchmarks/work_steps.py
"""
import time

import msgspec

from laddergw.planner.sketch import Sketch
from laddergw.work.scheduler import IDLE, Scheduler

TITLES, TURNS, TURN_MS = 60_000, 400, 1.0
CHUNK = 500                # titles between two yields


def state() -> Sketch:
    sketch = Sketch(TITLES)
    for title in range(TITLES):
        sketch.add(title, 1.0 + title % 97)
    return sketch


def in_one(sketch: Sketch):
    msgspec.msgpack.encode([tuple(hot) for hot in sketch.top(TITLES)])
    yield


def in_steps(sketch: Sketch):
    """The same bytes, a few hundred titles a step; what is ranked is ranked by whoever reads it."""
    parts, titles = [], list(sketch.counts)
    yield
    for start in range(0, len(titles), CHUNK):
        parts.append(msgspec.msgpack.encode([(title, *sketch.counts[title]) for title in titles[start:start + CHUNK]]))
        yield


def turns(task) -> list[float]:
    """Lateness of each turn of a loop that should take TURN_MS."""
    scheduler = Scheduler(lambda: time.perf_counter() * 1000)
    late, due = [], time.perf_counter() * 1000
    for turn in range(TURNS):
        if task is not None and turn % 200 == 50:
            scheduler.add("snapshot", task(), IDLE)
        due += TURN_MS
        while time.perf_counter() * 1000 < due:
            pass
        late.append(time.perf_counter() * 1000 - due)
        if scheduler.pending_count:
            scheduler.run_turn()
    return sorted(late)


def main() -> None:
    sketch = state()
    for name, task in (("no work", None), ("in one go", lambda: in_one(sketch)), ("in steps", lambda: in_steps(sketch))):
        began = time.perf_counter()
        late = turns(task)
        print(f"{name:10}: turns late p50 {late[TURNS // 2]:.3f} ms, p99 {late[int(TURNS * 0.99)]:.2f} ms, most {late[-1]:.1f} ms ({time.perf_counter() - began:.2f} s)")


if __name__ == "__main__":
    main()

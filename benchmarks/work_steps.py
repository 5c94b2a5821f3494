"""How background work delays a loop's turns: a planner's snapshot of a large state written in one step, in many steps by the scheduler, and not at all.

    PYTHONPATH=. .venv/bin/python benchmarks/work_steps.py
"""
import time

import msgspec

from laddergw.planner.sketch import Sketch
from laddergw.work.scheduler import IDLE, Scheduler

TITLES, TURNS, TURN_MS = 60_000, 400, 1.0
TITLES_PER_STEP = 500


def sketch_of_titles() -> Sketch:
    """A sketch that counts TITLES titles."""
    sketch = Sketch(TITLES)
    for title in range(TITLES):
        sketch.add(title, 1.0 + title % 97)
    return sketch


def write_at_once(sketch: Sketch):
    """A task that encodes the sketch in one step."""
    msgspec.msgpack.encode([tuple(hot) for hot in sketch.top(TITLES)])
    yield


def write_in_steps(sketch: Sketch):
    """A task that encodes the same bytes, a few hundred titles in each step; ranking the titles is left to the reader."""
    parts, titles = [], list(sketch.counts)
    yield
    for start in range(0, len(titles), TITLES_PER_STEP):
        parts.append(msgspec.msgpack.encode([(title, *sketch.counts[title]) for title in titles[start:start + TITLES_PER_STEP]]))
        yield


def lateness(task) -> list[float]:
    """The sorted lateness, ms, of each turn of a loop whose turns should take TURN_MS."""
    scheduler = Scheduler(lambda: time.perf_counter() * 1000)
    late, due_at = [], time.perf_counter() * 1000
    for turn in range(TURNS):
        if task is not None and turn % 200 == 50:
            scheduler.add("snapshot", task(), IDLE)
        due_at += TURN_MS
        while time.perf_counter() * 1000 < due_at:
            pass
        late.append(time.perf_counter() * 1000 - due_at)
        if scheduler.pending_count:
            scheduler.run_turn()
    return sorted(late)


def main() -> None:
    """Prints the lateness of turns for each way to write the snapshot."""
    sketch = sketch_of_titles()
    for name, task in (("no work", None), ("in one go", lambda: write_at_once(sketch)), ("in steps", lambda: write_in_steps(sketch))):
        began = time.perf_counter()
        late = lateness(task)
        print(f"{name:10}: turns late p50 {late[TURNS // 2]:.3f} ms, p99 {late[int(TURNS * 0.99)]:.2f} ms, most {late[-1]:.1f} ms ({time.perf_counter() - began:.2f} s)")


if __name__ == "__main__":
    main()

"""Compares timers on a heap and on a hierarchical wheel: adds, nine in ten of them cancelled, and turns of 1 ms.

    PYTHONPATH=. .venv/bin/python benchmarks/timers.py

Prints for each number of pending timers: microseconds for one add with its cancel or call, and for one turn with nothing due.
"""
import random
import time

from laddergw.loop.timers import HeapTimers, WheelTimers

TURNS, ROUNDS = 2_000, 5


def measure(kind, pending: int) -> tuple[float, float]:
    """Returns microseconds per operation and per idle turn."""
    rng = random.Random(pending)
    timers, now = kind(0.0), 0.0
    added = [timers.add(rng.uniform(500, 15_000), int) for _ in range(pending)]
    adds_per_turn = max(1, pending // 1_000)
    start, operations = time.perf_counter(), 0
    for turn in range(TURNS):
        now += 1.0
        for _ in range(adds_per_turn):
            index = rng.randrange(pending)
            if rng.random() < 0.9:
                added[index].cancel()
            added[index] = timers.add(now + rng.uniform(500, 15_000), int)
            operations += 1
        timers.next()
        timers.due(now, 10_000)
    elapsed = time.perf_counter() - start
    start = time.perf_counter()
    for _ in range(TURNS):
        now += 0.001
        timers.next()
        timers.due(now, 10_000)
    return elapsed / operations * 1e6, (time.perf_counter() - start) / TURNS * 1e6


def main() -> None:
    """Prints the medians of ROUNDS measurements."""
    print("pending   heap us/op  wheel us/op   ratio   heap us/idle turn  wheel us/idle turn")
    for pending in (1_000, 10_000, 100_000):
        rows = [(measure(HeapTimers, pending), measure(WheelTimers, pending)) for _ in range(ROUNDS)]
        heap, wheel = (sorted(row[kind][0] for row in rows)[ROUNDS // 2] for kind in (0, 1))
        idle = [sorted(row[kind][1] for row in rows)[ROUNDS // 2] for kind in (0, 1)]
        print(f"{pending:7} {heap:12.2f} {wheel:12.2f} {heap / wheel:7.2f} {idle[0]:17.2f} {idle[1]:19.2f}")


if __name__ == "__main__":
    main()

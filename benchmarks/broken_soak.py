"""Soak trials of directors with one deliberate fault each: checks that the judge finds the fault
within ten seeds, and by which rule.

usage: python -m benchmarks.broken_soak [NAME ...], from the repository's root. A seed takes about
12 s; four faults are tried in parallel.
Exits with 1 if a director with a fault keeps every rule for ten seeds, or breaks only other rules
than its own.
"""

import multiprocessing
import sys
import tempfile
from collections.abc import Sequence
from typing import NamedTuple

from benchmarks.broken_fleets import BLOCK_SIGNALS
from benchmarks.broken_fleets import BROKEN as BROKEN_FLEETS
from laddergw.lab.soak import plan
from laddergw.lab.soak.messages import SETTINGS
from laddergw.lab.soak.result import play_plan
from laddergw.lab.soak.terms import DEFAULT_TERMS

SEEDS = range(1, 11)
MACHINE_SEEDS = range(plan.MACHINE_SEED_REMAINDER, 40, plan.MACHINE_SEED_DIVISOR)
JOBS = 4


class BrokenDirector(NamedTuple):
    """A deliberate fault: statements run before a director's start, and the rule it breaks."""

    code: str
    rule: str
    # Part of the violation's text, where the rule has several texts.
    text: str = ""
    # The seeds that are tried; those of plans with faults of machines for some faults.
    seeds: Sequence[int] = SEEDS


BROKEN = {
    "no ramp": BrokenDirector(BROKEN_FLEETS["no ramp"], "failback"),
    "deaf to leaving": BrokenDirector(BROKEN_FLEETS["deaf to leaving"], "gone"),
    "sends to who drains": BrokenDirector(BROKEN_FLEETS["sends to who drains"], "drain"),
    "ends at once": BrokenDirector(BROKEN_FLEETS["ends at once"], "lost"),
    "sends paid plays again": BrokenDirector(BROKEN_FLEETS["sends paid plays again"], "twice"),
    "does not end": BrokenDirector(BROKEN_FLEETS["does not end"], "lost"),
    "forgets releases": BrokenDirector(
        "from laddergw.platform import releases; releases.Releases.send = lambda *args: None",
        "lost",
    ),
    "passes on what is cut short": BrokenDirector(
        "from laddergw.signalling import description; "
        "description.may_be_truncated = lambda *args: False",
        "lost",
        "no media node made",
    ),
    "answers twice": BrokenDirector(
        "from laddergw.platform import admission as a; start = a.Admission.start_play; "
        "a.Admission.start_play = lambda self, play, text: "
        "(play.viewer.write(9, play.session, (225, text)), start(self, play, text))",
        "twice",
    ),
    "never answers": BrokenDirector(
        "from laddergw.platform import admission as a; "
        "a.Admission.finish = "
        "lambda self, play, *more: self.director.open_requests.pop(play.session, None)",
        "lost",
    ),
    "grows": BrokenDirector(
        f"held = bytearray({int(DEFAULT_TERMS.memory_mb) << 20}); held[::4096] = held[::4096]",
        "limits",
    ),
    "spins": BrokenDirector(
        "from laddergw.loop import base; ends = base.BaseLoop.end_turn; "
        "base.BaseLoop.end_turn = lambda self: (ends(self), self.call_soon(lambda: None))",
        "limits",
        "spins",
    ),
    "spends past its budget": BrokenDirector(
        "from laddergw.control import plays; "
        "plays.Allocations.check_retry_budget = lambda *args: None",
        "budget",
    ),
    "gives nodes up early": BrokenDirector(
        "from laddergw.platform import liveness; liveness.SILENCE_LIMIT_MS = 3000.0",
        "lost",
        "ended, though it stands",
        MACHINE_SEEDS,
    ),
    "leaves plays at nodes": BrokenDirector(
        "from laddergw.platform import lost_plays; lost_plays.release_plays = lost_plays.end_plays",
        "lost",
        "goes on at",
        MACHINE_SEEDS,
    ),
    "ends plays of new processes": BrokenDirector(
        "from laddergw.platform import lost_plays; "
        "lost_plays.process_started = lambda node, at: lost_plays.give_up(node, 'started anew')",
        "lost",
        "ended, though it stands",
        MACHINE_SEEDS,
    ),
    "never gives nodes up": BrokenDirector(
        "from laddergw.platform import liveness; liveness.SILENCE_LIMIT_MS = 1e9",
        "lost",
        "died with it",
        MACHINE_SEEDS,
    ),
    "sends keyed plays anywhere": BrokenDirector(
        "from laddergw.control import plays; plays.Play.key_holds_at = lambda *args: True",
        "twice",
        "outside its key's cell",
        MACHINE_SEEDS,
    ),
    "fails in its calls": BrokenDirector(
        "from laddergw.platform import change_log as f; "
        "f.ChangeLogClient.handle_event = lambda *args: 1 / 0",
        "crash",
    ),
}


def first_detection(name: str) -> tuple[str, int, str]:
    """Returns the name, the first seed that breaks the rule, or 0, and the violation found."""
    run_director = "import runpy; runpy.run_module('laddergw.platform', run_name='__main__')"
    code = f"{BLOCK_SIGNALS}{BROKEN[name].code}; {run_director}"
    for seed in BROKEN[name].seeds:
        with tempfile.TemporaryDirectory() as folder:
            result = play_plan(
                plan.draw(seed, len(DEFAULT_TERMS.products)),
                DEFAULT_TERMS,
                SETTINGS,
                folder,
                run=f'exec {sys.executable} -c "{code}"',
            )
        expected = [
            violation
            for violation in result.breaks
            if violation.rule == BROKEN[name].rule and BROKEN[name].text in violation.what
        ]
        if expected:
            return (
                name,
                seed,
                f"{expected[0].rule}: {expected[0].what} ({len(result.breaks)} violations)",
            )
    return name, 0, "kept its rule"


def main(names: list[str]) -> int:
    missed_count = 0
    with multiprocessing.Pool(JOBS) as pool:
        for name, seed, outcome in pool.imap_unordered(first_detection, names or list(BROKEN)):
            missed_count += not seed
            print(
                f"{name}: " + (f"seen in seed {seed}, " if seed else "NOT SEEN, ") + outcome[:160],
                flush=True,
            )
    return 1 if missed_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

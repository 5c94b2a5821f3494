"""Shrinks a failing script to the events that matter (delta debugging): leaves out halves, then smaller parts, as long as it still fails.

Has no side effects except those of `fails`.
"""
from typing import Callable, NamedTuple

from laddergw.lab.script import FaultEvent

REQUIRED_BEFORE = {"start": ("kill", "term"), "list-back": ("list-out",)}    # kinds that make sense only after another


class ShrinkResult(NamedTuple):
    """The shortened script, and how many scripts were played to find it."""
    script: list[FaultEvent]
    played: int


def prune(script: list[FaultEvent]) -> list[FaultEvent]:
    """The script without events whose cause is missing: a director's start without its end, a list's return without its outage."""
    applied, kept = set(), []
    for event in script:
        if event.kind in REQUIRED_BEFORE and not any((kind, event.who) in applied for kind in REQUIRED_BEFORE[event.kind]):
            continue
        applied.add((event.kind, event.who))
        kept.append(event)
    return kept


def shrink(script: list, fails: Callable[[list], bool], max_runs: int = 200, prune: Callable[[list], list] = prune) -> ShrinkResult:
    """The shortest script found that still fails; the whole script if it does not. Plays at most `max_runs` scripts. `prune` leaves out
    events whose cause is missing; the default one knows fault events, other scripts bring their own."""
    runs, part_count = 0, 2
    while len(script) >= 2 and runs < max_runs:
        size, smaller = -(-len(script) // part_count), None
        for start in range(0, len(script), size):
            candidate = prune(script[:start] + script[start + size:])
            if len(candidate) == len(script):
                continue
            runs += 1
            if fails(candidate):
                smaller = candidate
                break
            if runs >= max_runs:
                break
        if smaller is not None:
            script, part_count = smaller, max(2, part_count - 1)
        elif size == 1:
            break
        else:
            part_count = min(len(script), part_count * 2)
    return ShrinkResult(script, runs)

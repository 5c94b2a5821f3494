"""Shrinks a failing day to the troubles that matter: halves, then smaller parts, are left out as long as the day still fails (delta debugging). Pure but for `fails`."""
from typing import Callable, NamedTuple

from laddergw.lab.script import FaultEvent

PAIRS = {"start": ("kill", "term"), "list-back": ("list-out",)}    # what makes sense only behind another


class Shrunk(NamedTuple):
    """What is left, and how many days were played for it."""
    script: list[FaultEvent]
    played: int


def prune(script: list[FaultEvent]) -> list[FaultEvent]:
    """Without what no longer follows from anything: a director's start without its end, a list that comes back without having gone."""
    seen, found = set(), []
    for trouble in script:
        if trouble.kind in PAIRS and not any((kind, trouble.who) in seen for kind in PAIRS[trouble.kind]):
            continue
        seen.add((trouble.kind, trouble.who))
        found.append(trouble)
    return found


def shrink(script: list, fails: Callable[[list], bool], most: int = 200, prune: Callable[[list], list] = prune) -> Shrunk:
    """The least script found that still fails; the whole one where it does not. At most so many days are played. `prune` leaves out what
    no longer follows from anything: of troubles by default, of other scripts as told."""
    played, parts = 0, 2
    while len(script) >= 2 and played < most:
        size, smaller = -(-len(script) // parts), None
        for start in range(0, len(script), size):
            tried = prune(script[:start] + script[start + size:])
            if len(tried) == len(script):
                continue
            played += 1
            if fails(tried):
                smaller = tried
                break
            if played >= most:
                break
        if smaller is not None:
            script, parts = smaller, max(2, parts - 1)
        elif size == 1:
            break
        else:
            parts = min(len(script), parts * 2)
    return Shrunk(script, played)

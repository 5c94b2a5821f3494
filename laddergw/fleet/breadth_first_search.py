"""Breadth-first search over states, for the fleet's model checkers: finds the first broken invariant and the shortest steps to it."""
from collections import deque
from typing import Callable, Hashable, Iterable, NamedTuple


class Outcome(NamedTuple):
    """The result of a check. `broken`: the invariant that does not hold, None if all held in the states searched."""
    states: int
    broken: str | None
    steps: tuple[str, ...]


def search(first: Hashable, moves: Callable[[Hashable], Iterable[tuple[str, Hashable]]], broken: Callable[[Hashable], str | None], max_states: int) -> Outcome:
    """Searches up to `max_states` states. `moves(state)` yields a label and the next state; `broken(state)` returns the invariant that does not hold in it, or None."""
    reached_by: dict = {first: ()}
    waiting = deque([first])
    while waiting:
        state = waiting.popleft()
        if (fault := broken(state)) is not None:
            return Outcome(len(reached_by), fault, path(reached_by, state))
        for step, following in moves(state):
            if following not in reached_by:
                if len(reached_by) >= max_states:
                    return Outcome(len(reached_by), None, ())
                reached_by[following] = (step, state)
                waiting.append(following)
    return Outcome(len(reached_by), None, ())


def path(reached_by: dict, state: Hashable) -> tuple[str, ...]:
    """Returns the labels of the moves from the first state to this one."""
    steps = []
    while reached_by[state]:
        step, state = reached_by[state]
        steps.append(step)
    return tuple(reversed(steps))

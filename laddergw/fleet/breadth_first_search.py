"""Breadth-first search over states, for the model checkers of the fleet: what breaks first, and the steps to it."""
from collections import deque
from typing import Callable, Hashable, Iterable, NamedTuple


class Outcome(NamedTuple):
    """What a check came to."""
    states: int
    broken: str | None
    steps: tuple[str, ...]


def search(first: Hashable, moves: Callable[[Hashable], Iterable[tuple[str, Hashable]]], broken: Callable[[Hashable], str | None], most: int) -> Outcome:
    """Up to so many states; `moves(state)` gives words and the state that follows, `broken(state)` what does not hold in it."""
    came: dict = {first: ()}
    waiting = deque([first])
    while waiting:
        state = waiting.popleft()
        if (told := broken(state)) is not None:
            return Outcome(len(came), told, path(came, state))
        for step, then in moves(state):
            if then not in came:
                if len(came) >= most:
                    return Outcome(len(came), None, ())
                came[then] = (step, state)
                waiting.append(then)
    return Outcome(len(came), None, ())


def path(came: dict, state: Hashable) -> tuple[str, ...]:
    steps = []
    while came[state]:
        step, state = came[state]
        steps.append(step)
    return tuple(reversed(steps))

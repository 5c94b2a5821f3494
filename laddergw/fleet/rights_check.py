"""A model checker for rights: runs the functions of directors and planners themselves, in all orders of losses, delays, stalls and takeovers.

There are two planners on one store, and a director on version V that switches to another version and back (directors do not hear of each other, so one stands for many).
A state is what the real objects hold, as plain values; each is visited once, breadth first, so a violation is reported with the fewest steps. Ticks and messages in
flight are bounded.

The invariant: once the planner that keeps the journal says that no director admits plays under V, no director that closes does.
"""
from typing import Callable, Iterator, NamedTuple

from laddergw.fleet.breadth_first_search import Outcome, search
from laddergw.fleet.rights import CLOSED, LEASE_MS, Floors, ObservedProcess, Right

# A lease is three to four ticks.
TICK_MS = 1_500.0
# Of one history.
MAX_TICKS = 7
MAX_IN_FLIGHT = 2
PLANNERS = (0, 1)
V, W = ("limits", "v"), ("limits", "w")


class Rules(NamedTuple):
    """The functions that are checked: the real ones, or, to test the checker itself, one of them with a mistake."""
    apply_grant: Callable = Right.apply_grant
    refusal_reason: Callable = Right.refusal_reason
    check_unused: Callable = Floors.check_unused
    # A planner grants only while it owns the store.
    fenced: bool = True


class State(NamedTuple):
    """`store`: its epoch, and whether V is forbidden there; `planners`: (epoch, since when it knows V as forbidden, or None); `directors`: (on V, until, rank, knows V as
    forbidden, its requests); `in_flight`: ("ask", director, planner, number) or ("grant", director, number, epoch, forbidden)."""
    tick: int
    store: tuple
    planners: tuple
    directors: tuple
    in_flight: tuple


def start() -> State:
    """Returns the first state: planner 0 owns the store, and the director is on V with a right."""
    return State(0, (1, False), ((1, None), (0, None)), ((True, 2 * TICK_MS, (1, 0), False, ()),), ())


def right_of(row: tuple) -> Right:
    """Returns a Right that holds a director's values."""
    made = Right(CLOSED)
    made.until, made.rank, made.forbidden = row[1], row[2], frozenset([V] if row[3] else [])
    made.requested.update(row[4])
    return made


def to_row(on: bool, made: Right) -> tuple:
    """Returns the values that a Right holds, as a director of a state."""
    return on, made.until, made.rank, V in made.forbidden, tuple(made.requested.items())


def put(rows: tuple, index: int, row: tuple) -> tuple:
    """Returns the rows with one of them replaced."""
    return rows[:index] + (row,) + rows[index + 1:]


def moves(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yields everything that can happen next, with the state that follows."""
    now = state.tick * TICK_MS
    for position, (epoch, since) in enumerate(state.planners):
        ours = epoch == state.store[0]
        if ours and since is None:
            yield f"planner {position} forbids V", state._replace(store=(epoch, True), planners=put(state.planners, position, (epoch, now)))
        if not ours and state.store[0] < 3:
            taken = state.store[0] + 1
            yield f"planner {position} takes the store", state._replace(store=(taken, state.store[1]), planners=put(state.planners, position, (taken, now if state.store[1] else None)))
    for position, (on, until, rank, knows_forbidden, requests) in enumerate(state.directors):
        if state.tick and len(state.in_flight) < MAX_IN_FLIGHT and len(requests) < 3 and (not requests or requests[-1][1] < now):
            made = right_of(state.directors[position])
            number = max([rank[1], *made.requested]) + 1
            made.record_request(number, now)
            for planner in PLANNERS:
                if state.planners[planner][0]:
                    yield f"director {position} asks planner {planner}", state._replace(
                        directors=put(state.directors, position, to_row(on, made)), in_flight=tuple(sorted(state.in_flight + (("ask", position, planner, number),), key=repr)))
        yield f"director {position} switches version", state._replace(directors=put(state.directors, position, (not on, until, rank, knows_forbidden, requests)))
    for index, message in enumerate(state.in_flight):
        rest = state.in_flight[:index] + state.in_flight[index + 1:]
        yield f"{message} is lost", state._replace(in_flight=rest)
        if message[0] == "ask":
            _, position, planner, number = message
            epoch, since = state.planners[planner]
            if epoch == state.store[0] or not rules.fenced:
                yield f"planner {planner} grants {number} to {position}", state._replace(in_flight=tuple(sorted(rest + (("grant", position, number, epoch, since is not None),), key=repr)))
        else:
            _, position, number, epoch, forbidden = message
            made = right_of(state.directors[position])
            rules.apply_grant(made, number, epoch, LEASE_MS, [V] if forbidden else [])
            yield f"{message} arrives", state._replace(directors=put(state.directors, position, to_row(state.directors[position][0], made)), in_flight=rest)
    if state.tick < MAX_TICKS:
        yield "time passes", state._replace(tick=state.tick + 1)


def broken(state: State, rules: Rules) -> str | None:
    """Returns the violated invariant, or None. The last moment before the next tick is checked: what holds then has held since the tick began."""
    now = state.tick * TICK_MS
    for position, (epoch, since) in enumerate(state.planners):
        if epoch != state.store[0] or since is None:
            continue
        floors = Floors()
        floors.since = {V: since}
        seen = [ObservedProcess(f"d{n}", frozenset([V if row[0] else W]), now, CLOSED) for n, row in enumerate(state.directors)]
        if rules.check_unused(floors, V, seen, now)[0]:
            for number, row in enumerate(state.directors):
                if row[0] and rules.refusal_reason(right_of(row), frozenset([V]), now) is None:
                    return f"director {number} lets plays in under V though planner {position} said that nobody does"
    return None


def check(rules: Rules = Rules(), max_states: int = 60_000) -> Outcome:
    """Searches up to `max_states` states; returns the first violation with the steps to it."""
    return search(start(), lambda state: moves(state, rules), lambda state: broken(state, rules), max_states)

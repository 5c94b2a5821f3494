"""A model checker over rights: the very functions that directors and planners run, in all orders of losses, delays, stand-stills and takeovers.

Two planners on one store, a director on version V that goes over to another and back (directors do not hear of each other: one is as many). A state is what the real objects hold, as plain values; each is
looked at once, breadth first, so a break is told with the fewest steps. Bounded in ticks and in messages on their way.

What must hold: once the planner that keeps the journal says that nobody lets plays in under V, no director that closes does.
"""
from typing import Callable, Iterator, NamedTuple

from laddergw.fleet.breadth_first_search import Outcome, search
from laddergw.fleet.rights import CLOSED, LEASE_MS, MARGIN_MS, Floors, Right, Seen

TICK_MS = 1_500.0          # a lease is three to four ticks
TICKS_MOST = 7             # of one history
FLYING_MOST = 2            # messages on their way
PLANNERS = (0, 1)
V, W = ("limits", "v"), ("limits", "w")


class Rules(NamedTuple):
    """What is checked: the real rules, or, to see that the check sees, one with a mistake in it."""
    apply_grant: Callable = Right.apply_grant
    refusal_reason: Callable = Right.refusal_reason
    check_unused: Callable = Floors.check_unused
    fenced: bool = True                          # a planner grants only while the store is its own


class State(NamedTuple):
    """`store`: epoch in it, and whether V is forbidden there; `planners`: (epoch, knows V forbidden since, or None); `directors`: (on V, until, rank, hears V
    forbidden, its askings); `flying`: ("ask", director, planner, number) or ("grant", director, number, epoch, forbidden)."""
    tick: int
    store: tuple
    planners: tuple
    directors: tuple
    flying: tuple


def start() -> State:
    return State(0, (1, False), ((1, None), (0, None)), ((True, 2 * TICK_MS, (1, 0), False, ()),), ())


def right_of(told: tuple) -> Right:
    made = Right(CLOSED)
    made.until, made.rank, made.forbidden = told[1], told[2], frozenset([V] if told[3] else [])
    made.asked.update(told[4])
    return made


def as_told(on: bool, made: Right) -> tuple:
    return on, made.until, made.rank, V in made.forbidden, tuple(made.asked.items())


def put(rows: tuple, place: int, row: tuple) -> tuple:
    return rows[:place] + (row,) + rows[place + 1:]


def moves(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """All that can happen next."""
    now = state.tick * TICK_MS
    for place, (epoch, since) in enumerate(state.planners):
        ours = epoch == state.store[0]
        if ours and since is None:
            yield f"planner {place} forbids V", state._replace(store=(epoch, True), planners=put(state.planners, place, (epoch, now)))
        if not ours and state.store[0] < 3:
            taken = state.store[0] + 1
            yield f"planner {place} takes the store", state._replace(store=(taken, state.store[1]), planners=put(state.planners, place, (taken, now if state.store[1] else None)))
    for place, (on, until, rank, hears, asked) in enumerate(state.directors):
        if state.tick and len(state.flying) < FLYING_MOST and len(asked) < 3 and (not asked or asked[-1][1] < now):
            made = right_of(state.directors[place])
            number = max([rank[1], *made.asked]) + 1
            made.record_request(number, now)
            for planner in PLANNERS:
                if state.planners[planner][0]:
                    yield f"director {place} asks planner {planner}", state._replace(
                        directors=put(state.directors, place, as_told(on, made)), flying=tuple(sorted(state.flying + (("ask", place, planner, number),), key=repr)))
        yield f"director {place} goes over", state._replace(directors=put(state.directors, place, (not on, until, rank, hears, asked)))
    for index, message in enumerate(state.flying):
        rest = state.flying[:index] + state.flying[index + 1:]
        yield f"{message} is lost", state._replace(flying=rest)
        if message[0] == "ask":
            _, place, planner, number = message
            epoch, since = state.planners[planner]
            if epoch == state.store[0] or not rules.fenced:
                yield f"planner {planner} grants {number} to {place}", state._replace(flying=tuple(sorted(rest + (("grant", place, number, epoch, since is not None),), key=repr)))
        else:
            _, place, number, epoch, forbidden = message
            made = right_of(state.directors[place])
            rules.apply_grant(made, number, epoch, LEASE_MS, [V] if forbidden else [])
            yield f"{message} comes", state._replace(directors=put(state.directors, place, as_told(state.directors[place][0], made)), flying=rest)
    if state.tick < TICKS_MOST:
        yield "time passes", state._replace(tick=state.tick + 1)


def broken(state: State, rules: Rules) -> str | None:
    """What of the rules does not hold in a state. The last moment before the next tick counts: what holds then held all along."""
    now = state.tick * TICK_MS
    for place, (epoch, since) in enumerate(state.planners):
        if epoch != state.store[0] or since is None:
            continue
        floors = Floors()
        floors.since = {V: since}
        seen = [Seen(f"d{n}", frozenset([V if told[0] else W]), now, CLOSED) for n, told in enumerate(state.directors)]
        if rules.check_unused(floors, V, seen, now)[0]:
            for number, told in enumerate(state.directors):
                if told[0] and rules.refusal_reason(right_of(told), frozenset([V]), now) is None:
                    return f"director {number} lets plays in under V though planner {place} said that nobody does"
    return None


def check(rules: Rules = Rules(), most: int = 60_000) -> Outcome:
    """Breadth first, up to so many states; what broke first, with the steps to it."""
    return search(start(), lambda state: moves(state, rules), lambda state: broken(state, rules), most)

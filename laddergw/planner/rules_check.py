"""A model checker over the rules of plans, leases and epochs: the very functions that planners and edges run, in all orders of losses, delays, deaths and partitions.

Two planners on one store (or each on its own), two edges, time in ticks. A state is what the real objects hold, written down as a tuple; each is looked at once, breadth first, so that
a break is told with the fewest steps. Bounded in ticks and in messages on their way.

What must hold: an edge never goes back to a lower rank; never obeys a plan whose lease, from when it came, is over; no two planners on one store plan under one epoch; and from any
state, once messages pass and one planner lives, both edges obey one planner before long.
"""
from collections import deque
from typing import Callable, Iterator, NamedTuple

from laddergw.planner.plan import LEASE_MS, FollowedPlan, Plan
from laddergw.planner.standby import LEADS, SILENT_MS, STRAY_MS, Standby

TICK_MS = 1_250.0          # a lease is two to three ticks, a silence two to three
TICKS_MOST = 6             # of one history
FLYING_MOST = 2            # messages on their way
CALM_TICKS = 9             # until all edges must obey one planner, messages passing: silence, takeover, a plan
PLANNERS, EDGES = ("p", "q"), (0, 1)


class Rules(NamedTuple):
    """What is checked: the real rules, or, to see that the check sees, one with a mistake in it."""
    offer: Callable[[FollowedPlan, Plan, float], bool] = FollowedPlan.offer
    now: Callable[[FollowedPlan, float], Plan | None] = FollowedPlan.now
    fenced: bool = True


class State(NamedTuple):
    """Everything, as plain values. `planners`: (alive, state, epoch, highest, heard_at, version); `edges`: (seen, plan rank, came_ms); `flying`: (rank, edge)."""
    tick: int
    store: int
    planners: tuple[tuple, ...]
    edges: tuple[tuple, ...]
    flying: tuple[tuple, ...]


class Outcome(NamedTuple):
    """What a check came to."""
    states: int
    broken: str | None
    steps: tuple[str, ...]


def start() -> State:
    return State(0, 1, ((True, LEADS, 1, 1, 0.0, 0), (True, "stands by", 1, 1, 0.0, 0)), (((0, "", 0), None, 0.0),) * 2, ())


def standing(told: tuple) -> Standby:
    made = Standby(1, told[2], told[4], told[1] == LEADS)
    made.highest, made.wait = told[3], SILENT_MS + STRAY_MS / 2
    return made


def as_told(alive: bool, made: Standby, version: int) -> tuple:
    return alive, made.state, made.epoch, made.highest, made.heard_at, version


def obeyed(told: tuple) -> FollowedPlan:
    made = FollowedPlan()
    made.seen, made.came_ms = told[0], told[2]
    made.plan = None if told[1] is None else plan_of(told[1])
    return made


def plan_of(rank: tuple) -> Plan:
    return Plan(rank[0], rank[1], rank[2], LEASE_MS, {}, {}, {}, (), ())


def put(rows: tuple, place: int, row: tuple) -> tuple:
    return rows[:place] + (row,) + rows[place + 1:]


def moves(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """All that can happen next."""
    now = state.tick * TICK_MS
    for index, name in enumerate(PLANNERS):
        alive, how, epoch, highest, heard, version = state.planners[index]
        if not alive:
            store = state.store + 1 if rules.fenced else state.store
            yield f"{name} starts again", state._replace(store=store, planners=put(state.planners, index, (True, LEADS, store, max(store, highest), now, version)))
            continue
        if how == LEADS and rules.fenced and epoch != state.store:
            shut = standing(state.planners[index])
            shut.fenced(now)
            yield f"{name} is fenced", state._replace(planners=put(state.planners, index, as_told(True, shut, version)))
        yield f"{name} dies", state._replace(planners=put(state.planners, index, (False, how, epoch, highest, heard, version)))
        if how == LEADS and len(state.flying) < FLYING_MOST and (not rules.fenced or epoch == state.store):
            rank = (epoch, name, version + 1)
            for edge in EDGES:
                yield f"{name} plans {epoch}.{version + 1} for edge {edge}", state._replace(
                    planners=put(state.planners, index, (alive, how, epoch, highest, heard, version + 1)), flying=tuple(sorted(state.flying + ((rank, edge),))))
    for place, (rank, edge) in enumerate(state.flying):
        rest = state.flying[:place] + state.flying[place + 1:]
        yield f"{rank[0]}.{rank[2]} of {rank[1]} is lost", state._replace(flying=rest)
        made = obeyed(state.edges[edge])
        rules.offer(made, plan_of(rank), now)
        told = made.seen, made.plan.rank if made.plan else None, made.came_ms
        yield f"{rank[0]}.{rank[2]} of {rank[1]} reaches edge {edge}", state._replace(edges=put(state.edges, edge, told), flying=rest)
        for index, name in enumerate(PLANNERS):
            if name != rank[1] and state.planners[index][0]:
                heard = standing(state.planners[index])
                heard.heard(rank[0], now)
                yield f"{name} hears {rank[0]}.{rank[2]}", state._replace(planners=put(state.planners, index, as_told(True, heard, state.planners[index][5])))
    if state.tick < TICKS_MOST:
        yield "time passes", pass_time(state, rules)


def pass_time(state: State, rules: Rules) -> State:
    """A tick: leases end, a standby may take over."""
    now, planners, store = (state.tick + 1) * TICK_MS, list(state.planners), state.store
    for index, told in enumerate(planners):
        if told[0]:
            made = standing(told)
            step = made.look(now)
            if step.take:
                store = max(store + 1, step.take) if rules.fenced else step.take
                made.took(store)
            planners[index] = as_told(True, made, told[5])
    edges = []
    for told in state.edges:
        made = obeyed(told)
        plan = rules.now(made, now)
        edges.append((made.seen, plan.rank if plan else None, made.came_ms))
    return State(state.tick + 1, store, tuple(planners), tuple(edges), state.flying)


def broken(before: State, after: State) -> str | None:
    """A rule that this step broke."""
    now = after.tick * TICK_MS
    for edge in EDGES:
        if after.edges[edge][0] < before.edges[edge][0]:
            return f"edge {edge} went back from {before.edges[edge][0]} to {after.edges[edge][0]}"
        old, new = before.edges[edge][1], after.edges[edge][1]
        if new is not None and new != old and new <= before.edges[edge][0]:
            return f"edge {edge} obeys {new}, it had seen {before.edges[edge][0]}"
        if new is not None and now - after.edges[edge][2] >= LEASE_MS and after.tick > before.tick:
            return f"edge {edge} obeys {new} past its lease"
    leads = [told[2] for told in after.planners if told[0] and told[1] == LEADS and told[2] == after.store]
    return f"two planners plan under epoch {leads[0]}" if len(leads) == 2 else None


def settles(state: State, rules: Rules) -> bool:
    """With messages passing from here on and one planner alive, do both edges come to obey one planner?"""
    if not any(told[0] for told in state.planners):
        return True
    state = state._replace(flying=())
    for tick in range(CALM_TICKS):
        now = state.tick * TICK_MS
        for index, name in enumerate(PLANNERS):
            alive, how, epoch, _, _, version = state.planners[index]
            if alive and how == LEADS and rules.fenced and epoch != state.store:
                shut = standing(state.planners[index])
                shut.fenced(now)
                state = state._replace(planners=put(state.planners, index, as_told(True, shut, version)))
            if not alive or how != LEADS or rules.fenced and epoch != state.store:
                continue
            rank, edges, planners = (epoch, name, version + 1), [], list(state.planners)
            for told in state.edges:
                made = obeyed(told)
                rules.offer(made, plan_of(rank), now)
                edges.append((made.seen, made.plan.rank if made.plan else None, made.came_ms))
            for other, told in enumerate(planners):
                made = standing(told)
                made.heard(epoch, now)
                planners[other] = as_told(told[0], made if other != index else standing(told), told[5] + (other == index))
            state = state._replace(edges=tuple(edges), planners=tuple(planners))
        obeys = [told[1] for told in state.edges]
        if tick and None not in obeys and len({rank[:2] for rank in obeys}) == 1:
            return True
        state = pass_time(state, rules)
    return False


def check(rules: Rules = Rules(), most: int = 60_000) -> Outcome:
    """All states within the bounds, breadth first; at most so many."""
    first = start()
    came: dict[State, tuple[State, str] | None] = {first: None}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        if not settles(state, rules):
            return Outcome(len(came), "the edges do not come to obey one planner", path(came, state))
        for name, after in moves(state, rules):
            wrong = broken(state, after)
            if wrong is not None:
                return Outcome(len(came), wrong, path(came, state) + (name,))
            if after not in came and len(came) < most:
                came[after] = state, name
                queue.append(after)
    return Outcome(len(came), None, ())


def path(came: dict, state: State) -> tuple[str, ...]:
    steps = []
    while came[state] is not None:
        state, name = came[state]
        steps.append(name)
    return tuple(reversed(steps))

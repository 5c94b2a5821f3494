"""A model checker for the rules of plans, leases and epochs: it runs the functions of planners and edges themselves, in all orders of losses, delays, crashes and partitions.

Two planners on one store (or each on its own), two edges, time in ticks. A state is the content of the real objects as a tuple; each state is visited once, breadth first, so that
a violation is reported with the fewest steps. Ticks and messages in flight are bounded.

What must hold: an edge never goes back to a lower rank; never follows a plan whose lease, counted from its receipt, is over; no two planners on one store plan under one epoch; and from
any state, once messages get through and one planner is alive, both edges follow one planner after a bounded time.
"""
from collections import deque
from typing import Callable, Iterator, NamedTuple

from laddergw.planner.plan import LEASE_MS, FollowedPlan, Plan
from laddergw.planner.standby import LEADS, LEADER_SILENCE_MS, MAX_JITTER_MS, Standby

TICK_MS = 1_250.0          # a lease takes two to three ticks, and so does a leader's silence
MAX_TICKS = 6              # of one history
MAX_IN_FLIGHT = 2          # messages
SETTLE_TICKS = 9           # in which all edges must come to follow one planner if messages get through: silence, takeover, a plan
PLANNERS, EDGES = ("p", "q"), (0, 1)


class Rules(NamedTuple):
    """The rules to check: the real ones, or some with a mistake, to test the check itself."""
    offer: Callable[[FollowedPlan, Plan, float], bool] = FollowedPlan.offer
    current: Callable[[FollowedPlan, float], Plan | None] = FollowedPlan.current
    fenced: bool = True


class State(NamedTuple):
    """The whole system as plain values. `planners`: (alive, state, epoch, highest, last_plan_at, version); `edges`: (highest_rank, plan rank, received_ms); `in_flight`: (rank, edge)."""
    tick: int
    store: int
    planners: tuple[tuple, ...]
    edges: tuple[tuple, ...]
    in_flight: tuple[tuple, ...]


class Outcome(NamedTuple):
    """The result of a check: states visited, the violation if there is one, and the steps that lead to it."""
    states: int
    violation: str | None
    steps: tuple[str, ...]


def start() -> State:
    """The initial state: planner p leads, q stands by, the edges have no plan."""
    return State(0, 1, ((True, LEADS, 1, 1, 0.0, 0), (True, "stands by", 1, 1, 0.0, 0)), (((0, "", 0), None, 0.0),) * 2, ())


def restore_standby(row: tuple) -> Standby:
    """The Standby of a planner's row, with a fixed takeover delay."""
    standby = Standby(1, row[2], row[4], row[1] == LEADS)
    standby.highest, standby.takeover_delay = row[3], LEADER_SILENCE_MS + MAX_JITTER_MS / 2
    return standby


def planner_row(alive: bool, standby: Standby, version: int) -> tuple:
    """The row of a planner."""
    return alive, standby.state, standby.epoch, standby.highest, standby.last_plan_at, version


def restore_followed(row: tuple) -> FollowedPlan:
    """The FollowedPlan of an edge's row."""
    followed = FollowedPlan()
    followed.highest_rank, followed.received_ms = row[0], row[2]
    followed.plan = None if row[1] is None else plan_with_rank(row[1])
    return followed


def plan_with_rank(rank: tuple) -> Plan:
    """An empty plan with this rank."""
    return Plan(rank[0], rank[1], rank[2], LEASE_MS, {}, {}, {}, (), ())


def replace_row(rows: tuple, index: int, row: tuple) -> tuple:
    """The rows with one of them replaced."""
    return rows[:index] + (row,) + rows[index + 1:]


def successors(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """All steps that are possible next, each with the state after it."""
    now = state.tick * TICK_MS
    for index, name in enumerate(PLANNERS):
        alive, role, epoch, highest, last_plan_at, version = state.planners[index]
        if not alive:
            store = state.store + 1 if rules.fenced else state.store
            yield f"{name} restarts", state._replace(store=store, planners=replace_row(state.planners, index, (True, LEADS, store, max(store, highest), now, version)))
            continue
        if role == LEADS and rules.fenced and epoch != state.store:
            fenced = restore_standby(state.planners[index])
            fenced.fenced(now)
            yield f"{name} is fenced", state._replace(planners=replace_row(state.planners, index, planner_row(True, fenced, version)))
        yield f"{name} crashes", state._replace(planners=replace_row(state.planners, index, (False, role, epoch, highest, last_plan_at, version)))
        if role == LEADS and len(state.in_flight) < MAX_IN_FLIGHT and (not rules.fenced or epoch == state.store):
            rank = (epoch, name, version + 1)
            for edge in EDGES:
                yield f"{name} plans {epoch}.{version + 1} for edge {edge}", state._replace(
                    planners=replace_row(state.planners, index, (alive, role, epoch, highest, last_plan_at, version + 1)), in_flight=tuple(sorted(state.in_flight + ((rank, edge),))))
    for position, (rank, edge) in enumerate(state.in_flight):
        rest = state.in_flight[:position] + state.in_flight[position + 1:]
        yield f"{rank[0]}.{rank[2]} of {rank[1]} is lost", state._replace(in_flight=rest)
        followed = restore_followed(state.edges[edge])
        rules.offer(followed, plan_with_rank(rank), now)
        row = followed.highest_rank, followed.plan.rank if followed.plan else None, followed.received_ms
        yield f"{rank[0]}.{rank[2]} of {rank[1]} reaches edge {edge}", state._replace(edges=replace_row(state.edges, edge, row), in_flight=rest)
        for index, name in enumerate(PLANNERS):
            if name != rank[1] and state.planners[index][0]:
                hearer = restore_standby(state.planners[index])
                hearer.plan_seen(rank[0], now)
                yield f"{name} receives {rank[0]}.{rank[2]}", state._replace(planners=replace_row(state.planners, index, planner_row(True, hearer, state.planners[index][5])))
    if state.tick < MAX_TICKS:
        yield "time passes", pass_time(state, rules)


def pass_time(state: State, rules: Rules) -> State:
    """The state one tick later: leases may end, a standby may take over."""
    now, planners, store = (state.tick + 1) * TICK_MS, list(state.planners), state.store
    for index, row in enumerate(planners):
        if row[0]:
            restored = restore_standby(row)
            step = restored.review(now)
            if step.take:
                store = max(store + 1, step.take) if rules.fenced else step.take
                restored.epoch_taken(store)
            planners[index] = planner_row(True, restored, row[5])
    edges = []
    for row in state.edges:
        restored = restore_followed(row)
        plan = rules.current(restored, now)
        edges.append((restored.highest_rank, plan.rank if plan else None, restored.received_ms))
    return State(state.tick + 1, store, tuple(planners), tuple(edges), state.in_flight)


def find_violation(before: State, after: State) -> str | None:
    """The rule that this step violates, if any."""
    now = after.tick * TICK_MS
    for edge in EDGES:
        if after.edges[edge][0] < before.edges[edge][0]:
            return f"edge {edge} went back from {before.edges[edge][0]} to {after.edges[edge][0]}"
        old, new = before.edges[edge][1], after.edges[edge][1]
        if new is not None and new != old and new <= before.edges[edge][0]:
            return f"edge {edge} follows {new}, it had seen {before.edges[edge][0]}"
        if new is not None and now - after.edges[edge][2] >= LEASE_MS and after.tick > before.tick:
            return f"edge {edge} follows {new} past its lease"
    leading_epochs = [row[2] for row in after.planners if row[0] and row[1] == LEADS and row[2] == after.store]
    return f"two planners plan under epoch {leading_epochs[0]}" if len(leading_epochs) == 2 else None


def settles(state: State, rules: Rules) -> bool:
    """True if both edges come to follow one planner, given that messages get through from here on and a planner is alive."""
    if not any(row[0] for row in state.planners):
        return True
    state = state._replace(in_flight=())
    for tick in range(SETTLE_TICKS):
        now = state.tick * TICK_MS
        for index, name in enumerate(PLANNERS):
            alive, role, epoch, _, _, version = state.planners[index]
            if alive and role == LEADS and rules.fenced and epoch != state.store:
                fenced = restore_standby(state.planners[index])
                fenced.fenced(now)
                state = state._replace(planners=replace_row(state.planners, index, planner_row(True, fenced, version)))
            if not alive or role != LEADS or rules.fenced and epoch != state.store:
                continue
            rank, edges, planners = (epoch, name, version + 1), [], list(state.planners)
            for row in state.edges:
                restored = restore_followed(row)
                rules.offer(restored, plan_with_rank(rank), now)
                edges.append((restored.highest_rank, restored.plan.rank if restored.plan else None, restored.received_ms))
            for other, row in enumerate(planners):
                restored = restore_standby(row)
                restored.plan_seen(epoch, now)
                planners[other] = planner_row(row[0], restored if other != index else restore_standby(row), row[5] + (other == index))
            state = state._replace(edges=tuple(edges), planners=tuple(planners))
        followed_ranks = [row[1] for row in state.edges]
        if tick and None not in followed_ranks and len({rank[:2] for rank in followed_ranks}) == 1:
            return True
        state = pass_time(state, rules)
    return False


def check(rules: Rules = Rules(), max_states: int = 60_000) -> Outcome:
    """Visits the states within the bounds, breadth first, at most `max_states` of them."""
    first = start()
    reached_from: dict[State, tuple[State, str] | None] = {first: None}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        if not settles(state, rules):
            return Outcome(len(reached_from), "the edges do not come to follow one planner", trace(reached_from, state))
        for name, after in successors(state, rules):
            violation = find_violation(state, after)
            if violation is not None:
                return Outcome(len(reached_from), violation, trace(reached_from, state) + (name,))
            if after not in reached_from and len(reached_from) < max_states:
                reached_from[after] = state, name
                queue.append(after)
    return Outcome(len(reached_from), None, ())


def trace(reached_from: dict, state: State) -> tuple[str, ...]:
    """The steps from the initial state to this one."""
    steps = []
    while reached_from[state] is not None:
        state, name = reached_from[state]
        steps.append(name)
    return tuple(reversed(steps))

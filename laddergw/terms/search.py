"""Searches the courses that a play can take under given terms for a counterexample: two allocations out at once, or no answer in time.

The search is explicit-state model checking. It runs the director's own state machines (machines/play.py, machines/allocation.py) against everything that nodes, network and viewer
can do at each step, each at its worst moment: a set-up refused, without a connection, silent, or cut after its last byte; a release acknowledged or lost; a node that drains while a
set-up waits; a director that dies, a viewer that leaves, a viewer that retries at once at a director that knows nothing of the first. The viewer's attempts and the states are bounded.

The alternative was a solver of timing inequalities (z3). Inequalities would be a second description beside the state machine and could differ from it; here the machine itself
is run, and a counterexample can be replayed on a real director. States that differ only in how they were reached are visited once.
"""
from typing import NamedTuple

from laddergw.machines.allocation import Allocation, AllocationActions
from laddergw.machines.play import PlayState, PlayTerms

MAX_VIEWER_ATTEMPTS = 2    # a third attempt meets nothing that a second has not met
MAX_STATES = 20_000        # of one search: five attempts need a few thousand
MIN_DELIVERY_MS = 0.5      # shortest time of a message between processes: what the model lets happen at the same moment breaks no rule
SHORT_WAIT_SHARE = 0.6     # of the time limit: a viewer that waits less than it may
SETUP_BYTES = 9            # size of a set-up; any other would do


class SearchTerms(NamedTuple):
    """The terms of one search. `max_allocations`: the deployment's bound on a play."""
    play: PlayTerms
    retry_safety: str
    margin_ms: float
    max_allocations: int


class Counterexample(NamedTuple):
    """A course of a play that breaks a rule. Its timeline is (ms, text), with the play's first request at 0."""
    rule: str
    description: str
    timeline: tuple[tuple[float, str], ...]
    moves: tuple[str, ...]          # of nodes, network and viewer, in order
    wait_ms: float                  # the viewer's own time limit


class SearchReport(NamedTuple):
    """The result of a search. `longest_timeline`: the one with the latest answer among those that break no rule."""
    counterexample: Counterexample | None
    states: int
    is_complete: bool               # the bound on states was not reached
    longest_timeline: tuple[tuple[float, str], ...]


class SearchState:
    """A state between steps: the viewer's current attempt, and until when nodes may hold allocations of the play. `timeline` is a linked
    list of (earlier, (ms, text)), the latest first."""
    __slots__ = ("now", "requested_at", "wait_ms", "viewer_attempts", "play", "held_until", "timeline", "moves")

    def __init__(self, now: float, requested_at: float, wait_ms: float, viewer_attempts: int, play: PlayState | None, held_until: tuple[float, ...], timeline: tuple, moves: tuple[str, ...]):
        self.now, self.requested_at, self.wait_ms, self.viewer_attempts = now, requested_at, wait_ms, viewer_attempts
        self.play, self.held_until, self.timeline, self.moves = play, held_until, timeline, moves

    def then(self, text: str = "", move: str = "", now: float | None = None, play: PlayState | None = None, held_until: tuple[float, ...] | None = None) -> "SearchState":
        """The next state: at `now`, after the event that `text` describes and the move that led to it."""
        at_ms = self.now if now is None else now
        return SearchState(at_ms, self.requested_at, self.wait_ms, self.viewer_attempts, play or self.play, self.held_until if held_until is None else held_until,
                           (self.timeline, (at_ms, text)) if text else self.timeline, self.moves + (move,) if move else self.moves)


def unwind(timeline: tuple) -> tuple[tuple[float, str], ...]:
    """The lines of a state's timeline in order of time."""
    lines = []
    while timeline:
        timeline, line = timeline
        lines.append(line)
    return tuple(sorted(reversed(lines), key=lambda line: line[0]))


def copy_play(play: PlayState) -> PlayState:
    """A shallow copy, without a call of the constructor."""
    copy = object.__new__(PlayState)
    copy.__dict__.update(play.__dict__)
    return copy


class Search:
    """A depth-first search under one set of terms."""

    def __init__(self, terms: SearchTerms):
        self.terms, self.visited, self.state_count, self.is_complete = terms, set(), 0, True
        self.shortest: Counterexample | None = None      # the one with the fewest moves so far
        self.longest: tuple[float, tuple] = (0.0, ())    # time of the answer in ms, and its timeline
        self.max_allocations = min(terms.play.attempts, terms.max_allocations)

    def run(self) -> SearchReport:
        """Searches with a viewer that waits for the whole time limit, and with one that waits for less."""
        for share in (1.0, SHORT_WAIT_SHARE):
            self.request(SearchState(0.0, 0.0, self.terms.play.time_limit_ms * share, 0, None, (), (), ()))
        return SearchReport(self.shortest, self.state_count, self.is_complete, unwind(self.longest[1]))

    def record_violation(self, found: Counterexample) -> None:
        """Keeps a counterexample if it has the fewest moves so far."""
        if self.shortest is None or len(found.moves) < len(self.shortest.moves):
            self.shortest = found

    # An attempt of the viewer

    def request(self, state: SearchState) -> None:
        """The viewer makes a request, its first or a retry, at a director that knows only its token."""
        if state.viewer_attempts >= MAX_VIEWER_ATTEMPTS or self.shortest is not None and len(state.moves) >= len(self.shortest.moves):
            return
        play = PlayState(self.terms.play, self.terms.retry_safety, state.now, max(0.0, state.wait_ms - self.terms.margin_ms), self.terms.margin_ms)
        held_until = tuple(until for until in state.held_until if until > state.now)
        text = "the viewer asks again, at another director" if state.viewer_attempts else f"the viewer asks, and waits {state.wait_ms:g} ms"
        self.choose_node(SearchState(state.now, state.now, state.wait_ms, state.viewer_attempts + 1, play, held_until, (state.timeline, (state.now, text)), state.moves))

    def choose_node(self, state: SearchState) -> bool | None:
        """The controller chooses a node whenever it is asked; the play decides how often that is."""
        now, play = state.now, state.play
        key = (round(now - state.requested_at, 3), state.viewer_attempts, play.allocations_made, play.may_have_run, state.wait_ms,
               tuple(sorted(round(until - now, 3) for until in state.held_until if until > now)))
        if key in self.visited:
            return
        self.visited.add(key)
        self.state_count += 1
        if self.state_count > MAX_STATES:
            self.is_complete = False
            return
        if play.may_have_run and play.retry_safety == "paid":      # the controller refuses a retry, and so does the token of a viewer that comes back
            return self.record_answer(state.then("it may have run, and is paid: failed"))
        if play.allocations_exhausted() or play.allocations_made >= self.max_allocations:
            return self.answer(state.then("no attempts are left: declined"))
        if now >= play.answer_deadline:
            return self.answer(state.then("the time limit is near: failed"))
        play = copy_play(play)
        pause = play.next_pause_ms()
        allocation = play.allocate("a", 1, play.allocations_made, 0, float("inf"), now)
        if allocation.set_up_deadline - now - pause <= 0:
            return self.answer(state.then("no time is left for an allocation: declined"))
        if now + pause >= play.answer_deadline:
            return self.answer(state.then("the time limit is near: failed", now=play.answer_deadline))
        if not pause:
            return self.send_setup(state.then(play=play), allocation)
        state = state.then(f"a pause of {pause:g} ms before allocation {play.allocations_made}", play=play)
        self.end_allocation(state.then("its node drains: the allocation is withdrawn", "drains", now + pause), copy_allocation(allocation).withdrawn())
        return self.send_setup(state.then(now=now + pause), allocation)

    def send_setup(self, state: SearchState, allocation: Allocation) -> None:
        """Sends the set-up and follows each of its possible outcomes."""
        now, terms, number = state.now, self.terms.play, state.play.allocations_made
        name = f"set-up {number}"
        refused = copy_allocation(allocation)
        refused.sent()
        self.end_allocation(state.then(f"{name}: refused at once", "refused"), refused.answered(now, 503, True))
        unconnected = copy_allocation(allocation)
        connect_deadline = min(now + terms.connect_ms, allocation.set_up_deadline)
        if connect_deadline < state.play.answer_deadline:
            self.end_allocation(state.then(f"{name}: no connection within {connect_deadline - now:g} ms", "no connection", connect_deadline), unconnected.timed_out(connect_deadline, 0, SETUP_BYTES))
        held = self.accept(state, allocation, name)
        if held is None:
            return
        cut = copy_allocation(allocation)
        cut.sent()
        step = cut.connection_lost(SETUP_BYTES, SETUP_BYTES)
        self.release(held.then(f"{name}: accepted by its node, then the connection breaks", "cut"), cut, step)
        silent = copy_allocation(allocation)
        silent.sent()
        if allocation.set_up_deadline < state.play.answer_deadline:
            step = silent.timed_out(allocation.set_up_deadline, SETUP_BYTES, SETUP_BYTES)
            self.release(held.then(f"{name}: no answer by its time-out", "silent", allocation.set_up_deadline), silent, step)
        else:
            self.answer(held.then("the time limit is near: failed, the set-up is cancelled", "silent", state.play.answer_deadline))
        self.interrupt(held, allocation)

    def accept(self, state: SearchState, allocation: Allocation, name: str) -> SearchState | None:
        """A node accepts the set-up and holds it until its lease ends, or a release arrives before. None if another node may still hold the play."""
        for until in state.held_until:
            if until > state.now + MIN_DELIVERY_MS:
                violated = state.then(f"{name}: a second node accepts the play, the first may hold it until {until:g} ms")
                return self.record_violation(Counterexample("once", f"two allocations out for {until - state.now:g} ms", unwind(violated.timeline), state.moves + ("taken",), state.wait_ms))
        return state.then(f"{name}: sent, its lease ends at {allocation.lease_ends_at:g} ms", held_until=state.held_until + (allocation.lease_ends_at,))

    def interrupt(self, held: SearchState, allocation: Allocation) -> None:
        """The viewer leaves or the director dies while the set-up is out. The viewer knows how long the attempt may be unsettled, and waits so long."""
        settled_at = held.requested_at + held.wait_ms
        for move, text in (("viewer leaves", "the viewer leaves"), ("director dies", "the director dies")):
            self.request(held.then(text, move).then(now=max(settled_at, held.now)))

    def release(self, state: SearchState, allocation: Allocation, step: AllocationActions) -> None:
        """Sends a release, which is acknowledged at once or never."""
        assert step.release
        acknowledged = copy_allocation(allocation)
        self.end_allocation(state.then("its release is acknowledged", "acknowledged", held_until=state.held_until[:-1]), acknowledged.released(True))
        unacknowledged = copy_allocation(allocation)
        deadline = unacknowledged.set_release_deadline(state.now)
        ended_at = max(deadline, state.now)
        if ended_at < state.play.answer_deadline:
            self.end_allocation(state.then(f"its release is not acknowledged: the allocation counts as ended at {ended_at:g} ms", "release lost", ended_at), unacknowledged.lease_expired(ended_at))
        else:
            self.answer(state.then("the time limit is near: failed", "release lost", state.play.answer_deadline))

    def end_allocation(self, state: SearchState, step: AllocationActions) -> None:
        """An allocation has ended: another one may follow."""
        if step.ended is None:
            return
        play = copy_play(state.play)
        play.allocation_ended(step.ended)
        self.choose_node(state.then(play=play))

    def record_answer(self, state: SearchState) -> bool:
        """Records an answer; returns True if it comes after the viewer's limit."""
        limit = state.requested_at + state.wait_ms
        if state.now > limit:
            self.record_violation(Counterexample("answers", f"answered {state.now - limit:g} ms past the limit", unwind(state.timeline), state.moves, state.wait_ms))
        elif state.now - state.requested_at >= self.longest[0] and state.viewer_attempts == 1:
            self.longest = state.now - state.requested_at, state.timeline
        return state.now > limit

    def answer(self, state: SearchState) -> None:
        """The viewer has its answer, and retries as soon as it may."""
        if self.record_answer(state):
            return
        if state.play.retry_safety == "paid" and state.play.allocations_made and state.held_until:
            return                               # a set-up may have run: its token rules out a retry at any director
        self.request(state.then(move="comes again", now=state.now + state.play.terms.retry_after_ms[0]))


def copy_allocation(allocation: Allocation) -> Allocation:
    """A shallow copy, without a call of the constructor."""
    copy = object.__new__(Allocation)
    copy.__dict__.update(allocation.__dict__)
    return copy


def search(terms: SearchTerms) -> SearchReport:
    """Searches all courses of a play under these terms, within the bounds."""
    return Search(terms).run()


def canonical_terms(terms: SearchTerms) -> SearchTerms:
    """The terms without the fields that no search depends on, so that routes which differ only in those share one search."""
    play = terms.play._replace(first_frame_ms=0.0, first_segment_ms=0.0, read_copies=0, copy_after_ms=0.0, viewer_tries=1,
                               retry_after_ms=(terms.play.retry_after_ms[0], 0.0), attempts=min(terms.play.attempts, terms.max_allocations))
    return terms._replace(play=play, retry_safety="paid" if terms.retry_safety == "paid" else "safe")

"""Searches the lives that a play can have under given terms for one in which it has two allocations out, or no answer in time.

The search runs the machines that the director runs (machines/play.py, machines/allocation.py) against all that nodes, network and viewer can do at each step, each at
its worst moment: a set-up refused, without a connection, silent, cut after its last byte; a release acknowledged or lost; a node that drains while a set-up waits; a
director that dies, a viewer that leaves, a viewer that comes again at once, to a director that knows nothing of the first. Bounded in viewer's tries and states.

Weighed against a solver of timing inequalities (z3): the inequalities would be written beside the machine and could say something else than it does; here the machine itself
is run, and a break is a life that can be played through the real director. States that differ only in how they were reached are looked at once.
"""
from typing import NamedTuple

from laddergw.machines.allocation import Allocation, AllocationActions
from laddergw.machines.play import PlayState, PlayTerms

TRIES_MOST = 2             # of one viewer: what a third meets, a second has met
STATES_MOST = 20_000       # of one search: five attempts need a few thousand
WAY_MS = 0.5               # a message from process to process, at least: what the model lets pass at once does not break a rule
SHORT_PART = 0.6           # of the time limit: a viewer that waits less than it may
BYTES = 9                  # of a set-up, as good as any


class SearchTerms(NamedTuple):
    """What one search is about. `attempts`: the deployment's bound."""
    play: PlayTerms
    repeat: str
    margin_ms: float
    attempts: int


class Counterexample(NamedTuple):
    """A life that breaks a rule: rule, what happens, and the life as (ms, words), the play's first request at 0."""
    rule: str
    description: str
    timeline: tuple[tuple[float, str], ...]
    moves: tuple[str, ...]          # what nodes, network and viewer did, in order
    wait_ms: float                  # the viewer's own wait


class SearchReport(NamedTuple):
    """What a search came to. `longest_timeline`: the longest life without a break, by its end."""
    counterexample: Counterexample | None
    states: int
    is_complete: bool               # the bound on states was not met
    longest_timeline: tuple[tuple[float, str], ...]


class SearchState:
    """A moment between steps: the try's life, and what nodes may hold of the play, until when. `told` is a chain of (before, (ms,
    words)), newest first."""
    __slots__ = ("now", "asked_at", "wait_ms", "tries", "life", "holds", "told", "moves")

    def __init__(self, now: float, asked_at: float, wait_ms: float, tries: int, life: PlayState | None, holds: tuple[float, ...], told: tuple, moves: tuple[str, ...]):
        self.now, self.asked_at, self.wait_ms, self.tries = now, asked_at, wait_ms, tries
        self.life, self.holds, self.told, self.moves = life, holds, told, moves

    def then(self, words: str = "", move: str = "", now: float | None = None, life: PlayState | None = None, holds: tuple[float, ...] | None = None) -> "SearchState":
        """The moment that follows: at `now`, with what happened in words, and whose move it was."""
        when = self.now if now is None else now
        return SearchState(when, self.asked_at, self.wait_ms, self.tries, life or self.life, self.holds if holds is None else holds,
                     (self.told, (when, words)) if words else self.told, self.moves + (move,) if move else self.moves)


def unwind(told: tuple) -> tuple[tuple[float, str], ...]:
    lines = []
    while told:
        told, line = told
        lines.append(line)
    return tuple(sorted(reversed(lines), key=lambda line: line[0]))


def copy_of(life: PlayState) -> PlayState:
    other = object.__new__(PlayState)
    other.__dict__.update(life.__dict__)
    return other


class Search:
    """One set of terms."""

    def __init__(self, terms: SearchTerms):
        self.terms, self.seen, self.states, self.whole = terms, set(), 0, True
        self.found: Counterexample | None = None         # the break with the fewest moves so far
        self.longest: tuple[float, tuple] = (0.0, ())
        self.attempts = min(terms.play.attempts, terms.attempts)

    def run(self) -> SearchReport:
        for part in (1.0, SHORT_PART):
            self.ask(SearchState(0.0, 0.0, self.terms.play.time_limit_ms * part, 0, None, (), (), ()))
        return SearchReport(self.found, self.states, self.whole, unwind(self.longest[1]))

    def breaks(self, seen: Counterexample) -> None:
        if self.found is None or len(seen.moves) < len(self.found.moves):
            self.found = seen

    # A try

    def ask(self, world: SearchState) -> None:
        """The viewer asks, a first time or again, at a director that knows its token only."""
        if world.tries >= TRIES_MOST or self.found is not None and len(world.moves) >= len(self.found.moves):
            return
        life = PlayState(self.terms.play, self.terms.repeat, world.now, max(0.0, world.wait_ms - self.terms.margin_ms), self.terms.margin_ms)
        holds = tuple(until for until in world.holds if until > world.now)
        words = "the viewer asks again, at another director" if world.tries else f"the viewer asks, and waits {world.wait_ms:g} ms"
        self.choose(SearchState(world.now, world.now, world.wait_ms, world.tries + 1, life, holds, (world.told, (world.now, words)), world.moves))

    def choose(self, world: SearchState) -> bool | None:
        """The module chooses a node, as often as it is asked; how often that is, the life says."""
        now, life = world.now, world.life
        key = (round(now - world.asked_at, 3), world.tries, life.attempts_made, life.may_have_run, world.wait_ms,
               tuple(sorted(round(until - now, 3) for until in world.holds if until > now)))
        if key in self.seen:
            return
        self.seen.add(key)
        self.states += 1
        if self.states > STATES_MOST:
            self.whole = False
            return
        if life.may_have_run and life.retry_safety == "paid":      # the module bars it, and so does the token of a viewer that comes again
            return self.late(world.then("it may have run, and is paid: failed"))
        if life.attempts_exhausted() or life.attempts_made >= self.attempts:
            return self.answered(world.then("attempts are spent: declined"))
        if now >= life.answer_deadline:
            return self.answered(world.then("the time limit is near: failed"))
        life = copy_of(life)
        pause = life.next_pause_ms()
        a = life.allocate("a", 1, life.attempts_made, 0, float("inf"), now)
        if a.set_up_deadline - now - pause <= 0:
            return self.answered(world.then("no time is left for an allocation: declined"))
        if now + pause >= life.answer_deadline:
            return self.answered(world.then("the time limit is near: failed", now=life.answer_deadline))
        if not pause:
            return self.send(world.then(life=life), a)
        world = world.then(f"a pause of {pause:g} ms before allocation {life.attempts_made}", life=life)
        self.over(world.then("its node drains: it is taken back", "drains", now + pause), again(a).withdrawn())
        return self.send(world.then(now=now + pause), a)

    def send(self, world: SearchState, a: Allocation) -> None:
        """The set-up goes out: all that can become of it."""
        now, terms, number = world.now, self.terms.play, world.life.attempts_made
        name = f"set-up {number}"
        refused = again(a)
        refused.sent()
        self.over(world.then(f"{name}: refused at once", "refused"), refused.answered(now, 503, True))
        unmet = again(a)
        late = min(now + terms.connect_ms, a.set_up_deadline)
        if late < world.life.answer_deadline:
            self.over(world.then(f"{name}: no connection within {late - now:g} ms", "no connection", late), unmet.timed_out(late, 0, BYTES))
        held = self.hold(world, a, name)
        if held is None:
            return
        cut = again(a)
        cut.sent()
        step = cut.connection_lost(BYTES, BYTES)
        self.given_up(held.then(f"{name}: taken by its node, then the connection breaks", "cut"), cut, step)
        silent = again(a)
        silent.sent()
        if a.set_up_deadline < world.life.answer_deadline:
            step = silent.timed_out(a.set_up_deadline, BYTES, BYTES)
            self.given_up(held.then(f"{name}: no answer by its time-out", "silent", a.set_up_deadline), silent, step)
        else:
            self.answered(held.then("the time limit is near: failed, the set-up is given up", "silent", world.life.answer_deadline))
        self.gone(held, a)

    def hold(self, world: SearchState, a: Allocation, name: str) -> SearchState | None:
        """A node takes it, and holds it until its lease ends unless a release reaches it before. None: it was one too many."""
        for until in world.holds:
            if until > world.now + WAY_MS:
                told = world.then(f"{name}: a second node takes the play, the first may hold it until {until:g} ms")
                return self.breaks(Counterexample("once", f"two allocations out for {until - world.now:g} ms", unwind(told.told), world.moves + ("taken",), world.wait_ms))
        return world.then(f"{name}: sent, its lease ends at {a.lease_ends_at:g} ms", holds=world.holds + (a.lease_ends_at,))

    def gone(self, held: SearchState, a: Allocation) -> None:
        """While it is out its viewer leaves, or its director dies: the viewer knows how long the try may be unsettled, and waits."""
        settled = held.asked_at + held.wait_ms
        for move, words in (("viewer leaves", "the viewer leaves"), ("director dies", "the director dies")):
            self.ask(held.then(words, move).then(now=max(settled, held.now)))

    def given_up(self, world: SearchState, a: Allocation, step: AllocationActions) -> None:
        """A release goes out: it is acknowledged at once, or never."""
        assert step.release
        acked = again(a)
        self.over(world.then("its release is acknowledged", "acknowledged", holds=world.holds[:-1]), acked.released(True))
        lost = again(a)
        by = lost.set_release_deadline(world.now)
        over = max(by, world.now)
        if over < world.life.answer_deadline:
            self.over(world.then(f"its release is not acknowledged: it counts as over at {over:g} ms", "release lost", over), lost.lease_expired(over))
        else:
            self.answered(world.then("the time limit is near: failed", "release lost", world.life.answer_deadline))

    def over(self, world: SearchState, step: AllocationActions) -> None:
        """An allocation is over: another may be had."""
        if step.ended is None:
            return
        life = copy_of(world.life)
        life.allocation_ended(step.ended)
        self.choose(world.then(life=life))

    def late(self, world: SearchState) -> bool:
        """An answer goes out: whether it is past the viewer's limit."""
        limit = world.asked_at + world.wait_ms
        if world.now > limit:
            self.breaks(Counterexample("answers", f"answered {world.now - limit:g} ms past the limit", unwind(world.told), world.moves, world.wait_ms))
        elif world.now - world.asked_at >= self.longest[0] and world.tries == 1:
            self.longest = world.now - world.asked_at, world.told
        return world.now > limit

    def answered(self, world: SearchState) -> None:
        """The viewer has its answer, and comes again as soon as it may."""
        if self.late(world):
            return
        if world.life.retry_safety == "paid" and world.life.attempts_made and world.holds:
            return                               # a set-up may have run: its token bars it everywhere
        self.ask(world.then(move="comes again", now=world.now + world.life.terms.retry_after_ms[0]))


def again(a: Allocation) -> Allocation:
    other = object.__new__(Allocation)
    other.__dict__.update(a.__dict__)
    return other


def search(terms: SearchTerms) -> SearchReport:
    """All lives under these terms, within the bounds."""
    return Search(terms).run()


def canonical_terms(terms: SearchTerms) -> SearchTerms:
    """Terms without what no life depends on, so that routes which differ in that share a search."""
    play = terms.play._replace(first_frame_ms=0.0, first_segment_ms=0.0, read_copies=0, copy_after_ms=0.0, viewer_tries=1,
                               retry_after_ms=(terms.play.retry_after_ms[0], 0.0), attempts=min(terms.play.attempts, terms.attempts))
    return terms._replace(play=play, repeat="paid" if terms.repeat == "paid" else "safe")

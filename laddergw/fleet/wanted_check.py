"""A model checker for wanted versions: two planners that share a store, two directors, offers and files that are lost, late and out of order, stores restored from a backup,
and processes that restart. It runs the functions of the program itself: FileReceiver, Rollout.may_try and record_sent, and next_number.

Invariants of every state: a number has one content wherever it came into force; no director obeys a planner of an older epoch than one that it has obeyed; no director is
sent the whole file of a want a third time; and of a halted want nothing comes into force that was not in flight by then. Mistakes passed in `Rules` must be found.
"""
from hashlib import sha256
from typing import Callable, Iterator, NamedTuple

from laddergw.fleet import breadth_first_search
from laddergw.fleet.file_transfer import IN_FORCE, FileReceiver, Offer, Outcome
from laddergw.fleet.wanted import GOING, HALTED, NUMBERS_PER_EPOCH, MAX_SENDS, ProcessProgress, Rollout, Want, next_number

TEXTS = (b"(limits one)", b"(limits two)")


class Rules(NamedTuple):
    """The functions that are checked, and the bounds of the search; tests pass in mistakes.

    `number`: the number of a new want, from the epoch and the highest number known; `fenced`: a planner that lost the store offers nothing; `in_flight`: messages at
    most; `lives`: processes of one director; `wants`: in one epoch.
    """
    handle_offer: Callable = FileReceiver.handle_offer
    may_try: Callable = Rollout.may_try
    number: Callable = next_number
    fenced: bool = True
    directors: int = 2
    in_flight: int = 2
    lives: int = 3
    epochs: int = 3
    wants: int = 2


class State(NamedTuple):
    """`store`: its epoch and its want, as number, text, state and, by director, the lives that were sent it; `planners`: the epoch of each, and the store's want as it
    read it; `directors`: life, highest epoch obeyed, offer held, checking, outcome, what is in force as number and text; `in_flight`: what may still arrive."""
    store: tuple
    planners: tuple
    directors: tuple
    in_flight: tuple
    broken: str = ""


def start(rules: Rules = Rules()) -> State:
    """Returns the first state: planner 0 owns the store, and nothing is wanted."""
    return State((1, None), ((1, None), (0, None)), ((1, 0, None, False, Outcome(), None),) * rules.directors, ())


def receiver_of(row: tuple) -> FileReceiver:
    """Returns a FileReceiver that holds a director's values."""
    made = FileReceiver()
    made.kinds = ("limits",)
    _, made.epoch, made.offer, made.checking, made.outcome, _ = row
    return made


def to_row(row: tuple, made: FileReceiver, on: tuple | None) -> tuple:
    """Returns a director's values after its FileReceiver changed."""
    return row[0], made.epoch, made.offer, made.checking, made.outcome, on


def offer(epoch: int, number: int, text: int) -> Offer:
    """Returns the offer of one of TEXTS."""
    data = TEXTS[text]
    return Offer(epoch, "limits", number, f"v{text}", sha256(data).hexdigest(), len(data))


def rollout(want: tuple) -> Rollout:
    """Returns a Rollout that holds the values of a want."""
    number, text, state, sent = want
    return Rollout(Want("limits", number, f"v{text}", "", 1), 0.0, 0, state, "", {f"d{d}": [f"d{d}-{life}" for life in lives] for d, lives in enumerate(sent) if lives})


def to_want(made: Rollout, want: tuple) -> tuple:
    """Returns the values of a want after its Rollout changed."""
    lives = tuple(tuple(int(name.partition("-")[2]) for name in made.sent.get(f"d{d}", ())) for d in range(len(want[3])))
    return want[:3] + (lives,)


def put(rows: tuple, position: int, row) -> tuple:
    """Returns the rows with one of them replaced."""
    return rows[:position] + (row,) + rows[position + 1:]


def moves(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yields everything that can happen next, with the state that follows."""
    epoch, want = state.store
    for position, (mine, known) in enumerate(state.planners):
        is_owner = mine == epoch
        if is_owner:
            yield from owner_moves(state, rules, position)
        elif epoch < rules.epochs:
            yield f"planner {position} takes the store", state._replace(store=(epoch + 1, want), planners=put(state.planners, position, (epoch + 1, want)))
        if (is_owner or not rules.fenced) and known is not None and known[2] == GOING and len(state.in_flight) < rules.in_flight:
            for director, row in enumerate(state.directors):
                progress = ProcessProgress(f"d{director}", f"d{director}-{row[0]}", 0, True, 0.0, "", True)
                if rules.may_try(rollout(known), progress) and row[4].number != known[0]:
                    sent = ("offer", director, row[0], position, mine, known[0], known[1])
                    yield f"planner {position} offers {known[:2]} to {director}", state._replace(in_flight=tuple(sorted(state.in_flight + (sent,))))
    for director, row in enumerate(state.directors):
        if row[0] < rules.lives:
            yield f"director {director} restarts", state._replace(directors=put(state.directors, director, (row[0] + 1, 0, None, False, Outcome(), row[5])))
    for index, message in enumerate(state.in_flight):
        rest = state._replace(in_flight=state.in_flight[:index] + state.in_flight[index + 1:])
        yield f"{message[:2]} is lost", rest
        # A connection ends with the process that it leads to.
        if state.directors[message[1]][0] == message[2]:
            yield from arrive(rest, rules, message)


def owner_moves(state: State, rules: Rules, position: int) -> Iterator[tuple[str, State]]:
    """Yields what the planner that owns the store can do."""
    epoch, want = state.store
    reported_numbers = [d[4].number or (d[2].number if d[2] is not None else 0) for d in state.directors]
    number = rules.number(epoch, max(want[0] if want else 0, *reported_numbers))
    if (number - 1) % NUMBERS_PER_EPOCH < rules.wants and (want is None or want[2] == HALTED):
        for text in range(len(TEXTS)):
            new = (number, text, GOING, ((),) * len(state.directors))
            yield f"planner {position} wants {number} as text {text}", state._replace(store=(epoch, new), planners=put(state.planners, position, (epoch, new)))
    if want is not None and want[2] == GOING:
        halted = want[:2] + (HALTED,) + want[3:]
        yield f"planner {position} halts", state._replace(store=(epoch, halted), planners=put(state.planners, position, (epoch, halted)))
    if want is not None and epoch < rules.epochs:
        yield "the store is restored from a backup", state._replace(store=(epoch + 1, None), planners=put(state.planners, position, (epoch + 1, None)))


def arrive(state: State, rules: Rules, message: tuple) -> Iterator[tuple[str, State]]:
    """Yields what the arrival of a message at its director leads to."""
    kind, director, life, position, epoch, number, text = message
    row, broken = state.directors[director], ""
    made = receiver_of(row)
    if kind == "offer":
        before = row[1]
        fetch = rules.handle_offer(made, offer(epoch, number, text))
        if fetch is not None and epoch < before:
            broken = f"director {director} obeys epoch {epoch} after {before}"
        after = state._replace(directors=put(state.directors, director, to_row(row, made, row[5])), broken=broken)
        mine, known = state.planners[position]
        if fetch is not None and (mine == state.store[0] or not rules.fenced) and known is not None and known[0] == number and known[2] == GOING:
            new = rollout(known)
            new.record_sent(f"d{director}-{life}")
            kept = to_want(new, known)
            if max(map(len, kept[3])) > MAX_SENDS:
                broken = f"director {director} is sent {number} a third time"
            after = after._replace(planners=put(state.planners, position, (mine, kept)), store=(state.store[0], kept if mine == state.store[0] else state.store[1]),
                                   in_flight=tuple(sorted(after.in_flight + (("whole", director, life, position, epoch, number, text),))), broken=broken)
        yield f"{message} arrives", after
        return
    found = made.handle_piece(number, 0, TEXTS[text])
    if isinstance(found, bytes):
        for faults in [], ["refused"]:
            done = receiver_of(to_row(row, made, row[5]))
            done.finish_check(number, faults)
            on = (number, text) if done.outcome.what == IN_FORCE else row[5]
            yield f"{message} arrives, {'refused' if faults else 'in force'}", state._replace(directors=put(state.directors, director, to_row(row, done, on)))
    else:
        yield f"{message} arrives in vain", state._replace(directors=put(state.directors, director, to_row(row, made, row[5])))


def broken(state: State) -> str | None:
    """Returns the violated invariant, or None."""
    on = sorted({row[5] for row in state.directors if row[5] is not None})
    twice = [number for number in {number for number, _ in on} if len([content for content in on if content[0] == number]) > 1]
    return state.broken or (f"number {twice[0]} is two contents" if twice else None)


def check(rules: Rules = Rules(), max_states: int = 60_000) -> breadth_first_search.Outcome:
    """Searches up to `max_states` states; returns the first violation with the steps to it."""
    return breadth_first_search.search(start(rules), lambda state: moves(state, rules), broken, max_states)

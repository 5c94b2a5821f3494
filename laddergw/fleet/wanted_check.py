"""A model checker over wanted versions: two planners that share a store, two directors, offers and files that are lost, late and out of order, stores set back,
processes that begin anew. It runs the functions that the program runs: FileReceiver, Rollout.may_try and record_sent, and the next number.

What must hold in every state: a number is one content wherever it came in force; nobody obeys a planner of an epoch before one that it obeyed; no director is
sent the whole of a want a third time; and nothing of a want that was halted comes in force that was not on its way by then. Mistakes handed in with `Rules` must be found.
"""
from hashlib import sha256
from typing import Callable, Iterator, NamedTuple

from laddergw.fleet import breadth_first_search
from laddergw.fleet.file_transfer import IN_FORCE, FileReceiver, Offer, Outcome
from laddergw.fleet.wanted import GOING, HALTED, NUMBERS_OF_EPOCH, SENT_MOST, Rollout, ProcessProgress, Want, next_number

TEXTS = (b"(limits one)", b"(limits two)")


class Rules(NamedTuple):
    """What the checker runs; a test hands in mistakes."""
    handle_offer: Callable = FileReceiver.handle_offer
    may_try: Callable = Rollout.may_try
    number: Callable = next_number               # of a new want, by the epoch and the highest number known
    fenced: bool = True                          # a planner that lost the store offers nothing
    directors: int = 2
    flying: int = 2                              # messages at most
    lives: int = 3                               # processes of a director
    epochs: int = 3
    wants: int = 2                               # in one epoch


class State(NamedTuple):
    """`store`: epoch, highest number, wants as number, text, state and lives sent to by director; `planners`: the epoch of each, and the store's wants as it read
    them; `directors`: life, highest epoch obeyed, offer held, checking, outcome, in force as number and text; `flying`: what may come still."""
    store: tuple
    planners: tuple
    directors: tuple
    flying: tuple
    broken: str = ""


def start(rules: Rules = Rules()) -> State:
    return State((1, None), ((1, None), (0, None)), ((1, 0, None, False, Outcome(), None),) * rules.directors, ())


def machine(told: tuple) -> FileReceiver:
    made = FileReceiver()
    made.kinds = ("limits",)
    _, made.epoch, made.offer, made.checking, made.outcome, _ = told
    return made


def as_told(told: tuple, made: FileReceiver, on: tuple | None) -> tuple:
    return told[0], made.epoch, made.offer, made.checking, made.outcome, on


def offer(epoch: int, number: int, text: int) -> Offer:
    data = TEXTS[text]
    return Offer(epoch, "limits", number, f"v{text}", sha256(data).hexdigest(), len(data))


def rollout(want: tuple) -> Rollout:
    number, text, state, sent = want
    return Rollout(Want("limits", number, f"v{text}", "", 1), 0.0, 0, state, "", {f"d{d}": [f"d{d}-{life}" for life in lives] for d, lives in enumerate(sent) if lives})


def as_want(made: Rollout, want: tuple) -> tuple:
    lives = tuple(tuple(int(name.partition("-")[2]) for name in made.sent.get(f"d{d}", ())) for d in range(len(want[3])))
    return want[:3] + (lives,)


def put(rows: tuple, place: int, row) -> tuple:
    return rows[:place] + (row,) + rows[place + 1:]


def moves(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """All that can happen next."""
    epoch, want = state.store
    for place, (mine, known) in enumerate(state.planners):
        keeps = mine == epoch
        if keeps:
            yield from keeper_moves(state, rules, place)
        elif epoch < rules.epochs:
            yield f"planner {place} takes the store", state._replace(store=(epoch + 1, want), planners=put(state.planners, place, (epoch + 1, want)))
        if (keeps or not rules.fenced) and known is not None and known[2] == GOING and len(state.flying) < rules.flying:
            for director, told in enumerate(state.directors):
                seat = ProcessProgress(f"d{director}", f"d{director}-{told[0]}", 0, True, 0.0, "", True)
                if rules.may_try(rollout(known), seat) and told[4].number != known[0]:
                    sent = ("offer", director, told[0], place, mine, known[0], known[1])
                    yield f"planner {place} offers {known[:2]} to {director}", state._replace(flying=tuple(sorted(state.flying + (sent,))))
    for director, told in enumerate(state.directors):
        if told[0] < rules.lives:
            yield f"director {director} begins anew", state._replace(directors=put(state.directors, director, (told[0] + 1, 0, None, False, Outcome(), told[5])))
    for index, message in enumerate(state.flying):
        rest = state._replace(flying=state.flying[:index] + state.flying[index + 1:])
        yield f"{message[:2]} is lost", rest
        if state.directors[message[1]][0] == message[2]:         # (a line ends with the process that it led to)
            yield from comes(rest, rules, message)


def keeper_moves(state: State, rules: Rules, place: int) -> Iterator[tuple[str, State]]:
    epoch, want = state.store
    told = [d[4].number or (d[2].number if d[2] is not None else 0) for d in state.directors]
    number = rules.number(epoch, max(want[0] if want else 0, *told))
    if (number - 1) % NUMBERS_OF_EPOCH < rules.wants and (want is None or want[2] == HALTED):
        for text in range(len(TEXTS)):
            new = (number, text, GOING, ((),) * len(state.directors))
            yield f"planner {place} wants {number} as text {text}", state._replace(store=(epoch, new), planners=put(state.planners, place, (epoch, new)))
    if want is not None and want[2] == GOING:
        halted = want[:2] + (HALTED,) + want[3:]
        yield f"planner {place} halts", state._replace(store=(epoch, halted), planners=put(state.planners, place, (epoch, halted)))
    if want is not None and epoch < rules.epochs:
        yield "the store is set back", state._replace(store=(epoch + 1, None), planners=put(state.planners, place, (epoch + 1, None)))


def comes(state: State, rules: Rules, message: tuple) -> Iterator[tuple[str, State]]:
    """A message comes to its director."""
    kind, director, life, place, epoch, number, text = message
    told, broken = state.directors[director], ""
    made = machine(told)
    if kind == "offer":
        before = told[1]
        fetch = rules.handle_offer(made, offer(epoch, number, text))
        if fetch is not None and epoch < before:
            broken = f"director {director} obeys epoch {epoch} after {before}"
        after = state._replace(directors=put(state.directors, director, as_told(told, made, told[5])), broken=broken)
        mine, known = state.planners[place]
        if fetch is not None and (mine == state.store[0] or not rules.fenced) and known is not None and known[0] == number and known[2] == GOING:
            new = rollout(known)
            new.record_sent(f"d{director}-{life}")
            kept = as_want(new, known)
            if max(map(len, kept[3])) > SENT_MOST:
                broken = f"director {director} is sent {number} a third time"
            after = after._replace(planners=put(state.planners, place, (mine, kept)), store=(state.store[0], kept if mine == state.store[0] else state.store[1]),
                                   flying=tuple(sorted(after.flying + (("whole", director, life, place, epoch, number, text),))), broken=broken)
        yield f"{message} comes", after
        return
    found = made.handle_piece(number, 0, TEXTS[text])
    if isinstance(found, bytes):
        for faults in [], ["refused"]:
            done = machine(as_told(told, made, told[5]))
            done.finish_check(number, faults)
            on = (number, text) if done.outcome.what == IN_FORCE else told[5]
            yield f"{message} comes, {'refused' if faults else 'in force'}", state._replace(directors=put(state.directors, director, as_told(told, done, on)))
    else:
        yield f"{message} comes in vain", state._replace(directors=put(state.directors, director, as_told(told, made, told[5])))


def broken(state: State) -> str | None:
    """What does not hold in a state."""
    on = sorted({told[5] for told in state.directors if told[5] is not None})
    twice = [number for number in {number for number, _ in on} if len([row for row in on if row[0] == number]) > 1]
    return state.broken or (f"number {twice[0]} is two contents" if twice else None)


def check(rules: Rules = Rules(), most: int = 60_000) -> breadth_first_search.Outcome:
    """Breadth first, up to so many states; what broke first, with the steps to it."""
    return breadth_first_search.search(start(rules), lambda state: moves(state, rules), broken, most)

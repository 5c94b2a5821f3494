"""A wanted version of a thing and how it is taken out over the fleet: in steps, halted by itself, each director that is behind with its cause. Pure.

A rollout goes to a first few directors, then to shares of all, zone by zone in turn; a step is passed when whoever can be on it has been for a while and does
no worse than the others. It halts at the first refusal, at crashes, and where answers get worse; a halted one sends nothing more, and the way back is to want
the version of before. One kind has one rollout at a time. What it decided is in the journal before anybody is told.
"""
import math
from typing import Iterable, NamedTuple
from zlib import crc32

from laddergw.fleet.file_transfer import IN_FORCE

FIRST = 2                  # directors of the first step: one could be odd by itself
STEP_SHARES = (0.0, 0.1, 0.3, 1.0)      # of all directors, by step; FIRST at least
SOAK_MS = 10_000.0         # that a step stands before the next: plays that began under it have had their answers
SENT_MOST = 2              # times that one director is sent the whole of it: who was brought up twice and is not on it is left alone
CRASHES_LEAST = 2          # directors that began anew while on it
WORSE_BY, WORSE_Z, ANSWERS_LEAST = 0.05, 3.0, 50      # answers that are no play: a share so much higher, by so many standard errors, of so many answers
GRACE_MS = 15_000.0        # from its turn on: then a director that is not on it is called behind
STILL_TOLD_MS = 60_000.0   # so long a stand-still is given as the cause
NUMBERS_OF_EPOCH = 1_000   # wants of one epoch; more run into the next one's, which are above them anyway
GOING, HALTED, DONE = "going", "halted", "done"
UNREACHABLE, REFUSED, CRASHED, OLD, STILL, FILE, TURN, COMING = ("cannot be reached", "refused it", "was brought up and is not on it", "its program does not know the form",
                                                                "stood still", "its own file is at fault", "waits for its turn", "is being brought up")
CAUSES_FOR_OPERATOR = (UNREACHABLE, REFUSED, CRASHED, OLD, STILL, FILE)       # causes that want somebody's eye; the others pass by themselves


class Want(NamedTuple):
    """A version that is wanted. `sha`: of its bytes; `by_ms`: after so long from the start, versions that others are on are forbidden; 0: never."""
    kind: str
    number: int
    hash: str
    sha: str
    size: int
    soak_ms: float = SOAK_MS
    by_ms: float = 0.0


class ProcessProgress(NamedTuple):
    """One director as the planner knows it: its latest process. `on`: hash of the kind in force; `outcome`: what it told of this want, with its error."""
    director: str
    process: str
    zone: int
    heard: bool
    heard_ms: float
    on: str
    takes: bool
    outcome: str = ""
    why: str = ""
    trouble: str = ""
    still_ms: float = 0.0              # of its last stand-still
    still_at: float = -math.inf        # when it was heard again


class Answers(NamedTuple):
    """Plays, and answers that were none."""
    good: int
    bad: int

    def share(self) -> float:
        return self.bad / max(1, self.good + self.bad)


class Step(NamedTuple):
    """What a look came to: processes that may be sent it, whether something must be kept, versions whose time is over."""
    offer: tuple[str, ...]
    keep: bool
    forbid: tuple[str, ...] = ()


def next_number(epoch: int, highest: int) -> int:
    """Of a new want. The epoch is in it, so that a journal that was set back does not give a number again that may still be on its way to somebody."""
    return max(epoch * NUMBERS_OF_EPOCH, highest) + 1


def in_turn(want: Want, seats: Iterable[ProcessProgress]) -> list[ProcessProgress]:
    """Directors in the order in which they get it: drawn within each zone by the version, zones one after the other."""
    found, places = [], {}
    for seat in sorted(seats, key=lambda s: (crc32(f"{want.hash} {s.director}".encode()), s.director)):
        places[seat.zone] = places.get(seat.zone, 0) + 1
        found.append((places[seat.zone], seat.zone, seat))
    return [seat for *_, seat in sorted(found, key=lambda row: row[:2])]


def worse(new: Answers, others: Answers) -> bool:
    """A stated test of two shares."""
    counts = sum(new), sum(others)
    if min(counts) < ANSWERS_LEAST or new.share() - others.share() <= WORSE_BY:
        return False
    both = (new.bad + others.bad) / sum(counts)
    error = math.sqrt(max(both * (1 - both), 1e-9) * (1 / counts[0] + 1 / counts[1]))
    return (new.share() - others.share()) / error > WORSE_Z


class Rollout:
    """One want on its way. What must survive a planner is in `kept`; what it only watches begins anew with the next."""

    def __init__(self, want: Want, now: float, step: int = 0, state: str = GOING, why: str = "", sent: dict[str, list[str]] | None = None, crashed: Iterable[str] = ()):
        self.want, self.step, self.state, self.why, self.sent = want, step, state, why, dict(sent or {})
        self.since = now                             # of this step, or of the takeover
        self.began, self.stood = now, None           # `stood`: since when all of the step are on it
        self.process: dict[str, str] = {}            # of each director that was seen on it: the process
        self.crashed = set(crashed)
        self.ready: dict[str, float] = {}            # since when a director's turn has come

    def as_record(self) -> dict:
        return {"want": list(self.want), "step": self.step, "state": self.state, "why": self.why, "sent": {director: list(told) for director, told in self.sent.items()}, "crashed": sorted(self.crashed)}

    def members(self, seats: list[ProcessProgress]) -> list[ProcessProgress]:
        """Who may be on it by now."""
        return in_turn(self.want, [seat for seat in seats if self.able(seat)])[:max(FIRST, math.ceil(STEP_SHARES[self.step] * len(seats)))]

    def able(self, seat: ProcessProgress) -> bool:
        """Whether it is on it, refused it, or can be brought there: nobody waits for the others."""
        return seat.on == self.want.hash or seat.heard and seat.takes and seat.outcome != IN_FORCE and self.may_try(seat)

    def update(self, seats: list[ProcessProgress], new: Answers, others: Answers, now: float) -> Step:
        """`new`, `others`: answers since it began, under the wanted version and under others."""
        members, before = self.members(seats), (self.step, self.state, len(self.crashed))
        self.watch_processes(seats)
        if self.state == GOING and (why := self.halt_reason(members, seats, new, others)) is not None:
            self.state, self.why = HALTED, why
        if self.state != HALTED:
            self.go_on(members, now)
        offer = () if self.state == HALTED else tuple(seat.process for seat in self.members(seats) if self.may_be_sent(seat, now))
        late = self.want.by_ms and now - self.began >= self.want.by_ms and self.state != HALTED
        forbid = tuple(sorted({seat.on for seat in seats if seat.on and seat.on != self.want.hash})) if late else ()
        return Step(offer, before != (self.step, self.state, len(self.crashed)), forbid)

    def may_try(self, seat: ProcessProgress) -> bool:
        """Not a third process of one director; one that has it already goes on trying."""
        return self.tries(seat.director) < SENT_MOST or seat.process in self.sent[seat.director]

    def watch_processes(self, seats: list[ProcessProgress]) -> None:
        """A director on it whose process is another than before began anew: told it stopped, or it crashed."""
        for seat in seats:
            last = self.process.get(seat.director)
            if last is not None and seat.process != last:
                self.crashed.add(seat.director)
                del self.process[seat.director]
            if seat.heard and seat.on == self.want.hash:
                self.process[seat.director] = seat.process

    def process_stopped(self, director: str) -> None:
        """A director ended as it was told to: what comes next under its name is no crash."""
        self.process.pop(director, None)

    def halt_reason(self, members: list[ProcessProgress], seats: list[ProcessProgress], new: Answers, others: Answers) -> str | None:
        for seat in members:
            if seat.outcome not in ("", IN_FORCE):
                return f"{seat.process} refused it: {seat.why}"
        on = sum(seat.on == self.want.hash for seat in seats)
        if len(self.crashed) >= max(CRASHES_LEAST, math.ceil(0.1 * on)):
            return f"{', '.join(sorted(self.crashed)[:5])} began anew while on it"
        if worse(new, others):
            return f"{new.share():.1%} of {sum(new)} answers under it are no play, {others.share():.1%} of {sum(others)} under others"
        return None

    def go_on(self, members: list[ProcessProgress], now: float) -> None:
        """To the next step once all that can be on it have been so for a while."""
        if not members or any(seat.on != self.want.hash for seat in members):
            self.stood = None
            self.state = GOING if members else self.state
            return
        self.stood = now if self.stood is None else self.stood
        if self.step == len(STEP_SHARES) - 1:
            self.state = DONE
        elif now - self.stood >= self.want.soak_ms:
            self.step, self.since, self.stood = self.step + 1, now, None

    def may_be_sent(self, seat: ProcessProgress, now: float) -> bool:
        if seat.on == self.want.hash:
            self.ready.pop(seat.director, None)
            return False
        self.ready.setdefault(seat.director, now)
        return seat.heard and seat.takes and seat.outcome == "" and self.may_try(seat)

    def record_sent(self, process: str) -> None:
        """The last piece has gone out to it; a second time, as its line broke, is no other try."""
        told = self.sent.setdefault(process.partition("-")[0], [])
        if process not in told:
            told.append(process)

    def tries(self, director: str) -> int:
        return len(self.sent.get(director, ()))

    def cause(self, seat: ProcessProgress, now: float) -> tuple[str, str] | None:
        """Why a director is not on the wanted version, and what else is known; None where it is on it."""
        if seat.on == self.want.hash:
            return None if seat.heard else (UNREACHABLE, f"on it when it was last heard, {(now - seat.heard_ms) / 1000:.1f} s ago")
        if not seat.heard:
            return UNREACHABLE, f"silent since {(now - seat.heard_ms) / 1000:.1f} s ago"
        if seat.outcome == IN_FORCE:
            return FILE, "it was in force there, and its own file was changed since"
        if seat.outcome:
            return REFUSED, f"{seat.outcome}: {seat.why}"
        if not seat.takes:
            return OLD, "no file is taken over the line there: an older program, or one that was started without a limits file"
        if not self.may_try(seat):
            return CRASHED, f"sent {self.tries(seat.director)} times, it is not sent again" + (", began anew while on it" if seat.director in self.crashed else "")
        if now - seat.still_at <= STILL_TOLD_MS:
            return STILL, f"for {seat.still_ms / 1000:.1f} s, until {(now - seat.still_at) / 1000:.1f} s ago"
        due = self.ready.get(seat.director)
        if due is None or self.state == HALTED:
            return TURN, f"the rollout is at step {self.step + 1} of {len(STEP_SHARES)}" + (f", halted: {self.why}" if self.state == HALTED else "")
        if seat.trouble and now - due >= GRACE_MS:
            return FILE, seat.trouble
        return COMING, f"since {(now - due) / 1000:.1f} s"

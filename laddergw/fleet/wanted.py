"""The rollout of a wanted version over the fleet: in steps, halting by itself, with the cause for each director that is behind. Does no input or output.

A rollout goes to a first few directors, then to shares of all, alternating between zones. A step is passed when every director that can be on the version has been on it
for a while and does no worse than the others. It halts at the first refusal, at crashes, and where answers get worse. A halted rollout sends nothing more; the way back
is to want the earlier version. One kind has one rollout at a time. Decisions are in the journal before any director is told.
"""
import math
from typing import Iterable, NamedTuple
from zlib import crc32

from laddergw.fleet.file_transfer import IN_FORCE

# Directors of the first step: a single one could be an exception.
FIRST_STEP_DIRECTORS = 2
# Of all directors, by step; FIRST_STEP_DIRECTORS at least.
STEP_SHARES = (0.0, 0.1, 0.3, 1.0)
# How long a step lasts before the next: plays that began under it have had their answers by then.
SOAK_MS = 10_000.0
# Times that one director is sent the whole file: one that received it twice and is not on it gets it no more.
MAX_SENDS = 2
# Directors that restarted while on it, to halt the rollout.
MIN_CRASHES = 2
# Answers without a play: the share that halts is higher than the others' by this much and by this many standard errors, of at least this many answers on each side.
WORSE_MARGIN, WORSE_Z_SCORE, MIN_ANSWERS = 0.05, 3.0, 50
# After its turn in the rollout, a director that is not on the version is called behind.
GRACE_MS = 15_000.0
# How long a stall is given as the cause.
STALL_REPORTED_MS = 60_000.0
# Wants of one epoch. More of them run into the numbers of the next epoch, whose wants are numbered above them anyway.
NUMBERS_PER_EPOCH = 1_000
GOING, HALTED, DONE = "going", "halted", "done"
UNREACHABLE, REFUSED, CRASHED, UNSUPPORTED, STALLED, FILE, WAITING_FOR_TURN, IN_PROGRESS = (
    "cannot be reached", "refused it", "was brought up and is not on it", "its program does not know the form",
    "stood still", "its own file is at fault", "waits for its turn", "is being brought up")
# Causes that need an operator; the others resolve by themselves.
CAUSES_FOR_OPERATOR = (UNREACHABLE, REFUSED, CRASHED, UNSUPPORTED, STALLED, FILE)


class Want(NamedTuple):
    """A version that is wanted. `sha`: SHA-256 of its bytes; `by_ms`: how long after the start the versions of the other directors are forbidden; 0: never."""
    kind: str
    number: int
    hash: str
    sha: str
    size: int
    soak_ms: float = SOAK_MS
    by_ms: float = 0.0


class ProcessProgress(NamedTuple):
    """One director as the planner knows it: its latest process. `on`: hash of the kind in force; `outcome`, `why`: its report of this want, with its error; `stall_ms`,
    `stall_end`: length of its last stall, and when it was heard again."""
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
    stall_ms: float = 0.0
    stall_end: float = -math.inf


class Answers(NamedTuple):
    """Numbers of answers: `good` with a play, `bad` without."""
    good: int
    bad: int

    def share(self) -> float:
        """Returns the share of answers without a play."""
        return self.bad / max(1, self.good + self.bad)


class Decision(NamedTuple):
    """A decision: processes that may be sent the file, whether the rollout must be written to the journal, versions to forbid."""
    offer: tuple[str, ...]
    keep: bool
    forbid: tuple[str, ...] = ()


def next_number(epoch: int, highest: int) -> int:
    """Returns the number of a new want. It contains the epoch, so that a journal that was restored from a backup does not reuse a number that may still be in flight."""
    return max(epoch * NUMBERS_PER_EPOCH, highest) + 1


def rollout_order(want: Want, all_progress: Iterable[ProcessProgress]) -> list[ProcessProgress]:
    """Returns the directors in the order of the rollout: shuffled within each zone by the version's hash, alternating between zones."""
    ordered, positions = [], {}
    for progress in sorted(all_progress, key=lambda s: (crc32(f"{want.hash} {s.director}".encode()), s.director)):
        positions[progress.zone] = positions.get(progress.zone, 0) + 1
        ordered.append((positions[progress.zone], progress.zone, progress))
    return [progress for *_, progress in sorted(ordered, key=lambda row: row[:2])]


def worse(new: Answers, others: Answers) -> bool:
    """Returns whether the share of bad answers is significantly higher, by a two-proportion z-test."""
    counts = sum(new), sum(others)
    if min(counts) < MIN_ANSWERS or new.share() - others.share() <= WORSE_MARGIN:
        return False
    pooled = (new.bad + others.bad) / sum(counts)
    error = math.sqrt(max(pooled * (1 - pooled), 1e-9) * (1 / counts[0] + 1 / counts[1]))
    return (new.share() - others.share()) / error > WORSE_Z_SCORE


class Rollout:
    """The rollout of one want. `as_record` holds what must survive the planner; what is only observed begins anew with the next one."""

    def __init__(self, want: Want, now: float, step: int = 0, state: str = GOING, why: str = "", sent: dict[str, list[str]] | None = None, crashed: Iterable[str] = ()):
        self.want, self.step, self.state, self.why, self.sent = want, step, state, why, dict(sent or {})
        # Start of this step, or of the takeover.
        self.since = now
        # `complete_since`: since when all members of the step are on it.
        self.began, self.complete_since = now, None
        # The process of each director that was seen on it.
        self.process: dict[str, str] = {}
        self.crashed = set(crashed)
        # Since when it is a director's turn.
        self.ready: dict[str, float] = {}

    def as_record(self) -> dict:
        """Returns the state that the journal keeps."""
        return {"want": list(self.want), "step": self.step, "state": self.state, "why": self.why, "sent": {director: list(processes) for director, processes in self.sent.items()}, "crashed": sorted(self.crashed)}

    def members(self, all_progress: list[ProcessProgress]) -> list[ProcessProgress]:
        """Returns the directors that may be on it by this step."""
        return rollout_order(self.want, [progress for progress in all_progress if self.able(progress)])[:max(FIRST_STEP_DIRECTORS, math.ceil(STEP_SHARES[self.step] * len(all_progress)))]

    def able(self, progress: ProcessProgress) -> bool:
        """Returns whether a director is on it, refused it, or can be sent it; the rollout does not wait for the others."""
        return progress.on == self.want.hash or progress.heard and progress.takes and progress.outcome != IN_FORCE and self.may_try(progress)

    def update(self, all_progress: list[ProcessProgress], new: Answers, others: Answers, now: float) -> Decision:
        """Returns the next decision. `new`, `others`: answers since the start, under the wanted version and under others."""
        members, before = self.members(all_progress), (self.step, self.state, len(self.crashed))
        self.watch_processes(all_progress)
        if self.state == GOING and (why := self.halt_reason(members, all_progress, new, others)) is not None:
            self.state, self.why = HALTED, why
        if self.state != HALTED:
            self.advance(members, now)
        offer = () if self.state == HALTED else tuple(progress.process for progress in self.members(all_progress) if self.may_be_sent(progress, now))
        overdue = self.want.by_ms and now - self.began >= self.want.by_ms and self.state != HALTED
        forbid = tuple(sorted({progress.on for progress in all_progress if progress.on and progress.on != self.want.hash})) if overdue else ()
        return Decision(offer, before != (self.step, self.state, len(self.crashed)), forbid)

    def may_try(self, progress: ProcessProgress) -> bool:
        """Returns whether a director may be sent the file: not to a third process of it, but one that has received it may retry."""
        return self.attempts(progress.director) < MAX_SENDS or progress.process in self.sent[progress.director]

    def watch_processes(self, all_progress: list[ProcessProgress]) -> None:
        """Notes directors on it whose process changed: they restarted, and crashed unless they reported a stop."""
        for progress in all_progress:
            last = self.process.get(progress.director)
            if last is not None and progress.process != last:
                self.crashed.add(progress.director)
                del self.process[progress.director]
            if progress.heard and progress.on == self.want.hash:
                self.process[progress.director] = progress.process

    def process_stopped(self, director: str) -> None:
        """Notes that a director stopped as it was told to: the next process under its name is no crash."""
        self.process.pop(director, None)

    def halt_reason(self, members: list[ProcessProgress], all_progress: list[ProcessProgress], new: Answers, others: Answers) -> str | None:
        """Returns why the rollout must halt, None if it need not."""
        for progress in members:
            if progress.outcome not in ("", IN_FORCE):
                return f"{progress.process} refused it: {progress.why}"
        on = sum(progress.on == self.want.hash for progress in all_progress)
        if len(self.crashed) >= max(MIN_CRASHES, math.ceil(0.1 * on)):
            return f"{', '.join(sorted(self.crashed)[:5])} began anew while on it"
        if worse(new, others):
            return f"{new.share():.1%} of {sum(new)} answers under it are no play, {others.share():.1%} of {sum(others)} under others"
        return None

    def advance(self, members: list[ProcessProgress], now: float) -> None:
        """Goes to the next step once every director that can be on it has been on it for a while."""
        if not members or any(progress.on != self.want.hash for progress in members):
            self.complete_since = None
            self.state = GOING if members else self.state
            return
        self.complete_since = now if self.complete_since is None else self.complete_since
        if self.step == len(STEP_SHARES) - 1:
            self.state = DONE
        elif now - self.complete_since >= self.want.soak_ms:
            self.step, self.since, self.complete_since = self.step + 1, now, None

    def may_be_sent(self, progress: ProcessProgress, now: float) -> bool:
        """Returns whether to send the file to a director whose turn it is."""
        if progress.on == self.want.hash:
            self.ready.pop(progress.director, None)
            return False
        self.ready.setdefault(progress.director, now)
        return progress.heard and progress.takes and progress.outcome == "" and self.may_try(progress)

    def record_sent(self, process: str) -> None:
        """Notes that a process was sent the last piece; a second time, after its connection broke, does not count as another attempt."""
        processes = self.sent.setdefault(process.partition("-")[0], [])
        if process not in processes:
            processes.append(process)

    def attempts(self, director: str) -> int:
        """Returns to how many processes of a director the whole file was sent."""
        return len(self.sent.get(director, ()))

    def cause(self, progress: ProcessProgress, now: float) -> tuple[str, str] | None:
        """Returns why a director is not on the wanted version, with details; None if it is on it and heard."""
        if progress.on == self.want.hash:
            return None if progress.heard else (UNREACHABLE, f"on it when it was last heard, {(now - progress.heard_ms) / 1000:.1f} s ago")
        if not progress.heard:
            return UNREACHABLE, f"silent since {(now - progress.heard_ms) / 1000:.1f} s ago"
        if progress.outcome == IN_FORCE:
            return FILE, "it was in force there, and its own file was changed since"
        if progress.outcome:
            return REFUSED, f"{progress.outcome}: {progress.why}"
        if not progress.takes:
            return UNSUPPORTED, "no file is taken over the line there: an older program, or one that was started without a limits file"
        if not self.may_try(progress):
            return CRASHED, f"sent {self.attempts(progress.director)} times, it is not sent again" + (", began anew while on it" if progress.director in self.crashed else "")
        if now - progress.stall_end <= STALL_REPORTED_MS:
            return STALLED, f"for {progress.stall_ms / 1000:.1f} s, until {(now - progress.stall_end) / 1000:.1f} s ago"
        due = self.ready.get(progress.director)
        if due is None or self.state == HALTED:
            return WAITING_FOR_TURN, f"the rollout is at step {self.step + 1} of {len(STEP_SHARES)}" + (f", halted: {self.why}" if self.state == HALTED else "")
        if progress.trouble and now - due >= GRACE_MS:
            return FILE, progress.trouble
        return IN_PROGRESS, f"since {(now - due) / 1000:.1f} s"

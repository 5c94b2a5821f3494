"""What every loop offers: timers, deferred calls, ends of turns.

Real sockets and memory add their streams.
"""

import logging
import math
from collections import deque
from collections.abc import Callable
from typing import Protocol

from laddergw.loop.timers import HeapTimers, Timer

MAX_TIMERS_PER_TURN = (
    2_000  # calls of timers in one turn: past that the sockets get their turn first
)
MAX_CALLS_PER_TURN = (
    10_000  # deferred calls in one turn: one that asks for itself again ends no turn otherwise
)
# why of a dial that found no process: it proves that nothing is held there
CONNECTION_REFUSED = "Connection refused"
# why of a dial for which this process had none left: it tells nothing of the peer
NO_DESCRIPTOR = "no descriptor"
STALL_MS = (
    100.0  # a turn that comes so much later than it should counts as a stand-still of the process
)
SLOW_TURN_MS = 1_000.0  # a turn that runs so long is logged: its viewers' limits are of this size
SLOW_CALL_MS, SLOW_CALLS = (
    20.0,
    8,
)  # what is told of it: calls that took so long, and so many of them

log = logging.getLogger("laddergw.loop")


class Owner(Protocol):
    """What a stream tells. `why` is None where the peer ended in good order, else a short text."""

    def opened(self, stream) -> None: ...
    def data_received(self, stream, data: bytes) -> None: ...
    def write_buffer_drained(self, stream) -> None: ...
    def closed(self, stream, why: str | None) -> None: ...


class Outgoing:
    """What the streams of every loop share: writes wait in `write_queue`, one entry each."""

    __slots__ = ()

    def withdraw_write(self, data: bytes) -> bool:
        """Takes a write out of the queue, whole.

        False where a byte of it has left: then only `abort` holds back the rest.
        """
        if data not in self.write_queue:
            return False
        self.write_queue.remove(data)
        self.queued -= len(data)
        self.bytes_written -= len(data)
        return True


class BaseLoop:
    """Timers and turns.

    `now` is one reading a turn, ms; `stalled`, mostly 0: so long may what is read now have waited.
    """

    def __init__(self, now: float):
        self.now, self.timers, self.calls = now, HeapTimers(now), deque()
        self.turn_end_calls: list[Callable[[], None]] = []
        self.stall_ms = self.max_lag_ms = 0.0
        # of real sockets: closed ones whose peers have not ended yet, oldest first
        self.lingering: dict = {}
        self.running = True
        self.calls_left, self.mark, self.slow = (
            MAX_CALLS_PER_TURN,
            now,
            [],
        )  # of this turn: calls left, when the last ended, long ones

    def read_clock(self) -> float:
        """The clock itself, for measuring work within a turn; all decisions use `now`."""
        return self.now

    def call_at(self, when: float, call: Callable[[], None]) -> Timer:
        """Raises ValueError for a time that is none: it would be due for good and never called."""
        if when != when:
            raise ValueError("a timer at no time")
        return self.timers.add(when, call)

    def call_later(self, ms: float, call: Callable[[], None]) -> Timer:
        return self.call_at(self.now + ms, call)

    def call_soon(self, call: Callable[[], None]) -> None:
        """Calls it later in this turn, before the ends of the turn."""
        self.calls.append(call)

    def on_turn_end(self, call: Callable[[], None]) -> None:
        """Calls it at the end of every turn, when all that came in this turn is told."""
        self.turn_end_calls.append(call)

    def run_guarded(self, call: Callable, *args) -> None:
        """An error in one call must not end the program: it is logged with its trace and the loop
        goes on.
        """
        try:
            call(*args)
        except Exception:
            log.exception("call failed")
        before, self.mark = self.mark, self.read_clock()
        took = self.mark - before
        if took >= SLOW_CALL_MS:
            self.slow = sorted([*self.slow, (took, callback_name(call))], reverse=True)[:SLOW_CALLS]

    def begin_turn(self) -> None:
        self.calls_left, self.mark, self.slow = MAX_CALLS_PER_TURN, self.now, []

    def run_calls(self) -> None:
        """What is left past the bound comes in the next turn, which waits for nothing."""
        while self.calls and self.calls_left > 0:
            self.calls_left -= 1
            self.run_guarded(self.calls.popleft())

    def run_timers(self) -> None:
        for timer in self.timers.due(self.now, MAX_TIMERS_PER_TURN):
            call, timer.callback = timer.callback, None
            if call is not None:  # a timer of this very turn may have cancelled it
                self.run_guarded(call)
                self.run_calls()

    def end_turn(self) -> None:
        for call in self.turn_end_calls:
            self.run_guarded(call)
            self.run_calls()
        if self.mark - self.now >= SLOW_TURN_MS:
            log.warning(
                "a turn of %.0f ms, %d deferred calls; the longest: %s",
                self.mark - self.now,
                MAX_CALLS_PER_TURN - self.calls_left,
                ", ".join(f"{name} {ms:.0f} ms" for ms, name in self.slow) or "none long by itself",
            )

    def lagged(self, lag: float, gap: float) -> None:
        """A turn came `lag` late, `gap` after the one before: what is read now may have waited all
        of the gap.
        """
        self.stall_ms = gap if lag >= STALL_MS else 0.0
        self.max_lag_ms = max(self.max_lag_ms, lag)

    def stop(self) -> None:
        self.running = False


def wait_ms(now: float, due: float, most: float = math.inf) -> float:
    """How long a loop may wait from `now`, not below nothing."""
    return max(0.0, min(due - now, most))


def callback_name(call: Callable) -> str:
    """What a call is, for the log: its function and line, and of a method whose it is."""
    whose, code = getattr(call, "__self__", None), getattr(call, "__code__", None)
    owner = type(getattr(whose, "owner", None) or whose).__name__ if whose is not None else ""
    name = getattr(call, "__qualname__", type(call).__name__)
    line = f" line {code.co_firstlineno}" if code else ""
    return f"{owner and owner + '/'}{name}{line}"

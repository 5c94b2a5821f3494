"""What every event loop provides: timers, deferred calls, callbacks at the end of a turn.

The loops on real sockets and in memory add their streams.
"""

import logging
import math
from collections import deque
from collections.abc import Callable
from typing import Protocol

from laddergw.loop.timers import HeapTimers, Timer

# timers called in one turn; past that the sockets get their turn first
MAX_TIMERS_PER_TURN = 2_000
# deferred calls in one turn; a call that defers itself again would otherwise never end its turn
MAX_CALLS_PER_TURN = 10_000
# reason of a dial that found no listening process: it proves that the peer holds nothing
CONNECTION_REFUSED = "Connection refused"
# reason of a dial for which this process had no descriptor: it says nothing about the peer
NO_DESCRIPTOR = "no descriptor"
# a turn that comes this much later than it is due counts as a stall of the process
STALL_THRESHOLD_MS = 100.0
# a turn that runs this long is logged: the time limits of its viewers are of this size
SLOW_TURN_MS = 1_000.0
# the log names the calls that took at least SLOW_CALL_MS, and at most MAX_SLOW_CALLS of them
SLOW_CALL_MS, MAX_SLOW_CALLS = 20.0, 8

log = logging.getLogger("laddergw.loop")


class Owner(Protocol):
    """What a stream calls its owner with.

    `opened` comes when the connection is up, `data_received` with data that was read,
    `write_buffer_drained` when all queued writes have left, and `closed` last; its `reason` is None
    after a graceful close, else a short text.
    """

    def opened(self, stream) -> None:
        """Called once the connection is up."""
        ...

    def data_received(self, stream, data: bytes) -> None:
        """Called with data that was read."""
        ...

    def write_buffer_drained(self, stream) -> None:
        """Called when all queued writes were sent."""
        ...

    def closed(self, stream, reason: str | None) -> None:
        """Called last; `reason` is None after a graceful close."""
        ...


class LastReader(Protocol):
    """Reads what arrives on a connection that was closed by us, until its peer closes it too."""

    def last_data_received(self, data: bytes) -> None:
        """Called with data that was read after the close."""
        ...

    def last_data_ended(self) -> None:
        """Called once when nothing more is read, also where the connection ended at once."""
        ...


class QueuedWrites:
    """Shared by the streams of every loop: pending writes are in `write_queue`, one entry each."""

    __slots__ = ()

    def withdraw_write(self, data: bytes) -> bool:
        """Takes a whole write out of the queue.

        False if a byte of it has been sent already: then only `abort` keeps the rest from leaving.
        """
        if data not in self.write_queue:
            return False
        self.write_queue.remove(data)
        self.queued -= len(data)
        self.bytes_written -= len(data)
        return True


class BaseLoop:
    """Timers and turns.

    `now` is the clock, ms, read once per turn. `stall_ms`, usually 0, is how long the data read in
    this turn may have waited.
    """

    def __init__(self, now: float):
        self.now, self.timers, self.deferred_calls = now, HeapTimers(now), deque()
        self.turn_end_calls: list[Callable[[], None]] = []
        self.stall_ms = self.max_lag_ms = 0.0
        # real sockets only: closed ones whose peers have not closed yet, oldest first
        self.lingering: dict = {}
        self.running = True
        # of the current turn: deferred calls still allowed, end of the last call, slow calls
        self.calls_left, self.last_call_end, self.slow_calls = MAX_CALLS_PER_TURN, now, []

    def read_clock(self) -> float:
        """The clock itself, for measuring work within a turn; all decisions use `now`."""
        return self.now

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Raises ValueError for NaN: such a timer would always be due and never be called."""
        if when != when:
            raise ValueError("the time of a timer is NaN")
        return self.timers.add(when, callback)

    def call_later(self, ms: float, callback: Callable[[], None]) -> Timer:
        """Calls it once, `ms` from now."""
        return self.call_at(self.now + ms, callback)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Calls it later in this turn, before the callbacks of the turn's end."""
        self.deferred_calls.append(callback)

    def end_last_reads(self, last_reader: LastReader | None) -> None:
        """Tells a last reader, later in this turn, that nothing more is read."""
        if last_reader is not None:
            self.call_soon(last_reader.last_data_ended)

    def on_turn_end(self, callback: Callable[[], None]) -> None:
        """Calls it at the end of every turn, after everything that arrived in it was handled."""
        self.turn_end_calls.append(callback)

    def run_guarded(self, callback: Callable, *args) -> None:
        """Runs a callback.

        An exception must not end the program: it is logged with its traceback and the loop goes on.
        """
        try:
            callback(*args)
        except Exception:
            log.exception("callback failed")
        before, self.last_call_end = self.last_call_end, self.read_clock()
        elapsed = self.last_call_end - before
        if elapsed >= SLOW_CALL_MS:
            self.slow_calls = sorted(
                [*self.slow_calls, (elapsed, callback_name(callback))], reverse=True
            )[:MAX_SLOW_CALLS]

    def begin_turn(self) -> None:
        """Resets the bounds and measurements of a turn."""
        self.calls_left, self.last_call_end, self.slow_calls = MAX_CALLS_PER_TURN, self.now, []

    def run_calls(self) -> None:
        """Runs deferred calls; those past the bound run in the next turn, which does not wait."""
        while self.deferred_calls and self.calls_left > 0:
            self.calls_left -= 1
            self.run_guarded(self.deferred_calls.popleft())

    def run_timers(self) -> None:
        """Calls the timers that are due, within the bound."""
        for timer in self.timers.due(self.now, MAX_TIMERS_PER_TURN):
            callback, timer.callback = timer.callback, None
            if callback is not None:  # not cancelled by an earlier timer of this turn
                self.run_guarded(callback)
                self.run_calls()

    def end_turn(self) -> None:
        """Runs the callbacks of the turn's end and logs a turn that took long."""
        for callback in self.turn_end_calls:
            self.run_guarded(callback)
            self.run_calls()
        if self.last_call_end - self.now >= SLOW_TURN_MS:
            log.warning(
                "a turn of %.0f ms, %d deferred calls; the longest: %s",
                self.last_call_end - self.now,
                MAX_CALLS_PER_TURN - self.calls_left,
                ", ".join(f"{name} {ms:.0f} ms" for ms, name in self.slow_calls)
                or "none is slow by itself",
            )

    def record_lag(self, lag_ms: float, gap_ms: float) -> None:
        """Notes that a turn came `lag_ms` late, `gap_ms` after the one before.

        After a stall, the data read now may have waited for the whole gap.
        """
        self.stall_ms = gap_ms if lag_ms >= STALL_THRESHOLD_MS else 0.0
        self.max_lag_ms = max(self.max_lag_ms, lag_ms)

    def stop(self) -> None:
        """Ends the loop after the current turn."""
        self.running = False


def wait_ms(now: float, due: float, max_wait: float = math.inf) -> float:
    """How long a loop may wait from `now`, at least 0."""
    return max(0.0, min(due - now, max_wait))


def callback_name(callback: Callable) -> str:
    """Describes a callback for the log: its owner's class if it is a method, its name, its line."""
    instance, code = getattr(callback, "__self__", None), getattr(callback, "__code__", None)
    owner = (
        type(getattr(instance, "owner", None) or instance).__name__ if instance is not None else ""
    )
    name = getattr(callback, "__qualname__", type(callback).__name__)
    line = f" line {code.co_firstlineno}" if code else ""
    return f"{owner and owner + '/'}{name}{line}"

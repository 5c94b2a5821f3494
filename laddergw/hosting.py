"""Hosts one Controller on an event loop: reports events to it, wakes it, and lets it decide at the
end of each turn.

Shared by the directors of every protocol. A subclass carries out verdicts (`apply_verdict`) and
answers all it holds if the controller fails (`fail_all_plays`). No decision is made here.
"""

import logging
from collections.abc import Callable
from typing import Any

from laddergw.interface import Verdict

# Decisions of one turn take at most this long. Then the sockets are read, so that a viewer that has
# left meanwhile gets no allocation. It is a fifth of the 100 ms after which no allocation may begin
# for a viewer that has left.
DECISION_SLICE_MS = 20.0

log = logging.getLogger("laddergw.hosting")


class ControllerHost:
    """Base class of directors; `loop` and `controller` are set by the subclass.

    `broken`: the controller has failed and gets no further event.
    """

    loop: Any
    controller: Any
    broken = False
    wake_at: float | None = None
    wake_timer: Any = None

    def apply_verdict(self, verdict: Verdict) -> None:
        """Carries out one decision of the controller."""
        raise NotImplementedError

    def fail_all_plays(self) -> None:
        """Answers and ends all plays, after the controller has failed."""
        raise NotImplementedError

    def feed(self, call: Callable, *args) -> None:
        """Calls a method of the controller and carries out the verdicts that it returns.

        If the controller fails, all plays are still answered.
        """
        if self.broken:
            return
        try:
            verdicts, wake_at = call(*args)
        except Exception:
            log.exception("the controller failed: all plays are answered and the process ends")
            self.broken = True
            return self.fail_all_plays()
        for verdict in verdicts:
            self.apply_verdict(verdict)
        self.schedule_wake(wake_at)

    def schedule_wake(self, when: float) -> None:
        """Wakes the controller at `when`, or at the earlier time that is set already."""
        if (
            self.wake_timer is not None
            and self.wake_timer.callback is not None
            and self.wake_at <= when
        ):
            return
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        if when < float("inf"):
            self.wake_at, self.wake_timer = when, self.loop.call_at(when, self.wake)

    def wake(self) -> None:
        """Wakes the controller."""
        self.feed(self.controller.wake, self.loop.now)

    def decide(self) -> None:
        """Decides on pending plays at a turn's end, one after the other.

        What is left when the slice is over is decided in the next turn, which begins at once.
        """
        while not self.broken and self.controller.pending:
            self.feed(self.controller.decide, self.loop.now, 1)
            if self.loop.read_clock() - self.loop.now >= DECISION_SLICE_MS:
                self.loop.call_later(0, lambda: None)
                return

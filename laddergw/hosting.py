"""Hosts one Controller on an event loop: reports events to it, wakes it, and lets it decide at the
end of each turn.

Shared by the directors of every protocol. A subclass carries out verdicts (`apply_verdict`) and
answers all it holds if the controller fails (`fail_all_plays`). No decision is made here.
"""

import logging
from collections.abc import Callable
from typing import Any

from laddergw.interface import Verdict

# decisions of one turn take so long, then the sockets are read: who left meanwhile gets no
# allocation.
DECISION_SLICE_MS = 20.0
# A fifth of the 100 ms after which none may begin for a viewer that has left

log = logging.getLogger("laddergw.hosting")


class ControllerHost:
    """See the module."""

    loop: Any
    controller: Any
    broken = False
    wake_at: float | None = None
    wake_timer: Any = None

    def apply_verdict(self, verdict: Verdict) -> None:
        raise NotImplementedError

    def fail_all_plays(self) -> None:
        raise NotImplementedError

    def feed(self, call: Callable, *args) -> None:
        """Tells the module something and carries out what it answers.

        If the module fails, everyone still gets an answer.
        """
        if self.broken:
            return
        try:
            verdicts, wake_at = call(*args)
        except Exception:
            log.exception("the module failed: all that is held is answered, the process ends")
            self.broken = True
            return self.fail_all_plays()
        for verdict in verdicts:
            self.apply_verdict(verdict)
        self.schedule_wake(wake_at)

    def schedule_wake(self, when: float) -> None:
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
        self.feed(self.controller.wake, self.loop.now)

    def decide(self) -> None:
        """At a turn's end, one play after the other; what is left when the slice is over comes in
        the next turn, which waits for nothing.
        """
        while not self.broken and self.controller.pending:
            self.feed(self.controller.decide, self.loop.now, 1)
            if self.loop.read_clock() - self.loop.now >= DECISION_SLICE_MS:
                self.loop.call_later(0, lambda: None)
                return

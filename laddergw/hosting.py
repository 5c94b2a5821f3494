"""Hosts one Controller on a loop: feeds it what happens, wakes it, lets it decide at each turn's
end.

Shared by the directors of every protocol. An heir carries verdicts out (`carry_out`) and answers
all that it holds
if the module fails (`collapse`). Nothing is decided here.
"""

import logging
from collections.abc import Callable
from typing import Any

from laddergw.interface import Verdict

# decisions of one turn take so long, then the sockets are read: who left meanwhile gets no
# allocation.
SLICE_MS = 20.0
# A fifth of the 100 ms after which none may begin for a viewer that has left

log = logging.getLogger("laddergw.hosting")


class Hosting:
    """See the module."""

    loop: Any
    controller: Any
    broken = False
    wake_at: float | None = None
    waker: Any = None

    def carry_out(self, verdict: Verdict) -> None:
        raise NotImplementedError

    def collapse(self) -> None:
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
            return self.collapse()
        for verdict in verdicts:
            self.carry_out(verdict)
        self.wake_by(wake_at)

    def wake_by(self, when: float) -> None:
        if self.waker is not None and self.waker.callback is not None and self.wake_at <= when:
            return
        if self.waker is not None:
            self.waker.cancel()
        if when < float("inf"):
            self.wake_at, self.waker = when, self.loop.call_at(when, self.wake)

    def wake(self) -> None:
        self.feed(self.controller.wake, self.loop.now)

    def decide(self) -> None:
        """At a turn's end, one play after the other; what is left when the slice is over comes in
        the next turn, which waits for nothing.
        """
        while not self.broken and self.controller.pending:
            self.feed(self.controller.decide, self.loop.now, 1)
            if self.loop.read_clock() - self.loop.now >= SLICE_MS:
                self.loop.call_later(0, lambda: None)
                return

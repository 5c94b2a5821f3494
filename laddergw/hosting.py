"""Hosts one Controller on a loop: feeds it what happens, wakes it, lets it decide at each turn's end.

Shared by the directors of every protocol. An heir carries verdicts out (`carry_out`) and answers all that it holds
if the module fails (`collapse`). Nothing is decided here.
"""
import logging
from typing import Any, Callable

from laddergw.interface import Verdict

ROUNDS = 8                 # of decide in one turn: a play has fewer allocations than that

log = logging.getLogger("laddergw.hosting")


class Hosting:
    """See the module. `redo` is set by what ends an allocation within a turn: the module may have more to say."""
    loop: Any
    controller: Any
    broken = redo = False
    wake_at: float | None = None
    waker: Any = None

    def carry_out(self, verdict: Verdict) -> None:
        raise NotImplementedError

    def collapse(self) -> None:
        raise NotImplementedError

    def feed(self, call: Callable, *args) -> None:
        """Tells the module something and carries out what it answers. If the module fails, everyone still gets an answer."""
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
        if self.waker is not None and self.waker.call is not None and self.wake_at <= when:
            return
        if self.waker is not None:
            self.waker.cancel()
        if when < float("inf"):
            self.wake_at, self.waker = when, self.loop.at(when, self.wake)

    def wake(self) -> None:
        self.feed(self.controller.wake, self.loop.now)

    def decide(self) -> None:
        """At a turn's end: what verdicts bring at once is decided again, a few rounds at most."""
        for _ in range(ROUNDS):
            self.redo = False
            self.feed(self.controller.decide, self.loop.now)
            if not self.redo:
                return
        self.loop.after(0, lambda: None)     # what is left comes in the next turn

"""Keeps what a director has in hand for one viewer's try, from its request to the end of its play."""
from laddergw.machines.allocation import Allocation
from laddergw.director.frames import Request
from laddergw.machines.play import PlayState
from laddergw.director.tokens import PreviousAttempt
from laddergw.http.client import Call
from laddergw.http.server import Exchange
from laddergw.interface import Deployment
from laddergw.terms.generations import Generation


class Attempt:
    """One request for a play. `life` says what its terms allow; `budgets`: names of those that its further allocations draw on."""
    __slots__ = ("id", "exchange", "request", "product", "earlier", "asked_at", "life", "generation", "budgets", "allocation", "call", "body",
                 "timer", "lease_timer", "answered", "playing", "left", "asked", "node_ms", "ending", "sent_at", "deployment", "version_set")

    def __init__(self, number: int, exchange: Exchange, request: Request, product: int, earlier: PreviousAttempt, life: PlayState,
                 generation: Generation, budgets: tuple[str, ...], deployment: Deployment):
        self.id, self.exchange, self.request, self.product, self.earlier = number, exchange, request, product, earlier
        self.deployment = deployment              # that it was taken on: a switch does not change it
        self.asked_at, self.life, self.generation, self.budgets = life.requested_at, life, generation, budgets
        self.allocation: Allocation | None = None
        self.call: Call | None = None
        self.body = self.timer = self.lease_timer = None
        self.answered = self.playing = self.left = self.asked = False
        self.node_ms, self.sent_at = 0.0, 0.0     # time that nodes took, to tell our own delay apart
        self.ending: str | None = None            # what its viewer is told once its allocation is gone
        self.version_set = ""                           # id of the versions that it was let in under, where they are audited

    def settle(self) -> bool:
        """Claims the one answer: True for the first who asks, and for nobody when the viewer has left."""
        if self.answered or self.left:
            return False
        self.answered = True
        return True

    def stop_timers(self) -> None:
        for timer in self.timer, self.lease_timer:
            if timer is not None:
                timer.cancel()
        self.timer = self.lease_timer = None

"""A director's state of one viewer's attempt, from its request to the end of its play."""
from laddergw.machines.allocation import Allocation
from laddergw.director.frames import Request
from laddergw.machines.play import PlayState
from laddergw.director.tokens import PreviousAttempt
from laddergw.http.client import Call
from laddergw.http.server import Exchange
from laddergw.interface import Deployment
from laddergw.terms.generations import Generation


class Attempt:
    """One request for a play. `play_state` decides what its terms allow; `budgets` names the retry budgets that its retries draw on."""
    __slots__ = ("id", "exchange", "request", "product", "previous", "requested_at", "play_state", "generation", "budgets", "allocation", "call", "body",
                 "answer_timer", "allocation_timer", "answered", "playing", "viewer_gone", "sent_to_controller", "node_time_ms", "end_event", "set_up_sent_at", "deployment", "version_set")

    def __init__(self, number: int, exchange: Exchange, request: Request, product: int, previous: PreviousAttempt, play_state: PlayState,
                 generation: Generation, budgets: tuple[str, ...], deployment: Deployment):
        self.id, self.exchange, self.request, self.product, self.previous = number, exchange, request, product, previous
        # The deployment in force at its admission: a later change of the file does not affect the attempt
        self.deployment = deployment
        self.requested_at, self.play_state, self.generation, self.budgets = play_state.requested_at, play_state, generation, budgets
        self.allocation: Allocation | None = None
        self.call: Call | None = None
        # allocation_timer: runs to the deadline of its set-up; once it is being released, to the release deadline
        self.body = self.answer_timer = self.allocation_timer = None
        self.answered = self.playing = self.viewer_gone = self.sent_to_controller = False
        # Time that nodes took to answer: subtracted from the total to get the director's own delay
        self.node_time_ms, self.set_up_sent_at = 0.0, 0.0
        # Event that its viewer gets once its allocation has ended
        self.end_event: str | None = None
        # Id of the set of versions that it was admitted under, if they are audited
        self.version_set = ""

    def claim_answer(self) -> bool:
        """Claims the only answer: True for the first caller; False for later ones and after the viewer has left."""
        if self.answered or self.viewer_gone:
            return False
        self.answered = True
        return True

    def stop_timers(self) -> None:
        """Cancels both timers."""
        for timer in self.answer_timer, self.allocation_timer:
            if timer is not None:
                timer.cancel()
        self.answer_timer = self.allocation_timer = None

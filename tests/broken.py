"""Directors with a deliberate fault, one for each rule of the audit, which must detect them."""
from functools import partial

from laddergw import interface
from laddergw.control import Controller
from laddergw.control.plays import decline_or_fail
from laddergw.director.director import Director


class NeverAnswers(Director):
    """Rule 1: some viewers are never answered."""

    def finish(self, attempt, answer, retry_ms, reason=""):
        if attempt.id % 3:
            super().finish(attempt, answer, retry_ms, reason)

    def answer_overdue(self, attempt):
        """Without the last guard, too."""


class AnswersTwice(Director):
    """Rule 1: some viewers get two answers."""

    def begin_play(self, attempt):
        super().begin_play(attempt)
        attempt.exchange.push(b'{"answer": "playing", "node": 0, "rung": 0}\n')


class SkipsReleases(Director):
    """Rule 2: a set-up that has timed out is given up without a release and before its lease ends."""

    def set_up_timed_out(self, attempt, name):
        attempt.allocation_timer = None
        if attempt.allocation is not None and attempt.allocation.name == name:
            attempt.allocation.lease_ends_at += 10_000
            attempt.call = None
            self.allocation_ended(attempt, interface.TIMED_OUT, ())

    def send_set_up(self, attempt, link, name):
        attempt.allocation.lease_ends_at += 10_000
        super().send_set_up(attempt, link, name)


class IgnoresDrains(Director):
    """Rule 3: ignores drains."""

    def list_changed(self, entries, complete, not_ready):
        super().list_changed([entry._replace(state=interface.READY) for entry in entries], False, [])


class ReplacedStages(Controller):
    """A controller that replaces the stages of its chain that `stages` names by functions of (controller, now, play)."""
    stages = {}

    def __init__(self, *args):
        super().__init__(*args)
        self.chain = tuple((partial(self.stages[stage.__name__], self) if stage.__name__ in self.stages else stage, undo)
                           for stage, undo in self.chain)


def any_node(controller, now, play):
    """Ignores the back-off of nodes and the limited rate to cold ones."""
    return None if play.candidates else decline_or_fail(controller.fleet, play)


def coldest_nodes(controller, now, play):
    """Chooses cold nodes if there are any."""
    cold = [node for node in play.candidates if node.started_ms and now - node.started_ms < controller.fleet.deployment.warm_ms]
    play.candidates = cold or play.candidates
    return any_node(controller, now, play)


def first_candidate(controller, now, play):
    """Chooses the first node, at the lowest rung."""
    play.rung, play.candidates = play.product.floor, play.candidates[:1]


def unlimited_seats(controller, now, play):
    """Removes the limit of plays per title."""
    play.product = play.product._replace(seats=0)
    return controller.allocations.check_terms(now, play)


class OverloadsColdNodes(Director):
    """Rule 4: sends plays to cold nodes, at any rate."""

    class controller_class(ReplacedStages):
        stages = {"filter_healthy": coldest_nodes, "choose_node": first_candidate}


class PlaysLowestRung(Director):
    """Rule 5: plays everything at the lowest rung."""

    def apply_verdict(self, verdict):
        super().apply_verdict(verdict._replace(rung=0) if verdict.node is not None else verdict)


class IgnoresSeats(Director):
    """Rule 5: ignores the limit of plays per title (seats)."""

    class controller_class(ReplacedStages):
        stages = {"check_terms": unlimited_seats}


class IgnoresBudgets(Director):
    """Rule 6: retries without a retry budget."""

    class controller_class(ReplacedStages):
        stages = {"check_retry_budget": lambda controller, now, play: None, "filter_healthy": any_node}

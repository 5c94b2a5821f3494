"""Directors broken on purpose, one for each rule: what the audit must catch."""
from functools import partial

from laddergw import interface as face
from laddergw.control import Controller
from laddergw.control.plays import decline_or_fail
from laddergw.director.director import Director


class Silent(Director):
    """Rule 1: some viewers are never answered."""

    def finish(self, ply, answer, retry_ms, reason=""):
        if ply.id % 3:
            super().finish(ply, answer, retry_ms, reason)

    def answer_overdue(self, ply):
        """Its last guard is gone too."""


class Twice(Director):
    """Rule 1: some viewers get two answers."""

    def begin_play(self, ply):
        super().begin_play(ply)
        ply.exchange.push(b'{"answer": "playing", "node": 0, "rung": 0}\n')


class Hasty(Director):
    """Rule 2: a set-up that is late is given up without its release or lease's end."""

    def set_up_timed_out(self, ply, name):
        ply.lease_timer = None
        if ply.allocation is not None and ply.allocation.name == name:
            ply.allocation.lease_ends_at += 10_000
            ply.call = None
            self.allocation_ended(ply, face.TIMED_OUT, ())

    def send_set_up(self, ply, link, name):
        ply.allocation.lease_ends_at += 10_000
        super().send_set_up(ply, link, name)


class Deaf(Director):
    """Rule 3: hears of drains and takes no notice."""

    def list_changed(self, lines, whole, stopped):
        super().list_changed([line._replace(state=face.READY) for line in lines], False, [])


class Replaced(Controller):
    """A module with stages of the chain replaced by what `stages` names, each called with (controller, now, play)."""
    stages = {}

    def __init__(self, *given):
        super().__init__(*given)
        self.chain = tuple((partial(self.stages[stage.__name__], self) if stage.__name__ in self.stages else stage, back)
                           for stage, back in self.chain)


def any_health(c, now, ply):
    """Takes no notice of rests and of the cold pace."""
    return None if ply.candidates else decline_or_fail(c.fleet, ply)


def coldest(c, now, ply):
    cold = [node for node in ply.candidates if node.started_ms and now - node.started_ms < c.fleet.deployment.warm_ms]
    ply.candidates = cold or ply.candidates
    return any_health(c, now, ply)


def first_candidate(c, now, ply):
    ply.rung, ply.candidates = ply.product.floor, ply.candidates[:1]


def no_seats(c, now, ply):
    ply.product = ply.product._replace(seats=0)
    return c.allocations.check_terms(now, ply)


class Eager(Director):
    """Rule 4: sends to the node that started last, at any pace."""

    class controller_class(Replaced):
        stages = {"filter_healthy": coldest, "choose_node": first_candidate}


class Lowest(Director):
    """Rule 5: plays everything at the lowest rung."""

    def apply_verdict(self, verdict):
        super().apply_verdict(verdict._replace(rung=0) if verdict.node is not None else verdict)


class Seatless(Director):
    """Rule 5: does not count seats."""

    class controller_class(Replaced):
        stages = {"check_terms": no_seats}


class Spendthrift(Director):
    """Rule 6: further allocations without a budget."""

    class controller_class(Replaced):
        stages = {"check_retry_budget": lambda c, now, ply: None, "filter_healthy": any_health}

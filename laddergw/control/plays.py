"""One play on its terms: its set-ups, the budget of its retries, its final answer."""

from collections import deque
from typing import NamedTuple

from laddergw import interface

# Usual length of a play before hints (design page); weight of one hint in it.
DEFAULT_LENGTH_MS, LENGTH_WEIGHT = 40_000.0, 0.02
OVERDUE_SHARE = 0.25  # share of its length that an overdue play is still expected to last
# Set-up time before any was seen; weight of one in the usual time.
INITIAL_SETUP_MS, SETUP_WEIGHT = 150.0, 0.1
# Time-out of a set-up: in usual set-up times, so that slow ones pass; at least, for a handshake.
TIMEOUT_MULTIPLE, MIN_TIMEOUT_MS = 5.0, 300.0
# Longest retry-after; it is spread over its upper half, against returns in one wave.
RETRY_AFTER_MS = 1_000.0


class SentSetup(NamedTuple):
    """A set-up that was sent: when it was decided on, and where its key holds (key_group)."""

    decided_at: float
    group: int | None


def key_group(product, node):
    """Returns the group of a node on which a product's keys hold; all nodes are one: None."""
    return {"zone": node.zone, "cell": node.cell}.get(product.group)


def latest_departure_ms(deployment):
    """Returns how long after its decision a set-up leaves at the latest, ms (1: rounding)."""
    return deployment.connect_ms + 1


class Play:
    """A play from its request to its end."""

    def __init__(self, request, deployment, now):
        # The terms that it was taken on are its own to its end
        product = deployment.products[request.product]
        self.request, self.id, self.product, self.rung, self.deployment = (
            request,
            request.play,
            product,
            product.floor,
            deployment,
        )
        self.length_ms, self.answer_by, self.rung_changed_at = (
            request.length_ms or DEFAULT_LENGTH_MS,
            now + request.wait_ms,
            now,
        )
        self.candidates, self.tried_nodes, self.setup_count = [], set(), 0
        # pending_setup: number of the open set-up, from 1 on; None: none is open
        self.started_at = self.pending_setup = self.node = self.wait_until = self.awaited_node = (
            None
        )
        # latest_setup: the last set-up that was sent; binding_setup: the first that may have run
        self.latest_setup = self.binding_setup = None
        self.viewer_left = self.demand_counted = False

    @property
    def may_have_run(self):
        """Whether one of its set-ups may have run."""
        return self.binding_setup is not None

    def is_bound_by_key(self):
        """Returns whether its next set-up may only go where the key of an earlier one holds."""
        return self.may_have_run and self.product.repeat == "keyed"

    def key_holds_at(self, now, node):
        """Returns whether its key holds at a node for a set-up that is decided on now.

        The first set-up that may have run names the group and the time: later ones, which are bound
        by it, are of the same group, and their keys expire later.
        """
        leaves_by = now + latest_departure_ms(self.deployment)
        return (
            key_group(self.product, node) == self.binding_setup.group
            and leaves_by <= self.binding_setup.decided_at + self.product.key_ms
        )

    def remaining_ms(self, now):
        """Returns the expected time still to play."""
        return max(
            self.length_ms - (now - self.started_at if self.started_at is not None else 0),
            OVERDUE_SHARE * self.length_ms,
        )

    def highest_rung(self):
        """Returns the highest rung that product, viewer and ladder allow."""
        return min(
            self.product.top, int(self.request.highest_rung), len(self.deployment.ladder) - 1
        )

    def rate(self, rung=None):
        """Returns the rate at a rung, or at its own, in kB/s."""
        return self.deployment.ladder[self.rung if rung is None else rung] * self.product.scale

    def is_shared(self):
        """Whether it may share a live title's stream with other plays."""
        return self.product.live and self.deployment.join < 1

    def stream_key(self, rung):
        """Returns what plays have in common that share one stream."""
        return self.request.product, self.request.title, self.rate(rung), self.deployment.join

    def last_step_rate(self):
        """Returns the rate that its last step takes, in kB/s."""
        return self.rate() - self.rate(self.rung - 1)

    def step_gain(self, rung):
        """Returns what a step up from a rung brings, in worth a second."""
        return self.product.importance * (
            self.deployment.rung_worth[rung + 1] - self.deployment.rung_worth[rung]
        )


class Allocations:
    """Set-ups sent out, and the budget of retries."""

    def __init__(self, fleet, prices):
        self.fleet, self.prices, self.usual_setup_ms = fleet, prices, INITIAL_SETUP_MS
        # Times counted for the budget: of plays taken, of their retries
        self.play_times, self.retry_times = deque(), deque()

    def check_terms(self, now, play):
        """Ends a play that its product's terms or its own limit bar from a set-up."""
        product, seats = (play.product, self.fleet.seats[play.request.product, play.request.title])
        barred = (play.may_have_run and product.repeat == "paid") or (
            product.seats and seats >= product.seats
        )
        barred = barred or product.floor > play.highest_rung() or now >= play.answer_by
        if barred or play.setup_count >= self.fleet.deployment.max_allocations:
            return decline_or_fail(self.fleet, play)

    def check_retry_budget(self, now, play):
        """Ends a play whose next set-up, a retry, would exceed the deployment's retry budget.

        Within any budget_ms the retries sent are budget_free at most, plus budget_share of the
        plays taken.
        """
        if play.setup_count and (deployment := self.fleet.deployment).budget_free is not None:
            # Plays are counted over less than the window, and retries over more
            late_ms = latest_departure_ms(deployment)
            for times, slack_ms in (self.play_times, late_ms), (self.retry_times, -late_ms):
                while times and times[0] < now - deployment.budget_ms + slack_ms:
                    times.popleft()
            if len(self.retry_times) + 1 > (
                deployment.budget_free + deployment.budget_share * len(self.play_times)
            ):
                return decline_or_fail(self.fleet, play)
            self.retry_times.append(now)

    def send_setup(self, now, play):
        """Allocates the play at its first candidate, with a time-out within its limit."""
        node, left_ms, max_setups = (
            play.candidates[0],
            play.answer_by - now,
            self.fleet.deployment.max_allocations,
        )
        min_timeout_ms = max(
            MIN_TIMEOUT_MS,
            left_ms * (play.product.repeat == "paid" or play.setup_count + 1 >= max_setups),
        )
        play.latest_setup, node.last_setup = SentSetup(now, key_group(play.product, node)), now
        play.pending_setup = play.setup_count = play.setup_count + 1
        play.tried_nodes.add(node.id)
        for setups in node.setups, self.prices.setups:
            setups.add(now, 1)
        self.fleet.add_play(now, play, node)
        return interface.Verdict(
            play.id,
            node.id,
            play.rung,
            min(left_ms, max(TIMEOUT_MULTIPLE * self.usual_setup_ms, min_timeout_ms)),
        )

    def setup_ended(self, now, play, node, outcome):
        """Takes in that the play's set-up or allocation has ended."""
        play.wait_until = play.pending_setup = None
        if outcome not in (interface.FULL, interface.UNREACHABLE, interface.NEVER_SENT):
            play.binding_setup = play.binding_setup or play.latest_setup

    def setup_answered(self, now, play, delay_ms):
        """Takes in that a node serves the play, `delay_ms` after its set-up was sent."""
        play.started_at, play.rung_changed_at, play.pending_setup = now, now, None
        self.usual_setup_ms += SETUP_WEIGHT * (delay_ms - self.usual_setup_ms)
        play.node.backoff_level, play.node.backoff_until = (
            max(0, play.node.backoff_level - 2),
            0.0,
        )


def decline_or_fail(fleet, play):
    """Returns the final answer at once: a decline with a time to come back, where none ran."""
    product, wait_ms = (
        play.product,
        min(RETRY_AFTER_MS, fleet.deployment.retry_max_ms) * (1 + fleet.draw()) / 2,
    )
    runs_once = product.repeat == "paid" or (product.repeat == "keyed" and product.group != "all")
    if play.may_have_run and runs_once:
        return interface.Verdict(play.id, answer=interface.FAILED)
    return interface.Verdict(play.id, answer=interface.DECLINED, retry_after_ms=wait_ms)

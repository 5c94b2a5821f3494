"""One play on its terms, how often and within which budget it may be set up, its final answer."""

from collections import deque

from laddergw import interface

LENGTH_MS, LENGTH_STEP = (
    40_000.0,
    0.02,
)  # usual length of a play, before hints (design page); weight of one
TAIL = 0.25  # share of its length that an overdue play is still expected to last
ANSWER_START_MS, ANSWER_STEP = (
    150.0,
    0.1,
)  # set-up time before any was seen; weight of one in the usual
PATIENCE, WAIT_MS = 5.0, 300.0  # time-out in usual set-up times: slow ones pass; a handshake fits
RETRY_MS = 1_000.0  # longest retry-after; spread over its upper half, against returns in one wave


class Play:
    """From its request to its end."""

    def __init__(self, ask, deployment, now):
        product = deployment.products[
            ask.product
        ]  # the terms that it was taken on are its own to its end
        self.ask, self.id, self.product, self.rung, self.d = (
            ask,
            ask.play,
            product,
            product.floor,
            deployment,
        )
        self.length, self.limit, self.changed = ask.length_ms or LENGTH_MS, now + ask.wait_ms, now
        self.holders, self.key_ends, self.tried, self.sends = [], now + product.key_ms, set(), 0
        self.started = self.out = self.node = self.first = self.until = self.asks = (
            None  # out: from 1 on
        )
        self.may_have_run = self.over = self.seen = False

    def left(self, now):  # expected time still to play
        return max(
            self.length - (now - self.started if self.started is not None else 0),
            TAIL * self.length,
        )

    def highest(self):
        return min(self.product.top, int(self.ask.ceiling), len(self.d.ladder) - 1)

    def rate(self, rung=None):
        return self.d.ladder[self.rung if rung is None else rung] * self.product.scale

    def shares(self):
        return self.product.live and self.d.join < 1

    def stream(self, rung):
        return self.ask.product, self.ask.title, self.rate(rung), self.d.join

    def frees(self):
        return self.rate() - self.rate(self.rung - 1)  # what its last step takes

    def gain(self, rung):  # what a step up from it brings
        return self.product.importance * (self.d.rung_worth[rung + 1] - self.d.rung_worth[rung])


class Allocations:
    """Set-ups sent out, and the budget of further ones."""

    def __init__(self, fleet, prices):
        self.fleet, self.prices, self.usual = fleet, prices, ANSWER_START_MS
        self.taken, self.further = deque(), deque()  # times for the budget

    def terms(self, now, play):
        row, held = play.product, self.fleet.seats[play.ask.product, play.ask.title]
        barred = (play.may_have_run and row.repeat == "paid") or (row.seats and held >= row.seats)
        barred = barred or row.floor > play.highest() or now >= play.limit
        if barred or play.sends >= self.fleet.d.max_allocations:
            return give_up(self.fleet, play)

    def ration(self, now, play):  # the stated budget, counted over a sliding window
        if play.sends and (d := self.fleet.d).budget_free is not None:
            late = d.connect_ms + 1  # it leaves so much later, or never; 1: rounding
            for times, slack in (self.taken, late), (self.further, -late):
                while times and times[0] < now - d.budget_ms + slack:
                    times.popleft()
            if len(self.further) + 1 > d.budget_free + d.budget_share * len(self.taken):
                return give_up(self.fleet, play)
            self.further.append(now)

    def send(self, now, play):
        node, due, most = play.holders[0], play.limit - now, self.fleet.d.max_allocations
        least = max(WAIT_MS, due * (play.product.repeat == "paid" or play.sends + 1 >= most))
        play.first, node.last_send = play.first or node, now
        play.out = play.sends = play.sends + 1
        play.tried.add(node.id)
        for setups in node.setups, self.prices.setups:
            setups.add(now, 1)
        self.fleet.put(now, play, node)
        return interface.Verdict(
            play.id, node.id, play.rung, min(due, max(PATIENCE * self.usual, least))
        )

    def send_back(self, now, play, node, outcome):
        play.until = play.out = None
        if outcome not in (interface.FULL, interface.UNREACHABLE, interface.NEVER_SENT):
            play.may_have_run = True

    def answered(self, now, play, delay):
        play.started, play.changed, play.out = now, now, None
        self.usual += ANSWER_STEP * (delay - self.usual)
        play.node.ill, play.node.rest = max(0, play.node.ill - 2), 0.0


def give_up(
    fleet, play
):  # the final answer at once: a decline with a time to come back, where none ran
    row, wait = play.product, min(RETRY_MS, fleet.d.retry_max_ms) * (1 + fleet.chance()) / 2
    runs_once = row.repeat == "paid" or (row.repeat == "keyed" and row.group != "all")
    if play.may_have_run and runs_once:
        return interface.Verdict(play.id, answer=interface.FAILED)
    return interface.Verdict(play.id, answer=interface.DECLINED, retry_ms=wait)

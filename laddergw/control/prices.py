"""The bid-price gate: shadow prices of a node's streams, link and uplink, the rung that pays."""

from operator import mul

from laddergw.control.accounts import SHARE_MS, SHARE_PRIOR, Fading
from laddergw.control.plays import LENGTH_MS, LENGTH_STEP, give_up

FORECAST_MS = 15_000.0  # memory of arrivals: a few dozen plays, short enough to follow a wave
LOOP_SWEEPS, LOOP_HALVINGS, SURE = (
    4,
    24,
    1.000001,
)  # of the dual loop; worth beats cost by over rounding


class Prices:
    """Demand as it was seen, and what it makes of a node's room."""

    def __init__(self, fleet, now):
        self.fleet, self.demand, self.setups = fleet, [], Fading(SHARE_MS, now)
        self.length, self.hints = LENGTH_MS, 1

    def hinted(self, ask):  # what will be asked for lasts as what is asked for
        self.hints += bool(ask.length_ms)
        self.length += max(LENGTH_STEP, 1 / self.hints) * (
            (ask.length_ms or self.length) - self.length
        )

    def came(
        self, now, play
    ):  # after its pricing; no further tries: a storm of them priced all out, for go
        self.demand[play.ask.product].add(now, (not (play.seen or play.ask.again)) / FORECAST_MS)
        play.seen = True

    def price(self, now, play):  # the first holder that makes an offer gets the play
        for node in play.holders:
            rung = self.offer(now, play, node, play.length, node.room)
            if rung is not None:
                play.rung, play.holders = rung, [node]
                return None
        return give_up(self.fleet, play)

    def offer(self, now, play, node, lk, room, held=None):
        """The highest rung that fits and whose payoff beats its cost at the node, or None."""
        fleet = self.fleet
        if held is None and (
            fleet.adds(play, node, play.product.floor) > node.over
            or node.streams - len(node.plays) - fleet.other_streams(now, node) < 1
        ):
            return None
        places, link, uplink = self.shadow_prices(now, node, lk)
        place, kb = (
            places / node.streams,
            link / fleet.size(now, node) + uplink / node.rack.size(now),
        )
        chosen, below, has = None, (0.0, 0.0), 0.0
        cross = fleet.crossing(node) * play.product.importance * lk if held is None else 0.0
        if held is not None:  # a play under way: what it has, and what a change costs
            has = play.rate(held) * (
                play.d.join if play.shares() and node.shared[play.stream(held)] > 1 else 1
            )
            below = (
                play.product.importance * (play.d.rung_worth[held] * lk + fleet.d.step_cost_ms),
                lk / 2 * (place + has * kb),
            )
        for rung in range(play.product.floor if held is None else held + 1, play.highest() + 1):
            rate = fleet.adds(play, node, rung)
            payoff = play.product.importance * play.d.rung_worth[rung] * lk
            cost = cross + lk / 2 * (place + rate * kb)
            least = held is None and rung == play.product.floor  # a low play beats a decline
            # Each step must pay for what it adds: a top rung can pay as a whole while its last step
            # does not
            if (rate - has <= room or least) and payoff - below[0] > (cost - below[1]) * SURE:
                chosen, below = rung, (payoff, cost)
        return chosen

    def pays(self, now, play):  # its last step, by the admission's test
        if (size := self.fleet.size(now, play.node)) <= 0:  # weighted out
            return False
        lk, (_, link, uplink) = play.left(now), self.shadow_prices(now, play.node, play.left(now))
        kb = link / size + uplink / play.node.rack.size(now)
        return play.gain(play.rung - 1) * lk > lk / 2 * play.frees() * kb * SURE

    def shadow_prices(
        self, now, node, lk
    ):  # of streams, link, uplink over lk, net of plays under way
        fleet, rack, d = self.fleet, node.rack, self.fleet.d
        size, up = fleet.size(now, node), rack.size(now)
        prior, total = SHARE_PRIOR / max(fleet.ready, 1e-9), self.setups.now(now) + SHARE_PRIOR
        here = (node.setups.now(now) + prior * node.links) / total
        beside = (
            sum(n.setups.now(now) for n in rack.members.values()) + prior * rack.links
        ) / total
        # Others' plays are planned anew, as they step too, of the products that we see asked for
        streams = fleet.other_streams(now, node)
        held = min(self.length, lk) * (
            1 - min(self.length, lk) / (2 * lk)
        )  # may start any time in lk (q)
        again = streams / held / max(sum(demand.now(now) for demand in self.demand), 1e-12)
        caps = [lk, lk * (1 - fleet.margin(now, node)), lk * (1 - fleet.margin(now, rack))]
        for n in rack.members.values():
            for p in n.plays.values():
                stay = min(p.left(now), lk)
                caps[2] -= stay * p.rate() / up
                if n is node:
                    caps[0] -= stay / node.streams
                    caps[1] -= stay * p.rate() / size
        groups = []
        for row, demand in zip(d.products, self.demand, strict=False):
            # the rack's uplink also carries what our set-ups at its other nodes will ask
            choices = [
                (
                    row.importance * d.rung_worth[r] * self.length,
                    (
                        held / node.streams,
                        held * d.ladder[r] * row.scale / size,
                        held * d.ladder[r] * row.scale / up * beside / max(here, 1e-9),
                    ),
                )
                for r in range(row.floor, min(row.top, len(d.ladder) - 1) + 1)
            ]
            groups.append((lk * demand.now(now) * (here + again), choices))
        return duals(groups, caps)


def duals(groups, caps):
    """Of max sum(payoff x), sum(use x) <= caps, by group sum(x) <= demand; each halved to the least
    fit.
    """
    prices = [0.0] * len(caps)
    for _ in range(LOOP_SWEEPS):
        before = prices[:]
        for e, cap in enumerate(caps):
            prices[e] = 0.0
            # As this price moves and the others stand, each choice is a line: what it nets at 0,
            # and its use
            lines = [
                (
                    demand,
                    [(payoff - sum(map(mul, uses, prices)), uses[e]) for payoff, uses in choices],
                )
                for demand, choices in groups
            ]
            if used(lines, 0.0) <= cap:
                continue
            low, high = (
                0.0,
                max(payoff / uses[e] for _, choices in groups for payoff, uses in choices),
            )
            for _ in range(LOOP_HALVINGS):
                middle = (low + high) / 2
                low, high = (low, middle) if used(lines, middle) <= cap else (middle, high)
            prices[e] = high
        if prices == before:  # a further sweep would do the same again
            break
    return prices


def used(
    lines, price
):  # what the groups use of it at that price: each takes what nets most, if over 0
    total = 0.0
    for demand, choices in lines:
        best = use = 0.0
        for net, uses in choices:
            if net - uses * price > best:
                best, use = net - uses * price, uses
        total += demand * use
    return total

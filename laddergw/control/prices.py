"""The bid-price gate: shadow prices of a node's streams, link and uplink, and the rung that pays.

A new play is priced in Prices.choose_node; Prices.best_rung has the formula. It
follows the DLPC policy of Bichler and Setzer, "Admission Control for Media on Demand Services".
"""

from operator import mul

from laddergw.control.fleet_state import EVEN_SETUPS, SETUPS_MS
from laddergw.control.load_estimate import DecayingSum
from laddergw.control.plays import DEFAULT_LENGTH_MS, LENGTH_WEIGHT, decline_or_fail

# Memory of arrivals: a few dozen plays, short enough to follow a wave.
DEMAND_MEMORY_MS = 15_000.0
# Bounds of the loop that solves the dual; a worth must exceed its cost by more than rounding.
DUAL_SWEEPS, DUAL_HALVINGS, COST_FACTOR = 4, 24, 1.000001


class Prices:
    """Demand as observed, and the shadow prices that follow from it."""

    def __init__(self, fleet, now):
        self.fleet, self.demand, self.setups = fleet, [], DecayingSum(SETUPS_MS, now)
        self.usual_length_ms, self.hint_count = DEFAULT_LENGTH_MS, 1

    def record_length_hint(self, request):
        """Takes in a request's hint of its length: later plays are expected to last as long."""
        self.hint_count += bool(request.length_ms)
        self.usual_length_ms += max(LENGTH_WEIGHT, 1 / self.hint_count) * (
            (request.length_ms or self.usual_length_ms) - self.usual_length_ms
        )

    def record_demand(self, now, play):
        """Counts a play as demand, after its pricing.

        Retries do not count: a storm of them priced out all plays for good.
        """
        self.demand[play.request.product].add(
            now, (not (play.demand_counted or play.request.is_retry)) / DEMAND_MEMORY_MS
        )
        play.demand_counted = True

    def choose_node(self, now, play):
        """Prices the play at one candidate after another; takes the first that offers a rung.

        Where none does the play ends.
        """
        for node in play.candidates:
            rung = self.best_rung(now, play, node, play.length_ms, node.free_rate)
            if rung is not None:
                play.rung, play.candidates = rung, [node]
                return None
        return decline_or_fail(self.fleet, play)

    def best_rung(self, now, play, node, length_ms, free_rate, current_rung=None):
        """Returns the highest rung that fits and pays at the node, or None.

        payoff = importance * worth of the rung * length
        cost = crossing + length / 2 * (price per stream + rate * price per kB/s)

        A rung pays where its payoff exceeds that of the best rung below it by more than its cost
        does. `length_ms` is the play's expected length, lk of the policy. With a `current_rung` the
        play is under way: only rungs above it count, and a change of rung costs step_cost_ms.
        """
        fleet = self.fleet
        if current_rung is None and (
            fleet.added_rate(play, node, play.product.floor) > node.free_rate_overloaded
            or node.max_streams - len(node.plays) - fleet.others_streams(now, node) < 1
        ):
            return None
        streams_price, link_price, uplink_price = self.shadow_prices(now, node, length_ms)
        price_per_stream, price_per_kb = (
            streams_price / node.max_streams,
            link_price / fleet.usable_rate(now, node) + uplink_price / node.rack.uplink_rate(now),
        )
        # below: payoff and cost of the best rung below, 0 where there is none
        chosen, below, current_rate = None, (0.0, 0.0), 0.0
        crossing = (
            fleet.crossing_price(node) * play.product.importance * length_ms
            if current_rung is None
            else 0.0
        )
        # A play under way: what it has, and what a change costs
        if current_rung is not None:
            current_rate = play.rate(current_rung) * (
                play.deployment.join
                if play.is_shared() and node.viewers[play.stream_key(current_rung)] > 1
                else 1
            )
            below = (
                play.product.importance
                * (
                    play.deployment.rung_worth[current_rung] * length_ms
                    + fleet.deployment.step_cost_ms
                ),
                length_ms / 2 * (price_per_stream + current_rate * price_per_kb),
            )
        for rung in range(
            play.product.floor if current_rung is None else current_rung + 1,
            play.highest_rung() + 1,
        ):
            rate = fleet.added_rate(play, node, rung)
            payoff = play.product.importance * play.deployment.rung_worth[rung] * length_ms
            cost = crossing + length_ms / 2 * (price_per_stream + rate * price_per_kb)
            # A play at its lowest rung beats a decline, also beyond the free rate
            is_lowest = current_rung is None and rung == play.product.floor
            # Each step must pay for what it adds: a top rung can pay as a whole while its last step
            # does not
            if (rate - current_rate <= free_rate or is_lowest) and payoff - below[0] > (
                cost - below[1]
            ) * COST_FACTOR:
                chosen, below = rung, (payoff, cost)
        return chosen

    def last_step_pays(self, now, play):
        """Whether the last step of a play under way pays, by the admission's test."""
        # A node of weight 0 gives nothing
        if (link_rate := self.fleet.usable_rate(now, play.node)) <= 0:
            return False
        remaining_ms, (_, link_price, uplink_price) = (
            play.remaining_ms(now),
            self.shadow_prices(now, play.node, play.remaining_ms(now)),
        )
        price_per_kb = link_price / link_rate + uplink_price / play.node.rack.uplink_rate(now)
        return (
            play.step_gain(play.rung - 1) * remaining_ms
            > remaining_ms / 2 * play.last_step_rate() * price_per_kb * COST_FACTOR
        )

    def shadow_prices(self, now, node, horizon_ms):
        """Returns the prices of a node's streams, link and uplink over the horizon (lk).

        Each is the price of the whole resource, in worth a second. The capacity that they price is
        net of plays under way.
        """
        fleet, rack, deployment = self.fleet, node.rack, self.fleet.deployment
        link_rate, uplink_rate = fleet.usable_rate(now, node), rack.uplink_rate(now)
        even_spread, total = (
            EVEN_SETUPS / max(fleet.ready_kb, 1e-9),
            self.setups.at(now) + EVEN_SETUPS,
        )
        # Shares of our set-ups that go to the node, and to its rack
        node_share = (node.setups.at(now) + even_spread * node.rate) / total
        rack_share = (
            sum(other.setups.at(now) for other in rack.nodes.values()) + even_spread * rack.rate
        ) / total
        # Plays of other directors change rungs, too, so they count as demand like new plays: in
        # proportion to our own demand for each product
        others_streams = fleet.others_streams(now, node)
        # Mean time that a play takes of the horizon, as it may start at any time in it (q)
        holding_ms = min(self.usual_length_ms, horizon_ms) * (
            1 - min(self.usual_length_ms, horizon_ms) / (2 * horizon_ms)
        )
        others_renewed = (
            others_streams / holding_ms / max(sum(demand.at(now) for demand in self.demand), 1e-12)
        )
        capacities = [
            horizon_ms,
            horizon_ms * (1 - fleet.margin(now, node)),
            horizon_ms * (1 - fleet.margin(now, rack)),
        ]
        for other in rack.nodes.values():
            for play in other.plays.values():
                stay_ms = min(play.remaining_ms(now), horizon_ms)
                capacities[2] -= stay_ms * play.rate() / uplink_rate
                if other is node:
                    capacities[0] -= stay_ms / node.max_streams
                    capacities[1] -= stay_ms * play.rate() / link_rate
        groups = []
        for product, demand in zip(deployment.products, self.demand, strict=False):
            # The rack's uplink also carries what our set-ups at its other nodes will ask
            choices = [
                (
                    product.importance * deployment.rung_worth[rung] * self.usual_length_ms,
                    (
                        holding_ms / node.max_streams,
                        holding_ms * deployment.ladder[rung] * product.scale / link_rate,
                        holding_ms
                        * deployment.ladder[rung]
                        * product.scale
                        / uplink_rate
                        * rack_share
                        / max(node_share, 1e-9),
                    ),
                )
                for rung in range(product.floor, min(product.top, len(deployment.ladder) - 1) + 1)
            ]
            groups.append((horizon_ms * demand.at(now) * (node_share + others_renewed), choices))
        return dual_prices(groups, capacities)


def dual_prices(groups, capacities):
    """Returns the prices of capacities: the dual of a linear program, solved by coordinate descent.

    The program is max sum(payoff x) with sum(use x) <= capacity, by group sum(x) <= demand.
    A group is (demand, choices), a choice (payoff, use of each capacity). Each price in turn is
    halved to the least at which the use fits.
    """
    prices = [0.0] * len(capacities)
    for _ in range(DUAL_SWEEPS):
        before = prices[:]
        for index, capacity in enumerate(capacities):
            prices[index] = 0.0
            # As this price moves and the others stand, each choice is a line: what it nets at 0,
            # and its use
            lines = [
                (
                    demand,
                    [
                        (payoff - sum(map(mul, uses, prices)), uses[index])
                        for payoff, uses in choices
                    ],
                )
                for demand, choices in groups
            ]
            if total_use(lines, 0.0) <= capacity:
                continue
            low, high = (
                0.0,
                max(payoff / uses[index] for _, choices in groups for payoff, uses in choices),
            )
            for _ in range(DUAL_HALVINGS):
                middle = (low + high) / 2
                low, high = (
                    (low, middle) if total_use(lines, middle) <= capacity else (middle, high)
                )
            prices[index] = high
        # A further sweep would do the same again
        if prices == before:
            break
    return prices


def total_use(lines, price):
    """Returns what the groups use of a capacity at a price.

    Each group takes the choice that nets most, if that is over 0.
    """
    total = 0.0
    for demand, choices in lines:
        best = use = 0.0
        for net, uses in choices:
            if net - uses * price > best:
                best, use = net - uses * price, uses
        total += demand * use
    return total

"""Takes in notes, load reports and peers' reports, and changes the rungs of plays accordingly."""

import math

from laddergw import interface
from laddergw.control.candidates import mark_probed
from laddergw.control.fleet_state import IMPLAUSIBLE_LOAD, MARGIN, REPORT_LAG_MS

# An uplink without shortage for three notes is tried with this much more.
NO_SHORTAGE_MS, TRIAL_FACTOR = 3_000.0, 1.1
SHORT_SHARE = 0.98  # delivered share under which plays lose, from the wire's rules
# Nodes of a rack that are short within this are short together: two notes' seconds.
TOGETHER_MS = 2_000.0
REVIEW_INTERVAL_MS = 500.0  # between reviews of the plays under way: half a note's second
# Share of a probe's price that sending its report to peers may cost; bytes of a message's entry.
PEER_COST_SHARE, ENTRY_BYTES = 0.12, 5.0
# Load of a short link that steps down aim for: true rates stray, shortage costs much.
TARGET_LOAD = 0.86
# Share of a step down that plays take whose last step pays: others' go first.
PAYING_STEP_SHARE = 0.3
SETTLE_MS = 700.0  # wait, past the notes' lateness, before a shortage is answered again
# Share of the free rate by a probe that one director takes; gain expected over a probe's price.
STEP_UP_SHARE, PROBE_GAIN_FACTOR = 0.3, 3.0
# From a change of rung to a step up, in usual lengths; between probes for it.
STEP_UP_GAP_LENGTHS, PROBE_GAP_MS = 0.2, 8_000.0


class Rungs:
    """Changes the rungs of plays. `loads`, `shortages`: what is to be sent to peers."""

    def __init__(self, fleet, prices):
        self.fleet, self.prices, self.loads, self.shortages = fleet, prices, {}, {}

    def receive_note(self, now, play, node_id, kind, value):
        """Takes in a note on a play; returns the verdicts that follow."""
        fleet, node = self.fleet, self.fleet.nodes.get(node_id)
        just_started = (
            play and play.latest_setup and play.started_at is not None and now - play.started_at < 1
        )
        # NaN and infinite values are not valid in a note, either
        kind = kind if node and 0 <= value < IMPLAUSIBLE_LOAD else None
        if kind == interface.RUNG_CHANGED and play and play.node is node:
            self.change_rung(now, play, min(int(value), len(play.deployment.ladder) - 1))
            # Not our change: it may step up at once
            play.rung_changed_at = -math.inf
        elif kind == interface.LINK_DEMAND:
            fleet.record_load(
                now, node, value, 0.0 if just_started else fleet.deployment.seen_after_ms
            )
            return self.step_down(now, node, [node], value) or self.step_up(now, node)
        elif kind == interface.UPLINK_DEMAND and value > 0:
            node.rack.reported_at = now
            node.rack.learn_rate(now, fleet.load(now, node.rack) / value)
            return self.step_down(now, node.rack, node.rack.nodes.values(), value)
        elif kind == interface.DELIVERED and value < SHORT_SHARE:
            return self.answer_shortage(now, node, node.rack, max(value, 0.1))

    def answer_shortage(self, now, node, rack, share):
        """Puts a shortage down to the node, or to its uplink when others behind it are short."""
        fleet, node.short_at, rack.short_at = self.fleet, now, now
        rate, others = fleet.usable_rate(now, node), node.others_load(now, fleet.others_share)
        together = any(
            n is not node and now - n.short_at < TOGETHER_MS for n in rack.nodes.values()
        )
        if others + node.own > rate or not together:
            # It is the only one: the node itself slows down, or has stalled
            if now >= node.settle_until:
                node.record_others(now, max(others, rate / share - node.own))
            return self.step_down(now, node, [node], 1 / share)
        if now >= rack.settle_until:
            if now - rack.learned_at > SETTLE_MS:
                self.shortages[rack.number] = share
            self.record_uplink_shortage(now, rack, share)
        return self.step_down(
            now, rack, [n for n in rack.nodes.values() if now >= n.settle_until], 1 / share
        )

    def record_uplink_shortage(self, now, rack, share):
        """Learns an uplink's rate from a shortage, once per settling time: notes lag steps."""
        rack.short_at = now
        if now - rack.learned_at > self.fleet.deployment.seen_after_ms + SETTLE_MS:
            rack.learn_rate(now, self.fleet.load(now, rack) * share)
            rack.learned_at = now

    def receive_report(self, now, node, report):
        """Takes in a node's load report; returns the verdicts that follow."""
        values = {
            name: value
            for name, value in zip(self.fleet.deployment.reports, report, strict=False)
            if 0 <= value < IMPLAUSIBLE_LOAD
        }
        link, uplink, verdicts = values.get("x0", values.get("load_share")), values.get("x1"), []
        if link is not None:
            self.fleet.record_load(now, node, link, REPORT_LAG_MS)
            node.reported_at, self.loads[node.id] = now, link
        if uplink:
            node.rack.learn_rate(now, self.fleet.load(now, node.rack) / uplink)
            node.rack.reported_at = now
        # Nothing else reports what is free
        if self.fleet.probes_only and link is not None:
            verdicts = self.step_down(now, node, [node], link)
            verdicts = verdicts or self.step_down(
                now, node.rack, node.rack.nodes.values(), uplink or 0
            )
            verdicts = verdicts or self.step_up(now, node)
        return verdicts

    def receive_peer_report(self, now, loads, shares):
        """Takes in a peer's reports like our own; they add no node to the list."""
        for node_id, load in loads:
            node = self.fleet.nodes.get(node_id)
            if (
                node
                and node.state != interface.GONE
                and 0 <= load < IMPLAUSIBLE_LOAD
                and now - node.reported_at > REVIEW_INTERVAL_MS
            ):
                self.fleet.record_load(now, node, load, REPORT_LAG_MS + REVIEW_INTERVAL_MS)
                node.reported_at = now - REVIEW_INTERVAL_MS
        for number, share in shares:
            if 0 <= number < len(self.fleet.racks) and 0 < share < SHORT_SHARE:
                self.record_uplink_shortage(now, self.fleet.racks[number], share)

    def try_full_uplinks(self, now, plays):
        """Raises estimates of uplinks full by them, not short: they carry more, or links sagged."""
        fleet = self.fleet
        for rack in {id(p.node.rack): p.node.rack for p in plays.values() if p.node}.values():
            load, free = fleet.load(now, rack), 1 - fleet.margin(now, rack)
            if (
                load > free * rack.uplink_rate(now)
                and now - max(rack.reported_at, rack.short_at) > NO_SHORTAGE_MS
            ):
                rack.learn_rate(
                    now, load / (1 - MARGIN if fleet.probes_only else free) * TRIAL_FACTOR
                )

    def report_to_peers(self):
        """Returns what came since, for as many peers as a share of a probe's price pays for."""
        terms, loads, shares = (
            self.fleet.deployment,
            tuple(self.loads.items()),
            tuple(self.shortages.items()),
        )
        cost = max(terms.peer_price * ENTRY_BYTES / 256, 1e-9)
        count = (
            min(int(PEER_COST_SHARE * terms.probe_price / cost), terms.directors - 1)
            if terms.peers
            else 0
        )
        start, directors = int(self.fleet.draw() * terms.directors) if count else 0, terms.directors
        peers = [
            (start + offset) % directors
            for offset in range(count + 1)
            if (start + offset) % directors != terms.number
        ][:count]
        self.loads, self.shortages = {}, {}
        return interface.Verdict(notify_directors=tuple(peers), loads=loads, shares=shares)

    def step_down(self, now, short, nodes, load):
        """Steps plays at the nodes down by what is asked too much, as all directors do.

        `short`: the node or rack that is short; `load`: what is asked of it over what it gives.
        """
        if load <= 1 or now < short.settle_until:
            return []
        short.settle_until = now + self.fleet.deployment.seen_after_ms + SETTLE_MS
        excess, verdicts = sum(node.own for node in nodes) * (1 - TARGET_LOAD / load), {}
        able = [p for node in nodes for p in node.plays.values() if p.started_at is not None]
        while able := [p for p in able if p.rung > p.product.floor]:
            play = min(able, key=lambda p: (p.step_gain(p.rung - 1) / p.last_step_rate(), p.id))
            # What pays at the node's prices goes down later
            share = PAYING_STEP_SHARE if self.prices.last_step_pays(now, play) else 1
            # The last by chance: not all directors round up
            if excess * share < play.last_step_rate() * self.fleet.draw():
                break
            excess -= play.last_step_rate()
            # Several rungs at once cost one change
            verdicts[play.id] = self.change_rung(now, play, play.rung - 1)
        return list(verdicts.values())

    def step_up(self, now, node):
        """Steps plays up by our part of what is free: all directors there got the same note."""
        fleet, rates = self.fleet, self.fleet.rates(now, node)
        available = min(
            (rate * fleet.step_up_load / max(fleet.load(now, link), 1e-9) - 1) * node.own
            for link, rate in rates
        )
        # No other director got this report
        if fleet.probes_only:
            available = STEP_UP_SHARE * min(
                rate * min(fleet.step_up_load, 1 - fleet.margin(now, resource))
                - fleet.load(now, resource)
                for resource, rate in rates
            )
        able, verdicts = [p for p in node.plays.values() if self.may_step_up(now, p)], []
        for play in sorted(able, key=lambda p: (-p.step_gain(p.rung) * p.remaining_ms(now), p.id)):
            old_rate, extra_rate = play.rate(), play.rate(play.rung + 1) - play.rate()
            if available < extra_rate * fleet.draw():
                break
            rung = self.prices.best_rung(
                now, play, node, play.remaining_ms(now), max(available, extra_rate), play.rung
            )
            if rung is not None:
                verdicts.append(self.change_rung(now, play, rung))
                available -= play.rate() - old_rate
        return verdicts

    def change_rung(self, now, play, rung):
        """Counts a play at its new rung; returns the verdict that changes it."""
        self.fleet.count_load(now, play, -1)
        play.rung, play.rung_changed_at = rung, now
        self.fleet.count_load(now, play, 1)
        return interface.Verdict(play.id, rung=rung)

    def may_step_up(self, now, play):
        """Whether a play is under way, below its highest rung, long enough at its present one."""
        return (
            play.started_at is not None
            and play.rung < play.highest_rung()
            and now - play.rung_changed_at >= STEP_UP_GAP_LENGTHS * self.prices.usual_length_ms
        )

    def nodes_to_probe(self, now, plays):
        """Returns nodes where steps up would pay for a probe, as no note reports what is free."""
        deployment, nodes = self.fleet.deployment, []
        cost = (
            PROBE_GAIN_FACTOR
            * deployment.probe_price
            * self.prices.usual_length_ms
            * max(product.importance for product in deployment.products)
        )
        for node in {
            p.node.id: p.node for p in plays.values() if p.node and not p.pending_setup
        }.values():
            # Spread out, so that not all are probed at once after a start
            if node.next_probe_at is None:
                node.next_probe_at = now + self.fleet.draw() * PROBE_GAP_MS
            if (
                now < max(node.next_probe_at, node.reported_at + PROBE_GAP_MS / 2)
                or node.state == interface.GONE
            ):
                continue
            if cost < sum(
                p.step_gain(p.rung) * p.remaining_ms(now)
                for p in node.plays.values()
                if self.may_step_up(now, p)
            ):
                node.next_probe_at = now + PROBE_GAP_MS
                nodes.append(node)
        return mark_probed(now, nodes)

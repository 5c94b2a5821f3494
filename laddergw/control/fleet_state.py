"""The load of each link and uplink, by us and by others, and so what is free there."""

import math
from collections import Counter, deque
from zlib import crc32

from laddergw import interface
from laddergw.control.load_estimate import DECAY_MS, DecayingSum, LoadEstimate

MARGIN = 0.06  # share of a link or uplink kept free: true rates stray by more than reports show
SETUPS_MS, EVEN_SETUPS = 30_000.0, 4.0  # memory of our set-ups' places; weight of an even spread
FAIR_SHARE, SHARE_STEP = 0.4, 0.1  # others' share of a link before a report; one report's weight
PRIOR_PLAYS = 4.0  # plays' worth of the ladder's middle in what a play of others is taken to ask
IMPLAUSIBLE_LOAD, MAX_LOAD = 10.0, 1.5  # over a link's rate: not a report; most on a bad day
# So many directors get reports of most nodes. Of more, each ranks by chance (weight of what is
# unreported) and keeps so much of unreported links free
FEW_DIRECTORS, DRAW_WEIGHT, UNKNOWN_MARGIN = 4, 1.0, 0.26
REPORT_LAG_MS = 300.0  # usual age of a load report
UPLINK_STEP = 0.5  # weight of one note on what an uplink carries: a few notes settle it
UPLINK_BOUNDS = 0.3, 3.0  # of a believed uplink over its stated rate; sagging links stretch it
UPLINK_RETURN_MS = 30_000.0  # without shortage the belief returns to the stated rate: sags end
STEP_UP_MARGIN, STEP_UP_SHARED = 0.25, 0.2  # share of a link left free; less where many share it
LAYOUT = "racks", "rack_kb", "cells", "link_unit", "streams"  # the estimates are built on these
MIX_FACTOR = 2_654_435_761  # odd; by the linear crc32 alone, similar seeds draw alike


class Node(LoadEstimate):
    """One media node, as far as this director knows it; `viewers`: plays by shared stream."""

    def __init__(self, entry, now, ramp_start):
        super().__init__(now)
        self.id, self.plays, self.changes, self.setups = (
            entry.node,
            {},
            deque(),
            DecayingSum(SETUPS_MS, now),
        )
        self.state, self.rack, self.started_ms, self.viewers = interface.GONE, None, None, Counter()
        self.backoff_level, self.backoff_until, self.settle_until, self.free_rate = 0, 0.0, 0.0, 0.0
        self.ramp_start, self.ramp_gap, self.cold_since, self.last_setup, self.short_at = (
            ramp_start,
            1.0,
            *[-math.inf] * 3,
        )
        self.rotation_offset, self.reported_at, self.probed_at, self.next_probe_at, self.basis = (
            entry.rotation_offset,
            -math.inf,
            *[None] * 3,
        )

    def record_others(self, now, load):
        """Takes in others' load. Above what is ever asked, the link gives less (sags, stalls)."""
        rate, change = (
            self.rate - self.known_kb.at(now),
            min(load, MAX_LOAD * self.rate) - self.known_load.at(now),
        )
        for resource in (self,) if self.state == interface.GONE else (self, self.rack):
            resource.known_kb.add(now, rate)
            resource.known_load.add(now, change)
            resource.revision += 1


class Rack(LoadEstimate):
    """The nodes behind one uplink; `excess`: believed rate over stated; `reported_at`: of x1."""

    def __init__(self, number, stated_rate, now):
        super().__init__(now)
        self.number, self.stated_rate, self.nodes = number, stated_rate, {}
        self.excess = DecayingSum(UPLINK_RETURN_MS, now)
        self.settle_until, self.reported_at, self.short_at, self.learned_at = 0.0, *[-math.inf] * 3

    def uplink_rate(self, now):
        return self.stated_rate + self.excess.at(now)

    def learn_rate(self, now, rate):
        low, high, self.revision = (
            self.stated_rate * UPLINK_BOUNDS[0],
            self.stated_rate * UPLINK_BOUNDS[1],
            self.revision + 1,
        )
        self.excess.add(now, UPLINK_STEP * (min(max(rate, low), high) - self.uplink_rate(now)))


class Fleet:
    """The list's nodes and our plays there, kept as sums: no event visits all."""

    def __init__(self, seed):
        self.seed, self.draws, self.nodes, self.has_list, self.deployment = seed, 0, {}, False, None
        self.others_share, self.reports, self.ready_kb, self.seats = FAIR_SHARE, 1, 0.0, Counter()
        self.own_rate, self.play_count = 0.0, 0  # of our plays at nodes

    def update_nodes(self, now, entries, whole):
        named = {entry.node for entry in entries}
        for node in [n for n in self.nodes.values() if n.id not in named] if whole else ():
            self.set_state(now, node, interface.GONE)
        for entry in entries:
            if entry.node not in self.nodes:
                if entry.state == interface.GONE:
                    continue
                # After our own start any node may be cold
                self.nodes[entry.node] = Node(entry, now, -math.inf if self.has_list else now)
            self.set_state(now, node := self.nodes[entry.node], interface.GONE)
            if entry.state != interface.GONE:
                self.apply_entry(node, entry)
            self.set_state(now, node, entry.state)
            if node.started_ms is None:
                node.record_others(now, self.others_share * node.rate)
            if (
                entry.started_ms != node.started_ms
                and now - entry.started_ms < self.deployment.warm_ms
                and entry.started_ms
            ):
                node.cold_since, node.backoff_level, node.backoff_until = entry.started_ms, 0, 0.0
                node.record_others(now, 0.0)
                node.ramp_start, node.ramp_gap = max(node.ramp_start, entry.started_ms), self.draw()
            node.started_ms = entry.started_ms
        self.has_list = True

    def apply_entry(self, node, entry):
        """Sets what a node's list entry means in this deployment."""
        terms, node.entry, node.cell, node.zone = self.deployment, entry, entry.cell, entry.zone
        node.rack, node.rate = self.racks[entry.cell % terms.racks], entry.weight * terms.link_unit
        node.max_streams = terms.streams[min(entry.kind, len(terms.streams) - 1)]

    def set_state(self, now, node, state):
        """Takes a node into the sums of its rack and the fleet, or out of them."""
        if (node.state == interface.GONE) != (state == interface.GONE):
            sign, rack = (-1 if state == interface.GONE else 1), node.rack
            rack.rate, rack.own = rack.rate + sign * node.rate, rack.own + sign * node.own
            rack.revision += 1
            for total, part in (rack.known_kb, node.known_kb), (rack.known_load, node.known_load):
                total.add(now, sign * part.at(now))
            for index in rack.nodes, self.cells[node.cell % len(self.cells)]:
                index.pop(node.id, None) if sign < 0 else index.update({node.id: node})
        self.ready_kb += node.rate * ((state == interface.READY) - (node.state == interface.READY))
        node.state = state

    def update_deployment(self, now, deployment):
        """Returns whether the estimates moved into a new layout."""
        old, self.deployment, new = self.deployment, deployment, deployment
        self.scarcity, self.probes_only = (
            max(0.0, 1 - FEW_DIRECTORS / new.directors),  # how little each director knows
            new.probes and new.told_by == "probe",
        )
        self.step_up_load = 1 - MARGIN - STEP_UP_MARGIN + STEP_UP_SHARED * self.scarcity
        if old and all(getattr(old, key) == getattr(new, key) for key in LAYOUT):
            return False
        states = [(node, node.state) for node in self.nodes.values()]
        for node, _ in states:
            self.set_state(now, node, interface.GONE)
        self.racks = [Rack(n, new.rack_kb, now) for n in range(new.racks)]
        self.cells = [{} for _ in range(new.cells)]  # their nodes, by id
        for node, state in states:
            self.apply_entry(node, node.entry)
            self.set_state(now, node, state)
        return True

    def crossing_price(self, node):
        return self.deployment.cross_price if node.zone != self.deployment.zone else 0.0

    def usable_rate(self, now, node):
        """Returns what a link surely gives: a cold one's rises to all of it."""
        return node.rate * self.warmth(now, node.cold_since)

    def warmth(self, now, start):
        age = max(now - start, 0) / max(self.deployment.warm_ms, 1e-9)
        return self.deployment.cold_from + (1 - self.deployment.cold_from) * min(age, 1)

    def others_streams(self, now, node):
        prior = PRIOR_PLAYS * (self.deployment.ladder[0] * self.deployment.ladder[-1]) ** 0.5
        return (
            node.others_load(now, self.others_share)
            * (self.play_count + PRIOR_PLAYS)
            / (max(self.own_rate, 0.0) + prior)
        )

    def load(self, now, resource):
        """Returns all that is asked of a link or uplink."""
        return resource.own + resource.others_load(now, self.others_share)

    def free_rate(self, now, node, margin=None):
        """Returns what is free at a node's link and at its uplink, beyond the margin."""
        return min(
            rate * (1 - (self.margin(now, resource) if margin is None else margin))
            - self.load(now, resource)
            for resource, rate in self.rates(now, node)
        )

    def margin(self, now, resource):
        """Returns the share kept free of new plays; wider for what was not reported."""
        known = resource.known_kb.at(now) / max(resource.rate, 1e-9)
        doubt = min((now - resource.reported_at) / DECAY_MS, 1 - known) if self.probes_only else 1.0
        return MARGIN + UNKNOWN_MARGIN * self.scarcity * min(max(doubt, 0.0), 1.0)

    def rates(self, now, node):
        return (node, self.usable_rate(now, node)), (node.rack, node.rack.uplink_rate(now))

    def add_play(self, now, play, node):
        play.node, node.plays[play.id] = node, play
        self.seats[play.request.product, play.request.title] += 1
        self.count_load(now, play, 1)

    def remove_play(self, now, play, node, outcome):
        if play.node and play.node.plays.pop(play.id, None):
            self.seats[play.request.product, play.request.title] -= 1
            self.count_load(now, play, -1)
            play.node = None

    def added_rate(self, play, node, rung):
        """Returns the load that a play adds: part of its rate where its live stream is there."""
        return play.rate(rung) * (
            play.deployment.join if play.is_shared() and node.viewers[play.stream_key(rung)] else 1
        )

    def count_load(self, now, play, sign):
        """Counts a play into what its node carries (1) or out of it (-1)."""
        self.own_rate, self.play_count = self.own_rate + sign * play.rate(), self.play_count + sign
        node, key = play.node, play.stream_key(play.rung)
        node.viewers[key] -= sign < 0
        self.change_own(now, node, sign * self.added_rate(play, node, play.rung))
        node.viewers[key] += sign > 0
        node.viewers[key] or node.viewers.pop(key)

    def change_own(self, now, node, change):
        change = max(change, -node.own)
        node.own, node.revision = node.own + change, node.revision + 1
        if node.state != interface.GONE:
            node.rack.own, node.rack.revision = node.rack.own + change, node.rack.revision + 1
        node.changes.append((now, change))
        while node.changes[0][0] < now - 2 * self.deployment.seen_after_ms - REPORT_LAG_MS:
            node.changes.popleft()

    def record_load(self, now, node, load, lag):
        """Takes in what is asked of a link over what it gives, as it was `lag` ms ago."""
        rate, own = (
            self.usable_rate(now, node),
            node.own - sum(change for at, change in node.changes if at > now - lag),
        )
        if rate <= 0:  # weighted out or starting from 0: a share of nothing is no load
            return
        node.record_others(now, others := max(0.0, load * rate - own))
        self.reports += 1
        self.others_share += max(SHARE_STEP, 1 / self.reports) * (
            min(others / rate, 1.5) - self.others_share
        )

    def draw(self):
        """Returns the next pseudo-random number from 0 to 1."""
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) * MIX_FACTOR % 2**32 / 2**32

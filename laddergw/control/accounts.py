"""What is asked of each link and uplink, by us and by others, and so what is free there."""

import math
from collections import Counter, deque
from zlib import crc32

from laddergw import interface
from laddergw.control.account import AGE_MS, Account, Fading

MARGIN = 0.06  # share of a link or uplink kept free: true rates stray by more than reports show
SHARE_MS, SHARE_PRIOR = (
    30_000.0,
    4.0,
)  # memory of our set-ups' places; set-ups' worth of an even spread
CROWD_START, CROWD_STEP = (
    0.4,
    0.1,
)  # others' share of a link before a note: fair use; a note's weight in it
RATE_PRIOR = 4.0  # plays' worth of the ladder's middle in what a play of others is taken to ask
ABSURD, MOST = (
    10.0,
    1.5,
)  # told so much is no word at all; so much of a link is asked for on a bad day
FEW, DOUBT, WARY = (
    4,
    1.0,
    0.26,
)  # so many hear of most nodes; more draw and keep so much of unheard links
REPORT_LAG_MS = 300.0  # load reports: usual age
UPLINK_STEP = 0.5  # weight of one note on what an uplink carries: a few notes settle it
UPLINK_SPAN = (
    0.3,
    3.0,
)  # bounds of a believed uplink over its told size; sagging links stretch the account
UPLINK_BACK_MS = (
    30_000.0  # without shortage the belief returns to the told size over this: sags end
)
UP_ROOM, UP_SHARED = (
    0.25,
    0.2,
)  # share of a link left free by a step up; less of it where many share room
SHAPE = "racks", "rack_kb", "cells", "link_unit", "streams"  # accounts are built on these
MIX = 2_654_435_761  # odd, by the linear crc32 alone like seeds draw alike


class Node(Account):
    """One media node, as far as this director knows it."""

    def __init__(self, line, now, pace):
        super().__init__(now)
        self.id, self.plays, self.log, self.setups = line.node, {}, deque(), Fading(SHARE_MS, now)
        self.state, self.rack, self.started, self.shared = (
            interface.GONE,
            None,
            None,
            Counter(),
        )  # streams
        self.ill, self.rest, self.settle, self.room = 0, 0.0, 0.0, 0.0
        self.pace, self.early, self.cold, self.last_send, self.short = pace, 1.0, *[-math.inf] * 3
        self.mark, self.heard, self.asked, self.next_up, self.roomed = (
            line.mark,
            -math.inf,
            *[None] * 3,
        )

    def hear(
        self, now, others
    ):  # told of more than is ever asked, it gives less: a sag, a stand-still
        known, told = (
            self.links - self.known.now(now),
            min(others, MOST * self.links) - self.told.now(now),
        )
        for part in (self,) if self.state == interface.GONE else (self, self.rack):
            part.known.add(now, known)
            part.told.add(now, told)
            part.touched += 1


class Rack(Account):
    """The nodes behind one uplink."""

    def __init__(self, number, stated, now):
        super().__init__(now)
        self.number, self.stated, self.members = number, stated, {}
        self.over = Fading(UPLINK_BACK_MS, now)  # what it is believed to carry beyond that
        self.settle, self.heard, self.short, self.learned = 0.0, *[-math.inf] * 3  # heard: x1

    def size(self, now):
        return self.stated + self.over.now(now)

    def learn(self, now, size):
        low, high, self.touched = (
            self.stated * UPLINK_SPAN[0],
            self.stated * UPLINK_SPAN[1],
            self.touched + 1,
        )
        self.over.add(now, UPLINK_STEP * (min(max(size, low), high) - self.size(now)))


class Fleet:
    """The list's nodes and our plays there, kept as sums: no event visits all."""

    def __init__(self, seed):
        self.seed, self.draws, self.nodes, self.known, self.d = seed, 0, {}, False, None
        self.crowd, self.notes, self.ready, self.seats = CROWD_START, 1, 0.0, Counter()
        self.rates, self.count = 0.0, 0  # of our plays at nodes

    def listed(self, now, lines, whole):
        named = {line.node for line in lines}
        for node in [n for n in self.nodes.values() if n.id not in named] if whole else ():
            self.enlist(now, node, interface.GONE)
        for line in lines:
            if line.node not in self.nodes:
                if line.state == interface.GONE:
                    continue  # (after our own start any may be cold)
                self.nodes[line.node] = Node(line, now, -math.inf if self.known else now)
            self.enlist(now, node := self.nodes[line.node], interface.GONE)
            if line.state != interface.GONE:
                self.fit(node, line)
            self.enlist(now, node, line.state)
            if node.started is None:
                node.hear(now, self.crowd * node.links)
            if (
                line.started_ms != node.started
                and now - line.started_ms < self.d.warm_ms
                and line.started_ms
            ):
                node.cold, node.ill, node.rest = line.started_ms, 0, 0.0
                node.hear(now, 0.0)
                node.pace, node.early = max(node.pace, line.started_ms), self.chance()
            node.started = line.started_ms
        self.known = True

    def fit(self, node, line):  # what a node's line means in this deployment
        d, node.line, node.cell, node.zone = self.d, line, line.cell, line.zone
        node.rack, node.links = self.racks[line.cell % d.racks], line.weight * d.link_unit
        node.streams = d.streams[min(line.kind, len(d.streams) - 1)]

    def enlist(self, now, node, state):  # takes it out of the sums of its rack and fleet, or in
        if (node.state == interface.GONE) != (state == interface.GONE):
            sign, rack = (-1 if state == interface.GONE else 1), node.rack
            rack.links, rack.own = rack.links + sign * node.links, rack.own + sign * node.own
            rack.touched += 1
            for total, part in (rack.known, node.known), (rack.told, node.told):
                total.add(now, sign * part.now(now))
            for index in rack.members, self.cells[node.cell % len(self.cells)]:
                index.pop(node.id, None) if sign < 0 else index.update({node.id: node})
        self.ready += node.links * ((state == interface.READY) - (node.state == interface.READY))
        node.state = state

    def retold(self, now, deployment):  # accounts move into a new shape: told then
        old, self.d, d = self.d, deployment, deployment
        self.many, self.blind = max(0.0, 1 - FEW / d.directors), d.probes and d.told_by == "probe"
        self.up_to = 1 - MARGIN - UP_ROOM + UP_SHARED * self.many  # (many: how little each knows)
        if old and all(getattr(old, key) == getattr(d, key) for key in SHAPE):
            return False
        states = [(node, node.state) for node in self.nodes.values()]
        for node, _ in states:
            self.enlist(now, node, interface.GONE)
        self.racks = [Rack(n, d.rack_kb, now) for n in range(d.racks)]
        self.cells = [{} for _ in range(d.cells)]  # their nodes, by id
        for node, state in states:
            self.fit(node, node.line)
            self.enlist(now, node, state)
        return True

    def crossing(self, node):
        return self.d.cross_price if node.zone != self.d.zone else 0.0  # of its worth

    def size(self, now, node):  # what a link surely gives: a cold one's rises to all of it
        return node.links * self.warmth(now, node.cold)

    def warmth(self, now, start):
        age = max(now - start, 0) / max(self.d.warm_ms, 1e-9)
        return self.d.cold_from + (1 - self.d.cold_from) * min(age, 1)

    def other_streams(self, now, node):
        usual = RATE_PRIOR * (self.d.ladder[0] * self.d.ladder[-1]) ** 0.5
        return (
            node.others(now, self.crowd)
            * (self.count + RATE_PRIOR)
            / (max(self.rates, 0.0) + usual)
        )

    def load(self, now, part):
        return part.own + part.others(now, self.crowd)  # all that is asked of it

    def room(self, now, node, margin=None):
        return min(
            size * (1 - (self.margin(now, part) if margin is None else margin))
            - self.load(now, part)
            for part, size in self.sizes(now, node)
        )

    def margin(self, now, part):  # kept free of new plays; wider for what was not told of
        told = part.known.now(now) / max(part.links, 1e-9)
        doubt = min((now - part.heard) / AGE_MS, 1 - told) if self.blind else 1.0
        return MARGIN + WARY * self.many * min(max(doubt, 0.0), 1.0)

    def sizes(self, now, node):
        return (node, self.size(now, node)), (node.rack, node.rack.size(now))

    def put(self, now, play, node):
        play.node, node.plays[play.id] = node, play
        self.seats[play.ask.product, play.ask.title] += 1
        self.weigh(now, play, 1)

    def put_back(self, now, play, node, outcome):
        if play.node and play.node.plays.pop(play.id, None):
            self.seats[play.ask.product, play.ask.title] -= 1
            self.weigh(now, play, -1)
            play.node = None

    def adds(self, play, node, rung):  # of a live stream that is there, only a part of its rate
        return play.rate(rung) * (
            play.d.join if play.shares() and node.shared[play.stream(rung)] else 1
        )

    def weigh(self, now, play, sign):  # into what its node carries (1) or out of it (-1)
        self.rates, self.count = self.rates + sign * play.rate(), self.count + sign
        node, key = play.node, play.stream(play.rung)
        node.shared[key] -= sign < 0
        self.carry(now, node, sign * self.adds(play, node, play.rung))
        node.shared[key] += sign > 0
        node.shared[key] or node.shared.pop(key)

    def carry(self, now, node, change):
        change = max(change, -node.own)
        node.own, node.touched = node.own + change, node.touched + 1
        if node.state != interface.GONE:
            node.rack.own, node.rack.touched = node.rack.own + change, node.rack.touched + 1
        node.log.append((now, change))
        while node.log[0][0] < now - 2 * self.d.seen_after_ms - REPORT_LAG_MS:
            node.log.popleft()

    def told(self, now, node, asked, lag):  # what is asked of a link over what it gives, `lag` ago
        size, ours = (
            self.size(now, node),
            node.own - sum(change for at, change in node.log if at > now - lag),
        )
        if size <= 0:  # weighted out, starting from nothing: a part of nothing tells no load
            return
        node.hear(now, others := max(0.0, asked * size - ours))
        self.notes += 1
        self.crowd += max(CROWD_STEP, 1 / self.notes) * (min(others / size, 1.5) - self.crowd)

    def chance(self):
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) * MIX % 2**32 / 2**32

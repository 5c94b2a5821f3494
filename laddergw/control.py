"""Decides who plays, on which media node and at which rung; docs/design.md tells the reasons.

Call: one Controller(deployment, seed, now) a director, then a method for each thing that happens: listed,
list_failed, asked, handed_over, playing, ended, note, left, wake. Each returns (verdicts, next wake time).
The types that go in and out are in laddergw/interface.py. Times are ms with fractions, rates kB a second.
"""
import math
from collections import deque
from zlib import crc32

from laddergw import interface as face
from laddergw.interface import Verdict

LENGTH_MS = 40_000.0       # length of a play without a hint, from the design page
TAIL = 0.25                # share of its length that an overdue play is still expected to last
MARGIN = 0.06              # share of a link or uplink kept free: true rates stray by more than reports show
FORECAST_MS = 15_000.0     # memory of arrivals: a few dozen plays, short enough to follow a wave
SHARE_MS = 30_000.0        # memory of where our set-ups went: about one play's length
SHARE_PRIOR = 4.0          # set-ups' worth of belief that they spread by link size
CROWD_START = 0.4          # others' share of a link before anything was heard: a fleet in fair use
CROWD_STEP = 0.1           # weight of one note in others' usual share: about the last ten notes
AGE_MS = 15_000.0          # what was told of a node's others fades into their usual share over this
ABSURD = 10.0              # a load or rung told at or over this is no word at all: links are never asked that
REPORT_LAG_MS = 300.0      # load reports: usual age
UPLINK_STEP = 0.5          # weight of one note on what an uplink carries: a few notes settle it
UPLINK_SPAN = (0.3, 3.0)   # bounds of a believed uplink over its told size; sagging links stretch the account
QUIET_MS = 3_000.0         # without a word of shortage an uplink is not short: three notes' seconds
TRY_MORE = 1.1             # an uplink that carries what it is asked is tried with this much more
UPLINK_BACK_MS = 30_000.0  # without shortage the belief returns to the told size over this: sags end
SHORT = 0.98               # delivered share under which plays lose, from the wire's rules
AIM_LOAD = 0.96            # load of a short link that stepping down aims for: just under its size
SETTLE_MS = 700.0          # wait, past the notes' lateness, before a shortage is answered again
TOGETHER_MS = 2_000.0      # nodes of a rack short within this are short together: two notes' seconds
LOOK_MS = 500.0            # pace of looking over the plays under way: half a note's second
UP_ROOM = 0.25             # share of a link left free by a step up: others may step up at the same word
UP_GAP_MS = 8_000.0        # time from a change of a play's rung to a step up: a shortage is over by then
ILL_MS = 400.0             # first rest of a node that failed; doubles with each further failure
COLD_PART = 0.7            # part of a cold node's allowance that we all use: set-ups differ in work
ILL_MOST = 5               # doublings at most: a rest of 13 s, about a restart
ANSWER_START_MS = 150.0    # set-up time assumed before any was seen
ANSWER_STEP = 0.1          # weight of one set-up in the usual time
PATIENCE = 5.0             # time-out in usual set-up times: slow ones pass, silent nodes do not
TIMEOUT_LEAST_MS = 300.0   # a handshake and a busy queue fit
RETRY_MS = 1_000.0         # longest retry-after; spread over its upper half, against returns in one wave
LOOP_SWEEPS, LOOP_HALVINGS = 4, 24   # of the dual loop: prices to one part in ten million
SURE = 1.000001            # importance must exceed its cost by more than rounding


class Allocation:
    """One set-up sent out."""
    def __init__(self, number, last):
        self.number, self.last = number, last        # last: no other may follow it


class Play:
    """One play, from its request to its end."""
    def __init__(self, ask, product, now):
        self.ask, self.id, self.product, self.rung = ask, ask.play, product, product.floor
        self.length, self.holders = ask.length_ms or LENGTH_MS, []
        self.limit, self.started, self.changed = now + ask.wait_ms, None, now
        self.out = self.node = self.first = None    # allocation out, node it loads, node first sent to
        self.sends, self.tried, self.may_have_run, self.over = 0, set(), False, False

    def left(self, now):
        """Expected time still to play."""
        return max(self.length - (now - (self.started or now)), TAIL * self.length)


class Node:
    """One media node, as far as this director knows it."""
    def __init__(self, line, now):
        self.id, self.plays, self.log = line.node, {}, deque()
        self.own = self.others = self.setups = 0.0
        self.told, self.count, self.started = now, None, None
        self.ill, self.rest, self.settle, self.room = 0, 0.0, 0.0, 0.0
        self.cold = self.pace = self.last_send = self.short = -math.inf   # warm-up, pacing, set-up, shortage


class Rack:
    """The nodes behind one uplink."""
    def __init__(self, told, now):
        self.told, self.believed, self.at, self.settle, self.heard = told, told, now, 0.0, -math.inf

    def size(self, now):
        return self.told + (self.believed - self.told) * math.exp(-(now - self.at) / UPLINK_BACK_MS)

    def learn(self, now, size):
        low, high = (self.told * m for m in UPLINK_SPAN)
        held = self.size(now)
        self.believed, self.at = held + UPLINK_STEP * (min(max(size, low), high) - held), now


class Controller:
    def __init__(self, deployment, seed, now):
        self.d, self.seed, self.draws, self.nodes, self.plays, self.known = deployment, seed, 0, {}, {}, False
        self.rows, self.demand, self.faded = deployment.products, [0.0] * len(deployment.products), now
        self.crowd, self.usual = CROWD_START, ANSWER_START_MS
        self.racks = [Rack(deployment.rack_kb, now) for _ in range(deployment.racks)]
        self.taken, self.further = deque(), deque()  # times, for the budget
        self.seats, self.next_look, self.ask_at = {}, now + LOOK_MS, now if deployment.must_ask else math.inf
        self.chain = ((self.terms, None), (self.holding, None), (self.health, self.health_back),
                      (self.price, self.price_back), (self.ration, None), (self.send, self.send_back))

    # What happens, told by the host

    def listed(self, now, lines, whole):
        named = {line.node for line in lines}
        for node in self.nodes.values() if whole else ():
            if node.id not in named:
                node.state = face.GONE
        for line in lines:
            node = self.nodes.get(line.node)
            if node is None:
                node = self.nodes[line.node] = Node(line, now)
                node.others = self.crowd * line.weight * self.d.link_unit
                if not self.known:                   # after our own start any node may have started just now
                    node.pace = now
            if line.state != face.GONE:
                node.cell, node.rack, node.zone = line.cell, line.cell % self.d.racks, line.zone
                kind = min(line.kind, len(self.d.streams) - 1)
                node.link, node.streams = line.weight * self.d.link_unit, self.d.streams[kind]
            elif node.started is None:
                del self.nodes[line.node]
                continue
            if line.started_ms != node.started and now - line.started_ms < self.d.warm_ms and line.started_ms:
                node.cold, node.others, node.told, node.ill, node.rest = line.started_ms, 0.0, now, 0, 0.0
                node.pace = max(node.pace, line.started_ms)
            node.started, node.state = line.started_ms, line.state
        self.known = True
        return self.done([])

    def list_failed(self, now):
        self.ask_at = now + RETRY_MS if self.d.must_ask else math.inf
        return self.done([])

    def asked(self, now, ask):
        ply = self.plays[ask.play] = Play(ask, self.rows[ask.product], now)
        self.taken.append(now)
        verdicts = self.run(now, ply)
        self.fade(now)
        self.demand[ask.product] += 1 / FORECAST_MS  # after its pricing: a play doesn't compete with itself
        return self.done(verdicts)

    def handed_over(self, now, ask, node_id):
        ply = self.plays[ask.play] = Play(ask, self.rows[ask.product], now)
        ply.started, ply.sends = now, 1
        self.demand[ask.product] += 1 / ply.length   # plays under way over their length: Little's law
        if node_id in self.nodes:
            self.put(now, ply, self.nodes[node_id])
        return self.done([])

    def playing(self, now, play, number, delay, node_id):
        ply = self.plays.get(play)
        if ply and ply.out and ply.out.number == number:
            ply.started, ply.changed, ply.out = now, now, None
            self.usual += ANSWER_STEP * (delay - self.usual)
            ply.node.ill, ply.node.rest = max(0, ply.node.ill - 2), 0.0
        return self.done([])

    def ended(self, now, play, number, outcome, node_id, over, report):
        node, ply = self.nodes.get(node_id), self.plays.get(play)
        if node and report:
            self.reported(now, node, report)
        if ply is None or ply.sends - 1 != number:
            return self.done([])
        for _, back in reversed([stage for stage in self.chain if stage[1]]):
            back(now, ply, node or ply.node, outcome)
        ply.out = ply.node = None
        if over or ply.over or ply.started is not None:
            self.plays.pop(play, None)
            return self.done([])
        return self.done(self.run(now, ply))

    def note(self, now, play, node_id, kind, value):
        ply, node = self.plays.get(play), self.nodes.get(node_id)
        if not 0 <= value < ABSURD or node is None:  # also NaN and infinite: no note
            return self.done([])
        if kind == face.RUNG_NOW and ply and ply.node is node:
            self.step(now, ply, min(int(value), len(self.d.ladder) - 1))
        fresh = ply and ply.first and ply.started is not None and now - ply.started < 1
        lag, rack = 0.0 if fresh else self.d.seen_after_ms, self.racks[node.rack]
        if kind == face.LINK_ASKED:
            self.told(now, node, value, lag)
            if value > 1:
                return self.done(self.shed(now, node, [node], 1 / value))
        elif kind == face.UPLINK_ASKED and value > 0:
            rack.heard = now
            rack.learn(now, self.rack_load(now, node.rack) / value)
            if value > 1:
                return self.done(self.shed(now, rack, self.mates(node), 1 / value))
        elif kind == face.DELIVERED and value < SHORT:
            node.short, size, had = now, self.size(now, node), self.others(now, node)
            together = any(n is not node and now - n.short < TOGETHER_MS for n in self.mates(node))
            if had + node.own > size or not together:
                # Short alone: the node itself, whatever its load says (a sagging link, one that stands still)
                if now >= node.settle:
                    node.told, node.others = now, max(had, size / max(value, 0.1) - node.own)
                return self.done(self.shed(now, node, [node], value))
            # Short with others of its rack: the uplink. Learned once a settling: notes lag steps
            if now >= rack.settle:
                rack.learn(now, self.rack_load(now, node.rack) * value)
            return self.done(self.shed(now, rack, [n for n in self.mates(node) if now >= n.settle], value))
        return self.done([])

    def left(self, now, play):
        ply = self.plays.get(play)
        if ply:
            ply.over = True
            if ply.out is None and ply.node is None:
                del self.plays[play]
        return self.done([])

    def wake(self, now):
        out = [Verdict(follow=True)] if now >= self.ask_at else []
        self.ask_at = math.inf if out else self.ask_at
        if now >= self.next_look:
            self.next_look = now + LOOK_MS
            for node in self.nodes.values():
                out += self.step_up(now, node)
            # Told and seen contradict: an uplink full by our account, but no play on it short. It carries
            # more, or sagging links told of more load than there is; else we would decline for nothing.
            for number, rack in enumerate(self.racks):
                short = [n.short for n in self.nodes.values() if n.rack == number and n.plays]
                full = self.rack_load(now, number) / (1 - MARGIN)
                if short and full > rack.size(now) and now - max(max(short), rack.heard) > QUIET_MS:
                    rack.learn(now, full * TRY_MORE)
        return self.done(out)

    def done(self, verdicts):
        return verdicts, min(self.next_look, self.ask_at)

    # The chain: each stage passes a play on (None) or ends it (a verdict)

    def run(self, now, ply):
        verdict = next(filter(None, (stage(now, ply) for stage, _ in self.chain)))
        if verdict.answer:
            self.plays.pop(ply.id, None)
        return [verdict]

    def give_up(self, ply):
        """The final answer at once: a decline with a time to come back, where no set-up can have run."""
        row = ply.product
        if ply.may_have_run and (row.repeat == "paid" or row.repeat == "keyed" and row.group != "all"):
            return Verdict(ply.id, answer=face.FAILED)
        return Verdict(ply.id, answer=face.DECLINED,
                       retry_ms=min(RETRY_MS, self.d.retry_max_ms) * (1 + self.chance()) / 2)

    def terms(self, now, ply):
        row, held = ply.product, self.seats.get((ply.ask.product, ply.ask.title), 0)
        barred = ply.may_have_run and row.repeat == "paid" or row.seats and held >= row.seats
        if barred or row.floor > self.highest(ply) or ply.sends >= self.d.max_allocations or now >= ply.limit:
            return self.give_up(ply)

    def holding(self, now, ply):
        """Holders of the title that the list calls ready, in order of most room."""
        copies = max(1, min(int(ply.ask.copies), self.d.cells)) if ply.ask.copies else self.d.cells
        home, cells = int(ply.ask.home), self.d.cells
        ply.holders = [n for n in self.nodes.values() if n.state == face.READY and n.id not in ply.tried
                       and (n.cell - home) % cells < copies]
        if ply.may_have_run and ply.product.repeat == "keyed":
            alike = {"zone": lambda n: n.zone, "cell": lambda n: n.cell}.get(ply.product.group, bool)
            ply.holders = [n for n in ply.holders if now < ply.key_ends and alike(n) == alike(ply.first)]
        loads = [self.rack_load(now, rack) for rack in range(self.d.racks)]
        for n in ply.holders:
            n.room = min(self.room(now, n, loads[n.rack]))
        ply.holders.sort(key=lambda n: (-n.room, n.id))

    def health(self, now, ply):
        """Skips nodes that rest after failures, are cold and had their share, or (for a play that can be sent
        only once) failed lately."""
        paid = ply.product.repeat == "paid"

        def fit(n):
            if now < n.rest or n.ill and (paid or any(p.out for p in n.plays.values())):
                return False
            return now - n.pace >= self.d.warm_ms or now - n.last_send >= self.spacing(now, n)
        ply.holders = [n for n in ply.holders if fit(n)]
        if not ply.holders:
            return self.give_up(ply)

    def health_back(self, now, ply, node, outcome):
        if node is None or ply.over and outcome == face.CANCELLED:
            return
        if outcome in (face.ERROR, face.TIMED_OUT, face.UNREACHABLE, face.BROKEN):
            if now >= node.rest:                     # failures of one moment count once
                node.rest = now + ILL_MS * 2 ** node.ill * (1 + self.chance())
                node.ill = min(node.ill + 1, ILL_MOST)
            if outcome in (face.UNREACHABLE, face.BROKEN):   # it may be starting: pace it when it answers
                node.pace = now
        elif outcome == face.FULL:                   # fuller than we were told
            node.others, node.told = max(self.others(now, node), self.size(now, node) - node.own), now
            node.rest = max(node.rest, now + ILL_MS)

    def price(self, now, ply):
        """The bid-price test at each holder in turn; the first that makes an offer gets the play."""
        for node in ply.holders:
            if node.streams - len(node.plays) - self.other_streams(now, node) >= 1:
                rung = self.offer(now, ply, node, ply.length, node.room)
                if rung is not None:
                    ply.rung, ply.holders = rung, [node]
                    return None
        return self.give_up(ply)

    def offer(self, now, ply, node, lk, room, held=None):
        """The highest rung that fits and whose payoff beats its cost at the node's prices, or None."""
        if self.rate(ply, ply.product.floor) > room:
            return None
        prices = self.shadow_prices(now, node, lk)
        place, kb = prices[0] / node.streams, prices[1] / self.size(now, node)
        kb += prices[2] / self.racks[node.rack].size(now)
        chosen, below, has = None, (0.0, 0.0), 0.0
        if held is not None:                         # a play under way: what it has, and what a change costs
            has = self.rate(ply, held)
            below = (ply.product.importance * (self.d.rung_worth[held] * lk + self.d.step_cost_ms),
                     lk * inside(lk, lk) * (place + has * kb))
        for rung in range(ply.product.floor if held is None else held + 1, self.highest(ply) + 1):
            rate = self.rate(ply, rung)
            payoff = ply.product.importance * self.d.rung_worth[rung] * lk
            cost = lk * inside(lk, lk) * (place + rate * kb)
            # Each step of the ladder must also pay for what it adds: worth rises slower than rate, so a
            # top rung can beat its cost as a whole while its last step takes more than it brings.
            if rate - has <= room and payoff > cost * SURE and payoff - below[0] > (cost - below[1]) * SURE:
                chosen, below = rung, (payoff, cost)
            elif chosen is not None:
                break
        return chosen

    def price_back(self, now, ply, node, outcome):
        if ply.node and ply.node.plays.pop(ply.id, None):
            self.seat(ply, -1)
            self.load(now, ply.node, -self.rate(ply))

    def ration(self, now, ply):
        """Further allocations only within the stated budget, counted over a sliding window."""
        if ply.sends and self.d.budget_free is not None:
            for times, slack in (self.taken, 1), (self.further, -1):   # ms, so that rounding never favours us
                while times and times[0] < now - self.d.budget_ms + slack:
                    times.popleft()
            if len(self.further) + 1 > self.d.budget_free + self.d.budget_share * len(self.taken):
                return self.give_up(ply)
            self.further.append(now)

    def send(self, now, ply):
        node, left = ply.holders[0], ply.limit - now
        last = ply.product.repeat == "paid" or ply.sends + 1 >= self.d.max_allocations
        ply.out, ply.sends, node.last_send = Allocation(ply.sends, last), ply.sends + 1, now
        ply.tried.add(node.id)
        self.fade(now)
        node.setups += 1
        self.put(now, ply, node)
        timeout = left if last else min(left, max(PATIENCE * self.usual, TIMEOUT_LEAST_MS))
        if ply.first is None:
            ply.first, ply.key_ends = node, now + ply.product.key_ms
        return Verdict(ply.id, node.id, ply.rung, timeout)

    def send_back(self, now, ply, node, outcome):
        if outcome not in (face.FULL, face.UNREACHABLE, face.NEVER_SENT):
            ply.may_have_run = True
        ply.out = None

    # The program and its prices

    def shadow_prices(self, now, node, lk):
        """Duals of the node's streams, link and uplink over the period lk, net of the plays under way."""
        self.fade(now)
        size, up = self.size(now, node), self.racks[node.rack].size(now)
        stand = SHARE_PRIOR / max(sum(n.link for n in self.nodes.values() if n.state == face.READY), 1e-9)
        total = sum(n.setups for n in self.nodes.values()) + SHARE_PRIOR
        here = (node.setups + stand * node.link) / total
        mates = self.mates(node)
        rack = sum(n.setups + stand * n.link for n in mates) / total
        caps = [lk * (1 - self.other_streams(now, node) / node.streams),
                lk * (1 - MARGIN - self.others(now, node) / size),
                lk * (1 - MARGIN - sum(self.others(now, n) for n in mates) / up)]
        for n in mates:
            for p in n.plays.values():
                stay = min(p.left(now), lk)
                caps[2] -= stay * self.rate(p) / up
                if n is node:
                    caps[0] -= stay / node.streams
                    caps[1] -= stay * self.rate(p) / size
        groups = []
        for row, demand in zip(self.rows, self.demand):
            held = min(LENGTH_MS, lk) * inside(LENGTH_MS, lk)
            # the rack's uplink also carries what our set-ups at its other nodes will ask
            choices = [(row.importance * self.d.rung_worth[r] * LENGTH_MS,
                        (held / node.streams, held * self.d.ladder[r] * row.scale / size,
                         held * self.d.ladder[r] * row.scale / up * rack / max(here, 1e-9)))
                       for r in range(row.floor, min(row.top, len(self.d.ladder) - 1) + 1)]
            groups.append((lk * demand * here, choices))
        return duals(groups, caps)

    def fade(self, now):
        """Lets arrivals and set-ups seen so far lose weight."""
        self.demand = [d * math.exp(-(now - self.faded) / FORECAST_MS) for d in self.demand]
        for n in self.nodes.values():
            n.setups *= math.exp(-(now - self.faded) / SHARE_MS)
        self.faded = now

    # Room, learned from notes and reports

    def highest(self, ply):
        return min(ply.product.top, int(ply.ask.ceiling), len(self.d.ladder) - 1)

    def rate(self, ply, rung=None):
        return self.d.ladder[ply.rung if rung is None else rung] * ply.product.scale

    def size(self, now, node):
        """What a link surely gives: a cold node's rises to its told size over the warm-up."""
        age = min(max(now - node.cold, 0), self.d.warm_ms) / max(self.d.warm_ms, 1)
        return node.link * (self.d.cold_from + (1 - self.d.cold_from) * age if self.d.warm_ms else 1)

    def spacing(self, now, node):
        """Time between our set-ups at a cold node: all directors together stay at its pace."""
        share = self.d.cold_from + (1 - self.d.cold_from) * max(0.0, now - node.pace) / self.d.warm_ms
        paced = COLD_PART * max(self.d.fall_multiple, 1) * node.streams * max(share, 1e-6)
        return self.d.directors * self.d.warm_ms / paced

    def others(self, now, node):
        """Others' load at a node: what was told less ours, fading into their usual share as it ages."""
        usual = self.crowd * self.size(now, node)
        return usual + (node.others - usual) * math.exp(-(now - node.told) / AGE_MS)

    def other_streams(self, now, node):
        if node.count is not None and now - node.told < AGE_MS:
            return node.count
        rates = [self.rate(p) for p in node.plays.values()] or self.d.ladder
        return self.others(now, node) * len(rates) / sum(rates)

    def rack_load(self, now, rack):
        return sum(self.others(now, n) + n.own for n in self.nodes.values()
                   if n.rack == rack and n.state != face.GONE)

    def mates(self, node):
        return [n for n in self.nodes.values() if n.rack == node.rack and n.state != face.GONE] or [node]

    def room(self, now, node, rack_load, free=MARGIN):
        keep = 1 - free
        return (self.size(now, node) * keep - self.others(now, node) - node.own,
                self.racks[node.rack].size(now) * keep - rack_load)

    def put(self, now, ply, node):
        ply.node, node.plays[ply.id] = node, ply
        self.seat(ply, 1)
        self.load(now, node, self.rate(ply))

    def load(self, now, node, change):
        node.own = max(0.0, node.own + change)
        node.log.append((now, change))
        while node.log[0][0] < now - 2 * self.d.seen_after_ms - REPORT_LAG_MS:
            node.log.popleft()

    def told(self, now, node, asked, lag):
        """Takes in what is asked of a link over what it gives, as it stood `lag` ago."""
        size = self.size(now, node)
        then = node.own - sum(change for at, change in node.log if at > now - lag)
        node.others, node.told = max(0.0, asked * size - then), now
        self.crowd += CROWD_STEP * (min(node.others / size, 1.5) - self.crowd)

    def reported(self, now, node, report):
        values = {k: v for k, v in zip(self.d.reports, report) if 0 <= v < math.inf}
        asked = values.get("x0", values.get("load_share"))
        if asked is not None and asked < ABSURD:
            self.told(now, node, asked, REPORT_LAG_MS)
        if "concurrent" in values:
            node.count = max(0.0, values["concurrent"] - len(node.plays))
        if 0 < values.get("x1", 0) < ABSURD:
            self.racks[node.rack].learn(now, self.rack_load(now, node.rack) / values["x1"])

    # Plays under way

    def shed(self, now, short, nodes, share):
        """Steps our plays on a short link or uplink down by the part that is missing, where that loses least.
        Every director does so for its own plays, so together they shed what is asked too much."""
        if now < short.settle:
            return []
        short.settle = now + self.d.seen_after_ms + SETTLE_MS
        want, out = sum(n.own for n in nodes) * (1 - share * AIM_LOAD), []

        def loss(p):
            lost = p.product.importance * (self.d.rung_worth[p.rung] - self.d.rung_worth[p.rung - 1])
            return lost / (self.rate(p) - self.rate(p, p.rung - 1))
        able = [p for n in nodes for p in n.plays.values()
                if p.started is not None and p.rung > p.product.floor and not p.over]
        for p in sorted(able, key=lambda p: (loss(p), p.id)):
            freed = (self.rate(p) - self.rate(p, p.rung - 1))
            if want < freed * self.chance():         # the last step by chance: not all directors round up
                break
            want -= freed
            out.append(self.step(now, p, p.rung - 1))
        return out

    def step_up(self, now, node):
        """One play a look goes up, to the rung that the program offers, where idle room is ample."""
        worth = self.d.rung_worth
        room = min(self.room(now, node, self.rack_load(now, node.rack), MARGIN + UP_ROOM))
        able = [p for p in node.plays.values() if p.started is not None and not p.over
                and p.rung < self.highest(p) and now - p.changed >= UP_GAP_MS]
        ply = max(able, default=None, key=lambda p: (worth[p.rung + 1] - worth[p.rung]) * p.left(now)
                  * p.product.importance)
        rung = ply and self.offer(now, ply, node, ply.left(now), room, ply.rung)
        return [] if rung is None else [self.step(now, ply, rung)]

    def step(self, now, ply, rung):
        self.load(now, ply.node, self.rate(ply, rung) - self.rate(ply))
        ply.rung, ply.changed = rung, now
        return Verdict(ply.id, rung=rung)

    def seat(self, ply, change):
        key = ply.ask.product, ply.ask.title
        self.seats[key] = self.seats.get(key, 0) + change
        if not self.seats[key]:
            del self.seats[key]

    def chance(self):
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) / 2 ** 32


def inside(length, lk):
    """Share of a play's use that falls into the period lk when it may start at any time within it (q)."""
    return 1 - min(length, lk) / (2 * lk)


def duals(groups, caps):
    """Shadow prices of max sum(payoff x) under sum(use x) <= caps and, by group, sum(x) <= demand. Each
    price in turn is halved towards the least at which what the groups then choose fits."""
    prices = [0.0] * len(caps)

    def used(e):
        total = 0.0
        for demand, choices in groups:
            best, use = 0.0, 0.0
            for payoff, uses in choices:
                net = payoff - sum(u * p for u, p in zip(uses, prices))
                if net > best:
                    best, use = net, uses[e]
            total += demand * use
        return total

    for _ in range(LOOP_SWEEPS):
        for e, cap in enumerate(caps):
            prices[e] = 0.0
            if used(e) <= cap:
                continue
            low, high = 0.0, max(payoff / uses[e] for _, choices in groups for payoff, uses in choices)
            for _ in range(LOOP_HALVINGS):
                prices[e] = middle = (low + high) / 2
                low, high = (low, middle) if used(e) <= cap else (middle, high)
            prices[e] = high
    return prices

"""Decides who plays, on which media node and at which rung; docs/design.md tells the reasons.

Call: one Controller(deployment, seed, now) a director, then a method for each thing that happens: listed,
list_failed, asked, handed_over, playing, ended, probed, mail, note, left, wake, retold; after all, decide.
Each returns (verdicts, next wake time).
The types that go in and out are in laddergw/interface.py. Times are ms with fractions, rates kB a second.
"""
import math
from collections import Counter, deque
from operator import attrgetter, mul
from typing import NamedTuple
from zlib import crc32

from laddergw import interface as face
from laddergw.interface import Verdict

LENGTH_MS, LENGTH_STEP = 40_000.0, 0.02   # usual length of a play, before hints (design page); weight of one
TAIL = 0.25                # share of its length that an overdue play is still expected to last
MARGIN = 0.06              # share of a link or uplink kept free: true rates stray by more than reports show
LEAST_OVER = 0.05          # so far over a link or uplink a low play beats a decline: dear steps go
FORECAST_MS = 15_000.0     # memory of arrivals: a few dozen plays, short enough to follow a wave
SHARE_MS, SHARE_PRIOR = 30_000.0, 4.0   # memory of our set-ups' places; set-ups' worth of an even spread
CROWD_START, CROWD_STEP = 0.4, 0.1   # others' share of a link before a note: fair use; a note's weight in it
RATE_PRIOR = 4.0           # plays' worth of the ladder's middle in what a play of others is taken to ask
AGE_MS = 15_000.0          # what was told of a node's others fades into their usual share over this
ABSURD, MOST = 10.0, 1.5   # told so much is no word at all; so much of a link is asked for on a bad day
FEW = 4                    # directors: so many hear of most nodes
DOUBT, WARY = 1.0, 0.26    # with more: share of an unheard link drawn; share left free beyond MARGIN
REPORT_LAG_MS = 300.0      # load reports: usual age
UPLINK_STEP = 0.5          # weight of one note on what an uplink carries: a few notes settle it
UPLINK_SPAN = (0.3, 3.0)   # bounds of a believed uplink over its told size; sagging links stretch the account
QUIET_MS, TRY_MORE = 3_000.0, 1.1   # not short for three notes, an uplink is tried with so much more
UPLINK_BACK_MS = 30_000.0  # without shortage the belief returns to the told size over this: sags end
SHORT = 0.98               # delivered share under which plays lose, from the wire's rules
AIM_LOAD = 0.86            # load of a short link that stepping down aims for: true rates stray, short is dear
KEEP = 0.3                 # share of a step down that plays take whose last step pays: others' go first
SETTLE_MS = 700.0          # wait, past the notes' lateness, before a shortage is answered again
TOGETHER_MS = 2_000.0      # nodes of a rack short within this are short together: two notes' seconds
LOOK_MS = 500.0            # pace of looking over the plays under way: half a note's second
UP_ROOM, UP_SHARED = 0.25, 0.2   # share of a link left free by a step up; less of it where many share room
MAIL_PART, LINE = 0.12, 5.0  # what telling a report may cost over its probe; bytes of a line of mail
UP_PART, HOPE = 0.3, 3.0   # part of probed room that one director takes; gain over a probe's price
GAP, ECHO_GAP_MS = 0.2, 8_000.0   # from a change of rung to a step up, in usual lengths; of probes for it
ILL_MS, ILL_MOST = 400.0, 5   # first rest of a node that failed; doublings at most: to 13 s, about a restart
COLD_PART = 0.7            # part of a cold node's allowance that we all use: set-ups differ in work
ANSWER_START_MS, ANSWER_STEP = 150.0, 0.1   # set-up time before any was seen; weight of one in the usual
PATIENCE, WAIT_MS = 5.0, 300.0   # time-out in usual set-up times: slow ones pass; a handshake fits
FRESH_MS = 1_000.0         # a report is fresh so long: under a change or two of a node's plays
ECHO_WAIT_MS = 200.0       # a play waits so long for probes: a set-up's time, far under first-frame targets
RETRY_MS = 1_000.0         # longest retry-after; spread over its upper half, against returns in one wave
SHAPE = "racks", "rack_kb", "cells", "link_unit", "streams"   # accounts are built on these
MIX = 2_654_435_761        # odd, by the linear crc32 alone like seeds draw alike
LOOP_SWEEPS, LOOP_HALVINGS, SURE = 4, 24, 1.000001   # of the dual loop; worth beats cost by over rounding


class Allocation(NamedTuple):
    """One set-up sent out."""
    number: int


class Play:
    """One play, from its request to its end."""
    def __init__(self, ask, deployment, now):
        product = deployment.products[ask.product]   # the terms that it was taken on are its own to its end
        self.ask, self.id, self.product, self.rung, self.d = ask, ask.play, product, product.floor, deployment
        self.length, self.holders = ask.length_ms or LENGTH_MS, []
        self.limit, self.key_ends, self.changed = now + ask.wait_ms, now + product.key_ms, now
        self.started = self.out = self.node = self.first = None   # out: its allocation
        self.sends, self.tried, self.may_have_run, self.over, self.seen = 0, set(), False, False, False
        self.until = self.asks = None                # it waits so long for this node's probe

    def left(self, now):
        """Expected time still to play."""
        return max(self.length - (now - self.started if self.started is not None else 0), TAIL * self.length)


class Fading:
    """A sum whose parts lose weight with time."""
    def __init__(self, tau, now):
        self.tau, self.at, self.value = tau, now, 0.0

    def now(self, now):
        return self.value * math.exp((self.at - now) / self.tau)

    def add(self, now, change):
        self.value, self.at = self.now(now) + change, now


class Account:
    """What is asked of a link, or of all links of a rack: ours, and what others were told to ask, which fades
    into their usual share. Kept as sums, so that no event needs to visit the fleet."""
    def __init__(self, now):
        self.links, self.own, self.touched = 0.0, 0.0, 0   # touched: counts changes
        self.known, self.told = Fading(AGE_MS, now), Fading(AGE_MS, now)   # links told of, others' load there

    def others(self, now, crowd):
        return max(0.0, crowd * (self.links - self.known.now(now)) + self.told.now(now))


class Node(Account):
    """One media node, as far as this director knows it."""
    def __init__(self, line, now, pace):
        super().__init__(now)
        self.id, self.plays, self.log, self.setups = line.node, {}, deque(), Fading(SHARE_MS, now)
        self.state, self.rack, self.started, self.shared = face.GONE, None, None, Counter()   # streams
        self.ill, self.rest, self.settle, self.room = 0, 0.0, 0.0, 0.0
        self.pace, self.early, self.cold, self.last_send, self.short = pace, 1.0, *[-math.inf] * 3
        self.heard, self.asked, self.next_up, self.roomed = -math.inf, *[None] * 3

    def hear(self, now, others):     # told of more than is ever asked, it gives less: a sag, a stand-still
        known, told = self.links - self.known.now(now), min(others, MOST * self.links) - self.told.now(now)
        for part in (self,) if self.state == face.GONE else (self, self.rack):
            part.known.add(now, known)
            part.told.add(now, told)
            part.touched += 1


class Rack(Account):
    """The nodes behind one uplink."""
    def __init__(self, number, stated, now):
        super().__init__(now)
        self.number, self.stated, self.members = number, stated, {}
        self.over = Fading(UPLINK_BACK_MS, now)      # what it is believed to carry beyond that
        self.settle, self.heard, self.short, self.learned = 0.0, *[-math.inf] * 3   # heard: x1

    def size(self, now):
        return self.stated + self.over.now(now)

    def learn(self, now, size):
        low, high, self.touched = self.stated * UPLINK_SPAN[0], self.stated * UPLINK_SPAN[1], self.touched + 1
        self.over.add(now, UPLINK_STEP * (min(max(size, low), high) - self.size(now)))


class Controller:
    def __init__(self, deployment, seed, now):
        self.seed, self.draws, self.nodes, self.plays, self.known, self.demand = seed, 0, {}, {}, False, []
        self.crowd, self.notes, self.usual, self.ready = CROWD_START, 1, ANSWER_START_MS, 0.0
        self.loads, self.shorts, self.d, self.length, self.hints = {}, {}, None, LENGTH_MS, 1   # for peers
        self.setups, self.rates, self.count = Fading(SHARE_MS, now), 0.0, 0   # of our plays at nodes
        self.taken, self.further, self.pending = deque(), deque(), []   # times for the budget, plays to place
        self.waiting, self.seats, self.next_look, self.ask_at = {}, Counter(), now + LOOK_MS, math.inf
        self.retold(now, deployment)
        self.chain = ((self.terms, None), (self.holding, None), (self.health, self.health_back),
                      (self.inquire, None), (self.price, self.price_back), (self.ration, None),
                      (self.send, self.send_back))

    # What happens, told by the host

    def listed(self, now, lines, whole):
        named = {line.node for line in lines}
        for node in [n for n in self.nodes.values() if n.id not in named] if whole else ():
            self.enlist(now, node, face.GONE)
        for line in lines:
            if line.node not in self.nodes:
                if line.state == face.GONE:
                    continue                         # (after our own start any may be cold)
                self.nodes[line.node] = Node(line, now, -math.inf if self.known else now)
            node = self.nodes[line.node]
            self.enlist(now, node, face.GONE)
            if line.state != face.GONE:
                node.line = line
                self.fit(node)
            self.enlist(now, node, line.state)
            if node.started is None:
                node.hear(now, self.crowd * node.links)
            if line.started_ms != node.started and now - line.started_ms < self.d.warm_ms and line.started_ms:
                node.cold, node.ill, node.rest = line.started_ms, 0, 0.0
                node.hear(now, 0.0)
                node.pace, node.early = max(node.pace, line.started_ms), self.chance()
            node.started = line.started_ms
        self.known = True
        return self.done([])

    def fit(self, node):                             # what a node's line means in this deployment
        line, d = node.line, self.d
        node.cell, node.rack, node.zone = line.cell, self.racks[line.cell % d.racks], line.zone
        node.links, node.streams = line.weight * d.link_unit, d.streams[min(line.kind, len(d.streams) - 1)]

    def enlist(self, now, node, state):
        """Takes a node out of the sums of its rack and of the fleet, or into them."""
        if (node.state == face.GONE) != (state == face.GONE):
            sign, rack = (-1 if state == face.GONE else 1), node.rack
            rack.links, rack.own = rack.links + sign * node.links, rack.own + sign * node.own
            rack.touched += 1
            for total, part in (rack.known, node.known), (rack.told, node.told):
                total.add(now, sign * part.now(now))
            for index in rack.members, self.cells[node.cell % self.d.cells]:
                index.pop(node.id, None) if sign < 0 else index.update({node.id: node})
        self.ready += node.links * ((state == face.READY) - (node.state == face.READY))
        node.state = state

    def list_failed(self, now):
        self.ask_at = now + (RETRY_MS if self.d.must_ask else math.inf)
        return self.done([])

    def asked(self, now, ask):
        self.hints += bool(ask.length_ms)            # what will be asked for lasts as what is asked for
        self.length += max(LENGTH_STEP, 1 / self.hints) * ((ask.length_ms or self.length) - self.length)
        ply = self.plays[ask.play] = Play(ask, self.d, now)
        self.taken.append(now)
        self.pending.append(ply)
        return self.done([])

    def decide(self, now):
        """Places what waits, when all that came with it is known: a drain or a leaving may stand behind."""
        waiting, self.pending = self.pending, []
        return self.done([verdict for ply in waiting for verdict in self.run(now, ply)])

    def seen(self, now, node_id, others):            # a planner's view: what others ask, kB a second
        if node := self.nodes.get(node_id):
            node.hear(now, max(0.0, others))
        return self.done([])

    def retold(self, now, deployment):
        """Settings at start or switched: plays keep their terms, accounts move into the new shape."""
        old, self.d, self.rows = self.d, deployment, deployment.products
        self.demand += [Fading(FORECAST_MS, now) for _ in self.rows[len(self.demand):]]
        self.many = max(0.0, 1 - FEW / deployment.directors)   # how little each knows
        self.up_to = 1 - MARGIN - UP_ROOM + UP_SHARED * self.many
        self.blind = deployment.probes and deployment.told_by == "probe"
        if deployment.must_ask and not (old and old.must_ask):
            self.ask_at = now
        if old and all(getattr(old, key) == getattr(deployment, key) for key in SHAPE):
            return self.done([])
        states, self.shorts = [(node, node.state) for node in self.nodes.values()], {}
        for node, _ in states:
            self.enlist(now, node, face.GONE)
        self.racks = [Rack(n, deployment.rack_kb, now) for n in range(deployment.racks)]
        self.cells = [{} for _ in range(deployment.cells)]   # their nodes, by id
        for node, state in states:
            self.fit(node)
            self.enlist(now, node, state)
        return self.done([])

    def handed_over(self, now, ask, node_id):
        ply = self.plays[ask.play] = Play(ask, self.d, now)
        ply.started, ply.sends = now, 1
        self.demand[ask.product].add(now, 1 / ply.length)   # plays under way over their length: Little's law
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
        if ply is None or ply.sends - 1 != number or ply in self.pending:
            return self.done([])
        for _, back in reversed(self.chain):
            back and back(now, ply, node or ply.node, outcome)
        self.plays.pop(play) if over or ply.started is not None else self.pending.append(ply)
        return self.done([])

    def probed(self, now, node_id, outcome, delay, report):
        node, out = self.nodes.get(node_id), []
        if node is None:
            return self.done([])
        node.asked = None
        if outcome == face.SERVED and report:
            out = self.reported(now, node, report)
        elif outcome != face.FULL:                   # too many probes at once tell nothing
            self.fail(now, node)
        for ply in [p for p in self.waiting.values() if p.asks is node]:
            self.pending.append(self.waiting.pop(ply.id))
        return self.done(out)

    def mail(self, now, sender, loads, shares):
        """What a peer saw feeds the accounts as our own reports do; it lists no node."""
        for node_id, asked in loads:
            node = self.nodes.get(node_id)
            if node and node.state != face.GONE and 0 <= asked < ABSURD and now - node.heard > LOOK_MS:
                self.told(now, node, asked, REPORT_LAG_MS + LOOK_MS)
                node.heard = now - LOOK_MS
        for number, share in shares:
            if 0 <= number < len(self.racks) and 0 < share < SHORT:
                self.uplink_short(now, self.racks[number], share)
        return self.done([])

    def note(self, now, play, node_id, kind, value):
        ply, node, out = self.plays.get(play), self.nodes.get(node_id), []
        fresh = ply and ply.first and ply.started is not None and now - ply.started < 1
        if node is None or not 0 <= value < ABSURD:  # also NaN and infinite: no note
            kind = None
        if kind == face.RUNG_NOW and ply and ply.node is node:
            self.step(now, ply, min(int(value), len(ply.d.ladder) - 1))
            ply.changed = -math.inf                  # not our change: it may step up at once
        elif kind == face.LINK_ASKED:
            self.told(now, node, value, 0.0 if fresh else self.d.seen_after_ms)
            out = self.shed(now, node, [node], value) or self.step_up(now, node)
        elif kind == face.UPLINK_ASKED and value > 0:
            node.rack.heard = now
            node.rack.learn(now, self.load(now, node.rack) / value)
            out = self.shed(now, node.rack, node.rack.members.values(), value)
        elif kind == face.DELIVERED and value < SHORT:
            out = self.delivered(now, node, node.rack, max(value, 0.1))
        return self.done(out)

    def delivered(self, now, node, rack, share):
        """Plays at a node get too little: the fault is its own, or its uplink's when others share it."""
        node.short, rack.short, size, had = now, now, self.size(now, node), node.others(now, self.crowd)
        together = any(n is not node and now - n.short < TOGETHER_MS for n in rack.members.values())
        if had + node.own > size or not together:
            if now >= node.settle:                   # alone: the node itself (a sag, a stand-still)
                node.hear(now, max(had, size / share - node.own))
            return self.shed(now, node, [node], 1 / share)
        if now >= rack.settle:
            if now - rack.learned > SETTLE_MS:
                self.shorts[rack.number] = share
            self.uplink_short(now, rack, share)
        return self.shed(now, rack, [n for n in rack.members.values() if now >= n.settle], 1 / share)

    def uplink_short(self, now, rack, share):        # learned once a settling: notes lag steps
        rack.short = now
        if now - rack.learned > self.d.seen_after_ms + SETTLE_MS:
            rack.learn(now, self.load(now, rack) * share)
            rack.learned = now

    def left(self, now, play):
        if ply := self.plays.get(play):
            ply.over = True                          # it keeps its place until its allocation is told to end
        return self.done([])

    def wake(self, now):
        out, self.ask_at = ([Verdict(follow=True)], math.inf) if now >= self.ask_at else ([], self.ask_at)
        for ply in [p for p in self.waiting.values() if now >= p.until]:
            self.pending.append(self.waiting.pop(ply.id))
        if now >= self.next_look:
            self.next_look = now + LOOK_MS
            # Told and seen contradict: an uplink full by our account, but not short. It carries more, or
            # sagging links told of more load than there is; else we would decline for nothing.
            for rack in {id(p.node.rack): p.node.rack for p in self.plays.values() if p.node}.values():
                asked, free = self.load(now, rack), 1 - self.margin(now, rack)
                full = asked / (1 - MARGIN if self.blind else free)
                if asked > free * rack.size(now) and now - max(rack.heard, rack.short) > QUIET_MS:
                    rack.learn(now, full * TRY_MORE)
            if self.blind:
                out.append(Verdict(probe=self.look_up(now)))
            if self.loads or self.shorts:
                out.append(self.tell())
        return self.done([v for v in out if v.follow or v.probe or v.tell])

    def done(self, verdicts):
        first = next(iter(self.waiting.values()), None)   # all wait equally long: it came first
        return verdicts, min(self.next_look, self.ask_at, first.until if first else math.inf)

    # The chain: each stage passes a play on (None) or ends it (a verdict)

    def run(self, now, ply):
        verdict = None if ply.over else next(filter(None, (stage(now, ply) for stage, _ in self.chain)))
        if ply.over or verdict.answer:               # left meanwhile: no answer is owed
            self.plays.pop(ply.id, None)
        if ply.id in self.waiting:
            return [verdict]
        # After its pricing. Further tries are no demand: counted, a storm of them priced all out, for good
        self.demand[ply.ask.product].add(now, (not (ply.seen or ply.ask.again)) / FORECAST_MS)
        ply.seen = True
        return [verdict] if verdict else []

    def give_up(self, ply):
        """The final answer at once: a decline with a time to come back, where no set-up can have run."""
        row, wait = ply.product, min(RETRY_MS, self.d.retry_max_ms) * (1 + self.chance()) / 2
        if ply.may_have_run and (row.repeat == "paid" or row.repeat == "keyed" and row.group != "all"):
            return Verdict(ply.id, answer=face.FAILED)
        return Verdict(ply.id, answer=face.DECLINED, retry_ms=wait)

    def terms(self, now, ply):
        row, held = ply.product, self.seats[ply.ask.product, ply.ask.title]
        barred = ply.may_have_run and row.repeat == "paid" or row.seats and held >= row.seats
        if barred or row.floor > self.highest(ply) or ply.sends >= self.d.max_allocations or now >= ply.limit:
            return self.give_up(ply)

    def holding(self, now, ply):                     # holders that the list calls ready, most room first
        home, cells = int(ply.ask.home), self.d.cells
        copies = min(int(ply.ask.copies) or cells, cells)
        ply.holders = [n for j in range(copies) for n in self.cells[(home + j) % cells].values()
                       if n.state == face.READY and n.id not in ply.tried]
        if ply.may_have_run and ply.product.repeat == "keyed":
            alike = {"zone": attrgetter("zone"), "cell": attrgetter("cell")}.get(ply.product.group, bool)
            ply.holders = [n for n in ply.holders if now < ply.key_ends and alike(n) == alike(ply.first)]
        shares, need = self.shares(ply), self.rate(ply, self.highest(ply))
        # Where many directors know little, like accounts rank alike: what was not told of a link is drawn
        for n in ply.holders:
            state = now, self.d, self.crowd, n.touched, n.rack.touched
            if n.roomed != state:                    # once a moment, not once a play in a heap of thousands
                n.roomed, n.room, n.doubt = state, self.room(now, n), n.links - n.known.now(now)
                n.over = self.room(now, n, -LEAST_OVER)
                n.paced = now - n.pace >= self.d.warm_ms or self.turn(now, n)
            n.rank, n.draw = n.room + (self.many and DOUBT * self.many * n.doubt * self.chance()), n.id
            if shares:                               # a common draw: all directors' viewers meet there
                n.rank = math.inf if n.room > need else n.room
                n.draw = crc32(b"%d %d" % (n.id, ply.ask.title)) * MIX % 2 ** 32
        ply.holders.sort(key=lambda n: (self.crossing(n), -n.rank, n.draw))

    def health(self, now, ply):
        """Skips nodes that rest after failures, had their share while cold, or (paid plays) failed lately."""
        ply.holders = [n for n in ply.holders if now >= n.rest and n.paced and not (
                           n.ill and (ply.product.repeat == "paid" or any(p.out for p in n.plays.values())))]
        return None if ply.holders else self.give_up(ply)

    def health_back(self, now, ply, node, outcome):
        if node and outcome in (face.ERROR, face.TIMED_OUT, face.UNREACHABLE, face.BROKEN):
            self.fail(now, node)
            if outcome in (face.UNREACHABLE, face.BROKEN):   # it may be starting: pace it when it answers
                node.pace, node.early = now, self.chance()
        elif node and outcome == face.FULL:                   # fuller than we were told
            node.hear(now, max(node.others(now, self.crowd), self.size(now, node) - node.own))
            node.rest = max(node.rest, now + ILL_MS)

    def fail(self, now, node):
        if now >= node.rest:                         # failures of one moment count once
            node.rest = now + ILL_MS * 2 ** node.ill * (1 + self.chance())
            node.ill = min(node.ill + 1, ILL_MOST)

    def inquire(self, now, ply):
        """Where load is told to probes only: asks the first holder for its own before one is chosen."""
        # Guards against stand-stills: what left a probe unanswered comes last
        ply.holders.sort(key=lambda n: n.asked is not None and now - n.asked >= ECHO_WAIT_MS)
        # (too near its time limit it is placed on what is known: the answer must be in time)
        node, late = ply.holders[0], ply.limit - now <= 2 * ECHO_WAIT_MS
        if not self.blind or ply.until is not None or late or now - node.heard <= FRESH_MS:
            return None
        ply.until, ply.asks, self.waiting[ply.id] = now + ECHO_WAIT_MS, node, ply
        return Verdict(ply.id, probe=self.probe(now, [node]))

    def tell(self):
        """Our reports and shortages since the last look, to as many peers as part of a probe pays for."""
        cost = max(self.d.peer_price * LINE / 256, 1e-9)
        many = min(int(MAIL_PART * self.d.probe_price / cost), self.d.directors - 1) if self.d.peers else 0
        start, size = int(self.chance() * self.d.directors) if many else 0, self.d.directors
        peers = [(start + n) % size for n in range(many + 1) if (start + n) % size != self.d.number][:many]
        loads, shorts, self.loads, self.shorts = tuple(self.loads.items()), tuple(self.shorts.items()), {}, {}
        return Verdict(tell=tuple(peers), loads=loads, shares=shorts)

    def look_up(self, now):
        """Where no note tells of room: nodes of ours to probe, where a step up would pay for it."""
        price, nodes = HOPE * self.d.probe_price * self.length * max(row.importance for row in self.rows), []
        for node in {p.node.id: p.node for p in self.plays.values() if p.node and not p.out}.values():
            if node.next_up is None:                 # not all at once after a start
                node.next_up = now + self.chance() * ECHO_GAP_MS
            if now < max(node.next_up, node.heard + ECHO_GAP_MS / 2) or node.state == face.GONE:
                continue
            able = [p for p in node.plays.values() if self.may_rise(now, p)]
            if sum(self.gain(p, p.rung) * p.left(now) for p in able) > price:
                node.next_up = now + ECHO_GAP_MS
                nodes.append(node)
        return self.probe(now, nodes)

    def may_rise(self, now, ply):
        settled = now - ply.changed >= GAP * self.length
        return settled and ply.started is not None and ply.rung < self.highest(ply)

    def probe(self, now, nodes):
        for node in (nodes := [n for n in nodes if n.asked is None]):
            node.asked = now
        return tuple(n.id for n in nodes)

    def price(self, now, ply):                       # the first holder that makes an offer gets the play
        for node in ply.holders:
            rung = self.offer(now, ply, node, ply.length, node.room)
            if rung is not None:
                ply.rung, ply.holders = rung, [node]
                return None
        return self.give_up(ply)

    def offer(self, now, ply, node, lk, room, held=None):
        """The highest rung that fits and whose payoff beats its cost at the node's prices, or None."""
        if held is None and (self.adds(ply, node, ply.product.floor) > node.over
                             or node.streams - len(node.plays) - self.other_streams(now, node) < 1):
            return None
        prices = self.shadow_prices(now, node, lk)
        place, kb = prices[0] / node.streams, prices[1] / self.size(now, node)
        kb += prices[2] / node.rack.size(now)
        chosen, below, has = None, (0.0, 0.0), 0.0
        cross = self.crossing(node) * ply.product.importance * lk if held is None else 0.0
        if held is not None:                         # a play under way: what it has, and what a change costs
            shared = self.shares(ply) and node.shared[self.stream(ply, held)] > 1
            has = self.rate(ply, held) * (ply.d.join if shared else 1)
            below = (ply.product.importance * (ply.d.rung_worth[held] * lk + self.d.step_cost_ms),
                     lk / 2 * (place + has * kb))
        for rung in range(ply.product.floor if held is None else held + 1, self.highest(ply) + 1):
            rate = self.adds(ply, node, rung)
            payoff = ply.product.importance * ply.d.rung_worth[rung] * lk
            cost = cross + lk / 2 * (place + rate * kb)
            least = held is None and rung == ply.product.floor   # a low play beats a decline
            # Each step must pay for what it adds: a top rung can pay as a whole while its last step does not
            if (rate - has <= room or least) and payoff - below[0] > (cost - below[1]) * SURE:
                chosen, below = rung, (payoff, cost)
        return chosen

    def price_back(self, now, ply, node, outcome):
        if ply.node and ply.node.plays.pop(ply.id, None):
            self.seats[ply.ask.product, ply.ask.title] -= 1
            self.weigh(now, ply, -1)
            ply.node = None

    def ration(self, now, ply):                      # the stated budget, counted over a sliding window
        if ply.sends and self.d.budget_free is not None:
            for times, slack in (self.taken, 1), (self.further, -1):   # ms, so that rounding never favours us
                while times and times[0] < now - self.d.budget_ms + slack:
                    times.popleft()
            if len(self.further) + 1 > self.d.budget_free + self.d.budget_share * len(self.taken):
                return self.give_up(ply)
            self.further.append(now)

    def send(self, now, ply):
        node, due = ply.holders[0], ply.limit - now
        least = max(WAIT_MS, due * (ply.product.repeat == "paid" or ply.sends + 1 >= self.d.max_allocations))
        ply.first, node.last_send = ply.first or node, now
        ply.out, ply.sends = Allocation(ply.sends), ply.sends + 1
        ply.tried.add(node.id)
        node.setups.add(now, 1)
        self.setups.add(now, 1)
        self.put(now, ply, node)
        return Verdict(ply.id, node.id, ply.rung, min(due, max(PATIENCE * self.usual, least)))

    def send_back(self, now, ply, node, outcome):
        ply.until = None
        if outcome not in (face.FULL, face.UNREACHABLE, face.NEVER_SENT):
            ply.may_have_run = True
        ply.out = None

    # The program and its prices

    def shadow_prices(self, now, node, lk):
        """Duals of the node's streams, link and uplink over the period lk, net of the plays under way."""
        size, rack, up = self.size(now, node), node.rack, node.rack.size(now)
        prior, total = SHARE_PRIOR / max(self.ready, 1e-9), self.setups.now(now) + SHARE_PRIOR
        here = (node.setups.now(now) + prior * node.links) / total
        beside = (sum(n.setups.now(now) for n in rack.members.values()) + prior * rack.links) / total
        # Others' plays are planned anew, as they step too, of the products that we see asked for
        streams = self.other_streams(now, node)
        held = min(self.length, lk) * (1 - min(self.length, lk) / (2 * lk))   # may start any time in lk (q)
        again = streams / held / max(sum(demand.now(now) for demand in self.demand), 1e-12)
        caps = [lk, lk * (1 - self.margin(now, node)), lk * (1 - self.margin(now, rack))]
        for n in rack.members.values():
            for p in n.plays.values():
                stay = min(p.left(now), lk)
                caps[2] -= stay * self.rate(p) / up
                if n is node:
                    caps[0] -= stay / node.streams
                    caps[1] -= stay * self.rate(p) / size
        groups = []
        for row, demand in zip(self.rows, self.demand):
            # the rack's uplink also carries what our set-ups at its other nodes will ask
            choices = [(row.importance * self.d.rung_worth[r] * self.length,
                        (held / node.streams, held * self.d.ladder[r] * row.scale / size,
                         held * self.d.ladder[r] * row.scale / up * beside / max(here, 1e-9)))
                       for r in range(row.floor, min(row.top, len(self.d.ladder) - 1) + 1)]
            groups.append((lk * demand.now(now) * (here + again), choices))
        return duals(groups, caps)

    # Room, learned from notes and reports

    def crossing(self, node):                        # what its zone costs a play there, in parts of its worth
        return self.d.cross_price if node.zone != self.d.zone else 0.0

    def highest(self, ply):
        return min(ply.product.top, int(ply.ask.ceiling), len(ply.d.ladder) - 1)

    def rate(self, ply, rung=None):
        return ply.d.ladder[ply.rung if rung is None else rung] * ply.product.scale

    def size(self, now, node):
        """What a link surely gives: a cold node's rises to its told size over the warm-up."""
        return node.links * self.warmth(now, node.cold)

    def warmth(self, now, start):
        age = max(now - start, 0) / max(self.d.warm_ms, 1e-9)
        return self.d.cold_from + (1 - self.d.cold_from) * min(age, 1)

    def turn(self, now, node):
        """Whether a cold node may get a set-up: all directors together stay at its pace. The first turn falls
        at a time of our own within the spacing, or all would send at once when a start is told."""
        paced = COLD_PART * max(self.d.fall_multiple, 1) * node.streams * self.warmth(now, node.pace)
        gap = self.d.directors * self.d.warm_ms / max(paced, 1e-6)
        return now - max(node.last_send, node.pace - node.early * gap) >= gap

    def other_streams(self, now, node):
        usual = RATE_PRIOR * (self.d.ladder[0] * self.d.ladder[-1]) ** 0.5
        return node.others(now, self.crowd) * (self.count + RATE_PRIOR) / (max(self.rates, 0.0) + usual)

    def load(self, now, part):                       # all that is asked of a link or an uplink
        return part.own + part.others(now, self.crowd)

    def room(self, now, node, margin=None):
        return min(size * (1 - (self.margin(now, part) if margin is None else margin)) - self.load(now, part)
                   for part, size in self.sizes(now, node))

    def margin(self, now, part):                     # kept free of new plays; wider for what was not told of
        told = part.known.now(now) / max(part.links, 1e-9)
        doubt = min((now - part.heard) / AGE_MS, 1 - told) if self.blind else 1.0
        return MARGIN + WARY * self.many * min(max(doubt, 0.0), 1.0)

    def sizes(self, now, node):
        return (node, self.size(now, node)), (node.rack, node.rack.size(now))

    def put(self, now, ply, node):
        ply.node, node.plays[ply.id] = node, ply
        self.seats[ply.ask.product, ply.ask.title] += 1
        self.weigh(now, ply, 1)

    def shares(self, ply):
        return ply.product.live and ply.d.join < 1

    def adds(self, ply, node, rung):
        """What a viewer adds to a node's link: of a live stream that is there, only a part of its rate."""
        joins = self.shares(ply) and node.shared[self.stream(ply, rung)]
        return self.rate(ply, rung) * (ply.d.join if joins else 1)

    def stream(self, ply, rung):                     # whoever was taken on other terms shares nothing with it
        return ply.ask.product, ply.ask.title, self.rate(ply, rung), ply.d.join

    def weigh(self, now, ply, sign):
        """Takes a play into what its node carries (1) or out of it (-1)."""
        self.rates, self.count = self.rates + sign * self.rate(ply), self.count + sign
        node, key = ply.node, self.stream(ply, ply.rung)
        node.shared[key] -= sign < 0
        self.carry(now, node, sign * self.adds(ply, node, ply.rung))
        node.shared[key] += sign > 0
        if not node.shared[key]:
            del node.shared[key]

    def carry(self, now, node, change):
        change = max(change, -node.own)
        node.own, node.touched = node.own + change, node.touched + 1
        if node.state != face.GONE:
            node.rack.own, node.rack.touched = node.rack.own + change, node.rack.touched + 1
        node.log.append((now, change))
        while node.log[0][0] < now - 2 * self.d.seen_after_ms - REPORT_LAG_MS:
            node.log.popleft()

    def told(self, now, node, asked, lag):
        """Takes in what is asked of a link over what it gives, as it stood `lag` ago."""
        size, ours = self.size(now, node), node.own - sum(change for at, change in node.log if at > now - lag)
        if size <= 0:       # weighted out, or starting from nothing: a part of nothing tells no load
            return          # (room is nil there: nothing new goes)
        node.hear(now, others := max(0.0, asked * size - ours))
        self.notes += 1
        self.crowd += max(CROWD_STEP, 1 / self.notes) * (min(others / size, 1.5) - self.crowd)

    def reported(self, now, node, report):
        values = {k: v for k, v in zip(self.d.reports, report) if 0 <= v < ABSURD}
        asked, up, out = values.get("x0", values.get("load_share")), values.get("x1"), []
        if asked is not None:
            self.told(now, node, asked, REPORT_LAG_MS)
            node.heard, self.loads[node.id] = now, asked
        if up:
            node.rack.learn(now, self.load(now, node.rack) / up)
            node.rack.heard = now
        if self.blind and asked is not None:         # nothing else tells of room
            out = self.shed(now, node, [node], asked)
            out = out or self.shed(now, node.rack, node.rack.members.values(), up or 0)
            out = out or self.step_up(now, node)
        return out

    def shed(self, now, short, nodes, asked):
        """Steps our plays on a link or uplink asked for too much down by that part, where that loses least.
        Every director does so for its own plays, so together they shed what is asked too much."""
        if asked <= 1 or now < short.settle:
            return []
        short.settle = now + self.d.seen_after_ms + SETTLE_MS
        want, out = sum(n.own for n in nodes) * (1 - AIM_LOAD / asked), {}
        able = [p for n in nodes for p in n.plays.values() if p.started is not None]
        while able := [p for p in able if p.rung > p.product.floor]:
            p = min(able, key=lambda p: (self.gain(p, p.rung - 1) / self.frees(p), p.id))
            part = KEEP if self.pays(now, p) else 1  # what pays at the node's prices goes down later
            if want * part < self.frees(p) * self.chance():   # the last by chance: not all round up
                break
            want -= self.frees(p)
            out[p.id] = self.step(now, p, p.rung - 1)    # several rungs at once cost one change
        return list(out.values())

    def frees(self, ply):                            # what its last step takes
        return self.rate(ply) - self.rate(ply, ply.rung - 1)

    def pays(self, now, ply):                        # its last step, by the admission's test
        if self.size(now, ply.node) <= 0:            # weighted out
            return False
        lk, (_, link, uplink) = ply.left(now), self.shadow_prices(now, ply.node, ply.left(now))
        kb = link / self.size(now, ply.node) + uplink / ply.node.rack.size(now)
        return self.gain(ply, ply.rung - 1) * lk > lk / 2 * self.frees(ply) * kb * SURE

    def gain(self, ply, rung):                       # what a step up from it brings
        return ply.product.importance * (ply.d.rung_worth[rung + 1] - ply.d.rung_worth[rung])

    def step_up(self, now, node):
        """On a note of room our plays go up, where it gains most, to the rung that the program offers, by our
        part of the room: as our load is to all load. Every director with plays there hears the same note."""
        want, out = min((size * self.up_to / max(self.load(now, part), 1e-9) - 1) * node.own
                        for part, size in self.sizes(now, node)), []
        if self.blind:                               # no one else heard this
            want = UP_PART * min(size * min(self.up_to, 1 - self.margin(now, part)) - self.load(now, part)
                                 for part, size in self.sizes(now, node))
        able = [p for p in node.plays.values() if self.may_rise(now, p)]
        for p in sorted(able, key=lambda p: (-self.gain(p, p.rung) * p.left(now), p.id)):
            had, extra = self.rate(p), self.rate(p, p.rung + 1) - self.rate(p)
            if want < extra * self.chance():
                break
            rung = self.offer(now, p, node, p.left(now), max(want, extra), p.rung)
            if rung is not None:
                out.append(self.step(now, p, rung))
                want -= self.rate(p) - had
        return out

    def step(self, now, ply, rung):
        self.weigh(now, ply, -1)
        ply.rung, ply.changed = rung, now
        self.weigh(now, ply, 1)
        return Verdict(ply.id, rung=rung)

    def chance(self):
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) * MIX % 2 ** 32 / 2 ** 32


def duals(groups, caps):
    """Shadow prices of max sum(payoff x) under sum(use x) <= caps and, by group, sum(x) <= demand. Each
    price in turn is halved towards the least at which what the groups then choose fits."""
    prices = [0.0] * len(caps)
    for _ in range(LOOP_SWEEPS):
        before = prices[:]
        for e, cap in enumerate(caps):
            prices[e] = 0.0
            # As this price moves and the others stand, each choice is a line: what it nets at 0, and its use
            lines = [(demand, [(payoff - sum(map(mul, uses, prices)), uses[e]) for payoff, uses in choices])
                     for demand, choices in groups]
            if used(lines, 0.0) <= cap:
                continue
            low, high = 0.0, max(payoff / uses[e] for _, choices in groups for payoff, uses in choices)
            for _ in range(LOOP_HALVINGS):
                middle = (low + high) / 2
                low, high = (low, middle) if used(lines, middle) <= cap else (middle, high)
            prices[e] = high
        if prices == before:                         # a further sweep would do the same again
            break
    return prices


def used(lines, price):
    """What the groups use of a resource at its price: each takes what nets most, if that is over 0."""
    total = 0.0
    for demand, choices in lines:
        best = use = 0.0
        for net, uses in choices:
            if net - uses * price > best:
                best, use = net - uses * price, uses
        total += demand * use
    return total

"""What notes, reports and mail tell of links and uplinks, and how rungs in play follow."""

import math

from laddergw import interface
from laddergw.control.accounts import ABSURD, MARGIN, REPORT_LAG_MS
from laddergw.control.holders import probe

QUIET_MS, TRY_MORE = 3_000.0, 1.1  # not short for three notes, an uplink is tried with so much more
SHORT = 0.98  # delivered share under which plays lose, from the wire's rules
TOGETHER_MS = 2_000.0  # nodes of a rack short within this are short together: two notes' seconds
LOOK_MS = 500.0  # pace of looking over the plays under way: half a note's second
MAIL_PART, LINE = (
    0.12,
    5.0,
)  # what telling a report may cost over its probe; bytes of a line of mail
AIM_LOAD = 0.86  # load of a short link that stepping down aims for: true rates stray, short is dear
KEEP = 0.3  # share of a step down that plays take whose last step pays: others' go first
SETTLE_MS = 700.0  # wait, past the notes' lateness, before a shortage is answered again
UP_PART, HOPE = 0.3, 3.0  # part of probed room that one director takes; gain over a probe's price
GAP, ECHO_GAP_MS = (
    0.2,
    8_000.0,
)  # from a change of rung to a step up, in usual lengths; of probes for it


class Rungs:
    """Loads, shorts: for peers."""

    def __init__(self, fleet, prices):
        self.fleet, self.prices, self.loads, self.shorts = fleet, prices, {}, {}

    def note(self, now, play, node_id, kind, value):
        fleet, node = self.fleet, self.fleet.nodes.get(node_id)
        fresh = play and play.first and play.started is not None and now - play.started < 1
        kind = kind if node and 0 <= value < ABSURD else None  # also NaN and infinite: no note
        if kind == interface.RUNG_NOW and play and play.node is node:
            self.step(now, play, min(int(value), len(play.d.ladder) - 1))
            play.changed = -math.inf  # not our change: it may step up at once
        elif kind == interface.LINK_ASKED:
            fleet.told(now, node, value, 0.0 if fresh else fleet.d.seen_after_ms)
            return self.shed(now, node, [node], value) or self.step_up(now, node)
        elif kind == interface.UPLINK_ASKED and value > 0:
            node.rack.heard = now
            node.rack.learn(now, fleet.load(now, node.rack) / value)
            return self.shed(now, node.rack, node.rack.members.values(), value)
        elif kind == interface.DELIVERED and value < SHORT:
            return self.delivered(now, node, node.rack, max(value, 0.1))

    def delivered(
        self, now, node, rack, share
    ):  # its own fault, or its uplink's when others share it
        fleet, node.short, rack.short = self.fleet, now, now
        size, had = fleet.size(now, node), node.others(now, fleet.crowd)
        together = any(n is not node and now - n.short < TOGETHER_MS for n in rack.members.values())
        if had + node.own > size or not together:
            if now >= node.settle:  # alone: the node itself (a sag, a stand-still)
                node.hear(now, max(had, size / share - node.own))
            return self.shed(now, node, [node], 1 / share)
        if now >= rack.settle:
            if now - rack.learned > SETTLE_MS:
                self.shorts[rack.number] = share
            self.uplink_short(now, rack, share)
        return self.shed(
            now, rack, [n for n in rack.members.values() if now >= n.settle], 1 / share
        )

    def uplink_short(self, now, rack, share):  # learned once a settling: notes lag steps
        rack.short = now
        if now - rack.learned > self.fleet.d.seen_after_ms + SETTLE_MS:
            rack.learn(now, self.fleet.load(now, rack) * share)
            rack.learned = now

    def reported(self, now, node, report):
        values = {
            k: v for k, v in zip(self.fleet.d.reports, report, strict=False) if 0 <= v < ABSURD
        }
        asked, up, out = values.get("x0", values.get("load_share")), values.get("x1"), []
        if asked is not None:
            self.fleet.told(now, node, asked, REPORT_LAG_MS)
            node.heard, self.loads[node.id] = now, asked
        if up:
            node.rack.learn(now, self.fleet.load(now, node.rack) / up)
            node.rack.heard = now
        if self.fleet.blind and asked is not None:  # nothing else tells of room
            out = self.shed(now, node, [node], asked)
            out = out or self.shed(now, node.rack, node.rack.members.values(), up or 0)
            out = out or self.step_up(now, node)
        return out

    def mail(self, now, loads, shares):  # feeds accounts as our own reports do; it lists no node
        for node_id, asked in loads:
            node = self.fleet.nodes.get(node_id)
            if (
                node
                and node.state != interface.GONE
                and 0 <= asked < ABSURD
                and now - node.heard > LOOK_MS
            ):
                self.fleet.told(now, node, asked, REPORT_LAG_MS + LOOK_MS)
                node.heard = now - LOOK_MS
        for number, share in shares:
            if 0 <= number < len(self.fleet.racks) and 0 < share < SHORT:
                self.uplink_short(now, self.fleet.racks[number], share)

    def try_more(
        self, now, plays
    ):  # full by our account, not short: it carries more, or links sagged
        fleet = self.fleet
        for rack in {id(p.node.rack): p.node.rack for p in plays.values() if p.node}.values():
            asked, free = fleet.load(now, rack), 1 - fleet.margin(now, rack)
            if asked > free * rack.size(now) and now - max(rack.heard, rack.short) > QUIET_MS:
                rack.learn(now, asked / (1 - MARGIN if fleet.blind else free) * TRY_MORE)

    def tell(self):  # what came since, to as many peers as part of a probe pays for
        d, loads, shares = self.fleet.d, tuple(self.loads.items()), tuple(self.shorts.items())
        cost = max(d.peer_price * LINE / 256, 1e-9)
        many = min(int(MAIL_PART * d.probe_price / cost), d.directors - 1) if d.peers else 0
        start, size = int(self.fleet.chance() * d.directors) if many else 0, d.directors
        peers = [(start + n) % size for n in range(many + 1) if (start + n) % size != d.number][
            :many
        ]
        self.loads, self.shorts = {}, {}
        return interface.Verdict(tell=tuple(peers), loads=loads, shares=shares)

    def shed(
        self, now, short, nodes, asked
    ):  # steps plays down by what is asked too much, as all do
        if asked <= 1 or now < short.settle:
            return []
        short.settle = now + self.fleet.d.seen_after_ms + SETTLE_MS
        want, out = sum(n.own for n in nodes) * (1 - AIM_LOAD / asked), {}
        able = [p for n in nodes for p in n.plays.values() if p.started is not None]
        while able := [p for p in able if p.rung > p.product.floor]:
            p = min(able, key=lambda p: (p.gain(p.rung - 1) / p.frees(), p.id))
            part = (
                KEEP if self.prices.pays(now, p) else 1
            )  # what pays at the node's prices goes down later
            if (
                want * part < p.frees() * self.fleet.chance()
            ):  # the last by chance: not all round up
                break
            want -= p.frees()
            out[p.id] = self.step(now, p, p.rung - 1)  # several rungs at once cost one change
        return list(out.values())

    def step_up(
        self, now, node
    ):  # by our part of the room: all with plays there heard the same note
        fleet, sizes = self.fleet, self.fleet.sizes(now, node)
        want = min(
            (size * fleet.up_to / max(fleet.load(now, p), 1e-9) - 1) * node.own for p, size in sizes
        )
        if fleet.blind:  # no one else heard this
            want = UP_PART * min(
                size * min(fleet.up_to, 1 - fleet.margin(now, part)) - fleet.load(now, part)
                for part, size in sizes
            )
        able, out = [p for p in node.plays.values() if self.may_rise(now, p)], []
        for p in sorted(able, key=lambda p: (-p.gain(p.rung) * p.left(now), p.id)):
            had, extra = p.rate(), p.rate(p.rung + 1) - p.rate()
            if want < extra * fleet.chance():
                break
            rung = self.prices.offer(now, p, node, p.left(now), max(want, extra), p.rung)
            if rung is not None:
                out.append(self.step(now, p, rung))
                want -= p.rate() - had
        return out

    def step(self, now, play, rung):
        self.fleet.weigh(now, play, -1)
        play.rung, play.changed = rung, now
        self.fleet.weigh(now, play, 1)
        return interface.Verdict(play.id, rung=rung)

    def may_rise(self, now, p):
        return (
            p.started is not None
            and p.rung < p.highest()
            and now - p.changed >= GAP * self.prices.length
        )

    def look_up(
        self, now, plays
    ):  # where no note tells of room: nodes to probe where a step up pays for it
        d, nodes = self.fleet.d, []
        cost = HOPE * d.probe_price * self.prices.length * max(row.importance for row in d.products)
        for node in {p.node.id: p.node for p in plays.values() if p.node and not p.out}.values():
            if node.next_up is None:  # not all at once after a start
                node.next_up = now + self.fleet.chance() * ECHO_GAP_MS
            if (
                now < max(node.next_up, node.heard + ECHO_GAP_MS / 2)
                or node.state == interface.GONE
            ):
                continue
            if cost < sum(
                p.gain(p.rung) * p.left(now) for p in node.plays.values() if self.may_rise(now, p)
            ):
                node.next_up = now + ECHO_GAP_MS
                nodes.append(node)
        return probe(now, nodes)

"""Which holders of a title may be chosen: ready by the list, in health, within the cold pace, heard
of.
"""

import math
from operator import attrgetter
from zlib import crc32

from laddergw import interface
from laddergw.control.accounts import DOUBT, MIX
from laddergw.control.plays import give_up

LEAST_OVER = 0.05  # so far over a link or uplink a low play beats a decline: dear steps go
ILL_MS, ILL_MOST = (
    400.0,
    5,
)  # first rest of a node that failed; doublings at most: to 13 s, about a restart
COLD_PART = 0.7  # part of a cold node's allowance that we all use: set-ups differ in work
FRESH_MS = 1_000.0  # a report is fresh so long: under a change or two of a node's plays
ECHO_WAIT_MS = (
    200.0  # a play waits so long for probes: a set-up's time, far under first-frame targets
)


class Holders:
    """Waiting: plays that wait for a probe, by id."""

    def __init__(self, fleet):
        self.fleet, self.waiting = fleet, {}

    def holding(self, now, play):  # holders that the list calls ready, most room first
        fleet, d = self.fleet, self.fleet.d
        home, copies = int(play.ask.home), min(int(play.ask.copies) or d.cells, d.cells)
        play.holders = [
            n
            for j in range(copies)
            for n in fleet.cells[(home + j) % d.cells].values()
            if n.state == interface.READY and n.id not in play.tried
        ]
        if play.may_have_run and play.product.repeat == "keyed":
            alike = {"zone": attrgetter("zone"), "cell": attrgetter("cell")}.get(
                play.product.group, bool
            )
            play.holders = [
                n for n in play.holders if now < play.key_ends and alike(n) == alike(play.first)
            ]
        shares, need = play.shares(), play.rate(play.highest())
        # Where many directors know little, like accounts rank alike: what was not told of a link is
        # drawn
        for n in play.holders:
            state = now, d, fleet.crowd, n.touched, n.rack.touched
            if n.roomed != state:  # once a moment, not once a play in a heap of thousands
                n.roomed, n.room, n.doubt = state, fleet.room(now, n), n.links - n.known.now(now)
                n.over = fleet.room(now, n, -LEAST_OVER)
                n.paced = now - n.pace >= d.warm_ms or self.turn(now, n)
            n.rank, n.draw = (
                n.room + (fleet.many and DOUBT * fleet.many * n.doubt * fleet.chance()),
                n.id,
            )
            if shares:  # a common draw: all directors' viewers meet there
                n.rank = math.inf if n.room > need else n.room
                n.draw = crc32(b"%d %d" % (n.id, play.ask.title)) * MIX % 2**32
        play.holders.sort(key=lambda n: (fleet.crossing(n), -n.rank, n.draw))

    def turn(
        self, now, node
    ):  # a cold node's, or of one that may be: after our start, or its failure
        d, since = self.fleet.d, now - node.pace
        gap = d.directors / max(
            self.pace(node) * self.fleet.warmth(now, node.pace), 1e-9
        )  # the first drawn
        free = since >= d.warm_ms or node.pace <= node.cold
        free = free or now - max(node.last_send, node.pace - node.early * gap) >= gap
        return free and (now - node.cold >= d.warm_ms or self.numbered(now, node))

    def pace(self, node):  # set-ups a ms that all directors plan for it once it is warm
        return (
            COLD_PART
            * max(self.fleet.d.fall_multiple, 1)
            * node.streams
            / max(self.fleet.d.warm_ms, 1e-9)
        )

    def planned(self, node, at):  # from its start on
        warmth = (self.fleet.d.cold_from + self.fleet.warmth(at, node.cold)) / 2
        return self.pace(node) * warmth * max(at - node.cold, 0)

    # Each planned set-up is one director's, in turn. With no play for it it lapses, or rushes find
    # many:
    # in any span come those planned in it and those still live, under N + root of N + 2 where N are
    # allowed
    def numbered(self, now, node):
        d, plan, old = (
            self.fleet.d,
            self.planned(node, now),
            self.planned(node, now - self.fleet.d.fall_ms),
        )
        since, span = (plan - d.number - node.mark) % d.directors, (plan - old) / COLD_PART
        if not (since <= plan and since < (1 - COLD_PART) * span + span**0.5 + 1):
            return False
        return node.last_send < node.cold or self.planned(node, node.last_send) < plan - since

    def health(
        self, now, play
    ):  # skips who rests, had its share while cold, or (paid plays) failed lately
        play.holders = [
            n
            for n in play.holders
            if now >= n.rest
            and n.paced
            and not (
                n.ill and (play.product.repeat == "paid" or any(p.out for p in n.plays.values()))
            )
        ]
        return None if play.holders else give_up(self.fleet, play)

    def health_back(self, now, play, node, outcome):
        if node and outcome in (
            interface.ERROR,
            interface.TIMED_OUT,
            interface.UNREACHABLE,
            interface.BROKEN,
        ):
            self.fail(now, node)
            if outcome in (
                interface.UNREACHABLE,
                interface.BROKEN,
            ):  # it may be starting: pace it when it answers
                node.pace, node.early = now, self.fleet.chance()
        elif node and outcome == interface.FULL:  # fuller than we were told
            node.hear(
                now, max(node.others(now, self.fleet.crowd), self.fleet.size(now, node) - node.own)
            )
            node.rest = max(node.rest, now + ILL_MS)

    def fail(self, now, node):
        if now >= node.rest:  # failures of one moment count once
            node.rest = now + ILL_MS * 2**node.ill * (1 + self.fleet.chance())
            node.ill = min(node.ill + 1, ILL_MOST)

    def inquire(self, now, play):  # where load is told to probes only: asks the first holder first
        play.holders.sort(key=lambda n: n.asked is not None and now - n.asked >= ECHO_WAIT_MS)
        # What left a probe unanswered comes last, it may stand still; too near its limit a play
        # does not ask
        node, late = play.holders[0], play.limit - now <= 2 * ECHO_WAIT_MS
        if not self.fleet.blind or play.until is not None or late or now - node.heard <= FRESH_MS:
            return None
        play.until, play.asks, self.waiting[play.id] = now + ECHO_WAIT_MS, node, play
        return interface.Verdict(play.id, probe=probe(now, [node]))

    def waited(self, done):
        return [self.waiting.pop(p.id) for p in list(self.waiting.values()) if done(p)]


def probe(now, nodes):
    for node in (nodes := [n for n in nodes if n.asked is None]):
        node.asked = now
    return tuple(n.id for n in nodes)

"""Strings the rooms of the decision module together: what happens goes in, verdicts come out."""

import math

from laddergw import interface
from laddergw.control.accounts import Fading, Fleet
from laddergw.control.holders import Holders
from laddergw.control.plays import RETRY_MS, Allocations, Play
from laddergw.control.prices import FORECAST_MS, Prices
from laddergw.control.rungs import LOOK_MS, Rungs


class Controller:
    """The decisions of one director: told what happens, it answers with verdicts."""

    def __init__(self, deployment, seed, now):
        self.plays, self.pending, self.next_look, self.ask_at = {}, [], now + LOOK_MS, math.inf
        self.fleet = Fleet(seed)
        self.prices, self.holders = Prices(self.fleet, now), Holders(self.fleet)
        self.rungs, self.allocations = (
            Rungs(self.fleet, self.prices),
            Allocations(self.fleet, self.prices),
        )
        self.retold(now, deployment)
        a, h = self.allocations, self.holders  # the chain: its stages, and what takes each back
        self.chain = (
            (a.terms, None),
            (h.holding, None),
            (h.health, h.health_back),
            (h.inquire, None),
            (self.prices.price, self.fleet.put_back),
            (a.ration, None),
            (a.send, a.send_back),
        )

    def listed(self, now, lines, whole):
        return self.done(self.fleet.listed(now, lines, whole))

    def list_failed(self, now):
        self.ask_at = now + (RETRY_MS if self.fleet.d.must_ask else math.inf)
        return self.done()

    def retold(self, now, told):  # at start or switched: plays keep their terms
        self.ask_at = (
            now if told.must_ask and not (self.fleet.d and self.fleet.d.must_ask) else self.ask_at
        )
        self.rungs.shorts = {} if self.fleet.retold(now, told) else self.rungs.shorts
        more = told.products[len(self.prices.demand) :]
        return self.done(self.prices.demand.extend(Fading(FORECAST_MS, now) for _ in more))

    def asked(self, now, ask):
        self.prices.hinted(ask)
        play = self.plays[ask.play] = Play(ask, self.fleet.d, now)
        self.allocations.taken.extend([now] * (self.fleet.d.budget_free is not None))
        return self.done(self.pending.append(play))

    def decide(self, now, most=None):  # when all that came together is known: a drain, a leaving
        waiting, self.pending = self.pending[:most], self.pending[most:] if most else []
        return self.done([verdict for play in waiting for verdict in self.run(now, play)])

    def seen(self, now, node_id, others):  # a planner's view: what others ask, kB a second
        if node := self.fleet.nodes.get(node_id):
            node.hear(now, max(0.0, others))
        return self.done()

    def handed_over(self, now, ask, node_id):
        play = self.plays[ask.play] = Play(ask, self.fleet.d, now)
        play.started, play.sends = now, 1
        self.prices.demand[ask.product].add(
            now, 1 / play.length
        )  # of plays over length: Little's law
        if node := self.fleet.nodes.get(node_id):
            self.fleet.put(now, play, node)
        return self.done()

    def playing(self, now, play_id, number, delay, node_id):
        if (play := self.plays.get(play_id)) and play.out == number + 1:
            self.allocations.answered(now, play, delay)
        return self.done()

    def ended(self, now, play_id, number, outcome, node_id, over, report):
        node, play = self.fleet.nodes.get(node_id), self.plays.get(play_id)
        node and report and self.rungs.reported(now, node, report)
        if play and play.sends - 1 == number and play not in self.pending:
            for _, back in reversed(self.chain):
                back and back(now, play, node or play.node, outcome)
            self.plays.pop(play_id) if over or play.started is not None else self.pending.append(
                play
            )
        return self.done()

    def probed(self, now, node_id, outcome, delay, report):
        if (node := self.fleet.nodes.get(node_id)) is None:
            return self.done()
        node.asked, out = None, []
        if outcome == interface.SERVED and report:
            out = self.rungs.reported(now, node, report)
        elif outcome != interface.FULL:  # too many probes at once tell nothing
            self.holders.fail(now, node)
        self.pending += self.holders.waited(lambda p: p.asks is node)
        return self.done(out)

    def mail(self, now, sender, loads, shares):
        return self.done(self.rungs.mail(now, loads, shares))

    def note(self, now, play_id, node_id, kind, value):
        return self.done(self.rungs.note(now, self.plays.get(play_id), node_id, kind, value))

    def left(self, now, play_id):
        if play := self.plays.get(play_id):
            play.over = True  # it keeps its place until its allocation is told to end
        return self.done()

    def wake(self, now):
        out = [interface.Verdict(follow=True)] if now >= self.ask_at else []
        self.ask_at = math.inf if out else self.ask_at
        self.pending += self.holders.waited(lambda p: now >= p.until)
        if now >= self.next_look:
            self.next_look = now + LOOK_MS
            self.rungs.try_more(now, self.plays)
            out += (
                [interface.Verdict(probe=self.rungs.look_up(now, self.plays))]
                if self.fleet.blind
                else []
            )
            out += [self.rungs.tell()] if self.rungs.loads or self.rungs.shorts else []
        return self.done([v for v in out if v.follow or v.probe or v.tell])

    def done(self, verdicts=None):
        first = next(
            iter(self.holders.waiting.values()), None
        )  # all wait equally long: it came first
        return verdicts or [], min(self.next_look, self.ask_at, first.until if first else math.inf)

    def run(self, now, play):  # each stage passes a play on (None) or ends it (a verdict)
        verdict = (
            None if play.over else next(filter(None, (stage(now, play) for stage, _ in self.chain)))
        )
        if play.over or verdict.answer:  # left meanwhile: no answer is owed
            self.plays.pop(play.id, None)
        if play.id not in self.holders.waiting:
            self.prices.came(now, play)
        return [verdict] if verdict else []

"""Combines the parts of the decisions: events go in, verdicts come out."""

import math

from laddergw import interface
from laddergw.control.candidates import Candidates
from laddergw.control.fleet_state import Fleet
from laddergw.control.load_estimate import DecayingSum
from laddergw.control.plays import RETRY_AFTER_MS, Allocations, Play
from laddergw.control.prices import DEMAND_MEMORY_MS, Prices
from laddergw.control.rungs import REVIEW_INTERVAL_MS, Rungs


class Controller:
    """The decisions of one director. Each method takes in an event and returns `result()`."""

    def __init__(self, deployment, seed, now):
        self.plays, self.pending, self.next_review, self.list_request_at = (
            {},
            [],
            now + REVIEW_INTERVAL_MS,
            math.inf,
        )
        self.fleet = Fleet(seed)
        self.prices, self.candidates = Prices(self.fleet, now), Candidates(self.fleet)
        self.rungs, self.allocations = (
            Rungs(self.fleet, self.prices),
            Allocations(self.fleet, self.prices),
        )
        self.update_deployment(now, deployment)
        allocations, candidates = self.allocations, self.candidates
        # The chain: its stages, and what undoes each when an allocation ends
        self.chain = (
            (allocations.check_terms, None),
            (candidates.select_ready, None),
            (candidates.filter_healthy, candidates.record_health),
            (candidates.probe_first, None),
            (self.prices.choose_node, self.fleet.remove_play),
            (allocations.check_retry_budget, None),
            (allocations.send_setup, allocations.setup_ended),
        )

    def update_fleet(self, now, entries, whole):
        """Takes in the fleet list, whole or as changes."""
        return self.result(self.fleet.update_nodes(now, entries, whole))

    def fleet_list_failed(self, now):
        """Asks for the fleet list again later, where it comes only when asked for."""
        self.list_request_at = now + (
            RETRY_AFTER_MS if self.fleet.deployment.must_ask else math.inf
        )
        return self.result()

    def update_deployment(self, now, deployment):
        """Takes in the deployment, at the start or at a switch; plays keep their terms."""
        self.list_request_at = (
            now
            if deployment.must_ask
            and not (self.fleet.deployment and self.fleet.deployment.must_ask)
            else self.list_request_at
        )
        self.rungs.shortages = (
            {} if self.fleet.update_deployment(now, deployment) else self.rungs.shortages
        )
        new_products = deployment.products[len(self.prices.demand) :]
        return self.result(
            self.prices.demand.extend(DecayingSum(DEMAND_MEMORY_MS, now) for _ in new_products)
        )

    def request_play(self, now, request):
        """Takes in a viewer's request; the play is pending until decide()."""
        self.prices.record_length_hint(request)
        play = self.plays[request.play] = Play(request, self.fleet.deployment, now)
        # Counted as a play taken, where retries are rationed
        self.allocations.play_times.extend([now] * (self.fleet.deployment.budget_free is not None))
        return self.result(self.pending.append(play))

    def decide(self, now, most=None):
        """Decides pending plays, `most` at a time, all by default.

        The host calls it when all events that came together are known: one of them may be a drain,
        or a viewer that leaves.
        """
        waiting, self.pending = self.pending[:most], self.pending[most:] if most else []
        return self.result([verdict for play in waiting for verdict in self.run_chain(now, play)])

    def observe_load(self, now, node_id, others):
        """Takes in a planner's view of what others ask of a node, in kB/s."""
        if node := self.fleet.nodes.get(node_id):
            node.record_others(now, max(0.0, others))
        return self.result()

    def take_over_play(self, now, request, node_id):
        """Takes in a play that is handed over while a node serves it."""
        play = self.plays[request.play] = Play(request, self.fleet.deployment, now)
        play.started_at, play.setup_count = now, 1
        # Arrivals are plays over their length: Little's law
        self.prices.demand[request.product].add(now, 1 / play.length_ms)
        if node := self.fleet.nodes.get(node_id):
            self.fleet.add_play(now, play, node)
        return self.result()

    def play_started(self, now, play_id, number, delay_ms, node_id):
        """Takes in that a node serves a play, `delay_ms` after set-up `number` (from 0 on)."""
        if (play := self.plays.get(play_id)) and play.pending_setup == number + 1:
            self.allocations.setup_answered(now, play, delay_ms)
        return self.result()

    def allocation_ended(self, now, play_id, number, outcome, node_id, over, report):
        """Takes in how allocation `number` of a play ended; `over`: the play has ended, too."""
        node, play = self.fleet.nodes.get(node_id), self.plays.get(play_id)
        node and report and self.rungs.receive_report(now, node, report)
        if play and play.setup_count - 1 == number and play not in self.pending:
            for _, undo in reversed(self.chain):
                undo and undo(now, play, node or play.node, outcome)
            self.plays.pop(play_id) if over or play.started_at is not None else self.pending.append(
                play
            )
        return self.result()

    def probe_ended(self, now, node_id, outcome, delay, report):
        """Takes in the answer to a probe of a node, or its failure."""
        if (node := self.fleet.nodes.get(node_id)) is None:
            return self.result()
        node.probed_at, verdicts = None, []
        if outcome == interface.SERVED and report:
            verdicts = self.rungs.receive_report(now, node, report)
        # Too many probes at once tell nothing
        elif outcome != interface.FULL:
            self.candidates.record_failure(now, node)
        self.pending += self.candidates.take_waiting(lambda play: play.awaited_node is node)
        return self.result(verdicts)

    def receive_peer_report(self, now, sender, loads, shares):
        """Takes in another director's reports: loads of nodes, shares behind short uplinks."""
        return self.result(self.rungs.receive_peer_report(now, loads, shares))

    def update_play(self, now, play_id, node_id, kind, value):
        """Takes in a note on a play under way."""
        return self.result(
            self.rungs.receive_note(now, self.plays.get(play_id), node_id, kind, value)
        )

    def viewer_left(self, now, play_id):
        """Takes in that a play's viewer has left."""
        if play := self.plays.get(play_id):
            # It keeps its place until its allocation has ended
            play.viewer_left = True
        return self.result()

    def wake(self, now):
        """At the wake time: resumes plays that waited long enough, reviews plays under way."""
        verdicts = (
            [interface.Verdict(request_fleet_list=True)] if now >= self.list_request_at else []
        )
        self.list_request_at = math.inf if verdicts else self.list_request_at
        self.pending += self.candidates.take_waiting(lambda play: now >= play.wait_until)
        if now >= self.next_review:
            self.next_review = now + REVIEW_INTERVAL_MS
            self.rungs.try_full_uplinks(now, self.plays)
            verdicts += (
                [interface.Verdict(probe_nodes=self.rungs.nodes_to_probe(now, self.plays))]
                if self.fleet.probes_only
                else []
            )
            verdicts += (
                [self.rungs.report_to_peers()] if self.rungs.loads or self.rungs.shortages else []
            )
        return self.result(
            [v for v in verdicts if v.request_fleet_list or v.probe_nodes or v.notify_directors]
        )

    def result(self, verdicts=None):
        """Returns the verdicts and the next wake time."""
        # All wait equally long: the first to wait came first
        first = next(iter(self.candidates.waiting.values()), None)
        return verdicts or [], min(
            self.next_review, self.list_request_at, first.wait_until if first else math.inf
        )

    def run_chain(self, now, play):
        """Runs a play through the chain: each stage passes it on (None) or ends it (a verdict)."""
        verdict = (
            None
            if play.viewer_left
            else next(filter(None, (stage(now, play) for stage, _ in self.chain)))
        )
        # A viewer that left meanwhile is owed no answer
        if play.viewer_left or verdict.answer:
            self.plays.pop(play.id, None)
        if play.id not in self.candidates.waiting:
            self.prices.record_demand(now, play)
        return [verdict] if verdict else []

"""Selects the nodes that hold a title and may be chosen.

They are ready by the fleet list, healthy, within the ramp of cold nodes, and their load is known.
"""

import math
from zlib import crc32

from laddergw import interface
from laddergw.control.fleet_state import DRAW_WEIGHT, MIX_FACTOR
from laddergw.control.plays import decline_or_fail

# Share over a link's or uplink's rate up to which a play at its lowest rung beats a decline: other
# plays' steps that cost most are taken back.
LOWEST_RUNG_OVERLOAD = 0.05
# First back-off of a node that failed; doublings at most: to 13 s, about a restart.
BACKOFF_MS, MAX_BACKOFF_DOUBLINGS = 400.0, 5
# Share of a cold node's allowance that all directors use: set-ups differ in work.
COLD_RAMP_SHARE = 0.7
FRESH_REPORT_MS = 1_000.0  # a report is valid this long: under a change or two of a node's plays
# A play waits this long for probes: a set-up's time, far under first-frame targets.
PROBE_WAIT_MS = 200.0


class Candidates:
    """Narrows down the nodes for a play. `waiting`: plays that wait for a probe, by id."""

    def __init__(self, fleet):
        self.fleet, self.waiting = fleet, {}

    def select_ready(self, now, play):
        """Sets the play's candidates, most free rate first.

        Only nodes that the list calls ready: none that drains or is gone.
        """
        fleet, deployment = self.fleet, self.fleet.deployment
        first_cell, replica_count = (
            int(play.request.first_cell),
            min(int(play.request.replica_count) or deployment.cells, deployment.cells),
        )
        play.candidates = [
            node
            for offset in range(replica_count)
            for node in fleet.cells[(first_cell + offset) % deployment.cells].values()
            if node.state == interface.READY and node.id not in play.tried_nodes
        ]
        if play.is_bound_by_key():
            play.candidates = [node for node in play.candidates if play.key_holds_at(now, node)]
        shared, needed_rate = play.is_shared(), play.rate(play.highest_rung())
        # Where many directors know little, equal estimates rank alike: what is unreported of a link
        # is weighted by a random number
        for node in play.candidates:
            basis = now, deployment, fleet.others_share, node.revision, node.rack.revision
            # Once a moment, not once a play in a batch of thousands
            if node.basis != basis:
                node.basis, node.free_rate, node.unreported_rate = (
                    basis,
                    fleet.free_rate(now, node),
                    node.rate - node.known_kb.at(now),
                )
                node.free_rate_overloaded = fleet.free_rate(now, node, -LOWEST_RUNG_OVERLOAD)
                node.within_ramp = now - node.ramp_start >= deployment.warm_ms or self.ramp_allows(
                    now, node
                )
            node.rank, node.tie_break = (
                node.free_rate
                + (
                    fleet.scarcity
                    and DRAW_WEIGHT * fleet.scarcity * node.unreported_rate * fleet.draw()
                ),
                node.id,
            )
            # A common draw: all directors' viewers of the title meet there
            if shared:
                node.rank = math.inf if node.free_rate > needed_rate else node.free_rate
                node.tie_break = (
                    crc32(b"%d %d" % (node.id, play.request.title)) * MIX_FACTOR % 2**32
                )
        play.candidates.sort(
            key=lambda node: (fleet.crossing_price(node), -node.rank, node.tie_break)
        )

    def ramp_allows(self, now, node):
        """Whether a set-up may go to a node that is cold, or may be.

        Any node may be cold after our own start, and a node that failed may be.
        """
        deployment, elapsed_ms = self.fleet.deployment, now - node.ramp_start
        # Between this director's set-ups; the first comes after a random part of the gap
        gap = deployment.directors / max(
            self.warm_setup_rate(node) * self.fleet.warmth(now, node.ramp_start), 1e-9
        )
        due = elapsed_ms >= deployment.warm_ms or node.ramp_start <= node.cold_since
        due = due or now - max(node.last_setup, node.ramp_start - node.ramp_gap * gap) >= gap
        return due and (
            now - node.cold_since >= deployment.warm_ms or self.has_planned_setup(now, node)
        )

    def warm_setup_rate(self, node):
        """Returns the set-ups per ms that all directors plan for a node once it is warm."""
        return (
            COLD_RAMP_SHARE
            * max(self.fleet.deployment.fall_multiple, 1)
            * node.max_streams
            / max(self.fleet.deployment.warm_ms, 1e-9)
        )

    def planned_setups(self, node, at):
        """Returns the set-ups planned for a node from its start until `at`."""
        warmth = (self.fleet.deployment.cold_from + self.fleet.warmth(at, node.cold_since)) / 2
        return self.warm_setup_rate(node) * warmth * max(at - node.cold_since, 0)

    def has_planned_setup(self, now, node):
        """Whether one of the planned set-ups of a cold node is this director's to send now.

        Each planned set-up belongs to one director, in rotation. It lapses when no play comes for
        it, or a rush would find many of them. So any span gets those planned in it and those that
        have not lapsed: fewer than N + sqrt(N) + 2 where N are allowed.
        """
        deployment, planned, planned_before = (
            self.fleet.deployment,
            self.planned_setups(node, now),
            self.planned_setups(node, now - self.fleet.deployment.fall_ms),
        )
        # since: planned set-ups since this director's last one; allowed: N, in the counted span
        since, allowed = (
            (planned - deployment.number - node.rotation_offset) % deployment.directors,
            (planned - planned_before) / COLD_RAMP_SHARE,
        )
        if not (since <= planned and since < (1 - COLD_RAMP_SHARE) * allowed + allowed**0.5 + 1):
            return False
        return (
            node.last_setup < node.cold_since
            or self.planned_setups(node, node.last_setup) < planned - since
        )

    def filter_healthy(self, now, play):
        """Drops candidates that back off, that had their share while cold, or that failed lately.

        The last holds for paid plays, and for others while another set-up to the node is open.
        """
        play.candidates = [
            node
            for node in play.candidates
            if now >= node.backoff_until
            and node.within_ramp
            and not (
                node.backoff_level
                and (
                    play.product.repeat == "paid"
                    or any(other.pending_setup for other in node.plays.values())
                )
            )
        ]
        return None if play.candidates else decline_or_fail(self.fleet, play)

    def record_health(self, now, play, node, outcome):
        """Takes in how an allocation at a node ended, for its health."""
        if node and outcome in (
            interface.ERROR,
            interface.TIMED_OUT,
            interface.UNREACHABLE,
            interface.BROKEN,
        ):
            self.record_failure(now, node)
            # It may be starting: its set-ups are paced when it answers
            if outcome in (interface.UNREACHABLE, interface.BROKEN):
                node.ramp_start, node.ramp_gap = now, self.fleet.draw()
        # The node is fuller than was reported
        elif node and outcome == interface.FULL:
            node.record_others(
                now,
                max(
                    node.others_load(now, self.fleet.others_share),
                    self.fleet.usable_rate(now, node) - node.own,
                ),
            )
            node.backoff_until = max(node.backoff_until, now + BACKOFF_MS)

    def record_failure(self, now, node):
        """Backs off from a node; failures of one moment count once."""
        if now >= node.backoff_until:
            node.backoff_until = now + BACKOFF_MS * 2**node.backoff_level * (1 + self.fleet.draw())
            node.backoff_level = min(node.backoff_level + 1, MAX_BACKOFF_DOUBLINGS)

    def probe_first(self, now, play):
        """Probes the first candidate before a play is placed, where only probes report load."""
        play.candidates.sort(
            key=lambda n: n.probed_at is not None and now - n.probed_at >= PROBE_WAIT_MS
        )
        # A node that left a probe unanswered comes last: it may have stalled. A play too near its
        # limit does not wait for a probe.
        node, late = play.candidates[0], play.answer_by - now <= 2 * PROBE_WAIT_MS
        if (
            not self.fleet.probes_only
            or play.wait_until is not None
            or late
            or now - node.reported_at <= FRESH_REPORT_MS
        ):
            return None
        play.wait_until, play.awaited_node, self.waiting[play.id] = now + PROBE_WAIT_MS, node, play
        return interface.Verdict(play.id, probe_nodes=mark_probed(now, [node]))

    def take_waiting(self, is_done):
        """Removes and returns the waiting plays for which `is_done(play)` holds."""
        return [self.waiting.pop(play.id) for play in list(self.waiting.values()) if is_done(play)]


def mark_probed(now, nodes):
    """Marks the nodes without an open probe as probed now; returns their ids."""
    for node in (nodes := [n for n in nodes if n.probed_at is None]):
        node.probed_at = now
    return tuple(n.id for n in nodes)

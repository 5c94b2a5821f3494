"""Builds small deployments and drives one controller, recording what it decides as a short trace."""
import difflib
import pathlib
import unittest

from laddergw import interface
from laddergw.control import Controller

TRACES = pathlib.Path(__file__).parent / "traces"
PLAIN_PRODUCT = dict(importance=1.0, repeat="safe", group="all", key_ms=5000.0, floor=0,
                     top=2, scale=1.0, seats=0)


def deployment(products=({},), **changes):
    """Returns a small deployment with changed fields; each product is given by its changes to a plain one."""
    values = dict(
        products=tuple(interface.Product(**{**PLAIN_PRODUCT, **product}) for product in products), ladder=(100.0, 200.0, 400.0),
        rung_worth=(0.3, 0.6, 1.0), cells=4, racks=2, link_unit=9000.0, rack_kb=40000.0, streams=(20.0,), step_cost_ms=400.0,
        seen_after_ms=500.0, directors=2, max_allocations=3,
        retry_max_ms=1000.0, cold_from=0.5, warm_ms=10_000.0, fall_multiple=2.0, fall_ms=1000.0,
        budget_free=None, budget_share=0.0, budget_ms=0.0, must_ask=False, reports=("x0",))
    return interface.Deployment(**{**values, **changes})


class TracedController:
    """One controller with nodes 1 to n that started long ago; the verdicts of every call go into its trace."""

    def __init__(self, nodes=2, warm=True, seed=7, **changes):
        self.lines = []
        self.controller = Controller(deployment(**changes), seed, 0.0)
        self.update_fleet(0, [self.entry(n) for n in range(1, nodes + 1)], True)
        self.start_ms = 20_000.0 if warm else 0.0  # past the ramp after the controller's own start

    def entry(self, node, state=interface.READY, started=0.0, zone=0):
        """Returns a node's entry of the fleet list."""
        return interface.NodeEntry(node, node - 1, 1.0, state, started, 0, zone)

    def comment(self, text):
        """Adds a comment to the trace."""
        self.lines.append("# " + text)

    def record(self, now, event, result, same_batch=False):
        """Adds an event and its verdicts to the trace; decides pending plays unless more events of its batch follow."""
        if not same_batch:
            result = result[0] + self.controller.decide(self.start_ms + now)[0], result[1]
        self.lines += [f"{now:7.0f} {event:34} {self.describe(verdict)}" for verdict in result[0]] or [f"{now:7.0f} {event:34} -"]
        return result[0]

    @staticmethod
    def describe(v):
        """Returns a verdict in words."""
        if v.notify_directors:
            return f"reports to {', '.join(map(str, v.notify_directors))}: loads {dict(v.loads)}, short uplinks {dict(v.shares)}"
        if v.probe_nodes:
            return f"{'' if v.play is None else f'play {v.play} waits, '}probes {', '.join(map(str, v.probe_nodes))}"
        if v.node is not None:
            return f"play {v.play} to node {v.node} at rung {v.rung}, time-out {v.timeout_ms:.0f}"
        if v.answer:
            return f"play {v.play} {v.answer}" + (f", retry after {v.retry_after_ms:.0f}" if v.retry_after_ms else "")
        if v == interface.Verdict(v.play):
            return f"play {v.play} waits"
        return "move" if v.move else "request the fleet list" if v.request_fleet_list else f"play {v.play} to rung {v.rung}"

    def update_fleet(self, now, entries, whole=False):
        """Hands a fleet list to the controller without a line in the trace; `now` is not from `start_ms` on."""
        return self.controller.update_fleet(now, entries, whole)

    def request(self, now, play, product=0, wait_ms=4000.0, title=5, replica_count=4, highest_rung=2, length_ms=None, same_batch=False, is_retry=False):
        """A viewer requests a play."""
        request = interface.PlayRequest(play, product, title, 0, replica_count, highest_rung, length_ms, wait_ms, is_retry)
        return self.record(now, f"request{' (retry)' * is_retry}: play {play} of product {product}", self.controller.request_play(self.start_ms + now, request), same_batch)

    def play_started(self, now, play, node, number=0):
        """A node serves a play."""
        return self.record(now, f"play {play} started on {node}", self.controller.play_started(self.start_ms + now, play, number, 100.0, node))

    def allocation_ended(self, now, play, node, outcome, number=0, over=False, report=()):
        """An allocation of a play ended at a node."""
        return self.record(now, f"play {play} on {node}: {outcome}",
                           self.controller.allocation_ended(self.start_ms + now, play, number, outcome, node, over, report))

    def probe_ended(self, now, node, outcome=interface.SERVED, report=()):
        """A probe of a node ended."""
        return self.record(now, f"probe of {node}: {outcome} {' '.join(map(str, report))}",
                           self.controller.probe_ended(self.start_ms + now, node, outcome, 5.0, report))

    def peer_report(self, now, loads=(), shares=()):
        """Another director sent its report."""
        return self.record(now, f"peer report: {dict(loads)} {dict(shares)}", self.controller.receive_peer_report(self.start_ms + now, 1, loads, shares))

    def wake(self, now):
        """The wake time came."""
        return self.record(now, "wake", self.controller.wake(self.start_ms + now))

    def note(self, now, play, node, kind, value):
        """A note on a play came from a node."""
        return self.record(now, f"note on {node}: {kind} {value}", self.controller.update_play(self.start_ms + now, play, node, kind, value))


class TraceTest(unittest.TestCase):
    """A test that compares traces with kept ones."""

    def assert_trace(self, name, traced):
        """Compares the trace with the kept one, which people read and change by hand."""
        kept = (TRACES / f"{name}.txt").read_text().splitlines()
        if kept != traced.lines:
            self.fail("\n" + "\n".join(difflib.unified_diff(kept, traced.lines, "kept", "decided", lineterm="")))

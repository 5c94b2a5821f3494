"""Builds small deployments and drives one controller, printing what it decides as a short trace."""
import difflib
import pathlib
import unittest

from laddergw import interface as face
from laddergw.control import Controller

TRACES = pathlib.Path(__file__).parent / "traces"
PLAIN = dict(importance=1.0, repeat="safe", group="all", key_ms=5000.0, floor=0,
             top=2, scale=1.0, seats=0)


def deployment(products=({},), **changes):
    values = dict(
        products=tuple(face.Product(**{**PLAIN, **p}) for p in products), ladder=(100.0, 200.0, 400.0),
        rung_worth=(0.3, 0.6, 1.0), cells=4, racks=2, link_unit=9000.0, rack_kb=40000.0, streams=(20.0,), step_cost_ms=400.0,
        seen_after_ms=500.0, directors=2, max_allocations=3,
        retry_max_ms=1000.0, cold_from=0.5, warm_ms=10_000.0, fall_multiple=2.0, fall_ms=1000.0,
        budget_free=None, budget_share=0.0, budget_ms=0.0, must_ask=False, reports=("x0",))
    return face.Deployment(**{**values, **changes})


class Drive:
    """One controller with nodes 1 to n that started long ago; every call's verdicts go into the trace."""

    def __init__(self, nodes=2, warm=True, seed=7, **changes):
        self.lines = []
        self.c = Controller(deployment(**changes), seed, 0.0)
        self.listed(0, [self.line(n) for n in range(1, nodes + 1)], True)
        self.base = 20_000.0 if warm else 0.0      # past the pacing after our own start

    def line(self, node, state=face.READY, started=0.0, zone=0):
        return face.NodeEntry(node, node - 1, 1.0, state, started, 0, zone)

    def say(self, text):
        self.lines.append("# " + text)

    def run(self, now, what, result, together=False):
        if not together:
            result = result[0] + self.c.decide(self.base + now)[0], result[1]
        self.lines += [f"{now:7.0f} {what:34} {self.show(v)}" for v in result[0]] or [f"{now:7.0f} {what:34} -"]
        return result[0]

    @staticmethod
    def show(v):
        if v.notify_directors:
            return f"tells {', '.join(map(str, v.notify_directors))}: loads {dict(v.loads)}, short uplinks {dict(v.shares)}"
        if v.probe_nodes:
            return f"{'' if v.play is None else f'play {v.play} waits, '}probes {', '.join(map(str, v.probe_nodes))}"
        if v.node is not None:
            return f"play {v.play} to node {v.node} at rung {v.rung}, time-out {v.timeout_ms:.0f}"
        if v.answer:
            return f"play {v.play} {v.answer}" + (f", come back in {v.retry_after_ms:.0f}" if v.retry_after_ms else "")
        if v == face.Verdict(v.play):
            return f"play {v.play} waits"
        return "move" if v.move else "follow the list" if v.request_fleet_list else f"play {v.play} to rung {v.rung}"

    def listed(self, now, lines, whole=False):
        return self.c.update_fleet(now, lines, whole)

    def ask(self, now, play, product=0, wait=4000.0, title=5, copies=4, ceiling=2, length=None, together=False, again=False):
        request = face.PlayRequest(play, product, title, 0, copies, ceiling, length, wait, again)
        return self.run(now, f"asked{' again' * again}: play {play} of product {product}", self.c.request_play(self.base + now, request), together)

    def starts(self, now, play, node, number=0):
        return self.run(now, f"play {play} plays on {node}", self.c.play_started(self.base + now, play, number, 100.0, node))

    def end(self, now, play, node, outcome, number=0, over=False, report=()):
        return self.run(now, f"play {play} on {node}: {outcome}",
                        self.c.allocation_ended(self.base + now, play, number, outcome, node, over, report))

    def echo(self, now, node, outcome=face.SERVED, report=()):
        return self.run(now, f"probe of {node}: {outcome} {' '.join(map(str, report))}",
                        self.c.probe_ended(self.base + now, node, outcome, 5.0, report))

    def mail(self, now, loads=(), shares=()):
        return self.run(now, f"mail: {dict(loads)} {dict(shares)}", self.c.receive_peer_report(self.base + now, 1, loads, shares))

    def wake(self, now):
        return self.run(now, "wakes", self.c.wake(self.base + now))

    def note(self, now, play, node, kind, value):
        return self.run(now, f"note on {node}: {kind} {value}", self.c.update_play(self.base + now, play, node, kind, value))


class TraceTest(unittest.TestCase):
    def assert_trace(self, name, drive):
        """Compares the trace with the kept one, which people read and change by hand."""
        kept = (TRACES / f"{name}.txt").read_text().splitlines()
        if kept != drive.lines:
            self.fail("\n" + "\n".join(difflib.unified_diff(kept, drive.lines, "kept", "decided", lineterm="")))

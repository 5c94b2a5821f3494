"""Carries out the faults of a plan in a trial."""

from collections.abc import Callable
from typing import Any

from laddergw.lab.soak.nodes import Node
from laddergw.lab.soak.plan import WINDOWS, Fault

DRAIN_MS = 1_500.0  # from a node's drain to its end
GONE_MS = 300.0  # from its leaving the list to the end of its process


class Faults:
    """One trial's faults: `begin` carries one out, and ends it where it lasts."""

    def __init__(self, trial: Any):
        self.trial = trial

    def begin(self, fault: Fault) -> None:
        self.trial.record("fault", kind=fault.kind, lasts_ms=fault.lasts_ms, target=fault.target)
        if fault.kind in WINDOWS:
            return self.window(fault)
        return getattr(self, fault.kind)(fault)

    def later(self, fault: Fault, call: Callable[[], Any]) -> None:
        self.trial.loop.call_later(fault.lasts_ms, call)

    def window(self, fault: Fault) -> None:
        self.trial.conditions.now.add(fault.kind)
        self.later(fault, lambda: self.trial.conditions.now.discard(fault.kind))

    def place(self, fault: Fault):
        return self.trial.directors[fault.target % len(self.trial.directors)]

    def node(self, fault: Fault) -> Node:
        """One that is in service, the same for the same fleet."""
        alive = [node for node in self.trial.nodes.values() if not node.gone]
        return alive[fault.target % len(alive)]

    def stop(self, fault: Fault) -> None:
        self.place(fault).stop()

    def kill(self, fault: Fault) -> None:
        self.place(fault).kill()

    def freeze(self, fault: Fault) -> None:
        self.place(fault).freeze(min(fault.lasts_ms, 800.0))

    def reconfigure(self, fault: Fault) -> None:
        self.place(fault).reconfigure()

    def drain(self, fault: Fault) -> None:
        node = self.node(fault)
        self.trial.log.publish(node.list_entry("DRAINING"))
        self.trial.loop.call_later(DRAIN_MS, lambda: self.leave(node))

    def replace(self, fault: Fault) -> None:
        node = self.node(fault)
        successor = self.trial.add_node(f"s{len(self.trial.nodes)}", node.cell, True)
        self.trial.log.publish(node.list_entry("DRAINING"), successor.list_entry("SERVING"))
        self.trial.loop.call_later(DRAIN_MS, lambda: self.leave(node))

    def leave(self, node: Node) -> None:
        if not node.gone:
            self.trial.log.publish(node.list_entry("DELETED"))
            self.trial.loop.call_later(GONE_MS, node.die)

    def hang(self, fault: Fault) -> None:
        node = self.node(fault)
        node.hang()
        self.later(fault, node.resume)

    def die(self, fault: Fault) -> None:
        self.node(fault).die()

    def reset(self, fault: Fault) -> None:
        self.node(fault).reset()

    def close_early(self, fault: Fault) -> None:
        self.node(fault).close_early()

    def late_accept(self, fault: Fault) -> None:
        node = self.node(fault)
        node.stop_accepting()
        self.later(fault, node.accept_again)

    def log_away(self, fault: Fault) -> None:
        self.trial.log.go_down()
        self.later(fault, self.trial.log.come_back)

    def log_silent(self, fault: Fault) -> None:
        self.trial.log.go_silent()
        self.later(fault, self.trial.log.resume)

    def log_broken_line(self, fault: Fault) -> None:
        self.trial.log.break_line()

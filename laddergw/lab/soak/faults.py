"""Injects the faults of a plan into a trial."""

from collections.abc import Callable
from typing import Any

from laddergw.lab.soak.nodes import Node
from laddergw.lab.soak.plan import CONDITIONS, Fault

# From the start of a node's drain to its removal from the list.
DRAIN_TO_REMOVAL_MS = 1_500.0
# From a node's removal from the list to the end of its process.
REMOVAL_TO_EXIT_MS = 300.0
# From the start of a node's process to the list's event about it.
START_NOTICE_MS = (300.0, 5_000.0)


class FaultInjector:
    """Injects faults into one trial.

    `begin` starts a fault, and ends it after its duration. Each kind of fault that is not a
    condition is a method of the same name.
    """

    def __init__(self, trial: Any):
        self.trial = trial

    def begin(self, fault: Fault) -> None:
        """Records and starts a fault."""
        self.trial.record("fault", kind=fault.kind, lasts_ms=fault.lasts_ms, target=fault.target)
        if fault.kind in CONDITIONS:
            return self.begin_condition(fault)
        return getattr(self, fault.kind)(fault)

    def call_at_end(self, fault: Fault, call: Callable[[], Any]) -> None:
        """Calls a function at the end of a fault's duration."""
        self.trial.loop.call_later(fault.lasts_ms, call)

    def begin_condition(self, fault: Fault) -> None:
        """Sets a condition for the duration of the fault."""
        self.trial.conditions.active.add(fault.kind)
        self.call_at_end(fault, lambda: self.trial.conditions.active.discard(fault.kind))

    def director(self, fault: Fault):
        """Picks the director of a fault."""
        return self.trial.directors[fault.target % len(self.trial.directors)]

    def node(self, fault: Fault) -> Node:
        """Picks a live node that is not cut off; the choice depends on the fault and on these."""
        reachable = [
            node for node in self.trial.nodes.values() if not node.has_died and not node.is_cut_off
        ]
        return reachable[fault.target % len(reachable)]

    def stop(self, fault: Fault) -> None:
        """Stops a director as a planned restart does."""
        self.director(fault).stop()

    def kill(self, fault: Fault) -> None:
        """Kills a director."""
        self.director(fault).kill()

    def freeze(self, fault: Fault) -> None:
        """Freezes a director, for 800 ms at most."""
        self.director(fault).freeze(min(fault.lasts_ms, 800.0))

    def reconfigure(self, fault: Fault) -> None:
        """Changes a director's configuration file."""
        self.director(fault).reconfigure()

    def drain(self, fault: Fault) -> None:
        """Drains a node, then removes it."""
        node = self.node(fault)
        self.trial.log.publish(node.list_entry("DRAINING"))
        self.trial.loop.call_later(DRAIN_TO_REMOVAL_MS, lambda: self.retire(node))

    def replace(self, fault: Fault) -> None:
        """Drains a node and adds a cold one in its place."""
        node = self.node(fault)
        successor = self.trial.add_node(f"s{len(self.trial.nodes)}", node.cell, True)
        self.trial.log.publish(node.list_entry("DRAINING"), successor.list_entry("SERVING"))
        self.trial.loop.call_later(DRAIN_TO_REMOVAL_MS, lambda: self.retire(node))

    def retire(self, node: Node) -> None:
        """Removes a node from the list, then ends its process."""
        if not node.has_died:
            self.trial.log.publish(node.list_entry("DELETED"))
            self.trial.loop.call_later(REMOVAL_TO_EXIT_MS, node.die)

    def hang(self, fault: Fault) -> None:
        """Hangs a node for a while."""
        node = self.node(fault)
        node.hang()
        self.call_at_end(fault, node.resume)

    def die(self, fault: Fault) -> None:
        """Ends a node's process without notice."""
        self.node(fault).die()

    def cut_off(self, fault: Fault) -> None:
        """Cuts a node off for a while."""
        node = self.node(fault)
        node.cut_off()
        self.call_at_end(fault, node.rejoin)

    def vanish(self, fault: Fault) -> None:
        """Has a node's machine vanish; it returns cold."""
        node = self.node(fault)
        node.vanish()
        self.call_at_end(fault, lambda: self.start_anew(node))

    def restart(self, fault: Fault) -> None:
        """Restarts a node's process; the list tells of it later."""
        node = self.node(fault)
        node.die()
        self.call_at_end(fault, lambda: self.start_anew(node))

    def start_anew(self, node: Node) -> None:
        """Starts a node's next process, of which the list tells after a while."""
        node.start_anew()
        notice_ms = self.trial.rng.uniform(*START_NOTICE_MS)
        self.trial.loop.call_later(
            notice_ms, lambda: self.trial.log.publish(node.list_entry("SERVING"))
        )

    def reset(self, fault: Fault) -> None:
        """Resets a node's connections."""
        self.node(fault).reset()

    def close_early(self, fault: Fault) -> None:
        """Closes a node's connections."""
        self.node(fault).close_early()

    def late_accept(self, fault: Fault) -> None:
        """Has a node accept no connections for a while."""
        node = self.node(fault)
        node.stop_accepting()
        self.call_at_end(fault, node.accept_again)

    def log_away(self, fault: Fault) -> None:
        """Takes the change log down for a while."""
        self.trial.log.go_down()
        self.call_at_end(fault, self.trial.log.come_back)

    def log_silent(self, fault: Fault) -> None:
        """Silences the change log for a while."""
        self.trial.log.go_silent()
        self.call_at_end(fault, self.trial.log.resume)

    def log_broken_line(self, fault: Fault) -> None:
        """Cuts a line of the change log short."""
        self.trial.log.send_partial_line()

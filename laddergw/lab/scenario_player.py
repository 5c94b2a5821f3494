"""Plays a script of fault events on a stage: tracks the state of the fleet, updates the fleet list and calls the stage when each event is due."""
from typing import Any, Callable, Protocol

from laddergw.lab.deployment_model import DeploymentModel, draw_between
from laddergw.lab.script import NODE_FAULTS, FaultEvent

STARTED_EARLIER = None               # start time of a node that was running before the rehearsal began
REPLACEMENT_ID_BASE = 100_000        # ids of replacement nodes count up from here


class Stage(Protocol):
    """Environment in which a rehearsal runs: in memory or as processes."""
    loop: Any
    def start_node(self, facts, incarnation: int, cold: bool, rack: int, port: int, ready: Callable[[tuple], None]) -> None:
        """Starts a node's process; calls `ready` with its address."""
        ...

    def fault(self, node: int, fault: str, value) -> None:
        """Sets a fault at a node; None as value ends it."""
        ...

    def publish_list_entry(self, entry: dict) -> None:
        """Sets a node's entry in the fleet list."""
        ...

    def set_list_unreachable(self, unreachable: bool) -> None:
        """Takes the list service out of reach, or back."""
        ...

    def set_list_lag(self, ms: float) -> None:
        """Sets the extra delay of list changes."""
        ...

    def start_director(self, number: int) -> None:
        """Starts the next process of a director."""
        ...

    def kill_director(self, number: int) -> None:
        """Ends a director at once."""
        ...

    def freeze_director(self, number: int, ms: float) -> None:
        """Stops a director's execution for a time."""
        ...

    def stop_director(self, number: int) -> None:
        """Shuts a director down."""
        ...


class ScenarioPlayer:
    """Applies a script's events to a stage. Events whose target is gone already are counted in `missed`, not dropped silently."""

    def __init__(self, model: DeploymentModel, stage: Stage, script: list[FaultEvent], record: Callable):
        self.model, self.stage, self.script, self.record = model, stage, script, record
        self.facts = {facts.node: facts for facts in model.nodes}
        self.current_node = {node: node for node in self.facts}      # node that replaces each node of the model by now
        self.incarnations: dict[int, int] = {}
        self.addresses: dict[int, tuple] = {}
        self.up: set[int] = set()
        self.directors_up: set[int] = set()
        self.last_node_id, self.missed, self.played = REPLACEMENT_ID_BASE, 0, 0

    def start_fleet(self) -> None:
        """Starts all nodes of the model, warm."""
        for facts in self.model.nodes:
            self.start(facts, False)

    def start(self, facts, cold: bool, port: int = 0) -> None:
        """Starts a node's next incarnation and lists it once it is ready."""
        node = facts.node
        self.incarnations[node] = self.incarnations.get(node, 0) + 1
        incarnation, started = self.incarnations[node], self.stage.loop.now if cold else STARTED_EARLIER

        def ready(address: tuple) -> None:
            self.addresses[node] = address
            self.up.add(node)
            self.publish_state(node, "ready", started)
        self.facts[node] = facts
        self.stage.start_node(facts, incarnation, cold, facts.cell % self.model.racks, port, ready)

    def publish_state(self, node: int, state: str, started=STARTED_EARLIER) -> None:
        """Reports a node's state to the fleet list."""
        facts = self.facts[node]
        self.stage.publish_list_entry({
            "node": node, "cell": facts.cell, "weight": facts.weight, "state": state, "incarnation": self.incarnations[node],
            "kind": facts.kind, "zone": 0, "address": list(self.addresses[node]), "started": started})

    def schedule_events(self) -> None:
        """Schedules all events of the script, from now on."""
        start = self.stage.loop.now
        for event in self.script:
            self.stage.loop.call_at(start + event.at, lambda event=event: self.apply_event(event))

    def apply_event(self, event: FaultEvent) -> None:
        """Records an event and applies it to the node, director or list that it names."""
        self.record("trouble", self.stage.loop.now, kind=event.kind, who=event.who, value=event.value)
        self.played += 1
        if event.kind in ("kill", "start", "freeze", "term"):
            return self.apply_director_event(event)
        if event.kind in ("list-out", "list-back"):
            return self.stage.set_list_unreachable(event.kind == "list-out")
        if event.kind == "list-lag":
            return self.stage.set_list_lag(event.value)
        node = self.current_node[event.who]
        if event.kind == "succeed":
            return self.start_replacement(event.who)
        if event.kind == "return":
            return self.start(self.facts[node], True) if node not in self.up else self.count_missed()
        if node not in self.up:
            return self.count_missed()
        if event.kind == "replace":
            return self.drain_and_end(event.who, node, event.value, lambda: self.start_replacement(event.who))
        if event.kind == "withdraw":
            return self.drain_and_end(event.who, node, event.value)
        if event.kind == "heal":
            return self.stage.fault(node, NODE_FAULTS[int(event.value)], None)
        self.stage.fault(node, event.kind, event.value)
        if event.kind in ("die", "vanish"):
            self.node_ended(node, event.kind)

    def count_missed(self) -> None:
        """Counts an event whose target is gone already."""
        self.missed += 1

    def node_ended(self, node: int, cause: str) -> None:
        """Reports the end of a node: one that died is removed from the list at once, one that vanished silently much later."""
        self.up.discard(node)
        if cause == "vanish":
            low, high = self.model.silent_lag_ms
            incarnation = self.incarnations[node]
            self.stage.loop.call_later(draw_between(self.model.seed, low, high, "silent", node),
                                  lambda: self.incarnations[node] == incarnation and self.publish_state(node, "gone"))
        else:
            self.publish_state(node, "gone")

    def drain_and_end(self, original_node: int, node: int, drain_ms: float, then=lambda: None) -> None:
        """Drains a node, and ends it after `drain_ms`; `then` is called if it was still running."""
        self.publish_state(node, "draining")
        self.stage.loop.call_later(drain_ms * 0.6, lambda: node in self.up and self.stage.fault(node, "drain", None))

        def end() -> None:
            if node not in self.up:
                return self.count_missed()
            self.stage.fault(node, "die", None)
            self.node_ended(node, "die")
            then()
        self.stage.loop.call_later(drain_ms, end)

    def start_replacement(self, original_node: int) -> None:
        """Starts a cold replacement in the cell of a node that was removed."""
        if self.current_node[original_node] in self.up:
            return self.count_missed()
        self.last_node_id += 1
        facts = self.facts[self.current_node[original_node]]._replace(node=self.last_node_id)
        self.current_node[original_node] = self.last_node_id
        self.start(facts, True)

    def apply_director_event(self, event: FaultEvent) -> None:
        """Starts, kills, stops or freezes a director."""
        number = event.who
        if (event.kind == "start") == (number in self.directors_up):
            return self.count_missed()
        if event.kind == "start":
            self.directors_up.add(number)
            return self.stage.start_director(number)
        if event.kind == "freeze":
            return self.stage.freeze_director(number, event.value)
        self.directors_up.discard(number)
        return self.stage.kill_director(number) if event.kind == "kill" else self.stage.stop_director(number)

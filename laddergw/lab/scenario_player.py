"""Plays a script on a stage: keeps what is true of the fleet, tells the list, and calls the stage at each trouble's time."""
from typing import Any, Callable, Protocol

from laddergw.lab.deployment_model import DeploymentModel, draw_between
from laddergw.lab.script import NODE_FAULTS, FaultEvent

LONG_AGO = None            # start of a node that runs since before the rehearsal
SUCCESSOR = 100_000        # ids of replacements count from here


class Stage(Protocol):
    """Where a rehearsal runs: in memory or as processes."""
    loop: Any
    def start_node(self, facts, incarnation: int, cold: bool, rack: int, port: int, ready: Callable[[tuple], None]) -> None: ...
    def fault(self, node: int, what: str, value) -> None: ...
    def list_change(self, entry: dict) -> None: ...
    def list_reach(self, out: bool) -> None: ...
    def list_lag(self, ms: float) -> None: ...
    def start_director(self, number: int) -> None: ...
    def kill_director(self, number: int) -> None: ...
    def freeze_director(self, number: int, ms: float) -> None: ...
    def stop_director(self, number: int) -> None: ...


class ScenarioPlayer:
    """See the module. Troubles that hit what is not there any more are counted in `missed`, not dropped silently."""

    def __init__(self, model: DeploymentModel, stage: Stage, script: list[FaultEvent], record: Callable):
        self.model, self.stage, self.script, self.record = model, stage, script, record
        self.facts = {facts.node: facts for facts in model.nodes}
        self.heir = {node: node for node in self.facts}      # who stands for a node of the plant by now
        self.incarnations: dict[int, int] = {}
        self.addresses: dict[int, tuple] = {}
        self.up: set[int] = set()
        self.directors_up: set[int] = set()
        self.numbers, self.missed, self.played = SUCCESSOR, 0, 0

    def start_fleet(self) -> None:
        for facts in self.model.nodes:
            self.start(facts, False)

    def start(self, facts, cold: bool, port: int = 0) -> None:
        node = facts.node
        self.incarnations[node] = self.incarnations.get(node, 0) + 1
        incarnation, started = self.incarnations[node], self.stage.loop.now if cold else LONG_AGO

        def ready(address: tuple) -> None:
            self.addresses[node] = address
            self.up.add(node)
            self.tell(node, "ready", started)
        self.facts[node] = facts
        self.stage.start_node(facts, incarnation, cold, facts.cell % self.model.racks, port, ready)

    def tell(self, node: int, state: str, started=LONG_AGO) -> None:
        facts = self.facts[node]
        self.stage.list_change({
            "node": node, "cell": facts.cell, "weight": facts.weight, "state": state, "incarnation": self.incarnations[node],
            "kind": facts.kind, "zone": 0, "address": list(self.addresses[node]), "started": started})

    def schedule_events(self) -> None:
        start = self.stage.loop.now
        for trouble in self.script:
            self.stage.loop.call_at(start + trouble.at, lambda trouble=trouble: self.apply_event(trouble))

    def apply_event(self, trouble: FaultEvent) -> None:
        self.record("trouble", self.stage.loop.now, kind=trouble.kind, who=trouble.who, value=trouble.value)
        self.played += 1
        if trouble.kind in ("kill", "start", "freeze", "term"):
            return self.on_director(trouble)
        if trouble.kind in ("list-out", "list-back"):
            return self.stage.list_reach(trouble.kind == "list-out")
        if trouble.kind == "list-lag":
            return self.stage.list_lag(trouble.value)
        node = self.heir[trouble.who]
        if trouble.kind == "succeed":
            return self.succeed(trouble.who)
        if trouble.kind == "return":
            return self.start(self.facts[node], True) if node not in self.up else self.miss()
        if node not in self.up:
            return self.miss()
        if trouble.kind == "replace":
            return self.withdraw(trouble.who, node, trouble.value, lambda: self.succeed(trouble.who))
        if trouble.kind == "withdraw":
            return self.withdraw(trouble.who, node, trouble.value)
        if trouble.kind == "heal":
            return self.stage.fault(node, NODE_FAULTS[int(trouble.value)], None)
        self.stage.fault(node, trouble.kind, trouble.value)
        if trouble.kind in ("die", "vanish"):
            self.fallen(node, trouble.kind)

    def miss(self) -> None:
        self.missed += 1

    def fallen(self, node: int, how: str) -> None:
        """A node that died is off the list soon; one that went without a word much later."""
        self.up.discard(node)
        if how == "vanish":
            low, high = self.model.silent_lag_ms
            incarnation = self.incarnations[node]
            self.stage.loop.call_later(draw_between(self.model.seed, low, high, "silent", node),
                                  lambda: self.incarnations[node] == incarnation and self.tell(node, "gone"))
        else:
            self.tell(node, "gone")

    def withdraw(self, place: int, node: int, drain_ms: float, then=lambda: None) -> None:
        """Drains a node and ends it."""
        self.tell(node, "draining")
        self.stage.loop.call_later(drain_ms * 0.6, lambda: node in self.up and self.stage.fault(node, "drain", None))

        def end() -> None:
            if node not in self.up:
                return self.miss()
            self.stage.fault(node, "die", None)
            self.fallen(node, "die")
            then()
        self.stage.loop.call_later(drain_ms, end)

    def succeed(self, place: int) -> None:
        """A cold successor in the cell of a node that was taken away."""
        if self.heir[place] in self.up:
            return self.miss()
        self.numbers += 1
        facts = self.facts[self.heir[place]]._replace(node=self.numbers)
        self.heir[place] = self.numbers
        self.start(facts, True)

    def on_director(self, trouble: FaultEvent) -> None:
        number = trouble.who
        if (trouble.kind == "start") == (number in self.directors_up):
            return self.miss()
        if trouble.kind == "start":
            self.directors_up.add(number)
            return self.stage.start_director(number)
        if trouble.kind == "freeze":
            return self.stage.freeze_director(number, trouble.value)
        self.directors_up.discard(number)
        return self.stage.kill_director(number) if trouble.kind == "kill" else self.stage.stop_director(number)

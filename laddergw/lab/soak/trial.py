"""One trial: directors as real processes, their peers in this process, faults by a plan or a
script; what passed, as records.

One clock for all that is recorded: this process's.
"""

import os
import random
import signal
import tempfile
import time
from collections.abc import Callable
from typing import Any

from laddergw.lab.soak.change_log import ChangeLog
from laddergw.lab.soak.director_supervisor import DirectorSupervisor, default_run
from laddergw.lab.soak.faults import Faults
from laddergw.lab.soak.messages import SETTINGS
from laddergw.lab.soak.node_connection import Conditions
from laddergw.lab.soak.nodes import Node
from laddergw.lab.soak.plan import Plan
from laddergw.lab.soak.ports import reserve_port
from laddergw.lab.soak.terms import CELLS, DEFAULT_TERMS, Terms
from laddergw.lab.soak.viewer_group import ViewerGroup
from laddergw.loop.sockets import SocketLoop

PATIENCE_S = 60.0
SETTLE_MS = 9_000.0  # past the last request: what stood is over, and 8 s for its release
LEAST_TAIL_MS = 2_500.0
LOOK_MS = 250.0  # pace of measuring processes and of closing idle connections

Script = list[tuple[float, Callable[["Trial"], Any]]]


class Trial:
    """See the module.

    `script`: (ms from the first request on, a call that takes the trial); a plan's faults come
    besides.
    """

    def __init__(
        self,
        directors: int,
        nodes: int,
        rate: float,
        seconds: float,
        script: Script,
        seed: int,
        run: str | None = None,
        terms: Terms = DEFAULT_TERMS,
        settings: dict[str, Any] = SETTINGS,
        keep: str | None = None,
        log_level: str = "INFO",
    ):
        self.loop, self.draw, self.records, self.killed, self.stopped_late = (
            SocketLoop(),
            random.Random(seed),
            [],
            set(),
            set(),
        )
        self.over, self.turned, self.worst_lag, self.log_level = False, 0.0, 0.0, log_level
        self.processes: list = []
        self.terms, self.settings, self.number, self.rate, self.seconds, self.script = (
            terms,
            settings,
            directors,
            rate,
            seconds,
            script,
        )
        self.asked, self.conditions, self.ends = 0, Conditions(), 0.0
        self.folder_held = None if keep else tempfile.TemporaryDirectory()
        self.folder = keep or self.folder_held.name
        os.makedirs(self.folder, exist_ok=True)
        self.logs_held = [reserve_port() for _ in range(directors)]
        self.nodes: dict[str, Node] = {}
        self.log = ChangeLog(
            self.loop,
            self.record,
            [held.getsockname()[1] for held in self.logs_held],
            lambda name, director: self.nodes[name].address_for(director),
        )
        self.log.publish(
            *(self.add_node(f"s{n}", n % CELLS, False).list_entry("SERVING") for n in range(nodes)),
            whole=True,
        )
        self.directors = [
            DirectorSupervisor(self, number, run or default_run()) for number in range(directors)
        ]
        self.fronts = [
            ViewerGroup(
                self.loop, self.draw, self.record, self.conditions, place, self.next_session
            )
            for place in self.directors
        ]
        self.loop.on_turn_end(self.turn_ends)

    def turn_ends(self) -> None:
        """What comes now may have lain there since the last turn's end."""
        self.worst_lag = max(self.worst_lag, self.loop.read_clock() - self.loop.now)
        self.turned = self.loop.read_clock()

    def record(self, what: str, **facts: Any) -> None:
        self.records.append(
            (self.loop.now, what, facts | {"lag": max(0.0, self.loop.now - self.turned)})
        )

    def add_node(self, name: str, cell: int, cold: bool) -> Node:
        node = self.nodes[name] = Node(
            self.loop, self.draw, self.record, self.conditions, name, cell, cold, self.number
        )
        return node

    def next_session(self) -> str:
        self.asked += 1
        return f"{self.asked:016x}"

    def arrive(self) -> None:
        """The next request: of a product by its share, at a director that takes requests."""
        if self.loop.now >= self.ends:
            return
        crowded = "crowd" in self.conditions
        self.loop.call_later(
            self.draw.expovariate(self.rate * (3 if crowded else 1) / 1000), self.arrive
        )
        able = [front for front in self.fronts if front.place.accepts_plays or front.place.stopping]
        if able:
            front = able[0] if crowded else self.draw.choice(able)
            front.ask(
                self.draw.choices(
                    self.terms.products, [product.share for product in self.terms.products]
                )[0]
            )
        if "bad_clients" in self.conditions and self.draw.random() < 0.5:
            self.draw.choice(self.fronts).misbehave()

    def look(self) -> None:
        self.loop.call_later(LOOK_MS, self.look)
        for place, front in zip(self.directors, self.fronts, strict=True):
            place.measure()
            front.close_idle()

    def wait(self, done: Callable[[], bool]) -> bool:
        latest = time.monotonic() + PATIENCE_S
        while not done() and time.monotonic() < latest:
            self.loop.turn()
        return done()

    def settled(self) -> bool:
        """Nothing plays and nobody waits, or the time for that is over."""
        if self.loop.now < self.ends + LEAST_TAIL_MS or not all(
            place.accepts_plays for place in self.directors
        ):
            return False
        return self.loop.now >= self.ends + SETTLE_MS or not any(
            front.standing for front in self.fronts
        )

    def run(self) -> list[tuple]:
        """Plays all of it; the records."""
        try:
            self.wait(lambda: all(place.accepts_plays for place in self.directors))
            began, self.ends = self.loop.now, self.loop.now + self.seconds * 1000
            for at, act in self.script:
                self.loop.call_at(began + at, lambda act=act: act(self))
            self.arrive()
            self.look()
            self.wait(self.settled)
            self.over = True
            for place in self.directors:
                if place.process is not None:
                    place.process.send_signal(signal.SIGTERM)
            self.wait(lambda: all(process.poll() is not None for _, process in self.processes))
        finally:
            self.end()
        return self.records

    def end(self) -> None:
        self.over = True
        for name, process in self.processes:
            if process.poll() is None:
                self.record("director ended", director=name, status="never", fine=(0,))
                process.kill()
                process.wait()
        for place in self.directors:
            place.held.close()
            for line in place.troubles():
                self.record("trouble in a log", director=place.name, line=line)
        self.loop.close()
        node_ports = [port for node in self.nodes.values() for port in node.ports]
        for held in [*self.logs_held, *node_ports]:
            held.close()
        if self.folder_held is not None:
            self.folder_held.cleanup()


def trial_of(plan: Plan, terms: Terms, **options: Any) -> Trial:
    """The trial of a plan: its faults become the script."""
    products = (
        tuple(
            product._replace(limit_ms=limit)
            for product, limit in zip(terms.products, plan.limits_ms, strict=False)
        )
        or terms.products
    )
    script = [
        (fault.at_ms, lambda trial, fault=fault: Faults(trial).begin(fault))
        for fault in plan.faults
    ]
    return Trial(
        plan.directors,
        plan.nodes,
        plan.rate,
        plan.seconds,
        script,
        plan.seed,
        terms=terms._replace(products=products),
        **options,
    )

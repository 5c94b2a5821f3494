"""A trial: directors as real processes, their peers in this process, and faults from a plan or a
script; it records what passed between them.

All recorded times are by the clock of this process.
"""

import os
import random
import signal
import tempfile
import time
from collections.abc import Callable
from typing import Any

from laddergw.lab.soak.change_log import ChangeLog
from laddergw.lab.soak.director_supervisor import DirectorSupervisor, default_command
from laddergw.lab.soak.messages import SETTINGS
from laddergw.lab.soak.node_connection import Conditions
from laddergw.lab.soak.nodes import Node
from laddergw.lab.soak.ports import reserve_port
from laddergw.lab.soak.terms import CELLS, DEFAULT_TERMS, Terms
from laddergw.lab.soak.viewer_group import ViewerGroup
from laddergw.loop.sockets import SocketLoop

WAIT_LIMIT_S = 60.0
# The trial ends at most this long after the last request: running plays are over by then, and their
# releases may take 8 s.
MAX_SETTLE_MS = 9_000.0
MIN_SETTLE_MS = 2_500.0
# Interval of sampling the processes' use of resources and of closing idle connections.
SAMPLE_INTERVAL_MS = 250.0

Script = list[tuple[float, Callable[["Trial"], Any]]]


class Trial:
    """Runs directors and their peers, and records what passes between them.

    `script` holds pairs of a time in ms after the first request and a function that takes the
    trial; the faults of a plan are such a script.
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
        self.loop, self.rng, self.records, self.killed, self.stopped_late = (
            SocketLoop(),
            random.Random(seed),
            [],
            set(),
            set(),
        )
        self.is_over, self.turn_ended_at, self.max_lag_ms, self.log_level = (
            False,
            0.0,
            0.0,
            log_level,
        )
        self.processes: list = []
        # Time after the first request until which the trial goes on in any case, ms.
        self.judged_until_ms = 0.0
        self.terms, self.settings, self.director_count, self.rate, self.seconds, self.script = (
            terms,
            settings,
            directors,
            rate,
            seconds,
            script,
        )
        self.request_count, self.conditions, self.load_ends_at = 0, Conditions(), 0.0
        self.temporary_folder = None if keep else tempfile.TemporaryDirectory()
        self.folder = keep or self.temporary_folder.name
        os.makedirs(self.folder, exist_ok=True)
        self.log_ports = [reserve_port() for _ in range(directors)]
        self.nodes: dict[str, Node] = {}
        self.log = ChangeLog(
            self.loop,
            self.record,
            [port.getsockname()[1] for port in self.log_ports],
            lambda name, director: self.nodes[name].address_for(director),
        )
        self.log.publish(
            *(self.add_node(f"s{n}", n % CELLS, False).list_entry("SERVING") for n in range(nodes)),
            whole=True,
        )
        self.directors = [
            DirectorSupervisor(self, number, run or default_command())
            for number in range(directors)
        ]
        self.viewer_groups = [
            ViewerGroup(
                self.loop, self.rng, self.record, self.conditions, director, self.next_session
            )
            for director in self.directors
        ]
        self.loop.on_turn_end(self.finish_turn)

    def finish_turn(self) -> None:
        """Notes the end of a turn: data read in the next turn may have waited since then."""
        self.max_lag_ms = max(self.max_lag_ms, self.loop.read_clock() - self.loop.now)
        self.turn_ended_at = self.loop.read_clock()

    def record(self, event: str, **fields: Any) -> None:
        """Records an event with its fields and this process's present lag in ms."""
        self.records.append(
            (self.loop.now, event, fields | {"lag": max(0.0, self.loop.now - self.turn_ended_at)})
        )

    def add_node(self, name: str, cell: int, cold: bool) -> Node:
        """Creates a media node; its process starts cold or warm."""
        node = self.nodes[name] = Node(
            self.loop,
            self.rng,
            self.record,
            self.conditions,
            name,
            cell,
            cold,
            self.director_count,
        )
        return node

    def next_session(self) -> str:
        """Returns a new session id."""
        self.request_count += 1
        return f"{self.request_count:016x}"

    def send_next_request(self) -> None:
        """Sends the next request, of a product drawn by its share, to an available director."""
        if self.loop.now >= self.load_ends_at:
            return
        is_crowded = "crowd" in self.conditions
        self.loop.call_later(
            self.rng.expovariate(self.rate * (3 if is_crowded else 1) / 1000),
            self.send_next_request,
        )
        available = [
            group
            for group in self.viewer_groups
            if group.director.accepts_plays or group.director.is_stopping
        ]
        if available:
            group = available[0] if is_crowded else self.rng.choice(available)
            group.request_play(
                self.rng.choices(
                    self.terms.products, [product.share for product in self.terms.products]
                )[0]
            )
        if "bad_clients" in self.conditions and self.rng.random() < 0.5:
            self.rng.choice(self.viewer_groups).send_garbage()

    def sample(self) -> None:
        """Samples the directors' use of resources and closes idle connections, periodically."""
        self.loop.call_later(SAMPLE_INTERVAL_MS, self.sample)
        for director, group in zip(self.directors, self.viewer_groups, strict=True):
            director.record_usage()
            group.close_idle()

    def run_until(self, done: Callable[[], bool]) -> bool:
        """Runs the loop until a condition holds or the wait limit is over; returns if it holds."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while not done() and time.monotonic() < deadline:
            self.loop.turn()
        return done()

    def is_settled(self) -> bool:
        """Returns whether no play runs any more, or the time to wait for that is over."""
        load_began_at = self.load_ends_at - self.seconds * 1000
        if self.loop.now < load_began_at + self.judged_until_ms:
            return False
        if self.loop.now < self.load_ends_at + MIN_SETTLE_MS or not all(
            director.accepts_plays for director in self.directors
        ):
            return False
        return self.loop.now >= self.load_ends_at + MAX_SETTLE_MS or not any(
            group.playing for group in self.viewer_groups
        )

    def run(self) -> list[tuple]:
        """Runs the whole trial and returns the records."""
        try:
            self.run_until(lambda: all(director.accepts_plays for director in self.directors))
            began_at, self.load_ends_at = self.loop.now, self.loop.now + self.seconds * 1000
            for at, act in self.script:
                self.loop.call_at(began_at + at, lambda act=act: act(self))
            self.send_next_request()
            self.sample()
            self.run_until(self.is_settled)
            self.is_over = True
            for director in self.directors:
                if director.process is not None:
                    self.record("director told to stop", director=director.name)
                    director.process.send_signal(signal.SIGTERM)
            self.run_until(lambda: all(process.poll() is not None for _, process in self.processes))
        finally:
            self.clean_up()
        return self.records

    def clean_up(self) -> None:
        """Ends all processes, records what their logs report, and frees ports and files."""
        self.is_over = True
        for name, process in self.processes:
            if process.poll() is None:
                self.record("director ended", director=name, status="never", fine=(0,))
                process.kill()
                process.wait()
        for director in self.directors:
            director.reserved_port.close()
            for line in director.list_logged_faults():
                self.record("trouble in a log", director=director.name, line=line)
        self.loop.close()
        node_ports = [port for node in self.nodes.values() for port in node.ports]
        for reserved in [*self.log_ports, *node_ports]:
            reserved.close()
        if self.temporary_folder is not None:
            self.temporary_folder.cleanup()

"""The planner as it runs: takes digests from edges, keeps what must survive, and sends plans. What it decides lies in modules without I/O beside it.

Everything slow is background work in steps (work/scheduler.py). A standby is the same program that has not taken an epoch: it hears the leader's plans as an edge does.
"""
import time
from typing import Callable, Generator

import msgspec

from laddergw.loop.tls import common_name, wrap_accept
from laddergw.planner import plan as plans, wire
from laddergw.planner.auditing import Auditor
from laddergw.planner.digests import Digest, View
from laddergw.planner.forecast import Forecast
from laddergw.planner.leader_client import LeaderClient
from laddergw.planner.peer import Peer
from laddergw.planner.rollouts import LOOK_MS
from laddergw.planner.plan import Keys, Plan
from laddergw.planner.sketch import Hot, Sketch
from laddergw.planner.standby import LEADS, Standby
from laddergw.store.planner_store import FencedError, Store, StoreError
from laddergw.work.scheduler import IDLE, NORMAL, URGENT, Scheduler

PLAN_MS = 400.0            # between plans
KEEP_MS = 1_000.0          # between records of the history
SNAPSHOT_EACH = 60         # records
AGE_MS, AGE_PART = 10_000.0, 0.8       # hot titles: what was asked for a minute ago counts a quarter
FORGET_MS = 30_000.0       # an edge's process silent for so long is gone
HOT_MOST = 32
TURN_MS = 20.0             # pace of background turns while work waits


class Kept(msgspec.Struct):
    """What survives a planner: counts, forecasts' levels and hot titles."""
    arrivals: dict[str, int]
    hot: list[tuple[int, float, float]]
    version: int


def nothing(what: str, **facts) -> None:
    """Told of each event, where nobody watches."""


class Planner:
    """See the module. `leads`: it plans from its start on; else it stands by for the leaders at `others`."""

    def __init__(self, loop, name: str, address: tuple[str, int], store: Store | None, keys: Keys, leads: bool = True, others: tuple = (), seed: int = 1,
                 tls=None, watch: Callable = nothing, client_tls: Callable | None = None, clock: Callable[[], float] = lambda: time.perf_counter() * 1000):
        self.loop, self.name, self.store, self.keys, self.tls, self.watch = loop, name, store, keys, tls, watch
        self.client_tls = client_tls           # makes the context of a line to another planner
        self.store_path: str | None = None     # of a standby: opened when it takes over, until then the store is the leader's
        self.view, self.hot, self.forecasts = View(), Sketch(), {}
        self.version = self.records = 0
        self.past: dict[str, int] = {}
        self.standby = Standby(seed, store.epoch if store is not None else 1, loop.now, leads)
        self.auditor = Auditor(loop, self.guarded)
        if store is not None:
            self.recover()
        self.peers: dict[Peer, None] = {}
        self.bases: dict[str, Digest] = {}
        self.lie: Callable[[Plan], Plan] | None = None       # for rehearsals: a planner gone wrong
        self.work = Scheduler(clock, on_failure=lambda job, error: watch("work failed", job=job, error=str(error)), on_long_step=lambda job, ms: watch("long step", job=job, ms=ms))
        self.listener = loop.listen(address, wrap_accept(self.accept, tls))
        self.address = self.listener.address
        self.links = [LeaderClient(self, other) for other in others]
        for ms, call in (PLAN_MS, self.plan_due), (KEEP_MS, self.keep_due), (AGE_MS, self.age_due), (TURN_MS, self.turn), (LOOK_MS, lambda: self.auditor.rollouts.look(self.peers)):
            self.every(ms, call)

    def every(self, ms: float, call: Callable[[], None]) -> None:
        def again() -> None:
            if self.loop.running:
                call()
                self.loop.call_later(ms, again)
        self.loop.call_later(ms, again)

    def turn(self) -> None:
        if self.work.pending_count:
            self.work.run_turn()

    # What survives

    def recover(self) -> None:
        found = self.store.recover()
        for fault in found.faults:
            self.watch("store fault", fault=fault)
        if found.faults:
            self.store.truncate_after(found.number)
        for data in ([found.state] if found.state else []) + found.records:
            try:
                kept = msgspec.msgpack.decode(data, type=Kept)
            except msgspec.MsgspecError as error:
                self.watch("store fault", fault=str(error))
                continue
            self.past, self.version = kept.arrivals, max(self.version, kept.version)
            self.hot = Sketch()
            self.hot.merge(Hot(*hot) for hot in kept.hot)
        self.view.past = dict(self.past)
        self.guarded(lambda: self.auditor.load_journal(self.store))
        self.watch("recovered", records=len(found.records), snapshot=found.state is not None, epoch=self.store.epoch)

    def keep_due(self) -> None:
        if self.store is not None and self.standby.state == LEADS:
            self.work.add("keep", self.keep(), NORMAL)
            self.work.add("audit", self.auditor.write_journal(self.peers), NORMAL)

    def keep(self) -> Generator[None, None, None]:
        """One record of the history; each SNAPSHOT_EACH of them a snapshot."""
        kept = Kept(self.view.arrivals(), [tuple(hot) for hot in self.hot.top(4 * HOT_MOST)], self.version)
        yield
        data = msgspec.msgpack.encode(kept)
        yield
        self.guarded(lambda: self.store.append([data]))
        self.records += 1
        if self.records % SNAPSHOT_EACH == 0:
            yield
            self.guarded(lambda: self.store.snapshot(data))

    def guarded(self, write: Callable[[], None]) -> bool:
        """A write that fails costs what it would have kept, no plan; where another planner has the store, this one stands by."""
        try:
            write()
            return True
        except FencedError as error:
            self.standby.fenced(self.loop.now)
            self.watch("fenced", error=str(error))
        except StoreError as error:
            self.watch("store fault", fault=str(error))
        return False

    # Edges

    def hello(self) -> wire.Hello:
        return wire.Hello(wire.VERSION, self.name, wire.PLANNER, self.standby.epoch)

    def accept(self, stream) -> Peer:
        peer = Peer(self.loop, self.hello(), self.told, self.peer_up, self.peer_down)
        self.peers[peer] = None
        return peer

    def peer_up(self, peer: Peer) -> None:
        certified = common_name(getattr(peer.stream, "peer", None)) if self.tls is not None else peer.remote.name
        if certified and not peer.remote.name.startswith(certified):
            return peer.close(f"{peer.remote.name} shows the certificate of {certified}")
        self.watch("peer up", peer=peer.remote.name, role=peer.remote.role)
        return None

    def peer_down(self, peer: Peer, why: str) -> None:
        self.peers.pop(peer, None)
        if peer.remote is not None:
            self.bases.pop(peer.remote.name, None)
        self.watch("peer down", peer=peer.remote.name if peer.remote else "", why=why)

    def told(self, peer: Peer, frame: wire.Frame) -> None:
        if isinstance(frame, wire.Ask) and peer.remote.role == wire.OPERATOR:
            return peer.send(wire.Answer(self.auditor.answer_question(frame)))
        if isinstance(frame, wire.Fetch) and peer.remote.role == wire.EDGE:
            return self.auditor.rollouts.send_piece(peer, frame)
        if not isinstance(frame, wire.DigestFrame) or peer.remote.role != wire.EDGE:
            return peer.close("only edges tell digests, and operators ask")
        edge = peer.remote.name
        self.auditor.told(peer, frame)          # first: it needs no base, and is told once on a connection
        digest = wire.to_digest(edge, frame, self.bases.get(edge))
        if digest is None:
            return peer.send(wire.Again(frame.number))
        self.bases[edge] = digest
        if self.view.merge(digest, self.loop.now):
            for hot in digest.hot:
                self.hot.add(hot.title, hot.count)
        self.standby.knows(min(frame.seen, self.standby.highest + plans.AHEAD_MOST))
        if frame.obeys:
            self.standby.heard(frame.obeys, self.loop.now, frame.age_ms)
        return None

    # Plans

    def plan_due(self) -> None:
        step = self.standby.look(self.loop.now)
        if step.take:
            self.take(step.take)
        if self.standby.state == LEADS:
            self.work.add("plan", self.plan(), URGENT)
            self.work.run_turn()

    def take(self, epoch: int) -> None:
        """The next epoch, from the store where there is one."""
        if self.store is None and self.store_path is not None and not self.guarded(self.open_store):
            return self.standby.fenced(self.loop.now)
        if self.store is not None and not (self.guarded(lambda: self.store.take_epoch(epoch)) and self.guarded(lambda: self.auditor.load_journal(self.store))):
            return self.standby.fenced(self.loop.now)
        self.standby.took(self.store.epoch if self.store is not None else epoch)
        self.watch("leads", epoch=self.standby.epoch)
        return None

    def open_store(self) -> None:
        self.store = Store(self.store_path)
        self.recover()

    def plan(self) -> Generator[None, None, None]:
        now = self.loop.now
        self.view.forget(now, FORGET_MS)
        rates = {}
        for product, count in self.view.arrivals().items():
            forecast = self.forecasts.setdefault(product, Forecast())
            forecast.saw(count, now)
            rates[product] = forecast.ahead(PLAN_MS).a_second
        yield
        self.version += 1
        plan = Plan(self.standby.epoch, self.name, self.version, plans.LEASE_MS, self.view.asked(now), self.view.numbers(now), rates,
                    tuple(self.hot.top(HOT_MOST)), self.view.drained(now))
        if self.lie is not None:
            plan = self.lie(plan)
        yield
        sealed = plans.seal(plan, self.keys)
        for peer in list(self.peers):
            if peer.remote is not None:
                peer.plan(sealed)
        self.watch("plan", epoch=plan.epoch, version=plan.version, nodes=len(plan.nodes), edges=len(plan.numbers))

    def heard_plan(self, sealed: bytes) -> None:
        """A standby, or a leader that hears of another: whose epoch is higher."""
        try:
            plan = plans.unseal(sealed, self.keys)
        except plans.PlanRejected as error:
            self.watch("plan refused", error=str(error))
            return
        if plan.planner != self.name:
            self.standby.heard(plan.epoch, self.loop.now)

    def age_due(self) -> None:
        def age() -> Generator[None, None, None]:
            self.hot.age(AGE_PART)
            yield
        self.work.add("age", age(), IDLE)

    def stop(self) -> None:
        self.listener.close()
        for peer in list(self.peers):
            peer.close("the planner stops")
        if self.store is not None and self.standby.state == LEADS:
            for step in self.keep(), self.auditor.write_journal(self.peers):
                for _ in step:
                    pass
        if self.store is not None:
            self.store.close()
        self.loop.stop()

"""The running planner: receives digests from edges, stores what must survive a restart, and sends plans. Its decisions are made in modules without I/O beside it.

Everything slow is background work in steps (work/scheduler.py). A standby is the same program without an epoch of its own: it receives the leader's plans as an edge does."""
import time
from typing import Callable, Generator

import msgspec
from laddergw.loop.tls import common_name, wrap_accept
from laddergw.planner import plan as plans, wire
from laddergw.planner.auditing import Auditor
from laddergw.planner.digests import Digest, FleetView
from laddergw.planner.forecast import Forecast
from laddergw.planner.leader_client import LeaderClient
from laddergw.planner.peer import Peer
from laddergw.planner.rollouts import REVIEW_INTERVAL_MS
from laddergw.planner.plan import Keys, Plan
from laddergw.planner.sketch import HotTitle, Sketch
from laddergw.planner.standby import LEADS, Standby
from laddergw.store.planner_store import FencedError, Store, StoreError
from laddergw.work.scheduler import IDLE, NORMAL, URGENT, Scheduler

PLAN_INTERVAL_MS = 400.0
HISTORY_INTERVAL_MS = 1_000.0 # between records of the history
RECORDS_PER_SNAPSHOT = 60
AGING_INTERVAL_MS, AGING_FACTOR = 10_000.0, 0.8 # of hot titles: a request of a minute ago counts a quarter
EDGE_EXPIRY_MS = 30_000.0  # an edge process silent for this long is taken to have ended
PLAN_HOT_TITLES = 32       # titles in a plan
WORK_INTERVAL_MS = 20.0    # between turns of background work


class Kept(msgspec.Struct):
    """A stored record of the planner's state: arrival counts, hot titles, and the version of the last plan."""
    arrivals: dict[str, int]
    hot: list[tuple[int, float, float]]
    version: int


def ignore_event(what: str, **facts) -> None:
    """Default observer of the planner's events."""


class Planner:
    """One planner. `leads`: it leads from its start; otherwise it stands by for the planners at `others`. `watch(event, **facts)` observes its events."""

    def __init__(self, loop, name: str, address: tuple[str, int], store: Store | None, keys: Keys, leads: bool = True, others: tuple = (), seed: int = 1,
                 tls=None, watch: Callable = ignore_event, client_tls: Callable | None = None, clock: Callable[[], float] = lambda: time.perf_counter() * 1000):
        self.loop, self.name, self.store, self.keys, self.tls, self.watch = loop, name, store, keys, tls, watch
        self.client_tls = client_tls           # makes the TLS context of a connection to another planner
        self.store_path: str | None = None     # of a standby: opened when it takes over, until then the leader owns the store
        self.view, self.hot_titles, self.forecasts = FleetView(), Sketch(), {}
        self.version = self.records = 0
        self.past_arrivals: dict[str, int] = {}
        self.standby = Standby(seed, store.epoch if store is not None else 1, loop.now, leads)
        self.auditor = Auditor(loop, self.try_write)
        if store is not None:
            self.recover()
        self.peers: dict[Peer, None] = {}
        self.bases: dict[str, Digest] = {}
        self.plan_override: Callable[[Plan], Plan] | None = None # changes each plan; in rehearsals, to simulate a faulty planner
        self.work = Scheduler(clock, on_failure=lambda job, error: watch("work failed", job=job, error=str(error)), on_long_step=lambda job, ms: watch("long step", job=job, ms=ms))
        self.listener = loop.listen(address, wrap_accept(self.accept, tls))
        self.address = self.listener.address
        self.leader_clients = [LeaderClient(self, other) for other in others]
        for ms, call in (PLAN_INTERVAL_MS, self.plan_due), (HISTORY_INTERVAL_MS, self.history_due), (AGING_INTERVAL_MS, self.aging_due), (WORK_INTERVAL_MS, self.run_background_work), (REVIEW_INTERVAL_MS, lambda: self.auditor.rollouts.review(self.peers)):
            self.repeat_every(ms, call)

    def repeat_every(self, ms: float, call: Callable[[], None]) -> None:
        """Calls `call` periodically while the loop runs."""
        def run() -> None:
            if self.loop.running:
                call()
                self.loop.call_later(ms, run)
        self.loop.call_later(ms, run)

    def run_background_work(self) -> None:
        """Runs one turn of the background work, if any is pending."""
        if self.work.pending_count:
            self.work.run_turn()

    def recover(self) -> None:
        """Restores the state and the journal from the store; reports faults and cuts the records after the last good one."""
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
            self.past_arrivals, self.version = kept.arrivals, max(self.version, kept.version)
            self.hot_titles = Sketch()
            self.hot_titles.merge(HotTitle(*hot) for hot in kept.hot)
        self.view.past_arrivals = dict(self.past_arrivals)
        self.try_write(lambda: self.auditor.load_journal(self.store))
        self.watch("recovered", records=len(found.records), snapshot=found.state is not None, epoch=self.store.epoch)

    def history_due(self) -> None:
        """Schedules the writing of the history and the audit journal, on the leader."""
        if self.store is not None and self.standby.state == LEADS:
            self.work.add("keep", self.write_history(), NORMAL)
            self.work.add("audit", self.auditor.write_journal(self.peers), NORMAL)

    def write_history(self) -> Generator[None, None, None]:
        """Writes one record of the history, and a snapshot after every RECORDS_PER_SNAPSHOT records."""
        kept = Kept(self.view.arrivals(), [tuple(hot) for hot in self.hot_titles.top(4 * PLAN_HOT_TITLES)], self.version)
        yield
        data = msgspec.msgpack.encode(kept)
        yield
        self.try_write(lambda: self.store.append([data]))
        self.records += 1
        if self.records % RECORDS_PER_SNAPSHOT == 0:
            yield
            self.try_write(lambda: self.store.snapshot(data))

    def try_write(self, write: Callable[[], None]) -> bool:
        """Calls a write to the store; False if it failed. A failed write loses its data but stops no plan; if another planner has taken the store, this one stands by."""
        try:
            write()
            return True
        except FencedError as error:
            self.standby.fenced(self.loop.now)
            self.watch("fenced", error=str(error))
        except StoreError as error:
            self.watch("store fault", fault=str(error))
        return False

    def hello(self) -> wire.Hello:
        return wire.Hello(wire.VERSION, self.name, wire.PLANNER, self.standby.epoch)

    def accept(self, stream) -> Peer:
        """Makes the owner of a new connection."""
        peer = Peer(self.loop, self.hello(), self.frame_received, self.peer_up, self.peer_down)
        self.peers[peer] = None
        return peer

    def peer_up(self, peer: Peer) -> None:
        """Closes a connection whose name does not match its certificate."""
        certified = common_name(getattr(peer.stream, "peer", None)) if self.tls is not None else peer.remote.name
        if certified and not peer.remote.name.startswith(certified):
            return peer.close(f"{peer.remote.name} presents the certificate of {certified}")
        self.watch("peer up", peer=peer.remote.name, role=peer.remote.role)
        return None

    def peer_down(self, peer: Peer, why: str) -> None:
        """Forgets a closed connection and the base of its deltas."""
        self.peers.pop(peer, None)
        if peer.remote is not None:
            self.bases.pop(peer.remote.name, None)
        self.watch("peer down", peer=peer.remote.name if peer.remote else "", why=why)

    def frame_received(self, peer: Peer, frame: wire.Frame) -> None:
        """Answers operators, serves fetches and processes digests; any other frame closes the connection."""
        if isinstance(frame, wire.Ask) and peer.remote.role == wire.OPERATOR:
            return peer.send(wire.Answer(self.auditor.answer_question(frame)))
        if isinstance(frame, wire.Fetch) and peer.remote.role == wire.EDGE:
            return self.auditor.rollouts.send_piece(peer, frame)
        if not isinstance(frame, wire.DigestFrame) or peer.remote.role != wire.EDGE:
            return peer.close("only edges may send digests, and only operators questions")
        edge = peer.remote.name
        self.auditor.digest_received(peer, frame) # first, since the audit part needs no base and is sent only once on a connection
        digest = wire.to_digest(edge, frame, self.bases.get(edge))
        if digest is None:
            return peer.send(wire.Again(frame.number))
        self.bases[edge] = digest
        if self.view.merge(digest, self.loop.now):
            for hot in digest.hot:
                self.hot_titles.add(hot.title, hot.count)
        self.standby.epoch_seen(min(frame.seen, self.standby.highest + plans.MAX_EPOCH_JUMP))
        if frame.obeys:
            self.standby.plan_seen(frame.obeys, self.loop.now, frame.age_ms)
        return None

    def plan_due(self) -> None:
        """Takes over if it is time to, and makes a plan on the leader."""
        step = self.standby.review(self.loop.now)
        if step.take:
            self.take_epoch(step.take)
        if self.standby.state == LEADS:
            self.work.add("plan", self.make_plan(), URGENT)
            self.work.run_turn()

    def take_epoch(self, epoch: int) -> None:
        """Takes an epoch of at least this number, from the store if there is one, and leads; stands by if the store fails."""
        if self.store is None and self.store_path is not None and not self.try_write(self.open_store):
            return self.standby.fenced(self.loop.now)
        if self.store is not None and not (self.try_write(lambda: self.store.take_epoch(epoch)) and self.try_write(lambda: self.auditor.load_journal(self.store))):
            return self.standby.fenced(self.loop.now)
        self.standby.epoch_taken(self.store.epoch if self.store is not None else epoch)
        self.watch("leads", epoch=self.standby.epoch)
        return None

    def open_store(self) -> None:
        """Opens a standby's store and recovers from it."""
        self.store = Store(self.store_path)
        self.recover()

    def make_plan(self) -> Generator[None, None, None]:
        """Makes a plan from the current view and sends it to all peers."""
        now = self.loop.now
        self.view.drop_silent(now, EDGE_EXPIRY_MS)
        rates = {}
        for product, count in self.view.arrivals().items():
            forecast = self.forecasts.setdefault(product, Forecast())
            forecast.observe(count, now)
            rates[product] = forecast.predict(PLAN_INTERVAL_MS).per_second
        yield
        self.version += 1
        plan = Plan(self.standby.epoch, self.name, self.version, plans.LEASE_MS, self.view.node_loads(now), self.view.digest_numbers(now), rates,
                    tuple(self.hot_titles.top(PLAN_HOT_TITLES)), self.view.draining_nodes(now))
        if self.plan_override is not None:
            plan = self.plan_override(plan)
        yield
        sealed = plans.seal(plan, self.keys)
        for peer in list(self.peers):
            if peer.remote is not None:
                peer.send_plan(sealed)
        self.watch("plan", epoch=plan.epoch, version=plan.version, nodes=len(plan.nodes), edges=len(plan.numbers))

    def plan_received(self, sealed: bytes) -> None:
        """Notes the epoch of another planner's plan, as a standby or as a leader that may have been replaced."""
        try:
            plan = plans.unseal(sealed, self.keys)
        except plans.PlanRejected as error:
            self.watch("plan refused", error=str(error))
            return
        if plan.planner != self.name:
            self.standby.plan_seen(plan.epoch, self.loop.now)

    def aging_due(self) -> None:
        """Schedules the ageing of the hot titles."""
        def age() -> Generator[None, None, None]:
            self.hot_titles.age(AGING_FACTOR)
            yield
        self.work.add("age", age(), IDLE)

    def stop(self) -> None:
        """Closes all connections, writes what the leader has not yet stored, and stops the loop."""
        self.listener.close()
        for peer in list(self.peers):
            peer.close("the planner stops")
        if self.store is not None and self.standby.state == LEADS:
            for step in self.write_history(), self.auditor.write_journal(self.peers):
                for _ in step:
                    pass
        if self.store is not None:
            self.store.close()
        self.loop.stop()

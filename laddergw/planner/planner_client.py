"""A director's client of its planners: sends digests, follows plans, and gives the controller the load that other edges put on each link. Its decisions are made in plan.py and trust.py.

No play waits for anything here: without a planner, or with a late or wrong one, the director decides from its own information alone.
"""
from typing import Callable

from laddergw import interface
from laddergw.director.director import Director
from laddergw.director import frames
from laddergw.director.attempts import Attempt
from laddergw.http.server import Exchange
from laddergw.loop.tls import TlsStream
from laddergw.planner import plan as plans, wire
from laddergw.planner.audit_client import AuditClient
from laddergw.planner.digests import MAX_HOT_TITLES, Digest
from laddergw.planner.peer import Peer
from laddergw.planner.plan import Keys, FollowedPlan, SentDigests
from laddergw.planner.sketch import Sketch
from laddergw.fleet.fleet_log import DIGEST_MS
from laddergw.fleet.file_transfer import Offer
from laddergw.fleet.grants import GrantHolder
from laddergw.fleet.state_reports import ReportedState
from laddergw.planner.trust import Trust
from laddergw.terms.generations import fleet_budget_windows

DIGESTS_PER_COMPLETE = 40  # one complete digest every ten seconds, whatever was sent before
REDIAL_MS, CONNECT_TIMEOUT_MS = 500.0, 1_000.0


class PlannerClient:
    """Client of the planners at the given addresses: digests go to all of them, the plan of the highest epoch is followed."""

    def __init__(self, director: Director, planners: tuple, keys: Keys | None = None, tls: Callable | None = None):
        """`keys`: the planners' signing keys; by default the director's own, which may be reloaded. `tls`: makes the TLS context of a connection."""
        self.director, self.loop, self.own_keys, self.tls = director, director.loop, keys, tls
        self.followed, self.sent_digests, self.trust = FollowedPlan(), SentDigests(), Trust()
        self.digest_number = self.plans_used = self.plans_rejected = 0
        self.arrivals: dict[str, int] = {}
        self.failures: dict[int, int] = {}
        self.hot_titles = Sketch()
        self.connections = [PlannerConnection(self, tuple(address)) for address in planners]
        director.observer = self
        self.audit = AuditClient(self)
        self.grant_holder = GrantHolder(director.director_file.issuer) if director.director_file.issuer else None
        if self.grant_holder is not None:
            self.grant_holder.configure(fleet_budget_windows(director.limits))
            director.budgets.fleet_grants, self.next_watch, director.watch = self.grant_holder, director.watch, self.watch
            if director.tap is not None:
                self.grant_holder.on_draw = lambda name, now: director.tap("budget drawn", now, {"budget": name})
        self.loop.call_later(DIGEST_MS, self.send_periodically)

    @property
    def keys(self) -> Keys:
        """Keys with which plans may be signed."""
        return self.director.director_file.keys if self.own_keys is None else self.own_keys

    # Callbacks of the director

    def admitted(self, attempt: Attempt) -> None:
        """Counts an admitted play."""
        request = attempt.request
        self.audit.play_admitted(attempt)
        self.arrivals[request.product] = self.arrivals.get(request.product, 0) + 1
        self.hot_titles.add(request.title)

    def ended(self, node: int, outcome: str) -> None:
        """Counts an allocation that a node failed."""
        if outcome in (interface.ERROR, interface.TIMED_OUT, interface.UNREACHABLE, interface.BROKEN):
            self.failures[node] = self.failures.get(node, 0) + 1

    def node_load_reported(self, node: int, demand: float) -> None:
        """A node reported the load requested of its link, as a share of the link: it is compared with the plan in force."""
        plan, entry = self.followed.current(self.loop.now), self.director.fleet.entries.get(node)
        if plan is not None and entry is not None and node in plan.nodes:
            self.trust.compare(demand * entry.weight * self.director.director_file.deployment.link_unit, plan.nodes[node][0])

    def watch(self, event: str, **facts) -> None:
        """Updates the fleet budgets when limits change, then passes the event on."""
        if event == "limits changed":
            self.grant_holder.configure(fleet_budget_windows(self.director.limits))
        self.next_watch(event, **facts)

    # Digests

    def digest(self) -> Digest:
        """The next digest of this edge."""
        director, self.digest_number = self.director, self.digest_number + 1
        nodes = {}
        for node, attempts in director.attempts_by_node.items():
            if attempts:
                nodes[node] = sum(director.rate(attempt) for attempt in attempts.values()), len(attempts)
        drains = tuple(sorted(node for node, entry in director.fleet.entries.items() if entry.state != interface.READY))
        return Digest(director.name, self.digest_number, self.loop.now, nodes, dict(self.arrivals), tuple(self.hot_titles.top(MAX_HOT_TITLES)), dict(self.failures), drains)

    def send_periodically(self) -> None:
        """Sends a digest every DIGEST_MS while the loop runs."""
        if self.loop.running:
            self.send_digest()
            self.loop.call_later(DIGEST_MS, self.send_periodically)

    def send_digest(self) -> None:
        """Sends one digest to all planners."""
        digest = self.digest()
        self.hot_titles = Sketch()               # each request is reported once, the planner adds them up
        self.sent_digests.record(digest.number, digest.nodes)
        self.audit.right_requested(digest.number)
        budgets = self.grant_holder.build_rows(digest.number, self.loop.now, self.director.stopping) if self.grant_holder is not None else ()
        for connection in self.connections:
            connection.send_digest(digest, budgets)

    # Plans

    def receive_plan(self, sealed: bytes) -> None:
        """Checks a plan, and applies it if it is followed from now on."""
        try:
            plan = plans.unseal(sealed, self.keys)
        except plans.PlanRejected as error:
            self.plans_rejected += 1
            self.director.watch("plan refused", error=str(error))
            return
        if self.followed.offer(plan, self.loop.now):
            self.audit.plan_followed(plan.epoch, plan.planner)
            self.apply_plan(plan)

    def apply_plan(self, plan: plans.Plan) -> None:
        """Gives the other edges' load to the controller, for nodes that are ready according to this director's own fleet list."""
        director, entries = self.director, self.director.fleet.entries
        if not self.trust.believed:
            return
        leave_out = frozenset(node for node in plan.nodes if node not in entries or entries[node].state != interface.READY)
        loads = self.sent_digests.load_of_others(plan, director.name, leave_out)
        if loads is None:
            return
        self.plans_used += 1
        for node, kb in loads.items():
            director.feed(director.controller.observe_load, self.loop.now, node, kb)

    def page(self, exchange: Exchange) -> None:
        """Answers operators with the plan that is followed and the state of the connections."""
        plan = self.followed.current(self.loop.now)
        exchange.answer(200, frames.encode({
            "obeys": None if plan is None else {"epoch": plan.epoch, "planner": plan.planner, "version": plan.version, "age_ms": self.loop.now - self.followed.received_ms},
            "believed": self.trust.believed, "used": self.plans_used, "refused": self.plans_rejected, "stale": self.followed.stale,
            "lines": [{"address": list(connection.address), "up": connection.peer is not None and connection.peer.remote is not None} for connection in self.connections]}))


class PlannerConnection:
    """The connection to one planner, opened again whenever it is closed."""

    def __init__(self, client: PlannerClient, address: tuple[str, int]):
        self.client, self.address, self.base = client, address, None
        self.peer: Peer | None = None
        self.connect()

    def connect(self) -> None:
        """Opens a new connection; the first digest on it is complete."""
        client = self.client
        hello = wire.Hello(wire.VERSION, client.director.name, wire.EDGE, client.followed.highest_rank[0])
        self.base, self.reported = None, ReportedState()
        self.peer = Peer(client.loop, hello, self.frame_received, lambda peer: None, self.connection_closed)
        owner = self.peer if client.tls is None else TlsStream(self.peer, client.tls(), False, self.address[0])
        client.loop.dial(self.address, owner, CONNECT_TIMEOUT_MS)

    def send_digest(self, digest: Digest, budgets: tuple = ()) -> None:
        """Sends a digest, complete or as a delta; nothing while the connection is not open."""
        if self.peer is None or self.peer.remote is None:
            return
        base = None if digest.number % DIGESTS_PER_COMPLETE == 0 else self.base
        followed, plan = self.client.followed, self.client.followed.plan
        age = self.client.loop.now - followed.received_ms if plan is not None else 0.0
        self.peer.send(wire.to_frame(digest, base, 0 if plan is None else plan.epoch, age, followed.highest_rank[0], self.client.audit.report(self.reported), budgets))
        self.base = wire.DeltaBase(digest.number, digest.nodes)

    def frame_received(self, peer: Peer, frame: wire.Frame) -> None:
        """Passes a planner's frame to the part that it concerns."""
        if isinstance(frame, wire.PlanFrame):
            peer.send(wire.Credit(1))
            self.client.receive_plan(frame.sealed)
        elif isinstance(frame, wire.Again):
            self.base = None
        elif isinstance(frame, wire.Kept):
            self.client.audit.action_counts.acknowledge(frame.turn)
        elif isinstance(frame, wire.Granted) and self.client.grant_holder is not None:
            self.client.grant_holder.apply_grants(frame.number, frame.epoch, frame.issuer, frame.grants, self.client.loop.now)
        elif isinstance(frame, wire.Offer):
            self.client.audit.offer_received(peer, Offer(*(getattr(frame, name) for name in Offer._fields)))
        elif isinstance(frame, wire.Piece):
            self.client.audit.piece_received(peer, frame.number, frame.offset, frame.data)
        elif isinstance(frame, wire.Right) and self.client.audit.right is not None:
            self.client.audit.right.apply_grant(frame.number, frame.epoch, frame.lease_ms, frame.forbidden)

    def connection_closed(self, peer: Peer, why: str) -> None:
        """Connects again after a pause; reports the loss of the last open connection to the audit."""
        self.peer = None
        if not any(connection.peer is not None and connection.peer.remote is not None for connection in self.client.connections):
            self.client.audit.planners_unreachable()
        if self.client.loop.running:
            self.client.director.watch("planner line down", why=why)
            self.client.loop.call_later(REDIAL_MS, self.connect)

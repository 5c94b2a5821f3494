"""A director's side of the planner: tells digests, obeys plans, and gives the module what others ask of each link. Carries; decisions lie beside it.

Nothing here is on a play's way: with no planner, a late one or a wrong one, the director decides as it did before there was one.
"""
from typing import Callable

from laddergw import interface as face
from laddergw.director.director import Director
from laddergw.director import frames
from laddergw.director.attempts import Attempt
from laddergw.http.server import Exchange
from laddergw.loop.tls import TlsStream
from laddergw.planner import plan as plans, wire
from laddergw.planner.audit_client import AuditClient
from laddergw.planner.digests import HOT_TOLD, Digest
from laddergw.planner.peer import Peer
from laddergw.planner.plan import Keys, FollowedPlan, SentDigests
from laddergw.planner.sketch import Sketch
from laddergw.fleet.fleet_log import DIGEST_MS
from laddergw.fleet.file_transfer import Offer
from laddergw.fleet.grants import GrantHolder
from laddergw.fleet.state_reports import ReportedState
from laddergw.planner.trust import Trust
from laddergw.terms.generations import fleet_budget_windows

WHOLE_EACH = 40            # a whole one each ten seconds, whatever was sent before
REDIAL_MS, DIAL_MS = 500.0, 1_000.0


class PlannerClient:
    """See the module. `planners`: addresses; all are told, the plan of the highest epoch is obeyed."""

    def __init__(self, director: Director, planners: tuple, keys: Keys | None = None, tls: Callable | None = None):
        """`keys`: of planners; the director's own, as they are read again, where left out."""
        self.director, self.loop, self.own_keys, self.tls = director, director.loop, keys, tls
        self.obeyed, self.sent, self.trust = FollowedPlan(), SentDigests(), Trust()
        self.number = self.plans_used = self.refused = 0
        self.arrivals: dict[str, int] = {}
        self.failures: dict[int, int] = {}
        self.titles = Sketch()
        self.lines = [PlannerConnection(self, tuple(address)) for address in planners]
        director.observer = self
        self.audit = AuditClient(self)
        self.grant_holder = GrantHolder(director.house.issuer) if director.house.issuer else None
        if self.grant_holder is not None:
            self.grant_holder.configure(fleet_budget_windows(director.limits))
            director.budgets.fleet_grants, self.watched, director.watch = self.grant_holder, director.watch, self.watch
            if director.tap is not None:
                self.grant_holder.on_draw = lambda name, now: director.tap("budget drawn", now, {"budget": name})
        self.loop.call_later(DIGEST_MS, self.tell)

    @property
    def keys(self) -> Keys:
        return self.director.house.keys if self.own_keys is None else self.own_keys

    # What the director sees

    def admitted(self, ply: Attempt) -> None:
        request = ply.request
        self.audit.let_in(ply)
        self.arrivals[request.product] = self.arrivals.get(request.product, 0) + 1
        self.titles.add(request.title)

    def ended(self, node: int, outcome: str) -> None:
        if outcome in (face.ERROR, face.TIMED_OUT, face.UNREACHABLE, face.BROKEN):
            self.failures[node] = self.failures.get(node, 0) + 1

    def node_load_reported(self, node: int, asked: float) -> None:
        """A node told what is asked of its link: the plan in force is held against it."""
        plan, entry = self.obeyed.now(self.loop.now), self.director.fleet.entries.get(node)
        if plan is not None and entry is not None and node in plan.nodes:
            self.trust.compare(asked * entry.weight * self.director.house.deployment.link_unit, plan.nodes[node][0])

    def watch(self, what: str, **facts) -> None:
        if what == "limits changed":
            self.grant_holder.configure(fleet_budget_windows(self.director.limits))
        self.watched(what, **facts)

    # Digests

    def digest(self) -> Digest:
        director, self.number = self.director, self.number + 1
        nodes = {}
        for node, held in director.attempts_by_node.items():
            if held:
                nodes[node] = sum(director.rate(ply) for ply in held.values()), len(held)
        drains = tuple(sorted(node for node, entry in director.fleet.entries.items() if entry.state != face.READY))
        return Digest(director.name, self.number, self.loop.now, nodes, dict(self.arrivals), tuple(self.titles.top(HOT_TOLD)), dict(self.failures), drains)

    def tell(self) -> None:
        if self.loop.running:
            self.say()
            self.loop.call_later(DIGEST_MS, self.tell)

    def say(self) -> None:
        """One digest to all planners."""
        digest = self.digest()
        self.titles = Sketch()                   # hot titles are told once, the planner adds them up
        self.sent.told(digest.number, digest.nodes)
        self.audit.asks(digest.number)
        budgets = self.grant_holder.build_rows(digest.number, self.loop.now, self.director.stopping) if self.grant_holder is not None else ()
        for line in self.lines:
            line.tell(digest, budgets)

    # Plans

    def heard(self, sealed: bytes) -> None:
        try:
            plan = plans.unseal(sealed, self.keys)
        except plans.PlanRejected as error:
            self.refused += 1
            self.director.watch("plan refused", error=str(error))
            return
        if self.obeyed.offer(plan, self.loop.now):
            self.audit.obeys(plan.epoch, plan.planner)
            self.use(plan)

    def use(self, plan: plans.Plan) -> None:
        """What others ask goes to the module, for nodes that are ready by what this director was told itself."""
        director, entries = self.director, self.director.fleet.entries
        if not self.trust.believed:
            return
        leave_out = frozenset(node for node in plan.nodes if node not in entries or entries[node].state != face.READY)
        others = self.sent.others(plan, director.name, leave_out)
        if others is None:
            return
        self.plans_used += 1
        for node, kb in others.items():
            director.feed(director.controller.observe_load, self.loop.now, node, kb)


    def page(self, exchange: Exchange) -> None:
        """What is obeyed, for operators."""
        plan = self.obeyed.now(self.loop.now)
        exchange.answer(200, frames.encode({
            "obeys": None if plan is None else {"epoch": plan.epoch, "planner": plan.planner, "version": plan.version, "age_ms": self.loop.now - self.obeyed.came_ms},
            "believed": self.trust.believed, "used": self.plans_used, "refused": self.refused, "stale": self.obeyed.stale,
            "lines": [{"address": list(line.address), "up": line.peer is not None and line.peer.remote is not None} for line in self.lines]}))


class PlannerConnection:
    """The line to one planner."""

    def __init__(self, side: PlannerClient, address: tuple[str, int]):
        self.side, self.address, self.base = side, address, None
        self.peer: Peer | None = None
        self.dial()

    def dial(self) -> None:
        side = self.side
        hello = wire.Hello(wire.VERSION, side.director.name, wire.EDGE, side.obeyed.seen[0])
        self.base, self.audit = None, ReportedState()
        self.peer = Peer(side.loop, hello, self.told, lambda peer: None, self.down)
        owner = self.peer if side.tls is None else TlsStream(self.peer, side.tls(), False, self.address[0])
        side.loop.dial(self.address, owner, DIAL_MS)

    def tell(self, digest: Digest, budgets: tuple = ()) -> None:
        if self.peer is None or self.peer.remote is None:
            return
        base = None if digest.number % WHOLE_EACH == 0 else self.base
        obeyed, plan = self.side.obeyed, self.side.obeyed.plan
        age = self.side.loop.now - obeyed.came_ms if plan is not None else 0.0
        self.peer.send(wire.to_frame(digest, base, 0 if plan is None else plan.epoch, age, obeyed.seen[0], self.side.audit.part(self.audit), budgets))
        self.base = wire.DeltaBase(digest.number, digest.nodes)

    def told(self, peer: Peer, frame: wire.Frame) -> None:
        if isinstance(frame, wire.PlanFrame):
            peer.send(wire.Credit(1))
            self.side.heard(frame.sealed)
        elif isinstance(frame, wire.Again):
            self.base = None
        elif isinstance(frame, wire.Kept):
            self.side.audit.action_counts.acknowledge(frame.turn)
        elif isinstance(frame, wire.Granted) and self.side.grant_holder is not None:
            self.side.grant_holder.apply_grants(frame.number, frame.epoch, frame.issuer, frame.grants, self.side.loop.now)
        elif isinstance(frame, wire.Offer):
            self.side.audit.offered(peer, Offer(*(getattr(frame, name) for name in Offer._fields)))
        elif isinstance(frame, wire.Piece):
            self.side.audit.piece(peer, frame.number, frame.offset, frame.data)
        elif isinstance(frame, wire.Right) and self.side.audit.right is not None:
            self.side.audit.right.apply_grant(frame.number, frame.epoch, frame.lease_ms, frame.forbidden)

    def down(self, peer: Peer, why: str) -> None:
        self.peer = None
        if not any(line.peer is not None and line.peer.remote is not None for line in self.side.lines):
            self.side.audit.alone()
        if self.side.loop.running:
            self.side.director.watch("planner line down", why=why)
            self.side.loop.call_later(REDIAL_MS, self.dial)

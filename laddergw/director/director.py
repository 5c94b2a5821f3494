"""One director: hosts the Controller, feeds it what happens on the sockets and carries out what it decides.

Order within a turn: all that was read is told, then timers, then `decide`; verdicts are carried out and what they
bring at once (a set-up that cannot be sent) is decided again, a few rounds at most. Every try is answered in `finish`
or `begin_play`, both through Attempt.settle, so that exactly one answer goes out whatever comes together.
"""
import time
from typing import Any, Callable
from zlib import crc32

from laddergw import interface as face, peer_messages
from laddergw.control import Controller
from laddergw.machines import allocation as alloc
from laddergw.director import frames, tokens
from laddergw.machines import admission
from laddergw.director.allocation_calls import MOVED, STOPPED, AllocationCalls, written
from laddergw.director.fleet import Fleet
from laddergw.terms.director_file import DirectorFile
from laddergw.machines.play import PlayState
from laddergw.director.link import Link
from laddergw.machines.concurrency import OFF, ConcurrencyLimits, at_limit
from laddergw.director.director_messages import DirectorMessages
from laddergw.director.attempts import Attempt
from laddergw.machines.retry_budget import RetryBudgets
from laddergw.hosting import ControllerHost
from laddergw.http.limits import PeerLimits
from laddergw.http.server import Exchange, Server
from laddergw.terms.effect import deployment_with
from laddergw.terms.generations import Generations, budget_names, budget_terms, describe_changes
from laddergw.terms.limits import Limits, default_terms as built_in_terms


def no_word(what: str, **facts: Any) -> None:
    """The watcher of a director that nobody watches."""


class Director(AllocationCalls, ControllerHost):
    """See the module. `wall` is the wall clock in ms, for tokens; `watch(what, **facts)` is told of each decision."""
    controller_class = Controller

    def __init__(self, loop, house: DirectorFile, wall: Callable[[], float] = lambda: time.time() * 1000,
                 tap: Callable | None = None, watch: Callable = no_word, limits: Limits | None = None):
        self.loop, self.house, self.wall, self.tap, self.watch = loop, house, wall, tap, watch
        self.bounds = house.bounds
        self.products = {name: index for index, name in enumerate(house.names)}
        usual = built_in_terms(house.bounds.max_lease_ms, alloc.CONFIRM_GRACE_MS)
        self.generations = Generations(limits or Limits("built in", usual), loop.now)
        self.budgets = RetryBudgets()
        self.budgets.configure(budget_terms(self.limits))
        self.room = ConcurrencyLimits(self.limits.adaptive)
        self.most_importance = max(product.importance for product in house.deployment.products)
        self.controller = self.controller_class(deployment_with(house.deployment, house.names, self.limits), house.seed, loop.now)
        self.name = f"d{house.number}-{crc32(b'%d %f' % (house.seed, loop.now)):08x}"    # of this process, not of its place
        self.attempts: dict[int, Attempt] = {}
        self.attempts_by_allocation: dict[str, Attempt] = {}
        self.attempts_by_node: dict[int, dict[str, Attempt]] = {}
        self.dirty: dict[Link, None] = {}
        self.numbers = self.waiting = self.active_plays = self.draws = 0
        self.stopping = False
        self.observer, self.closed_rejection = None, lambda: None    # of admissions, ends and notes: a planner's edge side; why nothing is let in at all
        self.reload_files: Callable[[], None] = lambda: None    # what SIGHUP does
        self.fleet = Fleet(loop, house.lists, str(house.number), self.make_link, self.list_changed, self.list_failed, tap)
        self.server = Server(loop, house.listen, self.serve, PeerLimits(max_connections=self.bounds.max_connections), tap)
        self.address = self.server.address
        self.pages: dict[tuple[str, str], Callable[[Exchange], None]] = {("POST", "/v1/plays"): self.handle_play_request,
                                                                             ("POST", "/v1/mail"): self.mail_came}
        self.post = DirectorMessages(loop, house.number, house.peers, lambda: self.house.keys, wall)
        loop.on_turn_end(self.turn_ends)
        if not house.deployment.must_ask:
            self.fleet.follow()
        self.feed(self.controller.wake, loop.now)

    @property
    def limits(self) -> Limits:
        """The operators' file in force."""
        return self.generations.current.limits

    def change_limits(self, limits: Limits) -> list[str]:
        """A checked file takes effect at this moment, for plays that come from now on; what it changes, a line each."""
        changed = describe_changes(self.limits, limits)
        self.generations.switch(limits, self.loop.now)
        self.budgets.configure(budget_terms(limits))
        self.room.change_kind(limits.adaptive)
        self.feed(self.controller.update_deployment, self.loop.now, deployment_with(self.house.deployment, self.house.names, limits))
        self.watch("limits changed", generation=self.generations.current.number, lines=len(changed))
        if self.tap is not None:
            self.tap("limits changed", self.loop.now, {"generation": self.generations.current.number, "older": len(self.generations.older), "lines": changed})
        return changed

    def change_director_file(self, house: DirectorFile) -> None:
        """The file read again: its keys, deployment and peers hold from now on; plays under way keep the terms that they were taken on.
        What needs a restart stays as it is. The way back is the same step."""
        self.change_keys(house.keys, house.retired)
        if (house.names, house.deployment, house.peers) == (self.house.names, self.house.deployment, self.house.peers):
            return
        self.house = self.house._replace(names=house.names, deployment=house.deployment, peers=house.peers)
        self.products = {name: index for index, name in enumerate(house.names)}
        self.most_importance = max(product.importance for product in house.deployment.products)
        self.post.reach(house.peers)
        self.feed(self.controller.update_deployment, self.loop.now, deployment_with(house.deployment, house.names, self.limits))
        self.watch("deployment changed", products=len(house.names), held=self.active_plays, waiting=self.waiting)
        if self.tap is not None:
            self.tap("deployment changed", self.loop.now, {"products": list(house.names), "held": self.active_plays, "waiting": self.waiting})

    def limits_refused(self, texts: list[str]) -> None:
        """A file was refused: what is in force stays."""
        self.generations.rejected += 1
        self.watch("limits refused", faults=len(texts), first=texts[0] if texts else "")
        if self.tap is not None:
            self.tap("limits refused", self.loop.now, {"faults": texts})

    # Turns, and the module's failure

    def turn_ends(self) -> None:
        self.decide()
        dirty, self.dirty = self.dirty, {}
        for link in dirty:
            link.flush()
        if self.stopping and not self.attempts and not self.broken:
            self.shut_down()

    def fail_all_plays(self) -> None:
        self.broken = self.stopping = True
        for ply in list(self.attempts.values()):
            if ply.playing:
                self.release(ply)
                ply.exchange.push(frames.event(STOPPED))
                ply.exchange.finish()
            else:
                self.finish(ply, face.FAILED, None, "director failed")
        self.server.stop_accepting()
        self.loop.call_later(100, self.loop.stop)

    def random_fraction(self) -> float:
        self.draws += 1
        return crc32(b"%d door %d" % (self.house.seed, self.draws)) / 2 ** 32

    # Viewers

    def serve(self, exchange: Exchange) -> None:
        page = self.pages.get((exchange.method, exchange.path))
        if page is not None:
            return page(exchange)
        known = any(path == exchange.path for _, path in self.pages)
        exchange.answer(405 if known else 404, frames.error_body(f"no {exchange.method} {exchange.path[:80]} here"))

    def handle_play_request(self, exchange: Exchange) -> None:
        try:
            request = frames.read_request(exchange.body)
            if request.product not in self.products:
                raise frames.MalformedFrame(f"play request: no product {request.product!r} here")
        except frames.MalformedFrame as error:
            exchange.answer(400, frames.error_body(str(error)))
            return
        product = self.products[request.product]
        generation, repeat = self.generations.begin_play(), self.house.deployment.products[product].repeat
        margin = self.bounds.answer_margin_ms if self.limits.answer_margin is None else self.limits.answer_margin.value
        effective = self.limits.find(request.route, request.product)
        life = PlayState(effective.terms, repeat, exchange.read_at, admission.remaining_wait_ms(request.wait_ms, exchange.stall_ms, margin), margin)
        self.numbers += 1
        ply = Attempt(self.numbers, exchange, request, product, self.earlier(request), life, generation, budget_names(effective.entries, self.limits),
                  self.house.deployment)
        product_row = self.house.deployment.products[product]
        slow = at_limit(self.waiting, self.room.total_limit(self.ready_nodes()), product_row.importance, self.most_importance, ply.earlier.tries)
        turned = (admission.check_capacity(self.bounds, self.waiting, self.active_plays, self.stopping, self.random_fraction()) or admission.check_node_latency(slow, self.bounds, self.random_fraction())
                  or admission.check_earlier_attempt(repeat == "paid", ply.earlier.may_have_run) or life.check_viewer_attempts(ply.earlier.tries)
                  or admission.defer_retry(request.unsettled_ms, self.bounds.max_lease_ms) or self.closed_rejection())
        self.attempts[ply.id] = ply
        self.waiting += 1
        exchange.on_disconnect = lambda: self.viewer_left(ply)
        if turned is not None:
            return self.finish(ply, face.FAILED if turned.failed else face.DECLINED, turned.retry_after_ms, turned.reason)
        ply.timer = self.loop.call_at(life.answer_deadline, lambda: self.answer_overdue(ply))
        self.budgets.record_play(ply.budgets, self.loop.now)
        self.admit(ply)

    def ready_nodes(self) -> list[int]:
        return [node for node, entry in self.fleet.entries.items() if entry.state == face.READY] if self.room.kind != OFF else []

    def earlier(self, request: frames.Request) -> tokens.PreviousAttempt:
        """What the viewer's token tells, this try counted; a token that is not taken makes a first try."""
        wall = self.wall()
        if request.token is not None:
            try:
                told = tokens.read(self.house.keys, request.token, request.key, wall)
                return told._replace(tries=told.tries + 1)
            except tokens.BadToken as error:
                self.watch("token refused", reason=str(error))
        return tokens.PreviousAttempt(request.key, wall, 1, False)

    def mail_came(self, exchange: Exchange) -> None:
        """A message of another director. One that makes no sense is refused, told, and changes nothing."""
        try:
            sender, loads, shares = self.post.read(exchange.body)
        except peer_messages.MalformedMessage as error:
            self.watch("mail refused", reason=str(error))
            return exchange.answer(400, frames.error_body(str(error)))
        exchange.answer(200, b"{}")
        return self.feed(self.controller.receive_peer_report, self.loop.now, sender, loads, shares)

    def admit(self, ply: Attempt) -> None:
        r, now = ply.request, self.loop.now
        ply.asked = True
        if self.observer is not None:
            self.observer.admitted(ply)
        self.feed(self.controller.request_play, now, face.PlayRequest(ply.id, ply.product, r.title, r.home, r.copies, r.ceiling,
                                                                      r.length_ms, max(0.0, ply.life.deadline - now),
                                                                      ply.earlier.tries > 1))

    def answer_overdue(self, ply: Attempt) -> None:
        """The last guard of the one answer: what holds it up is not known here, so it is failed."""
        ply.timer = None
        if not ply.answered and not ply.left:
            self.watch("overdue", play=ply.id)
            if ply.asked:
                self.feed(self.controller.viewer_left, self.loop.now, ply.id)
            self.finish(ply, face.FAILED, None, "time limit")

    def viewer_left(self, ply: Attempt) -> None:
        """The viewer's connection ended, before its answer or while it plays."""
        if ply.left:
            return
        ply.left = True
        self.watch("viewer left", play=ply.id, playing=ply.playing)
        if ply.asked:
            self.feed(self.controller.viewer_left, self.loop.now, ply.id)
        if not ply.answered:
            self.waiting -= 1
        self.end_allocation(ply)

    def end_allocation(self, ply: Attempt) -> None:
        """Nobody wants the try's allocation any more."""
        if ply.allocation is None or ply.allocation.state == alloc.GONE:
            self.forget(ply)
        else:
            self.apply(ply, ply.allocation.viewer_left(*written(ply)))

    def finish(self, ply: Attempt, answer: str, retry_ms: float | None, reason: str = "") -> None:
        """The final answer of a try that does not play."""
        if ply.settle():
            self.waiting -= 1
            token = tokens.sign(self.house.keys, ply.earlier._replace(may_have_run=ply.earlier.may_have_run or answer == face.FAILED))
            status = 502 if answer == face.FAILED else 503
            extra = "" if retry_ms is None else f"Retry-After: {-int(-retry_ms // 1000)}\r\n"
            self.watch("answer", play=ply.id, answer=answer, product=ply.request.product, tries=ply.earlier.tries,
                       own_ms=self.loop.read_clock() - ply.asked_at - ply.node_ms, first_ms=None, reason=reason)
            ply.exchange.answer(status, frames.not_playing(answer, token, retry_ms, reason), extra_headers=extra)
        if ply.allocation is None:
            self.forget(ply)
        elif ply.allocation.state in (alloc.WAITING, alloc.OUT):
            self.apply(ply, ply.allocation.viewer_left(*written(ply)))

    def forget(self, ply: Attempt) -> None:
        ply.stop_timers()
        if self.attempts.pop(ply.id, None) is not None:
            self.generations.end_play(ply.generation)

    # Verdicts

    def apply_verdict(self, verdict: face.Verdict) -> None:
        if verdict.request_fleet_list:
            return self.fleet.follow()
        for node in verdict.probe_nodes:
            self.probe(node)
        if verdict.notify_directors:
            return self.post.send(verdict.notify_directors, peer_messages.pack(verdict.loads, verdict.shares))
        ply = self.attempts.get(verdict.play)
        if ply is None:
            return
        if verdict.node is not None:
            self.allocate(ply, verdict)
        elif verdict.answer is not None:
            ply.allocation = None
            self.finish(ply, verdict.answer, ply.life.clamp_retry_after(verdict.retry_after_ms) if verdict.answer == face.DECLINED else None)
        elif verdict.move:
            self.remove_from_node(ply, MOVED)
        elif verdict.rung is not None:
            self.change_rung(ply, verdict.rung)

    # Nodes and the list

    def make_link(self, node: int, address: tuple) -> Link:
        return Link(self.loop, node, address, self.name, self, self.tap)

    def list_changed(self, lines: list, whole: bool, stopped: list[int]) -> None:
        self.feed(self.controller.update_fleet, self.loop.now, lines, whole)
        for node in stopped:
            self.take_back(node)
        self.fleet.drop_unused(lambda node: bool(self.attempts_by_node.get(node)))
        self.room.keep_only(self.fleet.links)

    def take_back(self, node: int) -> None:
        """Set-ups of which no byte has left yet do not go to a node that drains."""
        for name, ply in list(self.attempts_by_node.get(node, {}).items()):
            call, a = ply.call, ply.allocation
            if a.state == alloc.WAITING and (call is None or not call.written):
                ply.call = None
                if call is None or call.withdraw():
                    self.apply(ply, a.withdrawn())
                else:
                    ply.call = call

    def list_failed(self) -> None:
        self.watch("list failed")
        if self.house.deployment.must_ask:
            self.feed(self.controller.fleet_list_failed, self.loop.now)

    def session_up(self, link: Link) -> None:
        self.watch("session up", node=link.node)

    def session_lost(self, link: Link, why: str) -> None:
        self.watch("session lost", node=link.node, why=why)
        for ply in list(self.attempts_by_node.get(link.node, {}).values()):
            if written(ply)[0]:
                ply.allocation.sent()
            self.apply(ply, ply.allocation.session_lost())

    def node_said(self, link: Link, line: frames.NoteLine) -> None:
        for name, kind, value in line.notes:
            ply = self.attempts_by_allocation.get(name)
            if self.observer is not None and kind == face.LINK_DEMAND:
                self.observer.node_load_reported(link.node, value)
            self.feed(self.controller.update_play, self.loop.now, ply.id if ply else 0, link.node, kind, value)
        for name, how in line.ended:
            if ply := self.attempts_by_allocation.get(name):
                self.apply(ply, ply.allocation.node_ended(how == frames.FINISHED))

    def released(self, link: Link, released: dict, unknown: list) -> None:
        for name, ran in released.items():
            if ply := self.attempts_by_allocation.get(name):
                self.apply(ply, ply.allocation.released(ran))
        for name in unknown:
            if ply := self.attempts_by_allocation.get(name):
                self.apply(ply, ply.allocation.node_ended(False))

    def change_keys(self, keys: tuple, retired: frozenset[str]) -> None:
        """Keys of the file read again: the first signs from now on."""
        self.house = self.house._replace(keys=keys, retired=retired)
        self.watch("keys changed", signs=keys[0][0], taken=len(keys), retired=len(retired))

    # Stopping

    def stop(self) -> None:
        """Takes nothing new, answers what waits, lets plays go on for a while, then takes them off and ends."""
        if self.stopping:
            return
        self.stopping = True
        self.watch("stopping", waiting=self.waiting, held=self.active_plays)
        self.stop_accepting()
        self.loop.call_later(self.bounds.finish_ms, self.stop_plays)

    def stop_accepting(self) -> None:
        self.server.stop_accepting()

    def stop_plays(self) -> None:
        for ply in list(self.attempts.values()):
            self.remove_from_node(ply, STOPPED)

    def shut_down(self) -> None:
        if self.loop.running:
            self.fleet.close()
            self.post.close()
            self.loop.stop()

"""One HTTP director: hosts the Controller, reports events on the sockets to it and carries out its verdicts.

Order within a turn: all that was read is reported, then timers run, then `decide`; verdicts are carried out, and what fails at
once (a set-up that cannot be sent) is decided again, a few rounds at most. Every attempt is answered in `finish` or
`begin_play`, both through Attempt.claim_answer, so that exactly one answer is sent whatever events coincide.
"""
import time
from typing import Any, Callable
from zlib import crc32

from laddergw import interface, peer_messages
from laddergw.control import Controller
from laddergw.machines import admission, allocation as allocation_machine
from laddergw.director import frames, tokens
from laddergw.director.allocation_calls import MOVED, STOPPED, AllocationCalls, bytes_written
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


def ignore_event(what: str, **facts: Any) -> None:
    """The `watch` callback of a director whose events nobody records."""


class Director(AllocationCalls, ControllerHost):
    """See the module. `wall` returns the wall clock in ms, for tokens; `watch(what, **facts)` is called for each decision."""
    controller_class = Controller

    def __init__(self, loop, director_file: DirectorFile, wall: Callable[[], float] = lambda: time.time() * 1000,
                 tap: Callable | None = None, watch: Callable = ignore_event, limits: Limits | None = None):
        self.loop, self.house, self.wall, self.tap, self.watch = loop, director_file, wall, tap, watch
        self.bounds = director_file.bounds
        self.products = {name: index for index, name in enumerate(director_file.names)}
        built_in = built_in_terms(director_file.bounds.max_lease_ms, allocation_machine.CONFIRM_GRACE_MS)
        self.generations = Generations(limits or Limits("built in", built_in), loop.now)
        self.budgets = RetryBudgets()
        self.budgets.configure(budget_terms(self.limits))
        self.concurrency = ConcurrencyLimits(self.limits.adaptive)
        self.max_importance = max(product.importance for product in director_file.deployment.products)
        self.controller = self.controller_class(deployment_with(director_file.deployment, director_file.names, self.limits), director_file.seed, loop.now)
        self.name = f"d{director_file.number}-{crc32(b'%d %f' % (director_file.seed, loop.now)):08x}"    # of this process; a successor gets another one
        self.attempts: dict[int, Attempt] = {}
        self.attempts_by_allocation: dict[str, Attempt] = {}
        self.attempts_by_node: dict[int, dict[str, Attempt]] = {}
        self.links_to_flush: dict[Link, None] = {}
        self.last_attempt_id = self.waiting = self.active_plays = self.random_draws = 0
        self.stopping = False
        # `observer`: the connection to the planners, told of admissions, ends and notes; `closed_rejection()`: the rejection of every new play while this process has no right to admit plays (fleet/rights.py), else None
        self.observer, self.closed_rejection = None, lambda: None
        self.reload_files: Callable[[], None] = lambda: None    # called on SIGHUP
        self.fleet = Fleet(loop, director_file.lists, str(director_file.number), self.make_link, self.list_changed, self.list_failed, tap)
        self.server = Server(loop, director_file.listen, self.serve, PeerLimits(max_connections=self.bounds.max_connections), tap)
        self.address = self.server.address
        self.pages: dict[tuple[str, str], Callable[[Exchange], None]] = {("POST", "/v1/plays"): self.handle_play_request, ("POST", "/v1/mail"): self.peer_message_received}
        self.messages = DirectorMessages(loop, director_file.number, director_file.peers, lambda: self.house.keys, wall)
        loop.on_turn_end(self.finish_turn)
        if not director_file.deployment.must_ask:
            self.fleet.request_list()
        self.feed(self.controller.wake, loop.now)

    @property
    def limits(self) -> Limits:
        """The operators' limits in force."""
        return self.generations.current.limits

    def change_limits(self, limits: Limits) -> list[str]:
        """Puts a checked file in force; returns its changes, a line each. Its terms hold for plays that are requested from now on; its budgets, cold pace and concurrency limit change at once."""
        changed = describe_changes(self.limits, limits)
        self.generations.switch(limits, self.loop.now)
        self.budgets.configure(budget_terms(limits))
        self.concurrency.change_kind(limits.adaptive)
        self.feed(self.controller.update_deployment, self.loop.now, deployment_with(self.house.deployment, self.house.names, limits))
        self.watch("limits changed", generation=self.generations.current.number, lines=len(changed))
        if self.tap is not None:
            self.tap("limits changed", self.loop.now, {"generation": self.generations.current.number, "older": len(self.generations.older), "lines": changed})
        return changed

    def change_director_file(self, director_file: DirectorFile) -> None:
        """Puts the reloaded file's keys, deployment and peers in force; running plays keep the terms of their admission.
        What needs a restart stays as it is. Going back to the former file is the same step."""
        self.change_keys(director_file.keys, director_file.retired)
        if (director_file.names, director_file.deployment, director_file.peers) == (self.house.names, self.house.deployment, self.house.peers):
            return
        self.house = self.house._replace(names=director_file.names, deployment=director_file.deployment, peers=director_file.peers)
        self.products = {name: index for index, name in enumerate(director_file.names)}
        self.max_importance = max(product.importance for product in director_file.deployment.products)
        self.messages.set_peers(director_file.peers)
        self.feed(self.controller.update_deployment, self.loop.now, deployment_with(director_file.deployment, director_file.names, self.limits))
        self.watch("deployment changed", products=len(director_file.names), held=self.active_plays, waiting=self.waiting)
        if self.tap is not None:
            self.tap("deployment changed", self.loop.now, {"products": list(director_file.names), "held": self.active_plays, "waiting": self.waiting})

    def limits_refused(self, texts: list[str]) -> None:
        """Records a rejected file; the limits in force stay."""
        self.generations.rejected += 1
        self.watch("limits refused", faults=len(texts), first=texts[0] if texts else "")
        if self.tap is not None:
            self.tap("limits refused", self.loop.now, {"faults": texts})

    # Turns, and the controller's failure
    def finish_turn(self) -> None:
        """Decides what is pending and sends what links have gathered; a stopping director exits after its last play."""
        self.decide()
        links_to_flush, self.links_to_flush = self.links_to_flush, {}
        for link in links_to_flush:
            link.flush()
        if self.stopping and not self.attempts and not self.broken:
            self.shut_down()

    def fail_all_plays(self) -> None:
        self.broken = self.stopping = True
        for attempt in list(self.attempts.values()):
            if attempt.playing:
                self.release(attempt)
                attempt.exchange.push(frames.event(STOPPED))
                attempt.exchange.finish()
            else:
                self.finish(attempt, interface.FAILED, None, "director failed")
        self.server.stop_accepting()
        self.loop.call_later(100, self.loop.stop)

    def random_fraction(self) -> float:
        """The next number of a seeded series, in [0, 1)."""
        self.random_draws += 1
        return crc32(b"%d door %d" % (self.house.seed, self.random_draws)) / 2 ** 32

    # Viewers
    def serve(self, exchange: Exchange) -> None:
        """Routes an HTTP request to its handler in `pages`."""
        page = self.pages.get((exchange.method, exchange.path))
        if page is not None:
            return page(exchange)
        known = any(path == exchange.path for _, path in self.pages)
        exchange.answer(405 if known else 404, frames.error_body(f"no resource for {exchange.method} {exchange.path[:80]}"))

    def handle_play_request(self, exchange: Exchange) -> None:
        """Answers a malformed request with 400; admits any other one, or rejects it with its final answer."""
        try:
            request = frames.read_request(exchange.body)
            if request.product not in self.products:
                raise frames.MalformedFrame(f"play request: unknown product {request.product!r}")
        except frames.MalformedFrame as error:
            exchange.answer(400, frames.error_body(str(error)))
            return
        product = self.products[request.product]
        generation, retry_safety = self.generations.begin_play(), self.house.deployment.products[product].repeat
        margin = self.bounds.answer_margin_ms if self.limits.answer_margin is None else self.limits.answer_margin.value
        effective = self.limits.find(request.route, request.product)
        play_state = PlayState(effective.terms, retry_safety, exchange.read_at, admission.remaining_wait_ms(request.wait_ms, exchange.stall_ms, margin), margin)
        self.last_attempt_id += 1
        attempt = Attempt(self.last_attempt_id, exchange, request, product, self.previous_attempt(request), play_state, generation, budget_names(effective.entries, self.limits),
                          self.house.deployment)
        product_row = self.house.deployment.products[product]
        nodes_overloaded = at_limit(self.waiting, self.concurrency.total_limit(self.ready_nodes()), product_row.importance, self.max_importance, attempt.previous.attempts)
        rejection = (admission.check_capacity(self.bounds, self.waiting, self.active_plays, self.stopping, self.random_fraction()) or admission.check_node_latency(nodes_overloaded, self.bounds, self.random_fraction())
                     or admission.check_earlier_attempt(retry_safety == "paid", attempt.previous.may_have_run) or play_state.check_viewer_attempts(attempt.previous.attempts)
                     or admission.defer_retry(request.unsettled_ms, self.bounds.max_lease_ms) or self.closed_rejection())
        self.attempts[attempt.id] = attempt
        self.waiting += 1
        exchange.on_disconnect = lambda: self.viewer_left(attempt)
        if rejection is not None:
            return self.finish(attempt, interface.FAILED if rejection.failed else interface.DECLINED, rejection.retry_after_ms, rejection.reason)
        attempt.answer_timer = self.loop.call_at(play_state.answer_deadline, lambda: self.answer_overdue(attempt))
        self.budgets.record_play(attempt.budgets, self.loop.now)
        self.admit(attempt)

    def ready_nodes(self) -> list[int]:
        return [node for node, entry in self.fleet.entries.items() if entry.state == interface.READY] if self.concurrency.kind != OFF else []

    def previous_attempt(self, request: frames.Request) -> tokens.PreviousAttempt:
        """The attempts that the viewer's token tells, this one included; with a rejected token it is a first attempt."""
        wall = self.wall()
        if request.token is not None:
            try:
                previous = tokens.read(self.house.keys, request.token, request.key, wall)
                return previous._replace(attempts=previous.attempts + 1)
            except tokens.BadToken as error:
                self.watch("token refused", reason=str(error))
        return tokens.PreviousAttempt(request.key, wall, 1, False)

    def peer_message_received(self, exchange: Exchange) -> None:
        """Handles a message of another director. A malformed one is rejected, reported, and changes nothing."""
        try:
            sender, loads, shares = self.messages.read(exchange.body)
        except peer_messages.MalformedMessage as error:
            self.watch("mail refused", reason=str(error))
            return exchange.answer(400, frames.error_body(str(error)))
        exchange.answer(200, b"{}")
        return self.feed(self.controller.receive_peer_report, self.loop.now, sender, loads, shares)

    def admit(self, attempt: Attempt) -> None:
        """Passes an attempt on to the controller."""
        request, now = attempt.request, self.loop.now
        attempt.sent_to_controller = True
        if self.observer is not None:
            self.observer.admitted(attempt)
        self.feed(self.controller.request_play, now, interface.PlayRequest(
            attempt.id, attempt.product, request.title, request.home, request.copies, request.ceiling, request.length_ms, max(0.0, attempt.play_state.deadline - now), attempt.previous.attempts > 1))

    def answer_overdue(self, attempt: Attempt) -> None:
        """Fails an attempt that is unanswered at its deadline: the last guard, whatever has delayed the answer."""
        attempt.answer_timer = None
        if not attempt.answered and not attempt.viewer_gone:
            self.watch("overdue", play=attempt.id)
            if attempt.sent_to_controller:
                self.feed(self.controller.viewer_left, self.loop.now, attempt.id)
            self.finish(attempt, interface.FAILED, None, "time limit")

    def viewer_left(self, attempt: Attempt) -> None:
        """Handles the end of the viewer's connection, before its answer or during its play."""
        if attempt.viewer_gone:
            return
        attempt.viewer_gone = True
        self.watch("viewer left", play=attempt.id, playing=attempt.playing)
        if attempt.sent_to_controller:
            self.feed(self.controller.viewer_left, self.loop.now, attempt.id)
        if not attempt.answered:
            self.waiting -= 1
        self.end_allocation(attempt)

    def end_allocation(self, attempt: Attempt) -> None:
        """Ends the allocation of an attempt that nobody needs any more."""
        if attempt.allocation is None or attempt.allocation.state == allocation_machine.GONE:
            self.forget(attempt)
        else:
            self.apply(attempt, attempt.allocation.viewer_left(*bytes_written(attempt)))

    def finish(self, attempt: Attempt, answer: str, retry_ms: float | None, reason: str = "") -> None:
        """Answers an attempt that does not become a play."""
        if attempt.claim_answer():
            self.waiting -= 1
            token = tokens.sign(self.house.keys, attempt.previous._replace(may_have_run=attempt.previous.may_have_run or answer == interface.FAILED))
            status = 502 if answer == interface.FAILED else 503
            extra = "" if retry_ms is None else f"Retry-After: {-int(-retry_ms // 1000)}\r\n"
            self.watch("answer", play=attempt.id, answer=answer, product=attempt.request.product, tries=attempt.previous.attempts,
                       own_ms=self.loop.read_clock() - attempt.requested_at - attempt.node_time_ms, first_ms=None, reason=reason)
            attempt.exchange.answer(status, frames.not_playing(answer, token, retry_ms, reason), extra_headers=extra)
        if attempt.allocation is None:
            self.forget(attempt)
        elif attempt.allocation.state in (allocation_machine.WAITING, allocation_machine.OUT):
            self.apply(attempt, attempt.allocation.viewer_left(*bytes_written(attempt)))

    def forget(self, attempt: Attempt) -> None:
        """Drops an attempt that has its answer and holds no allocation."""
        attempt.stop_timers()
        if self.attempts.pop(attempt.id, None) is not None:
            self.generations.end_play(attempt.generation)

    # Verdicts
    def apply_verdict(self, verdict: interface.Verdict) -> None:
        if verdict.request_fleet_list:
            return self.fleet.request_list()
        for node in verdict.probe_nodes:
            self.probe(node)
        if verdict.notify_directors:
            return self.messages.send(verdict.notify_directors, peer_messages.pack(verdict.loads, verdict.shares))
        attempt = self.attempts.get(verdict.play)
        if attempt is None:
            return
        if verdict.node is not None:
            self.allocate(attempt, verdict)
        elif verdict.answer is not None:
            attempt.allocation = None
            self.finish(attempt, verdict.answer, attempt.play_state.clamp_retry_after(verdict.retry_after_ms) if verdict.answer == interface.DECLINED else None)
        elif verdict.move:
            self.remove_from_node(attempt, MOVED)
        elif verdict.rung is not None:
            self.change_rung(attempt, verdict.rung)

    # Nodes and the list
    def make_link(self, node: int, address: tuple) -> Link:
        return Link(self.loop, node, address, self.name, self, self.tap)

    def list_changed(self, entries: list, complete: bool, not_ready: list[int]) -> None:
        self.feed(self.controller.update_fleet, self.loop.now, entries, complete)
        for node in not_ready:
            self.withdraw_unsent_set_ups(node)
        self.fleet.drop_unused(lambda node: bool(self.attempts_by_node.get(node)))
        self.concurrency.keep_only(self.fleet.links)

    def withdraw_unsent_set_ups(self, node: int) -> None:
        """Withdraws set-ups of which no byte has been written yet from a node that drains or is gone."""
        for name, attempt in list(self.attempts_by_node.get(node, {}).items()):
            call, allocation = attempt.call, attempt.allocation
            if allocation.state == allocation_machine.WAITING and (call is None or not call.written):
                attempt.call = None
                if call is None or call.withdraw():
                    self.apply(attempt, allocation.withdrawn())
                else:
                    attempt.call = call

    def list_failed(self) -> None:
        self.watch("list failed")
        if self.house.deployment.must_ask:
            self.feed(self.controller.fleet_list_failed, self.loop.now)

    def session_up(self, link: Link) -> None:
        self.watch("session up", node=link.node)

    def session_lost(self, link: Link, reason: str) -> None:
        self.watch("session lost", node=link.node, why=reason)
        for attempt in list(self.attempts_by_node.get(link.node, {}).values()):
            if bytes_written(attempt)[0]:
                attempt.allocation.sent()
            self.apply(attempt, attempt.allocation.session_lost())

    def notes_received(self, link: Link, line: frames.NoteLine) -> None:
        for name, kind, value in line.notes:
            attempt = self.attempts_by_allocation.get(name)
            if self.observer is not None and kind == interface.LINK_DEMAND:
                self.observer.node_load_reported(link.node, value)
            self.feed(self.controller.update_play, self.loop.now, attempt.id if attempt else 0, link.node, kind, value)
        for name, how in line.ended:
            if attempt := self.attempts_by_allocation.get(name):
                self.apply(attempt, attempt.allocation.node_ended(how == frames.FINISHED))

    def released(self, link: Link, released: dict, unknown: list) -> None:
        for name, ran in released.items():
            if attempt := self.attempts_by_allocation.get(name):
                self.apply(attempt, attempt.allocation.released(ran))
        for name in unknown:
            if attempt := self.attempts_by_allocation.get(name):
                self.apply(attempt, attempt.allocation.node_ended(False))

    def change_keys(self, keys: tuple, retired: frozenset[str]) -> None:
        """Puts the keys of the reloaded file in force: the first signs from now on."""
        self.house = self.house._replace(keys=keys, retired=retired)
        self.watch("keys changed", signs=keys[0][0], taken=len(keys), retired=len(retired))

    # Stopping
    def stop(self) -> None:
        """Accepts no connection and admits no new play from now on (admission.check_capacity declines it); waiting viewers still get their answers. Running plays go on for `finish_ms`, then end, and the process exits."""
        if self.stopping:
            return
        self.stopping = True
        self.watch("stopping", waiting=self.waiting, held=self.active_plays)
        self.stop_accepting()
        self.loop.call_later(self.bounds.finish_ms, self.stop_plays)

    def stop_accepting(self) -> None:
        self.server.stop_accepting()

    def stop_plays(self) -> None:
        for attempt in list(self.attempts.values()):
            self.remove_from_node(attempt, STOPPED)

    def shut_down(self) -> None:
        """Closes the connections to nodes, list and peers, and stops the loop."""
        if self.loop.running:
            self.fleet.close()
            self.messages.close()
            self.loop.stop()

"""The director's calls to nodes for allocations, from the controller's choice of a node to the allocation's end.

A base class of Director, which holds the state; a module of its own because of its length. Events from the sockets go to the state machines of
machines/allocation.py and machines/play.py, and the actions that they return are carried out: confirm, release, begin the play, report its end.
"""
from typing import Callable

from laddergw import interface
from laddergw.machines import allocation as allocation_machine
from laddergw.director import frames, tokens
from laddergw.machines.allocation import Allocation, AllocationActions
from laddergw.machines.play import ATTEMPTS_EXHAUSTED
from laddergw.director.link import Link
from laddergw.director.attempts import Attempt
from laddergw.http.client import Call

# Events with which a viewer is told that its play has ended
ENDED, MOVED, STOPPED, LOST = "ended", "moved", "director stops", "broken"
PROBE_OUTCOMES = {200: interface.SERVED, 429: interface.FULL, 503: interface.FULL}
EVENT_BY_OUTCOME = {interface.SERVED: ENDED, interface.BROKEN: LOST}


class AllocationCalls:
    """Carries out allocations; a base class of Director. See the module."""

    def allocate(self, attempt: Attempt, verdict: interface.Verdict) -> None:
        """Begins an allocation on the node that the controller chose: at once, or after the pause that the terms demand before a retry.
        A retry is charged to its budgets first; where one is spent, nothing is sent and the attempt gets its final answer."""
        now, play_state = self.loop.now, attempt.play_state
        number, pause = play_state.allocations_made, play_state.next_pause_ms()
        name = f"{self.name}.{attempt.id}.{number}"
        spent_budget = self.budgets.charge_retry(attempt.budgets, now) if number else None
        attempt.allocation = allocation = play_state.allocate(name, attempt.id, verdict.node, verdict.rung, verdict.timeout_ms, now)
        timeout = allocation.set_up_deadline - now - pause
        self.attempts_by_allocation[name] = attempt
        self.attempts_by_node.setdefault(verdict.node, {})[name] = attempt
        self.watch("allocate", play=attempt.id, node=verdict.node, rung=verdict.rung, number=number, timeout_ms=timeout)
        link = self.fleet.links.get(verdict.node)
        if timeout <= 0 or link is None or spent_budget is not None:
            if spent_budget is not None:
                self.watch("budget spent", play=attempt.id, budget=spent_budget)
                play_state.exhaust_allocations()
            return self.loop.call_soon(lambda: self.apply_by_name(attempt, name, Allocation.withdrawn))
        attempt.allocation_timer = self.loop.call_at(allocation.set_up_deadline, lambda: self.set_up_timed_out(attempt, name))
        if pause:
            return self.loop.call_later(pause, lambda: self.connect(attempt, verdict.node, name)) and None
        return self.connect(attempt, verdict.node, name)

    def connect(self, attempt: Attempt, node: int, name: str) -> None:
        """Sends the set-up, after its pause; its first byte must be written within the time that the terms allow (`connect_ms`)."""
        link = self.fleet.links.get(node)
        if link is None:
            return self.apply_by_name(attempt, name, Allocation.withdrawn)
        attempt.set_up_sent_at = self.loop.read_clock()
        connect = attempt.play_state.terms.connect_ms
        if connect < attempt.allocation.set_up_deadline - self.loop.now:
            self.loop.call_later(connect, lambda: not bytes_written(attempt)[0] and self.apply_by_name(attempt, name, Allocation.timed_out, self.loop.now, 0, 1))
        return self.send_set_up(attempt, link, name)

    def apply_by_name(self, attempt: Attempt, name: str, event: Callable[..., AllocationActions], *args) -> None:
        """Applies an event to the allocation of this name; ignored if the attempt has another allocation by now."""
        if attempt.allocation is not None and attempt.allocation.name == name:
            self.apply(attempt, event(attempt.allocation, *args))

    def send_set_up(self, attempt: Attempt, link: Link, name: str) -> None:
        """Sends the set-up to the node, unless the allocation is no longer waiting for it."""
        allocation, request = attempt.allocation, attempt.request
        if allocation is None or allocation.name != name or allocation.state != allocation_machine.WAITING:
            return
        lease_left_ms = allocation.lease_ends_at - self.loop.now

        def body(session) -> bytes:
            return frames.set_up(session.name, name, request.key, request.product, request.title, allocation.rung, self.rate(attempt),
                                 session.node_time(self.loop.now, lease_left_ms), request.length_ms)
        label = {"allocation": name, "node": allocation.node, "try": attempt.id, "number": allocation.number, "play": request.key}
        attempt.call = link.set_up(body, lambda call: self.set_up_ended(attempt, name, call), label)
        # The session is still being opened: the set-up waits for it, unwritten
        if attempt.call is None:
            link.when_up(lambda: self.send_set_up(attempt, link, name))

    def set_up_ended(self, attempt: Attempt, name: str, call: Call) -> None:
        """Handles the node's answer to a set-up, or the end of its connection."""
        if attempt.allocation is None or attempt.allocation.name != name or attempt.call is not call:
            return
        attempt.call = None
        if call.status is None:
            self.concurrency.for_node(attempt.allocation.node).record_failure()
            return self.apply(attempt, attempt.allocation.connection_lost(call.written, call.size))
        attempt.node_time_ms += max(0.0, self.loop.now - attempt.set_up_sent_at)
        self.concurrency.for_node(attempt.allocation.node).record_answer(max(0.0, self.loop.now - attempt.set_up_sent_at))
        report, notes, well_formed = (), [], True
        try:
            report, notes = frames.read_set_up_answer(call.body, self.house.deployment.reports)
        except frames.MalformedFrame as error:
            well_formed = False
            self.watch("bad answer", node=attempt.allocation.node, reason=str(error))
        self.apply(attempt, attempt.allocation.answered(self.loop.now, call.status, well_formed), report)
        for kind, value in notes:
            if attempt.playing:
                self.feed(self.controller.update_play, self.loop.now, attempt.id, attempt.allocation.node, kind, value)

    def set_up_timed_out(self, attempt: Attempt, name: str) -> None:
        """Handles a set-up that was not answered by its deadline."""
        attempt.allocation_timer = None
        if attempt.allocation is not None and attempt.allocation.name == name:
            self.concurrency.for_node(attempt.allocation.node).record_failure()
        self.apply_by_name(attempt, name, Allocation.timed_out, self.loop.now, *bytes_written(attempt))

    def lease_timed_out(self, attempt: Attempt, name: str) -> None:
        """Handles the end of a lease whose release was not acknowledged."""
        attempt.allocation_timer = None
        self.apply_by_name(attempt, name, Allocation.lease_expired, self.loop.now)

    # Actions of the allocation's state machine

    def apply(self, attempt: Attempt, actions: AllocationActions, report: tuple = ()) -> None:
        """Carries out what the allocation's state machine asks for; `report` is the node's load report, passed on with the allocation's end."""
        allocation = attempt.allocation
        if actions.drop_call and attempt.call is not None:
            call, attempt.call = attempt.call, None
            if not call.withdraw():
                call.abort("cancelled")
        link = self.fleet.links.get(allocation.node)
        if actions.release:
            if link is not None:
                link.release(allocation.name)
            if attempt.allocation_timer is not None:
                attempt.allocation_timer.cancel()
            attempt.allocation_timer = self.loop.call_at(max(allocation.set_release_deadline(self.loop.now), self.loop.now), lambda: self.lease_timed_out(attempt, allocation.name))
        if actions.confirm and link is not None:
            link.confirm(allocation.name)
        if actions.playing:
            self.begin_play(attempt)
        if actions.ended is not None:
            self.allocation_ended(attempt, actions.ended, report)

    def begin_play(self, attempt: Attempt) -> None:
        """Answers the viewer that its play begins, on the node that has set it up."""
        allocation, now = attempt.allocation, self.loop.now
        attempt.stop_timers()
        # The viewer left, or was answered, in the same turn
        if not attempt.claim_answer():
            return self.apply(attempt, allocation.viewer_left(0, 0))
        self.waiting -= 1
        self.active_plays += 1
        attempt.playing = True
        link = self.fleet.links.get(allocation.node)
        self.watch("answer", play=attempt.id, answer="playing", product=attempt.request.product, tries=attempt.previous.attempts,
                   own_ms=self.loop.read_clock() - attempt.requested_at - attempt.node_time_ms, first_ms=now - attempt.requested_at, reason="")
        attempt.exchange.begin(200, frames.playing(tokens.sign(self.house.keys, attempt.previous), allocation.node,
                                                   link.address if link else ("", 0), allocation.name, allocation.rung, self.rate(attempt)))
        self.feed(self.controller.play_started, now, attempt.id, allocation.number, now - allocation.requested_at, allocation.node)

    def allocation_ended(self, attempt: Attempt, outcome: str, report: tuple) -> None:
        """Reports an allocation that no node holds any longer to the controller, and the end of a play to its viewer."""
        allocation = attempt.allocation
        self.attempts_by_allocation.pop(allocation.name, None)
        self.attempts_by_node.get(allocation.node, {}).pop(allocation.name, None)
        if attempt.allocation_timer is not None:
            attempt.allocation_timer.cancel()
            attempt.allocation_timer = None
        if attempt.call is not None:
            call, attempt.call = attempt.call, None
            call.abort("the allocation is over")
        self.watch("ended", play=attempt.id, node=allocation.node, outcome=outcome, number=allocation.number)
        attempt.play_state.allocation_ended(outcome)
        if self.observer is not None:
            self.observer.ended(allocation.node, outcome)
        if not (attempt.viewer_gone or attempt.answered) and attempt.play_state.allocations_exhausted():
            self.finish(attempt, *attempt.play_state.final_answer(self.random_fraction()), reason=ATTEMPTS_EXHAUSTED)
        over = attempt.viewer_gone or attempt.answered
        self.feed(self.controller.allocation_ended, self.loop.now, attempt.id, allocation.number, outcome, allocation.node, over, report)
        if not over:
            return
        if attempt.playing:
            self.active_plays -= 1
            if not attempt.viewer_gone:
                attempt.exchange.push(frames.event(attempt.end_event or EVENT_BY_OUTCOME.get(outcome, LOST)))
                attempt.exchange.finish()
        self.forget(attempt)

    def rate(self, attempt: Attempt) -> float:
        """The rate that the allocation's rung demands of a link, kB/s."""
        deployment = attempt.deployment
        return deployment.ladder[attempt.allocation.rung] * deployment.products[attempt.product].scale

    def probe(self, node: int) -> None:
        """Asks a node for its load; the result goes to the controller in a later turn."""
        link, asked_at = self.fleet.links.get(node), self.loop.now
        if link is None:
            return self.loop.call_soon(lambda: self.feed(self.controller.probe_ended, self.loop.now, node, interface.UNREACHABLE, 0.0, ()))
        return link.probe(lambda call: self.probe_ended(node, asked_at, call))

    def probe_ended(self, node: int, asked_at: float, call: Call) -> None:
        """Reports a probe's result to the controller."""
        outcome, report = interface.TIMED_OUT if call.status is None else PROBE_OUTCOMES.get(call.status, interface.ERROR), ()
        if call.connection_refused:
            outcome = interface.UNREACHABLE
        if outcome == interface.SERVED:
            try:
                report = frames.read_probe_answer(call.body, self.house.deployment.reports)
            except frames.MalformedFrame as error:
                outcome = interface.ERROR
                self.watch("bad answer", node=node, reason=str(error))
        self.feed(self.controller.probe_ended, self.loop.now, node, outcome, self.loop.now - asked_at, report)

    def change_rung(self, attempt: Attempt, rung: int) -> None:
        """Changes the rung of a running play and tells its node and its viewer."""
        allocation = attempt.allocation
        link = self.fleet.links.get(allocation.node) if allocation is not None else None
        if allocation is None or allocation.state != allocation_machine.HELD or link is None:
            return
        allocation.rung = rung
        link.rung(allocation.name, rung, self.rate(attempt))
        attempt.exchange.push(frames.event("rung", rung=rung))

    def remove_from_node(self, attempt: Attempt, reason: str) -> None:
        """Ends a running play on its node; the viewer is told `reason` once the node has released it. With LOST the controller is told that the play broke."""
        if attempt.allocation is not None and attempt.playing and not attempt.viewer_gone:
            attempt.end_event = attempt.end_event or reason
            self.apply(attempt, attempt.allocation.stalled() if reason == LOST else attempt.allocation.moved())

    def release(self, attempt: Attempt) -> None:
        """Releases the attempt's allocation at its node, without waiting for the acknowledgement."""
        link = self.fleet.links.get(attempt.allocation.node) if attempt.allocation else None
        if link is not None:
            link.release(attempt.allocation.name)


def bytes_written(attempt: Attempt) -> tuple[int, int]:
    """Returns how many bytes of the set-up were written, and its size; (0, 1) for a set-up that has no connection yet."""
    call = attempt.call
    return (0, 1) if call is None else (call.written, call.size)

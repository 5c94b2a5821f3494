"""What a director does with an allocation, from the module's choice of a node to its end: it carries out what allocation.py and play.py decide.

Part of Director, which holds the state; kept apart for its length. Facts from the sockets go to the allocation, its steps come back: confirm, release, the play's
beginning, its end.
"""
from typing import Callable

from laddergw import interface as face
from laddergw.machines import allocation as alloc
from laddergw.director import frames, tokens
from laddergw.machines.allocation import Allocation, AllocationActions
from laddergw.machines.play import ATTEMPTS_EXHAUSTED
from laddergw.director.link import Link
from laddergw.director.attempts import Attempt
from laddergw.http.client import Call

ENDED, MOVED, STOPPED, LOST = "ended", "moved", "director stops", "broken"
PROBE_OUTCOMES = {200: face.SERVED, 429: face.FULL, 503: face.FULL}
TOLD_TO_VIEWER = {face.SERVED: ENDED, face.BROKEN: LOST}


class AllocationCalls:
    """Allocations carried out. See the module."""

    def allocate(self, ply: Attempt, verdict: face.Verdict) -> None:
        now, life = self.loop.now, ply.life
        number, pause = life.attempts_made, life.next_pause_ms()
        name = f"{self.name}.{ply.id}.{number}"
        spent = self.budgets.may_retry(ply.budgets, now) if number else None
        ply.allocation = a = life.allocate(name, ply.id, verdict.node, verdict.rung, verdict.timeout_ms, now)
        timeout = a.set_up_deadline - now - pause
        self.attempts_by_allocation[name] = ply
        self.attempts_by_node.setdefault(verdict.node, {})[name] = ply
        self.watch("allocate", play=ply.id, node=verdict.node, rung=verdict.rung, number=number, timeout_ms=timeout)
        link = self.fleet.links.get(verdict.node)
        if timeout <= 0 or link is None or spent is not None:
            if spent is not None:
                self.watch("budget spent", play=ply.id, budget=spent)
                life.exhaust_attempts()
            return self.loop.call_soon(lambda: self.apply_to(ply, name, Allocation.withdrawn))
        ply.lease_timer = self.loop.call_at(a.set_up_deadline, lambda: self.set_up_timed_out(ply, name))
        if pause:
            return self.loop.call_later(pause, lambda: self.connect(ply, verdict.node, name)) and None
        return self.connect(ply, verdict.node, name)

    def connect(self, ply: Attempt, node: int, name: str) -> None:
        """Its pause is over: the set-up goes out, and must begin to leave within its terms' time."""
        link = self.fleet.links.get(node)
        if link is None:
            return self.apply_to(ply, name, Allocation.withdrawn)
        ply.sent_at = self.loop.read_clock()
        connect = ply.life.terms.connect_ms
        if connect < ply.allocation.set_up_deadline - self.loop.now:
            self.loop.call_later(connect, lambda: not written(ply)[0] and self.apply_to(ply, name, Allocation.timed_out, self.loop.now, 0, 1))
        return self.send_set_up(ply, link, name)

    def apply_to(self, ply: Attempt, name: str, fact: Callable[..., AllocationActions], *args) -> None:
        """A fact about an allocation by name: nothing where the try has another by now."""
        if ply.allocation is not None and ply.allocation.name == name:
            self.apply(ply, fact(ply.allocation, *args))

    def send_set_up(self, ply: Attempt, link: Link, name: str) -> None:
        a, r = ply.allocation, ply.request
        if a is None or a.name != name or a.state != alloc.WAITING:
            return
        left_ms = a.lease_ends_at - self.loop.now

        def body(session) -> bytes:
            return frames.set_up(session.name, name, r.key, r.product, r.title, a.rung, self.rate(ply),
                                 session.until(self.loop.now, left_ms), r.length_ms)
        label = {"allocation": name, "node": a.node, "try": ply.id, "number": a.number, "play": r.key}
        ply.call = link.set_up(body, lambda call: self.set_up_ended(ply, name, call), label)
        if ply.call is None:                     # the session is being opened: the set-up waits for it, unwritten
            link.when_up(lambda: self.send_set_up(ply, link, name))

    def set_up_ended(self, ply: Attempt, name: str, call: Call) -> None:
        if ply.allocation is None or ply.allocation.name != name or ply.call is not call:
            return
        ply.call = None
        if call.status is None:
            self.room.for_node(ply.allocation.node).record_failure()
            return self.apply(ply, ply.allocation.connection_lost(call.written, call.size))
        ply.node_ms += max(0.0, self.loop.now - ply.sent_at)
        self.room.for_node(ply.allocation.node).record_answer(max(0.0, self.loop.now - ply.sent_at))
        report, notes, sound = (), [], True
        try:
            report, notes = frames.read_set_up_answer(call.body, self.house.deployment.reports)
        except frames.MalformedFrame as error:
            sound = False
            self.watch("bad answer", node=ply.allocation.node, reason=str(error))
        self.apply(ply, ply.allocation.answered(self.loop.now, call.status, sound), report)
        for kind, value in notes:
            if ply.playing:
                self.feed(self.controller.update_play, self.loop.now, ply.id, ply.allocation.node, kind, value)

    def set_up_timed_out(self, ply: Attempt, name: str) -> None:
        ply.lease_timer = None
        if ply.allocation is not None and ply.allocation.name == name:
            self.room.for_node(ply.allocation.node).record_failure()
        self.apply_to(ply, name, Allocation.timed_out, self.loop.now, *written(ply))

    def lease_over(self, ply: Attempt, name: str) -> None:
        ply.lease_timer = None
        self.apply_to(ply, name, Allocation.lease_expired, self.loop.now)

    # What follows from an allocation's step

    def apply(self, ply: Attempt, step: AllocationActions, report: tuple = ()) -> None:
        a = ply.allocation
        if step.drop_call and ply.call is not None:
            call, ply.call = ply.call, None
            if not call.withdraw():
                call.abort("given up")
        link = self.fleet.links.get(a.node)
        if step.release:
            if link is not None:
                link.release(a.name)
            if ply.lease_timer is not None:
                ply.lease_timer.cancel()
            ply.lease_timer = self.loop.call_at(max(a.set_release_deadline(self.loop.now), self.loop.now), lambda: self.lease_over(ply, a.name))
        if step.confirm and link is not None:
            link.confirm(a.name)
        if step.playing:
            self.begin_play(ply)
        if step.ended is not None:
            self.allocation_ended(ply, step.ended, report)

    def begin_play(self, ply: Attempt) -> None:
        a, now = ply.allocation, self.loop.now
        ply.stop_timers()
        if not ply.settle():                     # the viewer left, or was answered, in this very turn
            return self.apply(ply, a.viewer_left(0, 0))
        self.waiting -= 1
        self.active_plays += 1
        ply.playing = True
        link = self.fleet.links.get(a.node)
        self.watch("answer", play=ply.id, answer="playing", product=ply.request.product, tries=ply.earlier.tries,
                   own_ms=self.loop.read_clock() - ply.asked_at - ply.node_ms, first_ms=now - ply.asked_at, reason="")
        ply.exchange.begin(200, frames.playing(tokens.sign(self.house.keys, ply.earlier), a.node,
                                               link.address if link else ("", 0), a.name, a.rung, self.rate(ply)))
        self.feed(self.controller.play_started, now, ply.id, a.number, now - a.requested_at, a.node)

    def allocation_ended(self, ply: Attempt, outcome: str, report: tuple) -> None:
        """The allocation can be out no more: the module is told, and the viewer of a play that has ended."""
        a = ply.allocation
        self.attempts_by_allocation.pop(a.name, None)
        self.attempts_by_node.get(a.node, {}).pop(a.name, None)
        if ply.lease_timer is not None:
            ply.lease_timer.cancel()
            ply.lease_timer = None
        if ply.call is not None:
            call, ply.call = ply.call, None
            call.abort("the allocation is over")
        self.watch("ended", play=ply.id, node=a.node, outcome=outcome, number=a.number)
        ply.life.allocation_ended(outcome)
        if self.observer is not None:
            self.observer.ended(a.node, outcome)
        if not (ply.left or ply.answered) and ply.life.attempts_exhausted():      # what its terms allow has been tried
            self.finish(ply, *ply.life.final_answer(self.random_fraction()), reason=ATTEMPTS_EXHAUSTED)
        over = ply.left or ply.answered
        self.feed(self.controller.allocation_ended, self.loop.now, ply.id, a.number, outcome, a.node, over, report)
        if not over:
            return
        if ply.playing:
            self.active_plays -= 1
            if not ply.left:
                ply.exchange.push(frames.event(ply.ending or TOLD_TO_VIEWER.get(outcome, LOST)))
                ply.exchange.finish()
        self.forget(ply)

    def rate(self, ply: Attempt) -> float:
        """What its rung asks of a link, kB a second."""
        deployment = ply.deployment
        return deployment.ladder[ply.allocation.rung] * deployment.products[ply.product].scale

    def probe(self, node: int) -> None:
        """Asks a node for its load; the module hears what came, in a later turn."""
        link, asked_at = self.fleet.links.get(node), self.loop.now
        if link is None:
            return self.loop.call_soon(lambda: self.feed(self.controller.probe_ended, self.loop.now, node, face.UNREACHABLE, 0.0, ()))
        return link.probe(lambda call: self.probe_ended(node, asked_at, call))

    def probe_ended(self, node: int, asked_at: float, call: Call) -> None:
        outcome, report = face.TIMED_OUT if call.status is None else PROBE_OUTCOMES.get(call.status, face.ERROR), ()
        if call.connection_refused:
            outcome = face.UNREACHABLE
        if outcome == face.SERVED:
            try:
                report = frames.read_probe_answer(call.body, self.house.deployment.reports)
            except frames.MalformedFrame as error:
                outcome = face.ERROR
                self.watch("bad answer", node=node, reason=str(error))
        self.feed(self.controller.probe_ended, self.loop.now, node, outcome, self.loop.now - asked_at, report)

    def change_rung(self, ply: Attempt, rung: int) -> None:
        a = ply.allocation
        link = self.fleet.links.get(a.node) if a is not None else None
        if a is None or a.state != alloc.HELD or link is None:
            return
        a.rung = rung
        link.rung(a.name, rung, self.rate(ply))
        ply.exchange.push(frames.event("rung", rung=rung))

    def remove_from_node(self, ply: Attempt, why: str) -> None:
        """Takes a playing play off its node; its viewer is told once the node has let go. As LOST the module hears that it broke."""
        if ply.allocation is not None and ply.playing and not ply.left:
            ply.ending = ply.ending or why
            self.apply(ply, ply.allocation.stalled() if why == LOST else ply.allocation.moved())

    def release(self, ply: Attempt) -> None:
        link = self.fleet.links.get(ply.allocation.node) if ply.allocation else None
        if link is not None:
            link.release(ply.allocation.name)


def written(ply: Attempt) -> tuple[int, int]:
    """Bytes of its set-up that left, and all of them; a set-up not yet handed to a connection counts as none of one."""
    call = ply.call
    return (0, 1) if call is None else (call.written, call.size)

"""The real director: hosts the Controller between viewers and media nodes of the platform.

Order within a turn as in every director: what was read is told, then timers, then `decide`. Each set-up is answered in
`stand` or `finish`, and both take it out of the open plays first, so that one answer goes out whatever comes together.
"""
import logging
import time
from collections import Counter

from laddergw import interface as face
from laddergw.control import Controller
from laddergw.hosting import Hosting
from laddergw.platform import allocation as life
from laddergw.platform import requests
from laddergw.platform.assignment import Assignment
from laddergw.platform.following import Follower
from laddergw.platform.nodes import Line, Node, Nodes
from laddergw.platform.viewers import OPEN_MOST, Door, Viewer
from laddergw.signalling import binary, changes, rtsp

STATES = {"SERVING": face.READY, "DRAINING": face.DRAINING, "DELETED": face.GONE}
NOTES = {"got": face.DELIVERED, "level": face.RUNG_NOW, "port": face.LINK_ASKED, "spine": face.UPLINK_ASKED}
DECLINED, FAILED, ENDED, BROKEN = 42, 41, 16, 41     # causes: of refusals, and of releases of what stood
VIEWERS_PART, NODES_PART = 0.5, 0.35   # of the descriptors: viewers hold a third by the protocol; some are ours
EARLY_MS = 20.0            # answers are due so long before the viewer's time limit: its clock began before ours
GUARD_MS = 10.0            # past the module's own time-out at the limit, which it answers by the play's terms
STOP_LEAST_MS = 1_000.0    # viewers come for 0.7 s after the order to stop
STOP_AFTER_MS = 350.0      # past the longest time limit all is released; the process is killed 0.7 s past it,
STOP_LIMIT_MS = 3_000.0    # a longer limit counting as this
HEAR_MS, HEAR_LOOK_MS = 250.0, 10.0   # its end waits so long for viewers to hear their releases; pace of looking
TELL_MS = 10_000.0         # pace of the line of counts in the log
TOLD_MOST = 40             # unusable set-ups told in the log: a flood must not fill it

log = logging.getLogger("laddergw.platform")


class Play:
    """One play, from its set-up to its release."""

    def __init__(self, request: requests.Request, session: str, viewer: Viewer | None):
        self.request, self.session, self.id, self.viewer = request, session, request.ask.play, viewer
        self.node: Node | None = None            # where its allocation is
        self.line: Line | None = None            # where its set-up is open
        self.number, self.sent_at = -1, 0.0      # of its allocation
        self.timer = self.guard = None
        self.stands = False

    def stop_timers(self) -> None:
        for timer in self.timer, self.guard:
            if timer is not None:
                timer.cancel()
        self.timer = self.guard = None


class Director(Hosting):
    """See the module."""

    def __init__(self, loop, assignment: Assignment):
        self.loop, self.assignment = loop, assignment
        self.epoch = time.time() * 1000 - loop.now   # the Unix clock over the loop's, for starts told in it
        self.counts: Counter = Counter()
        self.open: dict[str, Play] = {}              # plays that wait for their answer, by session
        self.standing: dict[str, Play] = {}
        self.stopping: float | None = None           # since when
        self.controller = Controller(assignment.deployment, assignment.seed, loop.now)
        self.nodes = Nodes(loop, self, int(NODES_PART * assignment.sockets), assignment.connect_ms)
        for event in assignment.known:
            self.listed(event)
        self.door = Door(loop, self, assignment.listen, int(VIEWERS_PART * assignment.sockets))
        self.follower = Follower(loop, assignment.changelog, assignment.last, self.listed)
        loop.at_turn_end(self.turn_ends)
        loop.after(TELL_MS, self.tell_counts)
        self.feed(self.controller.wake, loop.now)

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def tell_counts(self) -> None:
        self.loop.after(TELL_MS, self.tell_counts)
        log.info("open %d, standing %d, viewers %d, lines %d, lag %.0f ms; %s", len(self.open), len(self.standing), len(self.door.viewers),
                 self.nodes.lines(), self.loop.worst_lag, ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items())))
        self.loop.worst_lag = 0.0

    # The configuration, the list, and the process's end

    def change(self, assignment: Assignment) -> None:
        """The file read anew: its list and change log hold at once, its terms for plays that come from now on."""
        before, self.assignment = self.assignment, assignment
        for event in assignment.known:
            if event.number > self.follower.last:
                self.follower.last = event.number
                self.listed(event)
        if assignment.changelog != before.changelog:
            self.follower.switch(assignment.changelog)
        if assignment.deployment != before.deployment:
            self.feed(self.controller.retold, self.loop.now, assignment.deployment)

    def listed(self, event: changes.Event) -> None:
        lines, stopped = [], []
        named = {member.id for member in event.members}
        if event.whole:
            for node in self.nodes.by_id.values():
                if node.id not in named:
                    node.gone = True
                    stopped.append(node)
        for member in event.members:
            if member.state == "DELETED" and member.id not in self.nodes.by_id:
                continue
            node = self.nodes.node_of(member)
            if member.since > node.since:            # its process is another one: what stood at the last is over
                node.lose("started anew")
                node.since = member.since
            node.gone = member.state == "DELETED"
            if member.state != "SERVING":
                stopped.append(node)
            lines.append(face.NodeLine(node.number, member.cell, member.weight, STATES[member.state],
                                       member.since - self.epoch if member.since else 0.0,
                                       self.assignment.kinds.get(member.kind, 0), self.assignment.zones.get(member.zone, 0)))
        self.feed(self.controller.listed, self.loop.now, lines, event.whole)
        for node in stopped:                         # a set-up that has not left yet does not go there any more
            for ply in list(node.open.values()):
                if ply.line is not None and ply.line.state(ply.session) == life.UNSENT:
                    self.drop_set_up(ply, life.TAKEN_BACK)

    def stop(self) -> None:
        """Takes nothing new; what stands goes on while it may."""
        if self.stopping is None:
            self.stopping = self.loop.now
            log.info("stopping: open %d, standing %d", len(self.open), len(self.standing))
            self.loop.after(STOP_LEAST_MS, lambda: None)
            self.loop.after(min(self.assignment.longest_ms, STOP_LIMIT_MS) + STOP_AFTER_MS, self.end_all)

    def end_all(self) -> None:
        for ply in list(self.open.values()):
            self.finish(ply, FAILED)
        for ply in list(self.standing.values()):
            self.release(ply)
            self.settle_standing(ply)
            self.door.send(ply.viewer, binary.RELEASE, ply.session, (binary.CAUSE, bytes([BROKEN])))
        self.leave(self.loop.now + HEAR_MS)

    def leave(self, latest: float) -> None:
        """Ends the process once its releases are heard: a connection that ends with something unread takes them along."""
        if not self.door.unheard or self.loop.now >= latest:
            self.loop.stop()
        else:
            self.loop.after(HEAR_LOOK_MS, lambda: self.leave(latest))

    def collapse(self) -> None:
        self.end_all()

    def turn_ends(self) -> None:
        self.decide()
        if self.stopping is not None and not (self.open or self.standing or self.door.unheard) and self.loop.now - self.stopping >= STOP_LEAST_MS:
            self.loop.stop()

    # Viewers

    def heard(self, viewer: Viewer, message: binary.Message) -> None:
        if message.kind == binary.SET_UP:
            self.asked(viewer, message)
        elif message.kind == binary.RELEASE:
            self.viewer_ends(viewer, message.session)
        elif message.kind == binary.TEST:
            viewer.write(binary.TESTED, message.session, (binary.CAUSE, bytes([self.stopping is None])))
        elif message.kind == binary.HEARD:
            self.door.heard(message.session)
        elif message.kind != binary.PROGRESS:
            viewer.close("a director's message")

    def asked(self, viewer: Viewer, message: binary.Message) -> None:
        session = message.session
        if session in self.open or (session in self.standing and not self.takes_over(message)):
            return viewer.close("a session that is there")   # an answer on it would be the other's
        try:
            request = requests.read(message, self.assignment)
        except requests.Unusable as error:
            self.count("unusable")
            if self.counts["unusable"] <= TOLD_MOST:
                log.info("unusable: %s", error)
            return viewer.refuse(session)
        viewer.spoke = True
        if request.at:
            return self.handed_over(viewer, session, request)
        if self.broken or self.stopping is not None or len(viewer.plays) >= OPEN_MOST:
            self.count("turned away")
            return viewer.refuse(session, DECLINED, self.away(self.assignment.deployment.retry_max_ms))
        self.count("asked")
        ply = self.open[session] = viewer.plays[session] = Play(request, session, viewer)
        wait = max(0.0, request.ask.wait_ms - self.loop.stalled - EARLY_MS)
        ply.guard = self.loop.after(wait + GUARD_MS, lambda: self.overdue(ply))
        return self.feed(self.controller.asked, self.loop.now, request.ask._replace(wait_ms=wait))

    def takes_over(self, message: binary.Message) -> bool:
        return b"at:" in (message.parameters or {}).get(binary.FIGURES, b"")

    def handed_over(self, viewer: Viewer, session: str, request: requests.Request) -> None:
        """A play that stands at a node already; it may be one that is held here."""
        node = self.nodes.by_id.get(request.at)
        if node is None or node.gone:
            self.count("handed over from nowhere")
            return viewer.refuse(session)
        self.door.prove(viewer)
        if session not in self.standing:
            self.count("handed over")
            ply = self.standing[session] = node.held[session] = Play(request, session, viewer)
            ply.node, ply.number, ply.stands = node, 0, True
            self.feed(self.controller.handed_over, self.loop.now, request.ask, node.number)
            if not node.lines and self.nodes.room(of_held=False):
                node.dial()                          # what the node tells of it comes on any connection
        return None

    def away(self, ms: float | None) -> tuple[int, bytes]:
        return binary.AWAY, b"%d" % (ms or 0)

    def viewer_ends(self, viewer: Viewer, session: str) -> None:
        if ply := self.standing.get(session):        # it gave up as our answer left: what stood is released to it too
            log.debug("%s.%d: ended by its viewer", ply.session, ply.number)
            self.release(ply)
            self.door.send(viewer, binary.RELEASE, session, (binary.CAUSE, bytes([ENDED])))
            self.feed(self.controller.left, self.loop.now, ply.id)
            self.ended(ply, life.HELD, life.GIVEN_UP)
        elif (ply := self.open.get(session)) and ply.viewer is viewer:
            return self.given_up(ply)
        return viewer.write(binary.HEARD, session)

    def given_up(self, ply: Play) -> None:
        """The viewer waits no more: no answer is owed, and its allocation ends."""
        if self.open.pop(ply.session, None) is None:
            return
        log.debug("%s: given up by its viewer", ply.session)
        self.count("given up")
        ply.viewer.plays.pop(ply.session, None)
        ply.stop_timers()
        self.feed(self.controller.left, self.loop.now, ply.id)
        if ply.line is not None:
            self.drop_set_up(ply, life.GIVEN_UP)

    def overdue(self, ply: Play) -> None:
        """The last guard of the one answer: whatever holds it up, it is failed in time."""
        ply.guard = None
        if ply.session in self.open:
            self.count("overdue")
            self.feed(self.controller.left, self.loop.now, ply.id)
            if ply.session in self.open:
                self.finish(ply, FAILED)

    def finish(self, ply: Play, cause: int, *more: tuple[int, bytes]) -> None:
        """The final answer of a play that does not stand."""
        if self.open.pop(ply.session, None) is None:
            return
        ply.viewer.plays.pop(ply.session, None)
        ply.stop_timers()
        log.debug("%s: answered with cause %d", ply.session, cause)
        self.count("declined" if cause == DECLINED else "failed")
        ply.viewer.refuse(ply.session, cause, *more)
        if ply.line is not None:
            self.drop_set_up(ply, life.GIVEN_UP)

    def stand(self, ply: Play, description: bytes) -> None:
        """The play stands: its viewer gets the description that its node gave."""
        del self.open[ply.session]
        ply.viewer.plays.pop(ply.session, None)
        ply.stop_timers()
        ply.stands = True
        self.standing[ply.session] = ply.node.held[ply.session] = ply
        ply.viewer.write(binary.ANSWER, ply.session, (binary.DESCRIPTION, description))
        self.door.prove(ply.viewer)
        log.debug("%s.%d: plays", ply.session, ply.number)
        self.count("playing")
        self.feed(self.controller.playing, self.loop.now, ply.id, ply.number, self.loop.now - ply.sent_at, ply.node.number)

    # Verdicts

    def carry_out(self, verdict: face.Verdict) -> None:
        ply = self.open.get(f"{verdict.play:016x}") or self.standing.get(f"{verdict.play:016x}") if verdict.play is not None else None
        if ply is None:
            return
        if verdict.node is not None:
            self.allocate(ply, verdict)
        elif verdict.answer is not None:
            declined = verdict.answer == face.DECLINED
            self.finish(ply, DECLINED if declined else FAILED, *([self.away(verdict.retry_ms)] if declined else ()))
        elif verdict.move and ply.stands:
            self.release(ply)
            self.door.send(ply.viewer, binary.MOVE, ply.session)
            self.ended(ply, life.HELD, life.GIVEN_UP)
        elif verdict.rung is not None and ply.stands:
            self.count("steps")
            self.say(ply.node, rtsp.request("SET_PARAMETER", ply.request.title, ply.session, (("Rate-Step", str(verdict.rung)),)))

    def allocate(self, ply: Play, verdict: face.Verdict) -> None:
        ply.number, ply.sent_at = ply.number + 1, self.loop.now
        node = ply.node = self.nodes.by_number.get(verdict.node)
        line = None if node is None or node.gone or verdict.timeout_ms <= 0 else node.free_line()
        if line is None:
            self.loop.soon(lambda: self.tell_end(ply, face.NEVER_SENT))
            return
        r = ply.request
        node.open[ply.session], ply.line = ply, line
        line.set_up(ply, rtsp.request("SETUP", r.title, ply.session, (
            ("Subject", r.product), ("X-Patience", str(max(1, int(verdict.timeout_ms)))), ("Rate-Step", str(verdict.rung))), r.description))
        log.debug("%s.%d %s: to node %s on %s, time-out %.0f ms", ply.session, ply.number, r.product, node.id, ply.line, verdict.timeout_ms)
        ply.timer = self.loop.after(verdict.timeout_ms, lambda: self.late(ply))

    def say(self, node: Node, data: bytes) -> None:
        """To a node about a play that stands, on any connection."""
        line = next((line for line in node.lines if line.up and not line.plays), None) or next(iter(node.lines), None)
        if line is None:
            if node.gone:
                return
            self.nodes.room(of_held=True)            # past the bound all the same: what ends a play must leave
            line = node.dial()
        line.stream.write(data)

    def release(self, ply: Play) -> None:
        self.say(ply.node, rtsp.request("TEARDOWN", ply.request.title, ply.session, (("Reason", f"cause={ENDED}"),)))

    # Media nodes

    def answered(self, node: Node, line: Line, message: rtsp.Message) -> None:
        ply = line.plays[message.session]
        fact = life.answer(message.status)
        if fact == life.THERE and not message.body:
            line.end(life.SPOILT)                    # an answer without its description cannot be passed on
            return node.renew()
        state = line.settle(ply.session)
        ply.line = None
        node.open.pop(ply.session, None)
        if fact == life.THERE:
            return self.stand(ply, message.body)
        return self.ended(ply, state, fact, self.report(message))

    def report(self, message: rtsp.Message) -> tuple:
        """The load report of a message, in the order that the settings name its values, or nothing."""
        values = {}
        for part in message.headers.get("x-state", "").split(";"):
            name, _, text = part.partition(":")
            if requests.FIGURE.fullmatch(text):
                values[name] = float(text)
        names = self.assignment.deployment.reports
        return tuple(values[name] for name in names) if values and all(name in values for name in names) else ()

    def told(self, node: Node, line: Line, message: rtsp.Message) -> None:
        """A media node speaks of a play: a note, or its release."""
        ply = node.held.get(message.session) or line.plays.get(message.session)
        if message.method == "TEARDOWN":
            line.stream.write(rtsp.answer(200, "OK", message.sequence or "2", message.session))
            if ply is not None:
                cause = message.headers.get("reason", "").removeprefix("cause=")
                log.debug("%s.%d: released by its node, cause %s", ply.session, ply.number, cause[:8])
                state = life.HELD if ply.stands else line.state(ply.session)
                self.ended(ply, state, life.end(int(cause) if cause.isdigit() else 0), self.report(message))
        elif message.method == "ANNOUNCE" and ply is not None and ply.stands:
            kind, value = NOTES.get(message.headers.get("x-note", "")), message.headers.get("figure", "")
            if kind is not None and requests.FIGURE.fullmatch(value):
                self.feed(self.controller.note, self.loop.now, ply.id, node.number, kind, float(value))

    def late(self, ply: Play) -> None:
        """The module's time-out for this allocation."""
        ply.timer = None
        self.drop_set_up(ply, life.LATE)

    def drop_set_up(self, ply: Play, fact: str) -> None:
        """Gives a set-up up. Its connection ends too: what may still come on it belongs to nobody."""
        line = ply.line
        log.debug("%s.%d: %s on %s, set-up ends at byte %d", ply.session, ply.number, fact, line, line.ends[ply.session])
        state = line.give_up(ply.session)
        if state == life.OUT:
            line.stream.write(rtsp.request("TEARDOWN", ply.request.title, ply.session))
        if not line.plays and line in line.node.lines:
            line.node.lines.remove(line)
            line.stream.close()
            line.node.renew()
        self.ended(ply, state, fact)

    def ended(self, ply: Play, state: str, fact: str, report: tuple = ()) -> None:
        """An allocation has ended; the module is told, and a viewer whose play stood."""
        outcome = life.outcome(state, fact)
        if outcome is None:
            return
        if ply.stands:
            self.settle_standing(ply)
            if fact != life.GIVEN_UP:        # also who left: our answer may still be on its way to it, and be all that it gets
                self.door.send(ply.viewer, binary.RELEASE, ply.session, (binary.CAUSE, bytes([BROKEN if fact in (life.BROKEN_OFF, life.LOST) else ENDED])))
        elif ply.line is not None:
            if ply.session in ply.line.plays:
                ply.line.settle(ply.session)
            ply.line = None
            ply.node.open.pop(ply.session, None)
        self.tell_end(ply, outcome, report)

    def settle_standing(self, ply: Play) -> None:
        self.standing.pop(ply.session, None)
        ply.node.held.pop(ply.session, None)

    def tell_end(self, ply: Play, outcome: str, report: tuple = ()) -> None:
        if ply.timer is not None:
            ply.timer.cancel()
            ply.timer = None
        log.debug("%s.%d: ends, %s", ply.session, ply.number, outcome)
        self.count(("stood: " if ply.stands else "set-up: ") + outcome)
        over = ply.stands or ply.session not in self.open
        self.feed(self.controller.ended, self.loop.now, ply.id, ply.number, outcome, ply.node.number if ply.node else 0, over, report)
        self.redo = True


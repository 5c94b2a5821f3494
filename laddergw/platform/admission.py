"""The viewers' side of plays: each set-up is taken in once and gets its one answer.

It is answered in `stand` or `finish`, and both take it out of the open plays first, so that one
answer goes out whatever comes together.
"""

import logging

from laddergw.platform import allocation, requests
from laddergw.platform.causes import DECLINED, ENDED, FAILED
from laddergw.platform.plays import Play
from laddergw.platform.viewers import OPEN_MOST, Viewer
from laddergw.signalling import binary

EARLY_MS = (
    20.0  # answers are due so long before the viewer's time limit: its clock began before ours
)
GUARD_MS = 10.0  # past the module's own time-out at the limit, which it answers by the play's terms
# what one peer says on two connections may cross for so long: the protocol's own time for a close
# and a set-up
CROSS_MS = 50.0
TOLD_MOST = 40  # unusable set-ups told in the log: a flood must not fill it

log = logging.getLogger("laddergw.platform")


class Admission:
    """Answers the viewers of the director's plays."""

    def __init__(self, director):
        self.director, self.count = director, director.count
        self.fresh: list[
            Play
            # plays that the module hears of at the turn's end: asked for, or an allocation over
        ] = []

    def heard(self, viewer: Viewer, message: binary.Message) -> None:
        if message.kind == binary.SET_UP:
            self.asked(viewer, message)
        elif message.kind == binary.RELEASE:
            self.viewer_ends(viewer, message.session)
        elif message.kind == binary.PING:
            viewer.write(
                binary.PONG,
                message.session,
                (binary.CAUSE, bytes([self.director.stopping is None])),
            )
        elif message.kind == binary.RELEASE_ACK:
            self.director.listener.releases.acknowledged(message.session)
        elif message.kind != binary.PROGRESS:
            viewer.close("a director's message")

    def asked(self, viewer: Viewer, message: binary.Message) -> None:
        session = message.session
        if session in self.director.open or (
            session in self.director.standing and not self.takes_over(message)
        ):
            return viewer.close("a session that is there")  # an answer on it would be the other's
        try:
            request = requests.read(message, self.director.assignment)
        except requests.UnusableError as error:
            self.director.count("unusable")
            if self.director.counts["unusable"] <= TOLD_MOST:
                log.info("%s: refused on %s, unusable: %s", session, viewer, error)
            return viewer.refuse(session)
        self.director.listener.spoke(viewer)
        if request.at:
            return self.handed_over(viewer, session, request)
        if (
            self.director.broken
            or self.director.stopping is not None
            or len(viewer.plays) >= OPEN_MOST
        ):
            why = (
                "the director stops"
                if self.director.stopping is not None
                else "the module failed"
                if self.director.broken
                else "too many on its connection"
            )
            log.debug("%s: refused on %s, %s", session, viewer, why)
            self.director.count("turned away: " + why)
            return viewer.refuse(
                session, DECLINED, self.away(self.director.assignment.deployment.retry_max_ms)
            )
        self.director.count("asked")
        log.debug(
            "%s: set-up of %s on %s, waits %.0f ms",
            session,
            request.product,
            viewer,
            request.ask.wait_ms,
        )
        play = self.director.open[session] = viewer.plays[session] = Play(request, session, viewer)
        play.limit = self.director.loop.now + max(
            0.0, request.ask.wait_ms - viewer.stalled - EARLY_MS
        )
        play.guard = self.director.loop.at(play.limit + GUARD_MS, lambda: self.overdue(play))
        return self.fresh.append(play)

    def take_in(self) -> None:
        """At a turn's end: asks for the plays that came in it, or goes on with those whose
        allocation is over. One whose connection has more
        to read waits for that: it may have been taken back there, or its viewer have left."""
        fresh, self.fresh = self.fresh, []
        for play in fresh:
            if self.director.open.get(play.session) is not play:
                continue
            if play.viewer.stream.more:
                self.fresh.append(play)
            elif play.untold is not None:
                self.director.allocating.ending.tell(play)
            else:
                ask = play.request.ask._replace(
                    wait_ms=max(0.0, play.limit - self.director.loop.now)
                )
                self.director.feed(self.director.controller.asked, self.director.loop.now, ask)

    def takes_over(self, message: binary.Message) -> bool:
        return b"at:" in (message.parameters or {}).get(binary.ATTRIBUTES, b"")

    def handed_over(self, viewer: Viewer, session: str, request: requests.Request) -> None:
        """A play that stands at a node already; it may be one that is held here."""
        node = self.director.nodes.by_id.get(request.at)
        if node is None or node.gone:
            log.info("%s: handed over from %s, which is not in the list", session, request.at)
            self.director.count("handed over from nowhere")
            return viewer.refuse(session)
        self.director.listener.prove(viewer)
        if session not in self.director.standing:
            self.director.count("handed over")
            log.debug("%s: handed over on %s, plays at node %s", session, viewer, node.id)
            play = self.director.standing[session] = node.held[session] = Play(
                request, session, viewer
            )
            play.node, play.number, play.stands = node, 0, True
            self.director.feed(
                self.director.controller.handed_over,
                self.director.loop.now,
                request.ask,
                node.number,
            )
            if not node.connections and self.director.nodes.room(of_held=False):
                node.dial()  # what the node tells of it comes on any connection
        return None

    def away(self, ms: float | None) -> tuple[int, bytes]:
        return binary.RETRY_AFTER, b"%d" % (ms or 0)

    def viewer_ends(self, viewer: Viewer, session: str) -> None:
        if play := self.director.standing.get(
            session
        ):  # it gave up as our answer left: what stood is released to it too
            log.debug("%s.%d: ended by its viewer on %s", play.session, play.number, viewer)
            self.director.allocating.release(play)
            self.director.listener.send(
                viewer, binary.RELEASE, session, (binary.CAUSE, bytes([ENDED]))
            )
            self.director.feed(self.director.controller.left, self.director.loop.now, play.id)
            self.director.allocating.ending.ended(play, allocation.HELD, allocation.GIVEN_UP)
        elif (play := self.director.open.get(session)) and play.viewer is viewer:
            return self.given_up(play)
        elif (
            session not in self.director.open
        ):  # its hand-over may be on its way on another connection
            self.director.loop.after(CROSS_MS, lambda: self.overtaken(viewer, session))
        return viewer.write(binary.RELEASE_ACK, session)

    def overtaken(self, viewer: Viewer, session: str) -> None:
        if (play := self.director.standing.get(session)) and play.request.at:
            self.viewer_ends(viewer, session)

    def given_up(self, play: Play) -> None:
        """The viewer waits no more: no answer is owed, and its allocation ends."""
        if self.director.open.pop(play.session, None) is None:
            return
        log.debug("%s: given up by its viewer", play.session)
        self.director.count("given up")
        play.viewer.plays.pop(play.session, None)
        play.stop_timers()
        self.director.feed(self.director.controller.left, self.director.loop.now, play.id)
        self.director.allocating.give_up(play)

    def overdue(self, play: Play) -> None:
        """The last guard of the one answer: whatever holds it up, it is failed in time."""
        play.guard = None
        if play.session in self.director.open:
            log.info("%s: overdue, failed by the last guard", play.session)
            self.director.count("overdue")
            self.director.feed(self.director.controller.left, self.director.loop.now, play.id)
            if play.session in self.director.open:
                self.finish(play, FAILED)

    def finish(self, play: Play, cause: int, *more: tuple[int, bytes]) -> None:
        """The final answer of a play that does not stand."""
        if self.director.open.pop(play.session, None) is None:
            return
        play.viewer.plays.pop(play.session, None)
        play.stop_timers()
        log.debug(
            "%s: answered with cause %d on %s after %d set-ups",
            play.session,
            cause,
            play.viewer,
            play.number + 1,
        )
        self.director.count("declined" if cause == DECLINED else "failed")
        play.viewer.refuse(play.session, cause, *more)
        self.director.allocating.give_up(play)

    def stand(self, play: Play, description: bytes) -> None:
        """The play stands: its viewer gets the description that its node gave."""
        del self.director.open[play.session]
        play.viewer.plays.pop(play.session, None)
        play.stop_timers()
        play.stands, play.stood_at = True, self.director.loop.now
        self.director.standing[play.session] = play.node.held[play.session] = play
        play.viewer.write(binary.ANSWER, play.session, (binary.DESCRIPTION, description))
        self.director.listener.prove(play.viewer)
        log.debug("%s.%d: plays, answered on %s", play.session, play.number, play.viewer)
        self.director.count("playing")
        self.director.feed(
            self.director.controller.playing,
            self.director.loop.now,
            play.id,
            play.number,
            self.director.loop.now - play.sent_at,
            play.node.number,
        )

"""The viewers' side of plays: each set-up is accepted once and gets exactly one answer.

The answer goes out in `start_play` or `finish`. Both remove the request from the open ones first,
so that there is one answer whatever events coincide.
"""

import logging

from laddergw.platform import allocation, hand_overs, requests
from laddergw.platform.causes import DECLINED, ENDED, FAILED
from laddergw.platform.ended_sessions import EndedSession
from laddergw.platform.hand_overs import HandOvers
from laddergw.platform.plays import Play
from laddergw.platform.viewers import MAX_OPEN_SET_UPS, ViewerConnection
from laddergw.signalling import binary

# Answers are due this long before the viewer's time limit: its clock began before ours.
ANSWER_MARGIN_MS = 20.0
# After the deadline, at which the controller's own time-out answers by the play's terms.
OVERDUE_GRACE_MS = 10.0
# Unusable set-ups that are logged: a flood must not fill the log.
MAX_LOGGED_UNUSABLE = 40

log = logging.getLogger("laddergw.platform")


class Admission:
    """Answers the viewers of the director's plays."""

    def __init__(self, director):
        self.director, self.count = director, director.count
        # Plays that the controller gets at the turn's end: new requests, and ended allocations.
        self.deferred_plays: list[Play] = []
        self.hand_overs = HandOvers(director)

    def handle_message(self, viewer: ViewerConnection, message: binary.Message) -> None:
        """Handles one message of a viewer; one that only directors send closes its connection."""
        if message.kind == binary.SET_UP:
            self.handle_set_up(viewer, message)
        elif message.kind == binary.RELEASE:
            self.handle_release(viewer, message.session)
        elif message.kind == binary.PING:
            viewer.write(
                binary.PONG,
                message.session,
                (binary.CAUSE, bytes([self.director.stopping_since is None])),
            )
        elif message.kind == binary.RELEASE_ACK:
            self.director.listener.releases.acknowledged(message.session)
        elif message.kind != binary.PROGRESS:
            viewer.close("a director's message")

    def handle_set_up(self, viewer: ViewerConnection, message: binary.Message) -> None:
        """Takes the hand-over of a running play, or a request, which may be refused at once."""
        session = message.session
        if session in self.director.open_requests or (
            session in self.director.running_plays and not hand_overs.is_hand_over(message)
        ):
            # An answer would count for the play that has this session already.
            return viewer.close("a session that is there")
        try:
            request = requests.read(message, self.director.configuration)
        except requests.UnusableRequestError as error:
            self.director.count("unusable")
            if self.director.counts["unusable"] <= MAX_LOGGED_UNUSABLE:
                log.info("%s: refused on %s, unusable: %s", session, viewer, error)
            return viewer.refuse(session)
        self.director.listener.mark_requested(viewer)
        if request.node_id:
            return self.hand_overs.take_over(viewer, session, request)
        # Hand-overs are accepted during a stop: its end releases them with all running plays.
        if (
            self.director.broken
            or self.director.stopping_since is not None
            or len(viewer.plays) >= MAX_OPEN_SET_UPS
        ):
            why = (
                "the director stops"
                if self.director.stopping_since is not None
                else "the controller failed"
                if self.director.broken
                else "too many on its connection"
            )
            log.debug("%s: refused on %s, %s", session, viewer, why)
            self.director.count("turned away: " + why)
            return viewer.refuse(
                session,
                DECLINED,
                self.retry_after(self.director.configuration.deployment.retry_max_ms),
            )
        self.director.ended_sessions.forget(session)
        self.director.count("asked")
        log.debug(
            "%s: set-up of %s on %s, waits %.0f ms",
            session,
            request.product,
            viewer,
            request.play_request.wait_ms,
        )
        play = self.director.open_requests[session] = viewer.plays[session] = Play(
            request, session, viewer
        )
        play.deadline = self.director.loop.now + max(
            0.0, request.play_request.wait_ms - viewer.stall_ms - ANSWER_MARGIN_MS
        )
        play.deadline_timer = self.director.loop.call_at(
            play.deadline + OVERDUE_GRACE_MS, lambda: self.fail_overdue(play)
        )
        return self.deferred_plays.append(play)

    def process_deferred(self) -> None:
        """Passes the deferred plays on to the controller, at a turn's end. One whose connection has
        more to read waits for that: its viewer may have cancelled it there, or have left.
        """
        plays, self.deferred_plays = self.deferred_plays, []
        for play in plays:
            if self.director.open_requests.get(play.session) is not play:
                continue
            if play.viewer.stream.may_have_more:
                self.deferred_plays.append(play)
            elif play.pending_outcome is not None:
                self.director.allocator.ending.report_outcome(play)
            else:
                play_request = play.request.play_request._replace(
                    wait_ms=max(0.0, play.deadline - self.director.loop.now)
                )
                self.director.feed(
                    self.director.controller.request_play, self.director.loop.now, play_request
                )

    def retry_after(self, ms: float | None) -> tuple[int, bytes]:
        """Returns the parameter with the time, ms, after which a declined viewer may retry."""
        return binary.RETRY_AFTER, b"%d" % (ms or 0)

    def handle_release(self, viewer: ViewerConnection, session: str) -> None:
        """Ends a play whose viewer has released it."""
        # It may have given up as our answer left, so a running play is released to it too.
        if play := self.director.running_plays.get(session):
            log.debug("%s.%d: ended by its viewer on %s", play.session, play.number, viewer)
            self.director.allocator.release(play)
            self.director.listener.send_until_acknowledged(
                viewer, binary.RELEASE, session, (binary.CAUSE, bytes([ENDED]))
            )
            self.director.feed(
                self.director.controller.viewer_left, self.director.loop.now, play.id
            )
            self.director.allocator.ending.allocation_ended(
                play, allocation.RUNNING, allocation.CANCELLED
            )
        elif (play := self.director.open_requests.get(session)) and play.viewer is viewer:
            return self.viewer_gave_up(play)
        # Its hand-over may be on its way on another connection.
        elif session not in self.director.open_requests:
            ended = EndedSession(session, "", allocation.CANCELLED)
            self.director.ended_sessions.add(str(viewer), ended)
        return viewer.write(binary.RELEASE_ACK, session)

    def viewer_gave_up(self, play: Play) -> None:
        """Ends a request whose viewer has given up: no answer is owed, its allocation ends."""
        if self.director.open_requests.pop(play.session, None) is None:
            return
        log.debug("%s: given up by its viewer", play.session)
        self.director.count("given up")
        play.viewer.plays.pop(play.session, None)
        play.stop_timers()
        self.director.feed(self.director.controller.viewer_left, self.director.loop.now, play.id)
        self.director.allocator.cancel(play)

    def fail_overdue(self, play: Play) -> None:
        """Fails a request whose answer is overdue, whatever holds it up."""
        play.deadline_timer = None
        if play.session in self.director.open_requests:
            log.info("%s: answer overdue, failed", play.session)
            self.director.count("overdue")
            self.director.feed(
                self.director.controller.viewer_left, self.director.loop.now, play.id
            )
            if play.session in self.director.open_requests:
                self.finish(play, FAILED)

    def finish(self, play: Play, cause: int, *more: tuple[int, bytes]) -> None:
        """Gives a request that was not served its final answer."""
        if self.director.open_requests.pop(play.session, None) is None:
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
        self.director.allocator.cancel(play)

    def start_play(self, play: Play, description: bytes) -> None:
        """Starts a play that its node has accepted: its viewer gets the node's description."""
        del self.director.open_requests[play.session]
        play.viewer.plays.pop(play.session, None)
        play.stop_timers()
        play.is_running, play.answered_at = True, self.director.loop.now
        self.director.running_plays[play.session] = play
        play.node.add_play(play)
        play.viewer.write(binary.ANSWER, play.session, (binary.DESCRIPTION, description))
        self.director.listener.mark_served(play.viewer)
        log.debug("%s.%d: plays, answered on %s", play.session, play.number, play.viewer)
        self.director.count("playing")
        self.director.feed(
            self.director.controller.play_started,
            self.director.loop.now,
            play.id,
            play.number,
            self.director.loop.now - play.sent_at,
            play.node.number,
        )

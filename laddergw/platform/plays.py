"""One play of the platform as the director holds it, and how its end is told."""

from laddergw.platform import requests
from laddergw.platform.connection import Connection
from laddergw.platform.node import Node
from laddergw.platform.viewers import ViewerConnection
from laddergw.signalling import rtsp


class Play:
    """One play, from its set-up to its release."""

    def __init__(self, request: requests.Request, session: str, viewer: ViewerConnection | None):
        self.request, self.session, self.id, self.viewer = (
            request,
            session,
            request.play_request.play,
            viewer,
        )
        self.node: Node | None = None  # where its allocation is
        self.connection: Connection | None = None  # where its set-up is open
        self.number, self.sent_at = -1, 0.0  # of its allocation
        self.timeout_timer = self.deadline_timer = None
        self.deadline = 0.0  # when its viewer stops waiting for its answer, by the loop's clock
        self.is_running = False
        self.answered_at = 0.0  # when its viewer was answered, by the loop's clock
        self.answer: rtsp.Message | None = None  # its node's, until it is passed on
        self.pending_outcome: tuple | None = (
            None  # how its allocation ended, and what its node reported, until the module is told
        )

    def stop_timers(self) -> None:
        for timer in self.timeout_timer, self.deadline_timer:
            if timer is not None:
                timer.cancel()
        self.timeout_timer = self.deadline_timer = None

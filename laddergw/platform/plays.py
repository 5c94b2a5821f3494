"""One play as the platform's director holds it."""

from laddergw.platform import requests
from laddergw.platform.connection import Connection
from laddergw.platform.node import Node
from laddergw.platform.viewers import ViewerConnection
from laddergw.signalling import rtsp


class Play:
    """One play, from its set-up to its release. Times by the loop's clock, ms."""

    def __init__(self, request: requests.Request, session: str, viewer: ViewerConnection | None):
        self.request, self.session, self.id, self.viewer = (
            request,
            session,
            request.play_request.play,
            viewer,
        )
        self.node: Node | None = None  # the node of its allocation
        self.connection: Connection | None = None  # on which its set-up is open
        self.number, self.sent_at = -1, 0.0  # of its latest allocation
        self.timeout_timer = self.deadline_timer = None
        self.deadline = 0.0  # when its answer is due: shortly before its viewer stops waiting
        self.is_running = False
        # When the connection came up on which its node accepted it; None: it was handed over.
        self.connection_opened_at: float | None = None
        self.answered_at = 0.0  # when its viewer was answered that it runs
        self.answer: rtsp.Message | None = None  # its node's answer, until that is passed on
        # Outcome of its allocation and its node's load report, until the controller gets them.
        self.pending_outcome: tuple | None = None

    def stop_timers(self) -> None:
        """Cancels its allocation's time-out and its last deadline."""
        for timer in self.timeout_timer, self.deadline_timer:
            if timer is not None:
                timer.cancel()
        self.timeout_timer = self.deadline_timer = None

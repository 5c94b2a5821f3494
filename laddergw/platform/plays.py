"""One play of the platform as the director holds it, and how its end is told."""

from laddergw.platform import requests
from laddergw.platform.connection import Connection
from laddergw.platform.node import Node
from laddergw.platform.viewers import Viewer
from laddergw.signalling import rtsp


class Play:
    """One play, from its set-up to its release."""

    def __init__(self, request: requests.Request, session: str, viewer: Viewer | None):
        self.request, self.session, self.id, self.viewer = (
            request,
            session,
            request.ask.play,
            viewer,
        )
        self.node: Node | None = None  # where its allocation is
        self.connection: Connection | None = None  # where its set-up is open
        self.number, self.sent_at = -1, 0.0  # of its allocation
        self.timer = self.guard = None
        self.limit = 0.0  # when its viewer stops waiting for its answer, by the loop's clock
        self.stands = False
        self.stood_at = 0.0  # when its viewer was answered, by the loop's clock
        self.answer: rtsp.Message | None = None  # its node's, until it is passed on
        self.untold: tuple | None = (
            None  # how its allocation ended, and what its node reported, until the module is told
        )

    def stop_timers(self) -> None:
        for timer in self.timer, self.guard:
            if timer is not None:
                timer.cancel()
        self.timer = self.guard = None

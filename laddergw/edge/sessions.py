"""One viewer's session at the edge: the attempts of its play, its growing playlist, and what its requests show.

The director knows a viewer as an exchange that stays open. Here the answer is the address of a manifest and the exchange ends; a
PlayExchange takes the place of the open one. When the control module moves the play, or its node fails, the session itself requests the
play again, at the director's admission, with what the player has buffered as its wait; the playlist continues where it stopped.
"""
import msgspec

from laddergw.edge.composer import Composer, SegmentSource
from laddergw.edge.watching import PlaybackMonitor
from laddergw.http.server import Exchange

WAITING, PLAYING, RELOCATING, OVER = "waiting", "plays", "seeks", "over"


class PlayExchange:
    """Takes the place of an open exchange: what a Director does to it is passed to the session."""

    def __init__(self, session: "Session", body: bytes, now: float, late: float = 0.0):
        self.session, self.body, self.read_at, self.stall_ms = session, body, now, late
        self.method, self.path, self.headers, self.query = "POST", "/v1/plays", {}, ""
        self.on_disconnect = None
        self.begun = self.ended = False
        # No allocation of this attempt is in use any more
        self.settled = False

    @property
    def disconnected(self) -> bool:
        """Whether the session is over."""
        return self.session.state == OVER

    def answer(self, status: int, body: bytes = b"", content_type: str = "application/json", extra_headers: str = "") -> bool:
        """The director's final answer to a play that is not served."""
        if self.begun:
            return False
        self.begun = self.ended = True
        self.session.play_rejected(self, status, body, extra_headers)
        return True

    def begin(self, status: int, first_chunk: bytes = b"", content_type: str = "application/json") -> bool:
        """The director's answer to a play that is being served."""
        if self.begun or self.disconnected:
            return False
        self.begun = True
        self.session.play_started(self, msgspec.json.decode(first_chunk))
        return True

    def push(self, data: bytes) -> bool:
        """An event of the play that is being served."""
        self.session.handle_event(self, msgspec.json.decode(data))
        return True

    def finish(self) -> None:
        """The director ends the exchange."""
        self.ended = True


class Session:
    """See the module. `front` acts for it: it answers the viewer, fetches playlists and requests plays."""

    def __init__(self, front, name: str, exchange: Exchange, frame: dict):
        self.front, self.name, self.exchange, self.frame = front, name, exchange, frame
        self.state, self.token = WAITING, None
        self.play_exchange: PlayExchange | None = None
        self.source: SegmentSource | None = None
        self.composer: Composer | None = None
        self.playback: PlaybackMonitor | None = None
        self.player, self.path = "", ""
        self.attempts = 0
        # The rules and the terms in force at the session's start hold until its end
        self.programme = front.programme
        self.terms = front.limits.find(frame.get("route", "/"), frame["product"]).terms

    # What the director reports through the play's exchange

    def play_started(self, exchange: PlayExchange, answer: dict) -> None:
        """A node serves the play: segments come from there from now on."""
        if exchange is not self.play_exchange:
            return
        host, port = answer["address"]
        self.token = answer["token"]
        self.source = SegmentSource(answer["node"], answer["rung"], f"http://{host}:{port}/v1/media/{self.frame['title']}/")
        if self.state == WAITING:
            self.front.fetch_title(self, answer)
        self.state = PLAYING

    def play_rejected(self, exchange: PlayExchange, status: int, body: bytes, extra: str) -> None:
        """No node serves the play: the viewer is told, or a session under way retries later."""
        if exchange is not self.play_exchange:
            return
        if self.state == WAITING:
            self.front.reject_session(self, status, body, extra)
        elif self.state == RELOCATING:
            self.front.relocate_later(self, body)

    def handle_event(self, exchange: PlayExchange, event: dict) -> None:
        """The play's rung changed, or its node does not serve it any longer."""
        if exchange is not self.play_exchange or self.state == OVER:
            return
        if event["event"] == "rung":
            self.source = self.source._replace(rung=event["rung"])
        # The play is moved, its node failed, or the director stops
        elif self.state == PLAYING:
            self.state, self.source = RELOCATING, None
            self.front.play_lost(self, event["event"])

    # What the player does

    def played_ms(self) -> float:
        """Session time that has been played by now, ms."""
        return self.playback.check(self.front.loop.now).played_ms if self.playback is not None else 0.0

    def buffered_ms(self) -> float:
        """Listed and not yet played, ms: a new node may take this long."""
        return max(0.0, self.composer.listed_ms - self.played_ms()) if self.composer is not None else 0.0

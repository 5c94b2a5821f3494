"""One viewer's session at the edge: its play's tries, its growing playlist, and what its fetches tell.

The director knows a viewer as an exchange that stays open. Here the answer is a manifest's address and the exchange ends; this
object stands where the open exchange stood. When the module moves the play, or its node breaks, the session asks again by
itself, at the director's door, with what the player has buffered as its wait; the playlist goes on where it stopped.
"""
import msgspec

from laddergw.edge.composer import Composer, SegmentSource
from laddergw.edge.watching import Playing
from laddergw.http.server import Exchange

WAITING, PLAYS, SEEKS, OVER = "waiting", "plays", "seeks", "over"


class Stand:
    """Stands for an open exchange: what a Director does to one is told to the session."""

    def __init__(self, session: "Session", body: bytes, now: float, late: float = 0.0):
        self.session, self.body, self.read_at, self.stall_ms = session, body, now, late
        self.method, self.path, self.headers, self.query = "POST", "/v1/plays", {}, ""
        self.on_disconnect = None
        self.begun = self.ended = False
        self.settled = False                   # no allocation of it is out any more

    @property
    def disconnected(self) -> bool:
        return self.session.state == OVER

    def answer(self, status: int, body: bytes = b"", content_type: str = "application/json", extra_headers: str = "") -> bool:
        if self.begun:
            return False
        self.begun = self.ended = True
        self.session.not_playing(self, status, body, extra_headers)
        return True

    def begin(self, status: int, first_chunk: bytes = b"", content_type: str = "application/json") -> bool:
        if self.begun or self.disconnected:
            return False
        self.begun = True
        self.session.plays(self, msgspec.json.decode(first_chunk))
        return True

    def push(self, data: bytes) -> bool:
        self.session.told(self, msgspec.json.decode(data))
        return True

    def finish(self) -> None:
        self.ended = True


class Session:
    """See the module. `front` carries out: answers the viewer, fetches playlists, asks at the door."""

    def __init__(self, front, name: str, exchange: Exchange, frame: dict):
        self.front, self.name, self.exchange, self.frame = front, name, exchange, frame
        self.state, self.token = WAITING, None
        self.stand: Stand | None = None
        self.era: SegmentSource | None = None
        self.composer: Composer | None = None
        self.playing: Playing | None = None
        self.player, self.path = "", ""
        self.tries = 0
        self.programme = front.programme       # the rules in force at its start hold to its end, and so do its terms
        self.terms = front.limits.find(frame.get("route", "/"), frame["product"]).terms

    # What the director tells through the stand

    def plays(self, stand: Stand, answer: dict) -> None:
        if stand is not self.stand:
            return
        host, port = answer["address"]
        self.token = answer["token"]
        self.era = SegmentSource(answer["node"], answer["rung"], f"http://{host}:{port}/v1/media/{self.frame['title']}/")
        if self.state == WAITING:
            self.front.began(self, answer)
        self.state = PLAYS

    def not_playing(self, stand: Stand, status: int, body: bytes, extra: str) -> None:
        if stand is not self.stand:
            return
        if self.state == WAITING:
            self.front.turned_away(self, status, body, extra)
        elif self.state == SEEKS:
            self.front.seek_later(self, body)

    def told(self, stand: Stand, event: dict) -> None:
        if stand is not self.stand or self.state == OVER:
            return
        if event["event"] == "rung":
            self.era = self.era._replace(rung=event["rung"])
        elif self.state == PLAYS:                # moved, broken, or the director stops
            self.state, self.era = SEEKS, None
            self.front.lost(self, event["event"])

    # What the player does

    def played_ms(self) -> float:
        return self.playing.look(self.front.loop.now).played_ms if self.playing is not None else 0.0

    def buffered_ms(self) -> float:
        """Shown and not yet played: so long may a new node take."""
        return max(0.0, self.composer.shown_ms - self.played_ms()) if self.composer is not None else 0.0

"""A connection from viewers to a director, and the requests on it."""

from typing import TYPE_CHECKING

from laddergw.lab.soak.messages import set_up
from laddergw.lab.soak.peers import PeerConnection, PieceWriter
from laddergw.lab.soak.terms import CELLS, Product
from laddergw.signalling import binary

if TYPE_CHECKING:
    from laddergw.lab.soak.viewer_group import ViewerGroup

# Causes of a release after which a viewer may request the play again.
RETRY_CAUSES = 34, 42, 102
LEAVE_SHARE, LEAVE_MS = (
    0.3,
    300.0,
)  # part of the viewers that leave before their answer, within this many ms
# The same share under the condition `leave_early`.
EARLY_LEAVE_SHARE = 0.6
END_SHARE, END_MS = 0.1, 1_500.0  # part of the viewers that end what plays, within so many ms
# Share of the rejected viewers that retry at once under the condition `repeat_at_once`.
REPEAT_SHARE = 0.8
TITLE_COUNT = 60


class Request:
    """One viewer's request, from its set-up to its release."""

    def __init__(self, session: str, product: Product):
        self.session, self.product, self.title = session, product, ""
        self.sent_at_ms: float | None = None
        self.crossed = False
        # "waits", then "plays", then "over"; some states may be skipped.
        self.state = "waits"


def offer_of(session: str) -> str:
    """Returns the session description that a viewer sends."""
    return f"{session}\r\nc=IN IP4 10.0.0.9\r\nm=audio 31000 RTP/AVP 0\r\n"


class ViewerConnection(PeerConnection):
    """One connection to a director's process."""

    def __init__(self, group: "ViewerGroup"):
        self.group, self.reader, self.requests = group, binary.Reader(), {}
        self.process, self.writer, self.queued = (
            group.director.process,
            PieceWriter(group.loop, group.rng),
            [],
        )
        self.last_used_ms = group.loop.now
        self.number = next(group.connection_numbers)

    def opened(self, stream) -> None:
        """Sends the requests that waited for the connection."""
        super().opened(stream)
        self.group.connections.append(self)
        queued, self.queued = self.queued, []
        for request in queued:
            self.send(request)

    def submit(self, request: Request) -> None:
        """Sends a request, or queues it until the connection is open."""
        self.requests[request.session] = request
        if self.stream is None:
            self.queued.append(request)
        else:
            self.send(request)

    def send(self, request: Request) -> None:
        """Sends a request's set-up, in pieces under the condition `pieces`."""
        self.last_used_ms = self.group.loop.now
        rng, product = self.group.rng, request.product
        request.title = f"{rng.randrange(TITLE_COUNT):016x}"
        message = set_up(
            int(request.session, 16),
            product.name,
            str(int(product.wait_ms)),
            request.title,
            f"home:{rng.randrange(CELLS)};copies:2;top:2;viewer:{request.session}",
            "1200.0",
            offer_of(request.session).encode(),
        )
        cuts = self.writer.draw_cuts(message) if "pieces" in self.group.conditions else ()
        self.writer.write(self.stream, message, cuts, lambda: self.request_sent(request))

    def request_sent(self, request: Request) -> None:
        """Records a request whose last byte was written; its viewer may leave later."""
        request.sent_at_ms = self.group.loop.now
        self.group.record(
            "asked again" if request.crossed else "asked",
            session=request.session,
            director=self.group.director.name,
            wait_ms=request.product.wait_ms,
            product=request.product.name,
            title=request.title,
            offer=offer_of(request.session),
            connection=self.number,
        )
        leave_share = EARLY_LEAVE_SHARE if "leave_early" in self.group.conditions else LEAVE_SHARE
        if self.group.rng.random() < leave_share:
            self.group.loop.call_later(
                LEAVE_MS * self.group.rng.random(), lambda: self.viewer_leaves(request)
            )

    def viewer_leaves(self, request: Request) -> None:
        """The viewer stops waiting.

        It sends a release, or ends a connection that carries nothing else.
        """
        if (
            request.state != "waits"
            or self.requests.get(request.session) is not request
            or self.stream.sock is None
        ):
            return
        request.state = "over"
        del self.requests[request.session]
        self.group.record("left", session=request.session)
        if self.requests or self.group.rng.random() < 0.5:
            self.send_message(binary.RELEASE, request.session, (binary.CAUSE, b"\x10"))
        elif self.group.rng.random() < 0.5:
            self.stream.close()
        else:
            self.stream.abort()

    def send_message(self, kind: int, session: str, *parameters: tuple[int, bytes]) -> None:
        """Queues a message behind one that is being written in pieces."""
        self.writer.write(self.stream, binary.encode(kind, session, *parameters))

    def handle_message(self, message: binary.Message) -> None:
        """Handles one message of the director."""
        self.last_used_ms = self.group.loop.now
        request = self.requests.get(message.session) or self.group.playing.get(message.session)
        if message.kind == binary.ANSWER:
            text = message.parameters[binary.DESCRIPTION].decode(errors="replace")
            self.group.record("answered", session=message.session, answer="plays", text=text)
            if request is not None:
                self.play_started(request)
        elif message.kind == binary.RELEASE:
            self.send_message(binary.RELEASE_ACK, message.session)
            self.handle_release(message, request)
        elif message.kind == binary.MOVE and request is not None and request.state == "plays":
            self.group.play_ended(request, None)

    def play_started(self, request: Request) -> None:
        """Notes a running play, which its viewer may end later."""
        request.state = "plays"
        self.group.playing[request.session] = request
        if self.group.rng.random() < END_SHARE:
            self.group.loop.call_later(
                END_MS * self.group.rng.random(), lambda: self.group.end_play(request)
            )

    def handle_release(self, message: binary.Message, request: Request | None) -> None:
        """Handles the release of a request or of a running play."""
        if request is None or request.state == "over":
            return
        self.requests.pop(request.session, None)
        cause = message.parameters[binary.CAUSE][0]
        if request.state == "plays":
            return self.group.play_ended(request, cause)
        request.state = "over"
        self.group.record(
            "answered",
            session=request.session,
            answer="declined" if cause in RETRY_CAUSES else "failed",
        )
        if (
            cause in RETRY_CAUSES
            and "repeat_at_once" in self.group.conditions
            and self.group.rng.random() < REPEAT_SHARE
        ):
            self.group.request_play(request.product)

    def closed(self, stream, why: str | None) -> None:
        """Reports the end, and each request that still waits, to the group."""
        if self in self.group.connections:
            self.group.connections.remove(self)
            self.group.record(
                "connection ended", director=self.group.director.name, connection=self.number
            )
        for request in list(self.requests.values()):
            if request.state == "waits":
                self.group.connection_lost(self, request)

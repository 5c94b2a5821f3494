"""One connection from viewers to a director, and the requests on it."""

from typing import TYPE_CHECKING

from laddergw.lab.soak.messages import set_up
from laddergw.lab.soak.peers import Owner, PieceWriter
from laddergw.lab.soak.terms import CELLS, Product
from laddergw.signalling import binary

if TYPE_CHECKING:
    from laddergw.lab.soak.viewer_group import ViewerGroup

REFUSALS = 34, 42, 102  # causes that let a viewer come again
LEAVES, LEAVES_MS = 0.3, 300.0  # part of the viewers that leave before their answer, within so long
LEAVES_EARLY = 0.6  # the same while viewers leave early
ENDS, ENDS_MS = 0.1, 1_500.0  # part of the viewers that end what plays, within so long
REPEATS = 0.8  # part of those turned away that ask again at once, while they do
TITLES = 60


class Request:
    """One viewer's request, from its last byte to its release."""

    def __init__(self, session: str, product: Product):
        self.session, self.product, self.title = session, product, ""
        self.asked_ms: float | None = None
        self.crossed = False
        self.state = "waits"  # then "plays", "over"


def offer_of(session: str) -> str:
    """The description that a viewer sends for a session."""
    return f"{session}\r\nc=IN IP4 10.0.0.9\r\nm=audio 31000 RTP/AVP 0\r\n"


class ViewerConnection(Owner):
    """One connection to a director's process."""

    def __init__(self, front: "ViewerGroup"):
        self.front, self.reader, self.requests = front, binary.Reader(), {}
        self.process, self.writer, self.waiting = (
            front.place.process,
            PieceWriter(front.loop, front.draw),
            [],
        )
        self.used_ms = front.loop.now
        self.number = next(front.numbers)

    def opened(self, stream) -> None:
        super().opened(stream)
        self.front.sides.append(self)
        waiting, self.waiting = self.waiting, []
        for request in waiting:
            self.send(request)

    def ask(self, request: Request) -> None:
        self.requests[request.session] = request
        if self.stream is None:
            self.waiting.append(request)
        else:
            self.send(request)

    def send(self, request: Request) -> None:
        self.used_ms = self.front.loop.now
        draw, product = self.front.draw, request.product
        request.title = f"{draw.randrange(TITLES):016x}"
        message = set_up(
            int(request.session, 16),
            product.name,
            str(int(product.wait_ms)),
            request.title,
            f"home:{draw.randrange(CELLS)};copies:2;top:2;viewer:{request.session}",
            "1200.0",
            offer_of(request.session).encode(),
        )
        cuts = self.writer.drawn_cuts(message) if "pieces" in self.front.conditions else ()
        self.writer.write(self.stream, message, cuts, lambda: self.asked(request))

    def asked(self, request: Request) -> None:
        request.asked_ms = self.front.loop.now
        self.front.record(
            "asked again" if request.crossed else "asked",
            session=request.session,
            director=self.front.place.name,
            wait_ms=request.product.wait_ms,
            product=request.product.name,
            title=request.title,
            offer=offer_of(request.session),
            connection=self.number,
        )
        part = LEAVES_EARLY if "leave_early" in self.front.conditions else LEAVES
        if self.front.draw.random() < part:
            self.front.loop.call_later(
                LEAVES_MS * self.front.draw.random(), lambda: self.leave(request)
            )

    def leave(self, request: Request) -> None:
        """The viewer waits no more: it says so, or ends a connection that carries nothing else."""
        if (
            request.state != "waits"
            or self.requests.get(request.session) is not request
            or self.stream.sock is None
        ):
            return
        request.state = "over"
        del self.requests[request.session]
        self.front.record("left", session=request.session)
        if self.requests or self.front.draw.random() < 0.5:
            self.say(binary.RELEASE, request.session, (binary.CAUSE, b"\x10"))
        elif self.front.draw.random() < 0.5:
            self.stream.close()
        else:
            self.stream.abort()

    def say(self, kind: int, session: str, *parameters: tuple[int, bytes]) -> None:
        """Behind what is being written in pieces."""
        self.writer.write(self.stream, binary.encode(kind, session, *parameters))

    def heard(self, message: binary.Message) -> None:
        self.used_ms = self.front.loop.now
        request = self.requests.get(message.session) or self.front.standing.get(message.session)
        if message.kind == binary.ANSWER:
            text = message.parameters[binary.DESCRIPTION].decode(errors="replace")
            self.front.record("answered", session=message.session, answer="plays", text=text)
            if request is not None:
                self.stands(request)
        elif message.kind == binary.RELEASE:
            self.say(binary.RELEASE_ACK, message.session)
            self.released(message, request)
        elif message.kind == binary.MOVE and request is not None and request.state == "plays":
            self.front.over(request)

    def stands(self, request: Request) -> None:
        request.state = "plays"
        self.front.standing[request.session] = request
        if self.front.draw.random() < ENDS:
            self.front.loop.call_later(
                ENDS_MS * self.front.draw.random(), lambda: self.front.end(request)
            )

    def released(self, message: binary.Message, request: Request | None) -> None:
        if request is None or request.state == "over":
            return
        self.requests.pop(request.session, None)
        if request.state == "plays":
            return self.front.over(request)
        cause = message.parameters[binary.CAUSE][0]
        request.state = "over"
        self.front.record(
            "answered",
            session=request.session,
            answer="declined" if cause in REFUSALS else "failed",
        )
        if (
            cause in REFUSALS
            and "repeat_at_once" in self.front.conditions
            and self.front.draw.random() < REPEATS
        ):
            self.front.ask(request.product)

    def closed(self, stream, why: str | None) -> None:
        if self in self.front.sides:
            self.front.sides.remove(self)
            self.front.record(
                "connection ended", director=self.front.place.name, connection=self.number
            )
        for request in list(self.requests.values()):
            if request.state == "waits":
                self.front.cut_off(self, request)

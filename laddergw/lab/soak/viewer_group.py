"""The viewers of one director's place: they keep connections to it and ask for plays on them."""

import itertools
import random
from typing import Any

from laddergw.lab.soak.bad_clients import GARBAGE, BadClient
from laddergw.lab.soak.node_connection import Conditions
from laddergw.lab.soak.terms import Product
from laddergw.lab.soak.viewer_connection import Request, ViewerConnection
from laddergw.signalling import binary

DIAL_MS = 2_000.0
IDLE_MS = 4_000.0  # a connection without a session on it is closed after this
CROSS_MS = 50.0  # a set-up that crosses a close within this goes again on a new connection, once
ON_OPEN = 0.7  # part of the requests that go on a connection that is open already


class ViewerGroup:
    """The viewers of one director's place."""

    def __init__(
        self, loop, draw: random.Random, record, conditions: Conditions, place: Any, next_session
    ):
        self.loop, self.draw, self.record, self.conditions, self.place, self.next_session = (
            loop,
            draw,
            record,
            conditions,
            place,
            next_session,
        )
        self.sides: list[ViewerConnection] = []
        self.numbers = itertools.count()
        self.standing: dict[str, Request] = {}

    def ask(self, product: Product) -> None:
        """A new viewer's request, on an open connection or on a new one; nobody comes where no
        process is.
        """
        if self.place.process is not None:
            self.carrier().ask(Request(self.next_session(), product))

    def carrier(self) -> ViewerConnection:
        usable = [
            side
            for side in self.sides
            if side.process is self.place.process and side.stream.sock is not None
        ]
        if usable and (not self.place.accepts_plays or self.draw.random() < ON_OPEN):
            return self.draw.choice(usable)
        side = ViewerConnection(self)
        self.loop.dial(self.place.address, side, DIAL_MS)
        return side

    def end(self, request: Request) -> None:
        """A viewer ends what plays, on any connection."""
        if request.state == "plays" and self.sides:
            self.record("ended by its viewer", session=request.session)
            request.state = "over"
            self.standing.pop(request.session, None)
            self.draw.choice(self.sides).say(
                binary.RELEASE, request.session, (binary.CAUSE, b"\x10")
            )

    def over(self, request: Request) -> None:
        request.state = "over"
        self.standing.pop(request.session, None)
        self.record("released", session=request.session)

    def cut_off(self, side: ViewerConnection, request: Request) -> None:
        """A connection ended with a request on it that has no answer."""
        if request.asked_ms is None:
            request.state = "over"  # its last byte never left
            if request.crossed:
                self.record("not taken", session=request.session)
        elif side.process.pid in self.place.trial.killed:
            request.state = "over"
            self.record("cut", session=request.session)
        elif (
            self.loop.now - request.asked_ms <= CROSS_MS
            and not request.crossed
            and self.place.process is not None
        ):
            self.record(
                "crossed a close",
                session=request.session,
                director=self.place.name,
                stopping=self.place.stopping,
            )
            request.crossed, request.asked_ms = True, None
            again = ViewerConnection(self)
            self.loop.dial(self.place.address, again, DIAL_MS)
            again.ask(request)
        else:
            request.state = "over"
            self.record("closed without an answer", session=request.session)

    def close_idle(self) -> None:
        """Ends connections with no session on them; called by the trial now and then."""
        for side in list(self.sides):
            if (
                not any(request.state != "over" for request in side.requests.values())
                and self.loop.now - side.used_ms >= IDLE_MS
            ):
                side.stream.close()

    def misbehave(self) -> None:
        """One client that sends what cannot be used, and reads what comes."""
        if self.place.accepts_plays:
            self.loop.dial(self.place.address, BadClient(self.draw.choice(GARBAGE)), DIAL_MS)

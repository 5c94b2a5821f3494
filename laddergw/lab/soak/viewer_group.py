"""The viewers of one director: they keep connections to it and request plays on them."""

import itertools
import random
from typing import Any

from laddergw.lab.soak.bad_clients import GARBAGE, BadClient
from laddergw.lab.soak.node_connection import Conditions
from laddergw.lab.soak.terms import Product
from laddergw.lab.soak.viewer_connection import Request, ViewerConnection
from laddergw.signalling import binary

DIAL_TIMEOUT_MS = 2_000.0
# A connection that carries no session is closed after this idle time.
IDLE_CLOSE_MS = 4_000.0
# A set-up that crosses the close of its connection within this time is sent again, once, on a new
# connection.
CROSSED_CLOSE_MS = 50.0
# Share of the requests that use a connection that is already open.
REUSE_SHARE = 0.7


class ViewerGroup:
    """The viewers of one director."""

    def __init__(
        self, loop, rng: random.Random, record, conditions: Conditions, director: Any, next_session
    ):
        self.loop, self.rng, self.record, self.conditions, self.director, self.next_session = (
            loop,
            rng,
            record,
            conditions,
            director,
            next_session,
        )
        self.connections: list[ViewerConnection] = []
        self.connection_numbers = itertools.count()
        self.playing: dict[str, Request] = {}

    def request_play(self, product: Product) -> None:
        """Sends a new viewer's request, on an open or a new connection.

        Does nothing while the director has no process.
        """
        if self.director.process is not None:
            self.choose_connection().submit(Request(self.next_session(), product))

    def choose_connection(self) -> ViewerConnection:
        """Returns an open connection to the present process, or dials a new one."""
        usable = [
            connection
            for connection in self.connections
            if connection.process is self.director.process and connection.stream.sock is not None
        ]
        if usable and (not self.director.accepts_plays or self.rng.random() < REUSE_SHARE):
            return self.rng.choice(usable)
        connection = ViewerConnection(self)
        self.loop.dial(self.director.address, connection, DIAL_TIMEOUT_MS)
        return connection

    def end_play(self, request: Request) -> None:
        """A viewer ends a running play, over any connection."""
        if request.state == "plays" and self.connections:
            self.record("ended by its viewer", session=request.session)
            request.state = "over"
            self.playing.pop(request.session, None)
            self.rng.choice(self.connections).send_message(
                binary.RELEASE, request.session, (binary.CAUSE, b"\x10")
            )

    def play_ended(self, request: Request, cause: int | None) -> None:
        """Records the release of a running play with its cause, or a move: None."""
        request.state = "over"
        self.playing.pop(request.session, None)
        self.record("released", session=request.session, cause=cause)

    def connection_lost(self, connection: ViewerConnection, request: Request) -> None:
        """Handles the end of a connection that carries a request without an answer."""
        if request.sent_at_ms is None:
            # Its last byte was never sent.
            request.state = "over"
            if request.crossed:
                self.record("not taken", session=request.session)
        elif connection.process.pid in self.director.trial.killed:
            request.state = "over"
            self.record("cut", session=request.session)
        elif (
            self.loop.now - request.sent_at_ms <= CROSSED_CLOSE_MS
            and not request.crossed
            and self.director.process is not None
        ):
            self.record(
                "crossed a close",
                session=request.session,
                director=self.director.name,
                stopping=self.director.is_stopping,
            )
            request.crossed, request.sent_at_ms = True, None
            new_connection = ViewerConnection(self)
            self.loop.dial(self.director.address, new_connection, DIAL_TIMEOUT_MS)
            new_connection.submit(request)
        else:
            request.state = "over"
            self.record("closed without an answer", session=request.session)

    def close_idle(self) -> None:
        """Closes idle connections that carry no session; the trial calls it periodically."""
        for connection in list(self.connections):
            if (
                not any(request.state != "over" for request in connection.requests.values())
                and self.loop.now - connection.last_used_ms >= IDLE_CLOSE_MS
            ):
                connection.stream.close()

    def send_garbage(self) -> None:
        """Connects a client that sends malformed data and reads the replies."""
        if self.director.accepts_plays:
            self.loop.dial(
                self.director.address, BadClient(self.rng.choice(GARBAGE)), DIAL_TIMEOUT_MS
            )

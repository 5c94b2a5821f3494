"""What every peer's end of a connection shares, and writes that leave in pieces."""

import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

PIECES = (2, 4)  # of one message
PIECE_MS = (0.0, 30.0)  # between two pieces


class Owner:
    """A peer's end of a connection: whole messages come out of its reader and go to `heard`."""

    reader: Any = None
    stream: Any = None

    def opened(self, stream) -> None:
        self.stream = stream

    def write_buffer_drained(self, stream) -> None:
        pass

    def data_received(self, stream, data: bytes) -> None:
        self.reader.feed(data)
        while (message := self.reader.next()) is not None:
            self.heard(message)

    def heard(self, message) -> None:
        raise NotImplementedError

    def closed(self, stream, why: str | None) -> None:
        pass


class Piece(NamedTuple):
    """A part of a message that waits to be written; `done` is called behind its last one."""

    data: bytes
    done: Callable[[], None] | None


PAUSE = Piece(b"", None)  # stands in front while a pause lasts: what is written queues behind it


class PieceWriter:
    """Writes messages to one stream, whole or in pieces; never one within another."""

    def __init__(self, loop, draw: random.Random):
        self.loop, self.draw = loop, draw
        self.waiting: list[Piece] = []

    def drawn_cuts(self, data: bytes) -> list[int]:
        """Where to cut a message."""
        pieces = self.draw.randint(*PIECES)
        return sorted(self.draw.randrange(1, len(data)) for _ in range(pieces - 1))

    def write(
        self,
        stream,
        data: bytes,
        cuts: Sequence[int] = (),
        done: Callable[[], None] = lambda: None,
    ) -> None:
        """Writes a message with a pause at each cut; `done` is called behind its last byte."""
        idle = not self.waiting
        ends = [*cuts, len(data)]
        for start, end in zip([0, *cuts], ends, strict=True):
            self.waiting.append(Piece(data[start:end], done if end == len(data) else None))
        if idle:
            self.go_on(stream)

    def go_on(self, stream) -> None:
        """Writes until the next pause."""
        while self.waiting and stream.sock is not None:
            piece = self.waiting.pop(0)
            stream.write(piece.data)
            if piece.done is None:
                self.waiting.insert(0, PAUSE)
                self.loop.call_later(self.draw.uniform(*PIECE_MS), lambda: self.after_pause(stream))
                return
            piece.done()

    def after_pause(self, stream) -> None:
        """A pause is over."""
        del self.waiting[:1]
        self.go_on(stream)

"""The base class of a peer's end of a connection, and a writer that sends messages in pieces."""

import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

# Range of the pieces of one message.
PIECE_COUNT = (2, 4)
# Range of the pause between two pieces.
PIECE_PAUSE_MS = (0.0, 30.0)


class PeerConnection:
    """A peer's end of a connection: its reader's messages go to `handle_message`."""

    reader: Any = None
    stream: Any = None

    def opened(self, stream) -> None:
        """Called when the connection is open."""
        self.stream = stream

    def write_buffer_drained(self, stream) -> None:
        pass

    def data_received(self, stream, data: bytes) -> None:
        """Passes each complete message to `handle_message`."""
        self.reader.feed(data)
        while (message := self.reader.next()) is not None:
            self.handle_message(message)

    def handle_message(self, message) -> None:
        """Handles one message; subclasses implement it."""
        raise NotImplementedError

    def closed(self, stream, why: str | None) -> None:
        """Called when the connection has ended."""
        pass


class Piece(NamedTuple):
    """A queued part of a message; `on_written` is called after the last part is written."""

    data: bytes
    on_written: Callable[[], None] | None


# Heads the queue while a pause lasts, so that further writes queue behind it.
PAUSE_MARKER = Piece(b"", None)


class PieceWriter:
    """Writes messages to one stream, whole or in pieces, without interleaving them."""

    def __init__(self, loop, rng: random.Random):
        self.loop, self.rng = loop, rng
        self.queue: list[Piece] = []

    def draw_cuts(self, data: bytes) -> list[int]:
        """Draws the offsets at which to cut a message."""
        pieces = self.rng.randint(*PIECE_COUNT)
        return sorted(self.rng.randrange(1, len(data)) for _ in range(pieces - 1))

    def write(
        self,
        stream,
        data: bytes,
        cuts: Sequence[int] = (),
        on_written: Callable[[], None] = lambda: None,
    ) -> None:
        """Writes a message with a pause at each cut; calls `on_written` after its last byte."""
        is_idle = not self.queue
        ends = [*cuts, len(data)]
        for start, end in zip([0, *cuts], ends, strict=True):
            self.queue.append(Piece(data[start:end], on_written if end == len(data) else None))
        if is_idle:
            self.write_until_pause(stream)

    def write_until_pause(self, stream) -> None:
        """Writes queued pieces until the next pause."""
        while self.queue and stream.sock is not None:
            piece = self.queue.pop(0)
            stream.write(piece.data)
            if piece.on_written is None:
                self.queue.insert(0, PAUSE_MARKER)
                self.loop.call_later(
                    self.rng.uniform(*PIECE_PAUSE_MS), lambda: self.pause_ended(stream)
                )
                return
            piece.on_written()

    def pause_ended(self, stream) -> None:
        """Goes on writing after a pause."""
        del self.queue[:1]
        self.write_until_pause(stream)

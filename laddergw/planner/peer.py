"""One connection between an edge and a planner, either end: frames in and out, hello first, beats and silence, credit. Carries, decides nothing."""
from typing import Callable

from laddergw.planner import wire

MOST_WAITING = 16_777_216  # bytes that a peer may be behind: a slow one is given up, its next connection gets a whole plan


class Peer:
    """See the module. `told(peer, frame)` gets what comes after the hello; `up(peer)` after it; `down(peer, why)` once, at the end."""

    def __init__(self, loop, hello: wire.Hello, told: Callable, up: Callable, down: Callable):
        self.loop, self.hello, self.told, self.up, self.down = loop, hello, told, up, down
        self.stream, self.remote, self.over = None, None, False
        self.frames = wire.Unpacker()
        self.heard_at = self.said_at = loop.now
        self.credit = wire.CREDIT
        self.held: bytes | None = None         # the newest plan that waits for credit
        self.watch()

    # What the stream tells

    def opened(self, stream) -> None:
        self.stream, self.heard_at = stream, self.loop.now
        self.send(self.hello)

    def data_received(self, stream, data: bytes) -> None:
        self.heard_at = self.loop.now
        try:
            for frame in self.frames.feed(data):
                self.frame(frame)
                if self.over:
                    return
        except wire.MalformedFrame as error:
            self.close(str(error))

    def write_buffer_drained(self, stream) -> None:
        pass

    def closed(self, stream, why: str | None) -> None:
        self.close(why or "closed by the other side")

    # Frames

    def frame(self, frame: wire.Frame) -> None:
        if self.remote is None:
            if not isinstance(frame, wire.Hello):
                return self.close("it did not say hello")
            if frame.version != wire.VERSION:
                return self.close(f"version {frame.version}, {wire.VERSION} is spoken here")
            self.remote = frame
            return self.up(self)
        if isinstance(frame, wire.Credit):
            self.credit = min(self.credit + max(0, frame.plans), wire.CREDIT)
            if self.held is not None and self.credit:
                held, self.held = self.held, None
                self.plan(held)
        elif not isinstance(frame, wire.Beat):
            self.told(self, frame)
        return None

    def send(self, frame: wire.Frame) -> None:
        if self.stream is not None and not self.over:
            self.said_at = self.loop.now
            self.stream.write(wire.pack(frame))

    def plan(self, sealed: bytes) -> None:
        """A plan goes out, or takes the place of the one that waits for the other side."""
        if not self.credit:
            self.held = sealed
            return
        self.credit -= 1
        self.send(wire.PlanFrame(sealed))

    # Time

    def watch(self) -> None:
        if self.over:
            return
        if self.loop.now - self.heard_at >= wire.SILENT_MS:
            return self.close("silent")
        if self.loop.now - self.said_at >= wire.BEAT_MS:
            self.send(wire.Beat(self.loop.now))
        self.loop.call_later(wire.BEAT_MS / 2, self.watch)

    def close(self, why: str) -> None:
        if not self.over:
            self.over = True
            if self.stream is not None:
                self.stream.close()
            self.down(self, why)

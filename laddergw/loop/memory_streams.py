"""Streams and listeners of the loop in memory: delay, bounded buffers, ends that come behind their
data.
"""

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from laddergw.loop.base import Outgoing, Owner

if TYPE_CHECKING:
    from laddergw.loop.memory import Host

WINDOW = (
    65_536  # bytes that one direction of a stream takes before its reader has read: a socket buffer
)


class Listener:
    """A bound address in memory."""

    def __init__(self, host: "Host", address: tuple, accept: Callable):
        self.host, self.address, self.accept, self.waiting = host, address, accept, deque()

    def ready(self) -> None:
        while self.waiting:
            stream = self.waiting.popleft()
            if stream.gone is not None or not stream.alive:
                continue
            stream.owner = self.accept(stream)
            stream.owner.opened(stream)
            for call in stream.early:
                call()
            stream.early.clear()

    def accept_waiting(self) -> None:
        self.ready()

    def close(self) -> None:
        self.host.world.ports.pop(self.address, None)
        for stream in self.waiting:
            stream.cut("Connection reset by peer")
        self.waiting.clear()


class Stream(Outgoing):
    """One end of a connection in memory; the same calls and counts as a real one."""

    may_have_more = False  # what has come is read at once

    def __init__(self, host: "Host", owner: Owner | None, peer, number: int, delay: float):
        self.loop, self.owner, self.peer, self.number, self.delay = host, owner, peer, number, delay
        self.other: Stream | None = None
        self.open, self.alive, self.reading, self.ending = False, True, True, False
        self.bytes_written = self.bytes_sent = self.queued = self.unread = 0
        self.write_queue, self.stash, self.early = deque(), deque(), []
        self.limit, self.gone = None, None
        host.streams[number] = self
        host.open_streams += 1

    def connected(self) -> None:
        if not self.alive:
            return
        if self.limit is not None:
            self.limit.cancel()
        self.open = True
        self.owner.opened(self)
        self.flush()

    def write(self, data: bytes) -> None:
        self.bytes_written += len(data)
        if not self.alive or self.ending or not data:
            return
        self.queued += len(data)
        self.write_queue.append(bytes(data))
        if self.open:
            self.flush(quiet=True)

    def flush(self, quiet: bool = False) -> None:
        """Hands over what the window takes; the reader opens it again by reading."""
        while self.write_queue and self.alive and self.other is not None:
            room = WINDOW - self.other.unread
            if room <= 0:
                return
            data = self.write_queue.popleft()
            if len(data) > room:
                self.write_queue.appendleft(data[room:])
                data = data[:room]
            self.bytes_sent += len(data)
            self.queued -= len(data)
            self.other.unread += len(data)
            self.send(lambda other, data=data: other.arrived(data))
        if self.alive and not self.write_queue and self.open:
            if self.ending:
                self.finish()
            elif not quiet:
                self.owner.write_buffer_drained(self)

    def send(self, what: Callable[["Stream"], None]) -> None:
        other, host = self.other, self.other.loop
        if not self.loop.silent:
            host.deliver_at(
                self.loop.world.now + self.delay, lambda: other.take(lambda: what(other))
            )

    def take(self, call: Callable[[], None]) -> None:
        """In this end's turn; kept while the listener has not accepted yet."""
        if self.owner is None:
            self.early.append(call)
        elif self.alive:
            call()

    def arrived(self, data: bytes) -> None:
        if self.reading and not self.stash:
            self.read(data)
        else:
            self.stash.append(data)

    def read(self, data: bytes) -> None:
        self.unread -= len(data)
        other = self.other
        if other is not None and other.write_queue and other.alive:
            other.loop.deliver_at(
                self.loop.world.now + self.delay, lambda: other.alive and other.flush()
            )
        if not self.ending:
            self.owner.data_received(self, data)

    def read_now(self) -> None:
        """Nothing lies unread here."""

    def unacknowledged(self) -> int:
        """What is told here has been handed over."""
        return 0

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True
        if self.stash:
            self.loop.call_soon(self.unstash)

    def unstash(self) -> None:
        while self.stash and self.reading and self.alive:
            data = self.stash.popleft()
            if data is None:
                return self.lose(self.gone)
            self.read(data)

    def ended(self, why: str | None) -> None:
        """The peer's end arrives, behind its data; a reset overtakes what was not read."""
        if self.stash and why is None:
            self.gone = why
            self.stash.append(None)
        else:
            self.lose(why)

    def finish(self) -> None:
        if self.other is not None and self.other.alive:
            self.send(lambda other: other.ended(None))
        self.lose(None)

    def close(self, deliver_ms: float | None = None) -> None:
        if self.alive and not self.ending:
            self.ending = True
            if not self.write_queue:
                self.finish()

    def abort(self) -> None:
        if self.alive:
            self.cut("Connection reset by peer")
            self.lose("aborted")

    def cut(self, why: str) -> None:
        """Tells the peer of a reset."""
        if self.other is not None and self.other.alive:
            self.send(lambda other: other.ended(why))

    def lose(self, why: str | None) -> None:
        if not self.alive:
            return
        self.alive = False
        if self.limit is not None:
            self.limit.cancel()
        self.loop.streams.pop(self.number, None)
        self.loop.open_streams -= 1
        self.write_queue.clear()
        if self.owner is not None:
            self.owner.closed(self, why)

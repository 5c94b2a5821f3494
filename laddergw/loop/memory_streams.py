"""Streams and listeners of the loop in memory: delay, bounded buffers, and a close that arrives
after the data sent before it.
"""

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from laddergw.loop.base import LastReader, Owner, QueuedWrites
from laddergw.loop.lingering import LINGER_MS

if TYPE_CHECKING:
    from laddergw.loop.memory import Host

# bytes that one direction of a stream holds until its reader reads them, as a socket buffer does
WINDOW = 65_536


class Listener:
    """A bound address in memory."""

    def __init__(self, host: "Host", address: tuple, accept: Callable):
        self.host, self.address, self.accept, self.waiting = host, address, accept, deque()

    def ready(self) -> None:
        """Accepts the connections that wait and hands over what they received meanwhile."""
        while self.waiting:
            stream = self.waiting.popleft()
            if stream.close_reason is not None or not stream.alive:
                continue
            stream.owner = self.accept(stream)
            stream.owner.opened(stream)
            for event in stream.events_before_accept:
                event()
            stream.events_before_accept.clear()

    def accept_waiting(self) -> None:
        """Accepts the whole backlog."""
        self.ready()

    def close(self) -> None:
        """Frees the address; connections that were not accepted are reset."""
        self.host.network.ports.pop(self.address, None)
        for stream in self.waiting:
            stream.reset_remote("Connection reset by peer")
        self.waiting.clear()


class Stream(QueuedWrites):
    """One end of a connection in memory, with the methods and counters of a real one."""

    may_have_more = False  # what has arrived is read at once

    def __init__(self, host: "Host", owner: Owner | None, peer, number: int, delay: float):
        self.loop, self.owner, self.peer, self.number, self.delay = host, owner, peer, number, delay
        self.remote: Stream | None = None
        self.open, self.alive, self.reading, self.closing = False, True, True, False
        self.bytes_written = self.bytes_sent = self.queued = self.unread = 0
        self.write_queue, self.received, self.events_before_accept = deque(), deque(), []
        self.limit_timer, self.close_reason = None, None
        self.last_reader: LastReader | None = None
        host.streams[number] = self
        host.open_streams += 1

    def connected(self) -> None:
        """The connection came up: calls the owner and sends what was written before."""
        if not self.alive:
            return
        if self.limit_timer is not None:
            self.limit_timer.cancel()
        self.open = True
        self.owner.opened(self)
        self.flush()

    def write(self, data: bytes) -> None:
        """Queues the data and sends what the window takes; ignored once the stream is closed."""
        self.bytes_written += len(data)
        if not self.alive or self.closing or not data:
            return
        self.queued += len(data)
        self.write_queue.append(bytes(data))
        if self.open:
            self.flush(quiet=True)

    def flush(self, quiet: bool = False) -> None:
        """Sends what the window takes; the reader opens it again by reading.

        `quiet`: the owner is not notified that the queue is empty.
        """
        while self.write_queue and self.alive and self.remote is not None:
            room = WINDOW - self.remote.unread
            if room <= 0:
                return
            data = self.write_queue.popleft()
            if len(data) > room:
                self.write_queue.appendleft(data[room:])
                data = data[:room]
            self.bytes_sent += len(data)
            self.queued -= len(data)
            self.remote.unread += len(data)
            self.send(lambda remote, data=data: remote.data_arrived(data))
        if self.alive and not self.write_queue and self.open:
            if self.closing:
                self.finish_close()
            elif not quiet:
                self.owner.write_buffer_drained(self)

    def send(self, event: Callable[["Stream"], None]) -> None:
        """Calls `event` with the other end after the delay; lost if this host is silent."""
        remote, host = self.remote, self.remote.loop
        if not self.loop.silent:
            host.deliver_at(
                self.loop.network.now + self.delay, lambda: remote.handle(lambda: event(remote))
            )

    def handle(self, event: Callable[[], None]) -> None:
        """Runs an event in this end's turn; it is kept until the listener has accepted."""
        if self.owner is None:
            self.events_before_accept.append(event)
        elif self.alive or self.last_reader is not None:
            event()

    def data_arrived(self, data: bytes) -> None:
        """Hands data to the owner, or keeps it while reading is paused."""
        if self.reading and not self.received:
            self.read(data)
        else:
            self.received.append(data)

    def read(self, data: bytes) -> None:
        """Hands data to the owner and lets the other end send more."""
        self.unread -= len(data)
        remote = self.remote
        if remote is not None and remote.write_queue and remote.alive:
            remote.loop.deliver_at(
                self.loop.network.now + self.delay, lambda: remote.alive and remote.flush()
            )
        if not self.closing:
            self.owner.data_received(self, data)
        elif self.last_reader is not None:
            self.last_reader.last_data_received(data)

    def read_now(self) -> None:
        """Does nothing: no data lies unread here."""

    def unacknowledged(self) -> int:
        """Always 0: what was sent has been delivered."""
        return 0

    def pause_reading(self) -> None:
        """Keeps what arrives from now on."""
        self.reading = False

    def resume_reading(self) -> None:
        """Hands over what was kept, later in this turn, and reads on."""
        self.reading = True
        if self.received:
            self.loop.call_soon(self.read_received)

    def read_received(self) -> None:
        """Hands over the kept data, then the close that came after it."""
        while self.received and self.reading and self.alive:
            data = self.received.popleft()
            if data is None:
                return self.close_now(self.close_reason)
            self.read(data)

    def remote_closed(self, reason: str | None) -> None:
        """The other end closed: handled after its data; a reset overtakes data that is not read."""
        if self.received and reason is None:
            self.close_reason = reason
            self.received.append(None)
        else:
            self.close_now(reason)

    def finish_close(self) -> None:
        """Everything is sent: notifies the other end and closes."""
        if self.remote is not None and self.remote.alive:
            self.send(lambda remote: remote.remote_closed(None))
        self.close_now(None)

    def end_last_reads(self) -> None:
        """Reads nothing more after a close."""
        last_reader, self.last_reader = self.last_reader, None
        if last_reader is not None:
            last_reader.last_data_ended()

    def close(
        self, delivery_limit_ms: float | None = None, last_reader: LastReader | None = None
    ) -> None:
        """Closes once everything queued is sent; `last_reader` gets what arrives after that."""
        if self.alive and not self.closing:
            self.closing, self.last_reader = True, last_reader
            if not self.write_queue:
                self.finish_close()

    def abort(self) -> None:
        """Closes at once with a reset; what is queued is dropped."""
        if self.alive:
            self.reset_remote("Connection reset by peer")
            self.close_now("aborted")

    def reset_remote(self, reason: str) -> None:
        """Sends the other end a reset."""
        if self.remote is not None and self.remote.alive:
            self.send(lambda remote: remote.remote_closed(reason))

    def close_now(self, reason: str | None) -> None:
        """Drops what is queued, leaves the loop and calls the owner's `closed`."""
        if not self.alive:
            return
        self.alive = False
        if self.limit_timer is not None:
            self.limit_timer.cancel()
        self.loop.streams.pop(self.number, None)
        self.loop.open_streams -= 1
        self.write_queue.clear()
        if self.owner is not None:
            self.owner.closed(self, reason)
        if self.last_reader is not None:
            self.loop.call_later(0.0 if reason else LINGER_MS, self.end_last_reads)

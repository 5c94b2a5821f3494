"""A connected socket on the loop: written data waits until the kernel takes it, received data goes
to the stream's owner.
"""

import errno
import os
import selectors
import socket
from collections import deque
from typing import TYPE_CHECKING

from laddergw.loop.base import CONNECTION_REFUSED, LastReader, Owner, QueuedWrites
from laddergw.loop.lingering import READ_BYTES, RESET, linger, unacknowledged

if TYPE_CHECKING:
    from laddergw.loop.sockets import SocketLoop

# limit for the queue of a connection that we have closed: if its peer takes nothing for this long,
# the rest is dropped
CLOSE_STALL_MS = 5_000.0


class Stream(QueuedWrites):
    """A connected socket.

    `bytes_sent` counts the bytes that the kernel took, `bytes_written` those that were passed to
    `write`. `may_have_more`: the last turn's read stopped at its bound, so the peer may have sent
    more, or have closed.
    """

    __slots__ = (
        "bytes_sent",
        "bytes_written",
        "closing",
        "delivery_limit_ms",
        "fd",
        "last_reader",
        "limit_timer",
        "loop",
        "mask",
        "may_have_more",
        "open",
        "owner",
        "peer",
        "queued",
        "reading",
        "sock",
        "write_queue",
    )

    def __init__(self, loop: "SocketLoop", sock: socket.socket, owner: Owner, peer):
        self.loop, self.sock, self.owner, self.peer = loop, sock, owner, peer
        self.fd = sock.fileno() if sock else -1
        self.write_queue: deque = deque()
        self.queued = self.bytes_written = self.bytes_sent = self.mask = 0
        self.reading, self.closing, self.open, self.limit_timer, self.may_have_more = (
            True,
            False,
            False,
            None,
            False,
        )
        self.delivery_limit_ms = self.last_reader = None

    def write(self, data: bytes) -> None:
        """Writes what the kernel takes now, queues the rest; ignored once the stream is closed."""
        self.bytes_written += len(data)
        if self.sock is None or self.closing or not data:
            return
        if self.open and not self.write_queue:
            data = data[self.send(data) :]
        if data and self.sock is not None:
            self.write_queue.append(data)
            self.queued += len(data)
            self.update_selector()

    def send(self, data) -> int:
        """Returns how many bytes the kernel took."""
        try:
            count = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            reason = str(error.strerror or error)
            self.loop.call_soon(lambda: self.close_now(reason))
            return 0
        self.bytes_sent += count
        return count

    def flush(self) -> None:
        """Sends queued writes as far as the kernel takes them."""
        sent_before = self.bytes_sent
        while self.write_queue and self.sock is not None:
            data = self.write_queue[0]
            count = self.send(data)
            self.queued -= count
            if count < len(data):
                if count:
                    self.write_queue[0] = data[count:]
                has_progress = self.bytes_sent > sent_before
                if has_progress and self.closing and self.delivery_limit_ms is None:
                    self.set_close_timeout()
                return
            self.write_queue.popleft()
        if self.sock is None:
            return
        self.finish_close() if self.closing else self.owner.write_buffer_drained(self)

    def update_selector(self) -> None:
        """Registers the socket for the events that the stream waits for now."""
        if self.sock is None:
            return
        mask = (selectors.EVENT_READ if self.reading and self.open else 0) | (
            selectors.EVENT_WRITE if self.write_queue or not self.open else 0
        )
        if mask != self.mask:
            selector = self.loop.selector
            if not self.mask:
                selector.register(self.sock, mask, self)
            elif mask:
                selector.modify(self.sock, mask, self)
            else:
                selector.unregister(self.sock)
            self.mask = mask

    def ready(self, events: int) -> None:
        """Handles the events of the selector."""
        if self.sock is None:  # closed by an earlier event of this turn
            return
        if not self.open:
            return self.connected() if events & selectors.EVENT_WRITE else None
        if events & selectors.EVENT_WRITE:
            self.flush()
            self.update_selector()
        if events & selectors.EVENT_READ:
            self.read_now()

    def read_now(self) -> None:
        """Reads all that has arrived, within the bound.

        A peer's close comes after its last bytes and is seen in the turn that reads those.
        """
        left, self.may_have_more = READ_BYTES, False
        while self.sock is not None and self.reading and not self.may_have_more:
            try:
                # past the bound, one more byte shows whether there is more
                data = self.sock.recv(left or 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                return self.close_now(str(error.strerror or error))
            if not data:
                return self.close_now(None)
            self.may_have_more, left = not left, max(0, left - len(data))
            self.owner.data_received(self, data)

    def connected(self) -> None:
        """The connect ended: closes the stream on an error, else calls the owner's `opened`."""
        if self.limit_timer is not None:
            self.limit_timer.cancel()
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            return self.close_now(
                CONNECTION_REFUSED if error == errno.ECONNREFUSED else os.strerror(error)
            )
        self.open = True
        if self.closing:
            self.set_close_timeout()
        self.owner.opened(self)
        if self.sock is not None and self.write_queue:
            self.flush()
        self.update_selector()

    def unacknowledged(self) -> int:
        """Bytes that the kernel took and the peer's kernel has not acknowledged."""
        return unacknowledged(self.sock)

    def pause_reading(self) -> None:
        """Leaves what arrives in the kernel's buffer, so that the peer is held back."""
        self.reading = False
        self.update_selector()

    def resume_reading(self) -> None:
        """Reads again."""
        self.reading = True
        self.update_selector()

    def close(
        self, delivery_limit_ms: float | None = None, last_reader: LastReader | None = None
    ) -> None:
        """Closes once everything queued is sent; the owner reads nothing more, `last_reader` may.

        With `delivery_limit_ms`, what the peer's kernel has not acknowledged that long after it is
        discarded from ours and never arrives; without it, ours goes on delivering.
        """
        if self.sock is None or self.closing:
            return
        self.closing = True
        self.delivery_limit_ms, self.last_reader = delivery_limit_ms, last_reader
        if not self.write_queue:
            self.finish_close()
        else:
            self.pause_reading()
            self.set_close_timeout()

    def set_close_timeout(self) -> None:
        """Aborts the closing stream unless its queue is sent within the limit of its close.

        A connection that has not come up yet has its own limit.
        """
        if self.open:
            if self.limit_timer is not None:
                self.limit_timer.cancel()
            limit_ms = self.delivery_limit_ms
            self.limit_timer = self.loop.call_later(
                CLOSE_STALL_MS if limit_ms is None else limit_ms, self.abort
            )

    def finish_close(self) -> None:
        """Reports to the owner that the stream closed; the socket lingers until its peer closes."""
        if not self.open:
            return self.close_now(None)
        linger(self.loop, self.detach_socket(), self.delivery_limit_ms, self.last_reader)
        self.owner.closed(self, None)

    def abort(self) -> None:
        """Closes at once with a reset; what is queued is dropped."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.close_now("aborted")

    def detach_socket(self) -> socket.socket:
        """Removes the socket from the loop and returns it; drops what is queued."""
        if self.limit_timer is not None:
            self.limit_timer.cancel()
        if self.mask:
            self.loop.selector.unregister(self.sock)
        sock, self.sock, self.mask = self.sock, None, 0
        self.write_queue.clear()
        self.loop.open_streams -= 1
        return sock

    def close_now(self, reason: str | None) -> None:
        """Closes the socket and calls the owner's `closed`, unless the stream is closed already."""
        if self.sock is not None:
            self.detach_socket().close()
            self.owner.closed(self, reason)
            self.loop.end_last_reads(self.last_reader)

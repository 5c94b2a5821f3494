"""A connected socket on the loop: what is written waits until the kernel takes it, what comes is
handed to the stream's owner.
"""

import errno
import os
import selectors
import socket
from collections import deque
from typing import TYPE_CHECKING

from laddergw.loop.base import CONNECTION_REFUSED, Outgoing, Owner
from laddergw.loop.lingering import READ_BYTES, RESET, unacknowledged

if TYPE_CHECKING:
    from laddergw.loop.sockets import SocketLoop

# what is queued on a connection that we have closed: a peer that takes nothing for so long gets no
# more
STUCK_MS = 5_000.0


class Stream(Outgoing):
    """A connected socket.

    `bytes_sent` counts the bytes that the kernel took, `bytes_written` those that we were given to
    write. `may_have_more`: the last turn's read stopped at its bound, so its peer may have said
    more, or have left.
    """

    __slots__ = (
        "bytes_sent",
        "bytes_written",
        "deliver_ms",
        "ending",
        "fd",
        "limit",
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
        self.loop, self.sock, self.owner, self.peer, self.fd = (
            loop,
            sock,
            owner,
            peer,
            sock.fileno() if sock else -1,
        )
        self.write_queue: deque = deque()
        self.queued = self.bytes_written = self.bytes_sent = self.mask = 0
        self.reading, self.ending, self.open, self.limit, self.may_have_more = (
            True,
            False,
            False,
            None,
            False,
        )
        self.deliver_ms = None

    def write(self, data: bytes) -> None:
        """Writes what the kernel takes now and keeps the rest.

        Nothing is written once the stream has closed.
        """
        self.bytes_written += len(data)
        if self.sock is None or self.ending or not data:
            return
        if self.open and not self.write_queue:
            data = data[self.push(data) :]
        if data and self.sock is not None:
            self.write_queue.append(data)
            self.queued += len(data)
            self.watch()

    def push(self, data) -> int:
        try:
            count = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            why = str(error.strerror or error)
            self.loop.call_soon(lambda: self.lose(why))
            return 0
        self.bytes_sent += count
        return count

    def flush(self) -> None:
        while self.write_queue and self.sock is not None:
            data = self.write_queue[0]
            count = self.push(data)
            self.queued -= count
            if count < len(data):
                if count:
                    self.write_queue[0] = data[count:]
                if count and self.ending and self.deliver_ms is None:
                    self.set_close_timeout(STUCK_MS)
                return
            self.write_queue.popleft()
        if self.sock is None:
            return
        if self.ending:
            self.finish_close()
        else:
            self.owner.write_buffer_drained(self)

    def watch(self) -> None:
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
        if self.sock is None:  # closed by an event told earlier in this turn
            return
        if not self.open:
            return self.connected() if events & selectors.EVENT_WRITE else None
        if events & selectors.EVENT_WRITE:
            self.flush()
            self.watch()
        if events & selectors.EVENT_READ:
            self.read_now()

    def read_now(self) -> None:
        """Reads all that has come, within the bound: a peer's end stands behind its last bytes, and
        is seen in the turn that reads those.
        """
        left, self.may_have_more = READ_BYTES, False
        while self.sock is not None and self.reading and not self.may_have_more:
            try:
                data = self.sock.recv(
                    left or 1
                )  # one byte past the bound tells whether there is more
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                return self.lose(str(error.strerror or error))
            if not data:
                return self.lose(None)
            self.may_have_more, left = not left, max(0, left - len(data))
            self.owner.data_received(self, data)

    def connected(self) -> None:
        if self.limit is not None:
            self.limit.cancel()
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            return self.lose(
                CONNECTION_REFUSED if error == errno.ECONNREFUSED else os.strerror(error)
            )
        self.open = True
        if self.ending:
            self.set_close_timeout(STUCK_MS if self.deliver_ms is None else self.deliver_ms)
        self.owner.opened(self)
        if self.sock is not None and self.write_queue:
            self.flush()
        self.watch()

    def unacknowledged(self) -> int:
        return unacknowledged(self.sock)

    def pause_reading(self) -> None:
        self.reading = False
        self.watch()

    def resume_reading(self) -> None:
        self.reading = True
        self.watch()

    def close(self, deliver_ms: float | None = None) -> None:
        """Ends after what is queued; nothing more is read. `deliver_ms`, where it is told: what the
        peer's system has not got so long
        after that is taken back from ours, and never arrives; else ours goes on delivering it."""
        if self.sock is None or self.ending:
            return
        self.ending, self.deliver_ms = True, deliver_ms
        if not self.write_queue:
            self.finish_close()
        else:
            self.pause_reading()
            self.set_close_timeout(STUCK_MS if deliver_ms is None else deliver_ms)

    def set_close_timeout(self, ms: float) -> None:
        """Closed, with something queued: so long, then it is dropped. (A connection that does not
        come up has its own limit.)
        """
        if self.open:
            if self.limit is not None:
                self.limit.cancel()
            self.limit = self.loop.call_later(ms, self.abort)

    def finish_close(self) -> None:
        """Its owner is told that it has ended; the socket itself lingers until the peer has ended
        too.
        """
        if not self.open:
            return self.lose(None)
        self.loop.linger(self.leave_loop(), self.deliver_ms)
        self.owner.closed(self, None)

    def abort(self) -> None:
        """Ends at once with a reset; what is queued is dropped."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.lose("aborted")

    def leave_loop(self) -> socket.socket:
        """Its socket, which the loop does not look at any more."""
        if self.limit is not None:
            self.limit.cancel()
        if self.mask:
            self.loop.selector.unregister(self.sock)
        sock, self.sock, self.mask = self.sock, None, 0
        self.write_queue.clear()
        self.loop.open_streams -= 1
        return sock

    def lose(self, why: str | None) -> None:
        if self.sock is not None:
            self.leave_loop().close()
            self.owner.closed(self, why)

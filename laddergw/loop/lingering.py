"""Closed sockets that stay open until their peers have closed too, and a count of the bytes that
a peer has not acknowledged.
"""

import fcntl
import selectors
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laddergw.loop.base import LastReader
    from laddergw.loop.sockets import SocketLoop

# time that a connection closed by us is still read: its peer, a few round trips away, closes its
# side within that
LINGER_MS = 500.0
# closed connections that still wait for their peers to close; beyond that the oldest is closed, so
# that a flood of connections that we close does not hold descriptors
MAX_LINGERING = 16
# bytes read from one stream in a turn, so that the other streams are served too
READ_BYTES = 65_536
# SO_LINGER with a timeout of 0: closing resets the connection, and unsent bytes are discarded
RESET = b"\1\0\0\0\0\0\0\0"


class Lingering:
    """A closed socket whose peer has not closed yet.

    Our end is shut down for writing; what the peer still sends is read until it closes, and goes to
    the last reader or is dropped. If the socket were closed at once while bytes lie unread or still
    arrive, the kernel would reset the connection, and the peer would lose what we sent last.
    """

    def __init__(
        self,
        loop: "SocketLoop",
        sock: socket.socket,
        delivery_limit_ms: float | None,
        last_reader: "LastReader | None",
    ):
        self.loop, self.sock, self.last_reader = loop, sock, last_reader
        self.linger_timer = loop.call_later(LINGER_MS, self.close)
        self.delivery_timer = (
            None
            if delivery_limit_ms is None
            else loop.call_later(delivery_limit_ms, self.reset_if_undelivered)
        )
        loop.selector.register(sock, selectors.EVENT_READ, self)

    def reset_if_undelivered(self) -> None:
        """Resets the connection if the peer has not acknowledged all that was sent."""
        if self.sock is not None and unacknowledged(self.sock):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.close()

    def ready(self, events: int) -> None:
        """Reads what the peer sent, up to READ_BYTES; closes once the peer has closed."""
        left = READ_BYTES
        try:
            while left > 0 and self.sock is not None:
                data = self.sock.recv(left)
                if not data:
                    return self.close()
                left -= len(data)
                if self.last_reader is not None:
                    self.last_reader.last_data_received(data)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()

    def close(self) -> None:
        """Closes the socket and removes it from the loop."""
        if self.sock is not None:
            for timer in filter(None, (self.linger_timer, self.delivery_timer)):
                timer.cancel()
            self.loop.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None
            self.loop.lingering.pop(self, None)
            self.loop.end_last_reads(self.last_reader)


def linger(
    loop: "SocketLoop",
    sock: socket.socket,
    delivery_limit_ms: float | None,
    last_reader: "LastReader | None",
) -> None:
    """Takes over a socket that its stream has closed, until its peer has closed too."""
    try:
        sock.shutdown(socket.SHUT_WR)
        is_connected = True
    except OSError:  # the peer has reset it
        is_connected = False
    if loop.is_closed or not is_connected:
        sock.close()
        return loop.end_last_reads(last_reader)
    loop.lingering[Lingering(loop, sock, delivery_limit_ms, last_reader)] = None
    if len(loop.lingering) > MAX_LINGERING:
        next(iter(loop.lingering)).close()
    return None


def unacknowledged(sock: socket.socket) -> int:
    """Bytes that the kernel took from us and the peer's kernel has not acknowledged."""
    try:
        return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, b"\0" * 4))[0]
    except OSError:  # the system does not support the query: nothing is known to be missing
        return 0

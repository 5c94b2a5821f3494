"""Sockets that we have closed for good, until their peers have ended too; and what the system has
not delivered yet.
"""

import fcntl
import selectors
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laddergw.loop.sockets import SocketLoop

# a connection that we have closed is read for so long: its peer, a few round trips away, ends its
# side
LINGER_MS = 500.0
READ_BYTES = 65_536  # read of one stream in a turn: the others get theirs
RESET = (
    b"\1\0\0\0\0\0\0\0"  # SO_LINGER of no time: closing resets, and what has not arrived never does
)


class Lingering:
    """A socket that we have closed for good: our end is told, what its peer still sends is read and
    dropped until it ends too.
    Closed at once beside bytes that lie unread, or come, the system resets it, and the peer loses
    what we sent last.
    """

    def __init__(self, loop: "SocketLoop", sock: socket.socket, deliver_ms: float | None):
        self.loop, self.sock = loop, sock
        self.limit = loop.call_later(LINGER_MS, self.close)
        self.delivery = None if deliver_ms is None else loop.call_later(deliver_ms, self.late)
        loop.selector.register(sock, selectors.EVENT_READ, self)

    def late(self) -> None:
        """What we sent last has to be there by now, or it is taken back."""
        if self.sock is not None and unacknowledged(self.sock):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.close()

    def ready(self, events: int) -> None:
        left = READ_BYTES
        try:
            while left > 0 and self.sock is not None:
                data = self.sock.recv(left)
                if not data:
                    return self.close()
                left -= len(data)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()

    def close(self) -> None:
        if self.sock is not None:
            for timer in filter(None, (self.limit, self.delivery)):
                timer.cancel()
            self.loop.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None
            self.loop.lingering.pop(self, None)


def unacknowledged(sock: socket.socket) -> int:
    """Bytes that the system took of us and the peer's system has not told to have."""
    try:
        return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, b"\0" * 4))[0]
    except OSError:  # no such answer here: nothing is known to be missing
        return 0

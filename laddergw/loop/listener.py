"""A listening socket on the loop: accepts so many a turn, and rests where no descriptor is left."""

import array
import contextlib
import errno
import selectors
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

from laddergw.loop.base import Owner

if TYPE_CHECKING:
    from laddergw.loop.sockets import SocketLoop
    from laddergw.loop.streams import Stream

ACCEPTS = 128  # connections accepted in one turn by one listener
# a listener that finds no descriptor rests so long: its socket would stay readable all the while
ACCEPT_PAUSE_MS = 50.0
SO_ATTACH_FILTER = 26  # of Linux, which Python's socket module does not name
DROP_ALL = struct.pack(
    "=HBBI", 0x06, 0, 0, 0
)  # one instruction of a socket filter: take no byte of any packet
NO_ROOM = errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM


class Listener:
    """A bound socket; `accept(stream)` returns the stream's owner."""

    def __init__(
        self, loop: "SocketLoop", sock: socket.socket, accept: Callable[["Stream"], Owner]
    ):
        self.loop, self.sock, self.accept = loop, sock, accept
        self.resting, self.starved = (
            None,
            False,
        )  # starved: some wait, and the last look found no descriptor for them
        self.address = sock.getsockname()[:2]
        loop.selector.register(sock, selectors.EVENT_READ, self)

    def ready(self, events: int = 0) -> bool:
        """Whether more may wait."""
        self.starved = False
        for _ in range(ACCEPTS):
            if self.sock is None:
                return False
            try:
                sock, peer = self.loop.with_room(self.sock.accept)
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:  # out of descriptors: the others in the backlog wait a little
                self.loop.failed_accepts += 1
                self.loop.last_error = str(error)
                if error.errno in NO_ROOM:
                    self.starved = True
                    self.rest()
                return False
            self.loop.adopt(sock, peer, self.accept)
        return True

    def drop_new_connections(self) -> None:
        """No connection comes up any more: the system drops what asks for one.

        Those that are up wait to be accepted.
        """
        program = array.array("B", DROP_ALL)
        address, _ = program.buffer_info()
        with contextlib.suppress(
            OSError
        ):  # where the system has no such filters, some microseconds stay open
            self.sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", 1, address))

    def accept_waiting(self) -> bool:
        """All of the backlog, at the end: what is not accepted when the listener closes is reset.

        Whether some wait for a descriptor.
        """
        if self.sock is not None:
            self.drop_new_connections()
        while self.ready():
            pass
        return self.starved

    def rest(self) -> None:
        if self.resting is not None:  # it is asked for the rest of its backlog meanwhile
            return
        self.loop.selector.unregister(self.sock)
        self.resting = self.loop.call_later(ACCEPT_PAUSE_MS, self.go_on)

    def go_on(self) -> None:
        self.resting = None
        self.loop.selector.register(self.sock, selectors.EVENT_READ, self)

    def close(self) -> None:
        if self.sock is not None:
            if self.resting is not None:
                self.resting.cancel()
            else:
                self.loop.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None

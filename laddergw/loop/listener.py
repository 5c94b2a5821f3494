"""A listening socket on the loop: accepts a bounded number of connections per turn, and pauses when
the process is out of descriptors.
"""

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

MAX_ACCEPTS_PER_TURN = 128  # of one listener
# pause of a listener that finds no free descriptor: its socket would stay readable all the while
ACCEPT_PAUSE_MS = 50.0
SO_ATTACH_FILTER = 26  # Linux; Python's socket module does not define it
# a socket filter of one instruction: accept zero bytes of any packet
DROP_ALL = struct.pack("=HBBI", 0x06, 0, 0, 0)
OUT_OF_RESOURCES = errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM


class Listener:
    """A bound socket; `accept(stream)` returns the stream's owner."""

    def __init__(
        self, loop: "SocketLoop", sock: socket.socket, accept: Callable[["Stream"], Owner]
    ):
        self.loop, self.sock, self.accept = loop, sock, accept
        # out_of_descriptors: connections wait, and the last accept found no descriptor for them
        self.pause_timer, self.out_of_descriptors = None, False
        self.address = sock.getsockname()[:2]
        loop.selector.register(sock, selectors.EVENT_READ, self)

    def ready(self, events: int = 0) -> bool:
        """Accepts what waits, within the bound; returns whether more may wait."""
        self.out_of_descriptors = False
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.sock is None:
                return False
            try:
                sock, peer = self.loop.with_free_descriptor(self.sock.accept)
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:  # out of descriptors: the rest of the backlog waits a little
                self.loop.failed_accepts += 1
                self.loop.last_error = str(error)
                if error.errno in OUT_OF_RESOURCES:
                    self.out_of_descriptors = True
                    self.pause_accepting()
                return False
            self.loop.add_accepted(sock, peer, self.accept)
        return True

    def drop_new_connections(self) -> None:
        """Makes the kernel drop connection requests from now on.

        Connections that are established already still wait to be accepted.
        """
        program = array.array("B", DROP_ALL)
        address, _ = program.buffer_info()
        # without support for such filters, connections can come up for some more microseconds
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", 1, address))

    def accept_waiting(self) -> bool:
        """Accepts the whole backlog before the listener closes: closing resets what is left in it.

        Returns whether connections still wait for a descriptor.
        """
        if self.sock is not None:
            self.drop_new_connections()
        while self.ready():
            pass
        return self.out_of_descriptors

    def pause_accepting(self) -> None:
        """Stops accepting for ACCEPT_PAUSE_MS."""
        # already paused: accept_waiting may ask for the rest of the backlog during a pause
        if self.pause_timer is not None:
            return
        self.loop.selector.unregister(self.sock)
        self.pause_timer = self.loop.call_later(ACCEPT_PAUSE_MS, self.resume_accepting)

    def resume_accepting(self) -> None:
        """Accepts again after a pause."""
        self.pause_timer = None
        self.loop.selector.register(self.sock, selectors.EVENT_READ, self)

    def close(self) -> None:
        """Closes the socket; connections that were not accepted are reset."""
        if self.sock is not None:
            if self.pause_timer is not None:
                self.pause_timer.cancel()
            else:
                self.loop.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None

"""The loop on real sockets: selectors, signals by a wake-up descriptor, child processes by their
descriptors.
"""

import errno
import math
import os
import selectors
import signal
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from laddergw.loop import signal_mask
from laddergw.loop.base import CONNECTION_REFUSED, NO_DESCRIPTOR, BaseLoop, Owner, wait_ms
from laddergw.loop.lingering import Lingering
from laddergw.loop.listener import NO_ROOM, Listener
from laddergw.loop.streams import Stream

if TYPE_CHECKING:
    import subprocess

BACKLOG = 1024  # connections that wait in the kernel: a burst while a turn runs
LONGEST_WAIT_MS = 100.0  # wait of one turn: a stand-still of the process is seen to within this
# closed connections that still wait for their peers' ends; one more, and the oldest is cut off: a
# flood of
LINGERS = 16
# connections that we close must not hold descriptors


def clock() -> float:
    return time.monotonic_ns() / 1e6


class DescriptorWatch:
    """Any descriptor that becomes readable: the wake-up socket of signals, a child's descriptor, a
    pipe.
    """

    def __init__(self, loop: "SocketLoop", fd, call: Callable[[], None]):
        self.loop, self.fd, self.call = loop, fd, call
        loop.selector.register(fd, selectors.EVENT_READ, self)

    def ready(self, events: int) -> None:
        if self.fd is not None:
            self.call()

    def close(self) -> None:
        if self.fd is not None:
            self.loop.selector.unregister(self.fd)
            self.fd = None


class SocketLoop(BaseLoop):
    """The loop that programs run on.

    Work in one turn is bounded: one read a stream, so many accepts and timers.
    """

    def __init__(self, clock: Callable[[], float] = clock, selector=None):
        super().__init__(clock())
        self.clock, self.selector = clock, selector or selectors.DefaultSelector()
        self.open_streams = self.failed_accepts = 0
        self.last_error, self.signals, self.wakeup, self.over = None, {}, None, False

    def read_clock(self) -> float:
        return self.clock()

    def listen(self, address: tuple[str, int], accept: Callable[[Stream], Owner]) -> Listener:
        sock = socket.socket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM
        )
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        return Listener(self, sock, accept)

    def adopt(self, sock: socket.socket, peer, accept: Callable[[Stream], Owner]) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self, sock, None, peer)
        stream.open, self.open_streams = True, self.open_streams + 1
        stream.owner = accept(stream)
        stream.owner.opened(stream)
        stream.watch()

    def dial(self, address: tuple[str, int], owner: Owner, limit_ms: float) -> Stream:
        """Connects; the owner is told `opened`, or `closed` with the reason, never within this
        call.
        """
        if self.over:  # asked for as a connection ends with the loop
            return Stream(self, None, owner, address)
        try:
            sock = self.with_room(
                lambda: socket.socket(
                    socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM
                )
            )
        except OSError as error:  # this connection does not come up, nothing else is harmed
            self.last_error, stream = str(error), Stream(self, None, owner, address)
            self.call_soon(lambda: owner.closed(stream, NO_DESCRIPTOR))
            return stream
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self, sock, owner, address)
        self.open_streams += 1
        try:
            sock.connect(address)
        except BlockingIOError:
            pass
        except OSError as error:
            why = (
                CONNECTION_REFUSED
                if error.errno == errno.ECONNREFUSED
                else str(error.strerror or error)
            )
            self.call_soon(lambda: stream.lose(why))
            return stream
        stream.limit = self.call_later(limit_ms, lambda: stream.lose("no connection in time"))
        stream.watch()
        return stream

    def with_room(self, take: Callable):
        """Takes a descriptor; where none is left, connections that are closed for good and wait for
        their peers' ends give way, oldest
        first: whoever does not end its side would hold them from all others."""
        while True:
            try:
                return take()
            except OSError as error:
                if error.errno not in NO_ROOM or not self.lingering:
                    raise
                next(iter(self.lingering)).close()

    def linger(self, sock: socket.socket, deliver_ms: float | None) -> None:
        """Takes over a socket that is closed for good, until its peer has ended too."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has reset it
            return sock.close()
        if self.over:
            return sock.close()
        self.lingering[Lingering(self, sock, deliver_ms)] = None
        if len(self.lingering) > LINGERS:
            next(iter(self.lingering)).close()

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        if self.wakeup is None:
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            theirs.setblocking(False)
            signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
            self.wakeup = DescriptorWatch(self, ours, self.woken), theirs
        self.signals[number] = call
        signal.signal(number, lambda *_: None)
        signal_mask.unblock_signal(number)

    def woken(self) -> None:
        """Each kind once a turn, in the order in which they came first."""
        for number in dict.fromkeys(self.wakeup[0].fd.recv(4096)):
            if number in self.signals:
                self.signals[number]()

    def spawn(
        self, command: list[str], ended: Callable[[int], None], **options
    ) -> "subprocess.Popen":
        """Starts a child process; `ended(status)` is called in a turn when it has gone."""
        import subprocess  # only programs that have children pay for it

        child = subprocess.Popen(command, **options)
        handle = os.pidfd_open(child.pid)

        def gone() -> None:
            watch.close()
            os.close(handle)
            ended(child.wait())

        watch = DescriptorWatch(self, handle, gone)
        return child

    def turn(self) -> None:
        """Waits for what comes, then tells sockets before timers: what came in time is in time."""
        due = self.timers.next()
        wait = 0.0 if self.calls else wait_ms(self.now, due, LONGEST_WAIT_MS)
        before = self.now
        events = self.selector.select(math.ceil(wait) / 1000)
        self.now = self.clock()
        self.lagged(max(0.0, self.now - before - wait - 1.0), self.now - before)
        self.begin_turn()
        # Peers are heard before connections come up and queues move on: what one of them took back
        # must not leave in this turn
        for wanted in selectors.EVENT_READ, selectors.EVENT_WRITE:
            for key, mask in events:
                if key.data is not None and mask & wanted:
                    self.run_guarded(key.data.ready, mask & wanted)
                    self.run_calls()
        self.run_calls()
        self.run_timers()
        self.end_turn()

    def run(self) -> None:
        while self.running:
            self.turn()

    def close(self) -> None:
        if self.over:
            return
        self.over = True
        ours = self.wakeup[0].fd if self.wakeup is not None else None
        for key in list(self.selector.get_map().values()):
            if isinstance(key.data, Stream):
                key.data.lose("loop closed")
            else:
                key.data.close()
        if self.wakeup is not None:
            signal.set_wakeup_fd(-1)
            ours.close()
            self.wakeup[1].close()
        self.selector.close()

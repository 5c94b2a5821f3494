"""The loop on real sockets: selectors, signals through a wake-up descriptor, child processes
through their descriptors.
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
from laddergw.loop.listener import OUT_OF_RESOURCES, Listener
from laddergw.loop.streams import Stream

if TYPE_CHECKING:
    import subprocess

BACKLOG = 1024  # connections that wait in the kernel: a burst that arrives while a turn runs
MAX_WAIT_MS = 100.0  # wait of one turn; a stall of the process is noticed with this precision


def clock() -> float:
    """The monotonic clock, ms."""
    return time.monotonic_ns() / 1e6


class DescriptorWatch:
    """Calls back when a descriptor is readable: the wake-up socket of signals, a child's
    descriptor, a pipe.
    """

    def __init__(self, loop: "SocketLoop", fd, callback: Callable[[], None]):
        self.loop, self.fd, self.callback = loop, fd, callback
        loop.selector.register(fd, selectors.EVENT_READ, self)

    def ready(self, events: int) -> None:
        """Calls back, unless an event earlier in this turn closed the watch."""
        if self.fd is not None:
            self.callback()

    def close(self) -> None:
        """Stops watching; the descriptor itself stays open."""
        if self.fd is not None:
            self.loop.selector.unregister(self.fd)
            self.fd = None


class SocketLoop(BaseLoop):
    """The loop that programs run on.

    Work in one turn is bounded: one read per stream, a limited number of accepts and timers.
    """

    def __init__(self, clock: Callable[[], float] = clock, selector=None):
        super().__init__(clock())
        self.clock, self.selector = clock, selector or selectors.DefaultSelector()
        self.open_streams = self.failed_accepts = 0
        self.last_error, self.signal_handlers, self.wakeup, self.is_closed = None, {}, None, False

    def read_clock(self) -> float:
        """See BaseLoop."""
        return self.clock()

    def listen(self, address: tuple[str, int], accept: Callable[[Stream], Owner]) -> Listener:
        """Listens at an address. Raises OSError, as for an address that is in use."""
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

    def add_accepted(self, sock: socket.socket, peer, accept: Callable[[Stream], Owner]) -> None:
        """Makes a stream of an accepted socket and gives it to the owner that `accept` returns."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self, sock, None, peer)
        stream.open, self.open_streams = True, self.open_streams + 1
        stream.owner = accept(stream)
        stream.owner.opened(stream)
        stream.update_selector()

    def dial(self, address: tuple[str, int], owner: Owner, limit_ms: float) -> Stream:
        """Connects; calls the owner's `opened`, or `closed` with the reason, never within this
        call.
        """
        if self.is_closed:  # dialled when a connection ended as the loop was closed
            return Stream(self, None, owner, address)
        try:
            sock = self.with_free_descriptor(
                lambda: socket.socket(
                    socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM
                )
            )
        except OSError as error:  # only this connection fails
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
            reason = (
                CONNECTION_REFUSED
                if error.errno == errno.ECONNREFUSED
                else str(error.strerror or error)
            )
            self.call_soon(lambda: stream.close_now(reason))
            return stream
        stream.limit_timer = self.call_later(
            limit_ms, lambda: stream.close_now("no connection in time")
        )
        stream.update_selector()
        return stream

    def with_free_descriptor(self, take: Callable):
        """Calls `take`, which needs a descriptor.

        Where none is free, lingering connections are closed, oldest first, until it succeeds: a
        peer that does not close its side would otherwise keep descriptors from all others.
        """
        while True:
            try:
                return take()
            except OSError as error:
                if error.errno not in OUT_OF_RESOURCES or not self.lingering:
                    raise
                next(iter(self.lingering)).close()

    def on_signal(self, number: int, callback: Callable[[], None]) -> None:
        """Calls back in a turn after the signal has come; unblocks the signal."""
        if self.wakeup is None:
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            theirs.setblocking(False)
            signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
            self.wakeup = DescriptorWatch(self, ours, self.handle_signals), theirs
        self.signal_handlers[number] = callback
        signal.signal(number, lambda *_: None)
        signal_mask.unblock_signal(number)

    def handle_signals(self) -> None:
        """Handles each kind of signal once per turn, in the order in which they came first."""
        for number in dict.fromkeys(self.wakeup[0].fd.recv(4096)):
            if number in self.signal_handlers:
                self.signal_handlers[number]()

    def spawn(
        self, command: list[str], on_exit: Callable[[int], None], **options
    ) -> "subprocess.Popen":
        """Starts a child process; `on_exit(status)` is called in a turn after it has ended."""
        import subprocess  # a local import: only programs with child processes pay for it

        child = subprocess.Popen(command, **options)
        handle = os.pidfd_open(child.pid)

        def exited() -> None:
            watch.close()
            os.close(handle)
            on_exit(child.wait())

        watch = DescriptorWatch(self, handle, exited)
        return child

    def turn(self) -> None:
        """Waits for events, then handles sockets before timers: data that came in time is handled
        before a timer that is due in the same turn, also where the process stood still meanwhile.
        """
        due = self.timers.next()
        wait = 0.0 if self.deferred_calls else wait_ms(self.now, due, MAX_WAIT_MS)
        before = self.now
        events = self.selector.select(math.ceil(wait) / 1000)
        self.now = self.clock()
        lag_ms = max(0.0, self.now - before - wait - 1.0)
        # A wait that a stop of the process interrupted returns without what came meanwhile.
        if lag_ms > 0.0:
            events = self.selector.select(0)
        self.record_lag(lag_ms, self.now - before)
        self.begin_turn()
        # Data is read before connections come up and queues are written out: a write that a peer's
        # message cancels must not leave in this turn.
        for event in selectors.EVENT_READ, selectors.EVENT_WRITE:
            for key, mask in events:
                if key.data is not None and mask & event:
                    self.run_guarded(key.data.ready, mask & event)
                    self.run_calls()
        self.run_calls()
        self.run_timers()
        self.end_turn()

    def run(self) -> None:
        """Runs turns until the loop is stopped."""
        while self.running:
            self.turn()

    def close(self) -> None:
        """Closes every stream, listener and watch; may be called twice."""
        if self.is_closed:
            return
        self.is_closed = True
        ours = self.wakeup[0].fd if self.wakeup is not None else None
        for key in list(self.selector.get_map().values()):
            if isinstance(key.data, Stream):
                key.data.close_now("loop closed")
            else:
                key.data.close()
        if self.wakeup is not None:
            signal.set_wakeup_fd(-1)
            ours.close()
            self.wakeup[1].close()
        self.selector.close()

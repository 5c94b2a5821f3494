"""The loop on real sockets: selectors, signals by a wake-up descriptor, child processes by their descriptors."""
import errno
import math
import os
import selectors
import signal
import socket
import time
from collections import deque
from typing import TYPE_CHECKING, Callable

from laddergw.loop.base import REFUSED, SHORT, BaseLoop, Outgoing, Owner, wait_ms

if TYPE_CHECKING:
    import subprocess

READ_BYTES = 65_536        # one read of one stream in a turn: the others get theirs
ACCEPTS = 128              # connections accepted in one turn by one listener
BACKLOG = 1024             # connections that wait in the kernel: a burst while a turn runs
LONGEST_WAIT_MS = 100.0    # wait of one turn: a stand-still of the process is seen to within this


def clock() -> float:
    return time.monotonic_ns() / 1e6


class Stream(Outgoing):
    """A connected socket. `taken` counts the bytes that the kernel took, `asked` those that we were given to write."""
    __slots__ = ("loop", "sock", "owner", "peer", "out", "queued", "asked", "taken", "reading", "ending", "open", "mask",
                 "limit", "fd")

    def __init__(self, loop: "SocketLoop", sock: socket.socket, owner: Owner, peer):
        self.loop, self.sock, self.owner, self.peer, self.fd = loop, sock, owner, peer, sock.fileno() if sock else -1
        self.out: deque = deque()
        self.queued = self.asked = self.taken = self.mask = 0
        self.reading, self.ending, self.open, self.limit = True, False, False, None

    def write(self, data: bytes) -> None:
        """Writes what the kernel takes now and keeps the rest. Nothing is written once the stream has closed."""
        self.asked += len(data)
        if self.sock is None or self.ending or not data:
            return
        if self.open and not self.out:
            data = data[self.push(data):]
        if data and self.sock is not None:
            self.out.append(data)
            self.queued += len(data)
            self.watch()

    def push(self, data) -> int:
        try:
            count = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            why = str(error.strerror or error)
            self.loop.soon(lambda: self.lose(why))
            return 0
        self.taken += count
        return count

    def flush(self) -> None:
        while self.out and self.sock is not None:
            data = self.out[0]
            count = self.push(data)
            self.queued -= count
            if count < len(data):
                if count:
                    self.out[0] = data[count:]
                return
            self.out.popleft()
        if self.sock is None:
            return
        if self.ending:
            self.lose(None)
        else:
            self.owner.emptied(self)

    def watch(self) -> None:
        if self.sock is None:
            return
        mask = (selectors.EVENT_READ if self.reading and self.open else 0) | (
            selectors.EVENT_WRITE if self.out or not self.open else 0)
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
        if self.sock is None:                # closed by an event told earlier in this turn
            return
        if not self.open:
            return self.connected()
        if events & selectors.EVENT_WRITE:
            self.flush()
            self.watch()
        if events & selectors.EVENT_READ and self.sock is not None and self.reading:
            try:
                data = self.sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                return self.lose(str(error.strerror or error))
            if data:
                self.owner.got(self, data)
            else:
                self.lose(None)

    def connected(self) -> None:
        if self.limit is not None:
            self.limit.cancel()
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            return self.lose(REFUSED if error == errno.ECONNREFUSED else os.strerror(error))
        self.open = True
        self.owner.opened(self)
        if self.sock is not None and self.out:
            self.flush()
        self.watch()

    def pause(self) -> None:
        self.reading = False
        self.watch()

    def resume(self) -> None:
        self.reading = True
        self.watch()

    def close(self) -> None:
        """Ends after what is queued; nothing more is read."""
        if self.sock is None or self.ending:
            return
        self.ending = True
        if not self.out:
            self.lose(None)
        else:
            self.pause()

    def abort(self) -> None:
        """Ends at once with a reset; what is queued is dropped."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.lose("aborted")

    def lose(self, why: str | None) -> None:
        if self.sock is None:
            return
        if self.limit is not None:
            self.limit.cancel()
        if self.mask:
            self.loop.selector.unregister(self.sock)
        sock, self.sock, self.mask = self.sock, None, 0
        sock.close()
        self.out.clear()
        self.loop.open_streams -= 1
        self.owner.closed(self, why)


class Listener:
    """A bound socket; `accept(stream)` returns the stream's owner."""

    def __init__(self, loop: "SocketLoop", sock: socket.socket, accept: Callable[[Stream], Owner]):
        self.loop, self.sock, self.accept = loop, sock, accept
        self.address = sock.getsockname()[:2]
        loop.selector.register(sock, selectors.EVENT_READ, self)

    def ready(self, events: int) -> None:
        for _ in range(ACCEPTS):
            if self.sock is None:
                return
            try:
                sock, peer = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:           # out of descriptors: the others in the backlog wait a little
                self.loop.failed_accepts += 1
                self.loop.last_error = str(error)
                return
            self.loop.adopt(sock, peer, self.accept)

    def close(self) -> None:
        if self.sock is not None:
            self.loop.selector.unregister(self.sock)
            self.sock.close()
            self.sock = None


class Watch:
    """Any descriptor that becomes readable: the wake-up socket of signals, a child's descriptor, a pipe."""

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
    """The loop that programs run on. Work in one turn is bounded: one read a stream, so many accepts and timers."""

    def __init__(self, clock: Callable[[], float] = clock):
        super().__init__(clock())
        self.clock, self.selector = clock, selectors.DefaultSelector()
        self.open_streams = self.failed_accepts = 0
        self.last_error, self.signals, self.wakeup = None, {}, None

    def reading(self) -> float:
        return self.clock()

    def listen(self, address: tuple[str, int], accept: Callable[[Stream], Owner]) -> Listener:
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
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
        """Connects; the owner is told `opened`, or `closed` with the reason, never within this call."""
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:               # this connection does not come up, nothing else is harmed
            self.last_error, stream = str(error), Stream(self, None, owner, address)
            self.soon(lambda: owner.closed(stream, SHORT))
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
            why = REFUSED if error.errno == errno.ECONNREFUSED else str(error.strerror or error)
            self.soon(lambda: stream.lose(why))
            return stream
        stream.limit = self.after(limit_ms, lambda: stream.lose("no connection in time"))
        stream.watch()
        return stream

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        if self.wakeup is None:
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            theirs.setblocking(False)
            signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
            self.wakeup = Watch(self, ours, self.woken), theirs
        self.signals[number] = call
        signal.signal(number, lambda *_: None)

    def woken(self) -> None:
        for number in self.wakeup[0].fd.recv(4096):
            if number in self.signals:
                self.signals[number]()

    def spawn(self, command: list[str], ended: Callable[[int], None], **options) -> "subprocess.Popen":
        """Starts a child process; `ended(status)` is called in a turn of the loop when it has gone."""
        import subprocess      # only programs that have children pay for it
        child = subprocess.Popen(command, **options)
        handle = os.pidfd_open(child.pid)

        def gone() -> None:
            watch.close()
            os.close(handle)
            ended(child.wait())
        watch = Watch(self, handle, gone)
        return child

    def turn(self) -> None:
        """Waits for what comes, then tells sockets before timers: what came in time is in time."""
        due = self.timers.next()
        wait = 0.0 if self.calls else wait_ms(self.now, due, LONGEST_WAIT_MS)
        events = self.selector.select(math.ceil(wait) / 1000)
        before, self.now = self.now, self.clock()
        self.lagged(max(0.0, self.now - before - wait - 1.0), self.now - before)
        for key, mask in events:
            if key.data is not None:
                self.guarded(lambda: key.data.ready(mask))
                self.run_calls()
        self.run_calls()
        self.run_timers()
        self.end_turn()

    def run(self) -> None:
        while self.running:
            self.turn()

    def close(self) -> None:
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

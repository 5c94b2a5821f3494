"""The loop in memory: many hosts in one process, one virtual clock, streams with delay and bounded buffers.

A Host offers what SocketLoop offers, so the programs run on it unchanged. Everything that happens is ordered by
(time, order of asking); the same seed and the same programs give the same run to the byte. A host can be frozen (as
by SIGSTOP: its events wait in a heap), killed (its peers see resets) or made to vanish (its peers see nothing).
"""
import heapq
import math
from collections import deque
from typing import Callable
from zlib import crc32

from laddergw.loop.base import REFUSED, BaseLoop, Outgoing, Owner

WINDOW = 65_536            # bytes that one direction of a stream takes before its reader has read: a socket buffer
DELAY_MS = 0.2             # one way between hosts: a building's network
JITTER_MS = 0.1            # drawn on top for each stream, so that streams do not march in step
BACKLOG = 1024             # connections that wait at a frozen host's listener


class Memory:
    """The world: hosts, their addresses and the one queue of what happens when."""

    def __init__(self, seed: int = 0, start: float = 1_000_000.0):
        self.seed, self.now, self.order, self.queue = seed, start, 0, []
        self.hosts: dict[str, Host] = {}
        self.ports: dict[tuple, Listener] = {}
        self.next_port, self.streams = 20_000, 0

    def host(self, name: str) -> "Host":
        if name in self.hosts and self.hosts[name].alive:
            raise ValueError(f"host {name} is there already")
        host = self.hosts[name] = Host(self, name)
        return host

    def put(self, when: float, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, call))

    def run(self, until: float) -> None:
        """Plays everything up to a time, ms of the virtual clock."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            when, _, call = heapq.heappop(queue)
            self.now = max(self.now, when)
            call()
        self.now = max(self.now, until)

    def draw(self, *parts) -> float:
        return crc32(repr((self.seed,) + parts).encode()) / 2 ** 32


class Host(BaseLoop):
    """One machine's loop in memory."""

    def __init__(self, world: Memory, name: str):
        super().__init__(world.now)
        self.world, self.name, self.alive, self.silent = world, name, True, False
        self.inbox: deque = deque()
        self.planned = math.inf              # the turn that stands in the world's queue
        self.frozen_until = self.froze_at = -math.inf
        self.streams: dict[int, Stream] = {}
        self.listeners: list[Listener] = []
        self.signals: dict[int, Callable] = {}
        self.open_streams = self.failed_accepts = 0

    # What programs call

    def at(self, when, call):
        timer = super().at(when, call)
        self.plan(when)
        return timer

    def after(self, ms, call):
        return self.at(max(self.now, self.world.now) + ms, call)

    def soon(self, call):
        super().soon(call)
        self.plan(self.world.now)

    def listen(self, address: tuple[str, int], accept: Callable) -> "Listener":
        host, port = address
        if not port:
            self.world.next_port += 1
            port = self.world.next_port
        if (host, port) in self.world.ports:
            raise OSError(f"{host}:{port}: address already in use")
        listener = self.world.ports[host, port] = Listener(self, (host, port), accept)
        self.listeners.append(listener)
        return listener

    def dial(self, address: tuple[str, int], owner: Owner, limit_ms: float) -> "Stream":
        world = self.world
        world.streams += 1
        number = world.streams
        delay = DELAY_MS + JITTER_MS * world.draw("delay", number)
        stream = Stream(self, owner, address, number, delay)
        stream.limit = self.after(limit_ms, lambda: stream.lose("no connection in time"))
        world.put(world.now + delay, lambda: self.reach(tuple(address), stream))
        return stream

    def reach(self, address: tuple, stream: "Stream") -> None:
        """The connect arrives: refused, accepted by the kernel (a frozen host too), or lost."""
        listener, back = self.world.ports.get(address), self.world.now + stream.delay
        if listener is not None and (listener.host.silent or len(listener.waiting) >= BACKLOG):
            return
        if listener is None:
            self.tell(back, lambda: stream.lose(REFUSED))
            return
        if not stream.alive or not self.alive:
            return
        host = listener.host
        other = Stream(host, None, (self.name, stream.number), -stream.number, stream.delay)
        stream.other, other.other, other.open = other, stream, True
        listener.waiting.append(other)
        host.tell(self.world.now, lambda: listener.ready())
        self.tell(back, stream.connected)

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        self.signals[number] = call

    # What the world does to a host

    def signal(self, number: int) -> None:
        if number in self.signals:
            self.tell(self.world.now, self.signals[number])

    def freeze(self, ms: float) -> None:
        if self.frozen_until <= self.world.now:
            self.froze_at = self.world.now
        self.frozen_until = max(self.frozen_until, self.world.now + ms)
        self.plan(self.frozen_until, force=True)

    def kill(self) -> None:
        """The process ends: its peers' streams are reset, its listeners gone."""
        self.alive = self.running = False
        for listener in self.listeners:
            self.world.ports.pop(listener.address, None)
        for stream in list(self.streams.values()):
            stream.cut("Connection reset by peer")
        self.streams.clear()

    def vanish(self) -> None:
        """The machine goes without a word: connects and data get no answer."""
        self.alive, self.silent, self.running = False, True, False

    def tell(self, when: float, call: Callable[[], None]) -> None:
        """Something reaches this host; it is told in the host's next turn."""
        def arrive() -> None:
            if self.alive:
                self.inbox.append(call)
                self.plan(self.world.now)
        if when <= self.world.now:
            arrive()
        else:
            self.world.put(when, arrive)

    def plan(self, when: float, force: bool = False) -> None:
        when = max(when, self.world.now, self.frozen_until)
        if self.alive and (when < self.planned or force):
            self.planned = when
            self.world.put(when, lambda: self.turn(when))

    def turn(self, planned: float) -> None:
        if not self.alive or planned != self.planned:
            return
        if self.world.now < self.frozen_until:
            self.planned = math.inf
            self.plan(self.frozen_until)
            return
        self.planned = math.inf
        gap = self.world.now - self.froze_at if self.frozen_until > -math.inf else 0.0
        self.frozen_until = -math.inf
        self.lagged(gap, gap)
        self.now = self.world.now
        while self.inbox:
            self.guarded(self.inbox.popleft())
            self.run_calls()
        self.run_calls()
        self.run_timers()
        self.end_turn()
        self.plan_next()

    def plan_next(self) -> None:
        if not self.running:
            return
        due = self.timers.next()
        if self.inbox or self.calls:
            self.plan(self.world.now)
        elif due < math.inf:
            self.plan(max(due, self.world.now))


class Listener:
    """A bound address in memory."""

    def __init__(self, host: Host, address: tuple, accept: Callable):
        self.host, self.address, self.accept, self.waiting = host, address, accept, deque()

    def ready(self) -> None:
        while self.waiting:
            stream = self.waiting.popleft()
            if stream.gone is not None or not stream.alive:
                continue
            stream.owner = self.accept(stream)
            stream.owner.opened(stream)
            for call in stream.early:
                call()
            stream.early.clear()

    def close(self) -> None:
        self.host.world.ports.pop(self.address, None)
        for stream in self.waiting:
            stream.cut("Connection reset by peer")
        self.waiting.clear()


class Stream(Outgoing):
    """One end of a connection in memory; the same calls and counts as a real one."""

    def __init__(self, host: Host, owner: Owner | None, peer, number: int, delay: float):
        self.loop, self.owner, self.peer, self.number, self.delay = host, owner, peer, number, delay
        self.other: Stream | None = None
        self.open, self.alive, self.reading, self.ending = False, True, True, False
        self.asked = self.taken = self.queued = self.unread = 0
        self.out, self.stash, self.early = deque(), deque(), []
        self.limit, self.gone = None, None
        host.streams[number] = self
        host.open_streams += 1

    def connected(self) -> None:
        if not self.alive:
            return
        if self.limit is not None:
            self.limit.cancel()
        self.open = True
        self.owner.opened(self)
        self.flush()

    def write(self, data: bytes) -> None:
        self.asked += len(data)
        if not self.alive or self.ending or not data:
            return
        self.queued += len(data)
        self.out.append(bytes(data))
        if self.open:
            self.flush(quiet=True)

    def flush(self, quiet: bool = False) -> None:
        """Hands over what the window takes; the reader opens it again by reading."""
        while self.out and self.alive and self.other is not None:
            room = WINDOW - self.other.unread
            if room <= 0:
                return
            data = self.out.popleft()
            if len(data) > room:
                self.out.appendleft(data[room:])
                data = data[:room]
            self.taken += len(data)
            self.queued -= len(data)
            self.other.unread += len(data)
            self.send(lambda other, data=data: other.arrived(data))
        if self.alive and not self.out and self.open:
            if self.ending:
                self.finish()
            elif not quiet:
                self.owner.emptied(self)

    def send(self, what: Callable[["Stream"], None]) -> None:
        other, host = self.other, self.other.loop
        if not self.loop.silent:
            host.tell(self.loop.world.now + self.delay, lambda: other.take(lambda: what(other)))

    def take(self, call: Callable[[], None]) -> None:
        """In this end's turn; kept while the listener has not accepted yet."""
        if self.owner is None:
            self.early.append(call)
        elif self.alive:
            call()

    def arrived(self, data: bytes) -> None:
        if self.reading and not self.stash:
            self.read(data)
        else:
            self.stash.append(data)

    def read(self, data: bytes) -> None:
        self.unread -= len(data)
        other = self.other
        if other is not None and other.out and other.alive:
            other.loop.tell(self.loop.world.now + self.delay, lambda: other.alive and other.flush())
        if not self.ending:
            self.owner.got(self, data)

    def pause(self) -> None:
        self.reading = False

    def resume(self) -> None:
        self.reading = True
        if self.stash:
            self.loop.soon(self.unstash)

    def unstash(self) -> None:
        while self.stash and self.reading and self.alive:
            data = self.stash.popleft()
            if data is None:
                return self.lose(self.gone)
            self.read(data)

    def ended(self, why: str | None) -> None:
        """The peer's end arrives, behind its data; a reset overtakes what was not read."""
        if self.stash and why is None:
            self.gone = why
            self.stash.append(None)
        else:
            self.lose(why)

    def finish(self) -> None:
        if self.other is not None and self.other.alive:
            self.send(lambda other: other.ended(None))
        self.lose(None)

    def close(self) -> None:
        if self.alive and not self.ending:
            self.ending = True
            if not self.out:
                self.finish()

    def abort(self) -> None:
        if self.alive:
            self.cut("Connection reset by peer")
            self.lose("aborted")

    def cut(self, why: str) -> None:
        """Tells the peer of a reset."""
        if self.other is not None and self.other.alive:
            self.send(lambda other: other.ended(why))

    def lose(self, why: str | None) -> None:
        if not self.alive:
            return
        self.alive = False
        if self.limit is not None:
            self.limit.cancel()
        self.loop.streams.pop(self.number, None)
        self.loop.open_streams -= 1
        self.out.clear()
        if self.owner is not None:
            self.owner.closed(self, why)

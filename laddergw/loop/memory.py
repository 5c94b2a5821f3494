"""The loop in memory: many hosts in one process, one virtual clock, streams with delay and bounded
buffers.

A Host offers what SocketLoop offers, so the programs run on it unchanged. Everything that happens
is ordered by
(time, order of asking); the same seed and the same programs give the same run to the byte. A host
can be frozen (as
by SIGSTOP: its events wait in a heap), killed (its peers see resets) or made to vanish (its peers
see nothing).
"""

import heapq
import math
from collections import deque
from collections.abc import Callable
from zlib import crc32

from laddergw.loop.base import CONNECTION_REFUSED, BaseLoop, Owner
from laddergw.loop.memory_streams import Listener, Stream

DELAY_MS = 0.2  # one way between hosts: a building's network
JITTER_MS = 0.1  # drawn on top for each stream, so that streams do not march in step
BACKLOG = 1024  # connections that wait at a frozen host's listener


class MemoryNetwork:
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

    def schedule(self, when: float, call: Callable[[], None]) -> None:
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
        return crc32(repr((self.seed, *parts)).encode()) / 2**32


class Host(BaseLoop):
    """One machine's loop in memory."""

    def __init__(self, world: MemoryNetwork, name: str):
        super().__init__(world.now)
        self.world, self.name, self.alive, self.silent = world, name, True, False
        self.inbox: deque = deque()
        self.planned = math.inf  # the turn that stands in the world's queue
        self.frozen_until = self.froze_at = -math.inf
        self.streams: dict[int, Stream] = {}
        self.listeners: list[Listener] = []
        self.signals: dict[int, Callable] = {}
        self.open_streams = self.failed_accepts = 0

    # What programs call

    def call_at(self, when, call):
        timer = super().call_at(when, call)
        self.plan(when)
        return timer

    def call_later(self, ms, call):
        return self.call_at(max(self.now, self.world.now) + ms, call)

    def call_soon(self, call):
        super().call_soon(call)
        self.plan(self.world.now)

    def listen(self, address: tuple[str, int], accept: Callable) -> Listener:
        host, port = address
        if not port:
            self.world.next_port += 1
            port = self.world.next_port
        if (host, port) in self.world.ports:
            raise OSError(f"{host}:{port}: address already in use")
        listener = self.world.ports[host, port] = Listener(self, (host, port), accept)
        self.listeners.append(listener)
        return listener

    def dial(self, address: tuple[str, int], owner: Owner, limit_ms: float) -> Stream:
        world = self.world
        world.streams += 1
        number = world.streams
        delay = DELAY_MS + JITTER_MS * world.draw("delay", number)
        stream = Stream(self, owner, address, number, delay)
        stream.limit = self.call_later(limit_ms, lambda: stream.lose("no connection in time"))
        world.schedule(world.now + delay, lambda: self.reach(tuple(address), stream))
        return stream

    def reach(self, address: tuple, stream: Stream) -> None:
        """The connect arrives: refused, accepted by the kernel (a frozen host too), or lost."""
        listener, back = self.world.ports.get(address), self.world.now + stream.delay
        if listener is not None and (listener.host.silent or len(listener.waiting) >= BACKLOG):
            return
        if listener is None:
            self.deliver_at(back, lambda: stream.lose(CONNECTION_REFUSED))
            return
        if not stream.alive or not self.alive:
            return
        host = listener.host
        other = Stream(host, None, (self.name, stream.number), -stream.number, stream.delay)
        stream.other, other.other, other.open = other, stream, True
        listener.waiting.append(other)
        host.deliver_at(self.world.now, lambda: listener.ready())
        self.deliver_at(back, stream.connected)

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        self.signals[number] = call

    # What the world does to a host

    def signal(self, number: int) -> None:
        if number in self.signals:
            self.deliver_at(self.world.now, self.signals[number])

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

    def deliver_at(self, when: float, call: Callable[[], None]) -> None:
        """Something reaches this host; it is told in the host's next turn."""

        def arrive() -> None:
            if self.alive:
                self.inbox.append(call)
                self.plan(self.world.now)

        if when <= self.world.now:
            arrive()
        else:
            self.world.schedule(when, arrive)

    def plan(self, when: float, force: bool = False) -> None:
        when = max(when, self.world.now, self.frozen_until)
        if self.alive and (when < self.planned or force):
            self.planned = when
            self.world.schedule(when, lambda: self.turn(when))

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
        self.begin_turn()
        while self.inbox:
            self.run_guarded(self.inbox.popleft())
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

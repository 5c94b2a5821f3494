"""The loop in memory: many hosts in one process, one virtual clock, streams with delay and bounded
buffers.

A Host offers what SocketLoop offers, so programs run on it unchanged. Events are ordered by
(time, order of scheduling): the same seed and the same programs give the same run to the byte.
A host can be frozen (as by SIGSTOP: its events queue up), killed (its peers see resets) or made to
vanish (its peers see nothing).
"""

import heapq
import math
from collections import deque
from collections.abc import Callable
from zlib import crc32

from laddergw.loop.base import CONNECTION_REFUSED, BaseLoop, Owner
from laddergw.loop.memory_streams import Listener, Stream

DELAY_MS = 0.2  # one way between two hosts, as on the network of one building
JITTER_MS = 0.1  # upper bound of the random addition per stream, so that streams differ in phase
BACKLOG = 1024  # connections that wait at the listener of a frozen host


class MemoryNetwork:
    """The hosts, their addresses and the one queue of events, ordered by time."""

    def __init__(self, seed: int = 0, start: float = 1_000_000.0):
        self.seed, self.now, self.event_count, self.queue = seed, start, 0, []
        self.hosts: dict[str, Host] = {}
        self.ports: dict[tuple, Listener] = {}
        self.next_port, self.stream_count = 20_000, 0

    def host(self, name: str) -> "Host":
        """Adds a host; a name can be used again once its host is dead. Raises ValueError."""
        if name in self.hosts and self.hosts[name].alive:
            raise ValueError(f"host {name} exists already")
        host = self.hosts[name] = Host(self, name)
        return host

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Adds an event to the queue, ms of the virtual clock."""
        self.event_count += 1
        heapq.heappush(self.queue, (when, self.event_count, callback))

    def run(self, until: float) -> None:
        """Runs all events up to a time, ms of the virtual clock."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            when, _, callback = heapq.heappop(queue)
            self.now = max(self.now, when)
            callback()
        self.now = max(self.now, until)

    def draw(self, *parts) -> float:
        """A pseudo-random number in [0, 1) that depends on the seed and `parts` alone."""
        return crc32(repr((self.seed, *parts)).encode()) / 2**32


class Host(BaseLoop):
    """One machine's loop in memory."""

    def __init__(self, network: MemoryNetwork, name: str):
        super().__init__(network.now)
        self.network, self.name, self.alive, self.silent = network, name, True, False
        self.inbox: deque = deque()
        self.next_turn = math.inf  # time of the turn that is scheduled on the network
        self.frozen_until = self.froze_at = -math.inf
        self.streams: dict[int, Stream] = {}
        self.listeners: list[Listener] = []
        self.signal_handlers: dict[int, Callable] = {}
        self.open_streams = self.failed_accepts = 0

    # Called by programs

    def call_at(self, when, callback):
        """See BaseLoop."""
        timer = super().call_at(when, callback)
        self.schedule_turn(when)
        return timer

    def call_later(self, ms, callback):
        """See BaseLoop."""
        return self.call_at(max(self.now, self.network.now) + ms, callback)

    def call_soon(self, callback):
        """See BaseLoop."""
        super().call_soon(callback)
        self.schedule_turn(self.network.now)

    def listen(self, address: tuple[str, int], accept: Callable) -> Listener:
        """Listens at an address; port 0 takes a free one. Raises OSError if it is in use."""
        host, port = address
        if not port:
            self.network.next_port += 1
            port = self.network.next_port
        if (host, port) in self.network.ports:
            raise OSError(f"{host}:{port}: address already in use")
        listener = self.network.ports[host, port] = Listener(self, (host, port), accept)
        self.listeners.append(listener)
        return listener

    def dial(self, address: tuple[str, int], owner: Owner, limit_ms: float) -> Stream:
        """Connects; calls the owner's `opened`, or `closed` with the reason, in a later turn."""
        network = self.network
        network.stream_count += 1
        number = network.stream_count
        delay = DELAY_MS + JITTER_MS * network.draw("delay", number)
        stream = Stream(self, owner, address, number, delay)
        stream.limit_timer = self.call_later(
            limit_ms, lambda: stream.close_now("no connection in time")
        )
        network.schedule(network.now + delay, lambda: self.connect(tuple(address), stream))
        return stream

    def connect(self, address: tuple, stream: Stream) -> None:
        """The connect arrives: it is refused, accepted by the kernel (also of a frozen host), or
        lost.
        """
        listener, back = self.network.ports.get(address), self.network.now + stream.delay
        if listener is not None and (listener.host.silent or len(listener.waiting) >= BACKLOG):
            return
        if listener is None:
            self.deliver_at(back, lambda: stream.close_now(CONNECTION_REFUSED))
            return
        if not stream.alive or not self.alive:
            return
        host = listener.host
        remote = Stream(host, None, (self.name, stream.number), -stream.number, stream.delay)
        stream.remote, remote.remote, remote.open = remote, stream, True
        listener.waiting.append(remote)
        host.deliver_at(self.network.now, lambda: listener.ready())
        self.deliver_at(back, stream.connected)

    def on_signal(self, number: int, callback: Callable[[], None]) -> None:
        """Sets the handler of a signal."""
        self.signal_handlers[number] = callback

    # Done to a host from outside

    def signal(self, number: int) -> None:
        """Sends the host's process a signal; ignored without a handler."""
        if number in self.signal_handlers:
            self.deliver_at(self.network.now, self.signal_handlers[number])

    def freeze(self, ms: float) -> None:
        """Stops the host's turns for this long; what arrives waits."""
        if self.frozen_until <= self.network.now:
            self.froze_at = self.network.now
        self.frozen_until = max(self.frozen_until, self.network.now + ms)
        self.schedule_turn(self.frozen_until, force=True)

    def kill(self) -> None:
        """Ends the process: its peers' streams are reset, its listeners are gone."""
        self.alive = self.running = False
        for listener in self.listeners:
            self.network.ports.pop(listener.address, None)
        for stream in list(self.streams.values()):
            stream.reset_remote("Connection reset by peer")
        self.streams.clear()

    def vanish(self) -> None:
        """The machine is gone without a reset: connects and data get no answer."""
        self.alive, self.silent, self.running = False, True, False

    def deliver_at(self, when: float, callback: Callable[[], None]) -> None:
        """Something reaches this host at a time; it is handled in the host's next turn."""

        def arrive() -> None:
            if self.alive:
                self.inbox.append(callback)
                self.schedule_turn(self.network.now)

        if when <= self.network.now:
            arrive()
        else:
            self.network.schedule(when, arrive)

    def schedule_turn(self, when: float, force: bool = False) -> None:
        """Makes the next turn come at `when` at the latest; `force` also moves it back."""
        when = max(when, self.network.now, self.frozen_until)
        if self.alive and (when < self.next_turn or force):
            self.next_turn = when
            self.network.schedule(when, lambda: self.turn(when))

    def turn(self, scheduled: float) -> None:
        """One turn; nothing happens if another time has been scheduled since."""
        if not self.alive or scheduled != self.next_turn:
            return
        if self.network.now < self.frozen_until:
            self.next_turn = math.inf
            self.schedule_turn(self.frozen_until)
            return
        self.next_turn = math.inf
        gap = self.network.now - self.froze_at if self.frozen_until > -math.inf else 0.0
        self.frozen_until = -math.inf
        self.record_lag(gap, gap)
        self.now = self.network.now
        self.begin_turn()
        while self.inbox:
            self.run_guarded(self.inbox.popleft())
            self.run_calls()
        self.run_calls()
        self.run_timers()
        self.end_turn()
        self.schedule_next_turn()

    def schedule_next_turn(self) -> None:
        """Schedules a turn for pending work, else for the next timer."""
        if not self.running:
            return
        due = self.timers.next()
        if self.inbox or self.deferred_calls:
            self.schedule_turn(self.network.now)
        elif due < math.inf:
            self.schedule_turn(max(due, self.network.now))

"""A proxy that injects faults of a network, or of a failing peer, into connections between processes. Works on sockets and in memory.

A link listens in place of a process and dials it for each accepted connection. It may stall, drop, delay, throttle or cut off data
in mid-stream, in one direction or both; each fault is recorded with its time. A closed end is passed on to the other side after its
data, unless the fault suppresses that.
"""
from collections import deque
from typing import Callable
from zlib import crc32

from laddergw.loop.base import Owner

FORWARD, BACKWARD = "to", "back"    # from the dialling side, and from the dialled side
DIRECTIONS = (FORWARD, BACKWARD)
MAX_QUEUED_BYTES = 262_144          # per direction; beyond it, reading from the sender pauses
DIAL_TIMEOUT_MS = 1_000.0


class ForwardingQueue:
    """One direction of one connection: holds received data until it is due, then writes it out."""

    def __init__(self, link: "FaultyLink", source: "ConnectionEnd"):
        self.link, self.source, self.target = link, source, None
        self.pending: deque[tuple[float, bytes]] = deque()
        self.queued_bytes, self.rate_free_at, self.timer, self.source_closed = 0, 0.0, None, False

    def receive(self, data: bytes) -> None:
        """Queues data, or drops it or cuts it off as the link's faults say."""
        link, now = self.link, self.link.loop.now
        if link.dropped[self.source.direction]:
            return
        bytes_left = link.cut_after
        if bytes_left is not None:
            link.cut_after = bytes_left - len(data)
            if link.cut_after <= 0:              # in the middle of the data
                self.enqueue(data[:bytes_left], now)
                link.cut_after = None
                return self.source.connection.abort_after_flush(self)
        return self.enqueue(data, now)

    def enqueue(self, data: bytes, now: float) -> None:
        """Queues data until its delay is over and the rate allows it."""
        link = self.link
        due_at = now + link.delay_ms + link.jitter()
        if link.rate is not None:
            self.rate_free_at = max(self.rate_free_at, now) + len(data) / link.rate * 1000
            due_at = max(due_at, self.rate_free_at)
        due_at = max(due_at, self.pending[-1][0]) if self.pending else due_at     # data is never reordered
        self.pending.append((due_at, data))
        self.queued_bytes += len(data)
        if self.queued_bytes > MAX_QUEUED_BYTES:
            self.source.stream.pause_reading()
        self.flush()

    def flush(self) -> None:
        """Writes out data that is due."""
        link, target = self.link, self.target
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if target is None or target.stream is None or link.stalled[self.source.direction]:
            return
        while self.pending and self.pending[0][0] <= link.loop.now:
            _, data = self.pending.popleft()
            self.queued_bytes -= len(data)
            target.stream.write(data)
        if self.pending:
            self.timer = link.loop.call_at(self.pending[0][0], self.flush)
        elif self.source_closed:
            target.stream.close()
        if self.queued_bytes <= MAX_QUEUED_BYTES and self.source.stream is not None and not link.stalled[self.source.direction]:
            self.source.stream.resume_reading()


class ConnectionEnd:
    """One end of a connection through a link."""

    def __init__(self, connection: "ProxiedConnection", direction: str):
        self.connection, self.direction, self.stream = connection, direction, None

    def opened(self, stream) -> None:
        self.stream = stream
        if self.connection.link.stalled[self.direction]:
            stream.pause_reading()
        self.connection.opened(self)

    def data_received(self, stream, data: bytes) -> None:
        self.connection.queues[self.direction].receive(data)

    def write_buffer_drained(self, stream) -> None:
        pass

    def closed(self, stream, why: str | None) -> None:
        self.stream = None
        self.connection.closed(self, why)


class ProxiedConnection:
    """An accepted connection and the one dialled for it."""

    def __init__(self, link: "FaultyLink"):
        self.link, self.closes_silently = link, False     # silently: the other side is not told of a closed end
        self.ends = {direction: ConnectionEnd(self, direction) for direction in DIRECTIONS}
        self.queues = {direction: ForwardingQueue(link, self.ends[direction]) for direction in DIRECTIONS}
        link.connections[self] = None

    def opened(self, end: ConnectionEnd) -> None:
        link = self.link
        if end.direction == FORWARD:
            if not link.black_hole:
                link.loop.call_later(link.late_ms, self.dial)
            return
        for direction, other in (FORWARD, BACKWARD), (BACKWARD, FORWARD):
            self.queues[direction].target = self.ends[other]
            self.queues[direction].flush()

    def dial(self) -> None:
        if self.ends[FORWARD].stream is not None:
            self.link.loop.dial(self.link.target(), self.ends[BACKWARD], DIAL_TIMEOUT_MS)

    def closed(self, end: ConnectionEnd, why: str | None) -> None:
        other = self.ends[BACKWARD if end.direction == FORWARD else FORWARD]
        if other.stream is None:
            self.link.connections.pop(self, None)
        if self.closes_silently or self.link.dropped[end.direction] or other.stream is None:
            return
        queue = self.queues[end.direction]
        queue.source_closed = True
        if why is None and queue.pending:
            return queue.flush()
        return other.stream.close() if why is None else other.stream.abort()

    def abort_after_flush(self, queue: ForwardingQueue) -> None:
        """Resets the connection in the middle of a frame, once earlier data has been sent."""
        due_at = queue.pending[-1][0] if queue.pending else self.link.loop.now
        self.link.loop.call_at(due_at + 1.0, self.abort)

    def abort(self) -> None:
        for end in self.ends.values():
            if end.stream is not None:
                end.stream.abort()
        self.link.connections.pop(self, None)

    def abort_dialler(self) -> None:
        """Half-open: the dialling side disappears silently, the dialled side still waits."""
        self.closes_silently = True
        if self.ends[FORWARD].stream is not None:
            self.ends[FORWARD].stream.abort()


class FaultyLink:
    """A link from one process to another. `target()` gives the other's current address; `record(what, now, **facts)` gets each fault."""

    def __init__(self, loop, name: str, address: tuple[str, int], target: Callable[[], tuple[str, int]], record: Callable, seed: int = 1):
        self.loop, self.name, self.target, self.record, self.seed, self.draws = loop, name, target, record, seed, 0
        self.connections: dict[ProxiedConnection, None] = {}
        self.clear_faults()
        self.listener = loop.listen(address, self.accept)
        self.address = self.listener.address

    def clear_faults(self) -> None:
        """Resets all faults; connections stay as they are."""
        self.dropped, self.stalled = dict.fromkeys(DIRECTIONS, False), dict.fromkeys(DIRECTIONS, False)
        self.delay_ms = self.jitter_ms = self.late_ms = 0.0
        self.rate: float | None = None
        self.cut_after: int | None = None
        self.black_hole = self.refusing = False

    def jitter(self) -> float:
        self.draws += 1
        return self.jitter_ms * crc32(b"%d %d" % (self.seed, self.draws)) / 2 ** 32 if self.jitter_ms else 0.0

    def accept(self, stream) -> Owner:
        connection = ProxiedConnection(self)
        if self.refusing:
            self.loop.call_soon(connection.abort)
        return connection.ends[FORWARD]

    def fault(self, fault: str, value: float | str | None = None) -> None:
        """Injects a fault; its value in parentheses: cut, stall (a direction; none: both), hole, delay, jitter, late (ms), rate (bytes a
        second), reset (after so many bytes), half-open, shut, heal."""
        self.record("line fault", self.loop.now, line=self.name, fault=fault, value=value)
        directions = DIRECTIONS if value not in DIRECTIONS else (value,)
        if fault == "cut":
            self.dropped |= dict.fromkeys(directions, True)
        elif fault == "stall":
            self.stalled |= dict.fromkeys(directions, True)
            self.for_each_connection(lambda connection: [
                connection.ends[direction].stream.pause_reading() for direction in directions if connection.ends[direction].stream is not None])
        elif fault == "hole":
            self.black_hole, self.dropped = True, dict.fromkeys(DIRECTIONS, True)
        elif fault in ("delay", "jitter", "late"):
            setattr(self, f"{fault}_ms", float(value))
        elif fault == "rate":
            self.rate = float(value)
        elif fault == "reset":
            self.cut_after = int(value)
        elif fault == "half-open":
            self.for_each_connection(ProxiedConnection.abort_dialler)
        elif fault == "shut":
            self.refusing = True
            self.for_each_connection(ProxiedConnection.abort)
        elif fault == "heal":
            self.heal()
        else:
            raise ValueError(f"unknown fault {fault!r}")

    def heal(self) -> None:
        """Clears all faults; connections that lost data are aborted, as their peers would do after a period of silence."""
        lost_data = self.black_hole or any(self.dropped.values())
        self.clear_faults()
        for connection in list(self.connections):
            if lost_data or connection.closes_silently:
                connection.abort()
                continue
            for queue in connection.queues.values():
                if queue.source.stream is not None:
                    queue.source.stream.resume_reading()
                queue.flush()

    def for_each_connection(self, action: Callable[[ProxiedConnection], object]) -> None:
        for connection in list(self.connections):
            action(connection)

    def close(self) -> None:
        self.listener.close()
        self.for_each_connection(ProxiedConnection.abort)


class FaultyNetwork:
    """All links of a deployment, by dialling and dialled process."""

    def __init__(self, loop, record: Callable, seed: int = 1):
        self.loop, self.record, self.seed, self.by_ends = loop, record, seed, {}

    def add_link(self, source: str, target: str, address: tuple[str, int], resolve_target: Callable[[], tuple[str, int]]) -> FaultyLink:
        """Starts a link between two processes that listens at `address`."""
        link = self.by_ends[source, target] = FaultyLink(self.loop, f"{source}>{target}", address, resolve_target, self.record, self.seed + len(self.by_ends))
        return link

    def partition(self, *groups: frozenset[str]) -> None:
        """Cuts links between groups. A process in no group reaches all; one in a group reaches its group and those in none."""
        for (source, target), link in self.by_ends.items():
            sides = [next((number for number, group in enumerate(groups) if name in group), None) for name in (source, target)]
            if None not in sides and sides[0] != sides[1]:
                link.fault("cut")

    def heal(self) -> None:
        for link in self.by_ends.values():
            link.fault("heal")

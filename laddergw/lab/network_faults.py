"""Connections between processes led through us, with faults: what a network, or a peer that is ill, does to them. On sockets and in memory alike.

A line listens in the place of a process and dials it for each connection that comes. What goes through may be held back, dropped, delayed, slowed or cut
off in the middle, one way or both; each fault is recorded with its time. Ends of a connection are told to the other side behind its data, unless
the fault is that they are not.
"""
from collections import deque
from typing import Callable
from zlib import crc32

from laddergw.loop.base import Owner

TO, BACK = "to", "back"    # ways: from who dialled, and from who was dialled
WAYS = (TO, BACK)
MAX_QUEUED_BYTES = 262_144        # bytes of one way that wait here; past it its sender is not read any more
DIAL_MS = 1_000.0


class Way:
    """One way of one connection: what came waits until it is due, then goes out."""

    def __init__(self, line: "FaultyLink", source: "End"):
        self.line, self.source, self.target = line, source, None
        self.waiting: deque[tuple[float, bytes]] = deque()
        self.held, self.free_at, self.timer, self.ended = 0, 0.0, None, False

    def come(self, data: bytes) -> None:
        line, now = self.line, self.line.loop.now
        if line.dropped[self.source.way]:
            return
        left = line.cut_after
        if left is not None:
            line.cut_after = left - len(data)
            if line.cut_after <= 0:              # in the middle of what was sent
                self.put(data[:left], now)
                line.cut_after = None
                return self.source.pair.abort_when_out(self)
        return self.put(data, now)

    def put(self, data: bytes, now: float) -> None:
        line = self.line
        due = now + line.delay_ms + line.jitter()
        if line.rate is not None:
            self.free_at = max(self.free_at, now) + len(data) / line.rate * 1000
            due = max(due, self.free_at)
        due = max(due, self.waiting[-1][0]) if self.waiting else due     # never out of order
        self.waiting.append((due, data))
        self.held += len(data)
        if self.held > MAX_QUEUED_BYTES:
            self.source.stream.pause_reading()
        self.go()

    def go(self) -> None:
        """Writes out what is due."""
        line, target = self.line, self.target
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if target is None or target.stream is None or line.stalled[self.source.way]:
            return
        while self.waiting and self.waiting[0][0] <= line.loop.now:
            _, data = self.waiting.popleft()
            self.held -= len(data)
            target.stream.write(data)
        if self.waiting:
            self.timer = line.loop.call_at(self.waiting[0][0], self.go)
        elif self.ended:
            target.stream.close()
        if self.held <= MAX_QUEUED_BYTES and self.source.stream is not None and not line.stalled[self.source.way]:
            self.source.stream.resume_reading()


class End:
    """One end of a connection that goes through a line."""

    def __init__(self, pair: "Pair", way: str):
        self.pair, self.way, self.stream = pair, way, None

    def opened(self, stream) -> None:
        self.stream = stream
        if self.pair.line.stalled[self.way]:
            stream.pause_reading()
        self.pair.opened(self)

    def data_received(self, stream, data: bytes) -> None:
        self.pair.ways[self.way].come(data)

    def write_buffer_drained(self, stream) -> None:
        pass

    def closed(self, stream, why: str | None) -> None:
        self.stream = None
        self.pair.closed(self, why)


class Pair:
    """A connection that came, and the one dialled for it."""

    def __init__(self, line: "FaultyLink"):
        self.line, self.silent = line, False     # silent: ends are not told to the other side
        self.ends = {way: End(self, way) for way in WAYS}
        self.ways = {way: Way(line, self.ends[way]) for way in WAYS}
        line.pairs[self] = None

    def opened(self, end: End) -> None:
        line = self.line
        if end.way == TO:
            if not line.hole:
                line.loop.call_later(line.late_ms, self.dial)
            return
        for way, other in (TO, BACK), (BACK, TO):
            self.ways[way].target = self.ends[other]
            self.ways[way].go()

    def dial(self) -> None:
        if self.ends[TO].stream is not None:
            self.line.loop.dial(self.line.target(), self.ends[BACK], DIAL_MS)

    def closed(self, end: End, why: str | None) -> None:
        other = self.ends[BACK if end.way == TO else TO]
        if other.stream is None:
            self.line.pairs.pop(self, None)
        if self.silent or self.line.dropped[end.way] or other.stream is None:
            return
        way = self.ways[end.way]
        way.ended = True
        if why is None and way.waiting:
            return way.go()
        return other.stream.close() if why is None else other.stream.abort()

    def abort_when_out(self, way: Way) -> None:
        """Once what came before has gone: a reset in the middle of a frame."""
        due = way.waiting[-1][0] if way.waiting else self.line.loop.now
        self.line.loop.call_at(due + 1.0, self.abort)

    def abort(self) -> None:
        for end in self.ends.values():
            if end.stream is not None:
                end.stream.abort()
        self.line.pairs.pop(self, None)

    def halve(self) -> None:
        """Who dialled is gone without a word; who was dialled still waits."""
        self.silent = True
        if self.ends[TO].stream is not None:
            self.ends[TO].stream.abort()


class FaultyLink:
    """A line from one process to another. `target()`: where the other listens now; `record(what, now, **facts)` is told of each fault."""

    def __init__(self, loop, name: str, address: tuple[str, int], target: Callable[[], tuple[str, int]], record: Callable, seed: int = 1):
        self.loop, self.name, self.target, self.record, self.seed, self.draws = loop, name, target, record, seed, 0
        self.pairs: dict[Pair, None] = {}
        self.whole()
        self.listener = loop.listen(address, self.accept)
        self.address = self.listener.address

    def whole(self) -> None:
        self.dropped, self.stalled = dict.fromkeys(WAYS, False), dict.fromkeys(WAYS, False)
        self.delay_ms = self.jitter_ms = self.late_ms = 0.0
        self.rate: float | None = None
        self.cut_after: int | None = None
        self.hole = self.shut = False

    def jitter(self) -> float:
        self.draws += 1
        return self.jitter_ms * crc32(b"%d %d" % (self.seed, self.draws)) / 2 ** 32 if self.jitter_ms else 0.0

    def accept(self, stream) -> Owner:
        pair = Pair(self)
        if self.shut:
            self.loop.call_soon(pair.abort)
        return pair.ends[TO]

    def fault(self, what: str, value: float | str | None = None) -> None:
        """cut (value: a way, or both), hole, stall (a way), delay, jitter, late (ms), rate (bytes a second), reset (after so many bytes), half-open, shut, heal."""
        self.record("line fault", self.loop.now, line=self.name, fault=what, value=value)
        ways = WAYS if value not in WAYS else (value,)
        if what == "cut":
            self.dropped |= dict.fromkeys(ways, True)
        elif what == "stall":
            self.stalled |= dict.fromkeys(ways, True)
            self.each(lambda pair: [pair.ends[way].stream.pause_reading() for way in ways if pair.ends[way].stream is not None])
        elif what == "hole":
            self.hole, self.dropped = True, dict.fromkeys(WAYS, True)
        elif what in ("delay", "jitter", "late"):
            setattr(self, f"{what}_ms", float(value))
        elif what == "rate":
            self.rate = float(value)
        elif what == "reset":
            self.cut_after = int(value)
        elif what == "half-open":
            self.each(Pair.halve)
        elif what == "shut":
            self.shut = True
            self.each(Pair.abort)
        elif what == "heal":
            self.heal()
        else:
            raise ValueError(f"no fault {what!r}")

    def heal(self) -> None:
        """As it was; connections of which something was dropped end, as they would by their peers' silence."""
        spoilt = self.hole or any(self.dropped.values())
        self.whole()
        for pair in list(self.pairs):
            if spoilt or pair.silent:
                pair.abort()
                continue
            for way in pair.ways.values():
                if way.source.stream is not None:
                    way.source.stream.resume_reading()
                way.go()

    def each(self, call: Callable[[Pair], object]) -> None:
        for pair in list(self.pairs):
            call(pair)

    def close(self) -> None:
        self.listener.close()
        self.each(Pair.abort)


class FaultyNetwork:
    """All lines of a plant, by who dials and who is dialled."""

    def __init__(self, loop, record: Callable, seed: int = 1):
        self.loop, self.record, self.seed, self.by_ends = loop, record, seed, {}

    def line(self, source: str, target: str, address: tuple[str, int], where: Callable[[], tuple[str, int]]) -> FaultyLink:
        made = self.by_ends[source, target] = FaultyLink(self.loop, f"{source}>{target}", address, where, self.record, self.seed + len(self.by_ends))
        return made

    def part(self, *groups: frozenset[str]) -> None:
        """A cut between groups: who is in none sees all, who is in one sees its own and those in none."""
        for (source, target), line in self.by_ends.items():
            sides = [next((number for number, group in enumerate(groups) if name in group), None) for name in (source, target)]
            if None not in sides and sides[0] != sides[1]:
                line.fault("cut")

    def heal(self) -> None:
        for line in self.by_ends.values():
            line.fault("heal")

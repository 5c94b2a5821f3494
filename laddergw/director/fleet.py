"""Keeps the fleet as this director was told of it: list frames in order, one link a node, changes for the module."""
from typing import Callable

from laddergw import interface as face
from laddergw.director import frames
from laddergw.director.link import Link
from laddergw.http.client import Call, Pool
from laddergw.http.limits import PoolLimits

LIST_LIMITS = PoolLimits(max_connections=1, max_waiting=2, connect_ms=500.0, max_answer_bytes=16_777_216)   # a whole list of 100 k nodes
REDIAL_MS = 500.0          # pause before the list is asked for again: it may be out of reach for long
SILENT_MS = 15_000.0       # no frame, not even that it lives: asked for anew


class Fleet:
    """The list stream and the links. `changed(lines, whole, stopped)` is called with the module's lines and the
    nodes that get nothing new from now on; `failed()` when the list broke off."""

    def __init__(self, loop, address, director: str, make_link: Callable[[int, tuple], Link],
                 changed: Callable, failed: Callable[[], None], tap: Callable | None = None):
        self.loop, self.director, self.make_link, self.on_change, self.failed = loop, director, make_link, changed, failed
        self.pool, self.tap = Pool(loop, address, LIST_LIMITS), tap
        self.links: dict[int, Link] = {}
        self.entries: dict[int, frames.NodeEntry] = {}
        self.process_starts: dict[int, tuple[int, float]] = {}     # incarnation and its start, our clock
        self.version, self.stream, self.timer, self.heard_at = None, None, None, loop.now
        self.bad_frames, self.closed, self.last_fault = 0, False, ""

    def follow(self) -> None:
        """Asks for the list and its changes, unless that is under way."""
        if self.closed or self.stream is not None:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.version, self.heard_at = None, self.loop.now
        self.stream = self.pool.call("GET", f"/v1/list?director={self.director}", b"", self.broke, self.frame_received)
        self.loop.call_later(SILENT_MS, self.check_silence)

    def check_silence(self) -> None:
        if self.stream is None or self.closed:
            return
        if self.loop.now >= self.heard_at + SILENT_MS:       # the very sum that the timer was set to
            return self.stream.abort("the list is silent")
        self.loop.call_at(self.heard_at + SILENT_MS, self.check_silence)

    def broke(self, call: Call) -> None:
        self.stream = None
        if not self.closed:
            self.failed()
            self.timer = self.loop.call_later(REDIAL_MS, self.follow)

    def frame_received(self, line: bytes | None) -> None:
        if line is None:
            return
        self.heard_at = self.loop.now
        try:
            form, version, entries = frames.read_list(line)
            if form == frames.CHANGES and version != (self.version or -1) + 1:
                raise frames.MalformedFrame(f"list frame: changes {version} after version {self.version}")
        except frames.MalformedFrame as error:        # the last good list stands; a whole one is asked for
            self.bad_frames += 1
            self.last_fault = str(error)
            return self.stream.abort(str(error))
        if form == frames.ALIVE:
            return
        self.version = version
        if self.tap is not None:
            self.tap("listed", self.loop.now, {"form": form, "nodes": [[e.node, e.state, e.incarnation] for e in entries]})
        self.take(entries, form == frames.WHOLE)

    def take(self, entries: list[frames.NodeEntry], whole: bool) -> None:
        named = {entry.node for entry in entries}
        stopped = [node for node in self.links if node not in named] if whole else []
        lines = []
        for entry in entries:
            if entry.state != face.READY:
                stopped.append(entry.node)
            old = self.entries.get(entry.node)
            moved = old is not None and (old.address != entry.address or old.incarnation != entry.incarnation)
            if moved and entry.node in self.links:
                self.links.pop(entry.node).close()
            if entry.state != face.GONE and entry.node not in self.links:
                self.links[entry.node] = self.make_link(entry.node, entry.address)
            self.entries[entry.node] = entry
            lines.append(self.as_line(entry))
        self.on_change(lines, whole, stopped)
        if whole:
            for node in [node for node in self.entries if node not in named]:
                self.entries[node] = self.entries[node]._replace(state=face.GONE)

    def as_line(self, entry: frames.NodeEntry) -> face.NodeEntry:
        """The module's line. A process's start is fixed when we first hear of it: told again it must stay the same."""
        known = self.process_starts.get(entry.node)
        if known is None or known[0] != entry.incarnation:
            start = 0.0 if entry.age_ms is None else max(0.0, self.loop.now - entry.age_ms)
            known = self.process_starts[entry.node] = entry.incarnation, start
        return face.NodeEntry(entry.node, entry.cell, entry.weight, entry.state, known[1], entry.kind, entry.zone, entry.node)

    def drop_unused(self, used: Callable[[int], bool]) -> None:
        """Closes the links of nodes that are gone and hold nothing of ours."""
        for node in [n for n, link in self.links.items() if self.entries[n].state == face.GONE and not used(n)]:
            self.links.pop(node).close()

    def close(self) -> None:
        self.closed = True
        if self.stream is not None:
            self.stream.abort("closed")
        if self.timer is not None:
            self.timer.cancel()
        for link in self.links.values():
            link.close()

"""A director's view of the fleet: reads the frames of the fleet list in order, keeps one link per node, and reports changes to the controller."""
from typing import Callable

from laddergw import interface
from laddergw.director import frames
from laddergw.director.link import Link
from laddergw.http.client import Call, Pool
from laddergw.http.limits import PoolLimits

# `answer_bytes`: a complete list of 100 k nodes
LIST_LIMITS = PoolLimits(max_connections=1, max_waiting=2, connect_ms=500.0, max_answer_bytes=16_777_216)
# Pause before the list is requested again: its server may be unreachable for long
REDIAL_MS = 500.0
# Without any frame for so long, not even a sign of life, the list is requested again
SILENCE_TIMEOUT_MS = 15_000.0


class Fleet:
    """The stream of the fleet list, and the links to its nodes. `on_change(entries, complete, not_ready)` gets the controller's entries
    and the nodes that drain or are gone, which get no new set-up from now on; `on_failure()` is called when the stream has ended."""

    def __init__(self, loop, address, director: str, make_link: Callable[[int, tuple], Link],
                 on_change: Callable, on_failure: Callable[[], None], tap: Callable | None = None):
        self.loop, self.director, self.make_link, self.on_change, self.on_failure = loop, director, make_link, on_change, on_failure
        self.pool, self.tap = Pool(loop, address, LIST_LIMITS), tap
        self.links: dict[int, Link] = {}
        self.entries: dict[int, frames.NodeEntry] = {}
        self.process_starts: dict[int, tuple[int, float]] = {}     # incarnation, and its start by our clock
        self.version, self.stream, self.redial_timer, self.last_frame_at = None, None, None, loop.now
        self.bad_frames, self.closed, self.last_fault = 0, False, ""

    def request_list(self) -> None:
        """Requests the list and its changes, unless the stream is open."""
        if self.closed or self.stream is not None:
            return
        if self.redial_timer is not None:
            self.redial_timer.cancel()
            self.redial_timer = None
        self.version, self.last_frame_at = None, self.loop.now
        self.stream = self.pool.call("GET", f"/v1/list?director={self.director}", b"", self.stream_ended, self.frame_received)
        self.loop.call_later(SILENCE_TIMEOUT_MS, self.check_silence)

    def check_silence(self) -> None:
        """Ends a stream without frames for SILENCE_TIMEOUT_MS."""
        if self.stream is None or self.closed:
            return
        # Compared with exactly the sum that the timer is set to
        if self.loop.now >= self.last_frame_at + SILENCE_TIMEOUT_MS:
            return self.stream.abort("no list frame in time")
        self.loop.call_at(self.last_frame_at + SILENCE_TIMEOUT_MS, self.check_silence)

    def stream_ended(self, call: Call) -> None:
        """Reports the failure and schedules the next request."""
        self.stream = None
        if not self.closed:
            self.on_failure()
            self.redial_timer = self.loop.call_later(REDIAL_MS, self.request_list)

    def frame_received(self, line: bytes | None) -> None:
        """Applies one frame of the list. After a malformed or missing one the last valid list stays, and a complete list is requested."""
        if line is None:
            return
        self.last_frame_at = self.loop.now
        try:
            form, version, entries = frames.read_list(line)
            if form == frames.CHANGES and version != (self.version or -1) + 1:
                raise frames.MalformedFrame(f"list frame: changes {version} after version {self.version}")
        except frames.MalformedFrame as error:
            self.bad_frames += 1
            self.last_fault = str(error)
            return self.stream.abort(str(error))
        if form == frames.ALIVE:
            return
        self.version = version
        if self.tap is not None:
            self.tap("listed", self.loop.now, {"form": form, "nodes": [[e.node, e.state, e.incarnation] for e in entries]})
        self.apply_entries(entries, form == frames.WHOLE)

    def apply_entries(self, entries: list[frames.NodeEntry], complete: bool) -> None:
        """Applies the entries of a frame; nodes that a complete list leaves out are gone."""
        named = {entry.node for entry in entries}
        not_ready = [node for node in self.links if node not in named] if complete else []
        controller_entries = []
        for entry in entries:
            if entry.state != interface.READY:
                not_ready.append(entry.node)
            old = self.entries.get(entry.node)
            replaced = old is not None and (old.address != entry.address or old.incarnation != entry.incarnation)
            if replaced and entry.node in self.links:
                self.links.pop(entry.node).close()
            if entry.state != interface.GONE and entry.node not in self.links:
                self.links[entry.node] = self.make_link(entry.node, entry.address)
            self.entries[entry.node] = entry
            controller_entries.append(self.controller_entry(entry))
        self.on_change(controller_entries, complete, not_ready)
        if complete:
            for node in [node for node in self.entries if node not in named]:
                self.entries[node] = self.entries[node]._replace(state=interface.GONE)

    def controller_entry(self, entry: frames.NodeEntry) -> interface.NodeEntry:
        """The controller's form of an entry. A process's start is fixed at its first entry: it must not change with later ones."""
        known = self.process_starts.get(entry.node)
        if known is None or known[0] != entry.incarnation:
            start = 0.0 if entry.age_ms is None else max(0.0, self.loop.now - entry.age_ms)
            known = self.process_starts[entry.node] = entry.incarnation, start
        return interface.NodeEntry(entry.node, entry.cell, entry.weight, entry.state, known[1], entry.kind, entry.zone, entry.node)

    def drop_unused(self, is_used: Callable[[int], bool]) -> None:
        """Closes the links of nodes that are gone and hold no allocation of ours."""
        for node in [n for n, link in self.links.items() if self.entries[n].state == interface.GONE and not is_used(n)]:
            self.links.pop(node).close()

    def close(self) -> None:
        """Closes the stream and all links."""
        self.closed = True
        if self.stream is not None:
            self.stream.abort("closed")
        if self.redial_timer is not None:
            self.redial_timer.cancel()
        for link in self.links.values():
            link.close()

"""One connection to a media node: the set-ups open on it, and how much of each has left."""

import logging
from typing import TYPE_CHECKING, Any

from laddergw.loop.base import NO_DESCRIPTOR
from laddergw.platform import allocation, deliveries
from laddergw.signalling import rtsp

if TYPE_CHECKING:
    from laddergw.platform.node import Node

log = logging.getLogger("laddergw.platform")


class Connection:
    """A connection to one media node, as the owner of its stream."""

    def __init__(self, node: "Node", limit_ms: float):
        self.node, self.loop, self.reader, self.up, self.ping = (
            node,
            node.fleet.loop,
            rtsp.Reader(),
            False,
            # session of the ping that the node has not answered yet
            None,
        )
        # when that ping was sent, and where in the stream it ends, bytes
        self.pinged_at, self.ping_end = 0.0, 0
        self.dialled_at = self.last_used = self.loop.now
        # whether it was dialled after contact with the process had been lost in which plays run: it
        # may lead to another one
        lost_at = node.liveness.lost_contact_at(self.loop.now)
        self.is_after_loss = bool(node.running_plays) and lost_at is not None
        # it carries no set-ups any more, and is closed once its node has answered a ping on it
        self.is_retiring = False
        # when the node was heard on it last
        self.heard_at = self.loop.now
        # when it came up; the process that accepted it runs since then at the latest
        self.opened_at: float | None = None
        # plays whose set-ups are open on it, by session
        self.plays: dict[str, Any] = {}
        # where in the stream each of their set-ups ends, bytes
        self.set_up_ends: dict[str, int] = {}
        self.set_up_data: dict[str, bytes] = {}
        self.stream = self.loop.dial(node.address, self, limit_ms)

    def __str__(self) -> str:
        stream = self.stream
        state = "up" if self.up else "coming up"
        sent = f"{stream.bytes_sent} of {stream.bytes_written} bytes sent"
        return f"connection {id(self):x} ({state}, {sent}, {len(self.plays)} set-ups)"

    def opened(self, stream) -> None:
        """Stream callback: sends the messages that waited for a connection to the node."""
        self.up, self.opened_at = True, self.loop.now
        self.node.needs_connection = False
        log.debug(
            "node %s: %s opened after %.0f ms",
            self.node.id,
            self,
            self.loop.now - self.dialled_at,
        )
        self.mark_alive()
        self.node.connection_opened()
        self.send_waiting()

    def send_waiting(self) -> None:
        """Writes the messages and releases that wait for a connection to the node."""
        messages, self.node.queued_messages = self.node.queued_messages, []
        for data in messages:
            self.stream.write(data)
        releases = self.node.releases.waiting()
        for release in releases:
            self.send_release(release.session)
        if messages or releases:
            self.write_buffer_drained(self.stream)

    def send_release(self, session: str, data: bytes | None = None) -> None:
        """Writes a release that the node is owed; `data` replaces its usual form."""
        self.stream.write(data or self.node.releases.owed[session].data)
        self.node.releases.sent(session, self)
        self.node.fleet.watch(self.node)

    def resend_releases(self) -> None:
        """Sends releases that may be lost with this connection, which has ended, on another one."""
        if self.node.releases.take_back(self):
            deliveries.send_waiting(self.node)

    def detach(self) -> None:
        """Removes it from its node; messages queued there wait for the next connection."""
        self.node.connections.remove(self)
        if self.node.has_waiting_messages() and not self.node.connections:
            self.node.fleet.awaiting_connection[self.node] = None

    def write_buffer_drained(self, stream) -> None:
        """Stream callback: an unused connection may give way to one of another node."""
        if not (stream.queued or self.plays):
            self.node.fleet.yield_connection(self)

    def mark_alive(self) -> None:
        """Records that the node answers."""
        self.node.unanswered_dials = 0
        self.node.mark_heard(is_same_process=not self.is_after_loss)
        self.heard_at = self.last_used = self.loop.now

    def data_received(self, stream, data: bytes) -> None:
        """Stream callback: passes whole messages on; malformed ones end the connection."""
        self.mark_alive()
        self.reader.feed(data)
        try:
            while (message := self.reader.next()) is not None:
                self.node.handle_message(self, message)
        except rtsp.MalformedError as error:
            self.node.fleet.count("spoilt")
            log.info("node %s: %s", self.node.id, error)
            self.abort(allocation.MALFORMED)
            self.node.replace_connection()

    def state(self, session: str) -> str:
        """Whether all of an open set-up has left: SENT or UNSENT."""
        return (
            allocation.SENT
            if self.stream.bytes_sent >= self.set_up_ends[session]
            else allocation.UNSENT
        )

    def set_up(self, play, data: bytes) -> None:
        """Sends a play's set-up, which is open on this connection from now on.

        A release of the same session that the node is still owed goes before it.
        """
        if play.session in self.node.releases:
            self.send_release(play.session)
        self.plays[play.session], self.set_up_data[play.session], self.last_used = (
            play,
            data,
            self.loop.now,
        )
        self.stream.write(data)
        self.set_up_ends[play.session] = self.stream.bytes_written

    def close_set_up(self, session: str) -> str:
        """Removes an open set-up; returns whether all of it had left (SENT or UNSENT)."""
        state = self.state(session)
        del self.plays[session], self.set_up_ends[session], self.set_up_data[session]
        return state

    def withdraw_set_up(self, session: str) -> str:
        """Removes an open set-up and its unsent bytes; returns whether all of it had left.

        No byte of a set-up that is reported as never sent may leave later: `close` would still
        write it out.
        """
        data, end = self.set_up_data[session], self.set_up_ends[session]
        state = self.close_set_up(session)
        if state == allocation.UNSENT and self.stream.withdraw_write(data):
            self.set_up_ends = {
                other: other_end - len(data) * (other_end > end)
                for other, other_end in self.set_up_ends.items()
            }
            self.ping_end -= len(data) * (self.ping_end > end)
            self.node.releases.shift(self, end, len(data))
        # A part of it has left: the other set-ups on the connection end with it.
        elif state == allocation.UNSENT:
            self.abort(allocation.CONNECTION_LOST)
            self.node.replace_connection()
        return state

    def arrived(self, end: int) -> bool:
        """Whether the node's kernel has acknowledged the stream up to that byte."""
        return self.stream.bytes_sent - self.stream.unacknowledged() >= end

    def abort_unless_arrived(self, end: int) -> None:
        """Ends the connection where a withdrawn set-up that ends at that byte has not arrived.

        It must not begin later; the other set-ups on the connection end with it.
        """
        if self in self.node.connections and not self.arrived(end):
            self.abort(allocation.CONNECTION_LOST)
            self.node.replace_connection()

    def close(self, deliver_ms: float | None = None) -> None:
        """Closes the connection gracefully, with nothing open on it; see Stream.close.

        Answers to releases are still read until its node has closed it too.
        """
        log.debug("node %s: %s closed by us in good order", self.node.id, self)
        self.detach()
        self.stream.close(deliver_ms, self if self in self.node.releases.by_carrier else None)

    def last_data_received(self, data: bytes) -> None:
        """Stream callback: settles the releases that are answered after the close."""
        self.reader.feed(data)
        try:
            while (message := self.reader.next()) is not None:
                self.node.handle_release_answer(self, message)
        except rtsp.MalformedError:
            self.resend_releases()

    def last_data_ended(self) -> None:
        """Stream callback: what was not answered goes on another connection."""
        self.resend_releases()

    def abort(self, event: str) -> None:
        """Closes at once; the set-ups open on it end by the event.

        Releases that the node has not answered may be lost with it and are sent again, and so are
        those of its set-ups that had left: they may have run.
        """
        if self in self.node.connections:
            log.debug("node %s: %s ends, its open set-ups as %s", self.node.id, self, event)
            self.node.fleet.count("connections to nodes ended: " + event)
            self.detach()
            plays = [
                (play, self.close_set_up(session)) for session, play in list(self.plays.items())
            ]
            self.stream.abort()
            self.resend_releases()
            for play, state in plays:
                if state == allocation.SENT:
                    deliveries.release(self.node, play, self.opened_at)
            for play, state in plays:
                self.node.fleet.allocation_ended(play, state, event)

    def closed(self, stream, why: str | None) -> None:
        """Stream callback: ends what was open on it.

        Where we had no descriptor for it, the node has received nothing and is not at fault.
        """
        if self in self.node.connections:
            log.debug("node %s: %s: %s", self.node.id, self, why or "closed by its node")
            self.node.fleet.answer_handler.connection_ended(self)
            self.abort(allocation.WITHDRAWN if why == NO_DESCRIPTOR else allocation.CONNECTION_LOST)
            self.node.connection_ended(self, why)

"""One connection to a media node: the set-ups open on it, and how much of each has left."""

import logging
from typing import TYPE_CHECKING, Any

from laddergw.loop.base import NO_DESCRIPTOR
from laddergw.platform import allocation
from laddergw.signalling import rtsp

if TYPE_CHECKING:
    from laddergw.platform.node import Node

log = logging.getLogger("laddergw.platform")


class Connection:
    """See the module."""

    def __init__(self, node: "Node", limit_ms: float):
        self.node, self.loop, self.reader, self.up, self.test = (
            node,
            node.fleet.loop,
            rtsp.Reader(),
            False,
            None,
        )
        self.since = self.used = self.loop.now
        self.plays: dict[str, Any] = {}  # whose set-ups are open on it
        self.ends: dict[str, int] = {}  # where in the stream each of their set-ups ends
        self.set_ups: dict[str, bytes] = {}
        self.said: dict[
            str, tuple[bytes, float]
        ] = {}  # releases that it has not told to have heard, and until when they are told again
        self.stream = self.loop.dial(node.address, self, limit_ms)

    def __str__(self) -> str:
        stream = self.stream
        state = "up" if self.up else "coming up"
        sent = f"{stream.bytes_sent} of {stream.bytes_written} bytes gone"
        return f"connection {id(self):x} ({state}, {sent}, {len(self.plays)} set-ups)"

    def opened(self, stream) -> None:
        self.up, self.node.owes_connection = True, False
        log.debug(
            "node %s: %s opened after %.0f ms", self.node.id, self, self.loop.now - self.since
        )
        self.speaks()
        words, self.node.queued_messages = self.node.queued_messages, []
        for word in words:
            self.say(*word)
        if words:
            self.write_buffer_drained(stream)

    def say(self, data: bytes, ends: str, until: float) -> None:
        """`ends`: the session that it releases, or nothing."""
        self.stream.write(data)
        if ends:
            self.said[ends] = data, until
            for session in [
                session for session, (_, until) in self.said.items() if until <= self.loop.now
            ]:  # a node need not say
                del self.said[session]  # that it has heard

    def leave(self) -> None:
        """It is none of its node's any more: what waits to be told there waits for the next one."""
        self.node.connections.remove(self)
        if self.node.queued_messages and not self.node.connections:
            self.node.fleet.awaiting_connection[self.node] = None

    def write_buffer_drained(self, stream) -> None:
        if not (stream.queued or self.plays):
            self.node.fleet.give_way(self)

    def speaks(self) -> None:
        self.node.unanswered_dials, self.node.heard = 0, self.loop.now
        self.used = self.loop.now

    def data_received(self, stream, data: bytes) -> None:
        self.speaks()
        self.reader.feed(data)
        try:
            while (message := self.reader.next()) is not None:
                self.node.said(self, message)
        except rtsp.MalformedError as error:
            self.node.fleet.count("spoilt")
            log.info("node %s: %s", self.node.id, error)
            self.end(allocation.MALFORMED)
            self.node.renew()

    def state(self, session: str) -> str:
        return (
            allocation.SENT if self.stream.bytes_sent >= self.ends[session] else allocation.UNSENT
        )

    def set_up(self, play, data: bytes) -> None:
        self.plays[play.session], self.set_ups[play.session], self.used = play, data, self.loop.now
        self.stream.write(data)
        self.ends[play.session] = self.stream.bytes_written

    def close_set_up(self, session: str) -> str:
        """Its set-up is open no more; says whether all of it had left."""
        state = self.state(session)
        del self.plays[session], self.ends[session], self.set_ups[session]
        return state

    def give_up(self, session: str) -> str:
        """Settles a set-up, and of one that is told as never sent no byte leaves any more:

        `close` would still write it out.
        """
        data, end = self.set_ups[session], self.ends[session]
        state = self.close_set_up(session)
        if state == allocation.UNSENT and self.stream.withdraw_write(data):
            self.ends = {other: at - len(data) * (at > end) for other, at in self.ends.items()}
        elif state == allocation.UNSENT:  # a part of it has left: what is open beside it ends too
            self.end(allocation.CONNECTION_LOST)
            self.node.renew()
        return state

    def arrived(self, end: int) -> bool:
        """Whether its node's system has told to have all up to there."""
        return self.stream.bytes_sent - self.stream.unacknowledged() >= end

    def cut_unless_arrived(self, end: int) -> None:
        """A set-up that was given up and has not arrived must not begin later; what shares its
        connection ends with it.
        """
        if self in self.node.connections and not self.arrived(end):
            self.end(allocation.CONNECTION_LOST)
            self.node.renew()

    def close(self, deliver_ms: float | None = None) -> None:
        """Ends in good order, with nothing open on it; see Stream.close."""
        log.debug("node %s: %s closed by us in good order", self.node.id, self)
        self.leave()
        self.stream.close(deliver_ms)

    def end(self, fact: str) -> None:
        """Closes at once. What was open on it ends by that."""
        if self in self.node.connections:
            log.debug(
                "node %s: %s ends, what was open on it as %s; %d releases go again",
                self.node.id,
                self,
                fact,
                len(self.said),
            )
            self.node.fleet.count("connections to nodes ended: " + fact)
            self.leave()
            plays = [
                (play, self.close_set_up(session)) for session, play in list(self.plays.items())
            ]
            self.stream.abort()
            for ends, (
                data,
                until,
            ) in self.said.items():  # it may have taken along what was said on it last
                if until > self.loop.now:
                    self.node.fleet.say(self.node, data, ends, until)
            for play, state in plays:
                self.node.fleet.ended(play, state, fact)

    def closed(self, stream, why: str | None) -> None:
        if self in self.node.connections:
            log.debug("node %s: %s: %s", self.node.id, self, why or "closed by its node")
            self.node.fleet.answers.connection_ended(self)
            self.end(
                allocation.WITHDRAWN if why == NO_DESCRIPTOR else allocation.CONNECTION_LOST
            )  # without a descriptor its node has heard nothing, and has no part in it
            self.node.connection_ended(self, why)

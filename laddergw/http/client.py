"""The client side of HTTP/1.1: a pool of connections to one peer, and facts about how far each call got.

A call's facts are what "provably never ran" rests on: how many of its bytes were handed to the kernel, out of how
many, and when. They are counted at the stream, not concluded from an exception.
"""
from collections import deque
from typing import Callable

import httptools

from laddergw.http.limits import PoolLimits
from laddergw.loop.base import CONNECTION_REFUSED


class Call:
    """One request to a peer. `done(call)` is called once, when it has ended in whatever way.

    After that: `status` (None where no whole answer came), `body`, `failure` (text where it failed). At any time:
    `written` of `size` bytes given to the kernel, `first_byte_at` and `last_byte_at` in ms, None before.
    """
    __slots__ = ("pool", "data", "size", "done", "line", "connection", "status", "body", "failure", "base", "over",
                 "first_byte_at", "last_byte_at", "requested_at", "label", "answered_at", "headers")

    def __init__(self, pool: "Pool", data: bytes, done: Callable[["Call"], None], line: Callable | None, label):
        self.pool, self.data, self.size, self.done, self.line, self.label = pool, data, len(data), done, line, label
        self.connection, self.status, self.body, self.failure = None, None, b"", None
        self.base, self.over = None, False
        self.first_byte_at = self.last_byte_at = self.answered_at = None
        self.requested_at, self.headers = pool.loop.now, {}      # headers: of the answer, names in lower case

    @property
    def connection_refused(self) -> bool:
        """Whether no process listens there, which is more than that no connection came."""
        return self.failure is not None and self.failure.endswith(CONNECTION_REFUSED)

    @property
    def written(self) -> int:
        if self.base is None:
            return 0
        if self.connection is None:
            return self.base
        return min(self.size, max(0, self.connection.stream.bytes_sent - self.base))

    def end(self, why: str | None) -> None:
        if not self.over:
            self.over, self.failure = True, why
            self.answered_at = self.pool.loop.now
            self.pool.tapped("ended", self)
            self.done(self)

    def withdraw(self) -> bool:
        """Gives the call up if none of its bytes left this process; False where some did."""
        if self.over or self.written:
            return False
        self.pool.forget(self)
        self.end("taken back")
        return True

    def abort(self, why: str) -> None:
        """Gives the call up wherever it is, with its connection."""
        if self.over:
            return
        connection = self.connection
        if connection is None:
            self.pool.forget(self)
        else:
            self.base = self.written             # the count survives the connection
            self.connection = connection.call = None
            connection.stream.abort()
        self.end(why)


class Connection:
    """One connection of a pool: at most one call on it."""

    def __init__(self, pool: "Pool"):
        self.pool, self.call, self.up, self.was_up, self.answers = pool, None, False, False, 0
        self.parser = httptools.HttpResponseParser(self)
        self.used_at, self.rest, self.complete = pool.loop.now, b"", False
        self.stream = pool.loop.dial(pool.address, self, pool.limits.connect_ms)

    def opened(self, stream) -> None:
        self.up = self.was_up = True
        self.pool.opened(self)

    def start(self, call: Call) -> None:
        self.call, call.connection, call.base = call, self, self.stream.bytes_written
        self.complete = False
        self.stream.write(call.data)
        call.data = b""
        self.progress()

    def progress(self) -> None:
        call = self.call
        if call is not None and call.first_byte_at is None and call.written:
            call.first_byte_at = self.pool.loop.now
        if call is not None and call.last_byte_at is None and call.written == call.size:
            call.last_byte_at = self.pool.loop.now
            self.pool.tapped("sent", call)

    def write_buffer_drained(self, stream) -> None:
        self.progress()

    def data_received(self, stream, data: bytes) -> None:
        if self.call is None:
            return stream.abort()                # an answer that nobody asked for
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            if self.call is not None:
                self.call.abort(f"answer is not HTTP/1.1: {error.__context__ or error}")
            else:
                stream.abort()
            return
        if self.complete:
            self.finish()

    def on_message_begin(self) -> None:
        self.rest, self.answers = b"", 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.answers += len(name) + len(value)
        if self.answers > self.pool.limits.max_head_bytes:
            raise ValueError("its head is too long")
        if self.call is not None:
            self.call.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.call is not None:
            self.call.status = self.parser.get_status_code()
            if self.call.line is not None and self.call.status == 200:
                self.call.line(None)             # the stream has begun

    def on_body(self, data: bytes) -> None:
        call = self.call
        if call is None:
            return
        if call.line is not None and call.status == 200:
            self.rest += data
            *lines, self.rest = self.rest.split(b"\n")
            for line in lines:
                if line and self.call is call:
                    call.line(line)
            if len(self.rest) > self.pool.limits.max_answer_bytes:
                raise ValueError("a line is too long")
            return
        call.body += data
        if len(call.body) > self.pool.limits.max_answer_bytes:
            raise ValueError("its body is too long")

    def on_message_complete(self) -> None:
        self.complete = self.call is not None and self.call.status is not None and self.call.status >= 200

    def finish(self) -> None:
        call, self.call, self.complete = self.call, None, False
        call.base = call.written                 # the count survives the connection
        call.connection = None
        if self.parser.should_keep_alive():
            self.pool.free(self)
        else:
            self.stream.close()
        call.end(None)

    def closed(self, stream, why: str | None) -> None:
        call, self.call = self.call, None
        self.pool.lost(self, why)
        if call is not None:
            call.base = min(call.size, max(0, stream.bytes_sent - call.base))
            call.connection = None
            call.status = None
            call.end(why or "the peer closed before its answer was whole")


class Pool:
    """Connections to one peer, opened as needed, capped, and reused until idle for long."""

    def __init__(self, loop, address: tuple[str, int], limits: PoolLimits = PoolLimits(), tap: Callable | None = None):
        self.loop, self.address, self.limits, self.tap = loop, tuple(address), limits, tap
        self.all: dict[Connection, None] = {}
        self.idle: list[Connection] = []
        self.waiting: deque[Call] = deque()
        self.host = f"{address[0]}:{address[1]}".encode()
        self.sweep, self.opening = None, 0

    def tapped(self, what: str, call: Call) -> None:
        if self.tap is not None and call.label is not None:
            self.tap(what, self.loop.now, call)

    def call(self, method: str, path: str, body: bytes, done: Callable[[Call], None],
             line: Callable | None = None, label=None, headers: str = "") -> Call:
        """Sends a request as soon as a connection is free. `line` makes the answer a stream of lines (None first,
        when it begins); `headers`: whole lines to add. Never calls `done` within this call."""
        data = b"%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
            method.encode(), path.encode(), self.host, headers.encode(), len(body), body)
        call = Call(self, data, done, line, label)
        while self.idle:
            connection = self.idle.pop()
            if connection.up and connection.stream is not None:
                connection.start(call)
                return call
        if len(self.waiting) >= self.limits.max_waiting:
            self.loop.call_soon(lambda: call.end("too many calls wait for this peer"))
            return call
        self.waiting.append(call)
        self.grow()
        return call

    def grow(self) -> None:
        if self.opening < len(self.waiting) and len(self.all) < self.limits.max_connections:
            self.opening += 1
            self.all[Connection(self)] = None

    def opened(self, connection: Connection) -> None:
        self.opening -= 1
        if self.waiting:
            connection.start(self.waiting.popleft())
            if self.waiting:
                self.grow()
        else:
            self.free(connection)

    def free(self, connection: Connection) -> None:
        connection.used_at = self.loop.now
        if self.waiting:
            return connection.start(self.waiting.popleft())
        self.idle.append(connection)
        if self.sweep is None:
            self.sweep = self.loop.call_later(self.limits.idle_ms, self.drop_idle)

    def drop_idle(self) -> None:
        self.sweep = None
        keep = []
        for connection in self.idle:
            if self.loop.now - connection.used_at >= self.limits.idle_ms:
                connection.up = False
                connection.stream.close()
            else:
                keep.append(connection)
        self.idle = keep
        if keep:
            self.sweep = self.loop.call_later(self.limits.idle_ms, self.drop_idle)

    def lost(self, connection: Connection, why: str | None) -> None:
        self.all.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        self.opening -= not connection.was_up
        if not connection.was_up and self.waiting:   # a connect that failed takes one waiting call with it
            self.waiting.popleft().end(f"no connection: {why}")
        connection.up = False
        if self.waiting:
            self.grow()

    def forget(self, call: Call) -> None:
        if call in self.waiting:
            self.waiting.remove(call)

    def withdraw_waiting(self) -> list[Call]:
        """All calls of which no byte has left, given up."""
        return [call for call in list(self.waiting) if call.withdraw()]

    def close(self) -> None:
        for connection in list(self.all):
            connection.stream.abort()
        for call in list(self.waiting):
            self.forget(call)
            call.end("pool closed")
        if self.sweep is not None:
            self.sweep.cancel()
            self.sweep = None

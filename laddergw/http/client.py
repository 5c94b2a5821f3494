"""HTTP/1.1 client: a pool of connections to one peer. Each call counts how many of its bytes were handed to the kernel, out
of how many, and when; counted at the stream, not inferred from an exception, this shows that a request certainly never ran."""
from collections import deque
from typing import Callable

import httptools

from laddergw.http.limits import PoolLimits
from laddergw.loop.base import CONNECTION_REFUSED


class Call:
    """One request to a peer. `on_end(call)` is called once, however the call ends; then `status` (None where no complete
    response came), `body`, `headers` (names in lower case) and `failure` (text, None where it succeeded) are set. Always:
    `written` of `size` bytes given to the kernel, `first_byte_at` and `last_byte_at` (ms, None before). `offset`: position
    in the stream's bytes while the call is on a connection, then the final `written`."""
    __slots__ = ("pool", "request", "size", "on_end", "on_line", "connection", "status", "body", "failure", "offset", "ended",
                 "first_byte_at", "last_byte_at", "requested_at", "label", "ended_at", "headers")

    def __init__(self, pool: "Pool", request: bytes, on_end: Callable[["Call"], None], on_line: Callable | None, label):
        self.pool, self.request, self.size, self.on_end, self.on_line, self.label = pool, request, len(request), on_end, on_line, label
        self.connection, self.status, self.body, self.failure = None, None, b"", None
        self.offset, self.ended = None, False
        self.first_byte_at = self.last_byte_at = self.ended_at = None
        self.requested_at, self.headers = pool.loop.now, {}

    @property
    def connection_refused(self) -> bool:
        """Whether no process listens at the peer: says more than that no connection was made."""
        return self.failure is not None and self.failure.endswith(CONNECTION_REFUSED)

    @property
    def written(self) -> int:
        if self.offset is None:
            return 0
        if self.connection is None:
            return self.offset
        return min(self.size, max(0, self.connection.stream.bytes_sent - self.offset))

    def end(self, reason: str | None) -> None:
        """Ends the call once; `reason` is None where it succeeded."""
        if not self.ended:
            self.ended, self.failure = True, reason
            self.ended_at = self.pool.loop.now
            self.pool.report("ended", self)
            self.on_end(self)

    def withdraw(self) -> bool:
        """Cancels the call if none of its bytes left this process; returns False where some did."""
        if self.ended or self.written:
            return False
        self.pool.remove_waiting(self)
        self.end("withdrawn before it was sent")
        return True

    def abort(self, reason: str) -> None:
        """Cancels the call in any state and closes its connection."""
        if self.ended:
            return
        connection = self.connection
        if connection is None:
            self.pool.remove_waiting(self)
        else:
            self.offset = self.written             # keep the count without the connection
            self.connection = connection.call = None
            connection.stream.abort()
        self.end(reason)


class Connection:
    """One connection of a pool, with at most one call at a time. The stream and the parser call its methods."""

    def __init__(self, pool: "Pool"):
        self.pool, self.call, self.is_open, self.was_opened, self.head_size = pool, None, False, False, 0
        self.parser = httptools.HttpResponseParser(self)
        self.last_used_at, self.partial_line, self.is_complete = pool.loop.now, b"", False
        self.stream = pool.loop.dial(pool.address, self, pool.limits.connect_ms)

    def opened(self, stream) -> None:
        self.is_open = self.was_opened = True
        self.pool.connection_opened(self)

    def start(self, call: Call) -> None:
        self.call, call.connection, call.offset = call, self, self.stream.bytes_written
        self.is_complete = False
        self.stream.write(call.request)
        call.request = b""
        self.record_progress()

    def record_progress(self) -> None:
        """Notes when the first and the last byte of the request were taken by the kernel."""
        call = self.call
        if call is not None and call.first_byte_at is None and call.written:
            call.first_byte_at = self.pool.loop.now
        if call is not None and call.last_byte_at is None and call.written == call.size:
            call.last_byte_at = self.pool.loop.now
            self.pool.report("sent", call)

    def write_buffer_drained(self, stream) -> None:
        self.record_progress()

    def data_received(self, stream, data: bytes) -> None:
        if self.call is None:
            return stream.abort()                # a response without a request
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            if self.call is not None:
                self.call.abort(f"response is not HTTP/1.1: {error.__context__ or error}")
            else:
                stream.abort()
            return
        if self.is_complete:
            self.finish_call()

    def on_message_begin(self) -> None:
        self.partial_line, self.head_size = b"", 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_size += len(name) + len(value)
        if self.head_size > self.pool.limits.max_head_bytes:
            raise ValueError("response head is too long")
        if self.call is not None:
            self.call.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.call is not None:
            self.call.status = self.parser.get_status_code()
            if self.call.on_line is not None and self.call.status == 200:
                self.call.on_line(None)          # the stream has begun

    def on_body(self, data: bytes) -> None:
        call = self.call
        if call is None:
            return
        if call.on_line is not None and call.status == 200:
            self.partial_line += data
            *lines, self.partial_line = self.partial_line.split(b"\n")
            for line in lines:
                if line and self.call is call:
                    call.on_line(line)
            if len(self.partial_line) > self.pool.limits.max_answer_bytes:
                raise ValueError("a line of the response is too long")
            return
        call.body += data
        if len(call.body) > self.pool.limits.max_answer_bytes:
            raise ValueError("response body is too long")

    def on_message_complete(self) -> None:
        self.is_complete = self.call is not None and self.call.status is not None and self.call.status >= 200

    def finish_call(self) -> None:
        """Ends the call with its complete response; the connection is reused where the peer allows it."""
        call, self.call, self.is_complete = self.call, None, False
        call.offset = call.written               # keep the count without the connection
        call.connection = None
        if self.parser.should_keep_alive():
            self.pool.release(self)
        else:
            self.stream.close()
        call.end(None)

    def closed(self, stream, reason: str | None) -> None:
        call, self.call = self.call, None
        self.pool.connection_lost(self, reason)
        if call is not None:
            call.offset = min(call.size, max(0, stream.bytes_sent - call.offset))
            call.connection = None
            call.status = None
            call.end(reason or "the peer closed the connection before its response was complete")


class Pool:
    """Connections to one peer: opened as needed, limited in number, reused until idle for `idle_ms`."""

    def __init__(self, loop, address: tuple[str, int], limits: PoolLimits = PoolLimits(), tap: Callable | None = None):
        self.loop, self.address, self.limits, self.tap = loop, tuple(address), limits, tap
        self.connections: dict[Connection, None] = {}
        self.idle: list[Connection] = []
        self.waiting: deque[Call] = deque()
        self.host = f"{address[0]}:{address[1]}".encode()
        self.idle_timer, self.opening_count = None, 0

    def report(self, event: str, call: Call) -> None:
        if self.tap is not None and call.label is not None:
            self.tap(event, self.loop.now, call)

    def call(self, method: str, path: str, body: bytes, on_end: Callable[[Call], None], on_line: Callable | None = None, label=None, headers: str = "") -> Call:
        """Sends a request as soon as a connection is free. `on_line` reads the response as a stream of lines (None first,
        when it begins); `headers`: complete lines to add. Never calls `on_end` before it returns."""
        request = b"%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
            method.encode(), path.encode(), self.host, headers.encode(), len(body), body)
        call = Call(self, request, on_end, on_line, label)
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open and connection.stream is not None:
                connection.start(call)
                return call
        if len(self.waiting) >= self.limits.max_waiting:
            self.loop.call_soon(lambda: call.end("too many calls wait for this peer"))
            return call
        self.waiting.append(call)
        self.open_connection()
        return call

    def open_connection(self) -> None:
        if self.opening_count < len(self.waiting) and len(self.connections) < self.limits.max_connections:
            self.opening_count += 1
            self.connections[Connection(self)] = None

    def connection_opened(self, connection: Connection) -> None:
        self.opening_count -= 1
        if self.waiting:
            connection.start(self.waiting.popleft())
            if self.waiting:
                self.open_connection()
        else:
            self.release(connection)

    def release(self, connection: Connection) -> None:
        """Gives a free connection to the next waiting call, or keeps it idle."""
        connection.last_used_at = self.loop.now
        if self.waiting:
            return connection.start(self.waiting.popleft())
        self.idle.append(connection)
        if self.idle_timer is None:
            self.idle_timer = self.loop.call_later(self.limits.idle_ms, self.close_idle)

    def close_idle(self) -> None:
        self.idle_timer = None
        still_idle = []
        for connection in self.idle:
            if self.loop.now - connection.last_used_at >= self.limits.idle_ms:
                connection.is_open = False
                connection.stream.close()
            else:
                still_idle.append(connection)
        self.idle = still_idle
        if still_idle:
            self.idle_timer = self.loop.call_later(self.limits.idle_ms, self.close_idle)

    def connection_lost(self, connection: Connection, reason: str | None) -> None:
        self.connections.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        self.opening_count -= not connection.was_opened
        if not connection.was_opened and self.waiting:   # a failed connect ends one waiting call
            self.waiting.popleft().end(f"no connection: {reason}")
        connection.is_open = False
        if self.waiting:
            self.open_connection()

    def remove_waiting(self, call: Call) -> None:
        if call in self.waiting:
            self.waiting.remove(call)

    def withdraw_waiting(self) -> list[Call]:
        """Cancels the waiting calls, of which no byte was sent, and returns them."""
        return [call for call in list(self.waiting) if call.withdraw()]

    def close(self) -> None:
        for connection in list(self.connections):
            connection.stream.abort()
        for call in list(self.waiting):
            self.remove_waiting(call)
            call.end("pool closed")
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None

"""HTTP/1.1 server: connections with limits in every state, one exchange at a time per connection, streamed responses."""
from collections import deque
from typing import Callable

import httptools

from laddergw.http.limits import REASONS, PeerLimits


class Exchange:
    """One request and its response. Call `answer`, or `begin` and then `finish`, once, at any later moment.

    `read_at` is the loop's time (ms) at which the request's last byte was read, `stall_ms` how long it may have waited
    before that because the process was stalled. `on_disconnect`, where set, is called if the peer leaves before the end."""
    __slots__ = ("connection", "method", "path", "query", "headers", "body", "read_at", "stall_ms", "on_disconnect",
                 "started", "ended", "keep_alive")

    def __init__(self, connection: "ServerConnection"):
        self.connection, self.method, self.path, self.query, self.headers, self.body = connection, "", "", "", {}, b""
        self.read_at = self.stall_ms = 0.0
        self.on_disconnect: Callable[[], None] | None = None
        self.started = self.ended = False
        self.keep_alive = True

    @property
    def disconnected(self) -> bool:
        return self.connection.stream is None

    def answer(self, status: int, body: bytes = b"", content_type: str = "application/json", extra_headers: str = "") -> bool:
        """Sends the complete response. Returns False and sends nothing where one was begun before or the peer has left."""
        if self.started or self.disconnected:
            return False
        self.started = True
        self.connection.send(b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%s%s\r\n" % (
            status, REASONS.get(status, "Status").encode(), content_type.encode(), len(body), extra_headers.encode(),
            b"" if self.keep_alive else b"Connection: close\r\n") + body)
        self.close()
        return True

    def begin(self, status: int, first_chunk: bytes = b"", content_type: str = "application/json") -> bool:
        """Starts a chunked response that stays open until finish(). Returns False as answer() does."""
        if self.started or self.disconnected:
            return False
        self.started = True
        self.connection.send(b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s" % (
            status, REASONS.get(status, "Status").encode(), content_type.encode(), encode_chunk(first_chunk)))
        return True

    def push(self, data: bytes) -> bool:
        """Sends a chunk of a started response. Returns False where it is not open."""
        if not self.started or self.ended or self.disconnected:
            return False
        self.connection.send(encode_chunk(data))
        return True

    def finish(self) -> None:
        if self.started and not self.ended and not self.disconnected:
            self.connection.send(b"0\r\n\r\n")
            self.close()

    def close(self) -> None:
        self.ended = True
        self.connection.response_ended(self)


def encode_chunk(data: bytes) -> bytes:
    """Encodes a chunk; empty data gives nothing, as an empty chunk would end the response."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


class ServerConnection:
    """One accepted connection: reads requests, passes on one at a time, keeps the peer within its limits."""

    def __init__(self, server: "Server", stream):
        self.server, self.stream, self.limits = server, stream, server.limits
        self.parser = httptools.HttpRequestParser(self)
        self.incoming: Exchange | None = None      # request being read
        self.current: Exchange | None = None       # request being answered
        self.waiting: deque[Exchange] = deque()
        self.request_bytes = 0                     # of the request being read
        self.in_body = self.rejected = False
        self.timer, self.deadline, self.wait_reason = None, 0.0, ""
        self.url = b""

    # Time limits: one timer, set anew only when it fires or must fire earlier

    def set_deadline(self, ms: float, reason: str) -> None:
        loop = self.stream.loop
        self.deadline, self.wait_reason = loop.now + ms, reason
        if self.timer is None or self.timer.when > self.deadline:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = loop.call_at(self.deadline, self.check_deadline)

    def check_deadline(self) -> None:
        self.timer = None
        if self.stream is None or not self.wait_reason:
            return
        if self.stream.loop.now < self.deadline:
            self.timer = self.stream.loop.call_at(self.deadline, self.check_deadline)
        elif self.incoming is not None and self.current is None:
            self.reject(408, f"the request was not complete in time: {self.wait_reason}")
        elif self.wait_reason == "idle" and not self.stream.queued:
            self.stream.close()
        else:
            self.stream.abort()

    # Calls from the stream

    def opened(self, stream) -> None:
        self.set_deadline(self.limits.head_ms, "no request after the connect")

    def data_received(self, stream, data: bytes) -> None:
        if self.rejected:
            return
        if self.incoming is None and self.current is None:
            self.set_deadline(self.limits.head_ms, "head")
        self.request_bytes += len(data)
        if not self.in_body and self.request_bytes > self.limits.max_head_bytes + self.limits.max_body_bytes:
            return self.reject(431, f"a head of more than {self.limits.max_head_bytes} bytes")
        try:
            self.parser.feed_data(data)
        except RequestTooLarge as error:
            return self.reject(error.status, str(error))
        except httptools.HttpParserUpgrade:
            return self.reject(400, "upgrades are not served here")
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, RequestTooLarge):
                return self.reject(cause.status, str(cause))
            return self.reject(400, f"not a request of HTTP/1.1: {error}")
        if not self.in_body and self.incoming is not None and self.request_bytes > self.limits.max_head_bytes:
            return self.reject(431, f"a head of more than {self.limits.max_head_bytes} bytes")
        if len(self.waiting) >= self.limits.max_pipelined and self.stream is not None:
            self.stream.pause_reading()

    def write_buffer_drained(self, stream) -> None:
        self.update_deadline()

    def update_deadline(self) -> None:
        """Sets the time limit of the connection's state; none while a response of ours is due."""
        if self.stream is None:
            return
        if self.stream.queued:
            self.set_deadline(self.limits.stall_ms, "stall")
        elif self.incoming is not None:
            if not self.wait_reason:
                self.set_deadline(self.limits.head_ms, "head")
        elif self.current is not None:
            self.wait_reason = ""
        else:
            self.set_deadline(self.limits.idle_ms, "idle")

    def closed(self, stream, reason: str | None) -> None:
        self.stream = None
        if self.timer is not None:
            self.timer.cancel()
        self.server.connections.pop(self, None)
        for exchange in filter(None, (self.current, *self.waiting)):
            if exchange.on_disconnect is not None and not exchange.ended:
                stream.loop.run_guarded(exchange.on_disconnect)
        self.current, self.incoming = None, None
        self.waiting.clear()

    # Calls from the parser

    def on_message_begin(self) -> None:
        self.incoming, self.url, self.in_body = Exchange(self), b"", False
        if self.current is None:
            self.set_deadline(self.limits.head_ms, "head")

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.incoming.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        exchange, self.in_body = self.incoming, True
        length = exchange.headers.get("content-length", "0")
        if not length.isdigit() or int(length) > self.limits.max_body_bytes:
            raise RequestTooLarge(413, f"a body of {length} bytes, {self.limits.max_body_bytes} at most")
        exchange.method = self.parser.get_method().decode("latin-1")
        exchange.keep_alive = self.parser.should_keep_alive()
        path, _, exchange.query = self.url.decode("latin-1").partition("?")
        exchange.path = path
        if self.current is None:
            self.set_deadline(self.limits.body_ms, "body")

    def on_body(self, data: bytes) -> None:
        self.incoming.body += data
        if len(self.incoming.body) > self.limits.max_body_bytes:
            raise RequestTooLarge(413, f"a body of more than {self.limits.max_body_bytes} bytes")

    def on_message_complete(self) -> None:
        exchange, self.incoming, self.request_bytes, self.in_body = self.incoming, None, 0, False
        exchange.read_at, exchange.stall_ms = self.stream.loop.now, self.stream.loop.stall_ms
        if self.current is None:
            self.start(exchange)
        else:
            self.waiting.append(exchange)

    # Exchanges, one after the other

    def start(self, exchange: Exchange) -> None:
        self.current, self.wait_reason = exchange, ""
        self.stream.loop.call_soon(lambda: self.serve_exchange(exchange))

    def serve_exchange(self, exchange: Exchange) -> None:
        if self.stream is not None and self.current is exchange:
            self.server.report("request", exchange)
            self.server.serve(exchange)

    def send(self, data: bytes) -> None:
        self.stream.write(data)
        if self.stream is not None and self.stream.queued > self.limits.max_queued_bytes:
            self.stream.abort()                  # the peer does not read; bounds the memory held for it
        elif self.stream is not None and self.stream.queued and self.wait_reason != "stall":
            self.set_deadline(self.limits.stall_ms, "stall")

    def response_ended(self, exchange: Exchange) -> None:
        if self.current is not exchange:
            return
        self.server.report("answered", exchange)
        self.current = None
        if self.stream is None:
            return
        if not exchange.keep_alive or self.server.is_closing:
            self.stream.close()
        elif self.waiting:
            self.start(self.waiting.popleft())
            if not self.stream.reading and len(self.waiting) < self.limits.max_pipelined:
                self.stream.resume_reading()
        else:
            self.update_deadline()

    def reject(self, status: int, reason: str) -> None:
        """Answers a request that cannot be read with an error status, then closes the connection."""
        self.rejected = True
        if self.current is not None or self.waiting:
            return self.stream.abort() if self.stream is not None else None
        self.server.rejected_requests[status] = self.server.rejected_requests.get(status, 0) + 1
        exchange, self.incoming = self.incoming or Exchange(self), None
        exchange.keep_alive, self.current = False, exchange
        exchange.answer(status, b'{"error": "%s"}\n' % reason.replace('"', "'").encode())


class RequestTooLarge(Exception):
    """A request over the limits; `status` is the response's status."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


class Server:
    """A listener for HTTP/1.1. `serve(exchange)` is called for each request, within the turn that read its last byte."""

    def __init__(self, loop, address: tuple[str, int], serve: Callable[[Exchange], None],
                 limits: PeerLimits = PeerLimits(), tap: Callable | None = None):
        self.loop, self.serve, self.limits, self.tap = loop, serve, limits, tap
        self.connections: dict[ServerConnection, None] = {}
        self.rejected_requests: dict[int, int] = {}    # by status
        self.rejected_connections = 0
        self.is_closing = False
        self.listener = loop.listen(address, self.accept)
        self.address = self.listener.address

    def accept(self, stream) -> ServerConnection:
        connection = ServerConnection(self, stream)
        self.connections[connection] = None
        if len(self.connections) > self.limits.max_connections:
            self.rejected_connections += 1
            self.loop.call_soon(lambda: connection.stream is not None and connection.reject(503, "too many connections"))
        return connection

    def report(self, event: str, exchange: Exchange) -> None:
        if self.tap is not None:
            self.tap(event, self.loop.now, exchange)

    def stop_accepting(self) -> None:
        """Accepts no more connections; idle ones are closed now, the others after their response."""
        self.is_closing = True
        self.listener.close()
        for connection in list(self.connections):
            if connection.current is None and connection.incoming is None and connection.stream is not None:
                connection.stream.close()

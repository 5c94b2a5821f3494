"""The server side of HTTP/1.1: connections with limits in every state, one exchange at a time, streamed answers."""
from collections import deque
from typing import Callable

import httptools

from laddergw.http.limits import REASONS, PeerLimits


class Exchange:
    """One request and its answer. `answer` or `begin`...`finish` may be called at any later moment, once.

    `read_at` is the loop's time at which the request's last byte was read, `stall_ms` how long it may have waited before
    that because the process stood still. `on_disconnect`, where set, is called when the peer leaves before the end.
    """
    __slots__ = ("connection", "method", "path", "query", "headers", "body", "read_at", "stall_ms", "on_disconnect", "begun", "ended",
                 "keep")

    def __init__(self, connection: "ServerConnection"):
        self.connection, self.method, self.path, self.query, self.headers, self.body = connection, "", "", "", {}, b""
        self.read_at = self.stall_ms = 0.0
        self.on_disconnect: Callable[[], None] | None = None
        self.begun = self.ended = False
        self.keep = True

    @property
    def disconnected(self) -> bool:
        return self.connection.stream is None

    def answer(self, status: int, body: bytes = b"", content_type: str = "application/json", extra_headers: str = "") -> bool:
        """The whole answer. False, and nothing sent, where one was given before or the peer has left."""
        if self.begun or self.disconnected:
            return False
        self.begun = True
        self.connection.send(b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%s%s\r\n" % (
            status, REASONS.get(status, "Status").encode(), content_type.encode(), len(body), extra_headers.encode(),
            b"" if self.keep else b"Connection: close\r\n") + body)
        self.close()
        return True

    def begin(self, status: int, first_chunk: bytes = b"", content_type: str = "application/json") -> bool:
        """Starts an answer of chunks that stays open until finish()."""
        if self.begun or self.disconnected:
            return False
        self.begun = True
        self.connection.send(b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s" % (
            status, REASONS.get(status, "Status").encode(), content_type.encode(), chunk(first_chunk)))
        return True

    def push(self, data: bytes) -> bool:
        if not self.begun or self.ended or self.disconnected:
            return False
        self.connection.send(chunk(data))
        return True

    def finish(self) -> None:
        if self.begun and not self.ended and not self.disconnected:
            self.connection.send(b"0\r\n\r\n")
            self.close()

    def close(self) -> None:
        self.ended = True
        self.connection.done(self)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


class ServerConnection:
    """One connection to us: reads requests, hands over one at a time, keeps the peer within its limits."""

    def __init__(self, server: "Server", stream):
        self.server, self.stream, self.limits = server, stream, server.limits
        self.parser = httptools.HttpRequestParser(self)
        self.reading: Exchange | None = None       # being read
        self.current: Exchange | None = None       # being answered
        self.waiting: deque[Exchange] = deque()
        self.seen = 0                              # bytes of this request so far
        self.in_body = self.refused = False
        self.timer, self.deadline, self.why = None, 0.0, ""
        self.url = b""

    # Limits in time: one lazy timer, moved only when it rings

    def limit(self, ms: float, why: str) -> None:
        loop = self.stream.loop
        self.deadline, self.why = loop.now + ms, why
        if self.timer is None or self.timer.when > self.deadline:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = loop.call_at(self.deadline, self.ring)

    def ring(self) -> None:
        self.timer = None
        if self.stream is None or not self.why:
            return
        if self.stream.loop.now < self.deadline:
            self.timer = self.stream.loop.call_at(self.deadline, self.ring)
        elif self.reading is not None and self.current is None:
            self.refuse(408, f"the request was not complete in time: {self.why}")
        elif self.why == "idle" and not self.stream.queued:
            self.stream.close()
        else:
            self.stream.abort()

    # What the stream tells

    def opened(self, stream) -> None:
        self.limit(self.limits.head_ms, "no request after the connect")

    def data_received(self, stream, data: bytes) -> None:
        if self.refused:
            return
        if self.reading is None and self.current is None:
            self.limit(self.limits.head_ms, "head")
        self.seen += len(data)
        if not self.in_body and self.seen > self.limits.max_head_bytes + self.limits.max_body_bytes:
            return self.refuse(431, f"a head of more than {self.limits.max_head_bytes} bytes")
        try:
            self.parser.feed_data(data)
        except RequestTooLarge as error:
            return self.refuse(error.status, str(error))
        except httptools.HttpParserUpgrade:
            return self.refuse(400, "upgrades are not served here")
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, RequestTooLarge):
                return self.refuse(cause.status, str(cause))
            return self.refuse(400, f"not a request of HTTP/1.1: {error}")
        if not self.in_body and self.reading is not None and self.seen > self.limits.max_head_bytes:
            return self.refuse(431, f"a head of more than {self.limits.max_head_bytes} bytes")
        if len(self.waiting) >= self.limits.max_pipelined and self.stream is not None:
            self.stream.pause_reading()

    def write_buffer_drained(self, stream) -> None:
        self.rearm()

    def rearm(self) -> None:
        """The limit for the state that the connection is in; none while we are the ones who owe."""
        if self.stream is None:
            return
        if self.stream.queued:
            self.limit(self.limits.stall_ms, "stall")
        elif self.reading is not None:
            if not self.why:
                self.limit(self.limits.head_ms, "head")
        elif self.current is not None:
            self.why = ""
        else:
            self.limit(self.limits.idle_ms, "idle")

    def closed(self, stream, why: str | None) -> None:
        self.stream = None
        if self.timer is not None:
            self.timer.cancel()
        self.server.connections.pop(self, None)
        for exchange in filter(None, (self.current, *self.waiting)):
            if exchange.on_disconnect is not None and not exchange.ended:
                stream.loop.run_guarded(exchange.on_disconnect)
        self.current, self.reading = None, None
        self.waiting.clear()

    # What the parser tells

    def on_message_begin(self) -> None:
        self.reading, self.url, self.in_body = Exchange(self), b"", False
        if self.current is None:
            self.limit(self.limits.head_ms, "head")

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.reading.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        exchange, self.in_body = self.reading, True
        size = exchange.headers.get("content-length", "0")
        if not size.isdigit() or int(size) > self.limits.max_body_bytes:
            raise RequestTooLarge(413, f"a body of {size} bytes, {self.limits.max_body_bytes} at most")
        exchange.method = self.parser.get_method().decode("latin-1")
        exchange.keep = self.parser.should_keep_alive()
        path, _, exchange.query = self.url.decode("latin-1").partition("?")
        exchange.path = path
        if self.current is None:
            self.limit(self.limits.body_ms, "body")

    def on_body(self, data: bytes) -> None:
        self.reading.body += data
        if len(self.reading.body) > self.limits.max_body_bytes:
            raise RequestTooLarge(413, f"a body of more than {self.limits.max_body_bytes} bytes")

    def on_message_complete(self) -> None:
        exchange, self.reading, self.seen, self.in_body = self.reading, None, 0, False
        exchange.read_at, exchange.stall_ms = self.stream.loop.now, self.stream.loop.stall_ms
        if self.current is None:
            self.start(exchange)
        else:
            self.waiting.append(exchange)

    # Exchanges in turn

    def start(self, exchange: Exchange) -> None:
        self.current, self.why = exchange, ""
        self.stream.loop.call_soon(lambda: self.hand_over(exchange))

    def hand_over(self, exchange: Exchange) -> None:
        if self.stream is not None and self.current is exchange:
            self.server.tapped("request", exchange)
            self.server.serve(exchange)

    def send(self, data: bytes) -> None:
        self.stream.write(data)
        if self.stream is not None and self.stream.queued > self.limits.max_queued_bytes:
            self.stream.abort()                  # it does not read: what we hold for it is bounded
        elif self.stream is not None and self.stream.queued and self.why != "stall":
            self.limit(self.limits.stall_ms, "stall")

    def done(self, exchange: Exchange) -> None:
        if self.current is not exchange:
            return
        self.server.tapped("answered", exchange)
        self.current = None
        if self.stream is None:
            return
        if not exchange.keep or self.server.closing:
            self.stream.close()
        elif self.waiting:
            self.start(self.waiting.popleft())
            if not self.stream.reading and len(self.waiting) < self.limits.max_pipelined:
                self.stream.resume_reading()
        else:
            self.rearm()

    def refuse(self, status: int, why: str) -> None:
        """A request that cannot be read: a clear answer, then the end of the connection."""
        self.refused = True
        if self.current is not None or self.waiting:
            return self.stream.abort() if self.stream is not None else None
        self.server.refused_requests[status] = self.server.refused_requests.get(status, 0) + 1
        exchange, self.reading = self.reading or Exchange(self), None
        exchange.keep, self.current = False, exchange
        exchange.answer(status, b'{"error": "%s"}\n' % why.replace('"', "'").encode())


class RequestTooLarge(Exception):
    """A request over our limits; `status` is the answer."""

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


class Server:
    """A listener whose connections speak HTTP/1.1. `serve(exchange)` is called for each request, in the turn in which its last byte
    was read and before the turn's end."""

    def __init__(self, loop, address: tuple[str, int], serve: Callable[[Exchange], None],
                 limits: PeerLimits = PeerLimits(), tap: Callable | None = None):
        self.loop, self.serve, self.limits, self.tap = loop, serve, limits, tap
        self.connections: dict[ServerConnection, None] = {}
        self.refused_requests: dict[int, int] = {}
        self.rejected_connections = 0
        self.closing = False
        self.listener = loop.listen(address, self.accept)
        self.address = self.listener.address

    def accept(self, stream) -> ServerConnection:
        peer = ServerConnection(self, stream)
        self.connections[peer] = None
        if len(self.connections) > self.limits.max_connections:
            self.rejected_connections += 1
            self.loop.call_soon(lambda: peer.stream is not None and peer.refuse(503, "too many connections"))
        return peer

    def tapped(self, what: str, exchange: Exchange) -> None:
        if self.tap is not None:
            self.tap(what, self.loop.now, exchange)

    def stop_accepting(self) -> None:
        """No new connections; those with nothing under way end, the others after their answer."""
        self.closing = True
        self.listener.close()
        for peer in list(self.connections):
            if peer.current is None and peer.reading is None and peer.stream is not None:
                peer.stream.close()

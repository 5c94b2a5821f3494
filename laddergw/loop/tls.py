"""TLS over a loop's stream, by ssl's memory buffers: no call waits. Works on sockets and in memory
alike.

The layer stands between a stream and its owner: it is the stream's owner, and a stream to the owner
behind it. Certificates of both sides are asked for and checked by `contexts`;
an unknown or expired peer is refused in the handshake, before a byte of ours is sent.
"""

import ssl
from collections.abc import Callable

from laddergw.loop.base import Owner

CHUNK = 65_536


def server_context(certificate: str, key: str, authority: str) -> ssl.SSLContext:
    """Of a planner: edges must show a certificate of the authority."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return mutual(context, certificate, key, authority)


def client_context(certificate: str, key: str, authority: str) -> ssl.SSLContext:
    """Of an edge: the planner must show one, for the name that is asked for."""
    return mutual(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), certificate, key, authority)


def mutual(context: ssl.SSLContext, certificate: str, key: str, authority: str) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(certificate, key)
    context.load_verify_locations(authority)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


class TlsStream:
    """See the module. `owner` is told as by a plain stream: opened once the handshake is done."""

    def __init__(
        self, owner: Owner | None, context: ssl.SSLContext, server: bool, name: str | None = None
    ):
        self.owner, self.stream, self.up, self.over = owner, None, False, False
        self.come, self.go = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(
            self.come, self.go, server_side=server, server_hostname=None if server else name
        )
        self.waiting = bytearray()  # written before the handshake was done
        self.peer = None

    # As the owner of the stream below

    def opened(self, stream) -> None:
        self.stream = stream
        self.shake()

    def data_received(self, stream, data: bytes) -> None:
        self.stream = stream
        self.come.write(data)
        if not self.up:
            self.shake()
        if self.up:
            self.read()

    def write_buffer_drained(self, stream) -> None:
        if self.up and self.owner is not None:
            self.owner.write_buffer_drained(self)

    def closed(self, stream, why: str | None) -> None:
        if not self.over:
            self.over = True
            if self.owner is not None:
                self.owner.closed(self, why if self.up or why else "closed within the handshake")

    # As a stream to the owner

    def write(self, data: bytes) -> None:
        if self.over:
            return
        if not self.up:
            self.waiting += data
            return
        self.tls.write(data)
        self.flush()

    def close(self) -> None:
        if self.stream is not None and not self.over:
            self.stream.close()

    def abort(self) -> None:
        if self.stream is not None:
            self.stream.abort()

    # Between

    def shake(self) -> None:
        try:
            self.tls.do_handshake()
        except ssl.SSLWantReadError:
            return self.flush()
        except ssl.SSLError as error:
            return self.fail(f"handshake: {reason(error)}")
        self.up = True
        self.peer = self.tls.getpeercert()
        self.flush()
        if self.owner is not None:
            self.owner.opened(self)
        if self.waiting:
            data, self.waiting = bytes(self.waiting), bytearray()
            self.write(data)
        return None

    def read(self) -> None:
        while not self.over:
            try:
                data = self.tls.read(CHUNK)
            except ssl.SSLWantReadError:
                return self.flush()
            except ssl.SSLZeroReturnError:
                return self.close()
            except ssl.SSLError as error:
                return self.fail(reason(error))
            if not data:
                return None
            self.owner.data_received(self, data)
        return None

    def flush(self) -> None:
        if self.go.pending and self.stream is not None and not self.over:
            self.stream.write(self.go.read())

    def fail(self, why: str) -> None:
        """The other side is told by its alert; ours hears why."""
        self.flush()
        if not self.over:
            self.over = True
            if self.owner is not None:
                self.owner.closed(self, why)
            if self.stream is not None:
                self.stream.close()


def reason(error: ssl.SSLError) -> str:
    return getattr(error, "verify_message", "") or error.reason or str(error)


def common_name(peer: dict | None) -> str:
    """The name in a peer's certificate."""
    for pair in (pair for part in (peer or {}).get("subject", ()) for pair in part):
        if pair[0] == "commonName":
            return pair[1]
    return ""


def wrap_accept(accept: Callable, context: ssl.SSLContext | None) -> Callable:
    """A listener's callback: `accept(stream)` gives the owner, over TLS with a context."""
    if context is None:
        return accept

    def secured(stream):
        layer = TlsStream(None, context, True)
        layer.stream = stream
        layer.owner = accept(layer)
        return layer

    return secured

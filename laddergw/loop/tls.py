"""TLS on top of a loop's stream, with ssl's memory buffers: no call blocks. Works on sockets and in
memory alike.

The layer is the owner of the stream below it, and a stream to the owner above it. The contexts make
both sides demand and verify a certificate: an unknown or expired peer is refused in the handshake,
before any of our data is sent.
"""

import ssl
from collections.abc import Callable

from laddergw.loop.base import Owner

READ_BYTES = 65_536  # decrypted bytes that are handed over at once


def server_context(certificate: str, key: str, authority: str) -> ssl.SSLContext:
    """For a planner: edges must present a certificate of the authority."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return require_mutual_tls(context, certificate, key, authority)


def client_context(certificate: str, key: str, authority: str) -> ssl.SSLContext:
    """For an edge: the planner must present a certificate for the name that was dialled."""
    return require_mutual_tls(ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT), certificate, key, authority)


def require_mutual_tls(
    context: ssl.SSLContext, certificate: str, key: str, authority: str
) -> ssl.SSLContext:
    """Sets our certificate and requires TLS 1.3 and a peer certificate of the authority."""
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(certificate, key)
    context.load_verify_locations(authority)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


class TlsStream:
    """A TLS connection on a plain stream.

    Calls `owner` as a plain stream does; `opened` comes once the handshake is done.
    """

    def __init__(
        self, owner: Owner | None, context: ssl.SSLContext, server: bool, name: str | None = None
    ):
        self.owner, self.stream, self.handshake_done, self.is_closed = owner, None, False, False
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(
            self.incoming,
            self.outgoing,
            server_side=server,
            server_hostname=None if server else name,
        )
        self.early_writes = bytearray()  # written before the handshake was done
        self.peer = None

    # As the owner of the stream below

    def opened(self, stream) -> None:
        """Starts the handshake."""
        self.stream = stream
        self.do_handshake()

    def data_received(self, stream, data: bytes) -> None:
        """Continues the handshake, or decrypts the data and hands it over."""
        self.stream = stream
        self.incoming.write(data)
        if not self.handshake_done:
            self.do_handshake()
        if self.handshake_done:
            self.read()

    def write_buffer_drained(self, stream) -> None:
        """Passes the call on to the owner once the handshake is done."""
        if self.handshake_done and self.owner is not None:
            self.owner.write_buffer_drained(self)

    def closed(self, stream, reason: str | None) -> None:
        """Passes the close on; a close during the handshake always has a reason."""
        if not self.is_closed:
            self.is_closed = True
            if self.owner is not None:
                self.owner.closed(
                    self,
                    reason if self.handshake_done or reason else "closed during the handshake",
                )

    # As a stream to the owner

    def write(self, data: bytes) -> None:
        """Encrypts and writes the data; before the end of the handshake it is kept."""
        if self.is_closed:
            return
        if not self.handshake_done:
            self.early_writes += data
            return
        self.tls.write(data)
        self.flush()

    def close(self) -> None:
        """Closes the stream below after what is queued there."""
        if self.stream is not None and not self.is_closed:
            self.stream.close()

    def abort(self) -> None:
        """Resets the connection."""
        if self.stream is not None:
            self.stream.abort()

    # Between the two

    def do_handshake(self) -> None:
        """Takes the handshake as far as the data at hand allows."""
        try:
            self.tls.do_handshake()
        except ssl.SSLWantReadError:
            return self.flush()
        except ssl.SSLError as error:
            return self.fail(f"handshake: {error_text(error)}")
        self.handshake_done = True
        self.peer = self.tls.getpeercert()
        self.flush()
        if self.owner is not None:
            self.owner.opened(self)
        if self.early_writes:
            data, self.early_writes = bytes(self.early_writes), bytearray()
            self.write(data)
        return None

    def read(self) -> None:
        """Hands all data that can be decrypted to the owner."""
        while not self.is_closed:
            try:
                data = self.tls.read(READ_BYTES)
            except ssl.SSLWantReadError:
                return self.flush()
            except ssl.SSLZeroReturnError:
                return self.close()
            except ssl.SSLError as error:
                return self.fail(error_text(error))
            if not data:
                return None
            self.owner.data_received(self, data)
        return None

    def flush(self) -> None:
        """Writes the encrypted data to the stream below."""
        if self.outgoing.pending and self.stream is not None and not self.is_closed:
            self.stream.write(self.outgoing.read())

    def fail(self, reason: str) -> None:
        """Sends the peer its TLS alert, reports the reason to our owner and closes."""
        self.flush()
        if not self.is_closed:
            self.is_closed = True
            if self.owner is not None:
                self.owner.closed(self, reason)
            if self.stream is not None:
                self.stream.close()


def error_text(error: ssl.SSLError) -> str:
    """The shortest description of a TLS error: why verification failed, else OpenSSL's reason."""
    return getattr(error, "verify_message", "") or error.reason or str(error)


def common_name(peer: dict | None) -> str:
    """The common name in a peer's certificate; empty if it has none."""
    for pair in (pair for part in (peer or {}).get("subject", ()) for pair in part):
        if pair[0] == "commonName":
            return pair[1]
    return ""


def wrap_accept(accept: Callable, context: ssl.SSLContext | None) -> Callable:
    """Returns a listener's callback: `accept(stream)` gives the owner, over TLS with a context."""
    if context is None:
        return accept

    def accept_tls(stream):
        layer = TlsStream(None, context, True)
        layer.stream = stream
        layer.owner = accept(layer)
        return layer

    return accept_tls

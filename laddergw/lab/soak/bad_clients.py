"""Clients of a trial that send malformed data."""

from laddergw.lab.soak.messages import set_up
from laddergw.lab.soak.peers import PeerConnection

GARBAGE = (
    b"\xff" * 50,
    b"\0\3abc",
    b"",
    set_up(9)[:30],
    b"\0\x09\x63" + b"\0" * 8,
    b"GET / HTTP/1.1\r\n\r\n",
)


class BadClient(PeerConnection):
    """Sends malformed data or nothing, and waits for the director to refuse it or to close."""

    def __init__(self, data: bytes):
        self.data = data

    def opened(self, stream) -> None:
        super().opened(stream)
        if self.data:
            stream.write(self.data)

    def data_received(self, stream, data: bytes) -> None:
        pass

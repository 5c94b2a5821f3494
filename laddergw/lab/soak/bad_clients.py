"""Clients of a trial that send what cannot be used."""

from laddergw.lab.soak.messages import set_up
from laddergw.lab.soak.peers import Owner

GARBAGE = (
    b"\xff" * 50,
    b"\0\3abc",
    b"",
    set_up(9)[:30],
    b"\0\x09\x63" + b"\0" * 8,
    b"GET / HTTP/1.1\r\n\r\n",
)


class BadClient(Owner):
    """Says something of no use and waits to be refused or closed."""

    def __init__(self, data: bytes):
        self.data = data

    def opened(self, stream) -> None:
        super().opened(stream)
        if self.data:
            stream.write(self.data)

    def data_received(self, stream, data: bytes) -> None:
        pass

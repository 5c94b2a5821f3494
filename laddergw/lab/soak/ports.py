"""Reserves free loopback ports, which stay reserved while nobody listens on them."""

import pathlib
import random
import socket

# Ports are drawn from this many below the range that the system assigns from.
CANDIDATE_PORTS = 8_000
HOST = "127.0.0.1"
SYSTEM_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class ReservedPort(socket.socket):
    """A free port, bound but not listening: a listener that reuses addresses may bind it, and
    nobody else is given it.

    It lies below the range that the system assigns from: while nobody listens on a port of that
    range, the system may assign it to another socket that reuses addresses. A datagram socket
    marks the port as taken.
    """

    def __init__(self) -> None:
        super().__init__()
        self.datagram_socket = socket.socket(type=socket.SOCK_DGRAM)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def close(self) -> None:
        super().close()
        self.datagram_socket.close()


def reserve_port() -> ReservedPort:
    """Reserves a random free port. Raises OSError if no port is free."""
    first = int(SYSTEM_RANGE.read_text().split()[0])
    for _ in range(CANDIDATE_PORTS):
        port = ReservedPort()
        try:
            address = HOST, first - 1 - random.SystemRandom().randrange(CANDIDATE_PORTS)
            port.datagram_socket.bind(address)
            port.bind(address)
            return port
        except OSError:
            # The port is in use.
            port.close()
    raise OSError("no free port")

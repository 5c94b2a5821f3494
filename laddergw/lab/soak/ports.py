"""Free ports on loopback that stay ours while nobody listens at them."""

import pathlib
import random
import socket

PORTS = 8_000  # as many under the system's own are drawn from
HOST = "127.0.0.1"
SYSTEM_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class ReservedPort(socket.socket):
    """A free port, bound and not listening: a listener that reuses addresses may have it, and
    nobody else is given it. It lies under those
    that the system gives, which it would give to another that reuses addresses while nobody
    listens; a datagram socket marks it as taken.
    """

    def __init__(self) -> None:
        super().__init__()
        self.mark = socket.socket(type=socket.SOCK_DGRAM)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def close(self) -> None:
        super().close()
        self.mark.close()


def reserve_port() -> ReservedPort:
    """Raises OSError where no port is free."""
    first = int(SYSTEM_RANGE.read_text().split()[0])
    for _ in range(PORTS):
        held = ReservedPort()
        try:
            address = HOST, first - 1 - random.SystemRandom().randrange(PORTS)
            held.mark.bind(address)
            held.bind(address)
            return held
        except OSError:  # somebody has it
            held.close()
    raise OSError("no free port")

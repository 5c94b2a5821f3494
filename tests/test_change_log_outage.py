"""Outages of the change log: what counts as told at a time is known by then. Real sockets and a
clock that is passed in.
"""

import contextlib
import json
import socket
import unittest

from laddergw.loop.sockets import SocketLoop
from laddergw.platform import configuration as configurations
from laddergw.platform.change_log import ChangeLogClient
from tests.platform_cluster import configuration_file, event, member

# By the platform's pages: an event counts as told so long after the change log broke off or fell
# silent; so long after that no set-up may be sent to a node that drains.
TOLD_LIMIT_MS, DRAIN_GRACE_MS = 4_000.0, 250.0
# After a longer outage: so long after the change log can be reached.
REACHED_LIMIT_MS = 6_000.0
STEP_MS = 10.0
FLEET = 60


class ChangeLog:
    """A change log that accepts a few connections at a time and knows two events."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address, self.connections, self.answers = self.sock.getsockname(), [], True
        self.sock.setblocking(False)

    def break_off(self):
        """Ends its connections and refuses new ones."""
        self.close()
        self.connections = []

    def return_(self, backlog=128):
        """Takes connections again, at the same address."""
        self.sock = socket.create_server(self.address, backlog=backlog)
        self.sock.setblocking(False)

    def serve(self, limit=128):
        """Accepts up to so many connections, and answers the requests that have come."""
        with contextlib.suppress(BlockingIOError, OSError):
            for _ in range(limit):
                connection, _ = self.sock.accept()
                connection.setblocking(False)
                self.connections.append(connection)
        for connection in self.connections if self.answers else ():
            with contextlib.suppress(BlockingIOError, ConnectionError):
                if connection.recv(100):
                    line = event(2, member("a", 1, phase="DRAINING"))
                    connection.sendall(json.dumps(line).encode() + b"\n")

    def close(self):
        for sock in [self.sock, *self.connections]:
            sock.close()


class OutageTests(unittest.TestCase):
    """Directors' clients of one change log, which have lost it together."""

    def start(self, clients=1):
        self.now, self.heard_at = [10_000.0], {}
        self.loop, self.log = SocketLoop(clock=lambda: self.now[0]), ChangeLog()
        self.addCleanup(self.log.close)
        self.addCleanup(self.loop.close)
        found = configurations.parse(configuration_file())
        for seed in range(clients):
            configuration = found._replace(changelog=self.log.address, last_event=1, seed=seed)
            ChangeLogClient(self.loop, configuration, lambda _, seed=seed: self.hear(seed))

    def hear(self, client):
        self.heard_at.setdefault(client, self.now[0])

    def advance(self, ms, limit=128):
        """Advances the clock; the change log serves up to so many connections in each step."""
        for _ in range(int(ms / STEP_MS)):
            self.now[0] += STEP_MS
            self.loop.call_soon(lambda: None)
            self.loop.turn()
            self.log.serve(limit)

    def connect_all(self, clients):
        """All clients have asked, and the change log had nothing to tell."""
        self.log.answers = False
        self.advance(100.0)
        self.assertEqual(len(self.log.connections), clients)
        for connection in self.log.connections:
            connection.sendall(b"1\n")
        self.advance(20.0)
        self.log.answers = True

    # Guards against an outage that ends shortly before its events count as told, and is noticed later.
    def test_an_outage_of_any_length(self):
        for length_ms in range(50, int(TOLD_LIMIT_MS) + 1, 50):
            with self.subTest(length_ms=length_ms):
                self.start()
                self.connect_all(1)
                self.log.break_off()
                self.advance(length_ms)
                self.log.return_()
                back_at = self.now[0]
                self.advance(DRAIN_GRACE_MS)
                self.assertIn(0, self.heard_at, f"{self.now[0] - back_at:.0f} ms")
                self.loop.close()

    # Guards against dials that hang and delay the next one past that time.
    def test_an_outage_whose_connections_do_not_come_up(self):
        for length_ms in range(500, int(TOLD_LIMIT_MS) + 1, 500):
            with self.subTest(length_ms=length_ms):
                self.start()
                self.connect_all(1)
                self.log.break_off()
                self.log.return_(backlog=0)
                fillers = [socket.socket() for _ in range(4)]
                for filler in fillers:
                    self.addCleanup(filler.close)
                    filler.setblocking(False)
                    filler.connect_ex(self.log.address)
                self.advance(length_ms, limit=0)
                self.assertEqual(self.heard_at, {})
                self.log.sock.listen(128)
                self.advance(DRAIN_GRACE_MS)
                self.assertIn(0, self.heard_at)
                self.loop.close()

    # Guards against a silence that is noticed after its events count as told.
    def test_a_silence(self):
        self.start()
        self.connect_all(1)
        self.advance(TOLD_LIMIT_MS)
        self.assertIn(0, self.heard_at)

    # Guards against a fleet that dials at once, is not let in, and hears late.
    def test_a_fleet_that_dials_at_once(self):
        for length_ms in 1_900.0, 3_700.0, 10_000.0:
            with self.subTest(length_ms=length_ms):
                self.start(FLEET)
                self.connect_all(FLEET)
                self.log.break_off()
                self.advance(length_ms)
                self.log.return_(backlog=4)
                back_at = self.now[0]
                limit_ms = DRAIN_GRACE_MS if length_ms < TOLD_LIMIT_MS else REACHED_LIMIT_MS
                self.advance(2 * limit_ms, limit=8)
                late = [at - back_at for at in self.heard_at.values() if at - back_at > limit_ms]
                self.assertEqual((len(self.heard_at), late), (FLEET, []))
                self.loop.close()


if __name__ == "__main__":
    unittest.main()

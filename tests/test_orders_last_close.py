"""Connections that arrive as a stopping director closes its own.

Real sockets; each test forces the bad order of events.
"""

import select
import socket
import unittest

from tests.socket_harness import SocketHarness


class LastCloseTests(unittest.TestCase):
    """Viewers that connect as the last connections are closed."""

    def setUp(self):
        self.now = [0.0]
        self.harness = SocketHarness(self, now=lambda: self.now[0])

    # Guards against a connection that comes up between a stopping director's last accept and its
    # listener's close, and is reset.
    def test_no_connection_comes_up_between_the_last_accept_and_the_close(self):
        listener = self.harness.director.listener.acceptor
        early, late = socket.create_connection(self.harness.address), socket.socket()
        self.addCleanup(early.close)
        self.addCleanup(late.close)
        listener.drop_new_connections()
        late.setblocking(False)
        late.connect_ex(self.harness.address)
        listener.accept_waiting()
        self.assertEqual(
            [v.stream.peer for v in self.harness.director.listener.viewers], [early.getsockname()]
        )
        self.assertEqual(select.select([], [late], [], 0.05)[1], [], "the connection has come up")

    # Guards against a set-up that crosses the close of a stop, is retried on a new connection, and
    # is cut off a second time.
    def test_a_reconnect_at_the_last_close_is_refused(self):
        self.harness.viewer()
        self.harness.turns(3)
        listener, seen = self.harness.director.listener, []
        close_all = listener.close_all

        def close_and_reconnect():
            close_all()
            try:
                with socket.create_connection(self.harness.address):
                    seen.append("accepted")
            except ConnectionRefusedError:
                seen.append("refused")

        listener.close_all = close_and_reconnect
        self.harness.director.stop()
        self.harness.run_to_end(self.now)
        self.assertEqual(seen, ["refused"])


if __name__ == "__main__":
    unittest.main()

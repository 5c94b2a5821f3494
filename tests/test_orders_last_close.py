"""Connections that come as a stopping director closes its own.

Real connections, the bad order every time.
"""

import select
import socket
import unittest

from tests.socket_harness import SocketHarness


class LastClose(unittest.TestCase):
    """Who comes as the last connections are closed."""

    def setUp(self):
        self.now = [0.0]
        self.town = SocketHarness(self, now=lambda: self.now[0])

    # Guards against a connection that comes up between a stopping director's last accept and its
    # listener's close, and is reset.
    def test_no_connection_comes_up_between_the_last_accept_and_the_close(self):
        listener = self.town.director.listener.acceptor
        early, late = socket.create_connection(self.town.address), socket.socket()
        self.addCleanup(early.close)
        self.addCleanup(late.close)
        listener.drop_new_connections()
        late.setblocking(False)
        late.connect_ex(self.town.address)
        listener.accept_waiting()
        self.assertEqual(
            [v.stream.peer for v in self.town.director.listener.viewers], [early.getsockname()]
        )
        self.assertEqual(select.select([], [late], [], 0.05)[1], [], "it has come up")

    # Guards against a set-up that crosses a stop's close and is cut off a second time, on the new
    # connection that it goes again on.
    def test_who_comes_again_at_the_last_close_is_refused(self):
        self.town.viewer()
        self.town.turns(3)
        listener, seen = self.town.director.listener, []
        shut = listener.close_all

        def shut_and_come_again():
            shut()
            try:
                with socket.create_connection(self.town.address):
                    seen.append("let in")
            except ConnectionRefusedError:
                seen.append("refused")

        listener.close_all = shut_and_come_again
        self.town.director.stop()
        self.town.run_to_end(self.now)
        self.assertEqual(seen, ["refused"])


if __name__ == "__main__":
    unittest.main()

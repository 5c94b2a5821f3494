"""Set-ups that may have run and that nobody waits for: their node is told until it answers. Real
sockets and a clock that is passed in; each test forces the bad order of events.
"""

import unittest

from laddergw.signalling import binary, rtsp
from tests.platform_cluster import answer, release, set_up
from tests.socket_harness import SocketHarness

SESSION = f"{1:016x}"
# Releases that together are longer than one message may be.
BURST = 600
NOISE = b"\xff\xff\xff"
# By the platform's page: the longest time from a play's end to its release.
RELEASE_LIMIT_MS = 8_000.0


class ReleaseTests(unittest.TestCase):
    """One director with node a, which runs what it may, and node b, which answers set-ups well."""

    def start(self, product="guide"):
        self.now = [10_000.0]
        self.harness = SocketHarness(self, nodes=("a", "b"), now=lambda: self.now[0])
        self.nodes = self.harness.nodes
        self.answers_releases, self.forgotten = True, []
        self.released, self.received = [], []
        self.director = self.harness.director
        self.director.controller.fleet.nodes[2].backoff_until = 1e12
        self.viewer = self.harness.viewer()
        self.viewer.write(set_up(1, product=product))
        self.connection, _ = self.harness.wait_for_set_up("a")
        self.director.controller.fleet.nodes[2].backoff_until = 0.0

    def step(self):
        """One turn; nodes answer what they are asked, but for connections that are forgotten."""
        self.now[0] += 10.0
        self.harness.turn()
        for name, node in self.nodes.items():
            for connection, message in node.receive():
                if connection.ended is None and connection not in self.forgotten:
                    self.answer(name, connection, message)

    def answer(self, name, connection, message):
        """Answers as a node does; what came is kept in `received`, releases in `released`."""
        self.received.append((connection, message.method))
        if message.method == "TEARDOWN":
            self.released.append((name, message.session, connection))
        if message.method == "OPTIONS":
            connection.write(rtsp.encode_response(200, "OK", "3", message.session))
        elif message.method == "TEARDOWN" and self.answers_releases:
            connection.write(rtsp.encode_response(200, "OK", "2", message.session))
        elif message.method == "SETUP":
            connection.write(answer(message.session))

    def advance(self, ms):
        for _ in range(int(ms / 10)):
            self.step()

    def step_until(self, condition):
        """Advances until the condition holds, which has to be within the limit of a release."""
        deadline = self.now[0] + RELEASE_LIMIT_MS
        while not condition():
            self.assertLess(self.now[0], deadline)
            self.step()

    def releases_at(self, name):
        """The sessions that a node was told to release."""
        return [session for node, session, _ in self.released if node == name]

    def end_connection(self, way):
        """Ends the connection of the set-up, which the node has read and may have answered."""
        if way == "spoilt":
            self.connection.write(NOISE)
        elif way == "answered and spoilt":
            self.connection.write(answer(SESSION)[:-1], NOISE)
        elif way == "closed":
            self.connection.close()
        elif way == "reset":
            self.connection.reset()
        elif way == "forgotten":
            self.forgotten.append(self.connection)

    # Guards against sessions that stand at two nodes after their connection ended under the set-up.
    def test_a_set_up_whose_connection_ends_is_released_at_its_node(self):
        ways = "reset", "closed", "spoilt", "answered and spoilt", "forgotten"
        for way in ways:
            for product in "guide", "paid":
                with self.subTest(way, product=product):
                    self.start(product)
                    self.end_connection(way)
                    self.advance(RELEASE_LIMIT_MS)
                    self.assertEqual(set(self.releases_at("a")), {SESSION})
                    self.assertEqual(self.releases_at("b"), [])
                    self.assertFalse(self.director.nodes.by_id["a"].releases)
                    self.harness.close()

    # Guards against a release that is lost with the connection that it was repeated on.
    def test_a_release_is_repeated_until_it_is_answered(self):
        self.start()
        self.answers_releases = False
        self.connection.reset()
        for expected in 1, 2, 3:
            self.step_until(lambda expected=expected: len(self.released) >= expected)
            self.released[-1][2].reset()
        self.answers_releases = True
        self.advance(RELEASE_LIMIT_MS)
        self.assertEqual(self.releases_at("a"), [SESSION] * 4)

    # Guards against a release that goes with a forgotten connection as a later set-up times out.
    def test_a_release_on_a_forgotten_connection(self):
        for is_used_again in False, True:
            with self.subTest(is_used_again=is_used_again):
                self.start()
                self.connection.write(answer(SESSION))
                self.advance(100)
                self.forgotten.append(self.connection)
                self.director.controller.fleet.nodes[2].backoff_until = 1e12
                self.viewer.write(binary.encode(binary.RELEASE, SESSION, (222, b"\x10")))
                self.advance(100)
                if is_used_again:
                    self.viewer.write(set_up(2, product="paid"))
                self.advance(RELEASE_LIMIT_MS)
                self.assertEqual(self.releases_at("a").count(SESSION), 1)
                self.assertFalse(self.director.nodes.by_id["a"].releases)
                self.harness.close()

    # Guards against a connection that ends as its node reports many ends at once.
    def test_many_releases_of_a_node_in_one_read(self):
        self.start()
        self.connection.write(answer(SESSION))
        self.advance(100)
        (own,) = self.director.nodes.by_id["a"].connections
        self.connection.write(b"".join(release(number, 16) for number in range(1, BURST + 1)))
        answered = []
        self.harness.run_until(
            lambda: answered.extend(self.connection.receive())
            or len(answered) == BURST
            or self.connection.ended
        )
        self.assertIsNone(self.connection.ended)
        self.assertEqual(self.director.nodes.by_id["a"].connections, [own])

    # Guards against a release that goes from one forgotten connection to the next.
    def test_a_release_among_many_forgotten_connections(self):
        self.start()
        self.connection.write(answer(SESSION))
        self.advance(100)
        node = self.director.nodes.by_id["a"]
        for _ in range(5):
            node.dial()
        self.harness.run_until(lambda: all(one.up for one in node.connections))
        self.advance(100)
        self.forgotten += self.nodes["a"].connections
        self.viewer.write(binary.encode(binary.RELEASE, SESSION, (222, b"\x10")))
        self.advance(RELEASE_LIMIT_MS)
        self.assertEqual(self.releases_at("a"), [SESSION])

    # Guards against releases without end at a node that answers tests, and no release.
    def test_a_node_that_need_not_answer_releases(self):
        self.start()
        self.answers_releases = False
        self.connection.reset()
        self.advance(RELEASE_LIMIT_MS)
        self.assertEqual(self.releases_at("a"), [SESSION])
        self.assertFalse(self.director.nodes.by_id["a"].releases)

    # Guards against work for a process that is gone, told to the one at its address.
    def test_a_release_ends_with_its_process(self):
        self.start()
        port = self.nodes["a"].port
        self.nodes["a"].sock.close()
        self.connection.reset()
        self.harness.run_until(lambda: not self.director.nodes.by_id["a"].connections)
        self.harness.turns(3)
        self.assertFalse(self.director.nodes.by_id["a"].releases, port)

    # Guards against set-ups that a director leaves behind at its end, as their connections break.
    def test_a_set_up_that_breaks_as_the_director_ends(self):
        self.start("paid")
        self.director.stop()
        self.advance(100)
        self.connection.reset()
        self.step_until(lambda: not self.harness.loop.running)
        self.step()
        self.assertEqual(self.releases_at("a"), [SESSION])

    # Guards against a repeated release that ends the next set-up of its session at that node.
    def test_a_release_goes_before_the_next_set_up_of_its_session(self):
        self.start()
        self.forgotten.append(self.connection)
        self.director.controller.fleet.nodes[2].backoff_until = 1e12
        self.viewer.write(binary.encode(binary.RELEASE, SESSION, (222, b"\x10")))
        self.harness.run_until(lambda: not self.director.open_requests)
        self.viewer.write(set_up(1))
        self.advance(RELEASE_LIMIT_MS)
        (connection,) = {one for _, _, one in self.released}
        methods = [method for one, method in self.received if one is connection]
        self.assertEqual(methods[:2], ["TEARDOWN", "SETUP"])
        self.assertEqual(self.releases_at("a"), [SESSION])
        self.assertEqual(list(self.director.running_plays), [SESSION])


if __name__ == "__main__":
    unittest.main()

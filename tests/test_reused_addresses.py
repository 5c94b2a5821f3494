"""A new media node's process at the address of one that has gone, while a release waits for the old
one. Real processes: one director by the deploy file's line, with peers that the test plays.
"""

import json
import select
import time
import unittest

from laddergw.signalling import binary
from tests.director_process import DirectorProcess, session_name
from tests.platform_cluster import answer, event, member, set_up

OLD, NEW = 1, 2
# Nodes that cannot be reached are dialled each 2 s; so long the new process is watched.
WATCH_S = 4.5


class ReusedAddresses(unittest.TestCase):
    """Node a falls silent with a release waiting for it, and node c comes up at its address."""

    def start(self, has_release, is_handed_over=True):
        self.director = DirectorProcess(self, nodes=("a", "b") if is_handed_over else ("a",))
        self.node, self.viewer = self.director.nodes["a"], self.director.viewer()
        if is_handed_over:
            self.hand_over(OLD, "a")
            self.director.wait(lambda: self.node.connections, "a connection to node a")
            self.director.wait(lambda: "plays at node a" in self.director.running.log, "the play")
        else:
            self.director.request_play(self.viewer, OLD).write(answer(session_name(OLD)))
            self.director.wait_for_message(self.viewer, binary.ANSWER, OLD)
        self.node.stop_accepting()
        for connection in self.node.connections:
            connection.reset()
        self.node.connections = []
        if has_release:
            self.viewer.write(binary.encode(binary.RELEASE, session_name(OLD), (222, b"\x10")))
            self.director.wait_for_message(self.viewer, binary.RELEASE, OLD)

    def hand_over(self, session, name):
        """A session that plays at a node already."""
        self.viewer.write(set_up(session, attributes=f"home:0;copies:3;top:2;at:{name}"))

    def member(self, name, phase="SERVING", **changes):
        """The list's entry of a node at the address of node a."""
        address = f"127.0.0.1:{self.node.port}"
        return member(name, self.node.port, phase, **changes) | {"host_port": address}

    def tell(self, *members):
        """The change log tells one event, which the director handles."""
        connection, _ = self.director.change_log.accept()
        self.addCleanup(connection.close)
        connection.sendall(json.dumps(event(2, *members)).encode() + b"\n")
        self.director.wait(lambda: "SERVING at event 2" in self.director.running.log, "event 2")

    def watch(self):
        """The requests that come to the address within some time."""
        end, found = time.monotonic() + WATCH_S, []
        while (left := end - time.monotonic()) > 0:
            ends = [one.sock for one in self.node.connections if one.ended is None]
            select.select([self.node.sock, *ends], [], [], left)
            self.director.receive_all()
            for connection in self.node.connections:
                found += [(one.method, one.session) for one in connection.received if one.method]
                connection.received = []
        return found

    # Guards against a new process that is taken for the one that had its address before.
    def test_what_an_old_process_is_owed_does_not_go_to_the_new_one(self):
        for is_told in True, False:
            for has_release in True, False:
                with self.subTest(is_told=is_told, has_release=has_release):
                    self.start(has_release)
                    gone = [self.member("a", "DELETED")] if is_told else []
                    self.tell(*gone, self.member("c"))
                    self.node.resume_accepting()
                    self.hand_over(NEW, "c")
                    if not has_release:
                        self.director.wait_for_message(self.viewer, binary.RELEASE, OLD)
                    found = self.watch()
                    self.assertNotIn(("TEARDOWN", session_name(OLD)), found)
                    self.assertTrue(self.node.connections)
                    self.viewer.write(
                        binary.encode(binary.RELEASE, session_name(NEW), (222, b"\x10"))
                    )
                    self.director.wait_for_request("a", "TEARDOWN", NEW)
                    self.director.close()

    # Guards against releases of an old process's sessions at the next one under the same id.
    def test_what_an_old_process_is_owed_does_not_go_to_the_one_that_follows_it(self):
        self.start(has_release=True, is_handed_over=False)
        self.tell(self.member("a", since=1_000 * time.time()))
        self.node.resume_accepting()
        self.hand_over(NEW, "a")
        found = self.watch()
        self.assertNotIn(("TEARDOWN", session_name(OLD)), found)
        self.assertTrue(self.node.connections)


if __name__ == "__main__":
    unittest.main()

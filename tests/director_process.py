"""One director as a process, started by the deploy file's own line, with viewers and media nodes
that a test plays message by message.

What is sent is ordered by what has been received: a test that wants one message read before another
waits for the answer to the first.
"""

import contextlib
import os
import pathlib
import select
import socket
import sys
import tempfile
import time

from laddergw.signalling import binary
from tests.platform_cluster import event, member, set_up
from tests.socket_harness import Node, Peer
from tests.test_platform_start import SpawnedDirector

# Longest time that a test waits for one message.
WAIT_LIMIT_S = 20.0
PING = binary.encode(binary.PING, "0" * 16, (binary.CAUSE, b"\0"))


def session_name(number):
    """The name of a session in messages."""
    return f"{number:016x}"


class DirectorProcess:
    """A director process and its peers; all of them end with the test."""

    def __init__(self, test, nodes=("a",), **changes):
        self.test, self.nodes, self.peers = test, {name: Node(name) for name in nodes}, []
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        self.change_log = socket.create_server(("127.0.0.1", 0))
        known = [
            member(name, node.port, cell=cell) | {"host_port": f"127.0.0.1:{node.port}"}
            for cell, (name, node) in enumerate(self.nodes.items())
        ]
        self.running = SpawnedDirector(
            pathlib.Path(folder.name),
            "n0",
            self.change_log.getsockname()[1],
            log_level="DEBUG",
            known={"seq": 1, "results": [event(1, *known, whole=True)]},
            **changes,
        )
        test.addCleanup(self.close)
        os.set_blocking(self.running.process.stderr.fileno(), False)
        self.wait(lambda: "runs at" in self.running.log, "the director runs")

    def close(self):
        self.running.end()
        if sys.exc_info()[0] is not None:
            print(self.running.log, file=sys.stderr)
        for resource in [
            self.change_log,
            *(peer.sock for peer in self.every_peer()),
            *(node.sock for node in self.nodes.values()),
        ]:
            resource.close()

    def viewer(self):
        """A new connection of a viewer."""
        peer = Peer(socket.create_connection(("127.0.0.1", self.running.port)), binary.Reader())
        self.peers.append(peer)
        return peer

    def receive_all(self):
        """Receives all that has come: messages stay in their peer's `received` until a test takes
        them out.
        """
        for node in self.nodes.values():
            node.accept()
        for peer in self.every_peer():
            peer.received = [*getattr(peer, "received", ()), *peer.receive()]
        with contextlib.suppress(BlockingIOError):
            self.running.log += os.read(self.running.process.stderr.fileno(), 1 << 16).decode()

    def every_peer(self):
        """The test's ends of all connections, to viewers and nodes."""
        return [*self.peers, *(peer for node in self.nodes.values() for peer in node.connections)]

    def wait(self, condition, what, seconds=WAIT_LIMIT_S):
        """What `condition` returns once it is true; the test fails where that takes longer."""
        deadline = time.monotonic() + seconds
        while True:
            self.receive_all()
            if result := condition():
                return result
            left = deadline - time.monotonic()
            self.test.assertGreater(left, 0, f"not seen within {seconds:g} s: {what}")
            poll = select.poll()
            open_sockets = [peer.sock for peer in self.every_peer() if peer.ended is None]
            for resource in [
                self.running.process.stderr,
                *open_sockets,
                *(node.sock for node in self.nodes.values()),
            ]:
                poll.register(resource, select.POLLIN)
            poll.poll(1_000 * left)

    def take_message(self, peers, fits):
        """(peer, message) of the first message that fits, which is taken out of those received, or
        None.
        """
        for peer in peers:
            for message in getattr(peer, "received", ()):
                if fits(message):
                    peer.received.remove(message)
                    return peer, message
        return None

    def wait_for_message(self, peer, kind, session, seconds=WAIT_LIMIT_S):
        """The message of that kind on that session, once the viewer has received it."""

        def fits(m):
            return (m.kind, m.session) == (kind, session_name(session))

        return self.wait(
            lambda: self.take_message([peer], fits), f"message {kind} on session {session}", seconds
        )[1]

    def wait_for_request(self, node, method, session, seconds=WAIT_LIMIT_S):
        """(the node's end of the connection, message) of the director's request to a node on a
        session.
        """

        def fits(m):
            return (m.method, m.session) == (method, session_name(session))

        return self.wait(
            lambda: self.take_message(self.nodes[node].connections, fits),
            f"{method} of session {session} at node {node}",
            seconds,
        )

    def wait_for_acknowledgement(self, connection, session):
        """The director's 200 to a node's request on a session: the request has been read."""

        def fits(m):
            return m.status == 200 and m.session == session_name(session)

        return self.wait(lambda: self.take_message([connection], fits), f"200 on session {session}")

    def request_play(self, viewer, session, node="a", **fields):
        """Requests a play; returns the node's end of the connection that its set-up comes on."""
        viewer.write(set_up(session, **fields))
        return self.wait_for_request(node, "SETUP", session)[0]

"""Clients that write slowly, flood, or leave what they asked for unread. Real processes: one
director by the deploy file's line, with viewers and media nodes that the test plays.
"""

import itertools
import pathlib
import select
import socket
import struct
import time
import unittest

from laddergw.signalling import binary, rtsp
from tests.director_process import PING, DirectorProcess, session_name
from tests.platform_cluster import answer, set_up

# By the platform's pages: a director's memory and descriptors on scored days.
MEMORY_LIMIT_KB, DESCRIPTORS = 192 * 1024, 1_024
# A request is answered before its viewer gives up; a test by the time that a client is owed one.
PATIENCE_S, TEST_LIMIT_S = 1.5, 3.0
# After its client has left, no attempt begins later than this.
LEFT_LIMIT_S = 0.1
MAX_MESSAGE_BYTES = 16 * 1024
FLOOD_S = 3.0
# Nodes with a connection each: a director's share of its descriptors for them.
NODES = 350
# More may not be added in the second half of a flood: some MB pass.
MAX_GROWTH_KB = 8 * 1024


def memory_kb(process, field="VmHWM"):
    """A field of a process's status, kB: its peak, or VmRSS for the present."""
    lines = pathlib.Path(f"/proc/{process.pid()}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(field))


def unfinished_messages():
    """The first parts of requests that never end: one large one, and one of very many short fields."""
    large = struct.pack(">HBQ", MAX_MESSAGE_BYTES - 2, binary.SET_UP, 7) + b"\xe1\x3f\xf0"
    fields = struct.pack(">HBQ", MAX_MESSAGE_BYTES - 2, binary.SET_UP, 7)
    fields += b"".join(struct.pack(">BH", code % 256, 0) for code in range(MAX_MESSAGE_BYTES))
    return large + b"x" * (MAX_MESSAGE_BYTES // 2), fields[: MAX_MESSAGE_BYTES - 100]


class HostileClients(unittest.TestCase):
    """Pictures that operators of other deployments have reported."""

    def descriptors(self, director):
        """Number of descriptors that a director has open."""
        return len(list(pathlib.Path(f"/proc/{director.running.pid()}/fd").iterdir()))

    def is_answered(self, director, viewer):
        """Whether a test on a connection was answered."""
        return director.take_message([viewer], lambda message: message.kind == binary.PONG)

    def test_memory_with_all_descriptors_in_use(self):
        """Hundreds of slow clients and half answers on hundreds of connections to nodes."""
        names = [f"n{number}" for number in range(NODES)]
        director = DirectorProcess(self, nodes=names, limits={"sockets": DESCRIPTORS})
        parts = itertools.cycle(unfinished_messages())
        fronts = director.viewer()
        for number, name in enumerate(names):
            fronts.write(set_up(number + 1, attributes=f"home:0;copies:3;top:2;at:{name}"))
        nodes = director.nodes.values()
        director.wait(lambda: all(node.connections for node in nodes), "connections to all nodes")
        for node in nodes:
            self.write_one(node.connections[0], b"RTSP/1.0 200 X\r\n" + b"a: b\r\n" * 2_500)
        slow = [(director.viewer(), next(parts)) for _ in range(DESCRIPTORS // 2)]
        for viewer, part in slow:
            viewer.write(part[:-1_000])
        director.wait(
            lambda: self.descriptors(director) >= DESCRIPTORS // 2 + NODES, "all descriptors"
        )
        for position in range(-1_000, 0, 100):
            for viewer, part in slow:
                if viewer.ended is None:
                    self.write_one(viewer, part[position : position + 100 or None])
            director.receive_all()
        usual = director.viewer()
        usual.write(PING)
        director.wait(lambda: self.is_answered(director, usual), "a usual test", TEST_LIMIT_S)
        print(f"peak with {DESCRIPTORS} descriptors: {memory_kb(director.running) / 1024:.0f} MB")
        self.assertLess(memory_kb(director.running), MEMORY_LIMIT_KB)

    def write_one(self, viewer, data):
        """Writes to a connection that the director may have ended."""
        try:
            viewer.write(data)
        except (BlockingIOError, ConnectionError):
            viewer.ended = viewer.ended or "reset"

    def flood_data(self, kind, numbers):
        """Some hundred small messages of a kind, each under a new name."""
        messages = {
            "tests": lambda number: PING,
            "unsound": lambda number: set_up(number, product="none"),
            "taken back": lambda number: set_up(number) + self.viewer_end(number),
            "ends": self.viewer_end,
            "handed over": lambda number: set_up(number, attributes="home:0;copies:3;top:2;at:z"),
            "held": lambda number: set_up(number, attributes="home:0;copies:3;top:2;at:a"),
            "over": lambda number: (
                self.viewer_end(number)
                + set_up(number, attributes="home:0;copies:3;top:2;at:a")
            ),
        }
        return b"".join(messages[kind](next(numbers)) for _ in range(200))

    def viewer_end(self, number):
        """A viewer's release of a session."""
        return binary.encode(binary.RELEASE, session_name(number), (binary.CAUSE, b"\x10"))

    # Guards against others' answers that come late, and memory without end, as one client floods.
    def test_floods_on_one_connection(self):
        for kind in "tests", "unsound", "taken back", "ends", "handed over", "held", "over":
            with self.subTest(kind):
                director = DirectorProcess(self, nodes=("a", "b"), limits={"sockets": 256})
                growth = self.flood(director, kind)
                self.assertLess(growth, MAX_GROWTH_KB)
                self.assertLess(memory_kb(director.running), MEMORY_LIMIT_KB)
                director.close()

    def flood(self, director, kind):
        """Floods for some seconds while another client asks; returns the growth of memory, kB."""
        numbers, sizes = itertools.count(1_000), []
        flooding, usual = director.viewer(), director.viewer()
        start, session, asked_at = time.monotonic(), 1, 0.0
        data, waiting = b"", False
        while time.monotonic() < start + FLOOD_S:
            data = data or self.flood_data(kind, numbers)
            if flooding.ended is not None:
                flooding, data = director.viewer(), b""
            data = self.write_some(flooding, data)
            if not waiting:
                session, asked_at, waiting = session + 1, time.monotonic(), True
                usual.write(set_up(session, wait_limit_ms=str(int(1_000 * PATIENCE_S))))
            waiting = not self.serve(director, usual, flooding, session)
            self.assertLess(time.monotonic() - asked_at, PATIENCE_S, f"session {session}, {kind}")
            sizes.append(memory_kb(director.running, "VmRSS"))
        self.assertGreater(session, 5)
        return sizes[-1] - sizes[len(sizes) // 2]

    def write_some(self, peer, data):
        """Writes as much as the kernel takes; returns the rest."""
        try:
            return data[peer.sock.send(data) :]
        except BlockingIOError:
            return data
        except ConnectionError:
            peer.ended = "reset"
            return b""

    def serve(self, director, usual, flooding, session):
        """Lets nodes answer; returns whether the usual client's request was answered."""
        director.receive_all()
        flooding.received = []
        for node in director.nodes.values():
            for connection in node.connections:
                for message in connection.received:
                    if message.method and connection.ended is None:
                        self.write_one(connection, self.node_answer(message))
                connection.received = []
            node.connections = [one for one in node.connections if one.ended is None]
        answers = [one for one in usual.received if one.session == session_name(session)]
        usual.received = []
        return any(one.kind in (binary.ANSWER, binary.RELEASE) for one in answers)

    def node_answer(self, message):
        """What a node answers to a set-up, a test or a release."""
        if message.method == "SETUP":
            return answer(message.session)
        return rtsp.encode_response(200, "OK", message.cseq, message.session)

    # Guards against requests that are sent on after their client has closed its connection.
    def test_what_a_client_left_unread_is_not_sent_on(self):
        for way in "closed", "reset", "half-closed":
            with self.subTest(way):
                director = DirectorProcess(self)
                node, leaving, usual = director.nodes["a"], director.viewer(), director.viewer()
                for _ in range(20):
                    leaving.sock.setblocking(True)
                    leaving.write(PING * 500)
                leaving.write(*(set_up(number) for number in range(1, 41)))
                self.leave(leaving, way)
                left_at, late = time.monotonic(), []
                usual.write(PING)
                director.wait(lambda: self.is_answered(director, usual), "a test", TEST_LIMIT_S)
                set_ups = self.set_ups_until(director, node, left_at + 1.0)
                late = [session for at, session in set_ups if at > left_at + LEFT_LIMIT_S]
                self.assertEqual(late, [])
                director.close()

    def leave(self, viewer, way):
        """Ends a connection from the client's side."""
        if way == "half-closed":
            viewer.sock.shutdown(socket.SHUT_WR)
        elif way == "reset":
            viewer.reset()
        else:
            viewer.close()

    def set_ups_until(self, director, node, end):
        """(time, session) of the set-ups that come to a node until a time."""
        found = []
        while (left := end - time.monotonic()) > 0:
            sockets = [node.sock, *(one.sock for one in node.connections if one.ended is None)]
            select.select(sockets, [], [], left)
            director.receive_all()
            for connection in node.connections:
                for message in connection.received:
                    if message.method == "SETUP":
                        found.append((time.monotonic(), message.session))
                connection.received = []
        return found

    # Guards against an id that runs twice as it comes again after its client has left.
    def test_an_id_that_comes_again_runs_once(self):
        for way in "closed", "reset", "half-closed":
            with self.subTest(way):
                director = DirectorProcess(self)
                node, leaving = director.nodes["a"], director.viewer()
                first = director.request_play(leaving, 1)
                self.leave(leaving, way)
                again = director.viewer()
                director.wait_for_request("a", "TEARDOWN", 1)
                again.write(set_up(1))
                second, _ = director.wait_for_request("a", "SETUP", 1)
                self.write_one(first, answer(session_name(1)))
                second.write(answer(session_name(1)))
                director.wait_for_message(again, binary.ANSWER, 1)
                again.write(PING)
                director.wait(lambda again=again: self.is_answered(director, again), "a test")
                kinds = [message.kind for message in again.received]
                self.assertNotIn(binary.ANSWER, kinds)
                self.assertEqual(len([one for one in node.connections if one is first]), 1)
                director.close()


if __name__ == "__main__":
    unittest.main()

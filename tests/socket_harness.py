"""Runs one real director on real sockets, loop turn by loop turn: peers are plain sockets that act between its turns, so that every order
of events can be forced.

What a peer did before a turn has to be there to be read in it: `wait_for_unread` waits for that, as the kernel reports it.
"""
import contextlib
import fcntl
import select
import socket
import struct
import termios
import time

from laddergw.loop.sockets import SocketLoop, clock
from laddergw.platform import configuration as configurations
from laddergw.platform.director import Director
from laddergw.signalling import binary, rtsp
from tests.platform_cluster import answer, event, member, release, set_up, configuration_file

# Longest time that a test waits for one event.
WAIT_LIMIT_S = 20.0
# A connection on loopback that is not up after this waits for room in its listener's queue.
QUEUE_FULL_S = 0.05
POLL_END = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Peer:
    """A plain socket with the director at its other end."""

    def __init__(self, sock, reader):
        self.sock, self.reader, self.ended = sock, reader, None
        sock.setblocking(False)
        # What is written leaves at once, also behind what is not acknowledged yet
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def write(self, *data):
        for chunk in data:
            self.sock.sendall(chunk)

    def receive(self):
        """Messages that have come; `ended` is "end" or "reset" once the connection is over."""
        messages = []
        while self.ended is None:
            try:
                data = self.sock.recv(1 << 20)
            except BlockingIOError:
                break
            except ConnectionError:
                self.ended = "reset"
                break
            if not data:
                self.ended = "end"
            self.reader.feed(data)
        while (message := self.reader.next()) is not None:
            messages.append(message)
        return messages

    def close(self):
        self.ended = "closed"
        self.sock.close()

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.close()


class Node:
    """A media node: a listening socket whose connections are accepted when the test says so."""

    def __init__(self, name):
        self.name, self.sock = name, socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.port, self.connections, self.waiting = self.sock.getsockname()[1], [], []

    def accept(self):
        if self.waiting:
            return
        with contextlib.suppress(BlockingIOError):
            while True:
                self.connections.append(Peer(self.sock.accept()[0], rtsp.Reader()))

    def stop_accepting(self):
        """From now on new connections to it do not come up: its accept queue is full."""
        self.sock.listen(0)
        self.accept()
        while not self.waiting or select.select([], [self.waiting[-1]], [], QUEUE_FULL_S)[1]:
            self.waiting.append(socket.socket())
            self.waiting[-1].setblocking(False)
            self.waiting[-1].connect_ex(("127.0.0.1", self.port))

    def resume_accepting(self):
        """Accepts all that wait; the kernel brings up pending connections at its next attempt."""
        for sock in self.waiting:
            sock.close()
        self.waiting = []
        self.sock.listen(128)
        self.accept()

    def receive(self):
        """(connection, message) of each message that came, requests and answers."""
        self.accept()
        return [(connection, message) for connection in self.connections for message in connection.receive()]


class SocketHarness:
    """A director among such peers. `changes` go into its configuration file; `now` replaces the clock."""

    def __init__(self, test, nodes=("a",), now=clock, **changes):
        self.test, self.nodes = test, {name: Node(name) for name in nodes}
        self.loop = SocketLoop(clock=now)
        self.change_log = socket.create_server(("127.0.0.1", 0))
        known = [member(name, node.port, cell=i) | {"host_port": f"127.0.0.1:{node.port}"} for i, (name, node) in enumerate(self.nodes.items())]
        changes = {"listen": "127.0.0.1:0", "changelog": f"127.0.0.1:{self.change_log.getsockname()[1]}",
                   "known": {"seq": 1, "results": [event(1, *known, whole=True)]}} | changes
        found = configurations.parse(configuration_file(**changes | {"listen": "127.0.0.1:1"}))
        self.director = Director(self.loop, found._replace(listen=("127.0.0.1", 0)))
        self.address, self.peers = self.director.listener.acceptor.address, []
        test.addCleanup(self.close)

    def close(self):
        self.loop.close()
        for sock in [self.change_log, *(peer.sock for peer in self.peers), *(node.sock for node in self.nodes.values()),
                     *(sock for node in self.nodes.values() for sock in node.waiting),
                     *(connection.sock for node in self.nodes.values() for connection in node.connections)]:
            sock.close()

    def viewer(self):
        """A new connection of a viewer."""
        peer = Peer(socket.create_connection(self.address), binary.Reader())
        self.peers.append(peer)
        return peer

    def turn(self):
        """One loop turn that waits for nothing: all that peers have done is there to be read."""
        self.loop.call_soon(lambda: None)
        self.loop.turn()

    def turns(self, number=12):
        for _ in range(number):
            self.turn()

    def advance_clock(self, now, ms):
        """Advances the clock that was passed in by `ms`, a turn each 10 ms; `now` is its list of one value."""
        for _ in range(int(ms / 10)):
            now[0] += 10.0
            self.turn()

    def run_to_end(self, now):
        """Runs turns of 10 ms of the passed-in clock until the director has ended, then closes its loop; returns the time it took, ms."""
        start = now[0]
        while self.loop.running:
            now[0] += 10.0
            self.turn()
            self.test.assertLess(now[0] - start, 20_000)
        self.loop.close()
        return now[0] - start

    def report_connects_first(self):
        """From now on writable sockets (connections that come up, queues that drain) are reported before readable ones in a turn."""
        select = self.loop.selector.select
        self.loop.selector.select = lambda wait: sorted(select(wait), key=lambda found: -found[1])

    def run_until(self, condition):
        """Runs turns until the condition holds; returns what it returned."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while not (found := condition()):
            if time.monotonic() > deadline:
                self.test.fail("the condition was not met in time")
            self.turn()
        return found

    def director_stream(self, viewer):
        """The director's end of a viewer's connection, once it is accepted."""
        address = viewer.sock.getsockname()
        return self.run_until(lambda: next((v.stream for v in self.director.listener.viewers if v.stream.peer == address), None))

    def wait_for_unread(self, stream, size=None):
        """Waits until so many bytes are unread at the director's end of a connection; without `size`, until the peer's end has arrived."""
        if size is None:
            poll = select.poll()
            poll.register(stream.sock, POLL_END)
            return self.test.assertTrue(poll.poll(WAIT_LIMIT_S * 1000))
        deadline = time.monotonic() + WAIT_LIMIT_S
        while struct.unpack("i", fcntl.ioctl(stream.sock, termios.FIONREAD, b"\0" * 4))[0] < size:
            self.test.assertLess(time.monotonic(), deadline)
        return None

    def wait_for_set_up(self, node):
        """Runs turns until a set-up has come to a node: (connection, message)."""
        return self.run_until(lambda: next((found for found in self.nodes[node].receive() if found[1].method == "SETUP"), None))

    def idle_connection(self, session=1, node="a"):
        """Serves a play to its end: an idle connection to the node stays. Returns the viewer and that connection."""
        viewer = self.viewer()
        viewer.write(set_up(session))
        connection, message = self.wait_for_set_up(node)
        connection.write(answer(message.session))
        self.run_until(viewer.receive)
        connection.write(release(session, 16))
        self.run_until(lambda: [m for m in viewer.receive() if m.kind == binary.RELEASE])
        viewer.write(binary.encode(binary.RELEASE_ACK, f"{session:016x}"))
        self.turns(3)
        connection.receive()
        return viewer, connection

"""One real director on real sockets, turned by hand: peers are plain sockets that act between its turns, so that every order can be forced.

What a peer did before a turn must be there to be read in it: `wait_for_unread` waits for that, by the kernel's own word.
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

PATIENCE_S = 20.0          # of the test, for what is to come
QUEUE_FULL_S = 0.05        # a connection on loopback that is not up after this waits for room in its listener's queue
POLL_END = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Peer:
    """A plain socket that has the director at its other end."""

    def __init__(self, sock, reader):
        self.sock, self.reader, self.ended = sock, reader, None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)   # what is written leaves at once, also behind what is not acknowledged

    def write(self, *data):
        for part in data:
            self.sock.sendall(part)

    def receive(self):
        """Messages that have come; `ended` tells "end" or "reset" once the connection is over."""
        found = []
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
            found.append(message)
        return found

    def close(self):
        self.ended = "closed"
        self.sock.close()

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.close()


class Node:
    """A media node: a listening socket, whose connections are taken when the test says so."""

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
        """From now on connections to it stay on their way: the queue of those that wait to be accepted is full."""
        self.sock.listen(0)
        self.accept()
        while not self.waiting or select.select([], [self.waiting[-1]], [], QUEUE_FULL_S)[1]:
            self.waiting.append(socket.socket())
            self.waiting[-1].setblocking(False)
            self.waiting[-1].connect_ex(("127.0.0.1", self.port))

    def accept_again(self):
        """Takes all that wait; the system brings up what is on its way when it tries next."""
        for sock in self.waiting:
            sock.close()
        self.waiting = []
        self.sock.listen(128)
        self.accept()

    def receive(self):
        """(line, message) of what came, requests and answers."""
        self.accept()
        return [(line, message) for line in self.connections for message in line.receive()]


class SocketHarness:
    """A director among such peers. `changes` go into its file; `now` may hand in a clock."""

    def __init__(self, test, nodes=("a",), now=clock, **changes):
        self.test, self.nodes = test, {name: Node(name) for name in nodes}
        self.loop = SocketLoop(clock=now)
        self.log = socket.create_server(("127.0.0.1", 0))
        known = [member(name, node.port, cell=i) | {"host_port": f"127.0.0.1:{node.port}"} for i, (name, node) in enumerate(self.nodes.items())]
        changes = {"listen": "127.0.0.1:0", "changelog": f"127.0.0.1:{self.log.getsockname()[1]}",
                   "known": {"seq": 1, "results": [event(1, *known, whole=True)]}} | changes
        found = configurations.parse(configuration_file(**changes | {"listen": "127.0.0.1:1"}))
        self.director = Director(self.loop, found._replace(listen=("127.0.0.1", 0)))
        self.address, self.peers = self.director.listener.acceptor.address, []
        test.addCleanup(self.close)

    def close(self):
        self.loop.close()
        for sock in [self.log, *(peer.sock for peer in self.peers), *(node.sock for node in self.nodes.values()),
                     *(line.sock for node in self.nodes.values() for line in node.connections)]:
            sock.close()

    def viewer(self):
        peer = Peer(socket.create_connection(self.address), binary.Reader())
        self.peers.append(peer)
        return peer

    def turn(self):
        """One that waits for nothing: all that peers have done is there."""
        self.loop.call_soon(lambda: None)
        self.loop.turn()

    def turns(self, number=12):
        for _ in range(number):
            self.turn()

    def advance_clock(self, now, ms):
        """So long of the clock that was handed in, `now` its list of one, a turn each 10 ms."""
        for _ in range(int(ms / 10)):
            now[0] += 10.0
            self.turn()

    def run_to_end(self, now):
        """Turns of 10 ms of the handed-in clock until the director has ended, then what its process does last; the time it took, ms."""
        began = now[0]
        while self.loop.running:
            now[0] += 10.0
            self.turn()
            self.test.assertLess(now[0] - began, 20_000)
        self.loop.close()
        return now[0] - began

    def report_connects_first(self):
        """Of the events of one turn, connections that come up and queues that move on are told before what was read."""
        select = self.loop.selector.select
        self.loop.selector.select = lambda wait: sorted(select(wait), key=lambda found: -found[1])

    def run_until(self, done):
        """Turns until something has come; what it found."""
        latest = time.monotonic() + PATIENCE_S
        while not (found := done()):
            if time.monotonic() > latest:
                self.test.fail("did not come to its end")
            self.turn()
        return found

    def director_stream(self, viewer):
        """The director's end of a viewer's connection, once it is accepted."""
        mine = viewer.sock.getsockname()
        return self.run_until(lambda: next((v.stream for v in self.director.listener.viewers if v.stream.peer == mine), None))

    def wait_for_unread(self, stream, size=None):
        """Waits until so many bytes lie unread at the director's end of a connection, or, where no number is told, its peer's end."""
        if size is None:
            poll = select.poll()
            poll.register(stream.sock, POLL_END)
            return self.test.assertTrue(poll.poll(PATIENCE_S * 1000))
        latest = time.monotonic() + PATIENCE_S
        while struct.unpack("i", fcntl.ioctl(stream.sock, termios.FIONREAD, b"\0" * 4))[0] < size:
            self.test.assertLess(time.monotonic(), latest)
        return None

    def wait_for_set_up(self, node):
        """Turns until a set-up has come to a node: (line, message)."""
        return self.run_until(lambda: next((found for found in self.nodes[node].receive() if found[1].method == "SETUP"), None))

    def idle_connection(self, session=1, node="a"):
        """A play has come and gone: an open connection to the node stays, with nothing on it."""
        viewer = self.viewer()
        viewer.write(set_up(session))
        line, message = self.wait_for_set_up(node)
        line.write(answer(message.session))
        self.run_until(viewer.receive)
        line.write(release(session, 16))
        self.run_until(lambda: [m for m in viewer.receive() if m.kind == binary.RELEASE])
        viewer.write(binary.encode(binary.RELEASE_ACK, f"{session:016x}"))
        self.turns(3)
        line.receive()
        return viewer, line

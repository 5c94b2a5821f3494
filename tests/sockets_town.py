"""One real director on real sockets, turned by hand: peers are plain sockets that act between its turns, so that every order can be forced.

Loopback hands bytes over within the call that writes them: what a peer did before a turn is there to be read in it.
"""
import contextlib
import socket

from laddergw.loop.sockets import SocketLoop, clock
from laddergw.platform import assignment as assignments
from laddergw.platform.director import Director
from laddergw.signalling import binary, rtsp
from tests.platform_town import answer, event, member, release, set_up, tree

TURNS = 400                # enough for anything that comes without a wait


class Peer:
    """A plain socket that has the director at its other end."""

    def __init__(self, sock, reader):
        self.sock, self.reader, self.ended = sock, reader, None
        sock.setblocking(False)

    def write(self, *data):
        for part in data:
            self.sock.sendall(part)

    def hear(self):
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
        self.port, self.lines = self.sock.getsockname()[1], []

    def accept(self):
        with contextlib.suppress(BlockingIOError):
            while True:
                self.lines.append(Peer(self.sock.accept()[0], rtsp.Reader()))

    def hear(self):
        """(line, message) of what came, requests and answers."""
        self.accept()
        return [(line, message) for line in self.lines for message in line.hear()]


class Town:
    """A director among such peers. `changes` go into its file; `now` may hand in a clock."""

    def __init__(self, test, nodes=("a",), now=clock, **changes):
        self.test, self.nodes = test, {name: Node(name) for name in nodes}
        self.loop = SocketLoop(clock=now)
        self.log = socket.create_server(("127.0.0.1", 0))
        known = [member(name, node.port, cell=i) | {"host_port": f"127.0.0.1:{node.port}"} for i, (name, node) in enumerate(self.nodes.items())]
        changes = {"listen": "127.0.0.1:0", "changelog": f"127.0.0.1:{self.log.getsockname()[1]}",
                   "known": {"seq": 1, "results": [event(1, *known, whole=True)]}} | changes
        found = assignments.of(tree(**changes | {"listen": "127.0.0.1:1"}))
        self.director = Director(self.loop, found._replace(listen=("127.0.0.1", 0)))
        self.address, self.peers = self.director.door.listener.address, []
        test.addCleanup(self.close)

    def close(self):
        self.loop.close()
        for sock in [self.log, *(peer.sock for peer in self.peers), *(node.sock for node in self.nodes.values()),
                     *(line.sock for node in self.nodes.values() for line in node.lines)]:
            sock.close()

    def viewer(self):
        peer = Peer(socket.create_connection(self.address), binary.Reader())
        self.peers.append(peer)
        return peer

    def turn(self):
        """One that waits for nothing: all that peers have done is there."""
        self.loop.soon(lambda: None)
        self.loop.turn()

    def turns(self, number=12):
        for _ in range(number):
            self.turn()

    def connections_first(self):
        """Of the events of one turn, connections that come up and queues that move on are told before what was read."""
        select = self.loop.selector.select
        self.loop.selector.select = lambda wait: sorted(select(wait), key=lambda found: -found[1])

    def until(self, done):
        """Turns until something has come; what it found."""
        for _ in range(TURNS):
            if found := done():
                return found
            self.turn()
        return self.test.fail("did not come to its end")

    def come(self, node):
        """Turns until a message has come to a node: (line, message)."""
        return self.until(lambda: next(iter(self.nodes[node].hear()), None))

    def idle_line(self, session=1, node="a"):
        """A play has come and gone: an open connection to the node stays, with nothing on it."""
        viewer = self.viewer()
        viewer.write(set_up(session))
        line, message = self.come(node)
        line.write(answer(message.session))
        self.until(viewer.hear)
        line.write(release(session, 16))
        self.until(lambda: [m for m in viewer.hear() if m.kind == binary.RELEASE])
        viewer.write(binary.encode(binary.HEARD, f"{session:016x}"))
        self.turns(3)
        line.hear()
        return viewer, line

"""A real director under load whose viewers leave: how long after its viewer has left a set-up still comes to a node, and the loop's lag.

usage: python -m benchmarks.leaving_under_load [SET-UPS A SECOND] [SECONDS] [SEED], from the repository's root. One process by the deploy
file's line on loopback; viewers and nodes live in this one. Half of the viewers leave, by closing, resetting or cancelling, 0 to 300 ms
after their set-up; one of twenty set-ups is answered as full, so that further tries are due. Ends with 1 if one came over 100 ms late.
"""
import heapq
import json
import pathlib
import random
import re
import selectors
import socket
import sys
import tempfile
import time

from laddergw.signalling import binary, rtsp
from tests.platform_cluster import BASE_SETTINGS, answer, event, member, release, set_up
from tests.test_platform_start import SpawnedDirector

GONE_MS, NODES, ANSWER_S, TELL_S = 100.0, 8, 0.08, 10.5
LEAVE = binary.RELEASE


class Load:
    def __init__(self, rate, seconds, seed, folder):
        self.rate, self.until, self.draw, self.selector = rate, seconds, random.Random(seed), selectors.DefaultSelector()
        self.heap, self.order, self.left, self.came, self.late, self.answers = [], 0, {}, 0, [], 0
        self.nodes = [socket.create_server(("127.0.0.1", 0), backlog=1024) for _ in range(NODES)]
        for node in self.nodes:
            node.setblocking(False)
            self.selector.register(node, selectors.EVENT_READ, self.accept)
        members = [member(f"n{i}", 1, cell=i % 3) | {"host_port": f"127.0.0.1:{node.getsockname()[1]}"} for i, node in enumerate(self.nodes)]
        self.running = SpawnedDirector(pathlib.Path(folder), "load", limits={"sockets": 1024}, known={"seq": 1, "results": [event(1, *members, whole=True)]},
                               settings=BASE_SETTINGS | {"Specifics": BASE_SETTINGS["Specifics"] | {"LinkUnitKb": 90_000.0, "RackKb": 700_000.0}})
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def at(self, when, call, *args):
        self.order += 1
        heapq.heappush(self.heap, (when, self.order, call, args))

    def accept(self, sock):
        line, _ = sock.accept()
        line.setblocking(False)
        line.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = rtsp.Reader()
        self.selector.register(line, selectors.EVENT_READ, lambda s: self.node_read(s, reader))

    def read(self, sock):
        try:
            data = sock.recv(65_536)
        except BlockingIOError:
            return b""
        except ConnectionError:
            data = b""
        if not data:
            self.selector.unregister(sock)
            sock.close()
        return data

    def node_read(self, sock, reader):
        if not (data := self.read(sock)):
            return
        reader.feed(data)
        while (message := reader.next()) is not None:
            if message.method != "SETUP":
                continue
            self.came += 1
            if message.session in self.left:
                self.late.append((self.now() - self.left[message.session]) * 1000)
            status = 453 if self.draw.random() < 0.05 else 200
            self.at(self.now() + ANSWER_S, self.say, sock, answer(message.session, status, b"" if status == 453 else b"v=0\r\n"))
            if status == 200:
                self.at(self.now() + 1.0, self.say, sock, release(int(message.session, 16), 16))

    def say(self, sock, data):
        try:
            sock.send(data)
        except OSError:
            pass

    def ask(self, number):
        if self.now() < self.until:
            self.at(self.now() + self.draw.expovariate(self.rate), self.ask, number + 1)
        try:
            sock = socket.create_connection(self.running_at())
        except ConnectionRefusedError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.selector.register(sock, selectors.EVENT_READ, lambda s: self.answered(s))
        self.say(sock, set_up(number, wait_limit_ms="1500", title=f"{number % 50:016x}", attributes=f"home:{number % 3};copies:3;top:2", hint="1000.0"))
        if self.draw.random() < 0.5:
            self.at(self.now() + self.draw.random() * 0.3, self.leave, sock, f"{number:016x}", self.draw.randrange(3))

    def running_at(self):
        return "127.0.0.1", self.running.port

    def answered(self, sock):
        self.answers += bool(self.read(sock))

    def leave(self, sock, session, way):
        if sock.fileno() < 0:
            return
        if way == 2:
            self.say(sock, binary.encode(LEAVE, session, (222, b"\x10")))
        else:
            if way:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.selector.unregister(sock)
            sock.close()
        self.left[session] = self.now()

    def run(self):
        while True:                                        # until it listens
            try:
                socket.create_connection(self.running_at()).close()
                break
            except ConnectionRefusedError:
                pass
        self.start = time.monotonic()
        self.ask(1)
        while self.now() < max(self.until + 3, TELL_S):
            while self.heap and self.heap[0][0] <= self.now():
                _, _, call, args = heapq.heappop(self.heap)
                call(*args)
            wait = max(0.0, min(0.05, self.heap[0][0] - self.now() if self.heap else 0.05))
            for key, _ in self.selector.select(wait):
                if key.fileobj.fileno() >= 0:
                    key.data(key.fileobj)


def main(rate=100.0, seconds=9.0, seed=1.0):
    with tempfile.TemporaryDirectory() as folder:
        load = Load(rate, seconds, seed, folder)
        try:
            load.run()
        finally:
            load.running.process.terminate()
            log = load.running.process.communicate(timeout=20)[1].decode()
            load.running.held.close()
    lags = [int(ms) for ms in re.findall(r"lag (\d+) ms", log)]
    print(json.dumps({"asked a second": rate, "seconds": seconds, "seed": seed, "left": len(load.left), "set-ups at nodes": load.came,
                      "answers": load.answers, "after their viewer had left": len(load.late), "latest ms": round(max(load.late, default=0.0), 1),
                      "over 100 ms": sum(ms > GONE_MS for ms in load.late), "lag ms": lags}))
    return 1 if any(ms > GONE_MS for ms in load.late) else 0


if __name__ == "__main__":
    sys.exit(main(*map(float, sys.argv[1:])))

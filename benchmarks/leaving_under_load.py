"""A real director under load whose viewers leave: measures how long after its viewer has left a set-up still reaches a node, and the loop's lag.

usage: python -m benchmarks.leaving_under_load [SET-UPS A SECOND] [SECONDS] [SEED], from the repository's root. One process by the deploy
file's line on loopback; viewers and nodes run in this process. Half of the viewers leave, by closing, resetting or cancelling, 0 to 300 ms
after their set-up; one of twenty set-ups is answered as full, so that retries are due. Exits with 1 if a set-up came over 100 ms late.
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

# The run lasts until the director has logged its counts, which hold the lag, at least once.
LEFT_GRACE_MS, NODE_COUNT, ANSWER_DELAY_S, COUNTS_LOGGED_S = 100.0, 8, 0.08, 10.5
RELEASE = binary.RELEASE


class LoadTest:
    """Viewers and media nodes around one director process, driven by one selector loop."""

    def __init__(self, rate, seconds, seed, folder):
        self.rate, self.load_ends_at, self.rng, self.selector = rate, seconds, random.Random(seed), selectors.DefaultSelector()
        self.timers, self.timer_count, self.left_at, self.set_up_count, self.late_ms, self.answer_count = [], 0, {}, 0, [], 0
        self.nodes = [socket.create_server(("127.0.0.1", 0), backlog=1024) for _ in range(NODE_COUNT)]
        for node in self.nodes:
            node.setblocking(False)
            self.selector.register(node, selectors.EVENT_READ, self.accept_director)
        members = [member(f"n{i}", 1, cell=i % 3) | {"host_port": f"127.0.0.1:{node.getsockname()[1]}"} for i, node in enumerate(self.nodes)]
        self.director = SpawnedDirector(pathlib.Path(folder), "load", limits={"sockets": 1024}, known={"seq": 1, "results": [event(1, *members, whole=True)]},
                               settings=BASE_SETTINGS | {"Specifics": BASE_SETTINGS["Specifics"] | {"LinkUnitKb": 90_000.0, "RackKb": 700_000.0}})
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def call_at(self, at_s, call, *args):
        self.timer_count += 1
        heapq.heappush(self.timers, (at_s, self.timer_count, call, args))

    def accept_director(self, sock):
        connection, _ = sock.accept()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = rtsp.Reader()
        self.selector.register(connection, selectors.EVENT_READ, lambda s: self.read_requests(s, reader))

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

    def read_requests(self, sock, reader):
        if not (data := self.read(sock)):
            return
        reader.feed(data)
        while (message := reader.next()) is not None:
            if message.method != "SETUP":
                continue
            self.set_up_count += 1
            if message.session in self.left_at:
                self.late_ms.append((self.now() - self.left_at[message.session]) * 1000)
            status = 453 if self.rng.random() < 0.05 else 200
            self.call_at(self.now() + ANSWER_DELAY_S, self.send, sock, answer(message.session, status, b"" if status == 453 else b"v=0\r\n"))
            if status == 200:
                self.call_at(self.now() + 1.0, self.send, sock, release(int(message.session, 16), 16))

    def send(self, sock, data):
        try:
            sock.send(data)
        except OSError:
            pass

    def send_set_up(self, number):
        if self.now() < self.load_ends_at:
            self.call_at(self.now() + self.rng.expovariate(self.rate), self.send_set_up, number + 1)
        try:
            sock = socket.create_connection(self.director_address())
        except ConnectionRefusedError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.selector.register(sock, selectors.EVENT_READ, lambda s: self.read_answer(s))
        self.send(sock, set_up(number, wait_limit_ms="1500", title=f"{number % 50:016x}", attributes=f"home:{number % 3};copies:3;top:2", hint="1000.0"))
        if self.rng.random() < 0.5:
            self.call_at(self.now() + self.rng.random() * 0.3, self.viewer_leaves, sock, f"{number:016x}", self.rng.randrange(3))

    def director_address(self):
        return "127.0.0.1", self.director.port

    def read_answer(self, sock):
        self.answer_count += bool(self.read(sock))

    def viewer_leaves(self, sock, session, method):
        if sock.fileno() < 0:
            return
        if method == 2:
            self.send(sock, binary.encode(RELEASE, session, (222, b"\x10")))
        else:
            if method:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.selector.unregister(sock)
            sock.close()
        self.left_at[session] = self.now()

    def run(self):
        while True:                                        # until the director listens
            try:
                socket.create_connection(self.director_address()).close()
                break
            except ConnectionRefusedError:
                pass
        self.start = time.monotonic()
        self.send_set_up(1)
        while self.now() < max(self.load_ends_at + 3, COUNTS_LOGGED_S):
            while self.timers and self.timers[0][0] <= self.now():
                _, _, call, args = heapq.heappop(self.timers)
                call(*args)
            wait = max(0.0, min(0.05, self.timers[0][0] - self.now() if self.timers else 0.05))
            for key, _ in self.selector.select(wait):
                if key.fileobj.fileno() >= 0:
                    key.data(key.fileobj)


def main(rate=100.0, seconds=9.0, seed=1.0):
    with tempfile.TemporaryDirectory() as folder:
        load = LoadTest(rate, seconds, seed, folder)
        try:
            load.run()
        finally:
            load.director.process.terminate()
            log = load.director.process.communicate(timeout=20)[1].decode()
            load.director.held.close()
    lags_ms = [int(ms) for ms in re.findall(r"lag (\d+) ms", log)]
    print(json.dumps({"asked a second": rate, "seconds": seconds, "seed": seed, "left": len(load.left_at), "set-ups at nodes": load.set_up_count,
                      "answers": load.answer_count, "after their viewer had left": len(load.late_ms), "latest ms": round(max(load.late_ms, default=0.0), 1),
                      "over 100 ms": sum(ms > LEFT_GRACE_MS for ms in load.late_ms), "lag ms": lags_ms}))
    return 1 if any(ms > LEFT_GRACE_MS for ms in load.late_ms) else 0


if __name__ == "__main__":
    sys.exit(main(*map(float, sys.argv[1:])))

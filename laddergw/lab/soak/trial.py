"""Many real processes of the platform's director on one list, their peers in this process, and faults between them by a script.

One clock for all that is recorded: this process's. `run` is the deploy file's own line, or one that breaks a director on purpose.
"""
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

from laddergw.loop.sockets import SocketLoop
from laddergw.signalling import binary
from tests.fleet_peers import HOST, ChangeLog, Node, Owner, Viewer
from tests.platform_town import TREE, tree
from tests.test_platform_start import ROOT, RUN, held_port

CELLS, SOCKETS = 6, 256
TERMS = {"paid": {"paid"}, "streams": 30.0, "warm_ms": 6_000.0, "cold_from": 0.4, "multiple": 2.5, "fall_ms": 1_000.0, "grace_ms": 250.0}
PRODUCTS = (("guide", 0.6, 2_000.0), ("paid", 0.4, 1_500.0))
TEST = binary.encode(binary.TEST, "0" * 16, (binary.CAUSE, b"\0"))
LOOK_MS, PATIENCE_S = 50.0, 60.0
STOPPED_MS = (200.0, 400.0)               # viewers go on coming so long after the order to stop


def settings(directors, number):
    return TREE | {"Siblings": directors, "Ordinal": number, "Zones": ["east"], "Rules": {
        "ColdFrom": TERMS["cold_from"], "WarmWithin": int(TERMS["warm_ms"] * 1000), "FallMultiple": TERMS["multiple"], "Fall": int(TERMS["fall_ms"] * 1000),
        "StopSendingWithin": int(TERMS["grace_ms"] * 1000)},
        "Specifics": TREE["Specifics"] | {"Positions": CELLS, "Groups": 2, "KindSlots": [int(TERMS["streams"])], "RackKb": 60_000.0}}


class Tested(Owner):
    """Asks a director whether it takes plays; `passed` is called if so."""

    def __init__(self, loop, address, passed):
        self.reader, self.passed = binary.Reader(), passed
        loop.dial(address, self, 1_000.0)

    def opened(self, stream):
        super().opened(stream)
        stream.write(TEST)

    def heard(self, message):
        if message.kind == binary.TESTED and message.parameters[binary.CAUSE] == b"\1":
            self.passed()
        self.stream.close()


class Director:
    """One director's place: its address, and the process that has it now."""

    def __init__(self, town, number, run):
        self.town, self.number, self.name, self.run, self.held = town, number, f"n{number}", run, held_port()
        self.address, self.starts, self.process, self.takes = self.held.getsockname(), 0, None, False
        self.start()

    def start(self):
        self.starts += 1
        path = os.path.join(self.town.folder, f"{self.name}.json")
        with open(path, "w") as stream:
            json.dump(tree(name=self.name, listen=f"{HOST}:{self.address[1]}", seed=f"{self.starts * 1000 + self.number:x}", limits={"sockets": SOCKETS},
                           changelog=f"{HOST}:{self.town.log.port}", known=self.town.log.known(), settings=settings(self.town.number, self.number)), stream)
        self.town.record("director starts", director=self.name)
        self.takes = False
        with open(os.path.join(self.town.folder, f"{self.name}.{self.starts}.log"), "wb") as log:
            process = self.process = self.town.loop.spawn(
                ["/bin/sh", "-c", f"ulimit -n {SOCKETS}; {self.run}"], lambda status: self.ended(process, status), cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL, stderr=log, env=os.environ | {"PROXY_CONFIG": path, "PYTHONDONTWRITEBYTECODE": "1"})
        self.town.processes.append((self.name, process))
        self.look(process)

    def look(self, process):
        if self.process is process and not self.takes:
            Tested(self.town.loop, self.address, lambda: self.ready(process))
            self.town.loop.after(LOOK_MS, lambda: self.look(process))

    def ready(self, process):
        if self.process is process and not self.takes:
            self.takes = True
            self.town.record("director ready", director=self.name)

    def stop(self):
        """As at a planned restart: it is told, viewers go on coming for a moment, and it begins anew once it has ended."""
        process, (low, high) = self.process, STOPPED_MS
        process.send_signal(signal.SIGTERM)
        self.town.loop.after(low + (high - low) * self.town.draw.random(), lambda: self.leave(process))

    def leave(self, process):
        if self.process is process:
            self.takes, self.process = False, None

    def kill(self):
        process, self.process, self.takes = self.process, None, False
        self.town.killed.add(process.pid)
        process.kill()

    def freeze(self, ms):
        process = self.process
        process.send_signal(signal.SIGSTOP)
        self.town.loop.after(ms, lambda: process.poll() is None and process.send_signal(signal.SIGCONT))

    def ended(self, process, status):
        if process is self.process:
            self.takes, self.process = False, None
        self.town.record("director ended", director=self.name, status=status, fine=(-9,) if process.pid in self.town.killed else (0,))
        if not self.town.over:
            self.start()


class Town:
    """See the module. `script`: (ms from the first viewer on, a call that takes the town)."""

    def __init__(self, directors, nodes, rate, seconds, script, seed, run=RUN.replace(".venv/bin/python", sys.executable)):
        self.loop, self.draw, self.records, self.killed, self.over, self.turned = SocketLoop(), random.Random(seed), [], set(), False, 0.0
        self.processes = []
        self.number, self.rate, self.seconds, self.script, self.cells, self.asked = directors, rate, seconds, script, CELLS, 0
        self.folder_held = tempfile.TemporaryDirectory()
        self.folder, self.log_held = self.folder_held.name, held_port()
        self.log = ChangeLog(self, self.log_held.getsockname()[1])
        self.nodes = {}
        self.log.tell(*(self.node(f"s{n}", n % CELLS, False).line("SERVING") for n in range(nodes)), whole=True)
        self.directors = [Director(self, number, run) for number in range(directors)]
        self.loop.at_turn_end(self.turn_ends)

    def unix_ms(self):
        return time.time() * 1000

    def turn_ends(self):
        """What comes now may have lain there since the last turn's end."""
        self.turned = self.loop.reading()

    def record(self, what, **facts):
        self.records.append((self.loop.now, what, facts | {"lag": max(0.0, self.loop.now - self.turned)}))

    def node(self, name, cell, cold):
        node = self.nodes[name] = Node(self, name, cell, cold)
        return node

    def lost(self, viewer):
        """A connection ended before its answer: nobody's fault if its director was killed."""
        self.record("cut" if viewer.process.pid in self.killed else "closed without an answer", session=viewer.session)

    def arrive(self):
        if self.loop.now >= self.ends:
            return
        self.loop.after(self.draw.expovariate(self.rate / 1000), self.arrive)
        able = [director for director in self.directors if director.takes]
        if able:
            self.asked += 1
            name, wait_ms = next((name, wait) for name, part, wait in PRODUCTS if part >= 1 or self.draw.random() < part or name == PRODUCTS[-1][0])
            Viewer(self, self.asked, self.draw.choice(able), name, wait_ms)

    def wait(self, done):
        latest = time.monotonic() + PATIENCE_S
        while not done() and time.monotonic() < latest:
            self.loop.turn()
        return done()

    def run(self):
        """Plays all of it; the records."""
        try:
            self.wait(lambda: all(director.takes for director in self.directors))
            began, self.ends = self.loop.now, self.loop.now + self.seconds * 1000
            for at, act in self.script:
                self.loop.at(began + at, lambda act=act: act(self))
            self.arrive()
            self.wait(lambda: self.loop.now >= self.ends + 2_500.0 and all(director.takes for director in self.directors))
            self.over = True
            for director in self.directors:
                if director.process is not None:
                    director.process.send_signal(signal.SIGTERM)
            self.wait(lambda: all(process.poll() is not None for _, process in self.processes))
        finally:
            self.end()
        return self.records

    def end(self):
        self.over = True
        for name, process in self.processes:
            if process.poll() is None:
                self.record("director ended", director=name, status="never", fine=(0,))
                process.kill()
                process.wait()
        for director in self.directors:
            director.held.close()
            for start in range(1, director.starts + 1):
                with open(os.path.join(self.folder, f"{director.name}.{start}.log")) as log:
                    for line in log:
                        if "Traceback" in line or " ERROR " in line or " WARNING " in line:
                            self.record("trouble in a log", director=director.name, line=line.strip()[:200])
        self.loop.close()
        self.log_held.close()
        self.folder_held.cleanup()

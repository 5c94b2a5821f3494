"""The peers of many directors of the platform, on real sockets in one process: media nodes, the change log, and viewers.

What passes is recorded as (ms, what, facts) for tests/fleet_judge.py, which knows nothing of how it came about.
"""
import json

from laddergw.signalling import binary, rtsp
from tests.fleet_judge import REFUSALS
from tests.platform_town import answer, event, member, release, set_up

HOST, DIAL_MS, BEAT_MS = "127.0.0.1", 2_000.0, 1_000.0
ANSWER_MS, REFUSE_MS, LENGTH_MS = (20.0, 120.0), (20.0, 500.0), (400.0, 2_000.0)
FULL, FAILS, MUTE = 0.08, 0.03, 0.01     # parts of set-ups that a node refuses, fails, and never answers
LEAVES, LEAVES_MS = 0.25, 300.0          # part of the viewers that leave, within so long
LET_GO_MS = 3_000.0                      # a viewer keeps its connection so long for the end of its play; then any will do


class Owner:
    """What every peer's end of a connection shares: messages come out of a reader, whole."""
    reader = None

    def opened(self, stream):
        self.stream = stream

    def emptied(self, stream):
        pass

    def got(self, stream, data):
        self.reader.feed(data)
        while (message := self.reader.next()) is not None:
            self.heard(message)

    def closed(self, stream, why):
        pass


class NodeSide(Owner):
    def __init__(self, node):
        self.node, self.reader, self.out = node, rtsp.Reader(), {}

    def opened(self, stream):
        super().opened(stream)
        self.node.sides.append(self)
        for session, cause in self.node.untold.items():
            self.stream.write(release(int(session, 16), cause))

    def heard(self, message):
        node, session = self.node, message.headers["session"]
        if message.method == "SETUP":
            node.record("arrived", session=session, node=node.id, product=message.headers["subject"])
            self.out[session] = message.headers["subject"]
            draw = node.draw.random()
            low, high = REFUSE_MS if draw < FULL else ANSWER_MS          # a further try is due when some viewers have left
            status = 453 if draw < FULL else 500 if draw < FULL + FAILS else None if draw < FULL + FAILS + MUTE else 200
            node.loop.after(low + (high - low) * node.draw.random(), lambda: status and self.answer(session, status))
        elif message.method == "TEARDOWN":
            self.over(session)
            node.playing.pop(session, None)
            node.untold.pop(session, None)
            self.stream.write(rtsp.answer(200, "OK", "2", session))
        elif message.method == "OPTIONS":
            self.stream.write(rtsp.answer(200, "OK", "3", session))
        elif message.status == 200:
            node.untold.pop(session, None)

    def over(self, session, never_ran=False):
        if self.out.pop(session, None):
            self.node.record("over", session=session, node=self.node.id, never_ran=never_ran)

    def answer(self, session, status):
        if session not in self.out or self.node.still:
            return
        if status == 200:
            self.node.play(session, self)
        else:
            self.over(session, status == 453)
        self.stream.write(answer(session, status, b"v=0\r\n" if status == 200 else b""))

    def closed(self, stream, why):
        if self in self.node.sides:
            self.node.sides.remove(self)
        for session in [session for session in self.out if session not in self.node.playing]:
            self.over(session)


class Node:
    """A media node: it answers set-ups, plays for a while, and says when a play is over until it is heard."""

    def __init__(self, town, name, cell, cold):
        self.loop, self.draw, self.record, self.id, self.cell = town.loop, town.draw, town.record, name, cell
        self.sides, self.playing, self.untold, self.still, self.gone = [], {}, {}, False, False
        self.listener = self.loop.listen((HOST, 0), lambda stream: NodeSide(self))
        self.address, self.since = self.listener.address, town.unix_ms() if cold else 0
        if cold:
            self.record("started", node=name)

    def line(self, phase):
        return member(self.id, 1, phase, self.cell, self.since) | {"host_port": f"{HOST}:{self.address[1]}"}

    def play(self, session, side):
        low, high = LENGTH_MS
        self.playing[session] = side
        self.loop.after(low + (high - low) * self.draw.random(), lambda: self.end(session))

    def end(self, session):
        side = self.playing.pop(session, None)
        if side is None or self.gone:
            return
        if self.still:
            self.playing[session] = side
            self.loop.after(ANSWER_MS[1], lambda: self.end(session))
            return
        side.over(session)
        self.untold[session] = 16
        if side in self.sides:
            side.stream.write(release(int(session, 16), 16))

    def cut(self):
        """Resets every connection; what plays goes on."""
        for side in list(self.sides):
            side.stream.abort()

    def stand_still(self, ms):
        """Answers nothing, begins nothing and ends nothing; what comes is taken by its system all the same."""
        self.still = True
        self.loop.after(ms, self.wake)

    def wake(self):
        self.still = False

    def die(self):
        self.gone = True
        self.listener.close()
        for session, side in list(self.playing.items()):
            side.over(session)
        self.cut()


class LogSide(Owner):
    def __init__(self, log):
        self.log, self.data = log, b""

    def got(self, stream, data):
        self.data += data
        if self.data.endswith(b"\n") and self not in self.log.sides:
            last = int(self.data.split()[1])
            stream.write(b"".join(self.log.line(one) for one in self.log.events if one["seq"] > last))
            self.log.sides.append(self)

    def closed(self, stream, why):
        if self in self.log.sides:
            self.log.sides.remove(self)


class ChangeLog:
    """The change log; `go` takes it away, with all connections, and `come` brings it back at its address."""

    def __init__(self, town, port):
        self.loop, self.record, self.port, self.events, self.sides, self.listener = town.loop, town.record, port, [], [], None
        self.come()
        self.beat()

    def line(self, one):
        return json.dumps(one).encode() + b"\n"

    def say(self, one):
        for side in self.sides:
            side.stream.write(self.line(one))

    def beat(self):
        self.loop.after(BEAT_MS, self.beat)
        self.say({"seq": len(self.events)})

    def tell(self, *lines, whole=False):
        self.events.append(event(len(self.events) + 1, *lines, whole=whole))
        for line in lines:
            self.record("told", node=line["id"], state=line["phase"])
        self.say(self.events[-1])

    def known(self):
        return {"seq": len(self.events), "results": self.events}

    def go(self):
        self.record("log away")
        self.listener.close()
        for side in list(self.sides):
            side.stream.abort()

    def come(self):
        self.record("log back")
        self.listener = self.loop.listen((HOST, self.port), lambda stream: LogSide(self))


class Viewer(Owner):
    """One play's viewer, on a connection of its own."""

    def __init__(self, town, number, director, product, wait_ms):
        self.town, self.director, self.session, self.reader, self.stands = town, director, f"{number:016x}", binary.Reader(), False
        self.settled = False
        self.message = set_up(number, product, str(int(wait_ms)), f"{town.draw.randrange(60):016x}",
                              f"home:{town.draw.randrange(town.cells)};copies:2;top:2;viewer:{number:016x}", "1200.0")
        self.product, self.wait_ms, self.process = product, wait_ms, director.process
        town.loop.dial(director.address, self, DIAL_MS)

    def opened(self, stream):
        super().opened(stream)
        self.town.record("asked", session=self.session, director=self.director.name, wait_ms=self.wait_ms, product=self.product)
        stream.write(self.message)
        if self.town.draw.random() < LEAVES:
            self.town.loop.after(LEAVES_MS * self.town.draw.random(), self.leave)

    def leave(self):
        if self.settled or self.stream.sock is None:
            return
        self.settled = True
        way = self.town.draw.randrange(3)
        if way == 0:
            self.stream.write(binary.encode(binary.RELEASE, self.session, (binary.CAUSE, b"\x10")))
        self.town.record("left", session=self.session)
        if way:
            self.stream.close() if way == 1 else self.stream.abort()

    def heard(self, message):
        if message.kind == binary.ANSWER:
            self.town.record("answered", session=self.session, answer="plays", left=self.settled)
            self.settled = self.stands = True
            self.town.loop.after(LET_GO_MS, self.stream.close)
        elif message.kind == binary.RELEASE:
            self.stream.write(binary.encode(binary.HEARD, message.session))
            if not self.stands and message.session == self.session:
                cause = message.parameters[binary.CAUSE][0]
                self.town.record("answered", session=self.session, answer="declined" if cause in REFUSALS else "failed", left=self.settled)
                self.settled = True
                self.stream.close()

    def closed(self, stream, why):
        if not self.settled and getattr(self, "stream", None) is not None:
            self.town.lost(self)

"""Media nodes as peers of a trial: they answer set-ups, play, say when a play is over, and fail as the plan tells."""
import random
import re
import selectors
import socket
import time

from laddergw.lab.soak.messages import answer, member, release
from laddergw.lab.soak.peers import Owner, PieceWriter
from laddergw.lab.soak.ports import HOST
from laddergw.signalling import rtsp

ANSWER_MS, REFUSE_MS, LENGTH_MS = (20.0, 120.0), (20.0, 500.0), (400.0, 2_000.0)
FULL, FAILS, MUTE = 0.08, 0.03, 0.01     # parts of set-ups that a node refuses, fails, and never answers
SPOILT = 0.4                             # part of the good answers that are spoilt while answers are
ENDED = 16                               # cause of a release: the session has come to its end
ANY_TEXT = re.compile(rb"([A-Za-z0-9-]{1,40}): ?([^\r\n]*)")    # a header's line: products have names in any language
ADDRESSES = "rtsp://media/"              # begins every address
QUEUE = 1024                             # connections that wait to be accepted
FILLERS = 2                              # connections that fill a queue of none


class Conditions:
    """What holds for all peers of a trial at the moment, by the plan's windows."""

    def __init__(self) -> None:
        self.now: set[str] = set()

    def __contains__(self, kind: str) -> bool:
        return kind in self.now


class NodeSide(Owner):
    """One connection from a director, by its number."""

    def __init__(self, node: "Node", director: int):
        self.node, self.director, self.reader, self.out = node, director, rtsp.Reader(ANY_TEXT), {}
        self.writer = PieceWriter(node.loop, node.draw)

    def opened(self, stream) -> None:
        super().opened(stream)
        self.node.sides.append(self)
        for session in self.node.untold.get(self.director, ()):
            self.write(release(int(session, 16), ENDED))

    def write(self, data: bytes) -> None:
        self.writer.write(self.stream, data, "pieces" in self.node.conditions)

    def heard(self, message) -> None:
        node, session = self.node, message.headers["session"]
        if message.method == "SETUP":
            node.record("arrived", session=session, node=node.id, product=message.headers["subject"],
                        title=message.target.removeprefix(ADDRESSES), offer=message.body.decode(errors="replace"))
            self.out[session] = message.headers["subject"]
            self.decide(session)
        elif message.method == "TEARDOWN":
            node.torn_down(self, session)
        elif message.method == "OPTIONS" and not node.still:
            self.write(rtsp.answer(200, "OK", "3", session))
        elif message.status == 200 and session in node.untold.get(self.director, ()):
            del node.untold[self.director][session]
            node.record("release acknowledged", session=session, node=node.id)

    def decide(self, session: str) -> None:
        draw = self.node.draw.random()
        low, high = REFUSE_MS if draw < FULL else ANSWER_MS          # a further try is due when some viewers have left
        status = 453 if draw < FULL else 500 if draw < FULL + FAILS else None if draw < FULL + FAILS + MUTE else 200
        self.node.loop.after(self.node.draw.uniform(low, high), lambda: status and self.answer(session, status))

    def over(self, session: str, never_ran: bool = False) -> None:
        """An attempt is out no more."""
        if self.out.pop(session, None):
            self.node.record("over", session=session, node=self.node.id, never_ran=never_ran)

    def answer(self, session: str, status: int) -> None:
        if session not in self.out or self.node.still:
            return
        if status != 200:
            self.over(session, status == 453)
            return self.write(answer(session, status, b""))
        text = self.node.description(session)
        if "spoilt_answers" in self.node.conditions and self.node.draw.random() < SPOILT:
            return self.spoil(session, text)
        self.node.play(session, self)
        self.node.record("made", session=session, node=self.node.id, text=text.decode())
        self.write(answer(session, 200, text))
        if "release_at_once" in self.node.conditions and self.node.draw.random() < 0.5:
            self.node.end(session)
        return None

    def spoil(self, session: str, text: bytes) -> None:
        """It has run, and its answer cannot be used."""
        whole = answer(session, 200, text)
        short = whole.replace(b"Content-Length: %d" % len(text), b"Content-Length: %d" % self.node.draw.randrange(1, len(text)))
        way = self.node.draw.choice(("short", "short", "noise", "broken off", "empty", "huge"))
        self.over(session)
        if way == "broken off":
            self.stream.write(whole[:self.node.draw.randrange(1, len(whole))])
            return self.stream.abort()
        if way == "short":                           # what shows that its length is wrong comes a moment later
            return self.writer.write(self.stream, short, True)
        return self.write({"noise": b"\x00\xff" * 20, "empty": answer(session, 200, b""),
                           "huge": whole.replace(b"Content-Length: ", b"Content-Length: 99999")}[way])

    def closed(self, stream, why: str | None) -> None:
        if self in self.node.sides:
            self.node.sides.remove(self)
        for session in [session for session in self.out if session not in self.node.playing]:
            self.over(session)


class Node:
    """One media node, with an address for each director. What it has to say of a session it says until it is acknowledged, on every
    connection from its director that opens."""

    def __init__(self, loop, draw: random.Random, record, conditions: Conditions, name: str, cell: int, cold: bool, directors: int):
        self.loop, self.draw, self.record, self.conditions, self.id, self.cell = loop, draw, record, conditions, name, cell
        self.sides, self.playing, self.still, self.gone, self.fillers = [], {}, False, False, []
        self.untold: dict[int, dict[str, None]] = {}             # by director: sessions whose end it has not acknowledged
        self.listeners = [loop.listen((HOST, 0), lambda stream, number=number: NodeSide(self, number)) for number in range(directors)]
        self.since = time.time() * 1000 if cold else 0
        if cold:
            record("started", node=name)

    def line(self, phase: str) -> dict:
        """Of the list of media nodes; the address is filled in for each director."""
        return member(self.id, 1, phase, self.cell, self.since)

    def address_for(self, director: int) -> str:
        return f"{HOST}:{self.listeners[director].address[1]}"

    def description(self, session: str) -> bytes:
        return f"{session}\r\nc=IN IP4 10.0.0.{self.draw.randrange(1, 255)}\r\nm=audio {self.listeners[0].address[1]} RTP/AVP 0 8 101\r\n".encode()

    def play(self, session: str, side: NodeSide) -> None:
        self.playing[session] = side
        self.loop.after(self.draw.uniform(*LENGTH_MS), lambda: self.end(session))

    def end(self, session: str) -> None:
        side = self.playing.get(session)
        if side is None or self.gone:
            return
        if self.still:
            self.loop.after(ANSWER_MS[1], lambda: self.end(session))
            return
        del self.playing[session]
        side.over(session)
        self.untold.setdefault(side.director, {})[session] = None
        self.record("ended by its node", session=session, node=self.id)
        speaker = side if side in self.sides else next((one for one in self.sides if one.director == side.director), None)
        if speaker is not None:
            speaker.write(release(int(session, 16), ENDED))

    def torn_down(self, side: NodeSide, session: str) -> None:
        for one in {side, self.playing.pop(session, side)}:
            one.over(session)
        self.untold.get(side.director, {}).pop(session, None)
        self.record("torn down", session=session, node=self.id)
        side.write(rtsp.answer(200, "OK", "2", session))

    def reset(self) -> None:
        """Resets every connection; what plays goes on."""
        for side in list(self.sides):
            side.stream.abort()

    def close_early(self) -> None:
        """Ends every connection in good order, whatever is open on it."""
        for side in list(self.sides):
            side.stream.close()

    def hang(self) -> None:
        """Answers nothing, begins nothing and ends nothing; what comes is taken by its system all the same."""
        self.still = True

    def wake(self) -> None:
        self.still = False

    def stop_accepting(self) -> None:
        """New connections stay on their way: the queue of those that wait to be accepted is full."""
        if self.gone or self.fillers:
            return
        for listener in self.listeners:
            listener.sock.listen(0)
            self.loop.selector.unregister(listener.sock)
            self.fillers += [socket.socket() for _ in range(FILLERS)]
            for filler in self.fillers[-FILLERS:]:
                filler.setblocking(False)
                filler.connect_ex(listener.address)

    def accept_again(self) -> None:
        fillers, self.fillers = self.fillers, []
        for filler in fillers:
            filler.close()
        for listener in self.listeners if fillers and not self.gone else ():
            listener.sock.listen(QUEUE)
            self.loop.selector.register(listener.sock, selectors.EVENT_READ, listener)

    def die(self) -> None:
        """Its process ends: its port refuses, its connections are reset, what plays there is over."""
        if self.gone:
            return
        self.accept_again()
        self.gone = True
        for listener in self.listeners:
            listener.close()
        for session, side in list(self.playing.items()):
            side.over(session)
            self.record("died with it", session=session, node=self.id)
        self.reset()

"""One connection from a director to a media node of a trial: set-ups, answers, and answers that are
spoilt.
"""

import re
from typing import TYPE_CHECKING

from laddergw.lab.soak.messages import answer, release
from laddergw.lab.soak.peers import Owner, PieceWriter
from laddergw.signalling import rtsp

if TYPE_CHECKING:
    from laddergw.lab.soak.nodes import Node

ANSWER_MS, REFUSE_MS = (20.0, 120.0), (20.0, 500.0)
FULL, FAILS, MUTE = (
    0.08,
    0.03,
    0.01,
)  # parts of set-ups that a node refuses, fails, and never answers
SPOILT = 0.4  # part of the good answers that are spoilt while answers are
ENDED, LEFT = 16, 31  # causes of a release: the session has come to its end; its viewer has left
ANY_TEXT = re.compile(
    rb"([A-Za-z0-9-]{1,40}): ?([^\r\n]*)"
)  # a header's line: products have names in any language
ADDRESSES = "rtsp://media/"  # begins every address


class Conditions:
    """What holds for all peers of a trial at the moment, by the plan's windows."""

    def __init__(self) -> None:
        self.now: set[str] = set()

    def __contains__(self, kind: str) -> bool:
        return kind in self.now


class NodeConnection(Owner):
    """One connection from a director, by its number."""

    def __init__(self, node: "Node", director: int):
        self.node, self.director, self.reader, self.out = node, director, rtsp.Reader(ANY_TEXT), {}
        self.writer = PieceWriter(node.loop, node.draw)

    def opened(self, stream) -> None:
        super().opened(stream)
        self.node.sides.append(self)
        for session, cause in self.node.untold.get(self.director, {}).items():
            self.write(release(int(session, 16), cause))

    def write(self, data: bytes) -> None:
        self.writer.write(
            self.stream,
            data,
            self.writer.drawn_cuts(data) if "pieces" in self.node.conditions else (),
        )

    def heard(self, message) -> None:
        node, session = self.node, message.headers["session"]
        if message.method == "SETUP":
            node.record(
                "arrived",
                session=session,
                node=node.id,
                product=message.headers["subject"],
                title=message.target.removeprefix(ADDRESSES),
                offer=message.body.decode(errors="replace"),
            )
            self.out[session] = message.headers["subject"]
            self.decide(session)
        elif message.method == "TEARDOWN":
            node.torn_down(self, session)
        elif message.method == "OPTIONS" and not node.still:
            self.write(rtsp.encode_response(200, "OK", "3", session))
        elif message.status == 200 and session in node.untold.get(self.director, ()):
            del node.untold[self.director][session]
            node.record("release acknowledged", session=session, node=node.id)

    def decide(self, session: str) -> None:
        draw = self.node.draw.random()
        low, high = (
            REFUSE_MS if draw < FULL else ANSWER_MS
        )  # a further try is due when some viewers have left
        status = (
            453
            if draw < FULL
            else 500
            if draw < FULL + FAILS
            else None
            if draw < FULL + FAILS + MUTE
            else 200
        )
        self.node.loop.call_later(
            self.node.draw.uniform(low, high), lambda: status and self.answer(session, status)
        )

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
            self.node.end(session, self.node.draw.choice((ENDED, LEFT)))
        return None

    def spoil(self, session: str, text: bytes) -> None:
        """It has run, and its answer cannot be used."""
        whole = answer(session, 200, text)
        size = self.node.draw.randrange(1, len(text))
        short = whole.replace(b"Content-Length: %d" % len(text), b"Content-Length: %d" % size)
        way = self.node.draw.choice(("short", "short", "noise", "broken off", "empty", "huge"))
        self.over(session)
        if way == "broken off":
            self.stream.write(whole[: self.node.draw.randrange(1, len(whole))])
            return self.stream.abort()
        if way == "short":  # what shows that its length is wrong comes a moment later
            return self.writer.write(self.stream, short, [len(short) - len(text) + size])
        return self.write(
            {
                "noise": b"\x00\xff" * 20,
                "empty": answer(session, 200, b""),
                "huge": whole.replace(b"Content-Length: ", b"Content-Length: 99999"),
            }[way]
        )

    def closed(self, stream, why: str | None) -> None:
        if self in self.node.sides:
            self.node.sides.remove(self)
        for session in [session for session in self.out if session not in self.node.playing]:
            self.over(session)

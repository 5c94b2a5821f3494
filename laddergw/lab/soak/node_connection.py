"""A connection from a director to a media node of a trial: set-ups, answers and corrupt answers."""

import re
from typing import TYPE_CHECKING

from laddergw.lab.soak.messages import answer, release
from laddergw.lab.soak.peers import PeerConnection, PieceWriter
from laddergw.signalling import rtsp

if TYPE_CHECKING:
    from laddergw.lab.soak.nodes import Node

ANSWER_MS, REFUSE_MS = (20.0, 120.0), (20.0, 500.0)
# Shares of the set-ups that a node refuses, fails, and never answers.
REFUSE_SHARE, FAIL_SHARE, SILENT_SHARE = 0.08, 0.03, 0.01
# Share of the good answers that are corrupted under the condition `spoilt_answers`.
CORRUPT_SHARE = 0.4
# Causes of a release: the session has come to its end; its viewer has left.
CAUSE_ENDED, CAUSE_VIEWER_LEFT = 16, 31
# A header line. Its value may hold any text, as products have names in any language.
HEADER_PATTERN = re.compile(rb"([A-Za-z0-9-]{1,40}): ?([^\r\n]*)")
# Precedes the title in every address.
ADDRESS_PREFIX = "rtsp://media/"


class Conditions:
    """The conditions of the plan that currently hold for all peers of a trial."""

    def __init__(self) -> None:
        self.active: set[str] = set()

    def __contains__(self, kind: str) -> bool:
        return kind in self.active


class NodeConnection(PeerConnection):
    """A node's end of a connection from the director with a given number."""

    def __init__(self, node: "Node", director: int):
        self.node, self.director, self.reader, self.attempts = (
            node,
            director,
            rtsp.Reader(HEADER_PATTERN),
            {},
        )
        self.writer = PieceWriter(node.loop, node.rng)
        # While its node is cut off: what has come, and what it wrote.
        self.held_input, self.held_output = b"", b""

    def opened(self, stream) -> None:
        """Sends the releases that this director has not acknowledged yet."""
        super().opened(stream)
        self.node.connections.append(self)
        for session, cause in self.node.unacknowledged.get(self.director, {}).items():
            self.write(release(int(session, 16), cause))

    def data_received(self, stream, data: bytes) -> None:
        """Handles messages, or holds them back while the node is cut off."""
        if self.node.is_cut_off:
            self.held_input += data
        else:
            super().data_received(stream, data)

    def rejoin(self) -> None:
        """Handles what was held back, as the node is reached again.

        A set-up that was given up meanwhile has not arrived; a connection with another is reset.
        """
        held_input, self.held_input = self.held_input, b""
        held_output, self.held_output = self.held_output, b""
        self.reader.feed(held_input)
        messages = []
        while (message := self.reader.next()) is not None:
            messages.append(message)
        sessions = {
            method: {m.headers["session"] for m in messages if m.method == method}
            for method in ("SETUP", "TEARDOWN")
        }
        if sessions["SETUP"] - sessions["TEARDOWN"]:
            return self.stream.abort()
        self.stream.write(held_output)
        for message in messages:
            if message.headers["session"] not in sessions["SETUP"]:
                self.handle_message(message)
        return None

    def write(self, data: bytes) -> None:
        """Writes a message, in pieces under the condition `pieces`."""
        if self.node.is_cut_off:
            self.held_output += data
            return
        self.writer.write(
            self.stream,
            data,
            self.writer.draw_cuts(data) if "pieces" in self.node.conditions else (),
        )

    def handle_message(self, message) -> None:
        """Handles a set-up, a release, a ping or the acknowledgement of a release."""
        node, session = self.node, message.headers["session"]
        if message.method == "SETUP":
            node.record(
                "arrived",
                session=session,
                node=node.id,
                cell=node.cell,
                product=message.headers["subject"],
                title=message.target.removeprefix(ADDRESS_PREFIX),
                offer=message.body.decode(errors="replace"),
            )
            self.attempts[session] = message.headers["subject"]
            self.schedule_answer(session)
        elif message.method == "TEARDOWN":
            node.handle_teardown(self, session)
        elif message.method == "OPTIONS" and not node.is_hung:
            self.write(rtsp.encode_response(200, "OK", "3", session))
        elif message.status == 200 and session in node.unacknowledged.get(self.director, ()):
            del node.unacknowledged[self.director][session]
            node.record("release acknowledged", session=session, node=node.id)

    def schedule_answer(self, session: str) -> None:
        """Draws how and when an attempt is answered: refused, failed, never, or with a play."""
        outcome = self.node.rng.random()
        # Refusals may come late, so that some viewers have left when a retry is due.
        low, high = REFUSE_MS if outcome < REFUSE_SHARE else ANSWER_MS
        status = (
            453
            if outcome < REFUSE_SHARE
            else 500
            if outcome < REFUSE_SHARE + FAIL_SHARE
            else None
            if outcome < REFUSE_SHARE + FAIL_SHARE + SILENT_SHARE
            else 200
        )
        self.node.loop.call_later(
            self.node.rng.uniform(low, high), lambda: status and self.send_answer(session, status)
        )

    def attempt_ended(self, session: str, never_ran: bool = False) -> None:
        """Records that an attempt is no longer open."""
        if self.attempts.pop(session, None):
            self.node.record("over", session=session, node=self.node.id, never_ran=never_ran)

    def send_answer(self, session: str, status: int) -> None:
        """Answers an attempt that is still open, unless the node hangs."""
        if session not in self.attempts or self.node.is_hung:
            return
        if status != 200:
            self.attempt_ended(session, status == 453)
            return self.write(answer(session, status, b""))
        text = self.node.description(session)
        is_corrupt = (
            "spoilt_answers" in self.node.conditions
            and self.node.rng.random() < CORRUPT_SHARE
            and not self.node.is_cut_off
        )
        if is_corrupt:
            return self.send_corrupt_answer(session, text)
        self.node.start_play(session, self)
        self.node.record("made", session=session, node=self.node.id, text=text.decode())
        self.write(answer(session, 200, text))
        if "release_at_once" in self.node.conditions and self.node.rng.random() < 0.5:
            self.node.end_play(session, self.node.rng.choice((CAUSE_ENDED, CAUSE_VIEWER_LEFT)))
        return None

    def send_corrupt_answer(self, session: str, text: bytes) -> None:
        """Answers an attempt that has run with an answer that cannot be used."""
        whole = answer(session, 200, text)
        size = self.node.rng.randrange(1, len(text))
        short = whole.replace(b"Content-Length: %d" % len(text), b"Content-Length: %d" % size)
        corruption = self.node.rng.choice(
            ("short", "short", "noise", "broken off", "empty", "huge")
        )
        self.attempt_ended(session)
        if corruption == "broken off":
            self.stream.write(whole[: self.node.rng.randrange(1, len(whole))])
            return self.stream.abort()
        # The bytes beyond the declared length, which reveal the error, follow a moment later.
        if corruption == "short":
            return self.writer.write(self.stream, short, [len(short) - len(text) + size])
        return self.write(
            {
                "noise": b"\x00\xff" * 20,
                "empty": answer(session, 200, b""),
                "huge": whole.replace(b"Content-Length: ", b"Content-Length: 99999"),
            }[corruption]
        )

    def closed(self, stream, why: str | None) -> None:
        """Ends the attempts of the connection that are not playing."""
        if self in self.node.connections:
            self.node.connections.remove(self)
        self.end_attempts()

    def end_attempts(self) -> None:
        """Ends the attempts that are not playing."""
        for session in [session for session in self.attempts if session not in self.node.playing]:
            self.attempt_ended(session)

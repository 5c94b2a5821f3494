"""RTSP as the platform's media nodes speak it: requests and answers with Content-Length, matched by
Session.
"""

import re
from typing import NamedTuple

MAX_MESSAGE_BYTES = 16 * 1024  # bytes of one message, by the protocol
MOST_HEADERS = 64  # lines of one message: ours have six
FIRST_LINE = re.compile(
    rb"RTSP/1\.0 ([1-5]\d\d)(?: [\x20-\x7e]*)?|"
    rb"([A-Z_]{3,20}) (rtsp://media/[\x21-\x7e]*|\*) RTSP/1\.0"
)
HEADER = re.compile(rb"([A-Za-z0-9-]{1,40}): ?([\x20-\x7e]*)")
SESSION = re.compile(r"[0-9a-f]{16}")
PREFIX = b"RTSP/1.0 "
METHODS = (b"SETUP ", b"TEARDOWN ", b"OPTIONS ", b"ANNOUNCE ", b"REDIRECT ", b"SET_PARAMETER ")
SEQUENCE = {"SETUP": 1, "TEARDOWN": 2, "OPTIONS": 3}  # else it is free
OTHER_SEQUENCE = 4


class MalformedError(Exception):
    """Bytes that are no message of this protocol; the connection serves no further use."""


class Message(NamedTuple):
    """`status` is 0 in a request, `method` empty in an answer. Headers in lower case."""

    status: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def session(self) -> str:
        return self.headers["session"]

    @property
    def cseq(self) -> str:
        return self.headers.get("cseq", "")


def encode_request(
    method: str,
    target: str,
    session: str,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
) -> bytes:
    lines = [
        f"{method} rtsp://media/{target} RTSP/1.0",
        f"CSeq: {SEQUENCE.get(method, OTHER_SEQUENCE)}",
        f"Session: {session}",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def encode_response(status: int, reason: str, sequence: str, session: str) -> bytes:
    """An answer without a body."""
    lines = (
        f"RTSP/1.0 {status} {reason}",
        f"CSeq: {sequence}",
        f"Session: {session}",
        "Content-Length: 0",
    )
    return "\r\n".join([*lines, "", ""]).encode("ascii")


def parse_head(head: bytes, header: re.Pattern[bytes] = HEADER) -> tuple:
    """The parts of a message's first lines; `header` matches a line's name and text."""
    first, *lines = head.split(b"\r\n")
    match = FIRST_LINE.fullmatch(first)
    if match is None or len(lines) > MOST_HEADERS:
        raise MalformedError(f"first line {first[:60]!r}")
    headers = {}
    for line in lines:
        parts = header.fullmatch(line)
        if parts is None:
            raise MalformedError(f"header {line[:60]!r}")
        name = parts[1].decode().lower()
        if name in headers:
            raise MalformedError(f"two headers {name}")
        headers[name] = parts[2].decode().strip()
    length = headers.get("content-length", "")
    if not length.isdigit() or len(length) > 6 or int(length) > MAX_MESSAGE_BYTES:
        raise MalformedError(f"a length of {length[:20]!r}")
    if not SESSION.fullmatch(headers.get("session", "")):
        raise MalformedError(f"session {headers.get('session', '')[:20]!r}")
    status, method, target = match.groups()
    return (
        int(status or 0),
        (method or b"").decode(),
        (target or b"").decode(),
        headers,
        int(length),
    )


class Reader:
    """Takes bytes as they come and hands out whole messages."""

    def __init__(self, header: re.Pattern[bytes] = HEADER) -> None:
        self.buffer, self.header = bytearray(), header
        self.head: tuple | None = None

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> Message | None:
        """The next whole message, or None while it is not all here."""
        if self.head is None:
            end = self.buffer.find(b"\r\n\r\n", 0, MAX_MESSAGE_BYTES)
            if end < 0:
                return self.check_start()
            self.head = parse_head(bytes(self.buffer[:end]), self.header)
            del self.buffer[: end + 4]
        *parts, length = self.head
        if len(self.buffer) < length:
            return None
        body, self.head = bytes(self.buffer[:length]), None
        del self.buffer[:length]
        self.check_start()  # what follows a message shows whether its length was right
        return Message(*parts, body)

    def next_message_started(self) -> bool:
        """Whether what has come behind the last message surely begins another one."""
        return any(self.buffer.startswith(word) for word in (PREFIX, *METHODS))

    def check_start(self) -> None:
        """Refuses what can become no message, before it has come to an end or grown without one."""
        start = bytes(self.buffer[:16])
        if start and not any(start.startswith(word[: len(start)]) for word in (PREFIX, *METHODS)):
            raise MalformedError(f"a message that starts with {start!r}")
        if len(self.buffer) >= MAX_MESSAGE_BYTES:
            raise MalformedError("lines without an end")

"""Codec of RTSP as the platform's media nodes use it.

Requests and responses carry Content-Length and are matched by their Session header.
"""

import re
from typing import NamedTuple

# By the protocol
MAX_MESSAGE_BYTES = 16 * 1024
# Lines of one message; the director's own messages have six
MAX_HEADERS = 64
START_LINE = re.compile(
    rb"RTSP/1\.0 ([1-5]\d\d)(?: [\x20-\x7e]*)?|"
    rb"([A-Z_]{3,20}) (rtsp://media/[\x21-\x7e]*|\*) RTSP/1\.0"
)
HEADER = re.compile(rb"([A-Za-z0-9-]{1,40}): ?([\x20-\x7e]*)")
SESSION = re.compile(r"[0-9a-f]{16}")
STATUS_LINE_START = b"RTSP/1.0 "
REQUEST_LINE_STARTS = (
    b"SETUP ",
    b"TEARDOWN ",
    b"OPTIONS ",
    b"ANNOUNCE ",
    b"REDIRECT ",
    b"SET_PARAMETER ",
)
# CSeq by method; any number may be chosen for other methods
CSEQ_BY_METHOD = {"SETUP": 1, "TEARDOWN": 2, "OPTIONS": 3}
OTHER_CSEQ = 4


class MalformedError(Exception):
    """Bytes that are not a message of this protocol; the connection cannot be used any further."""


class Message(NamedTuple):
    """A request or a response; header names are in lower case.

    `status` is 0 in a request, `method` and `target` are empty in a response.
    """

    status: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def session(self) -> str:
        """The Session header, which every message has."""
        return self.headers["session"]

    @property
    def cseq(self) -> str:
        """The CSeq header, or an empty string."""
        return self.headers.get("cseq", "")


def encode_request(
    method: str,
    target: str,
    session: str,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
) -> bytes:
    """Encodes a request; `target` is the part of the URL behind rtsp://media/."""
    lines = [
        f"{method} rtsp://media/{target} RTSP/1.0",
        f"CSeq: {CSEQ_BY_METHOD.get(method, OTHER_CSEQ)}",
        f"Session: {session}",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def encode_response(status: int, reason: str, cseq: str, session: str) -> bytes:
    """Encodes a response without a body."""
    lines = (
        f"RTSP/1.0 {status} {reason}",
        f"CSeq: {cseq}",
        f"Session: {session}",
        "Content-Length: 0",
    )
    return "\r\n".join([*lines, "", ""]).encode("ascii")


def parse_head(head: bytes, header: re.Pattern[bytes] = HEADER) -> tuple:
    """Parses the start line and headers: status, method, target, headers, length of the body.

    `header` matches a header line's name and value. Raises MalformedError.
    """
    first, *lines = head.split(b"\r\n")
    match = START_LINE.fullmatch(first)
    if match is None or len(lines) > MAX_HEADERS:
        raise MalformedError(f"invalid start line or too many headers: {first[:60]!r}")
    headers = {}
    for line in lines:
        parts = header.fullmatch(line)
        if parts is None:
            raise MalformedError(f"invalid header line {line[:60]!r}")
        name = parts[1].decode().lower()
        if name in headers:
            raise MalformedError(f"duplicate header {name}")
        headers[name] = parts[2].decode().strip()
    length = headers.get("content-length", "")
    if not length.isdigit() or len(length) > 6 or int(length) > MAX_MESSAGE_BYTES:
        raise MalformedError(f"invalid Content-Length {length[:20]!r}")
    if not SESSION.fullmatch(headers.get("session", "")):
        raise MalformedError(f"invalid Session {headers.get('session', '')[:20]!r}")
    status, method, target = match.groups()
    return (
        int(status or 0),
        (method or b"").decode(),
        (target or b"").decode(),
        headers,
        int(length),
    )


class Reader:
    """Takes bytes as they arrive and returns complete messages.

    `header` matches a header line's name and value.
    """

    def __init__(self, header: re.Pattern[bytes] = HEADER) -> None:
        self.buffer, self.header = bytearray(), header
        self.head: tuple | None = None

    def feed(self, data: bytes) -> None:
        """Adds bytes that have arrived."""
        self.buffer += data

    def next(self) -> Message | None:
        """Returns the next complete message, or None while it is incomplete.

        Raises MalformedError.
        """
        if self.head is None:
            end = self.buffer.find(b"\r\n\r\n", 0, MAX_MESSAGE_BYTES)
            if end < 0:
                self.check_start()
                return self.check_size()
            self.head = parse_head(bytes(self.buffer[:end]), self.header)
            del self.buffer[: end + 4]
        *parts, length = self.head
        if len(self.buffer) < length:
            return None
        body, self.head = bytes(self.buffer[:length]), None
        del self.buffer[:length]
        # What follows a message shows whether its length was right
        self.check_start()
        return Message(*parts, body)

    def next_message_started(self) -> bool:
        """Returns whether the bytes behind the last message certainly begin another one."""
        return any(
            self.buffer.startswith(prefix) for prefix in (STATUS_LINE_START, *REQUEST_LINE_STARTS)
        )

    def check_start(self) -> None:
        """Raises MalformedError for bytes that can become no message, before their end arrives."""
        start = bytes(self.buffer[:16])
        if start and not any(
            start.startswith(prefix[: len(start)])
            for prefix in (STATUS_LINE_START, *REQUEST_LINE_STARTS)
        ):
            raise MalformedError(f"message starts with {start!r}")

    def check_size(self) -> None:
        """Raises MalformedError for header lines that grow without an end."""
        if len(self.buffer) >= MAX_MESSAGE_BYTES:
            raise MalformedError("header lines exceed the maximum length")

"""The viewers' binary messages: length:2 type:1 session:8 parameters, each parameter code:1
length:2 value; big-endian.
"""

import struct
from typing import NamedTuple

SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_ACK, NOTE, MOVE, PING, PONG, RUNG = (
    1,
    6,
    9,
    12,
    16,
    44,
    51,
    52,
    53,
    60,
)
PRODUCT, WAIT_LIMIT, TITLE, ATTRIBUTES, RETRY_AFTER, HINT, CAUSE, DESCRIPTION = (
    180,
    183,
    192,
    195,
    198,
    210,
    222,
    225,
)
KINDS = {SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_ACK, NOTE, MOVE, PING, PONG, RUNG}
MAX_MESSAGE_BYTES = 16 * 1024  # bytes of one message, by the protocol
HEADER, PARAMETER = struct.Struct(">HBQ"), struct.Struct(">BH")
MIN_LENGTH = HEADER.size - 2  # what the length counts of a message without parameters


class MalformedError(Exception):
    """Bytes that are no messages of this protocol; what follows them on the connection cannot be
    read either.
    """


class Message(NamedTuple):
    """`parameters` is None where they do not fit into the message: it is whole, but cannot be
    understood.
    """

    kind: int
    session: str
    parameters: dict[int, bytes] | None


def encode(kind: int, session: str, *parameters: tuple[int, bytes]) -> bytes:
    body = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in parameters)
    return HEADER.pack(MIN_LENGTH + len(body), kind, int(session, 16)) + body


def decode_parameters(body: bytes) -> dict[int, bytes] | None:
    found, at = {}, 0
    while at < len(body):
        if at + PARAMETER.size > len(body):
            return None
        code, size = PARAMETER.unpack_from(body, at)
        at += PARAMETER.size + size
        if at > len(body) or code in found:
            return None
        found[code] = body[at - size : at]
    return found


class Reader:
    """Takes bytes as they come and hands out whole messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> Message | None:
        """The next whole message, or None while it is not all here.

        What starts wrong is refused before its end.
        """
        buffer = self.buffer
        if len(buffer) >= 2:
            length = buffer[0] << 8 | buffer[1]
            if not MIN_LENGTH <= length <= MAX_MESSAGE_BYTES - 2:
                raise MalformedError(f"a message of {length} bytes")
        if len(buffer) >= 3 and buffer[2] not in KINDS:
            raise MalformedError(f"a message of type {buffer[2]}")
        if len(buffer) < HEADER.size or len(buffer) < length + 2:
            return None
        _, kind, session = HEADER.unpack_from(buffer)
        body = bytes(buffer[HEADER.size : length + 2])
        del buffer[: length + 2]
        return Message(kind, f"{session:016x}", decode_parameters(body))

"""Codec of the viewers' binary messages.

A message is length:2 type:1 session:8 and parameters, each parameter code:1 length:2 value.
Integers are big-endian; a length does not count itself.
"""

import struct
from typing import NamedTuple

# Message types
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
# Parameter codes. The cause of a PONG is 1, or 0 while the director stops and takes no new plays
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
# By the protocol
MAX_MESSAGE_BYTES = 16 * 1024
HEADER, PARAMETER = struct.Struct(">HBQ"), struct.Struct(">BH")
# The length field of a message without parameters
MIN_LENGTH = HEADER.size - 2


class MalformedError(Exception):
    """Bytes that are no message of this protocol.

    What follows them on the connection cannot be read either.
    """


class Message(NamedTuple):
    """One message; the session is 16 hexadecimal digits.

    `parameters` is None where they do not fit into the message: the message is complete, but its
    content cannot be decoded.
    """

    kind: int
    session: str
    parameters: dict[int, bytes] | None


def encode(kind: int, session: str, *parameters: tuple[int, bytes]) -> bytes:
    """Encodes a message with parameters given as (code, value)."""
    body = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in parameters)
    return HEADER.pack(MIN_LENGTH + len(body), kind, int(session, 16)) + body


def decode_parameters(body: bytes) -> dict[int, bytes] | None:
    """Decodes parameters by code; None where one does not fit or occurs twice."""
    parameters, offset = {}, 0
    while offset < len(body):
        if offset + PARAMETER.size > len(body):
            return None
        code, size = PARAMETER.unpack_from(body, offset)
        offset += PARAMETER.size + size
        if offset > len(body) or code in parameters:
            return None
        parameters[code] = body[offset - size : offset]
    return parameters


class Reader:
    """Takes bytes as they arrive and returns complete messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Adds bytes that have arrived."""
        self.buffer += data

    def next(self) -> Message | None:
        """Returns the next complete message, or None while it is incomplete.

        A message with an invalid length or type raises MalformedError before its end has arrived.
        """
        buffer = self.buffer
        if len(buffer) >= 2:
            length = buffer[0] << 8 | buffer[1]
            if not MIN_LENGTH <= length <= MAX_MESSAGE_BYTES - 2:
                raise MalformedError(f"a message of {length} bytes, outside the allowed lengths")
        if len(buffer) >= 3 and buffer[2] not in KINDS:
            raise MalformedError(f"a message of unknown type {buffer[2]}")
        if len(buffer) < HEADER.size or len(buffer) < length + 2:
            return None
        _, kind, session = HEADER.unpack_from(buffer)
        body = bytes(buffer[HEADER.size : length + 2])
        del buffer[: length + 2]
        return Message(kind, f"{session:016x}", decode_parameters(body))

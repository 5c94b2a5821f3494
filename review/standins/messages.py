"""The messages of the protocol page: the viewers' binary ones and the media nodes' RTSP."""

import struct

SET_UP, ANSWER, RELEASE, RELEASE_HEARD, MOVE, TEST, TEST_RESULT = 1, 9, 12, 16, 51, 52, 53
CLASS, PATIENCE, TITLE, FIGURES, HINT, CAUSE, DESCRIPTION = 180, 183, 192, 195, 210, 222, 225


def encode(kind: int, session: str, parameters: dict[int, bytes]) -> bytes:
    """Encodes a binary message."""
    body = b"".join(
        struct.pack(">BH", code, len(value)) + value for code, value in parameters.items()
    )
    return struct.pack(">HBQ", 9 + len(body), kind, int(session, 16)) + body


def take_binary(buffer: bytearray) -> tuple[int, str, dict[int, bytes]] | None:
    """Takes the next whole binary message out of a buffer: type, session, parameters."""
    if len(buffer) < 2 or len(buffer) < 2 + (length := struct.unpack_from(">H", buffer)[0]):
        return None
    kind, session = struct.unpack_from(">BQ", buffer, 2)
    body, parameters = bytes(buffer[11 : 2 + length]), {}
    del buffer[: 2 + length]
    while body:
        code, size = struct.unpack_from(">BH", body)
        parameters[code], body = body[3 : 3 + size], body[3 + size :]
    return kind, f"{session:016x}", parameters


class Rtsp:
    """One RTSP message; `status` is 0 in a request."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes):
        self.first, self.headers, self.body = first, headers, body
        self.status = int(first.split()[1]) if first.startswith("RTSP/") else 0
        self.method = "" if self.status else first.split()[0]
        self.session = headers["session"]


def take_rtsp(buffer: bytearray) -> Rtsp | None:
    """Takes the next whole RTSP message out of a buffer."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    first, *lines = buffer[:end].decode().split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    total = end + 4 + int(headers["content-length"])
    if len(buffer) < total:
        return None
    body = bytes(buffer[end + 4 : total])
    del buffer[:total]
    return Rtsp(first, headers, body)


def rtsp(first: str, cseq: int, session: str, headers: str = "", body: bytes = b"") -> bytes:
    """Encodes an RTSP message; `headers` are further whole lines."""
    return (
        f"{first}\r\nCSeq: {cseq}\r\nSession: {session}\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )

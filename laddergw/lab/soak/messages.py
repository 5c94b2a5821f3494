"""Builds what a director receives: its configuration, events of the change log, viewers' set-ups
and media nodes' answers. No I/O.
"""

from typing import Any

from laddergw.signalling import binary, rtsp

SETTINGS: dict[str, Any] = {
    "Grades": [
        {"Name": "guide", "Points": 1.0, "Repeat": "pure", "GiveUp": 4_000_000},
        {"Name": "paid", "Points": 2.0, "Repeat": "side_effect", "GiveUp": 3_000_000},
    ],
    "Kinds": ["std"],
    "Zones": ["east", "west wing"],
    "Siblings": 1,
    "Reporting": {"Names": ["concurrent", "x0"], "How": "answers"},
    "Permissions": {
        "MaxAttempts": 3,
        "ConnectTimeout": 250_000,
        "RetryAfter": True,
        "MaxRetryAfter": 500_000,
        "Probes": False,
    },
    "Specifics": {
        "LadderKb": [100.0, 200.0, 400.0],
        "WorthByRung": [0.3, 0.6, 1.0],
        "Positions": 3,
        "Groups": 1,
        "LinkUnitKb": 9000.0,
        "RackKb": 40000.0,
        "KindSlots": [200],
        "SeenAfter": 500_000,
    },
}
# Address in the requests that a media node sends; the protocol leaves it free.
PLAYED_TITLE = "7f3a"


def member(
    name: str, port: int, phase: str = "SERVING", cell: int = 0, since: float = 0
) -> dict[str, Any]:
    """Returns one media node's entry in an event of the change log; `since` in Unix ms, or 0."""
    return {
        "id": name,
        "host_port": f"{name}:{port}",
        "locality": "east",
        "flavor": "std",
        "cell": cell,
        "phase": phase,
        "size": 1,
        "up_since_ms": since,
    }


def event(number: int, *members: dict[str, Any], whole: bool = False) -> dict[str, Any]:
    """Returns an event of the change log; `whole` if it lists all media nodes."""
    return {
        "seq": number,
        "fleet": {"revision": number, "complete": whole, "members": list(members)},
    }


def configuration(**changes: Any) -> dict[str, Any]:
    """Returns a director's configuration file; `changes` replace its first-level entries."""
    return {
        "name": "n0",
        "listen": "director:5060",
        "seed": "1f",
        "limits": {"sockets": 64},
        "changelog": "log:4222",
        "settings": SETTINGS,
        "known": {
            "seq": 1,
            "results": [event(1, member("a", 1), member("b", 1, cell=1), whole=True)],
        },
    } | changes


def set_up(
    session: int,
    product: str = "guide",
    wait_limit_ms: str = "1500",
    title: str = "7f3a9c21e0b4d655",
    attributes: str = "home:0;copies:3;top:2;viewer:00000000b4d65521",
    hint: str = "30000.0",
    text: bytes = b"v=0\r\n",
) -> bytes:
    """Encodes a viewer's set-up; `wait_limit_ms` and `hint` in ms, `text` is its description."""
    return binary.encode(
        binary.SET_UP,
        f"{session:016x}",
        (binary.PRODUCT, product.encode()),
        (binary.WAIT_LIMIT, wait_limit_ms.encode()),
        (binary.TITLE, title.encode()),
        (binary.ATTRIBUTES, attributes.encode()),
        (binary.HINT, hint.encode()),
        (binary.DESCRIPTION, text),
    )


def answer(session: str, status: int = 200, body: bytes = b"v=0\r\n", more: str = "") -> bytes:
    """Encodes a media node's answer to a set-up; `more` holds further header lines."""
    return (
        f"RTSP/1.0 {status} X\r\nCSeq: 1\r\nSession: {session}\r\n"
        f"{more}Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


def release(session: int, cause: int) -> bytes:
    """Encodes a media node's release of a session."""
    return rtsp.encode_request(
        "TEARDOWN", PLAYED_TITLE, f"{session:016x}", (("Reason", f"cause={cause}"),)
    )

"""Signs and verifies session addresses: each expires and belongs to one player. Keys have ids and are rotated.

An address is /s/SESSION/EXPIRES.KEY.MARK/NAME. MARK is HMAC-SHA256 over session, expiry and player, shortened. The player is an id that the edge
set as a cookie in its answer to the session request, so that an address alone is of no use to another viewer. Times are ms of the wall clock.
"""
import hashlib
import hmac
from typing import NamedTuple

from laddergw.director.tokens import MARK_BYTES, pack, unpack

Keys = tuple[tuple[str, bytes], ...]
PREFIX = "s"


class AddressError(Exception):
    """An address that is not accepted, with the HTTP status and the reason."""

    def __init__(self, status: int, reason: str):
        super().__init__(reason)
        self.status = status


class RequestedResource(NamedTuple):
    """What a valid address names: a session and one of its files."""
    session: str
    name: str


def signature(secret: bytes, session: str, expires: int, player: str) -> bytes:
    """The shortened HMAC of an address."""
    return hmac.digest(secret, f"{session}\n{expires}\n{player}".encode(), hashlib.sha256)[:MARK_BYTES]


def sign_path(keys: Keys, session: str, expires_ms: float, player: str, name: str) -> str:
    """The signed path of one of a session's files, by the first key; `expires_ms` is ms of the wall clock."""
    key, secret = keys[0]
    expires = int(expires_ms)
    return f"/{PREFIX}/{session}/{expires}.{key}.{pack(signature(secret, session, expires, player))}/{name}"


def key_id_of(path: str) -> str:
    """The id of the key that signed a path of this edge."""
    return path.split("/")[3].split(".")[1]


def parse_resource_name(name: str, segment_prefix: str, resource_prefix: str) -> tuple[int, int | None] | None:
    """What a name such as seg-4 or by-4-0 requests: the number of a segment, and which of its section and keys. None: neither of these forms."""
    if name.startswith(segment_prefix):
        numbers = [name[len(segment_prefix):]]
    elif name.startswith(resource_prefix):
        numbers = name[len(resource_prefix):].split("-")
    else:
        return None
    if len(numbers) > 2 or not all(number.isascii() and number.isdigit() and len(number) < 9 for number in numbers):
        return None
    return int(numbers[0]), int(numbers[1]) if len(numbers) == 2 else None


def verify(keys: Keys, retired: frozenset[str], path: str, player: str | None, now_ms: float) -> RequestedResource:
    """Checks a path at a time. Raises AddressError: 404 where it is no address, 403 for a wrong signature, key or player, 410 once it has expired."""
    parts = path.split("/")
    if len(parts) != 5 or parts[0] or parts[1] != PREFIX or not parts[2] or not parts[4]:
        raise AddressError(404, "not a session's address")
    session, stamp, name = parts[2], parts[3].split("."), parts[4]
    if len(stamp) != 3 or not stamp[0].isascii() or not stamp[0].isdigit() or len(stamp[0]) > 16:
        raise AddressError(404, "not a session's address")
    secret = dict(keys).get(stamp[1])
    if stamp[1] in retired or secret is None:
        raise AddressError(403, "signed by a key that is not taken any more" if stamp[1] in retired else "signed by an unknown key")
    try:
        received = unpack(stamp[2])
    except ValueError:
        raise AddressError(403, "its mark is wrong") from None
    if not hmac.compare_digest(received, signature(secret, session, int(stamp[0]), player or "")):
        raise AddressError(403, "its mark is wrong, or it is another player's")
    if now_ms > int(stamp[0]):
        raise AddressError(410, "it has expired")
    return RequestedResource(session, name)

"""Signed tokens that a viewer carries from try to try, so that directors that share nothing fold retries together.

A token is id.body.mark: a key's id, base64 of JSON, and HMAC-SHA256 over both, cut to 16 bytes. Marks are compared in constant
time. The first key signs; all keys are taken, so that keys can be rotated. Times are ms of the wall clock, handed in.
"""
import base64
import hashlib
import hmac
from typing import NamedTuple

import msgspec

MARK_BYTES = 16            # 128 bits: not to be guessed
OLDEST_MS = 3_600_000.0    # a token older than this is a new first try: no play's retries last so long
AHEAD_MS = 5_000.0         # a first try from the future: clocks of directors stray a little
MOST_TRIES = 10_000        # a count beyond this is a lie


class PreviousAttempt(NamedTuple):
    """What a viewer's earlier tries left behind."""
    key: str               # the viewer's play key
    first_ms: float        # wall clock at the first try
    tries: int             # tries so far, the first included
    may_have_run: bool              # an allocation of a paid product may have run


class BadToken(Exception):
    """A token that is not taken; the text says why."""


def pack(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def unpack(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def mark(secret: bytes, name: str, body: str) -> bytes:
    return hmac.digest(secret, f"{name}.{body}".encode(), hashlib.sha256)[:MARK_BYTES]


def sign(keys: tuple[tuple[str, bytes], ...], earlier: PreviousAttempt) -> str:
    name, secret = keys[0]
    body = pack(msgspec.json.encode([earlier.key, round(earlier.first_ms), earlier.tries, earlier.may_have_run]))
    return f"{name}.{body}.{pack(mark(secret, name, body))}"


def read(keys: tuple[tuple[str, bytes], ...], text: str, key: str, wall: float) -> PreviousAttempt:
    """The token's facts. Raises BadToken for a bad mark, an unknown key, another viewer's play or a wrong time."""
    parts = text.split(".")
    if len(parts) != 3:
        raise BadToken("not a token")
    name, body, told = parts
    secret = dict(keys).get(name)
    if secret is None:
        raise BadToken("signed by an unknown key")
    try:
        good = hmac.compare_digest(unpack(told), mark(secret, name, body))
        values = msgspec.json.decode(unpack(body), type=tuple[str, float, int, bool]) if good else None
    except (ValueError, msgspec.MsgspecError):
        raise BadToken("not a token") from None
    if values is None:
        raise BadToken("its mark is wrong")
    earlier = PreviousAttempt(*values)
    if earlier.key != key:
        raise BadToken("of another play")
    if not -AHEAD_MS <= wall - earlier.first_ms <= OLDEST_MS or not 0 < earlier.tries <= MOST_TRIES:
        raise BadToken("out of date")
    return earlier

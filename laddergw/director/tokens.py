"""Signed tokens that a viewer carries from one attempt to the next, so that directors that share no state recognize retries of one play.

A token is id.body.mark: a key's id, base64 of JSON, and HMAC-SHA256 over both, truncated to 16 bytes. Marks are compared in constant
time. The first key signs; all keys are accepted, so that keys can be rotated. Times are ms of the wall clock, handed in.
"""
import base64
import hashlib
import hmac
from typing import NamedTuple

import msgspec

# 128 bits cannot be guessed
MARK_BYTES = 16
# A request with an older token counts as a first attempt: no play is retried for so long
MAX_AGE_MS = 3_600_000.0
# A first attempt may lie this far in the future: the clocks of directors differ a little
MAX_CLOCK_SKEW_MS = 5_000.0
# A higher count is forged
MAX_ATTEMPTS = 10_000


class PreviousAttempt(NamedTuple):
    """What is known of a viewer's earlier attempts at a play."""
    # The viewer's play key
    key: str
    # Wall clock at the first attempt
    first_attempt_ms: float
    # Attempts so far, the first included
    attempts: int
    # An allocation of a paid product may have run
    may_have_run: bool


class BadToken(Exception):
    """A token that is rejected; the text gives the reason."""


def pack(data: bytes) -> str:
    """URL-safe base64 without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def unpack(text: str) -> bytes:
    """Decodes what `pack` encoded; raises ValueError."""
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def compute_mark(secret: bytes, name: str, body: str) -> bytes:
    """The message authentication code of a key's id and a body."""
    return hmac.digest(secret, f"{name}.{body}".encode(), hashlib.sha256)[:MARK_BYTES]


def sign(keys: tuple[tuple[str, bytes], ...], previous: PreviousAttempt) -> str:
    """Returns a token signed with the first key."""
    name, secret = keys[0]
    body = pack(msgspec.json.encode([previous.key, round(previous.first_attempt_ms), previous.attempts, previous.may_have_run]))
    return f"{name}.{body}.{pack(compute_mark(secret, name, body))}"


def read(keys: tuple[tuple[str, bytes], ...], text: str, key: str, wall: float) -> PreviousAttempt:
    """Returns what a token says. Raises BadToken for a bad mark, an unknown key, another viewer's play or a wrong time."""
    parts = text.split(".")
    if len(parts) != 3:
        raise BadToken("not a token")
    name, body, given_mark = parts
    secret = dict(keys).get(name)
    if secret is None:
        raise BadToken("signed by an unknown key")
    try:
        mark_matches = hmac.compare_digest(unpack(given_mark), compute_mark(secret, name, body))
        values = msgspec.json.decode(unpack(body), type=tuple[str, float, int, bool]) if mark_matches else None
    except (ValueError, msgspec.MsgspecError):
        raise BadToken("not a token") from None
    if values is None:
        raise BadToken("the signature is wrong")
    previous = PreviousAttempt(*values)
    if previous.key != key:
        raise BadToken("of another play")
    if not -MAX_CLOCK_SKEW_MS <= wall - previous.first_attempt_ms <= MAX_AGE_MS or not 0 < previous.attempts <= MAX_ATTEMPTS:
        raise BadToken("out of date")
    return previous

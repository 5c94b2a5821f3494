"""Transport of messages between directors: signs them with the first key, sends them to peers by number, and verifies received ones.

A body is id.payload.mark, in the form of a token: the payload is the sender's number, its wall clock in ms, and the message of
laddergw/peer_messages.py. No decision is made here.
"""
import hmac
import struct
from typing import Callable

from laddergw import peer_messages
from laddergw.director import tokens
from laddergw.http.client import Pool
from laddergw.http.limits import PoolLimits

HEADER = struct.Struct("<Hd")
# A message that is older, or from so far in the future, is a replay or comes from a wrong clock; loads change within seconds
MAX_AGE_MS = 5_000.0
# A message that its peer has not answered by then is given up as lost: the next one follows soon
ANSWER_TIMEOUT_MS = 500.0
PEER_POOL_LIMITS = PoolLimits(max_connections=1, max_waiting=4, idle_ms=60_000.0)


class DirectorMessages:
    """Sends messages to peers and reads theirs. `keys()` returns the keys in force, `wall()` the wall clock in ms, roughly the same at all directors."""

    def __init__(self, loop, number: int, peers: tuple, keys: Callable, wall: Callable[[], float]):
        self.loop, self.number, self.keys, self.wall = loop, number, keys, wall
        self.pools: dict[int, Pool] = {}
        self.set_peers(peers)

    def set_peers(self, peers: tuple) -> None:
        """Replaces the list of peers; connections to those that are not in it are closed."""
        wanted = {number: address for number, address in peers if number != self.number}
        for number in [n for n, pool in self.pools.items() if wanted.get(n) != pool.address]:
            self.pools.pop(number).close()
        for number, address in wanted.items():
            if number not in self.pools:
                self.pools[number] = Pool(self.loop, address, PEER_POOL_LIMITS)

    def send(self, numbers: tuple, messages: list[bytes]) -> None:
        """Signs each message and sends it to the peers with these numbers."""
        name, secret = self.keys()[0]
        for message in messages:
            payload = tokens.pack(HEADER.pack(self.number, self.wall()) + message)
            body = f"{name}.{payload}.{tokens.pack(tokens.compute_mark(secret, name, payload))}".encode()
            for pool in [self.pools[n] for n in numbers if n in self.pools]:
                self.send_one(pool, body)

    def send_one(self, pool: Pool, body: bytes) -> None:
        """Sends a signed message to one peer; its answer is not used."""
        call = pool.call("POST", "/v1/mail", body, lambda call: None)
        self.loop.call_later(ANSWER_TIMEOUT_MS, lambda: call.abort("no answer to mail in time"))

    def read(self, body: bytes) -> tuple[int, list, list]:
        """Returns (sender, loads, shares). Raises peer_messages.MalformedMessage for a message that is malformed, stale or not signed with one of our keys."""
        try:
            name, payload, given_mark = body.decode("ascii").split(".")
            secret = dict(self.keys()).get(name)
            if secret is None or not hmac.compare_digest(tokens.unpack(given_mark), tokens.compute_mark(secret, name, payload)):
                raise peer_messages.MalformedMessage("mail: not signed with one of our keys")
            data = tokens.unpack(payload)
            sender, sent_at = HEADER.unpack_from(data)
        except (ValueError, struct.error) as error:
            raise peer_messages.MalformedMessage(f"mail: not a signed message: {error}") from None
        if sender not in self.pools:
            raise peer_messages.MalformedMessage(f"mail from {sender}: no peer in the file")
        if not abs(self.wall() - sent_at) <= MAX_AGE_MS:
            raise peer_messages.MalformedMessage(f"mail from {sender}: {self.wall() - sent_at:.0f} ms old")
        return sender, *peer_messages.unpack(data[HEADER.size:])

    def close(self) -> None:
        """Closes all connections."""
        for pool in self.pools.values():
            pool.close()

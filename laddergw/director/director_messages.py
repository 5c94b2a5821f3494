"""Messages between directors: each signed with the first key, sent to peers by number, read and checked. Carries, decides nothing.

A body is id.payload.mark, as tokens are: the payload is the sender's number, its wall clock in ms, and the message of laddergw/peer_messages.py.
"""
import hmac
import struct
from typing import Callable

from laddergw import peer_messages
from laddergw.director import tokens
from laddergw.http.client import Pool
from laddergw.http.limits import PoolLimits

HEAD = struct.Struct("<Hd")
STALE_MS = 5_000.0         # a message older than this, or so far ahead, is a replay or a stray clock: loads change in seconds
LIMIT_MS = 500.0           # a peer that does not answer by then has lost the message: the next one is on its way
ONE = PoolLimits(max_connections=1, max_waiting=4, idle_ms=60_000.0)


class DirectorMessages:
    """`keys()` gives the house's keys in force, `wall()` the clock in ms that directors share roughly."""

    def __init__(self, loop, number: int, peers: tuple, keys: Callable, wall: Callable[[], float]):
        self.loop, self.number, self.keys, self.wall = loop, number, keys, wall
        self.pools: dict[int, Pool] = {}
        self.reach(peers)

    def reach(self, peers: tuple) -> None:
        """These peers and no others from now on."""
        wanted = {number: address for number, address in peers if number != self.number}
        for number in [n for n, pool in self.pools.items() if wanted.get(n) != pool.address]:
            self.pools.pop(number).close()
        for number, address in wanted.items():
            if number not in self.pools:
                self.pools[number] = Pool(self.loop, address, ONE)

    def send(self, numbers: tuple, messages: list[bytes]) -> None:
        name, secret = self.keys()[0]
        for message in messages:
            payload = tokens.pack(HEAD.pack(self.number, self.wall()) + message)
            body = f"{name}.{payload}.{tokens.pack(tokens.mark(secret, name, payload))}".encode()
            for pool in [self.pools[n] for n in numbers if n in self.pools]:
                self.send_one(pool, body)

    def send_one(self, pool: Pool, body: bytes) -> None:
        call = pool.call("POST", "/v1/mail", body, lambda call: None)
        self.loop.call_later(LIMIT_MS, lambda: call.abort("no answer to mail in time"))

    def read(self, body: bytes) -> tuple[int, list, list]:
        """(sender, loads, shares). Raises peer_messages.MalformedMessage for what is not signed by a key of ours, stale or makes no sense."""
        try:
            name, payload, told = body.decode("ascii").split(".")
            secret = dict(self.keys()).get(name)
            if secret is None or not hmac.compare_digest(tokens.unpack(told), tokens.mark(secret, name, payload)):
                raise peer_messages.MalformedMessage("mail: not signed by a key of ours")
            data = tokens.unpack(payload)
            sender, at = HEAD.unpack_from(data)
        except (ValueError, struct.error) as error:
            raise peer_messages.MalformedMessage(f"mail: not a signed message: {error}") from None
        if sender not in self.pools:
            raise peer_messages.MalformedMessage(f"mail of {sender}: no peer in the file")
        if not abs(self.wall() - at) <= STALE_MS:
            raise peer_messages.MalformedMessage(f"mail of {sender}: {self.wall() - at:.0f} ms old")
        return sender, *peer_messages.unpack(data[HEAD.size:])

    def close(self) -> None:
        for pool in self.pools.values():
            pool.close()

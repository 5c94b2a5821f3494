"""Frames between edges and planners: four bytes of length, then msgpack. The codec only: what is done about a frame is said elsewhere.

    hello    version, name, role, epoch          both ways, first
    digest   number, whole or a delta to a number, ...     edge -> planner
    again    number                              planner -> edge: send a whole one, the delta's base is not here
    plan     sealed bytes                        planner -> edge, and to standbys
    credit   plans                               edge -> planner: so many more may come
    kept     turn                                planner -> edge: its audit before that turn is on the disk
    right    number, epoch, lease, forbidden     planner -> edge: it may let plays in, counted from when it sent that digest
    granted  number, epoch, issuer, grants       planner -> edge: budgets of the fleet, counted from when it sent that digest
    offer    epoch, kind, number, hash, size     planner -> edge: a file that is wanted there
    fetch    number, offset                      edge -> planner: the next piece of it
    piece    number, offset, bytes               planner -> edge
    ask      question, name, time, content       operator -> planner: of the fleet's audit
    answer   body                                planner -> operator: JSON
    beat     at_ms                               both ways, while nothing else is sent

Names on the wire stay here. Everything that comes is checked against its type and bounds before it is believed.
"""
from typing import NamedTuple

import msgspec

from laddergw.fleet.grants import Grant, Row
from laddergw.fleet.state_reports import Part, InvalidReport
from laddergw.planner.digests import Digest
from laddergw.planner.sketch import Hot

VERSION = 1
HEAD = 4
FRAME_MOST = 8_388_608     # a plan of 100,000 nodes is under 4 MB
BEAT_MS = 500.0            # pace of beats
SILENT_MS = 2_000.0        # a peer that says nothing for so long is given up
CREDIT = 4                 # plans that may be on their way to an edge; a newer one takes the place of one that waits
EDGE, PLANNER, STANDBY, OPERATOR = "edge", "planner", "standby", "operator"


class Hello(msgspec.Struct, tag="hello", frozen=True):
    version: int
    name: str
    role: str
    epoch: int


class DigestFrame(msgspec.Struct, tag="digest", frozen=True):
    """`base` 0: whole; else what changed since the digest of that number, `gone` naming nodes that are asked for no more."""
    number: int
    base: int
    at_ms: float
    nodes: dict[int, tuple[float, int]]
    gone: tuple[int, ...]
    arrivals: dict[str, int]
    hot: tuple[tuple[int, float, float], ...]
    failures: dict[int, int]
    drains: tuple[int, ...]
    obeys: int                                   # epoch of the last plan that came
    age_ms: float                                # since it came
    seen: int                                    # highest epoch of all that came
    budgets: tuple[Row, ...] = ()                # of the fleet: what it holds of them, spent, and wants
    audit: Part | None = None                    # what changed of its stands and counts; peers of before know nothing of it, nor need to


class Again(msgspec.Struct, tag="again", frozen=True):
    number: int


class PlanFrame(msgspec.Struct, tag="plan", frozen=True):
    sealed: bytes


class Credit(msgspec.Struct, tag="credit", frozen=True):
    plans: int


class Beat(msgspec.Struct, tag="beat", frozen=True):
    at_ms: float


class Kept(msgspec.Struct, tag="kept", frozen=True):
    turn: int


class Right(msgspec.Struct, tag="right", frozen=True):
    number: int
    epoch: int
    lease_ms: float
    forbidden: tuple[tuple[str, str], ...]       # kinds and hashes of versions


class Granted(msgspec.Struct, tag="granted", frozen=True):
    number: int                                  # of the digest that it answers
    epoch: int
    issuer: str                                  # identity of the store
    grants: tuple[Grant, ...]


class Offer(msgspec.Struct, tag="offer", frozen=True):
    epoch: int
    kind: str
    number: int
    hash: str                                    # of the version, as stands name it
    sha: str                                     # of its bytes
    size: int


class Fetch(msgspec.Struct, tag="fetch", frozen=True):
    number: int
    offset: int


class Piece(msgspec.Struct, tag="piece", frozen=True):
    number: int
    offset: int
    data: bytes


class Ask(msgspec.Struct, tag="ask", frozen=True):
    question: str
    name: str = ""
    at_wall_ms: float = 0.0
    data: bytes = b""                            # of a file that is wanted
    figures: dict[str, float] = {}


class Answer(msgspec.Struct, tag="answer", frozen=True):
    body: bytes


Frame = Hello | DigestFrame | Again | PlanFrame | Credit | Beat | Kept | Right | Granted | Offer | Fetch | Piece | Ask | Answer
encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Frame)


class MalformedFrame(Exception):
    """Bytes that are no frame of ours; the text says why."""


def pack(frame: Frame) -> bytes:
    body = encoder.encode(frame)
    return len(body).to_bytes(HEAD, "big") + body


class Unpacker:
    """Frames out of a stream of bytes. Raises MalformedFrame; the stream is of no more use then."""

    def __init__(self):
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        self.rest += data
        found = []
        while len(self.rest) >= HEAD:
            size = int.from_bytes(self.rest[:HEAD], "big")
            if size > FRAME_MOST:
                raise MalformedFrame(f"a frame of {size} bytes, {FRAME_MOST} at most")
            if len(self.rest) < HEAD + size:
                break
            body = bytes(self.rest[HEAD:HEAD + size])
            del self.rest[:HEAD + size]
            try:
                found.append(decoder.decode(body))
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                raise MalformedFrame(f"not a frame: {error}") from None
        return found


class DeltaBase(NamedTuple):
    """The last digest that the other side surely has."""
    number: int
    nodes: dict[int, tuple[float, int]]


def to_frame(digest: Digest, base: DeltaBase | None, obeys: int = 0, age_ms: float = 0.0, seen: int = 0, audit: Part | None = None, budgets: tuple[Row, ...] = ()) -> DigestFrame:
    """Whole, or what changed since a base; with what the edge obeys, and its part of the audit."""
    nodes, gone, since = digest.nodes, (), 0
    if base is not None:
        since = base.number
        nodes = {node: told for node, told in digest.nodes.items() if base.nodes.get(node) != told}
        gone = tuple(node for node in base.nodes if node not in digest.nodes)
    return DigestFrame(digest.number, since, digest.at_ms, nodes, gone, digest.arrivals, tuple(tuple(hot) for hot in digest.hot), digest.failures, digest.drains, obeys, age_ms, seen,
                       budgets, audit)


def to_digest(edge: str, frame: DigestFrame, known: Digest | None) -> Digest | None:
    """The digest that a frame tells; None where it is a delta to one that is not here. Raises MalformedFrame for figures out of range."""
    if any(not 0 <= kb < 1e9 or not 0 <= plays < 1e9 for kb, plays in frame.nodes.values()) or frame.number < 1 or any(count < 0 for count in frame.arrivals.values()) \
            or not 0 <= frame.age_ms < 1e15 or frame.obeys < 0 or frame.seen < 0:
        raise MalformedFrame("a digest with figures out of range")
    nodes = frame.nodes
    if frame.base:
        if known is None or known.number != frame.base:
            return None
        nodes = {node: told for node, told in known.nodes.items() if node not in frame.gone} | frame.nodes
    return Digest(edge, frame.number, frame.at_ms, nodes, frame.arrivals, tuple(Hot(*hot) for hot in frame.hot), frame.failures, frame.drains)

"""Codec of the frames between edges and planners: a four-byte big-endian length, then msgpack. Frames are acted on in other modules.

    hello    version, name, role, epoch          both directions, first frame
    digest   number, complete or a delta to a number, ...  edge -> planner
    again    number                              planner -> edge: send a complete digest, the delta's base is not known here
    plan     sealed bytes                        planner -> edge, and to standbys
    credit   plans                               edge -> planner: this many more plans may be sent
    kept     turn                                planner -> edge: its audit records before that turn are on disk
    right    number, epoch, lease, forbidden     planner -> edge: may admit plays; the lease counts from when the edge sent that digest
    granted  number, epoch, issuer, grants       planner -> edge: fleet budgets; the leases count from when the edge sent that digest
    offer    epoch, kind, number, hash, size     planner -> edge: a file that the edge should use
    fetch    number, offset                      edge -> planner: requests the next piece of the file
    piece    number, offset, bytes               planner -> edge
    ask      question, name, time, content       operator -> planner: a question about the fleet's audit
    answer   body                                planner -> operator: JSON
    beat     at_ms                               both directions, a heartbeat while nothing else is sent

Struct and field names are part of the wire format. Every received frame is checked against its type and bounds before use.
"""
from typing import NamedTuple

import msgspec

from laddergw.fleet.grants import Grant, Row
from laddergw.fleet.state_reports import Part
from laddergw.planner.digests import Digest
from laddergw.planner.sketch import HotTitle

VERSION = 1
HEADER_BYTES = 4
MAX_FRAME_BYTES = 8_388_608     # a plan of 100,000 nodes is under 4 MB
HEARTBEAT_MS = 500.0
SILENCE_TIMEOUT_MS = 2_000.0    # a peer that sends nothing for this long is disconnected
PLAN_CREDIT = 4                 # plans in flight to one edge; a newer plan replaces one that is waiting
EDGE, PLANNER, STANDBY, OPERATOR = "edge", "planner", "standby", "operator"


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """First frame of each side."""
    version: int
    name: str
    role: str
    epoch: int


class DigestFrame(msgspec.Struct, tag="digest", frozen=True):
    """`base` 0: a complete digest; otherwise what changed since the digest of that number, with `gone` listing nodes that have no load any more."""
    number: int
    base: int
    at_ms: float
    nodes: dict[int, tuple[float, int]]
    gone: tuple[int, ...]
    arrivals: dict[str, int]
    hot: tuple[tuple[int, float, float], ...]
    failures: dict[int, int]
    drains: tuple[int, ...]
    obeys: int                                   # epoch of the plan that the edge follows
    age_ms: float                                # time since that plan was received
    seen: int                                    # highest epoch of all plans received
    budgets: tuple[Row, ...] = ()                # fleet budgets: what the edge was granted, spent and wants
    audit: Part | None = None                    # changes of its version sets and action counts; older peers ignore it


class Again(msgspec.Struct, tag="again", frozen=True):
    """Requests a complete digest: the base of the delta with this number is unknown."""
    number: int


class PlanFrame(msgspec.Struct, tag="plan", frozen=True):
    """A signed plan, see plan.seal."""
    sealed: bytes


class Credit(msgspec.Struct, tag="credit", frozen=True):
    """Allows the planner to send this many more plans."""
    plans: int


class Beat(msgspec.Struct, tag="beat", frozen=True):
    """Heartbeat with the sender's clock."""
    at_ms: float


class Kept(msgspec.Struct, tag="kept", frozen=True):
    """Acknowledges the audit records before this turn of the director's action counts; they are on disk."""
    turn: int


class Right(msgspec.Struct, tag="right", frozen=True):
    """Allows an edge to admit plays for `lease_ms` from when it sent the digest `number`."""
    number: int
    epoch: int
    lease_ms: float
    forbidden: tuple[tuple[str, str], ...]       # (kind, hash) of versions that must not be used


class Granted(msgspec.Struct, tag="granted", frozen=True):
    """Grants of fleet budgets to one edge."""
    number: int                                  # of the digest that this answers
    epoch: int
    issuer: str                                  # identity of the planner's store
    grants: tuple[Grant, ...]


class Offer(msgspec.Struct, tag="offer", frozen=True):
    """Offers a file that the edge should use."""
    epoch: int
    kind: str
    number: int
    hash: str                                    # of the version, as version sets name it
    sha: str                                     # SHA-256 of the file's bytes
    size: int                                    # bytes


class Fetch(msgspec.Struct, tag="fetch", frozen=True):
    """Requests the piece of an offered file that begins at `offset`."""
    number: int
    offset: int


class Piece(msgspec.Struct, tag="piece", frozen=True):
    """A piece of an offered file."""
    number: int
    offset: int
    data: bytes


class Ask(msgspec.Struct, tag="ask", frozen=True):
    """An operator's question or order."""
    question: str
    name: str = ""
    at_wall_ms: float = 0.0
    data: bytes = b""                            # content of the file to roll out
    figures: dict[str, float] = {}


class Answer(msgspec.Struct, tag="answer", frozen=True):
    """Answers an operator with JSON."""
    body: bytes


Frame = Hello | DigestFrame | Again | PlanFrame | Credit | Beat | Kept | Right | Granted | Offer | Fetch | Piece | Ask | Answer
encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Frame)


class MalformedFrame(Exception):
    """The received bytes are not a valid frame; the text gives the reason."""


def pack(frame: Frame) -> bytes:
    """Encodes a frame with its length."""
    body = encoder.encode(frame)
    return len(body).to_bytes(HEADER_BYTES, "big") + body


class Unpacker:
    """Splits a byte stream into frames. After MalformedFrame the stream cannot be used any more."""

    def __init__(self):
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """The frames that `data` completes. Raises MalformedFrame."""
        self.buffer += data
        frames = []
        while len(self.buffer) >= HEADER_BYTES:
            size = int.from_bytes(self.buffer[:HEADER_BYTES], "big")
            if size > MAX_FRAME_BYTES:
                raise MalformedFrame(f"frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            if len(self.buffer) < HEADER_BYTES + size:
                break
            body = bytes(self.buffer[HEADER_BYTES:HEADER_BYTES + size])
            del self.buffer[:HEADER_BYTES + size]
            try:
                frames.append(decoder.decode(body))
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                raise MalformedFrame(f"not a frame: {error}") from None
        return frames


class DeltaBase(NamedTuple):
    """The last digest that the other side is known to have, as the base of a delta."""
    number: int
    nodes: dict[int, tuple[float, int]]


def to_frame(digest: Digest, base: DeltaBase | None, plan_epoch: int = 0, age_ms: float = 0.0, highest_epoch: int = 0, audit: Part | None = None, budgets: tuple[Row, ...] = ()) -> DigestFrame:
    """Encodes a digest as complete, or as the changes since a base, with the plan that the edge follows and its audit report."""
    nodes, gone, base_number = digest.nodes, (), 0
    if base is not None:
        base_number = base.number
        nodes = {node: load for node, load in digest.nodes.items() if base.nodes.get(node) != load}
        gone = tuple(node for node in base.nodes if node not in digest.nodes)
    return DigestFrame(digest.number, base_number, digest.at_ms, nodes, gone, digest.arrivals, tuple(tuple(hot) for hot in digest.hot), digest.failures, digest.drains, plan_epoch, age_ms, highest_epoch,
                       budgets, audit)


def to_digest(edge: str, frame: DigestFrame, previous: Digest | None) -> Digest | None:
    """Decodes a digest; None if it is a delta to an unknown base. Raises MalformedFrame for values out of range."""
    if any(not 0 <= kb < 1e9 or not 0 <= plays < 1e9 for kb, plays in frame.nodes.values()) or frame.number < 1 or any(count < 0 for count in frame.arrivals.values()) \
            or not 0 <= frame.age_ms < 1e15 or frame.obeys < 0 or frame.seen < 0:
        raise MalformedFrame("digest with values out of range")
    nodes = frame.nodes
    if frame.base:
        if previous is None or previous.number != frame.base:
            return None
        nodes = {node: load for node, load in previous.nodes.items() if node not in frame.gone} | frame.nodes
    return Digest(edge, frame.number, frame.at_ms, nodes, frame.arrivals, tuple(HotTitle(*hot) for hot in frame.hot), frame.failures, frame.drains)

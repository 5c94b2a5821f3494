"""A director's side of a file that a planner distributes: the offer, its pieces, one check at a time, and the outcome. Does no input or output.

An offer carries the planner's epoch and the number of the wanted version. The highest epoch is obeyed, an older number is ignored, and other content under the same
number is an error that is reported. Pieces continue where the last connection broke off; the whole file is compared with its hash before anybody reads it.
"""
from hashlib import sha256
from typing import NamedTuple

# A fifth of a second on a link of 80 kB/s, so heartbeats pass between pieces.
PIECE_BYTES = 16_384
# As large as the limits file itself may be.
MAX_FILE_BYTES = 4_194_304
IN_FORCE, REFUSED, CONFLICT = "in force", "refused", "other content under the same number"


class Offer(NamedTuple):
    """A file that a planner wants in force here. `hash`: of its version; `sha`: SHA-256 of its bytes."""
    epoch: int
    kind: str
    number: int
    hash: str
    sha: str
    size: int


class Fetch(NamedTuple):
    """A request for the next piece."""
    number: int
    offset: int


class Outcome(NamedTuple):
    """The outcome of an offer, reported to planners until another offer comes. `number` 0: nothing was offered yet."""
    number: int = 0
    hash: str = ""
    what: str = ""
    why: str = ""


class FileReceiver:
    """Receives one offered file at a time. `kinds`: the kinds that are accepted here."""

    def __init__(self):
        self.kinds: tuple[str, ...] = ()
        self.epoch, self.offer, self.data, self.checking = 0, None, bytearray(), False
        self.outcome = Outcome()

    def handle_offer(self, offer: Offer) -> Fetch | None:
        """Returns the piece to request now, None if there is none."""
        if offer.epoch < self.epoch or offer.kind not in self.kinds or not 0 < offer.size <= MAX_FILE_BYTES or offer.number < 1:
            return None
        self.epoch, current = offer.epoch, self.offer
        if current is not None and offer.number <= current.number:
            if offer.number < current.number or self.outcome.what == CONFLICT:
                return None
            if (offer.hash, offer.sha) != (current.hash, current.sha):
                self.outcome = Outcome(offer.number, offer.hash, CONFLICT, f"number {offer.number} was {current.hash[:8]} here, {offer.hash[:8]} is offered under it")
                return None
            return None if self.checking or self.outcome.number == offer.number else Fetch(offer.number, len(self.data))
        self.offer, self.data, self.outcome, self.checking = offer, bytearray(), Outcome(), False
        return Fetch(offer.number, 0)

    def handle_piece(self, number: int, offset: int, data: bytes) -> Fetch | bytes | None:
        """Returns the next piece to request, the whole file once it is complete, or None if this is not the next piece."""
        offer = self.offer
        if offer is None or self.checking or self.outcome.number or number != offer.number or offset != len(self.data) or not data or offset + len(data) > offer.size:
            return None
        self.data += data
        if len(self.data) < offer.size:
            return Fetch(number, len(self.data))
        content, self.data = bytes(self.data), bytearray()
        if sha256(content).hexdigest() != offer.sha:
            self.outcome = Outcome(number, offer.hash, REFUSED, "what came over the line is not what was offered")
            return None
        self.checking = True
        return content

    def finish_check(self, number: int, faults: list[str]) -> None:
        """Records that the file is in force, or was refused for these faults. The outcome of any offer but the latest is ignored."""
        if self.offer is not None and number == self.offer.number and self.checking:
            self.checking = False
            self.outcome = Outcome(number, self.offer.hash, REFUSED if faults else IN_FORCE, "; ".join(faults)[:500])

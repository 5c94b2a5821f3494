"""A director's side of a file that a planner brings up: what is offered, its pieces, one check at a time, and what came of it. Pure.

Offers come with the planner's epoch and the want's number; the highest epoch is obeyed, an older number is not, and the same number with other content is an error
that is told. Pieces follow each other from where the last line broke off; the whole is held against its hash before anybody reads it.
"""
from hashlib import sha256
from typing import NamedTuple

PIECE_BYTES = 16_384       # of one piece: a fifth of a second on a line of 80 kB/s, so beats pass between
MAX_FILE_BYTES = 4_194_304      # of a file, as the file itself may have
IN_FORCE, REFUSED, CONFLICT = "in force", "refused", "other content under the same number"


class Offer(NamedTuple):
    """What a planner wants here."""
    epoch: int
    kind: str
    number: int
    hash: str
    sha: str
    size: int


class Fetch(NamedTuple):
    """The piece that is asked for next."""
    number: int
    offset: int


class Outcome(NamedTuple):
    """What came of an offer, as the planner is told until another comes. `number` 0: nothing was ever offered."""
    number: int = 0
    hash: str = ""
    what: str = ""
    why: str = ""


class FileReceiver:
    """See the module. `kinds`: that can be brought here."""

    def __init__(self):
        self.kinds: tuple[str, ...] = ()
        self.epoch, self.offer, self.data, self.checking = 0, None, bytearray(), False
        self.outcome = Outcome()

    def handle_offer(self, offer: Offer) -> Fetch | None:
        """What to ask for now, if anything."""
        if offer.epoch < self.epoch or offer.kind not in self.kinds or not 0 < offer.size <= MAX_FILE_BYTES or offer.number < 1:
            return None
        self.epoch, held = offer.epoch, self.offer
        if held is not None and offer.number <= held.number:
            if offer.number < held.number or self.outcome.what == CONFLICT:
                return None
            if (offer.hash, offer.sha) != (held.hash, held.sha):
                self.outcome = Outcome(offer.number, offer.hash, CONFLICT, f"number {offer.number} was {held.hash[:8]} here, {offer.hash[:8]} is offered under it")
                return None
            return None if self.checking or self.outcome.number == offer.number else Fetch(offer.number, len(self.data))
        self.offer, self.data, self.outcome, self.checking = offer, bytearray(), Outcome(), False
        return Fetch(offer.number, 0)

    def handle_piece(self, number: int, offset: int, data: bytes) -> Fetch | bytes | None:
        """The next piece to ask for, the whole once it is here, or None for one that is not the next."""
        offer = self.offer
        if offer is None or self.checking or self.outcome.number or number != offer.number or offset != len(self.data) or not data or offset + len(data) > offer.size:
            return None
        self.data += data
        if len(self.data) < offer.size:
            return Fetch(number, len(self.data))
        whole, self.data = bytes(self.data), bytearray()
        if sha256(whole).hexdigest() != offer.sha:
            self.outcome = Outcome(number, offer.hash, REFUSED, "what came over the line is not what was offered")
            return None
        self.checking = True
        return whole

    def finish_check(self, number: int, faults: list[str]) -> None:
        """It is in force, or was refused for these. What came of an older offer than the latest is of no more interest."""
        if self.offer is not None and number == self.offer.number and self.checking:
            self.checking = False
            self.outcome = Outcome(number, self.offer.hash, REFUSED if faults else IN_FORCE, "; ".join(faults)[:500])

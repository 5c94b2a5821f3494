"""A planner's side of wanted versions: keeps what the rollout decided, offers, sends pieces, answers operators. Decisions lie in fleet/wanted.py.

Only the planner that keeps the journal offers anything. What it decided is on the disk before a director is told; one that takes over goes on where the
journal stands, a rollout's step from its beginning.
"""
import hashlib
from typing import NamedTuple

import msgspec

from laddergw.fleet import answers, wanted
from laddergw.fleet.file_transfer import PIECE_BYTES, MAX_FILE_BYTES, Offer
from laddergw.fleet.state_reports import Part
from laddergw.fleet.versions import ROLLOUT_KINDS, HASH_DIGITS
from laddergw.fleet.wanted import Answers, Rollout, Want
from laddergw.planner import wire

LOOK_MS = 250.0            # between looks: directors tell as often
IN_HAND = 16               # directors that are sent to at a time: 16 pieces of 16 kB are some ms of the planner, and checks do not come all together
IN_HAND_MS = 10_000.0      # then another gets the place of one that asked for nothing more
encode = msgspec.msgpack.Encoder().encode


class Hand(NamedTuple):
    """A director that is sent to."""
    kind: str
    asked_ms: float
    peer: object             # its connection: one that comes on another is offered again at once


class Rollouts:
    """See the module. `auditor`: book, journal, floors and the planner's way to write."""

    def __init__(self, auditor):
        self.auditor, self.loop = auditor, auditor.loop
        self.by_kind: dict[str, Rollout] = {}
        self.content: dict[str, bytes] = {}
        self.base: dict[str, tuple[Answers, Answers]] = {}       # when it began, or was taken over
        self.hands: dict[str, Hand] = {}
        self.highest = 0                                         # number that any director told

    def taken_over(self, wants: dict[str, dict]) -> None:
        """As the journal has them."""
        self.by_kind, self.content, self.hands = {}, {}, {}
        for kind, one in sorted(wants.items()):
            self.begin(Rollout(Want(*one["want"]), self.loop.now, one["step"], one["state"], one["why"], one["sent"], one["crashed"]), one["data"])

    def begin(self, rollout: Rollout, data: bytes) -> None:
        want = rollout.want
        self.by_kind[want.kind], self.content[want.kind] = rollout, data
        self.base[want.kind] = self.auditor.fleet_log.answers(want.kind, want.hash)
        self.highest = max(self.highest, want.number)

    def write(self, rollout: Rollout, **more) -> bool:
        return self.auditor.guarded(lambda: self.auditor.ledger.append([encode([rollout.as_record() | more])]))

    # Time

    def look(self, peers) -> None:
        """What is decided is kept, then carried out."""
        if not self.by_kind or not self.auditor.owns_journal():
            return
        for kind, rollout in self.by_kind.items():
            before = rollout.as_record()
            base, now = self.base[kind], self.auditor.fleet_log.answers(kind, rollout.want.hash)
            step = rollout.update(self.seats(rollout), *(Answers(*(max(0, b - a) for a, b in zip(*pair))) for pair in zip(base, now)), self.loop.now)
            if step.keep and not self.write(rollout):
                self.back_to(rollout, before)
                continue
            for name in step.forbid:             # as an operator would, under the same guards
                self.auditor.forbid((kind, name))
            self.offer_file(rollout, set(step.offer), peers)

    def back_to(self, rollout: Rollout, before: dict) -> None:
        """What could not be written did not happen."""
        rollout.step, rollout.state, rollout.why, rollout.crashed = before["step"], before["state"], before["why"], set(before["crashed"])

    def seats(self, rollout: Rollout) -> list[wanted.ProcessProgress]:
        return self.auditor.fleet_log.progress(rollout.want.kind, rollout.want.number, self.loop.now)

    def offer_file(self, rollout: Rollout, names: set[str], peers) -> None:
        """To those whose turn it is, so many at a time."""
        now, want = self.loop.now, rollout.want
        there = {peer.remote.name: peer for peer in peers if peer.remote is not None and peer.remote.role == wire.EDGE}
        self.hands = {name: hand for name, hand in self.hands.items()
                      if now - hand.asked_ms < IN_HAND_MS and there.get(name) is hand.peer and (hand.kind != want.kind or name in names)}
        for name in sorted(names & there.keys()):
            if name not in self.hands:
                if len(self.hands) >= IN_HAND:
                    return
                self.hands[name] = Hand(want.kind, now, there[name])
                there[name].send(wire.Offer(self.auditor.ledger.store.epoch, want.kind, want.number, want.hash, want.sha, want.size))

    # Directors

    def told(self, process: str, part: Part) -> None:
        self.highest = max(self.highest, part.came[0])
        if part.over:
            for rollout in self.by_kind.values():
                rollout.process_stopped(process.partition("-")[0])
        if part.came[2]:
            self.hands.pop(process, None)

    def send_piece(self, peer, frame: wire.Fetch) -> None:
        """A piece of a want that still goes on, to whom it was offered; else nothing: the director is offered again."""
        name, hand = peer.remote.name, self.hands.get(peer.remote.name)
        rollout = self.by_kind.get(hand.kind) if hand is not None else None
        if rollout is None or rollout.state == wanted.HALTED or frame.number != rollout.want.number or not 0 <= frame.offset < rollout.want.size or not self.auditor.owns_journal():
            return
        data = self.content[hand.kind][frame.offset:frame.offset + PIECE_BYTES]
        self.hands[name] = hand._replace(asked_ms=self.loop.now)
        if frame.offset + len(data) == rollout.want.size:        # on the disk first: whoever crashes on it twice is not sent it a third time
            rollout.record_sent(name)
            if not self.write(rollout):
                return
        peer.send(wire.Piece(frame.number, frame.offset, data))

    # Operators

    def asked(self, frame: wire.Ask) -> dict:
        if not self.auditor.owns_journal():
            return {"refused": "this planner does not keep the journal: ask the one that does"}
        kind, _, rest = frame.name.partition(" ")
        if kind not in ROLLOUT_KINDS:
            return {"refused": f"{', '.join(ROLLOUT_KINDS)} can be wanted, not {kind[:40]!r}"}
        if frame.question == "want":
            why = self.want(kind, rest, frame)
        elif frame.question == "halt":
            why = self.halt(kind)
        else:
            why = None
        return {"refused": why} if why is not None else self.stragglers(kind)

    def want(self, kind: str, name: str, frame: wire.Ask) -> str | None:
        """Begins a rollout; why not, where it is refused."""
        before = self.by_kind.get(kind)
        if before is not None and before.state == wanted.GOING:
            return f"the rollout of {before.want.hash[:8]} (number {before.want.number}) goes on: halt it first"
        if not 0 < len(frame.data) <= MAX_FILE_BYTES or len(name) != HASH_DIGITS:
            return f"a file of {len(frame.data)} bytes, 1 to {MAX_FILE_BYTES}, and its version's hash are needed"
        if (kind, name) in self.auditor.floors.since:
            return f"{kind} {name[:8]} must not be used any more: allow it first"
        want = Want(kind, wanted.next_number(self.auditor.ledger.store.epoch, self.highest), name, hashlib.sha256(frame.data).hexdigest(), len(frame.data), max(0.0, frame.figures.get("soak_ms", wanted.SOAK_MS)),
                    max(0.0, frame.figures.get("by_ms", 0.0)))
        rollout = Rollout(want, self.loop.now)
        if not self.write(rollout, data=frame.data):
            return "it could not be written"
        self.hands = {name: hand for name, hand in self.hands.items() if hand.kind != kind}
        return self.begin(rollout, frame.data)

    def halt(self, kind: str) -> str | None:
        rollout = self.by_kind.get(kind)
        if rollout is None or rollout.state == wanted.HALTED:
            return "nothing goes on"
        before = rollout.as_record()
        rollout.state, rollout.why = wanted.HALTED, "an operator said so"
        if not self.write(rollout):
            self.back_to(rollout, before)
            return "it could not be written"
        return None

    def stragglers(self, kind: str) -> dict:
        """The rollout, and each director that is not on what is wanted, with its cause."""
        rollout, now, book = self.by_kind.get(kind), self.loop.now, self.auditor.fleet_log
        if rollout is None:
            return {"want": None, "behind": [], "not_known": answers.list_unknown(book, now)}
        seats, behind = self.seats(rollout), []
        for seat in seats:
            if (cause := rollout.cause(seat, now)) is not None:
                behind.append({"process": seat.process, "on": seat.on, "cause": cause[0], "detail": cause[1], "wants_an_eye": cause[0] in wanted.CAUSES_FOR_OPERATOR})
        not_known = answers.list_unknown(book, now)
        if self.highest > rollout.want.number:
            not_known.append(f"directors were offered number {self.highest}, here {rollout.want.number} is the last: this journal was set back; want it anew")
        return {"want": rollout.want._asdict(), "step": rollout.step + 1, "steps": len(wanted.STEP_SHARES), "state": rollout.state, "why": rollout.why,
                "on_it": sum(seat.on == rollout.want.hash and seat.heard for seat in seats), "directors": len(seats), "behind": behind, "not_known": not_known}


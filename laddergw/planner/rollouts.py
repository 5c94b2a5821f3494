"""A planner's part of rollouts: writes a rollout's decisions to the journal, offers the file, sends its pieces, answers operators. fleet/wanted.py decides.

Only the planner that owns the journal offers files. A decision is on disk before a director learns of it; a planner that takes over continues from the
journal, with the current step of a rollout from its beginning.
"""
import hashlib
from typing import NamedTuple

import msgspec

from laddergw.fleet import answers, wanted
from laddergw.fleet.file_transfer import MAX_FILE_BYTES, PIECE_BYTES
from laddergw.fleet.state_reports import Part
from laddergw.fleet.versions import ROLLOUT_KINDS, HASH_DIGITS
from laddergw.fleet.wanted import Answers, Rollout, Want
from laddergw.planner import wire

REVIEW_INTERVAL_MS = 250.0 # directors report as often
MAX_TRANSFERS = 16         # directors that receive a file at a time: 16 pieces of 16 kB take the planner a few ms, and directors do not all check the file at once
TRANSFER_IDLE_MS = 10_000.0 # a transfer without a fetch for this long is given up and another director takes its place
encode = msgspec.msgpack.Encoder().encode


class Transfer(NamedTuple):
    """A file on its way to one director."""
    kind: str
    last_fetch_ms: float
    peer: object             # its connection: a director on a new connection gets a new offer at once


class Rollouts:
    """All rollouts of a planner, at most one of each kind. `auditor`: has the log, the journal, the floors and the way to write."""

    def __init__(self, auditor):
        self.auditor, self.loop = auditor, auditor.loop
        self.by_kind: dict[str, Rollout] = {}
        self.content: dict[str, bytes] = {}
        self.answers_at_start: dict[str, tuple[Answers, Answers]] = {} # when the rollout began or was taken over
        self.transfers: dict[str, Transfer] = {}
        self.highest_number = 0                                  # of an offer that any director reported

    def restore(self, wants: dict[str, dict]) -> None:
        """Restores the rollouts from the journal's records."""
        self.by_kind, self.content, self.transfers = {}, {}, {}
        for kind, entry in sorted(wants.items()):
            self.begin(Rollout(Want(*entry["want"]), self.loop.now, entry["step"], entry["state"], entry["why"], entry["sent"], entry["crashed"]), entry["data"])

    def begin(self, rollout: Rollout, data: bytes) -> None:
        """Makes this the rollout of its kind, with the file's content."""
        want = rollout.want
        self.by_kind[want.kind], self.content[want.kind] = rollout, data
        self.answers_at_start[want.kind] = self.auditor.fleet_log.answers(want.kind, want.hash)
        self.highest_number = max(self.highest_number, want.number)

    def write_state(self, rollout: Rollout, **extra) -> bool:
        """Writes a rollout's state, and extra fields, to the journal; False if that failed."""
        return self.auditor.try_write(lambda: self.auditor.ledger.append([encode([rollout.as_record() | extra])]))

    # Timer

    def review(self, peers) -> None:
        """Advances each rollout: a decision is written to the journal, then carried out."""
        if not self.by_kind or not self.auditor.owns_journal():
            return
        for kind, rollout in self.by_kind.items():
            before = rollout.as_record()
            base, now = self.answers_at_start[kind], self.auditor.fleet_log.answers(kind, rollout.want.hash)
            step = rollout.update(self.directors(rollout), *(Answers(*(max(0, b - a) for a, b in zip(*pair))) for pair in zip(base, now)), self.loop.now)
            if step.keep and not self.write_state(rollout):
                self.roll_back(rollout, before)
                continue
            for name in step.forbid:             # with the same checks as an operator's order
                self.auditor.forbid((kind, name))
            self.offer_file(rollout, set(step.offer), peers)

    def roll_back(self, rollout: Rollout, before: dict) -> None:
        """Restores the state before a decision that could not be written."""
        rollout.step, rollout.state, rollout.why, rollout.crashed = before["step"], before["state"], before["why"], set(before["crashed"])

    def directors(self, rollout: Rollout) -> list[wanted.ProcessProgress]:
        """The progress of each director in a rollout."""
        return self.auditor.fleet_log.progress(rollout.want.kind, rollout.want.number, self.loop.now)

    def offer_file(self, rollout: Rollout, names: set[str], peers) -> None:
        """Offers the file to the directors whose turn it is, up to MAX_TRANSFERS at a time."""
        now, want = self.loop.now, rollout.want
        connected = {peer.remote.name: peer for peer in peers if peer.remote is not None and peer.remote.role == wire.EDGE}
        self.transfers = {name: transfer for name, transfer in self.transfers.items()
                          if now - transfer.last_fetch_ms < TRANSFER_IDLE_MS and connected.get(name) is transfer.peer and (transfer.kind != want.kind or name in names)}
        for name in sorted(names & connected.keys()):
            if name not in self.transfers:
                if len(self.transfers) >= MAX_TRANSFERS:
                    return
                self.transfers[name] = Transfer(want.kind, now, connected[name])
                connected[name].send(wire.Offer(self.auditor.ledger.store.epoch, want.kind, want.number, want.hash, want.sha, want.size))

    # Directors

    def part_received(self, process: str, part: Part) -> None:
        """Notes what a director reports of offers and of its own stop."""
        self.highest_number = max(self.highest_number, part.came[0])
        if part.over:
            for rollout in self.by_kind.values():
                rollout.process_stopped(process.partition("-")[0])
        if part.came[2]:
            self.transfers.pop(process, None)

    def send_piece(self, peer, frame: wire.Fetch) -> None:
        """Sends a piece of a running rollout's file to a director that has an offer; otherwise nothing, and the director gets a new offer."""
        name, transfer = peer.remote.name, self.transfers.get(peer.remote.name)
        rollout = self.by_kind.get(transfer.kind) if transfer is not None else None
        if rollout is None or rollout.state == wanted.HALTED or frame.number != rollout.want.number or not 0 <= frame.offset < rollout.want.size or not self.auditor.owns_journal():
            return
        data = self.content[transfer.kind][frame.offset:frame.offset + PIECE_BYTES]
        self.transfers[name] = transfer._replace(last_fetch_ms=self.loop.now)
        if frame.offset + len(data) == rollout.want.size:        # written first: a director that crashes on the file twice is not sent it a third time
            rollout.record_sent(name)
            if not self.write_state(rollout):
                return
        peer.send(wire.Piece(frame.number, frame.offset, data))

    # Operators

    def answer_question(self, frame: wire.Ask) -> dict:
        """Answers an operator's order or question about the rollout of a kind."""
        if not self.auditor.owns_journal():
            return {"refused": "this planner does not keep the journal: ask the one that does"}
        kind, _, rest = frame.name.partition(" ")
        if kind not in ROLLOUT_KINDS:
            return {"refused": f"{', '.join(ROLLOUT_KINDS)} can be rolled out, not {kind[:40]!r}"}
        if frame.question == "want":
            why = self.start(kind, rest, frame)
        elif frame.question == "halt":
            why = self.halt(kind)
        else:
            why = None
        return {"refused": why} if why is not None else self.stragglers(kind)

    def start(self, kind: str, name: str, frame: wire.Ask) -> str | None:
        """Starts a rollout; returns the reason if it is refused."""
        before = self.by_kind.get(kind)
        if before is not None and before.state == wanted.GOING:
            return f"the rollout of {before.want.hash[:8]} (number {before.want.number}) goes on: halt it first"
        if not 0 < len(frame.data) <= MAX_FILE_BYTES or len(name) != HASH_DIGITS:
            return f"a file of 1 to {MAX_FILE_BYTES} bytes, not {len(frame.data)}, and the hash of its version are needed"
        if (kind, name) in self.auditor.floors.since:
            return f"{kind} {name[:8]} is forbidden: allow it first"
        want = Want(kind, wanted.next_number(self.auditor.ledger.store.epoch, self.highest_number), name, hashlib.sha256(frame.data).hexdigest(), len(frame.data), max(0.0, frame.figures.get("soak_ms", wanted.SOAK_MS)),
                    max(0.0, frame.figures.get("by_ms", 0.0)))
        rollout = Rollout(want, self.loop.now)
        if not self.write_state(rollout, data=frame.data):
            return "it could not be written"
        self.transfers = {name: transfer for name, transfer in self.transfers.items() if transfer.kind != kind}
        return self.begin(rollout, frame.data)

    def halt(self, kind: str) -> str | None:
        """Halts the rollout of a kind; returns the reason if it is refused."""
        rollout = self.by_kind.get(kind)
        if rollout is None or rollout.state == wanted.HALTED:
            return "nothing goes on"
        before = rollout.as_record()
        rollout.state, rollout.why = wanted.HALTED, "an operator said so"
        if not self.write_state(rollout):
            self.roll_back(rollout, before)
            return "it could not be written"
        return None

    def stragglers(self, kind: str) -> dict:
        """The rollout's state, and each director that does not use the wanted version, with the cause."""
        rollout, now, fleet_log = self.by_kind.get(kind), self.loop.now, self.auditor.fleet_log
        if rollout is None:
            return {"want": None, "behind": [], "not_known": answers.list_unknown(fleet_log, now)}
        directors, behind = self.directors(rollout), []
        for director in directors:
            if (cause := rollout.cause(director, now)) is not None:
                behind.append({"process": director.process, "on": director.on, "cause": cause[0], "detail": cause[1], "wants_an_eye": cause[0] in wanted.CAUSES_FOR_OPERATOR})
        not_known = answers.list_unknown(fleet_log, now)
        if self.highest_number > rollout.want.number:
            not_known.append(f"directors were offered number {self.highest_number}, the last one here is {rollout.want.number}: this journal was set back; start the rollout again")
        return {"want": rollout.want._asdict(), "step": rollout.step + 1, "steps": len(wanted.STEP_SHARES), "state": rollout.state, "why": rollout.why,
                "on_it": sum(director.on == rollout.want.hash and director.is_reporting for director in directors), "directors": len(directors), "behind": behind, "not_known": not_known}


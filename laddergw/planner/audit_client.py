"""A director's side of the fleet's audit: keeps its stand by what is in force, and stamps what it carries out. Nothing of it is on a play's way but the count.

It listens where the director tells what it decided (`watch`), where plays are let in, and where lists and plans come, so that no line of the director changes.
"""
import json
import pathlib
from functools import cache
from typing import Callable

import laddergw
from laddergw.director import frames
from laddergw.director.attempts import Attempt
from laddergw.fleet import action_counts as acts, versions
from laddergw.fleet.file_transfer import FileReceiver, Fetch, Offer
from laddergw.fleet.rights import Right
from laddergw.fleet.action_counts import ActionCounts
from laddergw.fleet.state_reports import MAX_TEXT_CHARS, Part, ReportedState
from laddergw.http.server import Exchange
from laddergw.interface import DECLINED
from laddergw.machines.admission import Rejection
from laddergw.planner import wire
from laddergw.terms.generations import flatten

CHANGES = {"limits changed": versions.LIMITS, "deployment changed": versions.DIRECTOR_FILE, "keys changed": versions.KEYS, "rules changed": versions.RULES}


@cache
def program() -> versions.Version:
    """The text of the program that runs, as it lay on the disk when it was asked for first."""
    root = pathlib.Path(laddergw.__file__).parent
    files = sorted(root.rglob("*.py"))
    return versions.version(versions.PROGRAM, [part for file in files for part in (file.relative_to(root).as_posix(), file.read_bytes())])


def limits_text(limits) -> list[str]:
    """What a version of limits is made of."""
    return [f"{key} = {value}" for key, value in flatten(limits).items()]


class AuditClient:
    """See the module. `side`: the director's line to its planners."""

    def __init__(self, side):
        self.side, self.director, self.loop, self.action_counts = side, side.director, side.loop, ActionCounts()
        self.alone_since: float | None = self.loop.now
        self.active_versions = {versions.PROGRAM: program()}
        for kind in CHANGES.values():
            self.read(kind)
        self.read_list()
        director, self.watched, self.changed = self.director, self.director.watch, self.director.fleet.on_change
        director.watch, director.fleet.on_change = self.told, self.listed
        director.pages["POST", "/v1/audit"] = self.page
        self.right = Right(director.house.without_planner, self.loop.now) if director.house.without_planner else None
        self.named: frozenset = frozenset()
        self.file_receiver, self.apply_file, self.trouble = FileReceiver(), None, ""
        if self.right is not None:
            director.closed_rejection = self.shut
        self.update_version_set()

    # What is in force

    def read(self, kind: str) -> None:
        """The version of a kind as the director has it now."""
        house = self.director.house
        if kind == versions.LIMITS:
            texts = limits_text(self.director.limits)
        elif kind == versions.DIRECTOR_FILE:
            texts = [*house.names, repr(house.deployment._replace(number=0, zone=0))]     # (what is a director's own place is no version)
        elif kind == versions.KEYS:
            texts = [part for name, secret in house.keys for part in (name, secret)] + sorted(house.retired)
        else:
            programme = getattr(self.director, "programme", None)
            if programme is None:
                return
            texts = [repr(programme)]
        self.active_versions[kind] = versions.version(kind, texts)

    def update_version_set(self) -> None:
        self.action_counts.set_in_force(versions.version_set(self.active_versions.values()), self.loop.now)
        self.named = frozenset((version.kind, version.hash) for version in self.active_versions.values())

    def read_list(self) -> None:
        entries = self.director.fleet.entries        # (a node's age goes on everywhere by itself)
        self.active_versions[versions.LIST] = versions.version(versions.LIST, [repr(entries[node]._replace(age_ms=None)) for node in sorted(entries)])

    def listed(self, lines: list, whole: bool, stopped: list) -> None:
        self.read_list()
        self.update_version_set()
        self.changed(lines, whole, stopped)

    def obeys(self, epoch: int, planner: str) -> None:
        """Plans of one planner under one epoch count as one version: two and a half come each second."""
        if (before := self.active_versions.get(versions.PLAN)) is None or (before.number, before.issuer) != (epoch, planner):
            self.active_versions[versions.PLAN] = versions.version(versions.PLAN, [str(epoch), planner], planner, epoch)
            self.update_version_set()

    # What is carried out

    def let_in(self, ply: Attempt) -> None:
        ply.version_set = self.action_counts.current_id
        self.did(ply, acts.ADMITTED)

    def did(self, ply: Attempt, action: str) -> None:
        self.action_counts.record(ply.request.key, ply.request.product, ply.version_set or self.action_counts.current_id, action, self.loop.now)

    def told(self, what: str, **facts) -> None:
        """What the director watches, stamped on its way."""
        if what == "limits refused":
            self.trouble = facts.get("first", "")[:MAX_TEXT_CHARS]
        if what in CHANGES:
            self.trouble = "" if what == "limits changed" else self.trouble
            self.read(CHANGES[what])
            self.update_version_set()
        elif (ply := self.director.attempts.get(facts.get("play"))) is not None:
            if what == "allocate":
                self.did(ply, acts.SET_UP_RETRIED if facts["number"] else acts.SET_UP)
            elif what == "answer":
                self.did(ply, acts.PLAYING if facts["answer"] == "playing" else acts.DECLINED if facts["answer"] == DECLINED else acts.FAILED)
            elif what == "ended" and ply.playing:
                self.did(ply, acts.ENDED)
        self.watched(what, **facts)
        if what == "stopping":                   # at once: one that holds no play ends with this turn
            self.side.say()

    # Rights

    def asks(self, number: int) -> None:
        if self.right is not None:
            self.right.record_request(number, self.loop.now)

    def shut(self) -> Rejection | None:
        """Why nothing is let in at this moment: viewers are declined and come again elsewhere; what plays goes on under its terms."""
        why = self.right.refusal_reason(self.named, self.loop.now)
        return None if why is None else Rejection(False, self.director.bounds.retry_after_ms * (1 + self.director.random_fraction()) / 2, why)

    # What is told

    def alone(self) -> None:
        """No planner is to be reached from now on."""
        if self.alone_since is None:
            self.alone_since = self.loop.now

    def part(self, told: ReportedState) -> Part:
        since, self.alone_since = self.alone_since, None
        return told.next_part(self.action_counts, alone_ms=0.0 if since is None else self.loop.now - since, without=self.director.house.without_planner, over=self.director.stopping,
                         zone=self.director.house.deployment.zone, takes=self.file_receiver.kinds, came=tuple(self.file_receiver.outcome), trouble=self.trouble)

    # What is brought up

    def accept_files(self, bring: Callable) -> None:
        """Limits can be brought here: `bring(data, sure, done)` checks, puts in force and keeps on the disk (limits_file.py)."""
        self.apply_file, self.file_receiver.kinds = bring, (versions.LIMITS,)

    def offered(self, peer, frame: Offer) -> None:
        before = self.file_receiver.outcome
        self.answer(peer, self.file_receiver.handle_offer(frame))
        if self.file_receiver.outcome not in (before, before._replace(number=0)) and self.file_receiver.outcome.number:
            self.director.watch("offer at odds", why=self.file_receiver.outcome.why)

    def piece(self, peer, number: int, offset: int, data: bytes) -> None:
        """A piece came; the last one: the whole is checked like any file, held against what was wanted, and in force at one moment."""
        found = self.file_receiver.handle_piece(number, offset, data)
        if not isinstance(found, bytes):
            return self.answer(peer, found)

        def done(faults: list[str]) -> None:
            self.file_receiver.finish_check(number, faults)
            self.director.watch("file brought up", number=number, refused=faults)
        return self.apply_file(found, self.not_it(self.file_receiver.offer.hash), done)

    def answer(self, peer, ask: Fetch | None) -> None:
        if ask is not None:
            peer.send(wire.Fetch(*ask))

    def not_it(self, wanted: str) -> Callable:
        """What speaks against limits that were read: they are another version than the one that is wanted."""
        def against(limits) -> str | None:
            found = versions.version(versions.LIMITS, limits_text(limits)).hash
            return None if found == wanted else f"its content is version {found[:8]}, {wanted[:8]} is wanted"
        return against

    def page(self, exchange: Exchange) -> None:
        """A play's way, by its viewer's key; without one, where this director stands."""
        try:
            asked = json.loads(exchange.body or b"{}").get("play")
        except (ValueError, AttributeError):
            return exchange.answer(400, frames.error_body("an object, with `play` or without"))
        if asked is None:
            stand = self.action_counts.version_sets[self.action_counts.current_id]
            return exchange.answer(200, frames.encode({"process": self.director.name, "stand": stand.id, "since_ms": self.action_counts.turns[-1].at_ms, "now_ms": self.loop.now,
                                                       "versions": [version._asdict() for version in stand.versions], "untold": self.action_counts.dropped}))
        way = self.action_counts.play_steps.get(asked)
        if way is None:
            return exchange.answer(404, frames.error_body("no such play among those that are remembered here"))
        return exchange.answer(200, frames.encode({"process": self.director.name, "play": asked, "now_ms": self.loop.now, "way": [step._asdict() for step in way]}))

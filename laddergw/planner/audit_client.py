"""A director's part of the fleet audit: tracks the versions that are in force there, and counts the director's actions under them. Only the counting happens while a play is served.

It wraps the director's callbacks for events (`watch`), admissions, fleet lists and plans, so that the director itself needs no code for the audit.
"""
import json
import pathlib
from functools import cache
from typing import Callable

import laddergw
from laddergw.director import frames
from laddergw.director.attempts import Attempt
from laddergw.fleet import action_counts as actions, versions
from laddergw.fleet.file_transfer import FileReceiver, Fetch, Offer
from laddergw.fleet.rights import Right
from laddergw.fleet.action_counts import ActionCounts
from laddergw.fleet.state_reports import MAX_TEXT_CHARS, Part, ReportedState
from laddergw.http.server import Exchange
from laddergw.interface import DECLINED
from laddergw.machines.admission import Rejection
from laddergw.planner import wire
from laddergw.terms.generations import flatten

VERSION_KINDS = {"limits changed": versions.LIMITS, "deployment changed": versions.DIRECTOR_FILE, "keys changed": versions.KEYS, "rules changed": versions.RULES}


@cache
def program_version() -> versions.Version:
    """The version of the running program, from its source files as they are on disk at the first call."""
    root = pathlib.Path(laddergw.__file__).parent
    files = sorted(root.rglob("*.py"))
    return versions.version(versions.PROGRAM, [part for file in files for part in (file.relative_to(root).as_posix(), file.read_bytes())])


def limits_text(limits) -> list[str]:
    """The texts from which a version of limits is computed."""
    return [f"{key} = {value}" for key, value in flatten(limits).items()]


class AuditClient:
    """The audit of one director. `client`: its PlannerClient."""

    def __init__(self, client):
        self.client, self.director, self.loop, self.action_counts = client, client.director, client.loop, ActionCounts()
        self.unreachable_since: float | None = self.loop.now
        self.active_versions = {versions.PROGRAM: program_version()}
        for kind in VERSION_KINDS.values():
            self.read_version(kind)
        self.read_fleet_list()
        director, self.next_watch, self.next_fleet_changed = self.director, self.director.watch, self.director.fleet.on_change
        director.watch, director.fleet.on_change = self.event_watched, self.fleet_changed
        director.pages["POST", "/v1/audit"] = self.page
        self.right = Right(director.house.without_planner, self.loop.now) if director.house.without_planner else None
        self.active_hashes: frozenset = frozenset()
        self.file_receiver, self.apply_file, self.limits_fault = FileReceiver(), None, ""
        if self.right is not None:
            director.closed_rejection = self.rejection
        self.update_version_set()

    # Versions in force

    def read_version(self, kind: str) -> None:
        """Computes the version of one kind as the director has it now."""
        house = self.director.house
        if kind == versions.LIMITS:
            texts = limits_text(self.director.limits)
        elif kind == versions.DIRECTOR_FILE:
            texts = [*house.names, repr(house.deployment._replace(number=0, zone=0))]     # number and zone differ between directors and are left out
        elif kind == versions.KEYS:
            texts = [part for name, secret in house.keys for part in (name, secret)] + sorted(house.retired)
        else:
            programme = getattr(self.director, "programme", None)
            if programme is None:
                return
            texts = [repr(programme)]
        self.active_versions[kind] = versions.version(kind, texts)

    def update_version_set(self) -> None:
        """Counts actions under the versions in force from now on."""
        self.action_counts.set_in_force(versions.version_set(self.active_versions.values()), self.loop.now)
        self.active_hashes = frozenset((version.kind, version.hash) for version in self.active_versions.values())

    def read_fleet_list(self) -> None:
        """Computes the version of the fleet list, without the nodes' ages, which advance on every director by themselves."""
        entries = self.director.fleet.entries
        self.active_versions[versions.LIST] = versions.version(versions.LIST, [repr(entries[node]._replace(age_ms=None)) for node in sorted(entries)])

    def fleet_changed(self, entries: list, is_complete: bool, not_ready: list) -> None:
        """Records the new fleet list, then passes the change on."""
        self.read_fleet_list()
        self.update_version_set()
        self.next_fleet_changed(entries, is_complete, not_ready)

    def plan_followed(self, epoch: int, planner: str) -> None:
        """Records the plan in force; all plans of one planner and epoch count as one version, since two and a half arrive every second."""
        if (before := self.active_versions.get(versions.PLAN)) is None or (before.number, before.issuer) != (epoch, planner):
            self.active_versions[versions.PLAN] = versions.version(versions.PLAN, [str(epoch), planner], planner, epoch)
            self.update_version_set()

    # Actions

    def play_admitted(self, attempt: Attempt) -> None:
        """Notes the version set under which a play was admitted, and counts the admission."""
        attempt.version_set = self.action_counts.current_id
        self.count_action(attempt, actions.ADMITTED)

    def count_action(self, attempt: Attempt, action: str) -> None:
        """Counts an action under the versions in force now, and those at the play's admission."""
        self.action_counts.record(attempt.request.key, attempt.request.product, attempt.version_set or self.action_counts.current_id, action, self.loop.now)

    def event_watched(self, event: str, **facts) -> None:
        """Updates versions and counts from an event of the director, then passes the event on."""
        if event == "limits refused":
            self.limits_fault = facts.get("first", "")[:MAX_TEXT_CHARS]
        if event in VERSION_KINDS:
            self.limits_fault = "" if event == "limits changed" else self.limits_fault
            self.read_version(VERSION_KINDS[event])
            self.update_version_set()
        elif (attempt := self.director.attempts.get(facts.get("play"))) is not None:
            if event == "allocate":
                self.count_action(attempt, actions.SET_UP_RETRIED if facts["number"] else actions.SET_UP)
            elif event == "answer":
                self.count_action(attempt, actions.PLAYING if facts["answer"] == "playing" else actions.DECLINED if facts["answer"] == DECLINED else actions.FAILED)
            elif event == "ended" and attempt.playing:
                self.count_action(attempt, actions.ENDED)
        self.next_watch(event, **facts)
        if event == "stopping":                  # sent at once: a director without plays exits with this turn
            self.client.send_digest()

    # The right to admit plays

    def right_requested(self, number: int) -> None:
        """A digest with this number, which asks for the right, is being sent."""
        if self.right is not None:
            self.right.record_request(number, self.loop.now)

    def rejection(self) -> Rejection | None:
        """The rejection for new plays while the director must not admit any; the viewers retry at other directors, running plays continue under their terms."""
        why = self.right.refusal_reason(self.active_hashes, self.loop.now)
        return None if why is None else Rejection(False, self.director.bounds.retry_after_ms * (1 + self.director.random_fraction()) / 2, why)

    # Reports

    def planners_unreachable(self) -> None:
        """No planner can be reached from now on."""
        if self.unreachable_since is None:
            self.unreachable_since = self.loop.now

    def report(self, reported: ReportedState) -> Part:
        """The audit part of the next digest on the connection with this state."""
        since, self.unreachable_since = self.unreachable_since, None
        return reported.next_part(self.action_counts, alone_ms=0.0 if since is None else self.loop.now - since, without=self.director.house.without_planner, over=self.director.stopping,
                         zone=self.director.house.deployment.zone, takes=self.file_receiver.kinds, came=tuple(self.file_receiver.outcome), trouble=self.limits_fault)

    # Files from planners

    def accept_files(self, apply_file: Callable) -> None:
        """Accepts files of limits: `apply_file(data, check, done)` checks one, applies it and writes it to disk (limits_file.py)."""
        self.apply_file, self.file_receiver.kinds = apply_file, (versions.LIMITS,)

    def offer_received(self, peer, frame: Offer) -> None:
        """Requests the offered file if it is needed; reports an offer that contradicts an earlier one."""
        before = self.file_receiver.outcome
        self.send_fetch(peer, self.file_receiver.handle_offer(frame))
        if self.file_receiver.outcome not in (before, before._replace(number=0)) and self.file_receiver.outcome.number:
            self.director.watch("offer at odds", why=self.file_receiver.outcome.why)

    def piece_received(self, peer, number: int, offset: int, data: bytes) -> None:
        """Adds a piece. A complete file is checked like any other and against the version that was offered, and takes effect at one moment."""
        result = self.file_receiver.handle_piece(number, offset, data)
        if not isinstance(result, bytes):
            return self.send_fetch(peer, result)

        def done(faults: list[str]) -> None:
            self.file_receiver.finish_check(number, faults)
            self.director.watch("file brought up", number=number, refused=faults)
        return self.apply_file(result, self.version_check(self.file_receiver.offer.hash), done)

    def send_fetch(self, peer, fetch: Fetch | None) -> None:
        """Requests the next piece, if one is needed."""
        if fetch is not None:
            peer.send(wire.Fetch(*fetch))

    def version_check(self, wanted: str) -> Callable:
        """A check of limits that were read: returns a fault if they are another version than the wanted one."""
        def check(limits) -> str | None:
            actual = versions.version(versions.LIMITS, limits_text(limits)).hash
            return None if actual == wanted else f"its content is version {actual[:8]}, {wanted[:8]} is wanted"
        return check

    def page(self, exchange: Exchange) -> None:
        """Answers operators: the actions of a play, found by its viewer's key; without a key, the versions in force here."""
        try:
            key = json.loads(exchange.body or b"{}").get("play")
        except (ValueError, AttributeError):
            return exchange.answer(400, frames.error_body("the body must be a JSON object, with or without `play`"))
        if key is None:
            version_set = self.action_counts.version_sets[self.action_counts.current_id]
            return exchange.answer(200, frames.encode({"process": self.director.name, "stand": version_set.id, "since_ms": self.action_counts.turns[-1].at_ms, "now_ms": self.loop.now,
                                                       "versions": [version._asdict() for version in version_set.versions], "untold": self.action_counts.dropped}))
        steps = self.action_counts.play_steps.get(key)
        if steps is None:
            return exchange.answer(404, frames.error_body("no such play among those that are remembered here"))
        return exchange.answer(200, frames.encode({"process": self.director.name, "play": key, "now_ms": self.loop.now, "way": [step._asdict() for step in steps]}))

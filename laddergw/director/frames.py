"""The codec of the director's protocols: JSON bodies and lines to plain values and calls, and back.

Wire names end here; docs/protocol.md is the page they come from. A body that makes no sense raises MalformedFrame with
the place and the reason, and nothing of it is used.
"""
import math
from typing import Any, NamedTuple

import msgspec

from laddergw import interface as face

KEY_BYTES = 128            # a viewer's play key
ROUTE_BYTES = 1_024       # of a route: an address with its query
NODES_MOST = 100_000       # lines in one list frame
MOST_ID = 2 ** 53          # whole numbers that every JSON reader keeps
WHOLE, CHANGES, ALIVE = "whole", "changes", "alive"
STATES = (face.READY, face.DRAINING, face.GONE)
NOTES = (face.DELIVERED, face.LINK_DEMAND, face.UPLINK_DEMAND)
FINISHED, BROKEN, LEASE = "finished", "broken", "lease"    # how a node says that an allocation ended
MISSING = object()

encode = msgspec.json.Encoder().encode
decoder = msgspec.json.Decoder(dict)


class MalformedFrame(Exception):
    """A body or line that cannot be used; the text names the place and the reason."""


class Request(NamedTuple):
    """What a viewer asks: its own key, the play's facts, and what it brings from earlier tries."""
    key: str
    product: str
    title: int
    home: float
    copies: float
    ceiling: float
    length_ms: float | None
    wait_ms: float
    token: str | None
    unsettled_ms: float     # so long may an earlier try still hold an allocation
    route: str              # by which the operators' file finds its terms


class NodeEntry(NamedTuple):
    """One node of a fleet list, with what only the wire needs beside the module's line."""
    node: int
    cell: int
    weight: float
    state: str
    incarnation: int
    age_ms: float | None    # of its process; None: long ago
    kind: int
    zone: int
    address: tuple[str, int]


def body_of(data: bytes, what: str) -> dict:
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedFrame(f"{what}: not a JSON object: {error}") from None


def number(frame: dict, key: str, what: str, default: Any = MISSING, low: float = 0.0, high: float = 1e15) -> float:
    value = frame.get(key, MISSING)
    if value is MISSING or value is None and default is not MISSING:
        if default is MISSING:
            raise MalformedFrame(f"{what}: {key} is missing")
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise MalformedFrame(f"{what}: {key} is not a number: {str(value)[:40]}")
    if not low <= value <= high:
        raise MalformedFrame(f"{what}: {key} is {value}, from {low:g} to {high:g} is taken")
    return value


def whole(frame: dict, key: str, what: str, default: Any = MISSING, low: int = 0, high: int = MOST_ID) -> int:
    value = number(frame, key, what, default, low, high)
    if value is not default and not isinstance(value, int):
        raise MalformedFrame(f"{what}: {key} is not a whole number: {value}")
    return value


def word(frame: dict, key: str, what: str, default: Any = MISSING, most: int = KEY_BYTES, among: tuple = ()) -> str:
    value = frame.get(key, default)
    if value is MISSING:
        raise MalformedFrame(f"{what}: {key} is missing")
    if value is default and value is None:
        return value
    if not isinstance(value, str) or not value or len(value) > most:
        raise MalformedFrame(f"{what}: {key} is not a word of 1 to {most} characters")
    if among and value not in among:
        raise MalformedFrame(f"{what}: {key} is {value!r}, not one of {', '.join(among)}")
    return value


def rows(frame: dict, key: str, what: str, size: int | None = None) -> list:
    value = frame.get(key, [])
    if not isinstance(value, list) or size is not None and any(
            not isinstance(row, list) or len(row) != size for row in value):
        raise MalformedFrame(f"{what}: {key} is not a list" + (f" of rows of {size}" if size else ""))
    return value


# Viewers and the director

def read_request(data: bytes) -> Request:
    frame, what = body_of(data, "play request"), "play request"
    return Request(
        word(frame, "key", what), word(frame, "product", what), whole(frame, "title", what),
        number(frame, "home", what, 0.0, 0, 1e6), number(frame, "copies", what, 0.0, 0, 1e6),
        number(frame, "ceiling", what, 1e3, 0, 1e6), number(frame, "length_ms", what, None, 1, 1e9),
        number(frame, "wait_ms", what, low=1, high=600_000), word(frame, "token", what, None, 1_024),
        number(frame, "unsettled_ms", what, 0.0, 0, 600_000), word(frame, "route", what, "/", ROUTE_BYTES))


def read_resume(frame: dict) -> tuple[float, bool]:
    """Where a session's viewer goes on: programme time that it has seen, ms, and whether an item was cut short there."""
    found, what = frame.get("resume"), "session request: resume"
    if found is None:
        return 0.0, False
    if not isinstance(found, dict) or not isinstance(found.get("cut", False), bool):
        raise MalformedFrame(f"{what} is not {{from_ms, cut}}")
    return number(found, "from_ms", what, low=0, high=1e9), found.get("cut", False)


def playing(token: str, node: int, address: tuple, allocation: str, rung: int, rate: float) -> bytes:
    return encode({"answer": "playing", "token": token, "node": node, "address": list(address), "allocation": allocation,
                   "rung": rung, "rate_kb": rate}) + b"\n"


def not_playing(answer: str, token: str, retry_ms: float | None, reason: str = "") -> bytes:
    frame: dict = {"answer": answer, "token": token}
    if retry_ms is not None:
        frame["retry_ms"] = round(retry_ms, 3)
    if reason:
        frame["reason"] = reason
    return encode(frame) + b"\n"


def event(what: str, **facts) -> bytes:
    return encode({"event": what, **facts}) + b"\n"


def error_body(text: str) -> bytes:
    return encode({"error": text}) + b"\n"


# The director and its nodes

def set_up(session: str, allocation: str, play: str, product: str, title: int, rung: int, rate: float, until: float,
           length_ms: float | None) -> bytes:
    return encode({"session": session, "allocation": allocation, "play": play, "product": product, "title": title,
                   "rung": rung, "rate_kb": rate, "until": round(until, 3), "length_ms": length_ms})


def keep(session: str, until: float, confirm: list, release: list, rungs: list) -> bytes:
    return encode({"session": session, "until": round(until, 3), "confirm": confirm, "release": release, "rungs": rungs})


def read_report(frame: dict, names: tuple, what: str) -> tuple:
    """The load report in an answer, in the order of the deployment's names; () where there is none. A value that is
    no number becomes infinite, which the module takes for no word."""
    report = frame.get("report")
    if not isinstance(report, dict):
        return ()
    return tuple(float(v) if isinstance(v := report.get(name), (int, float)) and not isinstance(v, bool) else math.inf
                 for name in names)


def read_set_up_answer(data: bytes, names: tuple) -> tuple[tuple, list]:
    """The report and the notes (kind, value) that come with a node's answer."""
    frame, what = body_of(data, "set-up answer"), "set-up answer"
    return read_report(frame, names, what), [read_note(row, what, 0) for row in rows(frame, "notes", what, 2)]


def read_probe_answer(data: bytes, names: tuple) -> tuple:
    """The report in a node's answer to a probe."""
    return read_report(body_of(data, "probe answer"), names, "probe answer")


def read_note(row: list, what: str, at: int) -> tuple[str, float]:
    kind, value = row[at], row[at + 1]
    if kind not in NOTES or isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedFrame(f"{what}: a note of {str(kind)[:20]!r}, {str(value)[:20]!r}")
    return kind, float(value)


class NoteLine(NamedTuple):
    """One line of a node's long answer."""
    session: str | None
    clock: float | None
    notes: list             # (allocation or None, kind, value)
    ended: list             # (allocation, how)


def read_notes(line: bytes) -> NoteLine:
    frame, what = body_of(line, "notes line"), "notes line"
    ended = [(str(row[0]), str(row[1])) for row in rows(frame, "ended", what, 2)]
    for _, how in ended:
        if how not in (FINISHED, BROKEN, LEASE):
            raise MalformedFrame(f"{what}: an allocation ended as {how[:20]!r}")
    notes = [(row[0] if isinstance(row[0], str) else None, *read_note(row, what, 1)) for row in rows(frame, "notes", what, 3)]
    return NoteLine(word(frame, "session", what, None), number(frame, "clock", what, None), notes, ended)


def read_keep_answer(data: bytes) -> tuple[dict, list]:
    """What a keep brought: released allocations (whether they ran), and those that the node does not hold."""
    frame, what = body_of(data, "keep answer"), "keep answer"
    released = {str(row[0]): bool(row[1]) for row in rows(frame, "released", what, 2)}
    return released, [str(name) for name in rows(frame, "unknown", what)]


# The fleet list

def read_list(line: bytes) -> tuple[str, int, list[NodeEntry]]:
    """(form, version, entries) of one frame of the list stream."""
    frame, what = body_of(line, "list frame"), "list frame"
    form = word(frame, "form", what, among=(WHOLE, CHANGES, ALIVE))
    entries, seen = rows(frame, "nodes", what), set()
    if len(entries) > NODES_MOST:
        raise MalformedFrame(f"{what}: {len(entries)} nodes, {NODES_MOST} at most")
    found = []
    for index, entry in enumerate(entries):
        found.append(read_entry(entry, f"{what}, node {index}"))
        if found[-1].node in seen:
            raise MalformedFrame(f"{what}, node {index}: {found[-1].node} stands twice")
        seen.add(found[-1].node)
    return form, whole(frame, "version", what, 0), found


def read_entry(entry: Any, what: str) -> NodeEntry:
    if not isinstance(entry, dict):
        raise MalformedFrame(f"{what}: not an object")
    address = entry.get("address")
    if (not isinstance(address, list) or len(address) != 2 or not isinstance(address[0], str)
            or isinstance(address[1], bool) or not isinstance(address[1], int) or not 0 < address[1] < 65_536):
        raise MalformedFrame(f"{what}: address is not [host, port]")
    return NodeEntry(
        whole(entry, "node", what), whole(entry, "cell", what, 0, 0, 1_000_000), number(entry, "weight", what, 1.0, 0, 1e9),
        word(entry, "state", what, among=STATES), whole(entry, "incarnation", what, 0),
        number(entry, "age_ms", what, None, 0, 1e12), whole(entry, "kind", what, 0, 0, 10_000),
        whole(entry, "zone", what, 0, 0, 10_000), (address[0], address[1]))


def list_frame(form: str, version: int, entries: list[NodeEntry]) -> bytes:
    return encode({"form": form, "version": version, "nodes": [dict(entry._asdict(), address=list(entry.address))
                                                               for entry in entries]}) + b"\n"

"""The codec of the director's protocols: decodes JSON bodies and lines, and encodes answers.

No other module knows the names on the wire, which docs/protocol.md defines. A malformed body raises MalformedFrame with
the place and the reason, and nothing of it is used.
"""
import math
from typing import Any, NamedTuple

import msgspec

from laddergw import interface

MAX_KEY_LENGTH = 128       # of a viewer's play key, characters
MAX_ROUTE_LENGTH = 1_024   # of a route, an address with its query, characters
MAX_LIST_ENTRIES = 100_000
MAX_INTEGER = 2 ** 53      # every JSON parser keeps integers up to this exactly
WHOLE, CHANGES, ALIVE = "whole", "changes", "alive"
STATES = (interface.READY, interface.DRAINING, interface.GONE)
NOTES = (interface.DELIVERED, interface.LINK_DEMAND, interface.UPLINK_DEMAND)
FINISHED, BROKEN, LEASE = "finished", "broken", "lease"    # ends of an allocation, as nodes report them
MISSING = object()

encode = msgspec.json.Encoder().encode
decoder = msgspec.json.Decoder(dict)


class MalformedFrame(Exception):
    """A body or line that cannot be used; the message names the place and the reason."""


class Request(NamedTuple):
    """A viewer's request: its own key, what it wants to play, and what it tells of earlier attempts."""
    key: str
    product: str
    title: int
    home: float
    copies: float
    ceiling: float
    length_ms: float | None
    wait_ms: float
    token: str | None
    unsettled_ms: float     # an earlier attempt may still hold an allocation for so long
    route: str              # selects the terms in the operators' file


class NodeEntry(NamedTuple):
    """One node of a fleet list: interface.NodeEntry with what only the wire needs."""
    node: int
    cell: int
    weight: float
    state: str
    incarnation: int
    age_ms: float | None    # of its process; None: started long ago
    kind: int
    zone: int
    address: tuple[str, int]


def body_of(data: bytes, context: str) -> dict:
    """Decodes a JSON object; `context` names it in errors, here and in the functions below."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedFrame(f"{context}: not a JSON object: {error}") from None


def read_number(frame: dict, key: str, context: str, default: Any = MISSING, low: float = 0.0, high: float = 1e15) -> float:
    """A finite number between `low` and `high`; `default` if it is missing or null, an error if there is no default."""
    value = frame.get(key, MISSING)
    if value is MISSING or value is None and default is not MISSING:
        if default is MISSING:
            raise MalformedFrame(f"{context}: {key} is missing")
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise MalformedFrame(f"{context}: {key} is not a number: {str(value)[:40]}")
    if not low <= value <= high:
        raise MalformedFrame(f"{context}: {key} is {value}, outside {low:g} to {high:g}")
    return value


def read_integer(frame: dict, key: str, context: str, default: Any = MISSING, low: int = 0, high: int = MAX_INTEGER) -> int:
    """As read_number, an integer."""
    value = read_number(frame, key, context, default, low, high)
    if value is not default and not isinstance(value, int):
        raise MalformedFrame(f"{context}: {key} is not an integer: {value}")
    return value


def read_text(frame: dict, key: str, context: str, default: Any = MISSING, max_length: int = MAX_KEY_LENGTH, choices: tuple = ()) -> str:
    """A string that is not empty, one of `choices` if there are any."""
    value = frame.get(key, default)
    if value is MISSING:
        raise MalformedFrame(f"{context}: {key} is missing")
    if value is default and value is None:
        return value
    if not isinstance(value, str) or not value or len(value) > max_length:
        raise MalformedFrame(f"{context}: {key} is not a string of 1 to {max_length} characters")
    if choices and value not in choices:
        raise MalformedFrame(f"{context}: {key} is {value!r}, not one of {', '.join(choices)}")
    return value


def read_rows(frame: dict, key: str, context: str, size: int | None = None) -> list:
    """A list, empty if it is missing; with `size`, of lists of that length."""
    value = frame.get(key, [])
    if not isinstance(value, list) or size is not None and any(not isinstance(row, list) or len(row) != size for row in value):
        raise MalformedFrame(f"{context}: {key} is not a list" + (f" of rows of {size}" if size else ""))
    return value


# Viewers and the director
def read_request(data: bytes) -> Request:
    """Decodes a viewer's request for a play."""
    frame, context = body_of(data, "play request"), "play request"
    return Request(
        read_text(frame, "key", context), read_text(frame, "product", context), read_integer(frame, "title", context),
        read_number(frame, "home", context, 0.0, 0, 1e6), read_number(frame, "copies", context, 0.0, 0, 1e6),
        read_number(frame, "ceiling", context, 1e3, 0, 1e6), read_number(frame, "length_ms", context, None, 1, 1e9),
        read_number(frame, "wait_ms", context, low=1, high=600_000), read_text(frame, "token", context, None, 1_024),
        read_number(frame, "unsettled_ms", context, 0.0, 0, 600_000), read_text(frame, "route", context, "/", MAX_ROUTE_LENGTH))


def read_resume(frame: dict) -> tuple[float, bool]:
    """Where a session resumes: programme time that its viewer has seen, ms, and whether an item was cut off there."""
    found, context = frame.get("resume"), "session request: resume"
    if found is None:
        return 0.0, False
    if not isinstance(found, dict) or not isinstance(found.get("cut", False), bool):
        raise MalformedFrame(f"{context} is not {{from_ms, cut}}")
    return read_number(found, "from_ms", context, low=0, high=1e9), found.get("cut", False)


def playing(token: str, node: int, address: tuple, allocation: str, rung: int, rate: float) -> bytes:
    return encode({"answer": "playing", "token": token, "node": node, "address": list(address), "allocation": allocation, "rung": rung, "rate_kb": rate}) + b"\n"


def not_playing(answer: str, token: str, retry_ms: float | None, reason: str = "") -> bytes:
    frame: dict = {"answer": answer, "token": token}
    if retry_ms is not None:
        frame["retry_ms"] = round(retry_ms, 3)
    if reason:
        frame["reason"] = reason
    return encode(frame) + b"\n"


def event(name: str, **facts) -> bytes:
    return encode({"event": name, **facts}) + b"\n"


def error_body(text: str) -> bytes:
    return encode({"error": text}) + b"\n"


# The director and its nodes
def set_up(session: str, allocation: str, play: str, product: str, title: int, rung: int, rate: float, until: float, length_ms: float | None) -> bytes:
    return encode({"session": session, "allocation": allocation, "play": play, "product": product, "title": title, "rung": rung, "rate_kb": rate, "until": round(until, 3), "length_ms": length_ms})


def keep(session: str, until: float, confirm: list, release: list, rungs: list) -> bytes:
    """A keep: renews the session's lease until `until` by the node's clock; `rungs`: (allocation, rung, kB/s)."""
    return encode({"session": session, "until": round(until, 3), "confirm": confirm, "release": release, "rungs": rungs})


def read_report(frame: dict, names: tuple, context: str) -> tuple:
    """The load report in an answer, in the order of the deployment's names; () if there is none. A value that is not
    a number becomes infinite, which the controller takes for no report."""
    report = frame.get("report")
    if not isinstance(report, dict):
        return ()
    return tuple(float(v) if isinstance(v := report.get(name), (int, float)) and not isinstance(v, bool) else math.inf
                 for name in names)


def read_set_up_answer(data: bytes, names: tuple) -> tuple[tuple, list]:
    """The load report and the notes (kind, value) in a node's answer."""
    frame, context = body_of(data, "set-up answer"), "set-up answer"
    return read_report(frame, names, context), [read_note(row, context, 0) for row in read_rows(frame, "notes", context, 2)]


def read_probe_answer(data: bytes, names: tuple) -> tuple:
    """The load report in a node's answer to a probe."""
    return read_report(body_of(data, "probe answer"), names, "probe answer")


def read_note(row: list, context: str, index: int) -> tuple[str, float]:
    kind, value = row[index], row[index + 1]
    if kind not in NOTES or isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedFrame(f"{context}: invalid note {str(kind)[:20]!r}, {str(value)[:20]!r}")
    return kind, float(value)


class NoteLine(NamedTuple):
    """One line of a node's stream of notes."""
    session: str | None
    clock: float | None
    notes: list             # (allocation or None, kind, value)
    ended: list             # (allocation, how)


def read_notes(line: bytes) -> NoteLine:
    """Decodes one line of a node's stream of notes."""
    frame, context = body_of(line, "notes line"), "notes line"
    ended = [(str(row[0]), str(row[1])) for row in read_rows(frame, "ended", context, 2)]
    for _, how in ended:
        if how not in (FINISHED, BROKEN, LEASE):
            raise MalformedFrame(f"{context}: unknown end of an allocation {how[:20]!r}")
    notes = [(row[0] if isinstance(row[0], str) else None, *read_note(row, context, 1)) for row in read_rows(frame, "notes", context, 3)]
    return NoteLine(read_text(frame, "session", context, None), read_number(frame, "clock", context, None), notes, ended)


def read_keep_answer(data: bytes) -> tuple[dict, list]:
    """The answer to a keep: released allocations (and whether each ran), and allocations that the node does not hold."""
    frame, context = body_of(data, "keep answer"), "keep answer"
    released = {str(row[0]): bool(row[1]) for row in read_rows(frame, "released", context, 2)}
    return released, [str(name) for name in read_rows(frame, "unknown", context)]


# The fleet list
def read_list(line: bytes) -> tuple[str, int, list[NodeEntry]]:
    """Returns (form, version, entries) of one frame of the list stream."""
    frame, context = body_of(line, "list frame"), "list frame"
    form = read_text(frame, "form", context, choices=(WHOLE, CHANGES, ALIVE))
    entries, seen = read_rows(frame, "nodes", context), set()
    if len(entries) > MAX_LIST_ENTRIES:
        raise MalformedFrame(f"{context}: {len(entries)} nodes, {MAX_LIST_ENTRIES} at most")
    found = []
    for index, entry in enumerate(entries):
        found.append(read_entry(entry, f"{context}, node {index}"))
        if found[-1].node in seen:
            raise MalformedFrame(f"{context}, node {index}: {found[-1].node} is listed twice")
        seen.add(found[-1].node)
    return form, read_integer(frame, "version", context, 0), found


def read_entry(entry: Any, context: str) -> NodeEntry:
    if not isinstance(entry, dict):
        raise MalformedFrame(f"{context}: not an object")
    address = entry.get("address")
    if (not isinstance(address, list) or len(address) != 2 or not isinstance(address[0], str)
            or isinstance(address[1], bool) or not isinstance(address[1], int) or not 0 < address[1] < 65_536):
        raise MalformedFrame(f"{context}: address is not [host, port]")
    return NodeEntry(
        read_integer(entry, "node", context), read_integer(entry, "cell", context, 0, 0, 1_000_000), read_number(entry, "weight", context, 1.0, 0, 1e9),
        read_text(entry, "state", context, choices=STATES), read_integer(entry, "incarnation", context, 0),
        read_number(entry, "age_ms", context, None, 0, 1e12), read_integer(entry, "kind", context, 0, 0, 10_000),
        read_integer(entry, "zone", context, 0, 0, 10_000), (address[0], address[1]))


def list_frame(form: str, version: int, entries: list[NodeEntry]) -> bytes:
    return encode({"form": form, "version": version, "nodes": [dict(entry._asdict(), address=list(entry.address)) for entry in entries]}) + b"\n"

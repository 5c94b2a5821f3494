"""The change log:

`since N`, then events as JSON lines in order and, each second, the last number alone.
"""

import json
from typing import Any, NamedTuple

# One line may hold the complete list of some ten thousand nodes
MAX_LINE_BYTES = 4 * 1024 * 1024
NODE_STATES = ("SERVING", "DRAINING", "DELETED")


class MalformedError(Exception):
    """A line that is no event; the connection is begun again from the last good one."""


class Member(NamedTuple):
    """One media node of an event. `since` is the Unix millisecond of a late start, or 0."""

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    since: float


class Event(NamedTuple):
    """`members` is None where a line tells the last number alone."""

    number: int
    is_complete: bool
    members: tuple[Member, ...] | None


def since_request(number: int) -> bytes:
    return b"since %d\n" % number


def parse_member(fields: Any) -> Member:
    try:
        host, _, port = fields["host_port"].rpartition(":")
        found = Member(
            str(fields["id"]),
            host,
            int(port),
            str(fields.get("locality", "")),
            str(fields.get("flavor", "")),
            int(fields["cell"]),
            fields["phase"],
            float(fields.get("size", 1.0)),
            float(fields.get("up_since_ms") or 0),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise MalformedError(f"a member that makes no sense: {error!r}") from None
    if (
        found.state not in NODE_STATES
        or not 0 < found.port < 65536
        or not (host and found.id)
        or found.cell < 0
    ):
        raise MalformedError(f"a member that makes no sense: {found}")
    if not 0 <= found.weight < 1e9 or not 0 <= found.since < 1e15:
        raise MalformedError(f"a member that makes no sense: {found}")
    return found


def parse_event(value: Any) -> Event:
    if isinstance(value, dict) and set(value) == {"seq"}:
        value = value["seq"]
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return Event(value, False, None)
    try:
        number, fleet = value["seq"], value["fleet"]
        members, is_complete = fleet["members"], fleet["complete"]
    except (KeyError, TypeError):
        raise MalformedError("an event without its parts") from None
    if (
        not isinstance(number, int)
        or isinstance(number, bool)
        or number < 1
        or not isinstance(members, list)
    ):
        raise MalformedError("an event that makes no sense")
    return Event(number, is_complete is True, tuple(map(parse_member, members)))


def parse_line(line: bytes) -> Event:
    try:
        return parse_event(json.loads(line))
    except (ValueError, RecursionError):
        raise MalformedError(f"a line that is no event: {line[:60]!r}") from None


def parse_initial_events(value: Any) -> list[Event]:
    """The events of the start, from a director's configuration."""
    try:
        last, results = value["seq"], value["results"]
    except (KeyError, TypeError):
        raise MalformedError("no events of the start") from None
    if not isinstance(last, int) or not isinstance(results, list):
        raise MalformedError("events of the start that make no sense")
    events = [event for event in map(parse_event, results) if event.members is not None]
    return sorted(events, key=lambda event: event.number)


class Reader:
    """Takes bytes as they come and hands out events."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> Event | None:
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end]).strip()
            del self.buffer[: end + 1]
            if line:
                return parse_line(line)
        if len(self.buffer) > MAX_LINE_BYTES:
            raise MalformedError("a line without an end")
        return None

"""Codec of the change log of media nodes.

The client sends `since N`; the server then sends the events after N in order as JSON lines and,
each second, the last number alone.
"""

import json
from typing import Any, NamedTuple

# One line may hold the complete list of some ten thousand nodes
MAX_LINE_BYTES = 4 * 1024 * 1024
NODE_STATES = ("SERVING", "DRAINING", "DELETED")


class MalformedError(Exception):
    """A line that is not an event.

    The client connects again and continues after the last valid event.
    """


class Member(NamedTuple):
    """One media node of an event; `since` is the Unix time of a late start in ms, or 0."""

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
    """One event; `members` is None where a line holds the last number alone."""

    number: int
    is_complete: bool
    members: tuple[Member, ...] | None


def since_request(number: int) -> bytes:
    """Encodes the request for the events after a number."""
    return b"since %d\n" % number


def parse_member(fields: Any) -> Member:
    """Reads one member of an event; raises MalformedError."""
    try:
        host, _, port = fields["host_port"].rpartition(":")
        member = Member(
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
        raise MalformedError(f"invalid member: {error!r}") from None
    if (
        member.state not in NODE_STATES
        or not 0 < member.port < 65536
        or not (host and member.id)
        or member.cell < 0
    ):
        raise MalformedError(f"invalid member: {member}")
    if not 0 <= member.weight < 1e9 or not 0 <= member.since < 1e15:
        raise MalformedError(f"invalid member: {member}")
    return member


def parse_event(value: Any) -> Event:
    """Reads an event from decoded JSON; raises MalformedError."""
    if isinstance(value, dict) and set(value) == {"seq"}:
        value = value["seq"]
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return Event(value, False, None)
    try:
        number, fleet = value["seq"], value["fleet"]
        members, is_complete = fleet["members"], fleet["complete"]
    except (KeyError, TypeError):
        raise MalformedError("event lacks its number, fleet, members or completeness") from None
    if (
        not isinstance(number, int)
        or isinstance(number, bool)
        or number < 1
        or not isinstance(members, list)
    ):
        raise MalformedError("event has an invalid number or member list")
    return Event(number, is_complete is True, tuple(map(parse_member, members)))


def parse_line(line: bytes) -> Event:
    """Reads an event from one line; raises MalformedError."""
    try:
        return parse_event(json.loads(line))
    except (ValueError, RecursionError):
        raise MalformedError(f"line is no JSON event: {line[:60]!r}") from None


def parse_initial_events(value: Any) -> list[Event]:
    """Reads the initial events from a director's configuration, in the order of their numbers.

    Raises MalformedError.
    """
    try:
        last, results = value["seq"], value["results"]
    except (KeyError, TypeError):
        raise MalformedError("initial events lack their last number or results") from None
    if not isinstance(last, int) or not isinstance(results, list):
        raise MalformedError("initial events have an invalid last number or results")
    events = [event for event in map(parse_event, results) if event.members is not None]
    return sorted(events, key=lambda event: event.number)


class Reader:
    """Takes bytes as they arrive and returns events."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Adds bytes that have arrived."""
        self.buffer += data

    def next(self) -> Event | None:
        """Returns the next event, or None while its line is incomplete; raises MalformedError."""
        while (end := self.buffer.find(b"\n")) >= 0:
            line = bytes(self.buffer[:end]).strip()
            del self.buffer[: end + 1]
            if line:
                return parse_line(line)
        if len(self.buffer) > MAX_LINE_BYTES:
            raise MalformedError("line exceeds the maximum length")
        return None

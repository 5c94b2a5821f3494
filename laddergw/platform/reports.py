"""What media nodes report of their load: reports on answers, notes on plays. Does no I/O."""

from collections.abc import Sequence

from laddergw import interface
from laddergw.platform import requests
from laddergw.signalling import rtsp

# The kinds of notes by their names on the wire.
NOTE_KINDS = {
    "got": interface.DELIVERED,
    "level": interface.RUNG_CHANGED,
    "port": interface.LINK_DEMAND,
    "spine": interface.UPLINK_DEMAND,
}


def parse_load_report(message: rtsp.Message, names: Sequence[str]) -> tuple[float, ...]:
    """The load report of a message, its values in the order of `names`, or an empty tuple.

    A report that lacks one of the values, or has no value that is a number, counts as none.
    """
    values = {}
    for field in message.headers.get("x-state", "").split(";"):
        name, _, text = field.partition(":")
        if requests.NUMBER_PATTERN.fullmatch(text):
            values[name] = float(text)
    if not values or any(name not in values for name in names):
        return ()
    return tuple(values[name] for name in names)

"""Messages between directors: bytes to plain values and back. Knows the layout only.

A version, the count of node entries, those (node u32, what is asked of its link in hundredths u8), then the entries
of uplinks (rack u16, share delivered in hundredths u8) to the message's end.
"""
import struct

VERSION, MAX_MESSAGE_BYTES = 1, 256
HEADER, NODE_ENTRY, UPLINK_ENTRY = struct.Struct("<BB"), struct.Struct("<IB"), struct.Struct("<HB")


class MalformedMessage(Exception):
    """A message that cannot be read; the text says why."""


def hundredths(value):
    """Returns a share in hundredths, as far as a byte holds it."""
    return max(0, min(255, round(value * 100)))


def pack(loads, shares):
    """Returns one message or more, each within the size limit, of (node, load) and (rack, share) pairs."""
    items = [(NODE_ENTRY, *item) for item in loads] + [(UPLINK_ENTRY, *item) for item in shares]
    messages = []
    while items:
        entries, size = [], HEADER.size
        while items and size + items[0][0].size <= MAX_MESSAGE_BYTES:
            entries.append(items.pop(0))
            size += entries[-1][0].size
        nodes = sum(layout is NODE_ENTRY for layout, _, _ in entries)
        messages.append(HEADER.pack(VERSION, nodes) + b"".join(layout.pack(key, hundredths(value)) for layout, key, value in entries))
    return messages


def unpack(data):
    """Returns the (node, load) and the (rack, share) pairs of a message; raises MalformedMessage."""
    if len(data) < HEADER.size or data[0] != VERSION:
        raise MalformedMessage(f"message of {len(data)} bytes: no version {VERSION}")
    split = HEADER.size + data[1] * NODE_ENTRY.size
    if split > len(data) or (len(data) - split) % UPLINK_ENTRY.size:
        raise MalformedMessage(f"message of {len(data)} bytes does not hold {data[1]} nodes and whole racks")
    return ([(node, value / 100) for node, value in NODE_ENTRY.iter_unpack(data[HEADER.size:split])],
            [(rack, value / 100) for rack, value in UPLINK_ENTRY.iter_unpack(data[split:])])

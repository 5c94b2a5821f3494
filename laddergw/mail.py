"""Messages between directors: bytes to plain values and back. Knows the layout only.

A version, the count of node lines, those (node u32, what is asked of its link in hundredths u8), then the lines
of uplinks (rack u16, share delivered in hundredths u8) to the message's end.
"""
import struct

VERSION, MOST = 1, 256                  # bytes of a message at most
HEAD, NODE, RACK = struct.Struct("<BB"), struct.Struct("<IB"), struct.Struct("<HB")


class Malformed(Exception):
    """A message that cannot be read; the text says why."""


def hundredths(value):
    return max(0, min(255, round(value * 100)))


def pack(loads, shares):
    """One message or more, each within the size limit."""
    items = [(NODE, *item) for item in loads] + [(RACK, *item) for item in shares]
    messages = []
    while items:
        lines, size = [], HEAD.size
        while items and size + items[0][0].size <= MOST:
            lines.append(items.pop(0))
            size += lines[-1][0].size
        nodes = sum(form is NODE for form, _, _ in lines)
        messages.append(HEAD.pack(VERSION, nodes) + b"".join(form.pack(key, hundredths(v)) for form, key, v in lines))
    return messages


def unpack(data):
    """(node, asked) and (rack, share) lines of a message."""
    if len(data) < HEAD.size or data[0] != VERSION:
        raise Malformed(f"message of {len(data)} bytes: no version {VERSION}")
    split = HEAD.size + data[1] * NODE.size
    if split > len(data) or (len(data) - split) % RACK.size:
        raise Malformed(f"message of {len(data)} bytes does not hold {data[1]} nodes and whole racks")
    return ([(node, v / 100) for node, v in NODE.iter_unpack(data[HEAD.size:split])],
            [(rack, v / 100) for rack, v in RACK.iter_unpack(data[split:])])

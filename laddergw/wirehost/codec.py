"""Frames of the bench's wire: bytes to tuples and back. Knows layouts only."""
import struct


class MalformedBatch(Exception):
    """A frame that cannot be read; the text names what and at which offset."""


(POWER_ON, REGISTRY, REQUEST, STARTED, REPLY, HANGUP, ALARM, ECHO, MAIL, KILLED, INHERITED, INTERIM,
 PAGE) = range(13)
SET_RATE, BAIL_OUT, PUSH_BACK, REASSIGN, FAIL, DELIVER, INSPECT, TRACK, AFTER, BROADCAST_TO, REMARK = 0, 1, 2, 4, 6, 8, 9, 10, 11, 12, 13

HEAD = struct.Struct("<IQII")
REPLY_HEAD = struct.Struct("<II")
ENTRY = struct.Struct("<HfBQBBI")
FIXED = {code: struct.Struct(form) for code, form in {
    POWER_ON: "<IQI", REGISTRY: "<IBII", REQUEST: "<IQIHQfHffQHI", STARTED: "<IQBII", REPLY: "<IQBIIHBB",
    HANGUP: "<IQ", ALARM: "<II", ECHO: "<IIIHB", MAIL: "<IIH", KILLED: "<I", INHERITED: "<IQHHQQIIfffHI",
    INTERIM: "<IQIBBf", PAGE: "<II"}.items()}
TAIL = {POWER_ON: 1, MAIL: 1, REPLY: 4, ECHO: 4, PAGE: ENTRY.size}   # bytes for each counted item
ACTIONS = {code: struct.Struct(form) for code, form in {
    SET_RATE: "<BIQB", BAIL_OUT: "<BIH", PUSH_BACK: "<BIQI", REASSIGN: "<BIQ", FAIL: "<BIQ",
    DELIVER: "<BIQII", INSPECT: "<BII", TRACK: "<BIB", AFTER: "<BIII", REMARK: "<BIH",
    BROADCAST_TO: "<BIIH"}.items()}


def read_exactly(stream, size, what, offset):
    data = b""
    while len(data) < size:
        part = stream.read(size - len(data))
        if not part:
            raise MalformedBatch(f"{what}: input ends at offset {offset + len(data)}, {size - len(data)} bytes short")
        data += part
    return data


def read_batch(stream, offset=0):
    """The next batch as (number, clock in us, records, bytes read), or None at the end of input."""
    first = stream.read(1)
    if not first:
        return None
    number, clock, length, count = HEAD.unpack(first + read_exactly(stream, HEAD.size - 1, "batch header", offset + 1))
    if length < 4:
        raise MalformedBatch(f"batch header: length {length} at offset {offset + 12} is under 4")
    body = read_exactly(stream, length - 4, f"batch {number}", offset + HEAD.size)
    return number, clock, records(body, count, offset + HEAD.size), HEAD.size + len(body)


def records(body, count, base):
    """The records of a batch: (code, fixed fields, counted tail)."""
    found, at = [], 0
    for index in range(count):
        if at >= len(body):
            raise MalformedBatch(f"record {index} of {count}: missing at offset {base + at}")
        code = body[at]
        form = FIXED.get(code)
        if form is None:
            raise MalformedBatch(f"record {index}: unknown code {code} at offset {base + at}")
        end = at + 1 + form.size
        if end > len(body):
            raise MalformedBatch(f"record {index} (code {code}): cut off at offset {base + at}")
        fields, tail = form.unpack_from(body, at + 1), None
        if code in TAIL:
            begin, end = end, end + TAIL[code] * fields[-1]
            if end > len(body):
                raise MalformedBatch(f"record {index} (code {code}): its {fields[-1]} items run past the batch, "
                                f"from offset {base + begin}")
            raw = body[begin:end]
            if TAIL[code] == 1:
                tail = raw
            elif code == PAGE:
                tail = list(ENTRY.iter_unpack(raw))
            else:
                tail = struct.unpack(f"<{fields[-1]}f", raw)
        found.append((code, fields, tail))
        at = end
    if at != len(body):
        raise MalformedBatch(f"batch: {len(body) - at} bytes left over at offset {base + at}")
    return found


def action(code, *fields):
    return ACTIONS[code].pack(code, *fields)


def text_action(code, instance, text):
    body = text.encode("utf-8", "replace")[:60000]
    return ACTIONS[code].pack(code, instance, len(body)) + body


def message(instance, peer, data):
    return ACTIONS[BROADCAST_TO].pack(BROADCAST_TO, instance, peer, len(data)) + data


def reply(number, body):
    return REPLY_HEAD.pack(number, len(body)) + body

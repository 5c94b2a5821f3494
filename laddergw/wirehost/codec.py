"""Codec of the simulator's wire: decodes batches of events into tuples and encodes actions. It knows layouts only."""
import struct


class MalformedBatch(Exception):
    """Input that cannot be decoded; the text names the item and its offset in the input, in bytes."""


# Codes of events and of actions; their names are those of the wire.
(POWER_ON, REGISTRY, REQUEST, STARTED, REPLY, HANGUP, ALARM, ECHO, MAIL, KILLED, INHERITED, INTERIM,
 PAGE) = range(13)
SET_RATE, BAIL_OUT, PUSH_BACK, REASSIGN, FAIL, DELIVER, INSPECT, TRACK, AFTER, BROADCAST_TO, REMARK = 0, 1, 2, 4, 6, 8, 9, 10, 11, 12, 13

BATCH_HEADER = struct.Struct("<IQII")
REPLY_HEADER = struct.Struct("<II")
NODE_ENTRY = struct.Struct("<HfBQBBI")
EVENT_LAYOUTS = {code: struct.Struct(layout) for code, layout in {
    POWER_ON: "<IQI", REGISTRY: "<IBII", REQUEST: "<IQIHQfHffQHI", STARTED: "<IQBII", REPLY: "<IQBIIHBB",
    HANGUP: "<IQ", ALARM: "<II", ECHO: "<IIIHB", MAIL: "<IIH", KILLED: "<I", INHERITED: "<IQHHQQIIfffHI",
    INTERIM: "<IQIBBf", PAGE: "<II"}.items()}
# Events whose last fixed field counts the items that follow: bytes of one item.
TAIL_ITEM_BYTES = {POWER_ON: 1, MAIL: 1, REPLY: 4, ECHO: 4, PAGE: NODE_ENTRY.size}
ACTION_LAYOUTS = {code: struct.Struct(layout) for code, layout in {
    SET_RATE: "<BIQB", BAIL_OUT: "<BIH", PUSH_BACK: "<BIQI", REASSIGN: "<BIQ", FAIL: "<BIQ",
    DELIVER: "<BIQII", INSPECT: "<BII", TRACK: "<BIB", AFTER: "<BIII", REMARK: "<BIH",
    BROADCAST_TO: "<BIIH"}.items()}


def read_exactly(stream, size, what, offset):
    """Reads `size` bytes that begin at `offset`; raises MalformedBatch, naming `what`, where the input ends before."""
    data = b""
    while len(data) < size:
        part = stream.read(size - len(data))
        if not part:
            raise MalformedBatch(f"{what}: input ends at offset {offset + len(data)}, {size - len(data)} bytes short")
        data += part
    return data


def read_batch(stream, offset=0):
    """Reads the next batch: (number, clock in us, records, bytes read), or None at the end of input."""
    first = stream.read(1)
    if not first:
        return None
    number, clock, length, count = BATCH_HEADER.unpack(first + read_exactly(stream, BATCH_HEADER.size - 1, "batch header", offset + 1))
    if length < 4:
        raise MalformedBatch(f"batch header: length {length} at offset {offset + 12} is under 4")
    body = read_exactly(stream, length - 4, f"batch {number}", offset + BATCH_HEADER.size)
    return number, clock, decode_records(body, count, offset + BATCH_HEADER.size), BATCH_HEADER.size + len(body)


def decode_records(body, count, base_offset):
    """Decodes the records of a batch that begins at `base_offset`: (code, fixed fields, counted tail or None)."""
    records, position = [], 0
    for index in range(count):
        if position >= len(body):
            raise MalformedBatch(f"record {index} of {count}: missing at offset {base_offset + position}")
        code = body[position]
        layout = EVENT_LAYOUTS.get(code)
        if layout is None:
            raise MalformedBatch(f"record {index}: unknown code {code} at offset {base_offset + position}")
        end = position + 1 + layout.size
        if end > len(body):
            raise MalformedBatch(f"record {index} (code {code}): cut off at offset {base_offset + position}")
        fields, tail = layout.unpack_from(body, position + 1), None
        if code in TAIL_ITEM_BYTES:
            begin, end = end, end + TAIL_ITEM_BYTES[code] * fields[-1]
            if end > len(body):
                raise MalformedBatch(f"record {index} (code {code}): its {fields[-1]} items run past the batch, "
                                f"from offset {base_offset + begin}")
            raw = body[begin:end]
            if TAIL_ITEM_BYTES[code] == 1:
                tail = raw
            elif code == PAGE:
                tail = list(NODE_ENTRY.iter_unpack(raw))
            else:
                tail = struct.unpack(f"<{fields[-1]}f", raw)
        records.append((code, fields, tail))
        position = end
    if position != len(body):
        raise MalformedBatch(f"batch: {len(body) - position} bytes left over at offset {base_offset + position}")
    return records


def encode_action(code, *fields):
    """Encodes an action of fixed length."""
    return ACTION_LAYOUTS[code].pack(code, *fields)


def encode_text_action(code, instance, text):
    """Encodes an action that ends with a text, of which at most 60,000 bytes are kept."""
    body = text.encode("utf-8", "replace")[:60000]
    return ACTION_LAYOUTS[code].pack(code, instance, len(body)) + body


def encode_broadcast(instance, peer, data):
    """Encodes a message from one instance to a peer."""
    return ACTION_LAYOUTS[BROADCAST_TO].pack(BROADCAST_TO, instance, peer, len(data)) + data


def encode_reply(number, body):
    """Encodes the reply to a batch; `body` holds its encoded actions."""
    return REPLY_HEADER.pack(number, len(body)) + body

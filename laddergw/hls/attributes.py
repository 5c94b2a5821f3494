"""Attribute lists of HLS tags (RFC 8216, 4.2): NAME=value pairs, read in order and written back unchanged."""
import re
from typing import NamedTuple

NAME_PATTERN = re.compile(r"[A-Z0-9][A-Z0-9-]*\Z")
PAIR_PATTERN = re.compile(r'\s*([^=,"]+)=("[^"\r\n]*"|[^,"]*)(,|\Z)')
MAX_PAIRS = 64             # of one tag; the longest in the standard has under thirty


class InvalidAttributes(ValueError):
    """An attribute list that violates the grammar; the text says where."""


class Attributes(NamedTuple):
    """Pairs of name and value in order; values as written, quotes included."""
    pairs: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Returns the value without its quotes, or None."""
        for key, value in self.pairs:
            if key == name:
                return value[1:-1] if value[:1] == '"' else value
        return None

    def with_value(self, name: str, value: str, quoted: bool = True) -> "Attributes":
        """Returns the list with one value replaced, or added at the end."""
        text = f'"{value}"' if quoted else value
        if any(key == name for key, _ in self.pairs):
            return Attributes(tuple((key, text if key == name else old) for key, old in self.pairs))
        return Attributes(self.pairs + ((name, text),))

    def write(self) -> str:
        """Returns the list as text."""
        return ",".join(f"{key}={value}" for key, value in self.pairs)


def read(text: str) -> Attributes:
    """Parses an attribute list. Raises InvalidAttributes with the column (from 1, within the list)."""
    pairs, offset, seen = [], 0, set()
    while offset < len(text):
        match = PAIR_PATTERN.match(text, offset)
        if match is None:
            raise InvalidAttributes(f"attribute at column {offset + 1} is not NAME=value")
        name, value, comma = match.groups()
        if not NAME_PATTERN.match(name):
            raise InvalidAttributes(f"invalid attribute name {name[:20]!r} at column {offset + 1}")
        if name in seen:
            raise InvalidAttributes(f"attribute {name} is repeated")
        if len(pairs) >= MAX_PAIRS:
            raise InvalidAttributes(f"more than {MAX_PAIRS} attributes")
        seen.add(name)
        pairs.append((name, value.rstrip()))
        offset = match.end()
        if comma and offset == len(text):
            raise InvalidAttributes("a comma at the end")
    if not pairs:
        raise InvalidAttributes("no attributes")
    return Attributes(tuple(pairs))

"""Attribute lists of HLS tags (RFC 8216, 4.2): NAME=value pairs read in order and written back the same."""
import re
from typing import NamedTuple

NAME = re.compile(r"[A-Z0-9][A-Z0-9-]*\Z")
PAIR = re.compile(r'\s*([^=,"]+)=("[^"\r\n]*"|[^,"]*)(,|\Z)')
MOST_PAIRS = 64            # of one tag: the standard's longest has under thirty


class InvalidAttributes(ValueError):
    """An attribute list that breaks the grammar; the text says where."""


class Attributes(NamedTuple):
    """Pairs in their order; values as written, quotes included."""
    pairs: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """The value without its quotes, or None."""
        for key, value in self.pairs:
            if key == name:
                return value[1:-1] if value[:1] == '"' else value
        return None

    def with_value(self, name: str, value: str, quoted: bool = True) -> "Attributes":
        """The same list with one value set, in its place or at the end."""
        text = f'"{value}"' if quoted else value
        if any(key == name for key, _ in self.pairs):
            return Attributes(tuple((key, text if key == name else old) for key, old in self.pairs))
        return Attributes(self.pairs + ((name, text),))

    def write(self) -> str:
        return ",".join(f"{key}={value}" for key, value in self.pairs)


def read(text: str) -> Attributes:
    """Raises InvalidAttributes with the column (from 1, within the list)."""
    pairs, at, names = [], 0, set()
    while at < len(text):
        found = PAIR.match(text, at)
        if found is None:
            raise InvalidAttributes(f"attribute at column {at + 1} is not NAME=value")
        name, value, comma = found.groups()
        if not NAME.match(name):
            raise InvalidAttributes(f"attribute name {name[:20]!r} at column {at + 1}")
        if name in names:
            raise InvalidAttributes(f"attribute {name} stands twice")
        if len(pairs) >= MOST_PAIRS:
            raise InvalidAttributes(f"more than {MOST_PAIRS} attributes")
        names.add(name)
        pairs.append((name, value.rstrip()))
        at = found.end()
        if comma and at == len(text):
            raise InvalidAttributes("a comma at the end")
    if not pairs:
        raise InvalidAttributes("no attributes")
    return Attributes(tuple(pairs))

"""What a judge says of a broken rule."""

from typing import NamedTuple


class Break(NamedTuple):
    """One broken rule: its name, what was seen, and the session it was seen on, or an empty text."""

    rule: str
    what: str
    session: str = ""

"""What a judge says of a broken rule."""

from typing import NamedTuple

SLACK_MS = 50.0  # each of the protocol's time limits grows by this


class RuleViolation(NamedTuple):
    """One broken rule: its name, what was seen, and on which session, or an empty text."""

    rule: str
    what: str
    session: str = ""

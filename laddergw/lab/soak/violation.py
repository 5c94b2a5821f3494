"""Rule violations that the judge finds in the records of a trial."""

from typing import NamedTuple

# Tolerance added to each time limit of the protocol.
SLACK_MS = 50.0


class RuleViolation(NamedTuple):
    """One broken rule: its name, what was observed, and the session, or an empty text."""

    rule: str
    what: str
    session: str = ""

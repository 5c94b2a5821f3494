"""Causes of a release sent to a viewer (parameter 222 of the platform's binary messages)."""

# Refused: a retry does no harm.
DECLINED = 42
# The set-up gets its final answer without a session.
FAILED = 41
# The session has run to its end.
ENDED = 16
# The session was interrupted.
BROKEN = 41
# The set-up is invalid: a retry would be refused as well.
UNUSABLE = 95

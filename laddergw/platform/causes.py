"""Causes that a release tells a viewer (parameter 222 of the platform's binary messages)."""

DECLINED = 42  # refused: trying again is harmless
FAILED = 41  # of a set-up that was given its final answer without a session
ENDED = 16  # the session has come to its end
BROKEN = 41  # the session was cut
UNUSABLE = 95  # the set-up makes no sense: trying it again helps nobody

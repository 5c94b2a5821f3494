"""An allocation's life on the platform: a table from what is seen on the sockets to its outcome. No
I/O.

UNSENT: not all bytes of its set-up have left, so a node can make nothing of it. SENT: all have.
RUNNING: it stands.
"""

from laddergw import interface

UNSENT, SENT, RUNNING = "unsent", "out", "held"
# What is seen: answers to the set-up, ends told by the node, and what becomes of its connection or
# its wait.
(
    ACCEPTED,
    FULL,
    ERROR,
    SESSION_UNKNOWN,
    RESET,
    ENDED,
    VIEWER_LEFT,
    INTERRUPTED,
    CONNECTION_LOST,
    MALFORMED,
    TIMED_OUT,
    WITHDRAWN,
    CANCELLED,
    NODE_LOST,
) = (
    "there",
    "full",
    "error",
    "moot",
    "reset",
    "ended",
    "left",
    "broken off",
    "cut",
    "spoilt",
    "late",
    "taken back",
    "given up",
    "lost",
)

ANSWERS = {200: ACCEPTED, 453: FULL, 500: ERROR, 454: SESSION_UNKNOWN, 504: RESET}
CAUSES = {16: ENDED, 31: VIEWER_LEFT}  # of a release by the node; every other tells a cut

SAID = {
    FULL: interface.FULL,
    ERROR: interface.ERROR,
    SESSION_UNKNOWN: interface.NEVER_SENT,
    RESET: interface.BROKEN,
    ENDED: interface.BROKEN,
    VIEWER_LEFT: interface.BROKEN,
    INTERRUPTED: interface.BROKEN,
    CANCELLED: interface.CANCELLED,
}
LIFE = {
    # A set-up of which the node has not every byte runs nothing, whatever became of its connection
    UNSENT: SAID
    | {
        CONNECTION_LOST: interface.UNREACHABLE,
        MALFORMED: interface.UNREACHABLE,
        TIMED_OUT: interface.UNREACHABLE,
        NODE_LOST: interface.UNREACHABLE,
        WITHDRAWN: interface.NEVER_SENT,
    },
    SENT: SAID
    | {
        CONNECTION_LOST: interface.BROKEN,
        MALFORMED: interface.ERROR,
        TIMED_OUT: interface.TIMED_OUT,
        NODE_LOST: interface.BROKEN,
    },
    # Connections come and go while a play stands: only its node's word, or its node's end, ends it
    RUNNING: {
        ENDED: interface.SERVED,
        VIEWER_LEFT: interface.CANCELLED,
        INTERRUPTED: interface.BROKEN,
        NODE_LOST: interface.BROKEN,
        CANCELLED: interface.CANCELLED,
    },
}


def event_of_status(status: int) -> str:
    return ANSWERS.get(status, ERROR)


def event_of_cause(cause: int) -> str:
    return CAUSES.get(cause, INTERRUPTED)


def outcome(state: str, fact: str) -> str | None:
    """How it has ended by that, in the module's words, or None where it goes on."""
    return LIFE[state].get(fact)

"""The table from what is observed of an allocation on the sockets to its outcome. Does no I/O.

States of an allocation: UNSENT, not every byte of its set-up has left, so that the node cannot act
on it; SENT, every byte has left; RUNNING, its play runs at the node. The HTTP director, whose nodes
hold leases, has machines/allocation.py instead.
"""

from laddergw import interface

UNSENT, SENT, RUNNING = "unsent", "out", "held"
# Events: answers to the set-up, ends reported by the node, and what becomes of the connection or of
# the wait for an answer.
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

# By the status of an answer to a set-up; every other status is an error.
EVENT_BY_STATUS = {200: ACCEPTED, 453: FULL, 500: ERROR, 454: SESSION_UNKNOWN, 504: RESET}
# By the cause in a release from the node; every other cause reports an interruption.
EVENT_BY_CAUSE = {16: ENDED, 31: VIEWER_LEFT}
# Ends that the node of a running play reports itself.
EVENTS_OF_NODE = frozenset({ENDED, VIEWER_LEFT, INTERRUPTED})

# Outcomes of a set-up by events that mean the same whether all of it had left or not.
SET_UP_OUTCOMES = {
    FULL: interface.FULL,
    ERROR: interface.ERROR,
    SESSION_UNKNOWN: interface.NEVER_SENT,
    RESET: interface.BROKEN,
    ENDED: interface.BROKEN,
    VIEWER_LEFT: interface.BROKEN,
    INTERRUPTED: interface.BROKEN,
    CANCELLED: interface.CANCELLED,
}
OUTCOMES = {
    # A node that has not received every byte of a set-up runs nothing of it, whatever became of the
    # connection.
    UNSENT: SET_UP_OUTCOMES
    | {
        CONNECTION_LOST: interface.UNREACHABLE,
        MALFORMED: interface.UNREACHABLE,
        TIMED_OUT: interface.UNREACHABLE,
        NODE_LOST: interface.UNREACHABLE,
        WITHDRAWN: interface.NEVER_SENT,
    },
    SENT: SET_UP_OUTCOMES
    | {
        CONNECTION_LOST: interface.BROKEN,
        MALFORMED: interface.ERROR,
        TIMED_OUT: interface.TIMED_OUT,
        NODE_LOST: interface.BROKEN,
    },
    # Connections come and go while a play runs: only a message of its node, or the end of the node
    # itself, ends it.
    RUNNING: {
        ENDED: interface.SERVED,
        VIEWER_LEFT: interface.CANCELLED,
        INTERRUPTED: interface.BROKEN,
        NODE_LOST: interface.BROKEN,
        CANCELLED: interface.CANCELLED,
    },
}


def event_of_status(status: int) -> str:
    """The event that an answer to a set-up is, by its status."""
    return EVENT_BY_STATUS.get(status, ERROR)


def event_of_cause(cause: int) -> str:
    """The event that a release from the node is, by its cause."""
    return EVENT_BY_CAUSE.get(cause, INTERRUPTED)


def outcome(state: str, event: str) -> str | None:
    """How an allocation in that state ends by the event, as interface.py names it.

    None where the event does not end it.
    """
    return OUTCOMES[state].get(event)

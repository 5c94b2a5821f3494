"""An allocation's life on the platform: a table from what is seen on the sockets to its outcome. No
I/O.

UNSENT: not all bytes of its set-up have left, so a node can make nothing of it. OUT: all have.
HELD: it stands.
"""

from laddergw import interface

UNSENT, OUT, HELD = "unsent", "out", "held"
# What is seen: answers to the set-up, ends told by the node, and what becomes of its connection or
# its wait.
(
    THERE,
    FULL,
    ERROR,
    MOOT,
    RESET,
    ENDED,
    LEFT,
    BROKEN_OFF,
    CUT,
    SPOILT,
    LATE,
    TAKEN_BACK,
    GIVEN_UP,
    LOST,
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

ANSWERS = {200: THERE, 453: FULL, 500: ERROR, 454: MOOT, 504: RESET}
CAUSES = {16: ENDED, 31: LEFT}  # of a release by the node; every other tells a cut

SAID = {
    FULL: interface.FULL,
    ERROR: interface.ERROR,
    MOOT: interface.NEVER_SENT,
    RESET: interface.BROKEN,
    ENDED: interface.BROKEN,
    LEFT: interface.BROKEN,
    BROKEN_OFF: interface.BROKEN,
    GIVEN_UP: interface.CANCELLED,
}
LIFE = {
    # A set-up of which the node has not every byte runs nothing, whatever became of its connection
    UNSENT: SAID
    | {
        CUT: interface.UNREACHABLE,
        SPOILT: interface.UNREACHABLE,
        LATE: interface.UNREACHABLE,
        LOST: interface.UNREACHABLE,
        TAKEN_BACK: interface.NEVER_SENT,
    },
    OUT: SAID
    | {
        CUT: interface.BROKEN,
        SPOILT: interface.ERROR,
        LATE: interface.TIMED_OUT,
        LOST: interface.BROKEN,
    },
    # Connections come and go while a play stands: only its node's word, or its node's end, ends it
    HELD: {
        ENDED: interface.SERVED,
        LEFT: interface.CANCELLED,
        BROKEN_OFF: interface.BROKEN,
        LOST: interface.BROKEN,
        GIVEN_UP: interface.CANCELLED,
    },
}


def answer(status: int) -> str:
    return ANSWERS.get(status, ERROR)


def end(cause: int) -> str:
    return CAUSES.get(cause, BROKEN_OFF)


def outcome(state: str, fact: str) -> str | None:
    """How it has ended by that, in the module's words, or None where it goes on."""
    return LIFE[state].get(fact)

"""An allocation's life on the platform: a table from what is seen on the sockets to its outcome. No
I/O.

UNSENT: not all bytes of its set-up have left, so a node can make nothing of it. OUT: all have.
HELD: it stands.
"""

from laddergw import interface as face

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
    FULL: face.FULL,
    ERROR: face.ERROR,
    MOOT: face.NEVER_SENT,
    RESET: face.BROKEN,
    ENDED: face.BROKEN,
    LEFT: face.BROKEN,
    BROKEN_OFF: face.BROKEN,
    GIVEN_UP: face.CANCELLED,
}
LIFE = {
    # A set-up of which the node has not every byte runs nothing, whatever became of its connection
    UNSENT: SAID
    | {
        CUT: face.UNREACHABLE,
        SPOILT: face.UNREACHABLE,
        LATE: face.UNREACHABLE,
        LOST: face.UNREACHABLE,
        TAKEN_BACK: face.NEVER_SENT,
    },
    OUT: SAID | {CUT: face.BROKEN, SPOILT: face.ERROR, LATE: face.TIMED_OUT, LOST: face.BROKEN},
    # Connections come and go while a play stands: only its node's word, or its node's end, ends it
    HELD: {
        ENDED: face.SERVED,
        LEFT: face.CANCELLED,
        BROKEN_OFF: face.BROKEN,
        LOST: face.BROKEN,
        GIVEN_UP: face.CANCELLED,
    },
}


def answer(status: int) -> str:
    return ANSWERS.get(status, ERROR)


def end(cause: int) -> str:
    return CAUSES.get(cause, BROKEN_OFF)


def outcome(state: str, fact: str) -> str | None:
    """How it has ended by that, in the module's words, or None where it goes on."""
    return LIFE[state].get(fact)

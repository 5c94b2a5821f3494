"""Holds a process's signals back until the loop takes them: by the system's default it would die of
them.

Imports the C module alone, since `signal` imports `enum` for its names: milliseconds in which the
default still holds.
"""

from _signal import SIG_BLOCK, SIG_UNBLOCK, SIGHUP, SIGINT, SIGTERM, pthread_sigmask

BLOCKED_SIGNALS = SIGHUP, SIGTERM, SIGINT


def block_signals() -> None:
    """From now on they wait in the kernel; several of one kind count as one."""
    pthread_sigmask(SIG_BLOCK, BLOCKED_SIGNALS)


def unblock_signal(number: int) -> None:
    """Its handler stands: what has waited comes at once."""
    pthread_sigmask(SIG_UNBLOCK, (number,))

"""Blocks a process's signals until the loop handles them: their default action ends the process.

Imports only the C module: `signal` imports `enum` for its names, which takes milliseconds during
which the default action still applies.
"""

from _signal import SIG_BLOCK, SIG_UNBLOCK, SIGHUP, SIGINT, SIGTERM, pthread_sigmask

BLOCKED_SIGNALS = SIGHUP, SIGTERM, SIGINT


def block_signals() -> None:
    """Keeps the signals pending in the kernel; several of one kind count as one."""
    pthread_sigmask(SIG_BLOCK, BLOCKED_SIGNALS)


def unblock_signal(number: int) -> None:
    """Called once the signal's handler is installed; a pending signal is delivered at once."""
    pthread_sigmask(SIG_UNBLOCK, (number,))

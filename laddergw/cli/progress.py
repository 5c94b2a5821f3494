"""Shows the progress of a rehearsal on standard error: a bar on a terminal, elsewhere a line at
times.

The process's interval timer drives it, so that the rehearsal needs no code for it.
"""

import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

LINE_EVERY_S = 30.0
BAR_EVERY_S = 1.0


@contextmanager
def shown(expected_s: float | None, describe: Callable[[], str]) -> Iterator[None]:
    """Shows progress while the body runs.

    `expected_s` is how long the body should take, `describe()` returns its present state.
    """
    began_at = time.monotonic()
    if sys.stderr.isatty():
        columns = TextColumn("rehearsal"), BarColumn(), TimeRemainingColumn()
        with Progress(
            *columns, TextColumn("{task.fields[status]}"), console=Console(stderr=True)
        ) as bar:
            task = bar.add_task("rehearsal", total=expected_s, status="")

            def update() -> None:
                bar.update(task, completed=time.monotonic() - began_at, status=describe())

            with call_periodically(BAR_EVERY_S, update):
                yield
        return

    def print_line() -> None:
        elapsed_s = time.monotonic() - began_at
        total = f" of some {expected_s:.0f} s" if expected_s is not None else " s"
        print(f"{elapsed_s:.0f}{total}, {describe()}", file=sys.stderr, flush=True)

    with call_periodically(LINE_EVERY_S, print_line):
        yield


@contextmanager
def call_periodically(every_s: float, call: Callable[[], None]) -> Iterator[None]:
    """Calls `call` periodically while the body runs, between two of its statements."""
    previous_handler = signal.signal(signal.SIGALRM, lambda *_: call())
    signal.setitimer(signal.ITIMER_REAL, every_s, every_s)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, previous_handler)

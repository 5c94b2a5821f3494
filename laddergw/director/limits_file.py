"""Watches the operators' file and puts each valid version in force: polled several times a second and at SIGHUP, checked as a whole, applied at one moment
(Director.change_limits).

A version is used once two polls in a row have read the same, so that a half-written file is not taken for one. A file that cannot be read or is rejected
changes nothing; it is reported once, and not checked again until its bytes change. Rejected is a file with a fault in its form (terms/loading.py), one under
which a rule could be broken or that loosens the deployment's own terms (terms/proof.py), and one whose check fails or takes longer than CHECK_TIMEOUT_MS. The
check runs in a child process, or, in memory, at once.
"""
import contextlib
import hashlib
import os
import pickle
import subprocess
import sys
import tempfile
from typing import Callable

from laddergw.terms.limits import Limits
from laddergw.terms.loading import LoadResult, load, load_file
from laddergw.terms.sexpr import Fault, Place

POLL_INTERVAL_MS = 250.0     # a change is in force within a second, not counting its check
LAST_GOOD_SUFFIX = ".good"   # of a copy of the last version that was in force
CHECK_TIMEOUT_MS = 30_000.0  # then the check is killed and the file counts as rejected

CheckCallback = Callable[[LoadResult], None]


class InProcessCheck:
    """Checks at once, for simulations in memory, where a check takes no time."""

    def __init__(self, director_file):
        self.director_file = director_file

    def check(self, data: bytes, name: str, done: CheckCallback) -> None:
        """Checks a version and calls `done` with the result."""
        done(load(data, name, self.director_file))


class SubprocessCheck:
    """Checks in a child process, against the director's file as it is on disk then. LimitsFile starts one check at a time and reads the file again after it."""

    def __init__(self, loop, director_file_path: str):
        self.loop, self.director_file_path = loop, director_file_path

    def check(self, data: bytes, name: str, done: CheckCallback) -> None:
        """Starts the check of a version; `done` gets the result, or a fault if the child fails or runs into its time limit."""
        request, answer = tempfile.TemporaryFile(), tempfile.TemporaryFile()
        request.write(data)
        request.seek(0)
        child = self.loop.spawn([sys.executable, "-m", "laddergw.terms.checking", self.director_file_path, name], lambda status: ended(status), stdin=request, stdout=answer,
                                stderr=subprocess.DEVNULL)
        timeout = self.loop.call_later(CHECK_TIMEOUT_MS, child.kill)

        def ended(status: int) -> None:
            timeout.cancel()
            answer.seek(0)
            with request, answer:
                pickled = answer.read() if status == 0 else b""
            done(pickle.loads(pickled) if pickled else LoadResult(None, (Fault(Place(name, 1, 1), "", f"its check ended with {status}"),)))


class LimitsFile:
    """See the module. `apply(limits)` is called for each valid version, `reject(texts)` once for each other one.
    `in_force`: the bytes of the version that is in force already; with None the file's first version is checked and applied, too."""

    def __init__(self, loop, path: str, checker, apply: Callable, reject: Callable[[list[str]], None], in_force: bytes | None):
        self.loop, self.path, self.checker, self.apply, self.reject = loop, path, checker, apply, reject
        self.name = os.path.basename(path)
        # Of the last poll, and of the last version that was given to the checker, whatever the result
        self.last_digest = self.handled_digest = digest(in_force)
        self.last_error, self.checking, self.data = "", False, b""
        loop.call_later(POLL_INTERVAL_MS, self.poll)

    def poll(self, immediately: bool = False) -> None:
        """Reads the file; with `immediately`, an operator says that it is complete, and one reading is enough."""
        if not immediately and self.loop.running:
            self.loop.call_later(POLL_INTERVAL_MS, self.poll)
        if self.checking:
            return
        try:
            with open(self.path, "rb") as stream:
                data = stream.read()
        except OSError as error:
            return self.report_unreadable(f"{self.name}: cannot be read: {error.strerror}")
        self.last_error = ""
        current = digest(data)
        stable, self.last_digest = current == self.last_digest or immediately, current
        if stable and current != self.handled_digest:
            self.handled_digest, self.checking, self.data = current, True, data
            self.checker.check(data, self.name, self.checked)
        return None

    def report_unreadable(self, reason: str) -> None:
        """Reports, once, a file that is gone or a directory; what is in force stays."""
        self.last_digest = None
        if reason != self.last_error:
            self.last_error = reason
            self.reject([reason])

    def bring(self, data: bytes, verify: Callable[[Limits], str | None], done: Callable[[list[str]], None]) -> None:
        """Takes in a version that a planner has sent: it is checked like the file, after a check that is still running, and by `verify(limits)`, put in force,
        and then written to disk in the file's place. If it cannot be written, the file's own version is in force again after the next start. Calls `done(faults)`."""
        if self.checking:
            self.loop.call_later(POLL_INTERVAL_MS, lambda: self.bring(data, verify, done))
            return

        def checked(loaded: LoadResult) -> None:
            self.checking = False
            faults = loaded.texts() if loaded.limits is None else list(filter(None, [verify(loaded.limits)]))
            if not faults:
                self.apply(loaded.limits)
                if replace_file(self.path, data) is None:
                    save_last_good(self.path, data)
                    self.last_digest = self.handled_digest = digest(data)
            done(faults)
        self.checking = True
        self.checker.check(data, self.name, checked)

    def checked(self, loaded: LoadResult) -> None:
        """Handles the result of a check of the file."""
        self.checking = False
        if loaded.limits is not None:
            save_last_good(self.path, self.data)
            self.apply(loaded.limits)
        else:
            self.reject(loaded.texts())


def replace_file(path: str, data: bytes) -> str | None:
    """Replaces a file atomically; returns the reason if it cannot be written."""
    temporary = f"{path}.{os.getpid()}.new"
    try:
        with open(temporary, "wb") as stream:
            stream.write(data)
            stream.flush()
            os.fsync(stream.fileno())
        os.replace(temporary, path)
    except OSError as error:
        # On a full disk a part of the file has been written
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        return f"cannot be written: {error.strerror}"
    return None


def save_last_good(path: str, data: bytes) -> None:
    """Keeps a copy beside the file, for a director that starts while the file is being repaired; without one if it cannot be written."""
    replace_file(path + LAST_GOOD_SUFFIX, data)


def load_at_start(path: str, director_file) -> tuple[LoadResult, list[str]]:
    """What a director starts with: the file, or the last good copy if the file is rejected; and the faults of the file."""
    loaded = load_file(path, director_file)
    if loaded.limits is not None:
        with open(path, "rb") as stream:
            save_last_good(path, stream.read())
        return loaded, []
    kept = load_file(path + LAST_GOOD_SUFFIX, director_file)
    return (kept if kept.limits is not None else loaded), loaded.texts()


def digest(data: bytes | None) -> str | None:
    """SHA-256 of a version; None for none."""
    return None if data is None else hashlib.sha256(data).hexdigest()

"""Watches the operators' file and puts each good version in force: looked at twice a second and at SIGHUP, checked whole, switched at one moment.

A version is taken once two looks in a row saw the same, so that a file cut in mid-write is not taken for one. What cannot be read or is refused changes
nothing; it is told once. The check runs beside the director: in a process of its own, or, in memory, at once.
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
from laddergw.terms.loading import Loaded, load, load_file
from laddergw.terms.sexpr import Fault, Place

POLL_INTERVAL_MS = 250.0            # pace of looks: a change is in force within a second, its check aside
LAST_GOOD_SUFFIX = ".good"             # behind the file's name: the last version that was in force
CHECK_TIMEOUT_MS = 30_000.0   # for a check: then it is given up and the file counts as refused

CheckCallback = Callable[[Loaded], None]


class InProcessCheck:
    """Checks at once: for worlds in memory, where a check takes no time."""

    def __init__(self, house):
        self.house = house

    def check(self, data: bytes, name: str, done: CheckCallback) -> None:
        done(load(data, name, self.house))


class SubprocessCheck:
    """Checks in a child process. One at a time; what came meanwhile is looked at again afterwards."""

    def __init__(self, loop, director_file: str):
        self.loop, self.director_file = loop, director_file

    def check(self, data: bytes, name: str, done: CheckCallback) -> None:
        request, answer = tempfile.TemporaryFile(), tempfile.TemporaryFile()
        request.write(data)
        request.seek(0)
        child = self.loop.spawn([sys.executable, "-m", "laddergw.terms.checking", self.director_file, name], lambda status: ended(status), stdin=request, stdout=answer,
                                stderr=subprocess.DEVNULL)
        timeout = self.loop.call_later(CHECK_TIMEOUT_MS, child.kill)

        def ended(status: int) -> None:
            timeout.cancel()
            answer.seek(0)
            with request, answer:
                pickled = answer.read() if status == 0 else b""
            done(pickle.loads(pickled) if pickled else Loaded(None, (Fault(Place(name, 1, 1), "", f"its check ended with {status}"),)))


class LimitsFile:
    """See the module. `put(limits)` is called for each good version, `refused(texts)` once for each that is not."""

    def __init__(self, loop, path: str, checker, apply: Callable, reject: Callable[[list[str]], None], in_force: bytes | None):
        self.loop, self.path, self.checker, self.apply, self.reject = loop, path, checker, apply, reject
        self.name = os.path.basename(path)
        self.last_digest = self.handled_digest = digest(in_force)      # of the last look, and of the last version that was dealt with
        self.last_error, self.checking, self.data = "", False, b""
        loop.call_later(POLL_INTERVAL_MS, self.poll)

    def poll(self, immediately: bool = False) -> None:
        """One look; `at_once`: an operator says that the file is whole."""
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
        """It is gone, or a directory: what is in force stays. Told once."""
        self.last_digest = None
        if reason != self.last_error:
            self.last_error = reason
            self.reject([reason])

    def bring(self, data: bytes, verify: Callable[[Limits], str | None], done: Callable[[list[str]], None]) -> None:
        """A version that came over a line: checked like the file, and held against `sure(limits)`; in force first, then on the disk, where it takes the
        file's place. Where it cannot be written the file's own version comes back with the next start. `done(faults)`."""
        if self.checking:
            self.loop.call_later(POLL_INTERVAL_MS, lambda: self.bring(data, verify, done))
            return

        def checked(loaded: Loaded) -> None:
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

    def checked(self, loaded: Loaded) -> None:
        self.checking = False
        if loaded.limits is not None:
            save_last_good(self.path, self.data)
            self.apply(loaded.limits)
        else:
            self.reject(loaded.texts())


def replace_file(path: str, data: bytes) -> str | None:
    """Writes a file whole, in one move; why not, where it cannot be written."""
    temporary = f"{path}.{os.getpid()}.new"
    try:
        with open(temporary, "wb") as stream:
            stream.write(data)
            stream.flush()
            os.fsync(stream.fileno())
        os.replace(temporary, path)
    except OSError as error:
        with contextlib.suppress(OSError):       # on a full disk a part of it lies there
            os.unlink(temporary)
        return f"cannot be written: {error.strerror}"
    return None


def save_last_good(path: str, data: bytes) -> None:
    """A copy beside the file, for a director that starts while the file is being mended. Where it cannot be written, none is kept."""
    replace_file(path + LAST_GOOD_SUFFIX, data)


def load_at_start(path: str, house) -> tuple[Loaded, list[str]]:
    """What a director starts with: the file, or where it is refused the last good copy; and what speaks against the file."""
    loaded = load_file(path, house)
    if loaded.limits is not None:
        with open(path, "rb") as stream:
            save_last_good(path, stream.read())
        return loaded, []
    kept = load_file(path + LAST_GOOD_SUFFIX, house)
    return (kept if kept.limits is not None else loaded), loaded.texts()


def digest(data: bytes | None) -> str | None:
    return None if data is None else hashlib.sha256(data).hexdigest()

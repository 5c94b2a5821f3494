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
from laddergw.terms.loading import LoadResult, load, load_file
from laddergw.terms.sexpr import Fault, Place

LOOK_MS = 250.0            # pace of looks: a change is in force within a second, its check aside
GOOD = ".good"             # behind the file's name: the last version that was in force
CHECK_MOST_MS = 30_000.0   # for a check: then it is given up and the file counts as refused

Checked = Callable[[LoadResult], None]


class InProcessCheck:
    """Checks at once: for worlds in memory, where a check takes no time."""

    def __init__(self, house):
        self.house = house

    def check(self, data: bytes, name: str, done: Checked) -> None:
        done(load(data, name, self.house))


class SubprocessCheck:
    """Checks in a child process. One at a time; what came meanwhile is looked at again afterwards."""

    def __init__(self, loop, house_path: str):
        self.loop, self.house_path = loop, house_path

    def check(self, data: bytes, name: str, done: Checked) -> None:
        asked, answer = tempfile.TemporaryFile(), tempfile.TemporaryFile()
        asked.write(data)
        asked.seek(0)
        child = self.loop.spawn([sys.executable, "-m", "laddergw.terms.checking", self.house_path, name], lambda status: ended(status), stdin=asked, stdout=answer,
                                stderr=subprocess.DEVNULL)
        limit = self.loop.call_later(CHECK_MOST_MS, child.kill)

        def ended(status: int) -> None:
            limit.cancel()
            answer.seek(0)
            with asked, answer:
                told = answer.read() if status == 0 else b""
            done(pickle.loads(told) if told else LoadResult(None, (Fault(Place(name, 1, 1), "", f"its check ended with {status}"),)))


class LimitsFile:
    """See the module. `put(limits)` is called for each good version, `refused(texts)` once for each that is not."""

    def __init__(self, loop, path: str, checker, put: Callable, refused: Callable[[list[str]], None], in_force: bytes | None):
        self.loop, self.path, self.checker, self.put, self.refused = loop, path, checker, put, refused
        self.name = os.path.basename(path)
        self.seen = self.settled = digest(in_force)      # of the last look, and of the last version that was dealt with
        self.trouble, self.checking, self.data = "", False, b""
        loop.call_later(LOOK_MS, self.look)

    def look(self, at_once: bool = False) -> None:
        """One look; `at_once`: an operator says that the file is whole."""
        if not at_once and self.loop.running:
            self.loop.call_later(LOOK_MS, self.look)
        if self.checking:
            return
        try:
            with open(self.path, "rb") as stream:
                data = stream.read()
        except OSError as error:
            return self.cannot(f"{self.name}: cannot be read: {error.strerror}")
        self.trouble = ""
        now = digest(data)
        stable, self.seen = now == self.seen or at_once, now
        if stable and now != self.settled:
            self.settled, self.checking, self.data = now, True, data
            self.checker.check(data, self.name, self.checked)
        return None

    def cannot(self, why: str) -> None:
        """It is gone, or a directory: what is in force stays. Told once."""
        self.seen = None
        if why != self.trouble:
            self.trouble = why
            self.refused([why])

    def bring(self, data: bytes, sure: Callable[[Limits], str | None], done: Callable[[list[str]], None]) -> None:
        """A version that came over a line: checked like the file, and held against `sure(limits)`; in force first, then on the disk, where it takes the
        file's place. Where it cannot be written the file's own version comes back with the next start. `done(faults)`."""
        if self.checking:
            self.loop.call_later(LOOK_MS, lambda: self.bring(data, sure, done))
            return

        def checked(loaded: LoadResult) -> None:
            self.checking = False
            against = loaded.texts() if loaded.limits is None else list(filter(None, [sure(loaded.limits)]))
            if not against:
                self.put(loaded.limits)
                if replace_file(self.path, data) is None:
                    keep_good(self.path, data)
                    self.seen = self.settled = digest(data)
            done(against)
        self.checking = True
        self.checker.check(data, self.name, checked)

    def checked(self, loaded: LoadResult) -> None:
        self.checking = False
        if loaded.limits is not None:
            keep_good(self.path, self.data)
            self.put(loaded.limits)
        else:
            self.refused(loaded.texts())


def replace_file(path: str, data: bytes) -> str | None:
    """Writes a file whole, in one move; why not, where it cannot be written."""
    fresh = f"{path}.{os.getpid()}.new"
    try:
        with open(fresh, "wb") as stream:
            stream.write(data)
            stream.flush()
            os.fsync(stream.fileno())
        os.replace(fresh, path)
    except OSError as error:
        with contextlib.suppress(OSError):       # on a full disk a part of it lies there
            os.unlink(fresh)
        return f"cannot be written: {error.strerror}"
    return None


def keep_good(path: str, data: bytes) -> None:
    """A copy beside the file, for a director that starts while the file is being mended. Where it cannot be written, none is kept."""
    replace_file(path + GOOD, data)


def at_start(path: str, house) -> tuple[LoadResult, list[str]]:
    """What a director starts with: the file, or where it is refused the last good copy; and what speaks against the file."""
    loaded = load_file(path, house)
    if loaded.limits is not None:
        with open(path, "rb") as stream:
            keep_good(path, stream.read())
        return loaded, []
    kept = load_file(path + GOOD, house)
    return (kept if kept.limits is not None else loaded), loaded.texts()


def digest(data: bytes | None) -> str | None:
    return None if data is None else hashlib.sha256(data).hexdigest()

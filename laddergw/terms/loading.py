"""Turns a limits file's bytes into limits that may be put in force, or into all reasons why they may not."""
from typing import NamedTuple

from laddergw.machines.allocation import CONFIRM_GRACE_MS
from laddergw.machines.play import PlayTerms
from laddergw.terms.director_file import DirectorFile
from laddergw.terms import limits as limits_file
from laddergw.terms.limits import Limits
from laddergw.terms.proof import Objection, find_objections
from laddergw.terms.sexpr import Fault, FileRejected, Place

MAX_BYTES = 4_194_304      # of a file: 10,000 routes take less than 1 MB


class LoadResult(NamedTuple):
    """The result of reading and checking a file. `limits` is None if it is rejected: for `faults` in its form, or `objections` to its sense and safety."""
    limits: Limits | None
    faults: tuple[Fault, ...] = ()
    objections: tuple[Objection, ...] = ()

    def texts(self) -> list[str]:
        """The reasons for the rejection, one text each."""
        return [str(fault) for fault in self.faults] + [objection.text() for objection in self.objections]


def default_terms(settings: DirectorFile) -> PlayTerms:
    """The terms that apply at a director without a limits file."""
    return limits_file.default_terms(settings.bounds.max_lease_ms, CONFIRM_GRACE_MS)


def load(data: bytes, file: str, settings: DirectorFile) -> LoadResult:
    """Reads a file and checks that it is safe at this director."""
    try:
        if len(data) > MAX_BYTES:
            raise FileRejected([Fault(Place(file, 1, 1), "", f"{len(data)} bytes, {MAX_BYTES} at most")])
        limits = limits_file.read(data.decode(), settings.names, default_terms(settings), file)
    except UnicodeDecodeError as error:
        return LoadResult(None, (Fault(Place(file, data[:error.start].count(b"\n") + 1, 1), "", "not UTF-8"),))
    except FileRejected as error:
        return LoadResult(None, tuple(error.faults))
    objections = tuple(find_objections(limits, settings))
    return LoadResult(None if objections else limits, (), objections)


def load_file(path: str, settings: DirectorFile) -> LoadResult:
    """The same for a path. A file that cannot be read counts as rejected."""
    name = path.rpartition("/")[2]
    try:
        with open(path, "rb") as stream:
            return load(stream.read(MAX_BYTES + 1), name, settings)
    except OSError as error:
        return LoadResult(None, (Fault(Place(name, 1, 1), "", f"cannot be read: {error.strerror}"),))

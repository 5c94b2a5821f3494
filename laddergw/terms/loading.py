"""From a file's bytes to limits that may be loaded, or to everything that speaks against it."""
from typing import NamedTuple

from laddergw.machines.allocation import CONFIRM_GRACE_MS
from laddergw.machines.play import PlayTerms
from laddergw.terms.director_file import DirectorFile
from laddergw.terms import limits as files
from laddergw.terms.limits import Limits
from laddergw.terms.proof import Objection, prove
from laddergw.terms.sexpr import Fault, Place, FileRejected

MOST_BYTES = 4_194_304     # of a file: 10,000 routes are under 1 MB


class LoadResult(NamedTuple):
    """`limits` is None where the file is refused; `faults` are of its form, `objections` of its sense and safety."""
    limits: Limits | None
    faults: tuple[Fault, ...] = ()
    objections: tuple[Objection, ...] = ()

    def texts(self) -> list[str]:
        return [str(fault) for fault in self.faults] + [objection.text() for objection in self.objections]


def default_terms(house: DirectorFile) -> PlayTerms:
    return files.default_terms(house.bounds.max_lease_ms, CONFIRM_GRACE_MS)


def load(data: bytes, file: str, house: DirectorFile) -> LoadResult:
    """Reads and proves."""
    try:
        if len(data) > MOST_BYTES:
            raise FileRejected([Fault(Place(file, 1, 1), "", f"{len(data)} bytes, {MOST_BYTES} at most")])
        limits = files.read(data.decode(), house.names, default_terms(house), file)
    except UnicodeDecodeError as error:
        return LoadResult(None, (Fault(Place(file, data[:error.start].count(b"\n") + 1, 1), "", "not UTF-8"),))
    except FileRejected as error:
        return LoadResult(None, tuple(error.faults))
    objections = tuple(prove(limits, house))
    return LoadResult(None if objections else limits, (), objections)


def load_file(path: str, house: DirectorFile) -> LoadResult:
    name = path.rpartition("/")[2]
    try:
        with open(path, "rb") as stream:
            return load(stream.read(MOST_BYTES + 1), name, house)
    except OSError as error:
        return LoadResult(None, (Fault(Place(name, 1, 1), "", f"cannot be read: {error.strerror}"),))

"""Versions of things, and a director's stand: the set of those in force there. Pure.

A version's hash is of its canonical text, so that the same content is the same version wherever it was read; a stand's id is made of kinds and hashes
alone, so that two directors on the same versions have the same id, whoever issued them and however each counts.
"""
from hashlib import sha256
from typing import Iterable, NamedTuple

PROGRAM, DIRECTOR_FILE, KEYS, LIMITS, RULES, LIST, PLAN = "program", "file", "keys", "limits", "rules", "list", "plan"
KINDS = (PROGRAM, DIRECTOR_FILE, KEYS, LIMITS, RULES, LIST, PLAN)
ROLLOUT_KINDS = (LIMITS,)               # kinds that are the same for all directors, and of which a running one takes a file over
HASH_DIGITS, ID_DIGITS = 16, 12        # hexadecimal: 64 bits of a version, 48 of a stand: among thousands none meet by chance


class Version(NamedTuple):
    """One version of a thing. `number`: as its issuer counts, 0 where nobody does."""
    kind: str
    number: int
    hash: str
    issuer: str

    def text(self) -> str:
        return f"{self.kind} {self.hash[:8]}" + (f" (number {self.number})" if self.number else "") + (f" of {self.issuer}" if self.issuer else "")


class VersionSet(NamedTuple):
    """Versions in force together, one of a kind, in the order of KINDS."""
    id: str
    versions: tuple[Version, ...]

    def of(self, kind: str) -> Version | None:
        return next((version for version in self.versions if version.kind == kind), None)


def hashed(*texts: str | bytes) -> str:
    """Of texts in order, each told apart from the next by its length."""
    whole = sha256()
    for text in texts:
        data = text.encode() if isinstance(text, str) else text
        whole.update(b"%d:" % len(data) + data)
    return whole.hexdigest()[:HASH_DIGITS]


def version(kind: str, texts: Iterable[str | bytes], issuer: str = "", number: int = 0) -> Version:
    return Version(kind, number, hashed(*texts), issuer)


def version_set(versions: Iterable[Version]) -> VersionSet:
    """Raises ValueError for a kind that is unknown or told twice."""
    held = sorted(versions, key=lambda v: KINDS.index(v.kind))
    if len({v.kind for v in held}) != len(held):
        raise ValueError("two versions of one kind")
    return VersionSet(sha256("\n".join(f"{v.kind} {v.hash}" for v in held).encode()).hexdigest()[:ID_DIGITS], tuple(held))

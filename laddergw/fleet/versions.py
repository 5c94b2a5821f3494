"""Versions of configuration and of the program, and the set of versions in force at a director. Does no input or output.

A version's hash is taken of its canonical text, so the same content is the same version wherever it was read. The id of a set is made of kinds
and hashes alone, so two directors on the same versions have the same id, whoever issued the versions and however each numbers them.
"""
from hashlib import sha256
from typing import Iterable, NamedTuple

PROGRAM, DIRECTOR_FILE, KEYS, LIMITS, RULES, LIST, PLAN = "program", "file", "keys", "limits", "rules", "list", "plan"
KINDS = (PROGRAM, DIRECTOR_FILE, KEYS, LIMITS, RULES, LIST, PLAN)
# Kinds that are the same for all directors, and of which a running director accepts a file.
ROLLOUT_KINDS = (LIMITS,)
# Hexadecimal digits: 64 bits of a version's hash, 48 of a set's id. Among thousands of them a chance collision is not to be expected.
HASH_DIGITS, ID_DIGITS = 16, 12


class Version(NamedTuple):
    """One version of one kind of content. `number`: as its issuer counts, 0 if nobody counts."""
    kind: str
    number: int
    hash: str
    issuer: str

    def text(self) -> str:
        """Returns the version in words for operators."""
        return f"{self.kind} {self.hash[:8]}" + (f" (number {self.number})" if self.number else "") + (f" of {self.issuer}" if self.issuer else "")


class VersionSet(NamedTuple):
    """Versions in force together, at most one of each kind, in the order of KINDS."""
    id: str
    versions: tuple[Version, ...]

    def of(self, kind: str) -> Version | None:
        """Returns the version of a kind, None if the set has none."""
        return next((version for version in self.versions if version.kind == kind), None)


def content_hash(*texts: str | bytes) -> str:
    """Returns the hash of texts in order; each is prefixed with its length, so that where a text ends counts."""
    digest = sha256()
    for text in texts:
        data = text.encode() if isinstance(text, str) else text
        digest.update(b"%d:" % len(data) + data)
    return digest.hexdigest()[:HASH_DIGITS]


def version(kind: str, texts: Iterable[str | bytes], issuer: str = "", number: int = 0) -> Version:
    """Returns the version of a kind whose canonical content is made of these texts."""
    return Version(kind, number, content_hash(*texts), issuer)


def version_set(versions: Iterable[Version]) -> VersionSet:
    """Returns the set of these versions. Raises ValueError for an unknown kind or two versions of one kind."""
    ordered = sorted(versions, key=lambda v: KINDS.index(v.kind))
    if len({v.kind for v in ordered}) != len(ordered):
        raise ValueError("two versions of one kind")
    return VersionSet(sha256("\n".join(f"{v.kind} {v.hash}" for v in ordered).encode()).hexdigest()[:ID_DIGITS], tuple(ordered))

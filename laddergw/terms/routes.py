"""Finds the forms of the operators' file that hold for a route, by a trie over its parts. Measured against a scan in benchmarks/routes.py.

A form stands at a prefix, such as "/shoreline/", and may ask for titles: patterns, with * and ?, of which one must match what of the route lies behind the prefix.
"""
from fnmatch import fnmatchcase
from typing import Iterable, NamedTuple


class RouteScope(NamedTuple):
    """Where a form holds. `titles` empty: for all behind the prefix. `order`: its place in the file."""
    prefix: str
    titles: tuple[str, ...]
    order: int

    def holds(self, route: str) -> bool:
        return route.startswith(self.prefix) and self.fits(route[len(self.prefix):])

    def fits(self, rest: str) -> bool:
        return not self.titles or any(fnmatchcase(rest, pattern) for pattern in self.titles)


class Node:
    """One part of prefixes."""
    __slots__ = ("parts", "ends")

    def __init__(self):
        self.parts: dict[str, Node] = {}
        self.ends: list[tuple[str, RouteScope]] = []     # prefixes that end within the next part, with what they begin it with


class RouteTrie:
    """Forms by prefix. A prefix may end in the middle of a part: "/arch" holds for "/archive/7"."""

    def __init__(self, forms: Iterable[RouteScope]):
        self.root = Node()
        for at in forms:
            *parts, last = at.prefix.split("/")
            node = self.root
            for part in parts:
                node = node.parts.setdefault(part, Node())
            node.ends.append((last, at))

    def find(self, route: str) -> list[RouteScope]:
        """All forms that hold, the shortest prefix first; at one prefix those without titles first, then in the file's order."""
        found, node = [], self.root
        for part in route.split("/"):
            for begins, at in node.ends:
                if part.startswith(begins) and at.fits(route[len(at.prefix):]):
                    found.append(at)
            node = node.parts.get(part)
            if node is None:
                break
        return sorted(found, key=rank)


def rank(at: RouteScope) -> tuple:
    return len(at.prefix), bool(at.titles), at.order


def scan(forms: Iterable[RouteScope], route: str) -> list[RouteScope]:
    """The same by a walk of all forms: for small files, and to measure against."""
    return sorted((at for at in forms if at.holds(route)), key=rank)

"""Finds the forms of the operators' limits file that apply to a route, with a trie over the route's segments. benchmarks/routes.py compares it with a scan.

A form applies below a prefix, such as "/shoreline/", and may be restricted to titles: patterns with * and ?, one of which must match the rest of the route after the prefix.
"""
from fnmatch import fnmatchcase
from typing import Iterable, NamedTuple


class RouteScope(NamedTuple):
    """The routes that a form applies to. Without `titles`: all below the prefix. `order`: its position in the file."""
    prefix: str
    titles: tuple[str, ...]
    order: int

    def matches(self, route: str) -> bool:
        """Whether the form applies to a route."""
        return route.startswith(self.prefix) and self.matches_title(route[len(self.prefix):])

    def matches_title(self, rest: str) -> bool:
        """Whether a route's part after the prefix has one of the titles."""
        return not self.titles or any(fnmatchcase(rest, pattern) for pattern in self.titles)


class TrieNode:
    """A node of the trie, reached by whole segments of prefixes."""
    __slots__ = ("children", "scopes")

    def __init__(self):
        self.children: dict[str, TrieNode] = {}
        # Scopes whose prefix ends within the next segment, each with the beginning of that segment
        self.scopes: list[tuple[str, RouteScope]] = []


class RouteTrie:
    """Scopes by prefix. A prefix may end in the middle of a segment: "/arch" applies to "/archive/7"."""

    def __init__(self, scopes: Iterable[RouteScope]):
        self.root = TrieNode()
        for scope in scopes:
            *segments, last = scope.prefix.split("/")
            node = self.root
            for segment in segments:
                node = node.children.setdefault(segment, TrieNode())
            node.scopes.append((last, scope))

    def find(self, route: str) -> list[RouteScope]:
        """All scopes that match, the shortest prefix first; at one prefix those without titles first, then in the order of the file."""
        found, node = [], self.root
        for segment in route.split("/"):
            for beginning, scope in node.scopes:
                if segment.startswith(beginning) and scope.matches_title(route[len(scope.prefix):]):
                    found.append(scope)
            node = node.children.get(segment)
            if node is None:
                break
        return sorted(found, key=precedence)


def precedence(scope: RouteScope) -> tuple:
    """The sort key of scopes: values of later ones win."""
    return len(scope.prefix), bool(scope.titles), scope.order


def scan(scopes: Iterable[RouteScope], route: str) -> list[RouteScope]:
    """The same result from a scan of all scopes: for small files, and as the reference in tests and benchmarks."""
    return sorted((scope for scope in scopes if scope.matches(route)), key=precedence)

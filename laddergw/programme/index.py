"""Indexes rules by route and time, so that a look-up does not walk all rules: a trie of path parts with an interval tree at each node.

Measured against a plain list in benchmarks/rule_index.py.
"""
import math
from typing import Iterable, Iterator

from laddergw.programme.rules import Rule


class IntervalTree:
    """Rules by the time in which they hold: an array sorted by start that is searched as a balanced tree; each entry knows the latest end below it."""

    def __init__(self, rules: list[tuple[int, Rule]]):
        self.rules = sorted(rules, key=lambda entry: (entry[1].since, entry[0]))
        self.latest_ends = [-math.inf] * len(self.rules)
        self.build(0, len(self.rules))

    def build(self, low: int, high: int) -> float:
        """Fills in the latest ends of the rules from `low` to before `high`, and returns the latest of them."""
        if low >= high:
            return -math.inf
        middle = (low + high) // 2
        self.latest_ends[middle] = max(self.rules[middle][1].until, self.build(low, middle), self.build(middle + 1, high))
        return self.latest_ends[middle]

    def at(self, time_ms: float) -> Iterator[tuple[int, Rule]]:
        """The rules that hold at a time, each with its number."""
        stack = [(0, len(self.rules))]
        while stack:
            low, high = stack.pop()
            if low >= high:
                continue
            middle = (low + high) // 2
            # All rules of this subtree have ended
            if self.latest_ends[middle] <= time_ms:
                continue
            entry = self.rules[middle]
            stack.append((low, middle))
            if entry[1].since <= time_ms:
                if time_ms < entry[1].until:
                    yield entry
                stack.append((middle + 1, high))


class TrieNode:
    """A node of the trie: its children by path part, and the rules whose route ends here."""
    __slots__ = ("children", "rules", "intervals")

    def __init__(self):
        self.children: dict[str, TrieNode] = {}
        self.rules: list[tuple[int, Rule]] = []
        self.intervals: IntervalTree | None = None


def path_parts(route: str) -> list[str]:
    """The parts of a route between its slashes; empty ones do not count."""
    return [part for part in route.split("/") if part]


class RuleIndex:
    """Rules by route and time. A rule's route "/shore/" holds for all paths below it; a rule without routes holds for all."""

    def __init__(self, rules: Iterable[Rule]):
        self.root = TrieNode()
        for number, rule in enumerate(rules):
            for route in rule.routes or ("/",):
                node = self.root
                for part in path_parts(route):
                    node = node.children.setdefault(part, TrieNode())
                node.rules.append((number, rule))
        self.build_intervals(self.root)

    def build_intervals(self, root: TrieNode) -> None:
        """Builds the interval tree of every node, once all rules are in the trie."""
        stack = [root]
        while stack:
            node = stack.pop()
            node.intervals = IntervalTree(node.rules)
            stack.extend(node.children.values())

    def find(self, route: str, product: str, time_ms: float) -> list[Rule]:
        """The rules that hold for a route, a product and a time (ms since 1970), in the file's order."""
        found: dict[int, Rule] = {}
        node: TrieNode | None = self.root
        for part in path_parts(route) + [None]:
            for number, rule in node.intervals.at(time_ms):
                if not rule.products or product in rule.products:
                    found[number] = rule
            node = node.children.get(part) if part is not None else None
            if node is None:
                break
        return [found[number] for number in sorted(found)]


def find_by_scan(rules: tuple[Rule, ...], route: str, product: str, time_ms: float) -> list[Rule]:
    """The same by a linear scan of all rules: the reference that the index is tested and measured against."""
    route_parts = path_parts(route)
    return [rule for rule in rules if rule.since <= time_ms < rule.until and (not rule.products or product in rule.products)
            and (not rule.routes or any(route_parts[:len(p)] == p for p in map(path_parts, rule.routes)))]

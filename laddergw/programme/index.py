"""Keeps rules so that those for a route at a time are found without walking all: a trie of path parts, intervals at each node.

Measured against a plain list in benchmarks/rule_index.py.
"""
import math
from typing import Iterable, Iterator

from laddergw.programme.rules import Rule


class Intervals:
    """Rules by the time in which they hold: sorted by start, with the latest end of each half on the way down."""

    def __init__(self, rules: list[tuple[int, Rule]]):
        self.rules = sorted(rules, key=lambda entry: (entry[1].since, entry[0]))
        self.latest = [-math.inf] * len(self.rules)
        self.build(0, len(self.rules))

    def build(self, low: int, high: int) -> float:
        if low >= high:
            return -math.inf
        middle = (low + high) // 2
        self.latest[middle] = max(self.rules[middle][1].until, self.build(low, middle), self.build(middle + 1, high))
        return self.latest[middle]

    def at(self, when: float) -> Iterator[tuple[int, Rule]]:
        stack = [(0, len(self.rules))]
        while stack:
            low, high = stack.pop()
            if low >= high:
                continue
            middle = (low + high) // 2
            if self.latest[middle] <= when:
                continue                         # all of this part has ended
            entry = self.rules[middle]
            stack.append((low, middle))
            if entry[1].since <= when:
                if when < entry[1].until:
                    yield entry
                stack.append((middle + 1, high))


class Branch:
    """A node of the trie: its children by path part, and the rules whose route ends here."""
    __slots__ = ("children", "rules", "intervals")

    def __init__(self):
        self.children: dict[str, Branch] = {}
        self.rules: list[tuple[int, Rule]] = []
        self.intervals: Intervals | None = None


def parts(route: str) -> list[str]:
    return [part for part in route.split("/") if part]


class RuleIndex:
    """Rules by route and time. A rule's route "/shore/" holds for all paths below it; a rule without routes for all."""

    def __init__(self, rules: Iterable[Rule]):
        self.root = Branch()
        for number, rule in enumerate(rules):
            for route in rule.routes or ("/",):
                branch = self.root
                for part in parts(route):
                    branch = branch.children.setdefault(part, Branch())
                branch.rules.append((number, rule))
        self.seal(self.root)

    def seal(self, root: Branch) -> None:
        stack = [root]
        while stack:
            branch = stack.pop()
            branch.intervals = Intervals(branch.rules)
            stack.extend(branch.children.values())

    def find(self, route: str, product: str, when: float) -> list[Rule]:
        """The rules that hold for a route, a product and a time (ms since 1970), in the file's order."""
        found: dict[int, Rule] = {}
        branch: Branch | None = self.root
        for part in parts(route) + [None]:
            for number, rule in branch.intervals.at(when):
                if not rule.products or product in rule.products:
                    found[number] = rule
            branch = branch.children.get(part) if part is not None else None
            if branch is None:
                break
        return [found[number] for number in sorted(found)]


def find_by_scan(rules: tuple[Rule, ...], route: str, product: str, when: float) -> list[Rule]:
    """The same by walking all rules: what the index is measured and tested against."""
    asked = parts(route)
    return [rule for rule in rules if rule.since <= when < rule.until and (not rule.products or product in rule.products)
            and (not rule.routes or any(asked[:len(p)] == p for p in map(parts, rule.routes)))]

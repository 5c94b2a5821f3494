"""Rules by route and time: the index against a walk of all rules, at 10 to 10,000 rules.

    PYTHONPATH=. .venv/bin/python benchmarks/rule_index.py
"""
import random
import time

from laddergw.programme.index import RuleIndex, find_by_scan
from laddergw.programme.rules import BEFORE, SKIP, Rule

QUERIES, ROUNDS = 300, 5


def drawn(count: int) -> tuple[Rule, ...]:
    draw = random.Random(count)
    return tuple(Rule(f"r{n}", ("i",), BEFORE, (), None, frozenset(draw.sample("abcd", draw.choice((0, 1, 2)))),
                      ("/" + "/".join(str(draw.randrange(20)) for _ in range(draw.choice((1, 2, 2, 3)))),),
                      since := draw.uniform(0, 1000), since + draw.uniform(5, 100), 0, 0, 0.0, SKIP) for n in range(count))


def main() -> None:
    print("rules   walk us   index us   ratio   build ms")
    for count in (10, 100, 1_000, 10_000):
        rules, draw = drawn(count), random.Random(7)
        began = time.perf_counter()
        index = RuleIndex(rules)
        build = (time.perf_counter() - began) * 1000
        asks = [("/" + "/".join(str(draw.randrange(20)) for _ in range(4)), draw.choice("abcd"), draw.uniform(0, 1100)) for _ in range(QUERIES)]
        assert all(index.find(*ask) == find_by_scan(rules, *ask) for ask in asks[:50])
        rows = []
        for _ in range(ROUNDS):
            row = []
            for find in (lambda ask: find_by_scan(rules, *ask)), (lambda ask: index.find(*ask)):
                began = time.perf_counter()
                for ask in asks:
                    find(ask)
                row.append((time.perf_counter() - began) / QUERIES * 1e6)
            rows.append(row)
        walk, found = (sorted(row[k] for row in rows)[ROUNDS // 2] for k in (0, 1))
        print(f"{count:5} {walk:9.1f} {found:10.1f} {walk / found:7.1f} {build:10.1f}")


if __name__ == "__main__":
    main()

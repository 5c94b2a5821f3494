"""Rules by route and time: the index against a linear scan of all rules, at 10 to 10,000 rules.

    PYTHONPATH=. .venv/bin/python benchmarks/rule_index.py
"""
import random
import time

from laddergw.programme.index import RuleIndex, find_by_scan
from laddergw.programme.rules import BEFORE, SKIP, Rule

QUERIES, ROUNDS = 300, 5


def random_rules(count: int) -> tuple[Rule, ...]:
    """Rules with random products, routes and times, the same for each count."""
    draw = random.Random(count)
    return tuple(Rule(f"r{n}", ("i",), BEFORE, (), None, frozenset(draw.sample("abcd", draw.choice((0, 1, 2)))),
                      ("/" + "/".join(str(draw.randrange(20)) for _ in range(draw.choice((1, 2, 2, 3)))),),
                      since := draw.uniform(0, 1000), since + draw.uniform(5, 100), 0, 0, 0.0, SKIP) for n in range(count))


def main() -> None:
    """Prints the time of a look-up by scan and by index, for each number of rules."""
    print("rules   walk us   index us   ratio   build ms")
    for count in (10, 100, 1_000, 10_000):
        rules, draw = random_rules(count), random.Random(7)
        began = time.perf_counter()
        index = RuleIndex(rules)
        build = (time.perf_counter() - began) * 1000
        queries = [("/" + "/".join(str(draw.randrange(20)) for _ in range(4)), draw.choice("abcd"), draw.uniform(0, 1100)) for _ in range(QUERIES)]
        assert all(index.find(*query) == find_by_scan(rules, *query) for query in queries[:50])
        rows = []
        for _ in range(ROUNDS):
            row = []
            for find in (lambda query: find_by_scan(rules, *query)), (lambda query: index.find(*query)):
                began = time.perf_counter()
                for query in queries:
                    find(query)
                row.append((time.perf_counter() - began) / QUERIES * 1e6)
            rows.append(row)
        scan_us, index_us = (sorted(row[k] for row in rows)[ROUNDS // 2] for k in (0, 1))
        print(f"{count:5} {scan_us:9.1f} {index_us:10.1f} {scan_us / index_us:7.1f} {build:10.1f}")


if __name__ == "__main__":
    main()

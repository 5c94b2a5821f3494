"""Routes of the operators' file found by the trie against a scan of all, at 10 to 10,000 routes; and what limits cost a play on its way in.

    PYTHONPATH=. .venv/bin/python benchmarks/routes.py
"""
import time
from zlib import crc32

from laddergw.machines.play import PlayState
from laddergw.machines.concurrency import ConcurrencyLimits, at_limit
from laddergw.machines.retry_budget import RetryBudgets
from laddergw.lab.plant import plant
from laddergw.terms.director_file import read as read_house
from laddergw.terms import limits as files
from laddergw.terms.generations import budget_terms, budget_names
from laddergw.terms.loading import load, default_terms
from laddergw.terms.routes import RouteScope, RouteTrie, scan

ASKS = 2_000


def forms(count: int) -> list[RouteScope]:
    return [RouteScope(f"/{crc32(b'a%d' % (n % 50)) % 60}/{crc32(b'b%d' % n) % 400}/", ("tide-*",) if n % 5 == 0 else (), n) for n in range(count)]


def each_us(call, asks: list) -> float:
    began = time.perf_counter()
    for ask in asks:
        call(ask)
    return (time.perf_counter() - began) / len(asks) * 1e6


def routes() -> None:
    for count in (10, 100, 1_000, 10_000):
        drawn = forms(count)
        trie, asks = RouteTrie(drawn), [f"{drawn[n * 7 % count].prefix}tide-{n}" for n in range(ASKS if count < 10_000 else 200)]
        assert all(trie.find(ask) == scan(drawn, ask) for ask in asks[:50])
        plain, quick = each_us(lambda ask: scan(drawn, ask), asks), each_us(trie.find, asks)
        print(f"{count:6} routes: trie {quick:8.1f} us, scan {plain:8.1f} us, {plain / quick:6.1f} times")


def path() -> None:
    """The request path: found values, a life, budgets, the room; looked up before or not."""
    house = read_house(plant(1).house(0, ("h", 1), ("h", 1), 1))
    text = "(limits (adaptive gradient) (tenant t (budget (free 5) (share 0.1)))" + "".join(f'(route "/r{n}/" (tenant t) (connect-ms {100 + n}))' for n in range(200)) + ")"
    limits = files.read(text, house.names, default_terms(house))
    began = time.perf_counter()
    assert load(text.encode(), "x", house).limits is not None
    print(f"a file of 200 routes with values of their own, five products: checked in {time.perf_counter() - began:.2f} s")
    budgets, room = RetryBudgets(), ConcurrencyLimits("gradient")
    budgets.configure(budget_terms(limits))
    ready = list(range(24))

    def one(route: str) -> None:
        found = limits.find(route, "hearing")
        PlayState(found.terms, "safe", 0.0, 4_000.0, 40.0)
        names = budget_names(found.entries, limits)
        at_limit(3, room.total_limit(ready), 3.0, 3.0, 1)
        budgets.record_play(names, 1.0)
        budgets.may_retry(names, 1.0)
    fresh = [f"/r{n % 200}/{n}" for n in range(10_000)]
    print(f"limits on the request path: {each_us(one, fresh):.1f} us for a route asked for the first time, {each_us(one, fresh):.1f} us after that")


if __name__ == "__main__":
    routes()
    path()

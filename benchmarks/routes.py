"""Compares the trie of a limits file's routes with a scan, at 10 to 10,000 routes, and measures what limits cost each play request.

    PYTHONPATH=. .venv/bin/python benchmarks/routes.py
"""
import time
from zlib import crc32

from laddergw.machines.play import PlayState
from laddergw.machines.concurrency import ConcurrencyLimits, at_limit
from laddergw.machines.retry_budget import RetryBudgets
from laddergw.lab.deployment_model import build_deployment
from laddergw.terms.director_file import read as read_settings
from laddergw.terms import limits as limits_file
from laddergw.terms.generations import budget_names, budget_terms
from laddergw.terms.loading import load, default_terms
from laddergw.terms.routes import RouteScope, RouteTrie, scan

LOOKUPS = 2_000


def sample_scopes(count: int) -> list[RouteScope]:
    """Scopes of so many routes, a fifth of them with a title."""
    return [RouteScope(f"/{crc32(b'a%d' % (n % 50)) % 60}/{crc32(b'b%d' % n) % 400}/", ("tide-*",) if n % 5 == 0 else (), n) for n in range(count)]


def mean_us(call, routes: list) -> float:
    """Mean time of a call in µs."""
    began = time.perf_counter()
    for route in routes:
        call(route)
    return (time.perf_counter() - began) / len(routes) * 1e6


def compare_lookups() -> None:
    """Prints the times of the trie and the scan."""
    for count in (10, 100, 1_000, 10_000):
        scopes = sample_scopes(count)
        trie, lookups = RouteTrie(scopes), [f"{scopes[n * 7 % count].prefix}tide-{n}" for n in range(LOOKUPS if count < 10_000 else 200)]
        assert all(trie.find(route) == scan(scopes, route) for route in lookups[:50])
        scan_us, trie_us = mean_us(lambda route: scan(scopes, route), lookups), mean_us(trie.find, lookups)
        print(f"{count:6} routes: trie {trie_us:8.1f} us, scan {scan_us:8.1f} us, {scan_us / trie_us:6.1f} times")


def measure_requests() -> None:
    """Prints the time that a play request spends on limits: values, play state, budgets, concurrency limit; for routes that are cached or not."""
    settings = read_settings(build_deployment(1).director_file(0, ("h", 1), ("h", 1), 1))
    text = "(limits (adaptive gradient) (tenant t (budget (free 5) (share 0.1)))" + "".join(f'(route "/r{n}/" (tenant t) (connect-ms {100 + n}))' for n in range(200)) + ")"
    limits = limits_file.read(text, settings.names, default_terms(settings))
    began = time.perf_counter()
    assert load(text.encode(), "x", settings).limits is not None
    print(f"a file of 200 routes with values of their own, five products: checked in {time.perf_counter() - began:.2f} s")
    budgets, concurrency = RetryBudgets(), ConcurrencyLimits("gradient")
    budgets.configure(budget_terms(limits))
    ready = list(range(24))

    def request(route: str) -> None:
        effective = limits.find(route, "hearing")
        PlayState(effective.terms, "safe", 0.0, 4_000.0, 40.0)
        names = budget_names(effective.entries, limits)
        at_limit(3, concurrency.total_limit(ready), 3.0, 3.0, 1)
        budgets.record_play(names, 1.0)
        budgets.charge_retry(names, 1.0)
    new_routes = [f"/r{n % 200}/{n}" for n in range(10_000)]
    print(f"limits on the request path: {mean_us(request, new_routes):.1f} us for a route asked for the first time, {mean_us(request, new_routes):.1f} us after that")


if __name__ == "__main__":
    compare_lookups()
    measure_requests()

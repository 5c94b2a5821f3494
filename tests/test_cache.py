"""The edge's cache: never over its limits, never an expired value, and popular entries stay through a wave of others."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.edge.cache import CacheLimits, Cache


class CacheTest(unittest.TestCase):
    @settings(max_examples=200)
    @given(st.lists(st.tuples(st.integers(0, 12), st.integers(0, 60), st.floats(0, 400), st.booleans()), max_size=80))
    def test_limits_and_values_hold(self, steps):
        cache, now, expected = Cache(CacheLimits(100, 50, 1_000.0)), 0.0, {}
        for name, size, elapsed, is_get in steps:
            now += elapsed
            if is_get:
                value = cache.get(str(name), now)
                if value is not None:
                    self.assertEqual(value, expected[str(name)][0])
                    self.assertLess(now - expected[str(name)][1], 1_000.0)
            else:
                kept = cache.put(str(name), (name, now), size, now)
                self.assertEqual(kept, size <= 50)
                if kept:
                    expected[str(name)] = ((name, now), now)
            self.assertLessEqual(cache.total_bytes, 100)
            self.assertEqual(cache.total_bytes, sum(e.size for e in cache.entries.values()))
            self.assertEqual(cache.small_bytes, sum(e.size for e in cache.entries.values() if e.small))

    def test_titles_requested_once_do_not_evict_popular_ones(self):
        cache = Cache(CacheLimits(20, 5, 1e9))
        for _ in range(3):
            for name in "abcdefgh":
                if cache.get(name, 0.0) is None:
                    cache.put(name, name, 1, 0.0)
        for number in range(500):
            cache.put(f"once{number}", number, 1, 0.0)
        self.assertGreaterEqual(sum(cache.get(name, 0.0) is not None for name in "abcdefgh"), 7)


if __name__ == "__main__":
    unittest.main()

"""The edge's cache: never over its bounds, never a stale value, and what is wanted much stays through a wave."""
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.edge.cache import CacheLimits, Cache


class Kept(unittest.TestCase):
    @settings(max_examples=200)
    @given(st.lists(st.tuples(st.integers(0, 12), st.integers(0, 60), st.floats(0, 400), st.booleans()), max_size=80))
    def test_bounds_and_values(self, steps):
        cache, now, told = Cache(CacheLimits(100, 50, 1_000.0)), 0.0, {}
        for name, size, later, ask in steps:
            now += later
            if ask:
                value = cache.get(str(name), now)
                if value is not None:
                    self.assertEqual(value, told[str(name)][0])
                    self.assertLess(now - told[str(name)][1], 1_000.0)
            else:
                kept = cache.put(str(name), (name, now), size, now)
                self.assertEqual(kept, size <= 50)
                if kept:
                    told[str(name)] = ((name, now), now)
            self.assertLessEqual(cache.total_bytes, 100)
            self.assertEqual(cache.total_bytes, sum(e.size for e in cache.entries.values()))
            self.assertEqual(cache.small_bytes, sum(e.size for e in cache.entries.values() if e.small))

    def test_a_wave_of_titles_asked_for_once_leaves_the_wanted_ones(self):
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

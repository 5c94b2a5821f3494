"""Days of a bench as rehearsals: every kind of trouble has its handler, what has none is said, bad files are refused."""
import json
import pathlib
import tempfile
import unittest

from laddergw.lab import days
from laddergw.lab.script import KINDS

US = 1_000_000


def day(*troubles):
    """A small day of the file's form: three racks, two kinds, two products."""
    kind = dict(name="k", cores=2, cold_from=0.5, cold=6 * US)
    product = dict(name="a", share=0.5, worth=1.0, effect="safe", deadline=4 * US, aim=US, window=5 * US)
    return {
        "site": "made-up", "kind": "only", "length": 40 * US, "troubles": list(troubles), "drain_grace": 250_000, "fall_multiple": 2.0, "fall_for": US,
        "traffic": {"load": 0.5, "shape": [[0.0, 0.5], [40.0, 1.5]]}, "clients": {"retries": 1, "backoff_us": 30_000.0},
        "discovery": {"notice": 2 * US, "silent_notice": 6 * US}, "allow": {"max_attempts": 3},
        "budget": {"share": 0.1, "free": 5.0, "window": 10 * US}, "classes": [product, dict(product, name="b", effect="unsafe")],
        "tiers": [{"kinds": [kind, dict(kind, cores=3)], "stated_cold_from": 0.5, "stated_cold": 6 * US}],
        "servers": [{"tier": 0, "up": n < 9, "kind": n % 2, "cell": n % 6, "weight": 2.0, "speed": 1.0} for n in range(10)],
        "balancers": [{"tier": 0}] * 3,
        "fam": {"capacity": 6.0, "cells": 6, "racks": 3, "core_kb": 2_000.0, "core_slots": 6.0, "guard": 1.2, "life_s": 30.0, "rates": [100.0, 200.0, 400.0],
                "returns": 0.9, "rejoin_us": US, "see": 800_000, "small_screens": 0.2, "titles": 50, "uplink_kb": [9e3, 8e3, 7e3], "vary": 0.1,
                "worth": [0.3, 0.6, 1.0], "uses": [{"floor": 0, "top": 2, "life": 1.0, "scale": 1.0, "seats": 0}, {"floor": 1, "top": 2, "life": 1.0, "scale": 1.2, "seats": 2}]}}


def trouble(kind, **more):
    return {"kind": kind, "at": 10 * US, "len": 8 * US, "size": 0.4, "extra": 2.0, "on": [0, 2],
            "steps": [{"at": 12 * US, "stop": [1, 3], "start": [10, 11]}]} | more


class Days(unittest.TestCase):
    def read(self, content, **more):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "day.json"
            path.write_text(content if isinstance(content, str) else json.dumps(content))
            return days.read(path, 1, **more)

    def test_each_kind_is_played(self):
        for kind in days.HANDLERS:
            with self.subTest(kind):
                mapped = self.read(day(trouble(kind, size=1_500.0 if kind == "balancer_stall" else 2.0 if kind == "slow" else 0.4)))
                self.assertFalse([line for line in mapped.said if "not played" in line])
                self.assertTrue(mapped.script or mapped.model.crowd.bursts or mapped.model.crowd.hot)
                self.assertTrue(all(t.kind in KINDS and t.at >= 10_000 for t in mapped.script))

    def test_what_has_no_handler_is_said(self):
        mapped = self.read(day(trouble("flood"), trouble("crash")))
        self.assertIn("not played: trouble 'flood' at 10.0 s has no handler", mapped.said)
        self.assertEqual({t.kind for t in mapped.script}, {"die", "return"})

    def test_compressed_time_is_said_and_kept(self):
        slow, fast = self.read(day(trouble("hang"))), self.read(day(trouble("hang")), speed=2.0)
        self.assertEqual([t.at / 2 for t in slow.script], [t.at for t in fast.script])
        self.assertEqual(fast.model.crowd.rate, 2 * slow.model.crowd.rate)
        self.assertEqual(fast.model.wares[0].wait_ms, slow.model.wares[0].wait_ms)
        self.assertTrue(any("compressed 2 times" in line for line in fast.said))

    def test_the_plant_is_the_days(self):
        plant = self.read(day()).model
        self.assertEqual((plant.directors, len(plant.nodes), plant.racks, plant.budget), (3, 9, 3, (5.0, 0.1, 10_000.0)))
        self.assertEqual([(w.repeat, w.floor, w.seats) for w in plant.wares], [("safe", 0, 0), ("paid", 1, 2)])

    def test_files_that_are_no_day(self):
        broken = day()
        del broken["fam"]
        for content in "{", "[]", "{}", json.dumps(broken):
            with self.assertRaises(days.InvalidDayFile):
                self.read(content)
        with self.assertRaises(days.InvalidDayFile):
            self.read(day(), speed=0)


if __name__ == "__main__":
    unittest.main()

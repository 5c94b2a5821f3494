"""Bench days as rehearsals: every kind of fault has its handler, a fault without one is reported, bad files are rejected."""
import json
import pathlib
import tempfile
import unittest

from laddergw.lab import days
from laddergw.lab.script import KINDS

US_PER_S = 1_000_000


def day(*faults):
    """A small day in the file's form: three racks, two kinds of node, two products."""
    kind = dict(name="k", cores=2, cold_from=0.5, cold=6 * US_PER_S)
    product = dict(name="a", share=0.5, worth=1.0, effect="safe", deadline=4 * US_PER_S, aim=US_PER_S, window=5 * US_PER_S)
    return {
        "site": "made-up", "kind": "only", "length": 40 * US_PER_S, "troubles": list(faults), "drain_grace": 250_000, "fall_multiple": 2.0, "fall_for": US_PER_S,
        "traffic": {"load": 0.5, "shape": [[0.0, 0.5], [40.0, 1.5]]}, "clients": {"retries": 1, "backoff_us": 30_000.0},
        "discovery": {"notice": 2 * US_PER_S, "silent_notice": 6 * US_PER_S}, "allow": {"max_attempts": 3},
        "budget": {"share": 0.1, "free": 5.0, "window": 10 * US_PER_S}, "classes": [product, dict(product, name="b", effect="unsafe")],
        "tiers": [{"kinds": [kind, dict(kind, cores=3)], "stated_cold_from": 0.5, "stated_cold": 6 * US_PER_S}],
        "servers": [{"tier": 0, "up": n < 9, "kind": n % 2, "cell": n % 6, "weight": 2.0, "speed": 1.0} for n in range(10)],
        "balancers": [{"tier": 0}] * 3,
        "fam": {"capacity": 6.0, "cells": 6, "racks": 3, "core_kb": 2_000.0, "core_slots": 6.0, "guard": 1.2, "life_s": 30.0, "rates": [100.0, 200.0, 400.0],
                "returns": 0.9, "rejoin_us": US_PER_S, "see": 800_000, "small_screens": 0.2, "titles": 50, "uplink_kb": [9e3, 8e3, 7e3], "vary": 0.1,
                "worth": [0.3, 0.6, 1.0], "uses": [{"floor": 0, "top": 2, "life": 1.0, "scale": 1.0, "seats": 0}, {"floor": 1, "top": 2, "life": 1.0, "scale": 1.2, "seats": 2}]}}


def fault(kind, **fields):
    """A fault of a day, with defaults for all fields."""
    return {"kind": kind, "at": 10 * US_PER_S, "len": 8 * US_PER_S, "size": 0.4, "extra": 2.0, "on": [0, 2],
            "steps": [{"at": 12 * US_PER_S, "stop": [1, 3], "start": [10, 11]}]} | fields


class DayTest(unittest.TestCase):
    def read(self, content, **options):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "day.json"
            path.write_text(content if isinstance(content, str) else json.dumps(content))
            return days.read(path, 1, **options)

    def test_each_kind_of_fault_is_played(self):
        for kind in days.HANDLERS:
            with self.subTest(kind):
                mapped = self.read(day(fault(kind, size=1_500.0 if kind == "balancer_stall" else 2.0 if kind == "slow" else 0.4)))
                self.assertFalse([line for line in mapped.said if "not played" in line])
                self.assertTrue(mapped.script or mapped.model.crowd.bursts or mapped.model.crowd.hot)
                self.assertTrue(all(event.kind in KINDS and event.at >= 10_000 for event in mapped.script))

    def test_fault_without_handler_is_reported(self):
        mapped = self.read(day(fault("flood"), fault("crash")))
        self.assertIn("not played: trouble 'flood' at 10.0 s has no handler", mapped.said)
        self.assertEqual({event.kind for event in mapped.script}, {"die", "return"})

    def test_compressed_time_is_reported_and_applied(self):
        slow, fast = self.read(day(fault("hang"))), self.read(day(fault("hang")), speed=2.0)
        self.assertEqual([event.at / 2 for event in slow.script], [event.at for event in fast.script])
        self.assertEqual(fast.model.crowd.rate, 2 * slow.model.crowd.rate)
        self.assertEqual(fast.model.wares[0].wait_ms, slow.model.wares[0].wait_ms)
        self.assertTrue(any("compressed 2 times" in line for line in fast.said))

    def test_deployment_follows_the_day(self):
        model = self.read(day()).model
        self.assertEqual((model.directors, len(model.nodes), model.racks, model.budget), (3, 9, 3, (5.0, 0.1, 10_000.0)))
        self.assertEqual([(product.repeat, product.floor, product.seats) for product in model.wares], [("safe", 0, 0), ("paid", 1, 2)])

    def test_invalid_files_are_rejected(self):
        broken = day()
        del broken["fam"]
        for content in "{", "[]", "{}", json.dumps(broken):
            with self.assertRaises(days.InvalidDayFile):
                self.read(content)
        with self.assertRaises(days.InvalidDayFile):
            self.read(day(), speed=0)


if __name__ == "__main__":
    unittest.main()

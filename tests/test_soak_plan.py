"""The plan of a trial: drawn from its seed alone, written to a file and read from it."""

import unittest

import msgspec

from laddergw.lab.soak import plan
from laddergw.lab.soak.faults import FaultInjector


class PlanTest(unittest.TestCase):
    """Draws, encodes and decodes plans."""

    def test_a_seed_gives_the_same_plan_to_the_byte(self):
        self.assertEqual(plan.to_json(plan.draw(7, 2)), plan.to_json(plan.draw(7, 2)))
        self.assertNotEqual(plan.draw(7, 2).faults, plan.draw(8, 2).faults)

    def test_a_plan_decodes_to_what_was_encoded(self):
        drawn = plan.draw(7, 2)
        self.assertEqual(plan.from_json(plan.to_json(drawn)), drawn)

    def test_input_that_is_not_a_plan_is_rejected(self):
        unknown = plan.to_json(plan.draw(7, 2)).replace(b'"kind": "', b'"kind": "un')
        for text in b"", b"{}", b"[1]", b'{"seed": "x"}', unknown:
            with (
                self.subTest(text[:20]),
                self.assertRaises((msgspec.ValidationError, msgspec.DecodeError)),
            ):
                plan.from_json(text)

    def test_faults_overlap_closely(self):
        """In most plans at least three faults begin or end within 200 ms of one another."""
        plans_with_meeting_faults = 0
        for seed in range(50):
            edges = sorted(
                (edge, number)
                for number, fault in enumerate(plan.draw(seed, 2).faults)
                for edge in (fault.at_ms, fault.ends_ms())
            )
            plans_with_meeting_faults += any(
                len({number for edge, number in edges if begins <= edge <= begins + 200.0}) >= 3
                for begins, _ in edges
            )
        self.assertGreater(plans_with_meeting_faults, 25)

    def test_each_kind_is_drawn_and_implemented(self):
        drawn = {fault.kind for seed in range(100) for fault in plan.draw(seed, 2).faults}
        self.assertEqual(drawn, set(plan.FAULT_KINDS))
        self.assertEqual(
            [
                kind
                for kind in plan.FAULT_KINDS
                if kind not in plan.CONDITIONS and not hasattr(FaultInjector, kind)
            ],
            [],
        )


if __name__ == "__main__":
    unittest.main()

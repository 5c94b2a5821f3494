"""The failure detector of a media node, at the edges of its limits."""

import unittest

from laddergw.platform.liveness import (
    CONTACT_LOST_MS,
    LOSS_LIMIT_MS,
    PING_AFTER_MS,
    SILENCE_LIMIT_MS,
    Liveness,
)

START = 50_000.0


class LivenessTest(unittest.TestCase):
    """One node that is watched from START on."""

    def setUp(self):
        self.liveness = Liveness(0.0)
        self.liveness.watch(START)

    def test_silence_counts_from_the_last_message(self):
        self.liveness.mark_heard(START + 400.0, True)
        self.liveness.mark_probed(START + 400.0 + PING_AFTER_MS)
        gone_at = START + 400.0 + SILENCE_LIMIT_MS
        self.assertFalse(self.liveness.is_gone(gone_at - 0.1))
        self.assertTrue(self.liveness.is_gone(gone_at))
        self.assertLess(SILENCE_LIMIT_MS, LOSS_LIMIT_MS)

    def test_silence_before_it_was_watched_does_not_count(self):
        self.assertFalse(self.liveness.needs_ping(START + PING_AFTER_MS - 0.1))
        self.assertTrue(self.liveness.needs_ping(START + PING_AFTER_MS))
        self.liveness.mark_probed(START)
        self.assertFalse(self.liveness.is_gone(START + SILENCE_LIMIT_MS - 0.1))

    def test_silence_without_unanswered_probes_proves_nothing(self):
        late = START + 10 * SILENCE_LIMIT_MS
        self.assertFalse(self.liveness.is_gone(late))
        self.liveness.mark_probed(late)
        self.assertFalse(self.liveness.is_gone(late + CONTACT_LOST_MS - 0.1))
        self.assertTrue(self.liveness.is_gone(late + CONTACT_LOST_MS))
        self.liveness.mark_heard(late + CONTACT_LOST_MS, True)
        self.assertFalse(self.liveness.is_gone(late + CONTACT_LOST_MS))

    def test_contact_is_lost_until_the_same_process_is_heard(self):
        self.liveness.mark_probed(START)
        lost_at = START + CONTACT_LOST_MS
        self.assertIsNone(self.liveness.lost_contact_at(lost_at - 0.1))
        self.liveness.mark_heard(lost_at + 500.0, False)
        self.assertEqual(self.liveness.lost_contact_at(lost_at + 1_000.0), lost_at)
        self.assertTrue(self.liveness.is_gone(START + SILENCE_LIMIT_MS))
        self.liveness.mark_heard(lost_at + 1_000.0, True)
        self.assertIsNone(self.liveness.lost_contact_at(lost_at + 1_000.0))


if __name__ == "__main__":
    unittest.main()

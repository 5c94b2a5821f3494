"""Decisions of a rollout, and a director's handling of offers and pieces."""
import hashlib
import os
import unittest

from laddergw.fleet import breadth_first_search, file_transfer, wanted
from laddergw.fleet.file_transfer import PIECE_BYTES, FileReceiver, Fetch, Offer
from laddergw.fleet.wanted import Answers, ProcessProgress, Rollout, Want
from laddergw.fleet.wanted_check import Rules, check

GOOD, OTHER = b"(limits (defaults (attempts 2)))", b"(limits (defaults (attempts 1)))"


def progress_of(count, on=(), zones=1, **changes):
    return [ProcessProgress(f"d{n}", f"d{n}-1", n % zones, True, 0.0, "v" * 16 if n in on else "w" * 16, True)._replace(**changes) for n in range(count)]


class RolloutDecisions(unittest.TestCase):
    def setUp(self):
        self.want = Want("limits", 1, "v" * 16, "", 10, 1_000.0)
        self.rollout, self.no_answers = Rollout(self.want, 0.0), Answers(0, 0)

    def update(self, observed, now, new=None, others=None):
        return self.rollout.update(observed, new or self.no_answers, others or self.no_answers, now)

    def test_steps_alternate_between_zones(self):
        """Two of forty directors first, of two zones; each step begins only after the soak time of the one before."""
        on, sizes, now = set(), [], 0.0
        while self.rollout.state != wanted.DONE:
            offer = self.update(progress_of(40, on, zones=4), now).offer
            if offer:
                sizes.append((len(on), len(offer), now))
                self.assertEqual(len({int(name[1:].partition("-")[0]) % 4 for name in offer}), min(4, len(offer)))
                on |= {int(name[1:].partition("-")[0]) for name in offer}
            now += 250.0
        self.assertEqual([row[:2] for row in sizes], [(0, 2), (2, 2), (4, 8), (12, 28)])
        self.assertTrue(all(b[2] - a[2] >= self.want.soak_ms for a, b in zip(sizes, sizes[1:])))

    def test_refusals_and_worse_answers_halt(self):
        for name, observed, answers in (("refused", lambda first: [progress._replace(outcome=file_transfer.REFUSED, why="key x") if progress.process == first else progress for progress in progress_of(9)], ()),
                                        ("worse", lambda first: progress_of(9), (Answers(80, 20), Answers(980, 20)))):
            with self.subTest(name):
                self.rollout = Rollout(self.want, 0.0)
                first = self.update(progress_of(9), 0.0).offer[0]
                step = self.update(observed(first), 250.0, *answers)
                self.assertEqual((step.offer, step.keep, self.rollout.state), ((), True, wanted.HALTED))
                self.assertIn("refused it: key x" if name == "refused" else "20.0% of 100", self.rollout.why)
                self.assertEqual(self.update(progress_of(9), 9_000.0).offer, ())
        self.assertEqual([wanted.worse(*pair) for pair in ((Answers(40, 9), Answers(980, 20)), (Answers(92, 8), Answers(950, 50)), (Answers(88, 12), Answers(98, 2)),
                                                           (Answers(80, 20), Answers(98, 2)))], [False, False, False, True])

    def test_crashes_halt_and_ordered_stops_do_not(self):
        self.update(progress_of(9, on=range(4)), 0.0)
        restarted = [progress._replace(process=f"{progress.director}-2") if progress.director in ("d0", "d1") else progress for progress in progress_of(9, on=range(4))]
        self.rollout.process_stopped("d0")
        self.update(restarted, 250.0)
        self.assertEqual((self.rollout.crashed, self.rollout.state), ({"d1"}, wanted.GOING))
        self.update([progress._replace(process=f"{progress.director}-3") for progress in restarted], 500.0)
        self.assertEqual(self.rollout.state, wanted.HALTED)

    def test_causes_of_directors_that_are_behind(self):
        order = [progress.director for progress in wanted.rollout_order(self.want, progress_of(9))]
        self.update(progress_of(9), 0.0)
        for _ in range(2):
            self.rollout.record_sent(f"{order[0]}-{_}")
        stall = {"stall_ms": 7_000.0, "stall_end": 15_000.0}
        for expected, changes in ((wanted.UNREACHABLE, {"heard": False}), (wanted.REFUSED, {"outcome": file_transfer.CONFLICT}), (wanted.FILE, {"outcome": file_transfer.IN_FORCE}), (wanted.UNSUPPORTED, {"takes": False}),
                                  (wanted.STALLED, stall), (wanted.IN_PROGRESS, {}), (wanted.FILE, {"trouble": "cannot be read"})):
            progress = ProcessProgress(order[1], f"{order[1]}-1", 0, True, 0.0, "w" * 16, True)._replace(**changes)
            self.assertEqual(self.rollout.cause(progress, 20_000.0)[0], expected, changes)
        progress = lambda director: ProcessProgress(director, f"{director}-9", 0, True, 0.0, "w" * 16, True)
        self.assertEqual([self.rollout.cause(progress(order[n]), 20_000.0)[0] for n in (0, 5)], [wanted.CRASHED, wanted.WAITING_FOR_TURN])
        self.assertIsNone(self.rollout.cause(progress(order[1])._replace(on="v" * 16), 20_000.0))


class FileReceiverTest(unittest.TestCase):
    def offer(self, number=1, data=GOOD, epoch=3, name="v" * 16):
        return Offer(epoch, "limits", number, name, hashlib.sha256(data).hexdigest(), len(data))

    def setUp(self):
        self.receiver = FileReceiver()
        self.receiver.kinds = ("limits",)

    def test_old_fenced_and_conflicting_offers(self):
        self.assertEqual(self.receiver.handle_offer(self.offer(5)), Fetch(5, 0))
        for offer in self.offer(6, epoch=2), self.offer(4), self.offer(6)._replace(kind="keys"), self.offer(6, b""), self.offer(6)._replace(size=file_transfer.MAX_FILE_BYTES + 1):
            self.assertIsNone(self.receiver.handle_offer(offer), offer)
        self.assertEqual(self.receiver.handle_offer(self.offer(5)), Fetch(5, 0))              # the same offer again: requested again
        self.assertIsNone(self.receiver.handle_offer(self.offer(5, OTHER, name="x" * 16)))
        self.assertEqual(self.receiver.outcome.what, file_transfer.CONFLICT)
        self.assertIsNone(self.receiver.handle_piece(5, 0, GOOD))
        self.assertEqual(self.receiver.handle_offer(self.offer(6, epoch=4)), Fetch(6, 0))
        self.assertEqual(self.receiver.outcome.number, 0)

    def test_pieces_lost_doubled_and_out_of_order(self):
        data = os.urandom(2 * PIECE_BYTES + 7)
        self.receiver.handle_offer(self.offer(data=data))
        self.assertEqual(self.receiver.handle_piece(1, 0, data[:PIECE_BYTES]), Fetch(1, PIECE_BYTES))
        for number, offset, part in ((1, 0, data[:PIECE_BYTES]), (1, 2 * PIECE_BYTES, b"x"), (2, PIECE_BYTES, b"x"), (1, PIECE_BYTES, b""), (1, PIECE_BYTES, data + data)):
            self.assertIsNone(self.receiver.handle_piece(number, offset, part))
        self.assertEqual(self.receiver.handle_offer(self.offer(data=data)), Fetch(1, PIECE_BYTES))    # continues on the next connection
        self.receiver.handle_piece(1, PIECE_BYTES, data[PIECE_BYTES:2 * PIECE_BYTES])
        self.assertEqual(self.receiver.handle_piece(1, 2 * PIECE_BYTES, data[2 * PIECE_BYTES:]), data)
        self.assertIsNone(self.receiver.handle_offer(self.offer(data=data)))                          # it is being checked
        self.receiver.finish_check(1, [])
        self.assertEqual(self.receiver.outcome, file_transfer.Outcome(1, "v" * 16, file_transfer.IN_FORCE, ""))
        self.receiver.handle_offer(self.offer(2, GOOD))
        self.assertIsNone(self.receiver.handle_piece(2, 0, OTHER))
        self.assertEqual(self.receiver.outcome.what, file_transfer.REFUSED)


class ModelChecker(unittest.TestCase):
    """All orders of offers, losses, takeovers, restored journals and restarts, within the bounds of the search."""

    def test_invariants_hold_in_the_states_searched(self):
        self.assertEqual(check(max_states=60_000), breadth_first_search.Outcome(60_000, None, ()))

    def test_the_checker_finds_mistakes(self):
        def any_epoch(made, offer):
            made.epoch = min(made.epoch, offer.epoch)
            return FileReceiver.handle_offer(made, offer)
        bounds = {"directors": 1, "in_flight": 1, "epochs": 1, "wants": 1}
        for violation, rules in (("a third time", Rules(may_try=lambda rollout, progress: True, **bounds)), ("obeys epoch 1 after 2", Rules(handle_offer=any_epoch, fenced=False, lives=1)),
                                 ("two contents", Rules(number=lambda epoch, highest: highest + 1, in_flight=1, lives=1))):    # a journal restored while an offer was in flight
            with self.subTest(violation):
                self.assertIn(violation, check(rules).broken)


if __name__ == "__main__":
    unittest.main()

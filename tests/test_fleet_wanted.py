"""What a rollout decides, and what a director makes of offers and pieces."""
import hashlib
import os
import unittest

from laddergw.fleet import breadth_first_search, file_transfer, wanted
from laddergw.fleet.file_transfer import PIECE_BYTES, FileReceiver, Fetch, Offer
from laddergw.fleet.wanted import Answers, Rollout, ProcessProgress, Want
from laddergw.fleet.wanted_check import Rules, check

GOOD, OTHER = b"(limits (defaults (attempts 2)))", b"(limits (defaults (attempts 1)))"


def seats(count, on=(), zones=1, **changes):
    return [ProcessProgress(f"d{n}", f"d{n}-1", n % zones, True, 0.0, "v" * 16 if n in on else "w" * 16, True)._replace(**changes) for n in range(count)]


class Decided(unittest.TestCase):
    def setUp(self):
        self.want = Want("limits", 1, "v" * 16, "", 10, 1_000.0)
        self.rollout, self.none = Rollout(self.want, 0.0), Answers(0, 0)

    def look(self, told, now, new=None, others=None):
        return self.rollout.update(told, new or self.none, others or self.none, now)

    def test_steps_over_zones(self):
        """Two of forty first, of two zones; each step only once the one before has stood."""
        on, sizes, now = set(), [], 0.0
        while self.rollout.state != wanted.DONE:
            offer = self.look(seats(40, on, zones=4), now).offer
            if offer:
                sizes.append((len(on), len(offer), now))
                self.assertEqual(len({int(name[1:].partition("-")[0]) % 4 for name in offer}), min(4, len(offer)))
                on |= {int(name[1:].partition("-")[0]) for name in offer}
            now += 250.0
        self.assertEqual([row[:2] for row in sizes], [(0, 2), (2, 2), (4, 8), (12, 28)])
        self.assertTrue(all(b[2] - a[2] >= self.want.soak_ms for a, b in zip(sizes, sizes[1:])))

    def test_halts(self):
        for name, told, answers in (("refused", lambda first: [seat._replace(outcome=file_transfer.REFUSED, why="key x") if seat.process == first else seat for seat in seats(9)], ()),
                                    ("worse", lambda first: seats(9), (Answers(80, 20), Answers(980, 20)))):
            with self.subTest(name):
                self.rollout = Rollout(self.want, 0.0)
                first = self.look(seats(9), 0.0).offer[0]
                step = self.look(told(first), 250.0, *answers)
                self.assertEqual((step.offer, step.keep, self.rollout.state), ((), True, wanted.HALTED))
                self.assertIn("refused it: key x" if name == "refused" else "20.0% of 100", self.rollout.why)
                self.assertEqual(self.look(seats(9), 9_000.0).offer, ())
        self.assertEqual([wanted.worse(*pair) for pair in ((Answers(40, 9), Answers(980, 20)), (Answers(92, 8), Answers(950, 50)), (Answers(88, 12), Answers(98, 2)),
                                                           (Answers(80, 20), Answers(98, 2)))], [False, False, False, True])

    def test_who_begins_anew_while_on_it_halts_it_and_who_stopped_does_not(self):
        self.look(seats(9, on=range(4)), 0.0)
        again = [seat._replace(process=f"{seat.director}-2") if seat.director in ("d0", "d1") else seat for seat in seats(9, on=range(4))]
        self.rollout.process_stopped("d0")
        self.look(again, 250.0)
        self.assertEqual((self.rollout.crashed, self.rollout.state), ({"d1"}, wanted.GOING))
        self.look([seat._replace(process=f"{seat.director}-3") for seat in again], 500.0)
        self.assertEqual(self.rollout.state, wanted.HALTED)

    def test_causes(self):
        order = [seat.director for seat in wanted.in_turn(self.want, seats(9))]
        self.look(seats(9), 0.0)
        for _ in range(2):
            self.rollout.record_sent(f"{order[0]}-{_}")
        still = {"still_ms": 7_000.0, "still_at": 15_000.0}
        for expected, changes in ((wanted.UNREACHABLE, {"heard": False}), (wanted.REFUSED, {"outcome": file_transfer.CONFLICT}), (wanted.FILE, {"outcome": file_transfer.IN_FORCE}), (wanted.OLD, {"takes": False}),
                                  (wanted.STILL, still), (wanted.COMING, {}), (wanted.FILE, {"trouble": "cannot be read"})):
            seat = ProcessProgress(order[1], f"{order[1]}-1", 0, True, 0.0, "w" * 16, True)._replace(**changes)
            self.assertEqual(self.rollout.cause(seat, 20_000.0)[0], expected, changes)
        seat = lambda director: ProcessProgress(director, f"{director}-9", 0, True, 0.0, "w" * 16, True)
        self.assertEqual([self.rollout.cause(seat(order[n]), 20_000.0)[0] for n in (0, 5)], [wanted.CRASHED, wanted.TURN])
        self.assertIsNone(self.rollout.cause(seat(order[1])._replace(on="v" * 16), 20_000.0))


class Brought(unittest.TestCase):
    def offer(self, number=1, data=GOOD, epoch=3, name="v" * 16):
        return Offer(epoch, "limits", number, name, hashlib.sha256(data).hexdigest(), len(data))

    def setUp(self):
        self.made = FileReceiver()
        self.made.kinds = ("limits",)

    def test_orders_that_are_old_fenced_or_at_odds(self):
        self.assertEqual(self.made.handle_offer(self.offer(5)), Fetch(5, 0))
        for offer in self.offer(6, epoch=2), self.offer(4), self.offer(6)._replace(kind="keys"), self.offer(6, b""), self.offer(6)._replace(size=file_transfer.MAX_FILE_BYTES + 1):
            self.assertIsNone(self.made.handle_offer(offer), offer)
        self.assertEqual(self.made.handle_offer(self.offer(5)), Fetch(5, 0))              # the same again: asked for again
        self.assertIsNone(self.made.handle_offer(self.offer(5, OTHER, name="x" * 16)))
        self.assertEqual(self.made.outcome.what, file_transfer.CONFLICT)
        self.assertIsNone(self.made.handle_piece(5, 0, GOOD))
        self.assertEqual(self.made.handle_offer(self.offer(6, epoch=4)), Fetch(6, 0))
        self.assertEqual(self.made.outcome.number, 0)

    def test_pieces_lost_doubled_and_out_of_order(self):
        data = os.urandom(2 * PIECE_BYTES + 7)
        self.made.handle_offer(self.offer(data=data))
        self.assertEqual(self.made.handle_piece(1, 0, data[:PIECE_BYTES]), Fetch(1, PIECE_BYTES))
        for number, offset, part in ((1, 0, data[:PIECE_BYTES]), (1, 2 * PIECE_BYTES, b"x"), (2, PIECE_BYTES, b"x"), (1, PIECE_BYTES, b""), (1, PIECE_BYTES, data + data)):
            self.assertIsNone(self.made.handle_piece(number, offset, part))
        self.assertEqual(self.made.handle_offer(self.offer(data=data)), Fetch(1, PIECE_BYTES))    # on the next line it goes on
        self.made.handle_piece(1, PIECE_BYTES, data[PIECE_BYTES:2 * PIECE_BYTES])
        self.assertEqual(self.made.handle_piece(1, 2 * PIECE_BYTES, data[2 * PIECE_BYTES:]), data)
        self.assertIsNone(self.made.handle_offer(self.offer(data=data)))                          # it is being checked
        self.made.finish_check(1, [])
        self.assertEqual(self.made.outcome, file_transfer.Outcome(1, "v" * 16, file_transfer.IN_FORCE, ""))
        self.made.handle_offer(self.offer(2, GOOD))
        self.assertIsNone(self.made.handle_piece(2, 0, OTHER))
        self.assertEqual(self.made.outcome.what, file_transfer.REFUSED)


class Checked(unittest.TestCase):
    """Every order of offers, losses, takeovers, journals set back and processes that begin anew, as far as is looked."""

    def test_no_break_in_the_states_looked_at(self):
        self.assertEqual(check(most=60_000), breadth_first_search.Outcome(60_000, None, ()))

    def test_mistakes_are_found(self):
        def any_epoch(made, offer):
            made.epoch = min(made.epoch, offer.epoch)
            return FileReceiver.handle_offer(made, offer)
        few = {"directors": 1, "flying": 1, "epochs": 1, "wants": 1}
        for found, rules in (("a third time", Rules(may_try=lambda rollout, seat: True, **few)), ("obeys epoch 1 after 2", Rules(handle_offer=any_epoch, fenced=False, lives=1)),
                             ("two contents", Rules(number=lambda epoch, highest: highest + 1, flying=1, lives=1))):    # a journal set back while an offer was on its way
            with self.subTest(found):
                self.assertIn(found, check(rules).broken)


if __name__ == "__main__":
    unittest.main()

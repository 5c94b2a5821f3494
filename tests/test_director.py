"""The director's hard cases, each caused on purpose on the virtual clock."""
import logging
import unittest

from laddergw.director.director import Director
from laddergw.director.session import LEASE_MS
from laddergw.lab.audit import Records, intervals
from tests.in_memory_cluster import Cluster


class Cases(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def overlaps(self, town):
        """Pairs of allocations of one play that were out at once."""
        held = sorted(intervals(Records(town.records)).values(), key=lambda one: one["since"])
        return [(a["allocation"], b["allocation"]) for i, a in enumerate(held) for b in held[i + 1:]
                if a["play"] == b["play"] and b["since"] < a["until"]]


class Answers(Cases):
    def test_a_play_from_request_to_end(self):
        town = Cluster()
        ask = town.ask()
        town.run(200)
        self.assertEqual(ask.answer, "playing")
        town.run(30_000)
        self.assertIsNone(ask.ended)
        ask.call.abort("left")
        town.run(50)
        self.assertEqual([facts["how"] for what, facts in town.records_of("let go")], ["released"])
        self.assertEqual((town.directors[0].attempts, town.directors[0].active_plays, town.directors[0].waiting), ({}, 0, 0))
        self.assertEqual(town.directors[0].attempts_by_allocation, {})

    def test_limit_answer_and_disconnect_in_one_turn(self):
        """All three reach the director in one heap after it stood still: one answer at most, nothing left behind."""
        town = Cluster(nodes=1)
        ask = town.ask(wait_ms=300)
        town.run(20)
        town.world.hosts["d0"].freeze(1_000)
        town.run(300)
        ask.call.abort("gave up")
        town.run(3_000)
        self.assertEqual(ask.lines, [])
        self.assertEqual((town.directors[0].attempts, town.directors[0].waiting, town.directors[0].active_plays), ({}, 0, 0))
        self.assertEqual(len(town.records_of("held")), len(town.records_of("let go")))

    def test_each_viewer_gets_its_answer_within_its_limit_whatever_the_nodes_do(self):
        for fault, value in ("mute", 1), ("late", 9_000.0), ("drip", 1), ("lose", 1.0), ("hush", 1.0), ("cut", 1.0), ("errors", 1.0), \
                ("still", 60_000.0), ("die", None), ("vanish", None):
            for product in "safe", "paid":
                with self.subTest(fault=fault, product=product):
                    town = Cluster()
                    for number in town.nodes:
                        town.fault(number, fault, value)
                    asks = [town.ask(key=f"v{wait}", product=product, wait_ms=wait) for wait in (150, 900, 4_000)]
                    town.run(6_000)
                    for ask, wait in zip(asks, (150, 900, 4_000)):
                        self.assertIn(ask.answer, ("declined", "failed"))
                        self.assertEqual(len(ask.lines), 1)
                        self.assertLessEqual(ask.ms, wait)
                    town.run(40_000)
                    self.assertEqual((town.directors[0].attempts, self.overlaps(town)), ({}, []))

    def test_nonsense_at_the_door_is_answered(self):
        town = Cluster()
        bad = [town.ask(product="none"), town.ask(wait_ms=-1), town.ask(key="")]
        town.run(20)
        self.assertEqual([ask.ended.status for ask in bad], [400] * 3)

    def test_a_full_director_turns_away_at_the_door(self):
        town = Cluster(bounds="(bounds (held-plays 2))")
        asks = []
        for number in range(4):
            asks.append(town.ask(key=f"v{number}"))
            town.run(150)
        self.assertEqual([ask.answer for ask in asks], ["playing", "playing", "declined", "declined"])
        self.assertEqual(asks[3].lines[0][1]["reason"], "director is full")

    def test_when_the_module_fails_all_are_answered_and_the_process_ends(self):
        class Failing(Director):
            class controller_class(Director.controller_class):
                def update_play(self, *_):
                    raise ZeroDivisionError
        town = Cluster(director_class=Failing)
        first = town.ask()
        second = town.ask(key="w")
        town.run(1_000)
        self.assertTrue(town.directors[0].broken)
        self.assertFalse(town.world.hosts["d0"].running)
        self.assertTrue(first.lines and second.lines)


class Once(Cases):
    def test_time_out_after_a_fully_written_set_up_of_a_paid_product(self):
        """It may have run: failed, not declined, and never set up again, also not for a retry with its token."""
        town = Cluster()
        for number in town.nodes:
            town.fault(number, "hush", 1.0)
        ask = town.ask(product="paid", wait_ms=3_000)
        town.run(4_000)
        self.assertEqual(ask.answer, "failed")
        self.assertEqual(len(town.records_of("set up")), 1)
        again = town.ask(product="paid", token=ask.lines[0][1]["token"])
        town.run(500)
        self.assertEqual((again.answer, len(town.records_of("set-up came"))), ("failed", 1))

    def test_a_release_that_is_acknowledged_late_or_never(self):
        """Silent nodes: the next allocation goes out only when the lease of the one before is over."""
        town = Cluster()
        town.fault(1, "mute", 1)
        town.fault(2, "mute", 1)
        town.nodes[1].faults.clear()
        town.fault(1, "still", 5_000.0)
        ask = town.ask()
        town.run(4_100)
        self.assertIn(ask.answer, ("declined", "failed"))
        sent = [facts for _, facts in town.records_of("set-up written")]
        self.assertGreaterEqual(len(sent), 2)
        town.run(10_000)
        self.assertEqual(self.overlaps(town), [])

    def test_a_retry_at_another_director_while_the_first_still_holds_an_allocation(self):
        town = Cluster(directors=2)
        for number in town.nodes:
            town.fault(number, "late", 300.0)
        first = town.ask(0, wait_ms=1_500)
        town.run(100)
        town.world.hosts["d0"].silent = True           # the first director is cut off: it cannot release anything
        first.call.abort("gave up")
        again = town.ask(1, wait_ms=3_900, unsettled_ms=1_400)
        town.run(1_400)
        self.assertEqual((again.answer, again.lines[0][1]["retry_ms"]), ("declined", 1_400))
        later = town.ask(1, wait_ms=2_500, token=again.lines[0][1]["token"])
        town.run(3_000)
        self.assertEqual(later.answer, "playing")
        self.assertEqual(self.overlaps(town), [])

    def test_nothing_is_out_longer_than_the_longest_lease(self):
        town = Cluster()
        ask = town.ask(unsettled_ms=9_500)
        town.run(50)
        self.assertEqual((ask.answer, ask.lines[0][1]["retry_ms"]), ("declined", 2_000))

    def test_a_node_cut_off_lets_go_when_its_session_lease_is_over(self):
        town = Cluster(nodes=1)
        ask = town.ask()
        town.run(200)
        town.nodes[1].loop.silent = True               # nothing of it reaches anyone, but it lives
        town.run(2 * LEASE_MS + 4_000)
        self.assertEqual(ask.lines[-1][1], {"event": "broken"})
        self.assertEqual([facts["how"] for _, facts in town.records_of("let go")], ["session lease over"])


class Drains(Cases):
    def test_a_drain_told_while_a_set_up_waits_unwritten(self):
        """Its connection is not there yet: the set-up is taken back and goes elsewhere."""
        town = Cluster(nodes=2)
        director = town.directors[0]
        for link in director.fleet.links.values():
            link.set_ups.limits = link.set_ups.limits._replace(max_connections=0)
        ask = town.ask()
        town.run(5)
        node = next(iter(director.attempts_by_allocation.values())).allocation.node
        for link in director.fleet.links.values():
            link.set_ups.limits = link.set_ups.limits._replace(max_connections=64)
        town.list_node(node, "draining")
        town.run(300)
        self.assertEqual(ask.answer, "playing")
        self.assertEqual([facts["node"] for _, facts in town.records_of("set-up written")], [3 - node])

    def test_the_list_out_of_reach_and_back(self):
        town = Cluster()
        town.list.reach(True)
        town.run(3_000)
        self.assertEqual((ask := town.ask()) and town.run(200) or ask.answer, "playing")
        town.list.reach(False)
        town.run(2_000)
        self.assertIsNotNone(town.directors[0].fleet.stream)

    def test_a_bad_list_frame_leaves_the_last_good_list(self):
        town = Cluster()
        fleet, before = town.directors[0].fleet, dict(town.directors[0].fleet.entries)
        for bad in b"{", b'{"form": "whole", "version": 1, "nodes": [{"node": 1}]}', b'{"form": "changes", "version": 99, "nodes": []}':
            if fleet.stream is None:
                town.run(1_000)
            fleet.frame_received(bad)
            self.assertEqual(fleet.entries, before)
            town.run(1_500)
        self.assertEqual(fleet.bad_frames, 3)
        self.assertEqual((ask := town.ask()) and town.run(200) or ask.answer, "playing")

    def test_a_director_restarted_among_cold_nodes_does_not_burst(self):
        town = Cluster(nodes=4, directors=1)
        town.world.hosts["d0"].kill()
        for number in (1, 2):
            town.fault(number, "die")
            town.start_node(number, cold=True, incarnation=2)
        town.start_director(0)
        town.run(400)
        for number in range(60):
            town.ask(key=f"v{number}")
            town.run(30)
        town.run(5_000)
        self.assertEqual(town.records_of("fell over"), [])


class Stopping(Cases):
    def test_a_stop_answers_all_lets_plays_go_on_for_a_while_and_ends(self):
        town = Cluster(bounds="(bounds (finish-ms 2000))")
        playing = town.ask()
        town.run(300)
        waiting = town.ask(key="w")
        town.run(5)
        town.directors[0].stop()
        town.run(1_000)
        self.assertEqual((waiting.answer, playing.ended), ("playing", None))
        town.run(2_000)
        self.assertEqual([ask.lines[-1][1] for ask in (playing, waiting)], [{"event": "director stops"}] * 2)
        self.assertFalse(town.world.hosts["d0"].running)
        self.assertEqual(len(town.records_of("held")), len(town.records_of("let go")))


if __name__ == "__main__":
    unittest.main()

"""Faults and coinciding events at a director, each caused deliberately on a virtual clock."""
import logging
import unittest

from laddergw.director.director import Director
from laddergw.director.session import LEASE_MS
from laddergw.lab.audit import Records, intervals
from tests.in_memory_cluster import Cluster


class DirectorTest(unittest.TestCase):
    """Base class: silences the log."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def overlapping_allocations(self, cluster):
        """Pairs of allocations of one play that existed at the same time."""
        held = sorted(intervals(Records(cluster.records)).values(), key=lambda allocation: allocation["since"])
        return [(a["allocation"], b["allocation"]) for i, a in enumerate(held) for b in held[i + 1:]
                if a["play"] == b["play"] and b["since"] < a["until"]]


class Answers(DirectorTest):
    """Each viewer gets one answer, in time."""

    def test_a_play_from_request_to_end(self):
        cluster = Cluster()
        request = cluster.ask()
        cluster.run(200)
        self.assertEqual(request.answer, "playing")
        cluster.run(30_000)
        self.assertIsNone(request.ended)
        request.call.abort("left")
        cluster.run(50)
        self.assertEqual([facts["how"] for what, facts in cluster.records_of("let go")], ["released"])
        self.assertEqual((cluster.directors[0].attempts, cluster.directors[0].active_plays, cluster.directors[0].waiting), ({}, 0, 0))
        self.assertEqual(cluster.directors[0].attempts_by_allocation, {})

    def test_limit_answer_and_disconnect_in_one_turn(self):
        """Deadline, answer and disconnect reach a director in one turn after it was frozen: it answers once at most and keeps no state."""
        cluster = Cluster(nodes=1)
        request = cluster.ask(wait_ms=300)
        cluster.run(20)
        cluster.world.hosts["d0"].freeze(1_000)
        cluster.run(300)
        request.call.abort("gave up")
        cluster.run(3_000)
        self.assertEqual(request.lines, [])
        self.assertEqual((cluster.directors[0].attempts, cluster.directors[0].waiting, cluster.directors[0].active_plays), ({}, 0, 0))
        self.assertEqual(len(cluster.records_of("held")), len(cluster.records_of("let go")))

    def test_viewers_are_answered_in_time_with_any_node_fault(self):
        for fault, value in ("mute", 1), ("late", 9_000.0), ("drip", 1), ("lose", 1.0), ("hush", 1.0), ("cut", 1.0), ("errors", 1.0), \
                ("still", 60_000.0), ("die", None), ("vanish", None):
            for product in "safe", "paid":
                with self.subTest(fault=fault, product=product):
                    cluster = Cluster()
                    for number in cluster.nodes:
                        cluster.fault(number, fault, value)
                    requests = [cluster.ask(key=f"v{wait}", product=product, wait_ms=wait) for wait in (150, 900, 4_000)]
                    cluster.run(6_000)
                    for request, wait in zip(requests, (150, 900, 4_000)):
                        self.assertIn(request.answer, ("declined", "failed"))
                        self.assertEqual(len(request.lines), 1)
                        self.assertLessEqual(request.ms, wait)
                    cluster.run(40_000)
                    self.assertEqual((cluster.directors[0].attempts, self.overlapping_allocations(cluster)), ({}, []))

    def test_malformed_requests_are_answered_with_400(self):
        cluster = Cluster()
        bad = [cluster.ask(product="none"), cluster.ask(wait_ms=-1), cluster.ask(key="")]
        cluster.run(20)
        self.assertEqual([request.ended.status for request in bad], [400] * 3)

    def test_full_director_declines_new_requests(self):
        cluster = Cluster(bounds="(bounds (held-plays 2))")
        requests = []
        for number in range(4):
            requests.append(cluster.ask(key=f"v{number}"))
            cluster.run(150)
        self.assertEqual([request.answer for request in requests], ["playing", "playing", "declined", "declined"])
        self.assertEqual(requests[3].lines[0][1]["reason"], "director is full")

    def test_controller_failure_answers_all_and_ends_the_process(self):
        class Failing(Director):
            class controller_class(Director.controller_class):
                def update_play(self, *_):
                    raise ZeroDivisionError
        cluster = Cluster(director_class=Failing)
        first = cluster.ask()
        second = cluster.ask(key="w")
        cluster.run(1_000)
        self.assertTrue(cluster.directors[0].broken)
        self.assertFalse(cluster.world.hosts["d0"].running)
        self.assertTrue(first.lines and second.lines)


class SingleAllocation(DirectorTest):
    """A play has one allocation at a time, and a paid one is never set up twice."""

    def test_time_out_after_a_fully_written_set_up_of_a_paid_product(self):
        """The set-up may have run: the play fails instead of being declined, and is not set up again, not even for a retry with its token."""
        cluster = Cluster()
        for number in cluster.nodes:
            cluster.fault(number, "hush", 1.0)
        request = cluster.ask(product="paid", wait_ms=3_000)
        cluster.run(4_000)
        self.assertEqual(request.answer, "failed")
        self.assertEqual(len(cluster.records_of("set up")), 1)
        retry = cluster.ask(product="paid", token=request.lines[0][1]["token"])
        cluster.run(500)
        self.assertEqual((retry.answer, len(cluster.records_of("set-up came"))), ("failed", 1))

    def test_a_release_that_is_acknowledged_late_or_never(self):
        """With silent nodes the next allocation is sent only after the lease of the one before has expired."""
        cluster = Cluster()
        cluster.fault(1, "mute", 1)
        cluster.fault(2, "mute", 1)
        cluster.nodes[1].faults.clear()
        cluster.fault(1, "still", 5_000.0)
        request = cluster.ask()
        cluster.run(4_100)
        self.assertIn(request.answer, ("declined", "failed"))
        sent = [facts for _, facts in cluster.records_of("set-up written")]
        self.assertGreaterEqual(len(sent), 2)
        cluster.run(10_000)
        self.assertEqual(self.overlapping_allocations(cluster), [])

    def test_a_retry_at_another_director_while_the_first_still_holds_an_allocation(self):
        cluster = Cluster(directors=2)
        for number in cluster.nodes:
            cluster.fault(number, "late", 300.0)
        first = cluster.ask(0, wait_ms=1_500)
        cluster.run(100)
        # The first director is isolated: it cannot release anything
        cluster.world.hosts["d0"].silent = True
        first.call.abort("gave up")
        retry = cluster.ask(1, wait_ms=3_900, unsettled_ms=1_400)
        cluster.run(1_400)
        self.assertEqual((retry.answer, retry.lines[0][1]["retry_ms"]), ("declined", 1_400))
        later = cluster.ask(1, wait_ms=2_500, token=retry.lines[0][1]["token"])
        cluster.run(3_000)
        self.assertEqual(later.answer, "playing")
        self.assertEqual(self.overlapping_allocations(cluster), [])

    def test_retry_waits_at_most_the_longest_lease(self):
        cluster = Cluster()
        request = cluster.ask(unsettled_ms=9_500)
        cluster.run(50)
        self.assertEqual((request.answer, request.lines[0][1]["retry_ms"]), ("declined", 2_000))

    def test_isolated_node_releases_when_its_session_lease_expires(self):
        cluster = Cluster(nodes=1)
        request = cluster.ask()
        cluster.run(200)
        # Nothing that the node sends arrives, but it runs on
        cluster.nodes[1].loop.silent = True
        cluster.run(2 * LEASE_MS + 4_000)
        self.assertEqual(request.lines[-1][1], {"event": "broken"})
        self.assertEqual([facts["how"] for _, facts in cluster.records_of("let go")], ["session lease over"])


class FleetList(DirectorTest):
    """Drains, failures of the fleet list, and a restart."""

    def test_drain_while_a_set_up_is_unwritten(self):
        """A set-up without a connection yet is withdrawn and sent to another node."""
        cluster = Cluster(nodes=2)
        director = cluster.directors[0]
        for link in director.fleet.links.values():
            link.set_ups.limits = link.set_ups.limits._replace(max_connections=0)
        request = cluster.ask()
        cluster.run(5)
        node = next(iter(director.attempts_by_allocation.values())).allocation.node
        for link in director.fleet.links.values():
            link.set_ups.limits = link.set_ups.limits._replace(max_connections=64)
        cluster.list_node(node, "draining")
        cluster.run(300)
        self.assertEqual(request.answer, "playing")
        self.assertEqual([facts["node"] for _, facts in cluster.records_of("set-up written")], [3 - node])

    def test_fleet_list_unreachable_and_back(self):
        cluster = Cluster()
        cluster.list.set_unreachable(True)
        cluster.run(3_000)
        self.assertEqual((request := cluster.ask()) and cluster.run(200) or request.answer, "playing")
        cluster.list.set_unreachable(False)
        cluster.run(2_000)
        self.assertIsNotNone(cluster.directors[0].fleet.stream)

    def test_malformed_list_frame_keeps_the_last_valid_list(self):
        cluster = Cluster()
        fleet, before = cluster.directors[0].fleet, dict(cluster.directors[0].fleet.entries)
        for bad in b"{", b'{"form": "whole", "version": 1, "nodes": [{"node": 1}]}', b'{"form": "changes", "version": 99, "nodes": []}':
            if fleet.stream is None:
                cluster.run(1_000)
            fleet.frame_received(bad)
            self.assertEqual(fleet.entries, before)
            cluster.run(1_500)
        self.assertEqual(fleet.bad_frames, 3)
        self.assertEqual((request := cluster.ask()) and cluster.run(200) or request.answer, "playing")

    def test_restarted_director_does_not_overload_cold_nodes(self):
        cluster = Cluster(nodes=4, directors=1)
        cluster.world.hosts["d0"].kill()
        for number in (1, 2):
            cluster.fault(number, "die")
            cluster.start_node(number, cold=True, incarnation=2)
        cluster.start_director(0)
        cluster.run(400)
        for number in range(60):
            cluster.ask(key=f"v{number}")
            cluster.run(30)
        cluster.run(5_000)
        self.assertEqual(cluster.records_of("fell over"), [])


class Stopping(DirectorTest):
    """A director that is told to stop."""

    def test_stop_answers_waiting_viewers_and_ends_plays_later(self):
        cluster = Cluster(bounds="(bounds (finish-ms 2000))")
        playing = cluster.ask()
        cluster.run(300)
        waiting = cluster.ask(key="w")
        cluster.run(5)
        cluster.directors[0].stop()
        cluster.run(1_000)
        self.assertEqual((waiting.answer, playing.ended), ("playing", None))
        cluster.run(2_000)
        self.assertEqual([request.lines[-1][1] for request in (playing, waiting)], [{"event": "director stops"}] * 2)
        self.assertFalse(cluster.world.hosts["d0"].running)
        self.assertEqual(len(cluster.records_of("held")), len(cluster.records_of("let go")))


if __name__ == "__main__":
    unittest.main()

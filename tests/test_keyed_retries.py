"""Retries of keyed plays: through the module, and by a director on real sockets."""

import contextlib
import itertools
import json
import unittest

from laddergw import interface
from laddergw.control import Controller
from laddergw.signalling import changes
from tests.helpers import deployment
from tests.platform_cluster import BASE_SETTINGS, answer, event, member, set_up
from tests.socket_harness import SocketHarness

NEVER_RAN = interface.FULL, interface.UNREACHABLE, interface.NEVER_SENT
MAY_HAVE_RUN = interface.ERROR, interface.TIMED_OUT, interface.BROKEN
CELLS, NODES, SEEDS = 3, 12, range(12)
KEY_MS, CONNECT_MS = 5_000.0, 250.0


class ModuleTests(unittest.TestCase):
    """One controller; node n is in cell n % 3 and zone n % 2."""

    def start(self, group, seed=1):
        """Creates a controller with one keyed product, and asks for a play of it."""
        product = {"repeat": "keyed", "group": group, "key_ms": KEY_MS}
        terms = deployment(
            products=(product,), cells=CELLS, racks=CELLS, max_allocations=4, connect_ms=CONNECT_MS
        )
        self.now, self.number, self.group = 30_000.0, -1, group
        self.controller = Controller(terms, seed, 0.0)
        entries = [
            interface.NodeEntry(n, n % CELLS, 1.0, interface.READY, 0.0, 0, n % 2)
            for n in range(1, NODES + 1)
        ]
        self.controller.update_fleet(0.0, entries, True)
        request = interface.PlayRequest(1, 0, 5, 0, CELLS, 2, None, 60_000.0)
        self.controller.request_play(self.now, request)
        return self.decide()

    def decide(self):
        """Returns the verdict on the play."""
        (verdict,) = self.controller.decide(self.now)[0]
        self.number += verdict.node is not None
        return verdict

    def end(self, verdict, outcome, after_ms=10.0):
        """Ends the set-up of a verdict; returns the next verdict."""
        self.now += after_ms
        self.controller.allocation_ended(self.now, 1, self.number, outcome, verdict.node, False, ())
        return self.decide()

    def group_of(self, verdict):
        """Returns the group of a verdict's node."""
        return {"cell": verdict.node % CELLS, "zone": verdict.node % 2}.get(self.group)

    # Guards against taking the first set-up, which never ran, for the one that binds the key.
    def test_the_set_up_that_may_have_run_binds_the_key(self):
        elsewhere = 0
        for group, first, second, seed in itertools.product(
            ("all", "zone", "cell"), NEVER_RAN, MAY_HAVE_RUN, SEEDS
        ):
            with self.subTest(group=group, first=first, second=second, seed=seed):
                refused = self.start(group, seed)
                failed = self.end(refused, first)
                retry = self.end(failed, second)
                self.assertEqual(self.group_of(retry), self.group_of(failed))
                elsewhere += self.group_of(refused) != self.group_of(failed)
                # A further one that never ran does not set it free.
                last = self.end(retry, first)
                self.assertEqual(self.group_of(last), self.group_of(failed))
        self.assertGreater(elsewhere, 0)

    def test_a_play_that_never_ran_goes_anywhere(self):
        for first, second, seed in itertools.product(NEVER_RAN, NEVER_RAN, SEEDS):
            verdicts = [self.start("cell", seed)]
            verdicts.append(self.end(verdicts[-1], first))
            verdicts.append(self.end(verdicts[-1], second))
            self.assertGreater(len({self.group_of(verdict) for verdict in verdicts}), 1)

    # Guards against a key whose time begins with the request, or ends as its set-up is on its way.
    def test_a_key_holds_from_the_set_up_that_may_have_run(self):
        for waited_ms, is_retried in (
            (KEY_MS - CONNECT_MS - 1.0, True),
            (KEY_MS - CONNECT_MS, False),
        ):
            for group in "all", "zone", "cell":
                with self.subTest(group=group, waited_ms=waited_ms):
                    refused = self.start(group)
                    failed = self.end(refused, interface.FULL, KEY_MS - 1.0)
                    last = self.end(failed, interface.ERROR, waited_ms)
                    self.assertEqual(last.node is not None, is_retried)
                    if not is_retried:
                        declined = interface.DECLINED if group == "all" else interface.FAILED
                        self.assertEqual(last.answer, declined)

    def test_a_play_that_was_handed_over_is_not_sent_again(self):
        for outcome in (*NEVER_RAN, *MAY_HAVE_RUN):
            self.start("cell")
            request = interface.PlayRequest(2, 0, 5, 0, CELLS, 2, None, 60_000.0)
            self.controller.take_over_play(self.now, request, 1)
            self.controller.allocation_ended(self.now, 2, 0, outcome, 1, True, ())
            self.assertEqual(self.controller.decide(self.now)[0], [])


def refuse(harness, connection, message):
    """The node is full."""
    connection.write(answer(message.session, 453, b""))


def never_left(harness, connection, message):
    """The node says that the set-up never left."""
    connection.write(answer(message.session, 454, b""))


def fail(harness, connection, message):
    """The node answers with an error."""
    connection.write(answer(message.session, 500, b""))


def reset(harness, connection, message):
    """The node resets the connection."""
    connection.reset()


def spoil(harness, connection, message):
    """The node answers what cannot be read."""
    connection.write(b"\xff\xff\xff")


def say_nothing(harness, connection, message):
    """The node answers nothing: the set-up times out."""


class SocketTests(unittest.TestCase):
    """A director among five nodes: a and c are in cell 0 and zone east, b, d and e are not."""

    def start(self, group):
        """Starts a director with a product that is keyed by the group."""
        self.now = [10_000.0]
        settings = json.loads(json.dumps(BASE_SETTINGS))
        settings["Zones"] = ["east", "west"]
        settings["Grades"][0] |= {"Repeat": "token", "Group": group, "KeyTtl": int(KEY_MS * 1000)}
        self.harness = SocketHarness(
            self, nodes="abcde", now=lambda: self.now[0], settings=settings
        )
        director = self.harness.director
        entries = [
            member(name, node.port, "SERVING", int(name not in "ac"))
            | {
                "host_port": f"127.0.0.1:{node.port}",
                "locality": "east" if name in "ac" else "west",
            }
            for name, node in self.harness.nodes.items()
        ]
        director.fleet_list.apply_event(changes.parse_event(event(2, *entries)))
        self.allow("")

    def allow(self, names):
        """From now on set-ups go to these nodes alone."""
        director = self.harness.director
        for name, node in director.nodes.by_id.items():
            state = director.controller.fleet.nodes[node.number]
            state.backoff_until = 0.0 if name in names else 1e12

    def set_ups(self):
        """Returns the names of the nodes that have got a set-up since the last call."""
        return [
            name
            for name, node in self.harness.nodes.items()
            if not node.sock._closed
            for _, message in node.receive()
            if message.method == "SETUP"
        ]

    def play(self, first, second):
        """Sends a play to a, then to b; returns where it goes next."""
        viewer = self.harness.viewer()
        self.allow("a")
        if first == "refused":
            self.harness.nodes["a"].sock.close()
        elif first == "late":
            self.harness.nodes["a"].stop_accepting()
        viewer.write(set_up(1))
        if callable(first):
            connection, message = self.harness.wait_for_set_up("a")
            self.allow("b")
            first(self.harness, connection, message)
        else:
            node = self.harness.director.nodes.by_id["a"]
            self.harness.run_until(lambda: node.open_set_ups or self.set_ups())
            self.allow("b")
        connection, message = self.wait_for_set_up("b")
        self.allow("cde")
        second(self.harness, connection, message)
        found = []
        for _ in range(700):
            self.now[0] += 10.0
            self.harness.turn()
            found += self.set_ups()
            if found:
                break
        return found

    def wait_for_set_up(self, name):
        """Runs turns, 10 ms each, until a node has got a set-up."""

        def received():
            self.now[0] += 10.0
            with contextlib.suppress(StopIteration):
                return next(
                    found
                    for found in self.harness.nodes[name].receive()
                    if found[1].method == "SETUP"
                )

        return self.harness.run_until(received)

    # Guards against sending a keyed play outside the group of the set-up that may have run.
    def test_a_keyed_play_stays_in_the_group_of_the_set_up_that_may_have_run(self):
        for group, first, second in itertools.product(
            ("cell", "zone"),
            (refuse, never_left, "refused", "late"),
            (fail, reset, spoil, say_nothing),
        ):
            name = first if isinstance(first, str) else first.__name__
            with self.subTest(group=group, first=name, second=second.__name__):
                self.start(group)
                found = self.play(first, second)
                self.assertEqual(len(found), 1)
                self.assertIn(found[0], "de")


if __name__ == "__main__":
    unittest.main()

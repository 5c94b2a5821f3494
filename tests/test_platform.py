"""The platform's director in memory: its fleet list and configuration, its end, its tables. Traces are compared with kept ones."""
import itertools
import json
import subprocess
import sys
import unittest

from laddergw import interface, settings
from laddergw.platform import allocation
from laddergw.platform import configuration as configurations
from laddergw.platform import requests
from laddergw.signalling import binary
from laddergw.signalling import rtsp
from tests.helpers import TraceTest
from tests.platform_cluster import BASE_SETTINGS, member, event, configuration_file, set_up, PlatformCluster


class DirectorTests(TraceTest):
    """A director's fleet list, configuration and end."""

    def test_change_log(self):
        cluster = PlatformCluster(nodes=("a", "b", "c"))
        cluster.run(20)
        c = member("c", 1, cell=2)
        cluster.lines.append("# repeated, cut off in the middle, silent: resumed from the last event, each event applied once")
        cluster.log_connection.send_events(event(2, c), event(2, c), {"seq": 2})
        cluster.run(20)
        cluster.log_connection.stream.write(b'{"seq":3,"fleet":{"rev')
        cluster.run(1)
        cluster.log_connection.stream.abort()
        cluster.run(300)
        cluster.log_connection.send_events(event(3, member("a", 1, "DRAINING")), event(4, member("b", 1, "DELETED")))
        cluster.run(20)
        self.assertEqual({n.id: (n.gone) for n in cluster.director.nodes.by_id.values()}, {"a": False, "b": True, "c": False})
        cluster.lines.append("# all plays go to the remaining node")
        viewer = cluster.viewer()
        viewer.stream.write(set_up(1) + set_up(2))
        cluster.run(50)
        cluster.lines.append("# silence, then a gap")
        cluster.log_connection.is_silent = True
        cluster.run(2600)
        cluster.log_connection.send_events(event(6, member("a", 1)))
        cluster.run(300)
        self.assert_trace("platform_log", cluster)

    def test_a_list_of_1024_nodes(self):
        """All nodes are taken, half of them change in one event, and a play is placed at the node that holds its title."""
        names = [f"n{i:04}" for i in range(1024)]
        terms = json.loads(json.dumps(BASE_SETTINGS))
        terms["Specifics"] |= {"Positions": 1024, "RackKb": 9e6}
        terms["Siblings"] = 1024
        cluster = PlatformCluster(nodes=("n0007",), settings=terms, known={"seq": 1, "results": [event(1, *(member(n, 1, cell=i) for i, n in enumerate(names)), whole=True)]})
        self.assertEqual(sum(node.state == interface.READY for node in cluster.director.controller.fleet.nodes.values()), 1024)
        cluster.run(20)
        cluster.log_connection.send_events(event(2, *(member(n, 1, "DELETED", cell=i) for i, n in enumerate(names) if i % 2 == 0),
                                 *(member(f"s{i:04}", 1, cell=i, since=1) for i in range(0, 1024, 2))))
        cluster.run(20)
        self.assertEqual(sum(node.state == interface.READY for node in cluster.director.controller.fleet.nodes.values()), 1024)
        cluster.run(600)
        self.assertEqual(len(cluster.director.nodes.by_id), 1024)
        cluster.viewer().stream.write(set_up(1, attributes="home:7;copies:1;top:2"))
        cluster.run(50)
        self.assertTrue(any("node n0007 gets SETUP 1" in line for line in cluster.lines), cluster.lines)

    def test_new_configuration(self):
        """Another change log and other terms are in force from then on; a faulty file is refused whole."""
        cluster = PlatformCluster()
        cluster.hosts["log two"] = cluster.network.host("log two")
        cluster.hosts["log two"].listen(("log two", 1), cluster.accept_log_connection)
        cluster.run(20)
        terms = json.loads(json.dumps(BASE_SETTINGS))
        terms["Specifics"]["SeenAfter"] = 700_000
        cluster.director.apply_configuration(configurations.parse(configuration_file(changelog="log two:1", settings=terms)))
        cluster.run(200)
        self.assertEqual(cluster.director.controller.fleet.deployment.seen_after_ms, 700.0)
        self.assertEqual(sum("log gets since 1" in line for line in cluster.lines), 2)
        for changes in ({"settings": {}}, {"known": None}, {"changelog": "x"}, {"listen": 7}, {"settings": BASE_SETTINGS | {"Siblings": "many"}}, {"seed": "zz"}):
            with self.subTest(changes), self.assertRaises(configurations.ConfigurationError):
                configurations.parse(configuration_file(**changes))
        self.assertRaises(configurations.ConfigurationError, configurations.parse, [])

    def test_stop(self):
        """Declines new requests, answers open ones, ends when no play runs or past the longest time limit."""
        cluster = PlatformCluster()
        viewer = cluster.viewer()
        viewer.stream.write(set_up(1))
        cluster.run(50)
        cluster.director.stop()
        viewer.stream.write(set_up(2) + binary.encode(binary.PING, "0" * 16, (222, b"\0")))
        cluster.run(50)
        cluster.run(4600)
        self.assert_trace("platform_stop", cluster)
        self.assertFalse(cluster.hosts["director"].running)

    def test_exit_waits_for_release_acknowledgements(self):
        """Guards against an exit that loses releases: on sockets, connections were reset with viewers' messages unread, and 60 releases were lost."""
        for acknowledges, answers in itertools.product((True, False), repeat=2):
            cluster = PlatformCluster()
            cluster.answers_releases = answers
            viewer = cluster.viewer()
            viewer.stream.write(set_up(1))
            cluster.run(50)
            cluster.director.stop()
            cluster.run(3351 - 50 + 60)
            self.assertTrue(any("viewer gets 12 1 cause 41" in line for line in cluster.lines))
            self.assertTrue(cluster.hosts["director"].running)
            if acknowledges:
                viewer.stream.write(binary.encode(binary.RELEASE_ACK, f"{1:016x}"))
            cluster.run(20)
            self.assertEqual(cluster.hosts["director"].running, not (acknowledges and answers))
            cluster.run(300)
            self.assertFalse(cluster.hosts["director"].running)

    def test_controller_fails(self):
        """All open requests are answered and all running plays are released."""
        cluster = PlatformCluster()
        viewer = cluster.viewer()
        viewer.stream.write(set_up(1))
        cluster.run(50)
        cluster.answers = {"a": 0, "b": 0}
        viewer.stream.write(set_up(2))
        cluster.run(20)

        def fails(*_):
            raise RuntimeError("planted")
        cluster.director.controller.update_play = fails
        node = next(iter(cluster.director.running_plays.values())).node.id
        with self.assertLogs("laddergw.hosting", "ERROR"):
            cluster.connections[f"node {node}"].stream.write(rtsp.encode_request("ANNOUNCE", "x", f"{1:016x}", (("X-Note", "port"), ("Figure", "0.5"))))
            cluster.run(50)
        self.assertTrue(any("viewer gets 12 2 cause 41" in line for line in cluster.lines), cluster.lines)
        self.assertTrue(any("viewer gets 12 1 cause 41" in line for line in cluster.lines), cluster.lines)
        self.assertTrue(cluster.director.broken)


class TableTests(unittest.TestCase):
    """Tables and decoders without sockets."""

    def test_events_that_prove_that_a_set_up_never_ran(self):
        never = {interface.FULL, interface.UNREACHABLE, interface.NEVER_SENT}
        for event_seen in (allocation.CONNECTION_LOST, allocation.MALFORMED, allocation.TIMED_OUT, allocation.NODE_LOST, allocation.WITHDRAWN,
                           allocation.FULL, allocation.SESSION_UNKNOWN):
            self.assertIn(allocation.outcome(allocation.UNSENT, event_seen), never, event_seen)
        for event_seen in (allocation.CONNECTION_LOST, allocation.MALFORMED, allocation.TIMED_OUT, allocation.NODE_LOST, allocation.ERROR,
                           allocation.RESET, allocation.INTERRUPTED, allocation.CANCELLED):
            self.assertNotIn(allocation.outcome(allocation.SENT, event_seen), never, event_seen)
        for event_seen in (allocation.CONNECTION_LOST, allocation.MALFORMED, allocation.TIMED_OUT, allocation.ACCEPTED, allocation.FULL):
            self.assertIsNone(allocation.outcome(allocation.RUNNING, event_seen), event_seen)
        self.assertEqual([allocation.event_of_cause(c) for c in (16, 31, 41, 0)],
                         [allocation.ENDED, allocation.VIEWER_LEFT, allocation.INTERRUPTED, allocation.INTERRUPTED])
        self.assertEqual([allocation.event_of_status(s) for s in (200, 453, 599)], [allocation.ACCEPTED, allocation.FULL, allocation.ERROR])

    def test_one_decoder_for_json_and_lines(self):
        values = settings.flatten(BASE_SETTINGS)
        self.assertEqual((values["Grades.count"], values["Grades.1.Name"], values["Specifics.LadderKb"], values["Permissions.Probes"], values["Zones"]),
                         ("2", "paid", "100.0,200.0,400.0", "false", "east,west_wing"))
        lines = "\n".join(f"{key}={value}" for key, value in values.items())
        self.assertEqual(settings.decode(values), settings.decode(settings.parse(lines)))

    def test_requests(self):
        request = requests.read(binary.Message(1, f"{7:016x}", {180: b"paid", 183: b"1500", 192: b"7f3a9c21e0b4d655", 210: b"8200.0", 195: b"home:1;copies:3;top:2;again:1", 225: b"v"}),
                              configurations.parse(configuration_file()))
        self.assertEqual(request.play_request, interface.PlayRequest(7, 1, 0x7f3a9c21e0b4d655, 1.0, 3.0, 2.0, 8200.0, 1500.0, True))

    def test_imports_only_what_it_needs(self):
        """Start time and memory: no modules of other fronts, no framework, no threads of its own."""
        code = "import sys, laddergw.platform.__main__; print(*sorted(m for m in sys.modules))"
        loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
        ours = {m for m in loaded if m.startswith("laddergw.") and m.split(".")[1] not in ("platform", "signalling", "loop", "control", "interface", "settings", "hosting")}
        self.assertEqual(ours, set())
        self.assertEqual({"asyncio", "subprocess", "msgspec", "httptools", "structlog", "typer", "prometheus_client"} & set(loaded), set())

if __name__ == "__main__":
    unittest.main()

"""A new configuration file while plays are requested and run: what it changes and what it must not. Real sockets where messages are sent."""
import json
import pathlib
import tempfile
import tomllib
import unittest

from laddergw import interface
from laddergw.platform import configuration as configurations
from laddergw.platform.director import NODE_SOCKET_SHARE, VIEWER_SOCKET_SHARE
from laddergw.signalling import binary, changes
from tests.platform_cluster import BASE_SETTINGS, answer, event, member, release, set_up, configuration_file
from tests.sites import RETRY_SAFETY, SITES, director_settings
from tests.socket_harness import SocketHarness

# What the file may change while the director runs. Each field is in one of the two sets, so that a new one cannot be forgotten.
CHANGEABLE_FIELDS = {"sockets", "changelog", "known_events", "last_event", "deployment", "products", "all_products", "kinds", "zones",
                     "longest_limit_ms", "connect_ms", "idle_ms"}
START_FIELDS = {"name", "listen", "seed"}    # a file with another address is refused; name and seed stay those of the start


def settings_with(**changes):
    return json.loads(json.dumps(BASE_SETTINGS)) | changes


def grades(*names):
    rows = {"guide": BASE_SETTINGS["Grades"][0], "paid": BASE_SETTINGS["Grades"][1],
            "live": {"Name": "live", "Points": 7.0, "Repeat": "pure", "GiveUp": 9_000_000}}
    return [rows[name] for name in names]


def parse_configuration(**changes):
    return configurations.parse(configuration_file(**{"listen": "127.0.0.1:1"} | changes))


class ConfigurationTests(unittest.TestCase):
    """Configurations that are read, and read again."""

    def test_each_field_is_changeable_or_fixed_at_the_start(self):
        self.assertEqual(set(configurations.Configuration._fields), CHANGEABLE_FIELDS | START_FIELDS)

    def test_names_are_read_unchanged(self):
        """Guards against names taken from the flattened settings: on the bench all products with accents and spaces were refused."""
        name, zone, kind = "relevé de notes", "quai Rhône, haut", "quatre cœurs"
        settings = settings_with(Grades=[BASE_SETTINGS["Grades"][0] | {"Name": name}, BASE_SETTINGS["Grades"][1]], Zones=["east", zone], Kinds=["std", kind])
        harness = SocketHarness(self, settings=settings)
        self.assertEqual([(a.products[name], a.zones[zone], a.kinds[kind]) for a in (harness.director.configuration,)], [(0, 1, 1)])
        viewer = harness.viewer()
        viewer.write(set_up(1, product=name))
        node = harness.nodes["a"]
        harness.run_until(lambda: node.accept() or node.connections)
        harness.turns(3)
        self.assertIn(f"Subject: {name}\r\n".encode(), node.connections[0].sock.recv(4096))
        viewer.write(binary.encode(binary.SET_UP, f"{2:016x}", (180, b"\xff\xfe"), (183, b"1500"), (192, b"7f3a9c21e0b4d655"),
                                   (195, b"home:0;copies:3;top:2"), (225, b"v=0")))
        refused, = harness.run_until(viewer.receive)
        self.assertEqual(refused.parameters[binary.CAUSE][0], 95)

    def test_names_that_cannot_be_told_apart_or_sent_are_refused(self):
        for settings in settings_with(Grades=grades("guide", "guide")), settings_with(Zones=["east", "east"]), settings_with(Kinds=["a\r\nb"]):
            self.assertRaises(configurations.ConfigurationError, parse_configuration, settings=settings)

    def test_a_fault_is_reported_with_its_field_and_file(self):
        faults = {"listen": 7, "changelog": "x", "seed": "zz", "known": {"seq": 1, "results": [{"seq": 1, "fleet": {}}]}, "limits": {"sockets": "many"}}
        for field, value in faults.items():
            with self.subTest(field), self.assertRaisesRegex(configurations.ConfigurationError, f"^{field}"):
                configurations.parse(configuration_file(**{field: value}))
        for field, value in {"Grades": grades("guide", "guide"), "Zones": ["a", "a"], "Kinds": ["a\n"], "Siblings": "many"}.items():
            with self.subTest(field), self.assertRaisesRegex(configurations.ConfigurationError, f"^settings? {field}"):
                parse_configuration(settings=settings_with(**{field: value}))
        for field in "listen", "known", "settings", "name":
            with self.subTest(field), self.assertRaisesRegex(configurations.ConfigurationError, field):
                configurations.parse({key: value for key, value in configuration_file().items() if key != field})
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "n0.json"
            for text, expected in ((None, "No such file"), ("{", "Expecting"), (json.dumps(configuration_file(listen="x")), "listen: 'x'")):
                if text is not None:
                    path.write_text(text)
                with self.subTest(expected), self.assertRaises(configurations.ConfigurationError) as caught:
                    configurations.read_file(str(path))
                self.assertTrue(str(caught.exception).startswith(f"{path}: "))
                self.assertIn(expected, str(caught.exception))
                self.assertNotIn("\n", str(caught.exception))
        with self.assertRaisesRegex(configurations.ConfigurationError, "PROXY_CONFIG"):
            configurations.read_file("")

    def test_unusual_but_valid_entries_are_accepted(self):
        """Names with joiners and no-break spaces, a number with a decimal point, no idle time: none is a reason not to start."""
        names = ["\u0646\u0645\u200c\u0627", "guide\u00a0court", "\u0e04\u0e39\u0e48\u0e21\u0e37\u0e2d"]
        settings = settings_with(Grades=[BASE_SETTINGS["Grades"][0] | {"Name": name} for name in names], Kinds=names, Zones=names)
        settings["Permissions"]["ConnIdle"] = 0
        configuration = parse_configuration(settings=settings, limits={"sockets": 256.0})
        self.assertEqual((list(configuration.products), list(configuration.kinds), list(configuration.zones)), (names, names, names))
        self.assertEqual((configuration.sockets, configuration.idle_ms), (256, float("inf")))

    def test_products_in_another_order(self):
        """Open requests and running plays keep their terms; later requests get the new ones. Numbers keep their meaning."""
        harness = SocketHarness(self, settings=settings_with(Grades=grades("guide", "paid")))
        viewer = harness.viewer()
        viewer.write(set_up(1, product="paid"))
        connection, message = harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        harness.run_until(viewer.receive)
        viewer.write(set_up(2, product="paid"))
        connection, second = harness.wait_for_set_up("a")
        before, seats = harness.director.configuration, dict(harness.director.controller.fleet.seats)
        harness.director.apply_configuration(parse_configuration(settings=settings_with(Grades=grades("live", "paid", "guide")), changelog=None)._replace(
            listen=before.listen, changelog=before.changelog))
        after = harness.director.configuration
        self.assertEqual((after.products["guide"], after.products["paid"], after.products["live"]), (0, 1, 2))
        rows = harness.director.controller.fleet.deployment.products
        self.assertEqual([row.importance for row in rows], [1.0, 2.0, 7.0])
        self.assertEqual(dict(harness.director.controller.fleet.seats), seats)
        viewer.write(set_up(3, product="live"))
        self.assertEqual(harness.wait_for_set_up("a")[1].session, f"{3:016x}")
        self.assertEqual(harness.director.controller.plays[3].product.importance, 7.0)
        connection.write(answer(second.session, 500, b""))       # a paid play that may have run is not retried, whatever the file says
        self.assertEqual([m.parameters[binary.CAUSE][0] for m in harness.run_until(viewer.receive)], [41])

    def test_a_product_that_a_new_file_leaves_out(self):
        """Its running plays go on to their ends; new requests are refused; it has no importance for decisions, and comes back as it was."""
        harness = SocketHarness(self, settings=settings_with(Grades=grades("guide", "paid")))
        viewer = harness.viewer()
        viewer.write(set_up(1, product="guide"))
        connection, message = harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        harness.run_until(viewer.receive)
        current = harness.director.configuration

        def change(*names):
            harness.director.apply_configuration(parse_configuration(settings=settings_with(Grades=grades(*names)))._replace(
                listen=current.listen, changelog=current.changelog))
        change("paid")
        self.assertEqual([row.importance for row in harness.director.controller.fleet.deployment.products], [0.0, 2.0])
        viewer.write(set_up(2, product="guide"))
        self.assertEqual([m.parameters[binary.CAUSE][0] for m in harness.run_until(viewer.receive)], [95])
        viewer.write(set_up(3, product="paid"))
        self.assertEqual(harness.wait_for_set_up("a")[1].session, f"{3:016x}")
        connection.write(release(1, 16))
        self.assertEqual([(m.kind, m.session) for m in harness.run_until(viewer.receive)], [(binary.RELEASE, f"{1:016x}")])
        change("guide", "paid")
        self.assertEqual([row.importance for row in harness.director.controller.fleet.deployment.products], [1.0, 2.0])

    def test_kinds_and_zones_in_another_order(self):
        """Nodes listed before keep their kind and zone, though the new file numbers them otherwise; kinds and zones unknown before are resolved."""
        nodes = [member("a", 1) | {"host_port": "127.0.0.1:1", "flavor": "small", "locality": "west"},
                 member("b", 1, cell=1) | {"host_port": "127.0.0.1:1", "flavor": "huge", "locality": "north"}]
        known = {"seq": 1, "results": [{"seq": 1, "fleet": {"revision": 1, "complete": True, "members": nodes}}]}
        first = settings_with(Kinds=["small", "large"], Zones=["east", "west"], MyZone=1, Specifics=BASE_SETTINGS["Specifics"] | {"KindSlots": [10, 20]})
        harness = SocketHarness(self, settings=first, known=known)
        fleet_nodes = harness.director.controller.fleet.nodes

        def streams_and_zones():
            return [(n.max_streams, n.zone == harness.director.controller.fleet.deployment.zone) for n in fleet_nodes.values()]
        self.assertEqual(streams_and_zones(), [(10, True), (10, False)])
        current = harness.director.configuration
        second = settings_with(Kinds=["huge", "large", "small"], Zones=["north", "west", "east"], MyZone=1,
                               Specifics=BASE_SETTINGS["Specifics"] | {"KindSlots": [40, 21, 11]})
        harness.director.apply_configuration(parse_configuration(settings=second, known=known)._replace(
            listen=current.listen, changelog=current.changelog))
        self.assertEqual(streams_and_zones(), [(11, True), (40, False)])

    def test_a_node_that_a_whole_list_left_out_stays_gone(self):
        """Its last entry said ready; a file that renumbers its kind must not bring it back while a play still runs there."""
        harness = SocketHarness(self, nodes=("a", "b"))
        viewer = harness.viewer()
        harness.director.controller.fleet.nodes[2].backoff_until = 1e12
        viewer.write(set_up(1))
        connection, message = harness.wait_for_set_up("a")
        connection.write(answer(message.session))
        harness.run_until(viewer.receive)
        b = member("b", 1, cell=1) | {"host_port": f"127.0.0.1:{harness.nodes['b'].port}"}
        harness.director.fleet_list.apply_event(changes.parse_event(event(2, b, whole=True)))
        current = harness.director.configuration
        harness.director.apply_configuration(parse_configuration(settings=settings_with(Kinds=["new", "std"]))._replace(
            listen=current.listen, changelog=current.changelog, known_events=[]))
        self.assertEqual([node.state for node in harness.director.controller.fleet.nodes.values()], [interface.GONE, interface.READY])
        harness.director.controller.fleet.nodes[2].backoff_until = 0.0
        viewer.write(set_up(2))
        self.assertEqual(harness.wait_for_set_up("b")[1].session, f"{2:016x}")

    def test_limits_apply_at_once(self):
        """The descriptors and the time-out of connections; a viewer with open requests keeps its connection."""
        harness = SocketHarness(self, limits={"sockets": 200})
        viewers = [harness.viewer() for _ in range(90)]
        harness.turns()
        viewers[0].write(set_up(1))
        harness.wait_for_set_up("a")
        current = harness.director.configuration
        harness.director.apply_configuration(current._replace(sockets=64, connect_ms=123.0))
        self.assertEqual((len(harness.director.listener.viewers), harness.director.nodes.max_connections),
                         (int(VIEWER_SOCKET_SHARE * 64), int(NODE_SOCKET_SHARE * 64)))
        self.assertEqual((harness.director.nodes.connect_ms, len(harness.director.open_requests)), (123.0, 1))
        self.assertIsNone(viewers[0].receive() or viewers[0].ended)

    def test_a_refused_file_changes_nothing(self):
        harness = SocketHarness(self)
        before, deployment = harness.director.configuration, harness.director.controller.fleet.deployment
        with self.assertRaisesRegex(configurations.ConfigurationError, "listens at"):
            harness.director.apply_configuration(parse_configuration(listen="127.0.0.1:9", settings=settings_with(Grades=grades("live"))))
        self.assertEqual((harness.director.configuration, harness.director.controller.fleet.deployment), (before, deployment))

    def test_longer_earlier_limits_hold_through_a_stop(self):
        """A request with a long limit is decided as usual, though the file at the stop has only short limits."""
        now = [0.0]
        harness = SocketHarness(self, now=lambda: now[0], settings=settings_with(Grades=grades("paid")))
        viewer = harness.viewer()
        viewer.write(set_up(1, product="paid", wait_limit_ms="2900"))
        harness.wait_for_set_up("a")
        current = harness.director.configuration
        harness.director.apply_configuration(parse_configuration(settings=settings_with(Grades=[BASE_SETTINGS["Grades"][0] | {"GiveUp": 500_000}]))._replace(
            listen=current.listen, changelog=current.changelog))
        harness.director.stop()
        now[0] += 1_500.0
        harness.turns(3)
        self.assertEqual(len(harness.director.open_requests), 1)

    def test_every_deployment_in_the_repository_is_read(self):
        """Its names, limits and terms, as a director's file has them."""
        paths = sorted(SITES.glob("*.toml"))
        self.assertGreaterEqual(len(paths), 2)
        for path in paths:
            with self.subTest(path.name):
                site = tomllib.loads(path.read_text())
                configuration = parse_configuration(settings=director_settings(site))
                self.assertEqual(list(configuration.products), [row["name"] for row in site["class"]])
                self.assertEqual((list(configuration.zones), list(configuration.kinds)), (site["net"]["zones"], [kind["name"] for kind in site["tier"][0]["kind"]]))
                self.assertEqual([row.repeat for row in configuration.deployment.products], [RETRY_SAFETY[row["effect"]][1] for row in site["class"]])
                self.assertEqual(configuration.deployment.fall_ms, site["rules"]["fall_ms"])

    def test_directors_share_no_state(self):
        """Two directors of two deployments in one process: the second has no data of the first."""
        SocketHarness(self, settings=settings_with(Grades=grades("live", "guide", "paid"), Kinds=["x", "y"]))
        second = SocketHarness(self, settings=settings_with(Grades=grades("paid")))
        self.assertEqual((second.director.configuration.products, second.director.configuration.kinds), ({"paid": 0}, {"std": 0}))
        self.assertEqual(len(second.director.controller.fleet.deployment.products), 1)
        self.assertIsInstance(second.director.controller.fleet.deployment, interface.Deployment)


if __name__ == "__main__":
    unittest.main()

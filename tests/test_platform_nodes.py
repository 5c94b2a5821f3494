"""The real director and its media nodes, in memory: ends of nodes, bad answers, what never leaves; a kept trace."""
import unittest

from laddergw.loop.base import NO_DESCRIPTOR
from laddergw.loop.memory_streams import WINDOW
from laddergw.platform import allocation as life
from laddergw.signalling import binary
from laddergw.signalling import changes
from tests.helpers import TraceTest
from tests.platform_cluster import member, event, set_up, PlatformCluster, parse_message, answer, release, ReleasingNode, DiscardedLines, FirstCallOnly


class MediaNodes(TraceTest):
    def test_ends_of_nodes(self):
        town = PlatformCluster()
        town.lines.append("# handed over before the list's nodes have said a word, whatever patience it names; refused from nowhere")
        viewer = town.viewer()
        viewer.stream.write(set_up(1, patience="4294967", figures="home:0;copies:3;top:2;at:a") + set_up(2, figures="home:0;copies:3;top:2;at:z"))
        town.run(20)
        town.lines.append("# its connections are reset, the node lives: the play stands, and its release comes on another")
        town.connections["node a"].stream.abort()
        town.run(700)
        town.connections["node a"].stream.write(release(1, 41))
        town.run(20)
        told = town.lines
        for number, said, end, ms in ((3, "the process dies: its port refuses, its plays are over", "kill", 100),
                                      (4, "the machine vanishes: tests and connections are not answered", "vanish", 5000)):
            town = PlatformCluster()
            told.append("# " + said)
            town.lines, viewer = told, town.viewer()
            viewer.stream.write(set_up(number))
            town.run(50)
            getattr(town.hosts["a"], end)()
            town.run(ms)
        self.assert_trace("platform_ends", town)
        self.assertEqual(len(town.director.running_plays), 0)

    def test_bad_nodes(self):
        """Spoilt answers end their allocation and their connection; a paid play then fails, another goes on elsewhere."""
        spoilt = {"noise": lambda s, m: s.stream.write(b"\x00\xffnoise"), "3 GB": lambda s, m: s.stream.write(answer(m.session).replace(b"Length: 5", b"Length: 3000000000") + b"x" * 9000),
                  "short": lambda s, m: s.stream.write(answer(m.session).replace(b"Length: 5", b"Length: 2")), "broken off": lambda s, m: (s.stream.write(answer(m.session)[:40]), s.stream.abort()),
                  "empty": lambda s, m: s.stream.write(answer(m.session, body=b"")), "reset": lambda s, m: s.stream.abort(), "closed": lambda s, m: s.stream.close()}
        for product, wanted in (("guide", "gets 9 1"), ("paid", "gets 12 1 cause 41")):
            for name, act in spoilt.items():
                with self.subTest(name, product=product):
                    town = PlatformCluster()
                    town.answers = {"a": act}
                    if product == "guide":               # the one that is tried first answers badly
                        town.answers = {"a": FirstCallOnly(act), "b": 200}
                    viewer = town.viewer()
                    viewer.stream.write(set_up(1, product=product))
                    town.run(1600)
                    got = [line for line in town.lines if "viewer gets" in line]
                    self.assertEqual(len(got), 1, town.lines)
                    self.assertIn(wanted, got[0])

    def test_more_than_belongs(self):
        """An answer under an unknown session ahead, and a second copy: one answer goes to the viewer."""
        town = PlatformCluster()
        town.answers["a"] = lambda s, m: s.stream.write(answer("f" * 16) + 2 * answer(m.session))
        town.answers["b"] = town.answers["a"]
        town.viewer().stream.write(set_up(1))
        town.run(500)
        self.assertEqual(sum("viewer gets 9 1" in line for line in town.lines), 1)

    def test_what_we_close_is_opened_again_while_plays_stand(self):
        """A node's release may be on its way on a connection that we close: it comes again on the next one that opens."""
        town = PlatformCluster(nodes=("a",))
        viewer = town.viewer()
        viewer.stream.write(set_up(1))
        town.run(50)
        town.answers = {"a": 0}
        viewer.stream.write(set_up(2, product="paid", patience="300"))
        before = town.connections["node a"]
        town.run(290)
        town.connections["node a"].stream.write(release(1, 16))       # crosses the close at the time-out, or comes on the new one
        town.run(100)
        self.assertIsNot(town.connections["node a"], before)
        self.assertFalse(before.open)
        town.connections["node a"].stream.write(release(1, 16))
        town.run(50)
        self.assertEqual(sum("viewer gets 12 1 cause 16" in line for line in town.lines), 1)

    def test_drain_takes_back_what_has_not_left(self):
        """A set-up that waits for its connection when its node drains goes elsewhere: not a byte of it reaches the node."""
        town = PlatformCluster()
        town.hosts["a"].silent = town.hosts["b"].silent = True     # connections do not come up
        town.viewer().stream.write(set_up(1))
        town.run(5)
        first = next(iter(town.director.open_requests.values())).node.id
        other = "b" if first == "a" else "a"
        town.hosts[other].silent = False
        town.log_connection.send_events(event(2, member(first, 1, "DRAINING", cell="ab".index(first))))
        town.run(50)
        self.assertTrue(any(f"node {other} gets SETUP 1" in line for line in town.lines), town.lines)
        self.assertFalse(any(f"node {first} gets" in line for line in town.lines))

    def test_what_is_told_as_never_sent_never_leaves(self):
        """Seen on sockets: a set-up was taken back while its connection came up, then written out on it, and the play went elsewhere too."""
        def drain(town):
            town.director.fleet_list.apply_event(changes.parse_event(event(2, member("a", 1, "DRAINING"))))

        def late(town):
            town.director.allocator.set_up_timed_out(town.director.open_requests[f"{1:016x}"])

        def leave(town):
            town.director.admission.handle_release(town.last_viewer_connection(), f"{1:016x}")

        def stop(town):
            town.director.end_all_plays()
        for act in drain, late, leave, stop:
            for shared in False, True:
                with self.subTest(act.__name__, shared=shared):
                    town = PlatformCluster()
                    town.director.nodes.max_connections = 1 if shared else 22
                    town.director.controller.fleet.nodes[2].backoff_until = 1e12      # node b: all go to a
                    town.viewer()
                    town.director.admission.handle_message(town.last_viewer_connection(), parse_message(set_up(1, product="paid")))
                    if shared:
                        town.director.admission.handle_message(town.last_viewer_connection(), parse_message(set_up(2, product="paid")))
                    town.director.finish_turn()
                    line, = town.director.nodes.by_id["a"].connections
                    self.assertEqual((line.up, len(line.plays)), (False, 1 + shared))
                    town.director.controller.fleet.nodes[2].backoff_until, town.director.nodes.max_connections = 0.0, 22
                    town.hosts["director"].call_soon(lambda: act(town))
                    town.run(50)
                    got = [part for part in town.lines if "node a gets SETUP" in part]
                    self.assertFalse([part for part in got if " SETUP 1 " in part], town.lines)
                    self.assertEqual(len(got), shared and act in (late, leave), town.lines)
                    self.assertEqual(any("node b gets SETUP 1" in part for part in town.lines), act in (drain, late), town.lines)
                    self.assertLessEqual(sum("viewer gets" in part and part.split()[4] == "1" for part in town.lines), 1)

    def test_few_descriptors_and_many_nodes(self):
        """400 nodes hold a play each at a director with 256 descriptors: connections take turns, each node is heard in time."""
        names = [f"n{i:03}" for i in range(400)]
        town = PlatformCluster(nodes=names, limits={"sockets": 256}, known={"seq": 1, "results": [event(1, *(member(name, 1, cell=i % 3) for i, name in enumerate(names)), whole=True)]})
        town.answers, said = dict.fromkeys("0123456789", 200), {}
        front = town.viewer()
        town.lines = DiscardedLines()
        for i, name in enumerate(names):
            town.director.admission.handle_message(town.last_viewer_connection(), parse_message(set_up(i + 1, figures=f"home:0;copies:3;top:2;at:{name}")))
            town.hosts[name].call_at(town.network.now + 3000, lambda name=name: said.setdefault(name, town.network.now))
            # A node says what it has to tell on an open connection, and once more on the next that opens
            came = town.hosts[name].listeners[0]
            came.accept = lambda stream, name=name, i=i: ReleasingNode(town, name, said, release(i + 1, 16))
        most, latest, taken = 0, {}, town.director.controller.allocation_ended
        town.director.controller.allocation_ended = lambda now, play, *more: (latest.setdefault(names[play - 1], now), taken(now, play, *more))[1]
        for _ in range(120):
            town.run(100)
            most = max(most, town.hosts["director"].open_streams)
        self.assertLessEqual(most, 256)
        self.assertEqual(len(town.director.running_plays), 0)
        self.assertLess(max(latest[name] - said[name] for name in names), 8000 - 1000)
        self.assertTrue(front.open)

    def test_no_descriptor_tells_nothing_of_a_node(self):
        town = PlatformCluster(nodes=("a",))
        town.viewer().stream.write(set_up(1))
        town.run(50)
        node = town.director.nodes.by_id["a"]
        for _ in range(5):
            node.dial()
            line = node.connections[-1]
            line.closed(line.stream, NO_DESCRIPTOR)
        self.assertEqual((node.unanswered_dials, len(town.director.running_plays)), (0, 1))

    def test_what_has_left_in_part_is_cut_off(self):
        town = PlatformCluster(nodes=("a",))
        viewer = town.viewer()
        viewer.stream.write(set_up(1))
        town.run(50)
        line, = town.director.nodes.by_id["a"].connections
        town.connections["node a"].stream.pause_reading()
        line.stream.write(b"x" * (WINDOW - 100))
        viewer.stream.write(set_up(2, product="paid"))
        town.run(20)
        self.assertEqual((line.state(f"{2:016x}"), line.stream.queued > 0, line.stream.bytes_sent), (life.UNSENT, True, line.stream.bytes_written - line.stream.queued))
        viewer.stream.write(binary.encode(binary.RELEASE, f"{2:016x}", (222, b"\x10")))
        town.run(20)
        self.assertEqual((line.stream.alive, len(town.director.nodes.by_id["a"].connections)), (False, 1))
        self.assertEqual(len(town.director.running_plays), 1)

    def test_an_answer_to_what_has_not_left(self):
        """It is no answer: taken as one, the rest of the set-up would leave after its end was told."""
        for said in answer(f"{1:016x}", 453), release(1, 41):
            town = PlatformCluster(nodes=("a",))
            town.hosts["a"].silent = True
            town.viewer().stream.write(set_up(1, product="paid"))
            town.run(20)
            line, = town.director.nodes.by_id["a"].connections
            line.data_received(line.stream, said)
            self.assertFalse(line.stream.alive)
            self.assertEqual(town.director.counts["spoilt"], 1)

    def test_new_node_at_an_old_address(self):
        """Connections belong to ids: nothing of the one that has gone goes to its successor."""
        town = PlatformCluster()
        town.viewer().stream.write(set_up(1))
        town.run(50)
        old = next(iter(town.director.running_plays.values())).node
        successor = member("new", 1) | {"host_port": f"{old.id}:1"}
        town.log_connection.send_events(event(2, member(old.id, 1, "DELETED"), successor))
        town.run(50)
        new = town.director.nodes.by_id["new"]
        self.assertNotEqual(new.number, old.number)
        self.assertEqual(len(new.connections), 0)
        town.connections[f"node {old.id}"].stream.abort()
        town.run(600)
        self.assertEqual(len(town.director.running_plays), 0)
        self.assertNotIn(old.id, town.director.nodes.by_id)

if __name__ == "__main__":
    unittest.main()

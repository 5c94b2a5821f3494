"""The platform's director and its viewers in memory: what viewers are answered, whatever they do. Traces are compared with kept connections."""
import unittest

from laddergw.signalling import binary
from laddergw.signalling import changes
from laddergw.signalling import rtsp
from tests.helpers import TraceTest
from tests.platform_cluster import LISTEN, set_up, PlatformCluster, answer, release, DiscardedLines


class ViewerTests(TraceTest):
    """What viewers are answered."""

    def test_courses_of_a_play(self):
        trace = []

        def scene(text, *asked, wait=50.0, **answers):
            cluster, trace[len(trace):] = PlatformCluster(), ["# " + text]
            cluster.lines, cluster.answers = trace, answers
            viewer = cluster.viewer()
            for data in asked:
                viewer.stream.write(data)
                cluster.run(wait)
            return cluster, viewer
        cluster, viewer = scene("a ping, then a play to its end; the node's description is passed on",
                                binary.encode(binary.PING, "0" * 16, (222, b"\0")) + set_up(1))
        cluster.connections["node a"].stream.write(release(1, 16))
        cluster.run(50)
        scene("the node is full, the other one accepts", set_up(1), a=453)
        cluster, viewer = scene("notes on a short link lower the rung; then the viewer leaves", set_up(1))
        for kind, figure in ("level", "2"), ("port", "9.5"), ("got", "0.5"), ("other", "1"), ("port", "nan"):
            cluster.connections["node a"].stream.write(rtsp.encode_request("ANNOUNCE", "x", f"{1:016x}", (("X-Note", kind), ("Figure", figure))))
            cluster.run(100)
        viewer.stream.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
        cluster.run(50)
        cluster, viewer = scene("a play that its node calls left is released to its viewer too: our answer may still be on its way", set_up(1))
        cluster.connections["node a"].stream.write(release(1, 31))
        cluster.run(50)
        scene("no answer: given up at the controller's time-out, then retried elsewhere", set_up(1, wait_limit_ms="3000"), wait=1200, a=0)
        scene("a paid play without an answer is not retried; it fails in time", set_up(1, product="paid", wait_limit_ms="700"), wait=1200, a=0)
        scene("no node answers: declined when there is no other node, with a retry-after time", set_up(1, wait_limit_ms="3000"), wait=2500, a=0, b=0)
        cluster, viewer = scene("the viewer gives up; a late answer changes nothing", set_up(1), binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")), a=0)
        cluster.connections["node a"].stream.write(answer(f"{1:016x}"))
        cluster.run(50)
        self.assert_trace("platform_courses", cluster)
        self.assertEqual((len(cluster.director.open_requests), len(cluster.director.running_plays), len(cluster.director.controller.plays)), (0, 0, 0))

    def test_bad_viewers(self):
        """Each is refused or closed within 3 s; the play of a well-behaved viewer beside them is unaffected."""
        cluster = PlatformCluster()
        good = cluster.viewer("good")
        good.stream.write(set_up(1))
        cluster.run(30)
        cluster.answers = {"a": 0, "b": 0}
        good.stream.write(set_up(2))
        cluster.run(5)
        cases = {"noise": b"\xff" * 50, "short": b"\0\3abc", "silent": b"", "half": set_up(9)[:30], "type": b"\0\x09\x63" + b"\0" * 8,
                 "product": set_up(10, product="none"), "patience": set_up(11, wait_limit_ms="nan"), "negative": set_up(12, wait_limit_ms="-5"),
                 "home": set_up(13, attributes="home:99;copies:3;top:2"), "no figures": set_up(14, attributes="x"), "title": set_up(15, title="../.."),
                 "no id": set_up(0), "hint": set_up(16, hint="1e400"), "open id": set_up(2, text=b"other"), "running id": set_up(1, text=b"other"),
                 "unknown": binary.encode(binary.RELEASE, f"{77:016x}", (222, b"\x10")), "director": binary.encode(binary.ANSWER, f"{2:016x}"),
                 "twice": set_up(20) + set_up(20, text=b"other"), "no parameters": binary.encode(binary.SET_UP, f"{21:016x}")}
        for name, data in cases.items():
            cluster.viewer(name).stream.write(data)
        cluster.run(2500)
        self.assert_trace("platform_bad_viewers", cluster)

    def test_a_release_is_sent_until_it_is_acknowledged(self):
        """Guards against losing a release: on sockets, one went on a connection that ended with it unread, and its viewer never got it."""
        cluster = PlatformCluster()
        first = cluster.viewer("first")
        first.stream.write(set_up(1) + set_up(2) + set_up(3))
        cluster.run(50)
        cluster.viewer("second").stream.write(set_up(4))
        cluster.run(50)
        cluster.lines.append("# both releases go on the first connection; one is acknowledged; then it ends: the other is sent again on one that has served a play")
        connection = next(iter(cluster.connections[name] for name in ("node a", "node b") if name in cluster.connections))
        for session in 1, 2:
            cluster.connections[f"node {cluster.director.running_plays[f'{session:016x}'].node.id}"].stream.write(release(session, 16))
        cluster.run(10)
        first.stream.write(binary.encode(binary.RELEASE_ACK, f"{2:016x}"))
        cluster.run(10)
        first.stream.abort()
        cluster.run(10)
        cluster.lines.append("# no connection is left: it waits for the next one that requests a play, not for a silent one")
        cluster.connections["second"].stream.abort()
        cluster.run(10)
        connection.stream.write(release(3, 16))
        cluster.run(10)
        cluster.viewer("silent")
        cluster.run(100)
        cluster.viewer("third").stream.write(set_up(5))
        cluster.run(50)
        self.assert_trace("platform_releases", cluster)
        cluster.run(8500)
        self.assertEqual(len(cluster.director.listener.releases.pending), 0)

    def test_floods(self):
        """Hundreds of silent connections, and hundreds of set-ups on one connection, are bounded; other viewers are served."""
        cluster = PlatformCluster()
        cluster.lines = DiscardedLines()
        for n in range(300):
            cluster.viewer(f"silent {n}")
        self.assertLessEqual(len(cluster.director.listener.viewers), 32)
        flood = cluster.viewer("flood")
        cluster.answers = {"a": 0, "b": 0}
        flood.stream.write(b"".join(set_up(1000 + n) for n in range(300)))
        cluster.run(20)
        self.assertLessEqual(len(cluster.director.open_requests), 64)
        cluster.answers = {}
        cluster.lines = []
        cluster.viewer("good").stream.write(set_up(5))
        cluster.run(2500)
        self.assertTrue(any("good gets 9 5" in line for line in cluster.lines) or any("good gets 12 5 cause 42" in line for line in cluster.lines), cluster.lines)
        self.assertLessEqual(len(cluster.director.listener.viewers), 2)

    def test_a_new_connection_is_not_closed_for_others(self):
        """Guards against closing a connection with its set-up unread: on sockets, of two that came together the first was closed for the second."""
        cluster = PlatformCluster()
        for n in range(32):
            viewer = cluster.viewer(f"stayed {n}")
            viewer.stream.write(set_up(100 + n, title=f"{n:016x}", hint="100.0"))
            cluster.run(10)
            node = cluster.director.running_plays[f"{100 + n:016x}"].node.id
            cluster.connections[f"node {node}"].stream.write(release(100 + n, 16))
            cluster.run(50)
        cluster.lines.clear()
        connections = [cluster.connection(name, binary.Reader()) for name in ("one", "two", "three")]
        for number, connection in enumerate(connections):
            cluster.hosts["viewers"].dial(LISTEN, connection, 1000).write(set_up(200 + number))
        cluster.run(60)
        self.assertEqual([line.split()[1] for line in cluster.lines if "closed" in line], ["stayed"] * 3)
        self.assertEqual(sorted(line.split()[1] for line in cluster.lines if " gets 9 20" in line), ["one", "three", "two"])

    # Guards against passing on the answer of a session that its node calls left right behind it: no client takes it for a final answer.
    def test_a_play_left_as_it_begins_is_over_for_its_viewer(self):
        cluster = PlatformCluster(nodes=("a",))
        cluster.answers["a"] = lambda s, m: s.stream.write(answer(m.session) + release(int(m.session, 16), 31))
        cluster.viewer().stream.write(set_up(1))
        cluster.run(50)
        self.assertEqual([line.split(maxsplit=1)[1] for line in cluster.lines if "viewer gets" in line],
                         ["viewer gets 12 1 cause 41"])
        self.assertEqual((len(cluster.director.running_plays), cluster.director.controller.plays), (0, {}))
        self.assertFalse(any(node.plays for node in cluster.director.controller.fleet.nodes.values()))

    # Guards against ending a play with a cause that is no final answer when its viewer left while the answer was on its way.
    def test_a_play_left_while_its_answer_is_in_transit_ends_with_a_final_answer(self):
        for after_ms, cause in (1, 41), (18, 41), (40, 16), (300, 16):
            with self.subTest(after_ms=after_ms):
                cluster = PlatformCluster(nodes=("a",))
                cluster.viewer().stream.write(set_up(1))
                cluster.run(20)
                stood_at = cluster.director.running_plays[f"{1:016x}"].answered_at
                cluster.run(stood_at + after_ms - cluster.network.now)
                cluster.connections["node a"].stream.write(release(1, 31))
                cluster.run(20)
                gets = [line.split(maxsplit=1)[1] for line in cluster.lines if "viewer gets" in line]
                self.assertEqual(gets[1:], [f"viewer gets 12 1 cause {cause}"])

    def test_a_play_that_ends_as_it_begins_is_answered_and_released(self):
        cluster = PlatformCluster(nodes=("a",))
        cluster.answers["a"] = lambda s, m: s.stream.write(answer(m.session) + release(int(m.session, 16), 16))
        cluster.viewer().stream.write(set_up(1))
        cluster.run(50)
        self.assertEqual([line.split(maxsplit=1)[1] for line in cluster.lines if "viewer gets" in line],
                         ["viewer gets 9 1 description 'v=0\\r\\n'", "viewer gets 12 1 cause 16"])
        self.assertEqual(len(cluster.director.running_plays), 0)

    def test_no_release_goes_on_a_connection_that_only_pings(self):
        """Guards against a lost release: on sockets, one went on the connection of a front's ping, where no viewer read it."""
        cluster = PlatformCluster()
        first, second = cluster.viewer("first"), cluster.viewer("second")
        for connection, session in (first, 1), (second, 2):
            connection.stream.write(set_up(session))
            cluster.run(20)
        cluster.viewer("tester").stream.write(binary.encode(binary.PING, "0" * 16, (222, b"\0")))
        cluster.run(20)
        first.stream.abort()
        cluster.run(20)
        node = cluster.director.running_plays[f"{1:016x}"].node.id
        cluster.connections[f"node {node}"].stream.write(release(1, 16))
        cluster.run(20)
        self.assertEqual([line.split()[1] for line in cluster.lines if "gets 12 1" in line], ["second"])

    def test_a_connection_that_made_requests_is_not_closed_as_useless(self):
        """Guards against closing connections that only handed plays over: on sockets, all of them were closed 2 s later. A set-up that came
        at that moment was lost, and so was a release of a director that was left without a connection."""
        cluster = PlatformCluster()
        front, other = cluster.viewer("front"), cluster.viewer("other")
        front.stream.write(set_up(1, attributes="home:0;copies:3;top:2;at:a") + set_up(2, attributes="home:0;copies:3;top:2;at:a"))
        cluster.run(20)
        for controlled in cluster.director.controller.fleet.nodes.values():
            controlled.backoff_until = 1e12
        other.stream.write(set_up(3))
        cluster.run(2600)
        self.assertTrue(any("other gets 12 3 cause 42" in line for line in cluster.lines), cluster.lines)
        self.assertFalse(any("closed" in line for line in cluster.lines), cluster.lines)
        connection = cluster.connections["node a"]
        connection.stream.write(release(1, 16))
        cluster.run(20)
        front.stream.abort()
        cluster.run(20)
        cluster.connections["node a"].stream.write(release(2, 16))
        cluster.run(20)
        self.assertEqual([line.split(maxsplit=1)[1] for line in cluster.lines if " 12 1 " in line or " 12 2 " in line],
                         ["front gets 12 1 cause 16", "other gets 12 1 cause 16", "other gets 12 2 cause 16"])
        cluster.viewer("third").stream.write(set_up(4, attributes="home:0;copies:3;top:2;at:a"))
        cluster.run(20)
        self.assertEqual(sum("third gets 12" in line for line in cluster.lines), 2, cluster.lines)

if __name__ == "__main__":
    unittest.main()

"""The real director in memory: viewers, media nodes and the change log are played message by message; what it does is a kept trace."""
import json
import subprocess
import sys
import unittest

from laddergw import interface as face, settings
from laddergw.loop.base import SHORT
from laddergw.loop.memory import WINDOW, Memory
from laddergw.platform import allocation as life, assignment as assignments, requests
from laddergw.platform.director import Director
from laddergw.signalling import binary, changes, rtsp
from tests.helpers import TraceTest

LISTEN, LOG = ("director", 5060), ("log", 4222)
TREE = {
    "Grades": [{"Name": "guide", "Points": 1.0, "Repeat": "pure", "GiveUp": 4_000_000},
               {"Name": "paid", "Points": 2.0, "Repeat": "side_effect", "GiveUp": 3_000_000}],
    "Kinds": ["std"], "Zones": ["east", "west wing"], "Siblings": 1, "Reporting": {"Names": ["concurrent", "x0"], "How": "answers"},
    "Permissions": {"MaxAttempts": 3, "ConnectTimeout": 250_000, "RetryAfter": True, "MaxRetryAfter": 500_000, "Probes": False},
    "Specifics": {"LadderKb": [100.0, 200.0, 400.0], "WorthByRung": [0.3, 0.6, 1.0], "Positions": 3, "Groups": 1, "LinkUnitKb": 9000.0,
                  "RackKb": 40000.0, "KindSlots": [200], "SeenAfter": 500_000}}


def member(name, port, phase="SERVING", cell=0, since=0):
    return {"id": name, "host_port": f"{name}:{port}", "locality": "east", "flavor": "std", "cell": cell, "phase": phase, "size": 1, "up_since_ms": since}


def event(number, *members, whole=False):
    return {"seq": number, "fleet": {"revision": number, "complete": whole, "members": list(members)}}


def tree(**changes):
    return {"name": "n0", "listen": "director:5060", "seed": "1f", "limits": {"sockets": 64}, "changelog": "log:4222", "settings": TREE,
            "known": {"seq": 1, "results": [event(1, member("a", 1), member("b", 1, cell=1), whole=True)]}} | changes


def set_up(session, product="guide", patience="1500", title="7f3a9c21e0b4d655", figures="home:0;copies:3;top:2;viewer:00000000b4d65521",
           hint="30000.0", text=b"v=0\r\n"):
    return binary.encode(binary.SET_UP, f"{session:016x}", (180, product.encode()), (183, patience.encode()), (192, title.encode()),
                         (195, figures.encode()), (210, hint.encode()), (225, text))


class Side:
    """A connection of a stand-in: what comes on it goes into the town's trace."""

    def __init__(self, town, name, reader):
        self.town, self.name, self.reader, self.stream, self.open = town, name, reader, None, True

    def opened(self, stream):
        self.stream = stream

    def emptied(self, stream):
        pass

    def got(self, stream, data):
        self.reader.feed(data)
        while (m := self.reader.next()) is not None:
            if not isinstance(m, binary.Message):
                if m.method != "OPTIONS":
                    rung = f" at rung {m.headers['rate-step']}" if "rate-step" in m.headers else ""
                    self.town.say(f"{self.name} gets {m.method or m.status} {int(m.session, 16)}{rung}")
                self.town.node_got(self, m)
            else:
                more = {222: "cause", 198: "stay away", 225: "description"}
                words = ", ".join(f"{more[code]} {value[0] if code == 222 else value.decode()!r}" for code, value in m.parameters.items())
                self.town.say(f"{self.name} gets {m.kind} {int(m.session, 16)} {words}".rstrip())

    def closed(self, stream, why):
        self.open = False
        if not self.name.startswith("node"):
            self.town.say(f"{self.name} is closed")


class Town:
    """One director among stand-ins, all in memory. Nodes answer set-ups as `answers` tells, 200 by default."""

    def __init__(self, nodes=("a", "b"), **changes):
        self.world, self.lines, self.answers, self.sides = Memory(3), [], {}, {}
        self.hosts = {name: self.world.host(name) for name in ("director", "viewers", "log", *nodes)}
        self.start, self.log_side = self.world.now, None
        for name in nodes:
            self.hosts[name].listen((name, 1), lambda stream, name=name: self.side(f"node {name}", rtsp.Reader()))
        self.hosts["log"].listen(LOG, self.log_came)
        self.director = Director(self.hosts["director"], assignments.of(tree(**changes)))

    def side(self, name, reader):
        side = self.sides[name] = Side(self, name, reader)
        return side

    def log_came(self, stream):
        self.log_side = LogSide(self)
        return self.log_side

    def say(self, text):
        self.lines.append(f"{self.world.now - self.start:7.0f} {text}")

    def run(self, ms):
        self.world.run(self.world.now + ms)

    def viewer(self, name="viewer"):
        side = self.side(name, binary.Reader())
        self.hosts["viewers"].dial(LISTEN, side, 1000)
        self.run(2)
        return side

    def director_side(self):
        """The director's end of the connection that came last."""
        return next(reversed(self.director.door.viewers))

    def node_got(self, side, m):
        if m.method == "OPTIONS":
            side.stream.write(rtsp.answer(200, "OK", "3", m.session))
        elif m.method == "SETUP":
            status = self.answers.get(side.name[-1], 200)
            if callable(status):
                return status(side, m)
            if status:
                side.stream.write(answer(m.session, status, b"from " + side.name[-1:].encode() + b"\r\n" if status == 200 else b""))
        return None


class LogSide:
    """The change log's end of a connection."""

    def __init__(self, town):
        self.town, self.stream = town, None

    def opened(self, stream):
        self.stream = stream

    def emptied(self, stream):
        pass

    def got(self, stream, data):
        self.town.say(f"log gets {data.decode().strip()}")

    def tell(self, *events):
        self.stream.write(b"".join(json.dumps(e).encode() + b"\n" for e in events))

    def closed(self, stream, why):
        pass


def message(data):
    reader = binary.Reader()
    reader.feed(data)
    return reader.next()


def answer(session, status=200, body=b"v=0\r\n", more=""):
    return f"RTSP/1.0 {status} X\r\nCSeq: 1\r\nSession: {session}\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


def release(session, cause):
    return rtsp.request("TEARDOWN", "7f3a", f"{session:016x}", (("Reason", f"cause={cause}"),))


class Directing(TraceTest):
    def test_ways_of_a_play(self):
        told = []

        def scene(text, *asked, wait=50.0, **answers):
            town, told[len(told):] = Town(), ["# " + text]
            town.lines, town.answers = told, answers
            viewer = town.viewer()
            for data in asked:
                viewer.stream.write(data)
                town.run(wait)
            return town, viewer
        town, viewer = scene("a test, then a play to its end; the node's description goes through",
                             binary.encode(binary.TEST, "0" * 16, (222, b"\0")) + set_up(1))
        town.sides["node a"].stream.write(release(1, 16))
        town.run(50)
        scene("the node is full, the other takes it", set_up(1), a=453)
        town, viewer = scene("notes on a short link step it down; then the viewer leaves", set_up(1))
        for kind, figure in ("level", "2"), ("port", "9.5"), ("got", "0.5"), ("other", "1"), ("port", "nan"):
            town.sides["node a"].stream.write(rtsp.request("ANNOUNCE", "x", f"{1:016x}", (("X-Note", kind), ("Figure", figure))))
            town.run(100)
        viewer.stream.write(binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")))
        town.run(50)
        town, viewer = scene("its end as left by its viewer is told to it all the same: our answer may still be on its way", set_up(1))
        town.sides["node a"].stream.write(release(1, 31))
        town.run(50)
        scene("no answer: given up at the module's time-out, then elsewhere", set_up(1, patience="3000"), wait=1200, a=0)
        scene("a paid play without an answer is not sent again; it fails in time", set_up(1, product="paid", patience="700"), wait=1200, a=0)
        scene("nothing answers: declined when there is no other node, with a time to come back", set_up(1, patience="3000"), wait=2500, a=0, b=0)
        town, viewer = scene("the viewer gives up, a late answer changes nothing", set_up(1), binary.encode(binary.RELEASE, f"{1:016x}", (222, b"\x10")), a=0)
        town.sides["node a"].stream.write(answer(f"{1:016x}"))
        town.run(50)
        self.same("platform_ways", town)
        self.assertEqual((len(town.director.open), len(town.director.standing), len(town.director.controller.plays)), (0, 0, 0))

    def test_ends_of_nodes(self):
        town = Town()
        town.lines.append("# handed over before the list's nodes have said a word, whatever patience it names; refused from nowhere")
        viewer = town.viewer()
        viewer.stream.write(set_up(1, patience="4294967", figures="home:0;copies:3;top:2;at:a") + set_up(2, figures="home:0;copies:3;top:2;at:z"))
        town.run(20)
        town.lines.append("# its connections are reset, the node lives: the play stands, and its release comes on another")
        town.sides["node a"].stream.abort()
        town.run(700)
        town.sides["node a"].stream.write(release(1, 41))
        town.run(20)
        told, town = town.lines, Town()
        told.append("# the process dies: its port refuses, its plays are over")
        town.lines, viewer = told, town.viewer()
        viewer.stream.write(set_up(3))
        town.run(50)
        town.hosts["a"].kill()
        town.run(100)
        town = Town()
        told.append("# the machine vanishes: tests and connections are not answered")
        town.lines, viewer = told, town.viewer()
        viewer.stream.write(set_up(4))
        town.run(50)
        town.hosts["a"].vanish()
        town.run(5000)
        self.same("platform_ends", town)
        self.assertEqual(len(town.director.standing), 0)

    def test_bad_viewers(self):
        """Each has its refusal or its close within 3 s; the usual viewer's play beside them is not touched."""
        town = Town()
        good = town.viewer("good")
        good.stream.write(set_up(1))
        town.run(30)
        town.answers = {"a": 0, "b": 0}
        good.stream.write(set_up(2))
        town.run(5)
        cases = {"noise": b"\xff" * 50, "short": b"\0\3abc", "silent": b"", "half": set_up(9)[:30], "type": b"\0\x09\x63" + b"\0" * 8,
                 "product": set_up(10, product="none"), "patience": set_up(11, patience="nan"), "negative": set_up(12, patience="-5"),
                 "home": set_up(13, figures="home:99;copies:3;top:2"), "no figures": set_up(14, figures="x"), "title": set_up(15, title="../.."),
                 "no id": set_up(0), "hint": set_up(16, hint="1e400"), "open id": set_up(2, text=b"other"), "standing id": set_up(1, text=b"other"),
                 "unknown": binary.encode(binary.RELEASE, f"{77:016x}", (222, b"\x10")), "director": binary.encode(binary.ANSWER, f"{2:016x}"),
                 "twice": set_up(20) + set_up(20, text=b"other"), "no parameters": binary.encode(binary.SET_UP, f"{21:016x}")}
        for name, data in cases.items():
            town.viewer(name).stream.write(data)
        town.run(2500)
        self.same("platform_bad_viewers", town)

    def test_a_release_is_told_until_it_is_heard(self):
        """Seen on sockets: a release went on a connection that ended with it unread, and its viewer never knew."""
        town = Town()
        first = town.viewer("first")
        first.stream.write(set_up(1) + set_up(2) + set_up(3))
        town.run(50)
        town.viewer("second").stream.write(set_up(4))
        town.run(50)
        town.lines.append("# both go on the first; one is heard; then it ends: the other goes again, on a proven one")
        side = next(iter(town.sides[name] for name in ("node a", "node b") if name in town.sides))
        for session in 1, 2:
            town.sides[f"node {town.director.standing[f'{session:016x}'].node.id}"].stream.write(release(session, 16))
        town.run(10)
        first.stream.write(binary.encode(binary.HEARD, f"{2:016x}"))
        town.run(10)
        first.stream.abort()
        town.run(10)
        town.lines.append("# no connection is left: it waits for the next that brings a play, not for one that says nothing")
        town.sides["second"].stream.abort()
        town.run(10)
        side.stream.write(release(3, 16))
        town.run(10)
        town.viewer("silent")
        town.run(100)
        town.viewer("third").stream.write(set_up(5))
        town.run(50)
        self.same("platform_heard", town)
        town.run(8500)
        self.assertEqual(len(town.director.door.unheard), 0)

    def test_floods(self):
        """Hundreds of silent connections, and hundreds of set-ups on one: bounded, and others are served."""
        town = Town()
        town.lines = Silent()
        for n in range(300):
            town.viewer(f"silent {n}")
        self.assertLessEqual(len(town.director.door.viewers), 32)
        flood = town.viewer("flood")
        town.answers = {"a": 0, "b": 0}
        flood.stream.write(b"".join(set_up(1000 + n) for n in range(300)))
        town.run(20)
        self.assertLessEqual(len(town.director.open), 64)
        town.answers = {}
        town.lines = []
        town.viewer("good").stream.write(set_up(5))
        town.run(2500)
        self.assertTrue(any("good gets 9 5" in line for line in town.lines) or any("good gets 12 5 cause 42" in line for line in town.lines), town.lines)
        self.assertLessEqual(len(town.director.door.viewers), 2)

    def test_a_new_connection_is_not_closed_for_others(self):
        """Seen on sockets: of two that came together the first was closed for the second, its set-up unread."""
        town = Town()
        for n in range(32):
            viewer = town.viewer(f"stayed {n}")
            viewer.stream.write(set_up(100 + n, title=f"{n:016x}", hint="100.0"))
            town.run(10)
            node = town.director.standing[f"{100 + n:016x}"].node.id
            town.sides[f"node {node}"].stream.write(release(100 + n, 16))
            town.run(50)
        town.lines.clear()
        ones = [town.side(name, binary.Reader()) for name in ("one", "two", "three")]
        for number, side in enumerate(ones):
            town.hosts["viewers"].dial(LISTEN, side, 1000).write(set_up(200 + number))
        town.run(60)
        self.assertEqual([line.split()[1] for line in town.lines if "closed" in line], ["stayed"] * 3)
        self.assertEqual(sorted(line.split()[1] for line in town.lines if " gets 9 20" in line), ["one", "three", "two"])

    def test_bad_nodes(self):
        """Spoilt answers end their allocation and their connection; a paid play then fails, another goes on elsewhere."""
        spoilt = {"noise": lambda s, m: s.stream.write(b"\x00\xffnoise"), "3 GB": lambda s, m: s.stream.write(answer(m.session).replace(b"Length: 5", b"Length: 3000000000") + b"x" * 9000),
                  "short": lambda s, m: s.stream.write(answer(m.session).replace(b"Length: 5", b"Length: 2")), "broken off": lambda s, m: (s.stream.write(answer(m.session)[:40]), s.stream.abort()),
                  "empty": lambda s, m: s.stream.write(answer(m.session, body=b"")), "reset": lambda s, m: s.stream.abort(), "closed": lambda s, m: s.stream.close()}
        for product, wanted in (("guide", "gets 9 1"), ("paid", "gets 12 1 cause 41")):
            for name, act in spoilt.items():
                with self.subTest(name, product=product):
                    town = Town()
                    town.answers = {"a": act}
                    if product == "guide":               # the one that is tried first answers badly
                        town.answers = {"a": Once(act), "b": 200}
                    viewer = town.viewer()
                    viewer.stream.write(set_up(1, product=product))
                    town.run(1600)
                    got = [line for line in town.lines if "viewer gets" in line]
                    self.assertEqual(len(got), 1, town.lines)
                    self.assertIn(wanted, got[0])

    def test_more_than_belongs(self):
        """An answer under an unknown session ahead, and a second copy: one answer goes to the viewer."""
        town = Town()
        town.answers["a"] = lambda s, m: s.stream.write(answer("f" * 16) + 2 * answer(m.session))
        town.answers["b"] = town.answers["a"]
        town.viewer().stream.write(set_up(1))
        town.run(500)
        self.assertEqual(sum("viewer gets 9 1" in line for line in town.lines), 1)

    def test_a_play_that_is_left_as_it_begins_is_over_for_its_viewer(self):
        """Seen on sockets: the node's answer and its release came together; the viewer got the answer to a play that was over, and no end."""
        town = Town(nodes=("a",))
        town.answers["a"] = lambda s, m: s.stream.write(answer(m.session) + release(int(m.session, 16), 31))
        town.viewer().stream.write(set_up(1))
        town.run(50)
        self.assertEqual([line.split(maxsplit=1)[1] for line in town.lines if "viewer gets" in line],
                         ["viewer gets 9 1 description 'v=0\\r\\n'", "viewer gets 12 1 cause 16"])
        self.assertEqual(len(town.director.standing), 0)

    def test_change_log(self):
        town = Town(nodes=("a", "b", "c"))
        town.run(20)
        c = member("c", 1, cell=2)
        town.lines.append("# told twice, cut in the middle, silent: begun again from the last event, each taken once")
        town.log_side.tell(event(2, c), event(2, c), {"seq": 2})
        town.run(20)
        town.log_side.stream.write(b'{"seq":3,"fleet":{"rev')
        town.run(1)
        town.log_side.stream.abort()
        town.run(300)
        town.log_side.tell(event(3, member("a", 1, "DRAINING")), event(4, member("b", 1, "DELETED")))
        town.run(20)
        self.assertEqual({n.id: (n.gone) for n in town.director.nodes.by_id.values()}, {"a": False, "b": True, "c": False})
        town.lines.append("# all go to the one that is left")
        viewer = town.viewer()
        viewer.stream.write(set_up(1) + set_up(2))
        town.run(50)
        town.lines.append("# silence, then a gap")
        town.run(2600)
        town.log_side.tell(event(6, member("a", 1)))
        town.run(300)
        self.same("platform_log", town)

    def test_what_we_close_is_opened_again_while_plays_stand(self):
        """A node's release may be on its way on a connection that we close: it comes again on the next one that opens."""
        town = Town(nodes=("a",))
        viewer = town.viewer()
        viewer.stream.write(set_up(1))
        town.run(50)
        town.answers = {"a": 0}
        viewer.stream.write(set_up(2, product="paid", patience="300"))
        before = town.sides["node a"]
        town.run(290)
        town.sides["node a"].stream.write(release(1, 16))       # crosses the close at the time-out, or comes on the new one
        town.run(100)
        self.assertIsNot(town.sides["node a"], before)
        self.assertFalse(before.open)
        town.sides["node a"].stream.write(release(1, 16))
        town.run(50)
        self.assertEqual(sum("viewer gets 12 1 cause 16" in line for line in town.lines), 1)

    def test_drain_takes_back_what_has_not_left(self):
        """A set-up that waits for its connection when its node drains goes elsewhere: not a byte of it reaches the node."""
        town = Town()
        town.hosts["a"].silent = town.hosts["b"].silent = True     # connections do not come up
        town.viewer().stream.write(set_up(1))
        town.run(5)
        first = next(iter(town.director.open.values())).node.id
        other = "b" if first == "a" else "a"
        town.hosts[other].silent = False
        town.log_side.tell(event(2, member(first, 1, "DRAINING", cell="ab".index(first))))
        town.run(50)
        self.assertTrue(any(f"node {other} gets SETUP 1" in line for line in town.lines), town.lines)
        self.assertFalse(any(f"node {first} gets" in line for line in town.lines))

    def test_what_is_told_as_never_sent_never_leaves(self):
        """Seen on sockets: a set-up was taken back while its connection came up, then written out on it, and the play went elsewhere too."""
        def drain(town):
            town.director.listed(changes.event_of(event(2, member("a", 1, "DRAINING"))))

        def late(town):
            town.director.late(town.director.open[f"{1:016x}"])

        def leave(town):
            town.director.viewer_ends(town.director_side(), f"{1:016x}")

        def stop(town):
            town.director.end_all()
        for act in drain, late, leave, stop:
            for shared in False, True:
                with self.subTest(act.__name__, shared=shared):
                    town = Town()
                    town.director.nodes.most = 1 if shared else 22
                    town.director.controller.nodes[2].rest = 1e12      # node b: all go to a
                    town.viewer()
                    town.director.heard(town.director_side(), message(set_up(1, product="paid")))
                    if shared:
                        town.director.heard(town.director_side(), message(set_up(2, product="paid")))
                    town.director.decide()
                    line, = town.director.nodes.by_id["a"].lines
                    self.assertEqual((line.up, len(line.plays)), (False, 1 + shared))
                    town.director.controller.nodes[2].rest, town.director.nodes.most = 0.0, 22
                    town.hosts["director"].soon(lambda: act(town))
                    town.run(50)
                    got = [part for part in town.lines if "node a gets SETUP" in part]
                    self.assertFalse([part for part in got if " SETUP 1 " in part], town.lines)
                    self.assertEqual(len(got), shared and act in (late, leave), town.lines)
                    self.assertEqual(any("node b gets SETUP 1" in part for part in town.lines), act in (drain, late), town.lines)
                    self.assertLessEqual(sum("viewer gets" in part and part.split()[4] == "1" for part in town.lines), 1)

    def test_few_descriptors_and_many_nodes(self):
        """400 nodes hold a play each at a director with 256 descriptors: connections take turns, each node is heard in time."""
        names = [f"n{i:03}" for i in range(400)]
        town = Town(nodes=names, limits={"sockets": 256}, known={"seq": 1, "results": [event(1, *(member(name, 1, cell=i % 3) for i, name in enumerate(names)), whole=True)]})
        town.answers, said = dict.fromkeys("0123456789", 200), {}
        front = town.viewer()
        town.lines = Silent()
        for i, name in enumerate(names):
            town.director.heard(town.director_side(), message(set_up(i + 1, figures=f"home:0;copies:3;top:2;at:{name}")))
            town.hosts[name].at(town.world.now + 3000, lambda name=name: said.setdefault(name, town.world.now))
            # A node says what it has to tell on an open connection, and once more on the next that opens
            came = town.hosts[name].listeners[0]
            came.accept = lambda stream, name=name, i=i: Telling(town, name, said, release(i + 1, 16))
        most, latest, taken = 0, {}, town.director.controller.ended
        town.director.controller.ended = lambda now, play, *more: (latest.setdefault(names[play - 1], now), taken(now, play, *more))[1]
        for _ in range(120):
            town.run(100)
            most = max(most, town.hosts["director"].open_streams)
        self.assertLessEqual(most, 256)
        self.assertEqual(len(town.director.standing), 0)
        self.assertLess(max(latest[name] - said[name] for name in names), 8000 - 1000)
        self.assertTrue(front.open)

    def test_no_descriptor_tells_nothing_of_a_node(self):
        town = Town(nodes=("a",))
        town.viewer().stream.write(set_up(1))
        town.run(50)
        node = town.director.nodes.by_id["a"]
        for _ in range(5):
            node.dial()
            line = node.lines[-1]
            line.closed(line.stream, SHORT)
        self.assertEqual((node.silent, len(town.director.standing)), (0, 1))

    def test_a_list_of_1024_nodes(self):
        """Nothing is left out, half of them change in one event, and a play finds its holder among them."""
        names = [f"n{i:04}" for i in range(1024)]
        terms = json.loads(json.dumps(TREE))
        terms["Specifics"] |= {"Positions": 1024, "RackKb": 9e6}
        terms["Siblings"] = 1024
        town = Town(nodes=("n0007",), settings=terms, known={"seq": 1, "results": [event(1, *(member(n, 1, cell=i) for i, n in enumerate(names)), whole=True)]})
        self.assertEqual(sum(node.state == face.READY for node in town.director.controller.nodes.values()), 1024)
        town.run(20)
        town.log_side.tell(event(2, *(member(n, 1, "DELETED", cell=i) for i, n in enumerate(names) if i % 2 == 0),
                                 *(member(f"s{i:04}", 1, cell=i, since=1) for i in range(0, 1024, 2))))
        town.run(20)
        self.assertEqual(sum(node.state == face.READY for node in town.director.controller.nodes.values()), 1024)
        town.run(600)
        self.assertEqual(len(town.director.nodes.by_id), 1024)
        town.viewer().stream.write(set_up(1, figures="home:7;copies:1;top:2"))
        town.run(50)
        self.assertTrue(any("node n0007 gets SETUP 1" in line for line in town.lines), town.lines)

    def test_what_has_left_in_part_is_cut_off(self):
        town = Town(nodes=("a",))
        viewer = town.viewer()
        viewer.stream.write(set_up(1))
        town.run(50)
        line, = town.director.nodes.by_id["a"].lines
        town.sides["node a"].stream.pause()
        line.stream.write(b"x" * (WINDOW - 100))
        viewer.stream.write(set_up(2, product="paid"))
        town.run(20)
        self.assertEqual((line.state(f"{2:016x}"), line.stream.queued > 0, line.stream.taken), (life.UNSENT, True, line.stream.asked - line.stream.queued))
        viewer.stream.write(binary.encode(binary.RELEASE, f"{2:016x}", (222, b"\x10")))
        town.run(20)
        self.assertEqual((line.stream.alive, len(town.director.nodes.by_id["a"].lines)), (False, 1))
        self.assertEqual(len(town.director.standing), 1)

    def test_an_answer_to_what_has_not_left(self):
        """It is no answer: taken as one, the rest of the set-up would leave after its end was told."""
        for said in answer(f"{1:016x}", 453), release(1, 41):
            town = Town(nodes=("a",))
            town.hosts["a"].silent = True
            town.viewer().stream.write(set_up(1, product="paid"))
            town.run(20)
            line, = town.director.nodes.by_id["a"].lines
            line.got(line.stream, said)
            self.assertFalse(line.stream.alive)
            self.assertEqual(town.director.counts["spoilt"], 1)

    def test_new_node_at_an_old_address(self):
        """Connections belong to ids: nothing of the one that has gone goes to its successor."""
        town = Town()
        town.viewer().stream.write(set_up(1))
        town.run(50)
        old = next(iter(town.director.standing.values())).node
        successor = member("new", 1) | {"host_port": f"{old.id}:1"}
        town.log_side.tell(event(2, member(old.id, 1, "DELETED"), successor))
        town.run(50)
        new = town.director.nodes.by_id["new"]
        self.assertNotEqual(new.number, old.number)
        self.assertEqual(len(new.lines), 0)
        town.sides[f"node {old.id}"].stream.abort()
        town.run(600)
        self.assertEqual(len(town.director.standing), 0)
        self.assertNotIn(old.id, town.director.nodes.by_id)

    def test_new_configuration(self):
        """Another change log and other terms hold from then on; a bad file is refused whole."""
        town = Town()
        town.hosts["log two"] = town.world.host("log two")
        town.hosts["log two"].listen(("log two", 1), town.log_came)
        town.run(20)
        terms = json.loads(json.dumps(TREE))
        terms["Specifics"]["SeenAfter"] = 700_000
        town.director.change(assignments.of(tree(changelog="log two:1", settings=terms)))
        town.run(200)
        self.assertEqual(town.director.controller.d.seen_after_ms, 700.0)
        self.assertEqual(sum("log gets since 1" in line for line in town.lines), 2)
        for bad in ({"settings": {}}, {"known": None}, {"changelog": "x"}, {"listen": 7}, {"settings": TREE | {"Siblings": "many"}}, {"seed": "zz"}):
            with self.subTest(bad), self.assertRaises(assignments.Refused):
                assignments.of(tree(**bad))
        self.assertRaises(assignments.Refused, assignments.of, [])

    def test_stop(self):
        """Takes nothing new, answers what is open, ends when nothing stands, or past the longest time limit."""
        town = Town()
        viewer = town.viewer()
        viewer.stream.write(set_up(1))
        town.run(50)
        town.director.stop()
        viewer.stream.write(set_up(2) + binary.encode(binary.TEST, "0" * 16, (222, b"\0")))
        town.run(50)
        town.run(4600)
        self.same("platform_stop", town)
        self.assertFalse(town.hosts["director"].running)

    def test_releases_at_the_end_are_heard(self):
        """Seen on sockets: the process ended with what viewers had said unread, and the resets took 60 releases along."""
        for hears in True, False:
            town = Town()
            viewer = town.viewer()
            viewer.stream.write(set_up(1))
            town.run(50)
            town.director.stop()
            town.run(3351 - 50 + 60)
            self.assertTrue(any("viewer gets 12 1 cause 41" in line for line in town.lines))
            self.assertTrue(town.hosts["director"].running)
            if hears:
                viewer.stream.write(binary.encode(binary.HEARD, f"{1:016x}"))
            town.run(20)
            self.assertEqual(town.hosts["director"].running, not hears)
            town.run(300)
            self.assertFalse(town.hosts["director"].running)

    def test_a_tester_is_no_way_to_viewers(self):
        """Seen on sockets: a release went on the connection of a front's test, where nobody heard it."""
        town = Town()
        first, second = town.viewer("first"), town.viewer("second")
        for side, session in (first, 1), (second, 2):
            side.stream.write(set_up(session))
            town.run(20)
        town.viewer("tester").stream.write(binary.encode(binary.TEST, "0" * 16, (222, b"\0")))
        town.run(20)
        first.stream.abort()
        town.run(20)
        node = town.director.standing[f"{1:016x}"].node.id
        town.sides[f"node {node}"].stream.write(release(1, 16))
        town.run(20)
        self.assertEqual([line.split()[1] for line in town.lines if "gets 12 1" in line], ["second"])

    def test_who_asked_is_not_closed_as_of_no_use(self):
        """Seen on sockets: connections that had handed plays over were closed 2 s later, all at once; a set-up that came just then
        was lost, and so was a release at a director that was left without a connection."""
        town = Town()
        front, other = town.viewer("front"), town.viewer("other")
        front.stream.write(set_up(1, figures="home:0;copies:3;top:2;at:a") + set_up(2, figures="home:0;copies:3;top:2;at:a"))
        town.run(20)
        for controlled in town.director.controller.nodes.values():
            controlled.rest = 1e12
        other.stream.write(set_up(3))
        town.run(2600)
        self.assertTrue(any("other gets 12 3 cause 42" in line for line in town.lines), town.lines)
        self.assertFalse(any("closed" in line for line in town.lines), town.lines)
        side = town.sides["node a"]
        side.stream.write(release(1, 16))
        town.run(20)
        front.stream.abort()
        town.run(20)
        town.sides["node a"].stream.write(release(2, 16))
        town.run(20)
        self.assertEqual([line.split(maxsplit=1)[1] for line in town.lines if " 12 1 " in line or " 12 2 " in line],
                         ["front gets 12 1 cause 16", "other gets 12 1 cause 16", "other gets 12 2 cause 16"])
        town.viewer("third").stream.write(set_up(4, figures="home:0;copies:3;top:2;at:a"))
        town.run(20)
        self.assertEqual(sum("third gets 12" in line for line in town.lines), 2, town.lines)

    def test_module_fails(self):
        """All that is open is answered, and all that stands is released."""
        town = Town()
        viewer = town.viewer()
        viewer.stream.write(set_up(1))
        town.run(50)
        town.answers = {"a": 0, "b": 0}
        viewer.stream.write(set_up(2))
        town.run(20)

        def fails(*_):
            raise RuntimeError("planted")
        town.director.controller.note = fails
        node = next(iter(town.director.standing.values())).node.id
        with self.assertLogs("laddergw.hosting", "ERROR"):
            town.sides[f"node {node}"].stream.write(rtsp.request("ANNOUNCE", "x", f"{1:016x}", (("X-Note", "port"), ("Figure", "0.5"))))
            town.run(50)
        self.assertTrue(any("viewer gets 12 2 cause 41" in line for line in town.lines), town.lines)
        self.assertTrue(any("viewer gets 12 1 cause 41" in line for line in town.lines), town.lines)
        self.assertTrue(town.director.broken)


class Telling(Side):
    """A node's end of a connection: tells its release when it is there to tell, on the next connection too."""

    def __init__(self, town, name, said, data):
        super().__init__(town, f"node {name}", rtsp.Reader())
        self.host, self.said, self.data = name, said, data

    def opened(self, stream):
        super().opened(stream)
        self.tell()

    def tell(self):
        if self.host in self.said and self.open:
            self.stream.write(self.data)
        elif self.open:
            self.town.hosts[self.host].after(50, self.tell)


class Silent(list):
    def append(self, line):
        pass


class Once:
    """Acts badly the first time, well ever after."""

    def __init__(self, act):
        self.act = act

    def __call__(self, side, m):
        act, self.act = self.act, None
        if act is not None:
            return act(side, m)
        return side.stream.write(answer(m.session))


class Tables(unittest.TestCase):
    def test_what_proves_that_it_never_ran(self):
        never = {face.FULL, face.UNREACHABLE, face.NEVER_SENT}
        for fact in (life.CUT, life.SPOILT, life.LATE, life.LOST, life.TAKEN_BACK, life.FULL, life.MOOT):
            self.assertIn(life.outcome(life.UNSENT, fact), never, fact)
        for fact in (life.CUT, life.SPOILT, life.LATE, life.LOST, life.ERROR, life.RESET, life.BROKEN_OFF, life.GIVEN_UP):
            self.assertNotIn(life.outcome(life.OUT, fact), never, fact)
        for fact in (life.CUT, life.SPOILT, life.LATE, life.THERE, life.FULL):
            self.assertIsNone(life.outcome(life.HELD, fact), fact)
        self.assertEqual([life.end(c) for c in (16, 31, 41, 0)], [life.ENDED, life.LEFT, life.BROKEN_OFF, life.BROKEN_OFF])
        self.assertEqual([life.answer(s) for s in (200, 453, 599)], [life.THERE, life.FULL, life.ERROR])

    def test_one_decoder_for_both_ways(self):
        values = settings.flatten(TREE)
        self.assertEqual((values["Grades.count"], values["Grades.1.Name"], values["Specifics.LadderKb"], values["Permissions.Probes"], values["Zones"]),
                         ("2", "paid", "100.0,200.0,400.0", "false", "east,west_wing"))
        lines = "\n".join(f"{key}={value}" for key, value in values.items())
        self.assertEqual(settings.decode(values), settings.decode(settings.parse(lines)))

    def test_requests(self):
        found = requests.read(binary.Message(1, f"{7:016x}", {180: b"paid", 183: b"1500", 192: b"7f3a9c21e0b4d655", 210: b"8200.0", 195: b"home:1;copies:3;top:2;again:1", 225: b"v"}),
                              assignments.of(tree()))
        self.assertEqual(found.ask, face.Asked(7, 1, 0x7f3a9c21e0b4d655, 1.0, 3.0, 2.0, 8200.0, 1500.0, True))

    def test_imports_only_what_it_needs(self):
        """Start time and memory: nothing of other fronts, no framework, no threads of its own."""
        code = "import sys, laddergw.platform.__main__; print(*sorted(m for m in sys.modules))"
        loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
        ours = {m for m in loaded if m.startswith("laddergw.") and m.split(".")[1] not in ("platform", "signalling", "loop", "control", "interface", "settings", "hosting")}
        self.assertEqual(ours, set())
        self.assertEqual({"asyncio", "subprocess", "msgspec", "httptools", "structlog", "typer", "prometheus_client"} & set(loaded), set())


if __name__ == "__main__":
    unittest.main()

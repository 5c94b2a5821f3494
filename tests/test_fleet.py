"""The fleet's audit: versions and stands, counts that survive whatever the lines do, answers; and a judge that sees each mistake put in on purpose."""
import logging
import unittest
from unittest import mock

from hypothesis import given, settings, strategies as st

from laddergw.fleet import answers, versions
from laddergw.fleet.book import SILENT_MS, Book
from laddergw.fleet.stamps import AGAIN, KEYS_MOST, LET_IN, PLAYING, STEPS_MOST, TURNS_MOST, WAYS_MOST, Key, Stamps
from laddergw.fleet.telling import Part, Senseless, Told
from laddergw.lab import fleet_stage
from laddergw.lab.plant import plant
from laddergw.lab.script import bad_day
from laddergw.loop.memory import Memory
from laddergw.planner import auditing, wire
from laddergw.planner.digests import Digest
from laddergw.planner.peer import Peer
from laddergw.planner.server import Planner

STANDS = [versions.stand([versions.version(versions.PROGRAM, ["text"]), versions.version(versions.LIMITS, [f"limits {n}"], "ops")]) for n in range(6)]


class Versions(unittest.TestCase):
    def test_the_same_content_is_the_same_stand(self):
        one, other = (versions.version(versions.LIMITS, ["a", "b"], issuer, number) for issuer, number in (("x", 3), ("y", 0)))
        keys = versions.version(versions.KEYS, ["k"])
        self.assertEqual(versions.stand([one, keys]).id, versions.stand([keys, other]).id)
        self.assertNotEqual(versions.version(versions.LIMITS, ["ab"]).hash, one.hash)      # where a text ends counts
        self.assertNotEqual(versions.stand([one]).id, versions.stand([versions.version(versions.RULES, ["a", "b"])]).id)
        self.assertRaises(ValueError, versions.stand, [one, other])
        self.assertRaises(ValueError, versions.stand, [versions.version("hat", ["a"])])


class Stamped(unittest.TestCase):
    def test_counts_of_past_turns_go_once_they_are_kept(self):
        stamps = Stamps()
        self.assertEqual([stamps.on(STANDS[n], float(n)) for n in (0, 0, 1)], [True, False, True])
        stamps.did("v", "safe", STANDS[0].id, PLAYING, 5.0)
        stamps.did("w", "safe", STANDS[1].id, LET_IN, 6.0)
        self.assertEqual(stamps.counts[2], {Key(2, STANDS[0].id, "safe", PLAYING): 1, Key(2, "", "safe", LET_IN): 1})
        stamps.kept_by_planner(2)
        self.assertEqual(([t.number for t in stamps.turns], set(stamps.stands)), ([2], {STANDS[0].id, STANDS[1].id}))     # one play keeps the old one
        stamps.kept_by_planner(99)                                       # nonsense: the present turn stays
        self.assertEqual(stamps.now_in_force, STANDS[1].id)

    def test_memory_is_bounded_and_what_goes_is_told(self):
        stamps = Stamps()
        for n in range(3 * TURNS_MOST):
            stamps.on(STANDS[n % 2], float(n))
            stamps.did(f"v{n}", "safe", "", LET_IN, float(n))
        self.assertEqual((len(stamps.turns), len(stamps.counts), stamps.untold), (TURNS_MOST, TURNS_MOST, 2 * TURNS_MOST))
        for n in range(2 * KEYS_MOST):
            stamps.did("v", f"product {n}", "", AGAIN, 0.0)
        for n in range(2 * WAYS_MOST):
            stamps.did(f"w{n}", "safe", "", LET_IN, 0.0)
        self.assertLessEqual(len(stamps.counts[stamps.turns[-1].number]), KEYS_MOST + 2)
        self.assertEqual((len(stamps.ways), max(map(len, stamps.ways.values())) <= STEPS_MOST), (WAYS_MOST, True))


class Telling(unittest.TestCase):
    @settings(max_examples=120, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(("turn", "do", "do", "do", "tell", "tell", "lose", "double", "late", "keep", "new line", "planner dies")), st.integers(0, 5)), max_size=60))
    def test_nothing_is_lost_or_doubled_whatever_the_lines_do(self, steps):
        """Parts lost with their connection, doubled, late, planners that die between hearing and writing: the journal ends with what was done."""
        stamps, done, now = Stamps(), {}, 0.0
        stamps.on(STANDS[0], 0.0)
        disk, book, told, flying = [], Book(), Told(), []

        def hear(part):
            book.merge("d0-1", part, now, now)
        for what, which in [*steps, ("new line", 0), ("tell", 0), ("keep", 0)]:
            now += 10.0
            if what == "turn":
                stamps.on(STANDS[which], now)
            elif what == "do":
                stamps.did("v", f"p{which % 2}", STANDS[which].id, LET_IN, now)
                done[f"p{which % 2}"] = done.get(f"p{which % 2}", 0) + 1
            elif what == "tell":
                flying.append(told.part(stamps))
                hear(flying[-1])
            elif what == "lose":                                         # told into a connection that is dead; the next one begins whole
                told.part(stamps)
                told = Told()
            elif what in ("double", "late") and flying:
                try:
                    hear(flying[which % len(flying)])
                except Senseless:
                    self.assertEqual(book.processes, {})                 # a part of before, at a planner that knows nothing yet
            elif what == "keep":
                records = book.records(now)
                disk += records
                book.kept(records)
                stamps.kept_by_planner(book.acknowledged("d0-1"))
            elif what == "new line":
                told = Told()
            elif what == "planner dies":
                book, told, flying = Book(), Told(), []
                for record in disk:
                    book.restore(record)
        found = Book()
        for record in disk:
            found.restore(record)
        counts = {}
        for (_, _, product, _), count in answers.counted(found).items():
            counts[product] = counts.get(product, 0) + count
        self.assertEqual(counts, done)

    def test_parts_that_make_no_sense(self):
        good = STANDS[0]
        told = {good.id: tuple(tuple(v) for v in good.versions)}
        for part in (Part(turns=((0, 1.0, good.id),), stands=told), Part(turns=((2, 1.0, good.id), (1, 1.0, good.id)), stands=told), Part(turns=((1, float("nan"), good.id),), stands=told),
                     Part(turns=((1, 1.0, good.id),)), Part(stands={"0" * 12: told[good.id]}), Part(counts=((1, "", "safe", "sang", 1),)),
                     Part(counts=((1, "", "safe", LET_IN, -1),)), Part(untold=-1), Part(alone_ms=-1.0), Part(stands={good.id: (("hat", 0, "x", ""),)})):
            with self.subTest(part):
                self.assertRaises(Senseless, Book().merge, "d0-1", part, 1.0, 1.0)


class AtThePlanner(unittest.TestCase):
    def test_a_part_on_a_digest_without_its_base(self):
        """Rehearsed: an older connection's end took the base away under the next one; the digest was asked for again, its part of the audit was lost."""
        world, back, stamps = Memory(3), [], Stamps()
        planner = Planner(world.host("p0"), "p0.1", ("p0", 8300), None, (("lab", b"key of the planners"),), clock=lambda: world.now)
        stamps.on(STANDS[0], world.now)
        stamps.did("v", "safe", "", LET_IN, world.now)
        peer = Peer(world.host("d0"), wire.Hello(wire.VERSION, "d0-1", wire.EDGE, 0), lambda peer, frame: back.append(frame), lambda peer: None, lambda peer, why: None)
        world.hosts["d0"].dial(("p0", 8300), peer, 500.0)
        world.run(world.now + 50)
        peer.send(wire.as_frame(Digest("d0-1", 9, world.now, {}, {}, (), {}, ()), wire.Base(8, {}), audit=Told().part(stamps)))
        world.run(world.now + 50)
        self.assertIn(wire.Again(9), back)
        self.assertEqual(answers.counted(planner.auditing.book), {("d0-1", STANDS[0].id, "safe", LET_IN): 1})

    def test_a_part_that_makes_no_sense_ends_its_connection_alone(self):
        world, ends = Memory(3), []
        planner = Planner(world.host("p0"), "p0.1", ("p0", 8300), None, (("lab", b"key of the planners"),), clock=lambda: world.now)
        peers = [Peer(world.host(f"d{n}"), wire.Hello(wire.VERSION, f"d{n}-1", wire.EDGE, 0), lambda peer, frame: None, lambda peer: None, lambda peer, why: ends.append(peer)) for n in (0, 1)]
        for n, peer in enumerate(peers):
            world.hosts[f"d{n}"].dial(("p0", 8300), peer, 500.0)
        world.run(world.now + 50)
        peers[0].send(wire.as_frame(Digest("d0-1", 1, 1.0, {}, {}, (), {}, ()), None, audit=Part(untold=-1)))
        world.run(world.now + 50)
        self.assertEqual((ends, len(planner.peers), planner.auditing.book.processes), ([peers[0]], 1, {}))


class Answers(unittest.TestCase):
    def setUp(self):
        self.book = Book()
        for name, turns in ("d0-a", (0, 1)), ("d1-b", (0,)):
            stamps, told = Stamps(), Told()
            for n, which in enumerate(turns):
                stamps.on(STANDS[which], 1_000.0 * n)
                stamps.did("v", "safe", STANDS[0].id, LET_IN, 1_000.0 * n + 1)
            self.book.merge(name, told.part(stamps), 2_000.0, 10_000.0)

    def test_versions(self):
        found = answers.versions(self.book, 10_500.0, 1e6)["versions"]
        self.assertEqual([(row["kind"], row["directors"], row["let_in_last_minute"]) for row in found],
                         [("program", ["d0-a", "d1-b"], 3), *sorted([("limits", ["d1-b"], 2), ("limits", ["d0-a"], 1)], key=lambda row: row[1] != found[1]["directors"])])
        self.assertEqual(found[0]["since_wall_ms"], 1e6 - 2_500.0)

    def test_who_acted_on_what_and_when(self):
        at = lambda ms: answers.director(self.book, "d0", 1e6 - (10_500.0 - ms), 10_500.0, 1e6)["processes"][0]
        self.assertEqual([at(ms)["stand"] for ms in (7_000.0, 8_500.0, 9_500.0)], [None, STANDS[0].id, STANDS[1].id])
        self.assertEqual((at(9_500.0)["did"], at(9_500.0)["until_wall_ms"], at(8_500.0)["until_wall_ms"]), ({"safe let in": 1}, None, 1e6 - 1_500.0))
        acted = answers.version(self.book, STANDS[0].of(versions.LIMITS).hash[:6], 10_500.0, 1e6)["acted"]
        self.assertEqual([(row["process"], row["let_in"], row["kept_later"]) for row in acted], [("d0-a", {"safe": 1}, {"safe let in": 1}), ("d1-b", {"safe": 1}, {})])

    def test_what_is_not_known_is_said(self):
        self.assertEqual(answers.unknown(self.book, 10_500.0), [])
        said = answers.versions(self.book, 10_000.0 + SILENT_MS, 1e6)
        self.assertEqual((said["versions"], len(said["not_known"])), ([], 2))
        self.assertIn("d0-a silent since 5.0 s ago", said["not_known"][0])


class Rehearsed(unittest.TestCase):
    """Edges, planners and lines that fail in memory; and directors, planners and lines with a mistake, which the judge must see."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, seed=1):
        the_plant = plant(seed, directors=4, nodes=12, rate=12, seconds=12)
        stage = fleet_stage.FleetStage(the_plant, bad_day(the_plant), kills=5)
        stage.run()
        return stage

    def test_every_count_as_the_directors_counted_themselves(self):
        stage = self.play()
        self.assertEqual(stage.verdict, [])
        self.assertGreater(stage.facts["actions"], 500)
        self.assertGreater(stage.facts["faults"], 10)
        self.assertLessEqual(stage.facts["turns kept"], 8)               # what planners keep, directors drop

    def test_mistakes_are_seen(self):
        merge, part, keep = Book.merge, Told.part, auditing.Auditing.keep

        def doubled(book, name, told, at, now):
            had = dict(book.processes[name].counts) if name in book.processes else {}
            new = merge(book, name, told, at, now)
            for row in told.counts:
                if had.get(Key(*row[:4]), 0) >= row[4]:
                    book.processes[name].counts[Key(*row[:4])] += 1
            return new

        def unheard(told, stamps, alone_ms=0.0):
            if not told.turn:                                            # a new line begins with what is new, as if the last had told all
                told.counts = {number: dict(mine) for number, mine in stamps.counts.items()}
            return part(told, stamps, alone_ms)

        def hasty(self, peers):
            for peer in list(peers):
                if self.ledger is not None and peer.other is not None and (process := self.book.processes.get(peer.other.name)):
                    peer.send(wire.Kept(max(process.turns, default=1)))
            if len(self.book.changed) < 3:
                keep(self, [])

        def forgetful(self, peers):
            if self.ledger is not None and self.ledger.number % 3 == 1:
                self.ledger.store.db.execute("DELETE FROM ledger WHERE number = (SELECT max(number) FROM ledger)")
            keep(self, peers)
        for target, name, mistake in ((Book, "merge", doubled), (Told, "part", unheard), (auditing.Auditing, "keep", hasty), (auditing.Auditing, "keep", forgetful)):
            with self.subTest(mistake.__name__), mock.patch.object(target, name, mistake):
                self.assertNotEqual(self.play().verdict, [])


if __name__ == "__main__":
    unittest.main()

"""The HTTP layer against peers that stall, cut, flood and lie; facts of calls against what was written."""
import unittest

from laddergw.http.client import Pool
from laddergw.http.limits import PeerLimits, PoolLimits
from laddergw.http.server import Server
from laddergw.loop.memory import MemoryNetwork
from tests.test_loop import Peer

REQUEST = b'POST /x HTTP/1.1\r\nHost: b\r\nContent-Length: 5\r\n\r\nhello'
LIMITS = PeerLimits(head_ms=200.0, body_ms=200.0, idle_ms=300.0, stall_ms=300.0, max_connections=50, max_pipelined=3)


class Place(unittest.TestCase):
    def setUp(self):
        self.world = MemoryNetwork(seed=5)
        self.a, self.b = self.world.host("a"), self.world.host("b")
        self.seen = []
        self.server = Server(self.b, ("b", 80), self.serve, LIMITS)

    def serve(self, exchange):
        self.seen.append(exchange)
        exchange.answer(200, exchange.body)

    def run_ms(self, ms):
        self.world.run(self.world.now + ms)

    def raw(self, data, ms=1_000):
        """What a peer that writes these bytes gets back."""
        peer = Peer()
        stream = self.a.dial(("b", 80), peer, 100)
        stream.write(data)
        self.run_ms(ms)
        return peer


class Peers(Place):
    def test_a_request_cut_at_each_of_its_bytes_runs_nothing(self):
        for cut in range(len(REQUEST)):
            peer = Peer()
            stream = self.a.dial(("b", 80), peer, 100)
            stream.write(REQUEST[:cut])
            self.run_ms(5)
            stream.close()
            self.run_ms(5)
        self.assertEqual(self.seen, [])
        self.raw(REQUEST)
        self.assertEqual([x.body for x in self.seen], [b"hello"])
        self.assertEqual(len(self.server.connections), 0)

    def test_a_byte_at_a_time_is_read_whole(self):
        peer = Peer()
        stream = self.a.dial(("b", 80), peer, 100)
        for at in range(len(REQUEST)):
            stream.write(REQUEST[at:at + 1])
            self.run_ms(1)
        self.assertTrue(peer.data.startswith(b"HTTP/1.1 200"))

    def test_slow_and_silent_peers_are_cut_off_with_an_answer_where_one_is_due(self):
        silent = self.raw(b"")
        half = self.raw(REQUEST[:30])
        body = self.raw(REQUEST[:-2])
        for peer in half, body:
            self.assertIn(b"408", peer.data)
        for peer in silent, half, body:
            self.assertEqual(len(peer.ends), 1)
        self.assertEqual(self.seen, [])

    def test_what_is_not_http_and_what_is_too_large(self):
        self.assertIn(b"400", self.raw(b"\0\0nonsense\r\n\r\n").data)
        self.assertIn(b"431", self.raw(b"GET / HTTP/1.1\r\nX: " + b"y" * 100_000).data)
        self.assertIn(b"413", self.raw(b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n").data)
        self.assertIn(b"413", self.raw(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"4000\r\n" + b"z" * 0x4000
                                       + b"\r\n4000\r\n" + b"z" * 0x4000 + b"\r\n8001\r\n" + b"z" * 0x8001).data)
        self.assertEqual(self.seen, [])

    def test_pipelined_requests_are_answered_in_order_and_bounded(self):
        held = []
        self.server.serve = held.append
        peer = Peer()
        self.a.dial(("b", 80), peer, 100).write(b"".join(REQUEST.replace(b"hello", b"%05d" % n) for n in range(10)))
        self.run_ms(50)
        self.assertEqual(len(held), 1)
        while len(held) < 10:
            held[-1].answer(200, held[-1].body)
            self.run_ms(5)
        held[-1].answer(200, held[-1].body)
        self.run_ms(5)
        self.assertEqual([peer.data.index(b"%05d" % n) for n in range(10)], sorted(peer.data.index(b"%05d" % n) for n in range(10)))

    def test_one_answer_only_and_leaving_is_told(self):
        gone = []

        def serve(exchange):
            exchange.on_disconnect = lambda: gone.append(exchange)
            self.seen.append(exchange)
        self.server.serve = serve
        peer = Peer()
        stream = self.a.dial(("b", 80), peer, 100)
        stream.write(REQUEST)
        self.run_ms(5)
        stream.close()
        self.run_ms(5)
        self.assertEqual(gone, self.seen)
        self.assertFalse(self.seen[0].answer(200, b""))
        again = Peer()
        self.a.dial(("b", 80), again, 100).write(REQUEST)
        self.run_ms(5)
        self.assertTrue(self.seen[1].answer(200, b"first"))
        self.assertFalse(self.seen[1].answer(500, b"second"))

    def test_a_peer_that_never_reads_is_bounded_and_cut(self):
        held = []
        self.server.serve = lambda x: held.append(x) or x.begin(200)
        peer = Peer()
        stream = self.a.dial(("b", 80), peer, 100)
        stream.write(REQUEST)
        self.run_ms(5)
        stream.pause_reading()
        for _ in range(100):
            held[0].push(b"x" * 10_000)
            self.run_ms(1)
            if held[0].disconnected:
                break
        self.assertTrue(held[0].disconnected)
        self.assertLessEqual(stream.unread, 65_536)

    def test_five_thousand_connections_that_send_nothing(self):
        self.server.limits = self.server.limits._replace(max_connections=6_000)
        peers = [Peer() for _ in range(5_000)]
        for peer in peers:
            self.a.dial(("b", 80), peer, 100)
        self.run_ms(50)
        self.assertIn(b"200", self.raw(REQUEST, 20).data)
        self.run_ms(1_000)
        self.assertEqual(sum(len(peer.ends) for peer in peers), 5_000)
        self.assertEqual(len(self.server.connections), 0)

    def test_over_the_cap_of_connections_a_clear_answer(self):
        for _ in range(50):
            self.a.dial(("b", 80), Peer(), 100)
        self.run_ms(5)
        self.assertIn(b"503", self.raw(REQUEST, 50).data)


class Calls(Place):
    def setUp(self):
        super().setUp()
        self.ended = []

    def call(self, pool, body=b"", **more):
        return pool.call("POST", "/x", body, self.ended.append, **more)

    def test_written_counts_survive_every_end(self):
        pool = Pool(self.a, ("b", 80), PoolLimits(max_connections=2, connect_ms=50))
        call = self.call(pool, b"hello")
        self.assertEqual(call.written, 0)
        self.run_ms(5)
        self.assertEqual((call.status, call.body, call.written == call.size), (200, b"hello", True))
        self.assertLessEqual(call.first_byte_at, call.last_byte_at)
        refused = self.call(Pool(self.a, ("b", 81)))
        self.run_ms(5)
        self.assertEqual((refused.written, refused.connection_refused, refused.status), (0, True, None))

    def test_a_large_call_to_a_peer_that_stalls_is_written_in_part(self):
        self.server.accept = None
        self.b.freeze(10_000)
        pool = Pool(self.a, ("b", 80), PoolLimits(max_connections=1, connect_ms=50))
        call = self.call(pool, b"x" * 200_000)
        behind = self.call(pool, b"behind")
        self.run_ms(20)
        self.assertTrue(0 < call.written < call.size)
        self.assertFalse(call.withdraw())
        self.assertTrue(behind.withdraw())
        self.assertEqual((behind.written, behind.failure), (0, "taken back"))
        call.abort("given up")
        self.assertTrue(0 < call.written < call.size)
        self.assertEqual([c.failure for c in self.ended], ["taken back", "given up"])

    def test_an_answer_cut_short_is_no_answer(self):
        class Cutting(Peer):
            def data_received(self, stream, data):
                stream.write(b"HTTP/1.1 201 Created\r\nContent-Length: 50\r\n\r\nhalf")
                stream.close()
        self.b.listen(("b", 90), lambda stream: Cutting())
        call = self.call(Pool(self.a, ("b", 90)))
        self.run_ms(10)
        self.assertEqual((call.status, call.written == call.size), (None, True))

    def test_nonsense_and_endless_answers_end_the_call(self):
        for answer in b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nX: " + b"y" * 50_000 + b"\r\n\r\n":
            class Bad(Peer):
                def data_received(self, stream, data, answer=answer):
                    stream.write(answer)
            port = 91 + len(answer) % 7
            self.b.listen(("b", port), lambda stream: Bad())
            call = self.call(Pool(self.a, ("b", port)))
            self.run_ms(10)
            self.assertIn("not HTTP/1.1", call.failure)

    def test_connections_are_reused_and_capped(self):
        pool = Pool(self.a, ("b", 80), PoolLimits(max_connections=2, connect_ms=50))
        for _ in range(20):
            self.call(pool, b"x")
        self.run_ms(50)
        self.assertEqual([c.status for c in self.ended], [200] * 20)
        self.assertLessEqual(len(pool.all), 2)
        self.run_ms(20_000)
        self.assertEqual(len(pool.all), 0)

"""HTTP server and client against peers that stall, disconnect, flood and send invalid data; calls' counts of bytes sent."""
import unittest

from laddergw.http.client import Pool
from laddergw.http.limits import PeerLimits, PoolLimits
from laddergw.http.server import Server
from laddergw.loop.memory import MemoryNetwork
from tests.test_loop import Peer

REQUEST = b'POST /x HTTP/1.1\r\nHost: b\r\nContent-Length: 5\r\n\r\nhello'
LIMITS = PeerLimits(head_ms=200.0, body_ms=200.0, idle_ms=300.0, stall_ms=300.0, max_connections=50, max_pipelined=3)


class HttpTest(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork(seed=5)
        self.client_host, self.server_host = self.network.host("a"), self.network.host("b")
        self.received = []
        self.server = Server(self.server_host, ("b", 80), self.serve, LIMITS)

    def serve(self, exchange):
        self.received.append(exchange)
        exchange.answer(200, exchange.body)

    def run_ms(self, ms):
        self.network.run(self.network.now + ms)

    def send_raw(self, data, ms=1_000):
        """Returns a peer that wrote these bytes, with what it got back after `ms`."""
        peer = Peer()
        stream = self.client_host.dial(("b", 80), peer, 100)
        stream.write(data)
        self.run_ms(ms)
        return peer


class ServerTest(HttpTest):
    def test_truncated_request_is_not_served(self):
        for length in range(len(REQUEST)):
            peer = Peer()
            stream = self.client_host.dial(("b", 80), peer, 100)
            stream.write(REQUEST[:length])
            self.run_ms(5)
            stream.close()
            self.run_ms(5)
        self.assertEqual(self.received, [])
        self.send_raw(REQUEST)
        self.assertEqual([exchange.body for exchange in self.received], [b"hello"])
        self.assertEqual(len(self.server.connections), 0)

    def test_request_sent_byte_by_byte(self):
        peer = Peer()
        stream = self.client_host.dial(("b", 80), peer, 100)
        for position in range(len(REQUEST)):
            stream.write(REQUEST[position:position + 1])
            self.run_ms(1)
        self.assertTrue(peer.data.startswith(b"HTTP/1.1 200"))

    def test_incomplete_requests_time_out(self):
        silent = self.send_raw(b"")
        partial_head = self.send_raw(REQUEST[:30])
        partial_body = self.send_raw(REQUEST[:-2])
        for peer in partial_head, partial_body:
            self.assertIn(b"408", peer.data)
        for peer in silent, partial_head, partial_body:
            self.assertEqual(len(peer.ends), 1)
        self.assertEqual(self.received, [])

    def test_invalid_and_oversized_requests(self):
        self.assertIn(b"400", self.send_raw(b"\0\0nonsense\r\n\r\n").data)
        self.assertIn(b"431", self.send_raw(b"GET / HTTP/1.1\r\nX: " + b"y" * 100_000).data)
        self.assertIn(b"413", self.send_raw(b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n").data)
        self.assertIn(b"413", self.send_raw(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"4000\r\n" + b"z" * 0x4000
                                       + b"\r\n4000\r\n" + b"z" * 0x4000 + b"\r\n8001\r\n" + b"z" * 0x8001).data)
        self.assertEqual(self.received, [])

    def test_pipelined_requests_are_answered_in_order_and_limited(self):
        exchanges = []
        self.server.serve = exchanges.append
        peer = Peer()
        self.client_host.dial(("b", 80), peer, 100).write(b"".join(REQUEST.replace(b"hello", b"%05d" % n) for n in range(10)))
        self.run_ms(50)
        self.assertEqual(len(exchanges), 1)
        while len(exchanges) < 10:
            exchanges[-1].answer(200, exchanges[-1].body)
            self.run_ms(5)
        exchanges[-1].answer(200, exchanges[-1].body)
        self.run_ms(5)
        self.assertEqual([peer.data.index(b"%05d" % n) for n in range(10)], sorted(peer.data.index(b"%05d" % n) for n in range(10)))

    def test_single_response_and_disconnect_callback(self):
        disconnected = []

        def serve(exchange):
            exchange.on_disconnect = lambda: disconnected.append(exchange)
            self.received.append(exchange)
        self.server.serve = serve
        peer = Peer()
        stream = self.client_host.dial(("b", 80), peer, 100)
        stream.write(REQUEST)
        self.run_ms(5)
        stream.close()
        self.run_ms(5)
        self.assertEqual(disconnected, self.received)
        self.assertFalse(self.received[0].answer(200, b""))
        second = Peer()
        self.client_host.dial(("b", 80), second, 100).write(REQUEST)
        self.run_ms(5)
        self.assertTrue(self.received[1].answer(200, b"first"))
        self.assertFalse(self.received[1].answer(500, b"second"))

    def test_peer_that_never_reads_is_disconnected(self):
        exchanges = []
        self.server.serve = lambda exchange: exchanges.append(exchange) or exchange.begin(200)
        peer = Peer()
        stream = self.client_host.dial(("b", 80), peer, 100)
        stream.write(REQUEST)
        self.run_ms(5)
        stream.pause_reading()
        for _ in range(100):
            exchanges[0].push(b"x" * 10_000)
            self.run_ms(1)
            if exchanges[0].disconnected:
                break
        self.assertTrue(exchanges[0].disconnected)
        self.assertLessEqual(stream.unread, 65_536)

    def test_five_thousand_silent_connections(self):
        self.server.limits = self.server.limits._replace(max_connections=6_000)
        peers = [Peer() for _ in range(5_000)]
        for peer in peers:
            self.client_host.dial(("b", 80), peer, 100)
        self.run_ms(50)
        self.assertIn(b"200", self.send_raw(REQUEST, 20).data)
        self.run_ms(1_000)
        self.assertEqual(sum(len(peer.ends) for peer in peers), 5_000)
        self.assertEqual(len(self.server.connections), 0)

    def test_connection_over_the_limit_gets_503(self):
        for _ in range(50):
            self.client_host.dial(("b", 80), Peer(), 100)
        self.run_ms(5)
        self.assertIn(b"503", self.send_raw(REQUEST, 50).data)


class ClientTest(HttpTest):
    def setUp(self):
        super().setUp()
        self.ended = []

    def call(self, pool, body=b"", **options):
        return pool.call("POST", "/x", body, self.ended.append, **options)

    def test_written_count_remains_after_the_call(self):
        pool = Pool(self.client_host, ("b", 80), PoolLimits(max_connections=2, connect_ms=50))
        call = self.call(pool, b"hello")
        self.assertEqual(call.written, 0)
        self.run_ms(5)
        self.assertEqual((call.status, call.body, call.written == call.size), (200, b"hello", True))
        self.assertLessEqual(call.first_byte_at, call.last_byte_at)
        refused = self.call(Pool(self.client_host, ("b", 81)))
        self.run_ms(5)
        self.assertEqual((refused.written, refused.connection_refused, refused.status), (0, True, None))

    def test_partly_written_call_to_a_stalled_peer(self):
        self.server.accept = None
        self.server_host.freeze(10_000)
        pool = Pool(self.client_host, ("b", 80), PoolLimits(max_connections=1, connect_ms=50))
        call = self.call(pool, b"x" * 200_000)
        behind = self.call(pool, b"behind")
        self.run_ms(20)
        self.assertTrue(0 < call.written < call.size)
        self.assertFalse(call.withdraw())
        self.assertTrue(behind.withdraw())
        self.assertEqual((behind.written, behind.failure), (0, "withdrawn before it was sent"))
        call.abort("given up")
        self.assertTrue(0 < call.written < call.size)
        self.assertEqual([c.failure for c in self.ended], ["withdrawn before it was sent", "given up"])

    def test_truncated_response_has_no_status(self):
        class TruncatingPeer(Peer):
            def data_received(self, stream, data):
                stream.write(b"HTTP/1.1 201 Created\r\nContent-Length: 50\r\n\r\nhalf")
                stream.close()
        self.server_host.listen(("b", 90), lambda stream: TruncatingPeer())
        call = self.call(Pool(self.client_host, ("b", 90)))
        self.run_ms(10)
        self.assertEqual((call.status, call.written == call.size), (None, True))

    def test_invalid_and_endless_responses_fail(self):
        for answer in b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nX: " + b"y" * 50_000 + b"\r\n\r\n":
            class InvalidPeer(Peer):
                def data_received(self, stream, data, answer=answer):
                    stream.write(answer)
            port = 91 + len(answer) % 7
            self.server_host.listen(("b", port), lambda stream: InvalidPeer())
            call = self.call(Pool(self.client_host, ("b", port)))
            self.run_ms(10)
            self.assertIn("not HTTP/1.1", call.failure)

    def test_connections_are_reused_and_limited(self):
        pool = Pool(self.client_host, ("b", 80), PoolLimits(max_connections=2, connect_ms=50))
        for _ in range(20):
            self.call(pool, b"x")
        self.run_ms(50)
        self.assertEqual([c.status for c in self.ended], [200] * 20)
        self.assertLessEqual(len(pool.connections), 2)
        self.run_ms(20_000)
        self.assertEqual(len(pool.connections), 0)

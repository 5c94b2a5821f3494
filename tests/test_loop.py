"""Timers, and streams in memory and on sockets: both loops behave alike, keep the order, bound their buffers and survive errors."""
import os
import random
import resource
import signal
import sys
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.loop.base import NO_DESCRIPTOR
from laddergw.loop.memory import MemoryNetwork
from laddergw.loop.memory_streams import WINDOW
from laddergw.loop.sockets import SocketLoop
from laddergw.loop.timers import HeapTimers, WheelTimers


class Peer:
    """A stream's owner that records its calls; can echo, and close once it has received `close_at` bytes."""

    def __init__(self, echo=False, close_at=None):
        self.echo, self.close_at, self.data, self.ends, self.opens, self.stream = echo, close_at, b"", [], 0, None

    def opened(self, stream):
        self.opens, self.stream = self.opens + 1, stream

    def data_received(self, stream, data):
        self.data += data
        if self.echo:
            stream.write(data)
        if self.close_at is not None and len(self.data) >= self.close_at:
            stream.close()

    def write_buffer_drained(self, stream):
        pass

    def closed(self, stream, why):
        self.ends.append(why)


class TimerTests(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 5e6), st.booleans()), max_size=60), st.lists(st.floats(0, 4e5), max_size=30))
    def test_wheel_and_heap_return_the_same_timers_in_the_same_order(self, adds, steps):
        """For any adds, cancels and steps of time; none is early and none is lost."""
        results = []
        for timers in HeapTimers(), WheelTimers():
            now, called, added = 0.0, [], []
            for index, (when, cancel) in enumerate(adds):
                added.append((timers.add(when, index), cancel))
            for timer, cancel in added:
                if cancel:
                    timer.cancel()
            for step in steps + [6e6]:
                now += step
                self.assertTrue(timers.next() > now - step or len(timers) == 0 or timers.next() <= now)
                for timer in timers.due(now, 10_000):
                    self.assertLessEqual(timer.when, now)
                    called.append(timer.callback)
            self.assertEqual(len(timers), 0)
            results.append(called)
        self.assertEqual(results[0], results[1])
        self.assertEqual(sorted(results[0]), [i for i, (_, cancel) in enumerate(adds) if not cancel])

    def test_due_timers_past_the_limit_stay(self):
        for timers in HeapTimers(), WheelTimers():
            for index in range(10):
                timers.add(5.0, index)
            self.assertEqual([t.callback for t in timers.due(9.0, 4)], [0, 1, 2, 3])
            self.assertLessEqual(timers.next(), 9.0)
            self.assertEqual([t.callback for t in timers.due(9.0, 99)], [4, 5, 6, 7, 8, 9])


class MemoryStreamTests(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork(seed=3)
        self.a, self.b = self.network.host("a"), self.network.host("b")
        self.accepted = []
        self.listener = self.b.listen(("b", 0), self.accept)

    def accept(self, stream):
        self.accepted.append(Peer(echo=True))
        return self.accepted[-1]

    def test_data_is_echoed_whole_and_in_order(self):
        peer = Peer(close_at=300_000)
        data = bytes(random.Random(1).randbytes(300_000))
        self.a.dial(self.listener.address, peer, 100).write(data)
        self.network.run(self.network.now + 1_000)
        self.assertEqual(peer.data, data)
        self.assertEqual((peer.ends, self.accepted[0].ends), ([None], [None]))
        self.assertEqual((self.a.open_streams, self.b.open_streams), (0, 0))

    def test_a_paused_reader_stops_the_writer_at_the_window(self):
        peer = Peer()
        stream = self.a.dial(self.listener.address, peer, 100)
        self.network.run(self.network.now + 10)
        self.accepted[0].stream.pause_reading()
        stream.write(b"x" * (3 * WINDOW))
        self.network.run(self.network.now + 1_000)
        self.assertLessEqual(stream.bytes_sent, WINDOW)
        self.assertEqual(stream.queued, 3 * WINDOW - stream.bytes_sent)
        self.accepted[0].stream.resume_reading()
        self.network.run(self.network.now + 1_000)
        self.assertEqual(len(peer.data), 3 * WINDOW)

    def test_close_reasons_of_refused_silent_and_killed_peers(self):
        refused, timed_out, reset = Peer(), Peer(), Peer()
        self.a.dial(("b", 1), refused, 100)
        self.a.dial(self.listener.address, reset, 100)
        self.network.run(self.network.now + 50)
        self.b.kill()
        self.network.run(self.network.now + 50)
        silent = self.network.host("c")
        listener = silent.listen(("c", 0), self.accept)
        silent.vanish()
        self.a.dial(listener.address, timed_out, 100)
        self.network.run(self.network.now + 200)
        self.assertEqual(refused.ends, ["Connection refused"])
        self.assertEqual(reset.ends, ["Connection reset by peer"])
        self.assertEqual(timed_out.ends, ["no connection in time"])

    def test_a_thawed_host_handles_waiting_data_before_its_timers(self):
        peer, order = Peer(), []
        self.a.dial(self.listener.address, peer, 100)
        self.network.run(self.network.now + 10)
        self.accepted[0].data_received = lambda stream, data: order.append(data)
        self.b.call_later(50, lambda: order.append("timer"))
        self.b.on_turn_end(lambda: order.append("turn ends"))
        start = self.network.now
        self.b.freeze(2_000)
        for offset in (100, 700, 1_900):
            self.network.run(start + offset)
            peer.stream.write(b"%d" % offset)
        self.network.run(start + 2_000.5)
        self.assertEqual(order, [b"100", b"700", b"1900", "timer", "turn ends"])
        self.assertAlmostEqual(self.b.stall_ms, 2_000, delta=1)

    def test_an_exception_in_a_callback_does_not_end_the_loop(self):
        called = []
        self.a.call_later(1, lambda: 1 / 0)
        self.a.call_later(2, lambda: called.append(1))
        with self.assertLogs("laddergw.loop", "ERROR"):
            self.network.run(self.network.now + 10)
        self.assertEqual(called, [1])


class SocketStreamTests(unittest.TestCase):
    def setUp(self):
        self.loop = SocketLoop()
        self.addCleanup(self.loop.close)

    def until(self, done, turns=20_000):
        for _ in range(turns):
            if done():
                return
            self.loop.turn()
        self.fail("the condition did not become true")

    def test_echo_refusal_and_reset(self):
        data, peer, refused, reset, accepted = b"y" * 1_000_000, Peer(close_at=1_000_000), Peer(), Peer(), []
        listener = self.loop.listen(("127.0.0.1", 0), lambda stream: accepted.append(Peer(echo=True)) or accepted[-1])
        self.loop.dial(listener.address, peer, 1_000).write(data)
        self.until(lambda: peer.ends)
        self.assertEqual((peer.data == data, peer.ends), (True, [None]))
        self.loop.dial(listener.address, reset, 1_000)
        self.until(lambda: len(accepted) == 2)
        accepted[1].stream.abort()
        self.until(lambda: reset.ends)
        self.assertIn("reset", reset.ends[0])
        listener.close()
        self.loop.dial(listener.address, refused, 1_000)
        self.until(lambda: refused.ends)
        self.assertEqual(refused.ends, ["Connection refused"])

    def test_writes_before_a_close_during_connect_are_sent_unless_withdrawn(self):
        """The loop in memory dropped such writes, which hid that real streams sent writes that had been given up."""
        network, accepted = MemoryNetwork(seed=3), []
        here, there = network.host("here"), network.host("there")
        for loop, run in (self.loop, lambda done: self.until(done)), (here, lambda done: network.run(network.now + 50)):
            with self.subTest(type(loop).__name__):
                accepted.clear()
                listener = (loop if loop is self.loop else there).listen(("127.0.0.1", 0), lambda stream: accepted.append(Peer()) or accepted[-1])
                stream = loop.dial(listener.address, peer := Peer(), 1_000)
                for data in b"first", b"second", b"third":
                    stream.write(data)
                self.assertEqual((stream.withdraw_write(b"second"), stream.withdraw_write(b"none"), stream.queued, stream.bytes_written), (True, False, 10, 10))
                stream.close()
                run(lambda: accepted and accepted[0].ends and peer.ends)
                self.assertEqual((bytes(accepted[0].data), accepted[0].ends, peer.ends), (b"firstthird", [None], [None]))

    def test_dial_without_a_free_descriptor(self):
        """The connection fails without an exception, and what was written to it was not sent."""
        peer, (soft, hard) = Peer(), resource.getrlimit(resource.RLIMIT_NOFILE)
        lowest_free = os.dup(0)
        os.close(lowest_free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
        try:
            stream = self.loop.dial(("127.0.0.1", 9), peer, 1_000)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        stream.write(b"some")
        self.assertEqual((peer.ends, stream.bytes_sent, stream.bytes_written), ([], 0, 4))
        self.until(lambda: peer.ends)
        self.assertEqual((peer.ends, self.loop.open_streams), ([NO_DESCRIPTOR], 0))
        stream.close()
        stream.abort()

    def test_writing_to_a_reset_stream_calls_closed_once(self):
        accepted, peer = [], Peer()
        listener = self.loop.listen(("127.0.0.1", 0), lambda stream: accepted.append(Peer()) or accepted[-1])
        stream = self.loop.dial(listener.address, peer, 1_000)
        self.until(lambda: accepted and peer.opens)
        accepted[0].stream.abort()
        for _ in range(50):
            stream.write(b"z" * 100)
        self.until(lambda: peer.ends)
        stream.write(b"more")
        self.assertEqual(len(peer.ends), 1)

    def test_signals_and_child_processes(self):
        events = []
        self.loop.on_signal(signal.SIGUSR1, lambda: events.append("signal"))
        self.addCleanup(signal.signal, signal.SIGUSR1, signal.SIG_DFL)
        os.kill(os.getpid(), signal.SIGUSR1)
        self.loop.spawn([sys.executable, "-c", "import sys; sys.exit(7)"], events.append)
        self.until(lambda: len(events) == 2)
        self.assertEqual(events, ["signal", 7])

    def test_stall_ms_with_a_clock_that_is_passed_in(self):
        clock = [0.0]
        loop = SocketLoop(clock=lambda: clock[0])
        self.addCleanup(loop.close)
        for now, stall_ms in (10.0, 0.0), (11.0, 0.0), (5_000.0, 4_989.0), (5_001.0, 0.0):
            clock[0] = now
            loop.call_soon(lambda: None)
            loop.turn()
            self.assertEqual((loop.now, loop.stall_ms), (now, stall_ms))

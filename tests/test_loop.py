"""Timers, streams in memory and on sockets: the same calls, the same order, bounded buffers, whatever fails."""
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
    """Keeps what it is told; echoes when asked to."""

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


class Timers(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 5e6), st.booleans()), max_size=60), st.lists(st.floats(0, 4e5), max_size=30))
    def test_wheel_and_heap_call_alike(self, adds, steps):
        """Any adds and cancels, any steps of time: the same calls in the same order, none early, none lost."""
        seen = []
        for timers in HeapTimers(), WheelTimers():
            now, called, handles = 0.0, [], []
            for index, (when, drop) in enumerate(adds):
                handles.append((timers.add(when, index), drop))
            for timer, drop in handles:
                if drop:
                    timer.cancel()
            for step in steps + [6e6]:
                now += step
                self.assertTrue(timers.next() > now - step or len(timers) == 0 or timers.next() <= now)
                for timer in timers.due(now, 10_000):
                    self.assertLessEqual(timer.when, now)
                    called.append(timer.callback)
            self.assertEqual(len(timers), 0)
            seen.append(called)
        self.assertEqual(seen[0], seen[1])
        self.assertEqual(sorted(seen[0]), [i for i, (_, drop) in enumerate(adds) if not drop])

    def test_a_bounded_turn_leaves_the_rest(self):
        for timers in HeapTimers(), WheelTimers():
            for index in range(10):
                timers.add(5.0, index)
            self.assertEqual([t.callback for t in timers.due(9.0, 4)], [0, 1, 2, 3])
            self.assertLessEqual(timers.next(), 9.0)
            self.assertEqual([t.callback for t in timers.due(9.0, 99)], [4, 5, 6, 7, 8, 9])


class InMemory(unittest.TestCase):
    def setUp(self):
        self.world = MemoryNetwork(seed=3)
        self.a, self.b = self.world.host("a"), self.world.host("b")
        self.accepted = []
        self.listener = self.b.listen(("b", 0), self.accept)

    def accept(self, stream):
        self.accepted.append(Peer(echo=True))
        return self.accepted[-1]

    def test_data_comes_back_whole_and_in_order(self):
        peer = Peer(close_at=300_000)
        data = bytes(random.Random(1).randbytes(300_000))
        self.a.dial(self.listener.address, peer, 100).write(data)
        self.world.run(self.world.now + 1_000)
        self.assertEqual(peer.data, data)
        self.assertEqual((peer.ends, self.accepted[0].ends), ([None], [None]))
        self.assertEqual((self.a.open_streams, self.b.open_streams), (0, 0))

    def test_a_reader_that_pauses_holds_the_writer_back(self):
        peer = Peer()
        stream = self.a.dial(self.listener.address, peer, 100)
        self.world.run(self.world.now + 10)
        self.accepted[0].stream.pause_reading()
        stream.write(b"x" * (3 * WINDOW))
        self.world.run(self.world.now + 1_000)
        self.assertLessEqual(stream.bytes_sent, WINDOW)
        self.assertEqual(stream.queued, 3 * WINDOW - stream.bytes_sent)
        self.accepted[0].stream.resume_reading()
        self.world.run(self.world.now + 1_000)
        self.assertEqual(len(peer.data), 3 * WINDOW)

    def test_refused_silent_and_killed_peers(self):
        refused, late, cut = Peer(), Peer(), Peer()
        self.a.dial(("b", 1), refused, 100)
        self.a.dial(self.listener.address, cut, 100)
        self.world.run(self.world.now + 50)
        self.b.kill()
        self.world.run(self.world.now + 50)
        silent = self.world.host("c")
        listener = silent.listen(("c", 0), self.accept)
        silent.vanish()
        self.a.dial(listener.address, late, 100)
        self.world.run(self.world.now + 200)
        self.assertEqual(refused.ends, ["Connection refused"])
        self.assertEqual(cut.ends, ["Connection reset by peer"])
        self.assertEqual(late.ends, ["no connection in time"])

    def test_a_frozen_host_wakes_to_a_heap_of_events_before_its_timers(self):
        peer, order = Peer(), []
        self.a.dial(self.listener.address, peer, 100)
        self.world.run(self.world.now + 10)
        self.accepted[0].data_received = lambda stream, data: order.append(data)
        self.b.call_later(50, lambda: order.append("timer"))
        self.b.on_turn_end(lambda: order.append("turn ends"))
        start = self.world.now
        self.b.freeze(2_000)
        for at in (100, 700, 1_900):
            self.world.run(start + at)
            peer.stream.write(b"%d" % at)
        self.world.run(start + 2_000.5)
        self.assertEqual(order, [b"100", b"700", b"1900", "timer", "turn ends"])
        self.assertAlmostEqual(self.b.stall_ms, 2_000, delta=1)

    def test_an_error_in_a_call_does_not_end_the_loop(self):
        seen = []
        self.a.call_later(1, lambda: 1 / 0)
        self.a.call_later(2, lambda: seen.append(1))
        with self.assertLogs("laddergw.loop", "ERROR"):
            self.world.run(self.world.now + 10)
        self.assertEqual(seen, [1])


class OnSockets(unittest.TestCase):
    def setUp(self):
        self.loop = SocketLoop()
        self.addCleanup(self.loop.close)

    def until(self, done, turns=20_000):
        for _ in range(turns):
            if done():
                return
            self.loop.turn()
        self.fail("did not come to its end")

    def test_echo_refusal_and_reset(self):
        data, peer, refused, cut, held = b"y" * 1_000_000, Peer(close_at=1_000_000), Peer(), Peer(), []
        listener = self.loop.listen(("127.0.0.1", 0), lambda stream: held.append(Peer(echo=True)) or held[-1])
        self.loop.dial(listener.address, peer, 1_000).write(data)
        self.until(lambda: peer.ends)
        self.assertEqual((peer.data == data, peer.ends), (True, [None]))
        self.loop.dial(listener.address, cut, 1_000)
        self.until(lambda: len(held) == 2)
        held[1].stream.abort()
        self.until(lambda: cut.ends)
        self.assertIn("reset", cut.ends[0])
        listener.close()
        self.loop.dial(listener.address, refused, 1_000)
        self.until(lambda: refused.ends)
        self.assertEqual(refused.ends, ["Connection refused"])

    def test_what_is_closed_while_it_comes_up_is_written_out_unless_taken_back(self):
        """The loop in memory once dropped it, and so hid that real streams wrote out what had been given up."""
        world, held = MemoryNetwork(seed=3), []
        here, there = world.host("here"), world.host("there")
        for loop, run in (self.loop, lambda done: self.until(done)), (here, lambda done: world.run(world.now + 50)):
            with self.subTest(type(loop).__name__):
                held.clear()
                listener = (loop if loop is self.loop else there).listen(("127.0.0.1", 0), lambda stream: held.append(Peer()) or held[-1])
                stream = loop.dial(listener.address, peer := Peer(), 1_000)
                for data in b"first", b"second", b"third":
                    stream.write(data)
                self.assertEqual((stream.withdraw_write(b"second"), stream.withdraw_write(b"none"), stream.queued, stream.bytes_written), (True, False, 10, 10))
                stream.close()
                run(lambda: held and held[0].ends and peer.ends)
                self.assertEqual((bytes(held[0].data), held[0].ends, peer.ends), (b"firstthird", [None], [None]))

    def test_no_descriptor_left(self):
        """A connection that finds none does not come up; nothing raises, and what was written to it has not left."""
        peer, (soft, hard) = Peer(), resource.getrlimit(resource.RLIMIT_NOFILE)
        least = os.dup(0)
        os.close(least)
        resource.setrlimit(resource.RLIMIT_NOFILE, (least, hard))
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

    def test_writing_to_a_reset_stream_is_told_once(self):
        held, peer = [], Peer()
        listener = self.loop.listen(("127.0.0.1", 0), lambda stream: held.append(Peer()) or held[-1])
        stream = self.loop.dial(listener.address, peer, 1_000)
        self.until(lambda: held and peer.opens)
        held[0].stream.abort()
        for _ in range(50):
            stream.write(b"z" * 100)
        self.until(lambda: peer.ends)
        stream.write(b"more")
        self.assertEqual(len(peer.ends), 1)

    def test_signals_and_children(self):
        seen = []
        self.loop.on_signal(signal.SIGUSR1, lambda: seen.append("signal"))
        self.addCleanup(signal.signal, signal.SIGUSR1, signal.SIG_DFL)
        os.kill(os.getpid(), signal.SIGUSR1)
        self.loop.spawn([sys.executable, "-c", "import sys; sys.exit(7)"], seen.append)
        self.until(lambda: len(seen) == 2)
        self.assertEqual(seen, ["signal", 7])

    def test_the_clock_can_be_handed_in(self):
        clock = [0.0]
        loop = SocketLoop(clock=lambda: clock[0])
        self.addCleanup(loop.close)
        for now, stalled in (10.0, 0.0), (11.0, 0.0), (5_000.0, 4_989.0), (5_001.0, 0.0):
            clock[0] = now
            loop.call_soon(lambda: None)
            loop.turn()
            self.assertEqual((loop.now, loop.stall_ms), (now, stalled))

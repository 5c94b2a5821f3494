"""Turns of the loop: a turn waits when no work is pending, its work is bounded, and a slow one is logged with its longest calls."""
import errno
import random
import selectors
import unittest
from types import SimpleNamespace

from laddergw.loop.base import MAX_CALLS_PER_TURN, SLOW_TURN_MS
from laddergw.loop.listener import ACCEPT_PAUSE_MS, Listener
from laddergw.loop.sockets import DescriptorWatch, SocketLoop

# ms that each reading of the virtual clock moves it on: the duration of a call
WORK_MS, LONG_WORK_MS = 0.002, 0.5
TURNS = 1_500              # of one simulation with long work: more than all its random work takes
MAX_REQUESTS = 40          # pieces of follow-up work in one simulation
READY_MS, LATER_MS = 0.0, 40.0   # until a random descriptor is ready again: at once, or after a wait


class Simulation:
    """A clock that moves only by work and waits, and a selector whose descriptors are ready at random times."""

    def __init__(self, seed, work_ms=WORK_MS):
        self.work_ms = work_ms
        self.now, self.random, self.ready_at, self.wait_count = 0.0, random.Random(seed), {}, 0
        self.loop = SocketLoop(self.clock, self)

    def clock(self):
        self.now += self.work_ms
        return self.now

    def sleep(self, seconds):
        self.now, self.wait_count = self.now + seconds * 1000, self.wait_count + 1

    # The interface of a selector

    def register(self, fd, events, data):
        if fd in self.ready_at:
            raise KeyError(f"{fd!r} is registered")
        self.ready_at[fd] = [SimpleNamespace(data=data), self.now]

    def unregister(self, fd):
        del self.ready_at[fd]

    def get_map(self):
        return {}

    def close(self):
        pass

    def select(self, timeout):
        due = min((when for _, when in self.ready_at.values()), default=self.now + 1e9)
        wait = min(timeout * 1000, max(0.0, due - self.now))
        if wait > 0:
            self.sleep(wait / 1000)
        return [(key, selectors.EVENT_READ) for key, when in list(self.ready_at.values()) if when <= self.now]


class InterruptedWait:
    """A selector whose wait is interrupted by a stop of the process: it returns without what came meanwhile."""

    def __init__(self, stall_ms, ready):
        self.now, self.stall_ms, self.ready = 0.0, stall_ms, ready
        self.loop = SocketLoop(lambda: self.now, self)

    def select(self, timeout):
        if timeout > 0:
            self.now += self.stall_ms
            return []
        return [(SimpleNamespace(data=SimpleNamespace(ready=self.ready)), selectors.EVENT_READ)]

    def get_map(self):
        return {}

    def close(self):
        pass


class FullSocket:
    """A listening socket of a process that has no descriptor left."""

    def __init__(self):
        self.accept_count = 0

    def getsockname(self):
        return "127.0.0.1", 1

    def accept(self):
        self.accept_count += 1
        raise OSError(errno.EMFILE, "Too many open files")

    def close(self):
        pass


def add_work(simulation, requests_left):
    """Adds one random piece of work that adds more when it runs: a descriptor, a deferred call, a timer, or a callback of the turn's end that fails.

    Work is due at once or a little later. A callback of the turn's end stays for good, so only one is added.
    """
    loop, kind = simulation.loop, simulation.random.randrange(5 if simulation.loop.turn_end_calls else 6)

    def run():
        if requests_left[0] > 0:
            requests_left[0] -= 1
            add_work(simulation, requests_left)
        if kind == 5:
            raise RuntimeError("random failure")
    if kind == 0:
        loop.call_soon(run)
    elif kind == 1:
        loop.call_later(0, run)
    elif kind == 2:
        loop.call_at(loop.now - simulation.random.random() * 100, run)
    elif kind == 3:
        loop.call_later(simulation.random.random() * LATER_MS, run)
    elif kind == 4:
        watch = DescriptorWatch(loop, object(), lambda: None)        # a descriptor that nobody reads
        simulation.ready_at[watch.fd][1] += simulation.random.choice((READY_MS, READY_MS, LATER_MS))
        loop.call_later(simulation.random.random() * LATER_MS, lambda: (watch.close(), run()))
    else:
        loop.on_turn_end(run)


class TurnTests(unittest.TestCase):
    def test_a_turn_waits_when_no_work_is_pending(self):
        for seed in range(12):
            simulation = Simulation(seed, LONG_WORK_MS)
            for _ in range(1 + seed % 5):
                add_work(simulation, [MAX_REQUESTS])
            with self.subTest(seed=seed), self.assertLogs("laddergw.loop") as logs:
                simulation.loop.run_guarded(lambda: 1 / 0)          # assertLogs needs at least one record
                for _ in range(TURNS):
                    simulation.loop.turn()
                self.assertGreater(len(logs.output), 0)
                simulation.loop.turn_end_calls.clear()
                for _ in range(100):
                    wait_count = simulation.wait_count
                    simulation.loop.turn()
                    self.assertEqual(simulation.wait_count, wait_count + 1, "a turn did not wait although no work was pending")

    def test_a_call_that_defers_itself_is_bounded_in_a_turn(self):
        """Timers and the callbacks of a turn's end still run in that turn."""
        simulation, calls, others = Simulation(2), [], []

        def defer_itself():
            calls.append(1)
            simulation.loop.call_soon(defer_itself)
        simulation.loop.call_soon(defer_itself)
        simulation.loop.call_later(0, lambda: others.append("timer"))
        simulation.loop.on_turn_end(lambda: others.append("end"))
        for _ in range(2):
            simulation.loop.turn()
        self.assertEqual((len(calls), others), (2 * MAX_CALLS_PER_TURN, ["timer", "end", "end"]))

    def test_a_listener_without_free_descriptors_pauses(self):
        simulation, sock = Simulation(3), FullSocket()
        listener = Listener(simulation.loop, sock, None)
        while simulation.now < 20.5 * ACCEPT_PAUSE_MS:
            simulation.loop.turn()
        self.assertIn(sock.accept_count, (20, 21))
        self.assertEqual(simulation.loop.failed_accepts, sock.accept_count)
        listener.close()
        simulation.loop.turn()
        self.assertNotIn(sock, simulation.ready_at)

    # Guards against time-outs of what has come while the process stood still, and against a stand-still that is counted as none.
    def test_what_came_during_a_stop_is_read_before_timers(self):
        calls = []
        selector = InterruptedWait(600.0, lambda mask: calls.append(("read", selector.loop.stall_ms)))
        selector.loop.call_later(50.0, lambda: calls.append("timer"))
        selector.loop.turn()
        self.assertEqual(calls, [("read", 600.0), "timer"])

    def test_a_timer_at_nan_is_refused(self):
        loop = Simulation(4).loop
        for add_timer in loop.call_at, loop.call_later:
            self.assertRaises(ValueError, add_timer, float("nan"), print)

    def test_a_slow_turn_is_logged_with_its_longest_calls(self):
        simulation = Simulation(5)

        def run_slowly():
            simulation.now += SLOW_TURN_MS
        simulation.loop.call_soon(run_slowly)
        for _ in range(3):
            simulation.loop.call_later(0, lambda: simulation.sleep(0.030))
        with self.assertLogs("laddergw.loop", "WARNING") as logs:
            simulation.loop.turn()
            simulation.loop.turn()
        line, = logs.output
        self.assertRegex(line, r"a turn of 1090 ms, .* the longest: .*run_slowly line \d+ 1000 ms, .*lambda.* 30 ms")


if __name__ == "__main__":
    unittest.main()

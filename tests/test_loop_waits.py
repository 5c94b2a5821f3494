"""The loop's turns: it waits once nothing asks for it any more, the work of one turn is bounded, and a long one is told with what it ran."""
import errno
import random
import selectors
import unittest
from types import SimpleNamespace

from laddergw.loop.base import MAX_CALLS_PER_TURN, SLOW_TURN_MS
from laddergw.loop.listener import ACCEPT_PAUSE_MS, Listener
from laddergw.loop.sockets import DescriptorWatch, SocketLoop

WORK_MS, LONG_WORK_MS = 0.002, 0.5    # of a call, by the virtual clock
TURNS = 1_500              # of one drawn world with long work: past all that it draws asks for
ASKS = 40                  # things that ask for the loop again in one world
READY, LATER = 0.0, 40.0   # ms until a drawn descriptor is ready again: at once, or after a wait


class World:
    """A clock that only work and waits move, and descriptors that are ready as drawn."""

    def __init__(self, seed, work_ms=WORK_MS):
        self.work_ms = work_ms
        self.now, self.draw, self.ready, self.waits = 0.0, random.Random(seed), {}, 0
        self.loop = SocketLoop(self.clock, self)

    def clock(self):
        self.now += self.work_ms
        return self.now

    def sleep(self, seconds):
        self.now, self.waits = self.now + seconds * 1000, self.waits + 1

    # As the selector

    def register(self, fd, events, data):
        if fd in self.ready:
            raise KeyError(f"{fd!r} is registered")
        self.ready[fd] = [SimpleNamespace(data=data), self.now]

    def unregister(self, fd):
        del self.ready[fd]

    def get_map(self):
        return {}

    def close(self):
        pass

    def select(self, timeout):
        due = min((at for _, at in self.ready.values()), default=self.now + 1e9)
        wait = min(timeout * 1000, max(0.0, due - self.now))
        if wait > 0:
            self.sleep(wait / 1000)
        return [(key, selectors.EVENT_READ) for key, at in list(self.ready.values()) if at <= self.now]


class Full:
    """A listening socket of a process that has no descriptor left."""

    def __init__(self):
        self.asked = 0

    def getsockname(self):
        return "127.0.0.1", 1

    def accept(self):
        self.asked += 1
        raise OSError(errno.EMFILE, "Too many open files")

    def close(self):
        pass


def annoy(world, left):
    """One thing that asks for the loop again, drawn: a descriptor, a call or a timer, at once or a little later, or one that fails."""
    loop, kind = world.loop, world.draw.randrange(5 if world.loop.turn_end_calls else 6)   # (what a turn's end calls stays for good)

    def again():
        if left[0] > 0:
            left[0] -= 1
            annoy(world, left)
        if kind == 5:
            raise RuntimeError("drawn")
    if kind == 0:
        loop.call_soon(again)
    elif kind == 1:
        loop.call_later(0, again)
    elif kind == 2:
        loop.call_at(loop.now - world.draw.random() * 100, again)
    elif kind == 3:
        loop.call_later(world.draw.random() * LATER, again)
    elif kind == 4:
        watch = DescriptorWatch(loop, object(), lambda: None)        # a descriptor that nobody empties
        world.ready[watch.fd][1] += world.draw.choice((READY, READY, LATER))
        loop.call_later(world.draw.random() * LATER, lambda: (watch.close(), again()))
    else:
        loop.on_turn_end(again)


class Waits(unittest.TestCase):
    def test_it_waits_once_nothing_asks_for_it_any_more(self):
        for seed in range(12):
            world = World(seed, LONG_WORK_MS)
            for _ in range(1 + seed % 5):
                annoy(world, [ASKS])
            with self.subTest(seed=seed), self.assertLogs("laddergw.loop") as logs:
                world.loop.run_guarded(lambda: 1 / 0)          # (assertLogs wants one line at least)
                for _ in range(TURNS):
                    world.loop.turn()
                self.assertGreater(len(logs.output), 0)
                world.loop.turn_end_calls.clear()
                for _ in range(100):
                    waits = world.waits
                    world.loop.turn()
                    self.assertEqual(world.waits, waits + 1, "a turn that waited for nothing")

    def test_a_call_that_asks_for_itself_ends_its_turn(self):
        """Bounded in one turn, and the timers and the ends of turns have theirs."""
        world, calls, ends = World(2), [], []

        def again():
            calls.append(1)
            world.loop.call_soon(again)
        world.loop.call_soon(again)
        world.loop.call_later(0, lambda: ends.append("timer"))
        world.loop.on_turn_end(lambda: ends.append("end"))
        for _ in range(2):
            world.loop.turn()
        self.assertEqual((len(calls), ends), (2 * MAX_CALLS_PER_TURN, ["timer", "end", "end"]))

    def test_a_listener_without_descriptors_rests(self):
        world, sock = World(3), Full()
        listener = Listener(world.loop, sock, None)
        while world.now < 20.5 * ACCEPT_PAUSE_MS:
            world.loop.turn()
        self.assertIn(sock.asked, (20, 21))
        self.assertEqual(world.loop.failed_accepts, sock.asked)
        listener.close()
        world.loop.turn()
        self.assertNotIn(sock, world.ready)

    def test_a_timer_at_no_time_is_refused(self):
        loop = World(4).loop
        for add in loop.call_at, loop.call_later:
            self.assertRaises(ValueError, add, float("nan"), print)

    def test_a_long_turn_is_told_with_what_it_ran(self):
        world = World(5)

        def dawdle():
            world.now += SLOW_TURN_MS
        world.loop.call_soon(dawdle)
        for _ in range(3):
            world.loop.call_later(0, lambda: world.sleep(0.030))
        with self.assertLogs("laddergw.loop", "WARNING") as logs:
            world.loop.turn()
            world.loop.turn()
        line, = logs.output
        self.assertRegex(line, r"a turn of 1090 ms, .* the longest: .*dawdle line \d+ 1000 ms, .*lambda.* 30 ms")


if __name__ == "__main__":
    unittest.main()

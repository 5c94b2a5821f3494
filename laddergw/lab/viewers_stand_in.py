"""Viewers: they ask, hold, leave, give up, and come again with their first try's token. Drawn by seed, play by play.

What a play does depends on its number and the seed alone, not on what happened before it. Recorded as (what, time, facts).
"""
import json
import math
from typing import Callable, NamedTuple
from zlib import crc32

from laddergw.http.client import Call, Pool
from laddergw.http.limits import PoolLimits

EARLY_MS = (50.0, 900.0)   # an impatient viewer gives up so soon
SLACK_MS = 25.0            # a viewer reads an answer that lies in its socket at its limit
LET_GO_MS = 400.0          # a director that died took its sessions with it: its nodes see that in a moment
ROUTES = ("/shoreline/", "/board/", "/archive/")
LIMITS = PoolLimits(max_connections=100_000, max_waiting=100_000, connect_ms=1_000.0, idle_ms=1_000.0, max_answer_bytes=65_536)


class Audience(NamedTuple):
    """One product's viewers. Times ms."""
    product: str
    share: float
    wait_ms: float
    aim_ms: float                  # first-frame target
    length_ms: tuple[float, float]
    importance: float
    paid: bool
    hint: bool                     # requests carry the length


class Crowd(NamedTuple):
    """All viewers of a rehearsal."""
    rate: float                    # new plays a second
    seconds: float
    audiences: tuple[Audience, ...]
    titles: int
    cells: int
    copies: int
    rungs: int
    small: float                   # part that cannot use the upper rungs
    impatient: float               # part that gives up early
    fickle: float                  # part that leaves at the very moment the play begins
    returns: float                 # part that comes again after a decline or a break
    tries: int
    again_ms: tuple[float, float]  # pause before coming again
    shape: tuple = ((0.0, 1.0),)   # (s, times the rate), straight between
    bursts: tuple = ()             # (from s, until s, times the rate)
    hot: tuple = ()                # (from s, until s, part of the plays, titles): a crowd for few titles


class Viewer:
    """One play, over all its tries."""

    def __init__(self, crowd: "Viewers", number: int):
        self.crowd, self.number, self.key = crowd, number, f"v{number}"
        plan = crowd.plan
        draw = self.draw("product")
        for self.audience in plan.audiences:
            if draw < self.audience.share:
                break
            draw -= self.audience.share
        low, high = self.audience.length_ms
        self.left_ms = low + (high - low) * self.draw("length")
        self.title = int(plan.titles ** self.draw("title")) if plan.titles > 1 else 1     # few are wanted much
        at = (crowd.loop.now - crowd.started) / 1000
        for since, until, part, titles in plan.hot:
            if since <= at < until and self.draw("hot") < part:
                self.title = 1 + int(self.draw("which") * max(1, titles))
        self.ceiling = plan.rungs - 3 if self.draw("small") < plan.small else plan.rungs - 1
        self.impatient, self.fickle = self.draw("impatient") < plan.impatient, self.draw("fickle") < plan.fickle
        self.tries, self.token, self.call, self.director = 0, None, None, None
        self.asked_at = self.first_at = self.began = None
        self.unsettled_until, self.answer = -math.inf, None
        self.limit = self.leave = None

    def draw(self, what: str) -> float:
        return crc32(f"{self.crowd.seed} {self.number} {what}".encode()) / 2 ** 32

    def ask(self) -> None:
        loop, audience = self.crowd.loop, self.audience
        self.tries += 1
        pools = self.crowd.pools
        self.director = sorted(pools)[int(self.draw(f"director {self.tries}") * len(pools))]
        self.asked_at, self.answer = loop.now, None
        frame = {"key": self.key, "product": audience.product, "title": self.title, "home": self.title % self.crowd.plan.cells,
                 "copies": self.crowd.plan.copies, "ceiling": self.ceiling, "wait_ms": audience.wait_ms,
                 "length_ms": round(self.left_ms, 1) if audience.hint else None, "token": self.token,
                 "unsettled_ms": max(0.0, self.unsettled_until - loop.now), "route": ROUTES[self.title % len(ROUTES)] + str(self.title)}
        self.told("asked", director=self.director, product=audience.product, wait_ms=audience.wait_ms)
        self.call = pools[self.director].call("POST", "/v1/plays", json.dumps(frame).encode(), self.ended, self.line,
                                              {"viewer": self.key})
        wait = audience.wait_ms + SLACK_MS
        if self.impatient and self.tries == 1:
            wait = min(wait, EARLY_MS[0] + (EARLY_MS[1] - EARLY_MS[0]) * self.draw("early"))
        self.limit = loop.call_later(wait, self.give_up)

    def told(self, what: str, **facts) -> None:
        self.crowd.record(what, self.crowd.loop.now, play=self.key, tries=self.tries, **facts)

    def give_up(self) -> None:
        self.unsettled_until = self.asked_at + self.audience.wait_ms
        call, self.call = self.call, None
        early = self.crowd.loop.now < self.asked_at + self.audience.wait_ms
        self.told("gave up", director=self.director, early=early, reached=call.written > 0)
        call.abort("gave up")
        self.come_again(early)

    def line(self, line: bytes | None) -> None:
        if line is None or self.call is None:
            return
        frame = json.loads(line)
        if "answer" in frame:
            self.answered(frame)
        elif frame.get("event") == "rung":
            self.told("rung told", rung=frame["rung"])
        else:
            self.told("event", event=frame.get("event"), director=self.director)

    def answered(self, frame: dict) -> None:
        self.limit.cancel()
        self.told("answered", answer=frame["answer"], director=self.director, ms=self.crowd.loop.now - self.asked_at,
                  node=frame.get("node"), rung=frame.get("rung"), product=self.audience.product, again=self.answer is not None)
        self.answer, self.token = frame["answer"], frame.get("token", self.token)
        if self.answer == "playing":
            self.began = self.crowd.loop.now
            if self.fickle and self.tries == 1:
                self.left_ms = 0.0
            self.leave = self.crowd.loop.call_later(self.left_ms, self.go)

    def go(self) -> None:
        call, self.call, self.left_ms = self.call, None, 0.0
        self.told("left", director=self.director)
        call.abort("left")
        self.crowd.over(self)

    def ended(self, call: Call) -> None:
        if self.call is not call:
            return
        self.call = None
        self.limit.cancel()
        if self.began is not None and self.answer == "playing":
            self.leave.cancel()
            self.left_ms -= self.crowd.loop.now - self.began
            self.told("play ended", why=call.failure, director=self.director)
            if call.failure is not None:         # its director went without a word: the node lets go by the session
                self.unsettled_until = self.crowd.loop.now + LET_GO_MS
            self.began = None
            return self.come_again(True) if self.left_ms > 1_000 else self.crowd.over(self)
        if call.status is None:
            self.unsettled_until = self.asked_at + self.audience.wait_ms if call.written else -math.inf
            self.told("lost", why=call.failure, director=self.director, reached=call.written > 0)
            return self.come_again(True)
        frame = json.loads(call.body)
        if "answer" not in frame:
            self.told("error", status=call.status, text=frame.get("error"))
            return self.crowd.over(self)
        self.answered(frame)
        retry = frame.get("retry_ms")
        return self.come_again(self.answer == "declined", retry or 0.0)

    def come_again(self, may: bool, retry_ms: float = 0.0) -> None:
        plan = self.crowd.plan
        if not may or self.tries >= plan.tries or self.draw(f"returns {self.tries}") >= plan.returns:
            return self.crowd.over(self)
        low, high = plan.again_ms
        pause = max(retry_ms, low + (high - low) * self.draw(f"pause {self.tries}"))
        self.crowd.loop.call_later(pause, self.ask)


class Viewers:
    """The crowd: arrivals are drawn ahead and do not wait for answers."""

    def __init__(self, loop, plan: Crowd, directors: dict[int, tuple[str, int]], seed: int, record: Callable,
                 done: Callable[[], None]):
        self.loop, self.plan, self.seed, self.record, self.done = loop, plan, seed, record, done
        self.pools = {number: Pool(loop, address, LIMITS) for number, address in directors.items()}
        self.started, self.numbers, self.under_way, self.all_asked = loop.now, 0, 0, False
        self.next_at = loop.now
        self.arrive()

    def gap(self, number: int) -> float:
        """To the next arrival, ms: exponential, at the rate of this moment."""
        at = (self.next_at - self.started) / 1000
        rate = self.plan.rate * max(0.01, factor(self.plan, at))
        return -math.log(1 - crc32(f"{self.seed} gap {number}".encode()) / 2 ** 32 * (1 - 1e-9)) * 1000 / rate

    def arrive(self) -> None:
        while self.next_at <= self.loop.now:
            self.numbers += 1
            self.next_at += self.gap(self.numbers)
            if self.next_at - self.started > self.plan.seconds * 1000:
                self.all_asked = True
                return self.check()
            self.under_way += 1
            Viewer(self, self.numbers).ask()
        self.loop.call_at(self.next_at, self.arrive)

    def stop_arrivals(self) -> None:
        """Stops new arrivals; plays under way continue to their end."""
        self.plan = self.plan._replace(seconds=(self.loop.now - self.started) / 1000)

    def over(self, viewer: Viewer) -> None:
        self.under_way -= 1
        self.check()

    def check(self) -> None:
        if self.all_asked and not self.under_way:
            self.done()


def factor(plan: Crowd, at: float) -> float:
    """Times the usual rate at a time in s: the day's shape, and bursts on top."""
    found = plan.shape[-1][1]
    for (since, low), (until, high) in zip(plan.shape, plan.shape[1:]):
        if since <= at < until:
            found = low + (high - low) * (at - since) / (until - since)
            break
    for since, until, times in plan.bursts:
        found *= times if since <= at < until else 1.0
    return found

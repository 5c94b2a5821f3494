"""Stand-in for viewers: they request plays, watch, leave, give up, and retry with their first attempt's token.

A play's behaviour is drawn by seed and depends on its number and the seed alone, not on earlier events. Recorded as (what, time, facts).
"""
import json
import math
from typing import Callable, NamedTuple
from zlib import crc32

from laddergw.http.client import Call, Pool
from laddergw.http.limits import PoolLimits

EARLY_GIVE_UP_MS = (50.0, 900.0)   # when an impatient viewer gives up
ANSWER_SLACK_MS = 25.0             # a viewer still reads an answer that is in its socket at its limit
SESSION_RELEASE_MS = 400.0         # a director that died loses its sessions: its nodes notice within this time
ROUTES = ("/shoreline/", "/board/", "/archive/")
LIMITS = PoolLimits(max_connections=100_000, max_waiting=100_000, connect_ms=1_000.0, idle_ms=1_000.0, max_answer_bytes=65_536)


class Audience(NamedTuple):
    """The viewers of one product. Times in ms."""
    product: str
    share: float
    wait_ms: float
    aim_ms: float                  # first-frame target
    length_ms: tuple[float, float]
    importance: float
    paid: bool
    hint: bool                     # requests state the length


class Crowd(NamedTuple):
    """All viewers of a rehearsal. Shares are from 0 to 1."""
    rate: float                    # new plays a second
    seconds: float
    audiences: tuple[Audience, ...]
    titles: int
    cells: int
    copies: int
    rungs: int
    small: float                   # share that cannot use the upper rungs
    impatient: float               # share that gives up early
    fickle: float                  # share that leaves at the moment the play begins
    returns: float                 # share that retries after a decline or an interruption
    tries: int
    again_ms: tuple[float, float]  # pause before a retry
    shape: tuple = ((0.0, 1.0),)   # (s, multiple of the rate), interpolated linearly
    bursts: tuple = ()             # (from s, until s, multiple of the rate)
    hot: tuple = ()                # (from s, until s, share of the plays, titles): demand for few titles


class Viewer:
    """One play, over all its attempts."""

    def __init__(self, viewers: "Viewers", number: int):
        self.viewers, self.number, self.key = viewers, number, f"v{number}"
        plan = viewers.plan
        draw = self.draw("product")
        for self.audience in plan.audiences:
            if draw < self.audience.share:
                break
            draw -= self.audience.share
        low, high = self.audience.length_ms
        self.remaining_ms = low + (high - low) * self.draw("length")
        self.title = int(plan.titles ** self.draw("title")) if plan.titles > 1 else 1     # few titles are very popular
        at = (viewers.loop.now - viewers.started_at) / 1000
        for since, until, share, titles in plan.hot:
            if since <= at < until and self.draw("hot") < share:
                self.title = 1 + int(self.draw("which") * max(1, titles))
        self.ceiling = plan.rungs - 3 if self.draw("small") < plan.small else plan.rungs - 1
        self.impatient, self.fickle = self.draw("impatient") < plan.impatient, self.draw("fickle") < plan.fickle
        self.attempts, self.token, self.call, self.director = 0, None, None, None
        self.requested_at = self.first_requested_at = self.playing_since = None
        self.unsettled_until, self.answer = -math.inf, None
        self.limit_timer = self.leave_timer = None

    def draw(self, label: str) -> float:
        """A number from 0 to below 1 that depends on the seed, the play's number and the label."""
        return crc32(f"{self.viewers.seed} {self.number} {label}".encode()) / 2 ** 32

    def request_play(self) -> None:
        """Makes one attempt at a director drawn by seed."""
        loop, audience = self.viewers.loop, self.audience
        self.attempts += 1
        pools = self.viewers.pools
        self.director = sorted(pools)[int(self.draw(f"director {self.attempts}") * len(pools))]
        self.requested_at, self.answer = loop.now, None
        frame = {"key": self.key, "product": audience.product, "title": self.title, "home": self.title % self.viewers.plan.cells,
                 "copies": self.viewers.plan.copies, "ceiling": self.ceiling, "wait_ms": audience.wait_ms,
                 "length_ms": round(self.remaining_ms, 1) if audience.hint else None, "token": self.token,
                 "unsettled_ms": max(0.0, self.unsettled_until - loop.now), "route": ROUTES[self.title % len(ROUTES)] + str(self.title)}
        self.record("asked", director=self.director, product=audience.product, wait_ms=audience.wait_ms)
        self.call = pools[self.director].call("POST", "/v1/plays", json.dumps(frame).encode(), self.call_ended, self.handle_line,
                                              {"viewer": self.key})
        wait = audience.wait_ms + ANSWER_SLACK_MS
        if self.impatient and self.attempts == 1:
            wait = min(wait, EARLY_GIVE_UP_MS[0] + (EARLY_GIVE_UP_MS[1] - EARLY_GIVE_UP_MS[0]) * self.draw("early"))
        self.limit_timer = loop.call_later(wait, self.give_up)

    def record(self, what: str, **facts) -> None:
        """Records an event of this attempt."""
        self.viewers.record(what, self.viewers.loop.now, play=self.key, tries=self.attempts, **facts)

    def give_up(self) -> None:
        """Ends an attempt without an answer, at the viewer's limit or early."""
        self.unsettled_until = self.requested_at + self.audience.wait_ms
        call, self.call = self.call, None
        early = self.viewers.loop.now < self.requested_at + self.audience.wait_ms
        self.record("gave up", director=self.director, early=early, reached=call.written > 0)
        call.abort("gave up")
        self.retry_or_end(early)

    def handle_line(self, line: bytes | None) -> None:
        """Handles one line of a long answer: the answer itself, or an event of the play."""
        if line is None or self.call is None:
            return
        frame = json.loads(line)
        if "answer" in frame:
            self.handle_answer(frame)
        elif frame.get("event") == "rung":
            self.record("rung told", rung=frame["rung"])
        else:
            self.record("event", event=frame.get("event"), director=self.director)

    def handle_answer(self, frame: dict) -> None:
        """Records an answer; a play that starts is watched for its length."""
        self.limit_timer.cancel()
        self.record("answered", answer=frame["answer"], director=self.director, ms=self.viewers.loop.now - self.requested_at,
                    node=frame.get("node"), rung=frame.get("rung"), product=self.audience.product, again=self.answer is not None)
        self.answer, self.token = frame["answer"], frame.get("token", self.token)
        if self.answer == "playing":
            self.playing_since = self.viewers.loop.now
            if self.fickle and self.attempts == 1:
                self.remaining_ms = 0.0
            self.leave_timer = self.viewers.loop.call_later(self.remaining_ms, self.leave)

    def leave(self) -> None:
        """Ends a play that has been watched to its end."""
        call, self.call, self.remaining_ms = self.call, None, 0.0
        self.record("left", director=self.director)
        call.abort("left")
        self.viewers.play_ended(self)

    def call_ended(self, call: Call) -> None:
        """Handles the end of a request: a decline, a failure, or the end of a play."""
        if self.call is not call:
            return
        self.call = None
        self.limit_timer.cancel()
        if self.playing_since is not None and self.answer == "playing":
            self.leave_timer.cancel()
            self.remaining_ms -= self.viewers.loop.now - self.playing_since
            self.record("play ended", why=call.failure, director=self.director)
            if call.failure is not None:         # its director vanished silently: its nodes release the play with its session
                self.unsettled_until = self.viewers.loop.now + SESSION_RELEASE_MS
            self.playing_since = None
            return self.retry_or_end(True) if self.remaining_ms > 1_000 else self.viewers.play_ended(self)
        if call.status is None:
            self.unsettled_until = self.requested_at + self.audience.wait_ms if call.written else -math.inf
            self.record("lost", why=call.failure, director=self.director, reached=call.written > 0)
            return self.retry_or_end(True)
        frame = json.loads(call.body)
        if "answer" not in frame:
            self.record("error", status=call.status, text=frame.get("error"))
            return self.viewers.play_ended(self)
        self.handle_answer(frame)
        retry = frame.get("retry_ms")
        return self.retry_or_end(self.answer == "declined", retry or 0.0)

    def retry_or_end(self, may: bool, retry_ms: float = 0.0) -> None:
        """Retries after a pause if the viewer may and wants to; otherwise the play is over."""
        plan = self.viewers.plan
        if not may or self.attempts >= plan.tries or self.draw(f"returns {self.attempts}") >= plan.returns:
            return self.viewers.play_ended(self)
        low, high = plan.again_ms
        pause = max(retry_ms, low + (high - low) * self.draw(f"pause {self.attempts}"))
        self.viewers.loop.call_later(pause, self.request_play)


class Viewers:
    """All viewers: arrivals are drawn in advance and do not wait for answers."""

    def __init__(self, loop, plan: Crowd, directors: dict[int, tuple[str, int]], seed: int, record: Callable,
                 on_done: Callable[[], None]):
        self.loop, self.plan, self.seed, self.record, self.on_done = loop, plan, seed, record, on_done
        self.pools = {number: Pool(loop, address, LIMITS) for number, address in directors.items()}
        self.started_at, self.last_number, self.under_way, self.all_requested = loop.now, 0, 0, False
        self.next_arrival_at = loop.now
        self.arrive()

    def arrival_gap_ms(self, number: int) -> float:
        """Exponentially distributed gap to the next arrival, ms, at the current rate."""
        at = (self.next_arrival_at - self.started_at) / 1000
        rate = self.plan.rate * max(0.01, rate_multiple(self.plan, at))
        return -math.log(1 - crc32(f"{self.seed} gap {number}".encode()) / 2 ** 32 * (1 - 1e-9)) * 1000 / rate

    def arrive(self) -> None:
        """Starts the viewers that are due and schedules the next arrival."""
        while self.next_arrival_at <= self.loop.now:
            self.last_number += 1
            self.next_arrival_at += self.arrival_gap_ms(self.last_number)
            if self.next_arrival_at - self.started_at > self.plan.seconds * 1000:
                self.all_requested = True
                return self.check_done()
            self.under_way += 1
            Viewer(self, self.last_number).request_play()
        self.loop.call_at(self.next_arrival_at, self.arrive)

    def stop_arrivals(self) -> None:
        """Stops new arrivals; plays under way continue to their end."""
        self.plan = self.plan._replace(seconds=(self.loop.now - self.started_at) / 1000)

    def play_ended(self, viewer: Viewer) -> None:
        """Called when a viewer has ended its last attempt."""
        self.under_way -= 1
        self.check_done()

    def check_done(self) -> None:
        """Reports the end once all plays have been requested and none is under way."""
        if self.all_requested and not self.under_way:
            self.on_done()


def rate_multiple(plan: Crowd, at: float) -> float:
    """Multiple of the usual rate at a time in s: the day's shape times its bursts."""
    multiple = plan.shape[-1][1]
    for (since, low), (until, high) in zip(plan.shape, plan.shape[1:]):
        if since <= at < until:
            multiple = low + (high - low) * (at - since) / (until - since)
            break
    for since, until, times in plan.bursts:
        multiple *= times if since <= at < until else 1.0
    return multiple

"""A player's stand-in: asks for a session, follows its playlists as a client does, fetches segments, logs gaps and stalls."""
import json
from typing import Callable
from urllib.parse import urlsplit

from laddergw.hls import attributes
from laddergw.hls.reading import InvalidPlaylist, read
from laddergw.hls.values import Media, Segment
from laddergw.http.client import Call, Pool
from laddergw.http.limits import PoolLimits
from laddergw.lab.continuity_audit import Judge
from laddergw.lab.media_stand_in import item_playlist, title_playlist

MARK = "#X-LADDERGW-ITEM:"     # docs/protocol.md: stands before an item's first segment
LIMITS = PoolLimits(max_connections=10_000, max_waiting=10_000, connect_ms=500.0, max_answer_bytes=16_777_216)
BUFFER_MS = 8_000.0        # a player fetches so far ahead of what it shows
FETCH_MS = 3_000.0         # one fetch; then it is tried again
RELOAD_MS = 1_000.0        # least pause between reloads
SLACK_MS = 25.0            # an answer at the limit lies in the socket a moment
SEGMENT_MS = 1_000.0       # a node that is silent on a segment is given up after this
ASKS = 4                   # tries of one session
LET_GO_MS = 400.0          # an edge that died took its nodes' sessions with it: they see that in a moment
REFUSED_MOST = 2           # connections refused in a row: the edge is dead
REOPEN_MS = 900.0          # before a session is asked for again
BROKE = "|"                # among the addresses of what came: here an edge was lost
TRIES = 120                # of one segment: a player that has nothing to show goes on asking for half a minute, then gives up


class ConnectionPools:
    """Pools by address, shared by all players."""

    def __init__(self, loop):
        self.loop, self.pools = loop, {}

    def call(self, method: str, address: tuple, path: str, body: bytes, done: Callable[[Call], None], cookie: str = "",
             limit_ms: float = FETCH_MS) -> Call:
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = Pool(self.loop, address, LIMITS)
        call = pool.call(method, path, body, done, headers=cookie)
        self.loop.call_later(limit_ms, lambda: call.abort("no answer in time"))
        return call


class Player:
    """One session from its request to the last segment shown. `record(what, t, **facts)`; `over(player)` at its end."""

    def __init__(self, wire: ConnectionPools, directors: dict[int, tuple], frame: dict, judge: Judge, record: Callable, over: Callable,
                 pause: float | None = None):
        self.wire, self.loop, self.edge, self.frame, self.judge = wire, wire.loop, ("", 0), frame, judge
        self.record, self.over = record, over
        self.queue: list[Segment] = []
        self.known = 0             # segments of the playlist seen
        self.fetched_ms = self.shown_from = 0.0
        self.began: float | None = None
        self.stalls: list[float] = []
        self.ended = self.done = self.fetching = False
        self.last_media: Media | None = None
        self.media = self.cookie = self.node = ""
        self.tries = 0
        self.uris: list[str] = []
        self.programme_ms, self.item_left = 0.0, 0     # fetched of the programme; segments missing of an item under way
        self.opening = self.reopened = self.refusals = 0
        self.most_asks = ASKS
        self.directors, self.director, self.tries_made, self.asked_at = directors, 0, 0, 0.0
        self.pause = pause                 # before a further try, ms; None: it comes once only
        self.ask()

    def ask(self) -> None:
        self.tries_made += 1
        numbers = sorted(self.directors)
        self.director = numbers[(self.frame["title"] + 7 * self.tries_made + len(self.frame["key"])) % len(numbers)] if self.tries_made > 1 else \
            numbers[int(self.frame["key"][1:]) % len(numbers)]
        self.edge, self.asked_at = self.directors[self.director], self.loop.now
        self.told("asked", product=self.frame["product"], wait_ms=self.frame["wait_ms"])
        self.wire.call("POST", self.edge, "/v1/sessions", json.dumps(self.frame).encode(), self.opened, limit_ms=self.frame["wait_ms"] + SLACK_MS)

    def told(self, what: str, **facts) -> None:
        self.record(what, self.loop.now, play=self.frame["key"], tries=self.tries_made, director=self.director, **facts)

    def again(self, outcome: str, retry_ms: float, unsettled_ms: float) -> None:
        """Comes again with the first try's token, or ends with this outcome."""
        if self.pause is None and not self.reopened or self.tries_made >= self.most_asks:
            return self.finish("broken" if self.reopened else outcome)
        pause = max(self.pause or REOPEN_MS, retry_ms)
        self.frame = self.frame | {"unsettled_ms": max(0.0, unsettled_ms - pause)}
        self.loop.call_later(pause, self.ask)
        return None

    def edge_gone(self, call: Call) -> bool:
        """Whether this answer shows that the edge knows the session no more, or is dead: then it is asked for anew, from where
        the player stands. An edge that is silent may still hold the play: it is waited for."""
        self.refusals = self.refusals + 1 if call.connection_refused else 0
        if call.status not in (403, 410) and self.refusals < REFUSED_MOST:
            return False
        self.opening += 1
        self.reopened, self.refusals, self.most_asks = self.reopened + 1, 0, self.tries_made + ASKS
        self.queue, self.known, self.ended, self.fetching = [], 0, False, False
        self.uris.append(BROKE)
        self.judge = type(self.judge)()
        self.frame = self.frame | {"resume": {"from_ms": self.programme_ms, "cut": self.item_left > 0}}
        self.item_left = 0
        self.record("edge lost", self.loop.now, play=self.frame["key"], status=call.status)
        self.again("broken", 0.0, LET_GO_MS)
        return True

    def opened(self, call: Call) -> None:
        if call.status is None:
            self.told("lost", why=call.failure, reached=call.written > 0)
            left = self.asked_at + self.frame["wait_ms"] - self.loop.now if call.written else 0.0
            return self.again("failed", 0.0, left)
        told = json.loads(call.body)
        answer = {200: "playing", 503: "declined"}.get(call.status, "failed")
        self.told("answered", ms=self.loop.now - self.asked_at, product=self.frame["product"], again=False, rung=told.get("rung"), answer=answer)
        if told.get("token"):
            self.frame = self.frame | {"token": told["token"]}
        if answer == "declined":
            return self.again("declined", told.get("retry_ms") or 0.0, 0.0)
        if answer == "failed":
            return self.finish("broken" if self.reopened else "failed")
        self.cookie = f"Cookie: player={call.headers.get('set-cookie', '').partition('player=')[2].partition(';')[0]}\r\n"
        opening = self.opening
        self.wire.call("GET", self.edge, told["manifest"], b"", lambda call: opening == self.opening and self.master(call), self.cookie)
        return None

    def master(self, call: Call) -> None:
        if call.status != 200:
            return None if self.edge_gone(call) else self.finish("failed")
        self.media = next(line for line in call.body.decode().splitlines() if line and not line.startswith("#"))
        return self.reload()

    def later(self, ms: float, call: Callable[[], None]) -> None:
        """Unless the session was asked for anew by then."""
        opening = self.opening
        self.loop.call_later(ms, lambda: opening == self.opening and call())

    def reload(self) -> None:
        if not self.done and not self.ended:
            opening = self.opening
            self.wire.call("GET", self.edge, self.media, b"", lambda call: opening == self.opening and self.reloaded(call), self.cookie)

    def reloaded(self, call: Call) -> None:
        if self.done:
            return None
        if call.status != 200:
            if self.edge_gone(call):
                return None
            if self.tries >= TRIES:
                return self.finish("broken")
            self.tries += 1
            self.later(RELOAD_MS, self.reload)
            return None
        self.tries = self.refusals = 0
        try:
            media = read(call.body)
        except InvalidPlaylist as error:
            self.record("bad playlist", self.loop.now, play=self.frame["key"], why=str(error))
            return self.finish("broken")
        for fault in self.judge.reload(media):
            self.record("timing fault", self.loop.now, play=self.frame["key"], kind=fault.kind, told=fault.what)
        self.last_media, self.ended = media, media.ended
        fresh = media.segments[self.known:]
        self.known = len(media.segments)
        self.queue += fresh
        if not self.ended:
            self.later(max(RELOAD_MS, media.target_ms / 2), self.reload)
        return self.next()

    def ahead(self) -> float:
        return self.fetched_ms - (self.loop.now - self.began if self.began is not None else 0.0)

    def next(self) -> None:
        """Fetches the next segment, unless the buffer is full."""
        if self.fetching or self.done:
            return
        if not self.queue:
            if self.ended:
                self.loop.call_later(max(0.0, self.ahead()), lambda: self.finish("played"))
            return
        if self.ahead() > BUFFER_MS:
            self.loop.call_later(self.ahead() - BUFFER_MS + 1, self.next)
            return
        self.fetching = True
        self.fetch(self.queue.pop(0), 0)

    def fetch(self, segment: Segment, tries: int) -> None:
        """From the edge to the node that it names, and again from the edge where that fails."""
        opening = self.opening

        def again() -> None:
            self.later(RELOAD_MS / 4, lambda: self.fetch(segment, tries + 1))

        def sent(call: Call) -> None:
            if self.done or opening != self.opening or self.edge_gone(call):
                return None
            if call.status != 302:
                return again() if tries + 1 < TRIES else self.finish("broken")
            where = urlsplit(call.headers["location"])
            if "/media/" in where.path:
                self.node = where.netloc
            here = "Play-Here: yes\r\n" if self.node == where.netloc else ""
            self.wire.call("GET", (where.hostname, where.port), where.path, b"", lambda got: came(got, where.path), here, SEGMENT_MS)
            return None

        def came(call: Call, path: str) -> None:
            if self.done or opening != self.opening:
                return None
            if call.status != 200:
                return again() if tries + 1 < TRIES else self.finish("broken")
            return self.got(segment, path)
        self.wire.call("GET", self.edge, segment.uri, b"", sent, self.cookie)

    def got(self, segment: Segment, path: str) -> None:
        self.fetching = False
        if self.began is None:
            self.began = self.loop.now
            self.record("first frame", self.loop.now, play=self.frame["key"])
        late = -self.ahead()
        if late > 0:                             # the picture stood still: what follows is shown so much later
            self.stalls.append(late)
            self.began += late
        self.fetched_ms += segment.duration_ms
        self.uris.append(path)
        for line in segment.unknown_lines:
            if line.startswith(MARK):
                self.item_left = int(attributes.read(line[len(MARK):]).get("SEGMENTS"))
        if self.item_left:
            self.item_left -= 1
        else:
            self.programme_ms += segment.duration_ms
        self.next()

    def finish(self, outcome: str) -> None:
        if not self.done:
            self.done = True
            if outcome == "played":
                for told in fetched_faults(self.uris, self.frame["title"]):
                    self.record("timing fault", self.loop.now, play=self.frame["key"], kind="fetched", told=told)
            self.record("session over", self.loop.now, play=self.frame["key"], outcome=outcome, stalls=self.stalls, shown_ms=self.fetched_ms,
                        reopened=self.reopened)
            self.over(self)


def fetched_faults(paths: list[str], title: int) -> list[str]:
    """What is wrong with the order in which bytes came: the programme once and whole, each item whole or absent."""
    found, programme, item, at = [], [], None, 0
    for path in paths + [""]:
        if path == BROKE:                        # what an edge's death cut short comes again, or is left out
            item = None
            continue
        parts = path.split("/")
        name, number = (parts[3], int(parts[4][:-3])) if parts[1:3] == ["v1", "items"] else (None, 0)
        if item is not None and (name != item or number == 0):
            if at != segments_of(item_playlist(item)):
                found.append(f"item {item}: {at} segments came")
            item = None
        if name is not None:
            item, at = name, (0 if item is None else at)
            if number != at:
                found.append(f"item {name}: segment {number} came where {at} was due")
            at = number + 1
        elif parts[1:3] == ["v1", "media"]:
            programme.append(int(parts[5][:-3]))
        elif path:
            found.append(f"{path} is nothing that was asked for")
    if programme != list(range(segments_of(title_playlist(title, 0)))):
        found.append(f"the programme came as {programme[:5]}...{programme[-3:]}")
    return found


def segments_of(playlist: bytes) -> int:
    return playlist.count(b"#EXTINF")

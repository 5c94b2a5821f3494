"""Stand-in for a player: requests a session, follows its playlists as a client does, fetches segments, records gaps and stalls."""
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

ITEM_MARK = "#X-LADDERGW-ITEM:"     # docs/protocol.md: precedes an item's first segment
LIMITS = PoolLimits(max_connections=10_000, max_waiting=10_000, connect_ms=500.0, max_answer_bytes=16_777_216)
BUFFER_MS = 8_000.0                 # how far a player fetches ahead of what it shows
FETCH_TIMEOUT_MS = 3_000.0          # of one fetch; then it is retried
MIN_RELOAD_MS = 1_000.0             # shortest pause between reloads of a playlist
ANSWER_SLACK_MS = 25.0              # an answer at the limit stays in the socket this long
SEGMENT_TIMEOUT_MS = 1_000.0        # a node that sends no segment for this long is given up
MAX_SESSION_ATTEMPTS = 4
SESSION_RELEASE_MS = 400.0          # an edge that died loses its nodes' sessions: the nodes notice within this time
MAX_REFUSED_CONNECTIONS = 2         # in a row; then the edge is considered dead
REOPEN_PAUSE_MS = 900.0             # before a session is requested again
EDGE_LOST = "|"                     # marks the loss of an edge among the fetched addresses
MAX_FETCH_ATTEMPTS = 120            # of one segment: a player with nothing to show retries for half a minute, then gives up


class ConnectionPools:
    """Connection pools by address, shared by all players."""

    def __init__(self, loop):
        self.loop, self.pools = loop, {}

    def call(self, method: str, address: tuple, path: str, body: bytes, done: Callable[[Call], None], cookie: str = "", limit_ms: float = FETCH_TIMEOUT_MS) -> Call:
        """Sends a request that is aborted after a time limit."""
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = Pool(self.loop, address, LIMITS)
        call = pool.call(method, path, body, done, headers=cookie)
        self.loop.call_later(limit_ms, lambda: call.abort("no answer in time"))
        return call


class Player:
    """One session from its request to the last segment shown. `record(what, t, **facts)` gets events; `on_end(player)` its end."""

    def __init__(self, pools: ConnectionPools, directors: dict[int, tuple], frame: dict, judge: Judge, record: Callable, on_end: Callable, retry_pause_ms: float | None = None):
        self.pools, self.loop, self.edge, self.frame, self.judge = pools, pools.loop, ("", 0), frame, judge
        self.record, self.on_end = record, on_end
        self.queue: list[Segment] = []
        self.known_segments = 0             # segments of the playlist that were seen
        self.fetched_ms = self.shown_from = 0.0
        self.began: float | None = None
        self.stalls: list[float] = []
        self.playlist_ended = self.done = self.fetching = False
        self.last_media: Media | None = None
        self.media = self.cookie = self.node = ""
        self.reload_failures = 0
        self.uris: list[str] = []
        self.programme_ms, self.item_segments_left = 0.0, 0     # fetched of the programme; segments of the current item to come
        self.opening = self.reopened = self.refused_connections = 0
        self.max_attempts = MAX_SESSION_ATTEMPTS
        self.directors, self.director, self.attempts, self.requested_at = directors, 0, 0, 0.0
        self.retry_pause_ms = retry_pause_ms                 # before a retry; None: no retry
        self.request_session()

    def request_session(self) -> None:
        """Makes one attempt, at a director that follows from the play and the attempt."""
        self.attempts += 1
        numbers = sorted(self.directors)
        self.director = numbers[(self.frame["title"] + 7 * self.attempts + len(self.frame["key"])) % len(numbers)] if self.attempts > 1 else \
            numbers[int(self.frame["key"][1:]) % len(numbers)]
        self.edge, self.requested_at = self.directors[self.director], self.loop.now
        self.record_event("asked", product=self.frame["product"], wait_ms=self.frame["wait_ms"])
        self.pools.call("POST", self.edge, "/v1/sessions", json.dumps(self.frame).encode(), self.session_answered, limit_ms=self.frame["wait_ms"] + ANSWER_SLACK_MS)

    def record_event(self, what: str, **facts) -> None:
        self.record(what, self.loop.now, play=self.frame["key"], tries=self.attempts, director=self.director, **facts)

    def retry(self, outcome: str, retry_ms: float, unsettled_ms: float) -> None:
        """Retries with the first attempt's token, or ends with this outcome."""
        if self.retry_pause_ms is None and not self.reopened or self.attempts >= self.max_attempts:
            return self.finish("broken" if self.reopened else outcome)
        pause = max(self.retry_pause_ms or REOPEN_PAUSE_MS, retry_ms)
        self.frame = self.frame | {"unsettled_ms": max(0.0, unsettled_ms - pause)}
        self.loop.call_later(pause, self.request_session)
        return None

    def reopen_if_edge_gone(self, call: Call) -> bool:
        """Whether the answer shows that the edge lost the session or is dead: then the session is requested again from the player's
        position. An edge that is silent may still hold the play, so the player waits for it."""
        self.refused_connections = self.refused_connections + 1 if call.connection_refused else 0
        if call.status not in (403, 410) and self.refused_connections < MAX_REFUSED_CONNECTIONS:
            return False
        self.opening += 1
        self.reopened, self.refused_connections, self.max_attempts = self.reopened + 1, 0, self.attempts + MAX_SESSION_ATTEMPTS
        self.queue, self.known_segments, self.playlist_ended, self.fetching = [], 0, False, False
        self.uris.append(EDGE_LOST)
        self.judge = type(self.judge)()
        self.frame = self.frame | {"resume": {"from_ms": self.programme_ms, "cut": self.item_segments_left > 0}}
        self.item_segments_left = 0
        self.record("edge lost", self.loop.now, play=self.frame["key"], status=call.status)
        self.retry("broken", 0.0, SESSION_RELEASE_MS)
        return True

    def session_answered(self, call: Call) -> None:
        if call.status is None:
            self.record_event("lost", why=call.failure, reached=call.written > 0)
            left = self.requested_at + self.frame["wait_ms"] - self.loop.now if call.written else 0.0
            return self.retry("failed", 0.0, left)
        body = json.loads(call.body)
        answer = {200: "playing", 503: "declined"}.get(call.status, "failed")
        self.record_event("answered", ms=self.loop.now - self.requested_at, product=self.frame["product"], again=False, rung=body.get("rung"), answer=answer)
        if body.get("token"):
            self.frame = self.frame | {"token": body["token"]}
        if answer == "declined":
            return self.retry("declined", body.get("retry_ms") or 0.0, 0.0)
        if answer == "failed":
            return self.finish("broken" if self.reopened else "failed")
        self.cookie = f"Cookie: player={call.headers.get('set-cookie', '').partition('player=')[2].partition(';')[0]}\r\n"
        opening = self.opening
        self.pools.call("GET", self.edge, body["manifest"], b"", lambda call: opening == self.opening and self.handle_multivariant(call), self.cookie)
        return None

    def handle_multivariant(self, call: Call) -> None:
        if call.status != 200:
            return None if self.reopen_if_edge_gone(call) else self.finish("failed")
        self.media = next(line for line in call.body.decode().splitlines() if line and not line.startswith("#"))
        return self.reload()

    def call_later_in_session(self, ms: float, call: Callable[[], None]) -> None:
        """Calls later, unless the session was requested again by then."""
        opening = self.opening
        self.loop.call_later(ms, lambda: opening == self.opening and call())

    def reload(self) -> None:
        if not self.done and not self.playlist_ended:
            opening = self.opening
            self.pools.call("GET", self.edge, self.media, b"", lambda call: opening == self.opening and self.playlist_received(call), self.cookie)

    def playlist_received(self, call: Call) -> None:
        if self.done:
            return None
        if call.status != 200:
            if self.reopen_if_edge_gone(call):
                return None
            if self.reload_failures >= MAX_FETCH_ATTEMPTS:
                return self.finish("broken")
            self.reload_failures += 1
            self.call_later_in_session(MIN_RELOAD_MS, self.reload)
            return None
        self.reload_failures = self.refused_connections = 0
        try:
            media = read(call.body)
        except InvalidPlaylist as error:
            self.record("bad playlist", self.loop.now, play=self.frame["key"], why=str(error))
            return self.finish("broken")
        for fault in self.judge.reload(media):
            self.record("timing fault", self.loop.now, play=self.frame["key"], kind=fault.kind, told=fault.what)
        self.last_media, self.playlist_ended = media, media.ended
        new_segments = media.segments[self.known_segments:]
        self.known_segments = len(media.segments)
        self.queue += new_segments
        if not self.playlist_ended:
            self.call_later_in_session(max(MIN_RELOAD_MS, media.target_ms / 2), self.reload)
        return self.fetch_next()

    def buffered_ms(self) -> float:
        return self.fetched_ms - (self.loop.now - self.began if self.began is not None else 0.0)

    def fetch_next(self) -> None:
        """Fetches the next segment, unless the buffer is full."""
        if self.fetching or self.done:
            return
        if not self.queue:
            if self.playlist_ended:
                self.loop.call_later(max(0.0, self.buffered_ms()), lambda: self.finish("played"))
            return
        if self.buffered_ms() > BUFFER_MS:
            self.loop.call_later(self.buffered_ms() - BUFFER_MS + 1, self.fetch_next)
            return
        self.fetching = True
        self.fetch(self.queue.pop(0), 0)

    def fetch(self, segment: Segment, attempts: int) -> None:
        """Asks the edge, then the node that it redirects to; starts again at the edge if that fails."""
        opening = self.opening

        def retry() -> None:
            self.call_later_in_session(MIN_RELOAD_MS / 4, lambda: self.fetch(segment, attempts + 1))

        def redirect_received(call: Call) -> None:
            if self.done or opening != self.opening or self.reopen_if_edge_gone(call):
                return None
            if call.status != 302:
                return retry() if attempts + 1 < MAX_FETCH_ATTEMPTS else self.finish("broken")
            where = urlsplit(call.headers["location"])
            if "/media/" in where.path:
                self.node = where.netloc
            here = "Play-Here: yes\r\n" if self.node == where.netloc else ""
            self.pools.call("GET", (where.hostname, where.port), where.path, b"", lambda response: segment_answered(response, where.path), here, SEGMENT_TIMEOUT_MS)
            return None

        def segment_answered(call: Call, path: str) -> None:
            if self.done or opening != self.opening:
                return None
            if call.status != 200:
                return retry() if attempts + 1 < MAX_FETCH_ATTEMPTS else self.finish("broken")
            return self.segment_received(segment, path)
        self.pools.call("GET", self.edge, segment.uri, b"", redirect_received, self.cookie)

    def segment_received(self, segment: Segment, path: str) -> None:
        self.fetching = False
        if self.began is None:
            self.began = self.loop.now
            self.record("first frame", self.loop.now, play=self.frame["key"])
        stall_ms = -self.buffered_ms()
        if stall_ms > 0:                         # playback stalled: what follows is shown that much later
            self.stalls.append(stall_ms)
            self.began += stall_ms
        self.fetched_ms += segment.duration_ms
        self.uris.append(path)
        for line in segment.unknown_lines:
            if line.startswith(ITEM_MARK):
                self.item_segments_left = int(attributes.read(line[len(ITEM_MARK):]).get("SEGMENTS"))
        if self.item_segments_left:
            self.item_segments_left -= 1
        else:
            self.programme_ms += segment.duration_ms
        self.fetch_next()

    def finish(self, outcome: str) -> None:
        """Records the session's outcome and ends it."""
        if not self.done:
            self.done = True
            if outcome == "played":
                for description in order_faults(self.uris, self.frame["title"]):
                    self.record("timing fault", self.loop.now, play=self.frame["key"], kind="fetched", told=description)
            self.record("session over", self.loop.now, play=self.frame["key"], outcome=outcome, stalls=self.stalls, shown_ms=self.fetched_ms, reopened=self.reopened)
            self.on_end(self)


def order_faults(paths: list[str], title: int) -> list[str]:
    """Faults in the order of fetched segments: the programme must come once and whole, each item whole or not at all."""
    found, programme, item, at = [], [], None, 0
    for path in paths + [""]:
        if path == EDGE_LOST:                        # an item that an edge's death cut short comes again or is left out
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

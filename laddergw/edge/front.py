"""The edge as viewers see it: a director whose plays are sessions with manifests. It carries out what the modules beside it decide.

POST /v1/sessions takes what POST /v1/plays takes and answers with the address of a master playlist; the player fetches the rest.
A session's media playlist is composed as it is requested. See docs/stitching.md.
"""
from typing import Callable, Iterable
from zlib import crc32

from laddergw import interface
from laddergw.director import frames, tokens
from laddergw.machines import admission
from laddergw.director.allocation_calls import LOST
from laddergw.director.director import Director
from laddergw.director.link import Link
from laddergw.director.attempts import Attempt
from laddergw.edge import addresses
from laddergw.edge.composer import RESOURCE_PREFIX, SEGMENT_PREFIX, Composer, SegmentOrigin, AvailableItem, TitlePlaylists, required_target_ms
from laddergw.edge.fetching import HedgePolicy, Fetcher
from laddergw.edge.sessions import OVER, PLAYING, RELOCATING, Session, PlayExchange
from laddergw.edge.watching import ENDED, LEFT, PlaybackMonitor
from laddergw.hls.stitching import Item
from laddergw.hls.values import Media
from laddergw.http.server import Exchange
from laddergw.programme.index import RuleIndex
from laddergw.programme.load import ItemLoad
from laddergw.programme.rules import Piece, Programme
from laddergw.programme.schedule import PlacedItem, remaining_after_resume, schedule
from laddergw.programme.sources import ChosenSource, SourceNode, choose, item_segment_node, is_cold, decide_unfetched, playlist_sources, link_share

CHECK_INTERVAL_MS = 500.0  # between checks of the players: one that has left is noticed within this
ADDRESS_TTL_MS = 6 * 3_600_000.0   # a session's addresses are valid for so long: a long evening
RELOCATION_PAUSE_MS = 300.0    # before a lost play is requested again
MIN_RELOCATION_WAIT_MS = 1_500.0   # shortest wait of such a request
FAILED_SOURCE_MS = 5_000.0 # a node that could not serve an item is not used as a source for so long
REFRESH_BATCH = 8          # items' playlists refreshed at each check: enough for a few hundred before they reach half their age
MAX_TITLES = 2_000         # cached for later sessions; sessions under way keep their own
MASTER, MEDIA = "master.m3u8", "media.m3u8"
PLAYLIST_CONTENT_TYPE = "application/vnd.apple.mpegurl"


class EdgeFront(Director):
    """A director with sessions. `programme`: the rules in force for new sessions."""

    def __init__(self, loop, house, programme: Programme = Programme({}, ()), **more):
        self.sessions: dict[str, Session] = {}
        self.ending: dict[str, Session] = {}       # over, with allocations that are not released yet
        self.fetcher = Fetcher(loop)
        self.programme, self.rule_index, self.item_names, self.next_item = programme, RuleIndex(programme.rules), sorted(programme.pieces), 0
        self.failed_sources: dict[int, float] = {}
        self.item_load = ItemLoad(house.deployment.directors)
        self.title_cache: dict[int, TitlePlaylists] = {}
        self.session_count = 0
        super().__init__(loop, house, **more)
        self.pages["POST", "/v1/sessions"] = self.open_session
        self.ended_sessions: dict[str, int] = {}
        loop.call_later(CHECK_INTERVAL_MS, self.check_players)

    def serve(self, exchange: Exchange) -> None:
        if exchange.path.startswith(f"/{addresses.PREFIX}/") and exchange.method == "GET":
            return self.serve_session(exchange)
        return super().serve(exchange)

    def open_session(self, exchange: Exchange) -> None:
        """Handles POST /v1/sessions: requests the play; the viewer is answered once the playlists are fetched."""
        try:
            frame = frames.body_of(exchange.body, "session request")
            frames.read_request(exchange.body)
            frame["resume"] = frames.read_resume(frame)
        except frames.MalformedFrame as error:
            exchange.answer(400, frames.error_body(str(error)))
            return
        self.session_count += 1
        name = f"{self.name}-{self.session_count}"
        session = self.sessions[name] = Session(self, name, exchange, frame)
        exchange.on_disconnect = lambda: self.end_session(session, LEFT)
        margin = self.bounds.answer_margin_ms
        self.loop.call_at(exchange.read_at + admission.remaining_wait_ms(frame["wait_ms"], exchange.stall_ms, margin) + margin / 2, lambda: self.answer_timed_out(session))
        self.request_play(session, exchange.body, exchange.read_at, exchange.stall_ms)

    def request_play(self, session: Session, body: bytes, read_at: float, stall_ms: float = 0.0) -> None:
        """Requests the session's play from this director, as a viewer would."""
        session.attempts += 1
        session.play_exchange = PlayExchange(session, body, read_at, stall_ms)
        self.handle_play_request(session.play_exchange)

    def fetch_title(self, session: Session, answer: dict) -> None:
        """The first node has set the play up: the title's playlists are fetched from it, then the viewer is answered."""
        title, terms = session.frame["title"], session.terms
        rungs: dict[int, Media | None] = {}
        count = len(self.house.deployment.ladder)
        def on_rung(rung: int, media: Media | None) -> None:
            rungs[rung] = media
            if len(rungs) == count:
                self.title_fetched(session, answer, [rungs[k] for k in range(count)])
        states = {node: (entry.state == interface.READY and node in self.fleet.links, entry.cell) for node, entry in self.fleet.entries.items()} if terms.read_copies else {}
        frame, cells = session.frame, self.house.deployment.cells
        nodes = playlist_sources(answer["node"], states, int(frame.get("home", 0)), int(frame.get("copies", 0)), cells, terms.read_copies)
        sources = [tuple(answer["address"])] + [self.fleet.links[node].address for node in nodes[1:]]
        for rung in range(count):
            self.fetcher.get(f"/v1/titles/{title}/{rung}.m3u8", sources, lambda media, rung=rung: on_rung(rung, media), HedgePolicy(terms.read_copies, terms.copy_after_ms))

    def title_fetched(self, session: Session, answer: dict, rungs: list[Media | None]) -> None:
        """The title's playlists are fetched: those of the items before its first segment follow, then the viewer is answered."""
        if session.state == OVER:
            return
        try:
            if None in rungs:
                raise ValueError("its playlists cannot be had")
            title = self.title_playlists(session.frame["title"], tuple(rungs))
            rules = self.rule_index.find(session.frame.get("route", "/"), session.frame["product"], self.wall())
            placed = schedule(rungs[0], rules, self.programme, session.frame.get("length_ms") or float("inf"))
        except ValueError as error:
            return self.fail_session(session, str(error))
        from_ms, cut = session.frame["resume"]
        first = title.resume_segment(from_ms) if from_ms else 0
        placed = remaining_after_resume(placed, first, cut)
        missing = {one.item for one in placed if one.before_segment <= first and not self.has_playlist(self.programme, one.item)}
        def on_item(item: str) -> None:
            missing.discard(item)
            if not missing:
                self.begin_session(session, answer, title, placed, first)
        for item in sorted(missing):
            self.prefetch(self.programme, item, on_item)
        if not missing:
            self.begin_session(session, answer, title, placed, first)

    def begin_session(self, session: Session, answer: dict, title: TitlePlaylists, placed: list[PlacedItem], first: int) -> None:
        """Answers the viewer with the address of the session's manifest."""
        if session.state == OVER:
            return
        session.player = f"{crc32(b'%d %s' % (self.house.seed, session.name.encode())):08x}"
        session.path = addresses.sign_path(self.house.keys, session.name, self.wall() + ADDRESS_TTL_MS, session.player, "")
        session.composer = Composer(title, placed, lambda what: session.path + what, self.target_duration(placed), first)
        session.playback = PlaybackMonitor(self.loop.now, session.composer.target_ms, session.terms.first_segment_ms)
        body = {key: answer[key] for key in ("answer", "token", "node", "rung")} | {"session": session.name, "manifest": session.path + MASTER}
        session.exchange.answer(200, frames.encode(body), extra_headers=f"Set-Cookie: player={session.player}; HttpOnly\r\n")
        session.exchange.on_disconnect = None

    def answer_timed_out(self, session: Session) -> None:
        """Fails a session whose playlists are not fetched within the viewer's wait."""
        if session.composer is None and session.state != OVER:
            self.fail_session(session, "time limit")

    def fail_session(self, session: Session, reason: str) -> None:
        """Answers that the session failed. Its set-up may have run, and the token must say so: a paid play is not set up again."""
        earlier = tokens.PreviousAttempt(session.frame["key"], self.wall(), 1, True)
        if session.token is not None:
            earlier = tokens.read(self.house.keys, session.token, session.frame["key"], self.wall())._replace(may_have_run=True)
        session.exchange.answer(502, frames.not_playing(interface.FAILED, tokens.sign(self.house.keys, earlier), None, reason))
        self.end_session(session, "failed")

    def title_playlists(self, number: int, rungs: tuple[Media, ...]) -> TitlePlaylists:
        """What the sessions of a title share; made again once its playlists have changed."""
        known = self.title_cache.get(number)
        if known is None or any(old is not new for old, new in zip(known.rungs, rungs)):
            while len(self.title_cache) >= MAX_TITLES:
                self.title_cache.pop(next(iter(self.title_cache)))
            known = self.title_cache[number] = TitlePlaylists(rungs)
        return known

    def target_duration(self, placed: list[PlacedItem]) -> float:
        """The target duration for all items of a session whose playlists are cached by now, shorter replacements included, ms."""
        pieces = [self.programme.pieces[one.item] for one in placed]
        names = {piece.name for piece in pieces} | {piece.shorter for piece in pieces if piece.shorter is not None}
        known = [self.fetcher.cache.get(item_path(self.programme, name), self.loop.now) for name in sorted(names)]
        return max((required_target_ms(media) for media in known if media is not None and media.segments), default=0.0)

    def reject_session(self, session: Session, status: int, body: bytes, extra: str) -> None:
        session.exchange.answer(status, body, extra_headers=extra)
        self.end_session(session, "turned away")

    def play_lost(self, session: Session, why: str) -> None:
        """The play lost its node under way: it is requested again from this director."""
        self.watch("session seeks", session=session.name, why=why)
        self.loop.call_later(RELOCATION_PAUSE_MS, lambda: self.relocate(session))

    def relocate(self, session: Session) -> None:
        """Requests a lost play again, with what the player has buffered as its wait."""
        if session.state != RELOCATING:
            return
        left = session.buffered_ms()
        if self.stopping or left <= 0 and session.attempts > 1 and not session.composer.origins:
            return self.end_session(session, "failed")
        frame = session.frame | {"token": session.token, "wait_ms": max(MIN_RELOCATION_WAIT_MS, min(left, session.frame["wait_ms"])), "unsettled_ms": 0}
        self.request_play(session, frames.encode(frame), self.loop.now)

    def relocate_later(self, session: Session, body: bytes) -> None:
        """No node serves the lost play now: retries after the answer's pause, while the player has something buffered."""
        retry = frames.body_of(body, "answer").get("retry_ms") or RELOCATION_PAUSE_MS
        if session.buffered_ms() <= 0:
            return self.end_session(session, "failed")
        # Never sooner than RELOCATION_PAUSE_MS: with an almost empty buffer it would retry at once, endlessly
        self.loop.call_later(max(RELOCATION_PAUSE_MS, min(retry, session.buffered_ms())), lambda: self.relocate(session))

    def serve_session(self, exchange: Exchange) -> None:
        """Answers a player's request for one of its session's files."""
        player = dict(part.strip().partition("=")[::2] for part in exchange.headers.get("cookie", "").split(";")).get("player")
        try:
            requested = addresses.verify(self.house.keys, self.house.retired, exchange.path, player, self.wall())
            session = self.sessions.get(requested.session)
            if session is None or session.composer is None:
                raise addresses.AddressError(410, "the session is over")
        except addresses.AddressError as error:
            return self.reject_address(exchange, error)
        if requested.name == MASTER:
            self.answer_playlist(exchange, self.master_playlist(session))
        elif requested.name == MEDIA:
            self.answer_playlist(exchange, self.media_playlist(session))
        elif (shown := addresses.parse_resource_name(requested.name, SEGMENT_PREFIX, RESOURCE_PREFIX)) is not None:
            self.redirect_segment(session, exchange, *shown)
        else:
            exchange.answer(404, frames.error_body("no such playlist"))

    def reject_address(self, exchange: Exchange, error: addresses.AddressError) -> None:
        """A viewer that learns that its session is over requests another, here or elsewhere: it must not learn it before the allocation is released."""
        ending = self.ending.get(exchange.path.split("/")[2])
        if ending is not None and not ending.play_exchange.settled:
            return exchange.answer(503, frames.error_body("the session ends"), extra_headers="Retry-After: 1\r\n") and None
        exchange.answer(error.status, frames.error_body(str(error)))
        return None

    def forget(self, attempt: Attempt) -> None:
        super().forget(attempt)
        if isinstance(attempt.exchange, PlayExchange):
            attempt.exchange.settled = True

    def redirect_segment(self, session: Session, exchange: Exchange, number: int, resource: int | None) -> None:
        """Redirects the player to the bytes: of the programme on the play's node now, of an item on any ready node that holds it."""
        composer = session.composer
        if number >= len(composer.origins) or resource is not None and resource >= len(composer.origins[number].resources):
            exchange.answer(404, frames.error_body("a segment that was not shown"))
            return
        origin = composer.origins[number]
        if resource is None:
            session.playback.segment_requested(self.loop.now, origin.ends_ms, composer.ended and number + 1 == len(composer.origins))
            if session.playback.is_stalled(self.loop.now, number):
                self.segment_stalled(session, origin)
        if origin.item is None and session.source is None:
            exchange.answer(503, frames.error_body("the play is being moved"), extra_headers="Retry-After: 1\r\n")
            return
        base = session.source.base if origin.item is None else self.item_base_now(session, origin)
        exchange.answer(302, b"", "text/plain", f"Location: {origin.address(base, resource)}\r\n")

    def item_base_now(self, session: Session, origin: SegmentOrigin) -> str:
        """The base URL for an item's segment now."""
        piece = session.programme.pieces[origin.item]
        node = item_segment_node(piece, self.source_nodes(piece.nodes), origin.node, self.loop.now)
        if self.tap is not None:
            self.tap("item sent", self.loop.now, {"node": node, "own": session.source is not None and session.source.node == node})
        return origin.base if node not in self.fleet.links else item_base(self.fleet.links[node].address)

    def item_rate(self, piece: Piece) -> float:
        """kB per second of an item's segments."""
        return self.house.deployment.ladder[-1] if piece.rate_kb is None else piece.rate_kb

    def segment_stalled(self, session: Session, origin: SegmentOrigin) -> None:
        """A node answered before and now delivers no segment: an item is fetched from another node, a play is moved off this one."""
        self.watch("segment stalls", session=session.name, node=origin.node if origin.item else session.source and session.source.node)
        if origin.item is not None:
            self.failed_sources[origin.node] = self.loop.now + FAILED_SOURCE_MS
        elif session.state == PLAYING:
            for attempt in [attempt for attempt in self.attempts.values() if attempt.exchange is session.play_exchange]:
                self.remove_from_node(attempt, LOST)

    @staticmethod
    def answer_playlist(exchange: Exchange, text: bytes) -> None:
        exchange.answer(200, text, PLAYLIST_CONTENT_TYPE, "Cache-Control: no-store\r\n")

    def master_playlist(self, session: Session) -> bytes:
        """The multivariant playlist has one variant: the control module chooses the rung."""
        rate = int(self.house.deployment.ladder[-1] * 8_000)
        return f"#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH={rate}\n{session.path}{MEDIA}\n".encode()

    def media_playlist(self, session: Session) -> bytes:
        """The media playlist, extended as far as the player needs it now."""
        composer, playback, now = session.composer, session.playback, self.loop.now
        if session.source is not None and session.state == PLAYING:
            composer.extend(session.played_ms(), session.source, lambda placed, lead: self.choose_source(session, placed, lead),
                            lambda chosen: self.available_item(session, chosen))
        playback.playlist_requested(now)
        return composer.text()

    def choose_source(self, session: Session, placed: PlacedItem, lead_ms: float) -> ChosenSource:
        """Passes the decision on to programme/sources.py; a playlist that is not cached yet is fetched now."""
        now = self.loop.now
        piece = session.programme.pieces[placed.item]
        nodes = piece.nodes + (session.programme.pieces[piece.shorter].nodes if piece.shorter else ())
        span = now + lead_ms, now + lead_ms + piece.length_ms
        chosen = choose(placed.rule, placed.item, session.programme, self.source_nodes(nodes, span), session.source.node, now, now + lead_ms)
        if chosen.item is not None and chosen.node is not None and not self.has_playlist(session.programme, chosen.item):
            self.prefetch(session.programme, chosen.item)
            return decide_unfetched(placed.rule, placed.item, lead_ms, "its playlist is being fetched")
        return chosen

    def available_item(self, session: Session, chosen: ChosenSource) -> AvailableItem | None:
        """The chosen item, and its load recorded; None where its playlist or its node is gone."""
        media = self.fetcher.cache.get(item_path(session.programme, chosen.item), self.loop.now)
        link = self.fleet.links.get(chosen.node)
        if media is None or link is None:
            return None
        piece, since = session.programme.pieces[chosen.item], self.loop.now + session.buffered_ms()
        if chosen.node != session.source.node:
            self.item_load.add(chosen.node, self.item_rate(piece), since, since + piece.length_ms)
        return AvailableItem(Item(chosen.item, media), item_base(link.address), chosen.node)

    def has_playlist(self, programme: Programme, item: str) -> bool:
        return self.fetcher.cache.get(item_path(programme, item), self.loop.now) is not None

    def prefetch(self, programme: Programme, item: str, then: Callable[[str], None] = lambda item: None) -> None:
        """Fetches an item's playlist from the ready nodes that hold it, and calls `then` either way."""
        nodes = [node for node, source in sorted(self.source_nodes(programme.pieces[item].nodes).items()) if source.ready]
        node_addresses = [self.fleet.links[node].address for node in nodes]
        def on_playlist(media: Media | None) -> None:
            if media is None:
                self.failed_sources.update({node: self.loop.now + FAILED_SOURCE_MS for node in nodes})
            then(item)
        self.fetcher.refetch(item_path(programme, item), node_addresses, on_playlist)

    def change_programme(self, programme: Programme) -> None:
        """New rules apply to sessions that begin from now on."""
        self.programme, self.rule_index, self.item_names, self.next_item = programme, RuleIndex(programme.rules), sorted(programme.pieces), 0
        self.watch("rules changed", rules=len(programme.rules), items=len(programme.pieces))

    def source_nodes(self, nodes: Iterable[int], span: tuple[float, float] = (0.0, 0.0)) -> dict[int, SourceNode]:
        """Some nodes as sources of items: whether ready and cold, and the shares of their links that plays and, in a span, items take."""
        sources, now, deployment = {}, self.loop.now, self.house.deployment
        for node in nodes:
            entry, link = self.fleet.entries.get(node), self.fleet.links.get(node)
            if entry is None:
                continue
            link_kb = entry.weight * deployment.link_unit
            plays_kb = sum(self.rate(attempt) for attempt in self.attempts_by_node.get(node, {}).values() if attempt.allocation is not None)
            sources[node] = SourceNode(
                node, entry.state == interface.READY and link is not None and link.session.up, is_cold(self.fleet.process_starts[node][1], deployment.warm_ms, now),
                self.failed_sources.get(node, 0.0), link_share(plays_kb * deployment.directors, link_kb), link_share(self.item_load.rate(node, *span), link_kb))
        return sources

    def change_keys(self, keys: tuple, retired: frozenset[str]) -> None:
        """Sessions whose addresses were signed by a key that is no longer accepted end: their players get 403 and come again."""
        super().change_keys(keys, retired)
        accepted = {name for name, _ in keys} - retired
        for session in list(self.sessions.values()):
            if session.path and addresses.key_id_of(session.path) not in accepted:
                self.end_session(session, "key retired")

    def session_up(self, link: Link) -> None:
        """A node can be reached: playlists of its items that are not cached yet are fetched ahead of any splice."""
        super().session_up(link)
        for item in self.item_names[:REFRESH_BATCH * REFRESH_BATCH]:
            if link.node in self.programme.pieces[item].nodes and not self.has_playlist(self.programme, item):
                self.prefetch(self.programme, item)

    def refresh_items(self) -> None:
        """Fetches some of the items' playlists, in turn, before they are too old, so that a splice finds them cached."""
        names = self.item_names
        for turn in range(self.next_item, self.next_item + min(REFRESH_BATCH, len(names))):
            item = names[turn % len(names)]
            if self.fetcher.cache.is_stale(item_path(self.programme, item), self.loop.now):
                self.prefetch(self.programme, item)
        self.next_item = (self.next_item + REFRESH_BATCH) % max(1, len(names))

    def check_players(self) -> None:
        """Ends the sessions of players that have finished or left, and refreshes some items."""
        self.refresh_items()
        for session in list(self.sessions.values()):
            if session.playback is not None and session.playback.check(self.loop.now).state in (ENDED, LEFT):
                self.end_session(session, session.playback.state)
        for name in [name for name, session in self.ending.items() if session.play_exchange.settled]:
            del self.ending[name]
        self.item_load.drop_expired(self.fleet.links, self.loop.now)
        if self.loop.running:
            self.loop.call_later(CHECK_INTERVAL_MS, self.check_players)

    def end_session(self, session: Session, how: str) -> None:
        """Ends a session: its play is left, and its addresses are of no more use."""
        if session.state == OVER:
            return
        session.state = OVER
        self.ended_sessions[how] = self.ended_sessions.get(how, 0) + 1
        self.sessions.pop(session.name, None)
        play_exchange = session.play_exchange
        if play_exchange is not None and not play_exchange.settled:
            self.ending[session.name] = session
        if play_exchange is not None and play_exchange.on_disconnect is not None and not play_exchange.ended:
            play_exchange.on_disconnect()

    def stop_accepting(self) -> None:
        """Does nothing: players of sessions under way come in by new connections, and admission rejects new sessions by itself."""

    def shut_down(self) -> None:
        self.fetcher.close()
        super().shut_down()


def item_path(programme: Programme, item: str) -> str:
    return f"/v1/items/{programme.pieces[item].playlist}"


def item_base(address: tuple[str, int]) -> str:
    """The base URL of the items on a node."""
    return f"http://{address[0]}:{address[1]}/v1/items/"

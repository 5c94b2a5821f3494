"""The edge as viewers see it: a director whose plays are sessions with manifests. Carries; what it decides lies resource it.

POST /v1/sessions takes what POST /v1/plays takes and answers with the address of a master playlist; the rest is fetched. The
media playlist of a session is built as it is asked for. See docs/stitching.md.
"""

from typing import Callable, Iterable
from zlib import crc32

from laddergw import interface as face
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

LOOK_MS = 500.0            # pace of looking over players: a leaving is seen within this
ADDRESS_MS = 6 * 3_600_000.0   # a session's addresses hold so long: a long evening
SEEK_MS = 300.0            # pause before a play_lost play asks again
SEEK_WAIT_MS = 1_500.0     # least wait of such an ask
FAILED_MS = 5_000.0        # a node that could not serve an item rests as a source
REFRESHED = 8              # items' playlists looked after at each look: a few hundred before they are half their age
TITLES_MOST = 2_000        # kept for the next session; those that play keep their own
MASTER, MEDIA = "master.m3u8", "media.m3u8"
KIND = "application/vnd.apple.mpegurl"


class EdgeFront(Director):
    """A director with sessions. `programme`: the rules in force for new sessions."""

    def __init__(self, loop, house, programme: Programme = Programme({}, ()), **more):
        self.sessions: dict[str, Session] = {}
        self.ending: dict[str, Session] = {}       # over, their allocations not let go yet
        self.fetcher = Fetcher(loop)
        self.programme, self.index, self.item_names, self.item_turn = programme, RuleIndex(programme.rules), sorted(programme.pieces), 0
        self.failed: dict[int, float] = {}
        self.item_load = ItemLoad(house.deployment.directors)
        self.titles: dict[int, TitlePlaylists] = {}
        self.session_numbers = 0
        super().__init__(loop, house, **more)
        self.pages["POST", "/v1/sessions"] = self.open_session
        self.ended_sessions: dict[str, int] = {}
        loop.call_later(LOOK_MS, self.look)

    def serve(self, exchange: Exchange) -> None:
        if exchange.path.startswith(f"/{addresses.PREFIX}/") and exchange.method == "GET":
            return self.serve_session(exchange)
        return super().serve(exchange)

    # A session begins

    def open_session(self, exchange: Exchange) -> None:
        try:
            frame = frames.body_of(exchange.body, "session request")
            frames.read_request(exchange.body)
            frame["resume"] = frames.read_resume(frame)
        except frames.MalformedFrame as error:
            exchange.answer(400, frames.error_body(str(error)))
            return
        self.session_numbers += 1
        name = f"{self.name}-{self.session_numbers}"
        session = self.sessions[name] = Session(self, name, exchange, frame)
        exchange.on_disconnect = lambda: self.end(session, LEFT)
        margin = self.bounds.answer_margin_ms
        self.loop.call_at(exchange.read_at + admission.remaining_wait_ms(frame["wait_ms"], exchange.stall_ms, margin) + margin / 2, lambda: self.too_late(session))
        self.ask(session, exchange.body, exchange.read_at, exchange.stall_ms)

    def ask(self, session: Session, body: bytes, read_at: float, late: float = 0.0) -> None:
        session.attempts += 1
        session.play_exchange = PlayExchange(session, body, read_at, late)
        self.handle_play_request(session.play_exchange)

    def fetch_title(self, session: Session, answer: dict) -> None:
        """The first node has set the play up: the playlists are fetched from it, then the viewer is answered."""
        title, terms = session.frame["title"], session.terms
        rungs: dict[int, Media | None] = {}
        count = len(self.house.deployment.ladder)

        def got(rung: int, media: Media | None) -> None:
            rungs[rung] = media
            if len(rungs) == count:
                self.ready(session, answer, [rungs[k] for k in range(count)])
        states = {node: (entry.state == face.READY and node in self.fleet.links, entry.cell) for node, entry in self.fleet.entries.items()} if terms.read_copies else {}
        frame, cells = session.frame, self.house.deployment.cells
        nodes = playlist_sources(answer["node"], states, int(frame.get("home", 0)), int(frame.get("copies", 0)), cells, terms.read_copies)
        sources = [tuple(answer["address"])] + [self.fleet.links[node].address for node in nodes[1:]]
        for rung in range(count):
            self.fetcher.get(f"/v1/titles/{title}/{rung}.m3u8", sources, lambda media, rung=rung: got(rung, media), HedgePolicy(terms.read_copies, terms.copy_after_ms))

    def ready(self, session: Session, answer: dict, rungs: list[Media | None]) -> None:
        """The title's playlists are here: what stands before its first segment is fetched, then the viewer is answered."""
        if session.state == OVER:
            return
        try:
            if None in rungs:
                raise ValueError("its playlists cannot be had")
            title = self.title(session.frame["title"], tuple(rungs))
            rules = self.index.find(session.frame.get("route", "/"), session.frame["product"], self.wall())
            placed = schedule(rungs[0], rules, self.programme, session.frame.get("length_ms") or float("inf"))
        except ValueError as error:
            return self.fail(session, str(error))
        from_ms, cut = session.frame["resume"]
        first = title.resume_segment(from_ms) if from_ms else 0
        placed = remaining_after_resume(placed, first, cut)
        missing = {one.item for one in placed if one.before_segment <= first and not self.here(self.programme, one.item)}

        def got(item: str) -> None:
            missing.discard(item)
            if not missing:
                self.begin_session(session, answer, title, placed, first)
        for item in sorted(missing):
            self.prefetch(self.programme, item, got)
        if not missing:
            self.begin_session(session, answer, title, placed, first)

    def begin_session(self, session: Session, answer: dict, title: TitlePlaylists, placed: list[PlacedItem], first: int) -> None:
        if session.state == OVER:
            return
        session.player = f"{crc32(b'%d %s' % (self.house.seed, session.name.encode())):08x}"
        session.path = addresses.sign_path(self.house.keys, session.name, self.wall() + ADDRESS_MS, session.player, "")
        session.composer = Composer(title, placed, lambda what: session.path + what, self.target(placed), first)
        session.playback = PlaybackMonitor(self.loop.now, session.composer.target_ms, session.terms.first_segment_ms)
        told = {key: answer[key] for key in ("answer", "token", "node", "rung")} | {"session": session.name, "manifest": session.path + MASTER}
        session.exchange.answer(200, frames.encode(told), extra_headers=f"Set-Cookie: player={session.player}; HttpOnly\r\n")
        session.exchange.on_disconnect = None

    def too_late(self, session: Session) -> None:
        """The viewer's limit comes before its playlists do."""
        if session.composer is None and session.state != OVER:
            self.fail(session, "time limit")

    def fail(self, session: Session, reason: str) -> None:
        """Its set-up may have run, which the token must tell: a paid play is not set up again."""
        earlier = tokens.PreviousAttempt(session.frame["key"], self.wall(), 1, True)
        if session.token is not None:
            earlier = tokens.read(self.house.keys, session.token, session.frame["key"], self.wall())._replace(may_have_run=True)
        session.exchange.answer(502, frames.not_playing(face.FAILED, tokens.sign(self.house.keys, earlier), None, reason))
        self.end(session, "failed")

    def title(self, number: int, rungs: tuple[Media, ...]) -> TitlePlaylists:
        """What sessions of a title link_share; made anew when its playlists were."""
        known = self.titles.get(number)
        if known is None or any(ours is not theirs for ours, theirs in zip(known.rungs, rungs)):
            while len(self.titles) >= TITLES_MOST:
                self.titles.pop(next(iter(self.titles)))
            known = self.titles[number] = TitlePlaylists(rungs)
        return known

    def target(self, placed: list[PlacedItem]) -> float:
        """The target duration that all items of a session need that are known by now, shorter ones included, ms."""
        pieces = [self.programme.pieces[one.item] for one in placed]
        names = {piece.name for piece in pieces} | {piece.shorter for piece in pieces if piece.shorter is not None}
        known = [self.fetcher.cache.get(item_path(self.programme, name), self.loop.now) for name in sorted(names)]
        return max((required_target_ms(media) for media in known if media is not None and media.segments), default=0.0)

    def reject_session(self, session: Session, status: int, body: bytes, extra: str) -> None:
        session.exchange.answer(status, body, extra_headers=extra)
        self.end(session, "turned away")

    # A play is play_lost under way: it is asked for again, at our own door

    def play_lost(self, session: Session, why: str) -> None:
        self.watch("session seeks", session=session.name, why=why)
        self.loop.call_later(SEEK_MS, lambda: self.relocate(session))

    def relocate(self, session: Session) -> None:
        if session.state != RELOCATING:
            return
        left = session.buffered_ms()
        if self.stopping or left <= 0 and session.attempts > 1 and not session.composer.origins:
            return self.end(session, "failed")
        frame = session.frame | {"token": session.token, "wait_ms": max(SEEK_WAIT_MS, min(left, session.frame["wait_ms"])), "unsettled_ms": 0}
        self.ask(session, frames.encode(frame), self.loop.now)

    def relocate_later(self, session: Session, body: bytes) -> None:
        retry = frames.body_of(body, "answer").get("retry_ms") or SEEK_MS
        if session.buffered_ms() <= 0:
            return self.end(session, "failed")
        # Never sooner than SEEK_MS: a buffer of next to nothing would ask again in the same moment, for ever
        self.loop.call_later(max(SEEK_MS, min(retry, session.buffered_ms())), lambda: self.relocate(session))

    # What players fetch

    def serve_session(self, exchange: Exchange) -> None:
        player = dict(part.strip().partition("=")[::2] for part in exchange.headers.get("cookie", "").split(";")).get("player")
        try:
            asked = addresses.verify(self.house.keys, self.house.retired, exchange.path, player, self.wall())
            session = self.sessions.get(asked.session)
            if session is None or session.composer is None:
                raise addresses.AddressRejected(410, "the session is over")
        except addresses.AddressRejected as error:
            return self.refuse(exchange, error)
        if asked.name == MASTER:
            self.answer_playlist(exchange, self.master(session))
        elif asked.name == MEDIA:
            self.answer_playlist(exchange, self.media(session))
        elif (shown := addresses.parse_resource_name(asked.name, SEGMENT_PREFIX, RESOURCE_PREFIX)) is not None:
            self.segment(session, exchange, *shown)
        else:
            exchange.answer(404, frames.error_body("no such playlist"))

    def refuse(self, exchange: Exchange, error: addresses.AddressRejected) -> None:
        """Whoever is told that a session is over asks for another, here or elsewhere: not before its allocation is let go."""
        ending = self.ending.get(exchange.path.split("/")[2])
        if ending is not None and not ending.play_exchange.settled:
            return exchange.answer(503, frames.error_body("the session ends"), extra_headers="Retry-After: 1\r\n") and None
        exchange.answer(error.status, frames.error_body(str(error)))
        return None

    def forget(self, ply: Attempt) -> None:
        super().forget(ply)
        if isinstance(ply.exchange, PlayExchange):
            ply.exchange.settled = True

    def segment(self, session: Session, exchange: Exchange, number: int, resource: int | None) -> None:
        """Sends the player to the bytes: the node in charge now for the programme, any holder that is ready for an item."""
        composer = session.composer
        if number >= len(composer.origins) or resource is not None and resource >= len(composer.origins[number].resources):
            exchange.answer(404, frames.error_body("a segment that was not shown"))
            return
        origin = composer.origins[number]
        if resource is None:
            session.playback.segment_requested(self.loop.now, origin.ends_ms, composer.ended and number + 1 == len(composer.origins))
            if session.playback.is_stalled(self.loop.now, number):
                self.stalled(session, origin)
        if origin.item is None and session.source is None:
            exchange.answer(503, frames.error_body("the play is being moved"), extra_headers="Retry-After: 1\r\n")
            return
        base = session.source.base if origin.item is None else self.item_from(session, origin)
        exchange.answer(302, b"", "text/plain", f"Location: {origin.address(base, resource)}\r\n")

    def item_from(self, session: Session, origin: SegmentOrigin) -> str:
        """What goes before the address of an item's segment now."""
        piece = session.programme.pieces[origin.item]
        node = item_segment_node(piece, self.source_nodes(piece.nodes), origin.node, self.loop.now)
        if self.tap is not None:
            self.tap("item sent", self.loop.now, {"node": node, "own": session.source is not None and session.source.node == node})
        return origin.base if node not in self.fleet.links else item_base(self.fleet.links[node].address)

    def item_rate(self, piece: Piece) -> float:
        return self.house.deployment.ladder[-1] if piece.rate_kb is None else piece.rate_kb

    def stalled(self, session: Session, origin: SegmentOrigin) -> None:
        """A node answered before and gives no segment: an item comes from another holder, a play is taken off it."""
        self.watch("segment stalls", session=session.name, node=origin.node if origin.item else session.source and session.source.node)
        if origin.item is not None:
            self.failed[origin.node] = self.loop.now + FAILED_MS
        elif session.state == PLAYING:
            for ply in [ply for ply in self.attempts.values() if ply.exchange is session.play_exchange]:
                self.remove_from_node(ply, LOST)

    @staticmethod
    def answer_playlist(exchange: Exchange, text: bytes) -> None:
        exchange.answer(200, text, KIND, "Cache-Control: no-store\r\n")

    def master(self, session: Session) -> bytes:
        """One variant: which rung it is, is the module's choice."""
        rate = int(self.house.deployment.ladder[-1] * 8_000)
        return f"#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH={rate}\n{session.path}{MEDIA}\n".encode()

    def media(self, session: Session) -> bytes:
        composer, playback, now = session.composer, session.playback, self.loop.now
        if session.source is not None and session.state == PLAYING:
            composer.extend(session.played_ms(), session.source, lambda placed, lead: self.choose(session, placed, lead),
                            lambda chosen: self.served(session, chosen))
        playback.playlist_requested(now)
        return composer.text()

    def choose(self, session: Session, placed: PlacedItem, lead_ms: float) -> ChosenSource:
        """Decided resource us; an item whose playlist is not here yet is fetched now."""
        now = self.loop.now
        piece = session.programme.pieces[placed.item]
        nodes = piece.nodes + (session.programme.pieces[piece.shorter].nodes if piece.shorter else ())
        span = now + lead_ms, now + lead_ms + piece.length_ms
        chosen = choose(placed.rule, placed.item, session.programme, self.source_nodes(nodes, span), session.source.node, now, now + lead_ms)
        if chosen.item is not None and chosen.node is not None and not self.here(session.programme, chosen.item):
            self.prefetch(session.programme, chosen.item)
            return decide_unfetched(placed.rule, placed.item, lead_ms, "its playlist is being fetched")
        return chosen

    def served(self, session: Session, chosen: ChosenSource) -> AvailableItem | None:
        media = self.fetcher.cache.get(item_path(session.programme, chosen.item), self.loop.now)
        link = self.fleet.links.get(chosen.node)
        if media is None or link is None:
            return None
        piece, since = session.programme.pieces[chosen.item], self.loop.now + session.buffered_ms()
        if chosen.node != session.source.node:
            self.item_load.add(chosen.node, self.item_rate(piece), since, since + piece.length_ms)
        return AvailableItem(Item(chosen.item, media), item_base(link.address), chosen.node)

    def here(self, programme: Programme, item: str) -> bool:
        return self.fetcher.cache.get(item_path(programme, item), self.loop.now) is not None

    def prefetch(self, programme: Programme, item: str, then: Callable[[str], None] = lambda item: None) -> None:
        holders = [node for node, holder in sorted(self.source_nodes(programme.pieces[item].nodes).items()) if holder.ready]
        links = [self.fleet.links[node].address for node in holders]

        def got(media: Media | None) -> None:
            if media is None:
                self.failed.update({node: self.loop.now + FAILED_MS for node in holders})
            then(item)
        self.fetcher.refetch(item_path(programme, item), links, got)

    def change_programme(self, programme: Programme) -> None:
        """New rules hold for sessions that begin from now on."""
        self.programme, self.index, self.item_names, self.item_turn = programme, RuleIndex(programme.rules), sorted(programme.pieces), 0
        self.watch("rules changed", rules=len(programme.rules), items=len(programme.pieces))

    def source_nodes(self, nodes: Iterable[int], span: tuple[float, float] = (0.0, 0.0)) -> dict[int, SourceNode]:
        """What is known of some nodes as sources of items: readiness, warmth, what our plays take of their links, and our items then."""
        found, now, deployment = {}, self.loop.now, self.house.deployment
        for node in nodes:
            entry, link = self.fleet.entries.get(node), self.fleet.links.get(node)
            if entry is None:
                continue
            width = entry.weight * deployment.link_unit
            plays = sum(self.rate(ply) for ply in self.attempts_by_node.get(node, {}).values() if ply.allocation is not None)
            found[node] = SourceNode(
                node, entry.state == face.READY and link is not None and link.session.up,
                is_cold(self.fleet.process_starts[node][1], deployment.warm_ms, now), self.failed.get(node, 0.0),
                link_share(plays * deployment.directors, width), link_share(self.item_load.rate(node, *span), width))
        return found

    def change_keys(self, keys: tuple, retired: frozenset[str]) -> None:
        """Sessions whose addresses were signed by a key that is taken no more end: their players get 403 and come again."""
        super().change_keys(keys, retired)
        taken = {name for name, _ in keys} - retired
        for session in list(self.sessions.values()):
            if session.path and addresses.key_id_of(session.path) not in taken:
                self.end(session, "key retired")

    def session_up(self, link: Link) -> None:
        """A node that holds items can be asked: what is not here yet is fetched ahead of any splice."""
        super().session_up(link)
        for item in self.item_names[:REFRESHED * REFRESHED]:
            if link.node in self.programme.pieces[item].nodes and not self.here(self.programme, item):
                self.prefetch(self.programme, item)

    def refresh(self) -> None:
        """Some of the items' playlists, in turn, before they grow too old: a splice finds them here."""
        names = self.item_names
        for turn in range(self.item_turn, self.item_turn + min(REFRESHED, len(names))):
            item = names[turn % len(names)]
            if self.fetcher.cache.is_stale(item_path(self.programme, item), self.loop.now):
                self.prefetch(self.programme, item)
        self.item_turn = (self.item_turn + REFRESHED) % max(1, len(names))

    # Players that have gone

    def look(self) -> None:
        self.refresh()
        for session in list(self.sessions.values()):
            if session.playback is not None and session.playback.check(self.loop.now).state in (ENDED, LEFT):
                self.end(session, session.playback.state)
        for name in [name for name, session in self.ending.items() if session.play_exchange.settled]:
            del self.ending[name]
        self.item_load.drop_expired(self.fleet.links, self.loop.now)
        if self.loop.running:
            self.loop.call_later(LOOK_MS, self.look)

    def end(self, session: Session, how: str) -> None:
        """The session is over: its play is left, its addresses are of no more use."""
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
        """Players of what still plays come in by new connections: the door turns new sessions away by itself."""

    def shut_down(self) -> None:
        self.fetcher.close()
        super().shut_down()


def item_path(programme: Programme, item: str) -> str:
    return f"/v1/items/{programme.pieces[item].playlist}"


def item_base(address: tuple[str, int]) -> str:
    return f"http://{address[0]}:{address[1]}/v1/items/"

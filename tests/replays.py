"""Replays a counterexample that the search of a limits file found (laddergw/terms/search.py) on real directors in memory, without checking
the file.

Nodes make the counterexample's moves, set-up by set-up, whichever node the controller chooses: a refusal, a connection that never comes up,
one cut after the last byte, silence; releases are acknowledged or ignored. What nodes then held of the play shows whether the rule broke.
"""
import json
from collections import deque

from laddergw.director.director import Director
from laddergw.terms.director_file import read
from laddergw.lab.tap import tap
from laddergw.terms import limits as files
from laddergw.terms.loading import default_terms
from tests.broken_limits import DIRECTOR_FILE
from tests.in_memory_cluster import Cluster, ViewerRequest

SET_UPS = ("refused", "no connection", "cut", "silent", "taken")
RELEASES = ("acknowledged", "release lost")


class Replay(Cluster):
    """A cluster in memory with two directors under a limits file that was not checked."""

    def __init__(self, text: str, nodes: int = 8):
        self.house = read(DIRECTOR_FILE)
        self.loaded = files.read(text, self.house.names, default_terms(self.house))
        self.moves: deque = deque()
        super().__init__(nodes=nodes, directors=2)
        for number in self.nodes:
            self.script_node(number)

    def start_director(self, number):
        text = DIRECTOR_FILE.replace("(number 0)", f"(number {number})").replace('"d0"', f'"d{number}"')
        self.directors[number] = director = Director(self.world.host(f"d{number}"), read(text), wall=lambda: self.world.now,
                                                     tap=tap(f"d{number}.1", self.record), limits=self.loaded)
        allocate, make = director.allocate, director.make_link
        director.allocate = lambda play, verdict: allocate(play, verdict._replace(timeout_ms=1e9))    # the controller waits as long as the file allows

        def make_link(node, address):
            link = make(node, address)
            set_up = link.set_up
            link.set_up = lambda *args: None if self.skip_move("no connection") else set_up(*args)
            return link
        director.make_link = director.fleet.make_link = make_link

    def skip_move(self, move: str) -> bool:
        """Removes the next move and returns True where it is this one."""
        if self.moves and self.moves[0] == move:
            self.moves.popleft()
            return True
        return False

    def script_node(self, number: int) -> None:
        """Makes the node of this number follow the moves."""
        node = self.nodes[number]
        set_up, keep, finish, release_lost = node.handle_set_up, node.handle_keep, node.finish_set_up, set()

        def scripted_set_up(exchange, frame):
            move = self.moves.popleft() if self.moves else "taken"
            if move == "refused":
                return node.refuse(exchange, 503, frame["allocation"], "full")
            if self.moves and self.moves[0] in RELEASES and self.moves.popleft() == "release lost":
                release_lost.add(frame["allocation"])
            set_up(exchange, frame)
            if move in ("cut", "silent"):
                node.allocations[frame["allocation"]].mute = True
            if move == "cut":
                node.abort(exchange)
            return None

        def scripted_keep(exchange, frame):
            return None if release_lost & set(frame["release"]) else keep(exchange, frame)
        node.handle_set_up, node.handle_keep = scripted_set_up, scripted_keep
        node.finish_set_up = lambda held: None if getattr(held, "mute", False) else finish(held)

    def play(self, objection) -> None:
        """Makes the counterexample's moves, for its product and route; a viewer that retries goes to the other director at once."""
        wait_ms = objection.wait_ms
        attempts, kinds = [[]], {move for move in objection.moves} - {"comes again"}
        assert kinds <= {*SET_UPS, *RELEASES}, f"no replay of {kinds}"
        for move in objection.moves:
            attempts.append([]) if move == "comes again" else attempts[-1].append(move)
        facts = {"product": objection.product, "route": objection.route, "wait_ms": wait_ms, "key": "v"}
        for number, moves in enumerate(attempts):
            self.moves = deque(moves)
            request = ViewerRequest(self, number, **facts)
            while not request.lines and request.ended is None and self.world.now < request.asked_at + wait_ms + 500:
                self.run(0.5)
            if request.ended is not None and request.ended.body:
                facts["token"] = json.loads(request.ended.body).get("token")
        self.run(4_000)

    def overlap(self) -> float:
        """The longest time for which two nodes held the play at once, ms."""
        held, longest = {}, 0.0
        for at, what, f in sorted(self.records, key=lambda record: record[0]):
            if what == "held":
                held[f["allocation"]] = [at, float("inf")]
            elif what == "let go" and f["allocation"] in held:
                held[f["allocation"]][1] = at
        spans = sorted(held.values())
        for (_, until), (since, other) in zip(spans, spans[1:]):
            longest = max(longest, min(until, other, self.world.now) - since)
        return longest

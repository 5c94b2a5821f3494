"""Plays a life that the search of a file told through real directors in memory, with the file's check left out.

Nodes do what the life says, set-up by set-up, whichever node the module chooses: a refusal, a connection that never comes, one cut after the last byte, silence;
releases are acknowledged or ignored. What nodes then held of the play tells whether the rule broke.
"""
import json
from collections import deque

from laddergw.director.director import Director
from laddergw.terms.house import read
from laddergw.lab.tap import tap
from laddergw.terms import limits as files
from laddergw.terms.loading import usual
from tests.broken_limits import HOUSE
from tests.town import Ask, Town

SET_UPS = ("refused", "no connection", "cut", "silent", "taken")
RELEASES = ("acknowledged", "release lost")


class Replay(Town):
    """A town of two directors under a file that was not checked."""

    def __init__(self, text: str, nodes: int = 8):
        self.house = read(HOUSE)
        self.loaded = files.read(text, self.house.names, usual(self.house))
        self.plan: deque = deque()
        super().__init__(nodes=nodes, directors=2)
        for number in self.nodes:
            self.script(number)

    def start_director(self, number):
        text = HOUSE.replace("(number 0)", f"(number {number})").replace('"d0"', f'"d{number}"')
        self.directors[number] = director = Director(self.world.host(f"d{number}"), read(text), wall=lambda: self.world.now,
                                                     tap=tap(f"d{number}.1", self.record), limits=self.loaded)
        allocate, make = director.allocate, director.make_link
        director.allocate = lambda ply, verdict: allocate(ply, verdict._replace(timeout_ms=1e9))    # the module as patient as the file allows

        def make_link(node, address):
            link = make(node, address)
            set_up = link.set_up
            link.set_up = lambda *args: None if self.take_first("no connection") else set_up(*args)
            return link
        director.make_link = director.fleet.make_link = make_link

    def take_first(self, move: str) -> bool:
        if self.plan and self.plan[0] == move:
            self.plan.popleft()
            return True
        return False

    def script(self, number: int) -> None:
        """The node of this number obeys the plan."""
        node = self.nodes[number]
        set_up, keep, finish, lost = node.set_up, node.keep, node.finish_set_up, set()

        def scripted(exchange, frame):
            move = self.plan.popleft() if self.plan else "taken"
            if move == "refused":
                return node.refuse(exchange, 503, frame["allocation"], "full")
            if self.plan and self.plan[0] in RELEASES and self.plan.popleft() == "release lost":
                lost.add(frame["allocation"])
            set_up(exchange, frame)
            if move in ("cut", "silent"):
                node.held[frame["allocation"]].mute = True
            if move == "cut":
                node.abort(exchange)
            return None

        def deaf(exchange, frame):
            return None if lost & set(frame["release"]) else keep(exchange, frame)
        node.set_up, node.keep = scripted, deaf
        node.finish_set_up = lambda held: None if getattr(held, "mute", False) else finish(held)

    def play(self, objection) -> None:
        """The life's moves, for the product and route that it was told of; a viewer that comes again goes to the other director at once."""
        wait_ms = objection.wait_ms
        tries, parts = [[]], {move for move in objection.moves} - {"comes again"}
        assert parts <= {*SET_UPS, *RELEASES}, f"no replay of {parts}"
        for move in objection.moves:
            tries.append([]) if move == "comes again" else tries[-1].append(move)
        facts = {"product": objection.product, "route": objection.route, "wait_ms": wait_ms, "key": "v"}
        for number, moves in enumerate(tries):
            self.plan = deque(moves)
            asked = Ask(self, number, **facts)
            while not asked.lines and asked.ended is None and self.world.now < asked.asked_at + wait_ms + 500:
                self.run(0.5)
            if asked.ended is not None and asked.ended.body:
                facts["token"] = json.loads(asked.ended.body).get("token")
        self.run(4_000)

    def overlap(self) -> float:
        """For how long two nodes held the play at once, ms."""
        held, worst = {}, 0.0
        for at, what, f in sorted(self.records, key=lambda record: record[0]):
            if what == "held":
                held[f["allocation"]] = [at, float("inf")]
            elif what == "let go" and f["allocation"] in held:
                held[f["allocation"]][1] = at
        spans = sorted(held.values())
        for (_, until), (since, other) in zip(spans, spans[1:]):
            worst = max(worst, min(until, other, self.world.now) - since)
        return worst

"""rehearse stitched, in memory: sessions with notices while nodes drain, sessions move in mid-insertion and sources die.

The stage is the memory stage with edges in place of directors and players in place of viewers. The continuity check judges each
session at every reload, separately from the audit of the rules.
"""
from collections import deque

from laddergw.edge.front import EdgeFront
from laddergw.lab.continuity_audit import Judge
from laddergw.lab.media_stand_in import ITEM_KB, ITEM_MS
from laddergw.lab.node_stand_in import ITEMS_MS
from laddergw.lab.deployment_model import DEFAULT_PRODUCTS, DeploymentModel, draw_between, draw, build_deployment
from laddergw.lab.player_stand_in import Player, ConnectionPools
from laddergw.lab.script import FaultEvent, temporary_fault, draw_nodes, restart_directors, rolling_deploy
from laddergw.lab.stage_memory import PORT, SETTLE_MS, MemoryStage
from laddergw.programme import rules

TAIL_MS = 330_000.0     # the longest title with its notices, after the last session started
ROUTES = ("/shoreline/", "/board/", "/archive/")
ITEMS = {"tide": 9_000, "news": 9_000, "hearing-day": 12_000, "short": 6_000}


def programme_text(nodes: list[int]) -> str:
    """Programme rules whose notices meet: before the title, at intervals, at fixed times; each item is held by a third of the nodes."""
    def holders_form(name: str) -> str:
        """The nodes that hold an item."""
        return " ".join(str(node) for index, node in enumerate(nodes) if draw(0, name, node) < 0.4 or index % 5 == 0)
    items = "\n".join(f' (item "{name}" (playlist "{name}.m3u8") (length-ms {ms}) (nodes {holders_form(name)}) (rate-kb {ITEM_KB:g})'
                      + (' (shorter "short")' if ms > 6_000 else "") + ")" for name, ms in ITEMS.items())
    return f"""(programme
{items}
 (rule "shore" (items "tide") (before) (routes "/shoreline/") (rank 5) (otherwise shorter))
 (rule "board" (items "hearing-day") (at-ms 0 30000) (routes "/board/") (products hearing permit-notice) (otherwise later))
 (rule "often" (items "news" "short") (every-ms 24000) (gap-ms 8000) (otherwise later)))"""


def fault_script(model: DeploymentModel) -> list[FaultEvent]:
    """Drains and successors throughout; sources die, freeze or fail; of the edges one is killed, one is told to stop and one freezes."""
    time_unit = model.crowd.seconds * 1000 / 120
    events = rolling_deploy(model, 15_000 * time_unit / 1000, 70_000 * time_unit / 1000, 0.5)
    for node in draw_nodes(model, 0.12, "die"):
        at_ms = draw_between(model.seed, 30_000, 90_000, "die", node) * time_unit / 1000
        events += [FaultEvent(at_ms, "die", node), FaultEvent(at_ms + 9_000, "return", node)]
    events += [FaultEvent(draw_between(model.seed, 20_000, 80_000, "still", node) * time_unit / 1000, "still", node, 4_000.0) for node in draw_nodes(model, 0.1, "still")]
    events += temporary_fault(draw_nodes(model, 0.15, "errors"), "errors", 40_000 * time_unit / 1000, 15_000, 0.5)
    events += temporary_fault(draw_nodes(model, 0.1, "stall"), "stall", 60_000 * time_unit / 1000, 12_000, 1.0)
    directors = sorted(range(model.directors), key=lambda number: draw(model.seed, "edge", number))
    at_seconds = lambda seconds: (seconds * 1000 + draw_between(model.seed, 0, 3_000, "edge at", seconds)) * time_unit / 1000
    events += restart_directors(directors[:1], at_seconds(45), 3_000.0)
    events += [FaultEvent(at_seconds(80), "term", directors[1]), FaultEvent(at_seconds(80) + model.finish_ms + 3_000, "start", directors[1])]
    events += [FaultEvent(at_seconds(100), "freeze", directors[2 % model.directors], 2_000.0)]
    return sorted(events)


class StitchedStage(MemoryStage):
    """See the module. `sessions`: how many, spread over the run."""

    def __init__(self, model: DeploymentModel, script: list[FaultEvent], sessions: int):
        programme = rules.read(programme_text([node.node for node in model.nodes]))

        class ProgrammeFront(EdgeFront):
            def __init__(self, *args, **more):
                super().__init__(*args, programme=programme, **more)
        super().__init__(model, script, ProgrammeFront)
        self.sessions, self.players, self.open_sessions = sessions, [], 0
        self.addresses = {number: (f"d{number}", PORT) for number in range(model.directors)}

    def run(self) -> list[tuple]:
        """Starts the fleet, the edges and the players; returns the records in order of time."""
        self.scenario.start_fleet()
        for number in range(self.model.directors):
            self.scenario.directors_up.add(number)
            self.start_director(number)
        self.world.run(self.world.now + SETTLE_MS + self.model.warm_ms)
        host = self.world.host("players")
        wire, start = ConnectionPools(host), self.world.now
        self.scenario.schedule_events()
        for number in range(self.sessions):
            host.call_at(start + session_at(self.model, number, self.sessions), lambda number=number: self.start_session(wire, number))
        end = start + self.model.crowd.seconds * 1000 + TAIL_MS
        while self.world.now < end and (self.open_sessions or self.world.now < start + self.model.crowd.seconds * 1000 + 1_000):
            self.world.run(self.world.now + 1_000)
        self.record("stage ended", self.world.now, done=not self.open_sessions)
        self.records.sort(key=lambda record: record[0])
        return self.records

    def start_session(self, wire: ConnectionPools, number: int) -> None:
        """Starts the player of a session."""
        self.open_sessions += 1
        self.players.append(Player(wire, self.addresses, session_frame(self.model, number), Judge(), self.record, self.session_ended, 900.0))

    def session_ended(self, player: Player) -> None:
        """Called when a player's session has ended."""
        self.open_sessions -= 1


def session_frame(model: DeploymentModel, number: int) -> dict:
    """The request of a session's player, drawn by the seed and the session's number."""
    chance, ware = draw(model.seed, "ware", number), model.wares[-1]
    for candidate in model.wares:
        if chance < candidate.share:
            ware = candidate
            break
        chance -= candidate.share
    title = 1 + int(200 ** draw(model.seed, "title", number))
    return {"key": f"s{number}", "product": ware.name, "title": title, "home": title % model.cells, "copies": model.crowd.copies, "ceiling": 4,
            "wait_ms": ware.wait_ms, "length_ms": 90_000.0, "route": ROUTES[number % len(ROUTES)] + str(title)}


def session_at(model: DeploymentModel, number: int, sessions: int) -> float:
    """When a session starts, ms from the start of the run."""
    return model.crowd.seconds * 1000 * (number + draw(model.seed, "at", number)) / sessions


def stitched_deployment(seed: int, sessions: int, seconds: float) -> DeploymentModel:
    """A deployment with long plays: a title lasts one to three minutes, and links are sized for that."""
    wares = tuple(ware._replace(length_ms=(60_000, 120_000), seats=0) for ware in DEFAULT_PRODUCTS)
    return build_deployment(seed, directors=4, nodes=24, rate=sessions / seconds, seconds=seconds, load=0.6, wares=wares)


def item_share(model: DeploymentModel, records: list[tuple]) -> float:
    """The largest share of a node's link that items of plays on other nodes took within ITEMS_MS, over all edges."""
    sent_times_by_node: dict[int, deque] = {}
    most = 0
    for at, what, facts in records:
        if what == "item sent" and not facts["own"]:
            sent_times = sent_times_by_node.setdefault(facts["node"], deque())
            sent_times.append(at)
            while sent_times[0] < at - ITEMS_MS:
                sent_times.popleft()
            most = max(most, len(sent_times))
    return most * ITEM_KB * ITEM_MS / ITEMS_MS / model.link_unit


def totals(records: list[tuple]) -> dict[str, float]:
    """Counts of what players logged."""
    figures: dict[str, float] = {"timing faults": 0, "stalls": 0, "worst stall ms": 0.0, "played to the end": 0, "broken off": 0,
                              "edges lost by players": 0}
    for _, what, facts in records:
        if what in ("timing fault", "bad playlist"):
            figures["timing faults"] += 1
        elif what == "edge lost":
            figures["edges lost by players"] += 1
        elif what == "session over":
            figures["stalls"] += len(facts["stalls"])
            figures["worst stall ms"] = max([figures["worst stall ms"]] + facts["stalls"])
            figures["played to the end"] += facts["outcome"] == "played"
            figures["broken off"] += facts["outcome"] == "broken"
    return figures



"""A wanted version over a fleet at full size, in memory: how long until 99% and until all that can be reached are on it, bytes at the planner, its longest turn.

    PYTHONPATH=. .venv/bin/python benchmarks/rollout_at_size.py [directors] [nodes] [seed] [--plot FILE]

The planner, its store, the lines' frames and the directors' side of them run as they are; directors themselves are left out but for the list, which changes each
second, and plays counted. One of ten directors is cut off for 40 s as it begins; all come back within a second. Times of the planner are real ones, of what it did
in one turn; the rest is on the virtual clock.
"""
import gc
import json
import os
import sys
import tempfile
import time
from types import SimpleNamespace
from unittest import mock

from laddergw.director.limits_file import InProcessCheck, LimitsFile
from laddergw.fleet.action_counts import ENDED, ADMITTED, PLAYING, SET_UP
from laddergw.interface import READY
from laddergw.lab.network_faults import FaultyNetwork
from laddergw.lab.deployment_model import draw, build_deployment
from laddergw.loop.memory import MemoryNetwork
from laddergw.planner import wire
from laddergw.planner.audit_client import limits_text
from laddergw.planner.planner_client import PlannerClient
from laddergw.planner.server import Planner
from laddergw.store.planner_store import Store
from laddergw.fleet import versions
from laddergw.terms import director_file as director_files
from laddergw.terms.limits import Limits
from laddergw.terms.loading import load, default_terms

PLAYS_A_SECOND = 2         # of each director: 24 a second for each 12
CUT_PART, CUT_MS, SOAK_MS = 0.1, 40_000.0, 5_000.0
PADDING = 60_000           # bytes of comment: a file of some hundred routes
PRODUCTS = ("hearing", "survey-clip", "permit-notice", "oral-history", "reading-room")


class Light:
    """What the planner's line needs of a director."""

    def __init__(self, world: MemoryNetwork, house, number: int, nodes: int):
        self.loop, self.house, self.name = world.host(f"d{number}"), house._replace(number=number), f"d{number}-0"
        self.limits, self.watch, self.pages, self.attempts, self.attempts_by_node = Limits("built in", default_terms(house)), lambda what, **facts: None, {}, {}, {}
        self.stopping, self.bounds, self.random_fraction, self.rate = False, house.bounds, lambda: 0.5, lambda ply: 100.0
        entry = SimpleNamespace(state=READY, weight=1.0, _replace=lambda **changes: "a node")
        self.fleet = SimpleNamespace(entries={1_000 + n: entry for n in range(nodes)}, on_change=lambda *given: None)
        self.controller = SimpleNamespace(observe_load=None)
        self.feed = lambda *given: None

    def change_limits(self, limits) -> None:
        self.limits = limits
        self.watch("limits changed", generation=2)

    def limits_refused(self, texts) -> None:
        self.watch("limits refused", first=texts[0])


class Fleet:
    def __init__(self, directors: int, nodes: int, seed: int, folder: str):
        self.world, self.seed, self.size = MemoryNetwork(seed), seed, 0
        self.turns: list[float] = []
        world = self.world
        host = world.host("p0")
        self.planner = Planner(host, "p0.1", ("p0", 8300), Store(os.path.join(folder, "store")), (("lab", b"key of the planners"),), clock=lambda: time.perf_counter() * 1000)
        self.time_turns(host)
        house = director_files.read(build_deployment(seed, directors=directors, nodes=12).director_file(0, ("d0", 1), ("list", 1), seed))
        self.lines, self.directors, self.sides = FaultyNetwork(world.host("relay"), lambda *given, **facts: None, seed), [], []
        for number in range(directors):
            light = Light(world, house, number, nodes)
            line = self.lines.add_link(f"d{number}", "p0", ("relay", 9_000 + number), lambda: ("p0", 8300))
            side = PlannerClient(light, (line.address,), (("lab", b"key of the planners"),))
            path = os.path.join(folder, f"limits.{number}")
            with open(path, "wb") as stream:
                stream.write(b"(limits)")
            side.audit.accept_files(LimitsFile(light.loop, path, InProcessCheck(light.house), light.change_limits, light.limits_refused, b"(limits)").bring)
            self.directors.append(light)
            self.sides.append(side)

    def time_turns(self, host) -> None:
        """Real time of each turn of the planner."""
        turn = host.turn

        def timed(*given):
            began = time.perf_counter()
            turn(*given)
            self.turns.append((time.perf_counter() - began) * 1000)
        host.turn = timed

    def second(self, number: int) -> None:
        """Plays, and a list that changes."""
        for index, side in enumerate(self.sides):
            stamps, now = side.audit.action_counts, self.world.now
            for n in range(PLAYS_A_SECOND):
                for action in ADMITTED, SET_UP, PLAYING, ENDED:
                    stamps.record(f"v{index}-{number}-{n}", PRODUCTS[(index + n) % len(PRODUCTS)], stamps.current_id, action, now)
            side.audit.active_versions[versions.LIST] = versions.version(versions.LIST, [str(number)])
            side.audit.update_version_set()

    def on_it(self, name: str) -> int:
        return sum(side.audit.active_versions[versions.LIMITS].hash == name for side in self.sides)


def counted(fleet: Fleet):
    """Each byte is read once, at one of the two ends."""
    feed = wire.Unpacker.feed

    def fed(unpacker, data):
        fleet.size += len(data)
        return feed(unpacker, data)
    return mock.patch.object(wire.Unpacker, "feed", fed)


def play(directors: int, nodes: int, seed: int, folder: str) -> tuple[Fleet, list[tuple[float, int]]]:
    fleet = Fleet(directors, nodes, seed, folder)
    with counted(fleet):
        return fleet, wanted(fleet, directors, nodes, seed)


def wanted(fleet: Fleet, directors: int, nodes: int, seed: int) -> list[tuple[float, int]]:
    world = fleet.world
    world.run(world.now + 3_000)
    data = b"(limits (defaults (attempts 2)))\n; " + b"x" * PADDING
    name = versions.version(versions.LIMITS, limits_text(load(data, "wanted", fleet.directors[0].house).limits)).hash
    fleet.planner.loop.now = world.now
    said = json.loads(fleet.planner.auditor.answer_question(wire.Ask("want", f"limits {name}", 0.0, data, {"soak_ms": SOAK_MS})))
    assert "refused" not in said, said
    cut = [n for n in range(directors) if draw(seed, "cut", n) < CUT_PART]
    lines = [fleet.lines.by_ends[f"d{n}", "p0"] for n in cut]
    for line in lines:
        line.fault("hole")
    began, curve = world.now, []
    fleet.turns.clear()
    fleet.size = 0
    for step in range(4 * 90):
        if step % 4 == 0:
            fleet.second(step // 4)
        world.run(world.now + 250.0)
        curve.append((world.now - began, fleet.on_it(name)))
        if world.now - began >= CUT_MS and lines:
            for line in lines:
                line.loop.now = world.now
                line.fault("heal")
            lines = []
        if curve[-1][1] == directors:
            break
    print(f"{directors} directors, {nodes} nodes, seed {seed}, {len(cut)} cut off for {CUT_MS / 1000:.0f} s, steps of {SOAK_MS / 1000:.0f} s:")
    when = lambda least: next((f"{at / 1000:.1f} s" for at, on in curve if on >= least), "not within 90 s")
    print(f"  on it: 2 after {when(2)}, half after {when(directors / 2)}, 99% of those in reach after {when(0.99 * (directors - len(cut)))}, all after {when(directors)}")
    turns = sorted(fleet.turns)
    print(f"  planner: {fleet.size / (world.now - began) * 1000 / 1000:.0f} kB/s read at both ends, busy {sum(turns) / (world.now - began) * 100:.1f}% of the time, "
          f"turns p50 {turns[len(turns) // 2]:.2f}, p99 {turns[len(turns) * 99 // 100]:.1f}, longest {turns[-1]:.1f} ms of {len(turns)}")
    return curve


def plot(path: str, curves: dict[str, list[tuple[float, int]]]) -> None:
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for name, curve in curves.items():
        axes.step([at / 1000 for at, _ in curve], [on for _, on in curve], where="post", label=name)
    axes.set(xlabel="s after it was wanted", ylabel="directors on it", title="A wanted version over a fleet (in memory)")
    axes.legend()
    axes.grid(alpha=0.3)
    figure.savefig(path, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    words = [word for word in sys.argv[1:] if not word.startswith("--")]
    picture = sys.argv[sys.argv.index("--plot") + 1] if "--plot" in sys.argv else None
    count, size, first = (int(word) for word in ([w for w in words if w != picture] + ["230", "400", "1"])[:3])
    curves = {}
    for calm in (False, True):
        if calm:
            gc.disable()                         # as planner/program.py does
        print("collector of cycles " + ("as the planner sets it" if calm else "as Python has it"))
        with tempfile.TemporaryDirectory() as place:
            fleet, curves[f"{count} directors, a tenth cut off"] = play(count, size, first, place)
            del fleet
            gc.collect()
    if picture:
        plot(picture, curves)

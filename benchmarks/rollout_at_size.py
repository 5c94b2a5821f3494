"""Measures a rollout over a fleet of full size in memory: time until 99% and until all reachable directors are on it, bytes at the planner, its longest loop turn.

    PYTHONPATH=. .venv/bin/python benchmarks/rollout_at_size.py [directors] [nodes] [seed] [--plot FILE]

The planner, its store, the frames and the directors' clients are the real ones; of the directors themselves there are only the fleet list, which changes each second, and
counted plays. One director in ten is cut off for 40 s at the start; all of them return within a second. The planner's times are real time, of what it did in one loop turn;
all other times are on the virtual clock.
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
from laddergw.fleet.action_counts import ADMITTED, ENDED, PLAYING, SET_UP
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

# Of each director: 24 a second for each 12.
PLAYS_PER_SECOND = 2
CUT_SHARE, CUT_MS, SOAK_MS = 0.1, 40_000.0, 5_000.0
# A comment that makes the file as large as one with some hundred routes.
PADDING_BYTES = 60_000
PRODUCTS = ("hearing", "survey-clip", "permit-notice", "oral-history", "reading-room")


class DirectorStub:
    """The parts of a director that its connection to the planner needs."""

    def __init__(self, world: MemoryNetwork, house, number: int, nodes: int):
        self.loop, self.house, self.name = world.host(f"d{number}"), house._replace(number=number), f"d{number}-0"
        self.limits, self.watch, self.pages, self.attempts, self.attempts_by_node = Limits("built in", default_terms(house)), lambda what, **facts: None, {}, {}, {}
        self.stopping, self.bounds, self.random_fraction, self.rate = False, house.bounds, lambda: 0.5, lambda ply: 100.0
        entry = SimpleNamespace(state=READY, weight=1.0, _replace=lambda **changes: "a node")
        self.fleet = SimpleNamespace(entries={1_000 + n: entry for n in range(nodes)}, on_change=lambda *given: None)
        self.controller = SimpleNamespace(observe_load=None)
        self.feed = lambda *given: None

    def change_limits(self, limits) -> None:
        """Puts limits in force."""
        self.limits = limits
        self.watch("limits changed", generation=2)

    def limits_refused(self, texts) -> None:
        """Reports limits that were refused."""
        self.watch("limits refused", first=texts[0])


class Fleet:
    """A planner, its links and its directors. `bytes_read`: at both ends of the links; `turns`: ms of each loop turn of the planner."""

    def __init__(self, directors: int, nodes: int, seed: int, folder: str):
        self.world, self.seed, self.bytes_read = MemoryNetwork(seed), seed, 0
        self.turns: list[float] = []
        world = self.world
        host = world.host("p0")
        self.planner = Planner(host, "p0.1", ("p0", 8300), Store(os.path.join(folder, "store")), (("lab", b"key of the planners"),), clock=lambda: time.perf_counter() * 1000)
        self.time_turns(host)
        house = director_files.read(build_deployment(seed, directors=directors, nodes=12).director_file(0, ("d0", 1), ("list", 1), seed))
        self.lines, self.directors, self.sides = FaultyNetwork(world.host("relay"), lambda *given, **facts: None, seed), [], []
        for number in range(directors):
            director = DirectorStub(world, house, number, nodes)
            line = self.lines.add_link(f"d{number}", "p0", ("relay", 9_000 + number), lambda: ("p0", 8300))
            side = PlannerClient(director, (line.address,), (("lab", b"key of the planners"),))
            path = os.path.join(folder, f"limits.{number}")
            with open(path, "wb") as stream:
                stream.write(b"(limits)")
            side.audit.accept_files(LimitsFile(director.loop, path, InProcessCheck(director.house), director.change_limits, director.limits_refused, b"(limits)").bring)
            self.directors.append(director)
            self.sides.append(side)

    def time_turns(self, host) -> None:
        """Measures the real time of each loop turn of the planner."""
        turn = host.turn

        def timed(*given):
            began = time.perf_counter()
            turn(*given)
            self.turns.append((time.perf_counter() - began) * 1000)
        host.turn = timed

    def play_second(self, number: int) -> None:
        """Counts a second of plays, and changes the fleet list."""
        for index, side in enumerate(self.sides):
            actions, now = side.audit.action_counts, self.world.now
            for n in range(PLAYS_PER_SECOND):
                for action in ADMITTED, SET_UP, PLAYING, ENDED:
                    actions.record(f"v{index}-{number}-{n}", PRODUCTS[(index + n) % len(PRODUCTS)], actions.current_id, action, now)
            side.audit.active_versions[versions.LIST] = versions.version(versions.LIST, [str(number)])
            side.audit.update_version_set()

    def on_it(self, name: str) -> int:
        """Returns how many directors are on a version."""
        return sum(side.audit.active_versions[versions.LIMITS].hash == name for side in self.sides)


def counting_bytes(fleet: Fleet):
    """Counts the bytes that are read; each is read once, at one of the two ends."""
    feed = wire.Unpacker.feed

    def counting_feed(unpacker, data):
        fleet.bytes_read += len(data)
        return feed(unpacker, data)
    return mock.patch.object(wire.Unpacker, "feed", counting_feed)


def play(directors: int, nodes: int, seed: int, folder: str) -> tuple[Fleet, list[tuple[float, int]]]:
    """Runs one rollout; returns the fleet and how many directors were on the version at each time."""
    fleet = Fleet(directors, nodes, seed, folder)
    with counting_bytes(fleet):
        return fleet, roll_out(fleet, directors, nodes, seed)


def roll_out(fleet: Fleet, directors: int, nodes: int, seed: int) -> list[tuple[float, int]]:
    """Rolls out a version, prints the measurements and returns how many directors were on it at each time (ms)."""
    world = fleet.world
    world.run(world.now + 3_000)
    data = b"(limits (defaults (attempts 2)))\n; " + b"x" * PADDING_BYTES
    name = versions.version(versions.LIMITS, limits_text(load(data, "wanted", fleet.directors[0].house).limits)).hash
    fleet.planner.loop.now = world.now
    answer = json.loads(fleet.planner.auditor.answer_question(wire.Ask("want", f"limits {name}", 0.0, data, {"soak_ms": SOAK_MS})))
    assert "refused" not in answer, answer
    cut = [n for n in range(directors) if draw(seed, "cut", n) < CUT_SHARE]
    cut_links = [fleet.lines.by_ends[f"d{n}", "p0"] for n in cut]
    for link in cut_links:
        link.fault("hole")
    began, curve = world.now, []
    fleet.turns.clear()
    fleet.bytes_read = 0
    for step in range(4 * 90):
        if step % 4 == 0:
            fleet.play_second(step // 4)
        world.run(world.now + 250.0)
        curve.append((world.now - began, fleet.on_it(name)))
        if world.now - began >= CUT_MS and cut_links:
            for link in cut_links:
                link.loop.now = world.now
                link.fault("heal")
            cut_links = []
        if curve[-1][1] == directors:
            break
    print(f"{directors} directors, {nodes} nodes, seed {seed}, {len(cut)} cut off for {CUT_MS / 1000:.0f} s, steps of {SOAK_MS / 1000:.0f} s:")
    when = lambda minimum: next((f"{at / 1000:.1f} s" for at, on in curve if on >= minimum), "not within 90 s")
    print(f"  on it: 2 after {when(2)}, half after {when(directors / 2)}, 99% of those in reach after {when(0.99 * (directors - len(cut)))}, all after {when(directors)}")
    turns = sorted(fleet.turns)
    print(f"  planner: {fleet.bytes_read / (world.now - began) * 1000 / 1000:.0f} kB/s read at both ends, busy {sum(turns) / (world.now - began) * 100:.1f}% of the time, "
          f"turns p50 {turns[len(turns) // 2]:.2f}, p99 {turns[len(turns) * 99 // 100]:.1f}, longest {turns[-1]:.1f} ms of {len(turns)}")
    return curve


def plot(path: str, curves: dict[str, list[tuple[float, int]]]) -> None:
    """Draws the curves into an image file."""
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
    count, node_count, seed = (int(word) for word in ([w for w in words if w != picture] + ["230", "400", "1"])[:3])
    curves = {}
    for without_gc in (False, True):
        if without_gc:
            # As planner/program.py does.
            gc.disable()
        print("collector of cycles " + ("as the planner sets it" if without_gc else "as Python has it"))
        with tempfile.TemporaryDirectory() as folder:
            fleet, curves[f"{count} directors, a tenth cut off"] = play(count, node_count, seed, folder)
            del fleet
            gc.collect()
    if picture:
        plot(picture, curves)

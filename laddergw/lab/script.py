"""Scripts of fault events, drawn by seed: which node or director fails, how and when. A script is a list of FaultEvent in order of time."""
from typing import NamedTuple

from laddergw.lab.deployment_model import DeploymentModel, draw_between, draw


class FaultEvent(NamedTuple):
    """A fault or operation at a time (ms from the start). `who`: node or director; `value`: the kind's parameter."""
    at: float
    kind: str
    who: int = 0
    value: float | None = None


# Kinds that a stage supports: on nodes, on directors, on the fleet list
NODE_FAULTS = ("still", "errors", "mute", "late", "cut", "drip", "lose", "hush", "sag", "stall")
KINDS = NODE_FAULTS + ("heal", "die", "vanish", "return", "replace", "withdraw", "succeed", "kill", "start", "freeze", "term", "list-out", "list-back", "list-lag")


def draw_nodes(model: DeploymentModel, share: float, *what) -> list[int]:
    """A drawn share of the nodes, at least one."""
    nodes = sorted((node.node for node in model.nodes), key=lambda node: draw(model.seed, "pick", node, *what))
    return nodes[:max(1, round(share * len(nodes)))]


def rolling_deploy(model: DeploymentModel, at: float, duration_ms: float, share: float) -> list[FaultEvent]:
    """Nodes drain and are replaced by cold nodes, one after the other."""
    nodes = draw_nodes(model, share, "deploy", at)
    return [FaultEvent(at + duration_ms * index / len(nodes), "replace", node, draw_between(model.seed, 1_500, 3_500, "drain", node))
            for index, node in enumerate(nodes)]


def temporary_fault(nodes: list[int], kind: str, at: float, ms: float, value: float | None) -> list[FaultEvent]:
    """A fault on some nodes that heals after `ms`."""
    return [event for node in nodes for event in (FaultEvent(at, kind, node, value), FaultEvent(at + ms, "heal", node, NODE_FAULTS.index(kind)))]


def restart_directors(directors: list[int], at: float, down_ms: float) -> list[FaultEvent]:
    """Directors are killed at one time and started again one after the other, 150 ms apart by number."""
    return [event for d in directors for event in (FaultEvent(at, "kill", d), FaultEvent(at + down_ms + 150 * d, "start", d))]


def bad_day(model: DeploymentModel) -> list[FaultEvent]:
    """Overlapping faults over one minute, with times scaled to the rehearsal's length."""
    seed, unit = model.seed, model.crowd.seconds * 1000 / 60
    at = lambda seconds: seconds * unit + draw_between(seed, 0, 1_500, "at", seconds)
    directors = sorted(range(model.directors), key=lambda d: draw(seed, "director", d))
    half = directors[:max(1, model.directors // 2)]
    survivor = directors[-1]
    script = rolling_deploy(model, at(6), 28 * unit, 0.7)
    script += [FaultEvent(at(10), "still", node, draw_between(seed, 5_000, 9_000, "still", node)) for node in draw_nodes(model, 0.12, "still")]
    for node in draw_nodes(model, 0.12, "vanish"):
        script += [FaultEvent(at(16), "vanish", node), FaultEvent(at(16) + draw_between(seed, 8_000, 14_000, "back", node), "return", node)]
    for node in draw_nodes(model, 0.08, "die"):
        script += [FaultEvent(at(38), "die", node), FaultEvent(at(38) + draw_between(seed, 5_000, 9_000, "back", node), "return", node)]
    script += temporary_fault(draw_nodes(model, 0.15, "errors"), "errors", at(20), 10 * unit, 0.8)
    script += temporary_fault(draw_nodes(model, 0.25, "lose"), "lose", at(44), 8 * unit, 0.4)
    script += temporary_fault(draw_nodes(model, 0.12, "cut"), "cut", at(46), 6 * unit, 0.5)
    script += temporary_fault(draw_nodes(model, 0.08, "mute"), "mute", at(50), 5 * unit, 1.0)
    script += temporary_fault(draw_nodes(model, 0.08, "drip"), "drip", at(12), 6 * unit, 1.0)
    script += temporary_fault(draw_nodes(model, 0.12, "late"), "late", at(32), 8 * unit, 900.0)
    script += temporary_fault(draw_nodes(model, 0.15, "sag"), "sag", at(28), 10 * unit, 0.5)
    script += [FaultEvent(at(22), "list-out"), FaultEvent(at(22) + 8_000 * unit / 1000, "list-back")]
    script += restart_directors(half, at(30), draw_between(seed, 1_500, 4_000, "away"))
    script += [FaultEvent(at(42), "freeze", survivor, 2_000.0)]
    script += [FaultEvent(at(52), "term", half[0]), FaultEvent(at(52) + model.finish_ms + 1_500, "start", half[0])]
    return sorted(script)

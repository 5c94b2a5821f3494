"""Bench days as rehearsals: a day's file to a plant and a script, one handler a kind of trouble.

What a rehearsal cannot show the same way is said in `said`, never skipped silently. Times in a day's file are microseconds.
"""
import json
from pathlib import Path
from typing import Callable, NamedTuple

from laddergw.lab.node_stand_in import NodeFacts
from laddergw.lab.deployment_model import DeploymentModel, ProductModel
from laddergw.lab.script import FaultEvent, temporary_fault
from laddergw.lab.viewers_stand_in import Audience, Crowd

REPEATS = {"safe": "safe", "pure": "safe", "keyed": "keyed", "token": "keyed", "unsafe": "paid", "side_effect": "paid"}
AGEING_STEPS = 5           # an ageing node gets slower in so many steps
RACK_BASE = 1_000          # node ids in rehearsals: a server's place in the day's file on top of this
COPIES = 3                 # cells that hold a title: the least of the bench; its own draw by title is not in the file


class InvalidDayFile(Exception):
    """A day's file that cannot be played; the text says where."""


class Mapped(NamedTuple):
    """A day as a rehearsal."""
    model: DeploymentModel
    script: list[FaultEvent]
    said: list[str]


class Day:
    """A day being mapped: the file, the compression, and what is gathered for crowd and script."""

    def __init__(self, day: dict, speed: float):
        self.day, self.speed, self.said = day, speed, []
        self.script: list[FaultEvent] = []
        self.bursts, self.hot = [], []

    def ms(self, us: float) -> float:
        return us / 1000 / self.speed

    def s(self, us: float) -> float:
        return us / 1e6 / self.speed

    def nodes(self, trouble: dict) -> list[int]:
        return [RACK_BASE + index for index in trouble.get("on", ())]


def crash(d: Day, t: dict, how: str = "die") -> None:
    for node in d.nodes(t):
        d.script += [FaultEvent(d.ms(t["at"]), how, node), FaultEvent(d.ms(t["at"] + t["len"]), "return", node)]


def vanish(d: Day, t: dict) -> None:
    crash(d, t, "vanish")


def slow(d: Day, t: dict) -> None:
    d.script += temporary_fault(d.nodes(t), "sag", d.ms(t["at"]), d.ms(t["len"]), 1 / max(t["size"], 1.0))


def hang(d: Day, t: dict) -> None:
    d.script += [FaultEvent(d.ms(t["at"]), "still", node, d.ms(t["len"])) for node in d.nodes(t)]


def fast_errors(d: Day, t: dict) -> None:
    d.script += temporary_fault(d.nodes(t), "errors", d.ms(t["at"]), d.ms(t["len"]), t["size"])


def burst(d: Day, t: dict) -> None:
    d.bursts.append((d.s(t["at"]), d.s(t["at"] + t["len"]), t["size"]))


def hot_key(d: Day, t: dict) -> None:
    d.hot.append((d.s(t["at"]), d.s(t["at"] + t["len"]), t["size"], int(t["extra"])))


def deploy(d: Day, t: dict) -> None:
    for step in t["steps"]:
        for index in step["stop"]:
            d.script.append(FaultEvent(d.ms(step["at"]), "replace", RACK_BASE + index, d.ms(t["extra"] * 1e6)))


def preempt(d: Day, t: dict) -> None:
    for step in t["steps"]:
        for index in step["stop"]:
            at, warning = d.ms(step["at"]), max(1.0, d.ms(t["size"] * 1e6))
            d.script += [FaultEvent(at, "withdraw", RACK_BASE + index, warning),
                         FaultEvent(at + warning + d.ms(t["extra"] * 1e6), "succeed", RACK_BASE + index)]


def discovery_down(d: Day, t: dict) -> None:
    d.script += [FaultEvent(d.ms(t["at"]), "list-out"), FaultEvent(d.ms(t["at"] + t["len"]), "list-back")]


def discovery_stale(d: Day, t: dict) -> None:
    d.script += [FaultEvent(d.ms(t["at"]), "list-lag", 0, d.ms(t["size"] * 1e6)), FaultEvent(d.ms(t["at"] + t["len"]), "list-lag", 0, 0.0)]


def balancer_crash(d: Day, t: dict) -> None:
    for director in t["on"]:
        d.script += [FaultEvent(d.ms(t["at"]), "kill", director), FaultEvent(d.ms(t["at"] + t["len"]), "start", director)]


def balancer_stall(d: Day, t: dict) -> None:
    """Each stands still `size` ms, again after `extra` s of work, until the trouble's end; apart: not all at one moment."""
    period = t["size"] / 1000 + max(t["extra"], 0.1)
    for place, director in enumerate(t["on"]):
        start = t["at"] / 1e6 + (period * place / max(1, len(t["on"])) if t.get("how") == "apart" else 0.0)
        while start < (t["at"] + t["len"]) / 1e6:
            d.script.append(FaultEvent(d.ms(start * 1e6), "freeze", director, t["size"]))
            start += period


def ageing(d: Day, t: dict) -> None:
    for node in d.nodes(t):
        for step in range(1, AGEING_STEPS + 1):
            slower = t["size"] ** (step / AGEING_STEPS)
            at = d.ms(t["at"] + t["len"] * (step - 1) / AGEING_STEPS)
            d.script += [FaultEvent(at, "sag", node, 1 / slower), FaultEvent(at, "late", node, 80.0 * (slower - 1))]
        d.script += [FaultEvent(d.ms(t["at"] + t["len"]), "die", node),
                     FaultEvent(d.ms(t["at"] + t["len"] + t["extra"] * 1e6), "return", node)]


def answer_lost(d: Day, t: dict) -> None:
    kind = "lose" if t.get("how") == "reset" else "hush"
    d.script += temporary_fault(d.nodes(t), kind, d.ms(t["at"]), d.ms(t["len"]), t["size"])


HANDLERS: dict[str, Callable[[Day, dict], None]] = {handler.__name__: handler for handler in (
    ageing, answer_lost, balancer_crash, balancer_stall, burst, crash, deploy, discovery_down, discovery_stale, fast_errors,
    hang, hot_key, preempt, slow, vanish)}


def read(path: Path, seed: int, speed: float = 1.0) -> Mapped:
    """The day in a file. Raises Unreadable with the place and the reason."""
    try:
        day = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise InvalidDayFile(f"{path}: {error}") from None
    if not speed > 0:
        raise InvalidDayFile(f"--speed {speed}: must be over 0")
    d = Day(day, speed)
    try:
        for trouble in day["troubles"]:
            handler = HANDLERS.get(trouble["kind"])
            if handler is None:
                d.said.append(f"not played: trouble {trouble['kind']!r} at {trouble['at'] / 1e6:.1f} s has no handler")
            else:
                handler(d, trouble)
        model = deployment_of(d, seed)
    except (KeyError, IndexError, TypeError) as error:
        raise InvalidDayFile(f"{path}: not a day of this form: {type(error).__name__}: {error}") from None
    d.said += notes_on(d, model)
    return Mapped(model, sorted(d.script, key=lambda t: t.at), d.said)


def notes_on(d: Day, model: DeploymentModel) -> list[str]:
    said = ["played otherwise than on the bench: set-up work is uniform, titles' holders are "
            f"{COPIES} cells each, loads told are exact, plays under way at the start and moves are left out"]
    if d.speed != 1.0:
        said.append(f"time compressed {d.speed:g} times: arrivals {d.speed:g} times as dense, plays and troubles as much shorter; "
                    "time limits, leases and warm-up are not compressed")
    said.append(f"day {d.day.get('site', '?')} {d.day.get('kind', '')}: {model.directors} directors, {len(model.nodes)} nodes, "
                f"{model.crowd.rate:.1f} plays a second for {model.crowd.seconds:.0f} s, "
                f"troubles {', '.join(t['kind'] for t in d.day['troubles']) or 'none'}")
    return said


def deployment_of(d: Day, seed: int) -> DeploymentModel:
    """The day's fleet, products and viewers."""
    day, fam, tier = d.day, d.day["fam"], d.day["tiers"][0]
    kinds, cells, racks = tier["kinds"], fam["cells"], fam["racks"]
    servers = [(index, server) for index, server in enumerate(day["servers"]) if server["up"] and server["tier"] == 0]
    nodes = tuple(node_facts(d, index, server, kinds, fam) for index, server in servers)
    wares = tuple(ware(d, entry, use, fam) for entry, use in zip(day["classes"], fam["uses"]))
    audiences = tuple(Audience(w.name, w.share, w.wait_ms, w.aim_ms, w.length_ms, w.importance, w.repeat == "paid",
                               entry.get("hinted", False)) for w, entry in zip(wares, day["classes"]))
    clients, traffic, found = day["clients"], day["traffic"], day["discovery"]
    back = clients["backoff_us"] / 1000
    crowd = Crowd(traffic["load"] * fam["capacity"] * d.speed, d.s(day["length"]), audiences, fam["titles"], cells, min(COPIES, cells),
                  len(fam["rates"]), fam["small_screens"], day["clients"].get("impatient", 0.0), 0.02, fam["returns"],
                  2 + int(clients["retries"]), (max(back, 50.0), max(back, 50.0) + fam["rejoin_us"] / 1000),
                  tuple((at / d.speed, times) for at, times in traffic["shape"]) or ((0.0, 1.0),), tuple(d.bursts), tuple(d.hot))
    budget = day.get("budget")
    return DeploymentModel(
        seed, len([b for b in day["balancers"] if b["tier"] == 0]), nodes, racks, sum(fam["uplink_kb"]) / len(fam["uplink_kb"]), wares,
        crowd, tuple(fam["rates"]), tuple(fam["worth"]), cells, fam["core_kb"],
        tuple(max(1, int(kind["cores"] * fam["core_slots"])) for kind in kinds), tier["stated_cold_from"], tier["stated_cold"] / 1000,
        day["fall_multiple"], day["fall_for"] / 1000, day["drain_grace"] / 1000, day["allow"]["max_attempts"],
        (budget["free"], budget["share"], budget["window"] / 1000) if budget and budget["share"] else None, fam["see"] / 1000,
        (found["notice"] / 2000, found["notice"] / 1000), (found["silent_notice"] / 2000, found["silent_notice"] / 1000))


def node_facts(d: Day, index: int, server: dict, kinds: list, fam: dict) -> NodeFacts:
    kind = kinds[server["kind"]]
    return NodeFacts(
        node=RACK_BASE + index, cell=server["cell"], kind=server["kind"], weight=server["weight"],
        link_kb=fam["core_kb"] * kind["cores"] * server["speed"], streams=max(1, int(kind["cores"] * fam["core_slots"])),
        work_ms=(40.0, 120.0), cold_from=kind["cold_from"], warm_ms=kind["cold"] / 1000, fall_multiple=d.day["fall_multiple"],
        fall_ms=d.day["fall_for"] / 1000, guard=fam["guard"], rate_spread=fam["vary"])


def ware(d: Day, entry: dict, use: dict, fam: dict) -> ProductModel:
    life = fam["life_s"] * use["life"] * 1000 / d.speed
    return ProductModel(entry["name"], entry["share"], entry["worth"], REPEATS[entry["effect"]], entry["deadline"] / 1000, entry["aim"] / 1000,
                (life * 0.4, life * 1.6), use["floor"], use["seats"], use["scale"], entry["window"] / 1000,
                min(use["top"], len(fam["rates"]) - 1))

"""Bench days as rehearsals: maps a day's file to a deployment model and a script, with one handler for each kind of fault.

Whatever a rehearsal cannot play the same way is listed in `said`, never skipped silently. Times in a day's file are microseconds.
"""
import json
from pathlib import Path
from typing import Callable, NamedTuple

from laddergw.lab.node_stand_in import NodeFacts
from laddergw.lab.deployment_model import DeploymentModel, ProductModel
from laddergw.lab.script import FaultEvent, temporary_fault
from laddergw.lab.viewers_stand_in import Audience, Crowd

RETRY_SAFETY = {"safe": "safe", "pure": "safe", "keyed": "keyed", "token": "keyed", "unsafe": "paid", "side_effect": "paid"}
AGEING_STEPS = 5           # an ageing node slows down in this many steps
NODE_ID_BASE = 1_000       # a node's id in a rehearsal is this plus the server's index in the day's file
TITLE_COPIES = 3           # cells that hold a title: the bench's minimum; its own draw by title is not in the file


class InvalidDayFile(Exception):
    """A day's file that cannot be played; the text says where it is faulty."""


class MappedDay(NamedTuple):
    """A day as a rehearsal. `said` lists what is played differently."""
    model: DeploymentModel
    script: list[FaultEvent]
    said: list[str]


class DayMapping:
    """A day being mapped: its file, the time compression, and the script, bursts and hot titles collected so far."""

    def __init__(self, day: dict, speed: float):
        self.file, self.speed, self.said = day, speed, []
        self.script: list[FaultEvent] = []
        self.bursts, self.hot = [], []

    def to_ms(self, us: float) -> float:
        """Compressed time in ms."""
        return us / 1000 / self.speed

    def to_s(self, us: float) -> float:
        """Compressed time in s."""
        return us / 1e6 / self.speed

    def nodes(self, fault: dict) -> list[int]:
        """Ids of the nodes that a fault affects."""
        return [NODE_ID_BASE + index for index in fault.get("on", ())]


def crash(mapping: DayMapping, fault: dict, kind: str = "die") -> None:
    """Nodes die and return when the fault ends."""
    for node in mapping.nodes(fault):
        mapping.script += [FaultEvent(mapping.to_ms(fault["at"]), kind, node),
                           FaultEvent(mapping.to_ms(fault["at"] + fault["len"]), "return", node)]


def vanish(mapping: DayMapping, fault: dict) -> None:
    """Nodes vanish silently and return when the fault ends."""
    crash(mapping, fault, "vanish")


def slow(mapping: DayMapping, fault: dict) -> None:
    """Nodes deliver at a fraction of their rate."""
    mapping.script += temporary_fault(mapping.nodes(fault), "sag", mapping.to_ms(fault["at"]), mapping.to_ms(fault["len"]), 1 / max(fault["size"], 1.0))


def hang(mapping: DayMapping, fault: dict) -> None:
    """Nodes freeze for the fault's length."""
    mapping.script += [FaultEvent(mapping.to_ms(fault["at"]), "still", node, mapping.to_ms(fault["len"])) for node in mapping.nodes(fault)]


def fast_errors(mapping: DayMapping, fault: dict) -> None:
    """Nodes fail a share of set-ups."""
    mapping.script += temporary_fault(mapping.nodes(fault), "errors", mapping.to_ms(fault["at"]), mapping.to_ms(fault["len"]), fault["size"])


def burst(mapping: DayMapping, fault: dict) -> None:
    """More arrivals for a time."""
    mapping.bursts.append((mapping.to_s(fault["at"]), mapping.to_s(fault["at"] + fault["len"]), fault["size"]))


def hot_key(mapping: DayMapping, fault: dict) -> None:
    """A share of the arrivals wants few titles for a time."""
    mapping.hot.append((mapping.to_s(fault["at"]), mapping.to_s(fault["at"] + fault["len"]), fault["size"], int(fault["extra"])))


def deploy(mapping: DayMapping, fault: dict) -> None:
    """Nodes are drained and replaced, step by step."""
    for step in fault["steps"]:
        for index in step["stop"]:
            mapping.script.append(FaultEvent(mapping.to_ms(step["at"]), "replace", NODE_ID_BASE + index, mapping.to_ms(fault["extra"] * 1e6)))


def preempt(mapping: DayMapping, fault: dict) -> None:
    """Nodes are withdrawn after a warning and replaced later."""
    for step in fault["steps"]:
        for index in step["stop"]:
            at, warning = mapping.to_ms(step["at"]), max(1.0, mapping.to_ms(fault["size"] * 1e6))
            mapping.script += [FaultEvent(at, "withdraw", NODE_ID_BASE + index, warning),
                               FaultEvent(at + warning + mapping.to_ms(fault["extra"] * 1e6), "succeed", NODE_ID_BASE + index)]


def discovery_down(mapping: DayMapping, fault: dict) -> None:
    """The fleet list is unreachable."""
    mapping.script += [FaultEvent(mapping.to_ms(fault["at"]), "list-out"), FaultEvent(mapping.to_ms(fault["at"] + fault["len"]), "list-back")]


def discovery_stale(mapping: DayMapping, fault: dict) -> None:
    """The fleet list lags."""
    mapping.script += [FaultEvent(mapping.to_ms(fault["at"]), "list-lag", 0, mapping.to_ms(fault["size"] * 1e6)),
                       FaultEvent(mapping.to_ms(fault["at"] + fault["len"]), "list-lag", 0, 0.0)]


def balancer_crash(mapping: DayMapping, fault: dict) -> None:
    """Directors are killed and started again."""
    for director in fault["on"]:
        mapping.script += [FaultEvent(mapping.to_ms(fault["at"]), "kill", director), FaultEvent(mapping.to_ms(fault["at"] + fault["len"]), "start", director)]


def balancer_stall(mapping: DayMapping, fault: dict) -> None:
    """Each director freezes for `size` ms, again after `extra` s of work, until the fault's end. With "apart", not all at the same time."""
    period_s = fault["size"] / 1000 + max(fault["extra"], 0.1)
    for place, director in enumerate(fault["on"]):
        start = fault["at"] / 1e6 + (period_s * place / max(1, len(fault["on"])) if fault.get("how") == "apart" else 0.0)
        while start < (fault["at"] + fault["len"]) / 1e6:
            mapping.script.append(FaultEvent(mapping.to_ms(start * 1e6), "freeze", director, fault["size"]))
            start += period_s


def ageing(mapping: DayMapping, fault: dict) -> None:
    """Nodes slow down step by step, die, and return."""
    for node in mapping.nodes(fault):
        for step in range(1, AGEING_STEPS + 1):
            slower = fault["size"] ** (step / AGEING_STEPS)
            at = mapping.to_ms(fault["at"] + fault["len"] * (step - 1) / AGEING_STEPS)
            mapping.script += [FaultEvent(at, "sag", node, 1 / slower), FaultEvent(at, "late", node, 80.0 * (slower - 1))]
        mapping.script += [FaultEvent(mapping.to_ms(fault["at"] + fault["len"]), "die", node),
                           FaultEvent(mapping.to_ms(fault["at"] + fault["len"] + fault["extra"] * 1e6), "return", node)]


def answer_lost(mapping: DayMapping, fault: dict) -> None:
    """Nodes lose the answers of a share of set-ups."""
    kind = "lose" if fault.get("how") == "reset" else "hush"
    mapping.script += temporary_fault(mapping.nodes(fault), kind, mapping.to_ms(fault["at"]), mapping.to_ms(fault["len"]), fault["size"])


HANDLERS: dict[str, Callable[[DayMapping, dict], None]] = {handler.__name__: handler for handler in (
    ageing, answer_lost, balancer_crash, balancer_stall, burst, crash, deploy, discovery_down, discovery_stale, fast_errors,
    hang, hot_key, preempt, slow, vanish)}


def read(path: Path, seed: int, speed: float = 1.0) -> MappedDay:
    """Maps the day in a file. Raises InvalidDayFile with the place and the reason."""
    try:
        day = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise InvalidDayFile(f"{path}: {error}") from None
    if not speed > 0:
        raise InvalidDayFile(f"--speed {speed}: must be over 0")
    mapping = DayMapping(day, speed)
    try:
        for fault in day["troubles"]:
            handler = HANDLERS.get(fault["kind"])
            if handler is None:
                mapping.said.append(f"not played: trouble {fault['kind']!r} at {fault['at'] / 1e6:.1f} s has no handler")
            else:
                handler(mapping, fault)
        model = deployment_of(mapping, seed)
    except (KeyError, IndexError, TypeError) as error:
        raise InvalidDayFile(f"{path}: not a day of this form: {type(error).__name__}: {error}") from None
    mapping.said += describe_mapping(mapping, model)
    return MappedDay(model, sorted(mapping.script, key=lambda fault: fault.at), mapping.said)


def describe_mapping(mapping: DayMapping, model: DeploymentModel) -> list[str]:
    """Lines on the day's size and on what is played differently."""
    said = ["played differently from the bench: set-up work is uniform, each title is held by "
            f"{TITLE_COPIES} cells, reported loads are exact, plays under way at the start and moves are left out"]
    if mapping.speed != 1.0:
        said.append(f"time compressed {mapping.speed:g} times: arrivals {mapping.speed:g} times as dense, plays and faults as much shorter; "
                    "time limits, leases and warm-up are not compressed")
    said.append(f"day {mapping.file.get('site', '?')} {mapping.file.get('kind', '')}: {model.directors} directors, {len(model.nodes)} nodes, "
                f"{model.crowd.rate:.1f} plays a second for {model.crowd.seconds:.0f} s, "
                f"faults {', '.join(fault['kind'] for fault in mapping.file['troubles']) or 'none'}")
    return said


def deployment_of(mapping: DayMapping, seed: int) -> DeploymentModel:
    """The day's fleet, products and viewers as a deployment model."""
    day, family, tier = mapping.file, mapping.file["fam"], mapping.file["tiers"][0]
    kinds, cells, racks = tier["kinds"], family["cells"], family["racks"]
    servers = [(index, server) for index, server in enumerate(day["servers"]) if server["up"] and server["tier"] == 0]
    nodes = tuple(node_facts(mapping, index, server, kinds, family) for index, server in servers)
    wares = tuple(product_of(mapping, entry, use, family) for entry, use in zip(day["classes"], family["uses"]))
    audiences = tuple(Audience(product.name, product.share, product.wait_ms, product.aim_ms, product.length_ms, product.importance, product.repeat == "paid",
                               entry.get("hinted", False)) for product, entry in zip(wares, day["classes"]))
    clients, traffic, discovery = day["clients"], day["traffic"], day["discovery"]
    backoff_ms = clients["backoff_us"] / 1000
    crowd = Crowd(traffic["load"] * family["capacity"] * mapping.speed, mapping.to_s(day["length"]), audiences, family["titles"], cells, min(TITLE_COPIES, cells),
                  len(family["rates"]), family["small_screens"], day["clients"].get("impatient", 0.0), 0.02, family["returns"],
                  2 + int(clients["retries"]), (max(backoff_ms, 50.0), max(backoff_ms, 50.0) + family["rejoin_us"] / 1000),
                  tuple((at / mapping.speed, times) for at, times in traffic["shape"]) or ((0.0, 1.0),), tuple(mapping.bursts), tuple(mapping.hot))
    budget = day.get("budget")
    return DeploymentModel(
        seed, len([b for b in day["balancers"] if b["tier"] == 0]), nodes, racks, sum(family["uplink_kb"]) / len(family["uplink_kb"]), wares,
        crowd, tuple(family["rates"]), tuple(family["worth"]), cells, family["core_kb"],
        tuple(max(1, int(kind["cores"] * family["core_slots"])) for kind in kinds), tier["stated_cold_from"], tier["stated_cold"] / 1000,
        day["fall_multiple"], day["fall_for"] / 1000, day["drain_grace"] / 1000, day["allow"]["max_attempts"],
        (budget["free"], budget["share"], budget["window"] / 1000) if budget and budget["share"] else None, family["see"] / 1000,
        (discovery["notice"] / 2000, discovery["notice"] / 1000), (discovery["silent_notice"] / 2000, discovery["silent_notice"] / 1000))


def node_facts(mapping: DayMapping, index: int, server: dict, kinds: list, family: dict) -> NodeFacts:
    """The node that stands in for one of the day's servers."""
    kind = kinds[server["kind"]]
    return NodeFacts(
        node=NODE_ID_BASE + index, cell=server["cell"], kind=server["kind"], weight=server["weight"],
        link_kb=family["core_kb"] * kind["cores"] * server["speed"], streams=max(1, int(kind["cores"] * family["core_slots"])),
        work_ms=(40.0, 120.0), cold_from=kind["cold_from"], warm_ms=kind["cold"] / 1000, fall_multiple=mapping.file["fall_multiple"],
        fall_ms=mapping.file["fall_for"] / 1000, guard=family["guard"], rate_spread=family["vary"])


def product_of(mapping: DayMapping, entry: dict, use: dict, family: dict) -> ProductModel:
    """The product that stands in for one of the day's traffic classes."""
    life_ms = family["life_s"] * use["life"] * 1000 / mapping.speed
    return ProductModel(entry["name"], entry["share"], entry["worth"], RETRY_SAFETY[entry["effect"]], entry["deadline"] / 1000, entry["aim"] / 1000,
                        (life_ms * 0.4, life_ms * 1.6), use["floor"], use["seats"], use["scale"], entry["window"] / 1000,
                        min(use["top"], len(family["rates"]) - 1))

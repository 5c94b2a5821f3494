"""Draws the plan of a trial from its seed: the fleet, the load, and faults placed at the beginning
or end of one another. Deterministic: the same seed gives the same plan.
"""

import random
from typing import NamedTuple

import msgspec

DURATION_S = 7.0
# Numbers of directors and nodes, and requests a second over the fleet, are drawn from these ranges.
DIRECTOR_RANGE, NODE_RANGE, RATE_RANGE = (3, 5), (6, 10), (40.0, 90.0)
# A product's time limit is drawn from these.
LIMITS_MS = (300.0, 600.0, 1_500.0, 3_000.0, 5_000.0)
# Range of the edges (points in time around which faults meet) of a plan.
SCENE_RANGE = (2, 3)
# Range of the kinds of faults at one edge.
FAULTS_PER_SCENE = (2, 4)
# Edges keep this distance from the trial's start and end; no fault begins in its first half.
QUIET_START_MS = 800.0
# Offsets of a fault from its edge.
OFFSETS_MS = (-60.0, -10.0, -1.0, 0.0, 1.0, 10.0, 60.0, 250.0)
# Range of the duration of a fault that lasts.
LASTING_MS = (300.0, 2_500.0)

# Faults of a director, a media node and the change log, and conditions that hold for all peers for
# a while.
DIRECTOR_FAULTS = ("stop", "kill", "freeze", "reconfigure")
NODE_FAULTS = ("replace", "drain", "hang", "die", "reset", "late_accept", "close_early")
CHANGE_LOG_FAULTS = ("log_away", "log_silent", "log_broken_line")
CONDITIONS = (
    "crowd",
    "bad_clients",
    "spoilt_answers",
    "pieces",
    "leave_early",
    "repeat_at_once",
    "release_at_once",
)
SCENE_KINDS = DIRECTOR_FAULTS + NODE_FAULTS + CHANGE_LOG_FAULTS + CONDITIONS
# Long faults of a node's machine: drawn beside the scenes in each plan whose seed leaves the
# remainder, with long plays and a product that may be keyed.
MACHINE_FAULTS = ("vanish", "cut_off", "restart")
MACHINE_SEED_DIVISOR, MACHINE_SEED_REMAINDER = 4, 3
FAULT_KINDS = SCENE_KINDS + MACHINE_FAULTS
# Ranges of their durations. A vanished machine is back before or after its plays count as lost; a
# cut is one that the bench's days have, or too long to be told from an end; a restart's is the time
# for which its port refuses.
MACHINE_DURATIONS_MS = {
    "vanish": ((4_000.0, 6_000.0), (9_000.0, 11_000.0)),
    "cut_off": ((2_000.0, 6_000.0), (9_000.0, 10_000.0)),
    "restart": ((100.0, 1_500.0),),
}
MACHINE_FAULT_COUNT = (2, 3)
# When they begin: plays stand by then, and the longest end before the trial does.
MACHINE_FAULT_BEGIN_MS = (1_500.0, 3_000.0)
# The nodes on which a keyed product's keys hold; empty: it is not keyed.
KEYED_GROUPS = ("", "all", "cell", "cell")
LASTING_KINDS = {"freeze", "hang", "late_accept", "log_away", "log_silent", *CONDITIONS}


class Fault(msgspec.Struct, frozen=True):
    """One fault: its start in ms after the first request, its duration, and its director or node.

    `target` is taken modulo the number of directors or live nodes.
    """

    at_ms: float
    kind: str
    lasts_ms: float
    target: int

    def ends_ms(self) -> float:
        """Returns the end of the fault in ms after the first request."""
        return self.at_ms + self.lasts_ms


class Plan(msgspec.Struct, frozen=True):
    """The plan of a trial."""

    seed: int
    directors: int
    nodes: int
    # Requests a second.
    rate: float
    seconds: float
    # The products' time limits; empty: the deployment's own.
    limits_ms: tuple[float, ...]
    faults: tuple[Fault, ...]
    # Plays are so long that they stand through the faults of machines.
    has_long_plays: bool = False
    # Of the first product, see KEYED_GROUPS.
    keyed_group: str = ""


class Sizes(NamedTuple):
    """Values that the command line sets, or None where they are drawn.

    `own_limits`: time limits are the deployment's.
    """

    directors: int | None = None
    seconds: float | None = None
    own_limits: bool = False


DRAWN_SIZES = Sizes()


def draw(seed: int, products: int, sizes: Sizes = DRAWN_SIZES) -> Plan:
    """Draws the plan of a seed, for a deployment with the given number of products."""
    rng = random.Random(f"soak {seed}")
    seconds = sizes.seconds or DURATION_S
    directors = sizes.directors or rng.randint(*DIRECTOR_RANGE)
    nodes, rate = rng.randint(*NODE_RANGE), rng.uniform(*RATE_RANGE)
    limits = () if sizes.own_limits else tuple(rng.choice(LIMITS_MS) for _ in range(products))
    faults: list[Fault] = []
    for _ in range(rng.randint(*SCENE_RANGE)):
        faults += draw_scene(rng, faults, seconds * 1000)
    has_machine_faults = seed % MACHINE_SEED_DIVISOR == MACHINE_SEED_REMAINDER
    machine_rng = random.Random(f"soak machines {seed}")
    if has_machine_faults:
        faults += draw_machine_faults(machine_rng)
    return Plan(
        seed,
        directors,
        nodes,
        round(rate, 1),
        seconds,
        limits,
        tuple(sorted(faults, key=lambda fault: fault.at_ms)),
        has_machine_faults,
        machine_rng.choice(KEYED_GROUPS) if has_machine_faults else "",
    )


def draw_machine_faults(rng: random.Random) -> list[Fault]:
    """Draws faults of nodes' machines."""
    faults = []
    for kind in rng.choices(MACHINE_FAULTS, k=rng.randint(*MACHINE_FAULT_COUNT)):
        lasts = rng.uniform(*rng.choice(MACHINE_DURATIONS_MS[kind]))
        begins = rng.uniform(*MACHINE_FAULT_BEGIN_MS)
        faults.append(Fault(round(begins, 1), kind, round(lasts, 1), rng.randrange(1_000)))
    return faults


def draw_scene(rng: random.Random, earlier: list[Fault], length_ms: float) -> list[Fault]:
    """Draws faults around one edge: a new time, or the beginning or end of an earlier fault."""
    edges = [
        edge
        for fault in earlier
        for edge in (fault.at_ms, fault.ends_ms())
        if QUIET_START_MS <= edge <= length_ms - QUIET_START_MS
    ]
    edge = (
        rng.choice(edges)
        if edges and rng.random() < 0.5
        else rng.uniform(QUIET_START_MS, length_ms - QUIET_START_MS)
    )
    scene_faults = [
        draw_fault(rng, edge, kind)
        for kind in rng.sample(SCENE_KINDS, rng.randint(*FAULTS_PER_SCENE))
    ]
    repeatable = [fault for fault in scene_faults if fault.kind in ("stop", "reconfigure")]
    # The next director may be stopped, or have its file changed, shortly after.
    for fault in repeatable:
        if rng.random() < 0.5:
            scene_faults.append(
                Fault(
                    fault.at_ms + rng.choice((5.0, 300.0, 900.0)),
                    fault.kind,
                    0.0,
                    fault.target + 1,
                )
            )
    return scene_faults


def draw_fault(rng: random.Random, edge: float, kind: str) -> Fault:
    """Draws a fault that begins or ends at an edge."""
    lasts = rng.uniform(*LASTING_MS) if kind in LASTING_KINDS else 0.0
    offset = rng.choice(OFFSETS_MS)
    begins = edge + offset - (lasts if rng.random() < 0.5 else 0.0)
    return Fault(
        round(max(begins, QUIET_START_MS / 2), 1), kind, round(lasts, 1), rng.randrange(1_000)
    )


def to_json(plan: Plan) -> bytes:
    """Encodes a plan as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=1)


def from_json(text: bytes) -> Plan:
    """Decodes a plan; raises msgspec.ValidationError or msgspec.DecodeError for other input."""
    plan = msgspec.json.decode(text, type=Plan)
    unknown = {fault.kind for fault in plan.faults} - set(FAULT_KINDS)
    if unknown:
        raise msgspec.ValidationError(f"faults of unknown kinds: {', '.join(sorted(unknown))}")
    return plan

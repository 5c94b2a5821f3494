"""Days as S-expressions: what troubles come when, drawn by seed, and for what the day is there. The named ones lie in daybook.scm beside this file.

    (day "deploy-in-a-burst" (says "boxes are replaced by cold ones while a crowd comes")
      (rate 24) (seconds 60) (nodes 24) (directors 4) (load 0.75)
      (crowd (shape 0 1 30 2.5 60 1) (burst 20 26 3) (hot 30 40 0.5 2) (impatient 0.1) (returns 0.95))
      (deploy (at 6 8) (within 28) (part 0.7))
      (nodes-fault still (at 10) (for 5 9) (part 0.12))
      (nodes-die (at 38) (back 5 9) (part 0.08)) (nodes-vanish (at 16) (part 0.1))
      (directors-killed (at 30) (away 1.5 4) (part 0.5)) (directors-frozen (at 42) (for 2) (part 0.25)) (directors-stopped (at 52) (part 0.25))
      (list-out (at 22) (for 8)) (list-lag (at 5) (ms 1500)))

Times in s of a day's own length; two figures are a range from which the seed draws. Parts are of the fleet, one node or director at least.
"""
import os
from typing import Any, Callable, NamedTuple

from laddergw.lab.deployment_model import DeploymentModel, draw_between, draw, build_deployment
from laddergw.lab.script import NODE_FAULTS, FaultEvent, temporary_fault, draw_nodes, restart_directors, rolling_deploy
from laddergw.terms.reading import Faults, FormReader
from laddergw.terms.sexpr import Fault, Form, Place, FileRejected, parse

BOOK = os.path.join(os.path.dirname(__file__), "daybook.scm")
VALUES = {"still": None, "errors": 0.8, "mute": 1.0, "late": 900.0, "cut": 0.5, "drip": 1.0, "lose": 0.4, "hush": 0.4, "sag": 0.5, "stall": 1.0}


class Range(NamedTuple):
    """From which a seed draws; one figure is a range of nothing."""
    low: float
    high: float

    def drawn(self, seed: int, *what) -> float:
        return draw_between(seed, self.low, self.high, *what)


class Event(NamedTuple):
    """One line of a day: what happens, and its figures."""
    kind: str
    what: str
    at: Range
    more: dict[str, Any]
    order: int


class Day(NamedTuple):
    """A day as it is written. `plant` and `crowd`: what differs from the usual."""
    name: str
    says: str
    model: dict[str, Any]
    crowd: dict[str, Any]
    events: tuple[Event, ...]
    place: Place


PLANT_KEYS = {"rate": (0.1, 10_000, False), "seconds": (1, 86_400, False), "nodes": (1, 100_000, True), "directors": (1, 10_000, True), "load": (0.01, 20, False),
              "racks": (1, 10_000, True), "cells": (1, 10_000, True)}
CROWD_KEYS = ("impatient", "fickle", "returns", "small")
EVENTS: dict[str, tuple[str, ...]] = {     # figures that each kind takes beside `at`; those with a ? may be left out
    "deploy": ("within", "part"), "nodes-fault": ("for", "part", "value?"), "nodes-die": ("back?", "part"), "nodes-vanish": ("back?", "part"),
    "directors-killed": ("away", "part"), "directors-frozen": ("for", "part"), "directors-stopped": ("part",), "list-out": ("for",), "list-lag": ("ms", "for?")}


def read(text: str, file: str = "text") -> dict[str, Day]:
    """All days of a text, by name, in its order. Raises FileRejected with every fault."""
    faults, found = Faults(), {}
    for form in parse(text, file):
        if not isinstance(form, Form) or form.name != "day" or not form.rest or isinstance(form.rest[0], Form):
            raise FileRejected([Fault(getattr(form, "place", Place(file, 1, 1)), "", 'holds (day "name" ...) forms only')])
        name = str(form.rest[0].value)
        if name in found:
            faults.add(form.place, f"day {name}", f"is given twice, first at line {found[name].place.line}")
        found[name] = take_day(FormReader(Form(form.items[:1] + form.items[2:], form.place), faults, f"day {name}"), name, form.place)
    faults.raise_if_any()
    return found


def named_days() -> dict[str, Day]:
    """The named days."""
    with open(BOOK) as stream:
        return read(stream.read(), "daybook.scm")


def take_day(top: FormReader, name: str, place: Place) -> Day:
    told = {key: top.number(key, None, low, high, whole) for key, (low, high, whole) in PLANT_KEYS.items()}
    crowd: dict[str, Any] = {}
    under = top.subform("crowd", None)
    if under is not None:
        crowd = {key: under.number(key, None, 0, 1) for key in CROWD_KEYS}
        for key, size in (("shape", 2), ("burst", 3), ("hot", 4)):
            crowd[key] = take_rows(under, key, size)
        under.reject_unknown_keys()
    events = []
    for kind in EVENTS:
        top.known_keys.add(kind)
        events += [take_event(top, form, kind) for form in top.forms.get(kind, ())]
    says = top.word("says")
    top.reject_unknown_keys()
    return Day(name, says or "", {key: value for key, value in told.items() if value is not None}, {key: value for key, value in crowd.items() if value},
               tuple(sorted(filter(None, events), key=lambda event: event.order)), place)


def take_rows(under: FormReader, key: str, size: int) -> tuple[tuple[float, ...], ...]:
    values = under.numbers(key, None, 0, 1e9)
    if values is None:
        return ()
    if len(values) % size:
        under.add_fault(under.places[key], key, f"takes figures in groups of {size}, not {len(values)}")
    return tuple(tuple(values[at:at + size]) for at in range(0, len(values) - size + 1, size))


def take_event(top: FormReader, form: Form, kind: str) -> Event | None:
    words = [item for item in form.rest if not isinstance(item, Form)]
    under = FormReader(Form((form.items[0],) + tuple(item for item in form.rest if isinstance(item, Form)), form.place), top.faults, top.label(kind))
    what = str(words[0].value) if words else ""
    if kind == "nodes-fault" and what not in VALUES:
        under.add_fault(form.place, "", f"{what!r} is none of {', '.join(VALUES)}")
    if len(words) > (kind == "nodes-fault"):
        under.add_fault(words[-1].place, "", f"a stray value {words[-1].value!r}")
    more = {}
    for key in EVENTS[kind]:
        figure = take_range(under, key.rstrip("?"), key.endswith("?"))
        if figure is not None:
            more[key.rstrip("?")] = figure
    at = take_range(under, "at", False)
    under.reject_unknown_keys()
    if at is None or any(key not in more for key in EVENTS[kind] if not key.endswith("?")):
        return None
    return Event(kind, what, at, more, form.place.line * 10_000 + form.place.column)


def take_range(under: FormReader, key: str, may_miss: bool) -> Range | None:
    if key not in under.forms:
        under.known_keys.add(key)
        if not may_miss:
            under.add_fault(under.form.place, key, "is missing")
        return None
    values = under.numbers(key, None, 0, 1e6)
    if values is None:
        return None
    if len(values) > 2 or values[0] > values[-1]:
        under.add_fault(under.places[key], key, "takes one figure, or two from low to high")
        return None
    return Range(values[0], values[-1])


# A day as it is played

def deployment_of(day: Day, seed: int, **changes) -> DeploymentModel:
    """The day's plant for a seed; `changes` win over what the day says."""
    told = day.model | {key: value for key, value in changes.items() if value is not None}
    whole = {key: int(value) if key in ("nodes", "directors", "racks", "cells") else value for key, value in told.items()}
    made = build_deployment(seed, **whole)
    crowd, given = made.crowd, day.crowd
    crowd = crowd._replace(**{key: given[key] for key in CROWD_KEYS if key in given})
    if "shape" in given:
        crowd = crowd._replace(shape=given["shape"])
    if "burst" in given:
        crowd = crowd._replace(bursts=given["burst"])
    if "hot" in given:
        crowd = crowd._replace(hot=tuple((since, until, part, int(titles)) for since, until, part, titles in given["hot"]))
    return made._replace(crowd=crowd)


def script_of(day: Day, p: DeploymentModel) -> list[FaultEvent]:
    """The day's troubles for a plant, in order of time."""
    found: list[FaultEvent] = []
    for index, event in enumerate(day.events):
        found += MADE[event.kind](p, event, index)
    return sorted(found)


def ms(p: DeploymentModel, event: Event, index: int, key: str = "at", *what) -> float:
    figure = event.at if key == "at" else event.more[key]
    return 1_000 * figure.drawn(p.seed, "day", index, key, *what)


def nodes_of(p: DeploymentModel, event: Event, index: int) -> list[int]:
    return draw_nodes(p, event.more["part"].drawn(p.seed, "part", index), "day", index, event.kind)


def directors_of(p: DeploymentModel, event: Event, index: int) -> list[int]:
    ranked = sorted(range(p.directors), key=lambda number: draw(p.seed, "day director", index, number))
    return ranked[:max(1, round(event.more["part"].drawn(p.seed, "part", index) * p.directors))]


def fell(p: DeploymentModel, event: Event, index: int, kind: str) -> list[FaultEvent]:
    at, found = ms(p, event, index), []
    for node in nodes_of(p, event, index):
        found.append(FaultEvent(at, kind, node))
        if "back" in event.more:
            found.append(FaultEvent(at + ms(p, event, index, "back", node), "return", node))
    return found


def faulty(p: DeploymentModel, event: Event, index: int) -> list[FaultEvent]:
    at, nodes = ms(p, event, index), nodes_of(p, event, index)
    if event.what == "still":
        return [FaultEvent(at, "still", node, ms(p, event, index, "for", node)) for node in nodes]
    value = event.more["value"].drawn(p.seed, "value", index) if "value" in event.more else VALUES[event.what]
    assert event.what in NODE_FAULTS
    return temporary_fault(nodes, event.what, at, ms(p, event, index, "for"), value)


def stopped(p: DeploymentModel, event: Event, index: int) -> list[FaultEvent]:
    at = ms(p, event, index)
    return [t for number in directors_of(p, event, index) for t in (FaultEvent(at, "term", number), FaultEvent(at + p.finish_ms + 1_500, "start", number))]


def lagging(p: DeploymentModel, event: Event, index: int) -> list[FaultEvent]:
    at = ms(p, event, index)
    found = [FaultEvent(at, "list-lag", 0, event.more["ms"].drawn(p.seed, "lag", index))]
    return found + ([FaultEvent(at + ms(p, event, index, "for"), "list-lag", 0, 0.0)] if "for" in event.more else [])


MADE: dict[str, Callable[[DeploymentModel, Event, int], list[FaultEvent]]] = {
    "deploy": lambda p, e, k: rolling_deploy(p, ms(p, e, k), ms(p, e, k, "within"), e.more["part"].drawn(p.seed, "part", k)),
    "nodes-fault": faulty, "nodes-die": lambda p, e, k: fell(p, e, k, "die"), "nodes-vanish": lambda p, e, k: fell(p, e, k, "vanish"),
    "directors-killed": lambda p, e, k: restart_directors(directors_of(p, e, k), ms(p, e, k), ms(p, e, k, "away")),
    "directors-frozen": lambda p, e, k: [FaultEvent(ms(p, e, k), "freeze", number, ms(p, e, k, "for", number)) for number in directors_of(p, e, k)],
    "directors-stopped": stopped,
    "list-out": lambda p, e, k: [FaultEvent(ms(p, e, k), "list-out"), FaultEvent(ms(p, e, k) + ms(p, e, k, "for"), "list-back")], "list-lag": lagging}

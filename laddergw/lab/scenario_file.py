"""Days (scripted scenarios) as S-expressions: which faults occur when, drawn by seed, and what the day is for. The named days are in daybook.scm.

    (day "deploy-in-a-burst" (says "boxes are replaced by cold ones while a crowd comes")
      (rate 24) (seconds 60) (nodes 24) (directors 4) (load 0.75)
      (crowd (shape 0 1 30 2.5 60 1) (burst 20 26 3) (hot 30 40 0.5 2) (impatient 0.1) (returns 0.95))
      (deploy (at 6 8) (within 28) (part 0.7))
      (nodes-fault still (at 10) (for 5 9) (part 0.12))
      (nodes-die (at 38) (back 5 9) (part 0.08)) (nodes-vanish (at 16) (part 0.1))
      (directors-killed (at 30) (away 1.5 4) (part 0.5)) (directors-frozen (at 42) (for 2) (part 0.25)) (directors-stopped (at 52) (part 0.25))
      (list-out (at 22) (for 8)) (list-lag (at 5) (ms 1500)))

Times in s from the day's start; two figures are a range from which the seed draws. Parts are shares of the fleet, at least one node or director.
"""
import os
from typing import Any, Callable, NamedTuple

from laddergw.lab.deployment_model import DeploymentModel, draw_between, draw, build_deployment
from laddergw.lab.script import NODE_FAULTS, FaultEvent, temporary_fault, draw_nodes, restart_directors, rolling_deploy
from laddergw.terms.reading import Faults, FormReader
from laddergw.terms.sexpr import Fault, Form, Place, FileRejected, parse

NAMED_DAYS_PATH = os.path.join(os.path.dirname(__file__), "daybook.scm")
DEFAULT_FAULT_VALUES = {"still": None, "errors": 0.8, "mute": 1.0, "late": 900.0, "cut": 0.5, "drip": 1.0, "lose": 0.4, "hush": 0.4, "sag": 0.5, "stall": 1.0}


class Range(NamedTuple):
    """A range from which a seed draws; a single figure is an empty range."""
    low: float
    high: float

    def draw(self, seed: int, *labels) -> float:
        """A value that depends only on the seed and the labels."""
        return draw_between(seed, self.low, self.high, *labels)


class Event(NamedTuple):
    """One event of a day: its kind, its time and its figures."""
    kind: str
    what: str
    at: Range
    figures: dict[str, Any]
    order: int


class Day(NamedTuple):
    """A day as written. `model` and `crowd` hold what differs from the defaults."""
    name: str
    says: str
    model: dict[str, Any]
    crowd: dict[str, Any]
    events: tuple[Event, ...]
    place: Place


MODEL_KEYS = {"rate": (0.1, 10_000, False), "seconds": (1, 86_400, False), "nodes": (1, 100_000, True), "directors": (1, 10_000, True), "load": (0.01, 20, False),
              "racks": (1, 10_000, True), "cells": (1, 10_000, True)}
CROWD_KEYS = ("impatient", "fickle", "returns", "small")
EVENT_FIGURES: dict[str, tuple[str, ...]] = {     # figures of each kind besides `at`; those with a ? are optional
    "deploy": ("within", "part"), "nodes-fault": ("for", "part", "value?"), "nodes-die": ("back?", "part"), "nodes-vanish": ("back?", "part"),
    "directors-killed": ("away", "part"), "directors-frozen": ("for", "part"), "directors-stopped": ("part",), "list-out": ("for",), "list-lag": ("ms", "for?")}


def read(text: str, file: str = "text") -> dict[str, Day]:
    """Parses all days of a text, by name, in order. Raises FileRejected with every fault."""
    faults, found = Faults(), {}
    for form in parse(text, file):
        if not isinstance(form, Form) or form.name != "day" or not form.rest or isinstance(form.rest[0], Form):
            raise FileRejected([Fault(getattr(form, "place", Place(file, 1, 1)), "", 'holds (day "name" ...) forms only')])
        name = str(form.rest[0].value)
        if name in found:
            faults.add(form.place, f"day {name}", f"is given twice, first at line {found[name].place.line}")
        found[name] = read_day(FormReader(Form(form.items[:1] + form.items[2:], form.place), faults, f"day {name}"), name, form.place)
    faults.raise_if_any()
    return found


def named_days() -> dict[str, Day]:
    """The named days."""
    with open(NAMED_DAYS_PATH) as stream:
        return read(stream.read(), "daybook.scm")


def read_day(top: FormReader, name: str, place: Place) -> Day:
    """Reads one day; adds its faults to the reader's."""
    settings = {key: top.number(key, None, low, high, whole) for key, (low, high, whole) in MODEL_KEYS.items()}
    crowd: dict[str, Any] = {}
    subform = top.subform("crowd", None)
    if subform is not None:
        crowd = {key: subform.number(key, None, 0, 1) for key in CROWD_KEYS}
        for key, size in (("shape", 2), ("burst", 3), ("hot", 4)):
            crowd[key] = read_rows(subform, key, size)
        subform.reject_unknown_keys()
    events = []
    for kind in EVENT_FIGURES:
        top.known_keys.add(kind)
        events += [read_event(top, form, kind) for form in top.forms.get(kind, ())]
    says = top.word("says")
    top.reject_unknown_keys()
    return Day(name, says or "", {key: value for key, value in settings.items() if value is not None}, {key: value for key, value in crowd.items() if value},
               tuple(sorted(filter(None, events), key=lambda event: event.order)), place)


def read_rows(subform: FormReader, key: str, size: int) -> tuple[tuple[float, ...], ...]:
    """Reads a list of figures in groups of `size`."""
    values = subform.numbers(key, None, 0, 1e9)
    if values is None:
        return ()
    if len(values) % size:
        subform.add_fault(subform.places[key], key, f"takes figures in groups of {size}, not {len(values)}")
    return tuple(tuple(values[at:at + size]) for at in range(0, len(values) - size + 1, size))


def read_event(top: FormReader, form: Form, kind: str) -> Event | None:
    """Reads one event; None if a figure is missing, which is added to the faults."""
    words = [item for item in form.rest if not isinstance(item, Form)]
    subform = FormReader(Form((form.items[0],) + tuple(item for item in form.rest if isinstance(item, Form)), form.place), top.faults, top.label(kind))
    what = str(words[0].value) if words else ""
    if kind == "nodes-fault" and what not in DEFAULT_FAULT_VALUES:
        subform.add_fault(form.place, "", f"{what!r} is none of {', '.join(DEFAULT_FAULT_VALUES)}")
    if len(words) > (kind == "nodes-fault"):
        subform.add_fault(words[-1].place, "", f"a stray value {words[-1].value!r}")
    figures = {}
    for key in EVENT_FIGURES[kind]:
        figure = read_range(subform, key.rstrip("?"), key.endswith("?"))
        if figure is not None:
            figures[key.rstrip("?")] = figure
    at = read_range(subform, "at", False)
    subform.reject_unknown_keys()
    if at is None or any(key not in figures for key in EVENT_FIGURES[kind] if not key.endswith("?")):
        return None
    return Event(kind, what, at, figures, form.place.line * 10_000 + form.place.column)


def read_range(subform: FormReader, key: str, optional: bool) -> Range | None:
    """Reads one figure, or two from low to high; None if there is none or it is faulty."""
    if key not in subform.forms:
        subform.known_keys.add(key)
        if not optional:
            subform.add_fault(subform.form.place, key, "is missing")
        return None
    values = subform.numbers(key, None, 0, 1e6)
    if values is None:
        return None
    if len(values) > 2 or values[0] > values[-1]:
        subform.add_fault(subform.places[key], key, "takes one figure, or two from low to high")
        return None
    return Range(values[0], values[-1])


def deployment_of(day: Day, seed: int, **changes) -> DeploymentModel:
    """The day's deployment for a seed; `changes` take precedence over the day's values."""
    settings = day.model | {key: value for key, value in changes.items() if value is not None}
    values = {key: int(value) if key in ("nodes", "directors", "racks", "cells") else value for key, value in settings.items()}
    model = build_deployment(seed, **values)
    crowd, overrides = model.crowd, day.crowd
    crowd = crowd._replace(**{key: overrides[key] for key in CROWD_KEYS if key in overrides})
    if "shape" in overrides:
        crowd = crowd._replace(shape=overrides["shape"])
    if "burst" in overrides:
        crowd = crowd._replace(bursts=overrides["burst"])
    if "hot" in overrides:
        crowd = crowd._replace(hot=tuple((since, until, share, int(titles)) for since, until, share, titles in overrides["hot"]))
    return model._replace(crowd=crowd)


def script_of(day: Day, model: DeploymentModel) -> list[FaultEvent]:
    """The day's fault events for a deployment, in order of time."""
    found: list[FaultEvent] = []
    for index, event in enumerate(day.events):
        found += EVENT_BUILDERS[event.kind](model, event, index)
    return sorted(found)


def draw_ms(model: DeploymentModel, event: Event, index: int, key: str = "at", *labels) -> float:
    """One of an event's times, drawn by seed, in ms."""
    figure = event.at if key == "at" else event.figures[key]
    return 1_000 * figure.draw(model.seed, "day", index, key, *labels)


def draw_event_nodes(model: DeploymentModel, event: Event, index: int) -> list[int]:
    """The nodes that an event affects, drawn by seed."""
    return draw_nodes(model, event.figures["part"].draw(model.seed, "part", index), "day", index, event.kind)


def draw_directors(model: DeploymentModel, event: Event, index: int) -> list[int]:
    """The directors that an event affects, drawn by seed."""
    ranked = sorted(range(model.directors), key=lambda number: draw(model.seed, "day director", index, number))
    return ranked[:max(1, round(event.figures["part"].draw(model.seed, "part", index) * model.directors))]


def node_failures(model: DeploymentModel, event: Event, index: int, kind: str) -> list[FaultEvent]:
    """Nodes that die or vanish, and return if the event says so."""
    at, found = draw_ms(model, event, index), []
    for node in draw_event_nodes(model, event, index):
        found.append(FaultEvent(at, kind, node))
        if "back" in event.figures:
            found.append(FaultEvent(at + draw_ms(model, event, index, "back", node), "return", node))
    return found


def node_faults(model: DeploymentModel, event: Event, index: int) -> list[FaultEvent]:
    """A temporary fault at some nodes."""
    at, nodes = draw_ms(model, event, index), draw_event_nodes(model, event, index)
    if event.what == "still":
        return [FaultEvent(at, "still", node, draw_ms(model, event, index, "for", node)) for node in nodes]
    value = event.figures["value"].draw(model.seed, "value", index) if "value" in event.figures else DEFAULT_FAULT_VALUES[event.what]
    assert event.what in NODE_FAULTS
    return temporary_fault(nodes, event.what, at, draw_ms(model, event, index, "for"), value)


def director_stops(model: DeploymentModel, event: Event, index: int) -> list[FaultEvent]:
    """Directors that shut down and are started again."""
    at = draw_ms(model, event, index)
    return [stop_or_start for number in draw_directors(model, event, index) for stop_or_start in (FaultEvent(at, "term", number), FaultEvent(at + model.finish_ms + 1_500, "start", number))]


def list_lags(model: DeploymentModel, event: Event, index: int) -> list[FaultEvent]:
    """A lag of the fleet list, for a time or to the end."""
    at = draw_ms(model, event, index)
    found = [FaultEvent(at, "list-lag", 0, event.figures["ms"].draw(model.seed, "lag", index))]
    return found + ([FaultEvent(at + draw_ms(model, event, index, "for"), "list-lag", 0, 0.0)] if "for" in event.figures else [])


EVENT_BUILDERS: dict[str, Callable[[DeploymentModel, Event, int], list[FaultEvent]]] = {
    "deploy": lambda model, event, index: rolling_deploy(
        model, draw_ms(model, event, index), draw_ms(model, event, index, "within"), event.figures["part"].draw(model.seed, "part", index)),
    "nodes-fault": node_faults,
    "nodes-die": lambda model, event, index: node_failures(model, event, index, "die"),
    "nodes-vanish": lambda model, event, index: node_failures(model, event, index, "vanish"),
    "directors-killed": lambda model, event, index: restart_directors(
        draw_directors(model, event, index), draw_ms(model, event, index), draw_ms(model, event, index, "away")),
    "directors-frozen": lambda model, event, index: [
        FaultEvent(draw_ms(model, event, index), "freeze", number, draw_ms(model, event, index, "for", number))
        for number in draw_directors(model, event, index)],
    "directors-stopped": director_stops,
    "list-out": lambda model, event, index: [
        FaultEvent(draw_ms(model, event, index), "list-out"),
        FaultEvent(draw_ms(model, event, index) + draw_ms(model, event, index, "for"), "list-back")],
    "list-lag": list_lags}

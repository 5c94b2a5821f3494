"""Scripts of network faults between processes, drawn by seed or written as S-expressions; a script plays the same with processes and in memory.

    (lines (fault cut (at 1200) (from d0) (to p1) (way back) (for 900))
           (fault rate (at 2000) (from d2) (to p0) (value 4000) (for 2500)))

Times in ms from the first viewer; network_faults.py says what each fault does. Raises FileRejected with every fault of a script, its place and key.
"""
import os
from typing import NamedTuple

from laddergw.lab.network_faults import DIRECTIONS
from laddergw.lab.deployment_model import draw_between, draw
from laddergw.terms.reading import Faults, FormReader, parse_single_form, read_text

GAP_MS = (250.0, 1_100.0)        # between drawn faults, over the whole deployment
DURATION_MS = (300.0, 5_000.0)        # of one fault: silence is reported after 2 s, leases run 3 s
WITH_DIRECTION, WITH_VALUE, WITHOUT_VALUE = ("cut", "stall"), ("delay", "jitter", "rate", "reset", "late"), ("hole", "half-open", "shut")


class LinkFault(NamedTuple):
    """One fault of one link, in ms from the start."""
    at: float
    source: str
    target: str
    what: str
    value: float | str | None
    lasts: float


def schedule(seed: int, sources: list[str], targets: list[str], duration_ms: float) -> list[LinkFault]:
    """Draws faults of the links between sources and targets, in order of time."""
    found, at, number = [], 0.0, 0
    kinds = (("cut", None), ("cut", "to"), ("cut", "back"), ("hole", None), ("stall", "to"), ("stall", "back"), ("delay", 400.0), ("jitter", 300.0),
             ("rate", 4_000.0), ("reset", 700.0), ("half-open", None), ("shut", None), ("late", 800.0))
    while at < duration_ms:
        number += 1
        at += draw_between(seed, *GAP_MS, "gap", number)
        kind, value = kinds[int(draw(seed, "kind", number) * len(kinds))]
        source, target = (ends[int(draw(seed, "end", index, number) * len(ends))] for index, ends in enumerate((sources, targets)))
        found.append(LinkFault(at, source, target, kind, value, draw_between(seed, *DURATION_MS, "lasts", number)))
    return found


def read(text: str, name: str) -> list[LinkFault]:
    """Parses a script; its faults in order of time."""
    faults = Faults()
    top, found = FormReader(parse_single_form(text, name, "lines"), faults), []
    for fault_form in top.subforms("fault", unique=False):
        kind = fault_form.name
        if kind not in WITH_DIRECTION + WITH_VALUE + WITHOUT_VALUE:
            fault_form.add_fault(fault_form.form.place, "", f"no such fault; {', '.join(WITH_DIRECTION + WITH_VALUE + WITHOUT_VALUE)} are known")
        value = fault_form.word("way", None, allowed=DIRECTIONS) if kind in WITH_DIRECTION else fault_form.number("value", low=1e-3, high=1e9) if kind in WITH_VALUE else None
        found.append(LinkFault(fault_form.number("at"), fault_form.word("from") or "", fault_form.word("to") or "", kind, value, fault_form.number("for", low=1.0)))
        fault_form.reject_unknown_keys()
    top.reject_unknown_keys()
    faults.raise_if_any()
    return sorted(found, key=lambda fault: fault.at)


def read_file(path: str) -> list[LinkFault]:
    """Parses a script from a file."""
    return read(read_text(path), os.path.basename(path))


def write(script: list[LinkFault]) -> str:
    """The script as text; `read` gives the same script back."""
    def format_fault(fault: LinkFault) -> str:
        value = "" if fault.value is None else f" (way {fault.value})" if fault.what in WITH_DIRECTION else f" (value {fault.value!r})"
        return f"  (fault {fault.what} (at {fault.at!r}) (from {fault.source}) (to {fault.target}){value} (for {fault.lasts!r}))"
    return "(lines\n" + "\n".join(map(format_fault, script)) + ")\n"

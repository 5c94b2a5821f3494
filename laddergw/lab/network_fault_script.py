"""Scripts of faults between processes, drawn by seed or written as S-expressions; the same script plays with processes and in memory.

    (lines (fault cut (at 1200) (from d0) (to p1) (way back) (for 900))
           (fault rate (at 2000) (from d2) (to p0) (value 4000) (for 2500)))

Times in ms from the first viewer; what each fault does stands in lines.py. Raises FileRejected with every fault of a script, its place and key.
"""
import os
from typing import NamedTuple

from laddergw.lab.network_faults import DIRECTIONS
from laddergw.lab.deployment_model import draw_between, draw
from laddergw.terms.reading import Faults, FormReader, parse_single_form, read_text

FAULT_MS = (250.0, 1_100.0)        # between drawn faults, over the whole plant
LASTS_MS = (300.0, 5_000.0)        # of one: silence is told after 2 s, leases run 3 s
WITH_WAY, WITH_VALUE, ALONE = ("cut", "stall"), ("delay", "jitter", "rate", "reset", "late"), ("hole", "half-open", "shut")


class LinkFault(NamedTuple):
    """One fault of one line, ms from the start."""
    at: float
    source: str
    target: str
    what: str
    value: float | str | None
    lasts: float


def schedule(seed: int, sources: list[str], targets: list[str], ms: float) -> list[LinkFault]:
    """Drawn faults of the lines between them, in order of time."""
    found, at, number = [], 0.0, 0
    kinds = (("cut", None), ("cut", "to"), ("cut", "back"), ("hole", None), ("stall", "to"), ("stall", "back"), ("delay", 400.0), ("jitter", 300.0),
             ("rate", 4_000.0), ("reset", 700.0), ("half-open", None), ("shut", None), ("late", 800.0))
    while at < ms:
        number += 1
        at += draw_between(seed, *FAULT_MS, "gap", number)
        what, value = kinds[int(draw(seed, "kind", number) * len(kinds))]
        source, target = (ends[int(draw(seed, "end", index, number) * len(ends))] for index, ends in enumerate((sources, targets)))
        found.append(LinkFault(at, source, target, what, value, draw_between(seed, *LASTS_MS, "lasts", number)))
    return found


def read(text: str, name: str) -> list[LinkFault]:
    """A script, in order of time."""
    faults = Faults()
    top, found = FormReader(parse_single_form(text, name, "lines"), faults), []
    for one in top.subforms("fault", unique=False):
        what = one.name
        if what not in WITH_WAY + WITH_VALUE + ALONE:
            one.add_fault(one.form.place, "", f"no such fault; {', '.join(WITH_WAY + WITH_VALUE + ALONE)} are known")
        value = one.word("way", None, allowed=DIRECTIONS) if what in WITH_WAY else one.number("value", low=1e-3, high=1e9) if what in WITH_VALUE else None
        found.append(LinkFault(one.number("at"), one.word("from") or "", one.word("to") or "", what, value, one.number("for", low=1.0)))
        one.reject_unknown_keys()
    top.reject_unknown_keys()
    faults.raise_if_any()
    return sorted(found, key=lambda fault: fault.at)


def read_file(path: str) -> list[LinkFault]:
    return read(read_text(path), os.path.basename(path))


def write(script: list[LinkFault]) -> str:
    """The script as text; reading it gives the same."""
    def line(fault: LinkFault) -> str:
        value = "" if fault.value is None else f" (way {fault.value})" if fault.what in WITH_WAY else f" (value {fault.value!r})"
        return f"  (fault {fault.what} (at {fault.at!r}) (from {fault.source}) (to {fault.target}){value} (for {fault.lasts!r}))"
    return "(lines\n" + "\n".join(map(line, script)) + ")\n"

"""Decides whether a file of limits is safe to load: what makes no sense by its figures, and what would break a rule, with a timeline. Pure.

Figures are compared here; lives of plays are searched (search.py), once for all routes and products that are alike. What a file may set beside lives
(cold pace, budget, floors, seats) is held against the deployment's own terms, which are the rules'.
"""
import math
from typing import Iterable, NamedTuple

from laddergw import interface as face
from laddergw.control.candidates import COLD_RAMP_SHARE
from laddergw.terms.director_file import DirectorFile
from laddergw.machines.play import PlayTerms
from laddergw.terms import search
from laddergw.terms.limits import EffectiveTerms, Limits, SourcedValue, default_terms
from laddergw.terms.search import SearchTerms
from laddergw.terms.sexpr import Place

CONFIRM_MS = 20.0          # between a set-up's time-out and its lease's end: an answer just in time must still be confirmed
COLD_WINDOW_MS = 1_000.0   # the rule on cold nodes counts set-ups in windows of a second
COLD_SIGMAS = 3.0          # over the mean that it allows: directors that share nothing clump by chance
LEAST_CLASSES = 3          # named with an objection; of more the number is told
TIMING = ("time_limit_ms", "connect_ms", "set_up_ms", "lease_ms", "release_ms", "attempts", "backoff_ms", "retry_after_ms")


class Objection(NamedTuple):
    """Why a file is refused. `rule`: the one that would break, None for what makes no sense; `lines`: what of the file allows it."""
    place: Place
    key: str
    reason: str
    rule: str | None = None
    timeline: tuple[tuple[float, str], ...] = ()
    lines: tuple[tuple[Place, str], ...] = ()
    moves: tuple[str, ...] = ()
    route: str = "/"
    product: str = ""
    wait_ms: float = 0.0

    def text(self) -> str:
        head = f"{self.place}: {self.key}: {self.reason}" if self.key else f"{self.place}: {self.reason}"
        told = [head] + [f"    {at:9.1f} ms  {words}" for at, words in self.timeline]
        return "\n".join(told + [f"    allowed by line {place.line}: {words}" for place, words in self.lines])


class Class(NamedTuple):
    """A route and product that meet one set of values."""
    route: str
    product: str
    effective: EffectiveTerms


def prove(limits: Limits, house: DirectorFile) -> list[Objection]:
    """All objections, in order of their lines. None: the file may be loaded at this director's deployment."""
    classes = [Class(*one) for one in limits.classes(house.names)]
    found = list(figures(limits, house, classes)) + list(terms_kept(limits, house)) + list(cold(limits, house.deployment)) + list(budget(limits, house.deployment))
    if not found:                                # lives of values that make no sense are not worth a search
        found = list(lives(limits, house, classes))
    return sorted(found, key=lambda one: (one.place.line, one.place.column, one.reason))


def answer_margin_ms(limits: Limits, house: DirectorFile) -> float:
    return house.bounds.answer_margin_ms if limits.answer_margin is None else limits.answer_margin.value


# Figures

def figures(limits: Limits, house: DirectorFile, classes: Iterable[Class]) -> Iterable[Objection]:
    """What makes no sense, once for each line that says it."""
    seen = set()
    for one in classes:
        for field, reason in nonsense(one.effective.terms, house, answer_margin_ms(limits, house)):
            told = one.effective.file_values
            fields = [name for name in (field, *PARTNERS.get(field, ())) if name in told]
            if not fields:
                continue                         # nothing of it stands in the file
            place = max((told[name].place for name in fields), key=lambda place: (place.line, place.column))
            if (place, reason) not in seen:
                seen.add((place, reason))
                yield Objection(place, field.replace("_", "-"), f"{reason} ({one.product} at {one.route})", route=one.route, product=one.product,
                                lines=tuple((told[name].place, words(name, told[name])) for name in fields))


PARTNERS = {               # what an objection to one value may come from as well
    "lease_ms": ("set_up_ms",), "connect_ms": ("set_up_ms",), "attempts": ("time_limit_ms", "set_up_ms", "release_ms", "lease_ms", "backoff_ms"),
    "first_frame_ms": ("time_limit_ms",), "set_up_ms": ("time_limit_ms", "lease_ms"), "copy_after_ms": ("read_copies", "first_segment_ms")}


def nonsense(t: PlayTerms, house: DirectorFile, margin_ms: float) -> Iterable[tuple[str, str]]:
    most, left = house.bounds.max_lease_ms, t.time_limit_ms - margin_ms
    if t.lease_ms > most:
        yield "lease_ms", f"a lease of {t.lease_ms:g} ms is over the director's lease-most-ms, {most:g}"
    if t.grace_ms < CONFIRM_MS:
        yield "lease_ms", f"a lease of {t.lease_ms:g} ms ends within {CONFIRM_MS:g} ms of the time-out of {t.set_up_ms:g}: an answer just in time cannot be confirmed"
    if t.connect_ms > t.set_up_ms:
        yield "connect_ms", f"{t.connect_ms:g} ms can never pass: the set-up's time-out is {t.set_up_ms:g}"
    if t.set_up_ms + t.grace_ms > left:
        yield "set_up_ms", f"a set-up of {t.set_up_ms:g} ms and the rest of its lease do not fit into a time limit of {t.time_limit_ms:g}"
    elif t.attempts <= house.deployment.max_allocations and (late := last_start(t)) + t.lease_ms > left:
        yield "attempts", f"attempt {first_late(t, left)} of {t.attempts} cannot have its set-up-ms: after the ones before it, it ends past the time limit of {t.time_limit_ms:g} ms (attempt {t.attempts} begins at {late:g})"
    if house.deployment.max_allocations < t.attempts < PlayTerms().attempts:
        yield "attempts", f"{t.attempts} is over the deployment's {house.deployment.max_allocations} allocations"
    if t.first_frame_ms > t.time_limit_ms:
        yield "first_frame_ms", f"a target of {t.first_frame_ms:g} ms is over the time limit of {t.time_limit_ms:g}"
    first, factor, longest = t.backoff_ms
    if longest < first:
        yield "backoff_ms", f"the longest pause, {longest:g} ms, is shorter than the first, {first:g}"
    if factor < 1:
        yield "backoff_ms", f"a factor of {factor:g} makes pauses shorter from attempt to attempt"
    low, high = t.retry_after_ms
    if low > high:
        yield "retry_after_ms", f"the least, {low:g} ms, is over the most, {high:g}"
    if t.read_copies and t.copy_after_ms >= t.first_segment_ms:
        yield "copy_after_ms", f"a copy after {t.copy_after_ms:g} ms comes when the first has stalled already, at {t.first_segment_ms:g}"


def starts(t: PlayTerms) -> Iterable[float]:
    """When each attempt begins if all before it take their time and are let go of without delay, ms."""
    at, (first, factor, longest) = 0.0, t.backoff_ms
    for number in range(t.attempts):
        yield at
        at += t.set_up_ms + min(first * factor ** number, longest)


def last_start(t: PlayTerms) -> float:
    return list(starts(t))[-1]


def first_late(t: PlayTerms, left: float) -> int:
    return next(number for number, at in enumerate(starts(t), 1) if at + t.lease_ms > left)


# Terms that are the rules'

def terms_kept(limits: Limits, house: DirectorFile) -> Iterable[Objection]:
    """Floors and seats may only be made stricter."""
    for name, product in zip(house.names, house.deployment.products):
        row = limits.products.get(name)
        if row is None:
            continue
        if row.floor is not None and row.floor.value < product.floor:
            low = int(row.floor.value)
            yield Objection(row.floor.place, "floor", f"rung {low} is under the terms of {name}: {product.floor} at least", "terms",
                            ((0.0, f"a {name} is asked for while its node's link is nearly full"), (0.0, f"set-up 1: sent at rung {low}"),
                             (0.0, f"it plays under rung {product.floor}")), ((row.floor.place, f"(floor {low})"),), product=name)
        elif row.floor is not None and row.floor.value > product.top:
            yield Objection(row.floor.place, "floor", f"rung {row.floor.value:g} is over the top rung of {name}, {product.top}", product=name)
        if row.seats is not None and product.seats and not 0 < row.seats.value <= product.seats:
            many = int(row.seats.value)
            yield Objection(row.seats.place, "seats", f"{many or 'no cap'} where the terms of {name} give {product.seats}", "terms",
                            ((0.0, f"{product.seats} plays of one title of {name} are held by a director"), (1.0, "one more is asked for, and set up")),
                            ((row.seats.place, f"(seats {many})"),), product=name)


def budget(limits: Limits, d: face.Deployment) -> Iterable[Objection]:
    """A director's budget may only be made tighter: compared for every number of plays taken in every window."""
    own = limits.budget
    if own is None or d.budget_free is None:
        return
    more = own.free > d.budget_free or own.share > d.budget_share or own.window_ms < d.budget_ms
    if not more:
        return
    plays = 1 if own.free > d.budget_free else math.ceil(1 / max(own.share - d.budget_share, 1e-3)) + math.ceil(d.budget_free) if own.share > d.budget_share else math.ceil(d.budget_free) + 1
    what = (f"{own.free:g} further allocations" if own.free > d.budget_free else f"a share of {own.share:g}" if own.share > d.budget_share
            else f"a window of {own.window_ms:g} ms")
    given = (f"{d.budget_free:g}" if own.free > d.budget_free else f"{d.budget_share:g}" if own.share > d.budget_share else f"{d.budget_ms:g} ms")
    yield Objection(own.place, "budget", f"{what} where the deployment's terms give {given}", "budget",
                    ((0.0, f"{plays} plays are taken, the set-ups of all are refused by their nodes, and again"),
                     (1.0, f"one further allocation more than {d.budget_free:g} and {d.budget_share:g} of the plays taken goes out within {d.budget_ms:g} ms")),
                    ((own.place, f"(budget (free {own.free:g}) (share {own.share:g}) (window-ms {own.window_ms:g}))"),))


def cold(limits: Limits, d: face.Deployment) -> Iterable[Objection]:
    """All directors together at a node that has just started. At the module's own pace or slower it is paced as it stands; quicker, the worst case must hold: every
    director's turn falls into one window."""
    pace = limits.cold_pace.value
    if pace <= 1 or not d.warm_ms:
        return
    streams = min(d.streams)
    mean = d.fall_multiple * streams / d.warm_ms * d.cold_from * COLD_WINDOW_MS
    allowed = mean + COLD_SIGMAS * math.sqrt(mean)
    gap = d.directors * d.warm_ms / (COLD_RAMP_SHARE * max(d.fall_multiple * pace, 1) * streams * d.cold_from)
    worst = d.directors * (math.floor(COLD_WINDOW_MS / gap) + 1)
    if worst <= allowed:
        return
    place = limits.cold_pace.place
    yield Objection(place, "cold-pace", f"{pace:g} lets {d.directors} directors send {worst} set-ups within {COLD_WINDOW_MS:g} ms to a node that has just started and takes {allowed:.1f}",
                    "cold", ((0.0, f"a node of {streams:g} streams starts"), (1.0, f"each of {d.directors} directors sends a set-up, and one every {gap:.0f} ms from then on"),
                             (COLD_WINDOW_MS, f"{worst} have come, {allowed:.1f} are allowed: it falls over")), ((place, f"(cold-pace {pace:g})"),))


# Lives

def lives(limits: Limits, house: DirectorFile, classes: list[Class]) -> Iterable[Objection]:
    """One objection for each search that found a life that breaks a rule, with the lines without which it would not."""
    edge, most, groups = answer_margin_ms(limits, house), house.deployment.max_allocations, {}
    repeats = {name: product.repeat for name, product in zip(house.names, house.deployment.products)}
    for one in classes:
        key = search.canonical_terms(SearchTerms(one.effective.terms, repeats[one.product], edge, most))
        groups.setdefault(key, []).append(one)
    own, found = default_terms(house.bounds.max_lease_ms, 0.0), {}
    for key, alike in groups.items():
        report = search.search(key)
        if report.counterexample is not None:
            lines = tuple(culprits(limits, alike[0].effective, key, own))
            found.setdefault(lines, []).append((report.counterexample, alike))
    for lines, same in found.items():            # the same lines, seen at many routes: told once, with the shortest life
        seen, alike = min(same, key=lambda one: (len(one[0].moves), len(one[0].timeline)))
        met = alike + [one for _, others in same for one in others if others is not alike]
        told = ", ".join(f"{one.product} at {one.route}" for one in met[:LEAST_CLASSES]) + (f" and {len(met) - LEAST_CLASSES} more" if len(met) > LEAST_CLASSES else "")
        place = lines[0][0] if lines else Place(limits.file, 1, 1)
        yield Objection(place, lines[0][1].strip("()").partition(" ")[0] if lines else "", f"{seen.description}: {told}", seen.rule, seen.timeline, lines, seen.moves,
                        alike[0].route, alike[0].product, seen.wait_ms)


def culprits(limits: Limits, effective: EffectiveTerms, key: SearchTerms, own: PlayTerms) -> list[tuple[Place, str]]:
    """The values of the file without which the life would not break: each is put back to what is built in, the others left."""
    found = []
    for field in TIMING:
        if field in effective.file_values:
            changed = key.play._replace(**{field: getattr(own, field)})
            if search.search(key._replace(play=changed)).counterexample is None:
                found.append((effective.file_values[field].place, words(field, effective.file_values[field])))
    if limits.answer_margin is not None and search.search(key._replace(margin_ms=max(40.0, key.margin_ms))).counterexample is None:
        found.append((limits.answer_margin.place, f"(answer-margin-ms {limits.answer_margin.value:g})"))
    if not found:                                # no one value alone: all that the life depends on
        found = [(effective.file_values[field].place, words(field, effective.file_values[field])) for field in TIMING if field in effective.file_values]
    return sorted(found, key=lambda one: (one[0].line, one[0].column))


def words(field: str, told: SourcedValue) -> str:
    value = told.value if isinstance(told.value, tuple) else (told.value,)
    return f"({KEY_OF.get(field, field.replace('_', '-'))} {' '.join(f'{one:g}' for one in value)})"


KEY_OF = {"first_frame_ms": "first-frame-target-ms"}

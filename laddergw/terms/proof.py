"""Decides whether a limits file is safe: finds inconsistent values, and values under which a rule can be broken, with a timeline that shows how. No I/O.

Values are compared here. The courses that a play can take are searched in search.py, once for all routes and products with equivalent terms. The other values
of a file (cold pace, budget, floors, seats) are compared with the deployment's own terms, which the rules are about.
"""
import math
from typing import Iterable, NamedTuple

from laddergw import interface
from laddergw.control.candidates import COLD_RAMP_SHARE
from laddergw.terms.director_file import DirectorFile
from laddergw.machines.play import PlayTerms
from laddergw.terms import search
from laddergw.terms.limits import EffectiveTerms, Limits, SourcedValue, default_terms
from laddergw.terms.search import SearchTerms
from laddergw.terms.sexpr import Place

MIN_CONFIRM_MS = 20.0      # between a set-up's time-out and the end of its lease: an answer just in time must still be confirmed
COLD_WINDOW_MS = 1_000.0   # the rule on cold nodes counts set-ups in windows of a second
COLD_SIGMAS = 3.0          # standard deviations over the mean that it allows: set-ups of independent directors coincide by chance
MAX_NAMED_CLASSES = 3      # routes and products named in an objection; further ones are only counted
TIMING_FIELDS = ("time_limit_ms", "connect_ms", "set_up_ms", "lease_ms", "release_ms", "attempts", "backoff_ms", "retry_after_ms")


class Objection(NamedTuple):
    """Why a file is rejected. `rule`: the rule that could be broken, None for inconsistent values; `lines`: the lines of the file that allow it."""
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
        """The objection for operators, with its timeline and the lines that allow it."""
        head = f"{self.place}: {self.key}: {self.reason}" if self.key else f"{self.place}: {self.reason}"
        report = [head] + [f"    {at:9.1f} ms  {words}" for at, words in self.timeline]
        return "\n".join(report + [f"    allowed by line {place.line}: {words}" for place, words in self.lines])


class TermsClass(NamedTuple):
    """Terms that a play can be under, with a route and product that have them."""
    route: str
    product: str
    effective: EffectiveTerms


def find_objections(limits: Limits, settings: DirectorFile) -> list[Objection]:
    """Returns all objections in the order of their lines; an empty list if the file is safe at this director."""
    classes = [TermsClass(*found) for found in limits.classes(settings.names)]
    objections = list(value_objections(limits, settings, classes)) + list(product_objections(limits, settings)) + list(cold_objections(limits, settings.deployment)) + list(budget_objections(limits, settings.deployment))
    if not objections:                           # under inconsistent values a search is of no use
        objections = list(search_objections(limits, settings, classes))
    return sorted(objections, key=lambda objection: (objection.place.line, objection.place.column, objection.reason))


def answer_margin_ms(limits: Limits, settings: DirectorFile) -> float:
    """How long before its viewer's limit a play is answered."""
    return settings.bounds.answer_margin_ms if limits.answer_margin is None else limits.answer_margin.value


# Values

def value_objections(limits: Limits, settings: DirectorFile, classes: Iterable[TermsClass]) -> Iterable[Objection]:
    """Inconsistent values, once for each line that holds them."""
    seen = set()
    for one in classes:
        for field, reason in inconsistencies(one.effective.terms, settings, answer_margin_ms(limits, settings)):
            file_values = one.effective.file_values
            fields = [name for name in (field, *RELATED_FIELDS.get(field, ())) if name in file_values]
            if not fields:
                continue                         # the file sets none of these values
            place = max((file_values[name].place for name in fields), key=lambda place: (place.line, place.column))
            if (place, reason) not in seen:
                seen.add((place, reason))
                yield Objection(place, field.replace("_", "-"), f"{reason} ({one.product} at {one.route})", route=one.route, product=one.product,
                                lines=tuple((file_values[name].place, form_text(name, file_values[name])) for name in fields))


RELATED_FIELDS = {         # other fields that may cause an objection to a field
    "lease_ms": ("set_up_ms",), "connect_ms": ("set_up_ms",), "attempts": ("time_limit_ms", "set_up_ms", "release_ms", "lease_ms", "backoff_ms"),
    "first_frame_ms": ("time_limit_ms",), "set_up_ms": ("time_limit_ms", "lease_ms"), "copy_after_ms": ("read_copies", "first_segment_ms")}


def inconsistencies(terms: PlayTerms, settings: DirectorFile, margin_ms: float) -> Iterable[tuple[str, str]]:
    """Fields with values that do not fit together, and the reasons."""
    max_lease_ms, usable_ms = settings.bounds.max_lease_ms, terms.time_limit_ms - margin_ms
    if terms.lease_ms > max_lease_ms:
        yield "lease_ms", f"a lease of {terms.lease_ms:g} ms is over the director's lease-most-ms, {max_lease_ms:g}"
    if terms.grace_ms < MIN_CONFIRM_MS:
        yield "lease_ms", f"a lease of {terms.lease_ms:g} ms ends within {MIN_CONFIRM_MS:g} ms of the time-out of {terms.set_up_ms:g}: an answer just in time cannot be confirmed"
    if terms.connect_ms > terms.set_up_ms:
        yield "connect_ms", f"{terms.connect_ms:g} ms can never pass: the set-up's time-out is {terms.set_up_ms:g}"
    if terms.set_up_ms + terms.grace_ms > usable_ms:
        yield "set_up_ms", f"a set-up of {terms.set_up_ms:g} ms and the rest of its lease do not fit into a time limit of {terms.time_limit_ms:g}"
    elif terms.attempts <= settings.deployment.max_allocations and (last_start_ms := last_start(terms)) + terms.lease_ms > usable_ms:
        yield "attempts", f"attempt {first_late_attempt(terms, usable_ms)} of {terms.attempts} cannot have its set-up-ms: after the ones before it, it ends past the time limit of {terms.time_limit_ms:g} ms (attempt {terms.attempts} begins at {last_start_ms:g})"
    if settings.deployment.max_allocations < terms.attempts < PlayTerms().attempts:
        yield "attempts", f"{terms.attempts} is over the deployment's {settings.deployment.max_allocations} allocations"
    if terms.first_frame_ms > terms.time_limit_ms:
        yield "first_frame_ms", f"a target of {terms.first_frame_ms:g} ms is over the time limit of {terms.time_limit_ms:g}"
    first, factor, longest = terms.backoff_ms
    if longest < first:
        yield "backoff_ms", f"the longest pause, {longest:g} ms, is shorter than the first, {first:g}"
    if factor < 1:
        yield "backoff_ms", f"a factor of {factor:g} makes pauses shorter from attempt to attempt"
    low, high = terms.retry_after_ms
    if low > high:
        yield "retry_after_ms", f"the least, {low:g} ms, is over the most, {high:g}"
    if terms.read_copies and terms.copy_after_ms >= terms.first_segment_ms:
        yield "copy_after_ms", f"a copy after {terms.copy_after_ms:g} ms comes when the first has stalled already, at {terms.first_segment_ms:g}"


def attempt_starts(terms: PlayTerms) -> Iterable[float]:
    """When each attempt begins, in ms, if all earlier ones time out and are released without delay."""
    start_ms, (first, factor, longest) = 0.0, terms.backoff_ms
    for number in range(terms.attempts):
        yield start_ms
        start_ms += terms.set_up_ms + min(first * factor ** number, longest)


def last_start(terms: PlayTerms) -> float:
    """When the last attempt begins, in ms."""
    return list(attempt_starts(terms))[-1]


def first_late_attempt(terms: PlayTerms, usable_ms: float) -> int:
    """The number, from 1, of the first attempt whose lease would end too late."""
    return next(number for number, start_ms in enumerate(attempt_starts(terms), 1) if start_ms + terms.lease_ms > usable_ms)


# The deployment's own terms

def product_objections(limits: Limits, settings: DirectorFile) -> Iterable[Objection]:
    """Objections to floors and seats, which may only be made stricter."""
    for name, product in zip(settings.names, settings.deployment.products):
        entry = limits.products.get(name)
        if entry is None:
            continue
        if entry.floor is not None and entry.floor.value < product.floor:
            rung = int(entry.floor.value)
            yield Objection(entry.floor.place, "floor", f"rung {rung} is under the terms of {name}: {product.floor} at least", "terms",
                            ((0.0, f"a play of {name} is requested while its node's link is nearly full"), (0.0, f"set-up 1: sent at rung {rung}"),
                             (0.0, f"it plays below rung {product.floor}")), ((entry.floor.place, f"(floor {rung})"),), product=name)
        elif entry.floor is not None and entry.floor.value > product.top:
            yield Objection(entry.floor.place, "floor", f"rung {entry.floor.value:g} is over the top rung of {name}, {product.top}", product=name)
        if entry.seats is not None and product.seats and not 0 < entry.seats.value <= product.seats:
            seats = int(entry.seats.value)
            yield Objection(entry.seats.place, "seats", f"{seats or 'no cap'} where the terms of {name} give {product.seats}", "terms",
                            ((0.0, f"{product.seats} plays of one title of {name} are held by a director"), (1.0, "one more is requested and set up")),
                            ((entry.seats.place, f"(seats {seats})"),), product=name)


def budget_objections(limits: Limits, deployment: interface.Deployment) -> Iterable[Objection]:
    """Objections to the director's budget, which may only be made tighter: compared for any number of plays taken in any window."""
    budget = limits.budget
    if budget is None or deployment.budget_free is None:
        return
    looser = budget.free > deployment.budget_free or budget.share > deployment.budget_share or budget.window_ms < deployment.budget_ms
    if not looser:
        return
    plays = 1 if budget.free > deployment.budget_free else math.ceil(1 / max(budget.share - deployment.budget_share, 1e-3)) + math.ceil(deployment.budget_free) if budget.share > deployment.budget_share else math.ceil(deployment.budget_free) + 1
    requested = (f"{budget.free:g} further allocations" if budget.free > deployment.budget_free else f"a share of {budget.share:g}" if budget.share > deployment.budget_share
                 else f"a window of {budget.window_ms:g} ms")
    allowed = (f"{deployment.budget_free:g}" if budget.free > deployment.budget_free else f"{deployment.budget_share:g}" if budget.share > deployment.budget_share else f"{deployment.budget_ms:g} ms")
    yield Objection(budget.place, "budget", f"{requested} where the deployment's terms give {allowed}", "budget",
                    ((0.0, f"{plays} plays are accepted, and their nodes refuse the set-ups of all of them, twice"),
                     (1.0, f"one further allocation more than {deployment.budget_free:g} and {deployment.budget_share:g} of the plays accepted is sent within {deployment.budget_ms:g} ms")),
                    ((budget.place, f"(budget (free {budget.free:g}) (share {budget.share:g}) (window-ms {budget.window_ms:g}))"),))


def cold_objections(limits: Limits, deployment: interface.Deployment) -> Iterable[Objection]:
    """Objections to the cold pace: what all directors together send to a node that has just started. The controller's own pace or a slower one is used as it is; at a
    faster one the worst case must be within the rule: the set-ups of all directors fall into one window."""
    pace = limits.cold_pace.value
    if pace <= 1 or not deployment.warm_ms:
        return
    streams = min(deployment.streams)
    mean = deployment.fall_multiple * streams / deployment.warm_ms * deployment.cold_from * COLD_WINDOW_MS
    allowed = mean + COLD_SIGMAS * math.sqrt(mean)
    gap_ms = deployment.directors * deployment.warm_ms / (COLD_RAMP_SHARE * max(deployment.fall_multiple * pace, 1) * streams * deployment.cold_from)
    worst = deployment.directors * (math.floor(COLD_WINDOW_MS / gap_ms) + 1)
    if worst <= allowed:
        return
    place = limits.cold_pace.place
    yield Objection(place, "cold-pace", f"{pace:g} lets {deployment.directors} directors send {worst} set-ups within {COLD_WINDOW_MS:g} ms to a node that has just started and takes {allowed:.1f}",
                    "cold", ((0.0, f"a node of {streams:g} streams starts"), (1.0, f"each of {deployment.directors} directors sends a set-up, and one every {gap_ms:.0f} ms from then on"),
                             (COLD_WINDOW_MS, f"{worst} have arrived, {allowed:.1f} are allowed: the node is overloaded")), ((place, f"(cold-pace {pace:g})"),))


# Search

def search_objections(limits: Limits, settings: DirectorFile, classes: list[TermsClass]) -> Iterable[Objection]:
    """One objection for each counterexample that a search found, with the lines of the file that it depends on."""
    margin_ms, max_allocations, groups = answer_margin_ms(limits, settings), settings.deployment.max_allocations, {}
    retry_safety = {name: product.repeat for name, product in zip(settings.names, settings.deployment.products)}
    for one in classes:
        key = search.canonical_terms(SearchTerms(one.effective.terms, retry_safety[one.product], margin_ms, max_allocations))
        groups.setdefault(key, []).append(one)
    built_in, found = default_terms(settings.bounds.max_lease_ms, 0.0), {}
    for key, group in groups.items():
        report = search.search(key)
        if report.counterexample is not None:
            lines = tuple(causes(limits, group[0].effective, key, built_in))
            found.setdefault(lines, []).append((report.counterexample, group))
    for lines, matches in found.items():         # the same lines at many routes: reported once, with the shortest counterexample
        shortest, group = min(matches, key=lambda pair: (len(pair[0].moves), len(pair[0].timeline)))
        affected = group + [one for _, others in matches for one in others if others is not group]
        affected_text = ", ".join(f"{one.product} at {one.route}" for one in affected[:MAX_NAMED_CLASSES]) + (f" and {len(affected) - MAX_NAMED_CLASSES} more" if len(affected) > MAX_NAMED_CLASSES else "")
        place = lines[0][0] if lines else Place(limits.file, 1, 1)
        yield Objection(place, lines[0][1].strip("()").partition(" ")[0] if lines else "", f"{shortest.description}: {affected_text}", shortest.rule, shortest.timeline, lines, shortest.moves,
                        group[0].route, group[0].product, shortest.wait_ms)


def causes(limits: Limits, effective: EffectiveTerms, key: SearchTerms, built_in: PlayTerms) -> list[tuple[Place, str]]:
    """The values of the file that a counterexample depends on: with any one of them at its built-in value, and the others as they are, the search finds none."""
    found = []
    for field in TIMING_FIELDS:
        if field in effective.file_values:
            changed = key.play._replace(**{field: getattr(built_in, field)})
            if search.search(key._replace(play=changed)).counterexample is None:
                found.append((effective.file_values[field].place, form_text(field, effective.file_values[field])))
    if limits.answer_margin is not None and search.search(key._replace(margin_ms=max(40.0, key.margin_ms))).counterexample is None:
        found.append((limits.answer_margin.place, f"(answer-margin-ms {limits.answer_margin.value:g})"))
    if not found:                                # no single value: all values that affect the search
        found = [(effective.file_values[field].place, form_text(field, effective.file_values[field])) for field in TIMING_FIELDS if field in effective.file_values]
    return sorted(found, key=lambda cause: (cause[0].line, cause[0].column))


def form_text(field: str, sourced: SourcedValue) -> str:
    """A value as the form that sets it, such as (connect-ms 200)."""
    value = sourced.value if isinstance(sourced.value, tuple) else (sourced.value,)
    return f"({KEY_NAMES.get(field, field.replace('_', '-'))} {' '.join(f'{number:g}' for number in value)})"


KEY_NAMES = {"first_frame_ms": "first-frame-target-ms"}

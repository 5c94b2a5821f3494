"""Reads the operators' limits file: time limits, attempts and budgets, each with its position, inherited to one set of values for each route and product.

    (limits (answer-margin-ms 40) (cold-pace 1) (adaptive gradient) (budget (free 10) (share 0.2) (window-ms 10000))
      (defaults (set-up-ms 1200) (attempts 3)) (product "permit-notice" (attempts 1) (floor 1))
      (tenant "basin" (budget (free 4) (share 0.1) (window-ms 10000))) (route "/shoreline/" (titles "tide-*") (products survey-clip) (tenant "basin") (time-limit-ms 3000)))

Later sources win: built-in values, defaults, product, then routes from the shortest prefix to the longest. docs/limits.md describes what each value means."""
from typing import Any, NamedTuple

from laddergw.machines.play import PlayTerms
from laddergw.machines.concurrency import KINDS as ADAPTIVE, OFF
from laddergw.terms.reading import Faults, FormReader, parse_single_form, read_text
from laddergw.terms.routes import RouteScope, RouteTrie
from laddergw.terms.sexpr import Place

BUILT_IN, MAX_TIME_MS = Place("built in", 0, 0), 600_000.0
MAX_CACHED_ROUTES = 20_000     # routes whose values are cached; beyond that the cache is emptied


class KeySpec(NamedTuple):
    """A key of the file that sets one field of PlayTerms: the range of its values and how many it takes."""
    field: str
    low: float
    high: float
    whole: bool = False
    size: int = 1


KEY_SPECS = {
    "first-frame-target-ms": KeySpec("first_frame_ms", 1, MAX_TIME_MS), "time-limit-ms": KeySpec("time_limit_ms", 50, MAX_TIME_MS), "connect-ms": KeySpec("connect_ms", 1, MAX_TIME_MS),
    "set-up-ms": KeySpec("set_up_ms", 10, MAX_TIME_MS), "lease-ms": KeySpec("lease_ms", 10, MAX_TIME_MS), "release-ms": KeySpec("release_ms", 0, MAX_TIME_MS),
    "first-segment-ms": KeySpec("first_segment_ms", 100, MAX_TIME_MS), "attempts": KeySpec("attempts", 1, 20, True), "backoff-ms": KeySpec("backoff_ms", 0, MAX_TIME_MS, size=3),
    "viewer-tries": KeySpec("viewer_tries", 1, 10_000, True), "retry-after-ms": KeySpec("retry_after_ms", 0, MAX_TIME_MS, size=2),
    "read-copies": KeySpec("read_copies", 0, 3, True), "copy-after-ms": KeySpec("copy_after_ms", 1, MAX_TIME_MS)}
UNSUPPORTED_KEYS = {"set-up-copies": "a set-up's copy is a second allocation of the play: only reads are copied (read-copies)",
                    "settle-ms": "a retry waits as long as its viewer says that an earlier attempt is unsettled"}


class SourcedValue(NamedTuple):
    """A value with its position in the file, and the form that it comes from."""
    value: Any
    place: Place
    source: str            # "defaults", "product hearing", "route /shoreline/"


class Budget(NamedTuple):
    """A retry budget, of further allocations within a window in ms: a fixed number, and a share of the plays taken in it."""
    free: float
    share: float
    window_ms: float
    place: Place = BUILT_IN
    fleet: bool = False                # planners grant `free`: budgets.md


class LimitsEntry(NamedTuple):
    """The values of one form. `values`: by field of PlayTerms."""
    name: str
    values: dict[str, SourcedValue]
    place: Place
    products: tuple[str, ...] = ()     # of a route: it applies to these only; empty: to all
    tenant: str | None = None
    budget: Budget | None = None
    floor: SourcedValue | None = None  # of a product
    seats: SourcedValue | None = None


class EffectiveTerms(NamedTuple):
    """The terms of a route and product, with the source of each value that the file sets."""
    terms: PlayTerms
    file_values: dict[str, SourcedValue]
    entries: tuple[LimitsEntry, ...]   # of the route, shortest prefix first

    def place(self, field: str) -> Place:
        """The position of the value of a field."""
        return self.file_values[field].place if field in self.file_values else BUILT_IN


class Limits:
    """The contents of a file without faults in its form. Whether they are safe is checked in terms/proof.py."""

    def __init__(self, file: str, built_in: PlayTerms):
        self.file, self.default_terms = file, built_in
        self.answer_margin: SourcedValue | None = None
        self.cold_pace = SourcedValue(1.0, BUILT_IN, "built in")
        self.budget: Budget | None = None
        self.adaptive = OFF                    # how the limit on concurrent set-ups follows the nodes' answers: machines/concurrency.py
        self.defaults: LimitsEntry | None = None
        self.products: dict[str, LimitsEntry] = {}
        self.tenants: dict[str, LimitsEntry] = {}
        self.routes: list[tuple[RouteScope, LimitsEntry]] = []
        self.trie = RouteTrie(())
        self.by_route: dict[tuple, EffectiveTerms] = {}
        self.by_entries: dict[tuple, EffectiveTerms] = {}

    def find(self, route: str, product: str) -> EffectiveTerms:
        """The terms of a play: found once for each route, and shared by all routes that the same forms apply to."""
        found = self.by_route.get((route, product))
        if found is None:
            entries = tuple(entry for entry in (self.routes[scope.order][1] for scope in self.trie.find(route)) if not entry.products or product in entry.products)
            key = tuple(id(entry) for entry in entries), product
            found = self.by_entries.get(key)
            if found is None:
                found = self.by_entries[key] = self.effective(entries, product)
            if len(self.by_route) >= MAX_CACHED_ROUTES:
                self.by_route.clear()
            self.by_route[route, product] = found
        return found

    def effective(self, entries: tuple[LimitsEntry, ...], product: str) -> EffectiveTerms:
        """Combines the defaults, the product's values and those of the route's entries; later ones win."""
        file_values: dict[str, SourcedValue] = {}
        for entry in (self.defaults, self.products.get(product), *entries):
            if entry is not None:
                file_values |= entry.values
        return EffectiveTerms(derive_terms(self.default_terms._replace(**{field: sourced.value for field, sourced in file_values.items()}), self.default_terms.grace_ms, file_values), file_values, entries)

    def classes(self, names: tuple[str, ...]) -> list[tuple[str, str, EffectiveTerms]]:
        """All terms that a play can be under, each with an example of a route, and the product."""
        found = []
        for product in names:
            found.append(("/", product, self.find("/", product)))
            for scope, entry in self.routes:
                if not entry.products or product in entry.products:
                    route = scope.prefix + example_title(scope)
                    found.append((route, product, self.find(route, product)))
        return found


def derive_terms(terms: PlayTerms, grace_ms: float, file_values: dict[str, SourcedValue]) -> PlayTerms:
    """Derives values that the file leaves out: a lease outlives its time-out by the built-in grace, a release may take as long as the lease, a connection no longer than the set-up."""
    if "set_up_ms" in file_values and "lease_ms" not in file_values:
        terms = terms._replace(lease_ms=terms.set_up_ms + grace_ms)
    elif "lease_ms" in file_values and "set_up_ms" not in file_values:
        terms = terms._replace(set_up_ms=max(terms.lease_ms - grace_ms, 1.0))
    if "release_ms" not in file_values:
        terms = terms._replace(release_ms=terms.lease_ms)
    if "connect_ms" not in file_values:
        terms = terms._replace(connect_ms=min(terms.connect_ms, terms.set_up_ms))
    if "first_frame_ms" not in file_values:
        terms = terms._replace(first_frame_ms=min(terms.first_frame_ms, terms.time_limit_ms))
    return terms


def example_title(scope: RouteScope) -> str:
    """A title that the first pattern of a scope matches; empty if it has none."""
    return scope.titles[0].replace("*", "").replace("?", "0") if scope.titles else ""


def read_file(path: str, names: tuple[str, ...], built_in: PlayTerms) -> Limits:
    """Reads a file without checking its safety. Raises FileRejected with all faults, also for a file that cannot be read."""
    return read(read_text(path), names, built_in, path.rpartition("/")[2])


def read(text: str, names: tuple[str, ...], built_in: PlayTerms, file: str = "text") -> Limits:
    """Reads a text; `names` are the deployment's products. Raises FileRejected with all faults of the form; proof.py checks the rules."""
    faults = Faults()
    top, limits = FormReader(parse_single_form(text, file, "limits"), faults), Limits(file, built_in)
    limits.answer_margin = read_number(top, "answer-margin-ms", 0, 1_000)
    limits.cold_pace = read_number(top, "cold-pace", 0.01, 100) or limits.cold_pace
    limits.budget = read_budget(top)
    limits.adaptive = top.word("adaptive", OFF, ADAPTIVE)
    defaults = top.subform("defaults", None)
    if defaults is not None:
        limits.defaults = read_entry(defaults, "defaults", names)
    for reader in top.subforms("product"):
        if reader.name not in names:
            reader.add_fault(reader.form.place, "", f"no product {reader.name!r}; the director has {', '.join(names)}")
        limits.products[reader.name] = read_entry(reader, f"product {reader.name}", names)
    for reader in top.subforms("tenant"):
        limits.tenants[reader.name] = read_entry(reader, f"tenant {reader.name}", names)
    read_routes(top, limits, names)
    top.reject_unknown_keys()
    faults.raise_if_any()
    limits.trie = RouteTrie(scope for scope, _ in limits.routes)
    return limits


def read_routes(top: FormReader, limits: Limits, names: tuple[str, ...]) -> None:
    """Reads the routes into the limits, whose tenants have been read."""
    first_places: dict[tuple, Place] = {}
    for order, reader in enumerate(top.subforms("route", unique=False)):
        titles = tuple(map(str, reader.words("titles", ()) or ()))
        scope, entry = RouteScope(reader.name, titles, order), read_entry(reader, " ".join(("route", reader.name, *titles)), names)
        if not scope.prefix.startswith("/"):
            reader.add_fault(reader.form.place, "", f"{scope.prefix!r} does not begin with /")
        key = scope.prefix, titles, entry.products
        if key in first_places:
            reader.add_fault(reader.form.place, "", f"is given twice, first at line {first_places[key].line}")
        first_places.setdefault(key, reader.form.place)
        if entry.tenant is not None and entry.tenant not in limits.tenants:
            reader.add_fault(reader.places["tenant"], "tenant", f"no tenant {entry.tenant!r}")
        limits.routes.append((scope, entry))


def read_entry(reader: FormReader, name: str, names: tuple[str, ...]) -> LimitsEntry:
    """Reads one form; its name begins with its kind: defaults, product, tenant or route."""
    kind, values = name.partition(" ")[0], {}
    if kind != "tenant":
        reader.known_keys.update(KEY_SPECS)
        for key, spec in KEY_SPECS.items():
            if key in reader.forms:
                sourced = read_value(reader, key, spec, name)
                if sourced is not None:
                    values[spec.field] = sourced
        for key, why in UNSUPPORTED_KEYS.items():
            for form in reader.forms.get(key, ()):
                reader.add_fault(form.place, key, f"is not offered: {why}")
                reader.known_keys.add(key)
    entry = LimitsEntry(name, values, reader.form.place)
    if kind == "route":
        products = tuple(map(str, reader.words("products", ()) or ()))
        for product in products:
            if product not in names:
                reader.add_fault(reader.places["products"], "products", f"no product {product!r}; the director has {', '.join(names)}")
        entry = entry._replace(products=products, tenant=reader.word("tenant", None))
    if kind in ("route", "tenant"):
        entry = entry._replace(budget=read_budget(reader, ("director", "fleet")))
    if kind == "product":
        entry = entry._replace(floor=read_number(reader, "floor", 0, 100, True), seats=read_number(reader, "seats", 0, 1_000_000, True))
    reader.reject_unknown_keys()
    return entry


def read_value(reader: FormReader, key: str, spec: KeySpec, source: str) -> SourcedValue | None:
    """Reads the value of a key, a tuple where it takes several numbers; None if it is absent or faulty."""
    if spec.size == 1:
        return read_number(reader, key, spec.low, spec.high, spec.whole, source)
    values = reader.numbers(key, None, spec.low, spec.high, spec.size)
    return None if values is None else SourcedValue(tuple(values), reader.places[key], source)


def read_number(reader: FormReader, key: str, low: float, high: float, whole: bool = False, source: str = "") -> SourcedValue | None:
    """Reads a number with its source; None if it is absent or faulty."""
    value = reader.number(key, None, low, high, whole)
    return None if value is None else SourcedValue(value, reader.places[key], source)


def read_budget(reader: FormReader, scopes: tuple[str, ...] = ("director",)) -> Budget | None:
    """Reads a budget; None if there is none."""
    if (form_reader := reader.subform("budget", None)) is None:
        return None
    budget = Budget(form_reader.number("free", 0.0, 0, 1e9), form_reader.number("share", 0.0, 0, 100), form_reader.number("window-ms", 10_000.0, 100, 3_600_000), form_reader.form.place,
                    form_reader.word("scope", "director", allowed=scopes) == "fleet")
    form_reader.reject_unknown_keys()
    return budget


def default_terms(max_lease_ms: float, grace_ms: float) -> PlayTerms:
    """The terms of a director without a limits file: its own bound on leases, and what the controller decides."""
    return PlayTerms(set_up_ms=max_lease_ms - grace_ms, connect_ms=max_lease_ms - grace_ms, lease_ms=max_lease_ms, release_ms=max_lease_ms)

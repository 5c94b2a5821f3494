"""The operators' file of time limits, attempts and budgets: read with places, its values inherited, one set for each route and product.

    (limits
      (answer-margin-ms 40) (cold-pace 1) (adaptive gradient) (budget (free 10) (share 0.2) (window-ms 10000))
      (defaults (set-up-ms 1200) (attempts 3))
      (product "permit-notice" (attempts 1) (floor 1))
      (tenant "basin" (budget (free 4) (share 0.1) (window-ms 10000)))
      (route "/shoreline/" (titles "tide-*") (products survey-clip) (tenant "basin") (time-limit-ms 3000)))

Later sources win: what is built in, defaults, product, then routes from the shortest prefix to the longest. docs/limits.md tells what each value means.
"""
from typing import Any, NamedTuple

from laddergw.machines.play import PlayTerms
from laddergw.machines.concurrency import KINDS as ADAPTIVE, OFF
from laddergw.terms.reading import Faults, FormReader, parse_single_form, read_text
from laddergw.terms.routes import RouteScope, RouteTrie
from laddergw.terms.sexpr import Place

BUILT_IN, LONGEST_MS = Place("built in", 0, 0), 600_000.0
KEPT_ROUTES = 20_000       # whose values are remembered: past that they are looked up again


class Kind(NamedTuple):
    """A key of the file that sets one value of PlayTerms."""
    field: str
    low: float
    high: float
    whole: bool = False
    size: int = 1


KINDS = {
    "first-frame-target-ms": Kind("first_frame_ms", 1, LONGEST_MS), "time-limit-ms": Kind("time_limit_ms", 50, LONGEST_MS),
    "connect-ms": Kind("connect_ms", 1, LONGEST_MS), "set-up-ms": Kind("set_up_ms", 10, LONGEST_MS),
    "lease-ms": Kind("lease_ms", 10, LONGEST_MS), "release-ms": Kind("release_ms", 0, LONGEST_MS),
    "first-segment-ms": Kind("first_segment_ms", 100, LONGEST_MS), "attempts": Kind("attempts", 1, 20, True),
    "backoff-ms": Kind("backoff_ms", 0, LONGEST_MS, size=3), "viewer-tries": Kind("viewer_tries", 1, 10_000, True),
    "retry-after-ms": Kind("retry_after_ms", 0, LONGEST_MS, size=2), "read-copies": Kind("read_copies", 0, 3, True),
    "copy-after-ms": Kind("copy_after_ms", 1, LONGEST_MS)}
NOT_OFFERED = {"set-up-copies": "a set-up's copy is a second allocation of the play: only reads are copied (read-copies)",
               "settle-ms": "a retry waits as long as its viewer says that an earlier try is unsettled"}


class SourcedValue(NamedTuple):
    """A value and where it stands."""
    value: Any
    place: Place
    source: str            # "defaults", "product hearing", "route /shoreline/"


class Budget(NamedTuple):
    """Further allocations: so many, and a share of the plays taken, within a window, ms."""
    free: float
    share: float
    window_ms: float
    place: Place = BUILT_IN
    fleet: bool = False                # `free` is the planners' to grant: budgets.md


class LimitsEntry(NamedTuple):
    """A form with values. `values`: by field of PlayTerms."""
    name: str
    values: dict[str, SourcedValue]
    place: Place
    products: tuple[str, ...] = ()     # of a route: only these; empty: all
    tenant: str | None = None
    budget: Budget | None = None
    floor: SourcedValue | None = None  # of a product
    seats: SourcedValue | None = None


class EffectiveTerms(NamedTuple):
    """What holds for a route and product, with where each value comes from."""
    terms: PlayTerms
    file_values: dict[str, SourcedValue]
    entries: tuple[LimitsEntry, ...]   # the route's own, shortest prefix first

    def place(self, field: str) -> Place:
        return self.file_values[field].place if field in self.file_values else BUILT_IN


class Limits:
    """A file that could be read. Whether it is safe is not said here: terms/proof.py."""

    def __init__(self, file: str, usual: PlayTerms):
        self.file, self.default_terms = file, usual
        self.answer_margin: SourcedValue | None = None
        self.cold_pace = SourcedValue(1.0, BUILT_IN, "built in")
        self.budget: Budget | None = None
        self.adaptive = OFF                    # how the waiting room follows nodes' answers: machines/concurrency.py
        self.defaults: LimitsEntry | None = None
        self.products: dict[str, LimitsEntry] = {}
        self.tenants: dict[str, LimitsEntry] = {}
        self.routes: list[tuple[RouteScope, LimitsEntry]] = []
        self.trie = RouteTrie(())
        self.known: dict[tuple, EffectiveTerms] = {}
        self.sets: dict[tuple, EffectiveTerms] = {}

    def find(self, route: str, product: str) -> EffectiveTerms:
        """The values for a play: looked up once for each route, shared by all routes that the same forms hold for."""
        found = self.known.get((route, product))
        if found is None:
            rows = tuple(row for row in (self.routes[at.order][1] for at in self.trie.find(route)) if not row.products or product in row.products)
            shared = tuple(id(row) for row in rows), product
            found = self.sets.get(shared)
            if found is None:
                found = self.sets[shared] = self.effective(rows, product)
            if len(self.known) >= KEPT_ROUTES:
                self.known.clear()
            self.known[route, product] = found
        return found

    def effective(self, rows: tuple[LimitsEntry, ...], product: str) -> EffectiveTerms:
        told: dict[str, SourcedValue] = {}
        for row in (self.defaults, self.products.get(product), *rows):
            if row is not None:
                told |= row.values
        return EffectiveTerms(follow(self.default_terms._replace(**{field: one.value for field, one in told.items()}), self.default_terms.grace_ms, told), told, rows)

    def classes(self, names: tuple[str, ...]) -> list[tuple[str, str, EffectiveTerms]]:
        """Every set of values that a play can meet, by a route that meets it, and its product."""
        found = []
        for product in names:
            found.append(("/", product, self.find("/", product)))
            for at, row in self.routes:
                if not row.products or product in row.products:
                    route = at.prefix + example(at)
                    found.append((route, product, self.find(route, product)))
        return found


def follow(t: PlayTerms, grace_ms: float, told: dict[str, SourcedValue]) -> PlayTerms:
    """What is not told follows from what is: a lease outlives its time-out by the built-in grace, a release may take as long as the
    lease, and a connection no longer than the set-up."""
    if "set_up_ms" in told and "lease_ms" not in told:
        t = t._replace(lease_ms=t.set_up_ms + grace_ms)
    elif "lease_ms" in told and "set_up_ms" not in told:
        t = t._replace(set_up_ms=max(t.lease_ms - grace_ms, 1.0))
    if "release_ms" not in told:
        t = t._replace(release_ms=t.lease_ms)
    if "connect_ms" not in told:
        t = t._replace(connect_ms=min(t.connect_ms, t.set_up_ms))
    if "first_frame_ms" not in told:
        t = t._replace(first_frame_ms=min(t.first_frame_ms, t.time_limit_ms))
    return t


def example(at: RouteScope) -> str:
    """Something behind a prefix that its first pattern takes."""
    return at.titles[0].replace("*", "").replace("?", "0") if at.titles else ""


def read_file(path: str, names: tuple[str, ...], usual: PlayTerms) -> Limits:
    """Raises FileRejected with every fault, an unreadable file included."""
    return read(read_text(path), names, usual, path.rpartition("/")[2])


def read(text: str, names: tuple[str, ...], usual: PlayTerms, file: str = "text") -> Limits:
    """`names`: the deployment's products. Raises FileRejected with every fault of the form; the rules are proof.py's."""
    faults = Faults()
    top, found = FormReader(parse_single_form(text, file, "limits"), faults), Limits(file, usual)
    found.answer_margin = take_number(top, "answer-margin-ms", 0, 1_000)
    found.cold_pace = take_number(top, "cold-pace", 0.01, 100) or found.cold_pace
    found.budget = take_budget(top)
    found.adaptive = top.word("adaptive", OFF, ADAPTIVE)
    defaults = top.subform("defaults", None)
    if defaults is not None:
        found.defaults = take_row(defaults, "defaults", names)
    for reader in top.subforms("product"):
        if reader.name not in names:
            reader.add_fault(reader.form.place, "", f"no product {reader.name!r}; the director has {', '.join(names)}")
        found.products[reader.name] = take_row(reader, f"product {reader.name}", names)
    for reader in top.subforms("tenant"):
        found.tenants[reader.name] = take_row(reader, f"tenant {reader.name}", names)
    take_routes(top, found, names)
    top.reject_unknown_keys()
    faults.raise_if_any()
    found.trie = RouteTrie(at for at, _ in found.routes)
    return found


def take_routes(top: FormReader, found: Limits, names: tuple[str, ...]) -> None:
    seen: dict[tuple, Place] = {}
    for order, reader in enumerate(top.subforms("route", unique=False)):
        titles = tuple(map(str, reader.words("titles", ()) or ()))
        at, row = RouteScope(reader.name, titles, order), take_row(reader, " ".join(("route", reader.name, *titles)), names)
        if not at.prefix.startswith("/"):
            reader.add_fault(reader.form.place, "", f"{at.prefix!r} does not begin with /")
        same = at.prefix, titles, row.products
        if same in seen:
            reader.add_fault(reader.form.place, "", f"stands twice, first at line {seen[same].line}")
        seen.setdefault(same, reader.form.place)
        if row.tenant is not None and row.tenant not in found.tenants:
            reader.add_fault(reader.places["tenant"], "tenant", f"no tenant {row.tenant!r}")
        found.routes.append((at, row))


def take_row(read: FormReader, name: str, names: tuple[str, ...]) -> LimitsEntry:
    kind, values = name.partition(" ")[0], {}
    if kind != "tenant":
        read.known_keys.update(KINDS)
        for key, spec in KINDS.items():
            if key in read.forms:
                told = take_value(read, key, spec, name)
                if told is not None:
                    values[spec.field] = told
        for key, why in NOT_OFFERED.items():
            for form in read.forms.get(key, ()):
                read.add_fault(form.place, key, f"is not offered: {why}")
                read.known_keys.add(key)
    row = LimitsEntry(name, values, read.form.place)
    if kind == "route":
        products = tuple(map(str, read.words("products", ()) or ()))
        for product in products:
            if product not in names:
                read.add_fault(read.places["products"], "products", f"no product {product!r}; the director has {', '.join(names)}")
        row = row._replace(products=products, tenant=read.word("tenant", None))
    if kind in ("route", "tenant"):
        row = row._replace(budget=take_budget(read, ("director", "fleet")))
    if kind == "product":
        row = row._replace(floor=take_number(read, "floor", 0, 100, True), seats=take_number(read, "seats", 0, 1_000_000, True))
    read.reject_unknown_keys()
    return row


def take_value(read: FormReader, key: str, spec: Kind, source: str) -> SourcedValue | None:
    if spec.size == 1:
        return take_number(read, key, spec.low, spec.high, spec.whole, source)
    values = read.numbers(key, None, spec.low, spec.high, spec.size)
    return None if values is None else SourcedValue(tuple(values), read.places[key], source)


def take_number(read: FormReader, key: str, low: float, high: float, whole: bool = False, source: str = "") -> SourcedValue | None:
    value = read.number(key, None, low, high, whole)
    return None if value is None else SourcedValue(value, read.places[key], source)


def take_budget(read: FormReader, scopes: tuple[str, ...] = ("director",)) -> Budget | None:
    if (under := read.subform("budget", None)) is None:
        return None
    budget = Budget(under.number("free", 0.0, 0, 1e9), under.number("share", 0.0, 0, 100), under.number("window-ms", 10_000.0, 100, 3_600_000), under.form.place,
                    under.word("scope", "director", allowed=scopes) == "fleet")
    under.reject_unknown_keys()
    return budget


def default_terms(lease_most_ms: float, grace_ms: float) -> PlayTerms:
    """What holds where a director has no such file: its own bound on leases, and the module's word."""
    return PlayTerms(set_up_ms=lease_most_ms - grace_ms, connect_ms=lease_most_ms - grace_ms, lease_ms=lease_most_ms, release_ms=lease_most_ms)

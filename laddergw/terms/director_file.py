"""The director's file: what a director is told of its deployment, its neighbours and its own bounds.

    (director (number 0) (listen "127.0.0.1" 8100) (list "127.0.0.1" 8200) (key "k1" "…") 
      (deployment (directors 4) (ladder 100 200 400) … (product "hearing" (importance 3) …)))

docs/settings.md lists every key. Reading checks all of it and tells all faults at once.
"""
import os
from typing import NamedTuple

from laddergw import interface as face
from laddergw.machines.admission import DirectorLimits
from laddergw.terms.reading import REQUIRED, Faults, FormReader, parse_single_form, read_text
from laddergw.terms.sexpr import FileRejected, Form


class DirectorFile(NamedTuple):
    """All that one director's process is told."""
    number: int
    seed: int
    listen: tuple[str, int]
    lists: tuple[str, int]
    keys: tuple[tuple[str, bytes], ...]     # key ids with secrets; the first signs
    names: tuple[str, ...]                  # of products, in the deployment's order
    deployment: face.Deployment
    bounds: DirectorLimits
    retired: frozenset[str] = frozenset()   # ids of keys that are taken no more
    planners: tuple[tuple[str, int], ...] = ()
    tls: tuple[str, str, str] | None = None # files: own certificate, its key, the authority's certificate
    peers: tuple[tuple[int, tuple[str, int]], ...] = ()    # other directors by number
    issuer: str = ""                        # identity of the store whose planners grant budgets of the fleet; empty: none are taken
    without_planner: str = ""               # "open" or "closed": what it does whose right to let plays in has ended; empty: it asks for none


RELOADABLE_FIELDS = ("keys", "retired", "names", "deployment", "peers")    # what a running director takes over
YES_NO = ("yes", "no")
REPEATS = ("safe", "keyed", "paid")
GROUPS = ("all", "zone", "cell")
KEY_LEAST = 16                              # bytes of a signing key


def read_file(path: str) -> DirectorFile:
    """The file's values. Raises FileRejected with every fault, an unreadable file included."""
    return read(read_text(path), os.path.basename(path))


def read(text: str, file: str = "text") -> DirectorFile:
    form, faults = parse_single_form(text, file, "director"), Faults()
    top = FormReader(form, faults)
    keys, retired = read_signing_keys(top), frozenset(map(str, top.words("retired", ()) or ()))
    for name in sorted(retired & {name for name, _ in keys}):
        top.add_fault(top.places["retired"], "retired", f"key {name} is told as a key, too")
    deployment = top.subform("deployment")
    bounds = top.subform("bounds", None)
    read_bounds = read_limits(bounds) if bounds is not None else DirectorLimits()
    rows, told = read_deployment(deployment) if deployment is not None else ((), None)
    number, peers = top.integer("number", 0, 0, 65_535), read_peers(top)
    told = told._replace(number=number, peers=bool(peers)) if told is not None else None
    if told is not None and told.directors is not None and number >= told.directors:
        top.add_fault(top.places.get("number", form.place), "number", f"{number} of {told.directors} directors: counts from 0")
    house = DirectorFile(number, top.integer("seed", 1, 0, 2 ** 63), top.address("listen"), top.address("list"), keys,
                         rows, told, read_bounds, retired, read_addresses(top, "planner"), read_tls(top), peers, top.word("issuer", ""),
                         top.word("without-planner", "", allowed=("open", "closed")))
    top.reject_unknown_keys()
    faults.raise_if_any()
    return house


def restart_only_changes(old: DirectorFile, new: DirectorFile) -> list[str]:
    """What differs between two readings beside the keys: that needs a restart."""
    return [name for name in DirectorFile._fields if name not in RELOADABLE_FIELDS and getattr(old, name) != getattr(new, name)]


def switch_fault(old: DirectorFile, new: DirectorFile) -> str | None:
    """Why a running director cannot go over to these settings; None where it can. Plays are counted by a product's place."""
    shared = min(len(old.names), len(new.names))
    if old.names[:shared] != new.names[:shared]:
        return f"product: {', '.join(new.names)} after {', '.join(old.names)}: products keep their places, new ones come last"
    if old.number != new.number:
        return f"number: {new.number} after {old.number}: a director keeps its number"
    return None


def read_signing_keys(top: FormReader) -> tuple[tuple[str, bytes], ...]:
    """Keys by id: (key "k1" "at least sixteen bytes")."""
    found = []
    for name, form in ((form.rest[0].value, form) for form in top.forms.get("key", ()) if len(form.rest) == 2):
        secret = str(form.rest[1].value).encode()
        if len(secret) < KEY_LEAST:
            top.add_fault(form.place, f"key {name}", f"{len(secret)} bytes, {KEY_LEAST} at least")
        if not str(name).isalnum():
            top.add_fault(form.place, f"key {name}", "an id takes letters and digits only")
        found.append((str(name), secret))
    top.known_keys.add("key")
    if not found:
        top.add_fault(top.form.place, "key", "is missing: (key ID SECRET)")
    return tuple(found)


def read_addresses(top: FormReader, key: str) -> tuple[tuple[str, int], ...]:
    """Addresses by a key that may come often: (planner "10.0.0.5" 8300)."""
    top.known_keys.add(key)
    found = []
    for form in top.forms.get(key, ()):
        address = FormReader(Form((form.items[0], form), form.place), top.faults, top.path).address(key)
        if address is not None:
            found.append(address)
    return tuple(found)


def read_peers(top: FormReader) -> tuple[tuple[int, tuple[str, int]], ...]:
    """Other directors by number: (peer 3 "10.0.0.7" 8100)."""
    top.known_keys.add("peer")
    found: dict[int, tuple[str, int]] = {}
    for form in top.forms.get("peer", ()):
        read = FormReader(Form((form.items[0], form), form.place), top.faults, top.path)
        atoms = read.atoms("peer", REQUIRED, 3, 3)
        if atoms is None:
            continue
        number = read.parse_number("peer", atoms[0], 0, 65_535, True)
        port = read.parse_number("peer", atoms[2], 1, 65_535, True)
        if not isinstance(atoms[1].value, str) or not atoms[1].value:
            top.add_fault(atoms[1].place, "peer", f"{atoms[1].value!r} is not an address")
        elif number in found:
            top.add_fault(form.place, "peer", f"director {number} stands twice")
        elif number is not None and port is not None:
            found[int(number)] = atoms[1].value, int(port)
    return tuple(found.items())


def read_tls(top: FormReader) -> tuple[str, str, str] | None:
    """(tls (certificate "edge.pem") (key "edge.key") (authority "authority.pem"))."""
    under = top.subform("tls", None)
    if under is None:
        return None
    files = tuple(under.word(name) or "" for name in ("certificate", "key", "authority"))
    under.reject_unknown_keys()
    return files


def read_limits(read: FormReader) -> DirectorLimits:
    usual = DirectorLimits()
    bounds = DirectorLimits(
        read.integer("open-tries", usual.max_waiting_viewers, 1, 1_000_000), read.integer("held-plays", usual.max_plays, 1, 1_000_000),
        read.integer("connections", usual.max_connections, 1, 1_000_000),
        read.number("lease-most-ms", usual.max_lease_ms, 200, 60_000),
        read.number("answer-margin-ms", usual.answer_margin_ms, 1, 1_000),
        read.number("retry-ms", usual.retry_after_ms, 0, 60_000), read.number("finish-ms", usual.finish_ms, 0, 3_600_000))
    read.reject_unknown_keys()
    return bounds


def read_deployment(read: FormReader) -> tuple[tuple[str, ...], face.Deployment]:
    ladder = read.numbers("ladder", low=1e-6)
    rungs = len(ladder or ())
    rows = [(product.name, read_product(product, rungs)) for product in read.subforms("product")]
    if not rows:
        read.add_fault(read.form.place, "product", "is missing: one at least")
    budget = read.subform("budget", None)
    free, share, window = (budget.number("free"), budget.number("share", 0.0, 0, 100), budget.number("window-ms", low=1)
                           ) if budget is not None else (None, 0.0, 0.0)
    if budget is not None:
        budget.reject_unknown_keys()
    told = face.Deployment(
        products=tuple(row for _, row in rows), ladder=ladder,
        rung_worth=read.numbers("rung-worth", low=0, high=1e6, size=rungs or None),
        cells=read.integer("cells", 1, 1, 100_000), racks=read.integer("racks", 1, 1, 100_000),
        link_unit=read.number("link-unit-kb", low=1e-6), rack_kb=read.number("rack-kb", low=1e-6),
        streams=read.numbers("streams", low=1), step_cost_ms=read.number("step-cost-ms", 0.0),
        seen_after_ms=read.number("seen-after-ms", 0.0, 0, 60_000), directors=read.integer("directors", 1, 1, 10_000),
        max_allocations=read.integer("allocations", 3, 1, 100), retry_max_ms=read.number("retry-most-ms", 1_000.0, 0, 600_000),
        cold_from=read.number("cold-from", 1.0, 0, 1), warm_ms=read.number("warm-ms", 0.0, 0, 3_600_000),
        fall_multiple=read.number("fall-multiple", 1.0, 0.01, 1_000), fall_ms=read.number("fall-ms", 0.0), budget_free=free, budget_share=share or 0.0,
        budget_ms=window or 0.0, must_ask=read.word("list-comes", "pushed", ("pushed", "asked")) == "asked",
        reports=read.words("reports", ()), probes=read.word("probes", "no", YES_NO) == "yes",
        told_by=read.word("told-by", "answers", ("answers", "probe", "none")), probe_price=read.number("probe-price", 0.0, 0, 1),
        cross_price=read.number("cross-price", 0.0, 0, 1), zone=read.integer("zone", 0, 0, 10_000),
        peer_price=read.number("peer-price", 0.0, 0, 1), join=read.number("join", 1.0, 0, 1))
    if ladder and any(low >= high for low, high in zip(ladder, ladder[1:])):
        read.add_fault(read.places["ladder"], "ladder", "rates must rise from rung to rung")
    if told.rung_worth and any(low > high for low, high in zip(told.rung_worth, told.rung_worth[1:])):
        read.add_fault(read.places["rung-worth"], "rung-worth", "a higher rung cannot be worth less")
    read.reject_unknown_keys()
    return tuple(name for name, _ in rows), told


def read_product(read: FormReader, rungs: int) -> face.Product:
    top = read.integer("top", max(rungs - 1, 0), 0, max(rungs - 1, 0))
    row = face.Product(read.number("importance", REQUIRED, 1e-9, 1e9), read.word("repeat", "safe", REPEATS),
                       read.word("group", "all", GROUPS), read.number("key-ms", 0.0, 0, 3_600_000),
                       read.integer("floor", 0, 0, max(rungs - 1, 0)), top, read.number("scale", 1.0, 1e-6, 1e6),
                       read.integer("seats", 0, 0, 1_000_000), read.word("live", "no", YES_NO) == "yes")
    if row.floor > row.top:
        read.add_fault(read.places.get("floor", read.form.place), "floor", f"rung {row.floor} is over the top rung {row.top}")
    if row.repeat == "keyed" and not row.key_ms:
        read.add_fault(read.form.place, "key-ms", "is missing: a keyed product's keys must hold for some time")
    read.reject_unknown_keys()
    return row

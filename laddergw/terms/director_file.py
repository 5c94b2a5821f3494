"""Reads the director's file: its deployment, the processes that it works with, and its own limits.

    (director (number 0) (listen "127.0.0.1" 8100) (list "127.0.0.1" 8200) (key "k1" "…") 
      (deployment (directors 4) (ladder 100 200 400) … (product "hearing" (importance 3) …)))

docs/settings.md lists every key. The whole file is checked, and all faults are reported at once.
"""
import os
from typing import NamedTuple

from laddergw import interface
from laddergw.machines.admission import DirectorLimits
from laddergw.terms.reading import REQUIRED, Faults, FormReader, parse_single_form, read_text
from laddergw.terms.sexpr import FileRejected, Form


class DirectorFile(NamedTuple):
    """The settings of one director process."""
    number: int
    seed: int
    listen: tuple[str, int]
    lists: tuple[str, int]
    keys: tuple[tuple[str, bytes], ...]     # key ids with secrets; the first one signs
    names: tuple[str, ...]                  # of the products, in the deployment's order
    deployment: interface.Deployment
    bounds: DirectorLimits
    retired: frozenset[str] = frozenset()   # ids of keys that are no longer accepted
    planners: tuple[tuple[str, int], ...] = ()
    tls: tuple[str, str, str] | None = None    # files: own certificate, its key, the authority's certificate
    peers: tuple[tuple[int, tuple[str, int]], ...] = ()    # other directors by number
    issuer: str = ""                        # identity of the store whose planners grant budgets of the fleet; empty: no grants are accepted
    without_planner: str = ""               # once its right to admit plays has expired: "open" or "closed"; empty: it asks for no right


RELOADABLE_FIELDS = ("keys", "retired", "names", "deployment", "peers")    # a running director adopts these without a restart
YES_NO = ("yes", "no")
RETRY_SAFETY = ("safe", "keyed", "paid")
GROUPS = ("all", "zone", "cell")
MIN_KEY_BYTES = 16                          # of a signing key


def read_file(path: str) -> DirectorFile:
    """Reads a file. Raises FileRejected with all faults, also for a file that cannot be read."""
    return read(read_text(path), os.path.basename(path))


def read(text: str, file: str = "text") -> DirectorFile:
    """Reads a text; `file` names it in faults. Raises FileRejected with all faults."""
    form, faults = parse_single_form(text, file, "director"), Faults()
    top = FormReader(form, faults)
    keys, retired = read_signing_keys(top), frozenset(map(str, top.words("retired", ()) or ()))
    for name in sorted(retired & {name for name, _ in keys}):
        top.add_fault(top.places["retired"], "retired", f"key {name} is also given as a signing key")
    deployment_form = top.subform("deployment")
    bounds_form = top.subform("bounds", None)
    bounds = read_bounds(bounds_form) if bounds_form is not None else DirectorLimits()
    product_names, deployment = read_deployment(deployment_form) if deployment_form is not None else ((), None)
    number, peers = top.integer("number", 0, 0, 65_535), read_peers(top)
    deployment = deployment._replace(number=number, peers=bool(peers)) if deployment is not None else None
    if deployment is not None and deployment.directors is not None and number >= deployment.directors:
        top.add_fault(top.places.get("number", form.place), "number", f"{number} of {deployment.directors} directors: counts from 0")
    settings = DirectorFile(number, top.integer("seed", 1, 0, 2 ** 63), top.address("listen"), top.address("list"), keys,
                            product_names, deployment, bounds, retired, read_addresses(top, "planner"), read_tls(top), peers, top.word("issuer", ""),
                            top.word("without-planner", "", allowed=("open", "closed")))
    top.reject_unknown_keys()
    faults.raise_if_any()
    return settings


def restart_only_changes(old: DirectorFile, new: DirectorFile) -> list[str]:
    """Names of the fields that differ and that a running director cannot adopt: those need a restart."""
    return [name for name in DirectorFile._fields if name not in RELOADABLE_FIELDS and getattr(old, name) != getattr(new, name)]


def switch_fault(old: DirectorFile, new: DirectorFile) -> str | None:
    """Why a running director cannot change to the new settings; None if it can.

    Plays are counted by their product's index, so products keep their order and new ones are added at the end.
    """
    common = min(len(old.names), len(new.names))
    if old.names[:common] != new.names[:common]:
        return f"product: {', '.join(new.names)} after {', '.join(old.names)}: products keep their places, new ones come last"
    if old.number != new.number:
        return f"number: {new.number} after {old.number}: a director keeps its number"
    return None


def read_signing_keys(top: FormReader) -> tuple[tuple[str, bytes], ...]:
    """Reads the signing keys by id: (key "k1" "at least sixteen bytes")."""
    found = []
    for name, form in ((form.rest[0].value, form) for form in top.forms.get("key", ()) if len(form.rest) == 2):
        secret = str(form.rest[1].value).encode()
        if len(secret) < MIN_KEY_BYTES:
            top.add_fault(form.place, f"key {name}", f"{len(secret)} bytes, {MIN_KEY_BYTES} at least")
        if not str(name).isalnum():
            top.add_fault(form.place, f"key {name}", "an id takes letters and digits only")
        found.append((str(name), secret))
    top.known_keys.add("key")
    if not found:
        top.add_fault(top.form.place, "key", "is missing: (key ID SECRET)")
    return tuple(found)


def read_addresses(top: FormReader, key: str) -> tuple[tuple[str, int], ...]:
    """Reads the addresses of a key that may be repeated: (planner "10.0.0.5" 8300)."""
    top.known_keys.add(key)
    found = []
    for form in top.forms.get(key, ()):
        address = FormReader(Form((form.items[0], form), form.place), top.faults, top.path).address(key)
        if address is not None:
            found.append(address)
    return tuple(found)


def read_peers(top: FormReader) -> tuple[tuple[int, tuple[str, int]], ...]:
    """Reads the other directors by number: (peer 3 "10.0.0.7" 8100)."""
    top.known_keys.add("peer")
    found: dict[int, tuple[str, int]] = {}
    for form in top.forms.get("peer", ()):
        reader = FormReader(Form((form.items[0], form), form.place), top.faults, top.path)
        atoms = reader.atoms("peer", REQUIRED, 3, 3)
        if atoms is None:
            continue
        number = reader.parse_number("peer", atoms[0], 0, 65_535, True)
        port = reader.parse_number("peer", atoms[2], 1, 65_535, True)
        if not isinstance(atoms[1].value, str) or not atoms[1].value:
            top.add_fault(atoms[1].place, "peer", f"{atoms[1].value!r} is not an address")
        elif number in found:
            top.add_fault(form.place, "peer", f"director {number} is given twice")
        elif number is not None and port is not None:
            found[int(number)] = atoms[1].value, int(port)
    return tuple(found.items())


def read_tls(top: FormReader) -> tuple[str, str, str] | None:
    """Reads the files' names for TLS: (tls (certificate "edge.pem") (key "edge.key") (authority "authority.pem"))."""
    tls = top.subform("tls", None)
    if tls is None:
        return None
    files = tuple(tls.word(name) or "" for name in ("certificate", "key", "authority"))
    tls.reject_unknown_keys()
    return files


def read_bounds(reader: FormReader) -> DirectorLimits:
    """Reads the director's own limits; absent ones have their built-in values."""
    defaults = DirectorLimits()
    bounds = DirectorLimits(
        reader.integer("open-tries", defaults.max_waiting_viewers, 1, 1_000_000), reader.integer("held-plays", defaults.max_plays, 1, 1_000_000),
        reader.integer("connections", defaults.max_connections, 1, 1_000_000),
        reader.number("lease-most-ms", defaults.max_lease_ms, 200, 60_000),
        reader.number("answer-margin-ms", defaults.answer_margin_ms, 1, 1_000),
        reader.number("retry-ms", defaults.retry_after_ms, 0, 60_000), reader.number("finish-ms", defaults.finish_ms, 0, 3_600_000))
    reader.reject_unknown_keys()
    return bounds


def read_deployment(reader: FormReader) -> tuple[tuple[str, ...], interface.Deployment]:
    """Reads the deployment; returns the products' names beside it."""
    ladder = reader.numbers("ladder", low=1e-6)
    rungs = len(ladder or ())
    products = [(form.name, read_product(form, rungs)) for form in reader.subforms("product")]
    if not products:
        reader.add_fault(reader.form.place, "product", "is missing: one at least")
    budget = reader.subform("budget", None)
    free, share, window = (budget.number("free"), budget.number("share", 0.0, 0, 100), budget.number("window-ms", low=1)
                           ) if budget is not None else (None, 0.0, 0.0)
    if budget is not None:
        budget.reject_unknown_keys()
    deployment = interface.Deployment(
        products=tuple(product for _, product in products), ladder=ladder,
        rung_worth=reader.numbers("rung-worth", low=0, high=1e6, size=rungs or None),
        cells=reader.integer("cells", 1, 1, 100_000), racks=reader.integer("racks", 1, 1, 100_000),
        link_unit=reader.number("link-unit-kb", low=1e-6), rack_kb=reader.number("rack-kb", low=1e-6),
        streams=reader.numbers("streams", low=1), step_cost_ms=reader.number("step-cost-ms", 0.0),
        seen_after_ms=reader.number("seen-after-ms", 0.0, 0, 60_000), directors=reader.integer("directors", 1, 1, 10_000),
        max_allocations=reader.integer("allocations", 3, 1, 100), retry_max_ms=reader.number("retry-most-ms", 1_000.0, 0, 600_000),
        cold_from=reader.number("cold-from", 1.0, 0, 1), warm_ms=reader.number("warm-ms", 0.0, 0, 3_600_000),
        fall_multiple=reader.number("fall-multiple", 1.0, 0.01, 1_000), fall_ms=reader.number("fall-ms", 0.0), budget_free=free, budget_share=share or 0.0,
        budget_ms=window or 0.0, must_ask=reader.word("list-comes", "pushed", ("pushed", "asked")) == "asked",
        reports=reader.words("reports", ()), probes=reader.word("probes", "no", YES_NO) == "yes",
        told_by=reader.word("told-by", "answers", ("answers", "probe", "none")), probe_price=reader.number("probe-price", 0.0, 0, 1),
        cross_price=reader.number("cross-price", 0.0, 0, 1), zone=reader.integer("zone", 0, 0, 10_000),
        peer_price=reader.number("peer-price", 0.0, 0, 1), join=reader.number("join", 1.0, 0, 1))
    if ladder and any(low >= high for low, high in zip(ladder, ladder[1:])):
        reader.add_fault(reader.places["ladder"], "ladder", "rates must rise from rung to rung")
    if deployment.rung_worth and any(low > high for low, high in zip(deployment.rung_worth, deployment.rung_worth[1:])):
        reader.add_fault(reader.places["rung-worth"], "rung-worth", "a higher rung cannot be worth less")
    reader.reject_unknown_keys()
    return tuple(name for name, _ in products), deployment


def read_product(reader: FormReader, rungs: int) -> interface.Product:
    """Reads one product; `rungs` is the number of rungs of the deployment's ladder."""
    top = reader.integer("top", max(rungs - 1, 0), 0, max(rungs - 1, 0))
    product = interface.Product(reader.number("importance", REQUIRED, 1e-9, 1e9), reader.word("repeat", "safe", RETRY_SAFETY),
                                reader.word("group", "all", GROUPS), reader.number("key-ms", 0.0, 0, 3_600_000),
                                reader.integer("floor", 0, 0, max(rungs - 1, 0)), top, reader.number("scale", 1.0, 1e-6, 1e6),
                                reader.integer("seats", 0, 0, 1_000_000), reader.word("live", "no", YES_NO) == "yes")
    if product.floor > product.top:
        reader.add_fault(reader.places.get("floor", reader.form.place), "floor", f"rung {product.floor} is over the top rung {product.top}")
    if product.repeat == "keyed" and not product.key_ms:
        reader.add_fault(reader.form.place, "key-ms", "is missing: a keyed product's keys must hold for some time")
    reader.reject_unknown_keys()
    return product

"""Reads and checks programme files: items, and rules for where they are inserted.

    (programme
      (item "tide-notice" (playlist "items/tide.m3u8") (length-ms 15000) (nodes 1003 1007) (rate-kb 400) (shorter "tide-short"))
      (item "tide-short" (playlist "items/tide-short.m3u8") (length-ms 5000) (nodes 1003))
      (rule "tide" (items "tide-notice") (before) (products survey-clip) (routes "/shoreline/") (since "2026-12-01T00:00:00Z")
        (until "2027-03-01T00:00:00Z") (most 1) (rank 5) (gap-ms 30000) (otherwise shorter)))

Places: (before), (at-ms N ...), (every-ms N), (at-cue CLASS), (after). Times are in ms; since and until are dates, kept as ms since 1970.
"""
import math
import posixpath
from typing import NamedTuple

from laddergw.hls.values import time_ms
from laddergw.terms.reading import Faults, FormReader, parse_single_form

BEFORE, AT, EVERY, CUE, AFTER = "before", "at-ms", "every-ms", "at-cue", "after"
PLACES = (BEFORE, AT, EVERY, CUE, AFTER)
# What is done when an item is not available in time
SKIP, SHORTER, LATER = "skip", "shorter", "later"
# Of one item: anything longer is a programme of its own
MAX_ITEM_MS = 3_600_000.0
# Between the items of one rule: a shorter interval leaves no programme between them
MIN_INTERVAL_MS = 10_000.0


class Piece(NamedTuple):
    """An item as the file describes it. `nodes`: media nodes that hold it; `shorter`: the item that can replace it."""
    name: str
    playlist: str
    length_ms: float
    nodes: tuple[int, ...]
    shorter: str | None
    # Of its segments, kB per second; None: as the ladder's top rung
    rate_kb: float | None = None


class Rule(NamedTuple):
    """Where items are inserted. `most`: how many in one session; 0: no limit. Where two rules meet, the higher `rank` goes first."""
    name: str
    items: tuple[str, ...]
    place: str
    # ms, for at-ms and every-ms
    at: tuple[float, ...]
    # CLASS of a DATERANGE
    cue: str | None
    # Empty: all products
    products: frozenset[str]
    # Path prefixes; empty: all routes
    routes: tuple[str, ...]
    since: float
    until: float
    most: int
    rank: int
    # Programme that must lie between this item and the one before it
    gap_ms: float
    otherwise: str


class Programme(NamedTuple):
    """A valid file: its items by name, and its rules in the file's order."""
    pieces: dict[str, Piece]
    rules: tuple[Rule, ...]


def read(text: str, file: str = "text") -> Programme:
    """Parses a programme file. Raises FileRejected with every fault of the file."""
    faults = Faults()
    top = FormReader(parse_single_form(text, file, "programme"), faults)
    readers = top.subforms("item")
    pieces = {reader.name: read_item(reader) for reader in readers}
    for reader in readers:
        check_shorter(reader, pieces)
    rules = tuple(read_rule(reader, pieces) for reader in top.subforms("rule"))
    top.reject_unknown_keys()
    faults.raise_if_any()
    return Programme(pieces, rules)


def read_item(reader: FormReader) -> Piece:
    """Reads an item; its playlist must lie below the folder of the items."""
    nodes = reader.numbers("nodes", low=0)
    if nodes and any(node != int(node) for node in nodes):
        reader.add_fault(reader.places["nodes"], "nodes", "a node is a whole number")
    piece = Piece(reader.name, reader.word("playlist"), reader.number("length-ms", low=100, high=MAX_ITEM_MS),
                  tuple(int(node) for node in nodes or ()), reader.word("shorter", None),
                  reader.number("rate-kb", None, 1e-6, 1e9))
    if piece.playlist and (piece.playlist.startswith("/") or ".." in posixpath.normpath(piece.playlist).split("/")):
        reader.add_fault(reader.places["playlist"], "playlist", f"{piece.playlist!r} is outside the folder of the items")
    reader.reject_unknown_keys()
    return piece


def check_shorter(reader: FormReader, pieces: dict[str, Piece]) -> None:
    """Checks that an item's shorter one exists and is shorter."""
    piece = pieces[reader.name]
    if piece.shorter is None:
        return
    other, place = pieces.get(piece.shorter), reader.places["shorter"]
    if other is None:
        reader.add_fault(place, "shorter", f"no item {piece.shorter!r}")
    elif other.length_ms is not None and piece.length_ms is not None and other.length_ms >= piece.length_ms:
        reader.add_fault(place, "shorter", f"{piece.shorter!r} lasts {other.length_ms:g} ms, not less than {piece.length_ms:g}")


def read_rule(reader: FormReader, pieces: dict[str, Piece]) -> Rule:
    """Reads a rule and checks it against the items that it names."""
    items = reader.words("items") or ()
    for name in items:
        if name not in pieces:
            reader.add_fault(reader.places["items"], "items", f"no item {name!r}")
    if not items:
        reader.add_fault(reader.places.get("items", reader.form.place), "items", "names no item")
    place, at, cue = read_place(reader)
    since, until = (read_date(reader, key, default) for key, default in (("since", -math.inf), ("until", math.inf)))
    if since >= until:
        reader.add_fault(reader.places["until"], "until", "is not later than since")
    rule = Rule(reader.name, tuple(items), place, at, cue, frozenset(reader.words("products", ()) or ()), tuple(reader.words("routes", ()) or ()),
                since, until, reader.integer("most", 0, 0, 1_000), reader.integer("rank", 0, 0, 1_000),
                reader.number("gap-ms", 0.0, 0, MAX_ITEM_MS), reader.word("otherwise", SKIP, (SKIP, SHORTER, LATER)))
    if rule.otherwise == SHORTER and not any(pieces[name].shorter for name in items if name in pieces):
        reader.add_fault(reader.places["otherwise"], "otherwise", "none of its items has a shorter one")
    reader.reject_unknown_keys()
    return rule


def read_place(reader: FormReader) -> tuple[str, tuple[float, ...], str | None]:
    """Reads where a rule inserts its items: the kind of place, its times (ms) and its cue class."""
    stated = [key for key in PLACES if key in reader.forms]
    if len(stated) != 1:
        problem = "is missing" if not stated else f"is given {len(stated)} times: {', '.join(stated)}"
        reader.add_fault(reader.form.place, "its place", f"{problem}; one of {', '.join(PLACES)}")
        reader.known_keys.update(PLACES)
        return BEFORE, (), None
    place = stated[0]
    if place in (AT, EVERY):
        low = MIN_INTERVAL_MS if place == EVERY else 0.0
        at = reader.numbers(place, low=low, size=1 if place == EVERY else None) or ()
        if list(at) != sorted(set(at)):
            reader.add_fault(reader.places[place], place, "times must increase")
        return place, tuple(at), None
    if place == CUE:
        return place, (), reader.word(place)
    reader.atoms(place, (), 0, 0)
    return place, (), None


def read_date(reader: FormReader, key: str, default: float) -> float:
    """Reads a date as ms since 1970."""
    text = reader.word(key, None)
    if text is None:
        return default
    try:
        return time_ms(text)
    except ValueError as error:
        reader.add_fault(reader.places[key], key, str(error))
        return default

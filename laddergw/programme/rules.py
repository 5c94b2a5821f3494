"""Decides which programme files are sound, and reads them: items, and rules for where they stand.

    (programme
      (item "tide-notice" (playlist "items/tide.m3u8") (length-ms 15000) (nodes 1003 1007) (rate-kb 400) (shorter "tide-short"))
      (item "tide-short" (playlist "items/tide-short.m3u8") (length-ms 5000) (nodes 1003))
      (rule "tide" (items "tide-notice") (before) (products survey-clip) (routes "/shoreline/") (since "2026-12-01T00:00:00Z")
        (until "2027-03-01T00:00:00Z") (most 1) (rank 5) (gap-ms 30000) (otherwise shorter)))

Places: (before), (at-ms N ...), (every-ms N), (at-cue CLASS), (after). Times in ms; since and until as dates, kept as ms since 1970.
"""
import math
import posixpath
from typing import NamedTuple

from laddergw.hls.values import time_ms
from laddergw.terms.reading import Faults, FormReader, parse_single_form

BEFORE, AT, EVERY, CUE, AFTER = "before", "at-ms", "every-ms", "at-cue", "after"
PLACES = (BEFORE, AT, EVERY, CUE, AFTER)
SKIP, SHORTER, LATER = "skip", "shorter", "later"     # what is done when an item cannot be had in time
LONGEST_MS = 3_600_000.0   # of one item: longer is a programme
LEAST_EVERY_MS = 10_000.0  # between items of one rule: less leaves no programme


class Piece(NamedTuple):
    """An item as the file tells it. `nodes`: media nodes that hold it; `shorter`: what stands in for it."""
    name: str
    playlist: str
    length_ms: float
    nodes: tuple[int, ...]
    shorter: str | None
    rate_kb: float | None = None     # kB a second of its segments; None: as the ladder's top rung


class Rule(NamedTuple):
    """Where items stand. `most`: in one session; 0: no cap. A higher `rank` goes first where two meet."""
    name: str
    items: tuple[str, ...]
    place: str
    at: tuple[float, ...]        # ms, for at-ms and every-ms
    cue: str | None              # CLASS of a DATERANGE
    products: frozenset[str]     # empty: all
    routes: tuple[str, ...]      # prefixes; empty: all
    since: float
    until: float
    most: int
    rank: int
    gap_ms: float                # programme that must lie between this item and the one before it
    otherwise: str


class Programme(NamedTuple):
    """A sound file."""
    pieces: dict[str, Piece]
    rules: tuple[Rule, ...]


def read(text: str, file: str = "text") -> Programme:
    """Raises FileRejected with every fault of the file."""
    faults = Faults()
    top = FormReader(parse_single_form(text, file, "programme"), faults)
    readers = top.subforms("item")
    pieces = {reader.name: take_piece(reader) for reader in readers}
    for reader in readers:
        check_shorter(reader, pieces)
    rules = tuple(take_rule(reader, pieces) for reader in top.subforms("rule"))
    top.reject_unknown_keys()
    faults.raise_if_any()
    return Programme(pieces, rules)


def take_piece(read: FormReader) -> Piece:
    nodes = read.numbers("nodes", low=0)
    if nodes and any(node != int(node) for node in nodes):
        read.add_fault(read.places["nodes"], "nodes", "a node is a whole number")
    piece = Piece(read.name, read.word("playlist"), read.number("length-ms", low=100, high=LONGEST_MS),
                  tuple(int(node) for node in nodes or ()), read.word("shorter", None),
                  read.number("rate-kb", None, 1e-6, 1e9))
    if piece.playlist and (piece.playlist.startswith("/") or ".." in posixpath.normpath(piece.playlist).split("/")):
        read.add_fault(read.places["playlist"], "playlist", f"{piece.playlist!r} leads out of the folder")
    read.reject_unknown_keys()
    return piece


def check_shorter(read: FormReader, pieces: dict[str, Piece]) -> None:
    piece = pieces[read.name]
    if piece.shorter is None:
        return
    other, place = pieces.get(piece.shorter), read.places["shorter"]
    if other is None:
        read.add_fault(place, "shorter", f"no item {piece.shorter!r}")
    elif other.length_ms is not None and piece.length_ms is not None and other.length_ms >= piece.length_ms:
        read.add_fault(place, "shorter", f"{piece.shorter!r} lasts {other.length_ms:g} ms, not less than {piece.length_ms:g}")


def take_rule(read: FormReader, pieces: dict[str, Piece]) -> Rule:
    items = read.words("items") or ()
    for name in items:
        if name not in pieces:
            read.add_fault(read.places["items"], "items", f"no item {name!r}")
    if not items:
        read.add_fault(read.places.get("items", read.form.place), "items", "names no item")
    place, at, cue = take_place(read)
    since, until = (date(read, key, usual) for key, usual in (("since", -math.inf), ("until", math.inf)))
    if since >= until:
        read.add_fault(read.places["until"], "until", "is not later than since")
    rule = Rule(read.name, tuple(items), place, at, cue, frozenset(read.words("products", ()) or ()), tuple(read.words("routes", ()) or ()),
                since, until, read.integer("most", 0, 0, 1_000), read.integer("rank", 0, 0, 1_000),
                read.number("gap-ms", 0.0, 0, LONGEST_MS), read.word("otherwise", SKIP, (SKIP, SHORTER, LATER)))
    if rule.otherwise == SHORTER and not any(pieces[name].shorter for name in items if name in pieces):
        read.add_fault(read.places["otherwise"], "otherwise", "none of its items has a shorter one")
    read.reject_unknown_keys()
    return rule


def take_place(read: FormReader) -> tuple[str, tuple[float, ...], str | None]:
    stated = [key for key in PLACES if key in read.forms]
    if len(stated) != 1:
        told = "is missing" if not stated else f"is told {len(stated)} times: {', '.join(stated)}"
        read.add_fault(read.form.place, "its place", f"{told}; one of {', '.join(PLACES)}")
        read.known_keys.update(PLACES)
        return BEFORE, (), None
    place = stated[0]
    if place in (AT, EVERY):
        low = LEAST_EVERY_MS if place == EVERY else 0.0
        at = read.numbers(place, low=low, size=1 if place == EVERY else None) or ()
        if list(at) != sorted(set(at)):
            read.add_fault(read.places[place], place, "times must rise")
        return place, tuple(at), None
    if place == CUE:
        return place, (), read.word(place)
    read.atoms(place, (), 0, 0)
    return place, (), None


def date(read: FormReader, key: str, usual: float) -> float:
    text = read.word(key, None)
    if text is None:
        return usual
    try:
        return time_ms(text)
    except ValueError as error:
        read.add_fault(read.places[key], key, str(error))
        return usual

"""Answers to operators' questions from the book. Pure. Each says what it does not know: who was silent, cut off, or could not tell all it did."""
from laddergw.fleet.fleet_log import SILENT_MS, FleetLog, Process
from laddergw.fleet.action_counts import ADMITTED
from laddergw.fleet.versions import KINDS


def list_unknown(book: FleetLog, now: float) -> list[str]:
    """What stands behind every answer."""
    said = [f"{len(processes)} processes run as {director}: {', '.join(sorted(process.name for _, process in processes))}"
            for director, processes in sorted(book.running(now).items()) if len(processes) > 1]
    for process in in_order(book):
        if now - process.heard_ms >= SILENT_MS and not process.gone:
            said.append(f"{process.name} silent since {format_seconds(now - process.heard_ms)} ago: what it does now is not known")
        if process.untold:
            said.append(f"{process.name} dropped {process.untold} actions before any planner could keep them")
        said += [f"{process.name}: its turns {first} to {last} are missing here: the journal was set back, or another planner keeps it" for first, last in gaps(process)]
    return said


def gaps(process: Process) -> list[tuple[int, int]]:
    """Turns that there must have been, between those that are known: numbers follow each other, and what was acknowledged is told no more."""
    found, expected = [], process.folded_to + 1
    for number in sorted(process.turns):
        if number > expected:
            found.append((expected, number - 1))
        expected = number + 1
    return found


def in_order(book: FleetLog) -> list[Process]:
    return [book.processes[name] for name in sorted(book.processes)]


def format_seconds(ms: float) -> str:
    return f"{ms / 1000:.1f} s"


def versions(book: FleetLog, now: float, wall_ms: float) -> dict:
    """By kind and version: the directors on it, plays let in under it in the last minute, since when the first is on it."""
    rows: dict[tuple, dict] = {}
    for process in in_order(book):
        held = process.last()
        if held is None or now - process.heard_ms >= SILENT_MS:
            continue
        for one in book.version_sets[held.stand].versions:
            row = rows.setdefault((KINDS.index(one.kind), one.hash), {"kind": one.kind, "version": one.hash, "number": one.number, "issuer": one.issuer,
                                                                      "directors": [], "let_in_last_minute": 0, "since_wall_ms": wall_ms})
            row["directors"].append(process.name)
            row["since_wall_ms"] = min(row["since_wall_ms"], wall_ms - (now - since(book, process, one)))
    for process in in_order(book):
        for _, stand_id, count in process.lately:
            for one in book.version_sets[stand_id].versions:
                if (key := (KINDS.index(one.kind), one.hash)) in rows:
                    rows[key]["let_in_last_minute"] += count
    return {"versions": [rows[key] for key in sorted(rows)], "not_known": list_unknown(book, now)}


def since(book: FleetLog, process: Process, one) -> float:
    """Since when a process is on a version without a break."""
    start = process.last().since_ms
    for number in sorted(process.turns, reverse=True):
        held = process.turns[number]
        if (on := book.version_sets[held.stand].of(one.kind)) is None or on.hash != one.hash:
            break
        start = held.since_ms
    return start


def director(book: FleetLog, name: str, at_wall_ms: float, now: float, wall_ms: float) -> dict:
    """What each process of a director acted on at a time."""
    at, found = now - (wall_ms - at_wall_ms), []
    for process in in_order(book):
        if name not in (process.name, process.director):
            continue
        held = process.at(at)
        if held is None:
            first = min((h.since_ms for h in process.turns.values()), default=now)
            found.append({"process": process.name, "stand": None, "why": f"nothing is known of it before {format_seconds(now - first)} ago"})
            continue
        after = process.turns.get(held.number + 1)
        found.append({"process": process.name, "stand": held.stand, "turn": held.number, "versions": [tuple(v) for v in book.version_sets[held.stand].versions],
                      "since_wall_ms": wall_ms - (now - held.since_ms), "until_wall_ms": None if after is None else wall_ms - (now - after.since_ms),
                      "last_word_wall_ms": wall_ms - (now - process.heard_ms), "late_by_at_most_ms": held.told_ms - held.since_ms,
                      "did": did(process, held.number)})
    return {"director": name, "at_wall_ms": at_wall_ms, "processes": found, "not_known": list_unknown(book, now)}


def did(process: Process, turn: int) -> dict[str, int]:
    found: dict[str, int] = {}
    for key, count in sorted(process.counts.items()):
        if key.turn == turn:
            found[f"{key.product} {key.action}".strip()] = found.get(f"{key.product} {key.action}".strip(), 0) + count
    return found


def version(book: FleetLog, hash_begins: str, now: float, wall_ms: float) -> dict:
    """Who acted on a version, from when to when, how many plays of which product; also plays that kept it past its time."""
    rows = []
    for process in in_order(book):
        turns = [held for number, held in sorted(process.turns.items()) if any(v.hash.startswith(hash_begins) for v in book.version_sets[held.stand].versions)]
        numbers = {held.number for held in turns}
        plays: dict[str, int] = {}
        later: dict[str, int] = {}
        for key, count in sorted(process.counts.items()):
            kept = key.kept and any(v.hash.startswith(hash_begins) for v in book.version_sets[key.kept].versions) if key.kept in book.version_sets else False
            if key.turn in numbers and key.action == ADMITTED:
                plays[key.product] = plays.get(key.product, 0) + count
            elif kept and key.turn not in numbers:
                name = f"{key.product} {key.action}"
                later[name] = later.get(name, 0) + count
        if turns:
            end = process.turns.get(turns[-1].number + 1)
            rows.append({"process": process.name, "from_wall_ms": wall_ms - (now - turns[0].since_ms), "turns": len(turns),
                         "to_wall_ms": None if end is None else wall_ms - (now - end.since_ms), "let_in": plays, "kept_later": later})
    return {"version": hash_begins, "acted": rows, "not_known": list_unknown(book, now)}


def total_counts(book: FleetLog) -> dict[tuple[str, str, str, str], int]:
    """All counts, by process, stand in force (empty: of turns that are kept no more), product and action."""
    found: dict[tuple[str, str, str, str], int] = {}
    for process in in_order(book):
        for key, count in process.counts.items():
            held = process.turns.get(key.turn)
            name = process.name, held.stand if held else "", key.product, key.action
            found[name] = found.get(name, 0) + count
        for (product, action), count in process.earlier.items():
            name = process.name, "", product, action
            found[name] = found.get(name, 0) + count
    return found

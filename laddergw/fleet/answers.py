"""Answers to operators' questions from the fleet log. Does no input or output. Each states what is not known: who was silent, cut off, or could not report all it did."""
from laddergw.fleet.fleet_log import SILENT_MS, FleetLog, Process
from laddergw.fleet.action_counts import ADMITTED
from laddergw.fleet.versions import KINDS


def list_unknown(log: FleetLog, now: float) -> list[str]:
    """Returns the reservations that apply to every answer, as sentences."""
    sentences = [f"{len(processes)} processes run as {director}: {', '.join(sorted(process.name for _, process in processes))}"
                 for director, processes in sorted(log.running(now).items()) if len(processes) > 1]
    for process in in_order(log):
        if now - process.heard_ms >= SILENT_MS and not process.gone:
            sentences.append(f"{process.name} silent since {format_seconds(now - process.heard_ms)} ago: what it does now is not known")
        if process.untold:
            sentences.append(f"{process.name} dropped {process.untold} actions before any planner could keep them")
        sentences += [f"{process.name}: its turns {first} to {last} are missing here: the journal was set back, or another planner keeps it" for first, last in gaps(process)]
    return sentences


def gaps(process: Process) -> list[tuple[int, int]]:
    """Returns the ranges of turns that are missing between known ones: numbers are consecutive, and what was acknowledged is not reported again."""
    missing, expected = [], process.folded_to + 1
    for number in sorted(process.turns):
        if number > expected:
            missing.append((expected, number - 1))
        expected = number + 1
    return missing


def in_order(log: FleetLog) -> list[Process]:
    """Returns the processes in the order of their names."""
    return [log.processes[name] for name in sorted(log.processes)]


def format_seconds(ms: float) -> str:
    """Returns a duration in seconds as text."""
    return f"{ms / 1000:.1f} s"


def versions(log: FleetLog, now: float, wall_ms: float) -> dict:
    """Returns by kind and version: the directors on it, the plays admitted under it in the last minute, and since when the first of them is on it."""
    rows: dict[tuple, dict] = {}
    for process in in_order(log):
        turn = process.last()
        if turn is None or now - process.heard_ms >= SILENT_MS:
            continue
        for one in log.version_sets[turn.stand].versions:
            row = rows.setdefault((KINDS.index(one.kind), one.hash), {"kind": one.kind, "version": one.hash, "number": one.number, "issuer": one.issuer,
                                                                      "directors": [], "let_in_last_minute": 0, "since_wall_ms": wall_ms})
            row["directors"].append(process.name)
            row["since_wall_ms"] = min(row["since_wall_ms"], wall_ms - (now - since(log, process, one)))
    for process in in_order(log):
        for _, set_id, count in process.recent:
            for one in log.version_sets[set_id].versions:
                if (key := (KINDS.index(one.kind), one.hash)) in rows:
                    rows[key]["let_in_last_minute"] += count
    return {"versions": [rows[key] for key in sorted(rows)], "not_known": list_unknown(log, now)}


def since(log: FleetLog, process: Process, one) -> float:
    """Returns since when a process has been on a version without interruption."""
    start = process.last().since_ms
    for number in sorted(process.turns, reverse=True):
        turn = process.turns[number]
        if (on := log.version_sets[turn.stand].of(one.kind)) is None or on.hash != one.hash:
            break
        start = turn.since_ms
    return start


def director(log: FleetLog, name: str, at_wall_ms: float, now: float, wall_ms: float) -> dict:
    """Returns what each process of a director acted on at a time."""
    at, rows = now - (wall_ms - at_wall_ms), []
    for process in in_order(log):
        if name not in (process.name, process.director):
            continue
        turn = process.at(at)
        if turn is None:
            first = min((t.since_ms for t in process.turns.values()), default=now)
            rows.append({"process": process.name, "stand": None, "why": f"nothing is known of it before {format_seconds(now - first)} ago"})
            continue
        after = process.turns.get(turn.number + 1)
        rows.append({"process": process.name, "stand": turn.stand, "turn": turn.number, "versions": [tuple(v) for v in log.version_sets[turn.stand].versions],
                     "since_wall_ms": wall_ms - (now - turn.since_ms), "until_wall_ms": None if after is None else wall_ms - (now - after.since_ms),
                     "last_word_wall_ms": wall_ms - (now - process.heard_ms), "late_by_at_most_ms": turn.told_ms - turn.since_ms,
                     "did": actions_of_turn(process, turn.number)})
    return {"director": name, "at_wall_ms": at_wall_ms, "processes": rows, "not_known": list_unknown(log, now)}


def actions_of_turn(process: Process, turn: int) -> dict[str, int]:
    """Returns the counts of a turn by product and action."""
    actions: dict[str, int] = {}
    for key, count in sorted(process.counts.items()):
        if key.turn == turn:
            actions[f"{key.product} {key.action}".strip()] = actions.get(f"{key.product} {key.action}".strip(), 0) + count
    return actions


def version(log: FleetLog, hash_begins: str, now: float, wall_ms: float) -> dict:
    """Returns who acted on a version, from when to when, with how many plays of which product; also plays that kept its terms after it was replaced."""
    rows = []
    for process in in_order(log):
        turns = [turn for number, turn in sorted(process.turns.items()) if any(v.hash.startswith(hash_begins) for v in log.version_sets[turn.stand].versions)]
        numbers = {turn.number for turn in turns}
        plays: dict[str, int] = {}
        kept_later: dict[str, int] = {}
        for key, count in sorted(process.counts.items()):
            kept = key.kept and any(v.hash.startswith(hash_begins) for v in log.version_sets[key.kept].versions) if key.kept in log.version_sets else False
            if key.turn in numbers and key.action == ADMITTED:
                plays[key.product] = plays.get(key.product, 0) + count
            elif kept and key.turn not in numbers:
                name = f"{key.product} {key.action}"
                kept_later[name] = kept_later.get(name, 0) + count
        if turns:
            end = process.turns.get(turns[-1].number + 1)
            rows.append({"process": process.name, "from_wall_ms": wall_ms - (now - turns[0].since_ms), "turns": len(turns),
                         "to_wall_ms": None if end is None else wall_ms - (now - end.since_ms), "let_in": plays, "kept_later": kept_later})
    return {"version": hash_begins, "acted": rows, "not_known": list_unknown(log, now)}


def total_counts(log: FleetLog) -> dict[tuple[str, str, str, str], int]:
    """Returns all counts by process, version set in force (empty: of turns that are no longer kept), product and action."""
    counts: dict[tuple[str, str, str, str], int] = {}
    for process in in_order(log):
        for key, count in process.counts.items():
            turn = process.turns.get(key.turn)
            name = process.name, turn.stand if turn else "", key.product, key.action
            counts[name] = counts.get(name, 0) + count
        for (product, action), count in process.earlier.items():
            name = process.name, "", product, action
            counts[name] = counts.get(name, 0) + count
    return counts

"""Checks the ends of running plays: the viewer of each gets its release in time. No I/O.

A release is due 1 s after the director has learned of the end from the media node, or has released
the session itself; it is due 8 s after an end that nobody could report to the director. While no
connection on which a play was requested is open to the director, it cannot send a release.
"""

import math

from laddergw.lab.soak.violation import SLACK_MS, RuleViolation

# A release is due this long after an end that the director knows of.
KNOWN_END_MS = 1_000.0
# A release is due this long after an end that nobody could report to the director.
UNKNOWN_END_MS = 8_000.0


def check_releases(records) -> list[RuleViolation]:
    """Checks that plays that ended were released in time, where that was up to the director."""
    spans_of, end_of_trial = open_spans(records), max((at for at, _, _ in records), default=0.0)
    director_of = {
        fields["session"]: fields["director"]
        for _, event, fields in records
        if event in ("asked", "asked again")
    }
    ends_of = director_ends(records)
    violations = []
    for session, events in played_sessions(records).items():
        director = director_of.get(session, "")
        due, released, cause = release_due(events)
        process_end = next((at for at in ends_of.get(director, ()) if at > events[0][0]), math.inf)
        if released is None and was_killed(records, director, events[0][0], process_end):
            continue
        if process_end < due and released is None:
            violations.append(
                RuleViolation(
                    "lost", f"still played as its director ended: {session} at {director}", session
                )
            )
            continue
        due = earliest_delivery(spans_of.get(director, []), due) if due < math.inf else due
        if due == math.inf or min(released or math.inf, end_of_trial) <= due + SLACK_MS:
            continue
        late = f"{released - due:.0f} ms late" if released is not None else "never"
        violations.append(
            RuleViolation(
                "lost",
                f"ended ({cause}), and its viewer was released {late}: {session} at {director}",
                session,
            )
        )
    return violations


def played_sessions(records) -> dict[str, list]:
    """Returns the records of each session that was answered with a play.

    They are the answer, then its media node's events and the release. Sessions that their viewers
    ended are left out.
    """
    found: dict[str, list] = {}
    for record in records:
        if "session" in record[2]:
            found.setdefault(record[2]["session"], []).append(record)
    session_events = {}
    for session, events in found.items():
        answers = [
            record
            for record in events
            if record[1] == "answered" and record[2]["answer"] == "plays"
        ]
        event_names = {event for _, event, _ in events}
        if answers and not event_names & {"ended by its viewer", "left"}:
            node = next(
                (
                    fields["node"]
                    for _, event, fields in events
                    if event == "made" and fields["text"] == answers[0][2].get("text")
                ),
                None,
            )
            session_events[session] = [
                answers[0],
                *(
                    record
                    for record in events
                    if record[1] == "released" or record[2].get("node", "") == node
                ),
            ]
    return session_events


def release_due(events) -> tuple[float, float | None, str]:
    """Returns when a session's release is due, when it came, and the event that ended the session.

    The due time is infinite where the session goes on.
    """
    due, cause, released = math.inf, "", None
    for at, event, fields in events:
        if event == "released" and released is None:
            released = at
        elif event in ("ended by its node", "died with it") and at + UNKNOWN_END_MS < due:
            due, cause = at + UNKNOWN_END_MS, event
        elif (
            event in ("release acknowledged", "torn down")
            and at + KNOWN_END_MS + fields["lag"] < due
        ):
            due, cause = at + KNOWN_END_MS + fields["lag"], event
    return due, released, cause


def open_spans(records) -> dict[str, list[tuple[float, float]]]:
    """Returns, by director, the spans of open connections from the first play request on each."""
    since: dict[tuple[str, int], float] = {}
    found: dict[str, list[tuple[float, float]]] = {}
    for at, event, fields in records:
        if event in ("asked", "asked again"):
            since.setdefault((fields["director"], fields["connection"]), at)
        elif event == "connection ended" and (fields["director"], fields["connection"]) in since:
            opened_at = since.pop((fields["director"], fields["connection"]))
            found.setdefault(fields["director"], []).append((opened_at, at))
    for (director, _), opened_at in since.items():
        found.setdefault(director, []).append((opened_at, math.inf))
    return found


def earliest_delivery(spans: list[tuple[float, float]], due: float) -> float:
    """Returns the time by which a release due at `due` can have arrived: it needs one second on a
    connection that stays open for that long.
    """
    if any(opened_at <= due - KNOWN_END_MS and end >= due for opened_at, end in spans):
        return due
    later = [
        opened_at + KNOWN_END_MS
        for opened_at, end in spans
        if opened_at > due - KNOWN_END_MS and end >= opened_at + KNOWN_END_MS
    ]
    return max(due, min(later, default=math.inf))


def director_ends(records) -> dict[str, list[float]]:
    """Returns, by director, the times at which its processes ended."""
    found: dict[str, list[float]] = {}
    for at, event, fields in records:
        if event == "director ended":
            found.setdefault(fields["director"], []).append(at)
    return found


def was_killed(records, director: str, since: float, until: float) -> bool:
    """Tells whether the process of a session was killed, also while its answer was in transit."""
    return any(
        event == "director killed"
        and fields["director"] == director
        and since - SLACK_MS <= at <= until
        for at, event, fields in records
    )

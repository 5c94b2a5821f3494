"""Finds rule violations in the records of what passed between directors and their peers. No I/O.

A record is (ms, event, fields). All times are those of the one process that plays all peers. `lag`
is how long that process itself may have left the data unread; the director is not blamed for it.
The rules on releases are in judge_releases.py, those on plays that may have run in judge_runs.py.
"""

import math
from collections.abc import Iterable

from laddergw.lab.soak.judge_cold import check_cold_starts
from laddergw.lab.soak.judge_drains import check_drains
from laddergw.lab.soak.judge_limits import check_processor_use, check_retry_budget
from laddergw.lab.soak.judge_releases import check_releases
from laddergw.lab.soak.judge_runs import (
    by_session,
    check_keyed_retries,
    check_refusals,
    check_single_runs,
)
from laddergw.lab.soak.judge_standing import check_standing_plays
from laddergw.lab.soak.terms import Terms
from laddergw.lab.soak.violation import RuleViolation

# No attempt begins later than this after its viewer has left: a requirement of the users.
LEFT_GRACE_MS = 100.0
# Number of such late attempts from which the rule counts as broken.
MIN_LEFT_CASES = 3
# An answer may come this long after the viewer's wait, and earns nothing then: the platform's page.
ANSWER_SLACK_MS = 500.0
# No answer is due once the viewer has left, its director was killed or its connection was lost.
NO_ANSWER_DUE = "left", "cut", "not taken"
# This share of the starts has to be ready within the time.
READY_MS, READY_SHARE = 10_000.0, 0.9
# Fields of a set-up that are passed on unchanged.
FORWARDED_FIELDS = "product", "title", "offer"


def judge(records: Iterable[tuple], terms: Terms) -> list[RuleViolation]:
    """Returns all rule violations."""
    records = sorted(records, key=lambda record: record[0])
    rules = (
        check_answers(records),
        check_descriptions(records),
        check_single_runs(records, terms.single_run_products),
        check_keyed_retries(records, terms.products_by_cell),
        check_left_viewers(records),
        check_drains(records, terms.grace_ms),
        check_cold_starts(records, terms),
        check_processes(records, terms),
        check_releases(records),
        check_standing_plays(records),
        check_fields_unchanged(records),
        check_refusals(records, terms.undeclinable_products),
        check_retry_budget(records, terms.budget),
        check_processor_use(records),
    )
    return [violation for found in rules for violation in found]


def check_answers(records) -> list[RuleViolation]:
    """Checks that each viewer that has not left gets one answer, in time, and nobody gets two.

    The time for which a process was stopped by a signal does not count.
    """
    violations = []
    frozen = [
        (at, at + fields["ms"], fields["director"])
        for at, event, fields in records
        if event == "director frozen"
    ]
    for session, history in by_session(records, "asked", "answered", *NO_ANSWER_DUE).items():
        at, _, request = history[0]
        answers = [(when, fields) for when, event, fields in history if event == "answered"]
        excused_at = min(
            (when for when, event, _ in history if event in NO_ANSWER_DUE), default=math.inf
        )
        if len(answers) > 1:
            violations.append(
                RuleViolation("twice", f"answered {len(answers)} times: {session}", session)
            )
        frozen_ms = sum(
            max(0.0, min(ends, answers[0][0]) - max(begins, at))
            for begins, ends, frozen_director in frozen
            if answers and frozen_director == request["director"]
        )
        if (
            answers
            and answers[0][0]
            > at + request["wait_ms"] + ANSWER_SLACK_MS + answers[0][1]["lag"] + frozen_ms
        ):
            violations.append(
                RuleViolation(
                    "lost",
                    f"answered {answers[0][0] - at:.0f} ms after it was asked for: {session}",
                    session,
                )
            )
        if not answers and excused_at == math.inf:
            violations.append(
                RuleViolation(
                    "lost",
                    f"without an answer: {session} at director {request['director']}",
                    session,
                )
            )
    return violations


def check_descriptions(records) -> list[RuleViolation]:
    """Checks that each session is answered with a description that a media node made for it."""
    descriptions = by_session(records, "made")
    return [
        RuleViolation("lost", f"an answer that no media node made: {session}", session)
        for session, history in by_session(records, "answered").items()
        for _, _, fields in history
        if "text" in fields
        and fields["text"]
        not in [description["text"] for _, _, description in descriptions.get(session, ())]
    ]


def check_fields_unchanged(records) -> list[RuleViolation]:
    """Checks that product, title and description reach a media node as the viewer sent them."""
    requests, violations = {}, []
    for _, event, fields in records:
        if event in ("asked", "asked again"):
            requests[fields["session"]] = fields
        elif event == "arrived" and fields["session"] in requests:
            request = requests[fields["session"]]
            changed = [name for name in FORWARDED_FIELDS if request.get(name) != fields.get(name)]
            if changed:
                violations.append(
                    RuleViolation(
                        "lost",
                        f"changed in transit, {', '.join(changed)}: {fields['session']}",
                        fields["session"],
                    )
                )
    return violations


def check_left_viewers(records) -> list[RuleViolation]:
    """Checks that no attempt begins long after its viewer has left."""
    left, late = {}, []
    for at, event, fields in records:
        if event == "left":
            left[fields["session"]] = at
        elif (
            event == "arrived"
            and at - left.get(fields["session"], math.inf) - fields["lag"] > LEFT_GRACE_MS
        ):
            late.append(
                f"{fields['session']} {at - left[fields['session']]:.0f} ms "
                "after its viewer had left"
            )
    return (
        [RuleViolation("gone", f"attempts for viewers that have left: {', '.join(late)}")]
        if len(late) >= MIN_LEFT_CASES
        else []
    )


def check_processes(records, terms: Terms) -> list[RuleViolation]:
    """Checks that directors start in time, exit cleanly, keep their limits and log no faults."""
    violations, starting, start_ms = [], {}, []
    for at, event, fields in records:
        if event == "director starts":
            starting[fields["director"]] = at
        elif event == "director ready" and starting.get(fields["director"]) is not None:
            start_ms.append(at - starting.pop(fields["director"]))
        elif event == "director ended" and fields["status"] not in fields["fine"]:
            violations.append(
                RuleViolation(
                    "crash", f"director {fields['director']} ended with {fields['status']}"
                )
            )
        elif event == "trouble in a log":
            violations.append(
                RuleViolation("crash", f"director {fields['director']}: {fields['line']}")
            )
        elif event == "held" and (
            fields["descriptors"] > terms.sockets or fields["memory_mb"] > terms.memory_mb
        ):
            violations.append(
                RuleViolation(
                    "limits",
                    f"director {fields['director']} holds {fields['descriptors']} descriptors, "
                    f"{fields['memory_mb']:.0f} MB",
                )
            )
    if sum(ms <= READY_MS for ms in start_ms) < READY_SHARE * (len(start_ms) + len(starting)):
        violations.append(
            RuleViolation(
                "crash",
                f"{len(starting)} never ready, the others after {sorted(map(round, start_ms))} ms",
            )
        )
    return violations

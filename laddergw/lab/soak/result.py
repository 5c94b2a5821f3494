"""Plays one plan and reports its result: counts, violations with what led to them, and the trial's
own lag.
"""

import os
import re
from collections import Counter
from typing import Any

import msgspec

from laddergw.lab.soak import judge
from laddergw.lab.soak.plan import Plan
from laddergw.lab.soak.planned_trial import create_trial
from laddergw.lab.soak.terms import Terms

# A trial that delayed its own peers for longer is not judged.
MAX_LAG_MS = 150.0
# Lines reported for the session of a violation, of the records and of the logs each.
MAX_STORY_LINES = 40
# Faults that lasted until less than this before a violation are reported with it.
FAULT_SPAN_MS = 2_000.0
LOG_LINE = re.compile(r"\S+ (\d\d:\d\d:\d\d,\d+) \S+ (.*)")


class Result(msgspec.Struct):
    """The result of one plan.

    `judged` is false if the trial's own process was too slow to attribute delays.
    """

    plan: Plan
    asked: int
    played: int
    declined: int
    failed: int
    left: int
    set_ups: int
    # Set-ups that crossed the close of their connection and were sent again.
    crossed: int
    lag_ms: float
    judged: bool
    breaks: list[judge.RuleViolation]
    # Of the first violations: the session's lines of all processes, and the faults of that time.
    stories: list[str]

    @property
    def unanswered_count(self) -> int:
        """Plays that got no answer."""
        return sum("without an answer" in violation.what for violation in self.breaks)

    @property
    def duplicate_count(self) -> int:
        """Violations of the rules against answers and set-ups that are given twice."""
        return sum(violation.rule == "twice" for violation in self.breaks)


def play_plan(
    plan: Plan, terms: Terms, settings: dict[str, Any], folder: str, run: str | None = None
) -> Result:
    """Plays a plan with real processes; logs and the directors' files go into `folder`."""
    trial = create_trial(plan, terms, settings=settings, keep=folder, log_level="DEBUG", run=run)
    try:
        records = trial.run()
    finally:
        write_records(trial.records, folder)
    judged = trial.max_lag_ms <= MAX_LAG_MS
    breaks = judge.judge(records, trial.terms) if judged else []
    event_counts = Counter(event for _, event, _ in records)
    answer_counts = Counter(fields["answer"] for _, event, fields in records if event == "answered")
    return Result(
        plan,
        event_counts["asked"],
        answer_counts["plays"],
        answer_counts["declined"],
        answer_counts["failed"],
        event_counts["left"] + event_counts["cut"],
        event_counts["arrived"],
        event_counts["crossed a close"],
        round(trial.max_lag_ms, 1),
        judged,
        breaks,
        [describe_violation(violation, records, folder) for violation in breaks[:3]],
    )


def write_records(records: list[tuple], folder: str) -> None:
    """Writes the records, also those of an interrupted trial, to `records.jsonl`."""
    with open(os.path.join(folder, "records.jsonl"), "wb") as stream:
        for record in records:
            stream.write(msgspec.json.encode(record) + b"\n")


def describe_violation(violation: judge.RuleViolation, records: list[tuple], folder: str) -> str:
    """Returns what led to a violation: the records and log lines of its session, one a line."""
    session_records = [
        (at, event, fields)
        for at, event, fields in records
        if violation.session and fields.get("session") == violation.session
    ]
    last_ms = session_records[-1][0] if session_records else records[-1][0]
    faults = [
        (at, event, fields)
        for at, event, fields in records
        if event == "fault" and at <= last_ms and at + fields["lasts_ms"] >= last_ms - FAULT_SPAN_MS
    ]
    lines = [
        f"{at:10.1f} {event} "
        + " ".join(
            f"{name}={value!r}" for name, value in fields.items() if name not in ("session", "lag")
        )
        for at, event, fields in sorted([*session_records, *faults], key=lambda record: record[0])
    ]
    return "\n".join(
        [
            f"{violation.rule}: {violation.what}",
            *lines[:MAX_STORY_LINES],
            *log_lines(violation.session, folder)[:MAX_STORY_LINES],
        ]
    )


def log_lines(session: str, folder: str) -> list[str]:
    """Returns the lines of the directors' logs on a session, in the order of their timestamps."""
    found = []
    for name in sorted(os.listdir(folder)) if session else ():
        if name.endswith(".log"):
            with open(os.path.join(folder, name)) as log:
                found += [
                    (match[1], f"{match[1]} {name}: {match[2][:200]}")
                    for line in log
                    if session in line and (match := LOG_LINE.match(line))
                ]
    return [line for _, line in sorted(found)]

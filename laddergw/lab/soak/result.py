"""Plays one plan and tells what came of it: counts, broken rules with what led to them, the trial's
own lag.
"""

import os
import re
from collections import Counter
from typing import Any

import msgspec

from laddergw.lab.soak import judge
from laddergw.lab.soak.plan import Plan
from laddergw.lab.soak.terms import Terms
from laddergw.lab.soak.trial import trial_of

LAG_MOST_MS = 150.0  # a trial that held back its own peers for longer is not judged
TOLD_MOST = 40  # lines told of one broken session
SPAN_MS = 2_000.0  # faults that began so long before a break, or lasted into it, are told with it
LOG_LINE = re.compile(r"\S+ (\d\d:\d\d:\d\d,\d+) \S+ (.*)")


class Result(msgspec.Struct):
    """What came of one plan.

    `judged` is false where the trial's own process was too slow to tell whose a delay was.
    """

    plan: Plan
    asked: int
    played: int
    declined: int
    failed: int
    left: int
    set_ups: int
    crossed: int  # set-ups that crossed a close and went again
    lag_ms: float
    judged: bool
    breaks: list[judge.RuleViolation]
    stories: list[
        str
    ]  # of the first breaks: the session's lines over all processes, and the faults then open

    @property
    def without(self) -> int:
        return sum("without an answer" in broken.what for broken in self.breaks)

    @property
    def twice(self) -> int:
        return sum(broken.rule == "twice" for broken in self.breaks)


def play(
    plan: Plan, terms: Terms, settings: dict[str, Any], folder: str, run: str | None = None
) -> Result:
    """Plays a plan with real processes; logs and the directors' files go into `folder`."""
    trial = trial_of(plan, terms, settings=settings, keep=folder, log_level="DEBUG", run=run)
    try:
        records = trial.run()
    finally:
        keep_records(trial.records, folder)
    judged = trial.worst_lag <= LAG_MOST_MS
    breaks = judge.judge(records, trial.terms) if judged else []
    whats = Counter(what for _, what, _ in records)
    answers = Counter(facts["answer"] for _, what, facts in records if what == "answered")
    return Result(
        plan,
        whats["asked"],
        answers["plays"],
        answers["declined"],
        answers["failed"],
        whats["left"] + whats["cut"],
        whats["arrived"],
        whats["crossed a close"],
        round(trial.worst_lag, 1),
        judged,
        breaks,
        [story(broken, records, folder) for broken in breaks[:3]],
    )


def keep_records(records: list[tuple], folder: str) -> None:
    """Writes what was recorded, also of a trial that was interrupted."""
    with open(os.path.join(folder, "records.jsonl"), "wb") as stream:
        for record in records:
            stream.write(msgspec.json.encode(record) + b"\n")


def story(broken: judge.RuleViolation, records: list[tuple], folder: str) -> str:
    """What led to a break, a line each, at most so many."""
    seen = [
        (at, what, facts)
        for at, what, facts in records
        if broken.session and facts.get("session") == broken.session
    ]
    last = seen[-1][0] if seen else records[-1][0]
    faults = [
        (at, what, facts)
        for at, what, facts in records
        if what == "fault" and at <= last and at + facts["lasts_ms"] >= last - SPAN_MS
    ]
    lines = [
        f"{at:10.1f} {what} "
        + " ".join(
            f"{name}={value!r}" for name, value in facts.items() if name not in ("session", "lag")
        )
        for at, what, facts in sorted([*seen, *faults], key=lambda record: record[0])
    ]
    return "\n".join(
        [
            f"{broken.rule}: {broken.what}",
            *lines[:TOLD_MOST],
            *log_lines(broken.session, folder)[:TOLD_MOST],
        ]
    )


def log_lines(session: str, folder: str) -> list[str]:
    """What the directors' logs say of a session, in the order of their clock."""
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

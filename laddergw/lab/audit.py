"""The audit: judges the six rules, and each play's outcome, from records of what passed on the sockets.

Written apart from the director: it reads records of viewers, nodes, the list and the sockets of directors, never
the director's own account of what it meant to do. Each break comes with its evidence. Times are ms.
"""
import math
from collections import defaultdict, deque
from typing import Any, NamedTuple

from laddergw.lab.deployment_model import DeploymentModel

ANSWER_SLACK_MS = 30.0     # an answer so long past the viewer's limit still lay in its socket in time
TAKEN_SLACK_MS = 80.0      # a request read so shortly before its limit cannot be held against a director
TWICE_SLACK_MS = 2.0       # two ends of one moment, seen by two processes
WOKEN_MS = 20.0            # a process that was stopped gets its first turn
COLD_SIGMAS = 3.0          # of a Poisson count as large as the allowance: independent directors clump by chance
EVIDENCE = 8               # records told with a break

RULES = ("answers", "once", "drains", "cold", "terms", "budget")


class Break(NamedTuple):
    """One broken rule."""
    rule: str
    what: str
    evidence: list


class AuditResult(NamedTuple):
    """What a rehearsal came to."""
    plays: int
    outcomes: dict[str, int]
    without: int
    twice: int
    breaks: list[Break]
    service: dict[str, float]          # by product, and "all"
    first_ms: list[float]              # answer times of plays that play, from the try's request
    drained_ms: float                  # longest from told to the last byte of a new set-up; 0: none came after
    tries: int
    rungs: dict[int, int]

    def line(self) -> str:
        o = self.outcomes
        return (f"plays {self.plays} played {o['played']} declined {o['declined']} failed {o['failed']} "
                f"without-outcome {self.without} twice {self.twice} rules-broken {len(self.breaks)}")


class Records:
    """Records by what they tell."""

    def __init__(self, records: list[tuple]):
        self.by: dict[str, list[tuple[float, dict]]] = defaultdict(list)
        for at, what, facts in records:
            self.by[what].append((at, facts))
        self.end = max((record[0] for record in records), default=0.0)


def audit(model: DeploymentModel, records: list[tuple]) -> AuditResult:
    """Judges a rehearsal's records, (time, what, facts)."""
    r = Records(records)
    tries = viewer_tries(r)
    breaks = (answers(model, r, tries) + once(model, r) + paid(model, r, tries)
              + cold(model, r) + terms(model, r) + budget(model, r))
    late, drained = drains(model, r)
    outcomes, without = outcomes_of(r, tries)
    twice = sum(1 for b in breaks if b.rule == "once") + sum(1 for b in breaks if b.what.startswith("two answers"))
    return AuditResult(len(outcomes) + without, count(outcomes), without, twice, breaks + late, service(model, tries),
                  [t["answer_ms"] for t in tries.values() if t["answer"] == "playing"], drained, len(tries), rungs_of(tries))


def count(outcomes: dict) -> dict[str, int]:
    found = {"played": 0, "declined": 0, "failed": 0}
    for outcome in outcomes.values():
        found[outcome] += 1
    return found


# Viewers' tries

def viewer_tries(r: Records) -> dict[tuple, dict]:
    tries: dict[tuple, dict] = {}
    for at, f in r.by["asked"]:
        tries[f["play"], f["tries"]] = dict(f, at=at, answer=None, answers=0, end=None, answer_ms=None, answered_at=None, rung=None)
    for what in "answered", "gave up", "lost", "error":
        for at, f in r.by[what]:
            one = tries.get((f["play"], f["tries"]))
            if one is None:
                continue
            if what == "answered":
                one["answers"] += 1
                if one["answer"] is None:
                    one.update(answer=f["answer"], answer_ms=f["ms"], answered_at=at, rung=f.get("rung"))
            else:
                one.update(end=(what, at, f))
    return tries


def downs(r: Records) -> dict[int, list[tuple[float, float]]]:
    """When each director was not running: from its end to its next start."""
    found: dict[int, list] = defaultdict(list)
    starts = defaultdict(list)
    for at, f in r.by["director up"]:
        starts[f["number"]].append(at)
    for at, f in r.by["director down"]:
        found[f["number"]].append((at, min((s for s in starts[f["number"]] if s > at), default=float("inf"))))
    return found


def stills(r: Records) -> dict[int, list[tuple[float, float]]]:
    """When each director's process was stopped by a signal."""
    found: dict[int, list] = defaultdict(list)
    for at, f in r.by["trouble"]:
        if f["kind"] == "freeze":
            found[f["who"]].append((at, at + f["value"]))
    return found


def rule(name: str, what: str, *evidence: Any) -> Break:
    return Break(name, what, list(evidence)[:EVIDENCE])


def answers(model: DeploymentModel, r: Records, tries: dict) -> list[Break]:
    """Rule 1: what a running director took gets exactly one answer, within the viewer's time limit."""
    found, away, still = [], downs(r), stills(r)
    took: dict[str, list] = defaultdict(list)
    for at, f in r.by["took"]:
        took[f["play"]].append((at, f["source"]))
    for (play, number), t in tries.items():
        limit = t["at"] + t["wait_ms"]
        if t["answers"] > 1:
            found.append(rule("answers", f"two answers to {play} try {number}", t))
        if t["answer"] is not None:
            if t["answered_at"] > limit + ANSWER_SLACK_MS:
                found.append(rule("answers", f"{play} try {number} answered {t['answered_at'] - limit:.0f} ms past its limit", t))
            continue
        if t["end"] is None:
            if limit + ANSWER_SLACK_MS < r.end:
                found.append(rule("answers", f"{play} try {number} has no end", t))
            continue
        what, ended, facts = t["end"]
        if what == "gave up" and facts["early"] or what == "error":
            continue
        read = [(at, source) for at, source in took[play]
                if source.startswith(f"d{t['director']}.") and t["at"] - 1 <= at <= min(limit, ended) - TAKEN_SLACK_MS]
        if not read:
            continue                              # no director took it: refused, or its process stood still
        if any(start <= limit and read[0][0] <= start for start, _ in away.get(t["director"], ())):
            continue                              # the director that took it was gone before the limit
        if any(start <= limit <= end + WOKEN_MS for start, end in still.get(t["director"], ())):
            continue                              # its process stood still at the limit: nothing runs, nothing can answer
        found.append(rule("answers", f"{play} try {number}: taken by {read[0][1]}, {what} without an answer", t, read))
    return found


# Allocations

def intervals(r: Records) -> dict[str, dict]:
    """Each allocation's time at its node: from its set-up's taking to the node's letting go."""
    found: dict[str, dict] = {}
    for at, f in r.by["held"]:
        found[f["allocation"]] = dict(f, since=at, until=float("inf"), how="to the end")
    for at, f in r.by["let go"]:
        if f["allocation"] in found:
            found[f["allocation"]].update(until=at, how=f["how"])
    return found


def once(model: DeploymentModel, r: Records) -> list[Break]:
    """Rule 2: a play never has two allocations out at once."""
    found, by_play = [], defaultdict(list)
    for one in intervals(r).values():
        by_play[one["play"]].append(one)
    for play, held in by_play.items():
        held.sort(key=lambda one: one["since"])
        for index, one in enumerate(held):
            for other in held[index + 1:]:
                if other["since"] < one["until"] - TWICE_SLACK_MS and other["until"] > other["since"]:
                    found.append(rule("once", f"{play} has two allocations out: {one['allocation']} and {other['allocation']}",
                                      one, other))
    return found


def paid(model: DeploymentModel, r: Records, tries: dict) -> list[Break]:
    """Rule 2 for products paid at set-up: set up once a try at most, and not declined once it may have run."""
    names, found = {w.name for w in model.wares if w.repeat == "paid"}, []
    ran: dict[str, list] = defaultdict(list)
    for at, f in r.by["set up"]:
        if f["product"] in names:
            ran[f["allocation"].rpartition(".")[0]].append((at, f))
    by_play = defaultdict(list)
    for group, times in ran.items():
        if len(times) > 1:
            found.append(rule("once", f"paid {times[0][1]['play']} set up {len(times)} times in one try", *times))
        by_play[times[0][1]["play"]].append(times[0])
    for (play, number), t in tries.items():
        if t["product"] in names and t["answer"] == "declined":
            for at, f in by_play.get(play, ()):
                if t["at"] <= at <= t["answered_at"]:
                    found.append(rule("once", f"paid {play} try {number} declined after its set-up ran", t, (at, f)))
    return found


def drains(model: DeploymentModel, r: Records) -> tuple[list[Break], float]:
    """Rule 3: nothing new to a node later than the grace after this director was told that it drains or is gone."""
    events = [(at, 0, f) for at, f in r.by["listed"]] + [(at, 1, f) for at, f in r.by["set-up written"]]
    told: dict[tuple, float] = {}
    known: dict[str, set] = defaultdict(set)
    found, longest = [], 0.0
    for at, kind, f in sorted(events, key=lambda event: event[:2]):
        source = f["source"]
        if kind == 0:
            named = {node for node, _, _ in f["nodes"]}
            gone = [(node, "gone") for node in known[source] - named] if f["form"] == "whole" else []
            for node, state in [(node, state) for node, state, _ in f["nodes"]] + gone:
                known[source].add(node)
                if state == "ready":
                    told.pop((source, node), None)
                else:
                    told.setdefault((source, node), at)
        elif (source, f["node"]) in told:
            late = at - told[source, f["node"]]
            longest = max(longest, late)
            if late > model.drain_grace_ms:
                found.append(rule("drains", f"{source} sent {f['allocation']} to node {f['node']} {late:.0f} ms after it was told", f))
    return found, longest


def cold(model: DeploymentModel, r: Records) -> list[Break]:
    """Rule 4: a cold node takes set-ups at its pace, all directors together, in any window."""
    found = []
    ends = {(f["node"], f["incarnation"]): at for at, f in r.by["node ended"]}
    came = defaultdict(list)
    for at, f in r.by["set-up came"]:
        came[f["node"]].append(at)
    for start, f in r.by["node started"]:
        if not f["cold"]:
            continue
        until = min(start + f["warm_ms"], ends.get((f["node"], f["incarnation"]), float("inf")))
        window: deque = deque()
        for at in (at for at in came[f["node"]] if start <= at <= until):
            window.append(at)
            while window[0] < at - model.fall_ms:
                window.popleft()
            share = f["cold_from"] + (1 - f["cold_from"]) * min(1.0, (at - start) / f["warm_ms"])
            mean = model.fall_multiple * f["streams"] / f["warm_ms"] * share * model.fall_ms
            allowed = mean + COLD_SIGMAS * math.sqrt(mean)
            if len(window) > allowed:
                found.append(rule("cold", f"node {f['node']}: {len(window)} set-ups within {model.fall_ms:.0f} ms, {allowed:.1f} allowed, "
                                          f"{at - start:.0f} ms after its start", *window))
                break
    for at, f in r.by["fell over"]:
        if not any(f"node {f['node']}:" in b.what for b in found):
            found.append(rule("cold", f"node {f['node']} fell over", (at, f)))
    return found


def terms(model: DeploymentModel, r: Records) -> list[Break]:
    """Rule 5: no rung under a product's floor; no more plays of a title and product at a director than its seats."""
    wares, found = {w.name: w for w in model.wares}, []
    for what in "held", "rung":
        for at, f in r.by[what]:
            if f["rung"] < wares[f["product"]].floor:
                found.append(rule("terms", f"{f['allocation']} of {f['product']} at rung {f['rung']}", (at, f)))
    seated = defaultdict(list)
    for one in intervals(r).values():
        if wares[one["product"]].seats:
            seated[one["director"], one["product"], one["title"]] += [(one["since"], 1, one), (one["until"], -1, one)]
    for (director, product, title), marks in seated.items():
        sitting = 0
        for at, change, one in sorted(marks, key=lambda mark: mark[:2]):
            sitting += change
            if sitting > wares[product].seats:
                found.append(rule("terms", f"{director} holds {sitting} plays of {product} title {title}", one))
                break
    return found


def budget(model: DeploymentModel, r: Records) -> list[Break]:
    """Rule 6: allocations beyond each play's first, within any window, by one director's process."""
    if model.budget is None:
        return []
    free, share, window = model.budget
    took, further, found = defaultdict(list), defaultdict(list), []
    for at, f in r.by["took"]:
        took[f["source"]].append(at)
    for at, f in r.by["set-up written"]:
        if f["number"]:
            further[f["source"]].append((f["asked"], f))
    for source, sent in further.items():
        sent.sort(key=lambda one: one[0])
        for at, f in sent:
            extra = sum(1 for other, _ in sent if at - window <= other <= at)
            taken = sum(1 for other in took[source] if at - window <= other <= at)
            if extra > free + share * taken:
                found.append(rule("budget", f"{source}: {extra} further allocations in {window:.0f} ms, {taken} plays taken", f))
                break
    return found


# Outcomes and service

def outcomes_of(r: Records, tries: dict) -> tuple[dict, int]:
    """Each play ends in one outcome: played where any try played, else what its last try came to."""
    found, without, by_play = {}, 0, defaultdict(list)
    for (play, number), t in tries.items():
        by_play[play].append((number, t))
    for play, all_tries in by_play.items():
        last = max(all_tries, key=lambda one: one[0])[1]
        if any(t["answer"] == "playing" for _, t in all_tries):
            found[play] = "played"
        elif last["answer"] in ("declined", "failed"):
            found[play] = last["answer"]
        elif last["end"] is not None:
            found[play] = "failed"                # gave up, or its director went
        else:
            without += 1
    return found, without


def service(model: DeploymentModel, tries: dict) -> dict[str, float]:
    """Importance answered within the first-frame target over importance asked for, tries folded into the first."""
    wares = {w.name: w for w in model.wares}
    first, won = {}, set()
    for (play, number), t in sorted(tries.items(), key=lambda item: (item[0][0], item[0][1])):
        first.setdefault(play, t)
        if t["answer"] == "playing" and t["answered_at"] - first[play]["at"] <= wares[t["product"]].aim_ms:
            won.add(play)
    asked, answered = defaultdict(float), defaultdict(float)
    for play, t in first.items():
        for name in t["product"], "all":
            asked[name] += wares[t["product"]].importance
            answered[name] += wares[t["product"]].importance * (play in won)
    return {name: answered[name] / asked[name] for name in sorted(asked)}


def worth(model: DeploymentModel, records: list[tuple]) -> float:
    """Importance times the rung's worth of plays answered within the first-frame target, over the importance asked for."""
    wares, first, won = {w.name: w for w in model.wares}, {}, {}
    for (play, _), t in sorted(viewer_tries(Records(records)).items()):
        first.setdefault(play, t)
        if t["answer"] == "playing" and t["answered_at"] - first[play]["at"] <= wares[t["product"]].aim_ms:
            won.setdefault(play, model.worth[t["rung"]])
    asked = sum(wares[t["product"]].importance for t in first.values())
    return sum(wares[first[play]["product"]].importance * value for play, value in won.items()) / max(asked, 1e-9)


def rungs_of(tries: dict) -> dict[int, int]:
    found: dict[int, int] = defaultdict(int)
    for t in tries.values():
        if t["answer"] == "playing":
            found[t["rung"]] += 1
    return dict(sorted(found.items()))

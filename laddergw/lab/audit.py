"""Checks the six rules, and each play's outcome, against records of the traffic on the sockets.

Independent of the director's code: it reads records of viewers, nodes, the fleet list and the directors' sockets, never
the director's own report of what it intended. Each violation carries its evidence. Times are ms.
"""
import math
from collections import defaultdict, deque
from typing import Any, NamedTuple

from laddergw.lab.deployment_model import DeploymentModel

ANSWER_SLACK_MS = 30.0          # an answer this long past the viewer's limit was in its socket in time
READ_SLACK_MS = 80.0            # a director is not blamed for a request read this shortly before its limit
OVERLAP_SLACK_MS = 2.0          # two processes record the same moment this far apart
RESUME_MS = 20.0                # until a stopped process gets its first turn after it is resumed
COLD_TOLERANCE_SIGMAS = 3.0     # of a Poisson count as large as the allowance: independent directors coincide by chance
MAX_EVIDENCE = 8                # records attached to one violation

RULES = ("answers", "once", "drains", "cold", "terms", "budget")


class RuleViolation(NamedTuple):
    """A broken rule with its evidence."""
    rule: str
    what: str
    evidence: list


class AuditResult(NamedTuple):
    """Result of auditing a rehearsal."""
    plays: int
    outcomes: dict[str, int]
    without: int
    twice: int
    breaks: list[RuleViolation]
    service: dict[str, float]          # by product, and "all"
    first_ms: list[float]              # answer times of plays that started, from the attempt's request
    drained_ms: float                  # longest time from the notice of a drain to the last byte of a new set-up; 0: none came after
    tries: int
    rungs: dict[int, int]

    def line(self) -> str:
        """The closing line of a rehearsal."""
        outcomes = self.outcomes
        return (f"plays {self.plays} played {outcomes['played']} declined {outcomes['declined']} failed {outcomes['failed']} "
                f"without-outcome {self.without} twice {self.twice} rules-broken {len(self.breaks)}")


class Records:
    """Records by kind."""

    def __init__(self, records: list[tuple]):
        self.by: dict[str, list[tuple[float, dict]]] = defaultdict(list)
        for at, what, facts in records:
            self.by[what].append((at, facts))
        self.end = max((record[0] for record in records), default=0.0)


def audit(model: DeploymentModel, records: list[tuple]) -> AuditResult:
    """Checks all rules against a rehearsal's records, (time, what, facts)."""
    records_by_kind = Records(records)
    attempts = viewer_tries(records_by_kind)
    violations = (check_answers(model, records_by_kind, attempts) + check_single_allocation(model, records_by_kind)
                  + check_paid_products(model, records_by_kind, attempts) + check_cold_nodes(model, records_by_kind)
                  + check_product_terms(model, records_by_kind) + check_retry_budget(model, records_by_kind))
    drain_violations, longest_drain_ms = check_drains(model, records_by_kind)
    outcomes, without = outcomes_of(records_by_kind, attempts)
    twice = sum(1 for b in violations if b.rule == "once") + sum(1 for b in violations if b.what.startswith("two answers"))
    return AuditResult(len(outcomes) + without, count_outcomes(outcomes), without, twice, violations + drain_violations, service(model, attempts),
                       [attempt["answer_ms"] for attempt in attempts.values() if attempt["answer"] == "playing"], longest_drain_ms, len(attempts), rungs_of(attempts))


def count_outcomes(outcomes: dict) -> dict[str, int]:
    """Number of plays by outcome."""
    found = {"played": 0, "declined": 0, "failed": 0}
    for outcome in outcomes.values():
        found[outcome] += 1
    return found


def viewer_tries(records: Records) -> dict[tuple, dict]:
    """Viewers' attempts by play and number, each with its answer or its end."""
    attempts: dict[tuple, dict] = {}
    for at, fields in records.by["asked"]:
        attempts[fields["play"], fields["tries"]] = dict(fields, at=at, answer=None, answers=0, end=None, answer_ms=None, answered_at=None, rung=None)
    for what in "answered", "gave up", "lost", "error":
        for at, fields in records.by[what]:
            entry = attempts.get((fields["play"], fields["tries"]))
            if entry is None:
                continue
            if what == "answered":
                entry["answers"] += 1
                if entry["answer"] is None:
                    entry.update(answer=fields["answer"], answer_ms=fields["ms"], answered_at=at, rung=fields.get("rung"))
            else:
                entry.update(end=(what, at, fields))
    return attempts


def down_periods(records: Records) -> dict[int, list[tuple[float, float]]]:
    """Periods in which each director was not running: from its end to its next start."""
    found: dict[int, list] = defaultdict(list)
    starts = defaultdict(list)
    for at, fields in records.by["director up"]:
        starts[fields["number"]].append(at)
    for at, fields in records.by["director down"]:
        found[fields["number"]].append((at, min((s for s in starts[fields["number"]] if s > at), default=float("inf"))))
    return found


def frozen_periods(records: Records) -> dict[int, list[tuple[float, float]]]:
    """Periods in which each director's process was stopped by a signal."""
    found: dict[int, list] = defaultdict(list)
    for at, fields in records.by["trouble"]:
        if fields["kind"] == "freeze":
            found[fields["who"]].append((at, at + fields["value"]))
    return found


def violation(name: str, what: str, *evidence: Any) -> RuleViolation:
    """A violation of the named rule, with at most MAX_EVIDENCE records."""
    return RuleViolation(name, what, list(evidence)[:MAX_EVIDENCE])


def check_answers(model: DeploymentModel, records: Records, attempts: dict) -> list[RuleViolation]:
    """Rule 1: a request that a running director read gets exactly one answer, within the viewer's time limit."""
    found, down, frozen = [], down_periods(records), frozen_periods(records)
    read_requests: dict[str, list] = defaultdict(list)
    for at, fields in records.by["took"]:
        read_requests[fields["play"]].append((at, fields["source"]))
    for (play, number), attempt in attempts.items():
        limit = attempt["at"] + attempt["wait_ms"]
        if attempt["answers"] > 1:
            found.append(violation("answers", f"two answers to {play} attempt {number}", attempt))
        if attempt["answer"] is not None:
            if attempt["answered_at"] > limit + ANSWER_SLACK_MS:
                found.append(violation("answers", f"{play} attempt {number} answered {attempt['answered_at'] - limit:.0f} ms past its limit", attempt))
            continue
        if attempt["end"] is None:
            if limit + ANSWER_SLACK_MS < records.end:
                found.append(violation("answers", f"{play} attempt {number} has no end", attempt))
            continue
        what, ended, facts = attempt["end"]
        if what == "gave up" and facts["early"] or what == "error":
            continue
        read = [(at, source) for at, source in read_requests[play]
                if source.startswith(f"d{attempt['director']}.") and attempt["at"] - 1 <= at <= min(limit, ended) - READ_SLACK_MS]
        if not read:
            continue                              # no director read it: refused, or its process was stopped
        if any(start <= limit and read[0][0] <= start for start, _ in down.get(attempt["director"], ())):
            continue                              # the director that read it ended before the limit
        if any(start <= limit <= end + RESUME_MS for start, end in frozen.get(attempt["director"], ())):
            continue                              # its process was stopped at the limit: it cannot answer
        found.append(violation("answers", f"{play} attempt {number}: read by {read[0][1]}, {what} without an answer", attempt, read))
    return found


def intervals(records: Records) -> dict[str, dict]:
    """Each allocation's time at its node: from the acceptance of its set-up to its release by the node."""
    found: dict[str, dict] = {}
    for at, fields in records.by["held"]:
        found[fields["allocation"]] = dict(fields, since=at, until=float("inf"), how="to the end")
    for at, fields in records.by["let go"]:
        if fields["allocation"] in found:
            found[fields["allocation"]].update(until=at, how=fields["how"])
    return found


def check_single_allocation(model: DeploymentModel, records: Records) -> list[RuleViolation]:
    """Rule 2: a play never has two allocations at once."""
    found, by_play = [], defaultdict(list)
    for entry in intervals(records).values():
        by_play[entry["play"]].append(entry)
    for play, allocations in by_play.items():
        allocations.sort(key=lambda entry: entry["since"])
        for index, entry in enumerate(allocations):
            for other in allocations[index + 1:]:
                if other["since"] < entry["until"] - OVERLAP_SLACK_MS and other["until"] > other["since"]:
                    found.append(violation("once", f"{play} has two allocations at once: {entry['allocation']} and {other['allocation']}",
                                      entry, other))
    return found


def check_paid_products(model: DeploymentModel, records: Records, attempts: dict) -> list[RuleViolation]:
    """Rule 2 for products paid at set-up: at most one set-up per attempt, and no decline after it may have run."""
    names, found = {product.name for product in model.wares if product.repeat == "paid"}, []
    completed_set_ups: dict[str, list] = defaultdict(list)
    for at, fields in records.by["set up"]:
        if fields["product"] in names:
            completed_set_ups[fields["allocation"].rpartition(".")[0]].append((at, fields))
    by_play = defaultdict(list)
    for group, times in completed_set_ups.items():
        if len(times) > 1:
            found.append(violation("once", f"paid {times[0][1]['play']} set up {len(times)} times in one attempt", *times))
        by_play[times[0][1]["play"]].append(times[0])
    for (play, number), attempt in attempts.items():
        if attempt["product"] in names and attempt["answer"] == "declined":
            for at, fields in by_play.get(play, ()):
                if attempt["at"] <= at <= attempt["answered_at"]:
                    found.append(violation("once", f"paid {play} attempt {number} declined after its set-up ran", attempt, (at, fields)))
    return found


def check_drains(model: DeploymentModel, records: Records) -> tuple[list[RuleViolation], float]:
    """Rule 3: no new set-up to a node later than the grace after the list told this director that it drains or is gone."""
    events = [(at, 0, fields) for at, fields in records.by["listed"]] + [(at, 1, fields) for at, fields in records.by["set-up written"]]
    notified: dict[tuple, float] = {}
    known: dict[str, set] = defaultdict(set)
    found, max_delay_ms = [], 0.0
    for at, kind, fields in sorted(events, key=lambda event: event[:2]):
        source = fields["source"]
        if kind == 0:
            named = {node for node, _, _ in fields["nodes"]}
            gone = [(node, "gone") for node in known[source] - named] if fields["form"] == "whole" else []
            for node, state in [(node, state) for node, state, _ in fields["nodes"]] + gone:
                known[source].add(node)
                if state == "ready":
                    notified.pop((source, node), None)
                else:
                    notified.setdefault((source, node), at)
        elif (source, fields["node"]) in notified:
            delay_ms = at - notified[source, fields["node"]]
            max_delay_ms = max(max_delay_ms, delay_ms)
            if delay_ms > model.drain_grace_ms:
                found.append(violation("drains", f"{source} sent {fields['allocation']} to node {fields['node']} {delay_ms:.0f} ms after the list reported its drain or end", fields))
    return found, max_delay_ms


def check_cold_nodes(model: DeploymentModel, records: Records) -> list[RuleViolation]:
    """Rule 4: in any window, all directors together send a cold node set-ups at its pace."""
    found = []
    ends = {(fields["node"], fields["incarnation"]): at for at, fields in records.by["node ended"]}
    set_up_times = defaultdict(list)
    for at, fields in records.by["set-up came"]:
        set_up_times[fields["node"]].append(at)
    for start, fields in records.by["node started"]:
        if not fields["cold"]:
            continue
        until = min(start + fields["warm_ms"], ends.get((fields["node"], fields["incarnation"]), float("inf")))
        window: deque = deque()
        for at in (at for at in set_up_times[fields["node"]] if start <= at <= until):
            window.append(at)
            while window[0] < at - model.fall_ms:
                window.popleft()
            share = fields["cold_from"] + (1 - fields["cold_from"]) * min(1.0, (at - start) / fields["warm_ms"])
            mean = model.fall_multiple * fields["streams"] / fields["warm_ms"] * share * model.fall_ms
            allowed = mean + COLD_TOLERANCE_SIGMAS * math.sqrt(mean)
            if len(window) > allowed:
                found.append(violation("cold", f"node {fields['node']}: {len(window)} set-ups within {model.fall_ms:.0f} ms, {allowed:.1f} allowed, "
                                          f"{at - start:.0f} ms after its start", *window))
                break
    for at, fields in records.by["fell over"]:
        if not any(f"node {fields['node']}:" in b.what for b in found):
            found.append(violation("cold", f"node {fields['node']} failed from overload", (at, fields)))
    return found


def check_product_terms(model: DeploymentModel, records: Records) -> list[RuleViolation]:
    """Rule 5: no rung below a product's lowest; no more plays of a title and product at a director than its seats."""
    products, found = {product_model.name: product_model for product_model in model.wares}, []
    for what in "held", "rung":
        for at, fields in records.by[what]:
            if fields["rung"] < products[fields["product"]].floor:
                found.append(violation("terms", f"{fields['allocation']} of {fields['product']} at rung {fields['rung']}, below its lowest", (at, fields)))
    seats_taken = defaultdict(list)
    for entry in intervals(records).values():
        if products[entry["product"]].seats:
            seats_taken[entry["director"], entry["product"], entry["title"]] += [(entry["since"], 1, entry), (entry["until"], -1, entry)]
    for (director, product, title), changes in seats_taken.items():
        occupied = 0
        for at, change, entry in sorted(changes, key=lambda change_entry: change_entry[:2]):
            occupied += change
            if occupied > products[product].seats:
                found.append(violation("terms", f"{director} holds {occupied} plays of {product} title {title}", entry))
                break
    return found


def check_retry_budget(model: DeploymentModel, records: Records) -> list[RuleViolation]:
    """Rule 6: in any window, one director process stays within its budget of allocations beyond each play's first."""
    if model.budget is None:
        return []
    free, share, window = model.budget
    read_requests, retries, found = defaultdict(list), defaultdict(list), []
    for at, fields in records.by["took"]:
        read_requests[fields["source"]].append(at)
    for at, fields in records.by["set-up written"]:
        if fields["number"]:
            retries[fields["source"]].append((fields["asked"], fields))
    for source, retries_sent in retries.items():
        retries_sent.sort(key=lambda entry: entry[0])
        for at, fields in retries_sent:
            extra = sum(1 for other, _ in retries_sent if at - window <= other <= at)
            taken = sum(1 for other in read_requests[source] if at - window <= other <= at)
            if extra > free + share * taken:
                found.append(violation("budget", f"{source}: {extra} retries in {window:.0f} ms, {taken} requests read", fields))
                break
    return found


def outcomes_of(records: Records, attempts: dict) -> tuple[dict, int]:
    """Each play's one outcome: played if any attempt played, else the result of its last attempt; and the number without one."""
    found, without, by_play = {}, 0, defaultdict(list)
    for (play, number), attempt in attempts.items():
        by_play[play].append((number, attempt))
    for play, play_attempts in by_play.items():
        last = max(play_attempts, key=lambda entry: entry[0])[1]
        if any(attempt["answer"] == "playing" for _, attempt in play_attempts):
            found[play] = "played"
        elif last["answer"] in ("declined", "failed"):
            found[play] = last["answer"]
        elif last["end"] is not None:
            found[play] = "failed"                # the viewer gave up, or its director ended
        else:
            without += 1
    return found, without


def service(model: DeploymentModel, attempts: dict) -> dict[str, float]:
    """Share of the requested importance answered within the first-frame target, attempts counted from the play's first."""
    products = {product.name: product for product in model.wares}
    first, in_time = {}, set()
    for (play, number), attempt in sorted(attempts.items(), key=lambda item: (item[0][0], item[0][1])):
        first.setdefault(play, attempt)
        if attempt["answer"] == "playing" and attempt["answered_at"] - first[play]["at"] <= products[attempt["product"]].aim_ms:
            in_time.add(play)
    offered, answered = defaultdict(float), defaultdict(float)
    for play, attempt in first.items():
        for name in attempt["product"], "all":
            offered[name] += products[attempt["product"]].importance
            answered[name] += products[attempt["product"]].importance * (play in in_time)
    return {name: answered[name] / offered[name] for name in sorted(offered)}


def worth(model: DeploymentModel, records: list[tuple]) -> float:
    """Importance times the rung's worth of plays answered within the first-frame target, over the requested importance."""
    products, first, in_time = {product.name: product for product in model.wares}, {}, {}
    for (play, _), attempt in sorted(viewer_tries(Records(records)).items()):
        first.setdefault(play, attempt)
        if attempt["answer"] == "playing" and attempt["answered_at"] - first[play]["at"] <= products[attempt["product"]].aim_ms:
            in_time.setdefault(play, model.worth[attempt["rung"]])
    offered = sum(products[attempt["product"]].importance for attempt in first.values())
    return sum(products[first[play]["product"]].importance * value for play, value in in_time.items()) / max(offered, 1e-9)


def rungs_of(attempts: dict) -> dict[int, int]:
    """Number of attempts that started playing, by rung."""
    found: dict[int, int] = defaultdict(int)
    for attempt in attempts.values():
        if attempt["answer"] == "playing":
            found[attempt["rung"]] += 1
    return dict(sorted(found.items()))

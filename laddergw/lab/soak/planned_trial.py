"""Makes the trial of a plan."""

from typing import Any

from laddergw.lab.soak.faults import FaultInjector
from laddergw.lab.soak.judge_standing import REACHED_AGAIN_MS
from laddergw.lab.soak.nodes import LONG_PLAY_LENGTH_MS
from laddergw.lab.soak.plan import Plan
from laddergw.lab.soak.terms import Budget, Terms
from laddergw.lab.soak.trial import Trial
from laddergw.lab.soak.violation import SLACK_MS

# The usual budget leaves a trial a few retries, too few to see where keyed plays go.
KEYED_BUDGET = Budget(10.0, 0.1, 10_000.0)


def create_trial(plan: Plan, terms: Terms, **options: Any) -> Trial:
    """Creates the trial of a plan; its faults become the script."""
    products = (
        tuple(
            product._replace(limit_ms=limit)
            for product, limit in zip(terms.products, plan.limits_ms, strict=False)
        )
        or terms.products
    )
    if plan.keyed_group:
        products = (products[0]._replace(keyed_group=plan.keyed_group), *products[1:])
        terms = terms._replace(budget=KEYED_BUDGET)
    script = [
        (fault.at_ms, lambda trial, fault=fault: FaultInjector(trial).begin(fault))
        for fault in plan.faults
    ]
    trial = Trial(
        plan.directors,
        plan.nodes,
        plan.rate,
        plan.seconds,
        script,
        plan.seed,
        terms=terms._replace(products=products),
        **options,
    )
    if plan.has_long_plays:
        ends = [fault.ends_ms() for fault in plan.faults if fault.kind == "cut_off"]
        trial.judged_until_ms = max(ends, default=0.0) + REACHED_AGAIN_MS + SLACK_MS
        for node in trial.nodes.values():
            node.play_length_ms = LONG_PLAY_LENGTH_MS
    return trial

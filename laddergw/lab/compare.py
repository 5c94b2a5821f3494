"""Decides what an experiment shows: paired differences between two variants over the same days and seeds, with a bootstrap confidence interval. Pure; the seed is an argument.

Pairs share the deployment, script and viewers (common random numbers), so that only the variant differs. An experiment is evaluated after each batch; each interim look spends a part of
the allowed error (an equal split over looks), so that frequent looks do not find differences that do not exist.
"""
from typing import NamedTuple, Sequence

import numpy as np

RESAMPLES = 4_000
MIN_PAIRS = 6     # fewer decide nothing
BETTER, WORSE, ALIKE, OPEN = "better", "worse", "alike", "open"


class Difference(NamedTuple):
    """The second variant minus the first: mean, its confidence interval, the number of pairs, and the verdict."""
    mean: float
    low: float
    high: float
    pairs: int
    verdict: str


def compare(first: Sequence[float], second: Sequence[float], confidence: float, seed: int, matters: float, looks: int = 1) -> Difference:
    """Compares paired measures. `matters`: smaller differences count as none. `looks`: how often the experiment is evaluated in all. Raises ValueError for unequal lengths."""
    if len(first) != len(second):
        raise ValueError(f"{len(first)} and {len(second)} results are not pairs")
    differences = np.asarray(second, dtype=float) - np.asarray(first, dtype=float)
    if len(differences) < MIN_PAIRS:
        return Difference(float(differences.mean()) if len(differences) else 0.0, -np.inf, np.inf, len(differences), OPEN)
    generator = np.random.default_rng(seed)
    means = differences[generator.integers(0, len(differences), (RESAMPLES, len(differences)))].mean(axis=1)
    tail = (1 - confidence) / looks / 2
    # A bootstrap interval of few pairs is too narrow: widen it by the ratio of a t interval to a normal one
    widening = np.sqrt(len(differences) / (len(differences) - 1)) * (1 + 2.0 / len(differences))
    mean = float(differences.mean())
    low, high = (mean + widening * (float(np.quantile(means, share)) - mean) for share in (tail, 1 - tail))
    return Difference(mean, low, high, len(differences), verdict(low, high, matters))


def verdict(low: float, high: float, matters: float) -> str:
    """Decides once the interval lies wholly on one side of zero, or wholly within differences that do not matter."""
    if low > 0:
        return BETTER
    if high < 0:
        return WORSE
    return ALIKE if -matters < low and high < matters else OPEN

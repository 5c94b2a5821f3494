"""Forecasts arrivals by product from counts that only grow: Holt's method, a level and a damped trend. No I/O; times are passed in, ms."""
import math
from typing import NamedTuple

LEVEL_WEIGHT, TREND_WEIGHT = 0.4, 0.15 # smoothing, per step: weight of a new rate in the level, and of a new change in the trend
TREND_DAMPING = 0.8        # factor on the trend for each step ahead
STEP_MS = 1_000.0          # time to which the weights and the damping above apply


class Rate(NamedTuple):
    """A forecast: plays per second, and the mean absolute error so far."""
    per_second: float
    spread: float


class Forecast:
    """The forecast of one product."""

    def __init__(self):
        self.count: float | None = None
        self.counted_at = 0.0
        self.level, self.trend, self.mean_error = 0.0, 0.0, 0.0
        self.steps = 0

    def observe(self, count: float, now: float) -> None:
        """Adds the current count. A count that fell, after the view was rebuilt, only sets a new starting point."""
        if self.count is None or count < self.count or now - self.counted_at < STEP_MS / 10:
            if self.count is None or count < self.count:
                self.count, self.counted_at = count, now
            return
        rate, steps = (count - self.count) / (now - self.counted_at) * 1000, (now - self.counted_at) / STEP_MS
        level_weight, trend_weight = (1 - math.exp(steps * math.log(1 - weight)) for weight in (LEVEL_WEIGHT, TREND_WEIGHT))
        self.mean_error += level_weight * (abs(rate - self.level) - self.mean_error)
        previous_level = self.level
        self.level = rate if not self.steps else self.level + self.trend * steps + level_weight * (rate - self.level - self.trend * steps)
        if self.steps:
            self.trend += trend_weight * ((self.level - previous_level) / steps - self.trend)
        self.count, self.counted_at, self.steps = count, now, self.steps + 1

    def predict(self, ms: float) -> Rate:
        """The rate expected in `ms`."""
        steps = ms / STEP_MS
        damped_steps = TREND_DAMPING * (1 - TREND_DAMPING ** steps) / (1 - TREND_DAMPING)
        return Rate(max(0.0, self.level + self.trend * damped_steps), self.mean_error)

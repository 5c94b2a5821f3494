"""Runs background work in small steps between loop turns: by priority, within a budget of ms for each turn, so that it never delays an answer.

A task is a generator that yields wherever it may be suspended. Digests, snapshots, forecasts and the ageing of sketches are such tasks. Each priority
has a share of the budget; what the higher ones leave goes to the lower ones. A task that has waited long is run whatever the budget says, one step in
a turn. `clock` returns the time.
"""
from collections import deque
from typing import Callable, Generator, NamedTuple

Task = Generator[None, None, None]
# Priorities
URGENT, NORMAL, IDLE = 0, 1, 2
# Of one turn: a tenth of the smallest margin that answers have
BUDGET_MS = 2.0
# Of the budget, by priority
BUDGET_SHARES = (0.5, 0.35, 0.15)
# A task that has waited for this long gets a step beyond the budget
STARVATION_MS = 2_000.0
# A longer step is reported: its task should yield more often
LONG_STEP_MS = 5.0


class TaskResult(NamedTuple):
    """How a task ended: its name, ms of work, number of steps, ms from its start to its end."""
    name: str
    work_ms: float
    steps: int
    elapsed_ms: float


class ScheduledTask:
    """A task that has not ended."""
    __slots__ = ("name", "task", "started_at", "last_step_at", "work_ms", "steps", "on_end")

    def __init__(self, name: str, task: Task, now: float, on_end: Callable[[TaskResult], None] | None):
        self.name, self.task, self.started_at, self.last_step_at, self.on_end = name, task, now, now, on_end
        self.work_ms, self.steps = 0.0, 0


class Scheduler:
    """Runs tasks; see the module. `on_failure(name, error)` is called for a task that raised, `on_long_step(name, ms)` for a step that took too long."""

    def __init__(self, clock: Callable[[], float], budget_ms: float = BUDGET_MS, on_failure: Callable = lambda name, error: None, on_long_step: Callable = lambda name, ms: None):
        self.clock, self.budget_ms, self.on_failure, self.on_long_step = clock, budget_ms, on_failure, on_long_step
        self.queues: tuple[deque[ScheduledTask], ...] = (deque(), deque(), deque())
        self.active_names: set[str] = set()
        self.spent_ms = self.max_overrun_ms = 0.0

    def add(self, name: str, task: Task, priority: int = NORMAL, on_end: Callable[[TaskResult], None] | None = None) -> bool:
        """Adds a task; returns False and adds nothing while one of this name runs, so that periodic work does not pile up."""
        if name in self.active_names:
            task.close()
            return False
        self.active_names.add(name)
        self.queues[priority].append(ScheduledTask(name, task, self.clock(), on_end))
        return True

    @property
    def pending_count(self) -> int:
        """Number of tasks that have not ended."""
        return sum(map(len, self.queues))

    def run_turn(self) -> bool:
        """Runs steps within the budget; returns whether work is left."""
        left_ms, started_at = 0.0, self.clock()
        for queue, share in zip(self.queues, BUDGET_SHARES):
            left_ms += self.budget_ms * share
            while queue and left_ms > 0:
                left_ms -= self.run_step(queue)
        for queue in self.queues:
            if queue and self.clock() - queue[0].last_step_at >= STARVATION_MS:
                self.run_step(queue)
        spent_ms = self.clock() - started_at
        self.spent_ms += spent_ms
        self.max_overrun_ms = max(self.max_overrun_ms, spent_ms - self.budget_ms)
        return any(self.queues)

    def run_step(self, queue: deque[ScheduledTask]) -> float:
        """Runs one step of the first task and returns its ms; the other tasks of its priority come before its next step."""
        scheduled, started_at = queue.popleft(), self.clock()
        try:
            next(scheduled.task)
            ended = False
        except StopIteration:
            ended = True
        except Exception as error:
            ended = True
            self.on_failure(scheduled.name, error)
        now = self.clock()
        scheduled.work_ms, scheduled.steps, scheduled.last_step_at = scheduled.work_ms + now - started_at, scheduled.steps + 1, now
        if now - started_at > LONG_STEP_MS:
            self.on_long_step(scheduled.name, now - started_at)
        if not ended:
            queue.append(scheduled)
            return now - started_at
        self.active_names.discard(scheduled.name)
        if scheduled.on_end is not None:
            scheduled.on_end(TaskResult(scheduled.name, scheduled.work_ms, scheduled.steps, now - scheduled.started_at))
        return now - started_at

"""Runs background work in small steps between turns: by priority, within a budget of ms a turn, so that it never holds up an answer.

A task is a generator: it yields where it may be put aside. Under a director digests, snapshots, forecasts and the ageing of sketches are such tasks. Each priority owns a part of
the budget; what the higher ones leave goes to the lower. A task that waited long is run whatever the budget says, one step a turn. Time is handed in by `clock`.
"""
from collections import deque
from typing import Callable, Generator, NamedTuple

Task = Generator[None, None, None]
URGENT, NORMAL, IDLE = 0, 1, 2          # priorities
BUDGET_MS = 2.0            # a turn: a tenth of the least margin that answers have
PARTS = (0.5, 0.35, 0.15)  # of the budget, by priority
STARVATION_MS = 2_000.0       # a task without a step for so long gets one
LONG_STEP_MS = 5.0         # a step over this is told: it should yield more often


class TaskResult(NamedTuple):
    """What became of a task: its name, ms of work, steps, ms from its start to its end."""
    name: str
    work_ms: float
    steps: int
    elapsed_ms: float


class ScheduledTask:
    """A task under way."""
    __slots__ = ("name", "task", "started", "last", "work_ms", "steps", "ended")

    def __init__(self, name: str, task: Task, now: float, ended: Callable[[TaskResult], None] | None):
        self.name, self.task, self.started, self.last, self.ended = name, task, now, now, ended
        self.work_ms, self.steps = 0.0, 0


class Scheduler:
    """See the module. `on_failure(name, error)` is told of tasks that raised, `on_long_step(name, ms)` of steps that took too long."""

    def __init__(self, clock: Callable[[], float], budget_ms: float = BUDGET_MS, on_failure: Callable = lambda name, error: None, on_long_step: Callable = lambda name, ms: None):
        self.clock, self.budget_ms, self.on_failure, self.on_long_step = clock, budget_ms, on_failure, on_long_step
        self.queues: tuple[deque[ScheduledTask], ...] = (deque(), deque(), deque())
        self.names: set[str] = set()
        self.spent_ms = self.max_overrun_ms = 0.0

    def add(self, name: str, task: Task, priority: int = NORMAL, ended: Callable[[TaskResult], None] | None = None) -> bool:
        """False, and nothing added, where a task of this name is under way: periodic work does not pile up."""
        if name in self.names:
            task.close()
            return False
        self.names.add(name)
        self.queues[priority].append(ScheduledTask(name, task, self.clock(), ended))
        return True

    @property
    def pending_count(self) -> int:
        return sum(map(len, self.queues))

    def run_turn(self) -> bool:
        """Steps within the budget; True where work is left."""
        left, began = 0.0, self.clock()
        for queue, part in zip(self.queues, PARTS):
            left += self.budget_ms * part
            while queue and left > 0:
                left -= self.run_step(queue)
        for queue in self.queues:
            if queue and self.clock() - queue[0].last >= STARVATION_MS:
                self.run_step(queue)
        spent = self.clock() - began
        self.spent_ms += spent
        self.max_overrun_ms = max(self.max_overrun_ms, spent - self.budget_ms)
        return any(self.queues)

    def run_step(self, queue: deque[ScheduledTask]) -> float:
        """One step of the first; the others of its priority come before its next."""
        job, before = queue.popleft(), self.clock()
        try:
            next(job.task)
            over = False
        except StopIteration:
            over = True
        except Exception as error:
            over = True
            self.on_failure(job.name, error)
        now = self.clock()
        job.work_ms, job.steps, job.last = job.work_ms + now - before, job.steps + 1, now
        if now - before > LONG_STEP_MS:
            self.on_long_step(job.name, now - before)
        if not over:
            queue.append(job)
            return now - before
        self.names.discard(job.name)
        if job.ended is not None:
            job.ended(TaskResult(job.name, job.work_ms, job.steps, now - job.started))
        return now - before

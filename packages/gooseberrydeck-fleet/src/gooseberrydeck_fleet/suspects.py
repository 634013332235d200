"""Tasks that may have crashed a worker, and where they may start.

A worker's crash takes all of its runs with it, so it doesn't show which task caused it.
The tasks that it may have been are started on separate workers, so that the next crash
names one of them. One that already has much of the blame gets a worker of its own.
"""

import math
from collections.abc import Collection, Iterable

from gooseberrydeck_fleet.crash_records import total_blame
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.state import Run, Task, Worker

__all__ = [
    "RUN_BESIDE_PENALTY",
    "SuspectTracker",
    "max_occupied_workers",
]

STRONG_BLAME = 0.5
"""Blame from which a task gets a worker of its own."""

CLEARED_AFTER_S = 0.5
"""A suspect is cleared once a run has outlived those that were lost by this much."""

MAX_SUSPECT_SHARE = 0.5
"""Share of a service's workers that suspects may use; the others show whether workers
also crash without them."""

WAIT_FOR_SEPARATE_S = 1.0
"""How long a suspect waits for a worker without other suspects."""

WAIT_FOR_OWN_S = 2.0
"""How long a task that has much of the blame waits for a worker of its own."""

WAIT_FOR_ANY_FACTOR = 3
"""A suspect that has waited this many times as long starts on any worker."""

FIRST_PAUSE_S = 0.5
"""Pause before the start after a task's second crash; it doubles with each further
one."""

MAX_PAUSE_S = 2.0
"""Longest such pause. Crashes add up over the life of a task, and the platform counts a
job as lost that nothing runs of for 3 s with room for it."""

START_GAP_S = 0.5
"""Time between the starts of the tasks that are most to blame for several crashes, so
that workers that crash again do so one after the other, and not for a common reason."""

MIN_RELATIVE_BLAME = 0.2
"""Tasks wait for their turn whose blame is at least this part of the largest."""

MAX_STANDING_PAUSE_S = 7.0
"""Time after a worker has fallen silent from which its long-running tasks don't wait
for evidence of a crash any more."""

MAX_STANDING_WAIT_S = 8.0
"""Time after a worker has fallen silent from which its long-running tasks may start on
any worker. The platform counts a task as lost that doesn't run for 9 s."""

RUN_BESIDE_PENALTY = 1.0
"""Rank penalty of a worker for each run that a suspect would endanger there."""


class Suspect:
    """A task that may have crashed a worker, and is not cleared.

    It is cleared by a run that takes longer than ``age_s``.
    """

    __slots__ = (
        "age_s",
        "has_asked_advice",
        "retry_s",
        "silent_since_s",
        "task",
        "waits_since_s",
    )

    def __init__(self, task: Task) -> None:
        """Suspect a task."""
        self.task = task
        self.age_s = 0.0
        self.retry_s = 0.0
        # When the worker of its last lost run fell silent; None if that is only known
        # from the records of a predecessor.
        self.silent_since_s: float | None = None
        # When a start was first considered since the last crash.
        self.waits_since_s: float | None = None
        self.has_asked_advice = False

    @property
    def blame(self) -> float:
        """Return all the blame of the task."""
        return total_blame(self.task.crashes.values())

    @property
    def is_strong(self) -> bool:
        """Return True if the task has much of the blame for a crash."""
        return self.blame >= STRONG_BLAME

    @property
    def crashes(self) -> int:
        """Return the number of crashes under the task."""
        return sum(record.is_counted for record in self.task.crashes.values())

    @property
    def patience_s(self) -> float:
        """Return how long the task waits for a worker as it needs it."""
        return WAIT_FOR_OWN_S if self.is_strong else WAIT_FOR_SEPARATE_S


class SuspectTracker:
    """Keep suspects on separate workers until they are cleared or given up."""

    def __init__(self) -> None:
        """Create a tracker without suspects."""
        self.suspects: dict[TaskRef, Suspect] = {}
        # The last suspect started on each worker, until it is cleared or ends.
        self.trials: dict[WorkerId, Run] = {}
        # Those workers on which no ordinary task may start beside it.
        self.reserved: set[WorkerId] = set()
        # When the next of the tasks that are most to blame may start.
        self.next_turn_s = 0.0
        self.largest_blame = 0.0
        # Difference between Unix time and the monotonic clock.
        self.wall_offset_s = 0.0

    def add(
        self,
        task: Task,
        age_s: float,
        now_s: float,
        silent_since_s: float | None,
    ) -> None:
        """Suspect a task whose run was lost at an age of ``age_s``.

        Its worker fell silent at ``silent_since_s``, which is None if a predecessor has
        recorded that.
        """
        suspect = self.suspects.get(task.ref)
        if suspect is None:
            suspect = self.suspects[task.ref] = Suspect(task)
        suspect.age_s = max(suspect.age_s, age_s)
        self.worker_silent(task, silent_since_s)
        suspect.waits_since_s = None
        suspect.has_asked_advice = False
        # A long-running task must run again soon; others have time for a pause.
        if suspect.crashes > 1 and not task.step.spec.is_standing:
            pause_s = FIRST_PAUSE_S * 2 ** (suspect.crashes - 2)
            suspect.retry_s = now_s + min(pause_s, MAX_PAUSE_S)

    def worker_silent(self, task: Task, since_s: float | None) -> None:
        """Note since when a worker with a run of a task has been silent, if known."""
        suspect = self.suspects.get(task.ref)
        if suspect is not None and since_s is not None:
            suspect.silent_since_s = max(since_s, suspect.silent_since_s or 0.0)

    def is_suspect(self, task: Task) -> bool:
        """Return True if a task may have crashed a worker, and is not cleared."""
        return task.ref in self.suspects

    def discard(self, task: Task) -> None:
        """Stop suspecting a task."""
        self.suspects.pop(task.ref, None)

    def retry_s(self, task: Task, now_s: float) -> float:
        """Return the monotonic time from which a task may start."""
        suspect = self.suspects.get(task.ref)
        if suspect is None:
            return 0.0
        if not task.step.spec.is_standing:
            return suspect.retry_s
        return min(
            suspect.retry_s, self.silent_since_s(suspect, now_s) + MAX_STANDING_PAUSE_S
        )

    def silent_since_s(self, suspect: Suspect, now_s: float) -> float:
        """Return when the worker of a suspect's last lost run fell silent."""
        if suspect.silent_since_s is None:
            records = suspect.task.crashes.values()
            silent_s = max((record.silent_s for record in records), default=math.inf)
            # The predecessor's clock may be ahead.
            suspect.silent_since_s = min(now_s, silent_s - self.wall_offset_s)
        return suspect.silent_since_s

    def postpone(self, task: Task, until_s: float) -> None:
        """Keep a suspect from starting until a monotonic time at least."""
        suspect = self.suspects.get(task.ref)
        if suspect is not None:
            suspect.retry_s = max(suspect.retry_s, until_s)

    def take_advice_turn(self, task: Task) -> bool:
        """Return True once for each wait of a suspect."""
        suspect = self.suspects[task.ref]
        had_turn, suspect.has_asked_advice = suspect.has_asked_advice, True
        return not had_turn

    def review(self, now_s: float) -> list[Task]:
        """Clear the suspects that work and return them; forget those that ended."""
        cleared = []
        self.largest_blame = 0.0
        for suspect in list(self.suspects.values()):
            self.largest_blame = max(self.largest_blame, suspect.blame)
            task = suspect.task
            if task.is_done or task.step.job.state.is_final:
                self.discard(task)
            elif any(has_outlived(run, suspect.age_s, now_s) for run in task.runs):
                self.discard(task)
                cleared.append(task)
        for worker_id, run in list(self.trials.items()):
            if not self.is_on_trial(run):
                del self.trials[worker_id]
                self.reserved.discard(worker_id)
        return cleared

    def is_on_trial(self, run: Run) -> bool:
        """Return True if a suspect's run is in progress."""
        return run in run.task.runs and self.is_suspect(run.task)

    def occupied_workers(self) -> Collection[WorkerId]:
        """Return the workers that have runs of suspects."""
        return {
            run.worker.id
            for suspect in self.suspects.values()
            for run in suspect.task.runs
        }

    def is_reserved(self, worker: Worker) -> bool:
        """Return True if no ordinary task may start on a worker beside a suspect."""
        return worker.id in self.reserved and self.is_on_trial(self.trials[worker.id])

    def is_endangered(self, worker: Worker) -> bool:
        """Return True if a suspect is on trial on a worker."""
        run = self.trials.get(worker.id)
        return run is not None and self.is_on_trial(run)

    def started(self, run: Run) -> None:
        """Record a start, and reserve the worker for a suspect with much blame."""
        suspect = self.suspects.get(run.task.ref)
        if suspect is None:
            return
        suspect.waits_since_s = None
        if self.takes_turns(suspect):
            self.next_turn_s = run.started_s + START_GAP_S
        self.trials[run.worker.id] = run
        if suspect.is_strong:
            self.reserved.add(run.worker.id)

    def takes_turns(self, suspect: Suspect) -> bool:
        """Return True if a suspect is among those that start one after the other."""
        least = MIN_RELATIVE_BLAME * self.largest_blame
        return suspect.crashes > 1 and suspect.blame >= least

    def waited_s(self, suspect: Suspect, now_s: float) -> float:
        """Return how long ago a start was first considered since the last crash."""
        if now_s < self.retry_s(suspect.task, now_s):
            return 0.0
        if suspect.waits_since_s is None:
            suspect.waits_since_s = now_s
        return now_s - suspect.waits_since_s

    def has_waited_enough(self, task: Task, now_s: float) -> bool:
        """Return True if a suspect may start on any worker."""
        suspect = self.suspects[task.ref]
        limit_s = WAIT_FOR_ANY_FACTOR * suspect.patience_s
        if self.waited_s(suspect, now_s) >= limit_s:
            return True
        if not task.step.spec.is_standing:
            return False
        return now_s >= self.silent_since_s(suspect, now_s) + MAX_STANDING_WAIT_S

    def without_crashed(
        self, task: Task, workers: Iterable[Worker], now_s: float
    ) -> list[Worker]:
        """Return the workers at other addresses than those where a suspect was lost.

        Those workers may be to blame themselves. If there are no others, or the suspect
        has waited for long, all workers are returned.
        """
        workers = list(workers)
        addresses = {record.address for record in task.crashes.values()}
        others = [each for each in workers if str(each.entry.address) not in addresses]
        return others if others and not self.has_waited_enough(task, now_s) else workers

    def allows(
        self,
        task: Task,
        worker: Worker,
        occupied: Collection[WorkerId],
        max_occupied: int,
        now_s: float,
    ) -> bool:
        """Return True if a suspect may start on a worker.

        ``occupied`` has the workers with runs of suspects, of which there should be up
        to ``max_occupied``. The longer the suspect has waited, the less is asked of the
        worker.
        """
        suspect = self.suspects[task.ref]
        if self.has_waited_enough(task, now_s):
            return True
        if now_s < self.retry_s(task, now_s):
            return False
        if now_s < self.next_turn_s and self.takes_turns(suspect):
            return False
        is_strong = suspect.is_strong
        is_occupied = worker.id in occupied
        is_separate = not is_occupied and len(occupied) < max_occupied
        if self.waited_s(suspect, now_s) >= suspect.patience_s:
            return is_separate or (is_occupied and not is_strong)
        return is_separate and not (is_strong and worker.runs)


def max_occupied_workers(service_workers: int) -> int:
    """Return how many of a service's workers suspects may use."""
    return max(1, int(MAX_SUSPECT_SHARE * service_workers))


def has_outlived(run: Run, age_s: float, now_s: float) -> bool:
    """Return True if a run works at an age at which former ones were lost.

    Its worker has to have answered at that age.
    """
    answered_s = run.worker.last_reply_s if run.worker.is_reachable else 0.0
    return min(now_s, answered_s) - run.started_s > age_s + CLEARED_AFTER_S

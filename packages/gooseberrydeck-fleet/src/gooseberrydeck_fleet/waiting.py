"""The steps with tasks to start, kept in the order in which they are served.

The order is updated by what changes, so that its cost doesn't depend on how many steps
wait: jobs are evaluated again when they have changed, and steps when they become late.
"""

import bisect
import heapq
from collections.abc import Iterable

from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.start_permission import (
    find_step_obstacle,
    has_startable_tasks,
)
from gooseberrydeck_fleet.state import Job, Step, Worker

__all__ = ["Rank", "WaitingSteps"]

Rank = tuple[int, int, bool, float, StepRef]
"""Priority, excess over the team's share, whether the job is late, its due time.

The excess is zero for a job within its team's share, unless it got the share while it
waited and is late. Otherwise, it is one more than the level of the team's use.

Jobs that can still finish on time go before jobs that can't. In plain order of due
times, a burst would make every job after it late as well.
"""


class WaitingSteps:
    """Ready steps with tasks to start, ordered by ``Rank``.

    ``due`` has the steps to try: those that are new, or to which something happened.
    """

    def __init__(self, ledger: Ledger) -> None:
        """Create an empty order for the jobs of a ledger."""
        self.ledger = ledger
        self.order: list[Rank] = []
        self.steps: dict[StepRef, Step] = {}
        self.ranks: dict[StepRef, Rank] = {}
        self.by_job: dict[JobId, set[StepRef]] = {}
        self.by_team: dict[TeamName, set[StepRef]] = {}
        # The jobs with waiting steps that may get a share: they are beyond that of
        # their team, and not late.
        self.returnable: dict[TeamName, dict[JobId, Job]] = {}
        # The level of use of each team, zero if it isn't named.
        self.levels: dict[TeamName, int] = {}
        # Processor needs of the steps, sorted.
        self.cpu_needs: list[int] = []
        self.late_times: list[tuple[float, StepRef]] = []
        # The newest entry of each step in it: what was learned may have moved it.
        self.late_from: dict[StepRef, float] = {}
        self.due: set[StepRef] = set()
        # Urgent steps whose tasks all run, and that allow copies.
        self.speculative: dict[StepRef, Step] = {}

    def __len__(self) -> int:
        """Return the number of waiting steps."""
        return len(self.order)

    def update(self, now_s: float, wall_s: float) -> None:
        """Evaluate the jobs that have changed, and the steps that became late."""
        touched, self.ledger.touched = self.ledger.touched, {}
        for job_id in touched:
            self.update_job(job_id, now_s, wall_s)
        while self.late_times and self.late_times[0][0] < wall_s:
            _, ref = heapq.heappop(self.late_times)
            step = self.steps.get(ref)
            if step is not None:
                self.put(step, wall_s)

    def update_job(self, job_id: JobId, now_s: float, wall_s: float) -> None:
        """Evaluate the steps of a job, which may have ended."""
        job = self.ledger.jobs.get(job_id)
        gone = set(self.by_job.get(job_id, ()))
        if job is not None:
            job.refresh_expected()
        for step in ready_steps(job):
            if step.ready_s is None:
                step.ready_s = now_s
            if has_startable_tasks(step):
                gone.discard(step.ref)
                if step.ref not in self.ranks:
                    step.waits_since_s = now_s
                    step.is_wait_reported = False
                    self.set_speed_preference(step)
                self.put(step, wall_s)
                self.due.add(step.ref)
            elif step.spec.is_speculative and step.job.queue.priority == 0:
                self.speculative[step.ref] = step
        for ref in gone:
            self.remove(ref)

    def set_speed_preference(self, step: Step) -> None:
        """Have a step that begins a long chain of work prefer fast workers."""
        durations = self.ledger.durations
        if durations.uses.placement:
            step.speed_preference = durations.speed_preference(
                step.job.record.queue, step.job.critical_path_s(step)
            )

    def put(self, step: Step, wall_s: float) -> None:
        """Insert a step, or move it if its rank has changed."""
        ref, job = step.ref, step.job
        late_from_s = job.late_from_s(step)
        is_late = late_from_s is not None and wall_s > late_from_s
        excess, due_s = 0, job.ranked_due_s()
        if not job.is_within_share or (job.returned_s and is_late):
            # A share that was returned to a job that is late now would be of no use.
            excess, due_s = 1 + self.levels.get(job.record.team, 0), job.due_s
        rank = (job.queue.priority, excess, is_late, due_s, ref)
        if late_from_s is not None and not is_late:
            self.push_late_time(ref, late_from_s)
        known = self.ranks.get(ref)
        if known == rank:
            return
        if known is not None:
            del self.order[bisect.bisect_left(self.order, known)]
        else:
            self.steps[ref] = step
            bisect.insort(self.cpu_needs, step.allocation.cpu_millis)
            self.by_job.setdefault(ref.job, set()).add(ref)
            self.by_team.setdefault(job.record.team, set()).add(ref)
        self.ranks[ref] = rank
        bisect.insort(self.order, rank)
        self.track_returnable(job, not (job.is_within_share or is_late))

    def push_late_time(self, ref: StepRef, late_from_s: float) -> None:
        """Have a step evaluated again when it becomes late."""
        if self.late_from.get(ref) != late_from_s:
            self.late_from[ref] = late_from_s
            heapq.heappush(self.late_times, (late_from_s, ref))

    def track_returnable(self, job: Job, is_returnable: bool) -> None:
        """Record whether a waiting job may get a share."""
        team = job.record.team
        if is_returnable:
            self.returnable.setdefault(team, {})[job.id] = job
            return
        jobs = self.returnable.get(team)
        if jobs is not None and jobs.pop(job.id, None) is not None and not jobs:
            del self.returnable[team]

    def set_level(self, team: TeamName, level: int, wall_s: float) -> None:
        """Move the steps of a team that have an excess by its level of use."""
        self.levels[team] = level
        for ref in self.by_team.get(team, ()):
            if self.ranks[ref][1]:
                self.put(self.steps[ref], wall_s)

    def remove(self, ref: StepRef) -> None:
        """Remove a step that has no more tasks to start."""
        rank = self.ranks.pop(ref, None)
        if rank is None:
            return
        self.late_from.pop(ref, None)
        del self.order[bisect.bisect_left(self.order, rank)]
        step = self.steps.pop(ref)
        team = step.job.record.team
        cpu_millis = step.allocation.cpu_millis
        del self.cpu_needs[bisect.bisect_left(self.cpu_needs, cpu_millis)]
        self.due.discard(ref)
        for refs in (self.by_job[ref.job], self.by_team[team]):
            refs.discard(ref)
        if not self.by_job[ref.job]:
            del self.by_job[ref.job]
            self.track_returnable(step.job, is_returnable=False)
        # Less urgent steps of the team may have waited for this one.
        self.ledger.freed_teams.add(team)

    def started(self, step: Step) -> None:
        """Update a step after some of its tasks have started."""
        if has_startable_tasks(step):
            return
        self.remove(step.ref)
        if step.spec.is_speculative and step.job.queue.priority == 0:
            self.speculative[step.ref] = step

    def could_use(self, worker: Worker) -> bool:
        """Return True if the least demanding step could find room on a worker."""
        return bool(self.cpu_needs) and worker.free.cpu_millis >= self.cpu_needs[0]

    def in_order(self, refs: Iterable[StepRef]) -> list[Rank]:
        """Return the ranks of those of the steps that wait, in order."""
        ranks = self.ranks
        return sorted(ranks[ref] for ref in refs if ref in ranks)

    def after(self, rank: Rank | None, count: int) -> list[Rank]:
        """Return the next ``count`` ranks after one, from the start if it is None."""
        start = 0 if rank is None else bisect.bisect_right(self.order, rank)
        return self.order[start : start + count]

    def team_freed(self, team: TeamName) -> None:
        """Mark the steps of a team as due, since its limit has room again."""
        self.due.update(self.by_team.get(team, ()))

    def speculative_steps(self) -> list[Step]:
        """Return the steps whose stragglers may get copies."""
        for ref, step in list(self.speculative.items()):
            if step.is_done or step.job.state.is_final or ref in self.ranks:
                del self.speculative[ref]
        return list(self.speculative.values())


def ready_steps(job: Job | None) -> list[Step]:
    """Return the open steps of a job whose tasks may start."""
    if job is None or job.state.is_final:
        return []
    for ref, step in list(job.open_steps.items()):
        if step.is_done:
            del job.open_steps[ref]
    return [
        step for step in job.open_steps.values() if find_step_obstacle(step) is None
    ]

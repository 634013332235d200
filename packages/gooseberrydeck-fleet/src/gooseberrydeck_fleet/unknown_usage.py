"""Upper bounds of what teams use by runs that the scheduler doesn't know.

A predecessor's runs go on after a takeover. Until their workers have reported, or the
leases have expired, they count against the limits of the teams that may own them.
"""

from collections.abc import Mapping
from typing import NamedTuple

from gooseberrydeck_coordination.ids import JobId, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.start_permission import may_have_unknown_runs
from gooseberrydeck_fleet.state import Job, Step
from gooseberrydeck_fleet.work import JobState, StepSpec

__all__ = ["UnknownUsage"]

MAX_SPECULATIVE_RUNS = 2
"""How many runs a task has at most where copies are allowed."""


class Usage(NamedTuple):
    """What runs use; ``leftover_millis`` are the processors of best-effort runs.

    Those count against a limit, but not against a worker's capacity.
    """

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    leftover_millis: int = 0

    def plus(self, other: "Usage") -> "Usage":
        """Return the sum of two usages."""
        return Usage(
            self.cpu_millis + other.cpu_millis,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
            self.leftover_millis + other.leftover_millis,
        )

    def minus(self, other: "Usage") -> "Usage":
        """Return the difference of two usages."""
        return Usage(
            self.cpu_millis - other.cpu_millis,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
            self.leftover_millis - other.leftover_millis,
        )

    def within(self, capacity: Resources, least: Resources) -> Resources:
        """Return the usage of runs that fit in ``capacity`` and take ``least``."""
        cpu_millis = max(least.cpu_millis, min(self.cpu_millis, capacity.cpu_millis))
        return Resources(
            cpu_millis + self.leftover_millis,
            max(least.memory_mib, min(self.memory_mib, capacity.memory_mib)),
            max(least.accelerators, min(self.accelerators, capacity.accelerators)),
        )


NO_USAGE = Usage()


class UnknownUsage:
    """Keep the unknown usage of each team up to date in the ledger's quotas.

    The unknown runs of a team are of tasks of jobs that are held back, and fit on the
    workers that have not reported. The smaller of both amounts counts.
    """

    def __init__(self, ledger: Ledger) -> None:
        """Start without unknown usage."""
        self.ledger = ledger
        self.jobs: dict[JobId, Usage] = {}
        self.teams: dict[TeamName, Usage] = {}
        # Held jobs that are new or have changed since they were counted.
        self.uncounted: dict[JobId, Job] = {}

    def job_held(self, job: Job) -> None:
        """Count a job, which may have unknown runs."""
        self.uncounted[job.id] = job

    def job_released(self, job: Job) -> None:
        """Stop counting a job, whose runs are all known."""
        self.uncounted.pop(job.id, None)
        self.set_usage(job, NO_USAGE)
        self.jobs.pop(job.id, None)

    def update(self, held: Mapping[JobId, Job]) -> None:
        """Apply what has changed since the last call.

        Of the ``held`` jobs, those that were touched since are counted again.
        """
        for job_id in self.ledger.touched:
            if job_id in self.jobs:
                self.uncounted[job_id] = held[job_id]
        quotas = self.ledger.quotas
        if not quotas.has_limits:
            return
        for job in self.uncounted.values():
            self.set_usage(job, self.count(job))
        self.uncounted.clear()
        of_any_team = self.room_beside_orphaned_runs()
        amounts = {}
        if held or not self.ledger.is_sole_scheduler:
            unreported = self.unreported_capacity()
            # An active predecessor may know jobs that are not known here yet.
            is_sole = self.ledger.is_sole_scheduler
            least = NO_RESOURCES if is_sole else unreported
            amounts = {
                team: usage.within(unreported, least) + of_any_team
                for team, usage in self.teams.items()
            }
            of_any_team = of_any_team + least
        self.ledger.freed_teams.update(quotas.set_unknown(amounts, of_any_team))

    def set_usage(self, job: Job, usage: Usage) -> None:
        """Replace the usage of a job in its team's total."""
        before = self.jobs.get(job.id, NO_USAGE)
        self.jobs[job.id] = usage
        if usage != before:
            team = job.record.team
            others = self.teams.get(team, NO_USAGE).minus(before)
            self.teams[team] = others.plus(usage)

    def count(self, job: Job) -> Usage:
        """Return the largest usage of the unknown runs that a job may have."""
        has_started = bool(job.runs) or job.state is not JobState.QUEUED
        total = NO_USAGE
        for step in job.steps.values():
            count = self.count_runs(step) if has_started else max_runs(step.spec)
            total = total.plus(usage_of(step.spec, count))
        if job.is_periodic and job.next_occurrence < job.occurrences:
            # A predecessor whose clock was ahead may have opened one more.
            for spec in job.record.work.steps:
                total = total.plus(usage_of(spec, max_runs(spec)))
        return total

    def count_runs(self, step: Step) -> int:
        """Return how many unknown runs a step may have."""
        if step.is_safe_to_start:
            return 0
        if not step.spec.is_speculative:
            return sum(
                task.is_waiting and may_have_unknown_runs(task) for task in step.tasks
            )
        count = 0
        for task in step.tasks:
            # A copy may be left of a task that is done.
            runs = MAX_SPECULATIVE_RUNS - task.is_done
            known = sum(not self.ledger.run_numbers.is_own(r.number) for r in task.runs)
            count += max(0, runs - known)
        return count

    def unreported_capacity(self) -> Resources:
        """Return the capacity of the workers that have not reported their runs."""
        total = NO_RESOURCES
        for worker in self.ledger.workers.values():
            if not worker.has_reported:
                total = total + worker.largest_capacity
        return total

    def room_beside_orphaned_runs(self) -> Resources:
        """Return what orphaned runs may use, whose teams are unknown.

        That is the capacity that the known runs leave on their workers.
        """
        total = NO_RESOURCES
        for worker in self.ledger.workers.values():
            if worker.has_orphaned_runs:
                total = total + worker.unknown_usage()
        return total


def max_runs(spec: StepSpec) -> int:
    """Return how many runs a step may have at once."""
    return spec.count * (MAX_SPECULATIVE_RUNS if spec.is_speculative else 1)


def usage_of(spec: StepSpec, count: int) -> Usage:
    """Return the usage of ``count`` tasks of a step."""
    each = spec.resources
    cpu_millis = count * each.cpu_millis
    memory_mib, accelerators = count * each.memory_mib, count * each.accelerators
    if spec.uses_leftover:
        return Usage(0, memory_mib, accelerators, cpu_millis)
    return Usage(cpu_millis, memory_mib, accelerators)

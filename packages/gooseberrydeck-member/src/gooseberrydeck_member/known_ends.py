"""The ends that can't be undone: those that are stored, or that workers may forget.

The record is kept apart from the scheduler's state, so that a start can be checked
against it. It takes no part in decisions.
"""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_fleet.commands import Changes
from gooseberrydeck_fleet.ids import StepRef, TaskRef, WorkerId
from gooseberrydeck_fleet.progress import Progress, decode_progress
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import EndKind, EndReport

__all__ = ["EndEvidence", "EvidenceKind", "KnownEnd", "KnownEnds"]

MAX_ENDED_JOBS = 10_000
"""Ended jobs that are remembered, the newest ones."""


class EvidenceKind(Enum):
    """What shows that a task must not start again."""

    JOB_ENDED = "job_ended"
    END_STORED = "end_stored"
    END_ACKNOWLEDGED = "end_acknowledged"


class KnownEnd(msgspec.Struct):
    """A successful end that a worker's process has listed, and what became of it.

    Times are monotonic seconds. ``acknowledged_token`` is the fencing token of the poll
    that acknowledged it first.
    """

    task: TaskRef
    run: int
    worker: WorkerId
    born_ms: int
    number: int
    listed_s: float
    stored_s: float | None = None
    acknowledged_s: float | None = None
    acknowledged_token: Epoch | None = None


class StoredStep(msgspec.Struct):
    """The tasks of a step that are stored as done, as a bit set.

    ``is_inherited`` says that a predecessor has stored some of them, which were read at
    ``stored_s``.
    """

    done: int
    stored_s: float
    is_inherited: bool


class EndEvidence(msgspec.Struct, frozen=True):
    """What shows that a task must not start again.

    ``end`` is None if no worker has listed an end of the task to this holder.
    ``job_state`` is set if the job has ended.
    """

    kind: EvidenceKind
    end: KnownEnd | None = None
    stored_s: float | None = None
    is_inherited: bool = False
    job_state: JobState | None = None


class KnownEnds:
    """Ends listed by workers, stored, and acknowledged, during one holding.

    Those of open jobs are kept, and those that are not acknowledged yet.
    """

    def __init__(self) -> None:
        """Start without known ends."""
        self.listed: dict[JobId, dict[StepRef, dict[int, KnownEnd]]] = {}
        self.stored: dict[JobId, dict[StepRef, StoredStep]] = {}
        # Jobs whose end is stored, with their state and when that was learned.
        self.ended_jobs: dict[JobId, tuple[JobState, float]] = {}
        # By worker, the start of its process and its ends, by number.
        self.unacknowledged: dict[WorkerId, tuple[int, dict[int, KnownEnd]]] = {}

    # What happens to ends.

    def end_listed(
        self, worker: WorkerId, born_ms: int, end: EndReport, now_s: float
    ) -> None:
        """Record an end that a worker's process lists, if it is a successful one."""
        if end.kind is not EndKind.SUCCEEDED:
            return
        known = KnownEnd(end.task, end.run, worker, born_ms, end.number, now_s)
        former_born_ms, ends = self.unacknowledged.get(worker, (born_ms, {}))
        if former_born_ms != born_ms:
            ends = {}
        ends.setdefault(end.number, known)
        self.unacknowledged[worker] = born_ms, ends
        if end.task.job not in self.ended_jobs:
            steps = self.listed.setdefault(end.task.job, {})
            tasks = steps.setdefault(end.task.step_ref, {})
            tasks.setdefault(end.task.number, known)

    def changes_stored(self, changes: Changes, now_s: float) -> None:
        """Record the tasks and jobs whose ends a commit has stored."""
        for write in changes.progress:
            progress = decode_progress(write.value)
            self.progress_stored(write.job, progress, now_s, is_inherited=False)
        for ending in changes.endings:
            self.job_ended(ending.job, ending.ended.state, now_s)

    def progress_stored(
        self, job: JobId, progress: Progress, now_s: float, is_inherited: bool
    ) -> None:
        """Record the stored progress of a job, ``is_inherited`` from a predecessor."""
        if job in self.ended_jobs:
            return
        for step in progress.steps:
            if not step.done:
                continue
            ref = StepRef(job, step.occurrence, step.step)
            steps = self.stored.setdefault(job, {})
            known = steps.setdefault(ref, StoredStep(0, now_s, is_inherited))
            added = step.done & ~known.done
            if added:
                known.done |= added
                known.stored_s = now_s
            listed = self.listed.get(job, {}).get(ref, {})
            while listed and added:
                index = added.bit_length() - 1
                added ^= 1 << index
                end = listed.get(index)
                if end is not None and not is_inherited:
                    end.stored_s = now_s

    def job_ended(self, job: JobId, state: JobState, now_s: float) -> None:
        """Record that the end of a job is stored."""
        self.listed.pop(job, None)
        self.stored.pop(job, None)
        self.ended_jobs.setdefault(job, (state, now_s))
        if len(self.ended_jobs) > MAX_ENDED_JOBS:
            del self.ended_jobs[next(iter(self.ended_jobs))]

    def job_absent(self, job: JobId) -> None:
        """Forget the ends of a job that is not in the store."""
        self.listed.pop(job, None)
        for _, ends in self.unacknowledged.values():
            for number in [n for n, end in ends.items() if end.task.job == job]:
                del ends[number]

    def acknowledged(
        self, worker: WorkerId, born_ms: int, number: int, token: Epoch, now_s: float
    ) -> list[KnownEnd]:
        """Record that a poll lets a worker forget its ends up to ``number``.

        Return those of them that no poll has acknowledged before.
        """
        listed_born_ms, ends = self.unacknowledged.get(worker, (0, {}))
        if not (number and ends) or listed_born_ms != born_ms:
            return []
        newly = [ends.pop(each) for each in sorted(ends) if each <= number]
        for end in newly:
            end.acknowledged_s = now_s
            end.acknowledged_token = token
        return newly

    def worker_forgotten(self, worker: WorkerId) -> None:
        """Forget which ends of a worker are not acknowledged."""
        self.unacknowledged.pop(worker, None)

    # What they show.

    def is_stored(self, end: KnownEnd, spec: StepSpec) -> bool:
        """Return True if an end of a task of the given step is stored."""
        if end.stored_s is not None or end.task.job in self.ended_jobs:
            return True
        return self.stored_step(end.task, spec) is not None

    def stored_step(self, task: TaskRef, spec: StepSpec) -> StoredStep | None:
        """Return what is stored of a task's step, if the task is done by that."""
        stored = self.stored.get(task.job, {}).get(task.step_ref)
        if stored is None:
            return None
        # A gang succeeds as a whole.
        is_done = stored.done if spec.is_gang else stored.done >> task.number & 1
        return stored if is_done else None

    def find_evidence(self, task: TaskRef, spec: StepSpec) -> EndEvidence | None:
        """Return what shows that a task must not start again, or None.

        ``spec`` is that of its step. Ends of long-running tasks don't count, only that
        of their job. Of a speculative task, too, nothing may start after an end that
        counts here.
        """
        if task.job in self.ended_jobs:
            state, stored_s = self.ended_jobs[task.job]
            return EndEvidence(
                EvidenceKind.JOB_ENDED, stored_s=stored_s, job_state=state
            )
        if spec.is_standing:
            return None
        end = self.find_listed(task, spec)
        stored = self.stored_step(task, spec)
        if stored is not None:
            stored_s = stored.stored_s
            if end is not None and end.stored_s is not None:
                stored_s = end.stored_s
            return EndEvidence(
                EvidenceKind.END_STORED, end, stored_s, stored.is_inherited
            )
        if end is not None and end.acknowledged_s is not None:
            return EndEvidence(EvidenceKind.END_ACKNOWLEDGED, end)
        return None

    def find_listed(self, task: TaskRef, spec: StepSpec) -> KnownEnd | None:
        """Return a listed end of a task, or of a member of its gang.

        Of several, one that was acknowledged is returned.
        """
        tasks = self.listed.get(task.job, {}).get(task.step_ref)
        if not tasks:
            return None
        if not spec.is_gang:
            return tasks.get(task.number)
        return max(tasks.values(), key=lambda end: end.acknowledged_s is not None)

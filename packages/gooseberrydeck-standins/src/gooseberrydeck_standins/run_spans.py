"""Spans of runs on the users' workers, and checks of when tasks were started."""

import itertools
from collections.abc import Callable, Mapping

import msgspec

from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.worker_calls import EndKind

__all__ = [
    "NOTICE_S",
    "RunSpan",
    "find_duplicate_runs",
    "find_starts_after_end",
    "find_starts_beyond_attempts",
]

NOTICE_S = 1.0
"""Time after an acknowledgement, or the end of a job, in which the platform tolerates a
start that was decided before."""


class RunSpan(msgspec.Struct, frozen=True):
    """Start and end of a run in wall-clock seconds, and how it ended.

    ``gang`` names the step of a gang. A span is void if its worker's lease lapsed, or
    its worker crashed, before the end was acknowledged: the end then counts for
    nothing, and the task has to run again. Otherwise ``acknowledged_s`` is when the
    end was acknowledged, None if it has not been yet.

    ``sent_s`` is when the start was sent, if the network or the worker delayed it, and
    None if the worker executed it at once.
    """

    task: str
    run: int
    began_s: float
    ended_s: float
    kind: str
    gang: str = ""
    is_void: bool = False
    job: JobId = JobId("")
    allows_copies: bool = False
    is_standing: bool = False
    sent_s: float | None = None
    acknowledged_s: float | None = None

    @property
    def unit(self) -> str:
        """Return the name of what ends and fails as a whole: the gang, or the task."""
        return self.gang or self.task

    @property
    def ordered_s(self) -> float:
        """Return when the holder sent the start.

        Delays on the way to the worker don't count against rules with a time bound.
        """
        return self.began_s if self.sent_s is None else self.sent_s

    @property
    def counts_as_done(self) -> bool:
        """Return True if the run succeeded and its end was, or can be, acknowledged."""
        return self.kind == EndKind.SUCCEEDED.value and not self.is_void

    @property
    def counts_as_failed(self) -> bool:
        """Return True if the run failed and its end was, or can be, acknowledged."""
        return self.kind == EndKind.FAILED.value and not self.is_void


def find_duplicate_runs(spans: list[RunSpan]) -> list[str]:
    """Describe each task that ran twice concurrently or again after it succeeded.

    The success of any member of a gang counts for all members. The spans may come from
    several workers. Runs of steps that allow copies are exempt.
    """
    found = []
    exclusive = [span for span in spans if not span.allows_copies]
    for task, runs in group_by(exclusive, lambda span: span.task).items():
        for first, second in itertools.pairwise(runs):
            if second.began_s < first.ended_s:
                found.append(f"{task} ran twice at once ({first.run}, {second.run})")
            elif first.counts_as_done:
                found.append(f"{task} ran again after it was done ({second.run})")
    gangs = [span for span in exclusive if span.gang]
    for runs in group_by(gangs, lambda span: span.gang).values():
        done = [run for run in runs if run.counts_as_done]
        first_done = min(done, key=lambda run: run.ended_s, default=None)
        found += [
            f"{run.task} ran again after its gang was done ({run.run})"
            for run in runs
            if first_done is not None
            and run.run != first_done.run
            and run.began_s >= first_done.ended_s
        ]
    return found


def find_starts_after_end(
    spans: list[RunSpan], completed_s: Mapping[JobId, float]
) -> list[str]:
    """Describe the starts that were sent long after the end of their task was known.

    That is ``NOTICE_S`` after a successful end of the task, or of its gang, was
    acknowledged or after its job was stored as completed: ``completed_s`` has the
    wall-clock times of the latter. Steps that allow copies are not exempt.
    """
    found = []
    for unit, runs in group_by(spans, lambda span: span.unit).items():
        known_s = [
            each.acknowledged_s
            for each in runs
            if each.counts_as_done and each.acknowledged_s is not None
        ]
        job_s = completed_s.get(runs[0].job)
        first_s = min(known_s if job_s is None else [*known_s, job_s], default=None)
        if first_s is None:
            continue
        found += [
            f"{unit} was started {run.ordered_s - first_s:.2f} s after its end was"
            f" known ({run.run})"
            for run in runs
            if run.ordered_s > first_s + NOTICE_S
        ]
    return found


def find_starts_beyond_attempts(spans: list[RunSpan], attempts: int) -> list[str]:
    """Describe the starts after a task, or its gang, had failed ``attempts`` times.

    Failures that nobody can take note of any more don't count. Copies may start until
    ``NOTICE_S`` after the last failure was acknowledged, standing tasks at any time.
    """
    found = []
    limited = [span for span in spans if not span.is_standing]
    for unit, runs in group_by(limited, lambda span: span.unit).items():
        for run in runs:
            failed = {
                each.run
                for each in runs
                if each.run != run.run and is_failed_before(each, run)
            }
            if len(failed) >= attempts:
                found.append(f"{unit} ran again ({run.run}) after failures {failed}")
    return found


def is_failed_before(failed: RunSpan, run: RunSpan) -> bool:
    """Return True if a run has failed, and that counts at the start of another one."""
    if not failed.counts_as_failed:
        return False
    if not run.allows_copies:
        return failed.ended_s <= run.began_s
    known_s = failed.acknowledged_s
    return known_s is not None and run.ordered_s > known_s + NOTICE_S


def group_by(
    spans: list[RunSpan], key: Callable[[RunSpan], str]
) -> dict[str, list[RunSpan]]:
    """Return the spans by a key, in the order of their starts."""
    groups: dict[str, list[RunSpan]] = {}
    for span in sorted(spans, key=lambda span: span.began_s):
        groups.setdefault(key(span), []).append(span)
    return groups

"""Jobs, as submitted by callers and as stored."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import Epoch, JobId, QueueName, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.configuration import QueueSettings

__all__ = [
    "EndedJob",
    "InvalidWorkError",
    "JobRecord",
    "JobState",
    "StepSpec",
    "WorkSpec",
    "validate_work",
]

MAX_STEPS = 1_000
"""Maximum number of steps of a job; more are considered a mistake of the caller."""

MAX_TASKS = 100_000
"""Maximum number of tasks of a job, those of all its occurrences together."""


class InvalidWorkError(Exception):
    """The submitted work can't be run."""


class JobState(Enum):
    """The state of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return True if the state can't change any more."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of ``count`` identical tasks.

    ``after`` has the numbers of the earlier steps that must be done first. The tasks of
    a gang run only together. ``data_rack`` is the rack of the input data. Tasks with
    ``uses_leftover`` are best effort: they get the processor time that others leave
    unused. ``is_standing`` marks long-running tasks, which run until the job is
    cancelled; up to ``max_away`` of them may be unavailable at the same time.
    ``target_s`` is a latency target.
    """

    count: int = 1
    resources: Resources = Resources()
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_standing: bool = False
    image: str = ""
    target_s: float = 0.0
    uses_leftover: bool = False
    max_away: int = 0

    @property
    def allocation(self) -> Resources:
        """Return what a task takes of a worker's capacity.

        Best-effort tasks take no processors.
        """
        if self.uses_leftover:
            return Resources(0, self.resources.memory_mib, self.resources.accelerators)
        return self.resources


class WorkSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """The work of a job.

    With ``occurrences``, the steps run that many times, every ``interval_s`` from the
    Unix time ``first_due_s``.
    """

    payload: str = ""
    steps: tuple[StepSpec, ...] = ()
    occurrences: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job; ``accepted_s`` is Unix time.

    ``holder_token`` is the fencing token of the newest holder that the accepting member
    knew, which is never older than the holder that it notifies; 0 if it isn't stated.

    ``queue_settings`` are those at the acceptance. They apply while the configuration
    doesn't hold the queue: an accepted job runs even if its queue is removed.
    """

    id: JobId
    queue: QueueName
    team: TeamName
    work: WorkSpec
    accepted_s: float
    is_cancelled: bool = False
    holder_token: Epoch = Epoch(0)
    queue_settings: QueueSettings | None = None


class EndedJob(msgspec.Struct, frozen=True):
    """The stored record of a job that has ended.

    ``failure`` says why it has failed, unless a task has used up its attempts.
    ``was_submitted`` is False if the job was cancelled before its submission arrived;
    the record then keeps the submission from being stored.
    """

    state: JobState
    ended_s: float
    team: TeamName = TeamName("")
    failure: str = ""
    was_submitted: bool = True

    @property
    def shown_state(self) -> JobState | None:
        """Return the state shown to callers, or None if the job does not exist."""
        return self.state if self.was_submitted else None


def validate_work(work: WorkSpec) -> None:
    """Raise ``InvalidWorkError`` if the steps can't be run."""
    if not 1 <= len(work.steps) <= MAX_STEPS:
        raise InvalidWorkError("a job has between 1 and 1000 steps")
    tasks = sum(step.count for step in work.steps)
    if tasks * max(1, work.occurrences) > MAX_TASKS:
        raise InvalidWorkError("too many tasks")
    for number, step in enumerate(work.steps):
        if step.count < 1:
            raise InvalidWorkError(f"step {number} has no tasks")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise InvalidWorkError(
                f"step {number} waits for a step that is not earlier"
            )

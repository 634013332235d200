"""Runs and leases that count as ended without word from the worker, for the logs."""

from enum import Enum
from typing import NamedTuple

from gooseberrydeck_fleet.ids import TaskRef, WorkerId

__all__ = ["LossReason", "LostRun", "SilentWorker"]


class LossReason(Enum):
    """Why a run counts as ended although its worker did not report the end."""

    WORKER_GONE = "worker_gone"
    LEASE_LAPSED = "lease_lapsed"
    NEVER_STARTED = "never_started"
    NOT_LISTED = "not_listed"


class LostRun(NamedTuple):
    """A run that counts as ended although its worker did not report the end.

    The other fields are what was believed of its worker at ``lost_s``. ``born_ms`` is
    the process it was lost on, or 0 if none is known; ``last_reply_s`` is 0 if the
    worker has never replied. All times are in monotonic seconds.
    """

    task: TaskRef
    run: int
    worker: WorkerId
    reason: LossReason
    lost_s: float
    born_ms: int
    last_reply_s: float
    lease_expiry_s: float
    may_hold_longest_lease: bool
    is_restarting: bool
    has_unanswered_start: bool


class SilentWorker(NamedTuple):
    """A predecessor's worker that hasn't reported by the end of its leases.

    ``born_ms`` is the process that its entry names, or 0 if it names none. All times
    are in monotonic seconds; ``last_reply_s`` is 0 if the worker has never replied.
    """

    worker: WorkerId
    born_ms: int
    expired_s: float
    last_reply_s: float
    lease_expiry_s: float
    may_hold_longest_lease: bool
    late_starts: int

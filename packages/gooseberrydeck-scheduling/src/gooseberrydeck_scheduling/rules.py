"""Queue rules and scheduler settings."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import QueueName

__all__ = ["OrderPolicy", "QueueRules", "SchedulerSettings"]


class OrderPolicy(Enum):
    """How a queue orders its jobs; the values appear in the configuration."""

    DEADLINE = "deadline"
    BATCH = "batch"
    GANG = "gang"
    STANDING = "standing"


class QueueRules(msgspec.Struct, frozen=True):
    """The configuration of a queue that the scheduler needs."""

    name: QueueName
    policy: OrderPolicy
    priority: int = 0
    max_attempts: int = 3
    max_run_s: float = 86_400.0


class SchedulerSettings(msgspec.Struct, frozen=True):
    """Limits and intervals of a scheduler.

    A team below its fair share waits ``reclaim_after_s`` before it may preempt, and a
    job that does not fit waits ``reserve_after_s`` for a reservation. A reservation
    lasts at least ``reservation_s``; after it expires the job waits
    ``reservation_backoff_s``. Reserved resources may be used for backfill for at most
    ``lend_s``.

    A worker with ``slow_failures`` failures since its last success is limited to one
    task at a time, the first after ``slow_s``. A worker on which ``suspect_jobs`` jobs
    failed that succeed elsewhere is set aside for ``set_aside_s``. Both times double up
    to ``max_set_aside_s``.

    ``team_retry_share`` is the number of retries that each first attempt of a team
    permits, and ``team_retry_burst`` the maximum that accumulates.
    """

    decisions_per_tick: int = 512
    scan_per_team: int = 64
    grace_s: float = 0.8
    reserve_after_s: float = 60.0
    reservation_s: float = 120.0
    lend_s: float = 30.0
    reservation_backoff_s: float = 10.0
    max_reservations: int = 1
    max_victims: int = 4
    reclaim_after_s: float = 2.0
    reclaims_per_tick: int = 4
    size_check_s: float = 60.0
    max_gang_tasks: int = 512
    suspect_jobs: int = 3
    slow_failures: int = 3
    slow_s: float = 1.0
    set_aside_s: float = 30.0
    max_set_aside_s: float = 3_600.0
    retry_delay_s: float = 1.0
    max_retry_delay_s: float = 60.0
    team_retry_share: float = 0.2
    team_retry_burst: float = 50.0

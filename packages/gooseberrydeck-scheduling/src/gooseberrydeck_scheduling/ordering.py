"""Order in which waiting jobs are tried: by urgency, fair share and queue policy."""

import heapq
from collections import deque
from collections.abc import Iterator, Mapping
from enum import IntEnum

from sortedcontainers import SortedDict

from gooseberrydeck_coordination.ids import HostName, JobId, QueueName, TaskId, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.blocking import UnplaceableSize
from gooseberrydeck_scheduling.jobs import JobRecord
from gooseberrydeck_scheduling.learning import JobFamily, family_of
from gooseberrydeck_scheduling.rules import OrderPolicy, QueueRules

__all__ = ["Band", "FairShares", "TeamOrder", "TrackedJob", "WaitingJobs"]

DEFAULT_DEADLINE_S = 1.0
"""Deadline after submission of a job in a deadline queue that does not specify one."""

OrderKey = tuple[int, float, float, int]


class Band(IntEnum):
    """Urgent jobs of all teams precede all other jobs."""

    URGENT = 0
    NORMAL = 1


class TrackedJob:
    """A job that has not ended, with the state of its tasks.

    ``pending`` holds the indexes of tasks that wait to be started, ``unconfirmed``
    those that may be running on an unreachable worker, and ``unfinished`` counts the
    tasks without a final state.
    """

    __slots__ = (
        "band",
        "blocked_by",
        "excluded",
        "family",
        "is_cancelled",
        "is_ending",
        "key",
        "losses",
        "next_attempt_s",
        "next_reclaim_s",
        "pending",
        "pending_since_s",
        "priority",
        "record",
        "rules",
        "running",
        "size_checked_s",
        "spec",
        "unconfirmed",
        "unfinished",
        "unplaced_since_s",
    )

    def __init__(
        self, record: JobRecord, rules: QueueRules, sequence: int, now_s: float
    ) -> None:
        """Track a job; all tasks without a final state are pending."""
        self.record = record
        self.spec = record.spec
        self.rules = rules
        self.family: JobFamily = family_of(record.spec)
        self.priority = max(rules.priority, record.spec.priority)
        is_urgent = rules.policy is OrderPolicy.DEADLINE
        self.band = Band.URGENT if is_urgent else Band.NORMAL
        self.pending: deque[int] = deque(
            index for index, task in enumerate(record.tasks) if not task.state.is_final
        )
        self.unfinished = len(self.pending)
        self.running: dict[int, TaskId] = {}
        self.unconfirmed: set[int] = set()
        self.excluded: dict[int, frozenset[HostName]] = {}
        self.losses: dict[int, int] = {}
        self.is_cancelled = False
        self.is_ending = False
        self.blocked_by: UnplaceableSize | None = None
        self.next_attempt_s = 0.0
        self.next_reclaim_s = 0.0
        self.pending_since_s = now_s
        self.size_checked_s = now_s
        self.unplaced_since_s: float | None = None
        self.key = order_key(record, rules, self.priority, sequence)

    def is_blocked(self, now_s: float) -> bool:
        """Return whether the job need not be tried again yet.

        That is the case until the time of its next attempt, unless its size may fit
        again.
        """
        if now_s >= self.next_attempt_s:
            return False
        return self.blocked_by is None or self.blocked_by.is_active

    @property
    def id(self) -> JobId:
        """The id of the job."""
        return self.spec.id


def order_key(
    record: JobRecord, rules: QueueRules, priority: int, sequence: int
) -> OrderKey:
    """Return the sort key of a job within its queue; the lowest goes first."""
    spec = record.spec
    if rules.policy is OrderPolicy.DEADLINE:
        deadline_s = spec.deadline_s or record.submitted_s + DEFAULT_DEADLINE_S
        return (-priority, deadline_s, record.submitted_s, sequence)
    if rules.policy is OrderPolicy.BATCH:
        return (-priority, spec.plan_order, record.submitted_s, sequence)
    return (-priority, record.submitted_s, record.submitted_s, sequence)


class WaitingJobs:
    """Jobs with pending tasks by band, team and queue."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self.bands: dict[Band, dict[TeamName, dict[QueueName, SortedDict]]] = {
            band: {} for band in Band
        }
        self.count = 0

    def add(self, job: TrackedJob) -> None:
        """Add a job, unless it is already present."""
        team = self.bands[job.band].setdefault(job.spec.team, {})
        queue = team.setdefault(job.spec.queue, SortedDict())
        if job.key not in queue:
            queue[job.key] = job
            self.count += 1

    def discard(self, job: TrackedJob) -> None:
        """Remove a job, if present."""
        team = self.bands[job.band].get(job.spec.team, {})
        queue = team.get(job.spec.queue)
        if queue is None or queue.pop(job.key, None) is None:
            return
        self.count -= 1
        if not queue:
            del team[job.spec.queue]
        if not team:
            del self.bands[job.band][job.spec.team]

    def teams(self, band: Band) -> tuple[TeamName, ...]:
        """Return the teams with waiting jobs in a band."""
        return tuple(self.bands[band])

    def all_teams(self) -> set[TeamName]:
        """Return the teams with waiting jobs in any band."""
        return {team for teams in self.bands.values() for team in teams}

    def candidates(self, band: Band, team: TeamName) -> Iterator[TrackedJob]:
        """Iterate over the waiting jobs of a team in order.

        The collection must not change during the iteration.
        """
        queues = self.bands[band].get(team, {})
        if len(queues) == 1:
            return iter(next(iter(queues.values())).values())
        return heapq.merge(
            *(queue.values() for queue in queues.values()), key=cross_queue_key
        )


def cross_queue_key(job: TrackedJob) -> tuple[int, float]:
    """Return the sort key of a job among all queues of its team."""
    return (-job.priority, job.record.submitted_s)


class FairShares:
    """Weighted dominant resource fairness.

    A team's dominant share is the largest share of any one resource that it uses. Usage
    in other shards is included as last reported.
    """

    def __init__(self) -> None:
        """Create an instance with equal weights and no capacity."""
        self.weights: dict[TeamName, float] = {}
        self.used: dict[TeamName, Resources] = {}
        self.other_shards: dict[TeamName, Resources] = {}
        self.total = NO_RESOURCES
        self.dominant_shares: dict[TeamName, float] = {}
        """Cache of dominant shares, invalidated by changes in usage or capacity."""

    def set_weights(self, weights: Mapping[TeamName, float]) -> None:
        """Replace all weights; the default weight of a team is 1."""
        self.weights = dict(weights)

    def set_total(self, total: Resources) -> None:
        """Set the capacity of the cell over all shards."""
        self.total = total
        self.dominant_shares.clear()

    def set_other_shards(self, used: Mapping[TeamName, Resources]) -> None:
        """Replace the usage of teams in other shards."""
        self.other_shards = dict(used)
        self.dominant_shares.clear()

    def add(self, team: TeamName, amount: Resources) -> None:
        """Add the resources of a started task."""
        self.used[team] = self.used.get(team, NO_RESOURCES) + amount
        self.dominant_shares.pop(team, None)

    def subtract(self, team: TeamName, amount: Resources) -> None:
        """Subtract the resources of an ended task."""
        self.used[team] = self.used[team] - amount
        self.dominant_shares.pop(team, None)

    def dominant_share(self, team: TeamName) -> float:
        """Return a team's dominant share, from 0 to 1."""
        share = self.dominant_shares.get(team)
        if share is None:
            share = self.dominant_shares[team] = self.share_with(team, NO_RESOURCES)
        return share

    def share_with(self, team: TeamName, extra: Resources) -> float:
        """Return the dominant share of a team if it used ``extra`` more."""
        used = self.used.get(team, NO_RESOURCES) + extra
        other_shards = self.other_shards.get(team)
        if other_shards is not None:
            used = used + other_shards
        total = self.total
        return max(
            used.cpu_millis / (total.cpu_millis or 1),
            used.memory_mib / (total.memory_mib or 1),
            used.accelerators / (total.accelerators or 1),
        )

    def rank_with(self, team: TeamName, extra: Resources) -> float:
        """Return the rank of a team if it used ``extra`` more."""
        return self.share_with(team, extra) / self.weights.get(team, 1.0)

    def rank(self, team: TeamName) -> float:
        """Return the dominant share divided by the weight; the lowest goes first."""
        return self.dominant_share(team) / self.weights.get(team, 1.0)


class TeamOrder:
    """Select the next job to try, from the team with the lowest rank.

    After each job the caller reports the result: ``started`` updates the rank of the
    team and continues with the same job, ``skip`` continues with the next job of the
    team.
    """

    def __init__(
        self, shares: FairShares, waiting: WaitingJobs, band: Band, max_skipped: int
    ) -> None:
        """Skip at most ``max_skipped`` jobs of each team."""
        self.shares = shares
        self.max_skipped = max_skipped
        self.iterators = {
            team: waiting.candidates(band, team) for team in waiting.teams(band)
        }
        self.skipped = dict.fromkeys(self.iterators, 0)
        self.heap = [(shares.rank(team), team) for team in self.iterators]
        heapq.heapify(self.heap)
        self.current: dict[TeamName, TrackedJob] = {}

    def next(self) -> TrackedJob | None:
        """Return the next job to try, or None if no team has any left."""
        while self.heap:
            team = self.heap[0][1]
            job = self.current.get(team) or next(self.iterators[team], None)
            if job is not None and self.skipped[team] < self.max_skipped:
                self.current[team] = job
                return job
            heapq.heappop(self.heap)
        return None

    def started(self, job: TrackedJob) -> None:
        """Report that a task of the job was started."""
        team = job.spec.team
        heapq.heapreplace(self.heap, (self.shares.rank(team), team))
        if not job.pending:
            del self.current[team]

    def skip(self, job: TrackedJob) -> None:
        """Report that no task of the job could be started."""
        team = job.spec.team
        self.skipped[team] += 1
        del self.current[team]

    def drop_team(self, team: TeamName) -> None:
        """Skip the remaining jobs of the team that is first in order."""
        heapq.heappop(self.heap)
        self.current.pop(team, None)

"""Which team's job comes next."""

import heapq
from collections import deque
from collections.abc import Iterator, Mapping
from enum import IntEnum

from sortedcontainers import SortedDict

from gooseberrydeck_coordination.ids import HostName, JobId, QueueName, TaskId, TeamName
from gooseberrydeck_coordination.resources import NOTHING, Resources
from gooseberrydeck_scheduling.blocking import UnplaceableSize
from gooseberrydeck_scheduling.jobs import JobRecord
from gooseberrydeck_scheduling.learning import JobFamily, family_of
from gooseberrydeck_scheduling.rules import OrderPolicy, QueueRules

__all__ = ["Band", "FairShares", "TeamOrder", "TrackedJob", "WaitingJobs"]

DEFAULT_DEADLINE_S = 1.0
"""How long a job of a deadline queue may wait if it names no deadline."""

OrderKey = tuple[int, float, float, int]


class Band(IntEnum):
    """Urgent work of every team goes before the other work of any."""

    URGENT = 0
    NORMAL = 1


class TrackedJob:
    """A job that has not ended, and where its tasks stand."""

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
        """Track a record; its unfinished tasks are pending."""
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
        """Tell whether nothing has changed that could let a task start."""
        if now_s >= self.next_attempt_s:
            return False
        return self.blocked_by is None or self.blocked_by.is_active

    @property
    def id(self) -> JobId:
        """Return the job's id."""
        return self.spec.id


def order_key(
    record: JobRecord, rules: QueueRules, priority: int, sequence: int
) -> OrderKey:
    """Return a job's place within its queue; the lowest key goes first."""
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
        """Begin without jobs."""
        self.bands: dict[Band, dict[TeamName, dict[QueueName, SortedDict]]] = {
            band: {} for band in Band
        }
        self.count = 0

    def add(self, job: TrackedJob) -> None:
        """Let a job wait; adding it twice has no effect."""
        team = self.bands[job.band].setdefault(job.spec.team, {})
        queue = team.setdefault(job.spec.queue, SortedDict())
        if job.key not in queue:
            queue[job.key] = job
            self.count += 1

    def discard(self, job: TrackedJob) -> None:
        """Take a job out, if it waits."""
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
        """Iterate over a team's jobs in order; nothing may be added meanwhile."""
        queues = self.bands[band].get(team, {})
        if len(queues) == 1:
            return iter(next(iter(queues.values())).values())
        return heapq.merge(
            *(queue.values() for queue in queues.values()), key=cross_queue_key
        )


def cross_queue_key(job: TrackedJob) -> tuple[int, float]:
    """Return what orders the jobs of different queues of one team."""
    return (-job.priority, job.record.submitted_s)


class FairShares:
    """Weighted dominant shares of the cell's resources.

    A team's dominant share is the largest share that it uses of any resource. What
    it uses in other shards is told from time to time.
    """

    def __init__(self) -> None:
        """Begin with equal weights and an empty cell."""
        self.weights: dict[TeamName, float] = {}
        self.used: dict[TeamName, Resources] = {}
        self.other_shards: dict[TeamName, Resources] = {}
        self.total = NOTHING
        self.known: dict[TeamName, float] = {}
        """The dominant shares that have been worked out and still hold."""

    def set_weights(self, weights: Mapping[TeamName, float]) -> None:
        """Replace every weight; a team without one counts one."""
        self.weights = dict(weights)

    def set_total(self, total: Resources) -> None:
        """Replace the capacity of the whole cell."""
        self.total = total
        self.known.clear()

    def set_other_shards(self, used: Mapping[TeamName, Resources]) -> None:
        """Replace what teams use in other shards."""
        self.other_shards = dict(used)
        self.known.clear()

    def add(self, team: TeamName, amount: Resources) -> None:
        """Count a task that starts."""
        self.used[team] = self.used.get(team, NOTHING) + amount
        self.known.pop(team, None)

    def subtract(self, team: TeamName, amount: Resources) -> None:
        """Count a task that ended."""
        self.used[team] = self.used[team] - amount
        self.known.pop(team, None)

    def dominant(self, team: TeamName) -> float:
        """Return a team's largest share of any resource, from 0 to 1."""
        known = self.known.get(team)
        if known is None:
            known = self.known[team] = self.share_with(team, NOTHING)
        return known

    def share_with(self, team: TeamName, extra: Resources) -> float:
        """Return the dominant share of a team that uses ``extra`` more."""
        used = self.used.get(team, NOTHING) + extra
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
        """Return the rank that a team would have if it used ``extra`` more."""
        return self.share_with(team, extra) / self.weights.get(team, 1.0)

    def rank(self, team: TeamName) -> float:
        """Return the dominant share by weight; the lowest goes first."""
        return self.dominant(team) / self.weights.get(team, 1.0)


class TeamOrder:
    """Yield jobs to try, from the team with the lowest rank first.

    After each job the caller says whether a task was started: then the team's rank
    has changed and the same job may go on; else the team's next job follows.
    """

    def __init__(
        self, shares: FairShares, waiting: WaitingJobs, band: Band, max_skipped: int
    ) -> None:
        """Look at no more than ``max_skipped`` jobs of a team that do not start."""
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
        """Return the next job to try, or None when every team is through."""
        while self.heap:
            team = self.heap[0][1]
            job = self.current.get(team) or next(self.iterators[team], None)
            if job is not None and self.skipped[team] < self.max_skipped:
                self.current[team] = job
                return job
            heapq.heappop(self.heap)
        return None

    def started(self, job: TrackedJob) -> None:
        """Go on with the team's new rank."""
        team = job.spec.team
        heapq.heapreplace(self.heap, (self.shares.rank(team), team))
        if not job.pending:
            del self.current[team]

    def skip(self, job: TrackedJob) -> None:
        """Go on with the team's next job."""
        team = job.spec.team
        self.skipped[team] += 1
        del self.current[team]

    def drop_team(self, team: TeamName) -> None:
        """Leave a team out from here on."""
        heapq.heappop(self.heap)
        self.current.pop(team, None)

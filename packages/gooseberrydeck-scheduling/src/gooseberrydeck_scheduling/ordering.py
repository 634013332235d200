"""Which team's job comes next."""

import heapq
from collections import deque
from collections.abc import Iterator, Mapping
from enum import IntEnum

from sortedcontainers import SortedDict

from gooseberrydeck_coordination.ids import HostName, JobId, QueueName, TaskId, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.blocking import Blocker
from gooseberrydeck_scheduling.jobs import JobRecord
from gooseberrydeck_scheduling.learning import Family, family_of
from gooseberrydeck_scheduling.rules import OrderPolicy, QueueRules

__all__ = ["Band", "FairShares", "TeamOrder", "TrackedJob", "WaitingJobs"]

IMPLIED_WAIT_S = 1.0
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
        "blocker",
        "doubtful",
        "excluded",
        "family",
        "is_cancelled",
        "is_ending",
        "key",
        "left",
        "look_s",
        "lost",
        "pending",
        "priority",
        "reclaim_s",
        "record",
        "rules",
        "running",
        "since_s",
        "size_checked_s",
        "spec",
        "unfit_since_s",
    )

    def __init__(
        self, record: JobRecord, rules: QueueRules, sequence: int, now_s: float
    ) -> None:
        """Track a record; its unfinished tasks are pending."""
        self.record = record
        self.spec = record.spec
        self.rules = rules
        self.family: Family = family_of(record.spec)
        self.priority = max(rules.priority, record.spec.priority)
        is_urgent = rules.policy is OrderPolicy.DEADLINE
        self.band = Band.URGENT if is_urgent else Band.NORMAL
        self.pending: deque[int] = deque(
            index for index, task in enumerate(record.tasks) if not task.state.is_final
        )
        self.left = len(self.pending)
        self.running: dict[int, TaskId] = {}
        self.doubtful: set[int] = set()
        self.excluded: dict[int, frozenset[HostName]] = {}
        self.lost: dict[int, int] = {}
        self.is_cancelled = False
        self.is_ending = False
        self.blocker: Blocker | None = None
        self.look_s = 0.0
        self.reclaim_s = 0.0
        self.since_s = now_s
        self.size_checked_s = now_s
        self.unfit_since_s: float | None = None
        self.key = order_key(record, rules, self.priority, sequence)

    def is_blocked(self, now_s: float) -> bool:
        """Tell whether nothing has changed that could let a task start."""
        if now_s >= self.look_s:
            return False
        return self.blocker is None or self.blocker.is_live

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
        deadline_s = spec.deadline_s or record.submitted_s + IMPLIED_WAIT_S
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
            *(queue.values() for queue in queues.values()), key=seniority
        )


def seniority(job: TrackedJob) -> tuple[int, float]:
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
        self.elsewhere: dict[TeamName, Resources] = {}
        self.total = NO_RESOURCES
        self.known: dict[TeamName, float] = {}
        """The dominant shares that have been worked out and still hold."""

    def set_weights(self, weights: Mapping[TeamName, float]) -> None:
        """Replace every weight; a team without one counts one."""
        self.weights = dict(weights)

    def set_total(self, total: Resources) -> None:
        """Replace the capacity of the whole cell."""
        self.total = total
        self.known.clear()

    def set_elsewhere(self, used: Mapping[TeamName, Resources]) -> None:
        """Replace what teams use in other shards."""
        self.elsewhere = dict(used)
        self.known.clear()

    def add(self, team: TeamName, amount: Resources) -> None:
        """Count a task that starts."""
        self.used[team] = self.used.get(team, NO_RESOURCES) + amount
        self.known.pop(team, None)

    def subtract(self, team: TeamName, amount: Resources) -> None:
        """Count a task that ended."""
        self.used[team] = self.used[team] - amount
        self.known.pop(team, None)

    def dominant(self, team: TeamName) -> float:
        """Return a team's largest share of any resource, from 0 to 1."""
        known = self.known.get(team)
        if known is None:
            known = self.known[team] = self.share_with(team, NO_RESOURCES)
        return known

    def share_with(self, team: TeamName, extra: Resources) -> float:
        """Return the dominant share of a team that uses ``extra`` more."""
        used = self.used.get(team, NO_RESOURCES) + extra
        elsewhere = self.elsewhere.get(team)
        if elsewhere is not None:
            used = used + elsewhere
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
        self, shares: FairShares, waiting: WaitingJobs, band: Band, scan: int
    ) -> None:
        """Look at no more than ``scan`` jobs of a team that do not start."""
        self.shares = shares
        self.scan = scan
        self.iterators = {
            team: waiting.candidates(band, team) for team in waiting.teams(band)
        }
        self.misses = dict.fromkeys(self.iterators, 0)
        self.heap = [(shares.rank(team), team) for team in self.iterators]
        heapq.heapify(self.heap)
        self.current: dict[TeamName, TrackedJob] = {}

    def next(self) -> TrackedJob | None:
        """Return the next job to try, or None when every team is through."""
        while self.heap:
            team = self.heap[0][1]
            job = self.current.get(team) or next(self.iterators[team], None)
            if job is not None and self.misses[team] < self.scan:
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

    def missed(self, job: TrackedJob) -> None:
        """Go on with the team's next job."""
        team = job.spec.team
        self.misses[team] += 1
        del self.current[team]

    def drop(self, team: TeamName) -> None:
        """Leave a team out from here on."""
        heapq.heappop(self.heap)
        self.current.pop(team, None)

"""Simulation of a workload on a scheduler."""

import heapq
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from gooseberrydeck_coordination.ids import HostName, JobId, TaskId, TeamName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling import (
    EndKind,
    JobRefusedError,
    Preempt,
    Scheduler,
    Start,
    Stop,
    TaskEnd,
    new_record,
)
from gooseberrydeck_scheduling.reservations import count_fitting, multiply
from placement_inputs import Arrival, JobClass, Workload

__all__ = ["Measurements", "Run"]

TICK_S = 0.05
SAMPLE_S = 2.0
WARM_UP_S = 60.0
FAULTY_WORKER_RUN_S = 0.5
GANG_TASK = Resources(4_000, 8_192, 0)


@dataclass
class Measurements:
    """Measurements of one simulation."""

    waits: dict[JobClass, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    unstarted: Counter[JobClass] = field(default_factory=Counter)
    used: list[tuple[float, float, float]] = field(default_factory=list)
    gang_slots: list[int] = field(default_factory=list)
    shortfalls: dict[TeamName, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    ends: Counter[str] = field(default_factory=Counter)
    tick_s: list[float] = field(default_factory=list)
    decision_s: list[float] = field(default_factory=list)
    scheduler_s: float = 0.0
    decisions: int = 0
    starts: int = 0
    preemptions: int = 0
    faulty_worker_starts: int = 0
    peak_running: int = 0


class Run:
    """Simulation of one workload on one scheduler."""

    def __init__(self, workload: Workload, scheduler: Scheduler, seed: int) -> None:
        """Add the workers; no job has arrived yet."""
        self.workload = workload
        self.scheduler = scheduler
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.measurements = Measurements()
        self.jobs: dict[JobId, Arrival] = {}
        self.started_jobs: set[JobId] = set()
        self.waiting_tasks: Counter[JobId] = Counter()
        self.ends: list[tuple[float, int, TaskEnd]] = []
        self.host_of: dict[TaskId, HostName] = {}
        self.started_s: dict[TaskId, float] = {}
        self.checkpointed_s: Counter[str] = Counter()
        """Run time preserved by checkpoints, by job id and task index."""
        self.sequence = 0
        for worker in workload.workers:
            scheduler.worker_added(worker, 0.0)

    def run(self) -> Measurements:
        """Run the simulation and return the measurements."""
        arrivals = iter(self.workload.arrivals)
        arrival = next(arrivals, None)
        next_sample_s = WARM_UP_S
        while self.now_s < self.workload.shape.seconds:
            self.now_s += TICK_S
            self.end_tasks()
            while arrival is not None and arrival.at_s <= self.now_s:
                self.submit(arrival)
                arrival = next(arrivals, None)
            self.tick()
            if self.now_s >= next_sample_s:
                next_sample_s += SAMPLE_S
                self.sample()
        self.count_waiting()
        return self.measurements

    def submit(self, arrival: Arrival) -> None:
        """Submit one job."""
        record = new_record(arrival.spec, arrival.at_s)
        self.jobs[arrival.spec.id] = arrival
        started = time.perf_counter()
        try:
            self.scheduler.submit(record, self.now_s)
        except JobRefusedError:
            self.measurements.ends["refused"] += 1
            del self.jobs[arrival.spec.id]
        self.measurements.scheduler_s += time.perf_counter() - started

    def end_tasks(self) -> None:
        """Report the tasks that have ended by now."""
        while self.ends and self.ends[0][0] <= self.now_s:
            _, _, end = heapq.heappop(self.ends)
            if end.task not in self.host_of:
                continue
            del self.host_of[end.task]
            run_s = self.now_s - self.started_s.pop(end.task)
            if end.kind is EndKind.CHECKPOINTED:
                self.checkpointed_s[end.task.rsplit("/", 1)[0]] += run_s
            self.measurements.ends[end.kind.value] += 1
            started = time.perf_counter()
            self.scheduler.task_ended(end, self.now_s)
            self.measurements.scheduler_s += time.perf_counter() - started

    def tick(self) -> None:
        """Run a tick of the scheduler and apply its decisions."""
        started = time.perf_counter()
        decisions = self.scheduler.tick(self.now_s)
        spent_s = time.perf_counter() - started
        measurements = self.measurements
        measurements.scheduler_s += spent_s
        measurements.tick_s.append(spent_s)
        measurements.decisions += len(decisions)
        if decisions:
            each_s = spent_s / len(decisions)
            measurements.decision_s.extend([each_s] * len(decisions))
        for decision in decisions:
            if isinstance(decision, Start):
                self.start(decision)
            elif isinstance(decision, Preempt):
                measurements.preemptions += 1
                delay_s = self.rng.uniform(0.1, 0.6)
                self.schedule_end(decision.task, EndKind.CHECKPOINTED, delay_s, 0.0)
            elif isinstance(decision, Stop):
                self.schedule_end(decision.task, EndKind.STOPPED, 0.05, 0.0)
        measurements.peak_running = max(measurements.peak_running, len(self.host_of))

    def start(self, start: Start) -> None:
        """Simulate a task, which runs for its actual time or fails."""
        arrival = self.jobs[start.job]
        self.measurements.starts += 1
        self.host_of[start.task] = start.host
        self.started_s[start.task] = self.now_s
        if start.job not in self.started_jobs:
            self.started_jobs.add(start.job)
            wait_s = self.now_s - arrival.at_s
            self.measurements.waits[arrival.job_class].append(wait_s)
        if start.host in self.workload.faulty:
            self.measurements.faulty_worker_starts += 1
            self.schedule_end(start.task, EndKind.FAILED, FAULTY_WORKER_RUN_S, 0.5)
        elif arrival.fails_everywhere:
            self.schedule_end(start.task, EndKind.FAILED, 1.0, 1.0)
        elif arrival.job_class is not JobClass.STANDING:
            run_s = arrival.true_run_s * self.rng.uniform(0.8, 1.2)
            run_s = max(0.1, run_s - self.checkpointed_s[start.task.rsplit("/", 1)[0]])
            self.schedule_end(start.task, EndKind.SUCCEEDED, run_s, run_s)
        self.scheduler.usage_reported(start.task, arrival.true_resources)

    def schedule_end(
        self, task: TaskId, kind: EndKind, delay_s: float, run_s: float
    ) -> None:
        """Schedule the end of a task; ignored if the task ends earlier."""
        self.sequence += 1
        end = TaskEnd(task, kind, run_s)
        heapq.heappush(self.ends, (self.now_s + delay_s, self.sequence, end))

    def sample(self) -> None:
        """Sample packing and shares while jobs are waiting."""
        state = self.scheduler.state
        if not self.scheduler.has_waiting:
            return
        healthy = [w for w in state.cell if w.host not in self.workload.faulty]
        capacity = sum((worker.info.capacity for worker in healthy), Resources())
        tasks = (task for worker in healthy for task in worker.tasks.values())
        used = sum((task.resources for task in tasks), Resources())
        self.measurements.used.append(
            (
                used.cpu_millis / capacity.cpu_millis,
                used.memory_mib / capacity.memory_mib,
                used.accelerators / max(1, capacity.accelerators),
            )
        )
        self.measurements.gang_slots.append(
            sum(count_fitting(worker.free, GANG_TASK) for worker in state.cell)
        )
        self.sample_shares(capacity)

    def sample_shares(self, capacity: Resources) -> None:
        """Compare each team's dominant share with its weighted max-min fair share.

        A team has a shortfall if its smallest waiting unit, a task or a whole gang,
        would still be within its fair share.
        """
        used: dict[TeamName, Resources] = defaultdict(Resources)
        wanted: dict[TeamName, Resources] = defaultdict(Resources)
        state = self.scheduler.state
        for running in state.cell.tasks.values():
            team = self.jobs[running.job].spec.labels.get("team", running.team)
            used[TeamName(team)] += running.resources
        for job in state.jobs.values():
            spec = job.spec
            team = TeamName(spec.labels.get("team", spec.team))
            wanted[team] += multiply(spec.resources, len(job.pending))
        shares = {
            team: dominant_share(used[team], capacity) for team in self.workload.weights
        }
        demands = {
            team: dominant_share(used[team] + wanted[team], capacity)
            for team in self.workload.weights
        }
        fair = water_fill(demands, self.workload.weights, sum(shares.values()))
        for team, unit in self.smallest_units().items():
            share_with_next = dominant_share(used[team] + unit, capacity)
            short = (fair[team] - shares[team]) / max(fair[team], 1e-9)
            is_short = (
                demands[team] > fair[team] * 1.05 and share_with_next <= fair[team]
            )
            self.measurements.shortfalls[team].append(short if is_short else 0.0)

    def smallest_units(self) -> dict[TeamName, Resources]:
        """Return the smallest startable unit of each team with waiting jobs."""
        units: dict[TeamName, Resources] = {}
        for job in self.scheduler.state.jobs.values():
            if not job.pending:
                continue
            spec = job.spec
            team = TeamName(spec.labels.get("team", spec.team))
            unit = multiply(spec.resources, len(job.pending) if spec.is_gang else 1)
            if team not in units or unit.cpu_millis < units[team].cpu_millis:
                units[team] = unit
        return units

    def count_waiting(self) -> None:
        """Count the jobs that never started and record their wait times so far."""
        for job_id, arrival in self.jobs.items():
            if job_id not in self.started_jobs:
                wait_s = self.now_s - arrival.at_s
                self.measurements.unstarted[arrival.job_class] += 1
                self.measurements.waits[arrival.job_class].append(wait_s)


def dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the largest share of any resource."""
    return max(
        used.cpu_millis / capacity.cpu_millis,
        used.memory_mib / capacity.memory_mib,
        used.accelerators / max(1, capacity.accelerators),
    )


def water_fill(
    demands: dict[TeamName, float], weights: dict[TeamName, float], total: float
) -> dict[TeamName, float]:
    """Return the weighted max-min fair allocation of ``total``."""
    fair = dict.fromkeys(demands, 0.0)
    open_teams = {team for team, demand in demands.items() if demand > 0}
    left = total
    while open_teams and left > 1e-9:
        level = left / sum(weights[team] for team in open_teams)
        full = {
            team
            for team in open_teams
            if demands[team] - fair[team] <= level * weights[team]
        }
        if not full:
            for team in open_teams:
                fair[team] += level * weights[team]
            return fair
        for team in full:
            left -= demands[team] - fair[team]
            fair[team] = demands[team]
        open_teams -= full
    return fair

"""Seeded workloads for placement: workers, teams, and jobs with their actual sizes."""

import math
import random
from dataclasses import dataclass, field
from enum import Enum

from gooseberrydeck_coordination.ids import (
    DataCentre,
    HostName,
    JobId,
    QueueName,
    Rack,
    TeamName,
)
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_scheduling import JobSpec, OrderPolicy, QueueRules, WorkerInfo

__all__ = ["Arrival", "JobClass", "Shape", "Workload", "make_workload"]

URGENT = QueueName("urgent")
PLANS = QueueName("plans")
GANGS = QueueName("gangs")
WATCHERS = QueueName("watchers")

QUEUES = (
    QueueRules(URGENT, OrderPolicy.DEADLINE),
    QueueRules(PLANS, OrderPolicy.BATCH),
    QueueRules(GANGS, OrderPolicy.GANG),
    QueueRules(WATCHERS, OrderPolicy.STANDING),
)

MAX_ERROR_FACTOR = 5.0
"""Declared sizes and run times differ from the actual ones by up to this factor."""


class JobClass(Enum):
    """Class of a job, by which wait times are reported."""

    URGENT = "urgent"
    BATCH = "batch"
    GANG = "gang"
    ACCELERATOR = "accelerator"
    STANDING = "standing"


@dataclass(frozen=True)
class Shape:
    """Parameters of a workload.

    ``load`` is the ratio of offered work to capacity, and ``faulty_share`` the share of
    workers on which all tasks fail.
    """

    name: str
    workers: int
    cores: tuple[int, ...]
    memory_gib_per_core: int
    per_rack: int
    centres: tuple[str, ...]
    accelerator_workers: int
    accelerators_each: int
    teams: int
    standing_tasks: int
    mean_task_cores: float
    mean_run_s: float
    urgent_per_s: float
    seconds: float
    load: float = 1.4
    faulty_share: float = 0.02


@dataclass(frozen=True)
class Arrival:
    """A job with its arrival time and its actual behaviour."""

    at_s: float
    spec: JobSpec
    job_class: JobClass
    true_run_s: float
    true_resources: Resources
    fails_everywhere: bool = False


@dataclass
class Workload:
    """Workers, teams and arriving jobs generated from one seed."""

    shape: Shape
    workers: list[WorkerInfo]
    faulty: set[HostName]
    weights: dict[TeamName, float]
    limits: dict[TeamName, int]
    arrivals: list[Arrival] = field(default_factory=list)


SHAPES = {
    "verificaciones": Shape(
        "verificaciones", 24, (32,), 2, 8, ("lima-1", "lima-2", "lima-3"),
        4, 4, 6, 24, 4.0, 25.0, 3.0, 300.0,
    ),
    "consorzio": Shape(
        "consorzio", 24, (64,), 2, 6, ("milano", "torino", "padova", "bologna"),
        4, 4, 6, 24, 6.0, 25.0, 3.0, 300.0,
    ),
    "growth": Shape(
        "growth", 1_300, (32, 64), 2, 20, ("dc-1", "dc-2", "dc-3", "dc-4"),
        175, 8, 57, 1_420, 10.0, 45.0, 20.0, 150.0,
    ),
}  # fmt: skip


def make_workload(shape: Shape, seed: int) -> Workload:
    """Generate the workload of a shape; deterministic for a seed."""
    rng = random.Random(seed)
    workers = [make_worker(shape, number) for number in range(shape.workers)]
    faulty_count = max(1, round(shape.faulty_share * shape.workers))
    faulty = {worker.host for worker in rng.sample(workers, faulty_count)}
    teams = [TeamName(f"team-{number:02}") for number in range(shape.teams)]
    weights = {team: 4.0 / (1 + number % 6) for number, team in enumerate(teams)}
    workload = Workload(shape, workers, faulty, weights, dict.fromkeys(teams, 100_000))
    workload.arrivals.extend(make_standing(shape, teams, rng))
    workload.arrivals.extend(make_work(workload, teams, rng))
    workload.arrivals.extend(make_urgent(shape, teams, rng))
    workload.arrivals.sort(key=lambda arrival: arrival.at_s)
    return workload


def make_worker(shape: Shape, number: int) -> WorkerInfo:
    """Return one worker; the first ones have accelerators."""
    cores = shape.cores[number % len(shape.cores)]
    rack = number // shape.per_rack
    has_accelerators = number < shape.accelerator_workers
    return WorkerInfo(
        HostName(f"worker-{number:04}"),
        Resources(
            cores * 1_000,
            cores * shape.memory_gib_per_core * 1_024,
            shape.accelerators_each if has_accelerators else 0,
        ),
        Rack(f"rack-{rack:03}"),
        DataCentre(shape.centres[rack % len(shape.centres)]),
    )


def error_factor(rng: random.Random) -> float:
    """Return a random factor that is log-uniform within ``MAX_ERROR_FACTOR``."""
    return math.exp(rng.uniform(-1.0, 1.0) * math.log(MAX_ERROR_FACTOR))


def declared_resources(
    true: Resources, rng: random.Random, most: Resources
) -> Resources:
    """Return the inaccurate resources that a submitter declares."""
    return Resources(
        max(250, min(most.cpu_millis, round(true.cpu_millis * error_factor(rng)))),
        max(128, min(most.memory_mib, round(true.memory_mib * error_factor(rng)))),
        true.accelerators,
    )


def largest_task(shape: Shape) -> Resources:
    """Return the maximum declared size: three quarters of the smallest host."""
    cores = min(shape.cores)
    return Resources(cores * 750, cores * shape.memory_gib_per_core * 768, 8)


def make_standing(
    shape: Shape, teams: list[TeamName], rng: random.Random
) -> list[Arrival]:
    """Return the standing jobs, all of which arrive at the beginning."""
    replicas = 4
    resources = Resources(1_000, 2_048, 0)
    return [
        Arrival(
            0.0,
            JobSpec(
                JobId(f"watcher-{number}"), rng.choice(teams), WATCHERS, replicas,
                resources, is_standing=True,
            ),
            JobClass.STANDING, math.inf, resources,
        )
        for number in range(shape.standing_tasks // replicas)
    ]  # fmt: skip


def make_work(
    workload: Workload, teams: list[TeamName], rng: random.Random
) -> list[Arrival]:
    """Return batch, gang and accelerator jobs up to the offered load.

    A fifth of the jobs arrives at the beginning. Demand of teams is independent of
    their weights.
    """
    shape = workload.shape
    cores = sum(worker.capacity.cpu_millis for worker in workload.workers) / 1_000
    wanted = cores * shape.seconds * shape.load
    demand = {team: rng.uniform(0.6, 1.6) for team in teams}
    arrivals: list[Arrival] = []
    offered = 0.0
    number = 0
    while offered < wanted:
        number += 1
        team = rng.choices(teams, [demand[team] for team in teams])[0]
        arrival = make_job(shape, team, number, rng)
        arrivals.append(arrival)
        spec = arrival.spec
        offered += spec.tasks * spec.resources.cpu_millis * arrival.true_run_s / 1_000
    return arrivals


def make_job(shape: Shape, team: TeamName, number: int, rng: random.Random) -> Arrival:
    """Return one job that is not urgent."""
    at_s = 0.0 if rng.random() < 0.2 else rng.uniform(0.0, shape.seconds)
    run_s = min(rng.lognormvariate(0.0, 0.8) * shape.mean_run_s * 0.72, 600.0)
    cores = rng.choice((0.25, 0.5, 0.5, 1.0, 1.0, 2.0)) * shape.mean_task_cores
    memory = cores * shape.memory_gib_per_core * rng.uniform(0.4, 1.4) * 1_024
    kind = rng.random()
    job_class = JobClass.BATCH
    accelerators = 0
    tasks = rng.randint(1, 12)
    if kind < 0.06:
        job_class = JobClass.GANG
        tasks = rng.choice((4, 8, 16))
        cores = shape.mean_task_cores
        memory = cores * shape.memory_gib_per_core * 1_024
    elif kind < 0.18:
        job_class = JobClass.ACCELERATOR
        accelerators = rng.choice((1, 1, 2, 4))
        tasks = rng.randint(1, 8)
        cores = 2.0 * accelerators
        memory = cores * 2_048
    true = Resources(round(cores * 1_000), round(memory), accelerators)
    spec = JobSpec(
        JobId(f"job-{number}"), team,
        GANGS if job_class is JobClass.GANG else PLANS,
        tasks, declared_resources(true, rng, largest_task(shape)),
        is_gang=job_class is JobClass.GANG,
        max_run_s=run_s * rng.uniform(1.2, MAX_ERROR_FACTOR),
        plan_order=0,
        labels={"kind": f"{job_class.value}-{round(math.log2(run_s))}"},
    )  # fmt: skip
    return Arrival(at_s, spec, job_class, run_s, true, rng.random() < 0.005)


def make_urgent(
    shape: Shape, teams: list[TeamName], rng: random.Random
) -> list[Arrival]:
    """Return urgent jobs as a Poisson process."""
    arrivals: list[Arrival] = []
    at_s = 5.0
    while at_s < shape.seconds:
        at_s += rng.expovariate(shape.urgent_per_s)
        run_s = rng.uniform(0.5, 4.0)
        true = Resources(rng.choice((1_000, 2_000, 4_000)), 2_048, 0)
        spec = JobSpec(
            JobId(f"urgent-{len(arrivals)}"), rng.choice(teams), URGENT, 1,
            declared_resources(true, rng, largest_task(shape)),
            max_run_s=run_s * rng.uniform(1.2, MAX_ERROR_FACTOR),
        )  # fmt: skip
        arrivals.append(Arrival(at_s, spec, JobClass.URGENT, run_s, true))
    return arrivals

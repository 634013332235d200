"""Measure the duration of one scheduling decision on a full fleet.

Every worker is full, and jobs of 16 tasks wait for room. Before each decision a few
runs end, as between two polls. One row is printed for each number of workers and of
waiting jobs::

    python bench/decision_cost.py
    python bench/decision_cost.py --advice
    python bench/decision_cost.py --teams 20

With ``--teams``, all teams have a weight far below what they submit, so that the order
of jobs beyond their team's share counts.
"""

import random
import statistics
import time
from typing import Annotated

import typer

from gooseberrydeck_coordination.ids import (
    DataCentre,
    JobId,
    QueueName,
    Rack,
    ServiceName,
    TeamName,
)
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_fleet.advice import Advice
from gooseberrydeck_fleet.commands import AskAdvice, StartRun
from gooseberrydeck_fleet.configuration import (
    AdvicePolicy,
    FleetConfiguration,
    Queue,
    Team,
)
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_fleet.state import Run, Worker
from gooseberrydeck_fleet.work import JobRecord, StepSpec, WorkSpec
from gooseberrydeck_fleet.worker_calls import (
    EndKind,
    EndReport,
    PollReply,
    RunReport,
    StartOutcome,
)
from gooseberrydeck_platform.http import HttpAddress

SERVICE = ServiceName("desk")
TEAM_WEIGHT = 1.0
CAPACITY = Resources(32_000, 131_072, 0)
TASKS = 16
WARM_UP_PASSES = 40
PASSES = 300
ENDS_PER_PASS = 3
PASS_INTERVAL_S = 0.01
URGENT_SHARE = 0.7
ALLOWED_SHARE = 0.35
MAX_ADVICE_REQUESTS = 50
ADVICE = AdvicePolicy(decide_s=0.05, per_worker_s=0.0005, valid_s=2.5)


class LoadedFleet:
    """A scheduler with full workers and waiting jobs."""

    def __init__(self, workers: int, jobs: int, has_advice: bool, teams: int) -> None:
        """Create the fleet; all workers have reported.

        With ``teams``, that many have a weight; otherwise, there is one without.
        """
        self.random = random.Random(1)
        self.now_s = 100.0
        self.scheduler = Scheduler(1, Timing())
        advice = ADVICE if has_advice else None
        queues = tuple(
            Queue(
                QueueName(name),
                name,
                "/",
                SERVICE,
                1.0,
                2.0,
                priority,
                3,
                advice,
                False,
            )
            for name, priority in (("urgent", 0), ("batch", 2))
        )
        weight = TEAM_WEIGHT if teams else 0.0
        self.teams = [TeamName(f"team{number}") for number in range(max(1, teams))]
        configured = tuple(
            Team(name, frozenset(), weight, NO_RESOURCES) for name in self.teams
        )
        self.scheduler.set_configuration(FleetConfiguration(1, queues, configured))
        self.scheduler.set_max_advice_requests(MAX_ADVICE_REQUESTS)
        self.submitted = 0
        self.waiting_jobs = jobs
        for number in range(workers):
            self.add_worker(number)
        entries = self.scheduler.changes.workers_to_record()
        self.scheduler.changes.workers_recorded(entries or ())
        for worker in list(self.scheduler.ledger.workers.values()):
            self.poll(worker, [])

    def add_worker(self, number: int) -> None:
        """Register a worker."""
        entry = Registration(
            WorkerId(f"w{number}"),
            SERVICE,
            HttpAddress("127.0.0.1", 1),
            DataCentre("centre"),
            Rack(f"r{number // 12}"),
            frozenset({"a"}),
            "a",
            CAPACITY,
            False,
            None,
        )
        self.scheduler.worker_registered(entry, self.now_s)

    def submit(self) -> None:
        """Submit a job of one step."""
        name = "urgent" if self.random.random() < URGENT_SHARE else "batch"
        cpu = self.random.randrange(4_000, 10_000)
        step = StepSpec(
            TASKS, Resources(cpu, 2 * cpu, 0), 1.0, saves_progress=name == "batch"
        )
        self.submitted += 1
        record = JobRecord(
            JobId(f"j{self.submitted:05}"),
            QueueName(name),
            self.teams[self.submitted % len(self.teams)],
            WorkSpec(steps=(step,)),
            self.now_s,
        )
        self.scheduler.accept(record, 1)

    def poll(self, worker: Worker, ended: list[Run]) -> None:
        """Report the state of a worker after some of its runs have ended."""
        first = worker.last_end_number + 1
        ends = tuple(
            EndReport(first + index, run.task.ref, run.number, EndKind.SUCCEEDED, "")
            for index, run in enumerate(ended)
        )
        runs = tuple(
            RunReport(run.task.ref, run.number, "", 50.0)
            for run in worker.runs.values()
            if run not in ended
        )
        reply = PollReply(int(self.now_s * 1000), 1, runs, ends)
        self.scheduler.poll_answered(worker.id, reply, self.now_s)

    def end_runs(self) -> None:
        """End runs on a few workers, chosen at random."""
        busy = [each for each in self.scheduler.ledger.workers.values() if each.runs]
        for worker in self.random.sample(busy, min(ENDS_PER_PASS, len(busy))):
            self.poll(worker, [self.random.choice(list(worker.runs.values()))])

    def decide(self) -> float:
        """Execute one decision and return its duration in seconds."""
        self.now_s += PASS_INTERVAL_S
        start_s = time.perf_counter()
        commands = self.scheduler.decide(self.now_s, self.now_s)
        seconds = time.perf_counter() - start_s
        for command in commands:
            if isinstance(command, StartRun):
                task, run = command.request.task, command.request.run
                self.scheduler.start_answered(
                    command.worker, task, run, StartOutcome.STARTED, self.now_s
                )
            elif isinstance(command, AskAdvice):
                allowed = [
                    each
                    for each in command.workers
                    if self.random.random() < ALLOWED_SHARE
                ]
                advice = Advice(dict.fromkeys(allowed, "ticket"), 2.5)
                self.scheduler.advice_answered(
                    command.step, advice, self.now_s, self.now_s
                )
        return seconds

    def count_waiting(self) -> int:
        """Return the number of jobs without a started task."""
        return sum(self.scheduler.count_waiting().values())

    def keep_waiting(self) -> None:
        """Submit jobs until the intended number waits."""
        for _ in range(self.waiting_jobs - self.count_waiting()):
            self.submit()

    def fill(self) -> None:
        """Start runs on every worker."""
        for _ in range(len(self.scheduler.ledger.workers) // 4 + 1):
            self.submit()
        for _ in range(WARM_UP_PASSES):
            self.decide()
            self.keep_waiting()


def measure(
    workers: int, jobs: int, has_advice: bool, teams: int, passes: int
) -> list[float]:
    """Return the durations of decisions with ``jobs`` waiting, in milliseconds."""
    fleet = LoadedFleet(workers, jobs, has_advice, teams)
    fleet.fill()
    durations = []
    for _ in range(passes):
        fleet.end_runs()
        fleet.keep_waiting()
        durations.append(1000 * fleet.decide())
    return durations


def main(
    workers: Annotated[str, typer.Option(help="numbers of workers")] = "24,270,1000",
    jobs: Annotated[str, typer.Option(help="numbers of jobs")] = "0,50,200,800,2000",
    advice: Annotated[bool, typer.Option(help="queues need advice")] = False,
    teams: Annotated[int, typer.Option(help="teams with a weight")] = 0,
    passes: Annotated[int, typer.Option(help="decisions to measure")] = PASSES,
) -> None:
    """Print the mean, the median, the 99th percentile and the maximum in ms."""
    print("workers  jobs    mean  median    p99    max (ms)")
    for worker_count in map(int, workers.split(",")):
        for job_count in map(int, jobs.split(",")):
            found = sorted(measure(worker_count, job_count, advice, teams, passes))
            p99 = found[int(0.99 * (len(found) - 1))]
            print(
                f"{worker_count:7} {job_count:5} {statistics.mean(found):7.2f}"
                f" {statistics.median(found):7.2f}"
                f" {p99:6.2f} {found[-1]:6.2f}",
                flush=True,
            )


if __name__ == "__main__":
    typer.run(main)

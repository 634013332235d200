"""A stateful test that injects faults and checks the scheduler's guarantees."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fleet_support import (
    CORE,
    SLOW,
    STEP_S,
    URGENT,
    Fleet,
    make_configuration,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import JobState, StepSpec

WORKERS = 3
MAXIMUM = Resources(48_000, 0, 0)
FINISH_S = 90.0


class FleetMachine(RuleBasedStateMachine):
    """Jobs, gangs, partitions, restarts, lost replies, outages and takeovers."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(WORKERS)
        self.fleet.configuration = make_configuration(maximum=MAXIMUM)
        self.fleet.scheduler.set_configuration(self.fleet.configuration)
        self.jobs: list[JobId] = []
        self.born_ms = 1

    @rule(
        count=strategies.integers(1, 6),
        cores=strategies.integers(1, 12),
        seconds=strategies.floats(0.1, 4.0),
        is_urgent=strategies.booleans(),
        steps=strategies.integers(1, 2),
        is_gang=strategies.booleans(),
    )
    def submit(
        self,
        count: int,
        cores: int,
        seconds: float,
        is_urgent: bool,
        steps: int,
        is_gang: bool,
    ) -> None:
        name = f"j{len(self.jobs)}"
        if is_gang:
            # A gang that its team may never run at once would never start.
            cores = min(cores, MAXIMUM.cpu_millis // CORE // count)
        specs = [
            StepSpec(
                count,
                task_resources(cores),
                after=(number - 1,) if number else (),
                saves_progress=not is_urgent,
                is_gang=is_gang,
            )
            for number in range(steps)
        ]
        queue_name = URGENT if is_urgent else SLOW
        self.jobs.append(
            self.fleet.submit(name, *specs, queue_name=queue_name, seconds=seconds)
        )

    @rule(seconds=strategies.floats(0.05, 3.0))
    def wait(self, seconds: float) -> None:
        self.fleet.run_for(seconds)

    @rule(number=strategies.integers(0, WORKERS - 1))
    def cut(self, number: int) -> None:
        self.fleet.unreachable.add(WorkerId(f"w{number}"))

    @rule()
    def heal(self) -> None:
        self.fleet.unreachable.clear()
        self.fleet.lost_start_replies.clear()

    @rule(number=strategies.integers(0, WORKERS - 1))
    def lose_answers(self, number: int) -> None:
        self.fleet.lost_start_replies.add(WorkerId(f"w{number}"))

    @rule(
        number=strategies.integers(0, WORKERS - 1),
        since_poll_s=strategies.floats(0.0, STEP_S),
    )
    def restart_worker(self, number: int, since_poll_s: float) -> None:
        self.fleet.clock.advance(since_poll_s)
        self.born_ms += 1
        self.fleet.restart_worker(WorkerId(f"w{number}"), self.born_ms)

    @rule()
    def toggle_store(self) -> None:
        self.fleet.is_store_available = not self.fleet.is_store_available

    @precondition(lambda self: self.fleet.is_store_available)
    @rule()
    def take_over(self) -> None:
        self.fleet.take_over()

    @invariant()
    def no_guarantee_is_violated(self) -> None:
        assert self.fleet.violations() == []

    @invariant()
    def team_stays_within_its_maximum(self) -> None:
        used = NO_RESOURCES
        for engine in self.fleet.engines.values():
            engine.advance()
            used = used + engine.used()
        assert used.cpu_millis <= MAXIMUM.cpu_millis

    def teardown(self) -> None:
        """End all faults, after which every job must complete without violations."""
        self.heal()
        self.fleet.is_store_available = True
        waited_s = 0.0
        while any(not self.is_complete(job) for job in self.jobs):
            assert waited_s < FINISH_S, "jobs are stuck"
            self.fleet.run_for(0.5)
            waited_s += 0.5
        assert self.fleet.violations() == []

    def is_complete(self, job: JobId) -> bool:
        """Return True if a job has completed, under this scheduler or a predecessor."""
        state = self.fleet.state(job)
        return state is JobState.COMPLETED or job not in self.fleet.records


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(max_examples=60, stateful_step_count=25)

"""A stateful test of changes of the holder beside what arrives late.

Jobs reach a scheduler by notifications and by the store's watch, each early, late,
repeated or not at all. A predecessor may act on after its successor has read the stored
jobs, and a successor's configuration may be older than the jobs.
"""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from delays_support import PREDECESSOR_ACTS_S, DelayedFleet
from fleet_support import SLOW, URGENT, make_configuration, queue, task_resources
from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.commands import StartRun
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.work import JobRecord, StepSpec
from gooseberrydeck_fleet.worker_calls import StartRequest, WorkerFencedError
from gooseberrydeck_member.shard_lock import next_token
from gooseberrydeck_standins.fleet_worker import RunPlan

WORKERS = 3
MAX_RUN_S = 2.0
FINISH_S = 90.0
PAUSES_S = strategies.sampled_from([0.0, 0.5, 3.0])
"""How long the fleet runs before the next step; most tasks have ended after 3 s."""

STALLS_S = strategies.sampled_from([0.0, 0.0, 1.5, 2.5])
HOLDS_S = strategies.sampled_from([0.3, 0.7, 1.4, 3.0])

MAXIMUM = Resources(16_000, 0, 0)
"""Maximum of the team: four tasks at once."""

OLD_CONFIGURATION = make_configuration(queue(URGENT, 0), maximum=MAXIMUM)
NEW_CONFIGURATION = make_configuration(maximum=MAXIMUM, version=2)


class TakeoverMachine(RuleBasedStateMachine):
    """Takeovers, late news and predecessors that act on, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = DelayedFleet(WORKERS)
        self.fleet.can_look_up_jobs = False
        self.fleet.configuration = NEW_CONFIGURATION
        self.fleet.scheduler.set_configuration(NEW_CONFIGURATION)
        self.announced: list[JobRecord] = []
        self.undelivered: dict[JobId, JobRecord] = {}
        self.predecessor: Scheduler | None = None
        self.predecessor_token = 0
        self.predecessor_acts_until_s = 0.0

    @property
    def predecessor_acts(self) -> bool:
        """Whether a predecessor still sends commands."""
        in_time = self.fleet.now_s < self.predecessor_acts_until_s
        return self.predecessor is not None and in_time

    # What schedulers learn of jobs.

    @rule(
        count=strategies.integers(1, 4),
        seconds=strategies.sampled_from([0.2, 0.6, MAX_RUN_S]),
        steps=strategies.integers(1, 2),
        is_announced=strategies.booleans(),
        is_predecessor_told=strategies.booleans(),
        allows_copies=strategies.booleans(),
        stalls_s=STALLS_S,
        then_s=PAUSES_S,
    )
    def submit(
        self,
        count: int,
        seconds: float,
        steps: int,
        is_announced: bool,
        is_predecessor_told: bool,
        allows_copies: bool,
        stalls_s: float,
        then_s: float,
    ) -> None:
        runs: set[int] = set()

        def plan(request: StartRequest) -> RunPlan:
            """Return a run; the first one of the job's first task stalls."""
            is_first = request.task.step == request.task.number == 0
            if is_first:
                runs.add(request.run)
            is_stalling = is_first and len(runs) == 1
            resources = specs[request.task.step].allocation
            return RunPlan(seconds, resources, stalls_s=stalls_s * is_stalling)

        specs = [
            StepSpec(
                count,
                task_resources(4),
                after=(number - 1,) if number else (),
                is_speculative=allows_copies,
            )
            for number in range(steps)
        ]
        name = f"j{len(self.announced)}"
        is_told = self.predecessor is not None and is_predecessor_told
        token = self.predecessor_token if is_told else self.fleet.token
        queue_name = URGENT if allows_copies else SLOW
        record = self.fleet.store(
            name, *specs, queue_name=queue_name, plan=plan, holder_token=token
        )
        self.announced.append(record)
        self.undelivered[record.id] = record
        if self.predecessor is not None and is_told:
            self.announce(self.predecessor, record)
            self.let_predecessor_act()
        if is_announced:
            self.announce(self.fleet.scheduler, record)
        self.fleet.run_for(then_s)

    def announce(self, scheduler: Scheduler, record: JobRecord) -> None:
        """Deliver the notification of a stored job."""
        scheduler.accept_announced(record, self.fleet.revisions[record.id])

    @precondition(lambda self: self.announced)
    @rule(number=strategies.integers(0, 20), then_s=PAUSES_S)
    def announce_late(self, number: int, then_s: float) -> None:
        self.announce(
            self.fleet.scheduler, self.announced[number % len(self.announced)]
        )
        self.fleet.run_for(then_s)

    @rule()
    def deliver_watch(self) -> None:
        for job, record in self.undelivered.items():
            self.fleet.scheduler.accept(record, self.fleet.revisions[job])
        self.undelivered.clear()

    @rule()
    def configure(self) -> None:
        self.fleet.scheduler.set_configuration(NEW_CONFIGURATION)

    @rule()
    def answer_lookups(self) -> None:
        self.fleet.answer_lookups()

    @rule(seconds=strategies.sampled_from([0.5, 1.5]))
    def lose_store(self, seconds: float) -> None:
        self.fleet.is_store_available = False
        self.fleet.run_for(seconds)
        self.fleet.is_store_available = True

    # Changes of the holder.

    @rule(
        is_configuration_old=strategies.sampled_from([False, False, True]),
        is_alive=strategies.booleans(),
        then_s=PAUSES_S,
    )
    def take_over(
        self, is_configuration_old: bool, is_alive: bool, then_s: float
    ) -> None:
        fleet = self.fleet
        self.predecessor = fleet.scheduler
        self.predecessor_token = fleet.token
        fleet.configuration = (
            OLD_CONFIGURATION if is_configuration_old else NEW_CONFIGURATION
        )
        fleet.take_over(is_alive=is_alive)
        self.undelivered.clear()
        self.predecessor_acts_until_s = 0.0
        if is_alive:
            self.predecessor_acts_until_s = fleet.now_s + PREDECESSOR_ACTS_S
        fleet.run_for(then_s)

    @precondition(lambda self: self.predecessor_acts)
    @rule()
    def predecessor_acts_on(self) -> None:
        self.let_predecessor_act()

    def let_predecessor_act(self) -> None:
        """Let the predecessor poll and start tasks until a worker refuses it."""
        fleet, predecessor = self.fleet, self.predecessor
        if predecessor is None or not self.predecessor_acts:
            return
        successor, token = fleet.scheduler, fleet.token
        fleet.scheduler, fleet.token = predecessor, self.predecessor_token
        try:
            for command in predecessor.decide(fleet.now_s, fleet.clock.wall()):
                if isinstance(command, StartRun):
                    fleet.execute(command)
            fleet.poll_all()
        except WorkerFencedError:
            self.predecessor = None
        finally:
            fleet.scheduler, fleet.token = successor, token
        reached = [
            engine
            for worker, engine in fleet.engines.items()
            if worker not in fleet.unreachable
        ]
        highest = next_token(Epoch(self.predecessor_token)) - 1
        if any(engine.token > highest for engine in reached):
            self.predecessor = None

    # Workers.

    @rule(number=strategies.integers(0, WORKERS - 1))
    def cut(self, number: int) -> None:
        self.fleet.unreachable.add(WorkerId(f"w{number}"))

    @rule(number=strategies.integers(0, WORKERS - 1))
    def lose_answers(self, number: int) -> None:
        self.fleet.lost_start_replies.add(WorkerId(f"w{number}"))

    @rule(number=strategies.integers(0, WORKERS - 1), hold_s=HOLDS_S)
    def hold_orders(self, number: int, hold_s: float) -> None:
        self.fleet.holds_s[WorkerId(f"w{number}")] = hold_s

    @rule()
    def end_delays(self) -> None:
        self.fleet.end_delays()

    @rule()
    def heal(self) -> None:
        self.fleet.unreachable.clear()
        self.fleet.lost_start_replies.clear()

    @invariant()
    def no_guarantee_is_violated(self) -> None:
        assert self.fleet.violations() == []

    def teardown(self) -> None:
        """End all faults, after which every job must complete without violations."""
        self.heal()
        self.end_delays()
        self.fleet.is_store_available = self.fleet.can_look_up_jobs = True
        self.configure()
        self.deliver_watch()
        waited_s = 0.0
        while self.fleet.records:
            assert waited_s < FINISH_S, "jobs are stuck"
            self.fleet.run_for(0.5)
            waited_s += 0.5
        # Runs of jobs that were started again have to end to count as violations.
        self.fleet.run_for(MAX_RUN_S + 1.0)
        assert self.fleet.violations() == []


TestTakeoverMachine = TakeoverMachine.TestCase
TestTakeoverMachine.settings = settings(max_examples=300, stateful_step_count=25)

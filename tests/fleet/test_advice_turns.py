"""Tests of the order in which steps may request advice."""

from fleet_support import (
    SLOW,
    TEAM,
    URGENT,
    Fleet,
    make_configuration,
    queue,
    task_resources,
)
from gooseberrydeck_coordination.ids import JobId, QueueName
from gooseberrydeck_fleet.advice import Advice
from gooseberrydeck_fleet.advice_turns import AdviceTurns
from gooseberrydeck_fleet.commands import AskAdvice, Command
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_fleet.state import Job, Step
from gooseberrydeck_fleet.waiting import Rank
from gooseberrydeck_fleet.work import JobRecord, StepSpec, WorkSpec
from gooseberrydeck_standins.fleet_worker import RunPlan

STANDING = QueueName("standing")
ONE = task_resources()
ADVICE_S = 0.5
POLICY = AdvicePolicy(ADVICE_S, 0.0, 2.5)
LOST_AFTER_S = 9.0
"""Time after which a long-running task without a run counts as lost."""


class SlowlyAdvisedFleet(Fleet):
    """A fleet whose requests for advice take ``ADVICE_S`` each."""

    def __init__(self, max_requests: int) -> None:
        self.replies: list[tuple[float, AskAdvice]] = []
        self.asked: list[StepRef] = []
        super().__init__(workers=4)
        self.configuration = make_configuration(
            queue(URGENT, 0, POLICY), queue(STANDING, 1, POLICY), queue(SLOW, 2, POLICY)
        )
        self.scheduler.set_configuration(self.configuration)
        self.scheduler.set_max_advice_requests(max_requests)

    def execute(self, command: Command) -> None:
        """Answer a request for advice later."""
        if not isinstance(command, AskAdvice):
            super().execute(command)
            return
        self.asked.append(command.step)
        self.replies.append((self.now_s + ADVICE_S, command))

    def step(self) -> None:
        """Answer the requests that are due, and run the scheduler."""
        due = [each for each in self.replies if each[0] <= self.now_s]
        self.replies = [each for each in self.replies if each[0] > self.now_s]
        for _, command in due:
            advice = Advice(dict.fromkeys(command.workers, "t"), POLICY.valid_s)
            asked_s = self.now_s - ADVICE_S
            self.scheduler.advice_answered(command.step, advice, asked_s, self.now_s)
        super().step()

    def submit_standing(self, name: str, seconds: float) -> JobId:
        """Submit a job with one long-running task whose runs fail after a while."""
        return self.submit(
            name,
            StepSpec(1, ONE, is_standing=True),
            queue_name=STANDING,
            plan=lambda _request: RunPlan(seconds, ONE, fails=True),
        )


class TestAdviceTurns:
    def setup_method(self) -> None:
        self.turns = AdviceTurns()
        self.steps: dict[StepRef, Step] = {}
        self.ranks: dict[StepRef, Rank] = {}

    def wait(self, name: str, priority: int, is_standing: bool = False) -> StepRef:
        """Let a step wait, after those before it."""
        spec = StepSpec(1, ONE, is_standing=is_standing)
        record = JobRecord(JobId(name), SLOW, TEAM, WorkSpec(steps=(spec,)), 0.0)
        step = Step(Job(record, queue(SLOW, priority), 1), 0, 0)
        self.steps[step.ref] = step
        self.ranks[step.ref] = (priority, False, False, 0.0, step.ref)
        self.turns.add(step.ref, float(len(self.steps)))
        return step.ref

    def grant(self, free: int, free_for_slow: int) -> list[StepRef]:
        return self.turns.grant(self.steps, self.ranks, free, free_for_slow)

    def test_every_second_turn_is_for_the_longest_wait(self) -> None:
        for name in "dcba":
            self.wait(name, 1, is_standing=True)
        order = [self.grant(1, 1)[0].job for _ in range(4)]
        assert order == ["a", "d", "b", "c"]

    def test_steps_that_do_not_last_come_by_rank(self) -> None:
        for name in "dcba":
            self.wait(name, 2)
        assert [step.job for step in self.grant(4, 4)] == ["a", "b", "c", "d"]

    def test_longest_wait_does_not_go_before_a_better_priority(self) -> None:
        batch = self.wait("a", 2)
        lasting = [self.wait(name, 1, is_standing=True) for name in "cb"]
        assert self.grant(3, 3) == [lasting[1], lasting[0], batch]

    def test_urgent_steps_come_first_in_order(self) -> None:
        self.wait("slow", 2)
        second, first = self.wait("u2", 0), self.wait("u1", 0)
        assert self.grant(2, 1) == [first, second]

    def test_turns_are_for_free_requests_only(self) -> None:
        first, second = self.wait("a", 2), self.wait("b", 2)
        urgent = self.wait("u", 0)
        assert self.grant(0, 0) == []
        assert self.grant(3, 1) == [urgent, first]
        assert second in self.turns

    def test_step_that_does_not_wait_to_start_any_more_is_forgotten(self) -> None:
        del self.ranks[self.wait("a", 2)]
        step = self.wait("b", 2)
        assert self.grant(1, 1) == [step]
        assert len(self.turns) == 0

    def test_turn_is_used_once(self) -> None:
        self.wait("a", 2)
        (step,) = self.grant(1, 1)
        assert self.turns.count_granted(self.ranks, is_urgent=False) == 1
        assert self.turns.take(step) == 1.0
        assert self.turns.take(step) is None
        assert self.turns.count_granted(self.ranks, is_urgent=False) == 0


class TestLongRunningSteps:
    # Steps whose runs ended and that asked again went before steps that had never had
    # advice, which stood still (issue 45).
    def test_each_step_starts_beside_steps_that_ask_again_and_again(self) -> None:
        fleet = SlowlyAdvisedFleet(max_requests=1)
        jobs = [fleet.submit_standing(f"j{number}", 1.5) for number in range(9)]
        fleet.run_for(LOST_AFTER_S)
        assert {task.job for _, task, _ in fleet.starts} == set(jobs)

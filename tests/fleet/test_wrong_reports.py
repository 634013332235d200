"""Tests of workers' reports that no correct worker makes.

Answers the pattern of one malformed message that takes a whole process down.
"""

import math

from hypothesis import given, settings, strategies

from fleet_support import Fleet, task_resources
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import (
    EndKind,
    EndReport,
    PollReply,
    RunReport,
)

W0 = WorkerId("w0")
NUMBERS = strategies.sampled_from([-(2**63), -1, 0, 1, 2, 7, 2**31, 10**30])
FLOATS = strategies.sampled_from([-1.0, 0.0, 50.0, 1e300, math.inf, math.nan])
JOBS = ("plain", "gang", "copied", "lasting")
FIRST = strategies.just(0) | NUMBERS
TASKS = strategies.builds(
    TaskRef,
    strategies.sampled_from([JobId(name) for name in (*JOBS, "unknown", "")]),
    FIRST,
    FIRST,
    NUMBERS,
)
RUNS = strategies.builds(
    RunReport, TASKS, NUMBERS, strategies.sampled_from(["", "x"]), FLOATS, FLOATS
)
ENDS = strategies.builds(
    EndReport,
    NUMBERS,
    TASKS,
    NUMBERS,
    strategies.sampled_from(EndKind),
    strategies.sampled_from(["", "x"]),
)
REPLIES = strategies.builds(
    PollReply,
    NUMBERS,
    NUMBERS,
    strategies.lists(RUNS, max_size=3).map(tuple),
    strategies.lists(ENDS, max_size=3).map(tuple),
)


class TestWrongReports:
    # Guards against an end of a task that doesn't exist, which counted for another.
    def test_end_of_a_task_with_a_negative_number_counts_for_none(self) -> None:
        fleet = Fleet(workers=1)
        job = fleet.submit("plain", StepSpec(2, task_resources()), seconds=5.0)
        fleet.run_for(0.3)
        task = TaskRef(job, 0, 0, -1)
        end = EndReport(1, task, 1, EndKind.SUCCEEDED, "")
        engine = fleet.engines[W0]
        reply = PollReply(engine.reply().clock_ms, engine.born_ms, (), (end,))
        fleet.scheduler.poll_answered(W0, reply, fleet.now_s)
        (step,) = fleet.scheduler.ledger.jobs[job].steps.values()
        assert not any(each.is_done for each in step.tasks)

    # Guards against a scheduler that ends by an exception, or jobs that never end,
    # because one worker reports what it can't have.
    @settings(max_examples=150)
    @given(strategies.lists(REPLIES, min_size=1, max_size=3))
    def test_work_goes_on_without_the_worker(self, replies: list[PollReply]) -> None:
        fleet = Fleet(workers=3)
        one = task_resources()
        fleet.submit("plain", StepSpec(3, one), StepSpec(1, one, after=(0,)))
        fleet.submit("gang", StepSpec(2, one, is_gang=True))
        fleet.submit("copied", StepSpec(3, one, is_speculative=True))
        fleet.submit("lasting", StepSpec(1, one, is_standing=True))
        fleet.run_for(0.1)
        for reply in replies:
            fleet.scheduler.poll_answered(W0, reply, fleet.now_s)
            fleet.run_for(0.1)
        fleet.restart_worker(W0)
        job = fleet.submit("later", StepSpec(6, one))
        fleet.run_for(10.0)
        assert fleet.state(job) is JobState.COMPLETED

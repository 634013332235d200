"""Tests of failing workers, lost replies, takeovers and store outages."""

from collections.abc import Callable

import msgspec

from fleet_support import (
    HOST,
    SLOW,
    TEAM,
    URGENT,
    Fleet,
    make_configuration,
    queue,
    registration,
    task_resources,
)
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.commands import StartRun, StopRun
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import (
    StartOutcome,
    StartRequest,
    WorkerReply,
)
from gooseberrydeck_member.shard_lock import TOKENS_PER_CLAIM
from gooseberrydeck_standins.fleet_worker import FleetWorkerEngine, RunPlan

ONE = task_resources()
MAX_RESTART_S = 6.0
"""Time within which a long-running task restarts after its worker is unreachable."""


class TestUnreachableWorkers:
    def test_task_runs_elsewhere_only_after_its_lease_has_expired(self) -> None:
        fleet = Fleet(workers=2)
        job = fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        fleet.run_for(0.5)
        _, _, first = fleet.starts[0]
        fleet.unreachable.add(first)
        unreachable_since_s = fleet.now_s
        while len(fleet.starts) < 2:
            assert fleet.now_s - unreachable_since_s < MAX_RESTART_S
            fleet.run_for(0.05)
        fleet.engines[first].advance()
        assert fleet.engines[first].runs == {}
        assert len(fleet.running(job)) == 1

    def test_calls_to_an_unreachable_worker_extend_no_lease(self) -> None:
        # Regression (soak, seed 1): each poll of a dead worker postponed the computed
        # expiry of its leases, so its tasks never ran elsewhere.
        fleet = Fleet(workers=1)
        worker = next(iter(fleet.scheduler.ledger.workers.values()))
        assert fleet.scheduler.lease_until_ms(worker, fleet.now_s) is not None
        fleet.scheduler.worker_silent(worker.id, fleet.now_s)
        lease_expiry_s = worker.lease_expiry_s
        fleet.clock.advance(1.0)
        assert fleet.scheduler.lease_until_ms(worker, fleet.now_s) is None
        assert worker.lease_expiry_s == lease_expiry_s

    def test_lease_expiry_allows_for_a_slow_worker_clock(self) -> None:
        fleet = Fleet(workers=2)
        fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        fleet.run_for(0.5)
        _, _, first = fleet.starts[0]
        engine = fleet.engines[first]
        unreachable_since_s = fleet.now_s
        fleet.unreachable.add(first)
        while len(fleet.starts) < 2:
            fleet.run_for(0.05)
        worker_elapsed_s = (fleet.now_s - unreachable_since_s) * 0.98
        assert (
            engine.lease_until_s
            <= unreachable_since_s - engine.began_s + worker_elapsed_s
        )

    def test_tasks_of_a_dead_worker_restart_at_once(self) -> None:
        fleet = Fleet(workers=2)
        fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        fleet.run_for(0.5)
        _, _, first = fleet.starts[0]
        fleet.unreachable.add(first)
        fleet.scheduler.worker_gone(first, fleet.now_s)
        fleet.run_for(0.1)
        assert len(fleet.starts) == 2

    def test_runs_lost_in_a_worker_restart_are_repeated(self) -> None:
        fleet = Fleet(workers=1)
        job = fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        fleet.run_for(0.5)
        worker = next(iter(fleet.engines))
        fleet.restart_worker(worker, born_ms=2)
        fleet.run_for(0.2)
        assert len(fleet.running(job)) == 1

    def test_departed_worker_is_removed(self) -> None:
        fleet = Fleet(workers=1)
        leaving = fleet.add_worker("leaving")
        fleet.run_for(0.2)
        fleet.scheduler.worker_unregistered(leaving)
        fleet.unreachable.add(leaving)
        fleet.run_for(0.1)
        assert leaving not in fleet.scheduler.ledger.workers
        assert leaving not in fleet.scheduler.changes.recorded

    def test_long_running_task_of_a_departed_worker_waits_for_its_lease(self) -> None:
        # Whether the worker has left or is cut off can't be told apart. A long-running
        # task has to run again within 6 s, and only once its lease has lapsed.
        fleet = Fleet(workers=2)
        fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        fleet.run_for(0.2)
        _, _, leaving = fleet.starts[0]
        entry = registration(str(leaving), is_draining=True, remaining_s=0.1)
        fleet.unreachable.add(leaving)
        fleet.scheduler.worker_registered(entry, fleet.now_s)
        fleet.scheduler.worker_unregistered(leaving)
        fleet.run_for(6.0)
        assert len(fleet.starts) == 2
        assert fleet.violations() == []


class TestLostReplies:
    def test_unanswered_start_that_arrived_is_not_repeated(self) -> None:
        fleet = Fleet(workers=3)
        fleet.lost_start_replies.update(fleet.engines)
        job = fleet.submit("a", StepSpec(3, ONE))
        fleet.run_for(2.0)
        assert fleet.state(job) is JobState.COMPLETED
        assert len(fleet.starts) == 3

    def test_lost_start_is_repeated_after_its_validity(
        self,
    ) -> None:
        fleet = Fleet(workers=1)
        worker = next(iter(fleet.engines))
        engine = fleet.engines[worker]
        arrives = engine.start
        engine.start = lose_one(engine)  # type: ignore[method-assign]
        fleet.lost_start_replies.add(worker)
        job = fleet.submit("a", StepSpec(1, ONE))
        fleet.run_for(1.2)
        assert len(fleet.starts) == 1
        engine.start = arrives  # type: ignore[method-assign]
        fleet.run_for(2.0)
        assert len(fleet.starts) == 2
        assert fleet.state(job) is JobState.COMPLETED

    def test_refusal_of_a_repeated_start_does_not_mean_that_nothing_ran(self) -> None:
        # Regression (bench, huaman-desk-grown, day fresh-6d71): the first start ran and
        # ended before the repeated one arrived, which was refused as superseded.
        fleet = Fleet(workers=1)
        worker = next(iter(fleet.engines))
        job = fleet.submit("a", StepSpec(1, ONE), seconds=0.3)
        for command in fleet.scheduler.decide(fleet.now_s, fleet.clock.wall()):
            assert isinstance(command, StartRun)
            request = command.request
        token = fleet.worker_token(worker)
        fleet.engines[worker].start(request, token)
        fleet.clock.advance(0.4)
        outcome, _ = fleet.engines[worker].start(request, token)
        assert outcome is StartOutcome.SUPERSEDED
        fleet.scheduler.start_answered(
            worker, request.task, request.run, outcome, fleet.now_s, is_repeat=True
        )
        fleet.run_for(2.0)
        assert fleet.starts == []
        assert fleet.state(job) is JobState.COMPLETED

    # Its capacity stayed allocated until the validity of the start had passed.
    def test_run_that_is_stopped_before_its_start_is_sent_ends_at_once(self) -> None:
        fleet = Fleet(workers=1)
        scheduler = fleet.scheduler
        job = scheduler.ledger.jobs[fleet.submit("a", StepSpec(1, ONE))]
        (start,) = scheduler.decide(fleet.now_s, fleet.clock.wall())
        assert isinstance(start, StartRun)
        scheduler.ends.finish(job, JobState.CANCELLED)
        (stop,) = scheduler.decide(fleet.now_s, fleet.clock.wall())
        assert isinstance(stop, StopRun)
        task, run = start.request.task, start.request.run
        scheduler.start_unanswered(start.worker, task, run, was_sent=False)
        assert not job.runs
        assert not scheduler.ledger.stopping


def lose_one(
    engine: FleetWorkerEngine,
) -> Callable[[StartRequest, Epoch], tuple[StartOutcome, WorkerReply]]:
    """Return a start method whose request and reply are both lost."""
    return lambda _request, _token: (StartOutcome.STARTED, engine.reply())


class TestLimits:
    def test_allocation_of_a_stopping_run_is_not_reused(self) -> None:
        fleet = Fleet(workers=1)
        job = fleet.submit("long", StepSpec(4, task_resources(8)), seconds=60)
        fleet.run_for(0.5)
        record = fleet.records[job]
        fleet.scheduler.accept(
            type(record)(record.id, record.queue, record.team, record.work, 0.0, True),
            2,
        )
        fleet.submit("next", StepSpec(4, task_resources(8)))
        fleet.run_for(3.0)
        assert fleet.violations() == []
        assert len(fleet.starts) == 8

    def test_team_never_exceeds_its_maximum(self) -> None:
        fleet = Fleet()
        fleet.scheduler.set_configuration(
            make_configuration(maximum=Resources(10_000, 0, 0))
        )
        job = fleet.submit("a", StepSpec(8, task_resources(3)))
        for _ in range(60):
            fleet.run_for(0.05)
            assert len(fleet.running(job)) <= 3
        fleet.run_for(2.0)
        assert fleet.state(job) is JobState.COMPLETED

    def test_lowered_maximum_applies_to_new_runs(self) -> None:
        fleet = Fleet()
        job = fleet.submit("a", StepSpec(4, ONE), StepSpec(8, ONE, after=(0,)))
        fleet.run_for(0.3)
        fleet.scheduler.set_configuration(
            make_configuration(maximum=Resources(2_000, 0, 0), version=2)
        )
        fleet.run_for(1.3)
        assert len(fleet.running(job)) == 2

    def test_runs_of_an_unreachable_worker_count_against_the_maximum(self) -> None:
        fleet = Fleet(workers=2)
        fleet.scheduler.set_configuration(
            make_configuration(maximum=Resources(1_000, 0, 0))
        )
        fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        fleet.run_for(0.3)
        fleet.unreachable.add(fleet.starts[0][2])
        job = fleet.submit("b", StepSpec(1, ONE))
        fleet.run_for(1.0)
        assert fleet.running(job) == []

    # A job accepted after a takeover starts at once, although runs of its team on a
    # worker that has not reported may use up the team's maximum.
    def test_unknown_runs_of_a_predecessor_count_against_the_maximum(self) -> None:
        fleet = Fleet(workers=3)
        fleet.configuration = make_configuration(maximum=Resources(48_000, 0, 0))
        fleet.scheduler.set_configuration(fleet.configuration)
        fleet.submit("a", StepSpec(6, task_resources(8)), seconds=9.0)
        fleet.run_for(0.5)
        _, _, worker = fleet.starts[0]
        fleet.take_over()
        fleet.unreachable.add(worker)
        fleet.submit("b", StepSpec(4, task_resources(8)), seconds=9.0)
        fleet.run_for(1.0)
        used = sum(engine.used().cpu_millis for engine in fleet.engines.values())
        assert used <= 48_000


class TestTakeover:
    def test_successor_adopts_runs(self) -> None:
        fleet = Fleet()
        job = fleet.submit("a", StepSpec(6, ONE), seconds=2.0)
        fleet.run_for(0.5)
        fleet.take_over()
        fleet.run_for(2.5)
        assert fleet.state(job) is JobState.COMPLETED
        assert len(fleet.starts) == 6

    def test_earlier_jobs_start_nothing_until_every_worker_has_reported(self) -> None:
        fleet = Fleet(workers=3)
        job = fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        fleet.run_for(0.3)
        fleet.unreachable.add(fleet.starts[0][2])
        fleet.take_over()
        later = fleet.submit("b", StepSpec(1, ONE))
        fleet.run_for(1.0)
        assert len(fleet.starts) == 2
        assert fleet.state(later) is JobState.RUNNING
        fleet.run_for(4.0)
        assert len(fleet.starts) == 3
        assert fleet.state(job) is JobState.RUNNING

    def test_steps_that_become_ready_start_before_every_worker_has_reported(
        self,
    ) -> None:
        fleet = Fleet(workers=3)
        fleet.submit("other", StepSpec(1, HOST, is_standing=True))
        fleet.run_for(0.1)
        job = fleet.submit("a", StepSpec(2, ONE), StepSpec(2, ONE, after=(0,)))
        fleet.run_for(0.3)
        unreachable = fleet.starts[0][2]
        for _, task, worker in fleet.starts[1:]:
            assert task.job == job
            assert worker != unreachable
        fleet.unreachable.add(unreachable)
        fleet.take_over()
        fleet.run_for(2.5)
        assert fleet.state(job) is JobState.COMPLETED
        assert fleet.violations() == []

    def test_end_that_a_predecessor_may_have_seen_does_not_start_dependents(
        self,
    ) -> None:
        fleet = Fleet(workers=3)
        fleet.submit("other", StepSpec(1, HOST, is_standing=True))
        fleet.run_for(0.1)
        fleet.submit("a", StepSpec(1, ONE), StepSpec(1, ONE, after=(0,)), seconds=0.5)
        fleet.run_for(0.3)
        fleet.unreachable.add(fleet.starts[0][2])
        fleet.take_over()
        fleet.scheduler.predecessor_may_act(fleet.now_s + 1.5)
        fleet.run_for(3.0)
        assert len(fleet.starts) == 2
        fleet.run_for(2.0)
        assert len(fleet.starts) >= 3

    def test_end_of_one_gang_member_does_not_start_dependents_beside_a_predecessor(
        self,
    ) -> None:
        # The end of the other member may have told the predecessor that the gang is
        # done, on a worker that its successor can't reach.
        fleet = Fleet(workers=2)
        gang = StepSpec(2, task_resources(20), is_gang=True)
        fleet.submit("a", gang, StepSpec(1, ONE, after=(0,)), seconds=1.0)
        fleet.run_for(0.3)
        dark, reached = (worker for _, _, worker in fleet.starts)
        former, token = fleet.scheduler, fleet.worker_token(dark)
        fleet.unreachable.add(dark)
        fleet.take_over()
        fleet.scheduler.predecessor_may_act(fleet.now_s + 1.5)
        fleet.run_for(0.2)
        fleet.clock.advance(0.8)
        former.worker_silent(reached, fleet.now_s)
        reply = fleet.engines[dark].poll(token, 0, None)
        former.poll_answered(dark, reply, fleet.now_s)
        for command in former.decide(fleet.now_s, fleet.clock.wall()):
            assert isinstance(command, StartRun)
            fleet.engines[dark].start(command.request, token)
        assert len(fleet.engines[dark].runs) == 1
        fleet.scheduler.predecessor_stopped(fleet.now_s + 4.3)
        fleet.run_for(1.0)
        assert len(fleet.starts) == 2

    def test_end_of_one_copy_does_not_start_dependents_beside_a_predecessor(
        self,
    ) -> None:
        # As above: a copy that the successor doesn't know may have ended before.
        def plan(request: StartRequest) -> RunPlan:
            requests.append(request)
            return RunPlan(2.0 if len(requests) == 1 else 0.5, ONE)

        requests: list[StartRequest] = []
        fleet = Fleet(workers=2)
        steps = StepSpec(1, ONE, is_speculative=True), StepSpec(1, ONE, after=(0,))
        fleet.submit("a", *steps, plan=plan)
        fleet.run_for(0.3)
        _, _, reached = fleet.starts[0]
        (dark,) = fleet.engines.keys() - {reached}
        former, token = fleet.scheduler, fleet.worker_token(dark)
        copy = msgspec.structs.replace(requests[0], run=requests[0].run + 1)
        fleet.engines[dark].start(copy, token)
        fleet.unreachable.add(dark)
        fleet.take_over()
        fleet.scheduler.predecessor_may_act(fleet.now_s + 1.5)
        fleet.run_for(0.2)
        fleet.clock.advance(0.4)
        former.worker_silent(reached, fleet.now_s)
        reply = fleet.engines[dark].poll(token, 0, None)
        former.poll_answered(dark, reply, fleet.now_s)
        for command in former.decide(fleet.now_s, fleet.clock.wall()):
            if isinstance(command, StartRun):
                fleet.engines[dark].start(command.request, token)
        assert [task.step for task in fleet.engines[dark].runs] == [1]
        fleet.scheduler.predecessor_stopped(fleet.now_s + 4.3)
        fleet.run_for(2.0)
        assert len(fleet.starts) == 1

    def test_failed_adopted_run_is_repeated_before_every_worker_has_reported(
        self,
    ) -> None:
        fleet = Fleet(workers=3)
        fleet.submit("other", StepSpec(1, HOST, is_standing=True))
        fleet.run_for(0.1)

        def fails_once(request: StartRequest) -> RunPlan:
            runs.append(request.run)
            return RunPlan(1.0, ONE, fails=len(runs) == 1)

        runs: list[int] = []
        job = fleet.submit("a", StepSpec(1, ONE), plan=fails_once)
        fleet.run_for(0.3)
        unreachable, used = fleet.starts[0][2], fleet.starts[1][2]
        assert unreachable != used
        fleet.unreachable.add(unreachable)
        fleet.take_over()
        fleet.run_for(2.5)
        assert fleet.state(job) is JobState.COMPLETED
        assert len(fleet.starts) == 3

    def test_new_job_waits_while_a_predecessor_may_have_started_it(self) -> None:
        # Regression (soak, seed 27): a replaced scheduler was notified of a job 40 ms
        # after its replacement, and started it on a worker that did not know yet.
        fleet = Fleet(workers=2)
        fleet.unreachable.add(next(iter(fleet.engines)))
        fleet.take_over()
        fleet.scheduler.predecessor_may_act(fleet.now_s + 1.5)
        fleet.submit("new", StepSpec(1, ONE))
        fleet.run_for(4.2)
        assert fleet.starts == []
        fleet.run_for(0.5)
        assert len(fleet.starts) == 1

    def test_new_job_does_not_run_beside_a_run_that_a_predecessor_started(
        self,
    ) -> None:
        # The predecessor still acted when the job was accepted, on a worker that its
        # successor can't reach. The job was released once the predecessor had stopped.
        fleet = Fleet(workers=2)
        dark, reached = fleet.engines
        former, token = fleet.scheduler, fleet.worker_token(dark)
        fleet.unreachable.add(dark)
        fleet.take_over()
        fleet.scheduler.predecessor_may_act(fleet.now_s + 1.5)
        job = fleet.submit("new", StepSpec(1, ONE), seconds=5.0)
        former.worker_silent(reached, fleet.now_s)
        former.accept(fleet.records[job], 1)
        for command in former.decide(fleet.now_s, fleet.clock.wall()):
            assert isinstance(command, StartRun)
            fleet.engines[dark].start(command.request, token)
        worker = former.ledger.workers[dark]
        until_ms = former.lease_until_ms(worker, fleet.now_s)
        fleet.engines[dark].poll(token, 0, until_ms)
        for _ in range(100):
            fleet.run_for(0.1)
            fleet.engines[dark].advance()
        assert [worker for _, _, worker in fleet.starts] == [reached]
        assert fleet.violations() == []

    def test_new_job_starts_at_once_if_every_worker_has_reported(self) -> None:
        fleet = Fleet(workers=2)
        fleet.take_over()
        fleet.run_for(0.1)
        fleet.scheduler.predecessor_may_act(fleet.now_s + 1.5)
        fleet.submit("new", StepSpec(1, ONE))
        fleet.run_for(0.1)
        assert len(fleet.starts) == 1

    def test_new_job_does_not_wait_for_a_stopped_predecessor(self) -> None:
        fleet = Fleet(workers=2)
        fleet.unreachable.add(next(iter(fleet.engines)))
        fleet.take_over()
        fleet.scheduler.predecessor_may_act(fleet.now_s + 1.5)
        earlier = fleet.submit("earlier", StepSpec(1, ONE))
        fleet.scheduler.predecessor_stopped(fleet.now_s + 4.3)
        later = fleet.submit("later", StepSpec(1, ONE))
        fleet.run_for(0.1)
        assert fleet.running(earlier) == []
        assert len(fleet.running(later)) == 1
        fleet.run_for(4.6)
        assert len(fleet.starts) == 2

    def test_worker_that_departed_before_the_takeover_delays_no_job(self) -> None:
        fleet = Fleet(workers=2)
        leaving = fleet.add_worker("leaving", is_draining=True)
        fleet.run_for(0.2)
        job = fleet.submit("a", StepSpec(1, ONE))
        fleet.unreachable.add(leaving)
        fleet.scheduler.worker_unregistered(leaving)
        fleet.step()
        fleet.take_over()
        fleet.run_for(0.1)
        assert fleet.state(job) is JobState.RUNNING

    def test_worker_that_departs_during_the_takeover_delays_jobs_by_its_lease(
        self,
    ) -> None:
        fleet = Fleet(workers=2)
        leaving = fleet.add_worker("leaving", is_draining=True)
        fleet.run_for(0.2)
        job = fleet.submit("a", StepSpec(1, ONE))
        fleet.unreachable.add(leaving)
        fleet.take_over(quarantine_s=4.3)
        fleet.scheduler.worker_unregistered(leaving)
        fleet.run_for(4.2)
        assert fleet.starts == []
        fleet.run_for(0.5)
        assert fleet.state(job) is JobState.RUNNING

    def test_leases_of_a_worker_lost_after_its_first_reply_are_respected(
        self,
    ) -> None:
        # The predecessor may have extended the leases just before the takeover.
        fleet = Fleet(workers=2)
        fleet.submit("a", StepSpec(1, ONE, is_standing=True))
        fleet.run_for(0.5)
        _, _, first = fleet.starts[0]
        fleet.take_over()
        fleet.poll(first)
        fleet.unreachable.add(first)
        fleet.scheduler.worker_silent(first, fleet.now_s)
        while len(fleet.starts) < 2:
            fleet.run_for(0.05)
        fleet.engines[first].advance()
        assert fleet.engines[first].runs == {}
        assert fleet.violations() == []

    def test_nothing_starts_beside_an_orphaned_run(self) -> None:
        fleet = Fleet(workers=1)
        job = fleet.submit("a", StepSpec(1, task_resources(32)), seconds=60.0)
        fleet.run_for(0.3)
        del fleet.records[job]
        fleet.take_over()
        later = fleet.submit("b", StepSpec(1, task_resources(32)), seconds=0.2)
        fleet.run_for(2.0)
        assert fleet.violations() == []
        assert fleet.state(later) is JobState.COMPLETED

    def test_end_that_was_not_stored_is_reported_again(self) -> None:
        fleet = Fleet()
        fleet.is_store_available = False
        job = fleet.submit("a", StepSpec(2, ONE))
        fleet.run_for(1.5)
        assert fleet.state(job) is JobState.RUNNING
        fleet.take_over()
        fleet.is_store_available = True
        fleet.run_for(0.5)
        assert fleet.state(job) is JobState.COMPLETED
        assert len(fleet.starts) == 2

    # A worker lists 500 ends at a time. The first list counted as a whole report, so
    # that tasks of which the next list had the end started again.
    def test_worker_has_reported_only_once_it_has_listed_all_its_ends(self) -> None:
        fleet = Fleet(workers=1)
        fleet.is_store_available = False
        for number in range(55):
            fleet.submit(f"a{number}", StepSpec(10, ONE), seconds=0.1)
        fleet.run_for(5.0)
        assert len(fleet.starts) > 500
        fleet.is_store_available = True
        fleet.take_over()
        fleet.run_for(2.0)
        assert fleet.records == {}
        assert len(fleet.starts) == 550
        assert fleet.violations() == []

    def test_stored_failure_that_is_reported_again_counts_once(self) -> None:
        fleet = Fleet()
        fleet.scheduler.set_configuration(
            make_configuration(queue(SLOW, 2, attempts=2))
        )
        fleet.configuration = make_configuration(queue(SLOW, 2, attempts=2))
        job = fleet.submit(
            "a",
            StepSpec(1, ONE),
            plan=lambda _: RunPlan(0.2, ONE, fails=len(fleet.starts) == 1),
        )
        while not fleet.progress:
            fleet.run_for(0.05)
        value = fleet.progress[job]
        fleet.take_over()
        fleet.progress[job] = value
        fleet.run_for(2.0)
        assert fleet.state(job) is JobState.COMPLETED

    def test_replaced_scheduler_is_refused(self) -> None:
        fleet = Fleet()
        fleet.token += TOKENS_PER_CLAIM
        fleet.run_for(0.1)
        fleet.token -= TOKENS_PER_CLAIM
        job = fleet.submit("a", StepSpec(1, ONE))
        worker = next(iter(fleet.engines.values()))
        assert worker.token == fleet.token + TOKENS_PER_CLAIM
        assert fleet.running(job) == []

    def test_run_numbers_increase_across_takeovers(self) -> None:
        fleet = Fleet()
        before = fleet.scheduler.ledger.run_numbers.next()
        fleet.take_over()
        assert fleet.scheduler.ledger.run_numbers.next() > before


class TestStopsOfSilentWorkers:
    # The command is dropped while the worker is silent. It was repeated only after
    # 0.7 s, although the worker answered again.
    def test_stop_is_repeated_when_the_worker_answers(self) -> None:
        fleet = Fleet(workers=1)
        job = fleet.submit("a", StepSpec(1, ONE), seconds=60.0)
        fleet.run_for(0.2)
        fleet.unreachable.add(WorkerId("w0"))
        fleet.run_for(0.1)
        fleet.scheduler.ends.finish(
            fleet.scheduler.ledger.jobs[job], JobState.CANCELLED
        )
        fleet.run_for(0.1)
        fleet.unreachable.clear()
        fleet.run_for(0.3)
        assert fleet.running(job) == []
        assert len(fleet.stops) == 2


class TestEndsAtATakeover:
    # Guards against jobs whose end is stored and logged, and which leave the ledger,
    # while a predecessor's runs of them go on.
    def test_cancelled_job_ends_only_after_the_runs_of_a_predecessor(self) -> None:
        fleet = Fleet(workers=2)
        job = fleet.submit("a", StepSpec(1, ONE), seconds=60.0)
        fleet.run_for(0.2)
        (worker,) = {worker for _, _, worker in fleet.starts}
        fleet.unreachable.add(worker)
        record = msgspec.structs.replace(fleet.records[job], is_cancelled=True)
        fleet.records[job] = record
        fleet.take_over()
        fleet.run_for(0.5)
        assert job not in fleet.ended
        assert fleet.state(job) is JobState.CANCELLED
        fleet.unreachable.clear()
        fleet.run_for(2.0)
        assert fleet.running(job) == []
        assert fleet.ended[job].state is JobState.CANCELLED


class TestStoreOutage:
    def test_final_state_is_published_only_when_it_is_stored(self) -> None:
        fleet = Fleet()
        job = fleet.submit("a", StepSpec(1, ONE), seconds=0.2)
        fleet.is_store_available = False
        fleet.run_for(1.0)
        assert fleet.state(job) is JobState.RUNNING
        fleet.is_store_available = True
        fleet.run_for(0.1)
        assert fleet.state(job) is JobState.COMPLETED

    def test_next_step_does_not_wait_for_the_store(self) -> None:
        fleet = Fleet()
        fleet.is_store_available = False
        fleet.submit("a", StepSpec(1, ONE), StepSpec(1, ONE, after=(0,)), seconds=0.2)
        fleet.run_for(0.5)
        assert [task.step for _, task, _ in fleet.starts] == [0, 1]

    def test_refused_commit_is_repeated_with_the_stored_revision(self) -> None:
        fleet = Fleet()
        fleet.is_store_available = False
        job = fleet.submit("a", StepSpec(2, ONE), seconds=0.2)
        fleet.run_for(1.0)
        changes = fleet.scheduler.changes.take_batch(10, 0.0)
        fleet.scheduler.changes.commit_failed(changes)
        fleet.scheduler.changes.revisions_read({job: 7}, (), fleet.now_s)
        again = fleet.scheduler.changes.take_batch(10, 0.0)
        assert [each.progress_revision for each in again.endings] == [7]

    def test_job_end_that_was_stored_after_all_is_not_repeated(self) -> None:
        fleet = Fleet()
        fleet.is_store_available = False
        job = fleet.submit("a", StepSpec(1, ONE), seconds=0.2)
        fleet.run_for(1.0)
        changes = fleet.scheduler.changes.take_batch(10, 0.0)
        fleet.scheduler.changes.commit_failed(changes)
        fleet.scheduler.changes.revisions_read({}, (job,), fleet.now_s)
        assert fleet.scheduler.changes.take_batch(10, 0.0).is_empty
        assert fleet.state(job) is JobState.COMPLETED


class TestPreemption:
    def test_urgent_step_preempts_the_least_work_that_saves_progress(self) -> None:
        fleet = Fleet(workers=1)
        # Jobs beyond their share preempt nothing, so this job must be within it.
        fleet.scheduler.set_configuration(make_configuration(shares={TEAM: 10.0}))
        step = StepSpec(4, task_resources(8), saves_progress=True)
        slow = fleet.submit("slow", step, seconds=5.0)
        fleet.run_for(1.0)
        urgent = fleet.submit(
            "urgent", StepSpec(1, task_resources(8)), queue_name=URGENT
        )
        fleet.run_for(0.5)
        assert [reason for _, _, reason in fleet.stops] == ["preempted"]
        assert len(fleet.running(urgent)) == 1
        fleet.run_for(9.0)
        assert fleet.state(slow) is JobState.COMPLETED
        assert fleet.violations() == []

    def test_run_that_cannot_resume_is_not_preempted(self) -> None:
        fleet = Fleet(workers=1)
        fleet.submit("slow", StepSpec(4, task_resources(8)), seconds=2.0)
        fleet.run_for(0.5)
        fleet.submit("urgent", StepSpec(1, ONE), queue_name=URGENT)
        fleet.run_for(1.0)
        assert fleet.stops == []

    def test_capacity_being_freed_is_reserved_for_the_urgent_step(self) -> None:
        fleet = Fleet(workers=1)
        # Jobs beyond their share preempt nothing, so this job must be within it.
        fleet.scheduler.set_configuration(make_configuration(shares={TEAM: 10.0}))
        step = StepSpec(4, task_resources(8), saves_progress=True)
        fleet.submit("slow", step, seconds=9.0)
        fleet.run_for(0.5)
        urgent = fleet.submit(
            "urgent", StepSpec(1, task_resources(8)), queue_name=URGENT
        )
        fleet.run_for(0.05)
        fleet.submit("other", StepSpec(4, task_resources(2)), seconds=9.0)
        fleet.run_for(0.5)
        assert len(fleet.running(urgent)) == 1

    def test_urgent_step_preempts_within_its_own_teams_limit(self) -> None:
        fleet = Fleet()
        fleet.scheduler.set_configuration(
            make_configuration(maximum=Resources(16_000, 0, 0))
        )
        step = StepSpec(4, task_resources(4), saves_progress=True)
        slow = fleet.submit("slow", step, seconds=9.0)
        fleet.run_for(0.5)
        urgent = fleet.submit("urgent", StepSpec(2, ONE), queue_name=URGENT)
        fleet.run_for(0.5)
        assert len(fleet.stops) == 1
        assert len(fleet.running(urgent)) == 2
        assert len(fleet.running(slow)) == 3


class TestOutdatedNotifications:
    def test_outdated_notification_does_not_restart_an_ended_job(self) -> None:
        # Regression (bench, huaman-desk, trouble-3, seed 842429574495): a member
        # announced the job at once, and the store's watch delivered it again after an
        # outage, when it had ended.
        fleet = Fleet()
        job = fleet.submit("a", StepSpec(1, ONE), seconds=0.2)
        record = fleet.records[job]
        fleet.run_for(1.0)
        assert fleet.state(job) is JobState.COMPLETED
        assert fleet.scheduler.accept(record, 1)
        fleet.run_for(1.0)
        assert len(fleet.starts) == 1
        assert fleet.state(job) is JobState.COMPLETED


class TestCommitOrder:
    def test_ended_jobs_are_stored_before_the_progress_of_others(self) -> None:
        # Regression (bench, huaman-desk-grown, scale-2): with more changes than one
        # transaction holds, jobs were published as completed up to 7 s late.
        fleet = Fleet()
        fleet.is_store_available = False
        for number in range(30):
            steps = StepSpec(1, ONE), StepSpec(1, ONE, after=(0,))
            fleet.submit(f"long{number}", *steps, seconds=0.4)
        fleet.run_for(0.6)
        last = fleet.submit("last", StepSpec(1, ONE), seconds=0.1)
        fleet.run_for(0.2)
        changes = fleet.scheduler.changes.take_batch(31, 0.0)
        assert [ending.job for ending in changes.endings] == [last]
        assert len(changes.progress) == 13
        assert changes.acknowledged_ends == {}


class TestRepliesOutOfOrder:
    def test_outdated_poll_reply_does_not_restore_a_run(self) -> None:
        # Two polls of a worker may be in flight at once, on separate connections.
        fleet = Fleet(workers=1)
        worker = WorkerId("w0")
        steps = StepSpec(1, ONE), StepSpec(1, ONE, after=(0,))
        job = fleet.submit("a", *steps, seconds=1.0)
        fleet.run_for(0.5)
        overtaken = fleet.engines[worker].poll(fleet.worker_token(worker), 0, None)
        fleet.run_for(1.0)
        fleet.scheduler.poll_answered(worker, overtaken, fleet.now_s)
        held = fleet.scheduler.ledger.workers[worker].runs
        assert [(task.job, task.step) for task, _ in held] == [(job, 1)]

    # Guards against a run that counts as running after its end, because a reply that
    # was made in the same millisecond, but before the end, comes after that end.
    def test_reply_of_the_same_millisecond_does_not_restore_an_ended_run(self) -> None:
        fleet = Fleet(workers=1)
        worker = WorkerId("w0")
        job = fleet.submit("a", StepSpec(1, ONE), seconds=0.2)
        fleet.run_for(0.1)
        overtaken = fleet.engines[worker].poll(fleet.worker_token(worker), 0, None)
        assert [report.task.job for report in overtaken.runs] == [job]
        fleet.is_store_available = False
        fleet.run_for(0.5)
        clock_ms = fleet.scheduler.ledger.workers[worker].clock_ms
        overtaken = msgspec.structs.replace(overtaken, clock_ms=clock_ms)
        fleet.scheduler.poll_answered(worker, overtaken, fleet.now_s)
        assert not fleet.scheduler.ledger.workers[worker].runs

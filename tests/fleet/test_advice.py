"""Tests of advice: the workers asked about, tickets, and requests in flight."""

import math

import pytest

from fleet_support import SLOW, URGENT, Fleet, make_configuration, queue, task_resources
from gooseberrydeck_fleet.advice import Advice, AdviceCache
from gooseberrydeck_fleet.commands import AskAdvice, StartRun
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.work import JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import StartOutcome

ONE = task_resources()
QUICK = AdvicePolicy(0.021, 0.0003, 2.5)
LONG = AdvicePolicy(0.4, 0.0057, 2.5)
CHEAP = 35  # Half of the fixed cost of a long request, divided by the cost of a worker.


def advised_fleet(workers: int = 6) -> Fleet:
    fleet = Fleet(workers)
    policies = queue(URGENT, 0, QUICK), queue(SLOW, 2, LONG)
    fleet.configuration = make_configuration(*policies)
    fleet.scheduler.set_configuration(fleet.configuration)
    return fleet


class TestAdviceCache:
    def test_ticket_is_not_used_shortly_before_it_expires(self) -> None:
        cache = AdviceCache()
        worker = WorkerId("w")
        cache.record_request([worker])
        cache.record_response(Advice({worker: "t"}, 2.5), {worker: 7}, 10.0, 0.0, 10.0)
        assert cache.ticket(worker, 7, 12.0) == "t"
        assert cache.ticket(worker, 7, 12.4) is None

    def test_ticket_belongs_to_one_incarnation_of_a_worker(self) -> None:
        cache = AdviceCache()
        worker = WorkerId("w")
        cache.record_request([worker])
        cache.record_response(Advice({worker: "t"}, 2.5), {worker: 7}, 10.0, 0.0, 10.0)
        assert cache.ticket(worker, 8, 10.1) is None

    def test_worker_missing_from_response_is_rejected(self) -> None:
        cache = AdviceCache()
        cache.record_request([WorkerId("a"), WorkerId("b")])
        cache.record_response(Advice({WorkerId("a"): "t"}, 0.0), {}, 10.0, 2.0, 10.0)
        assert cache.allowed == {"a"}
        assert cache.rejected == {"b"}
        assert cache.ticket(WorkerId("a"), 0, 11.0) == "t"


class TestAdviceRequests:
    def test_tasks_start_only_on_allowed_workers(self) -> None:
        fleet = advised_fleet()
        fleet.allowed = lambda worker: worker in ("w1", "w3")
        job = fleet.submit("a", StepSpec(6, ONE), queue_name=URGENT)
        fleet.run_for(2.0)
        assert {worker for _, _, worker in fleet.starts} <= {"w1", "w3"}
        assert fleet.state(job) is JobState.COMPLETED

    def test_urgent_step_requests_advice_on_every_worker(self) -> None:
        fleet = advised_fleet()
        fleet.submit("a", StepSpec(1, ONE), queue_name=URGENT)
        fleet.run_for(0.1)
        assert [len(request.workers) for request in fleet.advice_requests] == [6]

    def test_batch_step_requests_advice_on_as_many_workers_as_needed(self) -> None:
        # Requests are long enough that naming 35 workers at once costs little more.
        fleet = advised_fleet(workers=70)
        fleet.submit("a", StepSpec(1, task_resources(20)))
        fleet.submit("b", StepSpec(16, task_resources(20)))
        fleet.run_for(0.1)
        first, second = fleet.advice_requests[:2]
        assert len(first.workers) == CHEAP
        assert len(second.workers) == math.ceil(1.3 * 16 / 0.35)

    def test_batch_step_learns_of_busy_workers_beside_those_with_room(self) -> None:
        # Otherwise each worker that becomes free costs another long request.
        fleet = advised_fleet(workers=4)
        fleet.submit("full", StepSpec(3, task_resources(32)), seconds=2.0)
        fleet.run_for(0.2)
        fleet.advice_requests.clear()
        fleet.submit("a", StepSpec(2, task_resources(32)))
        fleet.run_for(0.2)
        assert [len(each.workers) for each in fleet.advice_requests] == [4]

    def test_no_more_advice_is_requested_on_rejected_workers(self) -> None:
        fleet = advised_fleet()
        fleet.allowed = lambda _worker: False
        fleet.submit("a", StepSpec(1, ONE), queue_name=URGENT)
        fleet.run_for(5.0)
        assert len(fleet.advice_requests) == 1

    def test_no_advice_is_requested_without_free_capacity(self) -> None:
        fleet = advised_fleet(workers=1)
        step = StepSpec(1, task_resources(32))
        fleet.submit("a", step, seconds=3.0)
        fleet.run_for(0.2)
        fleet.submit("b", step)
        requested = len(fleet.advice_requests)
        fleet.run_for(2.0)
        assert len(fleet.advice_requests) == requested

    def test_refused_ticket_is_renewed(self) -> None:
        fleet = advised_fleet(workers=1)
        job = fleet.submit("a", StepSpec(1, ONE), queue_name=URGENT)
        commands = fleet.scheduler.decide(fleet.now_s, 0.0)
        for command in commands:
            fleet.execute(command)
        (start,) = fleet.scheduler.decide(fleet.now_s, 0.0)
        assert isinstance(start, StartRun)
        assert start.request.ticket == "t"
        fleet.scheduler.start_answered(
            start.worker,
            start.request.task,
            start.request.run,
            StartOutcome.BAD_TICKET,
            fleet.now_s,
        )
        fleet.run_for(2.0)
        assert len(fleet.advice_requests) == 2
        assert fleet.state(job) is JobState.COMPLETED

    @pytest.mark.parametrize("max_in_flight", [1, 2, 6])
    def test_half_of_the_requests_in_flight_are_reserved_for_urgent_steps(
        self, max_in_flight: int
    ) -> None:
        fleet = advised_fleet()
        fleet.scheduler.set_max_advice_requests(max_in_flight)
        for number in range(8):
            fleet.submit(f"slow{number}", StepSpec(1, ONE))
        requested = fleet.scheduler.decide(fleet.now_s, 0.0)
        advice_requests = [each for each in requested if isinstance(each, AskAdvice)]
        assert len(advice_requests) == max(1, max_in_flight // 2)
        fleet.submit("urgent", StepSpec(1, ONE), queue_name=URGENT)
        more = fleet.scheduler.decide(fleet.now_s, 0.0)
        urgent = [each for each in more if isinstance(each, AskAdvice)]
        assert [each.is_urgent for each in urgent] == [True] * (max_in_flight > 1)

    def test_failed_advice_request_is_repeated_after_a_delay(self) -> None:
        fleet = advised_fleet()
        fleet.submit("a", StepSpec(1, ONE), queue_name=URGENT)
        (request,) = fleet.scheduler.decide(fleet.now_s, 0.0)
        assert isinstance(request, AskAdvice)
        now_s = fleet.now_s
        fleet.scheduler.advice_answered(request.step, None, now_s, now_s)
        assert fleet.scheduler.decide(now_s + 0.01, 0.0) == []
        assert len(fleet.scheduler.decide(now_s + 0.2, 0.0)) == 1

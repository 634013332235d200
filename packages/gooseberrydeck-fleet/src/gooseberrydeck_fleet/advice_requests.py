"""Scheduling of the requests for advice.

Advice for batch work is slow, and the service handles one request at a time for each
member, so part of the capacity is kept free for urgent steps: as much as they need by
what they have lately used.
"""

import math

from gooseberrydeck_fleet.advice import Advice, advice_duration_s
from gooseberrydeck_fleet.commands import AskAdvice
from gooseberrydeck_fleet.configuration import AdvicePolicy
from gooseberrydeck_fleet.ids import StepRef, WorkerId
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.state import Step, Worker

__all__ = ["AdviceRequests"]

ADVICE_RETRY_S = 0.1
"""Delay before a failed advice request is repeated."""

ADVICE_TIMEOUT_MARGIN_S = 1.0
"""Added to the timeout of a request to cover requests that are served before it."""

ADVICE_ALLOWED_SHARE = 0.35
"""Assumed share of workers that a policy allows; determines how many to ask about."""

CHEAP_ADVICE_SHARE = 0.5
"""A request names more workers than it needs up to this share of its fixed cost.

The fixed cost is ``AdvicePolicy.decide_s``. What a request finds out about a worker
stays valid, and saves later requests.
"""

MAX_ADVICE_WORKERS = 100
"""Maximum number of workers that the service accepts in one request."""

MAX_RESERVED_SHARE = 0.5
"""Largest share of the allowed requests in flight that is reserved for urgent steps."""

URGENT_LOAD_FACTOR = 2.0
"""Requests reserved for each that urgent steps have lately had in flight on average.

Urgent load may double within a second.
"""

MIN_RESERVED = 4
"""Least number of reserved requests, as far as ``MAX_RESERVED_SHARE`` permits.

An urgent step that finds all requests in flight waits for a slow one to end, which
takes up to a second divided by their number.
"""

URGENT_LOAD_PERIOD_S = 3.0
"""Period over which the urgent requests in flight are averaged."""

CAPACITY_MARGIN = 1.3
"""Capacity to ask about for each wanted task.

Other tasks take some of the capacity before the response arrives.
"""


URGENT_PAUSE_S = 5.0
"""Time without urgent requests after which none are reserved.

An urgent step that comes then may have to wait for one slow request. With two members
left, the only request for batch work was too few: jobs had not started after 90 s.
"""


class UrgentLoad:
    """The number of urgent requests in flight, averaged over the last seconds."""

    def __init__(self) -> None:
        """Start without load."""
        self.mean = 0.0
        self.in_flight = 0
        self.at_s: float | None = None
        self.last_s = -math.inf

    @property
    def is_paused(self) -> bool:
        """Return True if there has been no urgent request for long."""
        return self.at_s is not None and self.at_s - self.last_s > URGENT_PAUSE_S

    def observe(self, in_flight: int, now_s: float) -> None:
        """Record the number of urgent requests in flight from now on.

        A time before the last one is ignored.
        """
        if self.at_s is None:
            self.at_s = self.last_s = now_s
        if in_flight or self.in_flight:
            self.last_s = max(self.last_s, now_s)
        elapsed_s = now_s - self.at_s
        if elapsed_s > 0:
            weight = -math.expm1(-elapsed_s / URGENT_LOAD_PERIOD_S)
            self.mean += weight * (self.in_flight - self.mean)
            self.at_s = now_s
        self.in_flight = in_flight


class AdviceRequests:
    """Create advice requests and track those in flight.

    Part of the allowed requests in flight are reserved for urgent steps.
    """

    def __init__(self, placer: Placer) -> None:
        """Create a tracker that allows one request in flight."""
        self.placer = placer
        self.max_in_flight = 1
        self.in_flight: dict[StepRef, bool] = {}
        self.urgent_load = UrgentLoad()

    def observe(self, now_s: float) -> None:
        """Measure how many urgent requests are in flight."""
        urgent = len(self.in_flight) - self.slow_in_flight
        self.urgent_load.observe(urgent, now_s)

    @property
    def reserved(self) -> int:
        """The number of requests that are reserved for urgent steps."""
        if self.urgent_load.is_paused:
            return 0
        most = self.max_in_flight - int((1 - MAX_RESERVED_SHARE) * self.max_in_flight)
        wanted = math.ceil(URGENT_LOAD_FACTOR * self.urgent_load.mean)
        return min(most, max(MIN_RESERVED, wanted))

    def ask(self, step: Step, wanted: int, now_s: float) -> AskAdvice | None:
        """Return an advice request that could help a step to start, or None."""
        policy = step.job.queue.advice
        cache = step.advice
        if policy is None or cache.pending or now_s < cache.retry_s:
            return None
        is_urgent = step.job.queue.priority == 0
        if not self.has_capacity(is_urgent):
            return None
        usable = self.placer.usable(step)
        workers = self.choose_workers(step, usable, wanted, now_s)
        if not workers:
            return None
        cache.record_request(workers)
        self.in_flight[step.ref] = is_urgent
        duration_s = advice_duration_s(policy, len(workers))
        timeout_s = 2 * duration_s + ADVICE_TIMEOUT_MARGIN_S
        return AskAdvice(step.ref, tuple(workers), is_urgent, timeout_s)

    def completed(self, step: StepRef) -> None:
        """Remove a request from those in flight."""
        self.in_flight.pop(step, None)

    def record_response(
        self, step: Step, advice: Advice | None, asked_s: float, now_s: float
    ) -> None:
        """Store the advice for a step; None means that the request failed."""
        if advice is None:
            step.advice.record_failure(now_s + ADVICE_RETRY_S)
            return
        policy = step.job.queue.advice
        valid_s = policy.valid_s if policy is not None else 0.0
        workers = self.placer.ledger.workers
        incarnations = {
            worker_id: workers[worker_id].born_ms
            for worker_id in step.advice.pending
            if worker_id in workers
        }
        step.advice.record_response(advice, incarnations, asked_s, valid_s, now_s)

    def has_capacity(self, is_urgent: bool) -> bool:
        """Return True if another request may be sent now."""
        return self.free_requests(is_urgent) > 0

    def free_requests(self, is_urgent: bool = True) -> int:
        """Return how many more requests may be sent now."""
        free = self.max_in_flight - len(self.in_flight)
        if is_urgent:
            return max(0, free)
        max_slow = max(1, self.max_in_flight - self.reserved)
        return max(0, min(free, max_slow - self.slow_in_flight))

    @property
    def slow_in_flight(self) -> int:
        """The number of requests in flight that are not for urgent steps."""
        return sum(1 for is_urgent in self.in_flight.values() if not is_urgent)

    def choose_workers(
        self, step: Step, usable: list[Worker], wanted: int, now_s: float
    ) -> list[WorkerId]:
        """Return the workers to ask about, with previously allowed workers first."""
        policy = step.job.queue.advice
        cache = step.advice
        if policy is None:
            return []
        open_workers = [
            worker
            for worker in usable
            if worker.id not in cache.rejected
            and cache.ticket(worker.id, worker.born_ms, now_s) is None
        ]
        cheap = cheap_workers(policy)
        if step.job.queue.priority == 0 and len(open_workers) <= cheap:
            return [worker.id for worker in open_workers]
        ranked = sorted(
            self.placer.with_room(open_workers, step),
            key=lambda pair: (pair[1].id not in cache.allowed, -pair[0]),
        )
        chosen: dict[WorkerId, None] = {}
        expected = 0.0
        for slots, worker in ranked[:MAX_ADVICE_WORKERS]:
            share = 1.0 if worker.id in cache.allowed else ADVICE_ALLOWED_SHARE
            expected += share * slots
            chosen[worker.id] = None
            if expected >= CAPACITY_MARGIN * wanted and len(chosen) >= cheap:
                break
        if chosen:
            # Workers without room are added, since the request is sent anyway.
            unknown = (each.id for each in open_workers if each.id not in cache.allowed)
            for worker_id in unknown:
                if len(chosen) >= cheap:
                    break
                chosen[worker_id] = None
        return list(chosen)


def cheap_workers(policy: AdvicePolicy) -> int:
    """Return how many workers a request may name at little extra cost."""
    if not policy.per_worker_s:
        return MAX_ADVICE_WORKERS
    count = CHEAP_ADVICE_SHARE * policy.decide_s / policy.per_worker_s
    return min(MAX_ADVICE_WORKERS, int(count))

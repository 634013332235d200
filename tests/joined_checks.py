"""Checks of the rules over what a joined fleet has sent and its workers have run."""

import msgspec

from fleet_support import CORE
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.worker_calls import StartRequest
from gooseberrydeck_standins.run_spans import (
    NOTICE_S,
    find_duplicate_runs,
    find_starts_after_end,
    find_starts_beyond_attempts,
)
from joined_support import ATTEMPTS, JoinedFleet

WITHDRAWAL_S = 0.05
"""Time in which a start may still leave the holder that has just learned of what
forbids it."""

CHANGE_NOTICE_S = 2.0
"""Time in which starts may follow a former limit, or a worker that begins to drain."""

FORBIDDEN = "start after the end refused", "gap in the ends of a worker"
"""Lines that report what must not happen while no holder changes."""


class CheckedFleet(JoinedFleet):
    """A joined fleet that notes each broken rule."""

    def order_sent(self, worker: WorkerId, request: StartRequest) -> None:
        """Check that what the holder knows doesn't forbid a start that it sends."""
        super().order_sent(worker, request)
        task, now_s = request.task, self.loop.now_s
        known_s = self.known_end_s(request)
        if known_s is not None and now_s > known_s + WITHDRAWAL_S:
            late_s = now_s - known_s
            self.found.append(f"{task} sent {late_s:.2f} s after its end was listed")
        if self.is_store_calm():
            cancelled_s = self.cancelled_s.get(task.job)
            if cancelled_s is not None and now_s > cancelled_s + NOTICE_S:
                late_s = now_s - cancelled_s
                self.found.append(f"{task} sent {late_s:.2f} s after its cancelling")
            drained_s = self.drained_s.get(worker)
            if drained_s is not None and now_s > drained_s + CHANGE_NOTICE_S:
                late_s = now_s - drained_s
                self.found.append(f"{task} sent {late_s:.2f} s after {worker} drained")

            evacuated_s = self.evacuated_s.get(self.data_centre_of(worker))
            if evacuated_s is not None and now_s > evacuated_s + CHANGE_NOTICE_S:
                late_s = now_s - evacuated_s
                self.found.append(f"{task} sent {late_s:.2f} s after an evacuation")

    def known_end_s(self, request: StartRequest) -> float | None:
        """Return since when the holder knows that a task, or its job, has ended."""
        task, known = request.task, self.task.known_ends
        if task.job in known.ended_jobs:
            return known.ended_jobs[task.job][1]
        steps = known.listed.get(task.job, {})
        end = steps.get(task.step_ref, {}).get(task.number)
        return None if end is None else end.listed_s

    def run_started(self, request: StartRequest) -> None:
        """Check that a run keeps its team within the limits that may be in force."""
        maximum = self.highest_maximum(self.sent_s[request.task, request.run])
        if maximum is None:
            return
        used = sum(
            self.spec(task).resources.cpu_millis
            for host in self.hosts
            if not host.is_down
            for task in host.engine.runs
        )
        one_more = self.spec(request.task).resources.cpu_millis
        if used > maximum * CORE + one_more:
            self.found.append(f"{request.task} brought its team to {used} of {maximum}")

    def highest_maximum(self, sent_s: float) -> int | None:
        """Return the highest limit since a start was sent, or None for none."""
        since_s = sent_s - CHANGE_NOTICE_S
        former = [cores for at_s, cores in self.maxima if at_s <= since_s]
        cores = former[-1:] + [each for at_s, each in self.maxima if at_s > since_s]
        return None if 0 in cores else max(cores)

    def violations(self) -> list[str]:
        """Return the broken rules so far."""
        began_and_spans = list(self.spans())
        spans = [span for _, span in began_and_spans]
        # What a delay on the way must not do either, unless another process of the
        # worker executes an order that was meant for the former one.
        executed = [
            msgspec.structs.replace(span, sent_s=None)
            for began_s, span in began_and_spans
            if span.sent_s is None or span.sent_s >= began_s
        ]
        return [
            *self.found,
            *(
                violation
                for host in self.hosts
                for engine in host.engines
                for violation in engine.violations
            ),
            *find_duplicate_runs(spans),
            *find_starts_after_end(spans, self.completed_s),
            *find_starts_beyond_attempts(spans, ATTEMPTS),
            *(
                f"executed: {each}"
                for each in find_starts_after_end(executed, self.completed_s)
                + find_starts_beyond_attempts(executed, ATTEMPTS)
            ),
            *(event for event in FORBIDDEN if self.logged(event)),
        ]

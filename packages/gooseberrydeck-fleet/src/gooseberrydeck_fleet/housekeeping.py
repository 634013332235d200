"""What a scheduler does at intervals: expired leases, stalled runs, departures."""

from collections.abc import Callable

from gooseberrydeck_fleet.commands import CommandQueue, ThrottleRun
from gooseberrydeck_fleet.evacuation import Evacuator
from gooseberrydeck_fleet.late_starts import LateStarts, may_start_late
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.losses import LossReason, SilentWorker
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.poll_replies import PollReplyHandler
from gooseberrydeck_fleet.run_ends import RunEndHandler
from gooseberrydeck_fleet.state import (
    Run,
    RunState,
    Step,
    StopReason,
    Worker,
)
from gooseberrydeck_fleet.takeover import Takeover
from gooseberrydeck_fleet.throttling import Throttler

__all__ = ["Housekeeper"]

LEASE_EXPIRY_MARGIN_S = 0.2
"""Extra wait after the computed expiry of all leases of an unreachable worker."""

STALL_S = 2.5
"""A run that reports no new progress for longer than this counts as stalled, unless its
task is long or has stalled before."""

MISSED_REPORTS = 3
"""A run may miss this many steps of its progress, which is shown in whole percent."""

MAX_STALL_DOUBLINGS = 5
"""How often the time without new progress doubles for a task that stalls repeatedly."""

ADOPTED_STALL_DOUBLINGS = 2
"""The same for a predecessor's runs, whose pace so far isn't known."""


class Housekeeper:
    """Act on everything that depends on time alone, such as expired leases."""

    def __init__(
        self,
        ledger: Ledger,
        placer: Placer,
        ends: RunEndHandler,
        poll_replies: PollReplyHandler,
        takeover: Takeover,
        late_starts: LateStarts,
        evacuator: Evacuator,
        ask_advice: Callable[[Step, int, float], None],
        commands: CommandQueue,
    ) -> None:
        """Create a housekeeper that adds its commands to ``commands``."""
        self.ledger = ledger
        self.placer = placer
        self.ends = ends
        self.poll_replies = poll_replies
        self.takeover = takeover
        self.late_starts = late_starts
        self.evacuator = evacuator
        self.throttler = Throttler()
        self.ask_advice = ask_advice
        self.commands = commands
        self.silent_workers: list[SilentWorker] = []

    def run(self, now_s: float) -> None:
        """Check all workers and runs."""
        self.placer.expire(now_s)
        self.expire_workers(now_s)
        self.forget_departed()
        self.late_starts.review(now_s)
        self.takeover.expire_predecessor(now_s)
        self.stop_stalled(now_s)
        # Quarantines may have ended.
        self.ledger.have_workers_changed = True
        self.placer.refresh(now_s)
        self.evacuate(now_s)
        self.throttle_runs(now_s)

    def expire_workers(self, now_s: float) -> None:
        """Count runs as lost on unreachable workers whose leases have expired.

        A successor would extend the leases, so none may have claimed before they
        expired.
        """
        for worker in list(self.ledger.workers.values()):
            if (
                worker.is_reachable
                or now_s < worker.lease_expiry_s + LEASE_EXPIRY_MARGIN_S
                or self.ledger.authority_confirmed_s < worker.lease_expiry_s
            ):
                continue
            if not worker.has_lapsed:
                # It is removed from the record, and has to be added before a start.
                worker.has_lapsed = True
                worker.is_recorded = False
            if worker.runs or worker.has_orphaned_runs or not worker.has_reported:
                if worker.may_have_restarted and not worker.has_reported:
                    self.silent_workers.append(describe_silence(worker, now_s))
                late = self.find_late_runs(worker, now_s)
                self.poll_replies.lose_runs(worker, LossReason.LEASE_LAPSED, late)
                worker.has_reported = True
                self.takeover.release_held_jobs()
            if not worker.is_registered:
                del self.ledger.workers[worker.id]

    def find_late_runs(self, worker: Worker, now_s: float) -> set[Run]:
        """Return the runs that may start, or run, late on a worker."""
        if not worker.is_registered:
            return set()
        late_run_s = self.late_starts.late_run_s
        return {
            run
            for run in worker.unanswered_starts
            if may_start_late(run) and now_s < run.started_s + late_run_s
        }

    def forget_departed(self) -> None:
        """Remove workers that have left and have no runs."""
        for worker in list(self.ledger.workers.values()):
            if (
                not worker.is_registered
                and not worker.is_reachable
                and worker.has_reported
                and not worker.runs
                and not worker.has_orphaned_runs
            ):
                del self.ledger.workers[worker.id]

    def stop_stalled(self, now_s: float) -> None:
        """Stop stalled runs, so that they restart on other workers.

        A task that stalls again is probably longer than it was estimated. That is no
        evidence against its worker.
        """
        for worker in self.ledger.workers.values():
            if not worker.is_reachable:
                continue
            for run in worker.runs.values():
                is_own = self.ledger.run_numbers.is_own(run.number)
                if not is_stalled(run, is_own, now_s):
                    continue
                self.ends.request_stop(run, StopReason.STALLED)
                if not run.task.stalls:
                    self.ledger.health.quarantine(worker.id, now_s)
                run.task.stalls += 1

    def evacuate(self, now_s: float) -> None:
        """Move runs off draining workers, requesting advice for those with no place."""
        for worker in self.ledger.workers.values():
            if worker.entry.is_draining and worker.runs and worker.is_reachable:
                for step in self.evacuator.evacuate(worker, now_s):
                    self.ask_advice(step, 1, now_s)

    def throttle_runs(self, now_s: float) -> None:
        """Throttle best-effort runs where they endanger a latency target."""
        for worker in self.ledger.workers.values():
            if worker.is_reachable:
                for run, percent in self.throttler.adjust(worker, now_s):
                    self.commands.add(
                        ThrottleRun(worker.id, run.task.ref, run.number, percent)
                    )


def describe_silence(worker: Worker, now_s: float) -> SilentWorker:
    """Return what is known of a worker whose leases count as expired unseen."""
    return SilentWorker(
        worker.id,
        worker.entry.born_ms,
        now_s,
        worker.last_reply_s,
        worker.lease_expiry_s,
        worker.may_hold_longest_lease,
        len(worker.inherited_starts),
    )


def is_stalled(run: Run, is_own: bool, now_s: float) -> bool:
    """Return True if a run should have reported progress recently but hasn't.

    Best-effort runs and gang members are exempt, and so are long-running tasks that
    report full progress. ``is_own`` is False for a run of a predecessor.
    """
    silent_s = now_s - run.progress_changed_s
    if silent_s <= STALL_S or run.state is not RunState.RUNNING:
        return False
    spec = run.task.step.spec
    if spec.uses_leftover or spec.is_gang:
        return False
    if spec.is_standing and run.progress >= 100:
        return False
    doublings = min(run.task.stalls, MAX_STALL_DOUBLINGS)
    if not is_own:
        doublings = max(doublings, ADOPTED_STALL_DOUBLINGS)
    least_s = max(STALL_S, MISSED_REPORTS * percent_interval_s(run))
    return silent_s > least_s * (1 << doublings)


def percent_interval_s(run: Run) -> float:
    """Return how long a run is expected to take for each percent of its task."""
    step = run.task.step
    expected_s = step.durations.typical_s() or step.spec.estimate_s
    return max(expected_s / 100, run.seconds_per_percent or 0.0)

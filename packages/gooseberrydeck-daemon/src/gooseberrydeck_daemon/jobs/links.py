"""The owner's connection to one worker, with its adoption state and command queues."""

from collections.abc import Callable

from gooseberrydeck_coordination.adoption import WorkerAdoption
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import AuthorityLostError
from gooseberrydeck_coordination.ids import Epoch, HostName, ShardId, TaskId
from gooseberrydeck_coordination.ownership import OwnershipView
from gooseberrydeck_coordination.quarantine import Quarantine
from gooseberrydeck_platform.workers import (
    Adoption,
    Fence,
    StartResult,
    TaskReport,
    TaskStart,
    Worker,
)
from gooseberrydeck_scheduling import WorkerInfo

__all__ = ["Authority", "WorkerLink"]

CALL_TIMEOUT_S = 2.0
RENEWALS_PER_LEASE = 3.0


class Authority:
    """Checks whether an owner may still act under one epoch of a shard.

    It is checked immediately before each call to a worker.
    """

    def __init__(
        self, view: Callable[[], OwnershipView], shard: ShardId, epoch: Epoch
    ) -> None:
        """Check one epoch of a shard against the newest ``view``."""
        self.view = view
        self.shard = shard
        self.epoch = epoch

    @property
    def fence(self) -> Fence:
        """Return the fencing token to send with calls to workers."""
        return Fence(self.shard, self.epoch)

    def holds(self) -> bool:
        """Return True if the owner may currently act under its epoch."""
        view = self.view()
        owned = view.owned.get(self.shard)
        is_same = owned is not None and owned.epoch == self.epoch
        return is_same and view.may_act(self.shard)

    def require(self) -> Fence:
        """Return the fencing token, or raise ``AuthorityLostError``."""
        if self.view().require(self.shard) != self.epoch:
            raise AuthorityLostError(self.shard)
        return self.fence


class WorkerLink:
    """Pending commands for one worker and the time of the last lease renewal.

    The methods named ``call_...`` block. They run in an executor, one at a time.
    """

    def __init__(
        self,
        info: WorkerInfo,
        worker: Worker,
        quarantine: Quarantine,
        authority: Authority,
        clock: Clock,
    ) -> None:
        """Create a link to a worker that has not been adopted yet."""
        self.info = info
        self.worker = worker
        self.authority = authority
        self.clock = clock
        self.adoption = WorkerAdoption(info.host, quarantine, clock)
        self.is_busy = False
        self.renewed_s = float("-inf")
        self.retry_s = float("-inf")
        self.starts: list[TaskStart] = []
        self.stops: list[TaskId] = []
        self.checkpoints: list[TaskId] = []
        self.acknowledged: set[TaskId] = set()

    @property
    def host(self) -> HostName:
        """Return the worker's host name."""
        return self.info.host

    def is_renewal_due(self, lease_s: float) -> bool:
        """Return True if the task leases should be renewed now."""
        return self.clock.monotonic() - self.renewed_s >= lease_s / RENEWALS_PER_LEASE

    def call_adopt(self) -> Adoption:
        """Raise the worker's fencing token and return the tasks that it holds."""
        return self.worker.adopt(self.authority.require(), CALL_TIMEOUT_S)

    def call_start(self, starts: list[TaskStart]) -> tuple[StartResult, ...]:
        """Start tasks; the authority is checked immediately before the call."""
        fence = self.authority.require()
        self.adoption.record_grant_sent()
        return self.worker.start(fence, starts, CALL_TIMEOUT_S)

    def call_renew(self, tasks: list[TaskId], lease_s: float) -> tuple[TaskReport, ...]:
        """Renew task leases; the authority is checked immediately before the call."""
        fence = self.authority.require()
        self.adoption.record_grant_sent()
        return self.worker.renew(fence, tasks, lease_s, CALL_TIMEOUT_S)

    def call_end(
        self, stops: list[TaskId], checkpoints: list[TaskId], acknowledged: list[TaskId]
    ) -> None:
        """Stop and checkpoint tasks, and acknowledge ended ones."""
        fence = self.authority.require()
        if stops:
            self.worker.stop(fence, stops, CALL_TIMEOUT_S)
        for task in checkpoints:
            self.worker.checkpoint(fence, task, CALL_TIMEOUT_S)
        if acknowledged:
            self.worker.acknowledge(fence, acknowledged, CALL_TIMEOUT_S)

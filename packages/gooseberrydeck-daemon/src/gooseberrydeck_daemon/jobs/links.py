"""The owner's link to one worker: adoption, and one call at a time."""

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
    """Ask, immediately before each call, whether the owner may still act."""

    def __init__(
        self, view: Callable[[], OwnershipView], shard: ShardId, epoch: Epoch
    ) -> None:
        """Ask ``view`` about one epoch of a shard."""
        self.view = view
        self.shard = shard
        self.epoch = epoch

    @property
    def fence(self) -> Fence:
        """Return the fence to call workers under."""
        return Fence(self.shard, self.epoch)

    def holds(self) -> bool:
        """Tell whether the owner may act now under this epoch."""
        view = self.view()
        owned = view.owned.get(self.shard)
        is_same = owned is not None and owned.epoch == self.epoch
        return is_same and view.may_act(self.shard)

    def require(self) -> Fence:
        """Return the fence, or raise ``AuthorityLostError``."""
        if self.view().require(self.shard) != self.epoch:
            raise AuthorityLostError(self.shard)
        return self.fence


class WorkerLink:
    """What is to be told to one worker, and when it was last renewed.

    The methods named ``call_...`` block; they run in an executor, one at a time.
    """

    def __init__(
        self,
        info: WorkerInfo,
        worker: Worker,
        quarantine: Quarantine,
        authority: Authority,
        clock: Clock,
    ) -> None:
        """Begin with a worker of which nothing is known."""
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
        """Return the worker's name."""
        return self.info.host

    def is_renewal_due(self, lease_s: float) -> bool:
        """Tell whether leases should be renewed now."""
        return self.clock.monotonic() - self.renewed_s >= lease_s / RENEWALS_PER_LEASE

    def call_adopt(self) -> Adoption:
        """Raise the worker's fence and return what it holds."""
        return self.worker.adopt(self.authority.require(), CALL_TIMEOUT_S)

    def call_start(self, starts: list[TaskStart]) -> tuple[StartResult, ...]:
        """Start tasks; the authority is checked immediately before."""
        fence = self.authority.require()
        self.adoption.record_grant_sent()
        return self.worker.start(fence, starts, CALL_TIMEOUT_S)

    def call_renew(self, tasks: list[TaskId], lease_s: float) -> tuple[TaskReport, ...]:
        """Renew leases; the authority is checked immediately before."""
        fence = self.authority.require()
        self.adoption.record_grant_sent()
        return self.worker.renew(fence, tasks, lease_s, CALL_TIMEOUT_S)

    def call_end(
        self, stops: list[TaskId], checkpoints: list[TaskId], acknowledged: list[TaskId]
    ) -> None:
        """Stop and checkpoint tasks, and let recorded ones be forgotten."""
        fence = self.authority.require()
        if stops:
            self.worker.stop(fence, stops, CALL_TIMEOUT_S)
        for task in checkpoints:
            self.worker.checkpoint(fence, task, CALL_TIMEOUT_S)
        if acknowledged:
            self.worker.acknowledge(fence, acknowledged, CALL_TIMEOUT_S)

"""What the jobs task needs of the other parts of a member."""

from collections.abc import Callable, Collection, Iterable, Mapping
from concurrent.futures import Executor, Future
from typing import Any, TypeVar

from gooseberrydeck_coordination.ids import HostName, QueueName, ShardId, TeamName
from gooseberrydeck_coordination.ownership import OwnershipView
from gooseberrydeck_daemon.jobs.messages import CallDone
from gooseberrydeck_daemon.jobs.units import ShardUnits
from gooseberrydeck_platform.workers import Worker
from gooseberrydeck_scheduling import QueueRules, WorkerInfo

__all__ = ["CellRules", "InboxRunner", "ShardDependencies"]

T = TypeVar("T")


class CellRules:
    """What the configuration tells the scheduler; replaced as a whole."""

    def __init__(
        self,
        queues: Iterable[QueueRules],
        weights: Mapping[TeamName, float],
        limits: Mapping[TeamName, int],
    ) -> None:
        """Keep queues, shares and limits."""
        self.queues = {queue.name: queue for queue in queues}
        self.weights = dict(weights)
        self.limits = dict(limits)

    def queue(self, name: QueueName) -> QueueRules | None:
        """Return the rules of a queue."""
        return self.queues.get(name)


class ShardDependencies:
    """What the task needs of the other parts of the member."""

    def __init__(
        self,
        view: Callable[[], OwnershipView],
        workers: Callable[[], Mapping[HostName, WorkerInfo]],
        connect: Callable[[HostName], Worker],
        units: Callable[[ShardId], ShardUnits],
        rules: Callable[[], CellRules],
        endpoints: Callable[[], Collection[HostName]] = frozenset,
    ) -> None:
        """Keep the sources; each is asked anew whenever it matters.

        ``endpoints`` returns the hosts that are certainly no workers.
        """
        self.view = view
        self.workers = workers
        self.connect = connect
        self.units = units
        self.rules = rules
        self.endpoints = endpoints

    def workers_of(self, shard: ShardId) -> list[HostName]:
        """Return the hosts of a shard that may hold tasks."""
        endpoints = self.endpoints()
        hosts = self.view().hosts_of(shard)
        return [host for host in hosts if host not in endpoints]


class InboxRunner:
    """Run calls in an executor, and bring what comes of them to a task."""

    def __init__(self, executor: Executor, post: Callable[[CallDone], None]) -> None:
        """Bring results by ``post``."""
        self.executor = executor
        self.post = post

    def run(self, call: Callable[[], T], done: Callable[[Future[T]], None]) -> None:
        """Run a blocking call in the executor, and ``done`` in the task."""
        future = self.executor.submit(call)
        future.add_done_callback(
            lambda future: self.post(CallDone(_untyped(done), future))
        )


def _untyped(done: Callable[[Future[T]], None]) -> Callable[[Any], None]:
    """Return a callback as messages carry it."""
    return done

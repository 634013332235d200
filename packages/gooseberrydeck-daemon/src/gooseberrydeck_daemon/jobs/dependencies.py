"""What the jobs task requires from other components of the member."""

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
    """Immutable queues, shares and limits of one configuration."""

    def __init__(
        self,
        queues: Iterable[QueueRules],
        weights: Mapping[TeamName, float],
        limits: Mapping[TeamName, int],
    ) -> None:
        """Store the queues by name, the team weights and the team limits."""
        self.queues = {queue.name: queue for queue in queues}
        self.weights = dict(weights)
        self.limits = dict(limits)

    def queue(self, name: QueueName) -> QueueRules | None:
        """Return the rules of a queue, or None if it is not configured."""
        return self.queues.get(name)


class ShardDependencies:
    """Data sources and factories that the jobs task gets from the member."""

    def __init__(
        self,
        view: Callable[[], OwnershipView],
        workers: Callable[[], Mapping[HostName, WorkerInfo]],
        connect: Callable[[HostName], Worker],
        units: Callable[[ShardId], ShardUnits],
        rules: Callable[[], CellRules],
        endpoints: Callable[[], Collection[HostName]] = frozenset,
    ) -> None:
        """Store the sources; each is called again whenever a current value is needed.

        ``endpoints`` returns the hosts that are known not to be workers.
        """
        self.view = view
        self.workers = workers
        self.connect = connect
        self.units = units
        self.rules = rules
        self.endpoints = endpoints

    def workers_of(self, shard: ShardId) -> list[HostName]:
        """Return the hosts of a shard that may be running tasks."""
        endpoints = self.endpoints()
        hosts = self.view().hosts_of(shard)
        return [host for host in hosts if host not in endpoints]


class InboxRunner:
    """Runs calls in an executor and posts their results to a task's inbox."""

    def __init__(self, executor: Executor, post: Callable[[CallDone], None]) -> None:
        """Post results with ``post``."""
        self.executor = executor
        self.post = post

    def run(self, call: Callable[[], T], done: Callable[[Future[T]], None]) -> None:
        """Run a blocking call in the executor, then ``done`` on the task's thread."""
        future = self.executor.submit(call)
        future.add_done_callback(
            lambda future: self.post(CallDone(_untyped(done), future))
        )


def _untyped(done: Callable[[Future[T]], None]) -> Callable[[Any], None]:
    """Return the callback with the type that messages use."""
    return done

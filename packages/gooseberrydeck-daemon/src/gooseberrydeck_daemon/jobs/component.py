"""Construction of a member's job service."""

import random
from collections.abc import Callable, Sequence
from concurrent.futures import Executor

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.group_commit import CommitPacer
from gooseberrydeck_coordination.ids import CellName, HostName, MemberId, ShardId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.ownership import OwnershipView
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.router import Router
from gooseberrydeck_daemon.jobs.acceptance import JobAcceptor
from gooseberrydeck_daemon.jobs.committing import CommitTask
from gooseberrydeck_daemon.jobs.configured import ConfiguredRules
from gooseberrydeck_daemon.jobs.dependencies import ShardDependencies
from gooseberrydeck_daemon.jobs.handlers import JobsHandler
from gooseberrydeck_daemon.jobs.messages import (
    CancelAnswer,
    CancelJobs,
    JobAnswer,
    JobBound,
    JobQuery,
)
from gooseberrydeck_daemon.jobs.records import JobWrites
from gooseberrydeck_daemon.jobs.task import JobsTask
from gooseberrydeck_daemon.jobs.units import SliceUnits
from gooseberrydeck_daemon.limits import TeamAdmission
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import MessageRegistry
from gooseberrydeck_daemon.peers.network import Peers
from gooseberrydeck_daemon.usage import UsageTable
from gooseberrydeck_daemon.views import ConfigurationView
from gooseberrydeck_platform.hosts import Host, HostKind, HostState
from gooseberrydeck_platform.workers import Worker
from gooseberrydeck_scheduling import WorkerInfo
from gooseberrydeck_service.tasks import Runnable

__all__ = ["JobsComponent"]

WRITES_PER_S = 200.0


class JobsComponent:
    """The tasks, messages and routes for jobs of one member.

    ``hosts`` returns the newest host list of the platform. ``connect`` creates the
    client of one worker. ``admission`` counts against the slices of owned shards.
    """

    def __init__(
        self,
        cell: CellName,
        member: MemberId,
        store: Store,
        view: Callable[[], OwnershipView],
        configuration: ConfigurationView,
        access: AccessIndex,
        network: Peers,
        registry: MessageRegistry,
        admission: TeamAdmission,
        usage: UsageTable,
        hosts: Callable[[], Sequence[Host]],
        connect: Callable[[Host], Worker],
        task_lease_s: float,
        executor: Executor,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Build the tasks and handlers without starting them."""
        self.view = view
        self.usage = usage
        self.hosts = hosts
        self.connect = connect
        self.rules = ConfiguredRules(configuration)
        self.admission = admission
        keys = StoreKeys(cell)
        writes = JobWrites(keys)
        pacer = CommitPacer(clock, WRITES_PER_S)
        marker = f"{keys.commit_marker(member)}-jobs"
        self.commit = CommitTask(store, marker, pacer)
        dependencies = ShardDependencies(
            view,
            self.workers,
            self.connect_host,
            self.units,
            self.rules,
            self.endpoints,
        )
        self.task = JobsTask(
            dependencies, store, writes, self.commit, executor, clock, task_lease_s,
            metrics, usage,
        )  # fmt: skip
        acceptor = JobAcceptor(
            store,
            writes,
            self.commit,
            self.choose_shard,
            lambda: self.rules().queues,
            lambda: self.rules().limits,
            clock,
        )
        self.handler = JobsHandler(
            access, acceptor, self.task, network, view, self.rules
        )
        for message in (JobBound, JobQuery, CancelJobs):
            registry.register(message, self.task.receive)
        registry.register(JobAnswer)
        registry.register(CancelAnswer)

    def add_routes(self, router: Router) -> None:
        """Add the job routes to a router."""
        for route in self.handler.routes():
            router.add(route)

    def tasks(self) -> list[Runnable]:
        """Return the tasks in the order in which to start them."""
        return [self.commit, self.task]

    def workers(self) -> dict[HostName, WorkerInfo]:
        """Return the live workers of the host list."""
        return {
            host.name: WorkerInfo(host.name, host.capacity, host.rack, host.data_centre)
            for host in self.hosts()
            if host.kind is HostKind.WORKER and host.state is HostState.LIVE
        }

    def endpoints(self) -> frozenset[HostName]:
        """Return the names of all endpoints of the host list."""
        return frozenset(
            host.name for host in self.hosts() if host.kind is HostKind.ENDPOINT
        )

    def connect_host(self, name: HostName) -> Worker:
        """Return the client of a worker by its host name."""
        return next(self.connect(host) for host in self.hosts() if host.name == name)

    def units(self, shard: ShardId) -> SliceUnits:
        """Return the slices of a shard."""
        return SliceUnits(shard, self.admission, lambda: self.rules().limits)

    def choose_shard(self, size: Resources, tasks: int) -> ShardId | None:
        """Return the shard to bind a job to, or None.

        Before any usage summary is known, a random shard with an owner is chosen.
        """
        chosen = self.usage.choose_shard(size, tasks)
        if chosen is not None or self.usage.shards:
            return chosen
        owned = sorted(self.view().owners)
        return random.choice(owned) if owned else None

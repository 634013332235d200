"""Composition root, which builds the components of a member and connects them."""

import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import structlog

from gooseberrydeck_coordination.clock import SystemClock
from gooseberrydeck_coordination.ids import ServiceName, ShardId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_daemon.controllers.ownership import OwnershipComponent, ShardSettled
from gooseberrydeck_daemon.controllers.ownership.component import (
    create_ownership_holder,
)
from gooseberrydeck_daemon.controllers.reachability import ReachabilityTask
from gooseberrydeck_daemon.dispatch import Dispatcher
from gooseberrydeck_daemon.dispatch.budgets import RetryBudgets
from gooseberrydeck_daemon.dispatch.directory import (
    EndpointDirectory,
    HostListTask,
    PoolTask,
)
from gooseberrydeck_daemon.dispatch.gossip import GossipTask
from gooseberrydeck_daemon.dispatch.limits import NoLimits
from gooseberrydeck_daemon.dispatch.loads import LoadTable
from gooseberrydeck_daemon.dispatch.messages import (
    ForwardAnswer,
    ForwardCancel,
    ForwardFailure,
    ForwardRequest,
    LoadSummary,
)
from gooseberrydeck_daemon.dispatch.slots import EndpointFactory
from gooseberrydeck_daemon.http import (
    Application,
    HttpServer,
    Router,
    build_chain,
)
from gooseberrydeck_daemon.http.access import AccessIndex
from gooseberrydeck_daemon.http.channels import ProblemChannel
from gooseberrydeck_daemon.http.filters import GetResponse
from gooseberrydeck_daemon.http.health import Health
from gooseberrydeck_daemon.http.services import ServiceHandler
from gooseberrydeck_daemon.idempotency import IdempotencyGuard, RecordsTask
from gooseberrydeck_daemon.jobs.component import JobsComponent
from gooseberrydeck_daemon.limits import LimitsComponent
from gooseberrydeck_daemon.metrics import InMemoryMetrics, StatsdTask
from gooseberrydeck_daemon.operators import OperatorsComponent
from gooseberrydeck_daemon.peers import MessageRegistry, PeerNetwork
from gooseberrydeck_daemon.peers.security import CurveKeys
from gooseberrydeck_daemon.reports.recorder import BurnFilter
from gooseberrydeck_daemon.settings import Settings
from gooseberrydeck_daemon.usage import UsageSummary, UsageTable, UsageTask
from gooseberrydeck_daemon.views import (
    ConfigurationHolder,
    MembershipView,
    OwnershipView,
    StaticMembership,
    StaticOwnership,
)
from gooseberrydeck_platform.endpoint_http import HttpEndpoint
from gooseberrydeck_platform.etcd import EtcdStore
from gooseberrydeck_platform.host_list_http import HttpHostList
from gooseberrydeck_platform.hosts import Host, HostList
from gooseberrydeck_platform.http import HttpAddress
from gooseberrydeck_platform.worker_http import HttpWorker
from gooseberrydeck_platform.workers import Worker
from gooseberrydeck_service.tasks import Runnable, Supervisor

__all__ = ["Member", "Platform", "compose"]

ENDPOINT_CALL_THREADS = 512
WORKER_CALL_THREADS = 32
DEFAULT_RETRY_SHARE = 0.1
MAX_TASKS = 32
DRAIN_GRACE_S = 1.0
DRAIN_TIMEOUT_S = 60.0
LEAVE_TIMEOUT_S = 20.0
DRAIN_POLL_S = 0.02
QUIET_MARGIN_S = 0.5
QUIET_TIMEOUT_S = 5.0

log = structlog.get_logger(__name__)


class Platform:
    """Adapters to the platform on which a member runs."""

    def __init__(
        self,
        hosts: HostList,
        connect: EndpointFactory,
        store: Store | None = None,
        connect_worker: Callable[[Host], Worker] = HttpWorker,
    ) -> None:
        """Create a platform; ``connect`` opens connections to endpoints.

        Without a store, a member serves no operators, runs no jobs, enforces no limits,
        and the ownership of shards is fixed.
        """
        self.hosts = hosts
        self.store = store
        self.connect = connect
        self.connect_worker = connect_worker


class Member:
    """A member of the cell with all its components."""

    def __init__(self, settings: Settings, platform: Platform) -> None:
        """Build the components and bind the listeners, without starting any task."""
        self.settings = settings
        self.metrics = InMemoryMetrics()
        self.supervisor = Supervisor(MAX_TASKS)
        self.health = Health()
        self.configuration = ConfigurationHolder()
        self.membership: MembershipView
        self.ownership: OwnershipView
        self.build_views(platform)
        self.registry = MessageRegistry()
        self.network = self.build_network()
        self.executor = ThreadPoolExecutor(
            ENDPOINT_CALL_THREADS, thread_name_prefix="call"
        )
        self.loads = LoadTable()
        self.limits = self.build_limits(platform)
        self.directory = EndpointDirectory(
            settings.member,
            self.ownership,
            self.configuration,
            platform.connect,
            self.executor,
            NoLimits() if self.limits is None else self.limits.admission,
            settings.overload,
            self.metrics,
        )
        self.dispatcher = self.build_dispatcher()
        self.router = Router()
        self.jobs: JobsComponent | None = None
        self.coordination = self.build_coordination(platform)
        self.operators = self.build_operators(platform)
        self.access = AccessIndex(self.configuration, self.is_configuration_fresh)
        self.records = self.build_records(platform)
        guard = self.build_guard(platform)
        services = ServiceHandler(self.access, self.dispatcher, guard)
        self.router.add(services.route())
        self.build_jobs(platform)
        self.callers = self.build_callers()
        self.tasks = self.build_tasks(platform)

    def build_views(self, platform: Platform) -> None:
        """Set up the views of members and owners.

        They reflect the store, or the settings if there is no store.
        """
        if platform.store is not None:
            ownership_holder = create_ownership_holder(self.settings, SystemClock())
            self.membership = self.ownership = self.ownership_holder = ownership_holder
            return
        member, initial = self.settings.member, self.settings.peers.initial
        names = [peer.member for peer in initial]
        self.membership = StaticMembership(initial, member)
        self.ownership = StaticOwnership(member, names, self.settings.shards)

    def build_network(self) -> PeerNetwork:
        """Return the network to the peers, with its listener bound."""
        peers = self.settings.peers
        keys = CurveKeys(
            peers.public_key, peers.read_secret_key(), peers.accepted_public_keys
        )
        return PeerNetwork(
            self.settings.member,
            self.settings.address,
            self.settings.listeners.peers.port,
            keys,
            self.membership,
            self.registry,
            self.metrics,
        )

    def build_dispatcher(self) -> Dispatcher:
        """Return the dispatcher, with its messages to peers registered."""
        dispatcher = Dispatcher(
            self.directory.pools,
            self.network,
            self.loads,
            self.directory.owners_of,
            RetryBudgets(self.retry_share, SystemClock()),
            self.settings.overload,
            self.metrics,
        )
        self.registry.register(ForwardRequest, dispatcher.receive_forward)
        self.registry.register(ForwardCancel, dispatcher.receive_cancel)
        self.registry.register(ForwardAnswer)
        self.registry.register(ForwardFailure)
        self.registry.register(LoadSummary, self.loads.receive)
        return dispatcher

    def retry_share(self, service: ServiceName) -> float:
        """Return the fraction of a service's requests that may be retries."""
        found = self.access.service(service)
        return DEFAULT_RETRY_SHARE if found is None else found.retry_share

    def build_coordination(self, platform: Platform) -> OwnershipComponent | None:
        """Return the ownership component, or None if there is no store."""
        if platform.store is None:
            return None
        self.ownership_holder.listeners.append(self.directory.sync_ownership)
        self.reachability = ReachabilityTask(
            self.network, self.membership, SystemClock(), self.health.ready.set
        )
        return OwnershipComponent(
            self.settings,
            platform.store,
            self.ownership_holder,
            self.network,
            self.registry,
            lambda: self.configuration.current.number,
            self.is_shard_idle,
            self.reachability.start_probing,
            SystemClock(),
            self.metrics,
        )

    def is_shard_idle(self, shard: ShardId) -> bool:
        """Return True if no call to a worker of the shard is in flight."""
        return self.jobs is None or self.jobs.task.is_idle(shard)

    def build_limits(self, platform: Platform) -> LimitsComponent | None:
        """Return the component for team limits, or None if there is no store."""
        if platform.store is None:
            return None
        return LimitsComponent(
            self.settings,
            platform.store,
            self.ownership_holder,
            self.configuration,
            self.network,
            self.registry,
            SystemClock(),
            self.metrics,
        )

    def build_jobs(self, platform: Platform) -> None:
        """Build the component that accepts and runs jobs, if there is a store."""
        coordination = self.coordination
        if platform.store is None or self.limits is None or coordination is None:
            return
        self.usage = UsageTable(random.Random())
        self.registry.register(UsageSummary, self.usage.receive)
        self.worker_executor = ThreadPoolExecutor(
            WORKER_CALL_THREADS, thread_name_prefix="worker"
        )
        self.jobs = JobsComponent(
            self.settings.cell,
            self.settings.member,
            platform.store,
            self.ownership_holder.view,
            self.configuration,
            self.access,
            self.network,
            self.registry,
            self.limits.admission,
            self.usage,
            lambda: self.directory.hosts,
            platform.connect_worker,
            self.settings.timing.task_lease_s,
            self.worker_executor,
            SystemClock(),
            self.metrics,
        )
        self.jobs.add_routes(self.router)
        self.jobs.task.on_adoption_changed = lambda *settled: coordination.task.post(
            ShardSettled(*settled)
        )

    def build_operators(self, platform: Platform) -> OperatorsComponent | None:
        """Return the component that serves operators, or None if there is no store."""
        if platform.store is None or self.coordination is None:
            return None
        return OperatorsComponent(
            self.settings,
            platform.store,
            self.configuration,
            self.coordination,
            self.network,
            self.registry,
            self.membership,
            lambda: self.directory.hosts,
            SystemClock(),
            self.metrics,
        )

    def build_records(self, platform: Platform) -> RecordsTask | None:
        """Return the task that records requests with an Idempotency-Key.

        Return None if there is no store.
        """
        if platform.store is None:
            return None
        keys = StoreKeys(self.settings.cell)
        return RecordsTask(
            platform.store,
            keys.request_marker(self.settings.member),
            self.membership,
            SystemClock(),
            self.metrics,
        )

    def build_guard(self, platform: Platform) -> IdempotencyGuard | None:
        """Return the guard that deduplicates requests by their Idempotency-Key.

        Return None if there is no store.
        """
        if platform.store is None or self.records is None:
            return None
        return IdempotencyGuard(
            self.settings.member,
            platform.store,
            StoreKeys(self.settings.cell),
            self.records,
            self.metrics,
        )

    def is_configuration_fresh(self) -> bool:
        """Return True if the configuration is recent enough to authenticate keys."""
        return self.operators is None or self.operators.configuration.is_fresh()

    def build_callers(self) -> HttpServer:
        """Return the HTTP server for callers, with its listener bound."""
        listener = self.settings.listeners.callers
        chain = build_chain(
            self.router,
            self.access,
            self.metrics,
            listener.max_body_bytes,
            listener.threads - listener.refusing_threads,
        )
        self.admit = chain.admit
        get_response: GetResponse = chain.get_response
        if self.operators is not None:
            burn = self.operators.burn
            get_response = BurnFilter(get_response, self.access, burn)
        application = Application(get_response, self.health, self.metrics)
        return HttpServer(
            "callers", application, self.settings.address, listener, ProblemChannel
        )

    def build_tasks(self, platform: Platform) -> list[Runnable]:
        """Return the tasks in the order in which they start."""
        poll_s = self.settings.host_list.poll_ms / 1000
        tasks: list[Runnable] = [
            self.network,
            HostListTask(platform.hosts, self.observe_hosts, poll_s, self.metrics),
            PoolTask(self.directory),
            GossipTask(
                self.directory.loads, self.network, self.membership, SystemClock()
            ),
        ]
        if self.coordination is not None:
            tasks.insert(1, self.coordination.task)
            tasks.append(self.reachability)
        if self.records is not None:
            tasks.append(self.records)
        if self.limits is not None and self.jobs is not None:
            tasks.extend(self.limits.tasks())
            tasks.extend(self.jobs.tasks())
            tasks.append(
                UsageTask(
                    lambda: self.jobs.task.summaries if self.jobs else (),
                    self.usage,
                    self.network,
                    self.membership,
                    SystemClock(),
                )
            )
        if self.operators is not None:
            tasks.extend(self.operators.tasks())
        if self.settings.statsd is not None:
            statsd = self.settings.statsd
            tasks.append(
                StatsdTask(self.metrics, statsd.address, statsd.port, statsd.prefix)
            )
        tasks.append(self.callers)
        return tasks

    def observe_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Pass the platform's list of hosts to the components that use it."""
        if self.coordination is not None:
            self.coordination.task.observe_hosts(hosts)
        self.directory.update(hosts)

    def start(self) -> None:
        """Start every task.

        Without a store the member is ready at once, otherwise when the owners of shards
        are known and the peers are reachable.
        """
        for task in self.tasks:
            self.supervisor.start(task)
        if self.coordination is None:
            self.health.ready.set()
        log.info("member started", callers_port=self.callers.port)

    def run(self) -> None:
        """Run until a stop is requested or a task crashes, then shut down.

        Raise ``TaskCrashedError`` if a task crashed.
        """
        self.start()
        self.supervisor.wait()
        self.close()

    def close(self) -> None:
        """Shut down: become unready, drain, release the shards and stop every task.

        After a crash, requests in flight are not awaited and shards are not released.
        """
        self.health.ready.clear()
        log.info("member draining")
        if self.supervisor.crash is None:
            self.drain()
            if self.coordination is not None:
                self.leave()
        self.supervisor.close()
        self.executor.shutdown(wait=False)
        if self.jobs is not None:
            self.worker_executor.shutdown(wait=False)
        log.info("member stopped")

    def leave(self) -> None:
        """Release the shards, and answer the peers until they know the next owners.

        They learn of them in their next round, and forward requests until then.
        """
        assert self.coordination is not None
        self.coordination.task.leave(LEAVE_TIMEOUT_S)
        quiet_s = self.settings.timing.round_interval_s + QUIET_MARGIN_S
        if not self.dispatcher.wait_until_quiet(quiet_s, QUIET_TIMEOUT_S):
            log.warning("peers still forward requests", seconds=QUIET_TIMEOUT_S)

    def drain(self) -> None:
        """Refuse new requests and wait for those in flight."""
        end_s = time.monotonic() + DRAIN_TIMEOUT_S
        self.directory.is_draining = True
        # Requests are still served until the load balancer and the peers have noticed
        # that this member is draining.
        time.sleep(DRAIN_GRACE_S)
        self.dispatcher.is_draining = True
        self.admit.drain(DRAIN_TIMEOUT_S)
        while self.directory.in_use() and time.monotonic() < end_s:
            time.sleep(DRAIN_POLL_S)


def compose(settings: Settings) -> Member:
    """Return a member that uses the platform named in its settings."""
    host_list = HttpHostList([HttpAddress.parse(settings.host_list.address)])
    store = EtcdStore([HttpAddress.parse(item) for item in settings.store.addresses])
    return Member(settings, Platform(host_list, HttpEndpoint, store))

"""Component that serves operators and keeps the configuration current."""

from collections.abc import Callable, Iterable

from gooseberrydeck_configuration.checks import CellCapacity
from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.resources import NO_RESOURCES
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_coordination.versioned import Publisher, VersionedKeys
from gooseberrydeck_daemon.controllers.configuration import (
    AwaitConfiguration,
    ConfigurationContent,
    ConfigurationHeld,
    ConfigurationPoller,
    ConfigurationTask,
    ConfigurationWatch,
    FetchConfiguration,
    FreshnessRule,
)
from gooseberrydeck_daemon.http.channels import ProblemChannel
from gooseberrydeck_daemon.http.router import Router
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.operators.application import (
    OperatorsApplication,
    build_operators_chain,
)
from gooseberrydeck_daemon.operators.configuration import ConfigurationHandler
from gooseberrydeck_daemon.operators.members import MembersReader
from gooseberrydeck_daemon.operators.publishing import ConfigurationService
from gooseberrydeck_daemon.operators.reports import ReportsHandler
from gooseberrydeck_daemon.operators.views import CellViews, ViewsHandler
from gooseberrydeck_daemon.peers import MessageRegistry, Peers
from gooseberrydeck_daemon.reports import BurnAccumulator
from gooseberrydeck_daemon.reports.snapshots import ReportWriter, SnapshotReader
from gooseberrydeck_daemon.reports.usage import UsageSource
from gooseberrydeck_daemon.settings import Settings
from gooseberrydeck_daemon.views import ConfigurationHolder, MembershipView
from gooseberrydeck_platform.hosts import Host, HostKind, HostState
from gooseberrydeck_service.http_server import HttpServer
from gooseberrydeck_service.tasks import Runnable

__all__ = ["OperatorsComponent", "compute_cell_capacity", "configuration_keys"]


def configuration_keys(keys: StoreKeys) -> VersionedKeys:
    """Return the store keys of the configuration."""
    return VersionedKeys(
        keys.configuration_head,
        f"{keys.root}configuration/number",
        keys.configuration_history_prefix,
    )


def compute_cell_capacity(hosts: Iterable[Host]) -> CellCapacity | None:
    """Return the total capacity of the live hosts, or None if no host is known."""
    known = tuple(hosts)
    if not known:
        return None
    capacity = CellCapacity(NO_RESOURCES, {})
    for host in known:
        if host.state is not HostState.LIVE:
            continue
        if host.kind is HostKind.WORKER:
            slots = capacity.slots
            capacity = CellCapacity(capacity.workers + host.capacity, slots)
        else:
            slots = capacity.slots
            slots[host.service] = slots.get(host.service, 0) + host.slots
    return capacity


class OperatorsComponent:
    """Build and wire the operators' listener, the configuration and the reports."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        sink: ConfigurationHolder,
        rule: FreshnessRule,
        peers: Peers,
        registry: MessageRegistry,
        membership: MembershipView,
        hosts: Callable[[], Iterable[Host]],
        clock: Clock,
        metrics: Metrics,
        usage: UsageSource | None = None,
    ) -> None:
        """Build the configuration task, the reports and the operators' listener."""
        keys = StoreKeys(settings.cell)
        versioned = configuration_keys(keys)
        self.views = CellViews()
        self.burn = BurnAccumulator(clock)
        self.configuration = ConfigurationTask(
            sink, rule, peers, membership, clock, metrics
        )
        post = self.configuration.post
        self.views.members = MembersReader(
            settings, self.configuration, peers, membership
        )
        self.watch = ConfigurationWatch(store, versioned, post, metrics)
        self.confirmation = ConfigurationPoller(
            store, versioned, clock, post, lambda: self.configuration.number, metrics
        )
        self.writer = ReportWriter(
            store, keys, settings.member, self.burn, usage, clock, metrics
        )
        self.register_messages(registry)
        self.router = Router()
        service = ConfigurationService(
            settings.member,
            self.configuration,
            Publisher(store, versioned, clock),
            peers,
            membership,
            lambda: compute_cell_capacity(hosts()),
        )
        ConfigurationHandler(service).add_routes(self.router)
        ViewsHandler(self.views).add_routes(self.router)
        reader = SnapshotReader(store, keys, settings.member)
        ReportsHandler(
            reader, self.burn, usage, lambda: sink.current, clock
        ).add_routes(self.router)
        listener = settings.listeners.operators
        chain = build_operators_chain(
            self.router, listener.keys, listener.max_body_bytes, metrics
        )
        self.application = OperatorsApplication(chain, metrics)
        self.server = HttpServer(
            "operators",
            self.application,
            settings.address,
            listener,
            ProblemChannel,
        )

    def register_messages(self, registry: MessageRegistry) -> None:
        """Register the messages that members exchange about configurations."""
        registry.register(AwaitConfiguration, self.configuration.receive_await)
        registry.register(FetchConfiguration, self.configuration.receive_fetch)
        registry.register(ConfigurationHeld)
        registry.register(ConfigurationContent)

    def tasks(self) -> list[Runnable]:
        """Return the tasks in the order in which they start."""
        return [
            self.configuration,
            self.watch,
            self.confirmation,
            self.writer,
            self.server,
        ]

"""Tracking of hosts and ownership, and assignment of endpoints to pools."""

import threading
import time
from collections import defaultdict
from collections.abc import Callable, Container
from concurrent.futures import Executor

from gooseberrydeck_coordination.ids import HostName, MemberId, ServiceName
from gooseberrydeck_daemon.dispatch.limits import RequestLimits
from gooseberrydeck_daemon.dispatch.pools import PoolLoad, ServicePool
from gooseberrydeck_daemon.dispatch.slots import EndpointFactory, EndpointSlots
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.settings import OverloadSettings
from gooseberrydeck_daemon.views import ConfigurationView, OwnershipView
from gooseberrydeck_platform.exceptions import HostListUnavailableError
from gooseberrydeck_platform.hosts import Host, HostKind, HostList, HostState
from gooseberrydeck_service.tasks import Task

__all__ = ["EndpointDirectory", "HostListTask", "PoolTask"]

HOST_LIST_TIMEOUT_S = 2.0
POOL_REFRESH_PERIOD_S = 0.02
DEFAULT_MAX_WAITING = 256


class EndpointDirectory:
    """Track the owners of endpoints, and maintain the pools of owned ones."""

    def __init__(
        self,
        member: MemberId,
        ownership: OwnershipView,
        configuration: ConfigurationView,
        connect: EndpointFactory,
        executor: Executor,
        limits: RequestLimits,
        overload: OverloadSettings,
        metrics: Metrics,
    ) -> None:
        """Create an empty directory."""
        self.overload = overload
        self.member = member
        self.limits = limits
        self.ownership = ownership
        self.configuration = configuration
        self.connect = connect
        self.executor = executor
        self.metrics = metrics
        self.lock = threading.Lock()
        self.is_draining = False
        self.pools: dict[ServiceName, ServicePool] = {}
        self.owners: dict[ServiceName, tuple[MemberId, ...]] = {}
        self.slots: dict[HostName, EndpointSlots] = {}
        self.hosts: tuple[Host, ...] = ()

    def owners_of(self, service: ServiceName) -> tuple[MemberId, ...]:
        """Return the peers that own live endpoints of a service."""
        return self.owners.get(service, ())

    def in_use(self) -> int:
        """Return the number of requests that are running or waiting on this member."""
        pools = list(self.pools.values())
        return sum(pool.in_use() + pool.queue.size for pool in pools)

    def loads(self) -> dict[ServiceName, PoolLoad]:
        """Return the load of every pool that has endpoints.

        While draining, all pools are reported as having no capacity.
        """
        pools = list(self.pools.items())
        if self.is_draining:
            return {name: PoolLoad() for name, _ in pools}
        loads = {name: pool.load() for name, pool in pools}
        return {name: load for name, load in loads.items() if load.slots}

    def update(self, hosts: tuple[Host, ...]) -> None:
        """Apply a new host list, together with current ownership.

        Endpoints that were not in the previous list start slowly.
        """
        with self.lock:
            listed = {host.name for host in self.hosts}
            is_first = not self.hosts
            self.hosts = hosts
            self.refresh()
            if not is_first:
                self.start_slowly(listed)

    def start_slowly(self, listed: Container[HostName]) -> None:
        """Start the slow start of endpoints that are not in ``listed``.

        An endpoint whose shard merely changed owners is warm and needs no slow start.
        """
        for name, slots in self.slots.items():
            if name not in listed:
                slots.slow_start.start(time.monotonic())
                slots.refresh(time.monotonic())

    def sync_ownership(self) -> None:
        """Apply a change of ownership."""
        with self.lock:
            self.refresh()

    def refresh(self) -> None:
        """Recompute owners and pools. The caller must hold the lock."""
        owners: dict[ServiceName, set[MemberId]] = defaultdict(set)
        owned: dict[ServiceName, list[EndpointSlots]] = defaultdict(list)
        kept: dict[HostName, EndpointSlots] = {}
        for host in self.hosts:
            shard = self.ownership.shard_of(host.name)
            if host.kind is not HostKind.ENDPOINT or shard is None:
                continue
            owner = self.ownership.owner_of(shard)
            if owner == self.member:
                kept[host.name] = self.slots_of(host)
                owned[host.service].append(kept[host.name])
            elif owner is not None and host.state is HostState.LIVE:
                owners[host.service].add(owner)
        self.slots = kept
        for service in {*owned, *self.pools}:
            self.pool_of(service).set_endpoints(owned.get(service, ()))
        self.owners = {name: tuple(sorted(found)) for name, found in owners.items()}

    def slots_of(self, host: Host) -> EndpointSlots:
        """Return the slots of an owned host.

        New ones are created if the shard or the address of the host has changed.
        """
        shard = self.ownership.shard_of(host.name)
        known = self.slots.get(host.name)
        if known is None or shard != known.shard or address_changed(known.host, host):
            assert shard is not None
            return EndpointSlots(host, shard, self.connect)
        known.set_host(host, time.monotonic())
        return known

    def pool_of(self, service: ServiceName) -> ServicePool:
        """Return the pool of a service with current settings; create it if needed."""
        pool = self.pools.get(service)
        if pool is None:
            pool = ServicePool(
                service,
                self.max_waiting(service),
                self.executor,
                self.ownership.may_serve,
                self.limits,
                self.overload,
                self.metrics,
            )
            self.pools[service] = pool
        pool.queue.max_waiting = self.max_waiting(service)
        weights = {item.team: item.weight for item in self.configuration.current.shares}
        pool.queue.weights = weights
        return pool

    def max_waiting(self, service: ServiceName) -> int:
        """Return how many requests of a service may wait on this member."""
        for item in self.configuration.current.services:
            if item.name == service:
                return item.max_waiting
        return DEFAULT_MAX_WAITING


def address_changed(before: Host, after: Host) -> bool:
    """Return True if a host has another address, port, path or service."""
    return (before.address, before.port, before.path, before.service) != (
        after.address,
        after.port,
        after.path,
        after.service,
    )


class HostListTask(Task[None]):
    """Poll the platform's host list."""

    def __init__(
        self,
        hosts: HostList,
        on_hosts: Callable[[tuple[Host, ...]], None],
        poll_s: float,
        metrics: Metrics,
    ) -> None:
        """Pass each list that was read to ``on_hosts``."""
        super().__init__("hosts", tick_s=poll_s)
        self.hosts = hosts
        self.on_hosts = on_hosts
        self.metrics = metrics

    def begin(self) -> None:
        """Read the list immediately."""
        self.tick()

    def tick(self) -> None:
        """Read the list; keep the previous one if it is unavailable."""
        try:
            hosts = self.hosts.read(HOST_LIST_TIMEOUT_S)
        except HostListUnavailableError:
            self.metrics.count("hosts.reads.failed")
            return
        self.on_hosts(hosts)


class PoolTask(Task[None]):
    """Periodically refresh every pool."""

    def __init__(self, directory: EndpointDirectory) -> None:
        """Refresh the pools of ``directory``."""
        super().__init__("pools", tick_s=POOL_REFRESH_PERIOD_S)
        self.directory = directory

    def tick(self) -> None:
        """Expire waiting requests and update breakers and slow starts."""
        for pool in list(self.directory.pools.values()):
            pool.refresh(time.monotonic())

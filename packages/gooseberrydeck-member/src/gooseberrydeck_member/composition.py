"""The composition root, which builds and connects the components of a member."""

import secrets
import signal
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
import structlog

from gooseberrydeck_adapter import (
    CallerCodec,
    HttpAdviser,
    HttpStore,
    HttpWorker,
    decode_intent,
    decode_registration,
    load_settings,
)
from gooseberrydeck_adapter.configuration import CONFIGURATION_KEY
from gooseberrydeck_adapter.discovery import EVACUATION_PREFIX, REGISTRATION_PREFIX
from gooseberrydeck_coordination.clock import SystemClock
from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_fleet.configuration import FleetConfiguration
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.settings import MemberSettings, SettingsError
from gooseberrydeck_fleet.worker_calls import WorkerCalls
from gooseberrydeck_member.advice_pool import AdvicePool
from gooseberrydeck_member.authority import Authority
from gooseberrydeck_member.callers import CallerApplication, StartResponse
from gooseberrydeck_member.cell import Cell
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.configuration_fetcher import ConfigurationFetcher
from gooseberrydeck_member.configuration_task import (
    CONFIGURATION_STALL_TIMEOUT_S,
    CONFIGURATION_WATCH_WAIT_S,
    ConfigurationTask,
)
from gooseberrydeck_member.control import ControlTask
from gooseberrydeck_member.jobs import JobStore
from gooseberrydeck_member.listener_limits import derive_limits
from gooseberrydeck_member.listener_metrics import ListenerCollector
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_server import PeerApplication
from gooseberrydeck_member.peers import PeerClient
from gooseberrydeck_member.predecessors import Predecessors
from gooseberrydeck_member.reloadable_adviser import ReloadableAdviser
from gooseberrydeck_member.scheduler_task import SchedulerTask
from gooseberrydeck_member.shard_lock import ShardLock
from gooseberrydeck_service.connection_budget import ConnectionBudget
from gooseberrydeck_service.http_server import HttpServer
from gooseberrydeck_service.tasks import Supervisor

__all__ = ["Member"]

log = structlog.get_logger(__name__)

CALLER_THREADS = 24
"""Callers' requests handled concurrently; each may wait for a slow store."""

PEER_THREADS = 16
"""Peers' requests handled concurrently; an advice request takes up to a second."""

MAX_BODY_BYTES = 262_144
"""Largest request body that the platform allows callers to send."""

MAX_PEER_BODY_BYTES = 524_288
"""Largest message of a peer; a relayed request carries its body in base64."""

MAX_PROBE_BODY_BYTES = 4_096
"""Probes have no body, but a few bytes do no harm."""

DRAIN_DELAY_S = 3.0
"""How long a stopping member keeps serving; the load balancer takes two seconds to
notice that it is not ready."""

SETTINGS_POLL_INTERVAL_S = 2.0
"""Interval of checks of the settings file, which may change without a signal."""


class Listener(msgspec.Struct, frozen=True):
    """The port and the limits of one listener."""

    port: int
    threads: int
    max_connections: int
    max_body_bytes: int


class ReadinessApplication:
    """The readiness probe of the load balancer."""

    def __init__(self, configuration: ConfigurationCache) -> None:
        """Report ready once there is a configuration, until the member stops.

        Set ``is_responsive`` to what tells whether the callers' listener answers.
        """
        self.configuration = configuration
        self.is_stopping = False
        self.is_responsive: Callable[[], bool] = lambda: True

    def __call__(
        self, _environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond with 200 if ready, otherwise with 503."""
        is_ready = (
            self.configuration.current is not None
            and not self.is_stopping
            and self.is_responsive()
        )
        status = "200 OK" if is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]


class Member:
    """The member process."""

    def __init__(self, path: Path, settings: MemberSettings) -> None:
        """Build all components; no port is bound before ``run``."""
        self.path = path
        self.settings = settings
        self.incarnation = secrets.token_hex(8)
        self.address = f"{settings.address}:{settings.peer_port}"
        self.metrics = Metrics()
        self.store = HttpStore(settings.store)
        self.control_store = HttpStore(settings.store)
        self.peers = PeerClient()
        self.cell = Cell(settings.name, self.address, self.peers, self.incarnation)
        self.configuration = ConfigurationCache(decode_intent)
        self.configuration.listeners.append(self.configuration_changed)
        self.configuration_task = ConfigurationTask(
            HttpStore(
                settings.store,
                CONFIGURATION_WATCH_WAIT_S,
                CONFIGURATION_STALL_TIMEOUT_S,
            ),
            CONFIGURATION_KEY,
            self.configuration,
            ConfigurationFetcher(
                self.address,
                self.peers,
                self.configuration,
                self.metrics,
                SystemClock(),
            ),
            lambda: self.cell.scheduler is not None,
            self.metrics,
        )
        self.metrics.configuration_age_seconds.set_function(
            lambda: time.monotonic() - self.configuration.confirmed_s
        )
        self.adviser = ReloadableAdviser(HttpAdviser, settings.adviser)
        self.shard_lock = ShardLock(
            self.control_store,
            MemberId(settings.name),
            self.address,
            self.incarnation,
        )
        self.control = ControlTask(
            self.control_store,
            self.shard_lock,
            self.cell,
            self.peers,
            self.configuration,
            settings.timing,
            self.build_scheduler,
            self.metrics,
            settings.processor_share,
        )
        self.callers = CallerApplication(
            self.configuration,
            JobStore(self.store),
            self.cell,
            CallerCodec(),
            self.metrics,
        )
        self.peer_application = PeerApplication(
            self.cell, self.configuration, self.adviser, self.metrics, self.incarnation
        )
        self.peer_application.callers = self.callers
        self.peer_application.take_over = self.control.take_over
        self.readiness = ReadinessApplication(self.configuration)
        self.budgets: dict[str, ConnectionBudget] = {}
        self.metrics.registry.register(ListenerCollector(self.budgets))
        self.stop_requested = threading.Event()
        self.reload_requested = threading.Event()

    def build_scheduler(
        self, authority: Authority, predecessors: Predecessors
    ) -> SchedulerTask:
        """Build the task that schedules while this member holds the shard."""
        is_on = self.settings.timing.evacuation_s is not None
        return SchedulerTask(
            HttpStore(self.settings.store),
            self.shard_lock,
            authority,
            self.settings.timing,
            AdvicePool(self.adviser, self.peers),
            self.connect_worker,
            decode_registration,
            REGISTRATION_PREFIX,
            self.metrics,
            predecessors,
            evacuations=EVACUATION_PREFIX if is_on else None,
            uses=self.settings.durations,
            share_policy=self.settings.shares,
        )

    def connect_worker(self, entry: Registration) -> WorkerCalls:
        """Return a client for a worker's current address."""
        return HttpWorker(entry.worker, entry.address)

    def configuration_changed(self, configuration: FleetConfiguration) -> None:
        """Pass a new configuration to the scheduler if it runs in this member."""
        scheduler = self.cell.scheduler
        if scheduler is not None:
            scheduler.set_configuration(configuration)

    def run(self) -> None:
        """Serve until SIGTERM, SIGINT or a task's crash; SIGHUP reloads settings."""
        signal.signal(signal.SIGTERM, lambda *_: self.stop_requested.set())
        signal.signal(signal.SIGINT, lambda *_: self.stop_requested.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload_requested.set())
        settings = self.settings
        log.info("start", incarnation=self.incarnation, address=self.address)
        limits = derive_limits(settings)
        peers = HttpServer(
            "peers",
            self.peer_application,
            settings.address,
            Listener(
                settings.peer_port,
                PEER_THREADS,
                limits.peers.max_connections,
                MAX_PEER_BODY_BYTES,
            ),
            limits=limits.peers,
            check=self.peer_application.check_header,
        )
        callers = HttpServer(
            "callers",
            self.callers,
            settings.callers.host,
            Listener(
                settings.callers.port,
                CALLER_THREADS,
                limits.callers.max_connections,
                MAX_BODY_BYTES,
            ),
            limits=limits.callers,
            check=self.callers.check_header,
        )
        ready = HttpServer(
            "readiness",
            self.readiness,
            settings.readiness.host,
            Listener(
                settings.readiness.port,
                1,
                limits.readiness.max_connections,
                MAX_PROBE_BODY_BYTES,
            ),
            limits=limits.readiness,
        )
        for server in (peers, callers, ready):
            self.budgets[server.name] = server.budget
        self.readiness.is_responsive = callers.is_responsive
        supervisor = Supervisor(max_tasks=5)
        tasks = (peers, callers, ready, self.configuration_task, self.control)
        for task in tasks:
            supervisor.start(task)
        self.serve(supervisor)
        self.shut_down(callers)
        supervisor.stop(("control", "callers"))
        log.info("stop")
        supervisor.close()

    def serve(self, supervisor: Supervisor) -> None:
        """Wait for a stop signal or a crash, reloading changed settings meanwhile."""
        last_poll_s = time.monotonic()
        while not self.stop_requested.wait(0.1) and supervisor.end_events.empty():
            is_due = time.monotonic() - last_poll_s > SETTINGS_POLL_INTERVAL_S
            if self.reload_requested.is_set() or is_due:
                last_poll_s = time.monotonic()
                by_signal = self.reload_requested.is_set()
                self.reload_requested.clear()
                self.reload(by_signal)

    def reload(self, by_signal: bool) -> None:
        """Apply changed settings.

        Except that of the advice service, addresses change only at the next start.
        """
        try:
            settings = load_settings(self.path)
        except SettingsError as error:
            log.error(
                "cannot load settings; keeping the current ones", reason=str(error)
            )
            return
        if settings == self.settings and not by_signal:
            return
        log.info("reload", by_signal=by_signal, changed=settings != self.settings)
        self.settings = settings
        self.control.timing = settings.timing
        self.adviser.set_address(settings.adviser)
        limits = derive_limits(settings)
        for name, budget in self.budgets.items():
            budget.limits = getattr(limits, name)

    def shut_down(self, callers: HttpServer) -> None:
        """Hand the shard over, and serve until the load balancer has noticed."""
        log.info("stopping", linger_s=DRAIN_DELAY_S)
        started_s = time.monotonic()
        self.readiness.is_stopping = True
        callers.drain()
        self.control.hand_over()
        linger_s = min(DRAIN_DELAY_S, 0.6 * self.settings.timing.stop_grace_s)
        time.sleep(max(0.0, started_s + linger_s - time.monotonic()))

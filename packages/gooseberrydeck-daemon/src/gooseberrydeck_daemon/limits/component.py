"""Construction of a member's team limits."""

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_daemon.limits.messages import UnitsAnswer, UnitsRequest
from gooseberrydeck_daemon.limits.task import LimitsTask, OwnershipSource
from gooseberrydeck_daemon.limits.watch import SlicesWatch
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import MessageRegistry
from gooseberrydeck_daemon.peers.network import Peers
from gooseberrydeck_daemon.settings import Settings
from gooseberrydeck_daemon.views import ConfigurationView
from gooseberrydeck_service.tasks import Runnable

__all__ = ["LimitsComponent"]

SESSIONS_BEFORE_RAISE = 2


class LimitsComponent:
    """The limits task of a member, with its watch and messages."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        ownership: OwnershipSource,
        configuration: ConfigurationView,
        network: Peers,
        registry: MessageRegistry,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Build the tasks without starting them."""
        keys, timing = StoreKeys(settings.cell), settings.timing
        self.task = LimitsTask(
            store,
            clock,
            keys,
            settings.shards,
            # After that time, every member has applied a lowered limit or has lost its
            # authority.
            timing.lengthen_for_drift(SESSIONS_BEFORE_RAISE * timing.session_ttl_s),
            ownership,
            configuration,
            network,
            metrics,
        )
        self.watch = SlicesWatch(store, keys.slices_prefix, self.task.post, metrics)
        self.admission = self.task.admission
        registry.register(UnitsRequest, self.task.receive_request)
        registry.register(UnitsAnswer)

    def tasks(self) -> list[Runnable]:
        """Return the tasks in the order in which to start them."""
        return [self.task, self.watch]

"""Construction of a member's ownership task and its dependencies."""

import secrets
from collections.abc import Callable

from gooseberrydeck_coordination import (
    Clock,
    Coordinator,
    MemberRecord,
    OwnershipView,
    Store,
    StoreKeys,
    StoreRounds,
)
from gooseberrydeck_coordination.ids import ConfigurationNumber, ShardId
from gooseberrydeck_daemon.controllers.ownership.holder import OwnershipHolder
from gooseberrydeck_daemon.controllers.ownership.messages import (
    AttestationAsk,
    AttestationReply,
)
from gooseberrydeck_daemon.controllers.ownership.task import OwnershipTask
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_daemon.peers import MessageRegistry, PeerNetwork
from gooseberrydeck_daemon.settings import Settings

__all__ = ["OwnershipComponent", "create_ownership_holder"]

INCARNATION_BYTES = 4


def create_ownership_holder(settings: Settings, clock: Clock) -> OwnershipHolder:
    """Return a holder whose view contains only the peers from the settings."""
    view = OwnershipView(clock, settings.member)
    return OwnershipHolder(view, settings.peers.initial)


class OwnershipComponent:
    """The ownership task and coordinator of a member, with registered messages."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        holder: OwnershipHolder,
        network: PeerNetwork,
        registry: MessageRegistry,
        configuration_number: Callable[[], ConfigurationNumber],
        is_shard_idle: Callable[[ShardId], bool],
        on_initial_view: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Build the task and register its messages.

        ``is_shard_idle`` returns True if no call to a worker of a shard is in flight.
        ``on_initial_view`` is called once, when every shard has an owner or the store
        can't be reached.
        """
        record = MemberRecord(
            settings.member,
            secrets.token_hex(INCARNATION_BYTES),
            settings.address,
            network.port,
            settings.data_centre,
            settings.peers.public_key,
        )
        keys, timing = StoreKeys(settings.cell), settings.timing
        self.coordinator = Coordinator(record, clock, timing)
        rounds = StoreRounds(store, keys, record, settings.shards, clock, timing)
        self.task = OwnershipTask(
            self.coordinator,
            rounds,
            holder,
            network,
            configuration_number,
            is_shard_idle,
            on_initial_view,
            clock,
            timing,
            metrics,
        )
        registry.register(AttestationAsk, self.task.receive_attestation_request)
        registry.register(AttestationReply)

    def configuration_deadline_s(
        self, number: ConfigurationNumber, read_sent_s: float
    ) -> float:
        """Return the monotonic time until which ``number`` counts as fresh."""
        return self.coordinator.authority.configuration_deadline_s(number, read_sent_s)

"""Messages and state by which members attest the epochs that they have seen."""

from collections.abc import Iterable, Mapping

import msgspec

from gooseberrydeck_coordination.ids import ConfigurationNumber, Epoch, ShardId
from gooseberrydeck_coordination.roster import RosterRecord, Seat

__all__ = ["AttestationAnswer", "AttestationRequest", "Attestor", "ShardEpoch"]

NO_CONFIGURATION = ConfigurationNumber(0)


class ShardEpoch(msgspec.Struct, frozen=True, array_like=True):
    """An epoch that has been seen for a shard."""

    shard: ShardId
    epoch: Epoch


class AttestationRequest(msgspec.Struct, frozen=True):
    """A request to attest the epochs at which the asker owns shards.

    ``held`` lists these epochs, ``configuration`` is the newest configuration number
    that the asker has, and ``number`` identifies the request within one run of the
    asker.
    """

    asker: Seat
    number: int
    roster_version: int
    held: tuple[ShardEpoch, ...]
    configuration: ConfigurationNumber = NO_CONFIGURATION


class AttestationAnswer(msgspec.Struct, frozen=True):
    """The answer to an ``AttestationRequest``.

    ``asker`` and ``number`` are copied from the request. Both are needed to match the
    answer, because a restarted asker numbers its requests from the beginning.

    ``newer`` lists the requested shards for which the answerer has seen a newer epoch.
    An asker with an older roster is sent the current ``roster`` and, in ``seen``,
    every epoch that the answerer knows.
    """

    answerer: Seat
    asker: Seat
    number: int
    attests: bool
    roster_version: int
    newer: tuple[ShardEpoch, ...] = ()
    configuration: ConfigurationNumber = NO_CONFIGURATION
    roster: RosterRecord | None = None
    seen: tuple[ShardEpoch, ...] = ()


class Attestor:
    """Track the newest epochs, roster and configuration, and attest them to peers.

    A member attests nothing until it has read the store after its start, because it
    may have acknowledged epochs before a restart that it no longer knows.
    """

    def __init__(self, seat: Seat) -> None:
        """Initialize without any known epoch, roster or configuration."""
        self.seat = seat
        self.epochs: dict[ShardId, Epoch] = {}
        self.roster: RosterRecord | None = None
        self.configuration = NO_CONFIGURATION
        self.has_read_store = False

    @property
    def roster_version(self) -> int:
        """The version of the known roster, or 0 if none is known."""
        return self.roster.version if self.roster else 0

    def observe(self, shard: ShardId, epoch: Epoch) -> None:
        """Record an epoch of a shard unless a newer one is known."""
        if epoch > self.epochs.get(shard, 0):
            self.epochs[shard] = epoch

    def observe_epochs(self, known_epochs: Iterable[ShardEpoch]) -> None:
        """Record several epochs, each unless a newer one is known."""
        for shard_epoch in known_epochs:
            self.observe(shard_epoch.shard, shard_epoch.epoch)

    def observe_store(
        self, roster: RosterRecord | None, epochs: Mapping[ShardId, Epoch]
    ) -> None:
        """Record a roster and shard epochs read from the store in this order."""
        for shard, epoch in epochs.items():
            self.observe(shard, epoch)
        self.observe_roster(roster)
        self.has_read_store = True

    def observe_roster(self, roster: RosterRecord | None) -> None:
        """Record a newer roster, or a settled one of the same version."""
        if roster is None or roster.version < self.roster_version:
            return
        if roster.version > self.roster_version or roster.is_settled:
            self.roster = roster

    def observe_configuration(self, number: ConfigurationNumber) -> None:
        """Record a configuration number unless a newer one is known."""
        self.configuration = max(self.configuration, number)

    def known_epochs(self) -> tuple[ShardEpoch, ...]:
        """Return the newest epoch of every known shard, in the order of the shards."""
        return tuple(ShardEpoch(*item) for item in sorted(self.epochs.items()))

    def answer(self, request: AttestationRequest) -> AttestationAnswer:
        """Record the asker's epochs and return an answer that lists newer ones."""
        self.observe_epochs(request.held)
        newer = tuple(
            ShardEpoch(shard_epoch.shard, self.epochs[shard_epoch.shard])
            for shard_epoch in request.held
            if self.epochs[shard_epoch.shard] > shard_epoch.epoch
        )
        is_older = request.roster_version < self.roster_version
        return AttestationAnswer(
            answerer=self.seat,
            asker=request.asker,
            number=request.number,
            attests=self.has_read_store and not is_older,
            roster_version=self.roster_version,
            newer=newer,
            configuration=self.configuration,
            roster=self.roster if is_older else None,
            seen=self.known_epochs() if is_older else (),
        )

    def observe_answer(self, answer: AttestationAnswer) -> None:
        """Record what a peer's answer contains.

        The epochs are recorded before the roster: whoever knows a roster must know
        every epoch claimed before that roster was written.
        """
        self.observe_epochs(answer.newer)
        self.observe_epochs(answer.seen)
        self.observe_roster(answer.roster)

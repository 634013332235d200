"""What members tell each other about the epochs that they have seen."""

from collections.abc import Iterable, Mapping

import msgspec

from gooseberrydeck_coordination.ids import ConfigurationNumber, Epoch, ShardId
from gooseberrydeck_coordination.roster import RosterRecord, Seat

__all__ = ["AttestationAnswer", "AttestationRequest", "Attestor", "ShardEpoch"]

NO_CONFIGURATION = ConfigurationNumber(0)


class ShardEpoch(msgspec.Struct, frozen=True, array_like=True):
    """A shard and an epoch that has been seen for it."""

    shard: ShardId
    epoch: Epoch


class AttestationRequest(msgspec.Struct, frozen=True):
    """Ask a member to attest the epochs that the asker holds."""

    asker: Seat
    number: int
    roster_version: int
    held: tuple[ShardEpoch, ...]
    configuration: ConfigurationNumber = NO_CONFIGURATION


class AttestationAnswer(msgspec.Struct, frozen=True):
    """Tell what the answerer has seen.

    ``asker`` and ``number`` are those of the request: a restarted asker counts anew.

    ``newer`` holds the asked shards of which it has seen a newer epoch. ``roster`` is
    given to an asker with an older one, together with ``seen``: every epoch known.
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
    """Remember the newest epochs, roster and configuration that were seen.

    A member that has not yet read the store since its start attests nothing, as it
    may have acknowledged epochs in an earlier life that it does not remember.
    """

    def __init__(self, seat: Seat) -> None:
        """Begin without memory."""
        self.seat = seat
        self.epochs: dict[ShardId, Epoch] = {}
        self.roster: RosterRecord | None = None
        self.configuration = NO_CONFIGURATION
        self.has_read_store = False

    @property
    def roster_version(self) -> int:
        """Return the version of the known roster, or 0."""
        return self.roster.version if self.roster else 0

    def observe(self, shard: ShardId, epoch: Epoch) -> None:
        """Keep the newer of the known epoch and ``epoch``."""
        if epoch > self.epochs.get(shard, 0):
            self.epochs[shard] = epoch

    def observe_epochs(self, known_epochs: Iterable[ShardEpoch]) -> None:
        """Keep the newest epochs."""
        for shard_epoch in known_epochs:
            self.observe(shard_epoch.shard, shard_epoch.epoch)

    def observe_store(
        self, roster: RosterRecord | None, epochs: Mapping[ShardId, Epoch]
    ) -> None:
        """Take in the store's roster and the epochs that were read after it."""
        for shard, epoch in epochs.items():
            self.observe(shard, epoch)
        self.observe_roster(roster)
        self.has_read_store = True

    def observe_roster(self, roster: RosterRecord | None) -> None:
        """Keep the newer roster; of equal versions, the settled one."""
        if roster is None or roster.version < self.roster_version:
            return
        if roster.version > self.roster_version or roster.is_settled:
            self.roster = roster

    def observe_configuration(self, number: ConfigurationNumber) -> None:
        """Keep the newer configuration number."""
        self.configuration = max(self.configuration, number)

    def known_epochs(self) -> tuple[ShardEpoch, ...]:
        """Return every epoch that has been seen."""
        return tuple(ShardEpoch(*item) for item in sorted(self.epochs.items()))

    def answer(self, request: AttestationRequest) -> AttestationAnswer:
        """Take in what the asker holds and tell it what is newer."""
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
        """Take in an answer: epochs before the roster that they belong to."""
        self.observe_epochs(answer.newer)
        self.observe_epochs(answer.seen)
        self.observe_roster(answer.roster)

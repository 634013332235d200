"""The table that gives each host its shard."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from gooseberrydeck_coordination.ids import HostName, Rack, ShardId

__all__ = ["AssignmentTable", "HostAssignment", "HostSpecification", "assign_hosts"]


class HostSpecification(msgspec.Struct, frozen=True):
    """What matters of a host for its shard; kinds are balanced each by itself."""

    name: HostName
    kind: str
    rack: Rack


class HostAssignment(msgspec.Struct, frozen=True):
    """The shard of a host, with what is needed to balance later hosts."""

    shard: ShardId
    kind: str
    rack: Rack


class AssignmentTable(msgspec.Struct, frozen=True):
    """The shard of every host that was ever seen and not removed."""

    places: dict[HostName, HostAssignment] = {}

    def shards(self) -> dict[HostName, ShardId]:
        """Return host name to shard."""
        return {host: place.shard for host, place in self.places.items()}

    def without(self, hosts: Iterable[HostName]) -> "AssignmentTable":
        """Return the table without hosts that have gone for good.

        Only the owner of their shard may ask for that, once nothing runs on them.
        """
        gone = set(hosts)
        return AssignmentTable(
            {host: place for host, place in self.places.items() if host not in gone}
        )


def assign_hosts(
    table: AssignmentTable, hosts: Iterable[HostSpecification], shard_count: int
) -> AssignmentTable:
    """Give each new host a shard; a host that has one keeps it.

    Shards differ by one host of a kind at most, as long as none are removed. The
    first hosts of a kind are laid out rack by rack; later ones go to the least loaded
    shard, and among those to one that already has hosts of the rack.
    """
    places = dict(table.places)
    new = sorted(
        (host for host in hosts if host.name not in places),
        key=lambda host: (host.kind, host.rack, host.name),
    )
    for kind in sorted({host.kind for host in new}):
        of_kind = [host for host in new if host.kind == kind]
        if any(place.kind == kind for place in places.values()):
            _add_one_by_one(places, of_kind, shard_count)
        else:
            _lay_out(places, of_kind, shard_count)
    return AssignmentTable(places)


def _lay_out(
    places: dict[HostName, HostAssignment],
    hosts: Sequence[HostSpecification],
    shard_count: int,
) -> None:
    """Give hosts in order of their racks equal runs of shards."""
    for index, host in enumerate(hosts):
        shard = ShardId(index * shard_count // len(hosts))
        places[host.name] = HostAssignment(shard, host.kind, host.rack)


def _add_one_by_one(
    places: dict[HostName, HostAssignment],
    hosts: Iterable[HostSpecification],
    shard_count: int,
) -> None:
    """Give each host the least loaded shard, within its rack where it can be had."""
    loads = _loads(places)
    for host in hosts:
        shard = min(
            map(ShardId, range(shard_count)),
            key=lambda shard: (
                loads[shard, host.kind, None],
                -loads[shard, host.kind, host.rack],
                shard,
            ),
        )
        places[host.name] = HostAssignment(shard, host.kind, host.rack)
        loads[shard, host.kind, None] += 1
        loads[shard, host.kind, host.rack] += 1


def _loads(
    places: Mapping[HostName, HostAssignment],
) -> Counter[tuple[ShardId, str, Rack | None]]:
    """Count hosts by shard and kind, in all (None) and by rack."""
    loads: Counter[tuple[ShardId, str, Rack | None]] = Counter()
    for place in places.values():
        loads[place.shard, place.kind, None] += 1
        loads[place.shard, place.kind, place.rack] += 1
    return loads

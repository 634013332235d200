"""Assignment of hosts to shards."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from gooseberrydeck_coordination.ids import HostName, Rack, ShardId

__all__ = ["AssignmentTable", "HostAssignment", "HostSpecification", "assign_hosts"]


class HostSpecification(msgspec.Struct, frozen=True):
    """The properties of a host that decide its shard; each kind is balanced alone."""

    name: HostName
    kind: str
    rack: Rack


class HostAssignment(msgspec.Struct, frozen=True):
    """The shard of a host, and what is needed to balance hosts that are added later."""

    shard: ShardId
    kind: str
    rack: Rack


class AssignmentTable(msgspec.Struct, frozen=True):
    """The shard of every host that was seen and has not been removed."""

    places: dict[HostName, HostAssignment] = {}

    def shards(self) -> dict[HostName, ShardId]:
        """Return a mapping from host names to shards."""
        return {host: place.shard for host, place in self.places.items()}

    def without(self, hosts: Iterable[HostName]) -> "AssignmentTable":
        """Return the table without hosts that were removed permanently.

        Only the owner of their shard may remove hosts, once nothing runs on them.
        """
        gone = set(hosts)
        return AssignmentTable(
            {host: place for host, place in self.places.items() if host not in gone}
        )


def assign_hosts(
    table: AssignmentTable, hosts: Iterable[HostSpecification], shard_count: int
) -> AssignmentTable:
    """Return the table with a shard for each new host; others keep their shard.

    The numbers of hosts of a kind differ by at most one between shards, as long as no
    host is removed. The first hosts of a kind are distributed in the order of their
    racks. A later host goes to the shard with the fewest hosts of its kind, preferably
    one that already has hosts of its rack.
    """
    places = dict(table.places)
    new = sorted(
        (host for host in hosts if host.name not in places),
        key=lambda host: (host.kind, host.rack, host.name),
    )
    for kind in sorted({host.kind for host in new}):
        of_kind = [host for host in new if host.kind == kind]
        if any(place.kind == kind for place in places.values()):
            _assign_to_least_loaded(places, of_kind, shard_count)
        else:
            _assign_in_rack_order(places, of_kind, shard_count)
    return AssignmentTable(places)


def _assign_in_rack_order(
    places: dict[HostName, HostAssignment],
    hosts: Sequence[HostSpecification],
    shard_count: int,
) -> None:
    """Assign hosts, sorted by rack, evenly to consecutive shards."""
    for index, host in enumerate(hosts):
        shard = ShardId(index * shard_count // len(hosts))
        places[host.name] = HostAssignment(shard, host.kind, host.rack)


def _assign_to_least_loaded(
    places: dict[HostName, HostAssignment],
    hosts: Iterable[HostSpecification],
    shard_count: int,
) -> None:
    """Assign each host to the least loaded shard, preferring shards of its rack."""
    loads = _count_hosts(places)
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


def _count_hosts(
    places: Mapping[HostName, HostAssignment],
) -> Counter[tuple[ShardId, str, Rack | None]]:
    """Count hosts by shard and kind, for each rack and in total (rack None)."""
    loads: Counter[tuple[ShardId, str, Rack | None]] = Counter()
    for place in places.values():
        loads[place.shard, place.kind, None] += 1
        loads[place.shard, place.kind, place.rack] += 1
    return loads

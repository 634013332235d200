"""The settings of a member and its deployment."""

import msgspec

from gooseberrydeck_fleet.share_policy import SharePolicy
from gooseberrydeck_platform.http import HttpAddress

__all__ = ["DurationUses", "MemberSettings", "SettingsError", "Timing"]


class SettingsError(Exception):
    """The settings can't be read or are inconsistent."""


class Timing(msgspec.Struct, frozen=True):
    """Durations that the deployment configures, in seconds.

    ``task_lease_s`` limits how long a worker keeps running tasks without contact to its
    scheduler. For ``turn_s``, a member that has lost its shard must not claim it again.
    ``status_s`` is how long the status of ended jobs stays available. ``evacuation_s``
    is the time within which a requested evacuation of a data centre takes effect; if it
    is None, such requests are not read. A capacity that has shrunk counts
    ``contact_s`` and ``registration_s`` later.
    """

    min_lease_s: float = 1.0
    task_lease_s: float = 6.0
    configuration_s: float = 2.0
    turn_s: float = 3.0
    stop_grace_s: float = 6.0
    task_stop_s: float = 0.9
    gang_s: float = 3.0
    status_s: float = 120.0
    far_factor: float = 1.0
    notice_s: float = 4.5
    harm_s: float = 4.0
    checkpoint_s: float = 2.0
    registration_s: float = 1.5
    evacuation_s: float | None = None
    contact_s: float = 3.0


class DurationUses(msgspec.Struct, frozen=True):
    """What durations learned from finished runs are used for; by default, nothing.

    Without any use, nothing is learned.
    """

    lateness: bool = False
    due_time: bool = False
    moves: bool = False
    preemption: bool = False
    copies: bool = False
    placement: bool = False

    @property
    def is_any(self) -> bool:
        """Return True if learned durations are used for anything."""
        return any(msgspec.structs.astuple(self))

    @staticmethod
    def all() -> "DurationUses":
        """Return the settings with every use."""
        return DurationUses(*[True] * len(DurationUses.__struct_fields__))


class MemberSettings(msgspec.Struct, frozen=True):
    """A member's name, addresses and resources."""

    name: str
    address: str
    data_centre: str
    callers: HttpAddress
    readiness: HttpAddress
    peer_port: int
    metrics_port: int
    store: HttpAddress
    adviser: HttpAddress | None
    processor_share: float
    memory_mib: int
    max_fds: int
    timing: Timing
    durations: DurationUses = DurationUses()
    shares: SharePolicy = SharePolicy()

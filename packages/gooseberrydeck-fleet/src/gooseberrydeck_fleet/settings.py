"""The settings of a member and its deployment."""

import msgspec

from gooseberrydeck_platform.http import HttpAddress

__all__ = ["MemberSettings", "SettingsError", "Timing"]


class SettingsError(Exception):
    """The settings can't be read or are inconsistent."""


class Timing(msgspec.Struct, frozen=True):
    """Durations that the deployment configures, in seconds.

    ``task_lease_s`` limits how long a worker keeps running tasks without contact to its
    scheduler. For ``turn_s``, a member that has lost its shard must not claim it again.
    ``status_s`` is how long the status of ended jobs stays available. A capacity that
    has shrunk counts ``contact_s`` and ``registration_s`` later.
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
    contact_s: float = 3.0


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
    timing: Timing

"""What a member is told about itself and its deployment."""

import msgspec

from gooseberrydeck_platform.http import HttpAddress

__all__ = ["MemberSettings", "SettingsError", "Timing"]


class SettingsError(Exception):
    """The settings cannot be read or contradict each other."""


class Timing(msgspec.Struct, frozen=True):
    """Durations that the deployment sets, in seconds.

    ``task_lease_s`` bounds how long a worker goes on without its scheduler;
    ``turn_s`` is how long a former scheduler must not claim its shard back.
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


class MemberSettings(msgspec.Struct, frozen=True):
    """A member's name, addresses and room."""

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

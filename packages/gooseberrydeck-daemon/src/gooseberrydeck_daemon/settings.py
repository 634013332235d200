"""Settings of a member, read from a JSON file when the daemon starts."""

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec

from gooseberrydeck_coordination.ids import CellName, DataCentre, MemberId
from gooseberrydeck_coordination.timing import Timing

__all__ = [
    "CallersListener",
    "HostListSettings",
    "Listener",
    "Listeners",
    "LogFormat",
    "LogSettings",
    "OperatorKey",
    "OperatorsListener",
    "OverloadSettings",
    "PeerSettings",
    "PeerAddress",
    "Settings",
    "StatsdSettings",
    "StoreSettings",
]

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of settings; unknown fields are rejected."""


class Listener(StrictStruct, frozen=True):
    """TCP listener on the member's address; port 0 lets the system choose one."""

    port: Port


class CallersListener(StrictStruct, frozen=True):
    """Listener for callers and its limits.

    ``refusing_threads`` of the ``threads`` are reserved for refusing requests when the
    others are busy.
    """

    port: Port
    threads: Annotated[int, msgspec.Meta(ge=8, le=1024)] = 96
    refusing_threads: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    max_connections: Count = 2_000
    max_body_bytes: Count = 8_388_608


class OperatorKey(StrictStruct, frozen=True):
    """Key of an operator; only the SHA-256 digest of its secret is stored."""

    id: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._@-]{1,63}$")]
    sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class OperatorsListener(StrictStruct, frozen=True):
    """Listener for operators, its limits and its accepted keys."""

    port: Port
    threads: Annotated[int, msgspec.Meta(ge=2, le=64)] = 4
    max_connections: Count = 64
    max_body_bytes: Count = 4_194_304
    keys: tuple[OperatorKey, ...] = ()


class Listeners(StrictStruct, frozen=True):
    """The listeners of a member."""

    callers: CallersListener
    operators: OperatorsListener
    peers: Listener


class StoreSettings(StrictStruct, frozen=True):
    """Addresses of the store's HTTP gateway, and the timeout of a call."""

    addresses: tuple[str, ...]
    timeout_ms: Count = 1_000


class HostListSettings(StrictStruct, frozen=True):
    """Address of the platform's list of hosts, and the interval between reads."""

    address: str
    poll_ms: Annotated[int, msgspec.Meta(ge=50)] = 1_000


class PeerAddress(StrictStruct, frozen=True):
    """Address of a peer; an empty key stands for the one that the members share."""

    member: MemberId
    address: str
    port: Port
    public_key: str = ""


class PeerSettings(StrictStruct, frozen=True):
    """CURVE keys of the members, and peers that are known at startup.

    The secret key is given inline or as a file. ``accepted_public_keys`` lists further
    keys that peers may use during a key rotation.
    """

    public_key: str
    secret_key: str = ""
    secret_key_file: str = ""
    accepted_public_keys: tuple[str, ...] = ()
    initial: tuple[PeerAddress, ...] = ()

    def read_secret_key(self) -> str:
        """Return the secret key, read from its file if one is set."""
        if self.secret_key_file:
            return Path(self.secret_key_file).read_text().strip()
        return self.secret_key


class OverloadSettings(StrictStruct, frozen=True):
    """Switches of the overload protection mechanisms."""

    has_deadline_admission: bool = True
    has_caller_watch: bool = True
    has_fresh_first: bool = True
    has_retry_budget: bool = True
    has_breakers: bool = True


class StatsdSettings(StrictStruct, frozen=True):
    """Address of statsd, and the prefix of metric names."""

    address: str
    port: Port = 8125
    prefix: str = "gooseberrydeck"


class LogFormat(Enum):
    """Output format of log lines."""

    JSON = "json"
    CONSOLE = "console"


class LogSettings(StrictStruct, frozen=True):
    """Format and minimum level of log lines."""

    format: LogFormat = LogFormat.JSON
    level: str = "INFO"


class Settings(StrictStruct, frozen=True):
    """All settings of a member."""

    cell: Annotated[CellName, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
    member: Annotated[MemberId, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
    data_centre: DataCentre
    address: str
    listeners: Listeners
    store: StoreSettings
    host_list: HostListSettings
    peers: PeerSettings
    statsd: StatsdSettings | None = None
    log: LogSettings = LogSettings()
    timing: Timing = Timing()
    overload: OverloadSettings = OverloadSettings()
    shards: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 16

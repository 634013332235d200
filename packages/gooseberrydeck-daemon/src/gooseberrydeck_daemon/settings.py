"""The settings of one member, read from a JSON file at its start."""

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
    """The base of settings, which refuse fields they do not know."""


class Listener(StrictStruct, frozen=True):
    """A TCP port on the member's address; 0 lets the system choose one."""

    port: Port


class CallersListener(StrictStruct, frozen=True):
    """The callers' port and the bounds of what it takes in at once."""

    port: Port
    threads: Annotated[int, msgspec.Meta(ge=8, le=1024)] = 96
    refusing_threads: Annotated[int, msgspec.Meta(ge=1, le=64)] = 4
    max_connections: Count = 2_000
    max_body_bytes: Count = 8_388_608


class OperatorKey(StrictStruct, frozen=True):
    """A key of an operator; only the SHA-256 of the secret is kept."""

    id: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._@-]{1,63}$")]
    sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class OperatorsListener(StrictStruct, frozen=True):
    """The operators' port, its bounds and the keys that it takes."""

    port: Port
    threads: Annotated[int, msgspec.Meta(ge=2, le=64)] = 4
    max_connections: Count = 64
    max_body_bytes: Count = 4_194_304
    keys: tuple[OperatorKey, ...] = ()


class Listeners(StrictStruct, frozen=True):
    """The three listeners of a member."""

    callers: CallersListener
    operators: OperatorsListener
    peers: Listener


class StoreSettings(StrictStruct, frozen=True):
    """Where the store's HTTP gateway answers."""

    addresses: tuple[str, ...]
    timeout_ms: Count = 1_000


class HostListSettings(StrictStruct, frozen=True):
    """Where the platform's list of hosts answers, and how often it is read."""

    address: str
    poll_ms: Annotated[int, msgspec.Meta(ge=50)] = 1_000


class PeerAddress(StrictStruct, frozen=True):
    """Where a peer of the cell answers; the key is the cell's if left out."""

    member: MemberId
    address: str
    port: Port
    public_key: str = ""


class PeerSettings(StrictStruct, frozen=True):
    """The CURVE keys of the cell's members, and peers known from the start.

    The secret key is given inline or by file. ``accepted_public_keys`` adds keys of
    peers that have not changed theirs yet, while keys are rotated.
    """

    public_key: str
    secret_key: str = ""
    secret_key_file: str = ""
    accepted_public_keys: tuple[str, ...] = ()
    initial: tuple[PeerAddress, ...] = ()

    def read_secret_key(self) -> str:
        """Return the secret key, from its file if one is named."""
        if self.secret_key_file:
            return Path(self.secret_key_file).read_text().strip()
        return self.secret_key


class OverloadSettings(StrictStruct, frozen=True):
    """The mechanisms that keep requests useful under overload, each on or off."""

    has_deadline_admission: bool = True
    has_caller_watch: bool = True
    has_fresh_first: bool = True
    has_retry_budget: bool = True
    has_breakers: bool = True


class StatsdSettings(StrictStruct, frozen=True):
    """Where counters are sent."""

    address: str
    port: Port = 8125
    prefix: str = "gooseberrydeck"


class LogFormat(Enum):
    """How log lines are written."""

    JSON = "json"
    CONSOLE = "console"


class LogSettings(StrictStruct, frozen=True):
    """The form and level of log lines."""

    format: LogFormat = LogFormat.JSON
    level: str = "INFO"


class Settings(StrictStruct, frozen=True):
    """Everything that a member has to be told."""

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

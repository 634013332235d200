"""The named objects that operators publish."""

from enum import Enum

import msgspec

from gooseberrydeck_coordination.ids import (
    ConfigurationNumber,
    KeyId,
    QueueName,
    ServiceName,
    TeamName,
)

__all__ = [
    "Configuration",
    "Key",
    "Limit",
    "Queue",
    "QueuePolicy",
    "Service",
    "Share",
    "Team",
]


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of objects that refuse fields they do not know."""


class Team(Strict, frozen=True):
    """A team that submits work."""

    name: TeamName
    description: str = ""


class Key(Strict, frozen=True):
    """A key of a team; only the SHA-256 of the secret is kept, in hexadecimal."""

    id: KeyId
    team: TeamName
    sha256: str


class Share(Strict, frozen=True):
    """A team's weight when the cell is full."""

    team: TeamName
    weight: float


class Limit(Strict, frozen=True):
    """How many tasks and requests of a team may run at once in the whole fleet."""

    team: TeamName
    max_running: int


class QueuePolicy(Enum):
    """How a queue orders its jobs."""

    DEADLINE = "deadline"
    BATCH = "batch"
    GANG = "gang"
    STANDING = "standing"


class Queue(Strict, frozen=True):
    """Where jobs wait; an open queue takes work without a key for ``open_team``."""

    name: QueueName
    policy: QueuePolicy
    teams: tuple[TeamName, ...] = ()
    open_team: TeamName | None = None
    priority: int = 0
    max_waiting: int = 10_000
    max_attempts: int = 3
    max_run_s: float = 86_400.0


class Service(Strict, frozen=True):
    """Requests that endpoints answer while the caller waits."""

    name: ServiceName
    teams: tuple[TeamName, ...] = ()
    open_team: TeamName | None = None
    is_idempotent: bool = False
    timeout_ms: int = 10_000
    max_body_bytes: int = 1_048_576
    max_waiting: int = 256
    retry_share: float = 0.1
    objective_wait_ms: int = 100
    objective_share: float = 0.999


class Configuration(Strict, frozen=True):
    """The whole set of objects, as published under one number."""

    number: ConfigurationNumber = ConfigurationNumber(0)
    teams: tuple[Team, ...] = ()
    keys: tuple[Key, ...] = ()
    shares: tuple[Share, ...] = ()
    limits: tuple[Limit, ...] = ()
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()

"""Data model of a published configuration."""

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


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of immutable objects that reject unknown fields on decoding."""


class Team(StrictStruct, frozen=True):
    """A team that submits work."""

    name: TeamName
    description: str = ""


class Key(StrictStruct, frozen=True):
    """An API key of a team, stored as the hexadecimal SHA-256 of its secret."""

    id: KeyId
    team: TeamName
    sha256: str


class Share(StrictStruct, frozen=True):
    """The fraction of the cell that a team is entitled to under contention."""

    team: TeamName
    weight: float


class Limit(StrictStruct, frozen=True):
    """The maximum number of concurrent tasks and requests of a team in the fleet."""

    team: TeamName
    max_running: int


class QueuePolicy(Enum):
    """The scheduling policy of a queue."""

    DEADLINE = "deadline"
    BATCH = "batch"
    GANG = "gang"
    STANDING = "standing"


class Queue(StrictStruct, frozen=True):
    """A queue of jobs and its admission and retry limits.

    ``teams`` may submit jobs with their keys. If ``open_team`` is set, the queue also
    accepts jobs without a key and accounts them to that team.
    """

    name: QueueName
    policy: QueuePolicy
    teams: tuple[TeamName, ...] = ()
    open_team: TeamName | None = None
    priority: int = 0
    max_waiting: int = 10_000
    max_attempts: int = 3
    max_run_s: float = 86_400.0


class Service(StrictStruct, frozen=True):
    """A synchronous request/response service, with its limits and objective.

    ``teams`` may send requests with their keys. If ``open_team`` is set, the service
    also accepts requests without a key and accounts them to that team. The objective
    is that the fraction ``objective_share`` of requests waits less than
    ``objective_wait_ms`` and succeeds.
    """

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


class Configuration(StrictStruct, frozen=True):
    """The complete set of objects of one published configuration."""

    number: ConfigurationNumber = ConfigurationNumber(0)
    teams: tuple[Team, ...] = ()
    keys: tuple[Key, ...] = ()
    shares: tuple[Share, ...] = ()
    limits: tuple[Limit, ...] = ()
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()

"""The operators' configuration, in the form that the scheduler uses."""

import msgspec

from gooseberrydeck_coordination.ids import QueueName, ServiceName, TeamName
from gooseberrydeck_coordination.resources import Resources

__all__ = [
    "UNSERVED",
    "AdvicePolicy",
    "ConfigurationUnreadableError",
    "FleetConfiguration",
    "Queue",
    "QueueSettings",
    "Team",
    "accepted_queue",
    "unconfigured_queue",
]

UNLIMITED_ATTEMPTS = 1 << 30
"""Attempts of a job whose queue, and so their limit, is unknown."""

LAST_PRIORITY = 1 << 30
"""Jobs of this priority hold up no others."""

UNSERVED = ServiceName("")
"""A service without workers."""


class ConfigurationUnreadableError(Exception):
    """The stored configuration cannot be decoded."""


class AdvicePolicy(msgspec.Struct, frozen=True):
    """The expected duration of advice, per request and per worker, and its validity."""

    decide_s: float
    per_worker_s: float
    valid_s: float


class QueueSettings(msgspec.Struct, frozen=True, array_like=True):
    """What a queue says of the running of its jobs, as stored with each job.

    ``version`` is that of the configuration; the other fields are those of ``Queue``.
    New fields go to the end, with a default.
    """

    version: int
    service: ServiceName
    slack_s: float
    stretch: float
    priority: int
    max_attempts: int
    advice: AdvicePolicy | None = None


class Queue(msgspec.Struct, frozen=True):
    """A queue that jobs are submitted to.

    A job is on time if it ends within ``stretch`` times its critical path plus
    ``slack_s``. Priority 0 is the most urgent.
    """

    name: QueueName
    host: str
    path_prefix: str
    service: ServiceName
    slack_s: float
    stretch: float
    priority: int
    max_attempts: int
    advice: AdvicePolicy | None
    is_open: bool

    def settings(self, version: int) -> QueueSettings:
        """Return what has to be known of the queue once a job has been accepted.

        ``version`` is that of the configuration which holds the queue.
        """
        return QueueSettings(
            version,
            self.service,
            self.slack_s,
            self.stretch,
            self.priority,
            self.max_attempts,
            self.advice,
        )


def accepted_queue(name: QueueName, settings: QueueSettings) -> Queue:
    """Return a queue as it was when a job was accepted; it takes no further jobs."""
    return Queue(
        name=name,
        host="",
        path_prefix="",
        service=settings.service,
        slack_s=settings.slack_s,
        stretch=settings.stretch,
        priority=settings.priority,
        max_attempts=settings.max_attempts,
        advice=settings.advice,
        is_open=False,
    )


def unconfigured_queue(name: QueueName) -> Queue:
    """Return the settings for jobs of a queue that the configuration doesn't hold yet.

    No worker serves the queue, so that its jobs start nothing and none of them fails.
    """
    settings = QueueSettings(
        version=0,
        service=UNSERVED,
        slack_s=0.0,
        stretch=1.0,
        priority=LAST_PRIORITY,
        max_attempts=UNLIMITED_ATTEMPTS,
    )
    return accepted_queue(name, settings)


class Team(msgspec.Struct, frozen=True):
    """A team that submits jobs; a resource with a ``maximum`` of zero is unlimited."""

    name: TeamName
    keys: frozenset[str]
    weight: float
    maximum: Resources


class FleetConfiguration(msgspec.Struct, frozen=True):
    """One version of the configuration of all queues and teams."""

    version: int
    queues: tuple[Queue, ...]
    teams: tuple[Team, ...]

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching path prefix, if any."""
        name = host.partition(":")[0].lower()
        matches = [
            queue
            for queue in self.queues
            if queue.host == name and path.startswith(queue.path_prefix)
        ]
        return max(matches, key=lambda queue: len(queue.path_prefix), default=None)

    def find_team(self, key: str) -> Team | None:
        """Return the team that an API key belongs to, if any."""
        return next((team for team in self.teams if key in team.keys), None)

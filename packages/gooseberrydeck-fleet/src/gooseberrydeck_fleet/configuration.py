"""The operators' configuration, as members act on it."""

import msgspec

from gooseberrydeck_coordination.ids import QueueName, ServiceName, TeamName
from gooseberrydeck_coordination.resources import Resources

__all__ = ["AdvicePolicy", "FleetConfiguration", "Queue", "Team"]


class AdvicePolicy(msgspec.Struct, frozen=True):
    """How long advice takes, per call and per worker, and how long it holds."""

    decide_s: float
    per_worker_s: float
    valid_s: float


class Queue(msgspec.Struct, frozen=True):
    """Where jobs are submitted.

    A job is on time within ``stretch`` times its longest chain of work plus
    ``slack_s``. Priority 0 goes before all others.
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


class Team(msgspec.Struct, frozen=True):
    """Whose work runs; a ``maximum`` of zero is no limit."""

    name: TeamName
    keys: frozenset[str]
    weight: float
    maximum: Resources


class FleetConfiguration(msgspec.Struct, frozen=True):
    """One version of the whole configuration."""

    version: int
    queues: tuple[Queue, ...]
    teams: tuple[Team, ...]

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, if any."""
        name = host.partition(":")[0].lower()
        matches = [
            queue
            for queue in self.queues
            if queue.host == name and path.startswith(queue.path_prefix)
        ]
        return max(matches, key=lambda queue: len(queue.path_prefix), default=None)

    def find_team(self, key: str) -> Team | None:
        """Return the team that a key belongs to, if any."""
        return next((team for team in self.teams if key in team.keys), None)

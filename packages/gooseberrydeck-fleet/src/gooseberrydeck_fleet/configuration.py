"""The operators' configuration, in the form that the scheduler uses."""

import msgspec

from gooseberrydeck_coordination.ids import QueueName, ServiceName, TeamName
from gooseberrydeck_coordination.resources import Resources

__all__ = ["AdvicePolicy", "FleetConfiguration", "Queue", "Team"]


class AdvicePolicy(msgspec.Struct, frozen=True):
    """The expected duration of advice, per request and per worker, and its validity."""

    decide_s: float
    per_worker_s: float
    valid_s: float


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

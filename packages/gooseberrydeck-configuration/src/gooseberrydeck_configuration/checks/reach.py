"""Checks for queues and services that no team can use, although teams are named."""

from collections.abc import Iterator

from gooseberrydeck_configuration.checks.messages import Problem, ProblemKind
from gooseberrydeck_configuration.checks.registry import CheckContext, registry
from gooseberrydeck_configuration.objects import Configuration, Queue, Service

__all__ = ["check_reach"]

REACH_HINT = "grant a key, raise a limit, or remove the entry"

QUEUE_UNREACHABLE = registry.define(
    "queues.W002",
    "Each team of a queue lacks a key or is stopped by a limit of 0.",
    REACH_HINT,
)
SERVICE_UNREACHABLE = registry.define(
    "services.W003",
    "Each team of a service lacks a key or is stopped by a limit of 0.",
    REACH_HINT,
)


@registry.register
def check_reach(context: CheckContext) -> Iterator[Problem]:
    """Check that a team of each queue and service can have something run there."""
    configuration = context.configuration
    for queue in configuration.queues:
        yield from find_unreachable(
            QUEUE_UNREACHABLE, f"queue {queue.name}", queue, configuration
        )
    for service in configuration.services:
        yield from find_unreachable(
            SERVICE_UNREACHABLE, f"service {service.name}", service, configuration
        )


def find_unreachable(
    kind: ProblemKind, label: str, entry: Queue | Service, configuration: Configuration
) -> Iterator[Problem]:
    """Yield a problem if teams may use an entry, but none of them can."""
    stopped = {each.team for each in configuration.limits if each.max_running == 0}
    with_key = {key.team for key in configuration.keys}
    users = [team for team in entry.teams if team in with_key]
    if entry.open_team is not None:
        users.append(entry.open_team)
    has_teams = bool(entry.teams) or entry.open_team is not None
    if has_teams and not set(users) - stopped:
        yield kind.make_problem(label, "teams", "no team named here can use it")

"""Checks of queues and services."""

import math
from collections.abc import Iterator

from gooseberrydeck_configuration.checks.messages import Problem
from gooseberrydeck_configuration.checks.names import (
    find_duplicates,
    find_invalid_names,
    find_unknown_teams,
)
from gooseberrydeck_configuration.checks.registry import CheckContext, registry
from gooseberrydeck_configuration.checks.teams import NAME_HINT, TEAM_HINT, team_names
from gooseberrydeck_configuration.objects import Queue, Service

__all__ = ["MAX_BODY_BYTES", "MAX_PRIORITY", "MAX_TIMEOUT_MS"]

MAX_PRIORITY = 1_000
MAX_TIMEOUT_MS = 300_000
MAX_BODY_BYTES = 16 * 1_048_576

QUEUE_DUPLICATE = registry.define(
    "queues.E001", "Two queues have one name.", "rename or remove one of them"
)
QUEUE_NAME_INVALID = registry.define(
    "queues.E002", "A queue's name is not valid.", NAME_HINT
)
QUEUE_TEAM_UNKNOWN = registry.define(
    "queues.E003", "A queue names a team that does not exist.", TEAM_HINT
)
QUEUE_WITHOUT_TEAMS = registry.define(
    "queues.E004", "No team may use a queue.", "name teams, or an open_team"
)
QUEUE_OPEN_TEAM_UNKNOWN = registry.define(
    "queues.E005", "An open queue's team does not exist.", TEAM_HINT
)
QUEUE_MAX_WAITING = registry.define(
    "queues.E006", "A queue cannot hold a job.", "give max_waiting of 1 or more"
)
QUEUE_MAX_ATTEMPTS = registry.define(
    "queues.E007", "A queue never starts a task.", "give max_attempts of 1 or more"
)
QUEUE_MAX_RUN_TIME = registry.define(
    "queues.E008", "A queue's longest run time is not above 0.", "give seconds above 0"
)
QUEUE_PRIORITY = registry.define(
    "queues.E009",
    "A queue's priority is out of range.",
    f"give a priority from -{MAX_PRIORITY} to {MAX_PRIORITY}",
)
QUEUE_TEAM_REPEATED = registry.define(
    "queues.W001", "A queue names a team twice.", "remove one of them"
)

SERVICE_DUPLICATE = registry.define(
    "services.E001", "Two services have one name.", "rename or remove one of them"
)
SERVICE_NAME_INVALID = registry.define(
    "services.E002", "A service's name is not valid.", NAME_HINT
)
SERVICE_TEAM_UNKNOWN = registry.define(
    "services.E003", "A service names a team that does not exist.", TEAM_HINT
)
SERVICE_WITHOUT_TEAMS = registry.define(
    "services.E004", "No team may use a service.", "name teams, or an open_team"
)
SERVICE_OPEN_TEAM_UNKNOWN = registry.define(
    "services.E005", "An open service's team does not exist.", TEAM_HINT
)
SERVICE_TIMEOUT = registry.define(
    "services.E006",
    "A service's timeout is out of range.",
    f"give from 1 to {MAX_TIMEOUT_MS} ms",
)
SERVICE_MAX_BODY = registry.define(
    "services.E007",
    "A service's largest body is out of range.",
    f"give from 0 to {MAX_BODY_BYTES} bytes",
)
SERVICE_MAX_WAITING = registry.define(
    "services.E008", "A service cannot hold a request.", "give max_waiting of 1 or more"
)
SERVICE_RETRY_SHARE = registry.define(
    "services.E009", "A service's retry share is out of range.", "give from 0 to 1"
)
SERVICE_OBJECTIVE_WAIT = registry.define(
    "services.E010", "A service's objective wait is not above 0.", "give 1 ms or more"
)
SERVICE_OBJECTIVE_SHARE = registry.define(
    "services.E011",
    "A service's objective share is out of range.",
    "give a share above 0 and below 1, such as 0.999",
)
SERVICE_OBJECTIVE_LATE = registry.define(
    "services.W001",
    "A service's objective waits longer than its timeout.",
    "lower objective_wait_ms or raise timeout_ms",
)
SERVICE_TEAM_REPEATED = registry.define(
    "services.W002", "A service names a team twice.", "remove one of them"
)


@registry.register
def check_queues(context: CheckContext) -> Iterator[Problem]:
    """Check the names, teams and numeric settings of queues."""
    queues = context.configuration.queues
    known = team_names(context.configuration)
    names = [queue.name for queue in queues]
    yield from find_duplicates(QUEUE_DUPLICATE, "queue", "name", names)
    yield from find_invalid_names(QUEUE_NAME_INVALID, "queue", "name", names)
    for queue in queues:
        yield from check_queue_teams(queue, known)
        yield from check_queue_sizes(queue)


def check_queue_teams(queue: Queue, known: frozenset[str]) -> Iterator[Problem]:
    """Check that a queue has at least one team and that its teams exist."""
    name = f"queue {queue.name}"
    yield from find_unknown_teams(QUEUE_TEAM_UNKNOWN, name, "teams", queue.teams, known)
    if len(set(queue.teams)) < len(queue.teams):
        yield QUEUE_TEAM_REPEATED.make_problem(name, "teams", "a team is named twice")
    if queue.open_team is not None:
        yield from find_unknown_teams(
            QUEUE_OPEN_TEAM_UNKNOWN, name, "open_team", [queue.open_team], known
        )
    elif not queue.teams:
        yield QUEUE_WITHOUT_TEAMS.make_problem(
            name, "teams", "no team may use the queue"
        )


def check_queue_sizes(queue: Queue) -> Iterator[Problem]:
    """Check the ranges of the numeric settings of a queue."""
    name = f"queue {queue.name}"
    if queue.max_waiting < 1:
        yield QUEUE_MAX_WAITING.make_problem(
            name, "max_waiting", f"{queue.max_waiting} jobs may wait"
        )
    if queue.max_attempts < 1:
        yield QUEUE_MAX_ATTEMPTS.make_problem(
            name, "max_attempts", f"a task is tried {queue.max_attempts} times"
        )
    if not (math.isfinite(queue.max_run_s) and queue.max_run_s > 0):
        yield QUEUE_MAX_RUN_TIME.make_problem(
            name, "max_run_s", f"the run time {queue.max_run_s} s is not above 0"
        )
    if abs(queue.priority) > MAX_PRIORITY:
        yield QUEUE_PRIORITY.make_problem(
            name, "priority", f"the priority {queue.priority} is out of range"
        )


@registry.register
def check_services(context: CheckContext) -> Iterator[Problem]:
    """Check the names, teams, numeric settings and objectives of services."""
    services = context.configuration.services
    known = team_names(context.configuration)
    names = [service.name for service in services]
    yield from find_duplicates(SERVICE_DUPLICATE, "service", "name", names)
    yield from find_invalid_names(SERVICE_NAME_INVALID, "service", "name", names)
    for service in services:
        yield from check_service_teams(service, known)
        yield from check_service_sizes(service)
        yield from check_service_objective(service)


def check_service_teams(service: Service, known: frozenset[str]) -> Iterator[Problem]:
    """Check that a service has at least one team and that its teams exist."""
    name = f"service {service.name}"
    yield from find_unknown_teams(
        SERVICE_TEAM_UNKNOWN, name, "teams", service.teams, known
    )
    if len(set(service.teams)) < len(service.teams):
        yield SERVICE_TEAM_REPEATED.make_problem(name, "teams", "a team is named twice")
    if service.open_team is not None:
        yield from find_unknown_teams(
            SERVICE_OPEN_TEAM_UNKNOWN, name, "open_team", [service.open_team], known
        )
    elif not service.teams:
        yield SERVICE_WITHOUT_TEAMS.make_problem(
            name, "teams", "no team may use the service"
        )


def check_service_sizes(service: Service) -> Iterator[Problem]:
    """Check the ranges of the timeout and the size limits of a service."""
    name = f"service {service.name}"
    if not 1 <= service.timeout_ms <= MAX_TIMEOUT_MS:
        yield SERVICE_TIMEOUT.make_problem(
            name, "timeout_ms", f"the timeout {service.timeout_ms} ms is out of range"
        )
    if not 0 <= service.max_body_bytes <= MAX_BODY_BYTES:
        yield SERVICE_MAX_BODY.make_problem(
            name, "max_body_bytes", f"{service.max_body_bytes} bytes is out of range"
        )
    if service.max_waiting < 1:
        yield SERVICE_MAX_WAITING.make_problem(
            name, "max_waiting", f"{service.max_waiting} requests may wait"
        )
    if not 0 <= service.retry_share <= 1:
        yield SERVICE_RETRY_SHARE.make_problem(
            name, "retry_share", f"the share {service.retry_share} is out of range"
        )


def check_service_objective(service: Service) -> Iterator[Problem]:
    """Check that the objective is well-formed and achievable within the timeout."""
    name = f"service {service.name}"
    if service.objective_wait_ms < 1:
        yield SERVICE_OBJECTIVE_WAIT.make_problem(
            name,
            "objective_wait_ms",
            f"the wait {service.objective_wait_ms} ms is not above 0",
        )
    if not 0 < service.objective_share < 1:
        yield SERVICE_OBJECTIVE_SHARE.make_problem(
            name,
            "objective_share",
            f"the share {service.objective_share} is out of range",
        )
    if service.objective_wait_ms > service.timeout_ms:
        yield SERVICE_OBJECTIVE_LATE.make_problem(
            name,
            "objective_wait_ms",
            f"{service.objective_wait_ms} ms is more than the timeout",
        )

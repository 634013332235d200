"""Checks of a configuration against the capacity of the cell and the store.

Capacity problems of objects that a publication leaves unchanged are only warnings. The
host list may be outdated and hosts may be lost; losing a data centre must not prevent
an operator from withdrawing a key.
"""

from collections.abc import Iterator

import msgspec

from gooseberrydeck_configuration.checks.messages import Level, Problem
from gooseberrydeck_configuration.checks.registry import CheckContext, registry

__all__ = ["MAX_CONFIGURATION_BYTES"]

MAX_CONFIGURATION_BYTES = 900_000
"""Maximum size of a configuration as JSON; a store value is limited to one megabyte."""

LIMIT_OVER_CELL = registry.define(
    "limits.E004",
    "A limit is more than the whole cell can run.",
    "lower the limit or add hosts first",
)
SERVICE_WITHOUT_HOST = registry.define(
    "services.E012",
    "No host offers an endpoint of a service.",
    "start endpoints of that name first, or correct the name",
)
CELL_UNKNOWN = registry.define(
    "cell.W001",
    "The hosts are not known, so nothing was checked against them.",
    "check through a member: gooseberryctl config check",
)
CONFIGURATION_TOO_LARGE = registry.define(
    "cell.E001",
    "The configuration is larger than the store can hold.",
    f"keep it under {MAX_CONFIGURATION_BYTES} bytes; remove unused objects",
)


def downgrade_if_unchanged(problem: Problem, is_unchanged: bool) -> Problem:
    """Return the problem, with the level WARNING if its object is unchanged."""
    if is_unchanged:
        return msgspec.structs.replace(problem, level=Level.WARNING)
    return problem


@registry.register
def check_size(context: CheckContext) -> Iterator[Problem]:
    """Check that the configuration fits into a single store value."""
    size = len(msgspec.json.encode(context.configuration))
    if size > MAX_CONFIGURATION_BYTES:
        yield CONFIGURATION_TOO_LARGE.make_problem(
            "configuration", "", f"it takes {size} bytes"
        )


@registry.register
def check_limits_fit(context: CheckContext) -> Iterator[Problem]:
    """Check that no limit exceeds the number of tasks and requests the cell can run."""
    if context.cell is None:
        yield CELL_UNKNOWN.make_problem(
            "cell", "", "the hosts of the cell are not known"
        )
        return
    before = context.previous.limits if context.previous else ()
    max_running = context.cell.max_running
    for limit in context.configuration.limits:
        if limit.max_running > max_running:
            problem = LIMIT_OVER_CELL.make_problem(
                f"limit {limit.team}",
                "max_running",
                f"the limit {limit.max_running} is over the cell's {max_running}",
            )
            yield downgrade_if_unchanged(problem, limit in before)


@registry.register
def check_services_fit(context: CheckContext) -> Iterator[Problem]:
    """Check that every service has at least one endpoint slot in the cell."""
    if context.cell is None:
        return
    before = context.previous.services if context.previous else ()
    for service in context.configuration.services:
        if context.cell.slots.get(service.name, 0) < 1:
            problem = SERVICE_WITHOUT_HOST.make_problem(
                f"service {service.name}",
                "name",
                "no host offers an endpoint of the service",
            )
            yield downgrade_if_unchanged(problem, service in before)

"""Checks of a configuration against the hosts of the cell.

A host list lags and hosts are lost, so an object that the publication leaves as it
is gets a warning in place of an error: a lost data centre must not stop an operator
from withdrawing a key.
"""

from collections.abc import Iterator

import msgspec

from gooseberrydeck_configuration.checks.messages import Level, Problem
from gooseberrydeck_configuration.checks.registry import Subject, registry

__all__ = ["MAX_CONFIGURATION_BYTES"]

MAX_CONFIGURATION_BYTES = 900_000
"""The most a configuration may take in JSON; the store holds a megabyte a value."""

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
TOO_LARGE = registry.define(
    "cell.E001",
    "The configuration is larger than the store can hold.",
    f"keep it under {MAX_CONFIGURATION_BYTES} bytes; remove unused objects",
)


def softened(problem: Problem, is_unchanged: bool) -> Problem:
    """Return the problem, as a warning if its object is in force already."""
    if is_unchanged:
        return msgspec.structs.replace(problem, level=Level.WARNING)
    return problem


@registry.register
def check_size(subject: Subject) -> Iterator[Problem]:
    """Check that the configuration fits in one value of the store."""
    size = len(msgspec.json.encode(subject.configuration))
    if size > MAX_CONFIGURATION_BYTES:
        yield TOO_LARGE.at("configuration", "", f"it takes {size} bytes")


@registry.register
def check_limits_fit(subject: Subject) -> Iterator[Problem]:
    """Check that no limit is more than the cell can run at once."""
    if subject.cell is None:
        yield CELL_UNKNOWN.at("cell", "", "the hosts of the cell are not known")
        return
    before = subject.previous.limits if subject.previous else ()
    most = subject.cell.max_running
    for limit in subject.configuration.limits:
        if limit.max_running > most:
            problem = LIMIT_OVER_CELL.at(
                f"limit {limit.team}",
                "max_running",
                f"the limit {limit.max_running} is over the cell's {most}",
            )
            yield softened(problem, limit in before)


@registry.register
def check_services_fit(subject: Subject) -> Iterator[Problem]:
    """Check that each service has an endpoint on some host."""
    if subject.cell is None:
        return
    before = subject.previous.services if subject.previous else ()
    for service in subject.configuration.services:
        if subject.cell.slots.get(service.name, 0) < 1:
            problem = SERVICE_WITHOUT_HOST.at(
                f"service {service.name}",
                "name",
                "no host offers an endpoint of the service",
            )
            yield softened(problem, service in before)

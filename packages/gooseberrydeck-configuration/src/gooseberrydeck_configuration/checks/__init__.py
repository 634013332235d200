"""Validation of a complete configuration.

Checks report all problems together instead of stopping at the first one.
"""

from gooseberrydeck_configuration.checks import capacity, reach, teams, work
from gooseberrydeck_configuration.checks.cell import CellCapacity
from gooseberrydeck_configuration.checks.messages import Level, Problem, ProblemKind
from gooseberrydeck_configuration.checks.registry import (
    CheckContext,
    CheckRegistry,
    registry,
)
from gooseberrydeck_configuration.objects import Configuration

__all__ = [
    "CellCapacity",
    "CheckContext",
    "CheckRegistry",
    "Level",
    "Problem",
    "ProblemKind",
    "capacity",
    "has_errors",
    "reach",
    "registry",
    "run_checks",
    "teams",
    "work",
]


def run_checks(
    configuration: Configuration,
    cell: CellCapacity | None = None,
    previous: Configuration | None = None,
) -> tuple[Problem, ...]:
    """Run all registered checks and return the problems found, errors first.

    ``cell`` is None if the hosts are unknown, and ``previous`` is the configuration in
    force, if any.
    """
    return registry.run(CheckContext(configuration, cell, previous))


def has_errors(problems: tuple[Problem, ...]) -> bool:
    """Return True if any of the problems prevents publication."""
    return any(problem.level is Level.ERROR for problem in problems)

"""Checks over a whole configuration; all problems are listed at once."""

from gooseberrydeck_configuration.checks import capacity, teams, work
from gooseberrydeck_configuration.checks.cell import CellCapacity
from gooseberrydeck_configuration.checks.messages import Level, Problem, ProblemKind
from gooseberrydeck_configuration.checks.registry import (
    CheckRegistry,
    Subject,
    registry,
)
from gooseberrydeck_configuration.objects import Configuration

__all__ = [
    "CellCapacity",
    "CheckRegistry",
    "Level",
    "Problem",
    "ProblemKind",
    "Subject",
    "capacity",
    "has_errors",
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
    """Run every registered check and return all problems, errors first."""
    return registry.run(Subject(configuration, cell, previous))


def has_errors(problems: tuple[Problem, ...]) -> bool:
    """Tell whether any problem stops the publication."""
    return any(problem.level is Level.ERROR for problem in problems)

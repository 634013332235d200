"""The registry of checks over a whole configuration."""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from gooseberrydeck_configuration.checks.cell import CellCapacity
from gooseberrydeck_configuration.checks.messages import Level, Problem, ProblemKind
from gooseberrydeck_configuration.objects import Configuration

__all__ = ["Check", "CheckRegistry", "Subject", "registry"]


class Subject(msgspec.Struct, frozen=True):
    """What a check looks at.

    ``cell`` is None where the hosts are not known. ``previous`` is the
    configuration in force, or None for the first.
    """

    configuration: Configuration
    cell: CellCapacity | None = None
    previous: Configuration | None = None


Check = Callable[[Subject], Iterable[Problem]]


class CheckRegistry:
    """Know every check and every kind of problem, and run the checks."""

    def __init__(self) -> None:
        """Begin without checks."""
        self.kinds: dict[str, ProblemKind] = {}
        self.checks: list[Check] = []

    def define(self, id: str, summary: str, hint: str = "") -> ProblemKind:
        """Add a kind of problem; its id must be new."""
        if id in self.kinds:
            raise ValueError(f"the problem id {id} is defined twice")
        kind = ProblemKind(id, summary, hint)
        self.kinds[id] = kind
        return kind

    def register(self, check: Check) -> Check:
        """Add a check; usable as a decorator."""
        self.checks.append(check)
        return check

    def run(self, subject: Subject) -> tuple[Problem, ...]:
        """Run every check and return all problems, errors first."""
        problems = list(self.iterate(subject))
        problems.sort(key=lambda problem: problem.level is not Level.ERROR)
        return tuple(problems)

    def iterate(self, subject: Subject) -> Iterator[Problem]:
        """Yield the problems check by check."""
        for check in self.checks:
            yield from check(subject)


registry = CheckRegistry()

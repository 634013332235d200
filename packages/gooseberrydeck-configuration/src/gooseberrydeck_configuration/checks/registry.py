"""Registry of configuration checks and kinds of problems."""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from gooseberrydeck_configuration.checks.cell import CellCapacity
from gooseberrydeck_configuration.checks.messages import Level, Problem, ProblemKind
from gooseberrydeck_configuration.objects import Configuration

__all__ = ["Check", "CheckContext", "CheckRegistry", "registry"]


class CheckContext(msgspec.Struct, frozen=True):
    """The input of a check.

    ``cell`` is None if the hosts are unknown. ``previous`` is the configuration in
    force, or None if nothing has been published yet.
    """

    configuration: Configuration
    cell: CellCapacity | None = None
    previous: Configuration | None = None


Check = Callable[[CheckContext], Iterable[Problem]]


class CheckRegistry:
    """Collection of checks and the kinds of problems that they report."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self.kinds: dict[str, ProblemKind] = {}
        self.checks: list[Check] = []

    def define(self, id: str, summary: str, hint: str = "") -> ProblemKind:
        """Define a kind of problem.

        Raise ``ValueError`` if the id is already defined.
        """
        if id in self.kinds:
            raise ValueError(f"the problem id {id} is defined twice")
        kind = ProblemKind(id, summary, hint)
        self.kinds[id] = kind
        return kind

    def register(self, check: Check) -> Check:
        """Register a check and return it, for use as a decorator."""
        self.checks.append(check)
        return check

    def run(self, context: CheckContext) -> tuple[Problem, ...]:
        """Run all checks and return the problems found, errors first."""
        problems = list(self.iterate(context))
        problems.sort(key=lambda problem: problem.level is not Level.ERROR)
        return tuple(problems)

    def iterate(self, context: CheckContext) -> Iterator[Problem]:
        """Yield the problems found by each check, in order of registration."""
        for check in self.checks:
            yield from check(context)


registry = CheckRegistry()

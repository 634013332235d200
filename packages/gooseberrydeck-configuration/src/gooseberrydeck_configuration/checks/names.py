"""Helpers of checks that look at names and references."""

import re
from collections import Counter
from collections.abc import Iterable, Iterator

from gooseberrydeck_configuration.checks.messages import Problem, ProblemKind

__all__ = ["MAX_NAME_LENGTH", "duplicates", "is_name", "malformed", "unknown"]

MAX_NAME_LENGTH = 63
NAME_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9-]*[a-z0-9])?")


def is_name(name: str) -> bool:
    """Tell whether a name is lower-case letters, digits and inner hyphens."""
    return len(name) <= MAX_NAME_LENGTH and bool(NAME_PATTERN.fullmatch(name))


def duplicates(
    kind: ProblemKind, noun: str, field: str, names: Iterable[str]
) -> Iterator[Problem]:
    """Yield one problem for each name that occurs more than once."""
    for name, count in Counter(names).items():
        if count > 1:
            yield kind.at(
                f"{noun} {name}", field, f"{noun} {name!r} is given {count} times"
            )


def malformed(
    kind: ProblemKind, noun: str, field: str, names: Iterable[str]
) -> Iterator[Problem]:
    """Yield one problem for each name that cannot stand in a URL or a key."""
    for name in names:
        if not is_name(name):
            yield kind.at(f"{noun} {name}", field, f"{name!r} is not a valid name")


def unknown(
    kind: ProblemKind,
    subject: str,
    field: str,
    references: Iterable[str],
    known: frozenset[str],
) -> Iterator[Problem]:
    """Yield one problem for each reference to a team that does not exist."""
    for name in references:
        if name not in known:
            yield kind.at(subject, field, f"there is no team {name!r}")

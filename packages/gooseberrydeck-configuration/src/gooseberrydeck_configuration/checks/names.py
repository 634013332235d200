"""Shared helpers for checks of names and references to teams."""

import re
from collections import Counter
from collections.abc import Iterable, Iterator

from gooseberrydeck_configuration.checks.messages import Problem, ProblemKind

__all__ = [
    "MAX_NAME_LENGTH",
    "find_duplicates",
    "find_invalid_names",
    "find_unknown_teams",
    "is_valid_name",
]

MAX_NAME_LENGTH = 63
NAME_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9-]*[a-z0-9])?")


def is_valid_name(name: str) -> bool:
    """Return True if the name is valid.

    Valid names have at most ``MAX_NAME_LENGTH`` lower-case ASCII letters, digits and
    hyphens, and neither start nor end with a hyphen.
    """
    return len(name) <= MAX_NAME_LENGTH and bool(NAME_PATTERN.fullmatch(name))


def find_duplicates(
    kind: ProblemKind, noun: str, field: str, names: Iterable[str]
) -> Iterator[Problem]:
    """Yield a problem for each name that occurs more than once."""
    for name, count in Counter(names).items():
        if count > 1:
            yield kind.make_problem(
                f"{noun} {name}", field, f"{noun} {name!r} is given {count} times"
            )


def find_invalid_names(
    kind: ProblemKind, noun: str, field: str, names: Iterable[str]
) -> Iterator[Problem]:
    """Yield a problem for each name that is unsafe in URLs and store keys."""
    for name in names:
        if not is_valid_name(name):
            yield kind.make_problem(
                f"{noun} {name}", field, f"{name!r} is not a valid name"
            )


def find_unknown_teams(
    kind: ProblemKind,
    object_label: str,
    field: str,
    references: Iterable[str],
    known: frozenset[str],
) -> Iterator[Problem]:
    """Yield a problem for each reference to a team that does not exist."""
    for name in references:
        if name not in known:
            yield kind.make_problem(object_label, field, f"there is no team {name!r}")

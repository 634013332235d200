"""Differences between two configurations, by object and field."""

from collections.abc import Iterator
from enum import Enum
from typing import Any

import msgspec

from gooseberrydeck_configuration.objects import Configuration

__all__ = ["Difference", "DifferenceKind", "FieldChange", "differences"]

IDENTIFYING_FIELDS = {
    "teams": "name",
    "keys": "id",
    "shares": "team",
    "limits": "team",
    "queues": "name",
    "services": "name",
}


class DifferenceKind(Enum):
    """How an object differs between two configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(msgspec.Struct, frozen=True):
    """The old and new value of a changed field."""

    field: str
    before: Any
    after: Any


class Difference(msgspec.Struct, frozen=True):
    """An added, removed or changed object."""

    kind: DifferenceKind
    section: str
    name: str
    changes: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        """Return a one-line description."""
        changes = ", ".join(
            f"{change.field}: {change.before!r} -> {change.after!r}"
            for change in self.changes
        )
        line = f"{self.kind.value} {self.section}/{self.name}"
        return f"{line} ({changes})" if changes else line


def differences(before: Configuration, after: Configuration) -> tuple[Difference, ...]:
    """Return the differing objects, ordered by section and name.

    The numbers of the configurations are not compared.
    """
    found: list[Difference] = []
    for section, identifying_field in IDENTIFYING_FIELDS.items():
        found.extend(
            section_differences(
                section,
                {
                    getattr(item, identifying_field): item
                    for item in getattr(before, section)
                },
                {
                    getattr(item, identifying_field): item
                    for item in getattr(after, section)
                },
            )
        )
    return tuple(found)


def section_differences(
    section: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    """Yield the differences between two versions of a section, ordered by name."""
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Difference(DifferenceKind.ADDED, section, name)
        elif name not in after:
            yield Difference(DifferenceKind.REMOVED, section, name)
        elif before[name] != after[name]:
            changes = tuple(field_changes(before[name], after[name]))
            yield Difference(DifferenceKind.CHANGED, section, name, changes)


def field_changes(before: Any, after: Any) -> Iterator[FieldChange]:
    """Yield the fields whose JSON representations differ."""
    old = msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    for field in old:
        if old[field] != new[field]:
            yield FieldChange(field, old[field], new[field])

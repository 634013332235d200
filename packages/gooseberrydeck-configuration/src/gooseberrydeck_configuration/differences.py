"""What differs between two configurations."""

from collections.abc import Iterator
from enum import Enum
from typing import Any

import msgspec

from gooseberrydeck_configuration.objects import Configuration

__all__ = ["Difference", "DifferenceKind", "FieldChange", "differences"]

IDENTITIES = {
    "teams": "name",
    "keys": "id",
    "shares": "team",
    "limits": "team",
    "queues": "name",
    "services": "name",
}


class DifferenceKind(Enum):
    """What happened to an object."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(msgspec.Struct, frozen=True):
    """A field of an object with its values before and after."""

    field: str
    before: Any
    after: Any


class Difference(msgspec.Struct, frozen=True):
    """One object that was added, removed or changed."""

    kind: DifferenceKind
    section: str
    name: str
    changes: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        """Return the difference as one line."""
        changes = ", ".join(
            f"{change.field}: {change.before!r} -> {change.after!r}"
            for change in self.changes
        )
        line = f"{self.kind.value} {self.section}/{self.name}"
        return f"{line} ({changes})" if changes else line


def differences(before: Configuration, after: Configuration) -> tuple[Difference, ...]:
    """Return what differs, section by section and by name; the number is left out."""
    found: list[Difference] = []
    for section, identity in IDENTITIES.items():
        found.extend(
            section_differences(
                section,
                {getattr(item, identity): item for item in getattr(before, section)},
                {getattr(item, identity): item for item in getattr(after, section)},
            )
        )
    return tuple(found)


def section_differences(
    section: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    """Yield the differences of one section."""
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Difference(DifferenceKind.ADDED, section, name)
        elif name not in after:
            yield Difference(DifferenceKind.REMOVED, section, name)
        elif before[name] != after[name]:
            changes = tuple(field_changes(before[name], after[name]))
            yield Difference(DifferenceKind.CHANGED, section, name, changes)


def field_changes(before: Any, after: Any) -> Iterator[FieldChange]:
    """Yield the fields whose values differ, as JSON holds them."""
    old = msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    for field in old:
        if old[field] != new[field]:
            yield FieldChange(field, old[field], new[field])

"""Gangs that span several in-memory workers: runs whose members work only together."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from gooseberrydeck_fleet.ids import StepRef, TaskRef
from gooseberrydeck_fleet.worker_calls import EndKind

__all__ = ["DueEnd", "Gang", "GangMember", "GangRegistry"]

GANG_TIMEOUT_S = 3.0
"""Time that a member waits for the others, as on the users' platform."""


class DueEnd(NamedTuple):
    """When and how a run ends unless something else ends it before."""

    at_s: float
    kind: EndKind


class GangMember(Protocol):
    """A member that is present on a worker; times are those of the shared clock."""

    joined_s: float
    done_s: float

    def next_end(self) -> DueEnd:
        """Return the first end that does not depend on the other members."""

    def work_ends_s(self, began_s: float) -> float | None:
        """Return when the work is done if it began at ``began_s``, or None if never."""

    def end(self, kind: EndKind, at_s: float) -> None:
        """End the member at a time that may have passed."""


class Gang:
    """The members of one run of a gang, present on one or several workers.

    Workers advance only when they are called, so the gang ends at the first event that
    was due, whichever worker is called first.
    """

    def __init__(self, size: int) -> None:
        """Create a gang of ``size`` members, none of which is present."""
        self.size = size
        self.members: dict[TaskRef, GangMember] = {}
        self.began_s: float | None = None

    def join(self, task: TaskRef, member: GangMember) -> None:
        """Add a member; the work begins once all are present."""
        self.members[task] = member
        if len(self.members) == self.size:
            self.began_s = member.joined_s

    def settle(self, now_s: float) -> None:
        """End all members if an end was due by ``now_s``."""
        due = [
            (self.first_end_of(member), task) for task, member in self.members.items()
        ]
        if not due:
            return
        first, task = min(due, key=lambda each: each[0].at_s)
        done_s = self.succeeds_s()
        if done_s is not None and done_s < first.at_s:
            if done_s <= now_s:
                self.end_all(EndKind.SUCCEEDED, done_s)
        elif first.at_s <= now_s:
            self.break_up(task, first)

    def first_end_of(self, member: GangMember) -> DueEnd:
        """Return the first end of a member other than the success of the gang."""
        due = member.next_end()
        if self.began_s is None:
            timeout_s = member.joined_s + GANG_TIMEOUT_S
            if timeout_s < due.at_s:
                return DueEnd(timeout_s, EndKind.GANG_INCOMPLETE)
        return due

    def succeeds_s(self) -> float | None:
        """Return when all members are done, or None if that is not determined."""
        if self.began_s is None:
            return None
        last_s = self.began_s
        for member in self.members.values():
            work_ends_s = member.work_ends_s(self.began_s)
            if work_ends_s is None:
                return None
            last_s = max(last_s, work_ends_s)
        return last_s

    def remove(self, tasks: Iterable[TaskRef], now_s: float) -> None:
        """Remove the members on a worker that has crashed, which ends all others."""
        for task in tasks:
            self.members.pop(task, None)
        self.end_all(EndKind.GANG_BROKEN, now_s)

    def break_up(self, task: TaskRef, due: DueEnd) -> None:
        """End one member, and with it all others."""
        self.members.pop(task).end(due.kind, due.at_s)
        self.end_all(EndKind.GANG_BROKEN, due.at_s)

    def end_all(self, kind: EndKind, at_s: float) -> None:
        """End all members at once."""
        members, self.members = self.members, {}
        for member in members.values():
            member.end(kind, at_s)


class GangRegistry:
    """The gangs of the workers that share it, by step and run number."""

    def __init__(self) -> None:
        """Create a registry without gangs."""
        self.gangs: dict[tuple[StepRef, int], Gang] = {}

    def find(self, step: StepRef, run: int, size: int, now_s: float) -> Gang:
        """Return the gang for a run that starts now, which may have no members yet."""
        gang = self.gangs.get((step, run))
        if gang is not None:
            gang.settle(now_s)
        self.gangs = {key: each for key, each in self.gangs.items() if each.members}
        if gang is None or not gang.members:
            gang = self.gangs[step, run] = Gang(size)
        return gang

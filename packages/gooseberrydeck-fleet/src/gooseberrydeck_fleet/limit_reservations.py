"""Reservations of a team's limit for steps that wait until runs of the team end.

A gang or a wide step needs much of its team's limit at once, while less urgent steps
would take each part that becomes free. As in EASY backfilling, the most urgent waiting
step gets the time at which enough of the limit is expected to be free. Until then a
less urgent step may start if its tasks end before that time or leave what is needed.

A reservation is bounded: nothing is held back for runs that don't end, or end too late,
nor for longer than a reservation may last, however often its time moves.
"""

import math
from collections import Counter

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES
from gooseberrydeck_fleet.expected_ends import expected_duration_s
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.limit_planning import (
    MAX_UNDERUSED_HOLD_S,
    LimitPlan,
    LimitPlanner,
)
from gooseberrydeck_fleet.placement import Placer
from gooseberrydeck_fleet.state import Step
from gooseberrydeck_fleet.waiting import WaitingSteps

__all__ = ["LimitReservations"]

MAX_HOLD_S = 30.0
"""The longest time for which less urgent steps are held back without a pause."""

HOLD_FACTOR = 2.0
"""A step may start this many times as late as expected before its hold ends."""

HOLD_MARGIN_S = 1.0
"""Allowance of a hold for polls and starts."""

FIRST_PAUSE_S = 1.0
"""Pause after a hold that ended before its step could start.

It doubles each time, until a step that had a reservation starts.
"""

MAX_PAUSE_S = 60.0
"""The longest pause between two holds of a team."""

PLAN_INTERVAL_S = 0.2
"""Interval at which the expected ends of a team's runs are looked at again."""

MAX_CANDIDATES = 5
"""Steps that are considered for a team's reservation, by their ranks."""


class LimitReservation:
    """A reservation of a team's limit for one step, in monotonic seconds.

    It holds others back from ``held_since_s`` on, until ``until_s`` at the latest.
    """

    __slots__ = ("held_since_s", "spare", "start_s", "step", "until_s")

    def __init__(self, step: Step, plan: LimitPlan) -> None:
        """Reserve the limit for ``step``, without having held back others yet."""
        self.step = step
        self.start_s = plan.start_s
        self.spare = plan.spare
        self.held_since_s: float | None = None
        self.until_s = math.inf

    def update(self, plan: LimitPlan) -> None:
        """Apply a new plan; once others are held back, the start moves no later."""
        is_holding = self.held_since_s is not None
        self.start_s = min(self.start_s, plan.start_s) if is_holding else plan.start_s
        self.spare = plan.spare

    def hold(self, now_s: float) -> None:
        """Begin to hold others back, unless that has begun before."""
        if self.held_since_s is None:
            self.held_since_s = now_s
            expected_s = max(0.0, self.start_s - now_s)
            allowance_s = HOLD_FACTOR * expected_s + HOLD_MARGIN_S
            self.until_s = now_s + min(MAX_HOLD_S, allowance_s)

    def continue_hold(self, former: "LimitReservation") -> None:
        """Count the time for which a former reservation has held others back."""
        self.held_since_s = former.held_since_s
        self.until_s = former.until_s


class TeamReservations:
    """The steps of a team that wait for its limit, and the reservation of one."""

    def __init__(self) -> None:
        """Start without waiting steps."""
        # The priority of each waiting step, and how many have each priority.
        self.waiting: dict[StepRef, int] = {}
        self.priorities: Counter[int] = Counter()
        self.reservation: LimitReservation | None = None
        self.planned_s = -math.inf
        # Since when others have been held back while the team used less than half.
        self.underused_since_s: float | None = None
        self.pause_until_s = -math.inf
        self.pause_s = FIRST_PAUSE_S

    @property
    def has_hold(self) -> bool:
        """Return True if the reservation has held other steps back."""
        reservation = self.reservation
        return reservation is not None and reservation.held_since_s is not None

    def may_hold_back(self, step: Step) -> bool:
        """Return True if a more urgent step waits than the given one."""
        return bool(self.priorities) and min(self.priorities) < step.job.queue.priority

    def add(self, step: Step) -> None:
        """Add a step that waits for the limit, unless it is known."""
        if step.ref not in self.waiting:
            priority = step.job.queue.priority
            self.waiting[step.ref] = priority
            self.priorities[priority] += 1
            self.planned_s = -math.inf

    def discard(self, ref: StepRef) -> None:
        """Remove a step that doesn't wait for the limit any more."""
        priority = self.waiting.pop(ref, None)
        if priority is None:
            return
        self.priorities[priority] -= 1
        if not self.priorities[priority]:
            del self.priorities[priority]
        if self.reservation is not None and self.reservation.step.ref == ref:
            self.planned_s = -math.inf

    def end_hold(self, now_s: float) -> None:
        """Hold nothing back for a while, as the step didn't start in time."""
        self.reservation = None
        self.underused_since_s = None
        self.pause_until_s = now_s + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)

    def step_started(self, step: Step, started: int, now_s: float) -> None:
        """Apply that tasks of a step have started to the reservation."""
        reservation = self.reservation
        if reservation is None:
            return
        if reservation.step is step:
            self.reservation = None
            self.planned_s = -math.inf
            self.pause_s = FIRST_PAUSE_S
        elif not ends_before(step, reservation, now_s):
            used = step.spec.resources.times(started)
            reservation.spare = reservation.spare - used


class LimitReservations:
    """Decide how many tasks of a step may start beside the reservation of its team."""

    def __init__(self, ledger: Ledger, placer: Placer, waiting: WaitingSteps) -> None:
        """Create reservations for the waiting steps of a ledger's teams."""
        self.quotas = ledger.quotas
        self.planner = LimitPlanner(ledger, placer)
        self.waiting = waiting
        self.teams: dict[TeamName, TeamReservations] = {}

    def limits_changed(self) -> None:
        """Forget all reservations, since limits or priorities have changed."""
        self.teams.clear()

    def step_tried(self, step: Step, started: int, now_s: float) -> None:
        """Record whether a step waits for its team's limit after a try to start it.

        ``started`` is the number of its tasks that have been started.
        """
        name = step.job.record.team
        team = self.teams.get(name)
        if team is not None and started:
            had_hold = team.has_hold
            team.step_started(step, started, now_s)
            if had_hold and not team.has_hold:
                self.waiting.team_freed(name)
        if self.planner.waits_for_limit(step):
            self.teams.setdefault(name, TeamReservations()).add(step)
        elif team is not None:
            team.discard(step.ref)

    def count_startable(self, step: Step, wanted: int, now_s: float) -> int:
        """Return how many tasks of a step may start beside its team's reservation.

        That is up to ``wanted``, which the limit admits. Only less urgent steps than
        the one with the reservation are held back.
        """
        name = step.job.record.team
        team = self.teams.get(name)
        if not wanted or team is None or not team.may_hold_back(step):
            return wanted
        reservation = self.find_reservation(name, team, now_s)
        if reservation is None or not is_more_urgent(reservation.step, step):
            return wanted
        if ends_before(step, reservation, now_s):
            return wanted
        count = min(wanted, step.spec.resources.count_in(reservation.spare))
        if step.spec.is_gang and count < wanted:
            count = 0
        if count < wanted:
            reservation.hold(now_s)
            if self.is_hold_over(name, team, reservation, now_s):
                self.end_hold(name, team, now_s)
                return wanted
        return count

    def find_blocker(self, step: Step) -> StepRef | None:
        """Return the step for whose sake one is held back, or None if it isn't."""
        team = self.teams.get(step.job.record.team)
        if team is None or team.reservation is None or not team.has_hold:
            return None
        blocker = team.reservation.step
        return blocker.ref if is_more_urgent(blocker, step) else None

    def review(self, now_s: float) -> None:
        """End the holds that are over, and mark the steps as due that may start now."""
        for name, team in list(self.teams.items()):
            for ref in team.waiting.keys() - self.waiting.ranks.keys():
                team.discard(ref)
            if team.has_hold:
                reservation = self.find_reservation(name, team, now_s)
                if reservation is not None and self.is_hold_over(
                    name, team, reservation, now_s
                ):
                    self.end_hold(name, team, now_s)
            if not team.has_hold:
                team.underused_since_s = None
            if not team.waiting and now_s >= team.pause_until_s:
                del self.teams[name]

    def end_hold(self, name: TeamName, team: TeamReservations, now_s: float) -> None:
        """End a hold, and mark the steps that were held back as due."""
        team.end_hold(now_s)
        self.waiting.team_freed(name)

    def is_hold_over(
        self,
        name: TeamName,
        team: TeamReservations,
        reservation: LimitReservation,
        now_s: float,
    ) -> bool:
        """Return True if a reservation has held others back for long enough."""
        used = self.quotas.used.get(name, NO_RESOURCES)
        if not self.quotas.is_underused(name, used):
            team.underused_since_s = None
        elif team.underused_since_s is None:
            team.underused_since_s = now_s
        elif now_s - team.underused_since_s >= MAX_UNDERUSED_HOLD_S:
            return True
        return now_s >= reservation.until_s

    def find_reservation(
        self, name: TeamName, team: TeamReservations, now_s: float
    ) -> LimitReservation | None:
        """Return the reservation of a team, planned again if that is due.

        Steps that it held back are marked as due if there is more for them now.
        """
        former = team.reservation
        is_valid = former is None or former.step.ref in team.waiting
        if is_valid and now_s < team.planned_s + PLAN_INTERVAL_S:
            return former
        had_hold = team.has_hold
        former_spare = NO_RESOURCES if former is None else former.spare
        team.planned_s = now_s
        team.reservation = None
        if now_s >= team.pause_until_s:
            team.reservation = self.plan_reservation(name, team, former, now_s)
        if former is not None and had_hold:
            is_same = team.reservation is former
            if not (is_same and former.spare.fits_in(former_spare)):
                self.waiting.team_freed(name)
        return team.reservation

    def plan_reservation(
        self,
        name: TeamName,
        team: TeamReservations,
        former: LimitReservation | None,
        now_s: float,
    ) -> LimitReservation | None:
        """Return a reservation for the first waiting step that can have one."""
        ends = self.planner.find_ends(name, now_s)
        for rank in self.waiting.in_order(team.waiting)[:MAX_CANDIDATES]:
            step = self.waiting.steps[rank[-1]]
            if not self.planner.waits_for_limit(step):
                continue
            plan = self.planner.plan(step, team.underused_since_s, ends, now_s)
            if plan is None:
                continue
            if former is not None and former.step is step:
                former.update(plan)
                return former
            reservation = LimitReservation(step, plan)
            if former is not None:
                reservation.continue_hold(former)
            return reservation
        return None


def is_more_urgent(step: Step, other: Step) -> bool:
    """Return True if a step's queue goes before that of another one."""
    return step.job.queue.priority < other.job.queue.priority


def ends_before(step: Step, reservation: LimitReservation, now_s: float) -> bool:
    """Return True if tasks that start now are expected to end before a reservation."""
    return now_s + expected_duration_s(step) <= reservation.start_s

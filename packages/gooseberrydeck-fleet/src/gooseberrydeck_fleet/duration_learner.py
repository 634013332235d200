"""Expected durations of tasks, learned from finished runs.

What is learned is kept by team, so that no team distorts or displaces what is learned
for another one. A team without a history of its own gets the median of the others.
"""

import math
from collections import Counter
from collections.abc import Sequence

from gooseberrydeck_coordination.ids import QueueName, TeamName
from gooseberrydeck_fleet.duration_errors import ErrorRecord
from gooseberrydeck_fleet.duration_summaries import (
    QueueSummary,
    StepSummary,
    summarize_errors,
    summarize_groups,
)
from gooseberrydeck_fleet.durations import DurationGroup, log_estimate
from gooseberrydeck_fleet.expectations import (
    Expectation,
    ExpectationSource,
    GroupKey,
    JudgedRun,
    Refusal,
    find_odd_duration,
    find_weight,
    to_key,
)
from gooseberrydeck_fleet.settings import DurationUses
from gooseberrydeck_fleet.team_durations import (
    MAX_GROUPS_PER_TEAM,
    MAX_TEAMS,
    SharedDurations,
    TeamDurations,
    keep_newest,
)
from gooseberrydeck_fleet.work import StepSpec

__all__ = ["DurationLearner"]

MAX_AGE_S = 3_600.0
"""What has not been confirmed for this long is forgotten."""

REFRESH_S = 0.5
"""Interval at which jobs may take on new expectations."""

MAX_SPEED_PREFERENCE = 0.5
"""How much more, or less, than others the longest chains of work prefer fast workers.

Small, so that a short chain still takes a fast worker before it waits.
"""

CHAIN_MEMORY = 100.0
"""Number of steps over which the mean length of a queue's chains is taken."""

MAX_EXPECTED_STEPS = 32
"""Jobs with more steps keep their estimates: each step takes a look-up at a refresh."""

MAX_JUDGED = 1_000
"""Judged runs kept until they are reported."""


class DurationLearner:
    """Learn the durations of tasks, and tell what to expect of the next ones."""

    def __init__(self, uses: DurationUses | None = None) -> None:
        """Create a learner that has seen nothing; without uses, it learns nothing."""
        self.uses = uses or DurationUses()
        self.is_learning = self.uses.is_any
        self.teams: dict[TeamName, TeamDurations] = {}
        # Changes when jobs may take on new expectations.
        self.generation = 0
        self.refresh_s = 0.0
        self.refused: Counter[Refusal] = Counter()
        self.judged: list[JudgedRun] = []
        self.shared = SharedDurations(self.teams)
        # The mean logarithm of the lengths of the chains of work, by queue.
        self.chains: dict[QueueName, float] = {}

    # Expectations.

    def expected_steps(
        self, queue: QueueName, team: TeamName, steps: Sequence[StepSpec]
    ) -> list[float] | None:
        """Return the expected durations of the tasks of a job's steps, in seconds.

        Returns None while the caller's estimates are as good, and for very many steps.
        """
        if len(steps) > MAX_EXPECTED_STEPS or not self.is_better(queue, team):
            return None
        expected = []
        for number, step in enumerate(steps):
            found = (
                None if step.is_standing else self.predict(queue, team, number, step)
            )
            expected.append(step.estimate_s if found is None else math.exp(found[0]))
        return expected

    def expect(
        self, queue: QueueName, team: TeamName, number: int, step: StepSpec
    ) -> Expectation:
        """Return what to expect of a run that starts now."""
        own = self.own_group(team, to_key(queue, number, step))
        found = self.predict(queue, team, number, step)
        if found is None:
            estimate_s = step.estimate_s
            source = ExpectationSource.ESTIMATE
            return Expectation(estimate_s, estimate_s, source, False, own)
        typical, high, source = found
        is_used = self.is_better(queue, team)
        return Expectation(math.exp(typical), math.exp(high), source, is_used, own)

    def own_group(self, team: TeamName, key: GroupKey) -> DurationGroup | None:
        """Return a team's group, if it has one."""
        known = self.teams.get(team)
        return None if known is None else known.groups.get(key)

    def predict(
        self, queue: QueueName, team: TeamName, number: int, step: StepSpec
    ) -> tuple[float, float, ExpectationSource] | None:
        """Return the logarithms of a typical duration and what nine of ten stay below.

        Returns None if nothing is known but the caller's estimate.
        """
        key = to_key(queue, number, step)
        estimate = log_estimate(step.estimate_s) or 0.0
        group = self.own_group(team, key)
        if group is not None and group.is_trusted:
            return (
                group.typical(estimate),
                group.nine_of_ten(estimate),
                ExpectationSource.TEAM,
            )
        shared = self.shared.predict(key, estimate)
        return None if shared is None else (*shared, ExpectationSource.QUEUE)

    def is_better(self, queue: QueueName, team: TeamName) -> bool:
        """Return True if what is learned predicts a team's runs better than it does.

        Until the team has a history in the queue, the median errors of all decide.
        """
        known = self.teams.get(team)
        record = None if known is None else known.errors.get(queue)
        if record is not None and record.is_conclusive:
            return record.is_better
        return self.shared.is_better(queue)

    def speed_preference(self, queue: QueueName, chain_s: float) -> float:
        """Return how much a step prefers fast workers, around one.

        ``chain_s`` is the expected length of the chain of work that starts with it,
        which is compared with those of its queue's other steps.
        """
        length = log_estimate(chain_s)
        if length is None:
            return 1.0
        mean = self.chains.get(queue, length)
        self.chains[queue] = mean + (length - mean) / CHAIN_MEMORY
        excess = min(1.0, max(-1.0, length - mean))
        return 1.0 + MAX_SPEED_PREFERENCE * excess

    # Learning.

    def learn(
        self,
        queue: QueueName,
        team: TeamName,
        number: int,
        step: StepSpec,
        expected: Expectation,
        seconds: float,
        slowness: float,
        now_s: float,
    ) -> None:
        """Learn from a run, after judging what was expected of it.

        ``slowness`` is that of its worker, as a natural logarithm.
        """
        refusal = find_odd_duration(seconds)
        if refusal is not None:
            self.refused[refusal] += 1
            return
        known = self.keep_team(team)
        value = math.log(seconds) - slowness
        weight = find_weight(step)
        if expected.source is not ExpectationSource.ESTIMATE:
            self.judge(known, queue, value, expected.typical_s, step, weight)
        key = to_key(queue, number, step)
        group = known.groups.pop(key, None) or DurationGroup()
        group.learn(log_estimate(step.estimate_s) or 0.0, value, weight, now_s)
        # The last one is the most recently confirmed.
        known.groups[key] = group
        keep_newest(known.groups, MAX_GROUPS_PER_TEAM)

    def judge(
        self,
        known: TeamDurations,
        queue: QueueName,
        value: float,
        learned_s: float,
        step: StepSpec,
        weight: float,
    ) -> None:
        """Compare the duration of a run with what was expected of it."""
        record = known.errors.pop(queue, None) or ErrorRecord()
        estimate = log_estimate(step.estimate_s)
        learned_error = value - math.log(learned_s)
        record.add(
            learned_error, None if estimate is None else value - estimate, weight
        )
        known.errors[queue] = record
        keep_newest(known.errors, MAX_GROUPS_PER_TEAM)
        if len(self.judged) < MAX_JUDGED:
            actual_s = math.exp(value)
            self.judged.append(JudgedRun(queue, actual_s, learned_s, step.estimate_s))

    def keep_team(self, team: TeamName) -> TeamDurations:
        """Return what is kept for a team, as the most recently confirmed."""
        known = self.teams.pop(team, None) or TeamDurations()
        self.teams[team] = known
        keep_newest(self.teams, MAX_TEAMS)
        return known

    def refuse(self, reason: Refusal) -> None:
        """Count a run from which nothing is learned."""
        self.refused[reason] += 1

    def is_refresh_due(self, now_s: float) -> bool:
        """Return True if ``refresh`` should be called."""
        return self.is_learning and now_s >= self.refresh_s

    def refresh(
        self,
        outlasting: dict[DurationGroup, list[tuple[float, float]]],
        now_s: float,
    ) -> None:
        """Let jobs take on new expectations, and forget what is old.

        ``outlasting`` has the runs in progress that have outlasted what is typical of
        their group, as residuals and weights.
        """
        self.refresh_s = now_s + REFRESH_S
        self.generation += 1
        self.shared.clear()
        for team, known in list(self.teams.items()):
            for key, group in list(known.groups.items()):
                if now_s - group.learned_s > MAX_AGE_S:
                    del known.groups[key]
                elif group in outlasting or group.outlasting:
                    group.set_outlasting(outlasting.get(group, ()))
            if not known.groups:
                del self.teams[team]

    # Reports.

    def summarize_queues(self) -> list[QueueSummary]:
        """Return what is known of the errors in each queue."""
        teams = self.teams.values()
        return summarize_errors(pair for each in teams for pair in each.errors.items())

    def summarize_steps(self) -> list[StepSummary]:
        """Return what is learned of the steps of each queue."""
        teams = self.teams.values()
        return summarize_groups(pair for each in teams for pair in each.groups.items())

    def take_refused(self) -> Counter[Refusal]:
        """Return why runs were refused since the last call, with their numbers."""
        refused, self.refused = self.refused, Counter()
        return refused

    def take_judged(self) -> list[JudgedRun]:
        """Return the runs judged since the last call, each once."""
        judged, self.judged = self.judged, []
        return judged

"""Learn true sizes and run times from what workers report."""

import math

from gooseberrydeck_coordination.ids import QueueName, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.jobs import JobSpec

__all__ = ["Estimate", "Family", "Learner", "family_of"]

Family = tuple[TeamName, QueueName, str]
"""Jobs that are taken to behave alike: team, queue and the label ``kind``."""

SMOOTHING = 0.1
MAX_FAMILIES = 2_000
LONG_QUANTILE_DEVIATIONS = 1.3
"""About the ninetieth percentile, if run times are log-normal."""


def family_of(spec: JobSpec) -> Family:
    """Return the family that a job belongs to."""
    return (spec.team, spec.queue, spec.labels.get("kind", ""))


class Estimate:
    """What has been learned of a family."""

    __slots__ = ("log_run", "log_variance", "runs", "usage")

    def __init__(self) -> None:
        """Begin without observations."""
        self.runs = 0
        self.log_run = 0.0
        self.log_variance = 0.0
        self.usage = NO_RESOURCES

    def add_run(self, run_s: float) -> None:
        """Take in the run time of a task that succeeded."""
        value = math.log(max(run_s, 0.001))
        if not self.runs:
            self.log_run = value
        weight = max(SMOOTHING, 1 / (self.runs + 1))
        error = value - self.log_run
        self.log_run += weight * error
        self.log_variance += weight * (error * error - self.log_variance)
        self.runs += 1

    def add_usage(self, usage: Resources) -> None:
        """Take in a measured use; the largest recent one is kept."""
        self.usage = Resources(
            larger_of(self.usage.cpu_millis, usage.cpu_millis),
            larger_of(self.usage.memory_mib, usage.memory_mib),
            larger_of(self.usage.accelerators, usage.accelerators),
        )


def larger_of(kept: int, measured: int) -> int:
    """Follow a rise at once and a fall slowly."""
    if measured >= kept:
        return measured
    return round(kept + SMOOTHING * (measured - kept))


class Learner:
    """Estimates by family; declared values stand in until there are some."""

    def __init__(self) -> None:
        """Begin without estimates."""
        self.families: dict[Family, Estimate] = {}

    def estimate(self, family: Family) -> Estimate:
        """Return the estimate of a family, forgetting the oldest when full."""
        found = self.families.get(family)
        if found is None:
            if len(self.families) >= MAX_FAMILIES:
                del self.families[next(iter(self.families))]
            found = self.families[family] = Estimate()
        return found

    def observe_run(self, spec: JobSpec, run_s: float) -> None:
        """Take in the run time in seconds of a task that succeeded."""
        self.estimate(family_of(spec)).add_run(run_s)

    def observe_usage(self, spec: JobSpec, usage: Resources) -> None:
        """Take in the measured use of a running task."""
        self.estimate(family_of(spec)).add_usage(usage)

    def typical_run_s(self, spec: JobSpec) -> float:
        """Return the likely run time in seconds; the declared bound if unknown."""
        found = self.families.get(family_of(spec))
        if found is None or not found.runs:
            return spec.max_run_s
        return min(spec.max_run_s, math.exp(found.log_run))

    def long_run_s(self, spec: JobSpec) -> float:
        """Return a run time in seconds that nine of ten tasks stay below."""
        found = self.families.get(family_of(spec))
        if found is None or not found.runs:
            return spec.max_run_s
        deviation = math.sqrt(found.log_variance)
        log_run = found.log_run + LONG_QUANTILE_DEVIATIONS * deviation
        return min(spec.max_run_s, math.exp(log_run))

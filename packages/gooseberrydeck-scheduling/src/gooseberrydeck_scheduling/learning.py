"""Estimates of run times and resource usage from reported measurements."""

import math

from gooseberrydeck_coordination.ids import QueueName, TeamName
from gooseberrydeck_coordination.resources import NO_RESOURCES, Resources
from gooseberrydeck_scheduling.jobs import JobSpec

__all__ = ["FamilyEstimate", "FamilyEstimator", "JobFamily", "family_of"]

JobFamily = tuple[TeamName, QueueName, str]
"""Team, queue and ``kind`` label: jobs that are assumed to behave alike."""

SMOOTHING = 0.1
"""Minimum weight of a new observation in the moving averages."""
MAX_FAMILIES = 2_000
LONG_QUANTILE_DEVIATIONS = 1.3
"""About the 90th percentile of log-normally distributed run times."""


def family_of(spec: JobSpec) -> JobFamily:
    """Return the family of a job."""
    return (spec.team, spec.queue, spec.labels.get("kind", ""))


class FamilyEstimate:
    """Estimated run time and resource usage of a job family."""

    __slots__ = ("log_run", "log_variance", "runs", "usage")

    def __init__(self) -> None:
        """Create an estimate without observations."""
        self.runs = 0
        self.log_run = 0.0
        self.log_variance = 0.0
        self.usage = NO_RESOURCES

    def add_run(self, run_s: float) -> None:
        """Add the run time in seconds of a task that succeeded."""
        value = math.log(max(run_s, 0.001))
        if not self.runs:
            self.log_run = value
        weight = max(SMOOTHING, 1 / (self.runs + 1))
        error = value - self.log_run
        self.log_run += weight * error
        self.log_variance += weight * (error * error - self.log_variance)
        self.runs += 1

    def add_usage(self, usage: Resources) -> None:
        """Add a usage measurement; the estimate follows recent maximums."""
        self.usage = Resources(
            decaying_max(self.usage.cpu_millis, usage.cpu_millis),
            decaying_max(self.usage.memory_mib, usage.memory_mib),
            decaying_max(self.usage.accelerators, usage.accelerators),
        )


def decaying_max(kept: int, measured: int) -> int:
    """Return ``measured`` if it is larger, else decay ``kept`` towards it."""
    if measured >= kept:
        return measured
    return round(kept + SMOOTHING * (measured - kept))


class FamilyEstimator:
    """Run time and usage estimates by job family.

    Declared values are used for families without observations.
    """

    def __init__(self) -> None:
        """Create an estimator without observations."""
        self.families: dict[JobFamily, FamilyEstimate] = {}

    def estimate(self, family: JobFamily) -> FamilyEstimate:
        """Return the estimate of a family, creating it if necessary.

        The oldest estimate is discarded when there are ``MAX_FAMILIES``.
        """
        found = self.families.get(family)
        if found is None:
            if len(self.families) >= MAX_FAMILIES:
                del self.families[next(iter(self.families))]
            found = self.families[family] = FamilyEstimate()
        return found

    def observe_run(self, spec: JobSpec, run_s: float) -> None:
        """Record the run time in seconds of a task that succeeded."""
        self.estimate(family_of(spec)).add_run(run_s)

    def observe_usage(self, spec: JobSpec, usage: Resources) -> None:
        """Record the measured usage of a running task."""
        self.estimate(family_of(spec)).add_usage(usage)

    def typical_run_s(self, spec: JobSpec) -> float:
        """Return the estimated median run time in seconds.

        This is the declared maximum for families without observations.
        """
        found = self.families.get(family_of(spec))
        if found is None or not found.runs:
            return spec.max_run_s
        return min(spec.max_run_s, math.exp(found.log_run))

    def long_run_s(self, spec: JobSpec) -> float:
        """Return the 90th percentile of the run time in seconds.

        This is the declared maximum for families without observations.
        """
        found = self.families.get(family_of(spec))
        if found is None or not found.runs:
            return spec.max_run_s
        deviation = math.sqrt(found.log_variance)
        log_run = found.log_run + LONG_QUANTILE_DEVIATIONS * deviation
        return min(spec.max_run_s, math.exp(log_run))

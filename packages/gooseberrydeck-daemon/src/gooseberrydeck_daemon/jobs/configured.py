"""Conversion of the operators' configuration to scheduling rules."""

from gooseberrydeck_configuration.objects import Configuration, Queue
from gooseberrydeck_daemon.jobs.dependencies import CellRules
from gooseberrydeck_daemon.views import ConfigurationView
from gooseberrydeck_scheduling import OrderPolicy, QueueRules

__all__ = ["ConfiguredRules", "build_rules"]


def build_rules(configuration: Configuration) -> CellRules:
    """Return the scheduling rules of a configuration."""
    return CellRules(
        [build_queue_rules(queue) for queue in configuration.queues],
        {share.team: share.weight for share in configuration.shares},
        {limit.team: limit.max_running for limit in configuration.limits},
    )


def build_queue_rules(queue: Queue) -> QueueRules:
    """Return the scheduling rules of one queue."""
    return QueueRules(
        queue.name,
        OrderPolicy(queue.policy.value),
        queue.priority,
        queue.max_attempts,
        queue.max_run_s,
    )


class ConfiguredRules:
    """The rules of the newest configuration, cached per configuration."""

    def __init__(self, view: ConfigurationView) -> None:
        """Read configurations from ``view``."""
        self.view = view
        self.cached = (view.current, build_rules(view.current))

    def __call__(self) -> CellRules:
        """Return the rules; the same object until the configuration changes."""
        current = self.view.current
        if self.cached[0] is not current:
            self.cached = (current, build_rules(current))
        return self.cached[1]

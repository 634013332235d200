"""Log lines for steps that have waited long."""

from collections.abc import Iterable

import structlog

from gooseberrydeck_fleet.serving import LongWait

__all__ = ["report_long_waits"]

log = structlog.get_logger(__name__)


def report_long_waits(waits: Iterable[LongWait]) -> None:
    """Log what keeps each of some steps waiting."""
    for wait in waits:
        fields = wait._asdict()
        del fields["step"]
        fields["waited_s"] = round(wait.waited_s, 3)
        fields["reason"] = wait.reason.value
        if wait.held_by is not None:
            fields["held_by"] = [wait.held_by.job, *wait.held_by[1:]]
        log.info("step waits", job=wait.step.job, step=wait.step[1:], **fields)

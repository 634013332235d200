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
        log.info("step waits", job=wait.step.job, step=wait.step[1:], **fields)

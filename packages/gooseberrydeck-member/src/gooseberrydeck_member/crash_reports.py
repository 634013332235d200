"""Log lines and metrics about crashes of workers."""

from collections.abc import Iterable

import structlog

from gooseberrydeck_fleet.crashes import BlamedRun, CrashReport
from gooseberrydeck_member.observability import Metrics

__all__ = ["report_crashes"]

log = structlog.get_logger(__name__)

MAX_LOGGED_RUNS = 10
"""Runs named in the line of a crash, those with the largest shares of the blame."""


def report_crashes(reports: Iterable[CrashReport], metrics: Metrics) -> None:
    """Log and count crashes of workers, and the jobs that were given up."""
    for report in reports:
        metrics.worker_crashes.labels(report.evidence.value).inc()
        by_share = sorted(report.blamed, key=lambda run: -run.share)
        log.warning(
            "worker crashed",
            worker=report.worker,
            evidence=report.evidence.value,
            silent_s=round(report.silent_s, 3),
            others_silent=report.others_silent,
            runs=report.runs,
            suspects=len(report.blamed),
            blamed=[describe(run) for run in by_share[:MAX_LOGGED_RUNS]],
        )
        for run in report.blamed:
            if run.is_given_up:
                metrics.jobs_given_up.inc()
                log.error(
                    "job given up",
                    job=run.task.job,
                    task=run.task[1:],
                    crashes=run.crashes,
                    blame=run.total_blame,
                    worker=report.worker,
                )


def describe(run: BlamedRun) -> dict[str, object]:
    """Return the fields of a run that may have caused a crash."""
    return {
        "job": run.task.job,
        "task": run.task[1:],
        "run": run.run,
        "age_s": run.age_s,
        "share": run.share,
        "blame": run.total_blame,
        "crashes": run.crashes,
    }

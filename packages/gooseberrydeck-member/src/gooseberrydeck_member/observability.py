"""Non-blocking structured logging, and metrics."""

import logging
import queue
import sys
import threading

import msgspec
import prometheus_client
import structlog

__all__ = ["LogWriter", "Metrics", "configure_logs"]

MAX_QUEUED_LINES = 2_000
"""Lines queued for standard output; further lines are dropped and counted."""

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Histogram bounds, from one store call to the longest time that a caller waits."""

RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 4.0, 10.0)
"""Histogram bounds; the rare runs that take seven times as long are told apart."""

HELD_JOBS_BUCKETS_S = (0.1, 0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 12.0, 16.0)
"""Histogram bounds; a long-running task has to run again within 9 s."""


class LogWriter:
    """Write lines to standard output from a separate thread."""

    def __init__(self) -> None:
        """Start the writer thread."""
        self.lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self.dropped = 0
        self.thread = threading.Thread(target=self.run, daemon=True, name="log")
        self.thread.start()

    def msg(self, line: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    debug = info = warning = error = critical = msg

    def run(self) -> None:
        """Write queued lines, and report when lines have been dropped."""
        reported = 0
        while True:
            lines = [self.lines.get()]
            while not self.lines.empty():
                lines.append(self.lines.get())
            if self.dropped > reported:
                lines.append(f'{{"event":"log lines dropped","total":{self.dropped}}}')
                reported = self.dropped
            sys.stdout.write("\n".join(lines) + "\n")
            sys.stdout.flush()


class StructuredHandler(logging.Handler):
    """Write log records of libraries as structured lines."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a log record."""
        structlog.get_logger().error(
            "library error",
            logger=record.name,
            message=record.getMessage(),
            exc_info=record.exc_info,
        )


def encode_line(event: dict[str, object], **_options: object) -> str:
    """Return an event as a line of JSON, with ``repr`` for unsupported types."""
    return msgspec.json.encode(event, enc_hook=repr).decode()


def configure_logs(member: str) -> LogWriter:
    """Configure logging as JSON lines on standard output."""
    writer = LogWriter()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            lambda _logger, _name, event: {**event, "member": member},
            structlog.processors.JSONRenderer(serializer=encode_line),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    waitress = logging.getLogger("waitress")
    waitress.setLevel(logging.ERROR)
    waitress.propagate = False
    waitress.addHandler(StructuredHandler())
    logging.getLogger("waitress.queue").setLevel(logging.CRITICAL)
    return writer


class Metrics:
    """Counters and latency histograms, in the text format of Prometheus."""

    def __init__(self) -> None:
        """Register the metrics in a separate registry."""
        registry = prometheus_client.CollectorRegistry()
        self.registry = registry
        self.requests = prometheus_client.Counter(
            "gooseberrydeck_requests",
            "Callers' requests by operation and status",
            ["operation", "status"],
            registry=registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            "gooseberrydeck_request_seconds",
            "Time to answer a caller",
            ["operation"],
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.commit_failures = prometheus_client.Counter(
            "gooseberrydeck_commit_failures",
            "Commits of the scheduler's changes that were not stored",
            registry=registry,
        )
        self.lost_responses = prometheus_client.Counter(
            "gooseberrydeck_lost_answers",
            "Looks at workers whose answer was lost though the worker was there",
            registry=registry,
        )
        self.wait_seconds = prometheus_client.Histogram(
            "gooseberrydeck_job_wait_seconds",
            "Time from the acceptance of a job until its first start",
            ["queue"],
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.run_ends = prometheus_client.Counter(
            "gooseberrydeck_run_ends",
            "Ends of runs by how they ended",
            ["kind"],
            registry=registry,
        )
        self.run_losses = prometheus_client.Counter(
            "gooseberrydeck_run_losses",
            "Runs that count as ended although no end was reported, by the reason",
            ["reason"],
            registry=registry,
        )
        self.worker_restarts = prometheus_client.Counter(
            "gooseberrydeck_worker_restarts",
            "Workers whose process was started again under its id, by what showed it",
            ["source"],
            registry=registry,
        )
        self.worker_crashes = prometheus_client.Counter(
            "gooseberrydeck_worker_crashes",
            "Crashes of workers that had runs, by what showed them",
            ["evidence"],
            registry=registry,
        )
        self.jobs_given_up = prometheus_client.Counter(
            "gooseberrydeck_jobs_given_up",
            "Jobs that failed because a task of theirs crashed its workers",
            registry=registry,
        )
        self.end_gaps = prometheus_client.Counter(
            "gooseberrydeck_end_gaps",
            "Gaps in the numbers of the ends that a worker's process has listed",
            registry=registry,
        )
        self.starts_after_end = prometheus_client.Counter(
            "gooseberrydeck_starts_after_end",
            "Starts not sent since the end of their task or job was known",
            ["evidence"],
            registry=registry,
        )
        self.command_wait_seconds = prometheus_client.Histogram(
            "gooseberrydeck_command_wait_seconds",
            "Time from the decision on a command to a worker until it is sent",
            ["command"],
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.commands_withdrawn = prometheus_client.Counter(
            "gooseberrydeck_commands_withdrawn",
            "Commands to workers that were not sent, by what had changed meanwhile",
            ["command", "reason"],
            registry=registry,
        )
        self.ends_acknowledged = prometheus_client.Counter(
            "gooseberrydeck_ends_acknowledged",
            "Successful ends that polls let workers forget",
            registry=registry,
        )
        self.unstored_acknowledgements = prometheus_client.Counter(
            "gooseberrydeck_unstored_acknowledgements",
            "Successful ends that polls let workers forget before they were stored",
            registry=registry,
        )
        self.unreadable_entries = prometheus_client.Counter(
            "gooseberrydeck_unreadable_entries",
            "Entries read from the store that were ignored as malformed, by kind",
            ["kind"],
            registry=registry,
        )
        self.job_lookups = prometheus_client.Counter(
            "gooseberrydeck_job_lookups",
            "Lookups of jobs that only workers have reported, by what was found",
            ["outcome"],
            registry=registry,
        )
        self.ended_jobs_removed = prometheus_client.Counter(
            "gooseberrydeck_ended_jobs_removed",
            "Records of ended jobs that were removed from the store",
            registry=registry,
        )
        self.configuration_fetches = prometheus_client.Counter(
            "gooseberrydeck_configuration_fetches",
            "Attempts to get or confirm the configuration, by source and outcome",
            ["source", "outcome"],
            registry=registry,
        )
        self.configuration_age_seconds = prometheus_client.Gauge(
            "gooseberrydeck_configuration_age_seconds",
            "Time since the configuration in force was confirmed as the newest",
            registry=registry,
        )
        self.evacuated_runs = prometheus_client.Gauge(
            "gooseberrydeck_evacuated_runs",
            "Runs that remain in a data centre whose evacuation is requested",
            ["data_centre"],
            registry=registry,
        )
        self.evacuations_age_seconds = prometheus_client.Gauge(
            "gooseberrydeck_evacuations_age_seconds",
            "Time since the store last confirmed which evacuations are requested",
            registry=registry,
        )
        self.takeovers = prometheus_client.Counter(
            "gooseberrydeck_takeovers", "Claims of the shard", registry=registry
        )
        self.held_jobs_seconds = prometheus_client.Histogram(
            "gooseberrydeck_held_jobs_seconds",
            "Time for which a successor held jobs with runs that may be unknown",
            registry=registry,
            buckets=HELD_JOBS_BUCKETS_S,
        )
        self.team_share = prometheus_client.Gauge(
            "gooseberrydeck_team_share",
            "Share of a team, in jobs per second, zero without one",
            ["team"],
            registry=registry,
        )
        self.team_use = prometheus_client.Gauge(
            "gooseberrydeck_team_use",
            "Part of the fleet that a team has used lately, of its dominant resource",
            ["team"],
            registry=registry,
        )
        self.team_weighted_use = prometheus_client.Gauge(
            "gooseberrydeck_team_weighted_use",
            "Use of a team in proportion to its part of all weights",
            ["team"],
            registry=registry,
        )
        self.team_waiting_jobs = prometheus_client.Gauge(
            "gooseberrydeck_team_waiting_jobs",
            "Jobs of a team with tasks to start, within its share and beyond it",
            ["team", "share"],
            registry=registry,
        )

        self.duration_ratio = prometheus_client.Histogram(
            "gooseberrydeck_duration_ratio",
            "Durations of runs in proportion to what was expected of them",
            ["queue", "of"],
            registry=registry,
            buckets=RATIO_BUCKETS,
        )
        self.duration_error = prometheus_client.Gauge(
            "gooseberrydeck_duration_error",
            "Mean error over a queue's last runs, as a natural logarithm",
            ["queue", "of"],
            registry=registry,
        )
        self.duration_teams = prometheus_client.Gauge(
            "gooseberrydeck_duration_teams",
            "Teams whose durations in a queue are judged, by what is used for them",
            ["queue", "use"],
            registry=registry,
        )
        self.duration_seconds = prometheus_client.Gauge(
            "gooseberrydeck_duration_seconds",
            "Learned duration of a task, the median of the teams",
            ["queue", "step", "quantile"],
            registry=registry,
        )
        self.durations_refused = prometheus_client.Counter(
            "gooseberrydeck_durations_refused",
            "Runs that succeeded and were not learned from, by the reason",
            ["reason"],
            registry=registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return bytes(prometheus_client.generate_latest(self.registry))

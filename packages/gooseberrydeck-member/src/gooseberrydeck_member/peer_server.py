"""The WSGI application for peers' messages and metrics."""

import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import structlog

from gooseberrydeck_coordination.clock import Clock, SystemClock
from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.advice import AdviceFailedError, Adviser
from gooseberrydeck_fleet.ids import StepRef
from gooseberrydeck_fleet.team_views import TeamView
from gooseberrydeck_member.callers import CallerApplication, CallerRequest
from gooseberrydeck_member.cell import Cell
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.configuration_share import ConfigurationShare
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import (
    AdviceQuery,
    ConfigurationPiece,
    ConfigurationQuery,
    HandOver,
    Heartbeat,
    HeartbeatReply,
    HolderAnnouncement,
    JobAccepted,
    StateQuery,
    StateReply,
    WaitingReply,
)
from gooseberrydeck_member.shard_lock import ShardView
from gooseberrydeck_service.bounded_parser import HeaderFields
from gooseberrydeck_service.responses import status_line

__all__ = ["PeerApplication"]

log = structlog.get_logger(__name__)

QUERY_TIMEOUT_S = 0.5
"""Timeout of a query to the scheduler thread."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class PeerApplication:
    """Handle the messages of ``peer_messages``, and serve the metrics.

    A handler returns the reply; None becomes the status 503.
    """

    def __init__(
        self,
        cell: Cell,
        configuration: ConfigurationCache,
        adviser: Adviser | None,
        metrics: Metrics,
        incarnation: str,
        clock: Clock | None = None,
    ) -> None:
        """Create the application; set ``callers`` and ``take_over`` before serving."""
        self.cell = cell
        self.configuration = configuration
        self.clock = clock or SystemClock()
        self.share = ConfigurationShare(configuration, self.clock)
        self.adviser = adviser
        self.metrics = metrics
        self.incarnation = incarnation
        self.callers: CallerApplication | None = None
        self.take_over: Callable[[ShardView], bool] = lambda _seen: False
        self.handlers: dict[str, Callable[[bytes], object | None]] = {
            "/beat": self.handle_heartbeat,
            "/configuration": self.handle_configuration_query,
            "/announce": self.handle_announcement,
            "/hand-over": self.handle_hand_over,
            "/accepted": self.handle_job_accepted,
            "/state": self.handle_state_query,
            "/waiting": self.handle_waiting_query,
            "/teams": self.handle_team_query,
            "/advise": self.handle_advice_query,
            "/relay": self.handle_relayed_call,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle a WSGI request."""
        path = environ.get("PATH_INFO", "")
        if path == "/metrics":
            text = self.metrics.render()
            start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
            return [text]
        handler = self.handlers.get(path)
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        status, reply = 404, None
        if handler is not None:
            try:
                reply = handler(body)
                status = 503 if reply is None else 200
            except DecodingError as error:
                log.warning("cannot decode peer message", path=path, reason=str(error))
                status = 400
        content = msgspec.json.encode(reply)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
        ]
        start_response(status_line(status), headers)
        return [content]

    def check_header(self, fields: HeaderFields) -> int | None:
        """Return 404 for a message of an unknown kind, before its body is kept."""
        return None if fields.path in self.handlers else 404

    def handle_team_query(self, _body: bytes) -> tuple[TeamView, ...] | None:
        """Return the teams as last reported, or None if another member schedules."""
        scheduler = self.cell.scheduler
        if scheduler is None or scheduler.stopping.is_set():
            return None
        return scheduler.teams.views

    def handle_heartbeat(self, body: bytes) -> HeartbeatReply | None:
        """Record a heartbeat and reply with the holder's state.

        Returns None while it is unknown whether this member has claimed the shard.
        """
        heartbeat = decode_json(body, Heartbeat)
        # Read before the scheduler, which is set before a claim counts as done.
        is_claiming = self.cell.is_claiming
        scheduler = self.cell.scheduler
        if scheduler is None and is_claiming:
            return None
        if scheduler is None or scheduler.stopping.is_set():
            return HeartbeatReply(False, self.cell.holder_token, self.incarnation)
        self.cell.record_heartbeat(heartbeat)
        known = self.configuration.known()
        # Members of earlier releases have no other way to get it from here.
        is_sent = (
            known.version > heartbeat.version and not heartbeat.fetches_configuration
        )
        return HeartbeatReply(
            True,
            int(scheduler.token),
            self.incarnation,
            known.version,
            self.clock.monotonic() - known.confirmed_s,
            scheduler.authority.age_s(),
            known.value if is_sent else b"",
            self.cell.live_member_addresses(),
            int(known.revision),
            self.cell.claimants.now_s(),
        )

    def handle_configuration_query(self, body: bytes) -> ConfigurationPiece:
        """Return a piece of the configuration, or where it may be found."""
        return self.share.reply(decode_json(body, ConfigurationQuery))

    def handle_announcement(self, body: bytes) -> bool:
        """Record a new holder, and stop scheduling if it supersedes this member."""
        announcement = decode_json(body, HolderAnnouncement)
        # Recorded first: a claimant that has no scheduler yet checks the newest token.
        self.cell.set_holder(announcement.token, announcement.address)
        scheduler = self.cell.scheduler
        if scheduler is not None and announcement.token > scheduler.token:
            log.warning("superseded", token=scheduler.token, by=announcement.member)
            scheduler.mark_shard_lost()
        return True

    def handle_hand_over(self, body: bytes) -> bool:
        """Claim the shard from a stopping holder; return whether this succeeded."""
        return self.take_over(decode_json(body, HandOver).seen)

    def handle_job_accepted(self, body: bytes) -> bool:
        """Schedule a job that a peer has stored; return False if not the holder."""
        scheduler = self.cell.scheduler
        if scheduler is None:
            return False
        scheduler.job_accepted(decode_json(body, JobAccepted))
        return True

    def handle_state_query(self, body: bytes) -> StateReply | None:
        """Return a job's state, or None if this member does not hold the shard."""
        query = decode_json(body, StateQuery)
        if self.cell.scheduler is None:
            return None
        job = JobId(query.job)
        return StateReply(self.cell.state(job, QUERY_TIMEOUT_S))

    def handle_waiting_query(self, _body: bytes) -> WaitingReply | None:
        """Return the waiting counts, or None if this member does not hold the shard."""
        if self.cell.scheduler is None:
            return None
        return WaitingReply(self.cell.waiting(QUERY_TIMEOUT_S))

    def handle_advice_query(self, body: bytes) -> object | None:
        """Return advice on the holder's behalf, or None if it cannot be obtained."""
        query = decode_json(body, AdviceQuery)
        if self.adviser is None:
            return None
        step = StepRef(query.job, query.occurrence, query.step)
        try:
            return self.adviser.ask(step, query.workers, query.timeout_s)
        except AdviceFailedError as error:
            log.info("advice failed", job=step.job, reason=str(error))
            return None

    def handle_relayed_call(self, body: bytes) -> object | None:
        """Handle a caller's request that a peer could not serve."""
        call = decode_json(body, CallerRequest)
        if self.callers is None:
            return None
        # The peer sends the time left, because monotonic clocks differ between hosts.
        remaining_s = min(2.0, max(0.1, call.deadline_s))
        deadline_s = time.monotonic() + remaining_s
        relayed = msgspec.structs.replace(call, deadline_s=deadline_s, is_relayed=True)
        return self.callers.handle(relayed)

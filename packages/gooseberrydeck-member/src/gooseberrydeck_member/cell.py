"""A member's view of its cell: the holder of the shard and the live members."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec
import structlog

from gooseberrydeck_coordination.ids import Epoch, JobId, QueueName, Revision
from gooseberrydeck_coordination.outcomes import Outcome
from gooseberrydeck_fleet.work import JobRecord, JobState
from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S, boottime_clock_s
from gooseberrydeck_member.callers import (
    NOT_RELAYED,
    CallerRequest,
    CallerResponse,
)
from gooseberrydeck_member.claimants import Claimants
from gooseberrydeck_member.peer_messages import (
    Heartbeat,
    HolderAnnouncement,
    JobAccepted,
    StateQuery,
)
from gooseberrydeck_member.peers import PeerCallError, PeerClient
from gooseberrydeck_member.scheduler_task import SchedulerTask
from gooseberrydeck_member.shard_lock import ShardLostError

__all__ = ["STORE_SILENCE_LIMIT_S", "Cell"]

log = structlog.get_logger(__name__)

STORE_SILENCE_LIMIT_S = 0.9
"""Time without the store after which a holder may have lost its lease; two renewals."""

MEMBER_TTL_S = 1.5
"""Time since its last heartbeat after which a member is no longer listed."""

ANNOUNCE_TIMEOUT_S = 0.3
"""Timeout of one announcement; they are sent one after another."""

ANNOUNCE_INTERVAL_S = 0.25
"""Pause before the announcement to predecessors that did not reply is repeated."""

NOTIFIER_THREADS = 2
"""Threads for messages that are sent without waiting for a reply."""

MIN_RELAY_S = 0.1
"""Time left below which a caller's request is no longer relayed."""

MAX_RELAY_RESPONSES = 2
"""Peers that may respond to one relayed call. Each calls the store, which may be in
trouble for all members."""

STORE_FAILURE_STATUSES = frozenset({429, 503, 504})
"""Responses of a peer that the store has failed; it may still serve another one."""


class Cell:
    """A thread-safe view of the cell, and access to its holder.

    Implements ``HolderDirectory`` for callers' requests.
    """

    def __init__(
        self, member: str, address: str, peers: PeerClient, incarnation: str = ""
    ) -> None:
        """Start without a known holder; ``incarnation`` identifies the process."""
        self.member = member
        self.address = address
        self.peers = peers
        self.lock = threading.Lock()
        self.holder_address = ""
        self.holder_token = 0
        self.token_known_since_s = time.monotonic()
        self.holder_store_age_s = 0.0
        self.scheduler: SchedulerTask | None = None
        # True while a claim may be stored whose scheduler isn't set yet.
        self.is_claiming = False
        self.claimants = Claimants(incarnation, boottime_clock_s)
        self.last_heartbeats: dict[str, tuple[float, str, float]] = {}
        self.roster: tuple[str, ...] = ()
        self.notifier = ThreadPoolExecutor(NOTIFIER_THREADS, "tell")

    def set_holder(self, token: int, address: str) -> bool:
        """Record the holder; return False if its token is older than the known one."""
        with self.lock:
            if token < self.holder_token:
                return False
            if token > self.holder_token or address != self.holder_address:
                log.info("holder known", token=token, address=address)
            if token > self.holder_token:
                self.token_known_since_s = time.monotonic()
            self.holder_token = token
            self.holder_address = address
            return True

    def token_age_s(self, token: int) -> float:
        """Return for how long a fencing token has at least been in use, in seconds."""
        with self.lock:
            if token > self.holder_token:
                return 0.0
            return time.monotonic() - self.token_known_since_s

    def set_holder_store_age(self, age_s: float) -> None:
        """Record the age of the holder's last store response, in seconds."""
        self.holder_store_age_s = age_s

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a member's heartbeat."""
        self.claimants.record(heartbeat)
        with self.lock:
            self.last_heartbeats[heartbeat.member] = (
                -heartbeat.processors,
                heartbeat.address,
                time.monotonic(),
            )

    def live_member_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the other members with a recent heartbeat.

        The largest hosts come first, so that they claim the shard first.
        """
        oldest_s = time.monotonic() - MEMBER_TTL_S
        with self.lock:
            for member, (_, _, heard_s) in list(self.last_heartbeats.items()):
                if heard_s < oldest_s:
                    del self.last_heartbeats[member]
            return tuple(
                address for _, address, _ in sorted(self.last_heartbeats.values())
            )

    def set_roster(self, addresses: tuple[str, ...]) -> None:
        """Record the holder's list of members, in claim order."""
        self.roster = addresses

    def peer_addresses(self) -> list[str]:
        """Return the last known addresses of the other members, the holder first."""
        known = [self.holder_address, *self.live_member_addresses(), *self.roster]
        unique = dict.fromkeys(address for address in known if address)
        unique.pop(self.address, None)
        return list(unique)

    def announce(
        self,
        scheduler: SchedulerTask,
        former_holder: str,
        active_predecessors: tuple[str, ...],
    ) -> None:
        """Announce to every known member that this one holds the shard.

        Repeats it for active predecessors, and reports to the scheduler when all of
        them have replied.
        """
        token = int(scheduler.token)
        announcement = HolderAnnouncement(token, self.member, self.address)
        unanswered = set(active_predecessors)
        # Predecessors come first: they may start tasks until they are told.
        first = [*active_predecessors, former_holder]
        addresses = dict.fromkeys([*first, *self.peer_addresses()])
        addresses.pop("", None)
        addresses.pop(self.address, None)
        end_s = time.monotonic() + AUTHORITY_TIMEOUT_S
        while addresses:
            for address in addresses:
                try:
                    self.peers.announce(address, announcement, ANNOUNCE_TIMEOUT_S)
                except PeerCallError as error:
                    log.info("announcement failed", address=address, reason=str(error))
                    continue
                if unanswered:
                    unanswered.discard(address)
                    if not unanswered:
                        scheduler.predecessor_stopped()
            is_late = time.monotonic() > end_s
            if is_late or scheduler.stopping.wait(ANNOUNCE_INTERVAL_S):
                return
            addresses = dict.fromkeys(unanswered)

    # Methods of HolderDirectory.

    def state(self, job: JobId, timeout_s: float) -> JobState | None:
        """Return a job's state from the holder, or None if it is not available."""
        scheduler = self.scheduler
        try:
            if scheduler is not None:
                return scheduler.query_state(job, timeout_s)
            if not self.holder_address:
                return None
            query = StateQuery(job)
            return self.peers.state(self.holder_address, query, timeout_s).state
        except (PeerCallError, ShardLostError, FutureTimeoutError) as error:
            log.info("cannot get job state from holder", job=job, reason=repr(error))
            return None

    def waiting(self, timeout_s: float) -> dict[QueueName, int] | None:
        """Return the number of waiting jobs by queue, or None if not available."""
        scheduler = self.scheduler
        try:
            if scheduler is not None:
                return scheduler.query_waiting(timeout_s)
            if not self.holder_address:
                return None
            return self.peers.waiting(self.holder_address, timeout_s).waiting
        except (PeerCallError, ShardLostError, FutureTimeoutError) as error:
            log.info("cannot get waiting counts from holder", reason=repr(error))
            return None

    def newest_token(self) -> Epoch:
        """Return the fencing token of the newest known holder, 0 if none is known."""
        with self.lock:
            return Epoch(self.holder_token)

    def notify_job_accepted(self, record: JobRecord, revision: Revision) -> None:
        """Notify the holder of a stored job without waiting for a reply."""
        notification = JobAccepted(record, int(revision))
        scheduler = self.scheduler
        if scheduler is not None:
            scheduler.job_accepted(notification)
        elif self.holder_address:
            self.notifier.submit(
                self.send_job_accepted, self.holder_address, notification
            )

    def send_job_accepted(self, address: str, notification: JobAccepted) -> None:
        """Send the notification; if lost, the holder finds the job in the store."""
        try:
            self.peers.call(
                address, "/accepted", notification, bool, ANNOUNCE_TIMEOUT_S
            )
        except PeerCallError as error:
            log.info(
                "cannot notify holder of job",
                job=notification.record.id,
                reason=str(error),
            )

    def is_store_unavailable(self) -> bool:
        """Return whether the holder cannot reach the store either."""
        scheduler = self.scheduler
        if scheduler is not None:
            return scheduler.authority.age_s() > STORE_SILENCE_LIMIT_S
        return self.holder_store_age_s > STORE_SILENCE_LIMIT_S

    def relay(self, call: CallerRequest, timeout_s: float) -> CallerResponse:
        """Relay a call to the peers in turn until one can settle it.

        Returns a refusal only if no peer can have run the call, and
        ``OUTCOME_UNKNOWN`` if one may have.
        """
        end_s = time.monotonic() + timeout_s
        outcome = Outcome.NOT_RUN
        response = NOT_RELAYED
        responses = 0
        for address in self.peer_addresses():
            remaining_s = end_s - time.monotonic()
            if remaining_s < MIN_RELAY_S:
                break
            try:
                # Monotonic times differ between hosts, so the time left is sent.
                relayed = msgspec.structs.replace(call, deadline_s=remaining_s)
                response = self.peers.call(
                    address, "/relay", relayed, CallerResponse, remaining_s
                )
            except PeerCallError as error:
                log.info(
                    "relay failed",
                    operation=call.method,
                    path=call.path,
                    address=address,
                    failure=type(error).__name__,
                    reason=str(error),
                )
                outcome = outcome.followed_by(error.outcome)
                continue
            log.info(
                "relayed",
                operation=call.method,
                path=call.path,
                address=address,
                status=response.status,
                earlier_outcome=outcome.value,
            )
            outcome = outcome.followed_by(response.outcome)
            responses += 1
            is_settled = response.status not in STORE_FAILURE_STATUSES
            is_last = responses == MAX_RELAY_RESPONSES or self.is_store_unavailable()
            if is_settled or is_last:
                break
        return response.after(outcome)

"""What a member knows of the others: who holds the shard, and who lives."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec
import structlog

from gooseberrydeck_coordination.ids import JobId, QueueName, Revision
from gooseberrydeck_fleet.work import JobRecord, JobState
from gooseberrydeck_member.callers import CallerRequest, CallerResponse
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
"""A holder without the store for longer may have lost its lease; two renewals."""

MEMBER_TTL_S = 1.5
"""A member that has not told the holder for longer that it lives is left out."""

ANNOUNCE_TIMEOUT_S = 0.3
"""For one announcement; they are made one after the other."""

NOTIFIER_THREADS = 2
"""For messages that nobody waits for."""

MIN_RELAY_S = 0.1
"""With less time left a caller's request is not passed on."""


class Cell:
    """Shared by the threads of a member; each method is safe in all of them."""

    def __init__(self, member: str, address: str, peers: PeerClient) -> None:
        """Begin without a holder."""
        self.member = member
        self.address = address
        self.peers = peers
        self.lock = threading.Lock()
        self.holder_address = ""
        self.holder_token = 0
        self.holder_store_age_s = 0.0
        self.scheduler: SchedulerTask | None = None
        self.last_heartbeats: dict[str, tuple[float, str, float]] = {}
        self.roster: tuple[str, ...] = ()
        self.notifier = ThreadPoolExecutor(NOTIFIER_THREADS, "tell")

    def set_holder(self, token: int, address: str) -> bool:
        """Take in who holds the shard; an older token is ignored."""
        with self.lock:
            if token < self.holder_token:
                return False
            if token > self.holder_token or address != self.holder_address:
                log.info("holder known", token=token, address=address)
            self.holder_token = token
            self.holder_address = address
            return True

    def set_holder_store_age(self, age_s: float) -> None:
        """Take in when the holder last had an answer of the store."""
        self.holder_store_age_s = age_s

    def record_heartbeat(self, beat: Heartbeat) -> None:
        """Note that a member lives."""
        with self.lock:
            self.last_heartbeats[beat.member] = (
                -beat.processors,
                beat.address,
                time.monotonic(),
            )

    def live_member_addresses(self) -> tuple[str, ...]:
        """Return where the others are that told lately that they live.

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
        """Take over the holder's list of members."""
        self.roster = addresses

    def peer_addresses(self) -> list[str]:
        """Return where other members were last known to be, the holder first."""
        known = [self.holder_address, *self.live_member_addresses(), *self.roster]
        unique = dict.fromkeys(address for address in known if address)
        unique.pop(self.address, None)
        return list(unique)

    def announce(self, token: int, former: str) -> None:
        """Tell every known member that this one holds the shard."""
        news = HolderAnnouncement(token, self.member, self.address)
        # The former holder first: until it knows, what it may start is in doubt.
        for address in dict.fromkeys([former, *self.peer_addresses()]):
            if address in ("", self.address):
                continue
            try:
                self.peers.announce(address, news, ANNOUNCE_TIMEOUT_S)
            except PeerCallError as error:
                log.info("announcement failed", address=address, reason=str(error))
                continue
            if address == former and self.scheduler is not None:
                self.scheduler.predecessor_stopped()

    # The interface that callers' requests need.

    def state(self, job: JobId, timeout_s: float) -> JobState | None:
        """Return a job's state; None if it is not known or nobody answers."""
        scheduler = self.scheduler
        try:
            if scheduler is not None:
                return scheduler.query_state(job, timeout_s)
            if not self.holder_address:
                return None
            question = StateQuery(job)
            return self.peers.state(self.holder_address, question, timeout_s).state
        except (PeerCallError, ShardLostError, FutureTimeoutError) as error:
            log.info("holder does not tell", job=job, reason=repr(error))
            return None

    def waiting(self, timeout_s: float) -> dict[QueueName, int] | None:
        """Return the waiting counts by queue; None if nobody answers."""
        scheduler = self.scheduler
        try:
            if scheduler is not None:
                return scheduler.query_waiting(timeout_s)
            if not self.holder_address:
                return None
            return self.peers.waiting(self.holder_address, timeout_s).waiting
        except (PeerCallError, ShardLostError, FutureTimeoutError) as error:
            log.info("holder does not tell", reason=repr(error))
            return None

    def accepted(self, record: JobRecord, revision: Revision) -> None:
        """Tell the holder of a stored job, without waiting for its answer."""
        news = JobAccepted(record, int(revision))
        scheduler = self.scheduler
        if scheduler is not None:
            scheduler.job_accepted(news)
        elif self.holder_address:
            self.notifier.submit(self.send_job_accepted, self.holder_address, news)

    def send_job_accepted(self, address: str, news: JobAccepted) -> None:
        """Send the message; if it is lost, the holder learns from the store."""
        try:
            self.peers.call(address, "/accepted", news, bool, ANNOUNCE_TIMEOUT_S)
        except PeerCallError as error:
            log.info("holder not told", job=news.record.id, reason=str(error))

    def is_store_unavailable(self) -> bool:
        """Tell whether the holder does not reach the store either."""
        scheduler = self.scheduler
        if scheduler is not None:
            return scheduler.authority.age_s() > STORE_SILENCE_LIMIT_S
        return self.holder_store_age_s > STORE_SILENCE_LIMIT_S

    def relay(self, call: CallerRequest, timeout_s: float) -> CallerResponse | None:
        """Let the first peer that is reached answer a call."""
        end_s = time.monotonic() + timeout_s
        for address in self.peer_addresses():
            left_s = end_s - time.monotonic()
            if left_s < MIN_RELAY_S:
                return None
            try:
                # Monotonic times mean nothing to a peer: it is told what is left.
                relayed = msgspec.structs.replace(call, deadline_s=left_s)
                return self.peers.call(
                    address, "/relay", relayed, CallerResponse, left_s
                )
            except PeerCallError as error:
                log.info("relay failed", address=address, reason=str(error))
        return None

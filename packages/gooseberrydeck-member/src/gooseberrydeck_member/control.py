"""The task that claims the shard, renews its lease, or follows another holder."""

import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from itertools import zip_longest

import structlog

from gooseberrydeck_coordination.exceptions import StoreError, StoreOutcomeUnknownError
from gooseberrydeck_coordination.ids import Revision
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_member.authority import (
    AUTHORITY_TIMEOUT_S,
    Authority,
    boottime_clock_s,
)
from gooseberrydeck_member.cell import STORE_SILENCE_LIMIT_S, Cell
from gooseberrydeck_member.claimants import FOLLOWED_WITHIN_S
from gooseberrydeck_member.configuration import (
    AnnouncedConfiguration,
    ConfigurationCache,
)
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import Heartbeat, HeartbeatReply
from gooseberrydeck_member.peers import PeerCallError, PeerClient, PeerRefusedError
from gooseberrydeck_member.predecessors import Predecessors
from gooseberrydeck_member.scheduler_task import SchedulerTask
from gooseberrydeck_member.shard_lock import (
    ShardLock,
    ShardLostError,
    ShardRecord,
    ShardView,
    next_token,
)
from gooseberrydeck_member.sole_mark import is_marked_sole

__all__ = ["ControlTask"]

log = structlog.get_logger(__name__)

HEARTBEAT_INTERVAL_S = 0.25
"""Interval between heartbeats to the holder."""

HEARTBEAT_TIMEOUT_S = 0.35
"""Timeout of one heartbeat."""

HOLDER_SILENCE_LIMIT_S = 0.6
"""Time without a reply after which the store is asked whether the holder is alive."""

LEASE_RENEWAL_INTERVAL_S = 0.4
"""Interval between renewals of the holder's lease."""

LEASE_TTL_S = 1.0
"""Duration of the holder's lease, the shortest that the platform grants.

It allows for one failed renewal. An expired lease alone does not cost the holder the
shard: it is claimed only from a holder that is silent or cannot reach the store."""

STORE_TIMEOUT_S = 0.6
"""Timeout of one store call; the other duties of this task wait for it."""

CLAIM_RANK_DELAY_S = 0.06
"""Delay between claimants of consecutive ranks; a claim takes two store calls."""

SMALL_HOST_CLAIM_DELAY_S = 0.3
"""Additional delay of hosts with less than a whole processor."""

SMALL_HOST_PROCESSORS = 1.0
"""Hosts below this size claim later.

A scheduler of 176 workers uses up to half a processor, which leaves a smaller host too
little for its other work."""

HAND_OVER_TIMEOUT_S = 1.0
"""Timeout of a peer's claim during a hand-over: two calls of a slow store."""

MAX_HAND_OVER_PEERS = 2
"""Peers that a stopping holder asks; it must exit within the platform's grace
period."""

MAX_CLAIM_RANK = 8
"""Higher ranks wait no longer than this one, which bounds the time of a takeover."""


class ControlTask:
    """Claim the shard when it has no live holder, and run the scheduler while held."""

    def __init__(
        self,
        store: Store,
        shard_lock: ShardLock,
        cell: Cell,
        peers: PeerClient,
        configuration: ConfigurationCache,
        timing: Timing,
        build_scheduler: Callable[[Authority, Predecessors], SchedulerTask],
        metrics: Metrics,
        processors: float,
    ) -> None:
        """Start as a follower that does not know the holder.

        ``processors`` is the size of the host; small hosts claim the shard last.
        """
        self.name = "control"
        self.store = store
        self.shard_lock = shard_lock
        self.cell = cell
        self.peers = peers
        self.configuration = configuration
        self.timing = timing
        self.build_scheduler = build_scheduler
        self.metrics = metrics
        self.processors = processors
        self.stopping = threading.Event()
        self.may_claim = True
        # Claims come from this task's thread and from the peer server's hand-over.
        self.claim_lock = threading.Lock()
        self.claim_blocked_until_s = 0.0
        self.last_holder_reply_s = time.monotonic()
        # The process of the last holder that replied, with its clock then.
        self.holder_incarnation = ""
        self.holder_time_s = 0.0
        # When heartbeats were sent, the last for each holder's process that knows this
        # member as one that could claim the shard.
        self.followed_s: dict[str, float] = {}
        self.read_due_s = 0.0
        self.is_store_failing = False
        self.random = random.Random(shard_lock.incarnation)
        self.executor = ThreadPoolExecutor(2, "lead")

    def run(self) -> None:
        """Follow the holder, or act as the holder, until stopped."""
        while not self.stopping.is_set():
            started_s = time.monotonic()
            if self.cell.scheduler is None:
                known = self.cell.holder_address
                self.follow()
                # Contact a newly found holder at once: its process may have ended.
                is_new = self.cell.holder_address not in ("", known)
                pause_s = 0.0 if is_new else HEARTBEAT_INTERVAL_S
            else:
                pause_s = LEASE_RENEWAL_INTERVAL_S
                self.lead(self.cell.scheduler)
            remaining_s = started_s + pause_s - time.monotonic()
            if remaining_s > 0:
                self.stopping.wait(remaining_s)

    def stop(self) -> None:
        """Ask the task to end after the current round."""
        self.stopping.set()

    def report_store_failure(self, error: StoreError) -> None:
        """Log the first of consecutive store failures."""
        if not self.is_store_failing:
            self.is_store_failing = True
            log.warning("store lost", reason=f"{type(error).__name__}: {error}")

    def report_store_recovery(self) -> None:
        """Log the first successful store call after failures."""
        if self.is_store_failing:
            self.is_store_failing = False
            log.info("store regained")

    # Following.

    def follow(self) -> None:
        """Send a heartbeat to the holder; look for another one if it is gone."""
        # The token is read first, so that it isn't newer than the address.
        token = self.cell.holder_token
        address = self.cell.holder_address
        if not address or address == self.cell.address:
            self.find_holder()
            return
        heartbeat = self.build_heartbeat()
        sent_s = time.monotonic()
        sent_boottime_s = boottime_clock_s()
        try:
            reply = self.peers.send_heartbeat(address, heartbeat, HEARTBEAT_TIMEOUT_S)
        except PeerRefusedError as error:
            log.warning(
                "holder refuses connections", address=address, reason=str(error)
            )
            self.find_holder(refusing_token=token)
        except PeerCallError as error:
            silent_s = time.monotonic() - self.last_holder_reply_s
            if silent_s > HOLDER_SILENCE_LIMIT_S:
                log.warning(
                    "holder is silent",
                    address=address,
                    silent_s=round(silent_s, 3),
                    reason=str(error),
                )
                self.find_holder()
        else:
            if reply.is_holder and reply.time_s:
                self.holder_incarnation = reply.incarnation
                self.holder_time_s = reply.time_s
                self.record_followed(reply.incarnation, sent_boottime_s)
            self.handle_heartbeat_reply(reply, token, address, sent_s)

    def record_followed(self, incarnation: str, sent_s: float) -> None:
        """Record that a holder has answered a heartbeat that was sent at ``sent_s``."""
        oldest_s = sent_s - FOLLOWED_WITHIN_S
        recent = {key: at_s for key, at_s in self.followed_s.items() if at_s > oldest_s}
        self.followed_s = {**recent, incarnation: sent_s}

    def build_heartbeat(self) -> Heartbeat:
        """Return a heartbeat, which says whether this member could claim the shard.

        While it claims the shard in another thread, the heartbeat doesn't say that it
        follows the holder.
        """
        is_idle = self.claim_lock.acquire(blocking=False)
        try:
            is_following = is_idle and self.cell.scheduler is None
            return Heartbeat(
                self.cell.member,
                self.cell.address,
                self.shard_lock.incarnation,
                self.configuration.version,
                self.processors,
                fetches_configuration=True,
                holder_incarnation=self.holder_incarnation if is_following else "",
                holder_time_s=self.holder_time_s,
                may_claim=self.may_claim or not is_following,
            )
        finally:
            if is_idle:
                self.claim_lock.release()

    def handle_heartbeat_reply(
        self, reply: HeartbeatReply, token: int, address: str, sent_s: float
    ) -> None:
        """Apply the holder's reply, or look for a new holder if it lost the shard."""
        if not reply.is_holder:
            self.find_holder(gone_token=token)
            return
        self.last_holder_reply_s = time.monotonic()
        self.cell.set_holder(reply.token, address)
        self.cell.set_roster(reply.members)
        confirmed_s = sent_s - reply.configuration_age_s
        if reply.configuration:
            self.configuration.offer(reply.configuration, confirmed_s, address)
        else:
            revision = Revision(reply.configuration_revision)
            self.configuration.announce(
                AnnouncedConfiguration(reply.version, address, confirmed_s, revision)
            )
        self.cell.set_holder_store_age(reply.store_age_s)
        if reply.store_age_s > STORE_SILENCE_LIMIT_S:
            self.find_holder()

    def find_holder(self, gone_token: int = 0, refusing_token: int = 0) -> None:
        """Read the holder from the store, and claim the shard if it has none.

        The holder with ``gone_token`` has certainly stopped; its member may have
        claimed the shard again since. A holder at this member's own address was an
        earlier process, which has ended too. The holder with ``refusing_token`` has
        refused a connection: it is replaced at once, but may still act.
        """
        try:
            seen = self.shard_lock.read(STORE_TIMEOUT_S)
            self.report_store_recovery()
            record = seen.record
            if record.incarnation == self.shard_lock.incarnation and record.holder:
                # This process made the claim, but the store's response was lost. The
                # record names the predecessors that may still act.
                if self.may_claim and time.monotonic() >= self.claim_blocked_until_s:
                    self.claim(seen, was_silent=False)
                return
            is_gone = record.token <= gone_token or record.address == self.cell.address
            if record.holder and not is_gone:
                is_known = record.token <= self.cell.holder_token
                if not is_known or record.address != self.cell.holder_address:
                    self.cell.set_holder(record.token, record.address)
                    self.last_holder_reply_s = time.monotonic()
                    return
                is_refusing = record.token <= refusing_token
                if not is_refusing and self.shard_lock.is_alive(STORE_TIMEOUT_S):
                    return
            was_silent = bool(record.holder) and not is_gone
            self.claim(seen, was_silent)
        except StoreError as error:
            self.report_store_failure(error)

    def claim(self, seen: ShardView, was_silent: bool) -> None:
        """Claim the shard after the delay of this member's rank.

        Does nothing if the shard's record has changed meanwhile.
        """
        if not self.may_claim or time.monotonic() < self.claim_blocked_until_s:
            return
        if self.configuration.current is None:
            return
        delay_s = self.claim_delay_s()
        if delay_s > 0:
            self.stopping.wait(delay_s)
            fresh = self.shard_lock.read(STORE_TIMEOUT_S)
            if fresh.revision != seen.revision:
                self.cell.set_holder(fresh.record.token, fresh.record.address)
                self.last_holder_reply_s = time.monotonic()
                return
        with self.claim_lock:
            if self.may_claim and self.cell.scheduler is None:
                self.claim_now(seen, was_silent)

    def take_over(self, seen: ShardView) -> bool:
        """Claim the shard at its holder's request; return whether the claim succeeded.

        The holder keeps sending commands until it learns of the claim.
        """
        is_blocked = time.monotonic() < self.claim_blocked_until_s
        if is_blocked or self.configuration.current is None:
            return False
        try:
            with self.claim_lock:
                may_claim = self.may_claim and self.cell.scheduler is None
                return may_claim and self.claim_now(seen, True)
        except StoreError as error:
            log.warning("shard not taken over", reason=str(error))
            return False

    def claim_now(self, seen: ShardView, was_silent: bool) -> bool:
        """Claim the shard if its record still matches ``seen``; return whether it did.

        The result is also False if the store's response was lost.
        """
        sent_s = boottime_clock_s()
        members = (*self.cell.peer_addresses(), self.cell.address)
        predecessors = self.find_predecessors(seen.record, was_silent)
        ttl_s = max(LEASE_TTL_S, self.timing.min_lease_s)
        self.cell.is_claiming = True
        try:
            won = self.shard_lock.claim(
                seen,
                members,
                ttl_s,
                STORE_TIMEOUT_S,
                predecessors.addresses,
                predecessors.incarnations,
            )
            # A claim may take long, and a holder forget the claimant meanwhile.
            are_limited = self.are_limited(predecessors.incarnations)
            predecessors = predecessors._replace(are_limited=are_limited)
            log.info(
                "claim",
                won=won,
                token=next_token(seen.record.token),
                former=seen.record.holder,
                was_silent=was_silent,
                former_revision=seen.revision,
                active_predecessors=predecessors.addresses,
                are_predecessors_limited=predecessors.are_limited,
            )
            if won:
                self.start_scheduler(predecessors, sent_s, seen.record.address)
        except StoreOutcomeUnknownError as error:
            log.warning("no response to claim; outcome unknown", reason=str(error))
            return False
        finally:
            self.cell.is_claiming = False
        return won

    def find_predecessors(self, record: ShardRecord, was_silent: bool) -> Predecessors:
        """Return the former holders that may act after a claim.

        Those before the last holder may have outlived it. Their authority was confirmed
        last before the record's token was in use. The mark of just this token says that
        it had ended when the mark was stored.
        """
        former = {record.address: record.incarnation} if was_silent else {}
        is_new = self.cell.token_age_s(int(record.token)) < AUTHORITY_TIMEOUT_S
        if is_new and record.active_predecessors and not self.is_sole(record):
            incarnations = record.predecessor_incarnations
            # Members of earlier releases store no incarnations.
            earlier = zip_longest(
                record.active_predecessors, incarnations, fillvalue=""
            )
            for address, incarnation in earlier:
                former.setdefault(address, incarnation)
        former.pop(self.cell.address, None)
        incarnations = tuple(former.values())
        are_limited = self.are_limited(incarnations)
        return Predecessors(tuple(former), incarnations, are_limited)

    def is_sole(self, record: ShardRecord) -> bool:
        """Return True if the last holder's predecessors are known not to act."""
        return is_marked_sole(self.store, record.token, STORE_TIMEOUT_S)

    def are_limited(self, incarnations: tuple[str, ...]) -> bool:
        """Return True if former holders know this member until they can't act.

        That holds for a claim that has succeeded by now.
        """
        oldest_s = boottime_clock_s() - FOLLOWED_WITHIN_S
        return all(
            self.followed_s.get(incarnation, oldest_s) > oldest_s
            for incarnation in incarnations
        )

    def claim_delay_s(self) -> float:
        """Return the delay before a claim, by host size and position in the roster.

        A member that is not in the roster waits for a random time.
        """
        roster = self.cell.roster
        is_small = self.processors < SMALL_HOST_PROCESSORS
        delay_s = SMALL_HOST_CLAIM_DELAY_S if is_small else 0.0
        if self.cell.address in roster:
            rank = min(MAX_CLAIM_RANK, roster.index(self.cell.address))
            return delay_s + rank * CLAIM_RANK_DELAY_S
        return delay_s + self.random.random() * CLAIM_RANK_DELAY_S * 2

    # Leading.

    def start_scheduler(
        self, predecessors: Predecessors, sent_s: float, former_holder: str
    ) -> None:
        """Start the scheduler and announce this member as the holder."""
        held = self.shard_lock.held
        configuration = self.configuration.current
        if held is None or configuration is None:
            return
        followed_s = self.cell.claimants.followed_s
        authority = Authority(followed_s=followed_s, claimed_s=sent_s)
        scheduler = self.build_scheduler(authority, predecessors)
        scheduler.set_configuration(configuration)
        self.cell.scheduler = scheduler
        # A version adopted before the scheduler was set has not been passed to it.
        self.configuration.deliver(scheduler.set_configuration)
        # Checked after the scheduler is set: an announcement that finds none to stop
        # has recorded a newer token before.
        is_newest = self.cell.set_holder(int(held.record.token), self.cell.address)
        if not is_newest:
            log.warning("superseded before the start", token=scheduler.token)
            scheduler.mark_shard_lost()
        self.metrics.takeovers.inc()
        self.executor.submit(self.run_scheduler, scheduler)
        if is_newest:
            self.executor.submit(
                self.cell.announce, scheduler, former_holder, predecessors.addresses
            )

    def run_scheduler(self, scheduler: SchedulerTask) -> None:
        """Run the scheduler's task; give up the shard if it crashes."""
        try:
            scheduler.run()
        except Exception:
            log.exception("scheduler crashed", token=scheduler.token)
            scheduler.mark_shard_lost()

    def lead(self, scheduler: SchedulerTask) -> None:
        """Renew the lease, or step down if the shard is lost."""
        if scheduler.lost.is_set():
            self.step_down(scheduler)
            return
        scheduler.advice_pool.set_peers(self.cell.live_member_addresses())
        sent_s = boottime_clock_s()
        ttl_s = max(LEASE_TTL_S, self.timing.min_lease_s)
        try:
            self.shard_lock.renew_lease(ttl_s, STORE_TIMEOUT_S)
        except ShardLostError as error:
            log.warning("holding lost", token=scheduler.token, reason=str(error))
            self.step_down(scheduler)
        except StoreError as error:
            self.report_store_failure(error)
            scheduler.authority.not_confirmed(sent_s)
        else:
            self.report_store_recovery()
            scheduler.authority.confirm(sent_s)

    def step_down(self, scheduler: SchedulerTask) -> None:
        """Become a follower, and let other members claim the shard first."""
        scheduler.stop()
        self.cell.scheduler = None
        self.shard_lock.held = None
        self.claim_blocked_until_s = time.monotonic() + self.timing.turn_s
        if self.cell.holder_address == self.cell.address:
            self.cell.set_holder(self.cell.holder_token, "")
        log.warning("stepped down", token=scheduler.token)

    def hand_over(self) -> None:
        """Hand the shard over before a planned stop.

        The scheduler keeps running until a peer has claimed the shard. If no peer does,
        the lock is released for the next member that reads the record.
        """
        self.may_claim = False
        scheduler = self.cell.scheduler
        if scheduler is None:
            return
        is_claimed = self.offer_shard(scheduler)
        scheduler.stop()
        self.cell.scheduler = None
        if not is_claimed:
            self.cell.set_holder(self.cell.holder_token, "")
            try:
                self.shard_lock.release(STORE_TIMEOUT_S)
            except StoreError as error:
                log.warning("shard not released", reason=str(error))
        log.info("shard handed over", token=scheduler.token, is_claimed=is_claimed)

    def offer_shard(self, scheduler: SchedulerTask) -> bool:
        """Ask peers in claim order to claim the shard; return whether one has."""
        held = self.shard_lock.held
        if held is None:
            return False
        for address in self.cell.live_member_addresses()[:MAX_HAND_OVER_PEERS]:
            try:
                if self.peers.hand_over(address, held, HAND_OVER_TIMEOUT_S):
                    scheduler.lost.wait(HAND_OVER_TIMEOUT_S)
                    return True
            except PeerCallError as error:
                log.info("shard not claimed", address=address, reason=str(error))
            if scheduler.lost.is_set():
                return True
        return False

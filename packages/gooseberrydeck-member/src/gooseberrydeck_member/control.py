"""The task that follows the holder of the shard, or is it."""

import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import structlog

from gooseberrydeck_coordination.exceptions import StoreError, StoreOutcomeUnknownError
from gooseberrydeck_coordination.store import Store
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_member.authority import Authority, boot_time_s
from gooseberrydeck_member.cell import STORE_SILENT_S, Cell
from gooseberrydeck_member.configuration import ConfigurationHolder
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import Beat, BeatReply
from gooseberrydeck_member.peers import PeerClient, PeerFailedError, PeerGoneError
from gooseberrydeck_member.scheduler_task import SchedulerTask
from gooseberrydeck_member.shard_lock import Holding, HoldingLostError, ShardView

__all__ = ["ControlTask"]

log = structlog.get_logger(__name__)

BEAT_S = 0.25
"""Time between two messages to the holder."""

BEAT_TIMEOUT_S = 0.35
"""After which a message to the holder counts as unanswered."""

SILENT_AFTER_S = 0.6
"""Silence after which the store is asked whether the holder lives."""

KEEP_S = 0.4
"""Time between two renewals of the holder's lease."""

LEASE_TTL_S = 1.0
"""The holder's lease, the shortest that the platform grants: one renewal may fail.

A lease that lapses alone ends no holding: it is claimed only from a holder that is
silent or has lost the store."""

STORE_TIMEOUT_S = 0.6
"""For one call of this task; others wait for it."""

CONFIGURATION_READ_S = 0.5
"""How often the holder reads the configuration; a quarter of what is promised."""

CONFIGURATION_STALE_S = 0.9
"""Age from which a member reads the configuration itself."""

RANK_DELAY_S = 0.06
"""Head start of each claimant before the next; a claim takes two store calls."""

SMALL_HOST_DELAY_S = 0.3
"""Head start of hosts with a whole processor before smaller ones."""

SMALL_HOST_PROCESSORS = 1.0
"""A scheduler of 176 workers takes up to half a processor; less leaves no room."""

OFFER_TIMEOUT_S = 1.0
"""For the claim of a peer that is asked for it: two calls of a slow store."""

MAX_OFFERS = 2
"""Peers that a stopping holder asks; it has to be gone within the platform's grace."""

MAX_RANK = 8
"""Ranks beyond this wait no longer, so that a takeover stays quick."""


class ControlTask:
    """Claims the shard when nobody holds it; owns the scheduler's task while held."""

    def __init__(
        self,
        store: Store,
        holding: Holding,
        cell: Cell,
        peers: PeerClient,
        configuration: ConfigurationHolder,
        configuration_key: str,
        timing: Timing,
        build_scheduler: Callable[[Authority, bool], SchedulerTask],
        metrics: Metrics,
        processors: float,
    ) -> None:
        """Begin as a follower that knows no holder, on a host of some processors."""
        self.name = "control"
        self.store = store
        self.holding = holding
        self.cell = cell
        self.peers = peers
        self.configuration = configuration
        self.configuration_key = configuration_key
        self.timing = timing
        self.build_scheduler = build_scheduler
        self.metrics = metrics
        self.processors = processors
        self.stopping = threading.Event()
        self.may_claim = True
        # Claims are made by the task's thread, and by peers' that hand over.
        self.claiming = threading.Lock()
        self.no_claim_before_s = 0.0
        self.answered_s = time.monotonic()
        self.read_due_s = 0.0
        self.is_store_lost = False
        self.random = random.Random(holding.incarnation)
        self.runner = ThreadPoolExecutor(2, "lead")

    def run(self) -> None:
        """Follow or lead until stopped."""
        while not self.stopping.is_set():
            begun_s = time.monotonic()
            if self.cell.scheduler is None:
                known = self.cell.holder_address
                self.follow()
                # A holder that the store names may be gone: that shows at once.
                is_new = self.cell.holder_address not in ("", known)
                pause_s = 0.0 if is_new else BEAT_S
            else:
                pause_s = KEEP_S
                self.lead(self.cell.scheduler)
            self.refresh_configuration()
            left_s = begun_s + pause_s - time.monotonic()
            if left_s > 0:
                self.stopping.wait(left_s)

    def stop(self) -> None:
        """Ask the task to end."""
        self.stopping.set()

    # Configuration.

    def refresh_configuration(self) -> None:
        """Read the configuration if what is known of it is not fresh."""
        now_s = time.monotonic()
        is_leading = self.cell.scheduler is not None
        limit_s = CONFIGURATION_READ_S if is_leading else CONFIGURATION_STALE_S
        if (
            now_s - self.configuration.confirmed_s < limit_s
            and self.configuration.value
        ):
            return
        try:
            entry = self.store.read(self.configuration_key, STORE_TIMEOUT_S)
        except StoreError as error:
            self.note_store_lost(error)
            return
        self.note_store_regained()
        if entry is not None:
            self.configuration.offer(entry.value, now_s, "store")

    def note_store_lost(self, error: StoreError) -> None:
        """Log the first of a row of failures."""
        if not self.is_store_lost:
            self.is_store_lost = True
            log.warning("store lost", reason=f"{type(error).__name__}: {error}")

    def note_store_regained(self) -> None:
        """Log the first success after failures."""
        if self.is_store_lost:
            self.is_store_lost = False
            log.info("store regained")

    # Following.

    def follow(self) -> None:
        """Tell the holder that this member lives, and claim if there is none."""
        address = self.cell.holder_address
        if not address or address == self.cell.address:
            self.look_for_holder()
            return
        beat = Beat(
            self.cell.member,
            self.cell.address,
            self.holding.incarnation,
            self.configuration.version,
            self.processors,
        )
        sent_s = time.monotonic()
        try:
            reply = self.peers.beat(address, beat, BEAT_TIMEOUT_S)
        except PeerGoneError as error:
            log.warning("holder is gone", address=address, reason=str(error))
            self.look_for_holder(gone=address)
        except PeerFailedError as error:
            silent_s = time.monotonic() - self.answered_s
            if silent_s > SILENT_AFTER_S:
                log.warning(
                    "holder is silent",
                    address=address,
                    silent_s=round(silent_s, 3),
                    reason=str(error),
                )
                self.look_for_holder()
        else:
            self.beat_answered(reply, address, sent_s)

    def beat_answered(self, reply: BeatReply, address: str, sent_s: float) -> None:
        """Take in what the holder tells."""
        if not reply.is_holder:
            self.look_for_holder(gone=address)
            return
        self.answered_s = time.monotonic()
        self.cell.set_holder(reply.token, address)
        self.cell.set_roster(reply.members)
        confirmed_s = sent_s - reply.configuration_age_s
        if reply.configuration:
            self.configuration.offer(reply.configuration, confirmed_s, address)
        else:
            self.configuration.confirm(reply.version, confirmed_s)
        self.cell.set_store_age(reply.store_age_s)
        if reply.store_age_s > STORE_SILENT_S:
            self.look_for_holder()

    def look_for_holder(self, gone: str = "") -> None:
        """Read who holds the shard, and claim it if nobody does.

        ``gone`` is the address of a holder whose run has certainly ended; so has one
        at this member's own address.
        """
        try:
            seen = self.holding.read(STORE_TIMEOUT_S)
            self.note_store_regained()
            record = seen.record
            if record.incarnation == self.holding.incarnation and record.holder:
                # A claim of this run whose answer was lost.
                if self.may_claim and time.monotonic() >= self.no_claim_before_s:
                    self.claim(seen, was_silent=False)
                return
            if record.holder and record.address not in (gone, self.cell.address):
                is_known = record.token <= self.cell.holder_token
                if not is_known or record.address != self.cell.holder_address:
                    self.cell.set_holder(record.token, record.address)
                    self.answered_s = time.monotonic()
                    return
                if self.holding.is_alive(STORE_TIMEOUT_S):
                    return
            is_gone = record.address in (gone, self.cell.address)
            was_silent = bool(record.holder) and not is_gone
            self.claim(seen, was_silent)
        except StoreError as error:
            self.note_store_lost(error)

    def claim(self, seen: ShardView, was_silent: bool) -> None:
        """Claim the shard, after those that go first have had their chance."""
        if not self.may_claim or time.monotonic() < self.no_claim_before_s:
            return
        if self.configuration.intent is None:
            return
        delay_s = self.claim_delay_s()
        if delay_s > 0:
            self.stopping.wait(delay_s)
            fresh = self.holding.read(STORE_TIMEOUT_S)
            if fresh.revision != seen.revision:
                self.cell.set_holder(fresh.record.token, fresh.record.address)
                self.answered_s = time.monotonic()
                return
        with self.claiming:
            if self.cell.scheduler is None:
                self.claim_now(seen, was_silent)

    def take_over(self, seen: ShardView) -> bool:
        """Claim the shard from a holder that asks for it; tell whether that succeeded.

        The holder gives orders until it hears of the claim.
        """
        may_claim = self.may_claim and time.monotonic() >= self.no_claim_before_s
        if not may_claim or self.configuration.intent is None:
            return False
        try:
            with self.claiming:
                return self.cell.scheduler is None and self.claim_now(seen, True)
        except StoreError as error:
            log.warning("shard not taken over", reason=str(error))
            return False

    def claim_now(self, seen: ShardView, was_silent: bool) -> bool:
        """Claim the shard as it was seen; tell whether that succeeded."""
        sent_s = boot_time_s()
        members = (*self.cell.others(), self.cell.address)
        ttl_s = max(LEASE_TTL_S, self.timing.min_lease_s)
        try:
            won = self.holding.claim(seen, members, ttl_s, STORE_TIMEOUT_S)
        except StoreOutcomeUnknownError as error:
            log.warning("claim unanswered", reason=str(error))
            return False
        log.info(
            "claim",
            won=won,
            token=seen.record.token + 1,
            former=seen.record.holder,
            was_silent=was_silent,
            former_revision=seen.revision,
        )
        if won:
            self.begin_leading(was_silent, sent_s, seen.record.address)
        return won

    def claim_delay_s(self) -> float:
        """Return how long to let others go first: larger hosts, then by the roster."""
        roster = self.cell.roster
        is_small = self.processors < SMALL_HOST_PROCESSORS
        delay_s = SMALL_HOST_DELAY_S if is_small else 0.0
        if self.cell.address in roster:
            rank = min(MAX_RANK, roster.index(self.cell.address))
            return delay_s + rank * RANK_DELAY_S
        return delay_s + self.random.random() * RANK_DELAY_S * 2

    # Leading.

    def begin_leading(self, was_silent: bool, sent_s: float, former: str) -> None:
        """Start the scheduler, and tell the others."""
        held = self.holding.held
        intent = self.configuration.intent
        if held is None or intent is None:
            return
        authority = Authority()
        authority.confirm(sent_s)
        scheduler = self.build_scheduler(authority, was_silent)
        scheduler.set_intent(intent)
        token = int(held.record.token)
        self.cell.set_holder(token, self.cell.address)
        self.cell.scheduler = scheduler
        self.metrics.takeovers.inc()
        self.runner.submit(self.run_scheduler, scheduler)
        self.runner.submit(self.cell.announce, token, former)

    def run_scheduler(self, scheduler: SchedulerTask) -> None:
        """Run the scheduler's task; a crash gives the shard up."""
        try:
            scheduler.run()
        except Exception:
            log.exception("scheduler crashed", token=scheduler.token)
            scheduler.lose()

    def lead(self, scheduler: SchedulerTask) -> None:
        """Renew the lease, and step down if the shard is lost."""
        if scheduler.lost.is_set():
            self.step_down(scheduler)
            return
        scheduler.lanes.set_peers(self.cell.members())
        sent_s = boot_time_s()
        ttl_s = max(LEASE_TTL_S, self.timing.min_lease_s)
        try:
            self.holding.keep(ttl_s, STORE_TIMEOUT_S)
        except HoldingLostError as error:
            log.warning("holding lost", token=scheduler.token, reason=str(error))
            self.step_down(scheduler)
        except StoreError as error:
            self.note_store_lost(error)
        else:
            self.note_store_regained()
            scheduler.authority.confirm(sent_s)

    def step_down(self, scheduler: SchedulerTask) -> None:
        """Follow again, and leave the shard to others for a while."""
        scheduler.stop()
        self.cell.scheduler = None
        self.holding.held = None
        self.no_claim_before_s = time.monotonic() + self.timing.turn_s
        if self.cell.holder_address == self.cell.address:
            self.cell.set_holder(self.cell.holder_token, "")
        log.warning("stepped down", token=scheduler.token)

    def hand_over(self) -> None:
        """Give the shard up before a planned stop.

        The scheduler goes on until a peer has claimed the shard. If no peer does, the
        record is released, and the next member that looks claims it.
        """
        self.may_claim = False
        scheduler = self.cell.scheduler
        if scheduler is None:
            return
        is_claimed = self.offer(scheduler)
        scheduler.stop()
        self.cell.scheduler = None
        if not is_claimed:
            self.cell.set_holder(self.cell.holder_token, "")
            try:
                self.holding.release(STORE_TIMEOUT_S)
            except StoreError as error:
                log.warning("shard not released", reason=str(error))
        log.info("shard handed over", token=scheduler.token, is_claimed=is_claimed)

    def offer(self, scheduler: SchedulerTask) -> bool:
        """Ask the peer that should claim first to do so; tell whether one has."""
        held = self.holding.held
        if held is None:
            return False
        for address in self.cell.members()[:MAX_OFFERS]:
            try:
                if self.peers.hand_over(address, held, OFFER_TIMEOUT_S):
                    scheduler.lost.wait(OFFER_TIMEOUT_S)
                    return True
            except PeerFailedError as error:
                log.info("shard not claimed", address=address, reason=str(error))
            if scheduler.lost.is_set():
                return True
        return False

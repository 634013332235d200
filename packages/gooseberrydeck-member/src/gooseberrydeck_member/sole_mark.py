"""The mark that no predecessor of a holder can act any more.

A claimant that has just started can't tell by itself for how long the token that it
replaces has been in use. It would wait for predecessors of its predecessor that were
replaced long ago.
"""

from collections.abc import Callable

import msgspec
import structlog

from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import Epoch, Revision
from gooseberrydeck_coordination.store import Put, Store, Transaction
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_member.authority import AUTHORITY_TIMEOUT_S
from gooseberrydeck_member.keys import SOLE_KEY
from gooseberrydeck_member.predecessors import Predecessors
from gooseberrydeck_member.shard_lock import ShardLock, ShardLostError
from gooseberrydeck_member.threads import SYSTEM_THREADS, Threads

__all__ = ["SoleMark", "SoleMarkWriter", "SoleMarkWritten", "is_marked_sole"]

log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 1.0
"""Timeout of one store call; a slow store responds in a few hundred milliseconds."""

RETRY_DELAY_S = 0.3
"""Delay after a failed write; the mark is of use only to the next claimant."""


class SoleMark(msgspec.Struct, frozen=True):
    """The token of a holder without predecessors that can act or extend leases.

    It stays true for good, so that it doesn't matter how late it is stored.
    """

    token: Epoch


class SoleMarkWritten(msgspec.Struct, frozen=True):
    """The result of writing the mark: the store's revision, or None if unknown.

    ``is_refused`` says that the shard was claimed again or released.
    """

    revision: Revision | None
    is_refused: bool = False


def is_marked_sole(store: Store, token: Epoch, timeout_s: float) -> bool:
    """Return True if the mark of exactly the holder with ``token`` is stored."""
    try:
        entry = store.read(SOLE_KEY, timeout_s)
        return entry is not None and decode_entry(entry, SoleMark).token == token
    except StoreError as error:
        # Without the mark, its predecessors are waited for.
        log.warning("mark of sole holder not read", token=token, reason=str(error))
        return False


class SoleMarkWriter:
    """Store the mark of a holder as soon as it holds, until that has succeeded.

    Except ``write``, which runs in an executor, all methods must be called from one
    thread. The mark waits until each predecessor has confirmed that it has stopped, or
    has lost its authority since the claim. That predecessors usually learn of a claim
    within ``SUPERSEDED_NOTICE_S`` is not enough.
    """

    def __init__(
        self,
        store: Store,
        shard_lock: ShardLock,
        predecessors: Predecessors,
        claimed_s: float,
        post: Callable[[object], None],
        threads: Threads = SYSTEM_THREADS,
    ) -> None:
        """Prepare the mark of the present holder, whose claim was stored by then.

        ``post`` receives the result of each attempt. Raises ``ShardLostError`` if the
        shard is not held.
        """
        if shard_lock.held is None:
            raise ShardLostError("this member does not hold the shard")
        self.store = store
        self.ownership = shard_lock.ownership_condition()
        self.token = shard_lock.held.record.token
        self.post = post
        self.executor = threads.executor(1, "sole")
        limit_s = AUTHORITY_TIMEOUT_S if predecessors.may_act() else 0.0
        self.due_s = claimed_s + limit_s
        self.is_writing = False
        self.is_settled = False

    def predecessor_stopped(self, now_s: float) -> None:
        """Have the mark stored now: every predecessor has confirmed to have stopped."""
        self.due_s = min(self.due_s, now_s)

    def send_due(self, now_s: float) -> None:
        """Write the mark if it holds and is not known to be stored."""
        if self.is_settled or self.is_writing or now_s < self.due_s:
            return
        self.is_writing = True
        self.executor.submit(self.write)

    def write(self) -> None:
        """Write the mark, unless the shard is lost, and post the result."""
        put = Put(SOLE_KEY, msgspec.json.encode(SoleMark(self.token)))
        try:
            result = self.store.commit(
                Transaction((self.ownership,), (put,)), STORE_TIMEOUT_S
            )
        except StoreError as error:
            log.warning("cannot store mark of sole holder", reason=str(error))
            self.post(SoleMarkWritten(None))
        else:
            revision = result.revision if result.succeeded else None
            self.post(SoleMarkWritten(revision, not result.succeeded))

    def written(self, message: SoleMarkWritten, now_s: float) -> None:
        """Apply the result of an attempt; the next one follows if it failed."""
        self.is_writing = False
        self.is_settled = message.is_refused or message.revision is not None
        self.due_s = now_s + RETRY_DELAY_S
        if message.revision is not None:
            log.info("sole holder", token=self.token, revision=message.revision)

    def close(self) -> None:
        """Drop a queued write; one in flight runs to its end."""
        self.executor.shutdown(wait=False, cancel_futures=True)

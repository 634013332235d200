"""Sessions of members: records in the store that are bound to a store lease."""

import msgspec

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.exceptions import (
    MemberNameTakenError,
    StoreLeaseLostError,
)
from gooseberrydeck_coordination.ids import StoreLeaseId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.members import MemberRecord, decode_member
from gooseberrydeck_coordination.store import (
    Compare,
    CompareTarget,
    Entry,
    Put,
    Store,
    Transaction,
    compare_absent,
    compare_unchanged,
)
from gooseberrydeck_coordination.timing import Timing

__all__ = ["Session"]


class Session:
    """Keep a member's record in the store alive.

    The session is live for one time to live after the *send* time of the last
    successful keep-alive, by the local monotonic clock and shortened by the clock
    drift. The store counts its lease from the receipt, so it expires no earlier.
    """

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        record: MemberRecord,
        clock: Clock,
        timing: Timing,
    ) -> None:
        """Initialize a closed session; the first ``renew_or_open`` opens it."""
        self.store = store
        self.key = keys.member(record.member)
        self.record = record
        self.clock = clock
        self.timing = timing
        self.lease: StoreLeaseId | None = None
        self.sent_s = float("-inf")

    @property
    def is_live(self) -> bool:
        """Whether the session's store lease certainly has not expired."""
        ttl_s = self.timing.shorten_for_drift(self.timing.session_ttl_s)
        return self.clock.monotonic() < self.sent_s + ttl_s

    def renew_or_open(self) -> None:
        """Renew the session's lease, or open a session if there is none.

        Raise ``MemberNameTakenError`` while another run of the member has a session,
        and ``StoreError`` if a call to the store fails. A session can't be opened while
        the member's record is unreadable: another run may have written it.
        """
        if self.lease is not None:
            try:
                self._keep_alive(self.lease)
                return
            except StoreLeaseLostError:
                self.lease = None
        self._open()

    def announce_leaving(self) -> None:
        """Mark the member as leaving in its record."""
        if self.lease is None or self.record.is_leaving:
            return
        record = msgspec.structs.replace(self.record, is_leaving=True)
        unchanged = Compare(
            self.key, CompareTarget.VALUE, msgspec.json.encode(self.record)
        )
        put = Put(self.key, msgspec.json.encode(record), self.lease)
        change = Transaction((unchanged,), (put,))
        if self.store.commit(change, self.timing.store_timeout_s).succeeded:
            self.record = record

    def rewrite(self, unreadable: Entry) -> None:
        """Replace an unreadable record, written over this member's, by its own."""
        if self.lease is None:
            return
        put = Put(self.key, msgspec.json.encode(self.record), self.lease)
        change = Transaction((compare_unchanged(unreadable),), (put,))
        self.store.commit(change, self.timing.store_timeout_s)

    def close(self) -> None:
        """End the session and delete the member's record."""
        if self.lease is not None:
            self.store.revoke_lease(self.lease, self.timing.store_timeout_s)
            self.lease = None
        self.sent_s = float("-inf")

    def _open(self) -> None:
        """Write the record under a new lease, or adopt the record of this run."""
        timeout_s = self.timing.store_timeout_s
        entry = self.store.read(self.key, timeout_s)
        if entry is not None:
            # An earlier attempt may have succeeded although its answer was lost.
            found = decode_member(entry)
            if found.seat != self.record.seat:
                raise MemberNameTakenError(self.record.member)
            self._keep_alive(entry.lease)
            self.lease = entry.lease
            self.record = found
            return
        sent_s = self.clock.monotonic()
        lease = self.store.grant_lease(self.timing.session_ttl_s, timeout_s)
        put = Put(self.key, msgspec.json.encode(self.record), lease)
        opening = Transaction((compare_absent(self.key),), (put,))
        if not self.store.commit(opening, timeout_s).succeeded:
            raise MemberNameTakenError(self.record.member)
        self.lease = lease
        self.sent_s = sent_s

    def _keep_alive(self, lease: StoreLeaseId) -> None:
        """Renew the lease; a call without an answer does not extend the session."""
        sent_s = self.clock.monotonic()
        ttl_s = self.store.keep_lease_alive(lease, self.timing.store_timeout_s)
        # If the store granted a shorter time to live than requested, move the send time
        # back so that the session expires no later than the lease.
        self.sent_s = sent_s - max(0, self.timing.session_ttl_s - ttl_s)

"""Claims idempotency keys before requests are sent, and replays stored answers."""

from collections.abc import Callable
from concurrent.futures import Future, TimeoutError
from functools import partial

import msgspec
import structlog

from gooseberrydeck_coordination.exceptions import RecordUnreadableError, StoreError
from gooseberrydeck_coordination.group_commit import WriteOutcome
from gooseberrydeck_coordination.ids import MemberId
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.store import Entry, Store
from gooseberrydeck_coordination.stored_records import decode_entry
from gooseberrydeck_daemon.dispatch.exceptions import DispatchError, Outcome
from gooseberrydeck_daemon.http.problems import ProblemError, ProblemType
from gooseberrydeck_daemon.idempotency.records import (
    KeyedRequest,
    RequestRecord,
    StoredAnswer,
)
from gooseberrydeck_daemon.idempotency.task import RecordsTask
from gooseberrydeck_daemon.metrics import Metrics
from gooseberrydeck_platform.endpoints import EndpointResponse

__all__ = ["IdempotencyGuard"]

log = structlog.get_logger(__name__)

STORE_TIMEOUT_S = 2.0
MAX_STORED_BODY_BYTES = 65_536


class IdempotencyGuard:
    """Run the request of a key at most once.

    Later uses get the stored answer, or an error with unknown outcome. If the request
    certainly did not run, its key is released and can be used again.
    """

    def __init__(
        self,
        member: MemberId,
        store: Store,
        keys: StoreKeys,
        records: RecordsTask,
        metrics: Metrics,
    ) -> None:
        """Claim keys through ``records``, and read existing claims from ``store``."""
        self.member = member
        self.store = store
        self.keys = keys
        self.records = records
        self.metrics = metrics

    def run(
        self,
        request: KeyedRequest,
        timeout_s: float,
        run: Callable[[], EndpointResponse],
    ) -> EndpointResponse:
        """Return the answer of ``run``, or the stored one if the key is used."""
        path = self.keys.request(request.service, request.key_hash())
        record = RequestRecord(request.request, self.member, request.fingerprint())
        claim = msgspec.json.encode(record)
        if not self.claim_key(path, claim, timeout_s):
            return self.replay_answer(path, record, claim, run)
        return self.run_claimed(path, record, claim, run)

    def claim_key(self, path: str, claim: bytes, timeout_s: float) -> bool:
        """Claim a key; return False if it is already claimed.

        Raise ``ProblemError`` if the outcome of the claim is not known in time.
        """
        future = self.records.write(path, None, claim)
        try:
            outcome = future.result(timeout_s)
        except TimeoutError:
            future.add_done_callback(partial(self.release_late_claim, path, claim))
            outcome = WriteOutcome.UNKNOWN
        if outcome in (WriteOutcome.WRITTEN, WriteOutcome.CONFLICT):
            return outcome is WriteOutcome.WRITTEN
        # Nothing was sent to an endpoint, so the request did not run even if the claim
        # is written later. A second use then gets an unknown outcome, but never runs.
        raise ProblemError(ProblemType.STORE_UNAVAILABLE, "the key was not claimed")

    def release_late_claim(
        self, path: str, claim: bytes, future: Future[WriteOutcome]
    ) -> None:
        """Release a claim that was written after its caller got an error."""
        if future.result() is WriteOutcome.WRITTEN:
            self.records.write(path, claim, None)

    def run_claimed(
        self,
        path: str,
        record: RequestRecord,
        claim: bytes,
        run: Callable[[], EndpointResponse],
    ) -> EndpointResponse:
        """Run the request and store its answer; release the key if it did not run."""
        try:
            answer = run()
        except DispatchError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.records.write(path, claim, None)
            raise
        if len(answer.body) <= MAX_STORED_BODY_BYTES:
            stored = StoredAnswer(answer.status, answer.content_type, answer.body)
            done = msgspec.structs.replace(record, answer=stored)
            self.records.write(path, claim, msgspec.json.encode(done))
        return answer

    def replay_answer(
        self,
        path: str,
        record: RequestRecord,
        claim: bytes,
        run: Callable[[], EndpointResponse],
    ) -> EndpointResponse:
        """Return the stored answer of the first use, or raise ``ProblemError``.

        If the claim turns out to be this request's own, run the request.
        """
        self.metrics.count("requests.repeated")
        entry = self.read_claim(path)
        if entry is not None and entry.value == claim:
            # This request's own claim: the store's response to the write was lost.
            return self.run_claimed(path, record, claim, run)
        first_use = None
        if entry is not None:
            first_use = self.read_first_use(entry)
        if first_use is not None and first_use.fingerprint != record.fingerprint:
            detail = "the key was used with another body or content type"
            raise ProblemError(ProblemType.REPEATED, detail)
        if first_use is None or first_use.answer is None:
            detail = "the first use has not been answered, or its answer is not kept"
            raise ProblemError(
                ProblemType.REPEATED, detail, Outcome.UNKNOWN, retry_after_s=1.0
            )
        stored = first_use.answer
        return EndpointResponse(stored.status, stored.content_type, stored.body)

    def read_first_use(self, entry: Entry) -> RequestRecord:
        """Return the record of a used key.

        Raise ``ProblemError`` if it is unreadable: the first use may have run.
        """
        try:
            return decode_entry(entry, RequestRecord)
        except RecordUnreadableError as error:
            self.metrics.count("requests.records.unreadable")
            log.error("request record unreadable", key=error.key, reason=error.reason)
            raise ProblemError(
                ProblemType.REPEATED,
                "the record of the first use can't be read",
                Outcome.UNKNOWN,
                retry_after_s=1.0,
            ) from error

    def read_claim(self, path: str) -> Entry | None:
        """Return the claim; raise ``ProblemError`` if the store is unavailable."""
        try:
            return self.store.read(path, STORE_TIMEOUT_S)
        except StoreError as error:
            raise ProblemError(
                ProblemType.REPEATED,
                "the first use could not be looked up",
                Outcome.UNKNOWN,
                retry_after_s=1.0,
            ) from error

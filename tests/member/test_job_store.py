"""Tests of what is known of a job after several attempts to store a change."""

import itertools
import random
import time
from collections import deque
from collections.abc import Callable

import msgspec
import pytest

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreRequestRefusedError,
)
from gooseberrydeck_coordination.ids import JobId, QueueName, TeamName
from gooseberrydeck_coordination.outcomes import Outcome
from gooseberrydeck_coordination.store import (
    Delete,
    Entry,
    Put,
    Transaction,
    TransactionResult,
)
from gooseberrydeck_fleet.work import (
    EndedJob,
    JobRecord,
    JobState,
    StepSpec,
    WorkSpec,
)
from gooseberrydeck_member import jobs as jobs_module
from gooseberrydeck_member.jobs import MAX_ATTEMPTS, JobStore
from gooseberrydeck_member.keys import ended_key, job_key
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

JOB = JobId("00000000000000aa")

REFUSED = "refused"
"""The store rejects the call as invalid, for example as not allowed (403)."""

Fault = CallFault | str

LOST = (CallFault.REQUEST_LOST, CallFault.ANSWER_LOST)
FAULTS: tuple[Fault, ...] = (CallFault.DOWN, REFUSED, *LOST)


class FaultyStore(EngineStore):
    """A store with a fault for each of the next calls; later ones succeed.

    ``lost`` counts the commits without a response.
    """

    def __init__(self, engine: StoreEngine, faults: tuple[Fault, ...] = ()) -> None:
        super().__init__(engine, waits=False)
        self.faults = deque(faults)
        self.lost = 0

    def read(self, key: str, timeout_s: float) -> Entry | None:
        self.apply_next()
        return super().read(key, timeout_s)

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        self.lost += self.apply_next() in LOST
        return super().commit(transaction, timeout_s)

    def apply_next(self) -> Fault:
        fault = self.faults.popleft() if self.faults else CallFault.NONE
        if isinstance(fault, str):
            raise StoreRequestRefusedError("status 403")
        self.next_faults.append(fault)
        return fault


def job_record() -> JobRecord:
    work = WorkSpec(steps=(StepSpec(),))
    return JobRecord(JOB, QueueName("slow"), TeamName("editors"), work, 0.0)


class JobStoreFixture:
    @pytest.fixture(autouse=True)
    def no_delay(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(jobs_module, "INITIAL_RETRY_DELAY_S", 0.0)

    def setup_method(self) -> None:
        self.engine = StoreEngine(ManualClock())

    def stored_record(self) -> JobRecord | None:
        entry = EngineStore(self.engine, waits=False).read(job_key(JOB), 1.0)
        return (
            None if entry is None else msgspec.json.decode(entry.value, type=JobRecord)
        )


class TestAccept(JobStoreFixture):
    # Guards against a refusal of a job that an earlier attempt has stored.
    def test_refusal_after_a_lost_response_leaves_the_outcome_unknown(self) -> None:
        faults = (CallFault.ANSWER_LOST, REFUSED, REFUSED)
        jobs = JobStore(FaultyStore(self.engine, faults))
        with pytest.raises(StoreOutcomeUnknownError):
            jobs.accept(job_record(), time.monotonic() + 5.0)
        assert self.stored_record() is not None

    def test_refusal_is_reported_only_if_no_attempt_may_have_stored_the_job(
        self,
    ) -> None:
        for faults in itertools.product(FAULTS, repeat=MAX_ATTEMPTS):
            self.setup_method()
            store = FaultyStore(self.engine, faults)
            with pytest.raises(StoreError) as caught:
                JobStore(store).accept(job_record(), time.monotonic() + 5.0)
            is_refusal = caught.value.outcome is Outcome.NOT_RUN
            assert is_refusal is (store.lost == 0), faults


class TestCancel(JobStoreFixture):
    def setup_method(self) -> None:
        super().setup_method()
        JobStore(FaultyStore(self.engine)).accept(job_record(), 0.0)

    # Guards against "not cancelled" for a job that an earlier attempt has cancelled.
    def test_refusal_after_a_lost_response_leaves_the_outcome_unknown(self) -> None:
        faults = (CallFault.NONE, CallFault.ANSWER_LOST, *[CallFault.DOWN] * 2)
        jobs = JobStore(FaultyStore(self.engine, faults))
        with pytest.raises(StoreOutcomeUnknownError):
            jobs.cancel(JOB, time.monotonic() + 5.0)
        record = self.stored_record()
        assert record is not None
        assert record.is_cancelled

    # Guards against an unknown outcome of a job that was only read.
    def test_lost_response_to_a_read_is_a_refusal(self) -> None:
        store = FaultyStore(self.engine, (CallFault.ANSWER_LOST,) * MAX_ATTEMPTS)
        with pytest.raises(StoreError) as caught:
            JobStore(store).cancel(JOB, time.monotonic() + 5.0)
        assert caught.value.outcome is Outcome.NOT_RUN

    def test_refusal_is_reported_only_if_no_attempt_may_have_cancelled_the_job(
        self,
    ) -> None:
        choices = (CallFault.NONE, *FAULTS)
        for faults in itertools.product(choices, repeat=4):
            self.setup_method()
            store = FaultyStore(self.engine, (*faults, CallFault.DOWN, CallFault.DOWN))
            try:
                JobStore(store).cancel(JOB, time.monotonic() + 5.0)
            except StoreError as error:
                is_refusal = error.outcome is Outcome.NOT_RUN
                assert is_refusal is (store.lost == 0), faults
            else:
                record = self.stored_record()
                assert record is not None
                assert record.is_cancelled, faults


class TestCancelBeforeTheSubmission(JobStoreFixture):
    def test_refusal_is_reported_only_if_no_attempt_may_have_prevented_the_job(
        self,
    ) -> None:
        choices = (CallFault.NONE, *FAULTS)
        for faults in itertools.product(choices, repeat=4):
            self.setup_method()
            store = FaultyStore(self.engine, (*faults, CallFault.DOWN, CallFault.DOWN))
            try:
                state = JobStore(store).cancel(JOB, time.monotonic() + 5.0)
            except StoreError as error:
                is_refusal = error.outcome is Outcome.NOT_RUN
                assert is_refusal is (store.lost == 0), faults
            else:
                assert state is None
                jobs = JobStore(FaultyStore(self.engine))
                assert jobs.accept(job_record(), 0.0) is None, faults
                assert self.stored_record() is None

    # Guards against a refusal of a job whose earlier attempt may be stored.
    def test_submission_that_cannot_be_recorded_leaves_the_outcome_unknown(
        self,
    ) -> None:
        JobStore(FaultyStore(self.engine)).cancel(JOB, 0.0)
        store = FaultyStore(self.engine, (CallFault.NONE, *[CallFault.DOWN] * 5))
        with pytest.raises(StoreOutcomeUnknownError):
            JobStore(store).accept(job_record(), time.monotonic() + 5.0)


class InterleavedStore(EngineStore):
    """Run other operations before calls, and lose or delay some of the writes.

    A delayed write takes effect when it is drawn from ``delayed``, if it still can.
    """

    def __init__(self, engine: StoreEngine, draw: random.Random) -> None:
        super().__init__(engine, waits=False)
        self.draw = draw
        self.pending: list[Callable[[], None]] = []
        self.delayed: list[Transaction] = []

    def read(self, key: str, timeout_s: float) -> Entry | None:
        self.interleave()
        return super().read(key, timeout_s)

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        self.interleave()
        fate = self.draw.random()
        if fate < 0.2:
            self.delayed.append(transaction)
            raise StoreOutcomeUnknownError("executed late")
        result = super().commit(transaction, timeout_s)
        if fate < 0.4:
            raise StoreOutcomeUnknownError("response lost")
        return result

    def interleave(self) -> None:
        while self.draw.random() < 0.4 and (self.pending or self.delayed):
            self.run_one()

    def run_one(self) -> None:
        choices = [*self.pending, *self.delayed]
        chosen = self.draw.choice(choices)
        if isinstance(chosen, Transaction):
            self.delayed.remove(chosen)
            super().commit(chosen, 1.0)
        else:
            self.pending.remove(chosen)
            chosen()


class TestDrawnOrders(JobStoreFixture):
    """Submissions, cancellings and a job's end in any order, with lost responses."""

    def play(self, seed: int, submissions: int, cancellings: int) -> None:
        draw = random.Random(seed)
        store = InterleavedStore(self.engine, draw)
        direct = EngineStore(self.engine, waits=False)
        jobs = JobStore(store)
        acknowledged: list[str] = []

        def submit() -> None:
            try:
                jobs.accept(job_record(), time.monotonic() + 5.0)
            except StoreError:
                return
            acknowledged.append("submitted")

        def cancel() -> None:
            try:
                jobs.cancel(JOB, time.monotonic() + 5.0)
            except StoreError:
                return
            acknowledged.append("cancelled")

        def end() -> None:
            entry = direct.read(job_key(JOB), 1.0)
            if entry is None:
                return
            record = msgspec.json.decode(entry.value, type=JobRecord)
            is_done = not record.is_cancelled
            state = JobState.COMPLETED if is_done else JobState.CANCELLED
            value = msgspec.json.encode(EndedJob(state, 0.0))
            operations = (Put(ended_key(JOB), value), Delete(job_key(JOB)))
            direct.commit(Transaction((), operations), 1.0)

        store.pending += [submit] * submissions + [cancel] * cancellings
        store.pending += [end] * draw.randint(0, 2)
        while store.pending or store.delayed:
            store.run_one()
        record = self.stored_record()
        state = JobStore(FaultyStore(self.engine)).state(JOB, time.monotonic() + 5.0)
        if "cancelled" in acknowledged:
            assert record is None or record.is_cancelled
        if "submitted" in acknowledged:
            assert state is not None
        if not submissions:
            assert state is None

    # Guards against a job that runs after its cancelling was acknowledged.
    @pytest.mark.parametrize("first_seed", range(0, 2000, 500))
    def test_no_job_is_open_whose_cancelling_was_acknowledged(
        self, first_seed: int
    ) -> None:
        for seed in range(first_seed, first_seed + 500):
            self.setup_method()
            self.play(seed, submissions=1 + seed % 3, cancellings=1 + seed % 2)

    def test_job_that_nobody_submitted_is_not_shown(self) -> None:
        for seed in range(100):
            self.setup_method()
            self.play(seed, submissions=0, cancellings=3)

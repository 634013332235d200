"""Tests of the state that a new holder reads from the store."""

import msgspec
import pytest

from fleet_support import SLOW, TEAM, registration, task_resources
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import StoreError
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_fleet.progress import Progress, StepProgress, encode_progress
from gooseberrydeck_fleet.work import JobRecord, StepSpec, WorkSpec
from gooseberrydeck_member.keys import WORKERS_KEY, job_key, progress_key
from gooseberrydeck_member.stored_state import StoredState, read_stored_state
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

WORK = WorkSpec(steps=(StepSpec(2, task_resources()),))


class TestStoredState:
    def setup_method(self) -> None:
        self.store = EngineStore(StoreEngine(ManualClock()), waits=False)

    def write(self, key: str, value: bytes) -> None:
        self.store.commit(Transaction((), (Put(key, value),)), 1.0)

    def write_job(self, name: str, accepted_s: float) -> None:
        record = JobRecord(JobId(name), SLOW, TEAM, WORK, accepted_s)
        self.write(job_key(record.id), msgspec.json.encode(record))

    def read(self) -> StoredState:
        return read_stored_state(self.store, "registered/", 1.0)

    def test_empty_store_has_no_jobs_or_workers(self) -> None:
        state = self.read()
        assert not state.jobs
        assert not state.workers
        assert state.workers_revision == 0

    def test_jobs_are_sorted_by_acceptance_time(self) -> None:
        self.write_job("a", 30.0)
        self.write_job("b", 10.0)
        self.write_job("c", 20.0)
        state = self.read()
        assert [record.id for record, _ in state.jobs] == ["b", "c", "a"]
        entry = self.store.read(job_key(JobId("b")), 1.0)
        assert entry is not None
        assert state.jobs[0][1] == entry.mod_revision

    def test_progress_and_workers_are_read(self) -> None:
        job = JobId("a")
        progress = Progress([StepProgress(0, 0, 1, {}, {})])
        self.write(progress_key(job), encode_progress(progress))
        recorded = registration("w1", may_hold_longest_lease=True)
        self.write(WORKERS_KEY, msgspec.json.encode([recorded]))
        self.write("registered/w2", b"entry")
        state = self.read()
        assert state.progress[job][0] == progress
        assert state.workers == {"w1": recorded}
        assert [entry.key for entry in state.registered.entries] == ["registered/w2"]

    @pytest.mark.parametrize("failing", range(4))
    def test_any_failed_read_raises(self, failing: int) -> None:
        self.store.next_faults.extend([CallFault.NONE] * failing + [CallFault.DOWN])
        with pytest.raises(StoreError):
            self.read()

    # Guards against a holder that starts tasks before it knows the evacuations.
    @pytest.mark.parametrize("failing", range(5))
    def test_any_failed_read_raises_with_evacuations(self, failing: int) -> None:
        self.store.next_faults.extend([CallFault.NONE] * failing + [CallFault.DOWN])
        with pytest.raises(StoreError):
            read_stored_state(self.store, "registered/", 1.0, evacuations="op/")

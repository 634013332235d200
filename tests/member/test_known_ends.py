"""Tests of the record of ends that are stored or acknowledged."""

import pytest

from gooseberrydeck_coordination.ids import Epoch, JobId, TeamName
from gooseberrydeck_fleet.commands import Changes, JobEnding, ProgressWrite
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.progress import Progress, StepProgress, encode_progress
from gooseberrydeck_fleet.work import EndedJob, JobState, StepSpec
from gooseberrydeck_fleet.worker_calls import EndKind, EndReport
from gooseberrydeck_member import known_ends
from gooseberrydeck_member.known_ends import EndEvidence, EvidenceKind, KnownEnds

JOB = JobId("a")
FIRST, SECOND = TaskRef(JOB, 0, 0, 0), TaskRef(JOB, 0, 0, 1)
WORKER = WorkerId("w0")
BORN_MS = 1_000
TOKEN = Epoch(2_000)
STEP = StepSpec(2)


class TestKnownEnds:
    def setup_method(self) -> None:
        self.known = KnownEnds()

    def list_end(self, task: TaskRef = FIRST, number: int = 1) -> None:
        """Have the worker list a successful end at 1 s."""
        end = EndReport(number, task, 7, EndKind.SUCCEEDED, "")
        self.known.end_listed(WORKER, BORN_MS, end, 1.0)

    def store(self, done: int = 0b01) -> None:
        """Store the job's progress at 2 s."""
        value = encode_progress(Progress([StepProgress(0, 0, done)]))
        write = ProgressWrite(JOB, value, 0)
        self.known.changes_stored(Changes((write,), (), {}), 2.0)

    def acknowledge(self, number: int = 1, born_ms: int = BORN_MS) -> int:
        """Acknowledge ends at 3 s and return how many are new."""
        return len(self.known.acknowledged(WORKER, born_ms, number, TOKEN, 3.0))

    def find(self, task: TaskRef = FIRST, step: StepSpec = STEP) -> EndEvidence | None:
        return self.known.find_evidence(task, step)

    def test_end_that_is_only_listed_is_no_evidence(self) -> None:
        self.list_end()
        assert self.find() is None

    def test_stored_end_is_evidence_with_its_times(self) -> None:
        self.list_end()
        self.store()
        self.acknowledge()
        found = self.find()
        assert found is not None
        assert found.kind is EvidenceKind.END_STORED
        assert found.end is not None
        assert found.end.listed_s == 1.0
        assert found.end.stored_s == found.stored_s == 2.0
        assert found.end.acknowledged_s == 3.0
        assert found.end.acknowledged_token == TOKEN
        assert self.find(SECOND) is None

    def test_acknowledged_end_is_evidence_before_it_is_stored(self) -> None:
        self.list_end()
        assert self.acknowledge() == 1
        found = self.find()
        assert found is not None
        assert found.kind is EvidenceKind.END_ACKNOWLEDGED

    def test_only_ends_up_to_the_number_are_acknowledged_and_once(self) -> None:
        self.list_end()
        self.list_end(SECOND, 2)
        assert self.acknowledge(1) == 1
        assert self.acknowledge(1) == 0
        assert self.find(SECOND) is None

    def test_number_for_another_process_acknowledges_nothing(self) -> None:
        self.list_end()
        assert self.acknowledge(born_ms=BORN_MS + 1) == 0
        assert self.find() is None

    def test_end_of_one_member_stands_for_its_gang(self) -> None:
        gang = StepSpec(2, is_gang=True)
        self.list_end()
        assert self.find(SECOND, gang) is None
        self.acknowledge()
        assert self.find(SECOND, gang) is not None
        assert self.find(SECOND) is None

    def test_ends_of_long_running_tasks_are_no_evidence(self) -> None:
        self.list_end()
        self.acknowledge()
        assert self.find(step=StepSpec(2, is_standing=True)) is None

    def test_progress_that_was_read_is_evidence(self) -> None:
        progress = Progress([StepProgress(0, 0, 0b01)])
        self.known.progress_stored(JOB, progress, 1.0, is_inherited=True)
        found = self.find()
        assert found is not None
        assert found.is_inherited
        assert self.find(SECOND) is None

    @pytest.mark.parametrize("step", [STEP, StepSpec(2, is_standing=True)])
    def test_end_of_the_job_is_evidence(self, step: StepSpec) -> None:
        self.list_end()
        ended = EndedJob(JobState.COMPLETED, 0.0, TeamName("team"), "")
        ending = JobEnding(JOB, ended, 0)
        self.known.changes_stored(Changes((), (ending,), {}), 2.0)
        found = self.find(step=step)
        assert found is not None
        assert found.kind is EvidenceKind.JOB_ENDED
        assert found.job_state is JobState.COMPLETED
        assert not self.known.listed
        self.store()
        assert not self.known.stored

    def test_the_oldest_ended_jobs_are_forgotten(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(known_ends, "MAX_ENDED_JOBS", 2)
        for number in range(4):
            self.known.job_ended(JobId(f"j{number}"), JobState.FAILED, 0.0)
        assert list(self.known.ended_jobs) == ["j2", "j3"]

    def test_nothing_is_kept_of_a_job_that_is_not_stored(self) -> None:
        self.list_end()
        self.known.job_absent(JOB)
        assert self.acknowledge() == 0
        assert not self.known.listed

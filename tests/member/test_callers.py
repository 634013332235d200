"""Tests of the caller interface under faults of the store and of peers."""

from collections.abc import Iterable
from io import BytesIO
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeck_adapter import CallerCodec, decode_intent
from gooseberrydeck_adapter.callers import DEFAULT_DEADLINE_S, MAX_DEADLINE_S
from gooseberrydeck_adapter_standins.local_platform import (
    default_configuration,
    job_body,
)
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import Epoch, JobId, QueueName, Revision
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_fleet.work import EndedJob, JobRecord, JobState
from gooseberrydeck_member import jobs as jobs_module
from gooseberrydeck_member.callers import (
    MAX_JOB_ID_BYTES,
    NOT_RELAYED,
    OUTCOME_UNKNOWN,
    CallerApplication,
    CallerRequest,
    CallerResponse,
)
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.jobs import JobStore
from gooseberrydeck_member.keys import ended_key, job_key
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_service.bounded_parser import HeaderFields
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine
from odd_values import ODD_NUMBERS, deep, json_bytes, with_raw

JOB = JobId("00000000000000aa")
TOKEN = Epoch(7)
PATH = f"/slow/{JOB}"
STEP: dict[str, object] = {"Count": 1, "Cpu": 1}


class FakeDirectory:
    """A holder and a peer whose responses are set by the test."""

    def __init__(self) -> None:
        self.states: dict[JobId, JobState] = {}
        self.counts: dict[QueueName, int] | None = {}
        self.peer: CallerResponse | None = None
        self.is_store_down = False
        self.relayed: list[CallerRequest] = []
        self.notified: list[tuple[JobId, Revision]] = []

    def state(self, job: JobId, timeout_s: float) -> JobState | None:
        return self.states.get(job)

    def waiting(self, timeout_s: float) -> dict[QueueName, int] | None:
        return self.counts

    def newest_token(self) -> Epoch:
        return TOKEN

    def notify_job_accepted(self, record: JobRecord, revision: Revision) -> None:
        self.notified.append((record.id, revision))

    def is_store_unavailable(self) -> bool:
        return self.is_store_down

    def relay(self, call: CallerRequest, timeout_s: float) -> CallerResponse:
        self.relayed.append(call)
        return self.peer or OUTCOME_UNKNOWN


class CallerApplicationFixture:
    def setup_method(self) -> None:
        self.engine = StoreEngine(ManualClock())
        self.store = EngineStore(self.engine, waits=False)
        self.configuration = ConfigurationCache(decode_intent)
        self.directory = FakeDirectory()
        self.application = CallerApplication(
            self.configuration,
            JobStore(self.store),
            self.directory,
            CallerCodec(),
            Metrics(),
        )
        self.publish(default_configuration())
        self.headers: list[tuple[str, str]] = []

    def publish(self, configuration: dict[str, Any]) -> None:
        value = msgspec.json.encode(configuration)
        self.configuration.offer(value, 1.0, "test")

    def call(
        self,
        method: str,
        path: str = PATH,
        body: bytes = b"",
        key: str = "key-1",
        deadline_ms: int = 400,
    ) -> tuple[int, bytes]:
        status: list[str] = []

        def start_response(line: str, headers: list[tuple[str, str]]) -> None:
            status.append(line)
            self.headers = headers

        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": "desk.example",
            "HTTP_AUTHORIZATION": f"Bearer {key}",
            "HTTP_X_DEADLINE_MS": str(deadline_ms),
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": BytesIO(body),
        }
        chunks: Iterable[bytes] = self.application(environ, start_response)
        return int(status[0][:3]), b"".join(chunks)

    def submit(self) -> int:
        return self.call("POST", body=job_body())[0]


class TestAuthentication(CallerApplicationFixture):
    def test_missing_configuration_is_service_unavailable(self) -> None:
        self.application.configuration = ConfigurationCache(decode_intent)
        assert self.submit() == 503

    def test_unknown_queue_is_not_found(self) -> None:
        assert self.call("GET", "/nowhere/")[0] == 404

    def test_unknown_key_is_unauthorized(self) -> None:
        assert self.call("POST", body=job_body(), key="other")[0] == 401

    def test_open_queue_needs_no_key(self) -> None:
        configuration = default_configuration(2)
        configuration["Routes"][1]["Public"] = True
        self.publish(configuration)
        assert self.call("POST", body=job_body(), key="other")[0] == 200

    def test_withdrawn_key_is_unauthorized(self) -> None:
        configuration = default_configuration(2)
        configuration["Tenants"][0]["ApiKeys"] = []
        self.publish(configuration)
        assert self.submit() == 401

    def test_older_configuration_is_ignored(self) -> None:
        self.publish(default_configuration(5))
        self.publish({**default_configuration(4), "Tenants": []})
        assert self.configuration.version == 5
        assert self.submit() == 200


class TestHeaderCheck(CallerApplicationFixture):
    # Guards against a header check that differs from that of the whole request.
    @pytest.mark.parametrize(
        ("method", "path", "key"),
        [
            ("POST", PATH, "other"),
            ("POST", "/nowhere/1", "key-1"),
            ("POST", "/slow/", "key-1"),
            ("DELETE", "/slow/1/2", "key-1"),
            ("PUT", PATH, "key-1"),
        ],
    )
    def test_refusals_agree(self, method: str, path: str, key: str) -> None:
        fields = HeaderFields(method, "desk.example", path, f"Bearer {key}")
        assert (
            self.application.check_header(fields) == self.call(method, path, key=key)[0]
        )

    def test_other_requests_are_received(self) -> None:
        for method in ("POST", "DELETE"):
            fields = HeaderFields(method, "desk.example", PATH, "Bearer key-1")
            assert self.application.check_header(fields) is None


class TestSubmission(CallerApplicationFixture):
    def test_accepted_job_is_stored(self) -> None:
        assert self.submit() == 200
        entry = self.store.read(job_key(JOB), 1.0)
        assert entry is not None
        record = msgspec.json.decode(entry.value, type=JobRecord)
        assert (record.queue, record.team) == ("slow", "editors")
        assert record.holder_token == TOKEN
        assert self.directory.notified == [(JOB, entry.mod_revision)]

    # Guards against accepted jobs that no later holder can run.
    def test_record_keeps_the_settings_of_its_queue(self) -> None:
        self.submit()
        entry = self.store.read(job_key(JOB), 1.0)
        assert entry is not None
        settings = msgspec.json.decode(entry.value, type=JobRecord).queue_settings
        configuration = self.configuration.current
        assert configuration is not None
        (slow,) = (each for each in configuration.queues if each.name == "slow")
        assert settings == slow.settings(configuration.version)

    # During a rolling replacement, members of both versions read each other's records.
    def test_record_of_an_earlier_version_states_no_holder(self) -> None:
        self.submit()
        entry = self.store.read(job_key(JOB), 1.0)
        assert entry is not None
        stored = msgspec.json.decode(entry.value)
        assert stored.pop("holder_token") == TOKEN
        earlier = msgspec.json.decode(msgspec.json.encode(stored), type=JobRecord)
        assert earlier.holder_token == 0
        assert earlier == msgspec.structs.replace(
            msgspec.json.decode(entry.value, type=JobRecord), holder_token=Epoch(0)
        )

    def test_repeated_submission_keeps_the_first_record(self) -> None:
        self.submit()
        first = self.store.read(job_key(JOB), 1.0)
        assert self.submit() == 200
        assert self.store.read(job_key(JOB), 1.0) == first

    @pytest.mark.parametrize("body", [b"", b"{", b"{}", b'{"Steps":[]}'])
    def test_invalid_body_is_a_bad_request(self, body: bytes) -> None:
        assert self.call("POST", body=body)[0] == 400

    def test_call_is_relayed_when_the_store_refuses(self) -> None:
        self.store.fault = CallFault.DOWN
        self.directory.peer = CallerResponse(200)
        assert self.submit() == 200
        assert len(self.directory.relayed) == 1

    def test_refusal_by_store_and_peer_has_retry_after(self) -> None:
        self.store.fault = CallFault.DOWN
        self.directory.peer = CallerResponse(503, retry_after_s=1)
        assert self.submit() == 503
        assert "Retry-After" in dict(self.headers)

    def test_lost_store_response_is_resolved_by_a_retry(self) -> None:
        self.store.next_faults.append(CallFault.ANSWER_LOST)
        assert self.submit() == 200
        assert self.store.read(job_key(JOB), 1.0) is not None

    def test_unknown_outcome_is_never_reported_as_a_refusal(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(jobs_module, "INITIAL_RETRY_DELAY_S", 0.0)
        self.store.next_faults.append(CallFault.ANSWER_LOST)
        self.store.fault = CallFault.DOWN
        for peer in (None, CallerResponse(503, retry_after_s=1)):
            self.directory.peer = peer
            self.store.next_faults.append(CallFault.ANSWER_LOST)
            assert self.submit() == 504

    def test_connection_resets_are_not_retried_in_a_loop(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Without a limit on attempts, a store that reset connections was called 10,900
        # times in a day (lauree-nord, inc-a0b3).
        monkeypatch.setattr(jobs_module, "INITIAL_RETRY_DELAY_S", 0.0)
        self.store.next_faults.extend([CallFault.REQUEST_LOST] * 1_000)
        self.directory.peer = CallerResponse(200)
        assert self.call("POST", body=job_body(), deadline_ms=3_000)[0] == 200
        assert 1_000 - len(self.store.next_faults) <= jobs_module.MAX_ATTEMPTS
        assert len(self.directory.relayed) == 1

    def test_calls_are_not_relayed_while_no_member_reaches_the_store(self) -> None:
        # Peers that waited for the store themselves were too busy to respond, and 155
        # callers received 504 (bench, lauree-nord-grown trouble-1).
        self.store.fault = CallFault.DOWN
        self.directory.is_store_down = True
        assert self.submit() == 503
        assert "Retry-After" in dict(self.headers)
        assert self.directory.relayed == []

    # Guards against 504 for a job that the store has refused and no peer was sent:
    # callers can't submit it again then (23 callers in a play of deap-thess-grown).
    def test_refusal_by_the_store_at_the_deadline_is_a_refusal(self) -> None:
        self.store.fault = CallFault.DOWN
        assert self.call("POST", body=job_body(), deadline_ms=1)[0] == 503
        assert self.directory.relayed == []

    def test_missing_peer_response_leaves_the_outcome_unknown(self) -> None:
        self.store.fault = CallFault.DOWN
        self.directory.peer = None
        assert self.submit() == 504


class TestQueries(CallerApplicationFixture):
    def test_state_comes_from_the_holder(self) -> None:
        self.directory.states[JOB] = JobState.RUNNING
        assert self.call("GET") == (200, b'{"State":"running"}')

    def test_state_comes_from_the_store_if_the_holder_does_not_know_it(self) -> None:
        assert self.call("GET")[0] == 410
        self.submit()
        assert self.call("GET") == (200, b'{"State":"queued"}')

    def test_unreachable_store_is_not_reported_as_a_missing_job(self) -> None:
        self.store.fault = CallFault.DOWN
        assert self.call("GET")[0] == 503

    def test_failed_job_is_shown_with_the_reason(self) -> None:
        ended = EndedJob(JobState.FAILED, 1.0, failure="task a.0.0.1 crashed 3 workers")
        write = Put(ended_key(JOB), msgspec.json.encode(ended))
        self.store.commit(Transaction((), (write,)), 1.0)
        assert self.call("GET") == (200, b'{"State":"failed"}')
        assert ("X-Failure-Reason", ended.failure) in self.headers

    def test_waiting_counts_by_queue(self) -> None:
        self.directory.counts = {QueueName("slow"): 12}
        assert self.call("GET", "/slow/") == (200, b'{"Waiting":12}')
        assert self.call("GET", "/urgent/") == (200, b'{"Waiting":0}')
        self.directory.counts = None
        assert self.call("GET", "/slow/")[0] == 503


class TestCancellation(CallerApplicationFixture):
    @pytest.fixture(autouse=True)
    def no_delay(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(jobs_module, "INITIAL_RETRY_DELAY_S", 0.0)

    def test_cancelled_job_stays_cancelled(self) -> None:
        self.submit()
        assert self.call("DELETE")[0] == 200
        assert self.call("DELETE")[0] == 200
        assert self.call("GET") == (200, b'{"State":"cancelled"}')
        assert self.submit() == 200
        assert self.call("GET") == (200, b'{"State":"cancelled"}')

    def test_unknown_job_is_gone(self) -> None:
        assert self.call("DELETE")[0] == 410
        assert self.call("DELETE")[0] == 410
        assert self.call("GET")[0] == 410

    # Guards against a job that runs although its cancelling was acknowledged while its
    # submission was on its way to the store.
    def test_submission_after_the_cancelling_is_not_run(self) -> None:
        assert self.call("DELETE")[0] == 410
        assert self.submit() == 200
        assert self.store.read(job_key(JOB), 1.0) is None
        assert self.directory.notified == []
        assert self.call("GET") == (200, b'{"State":"cancelled"}')
        assert self.call("DELETE")[0] == 200

    def test_repeated_cancelling_of_an_unknown_job_writes_once(self) -> None:
        self.call("DELETE")
        revision = self.engine.revision
        self.call("DELETE")
        assert self.engine.revision == revision

    @pytest.mark.parametrize("fault", [CallFault.REQUEST_LOST, CallFault.ANSWER_LOST])
    def test_cancelling_of_an_unknown_job_that_may_not_be_stored_is_not_confirmed(
        self, fault: CallFault
    ) -> None:
        self.store.next_faults.extend([CallFault.NONE, CallFault.NONE, fault])
        self.store.fault = CallFault.DOWN
        assert self.call("DELETE")[0] == 504

    def test_cancelling_of_an_unknown_job_that_is_not_stored_is_refused(self) -> None:
        self.store.next_faults.extend([CallFault.NONE, CallFault.NONE])
        self.store.fault = CallFault.DOWN
        self.directory.peer = NOT_RELAYED
        assert self.call("DELETE")[0] == 503
        assert "Retry-After" in dict(self.headers)

    # The store refuses such keys, and would be asked again and again.
    def test_id_that_is_too_long_is_answered_at_once(self) -> None:
        self.store.fault = CallFault.DOWN
        path = f"/slow/{'a' * (MAX_JOB_ID_BYTES + 1)}"
        assert self.call("POST", path, job_body())[0] == 400
        assert self.call("DELETE", path)[0] == 410
        assert self.directory.relayed == []

    def test_cancellation_that_cannot_be_stored_is_not_confirmed(self) -> None:
        self.submit()
        self.store.fault = CallFault.DOWN
        self.directory.peer = NOT_RELAYED
        assert self.call("DELETE")[0] == 503
        assert "Retry-After" in dict(self.headers)

    # Guards against "not cancelled" for a job that is cancelled all the same: a client
    # repeats the request after 504, but not after 503.
    @pytest.mark.parametrize("peer", [None, CallerResponse(504)])
    def test_cancellation_that_a_peer_may_have_stored_is_not_refused(
        self, peer: CallerResponse | None
    ) -> None:
        self.submit()
        self.store.fault = CallFault.DOWN
        self.directory.peer = peer
        assert self.call("DELETE")[0] == 504

    def test_cancellation_that_may_be_stored_here_is_not_refused(self) -> None:
        self.submit()
        self.directory.peer = NOT_RELAYED
        faults = (CallFault.NONE, CallFault.ANSWER_LOST)
        self.store.next_faults.extend(faults)
        self.store.fault = CallFault.DOWN
        assert self.call("DELETE")[0] == 504

    def test_cancellation_by_a_peer_is_confirmed(self) -> None:
        self.submit()
        self.store.fault = CallFault.DOWN
        for status in (200, 410):
            self.directory.peer = CallerResponse(status)
            assert self.call("DELETE")[0] == status


class TestOddRequests(CallerApplicationFixture):
    # Guards against requests that end without a status.
    @given(
        st.sampled_from(["GET", "POST", "DELETE", "PUT", "\u00e4"]),
        st.sampled_from(["/slow/", "/slow", ""]),
        st.text(st.characters(max_codepoint=255), max_size=40),
        st.sampled_from(["desk.example", "desk.example:x", ""]),
        st.text(st.characters(max_codepoint=255), max_size=10),
        st.binary(max_size=40) | json_bytes({"Steps": [STEP], "MaxRuns": 2}),
        st.text(st.characters(max_codepoint=255), max_size=10),
    )
    def test_any_request_gets_a_status(
        self,
        method: str,
        prefix: str,
        job: str,
        host: str,
        key: str,
        body: bytes,
        deadline: str,
    ) -> None:
        lines: list[str] = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": prefix + job,
            "HTTP_HOST": host,
            "HTTP_AUTHORIZATION": f"Bearer {key or 'key-1'}",
            "HTTP_X_DEADLINE_MS": deadline,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": BytesIO(body),
        }
        self.application(environ, lambda line, _headers: lines.append(line))
        assert 200 <= int(lines[0][:3]) < 500


class TestOddBodies(CallerApplicationFixture):
    def submit_step(self, field: str, raw: bytes) -> int:
        body = with_raw({"Steps": [{**STEP, field: "RAW"}]}, raw)
        return self.call("POST", body=body)[0]

    def submit_job(self, field: str, raw: bytes) -> int:
        body = with_raw({"Steps": [STEP], field: "RAW"}, raw)
        return self.call("POST", body=body)[0]

    # Guards against handlers that end by RecursionError: the caller got a 500.
    @pytest.mark.parametrize("levels", [2_000, 100_000])
    def test_deep_nesting_is_refused(self, levels: int) -> None:
        assert self.submit_job("Extra", deep(levels)) == 400
        assert self.submit_step("Extra", deep(levels)) == 400
        assert self.call("POST", body=deep(levels))[0] == 400

    # Guards against jobs that are accepted and break each holder.
    @pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda each: each[:12].decode())
    @pytest.mark.parametrize(
        "field",
        ["Count", "Cpu", "MemMb", "Gpu", "After", "MaxPerServer", "MayMiss"],
    )
    def test_number_of_a_step_out_of_range_is_refused(
        self, field: str, number: bytes
    ) -> None:
        raw = b"[" + number + b"]" if field == "After" else number
        assert self.submit_step(field, raw) == 400

    @pytest.mark.parametrize(
        "number", [b"1e400", b"NaN", b"-1", b"1e30", b"9" * 400, b"1e308"]
    )
    def test_duration_out_of_range_is_refused(self, number: bytes) -> None:
        assert self.submit_step("EstimateMs", number) == 400
        assert self.submit_step("TargetMs", number) == 400
        assert self.submit_job("IntervalMs", number) == 400

    @pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda each: each[:12].decode())
    def test_number_of_occurrences_out_of_range_is_refused(self, number: bytes) -> None:
        assert self.submit_job("MaxRuns", number) == 400

    # Guards against a holder that opens occurrences without end: all are due at once.
    def test_too_many_tasks_of_all_occurrences_are_refused(self) -> None:
        assert self.submit_job("MaxRuns", b"1000000000000") == 400
        assert self.submit_step("Count", b"1000000000000") == 400
        assert self.submit_job("MaxRuns", b"1000") == 200

    @pytest.mark.parametrize(
        "deadline", ["nan", "inf", "-inf", "1e400", "-5", "9" * 400, "", "x"]
    )
    def test_odd_deadline_counts_as_none(self, deadline: str) -> None:
        environ = {"HTTP_X_DEADLINE_MS": deadline}
        assert CallerCodec().time_left_s(environ) == DEFAULT_DEADLINE_S

    def test_distant_deadline_is_limited(self) -> None:
        environ = {"HTTP_X_DEADLINE_MS": "9e15"}
        assert CallerCodec().time_left_s(environ) == MAX_DEADLINE_S

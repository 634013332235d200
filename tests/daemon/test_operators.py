"""Tests of the operators' HTTP API, of publications and of the operators' keys."""

from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daemon_support import call, problem, wait_until
from gooseberrydeck_configuration import Configuration, Limit, generate_key
from gooseberrydeck_configuration.api import JobResponse, JobsResponse, WaitReason
from gooseberrydeck_coordination.ids import JobId, KeyId, TeamName
from gooseberrydeck_daemon.operators import JobFilter
from gooseberrydeck_standins.engine_store import CallFault
from operators_support import (
    EXAMPLE,
    OperatorTestCell,
    running_operator_cell,
    with_relaxed_objectives,
)

RADIO = TeamName("radio")
PREFIX = "urn:gooseberrydeck:problem:"


def problem_type(response: dict[str, Any]) -> str:
    return str(response["type"]).removeprefix(PREFIX)


def with_limit(limit: int) -> Configuration:
    """Return the example configuration with another limit for team radio."""
    limits = (Limit(RADIO, limit), *EXAMPLE.limits[1:])
    return msgspec.structs.replace(EXAMPLE, limits=limits)


@pytest.fixture
def cell() -> Iterator[OperatorTestCell]:
    with running_operator_cell("m1") as running:
        yield running


def reported_numbers(cell: OperatorTestCell) -> dict[str, int | None]:
    """Return the configuration number of each member, as reported by m1."""
    _, view = cell.send_request("m1", "GET", "/v1/members")
    return {item["member"]: item["configuration"] for item in view["members"]}


class TestPublishing:
    def test_publication_is_in_force_on_every_member(self) -> None:
        with running_operator_cell("m1", "m2", "m3") as cell:
            status, response = cell.publish("m2", EXAMPLE, 0, "a")
            assert status == 200, response
            assert response["header"]["number"] == 1
            assert response["header"]["author"] == "ops"
            assert response["confirmed"] == ["m1", "m2", "m3"]
            assert response["is_in_force"]
            assert response["is_guaranteed"]
            assert cell.configuration_numbers() == [1, 1, 1]
            # m1 reports members as unreached until it is connected to them.
            wait_until(lambda: reported_numbers(cell) == {"m1": 1, "m2": 1, "m3": 1})

    def test_member_without_store_gets_configuration_from_peers(self) -> None:
        with running_operator_cell("m1", "m2", "m3") as cell:
            cell.publish("m1", EXAMPLE, 0, "a")
            wait_until(
                lambda: call(cell["m3"], "claim-check", key="demo-radio")[0] == 200
            )
            cell.stores["m3"].fault = CallFault.DOWN
            path = "/v1/keys/radio-1?publication=w"
            status, response = cell.send_request("m1", "DELETE", path)
            assert status == 200, response
            assert response["published"]["is_in_force"]
            for member in cell.members.values():
                refusal = problem(call(member, "claim-check", key="demo-radio"))
                assert refusal == (401, "key-unknown", "not_run")

    def test_conflict_lists_the_differences(self, cell: OperatorTestCell) -> None:
        cell.publish("m1", EXAMPLE, 0, "a")
        assert cell.publish("m1", with_limit(100), 1, "b")[0] == 200
        status, response = cell.publish("m1", with_limit(200), 1, "c")
        assert (status, problem_type(response)) == (409, "publication-conflict")
        assert response["outcome"] == "not_run"
        assert response["newest"]["publication"] == "b"
        (difference,) = response["differences"]
        assert (difference["section"], difference["name"]) == ("limits", "radio")
        assert cell.publish("m1", with_limit(200), response["number"], "d")[0] == 200

    def test_repeated_publication_has_no_further_effect(
        self, cell: OperatorTestCell
    ) -> None:
        cell.stores["m1"].next_faults.clear()
        first = cell.publish("m1", EXAMPLE, 0, "a")
        assert cell.publish("m1", EXAMPLE, 0, "a")[1]["header"] == first[1]["header"]
        status, response = cell.publish("m1", with_limit(9), 0, "a")
        assert (status, problem_type(response)) == (409, "publication-id-reused")

    def test_every_error_is_listed(self, cell: OperatorTestCell) -> None:
        limits = tuple(
            msgspec.structs.replace(limit, max_running=-1) for limit in EXAMPLE.limits
        )
        broken = msgspec.structs.replace(EXAMPLE, limits=limits, shares=())
        status, response = cell.publish("m1", broken, 0, "a")
        assert (status, problem_type(response)) == (422, "configuration-invalid")
        ids = [item["id"] for item in response["problems"]]
        assert ids.count("limits.E003") == 6
        assert ids.count("teams.E004") == 6
        assert cell.send_request("m1", "GET", "/v1/configuration")[0] == 404

    def test_publication_during_a_store_outage_is_rejected_as_not_run(
        self, cell: OperatorTestCell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        module = "gooseberrydeck_daemon.operators.publishing"
        monkeypatch.setattr(f"{module}.PUBLISH_TIMEOUT_S", 0.2)
        cell.publish("m1", EXAMPLE, 0, "a")
        cell.stores["m1"].fault = CallFault.DOWN
        status, response = cell.publish("m1", with_limit(5), 1, "b")
        assert (status, problem_type(response)) == (503, "store-unavailable")
        assert response["outcome"] == "not_run"
        status, response = cell.send_request("m1", "GET", "/v1/configuration")
        assert (status, response["header"]["number"]) == (200, 1)

    def test_check_returns_problems_and_differences(
        self, cell: OperatorTestCell
    ) -> None:
        cell.publish("m1", EXAMPLE, 0, "a")
        path = "/v1/configuration/check"
        status, response = cell.send_request("m1", "POST", path, with_limit(99_999))
        assert status == 200
        assert response["number"] == 1
        assert [item["id"] for item in response["problems"]] == ["limits.E004"]
        assert [item["name"] for item in response["differences"]] == ["radio"]

    def test_history_and_differences(self, cell: OperatorTestCell) -> None:
        cell.publish("m1", EXAMPLE, 0, "a")
        cell.publish("m1", with_limit(7), 1, "b")
        _, history = cell.send_request("m1", "GET", "/v1/configuration/history")
        assert [item["number"] for item in history["versions"]] == [2, 1]
        _, old = cell.send_request("m1", "GET", "/v1/configuration/history/1")
        assert old["configuration"]["limits"][0]["max_running"] == 320
        path = "/v1/configuration/diff?before=1&after=2"
        _, response = cell.send_request("m1", "GET", path)
        (difference,) = response["differences"]
        (change,) = difference["changes"]
        assert change == {"field": "max_running", "before": 320, "after": 7}


class TestKeys:
    def test_key_is_granted_and_withdrawn(self, cell: OperatorTestCell) -> None:
        cell.publish("m1", EXAMPLE, 0, "a")
        generated = generate_key(RADIO, KeyId("radio-2"))
        status, response = cell.send_request(
            "m1", "POST", "/v1/keys?publication=g", generated.key
        )
        assert status == 200, response
        assert call(cell["m1"], "claim-check", key=generated.secret)[0] == 200
        repeated = cell.send_request(
            "m1", "POST", "/v1/keys?publication=g", generated.key
        )
        assert repeated[1]["published"]["header"]["number"] == 2
        for _ in range(2):
            status, response = cell.send_request(
                "m1", "DELETE", "/v1/keys/radio-2?publication=w"
            )
            assert (status, response["published"]["header"]["number"]) == (200, 3)
        refusal = problem(call(cell["m1"], "claim-check", key=generated.secret))
        assert refusal == (401, "key-unknown", "not_run")

    @pytest.mark.parametrize(
        ("method", "path", "body", "expected"),
        [
            ("DELETE", "/v1/keys/nobody?publication=w", None, (404, "key-not-found")),
            (
                "POST",
                "/v1/keys?publication=g",
                generate_key(RADIO, KeyId("radio-1")).key,
                (409, "key-exists"),
            ),
            (
                "POST",
                "/v1/keys?publication=g",
                generate_key(TeamName("nobody"), KeyId("n-1")).key,
                (422, "configuration-invalid"),
            ),
            ("POST", "/v1/keys?publication=g", b"{}", (400, "bad-body")),
            ("POST", "/v1/keys", b"{}", (400, "bad-parameter")),
        ],
    )
    def test_invalid_request_returns_its_problem(
        self,
        cell: OperatorTestCell,
        method: str,
        path: str,
        body: object,
        expected: tuple[int, str],
    ) -> None:
        cell.publish("m1", EXAMPLE, 0, "a")
        status, response = cell.send_request("m1", method, path, body)
        assert (status, problem_type(response)) == expected
        assert cell.configuration_numbers() == [1]


class FakeJobs:
    def list_jobs(self, job_filter: JobFilter) -> JobsResponse:
        return JobsResponse((JobResponse("j1", queue=job_filter.queue or "any"),))

    def explain_job(self, job: JobId) -> JobResponse | None:
        if job != "j1":
            return None
        return JobResponse(job, waits=(WaitReason("team limit", tasks=3),))

    def cancel_job(self, job: JobId) -> JobResponse | None:
        return JobResponse(job, state="cancelled")


class TestListener:
    @pytest.mark.parametrize(
        ("key", "expected"),
        [
            (None, "operator-key-missing"),
            ("x", "operator-key-unknown"),
            ("demo-radio", "operator-key-unknown"),
        ],
    )
    def test_operator_key_is_required(
        self, cell: OperatorTestCell, key: str | None, expected: str
    ) -> None:
        cell.publish("m1", EXAMPLE, 0, "a")
        status, response = cell.send_request("m1", "GET", "/v1/configuration", key=key)
        assert (status, problem_type(response)) == (401, expected)

    @pytest.mark.parametrize(
        ("method", "path", "expected"),
        [
            ("GET", "/v1/nothing", (404, "path-unknown")),
            ("PUT", "/v1/configuration", (405, "method-not-allowed")),
            ("POST", "/v1/configuration?publication=a", (400, "bad-parameter")),
            (
                "POST",
                "/v1/configuration?base=-1&publication=a",
                (400, "bad-parameter"),
            ),
            ("POST", "/v1/configuration?base=0&publication=", (400, "bad-parameter")),
            ("GET", "/v1/configuration/history/77", (404, "version-unknown")),
            ("GET", "/v1/configuration/history/x", (400, "bad-parameter")),
            ("GET", "/v1/shards", (501, "view-not-available")),
            ("POST", "/v1/members/m9/drain", (501, "view-not-available")),
        ],
    )
    def test_invalid_request_returns_its_problem(
        self, cell: OperatorTestCell, method: str, path: str, expected: tuple[int, str]
    ) -> None:
        body = {} if method in ("POST", "PUT") else None
        status, response = cell.send_request("m1", method, path, body)
        assert (status, problem_type(response)) == expected

    def test_views_that_are_set_are_served(self, cell: OperatorTestCell) -> None:
        component = cell["m1"].operators
        assert component is not None
        component.views.jobs = FakeJobs()
        _, listed = cell.send_request("m1", "GET", "/v1/jobs?queue=reviews")
        assert listed["jobs"][0]["queue"] == "reviews"
        _, job = cell.send_request("m1", "GET", "/v1/jobs/j1")
        assert job["waits"][0]["reason"] == "team limit"
        assert cell.send_request("m1", "GET", "/v1/jobs/j2")[0] == 404
        _, cancelled = cell.send_request("m1", "DELETE", "/v1/jobs/j1")
        assert cancelled["state"] == "cancelled"

    def test_burn_report_keeps_the_counts_of_a_stopped_member(self) -> None:
        with running_operator_cell("m1", "m2") as cell:
            cell.publish("m1", with_relaxed_objectives(EXAMPLE), 0, "a")
            for _ in range(3):
                assert call(cell["m1"], "claim-check", key="demo-radio")[0] == 200
            call(cell["m1"], "claim-check", key="wrong")
            cell["m1"].supervisor.close()
            _, report = cell.send_request("m2", "GET", "/v1/reports/burn")
            (service,) = report["services"]
            assert report["members"] == 2
            assert [window["good"] for window in service["windows"]] == [3] * 4
            assert [window["failed"] for window in service["windows"]] == [0] * 4


TEXT = st.text(max_size=40)
PATHS = st.one_of(
    st.sampled_from(
        [
            "/v1/configuration",
            "/v1/configuration/check",
            "/v1/configuration/diff",
            "/v1/configuration/history",
            "/v1/configuration/history/1",
            "/v1/keys",
            "/v1/keys/no-such-key",
            "/v1/jobs",
            "/v1/reports/burn",
        ]
    ),
    TEXT.map(lambda text: "/v1/" + text),
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=4)
    ),
    max_leaves=12,
)
SECTIONS = st.sampled_from(
    ["teams", "keys", "shares", "limits", "queues", "services", "number"]
)
BODIES = st.one_of(
    st.binary(max_size=60),
    JSON_VALUES.map(lambda value: msgspec.json.encode(value)),
    st.dictionaries(SECTIONS, JSON_VALUES).map(msgspec.json.encode),
)
EXPECTED_SERVER_ERRORS = {501, 503}


@pytest.fixture(scope="module")
def fuzzed_cell() -> Iterator[OperatorTestCell]:
    with running_operator_cell("m1") as running:
        running.publish("m1", EXAMPLE, 0, "a")
        yield running


class TestFuzz:
    @given(
        method=st.sampled_from(["GET", "POST", "DELETE", "PUT", "HEAD", "X"]),
        path=PATHS,
        query=st.one_of(
            TEXT, st.sampled_from(["base=1&publication=b", "publication=c", "limit=9"])
        ),
        body=BODIES,
        length=st.one_of(st.none(), TEXT),
    )
    @settings(max_examples=400, derandomize=True, database=None, deadline=None)
    def test_arbitrary_input_causes_no_internal_error(
        self,
        fuzzed_cell: OperatorTestCell,
        method: str,
        path: str,
        query: str,
        body: bytes,
        length: str | None,
    ) -> None:
        """Call the WSGI application directly; HTTP clients reject some of the input."""
        component = fuzzed_cell["m1"].operators
        assert component is not None
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "HTTP_AUTHORIZATION": "Bearer demo-operator",
            "CONTENT_LENGTH": str(len(body)) if length is None else length,
            "wsgi.input": FakeWsgiInput(body),
        }
        response = component.application(
            environ, lambda status, _headers: statuses.append(status)
        )
        msgspec.json.decode(b"".join(response))
        status = int(statuses[0].split()[0])
        assert status < 500 or status in EXPECTED_SERVER_ERRORS, statuses[0]

    def test_configuration_is_unchanged_afterwards(
        self, fuzzed_cell: OperatorTestCell
    ) -> None:
        wait_until(lambda: fuzzed_cell.configuration_numbers() == [1])


class FakeWsgiInput:
    def __init__(self, body: bytes) -> None:
        self.body = body

    def read(self) -> bytes:
        return self.body

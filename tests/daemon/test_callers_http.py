"""Contract tests of the callers' HTTP interface."""

import pytest

from daemon_support import (
    SECRET,
    FakeEndpoints,
    call,
    endpoint_host,
    host_names_owned_by,
    problem,
    running_cell,
)


class TestRequestPath:
    def test_request_is_served_by_an_endpoint_of_the_same_member(self) -> None:
        with running_cell([endpoint_host("e1")], FakeEndpoints()) as cell:
            status, headers, body = call(
                cell["m1"], body=b"claim 7", Content_Type="a/b"
            )
        assert (status, body) == (200, b"claim 7")
        assert headers["content-type"] == "a/b"
        assert headers["gooseberry-request-id"]

    def test_request_is_forwarded_to_the_owner_of_the_endpoint(self) -> None:
        names = ("m1", "m2", "m3")
        host = endpoint_host(next(host_names_owned_by("m2", names)))
        endpoints = FakeEndpoints()
        with running_cell([host], endpoints, names) as cell:
            for caller in names:
                status, _, body = call(cell[caller], body=caller.encode())
                assert (status, body) == (200, caller.encode())
            assert cell["m1"].metrics.counts["dispatch.forwards"] == 1
        assert len(endpoints.runs) == 3

    def test_health_paths_need_no_key(self) -> None:
        with running_cell([endpoint_host("e1")], FakeEndpoints()) as cell:
            member = cell["m1"]
            assert call(member, method="GET", path="/livez", key=None)[0] == 200
            assert call(member, method="GET", path="/readyz", key=None)[0] == 200
            member.health.ready.clear()
            assert call(member, method="GET", path="/readyz", key=None)[0] == 503


class TestInvalidRequests:
    @pytest.mark.parametrize(
        ("arguments", "expected"),
        [
            ({"key": None}, (401, "key-missing")),
            ({"key": "wrong"}, (401, "key-unknown")),
            ({"key": None, "Authorization": "Basic x"}, (401, "key-unknown")),
            ({"service": "nothing"}, (404, "service-unknown")),
            ({"service": "closed"}, (403, "not-permitted")),
            ({"path": "/v2/services/lookup"}, (404, "path-unknown")),
            ({"path": "/v1/services/"}, (404, "path-unknown")),
            ({"method": "PUT"}, (405, "method-not-allowed")),
            ({"service": "seat-hold", "body": b"x" * 1_001}, (413, "body-too-large")),
            ({"Gooseberry_Timeout_Ms": "0"}, (400, "bad-timeout")),
            ({"Gooseberry_Timeout_Ms": "-5"}, (400, "bad-timeout")),
            ({"Gooseberry_Timeout_Ms": "1e3"}, (400, "bad-timeout")),
            ({"Gooseberry_Timeout_Ms": "9" * 400}, (400, "bad-timeout")),
            ({"service": "seat-hold"}, (503, "no-endpoint")),
        ],
    )
    def test_invalid_request_returns_its_problem(
        self, arguments: dict[str, str], expected: tuple[int, str]
    ) -> None:
        endpoints = FakeEndpoints()
        with running_cell([endpoint_host("e1")], endpoints) as cell:
            response = call(cell["m1"], **arguments)  # type: ignore[arg-type]
        assert problem(response) == (*expected, "not_run")
        assert not endpoints.runs

    def test_open_service_needs_no_key(self) -> None:
        host = endpoint_host("e1", service="open")  # type: ignore[arg-type]
        with running_cell([host], FakeEndpoints()) as cell:
            assert call(cell["m1"], "open", key=None)[0] == 200
            assert call(cell["m1"], "open", key=SECRET)[0] == 200

"""Contract tests of endpoints over HTTP, including injected faults."""

import threading

import pytest

from gooseberrydeck_coordination.ids import HostName, RequestId, ServiceName
from gooseberrydeck_platform.endpoint_http import HttpEndpoint
from gooseberrydeck_platform.endpoints import EndpointRequest
from gooseberrydeck_platform.exceptions import (
    EndpointRefusedError,
    EndpointUnavailableError,
    OutcomeUnknownError,
    PlatformError,
)
from gooseberrydeck_standins.endpoint_engine import EndpointEngine
from gooseberrydeck_standins.endpoint_server import EndpointServer
from gooseberrydeck_standins.faults import FaultKind

TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.2
LOOKUPS = ServiceName("lookups")


def make_server(slots: int = 8, connections: int = 64) -> EndpointServer:
    engine = EndpointEngine(HostName("endpoint-000"), slots, connections)
    return EndpointServer(engine)


def make_request(
    name: str = "r1", body: bytes = b"claim", content_type: str = "text/plain"
) -> EndpointRequest:
    return EndpointRequest(RequestId(name), LOOKUPS, content_type, body)


class TestResponses:
    def test_large_binary_response_is_complete(self) -> None:
        body = bytes(range(256)) * 8_000
        with make_server() as server:
            endpoint = HttpEndpoint(server.host_entry(LOOKUPS))
            response = endpoint.call(make_request(body=body), TIMEOUT_S)
            assert response.status == 200
            assert response.content_type == "text/plain"
            assert response.body == body

    def test_endpoint_receives_request_id_and_service(self) -> None:
        with make_server() as server:
            endpoint = HttpEndpoint(server.host_entry(LOOKUPS))
            for name in ("r1", "r2"):
                endpoint.call(make_request(name), TIMEOUT_S)
            summary = server.engine.summary()
            runs = [(run.request, run.service) for run in summary.runs]
            assert runs == [("r1", "lookups"), ("r2", "lookups")]
            assert summary.ran_twice() == []
            assert summary.most_connections == 1

    def test_status_of_endpoint_is_passed_on(self) -> None:
        with make_server() as server:
            endpoint = HttpEndpoint(server.host_entry(LOOKUPS))
            body = b'{"status": 404, "seat": 7}'
            assert endpoint.call(make_request(body=body), TIMEOUT_S).status == 404

    def test_503_without_not_run_header_was_run(self) -> None:
        with make_server() as server:
            endpoint = HttpEndpoint(server.host_entry(LOOKUPS))
            assert endpoint.call(make_request(body=b'{"status": 503}'), TIMEOUT_S)
            assert len(server.engine.summary().runs) == 1

    def test_slots_limit_concurrent_requests(self) -> None:
        with make_server(slots=2) as server:
            host = server.host_entry(LOOKUPS)
            body = b'{"service_ms": 20}'

            def call(name: str) -> None:
                HttpEndpoint(host).call(make_request(name, body), TIMEOUT_S)

            threads = [
                threading.Thread(target=call, args=(f"r{index}",)) for index in range(6)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            summary = server.engine.summary()
            assert len(summary.runs) == 6
            assert summary.most_running == 2

    def test_connection_over_limit_is_refused_as_not_run(self) -> None:
        with make_server(connections=1) as server:
            first = HttpEndpoint(server.host_entry(LOOKUPS))
            first.call(make_request(), TIMEOUT_S)
            second = HttpEndpoint(server.host_entry(LOOKUPS))
            with pytest.raises(EndpointRefusedError):
                second.call(make_request("r2"), TIMEOUT_S)
            assert len(server.engine.summary().runs) == 1


FAULTS = [
    (FaultKind.DOWN, EndpointRefusedError, 0),
    (FaultKind.REFUSE, EndpointRefusedError, 0),
    (FaultKind.ANSWER_LOST, OutcomeUnknownError, 1),
    (FaultKind.FROZEN, OutcomeUnknownError, 0),
]


class TestFaults:
    @pytest.mark.parametrize(("kind", "error", "runs"), FAULTS)
    def test_error_and_effect_of_fault(
        self, kind: FaultKind, error: type[PlatformError], runs: int
    ) -> None:
        with make_server() as server:
            endpoint = HttpEndpoint(server.host_entry(LOOKUPS))
            endpoint.call(make_request("r0"), TIMEOUT_S)
            server.faults.set(kind)
            with pytest.raises(error):
                endpoint.call(make_request(), SHORT_TIMEOUT_S)
            assert len(server.engine.summary().runs) == 1 + runs
            server.faults.clear()

    def test_endpoint_that_fails_everything_responds_500(self) -> None:
        with make_server() as server:
            server.faults.set(FaultKind.FAIL_EVERYTHING)
            endpoint = HttpEndpoint(server.host_entry(LOOKUPS))
            assert endpoint.call(make_request(), TIMEOUT_S).status == 500

    def test_late_response_never_reaches_next_request(self) -> None:
        with make_server() as server:
            endpoint = HttpEndpoint(server.host_entry(LOOKUPS))
            slow = make_request("r1", b'{"service_ms": 400}')
            with pytest.raises(OutcomeUnknownError):
                endpoint.call(slow, SHORT_TIMEOUT_S)
            assert (
                endpoint.call(make_request("r2", b"second"), TIMEOUT_S).body
                == b"second"
            )

    def test_stopped_endpoint_is_unavailable(self) -> None:
        with make_server() as server:
            host = server.host_entry(LOOKUPS)
            endpoint = HttpEndpoint(host)
            endpoint.call(make_request(), TIMEOUT_S)
        with pytest.raises(EndpointUnavailableError):
            endpoint.call(make_request("r2"), TIMEOUT_S)

    @pytest.mark.parametrize("content_type", ["a\r\nb", "\u20ac"])
    def test_request_with_unencodable_content_type_is_not_run(
        self, content_type: str
    ) -> None:
        with make_server() as server:
            endpoint = HttpEndpoint(server.host_entry(LOOKUPS))
            with pytest.raises(EndpointUnavailableError):
                endpoint.call(make_request(content_type=content_type), TIMEOUT_S)
            assert server.engine.summary().runs == ()

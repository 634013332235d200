"""Tests of draining members and endpoints, and of requests whose callers disconnect."""

import socket
import threading

import pytest

from daemon_support import (
    LOOKUP,
    SECRET,
    BlockingEndpoints,
    FakeEndpoints,
    FakeHostList,
    call,
    endpoint_host,
    host_names_owned_by,
    problem,
    running_cell,
    start_thread,
    wait_until,
)
from gooseberrydeck_daemon.composition import Member
from gooseberrydeck_daemon.dispatch.dispatcher import MAX_ATTEMPTS
from gooseberrydeck_platform.endpoints import EndpointRequest, EndpointResponse
from gooseberrydeck_platform.hosts import HostState
from operators_support import running_operator_cell


class TestDrain:
    def test_requests_in_flight_finish_and_new_ones_are_refused(self) -> None:
        endpoints, responses = BlockingEndpoints(), []
        with running_cell([endpoint_host("e1")], endpoints) as cell:
            member = cell["m1"]
            first = start_thread(lambda: responses.append(call(member, body=b"first")))
            wait_until(lambda: len(endpoints.runs) == 1)
            closing = start_thread(member.close)
            wait_until(lambda: not member.health.ready.is_set())
            assert call(member, method="GET", path="/readyz", key=None)[0] == 503
            wait_until(lambda: member.admit.is_draining)
            assert problem(call(member)) == (503, "draining", "not_run")
            endpoints.released.set()
            first.join()
            closing.join()
        assert responses[0][0] == 200
        assert responses[0][2] == b"first"
        assert len(endpoints.runs) == 1

    def test_response_to_a_slow_reader_is_sent_completely(self) -> None:
        body = b"x" * 16_000_000

        def respond(_request: EndpointRequest, _timeout_s: float) -> EndpointResponse:
            return EndpointResponse(200, "a/b", body)

        endpoints, received = FakeEndpoints(respond), []
        with running_cell([endpoint_host("e1")], endpoints) as cell:
            member = cell["m1"]
            with send_request(member) as connection:
                wait_until(lambda: member.metrics.counts["http.answers.200"] == 1)
                member.callers.stop()
                while data := connection.recv(1_000_000):
                    received.append(data)
        assert b"".join(received).endswith(b"\r\n\r\n" + body)

    def test_draining_owner_finishes_forwarded_requests_and_gets_no_more(self) -> None:
        names = ("m1", "m2")
        host = endpoint_host(next(host_names_owned_by("m2", names)))
        endpoints, responses = BlockingEndpoints(), []
        with running_cell([host], endpoints, names) as cell:
            first = start_thread(lambda: responses.append(call(cell["m1"])))
            wait_until(lambda: len(endpoints.runs) == 1)
            closing = start_thread(cell["m2"].close)
            wait_until(lambda: cell["m2"].dispatcher.is_draining)
            assert problem(call(cell["m1"]))[2] == "not_run"
            endpoints.released.set()
            first.join()
            closing.join()
        assert responses[0][0] == 200
        assert len(endpoints.runs) == 1

    def test_request_waits_until_another_owner_takes_it(self) -> None:
        # Otherwise every request between a release and the next claim is refused.
        names = ("m1", "m2")
        host = endpoint_host(next(host_names_owned_by("m2", names)))
        responses: list[tuple[int, dict[str, str], bytes]] = []
        with running_cell([host], FakeEndpoints(), names) as cell:
            cell["m2"].dispatcher.is_draining = True
            waiting = start_thread(lambda: responses.append(call(cell["m1"])))
            waits = cell["m1"].metrics.counts
            wait_until(lambda: waits["dispatch.waits.ownership"] > MAX_ATTEMPTS)
            cell["m2"].dispatcher.is_draining = False
            waiting.join()
        assert responses[0][0] == 200


class TestMovedEndpoints:
    # Guards against requests that wait out their time limit at a member whose last
    # endpoint was handed over while they were queued.
    def test_queued_request_is_left_to_the_next_owner(self) -> None:
        names = ("m1", "m2")
        host = endpoint_host(next(host_names_owned_by("m2", names)), slots=1)
        endpoints, outcomes = BlockingEndpoints(), []
        with running_cell([host], endpoints, names) as cell:
            directory = cell["m2"].directory
            pool = directory.pools[LOOKUP]
            first = start_thread(lambda: call(cell["m1"], body=b"first"))
            wait_until(lambda: len(endpoints.runs) == 1)
            second = start_thread(lambda: outcomes.append(call(cell["m1"])))
            wait_until(lambda: pool.queue.size == 1)
            moved = cell["m1"].metrics.counts
            before = moved["dispatch.waits.ownership"]
            pool.set_endpoints(())
            wait_until(lambda: moved["dispatch.waits.ownership"] > before)
            # Here the same member claims it again.
            directory.slots.clear()
            directory.sync_ownership()
            endpoints.released.set()
            first.join()
            second.join()
        assert [outcome[0] for outcome in outcomes] == [200]


class TestLeaving:
    # Guards against requests that have no answer until their time limit: peers forward
    # them to a member that has stopped, before they know the next owner.
    def test_member_answers_its_peers_until_they_forward_no_more(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        asked, quiet = threading.Event(), threading.Event()

        def wait_until_quiet(quiet_s: float, timeout_s: float) -> bool:
            asked.set()
            return quiet.wait(10.0)

        with running_operator_cell("m1", "m2") as cell:
            leaving = cell["m2"]
            coordination = leaving.coordination
            assert coordination is not None
            monkeypatch.setattr(
                leaving.dispatcher, "wait_until_quiet", wait_until_quiet
            )
            closing = start_thread(leaving.close)
            assert asked.wait(20.0)
            assert coordination.task.has_left_roster.is_set()
            assert not leaving.network.stopping.is_set()
            quiet.set()
            closing.join()
            assert leaving.network.stopping.is_set()

    def test_quiet_begins_with_the_last_forwarded_request(self) -> None:
        names = ("m1", "m2")
        host = endpoint_host(next(host_names_owned_by("m2", names)))
        with running_cell([host], FakeEndpoints(), names) as cell:
            dispatcher = cell["m2"].dispatcher
            assert call(cell["m1"])[0] == 200
            assert dispatcher.last_forward_s > 0.0
            assert not dispatcher.wait_until_quiet(60.0, 0.0)
            assert dispatcher.wait_until_quiet(0.0, 0.0)


def send_request(member: Member) -> socket.socket:
    """Send a request and return its connection, without reading the response."""
    connection = socket.create_connection(("127.0.0.1", member.callers.port))
    connection.sendall(
        b"POST /v1/services/lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        b"Authorization: Bearer " + SECRET.encode() + b"\r\n\r\nv"
    )
    return connection


class TestLeavingEndpoints:
    def test_finish_requests_in_flight_and_get_no_more(self) -> None:
        endpoints, responses = BlockingEndpoints(), []
        hosts = FakeHostList([endpoint_host("e1")])
        with running_cell(hosts, endpoints) as cell:
            member = cell["m1"]
            first = start_thread(lambda: responses.append(call(member)))
            wait_until(lambda: len(endpoints.runs) == 1)
            leaving = endpoint_host("e1", state=HostState.LEAVING)
            hosts.hosts = (leaving, endpoint_host("e2"))
            wait_until(lambda: member.directory.hosts == hosts.hosts)
            endpoints.released.set()
            first.join()
            for _ in range(5):
                responses.append(call(member))
        assert [response[0] for response in responses] == 6 * [200]
        assert [name for name, _ in endpoints.runs] == ["e1", *(5 * ["e2"])]


class TestDisconnectedCallers:
    def check_not_run(self, names: tuple[str, ...], owner: str) -> None:
        host = endpoint_host(next(host_names_owned_by(owner, names)), slots=1)
        endpoints = BlockingEndpoints()
        with running_cell([host], endpoints, names) as cell:
            entry = cell["m1"]
            first = start_thread(lambda: call(entry, body=b"first"))
            wait_until(lambda: len(endpoints.runs) == 1)
            queue = cell[owner].directory.pools[LOOKUP].queue
            with send_request(entry):
                wait_until(lambda: entry.admit.in_flight == 2)
                wait_until(lambda: queue.size == 1)
            wait_until(lambda: entry.metrics.counts["dispatch.callers.gone"] == 1)
            wait_until(lambda: entry.admit.in_flight == 1)
            # The cancellation must reach the owner while the endpoint is busy. If a
            # slot became free before, running the request would be correct.
            wait_until(lambda: queue.size == 0)
            endpoints.released.set()
            first.join()
        assert [body for _, body in endpoints.runs] == ["first"]

    def test_queued_requests_are_not_run(self) -> None:
        self.check_not_run(("m1",), "m1")

    def test_forwarded_requests_are_not_run(self) -> None:
        self.check_not_run(("m1", "m2"), "m2")

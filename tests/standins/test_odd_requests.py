"""Tests of requests that the stand-ins can't read."""

import pytest

from gooseberrydeck_adapter_standins.advice import AdviceApplication
from gooseberrydeck_adapter_standins.store import PlatformStoreApplication
from gooseberrydeck_adapter_standins.worker import WorkerApplication as FleetApplication
from gooseberrydeck_adapter_standins.worker import decode_run_plan
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_standins.endpoint_engine import (
    EndpointDirectives,
    decode_directives,
)
from gooseberrydeck_standins.fleet_worker import FleetWorkerEngine
from gooseberrydeck_standins.host_list_server import HostListApplication, LaggingHosts
from gooseberrydeck_standins.http_service import Application, Request
from gooseberrydeck_standins.ledger import Ledger
from gooseberrydeck_standins.store_engine import StoreEngine
from gooseberrydeck_standins.store_server import StoreApplication
from gooseberrydeck_standins.worker_engine import WorkerEngine, decode_payload
from gooseberrydeck_standins.worker_server import WorkerApplication
from odd_values import ODD_RECORDS, deep, with_raw

CAPACITY = Resources(4_000, 4_096, 0)
DEEP = ODD_RECORDS["deep"]


def applications() -> dict[str, tuple[Application, str, str]]:
    """Return each application with a method and a path that reads a body."""
    clock = ManualClock()
    engine = StoreEngine(clock)
    worker = WorkerEngine(HostName("h"), CAPACITY, clock, Ledger())
    fleet_engine = FleetWorkerEngine(clock, CAPACITY, decode_run_plan)
    fleet = FleetApplication("w", fleet_engine)
    return {
        "etcd": (StoreApplication(engine), "POST", "/v3/kv/txn"),
        "etcd's faults": (StoreApplication(engine), "PUT", "/faults"),
        "worker": (WorkerApplication(worker), "POST", "/start"),
        "host list": (HostListApplication(LaggingHosts(clock)), "PUT", "/hosts"),
        "store": (PlatformStoreApplication(engine), "POST", "/kv-txn"),
        "fleet's worker": (fleet, "POST", "/run-start"),
        "fleet's capacity": (fleet, "PUT", "/capacity"),
        "advice": (AdviceApplication(0.0, 0.0, 1.0), "POST", "/advise"),
    }


# Guards against stand-ins that end a connection without an answer, which tests would
# take for an outage.
class TestOddRequests:
    @pytest.mark.parametrize("odd", [DEEP, b"\xff"], ids=["deep", "bytes"])
    @pytest.mark.parametrize("name", applications())
    def test_it_is_refused(self, name: str, odd: bytes) -> None:
        application, method, path = applications()[name]
        assert application.handle(Request(method, path, odd)).status == 400

    def test_payload_of_a_task_makes_it_fail(self) -> None:
        assert decode_payload(DEEP).fail

    def test_body_for_an_endpoint_holds_no_directives(self) -> None:
        odd = with_raw({"extra": "RAW"}, deep(3_000))
        assert decode_directives(odd) == EndpointDirectives()
